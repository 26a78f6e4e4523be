#include "backend_server.h"

#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "http.h"
#include "server_changes.h"
#include "server_json.h"

#define CONNECTION_MAX 64
#define WAIT_MAX_MS 60000
#define EVENTS_MAX 1000
/* Size in bytes from which on an answer takes no further results; the last
 * result may exceed it. */
#define RESULT_BYTES_MAX (4 * 1024 * 1024)
/* Time after the end of a task during which the inventory contains its
 * result. */
#define INVENTORY_RESULT_US (30 * COLT_US_PER_S)
/* Shortest delay of the timer; task ends that are due within it are handled
 * together. */
#define TIMER_STEP_US 1000

enum
{
  STATUS_OK = 200,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409
};

/* A long poll for events. */
struct ColtStandinPoll
{
  struct ColtStandinCall *call;
  uint64_t epoch;
  int64_t after; /* sequence number of the last event that the caller has */
  int64_t deadline_us;
};

struct ColtStandinBackend
{
  struct event_base *base;
  struct ColtStandinServer *server;
  struct ColtStandinHttp *http;
  struct ColtStandinRecorder *recorder;
  char *address;
  bool down; /* killed: state lost and not listening */
  struct event *timer;
  GArray *polls; /* of struct ColtStandinPoll */
};

/* Collects the tasks or events of an answer. */
struct ColtStandinCollector
{
  json_t *items;
  int64_t now_us;
  int64_t last_seq;     /* of the events collected */
  int64_t result_bytes; /* size of the results collected */
};

typedef void (*ColtStandinCallHandler) (struct ColtStandinBackend *backend,
                                        struct ColtStandinCall *call,
                                        int64_t now_us);

struct ColtStandinRoute
{
  const char *method;
  const char *path;
  ColtStandinCallHandler handler;
};

static void handle_call_ (void *client, struct ColtStandinCall *call);
static void show_server_ (struct ColtStandinBackend *backend,
                          struct ColtStandinCall *call,
                          int64_t now_us);
static void change_lease_ (struct ColtStandinBackend *backend,
                           struct ColtStandinCall *call,
                           int64_t now_us);
static void show_inventory_ (struct ColtStandinBackend *backend,
                             struct ColtStandinCall *call,
                             int64_t now_us);
static void change_tasks_ (struct ColtStandinBackend *backend,
                           struct ColtStandinCall *call,
                           int64_t now_us);
static void poll_events_ (struct ColtStandinBackend *backend,
                          struct ColtStandinCall *call,
                          int64_t now_us);
static void show_task_ (struct ColtStandinBackend *backend,
                        struct ColtStandinCall *call,
                        int64_t now_us,
                        const char *name);
static enum ColtStandinAccess renew_lease_ (struct ColtStandinBackend *backend,
                                            const json_t *body,
                                            int64_t now_us);
static bool check_access_ (struct ColtStandinBackend *backend,
                           struct ColtStandinCall *call,
                           int64_t now_us,
                           enum ColtStandinAccess access);
static json_t *encode_shard_epochs_ (const struct ColtStandinServer *server);
static json_t *add_item_ (struct ColtStandinCollector *collector,
                          const struct ColtStandinTask *task,
                          bool result);
static void collect_task_ (void *client, const struct ColtStandinTask *task);
static bool collect_event_ (void *client, const struct ColtStandinEvent *event);
static bool answer_poll_ (struct ColtStandinBackend *backend,
                          const struct ColtStandinPoll *poll,
                          int64_t now_us);
static void answer_polls_ (struct ColtStandinBackend *backend, int64_t now_us);
static void schedule_timer_ (struct ColtStandinBackend *backend,
                             int64_t now_us);
static void on_timer_ (evutil_socket_t fd, short what, void *data);
static void record_notice_ (void *client,
                            const struct ColtStandinServer *server,
                            enum ColtStandinNotice notice,
                            int64_t at_us,
                            const struct ColtStandinTask *task,
                            const char *reason);
static bool set_down_ (struct ColtStandinBackend *backend,
                       bool down,
                       struct ColtError *error);
static int64_t get_number_ (const json_t *object, const char *key);
static const char *state_name_ (const struct ColtStandinServer *server);

static const struct ColtStandinRoute routes[] = {
  { "GET", "/v1/server", show_server_ },
  { "POST", "/v1/lease", change_lease_ },
  { "GET", "/v1/inventory", show_inventory_ },
  { "POST", "/v1/tasks", change_tasks_ },
  { "GET", "/v1/events", poll_events_ },
};

