/* Tests of the history checker with histories that break one invariant each and
 * histories that break none. */
#include "test_history.h"

#include <glib.h>

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  test_calls_add ();
  test_lost_add ();
  test_measures_add ();
  test_reader_add ();
  test_servers_add ();
  test_tasks_add ();
  return g_test_run ();
}
