#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "backoff.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"

#define BACKOFF_FIRST_US (100 * COLT_US_PER_MS)
#define BACKOFF_LIMIT_US (5 * COLT_US_PER_S)
/* Throttling multiplies the interval by at most this factor. */
#define SLOWDOWN_MAX 16u
/* An append is stuck if its answer is missing this long after all of its
 * records were read back. */
#define STUCK_TIMEOUT_US (100 * COLT_US_PER_MS)
/* Most bytes that a record takes in a batch besides its body. */
#define RECORD_OVERHEAD 64u

enum ColtLogRecordState
{
  COLT_LOG_WAITING,
  COLT_LOG_IN_FLIGHT,
  COLT_LOG_UNANSWERED /* no answer; kept until the reader catches up */
};

struct ColtLogQueued
{
  struct ColtLogItem item; /* owns its body */
  enum ColtLogRecordState state;
  int64_t deadline_us;
  int64_t unanswered_us;
  bool maybe_written;
  ColtLogWriteDone done;
  void *client;
};

struct ColtLogWriter
{
  uint32_t instance;
  ColtLogRandom random;
  void *random_client;
  uint32_t instances;
  uint32_t slowdown;
  uint32_t failures;
  int64_t next_us;
  int64_t earliest_deadline_us; /* lower bound; avoids searches before it */
  GQueue waiting;
  GQueue in_flight;
  GQueue unanswered;
  GHashTable *by_id; /* of struct ColtLogQueued, which it owns */
  bool open;
  /* When all records of the open append had been read back; COLT_TIME_NEVER
   * before. */
  int64_t read_back_us;
  size_t queued_bytes;
  uint8_t *batch;
  struct ColtLogWriterStats stats;
};

const char *const colt_log_result_string[]
    = { "appended", "throttled", "refused", "unknown" };
const char *const colt_log_write_result_string[]
    = { "done", "not_done", "uncertain" };
const char *const colt_log_add_status_string[]
    = { "queued", "full", "too_large", "pending" };

static struct ColtLogQueued *make_queued_ (const struct ColtLogItem *item,
                                           int64_t deadline_us,
                                           ColtLogWriteDone done,
                                           void *client);
static void free_queued_ (void *data);
static void enqueue_ (struct ColtLogWriter *writer,
                      struct ColtLogQueued *queued,
                      enum ColtLogRecordState state);
static void requeue_ (struct ColtLogWriter *writer, GQueue *from);
static GQueue *get_queue_ (struct ColtLogWriter *writer,
                           enum ColtLogRecordState state);
static void end_record_ (struct ColtLogWriter *writer,
                         struct ColtLogQueued *queued,
                         enum ColtLogWriteResult result,
                         uint64_t offset);
static void abandon_record_ (struct ColtLogWriter *writer,
                             struct ColtLogQueued *queued);
static void abandon_expired_ (struct ColtLogWriter *writer, int64_t now_us);
static void collect_expired_ (GQueue *queue,
                              int64_t now_us,
                              int64_t *earliest,
                              GQueue *expired);
static uint8_t *build_batch_ (struct ColtLogWriter *writer, size_t *size);
static int64_t get_interval_us_ (const struct ColtLogWriter *writer);
static void end_written_records_ (struct ColtLogWriter *writer,
                                  int64_t now_us,
                                  uint64_t offset);
static void mark_unanswered_ (struct ColtLogWriter *writer, int64_t now_us);
static void back_off_ (struct ColtLogWriter *writer, int64_t now_us);
static void slow_down_ (struct ColtLogWriter *writer, int64_t now_us);

struct ColtLogWriter *
colt_log_writer_create (uint32_t instance, ColtLogRandom random, void *client)
{
  struct ColtLogWriter *writer = g_new0 (struct ColtLogWriter, 1);

  writer->instance = instance;
  writer->random = random;
  writer->random_client = client;
  writer->instances = 1;
  writer->slowdown = 1;
  writer->next_us = INT64_MIN;
  writer->read_back_us = COLT_TIME_NEVER;
  writer->earliest_deadline_us = COLT_TIME_NEVER;
  g_queue_init (&writer->waiting);
  g_queue_init (&writer->in_flight);
  g_queue_init (&writer->unanswered);
  writer->by_id = g_hash_table_new_full (
      colt_id_table_hash, colt_id_table_equal, NULL, free_queued_);
  return writer;
}

