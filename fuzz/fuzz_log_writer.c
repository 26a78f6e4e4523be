#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"

/* A writer and a reader against a log that refuses, loses answers, delivers
 * late and drops old records, in any order. The oracle knows what the log
 * holds and what each record's owner was told. */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define RECORDS_MAX 200u
/* An input is played so often, so that short ones reach far. */
#define ROUNDS 6u
#define INSTANCES 8u
#define INTERVAL_US (COLT_US_PER_S * INSTANCES / COLT_LOG_FLEET_APPENDS_PER_S)

enum ColtFuzzOp
{
  COLT_FUZZ_ADD,
  COLT_FUZZ_PROCESS,
  COLT_FUZZ_EFFECT, /* the open append is on the log before its answer */
  COLT_FUZZ_APPENDED,
  COLT_FUZZ_THROTTLED,
  COLT_FUZZ_REFUSED,
  COLT_FUZZ_LOST_WRITTEN,
  COLT_FUZZ_LOST_LATE, /* reaches the log at a later LAND, if at all */
  COLT_FUZZ_LAND,
  COLT_FUZZ_SEND_READ,
  COLT_FUZZ_ANSWER_READ,
  COLT_FUZZ_FAIL_READ,
  COLT_FUZZ_DROP_OLDEST,
  COLT_FUZZ_WAIT,
  COLT_FUZZ_OP_COUNT
};

struct ColtFuzzRecord
{
  unsigned written; /* copies on the log, also dropped ones */
  unsigned read;
  unsigned ends;
  enum ColtLogWriteResult result;
};

struct ColtFuzzWorld
{
  int64_t now_us;
  int64_t sent_us; /* of the last append */
  struct ColtLogWriter *writer;
  struct ColtLogReader *reader;
  GPtrArray *log; /* of GBytes */
  guint first;
  GPtrArray *late; /* of GBytes */
  GBytes *open;
  bool effective; /* the open append is on the log */
  guint offset;   /* where */
  bool reading;
  struct ColtLogReadCall call;
  int64_t read_sent_us;
  guint head_sent; /* head when the read was sent */
  struct ColtFuzzRecord records[RECORDS_MAX];
  unsigned count;
};

static struct ColtFuzzWorld world;

static void
require_ (bool condition)
{
  if (!condition)
    __builtin_trap ();
}

static uint32_t
random_ (void *client)
{
  (void)client;
  return 12345;
}

static unsigned
number_of_ (const struct ColtLogItem *item)
{
  require_ (item->id.bytes[0] < world.count);
  return item->id.bytes[0];
}

static void
count_written_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  world.records[number_of_ (item)].written++;
}

static void
take_record_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  require_ (++world.records[number_of_ (item)].read == 1);
  colt_log_writer_confirm_record (world.writer, world.now_us, &item->id,
                                  item->offset);
}

static void
take_duplicate_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  require_ (world.records[number_of_ (item)].written > 1);
  colt_log_writer_confirm_record (world.writer, world.now_us, &item->id,
                                  item->offset);
}

static const struct ColtLogReaderHandler handler
    = { take_record_, take_duplicate_, NULL, NULL };

static void
take_end_ (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtFuzzRecord *record = client;

  require_ (++record->ends == 1);
  record->result = result;
  if (result == COLT_LOG_WRITE_DONE)
    require_ (record->written > 0 && offset < world.log->len);
}

static void
add_ (uint8_t argument)
{
  struct ColtLogItem item = { 0 };
  int64_t deadline_us = world.now_us + argument * 20 * COLT_US_PER_MS;

  if (world.count == RECORDS_MAX)
    return;
  item.id.bytes[0] = (uint8_t)world.count;
  require_ (colt_log_writer_add (world.writer, &item,
                                 argument == 0 ? COLT_TIME_NEVER : deadline_us,
                                 take_end_, &world.records[world.count])
            == COLT_LOG_ADD_QUEUED);
  world.count++;
}

static void
write_ (GBytes *bytes)
{
  gsize size;
  const uint8_t *body = g_bytes_get_data (bytes, &size);

  require_ (colt_log_batch_decode (world.log->len, body, size, count_written_,
                                   NULL, NULL));
  g_ptr_array_add (world.log, g_bytes_ref (bytes));
}

static void
process_ (void)
{
  size_t size;
  const uint8_t *body
      = colt_log_writer_process (world.writer, world.now_us, &size);

  if (body == NULL)
    return;
  require_ (world.open == NULL);
  require_ (world.now_us - world.sent_us >= INTERVAL_US);
  world.sent_us = world.now_us;
  world.open = g_bytes_new (body, size);
  world.effective = false;
}

static void
take_effect_ (void)
{
  if (world.open == NULL || world.effective)
    return;
  write_ (world.open);
  world.effective = true;
  world.offset = world.log->len - 1;
}

static void
end_append_ (enum ColtLogResult result, bool written, bool late)
{
  if (world.open == NULL)
    return;
  if (world.effective
      && (result == COLT_LOG_REFUSED || result == COLT_LOG_THROTTLED))
    result = COLT_LOG_UNKNOWN;
  if (written)
    take_effect_ ();
  if (late)
    g_ptr_array_add (world.late, g_bytes_ref (world.open));
  g_clear_pointer (&world.open, g_bytes_unref);
  colt_log_writer_end_append (world.writer, world.now_us, result, world.offset);
}

