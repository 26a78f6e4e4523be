/**
 * \file
 * \brief A cell: jobs, the backend servers that run them, and the placement of
 * tasks on servers.
 *
 * A cell is a state machine without I/O. Its owner, the leader, passes in
 * requests of callers, reports of backend servers and replies of the adviser,
 * each with the monotonic time, and the cell sends its orders through the
 * callbacks of struct ColtCellOps. State that has to survive the leader is
 * returned as records (colt_cell_take_records()); a later leader restores the
 * cell from them and from the reports of the servers.
 *
 * A job consists of steps, a step of tasks with equal requirements. A job may
 * repeat its steps at an interval; each repetition is an occurrence. A run is
 * one execution of a task on a server; the runs of a task are numbered. The
 * tasks of a gang run together, and a lasting task runs until its job is
 * cancelled. A job's objective is the time within which it should end, counted
 * from its arrival.
 *
 * A server runs tasks under leases, which the leader renews. An incarnation of
 * a server lasts from one start of its process to the next.
 *
 * Times are microseconds of a monotonic clock, except those whose name ends in
 * wall_ms, which are milliseconds since 1970. A cell isn't thread-safe.
 */
#ifndef COLTSFOOTSTILE_CELL_H
#define COLTSFOOTSTILE_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/cell.pb-c.h"
#include "coltsfootstile/fleet.h"
#include "coltsfootstile/resources.h"

/** Length of a job's id in hexadecimal digits. */
#define COLT_JOB_ID_LENGTH 16

/** Largest number of tasks of one job, over all its occurrences. */
#define COLT_JOB_TASKS_MAX 20000u

/** State of a job. */
enum ColtJobState
{
  COLT_JOB_QUEUED,    /**< no task has been started */
  COLT_JOB_RUNNING,   /**< a task has been started */
  COLT_JOB_COMPLETED, /**< all tasks are done */
  COLT_JOB_FAILED,    /**< a task has failed max_attempts times, or the servers
                           that started it crashed again and again */
  COLT_JOB_CANCELLED  /**< cancelled by its caller */
};

/** Names of enum ColtJobState, indexed by it. */
extern const char *const colt_job_state_string[];

/** How a run of a task ended on its server. */
enum ColtRunEnd
{
  COLT_RUN_DONE,    /**< its work is complete */
  COLT_RUN_FAILED,  /**< through a fault of the task or of the server */
  COLT_RUN_STOPPED, /**< by a stop order, or never started */
  COLT_RUN_LAPSED,  /**< its lease expired, or its server was lost */
  COLT_RUN_BROKEN,  /**< another task of its gang ended */
  COLT_RUN_ALONE    /**< the rest of its gang didn't start in time */
};

/** Names of enum ColtRunEnd, indexed by it. */
extern const char *const colt_run_end_string[];

/** Result of a start order. */
enum ColtStartResult
{
  COLT_START_TAKEN,      /**< accepted */
  COLT_START_NO_ROOM,    /**< rejected: the run exceeds the server's capacity */
  COLT_START_BAD_TICKET, /**< rejected: the ticket is invalid */
  COLT_START_STALE,      /**< rejected: this run or a later one of the task was
                              stopped or has ended */
  COLT_START_LATE,       /**< rejected: the lease had expired on arrival */
  COLT_START_FENCED,     /**< rejected: the server follows a later leader */
  COLT_START_BUSY,       /**< rejected: the server is unhealthy */
  COLT_START_INVALID,    /**< rejected: the server can't interpret the order */
  COLT_START_GONE,       /**< another incarnation answers at the address */
  COLT_START_NOT_SENT,   /**< the order wasn't sent */
  COLT_START_UNKNOWN     /**< no reply: the order may still take effect */
};

/** Names of enum ColtStartResult, indexed by it. */
extern const char *const colt_start_result_string[];

/** Result of submitting a job. */
enum ColtSubmitResult
{
  COLT_SUBMIT_NEW,      /**< accepted; acknowledge it once it is durable */
  COLT_SUBMIT_PENDING,  /**< already accepted, not durable yet */
  COLT_SUBMIT_KNOWN,    /**< already accepted and durable */
  COLT_SUBMIT_INVALID,  /**< rejected: malformed id, steps or task counts, or
                             its specification exceeds a record */
  COLT_SUBMIT_NO_QUEUE, /**< rejected: the configuration has no such queue */
  COLT_SUBMIT_TOO_LATE, /**< rejected: it is nearly sure to end too late to be
                             of use; see colt_cell_retry_after_ms() */
  COLT_SUBMIT_FULL /**< rejected: the cell has too many jobs, or is dropping one
                      with this id */
};

