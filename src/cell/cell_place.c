#include <string.h>

#include "cell_backfill.h"
#include "cell_zones.h"

/* Weight of a server's slowness against its fullness, for a job whose objective
 * equals its longest chain of steps. */
#define SLOWNESS_PENALTY 30.0
/* What the score of a cold server is lowered by; more than any other term, so
 * that warm servers are chosen first. */
#define COLD_PENALTY 10000.0

/* Length in bytes at which the logged list of planned runs is cut. */
#define PLAN_TEXT_MAX 400

struct ColtChoice
{
  struct ColtCellServer *server;
  double score;
};

const char *const colt_cell_block_string[] = {
  "none",   "no service", "paused", "unsettled", "limit",     "no room",
  "advice", "no adviser", "gang",   "orders",    "evacuated", "reserved"
};

const char *const colt_cell_rank_string[]
    = { "lasting", "timely", "excess", "late", "worthless" };

static bool has_required_label_ (const struct ColtCellStep *step,
                                 const struct ColtCellServer *server);
static bool has_room_for_ (const struct ColtCellStep *step,
                           const struct ColtCellServer *server,
                           bool added);
static void rank_steps_ (struct ColtCell *cell, int64_t now_us);
static void
place_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us);
static bool is_short_block_ (enum ColtCellBlock block);
static uint32_t count_on_probation_ (const struct ColtCell *cell,
                                     const struct ColtCellStep *step);
static void place_tasks_ (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          struct ColtCellPool *pool,
                          int64_t now_us);
static GPtrArray *list_advised_ (const struct ColtCellStep *step,
                                 const struct ColtCellPool *pool,
                                 int64_t ticket_us,
                                 int64_t now_us);
static bool is_eligible_ (const struct ColtCellStep *step,
                          const struct ColtCellServer *server,
                          int64_t now_us);
static void add_eligible_ (GPtrArray **eligible, struct ColtCellServer *server);
static double fullness_ (const struct ColtCellServer *server);
static uint32_t count_step_runs_ (const struct ColtCellServer *server,
                                  const struct ColtCellStep *step);
static void consider_server_ (struct ColtChoice *best,
                              const struct ColtCellStep *step,
                              const struct ColtCellTask *task,
                              struct ColtCellServer *server,
                              int64_t now_us);
static double score_server_ (const struct ColtCellStep *step,
                             const struct ColtCellTask *task,
                             struct ColtCellServer *server,
                             int64_t now_us);

void
colt_cell_place_tasks (struct ColtCell *cell, int64_t now_us, int64_t wall_ms)
{
  guint i;

  cell->wall_ms = wall_ms;
  cell->now_us = now_us;
  /* The limits of organisations are in the configuration. */
  if (cell->fleet == NULL || now_us > cell->order_until_us)
    return;
  cell->passes++;
  colt_cell_move_stragglers (cell, now_us);
  colt_cell_close_steps (cell);
  rank_steps_ (cell, now_us);
  colt_cell_begin_room (cell);
  colt_cell_begin_plans (cell);
  colt_cell_sort_steps (cell);
  for (i = 0; i < cell->open_steps->len; i++)
    place_step_ (cell, g_ptr_array_index (cell->open_steps, i), now_us);
  colt_cell_send_advice_calls (cell, now_us);
  colt_cell_end_room (cell);
  colt_cell_release_reservations (cell);
  colt_cell_end_forecast_pass (cell, now_us);
}

void
colt_cell_set_start_budget (struct ColtCell *cell, uint32_t starts)
{
  cell->start_budget = starts;
}

/* Removes steps without waiting tasks from open_steps. */
void
colt_cell_close_steps (struct ColtCell *cell)
{
  guint kept = 0;
  guint i;

  for (i = 0; i < cell->open_steps->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, i);

      if (step->waiting == 0 || colt_cell_is_ended (step->job))
        step->open = false;
      else
        cell->open_steps->pdata[kept++] = step;
    }
  g_ptr_array_set_size (cell->open_steps, (gint)kept);
}

