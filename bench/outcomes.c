#include <string.h>

#include "bench.h"

#define URGENT_BOUND_MS 3000
/* In mebibytes. */
#define GB INT64_C (1024)

static const struct ColtBenchServers hangwell_servers[]
    = { { 35, 5, { { 32000, 64 * GB, 0, 8, 64 } } },
        { 13, 3, { { 64000, 128 * GB, 8, 8, 64 } } },
        { 0 } };

static const struct ColtBenchServers hashim_servers[]
    = { { 35, 5, { { 16000, 64 * GB, 0, 8, 64 } } },
        { 13, 3, { { 32000, 128 * GB, 8, 8, 64 } } },
        { 0 } };

/* Quotes and confirmations, batch work that fills the remaining capacity, and
 * renders. */
static const struct ColtBenchStream hangwell_streams[]
    = { { COLT_WORK_INTERACTIVE, 120, false, 1, 500, 4000, 1024, 0, 400, 0.8,
          10000, true },
        { COLT_WORK_INTERACTIVE, 1, true, 1, 500, 2000, 1024, 0, 400, 0.8,
          10000, true },
        { COLT_WORK_BATCH, 5, false, 1, 2000, 8000, 1024, 0, 15000, 0.6, 300000,
          true },
        { COLT_WORK_BATCH, 0.7, false, 1, 4000, 0, 1024, 8, 30000, 0.5, 300000,
          true },
        { COLT_WORK_GANG, 0.05, false, 4, 4000, 0, 1024, 2, 30000, 0.4, 300000,
          true },
        { 0 } };

/* Plan views, batch work, renders that take whole servers, and gangs. */
static const struct ColtBenchStream hashim_streams[]
    = { { COLT_WORK_INTERACTIVE, 40, false, 1, 500, 2000, 2048, 0, 800, 0.8,
          20000, true },
        { COLT_WORK_INTERACTIVE, 0.5, true, 1, 500, 1000, 2048, 0, 400, 0.8,
          20000, true },
        { COLT_WORK_BATCH, 4, false, 1, 1000, 4000, 2048, 0, 20000, 0.6, 600000,
          true },
        { COLT_WORK_BATCH, 0.32, false, 1, 3000, 0, 2048, 8, 60000, 0.6, 600000,
          true },
        { COLT_WORK_GANG, 0.02, false, 4, 3000, 0, 2048, 4, 60000, 0.4, 600000,
          true },
        { 0 } };

/* Batch work; the work of each team alone fills the fleet many times over. */
static const struct ColtBenchStream busy_streams[]
    = { { COLT_WORK_BATCH, 30, false, 1, 2000, 8000, 1024, 0, 10000, 0.5,
          120000, false },
        { COLT_WORK_BATCH, 6, false, 1, 3000, 0, 1024, 8, 20000, 0.5, 120000,
          false },
        { 0 } };

/* Short work with deadlines, which fills the fleet at load 1. */
static const struct ColtBenchStream deadline_streams[]
    = { { COLT_WORK_INTERACTIVE, 150, false, 1, 500, 4000, 1024, 0, 800, 0.6,
          5000, false },
        { COLT_WORK_BATCH, 11, false, 1, 2000, 4000, 1024, 0, 10000, 0.5, 60000,
          false },
        { COLT_WORK_BATCH, 1.6, false, 1, 4000, 0, 1024, 8, 30000, 0.5, 120000,
          false },
        { COLT_WORK_INTERACTIVE, 1, true, 1, 500, 2000, 1024, 0, 400, 0.6, 5000,
          false },
        { 0 } };

static const struct ColtBenchPlan hangwell = { "hangwell",
                                               1,
                                               1,
                                               6,
                                               hangwell_servers,
                                               hangwell_streams,
                                               1,
                                               1.7,
                                               900,
                                               60,
                                               40,
                                               3,
                                               2,
                                               0.3,
                                               0.5,
                                               true };

static const struct ColtBenchPlan hashim = { "hashim",
                                             1,
                                             1,
                                             6,
                                             hashim_servers,
                                             hashim_streams,
                                             1,
                                             1.6,
                                             1800,
                                             60,
                                             40,
                                             3,
                                             2,
                                             0.3,
                                             0.5,
                                             true };

