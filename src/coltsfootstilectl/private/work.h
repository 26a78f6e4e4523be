/**
 * \file
 * \brief Encodes work for submission over HTTP, and interprets its outcome.
 */
#ifndef WORK_H
#define WORK_H

#include "ctl.h"

/** A request for work. */
struct ColtCtlWork
{
  const char *queue;
  const char *kind;    /**< name of an enum ColtWorkKind */
  int64_t cores_milli; /**< thousandths of a core */
  int64_t memory_mb;   /**< mebibytes */
  int64_t accelerators;
  int64_t connections;
  int64_t tasks;
  int64_t run_ms;      /**< declared run time; 0 for none */
  int64_t deadline_ms; /**< from submission; 0 for the bundle's deadline */
  bool idempotent;
  bool urgent;
  bool wait; /**< whether the call is answered only when the work has ended */
  const void *payload; /**< of each task; NULL if empty */
  size_t payload_size; /**< in bytes */
};

/** Returns the JSON body of a request, to be freed with free(). */
char *colt_ctl_encode_work (const struct ColtCtlWork *work);

/** Returns the exit code for an outcome; COLT_CTL_UNKNOWN for NULL. */
enum ColtCtlExit colt_ctl_outcome_exit (const char *outcome);

/** Returns whether a request with this outcome has ended; false for NULL. */
bool colt_ctl_outcome_is_final (const char *outcome);

#endif
