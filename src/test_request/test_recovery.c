#include "table_fixture.h"

static void
test_running_is_not_started_again (struct ColtTableFixture *fixture,
                                   gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_RUNNING);
  enum ColtReason reason;

  (void)data;
  table_reopen_shard (fixture, &id, &report, 1, 0);
  g_assert_true (colt_requests_find (fixture->requests, &id)->recovered);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_KNOWN);
  g_assert_cmpuint (fixture->queued_count, ==, 0);
  table_end_attempt (fixture, &ref, COLT_TASK_FINISHED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
  table_assert_idle (fixture);
}

static void
test_recovered_end_ends_request (struct ColtTableFixture *fixture,
                                 gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_FINISHED);
  enum ColtReason reason;

  (void)data;
  table_reopen_shard (fixture, &id, &report, 1, TEST_WALL_S);
  table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
}

/* The newest attempt is recovered, whatever the order of the reports. */
static void
test_newest_attempt_is_recovered (struct ColtTableFixture *fixture,
                                  gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef first = { id, 0, 1 };
  const struct ColtTaskRef second = { id, 0, 2 };
  struct ColtTaskReport reports[]
      = { table_make_report (&first, COLT_TASK_FAILED),
          table_make_report (&second, COLT_TASK_RUNNING) };
  struct ColtTaskReport swapped[] = { reports[1], reports[0] };
  enum ColtReason reason;

  table_reopen_shard (fixture, &id, data == NULL ? reports : swapped, 2, 0);
  table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason);
  g_assert_cmpuint (fixture->ended_count, ==, 0);
  table_end_attempt (fixture, &second, COLT_TASK_FINISHED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_DONE);
  table_assert_idle (fixture);
}

static void
test_history_lost (struct ColtTableFixture *fixture, gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtRequestSpec idempotent = table_spec (true);
  struct ColtId id = table_id (1);
  enum ColtReason reason;

  (void)data;
  table_reopen_shard (fixture, &id, NULL, 0, TEST_WALL_S - COLT_CLOCK_SKEW_S);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_UNKNOWN);
  g_assert_cmpint (reason, ==, COLT_REASON_HISTORY_LOST);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &idempotent, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_ACCEPTED);
}

static void
test_not_run_needs_history (struct ColtTableFixture *fixture,
                            gconstpointer data)
{
  bool complete = GPOINTER_TO_INT (data);
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  enum ColtReason reason;

  table_reopen_shard (fixture, &id, NULL, 0, complete ? 0 : TEST_WALL_S);
  table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason);
  colt_requests_cancel (fixture->requests, &id, fixture->now_us);
  g_assert_cmpint (fixture->outcome, ==,
                   complete ? COLT_OUTCOME_NOT_RUN : COLT_OUTCOME_UNKNOWN);
}

static void
test_refusal_without_history (struct ColtTableFixture *fixture,
                              gconstpointer data)
{
  bool complete = GPOINTER_TO_INT (data);
  struct ColtRequestSpec spec = table_spec (true);
  struct ColtId id = table_id (1);
  enum ColtReason reason;

  spec.deadline_us = fixture->now_us;
  table_reopen_shard (fixture, &id, NULL, 0, complete ? 0 : TEST_WALL_S);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      complete ? COLT_SUBMIT_NOT_RUN : COLT_SUBMIT_UNKNOWN);
  g_assert_cmpint (reason, ==, COLT_REASON_DEADLINE);
}

/* One of two tasks is reported. The other one is started only if the reports
 * are complete, as its server may have been lost. */
static void
test_unreported_task_is_not_started (struct ColtTableFixture *fixture,
                                     gconstpointer data)
{
  bool complete = GPOINTER_TO_INT (data);
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_RUNNING);
  enum ColtReason reason;

  spec.tasks = 2;
  table_reopen_shard (fixture, &id, &report, 1, complete ? 0 : TEST_WALL_S);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_KNOWN);
  g_assert_cmpuint (fixture->queued_count, ==, complete ? 1 : 0);
  if (complete)
    return;
  table_end_attempt (fixture, &ref, COLT_TASK_FINISHED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (fixture->outcome, ==, COLT_OUTCOME_UNKNOWN);
  table_assert_idle (fixture);
}

static void
test_late_inventory_is_recovered (struct ColtTableFixture *fixture,
                                  gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_RUNNING);
  enum ColtReason reason;

  (void)data;
  table_reopen_shard (fixture, &id, NULL, 0, 0);
  colt_requests_handle_inventory (fixture->requests, colt_id_shard (&id),
                                  TEST_SERVER, TEST_SERVER_EPOCH, &report, 1,
                                  fixture->now_us);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_KNOWN);
  g_assert_cmpuint (fixture->queued_count, ==, 0);
}

static void
test_other_team_is_a_mismatch (struct ColtTableFixture *fixture,
                               gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_RUNNING);
  enum ColtReason reason;

  (void)data;
  g_strlcpy (spec.team, "renders", sizeof spec.team);
  table_reopen_shard (fixture, &id, &report, 1, 0);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_NOT_RUN);
  g_assert_cmpint (reason, ==, COLT_REASON_MISMATCH);
  g_assert_true (colt_requests_find (fixture->requests, &id)->recovered);
}

