#include <assert.h>
#include <event2/event.h>
#include <glib.h>
#include <sodium.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/log_service.h"

#define MODULE "platform"

struct ColtLogClient
{
  struct event_base *base;
  struct ColtLogDriver *driver;
  struct ColtLogWriter *writer;
  struct ColtLogReader *reader;
  struct ColtLogReaderHandler reader_handler;
  const struct ColtLogReaderHandler *handler;
  void *client;
  void (*progress) (void *client);
  void *progress_client;
  struct event *timer;
  bool started;
  bool closing;
  bool append_failing; /* the failure was logged; reset by a success */
  bool read_failing;
};

static uint32_t get_random_ (void *client);
static void on_record_ (void *client, const struct ColtLogItem *item);
static void on_duplicate_ (void *client, const struct ColtLogItem *item);
static void on_gap_ (void *client, uint64_t expected, uint64_t first);
static void
on_skipped_ (void *client, uint64_t offset, const struct ColtError *error);
static void on_timer_ (evutil_socket_t fd, short what, void *client);
static void start_due_calls_ (struct ColtLogClient *log);
static void start_due_read_ (struct ColtLogClient *log, int64_t now_us);
static void start_due_append_ (struct ColtLogClient *log, int64_t now_us);
static void set_timer_ (struct ColtLogClient *log);
static void on_append_done_ (void *client,
                             enum ColtLogResult result,
                             uint64_t offset,
                             const struct ColtError *error);
static void on_read_done_ (void *client,
                           const struct ColtLogPage *page,
                           const struct ColtError *error);
static void log_failure_change_ (bool *failing,
                                 const char *what,
                                 const struct ColtError *error);

struct ColtLogClient *
colt_log_client_create (struct event_base *base,
                        struct ColtLogDriver *driver,
                        uint32_t instance,
                        uint64_t from,
                        const struct ColtLogReaderHandler *handler,
                        void *client)
{
  struct ColtLogClient *log = g_new0 (struct ColtLogClient, 1);

  log->base = base;
  log->driver = driver;
  log->handler = handler;
  log->client = client;
  log->reader_handler.record = on_record_;
  log->reader_handler.duplicate = on_duplicate_;
  log->reader_handler.gap = on_gap_;
  log->reader_handler.skipped = on_skipped_;
  log->writer = colt_log_writer_create (instance, get_random_, NULL);
  log->reader = colt_log_reader_create (from, &log->reader_handler, log,
                                        get_random_, NULL);
  log->timer = event_new (base, -1, 0, on_timer_, log);
  return log;
}

void
colt_log_client_destroy (struct ColtLogClient *log)
{
  if (log == NULL)
    return;
  log->closing = true;
  log->driver->destroy (log->driver);
  colt_log_writer_abandon (log->writer);
  colt_log_writer_destroy (log->writer);
  colt_log_reader_destroy (log->reader);
  event_free (log->timer);
  g_free (log);
}

void
colt_log_client_start (struct ColtLogClient *log)
{
  log->started = true;
  event_active (log->timer, 0, 0);
}

void
colt_log_client_set_progress (struct ColtLogClient *log,
                              void (*progress) (void *client),
                              void *client)
{
  log->progress = progress;
  log->progress_client = client;
}

void
colt_log_client_set_instances (struct ColtLogClient *log, uint32_t count)
{
  colt_log_writer_set_instances (log->writer, count);
}

enum ColtLogAddStatus
colt_log_client_add (struct ColtLogClient *log,
                     const struct ColtLogItem *item,
                     int64_t deadline_us,
                     ColtLogWriteDone done,
                     void *client)
{
  enum ColtLogAddStatus status;

  assert (!log->closing);
  status = colt_log_writer_add (log->writer, item, deadline_us, done, client);
  if (status == COLT_LOG_ADD_QUEUED && log->started)
    event_active (log->timer, 0, 0);
  return status;
}

void
colt_log_client_mark_seen (struct ColtLogClient *log, const struct ColtId *id)
{
  colt_log_reader_mark_seen (log->reader, id);
}

int64_t
colt_log_client_fresh_us (const struct ColtLogClient *log)
{
  return colt_log_reader_fresh_us (log->reader);
}

uint64_t
colt_log_client_offset (const struct ColtLogClient *log)
{
  return colt_log_reader_offset (log->reader);
}

void
colt_log_client_get_stats (const struct ColtLogClient *log,
                           struct ColtLogWriterStats *writer,
                           struct ColtLogReaderStats *reader)
{
  if (writer != NULL)
    colt_log_writer_get_stats (log->writer, writer);
  if (reader != NULL)
    colt_log_reader_get_stats (log->reader, reader);
}

