#include "harness.h"

#include <string.h>

/* No resource is promised twice, and a start that does not fit is refused. */
static void
test_each_resource_is_bounded (struct ColtOwnerFixture *fixture,
                               gconstpointer data)
{
  const struct ColtResources all = fixture->server->description.capacity;
  uint8_t number = 1;
  int resource;

  (void)data;
  for (resource = 0; resource < COLT_RESOURCE_COUNT; resource++)
    {
      struct ColtResources whole = { { 0 } };
      struct ColtResources one = { { 0 } };
      struct ColtTaskRef first = colt_owner_ref (number++);
      struct ColtTaskRef second = colt_owner_ref (number++);
      struct ColtHomeCall call;

      whole.amount[resource] = all.amount[resource];
      one.amount[resource] = 1;
      g_assert_true (colt_owner_place (fixture, &first, &whole).accepted);
      call = colt_owner_place (fixture, &second, &one);
      g_assert_false (call.accepted);
      g_assert_cmpint (call.refusal, ==, COLT_REFUSAL_NO_ROOM);
      g_assert_cmpint (colt_owner_server_info (fixture).free.amount[resource],
                       ==, 0);
    }
}

static void
test_room_returns_with_the_end (struct ColtOwnerFixture *fixture,
                                gconstpointer data)
{
  const struct ColtResources all = fixture->server->description.capacity;
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtOwnedServerInfo info;

  (void)data;
  g_assert_true (colt_owner_place (fixture, &ref, &all).accepted);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  colt_fake_server_finish (fixture->server, &ref, COLT_TASK_FINISHED);
  info = colt_owner_server_info (fixture);
  g_assert_cmpmem (&info.free, sizeof info.free, &all, sizeof all);
  g_assert_cmpuint (info.running, ==, 0);
}

/* A task near its limit on memory gets more, but never what others hold. */
static void
test_resize_stays_in_the_free_room (struct ColtOwnerFixture *fixture,
                                    gconstpointer data)
{
  const struct ColtResources large = { { 500, 880, 0, 1, 1 } };
  const struct ColtResources small = { { 500, 100, 0, 1, 1 } };
  struct ColtTaskRef first = colt_owner_ref (1);
  struct ColtTaskRef second = colt_owner_ref (2);
  struct ColtTaskReport report;
  const struct ColtBackendResize *resize;

  (void)data;
  g_assert_true (colt_owner_place (fixture, &first, &large).accepted);
  g_assert_true (colt_owner_place (fixture, &second, &small).accepted);
  RUN_UNTIL (fixture, fixture->server->tasks->len == 2
                          && colt_owner_told (&fixture->home, &second,
                                              COLT_TASK_EVENT_STARTED));
  report = colt_fake_server_find (fixture->server, &second)->report;
  report.usage.amount[COLT_RESOURCE_MEMORY] = 95;
  colt_fake_server_emit (fixture->server, COLT_BACKEND_EVENT_USAGE, &report, 2);
  RUN_UNTIL (fixture, fixture->server->resizes->len > 0);
  resize = &g_array_index (fixture->server->resizes, struct ColtBackendResize,
                           fixture->server->resizes->len - 1);
  g_assert_true (colt_task_equal (&resize->ref, &second));
  g_assert_cmpint (resize->limit.amount[COLT_RESOURCE_MEMORY], ==, 120);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_MEMORY], ==,
      0);
}

static void
test_lost_resize_is_sent_again (struct ColtOwnerFixture *fixture,
                                gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtTaskReport report;

  (void)data;
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  report = colt_fake_server_find (fixture->server, &ref)->report;
  report.usage.amount[COLT_RESOURCE_MEMORY] = 95;
  colt_fake_server_emit (fixture->server, COLT_BACKEND_EVENT_USAGE, &report, 1);
  RUN_UNTIL (fixture, fixture->server->resizes->len > 0);
  g_assert_cmpint (
      g_array_index (fixture->server->resizes, struct ColtBackendResize, 0)
          .limit.amount[COLT_RESOURCE_MEMORY],
      ==, 125);
  g_assert_cmpuint (fixture->server->changes, ==, 3);
}

static void
test_leaving_server_takes_nothing (struct ColtOwnerFixture *fixture,
                                   gconstpointer data)
{
  const struct ColtResources demand = colt_owner_demand ();
  struct ColtTaskRef ref = colt_owner_ref (1);
  struct ColtHomeCall call;

  (void)data;
  fixture->server->description.leaving = true;
  RUN_UNTIL (fixture, colt_owner_server_info (fixture).leaving);
  call = colt_owner_place (fixture, &ref, &demand);
  g_assert_false (call.accepted);
  g_assert_cmpint (call.refusal, ==, COLT_REFUSAL_LEAVING);
}

static void
test_start_waits_for_credits (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_owner_grant (fixture, 0);
  colt_owner_place_good (fixture, &ref);
  g_assert_cmpuint (fixture->server->changes, ==, 0);
  colt_owner_grant (fixture, 1);
  RUN_UNTIL (
      fixture,
      colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED)
          || colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_told (&fixture->home, &ref)->kind, ==,
                   COLT_TASK_EVENT_STARTED);
}

static void
test_wait_for_credits_ends (struct ColtOwnerFixture *fixture,
                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_owner_grant (fixture, 0);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_told (&fixture->home, &ref)->refusal, ==,
                   COLT_REFUSAL_NO_CREDIT);
  colt_owner_grant (fixture, 1);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NEVER);
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 0);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

static void
test_credits_bound_what_runs (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef first = colt_owner_ref (1);
  struct ColtTaskRef second = colt_owner_ref (2);

  (void)data;
  colt_owner_grant (fixture, 1);
  colt_owner_place_good (fixture, &first);
  colt_owner_place_good (fixture, &second);
  RUN_UNTIL (fixture, colt_owner_told (&fixture->home, &second,
                                       COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_effects (fixture, &first), ==, 1);
  g_assert_cmpint (colt_owner_effects (fixture, &second), ==, 0);
}

void
colt_test_room_add (void)
{
  colt_owner_add_test ("/owner/room/resources", test_each_resource_is_bounded);
  colt_owner_add_test ("/owner/room/end", test_room_returns_with_the_end);
  colt_owner_add_test ("/owner/room/resize",
                       test_resize_stays_in_the_free_room);
  colt_owner_add_test ("/owner/room/lost_resize",
                       test_lost_resize_is_sent_again);
  colt_owner_add_test ("/owner/room/leaving",
                       test_leaving_server_takes_nothing);
  colt_owner_add_test ("/owner/credit/wait", test_start_waits_for_credits);
  colt_owner_add_test ("/owner/credit/patience", test_wait_for_credits_ends);
  colt_owner_add_test ("/owner/credit/bound", test_credits_bound_what_runs);
}
