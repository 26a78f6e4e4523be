/**
 * \file
 * \brief Registration of the platform tests, by group.
 */
#ifndef COLT_TEST_PLATFORM_TESTS_H
#define COLT_TEST_PLATFORM_TESTS_H

void add_http_tests (void);
void add_writer_tests (void);
void add_reader_tests (void);
void add_list_tests (void);
void add_log_client_tests (void);

#endif