/** Names of enum ColtSubmitResult, indexed by it. */
extern const char *const colt_submit_result_string[];

/** Description of a backend server; strings belong to the caller. */
struct ColtServerEntry
{
  const char *id;
  const char *service;       /**< name of the service that it belongs to */
  const char *address;       /**< IP:PORT */
  const char *zone;          /**< its availability zone */
  bool ready;                /**< false while it drains */
  int64_t incarnation_ms;    /**< wall-clock start of this incarnation in
                           milliseconds    since 1970; 0: not reported */
  struct ColtResources room; /**< its capacity */
  int64_t cold_ms; /**< how much longer it is slow after its start; 0: it isn't
                    */
  const char *const *labels; /**< ended by NULL; may be NULL */
};

/** A run that a server reports as running. */
struct ColtRunningEntry
{
  const char *task;       /**< name: JOB.OCCURRENCE.STEP.INDEX */
  uint32_t run;           /**< number of the run */
  const char *checkpoint; /**< newest checkpoint; "" if there is none */
  int64_t percent; /**< of its work that is done, 0 to 100; 100 for a lasting
                        task that is in service */
};

/** A run that a server reports as ended. */
struct ColtFinishedEntry
{
  uint64_t number;  /**< of the end; rises from 1 within an incarnation */
  const char *task; /**< name: JOB.OCCURRENCE.STEP.INDEX */
  uint32_t run;     /**< number of the run */
  enum ColtRunEnd how;
  const char *checkpoint; /**< last checkpoint; "" if there is none */
};

/** A server's report of its runs; arrays belong to the caller. */
struct ColtServerReport
{
  int64_t incarnation_ms; /**< start of the incarnation that reports, in Unix
                               milliseconds; 0: unknown */
  uint64_t call_number; /**< number of the call that requested the report; rises
                             with each call to the server */
  const struct ColtRunningEntry *running;
  size_t running_count;
  const struct ColtFinishedEntry *finished; /**< in the order of their ends */
  size_t finished_count;
  /** There may be further ended runs, which the server lists only once it may
   * forget these: a run that isn't listed may be one of them. */
  bool may_have_more;
};

/** A start order; valid only during the callback. */
struct ColtStartOrder
{
  const char *server;     /**< id */
  const char *task;       /**< name: JOB.OCCURRENCE.STEP.INDEX */
  uint32_t run;           /**< number of the run */
  const char *payload;    /**< the job's, as submitted */
  const char *checkpoint; /**< checkpoint to resume from; "" if there is none */
  const char *ticket;     /**< the adviser's; NULL if none is needed */
};

/** Callbacks by which a cell sends orders and logs decisions. */
struct ColtCellOps
{
  /** Sends a start order; pass its result to colt_cell_apply_start_result(). */
  void (*start) (void *client, const struct ColtStartOrder *order);
  /** Sends a stop order; pass its result to colt_cell_apply_stop_result(). */
  void (*stop) (void *client,
                const char *server,
                const char *task,
                uint32_t run);
  /**
   * Requests advice on which of \a servers may run a step; pass the reply to
   * colt_cell_apply_advice().
   *
   * \param call     identifies the call, also among those of the cells of other
   *                 generations
   * \param step     name: JOB.OCCURRENCE.STEP
   * \param servers  ids of \a count servers; valid only during the callback
   * \return         false if all advisers are busy
   */
  bool (*advise) (void *client,
                  uint64_t call,
                  const char *step,
                  const char *const *servers,
                  size_t count);
  /** Logs a decision. \a job is an id or NULL, \a what names the decision and
   * \a detail gives its circumstances. */
  void (*log_decision) (void *client,
                        const char *job,
                        const char *what,
                        const char *detail);
  /** Logs a fault of the cell as an error, with the same arguments. */
  void (*log_fault) (void *client,
                     const char *job,
                     const char *what,
                     const char *detail);
  /** Receives the error of a forecast once its job starts, in microseconds;
   * may be NULL. */
  void (*measure_forecast) (void *client, int64_t error_us);
};

