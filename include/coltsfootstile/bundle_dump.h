/**
 * \file
 * \brief State of the bundle's fold as JSON, for the dump of a process.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_DUMP_H
#define COLTSFOOTSTILE_BUNDLE_DUMP_H

#include <jansson.h>

#include "coltsfootstile/bundle_chain.h"

/**
 * Returns the state as a new object:
 * "version" (0: none in force), "hash", "parent", "offset" and "index" of the
 * record that put it into force, "next_offset", "needs_snapshot",
 * "snapshot_offset" (-1: none), "generation", "teams", "queues", "operators"
 * (public keys), "history" ([{"version","hash"}], oldest first),
 * "live_keys", "withdrawn_keys" and "keys" ([{"hash","name","team","state"}]).
 */
json_t *colt_chain_dump (const struct ColtChain *chain);

#endif
