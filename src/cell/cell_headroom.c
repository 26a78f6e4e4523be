/* Room that is kept free for short urgent work: what arrives and ends, and how
 * much free room there is. */
#include "cell_private.h"

/* All slots are counted anew after this time, since servers become usable and
 * unusable in between. */
#define COUNT_PERIOD_US COLT_US_PER_S

static void count_slots_ (struct ColtCellPool *pool, int64_t now_us);
static bool get_wait_ (const struct ColtCellStep *step,
                       int64_t now_us,
                       struct ColtHeadroomWait *wait);

/* Urgent work that may run on some servers only can't use all of their room. */
void
colt_cell_note_urgent (struct ColtCell *cell, struct ColtCellStep *step)
{
  const struct ColtQueueConfig *config = step->job->queue->config;
  struct ColtHeadroomWork work;
  struct ColtCellPool *pool;

  if (!cell->limits.keeps_headroom || cell->now_us == 0 || config == NULL
      || config->advised || step->spec->lasting || step->spec->gang
      || step->spec->required_label[0] != '\0')
    return;
  work.demand = step->demand;
  work.tasks = step->waiting;
  work.task_us = colt_cell_step_us (step);
  work.slack_us = colt_cell_objective_slack_us (step->job);
  if (!colt_headroom_is_urgent (config->priority,
                                colt_cell_chain_us (step->job), work.slack_us))
    return;
  pool = colt_cell_get_pool (cell, config->service);
  if (pool->headroom == NULL)
    pool->headroom = colt_headroom_create ();
  if (colt_headroom_add_urgent (pool->headroom, &work, cell->now_us))
    pool->slots_counted_us = 0;
  step->urgent = true;
}

void
colt_cell_begin_headroom (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter pools;
  gpointer value;

  if (!cell->limits.keeps_headroom)
    return;
  cell->stats.kept_slots = 0;
  g_hash_table_iter_init (&pools, cell->pools);
  while (g_hash_table_iter_next (&pools, NULL, &value))
    {
      struct ColtCellPool *pool = value;

      if (pool->headroom == NULL)
        continue;
      if (pool->slots_counted_us == 0
          || now_us - pool->slots_counted_us >= COUNT_PERIOD_US)
        count_slots_ (pool, now_us);
      pool->kept_slots
          = colt_headroom_needed (pool->headroom, pool->total_slots, now_us);
      cell->stats.kept_slots += pool->kept_slots;
    }
}

void
colt_cell_update_slots (struct ColtCellServer *server)
{
  struct ColtCellPool *pool = server->pool;
  uint32_t slots;

  if (pool == NULL || pool->headroom == NULL || !server->has_slots)
    return;
  slots = colt_headroom_count_slots (pool->headroom, &server->room,
                                     &server->used);
  pool->slots += (int64_t)slots - server->slots;
  server->slots = slots;
}

void
colt_cell_note_urgent_run (struct ColtCellRun *run)
{
  const struct ColtCellPool *pool = run->server->pool;

  if (pool == NULL || pool->headroom == NULL || !run->task->step->urgent)
    return;
  run->headroom = pool->headroom;
  colt_headroom_add_run (run->headroom);
}

void
colt_cell_note_urgent_end (const struct ColtCellRun *run)
{
  if (run->headroom != NULL)
    colt_headroom_end_run (run->headroom);
}

void
colt_cell_note_waiting (const struct ColtCellStep *step)
{
  const struct ColtCellPool *pool = step->job->queue->pool;
  struct ColtHeadroomWait wait;

  if (pool->headroom == NULL || step->waiting == 0
      || !get_wait_ (step, 0, &wait))
    return;
  colt_headroom_add_waiting (pool->headroom, &step->demand,
                             step->waiting * (double)colt_cell_step_us (step)
                                 / COLT_US_PER_S,
                             wait.slack_us);
}

/* Advice isn't requested for a step that is held back: its tickets would
 * expire. Otherwise the step may use room that urgent work has no use for. */
bool
colt_cell_holds_back (const struct ColtCellStep *step,
                      const struct ColtCellServer *server,
                      int64_t now_us)
{
  const struct ColtCellPool *pool = step->job->queue->pool;
  struct ColtHeadroomWait wait;
  struct ColtResources used;
  int64_t taken;

  if (pool->headroom == NULL || pool->kept_slots == 0
      || !get_wait_ (step, now_us, &wait) || !colt_headroom_may_wait (&wait))
    return false;
  if (server == NULL)
    return step->job->queue->config->advised
           && pool->slots <= (int64_t)pool->kept_slots;
  used = server->used;
  colt_resources_add (&used, &step->demand);
  taken = (int64_t)colt_headroom_count_slots (pool->headroom, &server->room,
                                              &server->used)
          - colt_headroom_count_slots (pool->headroom, &server->room, &used);
  return taken > 0 && pool->slots - taken < (int64_t)pool->kept_slots;
}

static void
count_slots_ (struct ColtCellPool *pool, int64_t now_us)
{
  static const struct ColtResources none;
  guint i;

  pool->slots = 0;
  pool->total_slots = 0;
  pool->slots_counted_us = now_us;
  for (i = 0; i < pool->servers->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (pool->servers, i);

      server->has_slots = colt_cell_is_usable (server, now_us);
      server->slots = 0;
      if (!server->has_slots)
        continue;
      pool->total_slots
          += colt_headroom_count_slots (pool->headroom, &server->room, &none);
      colt_cell_update_slots (server);
    }
}

/* Gets how long a step can wait. Returns false if it is urgent itself, its
 * objective leaves little slack, or it isn't to be held back anyhow. */
static bool
get_wait_ (const struct ColtCellStep *step,
           int64_t now_us,
           struct ColtHeadroomWait *wait)
{
  const struct ColtQueueConfig *config = step->job->queue->config;

  if (config == NULL || config->priority == 0 || step->spec->lasting
      || step->spec->gang)
    return false;
  wait->chain_us = colt_cell_chain_us (step->job);
  wait->slack_us = colt_cell_objective_slack_us (step->job);
  wait->left_us = colt_cell_slack_left_us (step, now_us);
  return colt_headroom_has_slack (config->priority, wait->chain_us,
                                  wait->slack_us);
}
