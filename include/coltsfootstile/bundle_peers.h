/**
 * \file
 * \brief Bundles and withdrawals between entry instances.
 *
 * An instance that can't read the log, or has lost records of it, pulls from
 * a peer what took effect since the offset it stands at, or a snapshot.
 * Withdrawals are also pushed: an instance that meets one passes it on, once.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_PEERS_H
#define COLTSFOOTSTILE_BUNDLE_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/wire.h"

/** Time between two pulls while the log can't be read, in milliseconds. */
#define COLT_BUNDLE_PULL_MS 250
/** Time that a peer has for its answer to a pull, in milliseconds. */
#define COLT_BUNDLE_PULL_TIMEOUT_MS 1000u
/** Most instances that one withdrawal is pushed to. */
#define COLT_BUNDLE_PUSH_MAX 64u

/** What the owner of the peers is asked for and told. */
struct ColtBundlePeersCalls
{
  /** Returns the instance to pull from next, 0 for none: a live one, another
   * each time, and one that has read far where that is known. */
  uint32_t (*choose) (void *client);
  /** Fills in the instances to push a withdrawal to and returns how many: all
   * live ones of the own zone and a fixed number in each other zone. */
  size_t (*targets) (void *client, uint32_t *instances, size_t max);
  /** The fold has changed, or is further on. */
  void (*changed) (void *client);
  /** Returns the state of other folds at exactly \a next_offset for a snapshot,
   * to be freed with free(); NULL when they stand elsewhere. May be NULL. */
  uint8_t *(*extra) (void *client, uint64_t next_offset, size_t *size);
};

/** Exchange with peers. */
struct ColtBundlePeers;

/**
 * Creates the exchange; must be done before colt_wire_listen().
 *
 * \param wire   links, which must outlive it
 * \param chain  fold, which must outlive it
 * \param calls  must outlive it
 */
struct ColtBundlePeers *
colt_bundle_peers_create (struct ColtWire *wire,
                          struct ColtChain *chain,
                          const struct ColtBundlePeersCalls *calls,
                          void *client);

/** Frees it, after the links were destroyed; NULL is allowed. */
void colt_bundle_peers_destroy (struct ColtBundlePeers *peers);

/**
 * Pulls when it is time.
 *
 * \param log_fresh  the log has been read up to date within the bound
 */
void colt_bundle_peers_step (struct ColtBundlePeers *peers,
                             int64_t now_us,
                             bool log_fresh);

/** Pushes a withdrawal that was read in the log, the body of its record; to be
 * called when colt_chain_take() accepted it. */
void colt_bundle_peers_push (struct ColtBundlePeers *peers,
                             const uint8_t *body,
                             size_t size);

/** Numbers for the state dump. */
struct ColtBundlePeersStats
{
  uint64_t pulls;     /**< sent */
  uint64_t updates;   /**< taken that brought the fold further */
  uint64_t snapshots; /**< taken up */
  uint64_t pushed;    /**< withdrawals sent, one for each instance */
  uint64_t relayed;   /**< withdrawals first heard of from a peer */
  uint64_t bad;       /**< messages that could not be decoded */
};

/** Reads the numbers. */
void colt_bundle_peers_get_stats (const struct ColtBundlePeers *peers,
                                  struct ColtBundlePeersStats *stats);

#endif
