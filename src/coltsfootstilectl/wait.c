#include <string.h>

#include "coltsfootstile/clock.h"
#include "ctl.h"

#define POLL_PAUSE_MS 50
#define POLL_TIMEOUT_MS 1000u
#define STATE_PATH "/v1/state/bundle"

/* An entry instance, polled until it has settled: until it shows an effect
   other than COLT_CTL_EFFECT_PENDING. */
struct ColtCtlEntry
{
  struct ColtCtlPoll *poll;
  struct ColtHttpClient *http;
  const char *address;
  struct event *timer;
  enum ColtCtlEffect effect;
  json_int_t zone;
  json_int_t instance;
  int64_t settled_us;
  char reason[COLT_ERROR_MESSAGE_SIZE];
};

struct ColtCtlPoll
{
  struct event_base *base;
  const struct ColtCtlWait *wait;
  struct ColtCtlEntry *entries;
  guint count;
  guint unsettled; /* number of entries that have not settled */
  int64_t start_us;
};

static void start_polling_ (struct ColtCtlPoll *poll);
static void on_timeout_ (evutil_socket_t fd, short what, void *data);
static void poll_entry_ (evutil_socket_t fd, short what, void *data);
static void on_answer_ (void *client, const struct ColtHttpAnswer *answer);
static void evaluate_answer_ (struct ColtCtlEntry *entry, const json_t *state);
static enum ColtCtlEffect combine_effects_ (const struct ColtCtlPoll *poll);
static void report_entries_ (const struct ColtCtlPoll *poll, json_t *report);

enum ColtCtlEffect
colt_ctl_wait (const struct ColtCtlWait *wait, json_t *report)
{
  struct ColtCtlPoll poll = { .base = event_base_new (), .wait = wait };
  struct timeval timeout
      = { wait->timeout_ms / 1000, wait->timeout_ms % 1000 * 1000 };
  enum ColtCtlEffect effect;
  guint i;

  start_polling_ (&poll);
  event_base_once (poll.base, -1, EV_TIMEOUT, on_timeout_, poll.base, &timeout);
  if (poll.unsettled > 0)
    event_base_dispatch (poll.base);
  effect = combine_effects_ (&poll);
  report_entries_ (&poll, report);
  /* Destroying the clients ends open calls; their answers are ignored. */
  for (i = 0; i < poll.count; i++)
    poll.entries[i].poll = NULL;
  for (i = 0; i < poll.count; i++)
    {
      colt_http_client_destroy (poll.entries[i].http);
      event_free (poll.entries[i].timer);
    }
  g_free (poll.entries);
  event_base_free (poll.base);
  return effect;
}

static void
start_polling_ (struct ColtCtlPoll *poll)
{
  guint i;

  poll->start_us = colt_clock_monotonic_us ();
  poll->count = poll->wait->entries->len;
  poll->unsettled = poll->count;
  poll->entries = g_new0 (struct ColtCtlEntry, poll->count);
  for (i = 0; i < poll->count; i++)
    {
      struct ColtCtlEntry *entry = &poll->entries[i];

      entry->poll = poll;
      entry->address = g_ptr_array_index (poll->wait->entries, i);
      entry->http = colt_http_client_create (poll->base, entry->address,
                                             COLT_CTL_ANSWER_MAX, 1);
      entry->timer = evtimer_new (poll->base, poll_entry_, entry);
      g_strlcpy (entry->reason, "no answer yet", sizeof entry->reason);
      poll_entry_ (-1, 0, entry);
    }
}

static void
on_timeout_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (data);
}

static void
poll_entry_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtCtlEntry *entry = data;

  (void)fd;
  (void)what;
  colt_http_client_call (entry->http, STATE_PATH, NULL, POLL_TIMEOUT_MS,
                         on_answer_, entry);
}

static void
on_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  static const struct timeval pause = { 0, POLL_PAUSE_MS * 1000 };
  struct ColtCtlEntry *entry = client;
  struct ColtCtlPoll *poll = entry->poll;
  json_t *state = NULL;

  if (poll == NULL)
    return;
  if (answer->result == COLT_HTTP_ANSWERED && answer->status == 200)
    state = json_loadb (answer->body, answer->size, 0, NULL);
  if (json_is_object (state))
    evaluate_answer_ (entry, state);
  else if (answer->result == COLT_HTTP_ANSWERED)
    g_snprintf (entry->reason, sizeof entry->reason, "status %d",
                answer->status);
  else
    g_strlcpy (entry->reason, answer->error.message, sizeof entry->reason);
  json_decref (state);
  if (entry->effect == COLT_CTL_EFFECT_PENDING)
    event_add (entry->timer, &pause);
  else if (--poll->unsettled == 0)
    event_base_loopbreak (poll->base);
}

static void
evaluate_answer_ (struct ColtCtlEntry *entry, const json_t *state)
{
  const struct ColtCtlWait *wait = entry->poll->wait;

  entry->zone = json_integer_value (json_object_get (state, "zone"));
  entry->instance = json_integer_value (json_object_get (state, "instance"));
  entry->effect = wait->evaluate (wait->client, state);
  entry->settled_us = colt_clock_monotonic_us ();
  if (entry->effect == COLT_CTL_EFFECT_PENDING)
    g_strlcpy (entry->reason, "record not read yet", sizeof entry->reason);
}

/* A conflict or refusal at one instance holds for all, because all apply the
   same log. A change is in force only when all instances show it. */
static enum ColtCtlEffect
combine_effects_ (const struct ColtCtlPoll *poll)
{
  enum ColtCtlEffect effect = COLT_CTL_EFFECT_IN_FORCE;
  guint i;

  for (i = 0; i < poll->count; i++)
    {
      enum ColtCtlEffect entry_effect = poll->entries[i].effect;

      if (entry_effect == COLT_CTL_EFFECT_CONFLICT
          || entry_effect == COLT_CTL_EFFECT_REFUSED)
        return entry_effect;
      if (entry_effect == COLT_CTL_EFFECT_PENDING)
        effect = COLT_CTL_EFFECT_PENDING;
    }
  return effect;
}

static void
report_entries_ (const struct ColtCtlPoll *poll, json_t *report)
{
  json_t *zones = json_array ();
  json_t *pending = json_array ();
  guint i;

  for (i = 0; i < poll->count; i++)
    {
      const struct ColtCtlEntry *entry = &poll->entries[i];

      if (entry->effect == COLT_CTL_EFFECT_PENDING)
        json_array_append_new (pending,
                               json_pack ("{s:s,s:s}", "entry", entry->address,
                                          "reason", entry->reason));
      else
        json_array_append_new (
            zones, json_pack ("{s:I,s:I,s:I}", "zone", entry->zone, "instance",
                              entry->instance, "ms",
                              (json_int_t)((entry->settled_us - poll->start_us)
                                           / COLT_US_PER_MS)));
    }
  json_object_set_new (report, "zones", zones);
  json_object_set_new (report, "waiting", pending);
}
