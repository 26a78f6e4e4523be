/* Evacuated zones: nothing is planned, ordered or sent again there. Load: the
 * start of 3,100 tasks a second, some of which are always planned or waiting to
 * be sent when an operator requests the evacuation. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

/* Tasks of the wide jobs. */
#define TASKS 4

static void
set_server (struct ColtLoadFixture *fixture,
            const char *id,
            const char *zone,
            int64_t cold_ms)
{
  struct ColtServerEntry entry = { 0 };

  entry.id = id;
  entry.service = "service";
  entry.address = "127.0.0.1:1";
  entry.zone = zone;
  entry.ready = true;
  entry.incarnation_ms = 1;
  entry.cold_ms = cold_ms;
  entry.room.amount[COLT_RESOURCE_CORES] = TASKS * 1000;
  colt_cell_set_server (fixture->cell, &entry, fixture->now_us);
}

static void
add_server (struct ColtLoadFixture *fixture, const char *id, const char *zone)
{
  set_server (fixture, id, zone, 0);
  colt_fixture_report_idle (fixture, id, 1);
}

static struct ColtLoadFixture *
create_zones (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  add_server (fixture, "east", "east");
  add_server (fixture, "west", "west");
  return fixture;
}

static void
set_evacuated (struct ColtLoadFixture *fixture,
               const char *zone,
               bool evacuated)
{
  colt_cell_set_evacuated (fixture->cell, zone, evacuated, fixture->now_us);
}

static guint
count_starts (const struct ColtLoadFixture *fixture, guint from, const char *on)
{
  guint count = 0;
  guint i;

  for (i = from; i < fixture->starts->len; i++)
    count += colt_fixture_was_sent_to (fixture, i, on);
  return count;
}

static void
assert_dump_has (const struct ColtLoadFixture *fixture, const char *text)
{
  char *dump = colt_cell_dump (fixture->cell);

  if (strstr (dump, text) == NULL)
    g_error ("the dump lacks %s: %s", text, dump);
  free (dump);
}

static uint64_t
count_withdrawn (const struct ColtLoadFixture *fixture)
{
  struct ColtCellStats stats;

  colt_cell_get_stats (fixture->cell, &stats);
  return stats.withdrawn_starts;
}

/* Guards against starts of runs that were planned when the request arrived:
 * those that aren't durable yet, and those whose batch is open. */
static void
test_planned_runs (void)
{
  struct ColtLoadFixture *fixture = create_zones ();
  GArray *records;

  colt_fixture_submit (fixture, "tight", "steady", 2 * TASKS, false);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  records
      = colt_cell_take_records (fixture->cell, SIZE_MAX, fixture->now_us / MS);
  set_evacuated (fixture, "west", true);
  g_assert_cmpuint (count_withdrawn (fixture), ==, TASKS);
  colt_cell_confirm_batch (fixture->cell, fixture->now_us);
  colt_cell_free_records (records);
  colt_fixture_place (fixture);
  g_assert_cmpuint (count_starts (fixture, 0, "east"), ==, TASKS);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, 0);
  colt_fixture_destroy (fixture);
}

/* Guards against orders that wait in a link's queue, or are to be sent again,
 * and are sent after the request; and against the loss of their tasks. */
static void
test_queued_orders (void)
{
  struct ColtLoadFixture *fixture = create_zones ();
  char **parts;
  uint32_t run;

  set_evacuated (fixture, "east", true);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_true (colt_fixture_was_sent_to (fixture, 0, "west"));
  parts = g_strsplit (g_ptr_array_index (fixture->starts, 0), "@", 2);
  run = g_array_index (fixture->start_runs, uint32_t, 0);
  g_assert_true (colt_cell_may_start (fixture->cell, "west", parts[0], run));
  set_evacuated (fixture, "east", false);
  set_evacuated (fixture, "west", true);
  g_assert_false (colt_cell_may_start (fixture->cell, "west", parts[0], run));
  colt_cell_apply_start_result (fixture->cell, "west", parts[0], run,
                                COLT_START_NOT_SENT, 2, fixture->now_us);
  fixture->now_us += 100 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  g_assert_true (colt_fixture_was_sent_to (fixture, 1, "east"));
  g_strfreev (parts);
  colt_fixture_destroy (fixture);
}

/* Guards against an evacuation that stops running tasks, that restarts a failed
 * or lasting one in the zone, or that doesn't show when the zone is empty. */
static void
test_running_tasks (void)
{
  struct ColtLoadFixture *fixture = create_zones ();

  set_evacuated (fixture, "east", true);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, true);
  colt_fixture_place (fixture);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, 2);
  colt_fixture_accept_start (fixture, 0);
  colt_fixture_accept_start (fixture, 1);
  set_evacuated (fixture, "east", false);
  set_evacuated (fixture, "west", true);
  fixture->now_us += 2000 * MS;
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  assert_dump_has (fixture, "{\"zone\":\"west\",\"since_ms\":2000,"
                            "\"servers\":1,\"runs\":2}");
  /* The lasting task started first. */
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_report_end (fixture, 1, 1, COLT_RUN_FAILED);
  fixture->now_us += 2000 * MS;
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
  assert_dump_has (fixture, "\"servers\":1,\"runs\":0}");
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_cmpuint (count_starts (fixture, 2, "east"), ==, 2);
  colt_fixture_destroy (fixture);
}

