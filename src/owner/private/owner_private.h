/**
 * \file
 * \brief Declarations shared by the source files of the owner.
 */
#ifndef COLTSFOOTSTILE_OWNER_PRIVATE_H
#define COLTSFOOTSTILE_OWNER_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/owner.h"
#include "coltsfootstile/request_messages.h"

/** Record of a task at its owner. */
struct ColtOwnerTask
{
  struct ColtTaskRef ref;
  struct ColtOwnedServer *server; /**< NULL for a start that was refused on
                                   * arrival or never arrived */
  uint32_t shard;
  uint64_t shard_epoch;
  uint32_t team; /**< index in the list of team names */
  enum ColtWorkKind kind;
  enum ColtOwnerTaskState state;
  enum ColtTaskState end_state; /**< valid in COLT_OWNER_TASK_ENDED */
  bool holds_resources; /**< its limit is part of the server's reserved */
  bool holds_credits;   /**< its limit is charged to the team's credits */
  bool awaits_credits;  /**< accepted, but the credits do not suffice yet */
  bool stopping;        /**< a stop is queued or was sent */
  bool maybe_started;   /**< a copy of the start was sent and got no answer */
  int exit_status;
  int64_t run_ms;
  int64_t accepted_us;
  int64_t started_us;
  int64_t ended_us; /**< when it ended or was refused */
  struct ColtResources limit;
  struct ColtResources usage;
  uint8_t *payload; /**< owned, freed when the task starts or is refused */
  size_t payload_size;
  GList link; /**< in the server's queue for the task's shard */
};

/** Task records of an owner, by task reference. */
struct ColtOwnerTasks;

struct ColtOwnerTasks *colt_owner_tasks_create (void);
void colt_owner_tasks_destroy (struct ColtOwnerTasks *tasks);
/** Returns a record, or NULL. */
struct ColtOwnerTask *colt_owner_tasks_find (const struct ColtOwnerTasks *tasks,
                                             const struct ColtTaskRef *ref);
/** Adds a record; there must be none with \a ref yet. \a server may be NULL. */
struct ColtOwnerTask *colt_owner_tasks_add (struct ColtOwnerTasks *tasks,
                                            struct ColtOwnedServer *server,
                                            const struct ColtTaskRef *ref,
                                            const char *team,
                                            uint32_t shard);
/** Removes and frees a record. */
void colt_owner_tasks_remove (struct ColtOwnerTasks *tasks,
                              struct ColtOwnerTask *task);
/** Returns the name of a task's team; it belongs to \a tasks. */
const char *colt_owner_tasks_team (const struct ColtOwnerTasks *tasks,
                                   const struct ColtOwnerTask *task);
/** Removes records of tasks that ended before a time. */
void colt_owner_tasks_expire (struct ColtOwnerTasks *tasks, int64_t before_us);
/** Notes that a task ended at its ended_us, for colt_owner_tasks_expire(). */
void colt_owner_tasks_record_end (struct ColtOwnerTasks *tasks,
                                  const struct ColtOwnerTask *task);
/** Fills in a report of a task, without a result. */
void colt_owner_task_fill_report (const struct ColtOwnerTasks *tasks,
                                  const struct ColtOwnerTask *task,
                                  struct ColtTaskReport *report);

/** A backend server of the zone, whether its lease is held here or not. */
struct ColtOwnedServer
{
  struct ColtOwner *owner;
  uint32_t id;
  uint32_t rack;
  char address[COLT_ADDRESS_SIZE];
  bool listed;  /**< in the newest list of the platform */
  bool leaving; /**< according to the list or the server's description */
  struct ColtBackendDriver *driver;
  struct ColtServerLease *lease;
  struct event *timer;
  struct ColtResources capacity;
  struct ColtResources reserved;   /**< limits of tasks running or accepted */
  GQueue shards[COLT_SHARD_COUNT]; /**< of struct ColtOwnerTask, by link */
  GQueue queue;       /**< of struct ColtOwnerTask to start, not owned */
  GQueue stops;       /**< of struct ColtTaskRef to stop, owned */
  GQueue unconfirmed; /**< of struct ColtTaskRef to look up, owned */
  GArray *resizes;    /**< of struct ColtBackendResize to send */
  uint32_t running;
  uint64_t inventory_call; /**< open call of the lease for the inventory */
  uint64_t events_call;    /**< open call of the lease for events, or 0 */
  bool describe_open;      /**< a periodic describe is open */
  struct ColtPendingChange *change; /**< open change, or NULL */
  uint64_t next_event;  /**< position after which events are polled */
  int64_t renewed_us;   /**< when the leases of tasks were last renewed */
  int64_t described_us; /**< when the last describe ended */
  uint32_t failures;    /**< consecutive failed tasks */
  int64_t probation_until_us;
  int64_t probation_us; /**< duration of the last probation */
  uint32_t speed_permille;
  uint32_t known_since_s; /**< wall clock: the server has a record of every
                           * task that has run since then */
  bool digest_due;        /**< changed since its last digest */
};

