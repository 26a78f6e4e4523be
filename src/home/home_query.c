#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Time between two rounds of queries, in microseconds. */
#define QUERY_INTERVAL_US (500 * COLT_US_PER_MS)
/* Attempts known to be running are queried once in this many rounds. */
#define RUNNING_QUERY_ROUNDS 20u
/* Most attempts in one query. */
#define QUERY_MAX 256u
/* Timeout for an owner's reply, in milliseconds. */
#define QUERY_TIMEOUT_MS 2000

/* A queried attempt and the shard epoch under which it was sent. */
struct ColtQueriedAttempt
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
};

/* A query that awaits its reply. */
struct ColtHomeQuery
{
  struct ColtHome *home;
  GArray *attempts; /* of struct ColtQueriedAttempt */
  bool for_results; /* the request's answer waits for the results */
};

/* Attempts to query at one owner; element i of each array belongs to
 * attempt i. */
struct ColtQueryBatch
{
  GArray *attempts; /* of struct ColtQueriedAttempt */
  GArray *servers;  /* of uint32_t */
  GArray *epochs;   /* of uint64_t, of the servers */
};

/* A collection of attempts to query, by owner. */
struct ColtQueryPass
{
  struct ColtHome *home;
  GHashTable *batches; /* owner -> struct ColtQueryBatch */
  bool include_running;
  int64_t now_us;
};

static void visit_request_ (void *client, const struct ColtRequest *request);
static void add_attempt_ (struct ColtQueryPass *pass,
                          const struct ColtRequest *request,
                          uint32_t index);
static void send_query_ (struct ColtHome *home,
                         uint32_t owner,
                         const struct ColtQueryBatch *batch,
                         guint from,
                         guint count,
                         bool for_results);
static void on_reply_ (void *client,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void handle_result_ (struct ColtHome *home,
                            const struct ColtQueriedAttempt *attempt,
                            const ColtQueryResult *result,
                            bool for_results,
                            int64_t now_us);
static void free_batch_ (gpointer data);
static struct ColtQueryBatch *get_batch_ (GHashTable *batches, uint32_t owner);

void
colt_home_query_attempts (struct ColtHome *home, int64_t now_us)
{
  struct ColtQueryPass pass = { 0 };
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (now_us < home->next_query_us)
    return;
  home->next_query_us = now_us + QUERY_INTERVAL_US;
  home->query_round++;
  pass.home = home;
  pass.now_us = now_us;
  pass.include_running = home->query_round % RUNNING_QUERY_ROUNDS == 0;
  pass.batches = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        free_batch_);
  colt_requests_visit (home->requests, visit_request_, &pass);
  g_hash_table_iter_init (&iter, pass.batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtQueryBatch *batch = value;
      guint from;

      for (from = 0; from < batch->attempts->len; from += QUERY_MAX)
        send_query_ (home, GPOINTER_TO_UINT (key), batch, from,
                     MIN (QUERY_MAX, batch->attempts->len - from), false);
    }
  g_hash_table_unref (pass.batches);
}

void
colt_home_fetch_results (struct ColtHome *home,
                         const struct ColtRequest *request)
{
  struct ColtQueryPass pass = { 0 };
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint32_t i;

  pass.home = home;
  pass.now_us = colt_clock_monotonic_us ();
  pass.batches = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        free_batch_);
  for (i = 0; i < request->spec.tasks; i++)
    if (!request->tasks[i].result_known)
      add_attempt_ (&pass, request, i);
  g_hash_table_iter_init (&iter, pass.batches);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtQueryBatch *batch = value;

      send_query_ (home, GPOINTER_TO_UINT (key), batch, 0, batch->attempts->len,
                   true);
    }
  g_hash_table_unref (pass.batches);
}

static void
visit_request_ (void *client, const struct ColtRequest *request)
{
  struct ColtQueryPass *pass = client;
  uint32_t i;

  if (request->outcome != COLT_OUTCOME_PENDING)
    return;
  for (i = 0; i < request->spec.tasks; i++)
    {
      enum ColtRequestTaskState state = request->tasks[i].state;
      bool open = state == COLT_REQUEST_TASK_SENT
                  || state == COLT_REQUEST_TASK_RUNNING;

      if (open && request->cancelled)
        colt_home_request_calls.stop (pass->home, request, i);
      if (state == COLT_REQUEST_TASK_SENT
          || (state == COLT_REQUEST_TASK_RUNNING && pass->include_running))
        add_attempt_ (pass, request, i);
    }
}

/* Skips a server whose owner is changing: the inventory of the new owner's
 * session settles the attempts on it. */
