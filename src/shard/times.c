#include "times.h"

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"

#define CONFIRM_MS 500
#define RETRY_MS 500
#define SILENCE_MS 8000
#define FORGET_MS 60000

static int64_t permille_ (const struct ColtShardTimes *times);

void
colt_shard_times_default (struct ColtShardTimes *times)
{
  times->lease_ms = COLT_SERVER_LEASE_MS;
  times->confirm_ms = CONFIRM_MS;
  times->retry_ms = RETRY_MS;
  times->silence_ms = SILENCE_MS;
  times->task_lease_ms = COLT_TASK_LEASE_MS;
  times->forget_ms = FORGET_MS;
  times->partial_ms = 0;
  times->drift_permille = COLT_DRIFT_PERMILLE;
}

/* The older lead goes on for a lease, and its owner on its word for the
 * silence; one more owner may take the server over after a lease and keep its
 * tasks for the silence; then they lapse. */
int64_t
colt_shard_write_off_us (const struct ColtShardTimes *times)
{
  int64_t wait_ms
      = 2 * (times->lease_ms + times->silence_ms) + times->task_lease_ms;

  return wait_ms * (1000 + permille_ (times));
}

int64_t
colt_shard_partial_us (const struct ColtShardTimes *times)
{
  int64_t wait_ms = times->partial_ms;

  if (wait_ms < times->lease_ms)
    wait_ms = times->lease_ms;
  return wait_ms * (1000 + permille_ (times));
}

int64_t
colt_shard_lease_us (const struct ColtShardTimes *times)
{
  return times->lease_ms * (1000 - permille_ (times));
}

static int64_t
permille_ (const struct ColtShardTimes *times)
{
  return colt_guard_on (COLT_GUARD_DRIFT_MARGIN) ? times->drift_permille : 0;
}
