#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Delay after which a rejected caller may try again, in milliseconds. */
#define RETRY_AFTER_MS 1000

/* Longest time that a refusal waits for proof that no other leader was active,
 * in microseconds. */
#define PROOF_TIMEOUT_US (1 * COLT_US_PER_S)

/* The refusal of a submission, pending proof that no other leader was
 * active. */
struct ColtUnprovedReply
{
  struct ColtWireOrigin origin;
  struct ColtId id;
  enum ColtReason reason;
  int64_t decided_us;
};

/* A submission that is being written to the log. */
struct ColtPendingStore
{
  struct ColtHome *home;
  struct ColtWireOrigin origin;
  uint8_t *body;
  size_t size;
};

static void on_submit_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void submit_request_ (struct ColtHome *home,
                             const struct ColtWireOrigin *origin,
                             const ColtSubmitWord *submit,
                             bool stored);
static void refuse_request_ (struct ColtHome *home,
                             const struct ColtWireOrigin *origin,
                             const struct ColtId *id,
                             enum ColtReason reason,
                             int64_t now_us);
static bool send_if_proved_ (struct ColtHome *home,
                             const struct ColtUnprovedReply *unproved,
                             int64_t now_us);
static bool must_defer_ (struct ColtHome *home,
                         const struct ColtId *id,
                         bool fresh,
                         int64_t now_us);
static void store_request_ (struct ColtHome *home,
                            const struct ColtWireOrigin *origin,
                            const ColtSubmitWord *submit,
                            const struct ColtId *id,
                            const struct ColtRequestSpec *spec);
static void on_stored_ (void *client, bool stored, bool certain);
static void send_reply_ (struct ColtHome *home,
                         const struct ColtWireOrigin *origin,
                         enum ColtSubmitStatus status,
                         enum ColtReason reason,
                         const struct ColtRequest *known);
static void on_attach_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void attach_request_ (struct ColtHome *home,
                             const struct ColtWireOrigin *origin,
                             const struct ColtId *id,
                             bool waits,
                             GPtrArray *answers,
                             GPtrArray *unknown,
                             bool *not_lead);
static void conclude_recovered_ (struct ColtHome *home,
                                 const struct ColtRequest *request,
                                 int64_t now_us);
static ColtAnswerWord *make_status_ (const struct ColtRequest *request);
static void on_cancel_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void free_answer_ (gpointer data);

void
colt_home_set_submit_handlers (struct ColtHome *home)
{
  struct ColtWire *wire = home->parts.wire;

  colt_wire_set_handler (wire, COLT_WIRE_REQUEST_SUBMIT, on_submit_, home);
  colt_wire_set_handler (wire, COLT_WIRE_REQUEST_ATTACH, on_attach_, home);
  colt_wire_set_handler (wire, COLT_WIRE_REQUEST_CANCEL, on_cancel_, home);
}

static void
on_submit_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHome *home = client;
  ColtSubmitWord *submit = colt_submit_word__unpack (NULL, size, body);

  if (submit == NULL)
    return;
  submit_request_ (home, origin, submit, false);
  colt_submit_word__free_unpacked (submit, NULL);
}

/* A request on the log (stored) may be restored and run later, so it is never
 * refused as not run: it counts as accepted and is restored from the log. */
static void
submit_request_ (struct ColtHome *home,
                 const struct ColtWireOrigin *origin,
                 const ColtSubmitWord *submit,
                 bool stored)
{
  int64_t now_us = colt_clock_monotonic_us ();
  enum ColtReason reason = COLT_REASON_BAD_REQUEST;
  enum ColtSubmitStatus status = COLT_SUBMIT_NOT_RUN;
  const struct ColtRequest *known = NULL;
  struct ColtRequestSpec spec = { 0 };
  struct ColtId id;

  if (!colt_id_read (&submit->id, &id)
      || !colt_spec_read (submit->spec, &spec, now_us))
    {
      send_reply_ (home, origin, status, reason, NULL);
      return;
    }
  known = colt_requests_find (home->requests, &id);
  if ((known == NULL || known->recovered)
      && must_defer_ (home, &id, submit->fresh, now_us))
    {
      send_reply_ (home, origin, COLT_SUBMIT_NOT_LEADER, COLT_REASON_NONE,
                   NULL);
      return;
    }
  if (known == NULL && spec.durable && !stored
      && colt_request_id_is_expired (
          &id, &spec, (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S)))
    {
      send_reply_ (home, origin, COLT_SUBMIT_UNKNOWN, COLT_REASON_EXPIRED_ID,
                   NULL);
      return;
    }
  if (known == NULL && !stored && colt_home_is_queue_full (home, spec.queue))
    {
      colt_counters_increment (home->parts.counters, home->counters.refused, 1);
      refuse_request_ (home, origin, &id, COLT_REASON_QUEUE_FULL, now_us);
      return;
    }
  if (known == NULL && spec.durable && !stored)
    {
      store_request_ (home, origin, submit, &id, &spec);
      return;
    }
  status = colt_requests_submit (
      home->requests, &id, &spec, submit->fresh,
      submit->waits ? origin->instance : 0,
      (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S), now_us, &reason);
  if (status == COLT_SUBMIT_ACCEPTED)
    colt_home_count_waiting (home, spec.queue);
  if (status == COLT_SUBMIT_ACCEPTED)
    colt_counters_increment (home->parts.counters, home->counters.accepted, 1);
  else if (status != COLT_SUBMIT_KNOWN)
    colt_counters_increment (home->parts.counters, home->counters.refused, 1);
  if (status == COLT_SUBMIT_NOT_RUN && stored)
    status = COLT_SUBMIT_ACCEPTED;
  if (status == COLT_SUBMIT_NOT_RUN)
    {
      refuse_request_ (home, origin, &id, reason, now_us);
      return;
    }
  known = colt_requests_find (home->requests, &id);
  send_reply_ (home, origin, status, reason, known);
  colt_home_schedule_dispatch (home);
}

