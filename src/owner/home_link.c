#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

/* Limits of one batch: the number of events, and the size of their results in
 * bytes from which no further event is added. */
#define EVENTS_MAX 256u
#define EVENT_BYTES_MAX (1024u * 1024)
/* Time in which a home must acknowledge a batch. */
#define EVENTS_TIMEOUT_MS 1000
/* Delay before events that a home did not acknowledge are sent again. */
#define EVENTS_RETRY_US (200 * COLT_US_PER_MS)
/* Maximum number of events queued for one home; the oldest are dropped. */
#define EVENTS_QUEUE_MAX 8192u

struct ColtPendingEvent
{
  struct ColtTaskReport report; /* its result is owned by the event */
  enum ColtTaskEventKind kind;
  uint32_t server;
  enum ColtPlacementRefusal refusal;
};

/* A batch of events that was sent and is not acknowledged yet. */
struct ColtEventBatch
{
  struct ColtHomeLink *link;
  GQueue events;
};

static struct ColtHomeLink *get_link_ (struct ColtOwner *owner,
                                       uint32_t instance);
static void queue_event_ (struct ColtOwner *owner,
                          struct ColtPendingEvent *event);
static void trim_queue_ (struct ColtHomeLink *link);
static void schedule_flush_ (struct ColtHomeLink *link);
static void run_flush_ (evutil_socket_t fd, short what, void *arg);
static void send_batch_ (struct ColtHomeLink *link);
static void pop_batch_ (struct ColtHomeLink *link,
                        struct ColtEventBatch *batch);
static uint8_t *pack_batch_ (const struct ColtEventBatch *batch, size_t *size);
static void finish_batch_ (void *client,
                           enum ColtWireResult result,
                           const uint8_t *body,
                           size_t size);
static void free_event_ (gpointer data);

void
colt_owner_queue_event (struct ColtOwner *owner,
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
  queue_event_ (owner, event);
}

void
colt_owner_resend_events (struct ColtOwner *owner, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  GQueue due = G_QUEUE_INIT;
  struct ColtPendingEvent *event;

  g_hash_table_iter_init (&iter, owner->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHomeLink *link = value;

      if (link->in_flight || g_queue_is_empty (&link->queue)
          || now_us < link->retry_us)
        continue;
      while ((event = g_queue_pop_head (&link->queue)) != NULL)
        g_queue_push_tail (&due, event);
    }
  while ((event = g_queue_pop_head (&due)) != NULL)
    queue_event_ (owner, event);
}

size_t
colt_owner_count_pending_events (const struct ColtOwner *owner)
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

  event_free (link->flush_timer);
  g_queue_clear_full (&link->queue, free_event_);
  g_free (link);
}

static struct ColtHomeLink *
get_link_ (struct ColtOwner *owner, uint32_t instance)
{
  struct ColtHomeLink *link
      = g_hash_table_lookup (owner->homes, GUINT_TO_POINTER (instance));

  if (link != NULL)
    return link;
  link = g_new0 (struct ColtHomeLink, 1);
  link->owner = owner;
  link->instance = instance;
  link->flush_timer = evtimer_new (owner->parts.base, run_flush_, link);
  g_queue_init (&link->queue);
  g_hash_table_insert (owner->homes, GUINT_TO_POINTER (instance), link);
  return link;
}

/* Queues an event for the present leader of its shard, which may be another one
 * than when the event was first queued. */
static void
queue_event_ (struct ColtOwner *owner, struct ColtPendingEvent *event)
{
  struct ColtHomeLink *link
      = get_link_ (owner, owner->leaders[event->report.shard]);

  g_queue_push_tail (&link->queue, event);
  trim_queue_ (link);
  schedule_flush_ (link);
}

/* Drops the oldest events of a full queue. A home that misses an event queries
 * the task, and the backend server keeps the result. */
static void
trim_queue_ (struct ColtHomeLink *link)
{
  while (g_queue_get_length (&link->queue) > EVENTS_QUEUE_MAX)
    free_event_ (g_queue_pop_head (&link->queue));
}

