#include <string.h>

#include "gate_private.h"

static void handle_mint_ (struct ColtGate *gate, struct evhttp_request *http);
static void handle_submit_ (struct ColtGate *gate, struct evhttp_request *http);
static void handle_request_path_ (struct ColtGate *gate,
                                  struct evhttp_request *http,
                                  const char *text);

void
colt_gate_route (struct evhttp_request *http, void *arg)
{
  struct ColtGate *gate = arg;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (http));
  enum evhttp_cmd_type method = evhttp_request_get_command (http);

  if (!colt_gate_admit_connection (gate, http))
    return;
  if (path == NULL)
    path = "/";
  if (strcmp (path, "/v1/request-ids") == 0 && method == EVHTTP_REQ_POST)
    handle_mint_ (gate, http);
  else if (strcmp (path, "/v1/tasks") == 0 && method == EVHTTP_REQ_POST)
    handle_submit_ (gate, http);
  else if (g_str_has_prefix (path, "/v1/requests/")
           && (method == EVHTTP_REQ_GET || method == EVHTTP_REQ_DELETE))
    handle_request_path_ (gate, http, path + strlen ("/v1/requests/"));
  else if (method != EVHTTP_REQ_GET
           || !gate->calls->serve (gate->client, http, path))
    colt_gate_reply_error (http, 404, COLT_REASON_BAD_REQUEST,
                           "There is no such path.");
}

static void
handle_mint_ (struct ColtGate *gate, struct evhttp_request *http)
{
  struct ColtId id = colt_gate_mint_id (gate);
  char text[COLT_ID_TEXT_SIZE];
  json_t *body = json_object ();

  colt_gate_add_minted_id (gate, &id);
  json_object_set_new (body, "request_id",
                       json_string (colt_id_format (&id, text)));
  colt_gate_reply_json (http, 200, body);
}

static void
handle_submit_ (struct ColtGate *gate, struct evhttp_request *http)
{
  struct ColtGateRequest request = { 0 };
  enum ColtReason reason;
  struct ColtError error;

  colt_counters_increment (gate->parts.counters, gate->counters.requests, 1);
  if (!colt_gate_parse_request (http, &request, &error))
    {
      colt_counters_increment (gate->parts.counters, gate->counters.bad, 1);
      colt_gate_reply_error (http, 400, COLT_REASON_BAD_REQUEST, error.message);
    }
  else if (!colt_gate_admit_request (gate, &request, &reason))
    {
      /* A Request-Id or Idempotency-Key may belong to an earlier request that
       * has run, unless the id was minted here and is used for the first
       * time. */
      bool may_have_run = request.has_id || request.idempotency_key[0] != '\0';

      may_have_run = may_have_run
                     && !(request.has_id
                          && colt_gate_consume_minted_id (gate, &request.id));
      colt_counters_increment (
          gate->parts.counters,
          may_have_run ? gate->counters.unknown : gate->counters.not_run, 1);
      colt_gate_reply_refusal (http, request.has_id ? &request.id : NULL,
                               may_have_run, reason);
    }
  else
    colt_gate_add_pending (gate, &request, http);
  g_free ((void *)request.spec.payload);
}

static void
handle_request_path_ (struct ColtGate *gate,
                      struct evhttp_request *http,
                      const char *text)
{
  struct ColtError error;
  struct ColtId id;

  if (!colt_id_parse (text, &id, &error))
    {
      colt_gate_reply_error (http, 400, COLT_REASON_BAD_REQUEST, error.message);
      return;
    }
  colt_gate_reply_status (
      gate, http, &id, evhttp_request_get_command (http) == EVHTTP_REQ_DELETE);
}