bool
colt_cell_is_usable (const struct ColtCellServer *server, int64_t now_us)
{
  if (!server->listed || !server->ready || !server->reported
      || server->unreachable || server->suspected || server->foreign_runs > 0
      || server->quarantined_runs > 0 || server->evacuated)
    return false;
  return colt_cell_may_probe (server, now_us);
}

bool
colt_cell_meets_constraints (const struct ColtCellStep *step,
                             const struct ColtCellServer *server)
{
  return has_required_label_ (step, server)
         && (step->spec->max_per_server == 0
             || count_step_runs_ (server, step) < step->spec->max_per_server);
}

/* A later incarnation than the one that the server's entry shows may be of
 * another kind. */
static bool
has_required_label_ (const struct ColtCellStep *step,
                     const struct ColtCellServer *server)
{
  const char *label = step->spec->required_label;

  if (label[0] == '\0')
    return true;
  return server->labels != NULL
         && g_strv_contains ((const char *const *)server->labels, label)
         && (server->entry_incarnation_ms == 0
             || server->entry_incarnation_ms >= server->incarnation_ms);
}

bool
colt_cell_fits (const struct ColtCellStep *step,
                const struct ColtCellServer *server)
{
  return has_room_for_ (step, server, true);
}

bool
colt_cell_is_warm_enough (const struct ColtCellStep *step,
                          const struct ColtCellServer *server,
                          int64_t now_us)
{
  return colt_cold_ramp_allows (&server->cold, &step->demand, &server->used,
                                &server->room, now_us);
}

void
colt_cell_send_start (struct ColtCell *cell,
                      struct ColtCellRun *run,
                      int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  struct ColtCellStep *step = task->step;
  const struct ColtCellAdvice *advice
      = colt_cell_find_ticket (step, run->server, now_us);
  char name[TASK_NAME_SIZE];
  struct ColtStartOrder order = { 0 };

  /* The server's room may have shrunk since the run was planned. */
  if (!colt_cell_may_order (cell, run->server, now_us) || !run->server->reported
      || run->server->unreachable || run->server->suspected
      || !run->server->ready || !has_room_for_ (step, run->server, false)
      || !has_required_label_ (step, run->server)
      || (advice == NULL && step->job->queue->config->advised))
    {
      if (advice == NULL && step->job->queue->config->advised)
        cell->stats.expired_tickets++;
      colt_cell_end_run (cell, run, COLT_RUN_STOPPED, NULL, now_us);
      return;
    }
  run->state = RUN_STARTING;
  run->ordered_us = now_us;
  colt_cell_format_task_name (task, name);
  order.server = run->server->id;
  order.task = name;
  order.run = run->run;
  order.payload = step->job->spec->payload;
  order.checkpoint = task->checkpoint != NULL ? task->checkpoint : "";
  order.ticket = advice != NULL ? advice->ticket : NULL;
  cell->ops->start (cell->client, &order);
}

/* Returns whether the task may run on a server under an order of an earlier
 * leader. */
bool
colt_cell_may_already_run (const struct ColtCell *cell,
                           const struct ColtCellTask *task)
{
  return !cell->settled && task->earlier_server != NULL
         && task->earlier_server->awaited;
}

/* Sets why a step is blocked and logs a new reason once. The reasons that
 * concern advice and the budget of starts alternate from pass to pass and are
 * logged as one. */
void
colt_cell_set_block (struct ColtCell *cell,
                     struct ColtCellStep *step,
                     enum ColtCellBlock block)
{
  char detail[2 * TASK_NAME_SIZE];
  bool same = step->block == block
              || (is_short_block_ (step->block) && is_short_block_ (block));

  step->block = block;
  colt_cell_count_block (cell, step, block);
  if (same)
    return;
  g_snprintf (detail, sizeof detail,
              "%u.%u: %s, %u tasks, %u servers on probation", step->occurrence,
              step->number, colt_cell_block_string[block], step->waiting,
              count_on_probation_ (cell, step));
  cell->ops->log_decision (cell->client, step->job->id, "step blocked", detail);
}

