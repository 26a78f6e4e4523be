/**
 * \file
 * \brief What really runs in a driven fleet.
 */
#ifndef COLTSFOOTSTILE_BENCH_FLEET_H
#define COLTSFOOTSTILE_BENCH_FLEET_H

#include "bench.h"

/** A server as it really is. */
struct ColtFleetServer
{
  struct ColtServerDigest digest;
  struct ColtResources free;
  double speed; /**< 1 is normal */
  bool failing;
  bool changed;
  unsigned failures;
  int64_t probation_us;
  int64_t probation_until_us;
};

/** Where a task stands. */
enum ColtFleetState
{
  COLT_FLEET_WAITING,
  COLT_FLEET_DELAYED,
  COLT_FLEET_RUNNING,
  COLT_FLEET_ENDED
};

/** A task as it really is. */
struct ColtFleetTask
{
  struct ColtPlacementTask task;
  struct ColtResources held; /**< what the server reserves */
  struct ColtResources real;
  double real_ms;
  enum ColtFleetState state;
  uint32_t server;
  unsigned attempts;
  int64_t started_us;
  bool measured;
  unsigned *siblings_waiting; /**< tasks of the request that never started */
};

/** What happens at a time. */
enum ColtFleetEventKind
{
  COLT_FLEET_END,
  COLT_FLEET_RETRY,
  COLT_FLEET_DEADLINE
};

struct ColtFleetEvent
{
  int64_t time_us;
  enum ColtFleetEventKind kind;
  struct ColtFleetTask *task;
};

/** A fleet that is driven. */
struct ColtFleet
{
  const struct ColtBenchPlan *plan;
  const struct ColtBenchDecider *decider;
  struct ColtBenchResult *result;
  struct ColtPlacement *homes[COLT_BENCH_HOMES_MAX];
  gsl_rng *random;
  int64_t now_us;
  GArray *servers;   /**< of struct ColtFleetServer */
  GPtrArray *tasks;  /**< of struct ColtFleetTask, all that ever came */
  GPtrArray *counts; /**< of unsigned, one for each request */
  GHashTable *index; /**< task key -> struct ColtFleetTask */
  GSequence *events; /**< of struct ColtFleetEvent */
  uint64_t requests;
  uint64_t bounces;
  struct ColtResources total;
  /** Declared sizes of what runs, by home and team. */
  struct ColtResources running[COLT_BENCH_HOMES_MAX][COLT_BENCH_TEAMS_MAX];
  double shares[COLT_BENCH_TEAMS_MAX]; /**< sums of samples */
  unsigned samples;
};

/* fleet.c */
struct ColtFleet *colt_fleet_create (const struct ColtBenchPlan *plan,
                                     const struct ColtBenchDecider *decider,
                                     struct ColtBenchResult *result);
void colt_fleet_destroy (struct ColtFleet *fleet);
void colt_fleet_arrive (struct ColtFleet *fleet,
                        const struct ColtBenchStream *stream);
void colt_fleet_run_events (struct ColtFleet *fleet);
void colt_fleet_tell_servers (struct ColtFleet *fleet);
void colt_fleet_tell_usage (struct ColtFleet *fleet);
void colt_fleet_place (struct ColtFleet *fleet);
void colt_fleet_cancel_some (struct ColtFleet *fleet);
void colt_fleet_sample (struct ColtFleet *fleet);

#endif
