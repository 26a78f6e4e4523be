/**
 * \file
 * \brief Units of time, and the clocks of the process.
 *
 * Decision code never reads a clock: its callers pass the time, in microseconds
 * of a monotonic clock with an arbitrary origin.
 */
#ifndef COLTSFOOTSTILE_CLOCK_H
#define COLTSFOOTSTILE_CLOCK_H

#include <stdint.h>

/** Microseconds in a millisecond. */
#define COLT_US_PER_MS INT64_C (1000)
/** Microseconds in a second. */
#define COLT_US_PER_S INT64_C (1000000)
/** Time that is never reached; later than any other time. */
#define COLT_TIME_NEVER INT64_MAX

/** Returns the monotonic time in microseconds, from an arbitrary origin. */
int64_t colt_clock_monotonic_us (void);

/** Returns the wall-clock time in microseconds since 1970, UTC. */
int64_t colt_clock_wall_us (void);

#endif
