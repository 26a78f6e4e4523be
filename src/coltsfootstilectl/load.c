#include "load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/json.h"

#define STATUS_UNAVAILABLE 503
/* Calls from which on a refusal is final, so that lost answers can still be
   asked for. */
#define REFUSED_CALLS_MAX 10
#define CALLS_MAX 20 /* most calls of a request until it is accepted */
#define RETRY_PAUSE_MS 200
#define POLL_PAUSE_MS 500
#define KEY_TEXT_SIZE 64
#define REASON_SIZE 48
#define OUTCOME_SIZE 16

/* Phase of a request, named after the call that it makes. */
enum ColtLoadPhase
{
  PHASE_MINT,
  PHASE_SUBMIT,
  PHASE_POLL
};

struct ColtLoadRequest
{
  struct ColtLoad *load;
  const struct ColtLoadClass *class;
  enum ColtLoadPhase phase;
  uint64_t number;
  char id[COLT_ID_TEXT_SIZE];
  char idempotency_key[KEY_TEXT_SIZE];
  char *payload;
  char *body;
  bool urgent;
  bool retries_refusals; /* repeats calls answered with status 503 */
  guint entry;
  int calls;      /* made since the last non-final outcome */
  int64_t due_us; /* planned time of arrival */
  int64_t sent_us;
  int64_t accepted_us; /* 0 unless accepted */
  int status;
  char outcome[OUTCOME_SIZE];
  char reason[REASON_SIZE];
  json_t *result_hashes; /* XXH3 of each task's result in hex; "" for none */
  struct event *timer;
  struct ColtHttpClient *http; /* NULL unless a call is open */
};

/* Connections to one entry instance. */
struct ColtLoadPool
{
  const char *address;
  GPtrArray *all;  /* of struct ColtHttpClient */
  GPtrArray *idle; /* of struct ColtHttpClient */
};

struct ColtLoad
{
  const struct ColtLoadOptions *options;
  struct event_base *base;
  struct event *arrival;
  gsl_rng *random;
  struct ColtLoadPool *pools;
  GHashTable *open;     /* set of struct ColtLoadRequest */
  GHashTable *outcomes; /* name of an outcome -> count */
  GArray *latencies_us; /* of int64_t, of requests that are done */
  uint64_t count;       /* requests started */
  int64_t begin_us;
  int64_t next_us; /* next arrival; COLT_TIME_NEVER after the last one */
  bool stopped;
};

static void set_up_ (struct ColtLoad *load,
                     const struct ColtLoadOptions *options);
static void tear_down_ (struct ColtLoad *load);
static void schedule_arrival_ (struct ColtLoad *load);
static void on_arrival_ (evutil_socket_t fd, short what, void *data);
static void on_timeout_ (evutil_socket_t fd, short what, void *data);
static void start_request_ (struct ColtLoad *load);
static const struct ColtLoadClass *choose_class_ (struct ColtLoad *load);
static char *make_payload_ (struct ColtLoad *load,
                            const struct ColtLoadClass *class);
static char *make_body_ (const struct ColtLoadRequest *request);
static void send_call_ (struct ColtLoadRequest *request);
static struct ColtHttpClient *acquire_client_ (struct ColtLoadRequest *request);
static void release_client_ (struct ColtLoadRequest *request);
static void on_answer_ (void *client, const struct ColtHttpAnswer *answer);
static void handle_answer_ (struct ColtLoadRequest *request,
                            const struct ColtHttpAnswer *answer,
                            const json_t *json);
static void handle_minted_id_ (struct ColtLoadRequest *request,
                               const json_t *json);
static void handle_outcome_ (struct ColtLoadRequest *request,
                             const json_t *json);
static json_t *hash_results_ (const json_t *tasks);
static void retry_later_ (struct ColtLoadRequest *request,
                          bool other_entry,
                          int64_t pause_ms);
static void on_pause_end_ (evutil_socket_t fd, short what, void *data);
static void end_request_ (struct ColtLoadRequest *request, const char *outcome);
static void record_request_ (struct ColtLoadRequest *request, int64_t now_us);
static void free_request_ (struct ColtLoadRequest *request);
static void end_open_requests_ (struct ColtLoad *load);
static json_t *make_summary_ (struct ColtLoad *load);
static int64_t percentile_ (const GArray *sorted, int percent);
static gint compare_times_ (gconstpointer a, gconstpointer b);

