#include "placement_private.h"

/* How much a full server counts against a fast one. */
#define LOAD_PART 0.25
/* What a task on the same rack or server counts, against a full server's 1. */
#define SAME_RACK 100.0
#define SAME_SERVER 10.0
/* How much a slow server counts against one that fits better. */
#define SLOWNESS_PART 0.5

static double cost_pack_ (const struct ColtSearch *search,
                          const struct ColtPlacementServer *server);
static double cost_spread_ (const struct ColtSearch *search,
                            const struct ColtPlacementServer *server);
static double cost_balance_ (const struct ColtSearch *search,
                             const struct ColtPlacementServer *server);
static double cost_fastest_ (const struct ColtSearch *search,
                             const struct ColtPlacementServer *server);
static double slowness_ (const struct ColtSearch *search,
                         const struct ColtPlacementServer *server);
static double load_ (const struct ColtSearch *search,
                     const struct ColtPlacementServer *server);

const struct ColtPolicy colt_policies[COLT_POLICY_COUNT] = {
  [COLT_POLICY_PACK] = { cost_pack_, false, false },
  [COLT_POLICY_SPREAD] = { cost_spread_, true, true },
  [COLT_POLICY_BALANCE] = { cost_balance_, true, false },
  [COLT_POLICY_FASTEST] = { cost_fastest_, true, true },
};

/* The most that is left of any resource. */
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
  return most + SLOWNESS_PART * slowness_ (search, server);
}

static double
cost_spread_ (const struct ColtSearch *search,
              const struct ColtPlacementServer *server)
{
  const struct ColtPlacement *placement = search->placement;

  return SAME_RACK
             * colt_spread_on_rack (placement, search->team,
                                    server->digest.rack)
         + SAME_SERVER
               * colt_spread_on_server (placement, search->team,
                                        server->digest.server)
         + load_ (search, server) + slowness_ (search, server);
}

static double
cost_balance_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server)
{
  return load_ (search, server) + SLOWNESS_PART * slowness_ (search, server);
}

static double
cost_fastest_ (const struct ColtSearch *search,
               const struct ColtPlacementServer *server)
{
  return COLT_SPEED_NORMAL / colt_learned_speed (server, search->task->kind)
         * (1 + LOAD_PART * load_ (search, server));
}

/* How much longer than at normal speed the task takes, 0 for none. */
static double
slowness_ (const struct ColtSearch *search,
           const struct ColtPlacementServer *server)
{
  double speed = colt_learned_speed (server, search->task->kind);

  return speed >= COLT_SPEED_NORMAL ? 0 : COLT_SPEED_NORMAL / speed - 1;
}

/* The part of its scarcest resource that is taken with the task on it. */
static double
load_ (const struct ColtSearch *search,
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
