/**
 * \file
 * \brief Ledger of what organisations have used, and how much longer their
 * waiting work has to wait for it.
 *
 * The use of an account is the sum over its runs of demand times time, where
 * time loses half its weight in each half-life. Sums are updated when a run
 * starts or ends and are extrapolated when they are read; there is no timer.
 * docs/design/past-use.md gives the reasons.
 *
 * Times are microseconds of a monotonic clock; a time before the latest one of
 * an account counts as that one. A ledger isn't thread-safe.
 */
#ifndef COLTSFOOTSTILE_USAGE_LEDGER_H
#define COLTSFOOTSTILE_USAGE_LEDGER_H

#include <stdint.h>

#include "coltsfootstile/resources.h"

/** Number of resources whose use counts: the first of enum ColtResource, which
 * are cores, memory and accelerators. */
#define COLT_USAGE_RESOURCES (COLT_RESOURCE_ACCELERATORS + 1)

/** Use of an account: for each resource, its amount times seconds. */
struct ColtUsage
{
  double amount_s[COLT_USAGE_RESOURCES];
};

/** A ledger; created by colt_usage_ledger_create(). */
struct ColtUsageLedger;

/**
 * Creates a ledger without accounts.
 *
 * \param half_life_us  above 0
 * \return              the ledger, to be freed with colt_usage_ledger_destroy()
 */
struct ColtUsageLedger *colt_usage_ledger_create (int64_t half_life_us);

/** Frees a ledger; NULL is allowed. */
void colt_usage_ledger_destroy (struct ColtUsageLedger *ledger);

/** Adds an account without use and returns its handle. */
uint32_t colt_usage_ledger_add_account (struct ColtUsageLedger *ledger);

/** Counts a run from \a now_us on. O(1). */
void colt_usage_ledger_start (struct ColtUsageLedger *ledger,
                              uint32_t account,
                              const struct ColtResources *demand,
                              int64_t now_us);

/** Stops counting a run, which must have been started with the same demand.
 * O(1). */
void colt_usage_ledger_end (struct ColtUsageLedger *ledger,
                            uint32_t account,
                            const struct ColtResources *demand,
                            int64_t now_us);

/** Adds use that was recorded \a age_us ago. The age counts as at least 0 and
 * at most one half-life, as it may come from a clock that jumps. Amounts that
 * aren't numbers from 0 to 1e18 are ignored. */
void colt_usage_ledger_restore (struct ColtUsageLedger *ledger,
                                uint32_t account,
                                const struct ColtUsage *usage,
                                int64_t age_us,
                                int64_t now_us);

/** Returns the use of an account, including runs that haven't ended. */
struct ColtUsage colt_usage_ledger_read (const struct ColtUsageLedger *ledger,
                                         uint32_t account,
                                         int64_t now_us);

/**
 * Returns the use of an account relative to that of a fleet which has always
 * been fully used, for the resource of which the account used the largest part.
 *
 * \param fleet  what all servers offer; a resource of which there is none is
 *               left out
 * \return       0 or more; above 1 if the fleet has shrunk
 */
double colt_usage_ledger_share (const struct ColtUsageLedger *ledger,
                                uint32_t account,
                                const struct ColtResources *fleet,
                                int64_t now_us);

/**
 * Returns by how many parts an account's use exceeds its own part.
 *
 * \param share  as colt_usage_ledger_share() returns it
 * \param part   of the fleet that it is entitled to, 0 to 1
 * \return       0 or more; 0 if \a part isn't above 0
 */
double colt_usage_excess (double share, double part);

/**
 * Returns how much later than it did a waiting job counts as having arrived.
 * Excesses that differ by little give the same.
 *
 * \param excess       of its account
 * \param least        least excess of the accounts that wait
 * \param wait_max_us  0 or more
 * \return             0 to \a wait_max_us, in microseconds
 */
int64_t
colt_usage_handicap_us (double excess, double least, int64_t wait_max_us);

#endif
