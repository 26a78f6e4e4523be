#include <string.h>

#include "placement_private.h"

/* Most searches for a server in a decision, to bound its time. */
#define SEARCHES_MAX 256u
/* Time after which a large task that found no room is retried even if no
 * server gained room. */
#define LARGE_RETRY_US (250 * COLT_US_PER_MS)
/* Time between attempts to place a gang, or a task that avoids a server. */
#define DEFER_US (10 * COLT_US_PER_MS)

/* Result of an attempt to place the head of a lane. */
enum ColtTryResult
{
  TRY_PLACED,
  TRY_BLOCKED, /* no server has room until one gains some */
  TRY_LATER,   /* deferred until the retry time of the lane */
  TRY_SHED     /* the task was shed; the order may have changed */
};

static enum ColtTryResult try_lane_ (struct ColtPlacement *placement,
                                     struct ColtLane *lane,
                                     int64_t now_us);
static enum ColtTryResult try_gang_ (struct ColtPlacement *placement,
                                     struct ColtWaitingTask *waiting,
                                     int64_t now_us);
static enum ColtTryResult try_single_ (struct ColtPlacement *placement,
                                       struct ColtWaitingTask *waiting,
                                       int64_t now_us);
static void schedule_wake_ (struct ColtPlacement *placement, int64_t time_us);

void
colt_decide_init_search (struct ColtSearch *search,
                         struct ColtPlacement *placement,
                         const struct ColtWaitingTask *waiting,
                         int64_t now_us)
{
  search->placement = placement;
  search->team = waiting->lane->team;
  search->task = &waiting->task;
  search->demand = colt_estimate_demand (search->team, search->task);
  search->run_ms = colt_estimate_run_ms (search->team, search->task);
  search->added_us = waiting->added_us;
  search->now_us = now_us;
  if (memcmp (&search->demand, &search->task->demand, sizeof search->demand)
          != 0
      && !colt_servers_has_capacity (placement, COLT_SERVERS_PLAIN,
                                     &search->demand)
      && !colt_servers_has_capacity (placement, COLT_SERVERS_ACCELERATED,
                                     &search->demand))
    search->demand = search->task->demand;
}

bool
colt_decide_next (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtLane *lane;

  placement->searches_left = SEARCHES_MAX;
  placement->wake_us = COLT_TIME_NEVER;
  colt_reservations_expire (placement, now_us);
  colt_gangs_expire (placement, now_us);
  colt_buckets_resume_deferred (placement, now_us);
  if (placement->shares_stale)
    colt_teams_reorder_all (placement);
  placement->shares_stale = false;
  colt_teams_update_deficits (placement, now_us);
  while ((lane = colt_buckets_choose_lane (placement, now_us)) != NULL)
    {
      enum ColtTryResult result = TRY_LATER;

      if (placement->searches_left == 0)
        {
          schedule_wake_ (placement, now_us);
          return false;
        }
      if (now_us < lane->team->backoff_until_us)
        lane->retry_us = lane->team->backoff_until_us;
      else
        result = try_lane_ (placement, lane, now_us);
      if (result == TRY_PLACED)
        return true;
      if (result == TRY_BLOCKED)
        lane->blocked_generation = placement->generation;
      if (result != TRY_LATER)
        continue;
      schedule_wake_ (placement, lane->retry_us);
      colt_buckets_defer (placement, lane, lane->retry_us);
    }
  return false;
}

void
colt_decide_issue_choice (struct ColtPlacement *placement,
                          struct ColtWaitingTask *waiting,
                          int64_t now_us)
{
  struct ColtPlacementChoice *choice = g_new0 (struct ColtPlacementChoice, 1);
  struct ColtPlacedTask *placed = colt_placed_find (
      placement, &waiting->task.request, waiting->task.index);

  colt_reservations_drop_request (placement, &waiting->task.request);
  waiting->lane->team->reserve_pause_us = 0;
  choice->request = waiting->task.request;
  choice->index = waiting->task.index;
  choice->server = placed->server;
  colt_placed_set_held (placed, false);
  g_queue_push_tail (&placement->choices, choice);
  colt_learn_start_interval (waiting->lane->team, waiting->lane->kind, now_us);
  colt_queue_remove (placement, waiting);
}

static enum ColtTryResult
try_lane_ (struct ColtPlacement *placement,
           struct ColtLane *lane,
           int64_t now_us)
{
  struct ColtWaitingTask *waiting = colt_lane_get_head (lane);

  if (colt_admission_never_fits (placement, &waiting->task, now_us))
    {
      colt_admission_shed (placement, waiting, COLT_PLACEMENT_NEVER_FITS);
      return TRY_SHED;
    }
  if (colt_admission_is_too_late (lane->team, &waiting->task, now_us))
    {
      colt_admission_shed (placement, waiting, COLT_PLACEMENT_TOO_LATE);
      return TRY_SHED;
    }
  return waiting->gang != NULL ? try_gang_ (placement, waiting, now_us)
                               : try_single_ (placement, waiting, now_us);
}

static enum ColtTryResult
try_gang_ (struct ColtPlacement *placement,
           struct ColtWaitingTask *waiting,
           int64_t now_us)
{
  struct ColtLane *lane = waiting->lane;
  struct ColtSearch search;

  if (!colt_gangs_is_ready (placement, waiting, now_us))
    {
      lane->retry_us = colt_gangs_gather_end_us (waiting);
      return TRY_LATER;
    }
  if (colt_gangs_place (placement, waiting, now_us))
    return TRY_PLACED;
  colt_decide_init_search (&search, placement, waiting, now_us);
  colt_reservations_make (&search);
  lane->retry_us = now_us + DEFER_US;
  return TRY_LATER;
}

static enum ColtTryResult
try_single_ (struct ColtPlacement *placement,
             struct ColtWaitingTask *waiting,
             int64_t now_us)
{
  struct ColtPlacementServer *server;
  struct ColtSearch search;

  colt_decide_init_search (&search, placement, waiting, now_us);
  server = colt_search_server (&search);
  if (server != NULL)
    {
      colt_placed_add (placement, &search, server);
      colt_decide_issue_choice (placement, waiting, now_us);
      return TRY_PLACED;
    }
  waiting->lane->large = colt_reservations_make (&search);
  waiting->lane->retry_us = now_us + LARGE_RETRY_US;
  if (waiting->task.avoided_server == 0)
    return TRY_BLOCKED;
  waiting->lane->retry_us = now_us + DEFER_US;
  return TRY_LATER;
}

static void
schedule_wake_ (struct ColtPlacement *placement, int64_t time_us)
{
  placement->wake_us = MIN (placement->wake_us, time_us);
}
