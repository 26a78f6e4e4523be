/* A fleet with one queue, and jobs for it. */
#ifndef COLT_TEST_SCHEDULER_JOBS_H
#define COLT_TEST_SCHEDULER_JOBS_H

#include "coltsfootstile/cell.h"
#include "coltsfootstile/error.h"

/* Returns a fleet to be released with colt_fleet_unref(). */
struct ColtFleet *colt_test_make_fleet (void);
/* Returns a job with one step of one task, to be freed with
 * colt_job_spec__free_unpacked(). */
ColtJobSpec *colt_test_make_job (const char *id);
/* Decodes any body as a job of one step, as a port does. */
ColtJobSpec *colt_test_decode_job (void *adapter,
                                   const char *body,
                                   size_t size,
                                   struct ColtError *error);

#endif
