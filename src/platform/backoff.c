#include "backoff.h"

#include <assert.h>

int64_t
colt_backoff_us (uint32_t failures,
                 int64_t first_us,
                 int64_t limit_us,
                 uint32_t random)
{
  int64_t delay = first_us;
  uint32_t i;

  assert (failures > 0);
  for (i = 1; i < failures && delay < limit_us; i++)
    delay *= 2;
  if (delay > limit_us)
    delay = limit_us;
  return delay / 2 + random % (delay / 2 + 1);
}