static void
land_ (void)
{
  if (world.late->len == 0)
    return;
  write_ (g_ptr_array_index (world.late, 0));
  g_ptr_array_remove_index (world.late, 0);
}

static void
send_read_ (void)
{
  if (!colt_log_reader_begin_read (world.reader, world.now_us, &world.call))
    return;
  world.reading = true;
  world.read_sent_us = world.now_us;
  world.head_sent = world.log->len;
}

static void
check_fresh_ (void)
{
  require_ (colt_log_reader_offset (world.reader) >= world.head_sent);
  require_ (colt_log_reader_fresh_us (world.reader) <= world.read_sent_us);
}

static void
answer_read_ (uint8_t argument)
{
  struct ColtLogEntry *entries
      = g_new0 (struct ColtLogEntry, world.log->len + 1);
  struct ColtLogPage page = { world.first, world.log->len, entries, 0 };
  int64_t fresh_us = colt_log_reader_fresh_us (world.reader);
  guint64 offset = MAX (world.call.from, world.first);

  if (world.reading)
    {
      for (; offset < world.log->len && page.count <= argument; offset++)
        {
          struct ColtLogEntry *entry = &entries[page.count++];

          entry->offset = offset;
          entry->body = g_bytes_get_data (g_ptr_array_index (world.log, offset),
                                          &entry->size);
        }
      world.reading = false;
      require_ (
          colt_log_reader_end_read (world.reader, world.now_us, &page, NULL));
      if (colt_log_reader_fresh_us (world.reader) > fresh_us)
        check_fresh_ ();
      colt_log_writer_requeue_missing (world.writer,
                                       colt_log_reader_fresh_us (world.reader));
    }
  g_free (entries);
}

static void
fail_read_ (void)
{
  if (!world.reading)
    return;
  world.reading = false;
  colt_log_reader_end_read (world.reader, world.now_us, NULL, NULL);
}

static void
step_ (enum ColtFuzzOp op, uint8_t argument)
{
  world.now_us += COLT_US_PER_MS;
  switch (op)
    {
    case COLT_FUZZ_ADD:
      add_ (argument);
      break;
    case COLT_FUZZ_PROCESS:
      process_ ();
      break;
    case COLT_FUZZ_EFFECT:
      take_effect_ ();
      break;
    case COLT_FUZZ_APPENDED:
      end_append_ (COLT_LOG_APPENDED, true, false);
      break;
    case COLT_FUZZ_THROTTLED:
      end_append_ (COLT_LOG_THROTTLED, false, false);
      break;
    case COLT_FUZZ_REFUSED:
      end_append_ (COLT_LOG_REFUSED, false, false);
      break;
    case COLT_FUZZ_LOST_WRITTEN:
      end_append_ (COLT_LOG_UNKNOWN, true, argument % 2 == 1);
      break;
    case COLT_FUZZ_LOST_LATE:
      end_append_ (COLT_LOG_UNKNOWN, false, true);
      break;
    case COLT_FUZZ_LAND:
      land_ ();
      break;
    case COLT_FUZZ_SEND_READ:
      send_read_ ();
      break;
    case COLT_FUZZ_ANSWER_READ:
      answer_read_ (argument);
      break;
    case COLT_FUZZ_FAIL_READ:
      fail_read_ ();
      break;
    case COLT_FUZZ_DROP_OLDEST:
      world.first = MIN (world.first + argument % 3, world.log->len);
      break;
    case COLT_FUZZ_WAIT:
    case COLT_FUZZ_OP_COUNT:
      world.now_us += argument * COLT_US_PER_MS;
      break;
    }
}

/* Ends everything, and checks what the owners were told against the log. */
static void
finish_ (void)
{
  unsigned i;

  end_append_ (COLT_LOG_APPENDED, true, false);
  while (world.late->len > 0)
    land_ ();
  colt_log_writer_abandon (world.writer);
  for (i = 0; i < world.count; i++)
    {
      const struct ColtFuzzRecord *record = &world.records[i];

      require_ (record->ends == 1);
      if (record->result == COLT_LOG_WRITE_NOT_DONE)
        require_ (record->written == 0);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  unsigned round;
  size_t i;

  memset (&world, 0, sizeof world);
  world.now_us = COLT_US_PER_S;
  world.writer = colt_log_writer_create (1, random_, NULL);
  world.reader = colt_log_reader_create (0, &handler, NULL, random_, NULL);
  world.log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  world.late = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  colt_log_writer_set_instances (world.writer, INSTANCES);
  for (round = 0; round < ROUNDS; round++)
    for (i = 0; i + 1 < size; i += 2)
      step_ ((enum ColtFuzzOp) (data[i] % COLT_FUZZ_OP_COUNT), data[i + 1]);
  finish_ ();
  colt_log_writer_destroy (world.writer);
  colt_log_reader_destroy (world.reader);
  g_ptr_array_unref (world.log);
  g_ptr_array_unref (world.late);
  return 0;
}
