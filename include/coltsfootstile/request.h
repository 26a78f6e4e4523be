/**
 * \file
 * \brief Table of the requests whose shards this instance leads.
 *
 * The table is a state machine that decides what each request does next. It
 * does no I/O: its client chooses backend servers, sends starts to the owners
 * of the servers, and passes the results back to the table. Functions that
 * depend on the time take the monotonic clock in microseconds. Shards are below
 * COLT_SHARD_COUNT.
 *
 * A task of a non-idempotent request is started again only if every earlier
 * attempt certainly never ran. A request ends with COLT_OUTCOME_NOT_RUN only
 * if that holds for all of its tasks.
 */
#ifndef COLTSFOOTSTILE_REQUEST_H
#define COLTSFOOTSTILE_REQUEST_H

#include "coltsfootstile/reason.h"
#include "coltsfootstile/task.h"

/** Time for which the table keeps an ended request, in seconds. */
#define COLT_REQUEST_RETENTION_S 600
/** Time for which the table keeps an ended request's results, in seconds. */
#define COLT_RESULT_RETENTION_S 60
/** Largest difference between the wall clocks of two instances, in seconds. */
#define COLT_CLOCK_SKEW_S 5
/** Maximum number of open requests in one table, recovered ones not counted. */
#define COLT_REQUEST_OPEN_MAX 20000u
/** Maximum total size of the payloads in one table, in bytes. */
#define COLT_REQUEST_BYTES_MAX (16u * 1024 * 1024)
/** Maximum total size of the results of ended requests in one table, in bytes.
 * Above it, the results of the requests that ended first are dropped; they are
 * fetched again from the backend servers when a caller requests them. */
#define COLT_RESULT_BYTES_MAX (8u * 1024 * 1024)
/** Maximum size of a request's payload in bytes. */
#define COLT_PAYLOAD_MAX (256u * 1024)
/** Mean delay before the first retry in microseconds; doubles with each retry.
 * The actual delay is random, from 0.5 to 1.5 times the mean. */
#define COLT_RETRY_DELAY_US INT64_C (50000)
/** Maximum mean delay before a retry in microseconds. */
#define COLT_RETRY_DELAY_MAX_US INT64_C (5000000)
/** Maximum number of instances that wait for the answer to one request. */
#define COLT_REQUEST_WAITERS_MAX 4u

