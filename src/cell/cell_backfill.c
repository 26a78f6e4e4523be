#include "cell_backfill.h"

/* Gangs of a service that have plans at the same time. Each plan costs a search
 * of the servers; with too few, gangs that arrive meanwhile find all servers in
 * use. */
#define PLANS_MAX 16
/* Time between two plans of a gang. */
#define PLAN_INTERVAL_US (100 * COLT_US_PER_MS)
/* The same, if room has become free. */
#define STALE_INTERVAL_US (20 * COLT_US_PER_MS)
/* Pause of a gang whose plan ended without a start. */
#define PLAN_PAUSE_US (500 * COLT_US_PER_MS)
/* Time after which the plan of a gang ends that had no turn: its tasks may
 * still run, say, or no starts can be sent. */
#define PLAN_IDLE_US (500 * COLT_US_PER_MS)
/* Servers that one plan considers, at least, and for each task. */
#define SERVERS_MAX 400
#define SERVERS_PER_TASK 4
/* Time that an order, and an answer to an advice call, may take on the way. */
#define CALL_MARGIN_US (100 * COLT_US_PER_MS)
/* Time for which a run that is being stopped is expected to go on. */
#define STOP_US (100 * COLT_US_PER_MS)
/* Time after the last gang in which single tasks leave servers to gangs. */
#define GANGS_LINGER_US (2 * COLT_US_PER_S)
/* What the score of a server is lowered by if all of its accelerators are free,
 * and if a waiting gang may run on it. A server's fullness adds 3 at most. */
#define FREE_PENALTY 4.0
#define WANTED_PENALTY 2.0
/* Length in bytes at which the logged list of servers is cut. */
#define SERVERS_TEXT_MAX 400

/* Servers on which a gang may run. */
struct ColtCandidates
{
  GPtrArray *servers; /* of struct ColtCellServer */
  GArray *entries;    /* of struct ColtBackfillServer, for each */
  GArray *ends;       /* of struct ColtBackfillEnd, of all */
};

static void end_idle_plans_ (struct ColtCell *cell);
static bool takes_effect_ (const struct ColtCellStep *step,
                           const struct ColtCellPool *pool);
static bool is_due_ (const struct ColtCellStep *step, int64_t now_us);
static void
replan_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us);
static void list_candidates_ (struct ColtCandidates *candidates,
                              struct ColtCellStep *step,
                              int64_t now_us);
static void free_candidates_ (struct ColtCandidates *candidates);
static bool is_candidate_ (const struct ColtCellStep *step,
                           const struct ColtCellServer *server,
                           int64_t now_us);
static void add_candidate_ (struct ColtCandidates *candidates,
                            const struct ColtCellStep *step,
                            struct ColtCellServer *server,
                            int64_t now_us);
static void add_end_ (GArray *ends,
                      struct ColtBackfillServer *entry,
                      const struct ColtResources *demand,
                      uint32_t count,
                      int64_t at_us);
static int64_t expect_end_ (const struct ColtCellRun *run, int64_t now_us);
static int64_t expected_us_ (const struct ColtCellStep *step,
                             const struct ColtCellServer *server);
static bool has_requested_ (const struct ColtCellStep *step,
                            const struct ColtCellServer *server);
static bool is_held_for_ (const struct ColtCellStep *step,
                          const struct ColtCellServer *server);
static void store_plan_ (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         const struct ColtCandidates *candidates,
                         int64_t start_us,
                         int64_t now_us);
static void release_ (struct ColtCellPlan *plan);
static void log_plan_ (struct ColtCell *cell,
                       const struct ColtCellStep *step,
                       int64_t now_us);
static int64_t call_us_ (const struct ColtCellStep *step, uint32_t servers);
static bool lacks_tickets_ (const struct ColtCellStep *step, int64_t until_us);
static enum ColtCellBlock request_tickets_ (struct ColtCell *cell,
                                            struct ColtCellStep *step);
static bool is_held_back_ (const struct ColtCellStep *step,
                           const struct ColtCellHold *hold,
                           int64_t now_us);

