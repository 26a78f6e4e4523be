/* Decisions of the cell about servers that are slow, fail or stall. */
#include <string.h>

#include "fixture.h"

/* Two servers differ in speed: after some steps, short tasks start on the fast
 * one. */
static void
test_unequal_servers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint first;
  int i;

  colt_fixture_add_server (fixture, "fast", 2000);
  colt_fixture_add_server (fixture, "slow", 2000);
  for (i = 0; i < 12; i++)
    {
      guint s;

      first = fixture->starts->len;
      colt_fixture_submit (fixture, "tight", "steady", 4, false);
      colt_fixture_place (fixture);
      g_assert_cmpuint (fixture->starts->len, ==, first + 4);
      for (s = first; s < first + 4; s++)
        colt_fixture_accept_start (fixture, s);
      fixture->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (fixture->starts, s), "@fast"))
          colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
      fixture->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (fixture->starts, s), "@slow"))
          colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
    }
  for (i = 0; i < 2; i++)
    {
      colt_fixture_submit (fixture, "tight", "steady", 1, false);
      colt_fixture_place (fixture);
      g_assert_true (g_str_has_suffix (
          g_ptr_array_index (fixture->starts, fixture->starts->len - 1),
          "@fast"));
    }
  colt_fixture_destroy (fixture);
}

/* Runs a step with a task on each of two servers; the slow server takes twice
 * as long as the other. */
static void
run_unequal_pair (struct ColtLoadFixture *fixture, const char *slow)
{
  guint first = fixture->starts->len;
  guint s;

  colt_fixture_submit (fixture, "tight", "steady", 2, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, first + 2);
  for (s = first; s < first + 2; s++)
    colt_fixture_accept_start (fixture, s);
  fixture->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (!colt_fixture_was_sent_to (fixture, s, slow))
      colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
  fixture->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (colt_fixture_was_sent_to (fixture, s, slow))
      colt_fixture_report_end (fixture, s, 1, COLT_RUN_DONE);
}

/* Servers that haven't run anything yet, such as new ones or all of them after
 * a change of leader, are assumed to be as fast as others of their kind. */
static void
test_new_servers_of_known_kind (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server_of_kind (fixture, "fast-1", 1000, "fast");
  colt_fixture_add_server_of_kind (fixture, "slow-1", 1000, "slow");
  for (i = 0; i < 4; i++)
    run_unequal_pair (fixture, "slow-1");
  colt_cell_unlist_server (fixture->cell, "fast-1");
  colt_cell_unlist_server (fixture->cell, "slow-1");
  colt_fixture_add_server_of_kind (fixture, "slow-2", 1000, "slow");
  colt_fixture_add_server_of_kind (fixture, "fast-2", 1000, "fast");
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_true (
      colt_fixture_was_sent_to (fixture, fixture->starts->len - 1, "fast-2"));
  colt_fixture_destroy (fixture);
}

/* Reports the progress of the run of a start, given by its index; the run must
 * be the first one of its task. */
static void
report_progress (struct ColtLoadFixture *fixture, guint start, int64_t percent)
{
  char **parts
      = g_strsplit (g_ptr_array_index (fixture->starts, start), "@", 2);
  const struct ColtRunningEntry running = { parts[0], 1, "", percent };
  struct ColtServerReport report = { 0 };

  report.call_number = 1000;
  report.running = &running;
  report.running_count = 1;
  colt_cell_apply_report (fixture->cell, parts[1], &report, fixture->now_us);
  g_strfreev (parts);
}

/* Runs a step with a task on each of four servers until three tasks are halfway
 * and the last one is at a percentage. */
static struct ColtLoadFixture *
run_uneven_step (int64_t percent)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint i;

  colt_fixture_add_server (fixture, "a", 1000);
  colt_fixture_add_server (fixture, "b", 1000);
  colt_fixture_add_server (fixture, "c", 1000);
  colt_fixture_add_server (fixture, "d", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 4, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  for (i = 0; i < 4; i++)
    colt_fixture_accept_start (fixture, i);
  fixture->now_us += 1000 * MS;
  for (i = 0; i < 4; i++)
    report_progress (fixture, i, i < 3 ? 50 : percent);
  return fixture;
}

/* A server has become slow: its task moves once another server has capacity,
 * and neither the new start nor one of another job goes to the slow server,
 * although its id is lower. */