struct ColtStandinBackend *
colt_standin_backend_create (struct event_base *base,
                             const struct ColtStandinServerSpec *spec,
                             const char *address,
                             struct ColtStandinRecorder *recorder)
{
  struct ColtStandinBackend *backend = g_new0 (struct ColtStandinBackend, 1);

  backend->base = base;
  backend->recorder = recorder;
  backend->address = g_strdup (address);
  backend->server = colt_standin_server_create (
      spec, colt_clock_monotonic_us (), record_notice_, backend);
  backend->http = colt_standin_http_create (base, handle_call_, backend);
  colt_standin_http_set_connection_max (backend->http, CONNECTION_MAX);
  backend->timer = evtimer_new (base, on_timer_, backend);
  backend->polls = g_array_new (FALSE, FALSE, sizeof (struct ColtStandinPoll));
  return backend;
}

void
colt_standin_backend_destroy (struct ColtStandinBackend *backend)
{
  if (backend == NULL)
    return;
  colt_standin_http_destroy (backend->http);
  event_free (backend->timer);
  g_array_unref (backend->polls);
  colt_standin_server_destroy (backend->server);
  g_free (backend->address);
  g_free (backend);
}

uint32_t
colt_standin_backend_id (const struct ColtStandinBackend *backend)
{
  return colt_standin_server_spec (backend->server)->id;
}

bool
colt_standin_backend_listen (struct ColtStandinBackend *backend,
                             struct ColtError *error)
{
  return colt_standin_http_listen (backend->http, backend->address, error);
}

uint16_t
colt_standin_backend_port (const struct ColtStandinBackend *backend)
{
  return colt_standin_http_port (backend->http);
}

bool
colt_standin_backend_set_faults (struct ColtStandinBackend *backend,
                                 const json_t *change,
                                 struct ColtError *error)
{
  const json_t *down = json_object_get (change, "down");
  const json_t *speed = json_object_get (change, "speed");
  const json_t *fail_all = json_object_get (change, "fail_all");
  const json_t *leaving = json_object_get (change, "leaving");
  int64_t now_us = colt_clock_monotonic_us ();
  json_t *faults;

  if (json_number_value (speed) > 0)
    colt_standin_server_set_speed (backend->server, now_us,
                                   json_number_value (speed));
  if (fail_all != NULL)
    colt_standin_server_set_fail_all (backend->server, json_is_true (fail_all));
  if (leaving != NULL)
    colt_standin_server_set_leaving (backend->server, now_us,
                                     json_is_true (leaving));
  if (json_is_true (json_object_get (change, "silent")))
    colt_standin_http_stop_answering (backend->http);
  faults = json_copy ((json_t *)change);
  json_object_del (faults, "silent");
  json_object_del (faults, "down");
  colt_standin_http_set_faults (backend->http, faults);
  json_decref (faults);
  if (down != NULL && !set_down_ (backend, json_is_true (down), error))
    return false;
  answer_polls_ (backend, now_us);
  schedule_timer_ (backend, now_us);
  return true;
}

static void
handle_call_ (void *client, struct ColtStandinCall *call)
{
  struct ColtStandinBackend *backend = client;
  const char *name = colt_standin_call_path_after (call, "/v1/tasks/");
  int64_t now_us = colt_clock_monotonic_us ();
  size_t i = 0;

  colt_standin_server_advance (backend->server, now_us);
  while (i < G_N_ELEMENTS (routes)
         && !colt_standin_call_matches (call, routes[i].method, routes[i].path))
    i++;
  if (i < G_N_ELEMENTS (routes))
    routes[i].handler (backend, call, now_us);
  else if (name != NULL)
    show_task_ (backend, call, now_us, name);
  else
    colt_standin_call_refuse (call, STATUS_NOT_FOUND, "no such call");
  answer_polls_ (backend, now_us);
  schedule_timer_ (backend, now_us);
}

