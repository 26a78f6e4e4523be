#include <string.h>

#include "cell_private.h"

/* Starts of one task that a server on probation gets at a time. */
#define PROBATION_RUNS 1

/* What a server's slowness counts against its fullness, for an objective of
 * just the chain of work. */
#define SPEED_VALUE 30.0

/* Length of the text that tells servers of a step's tasks; more are cut. */
#define PLAN_TEXT_MAX 400

struct ColtChoice
{
  struct ColtCellServer *server;
  double score;
};

const char *const colt_cell_hold_string[]
    = { "none",    "no service", "paused",     "unsettled", "limit",
        "no room", "advice",     "no adviser", "gang" };

const char *const colt_cell_rank_string[]
    = { "lasting", "timely", "excess", "late", "worthless" };

static void rank_steps_ (struct ColtCell *cell, int64_t now_us);
static int compare_steps_ (gconstpointer a, gconstpointer b);
static uint32_t priority_of_ (const struct ColtCellStep *step);
static void
place_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us);
static bool is_for_advice_ (enum ColtCellHold held);
static void hold_ (struct ColtCell *cell,
                   struct ColtCellStep *step,
                   enum ColtCellHold held);
static void place_tasks_ (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          struct ColtCellPool *pool,
                          int64_t now_us);
static void place_gang_ (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         struct ColtCellPool *pool,
                         int64_t now_us);
static bool fill_gang_ (struct ColtCellStep *step,
                        const struct ColtCellPool *pool,
                        bool ticketed,
                        struct ColtCellServer **servers,
                        int64_t now_us);
static void plan_gang_ (struct ColtCell *cell,
                        struct ColtCellStep *step,
                        struct ColtCellServer *const *servers,
                        int64_t now_us);
static void keep_ (struct ColtCell *cell,
                   const struct ColtCellStep *step,
                   struct ColtCellServer *const *servers);
static void give_back_kept_ (struct ColtCell *cell);
static double fullness_ (const struct ColtCellServer *server);
static bool within_limit_ (const struct ColtCell *cell,
                           const struct ColtCellStep *step,
                           uint32_t tasks);
static uint32_t count_of_step_ (const struct ColtCellServer *server,
                                const struct ColtCellStep *step);
static struct ColtCellServer *choose_ (const struct ColtCellStep *step,
                                       const struct ColtCellTask *task,
                                       const struct ColtCellPool *pool,
                                       bool ticketed,
                                       int64_t now_us);
static double score_ (const struct ColtCellStep *step,
                      const struct ColtCellTask *task,
                      const struct ColtCellServer *server);
static void plan_ (struct ColtCell *cell,
                   struct ColtCellTask *task,
                   struct ColtCellServer *server,
                   uint32_t number,
                   int64_t now_us);
static void note_plan_ (GString *plan, const struct ColtCellTask *task);
static void
tell_plan_ (struct ColtCell *cell, struct ColtCellStep *step, GString *plan);
static uint32_t next_run_ (const struct ColtCell *cell,
                           const struct ColtCellTask *task);

void
colt_cell_place (struct ColtCell *cell, int64_t now_us, int64_t wall_ms)
{
  guint i;

  cell->wall_ms = wall_ms;
  colt_cell_rescue (cell, now_us);
  colt_cell_sweep_open (cell);
  rank_steps_ (cell, now_us);
  g_ptr_array_sort (cell->open, compare_steps_);
  for (i = 0; i < cell->open->len; i++)
    place_step_ (cell, g_ptr_array_index (cell->open, i), now_us);
  colt_cell_ask_advice (cell, now_us);
  give_back_kept_ (cell);
}

/* Removes steps that have nothing to start. */
void
colt_cell_sweep_open (struct ColtCell *cell)
{
  guint kept = 0;
  guint i;

  for (i = 0; i < cell->open->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->open, i);

      if (step->waiting == 0 || colt_cell_is_ended (step->job))
        step->open = false;
      else
        cell->open->pdata[kept++] = step;
    }
  g_ptr_array_set_size (cell->open, (gint)kept);
}

bool
colt_cell_is_usable (const struct ColtCellServer *server, int64_t now_us)
{
  if (!server->listed || !server->ready || !server->reported || server->dark
      || server->foreign > 0)
    return false;
  if (now_us < server->avoid_until_us)
    return false;
  return server->probations == 0 || server->runs->len < PROBATION_RUNS;
}

bool
colt_cell_allows (const struct ColtCellStep *step,
                  const struct ColtCellServer *server)
{
  const char *label = step->spec->required_label;

  if (label[0] != '\0'
      && (server->labels == NULL
          || !g_strv_contains ((const char *const *)server->labels, label)))
    return false;
  return step->spec->max_per_server == 0
         || count_of_step_ (server, step) < step->spec->max_per_server;
}

