#include <string.h>

#include "scheduler_state.h"

/* Pause before a request is sent to the leader again. */
#define RETRY_MS 60
/* Timeout of one attempt to send a request to the leader. */
#define CALL_TIMEOUT_MS 2000
/* How long a request waits for a leader before it is rejected. A leader that
 * shuts down in good order is replaced within this time. */
#define NO_LEADER_TIMEOUT_MS 350
/* How long a request waits for a leader while the process of the last one seems
 * to have ended: another leader is elected within this time. */
#define ENDED_LEADER_TIMEOUT_MS 700
/* Retry time given to callers while there is no leader. A leader that has ended
 * is replaced within this time, an unresponsive one soon after. */
#define NO_LEADER_RETRY_AFTER_MS 1000
/* Retry time given to callers of an instance that isn't ready as it is
 * isolated: the load balancer takes it out of rotation after two probes, one a
 * second. */
#define ISOLATED_RETRY_AFTER_MS 2000
/* Part of a caller's timeout that is reserved for sending the answer. */
#define ANSWER_MARGIN_MS 150
/* Timeout of callers that give none. */
#define DEFAULT_TIMEOUT_MS 3000
#define MODULE "scheduler"

/* An open request of a caller. */
struct ColtRequest
{
  struct ColtScheduler *scheduler;
  struct ColtCallerHandle *handle;
  enum ColtCallerKind kind;
  char *host;
  char *path;
  char *key;
  char *body;
  size_t size;
  int64_t arrived_us;
  int64_t deadline_us;
  uint32_t tries;
  bool calling;       /* a call to the leader is open */
  bool answered;      /* only kept until that call ends */
  bool maybe_applied; /* a leader may have acted on an earlier attempt */
  ColtJobSpec *spec;
  struct event *timer;
};

/* What becomes of a request before it is sent to the leader. */
enum ColtPreparation
{
  PREPARED_CALL,   /* the call for the leader is filled in */
  PREPARED_ANSWER, /* the request can be answered without the leader */
  PREPARED_NOTHING /* nothing is known yet that it could be answered with */
};

static void dispatch_ (evutil_socket_t fd, short what, void *arg);
static enum ColtPreparation prepare_call_ (struct ColtRequest *request,
                                           ColtCallerCall *call,
                                           struct ColtCallerAnswer *answer);
static bool is_job_id_ (const char *text);
static bool count_waiting_ (struct ColtScheduler *scheduler,
                            const char *queue,
                            uint64_t *waiting);
static enum ColtCountSource
find_count_source_ (const struct ColtScheduler *scheduler, int64_t now_us);
static void log_count_source_ (const struct ColtScheduler *scheduler,
                               int64_t now_us);
static void send_to_leader_ (struct ColtRequest *request, ColtCallerCall *call);
static void handle_wire_reply_ (void *client,
                                enum ColtWireResult result,
                                const uint8_t *body,
                                size_t size);
static void handle_leader_reply_ (void *client, const ColtCallerReply *reply);
static void retry_or_end_ (struct ColtRequest *request);
static void answer_with_kind_ (struct ColtRequest *request,
                               enum ColtAnswerKind kind,
                               uint32_t retry_after_ms);
static void answer_request_ (struct ColtRequest *request,
                             const struct ColtCallerAnswer *answer);
static void log_answer_ (const struct ColtRequest *request,
                         const struct ColtCallerAnswer *answer);
static bool end_call_ (struct ColtRequest *request);
static void free_request_ (struct ColtRequest *request);

void
colt_scheduler_handle_request (void *client,
                               const struct ColtCallerRequest *caller,
                               struct ColtCallerHandle *handle)
{
  struct ColtScheduler *scheduler = client;
  struct ColtRequest *request = g_new0 (struct ColtRequest, 1);
  uint32_t timeout_ms
      = caller->patience_ms > 0 ? caller->patience_ms : DEFAULT_TIMEOUT_MS;

