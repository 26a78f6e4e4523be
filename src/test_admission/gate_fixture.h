/**
 * \file
 * \brief Test fixture: a gate on a free port, a simulated home, and an HTTP
 * caller.
 */
#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/gate.h"
#include "coltsfootstile/request_messages.h"

/** Secret of a key of the team that owns the queue "keyed". */
#define TEST_SECRET "a secret"
/** Secret of a key of another team. */
#define TEST_OTHER_SECRET "another secret"

/** Connection limit of the fixture's gate. */
#define TEST_CONNECTIONS_MAX 3u

/** A reply of the gate; to be released with gate_reply_clear(). */
struct ColtGateReply
{
  int status;   /**< HTTP status code, 0 if there was no reply */
  char *text;   /**< everything received, headers included */
  json_t *body; /**< NULL if the body is not valid JSON */
};

/** A gate with simulated surroundings, whose behaviour a test may change. */
struct ColtGateFixture
{
  struct event_base *base;
  struct ColtWire *wire; /**< the gate's */
  struct ColtWire *home; /**< the simulated home's */
  struct ColtCounters *counters;
  struct ColtChain *chain;
  struct ColtGate *gate;
  char address[32]; /**< on which the gate listens, ADDRESS:PORT */
  bool has_bundle;
  bool keys_fresh;
  bool fits_any;
  uint32_t leader;                     /**< of all shards, 0 for none */
  enum ColtSubmitStatus submit_status; /**< in the home's submit replies */
  enum ColtReason submit_reason;       /**< in the home's submit replies */
  /** In the home's answers; COLT_OUTCOME_PENDING: the home sends no answer. */
  enum ColtOutcome outcome;
  /** In an answer for each id of an attach call; COLT_OUTCOME_PENDING: none. */
  enum ColtOutcome attach_outcome;
  bool forgets; /**< replies to attach calls return all ids as unknown */
  unsigned submit_count;
  GHashTable *attached; /**< set of the struct ColtId of attach calls */
  unsigned attach_count;
  bool last_fresh;     /**< from the last submit call */
  uint32_t last_tasks; /**< from the last submit call */
  bool stop_on_call;   /**< a call to the home stops the event loop */
  bool unresponsive;   /**< the home replies to no call */
};

/** Sets the fixture up; \a data is the connection limit, or NULL for
 * TEST_CONNECTIONS_MAX. */
void gate_set_up (struct ColtGateFixture *fixture, gconstpointer data);
void gate_tear_down (struct ColtGateFixture *fixture, gconstpointer data);

/** Sends bytes to the gate and reads until it closes the connection. */
struct ColtGateReply
gate_exchange (struct ColtGateFixture *fixture, const char *bytes, size_t size);

/** Posts a body to a path and returns the reply; \a headers are further header
 * lines, each ended by CR LF. */
struct ColtGateReply gate_post (struct ColtGateFixture *fixture,
                                const char *path,
                                const char *headers,
                                const char *body);

/** Runs the event loop until the home receives a call. */
void gate_wait_for_call (struct ColtGateFixture *fixture);

/** Posts a task and closes the connection, without a reply, once the home has
 * received the submit call. */
void gate_post_and_close (struct ColtGateFixture *fixture,
                          const char *headers,
                          const char *body);

/** Sends a request without a body and returns the reply. */
struct ColtGateReply gate_request (struct ColtGateFixture *fixture,
                                   const char *method,
                                   const char *path);

/** Frees the contents of a reply. */
void gate_reply_clear (struct ColtGateReply *reply);

/** Asserts the HTTP status, outcome and reason of a reply and frees its
 * contents; \a reason is NULL if the reply must have none. */
void gate_assert_reply (struct ColtGateReply reply,
                        int status,
                        const char *outcome,
                        const char *reason);

#endif
