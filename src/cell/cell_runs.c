#include <string.h>

#include "cell_backfill.h"
#include "cell_private.h"
#include "cell_progress.h"
#include "cell_usage.h"

/* Delay before a task is retried. It prevents a task that fails immediately
 * from using up its attempts on a single faulty server. */
#define RETRY_DELAY_US (20 * COLT_US_PER_MS)
static void log_end_ (struct ColtCell *cell,
                      const struct ColtCellTask *task,
                      const struct ColtCellServer *server,
                      uint32_t number,
                      enum ColtRunEnd how);
static void log_completion_ (struct ColtCell *cell,
                             const struct ColtCellTask *task,
                             const struct ColtCellServer *server,
                             uint32_t number);
static bool is_earlier_leader_run_ (const struct ColtCell *cell,
                                    const struct ColtCellTask *task,
                                    uint32_t number);
static void
remove_run_ (struct ColtCell *cell, struct ColtCellRun *run, int64_t now_us);
static void store_checkpoint_ (const struct ColtCell *cell,
                               struct ColtCellTask *task,
                               const char *checkpoint);
static void requeue_task_ (struct ColtCell *cell,
                           struct ColtCellTask *task,
                           int64_t now_us);
static void complete_gang_ (struct ColtCell *cell,
                            struct ColtCellStep *step,
                            int64_t now_us);

struct ColtCellRun *
colt_cell_add_run (struct ColtCell *cell,
                   struct ColtCellTask *task,
                   struct ColtCellServer *server,
                   uint32_t number,
                   int64_t now_us)
{
  struct ColtCellRun *run = g_new0 (struct ColtCellRun, 1);
  struct ColtCellStep *step = task->step;
  struct ColtCellJob *job = step->job;

  run->task = task;
  run->server = server;
  run->run = number;
  run->state = RUN_PLANNED;
  if (job->planned == NULL)
    job->planned = g_ptr_array_new ();
  g_ptr_array_add (job->planned, run);
  cell->unrecorded_runs++;
  run->ordered_us = now_us;
  run->resumed = task->checkpoint != NULL;
  run->cold = server->cold.until_us > now_us;
  run->demand = step->demand;
  colt_cell_begin_trial (run);
  colt_cell_begin_probe (run);
  g_ptr_array_add (server->runs, run);
  colt_resources_add (&server->used, &run->demand);
  colt_resources_add (&job->organisation->used, &run->demand);
  colt_cell_count_use (cell, run, now_us);
  task->current = run;
  task->last_run = number;
  step->waiting--;
  cell->steps_to_close |= step->waiting == 0;
  step->active++;
  colt_cell_count_run (cell, run);
  colt_cell_count_waiting (cell, step);
  if (job->active++ == 0)
    {
      g_queue_push_tail (&cell->running_jobs, job);
      job->running_link = cell->running_jobs.tail;
    }
  cell->stats.runs++;
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, job);
  if (!job->begun)
    {
      job->begun = true;
      job->begun_us = now_us;
      if (!colt_cell_is_ended (job))
        job->state = COLT_JOB_RUNNING;
      colt_cell_update_waiting (job);
      colt_cell_count_job (cell, job);
      colt_cell_check_forecast (cell, job, now_us);
    }
  return run;
}

void
colt_cell_end_run (struct ColtCell *cell,
                   struct ColtCellRun *run,
                   enum ColtRunEnd how,
                   const char *checkpoint,
                   int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  struct ColtCellStep *step = task->step;
  struct ColtCellJob *job = step->job;
  struct ColtCellServer *server = run->server;
  uint32_t number = run->run;

  if (how == COLT_RUN_DONE)
    colt_cell_add_duration (run, now_us);
  if (run->state == RUN_PLANNED && !run->recorded)
    cell->unrecorded_runs--;
  colt_cell_judge_server (cell, run, how, now_us);
  colt_cell_end_use (cell, run, now_us);
  remove_run_ (cell, run, now_us);
  cell->stats.runs--;
  cell->stats.ended[how]++;
  store_checkpoint_ (cell, task, checkpoint);
  if (how == COLT_RUN_FAILED)
    colt_cell_clear_losses (cell, task);
  if (how == COLT_RUN_DONE && !step->spec->lasting)
    {
      if (step->spec->gang)
        complete_gang_ (cell, step, now_us);
      else
        colt_cell_complete_task (cell, task, now_us);
      return;
    }
  if (task->done || colt_cell_is_ended (job))
    {
      colt_cell_mark_dirty (cell, job);
      return;
    }
  if (how != COLT_RUN_FAILED)
    log_end_ (cell, task, server, number, how);
  if (how == COLT_RUN_FAILED && is_earlier_leader_run_ (cell, task, number))
    colt_cell_count_earlier_failure (cell, task, number, now_us);
  else if (how == COLT_RUN_FAILED || how == COLT_RUN_DONE)
    colt_cell_count_failure (cell, task, number, now_us);
  colt_cell_mark_dirty (cell, job);
  if (colt_cell_is_ended (job))
    return;
  if (step->spec->gang)
    colt_cell_stop_step (cell, step, now_us);
  requeue_task_ (cell, task, now_us);
}

