#include "answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEAD_FORMAT "answer %s seed %" PRIu64 " "
#define CHECKSUM_FORMAT " %016" PRIx64 "\n"
#define CHECKSUM_SIZE 18
#define NUMBER_MAX INT64_C (1000000000000)
#define KEY_SIZE 16
#define VALUE_SIZE 24

static const uint8_t *read_field_ (const uint8_t *text,
                                   const uint8_t *end,
                                   struct ColtStandinPayload *payload);
static void take_field_ (const char *key,
                         const char *value,
                         struct ColtStandinPayload *payload);
static int64_t read_number_ (const char *text);
static void
copy_text_ (char *to, size_t size, const uint8_t *from, size_t length);
static void fill_ (uint8_t *to, size_t size, const char *task, uint64_t seed);

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
    text = read_field_ (text, end, payload);
  if (payload->bytes > COLT_STANDIN_ANSWER_FILLER_MAX)
    payload->bytes = COLT_STANDIN_ANSWER_FILLER_MAX;
}

uint8_t *
colt_standin_answer (const char *task,
                     const uint8_t *payload,
                     size_t payload_size,
                     size_t *size)
{
  struct ColtStandinPayload read;
  uint8_t *answer;
  size_t head;

  colt_standin_payload_parse (payload, payload_size, &read);
  *size = colt_standin_answer_size (task, payload, payload_size);
  answer = malloc (*size + 1);
  if (answer == NULL)
    abort ();
  head = (size_t)sprintf ((char *)answer, HEAD_FORMAT, task, read.seed);
  fill_ (answer + head, (size_t)read.bytes, task, read.seed);
  head += (size_t)read.bytes;
  sprintf ((char *)answer + head, CHECKSUM_FORMAT,
           (uint64_t)XXH3_64bits (answer, head));
  return answer;
}

size_t
colt_standin_answer_size (const char *task,
                          const uint8_t *payload,
                          size_t payload_size)
{
  struct ColtStandinPayload read;
  int head;

  colt_standin_payload_parse (payload, payload_size, &read);
  head = snprintf (NULL, 0, HEAD_FORMAT, task, read.seed);
  return (size_t)head + (size_t)read.bytes + CHECKSUM_SIZE;
}

static const uint8_t *
read_field_ (const uint8_t *text,
             const uint8_t *end,
             struct ColtStandinPayload *payload)
{
  const uint8_t *stop = memchr (text, ';', (size_t)(end - text));
  const uint8_t *equals;
  char key[KEY_SIZE];
  char value[VALUE_SIZE];

  if (stop == NULL)
    stop = end;
  equals = memchr (text, '=', (size_t)(stop - text));
  if (equals != NULL)
    {
      copy_text_ (key, sizeof key, text, (size_t)(equals - text));
      copy_text_ (value, sizeof value, equals + 1, (size_t)(stop - equals - 1));
      take_field_ (key, value, payload);
    }
  return stop < end ? stop + 1 : end;
}

static void
take_field_ (const char *key,
             const char *value,
             struct ColtStandinPayload *payload)
{
  int64_t number = read_number_ (value);

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
read_number_ (const char *text)
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

/* Letters that depend on the task, the seed and the place. */
static void
fill_ (uint8_t *to, size_t size, const char *task, uint64_t seed)
{
  uint64_t word = XXH3_64bits_withSeed (task, strlen (task), seed);
  size_t i;

  for (i = 0; i < size; i++)
    {
      word = word * UINT64_C (6364136223846793005)
             + UINT64_C (1442695040888963407);
      to[i] = (uint8_t)('a' + (word >> 33) % 26);
    }
}
