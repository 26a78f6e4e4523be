/**
 * \file
 * \brief Declarations shared by the parts of the zone simulation.
 *
 * Times are in microseconds of the simulated time unless said otherwise.
 */
#ifndef COLTSFOOTSTILE_ZONE_INTERNAL_H
#define COLTSFOOTSTILE_ZONE_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "coltsfootstile/clock.h"
#include "zone_model.h"
#include "zone_server.h"

/** Converts milliseconds to microseconds. */
#define MS(n) ((n)*COLT_US_PER_MS)

/** Kind of an event. */
enum ColtZoneEventKind
{
  EVENT_TO_SERVER,    /**< a call reaches a server */
  EVENT_FROM_SERVER,  /**< the answer to a call reaches the caller */
  EVENT_CALL_TIMEOUT, /**< a call times out at the caller */
  EVENT_PEER_MESSAGE, /**< a message between instances arrives */
  EVENT_RESTART,      /**< an instance that crashed starts again */
  EVENT_RESTORE_VIEW  /**< the view of an instance is no longer restricted */
};

/** Kind of a message between instances. */
enum ColtZonePeerKind
{
  PEER_OPEN,
  PEER_OPENED,
  PEER_CONFIRM,
  PEER_CONFIRMED,
  PEER_START
};

/** An event that happens at a given time. */
struct ColtZoneEvent
{
  int64_t at;
  uint64_t order; /**< order of scheduling, for events at the same time */
  enum ColtZoneEventKind kind;
  uint32_t instance;    /**< receiver, or the caller of a server */
  uint64_t incarnation; /**< incarnation of the receiver, 0: any */
  uint32_t from;        /**< sender of a peer message */
  enum ColtZonePeerKind peer_kind;
  uint8_t *body; /**< packed peer message; a scheduled event has its own copy */
  size_t size;   /**< size of body */
  struct ColtZoneCall call;     /**< of the events of calls to servers */
  struct ColtZoneAnswer answer; /**< of EVENT_FROM_SERVER */
  struct ColtTaskStart start;   /**< of PEER_START */
  uint32_t server;              /**< of PEER_START */
  uint64_t server_epoch;        /**< of PEER_START */
};

/** Client of a lease: an instance and a server number. */
struct ColtZoneLeaseRef
{
  struct ColtZoneInstance *instance;
  uint32_t server;
};

/** An instance. */
struct ColtZoneInstance
{
  struct ColtZone *zone;
  uint32_t number;
  bool is_alive;
  bool is_stopping;
  bool has_restricted_view; /**< sees itself as the only member */
  uint64_t incarnation;     /**< grows each time an instance starts */
  int64_t changed_at;       /**< time of its last start or crash */
  int64_t paused_until;
  int64_t isolated_until;
  int64_t offset; /**< offset of its clock from the simulated time */
  int64_t ppm;    /**< its clock runs too fast by this, in parts per million */
  int64_t next_start;
  int64_t next_task_renewal;
  bool lists_last_server; /**< whether its server list contains the last
                           * server */
  struct ColtServerLease *leases[COLT_ZONE_SERVERS + 1];
  struct ColtZoneLeaseRef refs[COLT_ZONE_SERVERS + 1];
  /** Tasks on the servers that it owns: task number to shard + 1. */
  GHashTable *known_tasks[COLT_ZONE_SERVERS + 1];
  struct ColtShardOwner *owner;
  struct ColtShardLeader *leader;
  /** Tasks that were reported to the leader: set of task numbers, NULL without
   * a report. */
  GHashTable *reported_tasks[COLT_SHARD_COUNT][COLT_ZONE_SERVERS + 1];
  /** Tasks whose starts the leader sent in its current epoch: set of task
   * numbers. */
  GHashTable *sent_starts[COLT_SHARD_COUNT];
};

/** Instance and epoch of a completed reconciliation. */
struct ColtZoneLeader
{
  uint32_t instance;
  uint64_t epoch;
};

