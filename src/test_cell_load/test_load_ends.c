/* Ends of runs that aren't the current ones of their tasks. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

#define JOB "0000000000000001"
#define TASK JOB ".0.0.0"
#define NEXT_TASK JOB ".0.1.0"
/* Cores of a server in thousandths; it holds the gang of a test. */
#define SERVER_CORES 4000
/* A call that was sent after all starts and stops had results. */
#define LATE_CALL 2000

/* What the current run of a task is doing when the end of an earlier one is
 * reported. */
enum ColtCurrent
{
  CURRENT_NONE,
  CURRENT_PLANNED,
  CURRENT_IN_BATCH,
  CURRENT_STARTING,
  CURRENT_RUNNING,
  CURRENT_STOPPING
};

/* Returns the server of a start. */
static const char *
server_of (const struct ColtLoadFixture *fixture, guint start)
{
  return colt_fixture_was_sent_to (fixture, start, "server-a") ? "server-a"
                                                               : "server-b";
}

static void
add_servers (struct ColtLoadFixture *fixture)
{
  colt_fixture_add_server (fixture, "server-a", SERVER_CORES);
  colt_fixture_add_server (fixture, "server-b", SERVER_CORES);
}

/* Submits a job whose second step, of one task, follows its first one. */
static void
submit_chain (struct ColtLoadFixture *fixture, uint32_t count, bool gang)
{
  ColtJobSpec *spec = colt_fixture_make_job (fixture, count);
  ColtJobStep *step = malloc (sizeof *step);
  ColtJobStep **steps = realloc (spec->steps, 2 * sizeof *steps);

  g_assert (step != NULL && steps != NULL);
  colt_job_step__init (step);
  step->count = 1;
  step->cpu_milli = 1000;
  step->estimate_ms = 100;
  step->after = calloc (1, sizeof *step->after);
  step->n_after = 1;
  steps[0]->gang = gang;
  steps[1] = step;
  spec->steps = steps;
  spec->n_steps = 2;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

static void
report_end (struct ColtLoadFixture *fixture,
            const char *server,
            const char *task,
            uint32_t run,
            enum ColtRunEnd how)
{
  const struct ColtFinishedEntry end = { 1, task, run, how, "" };
  const struct ColtServerReport report
      = { .finished = &end, .finished_count = 1, .call_number = LATE_CALL };

  colt_cell_apply_report (fixture->cell, server, &report, fixture->now_us);
}

/* Takes all runs on the server of a start as lost, as its leases have expired
 * without an answer. */
static void
lose_server (struct ColtLoadFixture *fixture, guint start)
{
  const struct ColtServerLoss loss = { 0 };
  const char *server = server_of (fixture, start);

  colt_cell_set_unreachable (fixture->cell, server);
  colt_cell_apply_loss (fixture->cell, server, &loss, fixture->now_us);
  fixture->now_us += 30 * MS;
}

/* Starts run 1 of the first step's tasks, and loses it with its server. */
static struct ColtLoadFixture *
lose_first_run (uint32_t count, bool gang)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint i;

  colt_fixture_add_server (fixture, "server-a", SERVER_CORES);
  submit_chain (fixture, count, gang);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, count);
  for (i = 0; i < count; i++)
    colt_fixture_accept_start (fixture, i);
  colt_fixture_add_server (fixture, "server-b", SERVER_CORES);
  lose_server (fixture, 0);
  return fixture;
}

/* Brings run 2 of the task to a state. Returns the batch that is to be
 * confirmed, or NULL. */
static GArray *
begin_second_run (struct ColtLoadFixture *fixture, enum ColtCurrent current)
{
  if (current == CURRENT_NONE)
    return NULL;
  if (current == CURRENT_PLANNED || current == CURRENT_IN_BATCH)
    {
      colt_fixture_commit (fixture);
      colt_cell_place_tasks (fixture->cell, fixture->now_us,
                             fixture->now_us / MS);
      g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server-b"), ==,
                        1);
      return current == CURRENT_PLANNED
                 ? NULL
                 : colt_cell_take_records (fixture->cell, SIZE_MAX,
                                           fixture->now_us / MS);
    }
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  g_assert_true (colt_fixture_was_sent_to (fixture, 1, "server-b"));
  if (current == CURRENT_RUNNING)
    colt_fixture_accept_start (fixture, 1);
  if (current != CURRENT_STOPPING)
    return NULL;
  /* A start without an answer that the next report doesn't list is stopped. */
  colt_cell_apply_start_result (fixture->cell, "server-b", TASK, 2,
                                COLT_START_UNKNOWN, 10, fixture->now_us);
  colt_fixture_report_idle (fixture, "server-b", 11);
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  return NULL;
}

static enum ColtJobState
get_state (const struct ColtLoadFixture *fixture)
{
  enum ColtJobState state;

  g_assert_true (colt_cell_get_state (fixture->cell, JOB, &state));
  return state;
}

/* Places the second step and ends its run as done. from: starts so far. */
static void
finish_chain (struct ColtLoadFixture *fixture, guint from)
{
  fixture->now_us += 100 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, from + 1);
  g_assert_true (g_str_has_prefix (g_ptr_array_index (fixture->starts, from),
                                   NEXT_TASK "@"));
  colt_fixture_accept_start (fixture, from);
  report_end (fixture, server_of (fixture, from), NEXT_TASK,
              g_array_index (fixture->start_runs, uint32_t, from),
              COLT_RUN_DONE);
  colt_fixture_commit (fixture);
  g_assert_cmpint (get_state (fixture), ==, COLT_JOB_COMPLETED);
}

/* Plays an end as done of run 1, which was taken as lost, while run 2 is in a
 * state, and then an end of run 2. */
