/**
 * \file
 * \brief The lease on a stand-in backend server, with its epoch and tokens.
 */
#ifndef COLT_STANDIN_SERVER_LEASE_H
#define COLT_STANDIN_SERVER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Whether a caller is the holder of the lease. */
enum ColtStandinAccess
{
  COLT_STANDIN_GRANTED,
  COLT_STANDIN_FENCED,   /**< another epoch, or the lease has lapsed */
  COLT_STANDIN_BAD_TOKEN /**< not a token of this lease */
};

/** Who holds the lease. */
struct ColtStandinLease
{
  uint32_t owner; /**< 0: never taken */
  uint64_t epoch; /**< the highest ever granted */
  int64_t taken_us;
  int64_t length_us;
  int64_t end_us;
};

/** Returns whether the lease is held. */
bool colt_standin_lease_held (const struct ColtStandinLease *lease,
                              int64_t now_us);

/** Takes the lease; refused while it is held or if \a epoch is not new. */
enum ColtStandinAccess colt_standin_lease_take (struct ColtStandinLease *lease,
                                                int64_t now_us,
                                                uint32_t owner,
                                                uint64_t epoch,
                                                int64_t length_us);

/**
 * Checks that a caller holds the lease, and renews it.
 *
 * \param token      0: nothing is renewed; else the lease and its length run
 *                   from the token's issue
 * \param length_us  0: as before
 */
enum ColtStandinAccess colt_standin_lease_enter (struct ColtStandinLease *lease,
                                                 int64_t now_us,
                                                 uint64_t epoch,
                                                 int64_t token,
                                                 int64_t length_us);

/** Gives the lease up. */
void colt_standin_lease_release (struct ColtStandinLease *lease,
                                 int64_t now_us);

/** Issues a token: the time of its issue, of use to the current holder. */
int64_t colt_standin_lease_token (const struct ColtStandinLease *lease,
                                  int64_t now_us);

#endif
