#include "verdict.h"

const char *const colt_history_promise_string[]
    = { "overcommitted", "doubled",       "lost",
        "wrong_answer",  "false_not_run", "over_limit",
        "late_key",      "late_leaving",  "contradictions" };

static void free_violation_ (gpointer data);

struct ColtHistoryVerdict *
colt_history_verdict_create (void)
{
  struct ColtHistoryVerdict *verdict = g_new0 (struct ColtHistoryVerdict, 1);

  verdict->listed = g_ptr_array_new_with_free_func (free_violation_);
  return verdict;
}

void
colt_history_verdict_destroy (struct ColtHistoryVerdict *verdict)
{
  if (verdict == NULL)
    return;
  g_ptr_array_unref (verdict->listed);
  g_free (verdict);
}

bool
colt_history_verdict_good (const struct ColtHistoryVerdict *verdict)
{
  int promise;

  for (promise = 0; promise < COLT_HISTORY_PROMISE_COUNT; promise++)
    if (verdict->counts[promise] > 0)
      return false;
  return true;
}

struct ColtHistoryViolation *
colt_history_verdict_add (struct ColtHistoryVerdict *verdict,
                          enum ColtHistoryPromise promise,
                          int64_t t_us,
                          const char *format,
                          ...)
{
  struct ColtHistoryViolation *violation;
  va_list values;

  if (verdict->counts[promise]++ >= COLT_HISTORY_LISTED_MAX)
    return NULL;
  violation = g_new0 (struct ColtHistoryViolation, 1);
  violation->promise = promise;
  violation->t_us = t_us;
  va_start (values, format);
  violation->what = g_strdup_vprintf (format, values);
  va_end (values);
  g_ptr_array_add (verdict->listed, violation);
  return violation;
}

void
colt_history_violation_show (struct ColtHistoryViolation *violation,
                             struct ColtHistorySource source)
{
  if (violation != NULL && source.file != 0
      && violation->source_count < COLT_HISTORY_SOURCES_MAX)
    violation->sources[violation->source_count++] = source;
}

static void
free_violation_ (gpointer data)
{
  struct ColtHistoryViolation *violation = data;

  g_free (violation->what);
  g_free (violation);
}
