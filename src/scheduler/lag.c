#include "lag.h"

#include <glib.h>

/* Weight of a new delay in the running mean, which covers about the last half
 * second of a 25 ms timer. */
#define DELAY_WEIGHT 0.1
/* A delay counts as at most this many periods, since a machine that was paused
 * once may run at full speed afterwards. */
#define DELAY_PERIODS_MAX 4

void
colt_lag_init (struct ColtLag *lag, int64_t period_us)
{
  lag->period_us = period_us;
  lag->last_us = 0;
  lag->mean_delay_us = 0;
}

void
colt_lag_update (struct ColtLag *lag, int64_t now_us)
{
  int64_t delay_us = now_us - lag->last_us - lag->period_us;

  if (lag->last_us != 0)
    lag->mean_delay_us
        += DELAY_WEIGHT
           * ((double)CLAMP (delay_us, 0, DELAY_PERIODS_MAX * lag->period_us)
              - lag->mean_delay_us);
  lag->last_us = now_us;
}

double
colt_lag_speed (const struct ColtLag *lag)
{
  return (double)lag->period_us / ((double)lag->period_us + lag->mean_delay_us);
}
