/**
 * \file
 * \brief Exponential delays with jitter.
 */
#ifndef COLT_PLATFORM_BACKOFF_H
#define COLT_PLATFORM_BACKOFF_H

#include <stdint.h>

/**
 * Returns the delay before the next attempt in microseconds: it doubles with
 * each failure, up to a bound, and is spread over half to the whole of that.
 *
 * \param failures  so far in a row, at least 1
 * \param first_us  before the first retry
 * \param limit_us  bound of the delay
 * \param random    any random number
 */
int64_t colt_backoff_us (uint32_t failures,
                         int64_t first_us,
                         int64_t limit_us,
                         uint32_t random);

#endif
