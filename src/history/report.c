#include "report.h"

#include <inttypes.h>

static void add_invariants_ (json_t *report,
                             const struct ColtHistoryVerdict *verdict);
static void add_counts_ (json_t *report,
                         const struct ColtHistoryMeasures *measures);
static void add_measures_ (json_t *report,
                           const struct ColtHistory *history,
                           const struct ColtHistoryMeasures *measures);
static json_t *make_waits_ (const struct ColtHistoryMeasures *measures);
static json_t *make_wait_ (const struct ColtHistoryWaits *waits);
static json_t *make_packing_ (const struct ColtHistoryMeasures *measures);
static json_t *make_cut_answers_ (const struct ColtHistory *history,
                                  const struct ColtHistoryMeasures *measures);
static json_t *make_violations_ (const struct ColtHistory *history,
                                 const struct ColtHistoryVerdict *verdict);
static json_t *make_violation_ (const struct ColtHistory *history,
                                const struct ColtHistoryViolation *violation);
static char *format_source_ (const struct ColtHistory *history,
                             const struct ColtHistorySource *source);
static void print_violations_ (FILE *to,
                               const struct ColtHistory *history,
                               const struct ColtHistoryVerdict *verdict);

json_t *
colt_history_report (const struct ColtHistory *history,
                     const struct ColtHistoryVerdict *verdict,
                     const struct ColtHistoryMeasures *measures)
{
  json_t *report = json_object ();

  json_object_set_new (report, "good",
                       json_boolean (colt_history_verdict_is_good (verdict)));
  add_invariants_ (report, verdict);
  add_counts_ (report, measures);
  add_measures_ (report, history, measures);
  json_object_set_new (report, "violations",
                       make_violations_ (history, verdict));
  return report;
}

void
colt_history_print (FILE *to,
                    const struct ColtHistory *history,
                    const struct ColtHistoryVerdict *verdict,
                    const struct ColtHistoryMeasures *measures)
{
  const uint64_t *outcomes = measures->outcomes;
  int i;

  fprintf (to, "%-28s %12s\n", "promise", "broken");
  for (i = 0; i < COLT_HISTORY_INVARIANT_COUNT; i++)
    fprintf (to, "%-28s %12" PRIu64 "\n", colt_history_invariant_string[i],
             verdict->counts[i]);
  fprintf (to, "\n%-28s %12s\n", "measure", "value");
  fprintf (to, "%-28s %12" PRIu64 "\n", "requests", measures->requests);
  fprintf (to, "%-28s %12" PRIu64 "\n", "accepted", measures->accepted);
  for (i = 0; i < COLT_HISTORY_OUTCOME_COUNT; i++)
    if (outcomes[i] > 0)
      fprintf (to, "  %-26s %12" PRIu64 "\n", colt_history_outcome_string[i],
               outcomes[i]);
  fprintf (to, "%-28s %12.2f\n", "wait_p50_ms", measures->waits.p50_ms);
  fprintf (to, "%-28s %12.2f\n", "wait_p99_ms", measures->waits.p99_ms);
  fprintf (to, "%-28s %12.2f\n", "urgent_wait_p99_ms", measures->urgent.p99_ms);
  for (i = 0; i < COLT_WORK_KIND_COUNT; i++)
    if (measures->kinds[i].count > 0)
      fprintf (to, "  wait_p99_ms %-14s %12.2f\n", colt_work_kind_string[i],
               measures->kinds[i].p99_ms);
  fprintf (to, "%-28s %12.1f\n", "starts_per_second",
           measures->starts_per_second);
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    fprintf (to, "  packing %-18s %12.3f\n", colt_resource_string[i],
             measures->packing[i]);
  fprintf (to, "%-28s %12.1f\n", "full_seconds", measures->full_seconds);
  fprintf (to, "%-28s %12.3f\n", "share_error", measures->share_error);
  print_violations_ (to, history, verdict);
}

static void
add_invariants_ (json_t *report, const struct ColtHistoryVerdict *verdict)
{
  int i;

  for (i = 0; i < COLT_HISTORY_INVARIANT_COUNT; i++)
    json_object_set_new (report, colt_history_invariant_string[i],
                         json_integer ((json_int_t)verdict->counts[i]));
  json_object_set_new (report, "over_records",
                       json_integer ((json_int_t)verdict->over_records));
  json_object_set_new (report, "over_computed",
                       json_integer ((json_int_t)verdict->over_computed));
  json_object_set_new (report, "odd_ends",
                       json_integer ((json_int_t)verdict->odd_ends));
  json_object_set_new (report, "unseen_resizes",
                       json_integer ((json_int_t)verdict->unseen_resizes));
}

static void
add_counts_ (json_t *report, const struct ColtHistoryMeasures *measures)
{
  const uint64_t *outcomes = measures->outcomes;
  const struct
  {
    const char *name;
    uint64_t count;
  } counts[]
      = { { "requests", measures->requests },
          { "accepted", measures->accepted },
          { "answered", measures->answered },
          { "refused", outcomes[COLT_HISTORY_NOT_RUN] },
          { "unknown", outcomes[COLT_HISTORY_UNKNOWN] },
          { "failed", outcomes[COLT_HISTORY_FAILED] },
          { "cancelled", outcomes[COLT_HISTORY_CANCELLED] },
          { "open", outcomes[COLT_HISTORY_ACCEPTED] },
          { "no_answer", outcomes[COLT_HISTORY_NO_ANSWER] },
          { "not_sent", outcomes[COLT_HISTORY_NOT_SENT] },
          { "starts", measures->starts },
          { "appends", measures->appends },
          { "appends_per_second_max", measures->appends_per_second_max } };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    json_object_set_new (report, counts[i].name,
                         json_integer ((json_int_t)counts[i].count));
}

