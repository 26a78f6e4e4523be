#include "spans.h"

#include <string.h>

struct ColtSpanBuilder
{
  const struct ColtHistory *history;
  struct ColtHistorySpans *spans;
  GArray *order; /* of guint, numbers of events */
  GArray *downs; /* of struct ColtHistoryPeriod, by server and time */
};

static void collect_downs_ (struct ColtSpanBuilder *builder);
static void order_events_ (struct ColtSpanBuilder *builder);
static void build_ (struct ColtSpanBuilder *builder);
static bool same_attempt_ (const struct ColtHistoryEvent *a,
                           const struct ColtHistoryEvent *b);
static void open_ (struct ColtSpanBuilder *builder,
                   const struct ColtHistoryEvent *event);
static void resize_ (struct ColtHistorySpans *spans,
                     const struct ColtHistoryEvent *event);
static void close_ (struct ColtHistorySpans *spans,
                    const struct ColtHistoryEvent *event);
static int64_t down_after_ (const struct ColtSpanBuilder *builder,
                            uint32_t server,
                            int64_t t_us);
static void index_requests_ (struct ColtSpanBuilder *builder);
static gint compare_downs_ (gconstpointer a, gconstpointer b);
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
  builder.downs = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  collect_downs_ (&builder);
  order_events_ (&builder);
  build_ (&builder);
  index_requests_ (&builder);
  g_array_unref (builder.order);
  g_array_unref (builder.downs);
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
colt_history_span (const struct ColtHistorySpans *spans, guint number)
{
  return &g_array_index (spans->spans, struct ColtHistorySpan, number);
}