  colt_metrics_count (scheduler->metrics, METRIC_REQUESTS);
  request->scheduler = scheduler;
  request->handle = handle;
  request->kind = caller->kind;
  request->host = g_strdup (caller->host);
  request->path = g_strdup (caller->path);
  request->key = g_strdup (caller->key);
  request->body = g_memdup2 (caller->body, caller->size);
  request->size = caller->size;
  request->arrived_us = colt_clock_monotonic_us ();
  request->deadline_us
      = request->arrived_us
        + (int64_t)(timeout_ms - MIN (timeout_ms, ANSWER_MARGIN_MS))
              * COLT_US_PER_MS;
  request->timer = event_new (scheduler->base, -1, 0, dispatch_, request);
  g_ptr_array_add (scheduler->requests, request);
  dispatch_ (-1, 0, request);
}

void
colt_scheduler_end_requests (struct ColtScheduler *scheduler)
{
  guint i = scheduler->requests->len;

  while (i-- > 0)
    {
      struct ColtRequest *request = g_ptr_array_index (scheduler->requests, i);

      if (!request->answered)
        answer_with_kind_ (request, COLT_ANSWER_UNCERTAIN, 0);
    }
}

bool
colt_scheduler_has_open_requests (const struct ColtScheduler *scheduler)
{
  guint i;

  for (i = 0; i < scheduler->requests->len; i++)
    if (!((const struct ColtRequest *)g_ptr_array_index (scheduler->requests,
                                                         i))
             ->answered)
      return true;
  return false;
}

void
colt_scheduler_free_requests (struct ColtScheduler *scheduler)
{
  guint i = scheduler->requests->len;

  while (i-- > 0)
    free_request_ (g_ptr_array_index (scheduler->requests, i));
}

/* Sends a request to the leader or answers it. Each attempt uses the newest
 * configuration and the current leader. */
static void
dispatch_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtRequest *request = arg;
  const struct ColtScheduler *scheduler = request->scheduler;
  ColtCallerCall call = COLT_CALLER_CALL__INIT;
  struct ColtCallerAnswer answer = { 0 };

  (void)fd;
  (void)what;
  request->tries++;
  switch (prepare_call_ (request, &call, &answer))
    {
    case PREPARED_CALL:
      if (scheduler->isolation.isolated && !request->maybe_applied)
        answer_with_kind_ (request, COLT_ANSWER_NOT_ACCEPTED, 0);
      else
        send_to_leader_ (request, &call);
      break;
    case PREPARED_ANSWER:
      answer_request_ (request, &answer);
      break;
    case PREPARED_NOTHING:
      retry_or_end_ (request);
    }
}

/* Fills in the call for the leader, or the answer. */
static enum ColtPreparation
prepare_call_ (struct ColtRequest *request,
               ColtCallerCall *call,
               struct ColtCallerAnswer *answer)
{
  struct ColtScheduler *scheduler = request->scheduler;
  const struct ColtFleet *fleet = scheduler->fleet;
  const struct ColtQueueConfig *queue;
  const struct ColtOrganisation *organisation;
  const char *id;

  answer->kind = COLT_ANSWER_NOT_ACCEPTED;
  answer->retry_after_ms = NO_LEADER_RETRY_AFTER_MS;
  if (fleet == NULL)
    return PREPARED_ANSWER;
  queue = colt_fleet_route (fleet, request->host, request->path);
  organisation = colt_fleet_find_organisation (fleet, request->key);
  /* The queue or the key may be in a newer configuration. */
  if ((queue == NULL || (organisation == NULL && !queue->open))
      && colt_scheduler_is_config_outdated (scheduler))
    return PREPARED_ANSWER;
  answer->kind = COLT_ANSWER_NO_QUEUE;
  answer->retry_after_ms = 0;
  if (queue == NULL)
    return PREPARED_ANSWER;
  answer->kind = COLT_ANSWER_UNAUTHORIZED;
  if (organisation == NULL && !queue->open)
    return PREPARED_ANSWER;
  id = request->path + strlen (queue->prefix);
  answer->kind = COLT_ANSWER_COUNT;
  if (id[0] == '\0' && request->kind == COLT_CALLER_STATE)
    return count_waiting_ (scheduler, queue->name, &answer->waiting)
               ? PREPARED_ANSWER
               : PREPARED_NOTHING;
  answer->kind = request->kind == COLT_CALLER_SUBMIT ? COLT_ANSWER_INVALID
                                                     : COLT_ANSWER_NO_JOB;
  if (!is_job_id_ (id))
    return PREPARED_ANSWER;
  if (request->kind == COLT_CALLER_SUBMIT && request->spec == NULL)
    {
      struct ColtError error;

      request->spec = scheduler->ports->decode_job (
          scheduler->ports->adapter, request->body, request->size, &error);
      if (request->spec == NULL)
        {
          colt_log_error (
              COLT_LOG_INFO, MODULE,
              "a submitted job is malformed; the request is rejected", &error);
          return PREPARED_ANSWER;
        }
    }
  call->kind = request->kind;
  call->id = (char *)id;
  call->organisation = organisation != NULL ? organisation->name : "";
  call->queue = queue->name;
  call->spec = request->spec;
  return PREPARED_CALL;
}

