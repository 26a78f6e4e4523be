/**
 * \file
 * \brief Measures of a run: waiting times, rates, packing and shares.
 */
#ifndef COLT_HISTORY_MEASURES_H
#define COLT_HISTORY_MEASURES_H

#include "spans.h"

/** Highest zone whose answers during cuts are counted. */
#define COLT_HISTORY_ZONE_MAX 255u

/** Waiting times from submission to the first start of a request. */
struct ColtHistoryWaits
{
  uint64_t count;
  double p50_ms;
  double p99_ms;
  double max_ms;
};

/** Measures of a run. */
struct ColtHistoryMeasures
{
  int64_t from_us; /**< start of the window for rates, packing and shares */
  int64_t to_us;   /**< end of the window */
  uint64_t requests;
  uint64_t accepted; /**< done, failed, cancelled or still open */
  uint64_t answered; /**< answered as done */
  uint64_t outcomes[COLT_HISTORY_OUTCOME_COUNT];
  struct ColtHistoryWaits waits; /**< of all requests except urgent ones */
  struct ColtHistoryWaits urgent;
  struct ColtHistoryWaits kinds[COLT_WORK_KIND_COUNT]; /**< except urgent */
  uint64_t starts; /**< starts of tasks in the whole run */
  double starts_per_second;
  double packing[COLT_RESOURCE_COUNT]; /**< reserved fraction of the
                                            capacity, 0 to 1 */
  double full_seconds; /**< time during which the fleet was full */
  double share_error;  /**< largest distance of a team from its share of the
                            full fleet, 0 to 1; 0 if it was never full */
  uint32_t share_team; /**< text id of the team farthest from its share; 0 if
                            share_error is 0 */
  /** Requests answered as done while any zone was cut off, by zone of the entry
   * instance; index 0 is for addresses without a zone. */
  uint64_t cut_answers[COLT_HISTORY_ZONE_MAX + 1];
  uint64_t appends;                /**< to the log */
  uint64_t appends_per_second_max; /**< most within any second */
  double bundle_force_ms; /**< time until the slowest rollout was in force;
                               -1 if no zone reported one */
};

/** Measures a run. */
void colt_history_measure (const struct ColtHistory *history,
                           const struct ColtHistorySpans *spans,
                           struct ColtHistoryMeasures *measures);

#endif