/** Task events to be sent to one home, the leader of the tasks' shards. */
struct ColtHomeLink
{
  struct ColtOwner *owner;
  uint32_t instance; /**< 0: events of shards without a known leader */
  GQueue queue;      /**< of struct ColtPendingEvent, owned */
  bool in_flight;    /**< a batch was sent and is not answered yet */
  struct event *flush_timer;
  int64_t retry_us; /**< no batch is sent before this time */
};

/** Handles of the owner's counters. */
struct ColtOwnerCounters
{
  uint32_t accepted;
  uint32_t refused;
  uint32_t started;
  uint32_t ended;
  uint32_t failed;
  uint32_t fenced;
  uint32_t unconfirmed;
  uint32_t takeovers;
  uint32_t lost;
};

struct ColtOwner
{
  struct ColtOwnerParts parts;
  struct ColtShardOwner *shard_owner;
  struct ColtCreditHolder *credits;
  struct ColtOwnerTasks *tasks;
  GTree *servers;                     /**< number -> struct ColtOwnedServer */
  GHashTable *homes;                  /**< instance -> struct ColtHomeLink */
  uint32_t leaders[COLT_SHARD_COUNT]; /**< instance numbers, 0: unknown */
  uint32_t members[128];
  size_t member_count;
  GQueue credit_waiters; /**< of struct ColtOwnerTask that awaits credits,
                          * oldest first */
  struct event *timer;
  int64_t next_digest_us;
  int64_t next_expiry_us;
  GArray *lost_servers; /**< numbers of servers whose lease has ended since the
                         * last digest */
  bool stopping;
  struct ColtOwnerCounters counters;
};

/* owned_server.c */
struct ColtOwnedServer *
colt_owned_server_create (struct ColtOwner *owner,
                          const struct ColtListServer *listed);
void colt_owned_server_destroy (struct ColtOwnedServer *server);
/** Sets the server's timer to the wake time of its lease, at most a second
 * ahead. */
void colt_owned_server_arm_timer (struct ColtOwnedServer *server);
/** Returns whether the lease is held and new tasks may be started. */
bool colt_owned_server_accepts_work (const struct ColtOwnedServer *server,
                                     int64_t now_us);
/** Returns the capacity less what is reserved. */
struct ColtResources
colt_owned_server_available (const struct ColtOwnedServer *server);
/** Reserves a task's limit on its server, unless that was done before. */
void colt_owned_server_reserve (struct ColtOwnedServer *server,
                                struct ColtOwnerTask *task);
/** Undoes the reservation of a task and releases its credits. */
void colt_owned_server_unreserve (struct ColtOwnedServer *server,
                                  struct ColtOwnerTask *task);
/** Reports the end of an open call to the server's lease; returns whether the
 * call succeeded. */
bool colt_owned_server_end_call (struct ColtOwnedServer *server,
                                 uint64_t call,
                                 const struct ColtBackendStatus *status,
                                 const char *token);

/* owner_change.c */
/** Sends the next batch of changes, if there is one and none is open. */
void colt_owned_server_send_changes (struct ColtOwnedServer *server);
/** Detaches the open change, so that its result is ignored; the states of its
 * tasks stay. */
void colt_owned_server_detach_change (struct ColtOwnedServer *server);
/** Queues a stop of a task, or refuses the task if its start was never sent. */
void colt_owned_server_queue_stop (struct ColtOwnedServer *server,
                                   struct ColtOwnerTask *task);
