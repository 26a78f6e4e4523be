/* Tables of a cell; private to the files of this package. */
#ifndef COLT_CELL_PRIVATE_H
#define COLT_CELL_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/cold_ramp.h"
#include "coltsfootstile/forecast.h"

/* Size in bytes of a buffer for a task's name, JOB.OCCURRENCE.STEP.INDEX. */
#define TASK_NAME_SIZE 64

/* Largest factor by which a server counts as slower or faster than others. */
#define SLOWNESS_MAX 3.0

/* Run numbers of a task that one leader may use; those of the next leader
 * start above them. */
#define COLT_CELL_RUNS_PER_LEADER 1000u

/* Advice calls without a start after which the pause between a step's calls is
 * doubled no further. */
#define COLT_ADVICE_PAUSES_DOUBLED_MAX 4

struct ColtCellJob;
struct ColtCellStep;
struct ColtCellTask;

/* A queue; stays in the cell after its removal from the configuration. */
struct ColtCellQueue
{
  char *name;
  const struct ColtQueueConfig *config; /* from the newest fleet that has it */
  struct ColtFleet *fleet;              /* reference that keeps config valid */
  int64_t restored_version;             /* of the configuration that config was
                                           restored from a record of; 0: none */
  bool listed;                          /* in the current configuration */
  uint64_t waiting;                     /* durable jobs without a start */
  uint32_t open_calls;                  /* pending advice calls */
  bool calling;                         /* has pending calls or needs some */
  struct ColtCellPool *pool;            /* in a pass; NULL: none */
  double task_us; /* mean duration of a task; 0: not known */
  bool late;      /* a job misses its objective in this pass */
  bool was_late;  /* a job missed its objective in the previous pass */
};

struct ColtCellOrganisation
{
  char *name;
  double weight; /* jobs per second within its share; 0 or less: no bound */
  struct ColtResources maximum; /* for its runs together; 0: no limit */
  struct ColtResources used;    /* demand of its runs */
  /* Demand of tasks that may run under orders of an earlier leader. */
  struct ColtResources unsettled_demand;
  double credit;           /* jobs that it may submit now within its share */
  int64_t credit_us;       /* when credit was last updated; 0: never */
  struct ColtCellUse *use; /* its past use; NULL: doesn't count */
};

/* Why an open step can't start tasks now. */
enum ColtCellBlock
{
  BLOCK_NONE,
  BLOCK_NO_SERVICE, /* its queue isn't configured, or its service is unknown */
  BLOCK_PAUSED,     /* retry delay after a start or run without success */
  BLOCK_UNSETTLED,  /* an order of an earlier leader may still take effect */
  BLOCK_LIMIT,      /* its organisation has reached its resource limit */
  BLOCK_NO_ROOM,    /* no eligible server has room */
  BLOCK_ADVICE,     /* its advice call is pending or delayed */
  BLOCK_NO_ADVISER, /* its advice call is queued until an adviser is free */
  BLOCK_GANG,       /* an earlier run of its gang has to end first */
  BLOCK_ORDERS,     /* as many starts as can be sent in time are planned */
  BLOCK_EVACUATED,  /* all suitable servers are in evacuated zones */
  BLOCK_RESERVED    /* servers are reserved for its gang from a later time on */
};

/* Order in which steps get room. */
enum ColtCellRank
{
  RANK_LASTING,  /* lasting tasks, which serve users directly */
  RANK_TIMELY,   /* can meet its objective */
  RANK_EXCESS,   /* can meet it, but exceeds its organisation's share */
  RANK_LATE,     /* can't meet its objective, but the result is still of use */
  RANK_WORTHLESS /* would end too late to be of use, or late and beyond its
                    organisation's share */
};

/* Names of enum ColtCellBlock and enum ColtCellRank, indexed by them. */
extern const char *const colt_cell_block_string[];
extern const char *const colt_cell_rank_string[];

enum ColtCellRunState
{
  RUN_PLANNED,  /* to be ordered once its record is durable */
  RUN_STARTING, /* ordered, not confirmed */
  RUN_RUNNING,
  RUN_STOPPING
};

