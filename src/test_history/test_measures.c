/* Tests of measures against values computed by hand. */
#include "scenario.h"
#include "test_history.h"

static void
assert_near_ (double value, double expected)
{
  g_assert_cmpfloat_with_epsilon (value, expected, 1e-6);
}

static void
test_counts_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryMeasures measures;

  scenario_add_run (scenario, 1, 1010, 1500);
  scenario_add_call (scenario, 1, 1000, 1600, COLT_HISTORY_DONE);
  scenario_add_run (scenario, 2, 1130, 1500);
  scenario_add_call (scenario, 2, 1100, 1600, COLT_HISTORY_DONE)->kind
      = COLT_WORK_BATCH;
  scenario_add_run (scenario, 3, 1502, 1600);
  scenario_add_call (scenario, 3, 1500, 1700, COLT_HISTORY_FAILED)->urgent
      = true;
  scenario_add_call (scenario, 4, 3000, 3100, COLT_HISTORY_NOT_RUN);
  scenario_measure (scenario, &measures);
  g_assert_cmpuint (measures.requests, ==, 4);
  g_assert_cmpuint (measures.accepted, ==, 3);
  g_assert_cmpuint (measures.answered, ==, 2);
  g_assert_cmpuint (measures.outcomes[COLT_HISTORY_NOT_RUN], ==, 1);
  assert_near_ (measures.waits.p50_ms, 10);
  assert_near_ (measures.waits.max_ms, 30);
  assert_near_ (measures.kinds[COLT_WORK_BATCH].p99_ms, 30);
  assert_near_ (measures.urgent.p50_ms, 2);
  assert_near_ (measures.starts_per_second, 1.5);
  scenario_destroy (scenario);
}

static void
test_packing_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryMeasures measures;

  scenario->history->run.measure_from_us = 1000 * COLT_US_PER_MS;
  scenario->history->run.measure_to_us = 3000 * COLT_US_PER_MS;
  scenario_add_run (scenario, 1, 500, 2000);
  scenario_add_event (scenario, 4000, 1, COLT_HISTORY_APPEND);
  scenario_measure (scenario, &measures);
  assert_near_ (measures.packing[COLT_RESOURCE_CORES], 1000.0 / 24000);
  scenario_add_period (scenario->history->run.killed, 2, 2000, 2500);
  scenario_measure (scenario, &measures);
  assert_near_ (measures.packing[COLT_RESOURCE_CORES], 1000.0 / 22000);
  assert_near_ (measures.packing[COLT_RESOURCE_ACCELERATORS], 0);
  scenario_destroy (scenario);
}

/* Measures a full fleet of 12 cores, of which team "b" uses B_CORES and team
 * "a" the others. Team "a" has waiting work, as has team "b" if BOTH_WAIT. */
static void
measure_share_ (unsigned b_cores,
                bool both_wait,
                struct ColtHistoryMeasures *measures)
{
  struct ColtScenario *scenario = scenario_create ();
  uint32_t name = colt_history_intern (scenario->history, "b");
  unsigned request;

  scenario->history->run.measure_from_us = 1000 * COLT_US_PER_MS;
  scenario->history->run.measure_to_us = 2000 * COLT_US_PER_MS;
  for (request = 1; request <= 12; request++)
    {
      struct ColtHistoryEvent *event
          = scenario_add_start (scenario, 500, request % 3 + 1, request, 1);

      if (request <= b_cores)
        event->team = name;
    }
  scenario_add_event (scenario, 4000, 1, COLT_HISTORY_APPEND);
  scenario_add_call (scenario, 20, 400, 3000, COLT_HISTORY_NO_ANSWER);
  if (both_wait)
    scenario_add_call (scenario, 21, 400, 3000, COLT_HISTORY_NO_ANSWER)->team
        = name;
  scenario_measure (scenario, measures);
  scenario_destroy (scenario);
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
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryMeasures measures;

  scenario_add_period (scenario->history->run.cuts, 2, 1000, 2000);
  scenario_add_run (scenario, 1, 1100, 1200);
  scenario_add_call (scenario, 1, 1000, 1999, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 1, 1000, 2000, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 2, 1000, 1500, COLT_HISTORY_NOT_RUN);
  scenario_measure (scenario, &measures);
  g_assert_cmpuint (measures.cut_answers[2], ==, 1);
  g_assert_cmpuint (measures.cut_answers[1], ==, 0);
  scenario_destroy (scenario);
}

static void
test_appends_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryMeasures measures;
  const int64_t times_ms[] = { 100, 2000, 1050, 1099, 1100 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (times_ms); i++)
    scenario_add_event (scenario, times_ms[i], 0, COLT_HISTORY_APPEND);
  scenario_measure (scenario, &measures);
  g_assert_cmpuint (measures.appends, ==, 5);
  g_assert_cmpuint (measures.appends_per_second_max, ==, 4);
  scenario_destroy (scenario);
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
