/**
 * \file
 * \brief State of one stand-in backend server; it is told the time.
 *
 * Time is in microseconds of one monotonic clock and never goes back. Changes
 * are made after colt_standin_server_enter() or _advance() with the same time,
 * which end what is due.
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

/** What a server is. */
struct ColtStandinServerSpec
{
  uint32_t id;
  uint32_t zone;
  uint32_t rack;
  struct ColtResources capacity;
  double speed;         /**< 1 is the customary speed */
  int64_t usage_lag_us; /**< usage is reported with once to twice this lag */
};

/** One attempt at a task, as the server knows it. */
struct ColtStandinTask
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  enum ColtTaskState state;
  struct ColtResources usage; /**< as reported so far */
  int64_t start_us;
  int64_t end_us;   /**< COLT_TIME_NEVER while it runs */
  int64_t lease_us; /**< end of its lease */
  int exit_status;
  int64_t checkpoint_ms; /**< work saved when it was stopped, -1: none */
  uint8_t *payload;      /**< owned by the server */
  size_t payload_size;
  struct ColtStandinRun run;
  struct ColtResources sample; /**< usage that is not reported yet */
  int64_t sample_us;           /**< when the next sample is taken */
  int64_t last_event;          /**< number of the event of its end */
};

/** What a server tells its observer. */
enum ColtStandinNotice
{
  COLT_STANDIN_STARTED,
  COLT_STANDIN_ENDED,
  COLT_STANDIN_RESIZED, /**< a task has a new limit */
  COLT_STANDIN_DUPLICATE,
  COLT_STANDIN_REFUSED,     /**< a start; the task has no run */
  COLT_STANDIN_OVER,        /**< limits exceed the capacity by this task */
  COLT_STANDIN_LEASED,      /**< taken by a new owner */
  COLT_STANDIN_RELEASED,    /**< given up */
  COLT_STANDIN_LEAVING,     /**< the server leaves or stays */
  COLT_STANDIN_DOWN,        /**< the server was killed */
  COLT_STANDIN_NOTICE_COUNT /**< number of notices, not a notice */
};

/** Names of enum ColtStandinNotice in records, indexed by it. */
extern const char *const colt_standin_notice_string[];

/** Takes a notice; \a task and \a reason are NULL where they don't apply. */
typedef void (*ColtStandinObserver) (void *client,
                                     const struct ColtStandinServer *server,
                                     enum ColtStandinNotice notice,
                                     int64_t at_us,
                                     const struct ColtStandinTask *task,
                                     const char *reason);

/** What became of a change. */
enum ColtStandinOutcome
{
  COLT_STANDIN_OUTCOME_STARTED,
  COLT_STANDIN_OUTCOME_DUPLICATE,
  COLT_STANDIN_OUTCOME_REFUSED,
  COLT_STANDIN_OUTCOME_STOPPED,
  COLT_STANDIN_OUTCOME_RESIZED,
  COLT_STANDIN_OUTCOME_ENDED,  /**< it had ended before */
  COLT_STANDIN_OUTCOME_UNKNOWN /**< never seen */
};

/** Names of enum ColtStandinOutcome, indexed by it. */
extern const char *const colt_standin_outcome_string[];

/** Creates a server; the observer may be NULL. */
struct ColtStandinServer *
colt_standin_server_create (const struct ColtStandinServerSpec *spec,
                            int64_t now_us,
                            ColtStandinObserver observer,
                            void *client);

/** Destroys a server; NULL is allowed. */
void colt_standin_server_destroy (struct ColtStandinServer *server);

/** Returns what the server is. */
const struct ColtStandinServerSpec *
colt_standin_server_spec (const struct ColtStandinServer *server);

/** Returns the lease. */
const struct ColtStandinLease *
colt_standin_server_lease (const struct ColtStandinServer *server);

/** Returns the highest epoch seen of each of COLT_SHARD_COUNT shards. */
const uint64_t *
colt_standin_server_shard_epochs (const struct ColtStandinServer *server);