/* Returns how many servers of the step's service get less work than fits, or
 * none, because of failures. */
static uint32_t
count_on_probation_ (const struct ColtCell *cell,
                     const struct ColtCellStep *step)
{
  const struct ColtQueueConfig *config = step->job->queue->config;
  const struct ColtCellPool *pool
      = config != NULL ? g_hash_table_lookup (cell->pools, config->service)
                       : NULL;
  uint32_t count = 0;
  guint i;

  for (i = 0; pool != NULL && i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);

      count += server->probations > 0;
    }
  return count;
}

/* Returns whether more tasks of a step stay within the limit of their
 * organisation; an amount of 0 means no limit. */
bool
colt_cell_is_within_limit (const struct ColtCell *cell,
                           const struct ColtCellStep *step,
                           uint32_t tasks)
{
  const struct ColtCellOrganisation *organisation = step->job->organisation;
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    {
      int64_t demand
          = organisation->used.amount[r] + tasks * step->demand.amount[r];

      if (!cell->settled)
        demand += MAX (organisation->unsettled_demand.amount[r], 0);
      if (organisation->maximum.amount[r] > 0
          && demand > organisation->maximum.amount[r])
        return false;
    }
  return true;
}

/* An advised step may only run on servers that it has advice on, which are far
 * fewer than all servers of the pool; fewer still may have room. */
GPtrArray *
colt_cell_list_eligible (const struct ColtCellStep *step,
                         struct ColtCellPool *pool,
                         bool ticketed,
                         int64_t now_us)
{
  bool advised = step->job->queue->config->advised;
  int64_t ticket_us = ticketed ? now_us : INT64_MIN;
  GPtrArray *eligible = NULL;
  const GPtrArray *with_room;
  guint count = g_hash_table_size (step->advice);
  guint i;

  if (advised
      && (count == 0
          || (ticketed && !colt_cell_may_have_ticket (step, now_us))))
    return NULL;
  if (advised && !colt_cell_count_searched (pool, count))
    return list_advised_ (step, pool, ticket_us, now_us);
  with_room = colt_cell_list_with_room (pool, step, now_us);
  if (advised && count < with_room->len)
    return list_advised_ (step, pool, ticket_us, now_us);
  for (i = 0; i < with_room->len; i++)
    {
      struct ColtCellServer *server = g_ptr_array_index (with_room, i);
      const struct ColtCellAdvice *advice;

      if (!is_eligible_ (step, server, now_us))
        continue;
      advice = advised ? g_hash_table_lookup (step->advice, server) : NULL;
      if (!advised
          || (advice != NULL
              && colt_cell_is_suitable (advice, server, ticket_us)))
        add_eligible_ (&eligible, server);
    }
  return eligible;
}

struct ColtCellServer *
colt_cell_choose_server (const GPtrArray *eligible,
                         const struct ColtCellStep *step,
                         const struct ColtCellTask *task,
                         int64_t now_us)
{
  struct ColtChoice best = { NULL, 0 };
  guint i;

  for (i = 0; eligible != NULL && i < eligible->len; i++)
    consider_server_ (&best, step, task, g_ptr_array_index (eligible, i),
                      now_us);
  return best.server;
}

/* Plans a run. Its start is ordered only once its record is durable, so that a
 * later leader can find the server on which the task may run. */
void
colt_cell_plan_run (struct ColtCell *cell,
                    struct ColtCellTask *task,
                    struct ColtCellServer *server,
                    uint32_t number,
                    int64_t now_us)
{
  colt_cell_use_held (colt_cell_add_run (cell, task, server, number, now_us),
                      now_us);
  cell->start_budget -= MIN (cell->start_budget, 1);
  cell->stats.planned++;
  task->step->fruitless_calls = 0;
  task->step->next_advice_us = 0;
}

void
colt_cell_append_plan (GString **plan, const struct ColtCellTask *task)
{
  if (*plan == NULL)
    *plan = g_string_new (NULL);
  if ((*plan)->len < PLAN_TEXT_MAX)
    g_string_append_printf (*plan, " %u@%s/%u", task->index,
                            task->current->server->id, task->current->run);
}

