#include <string.h>

#include "simulation_private.h"

/* Longest delay of a late order; longer than a lease. */
#define MAX_ORDER_DELAY_MS 6000
/* Time from a stop order to the end of its run. */
#define STOP_DURATION_US (100 * COLT_US_PER_MS)
/* Longest time from the start of a run to the crash of its server. */
#define CRASH_DELAY_MAX_MS 300

void
colt_sim_free_order (gpointer data)
{
  struct ColtSimOrder *order = data;

  if (order->server_names != NULL)
    g_ptr_array_unref (order->server_names);
  g_free (order->task);
  g_free (order->ticket);
  g_free (order);
}

/* Returns the demand of a task in thousandths of a core; a task's name begins
 * with its job's id. */
static uint32_t
get_cpu (struct ColtSim *sim, const char *task)
{
  char id[COLT_JOB_ID_LENGTH + 1];

  g_strlcpy (id, task, sizeof id);
  return ((struct ColtSimJob *)g_hash_table_lookup (sim->jobs, id))->cpu;
}

static struct ColtSimServer *
find_server (struct ColtSim *sim, const char *id)
{
  uint32_t i;

  for (i = 0; i < sim->server_count; i++)
    if (strcmp (sim->servers[i].id, id) == 0)
      return &sim->servers[i];
  g_assert_not_reached ();
}

/* Queues an order. Its answer may be lost; a start or stop may also be lost or
 * late. */
static struct ColtSimOrder *
add_order (struct ColtSim *sim,
           enum ColtSimOrderKind kind,
           const char *task,
           uint32_t run)
{
  struct ColtSimOrder *order = g_new0 (struct ColtSimOrder, 1);

  order->kind = kind;
  order->task = g_strdup (task);
  order->run = run;
  order->token = sim->generation;
  order->leader = sim->generation;
  order->sent_us = sim->now_us;
  order->due_us
      = sim->now_us + g_rand_int_range (sim->rand, 1, 30) * COLT_US_PER_MS;
  order->answer_us = order->due_us + STEP_US;
  order->answered = true;
  if (colt_sim_draw (sim, sim->plan->lost_answers))
    {
      order->answered = false;
      order->answer_us = sim->now_us + 500 * COLT_US_PER_MS;
      if (kind != ORDER_ADVICE && colt_sim_draw (sim, 0.3))
        order->due_us = INT64_MAX;
    }
  if (kind != ORDER_ADVICE && colt_sim_draw (sim, sim->plan->late_orders))
    {
      order->answered = false;
      order->answer_us = sim->now_us + 500 * COLT_US_PER_MS;
      order->due_us = sim->now_us
                      + g_rand_int_range (sim->rand, 500, MAX_ORDER_DELAY_MS)
                            * COLT_US_PER_MS;
    }
  g_ptr_array_add (sim->orders, order);
  return order;
}

static void
send_start (void *client, const struct ColtStartOrder *start)
{
  struct ColtSim *sim = client;
  struct ColtSimServer *server = find_server (sim, start->server);
  struct ColtSimOrder *order
      = add_order (sim, ORDER_START, start->task, start->run);

  g_assert_false (colt_sim_is_evacuated (sim, server));
  order->server = server;
  order->incarnation_ms = server->incarnation_ms;
  order->ticket = g_strdup (start->ticket);
  order->room = server->entry_room;
  order->lease_end_us = sim->now_us + LEASE_US;
  server->expiry_us = MAX (server->expiry_us, order->lease_end_us + STEP_US);
  g_assert_nonnull (start->ticket);
}

static void
send_stop (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtSim *sim = client;
  struct ColtSimOrder *order = add_order (sim, ORDER_STOP, task, run);

  order->server = find_server (sim, server);
  order->incarnation_ms = order->server->incarnation_ms;
}

static bool
request_advice (void *client,
                uint64_t call,
                const char *step,
                const char *const *servers,
                size_t count)
{
  struct ColtSim *sim = client;
  struct ColtSimOrder *order;
  size_t i;

  if (colt_sim_draw (sim, 0.2))
    return false;
  g_assert_cmpuint (count, >, 0);
  order = add_order (sim, ORDER_ADVICE, step, 0);
  order->call = call;
  order->server_names = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < count; i++)
    {
      g_assert_false (
          colt_sim_is_evacuated (sim, find_server (sim, servers[i])));
      g_ptr_array_add (order->server_names, g_strdup (servers[i]));
    }
  return true;
}

static void
log_decision (void *client,
              const char *job,
              const char *what,
              const char *detail)
{
  struct ColtSim *sim = client;

  g_test_message ("%lld ms: %s: %s %s",
                  (long long)(sim->now_us / COLT_US_PER_MS), what, detail,
                  job != NULL ? job : "");
}

/* No task of a simulation may stall. */
static void
refuse_fault (void *client,
              const char *job,
              const char *what,
              const char *detail)
{
  (void)client;
  g_error ("fault of the cell: %s: %s: %s", what, job, detail);
}

const struct ColtCellOps colt_sim_cell_ops
    = { send_start, send_stop, request_advice, log_decision, refuse_fault };

