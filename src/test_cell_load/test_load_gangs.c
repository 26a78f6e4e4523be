/* Gangs that wait for room beside single tasks of lower priority, in simulated
 * time. Servers have 8 cores and accelerators; single tasks need one of each,
 * tasks of gangs four. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

#define STEP_MS 10
#define SERVERS 12
#define SERVER_CORES 8
#define GANG_CORES 4
#define SHORT_MS 200
#define ADVICE_MS 550
#define ADVICE_PER_SERVER_MS 8

/* A run on a server that ends later. */
struct run
{
  guint start; /* index of its start */
  int64_t end_us;
};

/* An advice call that is answered later. */
struct call
{
  guint index; /* among all calls */
  GPtrArray *servers;
  int64_t end_us;
};

struct world
{
  struct ColtLoadFixture *fixture;
  GArray *runs;      /* of struct run */
  GArray *calls;     /* of struct call */
  guint starts_seen; /* whose runs have begun */
  guint calls_seen;
  int64_t single_ms;          /* duration of a single task */
  const char *const *endless; /* ids of servers whose runs don't end */
  uint32_t done;              /* runs that ended */
  uint32_t short_job;         /* number of a job whose tasks take SHORT_MS */
  bool quiet;                 /* no single tasks arrive by themselves */
};

static struct world *
create_world (void)
{
  struct world *world = g_new0 (struct world, 1);
  char id[16];
  int i;

  world->fixture = colt_fixture_create ();
  colt_fixture_add_lower_queues (world->fixture);
  world->runs = g_array_new (FALSE, FALSE, sizeof (struct run));
  world->calls = g_array_new (FALSE, FALSE, sizeof (struct call));
  world->single_ms = 3000;
  for (i = 0; i < SERVERS; i++)
    {
      g_snprintf (id, sizeof id, "server-%02d", i);
      colt_fixture_add_server (world->fixture, id, SERVER_CORES * 1000);
    }
  return world;
}

static void
destroy_world (struct world *world)
{
  guint i;

  for (i = 0; i < world->calls->len; i++)
    g_ptr_array_unref (g_array_index (world->calls, struct call, i).servers);
  colt_fixture_destroy (world->fixture);
  g_array_unref (world->runs);
  g_array_unref (world->calls);
  g_free (world);
}

/* Submits a job and returns its number. */
static uint32_t
submit (struct world *world,
        const char *queue,
        uint32_t count,
        uint32_t cores,
        uint32_t estimate_ms)
{
  struct ColtLoadFixture *fixture = world->fixture;
  ColtJobSpec *spec = colt_fixture_make_job (fixture, count);

  free (spec->queue);
  spec->queue = strdup (queue);
  spec->steps[0]->cpu_milli = cores * 1000;
  spec->steps[0]->estimate_ms = estimate_ms;
  spec->steps[0]->gang = cores == GANG_CORES;
  spec->steps[0]->accelerators = cores;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
  return fixture->last_id;
}

static uint32_t
submit_gang (struct world *world, uint32_t count)
{
  return submit (world, "advised", count, GANG_CORES, 3600);
}

/* Lets single tasks of 3 s wait on all servers, so that a core that becomes
 * free is taken at once. */
static void
submit_singles (struct world *world)
{
  submit (world, "single", 8, 1, 3000);
}

/* Confirms new starts and lists when their runs end. Single tasks of a job end
 * one after the other. */
static void
begin_runs (struct world *world)
{
  struct ColtLoadFixture *fixture = world->fixture;

  for (; world->starts_seen < fixture->starts->len; world->starts_seen++)
    {
      const char *name
          = g_ptr_array_index (fixture->starts, world->starts_seen);
      uint32_t index = (uint32_t)name[COLT_JOB_ID_LENGTH + 5] - '0';
      int64_t duration_ms = strtoul (name, NULL, 16) == world->short_job
                                ? SHORT_MS
                                : world->single_ms * (16 + index) / 20;
      struct run run
          = { world->starts_seen, fixture->now_us + duration_ms * MS };

      colt_fixture_accept_start (fixture, world->starts_seen);
      if (world->endless != NULL
          && g_strv_contains (world->endless, strchr (name, '@') + 1))
        run.end_us = INT64_MAX;
      g_array_append_val (world->runs, run);
    }
}

