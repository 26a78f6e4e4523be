/**
 * \file
 * \brief Entitlements: the zones' parts of teams' limits.
 *
 * The entitlements are a fold of the log: bundle records set them, transfer
 * records move them between zones. All readers that have read up to the same
 * offset hold the same entitlements, and at every offset the entitlements of a
 * team sum to the limit in force there.
 *
 * Zones read the log at different speeds. A zone may use the least of its
 * entitlements over all offsets from the lowest at which some zone may still
 * compute credits up to its own position. A zone complies with an offset when
 * it runs at most that least amount and applies no more credits computed at a
 * lower offset. Compliance is recorded for each zone and shard of teams, with
 * exceptions for single teams; it only grows, and entry instances exchange it.
 *
 * A zone that complies with the last change of a shard's teams complies with
 * all later offsets up to the next change. Offset 0 stands for the empty log:
 * callers pass the log's offset plus 1. Zones are 1 to COLT_ZONE_MAX, shards
 * are below COLT_SHARD_COUNT.
 */
#ifndef COLTSFOOTSTILE_ENTITLEMENT_H
#define COLTSFOOTSTILE_ENTITLEMENT_H

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/quota_messages.h"
#include "coltsfootstile/task.h"

/** Highest number of offsets from a valid transfer record's base to it. */
#define COLT_TRANSFER_WINDOW 16384u
/**
 * Highest number of steps in the history of a team, zone and dimension; beyond
 * it, the two oldest steps are merged to the lower value.
 */
#define COLT_ENTITLEMENT_STEPS_MAX 32u

/** The limit of a team in a bundle. */
struct ColtQuotaTeam
{
  char team[COLT_NAME_SIZE];
  struct ColtQuotaAmount limit;
};

/** The limits of a bundle. */
struct ColtQuotaBundle
{
  const uint32_t *zones;             /**< ascending, each 1 to COLT_ZONE_MAX */
  const int64_t *weights;            /**< 0 to COLT_QUOTA_MAX; NULL: equal */
  size_t zone_count;                 /**< at least 1 */
  const struct ColtQuotaTeam *teams; /**< each team once */
  size_t team_count;
};

/** The fold, with the recorded compliance. */
struct ColtEntitlements;

/** Called for each team; see colt_entitlements_each_team(). */
typedef void (*ColtEntitlementsTeamFunc) (void *context, const char *team);

/** Creates the fold of an empty log. */
struct ColtEntitlements *colt_entitlements_create (void);

/** Destroys the fold; NULL is allowed. */
void colt_entitlements_destroy (struct ColtEntitlements *entitlements);

/**
 * Applies a bundle that has come into force.
 *
 * A raised limit adds the difference of the divisor method's parts for the new
 * and the old limit, which is never negative. A lowered limit shrinks the
 * entitlements in proportion to themselves, by the same method. A removed
 * zone's entitlements are divided among the others. An added zone starts
 * without entitlements to the existing teams; it receives its part of later
 * raises, and transfers. A team that the bundle lacks has no entitlements.
 *
 * Callers apply all records of one offset before they read the fold.
 *
 * \param offset  offset of the record, at least that of the previous record
 * \param bundle  a valid bundle
 */
void colt_entitlements_apply_bundle (struct ColtEntitlements *entitlements,
                                     uint64_t offset,
                                     const struct ColtQuotaBundle *bundle);

/**
 * Applies a transfer record. A record with a repeated id or a base out of the
 * window is skipped, and so is each move of nothing, of more than the zone is
 * entitled to, within one zone, or of an unknown zone or team. All readers skip
 * the same records and moves.
 *
 * \param offset    offset of the record, at least that of the previous record
 * \param transfer  the record
 * \return          number of moves that took effect
 */
size_t
colt_entitlements_apply_transfer (struct ColtEntitlements *entitlements,
                                  uint64_t offset,
                                  const struct ColtQuotaTransfer *transfer);

/** Records that the log was read up to an offset; a lower one is ignored. */
void colt_entitlements_advance (struct ColtEntitlements *entitlements,
                                uint64_t offset);

/** Returns the offset up to which the log was read. */
uint64_t
colt_entitlements_position (const struct ColtEntitlements *entitlements);

