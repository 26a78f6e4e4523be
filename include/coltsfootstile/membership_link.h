/**
 * \file
 * \brief Membership over the links between entry instances.
 *
 * Drives a struct ColtMembership from the event loop. Other modules can
 * piggyback small messages on the probes: the body of a topic is written for
 * each probe and reply, and passed to the topic's handler at the receiver.
 */
#ifndef COLTSFOOTSTILE_MEMBERSHIP_LINK_H
#define COLTSFOOTSTILE_MEMBERSHIP_LINK_H

#include "coltsfootstile/membership.h"
#include "coltsfootstile/wire.h"

/** Topics that may be piggybacked on probes. */
enum ColtPiggybackTopic
{
  COLT_PIGGYBACK_FRESHNESS = 1,  /**< freshness of the sender's log view */
  COLT_PIGGYBACK_COMPLIANCE,     /**< log offsets that zones comply with */
  COLT_PIGGYBACK_PROCESS = 4,    /**< process that uses the instance number */
  COLT_PIGGYBACK_PEER_PROCESSES, /**< processes of other members of the zone */
  COLT_PIGGYBACK_COUNT           /**< upper bound, not a topic */
};

/** Maximum size of a topic's body in bytes. */
#define COLT_PIGGYBACK_MAX 4096u

/** Writes a topic's body; returns its size in bytes, 0 to send none. */
typedef size_t (*ColtPiggybackFill) (void *client,
                                     uint8_t body[COLT_PIGGYBACK_MAX]);

/**
 * Handles a topic's body from a peer.
 *
 * \param instance      the peer
 * \param requested_us  monotonic time at which the body was requested, or -1
 *                      if it arrived with a probe of the peer
 * \param body          the body, valid during the call
 * \param size          size of \a body in bytes
 */
typedef void (*ColtPiggybackReceive) (void *client,
                                      uint32_t instance,
                                      int64_t requested_us,
                                      const uint8_t *body,
                                      size_t size);

/** Adapter of a membership to the links between instances. */
struct ColtMembershipLink;

/**
 * Creates the adapter for a membership and sets the membership's callbacks.
 * \a base, \a wire and \a membership must outlive it.
 *
 * \param member_changed  called on each change of a member, after \a wire has
 *                        its address
 * \param client          passed to \a member_changed
 * \return                the adapter, to be freed with
 *                        colt_membership_link_destroy()
 */
struct ColtMembershipLink *colt_membership_link_create (
    struct event_base *base,
    struct ColtWire *wire,
    struct ColtMembership *membership,
    void (*member_changed) (void *client, const struct ColtMember *member),
    void *client);

/** Destroys the adapter; NULL is allowed. */
void colt_membership_link_destroy (struct ColtMembershipLink *link);

/** Sets the functions that write and handle a topic's body; NULL for none. */
void colt_membership_link_set_topic (struct ColtMembershipLink *link,
                                     enum ColtPiggybackTopic topic,
                                     ColtPiggybackFill fill,
                                     ColtPiggybackReceive receive,
                                     void *client);

/** Starts probing. */
void colt_membership_link_start (struct ColtMembershipLink *link);

/** Sends a digest immediately to the eligible members of all zones, at most
 * COLT_DIGEST_MAX of them. */
void colt_membership_link_announce (struct ColtMembershipLink *link);

#endif
