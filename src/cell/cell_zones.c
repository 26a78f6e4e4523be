#include <string.h>

#include "cell_zones.h"
#include "coltsfootstile/guard.h"

/* Time between counts of what is left in evacuated zones. */
#define COUNT_INTERVAL_US COLT_US_PER_S
/* Time between searches for a step's servers in other zones, and most searches
 * in a pass: each looks at up to all servers of a service. */
#define CHECK_INTERVAL_US (500 * COLT_US_PER_MS)
#define CHECKS_PER_PASS 32
#define DETAIL_SIZE 320

static void free_zone_ (gpointer data);
static void apply_to_servers_ (struct ColtCell *cell,
                               const char *name,
                               bool evacuated,
                               int64_t now_us);
static void end_planned_runs_ (struct ColtCell *cell,
                               struct ColtCellServer *server,
                               int64_t now_us);
static void drop_tickets_ (struct ColtCell *cell);
static void count_zones_ (struct ColtCell *cell);
static void log_zone_ (struct ColtCell *cell,
                       const struct ColtCellZone *zone,
                       const char *what,
                       int64_t now_us);
static bool is_outside_ (const struct ColtCellPool *pool);
static bool has_other_zone_ (const struct ColtCellStep *step,
                             const struct ColtCellPool *pool);

void
colt_cell_init_zones (struct ColtCell *cell)
{
  cell->evacuated
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_zone_);
  cell->order_until_us = INT64_MAX;
}

void
colt_cell_set_evacuated (struct ColtCell *cell,
                         const char *name,
                         bool evacuated,
                         int64_t now_us)
{
  struct ColtCellZone *zone = g_hash_table_lookup (cell->evacuated, name);
  guint i;

  if (evacuated == (zone != NULL) || !colt_guard_on (COLT_GUARD_EVACUATION))
    return;
  cell->next_count_us = now_us + COUNT_INTERVAL_US;
  cell->zones_us = now_us;
  for (i = 0; i < cell->open_steps->len; i++)
    ((struct ColtCellStep *)g_ptr_array_index (cell->open_steps, i))
        ->next_zone_check_us
        = 0;
  if (evacuated)
    {
      zone = g_new0 (struct ColtCellZone, 1);
      zone->name = g_strdup (name);
      zone->since_us = now_us;
      g_hash_table_insert (cell->evacuated, zone->name, zone);
      apply_to_servers_ (cell, name, true, now_us);
      drop_tickets_ (cell);
      count_zones_ (cell);
      log_zone_ (cell, zone, "zone evacuated, it gets no starts", now_us);
      return;
    }
  count_zones_ (cell);
  log_zone_ (cell, zone, "evacuation ended, the zone gets starts again",
             now_us);
  g_hash_table_remove (cell->evacuated, name);
  apply_to_servers_ (cell, name, false, now_us);
  count_zones_ (cell);
}

bool
colt_cell_is_server_evacuated (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellServer *server = colt_cell_find_server (cell, id);

  return server != NULL && server->evacuated;
}

void
colt_cell_set_order_deadline (struct ColtCell *cell, int64_t until_us)
{
  cell->order_until_us = until_us;
}

bool
colt_cell_is_zone_evacuated (const struct ColtCell *cell, const char *zone)
{
  return g_hash_table_contains (cell->evacuated, zone);
}

bool
colt_cell_may_order (const struct ColtCell *cell,
                     const struct ColtCellServer *server,
                     int64_t now_us)
{
  return !server->evacuated && now_us <= cell->order_until_us;
}

void
colt_cell_watch_zones (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (now_us < cell->next_count_us || g_hash_table_size (cell->evacuated) == 0)
    return;
  cell->next_count_us = now_us + COUNT_INTERVAL_US;
  cell->zones_us = now_us;
  count_zones_ (cell);
  g_hash_table_iter_init (&i, cell->evacuated);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellZone *zone = value;
      /* Until then runs may be there that earlier leaders started. */
      bool empty = cell->settled && zone->servers > 0 && zone->runs == 0;

      if (empty && !zone->empty)
        log_zone_ (cell, zone, "evacuated zone is empty", now_us);
      zone->empty = empty;
    }
}

