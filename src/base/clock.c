#include "coltsfootstile/clock.h"

#include <time.h>

static int64_t read_clock_us_ (clockid_t id);

int64_t
colt_clock_monotonic_us (void)
{
  return read_clock_us_ (CLOCK_MONOTONIC);
}

int64_t
colt_clock_wall_us (void)
{
  return read_clock_us_ (CLOCK_REALTIME);
}

static int64_t
read_clock_us_ (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return now.tv_sec * COLT_US_PER_S + now.tv_nsec / 1000;
}
