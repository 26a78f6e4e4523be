#include "server_state.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

#define RETENTION_US (COLT_TASK_RETENTION_S * COLT_US_PER_S)
/* Run time of a task that is started while all tasks are set to fail, on a
 * server of speed 1. */
#define FAIL_ALL_MS 5
#define REASON_SHARD_EPOCH "shard_epoch"
#define REASON_LEASE "lease"
#define REASON_DOWN "down"

const char *const colt_standin_notice_string[]
    = { "start", "end",   "resize",  "duplicate", "refuse",
        "over",  "lease", "release", "leaving",   "down" };

const char *const colt_standin_outcome_string[]
    = { "started", "duplicate", "refused", "stopped",
        "resized", "ended",     "unknown" };

struct ColtStandinServer
{
  struct ColtStandinServerSpec spec;
  ColtStandinObserver observer;
  void *client;
  struct ColtStandinLease lease;
  uint64_t shard_epochs[COLT_SHARD_COUNT];
  struct ColtResources used;
  bool leaving;
  bool fail_all;
  int64_t server_start_us; /* creation or last kill */
  uint32_t attempt_max;    /* highest attempt of any task started */
  GHashTable *tasks;       /* set of struct ColtStandinTask, owned */
  GPtrArray *running;      /* of borrowed tasks */
  GQueue ended;            /* of borrowed tasks, by time of end */
  struct ColtStandinEvents *events;
};

static guint hash_task_ (gconstpointer task);
static gboolean equal_task_ (gconstpointer a, gconstpointer b);
static void free_task_ (gpointer data);
static void clear_state_ (struct ColtStandinServer *server);
static void notify_ (struct ColtStandinServer *server,
                     enum ColtStandinNotice notice,
                     int64_t at_us,
                     const struct ColtStandinTask *task,
                     const char *reason);
static struct ColtStandinTask *
find_task_ (const struct ColtStandinServer *server,
            const struct ColtTaskRef *ref);
static struct ColtStandinTask *create_task_ (const struct ColtTaskStart *start);
static void begin_task_ (struct ColtStandinServer *server,
                         struct ColtStandinTask *task,
                         int64_t now_us);
static int64_t task_due_us_ (const struct ColtStandinTask *task,
                             enum ColtTaskState *state,
                             int *exit_status);
static bool advance_task_ (struct ColtStandinServer *server,
                           struct ColtStandinTask *task,
                           int64_t now_us);
static void report_usage_ (struct ColtStandinServer *server,
                           struct ColtStandinTask *task);
static void end_task_ (struct ColtStandinServer *server,
                       struct ColtStandinTask *task,
                       enum ColtTaskState state,
                       int exit_status,
                       int64_t at_us);
static void drop_expired_tasks_ (struct ColtStandinServer *server,
                                 int64_t now_us);
static void check_capacity_ (struct ColtStandinServer *server,
                             int64_t now_us,
                             const struct ColtStandinTask *task);

struct ColtStandinServer *
colt_standin_server_create (const struct ColtStandinServerSpec *spec,
                            int64_t now_us,
                            ColtStandinObserver observer,
                            void *client)
{
  struct ColtStandinServer *server = g_new0 (struct ColtStandinServer, 1);

  server->spec = *spec;
  server->server_start_us = now_us;
  server->observer = observer;
  server->client = client;
  server->tasks
      = g_hash_table_new_full (hash_task_, equal_task_, free_task_, NULL);
  server->running = g_ptr_array_new ();
  g_queue_init (&server->ended);
  server->events = colt_standin_events_create ();
  return server;
}

void
colt_standin_server_destroy (struct ColtStandinServer *server)
{
  if (server == NULL)
    return;
  colt_standin_events_destroy (server->events);
  g_queue_clear (&server->ended);
  g_ptr_array_unref (server->running);
  g_hash_table_unref (server->tasks);
  g_free (server);
}

const struct ColtStandinServerSpec *
colt_standin_server_spec (const struct ColtStandinServer *server)
{
  return &server->spec;
}

