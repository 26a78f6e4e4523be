/**
 * \file
 * \brief Simulation of a zone in virtual time, with faults and an oracle.
 *
 * Each instance has a lease object for every server, an owner, a leader and a
 * clock that drifts. The models of the servers hold the true state of leases
 * and tasks. Messages are lost, duplicated and delayed; instances pause, crash
 * and are restarted. The oracle checks the invariants before and after each
 * event, and aborts the process with a message if one is violated.
 */
#ifndef COLTSFOOTSTILE_ZONE_MODEL_H
#define COLTSFOOTSTILE_ZONE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/lease.h"
#include "coltsfootstile/shard.h"

/** Maximum number of instances, which are numbered from 1. */
#define COLT_ZONE_INSTANCES 4
/** Maximum number of servers, which are numbered from 1. */
#define COLT_ZONE_SERVERS 4

/**
 * Properties of a zone and rates of its faults. A rate is in 1/1000 and applies
 * to each message, or to each instance or server every 100 ms.
 */
struct ColtZonePlan
{
  uint32_t seed;
  int instances;
  int servers;
  bool with_shards;   /**< simulates shards; otherwise only leases on servers */
  int64_t partial_ms; /**< copied to struct ColtShardTimes */
  int lost;           /**< messages that are lost */
  int duplicated;     /**< messages that are delivered twice */
  int delayed;        /**< messages that are delayed by up to 2 s */
  int drift_ppm;    /**< each clock runs too fast or too slow by up to this, in
                     * parts per million */
  int pauses;       /**< an instance pauses for up to 1.5 s */
  int crashes;      /**< an instance crashes, and restarts within 1.5 s */
  int mass_crashes; /**< all instances, or all but one, crash; drawn for the
                     * whole zone every 100 ms */
  int isolations; /**< an instance is isolated from the others for up to 5 s */
  int restricted_views; /**< the view of an instance is restricted to itself for
                         * up to 2 s; at ten times this rate, the server list
                         * of an instance that starts lacks the last server */
  int server_crashes;   /**< a server crashes for good */
};

/** A simulated zone. */
struct ColtZone;

/** Creates a zone whose instances have just started and all see each other; to
 * be freed by colt_zone_destroy(). */
struct ColtZone *colt_zone_create (const struct ColtZonePlan *plan);

/** Destroys a zone. */
void colt_zone_destroy (struct ColtZone *zone);

/** Advances the simulation by \a ms milliseconds. */
void colt_zone_run (struct ColtZone *zone, int64_t ms);

/** Crashes an instance, which stays down until colt_zone_start_instance(); does
 * nothing if it is down. */
void colt_zone_kill_instance (struct ColtZone *zone, uint32_t instance);

/** Starts an instance that is down, without any earlier state; does nothing if
 * it runs. */
void colt_zone_start_instance (struct ColtZone *zone, uint32_t instance);

/** Pauses an instance for \a ms milliseconds. Messages that arrive in this time
 * are delivered at its end. */
void
colt_zone_pause_instance (struct ColtZone *zone, uint32_t instance, int64_t ms);

/** Isolates an instance from the other instances, but not from the servers, for
 * \a ms milliseconds. */
void colt_zone_isolate_instance (struct ColtZone *zone,
                                 uint32_t instance,
                                 int64_t ms);

/** Starts the planned stop of an instance: it resigns from its shards and
 * releases its leases to the instance with the next number. */
void colt_zone_stop_instance (struct ColtZone *zone, uint32_t instance);

/** Crashes a server for good, which ends its tasks. */
void colt_zone_kill_server (struct ColtZone *zone, uint32_t server);

/** Disconnects a server for \a ms milliseconds: calls that reach it in this
 * time are lost, and its tasks continue. */
void colt_zone_disconnect_server (struct ColtZone *zone,
                                  uint32_t server,
                                  int64_t ms);

/** Restricts the view of an instance to itself as the only member, or lifts
 * this restriction. */
void colt_zone_restrict_view (struct ColtZone *zone,
                              uint32_t instance,
                              bool is_restricted);

/** Returns the simulated time in milliseconds. */
int64_t colt_zone_now_ms (const struct ColtZone *zone);

/** Returns the instance whose lease allows it to start work on a server, 0 if
 * there is none. */
uint32_t colt_zone_find_holder (struct ColtZone *zone, uint32_t server);

/** Returns the instance that was the last to complete a reconciliation of a
 * shard, 0 if there was none. */
uint32_t colt_zone_latest_leader (const struct ColtZone *zone, uint32_t shard);

/** Counts the shards that are actively led by the instance that was the last to
 * complete their reconciliation. */
int colt_zone_count_led_shards (struct ColtZone *zone);

/** Counts the starts that servers have accepted. */
int64_t colt_zone_count_starts (const struct ColtZone *zone);

/** Counts the tasks that ended because their lease ran out; those that end in a
 * crash of their server don't count. */
int64_t colt_zone_count_lapsed_tasks (const struct ColtZone *zone);

/** Counts the completed reconciliations of all shards. */
int64_t colt_zone_count_reconciliations (const struct ColtZone *zone);

/** Counts the bytes of all confirm messages and their answers. */
int64_t colt_zone_count_confirm_bytes (const struct ColtZone *zone);

/** Returns the leader object of an instance, NULL if the instance is down or
 * the plan is without shards. */
struct ColtShardLeader *colt_zone_get_leader (struct ColtZone *zone,
                                              uint32_t instance);

/** Returns the owner object of an instance, NULL if the instance is down or the
 * plan is without shards. */
struct ColtShardOwner *colt_zone_get_owner (struct ColtZone *zone,
                                            uint32_t instance);

#endif