static bool
is_job_id_ (const char *text)
{
  return strlen (text) == COLT_JOB_ID_LENGTH
         && strspn (text, "0123456789abcdefABCDEF") == COLT_JOB_ID_LENGTH;
}

/* Counts a queue's waiting jobs; returns false if no count is recent enough. */
static bool
count_waiting_ (struct ColtScheduler *scheduler,
                const char *queue,
                uint64_t *waiting)
{
  int64_t now_us = colt_clock_monotonic_us ();
  enum ColtCountSource source = find_count_source_ (scheduler, now_us);

  if (source != scheduler->count_source)
    {
      scheduler->count_source = source;
      log_count_source_ (scheduler, now_us);
    }
  if (source == COUNTS_OWN_CELL)
    *waiting = colt_cell_count_waiting_jobs (
        colt_leader_cell (scheduler->leader), queue);
  else
    *waiting = colt_waiting_counts_get (scheduler->waiting_counts, queue);
  return source != COUNTS_UNKNOWN;
}

/* A leader that loads the jobs, or may have been replaced, doesn't know them
 * all. Until it does, the counts of the one before it are used. */
static enum ColtCountSource
find_count_source_ (const struct ColtScheduler *scheduler, int64_t now_us)
{
  if (scheduler->leader != NULL
      && colt_leader_knows_jobs (scheduler->leader, now_us))
    return COUNTS_OWN_CELL;
  return colt_waiting_counts_age_us (scheduler->waiting_counts, now_us)
                 <= COLT_COUNT_AGE_MAX_US
             ? COUNTS_OF_LEADER
             : COUNTS_UNKNOWN;
}

static void
log_count_source_ (const struct ColtScheduler *scheduler, int64_t now_us)
{
  static const char *const sources[COUNT_SOURCE_COUNT]
      = { "unknown, requests are retried", "own cell", "leader" };
  int64_t age_us
      = colt_waiting_counts_age_us (scheduler->waiting_counts, now_us);
  const struct ColtLogField fields[]
      = { { "source", sources[scheduler->count_source], 0 },
          { "loading", NULL,
            scheduler->leader != NULL
                && !colt_leader_is_serving (scheduler->leader) },
          { "leader_count_age_ms", NULL,
            age_us != COLT_TIME_NEVER ? age_us / COLT_US_PER_MS : -1 },
          { "term", NULL, (int64_t)colt_election_term (scheduler->election) } };

  colt_log_event (COLT_LOG_INFO, MODULE, "source of waiting counts changed",
                  NULL, fields, G_N_ELEMENTS (fields));
}

