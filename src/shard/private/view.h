/**
 * \file
 * \brief View of a leader: the servers to which it may have sent work, in
 * ascending order.
 */
#ifndef COLTSFOOTSTILE_SHARD_VIEW_H
#define COLTSFOOTSTILE_SHARD_VIEW_H

#include <glib.h>
#include <stdint.h>

/** Sorts server numbers and removes duplicates. */
void colt_shard_view_sort (GArray *view);

/** Returns a hash of sorted server numbers, never 0. */
uint64_t colt_shard_view_hash (const GArray *view);

#endif
