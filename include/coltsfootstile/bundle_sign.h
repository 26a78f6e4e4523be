/**
 * \file
 * \brief Operators' keys and signatures: on bundles, and on grants and
 * withdrawals of callers' keys.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_SIGN_H
#define COLTSFOOTSTILE_BUNDLE_SIGN_H

#include "coltsfootstile/bundle.h"

/** What a signature is for; one for a purpose is worth nothing for another. */
enum ColtSignPurpose
{
  COLT_SIGN_BUNDLE,
  COLT_SIGN_KEY_GIVE,
  COLT_SIGN_KEY_WITHDRAW
};

/** An operator's pair of keys. */
struct ColtOperatorPair
{
  struct ColtOperatorKey key;
  uint8_t secret[COLT_OPERATOR_SECRET_SIZE];
};

/** Prepares libsodium; must succeed before anything else of this header. */
bool colt_sign_init (struct ColtError *error);

/** Makes a new pair from \a seed, 32 random bytes. */
void colt_operator_pair_make (struct ColtOperatorPair *pair,
                              const uint8_t seed[32]);

/** Signs \a size bytes at \a data. */
void colt_sign (const struct ColtOperatorPair *pair,
                enum ColtSignPurpose purpose,
                const void *data,
                size_t size,
                struct ColtSignature *signature);

/** Returns whether a signature is right; says nothing on who may sign. */
bool colt_sign_verify (const struct ColtSignature *signature,
                       enum ColtSignPurpose purpose,
                       const void *data,
                       size_t size);

/** Signs a bundle. */
void colt_bundle_sign (const struct ColtBundle *bundle,
                       const struct ColtOperatorPair *pair,
                       struct ColtSignature *signature);

/**
 * Returns the canonical text followed by a [signature] section, to be freed
 * with free().
 */
char *colt_bundle_signed_text (const struct ColtBundle *bundle,
                               const struct ColtSignature *signature);

/** Reads an operator's public key of 64 hexadecimal digits. */
bool colt_operator_key_parse (const char *text, struct ColtOperatorKey *key);

/** Writes an operator's public key into \a text and returns it. */
const char *colt_operator_key_format (const struct ColtOperatorKey *key,
                                      char text[COLT_HASH_TEXT_SIZE]);

#endif