/** Limits of a cell; docs/OPERATIONS.md gives the reasons for their values. */
struct ColtCellLimits
{
  int64_t status_us;           /**< retention time of an ended job's state */
  int64_t stop_retry_us;       /**< retry interval of a stop without a reply */
  uint32_t advice_servers_max; /**< most servers named in an advice call */
  uint32_t gang_advice_servers_max; /**< most servers named in the later advice
                                         calls of a gang whose first call didn't
                                         let it start */
  size_t
      record_bytes_max; /**< largest value of a record, in bytes; the progress
                             of a wide job takes several. 0: no limit */
  int64_t run_wait_us;  /**< longest time from the order of a start to its
                             result, with what an unreachable server takes to
                             lose its leases; 0: not checked */
  int64_t half_life_us; /**< of organisations' past use, which delays their
                             waiting work; 0: it doesn't count */
  int64_t wait_max_us;  /**< longest delay for past use: a job is passed only by
                             jobs that arrive less than this after it; 0 or more
                         */
  bool forecasts;     /**< rejects jobs that are nearly sure to end too late */
  int64_t created_us; /**< time of creation; used only by the forecast */
};

/** A record to store under a key. */
struct ColtCellRecord
{
  char *key;
  uint8_t *value; /**< NULL: delete the key */
  size_t size;    /**< of \a value in bytes */
};

/** A cell; created by colt_cell_create(). */
struct ColtCell;
struct ColtCellServer;

/**
 * Creates an empty cell.
 *
 * \param ops         callbacks; must stay valid as long as the cell
 * \param client      first argument of the callbacks
 * \param limits      copied
 * \param generation  number of earlier leaders; sets the first run number of
 *                    jobs that they accepted, so that numbers of different
 *                    leaders don't collide
 * \return            the cell, to be freed with colt_cell_destroy()
 */
struct ColtCell *colt_cell_create (const struct ColtCellOps *ops,
                                   void *client,
                                   const struct ColtCellLimits *limits,
                                   uint32_t generation);

/** Frees a cell; NULL is allowed. */
void colt_cell_destroy (struct ColtCell *cell);

/** Applies a configuration; the cell keeps a reference to it. Queues that it
 * lacks reject new jobs, while their existing jobs continue. */
void colt_cell_set_fleet (struct ColtCell *cell, struct ColtFleet *fleet);

/**
 * Loads a record of an earlier leader. Records of specifications (keys that
 * begin with 's') have to be loaded before those of progress ('p'), which apply
 * to them; those of past use ('u') may be loaded at any time. Records with
 * other keys are ignored.
 *
 * \param value  \a size bytes; the caller keeps them
 * \return       false if the record is malformed or repeats a specification
 */
bool colt_cell_load (struct ColtCell *cell,
                     const char *key,
                     const uint8_t *value,
                     size_t size,
                     int64_t now_us,
                     int64_t wall_ms);

/**
 * Ends loading. A task that a server may run under an earlier leader's order
 * isn't started until that server has reported, colt_cell_end_server_runs() has
 * been called for it, or \a settle_deadline_us has passed.
 */
void colt_cell_finish_loading (struct ColtCell *cell,
                               int64_t settle_deadline_us);

/**
 * Submits a job.
 *
 * \param spec  allocated by protobuf-c; the cell takes ownership if it returns
 *              COLT_SUBMIT_NEW, and the caller keeps it otherwise
 * \return      whether the job was accepted, or why not
 */
enum ColtSubmitResult
colt_cell_submit (struct ColtCell *cell, ColtJobSpec *spec, int64_t now_us);

/** Returns the retry time in milliseconds for the job for which
 * colt_cell_submit() last returned COLT_SUBMIT_TOO_LATE. */
uint32_t colt_cell_retry_after_ms (const struct ColtCell *cell);

/** Notes that starts and ends are delayed, as while the log doesn't answer: the
 * forecast rejects nothing for a while. */
void colt_cell_distrust_forecast (struct ColtCell *cell, int64_t now_us);

/**
 * Cancels a job and stops its runs. A job that has ended stays as it is.
 *
 * \return false if there is no such job
 */
