#include "server_events.h"

#include <glib.h>

const char *const colt_standin_event_string[]
    = { "finished", "usage", "lapsed", "stopped" };

struct ColtStandinEvents
{
  GQueue queue;     /* of struct ColtStandinEvent, by seq */
  int64_t last_seq; /* of the newest event, dropped or not */
};

struct ColtStandinEvents *
colt_standin_events_create (void)
{
  struct ColtStandinEvents *events = g_new0 (struct ColtStandinEvents, 1);

  g_queue_init (&events->queue);
  return events;
}

void
colt_standin_events_destroy (struct ColtStandinEvents *events)
{
  if (events == NULL)
    return;
  g_queue_clear_full (&events->queue, g_free);
  g_free (events);
}

int64_t
colt_standin_events_add (struct ColtStandinEvents *events,
                         enum ColtStandinEventKind kind,
                         const struct ColtStandinTask *task,
                         const struct ColtResources *usage)
{
  struct ColtStandinEvent *event = g_new0 (struct ColtStandinEvent, 1);

  event->seq = ++events->last_seq;
  event->kind = kind;
  event->usage = *usage;
  event->task = task;
  g_queue_push_tail (&events->queue, event);
  return event->seq;
}

int64_t
colt_standin_events_last_seq (const struct ColtStandinEvents *events)
{
  return events->last_seq;
}

void
colt_standin_events_drop (struct ColtStandinEvents *events, int64_t seq)
{
  const struct ColtStandinEvent *event = g_queue_peek_head (&events->queue);

  while (event != NULL && event->seq <= seq)
    {
      g_free (g_queue_pop_head (&events->queue));
      event = g_queue_peek_head (&events->queue);
    }
}

void
colt_standin_events_visit (const struct ColtStandinEvents *events,
                           int64_t after,
                           ColtStandinEventVisitor visit,
                           void *client)
{
  const GList *link;

  for (link = events->queue.head; link != NULL; link = link->next)
    {
      const struct ColtStandinEvent *event = link->data;

      if (event->seq > after && !visit (client, event))
        return;
    }
}
