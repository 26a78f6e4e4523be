/**
 * \file
 * \brief The owner's side of the lease on one backend server.
 *
 * The lease decides when to acquire, renew and release, and says at any moment
 * whether the holder may still start work. It sends nothing itself: calls go
 * out by the client's table, and their ends come back as events. Each call
 * has a number; an end whose number is no longer open is ignored. All times
 * are microseconds of the holder's own monotonic clock.
 *
 * The holder's view of the lease's end is a safe one: the server counts from
 * the issue of the token that a call echoed, and the holder from the sending
 * of the call whose answer brought that token, which is earlier, less a margin
 * for drifting clocks.
 */
#ifndef COLTSFOOTSTILE_LEASE_H
#define COLTSFOOTSTILE_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/backend.h"

/** Where the holder stands. */
enum ColtLeaseState
{
  COLT_LEASE_NONE,             /**< not held, and no call is open */
  COLT_LEASE_ACQUIRING,        /**< wants it: asks, or waits to ask again */
  COLT_LEASE_TAKING_INVENTORY, /**< has it, learns what runs there */
  COLT_LEASE_HELD,             /**< may start work */
  COLT_LEASE_LAPSED,           /**< ended by the clock; may ask again */
  COLT_LEASE_RELEASING         /**< starts nothing; gives it up when idle */
};

/** Names of enum ColtLeaseState, indexed by it. */
extern const char *const colt_lease_state_string[];

/** Why a lease was lost. */
enum ColtLeaseLoss
{
  COLT_LEASE_LOSS_LAPSED,  /**< not renewed in time */
  COLT_LEASE_LOSS_FENCED,  /**< the server has another holder or epoch */
  COLT_LEASE_LOSS_RELEASED /**< given up on purpose */
};

/** Names of enum ColtLeaseLoss, indexed by it. */
extern const char *const colt_lease_loss_string[];

/** Times of a lease, all in milliseconds unless said otherwise. */
struct ColtLeaseTimes
{
  int64_t lease_ms;       /**< how long the lease runs */
  int64_t renew_ms;       /**< between calls that renew */
  int64_t retry_ms;       /**< before a call that failed is made again */
  int64_t handover_ms;    /**< another instance must be the choice that long */
  int64_t drift_permille; /**< margin for drifting clocks */
};

/** Fills in the values that a deployment starts from. */
void colt_lease_times_default (struct ColtLeaseTimes *times);

/** What the lease asks of its client. None may destroy the lease. */
struct ColtLeaseClient
{
  /** Take the lease with \a epoch. */
  void (*acquire) (void *client, uint64_t call, uint64_t epoch);
  /** Fetch the inventory. */
  void (*take_inventory) (void *client, uint64_t call, uint64_t epoch);
  /** Renew the lease, echoing \a token. */
  void (*renew) (void *client,
                 uint64_t call,
                 uint64_t epoch,
                 const char *token);
  /** Give the lease up. */
  void (*release) (void *client,
                   uint64_t call,
                   uint64_t epoch,
                   const char *token);
  /** The inventory is in: work may start. */
  void (*held) (void *client, uint64_t epoch);
  /** The lease is gone, or must be taken for gone. Called once for each
   * lease, also for one that never got as far as held. */
  void (*lost) (void *client, uint64_t epoch, enum ColtLeaseLoss loss);
  /** Given up for \a heir; tell it, so that it asks at once. */
  void (*handed_over) (void *client, uint64_t epoch, uint32_t heir);
};

/** The lease on one backend server. */
struct ColtServerLease;

/**
 * Creates a lease in COLT_LEASE_NONE.
 *
 * \param server    the backend server's number
 * \param instance  this instance's number
 * \param times     copied
 * \param table     must outlive the lease
 */
struct ColtServerLease *
colt_server_lease_create (uint32_t server,
                          uint32_t instance,
                          const struct ColtLeaseTimes *times,
                          const struct ColtLeaseClient *table,
                          void *client);

