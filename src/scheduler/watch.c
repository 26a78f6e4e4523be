#include "scheduler_private.h"

/* Pause after a failed call. */
#define RETRY_MS 150
/* A read that takes this much longer than it waits for records was delayed, or
 * the process was paused; the next one doesn't wait. */
#define LATE_US (400 * COLT_US_PER_MS)
#define MODULE "watch"

struct ColtWatch
{
  const struct ColtPorts *ports;
  struct ColtLogChannel *channel;
  struct event *timer;
  enum ColtTopic topic;
  struct ColtWatchTimes times;
  struct ColtWatchClient client;
  bool synced;
  bool busy;
  bool failing;
  char *after;            /* last key of the previous page */
  int64_t sync_end;       /* end of the topic when the first page was read */
  int64_t end;            /* offset up to which the topic has been read */
  int64_t next_end;       /* the offset after all records so far */
  int64_t known_end;      /* next_end before the current read of the topic */
  int64_t ignored_offset; /* of the last record with an unreadable key */
  int64_t reached_us;
  int64_t sync_sent_us;     /* when the first page was requested */
  int64_t current_us;       /* when the last read to the end was requested */
  bool late;                /* the last read was */
  int64_t healthy_since_us; /* first answer after the last failure */
  enum ColtWatchTrouble trouble; /* of the last read */
  uint32_t failures;             /* in a row */
};

static void schedule_read_ (struct ColtWatch *watch, uint32_t after_ms);
static void read_topic_ (evutil_socket_t fd, short what, void *arg);
static void handle_page_ (void *client, const struct ColtLogAnswer *answer);
static void handle_records_ (void *client, const struct ColtLogAnswer *answer);
static void handle_end_ (void *client, const struct ColtLogAnswer *answer);
static void handle_record_ (struct ColtWatch *watch,
                            const struct ColtLogRecord *record);
static bool check_answer_ (struct ColtWatch *watch,
                           const struct ColtLogAnswer *answer);
static enum ColtWatchTrouble get_trouble_ (const struct ColtLogAnswer *answer);

const char *const colt_watch_trouble_string[]
    = { "none", "unreachable", "rejected", "no answer", "incomplete answer" };

struct ColtWatch *
colt_watch_create (struct event_base *base,
                   const struct ColtPorts *ports,
                   enum ColtTopic topic,
                   const struct ColtWatchTimes *times,
                   const struct ColtWatchClient *client)
{
  struct ColtWatch *watch = g_new0 (struct ColtWatch, 1);

  watch->ports = ports;
  watch->topic = topic;
  watch->times = *times;
  watch->ignored_offset = -1;
  watch->client = *client;
  watch->channel = ports->log_open (ports->adapter);
  watch->timer = event_new (base, -1, 0, read_topic_, watch);
  schedule_read_ (watch, 0);
  return watch;
}

void
colt_watch_destroy (struct ColtWatch *watch)
{
  if (watch == NULL)
    return;
  event_free (watch->timer);
  watch->timer = NULL;
  watch->ports->log_close (watch->channel);
  g_free (watch->after);
  g_free (watch);
}

int64_t
colt_watch_end (const struct ColtWatch *watch)
{
  return watch->end;
}

int64_t
colt_watch_reached_us (const struct ColtWatch *watch)
{
  return watch->reached_us;
}

int64_t
colt_watch_healthy_since_us (const struct ColtWatch *watch)
{
  return watch->failing ? COLT_TIME_NEVER : watch->healthy_since_us;
}

int64_t
colt_watch_current_us (const struct ColtWatch *watch)
{
  return watch->current_us;
}

bool
colt_watch_is_synced (const struct ColtWatch *watch)
{
  return watch->synced;
}

bool
colt_watch_is_new (const struct ColtWatch *watch,
                   const struct ColtLogRecord *record)
{
  return record->offset >= watch->known_end;
}

enum ColtWatchTrouble
colt_watch_trouble (const struct ColtWatch *watch)
{
  return watch->trouble;
}

void
colt_watch_read_now (struct ColtWatch *watch)
{
  if (!watch->busy)
    schedule_read_ (watch, 0);
}

static void
schedule_read_ (struct ColtWatch *watch, uint32_t after_ms)
{
  const struct timeval when
      = { after_ms / 1000, (suseconds_t)(after_ms % 1000) * 1000 };

  if (watch->timer != NULL)
    event_add (watch->timer, &when);
}

static void
read_topic_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtWatch *watch = arg;
  bool uncertain = watch->failing || watch->late;

  (void)fd;
  (void)what;
  if (watch->busy)
    return;
  watch->busy = true;
  if (watch->synced && uncertain && watch->times.skip_records > 0)
    watch->ports->log_end (watch->channel, watch->topic, handle_end_, watch);
  else if (watch->synced)
    watch->ports->log_read (watch->channel, watch->topic, watch->end,
                            uncertain ? 0 : watch->times.wait_ms,
                            handle_records_, watch);
  else
    watch->ports->log_newest (watch->channel, watch->topic, watch->after,
                              handle_page_, watch);
}

