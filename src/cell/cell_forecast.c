/* Feeds jobs, runs and room into the forecast of admission. */
#include "cell_private.h"

/* Period at which the forecast gets the room of services. */
#define ROOM_PERIOD_US COLT_US_PER_S
/* Size in bytes of a rejection's logged inputs. */
#define DETAIL_SIZE 400

static bool is_evaluated_ (const struct ColtCellJob *job);
static bool open_account_ (struct ColtCell *cell, struct ColtCellJob *job);
static bool may_count_ (const struct ColtCellStep *step);
static bool is_counted_ (const struct ColtCellStep *step);
static enum ColtCellRank rank_ (const struct ColtCellStep *step);
static uint32_t class_ (const struct ColtCellStep *step,
                        enum ColtCellRank rank);
static uint32_t priority_ (const struct ColtCellJob *job);
static void set_waiting_ (struct ColtCell *cell,
                          struct ColtCellStep *step,
                          uint32_t work_class,
                          double seconds);
static double work_s_ (const struct ColtCellStep *step);
static void make_query_ (const struct ColtCellJob *job,
                         struct ColtForecastQuery *query);
static void log_rejection_ (struct ColtCell *cell,
                            const struct ColtCellJob *job,
                            const struct ColtForecastQuery *query,
                            const struct ColtForecastAnswer *answer,
                            int64_t now_us);

bool
colt_cell_admit (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us)
{
  struct ColtForecastQuery query = { 0 };
  struct ColtForecastAnswer answer;

  if (cell->forecast == NULL || !is_evaluated_ (job)
      || !open_account_ (cell, job))
    return true;
  make_query_ (job, &query);
  colt_forecast_query (cell->forecast, &query, now_us, &answer);
  if (!answer.rejected)
    {
      if (answer.known)
        {
          job->forecast_start_us = answer.start_us;
          job->forecast_latest_us = answer.latest_us;
        }
      return true;
    }
  cell->stats.rejected_too_late++;
  cell->retry_after_ms = answer.retry_after_ms;
  log_rejection_ (cell, job, &query, &answer, now_us);
  return false;
}

void
colt_cell_count_arrival (struct ColtCell *cell,
                         struct ColtCellJob *job,
                         int64_t now_us)
{
  uint32_t i;

  if (cell->forecast == NULL || !open_account_ (cell, job))
    return;
  for (i = 0; i < job->step_count; i++)
    if (may_count_ (&job->steps[i]))
      colt_forecast_add_arrival (
          cell->forecast, job->account,
          class_ (&job->steps[i], job->excess ? RANK_EXCESS : RANK_TIMELY),
          &job->steps[i].demand, work_s_ (&job->steps[i]), now_us);
  colt_cell_count_job (cell, job);
}

void
colt_cell_count_waiting (struct ColtCell *cell, struct ColtCellStep *step)
{
  enum ColtCellRank rank;

  if (cell->forecast == NULL || !open_account_ (cell, step->job))
    return;
  rank = rank_ (step);
  if (!is_counted_ (step) || rank == RANK_WORTHLESS)
    set_waiting_ (cell, step, 0, 0);
  else
    set_waiting_ (cell, step, class_ (step, rank), work_s_ (step));
}

void
colt_cell_count_job (struct ColtCell *cell, struct ColtCellJob *job)
{
  uint32_t i;

  if (cell->forecast == NULL)
    return;
  for (i = 0; i < job->step_count; i++)
    colt_cell_count_waiting (cell, &job->steps[i]);
}

void
colt_cell_count_rank (struct ColtCell *cell, struct ColtCellStep *step)
{
  bool counted = step->waiting_seconds > 0;

  if (cell->forecast == NULL || step->spec->lasting)
    return;
  if (counted != (step->rank != RANK_WORTHLESS)
      || (counted && step->waiting_class != class_ (step, rank_ (step))))
    colt_cell_count_waiting (cell, step);
}

void
colt_cell_uncount_job (struct ColtCell *cell, struct ColtCellJob *job)
{
  uint32_t i;

  if (cell->forecast == NULL || !job->has_account)
    return;
  for (i = 0; i < job->step_count; i++)
    set_waiting_ (cell, &job->steps[i], 0, 0);
}

