/* Tables of a cell; shared by the files of this package only. */
#ifndef COLT_CELL_PRIVATE_H
#define COLT_CELL_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

/* Size of a task's name: id, occurrence, step and index. */
#define TASK_NAME_SIZE 64

/* A server isn't taken for more than this many times slower or faster than
 * others. */
#define SLOWNESS_MAX 3.0

/* Runs that one lead may number for a task; the next lead's begin above. */
#define COLT_CELL_RUNS_PER_LEAD 1000u

struct ColtCellJob;
struct ColtCellStep;
struct ColtCellTask;

/* A queue, kept as long as the cell, also after it was removed. */
struct ColtCellQueue
{
  char *name;
  const struct ColtQueueConfig *config; /* of the newest fleet that has it */
  struct ColtFleet *fleet;              /* holds config */
  bool listed;
  uint64_t waiting; /* durable jobs without a start */
  uint32_t asking;  /* calls for advice that are open */
  double task_us;   /* mean duration of a task; 0: not known */
  bool behind;      /* some of its jobs miss their objective */
  bool was_behind;  /* at the pass before */
};

struct ColtCellOrganisation
{
  char *name;
  double weight;
  struct ColtResources maximum;
  struct ColtResources used;
  struct ColtResources unknown; /* may run under an earlier lead's orders */
  double credit; /* jobs that it may hand in now within its share */
  int64_t credit_us;
};

/* Why a step whose turn has come doesn't start now. */
enum ColtCellHold
{
  HOLD_NONE,
  HOLD_NO_SERVICE, /* its service has no servers */
  HOLD_PAUSED,     /* a start failed a moment ago */
  HOLD_UNSETTLED,  /* an earlier lead's orders may still be carried out */
  HOLD_LIMIT,      /* its organisation runs as much as it may */
  HOLD_NO_ROOM,    /* no server that may take it has room */
  HOLD_ADVICE,     /* advice is awaited */
  HOLD_NO_ADVISER, /* every adviser is busy */
  HOLD_GANG        /* an earlier run of its gang has to end first */
};

/* In which order steps get room. */
enum ColtCellRank
{
  RANK_LASTING,  /* what lasts serves its own users */
  RANK_TIMELY,   /* can meet its objective */
  RANK_EXCESS,   /* could, but its organisation asks for more than its share */
  RANK_LATE,     /* can't, but is of some use yet */
  RANK_WORTHLESS /* comes too late to be of use */
};

/* Names of the two, indexed by them. */
extern const char *const colt_cell_hold_string[];
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
  uint32_t run;
  enum ColtCellRunState state;
  bool recorded;         /* the batch on its way has it */
  bool doubted;          /* its start wasn't answered: the next lists tell */
  bool settled;          /* the order and the stop, if any, were answered */
  uint64_t settled_from; /* a report asked for from here on tells for sure */
  int64_t ordered_us;
  int64_t taken_us;     /* when its start was answered; 0: it wasn't */
  bool resumed;         /* from a checkpoint */
  int64_t confirmed_us; /* 0: not seen running */
  int64_t percent;      /* of its work that is done */
  int64_t moved_us;     /* when that rose; 0: it hasn't */
  int64_t told_us;      /* when it was told last; 0: it wasn't */
  int64_t stop_sent_us; /* 0: no stop under way */
  bool stop_answered;
  struct ColtResources demand;
};

struct ColtCellTask
{
  struct ColtCellStep *step;
  uint32_t index; /* in its step */
  uint32_t failures;
  uint32_t last_run;     /* highest run that has ended or was numbered */
  uint32_t recorded_run; /* ends up to it are in the record that was loaded */
  GArray *counted;       /* failures of earlier leads' runs; may be NULL */
  bool done;
  char *checkpoint;            /* NULL: none */
  struct ColtCellRun *current; /* NULL: waits, or is done */
  struct ColtCellServer *last_server;
  struct ColtCellServer *held_by; /* an earlier lead ordered it there */
  uint32_t moves;                 /* runs that were stopped for being slow */
  int64_t waiting_since_us;
  int64_t duration_us; /* of its run that was done; 0: not known */
};

/* Which server may run a step. */
struct ColtCellAdvice
{
  bool good;
  char *ticket;
  int64_t valid_until_us;
  int64_t born_ms;
};

