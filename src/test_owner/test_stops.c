#include "harness.h"

static void
place_and_start_ (struct ColtOwnerFixture *fixture,
                  const struct ColtTaskRef *ref)
{
  colt_owner_place_accepted (fixture, ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, ref,
                                               COLT_TASK_EVENT_STARTED));
}

static void
test_running_task_is_stopped (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  place_and_start_ (fixture, &ref);
  colt_owner_request_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
}

static void
test_queued_task_never_runs (struct ColtOwnerFixture *fixture,
                             gconstpointer data)
{
  struct ColtTaskRef sent = colt_owner_make_ref (1);
  struct ColtTaskRef queued = colt_owner_make_ref (2);

  (void)data;
  fixture->server->delays_changes = true;
  colt_owner_place_accepted (fixture, &sent);
  colt_owner_place_accepted (fixture, &queued);
  colt_owner_request_stop (fixture, &queued);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &queued,
                                               COLT_TASK_EVENT_REFUSED));
  colt_fake_server_release_changes (fixture->server);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &sent,
                                               COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &queued), ==, 0);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* A stop in a lost batch of changes is sent again in a later one. */
static void
test_lost_stop_is_resent (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  place_and_start_ (fixture, &ref);
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  colt_owner_request_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
  g_assert_cmpuint (fixture->server->change_count, ==, 3);
}

/* A stop that reaches the server before its start, which was lost and is sent
 * again later, has no effect there and must be sent again too. */
static void
test_stop_before_resent_start_is_kept (struct ColtOwnerFixture *fixture,
                                       gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  fixture->server->fetch_outcome = COLT_FAKE_CALL_LOST;
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->fetch_count > 0);
  colt_owner_request_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->change_count == 2);
  fixture->server->fetch_outcome = COLT_FAKE_ANSWERED;
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 1);
}

void
colt_test_stops_add (void)
{
  colt_owner_add_test ("/owner/stop/running", test_running_task_is_stopped);
  colt_owner_add_test ("/owner/stop/queued", test_queued_task_never_runs);
  colt_owner_add_test ("/owner/stop/lost", test_lost_stop_is_resent);
  colt_owner_add_test ("/owner/stop/overtakes",
                       test_stop_before_resent_start_is_kept);
}
