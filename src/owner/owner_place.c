#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* A query whose results are being fetched from servers. */
struct ColtOpenQuery
{
  struct ColtOwner *owner;
  struct ColtWireOrigin origin;
  GPtrArray *results; /* of ColtQueryResult, owned */
  unsigned open;      /* fetches that have not ended */
};

struct ColtResultFetch
{
  struct ColtOpenQuery *query;
  ColtQueryResult *result;
};

static void on_place_ (void *client,
                       const struct ColtWireOrigin *origin,
                       const uint8_t *body,
                       size_t size);
static bool take_start_ (struct ColtOwner *owner,
                         const ColtPlaceStart *start,
                         enum ColtPlacementRefusal *refusal);
static bool admit_ (struct ColtOwner *owner,
                    struct ColtOwnedServer *server,
                    const ColtPlaceStart *start,
                    const struct ColtTaskRef *ref,
                    const struct ColtResources *demand,
                    enum ColtPlacementRefusal *refusal);
static void remember_refusal_ (struct ColtOwner *owner,
                               const ColtPlaceStart *start,
                               const struct ColtTaskRef *ref);
static void on_stop_ (void *client,
                      const struct ColtWireOrigin *origin,
                      const uint8_t *body,
                      size_t size);
static void on_query_ (void *client,
                       const struct ColtWireOrigin *origin,
                       const uint8_t *body,
                       size_t size);
static enum ColtQueryStage find_stage_ (struct ColtOwner *owner,
                                        const ColtQueryItem *item,
                                        const struct ColtTaskRef *ref);
static ColtQueryResult *make_result_ (struct ColtOwner *owner,
                                      const ColtQueryItem *item,
                                      struct ColtTaskRef *ref);
static void set_report_ (ColtQueryResult *result,
                         const struct ColtTaskReport *report);
static void fetch_result_ (struct ColtOpenQuery *query,
                           ColtQueryResult *result,
                           const struct ColtTaskRef *ref);
static void on_fetched_ (void *client,
                         const struct ColtBackendStatus *status,
                         const struct ColtTaskReport *report);
static void finish_query_ (struct ColtOpenQuery *query);
static void on_hint_ (void *client,
                      const struct ColtWireOrigin *origin,
                      const uint8_t *body,
                      size_t size);
static struct ColtOwnedServer *find_server_ (const struct ColtOwner *owner,
                                             uint32_t id);

void
colt_owner_set_handlers (struct ColtOwner *owner)
{
  struct ColtWire *wire = owner->parts.wire;

  colt_wire_set_handler (wire, COLT_WIRE_PLACE, on_place_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_STOP, on_stop_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_QUERY, on_query_, owner);
  colt_wire_set_handler (wire, COLT_WIRE_PLACE_HINT, on_hint_, owner);
}

static void
on_place_ (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtOwner *owner = client;
  ColtPlaceWord *word = colt_place_word__unpack (NULL, size, body);
  ColtPlaceReply reply = COLT_PLACE_REPLY__INIT;
  ColtPlaceResult *results;
  uint8_t *packed;
  size_t i;

  if (word == NULL)
    return;
  results = g_new0 (ColtPlaceResult, word->n_starts);
  reply.results = g_new0 (ColtPlaceResult *, word->n_starts);
  reply.n_results = word->n_starts;
  for (i = 0; i < word->n_starts; i++)
    {
      enum ColtPlacementRefusal refusal = COLT_REFUSAL_FENCED;

      colt_place_result__init (&results[i]);
      results[i].ref = word->starts[i]->ref;
      results[i].accepted = take_start_ (owner, word->starts[i], &refusal);
      results[i].refusal = refusal;
      reply.results[i] = &results[i];
      colt_counters_count (owner->parts.counters,
                           results[i].accepted ? owner->counters.accepted
                                               : owner->counters.refused,
                           1);
    }
  packed = colt_message_pack (&reply.base, &size);
  colt_wire_reply (owner->parts.wire, origin, packed, size);
  free (packed);
  g_free (reply.results);
  g_free (results);
  colt_place_word__free_unpacked (word, NULL);
}

/* Returns whether this owner has taken the start over. */
static bool
take_start_ (struct ColtOwner *owner,
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
    return task->state != COLT_OWNER_TASK_NEVER;
  if (!admit_ (owner, server, start, &ref, &demand, refusal))
    {
      remember_refusal_ (owner, start, &ref);
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
  colt_owned_server_charge (server, task);
  if (!colt_owner_take_credits (owner, task))
    {
      colt_owner_want_credit (owner, task);
      return true;
    }
  if (start->urgent)
    g_queue_push_head (&server->queue, task);
  else
    g_queue_push_tail (&server->queue, task);
  colt_owned_server_flush (server);
  return true;
}

static bool
admit_ (struct ColtOwner *owner,
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
      colt_counters_count (owner->parts.counters, owner->counters.fenced, 1);
      return false;
    }
  *refusal = COLT_REFUSAL_LEAVING;
  if (!colt_owned_server_takes_work (server, now_us)
      || colt_owned_server_probation (server, now_us) == 0)
    return false;
  *refusal = COLT_REFUSAL_NO_ROOM;
  free = colt_owned_server_free (server);
  if (!colt_resources_fit (demand, &free)
      || g_queue_get_length (&server->queue) >= COLT_SERVER_QUEUE_MAX)
    return false;
  *refusal = COLT_REFUSAL_NO_CREDIT;
  return colt_owner_may_want_credit (owner, start->team);
}

