/* Gangs, and room that is reserved for them; private to the files of this
 * package. */
#ifndef COLT_CELL_BACKFILL_H
#define COLT_CELL_BACKFILL_H

#include "cell_private.h"
#include "coltsfootstile/backfill.h"

/* A server in a gang's plan. */
struct ColtCellHold
{
  struct ColtCellPlan *plan;
  struct ColtCellServer *server;
  uint32_t tasks; /* that are to start on it */
  struct ColtBackfillHold terms;
  struct ColtCellHold *next; /* of the same server */
};

/* When and where a gang is to start. The servers are reserved for it from then
 * on. */
struct ColtCellPlan
{
  struct ColtCellStep *step;
  GPtrArray *plans; /* of the cell, which lists it */
  int64_t granted_us;
  int64_t planned_us; /* when it was last computed */
  int64_t start_us;
  int64_t placed_us; /* of the last pass in which the gang had its turn */
  bool stale;        /* room has become free since it was computed */
  guint hold_count;
  struct ColtCellHold *holds;
};

/* cell_gangs.c */
void colt_cell_place_gang (struct ColtCell *cell,
                           struct ColtCellStep *step,
                           struct ColtCellPool *pool,
                           int64_t now_us);
void colt_cell_release_reservations (struct ColtCell *cell);

/* cell_advice.c */
enum ColtCellBlock
colt_cell_request_gang_tickets (struct ColtCell *cell,
                                struct ColtCellStep *step,
                                struct ColtCellServer *const *servers);
enum ColtCellBlock
colt_cell_request_gang_advice (struct ColtCell *cell,
                               struct ColtCellStep *step,
                               const struct ColtCellPool *pool,
                               int64_t now_us);

/* cell_backfill.c */

/* Has to be called before the first step of a pass is placed, after the steps
 * are ranked. Ends plans of gangs that no longer wait. */
void colt_cell_begin_plans (struct ColtCell *cell);
/* Plans where a gang starts that doesn't fit now, at most from time to time.
 * Returns whether it has a plan. */
bool colt_cell_plan_gang (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          struct ColtCellPool *pool,
                          int64_t now_us);
/* Requests what the start of a gang that has a plan needs: advice on more
 * servers, if that may bring it forward, or tickets in time for it. */
enum ColtCellBlock colt_cell_await_start (struct ColtCell *cell,
                                          struct ColtCellStep *step,
                                          const struct ColtCellPool *pool,
                                          int64_t now_us);
/* Ends the plan of a gang, if it has one. reason: why, without a start; NULL:
 * it starts. */
void colt_cell_end_plan (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         const char *reason,
                         int64_t now_us);
/* Frees the plan of a step that is removed. */
void colt_cell_free_plan (struct ColtCellStep *step);
/* Returns whether reservations for other steps allow that a task of the step
 * starts on a server. */
bool colt_cell_may_use (const struct ColtCellStep *step,
                        const struct ColtCellServer *server,
                        int64_t now_us);
/* Takes a planned run into account in the reservations of its server. */
void colt_cell_use_held (const struct ColtCellRun *run, int64_t now_us);
/* Notes that a run on a server has ended. */
void colt_cell_note_room (const struct ColtCellServer *server);
/* Returns what the score of a server is lowered by, for a task that could take
 * room that a gang needs. */
double colt_cell_gang_penalty (const struct ColtCellStep *step,
                               const struct ColtCellServer *server);

#endif
