#include <glib.h>

#include "tests.h"

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_server_tests ();
  add_task_tests ();
  add_log_tests ();
  add_http_tests ();
  add_changes_tests ();
  add_relay_tests ();
  add_control_tests ();
  add_backend_tests ();
  return g_test_run ();
}
