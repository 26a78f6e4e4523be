/* Availability zones that are evacuated; private to the files of this package.
 */
#ifndef COLT_CELL_ZONES_H
#define COLT_CELL_ZONES_H

#include "cell_private.h"

/* An availability zone whose evacuation is requested. */
struct ColtCellZone
{
  char *name;
  int64_t since_us; /* when the cell got the request */
  size_t servers;   /* as of the last count */
  size_t runs;      /* left there, or possibly, as of the last count */
  bool empty;       /* was logged as empty */
};

void colt_cell_init_zones (struct ColtCell *cell);
bool colt_cell_is_zone_evacuated (const struct ColtCell *cell,
                                  const char *zone);
/* Counts the runs that are left in evacuated zones, at most once a second, and
 * logs that a zone has become empty. */
void colt_cell_watch_zones (struct ColtCell *cell, int64_t now_us);
/* Returns whether a start may be ordered on a server at a time. */
bool colt_cell_may_order (const struct ColtCell *cell,
                          const struct ColtCellServer *server,
                          int64_t now_us);
/* Returns the reason for a step that found no server: BLOCK_EVACUATED if all
 * servers that may hold its tasks are in evacuated zones, or else the one that
 * is given. */
enum ColtCellBlock colt_cell_explain_block (struct ColtCell *cell,
                                            struct ColtCellStep *step,
                                            struct ColtCellPool *pool,
                                            enum ColtCellBlock block,
                                            int64_t now_us);

#endif
