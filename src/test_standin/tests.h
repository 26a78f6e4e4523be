#ifndef COLT_TEST_STANDIN_H
#define COLT_TEST_STANDIN_H

void add_server_tests (void);
void add_task_tests (void);
void add_log_tests (void);
void add_http_tests (void);
void add_changes_tests (void);
void add_relay_tests (void);
void add_control_tests (void);
void add_backend_tests (void);

#endif
