/**
 * \file
 * \brief Reads files of JSON lines.
 */
#ifndef COLT_HISTORY_LINES_H
#define COLT_HISTORY_LINES_H

#include <jansson.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

/**
 * Handles the JSON object of one line.
 *
 * \param line  number of the line, from 1
 * \return false with \a error set to stop reading
 */
typedef bool (*ColtLineVisitor) (void *client,
                                 const json_t *object,
                                 uint32_t line,
                                 struct ColtError *error);

/**
 * Calls \a visit for each line that isn't empty.
 *
 * \param problem  set on failure to "FILE:LINE: REASON", with line 0 if the
 *                 file can't be opened; free it with g_free()
 * \return false on failure
 */
bool colt_lines_read (const char *path,
                      ColtLineVisitor visit,
                      void *client,
                      char **problem);

#endif
