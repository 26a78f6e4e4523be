/* Measures of small histories, computed by hand. */
#include "story.h"
#include "test_history.h"

static void
assert_near_ (double value, double expected)
{
  g_assert_cmpfloat_with_epsilon (value, expected, 1e-6);
}

static void
test_counts_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryMeasures measures;

  story_run (story, 1, 1010, 1500);
  story_call (story, 1, 1000, 1600, COLT_HISTORY_DONE);
  story_run (story, 2, 1130, 1500);
  story_call (story, 2, 1100, 1600, COLT_HISTORY_DONE)->kind = COLT_WORK_BATCH;
  story_run (story, 3, 1502, 1600);
  story_call (story, 3, 1500, 1700, COLT_HISTORY_FAILED)->urgent = true;
  story_call (story, 4, 3000, 3100, COLT_HISTORY_NOT_RUN);
  story_measure (story, &measures);
  g_assert_cmpuint (measures.requests, ==, 4);
  g_assert_cmpuint (measures.accepted, ==, 3);
  g_assert_cmpuint (measures.answered, ==, 2);
  g_assert_cmpuint (measures.outcomes[COLT_HISTORY_NOT_RUN], ==, 1);
  assert_near_ (measures.waits.p50_ms, 10);
  assert_near_ (measures.waits.max_ms, 30);
  assert_near_ (measures.kinds[COLT_WORK_BATCH].p99_ms, 30);
  assert_near_ (measures.urgent.p50_ms, 2);
  assert_near_ (measures.starts_per_second, 1.5);
  story_destroy (story);
}

static void
test_packing_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryMeasures measures;

  story->history->run.measure_from_us = 1000 * COLT_US_PER_MS;
  story->history->run.measure_to_us = 3000 * COLT_US_PER_MS;
  story_run (story, 1, 500, 2000);
  story_event (story, 4000, 1, COLT_HISTORY_APPEND);
  story_measure (story, &measures);
  assert_near_ (measures.packing[COLT_RESOURCE_CORES], 1000.0 / 24000);
  story_period (story->history->run.killed, 2, 2000, 2500);
  story_measure (story, &measures);
  assert_near_ (measures.packing[COLT_RESOURCE_CORES], 1000.0 / 22000);
  assert_near_ (measures.packing[COLT_RESOURCE_ACCELERATORS], 0);
  story_destroy (story);
}

/* Fills all 12 cores: team "a" gets 12 - b of them, team "b" gets b. */
static void
measure_share_ (unsigned b,
                bool both_wait,
                struct ColtHistoryMeasures *measures)
{
  struct ColtStory *story = story_create ();
  uint32_t name = colt_history_intern (story->history, "b");
  unsigned request;

  story->history->run.measure_from_us = 1000 * COLT_US_PER_MS;
  story->history->run.measure_to_us = 2000 * COLT_US_PER_MS;
  for (request = 1; request <= 12; request++)
    {
      struct ColtHistoryEvent *event
          = story_start (story, 500, request % 3 + 1, request, 1);

      if (request <= b)
        event->team = name;
    }
  story_event (story, 4000, 1, COLT_HISTORY_APPEND);
  story_call (story, 20, 400, 3000, COLT_HISTORY_NO_ANSWER);
  if (both_wait)
    story_call (story, 21, 400, 3000, COLT_HISTORY_NO_ANSWER)->team = name;
  story_measure (story, measures);
  story_destroy (story);
}

static void
test_shares_ (void)
{
  struct ColtHistoryMeasures measures;

  measure_share_ (4, true, &measures);
  assert_near_ (measures.full_seconds, 1);
  assert_near_ (measures.share_error, 0);
  measure_share_ (1, true, &measures);
  assert_near_ (measures.share_error, 0.25);
  measure_share_ (1, false, &measures);
  assert_near_ (measures.share_error, 0);
}

static void
test_cuts_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryMeasures measures;

  story_period (story->history->run.cuts, 2, 1000, 2000);
  story_run (story, 1, 1100, 1200);
  story_call (story, 1, 1000, 1999, COLT_HISTORY_DONE);
  story_call (story, 1, 1000, 2000, COLT_HISTORY_DONE);
  story_call (story, 2, 1000, 1500, COLT_HISTORY_NOT_RUN);
  story_measure (story, &measures);
  g_assert_cmpuint (measures.cut_answers[2], ==, 1);
  g_assert_cmpuint (measures.cut_answers[1], ==, 0);
  story_destroy (story);
}

static void
test_appends_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryMeasures measures;
  const int64_t times_ms[] = { 100, 2000, 1050, 1099, 1100 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (times_ms); i++)
    story_event (story, times_ms[i], 0, COLT_HISTORY_APPEND);
  story_measure (story, &measures);
  g_assert_cmpuint (measures.appends, ==, 5);
  g_assert_cmpuint (measures.appends_per_second_max, ==, 4);
  story_destroy (story);
}

void
test_measures_add (void)
{
  g_test_add_func ("/history/measures/counts", test_counts_);
  g_test_add_func ("/history/measures/packing", test_packing_);
  g_test_add_func ("/history/measures/shares", test_shares_);
  g_test_add_func ("/history/measures/cuts", test_cuts_);
  g_test_add_func ("/history/measures/appends", test_appends_);
}
