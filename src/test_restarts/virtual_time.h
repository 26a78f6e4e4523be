/* Virtual time of the process. While it is in use, the functions of the C
 * library by which the scheduler and libevent read clocks return it. */
#ifndef COLT_TEST_RESTARTS_VIRTUAL_TIME_H
#define COLT_TEST_RESTARTS_VIRTUAL_TIME_H

#include <stdint.h>

/* Begins virtual time. */
void colt_virtual_time_begin (void);
/* Returns to real time. */
void colt_virtual_time_end (void);
void colt_virtual_time_advance (int64_t us);
/* Returns the virtual monotonic time. */
int64_t colt_virtual_time_us (void);

#endif
