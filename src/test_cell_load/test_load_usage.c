/* The order of waiting work under loads of organisations that differ in what
 * they used before. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

#define ORGANISATIONS 11
#define HALF_LIFE_US (600 * COLT_US_PER_S)
#define WAIT_MAX_MS 2000
#define CORES 10
#define TASK_MS 100
#define RECORD_MAX 200
/* The organisation that used most. */
#define HEAVY "o0"

/* Equal organisations, and a queue whose jobs have much slack. */
static void
set_fleet (struct ColtLoadFixture *fixture)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);
  int i;

  fleet->version = 2;
  queue->name = g_strdup ("loose");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->stretch = 2;
  queue->target_ms = 60000;
  for (i = 0; i < ORGANISATIONS; i++)
    {
      struct ColtOrganisation *organisation
          = colt_fleet_add_organisation (fleet);

      organisation->name = g_strdup_printf ("o%d", i);
      organisation->weight = 100;
    }
  colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
}

static struct ColtLoadFixture *
create_fixture (int64_t half_life_us, int64_t wait_max_ms)
{
  struct ColtLoadFixture *fixture
      = colt_fixture_create_fair (RECORD_MAX, half_life_us, wait_max_ms * MS);

  set_fleet (fixture);
  colt_fixture_add_server (fixture, "server", CORES * 1000);
  return fixture;
}

static void
submit (struct ColtLoadFixture *fixture, const char *organisation)
{
  ColtJobSpec *spec = colt_fixture_make_job (fixture, 1);

  free (spec->organisation);
  free (spec->queue);
  spec->organisation = strdup (organisation);
  spec->queue = strdup ("loose");
  spec->accepted_wall_ms = fixture->now_us / MS;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

static void
end_runs (struct ColtLoadFixture *fixture, guint from)
{
  for (; from < fixture->starts->len; from++)
    colt_fixture_report_end (
        fixture, from, g_array_index (fixture->start_runs, uint32_t, from),
        COLT_RUN_DONE);
}

/* Passes time as a leader does. */
static void
pass_time (struct ColtLoadFixture *fixture, int64_t ms)
{
  fixture->now_us += ms * MS;
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
  colt_fixture_commit (fixture);
}

/* Lets an organisation use some cores for a time. */
static void
use_cores (struct ColtLoadFixture *fixture,
           const char *organisation,
           uint32_t cores,
           int64_t ms)
{
  guint from = fixture->starts->len;

  colt_fixture_submit (fixture, "loose", organisation, cores, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, from + cores);
  pass_time (fixture, ms);
  end_runs (fixture, from);
}

/* Starts one task, and returns the number of its job. */
static uint32_t
place_one (struct ColtLoadFixture *fixture)
{
  guint from = fixture->starts->len;
  uint32_t id;

  colt_cell_set_start_budget (fixture->cell, 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, from + 1);
  for (id = 1; !colt_fixture_has_started (fixture, from, id); id++)
    g_assert_cmpuint (id, <, fixture->last_id);
  return id;
}

static guint
count_usage_records (const struct ColtLoadFixture *fixture)
{
  guint count = 0;
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, fixture->records);
  while (g_hash_table_iter_next (&i, &key, NULL))
    count += *(const char *)key == 'u';
  return count;
}

/* Load: one organisation has filled the fleet for long, then others come. Their
 * jobs start first though they arrived later, up to the bound. */
