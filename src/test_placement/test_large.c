#include <string.h>

#include "tests.h"

/* Steps of 200 ms, in each of which a small task is added. */
#define STEP_COUNT 600u
/* Number of the task that needs a whole server. */
#define LARGE_NUMBER 5000u

static void
add_gang_ (struct ColtFixture *fixture,
           unsigned number,
           const char *team,
           uint32_t tasks,
           int64_t cores)
{
  struct ColtPlacementTask task
      = test_make_task (fixture, number, team, COLT_WORK_GANG, cores, 0);

  task.tasks = tasks;
  for (task.index = 0; task.index < tasks; task.index++)
    test_add_task (fixture, &task);
}

static void
gang_is_placed_whole_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  add_gang_ (fixture, 1, "a", 4, 4);
  for (i = 0; i < 4; i++)
    g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  g_assert_true (test_is_idle (fixture));
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 0);
  test_destroy_fixture (fixture);
}

/* Room for some members is not enough: no member of a gang starts before all of
 * them have room. */
static void
gang_waits_for_all_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask other
      = test_make_task (fixture, 9, "b", COLT_WORK_BATCH, 8, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add_task (fixture, &other);
  test_place_next (fixture, &server);
  add_gang_ (fixture, 1, "a", 4, 4);
  g_assert_true (test_is_idle (fixture));
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 4);
  fixture->now_us += COLT_US_PER_S;
  test_end_task (fixture, &other, server, 1000);
  for (i = 0; i < 4; i++)
    g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

/* A gang that can't be completed releases its held room after some time, as it
 * would otherwise starve other work. */
static void
gang_hold_time_is_bounded_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask service
      = test_make_task (fixture, 9, "b", COLT_WORK_SERVICE, 8, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add_task (fixture, &service);
  test_place_next (fixture, &server);
  add_gang_ (fixture, 1, "a", 4, 4);
  for (i = 0; i < 20; i++)
    {
      g_assert_true (test_is_idle (fixture));
      fixture->now_us += 100 * COLT_US_PER_MS;
    }
  test_add_tasks (fixture, 2, 1, "b", COLT_WORK_BATCH, 4, 0);
  g_assert_true (test_is_idle (fixture));
  fixture->now_us += 60 * COLT_US_PER_S;
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 2);
  test_destroy_fixture (fixture);
}

/* Two gangs that each need the whole fleet don't wait for each other's room. */
static void
gangs_do_not_deadlock_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  unsigned finished = 0;
  unsigned steps;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  add_gang_ (fixture, 1, "a", 4, 4);
  add_gang_ (fixture, 2, "b", 4, 4);
  for (steps = 0; steps < 100 && finished < 2; steps++)
    {
      struct ColtPlacementChoice choice;

      while (colt_placement_choose_next (fixture->placement, fixture->now_us,
                                         &choice))
        {
          struct ColtPlacementTask task = test_make_task (
              fixture, choice.request.bytes[0],
              choice.request.bytes[0] == 1 ? "a" : "b", COLT_WORK_GANG, 4, 0);

          task.index = choice.index;
          task.tasks = 4;
          test_end_task (fixture, &task, choice.server, 100);
          finished += choice.index == 3;
        }
      fixture->now_us += 100 * COLT_US_PER_MS;
    }
  g_assert_cmpuint (finished, ==, 2);
  test_destroy_fixture (fixture);
}

/* A task of the stream of small tasks. */
struct ColtSmallTask
{
  struct ColtPlacementTask task;
  uint32_t server;   /* 0 before it is placed */
  unsigned end_step; /* at whose end the task ends */
};

/* Records all choices; returns whether the large task was among them. */
static bool
record_choices_ (struct ColtFixture *fixture,
                 struct ColtSmallTask *small,
                 unsigned step)
{
  struct ColtPlacementChoice choice;
  bool large = false;
  unsigned number;

  while (
      colt_placement_choose_next (fixture->placement, fixture->now_us, &choice))
    {
      memcpy (&number, choice.request.bytes, sizeof number);
      if (number == LARGE_NUMBER)
        {
          large = true;
          continue;
        }
      small[number].server = choice.server;
      small[number].end_step = step + 7;
    }
  return large;
}

/* A task that needs a whole server gets one in spite of a steady stream of
 * small tasks. */
static void
large_task_is_not_starved_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtSmallTask *small = g_new0 (struct ColtSmallTask, STEP_COUNT);
  bool started = false;
  unsigned step;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  for (step = 1; step < STEP_COUNT && !started; step++)
    {
      small[step].task
          = test_make_task (fixture, step, "small", COLT_WORK_BATCH, 2, 0);
      small[step].task.run_ms = 1400;
      test_add_task (fixture, &small[step].task);
      if (step == 20)
        test_add_tasks (fixture, LARGE_NUMBER, 1, "large", COLT_WORK_BATCH, 8,
                        0);
      started = record_choices_ (fixture, small, step);
      fixture->now_us += 200 * COLT_US_PER_MS;
      for (i = 1; i <= step; i++)
        if (small[i].server != 0 && small[i].end_step == step)
          test_end_task (fixture, &small[i].task, small[i].server, 1400);
    }
  g_assert_true (started);
  g_assert_cmpuint (step, <, 60);
  g_free (small);
  test_destroy_fixture (fixture);
}

/* Work that is expected to end before a reservation needs its server may use
 * the server; longer work may not. */
static void
short_work_backfills_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask long_task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);
  struct ColtPlacementTask short_task
      = test_make_task (fixture, 3, "b", COLT_WORK_BATCH, 2, 0);
  struct ColtPlacementTask slow_task
      = test_make_task (fixture, 4, "b", COLT_WORK_BATCH, 2, 0);

  test_add_server (fixture, 8, 0);
  long_task.run_ms = 60000;
  test_add_task (fixture, &long_task);
  test_place_next (fixture, NULL);
  test_add_tasks (fixture, 2, 1, "a", COLT_WORK_BATCH, 8, 0);
  fixture->now_us += COLT_US_PER_S;
  g_assert_true (test_is_idle (fixture));
  slow_task.run_ms = 100000;
  test_add_task (fixture, &slow_task);
  g_assert_true (test_is_idle (fixture));
  short_task.run_ms = 1000;
  short_task.arrived_us = slow_task.arrived_us - COLT_US_PER_S;
  test_add_task (fixture, &short_task);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 3);
  g_assert_true (test_is_idle (fixture));
  colt_placement_remove (fixture->placement, &slow_task.request, 0);
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 1);
  test_destroy_fixture (fixture);
}

void
test_register_large (void)
{
  g_test_add_func ("/placement/large/gang-whole", gang_is_placed_whole_);
  g_test_add_func ("/placement/large/gang-all", gang_waits_for_all_);
  g_test_add_func ("/placement/large/gang-bounded", gang_hold_time_is_bounded_);
  g_test_add_func ("/placement/large/gang-deadlock", gangs_do_not_deadlock_);
  g_test_add_func ("/placement/large/not-starved", large_task_is_not_starved_);
  g_test_add_func ("/placement/large/backfill", short_work_backfills_);
}
