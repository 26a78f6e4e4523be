/**
 * \file
 * \brief What the tests of the placement share.
 */
#ifndef COLTSFOOTSTILE_TEST_PLACEMENT_H
#define COLTSFOOTSTILE_TEST_PLACEMENT_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"

/** A time at which all servers of a fixture are long known. */
#define TEST_START_US (100 * COLT_US_PER_S)

/** A placement with servers. */
struct ColtFixture
{
  struct ColtPlacement *placement;
  int64_t now_us;
  struct ColtServerDigest servers[64]; /**< by number, from 1 */
  uint32_t count;
};

/** Creates a placement that knows no server. */
struct ColtFixture *test_create (void);
void test_destroy (struct ColtFixture *fixture);

/** Adds a server and returns its number; five share a rack. */
uint32_t test_add_server (struct ColtFixture *fixture,
                          int64_t cores,
                          int64_t accelerators);
/** Sends a server's digest with all of it free. */
void test_tell (struct ColtFixture *fixture, uint32_t server);

/** Makes a task; the number becomes its request's id. */
struct ColtPlacementTask test_task (const struct ColtFixture *fixture,
                                    unsigned number,
                                    const char *team,
                                    enum ColtWorkKind kind,
                                    int64_t cores,
                                    int64_t accelerators);
/** Adds a task that must be queued. */
void test_add (struct ColtFixture *fixture,
               const struct ColtPlacementTask *task);
/** Adds so many alike; numbers follow \a number. */
void test_add_many (struct ColtFixture *fixture,
                    unsigned number,
                    unsigned count,
                    const char *team,
                    enum ColtWorkKind kind,
                    int64_t cores,
                    int64_t accelerators);
/** Takes the next choice, which there must be; returns the task's number. */
unsigned test_choose (struct ColtFixture *fixture, uint32_t *server);
/** Returns whether there is no choice now. */
bool test_idle (struct ColtFixture *fixture);
/** Ends a placed task after a run time. */
void test_end (struct ColtFixture *fixture,
               const struct ColtPlacementTask *task,
               uint32_t server,
               int64_t run_ms);

void test_fit_add (void);
void test_shares_add (void);
void test_large_add (void);
void test_health_add (void);

#endif