static void
play_late_end (enum ColtCurrent current, enum ColtRunEnd second_end)
{
  struct ColtLoadFixture *fixture = lose_first_run (1, false);
  GArray *batch = begin_second_run (fixture, current);
  guint starts = fixture->starts->len;

  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  if (batch != NULL)
    {
      colt_cell_free_records (batch);
      colt_cell_confirm_batch (fixture->cell, fixture->now_us);
    }
  g_assert_false (colt_cell_may_start (fixture->cell, "server-b", TASK, 2));
  g_assert_cmpuint (fixture->starts->len, ==, starts);
  if (current >= CURRENT_STARTING)
    {
      g_assert_cmpuint (fixture->stops->len, ==, 1);
      g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server-b"), ==,
                        1);
      report_end (fixture, "server-b", TASK, 2, second_end);
    }
  else
    g_assert_cmpuint (fixture->stops->len, ==, 0);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server-b"), ==, 0);
  /* Servers repeat an end until it is acknowledged. */
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  finish_chain (fixture, starts);
  colt_fixture_destroy (fixture);
}

/* Guards against steps that never start: the end as done of a run that was
 * taken as lost completes its task, whatever became of the next run. */
static void
test_done_after_loss (void)
{
  enum ColtCurrent current;

  for (current = CURRENT_NONE; current <= CURRENT_STOPPING; current++)
    {
      play_late_end (current, COLT_RUN_STOPPED);
      play_late_end (current, COLT_RUN_FAILED);
      play_late_end (current, COLT_RUN_DONE);
    }
}

/* The same under the next leader, whose record has the run as ended. Guards
 * also against a record without the completion: a third leader starts only the
 * next step. */
static void
test_done_after_leader_change (void)
{
  struct ColtLoadFixture *fixture = lose_first_run (1, false);

  colt_fixture_commit (fixture);
  colt_fixture_change_leader (fixture);
  add_servers (fixture);
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  colt_fixture_commit (fixture);
  colt_fixture_change_leader (fixture);
  add_servers (fixture);
  finish_chain (fixture, 1);
  colt_fixture_destroy (fixture);
}

/* One end as done of an earlier run of a gang completes the gang. Guards
 * against runs of the gang that go on, and a next step that never starts. */
static void
test_gang_done_after_loss (void)
{
  struct ColtLoadFixture *fixture = lose_first_run (2, true);
  guint stops = fixture->stops->len;

  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  colt_fixture_accept_start (fixture, 2);
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  g_assert_cmpuint (fixture->stops->len, ==, stops + 2);
  report_end (fixture, "server-b", TASK, 2, COLT_RUN_STOPPED);
  report_end (fixture, "server-b", JOB ".0.0.1", 2, COLT_RUN_FAILED);
  g_assert_cmpuint (colt_cell_count_runs (fixture->cell, "server-b"), ==, 0);
  finish_chain (fixture, 4);
  colt_fixture_destroy (fixture);
}

/* Guards against tasks that last and are taken as complete, and cancelled jobs
 * that come back, by the end as done of an earlier run. */
static void
test_done_without_effect (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server-a", SERVER_CORES);
  colt_fixture_submit (fixture, "tight", "steady", 1, true);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  colt_fixture_add_server (fixture, "server-b", SERVER_CORES);
  lose_server (fixture, 0);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  g_assert_true (colt_cell_may_start (fixture->cell, "server-b", TASK, 2));
  colt_cell_cancel (fixture->cell, JOB, fixture->now_us);
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  report_end (fixture, "server-b", TASK, 2, COLT_RUN_STOPPED);
  colt_fixture_commit (fixture);
  g_assert_cmpint (get_state (fixture), ==, COLT_JOB_CANCELLED);
  colt_fixture_destroy (fixture);
}

/* Loses a start's server, whose process has ended. */
static void
crash_server_of_start (struct ColtLoadFixture *fixture, guint start)
{
  const char *server
      = strchr (g_ptr_array_index (fixture->starts, start), '@') + 1;

  colt_cell_replace_server (fixture->cell, server, fixture->now_us);
  fixture->now_us += 200 * MS;
}

/* Guards against a job that fails by the crash of a server under a run whose
 * task was completed by an earlier run. */
static void
test_crash_after_done (void)
{
  struct ColtLoadFixture *fixture = lose_first_run (1, false);
  guint i;

  for (i = 1; i <= 3; i++)
    {
      char *id = g_strdup_printf ("extra-%u", i);

      colt_fixture_add_server (fixture, id, SERVER_CORES);
      g_free (id);
    }
  for (i = 1; i <= 2; i++)
    {
      colt_fixture_place (fixture);
      g_assert_cmpuint (fixture->starts->len, ==, i + 1);
      colt_fixture_accept_start (fixture, i);
      crash_server_of_start (fixture, i);
    }
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  colt_fixture_accept_start (fixture, 3);
  report_end (fixture, "server-a", TASK, 1, COLT_RUN_DONE);
  crash_server_of_start (fixture, 3);
  colt_fixture_commit (fixture);
  g_assert_cmpint (get_state (fixture), ==, COLT_JOB_RUNNING);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_end_tests (void)
{
  g_test_add_func ("/cell/ends/crash-after-done", test_crash_after_done);
  g_test_add_func ("/cell/ends/done-after-loss", test_done_after_loss);
  g_test_add_func ("/cell/ends/done-after-leader-change",
                   test_done_after_leader_change);
  g_test_add_func ("/cell/ends/gang-done-after-loss",
                   test_gang_done_after_loss);
  g_test_add_func ("/cell/ends/done-without-effect", test_done_without_effect);
}
