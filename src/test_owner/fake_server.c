#include "fake_server.h"

#include <string.h>

#include "coltsfootstile/clock.h"

enum ColtFakeCallKind
{
  FAKE_DESCRIBE,
  FAKE_LEASE,
  FAKE_INVENTORY,
  FAKE_CHANGE,
  FAKE_EVENTS,
  FAKE_FETCH
};

struct ColtFakeCall
{
  struct ColtFakeServer *server;
  struct event *timer;
  enum ColtFakeCallKind kind;
  uint64_t epoch;
  void (*done) (void); /* cast from the callback type of the kind */
  void *client;
  struct ColtTaskRef ref;
  bool releases;
  int64_t renew_ms;
  GArray *starts;  /* of struct ColtTaskStart, without payloads */
  GArray *stops;   /* of struct ColtBackendStop */
  GArray *resizes; /* of struct ColtBackendResize */
};

static const char token[] = "token";

static void end_call_ (evutil_socket_t fd, short what, void *data);

static void
free_call_ (gpointer data)
{
  struct ColtFakeCall *call = data;

  event_free (call->timer);
  if (call->starts != NULL)
    {
      g_array_unref (call->starts);
      g_array_unref (call->stops);
      g_array_unref (call->resizes);
    }
  g_free (call);
}

static struct ColtFakeCall *
open_call_ (struct ColtBackendDriver *driver,
            enum ColtFakeCallKind kind,
            void (*done) (void),
            void *client)
{
  struct ColtFakeServer *server = (struct ColtFakeServer *)driver;
  struct ColtFakeCall *call = g_new0 (struct ColtFakeCall, 1);

  call->server = server;
  call->kind = kind;
  call->done = done;
  call->client = client;
  call->timer = evtimer_new (server->base, end_call_, call);
  g_ptr_array_add (server->calls, call);
  return call;
}

static void
schedule_end_ (struct ColtFakeCall *call)
{
  const struct timeval now = { 0, 0 };

  evtimer_add (call->timer, &now);
}

static void
describe_ (struct ColtBackendDriver *driver,
           ColtBackendDescribeDone done,
           void *client)
{
  schedule_end_ (
      open_call_ (driver, FAKE_DESCRIBE, (void (*) (void))done, client));
}

static void
acquire_ (struct ColtBackendDriver *driver,
          uint32_t owner,
          uint64_t epoch,
          int64_t lease_ms,
          ColtBackendLeaseDone done,
          void *client)
{
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_LEASE, (void (*) (void))done, client);

  (void)owner;
  (void)lease_ms;
  call->epoch = epoch;
  schedule_end_ (call);
}

static void
renew_ (struct ColtBackendDriver *driver,
        uint32_t owner,
        uint64_t epoch,
        const char *echoed_token,
        int64_t lease_ms,
        ColtBackendLeaseDone done,
        void *client)
{
  (void)echoed_token;
  acquire_ (driver, owner, epoch, lease_ms, done, client);
}

static void
release_ (struct ColtBackendDriver *driver,
          uint32_t owner,
          uint64_t epoch,
          const char *echoed_token,
          ColtBackendLeaseDone done,
          void *client)
{
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_LEASE, (void (*) (void))done, client);

  (void)owner;
  (void)echoed_token;
  call->epoch = epoch;
  call->releases = true;
  schedule_end_ (call);
}

static void
inventory_ (struct ColtBackendDriver *driver,
            uint64_t epoch,
            ColtBackendInventoryDone done,
            void *client)
{
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_INVENTORY, (void (*) (void))done, client);

  call->epoch = epoch;
  schedule_end_ (call);
}

static void
change_ (struct ColtBackendDriver *driver,
         const struct ColtBackendChange *change,
         ColtBackendChangeDone done,
         void *client)
{
  struct ColtFakeServer *server = (struct ColtFakeServer *)driver;
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_CHANGE, (void (*) (void))done, client);

  call->epoch = change->epoch;
  call->renew_ms = change->renew_ms;
  call->starts = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskStart));
  call->stops = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendStop));
  call->resizes = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendResize));
  g_array_append_vals (call->starts, change->starts,
                       (guint)change->start_count);
  g_array_append_vals (call->stops, change->stops, (guint)change->stop_count);
  g_array_append_vals (call->resizes, change->resizes,
                       (guint)change->resize_count);
  if (!server->delays_changes)
    schedule_end_ (call);
}

/* Leaves the call open until the test emits events. */
static void
events_ (struct ColtBackendDriver *driver,
         uint64_t epoch,
         uint64_t after,
         uint32_t wait_ms,
         ColtBackendEventsDone done,
         void *client)
{
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_EVENTS, (void (*) (void))done, client);

  (void)after;
  (void)wait_ms;
  call->epoch = epoch;
}