void
colt_cell_begin_plans (struct ColtCell *cell)
{
  GHashTableIter i;
  gpointer value;
  guint p;

  end_idle_plans_ (cell);
  g_hash_table_iter_init (&i, cell->pools);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellPool *pool = value;

      pool->now_us = cell->now_us;
      pool->plans = 0;
      pool->searches = 0;
      pool->lowest_priority = 0;
      pool->highest_priority = UINT32_MAX;
    }
  g_hash_table_iter_init (&i, cell->queues);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct ColtCellQueue *queue = value;

      if (queue->pool == NULL)
        continue;
      queue->pool->lowest_priority
          = MAX (queue->pool->lowest_priority, queue->config->priority);
      queue->pool->highest_priority
          = MIN (queue->pool->highest_priority, queue->config->priority);
    }
  for (p = 0; p < cell->open_steps->len; p++)
    {
      const struct ColtCellStep *step = g_ptr_array_index (cell->open_steps, p);
      struct ColtCellPool *pool = step->job->queue->pool;

      if (step->spec->gang && pool != NULL && takes_effect_ (step, pool))
        {
          pool->gangs_until_us = cell->now_us + GANGS_LINGER_US;
          pool->gang_priority = step->job->queue->config->priority;
        }
    }
}

bool
colt_cell_plan_gang (struct ColtCell *cell,
                     struct ColtCellStep *step,
                     struct ColtCellPool *pool,
                     int64_t now_us)
{
  if (!takes_effect_ (step, pool) || step->rank == RANK_WORTHLESS)
    {
      colt_cell_end_plan (cell, step, "a start is of no use", now_us);
      return false;
    }
  if (pool->plans >= PLANS_MAX)
    {
      colt_cell_end_plan (cell, step, "other gangs come first", now_us);
      return false;
    }
  if (is_due_ (step, now_us)
      && (step->plan != NULL || pool->searches++ < PLANS_MAX))
    replan_ (cell, step, now_us);
  if (step->plan == NULL)
    return false;
  step->plan->placed_us = now_us;
  pool->plans++;
  return true;
}

enum ColtCellBlock
colt_cell_await_start (struct ColtCell *cell,
                       struct ColtCellStep *step,
                       const struct ColtCellPool *pool,
                       int64_t now_us)
{
  int64_t wait_us = step->plan->start_us - now_us;
  int64_t call_us = call_us_ (step, step->plan->hold_count);
  int64_t more_us = call_us_ (step, cell->limits.gang_advice_servers_max);
  guint i;

  if (!step->job->queue->config->advised || step->call != NULL)
    return BLOCK_RESERVED;
  if (wait_us > more_us + call_us)
    {
      enum ColtCellBlock block
          = colt_cell_request_gang_advice (cell, step, pool, now_us);

      return block == BLOCK_NO_ADVISER ? block : BLOCK_RESERVED;
    }
  for (i = 0; i < step->plan->hold_count; i++)
    if (!colt_cell_is_usable (step->plan->holds[i].server, now_us))
      {
        step->next_plan_us = now_us;
        return BLOCK_RESERVED;
      }
  if (wait_us > call_us + CALL_MARGIN_US
      || !lacks_tickets_ (step, MAX (step->plan->start_us, now_us + call_us))
      || (step->fruitless_calls >= COLT_ADVICE_PAUSES_DOUBLED_MAX
          && now_us < step->next_advice_us))
    return BLOCK_RESERVED;
  return request_tickets_ (cell, step);
}

void
colt_cell_end_plan (struct ColtCell *cell,
                    struct ColtCellStep *step,
                    const char *reason,
                    int64_t now_us)
{
  char detail[2 * TASK_NAME_SIZE];

  if (step->plan == NULL)
    return;
  if (reason != NULL)
    {
      g_snprintf (
          detail, sizeof detail, "%u.%u: %s, reserved for %lld ms",
          step->occurrence, step->number, reason,
          (long long)((now_us - step->plan->granted_us) / COLT_US_PER_MS));
      cell->ops->log_decision (cell->client, step->job->id,
                               "gang reservation ended", detail);
      cell->stats.reservations_ended++;
      step->next_plan_us = now_us + PLAN_PAUSE_US;
    }
  colt_cell_free_plan (step);
}

