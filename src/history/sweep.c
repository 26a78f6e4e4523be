#include "sweep.h"

static gint compare_points_ (gconstpointer a, gconstpointer b);

uint32_t
colt_history_group_by_server (const struct ColtHistorySpan *span)
{
  return span->server;
}

uint32_t
colt_history_group_by_team (const struct ColtHistorySpan *span)
{
  return span->team;
}

GArray *
colt_history_sweep (const struct ColtHistorySpans *spans,
                    ColtHistoryGrouper group)
{
  GArray *points = g_array_sized_new (
      FALSE, FALSE, sizeof (struct ColtHistoryPoint), 2 * spans->pieces->len);
  guint i;

  for (i = 0; i < spans->pieces->len; i++)
    {
      const struct ColtHistoryPiece *piece = colt_history_piece (spans, i);
      struct ColtHistoryPoint point
          = { .group = group (colt_history_span (spans, piece->span)),
              .is_start = true,
              .piece = i,
              .t_us = piece->from_us };

      if (piece->to_us <= piece->from_us)
        continue;
      g_array_append_val (points, point);
      point.is_start = false;
      point.t_us = piece->to_us;
      if (piece->to_us != COLT_TIME_NEVER)
        g_array_append_val (points, point);
    }
  g_array_sort (points, compare_points_);
  return points;
}

void
colt_history_sweep_apply (const struct ColtHistorySpans *spans,
                          const struct ColtHistoryPoint *point,
                          struct ColtResources *sum)
{
  const struct ColtHistoryPiece *piece
      = colt_history_piece (spans, point->piece);

  if (point->is_start)
    colt_resources_add (sum, &piece->limit);
  else
    colt_resources_subtract (sum, &piece->limit);
}

static gint
compare_points_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryPoint *left = a;
  const struct ColtHistoryPoint *right = b;

  if (left->group != right->group)
    return left->group < right->group ? -1 : 1;
  if (left->t_us != right->t_us)
    return left->t_us < right->t_us ? -1 : 1;
  if (left->is_start != right->is_start)
    return left->is_start ? 1 : -1;
  return left->piece < right->piece ? -1 : left->piece > right->piece;
}
