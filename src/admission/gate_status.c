#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Timeout of one attach or cancel call to a home, in ms. */
#define STATUS_TIMEOUT_MS 1500
/* Failed tries after which the caller gets "home_unreachable". */
#define STATUS_TRIES 20
/* Delay between two tries, in ms. */
#define STATUS_RETRY_MS 150

/* A caller's status query or cancellation of one request. */
struct ColtStatusCall
{
  struct ColtGate *gate;
  struct evhttp_request *http; /* NULL once the connection is closed */
  struct ColtId id;
  bool cancels;
  int tries;
  struct event *timer;
};

static void on_caller_closed_ (void *client);
static void send_query_ (struct ColtStatusCall *call);
static void retry_later_ (struct ColtStatusCall *call);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static void on_cancel_reply_ (void *client,
                              enum ColtWireResult result,
                              const uint8_t *body,
                              size_t size);
static void on_status_reply_ (void *client,
                              enum ColtWireResult result,
                              const uint8_t *body,
                              size_t size);
static void finish_call_ (struct ColtStatusCall *call,
                          const ColtAnswerWord *answer,
                          int code);

void
colt_gate_reply_status (struct ColtGate *gate,
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
  colt_gate_set_close_handler (gate, http, on_caller_closed_, call);
  send_query_ (call);
}

static void
on_caller_closed_ (void *client)
{
  struct ColtStatusCall *call = client;

  call->http = NULL;
}

static void
send_query_ (struct ColtStatusCall *call)
{
  struct ColtGate *gate = call->gate;
  uint32_t leader = gate->calls->find_leader (
      gate->client, colt_id_zone (&call->id), colt_id_shard (&call->id));
  ProtobufCBinaryData id = colt_id_fill (&call->id);
  ColtAttachWord attach = COLT_ATTACH_WORD__INIT;
  ColtCancelWord cancel = COLT_CANCEL_WORD__INIT;
  const ProtobufCMessage *message = call->cancels ? &cancel.base : &attach.base;
  uint8_t *body;
  size_t size;

  if (leader == 0)
    {
      retry_later_ (call);
      return;
    }
  attach.ids = &id;
  attach.n_ids = 1;
  cancel.ids = &id;
  cancel.n_ids = 1;
  body = colt_message_pack (message, &size);
  colt_wire_call (gate->parts.wire, leader,
                  call->cancels ? COLT_WIRE_REQUEST_CANCEL
                                : COLT_WIRE_REQUEST_ATTACH,
                  body, size, STATUS_TIMEOUT_MS,
                  call->cancels ? on_cancel_reply_ : on_status_reply_, call);
  free (body);
}

static void
retry_later_ (struct ColtStatusCall *call)
{
  const struct timeval delay = { 0, STATUS_RETRY_MS * 1000 };

  if (call->http == NULL || ++call->tries >= STATUS_TRIES)
    finish_call_ (call, NULL, 503);
  else
    evtimer_add (call->timer, &delay);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  send_query_ (arg);
}

/* Reads the result of a cancellation with a status query. */
static void
on_cancel_reply_ (void *client,
                  enum ColtWireResult result,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtStatusCall *call = client;

  (void)body;
  (void)size;
  if (result != COLT_WIRE_REPLIED)
    {
      retry_later_ (call);
      return;
    }
  call->cancels = false;
  send_query_ (call);
}

static void
on_status_reply_ (void *client,
                  enum ColtWireResult result,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtStatusCall *call = client;
  ColtAttachReply *reply = NULL;

  if (result == COLT_WIRE_REPLIED)
    reply = colt_attach_reply__unpack (NULL, size, body);
  if (reply == NULL || reply->not_lead)
    retry_later_ (call);
  else if (reply->n_answers > 0)
    finish_call_ (call, reply->answers[0], 200);
  else
    finish_call_ (call, NULL, 404);
  if (reply != NULL)
    colt_attach_reply__free_unpacked (reply, NULL);
}

static void
finish_call_ (struct ColtStatusCall *call,
              const ColtAnswerWord *answer,
              int code)
{
  struct evhttp_request *http = call->http;

  if (http != NULL)
    {
      colt_gate_clear_close_handler (call->gate, http);
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
