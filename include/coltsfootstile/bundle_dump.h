/**
 * \file
 * \brief State of a chain of bundle versions as JSON, for state dumps.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_DUMP_H
#define COLTSFOOTSTILE_BUNDLE_DUMP_H

#include <jansson.h>

#include "coltsfootstile/bundle_chain.h"

/**
 * Returns the state as a new JSON object, a reference that the caller owns. Its
 * fields are "version" (0: no bundle is in force), "hash", "parent", "offset"
 * and "index" of the record that put the bundle into force, "next_offset",
 * "needs_snapshot", "snapshot_offset" (-1: none), "generation", "teams" and
 * "queues" (counts), "operators" (public keys), "history"
 * ([{"version","hash"}], oldest first), "live_keys", "withdrawn_keys" (counts)
 * and "keys" ([{"hash","name","team","state"}]). If no bundle is in force,
 * "hash", "parent", "teams" and "queues" are missing.
 */
json_t *colt_chain_dump (const struct ColtChain *chain);

#endif
