#include "cell_private.h"
#include "cell_progress.h"
#include "coltsfootstile/guard.h"

/* A task is given up after this many crashes in a row. Two don't suffice, since
 * a run may have ended just before its server crashed. */
#define CRASHES_MAX 3
/* It is also given up after this many losses in a row, if the processes of
 * ENDS_MIN of the servers ended, although its starts there weren't seen. */
#define LOSSES_MAX 5
#define ENDS_MIN 3
/* From this many losses on, one of them with the end of its server, a task
 * starts on a server of its own. */
#define QUARANTINE_LOSSES 2
/* A run that is listed for this long shows that its start didn't crash the
 * server. */
#define LISTED_US (500 * COLT_US_PER_MS)
/* A run that is listed for this long isn't what crashes the server later. */
#define TRIAL_US (1500 * COLT_US_PER_MS)
/* Score of a server for a task that may crash it: for each run of a task that
 * was lost with the same server, or for each run if the task is to be alone. */
#define SHARED_TRIAL_PENALTY 100.0
/* Size in bytes of the buffer for logged counts. */
#define DETAIL_SIZE 128

static int64_t listed_us_ (const struct ColtCellRun *run);
static bool counts_as_loss_ (const struct ColtCellRun *run);
static bool had_started_ (const struct ColtCellRun *run);
static bool needs_quarantine_ (const struct ColtCellTask *task);
static void count_loss_ (struct ColtCell *cell,
                         struct ColtCellTask *task,
                         bool ended,
                         bool started);
static void resolve_lost_server_ (struct ColtCell *cell,
                                  struct ColtCellTask *task);
static void resolve_earlier_run_ (struct ColtCell *cell,
                                  struct ColtCellTask *task);
static bool give_up_task_ (struct ColtCell *cell,
                           struct ColtCellTask *task,
                           int64_t now_us);

void
colt_cell_lose_run (struct ColtCell *cell,
                    struct ColtCellRun *run,
                    bool ended,
                    int64_t now_us)
{
  struct ColtCellTask *task = run->task;
  struct ColtCellServer *server = run->server;
  int64_t incarnation_ms = run->incarnation_ms;
  bool listed = run->confirmed_us != 0;

  if (!counts_as_loss_ (run))
    {
      colt_cell_end_run (cell, run, COLT_RUN_LAPSED, NULL, now_us);
      return;
    }
  resolve_lost_server_ (cell, task);
  count_loss_ (cell, task, ended, had_started_ (run));
  colt_cell_end_run (cell, run, COLT_RUN_LAPSED, NULL, now_us);
  if (!ended && !listed && incarnation_ms != 0)
    {
      task->lost_server = server;
      task->lost_incarnation_ms = incarnation_ms;
    }
  give_up_task_ (cell, task, now_us);
}

bool
colt_cell_review_losses (struct ColtCell *cell,
                         struct ColtCellTask *task,
                         int64_t now_us)
{
  resolve_lost_server_ (cell, task);
  resolve_earlier_run_ (cell, task);
  return give_up_task_ (cell, task, now_us);
}

void
colt_cell_begin_trial (struct ColtCellRun *run)
{
  run->incarnation_ms = run->server->incarnation_ms;
  run->quarantined = needs_quarantine_ (run->task);
  if (run->quarantined)
    run->server->quarantined_runs++;
}

void
colt_cell_end_trial (struct ColtCellRun *run)
{
  if (run->quarantined)
    run->server->quarantined_runs--;
  run->quarantined = false;
}

void
colt_cell_confirm_run (struct ColtCell *cell,
                       struct ColtCellRun *run,
                       int64_t percent,
                       int64_t now_us)
{
  struct ColtCellTask *task = run->task;

  if (run->confirmed_us == 0)
    run->confirmed_us = now_us;
  if (run->incarnation_ms != run->server->incarnation_ms)
    colt_cell_mark_entry (task);
  run->incarnation_ms = run->server->incarnation_ms;
  colt_cell_update_progress (run, percent, now_us);
  colt_cell_prove_run (run);
  if (listed_us_ (run) < LISTED_US)
    return;
  colt_cell_end_trial (run);
  if (listed_us_ (run) >= TRIAL_US)
    {
      colt_cell_clear_losses (cell, task);
      return;
    }
  if (task->losses == task->crashes)
    return;
  /* The losses under starts that weren't seen had other causes. */
  task->losses = task->crashes;
  task->ends = task->crashes;
  task->lost_server = NULL;
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, task->step->job);
}

void
colt_cell_clear_losses (struct ColtCell *cell, struct ColtCellTask *task)
{
  if (task->losses == 0)
    return;
  task->losses = 0;
  task->ends = 0;
  task->crashes = 0;
  task->lost_server = NULL;
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, task->step->job);
}

