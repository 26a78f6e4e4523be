/**
 * \file
 * \brief Runs of task attempts as spans of time, built from the recorded
 * starts, resizes and ends.
 */
#ifndef COLT_HISTORY_SPANS_H
#define COLT_HISTORY_SPANS_H

#include "coltsfootstile/clock.h"
#include "history.h"

/** Run of an attempt on a server, from \a start_us up to but not including
 * \a end_us. */
struct ColtHistorySpan
{
  uint32_t request; /**< text id */
  uint32_t index;   /**< of the task within its request */
  uint32_t attempt;
  uint32_t server;
  uint32_t team; /**< text id */
  int64_t start_us;
  int64_t end_us; /**< recorded end, or kill of the server; COLT_TIME_NEVER if
                       there is neither */
  bool ended;     /**< an end is on record */
  enum ColtTaskState state;       /**< COLT_TASK_RUNNING without an end */
  struct ColtHistorySource start; /**< record of the start */
  struct ColtHistorySource end;   /**< record of the end, if any */
};

/** Part of a span during which its resource limit was constant. */
struct ColtHistoryPiece
{
  guint span; /**< index of the span */
  int64_t from_us;
  int64_t to_us;
  struct ColtResources limit;
};

/** The spans of one request, which are adjacent. */
struct ColtHistoryRange
{
  guint first; /**< index of the first span */
  guint count;
};

/** All spans of a history. */
struct ColtHistorySpans
{
  GArray *spans;                   /**< of struct ColtHistorySpan, sorted by
                                        request, task and start */
  GArray *pieces;                  /**< of struct ColtHistoryPiece */
  struct ColtHistoryRange *ranges; /**< by text id of the request */
  uint64_t odd_ends;               /**< ends without a matching start */
  uint64_t unseen_resizes;         /**< ends with a limit that differs from the
                                        last one on record */
  int64_t last_us;                 /**< latest time on record */
};

/** Builds the spans; the history must not change as long as they are used. Free
 * them with colt_history_spans_destroy(). */
struct ColtHistorySpans *
colt_history_spans_create (const struct ColtHistory *history);

/** Destroys spans; NULL is allowed. */
void colt_history_spans_destroy (struct ColtHistorySpans *spans);

/** Returns a span by its index. */
const struct ColtHistorySpan *
colt_history_span (const struct ColtHistorySpans *spans, guint index);

/** Returns a piece by its index. */
const struct ColtHistoryPiece *
colt_history_piece (const struct ColtHistorySpans *spans, guint index);

/** Returns the earliest start of a request's tasks, COLT_TIME_NEVER if none
 * started. */
int64_t colt_history_first_start (const struct ColtHistorySpans *spans,
                                  uint32_t request);

#endif
