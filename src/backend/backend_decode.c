#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend_json.h"

struct ColtBackendDecoder
{
  char *peer;
  GPtrArray *blocks; /* memory that decoded answers point into */
};

const char *const colt_backend_result_string[]
    = { "ok", "fenced", "refused", "not_sent", "unknown" };
const char *const colt_backend_start_status_string[]
    = { "started", "duplicate", "refused" };
const char *const colt_backend_event_kind_string[]
    = { "finished", "usage", "lapsed", "stopped" };
static const char *const server_state_string[] = { "live", "leaving" };

static void *
allocate_ (struct ColtBackendDecoder *decoder, size_t count, size_t size);
static bool fail_ (const struct ColtJsonContext *context, const char *reason);
static bool get_fence_ (const struct ColtJsonContext *context,
                        const json_t *object,
                        struct ColtBackendFence *out);
static bool get_leaving_ (const struct ColtJsonContext *context,
                          const json_t *object,
                          bool *leaving);
static bool get_token_ (const struct ColtJsonContext *context,
                        const json_t *object,
                        char token[COLT_BACKEND_TOKEN_SIZE]);
static bool get_resources_ (const struct ColtJsonContext *context,
                            const json_t *object,
                            const char *name,
                            struct ColtResources *out);
static bool get_ref_ (const struct ColtJsonContext *context,
                      const json_t *object,
                      struct ColtTaskRef *ref);
static bool get_task_ (struct ColtBackendDecoder *decoder,
                       const struct ColtJsonContext *context,
                       const json_t *object,
                       const char *kind_key,
                       struct ColtTaskReport *out);
static bool get_names_ (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *kind_key,
                        struct ColtTaskReport *out);
static bool get_exit_ (const struct ColtJsonContext *context,
                       const json_t *object,
                       struct ColtTaskReport *out);
static bool get_result_ (struct ColtBackendDecoder *decoder,
                         const struct ColtJsonContext *context,
                         const json_t *object,
                         struct ColtTaskReport *out);
static bool get_tasks_ (struct ColtBackendDecoder *decoder,
                        const struct ColtJsonContext *context,
                        const json_t *root,
                        struct ColtBackendInventory *out);
static bool get_shard_epochs_ (struct ColtBackendDecoder *decoder,
                               const struct ColtJsonContext *context,
                               const json_t *root,
                               struct ColtBackendInventory *out);
static bool get_shard_epoch_ (const struct ColtJsonContext *context,
                              const json_t *pair,
                              struct ColtBackendShardEpoch *out);
static bool get_results_ (struct ColtBackendDecoder *decoder,
                          const struct ColtJsonContext *context,
                          const json_t *root,
                          const struct ColtTaskRef *refs,
                          size_t ref_count,
                          struct ColtBackendChangeAnswer *out);
static bool get_start_result_ (const struct ColtJsonContext *context,
                               const json_t *object,
                               const struct ColtTaskRef *ref,
                               struct ColtBackendStartResult *out);
static bool get_events_ (struct ColtBackendDecoder *decoder,
                         const struct ColtJsonContext *context,
                         const json_t *root,
                         uint64_t after,
                         struct ColtBackendEvents *out);
static bool get_event_ (struct ColtBackendDecoder *decoder,
                        const struct ColtJsonContext *context,
                        const json_t *object,
                        uint64_t after,
                        struct ColtBackendEvent *out);

struct ColtBackendDecoder *
colt_backend_decoder_create (const char *peer)
{
  struct ColtBackendDecoder *decoder = g_new0 (struct ColtBackendDecoder, 1);

  decoder->peer = g_strdup (peer);
  decoder->blocks = g_ptr_array_new_with_free_func (free);
  return decoder;
}

void
colt_backend_decoder_destroy (struct ColtBackendDecoder *decoder)
{
  if (decoder == NULL)
    return;
  g_ptr_array_unref (decoder->blocks);
  g_free (decoder->peer);
  g_free (decoder);
}

bool
colt_backend_decode_description (struct ColtBackendDecoder *decoder,
                                 const char *text,
                                 size_t size,
                                 struct ColtBackendDescription *out,
                                 struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL && colt_json_get_u32 (&context, root, "id", 1, &out->id)
         && colt_json_get_u32 (&context, root, "zone", 1, &out->zone)
         && colt_json_get_u32 (&context, root, "rack", 0, &out->rack)
         && get_resources_ (&context, root, "capacity", &out->capacity)
         && get_leaving_ (&context, root, &out->leaving)
         && get_fence_ (&context, root, &out->fence);
  json_decref (root);
  return good;
}

