#include "cell_private.h"

static void clear_pools_ (struct ColtCell *cell);
static void note_demand_ (struct ColtCellPool *pool,
                          const struct ColtResources *demand);
static bool has_least_room_ (const struct ColtCellPool *pool,
                             const struct ColtCellServer *server);

void
colt_cell_begin_room (struct ColtCell *cell)
{
  guint i;

  clear_pools_ (cell);
  for (i = 0; i < cell->open_steps->len; i++)
    {
      const struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, i);

      if (step->job->queue->pool != NULL)
        note_demand_ (step->job->queue->pool, &step->demand);
    }
}

const GPtrArray *
colt_cell_list_with_room (struct ColtCellPool *pool,
                          const struct ColtCellStep *step,
                          int64_t now_us)
{
  guint i;

  /* The step may have been opened during the pass. */
  if (!colt_resources_fit (&pool->least, &step->demand))
    return pool->servers;
  if (pool->with_room != NULL)
    return pool->with_room;
  pool->with_room = g_ptr_array_sized_new (pool->servers->len);
  for (i = 0; i < pool->servers->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (pool->servers, i);

      if (has_least_room_ (pool, server)
          && colt_cell_is_usable (server, now_us))
        g_ptr_array_add (pool->with_room, server);
    }
  return pool->with_room;
}

bool
colt_cell_count_searched (struct ColtCellPool *pool, guint searched)
{
  pool->searched += searched;
  return pool->with_room != NULL || pool->searched > pool->servers->len;
}

void
colt_cell_forget_with_room (struct ColtCellPool *pool)
{
  g_clear_pointer (&pool->with_room, g_ptr_array_unref);
}

void
colt_cell_end_room (struct ColtCell *cell)
{
  clear_pools_ (cell);
}

static void
clear_pools_ (struct ColtCell *cell)
{
  GHashTableIter i;
  gpointer value;
  int r;

  g_hash_table_iter_init (&i, cell->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellPool *pool = value;

      pool->is_full = false;
      pool->searched = 0;
      for (r = 0; r < COLT_RESOURCE_COUNT; r++)
        pool->least.amount[r] = INT64_MAX;
      colt_cell_forget_with_room (pool);
    }
}

static void
note_demand_ (struct ColtCellPool *pool, const struct ColtResources *demand)
{
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    pool->least.amount[r] = MIN (pool->least.amount[r], demand->amount[r]);
}

static bool
has_least_room_ (const struct ColtCellPool *pool,
                 const struct ColtCellServer *server)
{
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    if (pool->least.amount[r] > 0
        && server->used.amount[r] + pool->least.amount[r]
               > server->room.amount[r])
      return false;
  return true;
}
