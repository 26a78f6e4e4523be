/* Tests of the checks of capacity, upper limits and leaving servers. */
#include "scenario.h"
#include "test_history.h"

enum
{
  RANDOM_ROUNDS = 200,
  RANDOM_TASKS = 12
};

static void
test_fits_exactly_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 1; request <= 4; request++)
    scenario_add_start (scenario, 100, 1, request, 1);
  for (request = 1; request <= 4; request++)
    scenario_add_end (scenario, 200, 1, request, 1, COLT_TASK_FINISHED);
  for (request = 5; request <= 8; request++)
    scenario_add_start (scenario, 200, 1, request, 1);
  scenario_expect_good (scenario);
  scenario_destroy (scenario);
}

static void
test_each_resource_ (void)
{
  int resource;

  for (resource = 0; resource < COLT_RESOURCE_COUNT; resource++)
    {
      struct ColtScenario *scenario = scenario_create ();
      struct ColtHistoryEvent *event;

      scenario_add_start (scenario, 100, 2, 1, 1);
      event = scenario_add_start (scenario, 150, 2, 2, 1);
      event->limit.amount[resource] = 65536;
      scenario_add_end (scenario, 200, 2, 1, 1, COLT_TASK_FINISHED);
      scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 1,
                              colt_resource_string[resource]);
      scenario_destroy (scenario);
    }
}

/* An excess is counted once, however long it lasts and however many tasks start
 * during it. */
static void
test_counts_excesses_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 1; request <= 6; request++)
    scenario_add_start (scenario, 100 + request, 1, request, 1);
  for (request = 1; request <= 6; request++)
    scenario_add_end (scenario, 200 + request, 1, request, 1,
                      COLT_TASK_FINISHED);
  for (request = 11; request <= 15; request++)
    scenario_add_start (scenario, 300, 1, request, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 2,
                          "server 1 holds 5000");
  scenario_destroy (scenario);
}

static void
test_resize_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryEvent *event;

  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 100, 1, 2, 1);
  event = scenario_add_start (scenario, 150, 1, 1, 1);
  event->kind = COLT_HISTORY_RESIZE;
  event->limit.amount[COLT_RESOURCE_MEMORY] = 4000;
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 1,
                          "4256 memory_mb of 4096");
  scenario_destroy (scenario);
}

static void
test_server_record_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_start (scenario, 100, 3, 1, 1);
  scenario_add_event (scenario, 120, 3, COLT_HISTORY_OVER);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 1,
                          "server 3 recorded");
  scenario_destroy (scenario);
}

static void
test_server_record_agrees_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 1; request <= 5; request++)
    scenario_add_start (scenario, 100 + request, 1, request, 1);
  scenario_add_event (scenario, 105, 1, COLT_HISTORY_OVER);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 1,
                          "server 1 holds");
  scenario_destroy (scenario);
}

/* A kill ends all tasks of the server, even without recorded ends. */
static void
test_killed_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  unsigned request;

  for (request = 1; request <= 4; request++)
    scenario_add_start (scenario, 100, 1, request, 1);
  scenario_add_event (scenario, 150, 1, COLT_HISTORY_DOWN);
  for (request = 5; request <= 8; request++)
    scenario_add_start (scenario, 150, 1, request, 1);
  scenario_add_period (scenario->history->run.killed, 1, 200, 300);
  for (request = 9; request <= 12; request++)
    scenario_add_start (scenario, 300, 1, request, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 310, 1, 13, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 1,
                          "5000 cores_milli");
  scenario_add_start (scenario, 199, 1, 14, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_OVERCOMMITTED, 2,
                          "5000 cores_milli");
  scenario_destroy (scenario);
}

/* The check agrees with a separate count of the running tasks at each start. */
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
      struct ColtScenario *scenario = scenario_create ();
      bool over = false;
      int i;
      int k;

      for (i = 0; i < RANDOM_TASKS; i++)
        {
          from[i] = g_rand_int_range (random, 0, 50);
          to[i] = from[i] + g_rand_int_range (random, 0, 15);
          scenario_add_start (scenario, from[i], 1, i, 1);
          scenario_add_end (scenario, to[i], 1, i, 1, COLT_TASK_FINISHED);
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
              = colt_history_spans_create (scenario->history);
          struct ColtHistoryVerdict *verdict
              = colt_history_check (scenario->history, spans);

          g_assert_cmpuint (verdict->counts[COLT_HISTORY_OVERCOMMITTED], >, 0);
          colt_history_verdict_destroy (verdict);
          colt_history_spans_destroy (spans);
          broken++;
        }
      else
        scenario_expect_good (scenario);
      scenario_destroy (scenario);
    }
  g_assert_cmpint (broken, >, RANDOM_ROUNDS / 10);
  g_assert_cmpint (broken, <, RANDOM_ROUNDS * 9 / 10);
  g_rand_free (random);
}

