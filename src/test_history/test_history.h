/**
 * \file
 * \brief Functions that add the tests of each source file to the test program.
 */
#ifndef COLT_TEST_HISTORY_H
#define COLT_TEST_HISTORY_H

void test_calls_add (void);
void test_lost_add (void);
void test_measures_add (void);
void test_reader_add (void);
void test_servers_add (void);
void test_tasks_add (void);

#endif
