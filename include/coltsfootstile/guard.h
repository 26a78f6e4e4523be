/**
 * \file
 * \brief Switches for the safety guards, for test builds only.
 *
 * A guard is a check that a safety invariant depends on; it is applied if
 * colt_guard_on() returns true. An ordinary build always returns true, at no
 * cost. A build with COLT_GUARD_SWITCHES can switch off one guard, to show that
 * a test detects the missing check.
 */
#ifndef COLTSFOOTSTILE_GUARD_H
#define COLTSFOOTSTILE_GUARD_H

#include <stdbool.h>

/** The checks that safety invariants depend on. */
enum ColtGuard
{
  COLT_GUARD_SERVER_EPOCH,  /**< a lower server epoch is refused */
  COLT_GUARD_SHARD_PROMISE, /**< a lower shard epoch is refused */
  COLT_GUARD_DRIFT_MARGIN,  /**< waits include a margin for clock drift */
  /** An entitlement is the least amount in its offset window. */
  COLT_GUARD_LEAST_OVER_OFFSETS,
  COLT_GUARD_COMPLIANCE,    /**< an entitlement rises after all zones comply */
  COLT_GUARD_CREDIT_EPOCH,  /**< credit grants of an older epoch are refused */
  COLT_GUARD_FRESHNESS,     /**< keyed work needs a recent withdrawal list */
  COLT_GUARD_BUNDLE_PARENT, /**< a bundle must follow the version in force */
  COLT_GUARD_RENEWAL_TOKEN, /**< a renewed lease runs from its token's issue */
  COLT_GUARD_SESSION,       /**< starts need a current session */
  COLT_GUARD_CLAIM_TIME,    /**< leadership is confirmed from its claim */
  /** Runs may go on until leases of earlier leaders have ended. */
  COLT_GUARD_INHERITED_LEASES,
  /** Runs of a restarted server end by the report of its new incarnation. */
  COLT_GUARD_RESTART_REPORT,
  COLT_GUARD_LOST_ORDERS, /**< starts of lost runs aren't sent any more */
  COLT_GUARD_ADDRESS, /**< a link is kept while runs may be at its address */
  /** A server that was silent gets no lease before it has answered. */
  COLT_GUARD_SILENT_SERVER,
  /** A task under which servers crash again and again is given up. */
  COLT_GUARD_CRASH_LIMIT,
  /** An answer counts for the incarnation that gave it. */
  COLT_GUARD_INCARNATION,
  /** A loss of a server counts for runs that started before it was shown. */
  COLT_GUARD_EVIDENCE,
  /** Leases are renewed only while all instances follow the leader. */
  COLT_GUARD_FOLLOWERS,
  /** A leader relies on all instances that its record in the log lists. */
  COLT_GUARD_LISTED,
  /** Leases are sent on connections to the incarnation that they are for. */
  COLT_GUARD_CONNECTION,
  /** Nothing is started in an evacuated zone. */
  COLT_GUARD_EVACUATION,
  /** Starts need a recent read of the operator's topic. */
  COLT_GUARD_OPERATOR_AGE,
  COLT_GUARD_COUNT /**< number of guards, not a guard */
};

/** Names of enum ColtGuard, indexed by it. */
extern const char *const colt_guard_string[];

#ifdef COLT_GUARD_SWITCHES

/** Environment variable that names a guard to switch off. */
#define COLT_GUARD_VARIABLE "COLT_GUARD_OFF"

/**
 * Returns whether a guard is on. The first call reads COLT_GUARD_VARIABLE. A
 * name that is not a guard's ends the process with a message; otherwise a
 * mistyped name would look like a test that doesn't detect the missing guard.
 */
bool colt_guard_on (enum ColtGuard guard);

/** Switches a guard off until colt_guard_reset(). */
void colt_guard_switch_off (enum ColtGuard guard);

/** Switches on all guards, including the one that the environment names. */
void colt_guard_reset (void);

#else

/** Returns true: without COLT_GUARD_SWITCHES all guards are on. */
static inline bool
colt_guard_on (enum ColtGuard guard)
{
  (void)guard;
  return true;
}

#endif

#endif
