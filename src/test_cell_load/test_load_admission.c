/* Admission by forecast under different patterns of load: a cell, servers and
 * callers in virtual time. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

#define TICK_US (20 * MS)
#define TASKS 10
#define CORES 64000
/* Of the jobs: a chain of one step of TASK_US, 1.5 times that and 250 ms. */
#define TASK_US (700 * MS)
#define OBJECTIVE_US (1300 * MS)
#define LATE_FACTOR 3

struct PlayedRun
{
  guint start; /* its index among the fixture's starts */
  int64_t end_us;
};

struct PlayedJob
{
  uint32_t id;
  int64_t submitted_us;
  int64_t ended_us; /* 0: not yet */
  bool rejected;
  bool burst;
  uint32_t retry_after_ms;
};

struct Play
{
  struct ColtLoadFixture *fixture;
  GArray *runs;  /* of struct PlayedRun */
  GArray *jobs;  /* of struct PlayedJob */
  guint started; /* starts that were accepted */
  double due;    /* part of the next job */
  int64_t task_us;
};

/* Counts of jobs by what became of them. */
struct Outcome
{
  guint timely;
  guint late;
  guint useless; /* accepted, and ended too late or never */
  guint rejected;
};

static void
configure (struct ColtLoadFixture *fixture, double weight, int64_t maximum)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);
  struct ColtOrganisation *steady = colt_fleet_add_organisation (fleet);

  fleet->version = 2;
  queue->name = g_strdup ("tight");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->stretch = 1.5;
  queue->target_ms = 250;
  steady->name = g_strdup ("steady");
  steady->weight = weight;
  steady->maximum.amount[COLT_RESOURCE_CORES] = maximum;
  colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
}

static void
play_begin (struct Play *play,
            bool forecasts,
            int servers,
            double weight,
            int64_t maximum)
{
  char id[16];
  int i;

  *play = (struct Play){ 0 };
  play->fixture = colt_fixture_create_admitting (forecasts);
  play->runs = g_array_new (FALSE, FALSE, sizeof (struct PlayedRun));
  play->jobs = g_array_new (FALSE, FALSE, sizeof (struct PlayedJob));
  play->task_us = TASK_US;
  configure (play->fixture, weight, maximum);
  for (i = 0; i < servers; i++)
    {
      g_snprintf (id, sizeof id, "s%d", i);
      colt_fixture_add_server (play->fixture, id, CORES);
    }
}

static void
play_end (struct Play *play)
{
  g_array_unref (play->runs);
  g_array_unref (play->jobs);
  colt_fixture_destroy (play->fixture);
}

static enum ColtSubmitResult
submit (struct Play *play, bool burst)
{
  ColtJobSpec *spec = colt_fixture_make_job (play->fixture, TASKS);
  struct PlayedJob job = { 0 };
  enum ColtSubmitResult result;

  spec->steps[0]->estimate_ms = (uint32_t)(TASK_US / MS);
  job.id = play->fixture->last_id;
  job.submitted_us = play->fixture->now_us;
  job.burst = burst;
  result = colt_cell_submit (play->fixture->cell, spec, play->fixture->now_us);
  job.rejected = result == COLT_SUBMIT_TOO_LATE;
  if (job.rejected)
    {
      job.retry_after_ms = colt_cell_retry_after_ms (play->fixture->cell);
      colt_job_spec__free_unpacked (spec, NULL);
    }
  g_array_append_val (play->jobs, job);
  return result;
}

static void
end_runs (struct Play *play)
{
  guint i = 0;

  while (i < play->runs->len)
    {
      const struct PlayedRun run
          = g_array_index (play->runs, struct PlayedRun, i);

      if (run.end_us > play->fixture->now_us)
        {
          i++;
          continue;
        }
      colt_fixture_report_end (
          play->fixture, run.start,
          g_array_index (play->fixture->start_runs, uint32_t, run.start),
          COLT_RUN_DONE);
      g_array_remove_index_fast (play->runs, i);
    }
}

static void
note_ends (struct Play *play)
{
  char id[COLT_JOB_ID_LENGTH + 1];
  guint i;

  for (i = 0; i < play->jobs->len; i++)
    {
      struct PlayedJob *job = &g_array_index (play->jobs, struct PlayedJob, i);
      enum ColtJobState state;

      if (job->rejected || job->ended_us != 0)
        continue;
      g_snprintf (id, sizeof id, "%016x", job->id);
      if (colt_cell_get_state (play->fixture->cell, id, &state)
          && state == COLT_JOB_COMPLETED)
        job->ended_us = play->fixture->now_us;
    }
}

