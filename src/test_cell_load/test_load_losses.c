/* Runs whose server is lost: which of them count as ended. */
#include "fixture.h"

#define OLDER_TASK "0000000000000001.0.0.0"
#define NEWER_TASK "0000000000000002.0.0.0"
/* First call that was sent after the start of the newer task had a result. */
#define NEWER_CALL 7

/* Starts two tasks on one server, the newer one with the given result. */
static struct ColtLoadFixture *
start_two_tasks (enum ColtStartResult newer_result)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_cell_apply_start_result (fixture->cell, "server", OLDER_TASK, 1,
                                COLT_START_TAKEN, 3, fixture->now_us);
  colt_cell_apply_start_result (fixture->cell, "server", NEWER_TASK, 1,
                                newer_result, NEWER_CALL, fixture->now_us);
  return fixture;
}

static size_t
count_runs (struct ColtLoadFixture *fixture)
{
  return colt_cell_count_runs (fixture->cell, "server");
}

/* Guards against tasks that run twice: another server's answer at the address
 * to a call that was sent before a run started doesn't end that run. */
static void
test_replaced_before_start (void)
{
  struct ColtLoadFixture *fixture = start_two_tasks (COLT_START_TAKEN);
  struct ColtServerLoss loss = { .ended = true, .call_number = NEWER_CALL - 1 };

  colt_cell_apply_loss (fixture->cell, "server", &loss, fixture->now_us);
  g_assert_cmpuint (count_runs (fixture), ==, 1);
  g_assert_true (colt_cell_may_start (fixture->cell, "server", NEWER_TASK, 1));
  loss.call_number = NEWER_CALL;
  colt_cell_apply_loss (fixture->cell, "server", &loss, fixture->now_us);
  g_assert_cmpuint (count_runs (fixture), ==, 0);
  colt_fixture_destroy (fixture);
}

/* Guards against tasks that run twice: the expiry of the known leases doesn't
 * end a run whose start had no answer, as a restarted server may have executed
 * it, with a longer lease. */
static void
test_expiry_without_answer (void)
{
  struct ColtLoadFixture *fixture = start_two_tasks (COLT_START_UNKNOWN);
  struct ColtServerLoss loss = { 0 };

  colt_cell_apply_loss (fixture->cell, "server", &loss, fixture->now_us);
  g_assert_cmpuint (count_runs (fixture), ==, 1);
  g_assert_true (colt_cell_may_start (fixture->cell, "server", NEWER_TASK, 1));
  loss.all = true;
  colt_cell_apply_loss (fixture->cell, "server", &loss, fixture->now_us);
  g_assert_cmpuint (count_runs (fixture), ==, 0);
  colt_fixture_destroy (fixture);
}

/* Guards against tasks that run twice: a start that another server rejects says
 * nothing about other runs, which may have started since. */
static void
test_rejected_by_other_server (void)
{
  struct ColtLoadFixture *fixture = start_two_tasks (COLT_START_GONE);

  g_assert_cmpuint (count_runs (fixture), ==, 1);
  g_assert_true (colt_cell_may_start (fixture->cell, "server", OLDER_TASK, 1));
  colt_fixture_destroy (fixture);
}

/* Guards against tasks that run twice: a list that was requested before the one
 * by which a leader found the run of an earlier leader doesn't end that run. */
static void
test_older_list_of_inherited_run (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  const struct ColtRunningEntry entry
      = { .task = OLDER_TASK, .run = 1, .checkpoint = "" };
  const struct ColtServerReport report
      = { .running = &entry, .running_count = 1, .call_number = NEWER_CALL };

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  colt_fixture_change_leader (fixture);
  colt_fixture_add_server (fixture, "server", 2000);
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
  g_assert_cmpuint (count_runs (fixture), ==, 1);
  colt_fixture_report_idle (fixture, "server", NEWER_CALL - 1);
  g_assert_cmpuint (count_runs (fixture), ==, 1);
  g_assert_true (colt_cell_may_start (fixture->cell, "server", OLDER_TASK, 1));
  colt_fixture_report_idle (fixture, "server", NEWER_CALL + 1);
  g_assert_cmpuint (count_runs (fixture), ==, 0);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_loss_tests (void)
{
  g_test_add_func ("/cell/losses/replaced-before-start",
                   test_replaced_before_start);
  g_test_add_func ("/cell/losses/expiry-without-answer",
                   test_expiry_without_answer);
  g_test_add_func ("/cell/losses/rejected-by-other-server",
                   test_rejected_by_other_server);
  g_test_add_func ("/cell/losses/older-list-of-inherited-run",
                   test_older_list_of_inherited_run);
}