static void
schedule_flush_ (struct ColtHomeLink *link)
{
  const struct timeval now = { 0, 0 };

  if (evtimer_pending (link->flush_timer, NULL) || link->in_flight
      || link->instance == 0)
    return;
  evtimer_add (link->flush_timer, &now);
}

static void
run_flush_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtHomeLink *link = arg;

  (void)fd;
  (void)what;
  if (!link->in_flight && !g_queue_is_empty (&link->queue)
      && colt_clock_monotonic_us () >= link->retry_us)
    send_batch_ (link);
}

static void
send_batch_ (struct ColtHomeLink *link)
{
  struct ColtEventBatch *batch = g_new0 (struct ColtEventBatch, 1);
  uint8_t *body;
  size_t size;

  batch->link = link;
  g_queue_init (&batch->events);
  pop_batch_ (link, batch);
  body = pack_batch_ (batch, &size);
  link->in_flight = true;
  colt_wire_call (link->owner->parts.wire, link->instance,
                  COLT_WIRE_PLACE_EVENTS, body, size, EVENTS_TIMEOUT_MS,
                  finish_batch_, batch);
  free (body);
}

static void
pop_batch_ (struct ColtHomeLink *link, struct ColtEventBatch *batch)
{
  size_t bytes = 0;
  struct ColtPendingEvent *event;

  while (g_queue_get_length (&batch->events) < EVENTS_MAX
         && bytes < EVENT_BYTES_MAX
         && (event = g_queue_pop_head (&link->queue)) != NULL)
    {
      bytes += event->report.result_size;
      g_queue_push_tail (&batch->events, event);
    }
}

static uint8_t *
pack_batch_ (const struct ColtEventBatch *batch, size_t *size)
{
  guint count = g_queue_get_length ((GQueue *)&batch->events);
  struct ColtReportBuffer *reports = g_new0 (struct ColtReportBuffer, count);
  struct ColtRefBuffer *refs = g_new0 (struct ColtRefBuffer, count);
  ColtTaskEvent *messages = g_new0 (ColtTaskEvent, count);
  ColtTaskEvent **list = g_new0 (ColtTaskEvent *, count);
  ColtEventsWord message = COLT_EVENTS_WORD__INIT;
  const GList *link;
  uint8_t *body;
  guint i = 0;

  for (link = batch->events.head; link != NULL; link = link->next, i++)
    {
      const struct ColtPendingEvent *event = link->data;

      colt_task_event__init (&messages[i]);
      colt_ref_fill (&refs[i], &event->report.ref);
      messages[i].ref = &refs[i].msg;
      messages[i].kind = event->kind;
      messages[i].server = event->server;
      messages[i].shard_epoch = event->report.shard_epoch;
      messages[i].refusal = event->refusal;
      if (event->kind == COLT_TASK_EVENT_ENDED)
        {
          colt_report_fill (&reports[i], &event->report);
          messages[i].report = &reports[i].msg;
        }
      list[i] = &messages[i];
    }
  message.events = list;
  message.n_events = count;
  body = colt_message_pack (&message.base, size);
  g_free (reports);
  g_free (refs);
  g_free (messages);
  g_free (list);
  return body;
}

static void
finish_batch_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtEventBatch *batch = client;
  struct ColtHomeLink *link = batch->link;
  struct ColtPendingEvent *event;

  (void)body;
  (void)size;
  link->in_flight = false;
  if (result != COLT_WIRE_REPLIED)
    {
      link->retry_us = colt_clock_monotonic_us () + EVENTS_RETRY_US;
      while ((event = g_queue_pop_tail (&batch->events)) != NULL)
        g_queue_push_head (&link->queue, event);
    }
  g_queue_clear_full (&batch->events, free_event_);
  g_free (batch);
  if (!g_queue_is_empty (&link->queue) && result == COLT_WIRE_REPLIED)
    schedule_flush_ (link);
}

static void
free_event_ (gpointer data)
{
  struct ColtPendingEvent *event = data;

  g_free ((void *)event->report.result);
  g_free (event);
}