/* Plays a time with a number of jobs a second. */
static void
play_load (struct Play *play, double seconds, double rate, bool burst)
{
  int64_t until_us
      = play->fixture->now_us + (int64_t)(seconds * (double)COLT_US_PER_S);

  while (play->fixture->now_us < until_us)
    {
      play->fixture->now_us += TICK_US;
      end_runs (play);
      play->due += rate * (double)TICK_US / COLT_US_PER_S;
      for (; play->due >= 1; play->due -= 1)
        submit (play, burst);
      colt_fixture_place (play->fixture);
      for (; play->started < play->fixture->starts->len; play->started++)
        {
          const struct PlayedRun run
              = { play->started, play->fixture->now_us + play->task_us };

          colt_fixture_accept_start (play->fixture, play->started);
          g_array_append_val (play->runs, run);
        }
      note_ends (play);
    }
}

static struct Outcome
count (const struct Play *play, bool burst_only)
{
  struct Outcome outcome = { 0 };
  guint i;

  for (i = 0; i < play->jobs->len; i++)
    {
      const struct PlayedJob *job
          = &g_array_index (play->jobs, struct PlayedJob, i);
      int64_t took_us = job->ended_us - job->submitted_us;

      if (burst_only && !job->burst)
        continue;
      if (job->rejected)
        outcome.rejected++;
      else if (job->ended_us == 0 || took_us > LATE_FACTOR * OBJECTIVE_US)
        outcome.useless++;
      else if (took_us > OBJECTIVE_US)
        outcome.late++;
      else
        outcome.timely++;
    }
  g_test_message ("timely %u, late %u, useless %u, rejected %u", outcome.timely,
                  outcome.late, outcome.useless, outcome.rejected);
  return outcome;
}

/* An organisation of 2 jobs a second sends 8 times as many for 6 s, against a
 * maximum of 1.9 times its usual use. */
static struct Outcome
play_surge (bool forecasts, double weight)
{
  struct Play play;
  struct Outcome outcome;

  play_begin (&play, forecasts, 4, weight, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 6, 16, true);
  play_load (&play, 20, 2, false);
  outcome = count (&play, false);
  play_end (&play);
  return outcome;
}

/* Guards against rejections that let room idle: of the jobs that end in time
 * without admission as many still do, and at most a part of those accepted in
 * vain still are. Jobs within the share are rejected later, as they keep their
 * turn when they are late. An end counts at the tick after it, so that a few
 * jobs miss their objective by less than a tenth. */
static void
check_surge (double weight, double useless_max)
{
  struct Outcome without = play_surge (false, weight);
  struct Outcome with = play_surge (true, weight);

  g_assert_cmpuint (without.rejected, ==, 0);
  g_assert_cmpuint (with.timely * 20, >=, without.timely * 19);
  g_assert_cmpuint ((with.timely + with.late) * 20, >=,
                    (without.timely + without.late) * 19);
  g_assert_cmpfloat (with.useless, <=, useless_max * without.useless);
}

static void
test_surge_within_share (void)
{
  check_surge (100, 0.6);
}

static void
test_surge_beyond_share (void)
{
  check_surge (2.4, 0.5);
}

/* A burst of twice the service's room for 4 s. */
static struct Outcome
play_burst (bool forecasts, double weight)
{
  struct Play play;
  struct Outcome outcome;

  play_begin (&play, forecasts, 2, weight, 0);
  play_load (&play, 5, 10, false);
  play_load (&play, 4, 36, true);
  play_load (&play, 20, 10, false);
  outcome = count (&play, false);
  play_end (&play);
  return outcome;
}

/* Guards against rejections of work that is served once a short burst is over.
 */
static void
test_burst (void)
{
  struct Outcome without = play_burst (false, 1000);
  struct Outcome with = play_burst (true, 1000);

  g_assert_cmpuint (with.rejected, ==, 0);
  g_assert_cmpuint (with.timely, ==, without.timely);
  without = play_burst (false, 12);
  with = play_burst (true, 12);
  g_assert_cmpuint (with.timely, >=, without.timely);
}

/* Returns the time at which a job's caller submits it again, in whole seconds
 * after its rejection. */
static int64_t
return_us (const struct PlayedJob *job)
{
  return job->submitted_us
         + (int64_t)((job->retry_after_ms + 999) / 1000) * COLT_US_PER_S;
}

