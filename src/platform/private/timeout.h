/**
 * \file
 * \brief Timeouts that follow how long answers take.
 *
 * A lost answer doubles the timeout, so that a slow service is still heard; an
 * answer brings it back, so that a silent connection is noticed soon.
 */
#ifndef COLT_PLATFORM_TIMEOUT_H
#define COLT_PLATFORM_TIMEOUT_H

#include <stdint.h>

/** A timeout and its bounds, in milliseconds. */
struct ColtTimeout
{
  uint32_t least_ms;
  uint32_t most_ms;
  uint32_t now_ms; /**< the timeout of the next call */
};

/** Sets the bounds and starts with the least. */
void colt_timeout_init (struct ColtTimeout *timeout,
                        uint32_t least_ms,
                        uint32_t most_ms);

/** Takes note of an answer that took \a took_ms. */
void colt_timeout_answered (struct ColtTimeout *timeout, int64_t took_ms);

/** Takes note of a call that timed out. */
void colt_timeout_lost (struct ColtTimeout *timeout);

#endif
