#include "verdict.h"

const char *const colt_history_invariant_string[]
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
colt_history_verdict_is_good (const struct ColtHistoryVerdict *verdict)
{
  int invariant;

  for (invariant = 0; invariant < COLT_HISTORY_INVARIANT_COUNT; invariant++)
    if (verdict->counts[invariant] > 0)
      return false;
  return true;
}

struct ColtHistoryViolation *
colt_history_verdict_add (struct ColtHistoryVerdict *verdict,
                          enum ColtHistoryInvariant invariant,
                          int64_t t_us,
                          const char *format,
                          ...)
{
  struct ColtHistoryViolation *violation;
  va_list values;

  if (verdict->counts[invariant]++ >= COLT_HISTORY_LISTED_MAX)
    return NULL;
  violation = g_new0 (struct ColtHistoryViolation, 1);
  violation->invariant = invariant;
  violation->t_us = t_us;
  va_start (values, format);
  violation->finding = g_strdup_vprintf (format, values);
  va_end (values);
  g_ptr_array_add (verdict->listed, violation);
  return violation;
}

void
colt_history_violation_add_source (struct ColtHistoryViolation *violation,
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

  g_free (violation->finding);
  g_free (violation);
}
