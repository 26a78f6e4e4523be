/**
 * \file
 * \brief Records of what a stand-in did, as JSON lines in a file.
 */
#ifndef COLT_STANDIN_RECORDER_H
#define COLT_STANDIN_RECORDER_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** A file of records. */
struct ColtStandinRecorder;

/**
 * Opens a file of records, which is flushed every second.
 *
 * \param path  NULL: nothing is written
 * \return      NULL with COLT_ERROR_SYSTEM if it can't be opened
 */
struct ColtStandinRecorder *
colt_standin_recorder_create (struct event_base *base,
                              const char *path,
                              struct ColtError *error);

/** Flushes and closes the file; NULL is allowed. */
void colt_standin_recorder_destroy (struct ColtStandinRecorder *recorder);

/** Writes a record with its time \a now_us as "t_us"; takes over it. */
void colt_standin_recorder_write (struct ColtStandinRecorder *recorder,
                                  int64_t now_us,
                                  json_t *record);

#endif
