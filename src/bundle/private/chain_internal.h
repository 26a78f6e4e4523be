/**
 * \file
 * \brief State of the chain and its functions that are shared by several files.
 */
#ifndef CHAIN_INTERNAL_H
#define CHAIN_INTERNAL_H

#include "bundle_record.h"
#include "coltsfootstile/bundle_chain.h"
#include "keyring_internal.h"

/** A version that was accepted: the one in force or an earlier one. */
struct ColtChainVersion
{
  struct ColtHash hash;
  int64_t version;
};

/** A record that is buffered until a snapshot is adopted, or retained for
 * peers. */
struct ColtChainRecord
{
  struct ColtLogPosition position;
  uint32_t kind;
  GBytes *body;
};

struct ColtChain
{
  GArray *bootstrap; /* of struct ColtOperatorKey; sign the first version */
  struct ColtKeyring *keyring;
  struct ColtBundle *bundle;  /* bundle in force, or NULL */
  struct ColtBundleLink link; /* of the bundle in force */
  GArray *path;    /* of struct ColtBundleLink: the first version and all that
                      changed the operators */
  GArray *history; /* of struct ColtChainVersion, oldest first */
  struct ColtLogPosition bundle_position;
  uint64_t next_offset;
  struct ColtLogPosition last_position; /* of the last record read */
  bool has_last;                        /* last_position is set */
  uint64_t readable_from; /* all records from this offset on are buffered or
                             applied */
  bool needs_snapshot;
  GQueue pending; /* of struct ColtChainRecord, oldest first: buffered while a
                     snapshot is needed */
  size_t pending_bytes;
  GQueue changes; /* of struct ColtChainRecord: records that took effect */
  size_t changes_bytes;
  uint64_t changes_from;    /* offset from which on no change is missing */
  uint64_t snapshot_offset; /* of the last snapshot read, or UINT64_MAX */
  GBytes *extra;            /* of the last snapshot adopted, or NULL */
  uint64_t generation;
};

/** Clears the bundle, the path and the history; the bootstrap keys stay. */
void colt_chain_clear_state (struct ColtChain *chain);

/** Verifies a COLT_RECORD_SNAPSHOT from the log or a peer and replaces the
 * state by it. */
void colt_chain_adopt_snapshot (struct ColtChain *chain,
                                const uint8_t *body,
                                size_t size,
                                struct ColtChainVerdict *verdict);

/** Buffers a record until a snapshot is adopted; drops the oldest records
 * beyond COLT_CHAIN_PENDING_BYTES_MAX. Records about jobs are not buffered. */
void colt_chain_add_pending (struct ColtChain *chain,
                             struct ColtLogPosition position,
                             uint32_t kind,
                             const uint8_t *body,
                             size_t size);

/** Applies the buffered records from \a offset on and drops earlier ones. */
void colt_chain_replay_pending (struct ColtChain *chain, uint64_t offset);

/** Drops all buffered records. */
void colt_chain_clear_pending (struct ColtChain *chain);

/** Retains a record that took effect, for the updates of peers; drops the
 * oldest records beyond COLT_CHAIN_CHANGES_BYTES_MAX. */
void colt_chain_add_change (struct ColtChain *chain,
                            struct ColtLogPosition position,
                            uint32_t kind,
                            const uint8_t *body,
                            size_t size);

/** Drops all changes. Changes from offset \a from on are retained again. */
void colt_chain_clear_changes (struct ColtChain *chain, uint64_t from);

/** Applies a record by its kind; its position has been checked. */
void colt_chain_dispatch_record (struct ColtChain *chain,
                                 struct ColtLogPosition position,
                                 uint32_t kind,
                                 const uint8_t *body,
                                 size_t size,
                                 struct ColtChainVerdict *verdict);

/** Returns whether two sorted arrays of operator keys are equal. */
bool colt_operators_equal (const GArray *a, const GArray *b);

/** Drops a reference to a path; the last one frees its links. */
void colt_path_unref (GArray *path);

/** Creates an empty array of struct ColtBundleLink that owns its links. */
GArray *colt_path_create (void);

#endif
