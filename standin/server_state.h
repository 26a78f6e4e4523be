/**
 * \file
 * \brief State of one stand-in backend server: its lease, tasks and events.
 *
 * The caller passes the time, in microseconds of one monotonic clock, which
 * never goes back. Before a change, it calls colt_standin_server_authorise() or
 * colt_standin_server_advance() with the time of the change, so that tasks that
 * are due have ended.
 */
#ifndef COLT_STANDIN_SERVER_STATE_H
#define COLT_STANDIN_SERVER_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"
#include "coltsfootstile/task.h"
#include "server_events.h"
#include "server_lease.h"
#include "task_run.h"

/** A backend server. */
struct ColtStandinServer;

/** Properties of a server. Only the speed can change. */
struct ColtStandinServerSpec
{
  uint32_t id;
  uint32_t zone;
  uint32_t rack;
  struct ColtResources capacity;
  double speed;         /**< 1 is the normal speed */
  int64_t usage_lag_us; /**< interval of usage samples; reported usage is
                         * one to two intervals old */
};

/** One attempt at a task. */
struct ColtStandinTask
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  enum ColtTaskState state;
  struct ColtResources usage; /**< last reported usage */
  int64_t start_us;
  int64_t end_us;   /**< COLT_TIME_NEVER while it runs */
  int64_t lease_us; /**< end of the task's lease */
  int exit_status;
  int64_t checkpoint_ms; /**< work done, saved when stopped; -1: none */
  uint8_t *payload;      /**< owned by the server */
  size_t payload_size;
  struct ColtStandinRun run;
  struct ColtResources sample; /**< usage to be reported next */
  int64_t next_sample_us;      /**< time of the next sample */
  int64_t end_event_seq;       /**< sequence number of the event of its end */
};

/** Changes of a server that are reported to its observer. */
enum ColtStandinNotice
{
  COLT_STANDIN_STARTED,       /**< a task was started */
  COLT_STANDIN_ENDED,         /**< a task ended */
  COLT_STANDIN_RESIZED,       /**< the limit of a task changed */
  COLT_STANDIN_DUPLICATE,     /**< a start of an attempt that is on record */
  COLT_STANDIN_REFUSED,       /**< a start was refused; the task never ran */
  COLT_STANDIN_OVERCOMMITTED, /**< limits exceed the capacity after a change */
  COLT_STANDIN_LEASED,        /**< the lease was acquired */
  COLT_STANDIN_RELEASED,      /**< the lease was released */
  COLT_STANDIN_LEAVING,       /**< the server started or stopped leaving */
  COLT_STANDIN_DOWN,          /**< the server was killed */
  COLT_STANDIN_NOTICE_COUNT   /**< number of notices, not a notice */
};

/** Names of enum ColtStandinNotice in records, indexed by it. */
extern const char *const colt_standin_notice_string[];

/**
 * Called for each notice.
 *
 * \param task    NULL if the notice is not about a task
 * \param reason  why a start was refused or a task was killed, else NULL
 */
typedef void (*ColtStandinObserver) (void *client,
                                     const struct ColtStandinServer *server,
                                     enum ColtStandinNotice notice,
                                     int64_t at_us,
                                     const struct ColtStandinTask *task,
                                     const char *reason);

/** Result of a change to a task. */
enum ColtStandinOutcome
{
  COLT_STANDIN_OUTCOME_STARTED,
  COLT_STANDIN_OUTCOME_DUPLICATE, /**< the attempt is on record already */
  COLT_STANDIN_OUTCOME_REFUSED,
  COLT_STANDIN_OUTCOME_STOPPED,
  COLT_STANDIN_OUTCOME_RESIZED,
  COLT_STANDIN_OUTCOME_ENDED,  /**< the task has ended already */
  COLT_STANDIN_OUTCOME_UNKNOWN /**< the server has no record of the task */
};

/** Names of enum ColtStandinOutcome, indexed by it. */
extern const char *const colt_standin_outcome_string[];

/**
 * Creates a server without tasks and without an owner.
 *
 * \param spec      copied
 * \param observer  called for each notice; may be NULL
 * \return          the server, to be destroyed with
 *                  colt_standin_server_destroy()
 */
struct ColtStandinServer *
colt_standin_server_create (const struct ColtStandinServerSpec *spec,
                            int64_t now_us,
                            ColtStandinObserver observer,
                            void *client);

/** Destroys a server; NULL is allowed. */
void colt_standin_server_destroy (struct ColtStandinServer *server);

/** Returns the properties of the server. */
const struct ColtStandinServerSpec *
colt_standin_server_spec (const struct ColtStandinServer *server);

/** Returns the lease on the server. */
const struct ColtStandinLease *
colt_standin_server_lease (const struct ColtStandinServer *server);

