#include "spans.h"

#include <string.h>

struct ColtSpanBuilder
{
  const struct ColtHistory *history;
  struct ColtHistorySpans *spans;
  GArray *order; /* of guint, indexes of events */
  GArray *kills; /* of struct ColtHistoryPeriod, by server and time */
};

static void collect_kills_ (struct ColtSpanBuilder *builder);
static void sort_events_ (struct ColtSpanBuilder *builder);
static void build_spans_ (struct ColtSpanBuilder *builder);
static bool is_same_attempt_ (const struct ColtHistoryEvent *a,
                              const struct ColtHistoryEvent *b);
static void open_span_ (struct ColtSpanBuilder *builder,
                        const struct ColtHistoryEvent *event);
static void resize_span_ (struct ColtHistorySpans *spans,
                          const struct ColtHistoryEvent *event);
static void close_span_ (struct ColtHistorySpans *spans,
                         const struct ColtHistoryEvent *event);
static int64_t find_kill_after_ (const struct ColtSpanBuilder *builder,
                                 uint32_t server,
                                 int64_t t_us);
static void index_requests_ (struct ColtSpanBuilder *builder);
static gint compare_kills_ (gconstpointer a, gconstpointer b);
static gint compare_events_ (gconstpointer a, gconstpointer b, gpointer data);
static gint compare_spans_ (gconstpointer a, gconstpointer b, gpointer data);

struct ColtHistorySpans *
colt_history_spans_create (const struct ColtHistory *history)
{
  struct ColtHistorySpans *spans = g_new0 (struct ColtHistorySpans, 1);
  struct ColtSpanBuilder builder = { .history = history, .spans = spans };

  spans->spans = g_array_new (FALSE, TRUE, sizeof (struct ColtHistorySpan));
  spans->pieces = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPiece));
  builder.order = g_array_new (FALSE, FALSE, sizeof (guint));
  builder.kills = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  collect_kills_ (&builder);
  sort_events_ (&builder);
  build_spans_ (&builder);
  index_requests_ (&builder);
  g_array_unref (builder.order);
  g_array_unref (builder.kills);
  return spans;
}

void
colt_history_spans_destroy (struct ColtHistorySpans *spans)
{
  if (spans == NULL)
    return;
  g_array_unref (spans->spans);
  g_array_unref (spans->pieces);
  g_free (spans->ranges);
  g_free (spans);
}

const struct ColtHistorySpan *
colt_history_span (const struct ColtHistorySpans *spans, guint index)
{
  return &g_array_index (spans->spans, struct ColtHistorySpan, index);
}

const struct ColtHistoryPiece *
colt_history_piece (const struct ColtHistorySpans *spans, guint index)
{
  return &g_array_index (spans->pieces, struct ColtHistoryPiece, index);
}

int64_t
colt_history_first_start (const struct ColtHistorySpans *spans,
                          uint32_t request)
{
  const struct ColtHistoryRange range = spans->ranges[request];
  int64_t first_us = COLT_TIME_NEVER;
  guint i;

  for (i = 0; i < range.count; i++)
    first_us
        = MIN (first_us, colt_history_span (spans, range.first + i)->start_us);
  return first_us;
}

/* Collects the times at which servers were killed: a kill ends all tasks of the
 * server, even if their ends aren't recorded. */
static void
collect_kills_ (struct ColtSpanBuilder *builder)
{
  const GArray *killed = builder->history->run.killed;
  const GArray *events = builder->history->events;
  guint i;

  g_array_append_vals (builder->kills, killed->data, killed->len);
  for (i = 0; i < events->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (events, struct ColtHistoryEvent, i);
      const struct ColtHistoryPeriod kill
          = { event->server, event->t_us, event->t_us };

      builder->spans->last_us = MAX (builder->spans->last_us, event->t_us);
      if (event->kind == COLT_HISTORY_DOWN)
        g_array_append_val (builder->kills, kill);
    }
  g_array_sort (builder->kills, compare_kills_);
}

