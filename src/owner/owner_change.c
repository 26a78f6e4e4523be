#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* Delay between a failed change and the next change and look-ups. */
#define RETRY_US (100 * COLT_US_PER_MS)

/* A batch of changes that was sent to a server and is not answered yet. */
struct ColtPendingChange
{
  struct ColtOwnedServer *server; /* NULL once detached */
  uint64_t call;
  GArray *start_refs; /* of struct ColtTaskRef */
  GArray *stops;      /* of struct ColtBackendStop */
  GArray *resizes;    /* of struct ColtBackendResize */
  bool renews;        /* also renews the leases of the server's tasks */
  int64_t sent_us;
};

/* Context of the look-up of one task on a server. */
struct ColtLookUp
{
  struct ColtOwner *owner;
  struct ColtTaskRef ref;
};

static bool is_renewal_due_ (const struct ColtOwnedServer *server,
                             int64_t now_us);
static void stop_unrenewable_tasks_ (struct ColtOwnedServer *server,
                                     int64_t now_us);
static GArray *pop_starts_ (struct ColtOwnedServer *server, GArray *refs);
static GArray *pop_stops_ (struct ColtOwnedServer *server);
static void finish_change_ (void *client,
                            const struct ColtBackendStatus *status,
                            const struct ColtBackendChangeAnswer *changed);
static void apply_start_result_ (struct ColtOwner *owner,
                                 const struct ColtBackendStartResult *result);
static void handle_failed_change_ (struct ColtPendingChange *change,
                                   const struct ColtBackendStatus *status);
static void mark_unconfirmed_ (struct ColtOwnerTask *task);
static void finish_look_up_ (void *client,
                             const struct ColtBackendStatus *status,
                             const struct ColtTaskReport *report);
static void record_running_ (struct ColtOwner *owner,
                             struct ColtOwnerTask *task);
static void push_stop_ (struct ColtOwnerTask *task);
static void requeue_stops_ (const struct ColtPendingChange *change);
static void requeue_resizes_ (const struct ColtPendingChange *change);
static void free_change_ (struct ColtPendingChange *change);

void
colt_owned_server_send_changes (struct ColtOwnedServer *server)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtBackendChange change = { 0 };
  struct ColtPendingChange *pending;
  bool renews = is_renewal_due_ (server, now_us);
  GArray *starts;
  uint64_t call;

  if (server->change != NULL)
    return;
  if (renews)
    stop_unrenewable_tasks_ (server, now_us);
  if (g_queue_is_empty (&server->queue) && g_queue_is_empty (&server->stops)
      && server->resizes->len == 0 && !renews)
    return;
  call = colt_server_lease_open_call (server->lease, true, now_us);
  if (call == 0)
    return;
  pending = g_new0 (struct ColtPendingChange, 1);
  pending->server = server;
  pending->call = call;
  pending->renews = renews;
  pending->sent_us = now_us;
  pending->start_refs = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskRef));
  server->change = pending;
  starts = pop_starts_ (server, pending->start_refs);
  pending->stops = pop_stops_ (server);
  pending->resizes = server->resizes;
  server->resizes
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendResize));
  change.epoch = colt_server_lease_epoch (server->lease);
  change.token = colt_server_lease_token (server->lease);
  change.starts = (const struct ColtTaskStart *)starts->data;
  change.start_count = starts->len;
  change.stops = (const struct ColtBackendStop *)pending->stops->data;
  change.stop_count = pending->stops->len;
  change.resizes = (const struct ColtBackendResize *)pending->resizes->data;
  change.resize_count = pending->resizes->len;
  change.renew_ms = renews ? COLT_TASK_LEASE_MS : 0;
  server->driver->change (server->driver, &change, finish_change_, pending);
  g_array_unref (starts);
}

void
colt_owned_server_detach_change (struct ColtOwnedServer *server)
{
  if (server->change == NULL)
    return;
  server->change->server = NULL;
  server->change = NULL;
}

void
colt_owned_server_queue_stop (struct ColtOwnedServer *server,
                              struct ColtOwnerTask *task)
{
  if (task->stopping)
    return;
  task->stopping = true;
  if (task->state == COLT_OWNER_TASK_QUEUED && !task->maybe_started)
    {
      g_queue_remove (&server->queue, task);
      colt_owner_cancel_credit_wait (server->owner, task);
      colt_owner_refuse_task (server->owner, task, COLT_REFUSAL_LEAVING);
      return;
    }
  push_stop_ (task);
}

