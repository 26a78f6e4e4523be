/**
 * \file
 * \brief A driver of the placement in virtual time, and its figures.
 */
#ifndef COLTSFOOTSTILE_BENCH_H
#define COLTSFOOTSTILE_BENCH_H

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"

/** Teams that a workload may have. */
#define COLT_BENCH_TEAMS_MAX 400u
/** Instances that decide at the same time. */
#define COLT_BENCH_HOMES_MAX 8u

/** A placement to be driven. */
struct ColtBenchDecider
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
  bool (*next) (struct ColtPlacement *placement,
                int64_t now_us,
                struct ColtPlacementChoice *choice);
  bool (*take_shed) (struct ColtPlacement *placement,
                     struct ColtPlacementTask *task,
                     enum ColtPlacementStatus *status);
  void (*refused) (struct ColtPlacement *placement,
                   const struct ColtPlacementTask *task,
                   uint32_t server,
                   enum ColtPlacementRefusal refusal,
                   int64_t now_us);
  void (*ended) (struct ColtPlacement *placement,
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

/** The project's placement. */
extern const struct ColtBenchDecider colt_bench_placement;
/** First come, first served, on a random server with room. */
extern const struct ColtBenchDecider colt_bench_random;

/** Servers that are alike. */
struct ColtBenchServers
{
  unsigned count;
  unsigned per_rack;
  struct ColtResources capacity;
};

/** Work that arrives at random. */
struct ColtBenchStream
{
  enum ColtWorkKind kind;
  double rate; /**< requests a second at load 1 */
  bool urgent;
  uint32_t tasks;
  int64_t cores_min; /**< declared, doubled at random up to the largest */
  int64_t cores_max;
  int64_t memory_per_core_mb;
  int64_t accelerators_max; /**< powers of two up to it, the largest rarest */
  double run_ms;            /**< median at normal speed */
  double run_sigma;
  int64_t deadline_ms; /**< 0 for none */
  bool follows_peak;
};

/** A deployment with its work. */
struct ColtBenchPlan
{
  const char *name;
  uint64_t seed;
  unsigned homes;
  unsigned teams;
  const struct ColtBenchServers *servers; /**< ends with a count of 0 */
  const struct ColtBenchStream *streams;  /**< ends with a rate of 0 */
  double load;
  double peak;       /**< load in the middle third, as a multiple */
  int64_t seconds;   /**< virtual */
  int64_t settle_s;  /**< not measured at the beginning */
  unsigned services; /**< that run from the beginning */
  unsigned slow_servers;
  unsigned failing_servers;
  double size_error; /**< sigma of real to declared sizes */
  double time_error; /**< sigma of real to declared run times */
  bool cancel_waves;
};

/** What came of a run. */
struct ColtBenchResult
{
  GArray *waits[COLT_WORK_KIND_COUNT]; /**< of double, in ms */
  GArray *urgent_waits;
  uint64_t urgent_unstarted;
  double useful;             /**< slot seconds a second that ended in time */
  double accelerators;       /**< part in use, mean */
  double cores;              /**< part in use, mean */
  double share_distance;     /**< largest of a team, part of its share */
  double refused_by_servers; /**< choices that found no room, part */
  uint64_t started;
  uint64_t shed;
  uint64_t expired;
};

/** Drives a placement through a plan. */
void colt_bench_run (const struct ColtBenchPlan *plan,
                     const struct ColtBenchDecider *decider,
                     struct ColtBenchResult *result);

/** Frees what a result holds. */
void colt_bench_result_clear (struct ColtBenchResult *result);

/** Draws a request of a stream: its tasks are alike. */
void colt_bench_draw (const struct ColtBenchPlan *plan,
                      const struct ColtBenchStream *stream,
                      gsl_rng *random,
                      struct ColtPlacementTask *task,
                      struct ColtResources *real,
                      double *real_ms);

/** Weight of a team of a plan. */
int64_t colt_bench_weight (unsigned team);

/** Makes a bundle with a number of teams. */
struct ColtBundle *colt_bench_bundle (unsigned teams);

/** Returns the \a part quantile of doubles, which are sorted. */
double colt_bench_quantile (GArray *values, double part);

/** How a figure is judged. */
enum ColtBenchBound
{
  COLT_BENCH_NO_BOUND,
  COLT_BENCH_AT_MOST,
  COLT_BENCH_AT_LEAST
};

/** Prints a figure without a baseline. */
void colt_bench_print (const char *name,
                       double value,
                       const char *unit,
                       enum ColtBenchBound bound,
                       double limit);

/** Prints a figure with a baseline; the bound is on the ratio. */
void colt_bench_print_ratio (const char *name,
                             double value,
                             const char *unit,
                             double baseline,
                             enum ColtBenchBound bound,
                             double limit);

/** Prints waiting, packing, shares and goodput of a deployment or of "all". */
void colt_bench_outcomes (const char *name, uint64_t seed);

/** Prints what decisions cost at several sizes. */
void colt_bench_costs (void);

#endif
