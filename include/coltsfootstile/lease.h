/**
 * \file
 * \brief An owner's lease on one backend server.
 *
 * The state machine decides when to acquire, renew and release the lease, and
 * whether its holder may start work at a given time. It does no I/O: it makes
 * its calls through the callbacks of struct ColtLeaseClient, and the client
 * reports their results with functions such as
 * colt_server_lease_handle_renewed(). Each call has a number; a result for a
 * number that is not open any more is ignored. All times are microseconds of
 * the holder's own monotonic clock.
 *
 * The holder never assumes a later end of the lease than the server does: the
 * server counts from the issue of the token that a call echoed, and the holder
 * from the sending of the call whose answer brought that token. That is
 * earlier, and the holder also subtracts a margin for clock drift.
 */
#ifndef COLTSFOOTSTILE_LEASE_H
#define COLTSFOOTSTILE_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/backend.h"

/** State of a lease. */
enum ColtLeaseState
{
  COLT_LEASE_NONE,             /**< not held, and no call is open */
  COLT_LEASE_ACQUIRING,        /**< acquire is open or due for a retry */
  COLT_LEASE_TAKING_INVENTORY, /**< acquired; the inventory is open */
  COLT_LEASE_HELD,             /**< the holder may start work */
  COLT_LEASE_LAPSED,           /**< lapsed or fenced; may be acquired again */
  COLT_LEASE_RELEASING         /**< starts nothing; release is due or open */
};

/** Names of enum ColtLeaseState, indexed by it. */
extern const char *const colt_lease_state_string[];

/** Why a lease was lost. */
enum ColtLeaseLoss
{
  COLT_LEASE_LOSS_LAPSED,  /**< it was not renewed in time */
  COLT_LEASE_LOSS_FENCED,  /**< the server has another holder or epoch */
  COLT_LEASE_LOSS_RELEASED /**< the holder released it */
};

/** Names of enum ColtLeaseLoss, indexed by it. */
extern const char *const colt_lease_loss_string[];

/** Durations and margins of a lease. */
struct ColtLeaseTimes
{
  int64_t lease_ms;       /**< duration of the lease */
  int64_t renew_ms;       /**< between two renewals */
  int64_t retry_ms;       /**< before a failed call is repeated */
  int64_t handover_ms;    /**< from a new designation to the release */
  int64_t drift_permille; /**< margin for clock drift, in 1/1000 of lease_ms */
};

/** Sets the default times. */
void colt_lease_times_default (struct ColtLeaseTimes *times);

/** Callbacks of a lease. None may destroy the lease. */
struct ColtLeaseClient
{
  /** Acquires the lease for \a epoch. */
  void (*acquire) (void *client, uint64_t call, uint64_t epoch);
  /** Fetches the inventory: what runs on the server. */
  void (*take_inventory) (void *client, uint64_t call, uint64_t epoch);
  /** Renews the lease, echoing \a token. */
  void (*renew) (void *client,
                 uint64_t call,
                 uint64_t epoch,
                 const char *token);
  /** Releases the lease, echoing \a token. */
  void (*release) (void *client,
                   uint64_t call,
                   uint64_t epoch,
                   const char *token);
  /** Called when the inventory is complete: work may start. */
  void (*held) (void *client, uint64_t epoch);
  /** Called when the lease has ended or must be assumed to have ended; once
   * for each lease, also for one that never reached COLT_LEASE_HELD. */
  void (*lost) (void *client, uint64_t epoch, enum ColtLeaseLoss loss);
  /** Called after a release in favour of \a successor, which should be
   * notified so that it acquires the lease immediately. */
  void (*handed_over) (void *client, uint64_t epoch, uint32_t successor);
};

/** The lease on one backend server. */
struct ColtServerLease;

/**
 * Creates a lease in COLT_LEASE_NONE.
 *
 * \param server     the backend server's number
 * \param instance   this instance's number, above 0
 * \param times      copied
 * \param callbacks  must outlive the lease
 * \param client     passed to each callback
 * \return           the lease, to be freed with colt_server_lease_destroy()
 */
struct ColtServerLease *
colt_server_lease_create (uint32_t server,
                          uint32_t instance,
                          const struct ColtLeaseTimes *times,
                          const struct ColtLeaseClient *callbacks,
                          void *client);

/** Destroys a lease without a callback; NULL is allowed. */
void colt_server_lease_destroy (struct ColtServerLease *lease);

