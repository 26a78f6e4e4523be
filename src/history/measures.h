/**
 * \file
 * \brief Measures of a run: waiting times, rates, packing and shares.
 */
#ifndef COLT_HISTORY_MEASURES_H
#define COLT_HISTORY_MEASURES_H

#include "spans.h"

/** Highest number of a zone whose answers are counted. */
#define COLT_HISTORY_ZONE_MAX 255u

/** Waiting times from submission to the first start, in milliseconds. */
struct ColtHistoryWaits
{
  uint64_t count;
  double p50_ms;
  double p99_ms;
  double max_ms;
};

/** What a run has shown. */
struct ColtHistoryMeasures
{
  int64_t from_us; /**< the time that rates, packing and shares refer to */
  int64_t to_us;
  uint64_t requests;
  uint64_t accepted; /**< taken: done, failed, cancelled or still open */
  uint64_t answered; /**< done */
  uint64_t outcomes[COLT_HISTORY_OUTCOME_COUNT];
  struct ColtHistoryWaits waits; /**< of all requests but urgent ones */
  struct ColtHistoryWaits urgent;
  struct ColtHistoryWaits kinds[COLT_WORK_KIND_COUNT]; /**< without urgent */
  uint64_t starts;
  double starts_per_second;
  double packing[COLT_RESOURCE_COUNT]; /**< part of the capacity reserved */
  double full_seconds;
  double share_error;  /**< 0 to 1; 0 if the fleet was never full */
  uint32_t share_team; /**< text: the team that was farthest from its share */
  uint64_t cut_answers[COLT_HISTORY_ZONE_MAX + 1]; /**< by zone */
  uint64_t appends;
  uint64_t appends_per_second_max;
  double bundle_force_ms; /**< slowest roll, -1 if no zone told its time */
};

/** Measures a run. */
void colt_history_measure (const struct ColtHistory *history,
                           const struct ColtHistorySpans *spans,
                           struct ColtHistoryMeasures *measures);

#endif
