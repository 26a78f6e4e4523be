/**
 * \file
 * \brief Plans transfers of entitlement between zones.
 *
 * Each zone's planner transfers entitlement that its own zone does not need to
 * zones with waiting tasks. It plans one record at a time, and only while it
 * has a recent digest of every zone, since a zone can't use a raise before all
 * zones comply.
 */
#ifndef COLTSFOOTSTILE_TRANSFERS_H
#define COLTSFOOTSTILE_TRANSFERS_H

#include "coltsfootstile/entitlement.h"
#include "coltsfootstile/quota_messages.h"

/** Least time between two records of a zone, in microseconds. */
#define COLT_TRANSFER_PERIOD_US 1000000
/** Age from which a zone's digest is too old for planning, in microseconds. */
#define COLT_TRANSFER_STALE_US 5000000
/** Least time between moves of a team's entitlement in use, in microseconds. */
#define COLT_TRANSFER_COOLDOWN_US 10000000
/** Time after which an unconfirmed record is returned again, in us. */
#define COLT_TRANSFER_RETRY_US 3000000

/** Planner of one zone. */
struct ColtTransferPlanner;

/** Fills \a bytes with random bytes. */
typedef void (*ColtTransferRandomFunc) (void *context,
                                        uint8_t *bytes,
                                        size_t size);

/**
 * Creates a planner.
 *
 * \param zone          the zone from which the planner transfers
 * \param entitlements  the instance's fold, not owned; outlives the planner
 * \param random        called for the random part of record ids
 * \param context       passed to \a random
 */
struct ColtTransferPlanner *
colt_transfer_planner_create (uint32_t zone,
                              const struct ColtEntitlements *entitlements,
                              ColtTransferRandomFunc random,
                              void *context);

/** Destroys a planner; NULL is allowed. */
void colt_transfer_planner_destroy (struct ColtTransferPlanner *planner);

/**
 * Stores a zone's digest; the planner's own zone needs one, too. A digest whose
 * sequence isn't above that of the zone's last one is ignored.
 *
 * \param now_us  monotonic time
 */
void colt_transfer_planner_handle_digest (struct ColtTransferPlanner *planner,
                                          const struct ColtDemandDigest *digest,
                                          int64_t now_us);

/**
 * Plans a record that the caller appends to the log. An unconfirmed record is
 * returned again every COLT_TRANSFER_RETRY_US.
 *
 * \param now_us  monotonic time
 * \return        the record, owned by the planner and valid until the next
 *                call; NULL if none is due
 */
const struct ColtQuotaTransfer *
colt_transfer_planner_process (struct ColtTransferPlanner *planner,
                               int64_t now_us);

/** Confirms that a transfer record was read back from the log. */
void colt_transfer_planner_confirm_record (struct ColtTransferPlanner *planner,
                                           const struct ColtId *id);

/** Returns whether a planned record has not been confirmed yet. */
bool
colt_transfer_planner_is_pending (const struct ColtTransferPlanner *planner);

#endif
