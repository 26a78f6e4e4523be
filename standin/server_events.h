/**
 * \file
 * \brief Events of a stand-in backend server that wait to be fetched.
 */
#ifndef COLT_STANDIN_SERVER_EVENTS_H
#define COLT_STANDIN_SERVER_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

struct ColtStandinTask;

/** What an event says. */
enum ColtStandinEventKind
{
  COLT_STANDIN_EVENT_FINISHED, /**< ended by itself, well or not */
  COLT_STANDIN_EVENT_USAGE,
  COLT_STANDIN_EVENT_LAPSED,
  COLT_STANDIN_EVENT_STOPPED
};

/** Names of enum ColtStandinEventKind, indexed by it. */
extern const char *const colt_standin_event_string[];

/** An event. */
struct ColtStandinEvent
{
  int64_t seq; /**< from 1 */
  enum ColtStandinEventKind kind;
  struct ColtResources usage; /**< as it was reported then */
  const struct ColtStandinTask *task;
};

/** A queue of events. */
struct ColtStandinEvents;

/** Takes an event; returns whether to go on. */
typedef bool (*ColtStandinEventVisitor) (void *client,
                                         const struct ColtStandinEvent *event);

/** Creates an empty queue. */
struct ColtStandinEvents *colt_standin_events_create (void);

/** Destroys a queue; NULL is allowed. */
void colt_standin_events_destroy (struct ColtStandinEvents *events);

/** Adds an event and returns its number. */
int64_t colt_standin_events_add (struct ColtStandinEvents *events,
                                 enum ColtStandinEventKind kind,
                                 const struct ColtStandinTask *task,
                                 const struct ColtResources *usage);

/** Returns the number of the newest event, 0 if there was none. */
int64_t colt_standin_events_last (const struct ColtStandinEvents *events);

/** Forgets the events up to number \a seq, as they have been fetched. */
void colt_standin_events_drop (struct ColtStandinEvents *events, int64_t seq);

/** Calls \a visit for each event behind \a after. */
void colt_standin_events_visit (const struct ColtStandinEvents *events,
                                int64_t after,
                                ColtStandinEventVisitor visit,
                                void *client);

#endif
