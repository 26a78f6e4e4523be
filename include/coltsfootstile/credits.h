/**
 * \file
 * \brief Credits: how a zone's part of a team's limit reaches the owners of
 *        backend servers.
 *
 * In each zone the lead of a team's shard gives every owner a ceiling on what
 * it runs of the team. A ceiling is an absolute amount with a sequence number,
 * so lost, doubled and reordered messages do no harm. The lead counts an owner
 * with the highest ceiling it may still act on, and with what it runs if that
 * is more; the counts never exceed what the zone may use, except where more
 * already runs, and then nothing new is granted.
 *
 * Neither side does I/O: messages go out through a callback, time comes in.
 */
#ifndef COLTSFOOTSTILE_CREDITS_H
#define COLTSFOOTSTILE_CREDITS_H

#include "coltsfootstile/entitlement.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/quota.h"
#include "coltsfootstile/quota_messages.h"

/** Tasks that an owner may keep as spare credits of a team. */
#define COLT_CREDIT_CUSHION_TASKS 4
/** How long either side waits for an answer before it sends again, in us. */
#define COLT_CREDIT_RETRY_US 200000

/** Lead of a shard of teams in a zone. */
struct ColtCreditLead;

/** Owner's side, for all shards. */
struct ColtCreditHolder;

/** Where a lead stands. */
enum ColtCreditLeadState
{
  COLT_CREDIT_LEAD_RECOUNT, /**< not every owner has answered yet */
  COLT_CREDIT_LEAD_BEHIND,  /**< reads an older offset than was promised */
  COLT_CREDIT_LEAD_ACTIVE   /**< grants credits */
};

/** Names of enum ColtCreditLeadState, indexed by it. */
extern const char *const colt_credit_lead_state_string[];

/** Sends a grant to its owner; the message is valid during the call. */
typedef void (*ColtCreditGrantFunc) (void *context,
                                     const struct ColtCreditGrant *grant);

/**
 * Sends a report to the lead of its shard at its epoch; the message is valid
 * during the call.
 */
typedef void (*ColtCreditReportFunc) (void *context,
                                      const struct ColtCreditReport *report);

/** Counts of a lead, for counters and the state dump. */
struct ColtCreditLeadInfo
{
  enum ColtCreditLeadState state;
  uint32_t shard;
  uint64_t epoch;
  uint64_t complied; /**< offset that the zone complies with, by this lead */
  size_t owners;
  size_t owners_missing; /**< not yet counted */
  size_t teams;
  size_t teams_over; /**< teams counted above what may be used */
};

/**
 * Creates a lead, which starts with a recount.
 *
 * \param zone          the zone
 * \param shard         shard of teams, below COLT_SHARD_COUNT
 * \param epoch         shard epoch, higher than any before
 * \param entitlements  the instance's fold, not owned; outlives the lead
 * \param send          sends grants
 */
struct ColtCreditLead *
colt_credit_lead_create (uint32_t zone,
                         uint32_t shard,
                         uint64_t epoch,
                         struct ColtEntitlements *entitlements,
                         ColtCreditGrantFunc send,
                         void *context);

/** Destroys a lead; NULL is allowed. */
void colt_credit_lead_destroy (struct ColtCreditLead *lead);

/**
 * Adds an owner of the zone. Until it has answered, nothing new is granted
 * and no compliance is stated. An owner that is known is left as it is.
 */
void colt_credit_lead_add_owner (struct ColtCreditLead *lead, uint64_t owner);

/**
 * Forgets an owner for good; it can be added again only to a lead with a
 * higher epoch. The caller makes sure that its leases have
 * lapsed, and that each server it held has since been counted by the new
 * owner's report, or the leases of the tasks there have lapsed.
 */
void colt_credit_lead_remove_owner (struct ColtCreditLead *lead,
                                    uint64_t owner);

/**
 * Returns whether some owner reported that it holds the server at an epoch
 * above \a epoch, with its tasks counted.
 */
bool colt_credit_lead_counts_server (const struct ColtCreditLead *lead,
                                     uint32_t server,
                                     uint64_t epoch);

/**
 * Takes in an owner's report.
 *
 * \return false with COLT_ERROR_FENCED if it is of another epoch or shard,
 *         COLT_ERROR_REFUSED if its owner is not one of the lead's
 */
bool colt_credit_lead_receive (struct ColtCreditLead *lead,
                               const struct ColtCreditReport *report,
                               struct ColtError *error);

/**
 * Decides what is due and sends it; to be called after reports, after the
 * fold or the compliance changed, and every COLT_CREDIT_RETRY_US.
 *
 * States compliance of the zone in the fold when it holds.
 *
 * \param now_us  monotonic time
 */
void colt_credit_lead_process (struct ColtCreditLead *lead, int64_t now_us);

/** Gets counts of the lead. */
void colt_credit_lead_info (const struct ColtCreditLead *lead,
                            struct ColtCreditLeadInfo *info);

