/* Room that is kept free for urgent work, in the cell. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

/* Of the server, in tasks of one core. */
#define CORES 40

static void
add_queue (struct ColtFleet *fleet,
           const char *name,
           uint32_t priority,
           double stretch,
           uint32_t target_ms)
{
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

  queue->name = g_strdup (name);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->priority = priority;
  queue->stretch = stretch;
  queue->target_ms = target_ms;
}

/* A cell with one server, in which a burst of 8 urgent tasks of 700 ms has just
 * run. */
static struct ColtLoadFixture *
play_burst (bool headroom)
{
  struct ColtLoadFixture *fixture
      = colt_fixture_create_with_headroom (headroom);
  struct ColtFleet *fleet = colt_fleet_create ();
  ColtJobSpec *spec;
  guint i;

  fleet->version = 2;
  add_queue (fleet, "tight", 0, 1.5, 300);
  add_queue (fleet, "patient", 2, 4, 3000);
  colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
  colt_fixture_add_server (fixture, "server", CORES * 1000);
  colt_fixture_place (fixture);
  spec = colt_fixture_make_job (fixture, 8);
  spec->steps[0]->estimate_ms = 700;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 8);
  for (i = 0; i < 8; i++)
    colt_fixture_accept_start (fixture, i);
  fixture->now_us += 700 * MS;
  for (i = 0; i < 8; i++)
    colt_fixture_report_end (fixture, i,
                             g_array_index (fixture->start_runs, uint32_t, i),
                             COLT_RUN_DONE);
  return fixture;
}

static void
submit_patient (struct ColtLoadFixture *fixture, uint32_t tasks)
{
  ColtJobSpec *spec = colt_fixture_make_job (fixture, tasks);

  free (spec->queue);
  spec->queue = strdup ("patient");
  spec->steps[0]->estimate_ms = 3600;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
  colt_fixture_place (fixture);
}

/* A patient job wants the whole server after a burst: the next burst still
 * finds room, and without headroom it doesn't. */
static void
test_next_burst (void)
{
  struct ColtLoadFixture *fixture = play_burst (true);
  guint patient;

  submit_patient (fixture, CORES);
  patient = fixture->starts->len - 8;
  g_assert_cmpuint (patient, >=, CORES * 3 / 4);
  g_assert_cmpuint (patient, <=, CORES - 5);
  colt_fixture_submit (fixture, "tight", "steady", 5, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 8 + patient + 5);
  colt_fixture_destroy (fixture);

  fixture = play_burst (false);
  submit_patient (fixture, CORES);
  g_assert_cmpuint (fixture->starts->len, ==, 8 + CORES);
  colt_fixture_destroy (fixture);
}

/* Urgent work stops arriving: the held tasks get the room that was kept. */
static void
test_no_arrivals (void)
{
  struct ColtLoadFixture *fixture = play_burst (true);

  fixture->now_us += 17 * COLT_US_PER_S;
  submit_patient (fixture, CORES);
  g_assert_cmpuint (fixture->starts->len, ==, 8 + CORES);
  colt_fixture_destroy (fixture);
}

/* Held tasks that have used half their slack start, so that they meet their
 * objective, although urgent work keeps arriving. */
static void
test_used_slack (void)
{
  struct ColtLoadFixture *fixture = play_burst (true);
  int i;

  submit_patient (fixture, CORES);
  g_assert_cmpuint (fixture->starts->len, <, 8 + CORES);
  for (i = 0; i < 8; i++)
    {
      fixture->now_us += COLT_US_PER_S;
      colt_fixture_submit (fixture, "tight", "hot", 1, false);
      colt_fixture_place (fixture);
    }
  g_assert_cmpuint (fixture->starts->len, ==, 8 + CORES);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_headroom_tests (void)
{
  g_test_add_func ("/cell/load/headroom/next-burst", test_next_burst);
  g_test_add_func ("/cell/load/headroom/no-arrivals", test_no_arrivals);
  g_test_add_func ("/cell/load/headroom/used-slack", test_used_slack);
}
