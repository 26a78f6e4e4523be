#include "check.h"

static gboolean *find_once_only_ (const struct ColtHistory *history);
static void check_request_ (const struct ColtHistoryCheck *check,
                            const struct ColtHistoryRange *range,
                            bool once_only);
static void report_overlap_ (const struct ColtHistoryCheck *check,
                             const struct ColtHistorySpan *first,
                             const struct ColtHistorySpan *second);
static void report_second_start_ (const struct ColtHistoryCheck *check,
                                  const struct ColtHistorySpan *first,
                                  const struct ColtHistorySpan *second);

void
colt_history_check_double_runs (const struct ColtHistoryCheck *check)
{
  gboolean *once_only = find_once_only_ (check->history);
  guint request;

  for (request = 0; request < check->history->texts->len; request++)
    check_request_ (check, &check->spans->ranges[request], once_only[request]);
  g_free (once_only);
}

/* Returns by text id of the request whether it may start only once. */
static gboolean *
find_once_only_ (const struct ColtHistory *history)
{
  gboolean *once_only = g_new0 (gboolean, history->texts->len);
  guint i;

  for (i = 0; i < history->calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (history->calls, struct ColtHistoryCall, i);

      if (!call->idempotent && call->request != 0)
        once_only[call->request] = TRUE;
    }
  return once_only;
}

/* Spans are sorted by task and start, so it is enough to compare each one with
 * the earlier span of its task that ends last. */
static void
check_request_ (const struct ColtHistoryCheck *check,
                const struct ColtHistoryRange *range,
                bool once_only)
{
  const struct ColtHistorySpan *latest = NULL;
  guint i;

  for (i = range->first; i < range->first + range->count; i++)
    {
      const struct ColtHistorySpan *span = colt_history_span (check->spans, i);

      if (latest == NULL || latest->index != span->index)
        {
          latest = span;
          continue;
        }
      if (span->start_us < latest->end_us)
        report_overlap_ (check, latest, span);
      else if (once_only)
        report_second_start_ (check, latest, span);
      if (span->end_us > latest->end_us)
        latest = span;
    }
}

static void
report_overlap_ (const struct ColtHistoryCheck *check,
                 const struct ColtHistorySpan *first,
                 const struct ColtHistorySpan *second)
{
  struct ColtHistoryViolation *violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_DOUBLED, second->start_us,
      "%s-%u ran twice at once: attempt %u on server %u from %" G_GINT64_FORMAT
      ", attempt %u on server %u from %" G_GINT64_FORMAT,
      colt_history_check_request_id (check, first->request), first->index,
      first->attempt, first->server, first->start_us, second->attempt,
      second->server, second->start_us);

  colt_history_check_attach_span (violation, first);
  colt_history_check_attach_span (violation, second);
}

static void
report_second_start_ (const struct ColtHistoryCheck *check,
                      const struct ColtHistorySpan *first,
                      const struct ColtHistorySpan *second)
{
  struct ColtHistoryViolation *violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_DOUBLED, second->start_us,
      "%s-%u isn't idempotent and started again: attempt %u on server %u, "
      "then attempt %u on server %u",
      colt_history_check_request_id (check, first->request), first->index,
      first->attempt, first->server, second->attempt, second->server);

  colt_history_check_attach_span (violation, first);
  colt_history_check_attach_span (violation, second);
}