static void
end_runs (struct world *world)
{
  struct ColtLoadFixture *fixture = world->fixture;
  guint i = 0;

  while (i < world->runs->len)
    {
      const struct run *run = &g_array_index (world->runs, struct run, i);

      if (run->end_us > fixture->now_us)
        {
          i++;
          continue;
        }
      colt_fixture_report_end (
          fixture, run->start,
          g_array_index (fixture->start_runs, uint32_t, run->start),
          COLT_RUN_DONE);
      world->done++;
      g_array_remove_index (world->runs, i);
    }
}

/* Notes the servers of new advice calls. */
static void
note_calls (struct world *world)
{
  struct ColtLoadFixture *fixture = world->fixture;

  for (; world->calls_seen < fixture->calls->len; world->calls_seen++)
    {
      struct call call = { world->calls_seen, NULL, 0 };
      guint i;

      /* Only the servers of the latest call are known. */
      g_assert_cmpuint (world->calls_seen + 1, ==, fixture->calls->len);
      call.servers = g_ptr_array_new_with_free_func (g_free);
      for (i = 0; i < fixture->named_servers->len; i++)
        g_ptr_array_add (call.servers, g_strdup (g_ptr_array_index (
                                           fixture->named_servers, i)));
      call.end_us
          = fixture->now_us
            + (ADVICE_MS + ADVICE_PER_SERVER_MS * call.servers->len) * MS;
      g_array_append_val (world->calls, call);
    }
}

/* A third of the servers is suitable. */
static bool
is_suitable (const char *server)
{
  return atoi (server + strlen ("server-")) % 3 == 0;
}

/* Grants tickets for the suitable servers of a call. */
static void
answer_call (struct world *world, const struct call *call)
{
  struct ColtLoadFixture *fixture = world->fixture;
  guint i;

  g_ptr_array_set_size (fixture->named_servers, 0);
  for (i = 0; i < call->servers->len; i++)
    if (is_suitable (g_ptr_array_index (call->servers, i)))
      g_ptr_array_add (fixture->named_servers,
                       g_strdup (g_ptr_array_index (call->servers, i)));
  colt_fixture_grant_servers (fixture, call->index);
}

static void
answer_calls (struct world *world)
{
  while (world->calls->len > 0
         && g_array_index (world->calls, struct call, 0).end_us
                <= world->fixture->now_us)
    {
      struct call call = g_array_index (world->calls, struct call, 0);

      g_array_remove_index (world->calls, 0);
      answer_call (world, &call);
      g_ptr_array_unref (call.servers);
    }
}

/* Advances the time. */
static void
run_for (struct world *world, int64_t duration_ms)
{
  int64_t end_us = world->fixture->now_us + duration_ms * MS;

  while (world->fixture->now_us < end_us)
    {
      world->fixture->now_us += STEP_MS * MS;
      if (!world->quiet && world->fixture->now_us / MS % 200 == 0)
        submit_singles (world);
      end_runs (world);
      answer_calls (world);
      colt_fixture_place (world->fixture);
      note_calls (world);
      begin_runs (world);
    }
}

/* Advances the time until a job starts and returns how long that took; at most
 * limit_ms. */
static int64_t
run_until_start (struct world *world, uint32_t job, int64_t limit_ms)
{
  int64_t began_us = world->fixture->now_us;
  int64_t passed_ms = 0;

  while (!colt_fixture_has_started (world->fixture, 0, job)
         && passed_ms < limit_ms)
    {
      run_for (world, STEP_MS);
      passed_ms = (world->fixture->now_us - began_us) / MS;
    }
  return passed_ms;
}

static struct ColtCellStats
get_stats (const struct world *world)
{
  struct ColtCellStats stats;

  colt_cell_get_stats (world->fixture->cell, &stats);
  return stats;
}

/* Lets single tasks fill all servers, submits a gang and waits until servers
 * are reserved for it. Returns its number. */
static uint32_t
reserve (struct world *world, uint32_t tasks)
{
  uint32_t gang;
  int i;

  run_for (world, 10000);
  gang = submit_gang (world, tasks);
  for (i = 0; i < 300 && get_stats (world).reserved_gangs == 0; i++)
    run_for (world, STEP_MS);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 1);
  return gang;
}

/* Returns how many starts from an index on were sent to servers that gangs may
 * use. */
static guint
count_suitable_starts (const struct world *world, guint from)
{
  const GPtrArray *starts = world->fixture->starts;
  guint count = 0;
  guint i;

  for (i = from; i < starts->len; i++)
    count += is_suitable (strchr (g_ptr_array_index (starts, i), '@') + 1);
  return count;
}

