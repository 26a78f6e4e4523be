/* A fleet of one queue, and jobs for it. */
#ifndef COLT_TEST_SCHEDULER_JOBS_H
#define COLT_TEST_SCHEDULER_JOBS_H

#include "coltsfootstile/cell.h"

struct ColtFleet *colt_test_make_fleet (void);
/* A job of one task. */
ColtJobSpec *colt_test_make_job (const char *id);

#endif
