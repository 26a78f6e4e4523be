/**
 * \file
 * \brief The result of a check as JSON and as a table.
 */
#ifndef COLT_HISTORY_REPORT_H
#define COLT_HISTORY_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "measures.h"
#include "verdict.h"

/** Returns the verdict and the measures as a new JSON object. */
json_t *colt_history_report (const struct ColtHistory *history,
                             const struct ColtHistoryVerdict *verdict,
                             const struct ColtHistoryMeasures *measures);

/** Prints the verdict and the measures as a table for people. */
void colt_history_print (FILE *to,
                         const struct ColtHistory *history,
                         const struct ColtHistoryVerdict *verdict,
                         const struct ColtHistoryMeasures *measures);

#endif
