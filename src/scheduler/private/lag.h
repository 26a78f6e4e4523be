/* Delay of a periodic timer, which shows whether the machine keeps up with the
 * load of its event loop. */
#ifndef COLT_SCHEDULER_LAG_H
#define COLT_SCHEDULER_LAG_H

#include <stdint.h>

struct ColtLag
{
  int64_t period_us;
  int64_t last_us; /* when the timer last fired; 0: never */
  double mean_delay_us;
};

void colt_lag_init (struct ColtLag *lag, int64_t period_us);
/* Records that the timer has fired. */
void colt_lag_update (struct ColtLag *lag, int64_t now_us);
/* Returns the recent speed of the loop: the timer's period divided by the mean
 * time between two firings; greater than 0, at most 1. */
double colt_lag_speed (const struct ColtLag *lag);

#endif
