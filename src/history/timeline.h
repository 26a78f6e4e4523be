/**
 * \file
 * \brief Reserved resources, waiting requests and capacity of the whole fleet
 * over time.
 */
#ifndef COLT_HISTORY_TIMELINE_H
#define COLT_HISTORY_TIMELINE_H

#include "spans.h"

/** State of a team at one moment. */
struct ColtTimelineTeam
{
  struct ColtResources reserved;
  int64_t waiting; /**< requests sent, neither started nor answered */
};

/** State of the fleet at one moment. */
struct ColtTimelineState
{
  struct ColtResources reserved;
  struct ColtResources capacity;  /**< of the servers that aren't killed */
  struct ColtTimelineTeam *teams; /**< in the order of the run's teams; one more
                                       entry for all other teams */
  guint team_count;               /**< without the entry for all other teams */
};

/** Handles a state that lasted from \a from_us up to but not including
 * \a to_us. */
typedef void (*ColtTimelineVisitor) (void *client,
                                     int64_t from_us,
                                     int64_t to_us,
                                     const struct ColtTimelineState *state);

/** Calls \a visit for all states that lasted longer than 0, in order of
 * time. */
void colt_timeline_walk (const struct ColtHistory *history,
                         const struct ColtHistorySpans *spans,
                         ColtTimelineVisitor visit,
                         void *client);

/** Returns the reserved fraction of a resource's capacity; 0 if the fleet has
 * none of the resource. */
double colt_timeline_reserved_fraction (const struct ColtTimelineState *state,
                                        enum ColtResource resource);

/**
 * Returns whether the fleet is full, so that work may have to wait: at least
 * COLT_HISTORY_FULL_FRACTION of its cores, accelerators or slots is reserved.
 *
 * \param resource  set to that with the largest reserved fraction
 */
bool colt_timeline_is_full (const struct ColtTimelineState *state,
                            enum ColtResource *resource);

#endif
