#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Timeout of submit and attach calls, in ms. */
#define CALL_TIMEOUT_MS 1500
/* Delay before a submission that no home has accepted is repeated. */
#define RESUBMIT_DELAY_US (60 * COLT_US_PER_MS)
/* Interval of the attach calls for requests that homes have accepted. */
#define ATTACH_INTERVAL_US (1 * COLT_US_PER_S)
/* Maximum number of ids in an attach call. */
#define ATTACH_IDS_MAX 512u
/* Time after the deadline in which a home may still answer. */
#define ANSWER_GRACE_US (1500 * COLT_US_PER_MS)
/* Time in which a home must accept a request whose caller doesn't wait for the
 * outcome. */
#define ASYNC_SUBMIT_TIMEOUT_US (10 * COLT_US_PER_S)

/* An open submit call. It refers to the request by id, since the request may be
 * answered and freed before the reply. */
struct ColtSubmitCall
{
  struct ColtGate *gate; /* NULL once the gate is destroyed */
  struct ColtId id;
};

/* An open attach call. */
struct ColtAttachCall
{
  struct ColtGate *gate;
};

static bool is_same_request_ (const struct ColtPendingRequest *pending,
                              const struct ColtRequestSpec *spec);
static void join_pending_ (struct ColtPendingRequest *pending,
                           const struct ColtGateRequest *request,
                           struct evhttp_request *http);
static void add_caller_ (struct ColtPendingRequest *pending,
                         struct evhttp_request *http,
                         bool waits);
static void answer_callers_ (struct ColtPendingRequest *pending,
                             bool waiting_too,
                             enum ColtOutcome outcome,
                             enum ColtReason reason,
                             const ColtAnswerWord *answer);
static void on_caller_closed_ (void *client);
static void send_submit_ (struct ColtPendingRequest *pending, int64_t now_us);
static void on_submit_reply_ (void *client,
                              enum ColtWireResult result,
                              const uint8_t *body,
                              size_t size);
static void handle_submit_reply_ (struct ColtPendingRequest *pending,
                                  const ColtSubmitReply *reply,
                                  int64_t now_us);
static void expire_pending_ (struct ColtPendingRequest *pending);
static void attach_accepted_ (struct ColtGate *gate);
static void send_attach_ (struct ColtGate *gate,
                          uint32_t instance,
                          const struct ColtId *ids,
                          size_t count);
static void on_attach_reply_ (void *client,
                              enum ColtWireResult result,
                              const uint8_t *body,
                              size_t size);
static void handle_answer_ (void *client,
                            const struct ColtWireOrigin *origin,
                            const uint8_t *body,
                            size_t size);
static void count_outcome_ (struct ColtGate *gate, enum ColtOutcome outcome);
static void free_array_ (gpointer data);

void
colt_gate_set_wire_handlers (struct ColtGate *gate)
{
  colt_wire_set_handler (gate->parts.wire, COLT_WIRE_REQUEST_ANSWER,
                         handle_answer_, gate);
}

void
colt_gate_add_pending (struct ColtGate *gate,
                       struct ColtGateRequest *request,
                       struct evhttp_request *http)
{
  struct ColtPendingRequest *pending
      = g_hash_table_lookup (gate->pending, &request->id);
  int64_t now_us = colt_clock_monotonic_us ();

  if (pending != NULL && !is_same_request_ (pending, &request->spec))
    {
      colt_gate_reply_refusal (http, &request->id, true, COLT_REASON_MISMATCH);
      return;
    }
  if (pending != NULL)
    {
      join_pending_ (pending, request, http);
      return;
    }
  pending = g_new0 (struct ColtPendingRequest, 1);
  pending->gate = gate;
  pending->id = request->id;
  pending->spec = request->spec;
  request->spec.payload = NULL;
  pending->callers = g_ptr_array_new ();
  pending->waits = request->waits;
  pending->fresh = request->fresh;
  pending->expiry_us = now_us + ASYNC_SUBMIT_TIMEOUT_US;
  if (pending->waits)
    pending->expiry_us = pending->spec.deadline_us + ANSWER_GRACE_US;
  g_hash_table_insert (gate->pending, &pending->id, pending);
  add_caller_ (pending, http, request->waits);
  send_submit_ (pending, now_us);
}