/**
 * Returns the offset of the last change of the zones or of an entitlement, 0 if
 * none.
 */
uint64_t
colt_entitlements_last_change (const struct ColtEntitlements *entitlements);

/**
 * Returns the offset of the last change of the zones or of an entitlement to a
 * team of the shard, 0 if none.
 */
uint64_t colt_entitlements_shard_last_change (
    const struct ColtEntitlements *entitlements,
    uint32_t shard);

/** Returns whether the team is in the bundle in force. */
bool colt_entitlements_has_team (const struct ColtEntitlements *entitlements,
                                 const char *team);

/** Gets a team's limit, 0 in each dimension for an unknown team. */
void colt_entitlements_get_limit (const struct ColtEntitlements *entitlements,
                                  const char *team,
                                  struct ColtQuotaAmount *limit);

/**
 * Gets a zone's entitlement at the fold's offset, 0 in each dimension for an
 * unknown team.
 */
void colt_entitlements_get (const struct ColtEntitlements *entitlements,
                            const char *team,
                            uint32_t zone,
                            struct ColtQuotaAmount *amount);

/**
 * Gets the amount that a zone may use: its least entitlement over all offsets
 * from the lowest at which some zone may still compute credits up to the
 * fold's.
 */
void colt_entitlements_get_usable (const struct ColtEntitlements *entitlements,
                                   const char *team,
                                   uint32_t zone,
                                   struct ColtQuotaAmount *amount);

/**
 * Returns whether every zone complies with the team's last change; true for an
 * unknown team.
 */
bool colt_entitlements_is_settled (const struct ColtEntitlements *entitlements,
                                   const char *team);

/**
 * Returns the zones of the bundle in force, ascending; the fold owns the array.
 *
 * \param count  receives the number of zones
 */
const uint32_t *
colt_entitlements_zones (const struct ColtEntitlements *entitlements,
                         size_t *count);

/** Calls \a func for each team of the bundle in force, in order of names. */
void colt_entitlements_each_team (const struct ColtEntitlements *entitlements,
                                  ColtEntitlementsTeamFunc func,
                                  void *context);

/**
 * Merges the compliance of a zone for the teams of a shard: with an offset for
 * all teams except the listed exceptions. For each team, the higher of the
 * recorded and the merged offset counts.
 *
 * \return whether the recorded compliance changed
 */
bool
colt_entitlements_merge_compliance (struct ColtEntitlements *entitlements,
                                    const struct ColtCompliance *compliance);

/** Returns the highest offset that a zone complies with for a team. */
uint64_t
colt_entitlements_complied_offset (const struct ColtEntitlements *entitlements,
                                   uint32_t zone,
                                   const char *team);

/**
 * Returns the highest offset that a zone complies with for those teams of a
 * shard that are no exceptions.
 */
uint64_t colt_entitlements_shard_complied_offset (
    const struct ColtEntitlements *entitlements,
    uint32_t zone,
    uint32_t shard);

/**
 * Returns a number that grows with each change of the recorded compliance, so
 * that a caller can send changes only.
 */
uint64_t colt_entitlements_compliance_version (
    const struct ColtEntitlements *entitlements);

/**
 * Lists the recorded compliance that has changed after a version.
 *
 * \param since  a version, 0 for all entries
 * \return       the list, to be freed with colt_compliance_vector_destroy()
 */
struct ColtComplianceVector *
colt_entitlements_list_compliance (const struct ColtEntitlements *entitlements,
                                   uint64_t since);

/**
 * Packs the whole fold, for a snapshot record or a new instance.
 *
 * \param size  receives the size in bytes
 * \return      the bytes, to be freed with free()
 */
uint8_t *colt_entitlements_pack (const struct ColtEntitlements *entitlements,
                                 size_t *size);

/**
 * Creates a fold from its packed form. Callers skip records with offsets up to
 * that of the fold.
 *
 * \return the fold, NULL with COLT_ERROR_INVALID if the bytes are malformed or
 *         a value is out of range
 */
struct ColtEntitlements *colt_entitlements_unpack (const uint8_t *bytes,
                                                   size_t size,
                                                   struct ColtError *error);

#endif
