/**
 * \file
 * \brief Messages between entry instances: frames over TCP.
 *
 * A frame is four bytes of length (big endian) and a protobuf message with a
 * kind, a call number and a body. The body's meaning belongs to the slice
 * that owns the kind. A call ends exactly once, with one of the results of
 * enum ColtWireResult.
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
/** Bytes that may wait to be sent to one peer before calls are turned away. */
#define COLT_WIRE_BACKLOG_MAX (8u * 1024 * 1024)

/** Kinds of messages; each slice owns a range of a hundred. */
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
  COLT_WIRE_REPLIED,   /**< the whole reply is there */
  COLT_WIRE_NOT_SENT,  /**< the peer has certainly not seen the call */
  COLT_WIRE_TIMED_OUT, /**< no reply in time: the peer may have seen it */
  COLT_WIRE_BROKEN     /**< connection lost: the peer may have seen it */
};

/** Names of enum ColtWireResult, indexed by it. */
extern const char *const colt_wire_result_string[];

/** Links of one entry instance to the others. */
struct ColtWire;

/** Where a message came from, for the reply. */
struct ColtWireOrigin
{
  uint32_t instance;   /**< the sender's instance number */
  uint64_t connection; /**< handle of the connection it came on */
  uint64_t call;       /**< 0 for a message that wants no reply */
};

/** Takes a message of one kind; \a body is valid during the call only. */
typedef void (*ColtWireHandler) (void *client,
                                 const struct ColtWireOrigin *origin,
                                 const uint8_t *body,
                                 size_t size);

/** Takes the end of a call; \a body is NULL unless it was replied to. */
typedef void (*ColtWireReply) (void *client,
                               enum ColtWireResult result,
                               const uint8_t *body,
                               size_t size);

/**
 * Creates the links.
 *
 * \param base         the loop, which must outlive the links
 * \param instance     this instance's number, at least 1
 * \param incarnation  grows each time the instance starts
 */
struct ColtWire *colt_wire_create (struct event_base *base,
                                   uint32_t instance,
                                   uint64_t incarnation);

/** Closes all connections; open calls end before it returns. NULL is allowed.
 */
void colt_wire_destroy (struct ColtWire *wire);

/** Sets the taker of a kind; must be done before colt_wire_listen(). */
void colt_wire_set_handler (struct ColtWire *wire,
                            uint32_t kind,
                            ColtWireHandler handler,
                            void *client);

/**
 * Accepts connections.
 *
 * \param address  ADDRESS:PORT
 * \return false with COLT_ERROR_SYSTEM if it can't be bound
 */
bool colt_wire_listen (struct ColtWire *wire,
                       const char *address,
                       struct ColtError *error);

/** Makes a peer known, or changes its ADDRESS:PORT. */
void colt_wire_set_peer (struct ColtWire *wire,
                         uint32_t instance,
                         const char *address);

/** Forgets a peer and breaks its calls. */
void colt_wire_remove_peer (struct ColtWire *wire, uint32_t instance);

/**
 * Calls a peer. The connection is opened when it is needed; one that has let
 * a call time out is closed, so that the next call opens a new one.
 *
 * \param timeout_ms  until the call counts as timed out, at least 1
 * \param reply       called exactly once, never before this returns
 */
void colt_wire_call (struct ColtWire *wire,
                     uint32_t instance,
                     uint32_t kind,
                     const uint8_t *body,
                     size_t size,
                     uint32_t timeout_ms,
                     ColtWireReply reply,
                     void *client);

/** Sends a message without a reply; it may be lost. */
void colt_wire_send (struct ColtWire *wire,
                     uint32_t instance,
                     uint32_t kind,
                     const uint8_t *body,
                     size_t size);

/** Replies to a call; does nothing if its connection is gone. */
void colt_wire_reply (struct ColtWire *wire,
                      const struct ColtWireOrigin *origin,
                      const uint8_t *body,
                      size_t size);

/** Numbers for the state dump. */
struct ColtWireStats
{
  uint64_t bytes_sent;
  uint64_t bytes_received;
  uint64_t frames_sent;
  uint64_t frames_received;
  uint64_t bad_frames;
  uint32_t connections;
  uint32_t open_calls;
};

/** Returns how many messages of a kind have come, replies not counted. */
uint64_t colt_wire_received (const struct ColtWire *wire, uint32_t kind);

/** Reads the numbers. */
void colt_wire_get_stats (const struct ColtWire *wire,
                          struct ColtWireStats *stats);

#endif
