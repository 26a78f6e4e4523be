#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

/* Maximum amount of a resource, and maximum run_ms, in a request. */
#define AMOUNT_MAX INT64_C (1000000000)

/* Name, default and range of an integer member of the JSON body. */
struct ColtIntegerField
{
  const char *name;
  int64_t fallback;
  int64_t minimum;
  int64_t maximum;
};

static bool parse_headers_ (struct evhttp_request *http,
                            struct ColtGateRequest *request,
                            struct ColtError *error);
static bool parse_body_ (json_t *body,
                         struct ColtGateRequest *request,
                         struct ColtError *error);
static bool check_members_ (json_t *body, struct ColtError *error);
static bool get_integer_ (json_t *body,
                          const struct ColtIntegerField *field,
                          int64_t *value,
                          struct ColtError *error);
static bool get_bool_ (json_t *body,
                       const char *name,
                       bool fallback,
                       bool *value,
                       struct ColtError *error);
static bool get_string_ (json_t *body,
                         const char *name,
                         const char **value,
                         struct ColtError *error);
static bool get_payload_ (json_t *body,
                          struct ColtGateRequest *request,
                          struct ColtError *error);
static bool
set_field_error_ (struct ColtError *error, const char *name, const char *what);

static const struct ColtIntegerField cores_field
    = { "cores_milli", 1000, 0, AMOUNT_MAX };
static const struct ColtIntegerField memory_field
    = { "memory_mb", 256, 0, AMOUNT_MAX };
static const struct ColtIntegerField accelerators_field
    = { "accelerators", 0, 0, AMOUNT_MAX };
static const struct ColtIntegerField connections_field
    = { "connections", 1, 0, AMOUNT_MAX };
static const struct ColtIntegerField tasks_field
    = { "tasks", 1, 1, COLT_TASKS_PER_REQUEST_MAX };
static const struct ColtIntegerField deadline_field
    = { "deadline_ms", 0, 1, COLT_DEADLINE_MAX_MS };
static const struct ColtIntegerField run_field = { "run_ms", 0, 0, AMOUNT_MAX };

static const char *const known_members[]
    = { "queue",       "kind",  "cores_milli", "memory_mb", "accelerators",
        "connections", "tasks", "idempotent",  "urgent",    "deadline_ms",
        "run_ms",      "wait",  "payload" };

bool
colt_gate_parse_request (struct evhttp_request *http,
                         struct ColtGateRequest *request,
                         struct ColtError *error)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (http);
  size_t size = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);
  json_error_t problem;
  json_t *body;
  bool valid;

  if (!parse_headers_ (http, request, error))
    return false;
  body = json_loadb (text != NULL ? text : "", size, JSON_REJECT_DUPLICATES,
                     &problem);
  if (body == NULL)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "the body is no JSON: line %d: %s", problem.line,
                           problem.text);
  valid = parse_body_ (body, request, error);
  json_decref (body);
  return valid;
}

static bool
parse_headers_ (struct evhttp_request *http,
                struct ColtGateRequest *request,
                struct ColtError *error)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  const char *key = evhttp_find_header (headers, "Authorization");
  const char *id = evhttp_find_header (headers, "Request-Id");
  const char *idempotency_key = evhttp_find_header (headers, "Idempotency-Key");

  if (key != NULL)
    {
      if (g_ascii_strncasecmp (key, "Bearer ", 7) != 0
          || strlen (key + 7) >= sizeof request->key)
        return set_field_error_ (error, "Authorization",
                                 "is not \"Bearer KEY\"");
      g_strlcpy (request->key, key + 7, sizeof request->key);
    }
  if (id != NULL && idempotency_key != NULL)
    return set_field_error_ (error, "Idempotency-Key",
                             "can't be combined with Request-Id");
  if (id != NULL && !colt_id_parse (id, &request->id, error))
    return false;
  if (id != NULL && colt_id_kind (&request->id) != COLT_ID_MINTED)
    return set_field_error_ (error, "Request-Id",
                             "was not made by this service");
  request->has_id = id != NULL;
  if (idempotency_key != NULL)
    {
      if (idempotency_key[0] == '\0'
          || strlen (idempotency_key) >= sizeof request->idempotency_key)
        return set_field_error_ (error, "Idempotency-Key",
                                 "is empty or too long");
      g_strlcpy (request->idempotency_key, idempotency_key,
                 sizeof request->idempotency_key);
    }
  return true;
}

static bool
parse_body_ (json_t *body,
             struct ColtGateRequest *request,
             struct ColtError *error)
{
  struct ColtRequestSpec *spec = &request->spec;
  int64_t *amount = spec->demand.amount;
  const char *queue = NULL;
  const char *kind = NULL;
  int64_t tasks;

