#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* After a change has failed, before the next one and the look-ups. */
#define RETRY_US (100 * COLT_US_PER_MS)

/* A batch of changes on its way to a server. */
struct ColtPendingChange
{
  struct ColtOwnedServer *server; /* NULL once the lease is lost */
  uint64_t call;
  GArray *refs;    /* of struct ColtTaskRef: what it starts */
  GArray *stops;   /* of struct ColtBackendStop */
  GArray *resizes; /* of struct ColtBackendResize */
  bool renews;
  int64_t sent_us;
};

/* A look-up of one task on a server. */
struct ColtLookUp
{
  struct ColtOwner *owner;
  struct ColtTaskRef ref;
};

static bool renewal_due_ (const struct ColtOwnedServer *server, int64_t now_us);
static void stop_unrenewable_ (struct ColtOwnedServer *server, int64_t now_us);
static GArray *take_starts_ (struct ColtOwnedServer *server, GArray *refs);
static GArray *take_stops_ (struct ColtOwnedServer *server);
static void on_changed_ (void *client,
                         const struct ColtBackendStatus *status,
                         const struct ColtBackendChanged *changed);
static void take_result_ (struct ColtOwner *owner,
                          const struct ColtBackendStartResult *result);
static void take_failure_ (struct ColtPendingChange *change,
                           const struct ColtBackendStatus *status);
static void make_unsure_ (struct ColtOwnerTask *task);
static void on_looked_up_ (void *client,
                           const struct ColtBackendStatus *status,
                           const struct ColtTaskReport *report);
static void take_running_ (struct ColtOwner *owner, struct ColtOwnerTask *task);
static void push_stop_ (struct ColtOwnerTask *task);
static void repeat_stops_ (const struct ColtPendingChange *change);
static void repeat_resizes_ (const struct ColtPendingChange *change);
static void free_change_ (struct ColtPendingChange *change);

void
colt_owned_server_flush (struct ColtOwnedServer *server)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtBackendChange change = { 0 };
  struct ColtPendingChange *pending;
  bool renews = renewal_due_ (server, now_us);
  GArray *starts;
  uint64_t call;

  if (server->change != NULL)
    return;
  if (renews)
    stop_unrenewable_ (server, now_us);
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
  pending->refs = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskRef));
  server->change = pending;
  starts = take_starts_ (server, pending->refs);
  pending->stops = take_stops_ (server);
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
  server->driver->change (server->driver, &change, on_changed_, pending);
  g_array_unref (starts);
}

void
colt_owned_server_drop_change (struct ColtOwnedServer *server)
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
  if (task->state == COLT_OWNER_TASK_QUEUED && !task->maybe_sent)
    {
      g_queue_remove (&server->queue, task);
      colt_owner_unwant_credit (server->owner, task);
      colt_owner_refuse_task (server->owner, task, COLT_REFUSAL_LEAVING);
      return;
    }
  push_stop_ (task);
}

void
colt_owned_server_look_up_unsure (struct ColtOwnedServer *server)
{
  struct ColtTaskRef *ref;

  while ((ref = g_queue_pop_head (&server->unsure)) != NULL)
    {
      struct ColtLookUp *look_up = g_new0 (struct ColtLookUp, 1);

      look_up->owner = server->owner;
      look_up->ref = *ref;
      server->driver->fetch (server->driver, ref, on_looked_up_, look_up);
      g_free (ref);
    }
}

static bool
renewal_due_ (const struct ColtOwnedServer *server, int64_t now_us)
{
  return server->running > 0
         && now_us - server->renewed_us >= COLT_TASK_RENEW_US;
}

static void
stop_unrenewable_ (struct ColtOwnedServer *server, int64_t now_us)
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
take_starts_ (struct ColtOwnedServer *server, GArray *refs)
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
take_stops_ (struct ColtOwnedServer *server)
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
on_changed_ (void *client,
             const struct ColtBackendStatus *status,
             const struct ColtBackendChanged *changed)
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
        take_result_ (server->owner, &changed->results[i]);
    }
  else
    take_failure_ (change, status);
  colt_owned_server_end_call (server, change->call, status,
                              changed != NULL ? changed->token : "");
  free_change_ (change);
  if (status->result == COLT_BACKEND_OK)
    colt_owned_server_flush (server);
  else
    evtimer_add (server->timer, &retry);
}