/* Guards against calls for advice about evacuated servers, also those that a
 * gang has reserved room on, and against a wait without its reason. */
static void
test_advice (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  add_server (fixture, "west", "west");
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_submit_gang (fixture, "advised", 2);
  set_evacuated (fixture, "west", true);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 0);
  assert_dump_has (fixture, "\"held\":\"evacuated\"");
  set_evacuated (fixture, "west", false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, ==, 2);
  set_evacuated (fixture, "west", true);
  colt_fixture_grant_servers (fixture, 0);
  colt_fixture_grant_servers (fixture, 1);
  fixture->now_us += 100 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  add_server (fixture, "east", "east");
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->calls->len, >, 2);
  g_assert_cmpuint (fixture->named_servers->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (fixture->named_servers, 0), ==, "east");
  colt_fixture_destroy (fixture);
}

/* Guards against a gang of which a part starts in an evacuated zone, or that
 * never starts again as a whole. */
static void
test_gang (void)
{
  struct ColtLoadFixture *fixture = create_zones ();

  colt_fixture_submit_gang (fixture, "tight", 2 * TASKS);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  set_evacuated (fixture, "west", true);
  colt_fixture_commit (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  add_server (fixture, "north", "north");
  fixture->now_us += 100 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2 * TASKS);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, 0);
  colt_fixture_destroy (fixture);
}

/* Guards against starts by a leader that hasn't read the operator's topic
 * recently, as after a pause. */
static void
test_order_deadline (void)
{
  struct ColtLoadFixture *fixture = create_zones ();
  guint i;

  colt_cell_set_order_deadline (fixture->cell, 0);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_cell_set_order_deadline (fixture->cell, fixture->now_us);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  fixture->now_us += 10000 * MS;
  colt_fixture_commit (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_cell_set_order_deadline (fixture->cell, INT64_MAX);
  for (i = 0; i < 2; i++)
    {
      fixture->now_us += 100 * MS;
      colt_fixture_place (fixture);
    }
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_destroy (fixture);
}

/* Guards against cold servers that get work, or are named in calls for advice,
 * before warm ones, or that get work all at once as an evacuation ends. */
static void
test_cold_servers (void)
{
  struct ColtLoadFixture *fixture = create_zones ();

  set_evacuated (fixture, "west", true);
  set_evacuated (fixture, "west", false);
  set_server (fixture, "west", "west", 4000);
  colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpstr (g_ptr_array_index (fixture->named_servers, 0), ==, "east");
  colt_fixture_submit (fixture, "tight", "steady", 2 * TASKS, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (count_starts (fixture, 0, "east"), ==, TASKS);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, 1);
  set_server (fixture, "west", "west", 2000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, TASKS / 2);
  set_server (fixture, "west", "west", 0);
  colt_fixture_place (fixture);
  g_assert_cmpuint (count_starts (fixture, 0, "west"), ==, TASKS);
  colt_fixture_destroy (fixture);
}

/* Guards against a server that counts as slow for good as its first tasks ran
 * while it was cold. */
static void
test_cold_duration (void)
{
  static const int64_t cold_ms[] = { 5000, 0 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cold_ms); i++)
    {
      struct ColtLoadFixture *fixture = create_zones ();
      char *dump;
      guint s;

      set_server (fixture, "west", "west", cold_ms[i]);
      colt_fixture_submit (fixture, "tight", "steady", TASKS + 1, false);
      colt_fixture_place (fixture);
      g_assert_cmpuint (fixture->starts->len, ==, TASKS + 1);
      for (s = 0; s <= TASKS; s++)
        colt_fixture_accept_start (fixture, s);
      fixture->now_us += 100 * MS;
      for (s = 0; s <= TASKS; s++)
        if (colt_fixture_was_sent_to (fixture, s, "east"))
          colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
      fixture->now_us += 1000 * MS;
      for (s = 0; s <= TASKS; s++)
        if (colt_fixture_was_sent_to (fixture, s, "west"))
          colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
      dump = colt_cell_dump (fixture->cell);
      g_assert_true (g_str_has_prefix (strstr (strstr (dump, "\"id\":\"west\""),
                                               "\"slowness\""),
                                       "\"slowness\":1.0,")
                     == (cold_ms[i] > 0));
      free (dump);
      colt_fixture_destroy (fixture);
    }
}

void
colt_load_add_evacuation_tests (void)
{
  g_test_add_func ("/cell/evacuation/planned-runs", test_planned_runs);
  g_test_add_func ("/cell/evacuation/queued-orders", test_queued_orders);
  g_test_add_func ("/cell/evacuation/running-tasks", test_running_tasks);
  g_test_add_func ("/cell/evacuation/advice", test_advice);
  g_test_add_func ("/cell/evacuation/gang", test_gang);
  g_test_add_func ("/cell/evacuation/order-deadline", test_order_deadline);
  g_test_add_func ("/cell/evacuation/cold-servers", test_cold_servers);
  g_test_add_func ("/cell/evacuation/cold-duration", test_cold_duration);
}