/** A simulated zone. */
struct ColtZone
{
  struct ColtZonePlan plan;
  GRand *random;
  int64_t now;
  int64_t next_fault_time;
  uint64_t last_order;
  uint64_t last_incarnation;
  uint32_t last_task;
  uint32_t last_checked_shard; /**< each check covers the shard after it */
  int64_t starts;              /**< accepted starts */
  int64_t reconciliations;     /**< completed reconciliations */
  int64_t confirm_bytes;
  GPtrArray *events; /**< of struct ColtZoneEvent */
  struct ColtZoneInstance instances[COLT_ZONE_INSTANCES + 1];
  struct ColtZoneServerModel *servers[COLT_ZONE_SERVERS + 1];
  /** Last completed reconciliation of each shard; epoch 0: none. */
  struct ColtZoneLeader latest_leaders[COLT_SHARD_COUNT];
};

/* zone_model.c */

/** Returns the time of an instance's clock at the simulated time \a now. */
int64_t colt_zone_local_time (const struct ColtZoneInstance *instance,
                              int64_t now);
/** Returns the earliest simulated time at which an instance's clock shows at
 * least \a local; COLT_TIME_NEVER for COLT_TIME_NEVER. */
int64_t colt_zone_sim_time (const struct ColtZoneInstance *instance,
                            int64_t local);
/** Returns true with a probability of \a permille / 1000. */
bool colt_zone_random_bool (struct ColtZone *zone, int permille);
/** Prints the seed, the time and the violated invariant, and aborts the
 * process. */
void colt_zone_fail (const struct ColtZone *zone, const char *what);
/** Schedules a copy of a message after a random delay. The message may be lost,
 * duplicated or delayed further, at the rates of the plan. A message between
 * two instances is lost if one of them is isolated. */
void colt_zone_send (struct ColtZone *zone, const struct ColtZoneEvent *event);
/** Schedules a copy of an event after \a delay microseconds. */
void colt_zone_schedule (struct ColtZone *zone,
                         const struct ColtZoneEvent *event,
                         int64_t delay);

/* zone_instance.c */

/** Creates the objects of an instance that is down; it keeps no state of an
 * earlier incarnation. */
void colt_zone_boot (struct ColtZoneInstance *instance);
/** Destroys the objects of an instance that runs. */
void colt_zone_halt (struct ColtZoneInstance *instance);
/** Returns the simulated time at which an instance has work due,
 * COLT_TIME_NEVER if it is down. */
int64_t colt_zone_wake_time (const struct ColtZoneInstance *instance);
/** Performs the work of an instance that is due, unless it is down or
 * paused. */
void colt_zone_process (struct ColtZoneInstance *instance);
/** Handles the answer of a server at the instance that called it. */
void colt_zone_handle_answer (struct ColtZoneInstance *instance,
                              const struct ColtZoneEvent *event);
/** Handles a message that an instance received from itself or from another
 * instance. */
void colt_zone_handle_message (struct ColtZoneInstance *instance,
                               const struct ColtZoneEvent *event);

/* zone_oracle.c */

/** Checks the invariants that hold at any time. */
void colt_zone_check_invariants (struct ColtZone *zone);
/**
 * Returns whether the leader of a shard has a higher epoch than the last
 * completed reconciliation, or some owner accepts its starts. A leader for
 * which neither holds has been replaced without having detected it yet; its
 * state does no harm until then.
 */
bool colt_zone_is_leader_effective (struct ColtZoneInstance *instance,
                                    uint32_t shard);
/** Checks that each running task of a shard on a server was reported to the
 * leader or started by it; \a what describes the failure. */
void colt_zone_check_reported (struct ColtZoneInstance *instance,
                               uint32_t shard,
                               uint32_t server,
                               const char *what);
/** Checks a start that a server has accepted: if its epoch differs from that of
 * the last completed reconciliation, the task must be in the report of the
 * server to that reconciliation's leader. Applies only while that leader is
 * active and, with partial_ms, may start work on the server. */
void colt_zone_check_accepted_start (struct ColtZone *zone,
                                     const struct ColtZoneTask *task);

#endif
