/**
 * \file
 * \brief A gate on a free port, a home that answers as it is told, and a
 * caller that writes bytes and reads the answer.
 */
#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include <glib.h>
#include <jansson.h>

#include "coltsfootstile/gate.h"
#include "coltsfootstile/request_messages.h"

/** Secret of a key of the team that the queue "keyed" belongs to. */
#define TEST_SECRET "a secret"
/** Secret of a key of another team. */
#define TEST_OTHER_SECRET "another secret"

/** Connections that the gate of the fixture serves. */
#define TEST_CONNECTIONS_MAX 3u

/** An answer as it came. */
struct ColtGateReply
{
  int status;
  char *head;
  json_t *body; /**< NULL if it was no JSON */
};

/** The gate, its surroundings and what they say. */
struct ColtGateFixture
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtWire *home;
  struct ColtCounters *counters;
  struct ColtChain *chain;
  struct ColtGate *gate;
  char address[32];
  bool has_bundle;
  bool fresh;
  bool fits;
  uint32_t lead;
  enum ColtSubmitStatus status; /**< the home's reply to a submission */
  enum ColtReason reason;
  enum ColtOutcome outcome; /**< and its answer; pending: none */
  unsigned submissions;
  bool submitted_fresh; /**< of the last one */
  uint32_t tasks;       /**< of the last one */
  bool breaks;          /**< a submission ends the loop */
};

void gate_set_up (struct ColtGateFixture *fixture, gconstpointer data);
void gate_tear_down (struct ColtGateFixture *fixture, gconstpointer data);

/** Writes bytes to the gate and reads until it closes the connection. */
struct ColtGateReply
gate_exchange (struct ColtGateFixture *fixture, const char *bytes, size_t size);

/** Posts a body to a path, with further header lines, and reads the answer. */
struct ColtGateReply gate_post (struct ColtGateFixture *fixture,
                                const char *path,
                                const char *headers,
                                const char *body);

/** Posts a task and goes away once the home has it. */
void gate_leave (struct ColtGateFixture *fixture,
                 const char *headers,
                 const char *body);

/** Gets or deletes a path. */
struct ColtGateReply gate_ask (struct ColtGateFixture *fixture,
                               const char *method,
                               const char *path);

/** Frees an answer. */
void gate_reply_clear (struct ColtGateReply *reply);

/** Fails unless an answer has a status, an outcome and a reason, and frees it.
 * \a reason may be NULL. */
void gate_assert (struct ColtGateReply reply,
                  int status,
                  const char *outcome,
                  const char *reason);

#endif
