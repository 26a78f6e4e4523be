#include <string.h>

#include "coltsfootstile/clock.h"
#include "ctl.h"

#define POLL_MS 50
#define POLL_TIMEOUT_MS 1000u
#define PATH "/v1/state/bundle"

/* One entry instance that is asked again and again. */
struct ColtCtlEntry
{
  struct ColtCtlWaiting *waiting;
  struct ColtHttpClient *http;
  const char *address;
  struct event *timer;
  enum ColtCtlEffect effect;
  json_int_t zone;
  json_int_t instance;
  int64_t settled_us;
  char reason[COLT_ERROR_MESSAGE_SIZE];
};

struct ColtCtlWaiting
{
  struct event_base *base;
  const struct ColtCtlWait *wait;
  struct ColtCtlEntry *entries;
  guint count;
  guint open; /* entries that have not settled */
  int64_t began_us;
};

static void start_ (struct ColtCtlWaiting *waiting);
static void stop_ (evutil_socket_t fd, short what, void *data);
static void ask_ (evutil_socket_t fd, short what, void *data);
static void take_ (void *client, const struct ColtHttpAnswer *answer);
static void judge_ (struct ColtCtlEntry *entry, const json_t *state);
static enum ColtCtlEffect sum_up_ (const struct ColtCtlWaiting *waiting);
static void report_ (const struct ColtCtlWaiting *waiting, json_t *report);

enum ColtCtlEffect
colt_ctl_wait (const struct ColtCtlWait *wait, json_t *report)
{
  struct ColtCtlWaiting waiting = { .base = event_base_new (), .wait = wait };
  struct timeval timeout
      = { wait->timeout_ms / 1000, wait->timeout_ms % 1000 * 1000 };
  enum ColtCtlEffect effect;
  guint i;

  start_ (&waiting);
  event_base_once (waiting.base, -1, EV_TIMEOUT, stop_, waiting.base, &timeout);
  if (waiting.open > 0)
    event_base_dispatch (waiting.base);
  effect = sum_up_ (&waiting);
  report_ (&waiting, report);
  for (i = 0; i < waiting.count; i++)
    waiting.entries[i].waiting = NULL;
  for (i = 0; i < waiting.count; i++)
    {
      colt_http_client_destroy (waiting.entries[i].http);
      event_free (waiting.entries[i].timer);
    }
  g_free (waiting.entries);
  event_base_free (waiting.base);
  return effect;
}

static void
start_ (struct ColtCtlWaiting *waiting)
{
  guint i;

  waiting->began_us = colt_clock_monotonic_us ();
  waiting->count = waiting->wait->entries->len;
  waiting->open = waiting->count;
  waiting->entries = g_new0 (struct ColtCtlEntry, waiting->count);
  for (i = 0; i < waiting->count; i++)
    {
      struct ColtCtlEntry *entry = &waiting->entries[i];

      entry->waiting = waiting;
      entry->address = g_ptr_array_index (waiting->wait->entries, i);
      entry->http = colt_http_client_create (waiting->base, entry->address,
                                             COLT_CTL_ANSWER_MAX, 1);
      entry->timer = evtimer_new (waiting->base, ask_, entry);
      g_strlcpy (entry->reason, "was not asked", sizeof entry->reason);
      ask_ (-1, 0, entry);
    }
}

static void
stop_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (data);
}

static void
ask_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtCtlEntry *entry = data;

  (void)fd;
  (void)what;
  colt_http_client_call (entry->http, PATH, NULL, POLL_TIMEOUT_MS, take_,
                         entry);
}

static void
take_ (void *client, const struct ColtHttpAnswer *answer)
{
  static const struct timeval pause = { 0, POLL_MS * 1000 };
  struct ColtCtlEntry *entry = client;
  struct ColtCtlWaiting *waiting = entry->waiting;
  json_t *state = NULL;

  if (waiting == NULL)
    return;
  if (answer->result == COLT_HTTP_ANSWERED && answer->status == 200)
    state = json_loadb (answer->body, answer->size, 0, NULL);
  if (json_is_object (state))
    judge_ (entry, state);
  else if (answer->result == COLT_HTTP_ANSWERED)
    g_snprintf (entry->reason, sizeof entry->reason, "status %d",
                answer->status);
  else
    g_strlcpy (entry->reason, answer->error.message, sizeof entry->reason);
  json_decref (state);
  if (entry->effect == COLT_CTL_PENDING)
    event_add (entry->timer, &pause);
  else if (--waiting->open == 0)
    event_base_loopbreak (waiting->base);
}

static void
judge_ (struct ColtCtlEntry *entry, const json_t *state)
{
  const struct ColtCtlWait *wait = entry->waiting->wait;

  entry->zone = json_integer_value (json_object_get (state, "zone"));
  entry->instance = json_integer_value (json_object_get (state, "instance"));
  entry->effect = wait->judge (wait->client, state);
  entry->settled_us = colt_clock_monotonic_us ();
  if (entry->effect == COLT_CTL_PENDING)
    g_strlcpy (entry->reason, "has not read it yet", sizeof entry->reason);
}

/* One instance that has read the record knows the outcome for all; it is in
   force only when all say so. */
static enum ColtCtlEffect
sum_up_ (const struct ColtCtlWaiting *waiting)
{
  enum ColtCtlEffect effect = COLT_CTL_IN_FORCE;
  guint i;

  for (i = 0; i < waiting->count; i++)
    {
      enum ColtCtlEffect one = waiting->entries[i].effect;

      if (one == COLT_CTL_LOST || one == COLT_CTL_NOT_TAKEN)
        return one;
      if (one == COLT_CTL_PENDING)
        effect = COLT_CTL_PENDING;
    }
  return effect;
}

static void
report_ (const struct ColtCtlWaiting *waiting, json_t *report)
{
  json_t *zones = json_array ();
  json_t *pending = json_array ();
  guint i;

  for (i = 0; i < waiting->count; i++)
    {
      const struct ColtCtlEntry *entry = &waiting->entries[i];

      if (entry->effect == COLT_CTL_PENDING)
        json_array_append_new (pending,
                               json_pack ("{s:s,s:s}", "entry", entry->address,
                                          "reason", entry->reason));
      else
        json_array_append_new (
            zones,
            json_pack ("{s:I,s:I,s:I}", "zone", entry->zone, "instance",
                       entry->instance, "ms",
                       (json_int_t)((entry->settled_us - waiting->began_us)
                                    / COLT_US_PER_MS)));
    }
  json_object_set_new (report, "zones", zones);
  json_object_set_new (report, "waiting", pending);
}
