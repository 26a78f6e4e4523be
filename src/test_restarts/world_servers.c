#include "virtual_time.h"
#include "world_private.h"

/* Latest beginning of a server's clock. */
#define CLOCK_BASE_MAX_MS 9000000
/* Lowest rate of a server's clock. */
#define CLOCK_RATE_MIN 0.98
/* Duration of a task. */
#define WORK_LEAST_MS 200
#define WORK_MOST_MS 3000
/* Longest time that a stop takes. */
#define STOP_MAX_MS 900

int64_t
colt_world_clock_ms (const struct ColtWorldLife *life)
{
  return life->clock_base_ms
         + (int64_t)((double)(colt_virtual_time_us () - life->begun_us)
                     * life->clock_rate / COLT_US_PER_MS);
}

static uint32_t
rejected_run (const struct ColtWorldLife *life, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (life->rejected, task));
}

static void
reject_runs (struct ColtWorldLife *life, const char *task, uint32_t run)
{
  if (run > rejected_run (life, task))
    g_hash_table_insert (life->rejected, (gpointer)task,
                         GUINT_TO_POINTER (run));
}

static struct ColtWorldRun *
find_run (const struct ColtWorldLife *life, const char *task)
{
  guint i;

  for (i = 0; i < life->runs->len; i++)
    {
      struct ColtWorldRun *run = g_ptr_array_index (life->runs, i);

      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

static void
answer_held (struct ColtWorldLife *life)
{
  guint i;

  for (i = 0; i < life->held->len; i++)
    colt_world_answer (life->server, g_ptr_array_index (life->held, i),
                       COLT_START_TAKEN);
  g_ptr_array_set_size (life->held, 0);
}

static void
end_run (struct ColtWorld *world, struct ColtWorldRun *run, enum ColtRunEnd how)
{
  struct ColtWorldLife *life = run->life;
  const struct ColtFinishedEntry entry
      = { ++life->last_end, run->task, run->run, how, "" };

  g_ptr_array_remove_fast (life->runs, run);
  g_array_append_val (life->ends, entry);
  reject_runs (life, run->task, run->run);
  run->ended_us = colt_virtual_time_us ();
  run->how = colt_run_end_string[how];
  colt_world_note (life->server, "%s run %u ends, %s", run->task, run->run,
                   run->how);
  colt_world_check_end (world, run);
  answer_held (life);
}

static void
handle_work_done (struct ColtWorld *world, void *arg)
{
  struct ColtWorldRun *run = arg;

  if (run->ended_us == 0 && !run->stopping)
    end_run (world, run, COLT_RUN_DONE);
}

static void
handle_stopped (struct ColtWorld *world, void *arg)
{
  struct ColtWorldRun *run = arg;

  if (run->ended_us == 0)
    end_run (world, run, COLT_RUN_STOPPED);
}

static void
handle_lease_check (struct ColtWorld *world, void *arg)
{
  struct ColtWorldLife *life = arg;

  if (life->ended || colt_world_clock_ms (life) < life->lease_end_ms)
    return;
  while (life->runs->len > 0)
    end_run (world, g_ptr_array_index (life->runs, 0), COLT_RUN_LAPSED);
  life->lapsed_end = life->last_end;
}

static void
extend_lease (struct ColtWorldLife *life, int64_t until_ms)
{
  struct ColtWorld *world = life->server->world;
  int64_t clock_ms = colt_world_clock_ms (life);

  until_ms = MIN (until_ms, clock_ms + world->settings.lease_max_ms);
  if (until_ms <= life->lease_end_ms || until_ms <= clock_ms)
    return;
  life->lease_end_ms = until_ms;
  colt_world_at (world,
                 colt_virtual_time_us ()
                     + (int64_t)((double)(until_ms + 1 - clock_ms)
                                 * COLT_US_PER_MS / life->clock_rate),
                 handle_lease_check, life);
}

static void
begin_run (struct ColtWorldLife *life, const struct ColtWorldCall *call)
{
  struct ColtWorld *world = life->server->world;
  struct ColtWorldRun *run = colt_world_alloc (world, sizeof *run);
  int64_t now_us = colt_virtual_time_us ();
  double most_ms = world->plan->work_most_ms > 0 ? world->plan->work_most_ms
                                                 : WORK_MOST_MS;

  run->task = call->task;
  run->run = call->run;
  run->life = life;
  run->begun_us = now_us;
  g_ptr_array_add (life->runs, run);
  colt_world_at (world,
                 now_us + colt_world_draw_us (world, WORK_LEAST_MS, most_ms),
                 handle_work_done, run);
  colt_world_note (life->server, "%s run %u begins, clock %lld, lease end %lld",
                   run->task, run->run, (long long)colt_world_clock_ms (life),
                   (long long)life->lease_end_ms);
  colt_world_check_start (world, run);
}

static enum ColtStartResult
execute_start (struct ColtWorldLife *life, const struct ColtWorldCall *call)
{
  const struct ColtWorldRun *present = find_run (life, call->task);

  extend_lease (life, call->until_ms);
  if (present != NULL && present->run == call->run)
    return COLT_START_TAKEN;
  if (call->run <= rejected_run (life, call->task))
    return COLT_START_STALE;
  if (call->until_ms <= colt_world_clock_ms (life))
    return COLT_START_LATE;
  begin_run (life, call);
  return COLT_START_TAKEN;
}

static void
execute_stop (struct ColtWorldLife *life, const struct ColtWorldCall *call)
{
  struct ColtWorldRun *run = find_run (life, call->task);

  reject_runs (life, call->task, call->run);
  if (run == NULL || run->run != call->run || run->stopping)
    return;
  run->stopping = true;
  colt_world_at (life->server->world,
                 colt_virtual_time_us ()
                     + colt_world_draw_us (life->server->world, 0, STOP_MAX_MS),
                 handle_stopped, run);
}

static void
forget_ends (struct ColtWorldLife *life, uint64_t acked_through)
{
  while (life->ends->len > 0)
    {
      const struct ColtFinishedEntry *end
          = &g_array_index (life->ends, struct ColtFinishedEntry, 0);

      if (end->number > acked_through)
        return;
      colt_world_check_acked (life, end);
      g_array_remove_index (life->ends, 0);
    }
}

static void
handle_wait_over (struct ColtWorld *world, void *arg)
{
  struct ColtWorldCall *call = arg;
  guint i;

  for (i = 0; i < world->lives->len; i++)
    {
      struct ColtWorldLife *life = g_ptr_array_index (world->lives, i);

      if (!life->ended && g_ptr_array_remove (life->held, call))
        colt_world_answer (life->server, call, COLT_START_TAKEN);
    }
}

static void
execute_renewal (struct ColtWorldLife *life, struct ColtWorldCall *call)
{
  struct ColtWorld *world = life->server->world;

  extend_lease (life, call->until_ms);
  forget_ends (life, call->acked_through);
  if (call->wait_ms == 0 || life->ends->len > 0)
    {
      colt_world_answer (life->server, call, COLT_START_TAKEN);
      return;
    }
  g_ptr_array_add (life->held, call);
  colt_world_at (world,
                 colt_virtual_time_us () + call->wait_ms * COLT_US_PER_MS,
                 handle_wait_over, call);
}

void
colt_world_execute (struct ColtWorldServer *server, struct ColtWorldCall *call)
{
  struct ColtWorldLife *life = server->life;
  enum ColtStartResult result = COLT_START_TAKEN;

  if (!g_str_equal (colt_world_call_id (call), life->id))
    {
      colt_world_answer (server, call, COLT_START_GONE);
      return;
    }
  if (call->token < life->token)
    {
      colt_world_answer (server, call, COLT_START_FENCED);
      return;
    }
  life->token = call->token;
  if (call->kind == CALL_RENEW)
    {
      execute_renewal (life, call);
      return;
    }
  if (call->kind == CALL_START)
    result = execute_start (life, call);
  else
    execute_stop (life, call);
  colt_world_answer (server, call, result);
}

void
colt_world_report (struct ColtWorldLife *life, struct ColtWorldCall *call)
{
  struct ColtServerReport *report = &call->answer.report;
  guint listed;
  guint i;

  call->running = g_array_new (FALSE, TRUE, sizeof (struct ColtRunningEntry));
  call->ended = g_array_new (FALSE, TRUE, sizeof (struct ColtFinishedEntry));
  for (i = 0; i < life->runs->len; i++)
    {
      const struct ColtWorldRun *run = g_ptr_array_index (life->runs, i);
      const struct ColtRunningEntry entry = { run->task, run->run, "", 50 };

      g_array_append_val (call->running, entry);
    }
  listed = life->ends->len;
  if (life->server->world->plan->listed_ends > 0)
    listed = MIN (listed, life->server->world->plan->listed_ends);
  g_array_append_vals (call->ended, life->ends->data, listed);
  report->running = (const struct ColtRunningEntry *)call->running->data;
  report->running_count = call->running->len;
  report->finished = (const struct ColtFinishedEntry *)call->ended->data;
  report->finished_count = call->ended->len;
  report->may_have_more
      = listed == life->server->world->plan->listed_ends && listed > 0;
  if (listed > 0)
    life->listed_end
        = g_array_index (life->ends, struct ColtFinishedEntry, listed - 1)
              .number;
}

void
colt_world_crash (struct ColtWorldServer *server, bool silent)
{
  struct ColtWorld *world = server->world;
  struct ColtWorldLife *life = server->life;

  colt_world_note (server, "crashes%s, %u runs are lost",
                   silent ? " silently" : "", life->runs->len);
  world->result->crashes++;
  life->ended = true;
  while (life->runs->len > 0)
    {
      struct ColtWorldRun *run = g_ptr_array_index (life->runs, 0);

      g_ptr_array_remove_index_fast (life->runs, 0);
      run->ended_us = colt_virtual_time_us ();
      run->how = "lost";
      colt_world_check_end (world, run);
    }
  g_ptr_array_set_size (life->held, 0);
  server->former = life;
  server->life = NULL;
  server->silent = silent;
  if (!silent)
    colt_world_reset_channels (server);
}

void
colt_world_boot (struct ColtWorldServer *server, const char *id)
{
  struct ColtWorld *world = server->world;
  const struct ColtWorldPlan *plan = world->plan;
  struct ColtWorldLife *life = colt_world_alloc (world, sizeof *life);
  int64_t least_ms = 0;

  if (server->former != NULL && colt_world_draw (world, plan->clocks_ahead))
    least_ms = MIN (colt_world_clock_ms (server->former) + 60000,
                    CLOCK_BASE_MAX_MS - 1);
  life->server = server;
  life->number = ++server->lives;
  life->id = id;
  life->incarnation_ms
      = colt_clock_wall_us () / COLT_US_PER_MS + server->wall_step_ms;
  life->begun_us = colt_virtual_time_us ();
  life->clock_base_ms
      = g_rand_int_range (world->rand, (gint32)least_ms, CLOCK_BASE_MAX_MS);
  life->clock_rate = g_rand_double_range (world->rand, CLOCK_RATE_MIN, 1.0);
  life->runs = g_ptr_array_new ();
  life->rejected = g_hash_table_new (g_str_hash, g_str_equal);
  life->ends = g_array_new (FALSE, TRUE, sizeof (struct ColtFinishedEntry));
  life->held = g_ptr_array_new ();
  g_ptr_array_add (world->lives, life);
  server->id = life->id;
  server->life = life;
  colt_world_note (server, "starts as %s, incarnation %lld, clock %lld",
                   life->id, (long long)life->incarnation_ms,
                   (long long)life->clock_base_ms);
}

void
colt_world_init_servers (struct ColtWorld *world)
{
  uint32_t i;

  for (i = 0; i < world->plan->servers; i++)
    {
      struct ColtWorldServer *server = colt_world_alloc (world, sizeof *server);
      char id[24];

      server->world = world;
      g_snprintf (id, sizeof id, "10.0.0.%u:1", i + 1);
      server->address = g_string_chunk_insert (world->strings, id);
      g_ptr_array_add (world->servers, server);
      g_snprintf (id, sizeof id, "s%u", i + 1);
      server->first_id = g_string_chunk_insert (world->strings, id);
      colt_world_boot (server, server->first_id);
      colt_world_put_entry (world, server->life);
    }
}

void
colt_world_free_servers (struct ColtWorld *world)
{
  guint i;
  guint k;

  for (i = 0; i < world->lives->len; i++)
    {
      struct ColtWorldLife *life = g_ptr_array_index (world->lives, i);

      g_ptr_array_unref (life->runs);
      g_hash_table_unref (life->rejected);
      g_array_unref (life->ends);
      g_ptr_array_unref (life->held);
    }
  for (i = 0; i < world->servers->len; i++)
    for (k = 0; k < COLT_WORLD_HISTORY; k++)
      g_free (((struct ColtWorldServer *)g_ptr_array_index (world->servers, i))
                  ->history[k]);
}