static void
fetch_ (struct ColtBackendDriver *driver,
        const struct ColtTaskRef *ref,
        ColtBackendFetchDone done,
        void *client)
{
  struct ColtFakeCall *call
      = open_call_ (driver, FAKE_FETCH, (void (*) (void))done, client);

  call->ref = *ref;
  schedule_end_ (call);
}

static struct ColtBackendStatus
make_status_ (enum ColtFakeOutcome outcome, uint64_t epoch)
{
  struct ColtBackendStatus status = { 0 };

  status.sent_us = colt_clock_monotonic_us ();
  switch (outcome)
    {
    case COLT_FAKE_ANSWERED:
    case COLT_FAKE_REFUSED:
      status.result = COLT_BACKEND_OK;
      return status;
    case COLT_FAKE_ANSWER_LOST:
    case COLT_FAKE_CALL_LOST:
      status.result = COLT_BACKEND_UNKNOWN;
      break;
    case COLT_FAKE_NOT_SENT:
      status.result = COLT_BACKEND_NOT_SENT;
      break;
    case COLT_FAKE_FENCED:
      status.result = COLT_BACKEND_FENCED;
      status.fence.epoch = epoch + 1;
      status.fence.owner = 9;
      status.fence.remaining_ms = COLT_SERVER_LEASE_MS;
      break;
    }
  colt_error_set (&status.error, COLT_ERROR_TIMEOUT, COLT_STEP_READ, NULL,
                  "outcome planned by the test");
  return status;
}

static void
end_lease_ (struct ColtFakeCall *call, const struct ColtBackendStatus *status)
{
  struct ColtBackendLease lease = { 0 };

  lease.epoch = call->epoch;
  g_strlcpy (lease.token, token, sizeof lease.token);
  lease.lease_ms = COLT_SERVER_LEASE_MS;
  if (call->releases && status->result == COLT_BACKEND_OK)
    call->server->released = true;
  ((ColtBackendLeaseDone)call->done) (
      call->client, status, status->result == COLT_BACKEND_OK ? &lease : NULL);
}

static void
end_inventory_ (struct ColtFakeCall *call,
                const struct ColtBackendStatus *status)
{
  struct ColtBackendInventory inventory = { 0 };
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskReport));
  guint i;

  for (i = 0; i < call->server->tasks->len; i++)
    {
      const struct ColtFakeTask *task
          = g_ptr_array_index (call->server->tasks, i);

      g_array_append_val (reports, task->report);
    }
  g_strlcpy (inventory.token, token, sizeof inventory.token);
  inventory.tasks = (const struct ColtTaskReport *)reports->data;
  inventory.task_count = reports->len;
  inventory.next = call->server->sequence;
  call->server->inventory_count++;
  ((ColtBackendInventoryDone)call->done) (call->client, status, &inventory);
  g_array_unref (reports);
}

static enum ColtBackendStartStatus
start_task_ (struct ColtFakeServer *server, const struct ColtTaskStart *start)
{
  struct ColtFakeTask *task = colt_fake_server_find_task (server, &start->ref);

  if (task != NULL)
    return COLT_BACKEND_DUPLICATE;
  task = g_new0 (struct ColtFakeTask, 1);
  task->report.ref = start->ref;
  task->report.shard = start->shard;
  task->report.shard_epoch = start->shard_epoch;
  g_strlcpy (task->report.team, start->team, sizeof task->report.team);
  task->report.kind = start->kind;
  task->report.limit = start->limit;
  task->start_count = 1;
  g_ptr_array_add (server->tasks, task);
  return COLT_BACKEND_STARTED;
}

/* Applies stops, resizes and starts, in the order of a real server. */
static void
apply_change_ (struct ColtFakeCall *call,
               GArray *results,
               enum ColtFakeOutcome outcome)
{
  struct ColtFakeServer *server = call->server;
  guint i;

  server->tasks_renewed |= call->renew_ms > 0;
  for (i = 0; i < call->stops->len; i++)
    {
      const struct ColtBackendStop *stop
          = &g_array_index (call->stops, struct ColtBackendStop, i);
      struct ColtFakeTask *task
          = colt_fake_server_find_task (server, &stop->ref);

      if (task != NULL && task->report.state == COLT_TASK_RUNNING)
        {
          task->report.state = COLT_TASK_STOPPED;
          g_ptr_array_add (server->stops,
                           g_memdup2 (&stop->ref, sizeof stop->ref));
        }
    }
  g_array_append_vals (server->resizes, call->resizes->data,
                       call->resizes->len);
  for (i = 0; i < call->starts->len; i++)
    {
      const struct ColtTaskStart *start
          = &g_array_index (call->starts, struct ColtTaskStart, i);
      struct ColtBackendStartResult result = { 0 };

      result.ref = start->ref;
      result.status = outcome == COLT_FAKE_REFUSED
                          ? COLT_BACKEND_START_REFUSED
                          : start_task_ (server, start);
      g_array_append_val (results, result);
    }
}

