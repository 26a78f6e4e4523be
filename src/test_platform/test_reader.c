#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"
#include "tests.h"

struct ColtReaderFixture
{
  struct ColtLogReader *reader;
  GString *handler_calls;
};

static uint32_t
no_jitter (void *client)
{
  (void)client;
  return 0;
}

static void
on_record (void *client, const struct ColtLogItem *item)
{
  struct ColtReaderFixture *fixture = client;

  g_string_append_printf (fixture->handler_calls, "%u@%u.%u ",
                          item->id.bytes[0], (guint)item->offset, item->index);
}

static void
on_gap (void *client, uint64_t expected, uint64_t first)
{
  struct ColtReaderFixture *fixture = client;

  g_string_append_printf (fixture->handler_calls, "gap %u-%u ", (guint)expected,
                          (guint)first);
}

static void
on_skipped (void *client, uint64_t offset, const struct ColtError *error)
{
  struct ColtReaderFixture *fixture = client;

  g_assert_cmpint (error->step, ==, COLT_STEP_DECODE);
  g_string_append_printf (fixture->handler_calls, "skipped %u ", (guint)offset);
}

static const struct ColtLogReaderHandler handler
    = { on_record, NULL, on_gap, on_skipped };

static void
set_up (struct ColtReaderFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->handler_calls = g_string_new (NULL);
  fixture->reader
      = colt_log_reader_create (0, &handler, fixture, no_jitter, NULL);
}

static void
tear_down (struct ColtReaderFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_log_reader_destroy (fixture->reader);
  g_string_free (fixture->handler_calls, TRUE);
}

/* Ends a read with appends from offset "from" on. Each append has two records,
 * whose ids are two digits of "ids". */
static bool
read_appends (struct ColtReaderFixture *fixture,
              gint64 sent_us,
              guint64 first,
              guint64 head,
              guint64 from,
              const char *ids)
{
  gsize count = strlen (ids) / 2;
  struct ColtLogEntry *entries = g_new0 (struct ColtLogEntry, count);
  struct ColtLogPage page = { first, head, entries, count };
  struct ColtLogItem items[2] = { 0 };
  struct ColtLogReadCall call;
  bool valid;
  gsize i;

  for (i = 0; i < count; i++)
    {
      items[0].id.bytes[0] = (uint8_t)(ids[2 * i] - '0');
      items[1].id.bytes[0] = (uint8_t)(ids[2 * i + 1] - '0');
      entries[i].offset = from + i;
      entries[i].body = colt_log_batch_encode (1, items, 2, &entries[i].size);
    }
  g_assert_true (colt_log_reader_begin_read (fixture->reader, sent_us, &call));
  g_assert_false (colt_log_reader_begin_read (fixture->reader, sent_us, &call));
  valid
      = colt_log_reader_end_read (fixture->reader, sent_us + 500, &page, NULL);
  for (i = 0; i < count; i++)
    free ((void *)entries[i].body);
  g_free (entries);
  return valid;
}

static void
test_order_and_duplicates (struct ColtReaderFixture *fixture,
                           gconstpointer data)
{
  struct ColtLogReaderStats stats;

  (void)data;
  g_assert_true (read_appends (fixture, 0, 0, 3, 0, "1234"));
  g_assert_cmpint (colt_log_reader_fresh_us (fixture->reader), ==, INT64_MIN);
  g_assert_true (read_appends (fixture, 1000, 0, 3, 2, "15"));
  g_assert_cmpstr (fixture->handler_calls->str, ==,
                   "1@0.0 2@0.1 3@1.0 4@1.1 5@2.1 ");
  g_assert_cmpint (colt_log_reader_fresh_us (fixture->reader), ==, 1000);
  colt_log_reader_get_stats (fixture->reader, &stats);
  g_assert_cmpuint (stats.duplicates, ==, 1);
}

