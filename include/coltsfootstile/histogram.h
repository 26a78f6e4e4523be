/**
 * \file
 * \brief Histograms of durations, in the Prometheus exposition format.
 */
#ifndef COLTSFOOTSTILE_HISTOGRAM_H
#define COLTSFOOTSTILE_HISTOGRAM_H

#include <stdint.h>

/** A histogram of durations from a millisecond to a minute. */
struct ColtHistogram;

/**
 * Creates an empty histogram.
 *
 * \param name  "module_what_ms", without the project's prefix; copied
 * \param help  one line of plain English; copied
 */
struct ColtHistogram *colt_histogram_create (const char *name,
                                             const char *help);

/** Frees a histogram; NULL is allowed. */
void colt_histogram_destroy (struct ColtHistogram *histogram);

/** Adds a duration in milliseconds. A duration that is out of range counts in
 * the first or the last bucket; the sum includes its full value. */
void colt_histogram_add (struct ColtHistogram *histogram, double value_ms);

/** Returns the number of durations added. */
uint64_t colt_histogram_count (const struct ColtHistogram *histogram);

/** Returns a histogram as text, to be freed with free(). */
char *colt_histogram_format (const struct ColtHistogram *histogram);

#endif