/* Guards against retries that bring the peak of a surge back: in no second do
 * more jobs return than in a quarter of a second of the surge, and those that
 * were rejected first return first, but for the second of their spread. */
static void
test_retries (void)
{
  guint returns[64] = { 0 };
  int64_t latest_us = 0;
  struct Play play;
  guint i;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 6, 16, true);
  g_assert_cmpuint (count (&play, true).rejected, >=, 30);
  for (i = 0; i < play.jobs->len; i++)
    {
      const struct PlayedJob *job
          = &g_array_index (play.jobs, struct PlayedJob, i);
      guint second = (guint)(return_us (job) / COLT_US_PER_S);

      if (!job->rejected)
        continue;
      g_assert_cmpuint (job->retry_after_ms, >, 0);
      g_assert_cmpuint (second, <, G_N_ELEMENTS (returns));
      g_assert_cmpuint (++returns[second], <=, 4);
      g_assert_cmpint (return_us (job), >=, latest_us - 2 * COLT_US_PER_S);
      latest_us = MAX (latest_us, return_us (job));
    }
  play_end (&play);
}

static enum ColtSubmitResult
resubmit (struct Play *play, uint32_t id)
{
  ColtJobSpec *spec = colt_fixture_make_job (play->fixture, TASKS);
  enum ColtSubmitResult result;

  g_snprintf (spec->id, COLT_JOB_ID_LENGTH + 1, "%016x", id);
  result = colt_cell_submit (play->fixture->cell, spec, play->fixture->now_us);
  if (result != COLT_SUBMIT_NEW)
    colt_job_spec__free_unpacked (spec, NULL);
  return result;
}

/* A rejected job has no state, no record and no start. */
static void
assert_unknown (const struct Play *play, uint32_t id)
{
  char key[COLT_JOB_ID_LENGTH + 2];
  enum ColtJobState state;

  g_snprintf (key, sizeof key, "s%016x", id);
  colt_fixture_commit (play->fixture);
  g_assert_false (colt_cell_get_state (play->fixture->cell, key + 1, &state));
  g_assert_false (g_hash_table_contains (play->fixture->records, key));
  key[0] = 'p';
  g_assert_false (g_hash_table_contains (play->fixture->records, key));
  g_assert_false (colt_fixture_has_started (play->fixture, 0, id));
}

/* Returns the index of the last job that was rejected, or accepted. */
static guint
find_last (const struct Play *play, bool rejected)
{
  guint i = play->jobs->len;

  while (g_array_index (play->jobs, struct PlayedJob, --i).rejected != rejected)
    g_assert_cmpuint (i, >, 0);
  return i;
}

/* An organisation at its maximum submits ids again: an accepted one is never
 * rejected, whether or not it is durable, and a rejected one is evaluated
 * afresh and then runs. */
static void
test_returning_ids (void)
{
  const struct PlayedJob *job;
  uint32_t rejected;
  struct Play play;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 3, 16, true);
  job = &g_array_index (play.jobs, struct PlayedJob, find_last (&play, true));
  rejected = job->id;
  g_assert_cmpint (resubmit (&play, rejected), ==, COLT_SUBMIT_TOO_LATE);
  assert_unknown (&play, rejected);
  job = &g_array_index (play.jobs, struct PlayedJob, find_last (&play, false));
  g_assert_cmpint (resubmit (&play, job->id), ==, COLT_SUBMIT_KNOWN);
  while (submit (&play, true) != COLT_SUBMIT_NEW)
    play_load (&play, 0.02, 0, true);
  job = &g_array_index (play.jobs, struct PlayedJob, play.jobs->len - 1);
  g_assert_cmpint (resubmit (&play, job->id), ==, COLT_SUBMIT_PENDING);
  play_load (&play, 20, 0, false);
  g_assert_cmpint (resubmit (&play, rejected), ==, COLT_SUBMIT_NEW);
  play_load (&play, 2, 0, false);
  g_assert_cmpint (resubmit (&play, rejected), ==, COLT_SUBMIT_KNOWN);
  play_end (&play);
}

/* Checks for stalled tasks after rejections: they read rejected jobs, which are
 * freed, if these stay among the watched ones. */
static void
test_watched_jobs (void)
{
  struct ColtLoadFixture *fixture;
  struct Play play;
  int i;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 3, 16, true);
  (void)find_last (&play, true);
  fixture = play.fixture;
  for (i = 0; i < 100; i++)
    colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
  play_end (&play);
}

/* The leader changes while an organisation is at its maximum: the new one knows
 * what was accepted, and rejects nothing before it has measured the load. */
