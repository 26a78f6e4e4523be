#include "scheduler_private.h"

/* Pause after a call that failed. */
#define RETRY_MS 150
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
  char *after;      /* last key of the page before */
  int64_t sync_end; /* where the topic ended when the first page was read */
  int64_t end;
  int64_t reached_us;
  int64_t steady_us; /* first answer after the last failure */
};

static void again_ (struct ColtWatch *watch, uint32_t after_ms);
static void read_ (evutil_socket_t fd, short what, void *arg);
static void take_page_ (void *client, const struct ColtLogAnswer *answer);
static void take_records_ (void *client, const struct ColtLogAnswer *answer);
static bool succeeded_ (struct ColtWatch *watch,
                        const struct ColtLogAnswer *answer);

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
  watch->client = *client;
  watch->channel = ports->log_open (ports->adapter);
  watch->timer = event_new (base, -1, 0, read_, watch);
  again_ (watch, 0);
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
colt_watch_steady_us (const struct ColtWatch *watch)
{
  return watch->failing ? COLT_TIME_NEVER : watch->steady_us;
}

void
colt_watch_hurry (struct ColtWatch *watch)
{
  if (!watch->busy)
    again_ (watch, 0);
}

static void
again_ (struct ColtWatch *watch, uint32_t after_ms)
{
  const struct timeval when
      = { after_ms / 1000, (suseconds_t)(after_ms % 1000) * 1000 };

  if (watch->timer != NULL)
    event_add (watch->timer, &when);
}

static void
read_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtWatch *watch = arg;

  (void)fd;
  (void)what;
  if (watch->busy)
    return;
  watch->busy = true;
  if (watch->synced)
    watch->ports->log_read (watch->channel, watch->topic, watch->end,
                            watch->times.wait_ms, take_records_, watch);
  else
    watch->ports->log_newest (watch->channel, watch->topic, watch->after,
                              take_page_, watch);
}

static void
take_page_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtWatch *watch = client;
  size_t i;

  watch->busy = false;
  if (watch->timer == NULL || !succeeded_ (watch, answer))
    return;
  /* Changes made while pages are read are seen by reading on from the end
   * that the first page told. */
  if (watch->after == NULL)
    watch->sync_end = answer->end;
  for (i = 0; i < answer->count; i++)
    watch->client.record (watch->client.client, &answer->records[i]);
  g_clear_pointer (&watch->after, g_free);
  if (answer->more && answer->count > 0)
    {
      watch->after = g_strdup (answer->records[answer->count - 1].key);
      again_ (watch, 0);
      return;
    }
  watch->synced = true;
  watch->end = watch->sync_end;
  if (watch->client.synced != NULL)
    watch->client.synced (watch->client.client);
  again_ (watch, 0);
}

static void
take_records_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtWatch *watch = client;
  size_t i;

  watch->busy = false;
  if (watch->timer == NULL)
    return;
  if (answer->outcome == COLT_LOG_EXPIRED)
    {
      watch->synced = false;
      again_ (watch, 0);
      return;
    }
  if (!succeeded_ (watch, answer))
    return;
  for (i = 0; i < answer->count; i++)
    {
      watch->end = answer->records[i].offset + 1;
      watch->client.record (watch->client.client, &answer->records[i]);
    }
  again_ (watch, answer->count > 0 ? watch->times.pause_ms : 0);
}

static bool
succeeded_ (struct ColtWatch *watch, const struct ColtLogAnswer *answer)
{
  if (answer->outcome == COLT_LOG_DONE)
    {
      watch->reached_us = colt_clock_monotonic_us ();
      if (watch->failing || watch->steady_us == 0)
        watch->steady_us = watch->reached_us;
      if (watch->failing)
        colt_log (COLT_LOG_INFO, MODULE, NULL, "topic %s can be read again",
                  colt_topic_string[watch->topic]);
      watch->failing = false;
      return true;
    }
  if (!watch->failing)
    colt_log (COLT_LOG_WARNING, MODULE, NULL, "topic %s can't be read: %s %s",
              colt_topic_string[watch->topic],
              colt_log_outcome_string[answer->outcome], answer->error.message);
  watch->failing = true;
  again_ (watch, RETRY_MS);
  return false;
}
