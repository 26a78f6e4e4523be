/**
 * \file
 * \brief What the files of the owner share.
 */
#ifndef COLTSFOOTSTILE_OWNER_PRIVATE_H
#define COLTSFOOTSTILE_OWNER_PRIVATE_H

#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/owner.h"
#include "coltsfootstile/request_messages.h"

/** A task that an owner knows. */
struct ColtOwnerTask
{
  struct ColtTaskRef ref;
  struct ColtOwnedServer *server; /**< NULL once the server is lost */
  uint32_t shard;
  uint64_t shard_epoch;
  uint32_t team; /**< number in the owner's list of team names */
  enum ColtWorkKind kind;
  enum ColtOwnerTaskState state;
  enum ColtTaskState end; /**< once ended */
  bool charged;           /**< counted in the server's ledger */
  bool credited;          /**< counted in the team's credits */
  bool wants_credit;      /**< accepted, but lacks credits */
  bool stopping;          /**< a stop is queued or was sent */
  bool maybe_sent;        /**< an earlier copy of the start had no answer */
  int exit_status;
  int64_t run_ms;
  int64_t accepted_us;
  int64_t started_us;
  int64_t ended_us; /**< ended, or known never to run */
  struct ColtResources limit;
  struct ColtResources usage;
  uint8_t *payload; /**< until it runs */
  size_t payload_size;
  GList link; /**< in the server's list of the task's shard */
};

/** The tasks of an owner. */
struct ColtOwnerTasks;

struct ColtOwnerTasks *colt_owner_tasks_create (void);
void colt_owner_tasks_destroy (struct ColtOwnerTasks *tasks);
struct ColtOwnerTask *colt_owner_tasks_find (const struct ColtOwnerTasks *tasks,
                                             const struct ColtTaskRef *ref);
/** Adds a task that is not there yet. */
struct ColtOwnerTask *colt_owner_tasks_add (struct ColtOwnerTasks *tasks,
                                            struct ColtOwnedServer *server,
                                            const struct ColtTaskRef *ref,
                                            const char *team,
                                            uint32_t shard);
void colt_owner_tasks_remove (struct ColtOwnerTasks *tasks,
                              struct ColtOwnerTask *task);
const char *colt_owner_tasks_team (const struct ColtOwnerTasks *tasks,
                                   const struct ColtOwnerTask *task);
/** Forgets tasks that ended before a time. */
void colt_owner_tasks_forget (struct ColtOwnerTasks *tasks, int64_t before_us);
/** Remembers that a task has ended, for colt_owner_tasks_forget(). */
void colt_owner_tasks_note_end (struct ColtOwnerTasks *tasks,
                                const struct ColtOwnerTask *task);
size_t colt_owner_tasks_count (const struct ColtOwnerTasks *tasks);
/** Fills a report of a task, without a result. */
void colt_owner_task_report (const struct ColtOwnerTasks *tasks,
                             const struct ColtOwnerTask *task,
                             struct ColtTaskReport *report);

/** A backend server of the zone, owned or not. */
struct ColtOwnedServer
{
  struct ColtOwner *owner;
  uint32_t id;
  uint32_t rack;
  char address[COLT_ADDRESS_SIZE];
  bool listed;
  bool leaving; /**< by the list's or the server's own word */
  struct ColtBackendDriver *driver;
  struct ColtServerLease *lease;
  struct event *timer;
  struct ColtResources capacity;
  struct ColtResources reserved;
  GQueue shards[COLT_SHARD_COUNT]; /**< links of struct ColtOwnerTask */
  GQueue queue;                    /**< tasks to start */
  GQueue stops;                    /**< struct ColtTaskRef to stop, owned */
  GQueue unsure;                   /**< struct ColtTaskRef to look up, owned */
  GArray *resizes;                 /**< of struct ColtBackendResize */
  uint32_t running;
  uint64_t inventory_call; /**< open call of the lease, while it is taken */
  uint64_t events_call;    /**< open call of the lease, while events wait */
  bool describing;
  struct ColtPendingChange *change; /**< open change, or NULL */
  uint64_t next_event;
  int64_t renewed_us; /**< when tasks' leases were last renewed */
  int64_t described_us;
  uint32_t failures; /**< tasks that failed in a row */
  int64_t probation_until_us;
  int64_t probation_us; /**< length of the last probation */
  uint32_t speed_permille;
  uint32_t known_since_s; /**< wall clock: the server remembers all since */
  bool digest_due;
};

/** Events that wait to be told to one home. */
struct ColtHomeLink
{
  struct ColtOwner *owner;
  uint32_t instance;
  GQueue queue; /**< of struct ColtPendingEvent */
  bool in_flight;
  struct event *flush;
  int64_t retry_us;
};

struct ColtOwnerCounters
{
  uint32_t accepted;
  uint32_t refused;
  uint32_t started;
  uint32_t ended;
  uint32_t failed;
  uint32_t fenced;
  uint32_t unsure;
  uint32_t takeovers;
  uint32_t lost;
};