/* Failures of a gang's tasks with the same run number count as one. */
void
colt_cell_count_failure (struct ColtCell *cell,
                         struct ColtCellTask *task,
                         uint32_t number,
                         int64_t now_us)
{
  struct ColtCellStep *step = task->step;
  struct ColtCellJob *job = step->job;
  struct ColtCellTask *counted = step->spec->gang ? &step->tasks[0] : task;
  char detail[2 * TASK_NAME_SIZE];

  if (step->spec->lasting)
    return;
  if (step->spec->gang)
    {
      if (step->failed_gang_run == number)
        return;
      step->failed_gang_run = number;
    }
  counted->failures++;
  colt_cell_mark_entry (counted);
  colt_cell_mark_dirty (cell, job);
  g_snprintf (
      detail, sizeof detail, "%u.%u.%u: run %u, %u of %u", step->occurrence,
      step->number, task->index, number, counted->failures,
      job->queue->config != NULL ? job->queue->config->max_attempts : 0);
  cell->ops->log_decision (cell->client, job->id, "attempt failed", detail);
  if (job->queue->config != NULL
      && counted->failures >= job->queue->config->max_attempts)
    colt_cell_end_job (cell, job, COLT_JOB_FAILED, now_us);
}

/* Counts the failure of a run that an earlier leader started. Servers report
 * such ends in any order and repeat each until it is durable, so that every run
 * must be counted only once; failures of runs up to recorded_run are included
 * in the loaded record. */
void
colt_cell_count_earlier_failure (struct ColtCell *cell,
                                 struct ColtCellTask *task,
                                 uint32_t number,
                                 int64_t now_us)
{
  guint i;

  if (!is_earlier_leader_run_ (cell, task, number))
    return;
  if (task->counted_runs == NULL)
    task->counted_runs = g_array_new (FALSE, FALSE, sizeof number);
  for (i = 0; i < task->counted_runs->len; i++)
    if (g_array_index (task->counted_runs, uint32_t, i) == number)
      return;
  g_array_append_val (task->counted_runs, number);
  task->last_run = MAX (task->last_run, number);
  task->earlier_server = NULL;
  colt_cell_mark_entry (task);
  colt_cell_count_failure (cell, task, number, now_us);
}

/* The task is completed first, so that a run that is only planned ends without
 * the task being queued again. */
void
colt_cell_complete_by_earlier_run (struct ColtCell *cell,
                                   struct ColtCellTask *task,
                                   const struct ColtCellServer *server,
                                   uint32_t number,
                                   int64_t now_us)
{
  struct ColtCellStep *step = task->step;
  uint32_t first = step->spec->gang ? 0 : task->index;
  uint32_t end = step->spec->gang ? step->spec->count : task->index + 1;
  uint32_t i;

  log_completion_ (cell, task, server, number);
  if (step->spec->gang)
    complete_gang_ (cell, step, now_us);
  else
    colt_cell_complete_task (cell, task, now_us);
  for (i = first; i < end; i++)
    {
      struct ColtCellRun *run = step->tasks[i].current;

      if (run != NULL && run->run != number && run->state != RUN_STOPPING)
        colt_cell_stop_run (cell, run, now_us);
    }
}

void
colt_cell_stop_run (struct ColtCell *cell,
                    struct ColtCellRun *run,
                    int64_t now_us)
{
  char name[TASK_NAME_SIZE];

  if (run->state == RUN_PLANNED)
    {
      colt_cell_end_run (cell, run, COLT_RUN_STOPPED, NULL, now_us);
      return;
    }
  run->state = RUN_STOPPING;
  if (run->stop_answered
      || (run->stop_sent_us != 0
          && now_us - run->stop_sent_us < cell->limits.stop_retry_us))
    return;
  if (run->stop_link == NULL)
    {
      g_queue_push_tail (&cell->stops, run);
      run->stop_link = cell->stops.tail;
    }
  run->answered = false;
  run->stop_sent_us = now_us;
  colt_cell_format_task_name (run->task, name);
  cell->ops->stop (cell->client, run->server->id, name, run->run);
}

void
colt_cell_stop_step (struct ColtCell *cell,
                     struct ColtCellStep *step,
                     int64_t now_us)
{
  uint32_t i;

  for (i = 0; i < step->spec->count && step->active > 0; i++)
    {
      struct ColtCellRun *run = step->tasks[i].current;

      if (run != NULL && run->state != RUN_STOPPING && !step->tasks[i].done)
        colt_cell_stop_run (cell, run, now_us);
    }
}

