#include "lag.h"

#include <glib.h>

/* Part of a new delay in the running mean: about the last half second of a
 * timer of 25 ms. */
#define WEIGHT 0.1
/* A delay counts as at most this many periods: the machine may have been
 * stopped for a while, which says nothing of its speed after. */
#define PERIODS_MAX 4

void
colt_lag_init (struct ColtLag *lag, int64_t period_us)
{
  lag->period_us = period_us;
  lag->last_us = 0;
  lag->mean_us = 0;
}

void
colt_lag_note (struct ColtLag *lag, int64_t now_us)
{
  int64_t late_us = now_us - lag->last_us - lag->period_us;

  if (lag->last_us != 0)
    lag->mean_us += WEIGHT
                    * ((double)CLAMP (late_us, 0, PERIODS_MAX * lag->period_us)
                       - lag->mean_us);
  lag->last_us = now_us;
}

double
colt_lag_speed (const struct ColtLag *lag)
{
  return (double)lag->period_us / ((double)lag->period_us + lag->mean_us);
}
