/**
 * \file
 * \brief Records of the actions of a stand-in, as JSON lines in a file.
 */
#ifndef COLT_STANDIN_RECORDER_H
#define COLT_STANDIN_RECORDER_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Writer of a file of records. */
struct ColtStandinRecorder;

/**
 * Creates a file of records, or truncates it. It is flushed every second.
 *
 * \param path  NULL discards all records
 * \return      the recorder, to be destroyed with
 *              colt_standin_recorder_destroy(), or NULL with
 *              COLT_ERROR_SYSTEM if the file can't be opened
 */
struct ColtStandinRecorder *
colt_standin_recorder_create (struct event_base *base,
                              const char *path,
                              struct ColtError *error);

/** Flushes and closes the file; NULL is allowed. */
void colt_standin_recorder_destroy (struct ColtStandinRecorder *recorder);

/**
 * Writes a record and releases its reference.
 *
 * \param now_us  time of the record, added to it as "t_us"
 * \param record  JSON object
 */
void colt_standin_recorder_write (struct ColtStandinRecorder *recorder,
                                  int64_t now_us,
                                  json_t *record);

#endif
