#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* Time after which a server answers a poll without events. */
#define EVENTS_WAIT_MS 2000

/* The memory limit of a task is raised when usage reaches this share of it. */
#define RESIZE_AT_PERMILLE 900
/* The memory limit of a task is raised by this share of it. */
#define RESIZE_BY_PERMILLE 250

/* Context of an open poll for events. */
struct ColtEventsCall
{
  struct ColtOwnedServer *server;
  uint64_t call;
};

static void finish_events_call_ (void *client,
                                 const struct ColtBackendStatus *status,
                                 const struct ColtBackendEvents *events);
static void apply_event_ (struct ColtOwnedServer *server,
                          const struct ColtBackendEvent *event);
static void apply_usage_ (struct ColtOwnedServer *server,
                          struct ColtOwnerTask *task,
                          const struct ColtTaskReport *report);
static void free_payload_ (struct ColtOwnerTask *task);

void
colt_owned_server_poll_events (struct ColtOwnedServer *server)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtEventsCall *call;

  if (server->events_call != 0
      || !colt_server_lease_may_start (server->lease, now_us))
    return;
  call = g_new0 (struct ColtEventsCall, 1);
  call->server = server;
  call->call = colt_server_lease_open_call (server->lease, false, now_us);
  server->events_call = call->call;
  server->driver->events (
      server->driver, colt_server_lease_epoch (server->lease),
      server->next_event, EVENTS_WAIT_MS, finish_events_call_, call);
}

void
colt_owner_record_start (struct ColtOwner *owner, struct ColtOwnerTask *task)
{
  struct ColtTaskReport report;

  task->state = COLT_OWNER_TASK_RUNNING;
  task->started_us = colt_clock_monotonic_us ();
  task->server->running++;
  free_payload_ (task);
  colt_counters_increment (owner->parts.counters, owner->counters.started, 1);
  colt_owner_task_fill_report (owner->tasks, task, &report);
  colt_owner_queue_event (owner, &report, COLT_TASK_EVENT_STARTED,
                          task->server->id, COLT_REFUSAL_NO_ROOM);
}

void
colt_owner_record_end (struct ColtOwner *owner,
                       struct ColtOwnerTask *task,
                       const struct ColtTaskReport *report)
{
  struct ColtOwnedServer *server = task->server;
  struct ColtTaskReport event_report = *report;

  if (task->state == COLT_OWNER_TASK_RUNNING && server->running > 0)
    server->running--;
  task->state = COLT_OWNER_TASK_ENDED;
  task->end_state = report->state;
  task->exit_status = report->exit_status;
  task->run_ms = report->run_ms;
  task->ended_us = colt_clock_monotonic_us ();
  free_payload_ (task);
  colt_owned_server_unreserve (server, task);
  colt_owner_tasks_record_end (owner->tasks, task);
  colt_counters_increment (owner->parts.counters, owner->counters.ended, 1);
  if (report->state == COLT_TASK_FAILED)
    colt_counters_increment (owner->parts.counters, owner->counters.failed, 1);
  colt_owned_server_update_health (server, report, task->ended_us);
  event_report.shard = task->shard;
  event_report.shard_epoch = task->shard_epoch;
  colt_owner_queue_event (owner, &event_report, COLT_TASK_EVENT_ENDED,
                          server->id, COLT_REFUSAL_NO_ROOM);
}

void
colt_owner_refuse_task (struct ColtOwner *owner,
                        struct ColtOwnerTask *task,
                        enum ColtPlacementRefusal refusal)
{
  struct ColtTaskReport report;

  colt_owned_server_unreserve (task->server, task);
  colt_counters_increment (owner->parts.counters, owner->counters.refused, 1);
  colt_owner_task_fill_report (owner->tasks, task, &report);
  colt_owner_queue_event (owner, &report, COLT_TASK_EVENT_REFUSED,
                          task->server->id, refusal);
  task->state = COLT_OWNER_TASK_NOT_RUN;
  task->ended_us = colt_clock_monotonic_us ();
  free_payload_ (task);
  colt_owner_tasks_record_end (owner->tasks, task);
}

static void
finish_events_call_ (void *client,
                     const struct ColtBackendStatus *status,
                     const struct ColtBackendEvents *events)
{
  struct ColtEventsCall *call = client;
  struct ColtOwnedServer *server = call->server;
  bool current = server->events_call == call->call;
  size_t i;

  if (current)
    server->events_call = 0;
  if (current && status->result == COLT_BACKEND_OK)
    {
      for (i = 0; i < events->count; i++)
        apply_event_ (server, &events->events[i]);
      server->next_event = events->next;
    }
  colt_owned_server_end_call (server, call->call, status,
                              events != NULL ? events->token : "");
  g_free (call);
  if (current && status->result == COLT_BACKEND_OK)
    colt_owned_server_poll_events (server);
  colt_owned_server_send_changes (server);
}

static void
apply_event_ (struct ColtOwnedServer *server,
              const struct ColtBackendEvent *event)
{
  struct ColtOwner *owner = server->owner;
  struct ColtOwnerTask *task
      = colt_owner_tasks_find (owner->tasks, &event->task.ref);

  if (task == NULL || task->server != server
      || task->state >= COLT_OWNER_TASK_ENDED)
    return;
  if (event->kind == COLT_BACKEND_EVENT_USAGE)
    {
      apply_usage_ (server, task, &event->task);
      return;
    }
  /* The end may arrive before the answer to the start. */
  if (task->state != COLT_OWNER_TASK_RUNNING)
    {
      g_queue_remove (&server->queue, task);
      colt_owner_record_start (owner, task);
    }
  colt_owner_record_end (owner, task, &event->task);
}

/* Raises the memory limit of a task whose usage comes close to it, as far as
 * the server has free memory. */
static void
apply_usage_ (struct ColtOwnedServer *server,
              struct ColtOwnerTask *task,
              const struct ColtTaskReport *report)
{
  const int memory = COLT_RESOURCE_MEMORY;
  struct ColtResources free = colt_owned_server_available (server);
  struct ColtBackendResize resize;
  int64_t more;

  task->usage = report->usage;
  task->run_ms = report->run_ms;
  if (task->usage.amount[memory] * 1000
      < task->limit.amount[memory] * RESIZE_AT_PERMILLE)
    return;
  more = MIN (task->limit.amount[memory] * RESIZE_BY_PERMILLE / 1000,
              free.amount[memory]);
  if (more <= 0 || !task->holds_resources)
    return;
  server->reserved.amount[memory] += more;
  task->limit.amount[memory] += more;
  resize.ref = task->ref;
  resize.limit = task->limit;
  g_array_append_val (server->resizes, resize);
  server->digest_due = true;
}

static void
free_payload_ (struct ColtOwnerTask *task)
{
  g_clear_pointer (&task->payload, g_free);
  task->payload_size = 0;
}