void
colt_log_writer_destroy (struct ColtLogWriter *writer)
{
  if (writer == NULL)
    return;
  g_queue_clear (&writer->waiting);
  g_queue_clear (&writer->in_flight);
  g_queue_clear (&writer->unanswered);
  g_hash_table_unref (writer->by_id);
  free (writer->batch);
  g_free (writer);
}

void
colt_log_writer_set_instances (struct ColtLogWriter *writer, uint32_t count)
{
  assert (count > 0);
  writer->instances = count;
}

enum ColtLogAddStatus
colt_log_writer_add (struct ColtLogWriter *writer,
                     const struct ColtLogItem *item,
                     int64_t deadline_us,
                     ColtLogWriteDone done,
                     void *client)
{
  struct ColtLogQueued *queued;

  if (item->size > COLT_LOG_RECORD_MAX)
    return COLT_LOG_ADD_TOO_LARGE;
  if (g_hash_table_contains (writer->by_id, &item->id))
    return COLT_LOG_ADD_PENDING;
  if (g_hash_table_size (writer->by_id) >= COLT_LOG_QUEUE_RECORDS_MAX
      || writer->queued_bytes + item->size > COLT_LOG_QUEUE_BYTES_MAX)
    return COLT_LOG_ADD_FULL;
  queued = make_queued_ (item, deadline_us, done, client);
  g_hash_table_insert (writer->by_id, &queued->item.id, queued);
  g_queue_push_tail (&writer->waiting, queued);
  writer->queued_bytes += item->size;
  writer->earliest_deadline_us
      = MIN (writer->earliest_deadline_us, deadline_us);
  return COLT_LOG_ADD_QUEUED;
}

void
colt_log_writer_abandon (struct ColtLogWriter *writer)
{
  GQueue all = G_QUEUE_INIT;
  GQueue *const queues[]
      = { &writer->in_flight, &writer->unanswered, &writer->waiting };
  struct ColtLogQueued *queued;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (queues); i++)
    while ((queued = g_queue_pop_head (queues[i])) != NULL)
      g_queue_push_tail (&all, queued);
  writer->open = false;
  while ((queued = g_queue_pop_head (&all)) != NULL)
    abandon_record_ (writer, queued);
}

const uint8_t *
colt_log_writer_process (struct ColtLogWriter *writer,
                         int64_t now_us,
                         size_t *size)
{
  abandon_expired_ (writer, now_us);
  if (writer->open || writer->waiting.length == 0 || now_us < writer->next_us)
    return NULL;
  free (writer->batch);
  writer->batch = build_batch_ (writer, size);
  writer->open = true;
  writer->read_back_us = COLT_TIME_NEVER;
  writer->next_us = now_us + get_interval_us_ (writer);
  return writer->batch;
}

int64_t
colt_log_writer_wake_us (const struct ColtLogWriter *writer)
{
  int64_t wake = COLT_TIME_NEVER;

  if (g_hash_table_size (writer->by_id) > 0)
    wake = writer->earliest_deadline_us;
  if (writer->open && writer->read_back_us != COLT_TIME_NEVER)
    wake = MIN (wake, writer->read_back_us + STUCK_TIMEOUT_US);
  if (!writer->open && writer->waiting.length > 0)
    wake = MIN (wake, writer->next_us);
  return wake;
}

void
colt_log_writer_end_append (struct ColtLogWriter *writer,
                            int64_t now_us,
                            enum ColtLogResult result,
                            uint64_t offset)
{
  assert (writer->open);
  writer->open = false;
  switch (result)
    {
    case COLT_LOG_APPENDED:
      end_written_records_ (writer, now_us, offset);
      break;
    case COLT_LOG_THROTTLED:
      writer->stats.throttled++;
      requeue_ (writer, &writer->in_flight);
      slow_down_ (writer, now_us);
      break;
    case COLT_LOG_REFUSED:
      writer->stats.refused++;
      requeue_ (writer, &writer->in_flight);
      back_off_ (writer, now_us);
      break;
    case COLT_LOG_UNKNOWN:
      writer->stats.unknown++;
      if (writer->in_flight.length > 0)
        back_off_ (writer, now_us);
      mark_unanswered_ (writer, now_us);
      break;
    }
}

