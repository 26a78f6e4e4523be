#include <string.h>

#include "simulation_private.h"

#define LATE_MAX_MS 6000
#define STOP_US (100 * COLT_US_PER_MS)

void
colt_world_free_order (gpointer data)
{
  struct ColtWorldOrder *order = data;

  if (order->names != NULL)
    g_ptr_array_unref (order->names);
  g_free (order->task);
  g_free (order->ticket);
  g_free (order);
}

static uint32_t
cpu_of (struct ColtWorld *world, const char *task)
{
  char id[COLT_JOB_ID_LENGTH + 1];

  g_strlcpy (id, task, sizeof id);
  return GPOINTER_TO_UINT (g_hash_table_lookup (world->cpu, id));
}

static struct ColtWorldServer *
find_server (struct ColtWorld *world, const char *id)
{
  uint32_t i;

  for (i = 0; i < world->plan->servers; i++)
    if (strcmp (world->servers[i].id, id) == 0)
      return &world->servers[i];
  g_assert_not_reached ();
}

static struct ColtWorldOrder *
add_order (struct ColtWorld *world,
           enum ColtWorldOrderKind kind,
           const char *task,
           uint32_t run)
{
  struct ColtWorldOrder *order = g_new0 (struct ColtWorldOrder, 1);

  order->kind = kind;
  order->task = g_strdup (task);
  order->run = run;
  order->token = world->generation;
  order->lead = world->generation;
  order->due_us
      = world->now_us + g_rand_int_range (world->rand, 1, 30) * COLT_US_PER_MS;
  order->answer_us = order->due_us + STEP_US;
  order->answered = true;
  if (colt_world_chance (world, world->plan->lost_answers))
    {
      order->answered = false;
      order->answer_us = world->now_us + 500 * COLT_US_PER_MS;
      if (kind != ORDER_ADVICE && colt_world_chance (world, 0.3))
        order->due_us = INT64_MAX;
    }
  if (kind != ORDER_ADVICE
      && colt_world_chance (world, world->plan->late_orders))
    {
      order->answered = false;
      order->answer_us = world->now_us + 500 * COLT_US_PER_MS;
      order->due_us
          = world->now_us
            + g_rand_int_range (world->rand, 500, LATE_MAX_MS) * COLT_US_PER_MS;
    }
  g_ptr_array_add (world->orders, order);
  return order;
}

static void
op_start (void *client, const struct ColtStartOrder *start)
{
  struct ColtWorld *world = client;
  struct ColtWorldServer *server = find_server (world, start->server);
  struct ColtWorldOrder *order
      = add_order (world, ORDER_START, start->task, start->run);

  order->server = server;
  order->born_ms = server->born_ms;
  order->ticket = g_strdup (start->ticket);
  order->until_us = world->now_us + LEASE_US;
  server->lapse_us = MAX (server->lapse_us, order->until_us + STEP_US);
  g_assert_nonnull (start->ticket);
}

static void
op_stop (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtWorld *world = client;
  struct ColtWorldOrder *order = add_order (world, ORDER_STOP, task, run);

  order->server = find_server (world, server);
  order->born_ms = order->server->born_ms;
}

static bool
op_advise (void *client,
           const char *step,
           const char *const *servers,
           size_t count)
{
  struct ColtWorld *world = client;
  struct ColtWorldOrder *order;
  size_t i;

  if (colt_world_chance (world, 0.2))
    return false;
  g_assert_cmpuint (count, >, 0);
  order = add_order (world, ORDER_ADVICE, step, 0);
  order->names = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < count; i++)
    g_ptr_array_add (order->names, g_strdup (servers[i]));
  return true;
}

static void
op_decided (void *client, const char *job, const char *what, const char *detail)
{
  struct ColtWorld *world = client;

  g_test_message ("%lld: %s: %s %s",
                  (long long)(world->now_us / COLT_US_PER_MS), what, detail,
                  job != NULL ? job : "");
}

const struct ColtCellOps colt_world_ops
    = { op_start, op_stop, op_advise, op_decided };

static void
check_room (struct ColtWorld *world, struct ColtWorldServer *server)
{
  uint32_t used = 0;
  uint32_t all = 0;
  uint32_t s;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    used += ((struct ColtWorldRun *)g_ptr_array_index (server->runs, i))->cpu;
  g_assert_cmpuint (used, <=, ROOM);
  for (s = 0; s < world->plan->servers; s++)
    for (i = 0; i < world->servers[s].runs->len; i++)
      all += ((struct ColtWorldRun *)g_ptr_array_index (world->servers[s].runs,
                                                        i))
                 ->cpu;
  g_assert_cmpuint (all, <=, LIMIT + LIMIT / 10 + ROOM);
}

