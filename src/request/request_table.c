#include <assert.h>
#include <string.h>
#include <xxhash.h>

#include "requests_private.h"

static bool is_newer_ (const struct ColtRequestTask *task,
                       const struct ColtTaskReport *report);
static void queue_or_end_ (struct ColtRequests *requests,
                           struct ColtRequest *request,
                           uint32_t index,
                           bool may_be_unrecorded);
static void grow_tasks_ (struct ColtRequests *requests,
                         struct ColtRequest *request,
                         uint32_t tasks);

struct ColtRequest *
colt_requests_lookup (const struct ColtRequests *requests,
                      const struct ColtId *id)
{
  return g_hash_table_lookup (requests->table, id);
}

struct ColtRequestTask *
colt_requests_find_attempt (const struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            struct ColtRequest **request)
{
  struct ColtRequestTask *task;

  *request = colt_requests_lookup (requests, &ref->request);
  if (*request == NULL || ref->index >= (*request)->spec.tasks)
    return NULL;
  task = &(*request)->tasks[ref->index];
  if (task->attempt != ref->attempt || task->shard_epoch != shard_epoch)
    return NULL;
  return task;
}

struct ColtRequest *
colt_requests_add (struct ColtRequests *requests,
                   const struct ColtId *id,
                   const struct ColtRequestSpec *spec,
                   int64_t now_us)
{
  struct ColtRequest *request = g_new0 (struct ColtRequest, 1);

  request->id = *id;
  request->spec = *spec;
  request->spec.payload = g_memdup2 (spec->payload, spec->payload_size);
  request->fingerprint = colt_request_fingerprint (spec);
  request->arrived_us = now_us;
  request->started_us = -1;
  request->tasks = g_new0 (struct ColtRequestTask, spec->tasks);
  request->open_tasks = spec->tasks;
  requests->stats.open++;
  requests->stats.waiting += spec->tasks;
  requests->stats.payload_bytes += spec->payload_size;
  g_hash_table_insert (requests->table, &request->id, request);
  return request;
}

void
colt_requests_free (struct ColtRequests *requests, struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    {
      uint32_t *counter
          = colt_requests_state_counter (requests, request->tasks[i].state);

      if (request->tasks[i].state == COLT_REQUEST_TASK_WAITING
          && request->outcome == COLT_OUTCOME_PENDING)
        requests->calls->unqueue_task (requests->client, request, i);
      if (counter != NULL)
        (*counter)--;
      if (colt_request_task_is_in_flight (&request->tasks[i]))
        colt_requests_count_in_flight (requests, request,
                                       request->tasks[i].server, -1);
    }
  colt_requests_drop_results (requests, request);
  if (request->outcome == COLT_OUTCOME_PENDING)
    requests->stats.open--;
  if (request->recovered)
    requests->stats.recovered--;
  requests->stats.payload_bytes -= request->spec.payload_size;
  g_free ((void *)request->spec.payload);
  g_free (request->tasks);
  g_free (request);
}

void
colt_requests_count_in_flight (struct ColtRequests *requests,
                               const struct ColtRequest *request,
                               uint32_t server,
                               int change)
{
  GHashTable *counts
      = g_hash_table_lookup (requests->servers, GUINT_TO_POINTER (server));
  int count;

  if (counts == NULL)
    {
      counts = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
      g_hash_table_insert (requests->servers, GUINT_TO_POINTER (server),
                           counts);
    }
  count = GPOINTER_TO_INT (g_hash_table_lookup (counts, &request->id)) + change;
  assert (count >= 0);
  if (count > 0)
    g_hash_table_insert (counts, (gpointer)&request->id,
                         GINT_TO_POINTER (count));
  else
    g_hash_table_remove (counts, &request->id);
  if (g_hash_table_size (counts) == 0)
    g_hash_table_remove (requests->servers, GUINT_TO_POINTER (server));
}

