#include <string.h>

#include "placement_private.h"

/* Searches in one step, so that a decision takes a bounded time. */
#define SEARCHES_MAX 256u
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

static enum ColtTry try_level_ (struct ColtPlacement *placement,
                                enum ColtLevel level,
                                int64_t now_us);
static enum ColtTry try_team_ (struct ColtPlacement *placement,
                               struct ColtPlacementTeam *team,
                               enum ColtLevel level,
                               int64_t now_us);
static struct ColtLane *choose_lane_ (struct ColtPlacement *placement,
                                      const struct ColtPlacementTeam *team,
                                      enum ColtLevel level,
                                      int64_t now_us,
                                      bool *later);
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
  int level;

  placement->searches = SEARCHES_MAX;
  placement->wake_us = COLT_TIME_NEVER;
  colt_reservations_expire (placement, now_us);
  if (placement->shares_stale)
    colt_teams_reorder_all (placement);
  placement->shares_stale = false;
  for (level = 0; level < COLT_LEVEL_COUNT; level++)
    {
      enum ColtTry result;

      do
        result = try_level_ (placement, (enum ColtLevel)level, now_us);
      while (result == TRY_SHED);
      if (result == TRY_PLACED)
        return true;
      if (result == TRY_LATER)
        break;
    }
  return false;
}

void
colt_decide_hand_out (struct ColtPlacement *placement,
                      struct ColtWaiting *waiting,
                      int64_t now_us)
{
  struct ColtPlacementChoice *choice = g_new0 (struct ColtPlacementChoice, 1);
  struct ColtReservation *reservation
      = colt_reservations_find (placement, &waiting->task.request);

  if (reservation != NULL)
    colt_reservations_drop (placement, reservation);
  choice->request = waiting->task.request;
  choice->index = waiting->task.index;
  choice->server
      = colt_placed_find (placement, &choice->request, choice->index)->server;
  g_queue_push_tail (&placement->choices, choice);
  colt_learn_start (waiting->lane->team, waiting->lane->kind, now_us);
  colt_queue_remove (placement, waiting);
}

/* Teams come in the order of their shares. */
static enum ColtTry
try_level_ (struct ColtPlacement *placement,
            enum ColtLevel level,
            int64_t now_us)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (placement->orders[level]);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      struct ColtPlacementTeam *team = g_sequence_get (iter);
      enum ColtTry result;

      if (now_us < team->parked_until_us)
        {
          wake_at_ (placement, team->parked_until_us);
          continue;
        }
      if (team->blocked[level] == placement->generation)
        continue;
      result = try_team_ (placement, team, level, now_us);
      if (result == TRY_PLACED || result == TRY_SHED)
        return result;
      if (placement->searches == 0)
        {
          wake_at_ (placement, now_us);
          return TRY_LATER;
        }
      if (result == TRY_BLOCKED)
        team->blocked[level] = placement->generation;
    }
  return TRY_BLOCKED;
}

static enum ColtTry
try_team_ (struct ColtPlacement *placement,
           struct ColtPlacementTeam *team,
           enum ColtLevel level,
           int64_t now_us)
{
  struct ColtLane *lane;
  bool later = false;

  while ((lane = choose_lane_ (placement, team, level, now_us, &later)) != NULL
         && placement->searches > 0)
    {
      enum ColtTry result = try_lane_ (placement, lane, now_us);

      if (result == TRY_PLACED || result == TRY_SHED)
        return result;
      if (result == TRY_BLOCKED)
        lane->blocked = placement->generation;
    }
  return later ? TRY_LATER : TRY_BLOCKED;
}

/* The lane whose head comes first, of those that may be tried now. */
static struct ColtLane *
choose_lane_ (struct ColtPlacement *placement,
              const struct ColtPlacementTeam *team,
              enum ColtLevel level,
              int64_t now_us,
              bool *later)
{
  struct ColtLane *first = NULL;
  int64_t first_key = INT64_MAX;
  guint i;

  for (i = 0; i < team->lanes->len; i++)
    {
      struct ColtLane *lane = g_ptr_array_index (team->lanes, i);
      int64_t key;

      if (lane->level != level || lane->blocked == placement->generation)
        continue;
      if (now_us < lane->retry_us)
        {
          wake_at_ (placement, lane->retry_us);
          *later = true;
          continue;
        }
      key = colt_lane_key (placement, lane);
      if (first != NULL && key >= first_key)
        continue;
      first = lane;
      first_key = key;
    }
  return first;
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
  colt_reservations_make (&search);
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
