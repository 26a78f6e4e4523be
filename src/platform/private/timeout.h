/**
 * \file
 * \brief Timeouts that adapt to the answer time of a service.
 *
 * A timed-out call doubles the timeout, so that a slow service can still
 * answer. An answer sets the timeout to a multiple of the time that it took, so
 * that an unresponsive connection is detected soon.
 */
#ifndef COLT_PLATFORM_TIMEOUT_H
#define COLT_PLATFORM_TIMEOUT_H

#include <stdint.h>

/** An adaptive timeout, in milliseconds. */
struct ColtTimeout
{
  uint32_t min_ms;
  uint32_t max_ms;
  uint32_t current_ms; /**< timeout of the next call */
};

/** Sets the bounds and starts with \a min_ms, which must be at least 1. */
void colt_timeout_init (struct ColtTimeout *timeout,
                        uint32_t min_ms,
                        uint32_t max_ms);

/** Sets the timeout to a multiple of \a answer_ms, the time that the last
 * answer took, within the bounds. A negative time gives the lower bound. */
void colt_timeout_record_answer (struct ColtTimeout *timeout,
                                 int64_t answer_ms);

/** Doubles the timeout after a call timed out, up to the upper bound. */
void colt_timeout_record_loss (struct ColtTimeout *timeout);

#endif