static void measure_peak_ (const struct ColtBenchPlan *plan, bool bound_waits);
static void measure_shares_ (const struct ColtBenchPlan *plan,
                             unsigned homes,
                             bool bound_packing);
static void measure_overload_ (const struct ColtBenchPlan *plan);
static void print_waits_ (const struct ColtBenchPlan *plan,
                          struct ColtBenchResult *result,
                          struct ColtBenchResult *baseline,
                          bool bounded);
static char *format_name_ (const struct ColtBenchPlan *plan,
                           const char *figure);

void
colt_bench_measure_outcomes (const char *name, uint64_t seed)
{
  const struct ColtBenchPlan *plans[] = { &hangwell, &hashim };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (plans); i++)
    {
      struct ColtBenchPlan plan = *plans[i];

      if (strcmp (name, "all") != 0 && strcmp (name, plan.name) != 0)
        continue;
      plan.seed = seed;
      measure_peak_ (&plan, i == 0);
      measure_shares_ (&plan, 1, i == 1);
      measure_shares_ (&plan, 3, i == 1);
      measure_overload_ (&plan);
    }
}

static void
measure_peak_ (const struct ColtBenchPlan *plan, bool bound_waits)
{
  struct ColtBenchResult result = { 0 };
  struct ColtBenchResult baseline = { 0 };

  colt_bench_run (plan, &colt_bench_placement, &result);
  colt_bench_run (plan, &colt_bench_random, &baseline);
  print_waits_ (plan, &result, &baseline, bound_waits);
  colt_bench_print_ratio (format_name_ (plan, "peak.accelerators"),
                          100 * result.accelerators, "%",
                          100 * baseline.accelerators, COLT_BENCH_NO_BOUND, 0);
  colt_bench_print_ratio (format_name_ (plan, "peak.cores"), 100 * result.cores,
                          "%", 100 * baseline.cores, COLT_BENCH_NO_BOUND, 0);
  colt_bench_print_ratio (format_name_ (plan, "peak.refused_by_servers"),
                          100 * result.refused_by_servers, "%",
                          100 * baseline.refused_by_servers,
                          COLT_BENCH_NO_BOUND, 0);
  colt_bench_print_ratio (format_name_ (plan, "peak.useful"), result.goodput,
                          "slots", baseline.goodput, COLT_BENCH_NO_BOUND, 0);
  colt_bench_result_clear (&result);
  colt_bench_result_clear (&baseline);
}

static void
print_waits_ (const struct ColtBenchPlan *plan,
              struct ColtBenchResult *result,
              struct ColtBenchResult *baseline,
              bool bounded)
{
  int kind;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    {
      char figure[64];

      if (result->waits[kind]->len == 0)
        continue;
      g_snprintf (figure, sizeof figure, "peak.wait_p50.%s",
                  colt_work_kind_string[kind]);
      colt_bench_print_ratio (format_name_ (plan, figure),
                              colt_bench_quantile (result->waits[kind], 0.5),
                              "ms",
                              colt_bench_quantile (baseline->waits[kind], 0.5),
                              COLT_BENCH_NO_BOUND, 0);
      g_snprintf (figure, sizeof figure, "peak.wait_p99.%s",
                  colt_work_kind_string[kind]);
      colt_bench_print_ratio (
          format_name_ (plan, figure),
          colt_bench_quantile (result->waits[kind], 0.99), "ms",
          colt_bench_quantile (baseline->waits[kind], 0.99),
          bounded ? COLT_BENCH_AT_MOST : COLT_BENCH_NO_BOUND, 0.5);
    }
  colt_bench_print (format_name_ (plan, "peak.unstarted.urgent"),
                    (double)result->urgent_unstarted, "tasks",
                    COLT_BENCH_NO_BOUND, 0);
  colt_bench_print (format_name_ (plan, "peak.wait_max.urgent"),
                    colt_bench_quantile (result->urgent_waits, 1), "ms",
                    COLT_BENCH_AT_MOST, URGENT_BOUND_MS);
}

