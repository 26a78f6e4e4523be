#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_internal.h"
#include "coltsfootstile/bundle_sign.h"

static const char *const purpose_prefix[]
    = { "coltsfootstile bundle", "coltsfootstile key give",
        "coltsfootstile key withdraw" };

static GByteArray *
build_message_ (enum ColtSignPurpose purpose, const void *data, size_t size);

bool
colt_sign_init (struct ColtError *error)
{
  if (sodium_init () >= 0)
    return true;
  return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_SIGN, NULL,
                         "libsodium can't be initialised");
}

void
colt_operator_pair_make (struct ColtOperatorPair *pair, const uint8_t seed[32])
{
  crypto_sign_seed_keypair (pair->key.bytes, pair->secret, seed);
}

void
colt_sign (const struct ColtOperatorPair *pair,
           enum ColtSignPurpose purpose,
           const void *data,
           size_t size,
           struct ColtSignature *signature)
{
  GByteArray *message = build_message_ (purpose, data, size);

  signature->operator_key = pair->key;
  crypto_sign_detached (signature->bytes, NULL, message->data, message->len,
                        pair->secret);
  g_byte_array_unref (message);
}

bool
colt_sign_verify (const struct ColtSignature *signature,
                  enum ColtSignPurpose purpose,
                  const void *data,
                  size_t size)
{
  GByteArray *message = build_message_ (purpose, data, size);
  int result = crypto_sign_verify_detached (signature->bytes, message->data,
                                            message->len,
                                            signature->operator_key.bytes);

  g_byte_array_unref (message);
  return result == 0;
}

void
colt_bundle_sign (const struct ColtBundle *bundle,
                  const struct ColtOperatorPair *pair,
                  struct ColtSignature *signature)
{
  colt_sign (pair, COLT_SIGN_BUNDLE, bundle->hash.bytes, COLT_HASH_SIZE,
             signature);
}

char *
colt_bundle_signed_text (const struct ColtBundle *bundle,
                         const struct ColtSignature *signature)
{
  struct ColtSignatureSection section = { "", *signature };
  GString *text = g_string_new (bundle->text);
  char *result;

  colt_section_write (COLT_SECTION_SIGNATURE, &section, text);
  result = strdup (text->str);
  g_string_free (text, TRUE);
  return result;
}

bool
colt_operator_key_parse (const char *text, struct ColtOperatorKey *key)
{
  struct ColtHash digits;

  if (!colt_hash_parse (text, &digits))
    return false;
  memcpy (key->bytes, digits.bytes, sizeof key->bytes);
  return true;
}

const char *
colt_operator_key_format (const struct ColtOperatorKey *key,
                          char text[COLT_HASH_TEXT_SIZE])
{
  return sodium_bin2hex (text, COLT_HASH_TEXT_SIZE, key->bytes,
                         COLT_OPERATOR_KEY_SIZE);
}

/* Returns the signed bytes: the prefix of the purpose with its terminating NUL,
   followed by the data. */
static GByteArray *
build_message_ (enum ColtSignPurpose purpose, const void *data, size_t size)
{
  GByteArray *message = g_byte_array_new ();
  const char *prefix = purpose_prefix[purpose];

  g_byte_array_append (message, (const guint8 *)prefix, strlen (prefix) + 1);
  g_byte_array_append (message, data, size);
  return message;
}
