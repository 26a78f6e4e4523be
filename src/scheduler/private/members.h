/* The instances that a lead knows, from their beats. */
#ifndef COLT_SCHEDULER_MEMBERS_H
#define COLT_SCHEDULER_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

/* Stands for the instance itself among advisers. */
#define COLT_MEMBERS_SELF UINT32_MAX

struct ColtMembers;

struct ColtMembers *colt_members_create (void);
void colt_members_destroy (struct ColtMembers *members);
/* An instance has told that it reached the log log_age_ms ago. */
void colt_members_note (struct ColtMembers *members,
                        uint32_t instance,
                        uint32_t log_age_ms,
                        double strength,
                        int64_t now_us);
/* Strength of the strongest member in touch that reaches the log, and which it
 * is; 0 if there is none. */
double colt_members_strongest (const struct ColtMembers *members,
                               int64_t now_us,
                               uint32_t *instance);
/* Whether most known instances are in touch and none of these reaches the
 * log. */
bool colt_members_log_is_down (const struct ColtMembers *members,
                               int64_t now_us);
/* Takes an instance that has no call for advice open; 0 if there is none. */
uint32_t colt_members_take_adviser (struct ColtMembers *members,
                                    int64_t now_us);
/* Returns how many calls for advice can be open at once. */
uint32_t colt_members_count_advisers (const struct ColtMembers *members,
                                      int64_t now_us);
/* Its call has ended; one that failed is left out for a while. */
void colt_members_give_adviser (struct ColtMembers *members,
                                uint32_t instance,
                                int64_t now_us,
                                bool answered);
void colt_members_clear_advice (struct ColtMembers *members);

#endif