/* Logs one line for all tasks of a step that were placed in a pass; the plan is
 * NULL if there are none. */
void
colt_cell_log_plan (struct ColtCell *cell,
                    struct ColtCellStep *step,
                    GString *plan)
{
  char *detail;

  if (plan == NULL)
    return;
  step->block = BLOCK_NONE;
  detail = g_strdup_printf ("%u.%u, %s, %u waiting:%s", step->occurrence,
                            step->number, colt_cell_rank_string[step->rank],
                            step->waiting, plan->str);
  cell->ops->log_decision (cell->client, step->job->id, "tasks planned",
                           detail);
  g_free (detail);
  g_string_free (plan, TRUE);
}

uint32_t
colt_cell_next_run_number (const struct ColtCell *cell,
                           const struct ColtCellTask *task)
{
  uint32_t base = task->step->job->inherited
                      ? cell->generation * COLT_CELL_RUNS_PER_LEADER
                      : 0;

  return MAX (task->last_run, base) + 1;
}

/* Returns whether the room of a server suffices for what is used and, if added
 * is true, one more task of the step, in the resources that the step needs. */
static bool
has_room_for_ (const struct ColtCellStep *step,
               const struct ColtCellServer *server,
               bool added)
{
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    if (step->demand.amount[r] > 0
        && server->used.amount[r] + (added ? step->demand.amount[r] : 0)
               > server->room.amount[r])
      return false;
  return true;
}

static void
rank_steps_ (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter q;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&q, cell->queues);
  while (g_hash_table_iter_next (&q, NULL, &value))
    {
      struct ColtCellQueue *queue = value;

      queue->late = false;
      queue->pool
          = queue->config != NULL
                ? g_hash_table_lookup (cell->pools, queue->config->service)
                : NULL;
    }
  for (i = 0; i < cell->open_steps->len; i++)
    {
      struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, i);

      colt_cell_rank_step (step, now_us);
      colt_cell_count_rank (cell, step);
    }
  g_hash_table_iter_init (&q, cell->queues);
  while (g_hash_table_iter_next (&q, NULL, &value))
    ((struct ColtCellQueue *)value)->was_late
        = ((struct ColtCellQueue *)value)->late;
}

static void
place_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us)
{
  struct ColtCellPool *pool = step->job->queue->pool;

  step->looked_pass = cell->passes;
  if (step->waiting == 0 || colt_cell_is_ended (step->job))
    return;
  if (pool == NULL)
    colt_cell_set_block (cell, step, BLOCK_NO_SERVICE);
  else if (now_us < step->not_before_us)
    colt_cell_set_block (cell, step, BLOCK_PAUSED);
  else if (cell->start_budget == 0)
    colt_cell_set_block (cell, step, BLOCK_ORDERS);
  else if (step->spec->gang)
    colt_cell_place_gang (cell, step, pool, now_us);
  else
    place_tasks_ (cell, step, pool, now_us);
}

static bool
is_short_block_ (enum ColtCellBlock block)
{
  return block == BLOCK_ADVICE || block == BLOCK_NO_ADVISER
         || block == BLOCK_ORDERS;
}

static void
place_tasks_ (struct ColtCell *cell,
              struct ColtCellStep *step,
              struct ColtCellPool *pool,
              int64_t now_us)
{
  GPtrArray *eligible = colt_cell_list_eligible (step, pool, true, now_us);
  GString *plan = NULL;
  uint32_t i;

  for (i = 0; i < step->spec->count && step->waiting > 0; i++)
    {
      struct ColtCellTask *task = &step->tasks[i];
      struct ColtCellServer *server;

      if (task->done || task->current != NULL)
        continue;
      if (colt_cell_may_already_run (cell, task))
        {
          colt_cell_set_block (cell, step, BLOCK_UNSETTLED);
          continue;
        }
      if (colt_cell_review_losses (cell, task, now_us))
        break;
      if (cell->start_budget == 0)
        {
          colt_cell_set_block (cell, step, BLOCK_ORDERS);
          break;
        }
      if (!colt_cell_is_within_limit (cell, step, 1))
        {
          colt_cell_set_block (cell, step, BLOCK_LIMIT);
          break;
        }
      server = colt_cell_choose_server (eligible, step, task, now_us);
      if (server == NULL)
        {
          enum ColtCellBlock block
              = colt_cell_request_advice (cell, step, pool, now_us);

          colt_cell_set_block (
              cell, step,
              colt_cell_explain_block (cell, step, pool, block, now_us));
          break;
        }
      colt_cell_plan_run (cell, task, server,
                          colt_cell_next_run_number (cell, task), now_us);
      colt_cell_append_plan (&plan, task);
    }
  g_clear_pointer (&eligible, g_ptr_array_unref);
  colt_cell_log_plan (cell, step, plan);
}

