#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"
#include "tests.h"
#include "timeout.h"

struct ColtWriteResults
{
  guint count[3]; /* by enum ColtLogWriteResult */
  guint64 offset;
};

static uint32_t
no_jitter (void *client)
{
  (void)client;
  return 0;
}

static struct ColtLogItem
make_item (guint number)
{
  struct ColtLogItem item = { 0 };

  item.kind = 1;
  memcpy (item.id.bytes, &number, sizeof number);
  item.body = (const uint8_t *)"body";
  item.size = 4;
  return item;
}

static void
on_write_done (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtWriteResults *results = client;

  results->count[result]++;
  results->offset = offset;
}

static enum ColtLogAddStatus
add_record (struct ColtLogWriter *writer,
            guint number,
            gint64 deadline_us,
            struct ColtWriteResults *results)
{
  struct ColtLogItem item = make_item (number);

  return colt_log_writer_add (writer, &item, deadline_us, on_write_done,
                              results);
}

static void
count_item (void *client, const struct ColtLogItem *item)
{
  guint *count = client;

  (void)item;
  (*count)++;
}

static guint
build_append (struct ColtLogWriter *writer, gint64 now_us)
{
  size_t size;
  const uint8_t *body = colt_log_writer_process (writer, now_us, &size);
  guint count = 0;

  if (body != NULL)
    g_assert_true (
        colt_log_batch_decode (0, body, size, count_item, &count, NULL));
  return count;
}

static void
test_group_commit (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  guint i;

  add_record (writer, 0, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 1);
  for (i = 1; i < 10; i++)
    add_record (writer, i, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 0);
  colt_log_writer_end_append (writer, COLT_US_PER_S, COLT_LOG_APPENDED, 5);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  g_assert_cmpuint (results.offset, ==, 5);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 9);
  colt_log_writer_destroy (writer);
}

static void
test_append_interval_follows_instances (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };

  colt_log_writer_set_instances (writer, 8);
  add_record (writer, 0, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 1);
  colt_log_writer_end_append (writer, 1000, COLT_LOG_APPENDED, 1);
  add_record (writer, 1, COLT_TIME_NEVER, &results);
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, 40000);
  g_assert_cmpuint (build_append (writer, 39999), ==, 0);
  colt_log_writer_set_instances (writer, 40);
  g_assert_cmpuint (build_append (writer, 40000), ==, 1);
  colt_log_writer_end_append (writer, 41000, COLT_LOG_APPENDED, 2);
  add_record (writer, 2, COLT_TIME_NEVER, &results);
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, 240000);
  colt_log_writer_destroy (writer);
}

static void
test_fleet_stays_under_rate (void)
{
  enum
  {
    FLEET = 33,
    SECONDS = 5
  };
  struct ColtLogWriter *writers[FLEET];
  struct ColtWriteResults results = { 0 };
  guint appends = 0;
  guint number = 0;
  gint64 now_us;
  guint i;

  for (i = 0; i < FLEET; i++)
    {
      writers[i] = colt_log_writer_create (i + 1, no_jitter, NULL);
      colt_log_writer_set_instances (writers[i], FLEET);
    }
  for (now_us = 0; now_us < SECONDS * COLT_US_PER_S; now_us += COLT_US_PER_MS)
    for (i = 0; i < FLEET; i++)
      {
        add_record (writers[i], number++, COLT_TIME_NEVER, &results);
        if (build_append (writers[i], now_us) == 0)
          continue;
        appends++;
        colt_log_writer_end_append (writers[i], now_us, COLT_LOG_APPENDED,
                                    appends);
      }
  g_assert_cmpuint (appends, <=,
                    COLT_LOG_FLEET_APPENDS_PER_S * SECONDS + FLEET);
  g_assert_cmpuint (appends, >=,
                    COLT_LOG_FLEET_APPENDS_PER_S * SECONDS * 9 / 10);
  for (i = 0; i < FLEET; i++)
    colt_log_writer_destroy (writers[i]);
}

