#include "harness.h"

#include <locale.h>

int
main (int argc, char **argv)
{
  setlocale (LC_ALL, "C");
  g_test_init (&argc, &argv, NULL);
  colt_test_starts_add ();
  colt_test_stops_add ();
  colt_test_room_add ();
  colt_test_events_add ();
  return g_test_run ();
}