/* A run that is, or may be, on a server. */
struct ColtCellRun
{
  struct ColtCellTask *task;
  struct ColtCellServer *server;
  uint32_t run; /* its number */
  enum ColtCellRunState state;
  bool recorded;           /* a batch of records includes it */
  bool start_unknown;      /* the start had no reply; the first report that
                              reflects it decides */
  bool answered;           /* the start, and the stop if any, had a reply */
  uint64_t reflected_from; /* number of the first call whose answer is sure to
                              reflect the start and stop */
  bool start_resolved;     /* the start has a result, or the run was listed */
  int64_t ordered_us;      /* when it was planned, or later ordered */
  int64_t started_us;     /* when the start was confirmed; 0: not yet, or not by
                             this leader */
  bool resumed;           /* from a checkpoint */
  bool cold;              /* its server was cold when it was planned */
  int64_t confirmed_us;   /* when it was first listed as running; 0: not yet */
  int64_t percent;        /* of its work that is done */
  int64_t progress_us;    /* when percent last rose; 0: never */
  int64_t reported_us;    /* when percent was last reported; 0: never */
  uint64_t listed_report; /* last report that listed it, by its number in the
                             cell's count; 0: none */
  int64_t incarnation_ms; /* of its server when it was planned or last listed;
                             0: not known */
  bool quarantined;       /* counted in its server's quarantined_runs */
  bool in_probation;      /* counted in its server's probation_runs */
  bool proven;            /* a lasting run that has been at work for a while */
  int64_t stop_sent_us;   /* when a stop was last sent; 0: never */
  bool stop_answered;
  GList *stop_link;          /* in the cell's stops; NULL: not listed */
  bool stopped_where_listed; /* by the incarnation that listed the run */
  struct ColtResources demand;
};

struct ColtCellTask
{
  struct ColtCellStep *step;
  uint32_t index; /* in its step */
  uint32_t failures;
  uint32_t last_run;     /* highest run number that ended or was assigned */
  uint32_t recorded_run; /* last_run of the record that was loaded */
  GArray *counted_runs;  /* numbers of earlier leaders' runs whose failure was
                            counted; may be NULL */
  bool done;
  char *checkpoint;                      /* NULL: none */
  struct ColtCellRun *current;           /* NULL: waiting or done */
  struct ColtCellServer *last_server;    /* of the run that ended last */
  struct ColtCellServer *earlier_server; /* where an earlier leader started it;
                                            may be NULL */
  int64_t earlier_incarnation_ms; /* of earlier_server when the run was planned;
                                     0: not known */
  uint32_t moves;   /* runs that were stopped for being slow or stalled */
  uint32_t losses;  /* latest runs in a row that were lost with their servers */
  uint32_t ends;    /* of the losses, those whose server's process certainly
                       ended */
  uint32_t crashes; /* of the ends, those under a run that had started */
  struct ColtCellServer *lost_server; /* of the latest loss, while it isn't
                                         known whether its process ended */
  int64_t lost_incarnation_ms;        /* of lost_server */

  int64_t waiting_since_us; /* when its last run ended undone; 0: never */
  int64_t duration_us;      /* of the run that completed it; 0: not known */
};

/* The adviser's reply on whether a server may run a step. */
struct ColtCellAdvice
{
  bool suitable;
  char *ticket;           /* only valid if suitable */
  int64_t valid_until_us; /* of the ticket */
  int64_t incarnation_ms; /* server incarnation that the reply applies to */
};

/* An advice call that has no reply yet. */
struct ColtCellCall
{
  uint64_t number; /* identifies it, also among calls of other leaders */
  struct ColtCellQueue *queue; /* that counts it */
  struct ColtCellStep *step;   /* NULL: its job is gone */
  int64_t sent_us;
  GPtrArray *servers;   /* of struct ColtCellServer: those it named */
  GArray *incarnations; /* of servers when the call was sent, int64_t */
};

