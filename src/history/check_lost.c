#include <string.h>

#include "check.h"
#include "coltsfootstile/reason.h"
#include "team_limits.h"
#include "timeline.h"

/* Number of calls after which a caller gives up. */
#define CALLS_MAX 20
/* Time within which callers stop at the end of the load. */
#define LOAD_STOP_US COLT_US_PER_S

/* Progress of the requests of one load class. */
struct ColtClassProgress
{
  int64_t last_sent_us;  /* latest submission of a started request */
  int64_t last_start_us; /* latest first start of a request */
};

struct ColtLostCheck
{
  const struct ColtHistoryCheck *check;
  struct ColtClassProgress *classes; /* by text id of the class */
  int64_t *at_limit_us; /* by position of the team: last time near a limit */
  int64_t full_us;      /* last time at which the fleet was full */
  int64_t last_us; /* latest time at which a caller got an answer or gave up */
};

static void collect_class_progress_ (struct ColtLostCheck *lost);
static void update_saturation_ (void *client,
                                int64_t from_us,
                                int64_t to_us,
                                const struct ColtTimelineState *state);
static void check_call_ (const struct ColtLostCheck *lost,
                         const struct ColtHistoryCall *call);
static void check_done_ (const struct ColtLostCheck *lost,
                         const struct ColtHistoryCall *call);
static const char *check_unanswered_ (const struct ColtLostCheck *lost,
                                      const struct ColtHistoryCall *call);
static bool was_abandoned_ (const struct ColtLostCheck *lost,
                            const struct ColtHistoryCall *call);
static bool was_dropped_ (const struct ColtLostCheck *lost,
                          const struct ColtHistoryCall *call);
static int64_t find_last_end_ (const struct ColtHistoryCheck *check,
                               const struct ColtHistoryCall *call,
                               uint32_t *started);
static bool may_wait_ (const struct ColtLostCheck *lost,
                       const struct ColtHistoryCall *call);
static bool is_team_at_limit_ (const struct ColtLostCheck *lost,
                               const struct ColtHistoryCall *call,
                               int64_t since_us);
static void report_call_ (const struct ColtLostCheck *lost,
                          const struct ColtHistoryCall *call,
                          const char *finding);

void
colt_history_check_lost_work (const struct ColtHistoryCheck *check)
{
  const GArray *calls = check->history->calls;
  struct ColtLostCheck lost = { .check = check };
  guint i;

  lost.classes = g_new0 (struct ColtClassProgress, check->history->texts->len);
  lost.at_limit_us = g_new0 (int64_t, check->history->run.teams->len + 1);
  collect_class_progress_ (&lost);
  colt_timeline_walk (check->history, check->spans, update_saturation_, &lost);
  for (i = 0; i < calls->len; i++)
    check_call_ (&lost, &g_array_index (calls, struct ColtHistoryCall, i));
  g_free (lost.classes);
  g_free (lost.at_limit_us);
}

static void
collect_class_progress_ (struct ColtLostCheck *lost)
{
  const GArray *calls = lost->check->history->calls;
  guint i;

  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);
      struct ColtClassProgress *class = &lost->classes[call->class];
      int64_t start_us = COLT_TIME_NEVER;

      lost->last_us = MAX (lost->last_us, call->answered_us);
      if (call->request != 0)
        start_us = colt_history_first_start (lost->check->spans, call->request);
      if (start_us == COLT_TIME_NEVER)
        continue;
      class->last_sent_us = MAX (class->last_sent_us, call->sent_us);
      class->last_start_us = MAX (class->last_start_us, start_us);
    }
}

static void
update_saturation_ (void *client,
                    int64_t from_us,
                    int64_t to_us,
                    const struct ColtTimelineState *state)
{
  struct ColtLostCheck *lost = client;
  const struct ColtHistory *history = lost->check->history;
  enum ColtResource resource;
  guint i;

  (void)from_us;
  if (colt_timeline_is_full (state, &resource))
    lost->full_us = to_us;
  for (i = 0; i < history->run.limits->len; i++)
    {
      const struct ColtHistoryLimit *limit
          = &g_array_index (history->run.limits, struct ColtHistoryLimit, i);
      guint k = 0;

      while (
          k < state->team_count
          && g_array_index (history->run.teams, struct ColtHistoryTeam, k).name
                 != limit->team)
        k++;
      if (colt_history_is_near_limit (limit, &state->teams[k].reserved))
        lost->at_limit_us[k] = to_us;
    }
}

static void
check_call_ (const struct ColtLostCheck *lost,
             const struct ColtHistoryCall *call)
{
  const char *finding = NULL;

  if (call->outcome == COLT_HISTORY_DONE)
    check_done_ (lost, call);
  else if (call->outcome == COLT_HISTORY_ACCEPTED
           || call->outcome == COLT_HISTORY_NO_ANSWER)
    finding = check_unanswered_ (lost, call);
  else if (was_dropped_ (lost, call))
    finding = "was accepted for later and dropped";
  if (finding != NULL)
    report_call_ (lost, call, finding);
}