/** Returns how far back the server remembers, in milliseconds. */
int64_t colt_standin_server_memory_ms (const struct ColtStandinServer *server,
                                       int64_t now_us);

/** Returns whether the server is leaving. */
bool colt_standin_server_leaving (const struct ColtStandinServer *server);

/** Returns the sum of the limits of all that runs. */
const struct ColtResources *
colt_standin_server_used (const struct ColtStandinServer *server);

/** Ends what is due and reports usage. */
void colt_standin_server_advance (struct ColtStandinServer *server,
                                  int64_t now_us);

/** Returns when the next thing is due, COLT_TIME_NEVER if nothing is. */
int64_t colt_standin_server_next_us (const struct ColtStandinServer *server);

/** Takes the lease; refused while it is held or if \a epoch is not new. */
enum ColtStandinAccess
colt_standin_server_take (struct ColtStandinServer *server,
                          int64_t now_us,
                          uint32_t owner,
                          uint64_t epoch,
                          int64_t length_us);

/**
 * Checks that a caller holds the lease, and renews it.
 *
 * \param token      0: nothing is renewed; else the lease and its length run
 *                   from the token's issue
 * \param length_us  0: as before
 */
enum ColtStandinAccess
colt_standin_server_enter (struct ColtStandinServer *server,
                           int64_t now_us,
                           uint64_t epoch,
                           int64_t token,
                           int64_t length_us);

/** Gives the lease up; the caller has entered. */
void colt_standin_server_release (struct ColtStandinServer *server,
                                  int64_t now_us);

/** Issues a token; the caller has entered or taken the lease. */
int64_t colt_standin_server_token (const struct ColtStandinServer *server,
                                   int64_t now_us);

/**
 * Starts a task, whose lease runs from the token's issue; the caller has
 * entered with the token.
 *
 * \param reason  set to why a start was refused
 */
enum ColtStandinOutcome
colt_standin_server_start (struct ColtStandinServer *server,
                           int64_t now_us,
                           int64_t token,
                           const struct ColtTaskStart *start,
                           const char **reason);

/** Stops a task; a checkpoint saves its work. */
enum ColtStandinOutcome
colt_standin_server_stop (struct ColtStandinServer *server,
                          int64_t now_us,
                          const struct ColtTaskRef *ref,
                          bool checkpoint);

/** Changes the limit of a task. */
enum ColtStandinOutcome
colt_standin_server_resize (struct ColtStandinServer *server,
                            int64_t now_us,
                            const struct ColtTaskRef *ref,
                            const struct ColtResources *limit);

/** Extends the leases of all that runs to \a length_us from the token. */
void colt_standin_server_renew_tasks (struct ColtStandinServer *server,
                                      int64_t token,
                                      int64_t length_us);

/** Finds a task, its highest attempt if the attempt is 0; may be NULL. */
const struct ColtStandinTask *
colt_standin_server_find (const struct ColtStandinServer *server,
                          const struct ColtTaskRef *ref);

/** Calls \a visit for every task, running or ended. */
void colt_standin_server_visit (
    const struct ColtStandinServer *server,
    void (*visit) (void *client, const struct ColtStandinTask *task),
    void *client);

/** Returns the events for the holder of the lease. */
struct ColtStandinEvents *
colt_standin_server_events (const struct ColtStandinServer *server);

/** Changes the speed of the server and of what runs there. */
void colt_standin_server_set_speed (struct ColtStandinServer *server,
                                    int64_t now_us,
                                    double speed);

/** Lets all that is started from now on fail at once. */
void colt_standin_server_set_fail_all (struct ColtStandinServer *server,
                                       bool fail_all);

/** Lets the server say that it leaves. */
void colt_standin_server_set_leaving (struct ColtStandinServer *server,
                                      int64_t now_us,
                                      bool leaving);

/** Ends all that runs and forgets everything. */
void colt_standin_server_kill (struct ColtStandinServer *server,
                               int64_t now_us);

#endif