double
colt_cell_crash_penalty (const struct ColtCellTask *task,
                         const struct ColtCellServer *server)
{
  double penalty = 0;
  guint i;

  if (task->ends == 0)
    return 0;
  if (needs_quarantine_ (task))
    return SHARED_TRIAL_PENALTY * server->runs->len;
  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtCellRun *run = g_ptr_array_index (server->runs, i);

      if (run->task->ends > 0 && run->task->last_server == task->last_server
          && listed_us_ (run) < LISTED_US)
        penalty += SHARED_TRIAL_PENALTY;
    }
  return penalty;
}

/* Returns for how long a run has been listed as running. */
static int64_t
listed_us_ (const struct ColtCellRun *run)
{
  return run->confirmed_us != 0 ? run->reported_us - run->confirmed_us : 0;
}

/* Returns whether a run that was lost with its server may have crashed it. It
 * doesn't count if the server had announced that it would leave, or had listed
 * the run and then taken the order to stop it. */
static bool
counts_as_loss_ (const struct ColtCellRun *run)
{
  const struct ColtCellServer *server = run->server;

  if (run->task->done || colt_cell_is_ended (run->task->step->job)
      || run->state == RUN_PLANNED || listed_us_ (run) >= TRIAL_US)
    return false;
  if (run->stopped_where_listed)
    return false;

  return run->incarnation_ms != 0
             ? run->incarnation_ms != server->draining_incarnation_ms
             : server->ready;
}

static bool
had_started_ (const struct ColtCellRun *run)
{
  return run->started_us != 0 || run->confirmed_us != 0;
}

static bool
needs_quarantine_ (const struct ColtCellTask *task)
{
  return task->ends > 0 && task->losses >= QUARANTINE_LOSSES;
}

static void
count_loss_ (struct ColtCell *cell,
             struct ColtCellTask *task,
             bool ended,
             bool started)
{
  task->losses++;
  if (ended)
    task->ends++;
  if (ended && started)
    task->crashes++;
  task->lost_server = NULL;
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, task->step->job);
}

/* Decides whether the latest loss was the end of the server's process, once the
 * server has shown it. */
static void
resolve_lost_server_ (struct ColtCell *cell, struct ColtCellTask *task)
{
  const struct ColtCellServer *server = task->lost_server;
  int64_t incarnation_ms = task->lost_incarnation_ms;
  bool ended;

  if (server == NULL)
    return;
  ended = server->replaced || server->incarnation_ms > incarnation_ms;
  if (!ended && !server->reported)
    return;
  task->lost_server = NULL;
  if (!ended || server->draining_incarnation_ms == incarnation_ms)
    return;
  task->ends++;
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, task->step->job);
}

/* Decides whether a run that an earlier leader planned, and that no server has
 * reported, was lost with its server. */
static void
resolve_earlier_run_ (struct ColtCell *cell, struct ColtCellTask *task)
{
  struct ColtCellServer *server = task->earlier_server;
  int64_t incarnation_ms = task->earlier_incarnation_ms;
  bool ended;

  if (server == NULL)
    return;
  task->earlier_server = NULL;
  colt_cell_mark_entry (task);
  ended = server->replaced
          || (incarnation_ms != 0 && server->incarnation_ms > incarnation_ms);
  if ((server->reported && !ended)
      || (incarnation_ms != 0
          && incarnation_ms == server->draining_incarnation_ms))
    return;
  count_loss_ (cell, task, ended, false);
  if (!ended && incarnation_ms != 0)
    {
      task->lost_server = server;
      task->lost_incarnation_ms = incarnation_ms;
    }
}

/* Ends the job of a task under which too many servers have crashed. */
static bool
give_up_task_ (struct ColtCell *cell, struct ColtCellTask *task, int64_t now_us)
{
  struct ColtCellJob *job = task->step->job;
  char detail[DETAIL_SIZE];

  if (colt_cell_is_ended (job) || !colt_guard_on (COLT_GUARD_CRASH_LIMIT)
      || (task->crashes < CRASHES_MAX
          && (task->losses < LOSSES_MAX || task->ends < ENDS_MIN)))
    return false;
  g_snprintf (
      detail, sizeof detail,
      "%u.%u.%u: %u servers in a row were lost with its runs; %u ended, "
      "%u of them after its start",
      task->step->occurrence, task->step->number, task->index, task->losses,
      task->ends, task->crashes);
  cell->ops->log_decision (cell->client, job->id, "task given up", detail);
  cell->stats.given_up++;
  colt_cell_end_job (cell, job, COLT_JOB_FAILED, now_us);
  return true;
}
