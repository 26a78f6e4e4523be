/**
 * \file
 * \brief Leads of shards and the promises that owners make them.
 *
 * A zone's responsibility is cut into COLT_SHARD_COUNT shards. struct
 * ColtShardOwner is the side of an instance that owns backend servers: it
 * promises epochs, keeps sessions, and checks each start and credit. struct
 * ColtShardLead is the side of an instance that should lead some shards: it
 * takes an epoch, recounts every server of the zone, and keeps its sessions
 * confirmed. An instance has one of each, and they exchange messages like
 * those of two instances. Both are pure decision code: the client passes
 * messages on and tells the time, in microseconds of its monotonic clock.
 *
 * Epochs are (counter << 16 | instance number), 0 is none.
 */
#ifndef COLTSFOOTSTILE_SHARD_H
#define COLTSFOOTSTILE_SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/shard_messages.h"

/** Times of shards, in milliseconds unless said otherwise. */
struct ColtShardTimes
{
  int64_t lease_ms;       /**< a lead not confirmed for so long resigns */
  int64_t confirm_ms;     /**< between confirmations */
  int64_t retry_ms;       /**< before an unanswered open is sent again */
  int64_t silence_ms;     /**< a session counts without its lead's word */
  int64_t task_lease_ms;  /**< lease of tasks */
  int64_t forget_ms;      /**< a view not heard of again is forgotten */
  int64_t partial_ms;     /**< a recount that lacks only servers which nobody
                           * has held for so long goes active without them;
                           * 0: it waits until nothing can run there */
  int64_t drift_permille; /**< margin for drifting clocks */
};

/** Fills in the values that a deployment starts from. */
void colt_shard_times_default (struct ColtShardTimes *times);

/** Returns how long after the last word of any owner a server that nobody
 * reaches may still run tasks, in microseconds. */
int64_t colt_shard_write_off_us (const struct ColtShardTimes *times);

/* ---- The owner's side ---- */

/** Whether a start or a credit is good. */
enum ColtShardCheck
{
  COLT_SHARD_GOOD,
  COLT_SHARD_NOT_HELD,     /**< the server isn't held here */
  COLT_SHARD_SERVER_EPOCH, /**< meant for another epoch of the server */
  COLT_SHARD_PROMISED,     /**< a higher epoch of the shard is promised */
  COLT_SHARD_NO_SESSION,   /**< no session is open for this epoch */
  COLT_SHARD_SILENT        /**< the lead has not been heard for too long */
};

/** Names of enum ColtShardCheck, indexed by it. */
extern const char *const colt_shard_check_string[];

/** Collects what runs for a shard on a server. */
struct ColtShardReports;

/** Adds a task that runs, is being started, or ended lately; copied without
 * its result. */
void colt_shard_reports_add_task (struct ColtShardReports *reports,
                                  const struct ColtTaskReport *task);

/** Adds a team count; its shard and server are filled in. */
void colt_shard_reports_add_team (struct ColtShardReports *reports,
                                  const struct ColtTeamCount *count);

/** What the owner's side asks of its client. */
struct ColtShardOwnerClient
{
  /** Returns whether the lease on a server runs and work may start there;
   * colt_server_lease_may_start() answers it. */
  bool (*server_valid) (void *client,
                        uint32_t server,
                        uint64_t epoch,
                        int64_t now);
  /** Adds everything of a shard on a server, starts included that have been
   * sent and not answered. Server 0: what belongs to no server. */
  void (*collect) (void *client,
                   uint32_t shard,
                   uint32_t server,
                   struct ColtShardReports *reports);
  /** A shard has a new epoch: credits of lower ones are void. */
  void (*promised) (void *client, uint32_t shard, uint64_t epoch);
};

/** The owner's side of the shards of one zone. */
struct ColtShardOwner;

/**
 * Creates an owner that holds no server and has promised nothing.
 *
 * \param instance     this instance's number, 1 to 65535
 * \param incarnation  grows each time the instance starts
 * \param table        must outlive the owner
 */
struct ColtShardOwner *
colt_shard_owner_create (uint32_t instance,
                         uint64_t incarnation,
                         const struct ColtShardTimes *times,
                         const struct ColtShardOwnerClient *table,
                         void *client);

/** Destroys an owner; NULL is allowed. */
void colt_shard_owner_destroy (struct ColtShardOwner *owner);

/**
 * A server's lease is held and its inventory is in.
 *
 * \param epochs  the highest shard epochs that the server has seen
 */
void colt_shard_owner_server_held (struct ColtShardOwner *owner,
                                   uint32_t server,
                                   uint64_t epoch,
                                   const struct ColtShardEpoch *epochs,
                                   size_t epoch_count,
                                   int64_t now);

/** A server's lease is lost or given up: its sessions close. */
void colt_shard_owner_server_lost (struct ColtShardOwner *owner,
                                   uint32_t server);

