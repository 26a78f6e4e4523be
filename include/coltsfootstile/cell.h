/**
 * \file
 * \brief A cell: jobs, the backend servers that run them, and the decisions.
 *
 * A cell is a state machine without I/O. It is told what callers, backend
 * servers and the adviser said, together with the monotonic time, and calls
 * its client for orders to be sent. Whatever must survive it is handed out as
 * records (colt_cell_take_records()); a later lead builds an equal cell from
 * them and from what the servers report.
 *
 * All times are microseconds of a monotonic clock, unless a name says
 * wall_ms: those are milliseconds since 1970.
 */
#ifndef COLTSFOOTSTILE_CELL_H
#define COLTSFOOTSTILE_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/cell.pb-c.h"
#include "coltsfootstile/fleet.h"
#include "coltsfootstile/resources.h"

/** Length of a job's id: hexadecimal digits. */
#define COLT_JOB_ID_LENGTH 16

/** Largest number of tasks of one job, over all its occurrences. */
#define COLT_JOB_TASKS_MAX 20000u

/** Where a job stands. */
enum ColtJobState
{
  COLT_JOB_QUEUED,    /**< no task has started */
  COLT_JOB_RUNNING,   /**< a task has started */
  COLT_JOB_COMPLETED, /**< all tasks have ended as done */
  COLT_JOB_FAILED,    /**< a task has used up its attempts */
  COLT_JOB_CANCELLED  /**< its caller has cancelled it */
};

/** Names of enum ColtJobState, indexed by it. */
extern const char *const colt_job_state_string[];

/** How a run of a task ended on its server. */
enum ColtRunEnd
{
  COLT_RUN_DONE,
  COLT_RUN_FAILED,  /**< through its own fault or the server's */
  COLT_RUN_STOPPED, /**< by an order */
  COLT_RUN_LAPSED,  /**< its lease ended, or its server */
  COLT_RUN_BROKEN,  /**< another member of its gang ended */
  COLT_RUN_ALONE    /**< the rest of its gang didn't come in time */
};

/** Names of enum ColtRunEnd, indexed by it. */
extern const char *const colt_run_end_string[];

/** How an order to start a run was answered. */
enum ColtStartResult
{
  COLT_START_TAKEN,
  COLT_START_NO_ROOM,
  COLT_START_BAD_TICKET,
  COLT_START_STALE,   /**< that run or a later one was stopped or has ended */
  COLT_START_LATE,    /**< the order came after its lease's end */
  COLT_START_FENCED,  /**< the server follows a later lead */
  COLT_START_BUSY,    /**< the server is unhealthy and has done nothing */
  COLT_START_INVALID, /**< the server doesn't understand the order */
  COLT_START_GONE,    /**< another incarnation answers at that address */
  COLT_START_NOT_SENT,
  COLT_START_UNKNOWN /**< no answer: it may be carried out yet */
};

/** Names of enum ColtStartResult, indexed by it. */
extern const char *const colt_start_result_string[];

/** What became of a job that was handed in. */
enum ColtSubmitResult
{
  COLT_SUBMIT_NEW,      /**< taken up; to be acknowledged once it is durable */
  COLT_SUBMIT_PENDING,  /**< known, not durable yet */
  COLT_SUBMIT_KNOWN,    /**< known and durable */
  COLT_SUBMIT_INVALID,  /**< its steps contradict each other */
  COLT_SUBMIT_NO_QUEUE, /**< the lead's configuration has no such queue */
  COLT_SUBMIT_TOO_LATE, /**< it would miss its objective; it was not taken */
  COLT_SUBMIT_FULL      /**< too many jobs wait; it was not taken */
};

/** Names of enum ColtSubmitResult, indexed by it. */
extern const char *const colt_submit_result_string[];

/** A backend server as it describes itself; strings belong to the caller. */
struct ColtServerEntry
{
  const char *id;
  const char *service;
  const char *address; /**< IP:PORT */
  const char *zone;
  bool ready;      /**< false while it drains */
  int64_t born_ms; /**< wall-clock start of this incarnation; 0: not told */
  struct ColtResources room;
  const char *const *labels; /**< ended by NULL */
};

/** A run that a server lists as running. */
struct ColtRunningEntry
{
  const char *task;
  uint32_t run;
  const char *checkpoint; /**< "" when there is none */
  int64_t percent; /**< of its work that is done, 0 to 100; for tasks that last
                        100 once it is at work */
};

