/**
 * \file
 * \brief The servers that a lead counts, as numbers in ascending order.
 */
#ifndef COLTSFOOTSTILE_SHARD_VIEW_H
#define COLTSFOOTSTILE_SHARD_VIEW_H

#include <glib.h>
#include <stdint.h>

/** Sorts numbers and removes those that stand twice. */
void colt_shard_view_sort (GArray *view);

/** Returns a hash of sorted numbers, never 0. */
uint64_t colt_shard_view_hash (const GArray *view);

#endif
