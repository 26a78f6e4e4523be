#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Most starts in one message to an owner. */
#define PLACE_BATCH_MAX 64u
/* Timeout for an owner's reply, in milliseconds. */
#define PLACE_TIMEOUT_MS 1000

/* A start message and the data that it points to. */
struct ColtPlaceStartBuffer
{
  ColtPlaceStart msg;
  struct ColtRefBuffer ref;
  struct ColtResourcesBuffer demand;
  struct ColtTaskRef attempt_ref;
  uint32_t server;
  char team[COLT_NAME_SIZE];
  uint8_t *payload;
};

/* A call to an owner that awaits its reply. */
struct ColtPlaceCall
{
  struct ColtHome *home;
  GPtrArray *starts; /* of struct ColtPlaceStartBuffer */
};

static void
on_ready_ (void *client, const struct ColtRequest *request, uint32_t index);
static void
on_unready_ (void *client, const struct ColtRequest *request, uint32_t index);
static void
send_stop_ (void *client, const struct ColtRequest *request, uint32_t index);
static void on_ended_ (void *client, const struct ColtRequest *request);
static uint32_t get_random_ (void *client);
static void on_dispatch_timer_ (evutil_socket_t fd, short what, void *arg);
static bool send_choice_ (struct ColtHome *home,
                          const struct ColtPlacementChoice *choice,
                          GHashTable *batches,
                          int64_t now_us);
static struct ColtPlaceStartBuffer *
make_start_ (struct ColtHome *home,
             const struct ColtRequest *request,
             const struct ColtTaskRef *ref,
             uint32_t server,
             uint64_t server_epoch);
static void add_to_batch_ (struct ColtHome *home,
                           GHashTable *batches,
                           uint32_t owner,
                           struct ColtPlaceStartBuffer *start);
static void
send_batch_ (struct ColtHome *home, uint32_t owner, GPtrArray *starts);
static void on_place_reply_ (void *client,
                             enum ColtWireResult result,
                             const uint8_t *body,
                             size_t size);
static void handle_refusal_ (struct ColtHome *home,
                             const struct ColtTaskRef *ref,
                             uint64_t shard_epoch,
                             uint32_t server,
                             enum ColtPlacementRefusal refusal,
                             int64_t now_us);
static void on_events_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void handle_event_ (struct ColtHome *home,
                           const ColtTaskEvent *event,
                           int64_t now_us);
static void on_digest_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void handle_server_digest_ (struct ColtHome *home,
                                   const ColtDigestServer *reported,
                                   uint32_t owner,
                                   int64_t now_us);
static void free_start_ (gpointer data);
static void free_starts_ (gpointer data);

const struct ColtRequestCalls colt_home_request_calls
    = { on_ready_,  on_unready_, send_stop_, on_ended_, colt_home_consume_retry,
        get_random_ };

void
colt_home_set_place_handlers (struct ColtHome *home)
{
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_PLACE_EVENTS, on_events_,
                         home);
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_PLACE_DIGEST, on_digest_,
                         home);
  home->dispatch_timer
      = evtimer_new (home->parts.base, on_dispatch_timer_, home);
}

void
colt_home_schedule_dispatch (struct ColtHome *home)
{
  const struct timeval now = { 0, 0 };

  if (!evtimer_pending (home->dispatch_timer, NULL))
    evtimer_add (home->dispatch_timer, &now);
}

void
colt_home_dispatch (struct ColtHome *home)
{
  int64_t now_us = colt_clock_monotonic_us ();
  GHashTable *batches = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                               NULL, free_starts_);
  struct ColtPlacementChoice choice;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  colt_home_process_rejected (home, now_us);
  while (colt_placement_choose_next (home->placement, now_us, &choice))
    send_choice_ (home, &choice, batches, now_us);
  colt_home_process_rejected (home, now_us);
  g_hash_table_iter_init (&iter, batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      g_hash_table_iter_steal (&iter);
      send_batch_ (home, GPOINTER_TO_UINT (key), value);
    }
  g_hash_table_unref (batches);
}

static void
on_ready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtHome *home = client;
  struct ColtPlacementTask task;
  enum ColtPlacementStatus status;

  colt_home_fill_task (request, index, &task);
  status
      = colt_placement_add (home->placement, &task, colt_clock_monotonic_us ());
  if (status != COLT_PLACEMENT_QUEUED)
    colt_home_add_rejected (home, &request->id, index, status);
  colt_home_schedule_dispatch (home);
}