/** A run that a server lists as ended. */
struct ColtFinishedEntry
{
  uint64_t number; /**< rises within an incarnation, from 1 */
  const char *task;
  uint32_t run;
  enum ColtRunEnd how;
  const char *checkpoint;
};

/** What a server lists. */
struct ColtServerReport
{
  uint64_t asked; /**< when it was asked, in the server's order of calls */
  const struct ColtRunningEntry *running;
  size_t running_count;
  const struct ColtFinishedEntry *finished;
  size_t finished_count;
};

/** An order to start a run; valid during the call only. */
struct ColtStartOrder
{
  const char *server;
  const char *task;
  uint32_t run;
  const char *payload;
  const char *checkpoint; /**< "" when there is none */
  const char *ticket;     /**< NULL when none is needed */
};

/** What a cell asks of its client. */
struct ColtCellOps
{
  /** Sends a start; its answer goes to colt_cell_started(). */
  void (*start) (void *client, const struct ColtStartOrder *order);
  /** Sends a stop; its answer goes to colt_cell_stopped(). */
  void (*stop) (void *client,
                const char *server,
                const char *task,
                uint32_t run);
  /**
   * Asks which servers may run a step; the answer goes to
   * colt_cell_advised().
   * \return false if no call can be made now
   */
  bool (*advise) (void *client,
                  const char *step,
                  const char *const *servers,
                  size_t count);
  /** Tells of a decision, for the log; \a job may be NULL. */
  void (*decided) (void *client,
                   const char *job,
                   const char *what,
                   const char *detail);
};

/** Bounds of a cell; see docs/OPERATIONS.md for where they come from. */
struct ColtCellLimits
{
  int64_t status_us;        /**< how long an ended job's state is kept */
  int64_t stop_retry_us;    /**< until an unanswered stop is sent again */
  uint32_t servers_asked;   /**< servers named in one call for advice */
  uint32_t servers_learned; /**< the same for a gang that found too few */
};

/** A record to be stored under a key. */
struct ColtCellRecord
{
  char *key;
  uint8_t *value; /**< NULL: the key is dropped */
  size_t size;
};

/** A cell. */
struct ColtCell;

/**
 * Creates a cell.
 *
 * \param generation  number of leads before this one; runs of jobs that an
 *                    earlier lead accepted are numbered above it
 */
struct ColtCell *colt_cell_create (const struct ColtCellOps *ops,
                                   void *client,
                                   const struct ColtCellLimits *limits,
                                   uint32_t generation);

/** Destroys a cell; NULL is allowed. */
void colt_cell_destroy (struct ColtCell *cell);

/** Puts a configuration in force; the cell keeps a reference. */
void colt_cell_set_fleet (struct ColtCell *cell, struct ColtFleet *fleet);

/**
 * Takes a record of an earlier lead.
 *
 * \return false if it can't be read
 */
bool colt_cell_load (struct ColtCell *cell,
                     const char *key,
                     const uint8_t *value,
                     size_t size,
                     int64_t now_us,
                     int64_t wall_ms);

/**
 * Ends loading. Until each server that an earlier lead used has reported, or
 * \a settled_us has passed, tasks that one of them may run aren't started.
 */
void colt_cell_loaded (struct ColtCell *cell, int64_t settled_us);

/**
 * Hands in a job.
 *
 * \param spec  as unpacked by protobuf-c; the cell's after COLT_SUBMIT_NEW, the
 *              caller's otherwise
 * \return what became of it
 */
enum ColtSubmitResult
colt_cell_submit (struct ColtCell *cell, ColtJobSpec *spec, int64_t now_us);

/**
 * Cancels a job; its tasks are stopped.
 *
 * \return false if there is no such job
 */
bool colt_cell_cancel (struct ColtCell *cell, const char *id, int64_t now_us);

/**
 * Drops a job that isn't durable and is in no batch of records.
 *
 * \return false if it can't be dropped any more
 */
bool colt_cell_withdraw (struct ColtCell *cell, const char *id);

/** Returns whether a job is known and would survive the cell. */
bool colt_cell_is_durable (const struct ColtCell *cell, const char *id);

/**
 * Returns whether a job may end with what runs now: all its other tasks are
 * done, or it has ended and that isn't durable yet, as \a ended tells.
 */
