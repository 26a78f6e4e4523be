/**
 * \file
 * \brief Checks of the scheduler's invariants, each made from the records
 * alone.
 */
#ifndef COLT_HISTORY_CHECK_H
#define COLT_HISTORY_CHECK_H

#include "spans.h"
#include "verdict.h"

/** Time after which a key withdrawal, the leaving of a server or a lower limit
 * must be effective, in microseconds. */
#define COLT_HISTORY_GRACE_US INT64_C (3000000)

/** Reserved fraction of a resource's capacity or limit, 0 to 1, from which the
 * resource counts as full. */
#define COLT_HISTORY_FULL_FRACTION 0.9

/** A history and the verdict to which checks add their findings. */
struct ColtHistoryCheck
{
  const struct ColtHistory *history;
  const struct ColtHistorySpans *spans;
  struct ColtHistoryVerdict *verdict;
};

/** Checks all invariants. The caller frees the verdict with
 * colt_history_verdict_destroy(). */
struct ColtHistoryVerdict *
colt_history_check (const struct ColtHistory *history,
                    const struct ColtHistorySpans *spans);

/** Checks that the limits of the tasks on a server never exceed its
 * capacity. */
void colt_history_check_capacity (const struct ColtHistoryCheck *check);

/** Checks that no task runs twice concurrently and that tasks that aren't
 * idempotent start at most once. */
void colt_history_check_double_runs (const struct ColtHistoryCheck *check);

/** Checks that accepted work starts and is answered in time. */
void colt_history_check_lost_work (const struct ColtHistoryCheck *check);

/** Checks that each answer is complete and belongs to its request. */
void colt_history_check_answers (const struct ColtHistoryCheck *check);

/** Checks that no request answered as not run has started. */
void colt_history_check_not_run (const struct ColtHistoryCheck *check);

/** Checks that no team starts work above its upper limits in force. */
void colt_history_check_limits (const struct ColtHistoryCheck *check);

/** Checks that no work is accepted or started with a withdrawn key. */
void colt_history_check_keys (const struct ColtHistoryCheck *check);

/** Checks that no task starts on a leaving server. */
void colt_history_check_leaving (const struct ColtHistoryCheck *check);

/** Checks that answers agree with the records and with each other. */
void colt_history_check_contradictions (const struct ColtHistoryCheck *check);

/** Returns the id of a request, given its text id; owned by the history. */
const char *colt_history_check_request_id (const struct ColtHistoryCheck *check,
                                           uint32_t request);

/** Adds a caller's record, its request and its team to a violation, which may
 * be NULL. */
void colt_history_check_attach_call (struct ColtHistoryViolation *violation,
                                     const struct ColtHistoryCall *call);

/** Adds the records of a span, its request, team and server to a violation,
 * which may be NULL. */
void colt_history_check_attach_span (struct ColtHistoryViolation *violation,
                                     const struct ColtHistorySpan *span);

#endif
