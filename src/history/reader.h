/**
 * \file
 * \brief Reads the description of a run and the records of its callers,
 * backend servers and log.
 *
 * All functions return false on failure and set \a problem to
 * "FILE:LINE: REASON", to be freed with g_free(). The description must be read
 * before the records, because records may only name servers of the run.
 */
#ifndef COLT_HISTORY_READER_H
#define COLT_HISTORY_READER_H

#include "history.h"

/** Reads the description of a run, one JSON object. */
bool colt_history_read_run (struct ColtHistory *history,
                            const char *path,
                            char **problem);

/** Reads callers' records, one JSON object a line. */
bool colt_history_read_calls (struct ColtHistory *history,
                              const char *path,
                              char **problem);

/** Reads records of backend servers or the log, one JSON object a line. */
bool colt_history_read_events (struct ColtHistory *history,
                               const char *path,
                               char **problem);

#endif
