/**
 * \file
 * \brief Decides transfers of entitlement between zones.
 *
 * Each zone's planner gives away what its own zone does not need to zones
 * whose work waits. It plans only while it hears every zone, since no zone can
 * use a raise before all comply, and one record at a time.
 */
#ifndef COLTSFOOTSTILE_TRANSFERS_H
#define COLTSFOOTSTILE_TRANSFERS_H

#include "coltsfootstile/entitlement.h"
#include "coltsfootstile/quota_messages.h"

/** Least time between two records of a zone, in microseconds. */
#define COLT_TRANSFER_PERIOD_US 1000000
/** Age at which a zone's digest no longer counts, in microseconds. */
#define COLT_TRANSFER_STALE_US 5000000
/** Time a team's entitlement in use rests before it moves again, in us. */
#define COLT_TRANSFER_REST_US 10000000
/** Time after which an unseen record is appended again, in microseconds. */
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
 * \param zone          the zone that gives
 * \param entitlements  the instance's fold, not owned; outlives the planner
 * \param random        makes the ids of records
 */
struct ColtTransferPlanner *
colt_transfer_planner_create (uint32_t zone,
                              const struct ColtEntitlements *entitlements,
                              ColtTransferRandomFunc random,
                              void *context);

/** Destroys a planner; NULL is allowed. */
void colt_transfer_planner_destroy (struct ColtTransferPlanner *planner);

/** Takes in a zone's digest, the own one included. */
void colt_transfer_planner_receive (struct ColtTransferPlanner *planner,
                                    const struct ColtDemandDigest *digest,
                                    int64_t now_us);

/**
 * Decides on a record to append.
 *
 * \return the record, the planner's own and valid until the next call; NULL if
 *         none is due. The same record comes again while it has not been
 *         read back from the log.
 */
const struct ColtQuotaTransfer *
colt_transfer_planner_process (struct ColtTransferPlanner *planner,
                               int64_t now_us);

/** States that a transfer record was read from the log. */
void colt_transfer_planner_seen (struct ColtTransferPlanner *planner,
                                 const struct ColtId *id);

/** Returns whether a record waits to be read back. */
bool colt_transfer_planner_pending (const struct ColtTransferPlanner *planner);

#endif