struct ColtCellStep
{
  struct ColtCellJob *job;
  const ColtJobStep *spec;
  uint32_t number; /* in the job's specification, from 0 */
  uint32_t occurrence;
  uint32_t first_index; /* of its first task, over the whole job */
  uint32_t depth;       /* number of steps in the longest chain before it */
  uint32_t height;      /* number of steps in the longest chain after it */
  struct ColtCellTask *tasks;
  uint32_t waiting; /* tasks that are neither done nor have a run */
  uint32_t active;  /* tasks with a run */
  uint32_t done;
  bool open;            /* listed in the cell's open_steps */
  bool due;             /* if it is the first of its occurrence: a step of that
                           has been listed or has begun */
  uint64_t looked_pass; /* latest pass that looked at it, or was over when it
                           was listed */
  struct ColtResources demand; /* of each task */
  GHashTable *advice; /* struct ColtCellServer -> struct ColtCellAdvice */
  struct ColtCellCall *call; /* its pending advice call; NULL: none */
  int64_t tickets_until_us;  /* latest end of a ticket */
  int64_t next_advice_us;    /* earliest time of the next advice call */
  uint32_t fruitless_calls;  /* advice calls since a start was last planned, up
                                to a limit; sets the pause between calls */
  int64_t not_before_us;     /* earliest time of the next start */
  uint32_t failed_gang_run;  /* number of the gang's last run whose failure was
                                counted */
  const struct ColtCellServer *failed_server; /* of the latest failure; NULL:
                                                 none since a task was done, or
                                                 was at work for a while */
  uint32_t failed_servers;    /* how often it changed since then */
  enum ColtCellBlock block;   /* in the last pass */
  enum ColtCellRank rank;     /* in this pass */
  bool is_pressed;            /* it has to start soon to meet its objective */
  int64_t next_zone_check_us; /* when only_evacuated is determined again */
  bool only_evacuated;        /* all suitable servers are in evacuated zones */
  GPtrArray *ticket_servers;  /* servers for which a gang requests tickets, one
                                 for each task; NULL: none */
  struct ColtCellPlan *plan;  /* of a gang that servers are reserved for */
  int64_t next_plan_us;       /* earliest time of its next plan */
  guint plan_first;           /* position in the pool where that begins */
  uint32_t waiting_class;     /* of the forecast's backlog, that counts it */
  double waiting_seconds; /* that the forecast counts of its waiting tasks */
};

/* A task's entry in its job's packed progress. */
struct ColtCellEntry
{
  uint32_t size; /* in bytes; 0: it has none */
  bool changed;  /* to be packed anew */
};

/* A part of a job's packed progress, which is a record of its own. */
struct ColtCellPart
{
  GByteArray *tasks; /* entries as they were last packed */
  bool changed;      /* some are to be packed anew */
};

/* What is reserved for a gang during a pass. */
struct ColtCellReservation
{
  struct ColtResources *used; /* of a server or an organisation */
  const struct ColtResources *demand;
};

struct ColtCellJob
{
  char id[COLT_JOB_ID_LENGTH + 1];
  struct ColtCellQueue *queue;
  struct ColtCellOrganisation *organisation;
  ColtJobSpec *spec; /* NULL once it has ended and has no runs */
  struct ColtCellStep *steps;
  uint32_t step_count; /* over all occurrences */
  uint32_t task_count;
  uint32_t active;     /* number of runs */
  GList *running_link; /* in the cell's running_jobs; NULL: no runs */
  uint32_t steps_done;
  GPtrArray *planned; /* of struct ColtCellRun: planned, to be ordered; NULL:
                         never any */
  struct ColtCellEntry *entries; /* of all tasks, in parts; NULL: not packed
                                    yet */
  struct ColtCellPart *parts;    /* of part_count records; NULL: not packed yet
                                  */
  uint32_t part_count;           /* records of its progress; at least 1 */
  uint32_t part_tasks;           /* tasks of each part but the last */
  uint32_t stored_parts;         /* the log may have records of so many */
  bool unsplit;                  /* an earlier version recorded all its tasks in
                                    the first part, and older parts may be left */
  enum ColtJobState state;
  enum ColtJobState durable_state; /* the last one that is durable */
  bool begun;                      /* a task has had a run */
  bool counted_waiting;            /* included in its queue's waiting jobs */
  bool inherited;                  /* accepted by an earlier leader */
  bool excess;      /* beyond its organisation's share on arrival */
  bool durable;     /* its specification is durable */
  bool spec_stored; /* the log may have a record of its specification */
  bool dirty_spec;  /* its specification has to be recorded */
  bool dirty;       /* listed in the cell's dirty_jobs */
  bool in_batch;    /* listed in the cell's batch_jobs */
  uint64_t change;  /* number of its entry in dirty_jobs */
  bool dropped;     /* its records are to be removed */
  bool has_account; /* account is valid */
  uint32_t account; /* its organisation's in the forecast */
  int64_t forecast_start_us; /* as forecast on arrival; 0: not known */
  int64_t forecast_latest_us;
  int64_t accepted_us;
  int64_t begun_us; /* first start under this leader; 0: none */
  int64_t ended_us;
  GSequenceIter *ended_place; /* in the cell's ended; NULL: not listed */
  GList *spec_link;           /* in the cell's ended_specs; NULL: not listed */
  GList *watch_link;          /* in the cell's watched jobs; NULL: not listed */
  int64_t ended_wall_ms;      /* 0: not recorded yet */
  uint64_t order;             /* of arrival */
};