/* Guards against a gang that starts late or never, since single tasks of lower
 * priority take every core of its servers that becomes free. */
static void
test_fragmentation (void)
{
  struct world *world = create_world ();

  run_for (world, 10000);
  g_assert_cmpint (run_until_start (world, submit_gang (world, 6), 20000), <,
                   4500);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 0);
  g_assert_cmpuint (get_stats (world).reservations_ended, ==, 0);
  destroy_world (world);
}

/* Guards against reserved servers that are left idle though tasks wait which
 * end before the gang starts. */
static void
test_short_tasks (void)
{
  struct world *world = create_world ();
  uint32_t gang = reserve (world, 6);
  guint from;

  run_for (world, 500);
  from = world->fixture->starts->len;
  world->short_job = submit (world, "short", 8, 1, SHORT_MS);
  run_for (world, 600);
  g_assert_true (
      colt_fixture_has_started (world->fixture, from, world->short_job));
  g_assert_cmpuint (count_suitable_starts (world, from), >=, 4);
  g_assert_false (colt_fixture_has_started (world->fixture, 0, gang));
  g_assert_cmpint (run_until_start (world, gang, 20000), <, 3000);
  destroy_world (world);
}

/* Guards against two gangs that each hold a part of what the other one needs.
 */
static void
test_two_gangs (void)
{
  struct world *world = create_world ();
  uint32_t first = reserve (world, 6);
  uint32_t second = submit_gang (world, 6);

  g_assert_cmpint (run_until_start (world, first, 20000), <, 4000);
  g_assert_false (colt_fixture_has_started (world->fixture, 0, second));
  g_assert_cmpint (run_until_start (world, second, 20000), <, 5000);
  destroy_world (world);
}

/* Guards against a reservation that outlives its gang's job. */
static void
test_cancelled (void)
{
  struct world *world = create_world ();
  uint32_t gang = reserve (world, 6);
  char id[COLT_JOB_ID_LENGTH + 1];
  char *dump;
  guint from;

  run_for (world, 1500);
  from = world->fixture->starts->len;
  run_for (world, STEP_MS);
  g_assert_cmpuint (count_suitable_starts (world, from), ==, 0);
  dump = colt_cell_dump (world->fixture->cell);
  g_assert_nonnull (strstr (dump, "\"reserved\":{\"start_in_ms\":"));
  free (dump);
  g_snprintf (id, sizeof id, "%016x", gang);
  g_assert_true (
      colt_cell_cancel (world->fixture->cell, id, world->fixture->now_us));
  run_for (world, STEP_MS);
  g_assert_cmpuint (count_suitable_starts (world, from), >=, 4);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 0);
  destroy_world (world);
}

/* Guards against a gang that waits for ever for runs that take far longer than
 * estimated, although other servers become free. Tasks that are expected to end
 * in time may delay it by their real duration. */
static void
test_wrong_estimates (void)
{
  static const char *const endless[] = { "server-00", "server-03", NULL };
  struct world *world = create_world ();
  uint32_t gang;

  run_for (world, 8000);
  world->single_ms = 9000;
  world->endless = endless;
  gang = reserve (world, 4);
  g_assert_cmpint (run_until_start (world, gang, 30000), <, 21000);
  destroy_world (world);
}

/* Guards against servers that are reserved for ever, since none of their runs
 * ends. */
static void
test_endless_runs (void)
{
  static const char *const endless[] = { "server-00", "server-03", NULL };
  struct world *world = create_world ();
  uint32_t gang;

  world->endless = endless;
  gang = reserve (world, 6);
  g_assert_cmpint (run_until_start (world, gang, 40000), ==, 40000);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 0);
  g_assert_cmpuint (get_stats (world).reservations_ended, >, 0);
  destroy_world (world);
}

static void
lose_server (struct world *world, const char *id)
{
  guint i;

  for (i = world->runs->len; i > 0; i--)
    if (colt_fixture_was_sent_to (
            world->fixture,
            g_array_index (world->runs, struct run, i - 1).start, id))
      g_array_remove_index (world->runs, i - 1);
  colt_cell_end_server_runs (world->fixture->cell, id, world->fixture->now_us);
}

/* Guards against a gang that keeps waiting for a reserved server that was
 * lost. */
static void
test_lost_server (void)
{
  struct world *world = create_world ();
  uint32_t gang = reserve (world, 6);

  run_for (world, 1000);
  lose_server (world, "server-00");
  g_assert_cmpint (run_until_start (world, gang, 20000), <, 4000);
  destroy_world (world);
}

