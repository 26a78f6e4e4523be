/* Checks that each task that is ready to start is looked at by placement passes
 * or waits for an event that has to come. */
#include "cell_watchdog.h"
#include "cell_private.h"

/* Steps and tasks that are checked in a tick. At 24,000 jobs of which each has
 * a few steps, all are checked within some seconds. */
#define CHECKS_PER_TICK 1000u
/* Tasks that are logged and released in a tick; the others follow in later
 * ticks, as these lines aren't subject to the limit of the log. */
#define STALLED_PER_TICK 10u
/* Passes after which a listed step must have been looked at. */
#define PASSES_MAX 2
/* Longest pause of a step; the longest that is set is 1.6 s. */
#define PAUSE_MAX_US (10 * COLT_US_PER_S)
/* Longest time of a call for advice; the scheduler ends one after 2.5 s. */
#define ADVICE_MAX_US (10 * COLT_US_PER_S)
/* Longest time from the answer of a stop, or the latest report that lists its
 * run, to the end of the run. */
#define STOP_MAX_US (10 * COLT_US_PER_S)
/* Size in bytes of a buffer for what is logged. */
#define DETAIL_SIZE 512

/* A check that is under way. */
struct ColtWatch
{
  struct ColtCell *cell;
  int64_t now_us;
  uint32_t checks;  /* left in this tick */
  uint32_t stalled; /* found in this tick */
};

static bool check_job_ (struct ColtWatch *watch, struct ColtCellJob *job);
static void check_step_ (struct ColtWatch *watch, struct ColtCellStep *step);
static bool is_looked_at_ (const struct ColtCell *cell,
                           const struct ColtCellStep *step);
static void relist_ (struct ColtCell *cell, struct ColtCellStep *step);
static bool is_call_lost_ (const struct ColtWatch *watch,
                           const struct ColtCellStep *step);
static void drop_call_ (struct ColtCell *cell, struct ColtCellStep *step);
static bool is_pause_too_long_ (const struct ColtWatch *watch,
                                const struct ColtCellStep *step);
static bool is_gang_divided_ (const struct ColtCellStep *step);
static void complete_gang_ (struct ColtWatch *watch, struct ColtCellStep *step);
static bool check_runs_ (struct ColtWatch *watch, struct ColtCellStep *step);
static void check_run_ (struct ColtWatch *watch, struct ColtCellRun *run);
static void check_planned_run_ (struct ColtWatch *watch,
                                struct ColtCellRun *run);
static void check_stopping_run_ (struct ColtWatch *watch,
                                 struct ColtCellRun *run);
static void log_step_ (struct ColtWatch *watch,
                       const struct ColtCellStep *step,
                       const char *cause,
                       const char *action);
static void log_run_ (struct ColtWatch *watch,
                      const struct ColtCellRun *run,
                      const char *cause,
                      const char *action);
static void log_stalled_ (struct ColtWatch *watch,
                          const struct ColtCellStep *step,
                          const char *detail);
static long long age_ms_ (const struct ColtWatch *watch, int64_t since_us);

void
colt_cell_watch_job (struct ColtCell *cell, struct ColtCellJob *job)
{
  g_queue_push_tail (&cell->watched, job);
  job->watch_link = cell->watched.tail;
}

void
colt_cell_unwatch_job (struct ColtCell *cell, struct ColtCellJob *job)
{
  if (job->watch_link == NULL)
    return;
  if (job->watch_link == cell->watched.head)
    {
      cell->watched_step = 0;
      cell->watched_task = 0;
    }
  g_queue_delete_link (&cell->watched, job->watch_link);
  job->watch_link = NULL;
}

/* The job at the head is being checked, from watched_step and watched_task on;
 * then it goes to the end. Checks may end jobs, which unlists them. */
void
colt_cell_watch_tasks (struct ColtCell *cell, int64_t now_us)
{
  struct ColtWatch watch = { cell, now_us, CHECKS_PER_TICK, 0 };
  guint jobs = cell->watched.length;

  while (jobs > 0 && watch.checks > 0 && watch.stalled < STALLED_PER_TICK)
    {
      struct ColtCellJob *job = g_queue_peek_head (&cell->watched);

      if (job == NULL)
        return;
      if (!check_job_ (&watch, job))
        continue;
      jobs--;
      if (job->watch_link == NULL || job->watch_link != cell->watched.head)
        continue;
      g_queue_push_tail_link (&cell->watched,
                              g_queue_pop_head_link (&cell->watched));
      cell->watched_step = 0;
      cell->watched_task = 0;
    }
}

/* Checks steps of a job from the first unchecked one on. Returns whether all
 * have been checked or the job has ended. */
