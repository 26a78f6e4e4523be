/**
 * \file
 * \brief The requests that an instance answers for, as lead of their shards.
 *
 * The table decides what each request does next. It does no I/O: the client
 * finds backend servers, sends starts to their owners, and tells the table
 * what came of them. Every function takes the monotonic time.
 *
 * A task of a non-idempotent request is started again only when every earlier
 * attempt certainly never ran. A refusal with COLT_OUTCOME_NOT_RUN is given
 * only when that holds for all tasks.
 */
#ifndef COLTSFOOTSTILE_REQUEST_H
#define COLTSFOOTSTILE_REQUEST_H

#include "coltsfootstile/reason.h"
#include "coltsfootstile/task.h"

/** How long the table keeps what it knows of an ended request, in seconds. */
#define COLT_REQUEST_RETENTION_S 600
/** How long it keeps the results themselves, in seconds. */
#define COLT_RESULT_RETENTION_S 60
/** Largest difference between the wall clocks of two instances, in seconds. */
#define COLT_CLOCK_SKEW_S 5
/** Requests that one instance holds open at most. */
#define COLT_REQUEST_OPEN_MAX 20000u
/** Bytes of payloads that one instance holds at most. */
#define COLT_REQUEST_BYTES_MAX (16u * 1024 * 1024)
/** Bytes of results of ended requests that one instance holds at most; beyond
 * it those that ended first are dropped, and fetched again when asked for. */
#define COLT_RESULT_BYTES_MAX (8u * 1024 * 1024)
/** Largest payload of a request in bytes. */
#define COLT_PAYLOAD_MAX (256u * 1024)
/** Delay before the first retry in microseconds; doubles with each. */
#define COLT_RETRY_DELAY_US INT64_C (50000)
/** Longest delay between retries in microseconds. */
#define COLT_RETRY_DELAY_MAX_US INT64_C (5000000)
/** Instances that may wait for one request's answer. */
#define COLT_REQUEST_WAITERS_MAX 4u

