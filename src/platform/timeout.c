#include "timeout.h"

#include <assert.h>
#include <glib.h>

/* How much longer than the last answer the next one may take. */
#define SLACK 3

void
colt_timeout_init (struct ColtTimeout *timeout,
                   uint32_t least_ms,
                   uint32_t most_ms)
{
  assert (least_ms > 0 && least_ms <= most_ms);
  timeout->least_ms = least_ms;
  timeout->most_ms = most_ms;
  timeout->now_ms = least_ms;
}

void
colt_timeout_answered (struct ColtTimeout *timeout, int64_t took_ms)
{
  timeout->now_ms
      = (uint32_t)CLAMP (took_ms * SLACK, timeout->least_ms, timeout->most_ms);
}

void
colt_timeout_lost (struct ColtTimeout *timeout)
{
  timeout->now_ms = MIN (timeout->now_ms * 2, timeout->most_ms);
}
