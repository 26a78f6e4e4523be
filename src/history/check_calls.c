#include "check.h"

static void check_not_run_call_ (const struct ColtHistoryCheck *check,
                                 const struct ColtHistoryCall *call);
static bool find_withdrawal_ (const struct ColtHistoryCheck *check,
                              const struct ColtHistoryCall *call,
                              int64_t *withdrawn_us);
static void check_key_call_ (const struct ColtHistoryCheck *check,
                             const struct ColtHistoryCall *call);
static void check_ends_ (const struct ColtHistoryCheck *check,
                         const struct ColtHistoryCall *call);
static const struct ColtHistorySpan *
find_finished_span_ (const struct ColtHistoryCheck *check,
                     const struct ColtHistoryCall *call,
                     uint32_t index,
                     const struct ColtHistorySpan **last);
static bool is_final_ (enum ColtHistoryOutcome outcome);
static void compare_calls_ (const struct ColtHistoryCheck *check,
                            const struct ColtHistoryCall *first,
                            const struct ColtHistoryCall *second);
static bool same_answers_ (const struct ColtHistoryCheck *check,
                           const struct ColtHistoryCall *first,
                           const struct ColtHistoryCall *second);

void
colt_history_check_not_run (const struct ColtHistoryCheck *check)
{
  const GArray *calls = check->history->calls;
  guint i;

  for (i = 0; i < calls->len; i++)
    check_not_run_call_ (check,
                         &g_array_index (calls, struct ColtHistoryCall, i));
}

void
colt_history_check_keys (const struct ColtHistoryCheck *check)
{
  const GArray *calls = check->history->calls;
  guint i;

  if (check->history->run.keys->len == 0)
    return;
  for (i = 0; i < calls->len; i++)
    check_key_call_ (check, &g_array_index (calls, struct ColtHistoryCall, i));
}

void
colt_history_check_contradictions (const struct ColtHistoryCheck *check)
{
  const GArray *calls = check->history->calls;
  const struct ColtHistoryCall **first
      = g_new0 (const struct ColtHistoryCall *, check->history->texts->len);
  guint i;

  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);

      if (call->request == 0)
        continue;
      if (call->outcome == COLT_HISTORY_DONE)
        check_ends_ (check, call);
      if (!is_final_ (call->outcome))
        continue;
      if (first[call->request] == NULL)
        first[call->request] = call;
      else
        compare_calls_ (check, first[call->request], call);
    }
  g_free (first);
}

static void
check_not_run_call_ (const struct ColtHistoryCheck *check,
                     const struct ColtHistoryCall *call)
{
  const struct ColtHistoryRange range = check->spans->ranges[call->request];
  const struct ColtHistorySpan *span;
  struct ColtHistoryViolation *violation;

  if (call->outcome != COLT_HISTORY_NOT_RUN || call->request == 0
      || range.count == 0)
    return;
  span = colt_history_span (check->spans, range.first);
  violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_FALSE_NOT_RUN, span->start_us,
      "request %s was said not to have run, but %s-%u attempt %u started on "
      "server %u",
      colt_history_check_request_id (check, call->request),
      colt_history_check_request_id (check, call->request), span->index,
      span->attempt, span->server);
  colt_history_check_attach_call (violation, call);
  colt_history_check_attach_span (violation, span);
}

/* Finds the earliest withdrawal of the caller's key. */
static bool
find_withdrawal_ (const struct ColtHistoryCheck *check,
                  const struct ColtHistoryCall *call,
                  int64_t *withdrawn_us)
{
  const GArray *keys = check->history->run.keys;
  guint i;

  *withdrawn_us = COLT_TIME_NEVER;
  for (i = 0; i < keys->len; i++)
    {
      const struct ColtHistoryKey *key
          = &g_array_index (keys, struct ColtHistoryKey, i);

      if (key->team == call->team
          && (key->class == 0 || key->class == call->class))
        *withdrawn_us = MIN (*withdrawn_us, key->t_us);
    }
  return *withdrawn_us != COLT_TIME_NEVER;
}

