/**
 * \file
 * \brief The whole fleet over time: what is reserved, what waits and what the
 * backend servers hold.
 */
#ifndef COLT_HISTORY_TIMELINE_H
#define COLT_HISTORY_TIMELINE_H

#include "spans.h"

/** A team at a moment. */
struct ColtTimelineTeam
{
  struct ColtResources reserved;
  int64_t waiting; /**< requests that have been sent and have no start */
};

/** The fleet at a moment. */
struct ColtTimelineState
{
  struct ColtResources reserved;
  struct ColtResources capacity;  /**< of the servers that are not killed */
  struct ColtTimelineTeam *teams; /**< as the run's teams */
  guint team_count;
};

/** Takes a state that held from \a from_us up to \a to_us. */
typedef void (*ColtTimelineVisitor) (void *client,
                                     int64_t from_us,
                                     int64_t to_us,
                                     const struct ColtTimelineState *state);

/** Calls \a visit for all states of some length, by time. */
void colt_timeline_walk (const struct ColtHistory *history,
                         const struct ColtHistorySpans *spans,
                         ColtTimelineVisitor visit,
                         void *client);

/** Returns the part of a resource that is reserved; 0 if there is none. */
double colt_timeline_part (const struct ColtTimelineState *state,
                           enum ColtResource resource);

/**
 * Returns whether the fleet is full: of cores, accelerators or slots so large a
 * part is reserved that work may have to wait.
 *
 * \param resource  set to the fullest of them
 */
bool colt_timeline_full (const struct ColtTimelineState *state,
                         enum ColtResource *resource);

#endif
