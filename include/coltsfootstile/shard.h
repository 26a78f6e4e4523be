/**
 * \file
 * \brief Leaders of shards and the promises that owners make to them.
 *
 * Responsibility for a zone is divided into COLT_SHARD_COUNT shards. An
 * instance has two objects for them, which exchange messages in the same way
 * whether they belong to one instance or to two:
 *
 * - struct ColtShardOwner acts for the backend servers that the instance owns.
 *   It promises shard epochs to leaders, keeps their sessions on its servers,
 *   and checks each start and each credit.
 * - struct ColtShardLeader acts for the shards that the instance is designated
 *   to lead. It chooses an epoch, collects reports of what runs on every
 *   server of the zone (reconciliation), and keeps its sessions confirmed.
 *
 * A session covers one shard on one backend server: it lets the leader of the
 * shard's epoch start work there. A server is written off for a shard once it
 * has been unreachable for so long that no task can run on it.
 *
 * The view of a leader is the set of servers to which it may have sent work.
 * Owners store the views and report the servers in them to each leader that
 * opens sessions, which then takes these servers into account.
 *
 * Both objects do no I/O. The client transmits the messages and passes the
 * current time as \a now, in microseconds of its monotonic clock.
 *
 * Shards are numbered from 0 to COLT_SHARD_COUNT - 1.
 *
 * An epoch is (counter << 16 | instance number of the leader); 0 means none.
 */
#ifndef COLTSFOOTSTILE_SHARD_H
#define COLTSFOOTSTILE_SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/shard_messages.h"

/** Timing parameters, in milliseconds unless said otherwise. */
struct ColtShardTimes
{
  int64_t lease_ms; /**< a leader without confirmations for this long resigns */
  int64_t confirm_interval_ms; /**< interval between confirm messages */
  int64_t retry_ms; /**< delay before an unanswered message is sent again */
  int64_t leader_timeout_ms; /**< an owner accepts a leader's starts and renews
                              * its tasks for this long after the newest time
                              * stamp of its own that the leader has echoed */
  int64_t task_lease_ms;     /**< lease of tasks on a backend server */
  int64_t view_timeout_ms;   /**< an owner drops a leader's view if no confirm
                              * message has matched it for this long */
  int64_t partial_ms;     /**< a reconciliation that lacks only servers which no
                           * instance has owned for this long, or for lease_ms
                           * if that is longer, completes without them; 0: it
                           * waits until they are written off */
  int64_t drift_permille; /**< margin for clock drift, in 1/1000 */
};

/** Fills in the default values. */
void colt_shard_times_default (struct ColtShardTimes *times);

/** Returns how long an unreachable server may still run tasks after the last
 * message from any of its owners, in microseconds. */
int64_t colt_shard_write_off_us (const struct ColtShardTimes *times);

/* ---- Owner ---- */

/** Result of the check of a start or a credit. */
enum ColtShardCheck
{
  COLT_SHARD_CHECK_OK,       /**< accepted */
  COLT_SHARD_CHECK_NOT_HELD, /**< the owner doesn't hold the server's lease */
  COLT_SHARD_CHECK_SERVER_EPOCH, /**< names another epoch of the server */
  COLT_SHARD_CHECK_SUPERSEDED,   /**< a higher epoch of the shard is promised */
  COLT_SHARD_CHECK_NO_SESSION,  /**< no session is open for the shard's epoch */
  COLT_SHARD_CHECK_UNRESPONSIVE /**< the leader has not confirmed its session in
                                   time */
};

/** Names of enum ColtShardCheck, indexed by it. */
extern const char *const colt_shard_check_string[];

/** Collects reports of what runs for a shard on a server. */
struct ColtShardReports;

/** Adds a copy, without the result, of a task that runs, is being started or
 * has ended recently. */
void colt_shard_reports_add_task (struct ColtShardReports *reports,
                                  const struct ColtTaskReport *task);

/** Adds a copy of a team count; its shard and server are filled in. */
void colt_shard_reports_add_team (struct ColtShardReports *reports,
                                  const struct ColtTeamCount *count);

