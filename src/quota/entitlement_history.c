#include <string.h>

#include "entitlement_private.h"

/* Drops the steps that end at or below the lowest offset. */
void
colt_entitlement_trim_ (struct ColtEntitlementHistory *history, uint64_t lowest)
{
  uint16_t drop = 0;

  while (drop + 1 < history->count && history->steps[drop + 1].start <= lowest)
    drop++;
  if (drop == 0)
    return;
  history->count -= drop;
  memmove (history->steps, history->steps + drop,
           history->count * sizeof *history->steps);
}

/* Keeps the least value from each offset on: larger ones before it go. */
void
colt_entitlement_push_ (struct ColtEntitlementHistory *history,
                        uint64_t offset,
                        int64_t value)
{
  struct ColtEntitlementStep step = { offset, value };

  while (history->count > 0
         && history->steps[history->count - 1].value >= value)
    step.start = history->steps[--history->count].start;
  if (history->count == COLT_ENTITLEMENT_STEPS_MAX)
    {
      memmove (history->steps + 1, history->steps + 2,
               (history->count - 2) * sizeof *history->steps);
      history->count--;
    }
  if (history->count == history->capacity)
    {
      history->capacity = history->capacity == 0 ? 1 : 2 * history->capacity;
      history->steps = g_renew (struct ColtEntitlementStep, history->steps,
                                history->capacity);
    }
  history->steps[history->count++] = step;
}

int64_t
colt_entitlement_least_ (const struct ColtEntitlementHistory *history,
                         uint64_t lowest)
{
  uint16_t at = history->count;

  if (at == 0)
    return 0;
  while (at > 1 && history->steps[at - 1].start > lowest)
    at--;
  return history->steps[at - 1].value;
}
