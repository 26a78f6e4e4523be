/**
 * \file
 * \brief How near teams come to their weighted shares while the fleet is full.
 */
#ifndef COLT_HISTORY_SHARES_H
#define COLT_HISTORY_SHARES_H

#include "measures.h"

/** Measures full_seconds, share_error and share_team. */
void colt_history_measure_shares (const struct ColtHistory *history,
                                  const struct ColtHistorySpans *spans,
                                  struct ColtHistoryMeasures *measures);

#endif