const struct ColtStandinLease *
colt_standin_server_lease (const struct ColtStandinServer *server)
{
  return &server->lease;
}

const uint64_t *
colt_standin_server_shard_epochs (const struct ColtStandinServer *server)
{
  return server->shard_epochs;
}

int64_t
colt_standin_server_history_ms (const struct ColtStandinServer *server,
                                int64_t now_us)
{
  int64_t uptime_ms = (now_us - server->server_start_us) / COLT_US_PER_MS;

  return MIN (uptime_ms, COLT_TASK_RETENTION_S * 1000);
}

bool
colt_standin_server_is_leaving (const struct ColtStandinServer *server)
{
  return server->leaving;
}

const struct ColtResources *
colt_standin_server_used (const struct ColtStandinServer *server)
{
  return &server->used;
}

void
colt_standin_server_advance (struct ColtStandinServer *server, int64_t now_us)
{
  guint i = 0;

  while (i < server->running->len)
    if (!advance_task_ (server, g_ptr_array_index (server->running, i), now_us))
      i++;
  drop_expired_tasks_ (server, now_us);
}

int64_t
colt_standin_server_next_due_us (const struct ColtStandinServer *server)
{
  int64_t next_us = COLT_TIME_NEVER;
  guint i;

  for (i = 0; i < server->running->len; i++)
    {
      const struct ColtStandinTask *task
          = g_ptr_array_index (server->running, i);
      enum ColtTaskState state;
      int exit_status;
      int64_t due_us = task_due_us_ (task, &state, &exit_status);

      next_us = MIN (next_us, MIN (due_us, task->next_sample_us));
    }
  return next_us;
}

enum ColtStandinAccess
colt_standin_server_acquire_lease (struct ColtStandinServer *server,
                                   int64_t now_us,
                                   uint32_t owner,
                                   uint64_t epoch,
                                   int64_t length_us)
{
  enum ColtStandinAccess access;

  colt_standin_server_advance (server, now_us);
  access = colt_standin_lease_acquire (&server->lease, now_us, owner, epoch,
                                       length_us);
  if (access == COLT_STANDIN_GRANTED)
    notify_ (server, COLT_STANDIN_LEASED, now_us, NULL, NULL);
  return access;
}

enum ColtStandinAccess
colt_standin_server_authorise (struct ColtStandinServer *server,
                               int64_t now_us,
                               uint64_t epoch,
                               int64_t token,
                               int64_t length_us)
{
  colt_standin_server_advance (server, now_us);
  return colt_standin_lease_authorise (&server->lease, now_us, epoch, token,
                                       length_us);
}

void
colt_standin_server_release_lease (struct ColtStandinServer *server,
                                   int64_t now_us)
{
  colt_standin_lease_release (&server->lease, now_us);
  notify_ (server, COLT_STANDIN_RELEASED, now_us, NULL, NULL);
}

int64_t
colt_standin_server_issue_token (const struct ColtStandinServer *server,
                                 int64_t now_us)
{
  return colt_standin_lease_issue_token (&server->lease, now_us);
}

enum ColtStandinOutcome
colt_standin_server_start_task (struct ColtStandinServer *server,
                                int64_t now_us,
                                int64_t token,
                                const struct ColtTaskStart *start,
                                const char **reason)
{
  struct ColtStandinTask *task = create_task_ (start);
  int64_t lease_us = token + start->lease_ms * COLT_US_PER_MS;

  assert (start->shard < COLT_SHARD_COUNT);
  *reason = NULL;
  if (g_hash_table_contains (server->tasks, task))
    {
      notify_ (server, COLT_STANDIN_DUPLICATE, now_us, task, NULL);
      free_task_ (task);
      return COLT_STANDIN_OUTCOME_DUPLICATE;
    }
  if (start->shard_epoch < server->shard_epochs[start->shard])
    *reason = REASON_SHARD_EPOCH;
  else if (lease_us <= now_us)
    *reason = REASON_LEASE;
  if (*reason != NULL)
    {
      notify_ (server, COLT_STANDIN_REFUSED, now_us, task, *reason);
      free_task_ (task);
      return COLT_STANDIN_OUTCOME_REFUSED;
    }
  server->shard_epochs[start->shard] = start->shard_epoch;
  task->lease_us = lease_us;
  begin_task_ (server, task, now_us);
  return COLT_STANDIN_OUTCOME_STARTED;
}

