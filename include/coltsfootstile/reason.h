/**
 * \file
 * \brief Outcomes of requests, and the reason codes that explain them.
 */
#ifndef COLTSFOOTSTILE_REASON_H
#define COLTSFOOTSTILE_REASON_H

#include <stdbool.h>

/** Outcome of a request. */
enum ColtOutcome
{
  COLT_OUTCOME_PENDING,   /**< the request has not ended */
  COLT_OUTCOME_DONE,      /**< every task finished */
  COLT_OUTCOME_FAILED,    /**< the request ran without success */
  COLT_OUTCOME_NOT_RUN,   /**< no task of it ever ran or will run */
  COLT_OUTCOME_UNKNOWN,   /**< it may have run; it will not run again */
  COLT_OUTCOME_CANCELLED, /**< cancelled by the caller after a start */
  COLT_OUTCOME_COUNT      /**< number of outcomes, not an outcome */
};

/** Names of enum ColtOutcome, indexed by it. */
extern const char *const colt_outcome_string[];

/** Reason for the outcome of a request. */
enum ColtReason
{
  COLT_REASON_NONE,
  COLT_REASON_BAD_REQUEST,      /**< malformed or out of range */
  COLT_REASON_NO_KEY,           /**< the queue requires a key */
  COLT_REASON_BAD_KEY,          /**< unknown, withdrawn or of another team */
  COLT_REASON_STALE_KEYS,       /**< list of withdrawn keys may be outdated */
  COLT_REASON_NO_BUNDLE,        /**< no bundle is in force here yet */
  COLT_REASON_NO_QUEUE,         /**< the bundle has no such queue */
  COLT_REASON_NEVER_FITS,       /**< larger than every backend server */
  COLT_REASON_OVER_LIMIT,       /**< larger than the team's upper limit */
  COLT_REASON_QUEUE_FULL,       /**< the queue has reached its limit */
  COLT_REASON_OVERLOADED,       /**< this instance has reached a limit */
  COLT_REASON_DEADLINE,         /**< the deadline can't be kept or has passed */
  COLT_REASON_CANCELLED,        /**< cancelled by the caller */
  COLT_REASON_LOG_DOWN,         /**< the log can't store durable work now */
  COLT_REASON_NEEDS_MINTED_ID,  /**< non-idempotent work needs a minted id */
  COLT_REASON_EXPIRED_ID,       /**< older than the retention of requests */
  COLT_REASON_HISTORY_LOST,     /**< no complete record of whether it ran */
  COLT_REASON_HOME_UNREACHABLE, /**< the home zone can't be reached */
  COLT_REASON_SERVER_LOST,      /**< the backend server was lost while it ran */
  COLT_REASON_TASK_FAILED,      /**< a task ended with an error */
  COLT_REASON_RETRIES_SPENT,    /**< attempts or the retry budget ran out */
  COLT_REASON_MISMATCH,         /**< the id was used for another request */
  COLT_REASON_STOPPING,         /**< this instance is shutting down */
  COLT_REASON_COUNT             /**< number of reasons, not a reason */
};

/** Names of enum ColtReason, indexed by it: the codes in answers to callers. */
extern const char *const colt_reason_string[];

/** Explanations of enum ColtReason for callers, one sentence each, indexed by
 * it; empty for COLT_REASON_NONE. */
extern const char *const colt_reason_text[];

/** Returns whether a request refused for a reason may succeed later. */
bool colt_reason_is_transient (enum ColtReason reason);

#endif
