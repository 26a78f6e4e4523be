/**
 * \file
 * \brief Outcomes of requests, and the reason codes that explain them.
 */
#ifndef COLTSFOOTSTILE_REASON_H
#define COLTSFOOTSTILE_REASON_H

#include <stdbool.h>

/** How a request stands or ended. */
enum ColtOutcome
{
  COLT_OUTCOME_PENDING,   /**< not ended */
  COLT_OUTCOME_DONE,      /**< every task finished */
  COLT_OUTCOME_FAILED,    /**< it ran and did not succeed */
  COLT_OUTCOME_NOT_RUN,   /**< no task of it ever ran, nor ever will */
  COLT_OUTCOME_UNKNOWN,   /**< it may have run; it will not run again */
  COLT_OUTCOME_CANCELLED, /**< stopped on the caller's word */
  COLT_OUTCOME_COUNT      /**< number of outcomes, not an outcome */
};

/** Names of enum ColtOutcome, indexed by it. */
extern const char *const colt_outcome_string[];

/** Why a request ended as it did. */
enum ColtReason
{
  COLT_REASON_NONE,
  COLT_REASON_BAD_REQUEST,      /**< malformed or out of range */
  COLT_REASON_NO_KEY,           /**< the queue wants a key */
  COLT_REASON_BAD_KEY,          /**< unknown, withdrawn or another team's */
  COLT_REASON_STALE_KEYS,       /**< withdrawals can't be known here now */
  COLT_REASON_NO_BUNDLE,        /**< no bundle is in force here yet */
  COLT_REASON_NO_QUEUE,         /**< the bundle has no such queue */
  COLT_REASON_NEVER_FITS,       /**< larger than any backend server */
  COLT_REASON_OVER_LIMIT,       /**< larger than the team's upper limit */
  COLT_REASON_QUEUE_FULL,       /**< the queue's bound is reached */
  COLT_REASON_OVERLOADED,       /**< this instance's bound is reached */
  COLT_REASON_DEADLINE,         /**< the deadline can't be kept or has passed */
  COLT_REASON_CANCELLED,        /**< the caller cancelled */
  COLT_REASON_LOG_DOWN,         /**< work for later can't be made durable */
  COLT_REASON_NEEDS_MINTED_ID,  /**< non-idempotent work wants a minted id */
  COLT_REASON_EXPIRED_ID,       /**< the id is too old to be remembered */
  COLT_REASON_HISTORY_LOST,     /**< whether it ran is no longer known */
  COLT_REASON_HOME_UNREACHABLE, /**< its zone can't be asked */
  COLT_REASON_SERVER_LOST,      /**< the backend server was lost while it ran */
  COLT_REASON_TASK_FAILED,      /**< a task ended with an error */
  COLT_REASON_RETRIES_SPENT,    /**< attempts or the retry budget ran out */
  COLT_REASON_MISMATCH,         /**< the id was used for another request */
  COLT_REASON_STOPPING,         /**< this instance is shutting down */
  COLT_REASON_COUNT             /**< number of reasons, not a reason */
};

/** Names of enum ColtReason, indexed by it: the codes callers see. */
extern const char *const colt_reason_string[];

/** Explanations of enum ColtReason, one sentence each, indexed by it. */
extern const char *const colt_reason_text[];

/** Returns whether a retry later may succeed. */
bool colt_reason_is_transient (enum ColtReason reason);

#endif
