/**
 * \file
 * \brief Counters and gauges of one process.
 *
 * A counter is registered once and then updated through its handle. The text
 * output is the Prometheus exposition format: a HELP line, a TYPE line and a
 * value for each metric.
 */
#ifndef COLTSFOOTSTILE_COUNTERS_H
#define COLTSFOOTSTILE_COUNTERS_H

#include <stdint.h>

/** A set of counters. */
struct ColtCounters;

/** How a value changes over time. */
enum ColtCounterKind
{
  COLT_COUNTER_TOTAL, /**< only increases until the process restarts */
  COLT_COUNTER_GAUGE  /**< increases and decreases */
};

/** Creates an empty set. */
struct ColtCounters *colt_counters_create (void);

/** Frees a set; NULL is allowed. */
void colt_counters_destroy (struct ColtCounters *counters);

/**
 * Registers a counter with the value 0.
 *
 * \param name  "module_what_unit", without the project's prefix; unique in the
 *              set; copied
 * \param help  one line of plain English; copied
 * \return      the handle, valid in this set only
 */
uint32_t colt_counters_register (struct ColtCounters *counters,
                                 enum ColtCounterKind kind,
                                 const char *name,
                                 const char *help);

/** Adds \a amount to a counter. */
void colt_counters_increment (struct ColtCounters *counters,
                              uint32_t handle,
                              int64_t amount);

/** Sets a gauge to \a value. */
void colt_counters_set (struct ColtCounters *counters,
                        uint32_t handle,
                        int64_t value);

/** Returns a counter's value. */
int64_t colt_counters_get (const struct ColtCounters *counters,
                           uint32_t handle);

/** Calls \a visit for each counter, in the order of registration, and passes
 * it \a client. */
void colt_counters_visit (const struct ColtCounters *counters,
                          void (*visit) (void *client,
                                         const char *name,
                                         const char *help,
                                         enum ColtCounterKind kind,
                                         int64_t value),
                          void *client);

/** Returns all counters as text, to be freed with free(). */
char *colt_counters_format (const struct ColtCounters *counters);

#endif