/** Destroys a lease without a call or callback; NULL is allowed. */
void colt_server_lease_destroy (struct ColtServerLease *lease);

/**
 * Tells which instances are live. The one that rendezvous hashing chooses
 * acquires the server. A holder that is no longer the choice keeps the server
 * for handover_ms and then releases it, once its open calls have ended.
 */
void colt_server_lease_set_members (struct ColtServerLease *lease,
                                    const uint32_t *members,
                                    size_t count,
                                    int64_t now);

/**
 * Stops for good: starts nothing more and releases when open calls have ended.
 *
 * \param heir  who is told, 0: nobody
 */
void colt_server_lease_stop (struct ColtServerLease *lease,
                             uint32_t heir,
                             int64_t now);

/** Another instance has given the server up: asks at once if it is ours. */
void colt_server_lease_hint (struct ColtServerLease *lease,
                             uint64_t epoch,
                             int64_t now);

/** Does what is due; to be called at colt_server_lease_wake_time(). */
void colt_server_lease_process (struct ColtServerLease *lease, int64_t now);

/** Returns when colt_server_lease_process() is next due. */
int64_t colt_server_lease_wake_time (const struct ColtServerLease *lease);

/** The answer to acquire: the lease is ours. */
void colt_server_lease_acquired (struct ColtServerLease *lease,
                                 uint64_t call,
                                 const char *token,
                                 int64_t now);

/** The answer to any call: fenced. */
void colt_server_lease_fenced (struct ColtServerLease *lease,
                               uint64_t call,
                               const struct ColtBackendFence *fence,
                               int64_t now);

/** The answer to a renewal or to a call of the client: it took effect. */
void colt_server_lease_renewed (struct ColtServerLease *lease,
                                uint64_t call,
                                const char *token,
                                int64_t now);

/** The inventory came and the client has taken it in. */
void colt_server_lease_inventory_done (struct ColtServerLease *lease,
                                       uint64_t call,
                                       const char *token,
                                       int64_t now);

/** The lease was given up, or was no longer ours. */
void colt_server_lease_released (struct ColtServerLease *lease,
                                 uint64_t call,
                                 int64_t now);

/** A call ended without an answer, or was refused for another reason. */
void colt_server_lease_failed (struct ColtServerLease *lease,
                               uint64_t call,
                               int64_t now);

/**
 * Opens a call of the client's own (changes, events) under the lease; it must
 * be ended by colt_server_lease_renewed(), _fenced() or _failed().
 *
 * \param echoes  whether the call carries colt_server_lease_token(), and so
 *                renews the lease
 * \return the call's number, 0 if colt_server_lease_may_start() is false
 */
uint64_t colt_server_lease_open_call (struct ColtServerLease *lease,
                                      bool echoes,
                                      int64_t now);

/** Returns whether work may be started and renewed at \a now. */
bool colt_server_lease_may_start (const struct ColtServerLease *lease,
                                  int64_t now);

/** Returns whether the lease runs at \a now, in whatever state; what runs on
 * the server may be renewed and stopped. */
bool colt_server_lease_runs (const struct ColtServerLease *lease, int64_t now);

/** Returns the state. */
enum ColtLeaseState
colt_server_lease_state (const struct ColtServerLease *lease);

/** Returns the epoch held, or the highest heard of if none is held. */
uint64_t colt_server_lease_epoch (const struct ColtServerLease *lease);

/** Returns the newest token, "" if there is none. */
const char *colt_server_lease_token (const struct ColtServerLease *lease);

/** Returns when the lease ends by this clock, 0 if none is held. */
int64_t colt_server_lease_end (const struct ColtServerLease *lease);

/** Returns the backend server's number. */
uint32_t colt_server_lease_server (const struct ColtServerLease *lease);

/** Returns the instance that holds the server as far as is known, 0: none. */
uint32_t colt_server_lease_holder (const struct ColtServerLease *lease);

#endif
