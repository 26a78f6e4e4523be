#include "harness.h"

static void
place_and_start_ (struct ColtOwnerFixture *fixture,
                  const struct ColtTaskRef *ref)
{
  colt_owner_place_accepted (fixture, ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, ref,
                                               COLT_TASK_EVENT_STARTED));
}

/* An end that the server reports twice is sent to the home once. */
static void
test_duplicate_end_is_reported_once (struct ColtOwnerFixture *fixture,
                                     gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtTaskRef after = colt_owner_make_ref (2);
  struct ColtTaskReport report;

  (void)data;
  place_and_start_ (fixture, &ref);
  report = colt_fake_server_find_task (fixture->server, &ref)->report;
  report.state = COLT_TASK_FINISHED;
  report.result = (const uint8_t *)"done";
  report.result_size = 4;
  colt_fake_server_emit_events (fixture->server, COLT_BACKEND_EVENT_FINISHED,
                                &report, 2);
  place_and_start_ (fixture, &after);
  g_assert_cmpuint (
      colt_owner_count_events (&fixture->home, &ref, COLT_TASK_EVENT_ENDED), ==,
      1);
  g_assert_true (colt_owner_last_event (&fixture->home, &ref)->has_result);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 1);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* If the end of a task arrives before the answer to the change that started it,
 * the home still receives the start before the end. */
static void
test_early_end_is_reported_in_order (struct ColtOwnerFixture *fixture,
                                     gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtTaskReport report = { 0 };

  (void)data;
  fixture->server->delays_changes = true;
  colt_owner_place_accepted (fixture, &ref);
  report.ref = ref;
  report.state = COLT_TASK_FINISHED;
  report.result = (const uint8_t *)"done";
  report.result_size = 4;
  colt_fake_server_emit_events (fixture->server, COLT_BACKEND_EVENT_FINISHED,
                                &report, 1);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_ENDED));
  colt_fake_server_release_changes (fixture->server);
  RUN_UNTIL (fixture, fixture->server->change_count == 1);
  g_assert_cmpint (
      g_array_index (fixture->home.events, struct ColtReceivedEvent, 0).kind,
      ==, COLT_TASK_EVENT_STARTED);
  g_assert_cmpint (colt_owner_last_event (&fixture->home, &ref)->kind, ==,
                   COLT_TASK_EVENT_ENDED);
  g_assert_cmpuint (fixture->home.events->len, ==, 2);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 0);
}

/* Events that a home did not acknowledge are sent to the new leader of the
 * shard. */
static void
test_unacknowledged_events_go_to_new_leader (struct ColtOwnerFixture *fixture,
                                             gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  fixture->home.ignores_events = true;
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, fixture->home.ignored_count > 0);
  colt_owner_set_leader (fixture->owner, colt_id_shard (&ref.request),
                         OTHER_HOME_INSTANCE);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->other_home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  g_assert_cmpuint (fixture->home.events->len, ==, 0);
}

static void
test_unacknowledged_events_are_kept (struct ColtOwnerFixture *fixture,
                                     gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  fixture->home.ignores_events = true;
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, fixture->home.ignored_count >= 2);
  g_assert_false (colt_owner_is_stopped (fixture->owner));
  fixture->home.ignores_events = false;
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
}

static void
test_query_fetches_result (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtHomeCall call;

  (void)data;
  place_and_start_ (fixture, &ref);
  g_assert_cmpint (colt_owner_query (fixture, &ref, true).stage, ==,
                   COLT_QUERY_RUNNING);
  colt_fake_server_finish_task (fixture->server, &ref, COLT_TASK_FINISHED);
  call = colt_owner_query (fixture, &ref, false);
  g_assert_cmpint (call.stage, ==, COLT_QUERY_ENDED);
  g_assert_false (call.has_result);
  call = colt_owner_query (fixture, &ref, true);
  g_assert_cmpint (call.stage, ==, COLT_QUERY_ENDED);
  g_assert_true (call.has_result);
}

/* An owner that takes a server over loads the tasks of its inventory. */
static void
test_takeover_loads_inventory (struct ColtOwnerFixture *fixture,
                               gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  uint64_t epoch = colt_owner_server_info (fixture).epoch;

  (void)data;
  place_and_start_ (fixture, &ref);
  fixture->server->lease_outcome = COLT_FAKE_FENCED;
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  fixture->server->lease_outcome = COLT_FAKE_ANSWERED;
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state == COLT_LEASE_HELD);
  g_assert_cmpuint (colt_owner_server_info (fixture).epoch, >, epoch);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 1);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_RUNNING);
}

static void
test_planned_stop_releases_lease (struct ColtOwnerFixture *fixture,
                                  gconstpointer data)
{
  const struct ColtResources demand = colt_owner_small_demand ();
  const uint32_t candidate = HOME_INSTANCE;
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtTaskRef late = colt_owner_make_ref (2);

  (void)data;
  place_and_start_ (fixture, &ref);
  colt_owner_stop (fixture->owner, &candidate, 1);
  g_assert_false (colt_owner_place (fixture, &late, &demand).accepted);
  RUN_UNTIL (fixture, colt_owner_is_stopped (fixture->owner));
  g_assert_true (fixture->server->released);
  g_assert_cmpint (colt_owner_count_starts (fixture, &late), ==, 0);
}

void
colt_test_events_add (void)
{
  colt_owner_add_test ("/owner/events/duplicate_end",
                       test_duplicate_end_is_reported_once);
  colt_owner_add_test ("/owner/events/order",
                       test_early_end_is_reported_in_order);
  colt_owner_add_test ("/owner/events/new_leader",
                       test_unacknowledged_events_go_to_new_leader);
  colt_owner_add_test ("/owner/events/kept",
                       test_unacknowledged_events_are_kept);
  colt_owner_add_test ("/owner/query/result", test_query_fetches_result);
  colt_owner_add_test ("/owner/lease/inventory", test_takeover_loads_inventory);
  colt_owner_add_test ("/owner/stop/planned", test_planned_stop_releases_lease);
}