static void
show_server_ (struct ColtStandinBackend *backend,
              struct ColtStandinCall *call,
              int64_t now_us)
{
  const struct ColtStandinServer *server = backend->server;
  const struct ColtStandinServerSpec *spec = colt_standin_server_spec (server);
  const struct ColtStandinLease *lease = colt_standin_server_lease (server);
  int64_t remaining_us = MAX (lease->end_us - now_us, 0);

  colt_standin_call_reply (
      call, STATUS_OK,
      json_pack ("{s:i,s:i,s:i,s:o,s:s,s:I,s:i,s:I}", "id", (int)spec->id,
                 "zone", (int)spec->zone, "rack", (int)spec->rack, "capacity",
                 colt_standin_encode_resources (&spec->capacity), "state",
                 state_name_ (server), "epoch", (json_int_t)lease->epoch,
                 "owner", (int)lease->owner, "remaining_ms",
                 (json_int_t)(remaining_us / COLT_US_PER_MS)));
}

static void
change_lease_ (struct ColtStandinBackend *backend,
               struct ColtStandinCall *call,
               int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;
  const json_t *body = colt_standin_call_body (call);
  const struct ColtStandinLease *lease = colt_standin_server_lease (server);
  int64_t length_us = colt_standin_decode_us (body, "lease_ms");
  bool release = json_is_true (json_object_get (body, "release"));
  enum ColtStandinAccess access;

  if (get_number_ (body, "owner") < 1 || get_number_ (body, "epoch") < 1
      || (length_us < COLT_US_PER_MS && !release))
    {
      colt_standin_call_refuse (call, STATUS_INVALID,
                                "owner, epoch or lease_ms is missing");
      return;
    }
  if (release || json_object_get (body, "token") != NULL)
    access = renew_lease_ (backend, body, now_us);
  else
    access = colt_standin_server_acquire_lease (
        server, now_us, (uint32_t)get_number_ (body, "owner"),
        (uint64_t)get_number_ (body, "epoch"), length_us);
  if (!check_access_ (backend, call, now_us, access))
    return;
  if (release)
    colt_standin_server_release_lease (server, now_us);
  colt_standin_call_reply (
      call, STATUS_OK,
      json_pack ("{s:I,s:I,s:I,s:s}", "epoch", (json_int_t)lease->epoch,
                 "token",
                 (json_int_t)colt_standin_server_issue_token (server, now_us),
                 "lease_ms", (json_int_t)(lease->length_us / COLT_US_PER_MS),
                 "state", state_name_ (server)));
}

static void
show_inventory_ (struct ColtStandinBackend *backend,
                 struct ColtStandinCall *call,
                 int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;
  uint64_t epoch = (uint64_t)colt_standin_call_number (call, "epoch", 0);
  int64_t token = colt_standin_call_number (call, "token", 0);
  struct ColtStandinCollector collector = { NULL, now_us, 0, 0 };

  if (!check_access_ (
          backend, call, now_us,
          colt_standin_server_authorise (server, now_us, epoch, token, 0)))
    return;
  collector.items = json_array ();
  colt_standin_server_visit_tasks (server, collect_task_, &collector);
  colt_standin_call_reply (
      call, STATUS_OK,
      json_pack ("{s:I,s:o,s:o,s:I}", "token",
                 (json_int_t)colt_standin_server_issue_token (server, now_us),
                 "tasks", collector.items, "shard_epochs",
                 encode_shard_epochs_ (server), "next",
                 (json_int_t)colt_standin_events_last_seq (
                     colt_standin_server_events (server))));
}

/* A token is required because the leases of started tasks count from its
 * issue. */
static void
change_tasks_ (struct ColtStandinBackend *backend,
               struct ColtStandinCall *call,
               int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;
  const json_t *body = colt_standin_call_body (call);
  int64_t token = get_number_ (body, "token");
  int64_t renew_us = colt_standin_decode_us (body, "renew_ms");
  json_t *answer;

  if (token <= 0)
    {
      colt_standin_call_refuse (call, STATUS_INVALID, "no token");
      return;
    }
  if (!check_access_ (backend, call, now_us,
                      colt_standin_server_authorise (
                          server, now_us, (uint64_t)get_number_ (body, "epoch"),
                          token, colt_standin_decode_us (body, "lease_ms"))))
    return;
  if (renew_us > 0)
    colt_standin_server_renew_tasks (server, token, renew_us);
  answer = colt_standin_apply_changes (server, body, token, now_us);
  json_object_set_new (
      answer, "token",
      json_integer (colt_standin_server_issue_token (server, now_us)));
  colt_standin_call_reply (call, STATUS_OK, answer);
}

