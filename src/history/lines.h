/**
 * \file
 * \brief Files of JSON lines.
 */
#ifndef COLT_HISTORY_LINES_H
#define COLT_HISTORY_LINES_H

#include <jansson.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/** Takes the object of a line; returns false with an error to stop. */
typedef bool (*ColtLineVisitor) (void *client,
                                 const json_t *object,
                                 uint32_t line,
                                 struct ColtError *error);

/** Calls \a visit for each line that isn't empty. */
bool colt_lines_read (const char *path,
                      ColtLineVisitor visit,
                      void *client,
                      char **problem);

#endif
