/**
 * \file
 * \brief One TCP connection that carries frames.
 */
#ifndef COLTSFOOTSTILE_WIRE_CONNECTION_H
#define COLTSFOOTSTILE_WIRE_CONNECTION_H

#include <event2/util.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/wire.h"

struct sockaddr_in;

/** A connection; its owner destroys it from within on_closed(), or earlier. */
struct ColtConnection;

/** A frame to send, or a received one, whose \a body is valid during the
 * callback only. */
struct ColtFrameView
{
  uint32_t kind;
  uint64_t call; /**< number of the call; 0 if no reply is expected */
  bool reply;    /**< whether the frame is the reply to \a call */
  const uint8_t *body;
  size_t size;
};

/** Callbacks to the owner of a connection. */
struct ColtConnectionClient
{
  /** The peer's hello arrived; returns false to close the connection. */
  bool (*on_hello) (void *client, uint32_t instance, uint64_t incarnation);
  /** A frame arrived after the hello. */
  void (*on_frame) (void *client, const struct ColtFrameView *frame);
  /** The connection failed or ended, and must be destroyed. \a bad_frame is
   * true if the peer violated the protocol. */
  void (*on_closed) (void *client, bool bad_frame);
};

/** Starts to open a connection; a failure is reported later by on_closed(). */
struct ColtConnection *
colt_connection_dial (struct event_base *base,
                      const struct sockaddr_in *address,
                      const struct ColtConnectionClient *callbacks,
                      void *client);

/** Creates a connection from an accepted socket and takes ownership of it. */
struct ColtConnection *
colt_connection_accept (struct event_base *base,
                        evutil_socket_t socket,
                        const struct ColtConnectionClient *callbacks,
                        void *client);

/** Closes and frees a connection without calling on_closed(); NULL is allowed.
 * Within a callback, freeing is deferred until the callback returns. */
void colt_connection_destroy (struct ColtConnection *connection);

/** Sends the hello, which must be the first frame in each direction. */
void colt_connection_send_hello (struct ColtConnection *connection,
                                 uint32_t instance,
                                 uint64_t incarnation);

/** Queues a frame; returns false if more than COLT_WIRE_BACKLOG_MAX bytes would
 * wait. */
bool colt_connection_send (struct ColtConnection *connection,
                           const struct ColtFrameView *frame);

/** Returns whether the TCP connection has been established. */
bool colt_connection_is_established (const struct ColtConnection *connection);

/** Returns the monotonic time in microseconds at which bytes last arrived or a
 * dialled connection was established; 0 before. */
int64_t
colt_connection_last_received_us (const struct ColtConnection *connection);

/** Sets the statistics that the connection updates. Must be called before any
 * frame is sent or received; \a stats must outlive the connection. */
void colt_connection_set_stats (struct ColtConnection *connection,
                                struct ColtWireStats *stats);

#endif
