#include "tests.h"

static void
failed_server_is_avoided_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  for (i = 0; i < 4; i++)
    {
      task.avoided_server = 1;
      test_add_task (fixture, &task);
      test_place_next (fixture, &server);
      g_assert_cmpuint (server, ==, 2);
      colt_placement_remove (fixture->placement, &task.request, 0);
    }
  test_destroy_fixture (fixture);
}

/* A retry must avoid the server of the failed attempt even if the request has
 * arrived long ago, as after a long run. */
static void
failed_server_is_avoided_after_a_long_run_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  unsigned used[3] = { 0 };
  uint32_t server;
  unsigned i;

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  fixture->now_us += 60 * COLT_US_PER_S;
  for (i = 0; i < 8; i++)
    {
      task.avoided_server = 1 + i % 2;
      test_add_task (fixture, &task);
      test_place_next (fixture, &server);
      g_assert_cmpuint (server, !=, task.avoided_server);
      used[server]++;
      colt_placement_remove (fixture->placement, &task.request, 0);
      test_send_digest (fixture, server);
    }
  g_assert_cmpuint (used[1], ==, used[2]);
  test_destroy_fixture (fixture);
}

/* A digest that a former owner sent before it lost the server must not replace
 * the digest of the new owner. After a restart, a server may begin again with
 * lower epochs, once the digests of its owner have ended. */
static void
late_digest_of_a_former_owner_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtServerDigest late;

  test_add_server (fixture, 8, 0);
  late = fixture->servers[1];
  late.leaving = true;
  fixture->servers[1].epoch = 2;
  fixture->servers[1].owner = 2;
  test_send_digest (fixture, 1);
  colt_placement_set_server (fixture->placement, &late,
                             fixture->now_us - TEST_START_US);
  test_add_tasks (fixture, 1, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  fixture->now_us += 60 * COLT_US_PER_S;
  colt_placement_set_server (fixture->placement, &late,
                             fixture->now_us - TEST_START_US);
  test_add_tasks (fixture, 2, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_true (test_is_idle (fixture));
  test_destroy_fixture (fixture);
}

/* The server of the last failed attempt is used again after some time if it is
 * the only one. */
static void
avoided_server_is_used_later_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);

  test_add_server (fixture, 8, 0);
  task.avoided_server = 1;
  test_add_task (fixture, &task);
  g_assert_true (test_is_idle (fixture));
  fixture->now_us += 5 * COLT_US_PER_S;
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

static void
leaving_and_probation_limit_work_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  unsigned placed = 0;
  unsigned i;

  test_add_server (fixture, 8, 0);
  fixture->servers[1].leaving = true;
  test_send_digest (fixture, 1);
  test_add_tasks (fixture, 1, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_true (test_is_idle (fixture));
  fixture->servers[1].leaving = false;
  fixture->servers[1].probation_permille = 0;
  test_send_digest (fixture, 1);
  g_assert_true (test_is_idle (fixture));
  fixture->servers[1].probation_permille = 100;
  for (i = 0; i < 200; i++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);

      test_send_digest (fixture, 1);
      if (test_is_idle (fixture))
        continue;
      placed++;
      test_add_task (fixture, &task);
    }
  g_assert_cmpuint (placed, >, 5);
  g_assert_cmpuint (placed, <, 50);
  test_destroy_fixture (fixture);
}

static void
refusals_reduce_free_amounts_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);
  uint32_t server;

  test_add_server (fixture, 8, 0);
  test_add_task (fixture, &task);
  test_place_next (fixture, &server);
  colt_placement_report_refusal (fixture->placement, &task, server,
                                 COLT_REFUSAL_NO_ROOM, fixture->now_us);
  test_add_task (fixture, &task);
  g_assert_true (test_is_idle (fixture));
  test_send_digest (fixture, server);
  test_place_next (fixture, &server);
  colt_placement_report_refusal (fixture->placement, &task, server,
                                 COLT_REFUSAL_FENCED, fixture->now_us);
  test_add_task (fixture, &task);
  g_assert_true (test_is_idle (fixture));
  test_send_digest (fixture, server);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

/* A task that can't meet its deadline is rejected when it is added, or shed
 * once the deadline has come too near while it waits. */
static void
late_work_is_shed_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 8, 0);
  struct ColtPlacementTask shed;
  enum ColtPlacementStatus status;

  test_add_server (fixture, 8, 0);
  test_add_task (fixture, &task);
  test_place_next (fixture, NULL);
  task = test_make_task (fixture, 2, "a", COLT_WORK_BATCH, 8, 0);
  task.run_ms = 5000;
  task.deadline_us = fixture->now_us + 4 * COLT_US_PER_S;
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &task, fixture->now_us), ==,
      COLT_PLACEMENT_TOO_LATE);
  task.deadline_us = fixture->now_us + 6 * COLT_US_PER_S;
  test_add_task (fixture, &task);
  g_assert_true (test_is_idle (fixture));
  g_assert_false (colt_placement_pop_shed (fixture->placement, &shed, &status));
  fixture->now_us += 2 * COLT_US_PER_S;
  test_send_digest (fixture, 1);
  g_assert_true (test_is_idle (fixture));
  g_assert_true (colt_placement_pop_shed (fixture->placement, &shed, &status));
  g_assert_cmpint (status, ==, COLT_PLACEMENT_TOO_LATE);
  g_assert_true (colt_id_equal (&shed.request, &task.request));
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==, 0);
  test_destroy_fixture (fixture);
}

