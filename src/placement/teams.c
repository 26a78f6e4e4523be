#include <string.h>

#include "placement_private.h"

/* The first back-off of a team without credits; each that follows doubles. */
#define BACKOFF_FIRST_US (50 * COLT_US_PER_MS)
#define BACKOFF_MAX_US (2 * COLT_US_PER_S)
/* How long another instance's word on a team counts. */
#define REPORT_LIFE_US (10 * COLT_US_PER_S)

/* What another instance has running of a team. */
struct ColtUsageReport
{
  struct ColtResources running;
  int64_t time_us;
};

static double measure_share_ (const struct ColtPlacement *placement,
                              const struct ColtPlacementTeam *team);
static gint compare_teams_ (gconstpointer a, gconstpointer b, gpointer data);
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
  int level;

  team->share = measure_share_ (placement, team);
  for (level = 0; level < COLT_LEVEL_COUNT; level++)
    if (team->places[level] != NULL)
      g_sequence_sort_changed (team->places[level], compare_teams_, NULL);
}

void
colt_teams_reorder_all (struct ColtPlacement *placement)
{
  GHashTableIter iter;
  gpointer value;
  int level;

  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtPlacementTeam *team = value;

      team->share = measure_share_ (placement, team);
    }
  for (level = 0; level < COLT_LEVEL_COUNT; level++)
    g_sequence_sort (placement->orders[level], compare_teams_, NULL);
}

void
colt_teams_add_waiting (struct ColtPlacement *placement,
                        struct ColtPlacementTeam *team,
                        enum ColtLevel level,
                        int change)
{
  team->waiting[level] += change;
  if (team->waiting[level] > 0 && team->places[level] == NULL)
    {
      team->share = measure_share_ (placement, team);
      team->places[level] = g_sequence_insert_sorted (
          placement->orders[level], team, compare_teams_, NULL);
      return;
    }
  if (team->waiting[level] == 0 && team->places[level] != NULL)
    {
      g_sequence_remove (team->places[level]);
      team->places[level] = NULL;
    }
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
measure_share_ (const struct ColtPlacement *placement,
                const struct ColtPlacementTeam *team)
{
  double share = 0;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    {
      int64_t used = team->own.amount[i] + team->others.amount[i];
      int64_t total = placement->total.amount[i];

      if (total > 0)
        share = MAX (share, (double)used / (double)total);
    }
  return share / (double)team->weight;
}

static gint
compare_teams_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtPlacementTeam *first = a;
  const struct ColtPlacementTeam *second = b;

  (void)data;
  if (first->share != second->share)
    return first->share < second->share ? -1 : 1;
  return (first->number > second->number) - (first->number < second->number);
}