static void
test_heavy (void)
{
  struct ColtLoadFixture *fixture = create_fixture (HALF_LIFE_US, WAIT_MAX_MS);
  char *metrics;
  char *dump;
  uint32_t first;
  int i;

  use_cores (fixture, HEAVY, CORES, 600000);
  first = fixture->last_id + 1;
  submit (fixture, HEAVY);
  fixture->now_us += (WAIT_MAX_MS - 100) * MS;
  for (i = 1; i < ORGANISATIONS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "o%d", i);
      submit (fixture, name);
    }
  fixture->now_us += 100 * MS;
  submit (fixture, "o1");
  for (i = 1; i < ORGANISATIONS; i++)
    g_assert_cmpuint (place_one (fixture), ==, first + (uint32_t)i);
  metrics = colt_cell_format_usage (fixture->cell);
  dump = colt_cell_dump (fixture->cell);
  g_assert_nonnull (
      strstr (metrics, "cell_past_use_place{organisation=\"o0\"} 1\n"));
  g_assert_nonnull (
      strstr (metrics, "cell_handicap_ms{organisation=\"o0\"} 2000\n"));
  g_assert_nonnull (strstr (dump, "\"past_use\":[{\"organisation\":\"o0\""));
  free (metrics);
  free (dump);
  end_runs (fixture, fixture->starts->len - CORES);
  /* A job that arrived as much later as the bound doesn't pass. */
  g_assert_cmpuint (place_one (fixture), ==, first);
  colt_fixture_destroy (fixture);
}

/* Guards against credit for idle time: one that comes for the first time has no
 * advantage over one that used less than its part. */
static void
test_return_from_idling (void)
{
  struct ColtLoadFixture *fixture = create_fixture (HALF_LIFE_US, WAIT_MAX_MS);
  uint32_t first;

  use_cores (fixture, HEAVY, CORES, 600000);
  use_cores (fixture, "o1", 1, 600000);
  first = fixture->last_id + 1;
  submit (fixture, HEAVY);
  submit (fixture, "o1");
  submit (fixture, "o2");
  g_assert_cmpuint (place_one (fixture), ==, first + 1);
  g_assert_cmpuint (place_one (fixture), ==, first + 2);
  g_assert_cmpuint (place_one (fixture), ==, first);
  end_runs (fixture, fixture->starts->len - 3);
  /* After enough half-lives the use is forgotten. */
  fixture->now_us += 20 * HALF_LIFE_US;
  submit (fixture, HEAVY);
  submit (fixture, "o2");
  g_assert_cmpuint (place_one (fixture), ==, first + 3);
  colt_fixture_destroy (fixture);
}

/* Guards against past use that is forgotten with its leader, and records beyond
 * the largest size. An inherited job is passed by none. */
static void
test_leader_change (void)
{
  struct ColtLoadFixture *fixture = create_fixture (HALF_LIFE_US, WAIT_MAX_MS);
  GHashTableIter iter;
  gpointer value;
  uint32_t first;
  int i;

  for (i = 1; i < ORGANISATIONS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "o%d", i);
      use_cores (fixture, name, 1, 1000);
    }
  use_cores (fixture, HEAVY, CORES, 600000);
  pass_time (fixture, 5000);
  submit (fixture, HEAVY);
  first = fixture->last_id;
  colt_fixture_commit (fixture);
  g_assert_cmpuint (count_usage_records (fixture), >, 1);
  g_hash_table_iter_init (&iter, fixture->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_assert_cmpuint (g_bytes_get_size (value), <=, RECORD_MAX);
  colt_fixture_change_leader (fixture);
  set_fleet (fixture);
  colt_fixture_add_server (fixture, "server", CORES * 1000);
  fixture->now_us += 100 * MS;
  submit (fixture, HEAVY);
  submit (fixture, "o1");
  g_assert_cmpuint (place_one (fixture), ==, first);
  g_assert_cmpuint (place_one (fixture), ==, first + 2);
  g_assert_cmpuint (place_one (fixture), ==, first + 1);
  colt_fixture_destroy (fixture);
}

/* Guards against more writes than stated, and a record that gets older while
 * nothing but a long run goes on. */
static void
test_record_period (void)
{
  struct ColtLoadFixture *fixture = create_fixture (HALF_LIFE_US, WAIT_MAX_MS);
  uint32_t written = 0;
  int ms;

  colt_fixture_submit (fixture, "loose", HEAVY, 1, false);
  colt_fixture_place (fixture);
  for (ms = 0; ms < 60000; ms += 25)
    {
      fixture->now_us += 25 * MS;
      colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
      written += colt_cell_has_changes (fixture->cell);
      colt_fixture_commit (fixture);
    }
  g_assert_cmpuint (written, ==, 12);
  colt_fixture_destroy (fixture);
}