bool
colt_cell_is_ending (const struct ColtCell *cell, const char *id, bool *ended);

/** Finds a job's state as it may be shown; false if there is no such job. */
bool colt_cell_state (const struct ColtCell *cell,
                      const char *id,
                      enum ColtJobState *state);

/** Tells how many jobs of a queue wait for their first task. */
uint64_t colt_cell_waiting (const struct ColtCell *cell, const char *queue);

/** Takes a server's entry. */
void colt_cell_set_server (struct ColtCell *cell,
                           const struct ColtServerEntry *entry,
                           int64_t now_us);

/** Takes that a server isn't listed any more; what it runs may run on. */
void colt_cell_unlist_server (struct ColtCell *cell, const char *id);

/**
 * Takes what a server lists.
 *
 * \return false if the server isn't known
 */
bool colt_cell_report (struct ColtCell *cell,
                       const char *id,
                       const struct ColtServerReport *report,
                       int64_t now_us);

/** Takes the answer of a start. \a asked is the number of the server's next
 * call for its lists. */
void colt_cell_started (struct ColtCell *cell,
                        const char *server,
                        const char *task,
                        uint32_t run,
                        enum ColtStartResult result,
                        uint64_t asked,
                        int64_t now_us);

/** Takes the answer of a stop; \a answered is false if there was none. */
void colt_cell_stopped (struct ColtCell *cell,
                        const char *server,
                        const char *task,
                        uint32_t run,
                        bool answered,
                        uint64_t asked,
                        int64_t now_us);

/** Takes that a server can't be reached; it gets no work until it reports. */
void colt_cell_set_dark (struct ColtCell *cell, const char *server);

/** Takes that nothing of before runs on a server: its leases have ended, or
 * another incarnation has taken its place. */
void
colt_cell_emptied (struct ColtCell *cell, const char *server, int64_t now_us);

/** Returns how many runs a server has, or may have. */
size_t colt_cell_runs_on (const struct ColtCell *cell, const char *server);

/** Tells how many calls for advice can be open at once. */
void colt_cell_set_advisers (struct ColtCell *cell, uint32_t count);

/** Returns whether a server runs work with little time beyond its chain. */
bool colt_cell_is_tight (const struct ColtCell *cell, const char *server);

/** Takes advice; \a answered is false if there was none. */
void colt_cell_advised (struct ColtCell *cell,
                        const char *step,
                        const char *const *asked,
                        size_t asked_count,
                        const ColtAdviceReply *reply,
                        int64_t now_us);

/** Decides what starts now, and calls the client for it. */
void colt_cell_place (struct ColtCell *cell, int64_t now_us, int64_t wall_ms);

/** Sends stops again that weren't answered, and forgets old jobs. */
void colt_cell_tick (struct ColtCell *cell, int64_t now_us, int64_t wall_ms);

/**
 * Takes the records of what has changed since the last call, in an array of
 * struct ColtCellRecord that the caller frees with
 * colt_cell_free_records(). Only one batch may be on its way.
 */
GArray *colt_cell_take_records (struct ColtCell *cell,
                                size_t bytes_max,
                                int64_t wall_ms);

/** Frees records. */
void colt_cell_free_records (GArray *records);

/** Takes that the batch taken last is durable. */
void colt_cell_committed (struct ColtCell *cell, int64_t now_us);

/** Returns whether something waits to be made durable. */
bool colt_cell_is_dirty (const struct ColtCell *cell);

/** Returns whether starts wait for a batch. */
bool colt_cell_is_urgent (const struct ColtCell *cell);

/** Returns whether the servers of earlier leads are accounted for. */
bool colt_cell_is_settled (const struct ColtCell *cell);

/** Numbers for the state dump. */
struct ColtCellStats
{
  uint64_t jobs;
  uint64_t open_steps;
  uint64_t runs;
  uint64_t servers;
  uint64_t started;
  uint64_t ended[COLT_RUN_ALONE + 1];
  uint64_t refused_starts;
  uint64_t moved; /**< runs stopped to start elsewhere */
};

/** Returns servers, organisations and waiting steps as JSON, to be freed with
 * free(). */
char *colt_cell_dump (const struct ColtCell *cell);

/** Reads the numbers. */
void colt_cell_get_stats (const struct ColtCell *cell,
                          struct ColtCellStats *stats);

#endif
