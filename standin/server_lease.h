/**
 * \file
 * \brief The lease on a stand-in backend server, with its epoch and tokens.
 *
 * Times are in microseconds of one monotonic clock.
 */
#ifndef COLT_STANDIN_SERVER_LEASE_H
#define COLT_STANDIN_SERVER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Result of a check of whether a caller may use the server. */
enum ColtStandinAccess
{
  COLT_STANDIN_GRANTED,
  COLT_STANDIN_FENCED,   /**< wrong epoch, or the lease has expired */
  COLT_STANDIN_BAD_TOKEN /**< the token was not issued for this lease */
};

/** A lease on a server. */
struct ColtStandinLease
{
  uint32_t owner; /**< 0: never acquired */
  uint64_t epoch; /**< highest epoch granted */
  int64_t acquired_us;
  int64_t length_us;
  int64_t end_us;
};

/** Returns whether the lease is held at \a now_us. */
bool colt_standin_lease_is_held (const struct ColtStandinLease *lease,
                                 int64_t now_us);

/**
 * Acquires the lease for \a length_us microseconds.
 *
 * \return COLT_STANDIN_FENCED while the lease is held, or if \a epoch is not
 *         higher than each epoch granted before
 */
enum ColtStandinAccess
colt_standin_lease_acquire (struct ColtStandinLease *lease,
                            int64_t now_us,
                            uint32_t owner,
                            uint64_t epoch,
                            int64_t length_us);

/**
 * Checks that a caller holds the lease, and extends the lease. An expired lease
 * can't be extended, whatever the token.
 *
 * \param token      0: check only; else the lease is extended to its length
 *                   after the time at which the token was issued, unless it
 *                   lasts longer already
 * \param length_us  new length of the lease; 0 keeps its length
 */
enum ColtStandinAccess
colt_standin_lease_authorise (struct ColtStandinLease *lease,
                              int64_t now_us,
                              uint64_t epoch,
                              int64_t token,
                              int64_t length_us);

/** Ends the lease at \a now_us. */
void colt_standin_lease_release (struct ColtStandinLease *lease,
                                 int64_t now_us);

/**
 * Issues a token: the time of its issue in microseconds. The token is valid
 * for the current holder of the lease only.
 */
int64_t colt_standin_lease_issue_token (const struct ColtStandinLease *lease,
                                        int64_t now_us);

#endif
