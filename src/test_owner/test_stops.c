#include "harness.h"

static void
place_running_ (struct ColtOwnerFixture *fixture, const struct ColtTaskRef *ref)
{
  colt_owner_place_good (fixture, ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, ref, COLT_TASK_EVENT_STARTED));
}

static void
test_running_task_is_stopped (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  place_running_ (fixture, &ref);
  colt_owner_ask_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
}

static void
test_queued_task_never_runs (struct ColtOwnerFixture *fixture,
                             gconstpointer data)
{
  struct ColtTaskRef sent = colt_owner_ref (1);
  struct ColtTaskRef queued = colt_owner_ref (2);

  (void)data;
  fixture->server->holds_changes = true;
  colt_owner_place_good (fixture, &sent);
  colt_owner_place_good (fixture, &queued);
  colt_owner_ask_stop (fixture, &queued);
  RUN_UNTIL (fixture, colt_owner_told (&fixture->home, &queued,
                                       COLT_TASK_EVENT_REFUSED));
  colt_fake_server_let_through (fixture->server);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &sent, COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_effects (fixture, &queued), ==, 0);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* A stop whose batch was lost goes out with another one. */
static void
test_lost_stop_is_sent_again (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  place_running_ (fixture, &ref);
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  colt_owner_ask_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
  g_assert_cmpuint (fixture->server->changes, ==, 3);
}

/* A stop that overtakes its start is not lost either. */
static void
test_stop_before_lost_start_holds (struct ColtOwnerFixture *fixture,
                                   gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  fixture->server->fetch_fate = COLT_FAKE_CALL_LOST;
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->fetches > 0);
  colt_owner_ask_stop (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->changes == 2);
  fixture->server->fetch_fate = COLT_FAKE_ANSWERED;
  RUN_UNTIL (fixture, fixture->server->stops->len == 1);
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 1);
}

void
colt_test_stops_add (void)
{
  colt_owner_add_test ("/owner/stop/running", test_running_task_is_stopped);
  colt_owner_add_test ("/owner/stop/queued", test_queued_task_never_runs);
  colt_owner_add_test ("/owner/stop/lost", test_lost_stop_is_sent_again);
  colt_owner_add_test ("/owner/stop/overtakes",
                       test_stop_before_lost_start_holds);
}
