/**
 * \file
 * \brief A backend server in the test's own process.
 */
#ifndef COLTSFOOTSTILE_TEST_FAKE_SERVER_H
#define COLTSFOOTSTILE_TEST_FAKE_SERVER_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/backend.h"

/** What becomes of a call. */
enum ColtFakeFate
{
  COLT_FAKE_ANSWERED,
  COLT_FAKE_ANSWER_LOST, /**< takes effect */
  COLT_FAKE_CALL_LOST,   /**< has no effect */
  COLT_FAKE_NOT_SENT,
  COLT_FAKE_FENCED, /**< a higher epoch has been seen */
  COLT_FAKE_REFUSED /**< answered: each start is refused */
};

/** A task on the server. */
struct ColtFakeTask
{
  struct ColtTaskReport report;
  int effects; /**< how often it was started */
};

/** A server; its driver makes calls that end in the next turn of the loop. */
struct ColtFakeServer
{
  struct ColtBackendDriver driver; /* first */
  struct event_base *base;
  struct ColtBackendDescription description;
  GPtrArray *tasks; /* of struct ColtFakeTask, owned */
  GPtrArray *calls; /* of open calls, owned */
  GArray *fates;    /* enum ColtFakeFate of the changes that come next */
  GPtrArray *stops; /* of struct ColtTaskRef, owned: as they took effect */
  GArray *resizes;  /* of struct ColtBackendResize: as they took effect */
  enum ColtFakeFate fetch_fate;
  enum ColtFakeFate lease_fate;
  bool holds_changes; /* they wait until this is false */
  bool renewed_tasks; /* a change has renewed them */
  bool released;
  unsigned changes; /* that start, stop or resize, lost ones included */
  unsigned fetches;
  unsigned inventories;
  uint64_t sequence;
};

struct ColtFakeServer *colt_fake_server_create (struct event_base *base,
                                                uint32_t id);
void colt_fake_server_destroy (struct ColtFakeServer *server);

/** Sets the fate of the change after those whose fate is set. */
void colt_fake_server_plan (struct ColtFakeServer *server,
                            enum ColtFakeFate fate);

/** Lets changes through that were held. */
void colt_fake_server_let_through (struct ColtFakeServer *server);

/** Returns a task, or NULL. */
struct ColtFakeTask *colt_fake_server_find (const struct ColtFakeServer *server,
                                            const struct ColtTaskRef *ref);

/** Tells an event of a task, \a times times, in one answer. */
void colt_fake_server_emit (struct ColtFakeServer *server,
                            enum ColtBackendEventKind kind,
                            const struct ColtTaskReport *report,
                            unsigned times);

/** Ends a task and tells it. */
void colt_fake_server_finish (struct ColtFakeServer *server,
                              const struct ColtTaskRef *ref,
                              enum ColtTaskState state);

#endif
