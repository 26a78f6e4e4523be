/* Advice calls that end after their job, or their leader, is gone. */
#include "fixture.h"

/* Advice calls that the queue "advised" may have pending. */
#define CALL_LIMIT 4

static void
place_without_commit (struct ColtLoadFixture *fixture)
{
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

static void
withdraw_latest (struct ColtLoadFixture *fixture)
{
  char id[COLT_JOB_ID_LENGTH + 1];

  g_snprintf (id, sizeof id, "%016x", fixture->last_id);
  g_assert_true (colt_cell_withdraw (fixture->cell, id));
}

/* Submits a job, withdraws it while its advice call is pending and submits it
 * again under the same id, with another advice call. */
static void
submit_twice (struct ColtLoadFixture *fixture)
{
  guint calls = fixture->calls->len;

  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  place_without_commit (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, calls + 1);
  withdraw_latest (fixture);
  fixture->last_id--;
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  place_without_commit (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, calls + 2);
}

/* Guards against advice calls that are counted as pending for good: the queue
 * would reach its limit, and none of its jobs would start under this leader. */
static void
test_withdrawn_with_pending_call (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint calls;
  guint i;

  colt_fixture_add_server (fixture, "server", 64000);
  for (i = 0; i < CALL_LIMIT; i++)
    {
      submit_twice (fixture);
      colt_fixture_answer_advice (fixture, fixture->calls->len - 2, NULL);
      colt_fixture_answer_advice (fixture, fixture->calls->len - 1, NULL);
      withdraw_latest (fixture);
    }
  calls = fixture->calls->len;
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, calls + 1);
  colt_fixture_destroy (fixture);
}

/* Guards against a reply to the call of a withdrawn job that is taken for one
 * to the call of the job that was submitted again under its id. */
static void
test_reply_for_withdrawn_job (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint calls;

  colt_fixture_add_server (fixture, "server", 64000);
  submit_twice (fixture);
  calls = fixture->calls->len;
  colt_fixture_grant_servers (fixture, calls - 2);
  fixture->now_us += 1000 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  g_assert_cmpuint (fixture->calls->len, ==, calls);
  colt_fixture_grant_servers (fixture, calls - 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_destroy (fixture);
}

/* Guards against a reply to a call of an earlier leader of the same instance
 * that ends a call of the present one. */
static void
test_reply_for_earlier_leader (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 64000);
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 1);
  colt_fixture_change_leader (fixture);
  colt_fixture_add_server (fixture, "server", 64000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 2);
  colt_fixture_answer_advice (fixture, 0, NULL);
  fixture->now_us += 1000 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 2);
  colt_fixture_grant_servers (fixture, 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_advice_tests (void)
{
  g_test_add_func ("/cell/load/withdrawn-with-pending-call",
                   test_withdrawn_with_pending_call);
  g_test_add_func ("/cell/load/reply-for-withdrawn-job",
                   test_reply_for_withdrawn_job);
  g_test_add_func ("/cell/load/reply-for-earlier-leader",
                   test_reply_for_earlier_leader);
}
