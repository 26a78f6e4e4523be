/* Running an instance that takes part in a cell. */
#ifndef COLT_CELL_MAIN_H
#define COLT_CELL_MAIN_H

#include <stdbool.h>

/* Runs until it is told to stop; returns the exit status. */
int colt_cell_main (const char *path, bool check_only);

#endif
