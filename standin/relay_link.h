/**
 * \file
 * \brief One connection through the relay, with its two ends.
 */
#ifndef COLT_STANDIN_RELAY_LINK_H
#define COLT_STANDIN_RELAY_LINK_H

#include <event2/event.h>
#include <event2/util.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/** A connection from a caller to a target. */
struct ColtRelayLink;

/** Told when both ends are closed; the link is destroyed after it. */
typedef void (*ColtRelayClosed) (void *client, struct ColtRelayLink *link);

/** What all links of one route share; it outlives them. */
struct ColtRelayPath
{
  struct event_base *base;
  struct sockaddr_storage target;
  socklen_t target_size;
  int64_t delay_us; /**< added to each direction */
  bool cut;         /**< nothing passes until it is healed */
  ColtRelayClosed closed;
  void *client;
};

/** Creates a link for an accepted socket, which it owns. */
struct ColtRelayLink *colt_relay_link_create (const struct ColtRelayPath *path,
                                              evutil_socket_t fd);

/** Closes both ends without a word to the path; NULL is allowed. */
void colt_relay_link_destroy (struct ColtRelayLink *link);

/** Follows a change of the path's cut. */
void colt_relay_link_update (struct ColtRelayLink *link);

/** Makes the link silent for good. */
void colt_relay_link_silence (struct ColtRelayLink *link);

#endif
