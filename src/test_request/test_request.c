#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/request_messages.h"
#include "table_fixture.h"

static void
test_done (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;
  const struct ColtRequest *request;

  (void)data;
  g_assert_cmpint (table_submit (fixture, &id, &spec), ==,
                   COLT_SUBMIT_ACCEPTED);
  ref = table_begin_attempt (fixture, &id, 0);
  colt_requests_handle_start (fixture->requests, &ref, TEST_SHARD_EPOCH,
                              fixture->now_us);
  g_assert_cmpuint (fixture->ended_count, ==, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FINISHED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
  request = colt_requests_find (fixture->requests, &id);
  g_assert_cmpmem (request->tasks[0].result, request->tasks[0].result_size,
                   "answer", 6);
  table_assert_idle (fixture);
}

static void
test_duplicate_adds_waiter (struct ColtTableFixture *fixture,
                            gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  enum ColtReason reason;

  (void)data;
  table_submit (fixture, &id, &spec);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_KNOWN);
  g_assert_cmpuint (fixture->queued_count, ==, 1);
  g_assert_cmpuint (colt_requests_find (fixture->requests, &id)->waiter_count,
                    ==, 2);
}

static void
test_mismatch (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtRequestSpec other = table_spec (false);
  struct ColtId id = table_id (1);
  enum ColtReason reason;

  if (strcmp (data, "payload") == 0)
    other.payload = (const uint8_t *)"wark";
  else if (strcmp (data, "queue") == 0)
    g_strlcpy (other.queue, "other", sizeof other.queue);
  else
    other.demand.amount[COLT_RESOURCE_MEMORY]++;
  table_submit (fixture, &id, &spec);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &other, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_NOT_RUN);
  g_assert_cmpint (reason, ==, COLT_REASON_MISMATCH);
  g_assert_cmpuint (fixture->queued_count, ==, 1);
}

static void
test_not_leader (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);

  (void)data;
  colt_requests_close_shard (fixture->requests, colt_id_shard (&id));
  g_assert_cmpint (table_submit (fixture, &id, &spec), ==,
                   COLT_SUBMIT_NOT_LEADER);
  g_assert_cmpuint (fixture->queued_count, ==, 0);
}

static void
test_refused_attempt_is_replaced (struct ColtTableFixture *fixture,
                                  gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;
  struct ColtTaskRef second;

  (void)data;
  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  colt_requests_handle_refusal (fixture->requests, &ref, TEST_SHARD_EPOCH,
                                fixture->now_us);
  second = table_begin_attempt (fixture, &id, 0);
  g_assert_cmpuint (second.attempt, ==, 2);
  /* A late report of the first attempt is ignored. */
  table_end_attempt (fixture, &ref, COLT_TASK_FAILED);
  g_assert_cmpuint (fixture->ended_count, ==, 0);
  table_end_attempt (fixture, &second, COLT_TASK_FINISHED);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
}

static void
test_one_run_if_not_idempotent (struct ColtTableFixture *fixture,
                                gconstpointer data)
{
  enum ColtTaskState state = GPOINTER_TO_INT (data);
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;

  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  table_end_attempt (fixture, &ref, state);
  table_advance (fixture, 60 * COLT_US_PER_S);
  g_assert_cmpuint (fixture->queued_count, ==, 1);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==,
                   state == COLT_TASK_LAPSED ? COLT_OUTCOME_UNKNOWN
                                             : COLT_OUTCOME_FAILED);
  table_assert_idle (fixture);
}

static void
test_retries_back_off (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;

  (void)data;
  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FAILED);
  table_advance (fixture, COLT_RETRY_DELAY_US / 2 - 1);
  g_assert_cmpuint (fixture->queued_count, ==, 1);
  table_advance (fixture, 1);
  g_assert_cmpuint (fixture->queued_count, ==, 2);
  ref = table_begin_attempt (fixture, &id, 0);
  fixture->random = 10;
  table_end_attempt (fixture, &ref, COLT_TASK_LAPSED);
  table_advance (fixture, COLT_RETRY_DELAY_US + 9);
  g_assert_cmpuint (fixture->queued_count, ==, 2);
  table_advance (fixture, 1);
  ref = table_begin_attempt (fixture, &id, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FAILED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_FAILED);
  g_assert_cmpuint (fixture->retries, ==, 98);
}

