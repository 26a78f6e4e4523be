/* Inputs to the decisions of src/policy/, and calls of them; private to the
 * files of this package, which include it by cell_private.h. */
#ifndef COLT_CELL_POLICY_H
#define COLT_CELL_POLICY_H

#include "cell_private.h"

/* cell_forecast.c: inputs of the forecast of admission. All of these functions
 * do nothing while admission by forecast is off. */

/* Returns whether a new job may be accepted; logs a rejection. */
bool colt_cell_admit (struct ColtCell *cell,
                      struct ColtCellJob *job,
                      int64_t now_us);
/* Counts an accepted job. */
void colt_cell_count_arrival (struct ColtCell *cell,
                              struct ColtCellJob *job,
                              int64_t now_us);
/* Update what is counted of a step, or of all steps of a job. To be called when
 * waiting tasks, ranks or states change. */
void colt_cell_count_waiting (struct ColtCell *cell, struct ColtCellStep *step);
void colt_cell_count_job (struct ColtCell *cell, struct ColtCellJob *job);
void colt_cell_count_rank (struct ColtCell *cell, struct ColtCellStep *step);
/* Stops counting a job that is removed. */
void colt_cell_uncount_job (struct ColtCell *cell, struct ColtCellJob *job);
void colt_cell_count_run (struct ColtCell *cell, const struct ColtCellRun *run);
void colt_cell_uncount_run (struct ColtCell *cell,
                            const struct ColtCellRun *run,
                            int64_t now_us);
/* Compares the first start of a job with the forecast. */
void colt_cell_check_forecast (struct ColtCell *cell,
                               struct ColtCellJob *job,
                               int64_t now_us);
void colt_cell_count_block (struct ColtCell *cell,
                            struct ColtCellStep *step,
                            enum ColtCellBlock block);
void colt_cell_count_lost_server (struct ColtCell *cell,
                                  const struct ColtCellServer *server);
void colt_cell_end_forecast_pass (struct ColtCell *cell, int64_t now_us);

#endif
