#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* A query of a home that is not answered yet. */
struct ColtOpenQuery
{
  struct ColtOwner *owner;
  struct ColtWireOrigin origin;
  GPtrArray *results;  /* of ColtQueryResult, owned */
  unsigned open_parts; /* open fetches, and one for the query's handler */
};

/* Context of the fetch of one result from a server. */
struct ColtResultFetch
{
  struct ColtOpenQuery *query;
  ColtQueryResult *result;
};

static void handle_place_ (void *client,
                           const struct ColtWireOrigin *origin,
                           const uint8_t *body,
                           size_t size);
static bool accept_start_ (struct ColtOwner *owner,
                           const ColtPlaceStart *start,
                           enum ColtPlacementRefusal *refusal);
static bool check_admission_ (struct ColtOwner *owner,
                              struct ColtOwnedServer *server,
                              const ColtPlaceStart *start,
                              const struct ColtTaskRef *ref,
                              const struct ColtResources *demand,
                              enum ColtPlacementRefusal *refusal);
static void record_refusal_ (struct ColtOwner *owner,
                             const ColtPlaceStart *start,
                             const struct ColtTaskRef *ref);
static void handle_stop_ (void *client,
                          const struct ColtWireOrigin *origin,
                          const uint8_t *body,
                          size_t size);
static void handle_query_ (void *client,
                           const struct ColtWireOrigin *origin,
                           const uint8_t *body,
                           size_t size);
static enum ColtQueryStage resolve_stage_ (struct ColtOwner *owner,
                                           const ColtQueryItem *item,
                                           const struct ColtTaskRef *ref);
static ColtQueryResult *create_result_ (struct ColtOwner *owner,
                                        const ColtQueryItem *item,
                                        struct ColtTaskRef *ref);
static void set_report_ (ColtQueryResult *result,
                         const struct ColtTaskReport *report);
static void fetch_result_ (struct ColtOpenQuery *query,
                           ColtQueryResult *result,
                           const struct ColtTaskRef *ref);
static void finish_fetch_ (void *client,
                           const struct ColtBackendStatus *status,
                           const struct ColtTaskReport *report);
static void finish_query_part_ (struct ColtOpenQuery *query);
static void handle_hint_ (void *client,
                          const struct ColtWireOrigin *origin,
                          const uint8_t *body,
                          size_t size);
static struct ColtOwnedServer *find_server_ (const struct ColtOwner *owner,
                                             uint32_t id);

void
colt_owner_set_handlers (struct ColtOwner *owner)
{
  struct ColtWire *wire = owner->parts.wire;

  colt_wire_set_handler (wire, COLT_WIRE_PLACE, handle_place_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_STOP, handle_stop_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_QUERY, handle_query_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_HINT, handle_hint_, owner);
}

static void
handle_place_ (void *client,
               const struct ColtWireOrigin *origin,
               const uint8_t *body,
               size_t size)
{
  struct ColtOwner *owner = client;
  ColtPlaceWord *message = colt_place_word__unpack (NULL, size, body);
  ColtPlaceReply reply = COLT_PLACE_REPLY__INIT;
  ColtPlaceResult *results;
  uint8_t *packed;
  size_t i;

  if (message == NULL)
    return;
  results = g_new0 (ColtPlaceResult, message->n_starts);
  reply.results = g_new0 (ColtPlaceResult *, message->n_starts);
  reply.n_results = message->n_starts;
  for (i = 0; i < message->n_starts; i++)
    {
      enum ColtPlacementRefusal refusal = COLT_REFUSAL_FENCED;

      colt_place_result__init (&results[i]);
      results[i].ref = message->starts[i]->ref;
      results[i].accepted = accept_start_ (owner, message->starts[i], &refusal);
      results[i].refusal = refusal;
      reply.results[i] = &results[i];
      colt_counters_increment (owner->parts.counters,
                               results[i].accepted ? owner->counters.accepted
                                                   : owner->counters.refused,
                               1);
    }
  packed = colt_message_pack (&reply.base, &size);
  colt_wire_reply (owner->parts.wire, origin, packed, size);
  free (packed);
  g_free (reply.results);
  g_free (results);
  colt_place_word__free_unpacked (message, NULL);
}

