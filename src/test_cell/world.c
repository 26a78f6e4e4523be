#include "world.h"

#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

#define STEP_US (10 * COLT_US_PER_MS)
#define LEASE_US (5 * COLT_US_PER_S)
#define SETTLE_US (LEASE_US + LEASE_US / 20 + 400 * COLT_US_PER_MS)
#define LOOK_EVERY_US (60 * COLT_US_PER_MS)
#define COMMIT_US (30 * COLT_US_PER_MS)
#define LATE_MAX_MS 6000
#define MAX_ATTEMPTS 3
#define ROOM 4000
#define LIMIT 9000
/* Time without faults at the end: leases end, and what waits runs. */
#define CALM_STEPS 8000
#define STOP_US (100 * COLT_US_PER_MS)
#define QUEUE "queue"
#define SERVICE "service"
#define ORGANISATION "organisation"

struct ColtWorldRun
{
  char *task;
  uint32_t run;
  uint32_t cpu;
  int64_t end_us;
  enum ColtRunEnd how;
};

struct ColtWorldEnd
{
  uint64_t number;
  char *task;
  uint32_t run;
  enum ColtRunEnd how;
  bool lapsed; /* the server's leases ended before it was noted */
};

struct ColtWorldServer
{
  char id[16];
  int64_t born_ms;
  bool cut;
  int64_t cut_until_us;
  uint64_t token;
  int64_t until_us;
  uint64_t last_end;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *floor; /* task -> highest run stopped or ended, plus one */
  /* The lead's side. */
  int64_t known_born_ms;
  uint64_t asked;
  uint64_t noted;
  int64_t next_look_us;
  int64_t lapse_us;
  uint32_t failures;
};

enum ColtWorldOrderKind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_ADVICE
};

struct ColtWorldOrder
{
  enum ColtWorldOrderKind kind;
  struct ColtWorldServer *server;
  char *task;
  char *ticket;
  uint32_t run;
  uint64_t token;
  int64_t born_ms; /* an order doesn't outlive the server it was sent to */
  int64_t until_us;
  int64_t due_us;
  int64_t answer_us;
  uint32_t lead;
  bool answered; /* the answer arrives */
  bool done;
  enum ColtStartResult result;
  GPtrArray *names;
};

/* Ends that may be noted once a batch is durable. */
struct ColtWorldNote
{
  struct ColtWorldServer *server;
  int64_t born_ms;
  uint64_t number;
};

struct ColtWorldTaskTruth
{
  uint32_t running;
  uint32_t failures_noted;
  bool done_noted;
};

struct ColtWorld
{
  const struct ColtWorldPlan *plan;
  struct ColtWorldResult *result;
  GRand *rand;
  int64_t now_us;
  uint32_t generation;
  struct ColtCell *cell;
  struct ColtFleet *fleet;
  struct ColtWorldServer *servers;
  GPtrArray *orders;
  GHashTable *log;   /* key -> GBytes */
  GHashTable *truth; /* task -> struct ColtWorldTaskTruth */
  GHashTable *cpu;   /* id -> demand of the job's tasks */
  GArray *batch;
  int64_t batch_due_us;
  GArray *noting;       /* of struct ColtWorldNote, for the next batch */
  GArray *batch_noting; /* for the batch on its way */
  GPtrArray *sent;      /* ids of jobs */
  uint32_t submitted;
};

static bool
chance (struct ColtWorld *world, double share)
{
  return g_rand_double (world->rand) < share;
}

static void
free_run (gpointer data)
{
  struct ColtWorldRun *run = data;

  g_free (run->task);
  g_free (run);
}

static void
free_end (gpointer data)
{
  struct ColtWorldEnd *end = data;

  g_free (end->task);
  g_free (end);
}

static void
free_order (gpointer data)
{
  struct ColtWorldOrder *order = data;

  if (order->names != NULL)
    g_ptr_array_unref (order->names);
  g_free (order->task);
  g_free (order->ticket);
  g_free (order);
}

