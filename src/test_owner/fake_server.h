/**
 * \file
 * \brief Fake backend server in the process of the test.
 */
#ifndef COLTSFOOTSTILE_TEST_FAKE_SERVER_H
#define COLTSFOOTSTILE_TEST_FAKE_SERVER_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/backend.h"

/** Outcome of a call to the server. */
enum ColtFakeOutcome
{
  COLT_FAKE_ANSWERED,
  COLT_FAKE_ANSWER_LOST, /**< the call takes effect */
  COLT_FAKE_CALL_LOST,   /**< the call has no effect */
  COLT_FAKE_NOT_SENT,
  COLT_FAKE_FENCED, /**< the server has seen a higher epoch */
  COLT_FAKE_REFUSED /**< the answer refuses each start */
};

/** A task on the server. */
struct ColtFakeTask
{
  struct ColtTaskReport report;
  int start_count; /**< how often it was started */
};

/** A backend server. Calls of its driver end in the next iteration of the event
 * loop. */
struct ColtFakeServer
{
  struct ColtBackendDriver driver; /* first, to cast from the driver */
  struct event_base *base;
  struct ColtBackendDescription description;
  GPtrArray *tasks;         /* of struct ColtFakeTask, owned */
  GPtrArray *calls;         /* of open calls, owned */
  GArray *planned_outcomes; /* of enum ColtFakeOutcome, of the next changes */
  GPtrArray *stops; /* of struct ColtTaskRef, owned; in order of effect */
  GArray *resizes;  /* of struct ColtBackendResize; in order of effect */
  enum ColtFakeOutcome fetch_outcome;
  enum ColtFakeOutcome lease_outcome;
  bool delays_changes;   /* changes stay open until they are released */
  bool tasks_renewed;    /* a change renewed the leases of tasks */
  bool released;         /* the lease was released */
  unsigned change_count; /* that start, stop or resize, lost ones included */
  unsigned fetch_count;
  unsigned inventory_count;
  uint64_t sequence; /* number of the last event */
};

struct ColtFakeServer *colt_fake_server_create (struct event_base *base,
                                                uint32_t id);
void colt_fake_server_destroy (struct ColtFakeServer *server);

/** Plans the outcome of the first change that has no planned outcome yet;
 * without one, a change is answered. */
void colt_fake_server_plan_change (struct ColtFakeServer *server,
                                   enum ColtFakeOutcome outcome);

/** Processes the delayed changes and delays no further ones. */
void colt_fake_server_release_changes (struct ColtFakeServer *server);

/** Returns a task, or NULL. */
struct ColtFakeTask *
colt_fake_server_find_task (const struct ColtFakeServer *server,
                            const struct ColtTaskRef *ref);

/** Answers the open poll with \a times copies of an event of a task. */
void colt_fake_server_emit_events (struct ColtFakeServer *server,
                                   enum ColtBackendEventKind kind,
                                   const struct ColtTaskReport *report,
                                   unsigned times);

/** Ends a task and emits the event. */
void colt_fake_server_finish_task (struct ColtFakeServer *server,
                                   const struct ColtTaskRef *ref,
                                   enum ColtTaskState state);

#endif