/* Returns whether this copy of a start or an earlier one was accepted. A start
 * that is malformed or was refused before leaves \a refusal unchanged. */
static bool
accept_start_ (struct ColtOwner *owner,
               const ColtPlaceStart *start,
               enum ColtPlacementRefusal *refusal)
{
  struct ColtOwnedServer *server = find_server_ (owner, start->server);
  struct ColtOwnerTask *task;
  struct ColtResources demand;
  struct ColtTaskRef ref;

  if (!colt_ref_read (start->ref, &ref)
      || !colt_resources_read (start->demand, &demand)
      || strlen (start->team) >= COLT_NAME_SIZE
      || start->kind >= COLT_WORK_KIND_COUNT
      || start->shard != colt_id_shard (&ref.request))
    return false;
  task = colt_owner_tasks_find (owner->tasks, &ref);
  if (task != NULL)
    return task->state != COLT_OWNER_TASK_NOT_RUN;
  if (!check_admission_ (owner, server, start, &ref, &demand, refusal))
    {
      record_refusal_ (owner, start, &ref);
      return false;
    }
  task = colt_owner_tasks_add (owner->tasks, server, &ref, start->team,
                               start->shard);
  task->shard_epoch = start->shard_epoch;
  task->kind = (enum ColtWorkKind)start->kind;
  task->limit = demand;
  task->state = COLT_OWNER_TASK_QUEUED;
  task->payload = g_memdup2 (start->payload.data, start->payload.len);
  task->payload_size = start->payload.len;
  task->accepted_us = colt_clock_monotonic_us ();
  colt_owned_server_reserve (server, task);
  if (!colt_owner_acquire_credits (owner, task))
    {
      colt_owner_await_credits (owner, task);
      return true;
    }
  if (start->urgent)
    g_queue_push_head (&server->queue, task);
  else
    g_queue_push_tail (&server->queue, task);
  colt_owned_server_send_changes (server);
  return true;
}

static bool
check_admission_ (struct ColtOwner *owner,
                  struct ColtOwnedServer *server,
                  const ColtPlaceStart *start,
                  const struct ColtTaskRef *ref,
                  const struct ColtResources *demand,
                  enum ColtPlacementRefusal *refusal)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtResources free;

  (void)ref;
  *refusal = COLT_REFUSAL_FENCED;
  if (server == NULL || owner->stopping)
    return false;
  if (colt_shard_owner_check_start (owner->shard_owner, start->shard,
                                    start->shard_epoch, start->server,
                                    start->server_epoch, now_us)
      != COLT_SHARD_CHECK_OK)
    {
      colt_counters_increment (owner->parts.counters, owner->counters.fenced,
                               1);
      return false;
    }
  *refusal = COLT_REFUSAL_LEAVING;
  if (!colt_owned_server_accepts_work (server, now_us)
      || colt_owned_server_probation_permille (server, now_us) == 0)
    return false;
  *refusal = COLT_REFUSAL_NO_ROOM;
  free = colt_owned_server_available (server);
  if (!colt_resources_fit (demand, &free)
      || g_queue_get_length (&server->queue) >= COLT_SERVER_QUEUE_MAX)
    return false;
  *refusal = COLT_REFUSAL_NO_CREDIT;
  return colt_owner_may_await_credits (owner, start->team);
}

