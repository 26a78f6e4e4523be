#include <event2/buffer.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "gate_private.h"

/* Retry-After header of transient refusals, in seconds. */
#define RETRY_AFTER_TEXT "1"

static json_t *make_tasks_ (const ColtAnswerWord *answer);
static json_t *encode_base64_ (const uint8_t *data, size_t size);
static int get_http_status_ (enum ColtOutcome outcome, enum ColtReason reason);

void
colt_gate_reply_json (struct evhttp_request *http, int code, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);

  evbuffer_add (buffer, text, strlen (text));
  evbuffer_add (buffer, "\n", 1);
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     "application/json");
  evhttp_send_reply (http, code, NULL, buffer);
  evbuffer_free (buffer);
  free (text);
  json_decref (body);
}

void
colt_gate_reply_outcome (struct ColtGate *gate,
                         struct evhttp_request *http,
                         const struct ColtId *id,
                         enum ColtOutcome outcome,
                         enum ColtReason reason,
                         const ColtAnswerWord *answer)
{
  json_t *body = json_object ();
  char text[COLT_ID_TEXT_SIZE];

  (void)gate;
  json_object_set_new (body, "request_id",
                       json_string (colt_id_format (id, text)));
  json_object_set_new (body, "outcome",
                       json_string (outcome == COLT_OUTCOME_PENDING
                                        ? "accepted"
                                        : colt_outcome_string[outcome]));
  if (reason != COLT_REASON_NONE)
    {
      json_object_set_new (body, "reason",
                           json_string (colt_reason_string[reason]));
      json_object_set_new (body, "detail",
                           json_string (colt_reason_text[reason]));
    }
  if (answer != NULL)
    {
      json_object_set_new (body, "tasks", make_tasks_ (answer));
      if (answer->waited_ms >= 0)
        json_object_set_new (body, "waited_ms",
                             json_integer (answer->waited_ms));
    }
  if (colt_reason_is_transient (reason))
    evhttp_add_header (evhttp_request_get_output_headers (http), "Retry-After",
                       RETRY_AFTER_TEXT);
  colt_gate_reply_json (http, get_http_status_ (outcome, reason), body);
}

void
colt_gate_reply_refusal (struct evhttp_request *http,
                         const struct ColtId *id,
                         bool may_have_run,
                         enum ColtReason reason)
{
  enum ColtOutcome outcome
      = may_have_run ? COLT_OUTCOME_UNKNOWN : COLT_OUTCOME_NOT_RUN;
  json_t *body = json_object ();
  char text[COLT_ID_TEXT_SIZE];

  if (id != NULL)
    json_object_set_new (body, "request_id",
                         json_string (colt_id_format (id, text)));
  json_object_set_new (body, "outcome",
                       json_string (colt_outcome_string[outcome]));
  json_object_set_new (body, "reason",
                       json_string (colt_reason_string[reason]));
  json_object_set_new (body, "detail", json_string (colt_reason_text[reason]));
  if (colt_reason_is_transient (reason))
    evhttp_add_header (evhttp_request_get_output_headers (http), "Retry-After",
                       RETRY_AFTER_TEXT);
  colt_gate_reply_json (http, get_http_status_ (outcome, reason), body);
}

void
colt_gate_reply_error (struct evhttp_request *http,
                       int code,
                       enum ColtReason reason,
                       const char *detail)
{
  json_t *body = json_object ();

  json_object_set_new (body, "outcome", json_string ("not_run"));
  json_object_set_new (body, "reason",
                       json_string (colt_reason_string[reason]));
  json_object_set_new (
      body, "detail",
      json_string (detail != NULL ? detail : colt_reason_text[reason]));
  if (colt_reason_is_transient (reason))
    evhttp_add_header (evhttp_request_get_output_headers (http), "Retry-After",
                       RETRY_AFTER_TEXT);
  colt_gate_reply_json (http, code, body);
}

static json_t *
make_tasks_ (const ColtAnswerWord *answer)
{
  json_t *tasks = json_array ();
  size_t i;

  for (i = 0; i < answer->n_tasks; i++)
    {
      const ColtAnswerTaskWord *task = answer->tasks[i];
      json_t *entry = json_object ();
      const char *state = "unknown";

      if (!task->ended && task->stage <= COLT_REQUEST_TASK_ENDED)
        state = colt_request_task_state_string[task->stage];
      else if (!task->uncertain && task->state <= COLT_TASK_STOPPED)
        state = colt_task_state_string[task->state];
      json_object_set_new (entry, "index", json_integer (task->index));
      json_object_set_new (entry, "state", json_string (state));
      json_object_set_new (entry, "attempts", json_integer (task->attempts));
      if (task->ended)
        {
          json_object_set_new (entry, "exit", json_integer (task->exit_status));
          json_object_set_new (entry, "run_ms", json_integer (task->run_ms));
          json_object_set_new (
              entry, "result",
              encode_base64_ (task->result.data, task->result.len));
        }
      json_array_append_new (tasks, entry);
    }
  return tasks;
}

static json_t *
encode_base64_ (const uint8_t *data, size_t size)
{
  size_t capacity
      = sodium_base64_ENCODED_LEN (size, sodium_base64_VARIANT_ORIGINAL);
  char *text = g_malloc (capacity);
  json_t *value;

  sodium_bin2base64 (text, capacity, data, size,
                     sodium_base64_VARIANT_ORIGINAL);
  value = json_string (text);
  g_free (text);
  return value;
}

static int
get_http_status_ (enum ColtOutcome outcome, enum ColtReason reason)
{
  if (outcome == COLT_OUTCOME_PENDING)
    return 202;
  if (outcome == COLT_OUTCOME_DONE || outcome == COLT_OUTCOME_FAILED
      || outcome == COLT_OUTCOME_CANCELLED)
    return 200;
  switch (reason)
    {
    case COLT_REASON_BAD_REQUEST:
    case COLT_REASON_NEEDS_MINTED_ID:
      return 400;
    case COLT_REASON_NO_KEY:
      return 401;
    case COLT_REASON_BAD_KEY:
      return 403;
    case COLT_REASON_NO_QUEUE:
      return 404;
    case COLT_REASON_MISMATCH:
    case COLT_REASON_CANCELLED:
      return 409;
    case COLT_REASON_NEVER_FITS:
    case COLT_REASON_OVER_LIMIT:
      return 422;
    case COLT_REASON_QUEUE_FULL:
      return 429;
    case COLT_REASON_DEADLINE:
      return 504;
    default:
      return 503;
    }
}
