/* Whether an instance can serve nobody: for longer than a bound it has reached
 * neither the log nor a leader that is known to lead. Times are in microseconds
 * on the monotonic clock. */
#ifndef COLT_SCHEDULER_ISOLATION_H
#define COLT_SCHEDULER_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

struct ColtIsolation
{
  int64_t bound_us;   /* 0: never isolated */
  int64_t since_us;   /* earliest time from which missing contact counts */
  int64_t log_us;     /* when the log was last reached; 0: never */
  int64_t leader_us;  /* the same of a leader */
  int64_t checked_us; /* time of the last check */
  bool isolated;
};

void colt_isolation_init (struct ColtIsolation *isolation,
                          int64_t bound_us,
                          int64_t now_us);
/* Records times at which the log, and a leader, were reached; earlier ones than
 * before have no effect. */
void colt_isolation_reach_log (struct ColtIsolation *isolation, int64_t at_us);
void colt_isolation_reach_leader (struct ColtIsolation *isolation,
                                  int64_t at_us);
/* Decides anew; returns true if isolated has changed. To be called several
 * times a second: after a longer pause of the process contact counts as missing
 * only from now on. */
bool colt_isolation_check (struct ColtIsolation *isolation, int64_t now_us);

#endif
