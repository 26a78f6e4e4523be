#include "timeout.h"

#include <assert.h>
#include <glib.h>

/* The next answer may take this many times as long as the last one. */
#define ANSWER_TIME_FACTOR 3

void
colt_timeout_init (struct ColtTimeout *timeout,
                   uint32_t min_ms,
                   uint32_t max_ms)
{
  assert (min_ms > 0 && min_ms <= max_ms);
  timeout->min_ms = min_ms;
  timeout->max_ms = max_ms;
  timeout->current_ms = min_ms;
}

void
colt_timeout_record_answer (struct ColtTimeout *timeout, int64_t answer_ms)
{
  timeout->current_ms = (uint32_t)CLAMP (answer_ms * ANSWER_TIME_FACTOR,
                                         timeout->min_ms, timeout->max_ms);
}

void
colt_timeout_record_loss (struct ColtTimeout *timeout)
{
  timeout->current_ms = MIN (timeout->current_ms * 2, timeout->max_ms);
}
