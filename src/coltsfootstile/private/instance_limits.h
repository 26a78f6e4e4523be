/**
 * \file
 * \brief The instance's part in holding teams to their limits.
 *
 * The fold of the log says what the zone may use of each limit. The leads of
 * teams' shards divide that among the zone's owners as credits. One instance
 * of each zone plans transfers of entitlement to other zones.
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
  COLT_WIRE_LIMITS_GRANT = COLT_WIRE_QUOTA_FIRST, /**< lead to owner */
  COLT_WIRE_LIMITS_REPORT,                        /**< owner to lead */
  COLT_WIRE_LIMITS_PART,  /**< lead to its zone's planner: demand of a shard */
  COLT_WIRE_LIMITS_DIGEST /**< planner to planners: demand of a zone */
};

/** A lead's shard of teams. */
struct ColtLimitsShard
{
  struct ColtInstanceLimits *limits;
  uint32_t shard;
  uint64_t epoch;  /**< 0: not led here */
  uint64_t wanted; /**< led at this epoch, but servers are unaccounted for */
  struct ColtCreditLeader *lead;
  GHashTable *servers; /**< server -> struct ColtLimitsSeat */
  GHashTable *owners;  /**< process -> struct ColtLimitsOwner */
  bool demanded;       /**< the planner knows of a demand */
};

/** Who held a server last, as far as a lead knows. */
struct ColtLimitsSeat
{
  uint32_t server;
  uint32_t instance;
  uint64_t epoch;
};

/** An owner's process that a lead counts with. */
struct ColtLimitsOwner
{
  uint64_t process;
  int64_t heard_us;
  GHashTable *servers; /**< server -> epoch, which it held last */
};

/** The instance's limits. */
struct ColtInstanceLimits
{
  struct ColtInstance *instance;
  struct ColtChain *chain; /**< read from the log alone */
  struct ColtEntitlements *fold;
  struct ColtCreditHolder *holder; /**< NULL until the log's head was read */
  uint64_t renewals; /**< processes that this instance has been before */
  struct ColtTransferPlanner *planner;
  struct ColtLimitsShard shards[COLT_SHARD_COUNT];
  uint32_t lead_of[COLT_SHARD_COUNT]; /**< instance that opened the session */
  GHashTable *processes;              /**< instance -> its process */
  GHashTable *parts; /**< shard -> struct ColtDemandDigest, for the planner */
  uint64_t digest_sequence;
  uint64_t told_version; /**< compliance that was told to all peers */
  uint64_t tell_version; /**< compliance known when the period began */
  unsigned tell_turn;    /**< for what doesn't fit into one telling */
  int64_t tell_us;
  int64_t tell_all_us;
  int64_t digest_us;
  int64_t append_us;
};

/* limits_credits.c */
void colt_limits_set_credit_handlers (struct ColtInstanceLimits *limits);
void colt_limits_open (struct ColtInstanceLimits *limits,
                       uint32_t shard,
                       uint64_t epoch);
void colt_limits_close (struct ColtInstanceLimits *limits, uint32_t shard);
void colt_limits_step_credits (struct ColtInstanceLimits *limits,
                               int64_t now_us);
void colt_limits_create_holder (struct ColtInstanceLimits *limits,
                                uint64_t floor);
uint64_t colt_limits_process_of (const struct ColtInstanceLimits *limits,
                                 uint32_t instance);

/* limits_demand.c */
void colt_limits_set_demand_handlers (struct ColtInstanceLimits *limits);
void colt_limits_step_demand (struct ColtInstanceLimits *limits,
                              int64_t now_us);
void colt_limits_free_part (gpointer data);

/* limits_spread.c: compliance and processes on the probes */
void colt_limits_set_topics (struct ColtInstanceLimits *limits);
void colt_limits_step_spread (struct ColtInstanceLimits *limits,
                              int64_t now_us);

#endif