void
colt_cell_count_run (struct ColtCell *cell, const struct ColtCellRun *run)
{
  struct ColtCellJob *job = run->task->step->job;

  if (cell->forecast != NULL && !run->task->step->spec->lasting
      && open_account_ (cell, job))
    colt_forecast_add_run (cell->forecast, job->account, &run->demand);
}

void
colt_cell_uncount_run (struct ColtCell *cell,
                       const struct ColtCellRun *run,
                       int64_t now_us)
{
  const struct ColtCellJob *job = run->task->step->job;

  if (cell->forecast != NULL && !run->task->step->spec->lasting
      && job->has_account)
    colt_forecast_end_run (cell->forecast, job->account, &run->demand, now_us);
}

void
colt_cell_check_forecast (struct ColtCell *cell,
                          struct ColtCellJob *job,
                          int64_t now_us)
{
  int64_t error_us;

  if (cell->forecast == NULL || job->forecast_latest_us == 0)
    return;
  error_us = colt_forecast_check (cell->forecast, job->account,
                                  job->forecast_start_us,
                                  job->forecast_latest_us, now_us);
  if (cell->ops->measure_forecast != NULL)
    cell->ops->measure_forecast (cell->client, error_us);
}

/* Steps that may use a part of the servers only, and gangs, don't show that a
 * service is full for others. */
void
colt_cell_count_block (struct ColtCell *cell,
                       struct ColtCellStep *step,
                       enum ColtCellBlock block)
{
  const struct ColtQueueConfig *config = step->job->queue->config;

  if (cell->forecast == NULL || step->spec->gang || step->spec->lasting
      || !step->job->has_account)
    return;
  if (block == BLOCK_LIMIT)
    colt_forecast_note_limit (cell->forecast, step->job->account, cell->now_us);
  else if (block == BLOCK_NO_ROOM && config != NULL && !config->advised
           && step->spec->required_label[0] == '\0'
           && step->spec->max_per_server == 0)
    colt_forecast_note_full (cell->forecast, step->job->account, cell->now_us);
}

void
colt_cell_count_lost_server (struct ColtCell *cell,
                             const struct ColtCellServer *server)
{
  if (cell->forecast != NULL && server->pool != NULL)
    colt_forecast_lose_servers (cell->forecast, server->pool->name,
                                1.0 / server->pool->servers->len, cell->now_us);
}

void
colt_cell_end_forecast_pass (struct ColtCell *cell, int64_t now_us)
{
  GHashTableIter pools;
  gpointer value;
  guint i;

  if (cell->forecast == NULL)
    return;
  colt_forecast_end_pass (cell->forecast, now_us);
  if (now_us - cell->room_summed_us < ROOM_PERIOD_US)
    return;
  cell->room_summed_us = now_us;
  g_hash_table_iter_init (&pools, cell->pools);
  while (g_hash_table_iter_next (&pools, NULL, &value))
    {
      const struct ColtCellPool *pool = value;
      struct ColtResources room = { { 0 } };

      for (i = 0; i < pool->servers->len; i++)
        colt_resources_add (
            &room,
            &((struct ColtCellServer *)g_ptr_array_index (pool->servers, i))
                 ->room);
      colt_forecast_set_room (cell->forecast, pool->name, &room);
    }
}

/* The start of a gang depends on how room is fragmented. Nothing is known of a
 * job whose tasks have no expected duration, or whose objective is shorter than
 * its chain by far. */
static bool
is_evaluated_ (const struct ColtCellJob *job)
{
  uint32_t i;

  if (job->spec->repetitions > 0)
    return false;
  for (i = 0; i < job->step_count; i++)
    if (job->steps[i].spec->lasting || job->steps[i].spec->gang
        || colt_cell_step_us (&job->steps[i]) <= 0)
      return false;
  return colt_cell_slack_us (job, true) > 0;
}

/* The queue of an inherited job may have no configuration yet. */
static bool
open_account_ (struct ColtCell *cell, struct ColtCellJob *job)
{
  if (!job->has_account && job->organisation != NULL
      && job->queue->config != NULL)
    {
      job->account = colt_forecast_open_account (
          cell->forecast, job->organisation->name, job->queue->config->service);
      job->has_account = true;
    }
  return job->has_account;
}

static bool
may_count_ (const struct ColtCellStep *step)
{
  return step->waiting > 0 && !step->spec->lasting && !step->spec->gang
         && !colt_cell_is_ended (step->job)
         && (step->job->spec->repetitions == 0 || step->open);
}