static void
test_new_leader (void)
{
  struct Play play;
  guint i;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 3, 16, true);
  colt_fixture_change_leader (play.fixture);
  configure (play.fixture, 2.4, 27000);
  for (i = 0; i < play.jobs->len; i++)
    {
      const struct PlayedJob *job
          = &g_array_index (play.jobs, struct PlayedJob, i);

      if (!job->rejected)
        g_assert_cmpint (resubmit (&play, job->id), ==, COLT_SUBMIT_KNOWN);
    }
  for (i = 0; i < 20; i++)
    g_assert_cmpint (submit (&play, true), ==, COLT_SUBMIT_NEW);
  play_end (&play);
}

/* An organisation is at its maximum when half of the servers stop answering,
 * and later the log: nothing is rejected then, and again 3 s later. */
static void
test_disturbances (void)
{
  struct Play play;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 3, 16, true);
  while (submit (&play, true) == COLT_SUBMIT_NEW)
    ;
  colt_cell_distrust_forecast (play.fixture->cell, play.fixture->now_us);
  g_assert_cmpint (submit (&play, true), ==, COLT_SUBMIT_NEW);
  play_load (&play, 3.1, 8, true);
  while (submit (&play, true) == COLT_SUBMIT_NEW)
    ;
  colt_cell_set_unreachable (play.fixture->cell, "s2");
  colt_cell_set_unreachable (play.fixture->cell, "s3");
  g_assert_cmpint (submit (&play, true), ==, COLT_SUBMIT_NEW);
  play_end (&play);
}

static enum ColtSubmitResult
submit_kind (struct Play *play, bool lasting, bool gang, uint32_t repetitions)
{
  ColtJobSpec *spec = colt_fixture_make_job (play->fixture, TASKS);
  enum ColtSubmitResult result;

  spec->steps[0]->lasting = lasting;
  spec->steps[0]->gang = gang;
  spec->repetitions = repetitions;
  spec->interval_ms = 1000000;
  result = colt_cell_submit (play->fixture->cell, spec, play->fixture->now_us);
  if (result != COLT_SUBMIT_NEW)
    colt_job_spec__free_unpacked (spec, NULL);
  return result;
}

/* Lasting and scheduled jobs, and gangs, are accepted while an organisation is
 * at its maximum and its other jobs are rejected. */
static void
test_not_evaluated (void)
{
  struct Play play;

  play_begin (&play, true, 4, 2.4, 27000);
  play_load (&play, 5, 2, false);
  play_load (&play, 3, 16, true);
  while (submit (&play, true) == COLT_SUBMIT_NEW)
    ;
  g_assert_cmpint (submit_kind (&play, true, false, 0), ==, COLT_SUBMIT_NEW);
  g_assert_cmpint (submit_kind (&play, false, true, 0), ==, COLT_SUBMIT_NEW);
  g_assert_cmpint (submit_kind (&play, false, false, 2), ==, COLT_SUBMIT_NEW);
  g_assert_cmpint (submit_kind (&play, false, false, 0), ==,
                   COLT_SUBMIT_TOO_LATE);
  play_end (&play);
}

/* Runs of a whole fleet hang: the rate at which room returns isn't known, and
 * nothing is rejected, however much waits. */
static void
test_unknown_rate (void)
{
  struct Play play;

  play_begin (&play, true, 4, 2.4, 27000);
  play.task_us = 1000 * COLT_US_PER_S;
  play_load (&play, 10, 16, true);
  g_assert_cmpuint (count (&play, false).rejected, ==, 0);
  play_end (&play);
}

void
colt_load_add_admission_tests (void)
{
  g_test_add_func ("/cell/load/admission/surge-within-share",
                   test_surge_within_share);
  g_test_add_func ("/cell/load/admission/surge-beyond-share",
                   test_surge_beyond_share);
  g_test_add_func ("/cell/load/admission/burst", test_burst);
  g_test_add_func ("/cell/load/admission/retries", test_retries);
  g_test_add_func ("/cell/load/admission/returning-ids", test_returning_ids);
  g_test_add_func ("/cell/load/admission/watched-jobs", test_watched_jobs);
  g_test_add_func ("/cell/load/admission/new-leader", test_new_leader);
  g_test_add_func ("/cell/load/admission/unknown-rate", test_unknown_rate);
  g_test_add_func ("/cell/load/admission/disturbances", test_disturbances);
  g_test_add_func ("/cell/load/admission/not-evaluated", test_not_evaluated);
}