/* Guards against servers that stay reserved while the gang's turn doesn't come,
 * since no starts can be sent. */
static void
test_no_turn (void)
{
  struct world *world = create_world ();

  reserve (world, 6);
  colt_cell_set_start_budget (world->fixture->cell, 0);
  run_for (world, 400);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 1);
  run_for (world, 200);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 0);
  destroy_world (world);
}

/* Guards against a gang that can never fit and yet delays other work. */
static void
test_impossible_gang (void)
{
  uint32_t done[2];
  int i;

  for (i = 0; i < 2; i++)
    {
      struct world *world = create_world ();

      run_for (world, 5000);
      if (i == 1)
        submit_gang (world, 20);
      run_for (world, 10000);
      done[i] = world->done;
      g_assert_cmpuint (get_stats (world).reservations, ==, 0);
      destroy_world (world);
    }
  g_assert_cmpuint (done[0], >, 300);
  g_assert_cmpuint (done[0], ==, done[1]);
}

/* Guards against gangs that follow each other on the same servers and hold back
 * single tasks until these miss their objective, 15 s. */
static void
test_pressed_work (void)
{
  static const char *const unsuitable[]
      = { "server-01", "server-02", "server-04", "server-05", "server-07",
          "server-08", "server-10", "server-11", NULL };
  struct world *world = create_world ();
  uint32_t single;
  guint i;

  world->quiet = true;
  world->endless = unsuitable;
  for (i = 0; i < SERVERS; i++)
    submit_singles (world);
  run_for (world, 200);
  submit_gang (world, 8);
  run_for (world, 1500);
  g_assert_cmpuint (get_stats (world).reserved_gangs, ==, 1);
  single = submit (world, "single", 1, 1, 3000);
  for (i = 0; i < 7; i++)
    {
      submit_gang (world, 8);
      run_for (world, 1000);
    }
  g_assert_false (colt_fixture_has_started (world->fixture, 0, single));
  g_assert_cmpint (run_until_start (world, single, 30000), <, 4000);
  destroy_world (world);
}

/* Guards against a gang that holds back work of its own priority. */
static void
test_equal_priority (void)
{
  struct world *world = create_world ();
  guint from;

  reserve (world, 6);
  run_for (world, 1500);
  from = world->fixture->starts->len;
  submit (world, "tight", 8, 1, 3000);
  run_for (world, STEP_MS);
  g_assert_cmpuint (count_suitable_starts (world, from), >=, 4);
  destroy_world (world);
}

/* Guards against single tasks that take accelerators on servers which a waiting
 * gang needs whole, though others have as many. */
static void
test_best_fit (void)
{
  struct ColtLoadFixture *fixture;
  struct world *world = create_world ();
  guint from;
  int i;

  fixture = world->fixture;
  submit_gang (world, 20);
  for (i = 0; i < 3000 / STEP_MS; i++)
    {
      fixture->now_us += STEP_MS * MS;
      answer_calls (world);
      colt_fixture_place (fixture);
      note_calls (world);
    }
  from = fixture->starts->len;
  submit (world, "single", 8, 1, 3000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, from + 8);
  g_assert_cmpuint (count_suitable_starts (world, from), ==, 0);
  destroy_world (world);
}

void
colt_load_add_gang_tests (void)
{
  g_test_add_func ("/cell/load/gangs/fragmentation", test_fragmentation);
  g_test_add_func ("/cell/load/gangs/short-tasks", test_short_tasks);
  g_test_add_func ("/cell/load/gangs/two-gangs", test_two_gangs);
  g_test_add_func ("/cell/load/gangs/cancelled", test_cancelled);
  g_test_add_func ("/cell/load/gangs/wrong-estimates", test_wrong_estimates);
  g_test_add_func ("/cell/load/gangs/endless-runs", test_endless_runs);
  g_test_add_func ("/cell/load/gangs/lost-server", test_lost_server);
  g_test_add_func ("/cell/load/gangs/no-turn", test_no_turn);
  g_test_add_func ("/cell/load/gangs/impossible-gang", test_impossible_gang);
  g_test_add_func ("/cell/load/gangs/pressed-work", test_pressed_work);
  g_test_add_func ("/cell/load/gangs/equal-priority", test_equal_priority);
  g_test_add_func ("/cell/load/gangs/best-fit", test_best_fit);
}
