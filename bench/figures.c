#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>

#include "bench.h"

static const char *
format_verdict_ (double value, enum ColtBenchBound bound, double limit);

const struct ColtBenchPlacementOps colt_bench_placement
    = { colt_placement_create,
        colt_placement_destroy,
        colt_placement_set_bundle,
        colt_placement_set_server,
        colt_placement_add,
        colt_placement_remove,
        colt_placement_choose_next,
        colt_placement_pop_shed,
        colt_placement_report_refusal,
        colt_placement_report_end,
        colt_placement_set_team_usage };

double
colt_bench_quantile (GArray *values, double part)
{
  double *data = (double *)values->data;

  if (values->len == 0)
    return NAN;
  gsl_sort (data, 1, values->len);
  return gsl_stats_quantile_from_sorted_data (data, 1, values->len, part);
}

void
colt_bench_print (const char *name,
                  double value,
                  const char *unit,
                  enum ColtBenchBound bound,
                  double limit)
{
  printf ("%-44s %12.3f %-8s %12s %8s", name, value, unit, "-", "-");
  if (bound != COLT_BENCH_NO_BOUND)
    printf ("  %s %g: %s", bound == COLT_BENCH_AT_MOST ? "at most" : "at least",
            limit, format_verdict_ (value, bound, limit));
  putchar ('\n');
}

void
colt_bench_print_ratio (const char *name,
                        double value,
                        const char *unit,
                        double baseline,
                        enum ColtBenchBound bound,
                        double limit)
{
  double ratio = value / baseline;

  printf ("%-44s %12.3f %-8s %12.3f %8.3f", name, value, unit, baseline, ratio);
  if (bound != COLT_BENCH_NO_BOUND)
    printf ("  ratio %s %g: %s",
            bound == COLT_BENCH_AT_MOST ? "at most" : "at least", limit,
            format_verdict_ (ratio, bound, limit));
  putchar ('\n');
}

static const char *
format_verdict_ (double value, enum ColtBenchBound bound, double limit)
{
  bool met = bound == COLT_BENCH_AT_MOST ? value <= limit : value >= limit;

  return met ? "met" : "MISSED";
}
