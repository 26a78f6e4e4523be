/* Fuzzes the log writer and reader against a simulated log that refuses
 * appends, loses responses, writes late and drops old records in any order. The
 * oracle tracks what the log holds and the result reported for each record. */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define RECORDS_MAX 200u
/* Times that an input is repeated, so that short inputs reach late states. */
#define ROUNDS 6u
#define INSTANCES 8u
#define INTERVAL_US (COLT_US_PER_S * INSTANCES / COLT_LOG_FLEET_APPENDS_PER_S)

enum ColtFuzzOp
{
  COLT_FUZZ_ADD,
  COLT_FUZZ_PROCESS,       /* processes the writer, which may send an append */
  COLT_FUZZ_WRITE_PENDING, /* writes the pending append before its response */
  COLT_FUZZ_APPENDED,
  COLT_FUZZ_THROTTLED,
  COLT_FUZZ_REFUSED,
  COLT_FUZZ_LOST_WRITTEN, /* response lost, append written */
  COLT_FUZZ_LOST_LATE,    /* response lost, append late or never */
  COLT_FUZZ_WRITE_LATE,   /* writes the oldest late append */
  COLT_FUZZ_SEND_READ,
  COLT_FUZZ_COMPLETE_READ,
  COLT_FUZZ_FAIL_READ,
  COLT_FUZZ_DROP_OLDEST,
  COLT_FUZZ_WAIT,
  COLT_FUZZ_OP_COUNT
};

struct ColtFuzzRecord
{
  unsigned written;    /* copies written to the log, also those dropped since */
  unsigned read_count; /* deliveries as a new record */
  unsigned result_count; /* reported results */
  enum ColtLogWriteResult result;
};

struct ColtFuzzSim
{
  int64_t now_us;
  int64_t append_sent_us; /* time of the last append */
  struct ColtLogWriter *writer;
  struct ColtLogReader *reader;
  GPtrArray *log;       /* of GBytes */
  guint first_offset;   /* oldest offset kept */
  GPtrArray *late;      /* of GBytes, appends to be written later */
  GBytes *pending;      /* append without a response so far */
  bool pending_written; /* the pending append is on the log */
  guint offset;         /* of the pending append, if written */
  bool reading;
  struct ColtLogReadCall call;
  int64_t read_sent_us;
  guint head_at_read; /* next offset of the log when the read was sent */
  struct ColtFuzzRecord records[RECORDS_MAX];
  unsigned count;
};

static struct ColtFuzzSim sim;

static void
require_ (bool condition)
{
  if (!condition)
    __builtin_trap ();
}

static uint32_t
draw_number_ (void *client)
{
  (void)client;
  return 12345;
}

static unsigned
find_record_ (const struct ColtLogItem *item)
{
  require_ (item->id.bytes[0] < sim.count);
  return item->id.bytes[0];
}

static void
count_written_record_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  sim.records[find_record_ (item)].written++;
}

static void
handle_record_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  require_ (++sim.records[find_record_ (item)].read_count == 1);
  colt_log_writer_confirm_record (sim.writer, sim.now_us, &item->id,
                                  item->offset);
}

static void
handle_duplicate_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  require_ (sim.records[find_record_ (item)].written > 1);
  colt_log_writer_confirm_record (sim.writer, sim.now_us, &item->id,
                                  item->offset);
}

static const struct ColtLogReaderHandler reader_handler
    = { handle_record_, handle_duplicate_, NULL, NULL };

static void
record_result_ (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtFuzzRecord *record = client;

  require_ (++record->result_count == 1);
  record->result = result;
  if (result == COLT_LOG_WRITE_DONE)
    require_ (record->written > 0 && offset < sim.log->len);
}

static void
add_record_ (uint8_t argument)
{
  struct ColtLogItem item = { 0 };
  int64_t deadline_us = sim.now_us + argument * 20 * COLT_US_PER_MS;

  if (sim.count == RECORDS_MAX)
    return;
  item.id.bytes[0] = (uint8_t)sim.count;
  require_ (colt_log_writer_add (sim.writer, &item,
                                 argument == 0 ? COLT_TIME_NEVER : deadline_us,
                                 record_result_, &sim.records[sim.count])
            == COLT_LOG_ADD_QUEUED);
  sim.count++;
}

static void
write_batch_ (GBytes *bytes)
{
  gsize size;
  const uint8_t *body = g_bytes_get_data (bytes, &size);

  require_ (colt_log_batch_decode (sim.log->len, body, size,
                                   count_written_record_, NULL, NULL));
  g_ptr_array_add (sim.log, g_bytes_ref (bytes));
}

static void
start_append_ (void)
{
  size_t size;
  const uint8_t *body = colt_log_writer_process (sim.writer, sim.now_us, &size);

  if (body == NULL)
    return;
  require_ (sim.pending == NULL);
  require_ (sim.now_us - sim.append_sent_us >= INTERVAL_US);
  sim.append_sent_us = sim.now_us;
  sim.pending = g_bytes_new (body, size);
  sim.pending_written = false;
}

static void
write_pending_ (void)
{
  if (sim.pending == NULL || sim.pending_written)
    return;
  write_batch_ (sim.pending);
  sim.pending_written = true;
  sim.offset = sim.log->len - 1;
}