/* Records a refused start, so that later copies of it are refused too. */
static void
record_refusal_ (struct ColtOwner *owner,
                 const ColtPlaceStart *start,
                 const struct ColtTaskRef *ref)
{
  struct ColtOwnerTask *task = colt_owner_tasks_add (owner->tasks, NULL, ref,
                                                     start->team, start->shard);

  task->state = COLT_OWNER_TASK_NOT_RUN;
  task->ended_us = colt_clock_monotonic_us ();
  colt_owner_tasks_record_end (owner->tasks, task);
}

static void
handle_stop_ (void *client,
              const struct ColtWireOrigin *origin,
              const uint8_t *body,
              size_t size)
{
  struct ColtOwner *owner = client;
  ColtStopWord *message = colt_stop_word__unpack (NULL, size, body);
  size_t i;

  if (message == NULL)
    return;
  for (i = 0; i < message->n_items; i++)
    {
      struct ColtTaskRef ref;
      struct ColtOwnerTask *task;

      if (!colt_ref_read (message->items[i]->ref, &ref))
        continue;
      task = colt_owner_tasks_find (owner->tasks, &ref);
      if (task == NULL || task->server == NULL
          || task->state >= COLT_OWNER_TASK_ENDED)
        continue;
      colt_owned_server_queue_stop (task->server, task);
      if (task->server != NULL)
        colt_owned_server_send_changes (task->server);
    }
  colt_wire_reply (owner->parts.wire, origin, NULL, 0);
  colt_stop_word__free_unpacked (message, NULL);
}

static void
handle_query_ (void *client,
               const struct ColtWireOrigin *origin,
               const uint8_t *body,
               size_t size)
{
  struct ColtOwner *owner = client;
  ColtQueryWord *message = colt_query_word__unpack (NULL, size, body);
  struct ColtOpenQuery *query;
  size_t i;

  if (message == NULL)
    return;
  query = g_new0 (struct ColtOpenQuery, 1);
  query->owner = owner;
  query->origin = *origin;
  query->results = g_ptr_array_new ();
  query->open_parts = 1;
  for (i = 0; i < message->n_items; i++)
    {
      struct ColtTaskRef ref;
      ColtQueryResult *result = create_result_ (owner, message->items[i], &ref);

      if (result == NULL)
        continue;
      g_ptr_array_add (query->results, result);
      if (message->want_results && result->stage == COLT_QUERY_ENDED)
        fetch_result_ (query, result, &ref);
    }
  colt_query_word__free_unpacked (message, NULL);
  finish_query_part_ (query);
}

/*
 * The owner of a server at an epoch has a record of every start that arrived. A
 * task without a record is recorded as never run, so that its start is refused
 * if it arrives later.
 */
static enum ColtQueryStage
resolve_stage_ (struct ColtOwner *owner,
                const ColtQueryItem *item,
                const struct ColtTaskRef *ref)
{
  struct ColtOwnerTask *task = colt_owner_tasks_find (owner->tasks, ref);
  struct ColtOwnedServer *server = find_server_ (owner, item->server);

  if (server == NULL
      || colt_server_lease_state (server->lease) != COLT_LEASE_HELD
      || colt_server_lease_epoch (server->lease) < item->server_epoch)
    return COLT_QUERY_NOT_OWNER;
  if (task == NULL)
    {
      task = colt_owner_tasks_add (owner->tasks, NULL, ref, "",
                                   colt_id_shard (&ref->request));
      task->state = COLT_OWNER_TASK_NOT_RUN;
      task->ended_us = colt_clock_monotonic_us ();
      colt_owner_tasks_record_end (owner->tasks, task);
      return COLT_QUERY_NOT_RUN;
    }
  switch (task->state)
    {
    case COLT_OWNER_TASK_NOT_RUN:
      return COLT_QUERY_NOT_RUN;
    case COLT_OWNER_TASK_ENDED:
      return COLT_QUERY_ENDED;
    case COLT_OWNER_TASK_RUNNING:
      return COLT_QUERY_RUNNING;
    default:
      return COLT_QUERY_STARTING;
    }
}

