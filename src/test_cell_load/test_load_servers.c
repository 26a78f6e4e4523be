/* Patterns of load on servers that are slow, fail or stand still. */
#include "fixture.h"

/* Servers of unlike speed: after some steps short work goes to the fast one. */
static void
test_unlike_servers (void)
{
  struct ColtLoad *load = colt_load_make ();
  guint first;
  int i;

  colt_load_add_server (load, "fast", 2000);
  colt_load_add_server (load, "slow", 2000);
  for (i = 0; i < 12; i++)
    {
      guint s;

      first = load->starts->len;
      colt_load_submit (load, "tight", "steady", 4, false);
      colt_load_place (load);
      g_assert_cmpuint (load->starts->len, ==, first + 4);
      for (s = first; s < first + 4; s++)
        colt_load_take_start (load, s);
      load->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (load->starts, s), "@fast"))
          colt_load_finish (load, s, 1, COLT_RUN_DONE);
      load->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (load->starts, s), "@slow"))
          colt_load_finish (load, s, 1, COLT_RUN_DONE);
    }
  for (i = 0; i < 2; i++)
    {
      colt_load_submit (load, "tight", "steady", 1, false);
      colt_load_place (load);
      g_assert_true (g_str_has_suffix (
          g_ptr_array_index (load->starts, load->starts->len - 1), "@fast"));
    }
  colt_load_free (load);
}

/* A step of two tasks on two servers, one of which takes twice as long. */
static void
run_unlike_pair (struct ColtLoad *load, const char *slow)
{
  guint first = load->starts->len;
  guint s;

  colt_load_submit (load, "tight", "steady", 2, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, first + 2);
  for (s = first; s < first + 2; s++)
    colt_load_take_start (load, s);
  load->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (!colt_load_ran_on (load, s, slow))
      colt_load_finish (load, s, 1, COLT_RUN_DONE);
  load->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (colt_load_ran_on (load, s, slow))
      colt_load_finish (load, s, 1, COLT_RUN_DONE);
}

/* Servers that haven't run anything yet are taken to be as fast as others of
 * their kind: after a change of the lead, say, or new ones. */
static void
test_unlike_kinds (void)
{
  struct ColtLoad *load = colt_load_make ();
  int i;

  colt_load_add_server_of_kind (load, "quick-1", 1000, "quick");
  colt_load_add_server_of_kind (load, "lame-1", 1000, "lame");
  for (i = 0; i < 4; i++)
    run_unlike_pair (load, "lame-1");
  colt_cell_unlist_server (load->cell, "quick-1");
  colt_cell_unlist_server (load->cell, "lame-1");
  colt_load_add_server_of_kind (load, "lame-2", 1000, "lame");
  colt_load_add_server_of_kind (load, "quick-2", 1000, "quick");
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_true (colt_load_ran_on (load, load->starts->len - 1, "quick-2"));
  colt_load_free (load);
}

/* A server tells how far the first run that was started on it is. */
static void
report_percent (struct ColtLoad *load, guint start, int64_t percent)
{
  char **parts = g_strsplit (g_ptr_array_index (load->starts, start), "@", 2);
  const struct ColtRunningEntry running = { parts[0], 1, "", percent };
  struct ColtServerReport list = { 0 };

  list.asked = 1000;
  list.running = &running;
  list.running_count = 1;
  colt_cell_report (load->cell, parts[1], &list, load->now_us);
  g_strfreev (parts);
}

/* Four tasks of a step on a server each; the last one is told to be this far
 * when the others are halfway. */
static struct ColtLoad *
run_uneven_step (int64_t percent)
{
  struct ColtLoad *load = colt_load_make ();
  guint i;

  colt_load_add_server (load, "a", 1000);
  colt_load_add_server (load, "b", 1000);
  colt_load_add_server (load, "c", 1000);
  colt_load_add_server (load, "d", 1000);
  colt_load_submit (load, "tight", "steady", 4, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  for (i = 0; i < 4; i++)
    colt_load_take_start (load, i);
  load->now_us += 1000 * MS;
  for (i = 0; i < 4; i++)
    report_percent (load, i, i < 3 ? 50 : percent);
  return load;
}

/* On a server that has become slow: the task starts again elsewhere, once there
 * is room, and later work keeps away from that server. */
static void
test_slow_server_left (void)
{
  struct ColtLoad *load = run_uneven_step (5);
  const char *slow = g_ptr_array_index (load->starts, 3);

  colt_load_place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  colt_load_add_server (load, "e", 1000);
  load->now_us += 250 * MS;
  colt_load_place (load);
  g_assert_cmpuint (load->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (load->stops, 0), ==, slow);
  colt_load_finish (load, 3, 1, COLT_RUN_STOPPED);
  load->now_us += 200 * MS;
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 5);
  g_assert_true (colt_load_ran_on (load, 4, "@e"));
  colt_load_free (load);
}

/* A task that is only somewhat larger than its step's others is left alone. */
static void
test_larger_task_left_alone (void)
{
  struct ColtLoad *load = run_uneven_step (25);

  colt_load_add_server (load, "e", 1000);
  load->now_us += 250 * MS;
  colt_load_place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  colt_load_free (load);
}

/* A task that stands still starts again elsewhere, though its server lists it
 * and renews its lease. */
static void
test_still_task (void)
{
  struct ColtLoad *load = colt_load_make ();

  colt_load_add_server (load, "still", 1000);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  colt_load_take_start (load, 0);
  colt_load_add_server (load, "other", 1000);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  colt_load_place (load);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  colt_load_place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  colt_load_place (load);
  g_assert_cmpuint (load->stops->len, ==, 1);
  colt_load_finish (load, 0, 1, COLT_RUN_STOPPED);
  load->now_us += 200 * MS;
  colt_load_place (load);
  g_assert_true (colt_load_ran_on (load, load->starts->len - 1, "@other"));
  colt_load_free (load);
}

/* A server that fails all it starts loses its work after a few starts. */
static void
test_failing_server (void)
{
  struct ColtLoad *load = colt_load_make ();
  guint i;

  colt_load_add_server (load, "bad", 1000);
  for (i = 0; i < 3; i++)
    {
      colt_load_submit (load, "tight", "steady", 1, false);
      colt_load_place (load);
      g_assert_cmpuint (load->starts->len, ==, i + 1);
      colt_load_finish (load, i, 1, COLT_RUN_FAILED);
      colt_cell_cancel (load->cell,
                        (char[]){ '0', '0', '0', '0', '0', '0', '0', '0', '0',
                                  '0', '0', '0', '0', '0', '0', (char)('1' + i),
                                  '\0' },
                        load->now_us);
      load->now_us += 50 * MS;
    }
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 3);
  colt_load_add_server (load, "good", 1000);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (
      g_str_has_suffix (g_ptr_array_index (load->starts, 3), "@good"));
  colt_load_free (load);
}

void
colt_load_servers_add (void)
{
  g_test_add_func ("/cell/load/unlike-servers", test_unlike_servers);
  g_test_add_func ("/cell/load/unlike-kinds", test_unlike_kinds);
  g_test_add_func ("/cell/load/slow-server-left", test_slow_server_left);
  g_test_add_func ("/cell/load/larger-task-left-alone",
                   test_larger_task_left_alone);
  g_test_add_func ("/cell/load/still-task", test_still_task);
  g_test_add_func ("/cell/load/failing-server", test_failing_server);
}
