#include "tests.h"

/* Whole servers stay free for a task that needs all their accelerators. */
static void
small_tasks_leave_room_ (void)
{
  struct ColtFixture *fixture = test_create ();
  uint32_t first;
  uint32_t second;
  uint32_t large;

  test_add_server (fixture, 64, 8);
  test_add_server (fixture, 64, 8);
  test_add_many (fixture, 1, 2, "a", COLT_WORK_BATCH, 4, 1);
  test_choose (fixture, &first);
  test_choose (fixture, &second);
  g_assert_cmpuint (first, ==, second);
  test_add_many (fixture, 3, 1, "a", COLT_WORK_BATCH, 16, 8);
  test_choose (fixture, &large);
  g_assert_cmpuint (large, !=, first);
  test_destroy (fixture);
}

static void
work_without_accelerators_avoids_them_ (void)
{
  struct ColtFixture *fixture = test_create ();
  uint32_t plain;
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 64, 8);
  plain = test_add_server (fixture, 8, 0);
  test_add_many (fixture, 1, 8, "a", COLT_WORK_BATCH, 1, 0);
  for (i = 0; i < 7; i++)
    {
      test_choose (fixture, &server);
      g_assert_cmpuint (server, ==, plain);
    }
  test_destroy (fixture);
}

/* Work that only such a server can hold still gets one. */
static void
large_work_without_accelerators_runs_ (void)
{
  struct ColtFixture *fixture = test_create ();
  uint32_t accelerated = test_add_server (fixture, 64, 8);
  uint32_t server;

  test_add_server (fixture, 8, 0);
  test_add_many (fixture, 1, 1, "a", COLT_WORK_BATCH, 60, 0);
  test_choose (fixture, &server);
  g_assert_cmpuint (server, ==, accelerated);
  test_destroy (fixture);
}

static void
services_spread_over_racks_ (void)
{
  struct ColtFixture *fixture = test_create ();
  bool used[3] = { false, false, false };
  uint32_t server;
  unsigned i;

  for (i = 0; i < 15; i++)
    test_add_server (fixture, 32, 0);
  test_add_many (fixture, 1, 3, "a", COLT_WORK_SERVICE, 1, 0);
  for (i = 0; i < 3; i++)
    {
      test_choose (fixture, &server);
      g_assert_false (used[(server - 1) / 5]);
      used[(server - 1) / 5] = true;
    }
  test_destroy (fixture);
}

/* What a server was found to be outweighs what others have free. */
static void
speed_is_learned_ (void)
{
  struct ColtFixture *fixture = test_create ();
  uint32_t slow = test_add_server (fixture, 32, 0);
  uint32_t fast = test_add_server (fixture, 32, 0);
  unsigned seen[3] = { 0, 0, 0 };
  uint32_t server;
  unsigned i;

  for (i = 1; i <= 60; i++)
    {
      struct ColtPlacementTask task
          = test_task (fixture, i, "a", COLT_WORK_INTERACTIVE, 1, 0);

      task.run_ms = 1000;
      test_add (fixture, &task);
      test_choose (fixture, &server);
      if (i > 40)
        seen[server]++;
      test_end (fixture, &task, i % 2 == 0 ? slow : fast,
                i % 2 == 0 ? 4000 : 1000);
      test_tell (fixture, slow);
      test_tell (fixture, fast);
    }
  g_assert_cmpuint (seen[fast], ==, 20);
  test_destroy (fixture);
}

/* Declared memory that proves too small is raised by what was seen. */
static void
sizes_are_learned_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtTaskReport report = { 0 };
  unsigned placed = 0;
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  for (i = 1; i <= 8; i++)
    {
      struct ColtPlacementTask task
          = test_task (fixture, i, "a", COLT_WORK_BATCH, 2, 0);

      task.demand.amount[COLT_RESOURCE_MEMORY] = 4096;
      test_add (fixture, &task);
      test_choose (fixture, &server);
      report.state = COLT_TASK_FINISHED;
      report.run_ms = 1000;
      report.usage = task.demand;
      report.usage.amount[COLT_RESOURCE_MEMORY] = 8192;
      colt_placement_ended (fixture->placement, &task, server, &report,
                            fixture->now_us);
    }
  for (i = 20; i < 24; i++)
    {
      struct ColtPlacementTask task
          = test_task (fixture, i, "a", COLT_WORK_BATCH, 2, 0);

      task.demand.amount[COLT_RESOURCE_MEMORY] = 4096;
      test_add (fixture, &task);
    }
  while (!test_idle (fixture))
    placed++;
  g_assert_cmpuint (placed, ==, 2);
  test_destroy (fixture);
}

static void
never_fits_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask large
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 65, 0);
  struct ColtPlacementTask gang
      = test_task (fixture, 2, "a", COLT_WORK_GANG, 40, 0);

  g_assert_cmpint (
      colt_placement_add (fixture->placement, &large, fixture->now_us), ==,
      COLT_PLACEMENT_QUEUED);
  test_add_server (fixture, 64, 0);
  gang.tasks = 2;
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &large, fixture->now_us), ==,
      COLT_PLACEMENT_NEVER_FITS);
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &gang, fixture->now_us), ==,
      COLT_PLACEMENT_NEVER_FITS);
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==, 0);
  test_destroy (fixture);
}

/* Servers may still be on their way after a start. */
static void
unsettled_fleet_refuses_nothing_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask large
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 65, 0);

  test_add_server (fixture, 64, 0);
  fixture->now_us = COLT_US_PER_S;
  test_add (fixture, &large);
  g_assert_true (test_idle (fixture));
  fixture->now_us = TEST_START_US;
  test_add_server (fixture, 128, 0);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

void
test_fit_add (void)
{
  g_test_add_func ("/placement/fit/leaves-room", small_tasks_leave_room_);
  g_test_add_func ("/placement/fit/plain-first",
                   work_without_accelerators_avoids_them_);
  g_test_add_func ("/placement/fit/large-plain",
                   large_work_without_accelerators_runs_);
  g_test_add_func ("/placement/fit/spread", services_spread_over_racks_);
  g_test_add_func ("/placement/fit/speed", speed_is_learned_);
  g_test_add_func ("/placement/fit/sizes", sizes_are_learned_);
  g_test_add_func ("/placement/fit/never", never_fits_);
  g_test_add_func ("/placement/fit/unsettled",
                   unsettled_fleet_refuses_nothing_);
}
