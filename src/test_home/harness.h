/**
 * \file
 * \brief A home with one owner and one gate that the test plays.
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

/** What the owner does with a start. */
enum ColtOwnerMode
{
  COLT_OWNER_ACCEPTS,
  COLT_OWNER_REFUSES,
  COLT_OWNER_KEEPS_SILENT,
  COLT_OWNER_ENDS_FIRST /**< tells start and end before it replies */
};

/** A start that the owner was asked for. */
struct ColtAskedStart
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
};

/** Everything of one test. */
struct ColtHomeFixture
{
  struct event_base *base;
  struct ColtCounters *counters;
  struct ColtWire *wire;
  struct ColtWire *owner_wire;
  struct ColtWire *gate_wire;
  struct ColtOwner *own; /* the home's own, of no server */
  struct ColtShardOwner *shards;
  struct ColtHome *home;
  enum ColtOwnerMode mode;
  enum ColtPlacementRefusal refusal;
  enum ColtQueryStage stage; /* told to queries */
  bool forgets_results;      /* events carry none, queries do */
  GArray *asked;             /* of struct ColtAskedStart */
  unsigned queries;
  unsigned stops;
  /* at the gate */
  unsigned answers;
  enum ColtOutcome outcome;
  enum ColtReason reason;
  GByteArray *result;
  /* durable work */
  void (*stored) (void *client, bool stored, bool certain);
  void *stored_client;
  unsigned stored_ends;
  struct event *digest_timer;
  uint8_t next_id;
  int64_t give_up_us; /* only guards against a test that hangs */
};

/** How a submission was taken. */
struct ColtSubmitted
{
  bool done;
  enum ColtSubmitStatus status;
  enum ColtReason reason;
};

/** Turns the loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                                          \
  while (!(condition))                                                         \
  colt_home_turn (fixture)

void colt_home_set_up (struct ColtHomeFixture *fixture, gconstpointer data);
void colt_home_tear_down (struct ColtHomeFixture *fixture, gconstpointer data);
void colt_home_turn (struct ColtHomeFixture *fixture);

/** Returns a new id of a shard that the home leads. */
struct ColtId colt_home_id (struct ColtHomeFixture *fixture);

/** Returns one of a shard that another instance should lead. */
struct ColtId colt_home_foreign_id (struct ColtHomeFixture *fixture);

/** Returns a small task for the caller who waits; it may run but once. */
struct ColtRequestSpec colt_home_spec (void);

/** Sends a submission; \a submitted is filled in when the reply comes. */
void colt_home_send_submit (struct ColtHomeFixture *fixture,
                            const struct ColtId *id,
                            const struct ColtRequestSpec *spec,
                            struct ColtSubmitted *submitted);

/** Sends a submission and waits for the reply. */
struct ColtSubmitted colt_home_submit (struct ColtHomeFixture *fixture,
                                       const struct ColtId *id,
                                       const struct ColtRequestSpec *spec);

/** Asks to cancel a request and waits for the reply. */
void colt_home_cancel (struct ColtHomeFixture *fixture,
                       const struct ColtId *id);

/** Tells the home an event of an attempt. */
void colt_home_tell (struct ColtHomeFixture *fixture,
                     const struct ColtAskedStart *start,
                     enum ColtTaskEventKind kind);

/** Returns the start that the owner was asked for as number \a index. */
const struct ColtAskedStart *
colt_home_asked (const struct ColtHomeFixture *fixture, guint index);

#endif
