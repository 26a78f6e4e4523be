#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Time between two looks for attempts in doubt. */
#define RECONCILE_INTERVAL_US (500 * COLT_US_PER_MS)
/* Rounds after which a task that runs is asked for, too. */
#define RUNNING_ROUNDS 20u
/* Attempts in one query. */
#define QUERY_MAX 256u
/* Until an owner has to have answered, in ms. */
#define QUERY_TIMEOUT_MS 2000

/* An attempt that was asked for, and under which epoch it was sent. */
struct ColtAskedAttempt
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
};

/* A query on its way. */
struct ColtHomeQuery
{
  struct ColtHome *home;
  GArray *asked; /* of struct ColtAskedAttempt */
  bool for_results;
};

/* Attempts to ask one owner for. */
struct ColtQueryBatch
{
  GArray *refs;    /* of struct ColtAskedAttempt */
  GArray *servers; /* of uint32_t */
  GArray *epochs;  /* of uint64_t */
};

struct ColtReconcile
{
  struct ColtHome *home;
  GHashTable *batches; /* owner -> struct ColtQueryBatch */
  bool with_running;
  int64_t now_us;
};

static void visit_ (void *client, const struct ColtRequest *request);
static void add_ (struct ColtReconcile *reconcile,
                  const struct ColtRequest *request,
                  uint32_t index);
static void send_ (struct ColtHome *home,
                   uint32_t owner,
                   const struct ColtQueryBatch *batch,
                   guint from,
                   guint count,
                   bool for_results);
static void on_reply_ (void *client,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void take_result_ (struct ColtHome *home,
                          const struct ColtAskedAttempt *asked,
                          const ColtQueryResult *result,
                          bool for_results,
                          int64_t now_us);
static void free_batch_ (gpointer data);
static struct ColtQueryBatch *find_batch_ (GHashTable *batches, uint32_t owner);

void
colt_home_reconcile (struct ColtHome *home, int64_t now_us)
{
  struct ColtReconcile reconcile = { 0 };
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (now_us < home->reconcile_us)
    return;
  home->reconcile_us = now_us + RECONCILE_INTERVAL_US;
  home->reconcile_round++;
  reconcile.home = home;
  reconcile.now_us = now_us;
  reconcile.with_running = home->reconcile_round % RUNNING_ROUNDS == 0;
  reconcile.batches = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                             NULL, free_batch_);
  colt_requests_visit (home->requests, visit_, &reconcile);
  g_hash_table_iter_init (&iter, reconcile.batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtQueryBatch *batch = value;
      guint from;

      for (from = 0; from < batch->refs->len; from += QUERY_MAX)
        send_ (home, GPOINTER_TO_UINT (key), batch, from,
               MIN (QUERY_MAX, batch->refs->len - from), false);
    }
  g_hash_table_unref (reconcile.batches);
}

void
colt_home_fetch_results (struct ColtHome *home,
                         const struct ColtRequest *request)
{
  struct ColtReconcile reconcile = { 0 };
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint32_t i;

  reconcile.home = home;
  reconcile.now_us = colt_clock_monotonic_us ();
  reconcile.batches = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                             NULL, free_batch_);
  for (i = 0; i < request->spec.tasks; i++)
    if (!request->tasks[i].result_known)
      add_ (&reconcile, request, i);
  g_hash_table_iter_init (&iter, reconcile.batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtQueryBatch *batch = value;

      send_ (home, GPOINTER_TO_UINT (key), batch, 0, batch->refs->len, true);
    }
  g_hash_table_unref (reconcile.batches);
}

static void
visit_ (void *client, const struct ColtRequest *request)
{
  struct ColtReconcile *reconcile = client;
  uint32_t i;

  if (request->outcome != COLT_OUTCOME_PENDING)
    return;
  for (i = 0; i < request->spec.tasks; i++)
    {
      enum ColtRequestTaskState state = request->tasks[i].state;
      bool open = state == COLT_REQUEST_TASK_SENT
                  || state == COLT_REQUEST_TASK_RUNNING;

      if (open && request->cancelled)
        colt_home_request_calls.stop (reconcile->home, request, i);
      if (state == COLT_REQUEST_TASK_SENT
          || (state == COLT_REQUEST_TASK_RUNNING && reconcile->with_running))
        add_ (reconcile, request, i);
    }
}

/* A server whose owner changes is settled by its new session instead. */
static void
add_ (struct ColtReconcile *reconcile,
      const struct ColtRequest *request,
      uint32_t index)
{
  const struct ColtRequestTask *task = &request->tasks[index];
  const struct ColtAskedAttempt asked
      = { { request->id, index, task->attempt }, task->shard_epoch };
  struct ColtQueryBatch *batch;
  uint64_t epoch;
  uint32_t owner;

  if (!colt_shard_lead_may_start (reconcile->home->lead,
                                  colt_id_shard (&request->id), task->server,
                                  reconcile->now_us, &owner, &epoch))
    return;
  batch = find_batch_ (reconcile->batches, owner);
  g_array_append_val (batch->refs, asked);
  g_array_append_val (batch->servers, task->server);
  g_array_append_val (batch->epochs, epoch);
}

