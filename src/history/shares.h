/**
 * \file
 * \brief Measures how closely teams get their weighted shares while the fleet
 * is full.
 */
#ifndef COLT_HISTORY_SHARES_H
#define COLT_HISTORY_SHARES_H

#include "measures.h"

/** Sets full_seconds, share_error and share_team within the window of
 * \a measures. */
void colt_history_measure_shares (const struct ColtHistory *history,
                                  const struct ColtHistorySpans *spans,
                                  struct ColtHistoryMeasures *measures);

#endif
