#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"
#include "tests.h"

/* A log in memory that refuses, throttles, loses and duplicates appends. */
struct ColtFakeLog
{
  struct ColtLogDriver driver;
  GRand *rand;
  GPtrArray *appends; /* of GBytes */
  struct event *append_event;
  enum ColtLogResult result;
  ColtLogAppendDone append_done;
  void *append_client;
  struct event *read_event;
  guint64 from;
  ColtLogReadDone read_done;
  void *read_client;
};

static void
fake_append (struct ColtLogDriver *driver,
             const uint8_t *body,
             size_t size,
             ColtLogAppendDone done,
             void *client)
{
  struct ColtFakeLog *log = (struct ColtFakeLog *)driver;
  gint fault = g_rand_int_range (log->rand, 0, 8);

  log->append_done = done;
  log->append_client = client;
  log->result = COLT_LOG_APPENDED;
  if (fault == 0)
    log->result = COLT_LOG_REFUSED;
  if (fault == 1)
    log->result = COLT_LOG_THROTTLED;
  if (fault == 2 || fault == 3)
    log->result = COLT_LOG_UNKNOWN;
  if (fault > 1 && fault != 3)
    g_ptr_array_add (log->appends, g_bytes_new (body, size));
  if (fault == 4) /* delivered twice */
    g_ptr_array_add (log->appends, g_bytes_new (body, size));
  event_active (log->append_event, 0, 0);
}

static void
deliver_append_result (evutil_socket_t fd, short what, void *client)
{
  struct ColtFakeLog *log = client;

  (void)fd;
  (void)what;
  log->append_done (log->append_client, log->result, log->appends->len - 1,
                    NULL);
}

static void
fake_read (struct ColtLogDriver *driver,
           uint64_t from,
           uint32_t max,
           uint32_t wait_ms,
           ColtLogReadDone done,
           void *client)
{
  struct ColtFakeLog *log = (struct ColtFakeLog *)driver;

  (void)max;
  (void)wait_ms;
  log->from = from;
  log->read_done = done;
  log->read_client = client;
  event_active (log->read_event, 0, 0);
}

static void
deliver_page (evutil_socket_t fd, short what, void *client)
{
  struct ColtFakeLog *log = client;
  struct ColtLogEntry *entries
      = g_new0 (struct ColtLogEntry, log->appends->len + 1);
  struct ColtLogPage page = { 0, log->appends->len, entries, 0 };
  guint64 i;

  (void)fd;
  (void)what;
  for (i = log->from; i < log->appends->len; i++)
    {
      struct ColtLogEntry *entry = &entries[page.count++];

      entry->offset = i;
      entry->body = g_bytes_get_data (g_ptr_array_index (log->appends, i),
                                      &entry->size);
    }
  log->read_done (log->read_client, &page, NULL);
  g_free (entries);
}

static void
free_events (struct ColtLogDriver *driver)
{
  struct ColtFakeLog *log = (struct ColtFakeLog *)driver;

  event_free (log->append_event);
  event_free (log->read_event);
}

struct ColtRecordCounts
{
  guint read[256]; /* how often the handler got each record */
  guint done[256];
  guint total_done;
};

static struct ColtRecordCounts counts;

static void
on_record (void *client, const struct ColtLogItem *item)
{
  (void)client;
  counts.read[item->id.bytes[0]]++;
}

static void
on_write_done (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  guint *count = client;

  (void)offset;
  g_assert_cmpint (result, ==, COLT_LOG_WRITE_DONE);
  (*count)++;
  counts.total_done++;
}

static void
test_each_record_is_written_and_read_once (void)
{
  static const struct ColtLogReaderHandler handler
      = { on_record, NULL, NULL, NULL };
  struct event_base *base = event_base_new ();
  struct ColtFakeLog log
      = { { fake_append, fake_read, NULL, NULL, free_events } };
  struct ColtLogItem item = { 0 };
  struct ColtLogClient *client;
  guint i;

  log.rand = g_rand_new_with_seed (11);
  log.appends = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  log.append_event = event_new (base, -1, 0, deliver_append_result, &log);
  log.read_event = event_new (base, -1, 0, deliver_page, &log);
  client = colt_log_client_create (base, &log.driver, 1, 0, &handler, NULL);
  colt_log_client_start (client);
  for (i = 0; i < 24; i++)
    {
      item.id.bytes[0] = (uint8_t)i;
      g_assert_cmpint (colt_log_client_add (client, &item, COLT_TIME_NEVER,
                                            on_write_done, &counts.done[i]),
                       ==, COLT_LOG_ADD_QUEUED);
      while (i % 2 == 0 && counts.total_done < i)
        event_base_loop (base, EVLOOP_ONCE);
    }
  while (counts.total_done < 24
         || colt_log_client_offset (client) < log.appends->len)
    event_base_loop (base, EVLOOP_ONCE);
  for (i = 0; i < 24; i++)
    {
      g_assert_cmpuint (counts.done[i], ==, 1);
      g_assert_cmpuint (counts.read[i], ==, 1);
    }
  g_assert_cmpint (colt_log_client_fresh_us (client), >, 0);
  colt_log_client_destroy (client);
  g_ptr_array_unref (log.appends);
  g_rand_free (log.rand);
  event_base_free (base);
}

void
add_log_client_tests (void)
{
  g_test_add_func ("/platform/log-client/faults",
                   test_each_record_is_written_and_read_once);
}
