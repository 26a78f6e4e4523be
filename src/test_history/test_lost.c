/* Work that was taken and never ran, or whose answer never came. */
#include "story.h"
#include "test_history.h"

enum
{
  LOAD_END_MS = 60000
};

static struct ColtHistoryCall *
open_call_ (struct ColtStory *story,
            unsigned request,
            int64_t sent_ms,
            enum ColtHistoryOutcome outcome)
{
  struct ColtHistoryCall *call
      = story_call (story, request, sent_ms, LOAD_END_MS, outcome);

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
  struct ColtStory *story = story_create ();

  story_call (story, 1, 50, 210, COLT_HISTORY_DONE);
  story_expect (story, COLT_HISTORY_LOST, 1, "not all tasks ever started");
  story_destroy (story);
}

static void
test_never_started_ (void)
{
  struct ColtStory *story = story_create ();

  open_call_ (story, 1, 1000, COLT_HISTORY_ACCEPTED);
  story_expect (story, COLT_HISTORY_LOST, 1, "never started");
  story_destroy (story);
}

static void
test_no_answer_ (void)
{
  struct ColtStory *story = story_create ();

  open_call_ (story, 1, 1000, COLT_HISTORY_NO_ANSWER)->request = 0;
  story_expect (story, COLT_HISTORY_LOST, 1, "without an id");
  story_destroy (story);
}

/* What came within the last seconds of the load may still wait. */
static void
test_just_sent_ (void)
{
  struct ColtStory *story = story_create ();

  open_call_ (story, 1, LOAD_END_MS - 9000, COLT_HISTORY_ACCEPTED);
  open_call_ (story, 2, LOAD_END_MS - 9000, COLT_HISTORY_NO_ANSWER);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_given_up_ (void)
{
  struct ColtStory *story = story_create ();

  story_call (story, 1, 1000, 5000, COLT_HISTORY_NO_ANSWER);
  open_call_ (story, 2, LOAD_END_MS - 1000, COLT_HISTORY_ACCEPTED);
  story_expect (story, COLT_HISTORY_LOST, 1, "was given up");
  open_call_ (story, 3, LOAD_END_MS - 100, COLT_HISTORY_NO_ANSWER)->calls = 20;
  story_expect (story, COLT_HISTORY_LOST, 2, "was given up");
  story_start (story, 1500, 1, 1, 1);
  story_expect (story, COLT_HISTORY_LOST, 2, "was given up");
  story_destroy (story);
}

static void
test_still_runs_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 2000, 1, 1, 1);
  open_call_ (story, 1, 1000, COLT_HISTORY_ACCEPTED);
  story_expect_good (story);
  story_end (story, LOAD_END_MS - 5000, 1, 1, 1, COLT_TASK_FINISHED);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_ended_unanswered_ (void)
{
  struct ColtStory *story = story_create ();

  story_run (story, 1, 2000, 3000);
  open_call_ (story, 1, 1000, COLT_HISTORY_ACCEPTED);
  story_expect (story, COLT_HISTORY_LOST, 1, "its answer never came");
  story_destroy (story);
}

/* A queue that moves on in order may hold work longer. */
static void
test_moving_queue_ (void)
{
  struct ColtStory *story = story_create ();

  story_run (story, 1, LOAD_END_MS - 2000, LOAD_END_MS - 1000);
  story_call (story, 1, 1000, LOAD_END_MS - 900, COLT_HISTORY_DONE);
  open_call_ (story, 2, 1100, COLT_HISTORY_ACCEPTED);
  story_expect_good (story);
  story_run (story, 3, LOAD_END_MS - 2000, LOAD_END_MS - 1000);
  story_call (story, 3, 20000, LOAD_END_MS - 900, COLT_HISTORY_DONE);
  story_expect (story, COLT_HISTORY_LOST, 1, "never started");
  story_destroy (story);
}

static void
test_full_fleet_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 10; request < 22; request++)
    story_start (story, 1000, request % STORY_SERVERS + 1, request, 1);
  story_event (story, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  open_call_ (story, 1, 1100, COLT_HISTORY_ACCEPTED);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_team_at_limit_ (void)
{
  struct ColtStory *story = story_create ();

  story_limit (story, 0, 1);
  story_start (story, 1000, 1, 2, 1);
  story_event (story, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  open_call_ (story, 1, 1100, COLT_HISTORY_ACCEPTED);
  story_expect_good (story);
  story_end (story, LOAD_END_MS - 20000, 1, 2, 1, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_LOST, 1, "never started");
  story_destroy (story);
}

/* A deadline ends every wait. */
static void
test_deadline_ (void)
{
  struct ColtStory *story = story_create ();

  story_limit (story, 0, 1);
  story_start (story, 1000, 1, 2, 1);
  story_event (story, LOAD_END_MS, 1, COLT_HISTORY_APPEND);
  open_call_ (story, 1, 1100, COLT_HISTORY_ACCEPTED)->deadline_ms = 8000;
  story_expect (story, COLT_HISTORY_LOST, 1, "by its deadline");
  story_destroy (story);
}

static void
test_forgotten_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryCall *call;

  call = open_call_ (story, 1, 1000, COLT_HISTORY_ACCEPTED);
  call->outcome = COLT_HISTORY_NOT_RUN;
  call->reason = colt_history_intern (story->history, "deadline");
  story_call (story, 2, 1000, 1010, COLT_HISTORY_UNKNOWN);
  story_expect_good (story);
  call = open_call_ (story, 3, 1000, COLT_HISTORY_ACCEPTED);
  call->outcome = COLT_HISTORY_UNKNOWN;
  call->reason = colt_history_intern (story->history, "history_lost");
  story_expect (story, COLT_HISTORY_LOST, 1, "forgotten");
  story_destroy (story);
}

void
test_lost_add (void)
{
  g_test_add_func ("/history/lost/done", test_done_without_start_);
  g_test_add_func ("/history/lost/never-started", test_never_started_);
  g_test_add_func ("/history/lost/no-answer", test_no_answer_);
  g_test_add_func ("/history/lost/just-sent", test_just_sent_);
  g_test_add_func ("/history/lost/given-up", test_given_up_);
  g_test_add_func ("/history/lost/still-runs", test_still_runs_);
  g_test_add_func ("/history/lost/unanswered", test_ended_unanswered_);
  g_test_add_func ("/history/lost/moving", test_moving_queue_);
  g_test_add_func ("/history/lost/full", test_full_fleet_);
  g_test_add_func ("/history/lost/limit", test_team_at_limit_);
  g_test_add_func ("/history/lost/deadline", test_deadline_);
  g_test_add_func ("/history/lost/forgotten", test_forgotten_);
}
