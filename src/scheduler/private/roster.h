/* The instances on whose word a leader relies while the log doesn't answer, as
 * the log records them: an instance that the newest record lists may claim the
 * next term without a longer wait for that leader's leases. */
#ifndef COLT_SCHEDULER_ROSTER_H
#define COLT_SCHEDULER_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Key of the record in the leader's topic. */
#define COLT_ROSTER_KEY "followers"

struct ColtRoster;

/* Creates the roster of the instance with the number self. */
struct ColtRoster *colt_roster_create (uint32_t self);
void colt_roster_destroy (struct ColtRoster *roster);

/* Handles the newest record; returns false if it is malformed. */
bool colt_roster_read_record (struct ColtRoster *roster,
                              const uint8_t *value,
                              size_t size);
/* Returns whether the leader of a term has recorded its list. Leaders of
 * earlier versions don't. */
bool colt_roster_is_recorded (const struct ColtRoster *roster, uint64_t term);
/* Returns whether the leader of a term relies on this instance. */
bool colt_roster_lists_self (const struct ColtRoster *roster, uint64_t term);

/* Lists, for a claim of a term, whom the leader of the term before relied on,
 * and that leader unless it has left (0). Any of the claims for a term may be
 * the one that takes effect, so that lists for one term are merged. */
void colt_roster_prepare_claim (struct ColtRoster *roster,
                                uint64_t term,
                                uint32_t former_leader);
/* Lists the instances for a renewal, in ascending order; returns whether they
 * have to be recorded with it. */
bool colt_roster_prepare_renewal (struct ColtRoster *roster,
                                  const GArray *instances);
/* Returns the instances, of type uint32_t, that were listed last. */
const GArray *colt_roster_listed (const struct ColtRoster *roster);
/* Packs the record of what was listed last; to be freed with g_free(). */
uint8_t *
colt_roster_pack (const struct ColtRoster *roster, uint64_t term, size_t *size);
/* Handles the outcome of an append that contained the record. */
void colt_roster_handle_append (struct ColtRoster *roster, bool durable);

/* Adds an instance to a list in ascending order, unless the list has it or has
 * as many instances as a record may list. */
void colt_roster_add (GArray *instances, uint32_t instance);

#endif
