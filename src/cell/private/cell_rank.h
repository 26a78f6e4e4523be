/* Ranks, objectives and learned durations; private to the files of this
 * package, which include it by cell_private.h. */
#ifndef COLT_CELL_RANK_H
#define COLT_CELL_RANK_H

#include "cell_private.h"

/* cell_rank.c */
void colt_cell_add_duration (const struct ColtCellRun *run, int64_t now_us);
void colt_cell_update_slowness (struct ColtCellStep *step);
void colt_cell_assign_kind (struct ColtCell *cell,
                            struct ColtCellServer *server);
double colt_cell_slowness (struct ColtCellServer *server);
void colt_cell_raise_slowness (struct ColtCellServer *server,
                               double log_slowness);
int64_t colt_cell_objective_us (const struct ColtCellJob *job);
/* Returns the expected duration of a task of the step. */
int64_t colt_cell_step_us (const struct ColtCellStep *step);
/* Returns the expected duration of the longest chain of the job's steps. */
int64_t colt_cell_chain_us (const struct ColtCellJob *job);
/* Returns how long a new job may wait for its start and still end within its
 * objective, times the factor beyond which it is of no use if useful is true.
 */
int64_t colt_cell_slack_us (const struct ColtCellJob *job, bool useful);
/* Takes back what colt_cell_exceeds_share() charged. */
void colt_cell_refund_share (struct ColtCellOrganisation *organisation);
bool colt_cell_exceeds_share (struct ColtCellOrganisation *organisation,
                              int64_t now_us);
void colt_cell_rank_step (struct ColtCellStep *step, int64_t now_us);
/* Returns the latest time at which the start of a step is still of use. */
int64_t colt_cell_latest_us (const struct ColtCellStep *step);

#endif
