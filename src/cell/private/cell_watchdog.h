/* The check that ready tasks wait for something; private to the files of this
 * package. */
#ifndef COLT_CELL_WATCHDOG_H
#define COLT_CELL_WATCHDOG_H

#include "cell_private.h"

/* Lists a job whose tasks are to be watched. */
void colt_cell_watch_job (struct ColtCell *cell, struct ColtCellJob *job);
/* Has to be called when a job ends or is removed. */
void colt_cell_unwatch_job (struct ColtCell *cell, struct ColtCellJob *job);
/* Checks some tasks, and releases those that are ready and neither looked at by
 * passes nor wait for an event. */
void colt_cell_watch_tasks (struct ColtCell *cell, int64_t now_us);

#endif
