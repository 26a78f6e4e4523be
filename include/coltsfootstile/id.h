/**
 * \file
 * \brief Identifiers of requests, and the shards that they belong to.
 *
 * A request id has 16 bytes: the home zone, the kind, four bytes of wall-clock
 * seconds at minting (big endian; zero in a hashed id), and ten bytes that
 * are random or hashed. Its text form is 32 lower-case hexadecimal digits.
 */
#ifndef COLTSFOOTSTILE_ID_H
#define COLTSFOOTSTILE_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Size of a request id in bytes. */
#define COLT_ID_SIZE 16
/** Size in bytes of a request id's text form, with the final zero. */
#define COLT_ID_TEXT_SIZE 33
/** Number of shards into which the requests of one zone are divided. */
#define COLT_SHARD_COUNT 64u
/** Highest zone number; zones are numbered from 1. */
#define COLT_ZONE_MAX 15u

/** How a request id was made. */
enum ColtIdKind
{
  COLT_ID_MINTED = 1, /**< made by an entry instance, never used before */
  COLT_ID_HASHED = 2  /**< derived from a caller's Idempotency-Key */
};

/** The id of a request. */
struct ColtId
{
  uint8_t bytes[COLT_ID_SIZE];
};

/**
 * Makes a new id.
 *
 * \param zone    the home zone, 1 to COLT_ZONE_MAX
 * \param wall_s  wall-clock seconds since 1970
 * \param random  ten random bytes
 */
struct ColtId
colt_id_mint (uint32_t zone, uint32_t wall_s, const uint8_t random[10]);

/**
 * Derives the id of a request from the caller's Idempotency-Key. The same team
 * and key give the same id on every instance that has the same set of zones, in
 * any order.
 *
 * \param team        name of the team
 * \param key         the caller's Idempotency-Key
 * \param zones       numbers of the bundle's zones
 * \param zone_count  number of zones, at least 1
 */
struct ColtId colt_id_hash (const char *team,
                            const char *key,
                            const uint32_t *zones,
                            size_t zone_count);

/** Returns the home zone of an id. */
uint32_t colt_id_zone (const struct ColtId *id);

/** Returns the kind of an id. */
enum ColtIdKind colt_id_kind (const struct ColtId *id);

/** Returns the wall-clock second at which an id was minted; 0 if hashed. */
uint32_t colt_id_minted_s (const struct ColtId *id);

/** Returns the shard of a request, 0 to COLT_SHARD_COUNT - 1. */
uint32_t colt_id_shard (const struct ColtId *id);

/** Returns the shard that, in each zone, counts a team's work; 0 to
 * COLT_SHARD_COUNT - 1. */
uint32_t colt_team_shard (const char *team);

/** Writes the text form of an id into \a text and returns it. */
const char *colt_id_format (const struct ColtId *id,
                            char text[COLT_ID_TEXT_SIZE]);

/**
 * Parses the text form of an id.
 *
 * \return false with COLT_ERROR_INVALID if \a text is not a valid id
 */
bool
colt_id_parse (const char *text, struct ColtId *id, struct ColtError *error);

/** Returns whether two ids are equal. */
bool colt_id_equal (const struct ColtId *a, const struct ColtId *b);

/** Hash function for a GHashTable whose keys point to struct ColtId. */
unsigned colt_id_table_hash (const void *id);

/** Key comparison for a GHashTable whose keys point to struct ColtId. */
int colt_id_table_equal (const void *a, const void *b);

#endif
