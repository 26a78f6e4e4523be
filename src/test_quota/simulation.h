/**
 * \file
 * \brief Zones, owners, leads, backend servers and a log, all in memory.
 *
 * Drives the decision code of limits with messages that are lost, doubled and
 * reordered, and checks after each step what really runs on the servers.
 */
#ifndef COLT_TEST_QUOTA_WORLD_H
#define COLT_TEST_QUOTA_WORLD_H

#include <glib.h>

#include "coltsfootstile/credits.h"
#include "coltsfootstile/entitlement.h"

enum
{
  WORLD_ZONES = 3,
  WORLD_INSTANCES = 3, /* of a zone */
  WORLD_SERVERS = 3,   /* of a zone */
  WORLD_LEADS = 2,     /* of a zone, at a time */
  WORLD_TEAMS = 2,
  WORLD_RECORDS = 64
};

struct ColtWorld;

/** Creates a world whose instances have read nothing. */
struct ColtWorld *world_create (void);

void world_destroy (struct ColtWorld *world);

/** Name of a team; all are of one shard. */
const char *world_team (const struct ColtWorld *world, int team);

/** \name Log; each returns whether the log took the record */
/**@{*/
bool world_append_bundle (struct ColtWorld *world,
                          const struct ColtQuotaAmount limits[WORLD_TEAMS],
                          unsigned zone_mask);
bool world_append_transfer (struct ColtWorld *world,
                            int team,
                            uint32_t from,
                            uint32_t to,
                            const struct ColtQuotaAmount *amount);
/** Appends a record that is there already, as a writer without an answer. */
bool world_append_again (struct ColtWorld *world, int record);
int world_records (const struct ColtWorld *world);
void world_set_log (struct ColtWorld *world, bool up);
/**@}*/

/** \name Instances; zones and instances count from 0 */
/**@{*/
bool world_read (struct ColtWorld *world, int zone, int instance);
void world_kill (struct ColtWorld *world, int zone, int instance);
void world_start (struct ColtWorld *world, int zone, int instance);
void world_cut (struct ColtWorld *world, int zone, bool cut);
/** world_settle() leaves a paused instance and messages to it alone. */
void world_pause (struct ColtWorld *world, int zone, int instance, bool paused);
void world_gossip (struct ColtWorld *world,
                   int from_zone,
                   int from,
                   int to_zone,
                   int to);
struct ColtEntitlements *
world_fold (struct ColtWorld *world, int zone, int instance);
struct ColtCreditHolder *
world_holder (struct ColtWorld *world, int zone, int instance);
/**@}*/

/** \name Leads */
/**@{*/
void world_elect (struct ColtWorld *world, int zone, int instance);
void world_depose (struct ColtWorld *world, int zone, int lead);
void world_process_lead (struct ColtWorld *world, int zone, int lead);
void world_admit (struct ColtWorld *world, int zone, int lead);
const struct ColtCreditLeader *
world_lead (const struct ColtWorld *world, int zone, int lead);
/**@}*/

/** \name Messages in flight */
/**@{*/
size_t world_messages (const struct ColtWorld *world);
void world_deliver (struct ColtWorld *world, size_t index, bool keep);
void world_lose (struct ColtWorld *world, size_t index);
/** Keeps a copy of a message that arrives at world_release() as well. */
void world_keep (struct ColtWorld *world, size_t index);
void world_release (struct ColtWorld *world);
/**@}*/

/** \name Servers and tasks */
/**@{*/
void
world_wait (struct ColtWorld *world, int zone, int instance, int team, int n);
bool world_run (struct ColtWorld *world,
                int zone,
                int instance,
                int server,
                int team,
                int64_t cores);
bool world_end (struct ColtWorld *world, int zone, int server, int index);
void
world_take_over (struct ColtWorld *world, int zone, int server, int instance);
void world_notice (struct ColtWorld *world, int zone, int instance);
void world_process_holder (struct ColtWorld *world, int zone, int instance);
/** Tasks of a team that run in a zone; all zones for -1. */
int64_t world_running (const struct ColtWorld *world, int zone, int team);
/**@}*/

/** Reads, gossips, delivers and processes all that can be, for a while. */
void world_settle (struct ColtWorld *world, int rounds);

void world_pass (struct ColtWorld *world, int64_t microseconds);

int64_t world_now (const struct ColtWorld *world);

/** Limit at the lowest offset that a zone stands at for the team. */
void
world_bound (struct ColtWorld *world, int team, struct ColtQuotaAmount *bound);

/** Aborts if the folds disagree or do not sum to the limits. */
void world_check_folds (struct ColtWorld *world);

#endif