/** Callbacks of an owner. */
struct ColtShardOwnerClient
{
  /** Returns whether the lease on a server is valid and work may be started
   * there, as colt_server_lease_may_start() does. */
  bool (*is_server_valid) (void *client,
                           uint32_t server,
                           uint64_t epoch,
                           int64_t now);
  /** Adds the tasks and team counts of a shard on a server, including starts
   * that have been sent and not answered. Server 0 stands for what belongs to
   * the owner and to no server. */
  void (*collect_reports) (void *client,
                           uint32_t shard,
                           uint32_t server,
                           struct ColtShardReports *reports);
  /** Called when a higher epoch of a shard is promised: credits of lower
   * epochs are void. */
  void (*epoch_promised) (void *client, uint32_t shard, uint64_t epoch);
};

/** Promises and sessions of the shards of one zone on an owner. */
struct ColtShardOwner;

/**
 * Creates an owner without servers and promises.
 *
 * \param instance     number of this instance, 1 to 65535
 * \param incarnation  grows each time the instance starts
 * \param times        timing parameters, copied
 * \param callbacks    must outlive the owner
 * \param client       passed to the callbacks
 * \return             the owner, to be freed by colt_shard_owner_destroy()
 */
struct ColtShardOwner *
colt_shard_owner_create (uint32_t instance,
                         uint64_t incarnation,
                         const struct ColtShardTimes *times,
                         const struct ColtShardOwnerClient *callbacks,
                         void *client);

/** Destroys an owner; NULL is allowed. */
void colt_shard_owner_destroy (struct ColtShardOwner *owner);

/**
 * Adds a server whose lease has been acquired and whose inventory has been
 * read; replaces an earlier epoch of the server.
 *
 * \param server       server number, not 0
 * \param epoch        epoch of the server's lease, not 0
 * \param epochs       highest shard epochs in the server's inventory; they
 *                     count as promised
 * \param epoch_count  number of these epochs
 */
void colt_shard_owner_add_server (struct ColtShardOwner *owner,
                                  uint32_t server,
                                  uint64_t epoch,
                                  const struct ColtShardEpoch *epochs,
                                  size_t epoch_count,
                                  int64_t now);

/** Removes a server whose lease is lost or released, with its sessions. */
void colt_shard_owner_remove_server (struct ColtShardOwner *owner,
                                     uint32_t server);

/** Processes an open message and fills in the answer, which the caller frees
 * by colt_shard_opened_clear(). */
void colt_shard_owner_handle_open (struct ColtShardOwner *owner,
                                   const struct ColtShardOpen *open,
                                   struct ColtShardOpened *opened,
                                   int64_t now);

/** Processes a confirm message and fills in the answer, which the caller frees
 * by colt_shard_confirmed_clear(). */
void colt_shard_owner_handle_confirm (struct ColtShardOwner *owner,
                                      const struct ColtShardConfirm *confirm,
                                      struct ColtShardConfirmed *confirmed,
                                      int64_t now);

/**
 * Checks a start or a credit of a shard. A credit that belongs to the owner as
 * a whole names any of the owner's servers for which
 * colt_shard_leader_may_start() returns true.
 */
enum ColtShardCheck colt_shard_owner_check_start (struct ColtShardOwner *owner,
                                                  uint32_t shard,
                                                  uint64_t shard_epoch,
                                                  uint32_t server,
                                                  uint64_t server_epoch,
                                                  int64_t now);

/**
 * Returns whether the leases of a shard's tasks on a server may be renewed. If
 * not, the tasks must be stopped before the next renewal of that server's
 * tasks.
 */
bool colt_shard_owner_may_renew_tasks (struct ColtShardOwner *owner,
                                       uint32_t shard,
                                       uint32_t server,
                                       int64_t now);

/** Returns the highest epoch that is promised for a shard, 0 if none. */
uint64_t colt_shard_owner_promised_epoch (const struct ColtShardOwner *owner,
                                          uint32_t shard);

/** Returns the number of servers. */
size_t colt_shard_owner_server_count (const struct ColtShardOwner *owner);

/** Returns the version of the sessions and promises, which grows with each
 * change; for the state dump. */
uint64_t colt_shard_owner_version (const struct ColtShardOwner *owner);

/* ---- Leader ---- */

/** State of a shard on an instance. */
enum ColtShardState
{
  COLT_SHARD_FOLLOWING, /**< not led and not being reconciled here */
  COLT_SHARD_OPENING,   /**< reconciliation: opens sessions with the owners */
  COLT_SHARD_CHECKING,  /**< reconciliation: all sessions are open; checks that
                         * each of them is still valid */
  COLT_SHARD_ACTIVE     /**< led by this instance */
};

