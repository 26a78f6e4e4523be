#include "scenario.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "answer.h"

static const struct ColtResources capacity = { { 4000, 4096, 2, 8, 64 } };
static const struct ColtResources demand = { { 1000, 256, 0, 1, 1 } };

static struct ColtHistorySource
next_source_ (struct ColtScenario *scenario)
{
  const struct ColtHistorySource source
      = { colt_history_intern (scenario->history, "records"),
          ++scenario->line };

  return source;
}

static uint32_t
intern_request_ (struct ColtScenario *scenario, unsigned request)
{
  char text[COLT_ID_TEXT_SIZE];

  g_snprintf (text, sizeof text, "0101%028x", request);
  return colt_history_intern (scenario->history, text);
}

static void
add_team_ (struct ColtScenario *scenario, const char *name, double weight)
{
  const struct ColtHistoryTeam team
      = { colt_history_intern (scenario->history, name), weight };

  g_array_append_val (scenario->history->run.teams, team);
}

struct ColtScenario *
scenario_create (void)
{
  struct ColtScenario *scenario = g_new0 (struct ColtScenario, 1);
  uint32_t id;

  scenario->history = colt_history_create ();
  for (id = 1; id <= SCENARIO_SERVERS; id++)
    {
      const struct ColtHistoryServer server = { id, id, capacity };

      g_array_append_val (scenario->history->run.servers, server);
    }
  add_team_ (scenario, "a", 2);
  add_team_ (scenario, "b", 1);
  return scenario;
}

void
scenario_destroy (struct ColtScenario *scenario)
{
  colt_history_destroy (scenario->history);
  g_free (scenario);
}

struct ColtHistoryEvent *
scenario_add_event (struct ColtScenario *scenario,
                    int64_t t_ms,
                    uint32_t server,
                    enum ColtHistoryEventKind kind)
{
  const struct ColtHistoryEvent event = { .t_us = t_ms * COLT_US_PER_MS,
                                          .kind = kind,
                                          .server = server,
                                          .source = next_source_ (scenario) };
  GArray *events = scenario->history->events;

  g_array_append_val (events, event);
  return &g_array_index (events, struct ColtHistoryEvent, events->len - 1);
}

struct ColtHistoryEvent *
scenario_add_start (struct ColtScenario *scenario,
                    int64_t t_ms,
                    uint32_t server,
                    unsigned request,
                    uint32_t attempt)
{
  uint32_t request_id = intern_request_ (scenario, request);
  struct ColtHistoryEvent *event
      = scenario_add_event (scenario, t_ms, server, COLT_HISTORY_START);

  event->request = request_id;
  event->attempt = attempt;
  event->team = colt_history_intern (scenario->history, "a");
  event->limit = demand;
  return event;
}

struct ColtHistoryEvent *
scenario_add_end (struct ColtScenario *scenario,
                  int64_t t_ms,
                  uint32_t server,
                  unsigned request,
                  uint32_t attempt,
                  enum ColtTaskState state)
{
  struct ColtHistoryEvent *event
      = scenario_add_start (scenario, t_ms, server, request, attempt);

  event->kind = COLT_HISTORY_END;
  event->state = state;
  return event;
}

void
scenario_add_run (struct ColtScenario *scenario,
                  unsigned request,
                  int64_t from_ms,
                  int64_t to_ms)
{
  scenario_add_start (scenario, from_ms, 1, request, 1);
  scenario_add_end (scenario, to_ms, 1, request, 1, COLT_TASK_FINISHED);
}

static void
add_answer_ (struct ColtScenario *scenario,
             uint32_t request,
             const char *payload)
{
  char *task = g_strdup_printf ("%s-0",
                                colt_history_text (scenario->history, request));
  size_t size;
  uint8_t *bytes = colt_standin_build_answer (task, (const uint8_t *)payload,
                                              strlen (payload), &size);
  const struct ColtHistoryAnswer answer = { true, XXH3_64bits (bytes, size) };

  g_array_append_val (scenario->history->answers, answer);
  free (bytes);
  g_free (task);
}