/* Sends "not run" only with proof that no other leader was active, since
 * another leader might have run the request. */
static void
refuse_request_ (struct ColtHome *home,
                 const struct ColtWireOrigin *origin,
                 const struct ColtId *id,
                 enum ColtReason reason,
                 int64_t now_us)
{
  struct ColtUnprovedReply *unproved;

  if (colt_home_is_sole_leader (home, id, now_us))
    {
      send_reply_ (home, origin, COLT_SUBMIT_NOT_RUN, reason, NULL);
      return;
    }
  unproved = g_new0 (struct ColtUnprovedReply, 1);
  unproved->origin = *origin;
  unproved->id = *id;
  unproved->reason = reason;
  unproved->decided_us = now_us;
  g_queue_push_tail (&home->unproved_replies, unproved);
}

void
colt_home_send_proved_replies (struct ColtHome *home, int64_t now_us)
{
  guint count = g_queue_get_length (&home->unproved_replies);

  while (count-- > 0)
    {
      struct ColtUnprovedReply *unproved
          = g_queue_pop_head (&home->unproved_replies);

      if (!send_if_proved_ (home, unproved, now_us))
        {
          g_queue_push_tail (&home->unproved_replies, unproved);
          continue;
        }
      g_free (unproved);
    }
}

/* Sends the refusal once it is proved. After PROOF_TIMEOUT_US sends "not
 * leader" instead, so that the gate submits again. Returns whether a reply was
 * sent. */
static bool
send_if_proved_ (struct ColtHome *home,
                 const struct ColtUnprovedReply *unproved,
                 int64_t now_us)
{
  if (colt_shard_leader_was_exclusive (home->shard_leader,
                                       colt_id_shard (&unproved->id),
                                       unproved->decided_us, now_us))
    send_reply_ (home, &unproved->origin, COLT_SUBMIT_NOT_RUN, unproved->reason,
                 NULL);
  else if (now_us - unproved->decided_us >= PROOF_TIMEOUT_US)
    send_reply_ (home, &unproved->origin, COLT_SUBMIT_NOT_LEADER,
                 COLT_REASON_NONE, NULL);
  else
    return false;
  return true;
}

/*
 * Returns whether a submission must be sent again later. While the reports of
 * some servers are missing, an id that may have been used before may belong to
 * a task that runs on one of these servers.
 */
static bool
must_defer_ (struct ColtHome *home,
             const struct ColtId *id,
             bool fresh,
             int64_t now_us)
{
  uint32_t shard = colt_id_shard (id);

  if (home->stopping
      || !colt_shard_leader_is_active (home->shard_leader, shard, now_us))
    return true;
  if (fresh)
    return false;
  return !home->history_known[shard]
         || colt_shard_leader_count_unknown (home->shard_leader, shard) > 0;
}

static void
store_request_ (struct ColtHome *home,
                const struct ColtWireOrigin *origin,
                const ColtSubmitWord *submit,
                const struct ColtId *id,
                const struct ColtRequestSpec *spec)
{
  struct ColtPendingStore *pending = g_new0 (struct ColtPendingStore, 1);

  pending->home = home;
  pending->origin = *origin;
  pending->body = colt_message_pack (&submit->base, &pending->size);
  home->calls->store_request (home->client, id, spec, on_stored_, pending);
}

static void
on_stored_ (void *client, bool stored, bool certain)
{
  struct ColtPendingStore *pending = client;
  ColtSubmitWord *submit
      = colt_submit_word__unpack (NULL, pending->size, pending->body);

  if (stored)
    submit_request_ (pending->home, &pending->origin, submit, true);
  else
    send_reply_ (pending->home, &pending->origin,
                 certain ? COLT_SUBMIT_NOT_RUN : COLT_SUBMIT_UNKNOWN,
                 COLT_REASON_LOG_DOWN, NULL);
  colt_submit_word__free_unpacked (submit, NULL);
  free (pending->body);
  g_free (pending);
}

