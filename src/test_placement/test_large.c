#include <string.h>

#include "tests.h"

#define STEPS 600u
#define LARGE 5000u

static void
add_gang_ (struct ColtFixture *fixture,
           unsigned number,
           const char *team,
           uint32_t tasks,
           int64_t cores)
{
  struct ColtPlacementTask task
      = test_task (fixture, number, team, COLT_WORK_GANG, cores, 0);

  task.tasks = tasks;
  for (task.index = 0; task.index < tasks; task.index++)
    test_add (fixture, &task);
}

static void
gang_goes_whole_ (void)
{
  struct ColtFixture *fixture = test_create ();
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  add_gang_ (fixture, 1, "a", 4, 4);
  for (i = 0; i < 4; i++)
    g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  g_assert_true (test_idle (fixture));
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==, 0);
  test_destroy (fixture);
}

/* Room for a part of it is not enough; it is complete before it starts. */
static void
gang_waits_for_all_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask other
      = test_task (fixture, 9, "b", COLT_WORK_BATCH, 8, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add (fixture, &other);
  test_choose (fixture, &server);
  add_gang_ (fixture, 1, "a", 4, 4);
  g_assert_true (test_idle (fixture));
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==, 4);
  fixture->now_us += COLT_US_PER_S;
  test_end (fixture, &other, server, 1000);
  for (i = 0; i < 4; i++)
    g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

/* A gang that keeps room for ever would starve the others. */
static void
gang_holds_for_a_bounded_time_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask service
      = test_task (fixture, 9, "b", COLT_WORK_SERVICE, 8, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add (fixture, &service);
  test_choose (fixture, &server);
  add_gang_ (fixture, 1, "a", 4, 4);
  for (i = 0; i < 20; i++)
    {
      g_assert_true (test_idle (fixture));
      fixture->now_us += 100 * COLT_US_PER_MS;
    }
  test_add_many (fixture, 2, 1, "b", COLT_WORK_BATCH, 4, 0);
  g_assert_true (test_idle (fixture));
  fixture->now_us += 60 * COLT_US_PER_S;
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 2);
  test_destroy (fixture);
}

/* Two gangs that each could keep half of the fleet don't block each other. */
static void
gangs_do_not_deadlock_ (void)
{
  struct ColtFixture *fixture = test_create ();
  unsigned finished = 0;
  unsigned steps;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  add_gang_ (fixture, 1, "a", 4, 4);
  add_gang_ (fixture, 2, "b", 4, 4);
  for (steps = 0; steps < 100 && finished < 2; steps++)
    {
      struct ColtPlacementChoice choice;

      while (colt_placement_next (fixture->placement, fixture->now_us, &choice))
        {
          struct ColtPlacementTask task = test_task (
              fixture, choice.request.bytes[0],
              choice.request.bytes[0] == 1 ? "a" : "b", COLT_WORK_GANG, 4, 0);

          task.index = choice.index;
          task.tasks = 4;
          test_end (fixture, &task, choice.server, 100);
          finished += choice.index == 3;
        }
      fixture->now_us += 100 * COLT_US_PER_MS;
    }
  g_assert_cmpuint (finished, ==, 2);
  test_destroy (fixture);
}

/* A small task of the stream, and when it ends. */
struct ColtSmall
{
  struct ColtPlacementTask task;
  uint32_t server; /* 0 before it is placed */
  unsigned end_step;
};

/* Takes all choices; returns whether the large task was among them. */
static bool
place_stream_ (struct ColtFixture *fixture,
               struct ColtSmall *small,
               unsigned step)
{
  struct ColtPlacementChoice choice;
  bool large = false;
  unsigned number;

  while (colt_placement_next (fixture->placement, fixture->now_us, &choice))
    {
      memcpy (&number, choice.request.bytes, sizeof number);
      if (number == LARGE)
        {
          large = true;
          continue;
        }
      small[number].server = choice.server;
      small[number].end_step = step + 7;
    }
  return large;
}

/* Small work streams past, yet a task that needs a whole server gets one. */
static void
large_task_is_not_starved_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtSmall *small = g_new0 (struct ColtSmall, STEPS);
  bool started = false;
  unsigned step;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  for (step = 1; step < STEPS && !started; step++)
    {
      small[step].task
          = test_task (fixture, step, "small", COLT_WORK_BATCH, 2, 0);
      small[step].task.run_ms = 1400;
      test_add (fixture, &small[step].task);
      if (step == 20)
        test_add_many (fixture, LARGE, 1, "large", COLT_WORK_BATCH, 8, 0);
      started = place_stream_ (fixture, small, step);
      fixture->now_us += 200 * COLT_US_PER_MS;
      for (i = 1; i <= step; i++)
        if (small[i].server != 0 && small[i].end_step == step)
          test_end (fixture, &small[i].task, small[i].server, 1400);
    }
  g_assert_true (started);
  g_assert_cmpuint (step, <, 60);
  g_free (small);
  test_destroy (fixture);
}

/* Beside a kept server, work that ends in time may still use it. */
static void
short_work_backfills_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask long_task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);
  struct ColtPlacementTask short_task
      = test_task (fixture, 3, "b", COLT_WORK_BATCH, 2, 0);
  struct ColtPlacementTask slow_task
      = test_task (fixture, 4, "b", COLT_WORK_BATCH, 2, 0);

  test_add_server (fixture, 8, 0);
  long_task.run_ms = 60000;
  test_add (fixture, &long_task);
  test_choose (fixture, NULL);
  test_add_many (fixture, 2, 1, "a", COLT_WORK_BATCH, 8, 0);
  fixture->now_us += COLT_US_PER_S;
  g_assert_true (test_idle (fixture));
  slow_task.run_ms = 100000;
  test_add (fixture, &slow_task);
  g_assert_true (test_idle (fixture));
  short_task.run_ms = 1000;
  short_task.arrived_us = slow_task.arrived_us - COLT_US_PER_S;
  test_add (fixture, &short_task);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 3);
  g_assert_true (test_idle (fixture));
  colt_placement_remove (fixture->placement, &slow_task.request, 0);
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==, 1);
  test_destroy (fixture);
}

void
test_large_add (void)
{
  g_test_add_func ("/placement/large/gang-whole", gang_goes_whole_);
  g_test_add_func ("/placement/large/gang-all", gang_waits_for_all_);
  g_test_add_func ("/placement/large/gang-bounded",
                   gang_holds_for_a_bounded_time_);
  g_test_add_func ("/placement/large/gang-deadlock", gangs_do_not_deadlock_);
  g_test_add_func ("/placement/large/not-starved", large_task_is_not_starved_);
  g_test_add_func ("/placement/large/backfill", short_work_backfills_);
}