/** What a caller asks for. */
struct ColtRequestSpec
{
  char team[COLT_NAME_SIZE];
  char queue[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources demand; /**< of each task */
  uint32_t tasks;              /**< 1 to COLT_TASKS_PER_REQUEST_MAX */
  bool idempotent;
  bool urgent;
  bool durable;           /**< accepted for later: it is on the log */
  uint32_t max_attempts;  /**< of an idempotent task, at least 1 */
  int64_t run_ms;         /**< declared run time, 0 if not declared */
  int64_t deadline_us;    /**< monotonic, COLT_TIME_NEVER for none */
  const uint8_t *payload; /**< copied */
  size_t payload_size;
};

/** Where a task stands. */
enum ColtRequestTaskState
{
  COLT_REQUEST_TASK_WAITING, /**< wants a backend server */
  COLT_REQUEST_TASK_DELAYED, /**< waits before its next attempt */
  COLT_REQUEST_TASK_SENT,    /**< an owner was asked to start it */
  COLT_REQUEST_TASK_RUNNING,
  COLT_REQUEST_TASK_ENDED
};

/** Names of enum ColtRequestTaskState, indexed by it. */
extern const char *const colt_request_task_state_string[];

/** One task of a request. */
struct ColtRequestTask
{
  enum ColtRequestTaskState state;
  uint32_t attempt;     /**< newest, 0 before the first */
  uint32_t runs;        /**< attempts that ran or may have run */
  uint32_t server;      /**< of the newest attempt */
  uint64_t shard_epoch; /**< under which the newest attempt was sent */
  uint64_t server_epoch;
  enum ColtTaskState end; /**< once ended */
  bool uncertain;         /**< ended without its end being seen */
  int exit_status;
  int64_t run_ms;
  bool result_known; /**< false until the result came, or once dropped */
  uint8_t *result;
  size_t result_size;
};

/** A request. */
struct ColtRequest
{
  struct ColtId id;
  struct ColtRequestSpec spec; /**< the payload belongs to the request */
  uint64_t fingerprint;        /**< of the caller's words, if known */
  bool recovered;              /**< known from backend servers alone */
  bool doubtful; /**< an earlier lead may have run it and left no trace */
  bool cancelled;
  bool expired; /**< its deadline passed while it ran */
  enum ColtOutcome outcome;
  enum ColtReason reason;
  int64_t arrived_us;
  int64_t started_us; /**< first start, -1 before */
  int64_t ended_us;
  struct ColtRequestTask *tasks; /**< spec.tasks of them */
  uint32_t open_tasks;
  uint32_t waiters[COLT_REQUEST_WAITERS_MAX]; /**< instance numbers */
  unsigned waiter_count;
};

/** What the client of a request table does for it. */
struct ColtRequestCalls
{
  /** A task wants a backend server. */
  void (*ready) (void *client,
                 const struct ColtRequest *request,
                 uint32_t index);
  /** A task that was ready no longer wants one. */
  void (*unready) (void *client,
                   const struct ColtRequest *request,
                   uint32_t index);
  /** A task that was sent or runs is to be stopped. */
  void (*stop) (void *client,
                const struct ColtRequest *request,
                uint32_t index);
  /** A request has ended; the table keeps it for a while. */
  void (*ended) (void *client, const struct ColtRequest *request);
  /** Takes one retry from a team's budget; returns false if it is spent. */
  bool (*take_retry) (void *client, const char *team, int64_t now_us);
  /** Returns a random number. */
  uint32_t (*random) (void *client);
};

/** How a submission was taken. */
enum ColtSubmitStatus
{
  COLT_SUBMIT_ACCEPTED, /**< new, and queued */
  COLT_SUBMIT_KNOWN,    /**< known already; see its outcome */
  COLT_SUBMIT_NOT_RUN,  /**< refused for good; nothing ran */
  COLT_SUBMIT_UNKNOWN,  /**< refused; it may have run */
  COLT_SUBMIT_NOT_LEAD  /**< this instance doesn't lead the shard now */
};

/** Names of enum ColtSubmitStatus, indexed by it. */
extern const char *const colt_submit_status_string[];

/** The table. */
struct ColtRequests;

/** Creates an empty table that leads no shard. */
struct ColtRequests *colt_requests_create (const struct ColtRequestCalls *calls,
                                           void *client);

/** Destroys a table; nothing is told any more. NULL is allowed. */
void colt_requests_destroy (struct ColtRequests *requests);

/**
 * Begins to answer for a shard.
 *
 * \param epoch          the shard's epoch
 * \param reports        every task of the shard that runs or ended lately
 *
 * The reports count as complete for no time at all until
 * colt_requests_set_known_since() says more.
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
 * Sets the wall-clock second since which a shard's reports are complete: a
 * non-idempotent request with an older id may have run without a trace.
 */
void colt_requests_set_known_since (struct ColtRequests *requests,
                                    uint32_t shard,
                                    uint32_t known_since_s);

/** Stops to answer for a shard and forgets its requests. */
void colt_requests_close_shard (struct ColtRequests *requests, uint32_t shard);

/** Returns a shard's epoch, 0 if this instance doesn't lead it. */
uint64_t colt_requests_shard_epoch (const struct ColtRequests *requests,
                                    uint32_t shard);

/**
 * Takes a request.
 *
 * \param fresh   the id is certainly new: nobody has ever forwarded it
 * \param waiter  instance that waits for the answer, 0 for none
 * \param wall_s  wall-clock seconds, to judge the age of the id
 * \param reason  set unless accepted or known
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
 * Returns whether non-idempotent work has an id so old that the request may
 * have run and been forgotten. Work that a caller hands in for later must be
 * judged by this before it is put on the log; work taken from there need not.
 */
bool colt_request_expired (const struct ColtId *id,
                           const struct ColtRequestSpec *spec,
                           uint32_t wall_s);

/**
 * Ends a request that is known from backend servers alone and has no task that
 * runs, with the outcome that an earlier lead has made durable.
 */
void colt_requests_conclude (struct ColtRequests *requests,
                             const struct ColtId *id,
                             enum ColtOutcome outcome,
                             int64_t now_us);

/** Cancels a request; does nothing if it has ended or is unknown. */
void colt_requests_cancel (struct ColtRequests *requests,
                           const struct ColtId *id,
                           int64_t now_us);

/**
 * Ends a request that no server will be found for, as COLT_OUTCOME_NOT_RUN or,
 * if an earlier lead may have run it, as COLT_OUTCOME_UNKNOWN.
 *
 * \return false, with nothing done, if it has ended or is unknown, or if a
 *         task of it was sent, runs, or ever ran
 */
bool colt_requests_refuse_waiting (struct ColtRequests *requests,
                                   const struct ColtId *id,
                                   enum ColtReason reason,
                                   int64_t now_us);

/** Finds a request, or returns NULL; valid until the next call. */
const struct ColtRequest *
colt_requests_find (const struct ColtRequests *requests,
                    const struct ColtId *id);

/** Adds an instance that waits for the answer; false if it is unknown. */
bool colt_requests_add_waiter (struct ColtRequests *requests,
                               const struct ColtId *id,
                               uint32_t waiter);

/**
 * A task is about to be sent to the owner of a backend server.
 *
 * \param ref  set to the attempt to send
 * \return false if the task doesn't wait for a server (any more)
 */
bool colt_requests_send (struct ColtRequests *requests,
                         const struct ColtId *id,
                         uint32_t index,
                         uint32_t server,
                         uint64_t server_epoch,
                         struct ColtTaskRef *ref);

/**
 * An attempt was refused: it never ran and never will.
 *
 * \param shard_epoch  under which the attempt was sent: the next lead of the
 *                     shard may count attempts anew
 */
void colt_requests_refused (struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            int64_t now_us);

/** An attempt that was sent under \a shard_epoch runs. */
void colt_requests_started (struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            int64_t now_us);

/** An attempt has ended; one that is not the newest by its number and shard
 * epoch is ignored. For an attempt
 * whose end is known already, a result that was missing is filled in. */
void colt_requests_ended (struct ColtRequests *requests,
                          const struct ColtTaskReport *report,
                          int64_t now_us);

/**
 * A backend server has a new owner, whose inventory for a shard is complete:
 * attempts sent at a lower epoch that it doesn't name never ran, or were lost.
 * Tasks of requests that the table doesn't know are recovered.
 */
void colt_requests_server_reported (struct ColtRequests *requests,
                                    uint32_t shard,
                                    uint32_t server,
                                    uint64_t server_epoch,
                                    const struct ColtTaskReport *reports,
                                    size_t count,
                                    int64_t now_us);

/** A backend server is gone, and the leases of its tasks have lapsed. */
void colt_requests_server_gone (struct ColtRequests *requests,
                                uint32_t shard,
                                uint32_t server,
                                int64_t now_us);

/** Ends what is past its deadline, retries, and forgets what is old. */
void colt_requests_step (struct ColtRequests *requests, int64_t now_us);

/** Numbers for the state dump. */
struct ColtRequestStats
{
  uint32_t open;
  uint32_t recovered; /**< of the open ones, those known from servers alone */
  uint32_t waiting;
  uint32_t sent;
  uint32_t running;
  uint32_t kept; /**< ended, not yet forgotten */
  size_t payload_bytes;
  size_t result_bytes;
};

/** Reads the numbers. */
void colt_requests_get_stats (const struct ColtRequests *requests,
                              struct ColtRequestStats *stats);

/** Calls \a visit for each request, in no order. */
void colt_requests_visit (const struct ColtRequests *requests,
                          void (*visit) (void *client,
                                         const struct ColtRequest *request),
                          void *client);

#endif