void
colt_owned_server_look_up_unconfirmed (struct ColtOwnedServer *server)
{
  struct ColtTaskRef *ref;

  while ((ref = g_queue_pop_head (&server->unconfirmed)) != NULL)
    {
      struct ColtLookUp *look_up = g_new0 (struct ColtLookUp, 1);

      look_up->owner = server->owner;
      look_up->ref = *ref;
      server->driver->fetch (server->driver, ref, finish_look_up_, look_up);
      g_free (ref);
    }
}

static bool
is_renewal_due_ (const struct ColtOwnedServer *server, int64_t now_us)
{
  return server->running > 0
         && now_us - server->renewed_us >= COLT_TASK_RENEW_US;
}

/* A renewal covers all tasks of the server, so that tasks of a shard that may
 * not be renewed must be stopped first. */
static void
stop_unrenewable_tasks_ (struct ColtOwnedServer *server, int64_t now_us)
{
  struct ColtShardOwner *shards = server->owner->shard_owner;
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      GList *link;

      if (g_queue_is_empty (&server->shards[shard])
          || colt_shard_owner_may_renew_tasks (shards, shard, server->id,
                                               now_us))
        continue;
      for (link = server->shards[shard].head; link != NULL; link = link->next)
        {
          struct ColtOwnerTask *task = link->data;

          if (task->state == COLT_OWNER_TASK_RUNNING)
            colt_owned_server_queue_stop (server, task);
        }
    }
}

static GArray *
pop_starts_ (struct ColtOwnedServer *server, GArray *refs)
{
  GArray *starts = g_array_new (FALSE, TRUE, sizeof (struct ColtTaskStart));
  struct ColtOwnerTask *task;

  while (starts->len < COLT_CHANGE_STARTS_MAX
         && (task = g_queue_pop_head (&server->queue)) != NULL)
    {
      struct ColtTaskStart start = { 0 };

      start.ref = task->ref;
      start.shard = task->shard;
      start.shard_epoch = task->shard_epoch;
      g_strlcpy (start.team, colt_owner_tasks_team (server->owner->tasks, task),
                 sizeof start.team);
      start.kind = task->kind;
      start.limit = task->limit;
      start.lease_ms = COLT_TASK_LEASE_MS;
      start.payload = task->payload;
      start.payload_size = task->payload_size;
      task->state = COLT_OWNER_TASK_SENT;
      g_array_append_val (starts, start);
      g_array_append_val (refs, task->ref);
    }
  return starts;
}

static GArray *
pop_stops_ (struct ColtOwnedServer *server)
{
  GArray *stops = g_array_new (FALSE, TRUE, sizeof (struct ColtBackendStop));
  struct ColtTaskRef *ref;

  while ((ref = g_queue_pop_head (&server->stops)) != NULL)
    {
      struct ColtBackendStop stop = { *ref, false };

      g_array_append_val (stops, stop);
      g_free (ref);
    }
  return stops;
}

static void
finish_change_ (void *client,
                const struct ColtBackendStatus *status,
                const struct ColtBackendChangeAnswer *changed)
{
  struct ColtPendingChange *change = client;
  struct ColtOwnedServer *server = change->server;
  const struct timeval retry = { 0, RETRY_US };
  size_t i;

  if (server == NULL)
    {
      free_change_ (change);
      return;
    }
  server->change = NULL;
  if (status->result == COLT_BACKEND_OK)
    {
      if (change->renews)
        server->renewed_us = change->sent_us;
      for (i = 0; i < changed->result_count; i++)
        apply_start_result_ (server->owner, &changed->results[i]);
    }
  else
    handle_failed_change_ (change, status);
  colt_owned_server_end_call (server, change->call, status,
                              changed != NULL ? changed->token : "");
  free_change_ (change);
  if (status->result == COLT_BACKEND_OK)
    colt_owned_server_send_changes (server);
  else
    evtimer_add (server->timer, &retry);
}

static void
apply_start_result_ (struct ColtOwner *owner,
                     const struct ColtBackendStartResult *result)
{
  struct ColtOwnerTask *task
      = colt_owner_tasks_find (owner->tasks, &result->ref);

  if (task == NULL || task->server == NULL
      || task->state != COLT_OWNER_TASK_SENT)
    return;
  switch (result->status)
    {
    case COLT_BACKEND_STARTED:
      record_running_ (owner, task);
      return;
    case COLT_BACKEND_DUPLICATE:
      mark_unconfirmed_ (task);
      return;
    case COLT_BACKEND_START_REFUSED:
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
      return;
    }
}