static void
test_retry_budget (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;

  (void)data;
  fixture->retries = 0;
  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FAILED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_FAILED);
}

static void
test_cancel (struct ColtTableFixture *fixture, gconstpointer data)
{
  const char *stage = data;
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref = { id, 0, 0 };

  table_submit (fixture, &id, &spec);
  if (!g_str_equal (stage, "waiting"))
    ref = table_begin_attempt (fixture, &id, 0);
  if (g_str_equal (stage, "running"))
    colt_requests_handle_start (fixture->requests, &ref, TEST_SHARD_EPOCH,
                                fixture->now_us);
  if (g_str_equal (stage, "delayed"))
    table_end_attempt (fixture, &ref, COLT_TASK_FAILED);
  colt_requests_cancel (fixture->requests, &id, fixture->now_us);
  colt_requests_cancel (fixture->requests, &id, fixture->now_us);
  if (g_str_equal (stage, "sent"))
    colt_requests_handle_refusal (fixture->requests, &ref, TEST_SHARD_EPOCH,
                                  fixture->now_us);
  if (g_str_equal (stage, "running"))
    {
      g_assert_cmpuint (fixture->stop_count, ==, 1);
      g_assert_cmpuint (fixture->ended_count, ==, 0);
      table_end_attempt (fixture, &ref, COLT_TASK_STOPPED);
    }
  table_advance (fixture, 60 * COLT_US_PER_S);
  g_assert_cmpuint (fixture->queued_count, ==, 1);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==,
                   g_str_equal (stage, "waiting") ? COLT_OUTCOME_NOT_RUN
                                                  : COLT_OUTCOME_CANCELLED);
  g_assert_cmpint (fixture->reason, ==, COLT_REASON_CANCELLED);
  table_assert_idle (fixture);
}

static void
test_deadline (struct ColtTableFixture *fixture, gconstpointer data)
{
  const char *stage = data;
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref = { id, 0, 0 };

  spec.deadline_us = fixture->now_us + COLT_US_PER_S;
  table_submit (fixture, &id, &spec);
  if (!g_str_equal (stage, "waiting"))
    ref = table_begin_attempt (fixture, &id, 0);
  if (g_str_equal (stage, "running"))
    colt_requests_handle_start (fixture->requests, &ref, TEST_SHARD_EPOCH,
                                fixture->now_us);
  table_advance (fixture, COLT_US_PER_S - 1);
  g_assert_cmpuint (fixture->ended_count, ==, 0);
  table_advance (fixture, 1);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->reason, ==, COLT_REASON_DEADLINE);
  g_assert_cmpint (fixture->outcome, ==,
                   g_str_equal (stage, "waiting") ? COLT_OUTCOME_NOT_RUN
                                                  : COLT_OUTCOME_UNKNOWN);
  if (ref.attempt > 0)
    table_end_attempt (fixture, &ref, COLT_TASK_STOPPED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  table_assert_idle (fixture);
}

static void
test_passed_deadline_is_refused (struct ColtTableFixture *fixture,
                                 gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);

  (void)data;
  spec.deadline_us = fixture->now_us;
  g_assert_cmpint (table_submit (fixture, &id, &spec), ==, COLT_SUBMIT_NOT_RUN);
  g_assert_null (colt_requests_find (fixture->requests, &id));
}

