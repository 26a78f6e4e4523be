#include <assert.h>
#include <glib.h>
#include <string.h>

#include "backoff.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"

#define BACKOFF_FIRST_US (50 * COLT_US_PER_MS)
#define BACKOFF_LIMIT_US (500 * COLT_US_PER_MS)
/* Minimum interval between reads at the head, so that one read returns several
 * appends. */
#define HEAD_READ_INTERVAL_US (20 * COLT_US_PER_MS)

struct ColtLogReader
{
  const struct ColtLogReaderHandler *handler;
  void *client;
  ColtLogRandom random;
  void *random_client;
  uint64_t next;
  uint64_t head;
  uint32_t max; /* appends in the next read; halved after a failure */
  bool open;
  int64_t sent_us;
  int64_t wake_us;
  int64_t fresh_us;
  uint32_t failures;
  struct ColtId *seen_ids; /* ring of COLT_LOG_SEEN_MAX */
  size_t seen_count;
  size_t seen_index;
  GHashTable *seen_set; /* keys point into seen_ids */
  struct ColtLogReaderStats stats;
};

static bool check_page_ (const struct ColtLogReader *reader,
                         const struct ColtLogPage *page,
                         struct ColtError *error);
static void handle_failure_ (struct ColtLogReader *reader, int64_t now_us);
static void skip_gap_ (struct ColtLogReader *reader, uint64_t first);
static void handle_entry_ (struct ColtLogReader *reader,
                           const struct ColtLogEntry *entry);
static void on_item_ (void *client, const struct ColtLogItem *item);
static void add_seen_ (struct ColtLogReader *reader, const struct ColtId *id);

struct ColtLogReader *
colt_log_reader_create (uint64_t from,
                        const struct ColtLogReaderHandler *handler,
                        void *client,
                        ColtLogRandom random,
                        void *random_client)
{
  struct ColtLogReader *reader = g_new0 (struct ColtLogReader, 1);

  reader->handler = handler;
  reader->client = client;
  reader->random = random;
  reader->random_client = random_client;
  reader->next = from;
  reader->max = COLT_LOG_READ_MAX;
  reader->wake_us = INT64_MIN;
  reader->fresh_us = INT64_MIN;
  reader->seen_ids = g_new0 (struct ColtId, COLT_LOG_SEEN_MAX);
  reader->seen_set = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
  return reader;
}

void
colt_log_reader_destroy (struct ColtLogReader *reader)
{
  if (reader == NULL)
    return;
  g_hash_table_unref (reader->seen_set);
  g_free (reader->seen_ids);
  g_free (reader);
}

bool
colt_log_reader_begin_read (struct ColtLogReader *reader,
                            int64_t now_us,
                            struct ColtLogReadCall *call)
{
  if (reader->open || now_us < reader->wake_us)
    return false;
  reader->open = true;
  reader->sent_us = now_us;
  call->from = reader->next;
  call->max = reader->max;
  call->wait_ms = COLT_LOG_READ_WAIT_MS;
  return true;
}

int64_t
colt_log_reader_wake_us (const struct ColtLogReader *reader)
{
  return reader->open ? COLT_TIME_NEVER : reader->wake_us;
}

bool
colt_log_reader_end_read (struct ColtLogReader *reader,
                          int64_t now_us,
                          const struct ColtLogPage *page,
                          struct ColtError *error)
{
  size_t i;

  assert (reader->open);
  reader->open = false;
  if (page == NULL)
    {
      handle_failure_ (reader, now_us);
      return true;
    }
  if (!check_page_ (reader, page, error))
    {
      handle_failure_ (reader, now_us);
      return false;
    }
  reader->failures = 0;
  reader->stats.failing = false;
  reader->max = MIN (reader->max * 2, COLT_LOG_READ_MAX);
  reader->head = page->head;
  if (page->first > reader->next)
    skip_gap_ (reader, page->first);
  for (i = 0; i < page->count; i++)
    handle_entry_ (reader, &page->entries[i]);
  reader->wake_us = now_us;
  if (reader->next != reader->head)
    return true;
  reader->fresh_us = MAX (reader->fresh_us, reader->sent_us);
  reader->wake_us = MAX (now_us, reader->sent_us + HEAD_READ_INTERVAL_US);
  return true;
}

