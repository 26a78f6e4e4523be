/**
 * \file
 * \brief Fixture and helpers of the placement tests.
 */
#ifndef COLTSFOOTSTILE_TEST_PLACEMENT_H
#define COLTSFOOTSTILE_TEST_PLACEMENT_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"

/** Start time of a fixture. Digests are dated this much earlier, so that the
 * set of servers counts as settled. */
#define TEST_START_US (100 * COLT_US_PER_S)

/** A placement and the digests of its servers. */
struct ColtFixture
{
  struct ColtPlacement *placement;
  int64_t now_us;
  struct ColtServerDigest servers[64]; /**< indexed by number, from 1 */
  uint32_t count;                      /**< number of servers */
};

/** Creates a fixture without servers. */
struct ColtFixture *test_create_fixture (void);
void test_destroy_fixture (struct ColtFixture *fixture);

/** Adds a server with \a cores whole cores, 2 GiB of memory for each core and
 * 8 slots. Returns its number. Each five consecutive servers share a rack. */
uint32_t test_add_server (struct ColtFixture *fixture,
                          int64_t cores,
                          int64_t accelerators);
/** Sends the digest of a server, with its whole capacity free. */
void test_send_digest (struct ColtFixture *fixture, uint32_t server);

/** Returns a task without a deadline that demands \a cores whole cores, 1 GiB
 * of memory for each core and 1 slot. The id of its request is \a number. */
struct ColtPlacementTask test_make_task (const struct ColtFixture *fixture,
                                         unsigned number,
                                         const char *team,
                                         enum ColtWorkKind kind,
                                         int64_t cores,
                                         int64_t accelerators);
/** Adds a task and asserts that it is queued. */
void test_add_task (struct ColtFixture *fixture,
                    const struct ColtPlacementTask *task);
/** Adds \a count equal tasks, numbered from \a number. */
void test_add_tasks (struct ColtFixture *fixture,
                     unsigned number,
                     unsigned count,
                     const char *team,
                     enum ColtWorkKind kind,
                     int64_t cores,
                     int64_t accelerators);
/** Asserts that a task can be placed and returns its number. Stores the chosen
 * server in \a server unless it is NULL. */
unsigned test_place_next (struct ColtFixture *fixture, uint32_t *server);
/** Returns whether no task can be placed now. Drops the choice otherwise. */
bool test_is_idle (struct ColtFixture *fixture);
/** Reports that a task finished after \a run_ms with its declared usage. */
void test_end_task (struct ColtFixture *fixture,
                    const struct ColtPlacementTask *task,
                    uint32_t server,
                    int64_t run_ms);

void test_register_fit (void);
void test_register_shares (void);
void test_register_large (void);
void test_register_health (void);

#endif
