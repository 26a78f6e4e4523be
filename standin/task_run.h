/**
 * \file
 * \brief How a task on a stand-in backend server gets on with its work.
 *
 * Work is measured in microseconds on a server of speed 1. The memory in use
 * starts at half of the true amount and reaches it when half of the work is
 * done.
 */
#ifndef COLT_STANDIN_TASK_RUN_H
#define COLT_STANDIN_TASK_RUN_H

#include <stdint.h>

#include "answer.h"
#include "coltsfootstile/resources.h"

/** Exit status of a task that failed by itself. */
#define COLT_STANDIN_EXIT_FAILED 1
/** Exit status of a task that was stopped at its memory limit. */
#define COLT_STANDIN_EXIT_MEMORY 137

/** A run. */
struct ColtStandinRun
{
  struct ColtStandinPayload payload;
  struct ColtResources limit;
  double speed;
  double done_us; /**< work done until settled_us */
  int64_t settled_us;
};

/** Begins a run. */
void colt_standin_run_begin (struct ColtStandinRun *run,
                             const struct ColtStandinPayload *payload,
                             const struct ColtResources *limit,
                             double speed,
                             int64_t now_us);

/** Changes the limit from now on. */
void colt_standin_run_set_limit (struct ColtStandinRun *run,
                                 const struct ColtResources *limit,
                                 int64_t now_us);

/** Changes the server's speed from now on. */
void colt_standin_run_set_speed (struct ColtStandinRun *run,
                                 double speed,
                                 int64_t now_us);

/** Returns the work done by \a now_us in milliseconds. */
int64_t colt_standin_run_done_ms (const struct ColtStandinRun *run,
                                  int64_t now_us);

/**
 * Returns when the run ends by itself, COLT_TIME_NEVER if it does not.
 *
 * \param exit_status  set to the exit status it then has
 */
int64_t colt_standin_run_end_us (const struct ColtStandinRun *run,
                                 int *exit_status);

/** Computes what the run uses at \a now_us. */
void colt_standin_run_usage (const struct ColtStandinRun *run,
                             int64_t now_us,
                             struct ColtResources *usage);

#endif