struct ColtCellStep
{
  struct ColtCellJob *job;
  const ColtJobStep *spec;
  uint32_t number;
  uint32_t occurrence;
  uint32_t first_index; /* of its first task, over the whole job */
  uint32_t depth;       /* steps before it, on the longest way */
  uint32_t height;      /* steps after it, on the longest way */
  struct ColtCellTask *tasks;
  uint32_t waiting; /* tasks that are neither done nor have a run */
  uint32_t live;    /* tasks with a run */
  uint32_t done;
  bool open; /* in the cell's list of steps that may start */
  struct ColtResources demand;
  GHashTable *advice; /* struct ColtCellServer -> struct ColtCellAdvice */
  bool advice_pending;
  int64_t advice_from_us; /* no call for advice before this time */
  uint32_t advice_calls;  /* without a start since, for the pause */
  int64_t not_before_us;  /* no start before this time */
  uint32_t gang_run;      /* run whose failure was counted last */
  enum ColtCellHold held; /* at the last pass */
  enum ColtCellRank rank; /* in this pass */
  GPtrArray *wanted;      /* servers that a gang's tasks are to get once their
                             tickets      have come, one for each task; NULL: none */
};

/* Room that a pass keeps for a gang. */
struct ColtCellKept
{
  struct ColtCellServer *server;
  const struct ColtResources *demand;
};

struct ColtCellJob
{
  char id[COLT_JOB_ID_LENGTH + 1];
  struct ColtCellQueue *queue;
  struct ColtCellOrganisation *organisation;
  ColtJobSpec *spec; /* NULL once it has ended and nothing runs */
  struct ColtCellStep *steps;
  uint32_t step_count; /* over all occurrences */
  uint32_t task_count;
  uint32_t live; /* runs */
  uint32_t steps_done;
  enum ColtJobState state;
  enum ColtJobState shown; /* the last that is durable */
  bool begun;
  bool counted; /* in its queue's waiting jobs */
  bool inherited;
  bool excess;      /* beyond its organisation's share when it came */
  bool durable;     /* its specification is */
  bool spec_stored; /* a record with it may stand in the log */
  bool dirty_spec;
  bool dirty;
  bool in_batch;
  bool dropped; /* its records are to be removed */
  int64_t accepted_us;
  int64_t begun_us; /* first start under this lead; 0: none */
  int64_t ended_us;
  int64_t ended_wall_ms;
  uint64_t order; /* of arrival */
};

struct ColtCellServer
{
  char *id;
  char *address;
  char *zone;
  char *rack;
  char **labels;
  struct ColtCellPool *pool;
  bool listed;
  bool ready;
  bool reported; /* by this incarnation to this lead */
  bool dark;
  bool awaited; /* an earlier lead's work may be on it */
  int64_t born_ms;
  struct ColtResources room;
  struct ColtResources used;
  GPtrArray *runs;  /* of struct ColtCellRun */
  uint32_t foreign; /* runs listed that aren't ours */
  uint32_t failures_in_row;
  uint32_t probations;
  int64_t avoid_until_us;
  struct ColtCellKind *kind;
  double log_slowness; /* of its duration against others of its kind */
  uint32_t measured;   /* tasks that log_slowness was learned from */
};

/* Servers with the same first label and the same room: what isn't known of one
 * yet is guessed from the others. */
struct ColtCellKind
{
  double log_slowness; /* of their durations against those of all */
  uint32_t measured;
};

/* The servers of one service. */
struct ColtCellPool
{
  char *name;
  bool guards_room;
  GPtrArray *servers; /* of struct ColtCellServer */
};

struct ColtCell
{
  const struct ColtCellOps *ops;
  void *client;
  struct ColtCellLimits limits;
  uint32_t generation;
  struct ColtFleet *fleet;
  GHashTable *jobs;          /* id -> struct ColtCellJob */
  GHashTable *queues;        /* name -> struct ColtCellQueue */
  GHashTable *organisations; /* name -> struct ColtCellOrganisation */
  GHashTable *servers;       /* id -> struct ColtCellServer */
  GHashTable *pools;         /* service -> struct ColtCellPool */
  GHashTable *kinds;         /* label and room -> struct ColtCellKind */
  GPtrArray *open;           /* of struct ColtCellStep */
  GPtrArray *askers;         /* steps that want advice in this pass */
  GArray *kept;              /* of struct ColtCellKept, in this pass */
  GHashTable *asking;        /* name of a step -> struct ColtCellQueue */
  uint32_t advisers;
  GPtrArray *dirty;     /* of struct ColtCellJob */
  GPtrArray *batch;     /* of struct ColtCellJob */
  GPtrArray *scheduled; /* jobs with occurrences that may not be due yet */
  GQueue ended;         /* of struct ColtCellJob, oldest first */
  uint32_t planned;     /* runs whose record isn't in a batch yet */
  bool settled;
  int64_t settled_us;
  int64_t wall_ms;        /* as told last */
  int64_t now_us;         /* of the pass */
  int64_t next_search_us; /* for runs that fall behind */
  uint64_t next_order;
  struct ColtCellStats stats;
};