/** Names of enum ColtShardState, indexed by it. */
extern const char *const colt_shard_state_string[];

/** Reason why a shard was lost. */
enum ColtShardLoss
{
  COLT_SHARD_LOSS_REFUSED,     /**< an owner has promised a higher epoch */
  COLT_SHARD_LOSS_UNCONFIRMED, /**< no majority of servers is confirmed */
  COLT_SHARD_LOSS_REASSIGNED,  /**< another instance is designated to lead */
  COLT_SHARD_LOSS_STOPPED      /**< this instance stops */
};

/** Names of enum ColtShardLoss, indexed by it. */
extern const char *const colt_shard_loss_string[];

/** Report of what runs for a shard on one server. */
struct ColtShardReport
{
  uint32_t shard;
  uint32_t server; /**< 0: report of what belongs to the owner itself */
  uint64_t server_epoch;
  uint32_t owner;                            /**< instance number */
  const struct ColtTaskReport *const *tasks; /**< valid during the call */
  size_t task_count;
  const struct ColtTeamCount *const *teams; /**< valid during the call */
  size_t team_count;
};

/** Callbacks of a leader. A callback may call the functions that take a const
 * struct ColtShardLeader, and none of the others. */
struct ColtShardLeaderClient
{
  /** Sends an open message to an instance, which may be this one. */
  void (*send_open) (void *client,
                     uint32_t owner,
                     const struct ColtShardOpen *open);
  /** Sends a confirm message to an instance, which may be this one. */
  void (*send_confirm) (void *client,
                        uint32_t owner,
                        const struct ColtShardConfirm *confirm);
  /** A reconciliation has started with a new epoch: earlier reports of the
   * shard are void. */
  void (*reconciliation_started) (void *client, uint32_t shard, uint64_t epoch);
  /** A server has been reported. The report replaces any earlier one of the
   * same shard and server (of the same shard and owner, if the server is 0).
   * It comes before shard_activated(), or before server_joined() for a server
   * that joins late. It may lack starts that this leader has sent in this
   * epoch and that are not answered: they may still arrive. */
  void (*server_reported) (void *client, const struct ColtShardReport *report);
  /** The reconciliation is complete: this instance leads the shard. If
   * \a missing isn't 0 (only with partial_ms), tasks without a report may still
   * run on that many servers. Until each of these servers has joined or is
   * written off, only work that is certainly new may be started, and teams
   * count as filling these servers. */
  void (*shard_activated) (void *client,
                           uint32_t shard,
                           uint64_t epoch,
                           size_t missing);
  /** This instance no longer leads the shard, or abandoned its
   * reconciliation. */
  void (*shard_lost) (void *client,
                      uint32_t shard,
                      uint64_t epoch,
                      enum ColtShardLoss loss);
  /** Work may be started on a server that joined an active shard late. */
  void (*server_joined) (void *client,
                         uint32_t shard,
                         uint32_t server,
                         uint32_t owner,
                         uint64_t server_epoch);
  /** The session on a server closed; the tasks reported there still count. */
  void (*server_left) (void *client, uint32_t shard, uint32_t server);
  /** A server has been unreachable for so long that no task runs there. */
  void (*server_written_off) (void *client, uint32_t shard, uint32_t server);
};

/** Leader of shards of one zone. */
struct ColtShardLeader;

/**
 * Creates a leader without members and servers.
 *
 * \param instance     number of this instance, 1 to 65535
 * \param incarnation  grows each time the instance starts, as wall-clock
 *                     milliseconds do; below 2^47
 * \param times        timing parameters, copied
 * \param callbacks    must outlive the leader
 * \param client       passed to the callbacks
 * \return             the leader, to be freed by colt_shard_leader_destroy()
 */
struct ColtShardLeader *
colt_shard_leader_create (uint32_t instance,
                          uint64_t incarnation,
                          const struct ColtShardTimes *times,
                          const struct ColtShardLeaderClient *callbacks,
                          void *client);

/** Destroys a leader and makes no callback; NULL is allowed. */
void colt_shard_leader_destroy (struct ColtShardLeader *leader);