enum ColtStandinOutcome
colt_standin_server_stop_task (struct ColtStandinServer *server,
                               int64_t now_us,
                               const struct ColtTaskRef *ref,
                               bool checkpoint)
{
  struct ColtStandinTask *task = find_task_ (server, ref);

  if (task == NULL)
    return COLT_STANDIN_OUTCOME_UNKNOWN;
  if (task->state != COLT_TASK_RUNNING)
    return COLT_STANDIN_OUTCOME_ENDED;
  if (checkpoint)
    task->checkpoint_ms = colt_standin_run_done_ms (&task->run, now_us);
  end_task_ (server, task, COLT_TASK_STOPPED, 0, now_us);
  return COLT_STANDIN_OUTCOME_STOPPED;
}

enum ColtStandinOutcome
colt_standin_server_resize_task (struct ColtStandinServer *server,
                                 int64_t now_us,
                                 const struct ColtTaskRef *ref,
                                 const struct ColtResources *limit)
{
  struct ColtStandinTask *task = find_task_ (server, ref);

  if (task == NULL)
    return COLT_STANDIN_OUTCOME_UNKNOWN;
  if (task->state != COLT_TASK_RUNNING)
    return COLT_STANDIN_OUTCOME_ENDED;
  colt_resources_subtract (&server->used, &task->run.limit);
  colt_standin_run_set_limit (&task->run, limit, now_us);
  colt_resources_add (&server->used, limit);
  notify_ (server, COLT_STANDIN_RESIZED, now_us, task, NULL);
  check_capacity_ (server, now_us, task);
  return COLT_STANDIN_OUTCOME_RESIZED;
}

void
colt_standin_server_renew_tasks (struct ColtStandinServer *server,
                                 int64_t token,
                                 int64_t length_us)
{
  guint i;

  for (i = 0; i < server->running->len; i++)
    {
      struct ColtStandinTask *task = g_ptr_array_index (server->running, i);

      task->lease_us = MAX (task->lease_us, token + length_us);
    }
}

const struct ColtStandinTask *
colt_standin_server_find_task (const struct ColtStandinServer *server,
                               const struct ColtTaskRef *ref)
{
  const struct ColtStandinTask *task = NULL;
  struct ColtTaskRef candidate = *ref;

  if (ref->attempt > 0)
    return find_task_ (server, ref);
  candidate.attempt = server->attempt_max;
  while (candidate.attempt > 0 && task == NULL)
    {
      task = find_task_ (server, &candidate);
      candidate.attempt--;
    }
  return task;
}

void
colt_standin_server_visit_tasks (
    const struct ColtStandinServer *server,
    void (*visit) (void *client, const struct ColtStandinTask *task),
    void *client)
{
  GHashTableIter iter;
  gpointer task;

  g_hash_table_iter_init (&iter, server->tasks);
  while (g_hash_table_iter_next (&iter, &task, NULL))
    visit (client, task);
}

struct ColtStandinEvents *
colt_standin_server_events (const struct ColtStandinServer *server)
{
  return server->events;
}

void
colt_standin_server_set_speed (struct ColtStandinServer *server,
                               int64_t now_us,
                               double speed)
{
  guint i;

  colt_standin_server_advance (server, now_us);
  server->spec.speed = speed;
  for (i = 0; i < server->running->len; i++)
    {
      struct ColtStandinTask *task = g_ptr_array_index (server->running, i);

      colt_standin_run_set_speed (&task->run, speed, now_us);
    }
}

