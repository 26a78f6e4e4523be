#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Until a home has to have taken a submission, in ms. */
#define SUBMIT_TIMEOUT_MS 1500
/* Before a submission that no home took is sent again. */
#define RESUBMIT_US (60 * COLT_US_PER_MS)
/* Time between two questions about requests that homes have. */
#define ATTACH_INTERVAL_US (1 * COLT_US_PER_S)
/* Ids in one question. */
#define ATTACH_MAX 512u
/* What is left to a home to answer after the deadline. */
#define GRACE_US (1500 * COLT_US_PER_MS)
/* How long a request that the caller does not wait for is tried to hand in. */
#define ASYNC_PATIENCE_US (10 * COLT_US_PER_S)

/* A submission on its way; it outlives its request if that is answered. */
struct ColtSubmitCall
{
  struct ColtGate *gate;
  struct ColtId id;
};

/* A question about requests on its way. */
struct ColtAttachCall
{
  struct ColtGate *gate;
};

static bool matches_ (const struct ColtPending *pending,
                      const struct ColtRequestSpec *spec);
static void add_caller_ (struct ColtPending *pending,
                         struct evhttp_request *http);
static void on_caller_gone_ (void *client);
static void submit_ (struct ColtPending *pending, int64_t now_us);
static void on_submitted_ (void *client,
                           enum ColtWireResult result,
                           const uint8_t *body,
                           size_t size);
static void take_reply_ (struct ColtPending *pending,
                         const ColtSubmitReply *reply,
                         int64_t now_us);
static void give_up_ (struct ColtPending *pending);
static void attach_all_ (struct ColtGate *gate);
static void
send_attach_ (struct ColtGate *gate, uint32_t instance, GArray *ids);
static void on_attached_ (void *client,
                          enum ColtWireResult result,
                          const uint8_t *body,
                          size_t size);
static void on_answer_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void count_ (struct ColtGate *gate, enum ColtOutcome outcome);
static void free_array_ (gpointer data);

void
colt_gate_set_handlers (struct ColtGate *gate)
{
  colt_wire_set_handler (gate->parts.wire, COLT_WIRE_REQUEST_ANSWER, on_answer_,
                         gate);
}

void
colt_gate_add_pending (struct ColtGate *gate,
                       struct ColtGateRequest *request,
                       struct evhttp_request *http)
{
  struct ColtPending *pending
      = g_hash_table_lookup (gate->pending, &request->id);
  int64_t now_us = colt_clock_monotonic_us ();

  if (pending != NULL && !matches_ (pending, &request->spec))
    {
      colt_gate_reply_refusal (http, &request->id, true, COLT_REASON_MISMATCH);
      return;
    }
  if (pending != NULL)
    {
      add_caller_ (pending, http);
      return;
    }
  pending = g_new0 (struct ColtPending, 1);
  pending->gate = gate;
  pending->id = request->id;
  pending->spec = request->spec;
  request->spec.payload = NULL;
  pending->callers = g_ptr_array_new ();
  pending->waits = request->waits;
  pending->fresh = request->fresh;
  pending->give_up_us = now_us + ASYNC_PATIENCE_US;
  if (pending->waits)
    pending->give_up_us = pending->spec.deadline_us + GRACE_US;
  g_hash_table_insert (gate->pending, &pending->id, pending);
  add_caller_ (pending, http);
  submit_ (pending, now_us);
}

void
colt_gate_step (struct ColtGate *gate, int64_t now_us)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, gate->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtPending *pending = value;

      if (now_us >= pending->give_up_us
          || (!pending->accepted && !pending->in_flight
              && now_us >= pending->next_us))
        g_ptr_array_add (due, value);
    }
  for (i = 0; i < due->len; i++)
    {
      struct ColtPending *pending = g_ptr_array_index (due, i);

      if (now_us >= pending->give_up_us)
        give_up_ (pending);
      else
        submit_ (pending, now_us);
    }
  g_ptr_array_unref (due);
  if (now_us >= gate->attach_us)
    {
      gate->attach_us = now_us + ATTACH_INTERVAL_US;
      attach_all_ (gate);
    }
}

