/**
 * \file
 * \brief How much of a service's room to keep free for short urgent work.
 *
 * Room is counted in slots: how many tasks with the demand of urgent work fit
 * into it. It does no I/O; times are microseconds of a monotonic clock. Each
 * call takes constant time. docs/design/headroom.md gives the rule. Not
 * thread-safe.
 */
#ifndef COLTSFOOTSTILE_HEADROOM_H
#define COLTSFOOTSTILE_HEADROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

/** Room of one service that is kept free; created by colt_headroom_create(). */
struct ColtHeadroom;

/** Urgent tasks that have become ready. */
struct ColtHeadroomWork
{
  struct ColtResources demand; /**< of each task */
  uint32_t tasks;
  int64_t task_us;  /**< expected duration of each */
  int64_t slack_us; /**< what the objective exceeds the job's chain by */
};

/** Work that may be held back. */
struct ColtHeadroomWait
{
  int64_t chain_us; /**< duration of its job's longest chain of steps */
  int64_t slack_us; /**< what its objective exceeds that by */
  int64_t left_us;  /**< of its slack, if it starts now */
};

/** Creates the headroom of a service; nothing is kept free yet. */
struct ColtHeadroom *colt_headroom_create (void);

/** Frees a headroom; NULL is allowed. */
void colt_headroom_destroy (struct ColtHeadroom *headroom);

/** Returns whether work is urgent.
 *
 * \param chain_us  duration of its job's longest chain of steps
 * \param slack_us  what its objective exceeds that by */
bool
colt_headroom_is_urgent (uint32_t priority, int64_t chain_us, int64_t slack_us);

/** Returns whether work has much slack. */
bool
colt_headroom_has_slack (uint32_t priority, int64_t chain_us, int64_t slack_us);

/** Returns whether work with much slack can wait for urgent work. */
bool colt_headroom_may_wait (const struct ColtHeadroomWait *wait);

/** Notes other work with much slack that waits, in a pass of placement. It
 * counts from the next pass on.
 *
 * \param demand        of each task
 * \param task_seconds  sum over its waiting tasks
 * \param slack_us      what its objective exceeds the job's chain by */
void colt_headroom_add_waiting (struct ColtHeadroom *headroom,
                                const struct ColtResources *demand,
                                double task_seconds,
                                int64_t slack_us);

/** Notes that urgent tasks have become ready.
 *
 * \return true if the demand that a slot stands for has changed, so that slots
 *         have to be counted anew */
bool colt_headroom_add_urgent (struct ColtHeadroom *headroom,
                               const struct ColtHeadroomWork *work,
                               int64_t now_us);

/** Notes that an urgent task takes room, or that it has returned it. */
void colt_headroom_add_run (struct ColtHeadroom *headroom);
void colt_headroom_end_run (struct ColtHeadroom *headroom);

/** Returns how many slots free room has; 0 before urgent work has arrived. */
uint32_t colt_headroom_count_slots (const struct ColtHeadroom *headroom,
                                    const struct ColtResources *room,
                                    const struct ColtResources *used);

/** Returns how many of a service's \a total slots to keep free; to be called
 * once, at the beginning of a pass of placement. */
uint32_t colt_headroom_needed (struct ColtHeadroom *headroom,
                               uint32_t total,
                               int64_t now_us);

#endif