/**
 * Sets the live instances. Rendezvous hashing designates one of them as the
 * server's owner, which acquires the lease. A holder that is no longer
 * designated keeps the lease for handover_ms and then releases it, once the
 * client's open calls that echo a token have ended. With an empty list no
 * instance is designated, and a holder keeps the lease.
 */
void colt_server_lease_set_members (struct ColtServerLease *lease,
                                    const uint32_t *members,
                                    size_t count,
                                    int64_t now);

/**
 * Stops the lease permanently: no more work may start, and a valid lease is
 * released once the client's open calls that echo a token have ended.
 *
 * \param successor  instance to notify of the release, 0 for none
 */
void colt_server_lease_stop (struct ColtServerLease *lease,
                             uint32_t successor,
                             int64_t now);

/**
 * Handles the notice that another instance has released the server at
 * \a epoch. If this instance is the designated owner, it acquires the lease
 * immediately.
 */
void colt_server_lease_handle_hint (struct ColtServerLease *lease,
                                    uint64_t epoch,
                                    int64_t now);

/** Does all work that is due at \a now; call it at
 * colt_server_lease_wake_time(). */
void colt_server_lease_process (struct ColtServerLease *lease, int64_t now);

/** Returns when colt_server_lease_process() is next due, COLT_TIME_NEVER if
 * nothing is scheduled. */
int64_t colt_server_lease_wake_time (const struct ColtServerLease *lease);

/** Handles the success of an acquire call. */
void colt_server_lease_handle_acquired (struct ColtServerLease *lease,
                                        uint64_t call,
                                        const char *token,
                                        int64_t now);

/** Handles the rejection of any call because of another holder or a higher
 * epoch. */
void colt_server_lease_handle_fenced (struct ColtServerLease *lease,
                                      uint64_t call,
                                      const struct ColtBackendFence *fence,
                                      int64_t now);

/** Handles the success of a renewal or of a call of the client's own. */
void colt_server_lease_handle_renewed (struct ColtServerLease *lease,
                                       uint64_t call,
                                       const char *token,
                                       int64_t now);

/** Handles the inventory, after the client has stored it. */
void colt_server_lease_handle_inventory (struct ColtServerLease *lease,
                                         uint64_t call,
                                         const char *token,
                                         int64_t now);

/** Handles the answer to a release: the lease was released, or had another
 * holder already. */
void colt_server_lease_handle_released (struct ColtServerLease *lease,
                                        uint64_t call,
                                        int64_t now);

/** Handles a call that ended without an answer, or was rejected for a reason
 * other than fencing. */
void colt_server_lease_handle_failure (struct ColtServerLease *lease,
                                       uint64_t call,
                                       int64_t now);

/**
 * Opens a call of the client's own (changes, events) under the lease. It must
 * be ended by colt_server_lease_handle_renewed(),
 * colt_server_lease_handle_fenced() or colt_server_lease_handle_failure().
 *
 * \param echoes_token  whether the call carries colt_server_lease_token(),
 *                      which renews the lease
 * \return              the call's number, 0 if colt_server_lease_may_start()
 *                      returns false
 */
uint64_t colt_server_lease_open_call (struct ColtServerLease *lease,
                                      bool echoes_token,
                                      int64_t now);

/** Returns whether work may be started and renewed at \a now. */
bool colt_server_lease_may_start (const struct ColtServerLease *lease,
                                  int64_t now);

/** Returns whether the lease is valid at \a now, whatever its state: tasks on
 * the server may be renewed and stopped. */
bool colt_server_lease_is_valid (const struct ColtServerLease *lease,
                                 int64_t now);

/** Returns the state. */
enum ColtLeaseState
colt_server_lease_state (const struct ColtServerLease *lease);

/** Returns the epoch of the valid lease, or the highest epoch seen if there is
 * none. */
uint64_t colt_server_lease_epoch (const struct ColtServerLease *lease);

/** Returns the newest token, "" if there is none. It belongs to the lease and
 * may change with each call that modifies the lease. */
const char *colt_server_lease_token (const struct ColtServerLease *lease);

/** Returns when the lease ends by the holder's clock, 0 if none is held. */
int64_t colt_server_lease_end (const struct ColtServerLease *lease);

/** Returns the backend server's number. */
uint32_t colt_server_lease_server (const struct ColtServerLease *lease);

/** Returns the last known holder of the server's lease, 0 for none. */
uint32_t colt_server_lease_holder (const struct ColtServerLease *lease);

#endif
