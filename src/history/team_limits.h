/**
 * \file
 * \brief Upper limits of teams over time.
 */
#ifndef COLT_HISTORY_TEAM_LIMITS_H
#define COLT_HISTORY_TEAM_LIMITS_H

#include "history.h"

/** Returns a team's limits sorted by time, a new array of struct
 * ColtHistoryLimit. */
GArray *colt_history_collect_limits (const struct ColtHistory *history,
                                     uint32_t team);

/**
 * Returns the limits that a start at \a t_us must respect: each is the highest
 * that was in force within COLT_HISTORY_GRACE_US before, so that a lower limit
 * counts after that time and a higher one immediately.
 *
 * \param limits  of one team, from colt_history_collect_limits()
 */
struct ColtHistoryLimit colt_history_limits_at (const GArray *limits,
                                                int64_t t_us);

/** Returns whether a team has reserved at least COLT_HISTORY_FULL_FRACTION of
 * one of its limits, so that more of its work may have to wait. */
bool colt_history_is_near_limit (const struct ColtHistoryLimit *limit,
                                 const struct ColtResources *reserved);

#endif