bool
colt_log_writer_is_stuck (const struct ColtLogWriter *writer, int64_t now_us)
{
  return writer->open && writer->read_back_us != COLT_TIME_NEVER
         && now_us >= writer->read_back_us + STUCK_TIMEOUT_US;
}

void
colt_log_writer_confirm_record (struct ColtLogWriter *writer,
                                int64_t now_us,
                                const struct ColtId *id,
                                uint64_t offset)
{
  struct ColtLogQueued *queued = g_hash_table_lookup (writer->by_id, id);

  if (queued == NULL)
    return;
  g_queue_remove (get_queue_ (writer, queued->state), queued);
  if (queued->state == COLT_LOG_IN_FLIGHT && writer->in_flight.length == 0)
    writer->read_back_us = now_us;
  writer->stats.read_back++;
  end_record_ (writer, queued, COLT_LOG_WRITE_DONE, offset);
}

void
colt_log_writer_requeue_missing (struct ColtLogWriter *writer, int64_t fresh_us)
{
  GQueue missing = G_QUEUE_INIT;
  struct ColtLogQueued *queued;

  while ((queued = g_queue_peek_head (&writer->unanswered)) != NULL
         && queued->unanswered_us <= fresh_us)
    g_queue_push_tail (&missing, g_queue_pop_head (&writer->unanswered));
  requeue_ (writer, &missing);
}

void
colt_log_writer_get_stats (const struct ColtLogWriter *writer,
                           struct ColtLogWriterStats *stats)
{
  *stats = writer->stats;
  stats->queued = g_hash_table_size (writer->by_id);
  stats->queued_bytes = writer->queued_bytes;
  stats->interval_us = get_interval_us_ (writer);
  stats->next_us = writer->next_us;
  stats->in_flight = writer->open;
  stats->uncertain = writer->unanswered.length;
}

static struct ColtLogQueued *
make_queued_ (const struct ColtLogItem *item,
              int64_t deadline_us,
              ColtLogWriteDone done,
              void *client)
{
  struct ColtLogQueued *queued = g_new0 (struct ColtLogQueued, 1);

  queued->item = *item;
  queued->item.body = g_memdup2 (item->body, item->size);
  queued->deadline_us = deadline_us;
  queued->done = done;
  queued->client = client;
  return queued;
}

static void
free_queued_ (void *data)
{
  struct ColtLogQueued *queued = data;

  g_free ((void *)queued->item.body);
  g_free (queued);
}

static void
enqueue_ (struct ColtLogWriter *writer,
          struct ColtLogQueued *queued,
          enum ColtLogRecordState state)
{
  queued->state = state;
  g_queue_push_tail (get_queue_ (writer, state), queued);
}

/* Moves records to the head of the waiting queue and keeps their order. */
static void
requeue_ (struct ColtLogWriter *writer, GQueue *from)
{
  struct ColtLogQueued *queued;

  while ((queued = g_queue_pop_tail (from)) != NULL)
    {
      queued->state = COLT_LOG_WAITING;
      g_queue_push_head (&writer->waiting, queued);
    }
}

static GQueue *
get_queue_ (struct ColtLogWriter *writer, enum ColtLogRecordState state)
{
  if (state == COLT_LOG_WAITING)
    return &writer->waiting;
  return state == COLT_LOG_IN_FLIGHT ? &writer->in_flight : &writer->unanswered;
}

/* The caller has removed the record from its queue. */
static void
end_record_ (struct ColtLogWriter *writer,
             struct ColtLogQueued *queued,
             enum ColtLogWriteResult result,
             uint64_t offset)
{
  ColtLogWriteDone done = queued->done;
  void *client = queued->client;

  writer->queued_bytes -= queued->item.size;
  if (result == COLT_LOG_WRITE_DONE)
    writer->stats.records++;
  else
    writer->stats.abandoned++;
  g_hash_table_remove (writer->by_id, &queued->item.id);
  if (done != NULL)
    done (client, result, offset);
}

