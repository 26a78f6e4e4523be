/**
 * \file
 * \brief Credits: the distribution of a zone's part of a team's limit to the
 *        owners of backend servers.
 *
 * In each zone, the leader of a team's shard grants every owner a ceiling for
 * the team's running tasks. A ceiling is an absolute amount with a sequence
 * number, so lost, duplicated and reordered messages are harmless. The leader
 * counts an owner with the highest ceiling that the owner may still use, or
 * with its running tasks if they are more, plus its tasks on lost servers. The
 * counts never exceed the amount that the zone may use, unless more already
 * runs; then the leader grants nothing new.
 *
 * Neither side does I/O: a callback sends messages, callers pass the monotonic
 * time. Zones are 1 to COLT_ZONE_MAX, shards are below COLT_SHARD_COUNT.
 */
#ifndef COLTSFOOTSTILE_CREDITS_H
#define COLTSFOOTSTILE_CREDITS_H

#include "coltsfootstile/entitlement.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/quota_messages.h"

/** Tasks for which an owner may always keep spare credits of a team. */
#define COLT_CREDIT_RESERVE_TASKS 4
/** Time after which either side repeats an unanswered message, in us. */
#define COLT_CREDIT_RETRY_US 200000

/** Credits at the leader of a shard of teams in a zone. */
struct ColtCreditLeader;

/** Credits at an owner, for all shards. */
struct ColtCreditHolder;

/** State of a leader. */
enum ColtCreditLeaderState
{
  COLT_CREDIT_LEADER_RECONCILING, /**< waits for full reports of owners */
  /** The fold has not reached an offset that an owner promised or that the zone
   * complies with. */
  COLT_CREDIT_LEADER_BEHIND,
  COLT_CREDIT_LEADER_ACTIVE /**< grants credits */
};

/** Names of enum ColtCreditLeaderState, indexed by it. */
extern const char *const colt_credit_leader_state_string[];

/** Sends a grant to its owner; the message is valid only during the call. */
typedef void (*ColtCreditGrantFunc) (void *context,
                                     const struct ColtCreditGrant *grant);

/**
 * Sends a report to the leader of its shard at its epoch; the message is valid
 * only during the call.
 */
typedef void (*ColtCreditReportFunc) (void *context,
                                      const struct ColtCreditReport *report);

/** State and counts of a leader, for counters and the state dump. */
struct ColtCreditLeaderInfo
{
  enum ColtCreditLeaderState state;
  uint32_t shard;
  uint64_t epoch;
  uint64_t complied; /**< offset of this leader's last compliance statement */
  size_t owners;
  size_t owners_missing; /**< owners without a full report */
  size_t teams;
  size_t teams_over; /**< teams counted above what the zone may use */
};

/**
 * Creates a leader, which starts with a reconciliation: it requests a full
 * report of every owner.
 *
 * \param zone          the zone
 * \param shard         shard of teams, below COLT_SHARD_COUNT
 * \param epoch         shard epoch, higher than that of any earlier leader
 * \param entitlements  the instance's fold, not owned; outlives the leader
 * \param send          sends grants
 * \param context       passed to \a send
 */
struct ColtCreditLeader *
colt_credit_leader_create (uint32_t zone,
                           uint32_t shard,
                           uint64_t epoch,
                           struct ColtEntitlements *entitlements,
                           ColtCreditGrantFunc send,
                           void *context);

/** Destroys a leader; NULL is allowed. */
void colt_credit_leader_destroy (struct ColtCreditLeader *leader);

/**
 * Adds an owner of the zone; a second call for it has no effect. Until the
 * owner's full report arrives, the leader grants nothing new and states no
 * compliance.
 *
 * \param owner  id of the owner's process, not 0
 */
void colt_credit_leader_add_owner (struct ColtCreditLeader *leader,
                                   uint64_t owner);

/**
 * Removes an owner permanently: it can be added again only to a leader with a
 * higher epoch. The caller makes sure that the owner's leases have lapsed, and
 * that each of its servers has since been counted by a new owner's report or
 * that the leases of the tasks there have lapsed.
 */
void colt_credit_leader_remove_owner (struct ColtCreditLeader *leader,
                                      uint64_t owner);

/**
 * Returns whether some owner has reported that it owns the server at an epoch
 * above \a epoch and counts its tasks.
 */
bool colt_credit_leader_counts_server (const struct ColtCreditLeader *leader,
                                       uint32_t server,
                                       uint64_t epoch);

/**
 * Handles an owner's report.
 *
 * \return false with COLT_ERROR_FENCED if the report has another epoch or
 *         shard, COLT_ERROR_REFUSED if its owner was not added
 */
bool colt_credit_leader_handle_report (struct ColtCreditLeader *leader,
                                       const struct ColtCreditReport *report,
                                       struct ColtError *error);

/**
 * Divides credits and sends the grants that are due. Callers call it after
 * reports, after changes of the fold or the compliance, and every
 * COLT_CREDIT_RETRY_US.
 *
 * When the zone complies with the shard's last change, the function merges that
 * compliance into the fold.
 *
 * \param now_us  monotonic time
 */
void colt_credit_leader_process (struct ColtCreditLeader *leader,
                                 int64_t now_us);

/** Gets the state and counts of a leader. */
void colt_credit_leader_get_info (const struct ColtCreditLeader *leader,
                                  struct ColtCreditLeaderInfo *info);

/** Gets the amount that the leader counts for a team, over all owners. */
void colt_credit_leader_get_counted (const struct ColtCreditLeader *leader,
                                     const char *team,
                                     struct ColtQuotaAmount *counted);