const struct ColtHistoryPiece *
colt_history_piece (const struct ColtHistorySpans *spans, guint number)
{
  return &g_array_index (spans->pieces, struct ColtHistoryPiece, number);
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

/* A killed server has ended its tasks, also where their ends are missing. */
static void
collect_downs_ (struct ColtSpanBuilder *builder)
{
  const GArray *killed = builder->history->run.killed;
  const GArray *events = builder->history->events;
  guint i;

  g_array_append_vals (builder->downs, killed->data, killed->len);
  for (i = 0; i < events->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (events, struct ColtHistoryEvent, i);
      const struct ColtHistoryPeriod down
          = { event->server, event->t_us, event->t_us };

      builder->spans->last_us = MAX (builder->spans->last_us, event->t_us);
      if (event->kind == COLT_HISTORY_DOWN)
        g_array_append_val (builder->downs, down);
    }
  g_array_sort (builder->downs, compare_downs_);
}

static void
order_events_ (struct ColtSpanBuilder *builder)
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
build_ (struct ColtSpanBuilder *builder)
{
  const GArray *events = builder->history->events;
  const struct ColtHistoryEvent *before = NULL;
  bool open = false;
  guint i;

  for (i = 0; i < builder->order->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (events, struct ColtHistoryEvent,
                            g_array_index (builder->order, guint, i));

      if (before == NULL || !same_attempt_ (before, event))
        open = false;
      before = event;
      if (event->kind == COLT_HISTORY_START)
        open_ (builder, event);
      else if (open && event->kind == COLT_HISTORY_RESIZE)
        resize_ (builder->spans, event);
      else if (open)
        close_ (builder->spans, event);
      else if (event->kind == COLT_HISTORY_END)
        builder->spans->odd_ends++;
      open = event->kind == COLT_HISTORY_START
             || (open && event->kind == COLT_HISTORY_RESIZE);
    }
}

static bool
same_attempt_ (const struct ColtHistoryEvent *a,
               const struct ColtHistoryEvent *b)
{
  return a->request == b->request && a->index == b->index
         && a->attempt == b->attempt && a->server == b->server;
}

static void
open_ (struct ColtSpanBuilder *builder, const struct ColtHistoryEvent *event)
{
  const struct ColtHistorySpan span
      = { .request = event->request,
          .index = event->index,
          .attempt = event->attempt,
          .server = event->server,
          .team = event->team,
          .start_us = event->t_us,
          .end_us = down_after_ (builder, event->server, event->t_us),
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
resize_ (struct ColtHistorySpans *spans, const struct ColtHistoryEvent *event)
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
close_ (struct ColtHistorySpans *spans, const struct ColtHistoryEvent *event)
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
down_after_ (const struct ColtSpanBuilder *builder,
             uint32_t server,
             int64_t t_us)
{
  const GArray *downs = builder->downs;
  guint low = 0;
  guint high = downs->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct ColtHistoryPeriod *down
          = &g_array_index (downs, struct ColtHistoryPeriod, middle);

      if (down->number < server
          || (down->number == server && down->from_us <= t_us))
        low = middle + 1;
      else
        high = middle;
    }
  if (low < downs->len
      && g_array_index (downs, struct ColtHistoryPeriod, low).number == server)
    return g_array_index (downs, struct ColtHistoryPeriod, low).from_us;
  return COLT_TIME_NEVER;
}

/* Sorts the spans by task and time, and lets the pieces follow. */
static void
index_requests_ (struct ColtSpanBuilder *builder)
{
  struct ColtHistorySpans *spans = builder->spans;
  guint count = spans->spans->len;
  GArray *sorted
      = g_array_sized_new (FALSE, TRUE, sizeof (struct ColtHistorySpan), count);
  guint *numbers = g_new (guint, count + 1);
  guint *places = g_new (guint, count + 1);
  guint i;

  spans->ranges
      = g_new0 (struct ColtHistoryRange, builder->history->texts->len);
  for (i = 0; i < count; i++)
    numbers[i] = i;
  g_qsort_with_data (numbers, (gint)count, sizeof (guint), compare_spans_,
                     spans->spans);
  for (i = 0; i < count; i++)
    {
      const struct ColtHistorySpan *span
          = colt_history_span (spans, numbers[i]);
      struct ColtHistoryRange *range = &spans->ranges[span->request];

      if (range->count++ == 0)
        range->first = i;
      places[numbers[i]] = i;
      g_array_append_val (sorted, *span);
    }
  for (i = 0; i < spans->pieces->len; i++)
    {
      struct ColtHistoryPiece *piece
          = &g_array_index (spans->pieces, struct ColtHistoryPiece, i);

      piece->span = places[piece->span];
    }
  g_array_unref (spans->spans);
  spans->spans = sorted;
  g_free (numbers);
  g_free (places);
}

static gint
compare_downs_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryPeriod *left = a;
  const struct ColtHistoryPeriod *right = b;

  if (left->number != right->number)
    return left->number < right->number ? -1 : 1;
  return (left->from_us > right->from_us) - (left->from_us < right->from_us);
}

static gint
compare_events_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint left_number = *(const guint *)a;
  guint right_number = *(const guint *)b;
  const struct ColtHistoryEvent *left
      = &g_array_index ((GArray *)data, struct ColtHistoryEvent, left_number);
  const struct ColtHistoryEvent *right
      = &g_array_index ((GArray *)data, struct ColtHistoryEvent, right_number);

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
  return left_number < right_number ? -1 : left_number > right_number;
}

static gint
compare_spans_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint left_number = *(const guint *)a;
  guint right_number = *(const guint *)b;
  const struct ColtHistorySpan *left
      = &g_array_index ((GArray *)data, struct ColtHistorySpan, left_number);
  const struct ColtHistorySpan *right
      = &g_array_index ((GArray *)data, struct ColtHistorySpan, right_number);

  if (left->request != right->request)
    return left->request < right->request ? -1 : 1;
  if (left->index != right->index)
    return left->index < right->index ? -1 : 1;
  if (left->start_us != right->start_us)
    return left->start_us < right->start_us ? -1 : 1;
  if (left->end_us != right->end_us)
    return left->end_us < right->end_us ? -1 : 1;
  return left_number < right_number ? -1 : left_number > right_number;
}
