/* Capacity, upper limits and leaving servers. */
#include "story.h"
#include "test_history.h"

enum
{
  RANDOM_ROUNDS = 200,
  RANDOM_TASKS = 12
};

static void
test_fits_exactly_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 1; request <= 4; request++)
    story_start (story, 100, 1, request, 1);
  for (request = 1; request <= 4; request++)
    story_end (story, 200, 1, request, 1, COLT_TASK_FINISHED);
  for (request = 5; request <= 8; request++)
    story_start (story, 200, 1, request, 1);
  story_expect_good (story);
  story_destroy (story);
}

static void
test_each_resource_ (void)
{
  int resource;

  for (resource = 0; resource < COLT_RESOURCE_COUNT; resource++)
    {
      struct ColtStory *story = story_create ();
      struct ColtHistoryEvent *event;

      story_start (story, 100, 2, 1, 1);
      event = story_start (story, 150, 2, 2, 1);
      event->limit.amount[resource] = 65536;
      story_end (story, 200, 2, 1, 1, COLT_TASK_FINISHED);
      story_expect (story, COLT_HISTORY_OVERCOMMITTED, 1,
                    colt_resource_string[resource]);
      story_destroy (story);
    }
}

/* One excess, however long it lasts and however much is added to it. */
static void
test_counts_excesses_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 1; request <= 6; request++)
    story_start (story, 100 + request, 1, request, 1);
  for (request = 1; request <= 6; request++)
    story_end (story, 200 + request, 1, request, 1, COLT_TASK_FINISHED);
  for (request = 11; request <= 15; request++)
    story_start (story, 300, 1, request, 1);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 2, "server 1 holds 5000");
  story_destroy (story);
}

static void
test_resize_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryEvent *event;

  story_start (story, 100, 1, 1, 1);
  story_start (story, 100, 1, 2, 1);
  event = story_start (story, 150, 1, 1, 1);
  event->kind = COLT_HISTORY_RESIZE;
  event->limit.amount[COLT_RESOURCE_MEMORY] = 4000;
  story_end (story, 200, 1, 1, 1, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 1, "4256 memory_mb of 4096");
  story_destroy (story);
}

static void
test_word_of_server_ (void)
{
  struct ColtStory *story = story_create ();

  story_start (story, 100, 3, 1, 1);
  story_event (story, 120, 3, COLT_HISTORY_OVER);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 1, "server 3 recorded");
  story_destroy (story);
}

static void
test_word_agrees_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 1; request <= 5; request++)
    story_start (story, 100 + request, 1, request, 1);
  story_event (story, 105, 1, COLT_HISTORY_OVER);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 1, "server 1 holds");
  story_destroy (story);
}

/* A killed server has ended its tasks, also where no end is on record. */
static void
test_killed_ (void)
{
  struct ColtStory *story = story_create ();
  unsigned request;

  for (request = 1; request <= 4; request++)
    story_start (story, 100, 1, request, 1);
  story_event (story, 150, 1, COLT_HISTORY_DOWN);
  for (request = 5; request <= 8; request++)
    story_start (story, 150, 1, request, 1);
  story_period (story->history->run.killed, 1, 200, 300);
  for (request = 9; request <= 12; request++)
    story_start (story, 300, 1, request, 1);
  story_expect_good (story);
  story_start (story, 310, 1, 13, 1);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 1, "5000 cores_milli");
  story_start (story, 199, 1, 14, 1);
  story_expect (story, COLT_HISTORY_OVERCOMMITTED, 2, "5000 cores_milli");
  story_destroy (story);
}

/* The sweep finds what a look at each start finds. */
static void
test_random_capacity_ (void)
{
  GRand *random = g_rand_new_with_seed (7);
  int64_t from[RANDOM_TASKS];
  int64_t to[RANDOM_TASKS];
  int broken = 0;
  int round;

  for (round = 0; round < RANDOM_ROUNDS; round++)
    {
      struct ColtStory *story = story_create ();
      bool over = false;
      int i;
      int k;

      for (i = 0; i < RANDOM_TASKS; i++)
        {
          from[i] = g_rand_int_range (random, 0, 50);
          to[i] = from[i] + g_rand_int_range (random, 0, 15);
          story_start (story, from[i], 1, i, 1);
          story_end (story, to[i], 1, i, 1, COLT_TASK_FINISHED);
        }
      for (i = 0; i < RANDOM_TASKS; i++)
        {
          int running = 0;

          for (k = 0; k < RANDOM_TASKS; k++)
            running += from[k] <= from[i] && to[k] > from[i];
          over = over || running > 4;
        }
      if (over)
        {
          struct ColtHistorySpans *spans
              = colt_history_spans_create (story->history);
          struct ColtHistoryVerdict *verdict
              = colt_history_check (story->history, spans);

          g_assert_cmpuint (verdict->counts[COLT_HISTORY_OVERCOMMITTED], >, 0);
          colt_history_verdict_destroy (verdict);
          colt_history_spans_destroy (spans);
          broken++;
        }
      else
        story_expect_good (story);
      story_destroy (story);
    }
  g_assert_cmpint (broken, >, RANDOM_ROUNDS / 10);
  g_assert_cmpint (broken, <, RANDOM_ROUNDS * 9 / 10);
  g_rand_free (random);
}