static void
handle_page_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtWatch *watch = client;
  size_t i;

  watch->busy = false;
  if (watch->timer == NULL || !check_answer_ (watch, answer))
    return;
  /* Reading continues at the end that the first page reported, so that changes
   * made while pages are read aren't missed. */
  if (watch->after == NULL)
    {
      watch->sync_end = answer->end;
      watch->sync_sent_us = answer->sent_us;
    }
  for (i = 0; i < answer->count; i++)
    handle_record_ (watch, &answer->records[i]);
  g_clear_pointer (&watch->after, g_free);
  if (answer->more)
    {
      watch->after = g_strdup (answer->last_key);
      schedule_read_ (watch, 0);
      return;
    }
  watch->synced = true;
  watch->known_end = watch->next_end;
  watch->end = watch->sync_end;
  watch->current_us = watch->sync_sent_us;
  if (watch->client.handle_synced != NULL)
    watch->client.handle_synced (watch->client.client);
  schedule_read_ (watch, 0);
}

static void
handle_records_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtWatch *watch = client;
  size_t i;

  watch->busy = false;
  if (watch->timer == NULL)
    return;
  if (answer->outcome == COLT_LOG_EXPIRED)
    {
      watch->synced = false;
      schedule_read_ (watch, 0);
      return;
    }
  if (!check_answer_ (watch, answer))
    return;
  for (i = 0; i < answer->count; i++)
    {
      watch->end = answer->records[i].offset + 1;
      handle_record_ (watch, &answer->records[i]);
    }
  watch->known_end = watch->next_end;
  if (watch->end >= answer->end)
    watch->current_us = MAX (watch->current_us, answer->sent_us);
  schedule_read_ (watch, answer->count > 0 ? watch->times.pause_ms : 0);
}

/* Decides whether to read all unread records, or only the newest of each key.
 */
static void
handle_end_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtWatch *watch = client;
  int64_t unread;

  watch->busy = false;
  if (watch->timer == NULL || !check_answer_ (watch, answer))
    return;
  watch->late = false;
  unread = answer->end - watch->end;
  if (unread <= 0)
    watch->current_us = MAX (watch->current_us, answer->sent_us);
  if (unread >= watch->times.skip_records)
    {
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "%lld records of topic %s are unread; reading the newest of "
                "each key",
                (long long)unread, colt_topic_string[watch->topic]);
      watch->synced = false;
    }
  schedule_read_ (watch, 0);
}

static void
handle_record_ (struct ColtWatch *watch, const struct ColtLogRecord *record)
{
  watch->next_end = MAX (watch->next_end, record->offset + 1);
  if (record->key[0] != '\0')
    watch->client.handle_record (watch->client.client, record);
  else if (colt_watch_is_new (watch, record)
           && record->offset != watch->ignored_offset)
    {
      watch->ignored_offset = record->offset;
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "record %lld of topic %s has an unreadable key; ignoring it",
                (long long)record->offset, colt_topic_string[watch->topic]);
    }
}

static bool
check_answer_ (struct ColtWatch *watch, const struct ColtLogAnswer *answer)
{
  if (answer->outcome == COLT_LOG_DONE)
    {
      watch->reached_us = colt_clock_monotonic_us ();
      if (watch->failing || watch->healthy_since_us == 0)
        watch->healthy_since_us = watch->reached_us;
      if (watch->failing)
        colt_log (COLT_LOG_INFO, MODULE, NULL,
                  "reads of topic %s succeed again after %u failures",
                  colt_topic_string[watch->topic], watch->failures);
      watch->failing = false;
      watch->trouble = COLT_WATCH_TROUBLE_NONE;
      watch->failures = 0;
      watch->late = watch->reached_us - answer->sent_us
                    > watch->times.wait_ms * COLT_US_PER_MS + LATE_US;
      return true;
    }
  watch->trouble = get_trouble_ (answer);
  watch->failures++;
  if (!watch->failing)
    colt_log (COLT_LOG_WARNING, MODULE, NULL,
              "reading topic %s failed; retrying: %s %s (%s, %zu bytes in "
              "%lld ms)",
              colt_topic_string[watch->topic],
              colt_log_outcome_string[answer->outcome], answer->error.message,
              colt_watch_trouble_string[watch->trouble], answer->received,
              (long long)((colt_clock_monotonic_us () - answer->sent_us)
                          / COLT_US_PER_MS));
  watch->failing = true;
  schedule_read_ (watch, RETRY_MS);
  return false;
}

static enum ColtWatchTrouble
get_trouble_ (const struct ColtLogAnswer *answer)
{
  if (answer->outcome != COLT_LOG_UNKNOWN)
    return answer->error.code == COLT_ERROR_UNREACHABLE ? COLT_WATCH_UNREACHABLE
                                                        : COLT_WATCH_REJECTED;
  return answer->received > 0 ? COLT_WATCH_INCOMPLETE : COLT_WATCH_NO_ANSWER;
}
