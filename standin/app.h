/**
 * \file
 * \brief Command line, loop and end of a stand-in.
 */
#ifndef COLT_STANDIN_APP_H
#define COLT_STANDIN_APP_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** An option of the command line that takes a value. */
struct ColtStandinOption
{
  const char *name;  /**< without the dashes */
  const char *value; /**< what the value is, as in "IP:PORT" */
  const char *help;  /**< one line */
  bool required;     /**< of a text only */
  const char **text; /**< where a text goes; NULL for a number */
  int64_t *number;   /**< where a number goes; holds the default */
};

/** What to do after the command line was read. */
enum ColtStandinStart
{
  COLT_STANDIN_GO,   /**< run */
  COLT_STANDIN_DONE, /**< help was printed: exit 0 */
  COLT_STANDIN_BAD   /**< a problem was printed: exit 2 */
};

/** Reads the command line; texts point into \a argv. Adds --help. */
enum ColtStandinStart
colt_standin_parse (int argc,
                    char **argv,
                    const struct ColtStandinOption *options,
                    size_t count);

/**
 * Reads a file of JSON.
 *
 * \return a new reference, or NULL with COLT_ERROR_INVALID
 */
json_t *colt_standin_load (const char *path, struct ColtError *error);

/** Prints "ready" and runs the loop until a signal or \a max_seconds. */
void colt_standin_run (struct event_base *base, int64_t max_seconds);

/** Prints an error and returns the exit status 1. */
int colt_standin_fail (const struct ColtError *error);

#endif