/** Gets what the lead counts of a team, over all owners. */
void colt_credit_lead_counted (const struct ColtCreditLead *lead,
                               const char *team,
                               struct ColtQuotaAmount *counted);

/**
 * Gets what runs and waits of each team of the shard, as last reported, for a
 * demand digest.
 *
 * \param count    receives the number of entries
 * \return         array to be freed with free(), NULL if there is none
 */
struct ColtDemand *colt_credit_lead_demands (const struct ColtCreditLead *lead,
                                             size_t *demands);

/**
 * Creates the owner's side.
 *
 * \param owner  names this process, never used again
 * \param floor  offset that this process has read at least: the log's head
 *               seen after its start, or the highest that the states of all
 *               reachable zones hold while the log is down
 * \param send   sends reports
 */
struct ColtCreditHolder *colt_credit_holder_create (uint64_t owner,
                                                    uint64_t floor,
                                                    ColtCreditReportFunc send,
                                                    void *context);

/** Destroys the owner's side; NULL is allowed. */
void colt_credit_holder_destroy (struct ColtCreditHolder *holder);

/**
 * Takes credits for a start. The caller starts the task, or gives them back.
 *
 * \param server  where the task is to run
 * \return        false if the spare credits don't cover the demand
 */
bool colt_credit_holder_take (struct ColtCreditHolder *holder,
                              const char *team,
                              uint32_t server,
                              const struct ColtQuotaAmount *demand);

/**
 * Gives credits back when a task has ended or was not started. Spare credits
 * beyond the cushion and the waiting tasks return to the lead.
 */
void colt_credit_holder_give (struct ColtCreditHolder *holder,
                              const char *team,
                              uint32_t server,
                              const struct ColtQuotaAmount *demand);

/**
 * Sets what waits for credits of a team; stays until it is set anew.
 *
 * \param waiting  tasks, at least 0
 * \param unit     what the next of them needs
 */
void colt_credit_holder_set_waiting (struct ColtCreditHolder *holder,
                                     const char *team,
                                     int64_t waiting,
                                     const struct ColtQuotaAmount *unit);

/**
 * Adds a task that runs on a server taken over: it counts as used, also
 * beyond the credits held. To be followed by
 * colt_credit_holder_hold_server() when the whole inventory is in.
 */
void colt_credit_holder_adopt (struct ColtCreditHolder *holder,
                               const char *team,
                               uint32_t server,
                               const struct ColtQuotaAmount *demand);

/** States that the server is held at an epoch with its inventory counted. */
void colt_credit_holder_hold_server (struct ColtCreditHolder *holder,
                                     uint32_t server,
                                     uint64_t epoch);

/**
 * States that a server is lost to another owner. Its tasks count here on,
 * until the lead says that its new owner counts them.
 */
void colt_credit_holder_lose_server (struct ColtCreditHolder *holder,
                                     uint32_t server);

/**
 * Drops the tasks of a lost server, whose leases have lapsed or that are
 * otherwise known to have ended.
 */
void colt_credit_holder_drop_server (struct ColtCreditHolder *holder,
                                     uint32_t server);

/**
 * Takes in a grant.
 *
 * \return false with COLT_ERROR_FENCED if it is of a lower epoch than one
 *         answered, or of a session not opened by a recount; with
 *         COLT_ERROR_CONFLICT if it was computed below the promise
 */
bool colt_credit_holder_receive (struct ColtCreditHolder *holder,
                                 const struct ColtCreditGrant *grant,
                                 struct ColtError *error);

/** Raises the promise of a shard; a lower offset does nothing. */
void colt_credit_holder_promise (struct ColtCreditHolder *holder,
                                 uint32_t shard,
                                 uint64_t offset);

/**
 * Ends the session with a shard's lead: unused credits end with it. The shard
 * epoch and the promise stay; only a lead with a higher epoch opens another
 * one. To be called for every shard before anything else when the process
 * finds that its server leases have lapsed, since leads may have removed it.
 */
void colt_credit_holder_end_session (struct ColtCreditHolder *holder,
                                     uint32_t shard);

/** Sends the reports that are due; see colt_credit_lead_process(). */
void colt_credit_holder_process (struct ColtCreditHolder *holder,
                                 int64_t now_us);

/** Gets a team's spare credits. */
void colt_credit_holder_spare (const struct ColtCreditHolder *holder,
                               const char *team,
                               struct ColtQuotaAmount *spare);

/** Gets what runs of a team here, lost servers included. */
void colt_credit_holder_running (const struct ColtCreditHolder *holder,
                                 const char *team,
                                 struct ColtQuotaAmount *running);

/** Returns the shard epoch answered last, 0 if none. */
uint64_t colt_credit_holder_epoch (const struct ColtCreditHolder *holder,
                                   uint32_t shard);

/** Returns the number of teams that the owner holds anything of. */
size_t colt_credit_holder_teams (const struct ColtCreditHolder *holder);

#endif
