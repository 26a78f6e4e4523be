#include "answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEAD_FORMAT "answer %s seed %" PRIu64 " "
#define CHECKSUM_FORMAT " %016" PRIx64 "\n"
/* Size of a text of CHECKSUM_FORMAT. */
#define CHECKSUM_SIZE 18
#define NUMBER_MAX INT64_C (1000000000000)
/* Longer keys and values are truncated. */
#define KEY_SIZE 16
#define VALUE_SIZE 24

static const uint8_t *parse_field_ (const uint8_t *text,
                                    const uint8_t *end,
                                    struct ColtStandinPayload *payload);
static void set_field_ (const char *key,
                        const char *value,
                        struct ColtStandinPayload *payload);
static int64_t parse_number_ (const char *text);
static void
copy_text_ (char *to, size_t size, const uint8_t *from, size_t length);
static void
fill_text_ (uint8_t *to, size_t size, const char *task, uint64_t seed);

void
colt_standin_payload_parse (const uint8_t *text,
                            size_t size,
                            struct ColtStandinPayload *payload)
{
  const uint8_t *end = size > 0 ? text + size : text;

  memset (payload, 0, sizeof *payload);
  payload->cores_milli = -1;
  payload->memory_mb = -1;
  while (text < end)
    text = parse_field_ (text, end, payload);
  if (payload->bytes > COLT_STANDIN_ANSWER_FILLER_MAX)
    payload->bytes = COLT_STANDIN_ANSWER_FILLER_MAX;
}

uint8_t *
colt_standin_build_answer (const char *task,
                           const uint8_t *payload,
                           size_t payload_size,
                           size_t *size)
{
  struct ColtStandinPayload fields;
  uint8_t *answer;
  size_t offset;

  colt_standin_payload_parse (payload, payload_size, &fields);
  *size = colt_standin_answer_size (task, payload, payload_size);
  answer = malloc (*size + 1);
  if (answer == NULL)
    abort ();
  offset = (size_t)sprintf ((char *)answer, HEAD_FORMAT, task, fields.seed);
  fill_text_ (answer + offset, (size_t)fields.bytes, task, fields.seed);
  offset += (size_t)fields.bytes;
  sprintf ((char *)answer + offset, CHECKSUM_FORMAT,
           (uint64_t)XXH3_64bits (answer, offset));
  return answer;
}

size_t
colt_standin_answer_size (const char *task,
                          const uint8_t *payload,
                          size_t payload_size)
{
  struct ColtStandinPayload fields;
  int prefix_size;

  colt_standin_payload_parse (payload, payload_size, &fields);
  prefix_size = snprintf (NULL, 0, HEAD_FORMAT, task, fields.seed);
  return (size_t)prefix_size + (size_t)fields.bytes + CHECKSUM_SIZE;
}

static const uint8_t *
parse_field_ (const uint8_t *text,
              const uint8_t *end,
              struct ColtStandinPayload *payload)
{
  const uint8_t *field_end = memchr (text, ';', (size_t)(end - text));
  const uint8_t *equals;
  char key[KEY_SIZE];
  char value[VALUE_SIZE];

  if (field_end == NULL)
    field_end = end;
  equals = memchr (text, '=', (size_t)(field_end - text));
  if (equals != NULL)
    {
      copy_text_ (key, sizeof key, text, (size_t)(equals - text));
      copy_text_ (value, sizeof value, equals + 1,
                  (size_t)(field_end - equals - 1));
      set_field_ (key, value, payload);
    }
  return field_end < end ? field_end + 1 : end;
}

static void
set_field_ (const char *key,
            const char *value,
            struct ColtStandinPayload *payload)
{
  int64_t number = parse_number_ (value);

  if (strcmp (key, "run_ms") == 0)
    payload->run_ms = number;
  else if (strcmp (key, "bytes") == 0)
    payload->bytes = number;
  else if (strcmp (key, "seed") == 0)
    payload->seed = strtoull (value, NULL, 10);
  else if (strcmp (key, "cores_milli") == 0)
    payload->cores_milli = number;
  else if (strcmp (key, "memory_mb") == 0)
    payload->memory_mb = number;
  else if (strcmp (key, "done_ms") == 0)
    payload->done_ms = number;
  else if (strcmp (key, "fail") == 0)
    payload->fail = number != 0;
  else if (strcmp (key, "forever") == 0)
    payload->forever = number != 0;
}

static int64_t
parse_number_ (const char *text)
{
  int64_t number = strtoll (text, NULL, 10);

  if (number < 0)
    return 0;
  return number < NUMBER_MAX ? number : NUMBER_MAX;
}

static void
copy_text_ (char *to, size_t size, const uint8_t *from, size_t length)
{
  if (length > size - 1)
    length = size - 1;
  memcpy (to, from, length);
  to[length] = '\0';
}

/* Fills a buffer with pseudorandom letters that are determined by the task, the
 * seed and their position. */
static void
fill_text_ (uint8_t *to, size_t size, const char *task, uint64_t seed)
{
  uint64_t state = XXH3_64bits_withSeed (task, strlen (task), seed);
  size_t i;

  for (i = 0; i < size; i++)
    {
      state = state * UINT64_C (6364136223846793005)
              + UINT64_C (1442695040888963407);
      to[i] = (uint8_t)('a' + (state >> 33) % 26);
    }
}
