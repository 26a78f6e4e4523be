#include "tests.h"

/* Two small tasks share a server, which leaves the other one whole for a task
 * that needs all its accelerators. */
static void
small_tasks_share_a_server_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  uint32_t first;
  uint32_t second;
  uint32_t large;

  test_add_server (fixture, 64, 8);
  test_add_server (fixture, 64, 8);
  test_add_tasks (fixture, 1, 2, "a", COLT_WORK_BATCH, 4, 1);
  test_place_next (fixture, &first);
  test_place_next (fixture, &second);
  g_assert_cmpuint (first, ==, second);
  test_add_tasks (fixture, 3, 1, "a", COLT_WORK_BATCH, 16, 8);
  test_place_next (fixture, &large);
  g_assert_cmpuint (large, !=, first);
  test_destroy_fixture (fixture);
}

static void
work_without_accelerators_avoids_them_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  uint32_t plain;
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 64, 8);
  plain = test_add_server (fixture, 8, 0);
  test_add_tasks (fixture, 1, 8, "a", COLT_WORK_BATCH, 1, 0);
  for (i = 0; i < 7; i++)
    {
      test_place_next (fixture, &server);
      g_assert_cmpuint (server, ==, plain);
    }
  test_destroy_fixture (fixture);
}

/* Work without accelerators uses a server with accelerators if no other server
 * is large enough. */
static void
large_work_without_accelerators_runs_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  uint32_t accelerated = test_add_server (fixture, 64, 8);
  uint32_t server;

  test_add_server (fixture, 8, 0);
  test_add_tasks (fixture, 1, 1, "a", COLT_WORK_BATCH, 60, 0);
  test_place_next (fixture, &server);
  g_assert_cmpuint (server, ==, accelerated);
  test_destroy_fixture (fixture);
}

static void
services_spread_over_racks_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  bool used[3] = { false, false, false };
  uint32_t server;
  unsigned i;

  for (i = 0; i < 15; i++)
    test_add_server (fixture, 32, 0);
  test_add_tasks (fixture, 1, 3, "a", COLT_WORK_SERVICE, 1, 0);
  for (i = 0; i < 3; i++)
    {
      test_place_next (fixture, &server);
      g_assert_false (used[(server - 1) / 5]);
      used[(server - 1) / 5] = true;
    }
  test_destroy_fixture (fixture);
}

/* Interactive work goes to the server that proved faster, even though both have
 * the same amounts free. */
static void
speed_is_learned_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  uint32_t slow = test_add_server (fixture, 32, 0);
  uint32_t fast = test_add_server (fixture, 32, 0);
  unsigned seen[3] = { 0, 0, 0 };
  uint32_t server;
  unsigned i;

  for (i = 1; i <= 60; i++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, i, "a", COLT_WORK_INTERACTIVE, 1, 0);

      task.run_ms = 1000;
      test_add_task (fixture, &task);
      test_place_next (fixture, &server);
      if (i > 40)
        seen[server]++;
      test_end_task (fixture, &task, i % 2 == 0 ? slow : fast,
                     i % 2 == 0 ? 4000 : 1000);
      test_send_digest (fixture, slow);
      test_send_digest (fixture, fast);
    }
  g_assert_cmpuint (seen[fast], ==, 20);
  test_destroy_fixture (fixture);
}

/* Earlier tasks used twice their declared memory, so that later tasks are
 * placed with twice the declared memory and only two of them fit. */
static void
sizes_are_learned_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtTaskReport report = { 0 };
  unsigned placed = 0;
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  for (i = 1; i <= 8; i++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, i, "a", COLT_WORK_BATCH, 2, 0);

      task.demand.amount[COLT_RESOURCE_MEMORY] = 4096;
      test_add_task (fixture, &task);
      test_place_next (fixture, &server);
      report.state = COLT_TASK_FINISHED;
      report.run_ms = 1000;
      report.usage = task.demand;
      report.usage.amount[COLT_RESOURCE_MEMORY] = 8192;
      colt_placement_report_end (fixture->placement, &task, server, &report,
                                 fixture->now_us);
    }
  for (i = 20; i < 24; i++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, i, "a", COLT_WORK_BATCH, 2, 0);

      task.demand.amount[COLT_RESOURCE_MEMORY] = 4096;
      test_add_task (fixture, &task);
    }
  while (!test_is_idle (fixture))
    placed++;
  g_assert_cmpuint (placed, ==, 2);
  test_destroy_fixture (fixture);
}

static void
oversized_work_is_rejected_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask large
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 65, 0);
  struct ColtPlacementTask gang
      = test_make_task (fixture, 2, "a", COLT_WORK_GANG, 40, 0);

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
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 0);
  test_destroy_fixture (fixture);
}

/* Shortly after a server was added, a larger one may still follow; a task that
 * fits no known server then waits. */
static void
growing_fleet_rejects_nothing_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask large
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 65, 0);

  test_add_server (fixture, 64, 0);
  fixture->now_us = COLT_US_PER_S;
  test_add_task (fixture, &large);
  g_assert_true (test_is_idle (fixture));
  fixture->now_us = TEST_START_US;
  test_add_server (fixture, 128, 0);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

/* A server that goes may return after a restart; a task that waits for it is
 * rejected only if it stays away. */
static void
lost_server_is_awaited_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask large
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 65, 0);
  enum ColtPlacementStatus status;
  uint32_t number;

  test_add_server (fixture, 64, 0);
  number = test_add_server (fixture, 128, 0);
  colt_placement_remove_server (fixture->placement, number, fixture->now_us);
  test_add_task (fixture, &large);
  g_assert_true (test_is_idle (fixture));
  fixture->now_us += COLT_PLACEMENT_SETTLED_US - 1;
  g_assert_true (test_is_idle (fixture));
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 1);
  fixture->now_us += 1;
  large.index = 1;
  status = colt_placement_add (fixture->placement, &large, fixture->now_us);
  g_assert_cmpint (status, ==, COLT_PLACEMENT_NEVER_FITS);
  test_destroy_fixture (fixture);
}

void
test_register_fit (void)
{
  g_test_add_func ("/placement/fit/leaves-room", small_tasks_share_a_server_);
  g_test_add_func ("/placement/fit/plain-first",
                   work_without_accelerators_avoids_them_);
  g_test_add_func ("/placement/fit/large-plain",
                   large_work_without_accelerators_runs_);
  g_test_add_func ("/placement/fit/spread", services_spread_over_racks_);
  g_test_add_func ("/placement/fit/speed", speed_is_learned_);
  g_test_add_func ("/placement/fit/sizes", sizes_are_learned_);
  g_test_add_func ("/placement/fit/never", oversized_work_is_rejected_);
  g_test_add_func ("/placement/fit/unsettled", growing_fleet_rejects_nothing_);
  g_test_add_func ("/placement/fit/lost-server", lost_server_is_awaited_);
}
