/**
 * \file
 * \brief Structured logs: one JSON object per line, on standard output.
 *
 * A line has the fields time, level, module, step, peer, request and message;
 * fields without a value are left out. An event has the field event and fields
 * of its own in place of a message. Output goes through log4c.
 *
 * Logging never blocks. A line is dropped if standard output can't accept it
 * immediately; lines of the levels info and debug are also dropped if they
 * exceed COLT_LOG_LINES_PER_S. The next line has the number of dropped lines in
 * the field dropped_lines.
 */
#ifndef COLTSFOOTSTILE_LOG_H
#define COLTSFOOTSTILE_LOG_H

#include <stdbool.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"

/** Severity of a line, from the highest to the lowest. */
enum ColtLogLevel
{
  COLT_LOG_ERROR,
  COLT_LOG_WARNING,
  COLT_LOG_INFO,
  COLT_LOG_DEBUG
};

/** Names of enum ColtLogLevel, indexed by it. */
extern const char *const colt_log_level_string[];

/** Subject of a line; every member may be left out. */
struct ColtLogContext
{
  enum ColtStep step;           /**< COLT_STEP_NONE if there is none */
  const char *peer;             /**< NULL if there is none */
  const struct ColtId *request; /**< NULL if there is none */
};

/**
 * Starts logging.
 *
 * \param level  lowest severity that is written
 * \return false with COLT_ERROR_SYSTEM if log4c can't be initialised
 */
bool colt_log_open (enum ColtLogLevel level, struct ColtError *error);

/** Ends logging; later lines are dropped. */
void colt_log_close (void);

/** Changes the lowest severity that is written, if the log is open. */
void colt_log_set_level (enum ColtLogLevel level);

/** Parses the name of a level; returns false if no level has the name. */
bool colt_log_parse_level (const char *name, enum ColtLogLevel *level);

/**
 * Logs a message; does nothing before colt_log_open().
 *
 * \param module   the module's short name
 * \param context  subject of the line; may be NULL
 * \param format   a printf format for the message, followed by its values; a
 *                 message is cut off at 1023 bytes
 */
void colt_log (enum ColtLogLevel level,
               const char *module,
               const struct ColtLogContext *context,
               const char *format,
               ...) __attribute__ ((format (printf, 4, 5)));

/** Most lines of the levels info and debug that are written per second on
 * average; after a pause, a burst may have twice as many. */
#define COLT_LOG_LINES_PER_S 400

/** A field of an event: \a text, or \a number if \a text is NULL. */
struct ColtLogField
{
  const char *name;
  const char *text;
  int64_t number;
};

/** Returns whether lines of a level are written. */
bool colt_log_is_on (enum ColtLogLevel level);

/**
 * Logs an event.
 *
 * \param event    what happened, in a few constant words
 * \param request  text form of the request's id; NULL or "" if there is none
 * \param fields   the decision's inputs, their age or version, the outcome
 * \param count    number of fields
 */
void colt_log_event (enum ColtLogLevel level,
                     const char *module,
                     const char *event,
                     const char *request,
                     const struct ColtLogField *fields,
                     size_t count);

/** Logs "WHAT: MESSAGE (CODE)" with the step and peer of \a error. */
void colt_log_error (enum ColtLogLevel level,
                     const char *module,
                     const char *what,
                     const struct ColtError *error);

#endif