/** Looks up on the server each task whose start got no answer. */
void colt_owned_server_look_up_unconfirmed (struct ColtOwnedServer *server);

/* owner_events.c */
/** Opens a long poll for the server's events if none is open and the lease is
 * held. */
void colt_owned_server_poll_events (struct ColtOwnedServer *server);
/** Records the end of a task and queues the event for its home. */
void colt_owner_record_end (struct ColtOwner *owner,
                            struct ColtOwnerTask *task,
                            const struct ColtTaskReport *report);
/** Marks a task as never run and queues the refusal for its home. */
void colt_owner_refuse_task (struct ColtOwner *owner,
                             struct ColtOwnerTask *task,
                             enum ColtPlacementRefusal refusal);
/** Records that a task runs and queues the event for its home. */
void colt_owner_record_start (struct ColtOwner *owner,
                              struct ColtOwnerTask *task);

/* home_link.c */
/** Queues an event of a task for the leader of its shard. \a report is copied,
 * with its result if \a kind is COLT_TASK_EVENT_ENDED. */
void colt_owner_queue_event (struct ColtOwner *owner,
                             const struct ColtTaskReport *report,
                             enum ColtTaskEventKind kind,
                             uint32_t server,
                             enum ColtPlacementRefusal refusal);
/** Sends events again whose delivery failed, when their retry is due. */
void colt_owner_resend_events (struct ColtOwner *owner, int64_t now_us);
/** Returns how many events are queued, each batch in flight counted as one. */
size_t colt_owner_count_pending_events (const struct ColtOwner *owner);
/** Frees a struct ColtHomeLink and its queued events. */
void colt_home_link_free (gpointer data);

/* owner.c */
/** Returns whether the lease on any server is valid. */
bool colt_owner_holds_any_lease (const struct ColtOwner *owner, int64_t now_us);

/* owner_credit.c */
/** Charges a task to the credits of its team; returns false if the credits do
 * not suffice. */
bool colt_owner_acquire_credits (struct ColtOwner *owner,
                                 struct ColtOwnerTask *task);
/** Charges a task that already runs on a server taken over, also beyond the
 * credits. */
void colt_owner_adopt_credits (struct ColtOwner *owner,
                               struct ColtOwnerTask *task);
/** Releases the credits of a task, if it holds any. */
void colt_owner_release_credits (struct ColtOwner *owner,
                                 struct ColtOwnerTask *task);
/** Returns whether one more task of a team may wait for credits. */
bool colt_owner_may_await_credits (const struct ColtOwner *owner,
                                   const char *team);
/** Makes a task wait for credits and requests them from the leader of its
 * team's shard. */
void colt_owner_await_credits (struct ColtOwner *owner,
                               struct ColtOwnerTask *task);
/** Ends a task's wait for credits, if it waits. */
void colt_owner_cancel_credit_wait (struct ColtOwner *owner,
                                    struct ColtOwnerTask *task);
/** Refuses tasks whose wait for credits has timed out. */
void colt_owner_expire_credit_waits (struct ColtOwner *owner, int64_t now_us);
/** Refuses tasks that wait for credits to start on a lost server. */
void colt_owner_refuse_credit_waits (struct ColtOwner *owner,
                                     const struct ColtOwnedServer *server);

/* owner_place.c */
/** Sets the handlers of messages from homes and owners on the wire. */
void colt_owner_set_handlers (struct ColtOwner *owner);

/* owner_digest.c */
/** Sends a digest of the servers held to every member: of all of them if \a
 * full is set, otherwise of those that have changed. */
void
colt_owner_send_digest (struct ColtOwner *owner, int64_t now_us, bool full);

/* owner_health.c */
/** Counts consecutive failures when a task has ended, and puts the server on
 * probation after too many. */
void colt_owned_server_update_health (struct ColtOwnedServer *server,
                                      const struct ColtTaskReport *report,
                                      int64_t now_us);
/** Returns the share of the usual work that the server may be given, in
 * thousandths: 0 on probation, 1000 if healthy. */
uint32_t
colt_owned_server_probation_permille (const struct ColtOwnedServer *server,
                                      int64_t now_us);

#endif
