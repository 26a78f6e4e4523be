/**
 * \file
 * \brief Points in time at which pieces of spans begin and end.
 */
#ifndef COLT_HISTORY_SWEEP_H
#define COLT_HISTORY_SWEEP_H

#include "spans.h"

/** A piece begins or ends. */
struct ColtHistoryPoint
{
  uint32_t group; /**< what the points are summed by */
  bool begins;
  guint piece;
  int64_t t_us;
};

/** Gives the group of a span. */
typedef uint32_t (*ColtHistoryGroup) (const struct ColtHistorySpan *span);

/** Groups spans by their server. */
uint32_t colt_history_by_server (const struct ColtHistorySpan *span);

/** Groups spans by their team. */
uint32_t colt_history_by_team (const struct ColtHistorySpan *span);

/** Puts all spans into one group. */
uint32_t colt_history_together (const struct ColtHistorySpan *span);

/**
 * Returns the points of all pieces that take time, by group and time; at one
 * time, ends go before begins.
 *
 * \return  array of struct ColtHistoryPoint
 */
GArray *colt_history_sweep (const struct ColtHistorySpans *spans,
                            ColtHistoryGroup group);

/** Adds or subtracts a point's limit. */
void colt_history_sweep_apply (const struct ColtHistorySpans *spans,
                               const struct ColtHistoryPoint *point,
                               struct ColtResources *sum);

#endif
