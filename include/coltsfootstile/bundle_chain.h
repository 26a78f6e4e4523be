/**
 * \file
 * \brief The fold of the log that says which bundle is in force.
 *
 * Records are taken in the order of their positions. The first record whose
 * parent is the version in force, and whose signature is by an operator of
 * that version, wins; a later one with the same parent is a conflict. So every
 * instance that has read as far has the same bundle. Only the first bundle is
 * checked against operator keys from the settings instead.
 *
 * The fold does no I/O. It also holds the keyring, whose records are part of
 * the same stream. Its reader has to
 * - call colt_chain_set_first() when the log no longer keeps what is to be
 *   read next;
 * - hand over every record in order, also one whose id was read before: the
 * fold finds duplicates by their content. A version that was an orphan when it
 *   was read first may count the second time, and an instance that began to
 *   read between the two has seen only the second;
 * - call colt_chain_advance() when everything before an offset has been read.
 *
 * A fold that has lost records keeps what it reads until a snapshot comes, and
 * then takes what follows the snapshot's offset.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_CHAIN_H
#define COLTSFOOTSTILE_BUNDLE_CHAIN_H

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"
#include "coltsfootstile/keyring.h"
#include "coltsfootstile/record.h"

/** Versions of the past that a conflict's winner is still named for. */
#define COLT_CHAIN_HISTORY 256u

/** Where a record stands in the log. */
struct ColtLogPosition
{
  uint64_t offset;
  uint32_t index; /**< within its append */
};

/** What became of a record. */
enum ColtChainStatus
{
  COLT_CHAIN_ACCEPTED,    /**< it changed the state */
  COLT_CHAIN_DUPLICATE,   /**< its effect is there already */
  COLT_CHAIN_CONFLICT,    /**< another version won over its parent */
  COLT_CHAIN_OLD,         /**< older than any version that is still named */
  COLT_CHAIN_ORPHAN,      /**< its parent has not been read */
  COLT_CHAIN_UNSIGNED,    /**< the signature is wrong or not by an operator */
  COLT_CHAIN_MALFORMED,   /**< it can't be decoded, or its bundle is wrong */
  COLT_CHAIN_MISMATCH,    /**< the result's hash is not the one it names */
  COLT_CHAIN_REFUSED,     /**< a key that is withdrawn or given elsewhere */
  COLT_CHAIN_ADOPTED,     /**< a snapshot was taken up */
  COLT_CHAIN_GAP,         /**< a snapshot whose following records are lost */
  COLT_CHAIN_IGNORED,     /**< not a kind of this fold, or needless */
  COLT_CHAIN_STATUS_COUNT /**< number of statuses, not a status */
};

/** Names of enum ColtChainStatus, indexed by it. */
extern const char *const colt_chain_status_string[];

/** What became of a record, and why. */
struct ColtChainVerdict
{
  enum ColtChainStatus status;
  int64_t version;        /**< of the record's bundle; 0 if unknown */
  struct ColtHash hash;   /**< of the record's bundle; zeros if unknown */
  int64_t winner_version; /**< of a conflict */
  struct ColtHash winner; /**< of a conflict; zeros if no longer known */
  struct ColtError error; /**< reason, unless accepted */
};

/** Bytes of records that a fold keeps while it waits for a snapshot. */
#define COLT_CHAIN_KEPT_BYTES_MAX (4u * 1024 * 1024)

/** The fold. */
struct ColtChain;

/**
 * Creates a fold that has read nothing.
 *
 * \param operators  keys that may sign the first bundle; copied
 * \param count      how many, 1 to COLT_BUNDLE_OPERATORS_MAX
 */
struct ColtChain *colt_chain_create (const struct ColtOperatorKey *operators,
                                     size_t count);

/** Destroys a fold; NULL is allowed. */
void colt_chain_destroy (struct ColtChain *chain);

/**
 * Takes a record, after all that stand before it. One that stands at or before
 * the last position taken is a duplicate without effect.
 *
 * \param kind  enum ColtRecordKind; others than BUNDLE, KEY_GIVE,
 *              KEY_WITHDRAW and SNAPSHOT are ignored, but move the position
 */
void colt_chain_take (struct ColtChain *chain,
                      struct ColtLogPosition position,
                      uint32_t kind,
                      const uint8_t *body,
                      size_t size,
                      struct ColtChainVerdict *verdict);

/**
 * Tells the fold that everything before an offset has been read, also where
 * no record of this fold stood.
 */
void colt_chain_advance (struct ColtChain *chain, uint64_t next_offset);

/**
 * Tells the fold that the log no longer keeps records before \a first.
 *
 * \return false if records that it hasn't read are lost; it then takes no
 *         records but a snapshot that is new enough
 */
bool colt_chain_set_first (struct ColtChain *chain, uint64_t first);

/** Returns the offset to be read next. */
uint64_t colt_chain_next_offset (const struct ColtChain *chain);

/** Returns whether records were lost and a snapshot is needed. */
bool colt_chain_needs_snapshot (const struct ColtChain *chain);

/** Returns the bundle in force, or NULL. It lives until the next change. */
const struct ColtBundle *colt_chain_bundle (const struct ColtChain *chain);