static void
test_server_loss (struct ColtTableFixture *fixture, gconstpointer data)
{
  bool idempotent = GPOINTER_TO_INT (data);
  struct ColtRequestSpec spec = table_spec (idempotent);
  struct ColtId id = table_id (1);

  table_submit (fixture, &id, &spec);
  table_begin_attempt (fixture, &id, 0);
  colt_requests_handle_server_loss (fixture->requests, colt_id_shard (&id),
                                    TEST_SERVER, fixture->now_us);
  table_advance (fixture, COLT_US_PER_S);
  g_assert_cmpuint (fixture->queued_count, ==, idempotent ? 2 : 1);
  g_assert_cmpuint (fixture->ended_count, ==, idempotent ? 0 : 1);
  if (!idempotent)
    {
      g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_UNKNOWN);
      g_assert_cmpint (fixture->reason, ==, COLT_REASON_SERVER_LOST);
    }
}

static void
test_new_owner_inventory (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  uint32_t shard = colt_id_shard (&id);
  struct ColtTaskReport report;
  struct ColtTaskRef ref;

  (void)data;
  table_submit (fixture, &id, &spec);
  table_begin_attempt (fixture, &id, 0);
  colt_requests_handle_inventory (fixture->requests, shard, TEST_SERVER,
                                  TEST_SERVER_EPOCH + 1, NULL, 0,
                                  fixture->now_us);
  ref = table_begin_attempt (fixture, &id, 0); /* the first attempt never ran */
  report = table_make_report (&ref, COLT_TASK_RUNNING);
  colt_requests_handle_inventory (fixture->requests, shard, TEST_SERVER,
                                  TEST_SERVER_EPOCH + 2, &report, 1,
                                  fixture->now_us);
  g_assert_cmpint (colt_requests_find (fixture->requests, &id)->tasks[0].state,
                   ==, COLT_REQUEST_TASK_RUNNING);
  colt_requests_handle_inventory (fixture->requests, shard, TEST_SERVER,
                                  TEST_SERVER_EPOCH + 3, NULL, 0,
                                  fixture->now_us);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_UNKNOWN);
  g_assert_cmpuint (fixture->queued_count, ==, 2);
}

static void
test_refuse_waiting (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId first = table_id (1);
  struct ColtId second = table_id (2);

  (void)data;
  table_submit (fixture, &first, &spec);
  table_submit (fixture, &second, &spec);
  table_begin_attempt (fixture, &second, 0);
  g_assert_true (colt_requests_refuse_waiting (
      fixture->requests, &first, COLT_REASON_OVERLOADED, fixture->now_us));
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_NOT_RUN);
  g_assert_cmpint (fixture->reason, ==, COLT_REASON_OVERLOADED);
  g_assert_false (colt_requests_refuse_waiting (
      fixture->requests, &second, COLT_REASON_OVERLOADED, fixture->now_us));
  g_assert_cmpuint (fixture->ended_count, ==, 1);
}

static void
test_bounds (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  uint8_t *payload = g_malloc0 (COLT_PAYLOAD_MAX);
  struct ColtId id;
  unsigned i;
  enum ColtReason reason;

  (void)data;
  spec.payload = payload;
  spec.payload_size = COLT_PAYLOAD_MAX;
  for (i = 0; i < COLT_REQUEST_BYTES_MAX / COLT_PAYLOAD_MAX; i++)
    {
      id = table_id ((uint8_t)i);
      g_assert_cmpint (table_submit (fixture, &id, &spec), ==,
                       COLT_SUBMIT_ACCEPTED);
    }
  id = table_id (255);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_NOT_RUN);
  g_assert_cmpint (reason, ==, COLT_REASON_OVERLOADED);
  g_free (payload);
}

static void
test_results_and_requests_are_dropped (struct ColtTableFixture *fixture,
                                       gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  struct ColtTaskRef ref;
  struct ColtRequestStats stats;

  (void)data;
  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FINISHED);
  table_advance (fixture, COLT_RESULT_RETENTION_S * COLT_US_PER_S);
  g_assert_false (
      colt_requests_find (fixture->requests, &id)->tasks[0].result_known);
  colt_requests_get_stats (fixture->requests, &stats);
  g_assert_cmpuint (stats.result_bytes, ==, 0);
  g_assert_cmpuint (stats.kept, ==, 1);
  table_advance (fixture, COLT_REQUEST_RETENTION_S * COLT_US_PER_S);
  g_assert_null (colt_requests_find (fixture->requests, &id));
}