static void
send_ (struct ColtHome *home,
       uint32_t owner,
       const struct ColtQueryBatch *batch,
       guint from,
       guint count,
       bool for_results)
{
  struct ColtHomeQuery *query = g_new0 (struct ColtHomeQuery, 1);
  struct ColtRefBuffer *refs = g_new0 (struct ColtRefBuffer, count);
  ColtQueryItem *items = g_new0 (ColtQueryItem, count);
  ColtQueryItem **list = g_new0 (ColtQueryItem *, count);
  ColtQueryWord word = COLT_QUERY_WORD__INIT;
  uint8_t *body;
  size_t size;
  guint i;

  for (i = 0; i < count; i++)
    {
      colt_query_item__init (&items[i]);
      colt_ref_fill (
          &refs[i],
          &g_array_index (batch->refs, struct ColtAskedAttempt, from + i).ref);
      items[i].ref = &refs[i].word;
      items[i].server = g_array_index (batch->servers, uint32_t, from + i);
      items[i].server_epoch = g_array_index (batch->epochs, uint64_t, from + i);
      list[i] = &items[i];
    }
  word.items = list;
  word.n_items = count;
  word.want_results = for_results;
  query->home = home;
  query->for_results = for_results;
  query->asked = g_array_new (FALSE, FALSE, sizeof (struct ColtAskedAttempt));
  g_array_append_vals (
      query->asked, &g_array_index (batch->refs, struct ColtAskedAttempt, from),
      count);
  body = colt_message_pack (&word.base, &size);
  colt_wire_call (home->parts.wire, owner, COLT_WIRE_PLACE_QUERY, body, size,
                  QUERY_TIMEOUT_MS, on_reply_, query);
  colt_counters_count (home->parts.counters, home->counters.queries, 1);
  free (body);
  g_free (refs);
  g_free (items);
  g_free (list);
}

static void
on_reply_ (void *client,
           enum ColtWireResult result,
           const uint8_t *body,
           size_t size)
{
  struct ColtHomeQuery *query = client;
  int64_t now_us = colt_clock_monotonic_us ();
  ColtQueryReply *reply = NULL;
  size_t i;

  if (result == COLT_WIRE_REPLIED)
    reply = colt_query_reply__unpack (NULL, size, body);
  for (i = 0; reply != NULL && i < reply->n_results && i < query->asked->len;
       i++)
    take_result_ (query->home,
                  &g_array_index (query->asked, struct ColtAskedAttempt, i),
                  reply->results[i], query->for_results, now_us);
  if (reply != NULL)
    colt_query_reply__free_unpacked (reply, NULL);
  g_array_unref (query->asked);
  g_free (query);
}

static void
take_result_ (struct ColtHome *home,
              const struct ColtAskedAttempt *asked,
              const ColtQueryResult *result,
              bool for_results,
              int64_t now_us)
{
  const struct ColtRequest *request;
  struct ColtTaskReport report;
  struct ColtTaskRef ref;

  if (!colt_ref_read (result->ref, &ref)
      || !colt_task_equal (&ref, &asked->ref))
    return;
  switch (result->stage)
    {
    case COLT_QUERY_NEVER:
      colt_requests_refused (home->requests, &ref, asked->shard_epoch, now_us);
      return;
    case COLT_QUERY_RUNNING:
      colt_requests_started (home->requests, &ref, asked->shard_epoch, now_us);
      return;
    case COLT_QUERY_ENDED:
      if (!colt_report_read (result->report, &report))
        return;
      colt_requests_ended (home->requests, &report, now_us);
      request = colt_requests_find (home->requests, &ref.request);
      if (for_results && request != NULL
          && request->tasks[ref.index].result_known)
        colt_home_answer (home, request);
      return;
    default:
      return;
    }
}

static void
free_batch_ (gpointer data)
{
  struct ColtQueryBatch *batch = data;

  g_array_unref (batch->refs);
  g_array_unref (batch->servers);
  g_array_unref (batch->epochs);
  g_free (batch);
}

static struct ColtQueryBatch *
find_batch_ (GHashTable *batches, uint32_t owner)
{
  struct ColtQueryBatch *batch
      = g_hash_table_lookup (batches, GUINT_TO_POINTER (owner));

  if (batch != NULL)
    return batch;
  batch = g_new0 (struct ColtQueryBatch, 1);
  batch->refs = g_array_new (FALSE, FALSE, sizeof (struct ColtAskedAttempt));
  batch->servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  batch->epochs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_insert (batches, GUINT_TO_POINTER (owner), batch);
  return batch;
}