static uint32_t
get_random_ (void *client)
{
  (void)client;
  return randombytes_random ();
}

static void
on_record_ (void *client, const struct ColtLogItem *item)
{
  struct ColtLogClient *log = client;

  colt_log_writer_confirm_record (log->writer, colt_clock_monotonic_us (),
                                  &item->id, item->offset);
  log->handler->record (log->client, item);
}

static void
on_duplicate_ (void *client, const struct ColtLogItem *item)
{
  struct ColtLogClient *log = client;

  colt_log_writer_confirm_record (log->writer, colt_clock_monotonic_us (),
                                  &item->id, item->offset);
  if (log->handler->duplicate != NULL)
    log->handler->duplicate (log->client, item);
}

static void
on_gap_ (void *client, uint64_t expected, uint64_t first)
{
  struct ColtLogClient *log = client;

  if (log->handler->gap != NULL)
    log->handler->gap (log->client, expected, first);
}

static void
on_skipped_ (void *client, uint64_t offset, const struct ColtError *error)
{
  struct ColtLogClient *log = client;

  colt_log_error (COLT_LOG_ERROR, MODULE,
                  "append can't be decoded; skipping its records", error);
  if (log->handler->skipped != NULL)
    log->handler->skipped (log->client, offset, error);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *client)
{
  (void)fd;
  (void)what;
  start_due_calls_ (client);
}

static void
start_due_calls_ (struct ColtLogClient *log)
{
  int64_t now_us = colt_clock_monotonic_us ();

  if (log->closing || !log->started)
    return;
  start_due_read_ (log, now_us);
  start_due_append_ (log, now_us);
  set_timer_ (log);
}

static void
start_due_read_ (struct ColtLogClient *log, int64_t now_us)
{
  struct ColtLogReadCall call;

  if (colt_log_reader_begin_read (log->reader, now_us, &call))
    log->driver->read (log->driver, call.from, call.max, call.wait_ms,
                       on_read_done_, log);
}

static void
start_due_append_ (struct ColtLogClient *log, int64_t now_us)
{
  const uint8_t *body;
  size_t size;

  if (colt_log_writer_is_stuck (log->writer, now_us))
    {
      log->driver->cancel_append (log->driver);
      return;
    }
  body = colt_log_writer_process (log->writer, now_us, &size);
  if (body != NULL)
    log->driver->append (log->driver, body, size, on_append_done_, log);
}

static void
set_timer_ (struct ColtLogClient *log)
{
  int64_t wake_us = MIN (colt_log_writer_wake_us (log->writer),
                         colt_log_reader_wake_us (log->reader));
  int64_t delay_us;
  struct timeval delay;

  event_del (log->timer);
  if (wake_us == COLT_TIME_NEVER)
    return;
  delay_us = wake_us == INT64_MIN ? 0 : wake_us - colt_clock_monotonic_us ();
  delay_us = MAX (delay_us, 0);
  delay.tv_sec = delay_us / COLT_US_PER_S;
  delay.tv_usec = delay_us % COLT_US_PER_S;
  event_add (log->timer, &delay);
}

static void
on_append_done_ (void *client,
                 enum ColtLogResult result,
                 uint64_t offset,
                 const struct ColtError *error)
{
  struct ColtLogClient *log = client;

  if (log->closing)
    return;
  if (result != COLT_LOG_THROTTLED)
    log_failure_change_ (&log->append_failing, "appends to the log fail",
                         error);
  colt_log_writer_end_append (log->writer, colt_clock_monotonic_us (), result,
                              offset);
  start_due_calls_ (log);
}

static void
on_read_done_ (void *client,
               const struct ColtLogPage *page,
               const struct ColtError *error)
{
  struct ColtLogClient *log = client;
  struct ColtError page_error = { 0 };

  if (log->closing)
    return;
  if (!colt_log_reader_end_read (log->reader, colt_clock_monotonic_us (), page,
                                 &page_error))
    error = &page_error;
  log_failure_change_ (&log->read_failing, "reads of the log fail", error);
  colt_log_writer_requeue_missing (log->writer,
                                   colt_log_reader_fresh_us (log->reader));
  if (log->progress != NULL)
    log->progress (log->progress_client);
  start_due_calls_ (log);
}

/* Logs the first failure and the first success after it. */
static void
log_failure_change_ (bool *failing,
                     const char *what,
                     const struct ColtError *error)
{
  if (*failing == (error != NULL))
    return;
  *failing = error != NULL;
  if (error != NULL)
    colt_log_error (COLT_LOG_WARNING, MODULE, what, error);
  else
    colt_log (COLT_LOG_INFO, MODULE, NULL, "resolved: %s", what);
}
