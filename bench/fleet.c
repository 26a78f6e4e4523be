#include "fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Consecutive failures that start a probation, and its first and longest
 * length, as owners apply them. */
#define PROBATION_FAILURES 4u
#define PROBATION_FIRST_US (2 * COLT_US_PER_S)
#define PROBATION_MAX_US (120 * COLT_US_PER_S)
/* Time until a failing server fails a task. */
#define FAIL_US (50 * COLT_US_PER_MS)
#define RETRY_US (100 * COLT_US_PER_MS)
#define ATTEMPTS_MAX 3u
#define SLOW_SPEED 0.4
/* A wave cancels each task that waits among the latest CANCEL_WINDOW tasks with
 * the probability 1 / CANCEL_ONE_IN. */
#define CANCEL_WINDOW 500u
#define CANCEL_ONE_IN 2

static void add_servers_ (struct ColtBenchFleet *fleet);
static void submit_task_ (struct ColtBenchFleet *fleet,
                          struct ColtFleetTask *task);
static void abandon_task_ (struct ColtBenchFleet *fleet,
                           struct ColtFleetTask *task);
static void start_task_ (struct ColtBenchFleet *fleet,
                         struct ColtFleetTask *task,
                         struct ColtFleetServer *server);
static void end_task_ (struct ColtBenchFleet *fleet,
                       struct ColtFleetTask *task);
static void update_probation_ (struct ColtBenchFleet *fleet,
                               struct ColtFleetServer *server,
                               bool failed);
static void record_wait_ (struct ColtBenchFleet *fleet,
                          const struct ColtFleetTask *task,
                          int64_t wait_us);
static void add_event_ (struct ColtBenchFleet *fleet,
                        struct ColtFleetTask *task,
                        enum ColtFleetEventKind kind,
                        int64_t time_us);
static gint compare_events_ (gconstpointer a, gconstpointer b, gpointer data);
static bool is_measured_ (const struct ColtBenchFleet *fleet);
static unsigned find_home_ (const struct ColtBenchFleet *fleet,
                            const struct ColtId *request);
static unsigned find_team_ (const struct ColtFleetTask *task);
static guint hash_key_ (gconstpointer key);
static gboolean equal_keys_ (gconstpointer a, gconstpointer b);

struct ColtBenchFleet *
colt_bench_fleet_create (const struct ColtBenchPlan *plan,
                         const struct ColtBenchPlacementOps *ops,
                         struct ColtBenchResult *result)
{
  struct ColtBenchFleet *fleet = g_new0 (struct ColtBenchFleet, 1);
  struct ColtBundle *bundle = colt_bench_create_bundle (plan->teams);
  unsigned i;

  fleet->plan = plan;
  fleet->ops = ops;
  fleet->result = result;
  fleet->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (fleet->random, plan->seed);
  fleet->servers = g_array_new (FALSE, TRUE, sizeof (struct ColtFleetServer));
  fleet->tasks = g_ptr_array_new_with_free_func (g_free);
  fleet->waiting_counts = g_ptr_array_new_with_free_func (g_free);
  fleet->index = g_hash_table_new (hash_key_, equal_keys_);
  fleet->events = g_sequence_new (g_free);
  for (i = 0; i < plan->homes; i++)
    {
      fleet->homes[i] = ops->create (plan->seed + i);
      ops->set_bundle (fleet->homes[i], bundle);
    }
  colt_bundle_destroy (bundle);
  add_servers_ (fleet);
  colt_bench_fleet_send_digests (fleet);
  return fleet;
}

void
colt_bench_fleet_destroy (struct ColtBenchFleet *fleet)
{
  unsigned i;

  for (i = 0; i < fleet->plan->homes; i++)
    fleet->ops->destroy (fleet->homes[i]);
  g_sequence_free (fleet->events);
  g_hash_table_unref (fleet->index);
  g_ptr_array_unref (fleet->tasks);
  g_ptr_array_unref (fleet->waiting_counts);
  g_array_unref (fleet->servers);
  gsl_rng_free (fleet->random);
  g_free (fleet);
}

