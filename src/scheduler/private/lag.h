/* How far behind its timer a loop runs, as a sign that its machine can't carry
 * what it has to do. */
#ifndef COLT_SCHEDULER_LAG_H
#define COLT_SCHEDULER_LAG_H

#include <stdint.h>

struct ColtLag
{
  int64_t period_us;
  int64_t last_us; /* 0: not begun */
  double mean_us;
};

void colt_lag_init (struct ColtLag *lag, int64_t period_us);
/* The timer has fired. */
void colt_lag_note (struct ColtLag *lag, int64_t now_us);
/* Part of its timer's speed at which the loop ran of late, above 0 to 1. */
double colt_lag_speed (const struct ColtLag *lag);

#endif