/** Returns the highest epoch seen of each of COLT_SHARD_COUNT shards. */
const uint64_t *
colt_standin_server_shard_epochs (const struct ColtStandinServer *server);

/**
 * Returns how far back the record of tasks reaches, in milliseconds: to the
 * creation or last kill of the server, but not beyond the retention time.
 */
int64_t colt_standin_server_history_ms (const struct ColtStandinServer *server,
                                        int64_t now_us);

/** Returns whether the server is leaving. */
bool colt_standin_server_is_leaving (const struct ColtStandinServer *server);

/** Returns the sum of the limits of all running tasks. */
const struct ColtResources *
colt_standin_server_used (const struct ColtStandinServer *server);

/** Ends tasks that are due, reports usage and drops expired tasks. */
void colt_standin_server_advance (struct ColtStandinServer *server,
                                  int64_t now_us);

/**
 * Returns when the next task end or usage sample is due, COLT_TIME_NEVER if
 * no task runs.
 */
int64_t
colt_standin_server_next_due_us (const struct ColtStandinServer *server);

/**
 * Acquires the lease for \a length_us microseconds.
 *
 * \return COLT_STANDIN_FENCED while the lease is held, or if \a epoch is not
 *         higher than each epoch granted before
 */
enum ColtStandinAccess
colt_standin_server_acquire_lease (struct ColtStandinServer *server,
                                   int64_t now_us,
                                   uint32_t owner,
                                   uint64_t epoch,
                                   int64_t length_us);

/**
 * Checks that a caller holds the lease, and extends the lease.
 *
 * \param token      0: check only; else the lease is extended to its length
 *                   after the time at which the token was issued, unless it
 *                   lasts longer already
 * \param length_us  new length of the lease; 0 keeps its length
 */
enum ColtStandinAccess
colt_standin_server_authorise (struct ColtStandinServer *server,
                               int64_t now_us,
                               uint64_t epoch,
                               int64_t token,
                               int64_t length_us);

/** Releases the lease; the caller must have been authorised. */
void colt_standin_server_release_lease (struct ColtStandinServer *server,
                                        int64_t now_us);

/** Issues a token; the caller must hold the lease. */
int64_t colt_standin_server_issue_token (const struct ColtStandinServer *server,
                                         int64_t now_us);

/**
 * Starts a task; the caller must have been authorised with \a token.
 *
 * \param token   the lease of the task counts from the token's issue
 * \param reason  set to the reason of a refusal, else to NULL
 */
enum ColtStandinOutcome
colt_standin_server_start_task (struct ColtStandinServer *server,
                                int64_t now_us,
                                int64_t token,
                                const struct ColtTaskStart *start,
                                const char **reason);

/** Stops a task; with \a checkpoint, the work done is saved. */
enum ColtStandinOutcome
colt_standin_server_stop_task (struct ColtStandinServer *server,
                               int64_t now_us,
                               const struct ColtTaskRef *ref,
                               bool checkpoint);

/** Changes the limit of a task. */
enum ColtStandinOutcome
colt_standin_server_resize_task (struct ColtStandinServer *server,
                                 int64_t now_us,
                                 const struct ColtTaskRef *ref,
                                 const struct ColtResources *limit);

/**
 * Extends the leases of all running tasks to \a length_us after the time at
 * which \a token was issued; longer leases stay.
 */
void colt_standin_server_renew_tasks (struct ColtStandinServer *server,
                                      int64_t token,
                                      int64_t length_us);

/**
 * Finds a task.
 *
 * \param ref  attempt 0 selects the highest attempt
 * \return     owned by the server; NULL if there is no record of the task
 */
const struct ColtStandinTask *
colt_standin_server_find_task (const struct ColtStandinServer *server,
                               const struct ColtTaskRef *ref);

/** Calls \a visit for each running or ended task on record. */
void colt_standin_server_visit_tasks (
    const struct ColtStandinServer *server,
    void (*visit) (void *client, const struct ColtStandinTask *task),
    void *client);

/** Returns the event queue, which is owned by the server. */
struct ColtStandinEvents *
colt_standin_server_events (const struct ColtStandinServer *server);

/** Changes the speed of the server, also for the tasks that run. */
void colt_standin_server_set_speed (struct ColtStandinServer *server,
                                    int64_t now_us,
                                    double speed);

/** Sets whether tasks that are started from now on fail immediately. */
void colt_standin_server_set_fail_all (struct ColtStandinServer *server,
                                       bool fail_all);

/** Sets whether the server reports that it is leaving. */
void colt_standin_server_set_leaving (struct ColtStandinServer *server,
                                      int64_t now_us,
                                      bool leaving);

/**
 * Stops all running tasks and discards tasks, events, lease and epochs, as a
 * crash of the server would.
 */
void colt_standin_server_kill (struct ColtStandinServer *server,
                               int64_t now_us);

#endif
