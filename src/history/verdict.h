/**
 * \file
 * \brief What a check has found: how often each promise was broken, and by
 * which operations.
 */
#ifndef COLT_HISTORY_VERDICT_H
#define COLT_HISTORY_VERDICT_H

#include "history.h"

/** The promises that are checked. */
enum ColtHistoryPromise
{
  COLT_HISTORY_OVERCOMMITTED,
  COLT_HISTORY_DOUBLED,
  COLT_HISTORY_LOST,
  COLT_HISTORY_WRONG_ANSWER,
  COLT_HISTORY_FALSE_NOT_RUN,
  COLT_HISTORY_OVER_LIMIT,
  COLT_HISTORY_LATE_KEY,
  COLT_HISTORY_LATE_LEAVING,
  COLT_HISTORY_CONTRADICTION,
  COLT_HISTORY_PROMISE_COUNT /**< number of promises, not a promise */
};

/** Names of enum ColtHistoryPromise, indexed by it. */
extern const char *const colt_history_promise_string[];

/** Most violations of one promise that are listed; all are counted. */
#define COLT_HISTORY_LISTED_MAX 20u
/** Most records that a violation names. */
#define COLT_HISTORY_SOURCES_MAX 16u

/** One violation. */
struct ColtHistoryViolation
{
  enum ColtHistoryPromise promise;
  int64_t t_us;     /**< 0: no single moment */
  uint32_t request; /**< text; 0: none */
  uint32_t server;  /**< 0: none */
  uint32_t team;    /**< text; 0: none */
  char *what;       /**< one sentence */
  struct ColtHistorySource sources[COLT_HISTORY_SOURCES_MAX];
  guint source_count;
};

/** What has been found. */
struct ColtHistoryVerdict
{
  uint64_t counts[COLT_HISTORY_PROMISE_COUNT];
  GPtrArray *listed;       /**< of struct ColtHistoryViolation, owned */
  uint64_t over_records;   /**< excesses that the servers recorded */
  uint64_t over_computed;  /**< starts and resizes above the capacity */
  uint64_t odd_ends;       /**< ends without a start */
  uint64_t unseen_resizes; /**< tasks that ended with another limit than the
                                records show */
};

/** Creates a verdict without violations. */
struct ColtHistoryVerdict *colt_history_verdict_create (void);

/** Destroys a verdict; NULL is allowed. */
void colt_history_verdict_destroy (struct ColtHistoryVerdict *verdict);

/** Returns whether no promise was broken. */
bool colt_history_verdict_good (const struct ColtHistoryVerdict *verdict);

/**
 * Counts a violation.
 *
 * \param format  of the sentence that says what was found
 * \return        the violation, to be completed; NULL if it isn't listed any
 *                more
 */
struct ColtHistoryViolation *
colt_history_verdict_add (struct ColtHistoryVerdict *verdict,
                          enum ColtHistoryPromise promise,
                          int64_t t_us,
                          const char *format,
                          ...) __attribute__ ((format (printf, 4, 5)));

/** Names a record that shows the violation, which may be NULL. */
void colt_history_violation_show (struct ColtHistoryViolation *violation,
                                  struct ColtHistorySource source);

#endif