static void
sort_events_ (struct ColtSpanBuilder *builder)
{
  const GArray *events = builder->history->events;
  guint i;

  for (i = 0; i < events->len; i++)
    {
      enum ColtHistoryEventKind kind
          = g_array_index (events, struct ColtHistoryEvent, i).kind;

      if (kind == COLT_HISTORY_START || kind == COLT_HISTORY_RESIZE
          || kind == COLT_HISTORY_END)
        g_array_append_val (builder->order, i);
    }
  g_array_sort_with_data (builder->order, compare_events_, (gpointer)events);
}

static void
build_spans_ (struct ColtSpanBuilder *builder)
{
  const GArray *events = builder->history->events;
  const struct ColtHistoryEvent *previous = NULL;
  bool open = false;
  guint i;

  for (i = 0; i < builder->order->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (events, struct ColtHistoryEvent,
                            g_array_index (builder->order, guint, i));

      if (previous == NULL || !is_same_attempt_ (previous, event))
        open = false;
      previous = event;
      if (event->kind == COLT_HISTORY_START)
        open_span_ (builder, event);
      else if (open && event->kind == COLT_HISTORY_RESIZE)
        resize_span_ (builder->spans, event);
      else if (open)
        close_span_ (builder->spans, event);
      else if (event->kind == COLT_HISTORY_END)
        builder->spans->odd_ends++;
      open = event->kind == COLT_HISTORY_START
             || (open && event->kind == COLT_HISTORY_RESIZE);
    }
}

static bool
is_same_attempt_ (const struct ColtHistoryEvent *a,
                  const struct ColtHistoryEvent *b)
{
  return a->request == b->request && a->index == b->index
         && a->attempt == b->attempt && a->server == b->server;
}

static void
open_span_ (struct ColtSpanBuilder *builder,
            const struct ColtHistoryEvent *event)
{
  const struct ColtHistorySpan span
      = { .request = event->request,
          .index = event->index,
          .attempt = event->attempt,
          .server = event->server,
          .team = event->team,
          .start_us = event->t_us,
          .end_us = find_kill_after_ (builder, event->server, event->t_us),
          .state = COLT_TASK_RUNNING,
          .start = event->source };
  const struct ColtHistoryPiece piece = { .span = builder->spans->spans->len,
                                          .from_us = event->t_us,
                                          .to_us = span.end_us,
                                          .limit = event->limit };

  g_array_append_val (builder->spans->spans, span);
  g_array_append_val (builder->spans->pieces, piece);
}

static void
resize_span_ (struct ColtHistorySpans *spans,
              const struct ColtHistoryEvent *event)
{
  struct ColtHistoryPiece *last = &g_array_index (
      spans->pieces, struct ColtHistoryPiece, spans->pieces->len - 1);
  const struct ColtHistoryPiece piece = { .span = last->span,
                                          .from_us = event->t_us,
                                          .to_us = last->to_us,
                                          .limit = event->limit };

  last->to_us = event->t_us;
  g_array_append_val (spans->pieces, piece);
}

static void
close_span_ (struct ColtHistorySpans *spans,
             const struct ColtHistoryEvent *event)
{
  struct ColtHistorySpan *span = &g_array_index (
      spans->spans, struct ColtHistorySpan, spans->spans->len - 1);
  struct ColtHistoryPiece *piece = &g_array_index (
      spans->pieces, struct ColtHistoryPiece, spans->pieces->len - 1);

  if (memcmp (&piece->limit, &event->limit, sizeof piece->limit) != 0)
    spans->unseen_resizes++;
  span->end_us = event->t_us;
  span->ended = true;
  span->state = event->state;
  span->end = event->source;
  piece->to_us = event->t_us;
}