void
colt_standin_server_set_fail_all (struct ColtStandinServer *server,
                                  bool fail_all)
{
  server->fail_all = fail_all;
}

void
colt_standin_server_set_leaving (struct ColtStandinServer *server,
                                 int64_t now_us,
                                 bool leaving)
{
  if (server->leaving == leaving)
    return;
  server->leaving = leaving;
  notify_ (server, COLT_STANDIN_LEAVING, now_us, NULL, NULL);
}

void
colt_standin_server_kill (struct ColtStandinServer *server, int64_t now_us)
{
  guint i;

  colt_standin_server_advance (server, now_us);
  notify_ (server, COLT_STANDIN_DOWN, now_us, NULL, NULL);
  for (i = 0; i < server->running->len; i++)
    {
      struct ColtStandinTask *task = g_ptr_array_index (server->running, i);

      task->state = COLT_TASK_STOPPED;
      task->end_us = now_us;
      notify_ (server, COLT_STANDIN_ENDED, now_us, task, REASON_DOWN);
    }
  clear_state_ (server);
  server->server_start_us = now_us;
}

static guint
hash_task_ (gconstpointer task)
{
  const struct ColtTaskRef *ref = &((const struct ColtStandinTask *)task)->ref;

  return colt_id_table_hash (&ref->request) + ref->index * 31u
         + ref->attempt * 131071u;
}

static gboolean
equal_task_ (gconstpointer a, gconstpointer b)
{
  const struct ColtStandinTask *left = a;
  const struct ColtStandinTask *right = b;

  return colt_task_equal (&left->ref, &right->ref);
}

static void
free_task_ (gpointer data)
{
  struct ColtStandinTask *task = data;

  g_free (task->payload);
  g_free (task);
}

static void
clear_state_ (struct ColtStandinServer *server)
{
  colt_standin_events_destroy (server->events);
  server->events = colt_standin_events_create ();
  g_queue_clear (&server->ended);
  g_ptr_array_set_size (server->running, 0);
  g_hash_table_remove_all (server->tasks);
  memset (&server->used, 0, sizeof server->used);
  memset (&server->lease, 0, sizeof server->lease);
  memset (server->shard_epochs, 0, sizeof server->shard_epochs);
  server->attempt_max = 0;
}

static void
notify_ (struct ColtStandinServer *server,
         enum ColtStandinNotice notice,
         int64_t at_us,
         const struct ColtStandinTask *task,
         const char *reason)
{
  if (server->observer != NULL)
    server->observer (server->client, server, notice, at_us, task, reason);
}

static struct ColtStandinTask *
find_task_ (const struct ColtStandinServer *server,
            const struct ColtTaskRef *ref)
{
  struct ColtStandinTask key;

  key.ref = *ref;
  return g_hash_table_lookup (server->tasks, &key);
}

static struct ColtStandinTask *
create_task_ (const struct ColtTaskStart *start)
{
  struct ColtStandinTask *task = g_new0 (struct ColtStandinTask, 1);

  task->ref = start->ref;
  task->shard = start->shard;
  task->shard_epoch = start->shard_epoch;
  memcpy (task->team, start->team, sizeof task->team);
  task->kind = start->kind;
  task->run.limit = start->limit;
  task->end_us = COLT_TIME_NEVER;
  task->checkpoint_ms = -1;
  task->payload = g_memdup2 (start->payload, start->payload_size);
  task->payload_size = start->payload_size;
  return task;
}

static void
begin_task_ (struct ColtStandinServer *server,
             struct ColtStandinTask *task,
             int64_t now_us)
{
  struct ColtStandinPayload payload;

  colt_standin_payload_parse (task->payload, task->payload_size, &payload);
  if (server->fail_all)
    {
      payload.fail = true;
      payload.forever = false;
      payload.run_ms = FAIL_ALL_MS;
    }
  colt_standin_run_begin (&task->run, &payload, &task->run.limit,
                          server->spec.speed, now_us);
  task->start_us = now_us;
  task->next_sample_us = now_us + server->spec.usage_lag_us;
  server->attempt_max = MAX (server->attempt_max, task->ref.attempt);
  g_hash_table_add (server->tasks, task);
  g_ptr_array_add (server->running, task);
  colt_resources_add (&server->used, &task->run.limit);
  notify_ (server, COLT_STANDIN_STARTED, now_us, task, NULL);
  check_capacity_ (server, now_us, task);
}

