#include "coltsfootstile/id.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

enum
{
  ZONE_OFFSET = 0,
  KIND_OFFSET = 1,
  TIME_OFFSET = 2,
  RANDOM_OFFSET = 6,
  RANDOM_SIZE = COLT_ID_SIZE - RANDOM_OFFSET
};

static void store_seconds_ (struct ColtId *id, uint32_t seconds);
static uint32_t
choose_zone_ (const uint8_t *digest, const uint32_t *zones, size_t zone_count);
static int parse_nibble_ (char digit);

struct ColtId
colt_id_mint (uint32_t zone, uint32_t wall_s, const uint8_t random[10])
{
  struct ColtId id = { { 0 } };

  assert (zone >= 1 && zone <= COLT_ZONE_MAX);
  id.bytes[ZONE_OFFSET] = (uint8_t)zone;
  id.bytes[KIND_OFFSET] = COLT_ID_MINTED;
  store_seconds_ (&id, wall_s);
  memcpy (id.bytes + RANDOM_OFFSET, random, RANDOM_SIZE);
  return id;
}

struct ColtId
colt_id_hash (const char *team,
              const char *key,
              const uint32_t *zones,
              size_t zone_count)
{
  struct ColtId id = { { 0 } };
  uint8_t digest[crypto_generichash_BYTES];
  crypto_generichash_state state;

  assert (zone_count > 0);
  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  /* The final zero of the team's name separates it from the key. */
  crypto_generichash_update (&state, (const uint8_t *)team, strlen (team) + 1);
  crypto_generichash_update (&state, (const uint8_t *)key, strlen (key));
  crypto_generichash_final (&state, digest, sizeof digest);
  id.bytes[ZONE_OFFSET] = (uint8_t)choose_zone_ (digest, zones, zone_count);
  id.bytes[KIND_OFFSET] = COLT_ID_HASHED;
  memcpy (id.bytes + RANDOM_OFFSET, digest, RANDOM_SIZE);
  return id;
}

uint32_t
colt_id_zone (const struct ColtId *id)
{
  return id->bytes[ZONE_OFFSET];
}

enum ColtIdKind
colt_id_kind (const struct ColtId *id)
{
  return (enum ColtIdKind)id->bytes[KIND_OFFSET];
}

uint32_t
colt_id_minted_s (const struct ColtId *id)
{
  const uint8_t *at = id->bytes + TIME_OFFSET;

  return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 | (uint32_t)at[2] << 8
         | at[3];
}

uint32_t
colt_id_shard (const struct ColtId *id)
{
  return (uint32_t)(XXH3_64bits (id->bytes, COLT_ID_SIZE) % COLT_SHARD_COUNT);
}

uint32_t
colt_team_shard (const char *team)
{
  return (uint32_t)(XXH3_64bits (team, strlen (team)) % COLT_SHARD_COUNT);
}

const char *
colt_id_format (const struct ColtId *id, char text[COLT_ID_TEXT_SIZE])
{
  return sodium_bin2hex (text, COLT_ID_TEXT_SIZE, id->bytes, COLT_ID_SIZE);
}

bool
colt_id_parse (const char *text, struct ColtId *id, struct ColtError *error)
{
  size_t i;

  if (strlen (text) != 2 * COLT_ID_SIZE)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "a request id has 32 hexadecimal digits");
  for (i = 0; i < COLT_ID_SIZE; i++)
    {
      int high = parse_nibble_ (text[2 * i]);
      int low = parse_nibble_ (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                               NULL, "a request id has only the digits 0-9a-f");
      id->bytes[i] = (uint8_t)(high << 4 | low);
    }
  if (colt_id_zone (id) < 1 || colt_id_zone (id) > COLT_ZONE_MAX)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "the request id names no zone");
  if (colt_id_kind (id) != COLT_ID_MINTED
      && colt_id_kind (id) != COLT_ID_HASHED)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "the request id is of no known kind");
  return true;
}

bool
colt_id_equal (const struct ColtId *a, const struct ColtId *b)
{
  return memcmp (a->bytes, b->bytes, COLT_ID_SIZE) == 0;
}

unsigned
colt_id_table_hash (const void *id)
{
  return (unsigned)XXH3_64bits (id, COLT_ID_SIZE);
}

int
colt_id_table_equal (const void *a, const void *b)
{
  return colt_id_equal (a, b);
}

static void
store_seconds_ (struct ColtId *id, uint32_t seconds)
{
  uint8_t *at = id->bytes + TIME_OFFSET;

  at[0] = (uint8_t)(seconds >> 24);
  at[1] = (uint8_t)(seconds >> 16);
  at[2] = (uint8_t)(seconds >> 8);
  at[3] = (uint8_t)seconds;
}

/* Rendezvous hashing: adding a zone moves only the ids that it takes over. */
static uint32_t
choose_zone_ (const uint8_t *digest, const uint32_t *zones, size_t zone_count)
{
  uint64_t best_weight = 0;
  uint32_t best = zones[0];
  size_t i;

  for (i = 0; i < zone_count; i++)
    {
      uint64_t weight = XXH3_64bits_withSeed (digest, RANDOM_SIZE, zones[i]);

      if (i > 0 && weight <= best_weight)
        continue;
      best_weight = weight;
      best = zones[i];
    }
  return best;
}

static int
parse_nibble_ (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return -1;
}
