#include "harness.h"

/* A start whose answer was lost after it took effect is found, not repeated. */
static void
test_lost_answer_is_found (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_ANSWER_LOST);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 1);
  g_assert_cmpuint (fixture->server->changes, ==, 1);
  g_assert_cmpuint (fixture->server->fetches, ==, 1);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 1);
}

/* One that is not found there is sent again as the same attempt. */
static void
test_lost_call_is_sent_again (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 1);
  g_assert_cmpuint (fixture->server->tasks->len, ==, 1);
  g_assert_cmpuint (fixture->server->changes, ==, 2);
  g_assert_cmpuint (
      colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED), ==, 0);
}

/* The look-up fails first: the owner asks until it knows. */
static void
test_look_up_is_repeated (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_ANSWER_LOST);
  fixture->server->fetch_fate = COLT_FAKE_CALL_LOST;
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->fetches >= 2);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_STARTING);
  fixture->server->fetch_fate = COLT_FAKE_ANSWERED;
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 1);
}

/* After a first copy without an answer, the second one's failure says nothing
 * of the first. */
static void
test_second_failure_refuses_nothing (struct ColtOwnerFixture *fixture,
                                     gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  colt_fake_server_plan (fixture->server, COLT_FAKE_NOT_SENT);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->changes >= 2);
  RUN_UNTIL (
      fixture,
      colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED)
          || colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED));
  g_assert_cmpuint (
      colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED), ==, 0);
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 1);
}

/* The same when the second copy meets a higher epoch: no word at all. */
static void
test_fence_after_lost_call_refuses_nothing (struct ColtOwnerFixture *fixture,
                                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_CALL_LOST);
  colt_fake_server_plan (fixture->server, COLT_FAKE_FENCED);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  g_assert_null (colt_owner_last_told (&fixture->home, &ref));
}

static void
test_unsent_start_is_refused (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_NOT_SENT);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_effects (fixture, &ref), ==, 0);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NEVER);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

static void
test_refused_start_is_told (struct ColtOwnerFixture *fixture,
                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_fake_server_plan (fixture->server, COLT_FAKE_REFUSED);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_told (&fixture->home, &ref)->refusal, ==,
                   COLT_REFUSAL_FENCED);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

/* A copy that comes after the start was taken over changes nothing. */
static void
test_copy_of_place_starts_once (struct ColtOwnerFixture *fixture,
                                gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);

  (void)data;
  colt_owner_place_good (fixture, &ref);
  colt_owner_place_good (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_told (&fixture->home, &ref, COLT_TASK_EVENT_STARTED));
  colt_owner_place_good (fixture, &ref);
  g_assert_cmpuint (fixture->server->changes, ==, 1);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* Whoever asks for an attempt that has not arrived keeps it from running. */
static void
test_query_bars_late_start (struct ColtOwnerFixture *fixture,
                            gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  const struct ColtResources demand = colt_owner_demand ();

  (void)data;
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NEVER);
  g_assert_false (colt_owner_place (fixture, &ref, &demand).accepted);
  g_assert_cmpuint (fixture->server->changes, ==, 0);
}

static void
test_lower_shard_epoch_is_fenced (struct ColtOwnerFixture *fixture,
                                  gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_ref (1);
  const struct ColtResources demand = colt_owner_demand ();
  uint64_t before = fixture->shard_epoch;
  struct ColtHomeCall call;

  (void)data;
  colt_owner_open_sessions (fixture);
  fixture->shard_epoch = before;
  call = colt_owner_place (fixture, &ref, &demand);
  g_assert_false (call.accepted);
  g_assert_cmpint (call.refusal, ==, COLT_REFUSAL_FENCED);
  g_assert_cmpuint (fixture->server->changes, ==, 0);
}

/* Of a lost lease's starts, those still here are refused for certain, and of
 * those on their way nothing is said. */
static void
test_lost_lease_refuses_only_what_was_not_sent (
    struct ColtOwnerFixture *fixture,
    gconstpointer data)
{
  struct ColtTaskRef sent = colt_owner_ref (1);
  struct ColtTaskRef queued = colt_owner_ref (2);

  (void)data;
  fixture->server->holds_changes = true;
  colt_owner_place_good (fixture, &sent);
  colt_owner_place_good (fixture, &queued);
  g_assert_cmpuint (fixture->bare, ==, 0);
  fixture->server->lease_fate = COLT_FAKE_FENCED;
  RUN_UNTIL (fixture, colt_owner_told (&fixture->home, &queued,
                                       COLT_TASK_EVENT_REFUSED));
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  g_assert_cmpuint (fixture->bare, >, 0);
  colt_fake_server_let_through (fixture->server);
  RUN_UNTIL (fixture, fixture->server->changes == 1);
  g_assert_null (colt_owner_last_told (&fixture->home, &sent));
  g_assert_cmpint (colt_owner_effects (fixture, &queued), ==, 0);
}

void
colt_test_starts_add (void)
{
  colt_owner_add_test ("/owner/start/lost_answer", test_lost_answer_is_found);
  colt_owner_add_test ("/owner/start/lost_call", test_lost_call_is_sent_again);
  colt_owner_add_test ("/owner/start/look_up", test_look_up_is_repeated);
  colt_owner_add_test ("/owner/start/second_failure",
                       test_second_failure_refuses_nothing);
  colt_owner_add_test ("/owner/start/second_fenced",
                       test_fence_after_lost_call_refuses_nothing);
  colt_owner_add_test ("/owner/start/not_sent", test_unsent_start_is_refused);
  colt_owner_add_test ("/owner/start/refused", test_refused_start_is_told);
  colt_owner_add_test ("/owner/start/copy", test_copy_of_place_starts_once);
  colt_owner_add_test ("/owner/start/query", test_query_bars_late_start);
  colt_owner_add_test ("/owner/start/shard_epoch",
                       test_lower_shard_epoch_is_fenced);
  colt_owner_add_test ("/owner/start/lost_lease",
                       test_lost_lease_refuses_only_what_was_not_sent);
}
