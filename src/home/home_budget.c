#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Retries per minute of a team that the bundle does not name. */
#define DEFAULT_RETRIES_PER_MINUTE 60

/* Token bucket, filled at the team's rate up to one minute's worth. */
struct ColtRetryBudget
{
  double tokens;
  int64_t filled_us;
};

static int64_t find_rate_ (const struct ColtHome *home, const char *team);

bool
colt_home_consume_retry (void *client, const char *team, int64_t now_us)
{
  struct ColtHome *home = client;
  struct ColtRetryBudget *budget
      = g_hash_table_lookup (home->retry_budgets, team);
  double rate = (double)find_rate_ (home, team);

  if (budget == NULL)
    {
      budget = g_new0 (struct ColtRetryBudget, 1);
      budget->tokens = rate;
      budget->filled_us = now_us;
      g_hash_table_insert (home->retry_budgets, g_strdup (team), budget);
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
colt_home_set_retry_rates (struct ColtHome *home,
                           const struct ColtBundle *bundle)
{
  uint32_t i;

  g_hash_table_remove_all (home->retry_rates);
  for (i = 0; i < colt_bundle_team_count (bundle); i++)
    {
      const struct ColtBundleTeam *team = colt_bundle_team (bundle, i);

      g_hash_table_insert (home->retry_rates, g_strdup (team->name),
                           GINT_TO_POINTER ((gint)team->retries_per_minute));
    }
}

static int64_t
find_rate_ (const struct ColtHome *home, const char *team)
{
  gpointer rate;

  if (!g_hash_table_lookup_extended (home->retry_rates, team, NULL, &rate))
    return DEFAULT_RETRIES_PER_MINUTE;
  return GPOINTER_TO_INT (rate);
}