void
colt_gate_process_due (struct ColtGate *gate, int64_t now_us)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, gate->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtPendingRequest *pending = value;

      if (now_us >= pending->expiry_us
          || (!pending->accepted && !pending->in_flight
              && now_us >= pending->resubmit_us))
        g_ptr_array_add (due, value);
    }
  for (i = 0; i < due->len; i++)
    {
      struct ColtPendingRequest *pending = g_ptr_array_index (due, i);

      if (now_us >= pending->expiry_us)
        expire_pending_ (pending);
      else
        send_submit_ (pending, now_us);
    }
  g_ptr_array_unref (due);
  if (now_us >= gate->next_attach_us)
    {
      gate->next_attach_us = now_us + ATTACH_INTERVAL_US;
      attach_accepted_ (gate);
    }
}

void
colt_gate_answer_pending (struct ColtPendingRequest *pending,
                          enum ColtOutcome outcome,
                          enum ColtReason reason,
                          const ColtAnswerWord *answer)
{
  struct ColtGate *gate = pending->gate;

  count_outcome_ (gate, outcome);
  answer_callers_ (pending, true, outcome, reason, answer);
  g_hash_table_remove (gate->pending, &pending->id);
}

void
colt_gate_detach_calls (struct ColtGate *gate)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, gate->open_submits);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    ((struct ColtSubmitCall *)key)->gate = NULL;
}

void
colt_pending_request_free (gpointer data)
{
  struct ColtPendingRequest *pending = data;

  g_free ((void *)pending->spec.payload);
  g_ptr_array_unref (pending->callers);
  g_free (pending);
}

/* Compares a caller's request with the pending one of the same id. Callers may
 * use one id for different requests by mistake. */
static bool
is_same_request_ (const struct ColtPendingRequest *pending,
                  const struct ColtRequestSpec *spec)
{
  const struct ColtRequestSpec *first = &pending->spec;

  return strcmp (first->team, spec->team) == 0
         && strcmp (first->queue, spec->queue) == 0 && first->kind == spec->kind
         && memcmp (&first->demand, &spec->demand, sizeof spec->demand) == 0
         && first->tasks == spec->tasks && first->idempotent == spec->idempotent
         && first->payload_size == spec->payload_size
         && memcmp (first->payload, spec->payload, spec->payload_size) == 0;
}

/* The earlier caller may have asked for the acceptance alone. */
static void
join_pending_ (struct ColtPendingRequest *pending,
               const struct ColtGateRequest *request,
               struct evhttp_request *http)
{
  if (request->waits && !pending->waits)
    {
      pending->waits = true;
      pending->expiry_us = request->spec.deadline_us + ANSWER_GRACE_US;
    }
  add_caller_ (pending, http, request->waits);
  if (pending->accepted && pending->spec.durable)
    answer_callers_ (pending, false, COLT_OUTCOME_PENDING, COLT_REASON_NONE,
                     NULL);
}

static void
add_caller_ (struct ColtPendingRequest *pending,
             struct evhttp_request *http,
             bool waits)
{
  struct ColtGateCaller *caller = g_new0 (struct ColtGateCaller, 1);

  caller->request = http;
  caller->waits = waits;
  g_ptr_array_add (pending->callers, caller);
  colt_gate_set_close_handler (pending->gate, http, on_caller_closed_, caller);
}

/* Replies to the callers who wait for the acceptance alone, or to all. */
static void
answer_callers_ (struct ColtPendingRequest *pending,
                 bool waiting_too,
                 enum ColtOutcome outcome,
                 enum ColtReason reason,
                 const ColtAnswerWord *answer)
{
  struct ColtGate *gate = pending->gate;
  guint i = 0;

  while (i < pending->callers->len)
    {
      struct ColtGateCaller *caller = g_ptr_array_index (pending->callers, i);
      struct evhttp_request *http = caller->request;

      if (caller->waits && !waiting_too)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (pending->callers, i);
      if (http != NULL)
        {
          colt_gate_clear_close_handler (gate, http);
          colt_gate_reply_outcome (gate, http, &pending->id, outcome, reason,
                                   answer);
        }
      g_free (caller);
    }
}

/* The request continues after its caller has disconnected; only the reply is
 * left out. */
static void
on_caller_closed_ (void *client)
{
  struct ColtGateCaller *caller = client;

  caller->request = NULL;
}

