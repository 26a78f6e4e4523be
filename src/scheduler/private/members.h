/* Instances that send heartbeats to the leader. */
#ifndef COLT_SCHEDULER_MEMBERS_H
#define COLT_SCHEDULER_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Number of the leader's own instance among the advisers. */
#define COLT_MEMBERS_SELF UINT32_MAX

struct ColtMembers;

/* What an instance says in a heartbeat. */
struct ColtMemberBeat
{
  uint32_t instance;
  uint32_t log_age_ms; /* time since it last reached the log */
  double strength;
  int64_t config_version; /* of its configuration in force; 0: none */
  bool leaving;           /* it won't claim leadership any more */
  /* Latest time, on the leader's clock, at which it certainly followed that
   * leader; 0: unknown. */
  int64_t followed_us;
};

struct ColtMembers *colt_members_create (void);
void colt_members_destroy (struct ColtMembers *members);
/* Records a heartbeat. */
void colt_members_update (struct ColtMembers *members,
                          const struct ColtMemberBeat *beat,
                          int64_t now_us);
/* Adds an instance of which a heartbeat may still arrive: it may be elected
 * without a longer wait, as this leader's record in the log lists it. */
void colt_members_expect (struct ColtMembers *members,
                          uint32_t instance,
                          int64_t now_us);
/* Adds the numbers of the instances on whose word the leader relies, in
 * ascending order. A record that lists them is to be sent now: it confirms the
 * leader only while the leader relies on all that it lists. */
void colt_members_list_followers (const struct ColtMembers *members,
                                  int64_t now_us,
                                  GArray *instances);
/* Finds the strongest live member that reaches the log and returns its
 * strength; strength and instance are 0 if there is none. */
double colt_members_find_strongest (const struct ColtMembers *members,
                                    int64_t now_us,
                                    uint32_t *instance);
/* Returns the latest time at which all instances that may become the next
 * leader followed this one, given when the log last confirmed it. It is at most
 * COLT_EXTENSION_MAX_US after that confirmation, since an instance without
 * contact to the leader may be elected at any time. */
int64_t colt_members_followed_us (const struct ColtMembers *members,
                                  int64_t log_confirmed_us,
                                  int64_t now_us);
/* Returns whether at least half of the instances that were in contact when the
 * log last confirmed the leader are still, the own one included. */
bool colt_members_in_contact (const struct ColtMembers *members,
                              int64_t log_confirmed_us,
                              int64_t now_us);
/* Reserves an instance without an open call for advice, and returns its number;
 * 0 if there is none. */
uint32_t colt_members_acquire_adviser (struct ColtMembers *members,
                                       int64_t now_us);
/* Returns how many calls for advice can be open concurrently. */
uint32_t colt_members_count_advisers (const struct ColtMembers *members,
                                      int64_t now_us);
/* Releases an instance whose call has ended. An instance that gave no answer
 * gets no further call for a while. */
void colt_members_release_adviser (struct ColtMembers *members,
                                   uint32_t instance,
                                   int64_t now_us,
                                   bool answered);
/* Adds the numbers of the instances that may be there although no heartbeat of
 * them arrives. */
void colt_members_list_silent (const struct ColtMembers *members,
                               int64_t now_us,
                               GArray *instances);
/* Chooses a live instance, the own one included, from which another one may
 * fetch the configuration: the stronger ones that have the version or a newer
 * one, in turn. Returns its number; 0 if there is none. */
uint32_t colt_members_refer_config (struct ColtMembers *members,
                                    int64_t version,
                                    uint32_t requester,
                                    int64_t now_us);
/* Ends the pauses of instances that gave no answer. */
void colt_members_reset_advisers (struct ColtMembers *members);

#endif
