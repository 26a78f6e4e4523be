/**
 * \file
 * \brief State of the chain, shared by its files.
 */
#ifndef CHAIN_INTERNAL_H
#define CHAIN_INTERNAL_H

#include "bundle_record.h"
#include "coltsfootstile/bundle_chain.h"
#include "keyring_internal.h"

/** A version of the past, or the one in force. */
struct ColtChainPast
{
  struct ColtHash hash;
  int64_t version;
};

/** A record that is kept until a snapshot comes. */
struct ColtChainKept
{
  struct ColtLogPosition position;
  uint32_t kind;
  GBytes *body;
};

struct ColtChain
{
  GArray *bootstrap; /* of struct ColtOperatorKey */
  struct ColtKeyring *keyring;
  struct ColtBundle *bundle;  /* in force, or NULL */
  struct ColtBundleLink link; /* of the bundle in force */
  GArray *path;               /* of struct ColtBundleLink */
  GArray *history;            /* of struct ColtChainPast, oldest first */
  struct ColtLogPosition bundle_position;
  uint64_t next_offset;
  struct ColtLogPosition last; /* last record taken */
  bool has_last;
  uint64_t readable_from; /* all records from here on are kept or taken */
  bool needs_snapshot;
  GQueue kept; /* of struct ColtChainKept, oldest first */
  size_t kept_bytes;
  GQueue changes; /* of struct ColtChainKept: what took effect */
  size_t changes_bytes;
  uint64_t changes_from; /* none is missing from here on */
  uint64_t snapshot_offset;
  GBytes *extra; /* of the last snapshot taken up, or NULL */
  uint64_t generation;
};

/** Empties a state; what came from the settings stays. */
void colt_chain_clear_state (struct ColtChain *chain);

/** Takes a COLT_RECORD_SNAPSHOT from the log or a peer. */
void colt_chain_adopt (struct ColtChain *chain,
                       const uint8_t *body,
                       size_t size,
                       struct ColtChainVerdict *verdict);

/** Keeps a record; forgets the oldest ones when there are too many. */
void colt_chain_keep (struct ColtChain *chain,
                      struct ColtLogPosition position,
                      uint32_t kind,
                      const uint8_t *body,
                      size_t size);

/** Takes the kept records that stand at or behind an offset, drops others. */
void colt_chain_replay (struct ColtChain *chain, uint64_t offset);

/** Drops all kept records. */
void colt_chain_drop_kept (struct ColtChain *chain);

/** Remembers a record that took effect, for peers. */
void colt_chain_remember (struct ColtChain *chain,
                          struct ColtLogPosition position,
                          uint32_t kind,
                          const uint8_t *body,
                          size_t size);

/** Forgets the changes before \a from, which is not in the past. */
void colt_chain_forget_changes (struct ColtChain *chain, uint64_t from);

/** Takes a record of this fold whose position has been checked. */
void colt_chain_apply (struct ColtChain *chain,
                       struct ColtLogPosition position,
                       uint32_t kind,
                       const uint8_t *body,
                       size_t size,
                       struct ColtChainVerdict *verdict);

/** Returns whether two sets of operators are the same. */
bool colt_operators_equal (const GArray *a, const GArray *b);

/** Frees the links of a path. */
void colt_path_unref (GArray *path);

/** Creates an empty path. */
GArray *colt_path_create (void);

#endif