static struct ColtWorldTaskTruth *
truth_of (struct ColtWorld *world, const char *task)
{
  struct ColtWorldTaskTruth *truth = g_hash_table_lookup (world->truth, task);

  if (truth == NULL)
    {
      truth = g_new0 (struct ColtWorldTaskTruth, 1);
      g_hash_table_insert (world->truth, g_strdup (task), truth);
    }
  return truth;
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
  if (chance (world, world->plan->lost_answers))
    {
      order->answered = false;
      order->answer_us = world->now_us + 500 * COLT_US_PER_MS;
      if (kind != ORDER_ADVICE && chance (world, 0.3))
        order->due_us = INT64_MAX;
    }
  if (kind != ORDER_ADVICE && chance (world, world->plan->late_orders))
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

  if (chance (world, 0.2))
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

static const struct ColtCellOps ops
    = { op_start, op_stop, op_advise, op_decided };

/* The end stays listed until it is noted. */
static void
end_run (struct ColtWorld *world,
         struct ColtWorldServer *server,
         guint index,
         enum ColtRunEnd how)
{
  struct ColtWorldRun *run = g_ptr_array_index (server->runs, index);
  struct ColtWorldEnd *end = g_new0 (struct ColtWorldEnd, 1);

  g_test_message ("%lld: %s run %u on %s: %s",
                  (long long)(world->now_us / COLT_US_PER_MS), run->task,
                  run->run, server->id, colt_run_end_string[how]);
  end->number = ++server->last_end;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  g_ptr_array_add (server->ends, end);
  truth_of (world, run->task)->running--;
  g_hash_table_insert (server->floor, g_strdup (run->task),
                       GUINT_TO_POINTER (run->run + 1));
  g_ptr_array_remove_index (server->runs, index);
}

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
  if (chance (world, 0.02))
    return COLT_START_BAD_TICKET;
  truth = truth_of (world, order->task);
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
  run->how = chance (world, world->plan->failing_runs) ? COLT_RUN_FAILED
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

static void
play_orders (struct ColtWorld *world)
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

static void
play_servers (struct ColtWorld *world)
{
  uint32_t s;
  guint i;

  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      if (server->cut && world->now_us >= server->cut_until_us)
        server->cut = false;
      if (!server->cut && chance (world, world->plan->cuts))
        {
          server->cut = true;
          server->cut_until_us
              = world->now_us
                + g_rand_int_range (world->rand, 100, 9000) * COLT_US_PER_MS;
        }
      for (i = server->runs->len; i-- > 0;)
        {
          struct ColtWorldRun *run = g_ptr_array_index (server->runs, i);

          if (world->now_us >= server->until_us)
            end_run (world, server, i, COLT_RUN_LAPSED);
          else if (world->now_us >= run->end_us)
            end_run (world, server, i, run->how);
        }
      for (i = 0; i < server->ends->len && world->now_us >= server->until_us;
           i++)
        ((struct ColtWorldEnd *)g_ptr_array_index (server->ends, i))->lapsed
            = true;
      if (chance (world, world->plan->crashes))
        {
          for (i = 0; i < server->runs->len; i++)
            truth_of (world, ((struct ColtWorldRun *)g_ptr_array_index (
                                  server->runs, i))
                                 ->task)
                ->running--;
          g_ptr_array_set_size (server->runs, 0);
          g_ptr_array_set_size (server->ends, 0);
          g_hash_table_remove_all (server->floor);
          server->born_ms++;
          server->token = 0;
          server->until_us = 0;
          server->last_end = 0;
        }
    }
}

static void
note_ends (struct ColtWorld *world, struct ColtWorldServer *server)
{
  while (server->ends->len > 0)
    {
      struct ColtWorldEnd *end = g_ptr_array_index (server->ends, 0);
      struct ColtWorldTaskTruth *truth = truth_of (world, end->task);

      if (end->number > server->noted)
        return;
      if (end->how == COLT_RUN_DONE && !end->lapsed)
        truth->done_noted = true;
      if (end->how == COLT_RUN_FAILED && !end->lapsed)
        {
          truth->failures_noted++;
          g_test_message ("%lld: %s run %u on %s: failure %u is noted",
                          (long long)(world->now_us / COLT_US_PER_MS),
                          end->task, end->run, server->id,
                          truth->failures_noted);
        }
      g_ptr_array_remove_index (server->ends, 0);
    }
}