struct ColtOwner
{
  struct ColtOwnerParts parts;
  struct ColtShardOwner *shard_owner;
  struct ColtCreditHolder *credits;
  struct ColtOwnerTasks *tasks;
  GTree *servers;    /**< id -> struct ColtOwnedServer */
  GHashTable *homes; /**< instance -> struct ColtHomeLink */
  uint32_t leads[COLT_SHARD_COUNT];
  uint32_t members[128];
  size_t member_count;
  GQueue wants_credit; /**< tasks accepted that lack credits, oldest first */
  struct event *timer;
  int64_t digest_us;
  int64_t forget_us;
  GArray *gone; /**< servers given up since the last digest */
  bool stopping;
  struct ColtOwnerCounters counters;
};

/* owned_server.c */
struct ColtOwnedServer *
colt_owned_server_create (struct ColtOwner *owner,
                          const struct ColtListServer *listed);
void colt_owned_server_destroy (struct ColtOwnedServer *server);
void colt_owned_server_arm (struct ColtOwnedServer *server);
bool colt_owned_server_takes_work (const struct ColtOwnedServer *server,
                                   int64_t now_us);
struct ColtResources
colt_owned_server_free (const struct ColtOwnedServer *server);
/** Charges a running or starting task to ledger and credits. */
void colt_owned_server_charge (struct ColtOwnedServer *server,
                               struct ColtOwnerTask *task);
/** Takes the charges back. */
void colt_owned_server_discharge (struct ColtOwnedServer *server,
                                  struct ColtOwnerTask *task);
/** Passes the end of a call under the lease on; returns whether it was good. */
bool colt_owned_server_end_call (struct ColtOwnedServer *server,
                                 uint64_t call,
                                 const struct ColtBackendStatus *status,
                                 const char *token);

/* owner_change.c */
/** Sends the next batch of changes, if there is one and none is open. */
void colt_owned_server_flush (struct ColtOwnedServer *server);
/** Forgets the open change; its tasks stay as they are. */
void colt_owned_server_drop_change (struct ColtOwnedServer *server);
void colt_owned_server_queue_stop (struct ColtOwnedServer *server,
                                   struct ColtOwnerTask *task);
/** Asks the server for the tasks whose start had no answer. */
void colt_owned_server_look_up_unsure (struct ColtOwnedServer *server);

/* owner_events.c */
/** Waits for the server's events, if the lease is held. */
void colt_owned_server_listen (struct ColtOwnedServer *server);
/** A task has ended or never ran; tells its home. */
void colt_owner_end_task (struct ColtOwner *owner,
                          struct ColtOwnerTask *task,
                          const struct ColtTaskReport *report);
void colt_owner_refuse_task (struct ColtOwner *owner,
                             struct ColtOwnerTask *task,
                             enum ColtPlacementRefusal refusal);
void colt_owner_start_task (struct ColtOwner *owner,
                            struct ColtOwnerTask *task);

/* home_link.c */
void colt_owner_tell (struct ColtOwner *owner,
                      const struct ColtTaskReport *report,
                      enum ColtTaskEventKind kind,
                      uint32_t server,
                      enum ColtPlacementRefusal refusal);
/** Sends again what failed and is due. */
void colt_owner_retry_homes (struct ColtOwner *owner, int64_t now_us);
size_t colt_owner_untold (const struct ColtOwner *owner);
void colt_home_link_free (gpointer data);

/* owner.c */
/** Returns whether the lease of any server runs. */
bool colt_owner_holds_any (const struct ColtOwner *owner, int64_t now_us);

/* owner_credit.c */
/** Takes credits for a task; returns false if there are not enough. */
bool colt_owner_take_credits (struct ColtOwner *owner,
                              struct ColtOwnerTask *task);
/** Counts a task that runs on a server taken over. */
void colt_owner_adopt_credits (struct ColtOwner *owner,
                               struct ColtOwnerTask *task);
/** Gives the credits of a task back, if it has any. */
void colt_owner_give_credits (struct ColtOwner *owner,
                              struct ColtOwnerTask *task);
/** Returns whether one more task of a team may wait for credits. */
bool colt_owner_may_want_credit (const struct ColtOwner *owner,
                                 const char *team);
/** Lets a task wait for credits that the lead is asked for. */
void colt_owner_want_credit (struct ColtOwner *owner,
                             struct ColtOwnerTask *task);
/** Takes a task out of the wait. */
void colt_owner_unwant_credit (struct ColtOwner *owner,
                               struct ColtOwnerTask *task);
/** Refuses what has waited for too long. */
void colt_owner_expire_credit (struct ColtOwner *owner, int64_t now_us);
/** Refuses what waits on a server that is lost. */
void colt_owner_refuse_credit (struct ColtOwner *owner,
                               const struct ColtOwnedServer *server);

/* owner_place.c */
void colt_owner_set_handlers (struct ColtOwner *owner);

/* owner_digest.c */
void
colt_owner_send_digest (struct ColtOwner *owner, int64_t now_us, bool whole);

/* owner_health.c */
void colt_owned_server_judge (struct ColtOwnedServer *server,
                              const struct ColtTaskReport *report,
                              int64_t now_us);
uint32_t colt_owned_server_probation (const struct ColtOwnedServer *server,
                                      int64_t now_us);

#endif