static void
send_reply_ (struct ColtHome *home,
             const struct ColtWireOrigin *origin,
             enum ColtSubmitStatus status,
             enum ColtReason reason,
             const struct ColtRequest *known)
{
  ColtSubmitReply reply = COLT_SUBMIT_REPLY__INIT;
  uint8_t *body;
  size_t size;

  reply.status = status;
  reply.reason = reason;
  if (colt_reason_is_transient (reason))
    reply.retry_after_ms = RETRY_AFTER_MS;
  if (status == COLT_SUBMIT_KNOWN && known != NULL
      && known->outcome != COLT_OUTCOME_PENDING)
    colt_home_send_answer (home, known);
  body = colt_message_pack (&reply.base, &size);
  colt_wire_reply (home->parts.wire, origin, body, size);
  free (body);
}

static void
on_attach_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHome *home = client;
  ColtAttachWord *attach = colt_attach_word__unpack (NULL, size, body);
  ColtAttachReply reply = COLT_ATTACH_REPLY__INIT;
  GPtrArray *answers = g_ptr_array_new_with_free_func (free_answer_);
  GPtrArray *unknown = g_ptr_array_new_with_free_func (g_free);
  ProtobufCBinaryData *ids;
  bool not_lead = false;
  uint8_t *packed;
  size_t i;

  for (i = 0; attach != NULL && i < attach->n_ids; i++)
    {
      struct ColtId id;

      if (colt_id_read (&attach->ids[i], &id))
        attach_request_ (home, origin, &id, attach->waits, answers, unknown,
                         &not_lead);
    }
  ids = g_new0 (ProtobufCBinaryData, unknown->len + 1);
  for (i = 0; i < unknown->len; i++)
    ids[i] = colt_id_fill (g_ptr_array_index (unknown, i));
  reply.not_lead = not_lead;
  reply.answers = (ColtAnswerWord **)answers->pdata;
  reply.n_answers = answers->len;
  reply.unknown = ids;
  reply.n_unknown = unknown->len;
  packed = colt_message_pack (&reply.base, &size);
  colt_wire_reply (home->parts.wire, origin, packed, size);
  free (packed);
  g_free (ids);
  g_ptr_array_unref (answers);
  g_ptr_array_unref (unknown);
  if (attach != NULL)
    colt_attach_word__free_unpacked (attach, NULL);
}

/* A waiting gate gets the outcome of a request that has ended, with its
 * results, in an answer message. A gate that doesn't wait gets the status in
 * the attach reply; if results are missing, they are fetched and the gate must
 * attach again. */
static void
attach_request_ (struct ColtHome *home,
                 const struct ColtWireOrigin *origin,
                 const struct ColtId *id,
                 bool waits,
                 GPtrArray *answers,
                 GPtrArray *unknown,
                 bool *not_lead)
{
  int64_t now_us = colt_clock_monotonic_us ();
  const struct ColtRequest *request = colt_requests_find (home->requests, id);

  if (!colt_shard_leader_is_active (home->shard_leader, colt_id_shard (id),
                                    now_us))
    {
      *not_lead = true;
      return;
    }
  if (request == NULL)
    {
      g_ptr_array_add (unknown, g_memdup2 (id, sizeof *id));
      return;
    }
  conclude_recovered_ (home, request, now_us);
  if (waits)
    colt_requests_add_waiter (home->requests, id, origin->instance);
  if (waits && request->outcome != COLT_OUTCOME_PENDING)
    colt_home_send_answer (home, request);
  else if (!waits && colt_home_lacks_results (request))
    {
      colt_home_fetch_results (home, request);
      *not_lead = true;
    }
  else if (!waits)
    g_ptr_array_add (answers, make_status_ (request));
}

/* Ends a durable request that is known from backend servers alone with the
 * outcome that another leader may have recorded on the log. */
static void
conclude_recovered_ (struct ColtHome *home,
                     const struct ColtRequest *request,
                     int64_t now_us)
{
  const struct ColtId id = request->id;
  enum ColtOutcome outcome;

  if (request->recovered && request->open_tasks == 0
      && home->calls->find_outcome (home->client, &id, &outcome))
    colt_requests_end_recovered (home->requests, &id, outcome, now_us);
}

/* For a request known from backend servers alone whose reported tasks have all
 * ended, the outcome is unknown: it may have had more tasks. */
static ColtAnswerWord *
make_status_ (const struct ColtRequest *request)
{
  ColtAnswerWord *answer = colt_answer_make (request);

  if (!request->recovered || request->open_tasks > 0)
    return answer;
  answer->outcome = COLT_OUTCOME_UNKNOWN;
  answer->reason = COLT_REASON_HISTORY_LOST;
  return answer;
}

static void
on_cancel_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtHome *home = client;
  ColtCancelWord *cancel = colt_cancel_word__unpack (NULL, size, body);
  size_t i;

  if (cancel == NULL)
    return;
  for (i = 0; i < cancel->n_ids; i++)
    {
      struct ColtId id;

      if (colt_id_read (&cancel->ids[i], &id))
        colt_requests_cancel (home->requests, &id, colt_clock_monotonic_us ());
    }
  colt_wire_reply (home->parts.wire, origin, NULL, 0);
  colt_cancel_word__free_unpacked (cancel, NULL);
}

static void
free_answer_ (gpointer data)
{
  colt_answer_word__free_unpacked (data, NULL);
}
