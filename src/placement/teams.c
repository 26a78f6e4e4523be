#include <string.h>

#include "placement_private.h"

/* The first back-off of a team without credits; each that follows doubles. */
#define BACKOFF_FIRST_US (50 * COLT_US_PER_MS)
#define BACKOFF_MAX_US (2 * COLT_US_PER_S)
/* Time between two settlements of what teams are owed. */
#define BALANCE_US (500 * COLT_US_PER_MS)
/* Time in which a lack counts as much as it is large. */
#define DEBT_TIME_US (10 * COLT_US_PER_S)
/* Most that a team is owed or owes, as part of its share. */
#define DEBT_PART 0.5
/* How long a team keeps no servers after it kept some in vain. */
#define PAUSE_FIRST_US (10 * COLT_US_PER_S)
#define PAUSE_MAX_US (640 * COLT_US_PER_S)
/* How long another instance's word on a team counts. */
#define REPORT_LIFE_US (10 * COLT_US_PER_S)

/* What another instance has running of a team. */
struct ColtUsageReport
{
  struct ColtResources running;
  int64_t time_us;
};

static double dominant_ (const struct ColtPlacement *placement,
                         const struct ColtResources *used);
static double measure_share_ (const struct ColtPlacement *placement,
                              const struct ColtPlacementTeam *team);
static bool high_fits_ (const struct ColtPlacement *placement,
                        const struct ColtPlacementTeam *team);
static bool is_busy_ (const struct ColtPlacementTeam *team);
static void
settle_debt_ (struct ColtPlacementTeam *team, double level, int64_t elapsed_us);
static void drop_old_reports_ (struct ColtPlacementTeam *team, int64_t now_us);

struct ColtPlacementTeam *
colt_teams_find (const struct ColtPlacement *placement, const char *name)
{
  return g_hash_table_lookup (placement->teams, name);
}

struct ColtPlacementTeam *
colt_teams_get (struct ColtPlacement *placement, const char *name)
{
  struct ColtPlacementTeam *team = colt_teams_find (placement, name);
  const int64_t *weight;

  if (team != NULL)
    return team;
  team = g_new0 (struct ColtPlacementTeam, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->number = ++placement->next_team;
  weight = g_hash_table_lookup (placement->weights, name);
  team->weight = weight != NULL ? *weight : 1;
  team->reports
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  team->lanes = g_ptr_array_new_with_free_func (colt_lane_free);
  g_hash_table_insert (placement->teams, team->name, team);
  return team;
}

void
colt_teams_free (gpointer data)
{
  struct ColtPlacementTeam *team = data;

  g_hash_table_unref (team->reports);
  g_ptr_array_unref (team->lanes);
  g_free (team);
}

void
colt_teams_reorder (struct ColtPlacement *placement,
                    struct ColtPlacementTeam *team)
{
  team->share = measure_share_ (placement, team);
  colt_buckets_set_order (team, team->share - team->debt,
                          high_fits_ (placement, team));
}

void
colt_teams_reorder_all (struct ColtPlacement *placement)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    colt_teams_reorder (placement, value);
}

/* Tasks come in large pieces, so that a team is above or below its share most
 * of the time. A busy team is owed what it lacked lately, within bounds; an
 * idle one is owed nothing. */
void
colt_teams_balance (struct ColtPlacement *placement, int64_t now_us)
{
  int64_t elapsed_us = now_us - placement->balanced_us;
  double weights = 0;
  double active = 0;
  double shares = 0;
  GHashTableIter iter;
  gpointer value;

  if (elapsed_us < BALANCE_US)
    return;
  placement->balanced_us = now_us;
  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtPlacementTeam *team = value;

      if (is_busy_ (team) || team->share > 0)
        active += (double)team->weight;
      if (!is_busy_ (team))
        continue;
      weights += (double)team->weight;
      shares += team->share * (double)team->weight;
    }
  placement->full_share = active > 0 ? 1 / active : 1;
  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      settle_debt_ (value, weights > 0 ? shares / weights : 0,
                    MIN (elapsed_us, DEBT_TIME_US));
      colt_teams_reorder (placement, value);
    }
}

bool
colt_teams_is_high (const struct ColtPlacement *placement,
                    enum ColtWorkKind kind)
{
  return placement->rules[kind].priority >= COLT_PRIORITY_HIGH;
}

void
colt_teams_park (struct ColtPlacement *placement,
                 struct ColtPlacementTeam *team,
                 int64_t now_us)
{
  if (now_us < team->parked_until_us)
    return;
  team->backoff_us = team->backoff_us == 0
                         ? BACKOFF_FIRST_US
                         : MIN (2 * team->backoff_us, BACKOFF_MAX_US);
  team->parked_until_us = now_us + team->backoff_us / 2
                          + g_rand_int (placement->random) % team->backoff_us;
}

void
colt_teams_pause (struct ColtPlacementTeam *team, int64_t now_us)
{
  team->reserve_pause_us = team->reserve_pause_us == 0
                               ? PAUSE_FIRST_US
                               : MIN (2 * team->reserve_pause_us, PAUSE_MAX_US);
  team->reserve_after_us = now_us + team->reserve_pause_us;
}

void
colt_placement_set_team_usage (struct ColtPlacement *placement,
                               uint32_t instance,
                               const char *name,
                               const struct ColtResources *running,
                               int64_t now_us)
{
  struct ColtPlacementTeam *team = colt_teams_get (placement, name);
  struct ColtUsageReport *report = g_new0 (struct ColtUsageReport, 1);

  report->running = *running;
  report->time_us = now_us;
  g_hash_table_replace (team->reports, GUINT_TO_POINTER (instance), report);
  drop_old_reports_ (team, now_us);
  colt_teams_reorder (placement, team);
}

static void
drop_old_reports_ (struct ColtPlacementTeam *team, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  memset (&team->others, 0, sizeof team->others);
  g_hash_table_iter_init (&iter, team->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtUsageReport *report = value;

      if (now_us - report->time_us > REPORT_LIFE_US)
        g_hash_table_iter_remove (&iter);
      else
        colt_resources_add (&team->others, &report->running);
    }
}

static double
dominant_ (const struct ColtPlacement *placement,
           const struct ColtResources *used)
{
  double share = 0;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (placement->total.amount[i] > 0)
      share = MAX (share, (double)used->amount[i]
                              / (double)placement->total.amount[i]);
  return share;
}

static double
measure_share_ (const struct ColtPlacement *placement,
                const struct ColtPlacementTeam *team)
{
  struct ColtResources used = team->own;

  colt_resources_add (&used, &team->others);
  return dominant_ (placement, &used) / (double)team->weight;
}

/* Whether the team's work of high priority alone stays within its share. What
 * runs by other instances is taken to be of the same mixture. */
static bool
high_fits_ (const struct ColtPlacement *placement,
            const struct ColtPlacementTeam *team)
{
  double own = dominant_ (placement, &team->own);
  double high = dominant_ (placement, &team->high);

  if (own <= 0)
    return true;
  return team->share * high / own <= placement->full_share;
}

static bool
is_busy_ (const struct ColtPlacementTeam *team)
{
  return team->waiting[COLT_LEVEL_ORDINARY] > 0;
}

static void
settle_debt_ (struct ColtPlacementTeam *team, double level, int64_t elapsed_us)
{
  double bound = DEBT_PART * level;

  if (!is_busy_ (team))
    {
      team->debt = 0;
      return;
    }
  team->debt += (level - team->share) * (double)elapsed_us / DEBT_TIME_US;
  team->debt = CLAMP (team->debt, -bound, bound);
}
