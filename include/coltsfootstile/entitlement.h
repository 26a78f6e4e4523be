/**
 * \file
 * \brief The parts of teams' limits that belong to zones.
 *
 * A zone's entitlement to a team's limit is a fold of the log: records of
 * bundles set it, records of transfers move it between zones. Every reader
 * that has read up to the same offset holds the same entitlements, and at
 * every offset they sum to the limit in force there.
 *
 * Zones read at different speeds. A zone may use the least of its entitlements
 * over all offsets from the lowest that some zone may still stand at up to its
 * own. A zone complies with an offset when it runs no more than that least
 * and takes no more on the word of an older offset. Compliance is known for
 * each zone and shard of teams, with exceptions for single teams; it only
 * grows, and is exchanged between entry instances.
 *
 * A zone that complies with the last change of a shard's teams complies with
 * all later offsets up to the next change. The offset 0 is that of no record:
 * a caller passes the log's offset plus 1.
 */
#ifndef COLTSFOOTSTILE_ENTITLEMENT_H
#define COLTSFOOTSTILE_ENTITLEMENT_H

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/quota_messages.h"
#include "coltsfootstile/task.h"

/** How many offsets behind its base a transfer record is still valid. */
#define COLT_TRANSFER_WINDOW 16384u
/** Steps kept of a team, zone and dimension; more are merged downwards. */
#define COLT_ENTITLEMENT_STEPS_MAX 32u

/** The limit of a team in a bundle. */
struct ColtQuotaTeam
{
  char team[COLT_NAME_SIZE];
  struct ColtQuotaAmount limit;
};

/** What a bundle says of limits. */
struct ColtQuotaBundle
{
  const uint32_t *zones;             /**< ascending, each 1 to COLT_ZONE_MAX */
  const int64_t *weights;            /**< of the zones; NULL: all are equal */
  size_t zone_count;                 /**< at least 1 */
  const struct ColtQuotaTeam *teams; /**< each team once */
  size_t team_count;
};

/** The fold, with what is known of compliance. */
struct ColtEntitlements;

/** Called for each team; see colt_entitlements_each_team(). */
typedef void (*ColtEntitlementsTeamFunc) (void *context, const char *team);

/** Creates the fold of an empty log. */
struct ColtEntitlements *colt_entitlements_create (void);

/** Destroys it; NULL is allowed. */
void colt_entitlements_destroy (struct ColtEntitlements *entitlements);

/**
 * Applies a bundle that came into force.
 *
 * A raised limit adds the difference of the divisor method's parts for the new
 * and the old limit, which is never negative. A lowered limit shrinks the
 * entitlements in proportion to themselves, by the same method. A removed
 * zone's entitlements are divided among the others; an added zone starts
 * with none of the teams that are there already: it gets its part of later
 * raises, and transfers. A team that the bundle lacks has none.
 *
 * All records of one offset are to be applied before anything else is asked.
 *
 * \param offset  of the record, at least that of the record before
 * \param bundle  a bundle that has passed its own checks
 */
void colt_entitlements_apply_bundle (struct ColtEntitlements *entitlements,
                                     uint64_t offset,
                                     const struct ColtQuotaBundle *bundle);

/**
 * Applies a transfer record. Parts of it that can't hold (an id seen before,
 * a base out of the window, more than the giver has, zones or teams that
 * are unknown) are skipped, by the same rule on every reader.
 *
 * \param offset    of the record, at least that of the record before
 * \param transfer  the record
 * \return          how many items took effect
 */
size_t
colt_entitlements_apply_transfer (struct ColtEntitlements *entitlements,
                                  uint64_t offset,
                                  const struct ColtQuotaTransfer *transfer);

/** States that the log was read up to an offset; a lower one does nothing. */
void colt_entitlements_reach (struct ColtEntitlements *entitlements,
                              uint64_t offset);

/** Returns the offset up to which the log was read. */
uint64_t
colt_entitlements_position (const struct ColtEntitlements *entitlements);

/** Returns the offset at which an entitlement last changed, 0 if none did. */
uint64_t colt_entitlements_offset (const struct ColtEntitlements *entitlements);

/** Returns the offset at which one of the shard's teams last changed. */
uint64_t
colt_entitlements_shard_offset (const struct ColtEntitlements *entitlements,
                                uint32_t shard);

/** Returns whether the team is in the bundle in force. */
bool colt_entitlements_has_team (const struct ColtEntitlements *entitlements,
                                 const char *team);

/** Gets a team's limit; all 0 for an unknown team. */
void colt_entitlements_limit (const struct ColtEntitlements *entitlements,
                              const char *team,
                              struct ColtQuotaAmount *limit);

/** Gets a zone's entitlement at the fold's offset. */
void colt_entitlements_get (const struct ColtEntitlements *entitlements,
                            const char *team,
                            uint32_t zone,
                            struct ColtQuotaAmount *amount);

/**
 * Gets what the zone may use: the least entitlement over all offsets from the
 * lowest that some zone may still stand at up to the fold's.
 */
void colt_entitlements_usable (const struct ColtEntitlements *entitlements,
                               const char *team,
                               uint32_t zone,
                               struct ColtQuotaAmount *amount);

/** Returns whether every zone is known to comply with the team's last change.
 */
bool colt_entitlements_settled (const struct ColtEntitlements *entitlements,
                                const char *team);

/** Returns the zones of the bundle in force; *count receives how many. */
const uint32_t *
colt_entitlements_zones (const struct ColtEntitlements *entitlements,
                         size_t *count);

/** Calls \a func for each team of the bundle in force, in order of name. */
void colt_entitlements_each_team (const struct ColtEntitlements *entitlements,
                                  ColtEntitlementsTeamFunc func,
                                  void *context);

/**
 * Takes in that a zone complies with an offset for all teams of a shard but
 * those listed. What is already known is kept: the higher offset counts, for
 * each team.
 *
 * \return whether anything new was learned
 */
bool colt_entitlements_comply (struct ColtEntitlements *entitlements,
                               const struct ColtCompliance *compliance);

/** Returns the offset up to which a zone is known to comply for a team. */
uint64_t
colt_entitlements_complied (const struct ColtEntitlements *entitlements,
                            uint32_t zone,
                            const char *team);

/** Returns the same for the teams of a shard that are no exceptions. */
uint64_t
colt_entitlements_complied_shard (const struct ColtEntitlements *entitlements,
                                  uint32_t zone,
                                  uint32_t shard);

/**
 * Returns a number that grows whenever colt_entitlements_comply() learned
 * something, so that a caller sends only news.
 */
uint64_t colt_entitlements_compliance_version (
    const struct ColtEntitlements *entitlements);

/**
 * Lists what is known of compliance and was learned after a version.
 *
 * \param since   a version, 0 for everything
 * \param vector  receives the list; free with
 *                colt_compliance_vector_destroy()
 */
struct ColtComplianceVector *
colt_entitlements_compliance (const struct ColtEntitlements *entitlements,
                              uint64_t since);

/**
 * Packs the whole fold, for a snapshot record or a new instance.
 *
 * \param size  receives the size in bytes
 * \return      the bytes; free them with free()
 */
uint8_t *colt_entitlements_pack (const struct ColtEntitlements *entitlements,
                                 size_t *size);

/**
 * Makes a fold from its packed form. Records with offsets up to its own are
 * to be skipped from then on.
 *
 * \return NULL with COLT_ERROR_INVALID if it is malformed
 */
struct ColtEntitlements *colt_entitlements_unpack (const uint8_t *bytes,
                                                   size_t size,
                                                   struct ColtError *error);

#endif