bool
colt_cell_fits (const struct ColtCellStep *step,
                const struct ColtCellServer *server)
{
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    if (step->demand.amount[r] > 0
        && server->used.amount[r] + step->demand.amount[r]
               > server->room.amount[r])
      return false;
  return true;
}

void
colt_cell_order_run (struct ColtCell *cell,
                     struct ColtCellRun *run,
                     int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  struct ColtCellStep *step = task->step;
  const struct ColtCellAdvice *advice
      = colt_cell_find_ticket (step, run->server, now_us);
  char name[TASK_NAME_SIZE];
  struct ColtStartOrder order = { 0 };

  if (!run->server->reported || run->server->dark || !run->server->ready
      || (advice == NULL && step->job->queue->config->advised))
    {
      colt_cell_end_run (cell, run, COLT_RUN_STOPPED, NULL, now_us);
      return;
    }
  run->state = RUN_STARTING;
  run->ordered_us = now_us;
  colt_cell_name_task (task, name);
  order.server = run->server->id;
  order.task = name;
  order.run = run->run;
  order.payload = step->job->spec->payload;
  order.checkpoint = task->checkpoint != NULL ? task->checkpoint : "";
  order.ticket = advice != NULL ? advice->ticket : NULL;
  cell->ops->start (cell->client, &order);
}

/* An earlier lead's order for it may be carried out yet. */
bool
colt_cell_is_held (const struct ColtCell *cell, const struct ColtCellTask *task)
{
  return !cell->settled && task->held_by != NULL && task->held_by->awaited;
}

static void
rank_steps_ (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter q;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&q, cell->queues);
  while (g_hash_table_iter_next (&q, NULL, &value))
    ((struct ColtCellQueue *)value)->behind = false;
  for (i = 0; i < cell->open->len; i++)
    colt_cell_rank (g_ptr_array_index (cell->open, i), now_us);
  g_hash_table_iter_init (&q, cell->queues);
  while (g_hash_table_iter_next (&q, NULL, &value))
    ((struct ColtCellQueue *)value)->was_behind
        = ((struct ColtCellQueue *)value)->behind;
}

/* What has begun goes on; while a queue is behind, the jobs that came last
 * have the best chance to meet their objective. */
static int
compare_steps_ (gconstpointer a, gconstpointer b)
{
  const struct ColtCellStep *left = *(struct ColtCellStep *const *)a;
  const struct ColtCellStep *right = *(struct ColtCellStep *const *)b;
  uint32_t left_priority = priority_of_ (left);
  uint32_t right_priority = priority_of_ (right);
  int order = left->job->order < right->job->order ? -1 : 1;

  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  if (left_priority != right_priority)
    return left_priority < right_priority ? -1 : 1;
  if (left->job->begun != right->job->begun)
    return left->job->begun ? -1 : 1;
  if (left->job == right->job)
    return left->number < right->number ? -1 : 1;
  if (!left->job->begun && left->job->queue == right->job->queue
      && left->job->queue->was_behind)
    return -order;
  return order;
}

static uint32_t
priority_of_ (const struct ColtCellStep *step)
{
  const struct ColtQueueConfig *config = step->job->queue->config;

  return config != NULL ? config->priority : UINT32_MAX;
}

static void
place_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us)
{
  const struct ColtQueueConfig *config = step->job->queue->config;
  struct ColtCellPool *pool = NULL;

  if (step->waiting == 0 || colt_cell_is_ended (step->job))
    return;
  if (config != NULL)
    pool = g_hash_table_lookup (cell->pools, config->service);
  if (pool == NULL)
    hold_ (cell, step, HOLD_NO_SERVICE);
  else if (now_us < step->not_before_us)
    hold_ (cell, step, HOLD_PAUSED);
  else if (step->spec->gang)
    place_gang_ (cell, step, pool, now_us);
  else
    place_tasks_ (cell, step, pool, now_us);
}

static bool
is_for_advice_ (enum ColtCellHold held)
{
  return held == HOLD_ADVICE || held == HOLD_NO_ADVISER;
}

/* The reasons why a job waits stand in the log, each once. */
static void
hold_ (struct ColtCell *cell, struct ColtCellStep *step, enum ColtCellHold held)
{
  char detail[TASK_NAME_SIZE];

  bool same = step->held == held
              || (is_for_advice_ (step->held) && is_for_advice_ (held));

  step->held = held;
  if (same)
    return;
  g_snprintf (detail, sizeof detail, "%u.%u: %s, %u tasks", step->occurrence,
              step->number, colt_cell_hold_string[held], step->waiting);
  cell->ops->decided (cell->client, step->job->id, "step held", detail);
}

