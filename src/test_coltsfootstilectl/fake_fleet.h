/**
 * \file
 * \brief Test double of a fleet: a log service and an entry instance in one
 * HTTP server.
 *
 * The server runs on a thread of its own, because a command runs an event loop
 * until it has ended. The entry instance applies the records of the log with
 * struct ColtChain, as a real one does. Calls of the callers' interface get
 * scripted answers.
 */
#ifndef COLT_TEST_FAKE_FLEET_H
#define COLT_TEST_FAKE_FLEET_H

#include <glib.h>

#include "coltsfootstile/bundle_sign.h"

/** The server. */
struct ColtFakeFleet;

/**
 * Starts a server on a free port of 127.0.0.1.
 *
 * \param bootstrap  key of the operator who may sign the first bundle
 * \return to be freed with colt_fake_fleet_destroy()
 */
struct ColtFakeFleet *
colt_fake_fleet_create (const struct ColtOperatorKey *bootstrap);

/** Stops and frees a server. */
void colt_fake_fleet_destroy (struct ColtFakeFleet *fleet);

/** Returns the server's address, IP:PORT, owned by the server. */
const char *colt_fake_fleet_address (const struct ColtFakeFleet *fleet);

/** Appends the next \a count records without answering the calls. */
void colt_fake_fleet_drop_append_answers (struct ColtFakeFleet *fleet,
                                          int count);

/**
 * Sets the answer to a call; a call without one gets status 404.
 *
 * \param call    method and path, as "GET /metrics"
 * \param status  HTTP status; 0 to leave the call unanswered
 * \param body    copied
 */
void colt_fake_fleet_set_answer (struct ColtFakeFleet *fleet,
                                 const char *call,
                                 int status,
                                 const char *body);

/** Returns how often a call was made since its answer was last set; 0 if it has
 * no scripted answer. */
int colt_fake_fleet_count_calls (struct ColtFakeFleet *fleet, const char *call);

/** Returns a copy of a header of the last call other than those to the log
 * service and GET /v1/state/bundle, to be freed with g_free(); NULL if there is
 * none. */
char *colt_fake_fleet_copy_header (struct ColtFakeFleet *fleet,
                                   const char *name);

#endif
