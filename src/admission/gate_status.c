#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Until a home has to have answered, in ms. */
#define STATUS_TIMEOUT_MS 1500
/* How often another home is asked. */
#define STATUS_TRIES 20
/* Before it is asked. */
#define STATUS_RETRY_MS 150

/* A caller's question about one request. */
struct ColtStatusCall
{
  struct ColtGate *gate;
  struct evhttp_request *http; /* NULL once the caller has gone */
  struct ColtId id;
  bool cancels;
  int tries;
  struct event *timer;
};

static void on_caller_gone_ (void *client);
static void ask_ (struct ColtStatusCall *call);
static void ask_later_ (struct ColtStatusCall *call);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static void on_cancelled_ (void *client,
                           enum ColtWireResult result,
                           const uint8_t *body,
                           size_t size);
static void on_status_ (void *client,
                        enum ColtWireResult result,
                        const uint8_t *body,
                        size_t size);
static void
finish_ (struct ColtStatusCall *call, const ColtAnswerWord *answer, int code);

void
colt_gate_show (struct ColtGate *gate,
                struct evhttp_request *http,
                const struct ColtId *id,
                bool cancels)
{
  struct ColtStatusCall *call = g_new0 (struct ColtStatusCall, 1);

  call->gate = gate;
  call->http = http;
  call->id = *id;
  call->cancels = cancels;
  call->timer = evtimer_new (gate->parts.base, on_timer_, call);
  colt_gate_watch (gate, http, on_caller_gone_, call);
  ask_ (call);
}

static void
on_caller_gone_ (void *client)
{
  struct ColtStatusCall *call = client;

  call->http = NULL;
}

static void
ask_ (struct ColtStatusCall *call)
{
  struct ColtGate *gate = call->gate;
  uint32_t lead = gate->calls->lead_of (gate->client, colt_id_zone (&call->id),
                                        colt_id_shard (&call->id));
  ProtobufCBinaryData id = colt_id_fill (&call->id);
  ColtAttachWord attach = COLT_ATTACH_WORD__INIT;
  ColtCancelWord cancel = COLT_CANCEL_WORD__INIT;
  const ProtobufCMessage *message = call->cancels ? &cancel.base : &attach.base;
  uint8_t *body;
  size_t size;

  if (lead == 0)
    {
      ask_later_ (call);
      return;
    }
  attach.ids = &id;
  attach.n_ids = 1;
  cancel.ids = &id;
  cancel.n_ids = 1;
  body = colt_message_pack (message, &size);
  colt_wire_call (gate->parts.wire, lead,
                  call->cancels ? COLT_WIRE_REQUEST_CANCEL
                                : COLT_WIRE_REQUEST_ATTACH,
                  body, size, STATUS_TIMEOUT_MS,
                  call->cancels ? on_cancelled_ : on_status_, call);
  free (body);
}

static void
ask_later_ (struct ColtStatusCall *call)
{
  const struct timeval delay = { 0, STATUS_RETRY_MS * 1000 };

  if (call->http == NULL || ++call->tries >= STATUS_TRIES)
    finish_ (call, NULL, 503);
  else
    evtimer_add (call->timer, &delay);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  ask_ (arg);
}

/* What the cancellation came to is read as a status. */
static void
on_cancelled_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtStatusCall *call = client;

  (void)body;
  (void)size;
  if (result != COLT_WIRE_REPLIED)
    {
      ask_later_ (call);
      return;
    }
  call->cancels = false;
  ask_ (call);
}

static void
on_status_ (void *client,
            enum ColtWireResult result,
            const uint8_t *body,
            size_t size)
{
  struct ColtStatusCall *call = client;
  ColtAttachReply *reply = NULL;

  if (result == COLT_WIRE_REPLIED)
    reply = colt_attach_reply__unpack (NULL, size, body);
  if (reply == NULL || reply->not_lead)
    ask_later_ (call);
  else if (reply->n_answers > 0)
    finish_ (call, reply->answers[0], 200);
  else
    finish_ (call, NULL, 404);
  if (reply != NULL)
    colt_attach_reply__free_unpacked (reply, NULL);
}

static void
finish_ (struct ColtStatusCall *call, const ColtAnswerWord *answer, int code)
{
  struct evhttp_request *http = call->http;

  if (http != NULL)
    {
      colt_gate_unwatch (call->gate, http);
      if (answer != NULL && answer->outcome < COLT_OUTCOME_COUNT
          && answer->reason < COLT_REASON_COUNT)
        colt_gate_reply_outcome (call->gate, http, &call->id,
                                 (enum ColtOutcome)answer->outcome,
                                 (enum ColtReason)answer->reason, answer);
      else if (code == 404)
        {
          json_t *body = json_object ();

          json_object_set_new (body, "outcome", json_string ("unknown"));
          json_object_set_new (body, "reason", json_string ("expired_id"));
          json_object_set_new (body, "detail",
                               json_string ("No such request is remembered."));
          colt_gate_reply_json (http, code, body);
        }
      else
        colt_gate_reply_refusal (http, &call->id, true,
                                 COLT_REASON_HOME_UNREACHABLE);
    }
  event_free (call->timer);
  g_free (call);
}