static void
send_to_leader_ (struct ColtRequest *request, ColtCallerCall *call)
{
  struct ColtScheduler *scheduler = request->scheduler;
  const char *address = colt_election_leader (scheduler->election);
  int64_t left_us = request->deadline_us - colt_clock_monotonic_us ();
  uint8_t *body;
  size_t size;

  if (address == NULL || left_us <= 0)
    {
      retry_or_end_ (request);
      return;
    }
  call->patience_ms = (uint32_t)(left_us / COLT_US_PER_MS) + 1;
  if (call->spec != NULL)
    {
      /* Lends the strings to the specification while it is packed; they aren't
       * freed with it. */
      call->spec->id = call->id;
      call->spec->organisation = call->organisation;
      call->spec->queue = call->queue;
    }
  size = colt_caller_call__get_packed_size (call);
  body = g_malloc (size);
  colt_caller_call__pack (call, body);
  if (call->spec != NULL)
    {
      call->spec->id = (char *)protobuf_c_empty_string;
      call->spec->organisation = (char *)protobuf_c_empty_string;
      call->spec->queue = (char *)protobuf_c_empty_string;
    }
  request->calling = true;
  if (scheduler->leader != NULL)
    {
      ColtCallerCall *copy = colt_caller_call__unpack (NULL, size, body);

      colt_leader_handle_call (scheduler->leader, copy, handle_leader_reply_,
                               request);
      colt_caller_call__free_unpacked (copy, NULL);
    }
  else
    {
      uint32_t instance = colt_scheduler_instance_number (address);

      colt_metrics_count (scheduler->metrics, METRIC_FORWARDED);
      colt_wire_set_peer (scheduler->wire, instance, address);
      colt_wire_call (scheduler->wire, instance, MESSAGE_CALLER, body, size,
                      MIN (CALL_TIMEOUT_MS, call->patience_ms),
                      handle_wire_reply_, request);
    }
  g_free (body);
}

static void
handle_wire_reply_ (void *client,
                    enum ColtWireResult result,
                    const uint8_t *body,
                    size_t size)
{
  struct ColtRequest *request = client;
  ColtCallerReply *reply;

  if (!end_call_ (request))
    return;
  if (result == COLT_WIRE_TIMED_OUT || result == COLT_WIRE_BROKEN)
    request->maybe_applied = true;
  if (result != COLT_WIRE_REPLIED)
    {
      retry_or_end_ (request);
      return;
    }
  reply = colt_caller_reply__unpack (NULL, size, body);
  if (reply == NULL)
    {
      request->maybe_applied = true;
      retry_or_end_ (request);
      return;
    }
  handle_leader_reply_ (request, reply);
  colt_caller_reply__free_unpacked (reply, NULL);
}

static void
handle_leader_reply_ (void *client, const ColtCallerReply *reply)
{
  struct ColtRequest *request = client;
  struct ColtCallerAnswer answer = { 0 };

  if (!end_call_ (request))
    return;
  if (reply->try_again)
    {
      retry_or_end_ (request);
      return;
    }
  answer.kind = (enum ColtAnswerKind)reply->answer;
  answer.state = (enum ColtJobState)reply->state;
  answer.retry_after_ms = reply->retry_after_ms;
  answer_request_ (request, &answer);
}

/* A request that no leader can have acted on is rejected after a short timeout.
 * Others are retried until the caller's deadline. */
static void
retry_or_end_ (struct ColtRequest *request)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t timeout_ms = colt_election_is_suspect (request->scheduler->election)
                           ? ENDED_LEADER_TIMEOUT_MS
                           : NO_LEADER_TIMEOUT_MS;

  if (now_us >= request->deadline_us && request->maybe_applied)
    answer_with_kind_ (request, COLT_ANSWER_UNCERTAIN,
                       NO_LEADER_RETRY_AFTER_MS);
  else if (!request->maybe_applied
           && now_us - request->arrived_us > timeout_ms * COLT_US_PER_MS)
    answer_with_kind_ (request, COLT_ANSWER_NOT_ACCEPTED,
                       NO_LEADER_RETRY_AFTER_MS);
  else
    colt_scheduler_add_timer (request->timer, RETRY_MS);
}

static void
answer_with_kind_ (struct ColtRequest *request,
                   enum ColtAnswerKind kind,
                   uint32_t retry_after_ms)
{
  struct ColtCallerAnswer answer = { 0 };

  answer.kind = kind;
  answer.retry_after_ms = retry_after_ms;
  answer_request_ (request, &answer);
}

