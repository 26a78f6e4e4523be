#include <string.h>

#include "scheduler_state.h"

/* Pause before a caller's request is handed to the lead again. */
#define RETRY_MS 60
/* One try of handing a request to the lead. */
#define CALL_TIMEOUT_MS 2000
/* How long a request waits for a lead before it is turned away: a lead that
 * stops in good order is replaced within this. */
#define NO_LEAD_PATIENCE_MS 350
/* The same, when the lead's process has ended: it is replaced within this. */
#define ENDED_LEAD_PATIENCE_MS 700
/* When a caller is told to come back while there is no lead: one that has ended
 * is replaced within this, a silent one soon after. */
#define NO_LEAD_RETRY_AFTER_MS 1000
/* Time kept of a caller's patience for the answer's way. */
#define ANSWER_MARGIN_MS 150
#define DEFAULT_PATIENCE_MS 3000
#define MODULE "scheduler"

/* A caller's request on its way. */
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
  bool maybe_done; /* a lead may have acted on it */
  ColtJobSpec *spec;
  struct event *timer;
};

static void try_ (evutil_socket_t fd, short what, void *arg);
static bool prepare_ (struct ColtRequest *request,
                      ColtCallerCall *call,
                      struct ColtCallerAnswer *answer);
static bool is_id_ (const char *text);
static uint64_t waiting_of_ (const struct ColtScheduler *scheduler,
                             const char *queue);
static void hand_over_ (struct ColtRequest *request, ColtCallerCall *call);
static void take_reply_ (void *client,
                         enum ColtWireResult result,
                         const uint8_t *body,
                         size_t size);
static void take_lead_reply_ (void *client, const ColtCallerReply *reply);
static void try_again_ (struct ColtRequest *request);
static void end_with_ (struct ColtRequest *request,
                       enum ColtAnswerKind kind,
                       uint32_t retry_after_ms);
static void end_ (struct ColtRequest *request,
                  const struct ColtCallerAnswer *answer);
static void tell_answer_ (const struct ColtRequest *request,
                          const struct ColtCallerAnswer *answer);
static void free_request_ (struct ColtRequest *request);

void
colt_scheduler_handle (void *client,
                       const struct ColtCallerRequest *caller,
                       struct ColtCallerHandle *handle)
{
  struct ColtScheduler *scheduler = client;
  struct ColtRequest *request = g_new0 (struct ColtRequest, 1);
  uint32_t patience_ms
      = caller->patience_ms > 0 ? caller->patience_ms : DEFAULT_PATIENCE_MS;

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
        + (int64_t)(patience_ms - MIN (patience_ms, ANSWER_MARGIN_MS))
              * COLT_US_PER_MS;
  request->timer = event_new (scheduler->base, -1, 0, try_, request);
  g_ptr_array_add (scheduler->requests, request);
  try_ (-1, 0, request);
}

/* Answers every open request; to be called when the instance ends. */
void
colt_scheduler_end_requests (struct ColtScheduler *scheduler)
{
  while (scheduler->requests->len > 0)
    end_with_ (g_ptr_array_remove_index_fast (scheduler->requests, 0),
               COLT_ANSWER_UNCERTAIN, 0);
}

/* Each try looks at the newest configuration and the newest lead. */
static void
try_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtRequest *request = arg;
  ColtCallerCall call = COLT_CALLER_CALL__INIT;
  struct ColtCallerAnswer answer = { 0 };

  (void)fd;
  (void)what;
  request->tries++;
  if (prepare_ (request, &call, &answer))
    hand_over_ (request, &call);
  else
    end_ (request, &answer);
}

/* Returns false if the answer is known without the lead. */
static bool
prepare_ (struct ColtRequest *request,
          ColtCallerCall *call,
          struct ColtCallerAnswer *answer)
{
  struct ColtScheduler *scheduler = request->scheduler;
  const struct ColtFleet *fleet = scheduler->fleet;
  const struct ColtQueueConfig *queue;
  const struct ColtOrganisation *organisation;
  const char *id;