void
colt_cell_free_plan (struct ColtCellStep *step)
{
  if (step->plan == NULL)
    return;
  release_ (step->plan);
  g_ptr_array_remove_fast (step->plan->plans, step->plan);
  g_clear_pointer (&step->plan, g_free);
}

bool
colt_cell_may_use (const struct ColtCellStep *step,
                   const struct ColtCellServer *server,
                   int64_t now_us)
{
  const struct ColtCellHold *hold;
  int64_t end_us;

  if (server->holds == NULL || step->spec->lasting)
    return true;
  end_us = colt_backfill_expect_use (expected_us_ (step, server), now_us);
  for (hold = server->holds; hold != NULL; hold = hold->next)
    if (is_held_back_ (step, hold, now_us)
        && !colt_backfill_may_use (&hold->terms, &step->demand, end_us))
      return false;
  return true;
}

void
colt_cell_use_held (const struct ColtCellRun *run, int64_t now_us)
{
  const struct ColtCellStep *step = run->task->step;
  struct ColtCellHold *hold = run->server->holds;
  int64_t end_us;

  if (hold == NULL)
    return;
  end_us = step->spec->lasting ? COLT_BACKFILL_NEVER
                               : colt_backfill_expect_use (
                                   expected_us_ (step, run->server), now_us);
  for (; hold != NULL; hold = hold->next)
    if (hold->plan->step != step)
      colt_backfill_use (&hold->terms, &run->demand, end_us);
}

void
colt_cell_note_room (const struct ColtCellServer *server)
{
  const struct ColtCellHold *hold;

  for (hold = server->holds; hold != NULL; hold = hold->next)
    hold->plan->stale = true;
}

double
colt_cell_gang_penalty (const struct ColtCellStep *step,
                        const struct ColtCellServer *server)
{
  const struct ColtCellPool *pool = server->pool;
  int64_t room = server->room.amount[COLT_RESOURCE_ACCELERATORS];
  int64_t free = room - server->used.amount[COLT_RESOURCE_ACCELERATORS];
  double penalty = 0;

  if (pool->now_us >= pool->gangs_until_us || step->spec->gang
      || step->demand.amount[COLT_RESOURCE_ACCELERATORS] == 0
      || step->job->queue->config->priority <= pool->gang_priority)
    return 0;
  if (room > 0)
    penalty += FREE_PENALTY * (double)free / (double)room;
  if (pool->now_us < server->wanted_until_us)
    penalty += WANTED_PENALTY;
  return penalty;
}

/* Ends the plans of gangs that no longer wait, and of those that had no turn
 * for a while, nor in the last pass. */
static void
end_idle_plans_ (struct ColtCell *cell)
{
  guint i;

  for (i = cell->plans->len; i > 0; i--)
    {
      const struct ColtCellPlan *plan = g_ptr_array_index (cell->plans, i - 1);
      const struct ColtCellPool *pool = plan->step->job->queue->pool;

      if (!plan->step->open || pool == NULL)
        colt_cell_end_plan (cell, plan->step, "it no longer waits",
                            cell->now_us);
      else if (plan->placed_us < pool->now_us
               && plan->placed_us + PLAN_IDLE_US < cell->now_us)
        colt_cell_end_plan (cell, plan->step, "it had no turn", cell->now_us);
    }
}

/* Reservations only matter where other work has a lower priority. Where other
 * work has a higher one, it takes the reserved room whenever it arrives, so
 * that the gang starts no earlier and the room that was held back is lost. */
static bool
takes_effect_ (const struct ColtCellStep *step, const struct ColtCellPool *pool)
{
  uint32_t priority = step->job->queue->config->priority;

  return priority < pool->lowest_priority && priority <= pool->highest_priority;
}

