/**
 * \file
 * \brief Functions by which the chain updates the keyring.
 */
#ifndef KEYRING_INTERNAL_H
#define KEYRING_INTERNAL_H

#include "bundle_internal.h"
#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/keyring.h"

/** Returns whether an operator may grant and withdraw keys. */
typedef bool (*ColtOperatorCheck) (const void *client,
                                   const struct ColtOperatorKey *key);

/** Creates an empty keyring. */
struct ColtKeyring *colt_keyring_create (void);

/** Destroys a keyring; NULL is allowed. */
void colt_keyring_destroy (struct ColtKeyring *keyring);

/** Sets the bundle in force, which must outlive its use by the keyring. */
void colt_keyring_set_bundle (struct ColtKeyring *keyring,
                              const struct ColtBundle *bundle);

/** Applies the body of a COLT_RECORD_KEY_GIVE. */
enum ColtChainStatus colt_keyring_apply_give (struct ColtKeyring *keyring,
                                              const uint8_t *body,
                                              size_t size,
                                              ColtOperatorCheck check,
                                              const void *client,
                                              struct ColtError *error);

/** Applies the body of a COLT_RECORD_KEY_WITHDRAW. A \a relayed withdrawal has
 * not been read in the log yet. */
enum ColtChainStatus colt_keyring_apply_withdraw (struct ColtKeyring *keyring,
                                                  const uint8_t *body,
                                                  size_t size,
                                                  bool relayed,
                                                  ColtOperatorCheck check,
                                                  const void *client,
                                                  struct ColtError *error);

/** Appends the bodies of the grants and the hashes of the withdrawals that were
 * read in the log, ordered by hash, as GBytes that the keyring owns. */
void colt_keyring_collect_entries (const struct ColtKeyring *keyring,
                                   GPtrArray *given,
                                   GPtrArray *withdrawn);

/** Adds the withdrawals of another keyring as relayed ones. */
void colt_keyring_merge_withdrawn (struct ColtKeyring *keyring,
                                   const struct ColtKeyring *other);

/** Adds a withdrawal from a snapshot; returns false if \a size is not that of a
 * hash. */
bool colt_keyring_restore_withdrawn (struct ColtKeyring *keyring,
                                     const uint8_t *hash,
                                     size_t size);

/** Adds a grant from a snapshot, whose team may be missing in the bundle in
 * force. Returns false if the grant is invalid or a duplicate. */
bool colt_keyring_restore_given (struct ColtKeyring *keyring,
                                 const uint8_t *body,
                                 size_t size,
                                 ColtOperatorCheck check,
                                 const void *client);

#endif