  answer->kind = COLT_ANSWER_NOT_TAKEN;
  answer->retry_after_ms = NO_LEAD_RETRY_AFTER_MS;
  if (fleet == NULL)
    return false;
  queue = colt_fleet_route (fleet, request->host, request->path);
  answer->kind = COLT_ANSWER_NO_QUEUE;
  answer->retry_after_ms = 0;
  if (queue == NULL)
    return false;
  organisation = colt_fleet_organisation_of (fleet, request->key);
  answer->kind = COLT_ANSWER_UNAUTHORIZED;
  if (organisation == NULL && !queue->open)
    return false;
  id = request->path + strlen (queue->prefix);
  answer->waiting = waiting_of_ (scheduler, queue->name);
  answer->kind = COLT_ANSWER_COUNT;
  if (id[0] == '\0' && request->kind == COLT_CALLER_STATE)
    return false;
  answer->kind = request->kind == COLT_CALLER_SUBMIT ? COLT_ANSWER_INVALID
                                                     : COLT_ANSWER_NO_JOB;
  if (!is_id_ (id))
    return false;
  if (request->kind == COLT_CALLER_SUBMIT && request->spec == NULL)
    {
      struct ColtError error;

      request->spec = scheduler->ports->decode_job (
          scheduler->ports->adapter, request->body, request->size, &error);
      if (request->spec == NULL)
        {
          colt_log_error (COLT_LOG_INFO, MODULE, "a job can't be read", &error);
          return false;
        }
    }
  call->kind = request->kind;
  call->id = (char *)id;
  call->organisation = organisation != NULL ? organisation->name : "";
  call->queue = queue->name;
  call->spec = request->spec;
  return true;
}

static bool
is_id_ (const char *text)
{
  return strlen (text) == COLT_JOB_ID_LENGTH
         && strspn (text, "0123456789abcdefABCDEF") == COLT_JOB_ID_LENGTH;
}

static uint64_t
waiting_of_ (const struct ColtScheduler *scheduler, const char *queue)
{
  if (scheduler->lead != NULL)
    return colt_cell_waiting (colt_lead_cell (scheduler->lead), queue);
  return GPOINTER_TO_SIZE (g_hash_table_lookup (scheduler->counts, queue));
}

