#include <glib.h>
#include <signal.h>

#include "tests.h"

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  add_http_tests ();
  add_writer_tests ();
  add_reader_tests ();
  add_list_tests ();
  add_log_client_tests ();
  return g_test_run ();
}