/* A copy of the start that comes late must not run what was refused. */
static void
remember_refusal_ (struct ColtOwner *owner,
                   const ColtPlaceStart *start,
                   const struct ColtTaskRef *ref)
{
  struct ColtOwnerTask *task = colt_owner_tasks_add (owner->tasks, NULL, ref,
                                                     start->team, start->shard);

  task->state = COLT_OWNER_TASK_NEVER;
  task->ended_us = colt_clock_monotonic_us ();
  colt_owner_tasks_note_end (owner->tasks, task);
}

static void
on_stop_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  struct ColtOwner *owner = client;
  ColtStopWord *word = colt_stop_word__unpack (NULL, size, body);
  size_t i;

  if (word == NULL)
    return;
  for (i = 0; i < word->n_items; i++)
    {
      struct ColtTaskRef ref;
      struct ColtOwnerTask *task;

      if (!colt_ref_read (word->items[i]->ref, &ref))
        continue;
      task = colt_owner_tasks_find (owner->tasks, &ref);
      if (task == NULL || task->server == NULL
          || task->state >= COLT_OWNER_TASK_ENDED)
        continue;
      colt_owned_server_queue_stop (task->server, task);
      if (task->server != NULL)
        colt_owned_server_flush (task->server);
    }
  colt_wire_reply (owner->parts.wire, origin, NULL, 0);
  colt_stop_word__free_unpacked (word, NULL);
}

static void
on_query_ (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtOwner *owner = client;
  ColtQueryWord *word = colt_query_word__unpack (NULL, size, body);
  struct ColtOpenQuery *query;
  size_t i;

  if (word == NULL)
    return;
  query = g_new0 (struct ColtOpenQuery, 1);
  query->owner = owner;
  query->origin = *origin;
  query->results = g_ptr_array_new ();
  query->open = 1;
  for (i = 0; i < word->n_items; i++)
    {
      struct ColtTaskRef ref;
      ColtQueryResult *result = make_result_ (owner, word->items[i], &ref);

      if (result == NULL)
        continue;
      g_ptr_array_add (query->results, result);
      if (word->want_results && result->stage == COLT_QUERY_ENDED)
        fetch_result_ (query, result, &ref);
    }
  colt_query_word__free_unpacked (word, NULL);
  finish_query_ (query);
}

/*
 * The owner of a server at an epoch knows all that was started there. What it
 * does not know has not arrived, and is kept from running if it still does.
 */
static enum ColtQueryStage
find_stage_ (struct ColtOwner *owner,
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
      task->state = COLT_OWNER_TASK_NEVER;
      task->ended_us = colt_clock_monotonic_us ();
      colt_owner_tasks_note_end (owner->tasks, task);
      return COLT_QUERY_NEVER;
    }
  switch (task->state)
    {
    case COLT_OWNER_TASK_NEVER:
      return COLT_QUERY_NEVER;
    case COLT_OWNER_TASK_ENDED:
      return COLT_QUERY_ENDED;
    case COLT_OWNER_TASK_RUNNING:
      return COLT_QUERY_RUNNING;
    default:
      return COLT_QUERY_STARTING;
    }
}

static ColtQueryResult *
make_result_ (struct ColtOwner *owner,
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
  size = colt_ref_word__pack (&buffer.word, packed);
  result->ref = colt_ref_word__unpack (NULL, size, packed);
  result->stage = find_stage_ (owner, item, ref);
  task = colt_owner_tasks_find (owner->tasks, ref);
  if (result->stage == COLT_QUERY_ENDED)
    {
      colt_owner_task_report (owner->tasks, task, &report);
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
  packed = colt_message_pack (&buffer->word.base, &size);
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
  query->open++;
  task->server->driver->fetch (task->server->driver, ref, on_fetched_, fetch);
}

static void
on_fetched_ (void *client,
             const struct ColtBackendStatus *status,
             const struct ColtTaskReport *report)
{
  struct ColtResultFetch *fetch = client;

  if (status->result == COLT_BACKEND_OK && report != NULL
      && report->state != COLT_TASK_RUNNING)
    set_report_ (fetch->result, report);
  finish_query_ (fetch->query);
  g_free (fetch);
}

static void
finish_query_ (struct ColtOpenQuery *query)
{
  ColtQueryReply reply = COLT_QUERY_REPLY__INIT;
  uint8_t *body;
  size_t size;
  guint i;

  if (--query->open > 0)
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
on_hint_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  ColtHintWord *word = colt_hint_word__unpack (NULL, size, body);

  (void)origin;
  if (word == NULL)
    return;
  colt_owner_hint (client, word->server, word->epoch);
  colt_hint_word__free_unpacked (word, NULL);
}

static struct ColtOwnedServer *
find_server_ (const struct ColtOwner *owner, uint32_t id)
{
  return g_tree_lookup (owner->servers, GUINT_TO_POINTER (id));
}
