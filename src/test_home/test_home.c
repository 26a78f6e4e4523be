#include "harness.h"

#include <string.h>

#include "coltsfootstile/clock.h"

static struct ColtId
submit_accepted_ (struct ColtHomeFixture *fixture)
{
  const struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);

  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_ACCEPTED);
  return id;
}

static void
expect_done_ (struct ColtHomeFixture *fixture)
{
  RUN_UNTIL (fixture, fixture->answers > 0);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
  g_assert_cmpmem (fixture->result->data, fixture->result->len, "done", 4);
}

static void
test_waiter_gets_the_result (struct ColtHomeFixture *fixture,
                             gconstpointer data)
{
  struct ColtReceivedStart start;

  (void)data;
  submit_accepted_ (fixture);
  RUN_UNTIL (fixture, fixture->starts->len == 1);
  start = *colt_home_get_start (fixture, 0);
  colt_home_send_event (fixture, &start, COLT_TASK_EVENT_STARTED);
  colt_home_send_event (fixture, &start, COLT_TASK_EVENT_ENDED);
  colt_home_send_event (fixture, &start, COLT_TASK_EVENT_ENDED);
  expect_done_ (fixture);
  RUN_UNTIL (fixture,
             colt_wire_received_count (fixture->wire, COLT_WIRE_PLACE_EVENTS)
                 == 3);
  g_assert_cmpuint (fixture->answers, ==, 1);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
}

static void
test_end_may_overtake_the_reply (struct ColtHomeFixture *fixture,
                                 gconstpointer data)
{
  (void)data;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  submit_accepted_ (fixture);
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
}

/* A refused attempt never ran, so even a task that may run only once is placed
 * again, as a new attempt. */
static void
test_refused_start_is_placed_again (struct ColtHomeFixture *fixture,
                                    gconstpointer data)
{
  static const enum ColtPlacementRefusal refusals[]
      = { COLT_REFUSAL_NO_ROOM, COLT_REFUSAL_NO_CREDIT, COLT_REFUSAL_LEAVING,
          COLT_REFUSAL_FENCED };

  fixture->mode = COLT_OWNER_REFUSES;
  fixture->refusal = refusals[GPOINTER_TO_UINT (data)];
  submit_accepted_ (fixture);
  RUN_UNTIL (fixture, fixture->starts->len >= 1);
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  expect_done_ (fixture);
  g_assert_false (colt_task_equal (
      &colt_home_get_start (fixture, 0)->ref,
      &colt_home_get_start (fixture, fixture->starts->len - 1)->ref));
}

/* An owner that doesn't reply to a start may have started the task. The home
 * queries the attempt and sends no other start until its state is known. */
static void
test_unresponsive_owner_is_queried (struct ColtHomeFixture *fixture,
                                    gconstpointer data)
{
  (void)data;
  fixture->mode = COLT_OWNER_SENDS_NO_REPLY;
  fixture->query_stage = COLT_QUERY_STARTING;
  submit_accepted_ (fixture);
  RUN_UNTIL (fixture, fixture->queries >= 2);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  fixture->omits_results = true;
  fixture->query_stage = COLT_QUERY_ENDED;
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
}

static void
test_unstarted_task_is_placed_again (struct ColtHomeFixture *fixture,
                                     gconstpointer data)
{
  (void)data;
  fixture->mode = COLT_OWNER_SENDS_NO_REPLY;
  fixture->query_stage = COLT_QUERY_NOT_RUN;
  submit_accepted_ (fixture);
  RUN_UNTIL (fixture, fixture->queries >= 1);
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->starts->len, >=, 2);
}

static void
test_missing_result_is_fetched (struct ColtHomeFixture *fixture,
                                gconstpointer data)
{
  (void)data;
  fixture->omits_results = true;
  fixture->query_stage = COLT_QUERY_ENDED;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  submit_accepted_ (fixture);
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->queries, >=, 1);
  g_assert_cmpuint (fixture->answers, ==, 1);
}

/* A result that arrives after the leadership was lost and gained again must not
 * be looked up in a request that now has fewer tasks. */
