/**
 * \file
 * \brief Starts and ends of the pieces of spans in order of time, for summing
 * up resource limits.
 */
#ifndef COLT_HISTORY_SWEEP_H
#define COLT_HISTORY_SWEEP_H

#include "spans.h"

/** Start or end of a piece. */
struct ColtHistoryPoint
{
  uint32_t group; /**< limits are summed up by group */
  bool is_start;  /**< true at the start of the piece, false at its end */
  guint piece;    /**< index of the piece */
  int64_t t_us;
};

/** Returns the group of a span. */
typedef uint32_t (*ColtHistoryGrouper) (const struct ColtHistorySpan *span);

/** Groups spans by their server. */
uint32_t colt_history_group_by_server (const struct ColtHistorySpan *span);

/** Groups spans by their team. */
uint32_t colt_history_group_by_team (const struct ColtHistorySpan *span);

/**
 * Returns the points of all pieces that last longer than 0, sorted by group and
 * time. At equal times, ends come before starts.
 *
 * \return  new array of struct ColtHistoryPoint
 */
GArray *colt_history_sweep (const struct ColtHistorySpans *spans,
                            ColtHistoryGrouper group);

/** Adds the limit of a piece to \a sum at its start and subtracts it at its
 * end. */
void colt_history_sweep_apply (const struct ColtHistorySpans *spans,
                               const struct ColtHistoryPoint *point,
                               struct ColtResources *sum);

#endif
