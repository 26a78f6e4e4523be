#include <glib.h>

#include "tests.h"

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  colt_test_watch_add ();
  colt_test_election_add ();
  colt_test_commit_add ();
  colt_test_link_add ();
  colt_test_link_restart_add ();
  colt_test_leader_add ();
  colt_test_load_meter_add ();
  colt_test_members_add ();
  colt_test_window_add ();
  colt_test_callers_add ();
  colt_test_counts_add ();
  colt_test_succession_add ();
  colt_test_stop_add ();
  colt_test_confirmation_add ();
  colt_test_followers_add ();
  colt_test_suspicion_add ();
  colt_test_evacuation_add ();
  colt_test_isolation_add ();
  colt_test_config_lag_add ();
  colt_test_config_add ();
  return g_test_run ();
}
