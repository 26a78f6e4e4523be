#include "fixture.h"

static void
tick (struct ColtLoadFixture *fixture, int64_t after_ms)
{
  fixture->now_us += after_ms * MS;
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

/* A stop that is answered, or whose run has ended, is resent no more; one that
 * came due while the server was unreachable is resent once it reports. */
static void
test_stops_resent (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  const struct ColtRunningEntry running
      = { "0000000000000001.0.0.1", 1, "", 100 };
  struct ColtServerReport report = { 0 };
  guint i;

  colt_fixture_add_server (fixture, "server", 3000);
  colt_fixture_submit (fixture, "tight", "steady", 3, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  for (i = 0; i < 3; i++)
    colt_fixture_accept_start (fixture, i);
  colt_cell_cancel (fixture->cell, "0000000000000001", fixture->now_us);
  g_assert_cmpuint (fixture->stops->len, ==, 3);
  tick (fixture, 700);
  g_assert_cmpuint (fixture->stops->len, ==, 3);
  colt_cell_apply_stop_result (fixture->cell, "server",
                               "0000000000000001.0.0.0", 1, true, 2000,
                               fixture->now_us);
  tick (fixture, 200);
  g_assert_cmpuint (fixture->stops->len, ==, 5);
  colt_cell_set_unreachable (fixture->cell, "server");
  tick (fixture, 900);
  g_assert_cmpuint (fixture->stops->len, ==, 5);
  report.call_number = 2000;
  report.running = &running;
  report.running_count = 1;
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
  tick (fixture, 25);
  g_assert_cmpuint (fixture->stops->len, ==, 7);
  colt_cell_end_server_runs (fixture->cell, "server", fixture->now_us);
  tick (fixture, 900);
  g_assert_cmpuint (fixture->stops->len, ==, 7);
  colt_fixture_destroy (fixture);
}

/* Load: tasks for servers that don't answer. A suspected server gets no starts,
 * and a run that was planned on it before is not ordered but starts elsewhere;
 * what was ordered stays counted. */
static void
test_suspected_server (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "silent", 3000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  colt_cell_set_suspected (fixture->cell, "silent", true);
  colt_fixture_commit (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "silent"), ==, 1);
  colt_fixture_add_server (fixture, "other", 3000);
  tick (fixture, 25);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  g_assert_cmpstr (g_ptr_array_index (fixture->starts, 1), ==,
                   "0000000000000002.0.0.0@other");
  colt_cell_set_suspected (fixture->cell, "silent", false);
  colt_fixture_submit (fixture, "tight", "steady", 4, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 6);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "silent"), ==, 3);
  colt_fixture_destroy (fixture);
}

static void
cancel (struct ColtLoadFixture *fixture, uint32_t id)
{
  char name[COLT_JOB_ID_LENGTH + 1];

  g_snprintf (name, sizeof name, "%016x", id);
  g_assert_true (colt_cell_cancel (fixture->cell, name, fixture->now_us));
}

static uint64_t
count_jobs (const struct ColtLoadFixture *fixture)
{
  struct ColtCellStats stats;

  colt_cell_get_stats (fixture->cell, &stats);
  return stats.jobs;
}

static void
tick_and_commit (struct ColtLoadFixture *fixture, int64_t after_ms)
{
  tick (fixture, after_ms);
  colt_fixture_commit (fixture);
}

/* Jobs that a new leader loads in any order are each dropped in their time. */
static void
test_loaded_jobs_dropped (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  uint32_t i;

  for (i = 1; i <= 16; i++)
    {
      colt_fixture_submit (fixture, "tight", "steady", 1, false);
      colt_fixture_commit (fixture);
      cancel (fixture, i);
      colt_fixture_commit (fixture);
      tick_and_commit (fixture, 1000);
    }
  colt_fixture_change_leader (fixture);
  tick_and_commit (fixture, 44000);
  g_assert_cmpuint (count_jobs (fixture), ==, 16);
  for (i = 1; i <= 16; i++)
    {
      tick_and_commit (fixture, i == 1 ? 500 : 1000);
      g_assert_cmpuint (count_jobs (fixture), ==, 16 - i);
    }
  colt_fixture_destroy (fixture);
}

/* A job whose run may still go on stays, and doesn't keep jobs that ended after
 * it; it is dropped once its run has ended. */
