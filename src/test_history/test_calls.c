/* Answers, refusals and keys. */
#include "story.h"
#include "test_history.h"

static void
add_key_ (struct ColtStory *story, const char *class, int64_t t_ms)
{
  const struct ColtHistoryKey key
      = { colt_history_intern (story->history, "a"),
          colt_history_intern (story->history, class), t_ms * COLT_US_PER_MS };

  g_array_append_val (story->history->run.keys, key);
}

static struct ColtHistoryAnswer *
answer_ (struct ColtStory *story, guint number)
{
  return &g_array_index (story->history->answers, struct ColtHistoryAnswer,
                         number);
}

static struct ColtStory *
create_two_ (void)
{
  struct ColtStory *story = story_create ();

  story_run (story, 1, 100, 200);
  story_run (story, 2, 100, 200);
  story_call (story, 1, 50, 210, COLT_HISTORY_DONE);
  story_call (story, 2, 50, 210, COLT_HISTORY_DONE);
  return story;
}

static void
test_good_answers_ (void)
{
  struct ColtStory *story = create_two_ ();

  story_expect_good (story);
  story_destroy (story);
}

static void
test_crossed_answers_ (void)
{
  struct ColtStory *story = create_two_ ();
  struct ColtHistoryAnswer first = *answer_ (story, 0);

  *answer_ (story, 0) = *answer_ (story, 1);
  *answer_ (story, 1) = first;
  story_expect (story, COLT_HISTORY_WRONG_ANSWER, 2,
                "got the result of "
                "01010000000000000000000000000002-0 as that of task 0");
  story_destroy (story);
}

static void
test_truncated_answer_ (void)
{
  struct ColtStory *story = create_two_ ();

  answer_ (story, 1)->checksum++;
  story_expect (story, COLT_HISTORY_WRONG_ANSWER, 1, "that is not its own");
  story_destroy (story);
}

static void
test_missing_answer_ (void)
{
  struct ColtStory *story = create_two_ ();

  answer_ (story, 0)->present = false;
  story_expect (story, COLT_HISTORY_WRONG_ANSWER, 1, "without the result");
  story_destroy (story);
}

static void
test_too_few_answers_ (void)
{
  struct ColtStory *story = story_create ();

  story_run (story, 1, 100, 200);
  story_start (story, 100, 1, 1, 1)->index = 1;
  story_end (story, 200, 1, 1, 1, COLT_TASK_FINISHED)->index = 1;
  story_call (story, 1, 50, 210, COLT_HISTORY_DONE)->tasks = 2;
  story_expect (story, COLT_HISTORY_WRONG_ANSWER, 1, "result of task 1");
  story_destroy (story);
}

static void
test_unreadable_answer_ (void)
{
  struct ColtStory *story = story_create ();

  story_call (story, 1, 50, 210, COLT_HISTORY_MALFORMED);
  story_call (story, 2, 50, 210, COLT_HISTORY_NONE);
  story_expect (story, COLT_HISTORY_WRONG_ANSWER, 2, "can't be read");
  story_destroy (story);
}

static void
test_not_run_ (void)
{
  struct ColtStory *story = story_create ();

  story_call (story, 1, 50, 60, COLT_HISTORY_NOT_RUN);
  story_call (story, 2, 50, 60, COLT_HISTORY_UNKNOWN);
  story_run (story, 2, 100, 200);
  story_call (story, 3, 50, 60, COLT_HISTORY_NOT_RUN)->request = 0;
  story_expect_good (story);
  story_start (story, 90000, 1, 1, 1);
  story_expect (story, COLT_HISTORY_FALSE_NOT_RUN, 1,
                "was said not to have run");
  story_destroy (story);
}

static void
test_keys_ (void)
{
  struct ColtStory *story = story_create ();

  add_key_ (story, "", 1000);
  story_run (story, 1, 8000, 9000);
  story_call (story, 1, 4000, 9000, COLT_HISTORY_DONE);
  story_call (story, 2, 5000, 5010, COLT_HISTORY_NOT_RUN);
  story_call (story, 3, 5000, 5010, COLT_HISTORY_UNKNOWN);
  story_expect_good (story);
  story_run (story, 4, 6000, 7000);
  story_call (story, 4, 4001, 7000, COLT_HISTORY_DONE);
  story_expect (story, COLT_HISTORY_LATE_KEY, 1, "3001 ms after");
  story_destroy (story);
}

/* A start counts, whatever the caller was told. */
static void
test_key_started_ (void)
{
  struct ColtStory *story = story_create ();

  add_key_ (story, "", 1000);
  story_run (story, 1, 6000, 7000);
  story_call (story, 1, 5000, 9000, COLT_HISTORY_UNKNOWN);
  story_expect (story, COLT_HISTORY_LATE_KEY, 1, "of team a was taken");
  story_destroy (story);
}

static void
test_key_of_others_ (void)
{
  struct ColtStory *story = story_create ();

  add_key_ (story, "layouts", 1000);
  story_run (story, 1, 6000, 7000);
  story_call (story, 1, 5000, 7000, COLT_HISTORY_DONE);
  story_expect_good (story);
  add_key_ (story, "quotes", 1500);
  story_expect (story, COLT_HISTORY_LATE_KEY, 1, "3500 ms after");
  story_destroy (story);
}

static void
test_done_without_finish_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_end (story, 200, 1, 1, 1, COLT_TASK_LAPSED);
  story_call (story, 1, 50, 210, COLT_HISTORY_DONE);
  story_expect (story, COLT_HISTORY_CONTRADICTION, 1, "on record as lapsed");
  story_destroy (story);
}

static void
test_two_outcomes_ (void)
{
  struct ColtStory *story = story_create ();

  story_run (story, 1, 100, 200);
  story_call (story, 1, 50, 210, COLT_HISTORY_DONE);
  story_call (story, 1, 50, 220, COLT_HISTORY_DONE);
  story_call (story, 1, 50, 230, COLT_HISTORY_UNKNOWN);
  story_expect_good (story);
  story_call (story, 1, 50, 240, COLT_HISTORY_FAILED);
  story_expect (story, COLT_HISTORY_CONTRADICTION, 1, "done, then failed");
  story_call (story, 2, 50, 210, COLT_HISTORY_NOT_RUN);
  story_call (story, 2, 50, 220, COLT_HISTORY_CANCELLED);
  story_expect (story, COLT_HISTORY_CONTRADICTION, 2, "done, then failed");
  story_destroy (story);
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
