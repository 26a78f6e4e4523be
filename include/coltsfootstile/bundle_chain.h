/**
 * \file
 * \brief The chain of bundle versions and key records: a fold over the log.
 *
 * The chain applies the records of the log in the order of their positions. The
 * first record whose parent is the version in force, and which is signed by an
 * operator of that version, becomes the version in force; a later record with
 * the same parent is a conflict. So all instances that have read up to the same
 * offset have the same bundle. The signer of the first version is checked
 * against operator keys from the settings.
 *
 * A fold is a state that results from applying the records of the log in order.
 * The chain is one fold; others, e.g. that of quota entitlements, read the same
 * log.
 *
 * The chain does no I/O. It also maintains the keyring, whose records are part
 * of the same log. The reader of the log must
 * - call colt_chain_set_first_offset() when the log has dropped records that
 *   have not been read yet;
 * - pass every record in order, including a record whose id has been read
 *   before: the chain detects duplicates by their content. A version that was
 *   an orphan at its first occurrence may be accepted at its second, and an
 *   instance that starts reading between the two sees only the second;
 * - call colt_chain_advance() when everything before an offset has been read.
 *
 * A chain that has lost records buffers the records that it reads until it gets
 * a snapshot, and then applies those from the snapshot's offset on.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_CHAIN_H
#define COLTSFOOTSTILE_BUNDLE_CHAIN_H

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"
#include "coltsfootstile/keyring.h"
#include "coltsfootstile/record.h"

/** Maximum number of accepted versions that are retained, in order to report
 * the winner of a conflict. */
#define COLT_CHAIN_HISTORY 256u

/** Position of a record in the log. */
struct ColtLogPosition
{
  uint64_t offset;
  uint32_t index; /**< index within its append */
};

/** Outcome of applying a record. */
enum ColtChainStatus
{
  COLT_CHAIN_ACCEPTED,  /**< the record changed the state */
  COLT_CHAIN_DUPLICATE, /**< the record was applied before */
  COLT_CHAIN_CONFLICT,  /**< another version with this parent was accepted */
  COLT_CHAIN_OLD,       /**< the state is at least as recent as the record */
  COLT_CHAIN_ORPHAN,    /**< the parent version has not been read */
  COLT_CHAIN_UNSIGNED,  /**< the signature is invalid or not by an operator */
  COLT_CHAIN_MALFORMED, /**< the record or its bundle is invalid */
  COLT_CHAIN_MISMATCH,  /**< the hash differs from the one that was signed, or a
                             snapshot contradicts the version in force */
  COLT_CHAIN_REFUSED, /**< the key can't be granted, e.g. after a withdrawal */
  COLT_CHAIN_ADOPTED, /**< a snapshot replaced the state */
  COLT_CHAIN_GAP,     /**< records before an update or after a snapshot are
                           missing */
  COLT_CHAIN_IGNORED, /**< a record of another fold, or one that isn't needed */
  COLT_CHAIN_STATUS_COUNT /**< number of statuses, not a status */
};

/** Names of enum ColtChainStatus, indexed by it. */
extern const char *const colt_chain_status_string[];

/** Outcome of applying a record, with the reason. */
struct ColtChainVerdict
{
  enum ColtChainStatus status;
  int64_t version;        /**< version of the record's bundle; 0 if unknown */
  struct ColtHash hash;   /**< hash of the record's bundle; zeros if unknown */
  int64_t winner_version; /**< accepted version, for a conflict; otherwise 0 */
  struct ColtHash winner; /**< hash of the accepted version; zeros if none */
  struct ColtError error; /**< reason, unless the record is accepted */
};

/** Maximum size in bytes of the records that are buffered while a snapshot is
 * missing. */
#define COLT_CHAIN_PENDING_BYTES_MAX (4u * 1024 * 1024)

/** A chain of bundle versions with its keyring. */
struct ColtChain;

/**
 * Creates a chain that has read no record.
 *
 * \param operators  keys that may sign the first version; copied
 * \param count      number of keys, 1 to COLT_BUNDLE_OPERATORS_MAX
 * \return the chain, to be freed with colt_chain_destroy()
 */