static void
test_late_result_of_missing_task (struct ColtHomeFixture *fixture,
                                  gconstpointer data)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);
  uint32_t shard = colt_id_shard (&id);
  unsigned queries;

  (void)data;
  spec.tasks = 2;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  fixture->omits_results = true;
  fixture->query_stage = COLT_QUERY_ENDED;
  fixture->holds_queries = true;
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_ACCEPTED);
  RUN_UNTIL (fixture, fixture->queries > 0);
  colt_home_open_elsewhere (fixture, shard);
  RUN_UNTIL (fixture,
             colt_requests_find (colt_home_requests (fixture->home), &id)
                 == NULL);
  RUN_UNTIL (fixture,
             colt_shard_leader_is_active (colt_home_shards (fixture->home),
                                          shard, colt_clock_monotonic_us ()));
  spec.tasks = 1;
  fixture->mode = COLT_OWNER_ACCEPTS;
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_ACCEPTED);
  queries = fixture->queries;
  colt_home_reply_to_held_query (fixture);
  fixture->holds_queries = false;
  fixture->query_stage = COLT_QUERY_RUNNING;
  RUN_UNTIL (fixture, fixture->queries > queries);
  g_assert_cmpuint (fixture->answers, ==, 0);
}

/* A stop message may be lost, so it is repeated until the task has ended. */
static void
test_cancel_stops_running_task (struct ColtHomeFixture *fixture,
                                gconstpointer data)
{
  struct ColtId id;

  (void)data;
  id = submit_accepted_ (fixture);
  RUN_UNTIL (fixture, fixture->starts->len == 1);
  colt_home_send_event (fixture, colt_home_get_start (fixture, 0),
                        COLT_TASK_EVENT_STARTED);
  RUN_UNTIL (fixture,
             colt_wire_received_count (fixture->wire, COLT_WIRE_PLACE_EVENTS)
                 == 1);
  colt_home_cancel (fixture, &id);
  RUN_UNTIL (fixture, fixture->stops >= 2);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
}

static void
test_foreign_shard_is_rejected (struct ColtHomeFixture *fixture,
                                gconstpointer data)
{
  const struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_foreign_id (fixture);

  (void)data;
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_NOT_LEADER);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
}

static void
test_stopping_home_rejects_requests (struct ColtHomeFixture *fixture,
                                     gconstpointer data)
{
  const struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);

  (void)data;
  colt_home_stop (fixture->home);
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_NOT_LEADER);
  RUN_UNTIL (fixture, colt_home_is_stopped (fixture->home));
}

/* A durable request is accepted and run only after it is on the log. */
static void
test_durable_request_is_stored_first (struct ColtHomeFixture *fixture,
                                      gconstpointer data)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);
  struct ColtSubmitReceipt receipt;

  (void)data;
  spec.durable = true;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  colt_home_send_submit (fixture, &id, &spec, &receipt);
  RUN_UNTIL (fixture, fixture->store_done != NULL);
  g_assert_false (receipt.done);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  fixture->store_done (fixture->store_done_client, true, true);
  RUN_UNTIL (fixture, receipt.done);
  g_assert_cmpint (receipt.status, ==, COLT_SUBMIT_ACCEPTED);
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->recorded_outcomes, ==, 1);
}

/* Any later leader may restore a request from the log and run it, so a request
 * that is on the log is never answered with "not run", even if its deadline
 * passed while it was being stored. */
static void
test_stored_request_is_not_refused (struct ColtHomeFixture *fixture,
                                    gconstpointer data)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);
  struct ColtSubmitReceipt receipt;

  (void)data;
  spec.durable = true;
  spec.deadline_us = colt_clock_monotonic_us () + 100 * COLT_US_PER_MS;
  colt_home_send_submit (fixture, &id, &spec, &receipt);
  RUN_UNTIL (fixture, fixture->store_done != NULL);
  RUN_UNTIL (fixture, colt_clock_monotonic_us () > spec.deadline_us);
  fixture->store_done (fixture->store_done_client, true, true);
  RUN_UNTIL (fixture, receipt.done);
  g_assert_cmpint (receipt.status, ==, COLT_SUBMIT_ACCEPTED);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
}