void
colt_bench_fleet_add_request (struct ColtBenchFleet *fleet,
                              const struct ColtBenchStream *stream)
{
  uint64_t number = ++fleet->requests;
  struct ColtFleetTask drawn = { 0 };
  uint32_t i;

  colt_bench_draw_request (fleet->plan, stream, fleet->random, &drawn.task,
                           &drawn.real, &drawn.real_ms);
  memcpy (drawn.task.request.bytes, &number, sizeof number);
  drawn.task.arrived_us = fleet->now_us;
  drawn.task.deadline_us
      = stream->deadline_ms > 0
            ? fleet->now_us + stream->deadline_ms * COLT_US_PER_MS
            : COLT_TIME_NEVER;
  drawn.reserved = drawn.real;
  colt_resources_raise (&drawn.reserved, &drawn.task.demand);
  drawn.measured = is_measured_ (fleet);
  drawn.siblings_waiting = g_new (unsigned, 1);
  *drawn.siblings_waiting = stream->tasks;
  g_ptr_array_add (fleet->waiting_counts, drawn.siblings_waiting);
  for (i = 0; i < stream->tasks; i++)
    {
      struct ColtFleetTask *task = g_memdup2 (&drawn, sizeof drawn);

      task->task.index = i;
      g_ptr_array_add (fleet->tasks, task);
      g_hash_table_add (fleet->index, task);
      if (task->task.deadline_us != COLT_TIME_NEVER)
        add_event_ (fleet, task, COLT_FLEET_DEADLINE, task->task.deadline_us);
      submit_task_ (fleet, task);
    }
}

void
colt_bench_fleet_run_events (struct ColtBenchFleet *fleet)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fleet->events);

  while (!g_sequence_iter_is_end (first))
    {
      struct ColtFleetEvent event
          = *(struct ColtFleetEvent *)g_sequence_get (first);

      if (event.time_us > fleet->now_us)
        return;
      g_sequence_remove (first);
      if (event.kind == COLT_FLEET_END)
        end_task_ (fleet, event.task);
      else if (event.kind == COLT_FLEET_RETRY
               && event.task->state == COLT_FLEET_DELAYED)
        submit_task_ (fleet, event.task);
      else if (event.kind == COLT_FLEET_DEADLINE
               && (event.task->state == COLT_FLEET_WAITING
                   || event.task->state == COLT_FLEET_DELAYED))
        {
          fleet->ops->remove (
              fleet->homes[find_home_ (fleet, &event.task->task.request)],
              &event.task->task.request, event.task->task.index);
          fleet->result->expired++;
          abandon_task_ (fleet, event.task);
        }
      first = g_sequence_get_begin_iter (fleet->events);
    }
}

void
colt_bench_fleet_send_digests (struct ColtBenchFleet *fleet)
{
  unsigned home;
  guint i;

  for (i = 0; i < fleet->servers->len; i++)
    {
      struct ColtFleetServer *server
          = &g_array_index (fleet->servers, struct ColtFleetServer, i);
      uint32_t permille = fleet->now_us < server->probation_until_us ? 0
                          : server->failures >= PROBATION_FAILURES   ? 100
                                                                     : 1000;

      if (!server->changed && server->digest.probation_permille == permille)
        continue;
      server->changed = false;
      server->digest.probation_permille = permille;
      server->digest.free = server->free;
      for (home = 0; home < fleet->plan->homes; home++)
        fleet->ops->set_server (fleet->homes[home], &server->digest,
                                fleet->now_us);
    }
}

void
colt_bench_fleet_send_usage (struct ColtBenchFleet *fleet)
{
  unsigned home;
  unsigned other;
  unsigned team;

  for (home = 0; home < fleet->plan->homes; home++)
    for (other = 0; other < fleet->plan->homes; other++)
      for (team = 0; other != home && team < fleet->plan->teams; team++)
        {
          char name[COLT_NAME_SIZE];

          g_snprintf (name, sizeof name, "team-%u", team);
          fleet->ops->set_team_usage (fleet->homes[home], other, name,
                                      &fleet->running[other][team],
                                      fleet->now_us);
        }
}

void
colt_bench_fleet_place_tasks (struct ColtBenchFleet *fleet)
{
  enum ColtPlacementStatus status;
  struct ColtPlacementChoice choice;
  struct ColtPlacementTask shed;
  unsigned home;

  for (home = 0; home < fleet->plan->homes; home++)
    {
      struct ColtPlacement *placement = fleet->homes[home];

      while (fleet->ops->choose_next (placement, fleet->now_us, &choice))
        {
          struct ColtFleetTask *task
              = g_hash_table_lookup (fleet->index, &choice);
          struct ColtFleetServer *server = &g_array_index (
              fleet->servers, struct ColtFleetServer, choice.server - 1);

          g_assert (task != NULL && task->state == COLT_FLEET_WAITING);
          if (colt_resources_fit (&task->task.demand, &server->free))
            {
              start_task_ (fleet, task, server);
              continue;
            }
          fleet->refusals++;
          fleet->ops->report_refusal (placement, &task->task, choice.server,
                                      COLT_REFUSAL_NO_ROOM, fleet->now_us);
          submit_task_ (fleet, task);
        }
      while (fleet->ops->pop_shed (placement, &shed, &status))
        {
          fleet->result->shed++;
          abandon_task_ (fleet, g_hash_table_lookup (fleet->index, &shed));
        }
    }
}