static bool
check_job_ (struct ColtWatch *watch, struct ColtCellJob *job)
{
  struct ColtCell *cell = watch->cell;

  watch->checks--;
  while (cell->watched_step < job->step_count)
    {
      struct ColtCellStep *step = &job->steps[cell->watched_step];

      if (watch->checks == 0 || watch->stalled >= STALLED_PER_TICK)
        return false;
      watch->checks--;
      if (cell->watched_task == 0 && step->waiting > 0)
        check_step_ (watch, step);
      if (colt_cell_is_ended (job))
        return true;
      if (step->active > 0 && !check_runs_ (watch, step))
        return false;
      if (colt_cell_is_ended (job))
        return true;
      cell->watched_task = 0;
      cell->watched_step++;
    }
  return true;
}

/* Checks what the waiting tasks of a step wait for. */
static void
check_step_ (struct ColtWatch *watch, struct ColtCellStep *step)
{
  struct ColtCell *cell = watch->cell;

  if (!colt_cell_is_step_ready (step, cell->wall_ms))
    return;
  if (!is_looked_at_ (cell, step))
    {
      log_step_ (watch, step, "no pass looks at the step",
                 "it is listed again");
      relist_ (cell, step);
    }
  if (is_call_lost_ (watch, step))
    {
      log_step_ (watch, step, "its call for advice has no end",
                 "the call is dropped");
      drop_call_ (cell, step);
    }
  if (is_pause_too_long_ (watch, step))
    {
      log_step_ (watch, step, "its pause has no end", "the pause ends");
      step->not_before_us = watch->now_us;
      step->next_advice_us = watch->now_us;
    }
  if (is_gang_divided_ (step))
    {
      log_step_ (watch, step, "a part of the gang is done and nothing runs",
                 "the gang is completed");
      complete_gang_ (watch, step);
    }
}

/* Passes look at each listed step, and note the number of the pass. */
static bool
is_looked_at_ (const struct ColtCell *cell, const struct ColtCellStep *step)
{
  return step->open && cell->passes - step->looked_pass < PASSES_MAX;
}

static void
relist_ (struct ColtCell *cell, struct ColtCellStep *step)
{
  g_ptr_array_remove_fast (cell->open_steps, step);
  step->open = false;
  colt_cell_open_steps (cell, step->job, cell->wall_ms);
}

static bool
is_call_lost_ (const struct ColtWatch *watch, const struct ColtCellStep *step)
{
  const struct ColtCellCall *call = step->call;

  return call != NULL
         && (watch->now_us - call->sent_us > ADVICE_MAX_US
             || g_hash_table_lookup (watch->cell->open_calls, &call->number)
                    != call);
}

/* A later reply to the call is disregarded. */
static void
drop_call_ (struct ColtCell *cell, struct ColtCellStep *step)
{
  struct ColtCellCall *call = step->call;

  colt_cell_abandon_call (step);
  if (g_hash_table_lookup (cell->open_calls, &call->number) != call)
    return;
  call->queue->open_calls--;
  g_hash_table_remove (cell->open_calls, &call->number);
}

static bool
is_pause_too_long_ (const struct ColtWatch *watch,
                    const struct ColtCellStep *step)
{
  return MAX (step->not_before_us, step->next_advice_us) - watch->now_us
         > PAUSE_MAX_US;
}

/* Tasks of a gang are completed together; a record that has only some of them
 * as done would block the others for good. */
static bool
is_gang_divided_ (const struct ColtCellStep *step)
{
  return step->spec->gang && step->done > 0 && step->active == 0;
}

static void
complete_gang_ (struct ColtWatch *watch, struct ColtCellStep *step)
{
  uint32_t i;

  for (i = 0; i < step->spec->count && step->waiting > 0; i++)
    colt_cell_complete_task (watch->cell, &step->tasks[i], watch->now_us);
}

/* Checks runs of a step from the first unchecked task on. Returns whether all
 * have been checked. */
static bool
check_runs_ (struct ColtWatch *watch, struct ColtCellStep *step)
{
  struct ColtCell *cell = watch->cell;

  for (; cell->watched_task < step->spec->count; cell->watched_task++)
    {
      struct ColtCellRun *run = step->tasks[cell->watched_task].current;

      if (watch->checks == 0 || watch->stalled >= STALLED_PER_TICK)
        return false;
      watch->checks--;
      if (run != NULL)
        check_run_ (watch, run);
    }
  return true;
}