static void
check_key_call_ (const struct ColtHistoryCheck *check,
                 const struct ColtHistoryCall *call)
{
  const struct ColtHistoryRange range = check->spans->ranges[call->request];
  struct ColtHistoryViolation *violation;
  int64_t withdrawn_us;
  bool accepted = call->outcome == COLT_HISTORY_DONE
                  || call->outcome == COLT_HISTORY_ACCEPTED;

  if (call->team == 0 || !find_withdrawal_ (check, call, &withdrawn_us)
      || call->sent_us <= withdrawn_us + COLT_HISTORY_GRACE_US)
    return;
  if (!accepted && (call->request == 0 || range.count == 0))
    return;
  violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_LATE_KEY, call->sent_us,
      "request %s of team %s was accepted %" G_GINT64_FORMAT
      " ms after the withdrawal of its key",
      colt_history_check_request_id (check, call->request),
      colt_history_text (check->history, call->team),
      (call->sent_us - withdrawn_us) / COLT_US_PER_MS);
  colt_history_check_attach_call (violation, call);
  if (call->request != 0 && range.count > 0)
    colt_history_check_attach_span (
        violation, colt_history_span (check->spans, range.first));
}

/* Checks that each recorded task of a request answered as done has finished. */
static void
check_ends_ (const struct ColtHistoryCheck *check,
             const struct ColtHistoryCall *call)
{
  struct ColtHistoryViolation *violation;
  uint32_t index;

  for (index = 0; index < call->tasks; index++)
    {
      const struct ColtHistorySpan *last;

      if (find_finished_span_ (check, call, index, &last) != NULL
          || last == NULL)
        continue;
      violation = colt_history_verdict_add (
          check->verdict, COLT_HISTORY_CONTRADICTION, call->answered_us,
          "request %s was answered done, but the last attempt %u of task %u on "
          "server %u is on record as %s",
          colt_history_check_request_id (check, call->request), last->attempt,
          index, last->server, colt_task_state_string[last->state]);
      colt_history_check_attach_call (violation, call);
      colt_history_check_attach_span (violation, last);
      return;
    }
}

/* Returns the first finished span of a task. If there is none, returns NULL and
 * sets LAST to the task's last span, or to NULL if it has none. */
static const struct ColtHistorySpan *
find_finished_span_ (const struct ColtHistoryCheck *check,
                     const struct ColtHistoryCall *call,
                     uint32_t index,
                     const struct ColtHistorySpan **last)
{
  const struct ColtHistoryRange range = check->spans->ranges[call->request];
  guint i;

  *last = NULL;
  for (i = range.first; i < range.first + range.count; i++)
    {
      const struct ColtHistorySpan *span = colt_history_span (check->spans, i);

      if (span->index != index)
        continue;
      *last = span;
      if (span->state == COLT_TASK_FINISHED)
        return span;
    }
  return NULL;
}

/* Returns whether no other outcome may follow. */
static bool
is_final_ (enum ColtHistoryOutcome outcome)
{
  return outcome == COLT_HISTORY_DONE || outcome == COLT_HISTORY_FAILED
         || outcome == COLT_HISTORY_NOT_RUN
         || outcome == COLT_HISTORY_CANCELLED;
}

static void
compare_calls_ (const struct ColtHistoryCheck *check,
                const struct ColtHistoryCall *first,
                const struct ColtHistoryCall *second)
{
  struct ColtHistoryViolation *violation;

  if (first->outcome == second->outcome && same_answers_ (check, first, second))
    return;
  violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_CONTRADICTION, second->answered_us,
      "request %s was answered twice, and differently: %s, then %s",
      colt_history_check_request_id (check, first->request),
      colt_history_outcome_string[first->outcome],
      colt_history_outcome_string[second->outcome]);
  colt_history_check_attach_call (violation, first);
  colt_history_check_attach_call (violation, second);
}

static bool
same_answers_ (const struct ColtHistoryCheck *check,
               const struct ColtHistoryCall *first,
               const struct ColtHistoryCall *second)
{
  const GArray *answers = check->history->answers;
  guint i;

  if (first->answer_count != second->answer_count)
    return false;
  for (i = 0; i < first->answer_count; i++)
    {
      const struct ColtHistoryAnswer *left = &g_array_index (
          answers, struct ColtHistoryAnswer, first->first_answer + i);
      const struct ColtHistoryAnswer *right = &g_array_index (
          answers, struct ColtHistoryAnswer, second->first_answer + i);

      if (left->present != right->present || left->checksum != right->checksum)
        return false;
    }
  return true;
}
