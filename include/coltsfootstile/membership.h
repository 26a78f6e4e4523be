/**
 * \file
 * \brief Membership: which entry instances are alive, as seen by this one.
 *
 * Each instance probes a fixed number of peers in its zone and in each other
 * zone. Probes and their replies carry digests of the members that the sender
 * has recorded. Membership only suggests which instance should own or lead;
 * leases and epochs decide. This module does no I/O. All times are monotonic.
 */
#ifndef COLTSFOOTSTILE_MEMBERSHIP_H
#define COLTSFOOTSTILE_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time between two rounds of probes, in microseconds. */
#define COLT_PROBE_INTERVAL_US INT64_C (250000)
/** Number of members of each other zone that are probed in a round of fast
 * probing. */
#define COLT_PROBE_FAST_PEERS 2u
/** Timeout of a probe, in milliseconds. */
#define COLT_PROBE_TIMEOUT_MS 400u
/** Number of peers of its own zone that an instance probes in a round. */
#define COLT_PROBE_ZONE_PEERS 3u
/** Without fast probing, the other zones are probed once in this number of
 * rounds. */
#define COLT_PROBE_REMOTE_ROUNDS 2u
/** Number of consecutive failed probes after which a peer is suspected. */
#define COLT_PROBE_FAILURES 2u
/** Time for which a peer stays suspected before it counts as dead, in
 * microseconds. In that time it can refute the suspicion. */
#define COLT_SUSPICION_US INT64_C (750000)
/** Time between two steps, in microseconds, from which on this instance counts
 * as stalled. Earlier probe failures of its peers are then disregarded, and the
 * time of their suspicion starts anew. */
#define COLT_MEMBER_STALL_US INT64_C (400000)
/** Time after which a dead peer that is not listed is removed, in
 * microseconds. */
#define COLT_MEMBER_RETENTION_US INT64_C (60000000)
/** Maximum number of members of other zones in a digest. */
#define COLT_DIGEST_REMOTE_MAX 2u
/** Maximum number of members in a digest. */
#define COLT_DIGEST_MAX 72u
/** Size of a member's ADDRESS:PORT in bytes, including the terminating NUL. */
#define COLT_MEMBER_ADDRESS_SIZE 32

/** State of a member. At equal incarnations a higher state overrides a lower
 * one. */
enum ColtMemberState
{
  COLT_MEMBER_ALIVE,
  COLT_MEMBER_SUSPECT, /**< probes fail; the member may refute this */
  COLT_MEMBER_LEAVING, /**< shuts down and takes over nothing */
  COLT_MEMBER_DEAD
};

/** Names of enum ColtMemberState, indexed by it. */
extern const char *const colt_member_state_string[];

/** A member, as listed in digests. */
struct ColtMember
{
  uint32_t instance;
  uint32_t zone;
  uint64_t incarnation; /**< increases when the member starts, refutes a
                             report about its state, or leaves */
  enum ColtMemberState state;
  char address[COLT_MEMBER_ADDRESS_SIZE];
};

/** Callbacks of a membership. */
struct ColtMembershipClient
{
  /** Probes a peer. The result must be reported exactly once, with
   * colt_membership_handle_probe_answer() or
   * colt_membership_handle_probe_failure(). */
  void (*probe) (void *client, uint32_t instance);
  /** Called when a member was added, or its state or address changed. */
  void (*member_changed) (void *client, const struct ColtMember *member);
};

/** The members that one instance has recorded. */
struct ColtMembership;

/**
 * Creates a membership whose only member is this instance.
 *
 * \param self  this instance, alive, with the incarnation of this start
 * \return      the membership, to be freed with colt_membership_destroy()
 */
struct ColtMembership *colt_membership_create (const struct ColtMember *self);

/** Destroys a membership; NULL is allowed. */
void colt_membership_destroy (struct ColtMembership *membership);

/** Sets the callbacks; must be called before a member is added or a step runs.
 * \a callbacks must outlive the membership. */
void colt_membership_set_client (struct ColtMembership *membership,
                                 const struct ColtMembershipClient *callbacks,
                                 void *client);

/**
 * Adds a peer that the settings or the platform's list name. The listed
 * address takes precedence over addresses in digests. Has no effect for this
 * instance itself and for a zone outside 1 to COLT_ZONE_MAX.
 */
void colt_membership_add (struct ColtMembership *membership,
                          uint32_t instance,
                          uint32_t zone,
                          const char *address,
                          int64_t now_us);

/** Updates member states and sends the probes of a round that is due; to be
 * called at least every COLT_PROBE_INTERVAL_US. */
void colt_membership_step (struct ColtMembership *membership, int64_t now_us);

/**
 * Switches fast probing on or off, which spreads piggybacked topics faster:
 * every round probes COLT_PROBE_FAST_PEERS members of each other zone, instead
 * of one member every COLT_PROBE_REMOTE_ROUNDS rounds.
 */
void colt_membership_set_fast_probing (struct ColtMembership *membership,
                                       bool fast_probing);

/** Handles the answer to a probe. */
void colt_membership_handle_probe_answer (struct ColtMembership *membership,
                                          uint32_t instance,
                                          int64_t now_us);

/** Handles the failure of a probe. */
void colt_membership_handle_probe_failure (struct ColtMembership *membership,
                                           uint32_t instance,
                                           int64_t now_us);

/** Merges the members of a peer's digest; ignores members with the instance
 * number 0 or a zone outside 1 to COLT_ZONE_MAX. */
void colt_membership_merge (struct ColtMembership *membership,
                            const struct ColtMember *members,
                            size_t count,
                            int64_t now_us);

/**
 * Writes the digest for a peer: this instance and the members of its zone, at
 * most COLT_DIGEST_MAX - COLT_DIGEST_REMOTE_MAX together, and up to
 * COLT_DIGEST_REMOTE_MAX members of other zones. If they don't fit, each digest
 * continues where the one before ended.
 *
 * \param members  room for COLT_DIGEST_MAX
 * \return         number of members written
 */
size_t
colt_membership_write_digest (struct ColtMembership *membership,
                              struct ColtMember members[COLT_DIGEST_MAX]);

/** Marks this instance as leaving, in its next digests. */
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
 * \return           number of instances written
 */
size_t colt_membership_list_eligible (const struct ColtMembership *membership,
                                      uint32_t zone,
                                      uint32_t *instances,
                                      size_t max);

/** Returns the time in microseconds at which a member of \a zone, at most
 * COLT_ZONE_MAX, last answered a probe; -1 if none ever did. */
int64_t
colt_membership_zone_answered_us (const struct ColtMembership *membership,
                                  uint32_t zone);

#endif