static void
test_unanswered_record_is_found_by_id (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  struct ColtLogItem first = make_item (1);

  add_record (writer, 1, COLT_TIME_NEVER, &results);
  add_record (writer, 2, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 2);
  colt_log_writer_end_append (writer, 1000, COLT_LOG_UNKNOWN, 0);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 0);
  colt_log_writer_confirm_record (writer, 2000, &first.id, 9);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  g_assert_cmpuint (results.offset, ==, 9);
  colt_log_writer_requeue_missing (writer, 999);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 0);
  colt_log_writer_requeue_missing (writer, 1000);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 1);
  colt_log_writer_end_append (writer, COLT_US_PER_S, COLT_LOG_APPENDED, 10);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 2);
  g_assert_cmpuint (results.offset, ==, 10);
  colt_log_writer_destroy (writer);
}

static void
test_throttled_writer_slows_down (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  struct ColtLogWriterStats stats;

  add_record (writer, 1, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 1);
  colt_log_writer_end_append (writer, 0, COLT_LOG_THROTTLED, 0);
  colt_log_writer_get_stats (writer, &stats);
  g_assert_cmpint (stats.interval_us, ==, 10000);
  g_assert_cmpuint (build_append (writer, 4999), ==, 0);
  g_assert_cmpuint (build_append (writer, 5000), ==, 1);
  colt_log_writer_end_append (writer, 6000, COLT_LOG_APPENDED, 3);
  colt_log_writer_get_stats (writer, &stats);
  g_assert_cmpint (stats.interval_us, ==, 5000);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  colt_log_writer_destroy (writer);
}

static void
test_abandoned_records_get_accurate_results (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };

  add_record (writer, 1, COLT_US_PER_S, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 1);
  colt_log_writer_end_append (writer, 0, COLT_LOG_REFUSED, 0);
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, 50000);
  g_assert_cmpuint (build_append (writer, COLT_US_PER_S), ==, 0);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_NOT_DONE], ==, 1);
  add_record (writer, 2, 3 * COLT_US_PER_S, &results);
  g_assert_cmpuint (build_append (writer, 2 * COLT_US_PER_S), ==, 1);
  colt_log_writer_end_append (writer, 2 * COLT_US_PER_S, COLT_LOG_UNKNOWN, 0);
  colt_log_writer_requeue_missing (writer, 2 * COLT_US_PER_S);
  g_assert_cmpuint (build_append (writer, 2900 * COLT_US_PER_MS), ==, 1);
  colt_log_writer_end_append (writer, 2900 * COLT_US_PER_MS, COLT_LOG_REFUSED,
                              0);
  build_append (writer, 3 * COLT_US_PER_S);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_UNCERTAIN], ==, 1);
  colt_log_writer_destroy (writer);
}

static void
test_deadline_passes_in_flight (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  struct ColtLogItem second = make_item (2);

  add_record (writer, 1, 1000, &results);
  add_record (writer, 2, 2000, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 2);
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, 1000);
  g_assert_cmpuint (build_append (writer, 1000), ==, 0);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_UNCERTAIN], ==, 1);
  colt_log_writer_confirm_record (writer, 1500, &second.id, 4);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  g_assert_cmpuint (results.offset, ==, 4);
  colt_log_writer_end_append (writer, 3000, COLT_LOG_APPENDED, 4);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, COLT_TIME_NEVER);
  colt_log_writer_destroy (writer);
}

