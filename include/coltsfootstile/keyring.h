/**
 * \file
 * \brief Callers' keys: declared by the bundle, granted by records, or
 * withdrawn.
 *
 * A key is identified by the hash of its secret. A withdrawal is permanent: its
 * hash is never valid again, in whatever order the records are read.
 */
#ifndef COLTSFOOTSTILE_KEYRING_H
#define COLTSFOOTSTILE_KEYRING_H

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"

/** Maximum number of keys that are granted by records and not withdrawn. */
#define COLT_KEYRING_GIVEN_MAX 1024u
/** Number of withdrawn keys from which on grants are refused; withdrawals are
 * always accepted. */
#define COLT_KEYRING_WITHDRAWN_MAX 8192u
/** Maximum length in bytes of a secret; a longer one is not hashed and its key
 * counts as unknown. */
#define COLT_SECRET_MAX 256u
/** Number of random bytes in a new secret. */
#define COLT_SECRET_RANDOM_SIZE 32u
/** Size of a new secret's text in bytes, including the terminating NUL. */
#define COLT_SECRET_TEXT_SIZE 70u

/** State of a key. */
enum ColtKeyState
{
  COLT_KEY_LIVE,    /**< valid for its team */
  COLT_KEY_UNKNOWN, /**< neither declared nor granted, or its team is missing */
  COLT_KEY_WITHDRAWN /**< permanently withdrawn */
};

/** Names of enum ColtKeyState, indexed by it. */
extern const char *const colt_key_state_string[];

/** A set of callers' keys with their teams and withdrawals. */
struct ColtKeyring;

/** Computes the hash of a secret, which identifies its key. */
struct ColtHash colt_secret_hash (const char *secret);

/** Writes the text of a new secret: "colt-" and the random bytes as 64
 * hexadecimal digits. */
void colt_secret_format (const uint8_t random[COLT_SECRET_RANDOM_SIZE],
                         char text[COLT_SECRET_TEXT_SIZE]);

/**
 * Returns the state of the key with a secret.
 *
 * \param team  set to the index of the key's team in the bundle in force, or to
 *              COLT_BUNDLE_NO_INDEX if the key is not live
 */
enum ColtKeyState colt_keyring_check (const struct ColtKeyring *keyring,
                                      const char *secret,
                                      uint32_t *team);

/** Returns the state of the key with the hash of a secret, see
 * colt_keyring_check(). */
enum ColtKeyState colt_keyring_check_hash (const struct ColtKeyring *keyring,
                                           const struct ColtHash *hash,
                                           uint32_t *team);

/** Returns the number of withdrawn keys. */
size_t colt_keyring_withdrawn_count (const struct ColtKeyring *keyring);

/** Returns the number of keys in the state COLT_KEY_LIVE. */
size_t colt_keyring_live_count (const struct ColtKeyring *keyring);

/** Calls \a visit for each key, in unspecified order. The name and team are ""
 * for a withdrawn key that is neither declared nor granted. */
void colt_keyring_visit (const struct ColtKeyring *keyring,
                         void (*visit) (void *client,
                                        const struct ColtHash *hash,
                                        const char *name,
                                        const char *team,
                                        enum ColtKeyState state),
                         void *client);

/**
 * Signs the grant of a key and encodes it as the body of a
 * COLT_RECORD_KEY_GIVE.
 *
 * \param name  name of the key
 * \param team  name of its team
 * \param hash  hash of its secret
 * \param pair  key pair of the signing operator
 * \param size  set to the size of the result in bytes
 * \return the body, to be freed with free()
 */
uint8_t *colt_key_give_encode (const char *name,
                               const char *team,
                               const struct ColtHash *hash,
                               const struct ColtOperatorPair *pair,
                               size_t *size);

/** Signs the withdrawal of a key and encodes it as the body of a
 * COLT_RECORD_KEY_WITHDRAW, see colt_key_give_encode(). */
uint8_t *colt_key_withdraw_encode (const struct ColtHash *hash,
                                   const struct ColtOperatorPair *pair,
                                   size_t *size);

#endif
