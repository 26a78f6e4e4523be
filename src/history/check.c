#include "check.h"

typedef void (*ColtInvariantCheck) (const struct ColtHistoryCheck *check);

static const ColtInvariantCheck checks[COLT_HISTORY_INVARIANT_COUNT]
    = { [COLT_HISTORY_OVERCOMMITTED] = colt_history_check_capacity,
        [COLT_HISTORY_DOUBLED] = colt_history_check_double_runs,
        [COLT_HISTORY_LOST] = colt_history_check_lost_work,
        [COLT_HISTORY_WRONG_ANSWER] = colt_history_check_answers,
        [COLT_HISTORY_FALSE_NOT_RUN] = colt_history_check_not_run,
        [COLT_HISTORY_OVER_LIMIT] = colt_history_check_limits,
        [COLT_HISTORY_LATE_KEY] = colt_history_check_keys,
        [COLT_HISTORY_LATE_LEAVING] = colt_history_check_leaving,
        [COLT_HISTORY_CONTRADICTION] = colt_history_check_contradictions };

struct ColtHistoryVerdict *
colt_history_check (const struct ColtHistory *history,
                    const struct ColtHistorySpans *spans)
{
  struct ColtHistoryVerdict *verdict = colt_history_verdict_create ();
  const struct ColtHistoryCheck check = { history, spans, verdict };
  int invariant;

  for (invariant = 0; invariant < COLT_HISTORY_INVARIANT_COUNT; invariant++)
    checks[invariant](&check);
  verdict->odd_ends = spans->odd_ends;
  verdict->unseen_resizes = spans->unseen_resizes;
  return verdict;
}

const char *
colt_history_check_request_id (const struct ColtHistoryCheck *check,
                               uint32_t request)
{
  return colt_history_text (check->history, request);
}

void
colt_history_check_attach_call (struct ColtHistoryViolation *violation,
                                const struct ColtHistoryCall *call)
{
  if (violation == NULL)
    return;
  violation->request = call->request;
  violation->team = call->team;
  colt_history_violation_add_source (violation, call->source);
}

void
colt_history_check_attach_span (struct ColtHistoryViolation *violation,
                                const struct ColtHistorySpan *span)
{
  if (violation == NULL)
    return;
  violation->request = span->request;
  violation->team = span->team;
  violation->server = span->server;
  colt_history_violation_add_source (violation, span->start);
  colt_history_violation_add_source (violation, span->end);
}
