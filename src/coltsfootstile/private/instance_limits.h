/**
 * \file
 * \brief The instance's part in the enforcement of teams' limits.
 *
 * The entitlements, a fold of the log, give the part of each limit that the
 * zone may use. The leaders of teams' shards divide that part among the zone's
 * owners as credits. One instance of each zone, the planner, plans transfers of
 * entitlement to other zones. Instances exchange the zones' compliance, the log
 * offsets that zones comply with (see entitlement.h), on the membership's
 * probes.
 *
 * An owner is identified by its process id, which is never reused: the
 * instance's incarnation plus ColtInstanceLimits.credit_resets in the upper 48
 * bits, the instance's number in the lower 16.
 */
#ifndef COLTSFOOTSTILE_LIMITS_H
#define COLTSFOOTSTILE_LIMITS_H

#include "coltsfootstile/credits.h"
#include "coltsfootstile/entitlement.h"
#include "coltsfootstile/transfers.h"
#include "instance.h"

/** Kinds of messages about limits on the wire. */
enum ColtLimitsWireKind
{
  /** leader to owner: credits */
  COLT_WIRE_LIMITS_GRANT = COLT_WIRE_QUOTA_FIRST,
  /** owner to leader: running and waiting tasks */
  COLT_WIRE_LIMITS_REPORT,
  /** leader to the planner of its zone: demand of a shard */
  COLT_WIRE_LIMITS_SHARD_DEMAND,
  /** planner to the planners of other zones: demand of a zone */
  COLT_WIRE_LIMITS_ZONE_DEMAND
};

/** A shard of teams. */
struct ColtLimitsShard
{
  struct ColtInstanceLimits *limits;
  uint32_t shard;
  uint64_t epoch; /**< epoch of the credit leader; 0: there is none */
  /** Epoch at which this instance leads the shard but grants no credits yet,
   * because a server has neither reported nor been written off, or an owner's
   * process id is unknown; 0: none. */
  uint64_t pending_epoch;
  struct ColtCreditLeader *leader; /**< NULL while \a epoch is 0 */
  GHashTable *servers;             /**< server -> struct ColtLimitsServer */
  GHashTable *owners;              /**< process -> struct ColtLimitsOwner */
  bool demand_reported; /**< the last demand sent to the planner wasn't empty */
};

/** Last owner of a server that reported to a shard's leader. */
struct ColtLimitsServer
{
  uint32_t server;
  uint32_t instance; /**< the owner */
  uint64_t epoch;    /**< epoch of the owner's lease */
};

/** A process id of another instance. */
struct ColtLimitsProcess
{
  uint64_t id;
  int64_t learned_us;
};

/** An owner's process to which a leader grants credits. */
struct ColtLimitsOwner
{
  uint64_t process;
  int64_t last_report_us; /**< when it last reported or was added */
  /** server -> epoch at which the process last owned it */
  GHashTable *servers;
};

/** State of teams' limits at an instance. */
struct ColtInstanceLimits
{
  struct ColtInstance *instance;
  struct ColtChain *chain; /**< bundles from the log, without those of peers */
  struct ColtEntitlements *fold;
  struct ColtCreditHolder *holder; /**< NULL until the log's head was read */
  uint64_t credit_resets; /**< times that colt_instance_limits_reset_credits()
                               has begun a new process id */
  struct ColtTransferPlanner *planner;
  struct ColtLimitsShard shards[COLT_SHARD_COUNT];
  /** Per shard, the instance that sent the last grant at the epoch that this
   * owner has promised to follow; 0: none. */
  uint32_t session_leaders[COLT_SHARD_COUNT];
  GHashTable *processes;     /**< instance -> struct ColtLimitsProcess */
  GHashTable *shard_demands; /**< shard + 1 -> struct ColtDemandDigest; used by
                                  the planner */
  uint64_t sent_version;     /**< version of the compliance of which all changes
                                  were on the probes for a whole period */
  uint64_t period_version;   /**< version of the compliance when the send period
                                  began */
  unsigned part_turn;        /**< selects the part to send when the compliance
                                  exceeds one body */
  int64_t period_end_us;     /**< end of the send period */
  int64_t full_send_us; /**< when probes carry the whole compliance next, or
                             began to */
  int64_t next_digest_us;
  int64_t next_append_us;
};

/* limits_credits.c */

/** Sets the handlers of grants and reports. */
void colt_limits_set_credit_handlers (struct ColtInstanceLimits *limits);
/** Starts a credit leader of a shard at an epoch, which replaces an earlier
 * one. Recorded owners of servers are kept. */
void colt_limits_open_shard (struct ColtInstanceLimits *limits,
                             uint32_t shard,
                             uint64_t epoch);
/** Destroys a shard's credit leader with all records of servers and owners.
 */
void colt_limits_close_shard (struct ColtInstanceLimits *limits,
                              uint32_t shard);
/** Starts pending leaders and sends the grants and reports that are due. */
void colt_limits_step_credits (struct ColtInstanceLimits *limits,
                               int64_t now_us);
/**
 * Creates the credit holder of this instance's owner and lets the owner use the
 * zone's servers.
 *
 * \param initial_promise  offset up to which the log was read
 */
void colt_limits_create_holder (struct ColtInstanceLimits *limits,
                                uint64_t initial_promise);
/** Returns the instance number in a process id. */
uint32_t colt_limits_get_instance (uint64_t process);
/** Returns the process id of an instance; 0 if it is unknown. */
uint64_t colt_limits_get_process (const struct ColtInstanceLimits *limits,
                                  uint32_t instance);

/* limits_demand.c */

/** Sets the handlers of the demands of shards and zones. */
void colt_limits_set_demand_handlers (struct ColtInstanceLimits *limits);
/** Sends the demands that are due to the planners. */
void colt_limits_step_demand (struct ColtInstanceLimits *limits,
                              int64_t now_us);
/** Frees a value of ColtInstanceLimits.shard_demands. */
void colt_limits_free_shard_demand (gpointer data);

/* limits_piggyback.c */

/** Puts compliance and process ids on the membership's probes. */
void colt_limits_set_piggyback_topics (struct ColtInstanceLimits *limits);
/** Advances the periods in which probes carry changes of the compliance. */
void colt_limits_step_piggyback (struct ColtInstanceLimits *limits,
                                 int64_t now_us);

#endif