/* Submits jobs of the first organisations in turn. */
static void
submit_of_many (struct ColtLoadFixture *fixture, int organisations, int jobs)
{
  int i;

  for (i = 0; i < jobs; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "o%d", i % organisations);
      submit (fixture, name);
    }
}

/* Runs a stream of work beyond the fleet's capacity that some organisations
 * send in turn, after they have used the same, each more than its part. Returns
 * the starts in their order. */
static GPtrArray *
play_equal_stream (int64_t half_life_us)
{
  struct ColtLoadFixture *fixture = create_fixture (half_life_us, WAIT_MAX_MS);
  GPtrArray *starts;
  guint ended = 0;
  int turn;

  submit_of_many (fixture, CORES / 2, CORES);
  colt_fixture_place (fixture);
  pass_time (fixture, 3600000);
  for (turn = 0; turn < 40; turn++)
    {
      end_runs (fixture, ended);
      ended = fixture->starts->len;
      submit_of_many (fixture, CORES / 2, 2 * CORES);
      colt_fixture_place (fixture);
      pass_time (fixture, TASK_MS);
    }
  g_assert_cmpuint (count_usage_records (fixture), >=, half_life_us > 0);
  if (half_life_us == 0)
    {
      char *metrics = colt_cell_format_usage (fixture->cell);

      g_assert_cmpuint (count_usage_records (fixture), ==, 0);
      g_assert_cmpstr (metrics, ==, "");
      free (metrics);
    }
  starts = g_ptr_array_ref (fixture->starts);
  colt_fixture_destroy (fixture);
  return starts;
}

/* With equal use the order is exactly the one without past use; without a
 * half-life nothing is recorded. */
static void
test_equal_use (void)
{
  GPtrArray *with = play_equal_stream (HALF_LIFE_US);
  GPtrArray *without = play_equal_stream (0);
  guint i;

  g_assert_cmpuint (with->len, ==, without->len);
  for (i = 0; i < with->len; i++)
    g_assert_cmpstr (g_ptr_array_index (with, i), ==,
                     g_ptr_array_index (without, i));
  g_ptr_array_unref (with);
  g_ptr_array_unref (without);
}

/* Returns how long a job of the organisation that used most waits in a stream
 * of others' jobs that takes the whole fleet, in milliseconds. */
static int64_t
play_against_stream (int64_t wait_max_ms)
{
  struct ColtLoadFixture *fixture = create_fixture (HALF_LIFE_US, wait_max_ms);
  uint32_t id = 0;
  int64_t submitted_us = 0;
  guint ended;
  int turn;
  int i;

  use_cores (fixture, HEAVY, CORES, 3600000);
  ended = fixture->starts->len;
  for (turn = 0; turn < 100; turn++)
    {
      for (i = 0; i < CORES * (turn == 0 ? 3 : 1); i++)
        {
          char name[16];

          g_snprintf (name, sizeof name, "o%d", 1 + i % (ORGANISATIONS - 1));
          submit (fixture, name);
        }
      if (turn == 10)
        {
          submit (fixture, HEAVY);
          id = fixture->last_id;
          submitted_us = fixture->now_us;
        }
      colt_fixture_place (fixture);
      if (id != 0 && colt_fixture_has_started (fixture, ended, id))
        break;
      pass_time (fixture, TASK_MS);
      end_runs (fixture, ended);
      ended = fixture->starts->len;
    }
  g_assert_cmpint (turn, <, 100);
  submitted_us = fixture->now_us - submitted_us;
  colt_fixture_destroy (fixture);
  return submitted_us / MS;
}

/* Load: others send as much as the fleet can do, for ever. The organisation
 * that used most waits at most as much longer as the bound says. */
