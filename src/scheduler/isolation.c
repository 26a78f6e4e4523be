#include "isolation.h"

#include <glib.h>

#include "coltsfootstile/clock.h"

/* Time between two checks after which the process counts as paused. */
#define PAUSE_US (1 * COLT_US_PER_S)

void
colt_isolation_init (struct ColtIsolation *isolation,
                     int64_t bound_us,
                     int64_t now_us)
{
  *isolation = (struct ColtIsolation){ 0 };
  isolation->bound_us = bound_us;
  isolation->since_us = now_us;
  isolation->checked_us = now_us;
}

void
colt_isolation_reach_log (struct ColtIsolation *isolation, int64_t at_us)
{
  isolation->log_us = MAX (isolation->log_us, at_us);
}

void
colt_isolation_reach_leader (struct ColtIsolation *isolation, int64_t at_us)
{
  isolation->leader_us = MAX (isolation->leader_us, at_us);
}

bool
colt_isolation_check (struct ColtIsolation *isolation, int64_t now_us)
{
  int64_t contact_us = MAX (isolation->log_us, isolation->leader_us);
  bool isolated;

  if (isolation->bound_us == 0)
    return false;
  if (now_us - isolation->checked_us > PAUSE_US && !isolation->isolated)
    isolation->since_us = now_us;
  isolation->checked_us = now_us;
  isolated
      = now_us - MAX (contact_us, isolation->since_us) > isolation->bound_us;
  if (isolated == isolation->isolated)
    return false;
  isolation->isolated = isolated;
  return true;
}