static void
add_attempt_ (struct ColtQueryPass *pass,
              const struct ColtRequest *request,
              uint32_t index)
{
  const struct ColtRequestTask *task = &request->tasks[index];
  const struct ColtQueriedAttempt attempt
      = { { request->id, index, task->attempt }, task->shard_epoch };
  struct ColtQueryBatch *batch;
  uint64_t epoch;
  uint32_t owner;

  if (!colt_shard_leader_may_start (pass->home->shard_leader,
                                    colt_id_shard (&request->id), task->server,
                                    pass->now_us, &owner, &epoch))
    return;
  batch = get_batch_ (pass->batches, owner);
  g_array_append_val (batch->attempts, attempt);
  g_array_append_val (batch->servers, task->server);
  g_array_append_val (batch->epochs, epoch);
}

static void
send_query_ (struct ColtHome *home,
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
  ColtQueryWord query_message = COLT_QUERY_WORD__INIT;
  uint8_t *body;
  size_t size;
  guint i;

  for (i = 0; i < count; i++)
    {
      colt_query_item__init (&items[i]);
      colt_ref_fill (
          &refs[i],
          &g_array_index (batch->attempts, struct ColtQueriedAttempt, from + i)
               .ref);
      items[i].ref = &refs[i].msg;
      items[i].server = g_array_index (batch->servers, uint32_t, from + i);
      items[i].server_epoch = g_array_index (batch->epochs, uint64_t, from + i);
      list[i] = &items[i];
    }
  query_message.items = list;
  query_message.n_items = count;
  query_message.want_results = for_results;
  query->home = home;
  query->for_results = for_results;
  query->attempts
      = g_array_new (FALSE, FALSE, sizeof (struct ColtQueriedAttempt));
  g_array_append_vals (
      query->attempts,
      &g_array_index (batch->attempts, struct ColtQueriedAttempt, from), count);
  body = colt_message_pack (&query_message.base, &size);
  colt_wire_call (home->parts.wire, owner, COLT_WIRE_PLACE_QUERY, body, size,
                  QUERY_TIMEOUT_MS, on_reply_, query);
  colt_counters_increment (home->parts.counters, home->counters.queries, 1);
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
  for (i = 0; reply != NULL && i < reply->n_results && i < query->attempts->len;
       i++)
    handle_result_ (
        query->home,
        &g_array_index (query->attempts, struct ColtQueriedAttempt, i),
        reply->results[i], query->for_results, now_us);
  if (reply != NULL)
    colt_query_reply__free_unpacked (reply, NULL);
  g_array_unref (query->attempts);
  g_free (query);
}

static void
handle_result_ (struct ColtHome *home,
                const struct ColtQueriedAttempt *attempt,
                const ColtQueryResult *result,
                bool for_results,
                int64_t now_us)
{
  const struct ColtRequest *request;
  struct ColtTaskReport report;
  struct ColtTaskRef ref;

  if (!colt_ref_read (result->ref, &ref)
      || !colt_task_equal (&ref, &attempt->ref))
    return;
  switch (result->stage)
    {
    case COLT_QUERY_NOT_RUN:
      colt_requests_handle_refusal (home->requests, &ref, attempt->shard_epoch,
                                    now_us);
      return;
    case COLT_QUERY_RUNNING:
      colt_requests_handle_start (home->requests, &ref, attempt->shard_epoch,
                                  now_us);
      return;
    case COLT_QUERY_ENDED:
      if (!colt_report_read (result->report, &report))
        return;
      colt_requests_handle_end (home->requests, &report, now_us);
      request = colt_requests_find (home->requests, &ref.request);
      if (for_results && request != NULL && ref.index < request->spec.tasks
          && request->tasks[ref.index].result_known)
        colt_home_send_answer (home, request);
      return;
    default:
      return;
    }
}

static void
free_batch_ (gpointer data)
{
  struct ColtQueryBatch *batch = data;

  g_array_unref (batch->attempts);
  g_array_unref (batch->servers);
  g_array_unref (batch->epochs);
  g_free (batch);
}

static struct ColtQueryBatch *
get_batch_ (GHashTable *batches, uint32_t owner)
{
  struct ColtQueryBatch *batch
      = g_hash_table_lookup (batches, GUINT_TO_POINTER (owner));

  if (batch != NULL)
    return batch;
  batch = g_new0 (struct ColtQueryBatch, 1);
  batch->attempts
      = g_array_new (FALSE, FALSE, sizeof (struct ColtQueriedAttempt));
  batch->servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  batch->epochs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_insert (batches, GUINT_TO_POINTER (owner), batch);
  return batch;
}
