/**
 * \file
 * \brief Fixture with an owner, its fake backend server and two fake homes.
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

/** An event of a task that a home received. */
struct ColtReceivedEvent
{
  struct ColtTaskRef ref;
  enum ColtTaskEventKind kind;
  enum ColtPlacementRefusal refusal;
  enum ColtTaskState state;
  bool has_result;
};

/** A home with its own wire, which records the events that it receives. */
struct ColtFakeHome
{
  struct ColtWire *wire;
  GArray *events;         /* of struct ColtReceivedEvent */
  bool ignores_events;    /* records and acknowledges nothing */
  unsigned ignored_count; /* batches of events ignored */
};

/** Fixture of one test. */
struct ColtOwnerFixture
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  struct ColtCreditHolder *credits;
  unsigned all_leases_lost_count; /* callbacks for the end of the last lease */
  struct ColtOwner *owner;
  struct ColtFakeServer *server;
  struct ColtFakeHome home;
  struct ColtFakeHome other_home;
  uint64_t epoch_counter;
  uint64_t shard_epoch;
  uint64_t credit_sequence;
  int64_t deadline_us; /* fails a test that hangs */
};

/** State and result of a call of the home to the owner. */
struct ColtHomeCall
{
  bool done;
  enum ColtWireResult result;
  bool accepted;
  enum ColtPlacementRefusal refusal;
  enum ColtQueryStage stage;
  bool has_result;
};

/** Runs the event loop until a condition is true. */
#define RUN_UNTIL(fixture, condition)                                          \
  while (!(condition))                                                         \
  colt_owner_run_loop_once (fixture)

/** Sets up an owner that holds the lease on its server, and has a session for
 * every shard and credits for 100 tasks. */
void colt_owner_set_up (struct ColtOwnerFixture *fixture, gconstpointer data);
void colt_owner_tear_down (struct ColtOwnerFixture *fixture,
                           gconstpointer data);

/** Runs the event loop once; fails the test after its deadline. */
void colt_owner_run_loop_once (struct ColtOwnerFixture *fixture);

/** Opens sessions for every shard, as a leader with a higher epoch than before.
 */
void colt_owner_open_sessions (struct ColtOwnerFixture *fixture);

/** Grants the owner credits for \a tasks tasks of the team in total. */
void colt_owner_grant_credits (struct ColtOwnerFixture *fixture, int64_t tasks);

/** Returns the state of the server in the owner's state dump. */
struct ColtOwnedServerInfo
colt_owner_server_info (const struct ColtOwnerFixture *fixture);

/** Returns a reference to the first attempt at a task. */
struct ColtTaskRef colt_owner_make_ref (uint8_t number);

/** Returns the demand of a small task. */
struct ColtResources colt_owner_small_demand (void);

/** Sends the start of a task to the owner and waits for the reply. */
struct ColtHomeCall colt_owner_place (struct ColtOwnerFixture *fixture,
                                      const struct ColtTaskRef *ref,
                                      const struct ColtResources *demand);

/** Sends the start of a small task, which the owner must accept. */
void colt_owner_place_accepted (struct ColtOwnerFixture *fixture,
                                const struct ColtTaskRef *ref);

/** Requests the stop of a task and waits for the reply. */
void colt_owner_request_stop (struct ColtOwnerFixture *fixture,
                              const struct ColtTaskRef *ref);

/** Queries the stage of a task and waits for the reply. */
struct ColtHomeCall colt_owner_query (struct ColtOwnerFixture *fixture,
                                      const struct ColtTaskRef *ref,
                                      bool fetch_result);

/** Returns how many events of a kind a home received for a task. */
unsigned colt_owner_count_events (const struct ColtFakeHome *home,
                                  const struct ColtTaskRef *ref,
                                  enum ColtTaskEventKind kind);

/** Returns the last event that a home received for a task, or NULL. */
const struct ColtReceivedEvent *
colt_owner_last_event (const struct ColtFakeHome *home,
                       const struct ColtTaskRef *ref);

/** Returns how often a task was started on the server. */
int colt_owner_count_starts (const struct ColtOwnerFixture *fixture,
                             const struct ColtTaskRef *ref);

/** Registers a test that uses the fixture. */
void colt_owner_add_test (const char *path,
                          void (*test) (struct ColtOwnerFixture *fixture,
                                        gconstpointer data));

void colt_test_starts_add (void);
void colt_test_stops_add (void);
void colt_test_room_add (void);
void colt_test_events_add (void);

#endif
