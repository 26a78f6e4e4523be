#include "coltsfootstile/cold_ramp.h"

#include <glib.h>

#include "coltsfootstile/clock.h"

void
colt_cold_ramp_update (struct ColtColdRamp *ramp,
                       int64_t remaining_ms,
                       bool restarted,
                       int64_t now_us)
{
  int64_t remaining_us
      = CLAMP (remaining_ms, 0, COLT_COLD_MAX_MS) * COLT_US_PER_MS;

  if (remaining_us == 0)
    {
      ramp->until_us = 0;
      ramp->peak_us = 0;
      return;
    }
  ramp->until_us = now_us + remaining_us;
  ramp->peak_us = restarted ? remaining_us : MAX (ramp->peak_us, remaining_us);
}

double
colt_cold_ramp_coldness (const struct ColtColdRamp *ramp, int64_t now_us)
{
  if (now_us >= ramp->until_us || ramp->peak_us == 0)
    return 0;
  return MIN ((double)(ramp->until_us - now_us) / (double)ramp->peak_us, 1);
}

bool
colt_cold_ramp_allows (const struct ColtColdRamp *ramp,
                       const struct ColtResources *demand,
                       const struct ColtResources *used,
                       const struct ColtResources *room,
                       int64_t now_us)
{
  double share = 1 - colt_cold_ramp_coldness (ramp, now_us);
  bool unused = true;
  int r;

  if (share >= 1)
    return true;
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    unused = unused && used->amount[r] <= 0;
  if (unused)
    return true;
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (demand->amount[r] > 0
        && (double)(used->amount[r] + demand->amount[r])
               > share * (double)room->amount[r])
      return false;
  return true;
}