enum ColtCellBlock
colt_cell_explain_block (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         struct ColtCellPool *pool,
                         enum ColtCellBlock block,
                         int64_t now_us)
{
  if (g_hash_table_size (cell->evacuated) == 0 || block != BLOCK_NO_ROOM)
    return block;
  if (pool->outside_us != now_us)
    {
      pool->outside_us = now_us;
      pool->outside = is_outside_ (pool);
    }
  if (!pool->outside)
    return BLOCK_EVACUATED;
  if (cell->zone_pass_us != now_us)
    {
      cell->zone_pass_us = now_us;
      cell->zone_checks = 0;
    }
  if (now_us >= step->next_zone_check_us && cell->zone_checks < CHECKS_PER_PASS)
    {
      cell->zone_checks++;
      step->next_zone_check_us = now_us + CHECK_INTERVAL_US;
      step->only_evacuated = !has_other_zone_ (step, pool);
    }
  return step->only_evacuated ? BLOCK_EVACUATED : block;
}

static void
free_zone_ (gpointer data)
{
  struct ColtCellZone *zone = data;

  g_free (zone->name);
  g_free (zone);
}

static void
apply_to_servers_ (struct ColtCell *cell,
                   const char *name,
                   bool evacuated,
                   int64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cell->servers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellServer *server = value;

      if (g_strcmp0 (server->zone, name) != 0)
        continue;
      server->evacuated = evacuated;
      if (evacuated)
        end_planned_runs_ (cell, server, now_us);
    }
}

/* The end of a gang's run may end others on the server. */
static void
end_planned_runs_ (struct ColtCell *cell,
                   struct ColtCellServer *server,
                   int64_t now_us)
{
  guint i = server->runs->len;

  while (i-- > 0)
    {
      struct ColtCellRun *run;

      if (i >= server->runs->len)
        continue;
      run = g_ptr_array_index (server->runs, i);
      if (run->state != RUN_PLANNED)
        continue;
      cell->stats.withdrawn_starts++;
      colt_cell_end_run (cell, run, COLT_RUN_STOPPED, NULL, now_us);
    }
}

/* Gives up the tickets and the room that gangs wait for in evacuated zones. */
static void
drop_tickets_ (struct ColtCell *cell)
{
  guint i;
  guint s;

  for (i = 0; i < cell->open_steps->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, i);
      bool drop = false;

      for (s = 0; step->ticket_servers != NULL && s < step->ticket_servers->len;
           s++)
        {
          const struct ColtCellServer *server
              = g_ptr_array_index (step->ticket_servers, s);

          drop |= server != NULL && server->evacuated;
        }
      if (drop)
        g_clear_pointer (&step->ticket_servers, g_ptr_array_unref);
    }
}

/* Counts the servers and runs of evacuated zones. A server that may still run
 * orders of an earlier leader counts as if it had a run. */
static void
count_zones_ (struct ColtCell *cell)
{
  GHashTableIter i;
  gpointer value;

  cell->stats.evacuated_runs = 0;
  g_hash_table_iter_init (&i, cell->evacuated);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellZone *zone = value;

      zone->servers = 0;
      zone->runs = 0;
    }
  g_hash_table_iter_init (&i, cell->servers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct ColtCellServer *server = value;
      struct ColtCellZone *zone
          = server->evacuated
                ? g_hash_table_lookup (cell->evacuated, server->zone)
                : NULL;
      size_t runs = colt_cell_count_server_runs (server);

      if (zone == NULL)
        continue;
      if (runs == 0 && !cell->settled && server->awaited)
        runs = 1;
      zone->servers++;
      zone->runs += runs;
      cell->stats.evacuated_runs += runs;
    }
}

static void
log_zone_ (struct ColtCell *cell,
           const struct ColtCellZone *zone,
           const char *what,
           int64_t now_us)
{
  char detail[DETAIL_SIZE];

  g_snprintf (detail, sizeof detail, "%s: %zu servers, %zu runs, after %lld ms",
              zone->name, zone->servers, zone->runs,
              (long long)((now_us - zone->since_us) / COLT_US_PER_MS));
  cell->ops->log_decision (cell->client, NULL, what, detail);
}

/* Returns whether a pool has servers outside the evacuated zones, or none at
 * all. */
static bool
is_outside_ (const struct ColtCellPool *pool)
{
  bool any_evacuated = false;
  guint i;

  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);

      if (server->listed && !server->evacuated)
        return true;
      any_evacuated |= server->listed;
    }
  return !any_evacuated;
}

/* Returns whether a server outside the evacuated zones may hold a task of the
 * step, now or later, or whether there is none at all. */
static bool
has_other_zone_ (const struct ColtCellStep *step,
                 const struct ColtCellPool *pool)
{
  bool any_evacuated = false;
  guint i;

  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);

      if (!server->listed || !colt_cell_may_hold (step, server)
          || !colt_cell_meets_constraints (step, server)
          || colt_cell_is_known_unsuitable (step, server))
        continue;
      if (!server->evacuated)
        return true;
      any_evacuated = true;
    }
  return !any_evacuated;
}