static void
test_limit_over_zones_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  uint32_t server;

  scenario_add_limit (scenario, 0, 3);
  for (server = 1; server <= 3; server++)
    scenario_add_start (scenario, 100, server, server, 1);
  scenario_add_end (scenario, 200, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_add_start (scenario, 200, 1, 4, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 250, 2, 5, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_OVER_LIMIT, 1,
                          "team a runs 4 tasks of 3");
  scenario_destroy (scenario);
}

static void
test_limit_of_amounts_ (void)
{
  struct ColtScenario *scenario = scenario_create ();
  struct ColtHistoryLimit *limit;

  scenario_add_limit (scenario, 0, COLT_HISTORY_UNLIMITED);
  limit = &g_array_index (scenario->history->run.limits,
                          struct ColtHistoryLimit, 0);
  limit->cores_milli = 2000;
  limit->accelerators = 1;
  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 100, 2, 2, 1)
      ->limit.amount[COLT_RESOURCE_ACCELERATORS]
      = 1;
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 110, 3, 3, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_OVER_LIMIT, 1,
                          "3000 cores_milli of 2000");
  scenario_add_end (scenario, 105, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 106, 1, 4, 1)->limit
      = (struct ColtResources){ { 0, 0, 1, 1, 0 } };
  scenario_expect_broken (scenario, COLT_HISTORY_OVER_LIMIT, 2,
                          "2 accelerators of 1");
  scenario_destroy (scenario);
}

/* A lower limit applies to starts after the grace time, a higher one
 * immediately. */
static void
test_limit_changes_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_limit (scenario, 0, 2);
  scenario_add_limit (scenario, 1000, 1);
  scenario_add_limit (scenario, 9000, 2);
  scenario_add_start (scenario, 100, 1, 1, 1);
  scenario_add_start (scenario, 3999, 1, 2, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 4000, 2, 7, 1);
  scenario_add_end (scenario, 4001, 2, 7, 1, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_OVER_LIMIT, 1, "3 tasks of 1");
  g_array_set_size (scenario->history->events,
                    scenario->history->events->len - 2);
  scenario_add_start (scenario, 9000, 1, 3, 1);
  scenario_add_end (scenario, 8000, 1, 1, 1, COLT_TASK_FINISHED);
  scenario_expect_good (scenario);
  scenario_add_end (scenario, 5000, 1, 2, 1, COLT_TASK_FINISHED);
  scenario_add_start (scenario, 6000, 2, 4, 1);
  scenario_add_end (scenario, 8000, 2, 4, 1, COLT_TASK_FINISHED);
  scenario_expect_broken (scenario, COLT_HISTORY_OVER_LIMIT, 1, "2 tasks of 1");
  scenario_destroy (scenario);
}

static void
test_leaving_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_period (scenario->history->run.leaving, 1, 1000, 100000);
  scenario_add_start (scenario, 4000, 1, 1, 1);
  scenario_add_start (scenario, 9000, 2, 2, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 4001, 1, 3, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_LATE_LEAVING, 1,
                          "3001 ms after");
  scenario_destroy (scenario);
}

static void
test_leaving_by_server_record_ (void)
{
  struct ColtScenario *scenario = scenario_create ();

  scenario_add_event (scenario, 20000, 1, COLT_HISTORY_LEAVING)->leaving
      = false;
  scenario_add_event (scenario, 1000, 1, COLT_HISTORY_LEAVING)->leaving = true;
  scenario_add_start (scenario, 20000, 1, 1, 1);
  scenario_expect_good (scenario);
  scenario_add_start (scenario, 19999, 1, 2, 1);
  scenario_expect_broken (scenario, COLT_HISTORY_LATE_LEAVING, 1,
                          "started on server 1");
  scenario_destroy (scenario);
}

void
test_servers_add (void)
{
  g_test_add_func ("/history/capacity/exact", test_fits_exactly_);
  g_test_add_func ("/history/capacity/resources", test_each_resource_);
  g_test_add_func ("/history/capacity/excesses", test_counts_excesses_);
  g_test_add_func ("/history/capacity/resize", test_resize_);
  g_test_add_func ("/history/capacity/server-record", test_server_record_);
  g_test_add_func ("/history/capacity/server-record-agrees",
                   test_server_record_agrees_);
  g_test_add_func ("/history/capacity/killed", test_killed_);
  g_test_add_func ("/history/capacity/random", test_random_capacity_);
  g_test_add_func ("/history/limit/zones", test_limit_over_zones_);
  g_test_add_func ("/history/limit/amounts", test_limit_of_amounts_);
  g_test_add_func ("/history/limit/changes", test_limit_changes_);
  g_test_add_func ("/history/leaving/run", test_leaving_);
  g_test_add_func ("/history/leaving/server-record",
                   test_leaving_by_server_record_);
}