static void
test_oldest_results_are_dropped (struct ColtTableFixture *fixture,
                                 gconstpointer data)
{
  const unsigned count = COLT_RESULT_BYTES_MAX / COLT_PAYLOAD_MAX + 2;
  uint8_t *result = g_malloc0 (COLT_PAYLOAD_MAX);
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtRequestStats stats;
  struct ColtId id;
  unsigned i;

  (void)data;
  for (i = 0; i < count; i++)
    {
      struct ColtTaskReport report;
      struct ColtTaskRef ref;

      id = table_id ((uint8_t)i);
      table_submit (fixture, &id, &spec);
      ref = table_begin_attempt (fixture, &id, 0);
      report = table_make_report (&ref, COLT_TASK_FINISHED);
      report.result = result;
      report.result_size = COLT_PAYLOAD_MAX;
      colt_requests_handle_end (fixture->requests, &report, ++fixture->now_us);
    }
  colt_requests_get_stats (fixture->requests, &stats);
  g_assert_cmpuint (stats.result_bytes, ==, COLT_RESULT_BYTES_MAX);
  for (i = 0; i < count; i++)
    {
      id = table_id ((uint8_t)i);
      g_assert_true (
          colt_requests_find (fixture->requests, &id)->tasks[0].result_known
          == (i >= 2));
    }
  g_free (result);
}