  if (!json_is_object (body))
    return set_field_error_ (error, "body", "is no JSON object");
  if (!check_members_ (body, error)
      || !get_string_ (body, "queue", &queue, error)
      || !get_string_ (body, "kind", &kind, error)
      || !get_integer_ (body, &cores_field, &amount[COLT_RESOURCE_CORES], error)
      || !get_integer_ (body, &memory_field, &amount[COLT_RESOURCE_MEMORY],
                        error)
      || !get_integer_ (body, &accelerators_field,
                        &amount[COLT_RESOURCE_ACCELERATORS], error)
      || !get_integer_ (body, &connections_field,
                        &amount[COLT_RESOURCE_CONNECTIONS], error)
      || !get_integer_ (body, &tasks_field, &tasks, error)
      || !get_integer_ (body, &deadline_field, &request->deadline_ms, error)
      || !get_integer_ (body, &run_field, &spec->run_ms, error)
      || !get_bool_ (body, "idempotent", false, &spec->idempotent, error)
      || !get_bool_ (body, "urgent", false, &spec->urgent, error)
      || !get_bool_ (body, "wait", true, &request->waits, error)
      || !get_payload_ (body, request, error))
    return false;
  amount[COLT_RESOURCE_SLOTS] = 1;
  spec->tasks = (uint32_t)tasks;
  if (queue == NULL || !colt_name_is_valid (queue))
    return set_field_error_ (error, "queue", "is missing or no name");
  g_strlcpy (spec->queue, queue, sizeof spec->queue);
  spec->kind = COLT_WORK_INTERACTIVE;
  if (kind != NULL && !colt_work_kind_parse (kind, &spec->kind))
    return set_field_error_ (error, "kind",
                             "is not interactive, service, batch or gang");
  if (spec->kind == COLT_WORK_SERVICE && request->waits)
    return set_field_error_ (error, "wait", "must be false for a service");
  return true;
}

static bool
check_members_ (json_t *body, struct ColtError *error)
{
  const char *name;
  json_t *value;

  json_object_foreach (body, name, value)
  {
    size_t i;

    for (i = 0; i < G_N_ELEMENTS (known_members); i++)
      if (strcmp (name, known_members[i]) == 0)
        break;
    if (i == G_N_ELEMENTS (known_members))
      return set_field_error_ (error, name, "is not a known member");
  }
  return true;
}

static bool
get_integer_ (json_t *body,
              const struct ColtIntegerField *field,
              int64_t *value,
              struct ColtError *error)
{
  json_t *member = json_object_get (body, field->name);

  *value = field->fallback;
  if (member == NULL)
    return true;
  if (!json_is_integer (member))
    return set_field_error_ (error, field->name, "is no whole number");
  *value = json_integer_value (member);
  if (*value < field->minimum || *value > field->maximum)
    return set_field_error_ (error, field->name, "is out of range");
  return true;
}

static bool
get_bool_ (json_t *body,
           const char *name,
           bool fallback,
           bool *value,
           struct ColtError *error)
{
  json_t *member = json_object_get (body, name);

  *value = fallback;
  if (member == NULL)
    return true;
  if (!json_is_boolean (member))
    return set_field_error_ (error, name, "is neither true nor false");
  *value = json_is_true (member);
  return true;
}

static bool
get_string_ (json_t *body,
             const char *name,
             const char **value,
             struct ColtError *error)
{
  json_t *member = json_object_get (body, name);

  if (member == NULL)
    return true;
  if (!json_is_string (member))
    return set_field_error_ (error, name, "is no text");
  *value = json_string_value (member);
  return true;
}

static bool
get_payload_ (json_t *body,
              struct ColtGateRequest *request,
              struct ColtError *error)
{
  const char *text = NULL;
  uint8_t *payload;
  size_t capacity;
  size_t size;

  if (!get_string_ (body, "payload", &text, error))
    return false;
  if (text == NULL)
    text = "";
  capacity = strlen (text) / 4 * 3 + 3;
  payload = g_malloc (capacity);
  if (sodium_base642bin (payload, capacity, text, strlen (text), NULL, &size,
                         NULL, sodium_base64_VARIANT_ORIGINAL)
      != 0)
    {
      g_free (payload);
      return set_field_error_ (error, "payload", "is no base64");
    }
  if (size > COLT_PAYLOAD_MAX)
    {
      g_free (payload);
      return set_field_error_ (error, "payload", "is too large");
    }
  request->spec.payload = payload;
  request->spec.payload_size = size;
  return true;
}

static bool
set_field_error_ (struct ColtError *error, const char *name, const char *what)
{
  return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_CHECK, NULL,
                         "%.64s %s", name, what);
}