static void
end_append_ (enum ColtLogResult result, bool written, bool late)
{
  if (sim.pending == NULL)
    return;
  if (sim.pending_written
      && (result == COLT_LOG_REFUSED || result == COLT_LOG_THROTTLED))
    result = COLT_LOG_UNKNOWN;
  if (written)
    write_pending_ ();
  if (late)
    g_ptr_array_add (sim.late, g_bytes_ref (sim.pending));
  g_clear_pointer (&sim.pending, g_bytes_unref);
  colt_log_writer_end_append (sim.writer, sim.now_us, result, sim.offset);
}

static void
write_late_ (void)
{
  if (sim.late->len == 0)
    return;
  write_batch_ (g_ptr_array_index (sim.late, 0));
  g_ptr_array_remove_index (sim.late, 0);
}

static void
send_read_ (void)
{
  if (!colt_log_reader_begin_read (sim.reader, sim.now_us, &sim.call))
    return;
  sim.reading = true;
  sim.read_sent_us = sim.now_us;
  sim.head_at_read = sim.log->len;
}

static void
check_freshness_ (void)
{
  require_ (colt_log_reader_offset (sim.reader) >= sim.head_at_read);
  require_ (colt_log_reader_fresh_us (sim.reader) <= sim.read_sent_us);
}

static void
complete_read_ (uint8_t argument)
{
  struct ColtLogEntry *entries = g_new0 (struct ColtLogEntry, sim.log->len + 1);
  struct ColtLogPage page = { sim.first_offset, sim.log->len, entries, 0 };
  int64_t fresh_us = colt_log_reader_fresh_us (sim.reader);
  guint64 offset = MAX (sim.call.from, sim.first_offset);

  if (sim.reading)
    {
      for (; offset < sim.log->len && page.count <= argument; offset++)
        {
          struct ColtLogEntry *entry = &entries[page.count++];

          entry->offset = offset;
          entry->body = g_bytes_get_data (g_ptr_array_index (sim.log, offset),
                                          &entry->size);
        }
      sim.reading = false;
      require_ (colt_log_reader_end_read (sim.reader, sim.now_us, &page, NULL));
      if (colt_log_reader_fresh_us (sim.reader) > fresh_us)
        check_freshness_ ();
      colt_log_writer_requeue_missing (sim.writer,
                                       colt_log_reader_fresh_us (sim.reader));
    }
  g_free (entries);
}

static void
fail_read_ (void)
{
  if (!sim.reading)
    return;
  sim.reading = false;
  colt_log_reader_end_read (sim.reader, sim.now_us, NULL, NULL);
}

static void
step_ (enum ColtFuzzOp op, uint8_t argument)
{
  sim.now_us += COLT_US_PER_MS;
  switch (op)
    {
    case COLT_FUZZ_ADD:
      add_record_ (argument);
      break;
    case COLT_FUZZ_PROCESS:
      start_append_ ();
      break;
    case COLT_FUZZ_WRITE_PENDING:
      write_pending_ ();
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
    case COLT_FUZZ_WRITE_LATE:
      write_late_ ();
      break;
    case COLT_FUZZ_SEND_READ:
      send_read_ ();
      break;
    case COLT_FUZZ_COMPLETE_READ:
      complete_read_ (argument);
      break;
    case COLT_FUZZ_FAIL_READ:
      fail_read_ ();
      break;
    case COLT_FUZZ_DROP_OLDEST:
      sim.first_offset = MIN (sim.first_offset + argument % 3, sim.log->len);
      break;
    case COLT_FUZZ_WAIT:
    case COLT_FUZZ_OP_COUNT:
      sim.now_us += argument * COLT_US_PER_MS;
      break;
    }
}

/* Ends all appends and checks the reported results against the log. */
static void
finish_ (void)
{
  unsigned i;

  end_append_ (COLT_LOG_APPENDED, true, false);
  while (sim.late->len > 0)
    write_late_ ();
  colt_log_writer_abandon (sim.writer);
  for (i = 0; i < sim.count; i++)
    {
      const struct ColtFuzzRecord *record = &sim.records[i];

      require_ (record->result_count == 1);
      if (record->result == COLT_LOG_WRITE_NOT_DONE)
        require_ (record->written == 0);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  unsigned round;
  size_t i;

  memset (&sim, 0, sizeof sim);
  sim.now_us = COLT_US_PER_S;
  sim.writer = colt_log_writer_create (1, draw_number_, NULL);
  sim.reader
      = colt_log_reader_create (0, &reader_handler, NULL, draw_number_, NULL);
  sim.log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim.late = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  colt_log_writer_set_instances (sim.writer, INSTANCES);
  for (round = 0; round < ROUNDS; round++)
    for (i = 0; i + 1 < size; i += 2)
      step_ ((enum ColtFuzzOp) (data[i] % COLT_FUZZ_OP_COUNT), data[i + 1]);
  finish_ ();
  colt_log_writer_destroy (sim.writer);
  colt_log_reader_destroy (sim.reader);
  g_ptr_array_unref (sim.log);
  g_ptr_array_unref (sim.late);
  return 0;
}
