/* Runs that fail: which servers get work nevertheless. */
#include <math.h>
#include <string.h>

#include "fixture.h"

/* Servers of the service. */
#define SERVERS 3
#define SERVER_CORES 32000
/* Period of reports and placement. */
#define STEP_US (50 * MS)
/* Time until a task that lasts is at work. */
#define STARTUP_US (400 * MS)
/* Longest time without a run of a task that lasts: it has to start again within
 * 6 s. */
#define RESTART_US (6 * COLT_US_PER_S)
#define NAME_SIZE 48

/* A run on a model server. */
struct ColtModelRun
{
  char task[NAME_SIZE];
  char server[NAME_SIZE];
  uint32_t run;
  int64_t began_us;
  int64_t ends_us;
  enum ColtRunEnd how;
  uint64_t end_number; /* on its server; 0: it goes on */
};

/* Model servers that carry out the starts of a fixture. */
struct ColtModel
{
  struct ColtLoadFixture *fixture;
  GRand *rand;
  GArray *runs; /* of struct ColtModelRun, for each start in order */
  uint64_t call;
  uint64_t last_end; /* of all servers */
  guint applied;     /* starts that have been carried out */
  /* Sets the end of a run that has just begun. */
  void (*plan) (struct ColtModel *model, struct ColtModelRun *run);
  const char *bad; /* id of a server on which all runs fail; NULL: none */
};

static struct ColtModel *
create_model (void (*plan) (struct ColtModel *, struct ColtModelRun *))
{
  struct ColtModel *model = g_new0 (struct ColtModel, 1);
  int i;

  model->fixture = colt_fixture_create ();
  model->rand = g_rand_new_with_seed (1);
  model->runs = g_array_new (FALSE, TRUE, sizeof (struct ColtModelRun));
  model->call = 10;
  model->plan = plan;
  for (i = 0; i < SERVERS; i++)
    {
      char id[NAME_SIZE];

      g_snprintf (id, sizeof id, "server-%d", i);
      colt_fixture_add_server (model->fixture, id, SERVER_CORES);
    }
  return model;
}

static void
destroy_model (struct ColtModel *model)
{
  colt_fixture_destroy (model->fixture);
  g_rand_free (model->rand);
  g_array_unref (model->runs);
  g_free (model);
}

static void
apply_starts (struct ColtModel *model)
{
  struct ColtLoadFixture *fixture = model->fixture;

  for (; model->applied < fixture->starts->len; model->applied++)
    {
      char **parts = g_strsplit (
          g_ptr_array_index (fixture->starts, model->applied), "@", 2);
      struct ColtModelRun run = { 0 };

      g_strlcpy (run.task, parts[0], sizeof run.task);
      g_strlcpy (run.server, parts[1], sizeof run.server);
      run.run = g_array_index (fixture->start_runs, uint32_t, model->applied);
      run.began_us = fixture->now_us;
      run.ends_us = INT64_MAX;
      run.how = COLT_RUN_FAILED;
      model->plan (model, &run);
      g_array_append_val (model->runs, run);
      colt_cell_apply_start_result (fixture->cell, run.server, run.task,
                                    run.run, COLT_START_TAKEN, model->call + 1,
                                    fixture->now_us);
      g_strfreev (parts);
    }
}

static void
report_server (struct ColtModel *model, const char *server)
{
  GArray *running = g_array_new (FALSE, TRUE, sizeof (struct ColtRunningEntry));
  GArray *finished
      = g_array_new (FALSE, TRUE, sizeof (struct ColtFinishedEntry));
  struct ColtServerReport report = { 0 };
  int64_t now_us = model->fixture->now_us;
  guint i;

  for (i = 0; i < model->runs->len; i++)
    {
      struct ColtModelRun *run
          = &g_array_index (model->runs, struct ColtModelRun, i);
      const struct ColtRunningEntry entry
          = { run->task, run->run, "",
              now_us - run->began_us >= STARTUP_US ? 100 : 0 };

      if (run->end_number != 0 || strcmp (run->server, server) != 0)
        continue;
      if (now_us < run->ends_us)
        g_array_append_val (running, entry);
      else
        {
          struct ColtFinishedEntry end = { 0 };

          run->end_number = ++model->last_end;
          end.number = run->end_number;
          end.task = run->task;
          end.run = run->run;
          end.how = run->how;
          end.checkpoint = "";
          g_array_append_val (finished, end);
        }
    }
  report.call_number = ++model->call;
  report.running = (const struct ColtRunningEntry *)running->data;
  report.running_count = running->len;
  report.finished = (const struct ColtFinishedEntry *)finished->data;
  report.finished_count = finished->len;
  colt_cell_apply_report (model->fixture->cell, server, &report, now_us);
  g_array_unref (running);
  g_array_unref (finished);
}

