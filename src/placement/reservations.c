#include <stdlib.h>

#include "placement_private.h"

/* Servers of a class per concurrent reservation. At least one reservation is
 * permitted, and at most RESERVATIONS_MAX. */
#define SERVERS_PER_RESERVATION 12u
#define RESERVATIONS_MAX 8u
/* Lifetime of a reservation: twice the predicted time until the server has
 * room, within bounds, or LIFE_UNKNOWN_US without a prediction. */
#define LIFE_MIN_US (30 * COLT_US_PER_S)
#define LIFE_MAX_US (300 * COLT_US_PER_S)
#define LIFE_UNKNOWN_US (120 * COLT_US_PER_S)
/* Minimum time between two attempts at a reservation, as choosing a server is
 * costly. */
#define RESERVE_INTERVAL_US (20 * COLT_US_PER_MS)
/* Time that a task waits before a server is reserved for it. */
#define RESERVE_DELAY_US (100 * COLT_US_PER_MS)
/* A task is large if it needs more than the amounts of an average server
 * divided by these: the first for cores and memory, the second for
 * accelerators. */
#define LARGE_DIVISOR 4
#define LARGE_ACCELERATORS_DIVISOR 2
/* Most placed tasks of a server that a prediction of its room examines. */
#define RELEASES_MAX 64u
/* Factor on the expected run time of a task that must end before a reservation
 * needs its room. */
#define RUN_TIME_SAFETY 1.5

static bool may_reserve_ (const struct ColtSearch *search);
static bool is_same_gang_ (const struct ColtSearch *search,
                           const struct ColtReservation *reservation);
static bool is_large_ (const struct ColtSearch *search);
static struct ColtPlacementServer *
choose_server_ (const struct ColtSearch *search, int64_t *ready_us);
static bool predict_ready_ (const struct ColtPlacementServer *server,
                            const struct ColtResources *demand,
                            int64_t now_us,
                            int64_t *ready_us);
static gint compare_ends_ (gconstpointer a, gconstpointer b);
static bool ends_in_time_ (const struct ColtSearch *search,
                           const struct ColtPlacementServer *server,
                           int64_t ready_us);

bool
colt_reservations_make (struct ColtSearch *search)
{
  struct ColtPlacement *placement = search->placement;
  struct ColtPlacementServer *server;
  struct ColtReservation *reservation;
  int64_t ready_us = search->now_us;

  if (!is_large_ (search))
    return false;
  if (!may_reserve_ (search))
    return true;
  placement->reserve_after_us = search->now_us + RESERVE_INTERVAL_US;
  server = choose_server_ (search, &ready_us);
  if (server == NULL)
    return true;
  reservation = g_new0 (struct ColtReservation, 1);
  reservation->request = search->task->request;
  reservation->team = colt_teams_get (placement, search->task->team);
  reservation->server = server;
  reservation->ready_us = ready_us;
  reservation->expires_us
      = search->now_us
        + (ready_us > search->now_us ? CLAMP (2 * (ready_us - search->now_us),
                                              LIFE_MIN_US, LIFE_MAX_US)
                                     : LIFE_UNKNOWN_US);
  g_ptr_array_add (placement->reservations, reservation);
  server->reservation = reservation;
  colt_servers_index (placement, server, false);
  return true;
}

void
colt_reservations_drop (struct ColtPlacement *placement,
                        struct ColtReservation *reservation)
{
  g_ptr_array_remove_fast (placement->reservations, reservation);
  reservation->server->reservation = NULL;
  colt_servers_index (placement, reservation->server, true);
  g_free (reservation);
}

void
colt_reservations_drop_request (struct ColtPlacement *placement,
                                const struct ColtId *request)
{
  guint i = placement->reservations->len;

  while (i-- > 0)
    {
      struct ColtReservation *reservation
          = g_ptr_array_index (placement->reservations, i);

      if (colt_id_equal (&reservation->request, request))
        colt_reservations_drop (placement, reservation);
    }
}

void
colt_reservations_drop_server (struct ColtPlacement *placement,
                               struct ColtPlacementServer *server)
{
  if (server->reservation != NULL)
    colt_reservations_drop (placement, server->reservation);
}

void
colt_reservations_expire (struct ColtPlacement *placement, int64_t now_us)
{
  guint i = 0;

  while (i < placement->reservations->len)
    {
      struct ColtReservation *reservation
          = g_ptr_array_index (placement->reservations, i);

      if (now_us < reservation->expires_us)
        {
          placement->wake_us
              = MIN (placement->wake_us, reservation->expires_us);
          i++;
          continue;
        }
      colt_teams_pause_reservations (reservation->team, now_us);
      colt_reservations_drop (placement, reservation);
    }
}

struct ColtPlacementServer *
colt_reservations_find_backfill (struct ColtSearch *search)
{
  const struct ColtPlacement *placement = search->placement;
  guint i;

  if (search->run_ms <= 0)
    return NULL;
  for (i = 0; i < placement->reservations->len; i++)
    {
      const struct ColtReservation *reservation
          = g_ptr_array_index (placement->reservations, i);
      struct ColtPlacementServer *server = reservation->server;

      if (colt_servers_accepts_work (server)
          && server->digest.server != search->task->avoided_server
          && colt_resources_fit (&search->demand, &server->usable)
          && ends_in_time_ (search, server, reservation->ready_us))
        return server;
    }
  return NULL;
}