static void
poll_events_ (struct ColtStandinBackend *backend,
              struct ColtStandinCall *call,
              int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;
  struct ColtStandinPoll poll = { call, 0, 0, 0 };
  int64_t wait_ms = colt_standin_call_number (call, "wait_ms", 0);
  int64_t token = colt_standin_call_number (call, "token", 0);

  poll.epoch = (uint64_t)colt_standin_call_number (call, "epoch", 0);
  poll.after = colt_standin_call_number (call, "after", 0);
  poll.deadline_us = now_us + CLAMP (wait_ms, 0, WAIT_MAX_MS) * COLT_US_PER_MS;
  if (!check_access_ (
          backend, call, now_us,
          colt_standin_server_authorise (server, now_us, poll.epoch, token, 0)))
    return;
  colt_standin_events_drop (colt_standin_server_events (server), poll.after);
  if (!answer_poll_ (backend, &poll, now_us))
    g_array_append_val (backend->polls, poll);
}

static void
show_task_ (struct ColtStandinBackend *backend,
            struct ColtStandinCall *call,
            int64_t now_us,
            const char *name)
{
  int64_t attempt = colt_standin_call_number (call, "attempt", 0);
  const struct ColtStandinTask *task;
  struct ColtTaskRef ref;

  if (!colt_task_parse (name, &ref, NULL) || attempt < 0)
    {
      colt_standin_call_refuse (call, STATUS_INVALID, "no name of a task");
      return;
    }
  ref.attempt = (uint32_t)attempt;
  task = colt_standin_server_find_task (backend->server, &ref);
  if (task == NULL)
    colt_standin_call_refuse (call, STATUS_NOT_FOUND, "never seen");
  else
    colt_standin_call_reply (call, STATUS_OK,
                             colt_standin_encode_task (task, now_us, true));
}

static enum ColtStandinAccess
renew_lease_ (struct ColtStandinBackend *backend,
              const json_t *body,
              int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;

  if (get_number_ (body, "owner") != colt_standin_server_lease (server)->owner)
    return COLT_STANDIN_FENCED;
  return colt_standin_server_authorise (
      server, now_us, (uint64_t)get_number_ (body, "epoch"),
      get_number_ (body, "token"), colt_standin_decode_us (body, "lease_ms"));
}

/* Refuses the call unless access is granted; returns whether it is. */
static bool
check_access_ (struct ColtStandinBackend *backend,
               struct ColtStandinCall *call,
               int64_t now_us,
               enum ColtStandinAccess access)
{
  const struct ColtStandinLease *lease
      = colt_standin_server_lease (backend->server);
  int64_t remaining_us = MAX (lease->end_us - now_us, 0);

  if (access == COLT_STANDIN_GRANTED)
    return true;
  if (access == COLT_STANDIN_BAD_TOKEN)
    {
      colt_standin_call_refuse (call, STATUS_INVALID, "token");
      return false;
    }
  colt_standin_call_reply (
      call, STATUS_CONFLICT,
      json_pack ("{s:s,s:I,s:i,s:I}", "error", "fenced", "epoch",
                 (json_int_t)lease->epoch, "owner", (int)lease->owner,
                 "remaining_ms", (json_int_t)(remaining_us / COLT_US_PER_MS)));
  return false;
}

static json_t *
encode_shard_epochs_ (const struct ColtStandinServer *server)
{
  const uint64_t *epochs = colt_standin_server_shard_epochs (server);
  json_t *array = json_array ();
  uint32_t i;

  for (i = 0; i < COLT_SHARD_COUNT; i++)
    if (epochs[i] > 0)
      json_array_append_new (
          array, json_pack ("[i,I]", (int)i, (json_int_t)epochs[i]));
  return array;
}

/* Returns the added item, which the collector owns. */
static json_t *
add_item_ (struct ColtStandinCollector *collector,
           const struct ColtStandinTask *task,
           bool result)
{
  json_t *item = colt_standin_encode_task (task, collector->now_us, result);

  if (result)
    collector->result_bytes
        += json_integer_value (json_object_get (item, "result_size"));
  json_array_append_new (collector->items, item);
  return item;
}

static void
collect_task_ (void *client, const struct ColtStandinTask *task)
{
  struct ColtStandinCollector *collector = client;
  bool recent = task->end_us != COLT_TIME_NEVER
                && task->end_us + INVENTORY_RESULT_US > collector->now_us;

  add_item_ (collector, task,
             recent && collector->result_bytes < RESULT_BYTES_MAX);
}

