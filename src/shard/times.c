#include "times.h"

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"

#define CONFIRM_INTERVAL_MS 500
#define RETRY_MS 500
#define LEADER_TIMEOUT_MS 8000
#define VIEW_TIMEOUT_MS 60000

/* Milliseconds times a factor in 1/1000 are microseconds. */
static int64_t drift_permille_ (const struct ColtShardTimes *times);

void
colt_shard_times_default (struct ColtShardTimes *times)
{
  times->lease_ms = COLT_SERVER_LEASE_MS;
  times->confirm_interval_ms = CONFIRM_INTERVAL_MS;
  times->retry_ms = RETRY_MS;
  times->leader_timeout_ms = LEADER_TIMEOUT_MS;
  times->task_lease_ms = COLT_TASK_LEASE_MS;
  times->view_timeout_ms = VIEW_TIMEOUT_MS;
  times->partial_ms = 0;
  times->drift_permille = COLT_DRIFT_PERMILLE;
}

/* The previous leader may stay active for one lease, and an owner accepts its
 * starts for one leader timeout more. Another owner may acquire the server
 * after a lease and renew the tasks for a leader timeout. Then the task leases
 * expire. */
int64_t
colt_shard_write_off_us (const struct ColtShardTimes *times)
{
  int64_t wait_ms
      = 2 * (times->lease_ms + times->leader_timeout_ms) + times->task_lease_ms;

  return wait_ms * (1000 + drift_permille_ (times));
}

int64_t
colt_shard_partial_us (const struct ColtShardTimes *times)
{
  int64_t wait_ms = times->partial_ms;

  if (wait_ms < times->lease_ms)
    wait_ms = times->lease_ms;
  return wait_ms * (1000 + drift_permille_ (times));
}

int64_t
colt_shard_lease_us (const struct ColtShardTimes *times)
{
  return times->lease_ms * (1000 - drift_permille_ (times));
}

static int64_t
drift_permille_ (const struct ColtShardTimes *times)
{
  return colt_guard_on (COLT_GUARD_DRIFT_MARGIN) ? times->drift_permille : 0;
}