static bool
may_reserve_ (const struct ColtSearch *search)
{
  const struct ColtPlacement *placement = search->placement;
  enum ColtServerClass server_class = colt_search_choose_class (search);
  uint32_t servers = colt_fit_tree_count (placement->capacities[server_class]);
  uint32_t count = 0;
  guint i;

  if (search->now_us < placement->reserve_after_us
      || search->now_us < search->team->reserve_after_us
      || search->now_us < search->task->arrived_us + RESERVE_DELAY_US)
    return false;
  for (i = 0; i < placement->reservations->len; i++)
    {
      const struct ColtReservation *reservation
          = g_ptr_array_index (placement->reservations, i);

      if (reservation->team == search->team
          && !is_same_gang_ (search, reservation))
        return false;
      count += colt_servers_classify (&reservation->server->digest.capacity)
               == server_class;
    }
  return count < CLAMP (servers / SERVERS_PER_RESERVATION, 1, RESERVATIONS_MAX);
}

/* Returns whether a reservation is for the gang of a search. A gang may have
 * several. */
static bool
is_same_gang_ (const struct ColtSearch *search,
               const struct ColtReservation *reservation)
{
  return search->task->kind == COLT_WORK_GANG
         && colt_id_equal (&reservation->request, &search->task->request);
}

static bool
is_large_ (const struct ColtSearch *search)
{
  const struct ColtPlacement *placement = search->placement;
  const int64_t *demand = search->demand.amount;
  const int64_t *total = placement->total.amount;
  const enum ColtResource scarce = COLT_RESOURCE_ACCELERATORS;
  int64_t servers = g_hash_table_size (placement->servers);
  int64_t accelerated
      = colt_fit_tree_count (placement->capacities[COLT_SERVERS_ACCELERATED]);
  int i;

  if (search->task->urgent
      || demand[scarce] * accelerated * LARGE_ACCELERATORS_DIVISOR
             > total[scarce])
    return true;
  for (i = 0; i < COLT_RESOURCE_ACCELERATORS; i++)
    if (demand[i] * servers * LARGE_DIVISOR > total[i])
      return true;
  return false;
}

/* Returns the server that is expected to have room first, of all servers that
 * are large enough or, if there are many servers, of a sample. */
static struct ColtPlacementServer *
choose_server_ (const struct ColtSearch *search, int64_t *ready_us)
{
  const struct ColtPlacement *placement = search->placement;
  const struct ColtFitTree *tree
      = placement->capacities[colt_search_choose_class (search)];
  uint32_t count = colt_fit_tree_count (tree);
  bool all = count <= COLT_WHOLE_GROUP_MAX;
  struct ColtPlacementServer *best = NULL;
  bool best_known = false;
  uint32_t from = 0;
  unsigned i;

  for (i = 0; i < (all ? COLT_WHOLE_GROUP_MAX : COLT_CANDIDATES_MAX); i++)
    {
      int64_t time_us = search->now_us;
      struct ColtPlacementServer *server;
      bool known;

      if (!all)
        from = g_rand_int (placement->random) % count;
      server = colt_fit_tree_find (tree, &search->demand, from,
                                   COLT_FIT_NODES_MAX);
      if (server == NULL)
        break;
      from = server->positions[COLT_TREE_CAPACITY] + 1;
      if (server->reservation != NULL || !colt_servers_accepts_work (server))
        continue;
      known
          = predict_ready_ (server, &search->demand, search->now_us, &time_us);
      if (best != NULL
          && (best_known > known
              || (best_known == known && time_us >= *ready_us)))
        continue;
      best = server;
      best_known = known;
      *ready_us = time_us;
    }
  if (best != NULL && !best_known)
    *ready_us = search->now_us;
  return best;
}

/* Predicts when a server has room for a demand. Returns false if this depends
 * on tasks without a known end; the time then only serves to compare servers,
 * as it is 1 s later for each resource that stays too small. */
static bool
predict_ready_ (const struct ColtPlacementServer *server,
                const struct ColtResources *demand,
                int64_t now_us,
                int64_t *ready_us)
{
  const struct ColtPlacedTask *releases[RELEASES_MAX];
  struct ColtResources free = server->digest.free;
  const struct ColtPlacedTask *placed;
  size_t count = 0;
  size_t i;

  *ready_us = now_us;
  if (colt_resources_fit (demand, &free))
    return true;
  for (placed = server->placed; placed != NULL && count < RELEASES_MAX;
       placed = placed->next)
    if (placed->end_us != COLT_TIME_NEVER)
      releases[count++] = placed;
  qsort (releases, count, sizeof releases[0], compare_ends_);
  for (i = 0; i < count; i++)
    {
      colt_resources_add (&free, &releases[i]->declared);
      *ready_us = MAX (now_us, releases[i]->end_us);
      if (colt_resources_fit (demand, &free))
        return true;
    }
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    *ready_us += demand->amount[i] > free.amount[i] ? COLT_US_PER_S : 0;
  return false;
}

static gint
compare_ends_ (gconstpointer a, gconstpointer b)
{
  const struct ColtPlacedTask *first = *(gconstpointer const *)a;
  const struct ColtPlacedTask *second = *(gconstpointer const *)b;

  return (first->end_us > second->end_us) - (first->end_us < second->end_us);
}

static bool
ends_in_time_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server,
               int64_t ready_us)
{
  double speed = colt_estimate_speed (server, search->task->kind);
  double run_us = search->run_ms * RUN_TIME_SAFETY * COLT_SPEED_NORMAL / speed
                  * (double)COLT_US_PER_MS;

  return search->now_us + (int64_t)run_us <= ready_us;
}