static void
send_submit_ (struct ColtPendingRequest *pending, int64_t now_us)
{
  struct ColtGate *gate = pending->gate;
  uint32_t shard = colt_id_shard (&pending->id);
  uint32_t leader = gate->calls->find_leader (
      gate->client, colt_id_zone (&pending->id), shard);
  ColtSubmitWord submit = COLT_SUBMIT_WORD__INIT;
  struct ColtSpecBuffer spec;
  struct ColtSubmitCall *call;
  uint8_t *body;
  size_t size;

  pending->resubmit_us = now_us + RESUBMIT_DELAY_US;
  if (leader == 0)
    return;
  colt_spec_fill (&spec, &pending->spec, now_us);
  submit.id = colt_id_fill (&pending->id);
  submit.spec = &spec.msg;
  submit.waits = pending->waits;
  submit.fresh = pending->fresh && !pending->forwarded;
  call = g_new0 (struct ColtSubmitCall, 1);
  call->gate = gate;
  call->id = pending->id;
  g_hash_table_add (gate->open_submits, call);
  pending->in_flight = true;
  body = colt_message_pack (&submit.base, &size);
  colt_wire_call (gate->parts.wire, leader, COLT_WIRE_REQUEST_SUBMIT, body,
                  size, CALL_TIMEOUT_MS, on_submit_reply_, call);
  free (body);
}

static void
on_submit_reply_ (void *client,
                  enum ColtWireResult result,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtSubmitCall *call = client;
  struct ColtPendingRequest *pending = NULL;
  ColtSubmitReply *reply = NULL;

  if (call->gate != NULL)
    {
      pending = g_hash_table_lookup (call->gate->pending, &call->id);
      g_hash_table_remove (call->gate->open_submits, call);
    }
  g_free (call);
  if (pending == NULL)
    return;
  pending->in_flight = false;
  if (result == COLT_WIRE_REPLIED)
    reply = colt_submit_reply__unpack (NULL, size, body);
  if (result != COLT_WIRE_NOT_SENT && reply == NULL)
    {
      pending->reply_lost = true;
      pending->forwarded = true;
    }
  if (reply == NULL)
    return;
  handle_submit_reply_ (pending, reply, colt_clock_monotonic_us ());
  colt_submit_reply__free_unpacked (reply, NULL);
}

/*
 * A refusal by a home covers only the submission that it replies to. If an
 * earlier submission got no reply, it may still reach a home and the request
 * may run: the outcome is then unknown.
 */
static void
handle_submit_reply_ (struct ColtPendingRequest *pending,
                      const ColtSubmitReply *reply,
                      int64_t now_us)
{
  enum ColtReason reason = reply->reason < COLT_REASON_COUNT
                               ? (enum ColtReason)reply->reason
                               : COLT_REASON_NONE;

  switch (reply->status)
    {
    case COLT_SUBMIT_ACCEPTED:
    case COLT_SUBMIT_KNOWN:
      pending->accepted = true;
      pending->forwarded = true;
      if (!pending->waits)
        colt_gate_answer_pending (pending, COLT_OUTCOME_PENDING,
                                  COLT_REASON_NONE, NULL);
      else if (pending->spec.durable)
        answer_callers_ (pending, false, COLT_OUTCOME_PENDING, COLT_REASON_NONE,
                         NULL);
      return;
    case COLT_SUBMIT_NOT_RUN:
      colt_gate_answer_pending (pending,
                                pending->reply_lost || !pending->fresh
                                    ? COLT_OUTCOME_UNKNOWN
                                    : COLT_OUTCOME_NOT_RUN,
                                reason, NULL);
      return;
    case COLT_SUBMIT_UNKNOWN:
      colt_gate_answer_pending (pending, COLT_OUTCOME_UNKNOWN, reason, NULL);
      return;
    default:
      pending->resubmit_us = now_us + RESUBMIT_DELAY_US;
      return;
    }
}

static void
expire_pending_ (struct ColtPendingRequest *pending)
{
  bool not_run = pending->fresh && !pending->forwarded && !pending->in_flight;

  colt_gate_answer_pending (
      pending, not_run ? COLT_OUTCOME_NOT_RUN : COLT_OUTCOME_UNKNOWN,
      COLT_REASON_HOME_UNREACHABLE, NULL);
}

/* Sends attach calls for the accepted requests to the current leaders of their
 * shards. A leader sends the answers of those that have ended and returns the
 * ids of those that it has no record of. */
