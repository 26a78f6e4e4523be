/**
 * \file
 * \brief The gate of an instance: accepts callers' requests over HTTP.
 *
 * The gate checks the form, key and queue of a request, chooses its id, which
 * determines its home zone and shard, and submits the request to the leader of
 * that shard. It repeats the submission until a home has accepted it or the
 * time for it has passed, and replies to the caller exactly once.
 */
#ifndef COLTSFOOTSTILE_GATE_H
#define COLTSFOOTSTILE_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/bundle.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/freshness.h"
#include "coltsfootstile/http_listener.h"
#include "coltsfootstile/keyring.h"
#include "coltsfootstile/wire.h"

struct event_base;
struct evhttp_request;

/** Maximum size of the headers of a caller's request in bytes. */
#define COLT_GATE_HEADERS_MAX 8192
/** Maximum size of the body of a caller's request in bytes. */
#define COLT_GATE_BODY_MAX (512 * 1024)
/** Idle timeout of a caller's connection in seconds. */
#define COLT_GATE_IDLE_S 60
/** Maximum number of open requests of a gate; further requests are refused with
 * COLT_REASON_OVERLOADED. */
#define COLT_GATE_OPEN_MAX 10000u
/** Maximum number of callers' connections that a gate serves. On any further
 * connection, the first request is refused and the connection is closed. */
#define COLT_GATE_CONNECTIONS_MAX 4096u
/** Maximum deadline that a caller may set, in milliseconds. */
#define COLT_DEADLINE_MAX_MS INT64_C (3600000)
/** Deadline of a waiting caller, in milliseconds, if neither the caller nor the
 * bundle sets one. */
#define COLT_DEADLINE_DEFAULT_MS INT64_C (30000)

/** Parts of the instance that a gate uses; pointers are borrowed. */
struct ColtGateParts
{
  struct event_base *base;
  struct ColtWire *wire;
  struct ColtCounters *counters;
  uint32_t instance; /**< this instance's number */
  uint32_t zone;     /**< zone of the ids that the gate mints */
  /** Maximum number of callers' connections; 0: COLT_GATE_CONNECTIONS_MAX. */
  uint32_t connections_max;
  /** Bounds on connections, which are copied; NULL: defaults. */
  const struct ColtHttpLimits *limits;
};

/** Callbacks of a gate into the rest of the instance; all are required. */
struct ColtGateClient
{
  /** Returns the bundle in force, or NULL if there is none. */
  const struct ColtBundle *(*get_bundle) (void *client);
  /** Returns the keyring that callers' keys are checked against. */
  const struct ColtKeyring *(*get_keyring) (void *client);
  /** Returns whether this instance has every withdrawal of a key that is older
   * than COLT_FRESHNESS_BOUND_MS. Keyed requests are refused otherwise. */
  bool (*keys_are_fresh) (void *client);
  /** Returns the instance that is expected to lead a shard in a zone, or 0 if
   * there is none. */
  uint32_t (*find_leader) (void *client, uint32_t zone, uint32_t shard);
  /** Returns whether any backend server has the capacity for a task; true also
   * while the capacity of some servers is unknown. */
  bool (*fits_any_server) (void *client, const struct ColtResources *demand);
  /** Replies to a GET request for a path that the gate itself doesn't serve;
   * returns false, without a reply, if the path doesn't exist. */
  bool (*serve) (void *client,
                 struct evhttp_request *request,
                 const char *path);
};

/** A gate. */
struct ColtGate;

/**
 * Creates a gate; colt_gate_listen() makes it accept connections.
 *
 * The open calls of the wire in \a parts must be ended before the gate is
 * destroyed.
 *
 * \param parts   copied; what it points to must outlive the gate
 * \param calls   must outlive the gate
 * \param client  passed to each callback
 * \return the gate, to be destroyed with colt_gate_destroy()
 */
struct ColtGate *colt_gate_create (const struct ColtGateParts *parts,
                                   const struct ColtGateClient *calls,
                                   void *client);

/** Destroys a gate after replying to each open request as
 * colt_gate_abandon() does. NULL is allowed. */
void colt_gate_destroy (struct ColtGate *gate);

/**
 * Starts to accept callers' connections.
 *
 * \param address  ADDRESS:PORT
 * \param error    set on failure; may be NULL
 * \return false with COLT_ERROR_INVALID if the address is malformed, or with
 *         COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_gate_listen (struct ColtGate *gate,
                       const char *address,
                       struct ColtError *error);

/** Closes the listening socket and refuses new requests with
 * COLT_REASON_STOPPING; open requests continue. */
void colt_gate_stop (struct ColtGate *gate);

/** Returns the number of requests that the gate has not answered yet. */
size_t colt_gate_open_count (const struct ColtGate *gate);

/** Answers every open request with COLT_OUTCOME_UNKNOWN and
 * COLT_REASON_STOPPING; called just before the instance ends. */
void colt_gate_abandon (struct ColtGate *gate);

#endif