bool colt_cell_cancel (struct ColtCell *cell, const char *id, int64_t now_us);

/**
 * Removes a job that isn't durable and is in no batch of records, together with
 * its planned starts.
 *
 * \return false if there is no such job, or if it is or may become durable or
 *         has a run that was ordered
 */
bool colt_cell_withdraw (struct ColtCell *cell, const char *id);

/** Returns whether the cell has a job and a later leader would restore it. */
bool colt_cell_is_durable (const struct ColtCell *cell, const char *id);

/**
 * Returns whether a job's end is near: each task that isn't done has a run and
 * none is lasting, or the job has ended but its end isn't durable yet.
 *
 * \param ended  set to whether the job has ended
 */
bool
colt_cell_is_ending (const struct ColtCell *cell, const char *id, bool *ended);

/**
 * Gets the state of a job that may be shown to callers: an end is shown once it
 * is durable.
 *
 * \param state  set if there is such a job
 * \return       false if there is no such job
 */
bool colt_cell_get_state (const struct ColtCell *cell,
                          const char *id,
                          enum ColtJobState *state);

/** Returns how many durable jobs of a queue haven't started a task; 0 for an
 * unknown queue. */
uint64_t colt_cell_count_waiting_jobs (const struct ColtCell *cell,
                                       const char *queue);

/** Receives the number of a queue's waiting jobs. */
typedef void (*ColtCellWaiting) (void *client,
                                 const char *queue,
                                 uint64_t waiting);

/** Passes each queue with waiting jobs to \a handle. */
void colt_cell_list_waiting (const struct ColtCell *cell,
                             ColtCellWaiting handle,
                             void *client);

/** Adds a server or updates its description, which is copied. A later
 * incarnation ends the runs of the one before it as COLT_RUN_LAPSED. */
void colt_cell_set_server (struct ColtCell *cell,
                           const struct ColtServerEntry *entry,
                           int64_t now_us);

/**
 * Sets whether an availability zone is evacuated. Nothing is planned, ordered
 * or sent again on the servers of such a zone, also on those that are added
 * later; planned runs there end, others continue. The zone needn't have any
 * servers. Orders that wait to be sent have to be withdrawn by the caller; see
 * colt_cell_may_start().
 */
void colt_cell_set_evacuated (struct ColtCell *cell,
                              const char *zone,
                              bool evacuated,
                              int64_t now_us);

/** Returns whether a server is in an evacuated zone; false if the cell doesn't
 * know it. */
bool colt_cell_is_server_evacuated (const struct ColtCell *cell,
                                    const char *server);

/** Sets the time after which no start is ordered any more, as requests to
 * evacuate a zone may be unknown by then; initially there is none. Planned runs
 * that become durable after it end, and their tasks are planned anew. */
void colt_cell_set_order_deadline (struct ColtCell *cell, int64_t until_us);

/** Stops placing tasks on a server that is no longer listed; its runs
 * continue. */
void colt_cell_unlist_server (struct ColtCell *cell, const char *id);

/**
 * Applies a server's report: ends runs, confirms runs, adopts runs that an
 * earlier leader started, and stops runs that the cell has no record of.
 *
 * \return false if there is no such server
 */
bool colt_cell_apply_report (struct ColtCell *cell,
                             const char *id,
                             const struct ColtServerReport *report,
                             int64_t now_us);

/**
 * Applies the result of a start order. If the cell has no record of the run,
 * the result only counts in the statistics.
 *
 * \param next_call  number of the next call that requests the server's report,
 *                   the first whose report is sure to reflect the start
 */
void colt_cell_apply_start_result (struct ColtCell *cell,
                                   const char *server,
                                   const char *task,
                                   uint32_t run,
                                   enum ColtStartResult result,
                                   uint64_t next_call,
                                   int64_t now_us);

/**
 * Applies the result of a stop order; ignored if the cell has no record of the
 * run.
 *
 * \param answered   whether the server replied; otherwise the stop is retried
 * \param next_call  number of the next call that requests the server's report,
 *                   the first whose report is sure to reflect the stop
 */
void colt_cell_apply_stop_result (struct ColtCell *cell,
                                  const char *server,
                                  const char *task,
                                  uint32_t run,
                                  bool answered,
                                  uint64_t next_call,
                                  int64_t now_us);