static void
check_run_ (struct ColtWatch *watch, struct ColtCellRun *run)
{
  int64_t run_wait_us = watch->cell->limits.run_wait_us;

  switch (run->state)
    {
    case RUN_PLANNED:
      check_planned_run_ (watch, run);
      return;
    case RUN_STARTING:
      /* Further ends are listed once the log has taken earlier ones. */
      if (run_wait_us == 0 || run->server->may_have_more
          || watch->now_us - run->ordered_us <= run_wait_us)
        return;
      log_run_ (watch, run, "its start has no result", "it is stopped");
      colt_cell_stop_run (watch->cell, run, watch->now_us);
      return;
    case RUN_STOPPING:
      check_stopping_run_ (watch, run);
      return;
    case RUN_RUNNING:
      return;
    }
}

/* A start is ordered once a batch that includes its run is durable: the run is
 * in the pending batch, or its job is listed for the next one. */
static void
check_planned_run_ (struct ColtWatch *watch, struct ColtCellRun *run)
{
  struct ColtCellJob *job = run->task->step->job;

  if (run->recorded ? job->in_batch : job->dirty)
    return;
  if (run->recorded)
    {
      log_run_ (watch, run, "no batch includes its start", "it is withdrawn");
      colt_cell_stop_run (watch->cell, run, watch->now_us);
      return;
    }
  log_run_ (watch, run, "no batch will include its start",
            "its job is recorded");
  colt_cell_mark_dirty (watch->cell, job);
}

/* A stop is resent until it is answered; then a report ends the run, unless the
 * server goes on listing it. While the server is unreachable the run waits for
 * the end of its lease. */
static void
check_stopping_run_ (struct ColtWatch *watch, struct ColtCellRun *run)
{
  int64_t since_us = MAX (run->stop_sent_us, run->reported_us);

  if (run->stop_link != NULL || run->server->unreachable
      || run->server->may_have_more
      || (run->stop_answered && watch->now_us - since_us <= STOP_MAX_US))
    return;
  log_run_ (watch, run, "its stop has no effect", "it is stopped again");
  run->stop_answered = false;
  run->stop_sent_us = 0;
  colt_cell_stop_run (watch->cell, run, watch->now_us);
}

static void
log_step_ (struct ColtWatch *watch,
           const struct ColtCellStep *step,
           const char *cause,
           const char *action)
{
  const struct ColtCell *cell = watch->cell;
  char detail[DETAIL_SIZE];

  g_snprintf (
      detail, sizeof detail,
      "%u.%u: %s; %s. waiting %u, active %u, done %u of %u, listed %d, last "
      "looked at %llu passes ago, block %s, pause %lld ms, advice pause %lld "
      "ms, call of %lld ms, settled %d, budget %u",
      step->occurrence, step->number, cause, action, step->waiting,
      step->active, step->done, step->spec->count, step->open,
      (unsigned long long)(cell->passes - step->looked_pass),
      colt_cell_block_string[step->block],
      -age_ms_ (watch, step->not_before_us),
      -age_ms_ (watch, step->next_advice_us),
      step->call != NULL ? age_ms_ (watch, step->call->sent_us) : -1,
      cell->settled, cell->start_budget);
  log_stalled_ (watch, step, detail);
}

static void
log_run_ (struct ColtWatch *watch,
          const struct ColtCellRun *run,
          const char *cause,
          const char *action)
{
  const struct ColtCellTask *task = run->task;
  const struct ColtCellStep *step = task->step;
  const struct ColtCellServer *server = run->server;
  char detail[DETAIL_SIZE];

  g_snprintf (
      detail, sizeof detail,
      "%u.%u.%u: run %u: %s; %s. state %d, recorded %d, job dirty %d, in batch "
      "%d, ordered %lld ms ago, result %d, answer %d, unknown %d, stop sent "
      "%lld ms ago, answered %d; server %s: listed %d, ready %d, reported %d, "
      "unreachable %d, lists cut %d, runs %u",
      step->occurrence, step->number, task->index, run->run, cause, action,
      (int)run->state, run->recorded, step->job->dirty, step->job->in_batch,
      age_ms_ (watch, run->ordered_us), run->start_resolved, run->answered,
      run->start_unknown,
      run->stop_sent_us != 0 ? age_ms_ (watch, run->stop_sent_us) : -1,
      run->stop_answered, server->id, server->listed, server->ready,
      server->reported, server->unreachable, server->may_have_more,
      server->runs->len);
  log_stalled_ (watch, step, detail);
}

static void
log_stalled_ (struct ColtWatch *watch,
              const struct ColtCellStep *step,
              const char *detail)
{
  struct ColtCell *cell = watch->cell;

  watch->stalled++;
  cell->stats.stalled++;
  cell->ops->log_fault (cell->client, step->job->id, "task stalled", detail);
}

static long long
age_ms_ (const struct ColtWatch *watch, int64_t since_us)
{
  return (watch->now_us - since_us) / COLT_US_PER_MS;
}
