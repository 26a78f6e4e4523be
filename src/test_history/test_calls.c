/* Tests of the checks of answers, refusals and withdrawn keys. */
#include "scenario.h"
#include "test_history.h"

static void
add_key_ (struct ColtScenario *scenario, const char *class, int64_t t_ms)
{
  const struct ColtHistoryKey key
      = { colt_history_intern (scenario->history, "a"),
          colt_history_intern (scenario->history, class),
          t_ms * COLT_US_PER_MS };

  g_array_append_val (scenario->history->run.keys, key);
}

static struct ColtHistoryAnswer *
get_answer_ (struct ColtScenario *scenario, guint number)
{
  return &g_array_index (scenario->history->answers, struct ColtHistoryAnswer,
                         number);
}

static struct ColtScenario *
create_two_answered_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_run (scenario, 1, 100, 200);
  scenario_add_run (scenario, 2, 100, 200);
  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 2, 50, 210, COLT_HISTORY_DONE);
  return scenario;
}

static void
test_good_answers_ (void)
{
  struct ColtScenario *scenario = create_two_answered_ ();

  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_crossed_answers_ (void)
{
  struct ColtScenario *scenario = create_two_answered_ ();
  struct ColtHistoryAnswer first = *get_answer_ (scenario, 0);

  *get_answer_ (scenario, 0) = *get_answer_ (scenario, 1);
  *get_answer_ (scenario, 1) = first;
  scenario_expect_broken (
      scenario, COLT_HISTORY_WRONG_ANSWER, 2,
      "got the result of "
      "01010000000000000000000000000002-0 as that of task 0");
  scenario_destroy (scenario);
}

static void
test_truncated_answer_ (void)
{
  struct ColtScenario *scenario = create_two_answered_ ();

  get_answer_ (scenario, 1)->checksum++;
  scenario_expect_broken (scenario, COLT_HISTORY_WRONG_ANSWER, 1,
                          "that is not its own");
  scenario_destroy (scenario);
}

static void
test_missing_answer_ (void)
{
  struct ColtScenario *scenario = create_two_answered_ ();

  get_answer_ (scenario, 0)->present = false;
  scenario_expect_broken (scenario, COLT_HISTORY_WRONG_ANSWER, 1,
                          "without the result");
  scenario_destroy (scenario);
}

static void
test_too_few_answers_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_run (scenario, 1, 100, 200);
  scenario_add_start (scenario, 100, 1, 1, 1)->index = 1;
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FINISHED)->index = 1;
  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_DONE)->tasks = 2;
  scenario_expect_broken (scenario, COLT_HISTORY_WRONG_ANSWER, 1,
                          "result of task 1");
  scenario_destroy (scenario);
}

static void
test_unreadable_answer_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_MALFORMED);
  scenario_add_call (scenario, 2, 50, 210, COLT_HISTORY_NONE);
  scenario_expect_broken (scenario, COLT_HISTORY_WRONG_ANSWER, 2,
                          "can't be read");
  scenario_destroy (scenario);
}

static void
test_not_run_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_call (scenario, 1, 50, 60, COLT_HISTORY_NOT_RUN);
  scenario_add_call (scenario, 2, 50, 60, COLT_HISTORY_UNKNOWN);
  scenario_add_run (scenario, 2, 100, 200);
  scenario_add_call (scenario, 3, 50, 60, COLT_HISTORY_NOT_RUN)->request = 0;
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 90000, 1, 1, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_FALSE_NOT_RUN, 1,
                          "was said not to have run");
  scenario_destroy (scenario);
}

static void
test_keys_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_key_ (scenario, "", 1000);
  scenario_add_run (scenario, 1, 8000, 9000);
  scenario_add_call (scenario, 1, 4000, 9000, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 2, 5000, 5010, COLT_HISTORY_NOT_RUN);
  scenario_add_call (scenario, 3, 5000, 5010, COLT_HISTORY_UNKNOWN);
  scenario_expect_good (scenario);
  scenario_add_run (scenario, 4, 6000, 7000);
  scenario_add_call (scenario, 4, 4001, 7000, COLT_HISTORY_DONE);
  scenario_expect_broken (scenario, COLT_HISTORY_LATE_KEY, 1, "3001 ms after");
  scenario_destroy (scenario);
}

/* A start with a withdrawn key is a violation whatever the outcome is. */
static void
test_key_started_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_key_ (scenario, "", 1000);
  scenario_add_run (scenario, 1, 6000, 7000);
  scenario_add_call (scenario, 1, 5000, 9000, COLT_HISTORY_UNKNOWN);
  scenario_expect_broken (scenario, COLT_HISTORY_LATE_KEY, 1,
                          "of team a was accepted");
  scenario_destroy (scenario);
}

static void
test_key_of_others_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_key_ (scenario, "layouts", 1000);
  scenario_add_run (scenario, 1, 6000, 7000);
  scenario_add_call (scenario, 1, 5000, 7000, COLT_HISTORY_DONE);
  scenario_expect_good (scenario);
  add_key_ (scenario, "quotes", 1500);
  scenario_expect_broken (scenario, COLT_HISTORY_LATE_KEY, 1, "3500 ms after");
  scenario_destroy (scenario);
}

static void
test_done_without_finish_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_LAPSED);
  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_DONE);
  scenario_expect_broken (scenario, COLT_HISTORY_CONTRADICTION, 1,
                          "on record as lapsed");
  scenario_destroy (scenario);
}

static void
test_two_outcomes_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_run (scenario, 1, 100, 200);
  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 1, 50, 220, COLT_HISTORY_DONE);
  scenario_add_call (scenario, 1, 50, 230, COLT_HISTORY_UNKNOWN);
  scenario_expect_good (scenario);
  scenario_add_call (scenario, 1, 50, 240, COLT_HISTORY_FAILED);
  scenario_expect_broken (scenario, COLT_HISTORY_CONTRADICTION, 1,
                          "done, then failed");
  scenario_add_call (scenario, 2, 50, 210, COLT_HISTORY_NOT_RUN);
  scenario_add_call (scenario, 2, 50, 220, COLT_HISTORY_CANCELLED);
  scenario_expect_broken (scenario, COLT_HISTORY_CONTRADICTION, 2,
                          "done, then failed");
  scenario_destroy (scenario);
}

void
test_calls_add (void)
{
  g_test_add_func ("/history/answer/good", test_good_answers_);
  g_test_add_func ("/history/answer/crossed", test_crossed_answers_);
  g_test_add_func ("/history/answer/truncated", test_truncated_answer_);
  g_test_add_func ("/history/answer/missing", test_missing_answer_);
  g_test_add_func ("/history/answer/too-few", test_too_few_answers_);
  g_test_add_func ("/history/answer/unreadable", test_unreadable_answer_);
  g_test_add_func ("/history/not-run", test_not_run_);
  g_test_add_func ("/history/key/late", test_keys_);
  g_test_add_func ("/history/key/started", test_key_started_);
  g_test_add_func ("/history/key/others", test_key_of_others_);
  g_test_add_func ("/history/contradiction/end", test_done_without_finish_);
  g_test_add_func ("/history/contradiction/two", test_two_outcomes_);
}