static bool
is_due_ (const struct ColtCellStep *step, int64_t now_us)
{
  return now_us >= step->next_plan_us
         || (step->plan != NULL && step->plan->stale
             && now_us >= step->plan->planned_us + STALE_INTERVAL_US);
}

static void
replan_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us)
{
  struct ColtBackfillGang gang
      = { step->spec->count, step->demand, now_us, colt_cell_latest_us (step) };
  bool had_plan = step->plan != NULL;
  struct ColtCandidates candidates;
  int64_t start_us;

  step->next_plan_us = now_us + PLAN_INTERVAL_US;
  list_candidates_ (&candidates, step, now_us);
  if (colt_backfill_plan (&gang,
                          (struct ColtBackfillServer *)candidates.entries->data,
                          candidates.entries->len, &start_us))
    store_plan_ (cell, step, &candidates, start_us, now_us);
  else
    colt_cell_end_plan (cell, step, "it can't start in time", now_us);
  free_candidates_ (&candidates);
  if (step->plan != NULL && !had_plan)
    log_plan_ (cell, step, now_us);
}

/* Lists servers in the order of the pool. If there are too many, another plan
 * begins with those that this one left out. */
static void
list_candidates_ (struct ColtCandidates *candidates,
                  struct ColtCellStep *step,
                  int64_t now_us)
{
  const GPtrArray *servers = step->job->queue->pool->servers;
  guint limit = MAX (SERVERS_MAX, SERVERS_PER_TASK * step->spec->count);
  size_t first = 0;
  guint i;

  candidates->servers = g_ptr_array_new ();
  candidates->entries
      = g_array_new (FALSE, TRUE, sizeof (struct ColtBackfillServer));
  candidates->ends
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackfillEnd));
  for (i = 0; i < servers->len && candidates->servers->len < limit; i++)
    {
      struct ColtCellServer *server
          = g_ptr_array_index (servers, (step->plan_first + i) % servers->len);

      if (is_candidate_ (step, server, now_us))
        add_candidate_ (candidates, step, server, now_us);
    }
  if (step->plan == NULL && servers->len > 0)
    step->plan_first = (step->plan_first + i) % servers->len;
  for (i = 0; i < candidates->entries->len; i++)
    {
      struct ColtBackfillServer *entry
          = &g_array_index (candidates->entries, struct ColtBackfillServer, i);

      if (entry->end_count > 0)
        entry->ends = (struct ColtBackfillEnd *)candidates->ends->data + first;
      first += entry->end_count;
    }
}

static void
free_candidates_ (struct ColtCandidates *candidates)
{
  g_ptr_array_unref (candidates->servers);
  g_array_unref (candidates->entries);
  g_array_unref (candidates->ends);
}

static bool
is_candidate_ (const struct ColtCellStep *step,
               const struct ColtCellServer *server,
               int64_t now_us)
{
  return (!step->job->queue->config->advised
          || colt_cell_is_known_suitable (step, server))
         && colt_cell_may_hold (step, server)
         && colt_cell_is_usable (server, now_us)
         && colt_cell_meets_constraints (step, server);
}

/* The use is summed up from the runs, since that of the server includes what is
 * reserved for this pass alone. */
static void
add_candidate_ (struct ColtCandidates *candidates,
                const struct ColtCellStep *step,
                struct ColtCellServer *server,
                int64_t now_us)
{
  struct ColtBackfillServer entry = { 0 };
  bool requested = has_requested_ (step, server);
  const struct ColtCellHold *hold;
  guint i;

  entry.room = server->room;
  entry.tasks_max = step->spec->max_per_server > 0 ? step->spec->max_per_server
                                                   : step->spec->count;
  entry.preferred = requested || is_held_for_ (step, server);
  entry.ready_us = now_us;
  if (step->job->queue->config->advised && !requested
      && colt_cell_find_ticket (step, server, now_us) == NULL)
    entry.ready_us += call_us_ (step, step->spec->count);
  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtCellRun *run = g_ptr_array_index (server->runs, i);

      add_end_ (candidates->ends, &entry, &run->demand, 1,
                expect_end_ (run, now_us));
    }
  for (hold = server->holds; hold != NULL; hold = hold->next)
    if (is_held_back_ (step, hold, now_us))
      add_end_ (candidates->ends, &entry, &hold->plan->step->demand,
                hold->tasks,
                hold->plan->start_us + expected_us_ (hold->plan->step, server));
  server->wanted_until_us = now_us + GANGS_LINGER_US;
  g_ptr_array_add (candidates->servers, server);
  g_array_append_val (candidates->entries, entry);
}

