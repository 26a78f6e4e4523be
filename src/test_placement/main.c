#include "tests.h"

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  test_fit_add ();
  test_shares_add ();
  test_large_add ();
  test_health_add ();
  return g_test_run ();
}
