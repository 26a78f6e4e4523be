/**
 * \file
 * \brief How much work a backend server gets that is cold.
 *
 * A server is slow for a while after its start, and says in its entry for how
 * much longer. It gets work after all warm ones, and a part of its room that
 * grows as the time that it reports gets shorter. All servers of a zone are
 * cold when an evacuation has ended; 5,200 of them must not take thousands of
 * tasks at once, each of which would miss its objective there.
 */
#ifndef COLTSFOOTSTILE_COLD_RAMP_H
#define COLTSFOOTSTILE_COLD_RAMP_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

/** Longest time that a server counts as cold, in milliseconds. */
#define COLT_COLD_MAX_MS 3600000

/** What is known of a server's coldness; all zero: it is warm. */
struct ColtColdRamp
{
  int64_t until_us; /**< when it is warm, by its latest entry; 0: now */
  int64_t peak_us;  /**< longest time that it has reported while cold */
};

/**
 * Applies a server's entry.
 *
 * \param remaining_ms  how much longer the server is slow; 0 or less: it is
 *                      warm. Longer times count as COLT_COLD_MAX_MS
 * \param restarted     the entry is the first one of an incarnation
 */
void colt_cold_ramp_update (struct ColtColdRamp *ramp,
                            int64_t remaining_ms,
                            bool restarted,
                            int64_t now_us);

/** Returns how cold a server is: 0 if it is warm, 1 if it is as cold as it ever
 * reported. */
double colt_cold_ramp_coldness (const struct ColtColdRamp *ramp,
                                int64_t now_us);

/**
 * Returns whether a server may get a task: always if it is warm or unused, or
 * else if what is used with the task is within the part of the room that a
 * server as cold as this gets. Only resources that the task needs count.
 */
bool colt_cold_ramp_allows (const struct ColtColdRamp *ramp,
                            const struct ColtResources *demand,
                            const struct ColtResources *used,
                            const struct ColtResources *room,
                            int64_t now_us);

#endif
