/**
 * \file
 * \brief Request table whose client records the callbacks.
 */
#ifndef TABLE_FIXTURE_H
#define TABLE_FIXTURE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/request.h"

/** Wall-clock second at which table_id() mints ids. */
#define TEST_WALL_S 100000u
/** Backend server to which table_begin_attempt() sends tasks. */
#define TEST_SERVER 7u
/** Epoch of each shard; table_reopen_shard() opens one at the next epoch. */
#define TEST_SHARD_EPOCH 1u
/** Lease epoch of TEST_SERVER. */
#define TEST_SERVER_EPOCH 3u

/** A request table with all shards open, and the callbacks of its client. */
struct ColtTableFixture
{
  struct ColtRequests *requests;
  GHashTable *queued; /**< queued tasks, a set of "ID-INDEX" strings */
  unsigned queued_count;
  unsigned unqueued_count;
  unsigned stop_count;
  unsigned ended_count;
  enum ColtOutcome outcome; /**< of the request that ended last */
  enum ColtReason reason;   /**< of the request that ended last */
  unsigned retries;         /**< left in the retry budget of all teams */
  uint32_t random;          /**< returned by the random callback */
  int64_t now_us;
};

void table_set_up (struct ColtTableFixture *fixture, gconstpointer data);
void table_tear_down (struct ColtTableFixture *fixture, gconstpointer data);

/** Returns an id minted at TEST_WALL_S; each number gives a different id. */
struct ColtId table_id (uint8_t number);

/** Returns the specification of an interactive request of team "quotes" with
 * one task and no deadline. */
struct ColtRequestSpec table_spec (bool idempotent);

/** Submits a request as fresh, with instance 1 as the waiter. */
enum ColtSubmitStatus table_submit (struct ColtTableFixture *fixture,
                                    const struct ColtId *id,
                                    const struct ColtRequestSpec *spec);

/** Submits a request as not fresh, with instance 2 as the waiter. */
enum ColtSubmitStatus table_submit_again (struct ColtTableFixture *fixture,
                                          const struct ColtId *id,
                                          const struct ColtRequestSpec *spec,
                                          uint32_t wall_s,
                                          enum ColtReason *reason);

/** Begins an attempt at a queued task on TEST_SERVER and returns it. */
struct ColtTaskRef table_begin_attempt (struct ColtTableFixture *fixture,
                                        const struct ColtId *id,
                                        uint32_t index);

/** Returns a report of an attempt; one that ended has the result "answer". */
struct ColtTaskReport table_make_report (const struct ColtTaskRef *ref,
                                         enum ColtTaskState state);

/** Reports the end of an attempt to the table. */
void table_end_attempt (struct ColtTableFixture *fixture,
                        const struct ColtTaskRef *ref,
                        enum ColtTaskState state);

/** Advances the time and runs the timers that are due. */
void table_advance (struct ColtTableFixture *fixture, int64_t span_us);

/** Opens the shard of an id again at the next epoch, as a new leader does, with
 * reports of TEST_SERVER. */
void table_reopen_shard (struct ColtTableFixture *fixture,
                         const struct ColtId *id,
                         const struct ColtTaskReport *reports,
                         size_t count,
                         uint32_t known_since_s);

/** Asserts that the statistics count no open request, open task or payload. */
void table_assert_idle (struct ColtTableFixture *fixture);

/** Adds the tests of test_recovery.c. */
void test_add_recovery (void);

#endif
