/**
 * \file
 * \brief Durations with margins for clock drift, in microseconds.
 */
#ifndef COLTSFOOTSTILE_SHARD_TIMES_H
#define COLTSFOOTSTILE_SHARD_TIMES_H

#include "coltsfootstile/shard.h"

/** Returns how long an answer is valid after the leader sent its message. */
int64_t colt_shard_lease_us (const struct ColtShardTimes *times);

/** Returns how long a server must have been without an owner to be omitted by a
 * partial reconciliation. */
int64_t colt_shard_partial_us (const struct ColtShardTimes *times);

#endif
