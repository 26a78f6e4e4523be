#include "cell_backfill.h"
#include "cell_zones.h"

/* Time before the planned start of a gang from which its part of its
 * organisation's limit is reserved. */
#define LIMIT_AHEAD_US (500 * COLT_US_PER_MS)

static void await_room_ (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         struct ColtCellPool *pool,
                         struct ColtCellServer **servers,
                         int64_t now_us);
static bool choose_gang_servers_ (struct ColtCellStep *step,
                                  struct ColtCellPool *pool,
                                  bool ticketed,
                                  struct ColtCellServer **servers,
                                  int64_t now_us);
static void plan_gang_ (struct ColtCell *cell,
                        struct ColtCellStep *step,
                        struct ColtCellServer *const *servers,
                        int64_t now_us);
static void reserve_limit_ (struct ColtCell *cell,
                            const struct ColtCellStep *step);
static void reserve_ (struct ColtCell *cell,
                      struct ColtResources *used,
                      const struct ColtResources *demand);
static void reserve_room_ (struct ColtCell *cell,
                           const struct ColtCellStep *step,
                           struct ColtCellServer *const *servers);

/* Plans all tasks of a gang together, once each has a server with room and, if
 * required, a ticket; until then reserves the room that was found and, while
 * advice is requested, what the gang needs of its organisation's limit. */
void
colt_cell_place_gang (struct ColtCell *cell,
                      struct ColtCellStep *step,
                      struct ColtCellPool *pool,
                      int64_t now_us)
{
  uint32_t count = step->spec->count;
  struct ColtCellServer **servers;
  uint32_t i;

  if (step->active > 0 || step->done > 0)
    {
      colt_cell_stop_step (cell, step, now_us);
      colt_cell_set_block (cell, step, BLOCK_GANG);
      return;
    }
  for (i = 0; i < count; i++)
    if (colt_cell_may_already_run (cell, &step->tasks[i]))
      {
        colt_cell_set_block (cell, step, BLOCK_UNSETTLED);
        return;
      }
  for (i = 0; i < count; i++)
    if (colt_cell_review_losses (cell, &step->tasks[i], now_us))
      return;
  if (!colt_cell_is_within_limit (cell, step, count))
    {
      colt_cell_end_plan (cell, step, "its organisation is at its limit",
                          now_us);
      colt_cell_set_block (cell, step, BLOCK_LIMIT);
      return;
    }
  servers = g_new0 (struct ColtCellServer *, count);
  if (choose_gang_servers_ (step, pool, true, servers, now_us))
    {
      plan_gang_ (cell, step, servers, now_us);
      colt_cell_end_plan (cell, step, NULL, now_us);
    }
  else
    await_room_ (cell, step, pool, servers, now_us);
  /* Other work of the organisation mustn't wait for a gang that gets nowhere.
   */
  if (((step->block == BLOCK_ADVICE || step->block == BLOCK_NO_ADVISER)
       && step->fruitless_calls < COLT_ADVICE_PAUSES_DOUBLED_MAX)
      || (step->plan != NULL
          && step->plan->start_us <= now_us + LIMIT_AHEAD_US))
    reserve_limit_ (cell, step);
  g_free (servers);
}

void
colt_cell_release_reservations (struct ColtCell *cell)
{
  guint i;

  for (i = 0; i < cell->reservations->len; i++)
    {
      const struct ColtCellReservation *reservation
          = &g_array_index (cell->reservations, struct ColtCellReservation, i);

      colt_resources_subtract (reservation->used, reservation->demand);
    }
  g_array_set_size (cell->reservations, 0);
}

/* Requests what a gang lacks that can't start now, and reserves room for it.
 * servers: where the choice is put, one for each task. */