static void
report (struct ColtWorld *world, struct ColtWorldServer *server)
{
  GArray *running
      = g_array_new (FALSE, FALSE, sizeof (struct ColtRunningEntry));
  GArray *finished
      = g_array_new (FALSE, FALSE, sizeof (struct ColtFinishedEntry));
  struct ColtServerReport list = { 0 };
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtWorldRun *run = g_ptr_array_index (server->runs, i);
      const struct ColtRunningEntry entry = { run->task, run->run, "", 100 };

      g_array_append_val (running, entry);
    }
  for (i = 0; i < server->ends->len; i++)
    {
      const struct ColtWorldEnd *end = g_ptr_array_index (server->ends, i);
      const struct ColtFinishedEntry entry
          = { end->number, end->task, end->run, end->how, "" };

      g_array_append_val (finished, entry);
    }
  list.asked = server->asked;
  list.running = (const struct ColtRunningEntry *)running->data;
  list.running_count = running->len;
  list.finished = (const struct ColtFinishedEntry *)finished->data;
  list.finished_count = finished->len;
  colt_cell_report (world->cell, server->id, &list, world->now_us);
  if (finished->len > 0)
    {
      const struct ColtWorldNote note
          = { server, server->born_ms,
              g_array_index (finished, struct ColtFinishedEntry,
                             finished->len - 1)
                  .number };

      g_array_append_val (world->noting, note);
    }
  g_array_unref (running);
  g_array_unref (finished);
}

static void
set_entry (struct ColtWorld *world, struct ColtWorldServer *server)
{
  const char *labels[] = { "a", "r-1", NULL };
  struct ColtServerEntry entry = { 0 };

  entry.id = server->id;
  entry.service = SERVICE;
  entry.address = "127.0.0.1:1";
  entry.zone = "zone";
  entry.ready = true;
  entry.born_ms = server->born_ms;
  entry.room.amount[COLT_RESOURCE_CORES] = ROOM;
  entry.room.amount[COLT_RESOURCE_MEMORY] = ROOM;
  entry.labels = labels;
  colt_cell_set_server (world->cell, &entry, world->now_us);
}

static void
play_looks (struct ColtWorld *world)
{
  uint32_t s;

  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      if (!server->cut)
        set_entry (world, server);
      if (server->lapse_us > 0
          && world->now_us > server->lapse_us + LEASE_US / 40)
        {
          server->lapse_us = 0;
          colt_cell_emptied (world->cell, server->id, world->now_us);
        }
      if (world->now_us < server->next_look_us)
        continue;
      server->next_look_us = world->now_us + LOOK_EVERY_US;
      server->asked++;
      if (server->cut)
        {
          if (++server->failures == 2)
            colt_cell_set_dark (world->cell, server->id);
          continue;
        }
      server->failures = 0;
      if (server->known_born_ms != server->born_ms)
        {
          if (server->known_born_ms != 0)
            colt_cell_emptied (world->cell, server->id, world->now_us);
          server->known_born_ms = server->born_ms;
          server->noted = 0;
          server->lapse_us = 0;
        }
      g_assert_cmpuint (server->token, <=, world->generation);
      server->token = world->generation;
      server->until_us = world->now_us + LEASE_US;
      server->lapse_us = MAX (server->lapse_us, server->until_us + STEP_US);
      note_ends (world, server);
      report (world, server);
    }
}

static void
take_batch (struct ColtWorld *world)
{
  GArray *noting = world->batch_noting;

  world->batch = colt_cell_take_records (world->cell, SIZE_MAX,
                                         world->now_us / COLT_US_PER_MS);
  world->batch_due_us = world->now_us + COMMIT_US;
  world->batch_noting = world->noting;
  world->noting = noting;
}

static void
store_batch (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->batch->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (world->batch, struct ColtCellRecord, i);

      if (record->value == NULL)
        g_hash_table_remove (world->log, record->key);
      else
        g_hash_table_insert (world->log, g_strdup (record->key),
                             g_bytes_new (record->value, record->size));
    }
}