/** Specification of a request, as submitted by its caller. */
struct ColtRequestSpec
{
  char team[COLT_NAME_SIZE];
  char queue[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources demand; /**< of each task */
  uint32_t tasks;              /**< 1 to COLT_TASKS_PER_REQUEST_MAX */
  bool idempotent;
  bool urgent;
  bool durable;           /**< stored on the log to run later */
  uint32_t max_attempts;  /**< maximum runs of each task of an idempotent
                           * request, at least 1 */
  int64_t run_ms;         /**< declared run time, 0 if not declared */
  int64_t deadline_us;    /**< monotonic, COLT_TIME_NEVER for none */
  const uint8_t *payload; /**< copied by the table */
  size_t payload_size;
};

/** State of a task at the leader of its shard. */
enum ColtRequestTaskState
{
  COLT_REQUEST_TASK_WAITING, /**< queued until a backend server is chosen */
  COLT_REQUEST_TASK_DELAYED, /**< waits out the delay before a retry */
  COLT_REQUEST_TASK_SENT,    /**< start sent to an owner, not yet confirmed */
  COLT_REQUEST_TASK_RUNNING, /**< the newest attempt runs */
  COLT_REQUEST_TASK_ENDED    /**< gets no further attempt */
};

/** Names of enum ColtRequestTaskState, indexed by it. */
extern const char *const colt_request_task_state_string[];

/** One task of a request. */
struct ColtRequestTask
{
  enum ColtRequestTaskState state;
  uint32_t attempt;     /**< number of the newest attempt, 0 before the first */
  uint32_t runs;        /**< attempts that ran or may have run */
  uint32_t server;      /**< backend server of the newest attempt */
  uint64_t shard_epoch; /**< shard epoch at which that attempt was sent */
  uint64_t server_epoch;  /**< epoch of that server's lease; updated when a
                           * new owner reports that the attempt runs */
  enum ColtTaskState end; /**< how the newest attempt ended */
  bool uncertain; /**< ended, but whether it ran to its end is unknown */
  int exit_status;
  int64_t run_ms;
  bool result_known; /**< the result has arrived and has not been dropped */
  uint8_t *result;   /**< owned by the table, NULL if empty or unknown */
  size_t result_size;
};

/** A request in the table. */
struct ColtRequest
{
  struct ColtId id;
  struct ColtRequestSpec spec; /**< the request owns the payload */
  uint64_t fingerprint;        /**< hash of the specification, 0 if recovered */
  bool recovered;    /**< rebuilt from reports of backend servers; its caller's
                      * specification has not been received */
  bool may_have_run; /**< an earlier leader may have run it unrecorded */
  bool cancelled;
  bool expired; /**< its deadline passed before it ended */
  enum ColtOutcome outcome;
  enum ColtReason reason;
  int64_t arrived_us;
  int64_t started_us;            /**< time of the first start, -1 before it */
  int64_t ended_us;              /**< end or recovery; starts the retention */
  struct ColtRequestTask *tasks; /**< array of spec.tasks elements */
  uint32_t open_tasks;           /**< tasks that have not ended */
  uint32_t waiters[COLT_REQUEST_WAITERS_MAX]; /**< instances to answer */
  unsigned waiter_count;
};

/** Callbacks of a request table; all are required. */
struct ColtRequestCalls
{
  /** Queues a task until a backend server is chosen for it. */
  void (*queue_task) (void *client,
                      const struct ColtRequest *request,
                      uint32_t index);
  /** Removes a task from the queue. */
  void (*unqueue_task) (void *client,
                        const struct ColtRequest *request,
                        uint32_t index);
  /** Stops a task that was sent to an owner or runs. */
  void (*stop) (void *client,
                const struct ColtRequest *request,
                uint32_t index);
  /** Handles the end of a request, which stays in the table for
   * COLT_REQUEST_RETENTION_S. */
  void (*on_ended) (void *client, const struct ColtRequest *request);
  /** Takes one retry from a team's budget; returns false if none is left. */
  bool (*consume_retry) (void *client, const char *team, int64_t now_us);
  /** Returns a random number. */
  uint32_t (*random) (void *client);
};

/** Result of a submission. */
enum ColtSubmitStatus
{
  COLT_SUBMIT_ACCEPTED,  /**< added to the table as a new request */
  COLT_SUBMIT_KNOWN,     /**< the table has the request; see its outcome */
  COLT_SUBMIT_NOT_RUN,   /**< refused; it never ran and never will */
  COLT_SUBMIT_UNKNOWN,   /**< refused; the request may have run earlier */
  COLT_SUBMIT_NOT_LEADER /**< this instance isn't the leader of the shard */
};

/** Names of enum ColtSubmitStatus, indexed by it. */
extern const char *const colt_submit_status_string[];

/** A request table. */
struct ColtRequests;

/**
 * Creates an empty table in which no shard is open.
 *
 * \param calls   callbacks, which must outlive the table
 * \param client  passed to each callback
 */
struct ColtRequests *colt_requests_create (const struct ColtRequestCalls *calls,
                                           void *client);

/**
 * Destroys a table. The only callback made is ColtRequestCalls::unqueue_task,
 * for tasks that wait for a backend server. NULL is allowed.
 */
void colt_requests_destroy (struct ColtRequests *requests);

/**
 * Opens a shard that this instance leads, and recovers its requests from the
 * reports of the backend servers. An open shard is closed first.
 *
 * Until colt_requests_set_known_since() is called, every non-idempotent request
 * may have run unrecorded, unless it is submitted as fresh.
 *
 * \param epoch          the shard's epoch, at least 1
 * \param reports        tasks of the shard that run or ended recently; those of
 *                       other shards are ignored
 * \param servers        the backend server of each report
 * \param server_epochs  the epoch of each of these servers' leases
 * \param count          number of reports
 */
void colt_requests_open_shard (struct ColtRequests *requests,
                               uint32_t shard,
                               uint64_t epoch,
                               const struct ColtTaskReport *reports,
                               const uint32_t *servers,
                               const uint64_t *server_epochs,
                               size_t count,
                               int64_t now_us);

/**
 * Sets the wall-clock second since which the reports of a shard are complete. A
 * non-idempotent request with an older id may have run unrecorded;
 * COLT_CLOCK_SKEW_S is allowed for.
 */
void colt_requests_set_known_since (struct ColtRequests *requests,
                                    uint32_t shard,
                                    uint32_t known_since_s);

/** Closes a shard and removes its requests; their callers get no answer. */
void colt_requests_close_shard (struct ColtRequests *requests, uint32_t shard);

/** Returns a shard's epoch, 0 if it isn't open. */
uint64_t colt_requests_shard_epoch (const struct ColtRequests *requests,
                                    uint32_t shard);

/**
 * Submits a request. If its id is in the table already, the waiter is added to
 * that request; a recovered request gets the specification and continues.
 *
 * \param spec    copied, with its payload
 * \param fresh   the id is certainly new: it has never been forwarded before
 * \param waiter  instance that waits for the answer, 0 for none
 * \param wall_s  current wall-clock time in seconds, to compute the id's age
 * \param reason  set to the reason of a refusal, otherwise COLT_REASON_NONE
 */
enum ColtSubmitStatus colt_requests_submit (struct ColtRequests *requests,
                                            const struct ColtId *id,
                                            const struct ColtRequestSpec *spec,
                                            bool fresh,
                                            uint32_t waiter,
                                            uint32_t wall_s,
                                            int64_t now_us,
                                            enum ColtReason *reason);

/**
 * Returns whether a request is not idempotent and its id is so old that the
 * request may have run and been removed from the table. A durable request must
 * pass this check before it is written to the log; colt_requests_submit() skips
 * the check for durable requests, as they come from there.
 */
bool colt_request_id_is_expired (const struct ColtId *id,
                                 const struct ColtRequestSpec *spec,
                                 uint32_t wall_s);

/**
 * Ends a recovered request with the outcome that an earlier leader stored on
 * the log. Does nothing if the request is unknown, isn't recovered, has ended,
 * or has open tasks.
 */
void colt_requests_end_recovered (struct ColtRequests *requests,
                                  const struct ColtId *id,
                                  enum ColtOutcome outcome,
                                  int64_t now_us);

/** Cancels a request and stops its tasks; does nothing if the request has ended
 * or is unknown. */
void colt_requests_cancel (struct ColtRequests *requests,
                           const struct ColtId *id,
                           int64_t now_us);

/**
 * Ends a request that can't be placed on any backend server, as
 * COLT_OUTCOME_NOT_RUN or, if an earlier leader may have run it, as
 * COLT_OUTCOME_UNKNOWN.
 *
 * \return false, with nothing changed, if the request has ended, is unknown or
 *         recovered, or if one of its tasks was sent, runs, or ever ran
 */
bool colt_requests_refuse_waiting (struct ColtRequests *requests,
                                   const struct ColtId *id,
                                   enum ColtReason reason,
                                   int64_t now_us);

/** Finds a request, or returns NULL. The pointer is valid until the next call
 * that changes the table. */
const struct ColtRequest *
colt_requests_find (const struct ColtRequests *requests,
                    const struct ColtId *id);

/**
 * Adds an instance that waits for the answer to a request. It is ignored if it
 * is 0, waits already, or COLT_REQUEST_WAITERS_MAX others wait.
 *
 * \return false if the request is unknown
 */
bool colt_requests_add_waiter (struct ColtRequests *requests,
                               const struct ColtId *id,
                               uint32_t waiter);

/**
 * Begins a new attempt at a task; the client then sends the start to the owner
 * of the backend server.
 *
 * \param server_epoch  epoch of the server's lease
 * \param ref           set to the attempt
 * \return false if the task doesn't wait for a backend server
 */
bool colt_requests_begin_attempt (struct ColtRequests *requests,
                                  const struct ColtId *id,
                                  uint32_t index,
                                  uint32_t server,
                                  uint64_t server_epoch,
                                  struct ColtTaskRef *ref);

/**
 * Handles the refusal of an attempt that never ran and never will: its task is
 * queued again, or ends if the request was cancelled or its deadline passed. An
 * attempt that isn't the task's newest one is ignored.
 *
 * \param shard_epoch  shard epoch at which the attempt was sent, as attempts of
 *                     different leaders may have the same number
 */
void colt_requests_handle_refusal (struct ColtRequests *requests,
                                   const struct ColtTaskRef *ref,
                                   uint64_t shard_epoch,
                                   int64_t now_us);

/** Handles the start of an attempt that was sent at \a shard_epoch; ignored if
 * the attempt isn't the newest one of its task. */
void colt_requests_handle_start (struct ColtRequests *requests,
                                 const struct ColtTaskRef *ref,
                                 uint64_t shard_epoch,
                                 int64_t now_us);

/**
 * Handles the end of an attempt: its task is retried or ends. An attempt that
 * isn't the newest one of its task by number and shard epoch is ignored. If the
 * end was reported before without a result, the result is added.
 */
void colt_requests_handle_end (struct ColtRequests *requests,
                               const struct ColtTaskReport *report,
                               int64_t now_us);

/**
 * Handles the complete inventory of a backend server for a shard, taken by the
 * server's new owner. Of the attempts sent at a lower server epoch, those that
 * the inventory lacks are refused if their start wasn't confirmed, and lost if
 * they ran. Tasks of requests that the table lacks are recovered.
 *
 * \param server_epoch  epoch of the new owner's lease on the server
 * \param reports       the server's tasks that run or ended recently
 * \param count         number of reports
 */
void colt_requests_handle_inventory (struct ColtRequests *requests,
                                     uint32_t shard,
                                     uint32_t server,
                                     uint64_t server_epoch,
                                     const struct ColtTaskReport *reports,
                                     size_t count,
                                     int64_t now_us);

/** Handles the loss of a backend server, after the leases of its tasks have
 * expired: the attempts of the shard's tasks there may have run. */
void colt_requests_handle_server_loss (struct ColtRequests *requests,
                                       uint32_t shard,
                                       uint32_t server,
                                       int64_t now_us);

/** Runs the timers that are due: deadlines, delays before retries, and the
 * removal of old results and requests. */
void colt_requests_run_timers (struct ColtRequests *requests, int64_t now_us);

/** Statistics of a request table, for the state dump. */
struct ColtRequestStats
{
  uint32_t open;      /**< requests that have not ended */
  uint32_t recovered; /**< open requests without a caller's specification */
  uint32_t waiting;   /**< tasks that wait or are delayed */
  uint32_t sent;      /**< tasks whose start was sent */
  uint32_t running;   /**< tasks that run */
  uint32_t kept;      /**< ended requests still in the table */
  size_t payload_bytes;
  size_t result_bytes;
};

/** Gets the statistics of a table. */
void colt_requests_get_stats (const struct ColtRequests *requests,
                              struct ColtRequestStats *stats);

/** Calls \a visit for each request, in unspecified order. */
void colt_requests_visit (const struct ColtRequests *requests,
                          void (*visit) (void *client,
                                         const struct ColtRequest *request),
                          void *client);

#endif
