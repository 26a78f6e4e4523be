/**
 * \file
 * \brief A zone in virtual time, with faults and an oracle.
 *
 * Each instance has the leases of all servers, an owner and a lead, and a
 * clock that drifts. Servers keep the truth about leases and tasks. Messages
 * are lost, doubled and delayed; instances pause, die, and are replaced. The
 * oracle checks after each event that the promises hold, and ends the process
 * with a message when one is broken.
 */
#ifndef COLTSFOOTSTILE_ZONE_MODEL_H
#define COLTSFOOTSTILE_ZONE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/lease.h"
#include "coltsfootstile/shard.h"

/** Most instances of a zone; their numbers are 1 to this. */
#define COLT_ZONE_INSTANCES 4
/** Most servers of a zone; their numbers are 1 to this. */
#define COLT_ZONE_SERVERS 4

/** What a zone is like; rates are in thousandths. */
struct ColtZonePlan
{
  uint32_t seed;
  int instances;
  int servers;
  bool with_leads;    /**< or only leases on servers */
  int64_t partial_ms; /**< of struct ColtShardTimes */
  int lost;           /**< messages */
  int doubled;        /**< messages */
  int delayed;        /**< messages, by up to two seconds */
  int drift_ppm;      /**< clocks run by up to so much too fast or slow */
  int pauses;         /**< an instance pauses, each 100 ms */
  int deaths;         /**< an instance dies, each 100 ms */
  int massacres;      /**< all but one die at once, each 100 ms */
  int cuts;           /**< an instance loses the others, each 100 ms */
  int blind;          /**< an instance misses another in its view */
  int server_deaths;  /**< a server dies, each 100 ms */
};

/** A zone. */
struct ColtZone;

/** Creates a zone whose instances have just started. */
struct ColtZone *colt_zone_create (const struct ColtZonePlan *plan);

/** Destroys a zone. */
void colt_zone_destroy (struct ColtZone *zone);

/** Lets time pass, in milliseconds. */
void colt_zone_run (struct ColtZone *zone, int64_t ms);

/** Kills an instance. */
void colt_zone_kill (struct ColtZone *zone, uint32_t instance);

/** Starts an instance that is dead, with nothing kept. */
void colt_zone_start (struct ColtZone *zone, uint32_t instance);

/** Pauses an instance: it reads its messages when it wakes. */
void colt_zone_pause (struct ColtZone *zone, uint32_t instance, int64_t ms);

/** Cuts an instance off from the others, but not from the servers. */
void colt_zone_cut (struct ColtZone *zone, uint32_t instance, int64_t ms);

/** Stops an instance as planned: its leads resign, its leases are released. */
void colt_zone_stop (struct ColtZone *zone, uint32_t instance);

/** A server stops answering for good, and its tasks end. */
void colt_zone_kill_server (struct ColtZone *zone, uint32_t server);

/** Connections to a server go silent for a while. */
void
colt_zone_silence_server (struct ColtZone *zone, uint32_t server, int64_t ms);

/** Lets an instance see only itself, or all that live. */
void colt_zone_set_blind (struct ColtZone *zone, uint32_t instance, bool blind);

/** Returns the time in milliseconds. */
int64_t colt_zone_now_ms (const struct ColtZone *zone);

/** Returns the instance that may start work on a server, 0 if none may. */
uint32_t colt_zone_holder (struct ColtZone *zone, uint32_t server);

/** Returns the instance whose recount of a shard was completed last. */
uint32_t colt_zone_lead (const struct ColtZone *zone, uint32_t shard);

/** Counts shards that some instance leads at present. */
int colt_zone_count_led (struct ColtZone *zone);

/** Counts starts that servers have taken. */
int64_t colt_zone_count_starts (const struct ColtZone *zone);

/** Counts tasks that have lapsed on servers that live. */
int64_t colt_zone_count_lapsed (const struct ColtZone *zone);

/** Counts completed recounts. */
int64_t colt_zone_count_recounts (const struct ColtZone *zone);

/** Counts bytes of confirms and their answers. */
int64_t colt_zone_count_confirm_bytes (const struct ColtZone *zone);

/** Returns the lead's side of a live instance. */
struct ColtShardLeader *colt_zone_get_lead (struct ColtZone *zone,
                                            uint32_t instance);

/** Returns the owner's side of a live instance. */
struct ColtShardOwner *colt_zone_get_owner (struct ColtZone *zone,
                                            uint32_t instance);

#endif
