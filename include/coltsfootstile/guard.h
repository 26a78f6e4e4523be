/**
 * \file
 * \brief Switches for the safety guards, for test builds only.
 *
 * A check that a safety argument rests on asks colt_guard_on() first. In an
 * ordinary build the answer is always yes and costs nothing. A build with
 * COLT_GUARD_SWITCHES can switch one guard off, to show that a test notices.
 */
#ifndef COLTSFOOTSTILE_GUARD_H
#define COLTSFOOTSTILE_GUARD_H

#include <stdbool.h>

/** The guards of the safety arguments. */
enum ColtGuard
{
  COLT_GUARD_SERVER_EPOCH,       /**< a lower server epoch is refused */
  COLT_GUARD_SHARD_PROMISE,      /**< a lower shard epoch is refused */
  COLT_GUARD_DRIFT_MARGIN,       /**< waits allow for clocks that drift */
  COLT_GUARD_LEAST_OVER_OFFSETS, /**< the least entitlement is used */
  COLT_GUARD_COMPLIANCE,         /**< a raise waits until all zones comply */
  COLT_GUARD_CREDIT_EPOCH,       /**< credits of an older epoch are refused */
  COLT_GUARD_FRESHNESS,          /**< keyed work needs fresh withdrawals */
  COLT_GUARD_BUNDLE_PARENT,      /**< a version must follow the one in force */
  COLT_GUARD_RENEWAL_TOKEN,      /**< a lease runs from its token's issue */
  COLT_GUARD_SESSION,            /**< starts outside a session are refused */
  COLT_GUARD_COUNT               /**< number of guards, not a guard */
};

/** Names of enum ColtGuard, indexed by it. */
extern const char *const colt_guard_string[];

#ifdef COLT_GUARD_SWITCHES

/** Environment variable with the name of a guard to switch off. */
#define COLT_GUARD_VARIABLE "COLT_GUARD_OFF"

/**
 * Returns whether a guard is on. The first call reads COLT_GUARD_VARIABLE;
 * a name that is no guard ends the process with a message, so that a mistyped
 * one can't pass for a test that noticed nothing.
 */
bool colt_guard_on (enum ColtGuard guard);

/** Switches a guard off until colt_guard_reset(). */
void colt_guard_switch_off (enum ColtGuard guard);

/** Switches all guards on, the environment's one included. */
void colt_guard_reset (void);

#else

/** Returns whether a guard is on: always. */
static inline bool
colt_guard_on (enum ColtGuard guard)
{
  (void)guard;
  return true;
}

#endif

#endif