/** Answers an open; \a opened is to be cleared afterwards. */
void colt_shard_owner_open (struct ColtShardOwner *owner,
                            const struct ColtShardOpen *open,
                            struct ColtShardOpened *opened,
                            int64_t now);

/** Answers a confirm; \a confirmed is to be cleared afterwards. */
void colt_shard_owner_confirm (struct ColtShardOwner *owner,
                               const struct ColtShardConfirm *confirm,
                               struct ColtShardConfirmed *confirmed,
                               int64_t now);

/**
 * Checks a start, or a credit: one that belongs to the owner as a whole names
 * any of the owner's servers for which colt_shard_lead_may_start() holds.
 */
enum ColtShardCheck colt_shard_owner_check_start (struct ColtShardOwner *owner,
                                                  uint32_t shard,
                                                  uint64_t shard_epoch,
                                                  uint32_t server,
                                                  uint64_t server_epoch,
                                                  int64_t now);

/**
 * Returns whether the tasks of a shard on a server may be renewed. If not,
 * they must be stopped before the next renewal of that server's tasks.
 */
bool colt_shard_owner_may_renew (struct ColtShardOwner *owner,
                                 uint32_t shard,
                                 uint32_t server,
                                 int64_t now);

/** Returns the highest epoch promised for a shard, 0 if none. */
uint64_t colt_shard_owner_promised (const struct ColtShardOwner *owner,
                                    uint32_t shard);

/** Returns how many servers are held. */
size_t colt_shard_owner_server_count (const struct ColtShardOwner *owner);

/** Returns the version of sessions and promises, for the state dump. */
uint64_t colt_shard_owner_version (const struct ColtShardOwner *owner);

/* ---- The lead's side ---- */

/** Where a lead stands with a shard. */
enum ColtShardState
{
  COLT_SHARD_FOLLOWING, /**< another instance should lead it */
  COLT_SHARD_OPENING,   /**< asks the owners */
  COLT_SHARD_CHECKING,  /**< has all answers, asks whether they still hold */
  COLT_SHARD_ACTIVE     /**< leads it */
};

/** Names of enum ColtShardState, indexed by it. */
extern const char *const colt_shard_state_string[];

/** Why a shard was lost. */
enum ColtShardLoss
{
  COLT_SHARD_LOSS_REFUSED,     /**< an owner has promised a higher epoch */
  COLT_SHARD_LOSS_UNCONFIRMED, /**< too few owners confirm it */
  COLT_SHARD_LOSS_CHOICE,      /**< another instance should lead it */
  COLT_SHARD_LOSS_STOPPED      /**< this instance stops */
};

/** Names of enum ColtShardLoss, indexed by it. */
extern const char *const colt_shard_loss_string[];

/** What runs for a shard on one server. */
struct ColtShardReport
{
  uint32_t shard;
  uint32_t server; /**< 0: what belongs to the owner and to no server */
  uint64_t server_epoch;
  uint32_t owner;                            /**< instance number */
  const struct ColtTaskReport *const *tasks; /**< valid during the call */
  size_t task_count;
  const struct ColtTeamCount *const *teams; /**< valid during the call */
  size_t team_count;
};

/** What the lead's side asks of its client. None may call back into it, but
 * for the functions that only ask. */
struct ColtShardLeadClient
{
  /** Send an open to an instance, this one included. */
  void (*send_open) (void *client,
                     uint32_t owner,
                     const struct ColtShardOpen *open);
  /** Send a confirm to an instance, this one included. */
  void (*send_confirm) (void *client,
                        uint32_t owner,
                        const struct ColtShardConfirm *confirm);
  /** A recount begins with a new epoch: what was reported is void. */
  void (*opening) (void *client, uint32_t shard, uint64_t epoch);
  /** What runs on a server; replaces any earlier report of the same shard and
   * server (of the same shard and owner, if the server is 0). Comes before
   * active(), and for a server that joins late before joined(). It says
   * nothing of starts that this lead has sent itself in this epoch and has no
   * answer to: they may still arrive. */
  void (*report) (void *client, const struct ColtShardReport *report);
  /** The recount is complete: this instance leads the shard. If \a lacking
   * isn't 0 (only with partial_ms), tasks unknown to the lead may still run on
   * so many servers: nothing that is not certainly new may be started, and
   * teams count as filling these servers, until each has joined or is written
   * off. */
  void (*active) (void *client, uint32_t shard, uint64_t epoch, size_t lacking);
  /** This instance no longer leads the shard, or gave its recount up. */
  void (*lost) (void *client,
                uint32_t shard,
                uint64_t epoch,
                enum ColtShardLoss loss);
  /** Work may be started on a server that joined an active shard late. */
  void (*joined) (void *client,
                  uint32_t shard,
                  uint32_t server,
                  uint32_t owner,
                  uint64_t server_epoch);
  /** The session on a server closed; its tasks count as before. */
  void (*parted) (void *client, uint32_t shard, uint32_t server);
  /** Nobody has reached a server for so long that nothing runs there. */
  void (*written_off) (void *client, uint32_t shard, uint32_t server);
};