bool
colt_backend_decode_lease (struct ColtBackendDecoder *decoder,
                           const char *text,
                           size_t size,
                           struct ColtBackendLease *out,
                           struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL
         && colt_json_get_u64 (&context, root, "epoch", &out->epoch)
         && get_token_ (&context, root, out->token)
         && colt_json_get_integer (&context, root, "lease_ms", 0, INT32_MAX,
                                   &out->lease_ms)
         && get_leaving_ (&context, root, &out->leaving);
  json_decref (root);
  return good;
}

bool
colt_backend_decode_inventory (struct ColtBackendDecoder *decoder,
                               const char *text,
                               size_t size,
                               struct ColtBackendInventory *out,
                               struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL && get_token_ (&context, root, out->token)
         && get_tasks_ (decoder, &context, root, out)
         && get_shard_epochs_ (decoder, &context, root, out)
         && (json_object_get (root, "next") == NULL
             || colt_json_get_u64 (&context, root, "next", &out->next))
         && (json_object_get (root, "memory_ms") == NULL
             || colt_json_get_integer (&context, root, "memory_ms", 0,
                                       INT64_MAX, &out->history_ms));
  json_decref (root);
  return good;
}

bool
colt_backend_decode_change_answer (struct ColtBackendDecoder *decoder,
                                   const char *text,
                                   size_t size,
                                   const struct ColtTaskRef *refs,
                                   size_t ref_count,
                                   struct ColtBackendChangeAnswer *out,
                                   struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL && get_token_ (&context, root, out->token)
         && get_results_ (decoder, &context, root, refs, ref_count, out);
  json_decref (root);
  return good;
}

bool
colt_backend_decode_events (struct ColtBackendDecoder *decoder,
                            const char *text,
                            size_t size,
                            uint64_t after,
                            struct ColtBackendEvents *out,
                            struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL && get_token_ (&context, root, out->token)
         && colt_json_get_u64 (&context, root, "next", &out->next)
         && get_leaving_ (&context, root, &out->leaving)
         && get_events_ (decoder, &context, root, after, out);
  json_decref (root);
  return good;
}

bool
colt_backend_decode_task (struct ColtBackendDecoder *decoder,
                          const char *text,
                          size_t size,
                          const struct ColtTaskRef *ref,
                          struct ColtTaskReport *out,
                          struct ColtError *error)
{
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL && get_task_ (decoder, &context, root, "kind", out);
  json_decref (root);
  if (!good)
    return false;
  return colt_task_equal (&out->ref, ref)
         || fail_ (&context, "the answer is for another task");
}

bool
colt_backend_decode_fence (struct ColtBackendDecoder *decoder,
                           const char *text,
                           size_t size,
                           struct ColtBackendFence *out,
                           struct ColtError *error)
{
  static const char *const names[] = { "fenced" };
  const struct ColtJsonContext context = { decoder->peer, error };
  json_t *root = colt_json_parse (&context, text, size);
  int index;
  bool good;

  memset (out, 0, sizeof *out);
  good = root != NULL
         && colt_json_get_enum (&context, root, "error", names, 1, &index)
         && get_fence_ (&context, root, out);
  json_decref (root);
  return good;
}

/* Allocates zeroed memory that the decoder frees. The spare item avoids a
 * request for 0 bytes, for which calloc() may return NULL. */
static void *
allocate_ (struct ColtBackendDecoder *decoder, size_t count, size_t size)
{
  void *block = calloc (count + 1, size);

  if (block == NULL)
    abort ();
  g_ptr_array_add (decoder->blocks, block);
  return block;
}

static bool
fail_ (const struct ColtJsonContext *context, const char *reason)
{
  return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                         context->peer, "%s", reason);
}

static bool
get_fence_ (const struct ColtJsonContext *context,
            const json_t *object,
            struct ColtBackendFence *out)
{
  return colt_json_get_u64 (context, object, "epoch", &out->epoch)
         && colt_json_get_u32 (context, object, "owner", 0, &out->owner)
         && colt_json_get_integer (context, object, "remaining_ms", 0,
                                   INT32_MAX, &out->remaining_ms);
}

/* Reads the member "state", which only a description must have. A server
 * without it is live. */
static bool
get_leaving_ (const struct ColtJsonContext *context,
              const json_t *object,
              bool *leaving)
{
  int index = 0;

  if (json_object_get (object, "state") != NULL
      && !colt_json_get_enum (context, object, "state", server_state_string,
                              G_N_ELEMENTS (server_state_string), &index))
    return false;
  *leaving = index == 1;
  return true;
}

static bool
get_token_ (const struct ColtJsonContext *context,
            const json_t *object,
            char token[COLT_BACKEND_TOKEN_SIZE])
{
  int64_t number;

  if (!colt_json_get_integer (context, object, "token", 1, INT64_MAX, &number))
    return false;
  snprintf (token, COLT_BACKEND_TOKEN_SIZE, "%" PRId64, number);
  return true;
}