/* Adds tasks that use a server until a time. */
static void
add_end_ (GArray *ends,
          struct ColtBackfillServer *entry,
          const struct ColtResources *demand,
          uint32_t count,
          int64_t at_us)
{
  struct ColtBackfillEnd end = { at_us, { { 0 } } };
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    end.demand.amount[r] = count * demand->amount[r];
  colt_resources_add (&entry->used, &end.demand);
  entry->end_count++;
  g_array_append_val (ends, end);
}

static int64_t
expect_end_ (const struct ColtCellRun *run, int64_t now_us)
{
  const struct ColtCellStep *step = run->task->step;

  if (run->state == RUN_STOPPING)
    return now_us + STOP_US;
  if (step->spec->lasting)
    return COLT_BACKFILL_NEVER;
  return colt_backfill_expect_end (
      run->started_us > 0 ? run->started_us : run->ordered_us,
      expected_us_ (step, run->server), run->started_us > 0 ? run->percent : 0,
      run->reported_us, now_us);
}

/* Returns the mean duration of a step's tasks on a server, or the caller's
 * estimate while the queue has no durations. */
static int64_t
expected_us_ (const struct ColtCellStep *step,
              const struct ColtCellServer *server)
{
  double mean_us = step->job->queue->task_us;

  if (mean_us <= 0)
    mean_us = (double)step->spec->estimate_ms * COLT_US_PER_MS;
  return (int64_t)(mean_us * (server->slowness > 0 ? server->slowness : 1));
}

/* Returns whether the pending call of a gang requests a ticket of a server. */
static bool
has_requested_ (const struct ColtCellStep *step,
                const struct ColtCellServer *server)
{
  return step->call != NULL && step->ticket_servers != NULL
         && g_ptr_array_find (step->ticket_servers, server, NULL);
}

static bool
is_held_for_ (const struct ColtCellStep *step,
              const struct ColtCellServer *server)
{
  const struct ColtCellHold *hold;

  for (hold = server->holds; hold != NULL; hold = hold->next)
    if (hold->plan->step == step)
      return true;
  return false;
}

static void
store_plan_ (struct ColtCell *cell,
             struct ColtCellStep *step,
             const struct ColtCandidates *candidates,
             int64_t start_us,
             int64_t now_us)
{
  struct ColtCellPlan *plan;
  guint i;

  if (step->plan == NULL)
    {
      step->plan = g_new0 (struct ColtCellPlan, 1);
      step->plan->step = step;
      step->plan->plans = cell->plans;
      step->plan->granted_us = now_us;
      g_ptr_array_add (cell->plans, step->plan);
      cell->stats.reservations++;
    }
  plan = step->plan;
  release_ (plan);
  plan->planned_us = now_us;
  plan->start_us = start_us;
  plan->stale = false;
  plan->holds = g_new0 (struct ColtCellHold, candidates->servers->len);
  for (i = 0; i < candidates->servers->len; i++)
    {
      const struct ColtBackfillServer *entry
          = &g_array_index (candidates->entries, struct ColtBackfillServer, i);
      struct ColtCellServer *server
          = g_ptr_array_index (candidates->servers, i);
      struct ColtCellHold *hold = &plan->holds[plan->hold_count];

      if (entry->tasks == 0)
        continue;
      *hold = (struct ColtCellHold){
        plan, server, entry->tasks, { start_us, entry->spare }, server->holds
      };
      server->holds = hold;
      plan->hold_count++;
    }
}

