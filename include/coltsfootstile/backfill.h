/**
 * \file
 * \brief EASY backfill: when and where a gang may start, and what other work
 * may use its servers until then.
 *
 * A gang's tasks start together. The servers on which they fit at the earliest
 * time are reserved from that time on. All times are in microseconds of one
 * monotonic clock.
 */
#ifndef COLTSFOOTSTILE_BACKFILL_H
#define COLTSFOOTSTILE_BACKFILL_H

#include <stddef.h>

#include "coltsfootstile/resources.h"

/** A time that never comes. */
#define COLT_BACKFILL_NEVER INT64_MAX

/** The expected end of a run on a server. */
struct ColtBackfillEnd
{
  int64_t at_us; /**< #COLT_BACKFILL_NEVER: it doesn't end */
  struct ColtResources demand;
};

/** A server on which tasks of a gang may run. */
struct ColtBackfillServer
{
  struct ColtResources room;    /**< its capacity */
  struct ColtResources used;    /**< demand of its runs, and of earlier
                                     gangs that it is reserved for */
  struct ColtBackfillEnd *ends; /**< of what is used, in any order; sorted by
                                     colt_backfill_plan() */
  size_t end_count;             /**< number of \a ends */
  int64_t ready_us;             /**< earliest start of a task on it */
  uint32_t tasks_max;           /**< most tasks of the gang on it */
  bool preferred;               /**< wins among equal ones */
  uint32_t tasks;               /**< out: tasks of the gang that it gets */
  struct ColtResources spare;   /**< out, if \a tasks > 0: what is free beside
                                     them when the gang starts */
};

/** A gang that waits. */
struct ColtBackfillGang
{
  uint32_t count;              /**< of its tasks; at least 1 */
  struct ColtResources demand; /**< of each task */
  int64_t now_us;
  int64_t latest_us; /**< latest time at which a start is of use */
};

/** What is reserved on a server. */
struct ColtBackfillHold
{
  int64_t at_us;              /**< expected start of the gang */
  struct ColtResources spare; /**< free beside the gang's tasks from then on */
};

/** Finds the earliest time at which all tasks of a gang fit on servers, and
 * sets how many tasks each gets.
 *
 * \param[out] start_us that time; only set if there is one.
 * \returns false if they don't fit by the gang's latest time; then no server
 * gets a task. Takes O(n log n) for n expected ends and servers. */
bool colt_backfill_plan (const struct ColtBackfillGang *gang,
                         struct ColtBackfillServer *servers,
                         size_t count,
                         int64_t *start_us);

/** Returns whether another task may start on a reserved server: it is expected
 * to end before the gang starts, or fits beside the gang. */
bool colt_backfill_may_use (const struct ColtBackfillHold *hold,
                            const struct ColtResources *demand,
                            int64_t end_us);

/** Takes a task that was started on a reserved server into account, if it is
 * expected to run beside the gang. */
void colt_backfill_use (struct ColtBackfillHold *hold,
                        const struct ColtResources *demand,
                        int64_t end_us);

/** Returns when a run is expected to end. One that is late is expected to take
 * as long again as it is late, and at least a tenth of a second.
 *
 * \param expected_us its expected duration.
 * \param percent its reported progress, at \a reported_us; 0 to 100. It counts
 * from 10 on. */
int64_t colt_backfill_expect_end (int64_t started_us,
                                  int64_t expected_us,
                                  int64_t percent,
                                  int64_t reported_us,
                                  int64_t now_us);

/** Returns when a task that starts now is expected to end, with a margin for
 * those that take longer than the mean. \a expected_us: its mean duration; 0 or
 * less: unknown, so that it is expected never to end. */
int64_t colt_backfill_expect_use (int64_t expected_us, int64_t now_us);

#endif
