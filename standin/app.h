/**
 * \file
 * \brief Command line and event loop of the stand-in programs.
 */
#ifndef COLT_STANDIN_APP_H
#define COLT_STANDIN_APP_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** A command line option that takes a value. */
struct ColtStandinOption
{
  const char *name;  /**< without the dashes */
  const char *value; /**< placeholder in the help, such as "IP:PORT" */
  const char *help;  /**< description, one line */
  bool required;     /**< whether a text must be given */
  const char **text; /**< set to a text if given; NULL for a number */
  int64_t *number;   /**< set to a number if given, else unchanged */
};

/** Result of parsing the command line. */
enum ColtStandinParseResult
{
  COLT_STANDIN_PARSED,       /**< run the program */
  COLT_STANDIN_HELP_PRINTED, /**< exit with status 0 */
  COLT_STANDIN_USAGE_ERROR   /**< errors were printed: exit with status 2 */
};

/**
 * Parses the command line. Prints the help for --help, and errors to stderr.
 *
 * \param options  receive the values; texts point into \a argv
 * \param count    number of options
 */
enum ColtStandinParseResult
colt_standin_app_parse (int argc,
                        char **argv,
                        const struct ColtStandinOption *options,
                        size_t count);

/**
 * Loads a JSON file.
 *
 * \return a new reference, or NULL with COLT_ERROR_INVALID if the file can't be
 *         read or parsed
 */
json_t *colt_standin_load_json (const char *path, struct ColtError *error);

/**
 * Prints "ready" to stdout and runs the event loop until SIGTERM or SIGINT is
 * received or \a max_seconds have passed. SIGPIPE is ignored.
 */
void colt_standin_app_run (struct event_base *base, int64_t max_seconds);

/** Prints an error to stderr and returns the exit status 1. */
int colt_standin_print_error (const struct ColtError *error);

#endif
