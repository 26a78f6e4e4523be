#include <stdlib.h>

#include "backend_json.h"

static char *dump_ (json_t *root);
static json_t *make_token_ (const char *token);
static json_t *make_resources_ (const struct ColtResources *resources);
static json_t *make_ref_ (const struct ColtTaskRef *ref);
static json_t *make_start_ (const struct ColtTaskStart *start);
static json_t *make_starts_ (const struct ColtBackendChange *change);
static json_t *make_stops_ (const struct ColtBackendChange *change);
static json_t *make_resizes_ (const struct ColtBackendChange *change);
static void set_integer_ (json_t *object, const char *name, int64_t number);

char *
colt_backend_encode_lease (uint32_t owner,
                           uint64_t epoch,
                           const char *token,
                           int64_t lease_ms,
                           bool release)
{
  json_t *root = json_object ();

  set_integer_ (root, "owner", owner);
  set_integer_ (root, "epoch", (int64_t)epoch);
  if (token != NULL)
    json_object_set_new (root, "token", make_token_ (token));
  if (release)
    json_object_set_new (root, "release", json_true ());
  else
    set_integer_ (root, "lease_ms", lease_ms);
  return dump_ (root);
}

char *
colt_backend_encode_change (const struct ColtBackendChange *change)
{
  json_t *root = json_object ();

  set_integer_ (root, "epoch", (int64_t)change->epoch);
  json_object_set_new (root, "token", make_token_ (change->token));
  json_object_set_new (root, "starts", make_starts_ (change));
  json_object_set_new (root, "stops", make_stops_ (change));
  json_object_set_new (root, "resizes", make_resizes_ (change));
  set_integer_ (root, "renew_ms", change->renew_ms);
  return dump_ (root);
}

static char *
dump_ (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  if (text == NULL)
    abort ();
  return text;
}

static json_t *
make_token_ (const char *token)
{
  return json_integer (strtoll (token, NULL, 10));
}

static json_t *
make_resources_ (const struct ColtResources *resources)
{
  json_t *object = json_object ();
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    set_integer_ (object, colt_resource_string[i], resources->amount[i]);
  return object;
}

static json_t *
make_ref_ (const struct ColtTaskRef *ref)
{
  char text[COLT_TASK_TEXT_SIZE];
  json_t *object = json_object ();

  json_object_set_new (object, "task",
                       json_string (colt_task_format (ref, text)));
  set_integer_ (object, "attempt", ref->attempt);
  return object;
}

static json_t *
make_start_ (const struct ColtTaskStart *start)
{
  json_t *object = make_ref_ (&start->ref);

  set_integer_ (object, "shard", start->shard);
  set_integer_ (object, "shard_epoch", (int64_t)start->shard_epoch);
  json_object_set_new (object, "team", json_string (start->team));
  json_object_set_new (object, "kind",
                       json_string (colt_work_kind_string[start->kind]));
  json_object_set_new (object, "limit", make_resources_ (&start->limit));
  set_integer_ (object, "lease_ms", start->lease_ms);
  json_object_set_new (
      object, "payload",
      colt_json_encode_bytes (start->payload, start->payload_size));
  return object;
}

static json_t *
make_starts_ (const struct ColtBackendChange *change)
{
  json_t *array = json_array ();
  size_t i;

  for (i = 0; i < change->start_count; i++)
    json_array_append_new (array, make_start_ (&change->starts[i]));
  return array;
}

static json_t *
make_stops_ (const struct ColtBackendChange *change)
{
  json_t *array = json_array ();
  size_t i;

  for (i = 0; i < change->stop_count; i++)
    {
      json_t *object = make_ref_ (&change->stops[i].ref);

      json_object_set_new (object, "checkpoint",
                           json_boolean (change->stops[i].checkpoint));
      json_array_append_new (array, object);
    }
  return array;
}

static json_t *
make_resizes_ (const struct ColtBackendChange *change)
{
  json_t *array = json_array ();
  size_t i;

  for (i = 0; i < change->resize_count; i++)
    {
      json_t *object = make_ref_ (&change->resizes[i].ref);

      json_object_set_new (object, "limit",
                           make_resources_ (&change->resizes[i].limit));
      json_array_append_new (array, object);
    }
  return array;
}

static void
set_integer_ (json_t *object, const char *name, int64_t number)
{
  json_object_set_new (object, name, json_integer (number));
}