static bool
collect_event_ (void *client, const struct ColtStandinEvent *event)
{
  struct ColtStandinCollector *collector = client;
  bool ended = event->kind != COLT_STANDIN_EVENT_USAGE;
  json_t *item = add_item_ (collector, event->task, ended);

  json_object_set_new (item, "seq", json_integer (event->seq));
  json_object_set (item, "work_kind", json_object_get (item, "kind"));
  json_object_set_new (item, "kind",
                       json_string (colt_standin_event_string[event->kind]));
  json_object_set_new (item, "usage",
                       colt_standin_encode_resources (&event->usage));
  collector->last_seq = event->seq;
  return json_array_size (collector->items) < EVENTS_MAX
         && collector->result_bytes < RESULT_BYTES_MAX;
}

/* Answers a poll if events are available, its wait has ended or its caller no
 * longer holds the lease. Returns whether the poll was answered. */
static bool
answer_poll_ (struct ColtStandinBackend *backend,
              const struct ColtStandinPoll *poll,
              int64_t now_us)
{
  struct ColtStandinServer *server = backend->server;
  struct ColtStandinEvents *events = colt_standin_server_events (server);
  struct ColtStandinCollector collector = { NULL, now_us, poll->after, 0 };

  if (!check_access_ (
          backend, poll->call, now_us,
          colt_standin_server_authorise (server, now_us, poll->epoch, 0, 0)))
    return true;
  if (colt_standin_events_last_seq (events) <= poll->after
      && now_us < poll->deadline_us)
    return false;
  collector.items = json_array ();
  colt_standin_events_visit (events, poll->after, collect_event_, &collector);
  colt_standin_call_reply (
      poll->call, STATUS_OK,
      json_pack ("{s:I,s:I,s:s,s:o}", "token",
                 (json_int_t)colt_standin_server_issue_token (server, now_us),
                 "next", (json_int_t)collector.last_seq, "state",
                 state_name_ (server), "events", collector.items));
  return true;
}

static void
answer_polls_ (struct ColtStandinBackend *backend, int64_t now_us)
{
  guint i = 0;

  while (i < backend->polls->len)
    {
      struct ColtStandinPoll poll
          = g_array_index (backend->polls, struct ColtStandinPoll, i);

      if (answer_poll_ (backend, &poll, now_us))
        g_array_remove_index_fast (backend->polls, i);
      else
        i++;
    }
}

static void
schedule_timer_ (struct ColtStandinBackend *backend, int64_t now_us)
{
  int64_t next_us = colt_standin_server_next_due_us (backend->server);
  struct timeval delay;
  guint i;

  for (i = 0; i < backend->polls->len; i++)
    next_us = MIN (
        next_us,
        g_array_index (backend->polls, struct ColtStandinPoll, i).deadline_us);
  if (next_us == COLT_TIME_NEVER)
    {
      evtimer_del (backend->timer);
      return;
    }
  next_us = MAX (next_us - now_us, TIMER_STEP_US);
  delay.tv_sec = next_us / COLT_US_PER_S;
  delay.tv_usec = next_us % COLT_US_PER_S;
  evtimer_add (backend->timer, &delay);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtStandinBackend *backend = data;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  colt_standin_server_advance (backend->server, now_us);
  answer_polls_ (backend, now_us);
  schedule_timer_ (backend, now_us);
}

static void
record_notice_ (void *client,
                const struct ColtStandinServer *server,
                enum ColtStandinNotice notice,
                int64_t at_us,
                const struct ColtStandinTask *task,
                const char *reason)
{
  struct ColtStandinBackend *backend = client;

  colt_standin_recorder_write (
      backend->recorder, at_us,
      colt_standin_encode_notice (server, notice, task, reason));
}

/* Going down closes all connections and discards the state of the server. */
static bool
set_down_ (struct ColtStandinBackend *backend,
           bool down,
           struct ColtError *error)
{
  if (backend->down == down)
    return true;
  backend->down = down;
  if (!down)
    return colt_standin_backend_listen (backend, error);
  colt_standin_http_close (backend->http);
  colt_standin_server_kill (backend->server, colt_clock_monotonic_us ());
  return true;
}

static int64_t
get_number_ (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
state_name_ (const struct ColtStandinServer *server)
{
  return colt_standin_server_is_leaving (server) ? "leaving" : "live";
}
