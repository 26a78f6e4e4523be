#include <sodium.h>
#include <string.h>

#include "bundle_internal.h"

struct ColtHash
colt_hash_make (const void *data, size_t size)
{
  struct ColtHash hash;

  crypto_generichash (hash.bytes, sizeof hash.bytes, data, size, NULL, 0);
  return hash;
}

bool
colt_hash_equal (const struct ColtHash *a, const struct ColtHash *b)
{
  return sodium_memcmp (a->bytes, b->bytes, COLT_HASH_SIZE) == 0;
}

bool
colt_hash_is_none (const struct ColtHash *hash)
{
  return sodium_is_zero (hash->bytes, COLT_HASH_SIZE) != 0;
}

const char *
colt_hash_format (const struct ColtHash *hash, char text[COLT_HASH_TEXT_SIZE])
{
  return sodium_bin2hex (text, COLT_HASH_TEXT_SIZE, hash->bytes,
                         COLT_HASH_SIZE);
}

bool
colt_hash_parse (const char *text, struct ColtHash *hash)
{
  if (strlen (text) != 2 * COLT_HASH_SIZE
      || strspn (text, "0123456789abcdef") != 2 * COLT_HASH_SIZE)
    return false;
  return sodium_hex2bin (hash->bytes, COLT_HASH_SIZE, text, 2 * COLT_HASH_SIZE,
                         NULL, NULL, NULL)
         == 0;
}

bool
colt_name_is_valid (const char *name)
{
  size_t length = strlen (name);

  return length >= 1 && length < COLT_NAME_SIZE
         && strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

struct ColtHash
colt_bundle_hash_parts (const char *header, const struct ColtHash *body_hash)
{
  crypto_generichash_state state;
  struct ColtHash hash;

  crypto_generichash_init (&state, NULL, 0, sizeof hash.bytes);
  crypto_generichash_update (&state, (const uint8_t *)header, strlen (header));
  crypto_generichash_update (&state, body_hash->bytes, COLT_HASH_SIZE);
  crypto_generichash_final (&state, hash.bytes, sizeof hash.bytes);
  return hash;
}

guint
colt_hash_table_hash (gconstpointer hash)
{
  guint value;

  memcpy (&value, hash, sizeof value);
  return value;
}

gboolean
colt_hash_table_equal (gconstpointer a, gconstpointer b)
{
  return colt_hash_equal (a, b);
}
