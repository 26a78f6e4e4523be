#include <assert.h>
#include <event2/event.h>
#include <glib.h>
#include <sodium.h>

#include "backoff.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/instance_list.h"
#include "coltsfootstile/log.h"
#include "list_json.h"

#define BACKOFF_LIMIT_US (10 * COLT_US_PER_S)

struct ColtListPoller
{
  struct ColtListDriver *driver;
  uint32_t zone;
  int64_t interval_us;
  ColtListChanged changed;
  void *client;
  struct event *timer;
  struct ColtListStorage *last_list;
  bool closing;
  struct ColtListPollerStats stats;
};

static void on_timer_ (evutil_socket_t fd, short what, void *client);
static void on_fetched_ (void *client,
                         const struct ColtInstanceList *list,
                         const struct ColtError *error);
static void handle_failure_ (struct ColtListPoller *poller,
                             const struct ColtError *error);
static void handle_list_ (struct ColtListPoller *poller,
                          const struct ColtInstanceList *list);
static void schedule_fetch_ (struct ColtListPoller *poller, int64_t delay_us);

struct ColtListPoller *
colt_list_poller_create (struct event_base *base,
                         struct ColtListDriver *driver,
                         uint32_t zone,
                         uint32_t interval_ms,
                         ColtListChanged changed,
                         void *client)
{
  struct ColtListPoller *poller = g_new0 (struct ColtListPoller, 1);

  assert (interval_ms > 0);
  poller->driver = driver;
  poller->zone = zone;
  poller->interval_us = interval_ms * COLT_US_PER_MS;
  poller->changed = changed;
  poller->client = client;
  poller->timer = event_new (base, -1, 0, on_timer_, poller);
  poller->stats.last_success_us = INT64_MIN;
  return poller;
}

void
colt_list_poller_destroy (struct ColtListPoller *poller)
{
  if (poller == NULL)
    return;
  poller->closing = true;
  poller->driver->destroy (poller->driver);
  event_free (poller->timer);
  colt_list_free (poller->last_list);
  g_free (poller);
}

void
colt_list_poller_start (struct ColtListPoller *poller)
{
  schedule_fetch_ (poller, 0);
}

const struct ColtInstanceList *
colt_list_poller_get (const struct ColtListPoller *poller)
{
  return poller->last_list != NULL ? &poller->last_list->list : NULL;
}

void
colt_list_poller_get_stats (const struct ColtListPoller *poller,
                            struct ColtListPollerStats *stats)
{
  *stats = poller->stats;
}

static void
on_timer_ (evutil_socket_t fd, short what, void *client)
{
  struct ColtListPoller *poller = client;

  (void)fd;
  (void)what;
  poller->driver->fetch (poller->driver, poller->zone, on_fetched_, poller);
}

static void
on_fetched_ (void *client,
             const struct ColtInstanceList *list,
             const struct ColtError *error)
{
  struct ColtListPoller *poller = client;

  if (poller->closing)
    return;
  if (list == NULL)
    handle_failure_ (poller, error);
  else
    handle_list_ (poller, list);
}

static void
handle_failure_ (struct ColtListPoller *poller, const struct ColtError *error)
{
  if (poller->stats.consecutive_failures == 0)
    colt_log_error (
        COLT_LOG_WARNING, "platform",
        "instance list fetch failed; retrying, the last list stays in use",
        error);
  poller->stats.failures++;
  poller->stats.consecutive_failures++;
  poller->stats.error = *error;
  schedule_fetch_ (poller,
                   colt_backoff_us (poller->stats.consecutive_failures,
                                    poller->interval_us,
                                    MAX (BACKOFF_LIMIT_US, poller->interval_us),
                                    randombytes_random ()));
}

static void
handle_list_ (struct ColtListPoller *poller,
              const struct ColtInstanceList *list)
{
  struct ColtListStorage *previous = poller->last_list;

  poller->stats.fetches++;
  poller->stats.consecutive_failures = 0;
  poller->stats.last_success_us = colt_clock_monotonic_us ();
  schedule_fetch_ (poller, poller->interval_us);
  poller->last_list = colt_list_copy (list);
  if (previous == NULL || !colt_list_equal (&previous->list, list))
    poller->changed (poller->client, &poller->last_list->list);
  colt_list_free (previous);
}

static void
schedule_fetch_ (struct ColtListPoller *poller, int64_t delay_us)
{
  struct timeval delay;

  delay.tv_sec = delay_us / COLT_US_PER_S;
  delay.tv_usec = delay_us % COLT_US_PER_S;
  event_add (poller->timer, &delay);
}