static int64_t
find_kill_after_ (const struct ColtSpanBuilder *builder,
                  uint32_t server,
                  int64_t t_us)
{
  const GArray *kills = builder->kills;
  guint low = 0;
  guint high = kills->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct ColtHistoryPeriod *kill
          = &g_array_index (kills, struct ColtHistoryPeriod, middle);

      if (kill->id < server || (kill->id == server && kill->from_us <= t_us))
        low = middle + 1;
      else
        high = middle;
    }
  if (low < kills->len
      && g_array_index (kills, struct ColtHistoryPeriod, low).id == server)
    return g_array_index (kills, struct ColtHistoryPeriod, low).from_us;
  return COLT_TIME_NEVER;
}

/* Sorts the spans by task and time, sets the range of each request and updates
 * the span indexes of the pieces. */
static void
index_requests_ (struct ColtSpanBuilder *builder)
{
  struct ColtHistorySpans *spans = builder->spans;
  guint count = spans->spans->len;
  GArray *sorted
      = g_array_sized_new (FALSE, TRUE, sizeof (struct ColtHistorySpan), count);
  guint *span_order = g_new (guint, count + 1);
  guint *positions = g_new (guint, count + 1);
  guint i;

  spans->ranges
      = g_new0 (struct ColtHistoryRange, builder->history->texts->len);
  for (i = 0; i < count; i++)
    span_order[i] = i;
  g_qsort_with_data (span_order, (gint)count, sizeof (guint), compare_spans_,
                     spans->spans);
  for (i = 0; i < count; i++)
    {
      const struct ColtHistorySpan *span
          = colt_history_span (spans, span_order[i]);
      struct ColtHistoryRange *range = &spans->ranges[span->request];

      if (range->count++ == 0)
        range->first = i;
      positions[span_order[i]] = i;
      g_array_append_val (sorted, *span);
    }
  for (i = 0; i < spans->pieces->len; i++)
    {
      struct ColtHistoryPiece *piece
          = &g_array_index (spans->pieces, struct ColtHistoryPiece, i);

      piece->span = positions[piece->span];
    }
  g_array_unref (spans->spans);
  spans->spans = sorted;
  g_free (span_order);
  g_free (positions);
}

static gint
compare_kills_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryPeriod *left = a;
  const struct ColtHistoryPeriod *right = b;

  if (left->id != right->id)
    return left->id < right->id ? -1 : 1;
  return (left->from_us > right->from_us) - (left->from_us < right->from_us);
}

static gint
compare_events_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint left_index = *(const guint *)a;
  guint right_index = *(const guint *)b;
  const struct ColtHistoryEvent *left
      = &g_array_index ((GArray *)data, struct ColtHistoryEvent, left_index);
  const struct ColtHistoryEvent *right
      = &g_array_index ((GArray *)data, struct ColtHistoryEvent, right_index);

  if (left->request != right->request)
    return left->request < right->request ? -1 : 1;
  if (left->index != right->index)
    return left->index < right->index ? -1 : 1;
  if (left->attempt != right->attempt)
    return left->attempt < right->attempt ? -1 : 1;
  if (left->server != right->server)
    return left->server < right->server ? -1 : 1;
  if (left->t_us != right->t_us)
    return left->t_us < right->t_us ? -1 : 1;
  return left_index < right_index ? -1 : left_index > right_index;
}

static gint
compare_spans_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint left_index = *(const guint *)a;
  guint right_index = *(const guint *)b;
  const struct ColtHistorySpan *left
      = &g_array_index ((GArray *)data, struct ColtHistorySpan, left_index);
  const struct ColtHistorySpan *right
      = &g_array_index ((GArray *)data, struct ColtHistorySpan, right_index);

  if (left->request != right->request)
    return left->request < right->request ? -1 : 1;
  if (left->index != right->index)
    return left->index < right->index ? -1 : 1;
  if (left->start_us != right->start_us)
    return left->start_us < right->start_us ? -1 : 1;
  if (left->end_us != right->end_us)
    return left->end_us < right->end_us ? -1 : 1;
  return left_index < right_index ? -1 : left_index > right_index;
}
