/**
 * \file
 * \brief A connection that is relayed from a caller to a target.
 */
#ifndef COLT_STANDIN_RELAY_LINK_H
#define COLT_STANDIN_RELAY_LINK_H

#include <event2/event.h>
#include <event2/util.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/** A relayed connection: one socket to the caller, one to the target. */
struct ColtRelayLink;

/**
 * Called when a link closes because one of its ends has closed. The link is
 * destroyed after the call.
 */
typedef void (*ColtRelayLinkClosed) (void *client, struct ColtRelayLink *link);

/** Properties shared by all links of a route. They must outlive the links. */
struct ColtRelayPath
{
  struct event_base *base;
  struct sockaddr_storage target;
  socklen_t target_size;
  int64_t delay_us;   /**< added to each direction */
  bool cut;           /**< network partition: no bytes are forwarded */
  bool cut_to_target; /**< no bytes are forwarded from callers to the target */
  bool cut_to_caller; /**< no bytes are forwarded from the target to callers */
  ColtRelayLinkClosed closed;
  void *client;
};

/**
 * Creates a link for a socket accepted from a caller.
 *
 * \param fd  owned by the link
 * \return    the link, to be destroyed with colt_relay_link_destroy() unless
 *            the path's `closed` is called for it
 */
struct ColtRelayLink *colt_relay_link_create (const struct ColtRelayPath *path,
                                              evutil_socket_t fd);

/** Closes both ends without calling the path's `closed`; NULL is allowed. */
void colt_relay_link_destroy (struct ColtRelayLink *link);

/** Closes both ends with a TCP reset, and destroys the link like
 * colt_relay_link_destroy(). */
void colt_relay_link_reset (struct ColtRelayLink *link);

/** Pauses or resumes the link after a change of a `cut` in its path. */
void colt_relay_link_update (struct ColtRelayLink *link);

/** Stops forwarding permanently, with both ends left open. */
void colt_relay_link_block (struct ColtRelayLink *link);

#endif