static void
check_done_ (const struct ColtLostCheck *lost,
             const struct ColtHistoryCall *call)
{
  uint32_t started = 0;

  if (call->request == 0)
    return;
  find_last_end_ (lost->check, call, &started);
  if (started < call->tasks)
    report_call_ (lost, call,
                  "was answered done, but not all tasks ever started");
}

/* Returns the fault of a request without an answer, or NULL if it has none. */
static const char *
check_unanswered_ (const struct ColtLostCheck *lost,
                   const struct ColtHistoryCall *call)
{
  int64_t wait_timeout_us = lost->check->history->run.wait_timeout_us;
  int64_t deadline_us
      = call->sent_us + call->deadline_ms * COLT_US_PER_MS + wait_timeout_us;
  int64_t end_us = 0;
  uint32_t started = 0;

  if (was_abandoned_ (lost, call))
    return "got no answer and was abandoned";
  if (call->request != 0)
    end_us = find_last_end_ (lost->check, call, &started);
  if (started > 0 && end_us > call->answered_us - wait_timeout_us)
    return NULL;
  if (call->answered_us - call->sent_us < wait_timeout_us)
    return NULL;
  if (started >= call->tasks)
    return "has ended, and its answer never came";
  if (call->deadline_ms > 0 && deadline_us < call->answered_us)
    return "neither ran nor was refused by its deadline";
  if (may_wait_ (lost, call))
    return NULL;
  return started > 0 ? "stopped before all of its tasks had started"
                     : "never started";
}

/* Returns whether the caller gave up before the end of the load. */
static bool
was_abandoned_ (const struct ColtLostCheck *lost,
                const struct ColtHistoryCall *call)
{
  return call->outcome == COLT_HISTORY_NO_ANSWER
         && (call->calls >= CALLS_MAX
             || call->answered_us + LOAD_STOP_US < lost->last_us);
}

/* Returns whether work that was accepted for later ended without a start, for
 * another reason than its deadline or a cancellation by the caller. */
static bool
was_dropped_ (const struct ColtLostCheck *lost,
              const struct ColtHistoryCall *call)
{
  static const enum ColtReason allowed[]
      = { COLT_REASON_DEADLINE, COLT_REASON_CANCELLED };
  const char *reason = colt_history_text (lost->check->history, call->reason);
  size_t i;

  if (call->wait || call->accepted_us == 0 || call->request == 0
      || lost->check->spans->ranges[call->request].count > 0)
    return false;
  if (call->outcome != COLT_HISTORY_NOT_RUN
      && call->outcome != COLT_HISTORY_UNKNOWN)
    return false;
  for (i = 0; i < G_N_ELEMENTS (allowed); i++)
    if (strcmp (reason, colt_reason_string[allowed[i]]) == 0)
      return false;
  return true;
}

/* Returns the latest end of a request's tasks and counts those that have
 * started. */
static int64_t
find_last_end_ (const struct ColtHistoryCheck *check,
                const struct ColtHistoryCall *call,
                uint32_t *started)
{
  const struct ColtHistoryRange range = check->spans->ranges[call->request];
  uint32_t next = 0;
  int64_t end_us = 0;
  guint i;

  *started = 0;
  for (i = range.first; i < range.first + range.count; i++)
    {
      const struct ColtHistorySpan *span = colt_history_span (check->spans, i);

      end_us = MAX (end_us, span->end_us);
      if (span->index < next)
        continue;
      next = span->index + 1;
      (*started)++;
    }
  return end_us;
}

/* Returns whether a request may still wait: while its class makes progress, or
 * while there is no room for it because the fleet is full or its team is at a
 * limit. It may not wait if its class has started a request that was sent more
 * than the wait timeout later. */
static bool
may_wait_ (const struct ColtLostCheck *lost, const struct ColtHistoryCall *call)
{
  const struct ColtClassProgress *class = &lost->classes[call->class];
  int64_t wait_timeout_us = lost->check->history->run.wait_timeout_us;
  int64_t since_us = call->answered_us - wait_timeout_us;

  if (class->last_sent_us > call->sent_us + wait_timeout_us)
    return false;
  return class->last_start_us >= since_us || lost->full_us >= since_us
         || is_team_at_limit_ (lost, call, since_us);
}

static bool
is_team_at_limit_ (const struct ColtLostCheck *lost,
                   const struct ColtHistoryCall *call,
                   int64_t since_us)
{
  const GArray *teams = lost->check->history->run.teams;
  guint i;

  for (i = 0; i < teams->len; i++)
    if (g_array_index (teams, struct ColtHistoryTeam, i).name == call->team)
      return lost->at_limit_us[i] >= since_us;
  return false;
}

static void
report_call_ (const struct ColtLostCheck *lost,
              const struct ColtHistoryCall *call,
              const char *finding)
{
  colt_history_check_attach_call (
      colt_history_verdict_add (
          lost->check->verdict, COLT_HISTORY_LOST, call->sent_us,
          "request %s of class %s %s",
          call->request != 0
              ? colt_history_check_request_id (lost->check, call->request)
              : "without an id",
          colt_history_text (lost->check->history, call->class), finding),
      call);
}
