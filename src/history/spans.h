/**
 * \file
 * \brief Attempts at tasks as spans of time, built from starts and ends.
 */
#ifndef COLT_HISTORY_SPANS_H
#define COLT_HISTORY_SPANS_H

#include "coltsfootstile/clock.h"
#include "history.h"

/** A span: from its start up to, but not including, its end. */
struct ColtHistorySpan
{
  uint32_t request; /**< text */
  uint32_t index;
  uint32_t attempt;
  uint32_t server;
  uint32_t team; /**< text */
  int64_t start_us;
  int64_t end_us; /**< COLT_TIME_NEVER: it ran when the records ended */
  bool ended;     /**< an end is on record */
  enum ColtTaskState state;
  struct ColtHistorySource start;
  struct ColtHistorySource end;
};

/** Part of a span during which its limit stayed the same. */
struct ColtHistoryPiece
{
  guint span;
  int64_t from_us;
  int64_t to_us;
  struct ColtResources limit;
};

/** The spans of one request: a part of all spans. */
struct ColtHistoryRange
{
  guint first;
  guint count;
};

/** The spans of a history. */
struct ColtHistorySpans
{
  GArray *spans;                   /**< of struct ColtHistorySpan, by request,
                                        task, start */
  GArray *pieces;                  /**< of struct ColtHistoryPiece */
  struct ColtHistoryRange *ranges; /**< by number of the request's text */
  uint64_t odd_ends;               /**< ends without a start */
  uint64_t unseen_resizes;         /**< ends with another limit than before */
  int64_t last_us;                 /**< latest time on record */
};

/** Builds the spans; the history may not change as long as they are used. */
struct ColtHistorySpans *
colt_history_spans_create (const struct ColtHistory *history);

/** Destroys spans; NULL is allowed. */
void colt_history_spans_destroy (struct ColtHistorySpans *spans);

/** Returns a span by its number. */
const struct ColtHistorySpan *
colt_history_span (const struct ColtHistorySpans *spans, guint number);

/** Returns a piece by its number. */
const struct ColtHistoryPiece *
colt_history_piece (const struct ColtHistorySpans *spans, guint number);

/** Returns the first start of a request, COLT_TIME_NEVER if there is none. */
int64_t colt_history_first_start (const struct ColtHistorySpans *spans,
                                  uint32_t request);

#endif