static void
await_room_ (struct ColtCell *cell,
             struct ColtCellStep *step,
             struct ColtCellPool *pool,
             struct ColtCellServer **servers,
             int64_t now_us)
{
  bool planned = colt_cell_plan_gang (cell, step, pool, now_us);

  if (!step->job->queue->config->advised)
    colt_cell_set_block (cell, step,
                         planned ? BLOCK_RESERVED
                                 : colt_cell_explain_block (
                                     cell, step, pool, BLOCK_NO_ROOM, now_us));
  else if (step->call != NULL && step->ticket_servers != NULL)
    {
      reserve_room_ (
          cell, step,
          (struct ColtCellServer *const *)step->ticket_servers->pdata);
      colt_cell_set_block (cell, step, BLOCK_ADVICE);
    }
  else if (choose_gang_servers_ (step, pool, false, servers, now_us))
    {
      reserve_room_ (cell, step, servers);
      colt_cell_set_block (
          cell, step, colt_cell_request_gang_tickets (cell, step, servers));
      if (planned)
        step->plan->stale = true;
    }
  else if (planned)
    colt_cell_set_block (cell, step,
                         colt_cell_await_start (cell, step, pool, now_us));
  else
    colt_cell_set_block (
        cell, step,
        colt_cell_explain_block (
            cell, step, pool,
            colt_cell_request_gang_advice (cell, step, pool, now_us), now_us));
}

/* Chooses a server with room for each task of a gang: with a ticket if ticketed
 * is true, otherwise known to be suitable. Returns false if there are too few.
 * While the next tasks are chosen for, the demand of each task counts as used
 * on its server; it is subtracted again at the end. */
static bool
choose_gang_servers_ (struct ColtCellStep *step,
                      struct ColtCellPool *pool,
                      bool ticketed,
                      struct ColtCellServer **servers,
                      int64_t now_us)
{
  uint32_t count = step->spec->count;
  GPtrArray *eligible = colt_cell_list_eligible (step, pool, ticketed, now_us);
  uint32_t placed;
  uint32_t i;

  for (placed = 0; placed < count; placed++)
    {
      servers[placed] = colt_cell_choose_server (eligible, step,
                                                 &step->tasks[placed], now_us);
      if (servers[placed] == NULL)
        break;
      colt_resources_add (&servers[placed]->used, &step->demand);
    }
  for (i = 0; i < placed; i++)
    colt_resources_subtract (&servers[i]->used, &step->demand);
  g_clear_pointer (&eligible, g_ptr_array_unref);
  return placed == count;
}

static void
plan_gang_ (struct ColtCell *cell,
            struct ColtCellStep *step,
            struct ColtCellServer *const *servers,
            int64_t now_us)
{
  GString *plan = NULL;
  uint32_t number = 0;
  uint32_t i;

  g_clear_pointer (&step->ticket_servers, g_ptr_array_unref);
  for (i = 0; i < step->spec->count; i++)
    number = MAX (number, colt_cell_next_run_number (cell, &step->tasks[i]));
  for (i = 0; i < step->spec->count; i++)
    {
      colt_cell_plan_run (cell, &step->tasks[i], servers[i], number, now_us);
      colt_cell_append_plan (&plan, &step->tasks[i]);
    }
  colt_cell_log_plan (cell, step, plan);
}

/* Reserves a gang's part of its organisation's limit against later steps of
 * this pass. */
static void
reserve_limit_ (struct ColtCell *cell, const struct ColtCellStep *step)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    reserve_ (cell, &step->job->organisation->used, &step->demand);
}

static void
reserve_ (struct ColtCell *cell,
          struct ColtResources *used,
          const struct ColtResources *demand)
{
  const struct ColtCellReservation reservation = { used, demand };

  colt_resources_add (used, demand);
  g_array_append_val (cell->reservations, reservation);
}

/* Reserves room for a gang against later steps of this pass. */
static void
reserve_room_ (struct ColtCell *cell,
               const struct ColtCellStep *step,
               struct ColtCellServer *const *servers)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    if (servers[i] != NULL && !servers[i]->evacuated
        && colt_cell_fits (step, servers[i]))
      reserve_ (cell, &servers[i]->used, &step->demand);
}
