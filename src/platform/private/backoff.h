/**
 * \file
 * \brief Exponential backoff with jitter.
 */
#ifndef COLT_PLATFORM_BACKOFF_H
#define COLT_PLATFORM_BACKOFF_H

#include <stdint.h>

/**
 * Returns the delay before the next attempt in microseconds. The full delay
 * starts at \a first_us and doubles with each further failure up to \a
 * limit_us; the result is between half of it and the whole.
 *
 * \param failures  consecutive failures, at least 1
 * \param first_us  full delay after the first failure
 * \param limit_us  largest delay
 * \param random    random number, the source of jitter
 */
int64_t colt_backoff_us (uint32_t failures,
                         int64_t first_us,
                         int64_t limit_us,
                         uint32_t random);

#endif