static void
test_job_with_run_kept (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  enum ColtJobState state;

  colt_fixture_add_server (fixture, "server", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  cancel (fixture, 1);
  tick_and_commit (fixture, 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_commit (fixture);
  cancel (fixture, 2);
  tick_and_commit (fixture, 61000);
  tick_and_commit (fixture, 25);
  g_assert_true (
      colt_cell_get_state (fixture->cell, "0000000000000001", &state));
  g_assert_false (
      colt_cell_get_state (fixture->cell, "0000000000000002", &state));
  colt_cell_end_server_runs (fixture->cell, "server", fixture->now_us);
  tick_and_commit (fixture, 25);
  g_assert_cmpuint (count_jobs (fixture), ==, 0);
  colt_fixture_destroy (fixture);
}

/* A pass doesn't meet steps of a job that ended after the pass before, whether
 * the job has lost its specification or has been freed meanwhile. */
static void
test_open_steps_of_ended_job (void)
{
  static const int64_t pauses_ms[] = { 25, 61000 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (pauses_ms); i++)
    {
      struct ColtLoadFixture *fixture = colt_fixture_create ();

      colt_fixture_submit (fixture, "tight", "steady", 2, false);
      colt_fixture_place (fixture);
      cancel (fixture, 1);
      colt_fixture_commit (fixture);
      tick_and_commit (fixture, pauses_ms[i]);
      g_assert_cmpuint (count_jobs (fixture), ==, i == 0);
      colt_fixture_place (fixture);
      tick_and_commit (fixture, 25);
      colt_fixture_place (fixture);
      colt_fixture_destroy (fixture);
    }
}

/* A tick doesn't meet a job that was withdrawn after its end. */
static void
test_ended_job_withdrawn (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  cancel (fixture, 1);
  g_assert_true (colt_cell_withdraw (fixture->cell, "0000000000000001"));
  g_assert_cmpuint (count_jobs (fixture), ==, 0);
  tick_and_commit (fixture, 25);
  tick_and_commit (fixture, 61000);
  colt_fixture_destroy (fixture);
}

/* Steps whose tasks have all been planned, or whose job has ended, leave the
 * open ones at the next tick: the order in which steps are placed depends on
 * it.
 */
static void
test_steps_closed_at_tick (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  struct ColtCellStats stats;

  colt_fixture_add_server (fixture, "server", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_cell_get_stats (fixture->cell, &stats);
  g_assert_cmpuint (stats.open_steps, ==, 2);
  tick (fixture, 25);
  colt_cell_get_stats (fixture->cell, &stats);
  g_assert_cmpuint (stats.open_steps, ==, 1);
  cancel (fixture, 2);
  tick (fixture, 25);
  colt_cell_get_stats (fixture->cell, &stats);
  g_assert_cmpuint (stats.open_steps, ==, 0);
  colt_fixture_destroy (fixture);
}

static void
report_running (struct ColtLoadFixture *fixture,
                const char *task,
                uint64_t call_number)
{
  const struct ColtRunningEntry running = { task, 1, "", 50 };
  struct ColtServerReport report = { 0 };

  report.call_number = call_number;
  report.running = &running;
  report.running_count = 1;
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
}

/* A run that an earlier report listed doesn't count as listed by a later one:
 * it has ended. */
static void
test_run_of_earlier_report (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 2, false);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  colt_fixture_accept_start (fixture, 1);
  report_running (fixture, "0000000000000001.0.0.0", 999);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server"), ==, 2);
  report_running (fixture, "0000000000000001.0.0.1", 1000);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server"), ==, 1);
  colt_fixture_report_idle (fixture, "server", 1001);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server"), ==, 0);
  colt_fixture_destroy (fixture);
}

/* A run under a name that no task has isn't taken for the run of a task. */
static void
test_names_without_task (void)
{
  static const char *const names[]
      = { "",
          "0000000000000001",
          "0000000000000001.0.0",
          "0000000000000001.0.0.",
          "0000000000000001.0.0.1",
          "0000000000000001.0.1.0",
          "0000000000000001.1.0.0",
          "0000000000000001.0.0.0x",
          "0000000000000001.0.0.0.0",
          "0000000000000001.0.0.-0",
          "0000000000000001..0.0",
          "0000000000000001.0.0.4294967296",
          "0000000000000001.4294967296.0.0",
          "0000000000000001.0.18446744073709551616.0",
          "00000000000000010.0.0.0",
          "0000000000000002.0.0.0",
          "1.0.0.0" };
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint i;

  colt_fixture_add_server (fixture, "server", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  for (i = 0; i < G_N_ELEMENTS (names); i++)
    {
      report_running (fixture, names[i], 1);
      g_assert_cmpuint (fixture->stops->len, ==, i + 1);
    }
  report_running (fixture, "0000000000000001.0.0.0", 1);
  g_assert_cmpuint (fixture->stops->len, ==, i);
  colt_fixture_destroy (fixture);
}

/* Submits a job whose occurrences begin at a time and a long time after it. */
static void
submit_repeated (struct ColtLoadFixture *fixture, int64_t begin_ms)
{
  ColtJobSpec *spec = colt_fixture_make_job (fixture, 1);

  spec->repetitions = 2;
  spec->initial_delay_ms = begin_ms;
  spec->interval_ms = 1000000;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

/* Runs a tick and a pass at a time of the wall clock. */
static void
place_at (struct ColtLoadFixture *fixture, int64_t wall_ms)
{
  fixture->now_us += 50 * MS;
  colt_fixture_commit (fixture);
  colt_cell_tick (fixture->cell, fixture->now_us, wall_ms);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, wall_ms);
  colt_fixture_commit (fixture);
}

/* Guards against a task that waits for hours: the wall clock is set back after
 * its occurrence has begun, and its run fails; the same under the next leader,
 * which knows the occurrence by its progress. */
static void
test_clock_set_back (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 1000);
  submit_repeated (fixture, 5000);
  place_at (fixture, 4999);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  place_at (fixture, 5000);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  place_at (fixture, 100);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_FAILED);
  place_at (fixture, 100);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_fixture_change_leader (fixture);
  colt_fixture_add_server (fixture, "server", 1000);
  place_at (fixture, 100);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  place_at (fixture, 6000);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_tick_tests (void)
{
  g_test_add_func ("/cell/load/stops-resent", test_stops_resent);
  g_test_add_func ("/cell/load/suspected-server", test_suspected_server);
  g_test_add_func ("/cell/load/loaded-jobs-dropped", test_loaded_jobs_dropped);
  g_test_add_func ("/cell/load/job-with-run-kept", test_job_with_run_kept);
  g_test_add_func ("/cell/load/open-steps-of-ended-job",
                   test_open_steps_of_ended_job);
  g_test_add_func ("/cell/load/steps-closed-at-tick",
                   test_steps_closed_at_tick);
  g_test_add_func ("/cell/load/ended-job-withdrawn", test_ended_job_withdrawn);
  g_test_add_func ("/cell/load/run-of-earlier-report",
                   test_run_of_earlier_report);
  g_test_add_func ("/cell/load/names-without-task", test_names_without_task);
  g_test_add_func ("/cell/load/clock-set-back", test_clock_set_back);
}
