#include <math.h>

#include "cell_backfill.h"

/* Time between searches for stragglers. */
#define SEARCH_INTERVAL_US (200 * COLT_US_PER_MS)
/* A run may be moved after this run time. */
#define RUN_TIME_MIN_US (300 * COLT_US_PER_MS)
/* Percentage from which the duration of a run is estimated; progress is
 * reported in whole percents. */
#define PERCENT_MIN 2
/* A run without progress for this long is stalled. A server with runs reports
 * their progress at least once a second. */
#define STALL_US (1500 * COLT_US_PER_MS)
/* Time that a stop, an advice call and another start take together. */
#define MOVE_COST_US (700 * COLT_US_PER_MS)
/* A run is stopped if its remaining time exceeds this many times the duration
 * of a new run, plus MOVE_COST_US. */
#define MOVE_FACTOR 1.3
/* A run is a straggler if its estimated duration exceeds this many times the
 * median of its step; smaller differences are normal among tasks and among
 * healthy servers. */
#define SLOW_FACTOR 2.5
/* Other tasks of a step that are required for a median duration. */
#define OTHER_TASKS_MIN 2
/* Most moves of a task, since a task that stays slow may be slow by itself. */
#define MOVES_MAX 2

static void
check_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us);
static void
check_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us);
static bool has_suspect_ (const struct ColtCellStep *step, int64_t now_us);
static double median_us_ (const struct ColtCellStep *step);
static double expected_us_ (const struct ColtCellTask *task);
static bool may_be_moved_ (const struct ColtCellRun *run, int64_t now_us);
static bool
is_stalled_ (const struct ColtCellRun *run, double median_us, int64_t now_us);
static bool makes_no_progress_ (const struct ColtCellRun *run,
                                double percent_us,
                                int64_t now_us);
static bool
is_straggler_ (const struct ColtCellRun *run, double median_us, int64_t now_us);
static bool has_room_elsewhere_ (const struct ColtCell *cell,
                                 const struct ColtCellRun *run,
                                 int64_t now_us);
static void move_run_ (struct ColtCell *cell,
                       struct ColtCellRun *run,
                       double median_us,
                       int64_t now_us);
static int compare_doubles_ (gconstpointer a, gconstpointer b);

void
colt_cell_update_progress (struct ColtCellRun *run,
                           int64_t percent,
                           int64_t now_us)
{
  if (percent > run->percent)
    {
      run->percent = percent;
      run->progress_us = now_us;
    }
  run->reported_us = now_us;
}

/* Stops runs that are stalled or would end long after a new run elsewhere. */
void
colt_cell_move_stragglers (struct ColtCell *cell, int64_t now_us)
{
  GList *link = cell->running_jobs.head;

  if (now_us < cell->next_search_us)
    return;
  cell->next_search_us = now_us + SEARCH_INTERVAL_US;
  while (link != NULL)
    {
      struct ColtCellJob *job = link->data;

      link = link->next;
      check_job_ (cell, job, now_us);
    }
}

static void
check_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us)
{
  uint32_t i;

  if (colt_cell_is_ended (job) || job->queue->config == NULL)
    return;
  for (i = 0; i < job->step_count; i++)
    if (job->steps[i].active > 0 && !job->steps[i].spec->lasting)
      check_step_ (cell, &job->steps[i], now_us);
}

/* Tasks of a gang only progress together: one stalled task stalls the gang, so
 * that the whole gang is restarted. */
static void
check_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us)
{
  double median_us;
  uint32_t i;

  if (!has_suspect_ (step, now_us))
    return;
  median_us = median_us_ (step);
  for (i = 0; i < step->spec->count; i++)
    {
      struct ColtCellRun *run = step->tasks[i].current;

      if (run == NULL || !may_be_moved_ (run, now_us)
          || (!is_stalled_ (run, median_us, now_us)
              && (step->spec->gang || !is_straggler_ (run, median_us, now_us)))
          || !has_room_elsewhere_ (cell, run, now_us))
        continue;
      move_run_ (cell, run, median_us, now_us);
      if (step->spec->gang)
        {
          colt_cell_stop_step (cell, step, now_us);
          return;
        }
    }
}

/* Returns false if no run of a step can be stalled or a straggler, whatever the
 * median duration is. */
static bool
has_suspect_ (const struct ColtCellStep *step, int64_t now_us)
{
  double shortest_us = HUGE_VAL;
  double longest_us = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      const struct ColtCellRun *run = step->tasks[i].current;
      double expected_us = expected_us_ (&step->tasks[i]);

      if (expected_us > 0)
        shortest_us = MIN (shortest_us, expected_us);
      if (run == NULL || !may_be_moved_ (run, now_us))
        continue;
      if (makes_no_progress_ (run, 0, now_us))
        return true;
      longest_us = MAX (longest_us, expected_us);
    }
  return longest_us > SLOW_FACTOR * shortest_us;
}

