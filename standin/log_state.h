/**
 * \file
 * \brief State of the log service: records, retention and append rate limit.
 */
#ifndef COLT_STANDIN_LOG_STATE_H
#define COLT_STANDIN_LOG_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A log of records with consecutive offsets. */
struct ColtStandinLog;

/** Limits of a log. */
struct ColtStandinLogLimits
{
  int64_t retain_us;      /**< age at which a record is dropped */
  int64_t retain_records; /**< maximum number of records kept */
  int64_t appends_per_s;  /**< maximum number of appends per second */
};

/**
 * Creates an empty log whose first offset is 0.
 *
 * \param limits  copied
 * \return        the log, to be destroyed with colt_standin_log_destroy()
 */
struct ColtStandinLog *
colt_standin_log_create (const struct ColtStandinLogLimits *limits);

/** Destroys a log; NULL is allowed. */
void colt_standin_log_destroy (struct ColtStandinLog *log);

/**
 * Appends a record.
 *
 * \param body    text of the record; copied
 * \param offset  set to the offset of the record
 * \return        false if the limit of appends in this second is reached
 */
bool colt_standin_log_append (struct ColtStandinLog *log,
                              int64_t now_us,
                              const char *body,
                              int64_t *offset);

/** Drops the oldest records until age and number are within the limits. */
void colt_standin_log_expire (struct ColtStandinLog *log, int64_t now_us);

/** Returns the offset of the oldest record kept, the head if there is none. */
int64_t colt_standin_log_first (const struct ColtStandinLog *log);

/** Returns the offset of the next record to be appended. */
int64_t colt_standin_log_head (const struct ColtStandinLog *log);

/** Returns the body of the record at an offset from first to head - 1. */
const char *colt_standin_log_body (const struct ColtStandinLog *log,
                                   int64_t offset);

#endif