static void
take_result_ (struct ColtOwner *owner,
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
      take_running_ (owner, task);
      return;
    case COLT_BACKEND_DUPLICATE:
      make_unsure_ (task);
      return;
    case COLT_BACKEND_START_REFUSED:
      colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
      return;
    }
}

/* A change without an answer may have started its tasks, and a failure of a
 * second copy of a start says nothing of the first. */
static void
take_failure_ (struct ColtPendingChange *change,
               const struct ColtBackendStatus *status)
{
  struct ColtOwner *owner = change->server->owner;
  bool unsure = status->result == COLT_BACKEND_UNKNOWN;
  guint i;

  colt_log_error (COLT_LOG_WARNING, MODULE, "a batch of changes failed",
                  &status->error);
  for (i = 0; i < change->refs->len; i++)
    {
      const struct ColtTaskRef *ref
          = &g_array_index (change->refs, struct ColtTaskRef, i);
      struct ColtOwnerTask *task = colt_owner_tasks_find (owner->tasks, ref);

      if (task == NULL || task->server == NULL
          || task->state != COLT_OWNER_TASK_SENT)
        continue;
      if (!unsure && !task->maybe_sent)
        {
          colt_owner_refuse_task (owner, task, COLT_REFUSAL_FENCED);
          continue;
        }
      colt_counters_count (owner->parts.counters, owner->counters.unsure, 1);
      make_unsure_ (task);
    }
  repeat_stops_ (change);
  repeat_resizes_ (change);
}

static void
make_unsure_ (struct ColtOwnerTask *task)
{
  task->state = COLT_OWNER_TASK_UNSURE;
  task->maybe_sent = true;
  g_queue_push_tail (&task->server->unsure,
                     g_memdup2 (&task->ref, sizeof task->ref));
}

/*
 * A start that the server does not know is sent again: the server takes each
 * attempt at most once, so that a copy which arrives late does nothing.
 */
static void
on_looked_up_ (void *client,
               const struct ColtBackendStatus *status,
               const struct ColtTaskReport *report)
{
  struct ColtLookUp *look_up = client;
  struct ColtOwner *owner = look_up->owner;
  struct ColtOwnerTask *task
      = colt_owner_tasks_find (owner->tasks, &look_up->ref);

  g_free (look_up);
  if (task == NULL || task->server == NULL
      || task->state != COLT_OWNER_TASK_UNSURE)
    return;
  if (status->result != COLT_BACKEND_OK)
    make_unsure_ (task);
  else if (report == NULL)
    {
      task->state = COLT_OWNER_TASK_QUEUED;
      g_queue_push_tail (&task->server->queue, task);
    }
  else if (report->state == COLT_TASK_RUNNING)
    take_running_ (owner, task);
  else
    {
      colt_owner_start_task (owner, task);
      colt_owner_end_task (owner, task, report);
    }
}

/* A stop that came before the start found nothing to stop. */
static void
take_running_ (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  colt_owner_start_task (owner, task);
  if (task->stopping)
    push_stop_ (task);
}

static void
push_stop_ (struct ColtOwnerTask *task)
{
  g_queue_push_tail (&task->server->stops,
                     g_memdup2 (&task->ref, sizeof task->ref));
}

/* Stops may be repeated, for a task that has ended takes none. */
static void
repeat_stops_ (const struct ColtPendingChange *change)
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

/* With the limit of now, for that may have grown meanwhile. */
static void
repeat_resizes_ (const struct ColtPendingChange *change)
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
  g_array_unref (change->refs);
  g_array_unref (change->stops);
  g_array_unref (change->resizes);
  g_free (change);
}