void
colt_bench_fleet_cancel_wave (struct ColtBenchFleet *fleet)
{
  guint first = fleet->tasks->len > CANCEL_WINDOW
                    ? fleet->tasks->len - CANCEL_WINDOW
                    : 0;
  guint i;

  for (i = first; i < fleet->tasks->len; i++)
    {
      struct ColtFleetTask *task = g_ptr_array_index (fleet->tasks, i);

      if (task->state != COLT_FLEET_WAITING
          || gsl_rng_uniform_int (fleet->random, CANCEL_ONE_IN) != 0)
        continue;
      fleet->ops->remove (fleet->homes[find_home_ (fleet, &task->task.request)],
                          &task->task.request, task->task.index);
      task->state = COLT_FLEET_ENDED;
    }
}

void
colt_bench_fleet_take_sample (struct ColtBenchFleet *fleet)
{
  struct ColtResources used = fleet->total;
  unsigned home;
  unsigned team;
  guint i;
  int r;

  if (!is_measured_ (fleet))
    return;
  fleet->samples++;
  for (i = 0; i < fleet->servers->len; i++)
    colt_resources_subtract (
        &used, &g_array_index (fleet->servers, struct ColtFleetServer, i).free);
  fleet->result->cores += (double)used.amount[COLT_RESOURCE_CORES]
                          / (double)fleet->total.amount[COLT_RESOURCE_CORES];
  fleet->result->accelerators
      += (double)used.amount[COLT_RESOURCE_ACCELERATORS]
         / (double)MAX (1, fleet->total.amount[COLT_RESOURCE_ACCELERATORS]);
  for (team = 0; team < fleet->plan->teams; team++)
    {
      struct ColtResources running = { { 0 } };
      double share = 0;

      for (home = 0; home < fleet->plan->homes; home++)
        colt_resources_add (&running, &fleet->running[home][team]);
      for (r = 0; r < COLT_RESOURCE_COUNT; r++)
        if (fleet->total.amount[r] > 0)
          share = MAX (share, (double)running.amount[r]
                                  / (double)fleet->total.amount[r]);
      fleet->shares[team] += share;
    }
}

static void
add_servers_ (struct ColtBenchFleet *fleet)
{
  const struct ColtBenchServers *group;
  uint32_t rack = 0;
  unsigned i;

  for (group = fleet->plan->servers; group->count > 0; group++)
    for (i = 0; i < group->count; i++)
      {
        struct ColtFleetServer server = { 0 };
        unsigned number = fleet->servers->len;

        if (i % group->per_rack == 0)
          rack++;
        server.digest.server = number + 1;
        server.digest.epoch = 1;
        server.digest.rack = rack;
        server.digest.capacity = group->capacity;
        server.free = group->capacity;
        server.changed = true;
        server.speed = 0.8 + 0.4 * gsl_rng_uniform (fleet->random);
        if (number % 10 == 3 && number / 10 < fleet->plan->slow_servers)
          server.speed = SLOW_SPEED;
        server.failing
            = number % 10 == 7 && number / 10 < fleet->plan->failing_servers;
        colt_resources_add (&fleet->total, &group->capacity);
        g_array_append_val (fleet->servers, server);
      }
}

static void
submit_task_ (struct ColtBenchFleet *fleet, struct ColtFleetTask *task)
{
  unsigned home = find_home_ (fleet, &task->task.request);

  task->state = COLT_FLEET_WAITING;
  if (fleet->ops->add (fleet->homes[home], &task->task, fleet->now_us)
      == COLT_PLACEMENT_QUEUED)
    return;
  fleet->result->shed++;
  abandon_task_ (fleet, task);
}

/* Ends a task without a further attempt. One that never started counts as
 * waiting until its deadline; an urgent one counts as unstarted instead. */
static void
abandon_task_ (struct ColtBenchFleet *fleet, struct ColtFleetTask *task)
{
  task->state = COLT_FLEET_ENDED;
  if (task->attempts > 0 || !task->measured)
    return;
  if (task->task.urgent)
    fleet->result->urgent_unstarted++;
  else if (task->task.deadline_us != COLT_TIME_NEVER)
    record_wait_ (fleet, task, task->task.deadline_us - task->task.arrived_us);
}

static void
start_task_ (struct ColtBenchFleet *fleet,
             struct ColtFleetTask *task,
             struct ColtFleetServer *server)
{
  unsigned home = find_home_ (fleet, &task->task.request);
  int64_t run_us
      = (int64_t)(task->real_ms / server->speed * (double)COLT_US_PER_MS);

