/**
 * \file
 * \brief The instance's duty as gate: callers' requests over HTTP.
 *
 * The gate checks a request's form, key and queue, names its home zone, hands
 * it to the lead of its shard there, and answers the caller once. It keeps
 * asking until the home has answered or the deadline has passed.
 */
#ifndef COLTSFOOTSTILE_GATE_H
#define COLTSFOOTSTILE_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/freshness.h"
#include "coltsfootstile/keyring.h"
#include "coltsfootstile/wire.h"

struct event_base;
struct evhttp_request;

/** Largest header of a caller's request in bytes. */
#define COLT_GATE_HEADERS_MAX 8192
/** Largest body of a caller's request in bytes. */
#define COLT_GATE_BODY_MAX (512 * 1024)
/** Time a caller's connection may be idle, in seconds. */
#define COLT_GATE_IDLE_S 60
/** Requests that one gate holds open at most. */
#define COLT_GATE_OPEN_MAX 10000u
/** Connections of callers that one gate serves at most; one more gets a refusal
 * to its first request. */
#define COLT_GATE_CONNECTIONS_MAX 4096u
/** Longest deadline that a caller may set, in milliseconds. */
#define COLT_DEADLINE_MAX_MS INT64_C (3600000)
/** Deadline of a waiting caller when neither it nor the bundle sets one. */
#define COLT_DEADLINE_DEFAULT_MS INT64_C (30000)

/** What a gate needs from the rest of the instance. */
struct ColtGateParts
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  uint32_t instance;
  uint32_t zone;
  uint32_t connections_max; /**< 0: COLT_GATE_CONNECTIONS_MAX */
};

/** What a gate asks of the rest of the instance. */
struct ColtGateClient
{
  /** Returns the bundle in force, or NULL. */
  const struct ColtBundle *(*bundle) (void *client);
  /** Returns the keyring. */
  const struct ColtKeyring *(*keyring) (void *client);
  /** Returns whether withdrawals are known up to a moment ago. */
  bool (*fresh) (void *client);
  /** Returns the instance that should lead a shard in a zone, 0 if none. */
  uint32_t (*lead_of) (void *client, uint32_t zone, uint32_t shard);
  /** Returns whether any backend server could hold a task; true if unknown. */
  bool (*ever_fits) (void *client, const struct ColtResources *demand);
  /** Answers a path that is not the gate's own; false if there is none. */
  bool (*serve) (void *client,
                 struct evhttp_request *request,
                 const char *path);
};

/** A gate. */
struct ColtGate;

/** Creates a gate that doesn't listen yet; the parts must outlive it. */
struct ColtGate *colt_gate_create (const struct ColtGateParts *parts,
                                   const struct ColtGateClient *calls,
                                   void *client);

/** Destroys a gate; open requests are answered as unknown. NULL is allowed. */
void colt_gate_destroy (struct ColtGate *gate);

/**
 * Listens for callers.
 *
 * \param address  ADDRESS:PORT
 * \return false with COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_gate_listen (struct ColtGate *gate,
                       const char *address,
                       struct ColtError *error);

/** Takes no new requests; those that are open go on. */
void colt_gate_stop (struct ColtGate *gate);

/** Returns how many requests are open. */
size_t colt_gate_open_count (const struct ColtGate *gate);

/** Answers every open request as unknown: this instance ends now. */
void colt_gate_abandon (struct ColtGate *gate);

#endif
