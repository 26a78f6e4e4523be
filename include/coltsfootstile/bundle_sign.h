/**
 * \file
 * \brief Operators' keys and their signatures of bundles and of grants and
 * withdrawals of callers' keys.
 */
#ifndef COLTSFOOTSTILE_BUNDLE_SIGN_H
#define COLTSFOOTSTILE_BUNDLE_SIGN_H

#include "coltsfootstile/bundle.h"

/** Purpose of a signature; a signature is invalid for any other purpose. */
enum ColtSignPurpose
{
  COLT_SIGN_BUNDLE,
  COLT_SIGN_KEY_GIVE,
  COLT_SIGN_KEY_WITHDRAW
};

/** An operator's Ed25519 key pair. */
struct ColtOperatorPair
{
  struct ColtOperatorKey key;
  uint8_t secret[COLT_OPERATOR_SECRET_SIZE];
};

/** Initialises libsodium; must succeed before any other function of this header
 * is called. Returns false with COLT_ERROR_SYSTEM on failure. */
bool colt_sign_init (struct ColtError *error);

/** Derives a key pair from 32 random bytes. */
void colt_operator_pair_make (struct ColtOperatorPair *pair,
                              const uint8_t seed[32]);

/** Signs \a size bytes at \a data for a purpose. */
void colt_sign (const struct ColtOperatorPair *pair,
                enum ColtSignPurpose purpose,
                const void *data,
                size_t size,
                struct ColtSignature *signature);

/** Returns whether a signature is valid. The caller checks that the signer is
 * authorised. */
bool colt_sign_verify (const struct ColtSignature *signature,
                       enum ColtSignPurpose purpose,
                       const void *data,
                       size_t size);

/** Signs a bundle, for COLT_SIGN_BUNDLE. */
void colt_bundle_sign (const struct ColtBundle *bundle,
                       const struct ColtOperatorPair *pair,
                       struct ColtSignature *signature);

/**
 * Returns the canonical text of a bundle followed by a [signature] section, to
 * be freed with free().
 */
char *colt_bundle_signed_text (const struct ColtBundle *bundle,
                               const struct ColtSignature *signature);

/** Parses an operator's public key of 64 lower-case hexadecimal digits; returns
 * false if \a text is malformed. */
bool colt_operator_key_parse (const char *text, struct ColtOperatorKey *key);

/** Writes an operator's public key as 64 hexadecimal digits to \a text and
 * returns \a text. */
const char *colt_operator_key_format (const struct ColtOperatorKey *key,
                                      char text[COLT_HASH_TEXT_SIZE]);

#endif