/* Checks a server's capacity, and the organisation's limit with a tolerance of
 * a tenth and one server's capacity. */
static void
check_capacity (struct ColtSim *sim, struct ColtSimServer *server)
{
  uint32_t used = 0;
  uint32_t all = 0;
  uint32_t s;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    used += ((struct ColtSimRun *)g_ptr_array_index (server->runs, i))->cpu;
  g_assert_cmpuint (used, <=, SERVER_CAPACITY);
  for (s = 0; s < sim->server_count; s++)
    for (i = 0; i < sim->servers[s].runs->len; i++)
      all += ((struct ColtSimRun *)g_ptr_array_index (sim->servers[s].runs, i))
                 ->cpu;
  g_assert_cmpuint (
      all, <=, ORGANISATION_CORES + ORGANISATION_CORES / 10 + SERVER_CAPACITY);
}

/* Asserts that the start that was ordered last brought the server no further
 * than the room that its sender knew. Earlier orders may arrive later; the cell
 * has to count them from when it sends them, and runs until they have ended. */
static void
check_room (struct ColtSim *sim, const struct ColtSimServer *server)
{
  const struct ColtSimRun *last = g_ptr_array_index (server->runs, 0);
  uint32_t used = 0;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtSimRun *run = g_ptr_array_index (server->runs, i);

      used += run->cpu;
      if (run->ordered_us >= last->ordered_us)
        last = run;
    }
  if (last->room < SERVER_CAPACITY)
    sim->result->shrunken_starts++;
  if (used <= last->room)
    return;
  g_test_message ("%lld ms: %s run %u, ordered at %lld ms when the room of %s "
                  "was known as %u, brings it to %u",
                  (long long)(sim->now_us / COLT_US_PER_MS), last->task,
                  last->run, (long long)(last->ordered_us / COLT_US_PER_MS),
                  server->id, last->room, used);
  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtSimRun *run = g_ptr_array_index (server->runs, i);

      g_test_message ("has %s run %u of %u, ordered at %lld ms", run->task,
                      run->run, run->cpu,
                      (long long)(run->ordered_us / COLT_US_PER_MS));
    }
  g_assert_cmpuint (used, <=, last->room);
}

/* Asserts that a task that crashes servers is started only a few times more
 * after some servers have crashed under it. */
static void
check_deadly_start (struct ColtSim *sim,
                    const struct ColtSimOrder *order,
                    struct ColtSimTaskTruth *truth)
{
  if (!truth->deadly || truth->crashes < CRASHES_TO_LIMIT)
    return;
  truth->late_starts++;
  g_test_message ("%lld ms: start %u of %s after %u crashes under it",
                  (long long)(sim->now_us / COLT_US_PER_MS), truth->late_starts,
                  order->task, truth->crashes);
  g_assert_cmpuint (truth->late_starts, <=, STARTS_AFTER_CRASHES);
}

/* Starts a run on its server as the backend protocol demands. Asserts that the
 * task runs nowhere else, isn't done, has attempts left and may still be
 * started if it crashes servers. */
static enum ColtStartResult
execute_start (struct ColtSim *sim, struct ColtSimOrder *order)
{
  struct ColtSimServer *server = order->server;
  struct ColtSimTaskTruth *truth;
  struct ColtSimRun *run;
  guint i;

  g_assert (server != NULL);
  if (order->token < server->token)
    return COLT_START_FENCED;
  server->token = order->token;
  server->lease_end_us = MAX (server->lease_end_us, order->lease_end_us);
  if (order->lease_end_us <= sim->now_us)
    return COLT_START_LATE;
  for (i = 0; i < server->runs->len; i++)
    {
      run = g_ptr_array_index (server->runs, i);
      if (strcmp (run->task, order->task) == 0 && run->run == order->run)
        return COLT_START_TAKEN;
    }
  if (order->run
      < GPOINTER_TO_UINT (g_hash_table_lookup (server->min_runs, order->task)))
    return COLT_START_STALE;
  if (colt_sim_draw (sim, 0.02))
    return COLT_START_BAD_TICKET;
  truth = colt_sim_get_truth (sim, order->task);
  if (truth->running > 0 || truth->done_acked
      || truth->failures_acked >= MAX_ATTEMPTS)
    g_test_message ("%lld ms: invalid start of %s run %u on %s",
                    (long long)(sim->now_us / COLT_US_PER_MS), order->task,
                    order->run, server->id);
  g_assert_cmpuint (truth->running, ==, 0);
  g_assert_false (truth->done_acked);
  g_assert_true (truth->late_done_acked_us == 0
                 || order->sent_us <= truth->late_done_acked_us);
  g_assert_cmpuint (truth->failures_acked, <, MAX_ATTEMPTS);
  check_deadly_start (sim, order, truth);
  truth->running++;
  truth->last_started = MAX (truth->last_started, order->run);
  run = g_new0 (struct ColtSimRun, 1);
  run->task = g_strdup (order->task);
  run->run = order->run;
  run->cpu = get_cpu (sim, order->task);
  run->end_us
      = sim->now_us + g_rand_int_range (sim->rand, 50, 1500) * COLT_US_PER_MS;
  run->how = colt_sim_draw (sim, sim->plan->failing_runs) ? COLT_RUN_FAILED
                                                          : COLT_RUN_DONE;
  if (truth->deadly)
    {
      run->crash_us = sim->now_us
                      + g_rand_int_range (sim->rand, 1, CRASH_DELAY_MAX_MS)
                            * COLT_US_PER_MS;
      run->end_us = INT64_MAX;
    }
  run->ordered_us = order->sent_us;
  run->room = order->room;
  g_ptr_array_add (server->runs, run);
  sim->result->starts++;
  g_test_message ("%lld ms: %s run %u starts on %s, %s at %lld ms",
                  (long long)(sim->now_us / COLT_US_PER_MS), run->task,
                  run->run, server->id,
                  truth->deadly ? "crashes it" : colt_run_end_string[run->how],
                  (long long)((truth->deadly ? run->crash_us : run->end_us)
                              / COLT_US_PER_MS));
  check_capacity (sim, server);
  check_room (sim, server);
  return COLT_START_TAKEN;
}

