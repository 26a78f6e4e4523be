/**
 * \file
 * \brief Membership over the links between entry instances.
 *
 * Drives a struct ColtMembership from the event loop. Other slices can spread
 * small messages on the probes: a topic is filled for each probe and reply,
 * and given to its taker on the other side.
 */
#ifndef COLTSFOOTSTILE_MEMBERSHIP_LINK_H
#define COLTSFOOTSTILE_MEMBERSHIP_LINK_H

#include "coltsfootstile/membership.h"
#include "coltsfootstile/wire.h"

/** Topics that may be spread on probes. */
enum ColtPiggybackTopic
{
  COLT_PIGGYBACK_FRESHNESS = 1, /**< how fresh the sender's log reading is */
  COLT_PIGGYBACK_COMPLIANCE,    /**< offsets that zones comply with */
  COLT_PIGGYBACK_DEMAND,        /**< waiting and running work of teams */
  COLT_PIGGYBACK_LEADS,         /**< who leads which shards */
  COLT_PIGGYBACK_COUNT          /**< topics are below this */
};

/** Largest body of a topic in bytes. */
#define COLT_PIGGYBACK_MAX 4096u

/** Fills a topic's body; returns its size, 0 for nothing to say. */
typedef size_t (*ColtPiggybackFill) (void *client,
                                     uint8_t body[COLT_PIGGYBACK_MAX]);

/**
 * Takes a topic's body.
 *
 * \param asked_us  monotonic time at which the peer's word was asked for, or
 *                  -1 if it came unasked, on the peer's own probe
 */
typedef void (*ColtPiggybackTake) (void *client,
                                   uint32_t instance,
                                   int64_t asked_us,
                                   const uint8_t *body,
                                   size_t size);

/** The adapter. */
struct ColtMembershipLink;

/**
 * Creates the adapter for a membership; both objects given must outlive it.
 *
 * \param changed  told of each change of a member, after the links know it
 */
struct ColtMembershipLink *colt_membership_link_create (
    struct event_base *base,
    struct ColtWire *wire,
    struct ColtMembership *membership,
    void (*changed) (void *client, const struct ColtMember *member),
    void *client);

/** Destroys the adapter; NULL is allowed. */
void colt_membership_link_destroy (struct ColtMembershipLink *link);

/** Sets who fills and takes a topic. */
void colt_membership_link_set_topic (struct ColtMembershipLink *link,
                                     enum ColtPiggybackTopic topic,
                                     ColtPiggybackFill fill,
                                     ColtPiggybackTake take,
                                     void *client);

/** Starts probing. */
void colt_membership_link_start (struct ColtMembershipLink *link);

/** Tells every member of the zone at once what this instance knows. */
void colt_membership_link_announce (struct ColtMembershipLink *link);

#endif