/* Returns when a task ends: when its run ends or its lease expires, whichever
 * comes first. */
static int64_t
task_due_us_ (const struct ColtStandinTask *task,
              enum ColtTaskState *state,
              int *exit_status)
{
  int64_t end_us = colt_standin_run_end_us (&task->run, exit_status);

  if (task->lease_us <= end_us)
    {
      *state = COLT_TASK_LAPSED;
      *exit_status = 0;
      return task->lease_us;
    }
  *state = *exit_status == 0 ? COLT_TASK_FINISHED : COLT_TASK_FAILED;
  return end_us;
}

/* Returns whether the task has ended. */
static bool
advance_task_ (struct ColtStandinServer *server,
               struct ColtStandinTask *task,
               int64_t now_us)
{
  enum ColtTaskState state;
  int exit_status;
  int64_t due_us = task_due_us_ (task, &state, &exit_status);

  while (task->next_sample_us <= MIN (now_us, due_us))
    report_usage_ (server, task);
  if (due_us > now_us)
    return false;
  end_task_ (server, task, state, exit_status, due_us);
  return true;
}

/* Reports the previous sample if it differs from the last report, and takes
 * the next one. */
static void
report_usage_ (struct ColtStandinServer *server, struct ColtStandinTask *task)
{
  bool changed = memcmp (&task->usage, &task->sample, sizeof task->usage) != 0;

  task->usage = task->sample;
  if (changed)
    colt_standin_events_add (server->events, COLT_STANDIN_EVENT_USAGE, task,
                             &task->usage);
  colt_standin_run_usage (&task->run, task->next_sample_us, &task->sample);
  task->next_sample_us += server->spec.usage_lag_us;
}

static void
end_task_ (struct ColtStandinServer *server,
           struct ColtStandinTask *task,
           enum ColtTaskState state,
           int exit_status,
           int64_t at_us)
{
  enum ColtStandinEventKind kind = COLT_STANDIN_EVENT_FINISHED;

  if (state == COLT_TASK_LAPSED)
    kind = COLT_STANDIN_EVENT_LAPSED;
  else if (state == COLT_TASK_STOPPED)
    kind = COLT_STANDIN_EVENT_STOPPED;
  task->state = state;
  task->exit_status = exit_status;
  task->end_us = at_us;
  colt_standin_run_usage (&task->run, at_us, &task->usage);
  colt_resources_subtract (&server->used, &task->run.limit);
  g_ptr_array_remove_fast (server->running, task);
  g_queue_push_tail (&server->ended, task);
  task->end_event_seq
      = colt_standin_events_add (server->events, kind, task, &task->usage);
  notify_ (server, COLT_STANDIN_ENDED, at_us, task, NULL);
}

/* The events of a task are dropped before it, since they refer to it. */
static void
drop_expired_tasks_ (struct ColtStandinServer *server, int64_t now_us)
{
  struct ColtStandinTask *task = g_queue_peek_head (&server->ended);

  while (task != NULL && task->end_us + RETENTION_US <= now_us)
    {
      g_queue_pop_head (&server->ended);
      colt_standin_events_drop (server->events, task->end_event_seq);
      g_hash_table_remove (server->tasks, task);
      task = g_queue_peek_head (&server->ended);
    }
}

static void
check_capacity_ (struct ColtStandinServer *server,
                 int64_t now_us,
                 const struct ColtStandinTask *task)
{
  if (!colt_resources_fit (&server->used, &server->spec.capacity))
    notify_ (server, COLT_STANDIN_OVERCOMMITTED, now_us, task, NULL);
}