static void
advance_model (struct ColtModel *model)
{
  int i;

  model->fixture->now_us += STEP_US;
  for (i = 0; i < SERVERS; i++)
    {
      char id[NAME_SIZE];

      g_snprintf (id, sizeof id, "server-%d", i);
      report_server (model, id);
    }
  colt_fixture_place (model->fixture);
  apply_starts (model);
}

/* Returns when the last run of a task ended; INT64_MAX: one goes on. */
static int64_t
last_run_us (const struct ColtModel *model, const char *task)
{
  int64_t last_us = 0;
  guint i;

  for (i = 0; i < model->runs->len; i++)
    {
      const struct ColtModelRun *run
          = &g_array_index (model->runs, struct ColtModelRun, i);

      if (strcmp (run->task, task) != 0)
        continue;
      last_us = run->end_number == 0 ? INT64_MAX : MAX (last_us, run->ends_us);
    }
  return last_us;
}

static guint
count_starts_at (const struct ColtModel *model, const char *server, guint from)
{
  guint count = 0;
  guint i;

  for (i = from; i < model->runs->len; i++)
    if (strcmp (g_array_index (model->runs, struct ColtModelRun, i).server,
                server)
        == 0)
      count++;
  return count;
}

static void
plan_lasting (struct ColtModel *model, struct ColtModelRun *run)
{
  const double mean_s = 30;
  double lasts_s = 0.5 - mean_s * log (1 - g_rand_double (model->rand));

  if (model->bad != NULL && strcmp (run->server, model->bad) == 0)
    lasts_s = 0.2;
  run->ends_us = run->began_us + (int64_t)(lasts_s * COLT_US_PER_S);
}

static void
plan_failing (struct ColtModel *model, struct ColtModelRun *run)
{
  (void)model;
  run->ends_us = run->began_us + 300 * MS;
}

static void
plan_endless (struct ColtModel *model, struct ColtModelRun *run)
{
  (void)model;
  run->ends_us = INT64_MAX;
}

/* Fails the runs of the first job; those of others take a second. */
static void
plan_first_job_failing (struct ColtModel *model, struct ColtModelRun *run)
{
  bool first = g_str_has_prefix (run->task, "0000000000000001.");

  (void)model;
  run->how = first ? COLT_RUN_FAILED : COLT_RUN_DONE;
  run->ends_us = run->began_us + (first ? 300 : 1000) * MS;
}

/* Pattern: a service runs nothing but tasks that last, each of which fails now
 * and then. Guards against servers that are closed for good by failures, as
 * nothing is ever done on them: each task starts again in time, and an ordinary
 * job is started at once. */
static void
test_lasting_tasks_fail (void)
{
  struct ColtModel *model = create_model (plan_lasting);
  const uint32_t jobs = 4;
  const uint32_t tasks = 6;
  uint32_t job;
  uint32_t task;
  guint starts;
  int i;

  for (job = 0; job < jobs; job++)
    colt_fixture_submit (model->fixture, "tight", "steady", tasks, true);
  for (i = 0; i < 600 * 20; i++)
    {
      advance_model (model);
      for (job = 1; job <= jobs; job++)
        for (task = 0; task < tasks; task++)
          {
            char name[NAME_SIZE];
            int64_t last_us;

            g_snprintf (name, sizeof name, "%016x.0.0.%u", job, task);
            last_us = last_run_us (model, name);
            if (i > 20)
              g_assert_cmpint (model->fixture->now_us - RESTART_US, <=,
                               last_us);
          }
    }
  starts = model->fixture->starts->len;
  colt_fixture_submit (model->fixture, "tight", "steady", 2, false);
  advance_model (model);
  g_assert_cmpuint (model->fixture->starts->len, >=, starts + 2);
  destroy_model (model);
}

