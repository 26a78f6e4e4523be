/**
 * \file
 * \brief Which entry instances are alive, as far as this one can tell.
 *
 * Each instance probes a fixed number of peers of its zone and of each other
 * zone, and spreads what it knows on the probes. Membership only suggests who
 * should own or lead; leases and epochs decide. This module does no I/O.
 */
#ifndef COLTSFOOTSTILE_MEMBERSHIP_H
#define COLTSFOOTSTILE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time between two rounds of probes, in microseconds. */
#define COLT_PROBE_INTERVAL_US INT64_C (250000)
/** Members of each other zone that are probed a round while it is urgent. */
#define COLT_PROBE_URGENT_PEERS 2u
/** Time after which a probe counts as failed, in milliseconds. */
#define COLT_PROBE_TIMEOUT_MS 400u
/** Peers of its own zone that an instance probes in a round. */
#define COLT_PROBE_ZONE_PEERS 3u
/** Rounds between two probes of a peer in each other zone. */
#define COLT_PROBE_REMOTE_ROUNDS 2u
/** Probes that must fail in a row before a peer is suspected. */
#define COLT_PROBE_FAILURES 2u
/** Time a suspected peer has to refute, in microseconds. */
#define COLT_SUSPICION_US INT64_C (750000)
/** A step that is so late was held up itself, and blames nobody for it. */
#define COLT_MEMBER_STALL_US INT64_C (400000)
/** Time a dead or departed peer is remembered, in microseconds. */
#define COLT_MEMBER_MEMORY_US INT64_C (60000000)
/** Members of other zones that one digest carries at most. */
#define COLT_DIGEST_REMOTE_MAX 2u
/** Entries that one digest carries at most. */
#define COLT_DIGEST_MAX 72u
/** Size in bytes of a member's ADDRESS:PORT, with the final zero. */
#define COLT_MEMBER_ADDRESS_SIZE 32

/** What is thought of a member. */
enum ColtMemberState
{
  COLT_MEMBER_ALIVE,
  COLT_MEMBER_SUSPECT, /**< probes fail; it may refute */
  COLT_MEMBER_LEAVING, /**< it stops as planned and takes over nothing */
  COLT_MEMBER_DEAD
};

/** Names of enum ColtMemberState, indexed by it. */
extern const char *const colt_member_state_string[];

/** A member as others are told of it. */
struct ColtMember
{
  uint32_t instance;
  uint32_t zone;
  uint64_t incarnation; /**< grows on a start and on a refutation */
  enum ColtMemberState state;
  char address[COLT_MEMBER_ADDRESS_SIZE];
};

/** What the client of a membership does for it. */
struct ColtMembershipCalls
{
  /** Probes a peer; exactly one of the probe functions must follow. */
  void (*probe) (void *client, uint32_t instance);
  /** A member appeared, changed its state or was forgotten. */
  void (*changed) (void *client, const struct ColtMember *member);
};

/** The members that one instance knows. */
struct ColtMembership;

/**
 * Creates a membership that knows itself alone.
 *
 * \param self  this instance, alive, with the incarnation of this start
 */
struct ColtMembership *colt_membership_create (const struct ColtMember *self);

/** Destroys a membership; NULL is allowed. */
void colt_membership_destroy (struct ColtMembership *membership);

/** Sets the client; must be done before the first step. */
void colt_membership_set_client (struct ColtMembership *membership,
                                 const struct ColtMembershipCalls *calls,
                                 void *client);

/**
 * Makes a peer known that settings or the platform's list name. Its address
 * is that of the list from then on, whatever others say.
 */
void colt_membership_add (struct ColtMembership *membership,
                          uint32_t instance,
                          uint32_t zone,
                          const char *address,
                          int64_t now_us);

/** Probes and judges; to be called at least every COLT_PROBE_INTERVAL_US. */
void colt_membership_step (struct ColtMembership *membership, int64_t now_us);

/**
 * Asks other zones more often, for what rides on the probes: every round
 * COLT_PROBE_URGENT_PEERS members of each, instead of one every other round.
 */
void colt_membership_set_urgent (struct ColtMembership *membership,
                                 bool urgent);

/** A probe was answered. */
void colt_membership_probe_answered (struct ColtMembership *membership,
                                     uint32_t instance,
                                     int64_t now_us);

/** A probe failed. */
void colt_membership_probe_failed (struct ColtMembership *membership,
                                   uint32_t instance,
                                   int64_t now_us);

/** Takes what a peer knows. */
void colt_membership_merge (struct ColtMembership *membership,
                            const struct ColtMember *members,
                            size_t count,
                            int64_t now_us);

/**
 * Writes what to tell a peer: this zone's members, and some of the others in
 * turn.
 *
 * \param members  room for COLT_DIGEST_MAX
 * \return         how many were written
 */
size_t colt_membership_digest (struct ColtMembership *membership,
                               struct ColtMember members[COLT_DIGEST_MAX]);

/** Announces that this instance leaves. */
void colt_membership_leave (struct ColtMembership *membership);

/** Returns a member, or NULL. The pointer is valid until the next call. */
const struct ColtMember *
colt_membership_find (const struct ColtMembership *membership,
                      uint32_t instance);

/** Calls \a visit for each member in ascending order of the number. */
void colt_membership_visit (const struct ColtMembership *membership,
                            void (*visit) (void *client,
                                           const struct ColtMember *member),
                            void *client);

/**
 * Lists members of a zone that may own and lead: alive or suspected.
 *
 * \param zone       0 for all zones
 * \param instances  room for \a max numbers, written in ascending order
 * \return           how many were written
 */
size_t colt_membership_eligible (const struct ColtMembership *membership,
                                 uint32_t zone,
                                 uint32_t *instances,
                                 size_t max);

/** Returns when a member of \a zone last answered, or -1 if none ever did. */
int64_t colt_membership_zone_heard_us (const struct ColtMembership *membership,
                                       uint32_t zone);

#endif