json_t *
colt_load_run (const struct ColtLoadOptions *options)
{
  struct ColtLoad load = { 0 };
  struct timeval length = { options->seconds + options->drain_s, 0 };
  json_t *summary;

  set_up_ (&load, options);
  event_base_once (load.base, -1, EV_TIMEOUT, on_timeout_, &load, &length);
  schedule_arrival_ (&load);
  event_base_dispatch (load.base);
  end_open_requests_ (&load);
  summary = make_summary_ (&load);
  tear_down_ (&load);
  return summary;
}

static void
set_up_ (struct ColtLoad *load, const struct ColtLoadOptions *options)
{
  guint i;

  load->options = options;
  load->base = event_base_new ();
  load->arrival = evtimer_new (load->base, on_arrival_, load);
  load->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (load->random, (unsigned long)options->seed);
  load->open = g_hash_table_new (NULL, NULL);
  load->outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load->latencies_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  load->pools = g_new0 (struct ColtLoadPool, options->entries->len);
  for (i = 0; i < options->entries->len; i++)
    {
      load->pools[i].address = g_ptr_array_index (options->entries, i);
      load->pools[i].all = g_ptr_array_new ();
      load->pools[i].idle = g_ptr_array_new ();
    }
  load->begin_us = colt_clock_monotonic_us ();
  load->next_us = load->begin_us;
}

static void
tear_down_ (struct ColtLoad *load)
{
  guint i;
  guint k;

  for (i = 0; i < load->options->entries->len; i++)
    {
      for (k = 0; k < load->pools[i].all->len; k++)
        colt_http_client_destroy (g_ptr_array_index (load->pools[i].all, k));
      g_ptr_array_unref (load->pools[i].all);
      g_ptr_array_unref (load->pools[i].idle);
    }
  g_free (load->pools);
  g_hash_table_unref (load->open);
  g_hash_table_unref (load->outcomes);
  g_array_unref (load->latencies_us);
  gsl_rng_free (load->random);
  event_free (load->arrival);
  event_base_free (load->base);
}

/* Arrivals are a Poisson process: the times between them are exponentially
   distributed. */
static void
schedule_arrival_ (struct ColtLoad *load)
{
  int64_t end_us = load->begin_us + load->options->seconds * COLT_US_PER_S;
  int64_t wait_us;
  struct timeval wait;

  load->next_us += (int64_t)gsl_ran_exponential (
      load->random, (double)COLT_US_PER_S / (double)load->options->rate);
  if (load->next_us >= end_us)
    {
      load->next_us = COLT_TIME_NEVER;
      return;
    }
  wait_us = MAX (load->next_us - colt_clock_monotonic_us (), 0);
  wait.tv_sec = wait_us / COLT_US_PER_S;
  wait.tv_usec = wait_us % COLT_US_PER_S;
  event_add (load->arrival, &wait);
}

static void
on_arrival_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtLoad *load = data;

  (void)fd;
  (void)what;
  start_request_ (load);
  schedule_arrival_ (load);
  if (load->next_us == COLT_TIME_NEVER && g_hash_table_size (load->open) == 0)
    event_base_loopbreak (load->base);
}

static void
on_timeout_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtLoad *load = data;

  (void)fd;
  (void)what;
  event_base_loopbreak (load->base);
}

static void
start_request_ (struct ColtLoad *load)
{
  struct ColtLoadRequest *request = g_new0 (struct ColtLoadRequest, 1);

  request->load = load;
  request->class = choose_class_ (load);
  request->number = load->count++;
  request->due_us = load->next_us;
  request->entry
      = (guint)gsl_rng_uniform_int (load->random, load->options->entries->len);
  request->urgent = (int64_t)gsl_rng_uniform_int (load->random, 1000)
                    < request->class->urgent_permille;
  if (load->options->retry_permille > 0)
    request->retries_refusals
        = (int64_t)gsl_rng_uniform_int (load->random, 1000)
          < load->options->retry_permille;
  request->payload = make_payload_ (load, request->class);
  request->body = make_body_ (request);
  request->timer = evtimer_new (load->base, on_pause_end_, request);
  request->phase = request->class->idempotent ? PHASE_SUBMIT : PHASE_MINT;
  if (request->class->idempotent)
    g_snprintf (request->idempotency_key, KEY_TEXT_SIZE,
                "load-%" PRId64 "-%" PRIu64, load->options->seed,
                request->number);
  request->sent_us = colt_clock_monotonic_us ();
  g_hash_table_add (load->open, request);
  if (g_hash_table_size (load->open) > load->options->open_max)
    end_request_ (request, "not_sent");
  else
    send_call_ (request);
}

