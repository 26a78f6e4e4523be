#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

/* Events in one message, and the bytes of results after which it is full. */
#define EVENTS_MAX 256u
#define EVENT_BYTES_MAX (1024u * 1024)
/* Until a home has to have taken events, in ms. */
#define EVENTS_TIMEOUT_MS 1000
/* Before events that a home did not take are sent again. */
#define EVENTS_RETRY_US (200 * COLT_US_PER_MS)
/* Events that wait for one home at most; the oldest results give way. */
#define EVENTS_QUEUE_MAX 8192u

struct ColtPendingEvent
{
  struct ColtTaskReport report; /* the result belongs to the event */
  enum ColtTaskEventKind kind;
  uint32_t server;
  enum ColtPlacementRefusal refusal;
};

/* Events that are on their way. */
struct ColtEventsSent
{
  struct ColtHomeLink *link;
  GQueue events;
};

static struct ColtHomeLink *find_link_ (struct ColtOwner *owner,
                                        uint32_t instance);
static void queue_ (struct ColtOwner *owner, struct ColtPendingEvent *event);
static void bound_queue_ (struct ColtHomeLink *link);
static void schedule_ (struct ColtHomeLink *link);
static void on_flush_ (evutil_socket_t fd, short what, void *arg);
static void flush_ (struct ColtHomeLink *link);
static void take_batch_ (struct ColtHomeLink *link,
                         struct ColtEventsSent *sent);
static uint8_t *pack_batch_ (const struct ColtEventsSent *sent, size_t *size);
static void on_taken_ (void *client,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void free_event_ (gpointer data);

void
colt_owner_tell (struct ColtOwner *owner,
                 const struct ColtTaskReport *report,
                 enum ColtTaskEventKind kind,
                 uint32_t server,
                 enum ColtPlacementRefusal refusal)
{
  struct ColtPendingEvent *event = g_new0 (struct ColtPendingEvent, 1);

  event->report = *report;
  event->kind = kind;
  event->server = server;
  event->refusal = refusal;
  event->report.result = NULL;
  if (kind == COLT_TASK_EVENT_ENDED && report->result != NULL)
    {
      uint8_t *result = g_malloc (report->result_size + 1);

      memcpy (result, report->result, report->result_size);
      event->report.result = result;
    }
  queue_ (owner, event);
}

void
colt_owner_retry_homes (struct ColtOwner *owner, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  GQueue moved = G_QUEUE_INIT;
  struct ColtPendingEvent *event;

  g_hash_table_iter_init (&iter, owner->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHomeLink *link = value;

      if (link->in_flight || g_queue_is_empty (&link->queue)
          || now_us < link->retry_us)
        continue;
      while ((event = g_queue_pop_head (&link->queue)) != NULL)
        g_queue_push_tail (&moved, event);
    }
  while ((event = g_queue_pop_head (&moved)) != NULL)
    queue_ (owner, event);
}

size_t
colt_owner_untold (const struct ColtOwner *owner)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, owner->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHomeLink *link = value;

      count += g_queue_get_length ((GQueue *)&link->queue)
               + (link->in_flight ? 1 : 0);
    }
  return count;
}

void
colt_home_link_free (gpointer data)
{
  struct ColtHomeLink *link = data;

  event_free (link->flush);
  g_queue_clear_full (&link->queue, free_event_);
  g_free (link);
}

static struct ColtHomeLink *
find_link_ (struct ColtOwner *owner, uint32_t instance)
{
  struct ColtHomeLink *link
      = g_hash_table_lookup (owner->homes, GUINT_TO_POINTER (instance));

  if (link != NULL)
    return link;
  link = g_new0 (struct ColtHomeLink, 1);
  link->owner = owner;
  link->instance = instance;
  link->flush = evtimer_new (owner->parts.base, on_flush_, link);
  g_queue_init (&link->queue);
  g_hash_table_insert (owner->homes, GUINT_TO_POINTER (instance), link);
  return link;
}

/* An event goes to whoever leads its shard by then. */
static void
queue_ (struct ColtOwner *owner, struct ColtPendingEvent *event)
{
  struct ColtHomeLink *link
      = find_link_ (owner, owner->leads[event->report.shard]);

  g_queue_push_tail (&link->queue, event);
  bound_queue_ (link);
  schedule_ (link);
}