struct ColtChain *colt_chain_create (const struct ColtOperatorKey *operators,
                                     size_t count);

/** Destroys a chain; NULL is allowed. */
void colt_chain_destroy (struct ColtChain *chain);

/**
 * Applies the next record of the log. A record at or before the last position
 * is a duplicate and has no effect.
 *
 * \param position  position of the record
 * \param kind      enum ColtRecordKind; kinds other than BUNDLE, KEY_GIVE,
 *                  KEY_WITHDRAW and SNAPSHOT only advance the position
 * \param body      body of the record; copied where it is retained
 * \param size      size of \a body in bytes
 * \param verdict   set to the outcome
 */
void colt_chain_apply_record (struct ColtChain *chain,
                              struct ColtLogPosition position,
                              uint32_t kind,
                              const uint8_t *body,
                              size_t size,
                              struct ColtChainVerdict *verdict);

/**
 * Advances the offset to read next, after everything before \a next_offset has
 * been read, including records of other folds. A lower offset has no effect.
 */
void colt_chain_advance (struct ColtChain *chain, uint64_t next_offset);

/**
 * Sets the first offset that the log still retains.
 *
 * \return false if unread records are lost: the chain then buffers records
 *         until it gets a snapshot that is recent enough
 */
bool colt_chain_set_first_offset (struct ColtChain *chain, uint64_t first);

/** Returns the offset to be read next. */
uint64_t colt_chain_next_offset (const struct ColtChain *chain);

/** Returns whether unread records are lost and a snapshot is needed. */
bool colt_chain_needs_snapshot (const struct ColtChain *chain);

/** Returns the bundle in force, valid until the chain changes, or NULL. */
const struct ColtBundle *colt_chain_bundle (const struct ColtChain *chain);

/** Returns the position of the record that put the bundle into force; zeros if
 * no bundle is in force. */
struct ColtLogPosition
colt_chain_bundle_position (const struct ColtChain *chain);

/** Returns the keyring. It is valid until a snapshot is adopted. */
const struct ColtKeyring *colt_chain_keyring (const struct ColtChain *chain);

/** Returns a number that increases with every change of the state. */
uint64_t colt_chain_generation (const struct ColtChain *chain);

/**
 * Applies the withdrawal of a key that was relayed by a peer. The position does
 * not change; the same record is applied again when it is read in the log.
 *
 * \param body     body of the COLT_RECORD_KEY_WITHDRAW
 * \param size     size of \a body in bytes
 * \param verdict  COLT_CHAIN_ACCEPTED if the withdrawal is valid and new
 */
void colt_chain_apply_relayed (struct ColtChain *chain,
                               const uint8_t *body,
                               size_t size,
                               struct ColtChainVerdict *verdict);

/**
 * Encodes the state as a snapshot: bundle, keys, position and the path of
 * signed changes of operators by which a new instance verifies the snapshot.
 *
 * \param extra       encoded state of other folds at the same offset, or NULL
 * \param extra_size  size of \a extra in bytes
 * \param size        set to the size of the result in bytes
 * \return the body of a COLT_RECORD_SNAPSHOT, to be freed with free(); NULL if
 *         no bundle is in force
 */
uint8_t *colt_chain_encode_snapshot (const struct ColtChain *chain,
                                     const uint8_t *extra,
                                     size_t extra_size,
                                     size_t *size);

/**
 * Applies a snapshot from a peer. The snapshot replaces the state if its
 * signatures are valid, its bundle is not older and its offset is higher. If
 * the chain needs a snapshot, the offset must instead be at least that from
 * which on all records have been buffered.
 *
 * \param body     body of a COLT_RECORD_SNAPSHOT
 * \param size     size of \a body in bytes
 * \param verdict  COLT_CHAIN_ADOPTED if the snapshot replaced the state
 */
void colt_chain_apply_snapshot (struct ColtChain *chain,
                                const uint8_t *body,
                                size_t size,
                                struct ColtChainVerdict *verdict);

/**
 * Calls \a visit in order for the buffered records that follow the last adopted
 * snapshot. Other folds apply these records after they have restored their
 * state from colt_chain_snapshot_extra(). Records about jobs are not buffered.
 * The buffer is valid until the next call of colt_chain_apply_record().
 */
