#include "server_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

/* Upper limits of numbers: higher attempts are rejected, other numbers are
 * clamped. */
#define ATTEMPT_MAX 10000
#define AMOUNT_MAX INT64_C (1000000000000)
#define DURATION_MAX_MS INT64_C (86400000)
#define CHECKPOINT_FORMAT "done_ms=%" G_GINT64_FORMAT

static int64_t get_number_ (const json_t *object, const char *key);
static void set_number_ (json_t *object, const char *key, int64_t number);
static void set_text_ (json_t *object, const char *key, const char *text);
static void
set_base64_ (json_t *object, const char *key, const void *data, size_t size);
static void
add_result_ (json_t *object, const struct ColtStandinTask *task, bool result);
static void add_notice_task_ (json_t *object,
                              enum ColtStandinNotice notice,
                              const struct ColtStandinTask *task);

json_t *
colt_standin_encode_resources (const struct ColtResources *resources)
{
  json_t *object = json_object ();
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    set_number_ (object, colt_resource_string[i], resources->amount[i]);
  return object;
}

void
colt_standin_decode_resources (const json_t *object,
                               struct ColtResources *resources)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    resources->amount[i]
        = CLAMP (get_number_ (object, colt_resource_string[i]), 0, AMOUNT_MAX);
  if (json_object_get (object, colt_resource_string[COLT_RESOURCE_SLOTS])
      == NULL)
    resources->amount[COLT_RESOURCE_SLOTS] = 1;
}

int64_t
colt_standin_decode_us (const json_t *object, const char *key)
{
  return CLAMP (get_number_ (object, key), 0, DURATION_MAX_MS) * COLT_US_PER_MS;
}

void
colt_standin_encode_ref (json_t *object, const struct ColtTaskRef *ref)
{
  char text[COLT_TASK_TEXT_SIZE];

  set_text_ (object, "task", colt_task_format (ref, text));
  set_number_ (object, "attempt", ref->attempt);
}

bool
colt_standin_decode_ref (const json_t *object, struct ColtTaskRef *ref)
{
  const char *name = json_string_value (json_object_get (object, "task"));
  int64_t attempt = get_number_ (object, "attempt");

  if (name == NULL || attempt < 1 || attempt > ATTEMPT_MAX)
    return false;
  if (!colt_task_parse (name, ref, NULL))
    return false;
  ref->attempt = (uint32_t)attempt;
  return true;
}

bool
colt_standin_decode_start (const json_t *object,
                           struct ColtTaskStart *start,
                           uint8_t **payload)
{
  const char *team = json_string_value (json_object_get (object, "team"));
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *payload_text
      = json_string_value (json_object_get (object, "payload"));
  int64_t shard = get_number_ (object, "shard");

  memset (start, 0, sizeof *start);
  if (!colt_standin_decode_ref (object, &start->ref) || team == NULL
      || kind == NULL || !colt_work_kind_parse (kind, &start->kind))
    return false;
  if (shard < 0 || shard >= COLT_SHARD_COUNT)
    return false;
  start->shard = (uint32_t)shard;
  start->shard_epoch = (uint64_t)get_number_ (object, "shard_epoch");
  start->lease_ms
      = colt_standin_decode_us (object, "lease_ms") / COLT_US_PER_MS;
  g_strlcpy (start->team, team, sizeof start->team);
  colt_standin_decode_resources (json_object_get (object, "limit"),
                                 &start->limit);
  *payload = g_base64_decode (payload_text != NULL ? payload_text : "",
                              &start->payload_size);
  start->payload = *payload;
  return true;
}

json_t *
colt_standin_encode_task (const struct ColtStandinTask *task,
                          int64_t now_us,
                          bool result)
{
  json_t *object = json_object ();
  int64_t end_us = MIN (now_us, task->end_us);

  colt_standin_encode_ref (object, &task->ref);
  set_number_ (object, "shard", task->shard);
  set_number_ (object, "shard_epoch", (int64_t)task->shard_epoch);
  set_text_ (object, "team", task->team);
  set_text_ (object, "kind", colt_work_kind_string[task->kind]);
  set_text_ (object, "state", colt_task_state_string[task->state]);
  json_object_set_new (object, "limit",
                       colt_standin_encode_resources (&task->run.limit));
  json_object_set_new (object, "usage",
                       colt_standin_encode_resources (&task->usage));
  set_number_ (object, "run_ms", (end_us - task->start_us) / COLT_US_PER_MS);
  if (task->state == COLT_TASK_RUNNING)
    set_number_ (object, "lease_remaining_ms",
                 (task->lease_us - now_us) / COLT_US_PER_MS);
  else
    set_number_ (object, "exit", task->exit_status);
  add_result_ (object, task, result);
  return object;
}

