#include "placement_private.h"

/* Time from the start of its wait during which a task avoids the server of its
 * last failed attempt. */
#define AVOID_US (2 * COLT_US_PER_S)

/* Longest expected run time of short work, which may take the cores and memory
 * that free accelerators need, because it ends soon. */
#define SHORT_RUN_MS_MAX 5000.0

/* The best server found so far. */
struct ColtBest
{
  struct ColtSearch *search;
  const struct ColtPolicy *policy;
  struct ColtPlacementServer *server;
  double cost;
  unsigned compared; /* number of servers compared */
};

static void search_plain_ (struct ColtBest *best);
static void search_accelerated_ (struct ColtBest *best, int64_t accelerators);
static void search_tree_ (struct ColtBest *best,
                          const struct ColtFitTree *tree);
static void evaluate_server_ (struct ColtBest *best,
                              struct ColtPlacementServer *server);
static bool is_allowed_ (const struct ColtSearch *search,
                         const struct ColtPlacementServer *server);
static bool is_short_ (const struct ColtSearch *search);
static bool may_use_reserve_ (const struct ColtSearch *search);
static bool
keeps_accelerators_usable_ (const struct ColtSearch *search,
                            const struct ColtPlacementServer *server);
static void search_reservation_ (struct ColtBest *best);

struct ColtPlacementServer *
colt_search_server (struct ColtSearch *search)
{
  struct ColtPlacement *placement = search->placement;
  const struct ColtPlacementTask *task = search->task;
  struct ColtBest best
      = { search, &colt_policies[placement->rules[task->kind].policy], NULL, 0,
          0 };
  int64_t accelerators = search->demand.amount[COLT_RESOURCE_ACCELERATORS];

  if (placement->searches_left > 0)
    placement->searches_left--;
  search_reservation_ (&best);
  if (best.server != NULL)
    return best.server;
  if (accelerators == 0)
    search_plain_ (&best);
  if (best.server == NULL)
    search_accelerated_ (&best, accelerators);
  if (best.server == NULL && may_use_reserve_ (search))
    search_tree_ (&best, placement->reserve);
  if (best.server == NULL)
    return colt_reservations_find_backfill (search);
  return best.server;
}

enum ColtServerClass
colt_search_choose_class (const struct ColtSearch *search)
{
  if (search->demand.amount[COLT_RESOURCE_ACCELERATORS] == 0
      && colt_servers_has_capacity (search->placement, COLT_SERVERS_PLAIN,
                                    &search->demand))
    return COLT_SERVERS_PLAIN;
  return COLT_SERVERS_ACCELERATED;
}

static void
search_plain_ (struct ColtBest *best)
{
  const struct ColtPlacement *placement = best->search->placement;
  unsigned i;

  for (i = 0; i < COLT_GROUP_PLAIN_COUNT; i++)
    {
      unsigned group
          = best->policy->emptiest_first ? COLT_GROUP_PLAIN_COUNT - 1 - i : i;

      search_tree_ (best, placement->groups[group]);
      if (best->server != NULL && !best->policy->across_groups)
        return;
      if (best->compared >= COLT_CANDIDATES_MAX)
        return;
    }
}

/* Searches the servers with the fewest sufficient free accelerators first, so
 * that larger numbers of free accelerators stay together. */
static void
search_accelerated_ (struct ColtBest *best, int64_t accelerators)
{
  const struct ColtPlacement *placement = best->search->placement;
  int64_t i = MIN (accelerators, (int64_t)COLT_GROUP_ACCELERATED_COUNT - 1);

  for (; i < COLT_GROUP_ACCELERATED_COUNT && best->server == NULL; i++)
    search_tree_ (best, placement->groups[COLT_GROUP_PLAIN_COUNT + i]);
}

