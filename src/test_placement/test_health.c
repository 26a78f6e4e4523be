#include "tests.h"

static void
failed_server_is_avoided_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  for (i = 0; i < 4; i++)
    {
      task.avoid = 1;
      test_add (fixture, &task);
      test_choose (fixture, &server);
      g_assert_cmpuint (server, ==, 2);
      colt_placement_remove (fixture->placement, &task.request, 0);
    }
  test_destroy (fixture);
}

/* The only server is used again after a while. */
static void
avoided_server_is_not_lost_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);

  test_add_server (fixture, 8, 0);
  task.avoid = 1;
  test_add (fixture, &task);
  g_assert_true (test_idle (fixture));
  fixture->now_us += 5 * COLT_US_PER_S;
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

static void
leaving_and_probation_ (void)
{
  struct ColtFixture *fixture = test_create ();
  unsigned placed = 0;
  unsigned i;

  test_add_server (fixture, 8, 0);
  fixture->servers[1].leaving = true;
  test_tell (fixture, 1);
  test_add_many (fixture, 1, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_true (test_idle (fixture));
  fixture->servers[1].leaving = false;
  fixture->servers[1].probation_permille = 0;
  test_tell (fixture, 1);
  g_assert_true (test_idle (fixture));
  fixture->servers[1].probation_permille = 100;
  for (i = 0; i < 200; i++)
    {
      struct ColtPlacementTask task
          = test_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);

      test_tell (fixture, 1);
      if (test_idle (fixture))
        continue;
      placed++;
      test_add (fixture, &task);
    }
  g_assert_cmpuint (placed, >, 5);
  g_assert_cmpuint (placed, <, 50);
  test_destroy (fixture);
}

static void
refusals_correct_the_count_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);
  uint32_t server;

  test_add_server (fixture, 8, 0);
  test_add (fixture, &task);
  test_choose (fixture, &server);
  colt_placement_refused (fixture->placement, &task, server,
                          COLT_REFUSAL_NO_ROOM, fixture->now_us);
  test_add (fixture, &task);
  g_assert_true (test_idle (fixture));
  test_tell (fixture, server);
  test_choose (fixture, &server);
  colt_placement_refused (fixture->placement, &task, server,
                          COLT_REFUSAL_FENCED, fixture->now_us);
  test_add (fixture, &task);
  g_assert_true (test_idle (fixture));
  test_tell (fixture, server);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

/* A deadline that has become too near is told at once, as is the queue of a
 * team that is too long for it. */
static void
late_work_is_given_up_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 8, 0);
  struct ColtPlacementTask shed;
  enum ColtPlacementStatus status;

  test_add_server (fixture, 8, 0);
  test_add (fixture, &task);
  test_choose (fixture, NULL);
  task = test_task (fixture, 2, "a", COLT_WORK_BATCH, 8, 0);
  task.run_ms = 5000;
  task.deadline_us = fixture->now_us + 4 * COLT_US_PER_S;
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &task, fixture->now_us), ==,
      COLT_PLACEMENT_TOO_LATE);
  task.deadline_us = fixture->now_us + 6 * COLT_US_PER_S;
  test_add (fixture, &task);
  g_assert_true (test_idle (fixture));
  g_assert_false (
      colt_placement_take_shed (fixture->placement, &shed, &status));
  fixture->now_us += 2 * COLT_US_PER_S;
  test_tell (fixture, 1);
  g_assert_true (test_idle (fixture));
  g_assert_true (colt_placement_take_shed (fixture->placement, &shed, &status));
  g_assert_cmpint (status, ==, COLT_PLACEMENT_TOO_LATE);
  g_assert_true (colt_id_equal (&shed.request, &task.request));
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==, 0);
  test_destroy (fixture);
}

/* A full queue makes room for a team with little in it, not for the one that
 * fills it. */
static void
full_queue_is_shared_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask more
      = test_task (fixture, 900000, "a", COLT_WORK_BATCH, 1, 0);
  struct ColtPlacementTask other
      = test_task (fixture, 900001, "b", COLT_WORK_BATCH, 1, 0);
  struct ColtPlacementTask shed;
  enum ColtPlacementStatus status;

  test_add_many (fixture, 1, COLT_PLACEMENT_WAITING_MAX, "a", COLT_WORK_BATCH,
                 1, 0);
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &more, fixture->now_us), ==,
      COLT_PLACEMENT_FULL);
  test_add (fixture, &other);
  g_assert_true (colt_placement_take_shed (fixture->placement, &shed, &status));
  g_assert_cmpstr (shed.team, ==, "a");
  g_assert_cmpint (status, ==, COLT_PLACEMENT_FULL);
  g_assert_cmpuint (colt_placement_waiting (fixture->placement), ==,
                    COLT_PLACEMENT_WAITING_MAX);
  test_destroy (fixture);
}

/* Nothing of a forgotten request counts for its team any more. */
static void
forgotten_work_is_not_counted_ (void)
{
  struct ColtFixture *fixture = test_create ();
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add (fixture, &task);
  test_choose (fixture, NULL);
  test_add_many (fixture, 3, 1, "b", COLT_WORK_BATCH, 1, 0);
  test_choose (fixture, NULL);
  colt_placement_forget (fixture->placement, &task.request, 1);
  test_add_many (fixture, 4, 1, "b", COLT_WORK_BATCH, 1, 0);
  test_add_many (fixture, 5, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 5);
  test_destroy (fixture);
}

void
test_health_add (void)
{
  g_test_add_func ("/placement/health/avoid", failed_server_is_avoided_);
  g_test_add_func ("/placement/health/avoid-only", avoided_server_is_not_lost_);
  g_test_add_func ("/placement/health/probation", leaving_and_probation_);
  g_test_add_func ("/placement/health/refusals", refusals_correct_the_count_);
  g_test_add_func ("/placement/overload/late", late_work_is_given_up_);
  g_test_add_func ("/placement/overload/full", full_queue_is_shared_);
  g_test_add_func ("/placement/health/forgotten",
                   forgotten_work_is_not_counted_);
}