static void
on_unready_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtHome *home = client;

  colt_placement_remove (home->placement, &request->id, index);
}

static void
send_stop_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtHome *home = client;
  const struct ColtRequestTask *task = &request->tasks[index];
  const struct ColtTaskRef ref = { request->id, index, task->attempt };
  struct ColtRefBuffer buffer;
  ColtStopItem item = COLT_STOP_ITEM__INIT;
  ColtStopItem *items[] = { &item };
  ColtStopWord stop = COLT_STOP_WORD__INIT;
  uint32_t owner = 0;
  uint8_t *body;
  size_t size;

  if (!colt_shard_leader_may_start (home->shard_leader,
                                    colt_id_shard (&request->id), task->server,
                                    colt_clock_monotonic_us (), &owner, NULL))
    return;
  colt_ref_fill (&buffer, &ref);
  item.ref = &buffer.msg;
  item.server = task->server;
  stop.items = items;
  stop.n_items = 1;
  body = colt_message_pack (&stop.base, &size);
  colt_wire_send (home->parts.wire, owner, COLT_WIRE_PLACE_STOP, body, size);
  free (body);
}

static void
on_ended_ (void *client, const struct ColtRequest *request)
{
  struct ColtHome *home = client;

  colt_placement_remove_request (home->placement, &request->id,
                                 request->spec.tasks);
  if (request->spec.durable)
    home->calls->record_outcome (home->client, &request->id, request->outcome);
  colt_home_send_answer (home, request);
}

static uint32_t
get_random_ (void *client)
{
  struct ColtHome *home = client;

  return g_rand_int (home->random);
}

void
colt_home_fill_task (const struct ColtRequest *request,
                     uint32_t index,
                     struct ColtPlacementTask *task)
{
  const struct ColtRequestSpec *spec = &request->spec;

  memset (task, 0, sizeof *task);
  task->request = request->id;
  task->index = index;
  task->tasks = spec->tasks;
  memcpy (task->team, spec->team, sizeof task->team);
  task->kind = spec->kind;
  task->demand = spec->demand;
  task->urgent = spec->urgent;
  task->arrived_us = request->arrived_us;
  task->deadline_us = spec->deadline_us;
  task->run_ms = spec->run_ms;
  if (request->tasks[index].runs > 0)
    task->avoided_server = request->tasks[index].server;
}

static void
on_dispatch_timer_ (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  colt_home_dispatch (arg);
}

static bool
send_choice_ (struct ColtHome *home,
              const struct ColtPlacementChoice *choice,
              GHashTable *batches,
              int64_t now_us)
{
  const struct ColtRequest *request
      = colt_requests_find (home->requests, &choice->request);
  enum ColtPlacementStatus status;
  struct ColtPlacementTask task;
  struct ColtTaskRef ref;
  uint64_t server_epoch;
  uint32_t owner;

  if (request == NULL || choice->index >= request->spec.tasks)
    {
      colt_placement_remove (home->placement, &choice->request, choice->index);
      return false;
    }
  if (!colt_shard_leader_may_start (
          home->shard_leader, colt_id_shard (&choice->request), choice->server,
          now_us, &owner, &server_epoch))
    {
      colt_home_fill_task (request, choice->index, &task);
      colt_placement_report_refusal (home->placement, &task, choice->server,
                                     COLT_REFUSAL_FENCED, now_us);
      status = colt_placement_add (home->placement, &task, now_us);
      if (status != COLT_PLACEMENT_QUEUED)
        colt_home_add_rejected (home, &choice->request, choice->index, status);
      return false;
    }
  if (!colt_requests_begin_attempt (home->requests, &choice->request,
                                    choice->index, choice->server, server_epoch,
                                    &ref))
    {
      colt_placement_remove (home->placement, &choice->request, choice->index);
      return false;
    }
  add_to_batch_ (
      home, batches, owner,
      make_start_ (home, request, &ref, choice->server, server_epoch));
  colt_counters_increment (home->parts.counters, home->counters.starts_sent, 1);
  return true;
}