json_t *
colt_standin_encode_notice (const struct ColtStandinServer *server,
                            enum ColtStandinNotice notice,
                            const struct ColtStandinTask *task,
                            const char *reason)
{
  const struct ColtStandinServerSpec *spec = colt_standin_server_spec (server);
  const struct ColtStandinLease *lease = colt_standin_server_lease (server);
  json_t *object = json_object ();

  set_text_ (object, "event", colt_standin_notice_string[notice]);
  set_number_ (object, "server", spec->id);
  set_number_ (object, "zone", spec->zone);
  set_number_ (object, "owner", lease->owner);
  set_number_ (object, "epoch", (int64_t)lease->epoch);
  json_object_set_new (object, "leaving",
                       json_boolean (colt_standin_server_is_leaving (server)));
  if (reason != NULL)
    set_text_ (object, "reason", reason);
  if (task != NULL)
    add_notice_task_ (object, notice, task);
  if (notice != COLT_STANDIN_OVERCOMMITTED)
    return object;
  json_object_set_new (
      object, "sum",
      colt_standin_encode_resources (colt_standin_server_used (server)));
  json_object_set_new (object, "capacity",
                       colt_standin_encode_resources (&spec->capacity));
  return object;
}

bool
colt_standin_decode_spec (const json_t *object,
                          struct ColtStandinServerSpec *spec,
                          const char **address)
{
  const json_t *capacity = json_object_get (object, "capacity");
  const json_t *speed = json_object_get (object, "speed");

  *address = json_string_value (json_object_get (object, "address"));
  if (*address == NULL || !json_is_object (capacity))
    return false;
  spec->id = (uint32_t)get_number_ (object, "id");
  spec->zone = (uint32_t)get_number_ (object, "zone");
  spec->rack = (uint32_t)get_number_ (object, "rack");
  spec->speed = json_is_number (speed) ? json_number_value (speed) : 1.0;
  colt_standin_decode_resources (capacity, &spec->capacity);
  return spec->id > 0 && spec->speed > 0;
}

static int64_t
get_number_ (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static void
set_number_ (json_t *object, const char *key, int64_t number)
{
  json_object_set_new_nocheck (object, key, json_integer (number));
}

static void
set_text_ (json_t *object, const char *key, const char *text)
{
  json_object_set_new_nocheck (object, key, json_string (text));
}

static void
set_base64_ (json_t *object, const char *key, const void *data, size_t size)
{
  char *text = g_base64_encode (data, size);

  set_text_ (object, key, text);
  g_free (text);
}

/* Adds the size of the result and, if wanted, the result, which is computed
 * from the task rather than stored. The result of a stopped task is its
 * checkpoint. */
static void
add_result_ (json_t *object, const struct ColtStandinTask *task, bool result)
{
  char name[COLT_TASK_TEXT_SIZE];
  char checkpoint[32];
  uint8_t *answer;
  size_t size;

  if (task->checkpoint_ms >= 0)
    {
      g_snprintf (checkpoint, sizeof checkpoint, CHECKPOINT_FORMAT,
                  task->checkpoint_ms);
      set_base64_ (object, "result", checkpoint, strlen (checkpoint));
      set_number_ (object, "result_size", (int64_t)strlen (checkpoint));
      return;
    }
  if (task->state != COLT_TASK_FINISHED)
    return;
  colt_task_format (&task->ref, name);
  if (!result)
    {
      size = colt_standin_answer_size (name, task->payload, task->payload_size);
      set_number_ (object, "result_size", (int64_t)size);
      return;
    }
  answer = colt_standin_build_answer (name, task->payload, task->payload_size,
                                      &size);
  set_base64_ (object, "result", answer, size);
  set_number_ (object, "result_size", (int64_t)size);
  free (answer);
}

static void
add_notice_task_ (json_t *object,
                  enum ColtStandinNotice notice,
                  const struct ColtStandinTask *task)
{
  colt_standin_encode_ref (object, &task->ref);
  set_text_ (object, "team", task->team);
  set_text_ (object, "kind", colt_work_kind_string[task->kind]);
  set_number_ (object, "shard", task->shard);
  set_number_ (object, "shard_epoch", (int64_t)task->shard_epoch);
  json_object_set_new (object, "limit",
                       colt_standin_encode_resources (&task->run.limit));
  if (notice == COLT_STANDIN_REFUSED || notice == COLT_STANDIN_DUPLICATE)
    return;
  set_text_ (object, "state", colt_task_state_string[task->state]);
  if (notice != COLT_STANDIN_ENDED)
    return;
  set_number_ (object, "exit", task->exit_status);
  set_number_ (object, "run_ms",
               (task->end_us - task->start_us) / COLT_US_PER_MS);
}
