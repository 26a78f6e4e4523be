#include <string.h>

#include "placement_private.h"

/* First back-off of a team after a refusal for lack of credit; it doubles with
 * each further one up to the maximum. */
#define BACKOFF_FIRST_US (50 * COLT_US_PER_MS)
#define BACKOFF_MAX_US (2 * COLT_US_PER_S)
/* Time without a refusal after the end of a back-off from which the next one is
 * the first again. */
#define BACKOFF_MEMORY_US (2 * BACKOFF_MAX_US)
/* Interval of deficit updates. */
#define DEFICIT_INTERVAL_US (500 * COLT_US_PER_MS)
/* Time in which a constant lack of share adds its full size to a deficit. */
#define DEFICIT_TIME_US (10 * COLT_US_PER_S)
/* Bound of a deficit or surplus, as a fraction of the mean share of teams with
 * waiting tasks. */
#define DEFICIT_BOUND 0.5
/* First pause of a team's reservations after reserved or held room expired
 * unused; it doubles each time up to the maximum. */
#define PAUSE_FIRST_US (10 * COLT_US_PER_S)
#define PAUSE_MAX_US (640 * COLT_US_PER_S)
/* Age from which a usage report of another instance is dropped. */
#define REPORT_AGE_MAX_US (10 * COLT_US_PER_S)

/* Usage of a team reported by another instance. */
struct ColtUsageReport
{
  struct ColtResources running;
  int64_t time_us;
};

static double compute_dominant_share_ (const struct ColtPlacement *placement,
                                       const struct ColtResources *used);
static double compute_share_ (const struct ColtPlacement *placement,
                              const struct ColtPlacementTeam *team);
static bool high_priority_fits_ (const struct ColtPlacement *placement,
                                 const struct ColtPlacementTeam *team);
static bool has_waiting_ (const struct ColtPlacementTeam *team);
static void update_deficit_ (struct ColtPlacementTeam *team,
                             double mean_share,
                             int64_t elapsed_us);
static void refresh_other_usage_ (struct ColtPlacementTeam *team,
                                  int64_t now_us);

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
  team->number = ++placement->last_team_number;
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
  team->share = compute_share_ (placement, team);
  colt_buckets_set_order (team, team->share - team->deficit,
                          high_priority_fits_ (placement, team));
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

/* Tasks are large compared with shares, so that a team is above or below its
 * share most of the time. The deficit of a team with waiting tasks makes up,
 * within bounds, for the share that it lacked lately; a team without waiting
 * tasks has no deficit. */
void
colt_teams_update_deficits (struct ColtPlacement *placement, int64_t now_us)
{
  int64_t elapsed_us = now_us - placement->deficits_updated_us;
  double weights = 0;
  double active = 0;
  double shares = 0;
  GHashTableIter iter;
  gpointer value;

  if (elapsed_us < DEFICIT_INTERVAL_US)
    return;
  placement->deficits_updated_us = now_us;
  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtPlacementTeam *team = value;

      refresh_other_usage_ (team, now_us);
      team->share = compute_share_ (placement, team);
      if (has_waiting_ (team) || team->share > 0)
        active += (double)team->weight;
      if (!has_waiting_ (team))
        continue;
      weights += (double)team->weight;
      shares += team->share * (double)team->weight;
    }
  placement->fair_share = active > 0 ? 1 / active : 1;
  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      update_deficit_ (value, weights > 0 ? shares / weights : 0,
                       MIN (elapsed_us, DEFICIT_TIME_US));
      colt_teams_reorder (placement, value);
    }
}

bool
colt_teams_is_high_priority (const struct ColtPlacement *placement,
                             enum ColtWorkKind kind)
{
  return placement->rules[kind].priority >= COLT_PRIORITY_HIGH;
}

void
colt_teams_back_off (struct ColtPlacement *placement,
                     struct ColtPlacementTeam *team,
                     int64_t now_us)
{
  if (now_us < team->backoff_until_us)
    return;
  if (now_us >= team->backoff_until_us + BACKOFF_MEMORY_US)
    team->backoff_us = 0;
  team->backoff_us = team->backoff_us == 0
                         ? BACKOFF_FIRST_US
                         : MIN (2 * team->backoff_us, BACKOFF_MAX_US);
  team->backoff_until_us = now_us + team->backoff_us / 2
                           + g_rand_int (placement->random) % team->backoff_us;
}

void
colt_teams_pause_reservations (struct ColtPlacementTeam *team, int64_t now_us)
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
  refresh_other_usage_ (team, now_us);
  colt_teams_reorder (placement, team);
}

static void
refresh_other_usage_ (struct ColtPlacementTeam *team, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  memset (&team->other_usage, 0, sizeof team->other_usage);
  g_hash_table_iter_init (&iter, team->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtUsageReport *report = value;

      if (now_us - report->time_us > REPORT_AGE_MAX_US)
        g_hash_table_iter_remove (&iter);
      else
        colt_resources_add (&team->other_usage, &report->running);
    }
}

static double
compute_dominant_share_ (const struct ColtPlacement *placement,
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
compute_share_ (const struct ColtPlacement *placement,
                const struct ColtPlacementTeam *team)
{
  struct ColtResources used = team->own_usage;

  colt_resources_add (&used, &team->other_usage);
  return compute_dominant_share_ (placement, &used) / (double)team->weight;
}

/* Returns whether the team's high-priority work alone stays within its share.
 * Assumes that the usage reported by other instances has the same proportion of
 * high-priority work as the usage here. */
static bool
high_priority_fits_ (const struct ColtPlacement *placement,
                     const struct ColtPlacementTeam *team)
{
  double own = compute_dominant_share_ (placement, &team->own_usage);
  double high = compute_dominant_share_ (placement, &team->high_usage);

  if (own <= 0)
    return true;
  return team->share * high / own <= placement->fair_share;
}

static bool
has_waiting_ (const struct ColtPlacementTeam *team)
{
  return team->waiting[COLT_LEVEL_ORDINARY] > 0;
}

static void
update_deficit_ (struct ColtPlacementTeam *team,
                 double mean_share,
                 int64_t elapsed_us)
{
  double bound = DEFICIT_BOUND * mean_share;

  if (!has_waiting_ (team))
    {
      team->deficit = 0;
      return;
    }
  team->deficit
      += (mean_share - team->share) * (double)elapsed_us / DEFICIT_TIME_US;
  team->deficit = CLAMP (team->deficit, -bound, bound);
}
