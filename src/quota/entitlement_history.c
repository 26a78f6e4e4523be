#include <string.h>

#include "entitlement_private.h"

static bool overlaps_window_ (const struct ColtEntitlementHistory *history,
                              uint16_t index,
                              const struct ColtEntitlementWindow *window);

void
colt_entitlement_trim_history_ (struct ColtEntitlementHistory *history,
                                uint64_t lowest)
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

/* If the history is full, its two oldest steps merge to the lower value. */
void
colt_entitlement_push_step_ (struct ColtEntitlementHistory *history,
                             uint64_t offset,
                             int64_t value)
{
  struct ColtEntitlementStep step = { offset, value };

  if (history->count > 0 && history->steps[history->count - 1].start == offset)
    history->count--;
  if (history->count == COLT_ENTITLEMENT_STEPS_MAX)
    {
      history->steps[0].value
          = MIN (history->steps[0].value, history->steps[1].value);
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
colt_entitlement_find_least_ (const struct ColtEntitlementHistory *history,
                              const struct ColtEntitlementWindow *window)
{
  int64_t least = history->current;
  uint16_t i;

  for (i = 0; i + 1 < history->count; i++)
    if (history->steps[i].value < least
        && overlaps_window_ (history, i, window))
      least = history->steps[i].value;
  return least;
}

/* Returns whether a step holds at some offset of the window. */
static bool
overlaps_window_ (const struct ColtEntitlementHistory *history,
                  uint16_t index,
                  const struct ColtEntitlementWindow *window)
{
  uint64_t start = index == 0 ? 0 : history->steps[index].start;
  uint64_t end = history->steps[index + 1].start;
  size_t i;

  for (i = 0; i < window->count; i++)
    if (start <= window->spans[i].last && end > window->spans[i].first)
      return true;
  return false;
}
