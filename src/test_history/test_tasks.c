/* Tests of tasks that run twice concurrently and of tasks that aren't
 * idempotent. */
#include "scenario.h"
#include "test_history.h"

static void
test_retry_after_end_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FAILED);
  scenario_add_start (scenario, 200, 2, 1, 2);
  scenario_add_end (scenario, 300, 2, 1, 2, COLT_TASK_FINISHED);
  scenario_add_call (scenario, 1, 50, 310, COLT_HISTORY_DONE);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_overlap_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_LAPSED);
  scenario_add_start (scenario, 199, 2, 1, 2);
  scenario_add_end (scenario, 300, 2, 1, 2, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "ran twice at once");
  scenario_destroy (scenario);
}

/* Concurrent runs of the same attempt are a violation, like those of two
 * attempts. */
static void
test_same_attempt_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 150, 2, 1, 1);
  scenario_add_end (scenario, 300, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_add_end (scenario, 300, 2, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1, "on server 2");
  scenario_destroy (scenario);
}

/* A long run is compared with all runs that start within it, not only with the
 * next one. */
static void
test_long_run_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 110, 2, 1, 2);
  scenario_add_end (scenario, 120, 2, 1, 2, COLT_TASK_FAILED);
  scenario_add_start (scenario, 130, 3, 1, 3);
  scenario_add_end (scenario, 140, 3, 1, 3, COLT_TASK_FINISHED);
  scenario_add_end (scenario, 500, 1, 1, 1, COLT_TASK_LAPSED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 2,
                          "attempt 2 on server 2");
  scenario_destroy (scenario);
}

static void
test_no_end_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 9000, 2, 1, 2);
  scenario_add_end (scenario, 9100, 2, 1, 2, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "attempt 2 on server 2");
  scenario_add_event (scenario, 8000, 1, COLT_HISTORY_DOWN);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_other_index_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 100, 2, 1, 1)->index = 1;
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_not_idempotent_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FAILED);
  scenario_add_call (scenario, 1, 50, 400, COLT_HISTORY_FAILED)->idempotent
      = false;
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 300, 2, 1, 2);
  scenario_add_end (scenario, 300, 2, 1, 2, COLT_TASK_STOPPED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "isn't idempotent");
  scenario_destroy (scenario);
}

/* A killed server loses its runs, and may run the same attempt again. */
static void
test_again_after_kill_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_event (scenario, 150, 1, COLT_HISTORY_DOWN);
  scenario_add_end (scenario, 150, 1, 1, 1, COLT_TASK_STOPPED);
  scenario_add_start (scenario, 200, 1, 1, 1);
  scenario_add_end (scenario, 300, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_good (scenario);
  scenario_add_call (scenario, 1, 50, 310, COLT_HISTORY_DONE)->idempotent
      = false;
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "isn't idempotent");
  scenario_destroy (scenario);
}

/* Records may be read in any order; only their times count. */
static void
test_any_order_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_end (scenario, 300, 2, 1, 2, COLT_TASK_FINISHED);
  scenario_add_start (scenario, 200, 2, 1, 2);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FAILED);
  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 250, 3, 1, 3);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "attempt 3 on server 3");
  scenario_destroy (scenario);
}

/* A start while the task runs elsewhere is a violation even if its run ends
 * immediately; a start at the end of the other run isn't. */
static void
test_touching_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 2);
  scenario_add_end (scenario, 200, 1, 1, 2, COLT_TASK_FINISHED);
  scenario_add_start (scenario, 100, 2, 1, 1);
  scenario_add_end (scenario, 100, 2, 1, 1, COLT_TASK_FAILED);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 150, 3, 1, 3);
  scenario_add_end (scenario, 150, 3, 1, 3, COLT_TASK_STOPPED);
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 1,
                          "attempt 3 on server 3");
  scenario_destroy (scenario);
}

/* Inconsistent records are counted and otherwise ignored. */
static void
test_odd_records_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistorySpans *spans;

  scenario_add_end (scenario, 50, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_add_start (scenario, 100, 1, 2, 1);
  scenario_add_end (scenario, 200, 1, 2, 1, COLT_TASK_FINISHED)
      ->limit.amount[COLT_RESOURCE_MEMORY]
      = 512;
  spans = colt_history_spans_create (scenario->history);
  g_assert_cmpuint (spans->odd_ends, ==, 1);
  g_assert_cmpuint (spans->unseen_resizes, ==, 1);
  g_assert_cmpuint (spans->spans->len, ==, 1);
  colt_history_spans_destroy (spans);
  scenario_destroy (scenario);
}

static void
test_many_listed_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 1; request <= 50; request++)
    {
      scenario_add_start (scenario, 1000 * request, 1, request, 1);
      scenario_add_start (scenario, 1000 * request + 1, 2, request, 2);
      scenario_add_end (scenario, 1000 * request + 10, 1, request, 1,
                        COLT_TASK_FINISHED);
      scenario_add_end (scenario, 1000 * request + 10, 2, request, 2,
                        COLT_TASK_FINISHED);
    }
  scenario_expect_broken (scenario, COLT_HISTORY_DOUBLED, 50,
                          "ran twice at once");
  scenario_destroy (scenario);
}

void
test_tasks_add (void)
{
  g_test_add_func ("/history/doubled/retry", test_retry_after_end_);
  g_test_add_func ("/history/doubled/overlap", test_overlap_);
  g_test_add_func ("/history/doubled/same-attempt", test_same_attempt_);
  g_test_add_func ("/history/doubled/long", test_long_run_);
  g_test_add_func ("/history/doubled/no-end", test_no_end_);
  g_test_add_func ("/history/doubled/other-index", test_other_index_);
  g_test_add_func ("/history/doubled/not-idempotent", test_not_idempotent_);
  g_test_add_func ("/history/doubled/killed", test_again_after_kill_);
  g_test_add_func ("/history/doubled/any-order", test_any_order_);
  g_test_add_func ("/history/doubled/touching", test_touching_);
  g_test_add_func ("/history/doubled/odd-records", test_odd_records_);
  g_test_add_func ("/history/doubled/many", test_many_listed_);
}
