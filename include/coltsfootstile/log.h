/**
 * \file
 * \brief Structured logs: one JSON object a line, on standard output.
 *
 * A line has the fields time, level, module, step, peer, request and message;
 * those without a value are left out. An event has its own fields in place of
 * a message. Output goes through log4c.
 *
 * Logging never blocks: lines that standard output doesn't take at once, or
 * beyond COLT_LOG_LINES_PER_S, are dropped and counted; a line tells how many.
 * Errors and warnings are only dropped when they can't be written.
 */
#ifndef COLTSFOOTSTILE_LOG_H
#define COLTSFOOTSTILE_LOG_H

#include <stdbool.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"

/** How much a line matters. */
enum ColtLogLevel
{
  COLT_LOG_ERROR,
  COLT_LOG_WARNING,
  COLT_LOG_INFO,
  COLT_LOG_DEBUG
};

/** Names of enum ColtLogLevel, indexed by it. */
extern const char *const colt_log_level_string[];

/** What a line is about; every member may be left out. */
struct ColtLogContext
{
  enum ColtStep step;           /**< COLT_STEP_NONE when there is none */
  const char *peer;             /**< NULL when there is none */
  const struct ColtId *request; /**< NULL when there is none */
};

/**
 * Starts logging.
 *
 * \param level  lines that matter less than this are dropped
 * \return false with COLT_ERROR_SYSTEM if log4c can't be started
 */
bool colt_log_open (enum ColtLogLevel level, struct ColtError *error);

/** Ends logging; what is logged later is dropped. */
void colt_log_close (void);

/** Changes the level of an open log. */
void colt_log_set_level (enum ColtLogLevel level);

/** Finds the level of a name; returns false if there is none. */
bool colt_log_parse_level (const char *name, enum ColtLogLevel *level);

/**
 * Logs a line; does nothing before colt_log_open().
 *
 * \param module   the module's short name
 * \param context  what the line is about; may be NULL
 * \param format   a printf format for the message, followed by its values
 */
void colt_log (enum ColtLogLevel level,
               const char *module,
               const struct ColtLogContext *context,
               const char *format,
               ...) __attribute__ ((format (printf, 4, 5)));

/** Lines of the levels info and debug that are written in a second. */
#define COLT_LOG_LINES_PER_S 400

/** A field of an event: a text, or a number if the text is NULL. */
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
 * \param event    what has happened, in a few words that don't vary
 * \param request  the request it is about; NULL or "" when there is none
 * \param fields   the decision's inputs, their age or version, the outcome
 */
void colt_log_event (enum ColtLogLevel level,
                     const char *module,
                     const char *event,
                     const char *request,
                     const struct ColtLogField *fields,
                     size_t count);

/** Logs an error with its step and peer, behind \a what and a colon. */
void colt_log_error (enum ColtLogLevel level,
                     const char *module,
                     const char *what,
                     const struct ColtError *error);

#endif
