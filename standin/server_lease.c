#include "server_lease.h"

#include <assert.h>

static bool is_token_valid_ (const struct ColtStandinLease *lease,
                             int64_t now_us,
                             int64_t token);

bool
colt_standin_lease_is_held (const struct ColtStandinLease *lease,
                            int64_t now_us)
{
  return now_us < lease->end_us;
}

enum ColtStandinAccess
colt_standin_lease_acquire (struct ColtStandinLease *lease,
                            int64_t now_us,
                            uint32_t owner,
                            uint64_t epoch,
                            int64_t length_us)
{
  if (colt_standin_lease_is_held (lease, now_us) || epoch <= lease->epoch)
    return COLT_STANDIN_FENCED;
  lease->owner = owner;
  lease->epoch = epoch;
  lease->acquired_us = now_us;
  lease->length_us = length_us;
  lease->end_us = now_us + length_us;
  return COLT_STANDIN_GRANTED;
}

enum ColtStandinAccess
colt_standin_lease_authorise (struct ColtStandinLease *lease,
                              int64_t now_us,
                              uint64_t epoch,
                              int64_t token,
                              int64_t length_us)
{
  if (epoch != lease->epoch || !colt_standin_lease_is_held (lease, now_us))
    return COLT_STANDIN_FENCED;
  if (token == 0)
    return COLT_STANDIN_GRANTED;
  if (!is_token_valid_ (lease, now_us, token))
    return COLT_STANDIN_BAD_TOKEN;
  if (length_us > 0)
    lease->length_us = length_us;
  if (token + lease->length_us > lease->end_us)
    lease->end_us = token + lease->length_us;
  return COLT_STANDIN_GRANTED;
}

void
colt_standin_lease_release (struct ColtStandinLease *lease, int64_t now_us)
{
  lease->end_us = now_us;
}

int64_t
colt_standin_lease_issue_token (const struct ColtStandinLease *lease,
                                int64_t now_us)
{
  assert (now_us >= lease->acquired_us);
  return now_us;
}

static bool
is_token_valid_ (const struct ColtStandinLease *lease,
                 int64_t now_us,
                 int64_t token)
{
  return token >= lease->acquired_us && token <= now_us;
}
