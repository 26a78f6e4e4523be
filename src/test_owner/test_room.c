#include "harness.h"

#include <string.h>

/* No resource is reserved twice, and a start that does not fit is refused. */
static void
test_each_resource_is_limited (struct ColtOwnerFixture *fixture,
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
      struct ColtTaskRef first = colt_owner_make_ref (number++);
      struct ColtTaskRef second = colt_owner_make_ref (number++);
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
test_end_frees_resources (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  const struct ColtResources all = fixture->server->description.capacity;
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtOwnedServerInfo info;

  (void)data;
  g_assert_true (colt_owner_place (fixture, &ref, &all).accepted);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  colt_fake_server_finish_task (fixture->server, &ref, COLT_TASK_FINISHED);
  info = colt_owner_server_info (fixture);
  g_assert_cmpmem (&info.free, sizeof info.free, &all, sizeof all);
  g_assert_cmpuint (info.running, ==, 0);
}

/* A task near its memory limit gets more memory, but none that is reserved for
 * other tasks. */
static void
test_resize_stays_within_free_memory (struct ColtOwnerFixture *fixture,
                                      gconstpointer data)
{
  const struct ColtResources large = { { 500, 880, 0, 1, 1 } };
  const struct ColtResources small = { { 500, 100, 0, 1, 1 } };
  struct ColtTaskRef first = colt_owner_make_ref (1);
  struct ColtTaskRef second = colt_owner_make_ref (2);
  struct ColtTaskReport report;
  const struct ColtBackendResize *resize;

  (void)data;
  g_assert_true (colt_owner_place (fixture, &first, &large).accepted);
  g_assert_true (colt_owner_place (fixture, &second, &small).accepted);
  RUN_UNTIL (fixture, fixture->server->tasks->len == 2
                          && colt_owner_count_events (&fixture->home, &second,
                                                      COLT_TASK_EVENT_STARTED));
  report = colt_fake_server_find_task (fixture->server, &second)->report;
  report.usage.amount[COLT_RESOURCE_MEMORY] = 95;
  colt_fake_server_emit_events (fixture->server, COLT_BACKEND_EVENT_USAGE,
                                &report, 2);
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
test_lost_resize_is_resent (struct ColtOwnerFixture *fixture,
                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  struct ColtTaskReport report;

  (void)data;
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  report = colt_fake_server_find_task (fixture->server, &ref)->report;
  report.usage.amount[COLT_RESOURCE_MEMORY] = 95;
  colt_fake_server_emit_events (fixture->server, COLT_BACKEND_EVENT_USAGE,
                                &report, 1);
  RUN_UNTIL (fixture, fixture->server->resizes->len > 0);
  g_assert_cmpint (
      g_array_index (fixture->server->resizes, struct ColtBackendResize, 0)
          .limit.amount[COLT_RESOURCE_MEMORY],
      ==, 125);
  g_assert_cmpuint (fixture->server->change_count, ==, 3);
}

static void
test_leaving_server_refuses_starts (struct ColtOwnerFixture *fixture,
                                    gconstpointer data)
{
  const struct ColtResources demand = colt_owner_small_demand ();
  struct ColtTaskRef ref = colt_owner_make_ref (1);
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
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_owner_grant_credits (fixture, 0);
  colt_owner_place_accepted (fixture, &ref);
  g_assert_cmpuint (fixture->server->change_count, ==, 0);
  colt_owner_grant_credits (fixture, 1);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED)
                          || colt_owner_count_events (&fixture->home, &ref,
                                                      COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_event (&fixture->home, &ref)->kind, ==,
                   COLT_TASK_EVENT_STARTED);
}

static void
test_credit_wait_times_out (struct ColtOwnerFixture *fixture,
                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_owner_grant_credits (fixture, 0);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_event (&fixture->home, &ref)->refusal, ==,
                   COLT_REFUSAL_NO_CREDIT);
  colt_owner_grant_credits (fixture, 1);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NOT_RUN);
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 0);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

static void
test_credits_limit_running_tasks (struct ColtOwnerFixture *fixture,
                                  gconstpointer data)
{
  struct ColtTaskRef first = colt_owner_make_ref (1);
  struct ColtTaskRef second = colt_owner_make_ref (2);

  (void)data;
  colt_owner_grant_credits (fixture, 1);
  colt_owner_place_accepted (fixture, &first);
  colt_owner_place_accepted (fixture, &second);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &second,
                                               COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &first), ==, 1);
  g_assert_cmpint (colt_owner_count_starts (fixture, &second), ==, 0);
}

void
colt_test_room_add (void)
{
  colt_owner_add_test ("/owner/room/resources", test_each_resource_is_limited);
  colt_owner_add_test ("/owner/room/end", test_end_frees_resources);
  colt_owner_add_test ("/owner/room/resize",
                       test_resize_stays_within_free_memory);
  colt_owner_add_test ("/owner/room/lost_resize", test_lost_resize_is_resent);
  colt_owner_add_test ("/owner/room/leaving",
                       test_leaving_server_refuses_starts);
  colt_owner_add_test ("/owner/credit/wait", test_start_waits_for_credits);
  colt_owner_add_test ("/owner/credit/timeout", test_credit_wait_times_out);
  colt_owner_add_test ("/owner/credit/bound", test_credits_limit_running_tasks);
}