/**
 * Lists the running and waiting tasks of each team of the shard, as last
 * reported by the owners, for a demand digest.
 *
 * \param count  receives the number of entries
 * \return       array to be freed with free(), NULL if there are no teams
 */
struct ColtDemand *
colt_credit_leader_list_demands (const struct ColtCreditLeader *leader,
                                 size_t *count);

/**
 * Creates the credits of an owner.
 *
 * \param owner            id of this process, never reused; not 0
 * \param initial_promise  offset promised for all shards, up to which this
 *                         process has read at least: the log's head as seen
 *                         after the process started, or, while the log is
 *                         down, the highest offset in the states of all
 *                         reachable zones
 * \param send             sends reports
 * \param context          passed to \a send
 */
struct ColtCreditHolder *colt_credit_holder_create (uint64_t owner,
                                                    uint64_t initial_promise,
                                                    ColtCreditReportFunc send,
                                                    void *context);

/** Destroys the credits of an owner; NULL is allowed. */
void colt_credit_holder_destroy (struct ColtCreditHolder *holder);

/**
 * Acquires credits for the start of a task. The caller starts the task or
 * releases the credits.
 *
 * \param server  backend server on which the task will run
 * \return        false if the spare credits don't cover the demand, or no
 *                session with the leader of the team's shard is open
 */
bool colt_credit_holder_acquire (struct ColtCreditHolder *holder,
                                 const char *team,
                                 uint32_t server,
                                 const struct ColtQuotaAmount *demand);

/**
 * Releases credits when a task has ended or was not started. Spare credits that
 * exceed the reserve and the demand of the waiting tasks return to the leader.
 */
void colt_credit_holder_release (struct ColtCreditHolder *holder,
                                 const char *team,
                                 uint32_t server,
                                 const struct ColtQuotaAmount *demand);

/**
 * Sets the tasks that wait for credits of a team, until the next call for the
 * team.
 *
 * \param waiting  number of tasks, at least 0
 * \param unit     demand of the next of them
 */
void colt_credit_holder_set_waiting (struct ColtCreditHolder *holder,
                                     const char *team,
                                     int64_t waiting,
                                     const struct ColtQuotaAmount *unit);

/**
 * Adds a task that runs on a server taken over; its demand counts as used, even
 * beyond the ceiling. The caller calls colt_credit_holder_add_server() after
 * all tasks of the server's inventory.
 */
void colt_credit_holder_adopt (struct ColtCreditHolder *holder,
                               const char *team,
                               uint32_t server,
                               const struct ColtQuotaAmount *demand);

/**
 * Adds a server that is owned at an epoch and whose inventory was adopted.
 */
void colt_credit_holder_add_server (struct ColtCreditHolder *holder,
                                    uint32_t server,
                                    uint64_t epoch);

/**
 * Marks a server as lost to another owner. Its tasks still count here until
 * the leader reports that the new owner counts them.
 */
void colt_credit_holder_mark_server_lost (struct ColtCreditHolder *holder,
                                          uint32_t server);

/**
 * Removes a server with its tasks, whose leases have lapsed or which are
 * otherwise known to have ended.
 */
void colt_credit_holder_remove_server (struct ColtCreditHolder *holder,
                                       uint32_t server);

/**
 * Handles a grant.
 *
 * \return false with COLT_ERROR_FENCED if the grant is for another owner, has a
 *         lower epoch than the session, or belongs to a session that has ended
 *         or was not opened by a reconciliation; with COLT_ERROR_CONFLICT if it
 *         was computed below the promised offset; acknowledgements and settled
 *         servers of the latter grant still take effect
 */
bool colt_credit_holder_handle_grant (struct ColtCreditHolder *holder,
                                      const struct ColtCreditGrant *grant,
                                      struct ColtError *error);

/**
 * Raises the promise of a shard: no credits computed below the offset are
 * applied. A lower offset is ignored.
 */
void colt_credit_holder_raise_promise (struct ColtCreditHolder *holder,
                                       uint32_t shard,
                                       uint64_t offset);

/**
 * Ends the session with a shard's leader; spare credits are dropped. The shard
 * epoch and the promise stay; only a leader with a higher epoch can open
 * another session. When the process finds that its server leases have lapsed,
 * it calls this function for every shard before anything else, since leaders
 * may have removed the owner.
 */
void colt_credit_holder_end_session (struct ColtCreditHolder *holder,
                                     uint32_t shard);

/**
 * Sends the reports that are due. Callers call it after grants, after changes
 * of credits, servers or waiting tasks, and every COLT_CREDIT_RETRY_US.
 *
 * \param now_us  monotonic time
 */
void colt_credit_holder_process (struct ColtCreditHolder *holder,
                                 int64_t now_us);

/** Gets a team's spare credits. */
void colt_credit_holder_get_spare (const struct ColtCreditHolder *holder,
                                   const char *team,
                                   struct ColtQuotaAmount *spare);

/** Gets the amount of a team's running tasks, lost servers included. */
void colt_credit_holder_get_running (const struct ColtCreditHolder *holder,
                                     const char *team,
                                     struct ColtQuotaAmount *running);

/** Returns the epoch of the shard's last session, 0 if there was none. */
uint64_t colt_credit_holder_epoch (const struct ColtCreditHolder *holder,
                                   uint32_t shard);

/** Returns the number of teams with credits or tasks at the owner. */
size_t colt_credit_holder_count_teams (const struct ColtCreditHolder *holder);

#endif