static void
test_marked_id_is_skipped (struct ColtReaderFixture *fixture,
                           gconstpointer data)
{
  struct ColtId id = { { 1 } };

  (void)data;
  colt_log_reader_mark_seen (fixture->reader, &id);
  g_assert_true (read_appends (fixture, 0, 0, 1, 0, "12"));
  g_assert_cmpstr (fixture->handler_calls->str, ==, "2@0.1 ");
}

static void
test_empty_read_at_head_is_fresh (struct ColtReaderFixture *fixture,
                                  gconstpointer data)
{
  struct ColtLogReadCall call;

  (void)data;
  g_assert_true (read_appends (fixture, 7000, 0, 0, 0, ""));
  g_assert_cmpint (colt_log_reader_fresh_us (fixture->reader), ==, 7000);
  g_assert_false (colt_log_reader_begin_read (fixture->reader, 8000, &call));
  g_assert_cmpint (colt_log_reader_wake_us (fixture->reader), ==, 27000);
}

static void
test_gap_is_reported (struct ColtReaderFixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_true (read_appends (fixture, 0, 5, 7, 5, "12"));
  g_assert_cmpstr (fixture->handler_calls->str, ==, "gap 0-5 1@5.0 2@5.1 ");
  g_assert_cmpuint (colt_log_reader_offset (fixture->reader), ==, 6);
}

static void
test_invalid_pages_are_failures (struct ColtReaderFixture *fixture,
                                 gconstpointer data)
{
  struct ColtLogReadCall call;
  gint64 step_us = 10 * COLT_US_PER_S;

  (void)data;
  g_assert_true (read_appends (fixture, 0, 0, 4, 0, "12"));
  g_assert_false (
      read_appends (fixture, step_us, 0, 4, 2, "34")); /* offset 1 is missing */
  g_assert_false (
      read_appends (fixture, 2 * step_us, 0, 0, 0, "")); /* head below next */
  g_assert_false (
      read_appends (fixture, 3 * step_us, 0, 4, 0, "")); /* empty below head */
  g_assert_false (
      read_appends (fixture, 4 * step_us, 0, 1, 1, "3456")); /* beyond head */
  g_assert_cmpstr (fixture->handler_calls->str, ==, "1@0.0 2@0.1 ");
  g_assert_cmpint (colt_log_reader_fresh_us (fixture->reader), ==, INT64_MIN);
  g_assert_true (
      colt_log_reader_begin_read (fixture->reader, 5 * step_us, &call));
  g_assert_cmpuint (call.from, ==, 1);
  g_assert_cmpuint (call.max, <, COLT_LOG_READ_MAX);
  colt_log_reader_end_read (fixture->reader, 5 * step_us, NULL, NULL);
  g_assert_cmpint (colt_log_reader_wake_us (fixture->reader), >, 5 * step_us);
}

static void
test_undecodable_append_is_skipped (struct ColtReaderFixture *fixture,
                                    gconstpointer data)
{
  const struct ColtLogEntry entry = { 0, (const uint8_t *)"\xff\xff", 2 };
  const struct ColtLogPage page = { 0, 2, &entry, 1 };
  struct ColtLogReadCall call;

  (void)data;
  g_assert_true (colt_log_reader_begin_read (fixture->reader, 0, &call));
  g_assert_true (colt_log_reader_end_read (fixture->reader, 0, &page, NULL));
  g_assert_true (read_appends (fixture, 1000, 0, 2, 1, "12"));
  g_assert_cmpstr (fixture->handler_calls->str, ==, "skipped 0 1@1.0 2@1.1 ");
}

#define ADD(path, test)                                                        \
  g_test_add ("/platform/reader/" path, struct ColtReaderFixture, NULL,        \
              set_up, test, tear_down)

void
add_reader_tests (void)
{
  ADD ("order", test_order_and_duplicates);
  ADD ("remembered", test_marked_id_is_skipped);
  ADD ("empty", test_empty_read_at_head_is_fresh);
  ADD ("gap", test_gap_is_reported);
  ADD ("bad-pages", test_invalid_pages_are_failures);
  ADD ("garbage", test_undecodable_append_is_skipped);
}