static void
test_read_back_append_is_done (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  struct ColtLogItem first = make_item (1);

  add_record (writer, 1, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 0), ==, 1);
  colt_log_writer_confirm_record (writer, 1000, &first.id, 4);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_DONE], ==, 1);
  add_record (writer, 2, COLT_TIME_NEVER, &results);
  g_assert_cmpuint (build_append (writer, 50000), ==, 0);
  g_assert_false (colt_log_writer_is_stuck (writer, 100999));
  g_assert_cmpint (colt_log_writer_wake_us (writer), ==, 101000);
  g_assert_true (colt_log_writer_is_stuck (writer, 101000));
  colt_log_writer_end_append (writer, 101000, COLT_LOG_UNKNOWN, 0);
  g_assert_false (colt_log_writer_is_stuck (writer, 101000));
  g_assert_cmpuint (build_append (writer, 101000), ==, 1);
  g_assert_false (colt_log_writer_is_stuck (writer, 900000));
  colt_log_writer_destroy (writer);
}

static void
test_timeout_follows_answers (void)
{
  struct ColtTimeout timeout;

  colt_timeout_init (&timeout, 1000, 8000);
  colt_timeout_record_loss (&timeout);
  g_assert_cmpuint (timeout.current_ms, ==, 2000);
  colt_timeout_record_loss (&timeout);
  colt_timeout_record_answer (&timeout, 2100);
  g_assert_cmpuint (timeout.current_ms, ==, 6300);
  colt_timeout_record_loss (&timeout);
  colt_timeout_record_loss (&timeout);
  g_assert_cmpuint (timeout.current_ms, ==, 8000);
  colt_timeout_record_answer (&timeout, -5);
  g_assert_cmpuint (timeout.current_ms, ==, 1000);
}

static void
test_queue_is_bounded (void)
{
  struct ColtLogWriter *writer = colt_log_writer_create (1, no_jitter, NULL);
  struct ColtWriteResults results = { 0 };
  struct ColtLogItem large = make_item (0);
  guint i;

  large.size = COLT_LOG_RECORD_MAX + 1;
  g_assert_cmpint (colt_log_writer_add (writer, &large, 0, NULL, NULL), ==,
                   COLT_LOG_ADD_TOO_LARGE);
  for (i = 0; i < COLT_LOG_QUEUE_RECORDS_MAX; i++)
    g_assert_cmpint (add_record (writer, i, COLT_TIME_NEVER, &results), ==,
                     COLT_LOG_ADD_QUEUED);
  g_assert_cmpint (add_record (writer, i, COLT_TIME_NEVER, &results), ==,
                   COLT_LOG_ADD_FULL);
  g_assert_cmpint (add_record (writer, 0, COLT_TIME_NEVER, &results), ==,
                   COLT_LOG_ADD_PENDING);
  g_assert_cmpuint (build_append (writer, 0), ==, COLT_LOG_BATCH_RECORDS_MAX);
  colt_log_writer_abandon (writer);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_UNCERTAIN], ==,
                    COLT_LOG_BATCH_RECORDS_MAX);
  g_assert_cmpuint (results.count[COLT_LOG_WRITE_NOT_DONE], ==,
                    COLT_LOG_QUEUE_RECORDS_MAX - COLT_LOG_BATCH_RECORDS_MAX);
  colt_log_writer_destroy (writer);
}

void
add_writer_tests (void)
{
  g_test_add_func ("/platform/writer/group-commit", test_group_commit);
  g_test_add_func ("/platform/writer/linger",
                   test_append_interval_follows_instances);
  g_test_add_func ("/platform/writer/fleet-rate", test_fleet_stays_under_rate);
  g_test_add_func ("/platform/writer/lost-answer",
                   test_unanswered_record_is_found_by_id);
  g_test_add_func ("/platform/writer/throttled",
                   test_throttled_writer_slows_down);
  g_test_add_func ("/platform/writer/giving-up",
                   test_abandoned_records_get_accurate_results);
  g_test_add_func ("/platform/writer/in-flight",
                   test_deadline_passes_in_flight);
  g_test_add_func ("/platform/writer/read-back", test_read_back_append_is_done);
  g_test_add_func ("/platform/writer/timeout", test_timeout_follows_answers);
  g_test_add_func ("/platform/writer/bounds", test_queue_is_bounded);
}