void
colt_log_reader_mark_seen (struct ColtLogReader *reader,
                           const struct ColtId *id)
{
  if (!g_hash_table_contains (reader->seen_set, id))
    add_seen_ (reader, id);
}

int64_t
colt_log_reader_fresh_us (const struct ColtLogReader *reader)
{
  return reader->fresh_us;
}

uint64_t
colt_log_reader_offset (const struct ColtLogReader *reader)
{
  return reader->next;
}

void
colt_log_reader_get_stats (const struct ColtLogReader *reader,
                           struct ColtLogReaderStats *stats)
{
  *stats = reader->stats;
  stats->next = reader->next;
  stats->head = reader->head;
  stats->fresh_us = reader->fresh_us;
}

/* Rejects a page with missing offsets, because their records would be lost
 * silently, and one that contradicts the reader's position. */
static bool
check_page_ (const struct ColtLogReader *reader,
             const struct ColtLogPage *page,
             struct ColtError *error)
{
  uint64_t start = MAX (reader->next, page->first);
  size_t i;

  if (page->head < reader->next || page->head < page->first)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, NULL,
                           "the head %" G_GUINT64_FORMAT
                           " is below the oldest offset, or below the offset "
                           "to be read next, %" G_GUINT64_FORMAT,
                           page->head, reader->next);
  if (page->count == 0 && start < page->head)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, NULL,
                           "the page is empty, but the head was not reached");
  if (page->count > page->head - start)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, NULL,
                           "the page extends beyond the head");
  for (i = 0; i < page->count; i++)
    if (page->entries[i].offset != start + i)
      return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, NULL,
                             "the page has offset %" G_GUINT64_FORMAT
                             " where %" G_GUINT64_FORMAT " is expected",
                             page->entries[i].offset, start + i);
  return true;
}

static void
handle_failure_ (struct ColtLogReader *reader, int64_t now_us)
{
  reader->stats.failures++;
  reader->stats.failing = true;
  reader->failures++;
  reader->max = MAX (reader->max / 2, 1);
  reader->wake_us
      = now_us
        + colt_backoff_us (reader->failures, BACKOFF_FIRST_US, BACKOFF_LIMIT_US,
                           reader->random (reader->random_client));
}

static void
skip_gap_ (struct ColtLogReader *reader, uint64_t first)
{
  uint64_t expected = reader->next;

  reader->stats.gaps++;
  reader->next = first;
  if (reader->handler->gap != NULL)
    reader->handler->gap (reader->client, expected, first);
}

static void
handle_entry_ (struct ColtLogReader *reader, const struct ColtLogEntry *entry)
{
  struct ColtError error = { 0 };

  if (!colt_log_batch_decode (entry->offset, entry->body, entry->size, on_item_,
                              reader, &error))
    {
      reader->stats.skipped++;
      if (reader->handler->skipped != NULL)
        reader->handler->skipped (reader->client, entry->offset, &error);
    }
  reader->next = entry->offset + 1;
}

static void
on_item_ (void *client, const struct ColtLogItem *item)
{
  struct ColtLogReader *reader = client;

  if (g_hash_table_contains (reader->seen_set, &item->id))
    {
      reader->stats.duplicates++;
      if (reader->handler->duplicate != NULL)
        reader->handler->duplicate (reader->client, item);
      return;
    }
  add_seen_ (reader, &item->id);
  reader->stats.records++;
  reader->handler->record (reader->client, item);
}

static void
add_seen_ (struct ColtLogReader *reader, const struct ColtId *id)
{
  struct ColtId *slot = &reader->seen_ids[reader->seen_index];

  if (reader->seen_count == COLT_LOG_SEEN_MAX)
    g_hash_table_remove (reader->seen_set, slot);
  else
    reader->seen_count++;
  *slot = *id;
  g_hash_table_add (reader->seen_set, slot);
  reader->seen_index = (reader->seen_index + 1) % COLT_LOG_SEEN_MAX;
}