/* An unanswered change may have started its tasks. A change that certainly
 * failed proves that a task does not run only if no earlier copy of its start
 * went unanswered. */
static void
handle_failed_change_ (struct ColtPendingChange *change,
                       const struct ColtBackendStatus *status)
{
  struct ColtOwner *owner = change->server->owner;
  bool unconfirmed = status->result == COLT_BACKEND_UNKNOWN;
  guint i;

  colt_log_error (
      COLT_LOG_WARNING, MODULE,
      "batch of changes on backend server failed; resending stops and resizes",
      &status->error);
  for (i = 0; i < change->start_refs->len; i++)
    {
      const struct ColtTaskRef *ref
          = &g_array_index (change->start_refs, struct ColtTaskRef, i);
      struct ColtOwnerTask *task = colt_owner_tasks_find (owner->tasks, ref);

      if (task == NULL || task->server == NULL
          || task->state != COLT_OWNER_TASK_SENT)
        continue;
      if (!unconfirmed && !task->maybe_started)
        {
          colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
          continue;
        }
      colt_counters_increment (owner->parts.counters,
                               owner->counters.unconfirmed, 1);
      mark_unconfirmed_ (task);
    }
  requeue_stops_ (change);
  requeue_resizes_ (change);
}

static void
mark_unconfirmed_ (struct ColtOwnerTask *task)
{
  task->state = COLT_OWNER_TASK_UNCONFIRMED;
  task->maybe_started = true;
  g_queue_push_tail (&task->server->unconfirmed,
                     g_memdup2 (&task->ref, sizeof task->ref));
}

/*
 * A start that the server has no record of is sent again. The server starts
 * each attempt at most once, so that an earlier copy which arrives late has no
 * effect.
 */
static void
finish_look_up_ (void *client,
                 const struct ColtBackendStatus *status,
                 const struct ColtTaskReport *report)
{
  struct ColtLookUp *look_up = client;
  struct ColtOwner *owner = look_up->owner;
  struct ColtOwnerTask *task
      = colt_owner_tasks_find (owner->tasks, &look_up->ref);

  g_free (look_up);
  if (task == NULL || task->server == NULL
      || task->state != COLT_OWNER_TASK_UNCONFIRMED)
    return;
  if (status->result != COLT_BACKEND_OK)
    mark_unconfirmed_ (task);
  else if (report == NULL)
    {
      task->state = COLT_OWNER_TASK_QUEUED;
      g_queue_push_tail (&task->server->queue, task);
    }
  else if (report->state == COLT_TASK_RUNNING)
    record_running_ (owner, task);
  else
    {
      colt_owner_record_start (owner, task);
      colt_owner_record_end (owner, task, report);
    }
}

/* A stop that was sent before the task ran had no effect and is sent again. */
static void
record_running_ (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  colt_owner_record_start (owner, task);
  if (task->stopping)
    push_stop_ (task);
}

static void
push_stop_ (struct ColtOwnerTask *task)
{
  g_queue_push_tail (&task->server->stops,
                     g_memdup2 (&task->ref, sizeof task->ref));
}

/* Stops may be repeated, since they have no effect on a task that has ended. */
static void
requeue_stops_ (const struct ColtPendingChange *change)
{
  guint i;

  for (i = 0; i < change->stops->len; i++)
    {
      const struct ColtBackendStop *stop
          = &g_array_index (change->stops, struct ColtBackendStop, i);
      struct ColtOwnerTask *task
          = colt_owner_tasks_find (change->server->owner->tasks, &stop->ref);

      if (task != NULL && task->server == change->server
          && task->state < COLT_OWNER_TASK_ENDED)
        push_stop_ (task);
    }
}

/* Resizes to the present limit of each task, which may have grown since the
 * change was sent. */
static void
requeue_resizes_ (const struct ColtPendingChange *change)
{
  guint i;

  for (i = 0; i < change->resizes->len; i++)
    {
      struct ColtBackendResize resize
          = g_array_index (change->resizes, struct ColtBackendResize, i);
      const struct ColtOwnerTask *task
          = colt_owner_tasks_find (change->server->owner->tasks, &resize.ref);

      if (task == NULL || task->server != change->server
          || task->state != COLT_OWNER_TASK_RUNNING)
        continue;
      resize.limit = task->limit;
      g_array_append_val (change->server->resizes, resize);
    }
}

static void
free_change_ (struct ColtPendingChange *change)
{
  g_array_unref (change->start_refs);
  g_array_unref (change->stops);
  g_array_unref (change->resizes);
  g_free (change);
}