static void
play_commits (struct ColtWorld *world)
{
  guint i;

  if (world->batch == NULL)
    take_batch (world);
  if (world->now_us < world->batch_due_us)
    return;
  store_batch (world);
  colt_cell_free_records (world->batch);
  world->batch = NULL;
  colt_cell_committed (world->cell, world->now_us);
  for (i = 0; i < world->batch_noting->len; i++)
    {
      const struct ColtWorldNote *note
          = &g_array_index (world->batch_noting, struct ColtWorldNote, i);

      if (note->born_ms == note->server->born_ms)
        note->server->noted = MAX (note->server->noted, note->number);
    }
  g_array_set_size (world->batch_noting, 0);
}

static void
load (struct ColtWorld *world, bool specs)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, world->log);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      gsize size;
      const uint8_t *bytes = g_bytes_get_data (value, &size);

      if ((((const char *)key)[0] == 'p') == specs)
        continue;
      g_assert_true (colt_cell_load (world->cell, key, bytes, size,
                                     world->now_us,
                                     world->now_us / COLT_US_PER_MS));
    }
}

/* The next lead knows what is in the log, and nothing else. */
static void
change_lead (struct ColtWorld *world)
{
  const struct ColtCellLimits limits
      = { 3600 * COLT_US_PER_S, 800 * COLT_US_PER_MS, 30 };
  uint32_t s;

  if (world->batch != NULL)
    {
      if (chance (world, 0.5))
        store_batch (world);
      colt_cell_free_records (world->batch);
      world->batch = NULL;
    }
  g_array_set_size (world->noting, 0);
  g_array_set_size (world->batch_noting, 0);
  colt_cell_destroy (world->cell);
  world->generation++;
  g_test_message ("%lld: lead %u", (long long)(world->now_us / COLT_US_PER_MS),
                  world->generation);
  world->result->leads = world->generation;
  world->cell = colt_cell_create (&ops, world, &limits, world->generation);
  colt_cell_set_fleet (world->cell, world->fleet);
  colt_cell_set_advisers (world->cell, 4);
  load (world, true);
  load (world, false);
  colt_cell_loaded (world->cell, world->now_us + SETTLE_US);
  for (s = 0; s < world->plan->servers; s++)
    {
      world->servers[s].noted = 0;
      world->servers[s].lapse_us = 0;
      world->servers[s].failures = 0;
      world->servers[s].next_look_us = world->now_us;
      world->servers[s].known_born_ms = 0;
    }
}

static void
submit (struct ColtWorld *world)
{
  ColtJobSpec *spec = malloc (sizeof *spec);
  uint32_t steps = (uint32_t)g_rand_int_range (world->rand, 1, 4);
  uint32_t cpu = (uint32_t)g_rand_int_range (world->rand, 200, 2000);
  uint32_t i;

  colt_job_spec__init (spec);
  spec->id = g_strdup_printf ("%016x", ++world->submitted);
  spec->organisation = strdup (ORGANISATION);
  spec->queue = strdup (QUEUE);
  spec->payload = strdup ("payload");
  spec->steps = calloc (steps, sizeof *spec->steps);
  for (i = 0; i < steps; i++)
    {
      ColtJobStep *step = malloc (sizeof *step);

      colt_job_step__init (step);
      step->count = (uint32_t)g_rand_int_range (world->rand, 1, 5);
      step->cpu_milli = cpu;
      step->memory_mb = 1;
      if (i > 0)
        {
          step->after = calloc (1, sizeof *step->after);
          step->after[0] = i - 1;
          step->n_after = 1;
        }
      spec->steps[spec->n_steps++] = step;
    }
  g_hash_table_insert (world->cpu, g_strdup (spec->id), GUINT_TO_POINTER (cpu));
  g_ptr_array_add (world->sent, g_strdup (spec->id));
  g_assert_cmpint (colt_cell_submit (world->cell, spec, world->now_us), ==,
                   COLT_SUBMIT_NEW);
}

static void
play_callers (struct ColtWorld *world)
{
  const char *id;

  if (world->submitted < world->plan->jobs && chance (world, 0.1))
    submit (world);
  if (world->sent->len == 0 || !chance (world, world->plan->cancels))
    return;
  id = g_ptr_array_index (
      world->sent,
      (guint)g_rand_int_range (world->rand, 0, (gint32)world->sent->len));
  colt_cell_cancel (world->cell, id, world->now_us);
}

