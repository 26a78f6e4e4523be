/**
 * \file
 * \brief Reads the records of a run: JSON lines of callers, backend servers
 * and the log, and the description of the run.
 *
 * A function that fails sets a problem, "FILE:LINE: REASON", to be freed with
 * g_free(). The run is read first, since records may only name its servers.
 */
#ifndef COLT_HISTORY_READER_H
#define COLT_HISTORY_READER_H

#include "history.h"

/** Reads the description of a run. */
bool colt_history_read_run (struct ColtHistory *history,
                            const char *path,
                            char **problem);

/** Reads callers' records. */
bool colt_history_read_calls (struct ColtHistory *history,
                              const char *path,
                              char **problem);

/** Reads records of backend servers or of the log. */
bool colt_history_read_events (struct ColtHistory *history,
                               const char *path,
                               char **problem);

#endif