struct ColtCellServer
{
  char *id;
  char *address;
  char *zone;
  char *rack;
  char **labels;
  struct ColtCellPool *pool;
  bool listed;    /* in the list of servers */
  bool ready;     /* false while it drains */
  bool evacuated; /* its zone is */
  bool reported;  /* by this incarnation to this leader */
  bool unreachable;
  bool suspected; /* leaves calls unanswered */
  bool replaced;  /* another server answers at its address */
  /* May run an earlier leader's work, or have ends of it that its reports
   * didn't list yet. */
  bool awaited;
  bool may_have_more; /* ends than its last report listed, and is reachable */
  int64_t
      incarnation_ms; /* wall-clock start of its incarnation; 0: not reported */
  int64_t entry_incarnation_ms;    /* that its entry describes; 0: unknown */
  int64_t draining_incarnation_ms; /* latest one that was draining; 0: none */
  struct ColtResources room;       /* its capacity */
  struct ColtResources used;       /* demand of its runs, and reservations */
  GPtrArray *runs;                 /* of struct ColtCellRun */
  uint32_t quarantined_runs; /* runs of tasks that may crash it; it gets no
                                starts until they have survived or ended */
  uint32_t foreign_runs;     /* reported runs that the cell has no record of */
  uint32_t failures_in_row;
  uint32_t probations;     /* since its last success, up to a limit */
  bool limited;            /* it gets few runs after its pause */
  uint32_t probation_runs; /* started since the latest probation */
  int64_t avoid_until_us;  /* it gets no starts until then */
  struct ColtColdRamp cold;
  struct ColtServerKind *kind;
  double log_slowness; /* logarithm of its task durations relative to others of
                          its kind */
  uint32_t samples;    /* tasks that log_slowness is based on */
  double slowness;     /* for the sum of logarithms below; 0: not computed */
  double slowness_log;
  guint position; /* in its pool's candidates, while it is one of them */
  struct ColtCellHold *holds; /* reservations for gangs; NULL: none */
  int64_t wanted_until_us;    /* a waiting gang may run on it until then */
};

/* Servers with the same first label and the same room. Their common slowness
 * is the initial estimate for a new server of the kind. */
struct ColtServerKind
{
  double log_slowness; /* logarithm of their task durations relative to all
                          servers */
  uint32_t samples;
};

/* The servers of one service. */
struct ColtCellPool
{
  char *name;
  bool checks_room;
  GPtrArray *servers; /* of struct ColtCellServer */
  bool outside;       /* has servers outside evacuated zones, or none */
  int64_t outside_us; /* pass in which that was determined */
  /* No usable server has room for this demand or more; room only shrinks during
   * a pass. */
  bool is_full;
  struct ColtResources unmet;
  struct ColtResources least; /* of each amount that open steps demand */
  GPtrArray *with_room; /* servers that may take a task with the least demand,
                       in the order of servers; only kept during a pass until
                       room becomes free, otherwise NULL */
  guint searched;       /* servers looked at in this pass without that list */
  GArray *candidates;   /* of struct ColtCandidate; only kept while advice calls
                           are sent, otherwise NULL */
  int64_t now_us;       /* of the pass */
  uint32_t searches;    /* for gangs without a plan, in this pass */
  uint32_t plans;       /* of gangs that had their turn in this pass */
  uint32_t lowest_priority;  /* of its queues: the largest number */
  uint32_t highest_priority; /* of its queues: the smallest number */
  uint32_t gang_priority;    /* of a gang that waits or waited last */
  int64_t gangs_until_us;    /* gangs wait, or did shortly before */
};