/* A recovered request ends with its outcome from the log. A later submission by
 * its caller gets that outcome and starts nothing. */
static void
test_logged_outcome_is_kept (struct ColtTableFixture *fixture,
                             gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_STOPPED);
  enum ColtReason reason;

  (void)data;
  table_reopen_shard (fixture, &id, &report, 1, 0);
  colt_requests_end_recovered (fixture->requests, &id, COLT_OUTCOME_CANCELLED,
                               fixture->now_us);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpint (
      table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason), ==,
      COLT_SUBMIT_KNOWN);
  g_assert_cmpint (colt_requests_find (fixture->requests, &id)->outcome, ==,
                   COLT_OUTCOME_CANCELLED);
  g_assert_cmpuint (fixture->ended_count, ==, 1);
  g_assert_cmpuint (fixture->queued_count, ==, 0);
  table_assert_idle (fixture);
}

/* A new leader without reports counts attempts from 1 again. Messages about an
 * earlier leader's attempt with the same number must be ignored. */
static void
test_earlier_leader_is_ignored (struct ColtTableFixture *fixture,
                                gconstpointer data)
{
  struct ColtRequestSpec spec = table_spec (false);
  struct ColtId id = table_id (1);
  struct ColtTaskRef early;
  struct ColtTaskRef late;
  const struct ColtRequestTask *task;
  enum ColtReason reason;

  (void)data;
  table_submit (fixture, &id, &spec);
  early = table_begin_attempt (fixture, &id, 0);
  table_reopen_shard (fixture, &id, NULL, 0, 0);
  table_submit_again (fixture, &id, &spec, TEST_WALL_S, &reason);
  late = table_begin_attempt (fixture, &id, 0);
  g_assert_true (colt_task_equal (&early, &late));
  colt_requests_handle_refusal (fixture->requests, &early, TEST_SHARD_EPOCH,
                                fixture->now_us);
  colt_requests_handle_start (fixture->requests, &early, TEST_SHARD_EPOCH,
                              fixture->now_us);
  table_end_attempt (fixture, &early, COLT_TASK_FAILED);
  task = &colt_requests_find (fixture->requests, &id)->tasks[0];
  g_assert_cmpint (task->state, ==, COLT_REQUEST_TASK_SENT);
  colt_requests_handle_refusal (fixture->requests, &late, TEST_SHARD_EPOCH + 1,
                                fixture->now_us);
  g_assert_cmpint (task->state, ==, COLT_REQUEST_TASK_WAITING);
}

/* A recovered request that its caller never submits again is removed after its
 * task has ended and the retention time has passed. */
static void
test_recovered_request_is_removed (struct ColtTableFixture *fixture,
                                   gconstpointer data)
{
  struct ColtId id = table_id (1);
  const struct ColtTaskRef ref = { id, 0, 1 };
  struct ColtTaskReport report = table_make_report (&ref, COLT_TASK_RUNNING);

  (void)data;
  table_reopen_shard (fixture, &id, &report, 1, 0);
  table_advance (fixture, COLT_REQUEST_RETENTION_S * COLT_US_PER_S);
  g_assert_nonnull (colt_requests_find (fixture->requests, &id));
  table_end_attempt (fixture, &ref, COLT_TASK_FINISHED);
  table_advance (fixture, COLT_REQUEST_RETENTION_S * COLT_US_PER_S - 1);
  g_assert_nonnull (colt_requests_find (fixture->requests, &id));
  table_advance (fixture, 1);
  g_assert_null (colt_requests_find (fixture->requests, &id));
  table_assert_idle (fixture);
}

#define ADD(path, data, test)                                                  \
  g_test_add ("/request/recovery/" path, struct ColtTableFixture, data,        \
              table_set_up, test, table_tear_down)

void
test_add_recovery (void)
{
  ADD ("running", NULL, test_running_is_not_started_again);
  ADD ("ended", NULL, test_recovered_end_ends_request);
  ADD ("newest-attempt/ordered", NULL, test_newest_attempt_is_recovered);
  ADD ("newest-attempt/swapped", "", test_newest_attempt_is_recovered);
  ADD ("history-lost", NULL, test_history_lost);
  ADD ("not-run/complete", GINT_TO_POINTER (1), test_not_run_needs_history);
  ADD ("not-run/incomplete", GINT_TO_POINTER (0), test_not_run_needs_history);
  ADD ("refusal/complete", GINT_TO_POINTER (1), test_refusal_without_history);
  ADD ("refusal/incomplete", GINT_TO_POINTER (0), test_refusal_without_history);
  ADD ("unreported/complete", GINT_TO_POINTER (1),
       test_unreported_task_is_not_started);
  ADD ("unreported/incomplete", GINT_TO_POINTER (0),
       test_unreported_task_is_not_started);
  ADD ("late-server", NULL, test_late_inventory_is_recovered);
  ADD ("other-team", NULL, test_other_team_is_a_mismatch);
  ADD ("logged-outcome", NULL, test_logged_outcome_is_kept);
  ADD ("earlier-lead", NULL, test_earlier_leader_is_ignored);
  ADD ("removed", NULL, test_recovered_request_is_removed);
}
