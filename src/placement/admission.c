#include <assert.h>

#include "placement_private.h"

/* Number of observed starts from which waiting times are predicted. */
#define INTERVAL_SAMPLES_MIN 8u
/* Longest expected wait of a new task, in percent of its slack: the time to
 * its deadline less its run time. */
#define WAIT_PERCENT 70

static struct ColtPlacementTeam *
find_largest_queue_ (const struct ColtPlacement *placement);
static double compute_queue_share_ (const struct ColtPlacementTeam *team);
static struct ColtWaitingTask *
find_last_in_order_ (const struct ColtPlacement *placement,
                     const struct ColtPlacementTeam *team);
static void shed_one_ (struct ColtPlacement *placement,
                       struct ColtWaitingTask *waiting,
                       enum ColtPlacementStatus status);
static bool exceeds_total_ (const struct ColtPlacement *placement,
                            const struct ColtPlacementTask *task);
static bool make_room_ (struct ColtPlacement *placement,
                        const struct ColtPlacementTask *task);
static bool would_wait_too_long_ (const struct ColtPlacementTeam *team,
                                  const struct ColtPlacementTask *task,
                                  int64_t now_us);

enum ColtPlacementStatus
colt_admission_check (struct ColtPlacement *placement,
                      const struct ColtPlacementTask *task,
                      int64_t now_us)
{
  const struct ColtPlacementTeam *team = colt_teams_get (placement, task->team);

  if (colt_admission_never_fits (placement, task, now_us))
    return COLT_PLACEMENT_NEVER_FITS;
  if (colt_admission_is_too_late (team, task, now_us)
      || would_wait_too_long_ (team, task, now_us))
    return COLT_PLACEMENT_TOO_LATE;
  if (g_hash_table_size (placement->waiting) >= COLT_PLACEMENT_WAITING_MAX
      && !make_room_ (placement, task))
    return COLT_PLACEMENT_FULL;
  return COLT_PLACEMENT_QUEUED;
}

bool
colt_admission_never_fits (const struct ColtPlacement *placement,
                           const struct ColtPlacementTask *task,
                           int64_t now_us)
{
  if (g_hash_table_size (placement->servers) == 0
      || now_us < placement->last_change_us + COLT_PLACEMENT_SETTLED_US)
    return false;
  if (task->kind == COLT_WORK_GANG && exceeds_total_ (placement, task))
    return true;
  return !colt_servers_has_capacity (placement, COLT_SERVERS_PLAIN,
                                     &task->demand)
         && !colt_servers_has_capacity (placement, COLT_SERVERS_ACCELERATED,
                                        &task->demand);
}

bool
colt_admission_is_too_late (const struct ColtPlacementTeam *team,
                            const struct ColtPlacementTask *task,
                            int64_t now_us)
{
  double run_ms = colt_estimate_min_run_ms (team, task);

  return task->deadline_us != COLT_TIME_NEVER
         && now_us + (int64_t)(run_ms * (double)COLT_US_PER_MS)
                > task->deadline_us;
}

void
colt_admission_shed (struct ColtPlacement *placement,
                     struct ColtWaitingTask *waiting,
                     enum ColtPlacementStatus status)
{
  struct ColtGang *gang = waiting->gang;
  guint others = gang != NULL ? gang->members->len - 1 : 0;

  colt_reservations_drop_request (placement, &waiting->task.request);
  for (; others > 0; others--)
    shed_one_ (placement, g_ptr_array_index (gang->members, others), status);
  if (gang != NULL)
    waiting = g_ptr_array_index (gang->members, 0);
  shed_one_ (placement, waiting, status);
}

static void
shed_one_ (struct ColtPlacement *placement,
           struct ColtWaitingTask *waiting,
           enum ColtPlacementStatus status)
{
  struct ColtShedTask *shed = g_new0 (struct ColtShedTask, 1);

  shed->task = waiting->task;
  shed->status = status;
  g_queue_push_tail (&placement->shed, shed);
  colt_queue_remove (placement, waiting);
}

/* Returns whether a gang needs more than the capacity of all servers. */
static bool
exceeds_total_ (const struct ColtPlacement *placement,
                const struct ColtPlacementTask *task)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (task->demand.amount[i] * task->tasks > placement->total.amount[i])
      return true;
  return false;
}

/* Sheds a task of the team with the longest queue by weight, if this queue is
 * longer than that of the new task's team. */
static bool
make_room_ (struct ColtPlacement *placement,
            const struct ColtPlacementTask *task)
{
  struct ColtPlacementTeam *largest = find_largest_queue_ (placement);
  const struct ColtPlacementTeam *team = colt_teams_get (placement, task->team);

  if (largest == NULL || largest == team
      || compute_queue_share_ (largest) <= compute_queue_share_ (team))
    return false;
  colt_admission_shed (placement, find_last_in_order_ (placement, largest),
                       COLT_PLACEMENT_FULL);
  return true;
}

/* Visits all teams; called only when the queue is full. */
static struct ColtPlacementTeam *
find_largest_queue_ (const struct ColtPlacement *placement)
{
  struct ColtPlacementTeam *largest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (largest == NULL
        || compute_queue_share_ (value) > compute_queue_share_ (largest))
      largest = value;
  return largest;
}

static double
compute_queue_share_ (const struct ColtPlacementTeam *team)
{
  return (double)team->waiting[COLT_LEVEL_ORDINARY] / (double)team->weight;
}

/* Returns the newest task of the ordinary lane that is last in the order. */
static struct ColtWaitingTask *
find_last_in_order_ (const struct ColtPlacement *placement,
                     const struct ColtPlacementTeam *team)
{
  const struct ColtLane *last = NULL;
  guint i;

  for (i = 0; i < team->lanes->len; i++)
    {
      const struct ColtLane *lane = g_ptr_array_index (team->lanes, i);

      if (lane->level == COLT_LEVEL_ORDINARY
          && (last == NULL
              || colt_lane_compute_key (placement, lane)
                     > colt_lane_compute_key (placement, last)))
        last = lane;
    }
  assert (last != NULL);
  return g_sequence_get (
      g_sequence_iter_prev (g_sequence_get_end_iter (last->tasks)));
}

static bool
would_wait_too_long_ (const struct ColtPlacementTeam *team,
                      const struct ColtPlacementTask *task,
                      int64_t now_us)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];
  double slack_us;

  if (task->deadline_us == COLT_TIME_NEVER || task->urgent
      || work->interval_samples < INTERVAL_SAMPLES_MIN || work->waiting == 0)
    return false;
  slack_us = (double)(task->deadline_us - now_us)
             - colt_estimate_run_ms (team, task) * (double)COLT_US_PER_MS;
  return work->waiting * work->interval_us * 100 > slack_us * WAIT_PERCENT;
}