void colt_chain_visit_pending (const struct ColtChain *chain,
                               void (*visit) (void *client,
                                              struct ColtLogPosition position,
                                              uint32_t kind,
                                              const uint8_t *body,
                                              size_t size),
                               void *client);

/** Maximum size in bytes of the applied records that are retained for peers. */
#define COLT_CHAIN_CHANGES_BYTES_MAX (1024u * 1024)

/**
 * Encodes the records that took effect from an offset on, for a peer that can't
 * read the log.
 *
 * \param from  offset that the peer reads next
 * \param size  set to the size of the result in bytes
 * \return the update, to be freed with free(); NULL if the records from
 *         \a from on are not all retained, if none of them has been read, or
 *         if the chain needs a snapshot
 */
uint8_t *colt_chain_encode_update (const struct ColtChain *chain,
                                   uint64_t from,
                                   size_t *size);

/**
 * Applies an update from a peer. colt_chain_next_offset() becomes that of the
 * peer; the same records are duplicates when they are read in the log later.
 *
 * \param body     result of colt_chain_encode_update()
 * \param size     size of \a body in bytes
 * \param verdict  COLT_CHAIN_ACCEPTED if the position has advanced,
 *                 COLT_CHAIN_DUPLICATE if the peer has read no further,
 *                 COLT_CHAIN_GAP if records before the update are missing,
 *                 COLT_CHAIN_MALFORMED if the update is invalid
 */
void colt_chain_apply_update (struct ColtChain *chain,
                              const uint8_t *body,
                              size_t size,
                              struct ColtChainVerdict *verdict);

/**
 * Returns the encoded state of other folds from the last adopted snapshot, or
 * NULL. It is valid until the next snapshot is adopted.
 *
 * \param size  set to its size in bytes
 */
const uint8_t *colt_chain_snapshot_extra (const struct ColtChain *chain,
                                          size_t *size);

/** Returns the offset of the last snapshot read in the log, or UINT64_MAX. */
uint64_t colt_chain_snapshot_offset (const struct ColtChain *chain);

/**
 * Encodes a signed bundle as the body of a COLT_RECORD_BUNDLE.
 *
 * \param parent  version to encode a delta to; NULL encodes the whole bundle
 * \param size    set to the size of the result in bytes
 * \return the body, to be freed with free()
 */
uint8_t *colt_bundle_encode (const struct ColtBundle *bundle,
                             const struct ColtSignature *signature,
                             const struct ColtBundle *parent,
                             size_t *size);

/** State from which to decide when and by whom a snapshot is appended. */
struct ColtSnapshotState
{
  int64_t now_us;
  int64_t retention_us;  /**< time for which the log retains a record */
  int64_t last_us;       /**< time at which the last snapshot was read, or
                              reading began */
  uint64_t last_offset;  /**< offset of the last snapshot, or UINT64_MAX */
  uint64_t first_offset; /**< first offset that the log retains */
  uint64_t next_offset;  /**< offset to read next */
  int64_t due_since_us;  /**< time since which a snapshot is due, or
                              COLT_TIME_NEVER */
  const uint32_t *live; /**< numbers of the live entry instances of all zones */
  size_t live_count;
  uint32_t self; /**< number of this instance */
};

/** Number of records after which a snapshot is due regardless of its age. */
#define COLT_SNAPSHOT_RECORDS 20000u
/** Delay per rank of an instance before it appends a snapshot, in ms. */
#define COLT_SNAPSHOT_STAGGER_MS 5000

/** Returns whether a snapshot is due: the last one is at least a third of the
 * retention old, no longer retained or missing, or more than
 * COLT_SNAPSHOT_RECORDS records have followed it. */
bool colt_snapshot_is_due (const struct ColtSnapshotState *state);

/**
 * Returns whether this instance should append a snapshot now. The instances are
 * ranked by rendezvous hashing; each rank waits COLT_SNAPSHOT_STAGGER_MS
 * longer than the rank before. A second snapshot is harmless.
 */
bool colt_snapshot_is_own_turn (const struct ColtSnapshotState *state);

#endif
