#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Retries a minute of a team that the bundle does not name. */
#define DEFAULT_RETRIES_PER_MINUTE 60

/* A bucket that fills at the team's rate, up to one minute's worth. */
struct ColtRetryBudget
{
  double tokens;
  int64_t filled_us;
};

static int64_t rate_ (const struct ColtHome *home, const char *team);

bool
colt_home_take_retry (void *client, const char *team, int64_t now_us)
{
  struct ColtHome *home = client;
  struct ColtRetryBudget *budget = g_hash_table_lookup (home->budgets, team);
  double rate = (double)rate_ (home, team);

  if (budget == NULL)
    {
      budget = g_new0 (struct ColtRetryBudget, 1);
      budget->tokens = rate;
      budget->filled_us = now_us;
      g_hash_table_insert (home->budgets, g_strdup (team), budget);
    }
  budget->tokens += rate * (double)(now_us - budget->filled_us)
                    / (double)(60 * COLT_US_PER_S);
  budget->tokens = MIN (budget->tokens, rate);
  budget->filled_us = now_us;
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}

void
colt_home_set_budgets (struct ColtHome *home, const struct ColtBundle *bundle)
{
  uint32_t i;

  g_hash_table_remove_all (home->budget_rates);
  for (i = 0; i < colt_bundle_team_count (bundle); i++)
    {
      const struct ColtBundleTeam *team = colt_bundle_team (bundle, i);

      g_hash_table_insert (home->budget_rates, g_strdup (team->name),
                           GINT_TO_POINTER ((gint)team->retries_per_minute));
    }
}

static int64_t
rate_ (const struct ColtHome *home, const char *team)
{
  gpointer rate;

  if (!g_hash_table_lookup_extended (home->budget_rates, team, NULL, &rate))
    return DEFAULT_RETRIES_PER_MINUTE;
  return GPOINTER_TO_INT (rate);
}