static const struct ColtLoadClass *
choose_class_ (struct ColtLoad *load)
{
  const struct ColtLoadPlan *plan = load->options->plan;
  int64_t remaining = (int64_t)gsl_rng_uniform_int (
      load->random, (unsigned long)plan->share_sum);
  guint i = 0;

  for (;; i++)
    {
      const struct ColtLoadClass *class = &g_array_index (
          plan->classes, struct ColtLoadClass, i);

      if (remaining < class->share || i + 1 == plan->classes->len)
        return class;
      remaining -= class->share;
    }
}

static char *
make_payload_ (struct ColtLoad *load, const struct ColtLoadClass *class)
{
  int64_t span = class->true_run_ms_max - class->true_run_ms_min + 1;
  int64_t run_ms
      = class->true_run_ms_min
        + (int64_t)gsl_rng_uniform_int (load->random, (unsigned long)span);
  unsigned long seed = gsl_rng_uniform_int (load->random, 1000000000);
  GString *payload = g_string_new (class->payload);
  char number[32];

  g_snprintf (number, sizeof number, "%" PRId64, run_ms);
  g_string_replace (payload, "{run_ms}", number, 0);
  g_snprintf (number, sizeof number, "%lu", seed);
  g_string_replace (payload, "{seed}", number, 0);
  return g_string_free (payload, FALSE);
}

static char *
make_body_ (const struct ColtLoadRequest *request)
{
  const struct ColtLoadClass *class = request->class;
  const struct ColtCtlWork work = { .queue = class->queue,
                                    .kind = class->kind,
                                    .cores_milli = class->cores_milli,
                                    .memory_mb = class->memory_mb,
                                    .accelerators = class->accelerators,
                                    .connections = class->connections,
                                    .tasks = class->tasks,
                                    .run_ms = class->run_ms,
                                    .deadline_ms = class->deadline_ms,
                                    .idempotent = class->idempotent,
                                    .urgent = request->urgent,
                                    .wait = class->wait,
                                    .payload = request->payload,
                                    .payload_size = strlen (request->payload) };

  return colt_ctl_encode_work (&work);
}

static void
send_call_ (struct ColtLoadRequest *request)
{
  const char *key = request->idempotency_key;
  const char *id = request->id;
  const struct ColtHttpHeader headers[]
      = { { "Authorization", request->class->authorization },
          { "Request-Id", id[0] != '\0' && key[0] == '\0' ? id : NULL },
          { "Idempotency-Key", key[0] != '\0' ? key : NULL } };
  struct ColtHttpRequest call
      = { .method = COLT_HTTP_POST,
          .path = "/v1/tasks",
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .body = request->body,
          .timeout_ms = (uint32_t)request->load->options->timeout_ms };
  char path[64];

  if (request->phase == PHASE_MINT)
    {
      call.path = "/v1/request-ids";
      call.body = "{}";
      call.header_count = 1;
    }
  if (request->phase == PHASE_POLL)
    {
      g_snprintf (path, sizeof path, "/v1/requests/%s", id);
      call.method = COLT_HTTP_GET;
      call.path = path;
      call.body = NULL;
      call.header_count = 1;
    }
  request->http = acquire_client_ (request);
  if (request->http == NULL)
    {
      retry_later_ (request, true, RETRY_PAUSE_MS);
      return;
    }
  request->calls++;
  colt_http_client_send (request->http, &call, on_answer_, request);
}

static struct ColtHttpClient *
acquire_client_ (struct ColtLoadRequest *request)
{
  struct ColtLoad *load = request->load;
  struct ColtLoadPool *pool = &load->pools[request->entry];
  struct ColtHttpClient *http;

  if (pool->idle->len > 0)
    return g_ptr_array_steal_index_fast (pool->idle, pool->idle->len - 1);
  if (pool->all->len >= load->options->connections)
    return NULL;
  http = colt_http_client_create (load->base, pool->address,
                                  COLT_CTL_ANSWER_MAX, 1);
  g_ptr_array_add (pool->all, http);
  return http;
}