/* Changes that only renew tasks are not counted and are always answered. */
static bool
has_task_changes_ (const struct ColtFakeCall *call)
{
  return call->starts->len + call->stops->len + call->resizes->len > 0;
}

static void
end_change_ (struct ColtFakeCall *call)
{
  struct ColtFakeServer *server = call->server;
  GArray *results
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendStartResult));
  enum ColtFakeOutcome outcome = COLT_FAKE_ANSWERED;
  struct ColtBackendChangeAnswer changed = { 0 };
  struct ColtBackendStatus status;

  if (has_task_changes_ (call))
    server->change_count++;
  if (has_task_changes_ (call) && server->planned_outcomes->len > 0)
    {
      outcome
          = g_array_index (server->planned_outcomes, enum ColtFakeOutcome, 0);
      g_array_remove_index (server->planned_outcomes, 0);
    }
  if (outcome == COLT_FAKE_ANSWERED || outcome == COLT_FAKE_ANSWER_LOST
      || outcome == COLT_FAKE_REFUSED)
    apply_change_ (call, results, outcome);
  status = make_status_ (outcome, call->epoch);
  g_strlcpy (changed.token, token, sizeof changed.token);
  changed.results = (const struct ColtBackendStartResult *)results->data;
  changed.result_count = results->len;
  ((ColtBackendChangeDone)call->done) (
      call->client, &status,
      status.result == COLT_BACKEND_OK ? &changed : NULL);
  g_array_unref (results);
}

static void
end_fetch_ (struct ColtFakeCall *call, const struct ColtBackendStatus *status)
{
  const struct ColtFakeTask *task
      = colt_fake_server_find_task (call->server, &call->ref);

  call->server->fetch_count++;
  ((ColtBackendFetchDone)call->done) (
      call->client, status,
      task != NULL && status->result == COLT_BACKEND_OK ? &task->report : NULL);
}

static void
end_call_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtFakeCall *call = data;
  struct ColtFakeServer *server = call->server;
  const struct ColtBackendStatus good = make_status_ (COLT_FAKE_ANSWERED, 0);
  struct ColtBackendStatus status;
  guint position;

  (void)fd;
  (void)what;
  g_assert_true (g_ptr_array_find (server->calls, call, &position));
  g_ptr_array_steal_index (server->calls, position);
  switch (call->kind)
    {
    case FAKE_DESCRIBE:
      ((ColtBackendDescribeDone)call->done) (call->client, &good,
                                             &server->description);
      break;
    case FAKE_LEASE:
      status = make_status_ (server->lease_outcome, call->epoch);
      end_lease_ (call, &status);
      break;
    case FAKE_INVENTORY:
      end_inventory_ (call, &good);
      break;
    case FAKE_CHANGE:
      end_change_ (call);
      break;
    case FAKE_EVENTS:
      g_assert_not_reached ();
    case FAKE_FETCH:
      status = make_status_ (server->fetch_outcome, call->epoch);
      end_fetch_ (call, &status);
      break;
    }
  free_call_ (call);
}

static void
fail_call_ (struct ColtFakeCall *call)
{
  const struct ColtBackendStatus lost = make_status_ (COLT_FAKE_CALL_LOST, 0);

  switch (call->kind)
    {
    case FAKE_DESCRIBE:
      ((ColtBackendDescribeDone)call->done) (call->client, &lost, NULL);
      return;
    case FAKE_LEASE:
      ((ColtBackendLeaseDone)call->done) (call->client, &lost, NULL);
      return;
    case FAKE_INVENTORY:
      ((ColtBackendInventoryDone)call->done) (call->client, &lost, NULL);
      return;
    case FAKE_CHANGE:
      ((ColtBackendChangeDone)call->done) (call->client, &lost, NULL);
      return;
    case FAKE_EVENTS:
      ((ColtBackendEventsDone)call->done) (call->client, &lost, NULL);
      return;
    case FAKE_FETCH:
      ((ColtBackendFetchDone)call->done) (call->client, &lost, NULL);
      return;
    }
}

