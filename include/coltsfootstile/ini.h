/**
 * \file
 * \brief Reads INI text line by line, with line numbers.
 */
#ifndef COLTSFOOTSTILE_INI_H
#define COLTSFOOTSTILE_INI_H

#include <stdbool.h>

#include "coltsfootstile/error.h"

/**
 * Takes one key of INI text.
 *
 * \param client   as given to colt_ini_parse()
 * \param section  "" before the first section
 * \param line     number of the line, from 1
 */
typedef void (*ColtIniHandler) (void *client,
                                const char *section,
                                const char *key,
                                const char *value,
                                int line);

/**
 * Reads INI text and calls \a handler for each key. Reading goes on behind a
 * bad line, but the first one is reported at the end.
 *
 * \param text     the whole text, ended by a zero
 * \param line     set to the number of the first bad line, or to 0
 * \return false with COLT_ERROR_INVALID if a line is no INI or too long
 */
bool colt_ini_parse (const char *text,
                     ColtIniHandler handler,
                     void *client,
                     int *line,
                     struct ColtError *error);

#endif