static void
check_not_stored_ (struct ColtHomeFixture *fixture,
                   bool certain,
                   enum ColtSubmitStatus status)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);
  struct ColtSubmitReceipt receipt;

  spec.durable = true;
  colt_home_send_submit (fixture, &id, &spec, &receipt);
  RUN_UNTIL (fixture, fixture->store_done != NULL);
  fixture->store_done (fixture->store_done_client, false, certain);
  RUN_UNTIL (fixture, receipt.done);
  g_assert_cmpint (receipt.status, ==, status);
  g_assert_cmpint (receipt.reason, ==, COLT_REASON_LOG_DOWN);
  g_assert_null (colt_requests_find (colt_home_requests (fixture->home), &id));
  g_assert_cmpuint (fixture->starts->len, ==, 0);
}

static void
test_unstored_request_is_not_run (struct ColtHomeFixture *fixture,
                                  gconstpointer data)
{
  (void)data;
  check_not_stored_ (fixture, true, COLT_SUBMIT_NOT_RUN);
}

static void
test_uncertain_store_is_unknown (struct ColtHomeFixture *fixture,
                                 gconstpointer data)
{
  (void)data;
  check_not_stored_ (fixture, false, COLT_SUBMIT_UNKNOWN);
}

static void
test_restored_request_runs_once (struct ColtHomeFixture *fixture,
                                 gconstpointer data)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);

  (void)data;
  spec.durable = true;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  RUN_UNTIL (fixture, colt_shard_leader_count_unknown (
                          colt_home_shards (fixture->home), colt_id_shard (&id))
                          == 0);
  while (colt_requests_find (colt_home_requests (fixture->home), &id) == NULL)
    {
      colt_home_restore_request (fixture->home, &id, &spec);
      colt_home_run_loop (fixture);
    }
  colt_home_restore_request (fixture->home, &id, &spec);
  RUN_UNTIL (fixture, fixture->recorded_outcomes > 0);
  colt_home_restore_request (fixture->home, &id, &spec);
  colt_home_run_loop (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_cmpuint (fixture->recorded_outcomes, ==, 1);
}

/* An id that is submitted twice runs once, and each submission is answered. */
static void
test_known_request_is_not_run_twice (struct ColtHomeFixture *fixture,
                                     gconstpointer data)
{
  const struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id;

  (void)data;
  fixture->mode = COLT_OWNER_ENDS_FIRST;
  id = submit_accepted_ (fixture);
  expect_done_ (fixture);
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_KNOWN);
  RUN_UNTIL (fixture, fixture->answers == 2);
  expect_done_ (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
}

/* The deadline passes before an owner accepts the task, so nothing ran. The
 * gate gets this answer only after an owner has confirmed the leadership later
 * than the decision: otherwise another leader might have run the task. */
static void
test_task_past_deadline_is_not_run (struct ColtHomeFixture *fixture,
                                    gconstpointer data)
{
  struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtId id = colt_home_make_id (fixture);
  const struct ColtRequest *request;

  (void)data;
  fixture->mode = COLT_OWNER_REFUSES;
  fixture->refusal = COLT_REFUSAL_NO_ROOM;
  spec.deadline_us = colt_clock_monotonic_us () + 3 * COLT_US_PER_S;
  g_assert_cmpint (colt_home_submit (fixture, &id, &spec).status, ==,
                   COLT_SUBMIT_ACCEPTED);
  RUN_UNTIL (fixture, fixture->answers > 0);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_NOT_RUN);
  g_assert_cmpint (fixture->reason, ==, COLT_REASON_DEADLINE);
  request = colt_requests_find (colt_home_requests (fixture->home), &id);
  g_assert_nonnull (request);
  g_assert_true (colt_shard_leader_was_exclusive (
      colt_home_shards (fixture->home), colt_id_shard (&id), request->ended_us,
      colt_clock_monotonic_us ()));
}

