#include <math.h>

#include "cell_private.h"

/* Time between two searches for runs that fall behind. */
#define SEARCH_US (200 * COLT_US_PER_MS)
/* A run is left alone this long, and until this much of it is done: what it
 * says of its work is whole percents. */
#define LEAVE_ALONE_US (300 * COLT_US_PER_MS)
#define LEAST_PERCENT 2
/* A run whose work hasn't moved for this long stands still; a server that runs
 * something tells of it at least once a second. */
#define STILL_US (1500 * COLT_US_PER_MS)
/* What a stop, advice and another start take together. */
#define COST_US (700 * COLT_US_PER_MS)
/* A run that would take this many times what a new one takes, and the cost, is
 * given up. */
#define BEHIND_FACTOR 1.3
/* Tasks of a step differ, and so do sound servers: a run that takes less than
 * this many times what the others take is left alone. */
#define SLOW_FACTOR 2.5
/* Other tasks of a step that tell what its tasks take. */
#define LEAST_OTHERS 2
/* A task is moved at most this often: it may be slow by itself. */
#define MOVES_MAX 2

static void
search_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us);
static void
search_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us);
static double usual_us_ (const struct ColtCellStep *step);
static double whole_us_ (const struct ColtCellTask *task);
static bool is_sought_ (const struct ColtCellRun *run, int64_t now_us);
static bool
stands_still_ (const struct ColtCellRun *run, double usual_us, int64_t now_us);
static bool
is_behind_ (const struct ColtCellRun *run, double usual_us, int64_t now_us);
static bool has_other_room_ (const struct ColtCell *cell,
                             const struct ColtCellRun *run,
                             int64_t now_us);
static void give_up_ (struct ColtCell *cell,
                      struct ColtCellRun *run,
                      double usual_us,
                      int64_t now_us);
static int compare_doubles_ (gconstpointer a, gconstpointer b);

void
colt_cell_note_progress (struct ColtCellRun *run,
                         int64_t percent,
                         int64_t now_us)
{
  if (percent > run->percent)
    {
      run->percent = percent;
      run->moved_us = now_us;
    }
  run->told_us = now_us;
}

void
colt_cell_rescue (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  if (now_us < cell->next_search_us)
    return;
  cell->next_search_us = now_us + SEARCH_US;
  g_hash_table_iter_init (&i, cell->jobs);
  while (g_hash_table_iter_next (&i, NULL, &value))
    search_job_ (cell, value, now_us);
}

static void
search_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us)
{
  uint32_t i;

  if (job->live == 0 || colt_cell_is_ended (job) || job->queue->config == NULL)
    return;
  for (i = 0; i < job->step_count; i++)
    if (job->steps[i].live > 0 && !job->steps[i].spec->lasting)
      search_step_ (cell, &job->steps[i], now_us);
}

/* The tasks of a gang work only together: one that stands still holds up all of
 * them, and all start again. */
static void
search_step_ (struct ColtCell *cell, struct ColtCellStep *step, int64_t now_us)
{
  double usual_us = usual_us_ (step);
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      struct ColtCellRun *run = step->tasks[i].current;

      if (run == NULL || !is_sought_ (run, now_us)
          || (!stands_still_ (run, usual_us, now_us)
              && (step->spec->gang || !is_behind_ (run, usual_us, now_us)))
          || !has_other_room_ (cell, run, now_us))
        continue;
      give_up_ (cell, run, usual_us, now_us);
      if (step->spec->gang)
        {
          colt_cell_stop_step (cell, step, now_us);
          return;
        }
    }
}

/* What most tasks of a step take, of those that have ended or are well on their
 * way; 0 if there are too few. */
static double
usual_us_ (const struct ColtCellStep *step)
{
  GArray *known = g_array_new (FALSE, FALSE, sizeof (double));
  double usual_us = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      double whole_us = whole_us_ (&step->tasks[i]);

      if (whole_us > 0)
        g_array_append_val (known, whole_us);
    }
  g_array_sort (known, compare_doubles_);
  if (known->len > LEAST_OTHERS)
    usual_us = g_array_index (known, double, known->len / 2);
  g_array_unref (known);
  return usual_us;
}

/* What a task took, or will take by what it has done so far; 0: not known. */
static double
whole_us_ (const struct ColtCellTask *task)
{
  const struct ColtCellRun *run = task->current;

  if (task->duration_us > 0)
    return (double)task->duration_us;
  if (run == NULL || run->resumed || run->taken_us == 0
      || run->percent < LEAST_PERCENT)
    return 0;
  return (double)(run->told_us - run->taken_us) * 100 / (double)run->percent;
}

static bool
is_sought_ (const struct ColtCellRun *run, int64_t now_us)
{
  return run->state == RUN_RUNNING && run->taken_us > 0 && run->told_us > 0
         && now_us - run->taken_us >= LEAVE_ALONE_US
         && run->task->moves < MOVES_MAX && !run->server->dark;
}

/* A percent of a long task takes a while itself. */
static bool
stands_still_ (const struct ColtCellRun *run, double usual_us, int64_t now_us)
{
  int64_t since_us = MAX (run->moved_us, run->taken_us);
  double percent_us = usual_us > 0 ? usual_us / 100 : 0;

  if (usual_us <= 0)
    percent_us = run->task->step->job->queue->task_us / 20;
  return run->percent < 100
         && (double)(run->told_us - since_us)
                >= (double)STILL_US + 2 * percent_us
         && now_us - run->told_us < STILL_US;
}

static bool
is_behind_ (const struct ColtCellRun *run, double usual_us, int64_t now_us)
{
  double whole_us = whole_us_ (run->task);
  double left_us = whole_us - (double)(now_us - run->taken_us);
  double again_us = usual_us;

  if (usual_us <= 0 || whole_us <= 0)
    return false;
  if (run->task->checkpoint != NULL)
    again_us *= (100.0 - (double)run->percent) / 100;
  return whole_us > SLOW_FACTOR * usual_us
         && left_us > BEHIND_FACTOR * again_us + COST_US;
}

static bool
has_other_room_ (const struct ColtCell *cell,
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
          && colt_cell_fits (step, server) && colt_cell_allows (step, server)
          && !colt_cell_is_known_bad (step, server))
        return true;
    }
  return false;
}

/* The server is taken to be as slow as that run shows. */
static void
give_up_ (struct ColtCell *cell,
          struct ColtCellRun *run,
          double usual_us,
          int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  double whole_us = whole_us_ (task);
  char detail[2 * TASK_NAME_SIZE];

  g_snprintf (
      detail, sizeof detail,
      "%u.%u.%u: run %u on %s, %d of 100 after %d ms, others take %d ms",
      task->step->occurrence, task->step->number, task->index, run->run,
      run->server->id, (int)run->percent,
      (int)((now_us - run->taken_us) / COLT_US_PER_MS),
      (int)(usual_us / COLT_US_PER_MS));
  cell->ops->decided (cell->client, task->step->job->id, "run moved", detail);
  cell->stats.moved++;
  task->moves++;
  colt_cell_note_slow (run->server, usual_us > 0 && whole_us > usual_us
                                        ? log (whole_us / usual_us)
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