void
colt_gate_settle (struct ColtPending *pending,
                  enum ColtOutcome outcome,
                  enum ColtReason reason,
                  const ColtAnswerWord *answer)
{
  struct ColtGate *gate = pending->gate;
  guint i;

  count_ (gate, outcome);
  for (i = 0; i < pending->callers->len; i++)
    {
      struct ColtGateCaller *caller = g_ptr_array_index (pending->callers, i);
      struct evhttp_request *http = caller->request;

      caller->pending = NULL;
      if (http != NULL)
        {
          colt_gate_unwatch (gate, http);
          colt_gate_reply_outcome (gate, http, &pending->id, outcome, reason,
                                   answer);
        }
      g_free (caller);
    }
  g_ptr_array_set_size (pending->callers, 0);
  g_hash_table_remove (gate->pending, &pending->id);
}

void
colt_pending_free (gpointer data)
{
  struct ColtPending *pending = data;

  g_free ((void *)pending->spec.payload);
  g_ptr_array_unref (pending->callers);
  g_free (pending);
}

/* Tells requests apart that use one id by mistake. */
static bool
matches_ (const struct ColtPending *pending, const struct ColtRequestSpec *spec)
{
  const struct ColtRequestSpec *first = &pending->spec;

  return strcmp (first->team, spec->team) == 0 && first->kind == spec->kind
         && first->tasks == spec->tasks && first->idempotent == spec->idempotent
         && first->payload_size == spec->payload_size
         && memcmp (first->payload, spec->payload, spec->payload_size) == 0;
}

static void
add_caller_ (struct ColtPending *pending, struct evhttp_request *http)
{
  struct ColtGateCaller *caller = g_new0 (struct ColtGateCaller, 1);

  caller->request = http;
  caller->pending = pending;
  g_ptr_array_add (pending->callers, caller);
  colt_gate_watch (pending->gate, http, on_caller_gone_, caller);
}

/* The request goes on; there is only nobody to tell. */
static void
on_caller_gone_ (void *client)
{
  struct ColtGateCaller *caller = client;

  caller->request = NULL;
}

static void
submit_ (struct ColtPending *pending, int64_t now_us)
{
  struct ColtGate *gate = pending->gate;
  uint32_t shard = colt_id_shard (&pending->id);
  uint32_t lead
      = gate->calls->lead_of (gate->client, colt_id_zone (&pending->id), shard);
  ColtSubmitWord msg = COLT_SUBMIT_WORD__INIT;
  struct ColtSpecBuffer spec;
  struct ColtSubmitCall *call;
  uint8_t *body;
  size_t size;

  pending->next_us = now_us + RESUBMIT_US;
  if (lead == 0)
    return;
  colt_spec_fill (&spec, &pending->spec, now_us);
  msg.id = colt_id_fill (&pending->id);
  msg.spec = &spec.msg;
  msg.waits = pending->waits;
  msg.fresh = pending->fresh && !pending->forwarded;
  call = g_new0 (struct ColtSubmitCall, 1);
  call->gate = gate;
  call->id = pending->id;
  pending->in_flight = true;
  body = colt_message_pack (&msg.base, &size);
  colt_wire_call (gate->parts.wire, lead, COLT_WIRE_REQUEST_SUBMIT, body, size,
                  SUBMIT_TIMEOUT_MS, on_submitted_, call);
  free (body);
}

static void
on_submitted_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtSubmitCall *call = client;
  struct ColtPending *pending
      = g_hash_table_lookup (call->gate->pending, &call->id);
  ColtSubmitReply *reply = NULL;

  g_free (call);
  if (pending == NULL)
    return;
  pending->in_flight = false;
  if (result == COLT_WIRE_REPLIED)
    reply = colt_submit_reply__unpack (NULL, size, body);
  if (result != COLT_WIRE_NOT_SENT && reply == NULL)
    {
      pending->doubtful = true;
      pending->forwarded = true;
    }
  if (reply == NULL)
    return;
  take_reply_ (pending, reply, colt_clock_monotonic_us ());
  colt_submit_reply__free_unpacked (reply, NULL);
}

/*
 * A refusal concerns one submission. If another one may still be under way to
 * a home, the request may run after all.
 */
