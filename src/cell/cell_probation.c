#include "cell_private.h"

/* Failures in a row, mostly of different tasks, that put a server on
 * probation. */
#define FAILURES_MAX 3
/* Time without starts at a server's first probation; twice as long at each
 * further one. */
#define PAUSE_US (2 * COLT_US_PER_S)
#define PROBATIONS_DOUBLED_MAX 4
/* Part of a service's servers that may be on probation with more than a pause
 * of PAUSE_US. */
#define PROBATION_SHARE_MAX 0.5
/* Concurrent runs that a server on probation gets after its pause; the time
 * without a failure after which they are doubled, longer than most tasks take;
 * and the time until each further doubling. */
#define RUNS_MIN 1
#define RUNS_KEPT_US (8 * COLT_US_PER_S)
#define RUNS_DOUBLE_US (2 * COLT_US_PER_S)
#define RUNS_DOUBLED_MAX 16
/* A step that fails on more servers than this, or on more than half of its
 * service's, while no task of it is done may be at fault itself. */
#define FAILED_SERVERS_MAX 4
/* A task that lasts shows that its server works once it has been at work for
 * this long. */
#define PROOF_US (2 * COLT_US_PER_S)
/* Percentage at which a task that lasts is at work. */
#define AT_WORK_PERCENT 100
/* Size in bytes of the buffer for logged details. */
#define DETAIL_SIZE 160

static void note_failure_ (struct ColtCellStep *step,
                           const struct ColtCellServer *server);
static void forget_failures_ (struct ColtCellStep *step);
static bool counts_against_server_ (const struct ColtCellRun *run);
static void begin_probation_ (struct ColtCell *cell,
                              struct ColtCellServer *server,
                              int64_t now_us);
static bool has_most_on_probation_ (const struct ColtCellServer *server);

bool
colt_cell_may_probe (const struct ColtCellServer *server, int64_t now_us)
{
  int64_t beyond_us = now_us - server->avoid_until_us - RUNS_KEPT_US;
  int64_t doublings = beyond_us < 0 ? 0 : 1 + beyond_us / RUNS_DOUBLE_US;

  if (now_us < server->avoid_until_us)
    return false;
  return !server->limited
         || server->probation_runs < (uint32_t)RUNS_MIN
                                         << MIN (doublings, RUNS_DOUBLED_MAX);
}

void
colt_cell_begin_probe (struct ColtCellRun *run)
{
  run->in_probation = run->server->probations > 0;
  if (run->in_probation)
    run->server->probation_runs++;
}

void
colt_cell_end_probe (struct ColtCellRun *run)
{
  if (run->in_probation)
    run->server->probation_runs--;
  run->in_probation = false;
}

void
colt_cell_prove_run (struct ColtCellRun *run)
{
  if (run->proven || !run->task->step->spec->lasting
      || run->percent < AT_WORK_PERCENT
      || run->reported_us - run->progress_us < PROOF_US)
    return;
  run->proven = true;
  colt_cell_reset_probation (run->server);
  forget_failures_ (run->task->step);
}

void
colt_cell_judge_server (struct ColtCell *cell,
                        const struct ColtCellRun *run,
                        enum ColtRunEnd how,
                        int64_t now_us)
{
  struct ColtCellServer *server = run->server;

  if (how == COLT_RUN_DONE)
    {
      colt_cell_reset_probation (server);
      forget_failures_ (run->task->step);
      return;
    }
  if (how != COLT_RUN_FAILED || run->proven)
    return;
  note_failure_ (run->task->step, server);
  if (!counts_against_server_ (run))
    return;
  server->failures_in_row++;
  if (server->failures_in_row >= FAILURES_MAX
      && now_us >= server->avoid_until_us)
    begin_probation_ (cell, server, now_us);
}

void
colt_cell_reset_probation (struct ColtCellServer *server)
{
  server->failures_in_row = 0;
  server->probations = 0;
  server->limited = false;
  server->avoid_until_us = 0;
}

static void
note_failure_ (struct ColtCellStep *step, const struct ColtCellServer *server)
{
  if (step->failed_server != server)
    step->failed_servers++;
  step->failed_server = server;
}

static void
forget_failures_ (struct ColtCellStep *step)
{
  step->failed_server = NULL;
  step->failed_servers = 0;
}

/* A task that has failed more than once before doesn't count against its
 * server, nor does one of a step whose tasks fail on many servers and are done
 * on none. */
static bool
counts_against_server_ (const struct ColtCellRun *run)
{
  const struct ColtCellPool *pool = run->server->pool;
  guint half = pool != NULL ? pool->servers->len / 2 : FAILED_SERVERS_MAX;

  return run->task->failures <= 1
         && run->task->step->failed_servers
                <= CLAMP (half, 1, FAILED_SERVERS_MAX);
}

static void
begin_probation_ (struct ColtCell *cell,
                  struct ColtCellServer *server,
                  int64_t now_us)
{
  bool most = has_most_on_probation_ (server);
  char detail[DETAIL_SIZE];
  guint i;

  server->avoid_until_us
      = now_us + (PAUSE_US << (most ? 0 : server->probations));
  server->limited = !most;
  server->probations = MIN (server->probations + 1, PROBATIONS_DOUBLED_MAX);
  g_snprintf (detail, sizeof detail,
              "%s: %u failures in a row, no starts for %d ms, %u runs go on",
              server->id, server->failures_in_row,
              (int)((server->avoid_until_us - now_us) / COLT_US_PER_MS),
              server->runs->len - 1);
  server->failures_in_row = FAILURES_MAX - 1;
  /* Runs that go on say nothing about what starts from now on. */
  for (i = 0; i < server->runs->len; i++)
    colt_cell_end_probe (g_ptr_array_index (server->runs, i));
  cell->ops->log_decision (cell->client, NULL, "server avoided", detail);
}

/* Returns whether more than PROBATION_SHARE_MAX of the service's servers are on
 * probation with this one: then the work has to go on somewhere, and it is less
 * likely that the servers are at fault. */
static bool
has_most_on_probation_ (const struct ColtCellServer *server)
{
  const struct ColtCellPool *pool = server->pool;
  guint count = 1;
  guint i;

  if (pool == NULL)
    return false;
  for (i = 0; i < pool->servers->len; i++)
    {
      const struct ColtCellServer *other = g_ptr_array_index (pool->servers, i);

      if (other != server && other->probations > 0)
        count++;
    }
  return count > PROBATION_SHARE_MAX * pool->servers->len;
}
