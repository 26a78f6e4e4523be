/* Compares the servers that the cell names and chooses with a plain computation
 * from a model of the fleet: each candidate is looked at, and all are sorted.
 * No task is ever done, so that all servers count as equally fast. */
#include <stdlib.h>
#include <string.h>

#include "fixture.h"

#define SERVERS 60
/* Servers that begin or end draining in a round. */
#define SERVERS_CHANGED 4
#define STEPS 80
#define TASKS_MAX 6
#define ROUNDS 240
#define SEEDS 6
#define ROUND_US (40 * MS)
#define ADVISERS 200
#define NAMED_MAX 30
/* Advice calls in a row without a start after which servers with room come
 * first. */
#define FRUITLESS_CALLS_MAX 4
#define VALID_MS 1200
#define TICKET_MARGIN_US (150 * MS)
#define NOWHERE SERVERS

/* The adviser's reply about a server for a step. */
struct ColtModelAdvice
{
  bool known;
  bool suitable;
  int64_t valid_until_us; /* of the ticket */
};

struct ColtModelTask
{
  guint server; /* where it runs; NOWHERE: waiting */
  guint last_server;
  uint32_t run;
};

struct ColtModelStep
{
  struct ColtResources demand;
  uint32_t count;
  uint32_t max_per_server;
  bool lasting;
  uint32_t fruitless_calls;
  const char *label;
  const char *rack;
  int64_t not_before_us;
  struct ColtModelTask tasks[TASKS_MAX];
  struct ColtModelAdvice advice[SERVERS];
};

struct ColtModelServer
{
  char id[8];
  const char *label;
  const char *rack;
  bool ready;
  struct ColtResources room;
  struct ColtResources used;
  uint64_t last_end;
};

struct ColtModelCall
{
  uint64_t number;
  guint step;
  GPtrArray *names;
};

struct ColtModel
{
  struct ColtCell *cell;
  GRand *rand;
  int64_t now_us;
  guint step_count;
  struct ColtModelStep steps[STEPS];
  struct ColtModelServer servers[SERVERS];
  GArray *calls; /* of struct ColtModelCall, without a reply yet */
  uint64_t chosen;
  uint64_t named;
};

static guint
parse_step (const char *name)
{
  return (guint)(g_ascii_strtoull (name, NULL, 16) - 1);
}

static guint
parse_server (const char *id)
{
  return (guint)g_ascii_strtoull (id + 2, NULL, 10);
}

static bool
has_room (const struct ColtModelStep *step,
          const struct ColtModelServer *server)
{
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (server->used.amount[r] + step->demand.amount[r]
        > server->room.amount[r])
      return false;
  return true;
}

static bool
meets_constraints (const struct ColtModelStep *step,
                   const struct ColtModelServer *server,
                   guint index)
{
  uint32_t runs = 0;
  uint32_t i;

  for (i = 0; i < step->count; i++)
    runs += step->tasks[i].server == index ? 1 : 0;
  return (step->label[0] == '\0' || strcmp (step->label, server->label) == 0)
         && (step->max_per_server == 0 || runs < step->max_per_server);
}

static uint32_t
count_waiting (const struct ColtModelStep *step)
{
  uint32_t waiting = 0;
  uint32_t i;

  for (i = 0; i < step->count; i++)
    waiting += step->tasks[i].server == NOWHERE ? 1 : 0;
  return waiting;
}

static double
score_choice (const struct ColtModelStep *step,
              const struct ColtModelTask *task,
              const struct ColtModelServer *server,
              guint index)
{
  double score = 0;
  int r;

  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (server->room.amount[r] > 0)
      score += (double)server->used.amount[r] / (double)server->room.amount[r];
  if (strcmp (step->rack, server->rack) == 0)
    score += 10;
  if (task->last_server == index)
    score -= 5;
  return score;
}

