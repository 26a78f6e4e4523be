/**
 * \file
 * \brief Callers' keys: those of the bundle, those given later, and those
 * withdrawn.
 *
 * A key is known by the hash of its secret. A withdrawal is for good: the same
 * hash never counts again, whatever order the records come in.
 */
#ifndef COLTSFOOTSTILE_KEYRING_H
#define COLTSFOOTSTILE_KEYRING_H

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/bundle_sign.h"

/** Most keys that are given by records and not withdrawn. */
#define COLT_KEYRING_GIVEN_MAX 1024u
/** Withdrawn keys at which no more keys are given; withdrawals are always
 * taken. */
#define COLT_KEYRING_WITHDRAWN_MAX 8192u
/** Longest secret that is looked at, in bytes. */
#define COLT_SECRET_MAX 256u
/** Random bytes of a new secret. */
#define COLT_SECRET_RANDOM_SIZE 32u
/** Size of a new secret's text, with the final zero. */
#define COLT_SECRET_TEXT_SIZE 70u

/** Where a key stands. */
enum ColtKeyState
{
  COLT_KEY_LIVE,     /**< counts for its team */
  COLT_KEY_UNKNOWN,  /**< never given, or its team is gone */
  COLT_KEY_WITHDRAWN /**< withdrawn for good */
};

/** Names of enum ColtKeyState, indexed by it. */
extern const char *const colt_key_state_string[];

/** The keys. */
struct ColtKeyring;

/** Hashes a secret as presented by a caller. */
struct ColtHash colt_secret_hash (const char *secret);

/** Writes the text of a new secret into \a text. */
void colt_secret_format (const uint8_t random[COLT_SECRET_RANDOM_SIZE],
                         char text[COLT_SECRET_TEXT_SIZE]);

/**
 * Decides on a presented secret.
 *
 * \param team  set to the number of the team in the bundle in force when the
 *              key is live
 */
enum ColtKeyState colt_keyring_check (const struct ColtKeyring *keyring,
                                      const char *secret,
                                      uint32_t *team);

/** Decides on the hash of a secret. */
enum ColtKeyState colt_keyring_check_hash (const struct ColtKeyring *keyring,
                                           const struct ColtHash *hash,
                                           uint32_t *team);

/** Returns the number of withdrawn keys. */
size_t colt_keyring_withdrawn_count (const struct ColtKeyring *keyring);

/** Returns the number of keys that count now. */
size_t colt_keyring_live_count (const struct ColtKeyring *keyring);

/** Calls \a visit for each key, in no order; name and team are "" for a
 * withdrawn key that was never given here. */
void colt_keyring_visit (const struct ColtKeyring *keyring,
                         void (*visit) (void *client,
                                        const struct ColtHash *hash,
                                        const char *name,
                                        const char *team,
                                        enum ColtKeyState state),
                         void *client);

/**
 * Encodes and signs a grant as the body of a COLT_RECORD_KEY_GIVE.
 *
 * \return to be freed with free()
 */
uint8_t *colt_key_give_encode (const char *name,
                               const char *team,
                               const struct ColtHash *hash,
                               const struct ColtOperatorPair *pair,
                               size_t *size);

/** Encodes and signs a withdrawal as the body of a COLT_RECORD_KEY_WITHDRAW. */
uint8_t *colt_key_withdraw_encode (const struct ColtHash *hash,
                                   const struct ColtOperatorPair *pair,
                                   size_t *size);

#endif
