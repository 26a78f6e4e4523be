#include <string.h>

#include "placement_private.h"

/* Searches in one step, so that a decision takes a bounded time. */
#define SEARCHES_MAX 256u
/* When a large task that found no room is tried again in any case. */
#define LARGE_RETRY_US (250 * COLT_US_PER_MS)
/* How long a gang that found no room is left alone. */
#define GANG_RETRY_US (10 * COLT_US_PER_MS)

/* What came of an attempt to place. */
enum ColtTry
{
  TRY_PLACED,
  TRY_BLOCKED, /* no server until one has more room */
  TRY_LATER,   /* not yet */
  TRY_SHED     /* given up; the order may have changed */
};

static enum ColtTry try_lane_ (struct ColtPlacement *placement,
                               struct ColtLane *lane,
                               int64_t now_us);
static enum ColtTry try_gang_ (struct ColtPlacement *placement,
                               struct ColtWaiting *waiting,
                               int64_t now_us);
static enum ColtTry try_alone_ (struct ColtPlacement *placement,
                                struct ColtWaiting *waiting,
                                int64_t now_us);
static void wake_at_ (struct ColtPlacement *placement, int64_t time_us);

void
colt_decide_prepare (struct ColtSearch *search,
                     struct ColtPlacement *placement,
                     const struct ColtWaiting *waiting,
                     int64_t now_us)
{
  search->placement = placement;
  search->team = waiting->lane->team;
  search->task = &waiting->task;
  search->demand = colt_learned_demand (search->team, search->task);
  search->run_ms = colt_learned_run_ms (search->team, search->task);
  search->now_us = now_us;
  if (memcmp (&search->demand, &search->task->demand, sizeof search->demand)
          != 0
      && !colt_servers_hold (placement, COLT_SERVERS_PLAIN, &search->demand)
      && !colt_servers_hold (placement, COLT_SERVERS_ACCELERATED,
                             &search->demand))
    search->demand = search->task->demand;
}

bool
colt_decide (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtLane *lane;

  placement->searches = SEARCHES_MAX;
  placement->wake_us = COLT_TIME_NEVER;
  colt_reservations_expire (placement, now_us);
  colt_gangs_expire (placement, now_us);
  colt_buckets_resume (placement, now_us);
  if (placement->shares_stale)
    colt_teams_reorder_all (placement);
  placement->shares_stale = false;
  colt_teams_balance (placement, now_us);
  while ((lane = colt_buckets_choose (placement, now_us)) != NULL)
    {
      enum ColtTry result = TRY_LATER;

      if (placement->searches == 0)
        {
          wake_at_ (placement, now_us);
          return false;
        }
      if (now_us < lane->team->parked_until_us)
        lane->retry_us = lane->team->parked_until_us;
      else
        result = try_lane_ (placement, lane, now_us);
      if (result == TRY_PLACED)
        return true;
      if (result == TRY_BLOCKED)
        lane->blocked = placement->generation;
      if (result != TRY_LATER)
        continue;
      wake_at_ (placement, lane->retry_us);
      colt_buckets_defer (placement, lane, lane->retry_us);
    }
  return false;
}

void
colt_decide_hand_out (struct ColtPlacement *placement,
                      struct ColtWaiting *waiting,
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
  colt_learn_start (waiting->lane->team, waiting->lane->kind, now_us);
  colt_queue_remove (placement, waiting);
}

static enum ColtTry
try_lane_ (struct ColtPlacement *placement,
           struct ColtLane *lane,
           int64_t now_us)
{
  struct ColtWaiting *waiting = colt_lane_head (lane);

  if (colt_admission_never_fits (placement, &waiting->task, now_us))
    {
      colt_admission_shed (placement, waiting, COLT_PLACEMENT_NEVER_FITS);
      return TRY_SHED;
    }
  if (colt_admission_too_late (lane->team, &waiting->task, now_us))
    {
      colt_admission_shed (placement, waiting, COLT_PLACEMENT_TOO_LATE);
      return TRY_SHED;
    }
  return waiting->gang != NULL ? try_gang_ (placement, waiting, now_us)
                               : try_alone_ (placement, waiting, now_us);
}

static enum ColtTry
try_gang_ (struct ColtPlacement *placement,
           struct ColtWaiting *waiting,
           int64_t now_us)
{
  struct ColtLane *lane = waiting->lane;
  struct ColtSearch search;

  if (!colt_gangs_ready (placement, waiting, now_us))
    {
      lane->retry_us = colt_gangs_gather_us (waiting);
      return TRY_LATER;
    }
  if (colt_gangs_place (placement, waiting, now_us))
    return TRY_PLACED;
  colt_decide_prepare (&search, placement, waiting, now_us);
  colt_reservations_make (&search);
  lane->retry_us = now_us + GANG_RETRY_US;
  return TRY_LATER;
}

static enum ColtTry
try_alone_ (struct ColtPlacement *placement,
            struct ColtWaiting *waiting,
            int64_t now_us)
{
  struct ColtPlacementServer *server;
  struct ColtSearch search;

  colt_decide_prepare (&search, placement, waiting, now_us);
  server = colt_search_server (&search);
  if (server != NULL)
    {
      colt_placed_add (placement, &search, server);
      colt_decide_hand_out (placement, waiting, now_us);
      return TRY_PLACED;
    }
  waiting->lane->large = colt_reservations_make (&search);
  waiting->lane->retry_us = now_us + LARGE_RETRY_US;
  if (waiting->task.avoid == 0)
    return TRY_BLOCKED;
  waiting->lane->retry_us = now_us + GANG_RETRY_US;
  return TRY_LATER;
}

static void
wake_at_ (struct ColtPlacement *placement, int64_t time_us)
{
  placement->wake_us = MIN (placement->wake_us, time_us);
}
