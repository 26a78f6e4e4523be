/* Tasks in two places, and work that isn't idempotent. */
#include "story.h"
#include "test_history.h"

static void
test_retry_after_end_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_end (story, 200, 1, 1, 1, COLT_TASK_FAILED);
  story_start (story, 200, 2, 1, 2);
  story_end (story, 300, 2, 1, 2, COLT_TASK_FINISHED);
  story_call (story, 1, 50, 310, COLT_HISTORY_DONE);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_overlap_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_end (story, 200, 1, 1, 1, COLT_TASK_LAPSED);
  story_start (story, 199, 2, 1, 2);
  story_end (story, 300, 2, 1, 2, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "ran twice at once");
  story_destroy (story);
}

/* The same attempt in two places is no better than two attempts. */
static void
test_same_attempt_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_start (story, 150, 2, 1, 1);
  story_end (story, 300, 1, 1, 1, COLT_TASK_FINISHED);
  story_end (story, 300, 2, 1, 1, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "on server 2");
  story_destroy (story);
}

/* A long run meets all that start within it, not only the next. */
static void
test_long_run_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_start (story, 110, 2, 1, 2);
  story_end (story, 120, 2, 1, 2, COLT_TASK_FAILED);
  story_start (story, 130, 3, 1, 3);
  story_end (story, 140, 3, 1, 3, COLT_TASK_FINISHED);
  story_end (story, 500, 1, 1, 1, COLT_TASK_LAPSED);
  story_expect (story, COLT_HISTORY_DOUBLED, 2, "attempt 2 on server 2");
  story_destroy (story);
}

static void
test_no_end_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_start (story, 9000, 2, 1, 2);
  story_end (story, 9100, 2, 1, 2, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "attempt 2 on server 2");
  story_event (story, 8000, 1, COLT_HISTORY_DOWN);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_other_index_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_start (story, 100, 2, 1, 1)->index = 1;
  story_expect_good (story);
  story_destroy (story);
}

static void
test_not_idempotent_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_end (story, 200, 1, 1, 1, COLT_TASK_FAILED);
  story_call (story, 1, 50, 400, COLT_HISTORY_FAILED)->idempotent = false;
  story_expect_good (story);
  story_start (story, 300, 2, 1, 2);
  story_end (story, 300, 2, 1, 2, COLT_TASK_STOPPED);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "isn't idempotent");
  story_destroy (story);
}

/* A killed server forgets its attempts and may be told to run one again. */
static void
test_again_after_kill_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 1);
  story_event (story, 150, 1, COLT_HISTORY_DOWN);
  story_end (story, 150, 1, 1, 1, COLT_TASK_STOPPED);
  story_start (story, 200, 1, 1, 1);
  story_end (story, 300, 1, 1, 1, COLT_TASK_FINISHED);
  story_expect_good (story);
  story_call (story, 1, 50, 310, COLT_HISTORY_DONE)->idempotent = false;
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "isn't idempotent");
  story_destroy (story);
}

/* Lines come in any order; their times count. */
static void
test_any_order_ (void)
{
  struct ColtStory *story = story_create ();

  story_end (story, 300, 2, 1, 2, COLT_TASK_FINISHED);
  story_start (story, 200, 2, 1, 2);
  story_end (story, 200, 1, 1, 1, COLT_TASK_FAILED);
  story_start (story, 100, 1, 1, 1);
  story_expect_good (story);
  story_start (story, 250, 3, 1, 3);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "attempt 3 on server 3");
  story_destroy (story);
}

/* A start while the task runs elsewhere counts, however short it is; one that
 * begins at the other's end doesn't. */
static void
test_touching_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 1, 1, 2);
  story_end (story, 200, 1, 1, 2, COLT_TASK_FINISHED);
  story_start (story, 100, 2, 1, 1);
  story_end (story, 100, 2, 1, 1, COLT_TASK_FAILED);
  story_expect_good (story);
  story_start (story, 150, 3, 1, 3);
  story_end (story, 150, 3, 1, 3, COLT_TASK_STOPPED);
  story_expect (story, COLT_HISTORY_DOUBLED, 1, "attempt 3 on server 3");
  story_destroy (story);
}

/* Records that don't fit together are counted, not guessed at. */
static void
test_odd_records_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistorySpans *spans;

  story_end (story, 50, 1, 1, 1, COLT_TASK_FINISHED);
  story_start (story, 100, 1, 2, 1);
  story_end (story, 200, 1, 2, 1, COLT_TASK_FINISHED)
      ->limit.amount[COLT_RESOURCE_MEMORY]
      = 512;
  spans = colt_history_spans_create (story->history);
  g_assert_cmpuint (spans->odd_ends, ==, 1);
  g_assert_cmpuint (spans->unseen_resizes, ==, 1);
  g_assert_cmpuint (spans->spans->len, ==, 1);
  colt_history_spans_destroy (spans);
  story_destroy (story);
}

static void
test_many_listed_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 1; request <= 50; request++)
    {
      story_start (story, 1000 * request, 1, request, 1);
      story_start (story, 1000 * request + 1, 2, request, 2);
      story_end (story, 1000 * request + 10, 1, request, 1, COLT_TASK_FINISHED);
      story_end (story, 1000 * request + 10, 2, request, 2, COLT_TASK_FINISHED);
    }
  story_expect (story, COLT_HISTORY_DOUBLED, 50, "ran twice at once");
  story_destroy (story);
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