static void
place_tasks_ (struct ColtCell *cell,
              struct ColtCellStep *step,
              struct ColtCellPool *pool,
              int64_t now_us)
{
  GString *plan = g_string_new (NULL);
  uint32_t i;

  for (i = 0; i < step->spec->count && step->waiting > 0; i++)
    {
      struct ColtCellTask *task = &step->tasks[i];
      struct ColtCellServer *server;

      if (task->done || task->current != NULL)
        continue;
      if (colt_cell_is_held (cell, task))
        {
          hold_ (cell, step, HOLD_UNSETTLED);
          continue;
        }
      if (!within_limit_ (cell, step, 1))
        {
          hold_ (cell, step, HOLD_LIMIT);
          break;
        }
      server = choose_ (step, task, pool, true, now_us);
      if (server == NULL)
        {
          hold_ (cell, step, colt_cell_want_advice (cell, step, pool, now_us));
          break;
        }
      plan_ (cell, task, server, next_run_ (cell, task), now_us);
      note_plan_ (plan, task);
    }
  tell_plan_ (cell, step, plan);
}

/* All tasks of a gang start together: room is taken for each in turn, and
 * given back if one doesn't fit. */
static void
place_gang_ (struct ColtCell *cell,
             struct ColtCellStep *step,
             struct ColtCellPool *pool,
             int64_t now_us)
{
  uint32_t count = step->spec->count;
  struct ColtCellServer **servers;
  uint32_t i;

  if (step->live > 0 || step->done > 0)
    {
      colt_cell_stop_step (cell, step, now_us);
      hold_ (cell, step, HOLD_GANG);
      return;
    }
  for (i = 0; i < count; i++)
    if (colt_cell_is_held (cell, &step->tasks[i]))
      {
        hold_ (cell, step, HOLD_UNSETTLED);
        return;
      }
  if (!within_limit_ (cell, step, count))
    {
      hold_ (cell, step, HOLD_LIMIT);
      return;
    }
  servers = g_new0 (struct ColtCellServer *, count);
  if (fill_gang_ (step, pool, true, servers, now_us))
    plan_gang_ (cell, step, servers, now_us);
  else if (!step->job->queue->config->advised)
    hold_ (cell, step, HOLD_NO_ROOM);
  else if (step->advice_pending && step->wanted != NULL)
    {
      keep_ (cell, step, (struct ColtCellServer *const *)step->wanted->pdata);
      hold_ (cell, step, HOLD_ADVICE);
    }
  else if (fill_gang_ (step, pool, false, servers, now_us))
    {
      keep_ (cell, step, servers);
      hold_ (cell, step, colt_cell_want_tickets (cell, step, servers));
    }
  else
    hold_ (cell, step, colt_cell_want_servers (cell, step, pool, now_us));
  g_free (servers);
}

/* Finds a server for each task of a gang: with a ticket, or one that is known
 * to get one. Returns false if there aren't enough. */
static bool
fill_gang_ (struct ColtCellStep *step,
            const struct ColtCellPool *pool,
            bool ticketed,
            struct ColtCellServer **servers,
            int64_t now_us)
{
  uint32_t count = step->spec->count;
  uint32_t placed;
  uint32_t i;

  for (placed = 0; placed < count; placed++)
    {
      servers[placed]
          = choose_ (step, &step->tasks[placed], pool, ticketed, now_us);
      if (servers[placed] == NULL)
        break;
      colt_resources_add (&servers[placed]->used, &step->demand);
    }
  for (i = 0; i < placed; i++)
    colt_resources_subtract (&servers[i]->used, &step->demand);
  return placed == count;
}

static void
plan_gang_ (struct ColtCell *cell,
            struct ColtCellStep *step,
            struct ColtCellServer *const *servers,
            int64_t now_us)
{
  GString *plan = g_string_new (NULL);
  uint32_t number = 0;
  uint32_t i;

  g_clear_pointer (&step->wanted, g_ptr_array_unref);
  for (i = 0; i < step->spec->count; i++)
    number = MAX (number, next_run_ (cell, &step->tasks[i]));
  for (i = 0; i < step->spec->count; i++)
    {
      plan_ (cell, &step->tasks[i], servers[i], number, now_us);
      note_plan_ (plan, &step->tasks[i]);
    }
  tell_plan_ (cell, step, plan);
}

/* Keeps room for a gang from the steps after it in this pass. */
static void
keep_ (struct ColtCell *cell,
       const struct ColtCellStep *step,
       struct ColtCellServer *const *servers)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      const struct ColtCellKept kept = { servers[i], &step->demand };

      if (servers[i] == NULL || !colt_cell_fits (step, servers[i]))
        continue;
      colt_resources_add (&servers[i]->used, &step->demand);
      g_array_append_val (cell->kept, kept);
    }
}

