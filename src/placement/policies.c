#include "placement_private.h"

/* Fraction by which the fastest policy raises the cost of a fully loaded
 * server. */
#define LOAD_WEIGHT 0.25
/* Costs of each service of the team on the same rack and on the same server;
 * a full server costs 1. */
#define SAME_RACK_COST 100.0
#define SAME_SERVER_COST 10.0
/* Weight of slowness against a better fit or a lower load. */
#define SLOWNESS_WEIGHT 0.5

static double cost_pack_ (const struct ColtSearch *search,
                          const struct ColtPlacementServer *server);
static double cost_spread_ (const struct ColtSearch *search,
                            const struct ColtPlacementServer *server);
static double cost_balance_ (const struct ColtSearch *search,
                             const struct ColtPlacementServer *server);
static double cost_fastest_ (const struct ColtSearch *search,
                             const struct ColtPlacementServer *server);
static double compute_slowness_ (const struct ColtSearch *search,
                                 const struct ColtPlacementServer *server);
static double compute_load_ (const struct ColtSearch *search,
                             const struct ColtPlacementServer *server);

const struct ColtPolicy colt_policies[COLT_POLICY_COUNT] = {
  [COLT_POLICY_PACK] = { cost_pack_, false, false },
  [COLT_POLICY_SPREAD] = { cost_spread_, true, true },
  [COLT_POLICY_BALANCE] = { cost_balance_, true, false },
  [COLT_POLICY_FASTEST] = { cost_fastest_, true, true },
};

/* The cost is the largest fraction of a resource that would remain free, plus
 * the weighted slowness. */
static double
cost_pack_ (const struct ColtSearch *search,
            const struct ColtPlacementServer *server)
{
  const int64_t *capacity = server->digest.capacity.amount;
  double most = 0;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (capacity[i] > 0)
      {
        int64_t left = server->digest.free.amount[i] - search->demand.amount[i];

        most = MAX (most, (double)left / (double)capacity[i]);
      }
  return most + SLOWNESS_WEIGHT * compute_slowness_ (search, server);
}

static double
cost_spread_ (const struct ColtSearch *search,
              const struct ColtPlacementServer *server)
{
  const struct ColtPlacement *placement = search->placement;

  return SAME_RACK_COST
             * colt_placed_count_on_rack (placement, search->team,
                                          server->digest.rack)
         + SAME_SERVER_COST
               * colt_placed_count_on_server (placement, search->team,
                                              server->digest.server)
         + compute_load_ (search, server) + compute_slowness_ (search, server);
}

static double
cost_balance_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server)
{
  return compute_load_ (search, server)
         + SLOWNESS_WEIGHT * compute_slowness_ (search, server);
}

static double
cost_fastest_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server)
{
  return COLT_SPEED_NORMAL / colt_estimate_speed (server, search->task->kind)
         * (1 + LOAD_WEIGHT * compute_load_ (search, server));
}

/* Returns the additional run time as a fraction of that at normal speed, 0 for
 * none. */
static double
compute_slowness_ (const struct ColtSearch *search,
                   const struct ColtPlacementServer *server)
{
  double speed = colt_estimate_speed (server, search->task->kind);

  return speed >= COLT_SPEED_NORMAL ? 0 : COLT_SPEED_NORMAL / speed - 1;
}

/* Returns the used fraction of the scarcest resource, including the task. */
static double
compute_load_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server)
{
  const int64_t *capacity = server->digest.capacity.amount;
  double load = 0;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (capacity[i] > 0)
      {
        int64_t left = server->digest.free.amount[i] - search->demand.amount[i];

        load = MAX (load, 1 - (double)left / (double)capacity[i]);
      }
  return load;
}