/* Compares all fitting servers of a small tree, and a sample of a large one. */
static void
search_tree_ (struct ColtBest *best, const struct ColtFitTree *tree)
{
  GRand *random = best->search->placement->random;
  uint32_t count = colt_fit_tree_count (tree);
  bool all = count <= COLT_WHOLE_GROUP_MAX;
  uint32_t from = 0;
  unsigned i;

  if (count == 0)
    return;
  for (i = 0; i < COLT_WHOLE_GROUP_MAX; i++)
    {
      struct ColtPlacementServer *server;

      if (!all)
        from = g_rand_int (random) % count;
      server = colt_fit_tree_find (tree, &best->search->demand, from,
                                   COLT_FIT_NODES_MAX);
      if (server == NULL && !all && from > 0)
        server = colt_fit_tree_find (tree, &best->search->demand, 0,
                                     COLT_FIT_NODES_MAX);
      if (server == NULL)
        return;
      evaluate_server_ (best, server);
      if (!all && best->compared >= COLT_CANDIDATES_MAX)
        return;
      from = server->positions[tree == best->search->placement->reserve
                                   ? COLT_TREE_RESERVE
                                   : COLT_TREE_USABLE]
             + 1;
    }
}

static void
evaluate_server_ (struct ColtBest *best, struct ColtPlacementServer *server)
{
  double cost;

  if (!is_allowed_ (best->search, server))
    return;
  cost = best->policy->cost (best->search, server);
  best->compared++;
  if (best->server != NULL && cost >= best->cost)
    return;
  best->server = server;
  best->cost = cost;
}

static bool
is_allowed_ (const struct ColtSearch *search,
             const struct ColtPlacementServer *server)
{
  const struct ColtPlacementTask *task = search->task;
  uint32_t probation = server->digest.probation_permille;

  if (server->digest.server == task->avoided_server
      && search->now_us < search->added_us + AVOID_US)
    return false;
  if (probation < 1000
      && g_rand_int (search->placement->random) % 1000 >= probation)
    return false;
  return task->urgent || is_short_ (search)
         || keeps_accelerators_usable_ (search, server)
         || colt_search_choose_class (search) == COLT_SERVERS_ACCELERATED;
}

static bool
is_short_ (const struct ColtSearch *search)
{
  return search->run_ms > 0 && search->run_ms <= SHORT_RUN_MS_MAX;
}

/* Returns whether the task may use the reserve. Short work of high priority
 * may, as well as urgent work, because it frees the room soon. */
static bool
may_use_reserve_ (const struct ColtSearch *search)
{
  enum ColtWorkKind kind = search->task->kind;

  return search->task->urgent
         || (is_short_ (search)
             && colt_teams_is_high_priority (search->placement, kind));
}

/* Returns whether the task leaves enough for the free accelerators of a server:
 * a task without accelerators must leave a slot for each, and half of its
 * proportional part of cores and memory. */
static bool
keeps_accelerators_usable_ (const struct ColtSearch *search,
                            const struct ColtPlacementServer *server)
{
  static const enum ColtResource shared[]
      = { COLT_RESOURCE_CORES, COLT_RESOURCE_MEMORY };
  const int64_t *capacity = server->digest.capacity.amount;
  const int64_t *free = server->digest.free.amount;
  const int64_t *demand = search->demand.amount;
  int64_t accelerators = free[COLT_RESOURCE_ACCELERATORS];
  size_t i;

  if (demand[COLT_RESOURCE_ACCELERATORS] > 0
      || capacity[COLT_RESOURCE_ACCELERATORS] == 0)
    return true;
  if (free[COLT_RESOURCE_SLOTS] - demand[COLT_RESOURCE_SLOTS] < accelerators)
    return false;
  for (i = 0; i < G_N_ELEMENTS (shared); i++)
    if ((free[shared[i]] - demand[shared[i]]) * 2
            * capacity[COLT_RESOURCE_ACCELERATORS]
        < accelerators * capacity[shared[i]])
      return false;
  return true;
}

static void
search_reservation_ (struct ColtBest *best)
{
  const struct ColtSearch *search = best->search;
  const GPtrArray *reservations = search->placement->reservations;
  guint i;

  for (i = 0; i < reservations->len; i++)
    {
      const struct ColtReservation *reservation
          = g_ptr_array_index (reservations, i);

      if (colt_id_equal (&reservation->request, &search->task->request)
          && colt_servers_accepts_work (reservation->server)
          && colt_resources_fit (&search->demand,
                                 &reservation->server->digest.free))
        evaluate_server_ (best, reservation->server);
    }
}