/* cell_jobs.c */
struct ColtCellJob *colt_cell_find_job (const struct ColtCell *cell,
                                        const char *id);
struct ColtCellJob *colt_cell_build_job (struct ColtCell *cell,
                                         ColtJobSpec *spec);
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
void colt_cell_task_done (struct ColtCell *cell,
                          struct ColtCellTask *task,
                          int64_t now_us);
void colt_cell_count_waiting (struct ColtCellJob *job);
struct ColtCellTask *colt_cell_find_task (const struct ColtCell *cell,
                                          const char *name);
void colt_cell_name_task (const struct ColtCellTask *task,
                          char name[TASK_NAME_SIZE]);
struct ColtCellStep *colt_cell_find_step (const struct ColtCell *cell,
                                          const char *name);
struct ColtCellQueue *colt_cell_get_queue (struct ColtCell *cell,
                                           const char *name);
struct ColtCellOrganisation *colt_cell_get_organisation (struct ColtCell *cell,
                                                         const char *name);

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
void colt_cell_count_earlier_failure (struct ColtCell *cell,
                                      struct ColtCellTask *task,
                                      uint32_t run,
                                      int64_t now_us);
void colt_cell_count_failure (struct ColtCell *cell,
                              struct ColtCellTask *task,
                              uint32_t run,
                              int64_t now_us);

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
void colt_cell_order_run (struct ColtCell *cell,
                          struct ColtCellRun *run,
                          int64_t now_us);
bool colt_cell_is_held (const struct ColtCell *cell,
                        const struct ColtCellTask *task);
void colt_cell_sweep_open (struct ColtCell *cell);
bool colt_cell_is_usable (const struct ColtCellServer *server, int64_t now_us);
bool colt_cell_allows (const struct ColtCellStep *step,
                       const struct ColtCellServer *server);
bool colt_cell_fits (const struct ColtCellStep *step,
                     const struct ColtCellServer *server);

/* cell_advice.c */
const struct ColtCellAdvice *
colt_cell_find_ticket (const struct ColtCellStep *step,
                       const struct ColtCellServer *server,
                       int64_t now_us);
enum ColtCellHold colt_cell_want_advice (struct ColtCell *cell,
                                         struct ColtCellStep *step,
                                         const struct ColtCellPool *pool,
                                         int64_t now_us);
/* The same for a gang: tickets on certain servers, or on any that it may run
 * on yet. */
enum ColtCellHold
colt_cell_want_tickets (struct ColtCell *cell,
                        struct ColtCellStep *step,
                        struct ColtCellServer *const *servers);
enum ColtCellHold colt_cell_want_servers (struct ColtCell *cell,
                                          struct ColtCellStep *step,
                                          const struct ColtCellPool *pool,
                                          int64_t now_us);
bool colt_cell_is_known_good (const struct ColtCellStep *step,
                              const struct ColtCellServer *server);
bool colt_cell_is_known_bad (const struct ColtCellStep *step,
                             const struct ColtCellServer *server);
void colt_cell_ask_advice (struct ColtCell *cell, int64_t now_us);

/* cell_rescue.c */
void colt_cell_note_progress (struct ColtCellRun *run,
                              int64_t percent,
                              int64_t now_us);
/* Stops runs that stand still or would end long after a new one elsewhere. */
void colt_cell_rescue (struct ColtCell *cell, int64_t now_us);

/* cell_order.c */
void colt_cell_note_duration (const struct ColtCellRun *run, int64_t now_us);
void colt_cell_note_step (struct ColtCellStep *step);
void colt_cell_set_kind (struct ColtCell *cell, struct ColtCellServer *server);
double colt_cell_slowness (const struct ColtCellServer *server);
/* The server runs something this much slower (as a logarithm) than others. */
void colt_cell_note_slow (struct ColtCellServer *server, double log_slowness);
int64_t colt_cell_objective_us (const struct ColtCellJob *job);
bool colt_cell_is_excess (struct ColtCellOrganisation *organisation,
                          int64_t now_us);
void colt_cell_rank (struct ColtCellStep *step, int64_t now_us);

#endif