/** The lead's side of the shards of one zone. */
struct ColtShardLead;

/**
 * Creates a lead that knows no member and no server.
 *
 * \param instance     this instance's number, 1 to 65535
 * \param incarnation  grows each time the instance starts; wall-clock
 *                     milliseconds do, below 2^47
 * \param table        must outlive the lead
 */
struct ColtShardLead *
colt_shard_lead_create (uint32_t instance,
                        uint64_t incarnation,
                        const struct ColtShardTimes *times,
                        const struct ColtShardLeadClient *table,
                        void *client);

/** Destroys a lead without a callback; NULL is allowed. */
void colt_shard_lead_destroy (struct ColtShardLead *lead);

/** Tells which instances are live; rendezvous hashing chooses the leads. */
void colt_shard_lead_set_members (struct ColtShardLead *lead,
                                  const uint32_t *members,
                                  size_t count,
                                  int64_t now);

/** Tells which backend servers the zone has. One that is left out later still
 * counts until it is certain that nothing runs there. */
void colt_shard_lead_set_servers (struct ColtShardLead *lead,
                                  const uint32_t *servers,
                                  size_t count,
                                  int64_t now);

/** Resigns from all shards, for good. */
void colt_shard_lead_stop (struct ColtShardLead *lead);

/** Takes the answer to an open. */
void colt_shard_lead_opened (struct ColtShardLead *lead,
                             const struct ColtShardOpened *opened,
                             int64_t now);

/** Takes the answer to a confirm. */
void colt_shard_lead_confirmed (struct ColtShardLead *lead,
                                const struct ColtShardConfirmed *confirmed,
                                int64_t now);

/** Hears of an epoch in some other way (a refused start): the next one that
 * is chosen will be above it. */
void colt_shard_lead_heard (struct ColtShardLead *lead,
                            uint32_t shard,
                            uint64_t epoch);

/** Does what is due; to be called at colt_shard_lead_wake_time(). */
void colt_shard_lead_process (struct ColtShardLead *lead, int64_t now);

/** Returns when colt_shard_lead_process() is next due. */
int64_t colt_shard_lead_wake_time (const struct ColtShardLead *lead);

/** Returns whether this instance leads a shard at \a now. */
bool colt_shard_lead_is_active (const struct ColtShardLead *lead,
                                uint32_t shard,
                                int64_t now);

/**
 * Returns whether work of a shard may be sent to a server at \a now.
 *
 * \param owner         set to the instance to send to; may be NULL
 * \param server_epoch  set to the epoch to name; may be NULL
 */
bool colt_shard_lead_may_start (const struct ColtShardLead *lead,
                                uint32_t shard,
                                uint32_t server,
                                int64_t now,
                                uint32_t *owner,
                                uint64_t *server_epoch);

/**
 * Returns whether this instance is certainly the only lead of a shard right
 * now, so that it may answer "not run" at once: it leads the shard, and the
 * session on a server that this instance owns itself is open. False says
 * nothing; colt_shard_lead_proved_since() can tell later.
 *
 * \param owner  this instance's own
 */
bool colt_shard_lead_proves (const struct ColtShardLead *lead,
                             struct ColtShardOwner *owner,
                             uint32_t shard,
                             int64_t now);

/**
 * Returns whether an owner has confirmed an active shard's session after
 * \a since. Then no other lead of the shard was active at that time, so that
 * what was decided by then was decided by its only lead.
 */
bool colt_shard_lead_proved_since (const struct ColtShardLead *lead,
                                   uint32_t shard,
                                   int64_t since,
                                   int64_t now);

/** Returns the state of a shard. */
enum ColtShardState colt_shard_lead_state (const struct ColtShardLead *lead,
                                           uint32_t shard);

/** Returns the epoch of a shard, 0 while following. */
uint64_t colt_shard_lead_epoch (const struct ColtShardLead *lead,
                                uint32_t shard);

/** Returns the instance that should lead a shard, 0 if no member is known. */
uint32_t colt_shard_lead_choice (const struct ColtShardLead *lead,
                                 uint32_t shard);

/** Returns how many servers may run tasks of a shard that the lead has never
 * been told of: they have not joined in this epoch, and are not written off.
 * A server that joined and is out of session again doesn't count, since only
 * this lead has started anything there. */
size_t colt_shard_lead_unknown (const struct ColtShardLead *lead,
                                uint32_t shard);

/** Returns how many servers a shard's recount lacks or has out of session and
 * not written off. */
size_t colt_shard_lead_missing (const struct ColtShardLead *lead,
                                uint32_t shard);

#endif