static ColtQueryResult *
create_result_ (struct ColtOwner *owner,
                const ColtQueryItem *item,
                struct ColtTaskRef *ref)
{
  ColtQueryResult *result;
  struct ColtOwnerTask *task;
  struct ColtRefBuffer buffer;
  struct ColtTaskReport report;
  uint8_t packed[64];
  size_t size;

  if (!colt_ref_read (item->ref, ref))
    return NULL;
  result = malloc (sizeof *result);
  colt_query_result__init (result);
  colt_ref_fill (&buffer, ref);
  size = colt_ref_word__pack (&buffer.msg, packed);
  result->ref = colt_ref_word__unpack (NULL, size, packed);
  result->stage = resolve_stage_ (owner, item, ref);
  task = colt_owner_tasks_find (owner->tasks, ref);
  if (result->stage == COLT_QUERY_ENDED)
    {
      colt_owner_task_fill_report (owner->tasks, task, &report);
      set_report_ (result, &report);
    }
  return result;
}

static void
set_report_ (ColtQueryResult *result, const struct ColtTaskReport *report)
{
  struct ColtReportBuffer *buffer = g_new0 (struct ColtReportBuffer, 1);
  uint8_t *packed;
  size_t size;

  colt_report_fill (buffer, report);
  packed = colt_message_pack (&buffer->msg.base, &size);
  if (result->report != NULL)
    colt_report_word__free_unpacked (result->report, NULL);
  result->report = colt_report_word__unpack (NULL, size, packed);
  free (packed);
  g_free (buffer);
}

static void
fetch_result_ (struct ColtOpenQuery *query,
               ColtQueryResult *result,
               const struct ColtTaskRef *ref)
{
  struct ColtOwnerTask *task = colt_owner_tasks_find (query->owner->tasks, ref);
  struct ColtResultFetch *fetch;

  if (task == NULL || task->server == NULL)
    return;
  fetch = g_new0 (struct ColtResultFetch, 1);
  fetch->query = query;
  fetch->result = result;
  query->open_parts++;
  task->server->driver->fetch (task->server->driver, ref, finish_fetch_, fetch);
}

static void
finish_fetch_ (void *client,
               const struct ColtBackendStatus *status,
               const struct ColtTaskReport *report)
{
  struct ColtResultFetch *fetch = client;

  if (status->result == COLT_BACKEND_OK && report != NULL
      && report->state != COLT_TASK_RUNNING)
    set_report_ (fetch->result, report);
  finish_query_part_ (fetch->query);
  g_free (fetch);
}

/* Sends the reply when the last part of the query has ended. */
static void
finish_query_part_ (struct ColtOpenQuery *query)
{
  ColtQueryReply reply = COLT_QUERY_REPLY__INIT;
  uint8_t *body;
  size_t size;
  guint i;

  if (--query->open_parts > 0)
    return;
  reply.results = (ColtQueryResult **)query->results->pdata;
  reply.n_results = query->results->len;
  body = colt_message_pack (&reply.base, &size);
  colt_wire_reply (query->owner->parts.wire, &query->origin, body, size);
  free (body);
  for (i = 0; i < query->results->len; i++)
    colt_query_result__free_unpacked (g_ptr_array_index (query->results, i),
                                      NULL);
  g_ptr_array_unref (query->results);
  g_free (query);
}

static void
handle_hint_ (void *client,
              const struct ColtWireOrigin *origin,
              const uint8_t *body,
              size_t size)
{
  ColtHintWord *message = colt_hint_word__unpack (NULL, size, body);

  (void)origin;
  if (message == NULL)
    return;
  colt_owner_handle_hint (client, message->server, message->epoch);
  colt_hint_word__free_unpacked (message, NULL);
}

static struct ColtOwnedServer *
find_server_ (const struct ColtOwner *owner, uint32_t id)
{
  return g_tree_lookup (owner->servers, GUINT_TO_POINTER (id));
}