enum ColtAnswerKind
colt_scheduler_final_answer (enum ColtCallerKind kind,
                             enum ColtAnswerKind answer,
                             bool maybe_applied)
{
  if (kind != COLT_CALLER_SUBMIT || !maybe_applied)
    return answer;
  switch (answer)
    {
    case COLT_ANSWER_NOT_ACCEPTED:
    case COLT_ANSWER_LIMITED:
    case COLT_ANSWER_NO_QUEUE:
    case COLT_ANSWER_UNAUTHORIZED:
    case COLT_ANSWER_INVALID:
      return COLT_ANSWER_UNCERTAIN;
    default:
      return answer;
    }
}

static void
answer_request_ (struct ColtRequest *request,
                 const struct ColtCallerAnswer *proposed)
{
  struct ColtScheduler *scheduler = request->scheduler;
  struct ColtCallerAnswer final = *proposed;
  const struct ColtCallerAnswer *answer = &final;

  final.kind = colt_scheduler_final_answer (request->kind, proposed->kind,
                                            request->maybe_applied);
  if (scheduler->isolation.isolated
      && (final.kind == COLT_ANSWER_NOT_ACCEPTED
          || final.kind == COLT_ANSWER_UNCERTAIN))
    {
      final.retry_after_ms = ISOLATED_RETRY_AFTER_MS;
      final.close_connection = true;
    }
  if (answer->kind == COLT_ANSWER_NOT_ACCEPTED
      || answer->kind == COLT_ANSWER_LIMITED)
    colt_metrics_count (scheduler->metrics, METRIC_REJECTED);
  if (answer->kind == COLT_ANSWER_UNCERTAIN)
    colt_metrics_count (scheduler->metrics, METRIC_UNCERTAIN);
  log_answer_ (request, answer);
  scheduler->ports->answer (request->handle, answer);
  scheduler->answered_us = colt_clock_monotonic_us ();
  request->answered = true;
  if (!request->calling)
    free_request_ (request);
}

/* Returns false if the request has been answered meanwhile and is freed. */
static bool
end_call_ (struct ColtRequest *request)
{
  request->calling = false;
  if (!request->answered)
    return true;
  free_request_ (request);
  return false;
}

static void
log_answer_ (const struct ColtRequest *request,
             const struct ColtCallerAnswer *answer)
{
  static const char *const kinds[] = { "submit", "state", "cancel" };
  const struct ColtScheduler *scheduler = request->scheduler;
  const char *slash = strrchr (request->path, '/');
  const char *leader = colt_election_leader (scheduler->election);
  int64_t took_us = colt_clock_monotonic_us () - request->arrived_us;
  const struct ColtLogField fields[] = {
    { "kind", kinds[request->kind], 0 },
    { "answer", colt_answer_kind_string[answer->kind], 0 },
    { "state",
      answer->kind == COLT_ANSWER_STATE ? colt_job_state_string[answer->state]
                                        : "",
      0 },
    { "took_ms", NULL, took_us / COLT_US_PER_MS },
    { "tries", NULL, request->tries },
    { "lead", leader != NULL ? leader : "", 0 },
    { "term", NULL, (int64_t)colt_election_term (scheduler->election) },
    { "config", NULL, scheduler->fleet != NULL ? scheduler->fleet->version : 0 }
  };

  colt_metrics_time (scheduler->metrics, TIMING_ANSWER, took_us);
  if (request->kind == COLT_CALLER_STATE && answer->kind <= COLT_ANSWER_COUNT)
    return;
  colt_log_event (COLT_LOG_INFO, MODULE, "answered",
                  slash != NULL ? slash + 1 : "", fields,
                  G_N_ELEMENTS (fields));
}

static void
free_request_ (struct ColtRequest *request)
{
  g_ptr_array_remove_fast (request->scheduler->requests, request);
  event_free (request->timer);
  if (request->spec != NULL)
    colt_job_spec__free_unpacked (request->spec, NULL);
  g_free (request->host);
  g_free (request->path);
  g_free (request->key);
  g_free (request->body);
  g_free (request);
}