static void
add_measures_ (json_t *report,
               const struct ColtHistory *history,
               const struct ColtHistoryMeasures *measures)
{
  json_object_set_new (report, "wait_p50_ms",
                       json_real (measures->waits.p50_ms));
  json_object_set_new (report, "wait_p99_ms",
                       json_real (measures->waits.p99_ms));
  json_object_set_new (report, "urgent_wait_p50_ms",
                       json_real (measures->urgent.p50_ms));
  json_object_set_new (report, "urgent_wait_p99_ms",
                       json_real (measures->urgent.p99_ms));
  json_object_set_new (report, "waits", make_waits_ (measures));
  json_object_set_new (report, "starts_per_second",
                       json_real (measures->starts_per_second));
  json_object_set_new (report, "packing", make_packing_ (measures));
  json_object_set_new (report, "full_seconds",
                       json_real (measures->full_seconds));
  json_object_set_new (report, "share_error",
                       json_real (measures->share_error));
  json_object_set_new (
      report, "share_team",
      json_string (colt_history_text (history, measures->share_team)));
  if (measures->bundle_force_ms >= 0)
    json_object_set_new (report, "bundle_force_ms",
                         json_real (measures->bundle_force_ms));
  json_object_set_new (report, "answers_during_cuts",
                       make_cut_answers_ (history, measures));
}

static json_t *
make_waits_ (const struct ColtHistoryMeasures *measures)
{
  json_t *object = json_object ();
  int i;

  for (i = 0; i < COLT_WORK_KIND_COUNT; i++)
    json_object_set_new (object, colt_work_kind_string[i],
                         make_wait_ (&measures->kinds[i]));
  json_object_set_new (object, "urgent", make_wait_ (&measures->urgent));
  return object;
}

static json_t *
make_wait_ (const struct ColtHistoryWaits *waits)
{
  return json_pack ("{s:I,s:f,s:f,s:f}", "count", (json_int_t)waits->count,
                    "p50_ms", waits->p50_ms, "p99_ms", waits->p99_ms, "max_ms",
                    waits->max_ms);
}

static json_t *
make_packing_ (const struct ColtHistoryMeasures *measures)
{
  json_t *object = json_object ();
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    json_object_set_new (object, colt_resource_string[i],
                         json_real (measures->packing[i]));
  return object;
}

/* Lists every zone that has servers, including those without an answer. */
static json_t *
make_cut_answers_ (const struct ColtHistory *history,
                   const struct ColtHistoryMeasures *measures)
{
  const GArray *servers = history->run.servers;
  json_t *object = json_object ();
  guint i;

  if (history->run.cuts->len == 0)
    return object;
  for (i = 0; i < servers->len; i++)
    {
      uint32_t zone = g_array_index (servers, struct ColtHistoryServer, i).zone;
      char name[16];

      if (zone > COLT_HISTORY_ZONE_MAX)
        continue;
      g_snprintf (name, sizeof name, "%u", zone);
      json_object_set_new (
          object, name, json_integer ((json_int_t)measures->cut_answers[zone]));
    }
  return object;
}

static json_t *
make_violations_ (const struct ColtHistory *history,
                  const struct ColtHistoryVerdict *verdict)
{
  json_t *object = json_object ();
  guint i;

  for (i = 0; i < verdict->listed->len; i++)
    {
      const struct ColtHistoryViolation *violation
          = g_ptr_array_index (verdict->listed, i);
      const char *name = colt_history_invariant_string[violation->invariant];

      if (json_object_get (object, name) == NULL)
        json_object_set_new (object, name, json_array ());
      json_array_append_new (json_object_get (object, name),
                             make_violation_ (history, violation));
    }
  return object;
}

static json_t *
make_violation_ (const struct ColtHistory *history,
                 const struct ColtHistoryViolation *violation)
{
  json_t *object = json_object ();
  json_t *records = json_array ();
  guint i;

  json_object_set_new (object, "t_us", json_integer (violation->t_us));
  if (violation->request != 0)
    json_object_set_new (
        object, "request_id",
        json_string (colt_history_text (history, violation->request)));
  if (violation->team != 0)
    json_object_set_new (
        object, "team",
        json_string (colt_history_text (history, violation->team)));
  if (violation->server != 0)
    json_object_set_new (object, "server", json_integer (violation->server));
  json_object_set_new (object, "what", json_string (violation->finding));
  for (i = 0; i < violation->source_count; i++)
    {
      char *source = format_source_ (history, &violation->sources[i]);

      json_array_append_new (records, json_string (source));
      g_free (source);
    }
  json_object_set_new (object, "records", records);
  return object;
}

static char *
format_source_ (const struct ColtHistory *history,
                const struct ColtHistorySource *source)
{
  return g_strdup_printf ("%s:%u", colt_history_text (history, source->file),
                          source->line);
}

static void
print_violations_ (FILE *to,
                   const struct ColtHistory *history,
                   const struct ColtHistoryVerdict *verdict)
{
  guint i;
  guint k;

  for (i = 0; i < verdict->listed->len; i++)
    {
      const struct ColtHistoryViolation *violation
          = g_ptr_array_index (verdict->listed, i);

      fprintf (to, "\n%s at %" PRId64 ": %s\n",
               colt_history_invariant_string[violation->invariant],
               violation->t_us, violation->finding);
      for (k = 0; k < violation->source_count; k++)
        {
          char *source = format_source_ (history, &violation->sources[k]);

          fprintf (to, "    %s\n", source);
          g_free (source);
        }
    }
}