/** Marks a server as unreachable: until it reports, it gets no starts, and
 * stops without a reply aren't retried. */
void colt_cell_set_unreachable (struct ColtCell *cell, const char *server);

/** Sets whether a server leaves calls unanswered: it gets no starts while it
 * does, and runs that are planned on it and aren't ordered yet end. That is no
 * evidence for the end of any other run. */
void colt_cell_set_suspected (struct ColtCell *cell,
                              const char *server,
                              bool suspected);

/** What shows, without a report, that runs on a server have ended. */
struct ColtServerLoss
{
  bool ended; /**< the server's process has ended; false: leases have expired */
  uint64_t call_number; /**< if \a ended: number of the call that showed it; it
                             counts for runs whose start had a result before */
  bool all; /**< counts for all runs; otherwise, unless \a ended, for those only
                 whose start was answered or that were listed */
};

/**
 * Ends those runs of a server as COLT_RUN_LAPSED for which a loss counts. The
 * server gets no starts until it reports. See colt_cell_end_server_runs() and
 * colt_cell_replace_server() for what the two kinds of loss mean.
 */
void colt_cell_apply_loss (struct ColtCell *cell,
                           const char *server,
                           const struct ColtServerLoss *loss,
                           int64_t now_us);

/** Ends all runs of a server as COLT_RUN_LAPSED, as its leases have expired. It
 * may only have been unreachable. It gets no starts until it reports. */
void colt_cell_end_server_runs (struct ColtCell *cell,
                                const char *server,
                                int64_t now_us);

/** The same for a server whose process has certainly ended, as its address
 * answers for another one or its entry shows a later start. Unless the server
 * was draining, it counts as crashed under those of its runs that hadn't lasted
 * yet: a job fails once several servers in a row have crashed under one of its
 * tasks. */
void colt_cell_replace_server (struct ColtCell *cell,
                               const char *server,
                               int64_t now_us);

/** Returns how many runs a server has or may have, including those that the
 * cell has no record of. */
size_t colt_cell_count_runs (const struct ColtCell *cell, const char *server);

/** Returns a server's handle, which stays valid as long as the cell; NULL if
 * the cell doesn't know the server. */
const struct ColtCellServer *colt_cell_server (const struct ColtCell *cell,
                                               const char *id);

/** Returns the same as colt_cell_count_runs(), without a search for the server.
 */
size_t colt_cell_count_server_runs (const struct ColtCellServer *server);

/** Returns whether a server has runs, or may have some under orders of an
 * earlier leader. */
bool colt_cell_may_have_runs (const struct ColtCell *cell, const char *server);

/** Returns whether the start of a run may be sent, also again: the run hasn't
 * ended, isn't being stopped, and its server isn't in an evacuated zone. */
bool colt_cell_may_start (const struct ColtCell *cell,
                          const char *server,
                          const char *task,
                          uint32_t run);

/** Returns the latest known start of a server's incarnation, in Unix
 * milliseconds; 0: not known. */
int64_t colt_cell_incarnation_ms (const struct ColtCell *cell,
                                  const char *server);

/**
 * Sets how many starts may be planned from now on; initially UINT32_MAX. Plans
 * that can't be sent soon would use up room and the validity of tickets, and
 * more important tasks that arrive meanwhile would wait behind them. A gang is
 * planned as a whole while any are left.
 */
void colt_cell_set_start_budget (struct ColtCell *cell, uint32_t starts);

/** Sets how many advice calls may be pending concurrently. */
void colt_cell_set_advisers (struct ColtCell *cell, uint32_t count);

/** Returns whether a server has a run that is being stopped, or a run, other
 * than of a lasting task, whose job's objective leaves little time beyond its
 * longest chain of steps. */
bool colt_cell_has_tight_runs (const struct ColtCell *cell, const char *server);

/**
 * Ends an advice call and applies its reply. If it contains advice, the servers
 * that the call named and that get no ticket count as unsuitable for the step.
 * The reply is ignored if the job has been removed meanwhile, or if the call is
 * one of an earlier leader's cell.
 *
 * \param call   as passed to advise()
 * \param reply  NULL if there was none; the caller keeps it
 */
