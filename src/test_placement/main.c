#include "tests.h"

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  test_register_fit ();
  test_register_shares ();
  test_register_large ();
  test_register_health ();
  return g_test_run ();
}
