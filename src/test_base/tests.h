/* Functions that register the tests of each module with GLib. */
#ifndef COLT_TEST_BASE_TESTS_H
#define COLT_TEST_BASE_TESTS_H

void colt_test_address_add (void);
void colt_test_histogram_add (void);
void colt_test_log_add (void);

#endif
