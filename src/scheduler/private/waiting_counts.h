/* Counts of waiting jobs that a leader sends to the other instances. */
#ifndef COLT_SCHEDULER_WAITING_COUNTS_H
#define COLT_SCHEDULER_WAITING_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/cell.pb-c.h"
#include "coltsfootstile/clock.h"

/* Age up to which a count may be given to a caller. */
#define COLT_COUNT_AGE_MAX_US (2 * COLT_US_PER_S)

struct ColtWaitingCounts;

struct ColtWaitingCounts *colt_waiting_counts_create (void);
void colt_waiting_counts_destroy (struct ColtWaitingCounts *counts);
/* Replaces all counts by those of a leader, taken at counted_us or later,
 * unless the present ones are newer. Queues that aren't listed have no waiting
 * jobs.
 */
void colt_waiting_counts_replace (struct ColtWaitingCounts *counts,
                                  ColtQueueCount *const *entries,
                                  size_t entry_count,
                                  int64_t counted_us);
/* Returns the age of the counts; COLT_TIME_NEVER if there are none. */
int64_t colt_waiting_counts_age_us (const struct ColtWaitingCounts *counts,
                                    int64_t now_us);
/* Returns the count of a queue's waiting jobs, whatever its age. */
uint64_t colt_waiting_counts_get (const struct ColtWaitingCounts *counts,
                                  const char *queue);

#endif