struct ColtCell
{
  const struct ColtCellOps *ops;
  void *client;
  struct ColtCellLimits limits;
  uint32_t generation; /* number of earlier leaders */
  struct ColtFleet *fleet;
  GHashTable *jobs;          /* id -> struct ColtCellJob */
  GHashTable *queues;        /* name -> struct ColtCellQueue */
  GHashTable *organisations; /* name -> struct ColtCellOrganisation */
  GHashTable *servers;       /* id -> struct ColtCellServer */
  GHashTable *pools;         /* service -> struct ColtCellPool */
  GHashTable *kinds;         /* label and room -> struct ColtServerKind */
  GHashTable *evacuated;     /* name -> struct ColtCellZone */
  int64_t zones_us;          /* when the runs in these were last counted */
  int64_t next_count_us;     /* when they are counted again */
  int64_t zone_pass_us;      /* pass that zone_checks counts in */
  uint32_t zone_checks;      /* searches for a step's servers in it */
  int64_t order_until_us;    /* no start is ordered after it */
  GPtrArray *open_steps;     /* of struct ColtCellStep */
  bool steps_to_close;       /* open_steps may list some that can't start */
  GPtrArray *advice_steps;   /* steps that need advice in this pass */
  GArray *reservations;      /* of struct ColtCellReservation, in this pass */
  GHashTable *open_calls;    /* number -> struct ColtCellCall */
  uint32_t last_call;        /* number of calls so far */
  uint32_t start_budget;     /* starts that may still be planned */
  uint32_t advisers;         /* advice calls that may be pending together */
  GPtrArray *dirty_jobs;     /* of struct ColtCellJob, oldest change first */
  GPtrArray *batch_jobs;     /* of struct ColtCellJob, in the pending batch */
  GQueue running_jobs;       /* of struct ColtCellJob with runs */
  GPtrArray *plans;          /* of struct ColtCellPlan */
  GPtrArray *scheduled;      /* jobs with occurrences that may be due later */
  GSequence *ended;          /* of struct ColtCellJob, by ended_us */
  GQueue ended_specs;        /* of struct ColtCellJob, ended, whose
                                specifications aren't dropped yet */
  GQueue stops;              /* of struct ColtCellRun, whose stops have no
                                answer */
  GQueue watched;            /* of struct ColtCellJob that haven't ended; the
                                first is being checked */
  uint32_t watched_step;     /* of the first watched job, to be checked next */
  uint32_t watched_task;     /* of that step */
  uint64_t passes;           /* of placement so far */
  uint64_t last_change;      /* number of the latest entry of dirty_jobs */
  uint32_t unrecorded_runs;  /* planned runs that no batch includes yet */
  bool settled;              /* earlier leaders' orders are reconciled */
  int64_t settle_deadline_us;
  int64_t wall_ms;        /* latest wall-clock time that was passed in */
  int64_t now_us;         /* of the pass */
  int64_t next_search_us; /* next search for stragglers */
  uint64_t next_order;
  uint64_t reports;              /* applied so far */
  struct ColtCellUsage *usage;   /* past use; NULL: doesn't count */
  struct ColtForecast *forecast; /* NULL: all jobs are accepted */
  int64_t room_summed_us;        /* when it last got the services' room */
  uint32_t retry_after_ms;       /* for the job that was rejected last */
  struct ColtCellStats stats;
};

/* cell_jobs.c */
struct ColtCellJob *colt_cell_find_job (const struct ColtCell *cell,
                                        const char *id);
struct ColtCellJob *colt_cell_build_job (struct ColtCell *cell,
                                         ColtJobSpec *spec);
/* Removes a job that was built and isn't accepted; its specification stays. */
void colt_cell_discard_job (struct ColtCell *cell, struct ColtCellJob *job);
bool colt_cell_is_spec_valid (const ColtJobSpec *spec);
void colt_cell_free_job (gpointer data);
void colt_cell_drop_spec (struct ColtCellJob *job);
void colt_cell_mark_dirty (struct ColtCell *cell, struct ColtCellJob *job);
bool colt_cell_is_ended (const struct ColtCellJob *job);
void colt_cell_end_job (struct ColtCell *cell,
                        struct ColtCellJob *job,
                        enum ColtJobState state,
                        int64_t now_us);
void colt_cell_open_steps (struct ColtCell *cell,
                           struct ColtCellJob *job,
                           int64_t wall_ms);
/* Returns whether waiting tasks of a step may start now: the steps before it
 * are done, and its occurrence is due. */
bool colt_cell_is_step_ready (const struct ColtCellStep *step, int64_t wall_ms);
void colt_cell_complete_task (struct ColtCell *cell,
                              struct ColtCellTask *task,
                              int64_t now_us);
