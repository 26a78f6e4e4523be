/**
 * \file
 * \brief Messages between entry instances: frames over TCP.
 *
 * A frame consists of a length of four bytes (big endian) and a protobuf
 * message with a kind, a call number and a body. The body is defined by the
 * module that owns the kind. A call ends exactly once, with one of the results
 * of enum ColtWireResult.
 */
#ifndef COLTSFOOTSTILE_WIRE_H
#define COLTSFOOTSTILE_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"

struct event_base;

/** Largest body of a frame in bytes. */
#define COLT_WIRE_BODY_MAX (4u * 1024 * 1024)
/** Most bytes that may wait to be sent on one connection; messages beyond are
 * not sent. */
#define COLT_WIRE_BACKLOG_MAX (8u * 1024 * 1024)

/** Kinds of messages; each module owns a range of a hundred. */
enum ColtWireKind
{
  COLT_WIRE_HELLO = 1,
  COLT_WIRE_MEMBERSHIP_FIRST = 100,
  COLT_WIRE_SHARD_FIRST = 200,
  COLT_WIRE_QUOTA_FIRST = 300,
  COLT_WIRE_BUNDLE_FIRST = 400,
  COLT_WIRE_REQUEST_FIRST = 500,
  COLT_WIRE_PLACEMENT_FIRST = 600,
  COLT_WIRE_KIND_MAX = 1000 /**< kinds are below this */
};

/** How a call ended. */
enum ColtWireResult
{
  COLT_WIRE_REPLIED,   /**< the whole reply has arrived */
  COLT_WIRE_NOT_SENT,  /**< the peer has certainly not received the call */
  COLT_WIRE_TIMED_OUT, /**< no reply in time, or the connection was closed as
                            unresponsive; the peer may have received it */
  COLT_WIRE_BROKEN     /**< connection lost; the peer may have received it */
};

/** Names of enum ColtWireResult, indexed by it. */
extern const char *const colt_wire_result_string[];

/** Connections of one entry instance to the others. */
struct ColtWire;

/** Origin of a message, as needed for the reply. */
struct ColtWireOrigin
{
  uint32_t instance;   /**< the sender's instance number */
  uint64_t connection; /**< handle of the connection it arrived on */
  uint64_t call;       /**< number of the call; 0 if no reply is expected */
};

/** Callback for a message of one kind; \a body is valid during the call only.
 */
typedef void (*ColtWireHandler) (void *client,
                                 const struct ColtWireOrigin *origin,
                                 const uint8_t *body,
                                 size_t size);

/** Callback for the end of a call; \a body is NULL unless \a result is
 * COLT_WIRE_REPLIED, and valid during the call only. */
typedef void (*ColtWireCallDone) (void *client,
                                  enum ColtWireResult result,
                                  const uint8_t *body,
                                  size_t size);

/**
 * Creates the wire of an instance, without connections.
 *
 * \param base         the event loop, which must outlive the wire
 * \param instance     this instance's number, at least 1
 * \param incarnation  increases each time the instance starts
 */
struct ColtWire *colt_wire_create (struct event_base *base,
                                   uint32_t instance,
                                   uint64_t incarnation);

/** Ends open calls with COLT_WIRE_BROKEN. To be called before their clients are
 * destroyed. */
void colt_wire_end_calls (struct ColtWire *wire);

/** Ends open calls, closes all connections and frees the wire; NULL is allowed.
 */
void colt_wire_destroy (struct ColtWire *wire);

/** Sets the handler of a kind, once; must be called before colt_wire_listen().
 */
void colt_wire_set_handler (struct ColtWire *wire,
                            uint32_t kind,
                            ColtWireHandler handler,
                            void *client);

/**
 * Listens for connections.
 *
 * \param address  ADDRESS:PORT with an IPv4 address
 * \return false with COLT_ERROR_INVALID if \a address is malformed, or with
 *         COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_wire_listen (struct ColtWire *wire,
                       const char *address,
                       struct ColtError *error);

/** Adds a peer, or changes its ADDRESS:PORT. A new address closes the
 * connection to the old one. A malformed address is logged and ignored. */
void colt_wire_set_peer (struct ColtWire *wire,
                         uint32_t instance,
                         const char *address);

/** Removes a peer, closes the connection to it and ends its open calls. */
void colt_wire_remove_peer (struct ColtWire *wire, uint32_t instance);

/**
 * Calls a peer. The connection is opened when needed. A connection that
 * received nothing during a call that timed out is closed, so that the next
 * call opens a new one.
 *
 * \param body        copied; may be NULL if \a size is 0
 * \param size        size of \a body in bytes; a call with more than
 *                    COLT_WIRE_BODY_MAX ends as COLT_WIRE_NOT_SENT
 * \param timeout_ms  time until the call ends without a reply, at least 1
 * \param done        called exactly once, after this function has returned
 */
void colt_wire_call (struct ColtWire *wire,
                     uint32_t instance,
                     uint32_t kind,
                     const uint8_t *body,
                     size_t size,
                     uint32_t timeout_ms,
                     ColtWireCallDone done,
                     void *client);

/** Sends a message that has no reply; the message may be lost. */
void colt_wire_send (struct ColtWire *wire,
                     uint32_t instance,
                     uint32_t kind,
                     const uint8_t *body,
                     size_t size);

/** Replies to a call; does nothing if its connection has been closed. */
void colt_wire_reply (struct ColtWire *wire,
                      const struct ColtWireOrigin *origin,
                      const uint8_t *body,
                      size_t size);

/** Statistics for the state dump. */
struct ColtWireStats
{
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t frames_sent;
  uint64_t frames_received;
  uint64_t bad_frames; /**< frames that violated the protocol */
  uint32_t connections;
  uint32_t open_calls;
};

/** Returns the number of messages received of a kind, without replies. */
uint64_t colt_wire_received_count (const struct ColtWire *wire, uint32_t kind);

/** Copies the statistics to \a stats. */
void colt_wire_get_stats (const struct ColtWire *wire,
                          struct ColtWireStats *stats);

#endif
