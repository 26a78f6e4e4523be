/**
 * \file
 * \brief Parser of INI text that reports line numbers.
 */
#ifndef COLTSFOOTSTILE_INI_H
#define COLTSFOOTSTILE_INI_H

#include <stdbool.h>

#include "coltsfootstile/error.h"

/**
 * Callback for one key of INI text. All strings are valid during the call only.
 *
 * \param client   as passed to colt_ini_parse()
 * \param section  "" before the first section
 * \param key      name of the key
 * \param value    value of the key
 * \param line     number of the line, from 1
 */
typedef void (*ColtIniHandler) (void *client,
                                const char *section,
                                const char *key,
                                const char *value,
                                int line);

/**
 * Parses INI text and calls \a handler for each key. Parsing continues after an
 * invalid line; the error is returned at the end.
 *
 * \param text     the whole text, terminated by a zero
 * \param handler  called for each key, in the order of the lines
 * \param client   passed to \a handler
 * \param line     set to the number of the first line that is too long, else of
 *                 the first line that is not INI, else to 0
 * \return false with COLT_ERROR_INVALID if a line is not INI or too long
 */
bool colt_ini_parse (const char *text,
                     ColtIniHandler handler,
                     void *client,
                     int *line,
                     struct ColtError *error);

#endif