static enum ColtStartResult
carry_out_start (struct ColtWorld *world, struct ColtWorldOrder *order)
{
  struct ColtWorldServer *server = order->server;
  struct ColtWorldTaskTruth *truth;
  struct ColtWorldRun *run;
  guint i;

  g_assert (server != NULL);
  if (order->token < server->token)
    return COLT_START_FENCED;
  server->token = order->token;
  server->until_us = MAX (server->until_us, order->until_us);
  if (order->until_us <= world->now_us)
    return COLT_START_LATE;
  for (i = 0; i < server->runs->len; i++)
    {
      run = g_ptr_array_index (server->runs, i);
      if (strcmp (run->task, order->task) == 0 && run->run == order->run)
        return COLT_START_TAKEN;
    }
  if (order->run
      < GPOINTER_TO_UINT (g_hash_table_lookup (server->floor, order->task)))
    return COLT_START_STALE;
  if (colt_world_chance (world, 0.02))
    return COLT_START_BAD_TICKET;
  truth = colt_world_truth (world, order->task);
  if (truth->running > 0 || truth->done_noted
      || truth->failures_noted >= MAX_ATTEMPTS)
    g_test_message ("%lld: %s run %u is to start on %s",
                    (long long)(world->now_us / COLT_US_PER_MS), order->task,
                    order->run, server->id);
  g_assert_cmpuint (truth->running, ==, 0);
  g_assert_false (truth->done_noted);
  g_assert_cmpuint (truth->failures_noted, <, MAX_ATTEMPTS);
  truth->running++;
  run = g_new0 (struct ColtWorldRun, 1);
  run->task = g_strdup (order->task);
  run->run = order->run;
  run->cpu = cpu_of (world, order->task);
  run->end_us = world->now_us
                + g_rand_int_range (world->rand, 50, 1500) * COLT_US_PER_MS;
  run->how = colt_world_chance (world, world->plan->failing_runs)
                 ? COLT_RUN_FAILED
                 : COLT_RUN_DONE;
  g_ptr_array_add (server->runs, run);
  world->result->starts++;
  g_test_message ("%lld: %s run %u starts on %s, %s until %lld",
                  (long long)(world->now_us / COLT_US_PER_MS), run->task,
                  run->run, server->id, colt_run_end_string[run->how],
                  (long long)(run->end_us / COLT_US_PER_MS));
  check_room (world, server);
  return COLT_START_TAKEN;
}

static void
carry_out_stop (struct ColtWorld *world, struct ColtWorldOrder *order)
{
  struct ColtWorldServer *server = order->server;
  guint i;

  g_assert (server != NULL);
  if (order->token < server->token)
    return;
  server->token = order->token;
  for (i = 0; i < server->runs->len; i++)
    {
      struct ColtWorldRun *run = g_ptr_array_index (server->runs, i);

      if (strcmp (run->task, order->task) == 0 && run->run == order->run)
        {
          run->how = COLT_RUN_STOPPED;
          run->end_us = MIN (run->end_us, world->now_us + STOP_US);
        }
    }
  if (order->run
      >= GPOINTER_TO_UINT (g_hash_table_lookup (server->floor, order->task)))
    g_hash_table_insert (server->floor, g_strdup (order->task),
                         GUINT_TO_POINTER (order->run + 1));
}

static void
answer_advice (struct ColtWorld *world, struct ColtWorldOrder *order)
{
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  GPtrArray *tickets = g_ptr_array_new_with_free_func (g_free);
  guint i;

  for (i = 0; i < order->names->len; i++)
    {
      const char *name = g_ptr_array_index (order->names, i);
      ColtTicket *ticket;

      if ((g_str_hash (order->task) ^ g_str_hash (name)) % 3 == 0)
        continue;
      ticket = g_new0 (ColtTicket, 1);
      colt_ticket__init (ticket);
      ticket->server = (char *)name;
      ticket->ticket = "ticket";
      g_ptr_array_add (tickets, ticket);
    }
  reply.answered = true;
  reply.valid_ms = 1500;
  reply.n_tickets = tickets->len;
  reply.tickets = (ColtTicket **)tickets->pdata;
  colt_cell_advised (
      world->cell, order->task, (const char *const *)order->names->pdata,
      order->names->len, order->answered ? &reply : NULL, world->now_us);
  g_ptr_array_unref (tickets);
}

static void
answer_order (struct ColtWorld *world, struct ColtWorldOrder *order)
{
  if (order->lead != world->generation)
    return;
  if (order->kind == ORDER_ADVICE)
    {
      answer_advice (world, order);
      return;
    }
  g_assert (order->server != NULL);
  if (order->kind == ORDER_START)
    colt_cell_started (world->cell, order->server->id, order->task, order->run,
                       order->answered ? order->result : COLT_START_UNKNOWN,
                       order->server->asked + 1, world->now_us);
  else
    colt_cell_stopped (world->cell, order->server->id, order->task, order->run,
                       order->answered, order->server->asked + 1,
                       world->now_us);
}

void
colt_world_play_orders (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->orders->len; i++)
    {
      struct ColtWorldOrder *order = g_ptr_array_index (world->orders, i);
      bool cut = order->server != NULL && order->server->cut;

      if (!order->done && world->now_us >= order->due_us)
        {
          order->done = true;
          if (cut
              || (order->server != NULL
                  && order->server->born_ms != order->born_ms))
            {
              order->answered = false;
              order->answer_us = MAX (order->answer_us, world->now_us);
            }
          else if (order->kind == ORDER_START)
            order->result = carry_out_start (world, order);
          else if (order->kind == ORDER_STOP)
            carry_out_stop (world, order);
        }
      if (order->answer_us != 0 && world->now_us >= order->answer_us)
        {
          order->answer_us = 0;
          answer_order (world, order);
        }
      if (order->answer_us == 0 && (order->done || order->due_us == INT64_MAX))
        g_ptr_array_remove_index (world->orders, i--);
    }
}