static void
abandon_record_ (struct ColtLogWriter *writer, struct ColtLogQueued *queued)
{
  enum ColtLogWriteResult result = COLT_LOG_WRITE_NOT_DONE;

  if (queued->maybe_written || queued->state != COLT_LOG_WAITING)
    result = COLT_LOG_WRITE_UNCERTAIN;
  end_record_ (writer, queued, result, 0);
}

static void
abandon_expired_ (struct ColtLogWriter *writer, int64_t now_us)
{
  GQueue expired = G_QUEUE_INIT;
  int64_t earliest = COLT_TIME_NEVER;
  struct ColtLogQueued *queued;

  if (now_us < writer->earliest_deadline_us)
    return;
  collect_expired_ (&writer->waiting, now_us, &earliest, &expired);
  collect_expired_ (&writer->in_flight, now_us, &earliest, &expired);
  collect_expired_ (&writer->unanswered, now_us, &earliest, &expired);
  writer->earliest_deadline_us = earliest;
  while ((queued = g_queue_pop_head (&expired)) != NULL)
    abandon_record_ (writer, queued);
}

static void
collect_expired_ (GQueue *queue,
                  int64_t now_us,
                  int64_t *earliest,
                  GQueue *expired)
{
  GList *link = queue->head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct ColtLogQueued *queued = link->data;

      if (queued->deadline_us <= now_us)
        {
          g_queue_delete_link (queue, link);
          g_queue_push_tail (expired, queued);
        }
      else
        *earliest = MIN (*earliest, queued->deadline_us);
      link = next;
    }
}

static uint8_t *
build_batch_ (struct ColtLogWriter *writer, size_t *size)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct ColtLogItem));
  struct ColtLogQueued *queued;
  size_t bytes = 0;
  uint8_t *body;

  while ((queued = g_queue_peek_head (&writer->waiting)) != NULL
         && items->len < COLT_LOG_BATCH_RECORDS_MAX)
    {
      bytes += queued->item.size + RECORD_OVERHEAD;
      if (items->len > 0 && bytes > COLT_LOG_BATCH_MAX)
        break;
      g_queue_pop_head (&writer->waiting);
      enqueue_ (writer, queued, COLT_LOG_IN_FLIGHT);
      g_array_append_val (items, queued->item);
    }
  body = colt_log_batch_encode (writer->instance,
                                (const struct ColtLogItem *)items->data,
                                items->len, size);
  g_array_unref (items);
  return body;
}

static int64_t
get_interval_us_ (const struct ColtLogWriter *writer)
{
  return COLT_US_PER_S * writer->instances / COLT_LOG_FLEET_APPENDS_PER_S
         * writer->slowdown;
}

static void
end_written_records_ (struct ColtLogWriter *writer,
                      int64_t now_us,
                      uint64_t offset)
{
  GQueue written = writer->in_flight;
  struct ColtLogQueued *queued;

  g_queue_init (&writer->in_flight);
  writer->stats.appends++;
  writer->failures = 0;
  if (writer->slowdown > 1)
    writer->slowdown--;
  writer->next_us = MIN (writer->next_us, now_us + get_interval_us_ (writer));
  while ((queued = g_queue_pop_head (&written)) != NULL)
    end_record_ (writer, queued, COLT_LOG_WRITE_DONE, offset);
}

static void
mark_unanswered_ (struct ColtLogWriter *writer, int64_t now_us)
{
  struct ColtLogQueued *queued;

  while ((queued = g_queue_pop_head (&writer->in_flight)) != NULL)
    {
      queued->maybe_written = true;
      queued->unanswered_us = now_us;
      enqueue_ (writer, queued, COLT_LOG_UNANSWERED);
    }
}

static void
back_off_ (struct ColtLogWriter *writer, int64_t now_us)
{
  int64_t delay;

  writer->failures++;
  delay = colt_backoff_us (writer->failures, BACKOFF_FIRST_US, BACKOFF_LIMIT_US,
                           writer->random (writer->random_client));
  writer->next_us = MAX (writer->next_us, now_us + delay);
}

static void
slow_down_ (struct ColtLogWriter *writer, int64_t now_us)
{
  int64_t interval;

  writer->slowdown = MIN (writer->slowdown * 2, SLOWDOWN_MAX);
  interval = get_interval_us_ (writer);
  writer->next_us = now_us + interval / 2
                    + writer->random (writer->random_client) % interval;
}
