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

/* Runs passes, each followed by the reply to the pending advice call, which
 * grants all servers that it named. */
static void
place_and_grant (struct ColtLoadFixture *fixture, int passes)
{
  while (passes-- > 0)
    {
      colt_fixture_place (fixture);
      if (fixture->advice_calls->len > 0)
        colt_fixture_grant_servers (fixture, fixture->calls->len - 1);
      colt_fixture_place (fixture);
      fixture->now_us += 2000 * MS;
    }
}

static void
add_servers (struct ColtLoadFixture *fixture,
             const char *prefix,
             int count,
             int64_t cores)
{
  char id[16];
  int i;

  for (i = 0; i < count; i++)
    {
      g_snprintf (id, sizeof id, "%s-%d", prefix, i);
      colt_fixture_add_server (fixture, id, cores);
    }
}

/* Guards against a gang that only requests advice on servers that are too small
 * for its tasks, as it knows more suitable ones than a call may name. */
static void
test_gang_beside_small_servers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  add_servers (fixture, "small", 130, 500);
  colt_fixture_submit_gang (fixture, "advised", 2);
  place_and_grant (fixture, 4);
  add_servers (fixture, "large", 2, 1000);
  place_and_grant (fixture, 4);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_fixture_destroy (fixture);
}

/* The same with servers that are full of lasting work. */
static void
test_gang_beside_full_servers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  add_servers (fixture, "full", 130, 1000);
  colt_fixture_submit (fixture, "tight", "steady", 130, true);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 130);
  colt_fixture_submit_gang (fixture, "advised", 2);
  place_and_grant (fixture, 4);
  add_servers (fixture, "free", 2, 1000);
  place_and_grant (fixture, 6);
  g_assert_cmpuint (fixture->starts->len, ==, 132);
  colt_fixture_destroy (fixture);
}

/* Guards against a gang that never starts, as small jobs of its organisation
 * use up the organisation's limit while the gang waits for advice. */
static void
test_gang_at_limit (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_set_maximum (fixture, 4000);
  add_servers (fixture, "server", 8, 1000);
  colt_fixture_submit_gang (fixture, "advised", 3);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  place_and_grant (fixture, 3);
  g_assert_true (colt_fixture_has_started (fixture, 0, 1));
  g_assert_true (colt_fixture_has_started (fixture, 0, 2));
  g_assert_false (colt_fixture_has_started (fixture, 0, 3));
  colt_fixture_destroy (fixture);
}

/* Guards against a gang that blocks the other jobs of its organisation for
 * good, as its calls for advice get no answer while its part of the limit is
 * kept. */
static void
test_gang_without_answers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint answered = 0;
  int i;

  colt_fixture_set_maximum (fixture, 4000);
  add_servers (fixture, "server", 8, 1000);
  colt_fixture_submit_gang (fixture, "advised", 3);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  for (i = 0; i < 600; i++)
    {
      colt_fixture_place (fixture);
      while (answered < fixture->calls->len)
        colt_fixture_answer_advice (fixture, answered++, NULL);
      fixture->now_us += 100 * MS;
    }
  g_assert_cmpuint (answered, >, 0);
  g_assert_true (colt_fixture_has_started (fixture, 0, 2));
  g_assert_true (colt_fixture_has_started (fixture, 0, 3));
  colt_fixture_destroy (fixture);
}

static void
report_incarnation (struct ColtLoadFixture *fixture, int64_t incarnation_ms)
{
  const struct ColtServerReport report
      = { .call_number = 1, .incarnation_ms = incarnation_ms };

  g_assert_true (colt_cell_apply_report (fixture->cell, "server", &report,
                                         fixture->now_us));
}

/* Guards against a job that never starts on a free server, as the server was
 * restarted while an adviser judged its earlier incarnation as unsuitable. */
static void
test_restart_during_call (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  ColtAdviceReply no_tickets = COLT_ADVICE_REPLY__INIT;
  int i;

  no_tickets.answered = true;
  colt_fixture_add_server (fixture, "server", 64000);
  report_incarnation (fixture, 1);
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 1);
  report_incarnation (fixture, 2);
  colt_fixture_answer_advice (fixture, 0, &no_tickets);
  for (i = 0; i < 600 && fixture->calls->len == 1; i++)
    {
      fixture->now_us += 100 * MS;
      colt_fixture_place (fixture);
    }
  g_assert_cmpuint (fixture->calls->len, ==, 2);
  colt_fixture_destroy (fixture);
}

/* Guards against a step that only requests advice on servers that are full of
 * lasting work, as those are known to be suitable. */
static void
test_step_beside_full_servers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint call;

  add_servers (fixture, "full", 12, 1000);
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  call = fixture->calls->len - 1;
  colt_fixture_submit (fixture, "tight", "steady", 12, true);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 12);
  colt_fixture_grant_servers (fixture, call);
  colt_fixture_add_server (fixture, "free", 1000);
  place_and_grant (fixture, 6);
  g_assert_cmpuint (fixture->starts->len, ==, 13);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_advice_tests (void)
{
  g_test_add_func ("/cell/load/gang-beside-small-servers",
                   test_gang_beside_small_servers);
  g_test_add_func ("/cell/load/gang-beside-full-servers",
                   test_gang_beside_full_servers);
  g_test_add_func ("/cell/load/gang-at-limit", test_gang_at_limit);
  g_test_add_func ("/cell/load/gang-without-answers",
                   test_gang_without_answers);
  g_test_add_func ("/cell/load/restart-during-call", test_restart_during_call);
  g_test_add_func ("/cell/load/step-beside-full-servers",
                   test_step_beside_full_servers);
  g_test_add_func ("/cell/load/withdrawn-with-pending-call",
                   test_withdrawn_with_pending_call);
  g_test_add_func ("/cell/load/reply-for-withdrawn-job",
                   test_reply_for_withdrawn_job);
  g_test_add_func ("/cell/load/reply-for-earlier-leader",
                   test_reply_for_earlier_leader);
}
