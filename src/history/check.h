/**
 * \file
 * \brief The promises, each decided by itself from the records alone.
 */
#ifndef COLT_HISTORY_CHECK_H
#define COLT_HISTORY_CHECK_H

#include "spans.h"
#include "verdict.h"

/** How long a withdrawal, a leave or a lower limit may take to act. */
#define COLT_HISTORY_GRACE_US INT64_C (3000000)

/** Part of a resource's capacity in use from which a fleet counts as full. */
#define COLT_HISTORY_FULL_PART 0.9

/** A history under check. */
struct ColtHistoryCheck
{
  const struct ColtHistory *history;
  const struct ColtHistorySpans *spans;
  struct ColtHistoryVerdict *verdict;
};

/** Checks every promise. */
struct ColtHistoryVerdict *
colt_history_check (const struct ColtHistory *history,
                    const struct ColtHistorySpans *spans);

/** At no moment do the limits on a server exceed its capacity. */
void colt_history_check_capacity (const struct ColtHistoryCheck *check);

/** No task runs in two places; non-idempotent ones start at most once. */
void colt_history_check_doubled (const struct ColtHistoryCheck *check);

/** Nothing that was accepted is lost. */
void colt_history_check_lost (const struct ColtHistoryCheck *check);

/** Each answer is whole and that of its request. */
void colt_history_check_answers (const struct ColtHistoryCheck *check);

/** Nothing that is said not to have run has started. */
void colt_history_check_not_run (const struct ColtHistoryCheck *check);

/** No team starts work above its upper limit in force. */
void colt_history_check_limits (const struct ColtHistoryCheck *check);

/** A withdrawn key starts nothing. */
void colt_history_check_keys (const struct ColtHistoryCheck *check);

/** A leaving server starts nothing. */
void colt_history_check_leaving (const struct ColtHistoryCheck *check);

/** Answers agree with the records and with each other. */
void colt_history_check_contradictions (const struct ColtHistoryCheck *check);

/** Returns a request's text. */
const char *colt_history_check_name (const struct ColtHistoryCheck *check,
                                     uint32_t request);

/** Completes a violation, which may be NULL, by a caller's record. */
void colt_history_check_show_call (struct ColtHistoryViolation *violation,
                                   const struct ColtHistoryCall *call);

/** Completes a violation, which may be NULL, by a span and its records. */
void colt_history_check_show_span (struct ColtHistoryViolation *violation,
                                   const struct ColtHistorySpan *span);

#endif
