/**
 * \file
 * \brief How the chain fills the keyring.
 */
#ifndef KEYRING_INTERNAL_H
#define KEYRING_INTERNAL_H

#include "bundle_internal.h"
#include "coltsfootstile/bundle_chain.h"
#include "coltsfootstile/keyring.h"

/** Decides whether an operator may give and withdraw keys. */
typedef bool (*ColtOperatorCheck) (const void *client,
                                   const struct ColtOperatorKey *key);

/** Creates an empty keyring. */
struct ColtKeyring *colt_keyring_create (void);

/** Destroys a keyring; NULL is allowed. */
void colt_keyring_destroy (struct ColtKeyring *keyring);

/** Sets the bundle in force, which must outlive its use here. */
void colt_keyring_set_bundle (struct ColtKeyring *keyring,
                              const struct ColtBundle *bundle);

/** Takes the body of a COLT_RECORD_KEY_GIVE. */
enum ColtChainStatus colt_keyring_give (struct ColtKeyring *keyring,
                                        const uint8_t *body,
                                        size_t size,
                                        ColtOperatorCheck check,
                                        const void *client,
                                        struct ColtError *error);

/** Takes the body of a COLT_RECORD_KEY_WITHDRAW; \a relayed: not yet read. */
enum ColtChainStatus colt_keyring_withdraw (struct ColtKeyring *keyring,
                                            const uint8_t *body,
                                            size_t size,
                                            bool relayed,
                                            ColtOperatorCheck check,
                                            const void *client,
                                            struct ColtError *error);

/** Adds the bodies of the grants and the hashes of the withdrawals that were
 * read in the log, as GBytes that are borrowed, ordered by hash. */
void colt_keyring_collect (const struct ColtKeyring *keyring,
                           GPtrArray *given,
                           GPtrArray *withdrawn);

/** Takes over the withdrawals of another keyring, as relayed ones. */
void colt_keyring_merge_withdrawn (struct ColtKeyring *keyring,
                                   const struct ColtKeyring *other);

/** Takes a withdrawal out of a snapshot; returns false if it is no hash. */
bool colt_keyring_restore_withdrawn (struct ColtKeyring *keyring,
                                     const uint8_t *hash,
                                     size_t size);

/** Takes a grant out of a snapshot: its team may be gone by now. */
bool colt_keyring_restore_given (struct ColtKeyring *keyring,
                                 const uint8_t *body,
                                 size_t size,
                                 ColtOperatorCheck check,
                                 const void *client);

#endif