static struct ColtBundle *
make_bundle_ (void)
{
  static const char *const kinds[]
      = { "interactive", "service", "batch", "gang" };
  GString *text
      = g_string_new ("[bundle]\nversion = 1\nparent = none\noperator = ");
  struct ColtBundle *bundle;
  size_t i;

  for (i = 0; i < 64; i++)
    g_string_append_c (text, 'a');
  g_string_append (text,
                   "\n[organisation hire]\ntitle = Hire\n"
                   "[team team]\norganisation = hire\nweight = 1\n"
                   "limit_tasks = 100\nretries_per_minute = 10\n"
                   "[queue queue]\nteam = team\nopen = yes\nmax_waiting = 3\n");
  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    g_string_append_printf (text,
                            "[work %s]\npolicy = pack\npriority = 1\n"
                            "max_attempts = 1\ncheckpoint = no\n",
                            kinds[i]);
  g_string_append (text, "[zone 1]\nregion = west\n");
  bundle = colt_bundle_parse (text->str, NULL, NULL);
  g_assert_nonnull (bundle);
  g_string_free (text, TRUE);
  return bundle;
}

/* A request is refused immediately if its queue's bound is reached; requests
 * accepted before stay queued. */
static void
test_full_queue_refuses_requests (struct ColtHomeFixture *fixture,
                                  gconstpointer data)
{
  const struct ColtRequestSpec spec = colt_home_make_spec ();
  struct ColtBundle *bundle = make_bundle_ ();
  unsigned accepted = 0;
  unsigned full = 0;
  int i;

  (void)data;
  fixture->mode = COLT_OWNER_REFUSES;
  fixture->refusal = COLT_REFUSAL_NO_ROOM;
  colt_home_set_bundle (fixture->home, bundle);
  for (i = 0; i < 8; i++)
    {
      struct ColtId id = colt_home_make_id (fixture);
      struct ColtSubmitReceipt receipt = colt_home_submit (fixture, &id, &spec);

      accepted += receipt.status == COLT_SUBMIT_ACCEPTED;
      full += receipt.status == COLT_SUBMIT_NOT_RUN
              && receipt.reason == COLT_REASON_QUEUE_FULL;
    }
  g_assert_cmpuint (accepted, >=, 1);
  g_assert_cmpuint (accepted, <=, 3);
  g_assert_cmpuint (accepted + full, ==, 8);
  colt_bundle_destroy (bundle);
}

static void
add_test_ (const char *path,
           void (*test) (struct ColtHomeFixture *fixture, gconstpointer data),
           unsigned number)
{
  g_test_add (path, struct ColtHomeFixture, GUINT_TO_POINTER (number),
              colt_home_set_up, test, colt_home_tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_test_ ("/home/answer/result", test_waiter_gets_the_result, 0);
  add_test_ ("/home/submit/queue_full", test_full_queue_refuses_requests, 0);
  add_test_ ("/home/answer/overtakes", test_end_may_overtake_the_reply, 0);
  add_test_ ("/home/answer/fetched", test_missing_result_is_fetched, 0);
  add_test_ ("/home/answer/known", test_known_request_is_not_run_twice, 0);
  add_test_ ("/home/answer/not_run", test_task_past_deadline_is_not_run, 0);
  add_test_ ("/home/answer/late_result", test_late_result_of_missing_task, 0);
  add_test_ ("/home/place/no_room", test_refused_start_is_placed_again, 0);
  add_test_ ("/home/place/no_credit", test_refused_start_is_placed_again, 1);
  add_test_ ("/home/place/leaving", test_refused_start_is_placed_again, 2);
  add_test_ ("/home/place/fenced", test_refused_start_is_placed_again, 3);
  add_test_ ("/home/place/silent", test_unresponsive_owner_is_queried, 0);
  add_test_ ("/home/place/never", test_unstarted_task_is_placed_again, 0);
  add_test_ ("/home/cancel", test_cancel_stops_running_task, 0);
  add_test_ ("/home/submit/foreign", test_foreign_shard_is_rejected, 0);
  add_test_ ("/home/submit/stopping", test_stopping_home_rejects_requests, 0);
  add_test_ ("/home/durable/stored", test_durable_request_is_stored_first, 0);
  add_test_ ("/home/durable/not_stored", test_unstored_request_is_not_run, 0);
  add_test_ ("/home/durable/uncertain", test_uncertain_store_is_unknown, 0);
  add_test_ ("/home/durable/late", test_stored_request_is_not_refused, 0);
  add_test_ ("/home/durable/restored", test_restored_request_runs_once, 0);
  return g_test_run ();
}