static void
take_reply_ (struct ColtPending *pending,
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
        colt_gate_settle (pending, COLT_OUTCOME_PENDING, COLT_REASON_NONE,
                          NULL);
      return;
    case COLT_SUBMIT_NOT_RUN:
      colt_gate_settle (pending,
                        pending->doubtful || !pending->fresh
                            ? COLT_OUTCOME_UNKNOWN
                            : COLT_OUTCOME_NOT_RUN,
                        reason, NULL);
      return;
    case COLT_SUBMIT_UNKNOWN:
      colt_gate_settle (pending, COLT_OUTCOME_UNKNOWN, reason, NULL);
      return;
    default:
      pending->next_us = now_us + RESUBMIT_US;
      return;
    }
}

static void
give_up_ (struct ColtPending *pending)
{
  bool never = pending->fresh && !pending->forwarded && !pending->in_flight;

  colt_gate_settle (pending,
                    never ? COLT_OUTCOME_NOT_RUN : COLT_OUTCOME_UNKNOWN,
                    COLT_REASON_HOME_UNREACHABLE, NULL);
}

/* Asks the homes of all requests that wait there whether they still have them.
 */
static void
attach_all_ (struct ColtGate *gate)
{
  GHashTable *by_lead = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                               NULL, free_array_);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, gate->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtPending *pending = value;
      uint32_t lead
          = gate->calls->lead_of (gate->client, colt_id_zone (&pending->id),
                                  colt_id_shard (&pending->id));
      GArray *ids;

      if (!pending->accepted || lead == 0)
        continue;
      ids = g_hash_table_lookup (by_lead, GUINT_TO_POINTER (lead));
      if (ids == NULL)
        {
          ids = g_array_new (FALSE, FALSE, sizeof (struct ColtId));
          g_hash_table_insert (by_lead, GUINT_TO_POINTER (lead), ids);
        }
      if (ids->len < ATTACH_MAX)
        g_array_append_val (ids, pending->id);
    }
  g_hash_table_iter_init (&iter, by_lead);
  while (g_hash_table_iter_next (&iter, &key, &value))
    send_attach_ (gate, GPOINTER_TO_UINT (key), value);
  g_hash_table_unref (by_lead);
}

static void
send_attach_ (struct ColtGate *gate, uint32_t instance, GArray *ids)
{
  ColtAttachWord msg = COLT_ATTACH_WORD__INIT;
  ProtobufCBinaryData *list = g_new0 (ProtobufCBinaryData, ids->len);
  struct ColtAttachCall *call = g_new0 (struct ColtAttachCall, 1);
  uint8_t *body;
  size_t size;
  guint i;

  for (i = 0; i < ids->len; i++)
    list[i] = colt_id_fill (&g_array_index (ids, struct ColtId, i));
  msg.ids = list;
  msg.n_ids = ids->len;
  msg.waits = true;
  call->gate = gate;
  body = colt_message_pack (&msg.base, &size);
  colt_wire_call (gate->parts.wire, instance, COLT_WIRE_REQUEST_ATTACH, body,
                  size, SUBMIT_TIMEOUT_MS, on_attached_, call);
  free (body);
  g_free (list);
}

/* A home that leads the shard but lacks the request gets it once more. */
static void
on_attached_ (void *client,
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
      struct ColtPending *pending;
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
on_answer_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtGate *gate = client;
  ColtAnswerWord *msg = colt_answer_word__unpack (NULL, size, body);
  struct ColtPending *pending = NULL;
  struct ColtId id;

  if (msg != NULL && colt_id_read (&msg->id, &id))
    pending = g_hash_table_lookup (gate->pending, &id);
  if (pending != NULL && msg->outcome < COLT_OUTCOME_COUNT
      && msg->outcome != COLT_OUTCOME_PENDING)
    colt_gate_settle (pending, (enum ColtOutcome)msg->outcome,
                      msg->reason < COLT_REASON_COUNT
                          ? (enum ColtReason)msg->reason
                          : COLT_REASON_NONE,
                      msg);
  colt_wire_reply (gate->parts.wire, origin, NULL, 0);
  if (msg != NULL)
    colt_answer_word__free_unpacked (msg, NULL);
}

static void
count_ (struct ColtGate *gate, enum ColtOutcome outcome)
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
  colt_counters_count (gate->parts.counters, handle, 1);
}

static void
free_array_ (gpointer data)
{
  g_array_unref (data);
}
