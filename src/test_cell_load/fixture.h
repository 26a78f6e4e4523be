/* A cell under a load, in simulated time. */
#ifndef COLT_TEST_CELL_LOAD_H
#define COLT_TEST_CELL_LOAD_H

#include <glib.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

#define MS COLT_US_PER_MS

struct ColtLoad
{
  struct ColtCell *cell;
  int64_t now_us;
  GPtrArray *starts;  /* of "task@server" in order */
  GPtrArray *stops;   /* of "task@server" */
  GPtrArray *advised; /* of steps asked about and not answered yet */
  uint32_t advisers;
  uint32_t next_id;
};

struct ColtLoad *colt_load_make (void);
void colt_load_free (struct ColtLoad *load);
void
colt_load_report (struct ColtLoad *load, const char *server, uint64_t asked);
void colt_load_add_server_of_kind (struct ColtLoad *load,
                                   const char *id,
                                   int64_t cores,
                                   const char *kind);
void
colt_load_add_server (struct ColtLoad *load, const char *id, int64_t cores);
void colt_load_submit (struct ColtLoad *load,
                       const char *queue,
                       const char *organisation,
                       uint32_t count,
                       bool lasting);
void colt_load_submit_gang (struct ColtLoad *load,
                            const char *queue,
                            uint32_t count);
void colt_load_commit (struct ColtLoad *load);
/* One pass of placement; its starts are ordered. */
void colt_load_place (struct ColtLoad *load);
void colt_load_take_start (struct ColtLoad *load, guint start);
void colt_load_finish (struct ColtLoad *load,
                       guint start,
                       uint32_t run,
                       enum ColtRunEnd how);
/* Whether a task of a job was started, from a start on. */
bool
colt_load_has_started (const struct ColtLoad *load, guint from, uint32_t id);
bool
colt_load_ran_on (const struct ColtLoad *load, guint start, const char *server);

void colt_load_servers_add (void);

#endif