static struct ColtPlaceStartBuffer *
make_start_ (struct ColtHome *home,
             const struct ColtRequest *request,
             const struct ColtTaskRef *ref,
             uint32_t server,
             uint64_t server_epoch)
{
  struct ColtPlaceStartBuffer *start = g_new0 (struct ColtPlaceStartBuffer, 1);
  uint32_t shard = colt_id_shard (&request->id);

  colt_place_start__init (&start->msg);
  start->attempt_ref = *ref;
  start->server = server;
  colt_ref_fill (&start->ref, ref);
  colt_resources_fill (&start->demand, &request->spec.demand);
  memcpy (start->team, request->spec.team, sizeof start->team);
  start->payload
      = g_memdup2 (request->spec.payload, request->spec.payload_size);
  start->msg.ref = &start->ref.msg;
  start->msg.shard = shard;
  start->msg.shard_epoch = colt_shard_leader_epoch (home->shard_leader, shard);
  start->msg.server = server;
  start->msg.server_epoch = server_epoch;
  start->msg.team = start->team;
  start->msg.kind = request->spec.kind;
  start->msg.demand = &start->demand.msg;
  start->msg.payload.data = start->payload;
  start->msg.payload.len = request->spec.payload_size;
  start->msg.urgent = request->spec.urgent;
  return start;
}

static void
add_to_batch_ (struct ColtHome *home,
               GHashTable *batches,
               uint32_t owner,
               struct ColtPlaceStartBuffer *start)
{
  GPtrArray *starts = g_hash_table_lookup (batches, GUINT_TO_POINTER (owner));

  if (starts == NULL)
    {
      starts = g_ptr_array_new_with_free_func (free_start_);
      g_hash_table_insert (batches, GUINT_TO_POINTER (owner), starts);
    }
  g_ptr_array_add (starts, start);
  if (starts->len < PLACE_BATCH_MAX)
    return;
  g_hash_table_steal (batches, GUINT_TO_POINTER (owner));
  send_batch_ (home, owner, starts);
}

static void
send_batch_ (struct ColtHome *home, uint32_t owner, GPtrArray *starts)
{
  struct ColtPlaceCall *call = g_new0 (struct ColtPlaceCall, 1);
  ColtPlaceWord place = COLT_PLACE_WORD__INIT;
  uint8_t *body;
  size_t size;

  call->home = home;
  call->starts = starts;
  place.starts = (ColtPlaceStart **)starts->pdata;
  place.n_starts = starts->len;
  body = colt_message_pack (&place.base, &size);
  colt_wire_call (home->parts.wire, owner, COLT_WIRE_PLACE, body, size,
                  PLACE_TIMEOUT_MS, on_place_reply_, call);
  free (body);
}

/* Handles refusals only. An attempt without a result in the reply stays sent
 * (COLT_REQUEST_TASK_SENT) and is queried by colt_home_query_attempts(). */
static void
on_place_reply_ (void *client,
                 enum ColtWireResult result,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtPlaceCall *call = client;
  struct ColtHome *home = call->home;
  int64_t now_us = colt_clock_monotonic_us ();
  ColtPlaceReply *reply = NULL;
  size_t i;

  if (result == COLT_WIRE_REPLIED)
    reply = colt_place_reply__unpack (NULL, size, body);
  for (i = 0; i < call->starts->len; i++)
    {
      const struct ColtPlaceStartBuffer *start
          = g_ptr_array_index (call->starts, i);
      struct ColtTaskRef ref;

      if (result == COLT_WIRE_NOT_SENT)
        handle_refusal_ (home, &start->attempt_ref, start->msg.shard_epoch,
                         start->server, COLT_REFUSAL_FENCED, now_us);
      else if (reply != NULL && i < reply->n_results
               && !reply->results[i]->accepted
               && colt_ref_read (reply->results[i]->ref, &ref)
               && colt_task_equal (&ref, &start->attempt_ref))
        handle_refusal_ (home, &ref, start->msg.shard_epoch, start->server,
                         (enum ColtPlacementRefusal)reply->results[i]->refusal,
                         now_us);
    }
  if (reply != NULL)
    colt_place_reply__free_unpacked (reply, NULL);
  g_ptr_array_unref (call->starts);
  g_free (call);
}

static void
handle_refusal_ (struct ColtHome *home,
                 const struct ColtTaskRef *ref,
                 uint64_t shard_epoch,
                 uint32_t server,
                 enum ColtPlacementRefusal refusal,
                 int64_t now_us)
{
  const struct ColtRequest *request
      = colt_requests_find (home->requests, &ref->request);
  struct ColtPlacementTask task;

  colt_counters_increment (home->parts.counters, home->counters.starts_refused,
                           1);
  if (request != NULL && ref->index < request->spec.tasks)
    {
      colt_home_fill_task (request, ref->index, &task);
      colt_placement_report_refusal (
          home->placement, &task, server,
          refusal <= COLT_REFUSAL_FENCED ? refusal : COLT_REFUSAL_FENCED,
          now_us);
    }
  colt_requests_handle_refusal (home->requests, ref, shard_epoch, now_us);
}