static bool
get_resources_ (const struct ColtJsonContext *context,
                const json_t *object,
                const char *name,
                struct ColtResources *out)
{
  const json_t *amounts;
  int i;

  if (!colt_json_get_object (context, object, name, &amounts))
    return false;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (!colt_json_get_integer (context, amounts, colt_resource_string[i], 0,
                                INT64_MAX / 1024, &out->amount[i]))
      return false;
  return true;
}

static bool
get_ref_ (const struct ColtJsonContext *context,
          const json_t *object,
          struct ColtTaskRef *ref)
{
  const char *name;
  uint32_t attempt;

  if (!colt_json_get_string (context, object, "task", &name)
      || !colt_json_get_u32 (context, object, "attempt", 1, &attempt))
    return false;
  if (!colt_task_parse (name, ref, NULL))
    return fail_ (context, "\"task\" is not a task's name");
  ref->attempt = attempt;
  return true;
}

/* Reads a task's report. The kind of work is in the member kind_key: "kind", or
 * "work_kind" in an event, whose "kind" is the kind of the event. */
static bool
get_task_ (struct ColtBackendDecoder *decoder,
           const struct ColtJsonContext *context,
           const json_t *object,
           const char *kind_key,
           struct ColtTaskReport *out)
{
  return get_ref_ (context, object, &out->ref)
         && get_names_ (context, object, kind_key, out)
         && colt_json_get_u32 (context, object, "shard", 0, &out->shard)
         && (out->shard < COLT_SHARD_COUNT
             || fail_ (context, "\"shard\" is out of range"))
         && colt_json_get_u64 (context, object, "shard_epoch",
                               &out->shard_epoch)
         && get_resources_ (context, object, "limit", &out->limit)
         && get_resources_ (context, object, "usage", &out->usage)
         && colt_json_get_integer (context, object, "run_ms", 0,
                                   INT64_MAX / 1024, &out->run_ms)
         && get_exit_ (context, object, out)
         && get_result_ (decoder, context, object, out);
}

/* Reads the team, the kind of work and the state. */
static bool
get_names_ (const struct ColtJsonContext *context,
            const json_t *object,
            const char *kind_key,
            struct ColtTaskReport *out)
{
  int kind;
  int state;

  if (!colt_json_copy_string (context, object, "team", out->team,
                              sizeof out->team)
      || !colt_json_get_enum (context, object, kind_key, colt_work_kind_string,
                              COLT_WORK_KIND_COUNT, &kind)
      || !colt_json_get_enum (context, object, "state", colt_task_state_string,
                              COLT_TASK_STOPPED + 1, &state))
    return false;
  out->kind = (enum ColtWorkKind)kind;
  out->state = (enum ColtTaskState)state;
  return true;
}

static bool
get_exit_ (const struct ColtJsonContext *context,
           const json_t *object,
           struct ColtTaskReport *out)
{
  int64_t number;

  if (out->state == COLT_TASK_RUNNING)
    return true;
  if (!colt_json_get_integer (context, object, "exit", INT32_MIN, INT32_MAX,
                              &number))
    return false;
  out->exit_status = (int)number;
  return true;
}

/* Reads the optional members "result_size" and "result"; a result must have the
 * size that "result_size" announces. */
static bool
get_result_ (struct ColtBackendDecoder *decoder,
             const struct ColtJsonContext *context,
             const json_t *object,
             struct ColtTaskReport *out)
{
  uint64_t announced = 0;
  uint8_t *bytes;
  size_t size;

  if (json_object_get (object, "result_size") != NULL
      && !colt_json_get_u64 (context, object, "result_size", &announced))
    return false;
  out->result_size = announced;
  if (json_object_get (object, "result") == NULL)
    return true;
  if (!colt_json_get_bytes (context, object, "result", &bytes, &size))
    return false;
  g_ptr_array_add (decoder->blocks, bytes);
  out->result = bytes;
  return size == announced
         || fail_ (context, "\"result\" has another size than \"result_size\"");
}

static bool
get_tasks_ (struct ColtBackendDecoder *decoder,
            const struct ColtJsonContext *context,
            const json_t *root,
            struct ColtBackendInventory *out)
{
  struct ColtTaskReport *tasks;
  const json_t *array;
  size_t i;

  if (!colt_json_get_array (context, root, "tasks", &array))
    return false;
  out->task_count = json_array_size (array);
  tasks = allocate_ (decoder, out->task_count, sizeof *tasks);
  out->tasks = tasks;
  for (i = 0; i < out->task_count; i++)
    if (!get_task_ (decoder, context, json_array_get (array, i), "kind",
                    &tasks[i]))
      return false;
  return true;
}

