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

/** A connection; its owner destroys it after `closed` was called. */
struct ColtConnection;

/** A frame as it came; `body` is valid during the call only. */
struct ColtFrameView
{
  uint32_t kind;
  uint64_t call;
  bool reply;
  const uint8_t *body;
  size_t size;
};

/** What the owner of a connection is told. */
struct ColtConnectionClient
{
  /** The peer said who it is; returns false to close. */
  bool (*hello) (void *client, uint32_t instance, uint64_t incarnation);
  /** A frame came. */
  void (*frame) (void *client, const struct ColtFrameView *frame);
  /** The connection is gone; `bad_frame` tells that the peer broke the format.
   */
  void (*closed) (void *client, bool bad_frame);
};

/** Opens a connection; `closed` tells of a failure later. */
struct ColtConnection *
colt_connection_dial (struct event_base *base,
                      const struct sockaddr_in *address,
                      const struct ColtConnectionClient *calls,
                      void *client);

/** Wraps a socket that was accepted. */
struct ColtConnection *
colt_connection_accept (struct event_base *base,
                        evutil_socket_t socket,
                        const struct ColtConnectionClient *calls,
                        void *client);

/** Closes and frees without telling the owner; NULL is allowed. */
void colt_connection_destroy (struct ColtConnection *connection);

/** Sends the hello that every connection starts with. */
void colt_connection_send_hello (struct ColtConnection *connection,
                                 uint32_t instance,
                                 uint64_t incarnation);

/** Queues a frame; returns false when too much is waiting already. */
bool colt_connection_send (struct ColtConnection *connection,
                           const struct ColtFrameView *frame);

/** Returns whether the TCP connection has been established. */
bool colt_connection_established (const struct ColtConnection *connection);

/** Returns the monotonic time in microseconds at which bytes last came. */
int64_t colt_connection_last_received (const struct ColtConnection *connection);

/** Sets where the numbers of sent and received bytes and frames are kept. */
void colt_connection_set_stats (struct ColtConnection *connection,
                                struct ColtWireStats *stats);

#endif