static void
on_events_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHome *home = client;
  ColtEventsWord *events = colt_events_word__unpack (NULL, size, body);
  int64_t now_us = colt_clock_monotonic_us ();
  size_t i;

  if (events == NULL)
    return;
  for (i = 0; i < events->n_events; i++)
    handle_event_ (home, events->events[i], now_us);
  colt_wire_reply (home->parts.wire, origin, NULL, 0);
  colt_events_word__free_unpacked (events, NULL);
}

static void
handle_event_ (struct ColtHome *home,
               const ColtTaskEvent *event,
               int64_t now_us)
{
  const struct ColtRequest *request;
  struct ColtPlacementTask task;
  struct ColtTaskReport report;
  struct ColtTaskRef ref;

  if (!colt_ref_read (event->ref, &ref))
    return;
  request = colt_requests_find (home->requests, &ref.request);
  switch (event->kind)
    {
    case COLT_TASK_EVENT_STARTED:
      if (request != NULL && request->started_us < 0)
        {
          colt_counters_increment (home->parts.counters,
                                   home->counters.requests_started, 1);
          colt_counters_increment (home->parts.counters, home->counters.wait_ms,
                                   (now_us - request->arrived_us)
                                       / COLT_US_PER_MS);
        }
      colt_requests_handle_start (home->requests, &ref, event->shard_epoch,
                                  now_us);
      return;
    case COLT_TASK_EVENT_REFUSED:
      handle_refusal_ (home, &ref, event->shard_epoch, event->server,
                       (enum ColtPlacementRefusal)event->refusal, now_us);
      return;
    case COLT_TASK_EVENT_ENDED:
      if (!colt_report_read (event->report, &report))
        return;
      if (request != NULL && ref.index < request->spec.tasks)
        {
          colt_home_fill_task (request, ref.index, &task);
          colt_placement_report_end (home->placement, &task, event->server,
                                     &report, now_us);
        }
      colt_requests_handle_end (home->requests, &report, now_us);
      return;
    default:
      return;
    }
}

static void
on_digest_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHome *home = client;
  ColtDigestWord *digest = colt_digest_word__unpack (NULL, size, body);
  int64_t now_us = colt_clock_monotonic_us ();
  size_t i;

  if (digest == NULL)
    return;
  for (i = 0; i < digest->n_servers; i++)
    handle_server_digest_ (home, digest->servers[i], origin->instance, now_us);
  for (i = 0; i < digest->n_teams; i++)
    colt_home_set_remote_usage (home, origin->instance, digest->teams[i],
                                now_us);
  for (i = 0; i < digest->n_gone; i++)
    colt_placement_remove_server (home->placement, digest->gone[i], now_us);
  colt_digest_word__free_unpacked (digest, NULL);
  if (colt_placement_waiting_count (home->placement) > 0)
    colt_home_schedule_dispatch (home);
}

static void
handle_server_digest_ (struct ColtHome *home,
                       const ColtDigestServer *reported,
                       uint32_t owner,
                       int64_t now_us)
{
  struct ColtServerDigest entry = { 0 };

  if (!colt_resources_read (reported->capacity, &entry.capacity)
      || reported->free == NULL
      || reported->free->n_amounts != COLT_RESOURCE_COUNT)
    return;
  memcpy (entry.free.amount, reported->free->amounts, sizeof entry.free.amount);
  entry.server = reported->server;
  entry.epoch = reported->epoch;
  entry.owner = owner;
  entry.rack = reported->rack;
  entry.leaving = reported->leaving;
  entry.probation_permille = reported->probation_permille;
  entry.speed_permille = reported->speed_permille;
  colt_placement_set_server (home->placement, &entry, now_us);
  g_hash_table_insert (home->server_known_since,
                       GUINT_TO_POINTER (reported->server),
                       GUINT_TO_POINTER (reported->known_since_s));
}

static void
free_start_ (gpointer data)
{
  struct ColtPlaceStartBuffer *start = data;

  g_free (start->payload);
  g_free (start);
}

static void
free_starts_ (gpointer data)
{
  g_ptr_array_unref (data);
}