/** Returns the position of the record that put the bundle into force. */
struct ColtLogPosition
colt_chain_bundle_position (const struct ColtChain *chain);

/** Returns the keyring. */
const struct ColtKeyring *colt_chain_keyring (const struct ColtChain *chain);

/** Returns a number that grows with every change of the state. */
uint64_t colt_chain_generation (const struct ColtChain *chain);

/**
 * Takes a withdrawal that a peer has relayed, the body of its record. The
 * position stays; the same record is taken again when it is read.
 */
void colt_chain_take_relayed (struct ColtChain *chain,
                              const uint8_t *body,
                              size_t size,
                              struct ColtChainVerdict *verdict);

/**
 * Encodes the state as a snapshot: bundle, keys, position and the signed
 * path of operator keys that a new instance verifies it by.
 *
 * \param extra       state of other folds at the same position; may be NULL
 * \param extra_size  size of \a extra in bytes
 * \param size        set to the size of the result
 * \return the body of a COLT_RECORD_SNAPSHOT, to be freed with free(); NULL
 *         if there is no bundle yet
 */
uint8_t *colt_chain_encode_snapshot (const struct ColtChain *chain,
                                     const uint8_t *extra,
                                     size_t extra_size,
                                     size_t *size);

/**
 * Takes a snapshot from a peer: it is taken up if it is verified, further on
 * than this state and not of an older bundle.
 */
void colt_chain_take_snapshot (struct ColtChain *chain,
                               const uint8_t *body,
                               size_t size,
                               struct ColtChainVerdict *verdict);

/**
 * Calls \a visit for the records that were kept while waiting for the snapshot
 * taken up last, and that follow it, in order: for other folds, after they have
 * taken up their state from colt_chain_snapshot_extra(). Records about jobs are
 * not kept. Valid until the next call of colt_chain_take().
 */
void colt_chain_visit_kept (const struct ColtChain *chain,
                            void (*visit) (void *client,
                                           struct ColtLogPosition position,
                                           uint32_t kind,
                                           const uint8_t *body,
                                           size_t size),
                            void *client);

/** Bytes of changes that a fold remembers for its peers. */
#define COLT_CHAIN_CHANGES_BYTES_MAX (1024u * 1024)

/**
 * Encodes what took effect from an offset on, for a peer that can't read the
 * log itself.
 *
 * \return to be freed with free(); NULL if it is no longer remembered, or
 *         nothing has been read beyond \a from
 */
uint8_t *colt_chain_encode_update (const struct ColtChain *chain,
                                   uint64_t from,
                                   size_t *size);

/**
 * Takes a peer's update. What the log's reader brings later is then
 * a duplicate, and colt_chain_next_offset() is that of the peer.
 *
 * \param verdict  COLT_CHAIN_ACCEPTED if the fold is further on now
 */
void colt_chain_take_update (struct ColtChain *chain,
                             const uint8_t *body,
                             size_t size,
                             struct ColtChainVerdict *verdict);

/**
 * Returns the other folds' state in the snapshot that was taken up last, or
 * NULL. It lives until the next one.
 */
const uint8_t *colt_chain_snapshot_extra (const struct ColtChain *chain,
                                          size_t *size);

/** Returns the offset of the last snapshot read in the log; UINT64_MAX if
 * there is none. */
uint64_t colt_chain_snapshot_offset (const struct ColtChain *chain);

/**
 * Encodes a signed bundle as the body of a COLT_RECORD_BUNDLE.
 *
 * \param parent  when not NULL, only what differs from it is encoded
 * \return to be freed with free()
 */
uint8_t *colt_bundle_encode (const struct ColtBundle *bundle,
                             const struct ColtSignature *signature,
                             const struct ColtBundle *parent,
                             size_t *size);

/** What decides when a snapshot is due. */
struct ColtSnapshotState
{
  int64_t now_us;
  int64_t retention_us;  /**< how long the log keeps a record */
  int64_t last_us;       /**< when the last snapshot was read, or reading
                              began */
  uint64_t last_offset;  /**< its offset, UINT64_MAX if there is none */
  uint64_t first_offset; /**< oldest offset kept */
  uint64_t next_offset;  /**< read up to here */
  int64_t due_since_us;  /**< COLT_TIME_NEVER until it is due */
  const uint32_t *live;  /**< live entry instances of all zones */
  size_t live_count;
  uint32_t self; /**< this instance */
};

/** Records after which a snapshot is due whatever its age. */
#define COLT_SNAPSHOT_RECORDS 20000u
/** How long each instance in the order waits for the one before, in ms. */
#define COLT_SNAPSHOT_PATIENCE_MS 5000

/** Returns whether a snapshot is due: its age is a third of the retention, it
 * is dropped, there is none, or COLT_SNAPSHOT_RECORDS have followed. */
bool colt_snapshot_due (const struct ColtSnapshotState *state);

/**
 * Returns whether this instance is to append it now: the instances are ordered
 * by rendezvous hashing, and each waits COLT_SNAPSHOT_PATIENCE_MS longer
 * than the one before. A second snapshot does no harm.
 */
bool colt_snapshot_is_mine (const struct ColtSnapshotState *state);

#endif