static void
give_back_kept_ (struct ColtCell *cell)
{
  guint i;

  for (i = 0; i < cell->kept->len; i++)
    {
      const struct ColtCellKept *kept
          = &g_array_index (cell->kept, struct ColtCellKept, i);

      colt_resources_subtract (&kept->server->used, kept->demand);
    }
  g_array_set_size (cell->kept, 0);
}

/* Sum of the parts of a server's room that are used. */
static double
fullness_ (const struct ColtCellServer *server)
{
  double sum = 0;
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    if (server->room.amount[r] > 0)
      sum += (double)server->used.amount[r] / (double)server->room.amount[r];
  return sum;
}

/* An amount of 0 in a limit means that there is none. */
static bool
within_limit_ (const struct ColtCell *cell,
               const struct ColtCellStep *step,
               uint32_t tasks)
{
  const struct ColtCellOrganisation *organisation = step->job->organisation;
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    {
      int64_t wanted
          = organisation->used.amount[r] + tasks * step->demand.amount[r];

      if (!cell->settled)
        wanted += MAX (organisation->unknown.amount[r], 0);
      if (organisation->maximum.amount[r] > 0
          && wanted > organisation->maximum.amount[r])
        return false;
    }
  return true;
}

static uint32_t
count_of_step_ (const struct ColtCellServer *server,
                const struct ColtCellStep *step)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtCellRun *run = g_ptr_array_index (server->runs, i);

      if (run->task->step == step)
        count++;
    }
  return count;
}

static struct ColtCellServer *
choose_ (const struct ColtCellStep *step,
         const struct ColtCellTask *task,
         const struct ColtCellPool *pool,
         bool ticketed,
         int64_t now_us)
{
  struct ColtChoice best = { NULL, 0 };
  bool advised = step->job->queue->config->advised;
  guint i;

  for (i = 0; i < pool->servers->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (pool->servers, i);
      double score;

      if (!colt_cell_is_usable (server, now_us)
          || !colt_cell_fits (step, server) || !colt_cell_allows (step, server)
          || (advised
              && (ticketed
                      ? colt_cell_find_ticket (step, server, now_us) == NULL
                      : !colt_cell_is_known_good (step, server))))
        continue;
      score = score_ (step, task, server);
      if (best.server == NULL || score > best.score)
        {
          best.server = server;
          best.score = score;
        }
    }
  return best.server;
}

/* Prefers the data's rack, another server than the one that had the task
 * before, a fast server the more the tighter the objective is, and the fullest
 * server, so that room for wide tasks stays. */
static double
score_ (const struct ColtCellStep *step,
        const struct ColtCellTask *task,
        const struct ColtCellServer *server)
{
  double stretch = MAX (step->job->queue->config->stretch, 1);
  double score
      = -SPEED_VALUE / (stretch * stretch) * (colt_cell_slowness (server) - 1);

  score += fullness_ (server);
  if (step->spec->data_rack[0] != '\0'
      && g_strcmp0 (step->spec->data_rack, server->rack) == 0)
    score += 10;
  if (task->last_server == server)
    score -= 5;
  return score;
}

/* A start is ordered once a later lead would know where the task may run. */
static void
plan_ (struct ColtCell *cell,
       struct ColtCellTask *task,
       struct ColtCellServer *server,
       uint32_t number,
       int64_t now_us)
{
  colt_cell_add_run (cell, task, server, number, now_us);
  task->held_by = NULL;
  task->step->advice_calls = 0;
  task->step->advice_from_us = 0;
}

static void
note_plan_ (GString *plan, const struct ColtCellTask *task)
{
  if (plan->len < PLAN_TEXT_MAX)
    g_string_append_printf (plan, " %u@%s/%u", task->index,
                            task->current->server->id, task->current->run);
}

/* One line for all tasks of a step that were given a server in a pass. */
static void
tell_plan_ (struct ColtCell *cell, struct ColtCellStep *step, GString *plan)
{
  char *detail;

  if (plan->len > 0)
    {
      step->held = HOLD_NONE;
      detail = g_strdup_printf ("%u.%u, %s, %u wait:%s", step->occurrence,
                                step->number, colt_cell_rank_string[step->rank],
                                step->waiting, plan->str);
      cell->ops->decided (cell->client, step->job->id, "tasks planned", detail);
      g_free (detail);
    }
  g_string_free (plan, TRUE);
}

static uint32_t
next_run_ (const struct ColtCell *cell, const struct ColtCellTask *task)
{
  uint32_t base = task->step->job->inherited
                      ? cell->generation * COLT_CELL_RUNS_PER_LEAD
                      : 0;

  return MAX (task->last_run, base) + 1;
}