/* Returns the server that a task gets now; NOWHERE: none. */
static guint
choose (const struct ColtModel *model,
        const struct ColtModelStep *step,
        const struct ColtModelTask *task)
{
  guint best = NOWHERE;
  double best_score = 0;
  guint i;

  for (i = 0; i < SERVERS; i++)
    {
      const struct ColtModelServer *server = &model->servers[i];
      const struct ColtModelAdvice *advice = &step->advice[i];
      double score = score_choice (step, task, server, i);

      if (!server->ready || !advice->suitable || !has_room (step, server)
          || advice->valid_until_us < model->now_us + TICKET_MARGIN_US
          || !meets_constraints (step, server, i))
        continue;
      if (best != NOWHERE && score <= best_score)
        continue;
      best = i;
      best_score = score;
    }
  return best;
}

struct ColtModelRank
{
  double score;
  guint server;
};

static int
compare_ranks (gconstpointer a, gconstpointer b)
{
  const struct ColtModelRank *left = a;
  const struct ColtModelRank *right = b;

  if (left->score != right->score)
    return left->score > right->score ? -1 : 1;
  return left->server < right->server ? -1 : left->server > right->server;
}

/* Checks the servers that an advice call of the pass names. */
static void
check_names (const struct ColtModel *model, const struct ColtModelCall *call)
{
  const struct ColtModelStep *step = &model->steps[call->step];
  bool room_first
      = step->lasting || step->fruitless_calls >= FRUITLESS_CALLS_MAX;
  struct ColtModelRank ranks[SERVERS];
  guint count = 0;
  guint i;

  for (i = 0; i < SERVERS; i++)
    {
      const struct ColtModelServer *server = &model->servers[i];
      const struct ColtModelAdvice *advice = &step->advice[i];
      double score = (double)server->used.amount[COLT_RESOURCE_CORES]
                     / (double)(server->room.amount[COLT_RESOURCE_CORES] + 1);

      if (!server->ready || !meets_constraints (step, server, i)
          || !colt_resources_fit (&step->demand, &server->room)
          || (advice->known && !advice->suitable))
        continue;
      if (has_room (step, server))
        score += room_first ? 4 : 2;
      if (advice->known)
        score += room_first ? 2 : 4;
      ranks[count].score = score - 1;
      ranks[count++].server = i;
    }
  qsort (ranks, count, sizeof *ranks, compare_ranks);
  count = MIN (count, MIN (8 + 4 * count_waiting (step), NAMED_MAX));
  g_assert_cmpuint (call->names->len, ==, count);
  for (i = 0; i < count; i++)
    g_assert_cmpstr (g_ptr_array_index (call->names, i), ==,
                     model->servers[ranks[i].server].id);
}

static void
note_start (void *client, const struct ColtStartOrder *order)
{
  const struct ColtModel *model = client;
  const struct ColtModelStep *step = &model->steps[parse_step (order->task)];
  guint index
      = (guint)g_ascii_strtoull (strrchr (order->task, '.') + 1, NULL, 10);

  g_assert_cmpuint (step->tasks[index].server, ==,
                    parse_server (order->server));
  g_assert_cmpuint (step->tasks[index].run, ==, order->run);
}

static void
refuse_stop (void *client, const char *server, const char *task, uint32_t run)
{
  (void)client;
  (void)server;
  (void)task;
  (void)run;
  g_assert_not_reached ();
}

static bool
note_advice_call (void *client,
                  uint64_t number,
                  const char *step,
                  const char *const *servers,
                  size_t count)
{
  struct ColtModel *model = client;
  const struct ColtModelCall call
      = { number, parse_step (step), g_ptr_array_new_with_free_func (g_free) };
  size_t i;

  for (i = 0; i < count; i++)
    g_ptr_array_add (call.names, g_strdup (servers[i]));
  model->named += count;
  g_array_append_val (model->calls, call);
  return true;
}

