#include "measures.h"

#include <stdlib.h>
#include <string.h>

#include "shares.h"
#include "timeline.h"

/* Entry instances have addresses 127.ZONE.x.y. */
#define ENTRY_PREFIX "127."

/* Amounts and capacities, each integrated over time in microseconds. */
struct ColtPackingWalk
{
  struct ColtHistoryMeasures *measures;
  double reserved[COLT_RESOURCE_COUNT];
  double capacity[COLT_RESOURCE_COUNT];
};

static void set_window_ (const struct ColtHistory *history,
                         const struct ColtHistorySpans *spans,
                         struct ColtHistoryMeasures *measures);
static void count_outcomes_ (const struct ColtHistory *history,
                             struct ColtHistoryMeasures *measures);
static void measure_waits_ (const struct ColtHistory *history,
                            const struct ColtHistorySpans *spans,
                            struct ColtHistoryMeasures *measures);
static void summarize_waits_ (GArray *waits_us, struct ColtHistoryWaits *to);
static double percentile_ms_ (const GArray *sorted, uint64_t percent);
static void measure_starts_ (const struct ColtHistorySpans *spans,
                             struct ColtHistoryMeasures *measures);
static void measure_packing_ (const struct ColtHistory *history,
                              const struct ColtHistorySpans *spans,
                              struct ColtHistoryMeasures *measures);
static void add_packing_ (void *client,
                          int64_t from_us,
                          int64_t to_us,
                          const struct ColtTimelineState *state);
static void count_cut_answers_ (const struct ColtHistory *history,
                                struct ColtHistoryMeasures *measures);
static uint32_t parse_zone_ (const char *address);
static void count_appends_ (const struct ColtHistory *history,
                            struct ColtHistoryMeasures *measures);
static void measure_rollouts_ (const struct ColtHistory *history,
                               struct ColtHistoryMeasures *measures);
static gint compare_times_ (gconstpointer a, gconstpointer b);

void
colt_history_measure (const struct ColtHistory *history,
                      const struct ColtHistorySpans *spans,
                      struct ColtHistoryMeasures *measures)
{
  memset (measures, 0, sizeof *measures);
  set_window_ (history, spans, measures);
  count_outcomes_ (history, measures);
  measure_waits_ (history, spans, measures);
  measure_starts_ (spans, measures);
  measure_packing_ (history, spans, measures);
  colt_history_measure_shares (history, spans, measures);
  count_cut_answers_ (history, measures);
  count_appends_ (history, measures);
  measure_rollouts_ (history, measures);
}

/* The default window reaches from the first submission to the last. */
static void
set_window_ (const struct ColtHistory *history,
             const struct ColtHistorySpans *spans,
             struct ColtHistoryMeasures *measures)
{
  int64_t first_us = COLT_TIME_NEVER;
  int64_t last_us = 0;
  guint i;

  for (i = 0; i < history->calls->len; i++)
    {
      int64_t sent_us
          = g_array_index (history->calls, struct ColtHistoryCall, i).sent_us;

      first_us = MIN (first_us, sent_us);
      last_us = MAX (last_us, sent_us);
    }
  if (history->calls->len == 0)
    {
      first_us = 0;
      last_us = spans->last_us;
    }
  measures->from_us = history->run.measure_from_us;
  measures->to_us = history->run.measure_to_us;
  if (measures->from_us == 0)
    measures->from_us = first_us;
  if (measures->to_us == 0)
    measures->to_us = last_us;
}

static void
count_outcomes_ (const struct ColtHistory *history,
                 struct ColtHistoryMeasures *measures)
{
  const uint64_t *outcomes = measures->outcomes;
  guint i;

  for (i = 0; i < history->calls->len; i++)
    measures->outcomes[g_array_index (history->calls, struct ColtHistoryCall, i)
                           .outcome]++;
  measures->requests = history->calls->len;
  measures->answered = outcomes[COLT_HISTORY_DONE];
  measures->accepted
      = outcomes[COLT_HISTORY_DONE] + outcomes[COLT_HISTORY_FAILED]
        + outcomes[COLT_HISTORY_CANCELLED] + outcomes[COLT_HISTORY_ACCEPTED];
}

static void
measure_waits_ (const struct ColtHistory *history,
                const struct ColtHistorySpans *spans,
                struct ColtHistoryMeasures *measures)
{
  GArray *kinds[COLT_WORK_KIND_COUNT];
  GArray *all = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GArray *urgent = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int kind;
  guint i;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    kinds[kind] = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (i = 0; i < history->calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (history->calls, struct ColtHistoryCall, i);
      int64_t wait_us;

      if (call->request == 0)
        continue;
      wait_us = colt_history_first_start (spans, call->request);
      if (wait_us == COLT_TIME_NEVER)
        continue;
      wait_us = MAX (wait_us - call->sent_us, 0);
      g_array_append_val (call->urgent ? urgent : all, wait_us);
      if (!call->urgent)
        g_array_append_val (kinds[call->kind], wait_us);
    }
  summarize_waits_ (all, &measures->waits);
  summarize_waits_ (urgent, &measures->urgent);
  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    summarize_waits_ (kinds[kind], &measures->kinds[kind]);
}