void colt_cell_update_waiting (struct ColtCellJob *job);
struct ColtCellTask *colt_cell_find_task (const struct ColtCell *cell,
                                          const char *name);
void colt_cell_format_task_name (const struct ColtCellTask *task,
                                 char name[TASK_NAME_SIZE]);
struct ColtCellStep *colt_cell_find_step (const struct ColtCell *cell,
                                          const char *name);
struct ColtCellOrganisation *colt_cell_get_organisation (struct ColtCell *cell,
                                                         const char *name);

/* cell_ended.c */

/* Lists a job that has ended; it is dropped after a while. */
void colt_cell_list_ended (struct ColtCell *cell, struct ColtCellJob *job);
void colt_cell_unlist_ended (struct ColtCell *cell, struct ColtCellJob *job);
/* Drops what is no longer needed of jobs that have ended. */
void colt_cell_drop_ended (struct ColtCell *cell, int64_t now_us);

/* cell_runs.c */
struct ColtCellRun *colt_cell_add_run (struct ColtCell *cell,
                                       struct ColtCellTask *task,
                                       struct ColtCellServer *server,
                                       uint32_t run,
                                       int64_t now_us);
void colt_cell_end_run (struct ColtCell *cell,
                        struct ColtCellRun *run,
                        enum ColtRunEnd how,
                        const char *checkpoint,
                        int64_t now_us);
void colt_cell_stop_run (struct ColtCell *cell,
                         struct ColtCellRun *run,
                         int64_t now_us);
void colt_cell_stop_step (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          int64_t now_us);
/* Stops retrying a run's stop. */
void colt_cell_unlist_stop (struct ColtCell *cell, struct ColtCellRun *run);
/* Completes a task, or its gang, by a run that was taken as lost and was done
 * nevertheless; runs that were started since are stopped. */
void colt_cell_complete_by_earlier_run (struct ColtCell *cell,
                                        struct ColtCellTask *task,
                                        const struct ColtCellServer *server,
                                        uint32_t run,
                                        int64_t now_us);
void colt_cell_count_earlier_failure (struct ColtCell *cell,
                                      struct ColtCellTask *task,
                                      uint32_t run,
                                      int64_t now_us);
void colt_cell_count_failure (struct ColtCell *cell,
                              struct ColtCellTask *task,
                              uint32_t run,
                              int64_t now_us);

/* cell_queues.c */

struct ColtCellQueue *colt_cell_get_queue (struct ColtCell *cell,
                                           const char *name);
void colt_cell_free_queue (gpointer data);
/* Applies the queues of a configuration. One that it lacks rejects new jobs;
 * its existing jobs continue. */
void colt_cell_update_queues (struct ColtCell *cell, struct ColtFleet *fleet);
/* Adds to a new job's specification what its queue is configured to. */
void colt_cell_add_terms (const struct ColtCell *cell,
                          const struct ColtCellQueue *queue,
                          ColtJobSpec *spec);
/* Restores the configuration of a queue that this leader's configurations lack
 * from the record of a job; the latest version counts. terms: NULL is allowed.
 */
void colt_cell_restore_terms (struct ColtCellQueue *queue,
                              const ColtQueueTerms *terms);

/* cell_servers.c */
struct ColtCellServer *colt_cell_find_server (const struct ColtCell *cell,
                                              const char *id);
struct ColtCellServer *colt_cell_get_server (struct ColtCell *cell,
                                             const char *id);
struct ColtCellPool *colt_cell_get_pool (struct ColtCell *cell,
                                         const char *service);
void colt_cell_free_server (gpointer data);
void colt_cell_check_settled (struct ColtCell *cell, int64_t now_us);

/* cell_place.c */
void colt_cell_send_start (struct ColtCell *cell,
                           struct ColtCellRun *run,
                           int64_t now_us);
bool colt_cell_may_already_run (const struct ColtCell *cell,
                                const struct ColtCellTask *task);
void colt_cell_close_steps (struct ColtCell *cell);
bool colt_cell_is_usable (const struct ColtCellServer *server, int64_t now_us);
bool colt_cell_meets_constraints (const struct ColtCellStep *step,
                                  const struct ColtCellServer *server);
/* Returns whether a server isn't too cold for a task of the step. */
bool colt_cell_is_warm_enough (const struct ColtCellStep *step,
                               const struct ColtCellServer *server,
                               int64_t now_us);