  if (task->attempts++ == 0)
    {
      fleet->result->started++;
      if (--*task->siblings_waiting == 0)
        record_wait_ (fleet, task, fleet->now_us - task->task.arrived_us);
    }
  task->state = COLT_FLEET_RUNNING;
  task->server = server->digest.server;
  task->started_us = fleet->now_us;
  colt_resources_subtract (&server->free, &task->reserved);
  server->changed = true;
  colt_resources_add (&fleet->running[home][find_team_ (task)],
                      &task->task.demand);
  if (isinf (task->real_ms))
    return;
  add_event_ (fleet, task, COLT_FLEET_END,
              fleet->now_us + (server->failing ? FAIL_US : MAX (1, run_us)));
}

static void
end_task_ (struct ColtBenchFleet *fleet, struct ColtFleetTask *task)
{
  unsigned home = find_home_ (fleet, &task->task.request);
  struct ColtFleetServer *server = &g_array_index (
      fleet->servers, struct ColtFleetServer, task->server - 1);
  struct ColtTaskReport report = { 0 };

  report.state = server->failing ? COLT_TASK_FAILED : COLT_TASK_FINISHED;
  report.run_ms = (fleet->now_us - task->started_us) / COLT_US_PER_MS;
  report.usage = task->real;
  colt_resources_add (&server->free, &task->reserved);
  server->changed = true;
  colt_resources_subtract (&fleet->running[home][find_team_ (task)],
                           &task->task.demand);
  update_probation_ (fleet, server, server->failing);
  fleet->ops->report_end (fleet->homes[home], &task->task, task->server,
                          &report, fleet->now_us);
  task->state = COLT_FLEET_ENDED;
  if (server->failing && task->attempts < ATTEMPTS_MAX)
    {
      task->state = COLT_FLEET_DELAYED;
      task->task.avoided_server = task->server;
      add_event_ (fleet, task, COLT_FLEET_RETRY, fleet->now_us + RETRY_US);
    }
  else if (!server->failing && is_measured_ (fleet)
           && fleet->now_us <= task->task.deadline_us)
    fleet->result->goodput += task->real_ms / 1000;
}

static void
update_probation_ (struct ColtBenchFleet *fleet,
                   struct ColtFleetServer *server,
                   bool failed)
{
  if (!failed)
    {
      server->failures = 0;
      server->probation_us = 0;
      return;
    }
  server->failures++;
  if (server->failures < PROBATION_FAILURES
      || fleet->now_us < server->probation_until_us)
    return;
  server->probation_us = server->probation_us == 0
                             ? PROBATION_FIRST_US
                             : MIN (2 * server->probation_us, PROBATION_MAX_US);
  server->probation_until_us = fleet->now_us + server->probation_us;
}

static void
record_wait_ (struct ColtBenchFleet *fleet,
              const struct ColtFleetTask *task,
              int64_t wait_us)
{
  double wait_ms = (double)wait_us / (double)COLT_US_PER_MS;

  if (!task->measured)
    return;
  g_array_append_val (task->task.urgent ? fleet->result->urgent_waits
                                        : fleet->result->waits[task->task.kind],
                      wait_ms);
}

static void
add_event_ (struct ColtBenchFleet *fleet,
            struct ColtFleetTask *task,
            enum ColtFleetEventKind kind,
            int64_t time_us)
{
  struct ColtFleetEvent event = { time_us, kind, task };

  g_sequence_insert_sorted (fleet->events, g_memdup2 (&event, sizeof event),
                            compare_events_, NULL);
}

static gint
compare_events_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtFleetEvent *first = a;
  const struct ColtFleetEvent *second = b;

  (void)data;
  return (first->time_us > second->time_us)
         - (first->time_us < second->time_us);
}

/* Only the peak is measured in a plan with a peak, otherwise all time after
 * settle_s. */
static bool
is_measured_ (const struct ColtBenchFleet *fleet)
{
  int64_t second = fleet->now_us / COLT_US_PER_S;

  if (fleet->plan->peak > 1)
    return second >= fleet->plan->seconds / 3
           && second < 2 * fleet->plan->seconds / 3;
  return second >= fleet->plan->settle_s;
}

static unsigned
find_home_ (const struct ColtBenchFleet *fleet, const struct ColtId *request)
{
  return colt_id_table_hash (request) % fleet->plan->homes;
}

static unsigned
find_team_ (const struct ColtFleetTask *task)
{
  return (unsigned)strtoul (task->task.team + strlen ("team-"), NULL, 10);
}

/* Keys of the index are tasks or choices; both begin with request and index. */
static guint
hash_key_ (gconstpointer key)
{
  const struct ColtPlacementChoice *choice = key;

  return colt_id_table_hash (&choice->request) + choice->index;
}

static gboolean
equal_keys_ (gconstpointer a, gconstpointer b)
{
  const struct ColtPlacementChoice *first = a;
  const struct ColtPlacementChoice *second = b;

  return first->index == second->index
         && colt_id_equal (&first->request, &second->request);
}
