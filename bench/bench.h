/**
 * \file
 * \brief Simulation of a fleet that measures a placement in virtual time.
 */
#ifndef COLTSFOOTSTILE_BENCH_H
#define COLTSFOOTSTILE_BENCH_H

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"

/** Maximum number of teams of a workload. */
#define COLT_BENCH_TEAMS_MAX 400u
/** Maximum number of homes, the instances that place tasks concurrently. */
#define COLT_BENCH_HOMES_MAX 8u

/** Operations of a placement to be measured; see placement.h. */
struct ColtBenchPlacementOps
{
  struct ColtPlacement *(*create) (uint64_t seed);
  void (*destroy) (struct ColtPlacement *placement);
  void (*set_bundle) (struct ColtPlacement *placement,
                      const struct ColtBundle *bundle);
  void (*set_server) (struct ColtPlacement *placement,
                      const struct ColtServerDigest *digest,
                      int64_t now_us);
  enum ColtPlacementStatus (*add) (struct ColtPlacement *placement,
                                   const struct ColtPlacementTask *task,
                                   int64_t now_us);
  void (*remove) (struct ColtPlacement *placement,
                  const struct ColtId *request,
                  uint32_t index);
  bool (*choose_next) (struct ColtPlacement *placement,
                       int64_t now_us,
                       struct ColtPlacementChoice *choice);
  bool (*pop_shed) (struct ColtPlacement *placement,
                    struct ColtPlacementTask *task,
                    enum ColtPlacementStatus *status);
  void (*report_refusal) (struct ColtPlacement *placement,
                          const struct ColtPlacementTask *task,
                          uint32_t server,
                          enum ColtPlacementRefusal refusal,
                          int64_t now_us);
  void (*report_end) (struct ColtPlacement *placement,
                      const struct ColtPlacementTask *task,
                      uint32_t server,
                      const struct ColtTaskReport *report,
                      int64_t now_us);
  void (*set_team_usage) (struct ColtPlacement *placement,
                          uint32_t instance,
                          const char *team,
                          const struct ColtResources *running,
                          int64_t now_us);
};

/** The placement of placement.h. */
extern const struct ColtBenchPlacementOps colt_bench_placement;
/** Baseline: first come, first served, on a random server with room. */
extern const struct ColtBenchPlacementOps colt_bench_random;

/** A group of identical servers. */
struct ColtBenchServers
{
  unsigned count;
  unsigned per_rack; /**< servers in a rack */
  struct ColtResources capacity;
};

/** A stream of requests that arrive at random (a Poisson process). */
struct ColtBenchStream
{
  enum ColtWorkKind kind;
  double rate; /**< requests per second at load 1 */
  bool urgent;
  uint32_t tasks;    /**< tasks of each request */
  int64_t cores_min; /**< declared thousandths of a core, doubled at random up
                      * to cores_max; per accelerator if there are any */
  int64_t cores_max; /**< unused if there are accelerators */
  int64_t memory_per_core_mb;
  int64_t accelerators_max; /**< largest number; numbers are powers of two,
                             * larger ones are rarer; 0 for none */
  double run_ms;            /**< median run time at normal speed */
  double run_sigma;         /**< sigma of the lognormal run time */
  int64_t deadline_ms;      /**< 0 for none */
  bool follows_peak;        /**< arrives more often during the peak */
};

/** A deployment with its workload. */
struct ColtBenchPlan
{
  const char *name;
  uint64_t seed;
  unsigned homes;                         /**< at most COLT_BENCH_HOMES_MAX */
  unsigned teams;                         /**< at most COLT_BENCH_TEAMS_MAX */
  const struct ColtBenchServers *servers; /**< ends with a count of 0 */
  const struct ColtBenchStream *streams;  /**< ends with a rate of 0 */
  double load;       /**< factor of the rates of the streams */
  double peak;       /**< further factor in the middle third of the run; 1
                      * for none */
  int64_t seconds;   /**< length of the run in virtual time */
  int64_t settle_s;  /**< time at the start that is not measured; with a peak,
                      * only the peak is measured */
  unsigned services; /**< service tasks that run from the start */
  unsigned slow_servers;
  unsigned failing_servers;
  double size_error; /**< sigma of the lognormal ratio of real to declared
                      * sizes */
  double time_error; /**< sigma of the lognormal ratio of declared to real run
                      * times */
  bool cancel_waves; /**< cancels recent waiting tasks every minute */
};

/** Results of a run. */
struct ColtBenchResult
{
  GArray *waits[COLT_WORK_KIND_COUNT]; /**< of double, in ms */
  GArray *urgent_waits;                /**< of double, in ms */
  uint64_t urgent_unstarted;           /**< urgent tasks that never started */
  double goodput;        /**< slot seconds per second of tasks that finished by
                          * their deadline */
  double accelerators;   /**< mean fraction in use */
  double cores;          /**< mean fraction in use */
  double share_distance; /**< largest deviation of a team, as a fraction of its
                          * share */
  double refused_by_servers; /**< choices without room on the server, per
                              * started task */
  uint64_t started;          /**< tasks that started */
  uint64_t shed;             /**< tasks rejected or shed by the placement */
  uint64_t expired;          /**< tasks that waited until their deadline */
};

/** Runs a plan with a placement. \a result must be zeroed; free it with
 * colt_bench_result_clear(). */
void colt_bench_run (const struct ColtBenchPlan *plan,
                     const struct ColtBenchPlacementOps *ops,
                     struct ColtBenchResult *result);

/** Frees the arrays of a result. */
void colt_bench_result_clear (struct ColtBenchResult *result);

/** Draws a request of a stream. Sets its task, which stands for all of its
 * identical tasks, the resources that a task actually uses, and its actual run
 * time at normal speed. */
void colt_bench_draw_request (const struct ColtBenchPlan *plan,
                              const struct ColtBenchStream *stream,
                              gsl_rng *random,
                              struct ColtPlacementTask *task,
                              struct ColtResources *real,
                              double *real_ms);

/** Returns the weight of a team. */
int64_t colt_bench_team_weight (unsigned team);

/** Creates a bundle with a number of teams; the caller destroys it. */
struct ColtBundle *colt_bench_create_bundle (unsigned teams);

/** Sorts an array of double and returns its quantile \a part from 0 to 1, NaN
 * if it is empty. */
double colt_bench_quantile (GArray *values, double part);

/** Kind of bound on a figure. */
enum ColtBenchBound
{
  COLT_BENCH_NO_BOUND,
  COLT_BENCH_AT_MOST,
  COLT_BENCH_AT_LEAST
};

/** Prints a figure without a baseline, and whether it meets its bound. */
void colt_bench_print (const char *name,
                       double value,
                       const char *unit,
                       enum ColtBenchBound bound,
                       double limit);

/** Prints a figure with its baseline; the bound applies to their ratio. */
void colt_bench_print_ratio (const char *name,
                             double value,
                             const char *unit,
                             double baseline,
                             enum ColtBenchBound bound,
                             double limit);

/** Measures and prints waits, packing, shares and goodput of the deployment
 * "hangwell" or "hashim", or of both for "all". */
void colt_bench_measure_outcomes (const char *name, uint64_t seed);

/** Measures and prints the time and memory that decisions need at several fleet
 * sizes. */
void colt_bench_measure_costs (void);

#endif
