/**
 * \file
 * \brief An owner with one fake server, and a home that speaks with it.
 */
#ifndef COLTSFOOTSTILE_TEST_OWNER_HARNESS_H
#define COLTSFOOTSTILE_TEST_OWNER_HARNESS_H

#include "coltsfootstile/owner.h"
#include "coltsfootstile/request_messages.h"
#include "fake_server.h"

#define OWNER_INSTANCE 1u
#define HOME_INSTANCE 2u
#define OTHER_HOME_INSTANCE 3u
#define SERVER_ID 7u
#define TEAM "team"

/** What a home was told of a task. */
struct ColtToldEvent
{
  struct ColtTaskRef ref;
  enum ColtTaskEventKind kind;
  enum ColtPlacementRefusal refusal;
  enum ColtTaskState state;
  bool has_result;
};

/** A home on a wire of its own. */
struct ColtFakeHome
{
  struct ColtWire *wire;
  GArray *told;     /* of struct ColtToldEvent */
  bool deaf;        /* takes no events */
  unsigned unheard; /* messages of events that it did not take */
};

/** Everything of one test. */
struct ColtOwnerFixture
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  struct ColtCreditHolder *credits;
  unsigned bare; /* times that no lease was left */
  struct ColtOwner *owner;
  struct ColtFakeServer *server;
  struct ColtFakeHome home;
  struct ColtFakeHome other_home;
  uint64_t epoch_counter;
  uint64_t shard_epoch;
  uint64_t credit_sequence;
  int64_t give_up_us; /* only guards against a test that hangs */
};

/** How a call of the home ended. */
struct ColtHomeCall
{
  bool done;
  enum ColtWireResult result;
  bool accepted;
  enum ColtPlacementRefusal refusal;
  enum ColtQueryStage stage;
  bool has_result;
};

/** Turns the loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                                          \
  while (!(condition))                                                         \
  colt_owner_turn (fixture)

/** Sets up an owner that holds its server, a session for every shard and
 * credits for 100 tasks. */
void colt_owner_set_up (struct ColtOwnerFixture *fixture, gconstpointer data);
void colt_owner_tear_down (struct ColtOwnerFixture *fixture,
                           gconstpointer data);

/** Turns the loop once. */
void colt_owner_turn (struct ColtOwnerFixture *fixture);

/** A lead with a higher epoch opens sessions for every shard. */
void colt_owner_open_sessions (struct ColtOwnerFixture *fixture);

/** Gives the owner credits for so many tasks of the team in all. */
void colt_owner_grant (struct ColtOwnerFixture *fixture, int64_t tasks);

/** Returns what the owner says of its server. */
struct ColtOwnedServerInfo
colt_owner_server_info (const struct ColtOwnerFixture *fixture);

/** Returns a reference to the first attempt at a task. */
struct ColtTaskRef colt_owner_ref (uint8_t number);

/** Returns what a small task takes. */
struct ColtResources colt_owner_demand (void);

/** Places a task and waits for the reply. */
struct ColtHomeCall colt_owner_place (struct ColtOwnerFixture *fixture,
                                      const struct ColtTaskRef *ref,
                                      const struct ColtResources *demand);

/** Places a small task, which must be accepted. */
void colt_owner_place_good (struct ColtOwnerFixture *fixture,
                            const struct ColtTaskRef *ref);

/** Asks to stop a task and waits for the reply. */
void colt_owner_ask_stop (struct ColtOwnerFixture *fixture,
                          const struct ColtTaskRef *ref);

/** Asks how a task stands and waits for the reply. */
struct ColtHomeCall colt_owner_query (struct ColtOwnerFixture *fixture,
                                      const struct ColtTaskRef *ref,
                                      bool want_result);

/** Returns how often a home was told a kind of event of a task. */
unsigned colt_owner_told (const struct ColtFakeHome *home,
                          const struct ColtTaskRef *ref,
                          enum ColtTaskEventKind kind);

/** Returns the last event that a home was told of a task. */
const struct ColtToldEvent *
colt_owner_last_told (const struct ColtFakeHome *home,
                      const struct ColtTaskRef *ref);

/** Returns how often a task was started on the server. */
int colt_owner_effects (const struct ColtOwnerFixture *fixture,
                        const struct ColtTaskRef *ref);

/** Adds a test with the fixture. */
void colt_owner_add_test (const char *path,
                          void (*test) (struct ColtOwnerFixture *fixture,
                                        gconstpointer data));

void colt_test_starts_add (void);
void colt_test_stops_add (void);
void colt_test_room_add (void);
void colt_test_told_add (void);

#endif
