/**
 * \file
 * \brief Queue of the events of a stand-in backend server.
 *
 * Events stay in the queue until the holder of the lease has acknowledged them,
 * or until the retention time of their task has passed.
 */
#ifndef COLT_STANDIN_SERVER_EVENTS_H
#define COLT_STANDIN_SERVER_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

struct ColtStandinTask;

/** Kinds of events. */
enum ColtStandinEventKind
{
  COLT_STANDIN_EVENT_FINISHED, /**< the task finished or failed */
  COLT_STANDIN_EVENT_USAGE,    /**< the task's usage changed */
  COLT_STANDIN_EVENT_LAPSED,   /**< the task's lease expired */
  COLT_STANDIN_EVENT_STOPPED   /**< the task was stopped */
};

/** Names of enum ColtStandinEventKind, indexed by it. */
extern const char *const colt_standin_event_string[];

/** An event of a task. */
struct ColtStandinEvent
{
  int64_t seq; /**< sequence number, from 1 */
  enum ColtStandinEventKind kind;
  struct ColtResources usage;         /**< usage reported by the event */
  const struct ColtStandinTask *task; /**< borrowed */
};

/** A queue of events, by sequence number. */
struct ColtStandinEvents;

/** Called with an event; returns whether to continue. */
typedef bool (*ColtStandinEventVisitor) (void *client,
                                         const struct ColtStandinEvent *event);

/** Creates an empty queue, to be freed with colt_standin_events_destroy(). */
struct ColtStandinEvents *colt_standin_events_create (void);

/** Destroys a queue; NULL is allowed. */
void colt_standin_events_destroy (struct ColtStandinEvents *events);

/**
 * Appends an event.
 *
 * \param task   must stay valid until the event is dropped
 * \param usage  copied
 * \return       the sequence number of the event
 */
int64_t colt_standin_events_add (struct ColtStandinEvents *events,
                                 enum ColtStandinEventKind kind,
                                 const struct ColtStandinTask *task,
                                 const struct ColtResources *usage);

/** Returns the sequence number of the newest event, 0 if there was none. */
int64_t colt_standin_events_last_seq (const struct ColtStandinEvents *events);

/** Drops the events up to sequence number \a seq. */
void colt_standin_events_drop (struct ColtStandinEvents *events, int64_t seq);

/** Calls \a visit for each event after sequence number \a after, in order. */
void colt_standin_events_visit (const struct ColtStandinEvents *events,
                                int64_t after,
                                ColtStandinEventVisitor visit,
                                void *client);

#endif