static void
summarize_waits_ (GArray *waits_us, struct ColtHistoryWaits *to)
{
  g_array_sort (waits_us, compare_times_);
  to->count = waits_us->len;
  to->p50_ms = percentile_ms_ (waits_us, 50);
  to->p99_ms = percentile_ms_ (waits_us, 99);
  to->max_ms = percentile_ms_ (waits_us, 100);
  g_array_unref (waits_us);
}

static double
percentile_ms_ (const GArray *sorted, uint64_t percent)
{
  guint position;

  if (sorted->len == 0)
    return 0;
  position = (guint)((sorted->len - 1) * percent / 100);
  return (double)g_array_index (sorted, int64_t, position) / COLT_US_PER_MS;
}

static void
measure_starts_ (const struct ColtHistorySpans *spans,
                 struct ColtHistoryMeasures *measures)
{
  double seconds
      = (double)(measures->to_us - measures->from_us) / COLT_US_PER_S;
  uint64_t inside = 0;
  guint i;

  for (i = 0; i < spans->spans->len; i++)
    {
      int64_t start_us = colt_history_span (spans, i)->start_us;

      if (start_us >= measures->from_us && start_us < measures->to_us)
        inside++;
    }
  measures->starts = spans->spans->len;
  if (seconds > 0)
    measures->starts_per_second = (double)inside / seconds;
}

static void
measure_packing_ (const struct ColtHistory *history,
                  const struct ColtHistorySpans *spans,
                  struct ColtHistoryMeasures *measures)
{
  struct ColtPackingWalk walk = { .measures = measures };
  int i;

  colt_timeline_walk (history, spans, add_packing_, &walk);
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (walk.capacity[i] > 0)
      measures->packing[i] = walk.reserved[i] / walk.capacity[i];
}

static void
add_packing_ (void *client,
              int64_t from_us,
              int64_t to_us,
              const struct ColtTimelineState *state)
{
  struct ColtPackingWalk *walk = client;
  int64_t length_us = MIN (to_us, walk->measures->to_us)
                      - MAX (from_us, walk->measures->from_us);
  int i;

  if (length_us <= 0)
    return;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    {
      walk->reserved[i]
          += (double)state->reserved.amount[i] * (double)length_us;
      walk->capacity[i]
          += (double)state->capacity.amount[i] * (double)length_us;
    }
}

static void
count_cut_answers_ (const struct ColtHistory *history,
                    struct ColtHistoryMeasures *measures)
{
  const GArray *cuts = history->run.cuts;
  guint i;
  guint k;

  for (i = 0; cuts->len > 0 && i < history->calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (history->calls, struct ColtHistoryCall, i);
      uint32_t zone = parse_zone_ (colt_history_text (history, call->entry));

      for (k = 0; call->outcome == COLT_HISTORY_DONE && k < cuts->len; k++)
        {
          const struct ColtHistoryPeriod *cut
              = &g_array_index (cuts, struct ColtHistoryPeriod, k);

          if (call->answered_us >= cut->from_us
              && call->answered_us < cut->to_us)
            {
              measures->cut_answers[zone]++;
              break;
            }
        }
    }
}

static uint32_t
parse_zone_ (const char *address)
{
  unsigned long zone;

  if (strncmp (address, ENTRY_PREFIX, strlen (ENTRY_PREFIX)) != 0)
    return 0;
  zone = strtoul (address + strlen (ENTRY_PREFIX), NULL, 10);
  return zone <= COLT_HISTORY_ZONE_MAX ? (uint32_t)zone : 0;
}

static void
count_appends_ (const struct ColtHistory *history,
                struct ColtHistoryMeasures *measures)
{
  GArray *times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  guint first = 0;
  guint i;

  for (i = 0; i < history->events->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (history->events, struct ColtHistoryEvent, i);

      if (event->kind == COLT_HISTORY_APPEND)
        g_array_append_val (times_us, event->t_us);
    }
  g_array_sort (times_us, compare_times_);
  for (i = 0; i < times_us->len; i++)
    {
      while (g_array_index (times_us, int64_t, first) + COLT_US_PER_S
             <= g_array_index (times_us, int64_t, i))
        first++;
      measures->appends_per_second_max
          = MAX (measures->appends_per_second_max, i - first + 1);
    }
  measures->appends = times_us->len;
  g_array_unref (times_us);
}

static void
measure_rollouts_ (const struct ColtHistory *history,
                   struct ColtHistoryMeasures *measures)
{
  const GArray *rollouts = history->run.rollouts;
  guint i;

  measures->bundle_force_ms = -1;
  for (i = 0; i < rollouts->len; i++)
    {
      const struct ColtHistoryRollout *rollout
          = &g_array_index (rollouts, struct ColtHistoryRollout, i);

      if (rollout->in_force_us == 0)
        continue;
      measures->bundle_force_ms = MAX (
          measures->bundle_force_ms,
          (double)(rollout->in_force_us - rollout->t_us) / COLT_US_PER_MS);
    }
}

static gint
compare_times_ (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}
