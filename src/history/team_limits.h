/**
 * \file
 * \brief Upper limits of teams over time.
 */
#ifndef COLT_HISTORY_LIMITS_H
#define COLT_HISTORY_LIMITS_H

#include "history.h"

/** Returns a team's limits by time: array of struct ColtHistoryLimit. */
GArray *colt_history_limits_of (const struct ColtHistory *history,
                                uint32_t team);

/**
 * Returns what a start at a time may reach: the highest of each limit that was
 * in force within the grace time before, so that a lower one counts later and
 * a higher one at once.
 */
struct ColtHistoryLimit colt_history_limits_at (const GArray *limits,
                                                int64_t t_us);

/** Returns whether what a team runs comes so near to a limit that more may have
 * to wait for it. */
bool colt_history_limits_near (const struct ColtHistoryLimit *limit,
                               const struct ColtResources *reserved);

#endif
