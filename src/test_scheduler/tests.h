/* Functions that register the tests of each module with GLib. */
#ifndef COLT_TEST_SCHEDULER_TESTS_H
#define COLT_TEST_SCHEDULER_TESTS_H

void colt_test_watch_add (void);
void colt_test_election_add (void);
void colt_test_commit_add (void);
void colt_test_link_add (void);
void colt_test_link_restart_add (void);
void colt_test_leader_add (void);
void colt_test_load_meter_add (void);
void colt_test_members_add (void);
void colt_test_window_add (void);
void colt_test_callers_add (void);
void colt_test_stop_add (void);
void colt_test_confirmation_add (void);
void colt_test_counts_add (void);
void colt_test_succession_add (void);
void colt_test_followers_add (void);
void colt_test_suspicion_add (void);
void colt_test_evacuation_add (void);
void colt_test_isolation_add (void);
void colt_test_config_lag_add (void);
void colt_test_config_add (void);

#endif
