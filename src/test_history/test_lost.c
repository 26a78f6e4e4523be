/* Tests of accepted work that never starts or is never answered. */
#include "scenario.h"
#include "test_history.h"

enum
{
  LOAD_END_MS = 60000
};

/* Adds a request that has not ended when the load ends. */
static struct ColtHistoryCall *
add_open_call_ (struct ColtScenario *scenario,
                unsigned request,
                int64_t sent_ms,
                enum ColtHistoryOutcome outcome)
{
  struct ColtHistoryCall *call
      = scenario_add_call (scenario, request, sent_ms, LOAD_END_MS, outcome);

  if (outcome == COLT_HISTORY_ACCEPTED)
    {
      call->accepted_us = call->sent_us + COLT_US_PER_MS;
      call->wait = false;
    }
  return call;
}

static void
test_done_without_start_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_call (scenario, 1, 50, 210, COLT_HISTORY_DONE);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1,
                          "not all tasks ever started");
  scenario_destroy (scenario);
}

static void
test_never_started_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_open_call_ (scenario, 1, 1000, COLT_HISTORY_ACCEPTED);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "never started");
  scenario_destroy (scenario);
}

static void
test_no_answer_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_open_call_ (scenario, 1, 1000, COLT_HISTORY_NO_ANSWER)->request = 0;
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "without an id");
  scenario_destroy (scenario);
}

/* Requests sent in the last seconds of the load may still wait. */
static void
test_just_sent_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  add_open_call_ (scenario, 1, LOAD_END_MS - 9000, COLT_HISTORY_ACCEPTED);
  add_open_call_ (scenario, 2, LOAD_END_MS - 9000, COLT_HISTORY_NO_ANSWER);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_abandoned_by_caller_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_call (scenario, 1, 1000, 5000, COLT_HISTORY_NO_ANSWER);
  add_open_call_ (scenario, 2, LOAD_END_MS - 1000, COLT_HISTORY_ACCEPTED);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "was abandoned");
  add_open_call_ (scenario, 3, LOAD_END_MS - 100, COLT_HISTORY_NO_ANSWER)->calls
      = 20;
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 2, "was abandoned");
  scenario_add_start (scenario, 1500, 1, 1, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 2, "was abandoned");
  scenario_destroy (scenario);
}

static void
test_still_runs_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 2000, 1, 1, 1);
  add_open_call_ (scenario, 1, 1000, COLT_HISTORY_ACCEPTED);
  scenario_expect_good (scenario);
  scenario_add_end (scenario, LOAD_END_MS - 5000, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_ended_unanswered_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_run (scenario, 1, 2000, 3000);
  add_open_call_ (scenario, 1, 1000, COLT_HISTORY_ACCEPTED);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1,
                          "its answer never came");
  scenario_destroy (scenario);
}

/* Work may wait longer while its class makes progress in order. */
static void
test_moving_queue_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_run (scenario, 1, LOAD_END_MS - 2000, LOAD_END_MS - 1000);
  scenario_add_call (scenario, 1, 1000, LOAD_END_MS - 900, COLT_HISTORY_DONE);
  add_open_call_ (scenario, 2, 1100, COLT_HISTORY_ACCEPTED);
  scenario_expect_good (scenario);
  scenario_add_run (scenario, 3, LOAD_END_MS - 2000, LOAD_END_MS - 1000);
  scenario_add_call (scenario, 3, 20000, LOAD_END_MS - 900, COLT_HISTORY_DONE);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "never started");
  scenario_destroy (scenario);
}

static void
test_full_fleet_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 10; request < 22; request++)
    scenario_add_start (scenario, 1000, request % SCENARIO_SERVERS + 1, request,
                        1);
  scenario_add_event (scenario, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  add_open_call_ (scenario, 1, 1100, COLT_HISTORY_ACCEPTED);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_team_at_limit_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_limit (scenario, 0, 1);
  scenario_add_start (scenario, 1000, 1, 2, 1);
  scenario_add_event (scenario, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  add_open_call_ (scenario, 1, 1100, COLT_HISTORY_ACCEPTED);
  scenario_expect_good (scenario);
  scenario_add_end (scenario, LOAD_END_MS - 20000, 1, 2, 1, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "never started");
  scenario_destroy (scenario);
}

/* A request must not wait beyond its deadline, even if its team is at a
 * limit. */
static void
test_deadline_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_limit (scenario, 0, 1);
  scenario_add_start (scenario, 1000, 1, 2, 1);
  scenario_add_event (scenario, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  add_open_call_ (scenario, 1, 1100, COLT_HISTORY_ACCEPTED)->deadline_ms = 8000;
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "by its deadline");
  scenario_destroy (scenario);
}

static void
test_dropped_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryCall *call;

  call = add_open_call_ (scenario, 1, 1000, COLT_HISTORY_ACCEPTED);
  call->outcome = COLT_HISTORY_NOT_RUN;
  call->reason = colt_history_intern (scenario->history, "deadline");
  scenario_add_call (scenario, 2, 1000, 1010, COLT_HISTORY_UNKNOWN);
  scenario_expect_good (scenario);
  call = add_open_call_ (scenario, 3, 1000, COLT_HISTORY_ACCEPTED);
  call->outcome = COLT_HISTORY_UNKNOWN;
  call->reason = colt_history_intern (scenario->history, "history_lost");
  scenario_expect_broken (scenario, COLT_HISTORY_LOST, 1, "dropped");
  scenario_destroy (scenario);
}

void
test_lost_add (void)
{
  g_test_add_func ("/history/lost/done", test_done_without_start_);
  g_test_add_func ("/history/lost/never-started", test_never_started_);
  g_test_add_func ("/history/lost/no-answer", test_no_answer_);
  g_test_add_func ("/history/lost/just-sent", test_just_sent_);
  g_test_add_func ("/history/lost/given-up", test_abandoned_by_caller_);
  g_test_add_func ("/history/lost/still-runs", test_still_runs_);
  g_test_add_func ("/history/lost/unanswered", test_ended_unanswered_);
  g_test_add_func ("/history/lost/moving", test_moving_queue_);
  g_test_add_func ("/history/lost/full", test_full_fleet_);
  g_test_add_func ("/history/lost/limit", test_team_at_limit_);
  g_test_add_func ("/history/lost/deadline", test_deadline_);
  g_test_add_func ("/history/lost/forgotten", test_dropped_);
}