static void
hand_over_ (struct ColtRequest *request, ColtCallerCall *call)
{
  struct ColtScheduler *scheduler = request->scheduler;
  const char *address = colt_election_lead (scheduler->election);
  int64_t left_us = request->deadline_us - colt_clock_monotonic_us ();
  uint8_t *body;
  size_t size;

  if (address == NULL || left_us <= 0)
    {
      try_again_ (request);
      return;
    }
  call->patience_ms = (uint32_t)(left_us / COLT_US_PER_MS) + 1;
  if (call->spec != NULL)
    {
      /* The strings stay the caller's, but for the time of packing. */
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
  if (scheduler->lead != NULL)
    {
      ColtCallerCall *copy = colt_caller_call__unpack (NULL, size, body);

      colt_lead_call (scheduler->lead, copy, take_lead_reply_, request);
      colt_caller_call__free_unpacked (copy, NULL);
    }
  else
    {
      uint32_t lead = colt_scheduler_instance_of (address);

      colt_metrics_count (scheduler->metrics, METRIC_FORWARDED);
      colt_wire_set_peer (scheduler->wire, lead, address);
      colt_wire_call (scheduler->wire, lead, MESSAGE_CALLER, body, size,
                      MIN (CALL_TIMEOUT_MS, call->patience_ms), take_reply_,
                      request);
    }
  g_free (body);
}

static void
take_reply_ (void *client,
             enum ColtWireResult result,
             const uint8_t *body,
             size_t size)
{
  struct ColtRequest *request = client;
  ColtCallerReply *reply;

  if (result == COLT_WIRE_TIMED_OUT || result == COLT_WIRE_BROKEN)
    request->maybe_done = true;
  if (result != COLT_WIRE_REPLIED)
    {
      try_again_ (request);
      return;
    }
  reply = colt_caller_reply__unpack (NULL, size, body);
  if (reply == NULL)
    {
      request->maybe_done = true;
      try_again_ (request);
      return;
    }
  take_lead_reply_ (request, reply);
  colt_caller_reply__free_unpacked (reply, NULL);
}

static void
take_lead_reply_ (void *client, const ColtCallerReply *reply)
{
  struct ColtRequest *request = client;
  struct ColtCallerAnswer answer = { 0 };

  if (reply->try_again)
    {
      try_again_ (request);
      return;
    }
  answer.kind = (enum ColtAnswerKind)reply->answer;
  answer.state = (enum ColtJobState)reply->state;
  answer.retry_after_ms = reply->retry_after_ms;
  /* An earlier try may have been taken by another lead. */
  if (request->maybe_done && request->kind == COLT_CALLER_SUBMIT
      && (answer.kind == COLT_ANSWER_NOT_TAKEN
          || answer.kind == COLT_ANSWER_LIMITED))
    answer.kind = COLT_ANSWER_UNCERTAIN;
  end_ (request, &answer);
}

/* A request that no lead has seen is turned away soon; one that a lead may
 * have acted on is tried while its caller waits. */
static void
try_again_ (struct ColtRequest *request)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t patience_ms = colt_election_is_suspect (request->scheduler->election)
                            ? ENDED_LEAD_PATIENCE_MS
                            : NO_LEAD_PATIENCE_MS;

  if (now_us >= request->deadline_us && request->maybe_done)
    end_with_ (request, COLT_ANSWER_UNCERTAIN, NO_LEAD_RETRY_AFTER_MS);
  else if (!request->maybe_done
           && now_us - request->arrived_us > patience_ms * COLT_US_PER_MS)
    end_with_ (request, COLT_ANSWER_NOT_TAKEN, NO_LEAD_RETRY_AFTER_MS);
  else
    colt_scheduler_add_timer (request->timer, RETRY_MS);
}

static void
end_with_ (struct ColtRequest *request,
           enum ColtAnswerKind kind,
           uint32_t retry_after_ms)
{
  struct ColtCallerAnswer answer = { 0 };

  answer.kind = kind;
  answer.retry_after_ms = retry_after_ms;
  end_ (request, &answer);
}

static void
end_ (struct ColtRequest *request, const struct ColtCallerAnswer *answer)
{
  struct ColtScheduler *scheduler = request->scheduler;

  if (answer->kind == COLT_ANSWER_NOT_TAKEN
      || answer->kind == COLT_ANSWER_LIMITED)
    colt_metrics_count (scheduler->metrics, METRIC_TURNED_AWAY);
  if (answer->kind == COLT_ANSWER_UNCERTAIN)
    colt_metrics_count (scheduler->metrics, METRIC_UNCERTAIN);
  tell_answer_ (request, answer);
  scheduler->ports->answer (request->handle, answer);
  g_ptr_array_remove_fast (scheduler->requests, request);
  free_request_ (request);
}

static void
tell_answer_ (const struct ColtRequest *request,
              const struct ColtCallerAnswer *answer)
{
  static const char *const kinds[] = { "submit", "state", "cancel" };
  const struct ColtScheduler *scheduler = request->scheduler;
  const char *slash = strrchr (request->path, '/');
  const char *lead = colt_election_lead (scheduler->election);
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
    { "lead", lead != NULL ? lead : "", 0 },
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
  event_free (request->timer);
  if (request->spec != NULL)
    colt_job_spec__free_unpacked (request->spec, NULL);
  g_free (request->host);
  g_free (request->path);
  g_free (request->key);
  g_free (request->body);
  g_free (request);
}
