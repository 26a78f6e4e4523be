#include <string.h>

#include "check.h"
#include "coltsfootstile/reason.h"
#include "team_limits.h"
#include "timeline.h"

/* Calls after which a caller gives up. */
#define CALLS_MAX 20
/* Callers that stop with the load do so within this time. */
#define LOAD_STOP_US COLT_US_PER_S

/* Requests of one class of the load. */
struct ColtClassView
{
  int64_t last_sent_us;  /* latest submission that has started */
  int64_t last_start_us; /* latest first start */
};

struct ColtLostCheck
{
  const struct ColtHistoryCheck *check;
  struct ColtClassView *classes; /* by the number of the class's text */
  int64_t *busy_us; /* by place of a team: last time at its upper limit */
  int64_t full_us;  /* last time that the fleet was full */
  int64_t last_us;  /* latest answer of any caller */
};

static void look_at_classes_ (struct ColtLostCheck *lost);
static void look_at_fleet_ (void *client,
                            int64_t from_us,
                            int64_t to_us,
                            const struct ColtTimelineState *state);
static void check_call_ (const struct ColtLostCheck *lost,
                         const struct ColtHistoryCall *call);
static void check_done_ (const struct ColtLostCheck *lost,
                         const struct ColtHistoryCall *call);
static const char *check_open_ (const struct ColtLostCheck *lost,
                                const struct ColtHistoryCall *call);
static bool given_up_ (const struct ColtLostCheck *lost,
                       const struct ColtHistoryCall *call);
static bool forgotten_ (const struct ColtLostCheck *lost,
                        const struct ColtHistoryCall *call);
static int64_t last_end_ (const struct ColtHistoryCheck *check,
                          const struct ColtHistoryCall *call,
                          uint32_t *started);
static bool may_wait_ (const struct ColtLostCheck *lost,
                       const struct ColtHistoryCall *call);
static bool team_at_limit_ (const struct ColtLostCheck *lost,
                            const struct ColtHistoryCall *call,
                            int64_t since_us);
static void report_ (const struct ColtLostCheck *lost,
                     const struct ColtHistoryCall *call,
                     const char *what);

void
colt_history_check_lost (const struct ColtHistoryCheck *check)
{
  const GArray *calls = check->history->calls;
  struct ColtLostCheck lost = { .check = check };
  guint i;

  lost.classes = g_new0 (struct ColtClassView, check->history->texts->len);
  lost.busy_us = g_new0 (int64_t, check->history->run.teams->len + 1);
  look_at_classes_ (&lost);
  colt_timeline_walk (check->history, check->spans, look_at_fleet_, &lost);
  for (i = 0; i < calls->len; i++)
    check_call_ (&lost, &g_array_index (calls, struct ColtHistoryCall, i));
  g_free (lost.classes);
  g_free (lost.busy_us);
}

static void
look_at_classes_ (struct ColtLostCheck *lost)
{
  const GArray *calls = lost->check->history->calls;
  guint i;

  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);
      struct ColtClassView *class = &lost->classes[call->class];
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
look_at_fleet_ (void *client,
                int64_t from_us,
                int64_t to_us,
                const struct ColtTimelineState *state)
{
  struct ColtLostCheck *lost = client;
  const struct ColtHistory *history = lost->check->history;
  enum ColtResource resource;
  guint i;

  (void)from_us;
  if (colt_timeline_full (state, &resource))
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
      if (colt_history_limits_near (limit, &state->teams[k].reserved))
        lost->busy_us[k] = to_us;
    }
}

static void
check_call_ (const struct ColtLostCheck *lost,
             const struct ColtHistoryCall *call)
{
  const char *what = NULL;

  if (call->outcome == COLT_HISTORY_DONE)
    check_done_ (lost, call);
  else if (call->outcome == COLT_HISTORY_ACCEPTED
           || call->outcome == COLT_HISTORY_NO_ANSWER)
    what = check_open_ (lost, call);
  else if (forgotten_ (lost, call))
    what = "was accepted for later and forgotten";
  if (what != NULL)
    report_ (lost, call, what);
}

static void
check_done_ (const struct ColtLostCheck *lost,
             const struct ColtHistoryCall *call)
{
  uint32_t started = 0;

  if (call->request == 0)
    return;
  last_end_ (lost->check, call, &started);
  if (started < call->tasks)
    report_ (lost, call, "was answered done, but not all tasks ever started");
}

/* Returns what is wrong with a request that has no answer, or NULL. */
static const char *
check_open_ (const struct ColtLostCheck *lost,
             const struct ColtHistoryCall *call)
{
  int64_t patience_us = lost->check->history->run.patience_us;
  int64_t deadline_us
      = call->sent_us + call->deadline_ms * COLT_US_PER_MS + patience_us;
  int64_t end_us = 0;
  uint32_t started = 0;

  if (given_up_ (lost, call))
    return "got no answer and was given up";
  if (call->request != 0)
    end_us = last_end_ (lost->check, call, &started);
  if (started > 0 && end_us > call->answered_us - patience_us)
    return NULL;
  if (call->answered_us - call->sent_us < patience_us)
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

/* Whether its caller stopped asking before the load stopped. */
static bool
given_up_ (const struct ColtLostCheck *lost, const struct ColtHistoryCall *call)
{
  return call->outcome == COLT_HISTORY_NO_ANSWER
         && (call->calls >= CALLS_MAX
             || call->answered_us + LOAD_STOP_US < lost->last_us);
}

/* Work accepted for later may only end unrun by its deadline or on the caller's
 * word. */
static bool
forgotten_ (const struct ColtLostCheck *lost,
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

/* Returns the latest end of its tasks, and how many of them have started. */
static int64_t
last_end_ (const struct ColtHistoryCheck *check,
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

/* Work may wait while its class moves on in order, or while there is no room
 * for it. */
static bool
may_wait_ (const struct ColtLostCheck *lost, const struct ColtHistoryCall *call)
{
  const struct ColtClassView *class = &lost->classes[call->class];
  int64_t patience_us = lost->check->history->run.patience_us;
  int64_t since_us = call->answered_us - patience_us;

  if (class->last_sent_us > call->sent_us + patience_us)
    return false;
  return class->last_start_us >= since_us || lost->full_us >= since_us
         || team_at_limit_ (lost, call, since_us);
}

static bool
team_at_limit_ (const struct ColtLostCheck *lost,
                const struct ColtHistoryCall *call,
                int64_t since_us)
{
  const GArray *teams = lost->check->history->run.teams;
  guint i;

  for (i = 0; i < teams->len; i++)
    if (g_array_index (teams, struct ColtHistoryTeam, i).name == call->team)
      return lost->busy_us[i] >= since_us;
  return false;
}

static void
report_ (const struct ColtLostCheck *lost,
         const struct ColtHistoryCall *call,
         const char *what)
{
  colt_history_check_show_call (
      colt_history_verdict_add (
          lost->check->verdict, COLT_HISTORY_LOST, call->sent_us,
          "request %s of class %s %s",
          call->request != 0
              ? colt_history_check_name (lost->check, call->request)
              : "without an id",
          colt_history_text (lost->check->history, call->class), what),
      call);
}