static void
release_client_ (struct ColtLoadRequest *request)
{
  g_ptr_array_add (request->load->pools[request->entry].idle, request->http);
  request->http = NULL;
}

static void
on_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtLoadRequest *request = client;
  json_t *json;

  release_client_ (request);
  if (request->load->stopped)
    return;
  if (answer->result != COLT_HTTP_ANSWERED)
    {
      retry_later_ (request, true,
                    answer->result == COLT_HTTP_NOT_SENT ? 1 : RETRY_PAUSE_MS);
      return;
    }
  request->status = answer->status;
  json = json_loadb (answer->body, answer->size, 0, NULL);
  handle_answer_ (request, answer, json);
  json_decref (json);
}

static void
handle_answer_ (struct ColtLoadRequest *request,
                const struct ColtHttpAnswer *answer,
                const json_t *json)
{
  if (!json_is_object (json))
    end_request_ (request, "malformed");
  else if (request->phase == PHASE_MINT && answer->status == 200)
    handle_minted_id_ (request, json);
  else
    handle_outcome_ (request, json);
}

static void
handle_minted_id_ (struct ColtLoadRequest *request, const json_t *json)
{
  const char *id = json_string_value (json_object_get (json, "request_id"));

  if (id == NULL || strlen (id) >= sizeof request->id)
    {
      end_request_ (request, "malformed");
      return;
    }
  g_strlcpy (request->id, id, sizeof request->id);
  request->phase = PHASE_SUBMIT;
  send_call_ (request);
}

static void
handle_outcome_ (struct ColtLoadRequest *request, const json_t *json)
{
  const char *outcome = json_string_value (json_object_get (json, "outcome"));
  const char *reason = json_string_value (json_object_get (json, "reason"));
  const char *id = json_string_value (json_object_get (json, "request_id"));

  if (id != NULL && request->id[0] == '\0')
    g_strlcpy (request->id, id, sizeof request->id);
  g_strlcpy (request->reason, reason != NULL ? reason : "",
             sizeof request->reason);
  g_strlcpy (request->outcome, outcome != NULL ? outcome : "none",
             sizeof request->outcome);
  if (request->phase != PHASE_MINT && outcome != NULL
      && !colt_ctl_outcome_is_final (outcome) && request->id[0] != '\0')
    {
      if (request->accepted_us == 0)
        request->accepted_us = colt_clock_monotonic_us ();
      request->phase = PHASE_POLL;
      request->calls = 0;
      retry_later_ (request, false, POLL_PAUSE_MS);
      return;
    }
  if (request->status == STATUS_UNAVAILABLE && request->retries_refusals
      && request->calls < REFUSED_CALLS_MAX)
    {
      retry_later_ (request, true, RETRY_PAUSE_MS);
      return;
    }
  request->result_hashes = hash_results_ (json_object_get (json, "tasks"));
  end_request_ (request, request->outcome);
}

static json_t *
hash_results_ (const json_t *tasks)
{
  const struct ColtJsonContext context = { NULL, NULL };
  json_t *result_hashes = json_array ();
  size_t i;

  for (i = 0; i < json_array_size (tasks); i++)
    {
      char hex[17] = "";
      uint8_t *bytes;
      size_t size;

      if (colt_json_get_bytes (&context, json_array_get (tasks, i), "result",
                               &bytes, &size))
        {
          g_snprintf (hex, sizeof hex, "%016" PRIx64,
                      (uint64_t)XXH3_64bits (bytes, size));
          free (bytes);
        }
      json_array_append_new (result_hashes, json_string (hex));
    }
  return result_hashes;
}

/* Repeats the call after a pause under the same id, at the next entry instance
   if OTHER_ENTRY. A request that has not been accepted after CALLS_MAX calls
   ends without an answer instead. */