struct ColtHistoryCall *
scenario_add_call (struct ColtScenario *scenario,
                   unsigned request,
                   int64_t sent_ms,
                   int64_t answered_ms,
                   enum ColtHistoryOutcome outcome)
{
  char *payload = g_strdup_printf ("bytes=20;seed=%u", request);
  GArray *calls = scenario->history->calls;
  struct ColtHistoryCall call
      = { .class = colt_history_intern (scenario->history, "quotes"),
          .team = colt_history_intern (scenario->history, "a"),
          .request = intern_request_ (scenario, request),
          .payload = colt_history_intern (scenario->history, payload),
          .entry = colt_history_intern (scenario->history, "127.2.0.4:8080"),
          .idempotent = true,
          .wait = true,
          .tasks = 1,
          .sent_us = sent_ms * COLT_US_PER_MS,
          .answered_us = answered_ms * COLT_US_PER_MS,
          .outcome = outcome,
          .first_answer = scenario->history->answers->len,
          .source = next_source_ (scenario) };

  if (outcome == COLT_HISTORY_DONE)
    {
      add_answer_ (scenario, call.request, payload);
      call.answer_count = 1;
    }
  g_free (payload);
  g_array_append_val (calls, call);
  return &g_array_index (calls, struct ColtHistoryCall, calls->len - 1);
}

void
scenario_add_limit (struct ColtScenario *scenario, int64_t t_ms, int64_t tasks)
{
  const struct ColtHistoryLimit limit
      = { .team = colt_history_intern (scenario->history, "a"),
          .t_us = t_ms * COLT_US_PER_MS,
          .tasks = tasks,
          .cores_milli = COLT_HISTORY_UNLIMITED,
          .accelerators = COLT_HISTORY_UNLIMITED };

  g_array_append_val (scenario->history->run.limits, limit);
}

void
scenario_add_period (GArray *periods,
                     uint32_t id,
                     int64_t from_ms,
                     int64_t to_ms)
{
  const struct ColtHistoryPeriod period
      = { id, from_ms * COLT_US_PER_MS, to_ms * COLT_US_PER_MS };

  g_array_append_val (periods, period);
}

static struct ColtHistoryVerdict *
check_scenario_ (const struct ColtScenario *scenario)
{
  struct ColtHistorySpans *spans
      = colt_history_spans_create (scenario->history);
  struct ColtHistoryVerdict *verdict
      = colt_history_check (scenario->history, spans);

  colt_history_spans_destroy (spans);
  return verdict;
}

void
scenario_expect_broken (const struct ColtScenario *scenario,
                        enum ColtHistoryInvariant invariant,
                        uint64_t count,
                        const char *finding)
{
  struct ColtHistoryVerdict *verdict = check_scenario_ (scenario);
  const struct ColtHistoryViolation *first;
  int i;

  for (i = 0; i < COLT_HISTORY_INVARIANT_COUNT; i++)
    g_assert_cmpuint (verdict->counts[i], ==, i == (int)invariant ? count : 0);
  g_assert_cmpuint (verdict->listed->len, ==,
                    MIN (count, COLT_HISTORY_LISTED_MAX));
  first = g_ptr_array_index (verdict->listed, 0);
  if (strstr (first->finding, finding) == NULL)
    g_error ("\"%s\" doesn't contain \"%s\"", first->finding, finding);
  g_assert_cmpuint (first->source_count, >, 0);
  g_assert_false (colt_history_verdict_is_good (verdict));
  colt_history_verdict_destroy (verdict);
}

void
scenario_expect_good (const struct ColtScenario *scenario)
{
  struct ColtHistoryVerdict *verdict = check_scenario_ (scenario);

  if (verdict->listed->len > 0)
    g_error (
        "%s",
        ((struct ColtHistoryViolation *)verdict->listed->pdata[0])->finding);
  g_assert_true (colt_history_verdict_is_good (verdict));
  colt_history_verdict_destroy (verdict);
}

void
scenario_measure (const struct ColtScenario *scenario,
                  struct ColtHistoryMeasures *measures)
{
  struct ColtHistorySpans *spans
      = colt_history_spans_create (scenario->history);

  colt_history_measure (scenario->history, spans, measures);
  colt_history_spans_destroy (spans);
}