/* Pattern: the same, and one server fails all that it starts at once. It loses
 * its work. */
static void
test_lasting_tasks_at_bad_server (void)
{
  struct ColtModel *model = create_model (plan_lasting);
  int i;

  model->bad = "server-1";
  colt_fixture_submit (model->fixture, "tight", "steady", 6, true);
  colt_fixture_submit (model->fixture, "tight", "steady", 6, true);
  for (i = 0; i < 60 * 20; i++)
    advance_model (model);
  g_assert_cmpuint (count_starts_at (model, model->bad, 0), <, 20);
  destroy_model (model);
}

/* Pattern: a wide job fails wherever it runs, while nothing else is there.
 * Guards against a service that is closed for the next job. */
static void
test_failing_job_closes_no_service (void)
{
  struct ColtModel *model = create_model (plan_first_job_failing);
  guint starts;
  int i;

  colt_fixture_submit (model->fixture, "tight", "steady", 90, false);
  for (i = 0; i < 12; i++)
    advance_model (model);
  starts = model->fixture->starts->len;
  g_assert_cmpuint (starts, >, 60);
  colt_fixture_submit (model->fixture, "tight", "steady", 20, false);
  for (i = 0; i < 20; i++)
    advance_model (model);
  g_assert_true (colt_fixture_has_started (model->fixture, starts, 2));
  for (i = 0; i < 60; i++)
    advance_model (model);
  colt_fixture_submit (model->fixture, "tight", "steady", 60, false);
  starts = model->fixture->starts->len;
  advance_model (model);
  g_assert_cmpuint (model->fixture->starts->len, >=, starts + 60);
  destroy_model (model);
}

/* Pattern: all servers of a service fail all that they start. Guards against
 * pauses in which nothing is tried for longer than 3 s, although the servers
 * may be sound again. */
static void
test_all_servers_fail (void)
{
  struct ColtModel *model = create_model (plan_failing);
  int64_t last_start_us = model->fixture->now_us;
  guint starts = 0;
  int i;

  for (i = 0; i < 200 * 20; i++)
    {
      if (i % 10 == 0)
        colt_fixture_submit (model->fixture, "tight", "steady", 2, false);
      advance_model (model);
      if (model->fixture->starts->len > starts)
        last_start_us = model->fixture->now_us;
      starts = model->fixture->starts->len;
      g_assert_cmpint (model->fixture->now_us - last_start_us, <=,
                       3 * COLT_US_PER_S);
    }
  destroy_model (model);
}

/* Guards against a server on probation that gets one run at a time for good: a
 * run that goes on for long leaves room for others. */
static void
test_long_run_after_probation (void)
{
  struct ColtModel *model = create_model (plan_failing);
  guint starts;
  int i;

  for (i = 0; i < 10; i++)
    {
      colt_fixture_submit (model->fixture, "tight", "steady", 4, false);
      advance_model (model);
    }
  model->plan = plan_endless;
  for (i = 0; i < 30 * 20; i++)
    advance_model (model);
  starts = model->fixture->starts->len;
  colt_fixture_submit (model->fixture, "tight", "steady", 40, false);
  advance_model (model);
  g_assert_cmpuint (model->fixture->starts->len, >=, starts + 40);
  destroy_model (model);
}

void
colt_load_add_failure_tests (void)
{
  g_test_add_func ("/cell/failures/lasting-tasks-fail",
                   test_lasting_tasks_fail);
  g_test_add_func ("/cell/failures/lasting-tasks-at-bad-server",
                   test_lasting_tasks_at_bad_server);
  g_test_add_func ("/cell/failures/failing-job-closes-no-service",
                   test_failing_job_closes_no_service);
  g_test_add_func ("/cell/failures/all-servers-fail", test_all_servers_fail);
  g_test_add_func ("/cell/failures/long-run-after-probation",
                   test_long_run_after_probation);
}
