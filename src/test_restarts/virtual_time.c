#include "virtual_time.h"

#include <stdbool.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "coltsfootstile/clock.h"

/* Monotonic time at which virtual time begins. */
#define BEGIN_US (1000 * COLT_US_PER_S)
/* Wall-clock time minus monotonic time. */
#define WALL_OFFSET_US (INT64_C (1700000000) * COLT_US_PER_S)

static bool in_use;
static int64_t now_us;

void
colt_virtual_time_begin (void)
{
  in_use = true;
  now_us = BEGIN_US;
}

void
colt_virtual_time_end (void)
{
  in_use = false;
}

void
colt_virtual_time_advance (int64_t us)
{
  now_us += us;
}

int64_t
colt_virtual_time_us (void)
{
  return now_us;
}

/* Both replace the C library's functions, in its shared libraries too. */

int
clock_gettime (clockid_t id, struct timespec *now)
{
  int64_t us = now_us;

  if (!in_use)
    return (int)syscall (SYS_clock_gettime, id, now);
  if (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)
    us += WALL_OFFSET_US;
  now->tv_sec = us / COLT_US_PER_S;
  now->tv_nsec = us % COLT_US_PER_S * 1000;
  return 0;
}

int
gettimeofday (struct timeval *restrict now, void *restrict zone)
{
  struct timespec time;

  (void)zone;
  if (clock_gettime (CLOCK_REALTIME, &time) != 0)
    return -1;
  now->tv_sec = time.tv_sec;
  now->tv_usec = time.tv_nsec / 1000;
  return 0;
}