/* A home that misses an event asks for it; the results are with the server. */
static void
bound_queue_ (struct ColtHomeLink *link)
{
  while (g_queue_get_length (&link->queue) > EVENTS_QUEUE_MAX)
    free_event_ (g_queue_pop_head (&link->queue));
}

static void
schedule_ (struct ColtHomeLink *link)
{
  const struct timeval soon = { 0, 0 };

  if (evtimer_pending (link->flush, NULL) || link->in_flight
      || link->instance == 0)
    return;
  evtimer_add (link->flush, &soon);
}

static void
on_flush_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtHomeLink *link = arg;

  (void)fd;
  (void)what;
  if (!link->in_flight && !g_queue_is_empty (&link->queue)
      && colt_clock_monotonic_us () >= link->retry_us)
    flush_ (link);
}

static void
flush_ (struct ColtHomeLink *link)
{
  struct ColtEventsSent *sent = g_new0 (struct ColtEventsSent, 1);
  uint8_t *body;
  size_t size;

  sent->link = link;
  g_queue_init (&sent->events);
  take_batch_ (link, sent);
  body = pack_batch_ (sent, &size);
  link->in_flight = true;
  colt_wire_call (link->owner->parts.wire, link->instance,
                  COLT_WIRE_PLACE_EVENTS, body, size, EVENTS_TIMEOUT_MS,
                  on_taken_, sent);
  free (body);
}

static void
take_batch_ (struct ColtHomeLink *link, struct ColtEventsSent *sent)
{
  size_t bytes = 0;
  struct ColtPendingEvent *event;

  while (g_queue_get_length (&sent->events) < EVENTS_MAX
         && bytes < EVENT_BYTES_MAX
         && (event = g_queue_pop_head (&link->queue)) != NULL)
    {
      bytes += event->report.result_size;
      g_queue_push_tail (&sent->events, event);
    }
}

static uint8_t *
pack_batch_ (const struct ColtEventsSent *sent, size_t *size)
{
  guint count = g_queue_get_length ((GQueue *)&sent->events);
  struct ColtReportBuffer *reports = g_new0 (struct ColtReportBuffer, count);
  struct ColtRefBuffer *refs = g_new0 (struct ColtRefBuffer, count);
  ColtTaskEvent *words = g_new0 (ColtTaskEvent, count);
  ColtTaskEvent **list = g_new0 (ColtTaskEvent *, count);
  ColtEventsWord word = COLT_EVENTS_WORD__INIT;
  const GList *link;
  uint8_t *body;
  guint i = 0;

  for (link = sent->events.head; link != NULL; link = link->next, i++)
    {
      const struct ColtPendingEvent *event = link->data;

      colt_task_event__init (&words[i]);
      colt_ref_fill (&refs[i], &event->report.ref);
      words[i].ref = &refs[i].word;
      words[i].kind = event->kind;
      words[i].server = event->server;
      words[i].shard_epoch = event->report.shard_epoch;
      words[i].refusal = event->refusal;
      if (event->kind == COLT_TASK_EVENT_ENDED)
        {
          colt_report_fill (&reports[i], &event->report);
          words[i].report = &reports[i].word;
        }
      list[i] = &words[i];
    }
  word.events = list;
  word.n_events = count;
  body = colt_message_pack (&word.base, size);
  g_free (reports);
  g_free (refs);
  g_free (words);
  g_free (list);
  return body;
}

static void
on_taken_ (void *client,
           enum ColtWireResult result,
           const uint8_t *body,
           size_t size)
{
  struct ColtEventsSent *sent = client;
  struct ColtHomeLink *link = sent->link;
  struct ColtPendingEvent *event;

  (void)body;
  (void)size;
  link->in_flight = false;
  if (result != COLT_WIRE_REPLIED)
    {
      link->retry_us = colt_clock_monotonic_us () + EVENTS_RETRY_US;
      while ((event = g_queue_pop_tail (&sent->events)) != NULL)
        g_queue_push_head (&link->queue, event);
    }
  g_queue_clear_full (&sent->events, free_event_);
  g_free (sent);
  if (!g_queue_is_empty (&link->queue) && result == COLT_WIRE_REPLIED)
    schedule_ (link);
}

static void
free_event_ (gpointer data)
{
  struct ColtPendingEvent *event = data;

  g_free ((void *)event->report.result);
  g_free (event);
}