/* Returns the median duration of a step's tasks that are done or can be
 * estimated; 0 if there are too few. */
static double
median_us_ (const struct ColtCellStep *step)
{
  GArray *known = g_array_new (FALSE, FALSE, sizeof (double));
  double median_us = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      double expected_us = expected_us_ (&step->tasks[i]);

      if (expected_us > 0)
        g_array_append_val (known, expected_us);
    }
  g_array_sort (known, compare_doubles_);
  if (known->len > OTHER_TASKS_MIN)
    median_us = g_array_index (known, double, known->len / 2);
  g_array_unref (known);
  return median_us;
}

/* Returns the duration of a task that is done, or an estimate from its
 * progress; 0 if there is none. */
static double
expected_us_ (const struct ColtCellTask *task)
{
  const struct ColtCellRun *run = task->current;

  if (task->duration_us > 0)
    return (double)task->duration_us;
  if (run == NULL || run->resumed || run->started_us == 0
      || run->percent < PERCENT_MIN)
    return 0;
  return (double)(run->reported_us - run->started_us) * 100
         / (double)run->percent;
}

static bool
may_be_moved_ (const struct ColtCellRun *run, int64_t now_us)
{
  return run->state == RUN_RUNNING && run->started_us > 0
         && run->reported_us > 0 && now_us - run->started_us >= RUN_TIME_MIN_US
         && run->task->moves < MOVES_MAX && !run->server->unreachable;
}

/* Returns whether an unfinished run that still reports has made no progress for
 * STALL_US plus twice the estimated time of a percent, since a percent of a
 * long task takes a while by itself. */
static bool
is_stalled_ (const struct ColtCellRun *run, double median_us, int64_t now_us)
{
  if (median_us > 0)
    return makes_no_progress_ (run, median_us / 100, now_us);
  return makes_no_progress_ (run, run->task->step->job->queue->task_us / 20,
                             now_us);
}

/* Returns whether a run lacks progress if a percent takes percent_us. */
static bool
makes_no_progress_ (const struct ColtCellRun *run,
                    double percent_us,
                    int64_t now_us)
{
  int64_t since_us = MAX (run->progress_us, run->started_us);

  return run->percent < 100
         && (double)(run->reported_us - since_us)
                >= (double)STALL_US + 2 * percent_us
         && now_us - run->reported_us < STALL_US;
}

static bool
is_straggler_ (const struct ColtCellRun *run, double median_us, int64_t now_us)
{
  double expected_us = expected_us_ (run->task);
  double remaining_us = expected_us - (double)(now_us - run->started_us);
  double restart_us = median_us;

  if (median_us <= 0 || expected_us <= 0)
    return false;
  if (run->task->checkpoint != NULL)
    restart_us *= (100.0 - (double)run->percent) / 100;
  return expected_us > SLOW_FACTOR * median_us
         && remaining_us > MOVE_FACTOR * restart_us + MOVE_COST_US;
}

static bool
has_room_elsewhere_ (const struct ColtCell *cell,
                     const struct ColtCellRun *run,
                     int64_t now_us)
{
  const struct ColtCellStep *step = run->task->step;
  const struct ColtCellPool *pool
      = g_hash_table_lookup (cell->pools, step->job->queue->config->service);
  guint i;

  for (i = 0; pool != NULL && i < pool->servers->len; i++)
    {
      const struct ColtCellServer *server
          = g_ptr_array_index (pool->servers, i);

      if (server != run->server && colt_cell_is_usable (server, now_us)
          && server->cold.until_us <= now_us && colt_cell_fits (step, server)
          && colt_cell_meets_constraints (step, server)
          && colt_cell_may_use (step, server, now_us)
          && !colt_cell_is_known_unsuitable (step, server))
        return true;
    }
  return false;
}

/* Stops a run so that its task starts elsewhere, and raises the slowness of its
 * server to that of the run. */
static void
move_run_ (struct ColtCell *cell,
           struct ColtCellRun *run,
           double median_us,
           int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  double expected_us = expected_us_ (task);
  char detail[2 * TASK_NAME_SIZE];

  g_snprintf (
      detail, sizeof detail,
      "%u.%u.%u: run %u on %s, %d of 100 after %d ms, others take %d ms",
      task->step->occurrence, task->step->number, task->index, run->run,
      run->server->id, (int)run->percent,
      (int)((now_us - run->started_us) / COLT_US_PER_MS),
      (int)(median_us / COLT_US_PER_MS));
  cell->ops->log_decision (cell->client, task->step->job->id, "run moved",
                           detail);
  cell->stats.moved++;
  task->moves++;
  colt_cell_raise_slowness (run->server,
                            median_us > 0 && expected_us > median_us
                                ? log (expected_us / median_us)
                                : log (SLOWNESS_MAX));
  colt_cell_stop_run (cell, run, now_us);
}

static int
compare_doubles_ (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}