/* After calm, what was durable has ended, truly. */
static void
check_ends (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->sent->len; i++)
    {
      enum ColtJobState state;

      if (!colt_cell_state (world->cell, g_ptr_array_index (world->sent, i),
                            &state))
        continue;
      world->result->accepted++;
      if (state <= COLT_JOB_RUNNING)
        g_test_message ("%s hasn't ended",
                        (char *)g_ptr_array_index (world->sent, i));
      g_assert_cmpint (state, !=, COLT_JOB_QUEUED);
      g_assert_cmpint (state, !=, COLT_JOB_RUNNING);
      if (state == COLT_JOB_COMPLETED)
        world->result->completed++;
      if (state == COLT_JOB_FAILED)
        world->result->failed++;
    }
}

static struct ColtFleet *
make_fleet (void)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);
  struct ColtOrganisation *organisation = colt_fleet_add_organisation (fleet);

  queue->name = g_strdup (QUEUE);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup (SERVICE);
  queue->max_attempts = MAX_ATTEMPTS;
  queue->advised = true;
  organisation->name = g_strdup (ORGANISATION);
  organisation->maximum.amount[COLT_RESOURCE_CORES] = LIMIT;
  return fleet;
}

static void
make_servers (struct ColtWorld *world)
{
  uint32_t s;

  world->servers = g_new0 (struct ColtWorldServer, world->plan->servers);
  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      g_snprintf (server->id, sizeof server->id, "server-%u", s);
      server->born_ms = 1;
      server->runs = g_ptr_array_new_with_free_func (free_run);
      server->ends = g_ptr_array_new_with_free_func (free_end);
      server->floor
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

static void
free_world (struct ColtWorld *world)
{
  uint32_t s;

  for (s = 0; s < world->plan->servers; s++)
    {
      g_ptr_array_unref (world->servers[s].runs);
      g_ptr_array_unref (world->servers[s].ends);
      g_hash_table_unref (world->servers[s].floor);
    }
  if (world->batch != NULL)
    colt_cell_free_records (world->batch);
  g_free (world->servers);
  colt_cell_destroy (world->cell);
  colt_fleet_unref (world->fleet);
  g_ptr_array_unref (world->orders);
  g_ptr_array_unref (world->sent);
  g_hash_table_unref (world->log);
  g_hash_table_unref (world->truth);
  g_hash_table_unref (world->cpu);
  g_array_unref (world->noting);
  g_array_unref (world->batch_noting);
  g_rand_free (world->rand);
}

void
colt_world_play (const struct ColtWorldPlan *plan,
                 struct ColtWorldResult *result)
{
  struct ColtWorldPlan now = *plan;
  struct ColtWorld world = { 0 };
  uint32_t step;

  memset (result, 0, sizeof *result);
  world.plan = &now;
  world.result = result;
  world.rand = g_rand_new_with_seed (plan->seed);
  world.now_us = COLT_US_PER_S;
  world.fleet = make_fleet ();
  make_servers (&world);
  world.orders = g_ptr_array_new_with_free_func (free_order);
  world.sent = g_ptr_array_new_with_free_func (g_free);
  world.log = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)g_bytes_unref);
  world.truth = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world.cpu = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world.noting = g_array_new (FALSE, FALSE, sizeof (struct ColtWorldNote));
  world.batch_noting
      = g_array_new (FALSE, FALSE, sizeof (struct ColtWorldNote));
  change_lead (&world);
  for (step = 0; step < plan->steps + CALM_STEPS; step++)
    {
      if (step == plan->steps)
        {
          now.lost_answers = now.late_orders = now.lead_changes = 0;
          now.cuts = now.crashes = now.cancels = now.failing_runs = 0;
          now.jobs = 0;
        }
      if (chance (&world, now.lead_changes))
        change_lead (&world);
      play_callers (&world);
      play_servers (&world);
      play_orders (&world);
      play_looks (&world);
      play_commits (&world);
      colt_cell_tick (world.cell, world.now_us, world.now_us / COLT_US_PER_MS);
      colt_cell_place (world.cell, world.now_us, world.now_us / COLT_US_PER_MS);
      world.now_us += STEP_US;
    }
  check_ends (&world);
  free_world (&world);
}