static void
measure_shares_ (const struct ColtBenchPlan *deployment,
                 unsigned homes,
                 bool bound_packing)
{
  struct ColtBenchPlan plan = *deployment;
  struct ColtBenchResult result = { 0 };
  struct ColtBenchResult baseline = { 0 };
  char figure[64];

  plan.homes = homes;
  plan.streams = busy_streams;
  plan.load = 2;
  plan.peak = 1;
  plan.seconds = 600;
  plan.settle_s = 120;
  plan.services = 0;
  plan.cancel_waves = false;
  colt_bench_run (&plan, &colt_bench_placement, &result);
  colt_bench_run (&plan, &colt_bench_random, &baseline);
  g_snprintf (figure, sizeof figure, "busy.share_distance.%u_homes", homes);
  colt_bench_print (format_name_ (&plan, figure), 100 * result.share_distance,
                    "%", COLT_BENCH_AT_MOST, 5);
  g_snprintf (figure, sizeof figure, "busy.accelerators.%u_homes", homes);
  colt_bench_print_ratio (
      format_name_ (&plan, figure), 100 * result.accelerators, "%",
      100 * baseline.accelerators,
      bound_packing ? COLT_BENCH_AT_LEAST : COLT_BENCH_NO_BOUND, 1.15);
  g_snprintf (figure, sizeof figure, "busy.refused_by_servers.%u_homes", homes);
  colt_bench_print_ratio (
      format_name_ (&plan, figure), 100 * result.refused_by_servers, "%",
      100 * baseline.refused_by_servers, COLT_BENCH_NO_BOUND, 0);
  colt_bench_result_clear (&result);
  colt_bench_result_clear (&baseline);
}

static void
measure_overload_ (const struct ColtBenchPlan *deployment)
{
  static const double loads[] = { 1, 2, 5, 10 };
  double peak = 0;
  double baseline_peak = 0;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct ColtBenchPlan plan = *deployment;
      struct ColtBenchResult result = { 0 };
      struct ColtBenchResult baseline = { 0 };
      char figure[64];

      plan.streams = deadline_streams;
      plan.load = loads[i];
      plan.peak = 1;
      plan.seconds = 240;
      plan.settle_s = 90;
      plan.cancel_waves = false;
      colt_bench_run (&plan, &colt_bench_placement, &result);
      colt_bench_run (&plan, &colt_bench_random, &baseline);
      peak = MAX (peak, result.goodput);
      baseline_peak = MAX (baseline_peak, baseline.goodput);
      g_snprintf (figure, sizeof figure, "goodput.load_%g", loads[i]);
      colt_bench_print_ratio (format_name_ (&plan, figure), result.goodput,
                              "slots", baseline.goodput, COLT_BENCH_NO_BOUND,
                              0);
      g_snprintf (figure, sizeof figure, "goodput_of_peak.load_%g", loads[i]);
      colt_bench_print (format_name_ (&plan, figure),
                        100 * result.goodput / peak, "%", COLT_BENCH_AT_LEAST,
                        90);
      g_snprintf (figure, sizeof figure, "goodput_of_peak.random.load_%g",
                  loads[i]);
      colt_bench_print (format_name_ (&plan, figure),
                        100 * baseline.goodput / baseline_peak, "%",
                        COLT_BENCH_NO_BOUND, 0);
      g_snprintf (figure, sizeof figure, "urgent_unstarted.load_%g", loads[i]);
      colt_bench_print (format_name_ (&plan, figure),
                        (double)result.urgent_unstarted, "tasks",
                        COLT_BENCH_NO_BOUND, 0);
      g_snprintf (figure, sizeof figure, "urgent_wait_max.load_%g", loads[i]);
      colt_bench_print (format_name_ (&plan, figure),
                        colt_bench_quantile (result.urgent_waits, 1), "ms",
                        COLT_BENCH_AT_MOST, URGENT_BOUND_MS);
      colt_bench_result_clear (&result);
      colt_bench_result_clear (&baseline);
    }
}

/* Returns a static buffer that the next call overwrites. */
static char *
format_name_ (const struct ColtBenchPlan *plan, const char *figure)
{
  static char name[96];

  g_snprintf (name, sizeof name, "%s.%s", plan->name, figure);
  return name;
}
