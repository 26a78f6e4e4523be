/**
 * \file
 * \brief The open calls of a lease.
 */
#ifndef COLTSFOOTSTILE_LEASE_CALLS_H
#define COLTSFOOTSTILE_LEASE_CALLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of calls. */
enum ColtLeaseCallKind
{
  COLT_LEASE_CALL_ACQUIRE,
  COLT_LEASE_CALL_INVENTORY,
  COLT_LEASE_CALL_RENEW,
  COLT_LEASE_CALL_RELEASE,
  COLT_LEASE_CALL_CLIENT,    /**< from colt_server_lease_open_call() */
  COLT_LEASE_CALL_KIND_COUNT /**< number of kinds, not a kind */
};

/** An open call. */
struct ColtLeaseCall
{
  uint64_t number;
  enum ColtLeaseCallKind kind;
  uint64_t epoch;
  bool echoes_token; /**< carries the lease's token */
  int64_t sent;      /**< when the call was sent */
  /** When the call whose answer brought the token was sent. */
  int64_t token_call_sent;
};

/** A set of open calls. */
struct ColtLeaseCalls;

/** Creates an empty set. */
struct ColtLeaseCalls *colt_lease_calls_create (void);

/** Destroys a set. */
void colt_lease_calls_destroy (struct ColtLeaseCalls *calls);

/** Adds a call, sets its number and returns the number. */
uint64_t colt_lease_calls_add (struct ColtLeaseCalls *calls,
                               struct ColtLeaseCall *call);

/** Removes a call and copies it to \a call; returns false if it isn't open. */
bool colt_lease_calls_remove (struct ColtLeaseCalls *calls,
                              uint64_t number,
                              struct ColtLeaseCall *call);

/** Counts the calls of a kind. */
size_t colt_lease_calls_count (const struct ColtLeaseCalls *calls,
                               enum ColtLeaseCallKind kind);

/** Counts the client's own calls that carry the lease's token. */
size_t colt_lease_calls_count_changes (const struct ColtLeaseCalls *calls);

/** Removes all calls; their results will be ignored. */
void colt_lease_calls_clear (struct ColtLeaseCalls *calls);

#endif