void
colt_cell_unlist_stop (struct ColtCell *cell, struct ColtCellRun *run)
{
  if (run->stop_link == NULL)
    return;
  g_queue_delete_link (&cell->stops, run->stop_link);
  run->stop_link = NULL;
}

static void
log_end_ (struct ColtCell *cell,
          const struct ColtCellTask *task,
          const struct ColtCellServer *server,
          uint32_t number,
          enum ColtRunEnd how)
{
  char detail[2 * TASK_NAME_SIZE];

  g_snprintf (detail, sizeof detail, "%u.%u.%u: run %u on %s, %s",
              task->step->occurrence, task->step->number, task->index, number,
              server->id, colt_run_end_string[how]);
  cell->ops->log_decision (cell->client, task->step->job->id, "run ended",
                           detail);
}

static void
log_completion_ (struct ColtCell *cell,
                 const struct ColtCellTask *task,
                 const struct ColtCellServer *server,
                 uint32_t number)
{
  const struct ColtCellStep *step = task->step;
  char detail[3 * TASK_NAME_SIZE];
  char current[TASK_NAME_SIZE] = "";

  if (task->current != NULL)
    g_snprintf (current, sizeof current, "; run %u is stopped",
                task->current->run);
  g_snprintf (detail, sizeof detail, "%u.%u.%u: run %u on %s%s",
              step->occurrence, step->number, task->index, number, server->id,
              current);
  cell->ops->log_decision (cell->client, step->job->id,
                           "task completed by earlier run", detail);
}

static bool
is_earlier_leader_run_ (const struct ColtCell *cell,
                        const struct ColtCellTask *task,
                        uint32_t number)
{
  return task->step->job->inherited && number > task->recorded_run
         && number <= cell->generation * COLT_CELL_RUNS_PER_LEADER;
}

static void
remove_run_ (struct ColtCell *cell, struct ColtCellRun *run, int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  struct ColtCellStep *step = task->step;

  colt_cell_unlist_stop (cell, run);
  colt_cell_end_trial (run);
  colt_cell_end_probe (run);
  g_ptr_array_remove (step->job->planned, run);
  g_ptr_array_remove_fast (run->server->runs, run);
  colt_resources_subtract (&run->server->used, &run->demand);
  colt_cell_note_room (run->server);
  if (run->server->pool != NULL)
    colt_cell_forget_with_room (run->server->pool);
  colt_resources_subtract (&step->job->organisation->used, &run->demand);
  task->current = NULL;
  colt_cell_mark_entry (task);
  task->last_server = run->server;
  step->active--;
  if (--step->job->active == 0)
    {
      g_queue_delete_link (&cell->running_jobs, step->job->running_link);
      step->job->running_link = NULL;
    }
  if (!task->done)
    step->waiting++;
  colt_cell_uncount_run (cell, run, now_us);
  colt_cell_count_waiting (cell, step);
  g_free (run);
}

static void
store_checkpoint_ (const struct ColtCell *cell,
                   struct ColtCellTask *task,
                   const char *checkpoint)
{
  struct ColtCellStep *step = task->step;
  uint32_t i;

  if (checkpoint == NULL || checkpoint[0] == '\0' || task->done
      || !colt_cell_can_store_checkpoint (cell, checkpoint))
    return;
  if (!step->spec->gang)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (checkpoint);
      colt_cell_mark_entry (task);
      return;
    }
  for (i = 0; i < step->spec->count; i++)
    {
      g_free (step->tasks[i].checkpoint);
      step->tasks[i].checkpoint = g_strdup (checkpoint);
      colt_cell_mark_entry (&step->tasks[i]);
    }
}

static void
requeue_task_ (struct ColtCell *cell, struct ColtCellTask *task, int64_t now_us)
{
  struct ColtCellStep *step = task->step;

  task->waiting_since_us = now_us;
  if (step->not_before_us < now_us + RETRY_DELAY_US && !step->spec->lasting)
    step->not_before_us = now_us + RETRY_DELAY_US;
  colt_cell_open_steps (cell, step->job, cell->wall_ms);
}

/* Completes all tasks of a gang once one of them is done. */
static void
complete_gang_ (struct ColtCell *cell,
                struct ColtCellStep *step,
                int64_t now_us)
{
  struct ColtCellJob *job = step->job;
  uint32_t count = step->spec->count;
  uint32_t i;

  /* Completing the last task may end the job; its steps stay valid until its
   * runs have ended. */
  for (i = 0; i < count && !colt_cell_is_ended (job); i++)
    colt_cell_complete_task (cell, &step->tasks[i], now_us);
}