/* Steps whose predecessors still run, or whose occurrence isn't due, don't
 * stand before others yet. */
static bool
is_counted_ (const struct ColtCellStep *step)
{
  return step->open && may_count_ (step);
}

/* A step that was opened since the last pass has no rank yet. */
static enum ColtCellRank
rank_ (const struct ColtCellStep *step)
{
  enum ColtCellRank first = step->job->excess ? RANK_EXCESS : RANK_TIMELY;

  return MAX (step->rank, first);
}

static uint32_t
class_ (const struct ColtCellStep *step, enum ColtCellRank rank)
{
  static const enum ColtForecastRank ranks[]
      = { COLT_FORECAST_TIMELY, COLT_FORECAST_TIMELY, COLT_FORECAST_EXCESS,
          COLT_FORECAST_LATE, COLT_FORECAST_LATE };

  return colt_forecast_class (ranks[rank], priority_ (step->job),
                              step->job->begun);
}

static uint32_t
priority_ (const struct ColtCellJob *job)
{
  return job->queue->config != NULL ? job->queue->config->priority : UINT32_MAX;
}

static void
set_waiting_ (struct ColtCell *cell,
              struct ColtCellStep *step,
              uint32_t work_class,
              double seconds)
{
  if (step->waiting_seconds > 0)
    colt_forecast_add_waiting (cell->forecast, step->job->account,
                               step->waiting_class, &step->demand,
                               -step->waiting_seconds);
  if (seconds > 0)
    colt_forecast_add_waiting (cell->forecast, step->job->account, work_class,
                               &step->demand, seconds);
  step->waiting_class = work_class;
  step->waiting_seconds = seconds;
}

/* Returns how long the waiting tasks of a step take together, in seconds. */
static double
work_s_ (const struct ColtCellStep *step)
{
  return step->waiting * (double)colt_cell_step_us (step) / COLT_US_PER_S;
}

static void
make_query_ (const struct ColtCellJob *job, struct ColtForecastQuery *query)
{
  uint32_t i;

  query->account = job->account;
  query->rank = job->excess ? COLT_FORECAST_EXCESS : COLT_FORECAST_TIMELY;
  query->priority = priority_ (job);
  query->newest_first = job->queue->was_late;
  query->any_server = !job->queue->config->advised;
  query->slack_us = colt_cell_slack_us (job, !job->excess);
  query->useful_us = colt_cell_slack_us (job, true);
  query->chain_us = colt_cell_chain_us (job);
  query->id = g_ascii_strtoull (job->id, NULL, 16);
  for (i = 0; i < job->step_count; i++)
    {
      const struct ColtCellStep *step = &job->steps[i];

      query->any_server &= step->spec->required_label[0] == '\0';
      colt_resources_raise (&query->demand, &step->demand);
      query->task_seconds += work_s_ (step);
    }
}

static void
log_rejection_ (struct ColtCell *cell,
                const struct ColtCellJob *job,
                const struct ColtForecastQuery *query,
                const struct ColtForecastAnswer *answer,
                int64_t now_us)
{
  char detail[DETAIL_SIZE];

  g_snprintf (
      detail, sizeof detail,
      "%s of %s, %s, %s: backlog %.1f s at %.0f a second (%.0f ends), arrivals "
      "before it %.2f of that; latest start in %lld ms, end in %lld ms, after "
      "all useful work in %lld ms; slack %lld ms, useful start within %lld ms; "
      "error %.2f s; retry after %u ms",
      colt_forecast_reason_string[answer->reason],
      answer->reason == COLT_FORECAST_SERVICE ? job->queue->config->service
                                              : job->organisation->name,
      job->queue->name, job->excess ? "excess" : "timely", answer->backlog_s,
      answer->rate, answer->samples, answer->before,
      (long long)((answer->latest_us - now_us) / COLT_US_PER_MS),
      (long long)((answer->end_us - now_us) / COLT_US_PER_MS),
      (long long)((answer->last_us - now_us) / COLT_US_PER_MS),
      (long long)(query->slack_us / COLT_US_PER_MS),
      (long long)(query->useful_us / COLT_US_PER_MS), answer->error_s,
      answer->retry_after_ms);
  cell->ops->log_decision (cell->client, job->id, "job rejected", detail);
}
