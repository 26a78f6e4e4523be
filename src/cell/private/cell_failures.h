/* Servers on which runs fail, and tasks under which servers crash; private to
 * the files of this package, which include it by cell_private.h. */
#ifndef COLT_CELL_FAILURES_H
#define COLT_CELL_FAILURES_H

#include "cell_private.h"

/* cell_probation.c: servers on which runs fail */

/* Returns whether a server may get another run: one on probation gets none for
 * a while, then few, and more the longer nothing fails. */
bool colt_cell_may_probe (const struct ColtCellServer *server, int64_t now_us);
/* Counts a run that starts on a server on probation. */
void colt_cell_begin_probe (struct ColtCellRun *run);
void colt_cell_end_probe (struct ColtCellRun *run);
/* Ends the probation of a server on which a task that lasts has been at work
 * for a while. To be called when the run is listed. */
void colt_cell_prove_run (struct ColtCellRun *run);
/* Counts the end of a run for or against its server. To be called before the
 * run is removed. */
void colt_cell_judge_server (struct ColtCell *cell,
                             const struct ColtCellRun *run,
                             enum ColtRunEnd how,
                             int64_t now_us);
/* Forgets what was known of a server that has been restarted. */
void colt_cell_reset_probation (struct ColtCellServer *server);

/* cell_crashes.c */

/* Ends a run that was lost with its server, and gives up its task if servers
 * crash under it again and again. ended: the server's process has certainly
 * ended. */
void colt_cell_lose_run (struct ColtCell *cell,
                         struct ColtCellRun *run,
                         bool ended,
                         int64_t now_us);

/* Decides, before a task starts again, what became of the server of its last
 * run. Returns whether the task was given up. */
bool colt_cell_review_losses (struct ColtCell *cell,
                              struct ColtCellTask *task,
                              int64_t now_us);

void colt_cell_begin_trial (struct ColtCellRun *run);
void colt_cell_end_trial (struct ColtCellRun *run);
/* Applies that a report lists a run. */
void colt_cell_confirm_run (struct ColtCell *cell,
                            struct ColtCellRun *run,
                            int64_t percent,
                            int64_t now_us);
/* Notes that a run lasted or ended by itself: its task doesn't crash servers.
 */
void colt_cell_clear_losses (struct ColtCell *cell, struct ColtCellTask *task);
/* Returns what the score of a server is lowered by for a task under which
 * servers have crashed. */
double colt_cell_crash_penalty (const struct ColtCellTask *task,
                                const struct ColtCellServer *server);

#endif
