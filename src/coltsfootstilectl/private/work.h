/**
 * \file
 * \brief Work as it is handed in over HTTP.
 */
#ifndef WORK_H
#define WORK_H

#include "ctl.h"

/** A request for work. */
struct ColtCtlWork
{
  const char *queue;
  const char *kind;
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t connections;
  int64_t tasks;
  int64_t run_ms;      /**< declared run time, 0: none */
  int64_t deadline_ms; /**< 0: the bundle's */
  bool idempotent;
  bool urgent;
  bool wait; /**< the answer comes with the work's end */
  const void *payload;
  size_t payload_size;
};

/** Returns the JSON body of a request, to be freed with free(). */
char *colt_ctl_work_body (const struct ColtCtlWork *work);

/** Returns the exit code that stands for an outcome; \a outcome may be NULL. */
enum ColtCtlExit colt_ctl_outcome_exit (const char *outcome);

/** Returns whether a request with this outcome has ended. */
bool colt_ctl_outcome_ended (const char *outcome);

#endif