static void
execute_stop (struct ColtSim *sim, struct ColtSimOrder *order)
{
  struct ColtSimServer *server = order->server;
  guint i;

  g_assert (server != NULL);
  if (order->token < server->token)
    return;
  server->token = order->token;
  for (i = 0; i < server->runs->len; i++)
    {
      struct ColtSimRun *run = g_ptr_array_index (server->runs, i);

      if (strcmp (run->task, order->task) == 0 && run->run == order->run)
        {
          run->how = COLT_RUN_STOPPED;
          run->end_us = MIN (run->end_us, sim->now_us + STOP_DURATION_US);
        }
    }
  if (order->run
      >= GPOINTER_TO_UINT (g_hash_table_lookup (server->min_runs, order->task)))
    g_hash_table_insert (server->min_runs, g_strdup (order->task),
                         GUINT_TO_POINTER (order->run + 1));
}

/* Grants tickets for about two thirds of the servers. The choice depends only
 * on the step and the server's machine, as the cell requires. */
static void
answer_advice (struct ColtSim *sim, struct ColtSimOrder *order)
{
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  GPtrArray *tickets = g_ptr_array_new_with_free_func (g_free);
  guint i;

  for (i = 0; i < order->server_names->len; i++)
    {
      const char *name = g_ptr_array_index (order->server_names, i);
      char machine[SERVER_ID_SIZE];
      ColtTicket *ticket;

      g_snprintf (machine, sizeof machine, SERVER_ID_FORMAT,
                  find_server (sim, name)->machine);
      if ((g_str_hash (order->task) ^ g_str_hash (machine)) % 3 == 0)
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
  colt_cell_apply_advice (sim->cell, order->call,
                          order->answered ? &reply : NULL, sim->now_us);
  g_ptr_array_unref (tickets);
}

/* Reports an answer to the cell unless the leader that sent the order was
 * replaced. */
static void
answer_order (struct ColtSim *sim, struct ColtSimOrder *order)
{
  if (order->leader != sim->generation)
    return;
  if (order->kind == ORDER_ADVICE)
    {
      answer_advice (sim, order);
      return;
    }
  g_assert (order->server != NULL);
  if (order->gone && order->answered)
    colt_cell_end_server_runs (sim->cell, order->server->id, sim->now_us);
  if (order->kind == ORDER_START)
    colt_cell_apply_start_result (
        sim->cell, order->server->id, order->task, order->run,
        order->answered ? order->result : COLT_START_UNKNOWN,
        order->server->renewals + 1, sim->now_us);
  else
    colt_cell_apply_stop_result (sim->cell, order->server->id, order->task,
                                 order->run, order->answered,
                                 order->server->renewals + 1, sim->now_us);
}

static void
execute_order (struct ColtSim *sim, struct ColtSimOrder *order)
{
  if (order->kind == ORDER_ADVICE)
    return;
  g_assert (order->server != NULL);
  order->gone = order->server->successor != NULL;
  if (colt_sim_is_silent (colt_sim_get_answerer (order->server))
      || (!order->gone
          && order->server->incarnation_ms != order->incarnation_ms))
    {
      order->answered = false;
      order->answer_us = MAX (order->answer_us, sim->now_us);
    }
  else if (order->gone)
    order->result = COLT_START_GONE;
  else if (order->kind == ORDER_START)
    order->result = execute_start (sim, order);
  else
    execute_stop (sim, order);
}

void
colt_sim_deliver_orders (struct ColtSim *sim)
{
  guint i;

  for (i = 0; i < sim->orders->len; i++)
    {
      struct ColtSimOrder *order = g_ptr_array_index (sim->orders, i);
      if (!order->done && sim->now_us >= order->due_us)
        {
          order->done = true;
          execute_order (sim, order);
        }
      if (order->answer_us != 0 && sim->now_us >= order->answer_us)
        {
          order->answer_us = 0;
          answer_order (sim, order);
        }
      if (order->answer_us == 0 && (order->done || order->due_us == INT64_MAX))
        g_ptr_array_remove_index (sim->orders, i--);
    }
}
