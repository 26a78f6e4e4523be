#include "harness.h"

static void
place_running_ (struct ColtOwnerFixture *fixture, const struct ColtTaskRef *ref)
{
  colt_owner_place_good (fixture, ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, ref, COLT_TASK_EVENT_STARTED));
}

/* The same end twice in one answer of the server is told once. */
static void
test_doubled_end_is_told_once (struct ColtOwnerFixture *fixture,
                               gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtTaskRef after = colt_owner_ref (2);
  struct ColtTaskReport report;

  (void)data;
  place_running_ (fixture, &ref);
  report = colt_fake_server_find (fixture->server, &ref)->report;
  report.state = COLT_TASK_FINISHED;
  report.result = (const uint8_t *)"done";
  report.result_size = 4;
  colt_fake_server_emit (fixture->server, COLT_BACKEND_EVENT_FINISHED, &report,
                         2);
  place_running_ (fixture, &after);
  g_assert_cmpuint (
      colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_ENDED), ==, 1);
  g_assert_true (colt_owner_last_told (&fixture->home, &ref)->has_result);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 1);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* The end overtakes the answer to the change that started the task. */
static void
test_end_before_start_is_told_in_order (struct ColtOwnerFixture *fixture,
                                        gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtTaskReport report = { 0 };

  (void)data;
  fixture->server->holds_changes = true;
  colt_owner_place_good (fixture, &ref);
  report.ref = ref;
  report.state = COLT_TASK_FINISHED;
  report.result = (const uint8_t *)"done";
  report.result_size = 4;
  colt_fake_server_emit (fixture->server, COLT_BACKEND_EVENT_FINISHED, &report,
                         1);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_ENDED));
  colt_fake_server_let_through (fixture->server);
  RUN_UNTIL (fixture, fixture->server->changes == 1);
  g_assert_cmpint (
      g_array_index (fixture->home.told, struct ColtToldEvent, 0).kind, ==,
      COLT_TASK_EVENT_STARTED);
  g_assert_cmpint (colt_owner_last_told (&fixture->home, &ref)->kind, ==,
                   COLT_TASK_EVENT_ENDED);
  g_assert_cmpuint (fixture->home.told->len, ==, 2);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 0);
}

/* What a home did not take goes to the one that leads by then. */
static void
test_untaken_events_go_to_the_new_lead (struct ColtOwnerFixture *fixture,
                                        gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  fixture->home.deaf = true;
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture, fixture->home.unheard > 0);
  colt_owner_set_lead (fixture->owner, colt_id_shard (&ref.request),
                       OTHER_HOME_INSTANCE);
  RUN_UNTIL (fixture, colt_owner_told (&fixture->other_home, &ref,
                                       COLT_TASK_EVENT_STARTED));
  g_assert_cmpuint (fixture->home.told->len, ==, 0);
}

static void
test_untaken_events_are_kept (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  fixture->home.deaf = true;
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture, fixture->home.unheard >= 2);
  g_assert_false (colt_owner_stopped (fixture->owner));
  fixture->home.deaf = false;
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
}

static void
test_query_fetches_the_result (struct ColtOwnerFixture *fixture,
                               gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtHomeCall call;

  (void)data;
  place_running_ (fixture, &ref);
  g_assert_cmpint (colt_owner_query (fixture, &ref, true).stage, ==,
                   COLT_QUERY_RUNNING);
  colt_fake_server_finish (fixture->server, &ref, COLT_TASK_FINISHED);
  call = colt_owner_query (fixture, &ref, false);
  g_assert_cmpint (call.stage, ==, COLT_QUERY_ENDED);
  g_assert_false (call.has_result);
  call = colt_owner_query (fixture, &ref, true);
  g_assert_cmpint (call.stage, ==, COLT_QUERY_ENDED);
  g_assert_true (call.has_result);
}

/* An owner that took a server over knows what runs and ended there. */
static void
test_inventory_is_known_after_a_loss (struct ColtOwnerFixture *fixture,
                                      gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  uint64_t epoch = colt_owner_server_info (fixture).epoch;

  (void)data;
  place_running_ (fixture, &ref);
  fixture->server->lease_fate = COLT_FAKE_FENCED;
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  fixture->server->lease_fate = COLT_FAKE_ANSWERED;
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
test_planned_stop_gives_up_and_tells (struct ColtOwnerFixture *fixture,
                                      gconstpointer data)
{
  const struct ColtResources demand = colt_owner_demand ();
  const uint32_t heir = HOME_INSTANCE;
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtTaskRef late = colt_owner_ref (2);

  (void)data;
  place_running_ (fixture, &ref);
  colt_owner_stop (fixture->owner, &heir, 1);
  g_assert_false (colt_owner_place (fixture, &late, &demand).accepted);
  RUN_UNTIL (fixture, colt_owner_stopped (fixture->owner));
  g_assert_true (fixture->server->released);
  g_assert_cmpint (colt_owner_effects (fixture, &late), ==, 0);
}

void
colt_test_told_add (void)
{
  colt_owner_add_test ("/owner/told/doubled", test_doubled_end_is_told_once);
  colt_owner_add_test ("/owner/told/order",
                       test_end_before_start_is_told_in_order);
  colt_owner_add_test ("/owner/told/new_lead",
                       test_untaken_events_go_to_the_new_lead);
  colt_owner_add_test ("/owner/told/kept", test_untaken_events_are_kept);
  colt_owner_add_test ("/owner/query/result", test_query_fetches_the_result);
  colt_owner_add_test ("/owner/lease/inventory",
                       test_inventory_is_known_after_a_loss);
  colt_owner_add_test ("/owner/stop/planned",
                       test_planned_stop_gives_up_and_tells);
}
