/* Until when a leader may renew leases, and those of earlier leaders last. */
#include "leader_private.h"
#include "waiting_counts.h"

/* Duration of leases unless servers limit it further. A leader that dies is
 * replaced well within it; work of a lost server starts elsewhere after it. */
#define LEASE_MS 5000
/* Added to the longest lease of an earlier leader, after which all its leases
 * have certainly ended. */
#define SETTLE_SLACK_MS 400

void
colt_leader_set_extension (struct ColtLeader *leader, int64_t extension_us)
{
  leader->extension_us = extension_us;
}

void
colt_leader_set_confirmed (struct ColtLeader *leader, int64_t confirmed_us)
{
  leader->confirmed_us = confirmed_us;
  colt_leader_extend_leases (leader, confirmed_us);
}

void
colt_leader_extend_leases (struct ColtLeader *leader, int64_t followed_us)
{
  leader->confirmed_until_us
      = followed_us + colt_leader_lease_ms (leader) * COLT_US_PER_MS;
}

bool
colt_leader_knows_jobs (const struct ColtLeader *leader, int64_t now_us)
{
  int64_t followed_us
      = leader->confirmed_until_us
        - (int64_t)colt_leader_lease_ms (leader) * COLT_US_PER_MS;

  return leader->phase == PHASE_SERVING
         && now_us - followed_us <= COLT_COUNT_AGE_MAX_US;
}

uint32_t
colt_leader_lease_ms (const struct ColtLeader *leader)
{
  return MIN (LEASE_MS, leader->settings->lease_max_ms);
}

int64_t
colt_leader_inherited_until_us (const struct ColtLeader *leader)
{
  int64_t lease_ms = colt_leader_lease_ms (leader);

  return leader->created_us + leader->extension_us
         + (lease_ms + lease_ms / 20 + SETTLE_SLACK_MS) * COLT_US_PER_MS;
}
