#include "harness.h"

/* If the answer to a start is lost after the start took effect, a look-up finds
 * the task, and the start is not sent again. */
static void
test_lost_answer_is_looked_up (struct ColtOwnerFixture *fixture,
                               gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_ANSWER_LOST);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 1);
  g_assert_cmpuint (fixture->server->change_count, ==, 1);
  g_assert_cmpuint (fixture->server->fetch_count, ==, 1);
  g_assert_cmpuint (colt_owner_server_info (fixture).running, ==, 1);
}

/* If a start is lost on its way to the server, a look-up finds no task, and the
 * start is sent again as the same attempt. */
static void
test_lost_call_is_resent (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 1);
  g_assert_cmpuint (fixture->server->tasks->len, ==, 1);
  g_assert_cmpuint (fixture->server->change_count, ==, 2);
  g_assert_cmpuint (
      colt_owner_count_events (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED),
      ==, 0);
}

/* A failed look-up is repeated until the server answers it. */
static void
test_look_up_is_repeated (struct ColtOwnerFixture *fixture, gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_ANSWER_LOST);
  fixture->server->fetch_outcome = COLT_FAKE_CALL_LOST;
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->fetch_count >= 2);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_STARTING);
  fixture->server->fetch_outcome = COLT_FAKE_ANSWERED;
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 1);
}

/* If the first copy of a start got no answer, it may have taken effect. The
 * start must not be refused when the second copy certainly was not sent. */
static void
test_unsent_resend_is_not_refused (struct ColtOwnerFixture *fixture,
                                   gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_NOT_SENT);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, fixture->server->change_count >= 2);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED)
                          || colt_owner_count_events (&fixture->home, &ref,
                                                      COLT_TASK_EVENT_REFUSED));
  g_assert_cmpuint (
      colt_owner_count_events (&fixture->home, &ref, COLT_TASK_EVENT_REFUSED),
      ==, 0);
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 1);
}

/* If the first copy of a start got no answer and the second one is fenced, the
 * owner sends the home no event, since the first copy may have taken effect. */
static void
test_fenced_resend_is_not_refused (struct ColtOwnerFixture *fixture,
                                   gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_CALL_LOST);
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_FENCED);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  g_assert_null (colt_owner_last_event (&fixture->home, &ref));
}

static void
test_unsent_start_is_refused (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_NOT_SENT);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_count_starts (fixture, &ref), ==, 0);
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NOT_RUN);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

static void
test_refused_start_is_reported (struct ColtOwnerFixture *fixture,
                                gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_fake_server_plan_change (fixture->server, COLT_FAKE_REFUSED);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_REFUSED));
  g_assert_cmpint (colt_owner_last_event (&fixture->home, &ref)->refusal, ==,
                   COLT_REFUSAL_FENCED);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 4);
}

/* Further copies of an accepted start have no effect, whether they arrive
 * before or after the task starts. */
static void
test_duplicate_place_starts_once (struct ColtOwnerFixture *fixture,
                                  gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);

  (void)data;
  colt_owner_place_accepted (fixture, &ref);
  colt_owner_place_accepted (fixture, &ref);
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &ref,
                                               COLT_TASK_EVENT_STARTED));
  colt_owner_place_accepted (fixture, &ref);
  g_assert_cmpuint (fixture->server->change_count, ==, 1);
  g_assert_cmpint (
      colt_owner_server_info (fixture).free.amount[COLT_RESOURCE_SLOTS], ==, 3);
}

/* A query for an attempt whose start has not arrived yet makes the owner refuse
 * that start later. */
static void
test_query_blocks_late_start (struct ColtOwnerFixture *fixture,
                              gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  const struct ColtResources demand = colt_owner_small_demand ();

  (void)data;
  g_assert_cmpint (colt_owner_query (fixture, &ref, false).stage, ==,
                   COLT_QUERY_NOT_RUN);
  g_assert_false (colt_owner_place (fixture, &ref, &demand).accepted);
  g_assert_cmpuint (fixture->server->change_count, ==, 0);
}

static void
test_lower_shard_epoch_is_fenced (struct ColtOwnerFixture *fixture,
                                  gconstpointer data)
{
  struct ColtTaskRef ref = colt_owner_make_ref (1);
  const struct ColtResources demand = colt_owner_small_demand ();
  uint64_t before = fixture->shard_epoch;
  struct ColtHomeCall call;

  (void)data;
  colt_owner_open_sessions (fixture);
  fixture->shard_epoch = before;
  call = colt_owner_place (fixture, &ref, &demand);
  g_assert_false (call.accepted);
  g_assert_cmpint (call.refusal, ==, COLT_REFUSAL_FENCED);
  g_assert_cmpuint (fixture->server->change_count, ==, 0);
}

/* When the lease is lost, queued starts are refused. Those in an open change
 * may take effect, so that the home receives no event of them. */
static void
test_lost_lease_refuses_unsent_starts_only (struct ColtOwnerFixture *fixture,
                                            gconstpointer data)
{
  struct ColtTaskRef sent = colt_owner_make_ref (1);
  struct ColtTaskRef queued = colt_owner_make_ref (2);

  (void)data;
  fixture->server->delays_changes = true;
  colt_owner_place_accepted (fixture, &sent);
  colt_owner_place_accepted (fixture, &queued);
  g_assert_cmpuint (fixture->all_leases_lost_count, ==, 0);
  fixture->server->lease_outcome = COLT_FAKE_FENCED;
  RUN_UNTIL (fixture, colt_owner_count_events (&fixture->home, &queued,
                                               COLT_TASK_EVENT_REFUSED));
  RUN_UNTIL (fixture,
             colt_owner_server_info (fixture).state != COLT_LEASE_HELD);
  g_assert_cmpuint (fixture->all_leases_lost_count, >, 0);
  colt_fake_server_release_changes (fixture->server);
  RUN_UNTIL (fixture, fixture->server->change_count == 1);
  g_assert_null (colt_owner_last_event (&fixture->home, &sent));
  g_assert_cmpint (colt_owner_count_starts (fixture, &queued), ==, 0);
}

void
colt_test_starts_add (void)
{
  colt_owner_add_test ("/owner/start/lost_answer",
                       test_lost_answer_is_looked_up);
  colt_owner_add_test ("/owner/start/lost_call", test_lost_call_is_resent);
  colt_owner_add_test ("/owner/start/look_up", test_look_up_is_repeated);
  colt_owner_add_test ("/owner/start/second_failure",
                       test_unsent_resend_is_not_refused);
  colt_owner_add_test ("/owner/start/second_fenced",
                       test_fenced_resend_is_not_refused);
  colt_owner_add_test ("/owner/start/not_sent", test_unsent_start_is_refused);
  colt_owner_add_test ("/owner/start/refused", test_refused_start_is_reported);
  colt_owner_add_test ("/owner/start/copy", test_duplicate_place_starts_once);
  colt_owner_add_test ("/owner/start/query", test_query_blocks_late_start);
  colt_owner_add_test ("/owner/start/shard_epoch",
                       test_lower_shard_epoch_is_fenced);
  colt_owner_add_test ("/owner/start/lost_lease",
                       test_lost_lease_refuses_unsent_starts_only);
}