/** Sets the numbers of the live instances, among which rendezvous hashing
 * designates the leader of each shard. */
void colt_shard_leader_set_members (struct ColtShardLeader *leader,
                                    const uint32_t *members,
                                    size_t count,
                                    int64_t now);

/** Sets the numbers of the zone's backend servers. A server that is left out
 * later still counts until no task can run on it. */
void colt_shard_leader_set_servers (struct ColtShardLeader *leader,
                                    const uint32_t *servers,
                                    size_t count,
                                    int64_t now);

/** Resigns from all shards and leads none from then on. */
void colt_shard_leader_stop (struct ColtShardLeader *leader);

/** Processes the answer to an open message. */
void colt_shard_leader_handle_opened (struct ColtShardLeader *leader,
                                      const struct ColtShardOpened *opened,
                                      int64_t now);

/** Processes the answer to a confirm message. */
void
colt_shard_leader_handle_confirmed (struct ColtShardLeader *leader,
                                    const struct ColtShardConfirmed *confirmed,
                                    int64_t now);

/** Records an epoch that was received outside the answers to this leader, for
 * instance with a refused start: the next epoch of the shard is above it. */
void colt_shard_leader_record_epoch (struct ColtShardLeader *leader,
                                     uint32_t shard,
                                     uint64_t epoch);

/** Performs the actions that are due; to be called at the time that
 * colt_shard_leader_wake_time() returns. */
void colt_shard_leader_process (struct ColtShardLeader *leader, int64_t now);

/** Returns the time when colt_shard_leader_process() is next due, or
 * COLT_TIME_NEVER. */
int64_t colt_shard_leader_wake_time (const struct ColtShardLeader *leader);

/** Returns whether this instance leads a shard at \a now. */
bool colt_shard_leader_is_active (const struct ColtShardLeader *leader,
                                  uint32_t shard,
                                  int64_t now);

/**
 * Returns whether work of a shard may be sent to a server at \a now.
 *
 * \param owner         set to the number of the server's owner; may be NULL
 * \param server_epoch  set to the server's epoch; may be NULL
 */
bool colt_shard_leader_may_start (const struct ColtShardLeader *leader,
                                  uint32_t shard,
                                  uint32_t server,
                                  int64_t now,
                                  uint32_t *owner,
                                  uint64_t *server_epoch);

/**
 * Returns whether this instance is certainly the only leader of a shard at
 * \a now, so that it may answer "not run" immediately: it leads the shard, and
 * its session on a server that it owns itself is open. False leaves the
 * question open; colt_shard_leader_was_exclusive() may answer it later.
 *
 * \param owner  the owner object of this instance
 */
bool colt_shard_leader_is_exclusive (const struct ColtShardLeader *leader,
                                     struct ColtShardOwner *owner,
                                     uint32_t shard,
                                     int64_t now);

/**
 * Returns whether an owner has confirmed a session of an active shard after
 * \a since. Then no other leader of the shard was active at that time, so that
 * decisions made until then were made by its only leader.
 */
bool colt_shard_leader_was_exclusive (const struct ColtShardLeader *leader,
                                      uint32_t shard,
                                      int64_t since,
                                      int64_t now);

/** Returns the state of a shard. */
enum ColtShardState
colt_shard_leader_state (const struct ColtShardLeader *leader, uint32_t shard);

/** Returns the epoch of a shard, 0 in the state COLT_SHARD_FOLLOWING. */
uint64_t colt_shard_leader_epoch (const struct ColtShardLeader *leader,
                                  uint32_t shard);

/** Returns the instance designated to lead a shard, 0 without members. */
uint32_t colt_shard_leader_designated (const struct ColtShardLeader *leader,
                                       uint32_t shard);

/** Returns the number of servers that may run tasks of a shard without a report
 * to this leader: they have not joined in this epoch and are not written off.
 * A server that joined and whose session is closed again doesn't count, since
 * only this leader has started anything there. */
size_t colt_shard_leader_count_unknown (const struct ColtShardLeader *leader,
                                        uint32_t shard);

/** Returns the number of servers on which a shard has no session and that are
 * not written off, during its reconciliation and while it is active. */
size_t colt_shard_leader_count_missing (const struct ColtShardLeader *leader,
                                        uint32_t shard);

#endif