static void
retry_later_ (struct ColtLoadRequest *request,
              bool other_entry,
              int64_t pause_ms)
{
  struct timeval pause = { pause_ms / 1000, pause_ms % 1000 * 1000 };

  if (other_entry)
    request->entry
        = (request->entry + 1) % request->load->options->entries->len;
  if (request->calls >= CALLS_MAX && request->phase != PHASE_POLL)
    end_request_ (request, "no_answer");
  else
    event_add (request->timer, &pause);
}

static void
on_pause_end_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  send_call_ (data);
}

static void
end_request_ (struct ColtLoadRequest *request, const char *outcome)
{
  struct ColtLoad *load = request->load;
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t latency_us = now_us - request->sent_us;
  gpointer count = g_hash_table_lookup (load->outcomes, outcome);

  if (outcome != request->outcome)
    g_strlcpy (request->outcome, outcome, sizeof request->outcome);
  g_hash_table_replace (load->outcomes, g_strdup (request->outcome),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1));
  if (strcmp (request->outcome, "done") == 0)
    g_array_append_val (load->latencies_us, latency_us);
  record_request_ (request, now_us);
  g_hash_table_remove (load->open, request);
  free_request_ (request);
  if (load->next_us == COLT_TIME_NEVER && !load->stopped
      && g_hash_table_size (load->open) == 0)
    event_base_loopbreak (load->base);
}

static void
record_request_ (struct ColtLoadRequest *request, int64_t now_us)
{
  const struct ColtLoadClass *class = request->class;
  json_t *line;

  if (request->load->options->record == NULL)
    return;
  line = json_pack (
      "{s:I,s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:I,s:I,s:s,s:I,s:I,s:I,s:I,"
      "s:s,s:i,s:i,s:s,s:s,s:O*}",
      "seq", (json_int_t)request->number, "class", class->name, "team",
      class->team, "queue", class->queue, "kind", class->kind, "request_id",
      request->id, "idempotency_key", request->idempotency_key, "idempotent",
      class->idempotent, "urgent", request->urgent, "wait", class->wait,
      "tasks", (json_int_t) class->tasks, "deadline_ms",
      (json_int_t) class->deadline_ms, "payload", request->payload, "due_us",
      (json_int_t)request->due_us, "sent_us", (json_int_t)request->sent_us,
      "accepted_us", (json_int_t)request->accepted_us, "answered_us",
      (json_int_t)now_us, "entry", request->load->pools[request->entry].address,
      "calls", request->calls, "status", request->status, "outcome",
      request->outcome, "reason", request->reason, "answers",
      request->result_hashes);
  json_dumpf (line, request->load->options->record, JSON_COMPACT);
  fputc ('\n', request->load->options->record);
  json_decref (line);
}

static void
free_request_ (struct ColtLoadRequest *request)
{
  event_free (request->timer);
  json_decref (request->result_hashes);
  g_free (request->payload);
  free (request->body);
  g_free (request);
}

/* Ends and records all unanswered requests when the time is over. */
static void
end_open_requests_ (struct ColtLoad *load)
{
  GList *open = g_hash_table_get_keys (load->open);
  GList *item;

  load->stopped = true;
  event_del (load->arrival);
  for (item = open; item != NULL; item = item->next)
    {
      struct ColtLoadRequest *request = item->data;

      if (request->http != NULL)
        colt_http_client_cancel (request->http);
      end_request_ (request,
                    request->accepted_us != 0 ? "accepted" : "no_answer");
    }
  g_list_free (open);
}

static json_t *
make_summary_ (struct ColtLoad *load)
{
  json_t *outcomes = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer count;

  g_hash_table_iter_init (&iter, load->outcomes);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_set_new (outcomes, name,
                         json_integer (GPOINTER_TO_UINT (count)));
  g_array_sort (load->latencies_us, compare_times_);
  return json_pack (
      "{s:I,s:o,s:f,s:f}", "requests", (json_int_t)load->count, "outcomes",
      outcomes, "done_p50_ms",
      (double)percentile_ (load->latencies_us, 50) / COLT_US_PER_MS,
      "done_p99_ms",
      (double)percentile_ (load->latencies_us, 99) / COLT_US_PER_MS);
}

static int64_t
percentile_ (const GArray *sorted, int percent)
{
  if (sorted->len == 0)
    return 0;
  return g_array_index (sorted, int64_t,
                        (guint)((sorted->len - 1) * (uint64_t)percent / 100));
}

static gint
compare_times_ (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}