static void
cancel_ (struct ColtBackendDriver *driver)
{
  struct ColtFakeServer *server = (struct ColtFakeServer *)driver;

  while (server->calls->len > 0)
    {
      struct ColtFakeCall *call = g_ptr_array_steal_index (server->calls, 0);

      fail_call_ (call);
      free_call_ (call);
    }
}

/* The test owns the server and reads it after the driver is destroyed. */
static void
destroy_ (struct ColtBackendDriver *driver)
{
  cancel_ (driver);
}

struct ColtFakeServer *
colt_fake_server_create (struct event_base *base, uint32_t id)
{
  static const struct ColtBackendDriver driver
      = { describe_, acquire_, renew_, release_, inventory_,
          change_,   events_,  fetch_, cancel_,  destroy_ };
  static const struct ColtResources capacity = { { 4000, 1000, 1, 4, 8 } };
  struct ColtFakeServer *server = g_new0 (struct ColtFakeServer, 1);

  server->driver = driver;
  server->base = base;
  server->description.id = id;
  server->description.zone = 1;
  server->description.capacity = capacity;
  server->tasks = g_ptr_array_new_with_free_func (g_free);
  server->calls = g_ptr_array_new_with_free_func (free_call_);
  server->planned_outcomes
      = g_array_new (FALSE, FALSE, sizeof (enum ColtFakeOutcome));
  server->stops = g_ptr_array_new_with_free_func (g_free);
  server->resizes
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendResize));
  return server;
}

void
colt_fake_server_destroy (struct ColtFakeServer *server)
{
  g_ptr_array_unref (server->tasks);
  g_ptr_array_unref (server->calls);
  g_array_unref (server->planned_outcomes);
  g_ptr_array_unref (server->stops);
  g_array_unref (server->resizes);
  g_free (server);
}

void
colt_fake_server_plan_change (struct ColtFakeServer *server,
                              enum ColtFakeOutcome outcome)
{
  g_array_append_val (server->planned_outcomes, outcome);
}

void
colt_fake_server_release_changes (struct ColtFakeServer *server)
{
  guint i;

  server->delays_changes = false;
  for (i = 0; i < server->calls->len; i++)
    {
      struct ColtFakeCall *call = g_ptr_array_index (server->calls, i);

      if (call->kind == FAKE_CHANGE)
        schedule_end_ (call);
    }
}

struct ColtFakeTask *
colt_fake_server_find_task (const struct ColtFakeServer *server,
                            const struct ColtTaskRef *ref)
{
  guint i;

  for (i = 0; i < server->tasks->len; i++)
    {
      struct ColtFakeTask *task = g_ptr_array_index (server->tasks, i);

      if (colt_task_equal (&task->report.ref, ref))
        return task;
    }
  return NULL;
}

static struct ColtFakeCall *
steal_events_call_ (struct ColtFakeServer *server)
{
  guint i;

  for (i = 0; i < server->calls->len; i++)
    {
      struct ColtFakeCall *call = g_ptr_array_index (server->calls, i);

      if (call->kind == FAKE_EVENTS)
        return g_ptr_array_steal_index (server->calls, i);
    }
  return NULL;
}

void
colt_fake_server_emit_events (struct ColtFakeServer *server,
                              enum ColtBackendEventKind kind,
                              const struct ColtTaskReport *report,
                              unsigned times)
{
  struct ColtFakeCall *call = steal_events_call_ (server);
  const struct ColtBackendStatus good = make_status_ (COLT_FAKE_ANSWERED, 0);
  struct ColtBackendEvent *list = g_new0 (struct ColtBackendEvent, times);
  struct ColtBackendEvents events = { 0 };
  unsigned i;

  g_assert_nonnull (call);
  for (i = 0; i < times; i++)
    {
      list[i].seq = ++server->sequence;
      list[i].kind = kind;
      list[i].task = *report;
    }
  g_strlcpy (events.token, token, sizeof events.token);
  events.next = server->sequence;
  events.events = list;
  events.count = times;
  ((ColtBackendEventsDone)call->done) (call->client, &good, &events);
  free_call_ (call);
  g_free (list);
}

void
colt_fake_server_finish_task (struct ColtFakeServer *server,
                              const struct ColtTaskRef *ref,
                              enum ColtTaskState state)
{
  struct ColtFakeTask *task = colt_fake_server_find_task (server, ref);

  g_assert_nonnull (task);
  task->report.state = state;
  task->report.result = (const uint8_t *)"done";
  task->report.result_size = 4;
  colt_fake_server_emit_events (server, COLT_BACKEND_EVENT_FINISHED,
                                &task->report, 1);
}
