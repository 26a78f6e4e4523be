#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

/* Prints one figure per line: name, value, unit, value of the baseline, ratio.
 * Usage: coltsfootstile_bench [all|hangwell|hashim|costs] [SEED] */
int
main (int argc, char **argv)
{
  const char *what = argc > 1 ? argv[1] : "all";
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;

  printf ("%-44s %12s %-8s %12s %8s\n", "figure", "value", "unit", "baseline",
          "ratio");
  if (strcmp (what, "costs") != 0)
    colt_bench_measure_outcomes (what, seed);
  if (strcmp (what, "costs") == 0 || strcmp (what, "all") == 0)
    colt_bench_measure_costs ();
  return 0;
}
