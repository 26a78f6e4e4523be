/**
 * \file
 * \brief Simulated fleet: its servers, and the tasks that run there.
 */
#ifndef COLTSFOOTSTILE_BENCH_FLEET_H
#define COLTSFOOTSTILE_BENCH_FLEET_H

#include "bench.h"

/** A simulated server. */
struct ColtFleetServer
{
  struct ColtServerDigest digest; /**< last sent to the placements */
  struct ColtResources free;      /**< actually free */
  double speed;                   /**< 1 is normal */
  bool failing;                   /**< fails every task */
  bool changed;                   /**< since the last digest */
  unsigned failures;              /**< consecutive */
  int64_t probation_us;           /**< length of the last probation */
  int64_t probation_until_us;     /**< end of the last probation */
};

/** State of a task. */
enum ColtFleetState
{
  COLT_FLEET_WAITING,
  COLT_FLEET_DELAYED, /**< until its retry */
  COLT_FLEET_RUNNING,
  COLT_FLEET_ENDED
};

/** A simulated task. */
struct ColtFleetTask
{
  struct ColtPlacementTask task;
  struct ColtResources reserved; /**< reserved by the server */
  struct ColtResources real;     /**< actually used */
  double real_ms;                /**< real run time at normal speed */
  enum ColtFleetState state;
  uint32_t server;
  unsigned attempts;
  int64_t started_us;
  bool measured;              /**< arrived in the measured time */
  unsigned *siblings_waiting; /**< tasks of the request that have not
                               * started; shared by them */
};

/** Kind of a timed event. */
enum ColtFleetEventKind
{
  COLT_FLEET_END,
  COLT_FLEET_RETRY,
  COLT_FLEET_DEADLINE
};

/** An event of a task. */
struct ColtFleetEvent
{
  int64_t time_us;
  enum ColtFleetEventKind kind;
  struct ColtFleetTask *task;
};

/** A simulated fleet. */
struct ColtBenchFleet
{
  const struct ColtBenchPlan *plan;
  const struct ColtBenchPlacementOps *ops;
  struct ColtBenchResult *result;
  struct ColtPlacement *homes[COLT_BENCH_HOMES_MAX];
  gsl_rng *random;
  int64_t now_us;
  GArray *servers;           /**< of struct ColtFleetServer */
  GPtrArray *tasks;          /**< of struct ColtFleetTask, all that arrived */
  GPtrArray *waiting_counts; /**< of unsigned, one for each request */
  GHashTable *index;         /**< task key -> struct ColtFleetTask */
  GSequence *events;         /**< of struct ColtFleetEvent */
  uint64_t requests;
  uint64_t refusals;          /**< choices refused for lack of room */
  struct ColtResources total; /**< capacity of all servers */
  /** Declared sizes of running tasks, by home and team. */
  struct ColtResources running[COLT_BENCH_HOMES_MAX][COLT_BENCH_TEAMS_MAX];
  double shares[COLT_BENCH_TEAMS_MAX]; /**< sums over the samples, by team */
  unsigned samples;
};

/** Creates the fleet of a plan, without tasks. */
struct ColtBenchFleet *
colt_bench_fleet_create (const struct ColtBenchPlan *plan,
                         const struct ColtBenchPlacementOps *ops,
                         struct ColtBenchResult *result);
/** Destroys a fleet; plan, ops and result stay. */
void colt_bench_fleet_destroy (struct ColtBenchFleet *fleet);
/** Draws a request of a stream and submits its tasks to its home. */
void colt_bench_fleet_add_request (struct ColtBenchFleet *fleet,
                                   const struct ColtBenchStream *stream);
/** Handles all events until now_us. */
void colt_bench_fleet_run_events (struct ColtBenchFleet *fleet);
/** Sends the digests of changed servers to all homes. */
void colt_bench_fleet_send_digests (struct ColtBenchFleet *fleet);
/** Sends each home the usage of teams at the other homes. */
void colt_bench_fleet_send_usage (struct ColtBenchFleet *fleet);
/** Starts the tasks that the homes choose, and ends those that they shed. */
void colt_bench_fleet_place_tasks (struct ColtBenchFleet *fleet);
/** Cancels a random part of those of the latest tasks that still wait. */
void colt_bench_fleet_cancel_wave (struct ColtBenchFleet *fleet);
/** Adds the current use of resources and the teams' shares to the sums, within
 * the measured time. */
void colt_bench_fleet_take_sample (struct ColtBenchFleet *fleet);

#endif
