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

void
colt_load_add_tick_tests (void)
{
  g_test_add_func ("/cell/load/stops-resent", test_stops_resent);
}
