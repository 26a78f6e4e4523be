/**
 * \file
 * \brief Waits with their margins for drifting clocks, in microseconds.
 */
#ifndef COLTSFOOTSTILE_SHARD_TIMES_H
#define COLTSFOOTSTILE_SHARD_TIMES_H

#include "coltsfootstile/shard.h"

/** How long a confirmation counts for the lead that asked. */
int64_t colt_shard_lease_us (const struct ColtShardTimes *times);

/** How long nobody must have held a server that a recount goes without. */
int64_t colt_shard_partial_us (const struct ColtShardTimes *times);

#endif
