/**
 * \file
 * \brief A home under test, with one owner and one gate simulated by the test.
 *
 * The three instances are connected by real sockets on the loopback interface
 * and share one event loop.
 */
#ifndef COLTSFOOTSTILE_TEST_HOME_HARNESS_H
#define COLTSFOOTSTILE_TEST_HOME_HARNESS_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/home.h"
#include "coltsfootstile/request_messages.h"

#define HOME_INSTANCE 1u
#define OWNER_INSTANCE 2u
#define GATE_INSTANCE 3u
#define SERVER_ID 7u
#define SERVER_EPOCH 5u

/** How the owner responds to a start. */
enum ColtOwnerMode
{
  COLT_OWNER_ACCEPTS,
  COLT_OWNER_REFUSES,
  COLT_OWNER_SENDS_NO_REPLY,
  COLT_OWNER_ENDS_FIRST /**< sends its events before the reply */
};

/** A start that the owner has received. */
struct ColtReceivedStart
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
};

/** State of one test. */
struct ColtHomeFixture
{
  struct event_base *base;
  struct ColtCounters *counters;
  struct ColtWire *wire;
  struct ColtWire *owner_wire;
  struct ColtWire *gate_wire;
  struct ColtOwner *local_owner; /**< of the home's instance; owns no server */
  struct ColtShardOwner *shard_owner;
  struct ColtHome *home;
  enum ColtOwnerMode mode;
  enum ColtPlacementRefusal refusal;
  enum ColtQueryStage query_stage; /**< reported in replies to queries */
  bool omits_results; /**< events carry no result, replies to queries do */
  GArray *starts;     /**< of struct ColtReceivedStart */
  bool holds_queries; /**< the owner's replies to queries are held back */
  uint8_t *held_query;
  size_t held_query_size;
  struct ColtWireOrigin held_origin;
  unsigned queries;
  unsigned stops;
  /* Answers at the gate; outcome, reason and result are of the newest one. */
  unsigned answers;
  enum ColtOutcome outcome;
  enum ColtReason reason;
  GByteArray *result;
  /* Durable requests; store_done is NULL until a request is to be stored. */
  void (*store_done) (void *client, bool stored, bool certain);
  void *store_done_client;
  unsigned recorded_outcomes;
  struct event *digest_timer;
  uint8_t next_id;
  int64_t hang_limit_us; /**< aborts a test that hangs */
};

/** The reply to a submission. */
struct ColtSubmitReceipt
{
  bool done;
  enum ColtSubmitStatus status;
  enum ColtReason reason;
};

/** Runs the event loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                                          \
  while (!(condition))                                                         \
  colt_home_run_loop (fixture)

void colt_home_set_up (struct ColtHomeFixture *fixture, gconstpointer data);
void colt_home_tear_down (struct ColtHomeFixture *fixture, gconstpointer data);

/** Runs the event loop once; fails if the test has taken too long. */
void colt_home_run_loop (struct ColtHomeFixture *fixture);

/** Returns a new id of a shard that the home leads. */
struct ColtId colt_home_make_id (struct ColtHomeFixture *fixture);

/** Returns a new id of a shard that another instance should lead. */
struct ColtId colt_home_make_foreign_id (struct ColtHomeFixture *fixture);

/** Returns a request of one small interactive task that may run only once. */
struct ColtRequestSpec colt_home_make_spec (void);

/** Sends a submission; \a receipt is filled in when the reply comes. */
void colt_home_send_submit (struct ColtHomeFixture *fixture,
                            const struct ColtId *id,
                            const struct ColtRequestSpec *spec,
                            struct ColtSubmitReceipt *receipt);

/** Sends a submission and waits for the reply. */
struct ColtSubmitReceipt colt_home_submit (struct ColtHomeFixture *fixture,
                                           const struct ColtId *id,
                                           const struct ColtRequestSpec *spec);

/** Sends a cancellation and waits for the reply. */
void colt_home_cancel (struct ColtHomeFixture *fixture,
                       const struct ColtId *id);

/** Sends an event of an attempt from the owner to the home. */
void colt_home_send_event (struct ColtHomeFixture *fixture,
                           const struct ColtReceivedStart *start,
                           enum ColtTaskEventKind kind);

/** Sends the reply to the query that was held back last. */
void colt_home_reply_to_held_query (struct ColtHomeFixture *fixture);

/** Opens a shard at the owner for another leader, so that the home loses it. */
void colt_home_open_elsewhere (struct ColtHomeFixture *fixture, uint32_t shard);

/** Returns the start that the owner received as number \a index, from 0. */
const struct ColtReceivedStart *
colt_home_get_start (const struct ColtHomeFixture *fixture, guint index);

#endif