void colt_cell_apply_advice (struct ColtCell *cell,
                             uint64_t call,
                             const ColtAdviceReply *reply,
                             int64_t now_us);

/** Plans the starts that are possible now, requests advice and stops
 * stragglers. A planned start is ordered once its record is durable. */
void
colt_cell_place_tasks (struct ColtCell *cell, int64_t now_us, int64_t wall_ms);

/** Retries stops without a reply, opens steps that are due and drops jobs that
 * ended longer than status_us ago. */
void colt_cell_tick (struct ColtCell *cell, int64_t now_us, int64_t wall_ms);

/**
 * Returns a batch of records of what has changed, the oldest changes first. At
 * most one batch may be pending: call colt_cell_confirm_batch() before the next
 * one.
 *
 * \param bytes_max  no job is added once the batch has this size
 * \return           array of struct ColtCellRecord, to be freed with
 *                   colt_cell_free_records()
 */
GArray *colt_cell_take_records (struct ColtCell *cell,
                                size_t bytes_max,
                                int64_t wall_ms);

/** Frees a batch of records. */
void colt_cell_free_records (GArray *records);

/** Confirms that the pending batch is durable and orders the starts that it
 * contains. */
void colt_cell_confirm_batch (struct ColtCell *cell, int64_t now_us);

/** Returns whether changes wait for the next batch. */
bool colt_cell_has_changes (const struct ColtCell *cell);

/** Returns the number of the latest change. Changes are numbered as they are
 * made; several of a job before a batch takes them may share one number. */
uint64_t colt_cell_last_change (const struct ColtCell *cell);

/** Returns whether batches have taken all changes up to a number. */
bool colt_cell_has_taken (const struct ColtCell *cell, uint64_t change);

/** Returns whether planned starts wait for the next batch. */
bool colt_cell_has_waiting_starts (const struct ColtCell *cell);

/** Returns whether the orders of earlier leaders are reconciled: each server
 * that may run tasks under them has reported or lost its leases, or the
 * deadline of colt_cell_finish_loading() has passed. */
bool colt_cell_is_settled (const struct ColtCell *cell);

/** Counters since the creation of a cell, and gauges of its present state. */
struct ColtCellStats
{
  uint64_t jobs;       /**< gauge: jobs, including ended ones that are kept */
  uint64_t open_steps; /**< gauge: steps with tasks that may be started */
  uint64_t runs;    /**< gauge: planned, starting, running or stopping runs */
  uint64_t servers; /**< gauge: servers, listed or not */
  uint64_t planned; /**< runs that were planned */
  uint64_t expired_tickets; /**< planned runs that weren't ordered, as their
                                 tickets had expired */
  uint64_t started;         /**< starts that were accepted */
  uint64_t ended[COLT_RUN_ALONE + 1]; /**< ended runs, by enum ColtRunEnd */
  uint64_t refused_starts; /**< starts with another result than accepted */
  uint64_t moved;    /**< stragglers that were stopped to start elsewhere */
  uint64_t given_up; /**< tasks given up after crashes of their servers */
  uint64_t stalled;  /**< faults: steps and runs found without an event that
                          their tasks could wait for, and released */
  uint64_t evacuated_zones;  /**< gauge: zones whose evacuation is requested */
  uint64_t evacuated_runs;   /**< gauge: runs that are left in these zones */
  uint64_t withdrawn_starts; /**< starts in evacuated zones that were planned
                                  before, and not sent */
  uint64_t reservations;     /**< gangs that got servers reserved */
  uint64_t reservations_ended; /**< reservations that ended without a start */
  uint64_t reserved_gangs;    /**< gauge: gangs that servers are reserved for */
  uint64_t rejected_too_late; /**< jobs rejected by the forecast */
};

/** Returns servers, organisations and open steps, those with tasks that may be
 * started, as JSON text, to be freed with free(). */
char *colt_cell_dump (const struct ColtCell *cell);

/** Returns each organisation's past use, its place by that and the delay of its
 * jobs as gauges in the Prometheus exposition format, to be freed with free();
 * empty if past use doesn't count. */
char *colt_cell_format_usage (const struct ColtCell *cell);

/** Copies the counters and gauges to \a stats. */
void colt_cell_get_stats (const struct ColtCell *cell,
                          struct ColtCellStats *stats);

#endif
