/**
 * \file
 * \brief Simulated progress and resource usage of a running task.
 *
 * Work is measured in microseconds on a server of speed 1. The memory in use
 * starts at half of the amount that the task needs and reaches that amount when
 * half of the work is done.
 */
#ifndef COLT_STANDIN_TASK_RUN_H
#define COLT_STANDIN_TASK_RUN_H

#include <stdint.h>

#include "answer.h"
#include "coltsfootstile/resources.h"

/** Exit status of a task whose payload sets `fail`. */
#define COLT_STANDIN_EXIT_FAILED 1
/** Exit status of a task that reached its memory limit. */
#define COLT_STANDIN_EXIT_MEMORY 137

/** The run of a task. */
struct ColtStandinRun
{
  struct ColtStandinPayload payload;
  struct ColtResources limit;
  double speed;       /**< of the server; 1 is the normal speed */
  double done_us;     /**< work done until updated_us */
  int64_t updated_us; /**< last change of limit or speed, or the start */
};

/** Begins a run; \a payload and \a limit are copied. */
void colt_standin_run_begin (struct ColtStandinRun *run,
                             const struct ColtStandinPayload *payload,
                             const struct ColtResources *limit,
                             double speed,
                             int64_t now_us);

/** Changes the resource limit from \a now_us on. */
void colt_standin_run_set_limit (struct ColtStandinRun *run,
                                 const struct ColtResources *limit,
                                 int64_t now_us);

/** Changes the speed of the server from \a now_us on. */
void colt_standin_run_set_speed (struct ColtStandinRun *run,
                                 double speed,
                                 int64_t now_us);

/** Returns the work done by \a now_us in milliseconds. */
int64_t colt_standin_run_done_ms (const struct ColtStandinRun *run,
                                  int64_t now_us);

/**
 * Returns when the run finishes, fails or reaches its memory limit, or
 * COLT_TIME_NEVER.
 *
 * \param exit_status  set to the exit status at that time
 */
int64_t colt_standin_run_end_us (const struct ColtStandinRun *run,
                                 int *exit_status);

/** Computes the resource usage of the run at \a now_us. */
void colt_standin_run_usage (const struct ColtStandinRun *run,
                             int64_t now_us,
                             struct ColtResources *usage);

#endif