static void
test_bound (void)
{
  static const int64_t bounds_ms[] = { 500, 2000, 4000 };
  int64_t without_ms = play_against_stream (0);
  guint i;

  for (i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    {
      int64_t added_ms = play_against_stream (bounds_ms[i]) - without_ms;

      g_test_message ("bound %d ms: waits %d ms longer", (int)bounds_ms[i],
                      (int)added_ms);
      g_assert_cmpint (added_ms, >, 0);
      g_assert_cmpint (added_ms, <=, bounds_ms[i]);
    }
}

/* Checks that the jobs of the starts from an index on have passed only jobs
 * that arrived less than the bound before them. Arrivals are by the numbers of
 * jobs; 0: the job has started. The first ones are inherited from another
 * leader: their order is that in which they were loaded. */
static void
check_passed (const struct ColtLoadFixture *fixture,
              guint from,
              GArray *arrivals,
              guint inherited)
{
  for (; from < fixture->starts->len; from++)
    {
      char id[COLT_JOB_ID_LENGTH + 1];
      int64_t *arrival;
      guint number;
      guint i;

      g_strlcpy (id, g_ptr_array_index (fixture->starts, from), sizeof id);
      number = (guint)g_ascii_strtoull (id, NULL, 16) - 1;
      arrival = &g_array_index (arrivals, int64_t, number);
      g_assert_cmpint (*arrival, >, 0);
      for (i = number < inherited ? inherited : 0; i < arrivals->len; i++)
        if (g_array_index (arrivals, int64_t, i) != 0)
          g_assert_cmpint (*arrival - g_array_index (arrivals, int64_t, i), <,
                           WAIT_MAX_MS * MS);
      *arrival = 0;
    }
}

/* Submits up to three jobs, of which one half comes from one organisation. */
static void
submit_at_random (struct ColtLoadFixture *fixture,
                  GRand *rand,
                  int heavy,
                  GArray *arrivals)
{
  int jobs = g_rand_int_range (rand, 0, 4);

  for (; jobs > 0; jobs--)
    {
      char name[16];

      g_snprintf (name, sizeof name, "o%d",
                  g_rand_boolean (rand)
                      ? heavy
                      : g_rand_int_range (rand, 0, ORGANISATIONS));
      submit (fixture, name);
      g_array_append_val (arrivals, fixture->now_us);
    }
}

/* Load: more than the fleet can do, for 20 s, of organisations whose use
 * differs and changes fast; the leader changes in between. Guards against jobs
 * that are passed by others that arrived later by more than the bound. */
static void
test_passed (void)
{
  struct ColtLoadFixture *fixture
      = create_fixture (2 * COLT_US_PER_S, WAIT_MAX_MS);
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GRand *rand = g_rand_new_with_seed (1);
  guint inherited = 0;
  guint ended = 0;
  guint placed;
  int turn;

  for (turn = 0; turn < 400; turn++)
    {
      submit_at_random (fixture, rand, turn / 100, arrivals);
      placed = fixture->starts->len;
      colt_cell_set_start_budget (fixture->cell, 1);
      colt_fixture_place (fixture);
      check_passed (fixture, placed, arrivals, inherited);
      pass_time (fixture, TASK_MS / 2);
      if (fixture->starts->len - ended == CORES)
        {
          colt_fixture_report_end (
              fixture, ended,
              g_array_index (fixture->start_runs, uint32_t, ended),
              COLT_RUN_DONE);
          ended++;
        }
      if (turn != 250)
        continue;
      end_runs (fixture, ended);
      ended = fixture->starts->len;
      inherited = arrivals->len;
      colt_fixture_commit (fixture);
      colt_fixture_change_leader (fixture);
      set_fleet (fixture);
      colt_fixture_add_server (fixture, "server", CORES * 1000);
    }
  g_rand_free (rand);
  g_array_unref (arrivals);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_usage_tests (void)
{
  g_test_add_func ("/cell/usage/passed", test_passed);
  g_test_add_func ("/cell/usage/heavy", test_heavy);
  g_test_add_func ("/cell/usage/return-from-idling", test_return_from_idling);
  g_test_add_func ("/cell/usage/leader-change", test_leader_change);
  g_test_add_func ("/cell/usage/record-period", test_record_period);
  g_test_add_func ("/cell/usage/equal-use", test_equal_use);
  g_test_add_func ("/cell/usage/bound", test_bound);
}