/* Checks each planned run, in the order of the plan, and applies it. */
static void
note_decision (void *client,
               const char *job,
               const char *what,
               const char *detail)
{
  struct ColtModel *model = client;
  struct ColtModelStep *step;
  char **runs;
  guint i;

  if (strcmp (what, "tasks planned") != 0)
    return;
  step = &model->steps[parse_step (job)];
  runs = g_strsplit (strrchr (detail, ':') + 2, " ", -1);
  for (i = 0; runs[i] != NULL; i++)
    {
      struct ColtModelTask *task
          = &step->tasks[g_ascii_strtoull (runs[i], NULL, 10)];
      guint server = parse_server (strchr (runs[i], '@') + 1);

      g_assert_cmpuint (server, ==, choose (model, step, task));
      step->fruitless_calls = 0;
      task->server = server;
      task->run
          = (uint32_t)g_ascii_strtoull (strchr (runs[i], '/') + 1, NULL, 10);
      colt_resources_add (&model->servers[server].used, &step->demand);
      model->chosen++;
    }
  g_strfreev (runs);
}

static void
refuse_fault (void *client,
              const char *job,
              const char *what,
              const char *detail)
{
  (void)client;
  g_error ("fault of the cell: %s: %s: %s", what, job, detail);
}

static const struct ColtCellOps ops
    = { note_start, refuse_stop, note_advice_call, note_decision,
        refuse_fault };

static void
set_server (const struct ColtModel *model, guint index)
{
  const struct ColtModelServer *server = &model->servers[index];
  const char *labels[] = { server->label, server->rack, NULL };
  struct ColtServerEntry entry = { 0 };

  entry.id = server->id;
  entry.service = "service";
  entry.address = "127.0.0.1:1";
  entry.zone = "zone";
  entry.ready = server->ready;
  entry.incarnation_ms = 1;
  entry.room = server->room;
  entry.labels = labels;
  colt_cell_set_server (model->cell, &entry, model->now_us);
}

static void
add_servers (struct ColtModel *model)
{
  static const char *const racks[] = { "r-1", "r-2", "r-3" };
  const struct ColtServerReport report = { .call_number = 1 };
  guint i;

  for (i = 0; i < SERVERS; i++)
    {
      struct ColtModelServer *server = &model->servers[i];

      g_snprintf (server->id, sizeof server->id, "s-%02u", i);
      server->label = g_rand_boolean (model->rand) ? "a" : "b";
      server->rack = racks[g_rand_int_range (model->rand, 0, 3)];
      server->ready = true;
      server->room.amount[COLT_RESOURCE_CORES]
          = 1000 * g_rand_int_range (model->rand, 1, 9);
      server->room.amount[COLT_RESOURCE_MEMORY]
          = 1024 * g_rand_int_range (model->rand, 1, 9);
      server->room.amount[COLT_RESOURCE_ACCELERATORS]
          = g_rand_int_range (model->rand, 0, 4);
      set_server (model, i);
      colt_cell_apply_report (model->cell, server->id, &report, model->now_us);
    }
}