static bool
get_shard_epochs_ (struct ColtBackendDecoder *decoder,
                   const struct ColtJsonContext *context,
                   const json_t *root,
                   struct ColtBackendInventory *out)
{
  struct ColtBackendShardEpoch *epochs;
  const json_t *array;
  size_t i;

  if (!colt_json_get_array (context, root, "shard_epochs", &array))
    return false;
  out->epoch_count = json_array_size (array);
  epochs = allocate_ (decoder, out->epoch_count, sizeof *epochs);
  out->epochs = epochs;
  for (i = 0; i < out->epoch_count; i++)
    if (!get_shard_epoch_ (context, json_array_get (array, i), &epochs[i]))
      return false;
  return true;
}

static bool
get_shard_epoch_ (const struct ColtJsonContext *context,
                  const json_t *pair,
                  struct ColtBackendShardEpoch *out)
{
  const json_t *shard = json_array_get (pair, 0);
  const json_t *epoch = json_array_get (pair, 1);

  if (json_array_size (pair) != 2 || !json_is_integer (shard)
      || !json_is_integer (epoch))
    return fail_ (context,
                  "\"shard_epochs\" is not a list of pairs of integers");
  if (json_integer_value (shard) < 0
      || json_integer_value (shard) >= COLT_SHARD_COUNT
      || json_integer_value (epoch) < 0)
    return fail_ (context, "\"shard_epochs\" is out of range");
  out->shard = (uint32_t)json_integer_value (shard);
  out->epoch = (uint64_t)json_integer_value (epoch);
  return true;
}

static bool
get_results_ (struct ColtBackendDecoder *decoder,
              const struct ColtJsonContext *context,
              const json_t *root,
              const struct ColtTaskRef *refs,
              size_t ref_count,
              struct ColtBackendChangeAnswer *out)
{
  struct ColtBackendStartResult *results;
  const json_t *array;
  size_t i;

  if (!colt_json_get_array (context, root, "results", &array))
    return false;
  if (json_array_size (array) != ref_count)
    return fail_ (context, "the numbers of starts and results differ");
  results = allocate_ (decoder, ref_count, sizeof *results);
  out->results = results;
  out->result_count = ref_count;
  for (i = 0; i < ref_count; i++)
    if (!get_start_result_ (context, json_array_get (array, i), &refs[i],
                            &results[i]))
      return false;
  return true;
}

static bool
get_start_result_ (const struct ColtJsonContext *context,
                   const json_t *object,
                   const struct ColtTaskRef *ref,
                   struct ColtBackendStartResult *out)
{
  int status;

  if (!get_ref_ (context, object, &out->ref))
    return false;
  if (!colt_task_equal (&out->ref, ref))
    return fail_ (context, "a result is for another start");
  if (!colt_json_get_enum (context, object, "status",
                           colt_backend_start_status_string,
                           COLT_BACKEND_START_REFUSED + 1, &status))
    return false;
  out->status = (enum ColtBackendStartStatus)status;
  if (out->status != COLT_BACKEND_START_REFUSED)
    return true;
  return colt_json_copy_string (context, object, "reason", out->reason,
                                sizeof out->reason);
}

static bool
get_events_ (struct ColtBackendDecoder *decoder,
             const struct ColtJsonContext *context,
             const json_t *root,
             uint64_t after,
             struct ColtBackendEvents *out)
{
  struct ColtBackendEvent *events;
  const json_t *array;
  size_t i;

  if (!colt_json_get_array (context, root, "events", &array))
    return false;
  out->count = json_array_size (array);
  events = allocate_ (decoder, out->count, sizeof *events);
  out->events = events;
  for (i = 0; i < out->count; i++)
    {
      if (!get_event_ (decoder, context, json_array_get (array, i), after,
                       &events[i]))
        return false;
      after = events[i].seq;
    }
  return out->next >= after
         || fail_ (context, "\"next\" is lower than the last \"seq\"");
}

static bool
get_event_ (struct ColtBackendDecoder *decoder,
            const struct ColtJsonContext *context,
            const json_t *object,
            uint64_t after,
            struct ColtBackendEvent *out)
{
  int kind;

  if (!colt_json_get_u64 (context, object, "seq", &out->seq))
    return false;
  if (out->seq <= after)
    return fail_ (context, "\"seq\" doesn't increase");
  if (!colt_json_get_enum (context, object, "kind",
                           colt_backend_event_kind_string,
                           COLT_BACKEND_EVENT_STOPPED + 1, &kind))
    return false;
  out->kind = (enum ColtBackendEventKind)kind;
  return get_task_ (decoder, context, object, "work_kind", &out->task);
}
