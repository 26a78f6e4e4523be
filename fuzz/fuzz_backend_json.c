/* Fuzzes the JSON decoders of the backend client with whole bodies and with
 * edited copies of valid ones. */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "backend_json.h"
#include "bodies.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define BODY_MAX 4096u
/* Input bytes per edit of a valid body: two of offset, one of new text. */
#define EDIT_SIZE 3u
/* Set in the first byte of inputs that hold edits; others hold a whole body. */
#define EDITED 0x80u

static const char *const valid_bodies[] = {
  INVENTORY (RUNNING "," FINISHED, "[5,8]"),
  EVENTS (EVENT ("8") "," EVENT ("9")),
  DESCRIPTION ("2"),
  LEASE,
  FENCED,
  CHANGE_ANSWER (RESULT ("refused")),
  FINISHED,
};

enum
{
  BODY_KINDS = sizeof valid_bodies / sizeof valid_bodies[0]
};

/* Checks the ranges of a decoded task and reads all bytes of its result. */
static void
check_task_ (const struct ColtTaskReport *task)
{
  uint32_t sum = 0;
  size_t i;

  if (task->shard >= COLT_SHARD_COUNT || task->kind >= COLT_WORK_KIND_COUNT
      || strlen (task->team) >= COLT_NAME_SIZE || task->run_ms < 0)
    __builtin_trap ();
  for (i = 0; task->result != NULL && i < task->result_size; i++)
    sum += task->result[i];
  if (sum > task->result_size * 255)
    __builtin_trap ();
}

static void
decode_inventory_ (struct ColtBackendDecoder *decoder,
                   const char *text,
                   size_t size)
{
  struct ColtBackendInventory out;
  size_t i;

  if (!colt_backend_decode_inventory (decoder, text, size, &out, NULL))
    return;
  for (i = 0; i < out.task_count; i++)
    check_task_ (&out.tasks[i]);
  for (i = 0; i < out.epoch_count; i++)
    if (out.epochs[i].shard >= COLT_SHARD_COUNT)
      __builtin_trap ();
}

static void
decode_events_ (struct ColtBackendDecoder *decoder,
                const char *text,
                size_t size)
{
  struct ColtBackendEvents out;
  uint64_t last = 3;
  size_t i;

  if (!colt_backend_decode_events (decoder, text, size, last, &out, NULL))
    return;
  for (i = 0; i < out.count; i++)
    {
      if (out.events[i].seq <= last)
        __builtin_trap ();
      last = out.events[i].seq;
      check_task_ (&out.events[i].task);
    }
}

/* Decodes a body whose index in valid_bodies is kind + 2. */
static void
decode_other_ (struct ColtBackendDecoder *decoder,
               uint8_t kind,
               const char *text,
               size_t size)
{
  const struct ColtTaskRef refs[1] = { { { { 1, 1 } }, 3, 2 } };
  struct ColtBackendDescription description;
  struct ColtBackendLease lease;
  struct ColtBackendChangeAnswer changed;
  struct ColtBackendFence fence;
  struct ColtTaskReport task;

  if (kind == 0)
    colt_backend_decode_description (decoder, text, size, &description, NULL);
  else if (kind == 1)
    colt_backend_decode_lease (decoder, text, size, &lease, NULL);
  else if (kind == 2)
    colt_backend_decode_fence (decoder, text, size, &fence, NULL);
  else if (kind == 3)
    colt_backend_decode_change_answer (decoder, text, size, refs, 1, &changed,
                                       NULL);
  else if (colt_backend_decode_task (decoder, text, size, refs, &task, NULL))
    check_task_ (&task);
}

static size_t
apply_edits_ (char *body, const char *text, const uint8_t *edits, size_t size)
{
  size_t length = strlen (text);
  size_t i;

  memcpy (body, text, length + 1);
  for (i = 0; i + EDIT_SIZE <= size; i += EDIT_SIZE)
    {
      size_t offset = (size_t)edits[i] << 8 | edits[i + 1];

      body[offset % length] = (char)edits[i + 2];
    }
  return length;
}

static void
decode_body_ (uint8_t kind, const char *text, size_t size)
{
  struct ColtBackendDecoder *decoder = colt_backend_decoder_create ("peer");

  if (kind == 0)
    decode_inventory_ (decoder, text, size);
  else if (kind == 1)
    decode_events_ (decoder, text, size);
  else
    decode_other_ (decoder, kind - 2, text, size);
  colt_backend_decoder_destroy (decoder);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char body[BODY_MAX];
  uint8_t kind;

  if (size == 0)
    return 0;
  kind = (data[0] & ~EDITED) % BODY_KINDS;
  if ((data[0] & EDITED) == 0)
    decode_body_ (kind, (const char *)data + 1, size - 1);
  else
    decode_body_ (kind, body,
                  apply_edits_ (body, valid_bodies[kind], data + 1, size - 1));
  return 0;
}
