/**
 * \file
 * \brief Exchange of bundles and key withdrawals between entry instances.
 *
 * An instance that can't read the log, or has lost records of it, pulls from a
 * peer the records that took effect since its own offset, or a snapshot.
 * Withdrawals of keys are also pushed: an instance relays each one once, when
 * it first receives it.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_PEERS_H
#define COLTSFOOTSTILE_BUNDLE_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/wire.h"

/** Minimum interval between two pulls, in milliseconds. */
#define COLT_BUNDLE_PULL_MS 250
/** Timeout of a pull, in milliseconds. */
#define COLT_BUNDLE_PULL_TIMEOUT_MS 1000u
/** Maximum number of instances to which a withdrawal is pushed. */
#define COLT_BUNDLE_PUSH_MAX 64u

/** Callbacks to the owner of an exchange. */
struct ColtBundlePeersCalls
{
  /** Returns the number of the instance to pull from next, 0 for none: a live
   * one, varying between calls, preferably one that has read further. */
  uint32_t (*choose_peer) (void *client);
  /** Stores the numbers of at most \a max instances to push a withdrawal to and
   * returns their count: all live instances of the own zone and a fixed number
   * in each other zone. */
  size_t (*list_targets) (void *client, uint32_t *instances, size_t max);
  /** Called when the chain has changed or advanced. */
  void (*on_changed) (void *client);
  /** Returns the encoded state of other folds at exactly \a next_offset for a
   * snapshot, to be freed with free(); NULL if they are at another offset. The
   * callback may be NULL. */
  uint8_t *(*encode_extra) (void *client, uint64_t next_offset, size_t *size);
};

/** Exchange of an instance with its peers. */
struct ColtBundlePeers;

/**
 * Creates an exchange; must be called before colt_wire_listen().
 *
 * \param wire    connections to the peers; must outlive the exchange
 * \param chain   chain to update; must outlive the exchange
 * \param calls   callbacks; must outlive the exchange
 * \param client  passed to the callbacks
 * \return the exchange, to be freed with colt_bundle_peers_destroy()
 */
struct ColtBundlePeers *
colt_bundle_peers_create (struct ColtWire *wire,
                          struct ColtChain *chain,
                          const struct ColtBundlePeersCalls *calls,
                          void *client);

/** Destroys an exchange, after its wire was destroyed; NULL is allowed. */
void colt_bundle_peers_destroy (struct ColtBundlePeers *peers);

/**
 * Pulls from a peer if a pull is due. Pulls are sent while no bundle is in
 * force, a snapshot is needed or the log isn't read up to date.
 *
 * \param now_us     monotonic time
 * \param log_fresh  an up-to-date read of the log was sent within
 *                   COLT_FRESHNESS_BOUND_MS
 */
void colt_bundle_peers_step (struct ColtBundlePeers *peers,
                             int64_t now_us,
                             bool log_fresh);

/**
 * Pushes a withdrawal of a key to the peers, after colt_chain_apply_record()
 * accepted it.
 *
 * \param body  body of the COLT_RECORD_KEY_WITHDRAW
 * \param size  size of \a body in bytes
 */
void colt_bundle_peers_push (struct ColtBundlePeers *peers,
                             const uint8_t *body,
                             size_t size);

/** Counters of an exchange. */
struct ColtBundlePeersStats
{
  uint64_t pulls;        /**< pulls sent */
  uint64_t updates;      /**< updates that advanced the chain */
  uint64_t snapshots;    /**< snapshots adopted */
  uint64_t pushed;       /**< withdrawals sent, counted per target instance */
  uint64_t relayed;      /**< withdrawals first received from a peer */
  uint64_t bad_messages; /**< messages that could not be decoded */
};

/** Copies the counters. */
void colt_bundle_peers_get_stats (const struct ColtBundlePeers *peers,
                                  struct ColtBundlePeersStats *stats);

#endif
