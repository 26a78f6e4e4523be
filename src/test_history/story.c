#include "story.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "answer.h"

static const struct ColtResources capacity = { { 4000, 4096, 2, 8, 64 } };
static const struct ColtResources demand = { { 1000, 256, 0, 1, 1 } };

static struct ColtHistorySource
next_source_ (struct ColtStory *story)
{
  const struct ColtHistorySource source
      = { colt_history_intern (story->history, "records"), ++story->line };

  return source;
}

static uint32_t
request_ (struct ColtStory *story, unsigned request)
{
  char text[COLT_ID_TEXT_SIZE];

  g_snprintf (text, sizeof text, "0101%028x", request);
  return colt_history_intern (story->history, text);
}

static void
add_team_ (struct ColtStory *story, const char *name, double weight)
{
  const struct ColtHistoryTeam team
      = { colt_history_intern (story->history, name), weight };

  g_array_append_val (story->history->run.teams, team);
}

struct ColtStory *
story_create (void)
{
  struct ColtStory *story = g_new0 (struct ColtStory, 1);
  uint32_t id;

  story->history = colt_history_create ();
  for (id = 1; id <= STORY_SERVERS; id++)
    {
      const struct ColtHistoryServer server = { id, id, capacity };

      g_array_append_val (story->history->run.servers, server);
    }
  add_team_ (story, "a", 2);
  add_team_ (story, "b", 1);
  return story;
}

void
story_destroy (struct ColtStory *story)
{
  colt_history_destroy (story->history);
  g_free (story);
}

struct ColtHistoryEvent *
story_event (struct ColtStory *story,
             int64_t t_ms,
             uint32_t server,
             enum ColtHistoryEventKind kind)
{
  const struct ColtHistoryEvent event = { .t_us = t_ms * COLT_US_PER_MS,
                                          .kind = kind,
                                          .server = server,
                                          .source = next_source_ (story) };
  GArray *events = story->history->events;

  g_array_append_val (events, event);
  return &g_array_index (events, struct ColtHistoryEvent, events->len - 1);
}

struct ColtHistoryEvent *
story_start (struct ColtStory *story,
             int64_t t_ms,
             uint32_t server,
             unsigned request,
             uint32_t attempt)
{
  uint32_t text = request_ (story, request);
  struct ColtHistoryEvent *event
      = story_event (story, t_ms, server, COLT_HISTORY_START);

  event->request = text;
  event->attempt = attempt;
  event->team = colt_history_intern (story->history, "a");
  event->limit = demand;
  return event;
}

struct ColtHistoryEvent *
story_end (struct ColtStory *story,
           int64_t t_ms,
           uint32_t server,
           unsigned request,
           uint32_t attempt,
           enum ColtTaskState state)
{
  struct ColtHistoryEvent *event
      = story_start (story, t_ms, server, request, attempt);

  event->kind = COLT_HISTORY_END;
  event->state = state;
  return event;
}

void
story_run (struct ColtStory *story,
           unsigned request,
           int64_t from_ms,
           int64_t to_ms)
{
  story_start (story, from_ms, 1, request, 1);
  story_end (story, to_ms, 1, request, 1, COLT_TASK_FINISHED);
}

static void
add_answer_ (struct ColtStory *story, uint32_t request, const char *payload)
{
  char *task
      = g_strdup_printf ("%s-0", colt_history_text (story->history, request));
  size_t size;
  uint8_t *bytes = colt_standin_answer (task, (const uint8_t *)payload,
                                        strlen (payload), &size);
  const struct ColtHistoryAnswer answer = { true, XXH3_64bits (bytes, size) };

  g_array_append_val (story->history->answers, answer);
  free (bytes);
  g_free (task);
}

struct ColtHistoryCall *
story_call (struct ColtStory *story,
            unsigned request,
            int64_t sent_ms,
            int64_t answered_ms,
            enum ColtHistoryOutcome outcome)
{
  char *payload = g_strdup_printf ("bytes=20;seed=%u", request);
  GArray *calls = story->history->calls;
  struct ColtHistoryCall call
      = { .class = colt_history_intern (story->history, "quotes"),
          .team = colt_history_intern (story->history, "a"),
          .request = request_ (story, request),
          .payload = colt_history_intern (story->history, payload),
          .entry = colt_history_intern (story->history, "127.2.0.4:8080"),
          .idempotent = true,
          .wait = true,
          .tasks = 1,
          .sent_us = sent_ms * COLT_US_PER_MS,
          .answered_us = answered_ms * COLT_US_PER_MS,
          .outcome = outcome,
          .first_answer = story->history->answers->len,
          .source = next_source_ (story) };

  if (outcome == COLT_HISTORY_DONE)
    {
      add_answer_ (story, call.request, payload);
      call.answer_count = 1;
    }
  g_free (payload);
  g_array_append_val (calls, call);
  return &g_array_index (calls, struct ColtHistoryCall, calls->len - 1);
}

void
story_limit (struct ColtStory *story, int64_t t_ms, int64_t tasks)
{
  const struct ColtHistoryLimit limit
      = { .team = colt_history_intern (story->history, "a"),
          .t_us = t_ms * COLT_US_PER_MS,
          .tasks = tasks,
          .cores_milli = COLT_HISTORY_UNLIMITED,
          .accelerators = COLT_HISTORY_UNLIMITED };

  g_array_append_val (story->history->run.limits, limit);
}

void
story_period (GArray *periods, uint32_t number, int64_t from_ms, int64_t to_ms)
{
  const struct ColtHistoryPeriod period
      = { number, from_ms * COLT_US_PER_MS, to_ms * COLT_US_PER_MS };

  g_array_append_val (periods, period);
}

static struct ColtHistoryVerdict *
check_ (const struct ColtStory *story)
{
  struct ColtHistorySpans *spans = colt_history_spans_create (story->history);
  struct ColtHistoryVerdict *verdict
      = colt_history_check (story->history, spans);

  colt_history_spans_destroy (spans);
  return verdict;
}

void
story_expect (const struct ColtStory *story,
              enum ColtHistoryPromise promise,
              uint64_t count,
              const char *what)
{
  struct ColtHistoryVerdict *verdict = check_ (story);
  const struct ColtHistoryViolation *first;
  int i;

  for (i = 0; i < COLT_HISTORY_PROMISE_COUNT; i++)
    g_assert_cmpuint (verdict->counts[i], ==, i == (int)promise ? count : 0);
  g_assert_cmpuint (verdict->listed->len, ==,
                    MIN (count, COLT_HISTORY_LISTED_MAX));
  first = g_ptr_array_index (verdict->listed, 0);
  if (strstr (first->what, what) == NULL)
    g_error ("\"%s\" doesn't say \"%s\"", first->what, what);
  g_assert_cmpuint (first->source_count, >, 0);
  g_assert_false (colt_history_verdict_good (verdict));
  colt_history_verdict_destroy (verdict);
}

void
story_expect_good (const struct ColtStory *story)
{
  struct ColtHistoryVerdict *verdict = check_ (story);

  if (verdict->listed->len > 0)
    g_error ("%s",
             ((struct ColtHistoryViolation *)verdict->listed->pdata[0])->what);
  g_assert_true (colt_history_verdict_good (verdict));
  colt_history_verdict_destroy (verdict);
}

void
story_measure (const struct ColtStory *story,
               struct ColtHistoryMeasures *measures)
{
  struct ColtHistorySpans *spans = colt_history_spans_create (story->history);

  colt_history_measure (story->history, spans, measures);
  colt_history_spans_destroy (spans);
}