/* A task is rejected if the tasks before it start too slowly for its deadline,
 * even if it would meet the deadline on an idle server. */
static void
work_behind_a_long_queue_is_rejected_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task;
  unsigned number;
  uint32_t server;

  test_add_server (fixture, 8, 0);
  test_add_tasks (fixture, 1, 40, "a", COLT_WORK_BATCH, 8, 0);
  for (number = 1; number <= 20; number++)
    {
      fixture->now_us += COLT_US_PER_S;
      g_assert_cmpuint (test_place_next (fixture, &server), ==, number);
      task = test_make_task (fixture, number, "a", COLT_WORK_BATCH, 8, 0);
      test_end_task (fixture, &task, server, 1000);
      test_send_digest (fixture, server);
    }
  task = test_make_task (fixture, 100, "a", COLT_WORK_BATCH, 8, 0);
  task.deadline_us = fixture->now_us + 10 * COLT_US_PER_S;
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &task, fixture->now_us), ==,
      COLT_PLACEMENT_TOO_LATE);
  task.urgent = true;
  test_add_task (fixture, &task);
  task = test_make_task (fixture, 101, "a", COLT_WORK_BATCH, 8, 0);
  task.deadline_us = fixture->now_us + 60 * COLT_US_PER_S;
  test_add_task (fixture, &task);
  task = test_make_task (fixture, 102, "b", COLT_WORK_BATCH, 8, 0);
  task.deadline_us = fixture->now_us + 10 * COLT_US_PER_S;
  test_add_task (fixture, &task);
  test_destroy_fixture (fixture);
}

/* In a full queue, a task of another team displaces one of the team that fills
 * it, whose own further tasks are rejected. */
static void
full_queue_is_shared_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask more
      = test_make_task (fixture, 900000, "a", COLT_WORK_BATCH, 1, 0);
  struct ColtPlacementTask other
      = test_make_task (fixture, 900001, "b", COLT_WORK_BATCH, 1, 0);
  struct ColtPlacementTask shed;
  enum ColtPlacementStatus status;

  test_add_tasks (fixture, 1, COLT_PLACEMENT_WAITING_MAX, "a", COLT_WORK_BATCH,
                  1, 0);
  g_assert_cmpint (
      colt_placement_add (fixture->placement, &more, fixture->now_us), ==,
      COLT_PLACEMENT_FULL);
  test_add_task (fixture, &other);
  g_assert_true (colt_placement_pop_shed (fixture->placement, &shed, &status));
  g_assert_cmpstr (shed.team, ==, "a");
  g_assert_cmpint (status, ==, COLT_PLACEMENT_FULL);
  g_assert_cmpuint (colt_placement_waiting_count (fixture->placement), ==,
                    COLT_PLACEMENT_WAITING_MAX);
  test_destroy_fixture (fixture);
}

/* Placed tasks of a removed request no longer count for the share of their
 * team. */
static void
removed_work_is_not_counted_ (void)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 4, 0);

  test_add_server (fixture, 8, 0);
  test_add_server (fixture, 8, 0);
  test_add_task (fixture, &task);
  test_place_next (fixture, NULL);
  test_add_tasks (fixture, 3, 1, "b", COLT_WORK_BATCH, 1, 0);
  test_place_next (fixture, NULL);
  colt_placement_remove_request (fixture->placement, &task.request, 1);
  test_add_tasks (fixture, 4, 1, "b", COLT_WORK_BATCH, 1, 0);
  test_add_tasks (fixture, 5, 1, "a", COLT_WORK_BATCH, 1, 0);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 5);
  test_destroy_fixture (fixture);
}

void
test_register_health (void)
{
  g_test_add_func ("/placement/health/avoid", failed_server_is_avoided_);
  g_test_add_func ("/placement/health/avoid-late",
                   failed_server_is_avoided_after_a_long_run_);
  g_test_add_func ("/placement/health/former-owner",
                   late_digest_of_a_former_owner_);
  g_test_add_func ("/placement/health/avoid-only",
                   avoided_server_is_used_later_);
  g_test_add_func ("/placement/health/probation",
                   leaving_and_probation_limit_work_);
  g_test_add_func ("/placement/health/refusals", refusals_reduce_free_amounts_);
  g_test_add_func ("/placement/overload/late", late_work_is_shed_);
  g_test_add_func ("/placement/overload/long-queue",
                   work_behind_a_long_queue_is_rejected_);
  g_test_add_func ("/placement/overload/full", full_queue_is_shared_);
  g_test_add_func ("/placement/health/removed", removed_work_is_not_counted_);
}