static void
test_slow_server_avoided (void)
{
  struct ColtLoadFixture *fixture = run_uneven_step (5);
  const char *slow = g_ptr_array_index (fixture->starts, 3);

  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  colt_fixture_add_server (fixture, "e", 1000);
  fixture->now_us += 250 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (fixture->stops, 0), ==, slow);
  colt_fixture_report_end (fixture, 3, 1, COLT_RUN_STOPPED);
  fixture->now_us += 200 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 5);
  g_assert_true (colt_fixture_was_sent_to (fixture, 4, "@e"));
  colt_fixture_add_server (fixture, "f", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 6);
  g_assert_true (colt_fixture_was_sent_to (fixture, 5, "@f"));
  colt_fixture_destroy (fixture);
}

/* A task that is only somewhat larger than others of its step isn't moved. */
static void
test_larger_task_not_moved (void)
{
  struct ColtLoadFixture *fixture = run_uneven_step (25);

  colt_fixture_add_server (fixture, "e", 1000);
  fixture->now_us += 250 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  colt_fixture_destroy (fixture);
}

/* A task whose progress stalls moves to another server, though its own server
 * keeps listing it and renewing the lease. */
static void
test_stalled_task (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "stalled", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  colt_fixture_add_server (fixture, "other", 1000);
  fixture->now_us += 1000 * MS;
  report_progress (fixture, 0, 10);
  colt_fixture_place (fixture);
  fixture->now_us += 1000 * MS;
  report_progress (fixture, 0, 10);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  fixture->now_us += 1000 * MS;
  report_progress (fixture, 0, 10);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_STOPPED);
  fixture->now_us += 200 * MS;
  colt_fixture_place (fixture);
  g_assert_true (
      colt_fixture_was_sent_to (fixture, fixture->starts->len - 1, "@other"));
  colt_fixture_destroy (fixture);
}

/* A server on which all runs fail gets no more starts after a few failures. */
static void
test_failing_server (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint i;

  colt_fixture_add_server (fixture, "bad", 1000);
  for (i = 0; i < 3; i++)
    {
      colt_fixture_submit (fixture, "tight", "steady", 1, false);
      colt_fixture_place (fixture);
      g_assert_cmpuint (fixture->starts->len, ==, i + 1);
      colt_fixture_report_end (fixture, i, 1, COLT_RUN_FAILED);
      colt_cell_cancel (fixture->cell,
                        (char[]){ '0', '0', '0', '0', '0', '0', '0', '0', '0',
                                  '0', '0', '0', '0', '0', '0', (char)('1' + i),
                                  '\0' },
                        fixture->now_us);
      fixture->now_us += 50 * MS;
    }
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  colt_fixture_add_server (fixture, "good", 1000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_true (
      g_str_has_suffix (g_ptr_array_index (fixture->starts, 3), "@good"));
  colt_fixture_destroy (fixture);
}

/* Shows an idle server by its entry, or by its report alone. */
static void
show_server (struct ColtLoadFixture *fixture,
             int64_t incarnation_ms,
             const char *kind)
{
  const char *labels[] = { kind, NULL };
  struct ColtServerEntry entry = { .id = "server",
                                   .service = "service",
                                   .address = "127.0.0.1:1",
                                   .zone = "zone",
                                   .ready = true,
                                   .incarnation_ms = incarnation_ms,
                                   .labels = labels };
  const struct ColtServerReport report
      = { .incarnation_ms = incarnation_ms, .call_number = 1 };

  entry.room.amount[COLT_RESOURCE_CORES] = 4000;
  if (kind != NULL)
    colt_cell_set_server (fixture->cell, &entry, fixture->now_us);
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
}

/* Guards against a start on a server of the wrong kind: one that is back under
 * its id reports as another incarnation while its entry still has the labels of
 * the former one. */
static void
test_kind_of_new_incarnation (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  ColtJobSpec *spec = colt_fixture_make_job (fixture, 1);

  spec->steps[0]->required_label = strdup ("a");
  show_server (fixture, 1, "a");
  show_server (fixture, 2, NULL);
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  show_server (fixture, 2, "b");
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  show_server (fixture, 3, "a");
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_server_tests (void)
{
  g_test_add_func ("/cell/load/unequal-servers", test_unequal_servers);
  g_test_add_func ("/cell/load/kind-of-new-incarnation",
                   test_kind_of_new_incarnation);
  g_test_add_func ("/cell/load/new-servers-of-known-kind",
                   test_new_servers_of_known_kind);
  g_test_add_func ("/cell/load/slow-server-avoided", test_slow_server_avoided);
  g_test_add_func ("/cell/load/larger-task-not-moved",
                   test_larger_task_not_moved);
  g_test_add_func ("/cell/load/stalled-task", test_stalled_task);
  g_test_add_func ("/cell/load/failing-server", test_failing_server);
}