static struct ColtModel *
create_model (uint32_t seed)
{
  const struct ColtCellLimits limits
      = { 60 * COLT_US_PER_S, 800 * MS, NAMED_MAX, 100 };
  struct ColtModel *model = g_new0 (struct ColtModel, 1);
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

  model->rand = g_rand_new_with_seed (seed);
  model->now_us = COLT_US_PER_S;
  model->calls = g_array_new (FALSE, FALSE, sizeof (struct ColtModelCall));
  model->cell = colt_cell_create (&ops, model, &limits, 1);
  fleet->version = 1;
  queue->name = g_strdup ("queue");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->stretch = 2;
  queue->target_ms = 1000;
  queue->advised = true;
  queue->advice_ms = 100;
  colt_cell_set_fleet (model->cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_finish_loading (model->cell, 0);
  colt_cell_set_advisers (model->cell, ADVISERS);
  add_servers (model);
  return model;
}

static void
destroy_model (struct ColtModel *model)
{
  guint i;

  for (i = 0; i < model->calls->len; i++)
    g_ptr_array_unref (
        g_array_index (model->calls, struct ColtModelCall, i).names);
  g_array_unref (model->calls);
  colt_cell_destroy (model->cell);
  g_rand_free (model->rand);
  g_free (model);
}

static void
draw_step (struct ColtModel *model, struct ColtModelStep *step)
{
  static const char *const labels[] = { "", "", "a", "b" };
  static const char *const racks[] = { "", "", "r-1", "r-2" };
  GRand *rand = model->rand;
  uint32_t i;

  step->count = (uint32_t)g_rand_int_range (rand, 1, TASKS_MAX + 1);
  step->max_per_server = (uint32_t)MAX (g_rand_int_range (rand, -2, 3), 0);
  step->lasting = g_rand_int_range (rand, 0, 4) == 0;
  step->label = labels[g_rand_int_range (rand, 0, 4)];
  step->rack = racks[g_rand_int_range (rand, 0, 4)];
  step->demand.amount[COLT_RESOURCE_CORES]
      = 500 * g_rand_int_range (rand, 1, 5);
  step->demand.amount[COLT_RESOURCE_MEMORY]
      = 512 * g_rand_int_range (rand, 0, 3);
  step->demand.amount[COLT_RESOURCE_ACCELERATORS]
      = MAX (g_rand_int_range (rand, -3, 3), 0);
  for (i = 0; i < step->count; i++)
    {
      step->tasks[i].server = NOWHERE;
      step->tasks[i].last_server = NOWHERE;
    }
}

static void
submit_step (struct ColtModel *model)
{
  struct ColtModelStep *drawn = &model->steps[model->step_count++];
  ColtJobSpec *spec = malloc (sizeof *spec);
  ColtJobStep *step = malloc (sizeof *step);

  g_assert (spec != NULL && step != NULL);
  draw_step (model, drawn);
  colt_job_spec__init (spec);
  colt_job_step__init (step);
  spec->id = g_strdup_printf ("%016x", model->step_count);
  spec->organisation = strdup ("organisation");
  spec->queue = strdup ("queue");
  spec->payload = strdup ("payload");
  spec->steps = calloc (1, sizeof *spec->steps);
  spec->steps[0] = step;
  spec->n_steps = 1;
  step->count = drawn->count;
  step->cpu_milli = (uint32_t)drawn->demand.amount[COLT_RESOURCE_CORES];
  step->memory_mb = (uint32_t)drawn->demand.amount[COLT_RESOURCE_MEMORY];
  step->accelerators
      = (uint32_t)drawn->demand.amount[COLT_RESOURCE_ACCELERATORS];
  step->max_per_server = drawn->max_per_server;
  step->lasting = drawn->lasting;
  step->estimate_ms = 100;
  step->required_label = strdup (drawn->label);
  step->data_rack = strdup (drawn->rack);
  g_assert_cmpint (colt_cell_submit (model->cell, spec, model->now_us), ==,
                   COLT_SUBMIT_NEW);
}

/* Replies to a call: about two thirds of the servers are suitable. */
static void
answer_call (struct ColtModel *model, guint index)
{
  struct ColtModelCall call
      = g_array_index (model->calls, struct ColtModelCall, index);
  struct ColtModelStep *step = &model->steps[call.step];
  ColtTicket tickets[NAMED_MAX];
  ColtTicket *rows[NAMED_MAX];
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  guint i;

  g_array_remove_index (model->calls, index);
  step->fruitless_calls = MIN (step->fruitless_calls + 1, FRUITLESS_CALLS_MAX);
  for (i = 0; i < call.names->len; i++)
    {
      char *id = g_ptr_array_index (call.names, i);
      guint server = parse_server (id);
      struct ColtModelAdvice *advice = &step->advice[server];

      advice->known = true;
      advice->suitable = (call.step * 7 + server * 5) % 3 != 0;
      advice->valid_until_us = model->now_us + VALID_MS * MS;
      if (!advice->suitable)
        continue;
      colt_ticket__init (&tickets[reply.n_tickets]);
      tickets[reply.n_tickets].server = id;
      tickets[reply.n_tickets].ticket = "ticket";
      rows[reply.n_tickets] = &tickets[reply.n_tickets];
      reply.n_tickets++;
    }
  reply.answered = true;
  reply.valid_ms = VALID_MS;
  reply.tickets = rows;
  colt_cell_apply_advice (model->cell, call.number, &reply, model->now_us);
  g_ptr_array_unref (call.names);
}

/* Ends a run without success, so that its task waits again. */
static void
end_run (struct ColtModel *model, guint step_index, uint32_t index)
{
  struct ColtModelStep *step = &model->steps[step_index];
  struct ColtModelTask *task = &step->tasks[index];
  struct ColtModelServer *server = &model->servers[task->server];
  char *name = g_strdup_printf ("%016x.0.0.%u", step_index + 1, index);
  const struct ColtFinishedEntry end
      = { ++server->last_end, name, task->run, COLT_RUN_STOPPED, "" };
  struct ColtServerReport report = { 0 };

  report.call_number = 1;
  report.incarnation_ms = 1;
  report.finished = &end;
  report.finished_count = 1;
  colt_resources_subtract (&server->used, &step->demand);
  task->last_server = task->server;
  task->server = NOWHERE;
  if (!step->lasting)
    step->not_before_us = model->now_us + 20 * MS;
  colt_cell_apply_report (model->cell, server->id, &report, model->now_us);
  g_free (name);
}

/* Ends some runs in every other round, so that the change of a server alone has
 * to be noticed as well. */
static void
change_fleet (struct ColtModel *model, guint round)
{
  guint s;
  uint32_t i;

  for (s = 0; s < model->step_count && round % 2 == 0; s++)
    for (i = 0; i < model->steps[s].count; i++)
      if (model->steps[s].tasks[i].server != NOWHERE
          && g_rand_int_range (model->rand, 0, 12) == 0)
        end_run (model, s, i);
  for (i = 0; i < SERVERS_CHANGED; i++)
    {
      s = (guint)g_rand_int_range (model->rand, 0, SERVERS);
      model->servers[s].ready = !model->servers[s].ready;
      set_server (model, s);
    }
}

/* Checks that no task was left waiting although it could have started. */
static void
check_waiting (const struct ColtModel *model)
{
  guint s;
  uint32_t i;

  for (s = 0; s < model->step_count; s++)
    for (i = 0; i < model->steps[s].count; i++)
      if (model->steps[s].tasks[i].server == NOWHERE
          && model->now_us >= model->steps[s].not_before_us)
        g_assert_cmpuint (
            choose (model, &model->steps[s], &model->steps[s].tasks[i]), ==,
            NOWHERE);
}

static void
run_round (struct ColtModel *model, guint round)
{
  guint before = model->calls->len;
  guint i;

  colt_cell_place_tasks (model->cell, model->now_us, model->now_us / MS);
  check_waiting (model);
  for (i = before; i < model->calls->len; i++)
    check_names (model, &g_array_index (model->calls, struct ColtModelCall, i));
  colt_cell_free_records (
      colt_cell_take_records (model->cell, SIZE_MAX, model->now_us / MS));
  colt_cell_confirm_batch (model->cell, model->now_us);
  model->now_us += ROUND_US;
  for (i = model->calls->len; i-- > 0;)
    if (g_rand_int_range (model->rand, 0, 3) > 0)
      answer_call (model, i);
  change_fleet (model, round);
}

/* Lists that a pass keeps of candidates or of servers with room differ from the
 * fleet as it is: a step gets a worse server, names one without room, or waits
 * although a server could take its task. */
static void
test_choice_matches_plain_computation (void)
{
  uint32_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      struct ColtModel *model = create_model (seed);
      guint round;

      for (round = 0; round < ROUNDS; round++)
        {
          if (model->step_count < STEPS && round % 2 == 0)
            submit_step (model);
          run_round (model, round);
        }
      g_assert_cmpuint (model->chosen, >, 500);
      g_assert_cmpuint (model->named, >, 2000);
      destroy_model (model);
    }
}

void
colt_load_add_choice_tests (void)
{
  g_test_add_func ("/cell/load/choice-matches-plain-computation",
                   test_choice_matches_plain_computation);
}