bool colt_cell_fits (const struct ColtCellStep *step,
                     const struct ColtCellServer *server);

void colt_cell_set_block (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          enum ColtCellBlock block);
bool colt_cell_is_within_limit (const struct ColtCell *cell,
                                const struct ColtCellStep *step,
                                uint32_t tasks);
/* Lists the servers of a pool on which a task of the step may start now; NULL:
 * none. */
GPtrArray *colt_cell_list_eligible (const struct ColtCellStep *step,
                                    struct ColtCellPool *pool,
                                    bool ticketed,
                                    int64_t now_us);
/* Chooses the best server of a list, which may be NULL, that still is eligible.
 */
struct ColtCellServer *colt_cell_choose_server (const GPtrArray *eligible,
                                                const struct ColtCellStep *step,
                                                const struct ColtCellTask *task,
                                                int64_t now_us);
void colt_cell_plan_run (struct ColtCell *cell,
                         struct ColtCellTask *task,
                         struct ColtCellServer *server,
                         uint32_t number,
                         int64_t now_us);
void colt_cell_append_plan (GString **plan, const struct ColtCellTask *task);
void colt_cell_log_plan (struct ColtCell *cell,
                         struct ColtCellStep *step,
                         GString *plan);
uint32_t colt_cell_next_run_number (const struct ColtCell *cell,
                                    const struct ColtCellTask *task);

/* cell_order.c */
/* Sorts the open steps, once they are ranked, in the order in which they get
 * room. */
void colt_cell_sort_steps (struct ColtCell *cell);

/* cell_room.c */

/* Has to be called before the first step of a pass is placed. */
void colt_cell_begin_room (struct ColtCell *cell);
/* Returns the servers of a pool that may be usable and have room for a task of
 * the step, and perhaps others. */
const GPtrArray *colt_cell_list_with_room (struct ColtCellPool *pool,
                                           const struct ColtCellStep *step,
                                           int64_t now_us);
/* Notes that servers were or will be looked at without that list. Returns
 * whether the list exists or has become worth its cost. */
bool colt_cell_count_searched (struct ColtCellPool *pool, guint searched);
/* Has to be called when room becomes free during a pass. */
void colt_cell_forget_with_room (struct ColtCellPool *pool);
void colt_cell_end_room (struct ColtCell *cell);

/* cell_advice.c */
const struct ColtCellAdvice *
colt_cell_find_ticket (const struct ColtCellStep *step,
                       const struct ColtCellServer *server,
                       int64_t now_us);
enum ColtCellBlock colt_cell_request_advice (struct ColtCell *cell,
                                             struct ColtCellStep *step,
                                             struct ColtCellPool *pool,
                                             int64_t now_us);
bool colt_cell_may_have_ticket (const struct ColtCellStep *step,
                                int64_t now_us);
bool colt_cell_is_suitable (const struct ColtCellAdvice *advice,
                            const struct ColtCellServer *server,
                            int64_t now_us);
bool colt_cell_find_suitability (const struct ColtCellStep *step,
                                 const struct ColtCellServer *server,
                                 bool *suitable);
bool colt_cell_is_known_suitable (const struct ColtCellStep *step,
                                  const struct ColtCellServer *server);
bool colt_cell_is_known_unsuitable (const struct ColtCellStep *step,
                                    const struct ColtCellServer *server);
void colt_cell_send_advice_calls (struct ColtCell *cell, int64_t now_us);
/* Detaches a step that is removed from its pending advice call. */
void colt_cell_abandon_call (struct ColtCellStep *step);
void colt_cell_free_call (gpointer data);

/* cell_candidates.c */
bool colt_cell_may_hold (const struct ColtCellStep *step,
                         const struct ColtCellServer *server);
void colt_cell_name_candidates (const struct ColtCell *cell,
                                const struct ColtCellStep *step,
                                struct ColtCellPool *pool,
                                GPtrArray *servers);
void colt_cell_forget_candidates (struct ColtCell *cell);

/* cell_stragglers.c */
void colt_cell_update_progress (struct ColtCellRun *run,
                                int64_t percent,
                                int64_t now_us);
void colt_cell_move_stragglers (struct ColtCell *cell, int64_t now_us);

#include "cell_failures.h"
#include "cell_policy.h"
#include "cell_rank.h"

#endif
