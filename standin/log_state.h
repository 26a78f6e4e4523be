/**
 * \file
 * \brief State of the log service: offsets, retention and the append cap.
 */
#ifndef COLT_STANDIN_LOG_STATE_H
#define COLT_STANDIN_LOG_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The log. */
struct ColtStandinLog;

/** Bounds of the log. */
struct ColtStandinLogLimits
{
  int64_t retain_us;      /**< age at which a record is dropped */
  int64_t retain_records; /**< most records that are kept */
  int64_t appends_per_s;  /**< most appends in one second */
};

/** Creates an empty log whose first offset is 0. */
struct ColtStandinLog *
colt_standin_log_create (const struct ColtStandinLogLimits *limits);

/** Destroys a log; NULL is allowed. */
void colt_standin_log_destroy (struct ColtStandinLog *log);

/**
 * Appends a record.
 *
 * \param body    its text, which is copied
 * \param offset  set to the record's offset
 * \return        false if the append cap of this second is reached
 */
bool colt_standin_log_append (struct ColtStandinLog *log,
                              int64_t now_us,
                              const char *body,
                              int64_t *offset);

/** Drops what is too old or too many. */
void colt_standin_log_expire (struct ColtStandinLog *log, int64_t now_us);

/** Returns the oldest offset that is kept. */
int64_t colt_standin_log_first (const struct ColtStandinLog *log);

/** Returns the next offset to be written. */
int64_t colt_standin_log_head (const struct ColtStandinLog *log);

/** Returns the body at an offset from first to head - 1. */
const char *colt_standin_log_body (const struct ColtStandinLog *log,
                                   int64_t offset);

#endif
