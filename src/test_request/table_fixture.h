/**
 * \file
 * \brief A request table with a client that records what it is asked.
 */
#ifndef TABLE_FIXTURE_H
#define TABLE_FIXTURE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/request.h"

/** Wall-clock second at which the tests' ids are minted. */
#define TEST_WALL_S 100000u
/** Backend server that the tests send to. */
#define TEST_SERVER 7u
/** Epoch of each shard, until table_take_over() opens it at the next. */
#define TEST_SHARD_EPOCH 1u
/** Epoch of that server. */
#define TEST_SERVER_EPOCH 3u

/** A table that leads all shards, and what its client was asked. */
struct ColtTableFixture
{
  struct ColtRequests *requests;
  GHashTable *ready; /**< of char "ID-INDEX" */
  unsigned ready_count;
  unsigned unready_count;
  unsigned stop_count;
  unsigned ended_count;
  enum ColtOutcome outcome; /**< of the request that ended last */
  enum ColtReason reason;
  unsigned retries; /**< left in every team's budget */
  uint32_t random;
  int64_t now_us;
};

void table_set_up (struct ColtTableFixture *fixture, gconstpointer data);
void table_tear_down (struct ColtTableFixture *fixture, gconstpointer data);

/** Returns the id with a number, minted at TEST_WALL_S. */
struct ColtId table_id (uint8_t number);

/** Returns a specification: interactive, one task, no deadline. */
struct ColtRequestSpec table_spec (bool idempotent);

/** Submits as new, and returns the status. */
enum ColtSubmitStatus table_submit (struct ColtTableFixture *fixture,
                                    const struct ColtId *id,
                                    const struct ColtRequestSpec *spec);

/** Submits a second time, at a wall-clock second. */
enum ColtSubmitStatus table_submit_again (struct ColtTableFixture *fixture,
                                          const struct ColtId *id,
                                          const struct ColtRequestSpec *spec,
                                          uint32_t wall_s,
                                          enum ColtReason *reason);

/** Sends a task to TEST_SERVER and returns the attempt. */
struct ColtTaskRef table_send (struct ColtTableFixture *fixture,
                               const struct ColtId *id,
                               uint32_t index);

/** Makes a report of an attempt. */
struct ColtTaskReport table_report (const struct ColtTaskRef *ref,
                                    enum ColtTaskState state);

/** Reports the end of an attempt. */
void table_end (struct ColtTableFixture *fixture,
                const struct ColtTaskRef *ref,
                enum ColtTaskState state);

/** Moves time on and does what is due. */
void table_pass (struct ColtTableFixture *fixture, int64_t span_us);

/** Opens the shard of an id anew, with reports of TEST_SERVER. */
void table_take_over (struct ColtTableFixture *fixture,
                      const struct ColtId *id,
                      const struct ColtTaskReport *reports,
                      size_t count,
                      uint32_t known_since_s);

/** Fails unless no request is open and no task is counted. */
void table_assert_idle (struct ColtTableFixture *fixture);

void test_add_recovery (void);

#endif