/* Lists the eligible servers among those that a step has advice on. */
static GPtrArray *
list_advised_ (const struct ColtCellStep *step,
               const struct ColtCellPool *pool,
               int64_t ticket_us,
               int64_t now_us)
{
  GPtrArray *eligible = NULL;
  GHashTableIter advised;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&advised, step->advice);
  while (g_hash_table_iter_next (&advised, &key, &value))
    {
      struct ColtCellServer *server = key;

      if (server->pool == pool && is_eligible_ (step, server, now_us)
          && colt_cell_is_suitable (value, server, ticket_us))
        add_eligible_ (&eligible, server);
    }
  return eligible;
}

static bool
is_eligible_ (const struct ColtCellStep *step,
              const struct ColtCellServer *server,
              int64_t now_us)
{
  return colt_cell_fits (step, server) && colt_cell_is_usable (server, now_us)
         && colt_cell_is_warm_enough (step, server, now_us)
         && colt_cell_meets_constraints (step, server)
         && colt_cell_may_use (step, server, now_us);
}

static void
add_eligible_ (GPtrArray **eligible, struct ColtCellServer *server)
{
  if (*eligible == NULL)
    *eligible = g_ptr_array_new ();
  g_ptr_array_add (*eligible, server);
}

/* Returns the used fraction of a server's room, summed over its resources. */
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

static uint32_t
count_step_runs_ (const struct ColtCellServer *server,
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

/* Replaces the best candidate if the server is usable and better; among equal
 * ones the lowest id wins, so that the choice doesn't depend on the order. */
static void
consider_server_ (struct ColtChoice *best,
                  const struct ColtCellStep *step,
                  const struct ColtCellTask *task,
                  struct ColtCellServer *server,
                  int64_t now_us)
{
  double score;

  if (!is_eligible_ (step, server, now_us))
    return;
  score = score_server_ (step, task, server, now_us);
  if (best->server != NULL
      && (score < best->score
          || (score == best->score
              && strcmp (server->id, best->server->id) > 0)))
    return;
  best->server = server;
  best->score = score;
}

/* Prefers warm servers, servers that the task can't crash together with others'
 * runs, servers in the data's rack, servers other than the task's previous one,
 * fast servers (with a weight that rises as the objective gets tighter), full
 * servers, so that room for large tasks remains elsewhere, and those that
 * waiting gangs can't use. */
static double
score_server_ (const struct ColtCellStep *step,
               const struct ColtCellTask *task,
               struct ColtCellServer *server,
               int64_t now_us)
{
  double stretch = MAX (step->job->queue->config->stretch, 1);
  double score = -SLOWNESS_PENALTY / (stretch * stretch)
                 * (colt_cell_slowness (server) - 1);

  score += fullness_ (server) - colt_cell_crash_penalty (task, server)
           - colt_cell_gang_penalty (step, server);
  if (step->spec->data_rack[0] != '\0'
      && g_strcmp0 (step->spec->data_rack, server->rack) == 0)
    score += 10;
  if (task->last_server == server)
    score -= 5;
  if (server->cold.until_us > now_us)
    score
        -= COLD_PENALTY * (1 + colt_cold_ramp_coldness (&server->cold, now_us));
  return score;
}