static void
attach_accepted_ (struct ColtGate *gate)
{
  GHashTable *by_leader = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                                 NULL, free_array_);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, gate->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtPendingRequest *pending = value;
      uint32_t leader
          = gate->calls->find_leader (gate->client, colt_id_zone (&pending->id),
                                      colt_id_shard (&pending->id));
      GArray *ids;

      if (!pending->accepted || leader == 0)
        continue;
      ids = g_hash_table_lookup (by_leader, GUINT_TO_POINTER (leader));
      if (ids == NULL)
        {
          ids = g_array_new (FALSE, FALSE, sizeof (struct ColtId));
          g_hash_table_insert (by_leader, GUINT_TO_POINTER (leader), ids);
        }
      g_array_append_val (ids, pending->id);
    }
  g_hash_table_iter_init (&iter, by_leader);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const GArray *ids = value;
      guint from;

      for (from = 0; from < ids->len; from += ATTACH_IDS_MAX)
        send_attach_ (gate, GPOINTER_TO_UINT (key),
                      &g_array_index (ids, struct ColtId, from),
                      MIN (ids->len - from, ATTACH_IDS_MAX));
    }
  g_hash_table_unref (by_leader);
}

static void
send_attach_ (struct ColtGate *gate,
              uint32_t instance,
              const struct ColtId *ids,
              size_t count)
{
  ColtAttachWord attach = COLT_ATTACH_WORD__INIT;
  ProtobufCBinaryData *list = g_new0 (ProtobufCBinaryData, count);
  struct ColtAttachCall *call = g_new0 (struct ColtAttachCall, 1);
  uint8_t *body;
  size_t size;
  size_t i;

  for (i = 0; i < count; i++)
    list[i] = colt_id_fill (&ids[i]);
  attach.ids = list;
  attach.n_ids = count;
  attach.waits = true;
  call->gate = gate;
  body = colt_message_pack (&attach.base, &size);
  colt_wire_call (gate->parts.wire, instance, COLT_WIRE_REQUEST_ATTACH, body,
                  size, CALL_TIMEOUT_MS, on_attach_reply_, call);
  free (body);
  g_free (list);
}

/* Marks the requests of which the leader has no record as not accepted, so that
 * they are submitted again. */
static void
on_attach_reply_ (void *client,
                  enum ColtWireResult result,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtAttachCall *call = client;
  ColtAttachReply *reply = NULL;
  size_t i;

  if (result == COLT_WIRE_REPLIED)
    reply = colt_attach_reply__unpack (NULL, size, body);
  for (i = 0; reply != NULL && i < reply->n_unknown; i++)
    {
      struct ColtPendingRequest *pending;
      struct ColtId id;

      if (!colt_id_read (&reply->unknown[i], &id))
        continue;
      pending = g_hash_table_lookup (call->gate->pending, &id);
      if (pending != NULL)
        pending->accepted = false;
    }
  if (reply != NULL)
    colt_attach_reply__free_unpacked (reply, NULL);
  g_free (call);
}

static void
handle_answer_ (void *client,
                const struct ColtWireOrigin *origin,
                const uint8_t *body,
                size_t size)
{
  struct ColtGate *gate = client;
  ColtAnswerWord *answer = colt_answer_word__unpack (NULL, size, body);
  struct ColtPendingRequest *pending = NULL;
  struct ColtId id;

  if (answer != NULL && colt_id_read (&answer->id, &id))
    pending = g_hash_table_lookup (gate->pending, &id);
  if (pending != NULL && answer->outcome < COLT_OUTCOME_COUNT
      && answer->outcome != COLT_OUTCOME_PENDING)
    colt_gate_answer_pending (pending, (enum ColtOutcome)answer->outcome,
                              answer->reason < COLT_REASON_COUNT
                                  ? (enum ColtReason)answer->reason
                                  : COLT_REASON_NONE,
                              answer);
  colt_wire_reply (gate->parts.wire, origin, NULL, 0);
  if (answer != NULL)
    colt_answer_word__free_unpacked (answer, NULL);
}

static void
count_outcome_ (struct ColtGate *gate, enum ColtOutcome outcome)
{
  const struct ColtGateCounters *handles = &gate->counters;
  uint32_t handle = handles->unknown;

  if (outcome == COLT_OUTCOME_DONE || outcome == COLT_OUTCOME_PENDING)
    handle = handles->done;
  else if (outcome == COLT_OUTCOME_FAILED)
    handle = handles->failed;
  else if (outcome == COLT_OUTCOME_NOT_RUN)
    handle = handles->not_run;
  else if (outcome == COLT_OUTCOME_CANCELLED)
    handle = handles->cancelled;
  colt_counters_increment (gate->parts.counters, handle, 1);
}

static void
free_array_ (gpointer data)
{
  g_array_unref (data);
}
