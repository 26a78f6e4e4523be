/* The watchdog: tasks whose event never comes are found, released and logged.
 * No way to these states is known, so that the tests make them. */
#include <string.h>

#include "cell_private.h"
#include "fixture.h"

#define JOB "0000000000000001"
/* Jobs of the tests of the cost, and ticks in which all are checked: each is a
 * job and a step, of 1,000 checks in a tick. */
#define MANY_JOBS 5000u
#define MANY_TICKS 10
/* Most faults that are logged in a tick. */
#define FAULTS_PER_TICK 10u
/* Jobs that are broken in the test of many faults. */
#define BROKEN_JOBS 100u

static struct ColtLoadFixture *
submit (const char *queue, bool gang)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 2000);
  if (gang)
    colt_fixture_submit_gang (fixture, queue, 2);
  else
    colt_fixture_submit (fixture, queue, "steady", 1, false);
  colt_fixture_commit (fixture);
  return fixture;
}

static struct ColtCellStep *
get_step (struct ColtLoadFixture *fixture, uint32_t job)
{
  char id[COLT_JOB_ID_LENGTH + 1];

  g_snprintf (id, sizeof id, "%016x", job);
  return &colt_cell_find_job (fixture->cell, id)->steps[0];
}

static void
place (struct ColtLoadFixture *fixture)
{
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

static void
tick (struct ColtLoadFixture *fixture)
{
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

/* Ticks twice and asserts that one fault was found, whose line begins so. */
static void
expect_fault (struct ColtLoadFixture *fixture, const char *what)
{
  struct ColtCellStats stats;

  tick (fixture);
  tick (fixture);
  fixture->faults_expected = 1;
  g_assert_cmpuint (fixture->faults->len, ==, 1);
  g_assert_true (
      g_str_has_prefix (g_ptr_array_index (fixture->faults, 0), what));
  colt_cell_get_stats (fixture->cell, &stats);
  g_assert_cmpuint (stats.stalled, ==, 1);
}

static void
expect_start (struct ColtLoadFixture *fixture)
{
  guint starts = fixture->starts->len;

  fixture->now_us += 50 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, starts + 1);
}

/* Guards against a ready step that is marked as listed and isn't. */
static void
test_step_not_listed (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  g_ptr_array_set_size (fixture->cell->open_steps, 0);
  tick (fixture);
  place (fixture);
  tick (fixture);
  g_assert_cmpuint (fixture->faults->len, ==, 0);
  place (fixture);
  expect_fault (fixture, "0.0: no pass looks at the step");
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Guards against a ready step that was closed too early. */
static void
test_step_closed (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  g_ptr_array_set_size (fixture->cell->open_steps, 0);
  get_step (fixture, 1)->open = false;
  expect_fault (fixture, "0.0: no pass looks at the step");
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Guards against a step that waits for a call for advice without an end, and
 * against a reply that comes after all. */
static void
test_advice_call_lost (void)
{
  struct ColtLoadFixture *fixture = submit ("advised", false);

  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->advice_calls->len, ==, 1);
  fixture->now_us += 10 * COLT_US_PER_S;
  tick (fixture);
  g_assert_cmpuint (fixture->faults->len, ==, 0);
  fixture->now_us += 1;
  expect_fault (fixture, "0.0: its call for advice has no end");
  g_assert_cmpuint (get_step (fixture, 1)->job->queue->open_calls, ==, 0);
  colt_fixture_grant_servers (fixture, 0);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 2);
  colt_fixture_grant_servers (fixture, 1);
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Guards against a pause that ends too late. */
static void
test_pause_too_long (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  get_step (fixture, 1)->not_before_us = fixture->now_us + 3600 * COLT_US_PER_S;
  expect_fault (fixture, "0.0: its pause has no end");
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Guards against a gang that waits for good as a part of it is done. */
static void
test_gang_divided (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", true);
  enum ColtJobState state;

  colt_cell_complete_task (fixture->cell, &get_step (fixture, 1)->tasks[1],
                           fixture->now_us);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  expect_fault (fixture, "0.0: a part of the gang is done");
  colt_fixture_commit (fixture);
  g_assert_true (colt_cell_get_state (fixture->cell, JOB, &state));
  g_assert_cmpint (state, ==, COLT_JOB_COMPLETED);
  colt_fixture_destroy (fixture);
}

/* Guards against a planned run that no batch will include. */
static void
test_run_not_recorded (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  place (fixture);
  tick (fixture);
  g_ptr_array_set_size (fixture->cell->dirty_jobs, 0);
  get_step (fixture, 1)->job->dirty = false;
  expect_fault (fixture, "0.0.0: run 1: no batch will include its start");
  colt_fixture_commit (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_destroy (fixture);
}

/* Guards against a planned run whose batch isn't pending any more. */
static void
test_run_without_batch (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  place (fixture);
  colt_cell_free_records (
      colt_cell_take_records (fixture->cell, SIZE_MAX, fixture->now_us / MS));
  tick (fixture);
  g_ptr_array_set_size (fixture->cell->batch_jobs, 0);
  get_step (fixture, 1)->job->in_batch = false;
  expect_fault (fixture, "0.0.0: run 1: no batch includes its start");
  expect_start (fixture);
  g_assert_cmpuint (g_array_index (fixture->start_runs, uint32_t, 0), ==, 2);
  colt_fixture_destroy (fixture);
}

/* Guards against a start whose result never comes. The run may be on its
 * server, so that the task starts again only once the server shows its end. */
static void
test_start_without_result (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);

  colt_fixture_place (fixture);
  fixture->now_us += COLT_FIXTURE_RUN_WAIT_US;
  tick (fixture);
  g_assert_cmpuint (fixture->faults->len, ==, 0);
  fixture->now_us += 1;
  expect_fault (fixture, "0.0.0: run 1: its start has no result");
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_STOPPED);
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Guards against a stop without an answer that nobody resends. */
static void
test_stop_not_resent (void)
{
  struct ColtLoadFixture *fixture = submit ("tight", false);
  struct ColtCellRun *run;

  colt_fixture_place (fixture);
  run = get_step (fixture, 1)->tasks[0].current;
  colt_cell_stop_run (fixture->cell, run, fixture->now_us);
  tick (fixture);
  colt_cell_unlist_stop (fixture->cell, run);
  expect_fault (fixture, "0.0.0: run 1: its stop has no effect");
  g_assert_cmpuint (fixture->stops->len, ==, 2);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_STOPPED);
  expect_start (fixture);
  colt_fixture_destroy (fixture);
}

/* Submits jobs of one step and takes some, given by their numbers, out of what
 * passes look at. */
static struct ColtLoadFixture *
submit_many (uint32_t first_broken, uint32_t broken)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  uint32_t i;

  for (i = 0; i < MANY_JOBS; i++)
    colt_fixture_submit (fixture, "tight", "steady", 1, false);
  for (i = first_broken; i < first_broken + broken; i++)
    {
      struct ColtCellStep *step = get_step (fixture, i);

      step->open = false;
      g_ptr_array_remove_fast (fixture->cell->open_steps, step);
    }
  return fixture;
}

/* Pattern: thousands of waiting jobs. Guards against ticks that check them all,
 * and against jobs that are never checked. */
static void
test_bounded_checks (void)
{
  struct ColtLoadFixture *fixture = submit_many (MANY_JOBS, 1);
  int ticks = 0;
  int i;

  while (fixture->faults->len == 0)
    {
      tick (fixture);
      g_assert_cmpint (++ticks, <=, MANY_TICKS);
    }
  g_assert_cmpint (ticks, ==, MANY_TICKS);
  for (i = 0; i < 2 * MANY_TICKS; i++)
    tick (fixture);
  fixture->faults_expected = 1;
  colt_fixture_destroy (fixture);
}

/* Pattern: a fault that holds many tasks. Guards against a log that is flooded,
 * as errors aren't limited, and against tasks that stay held. */
static void
test_bounded_faults (void)
{
  struct ColtLoadFixture *fixture = submit_many (1, BROKEN_JOBS);
  guint faults = 0;
  guint i;

  for (i = 0; i < BROKEN_JOBS / FAULTS_PER_TICK; i++)
    {
      tick (fixture);
      g_assert_cmpuint (fixture->faults->len, ==, faults + FAULTS_PER_TICK);
      faults = fixture->faults->len;
    }
  for (i = 0; i < 2 * MANY_TICKS; i++)
    tick (fixture);
  fixture->faults_expected = BROKEN_JOBS;
  colt_fixture_destroy (fixture);
}

/* Jobs end or are withdrawn while they are checked. Guards against a list of
 * watched jobs that keeps one that is freed. */
static void
test_jobs_end_meanwhile (void)
{
  struct ColtLoadFixture *fixture = submit_many (1, 0);
  uint32_t i;

  for (i = 1; i <= MANY_JOBS; i += 7)
    {
      char id[COLT_JOB_ID_LENGTH + 1];

      g_snprintf (id, sizeof id, "%016x", i);
      if (i % 2 == 0)
        g_assert_true (colt_cell_withdraw (fixture->cell, id));
      else
        colt_cell_cancel (fixture->cell, id, fixture->now_us);
      tick (fixture);
    }
  colt_fixture_commit (fixture);
  colt_fixture_change_leader (fixture);
  for (i = 0; i < 2 * MANY_TICKS; i++)
    tick (fixture);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_watchdog_tests (void)
{
  g_test_add_func ("/cell/watchdog/step-not-listed", test_step_not_listed);
  g_test_add_func ("/cell/watchdog/step-closed", test_step_closed);
  g_test_add_func ("/cell/watchdog/advice-call-lost", test_advice_call_lost);
  g_test_add_func ("/cell/watchdog/pause-too-long", test_pause_too_long);
  g_test_add_func ("/cell/watchdog/gang-divided", test_gang_divided);
  g_test_add_func ("/cell/watchdog/run-not-recorded", test_run_not_recorded);
  g_test_add_func ("/cell/watchdog/run-without-batch", test_run_without_batch);
  g_test_add_func ("/cell/watchdog/start-without-result",
                   test_start_without_result);
  g_test_add_func ("/cell/watchdog/stop-not-resent", test_stop_not_resent);
  g_test_add_func ("/cell/watchdog/bounded-checks", test_bounded_checks);
  g_test_add_func ("/cell/watchdog/bounded-faults", test_bounded_faults);
  g_test_add_func ("/cell/watchdog/jobs-end-meanwhile",
                   test_jobs_end_meanwhile);
}