static void
test_old_and_hashed_ids (struct ColtTableFixture *fixture, gconstpointer data)
{
  const uint32_t zones[] = { 1 };
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId minted = table_id (1);
  struct ColtId hashed = colt_id_hash ("quotes", "order-1", zones, 1);
  uint32_t last_s = TEST_WALL_S + COLT_REQUEST_RETENTION_S - COLT_CLOCK_SKEW_S;
  enum ColtReason reason;

  (void)data;
  g_assert_cmpint (
      table_submit_again (fixture, &hashed, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_NOT_RUN);
  g_assert_cmpint (reason, ==, COLT_REASON_NEEDS_MINTED_ID);
  g_assert_cmpint (
      table_submit_again (fixture, &minted, &spec, last_s, &reason), ==,
      COLT_SUBMIT_UNKNOWN);
  g_assert_cmpint (reason, ==, COLT_REASON_EXPIRED_ID);
  g_assert_true (colt_request_id_is_expired (&minted, &spec, last_s));
  g_assert_false (colt_request_id_is_expired (&minted, &spec, last_s - 1));
  g_assert_cmpint (
      table_submit_again (fixture, &minted, &spec, last_s - 1, &reason), ==,
      COLT_SUBMIT_ACCEPTED);
}

/* The API page for callers lists each outcome and reason. */
static void
test_api_page_lists_reasons (void)
{
  char *page = NULL;
  int i;

  g_assert_true (g_file_get_contents (API_PAGE, &page, NULL, NULL));
  for (i = COLT_REASON_NONE + 1; i < COLT_REASON_COUNT; i++)
    {
      char *name = g_strdup_printf ("`%s`", colt_reason_string[i]);

      g_assert_nonnull (strstr (page, name));
      g_assert_cmpuint (strlen (colt_reason_text[i]), >, 0);
      g_free (name);
    }
  for (i = COLT_OUTCOME_PENDING + 1; i < COLT_OUTCOME_COUNT; i++)
    {
      char *row = g_strdup_printf ("\n| `%s` |", colt_outcome_string[i]);

      g_assert_nonnull (strstr (page, row));
      g_free (row);
    }
  g_free (page);
}

#define ADD(path, data, test)                                                  \
  g_test_add ("/request/" path, struct ColtTableFixture, data, table_set_up,   \
              test, table_tear_down)

/* A server may announce the size of a result that it doesn't send; the missing
 * bytes must not be read when the report is sent or the answer is made. */
static void
test_result_without_data (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtRequestStats stats;
  struct ColtReportBuffer buffer;
  struct ColtTaskReport report;
  struct ColtTaskReport read;
  struct ColtTaskRef ref;
  ColtReportWord *message;
  ColtAnswerWord *answer;
  uint8_t *body;
  size_t size;

  (void)data;
  table_submit (fixture, &id, &spec);
  ref = table_begin_attempt (fixture, &id, 0);
  report = table_make_report (&ref, COLT_TASK_FINISHED);
  report.result = NULL;
  report.result_size = 6;
  colt_requests_handle_end (fixture->requests, &report, fixture->now_us);
  answer = colt_answer_make (colt_requests_find (fixture->requests, &id));
  g_assert_cmpuint (answer->tasks[0]->result.len, ==, 0);
  colt_answer_word__free_unpacked (answer, NULL);
  colt_requests_get_stats (fixture->requests, &stats);
  g_assert_cmpuint (stats.result_bytes, ==, 0);
  colt_report_fill (&buffer, &report);
  body = colt_message_pack (&buffer.msg.base, &size);
  message = colt_report_word__unpack (NULL, size, body);
  g_assert_true (colt_report_read (message, &read));
  g_assert_null (read.result);
  colt_report_word__free_unpacked (message, NULL);
  free (body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("done", NULL, test_done);
  ADD ("duplicate-joins", NULL, test_duplicate_adds_waiter);
  ADD ("mismatch/payload", "payload", test_mismatch);
  ADD ("mismatch/queue", "queue", test_mismatch);
  ADD ("mismatch/demand", "demand", test_mismatch);
  ADD ("not-lead", NULL, test_not_leader);
  ADD ("refused-attempt", NULL, test_refused_attempt_is_replaced);
  ADD ("one-run/failed", GINT_TO_POINTER (COLT_TASK_FAILED),
       test_one_run_if_not_idempotent);
  ADD ("one-run/lapsed", GINT_TO_POINTER (COLT_TASK_LAPSED),
       test_one_run_if_not_idempotent);
  ADD ("one-run/stopped", GINT_TO_POINTER (COLT_TASK_STOPPED),
       test_one_run_if_not_idempotent);
  ADD ("retries-back-off", NULL, test_retries_back_off);
  ADD ("retry-budget", NULL, test_retry_budget);
  ADD ("cancel/waiting", "waiting", test_cancel);
  ADD ("cancel/sent", "sent", test_cancel);
  ADD ("cancel/running", "running", test_cancel);
  ADD ("cancel/delayed", "delayed", test_cancel);
  ADD ("deadline/waiting", "waiting", test_deadline);
  ADD ("deadline/sent", "sent", test_deadline);
  ADD ("deadline/running", "running", test_deadline);
  ADD ("deadline/passed", NULL, test_passed_deadline_is_refused);
  ADD ("server-gone/idempotent", GINT_TO_POINTER (1), test_server_loss);
  ADD ("server-gone/non-idempotent", GINT_TO_POINTER (0), test_server_loss);
  ADD ("new-owner-reports", NULL, test_new_owner_inventory);
  ADD ("refuse-waiting", NULL, test_refuse_waiting);
  ADD ("bounds", NULL, test_bounds);
  ADD ("dropped", NULL, test_results_and_requests_are_dropped);
  ADD ("oldest-results-dropped", NULL, test_oldest_results_are_dropped);
  ADD ("result-without-data", NULL, test_result_without_data);
  ADD ("old-and-hashed-ids", NULL, test_old_and_hashed_ids);
  g_test_add_func ("/request/page", test_api_page_lists_reasons);
  test_add_recovery ();
  return g_test_run ();
}
