/**
 * \file
 * \brief A log service and an entry instance in one HTTP server, on a thread of
 * their own: the commands run a loop until they are done.
 *
 * The entry instance folds the log as the real one does. Callers' paths get
 * scripted answers.
 */
#ifndef COLT_TEST_FAKE_FLEET_H
#define COLT_TEST_FAKE_FLEET_H

#include <glib.h>

#include "coltsfootstile/bundle_sign.h"

/** The server. */
struct ColtFakeFleet;

/** Starts the server; \a bootstrap may sign the first bundle. */
struct ColtFakeFleet *
colt_fake_fleet_create (const struct ColtOperatorKey *bootstrap);

/** Stops and frees it. */
void colt_fake_fleet_destroy (struct ColtFakeFleet *fleet);

/** Returns its address. */
const char *colt_fake_fleet_address (const struct ColtFakeFleet *fleet);

/** Keeps the answers of the next \a count appends to itself. */
void colt_fake_fleet_lose_appends (struct ColtFakeFleet *fleet, int count);

/** Sets the answer to a method and path; status 0: none is ever sent. */
void colt_fake_fleet_script (struct ColtFakeFleet *fleet,
                             const char *call,
                             int status,
                             const char *body);

/** Returns how often a scripted call was made. */
int colt_fake_fleet_calls (struct ColtFakeFleet *fleet, const char *call);

/** Returns a header of the last scripted call, freed with g_free(). */
char *colt_fake_fleet_header (struct ColtFakeFleet *fleet, const char *name);

#endif