void
colt_requests_recover (struct ColtRequests *requests,
                       const struct ColtTaskReport *report,
                       uint32_t server,
                       uint64_t server_epoch,
                       int64_t now_us)
{
  struct ColtRequest *request
      = colt_requests_lookup (requests, &report->ref.request);
  struct ColtRequestSpec spec = { 0 };
  struct ColtRequestTask *task;

  if (report->ref.index >= COLT_TASKS_PER_REQUEST_MAX)
    return;
  if (request == NULL)
    {
      g_strlcpy (spec.team, report->team, sizeof spec.team);
      spec.kind = report->kind;
      spec.demand = report->limit;
      spec.tasks = report->ref.index + 1;
      spec.max_attempts = 1;
      spec.deadline_us = COLT_TIME_NEVER;
      request
          = colt_requests_add (requests, &report->ref.request, &spec, now_us);
      request->recovered = true;
      request->fingerprint = COLT_FINGERPRINT_NONE;
      request->started_us = now_us;
      requests->stats.recovered++;
      colt_requests_schedule_removal (requests, request, now_us);
    }
  grow_tasks_ (requests, request, report->ref.index + 1);
  task = &request->tasks[report->ref.index];
  if (!is_newer_ (task, report))
    return;
  if (colt_request_task_is_in_flight (task))
    colt_requests_set_state (requests, request, report->ref.index,
                             COLT_REQUEST_TASK_WAITING);
  task->attempt = report->ref.attempt;
  task->runs = report->ref.attempt;
  task->shard_epoch = report->shard_epoch;
  task->server = server;
  task->server_epoch = server_epoch;
  if (report->state == COLT_TASK_RUNNING)
    {
      if (task->state == COLT_REQUEST_TASK_ENDED)
        request->open_tasks++;
      colt_requests_set_state (requests, request, report->ref.index,
                               COLT_REQUEST_TASK_RUNNING);
      return;
    }
  colt_requests_store_report (requests, request, task, report);
  if (task->state != COLT_REQUEST_TASK_ENDED)
    {
      colt_requests_set_state (requests, request, report->ref.index,
                               COLT_REQUEST_TASK_ENDED);
      request->open_tasks--;
    }
}

void
colt_requests_apply_spec (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          const struct ColtRequestSpec *spec,
                          int64_t now_us)
{
  bool may_be_unrecorded
      = colt_requests_may_lack_history (requests, &request->id, spec);
  uint32_t i;

  grow_tasks_ (requests, request, spec->tasks);
  requests->stats.payload_bytes += spec->payload_size;
  g_free ((void *)request->spec.payload);
  request->spec = *spec;
  request->spec.payload = g_memdup2 (spec->payload, spec->payload_size);
  request->fingerprint = colt_request_fingerprint (spec);
  request->recovered = false;
  requests->stats.recovered--;
  if (spec->deadline_us != COLT_TIME_NEVER)
    colt_requests_add_timer (requests, spec->deadline_us, &request->id, 0,
                             TIMER_DEADLINE);
  for (i = 0; i < spec->tasks; i++)
    if (request->tasks[i].state == COLT_REQUEST_TASK_WAITING)
      queue_or_end_ (requests, request, i, may_be_unrecorded);
  if (request->cancelled)
    colt_requests_abandon (requests, request, COLT_REASON_CANCELLED, now_us);
  else
    colt_requests_try_end (requests, request, now_us);
}

/* Compares shard epochs first: a new leader without a record of earlier
 * attempts counts from 1 again, at a higher epoch. */
static bool
is_newer_ (const struct ColtRequestTask *task,
           const struct ColtTaskReport *report)
{
  if (report->shard_epoch != task->shard_epoch)
    return report->shard_epoch > task->shard_epoch;
  return report->ref.attempt > task->attempt;
}

/* A task without a report may have run if the reports are incomplete. */
static void
queue_or_end_ (struct ColtRequests *requests,
               struct ColtRequest *request,
               uint32_t index,
               bool may_be_unrecorded)
{
  struct ColtRequestTask *task = &request->tasks[index];

  if (!may_be_unrecorded)
    {
      requests->calls->queue_task (requests->client, request, index);
      return;
    }
  task->end = COLT_TASK_LAPSED;
  task->uncertain = true;
  task->runs++;
  colt_requests_set_state (requests, request, index, COLT_REQUEST_TASK_ENDED);
  request->open_tasks--;
}

static void
grow_tasks_ (struct ColtRequests *requests,
             struct ColtRequest *request,
             uint32_t tasks)
{
  uint32_t old = request->spec.tasks;

  if (tasks <= old)
    return;
  request->tasks = g_renew (struct ColtRequestTask, request->tasks, tasks);
  memset (request->tasks + old, 0, (tasks - old) * sizeof *request->tasks);
  request->spec.tasks = tasks;
  request->open_tasks += tasks - old;
  requests->stats.waiting += tasks - old;
}

uint64_t
colt_request_fingerprint (const struct ColtRequestSpec *spec)
{
  const uint64_t fields[] = { spec->kind, spec->tasks, spec->idempotent };
  uint64_t hash = XXH3_64bits (spec->payload, spec->payload_size);

  hash = XXH3_64bits_withSeed (fields, sizeof fields, hash);
  hash = XXH3_64bits_withSeed (&spec->demand, sizeof spec->demand, hash);
  hash = XXH3_64bits_withSeed (spec->queue, strlen (spec->queue), hash);
  return XXH3_64bits_withSeed (spec->team, strlen (spec->team), hash);
}