/* Releases the servers of a plan. */
static void
release_ (struct ColtCellPlan *plan)
{
  guint i;

  for (i = 0; i < plan->hold_count; i++)
    {
      struct ColtCellHold **link = &plan->holds[i].server->holds;

      while (*link != &plan->holds[i])
        link = &(*link)->next;
      *link = plan->holds[i].next;
    }
  plan->hold_count = 0;
  g_clear_pointer (&plan->holds, g_free);
}

static void
log_plan_ (struct ColtCell *cell,
           const struct ColtCellStep *step,
           int64_t now_us)
{
  const struct ColtCellPlan *plan = step->plan;
  GString *servers = g_string_new (NULL);
  guint full = 0;
  guint unticketed = 0;
  char *detail;
  guint i;

  for (i = 0; i < plan->hold_count; i++)
    {
      const struct ColtCellServer *server = plan->holds[i].server;

      full += !colt_cell_fits (step, server);
      unticketed += step->job->queue->config->advised
                    && colt_cell_find_ticket (step, server, now_us) == NULL;
      if (servers->len < SERVERS_TEXT_MAX)
        g_string_append_printf (servers, " %s*%u", server->id,
                                plan->holds[i].tasks);
    }
  detail = g_strdup_printf (
      "%u.%u: %u tasks, %s, %lld ms after arrival, start expected in %lld ms, "
      "waits for room on %u and tickets of %u of %u servers:%s",
      step->occurrence, step->number, step->spec->count,
      colt_cell_rank_string[step->rank],
      (long long)((now_us - step->job->accepted_us) / COLT_US_PER_MS),
      (long long)((plan->start_us - now_us) / COLT_US_PER_MS), full, unticketed,
      plan->hold_count, servers->str);
  cell->ops->log_decision (cell->client, step->job->id, "gang reserved",
                           detail);
  g_free (detail);
  g_string_free (servers, TRUE);
}

/* Returns how long an advice call that names some servers takes. */
static int64_t
call_us_ (const struct ColtCellStep *step, uint32_t servers)
{
  const struct ColtQueueConfig *config = step->job->queue->config;

  if (!config->advised)
    return 0;
  return (int64_t)((config->advice_ms + config->advice_per_server_ms * servers)
                   * COLT_US_PER_MS)
         + CALL_MARGIN_US;
}

/* Returns whether a ticket of a reserved server is missing or expires before a
 * time. */
static bool
lacks_tickets_ (const struct ColtCellStep *step, int64_t until_us)
{
  guint i;

  for (i = 0; i < step->plan->hold_count; i++)
    if (colt_cell_find_ticket (step, step->plan->holds[i].server, until_us)
        == NULL)
      return true;
  return false;
}

static enum ColtCellBlock
request_tickets_ (struct ColtCell *cell, struct ColtCellStep *step)
{
  const struct ColtCellPlan *plan = step->plan;
  GPtrArray *servers = g_ptr_array_new ();
  enum ColtCellBlock block;
  uint32_t t;
  guint i;

  for (i = 0; i < plan->hold_count; i++)
    for (t = 0; t < plan->holds[i].tasks; t++)
      g_ptr_array_add (servers, plan->holds[i].server);
  block = colt_cell_request_gang_tickets (
      cell, step, (struct ColtCellServer *const *)servers->pdata);
  g_ptr_array_unref (servers);
  return block;
}

/* Returns whether a step has to leave a server's room to the gang of a
 * reservation: it has a lower priority and isn't pressed, or is a gang that
 * comes later in the order of this pass. */
static bool
is_held_back_ (const struct ColtCellStep *step,
               const struct ColtCellHold *hold,
               int64_t now_us)
{
  const struct ColtCellStep *gang = hold->plan->step;

  if (gang == step || gang->job->queue->config == NULL)
    return false;
  return (step->job->queue->config->priority
              > gang->job->queue->config->priority
          && !step->is_pressed)
         || (step->spec->gang && hold->plan->placed_us == now_us);
}