static void
test_limit_over_zones_ (void)
{
  struct ColtStory *story = story_create ();
  uint32_t server;

  story_limit (story, 0, 3);
  for (server = 1; server <= 3; server++)
    story_start (story, 100, server, server, 1);
  story_end (story, 200, 1, 1, 1, COLT_TASK_FINISHED);
  story_start (story, 200, 1, 4, 1);
  story_expect_good (story);
  story_start (story, 250, 2, 5, 1);
  story_expect (story, COLT_HISTORY_OVER_LIMIT, 1, "team a runs 4 tasks of 3");
  story_destroy (story);
}

static void
test_limit_of_amounts_ (void)
{
  struct ColtStory *story = story_create ();
  struct ColtHistoryLimit *limit;

  story_limit (story, 0, COLT_HISTORY_UNLIMITED);
  limit
      = &g_array_index (story->history->run.limits, struct ColtHistoryLimit, 0);
  limit->cores_milli = 2000;
  limit->accelerators = 1;
  story_start (story, 100, 1, 1, 1);
  story_start (story, 100, 2, 2, 1)->limit.amount[COLT_RESOURCE_ACCELERATORS]
      = 1;
  story_expect_good (story);
  story_start (story, 110, 3, 3, 1);
  story_expect (story, COLT_HISTORY_OVER_LIMIT, 1, "3000 cores_milli of 2000");
  story_end (story, 105, 1, 1, 1, COLT_TASK_FINISHED);
  story_expect_good (story);
  story_start (story, 106, 1, 4, 1)->limit
      = (struct ColtResources){ { 0, 0, 1, 1, 0 } };
  story_expect (story, COLT_HISTORY_OVER_LIMIT, 2, "2 accelerators of 1");
  story_destroy (story);
}

/* A lower limit counts for starts after the grace time, a higher one at once.
 */
static void
test_limit_changes_ (void)
{
  struct ColtStory *story = story_create ();

  story_limit (story, 0, 2);
  story_limit (story, 1000, 1);
  story_limit (story, 9000, 2);
  story_start (story, 100, 1, 1, 1);
  story_start (story, 3999, 1, 2, 1);
  story_expect_good (story);
  story_start (story, 4000, 2, 7, 1);
  story_end (story, 4001, 2, 7, 1, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_OVER_LIMIT, 1, "3 tasks of 1");
  g_array_set_size (story->history->events, story->history->events->len - 2);
  story_start (story, 9000, 1, 3, 1);
  story_end (story, 8000, 1, 1, 1, COLT_TASK_FINISHED);
  story_expect_good (story);
  story_end (story, 5000, 1, 2, 1, COLT_TASK_FINISHED);
  story_start (story, 6000, 2, 4, 1);
  story_end (story, 8000, 2, 4, 1, COLT_TASK_FINISHED);
  story_expect (story, COLT_HISTORY_OVER_LIMIT, 1, "2 tasks of 1");
  story_destroy (story);
}

static void
test_leaving_ (void)
{
  struct ColtStory *story = story_create ();

  story_period (story->history->run.leaving, 1, 1000, 100000);
  story_start (story, 4000, 1, 1, 1);
  story_start (story, 9000, 2, 2, 1);
  story_expect_good (story);
  story_start (story, 4001, 1, 3, 1);
  story_expect (story, COLT_HISTORY_LATE_LEAVING, 1, "3001 ms after");
  story_destroy (story);
}

static void
test_leaving_by_word_ (void)
{
  struct ColtStory *story = story_create ();

  story_event (story, 20000, 1, COLT_HISTORY_LEAVING)->leaving = false;
  story_event (story, 1000, 1, COLT_HISTORY_LEAVING)->leaving = true;
  story_start (story, 20000, 1, 1, 1);
  story_expect_good (story);
  story_start (story, 19999, 1, 2, 1);
  story_expect (story, COLT_HISTORY_LATE_LEAVING, 1, "started on server 1");
  story_destroy (story);
}

void
test_servers_add (void)
{
  g_test_add_func ("/history/capacity/exact", test_fits_exactly_);
  g_test_add_func ("/history/capacity/resources", test_each_resource_);
  g_test_add_func ("/history/capacity/excesses", test_counts_excesses_);
  g_test_add_func ("/history/capacity/resize", test_resize_);
  g_test_add_func ("/history/capacity/word", test_word_of_server_);
  g_test_add_func ("/history/capacity/word-agrees", test_word_agrees_);
  g_test_add_func ("/history/capacity/killed", test_killed_);
  g_test_add_func ("/history/capacity/random", test_random_capacity_);
  g_test_add_func ("/history/limit/zones", test_limit_over_zones_);
  g_test_add_func ("/history/limit/amounts", test_limit_of_amounts_);
  g_test_add_func ("/history/limit/changes", test_limit_changes_);
  g_test_add_func ("/history/leaving/run", test_leaving_);
  g_test_add_func ("/history/leaving/word", test_leaving_by_word_);
}
