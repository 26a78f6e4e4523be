/**
 * \file
 * \brief The daemon in cell mode: one instance of a cell.
 */
#ifndef COLT_CELL_MAIN_H
#define COLT_CELL_MAIN_H

#include <stdbool.h>

/**
 * Runs an instance of a cell until SIGTERM or SIGINT stops it.
 *
 * \param path        settings file; NULL: the file that the environment
 *                    variable COLTSFOOTSTILE_NODE_FILE names
 * \param check_only  checks the settings and returns
 * \return            exit status: 0 on success, 1 if the instance can't start,
 *                    2 if the settings are missing or wrong
 */
int colt_cell_main (const char *path, bool check_only);

#endif
