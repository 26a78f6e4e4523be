#include <string.h>

#include "cell_private.h"
#include "cell_usage.h"
#include "cell_watchdog.h"
#include "cell_zones.h"

/* Most jobs in a cell, including ended ones; each takes a few kilobytes of
 * memory. */
#define JOBS_MAX 20000u

const char *const colt_job_state_string[]
    = { "queued", "running", "completed", "failed", "cancelled" };
const char *const colt_run_end_string[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
const char *const colt_start_result_string[]
    = { "taken", "no_room", "bad_ticket", "stale",    "late",   "fenced",
        "busy",  "invalid", "gone",       "not_sent", "unknown" };
const char *const colt_submit_result_string[]
    = { "new", "pending", "known", "invalid", "no_queue", "too_late", "full" };

static void free_organisation_ (gpointer data);
static void free_pool_ (gpointer data);
static void update_organisations_ (struct ColtCell *cell,
                                   const struct ColtFleet *fleet);
static void retry_stops_ (struct ColtCell *cell, int64_t now_us);

struct ColtCell *
colt_cell_create (const struct ColtCellOps *ops,
                  void *client,
                  const struct ColtCellLimits *limits,
                  uint32_t generation)
{
  struct ColtCell *cell = g_new0 (struct ColtCell, 1);

  cell->start_budget = UINT32_MAX;
  colt_cell_init_zones (cell);
  cell->ops = ops;
  cell->client = client;
  cell->limits = *limits;
  cell->generation = generation;
  cell->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      colt_cell_free_job);
  cell->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        colt_cell_free_queue);
  cell->organisations = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               free_organisation_);
  cell->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         colt_cell_free_server);
  cell->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cell->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool_);
  cell->open_steps = g_ptr_array_new ();
  cell->advice_steps = g_ptr_array_new ();
  cell->reservations
      = g_array_new (FALSE, FALSE, sizeof (struct ColtCellReservation));
  cell->open_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            colt_cell_free_call);
  cell->advisers = 1;
  cell->dirty_jobs = g_ptr_array_new ();
  cell->batch_jobs = g_ptr_array_new ();
  g_queue_init (&cell->running_jobs);
  cell->plans = g_ptr_array_new ();
  cell->scheduled = g_ptr_array_new ();
  cell->ended = g_sequence_new (NULL);
  g_queue_init (&cell->ended_specs);
  g_queue_init (&cell->stops);
  g_queue_init (&cell->watched);
  cell->usage = colt_cell_create_usage (limits);
  if (limits->forecasts)
    cell->forecast = colt_forecast_create (limits->created_us);
  return cell;
}

void
colt_cell_destroy (struct ColtCell *cell)
{
  GHashTableIter i;
  gpointer value;

  if (cell == NULL)
    return;
  g_hash_table_iter_init (&i, cell->servers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_ptr_array_foreach (((struct ColtCellServer *)value)->runs,
                         (GFunc)(void (*) (void))g_free, NULL);
  g_sequence_free (cell->ended);
  g_queue_clear (&cell->ended_specs);
  g_queue_clear (&cell->stops);
  g_queue_clear (&cell->watched);
  g_ptr_array_unref (cell->open_steps);
  g_ptr_array_unref (cell->advice_steps);
  g_array_unref (cell->reservations);
  g_ptr_array_unref (cell->dirty_jobs);
  g_ptr_array_unref (cell->batch_jobs);
  g_queue_clear (&cell->running_jobs);
  g_ptr_array_unref (cell->scheduled);
  g_hash_table_unref (cell->jobs);
  g_ptr_array_unref (cell->plans);
  g_hash_table_unref (cell->open_calls);
  g_hash_table_unref (cell->servers);
  g_hash_table_unref (cell->evacuated);
  g_hash_table_unref (cell->pools);
  g_hash_table_unref (cell->kinds);
  g_hash_table_unref (cell->organisations);
  g_hash_table_unref (cell->queues);
  colt_cell_destroy_usage (cell->usage);
  colt_fleet_unref (cell->fleet);
  colt_forecast_destroy (cell->forecast);
  g_free (cell);
}

void
colt_cell_set_fleet (struct ColtCell *cell, struct ColtFleet *fleet)
{
  guint i;

  colt_fleet_ref (fleet);
  colt_fleet_unref (cell->fleet);
  cell->fleet = fleet;
  colt_cell_update_queues (cell, fleet);
  update_organisations_ (cell, fleet);
  for (i = 0; i < fleet->services->len; i++)
    {
      const struct ColtServiceConfig *service
          = g_ptr_array_index (fleet->services, i);

      colt_cell_get_pool (cell, service->name)->checks_room
          = service->checks_room;
    }
}

enum ColtSubmitResult
colt_cell_submit (struct ColtCell *cell, ColtJobSpec *spec, int64_t now_us)
{
  struct ColtCellJob *job = colt_cell_find_job (cell, spec->id);
  struct ColtCellQueue *queue;

  if (job != NULL && !job->dropped)
    return job->durable ? COLT_SUBMIT_KNOWN : COLT_SUBMIT_PENDING;
  if (strlen (spec->id) != COLT_JOB_ID_LENGTH
      || !colt_cell_is_spec_valid (spec))
    return COLT_SUBMIT_INVALID;
  queue = g_hash_table_lookup (cell->queues, spec->queue);
  if (queue == NULL || !queue->listed)
    return COLT_SUBMIT_NO_QUEUE;
  if (job != NULL || g_hash_table_size (cell->jobs) >= JOBS_MAX)
    return COLT_SUBMIT_FULL;
  colt_cell_add_terms (cell, queue, spec);
  if (cell->limits.record_bytes_max > 0
      && colt_job_spec__get_packed_size (spec) > cell->limits.record_bytes_max)
    return COLT_SUBMIT_INVALID;
  job = colt_cell_build_job (cell, spec);
  job->accepted_us = now_us;
  job->excess = colt_cell_exceeds_share (job->organisation, now_us);
  if (!colt_cell_admit (cell, job, now_us))
    {
      if (!job->excess)
        colt_cell_refund_share (job->organisation);
      colt_cell_discard_job (cell, job);
      return COLT_SUBMIT_TOO_LATE;
    }
  colt_cell_count_arrival (cell, job, now_us);
  job->dirty_spec = true;
  colt_cell_mark_dirty (cell, job);
  /* Advice can be requested while the job is made durable. */
  colt_cell_open_steps (cell, job, cell->wall_ms);
  return COLT_SUBMIT_NEW;
}

uint32_t
colt_cell_retry_after_ms (const struct ColtCell *cell)
{
  return cell->retry_after_ms;
}

void
colt_cell_distrust_forecast (struct ColtCell *cell, int64_t now_us)
{
  if (cell->forecast != NULL)
    colt_forecast_distrust (cell->forecast, now_us);
}

bool
colt_cell_cancel (struct ColtCell *cell, const char *id, int64_t now_us)
{
  struct ColtCellJob *job = colt_cell_find_job (cell, id);

  if (job == NULL || job->dropped)
    return false;
  if (!colt_cell_is_ended (job))
    colt_cell_end_job (cell, job, COLT_JOB_CANCELLED, now_us);
  return true;
}

bool
colt_cell_withdraw (struct ColtCell *cell, const char *id)
{
  struct ColtCellJob *job = colt_cell_find_job (cell, id);
  uint32_t i;

  if (job == NULL || job->durable || job->in_batch || job->spec_stored)
    return false;
  for (i = 0; i < job->step_count; i++)
    colt_cell_stop_step (cell, &job->steps[i], job->accepted_us);
  if (job->active > 0)
    return false;
  colt_cell_uncount_job (cell, job);
  for (i = 0; i < job->step_count; i++)
    if (job->steps[i].open)
      g_ptr_array_remove_fast (cell->open_steps, &job->steps[i]);
  g_ptr_array_remove (cell->dirty_jobs, job);
  g_ptr_array_remove_fast (cell->scheduled, job);
  colt_cell_unwatch_job (cell, job);
  colt_cell_unlist_ended (cell, job);
  g_hash_table_remove (cell->jobs, job->id);
  return true;
}

bool
colt_cell_is_durable (const struct ColtCell *cell, const char *id)
{
  const struct ColtCellJob *job = colt_cell_find_job (cell, id);

  return job != NULL && job->durable && !job->dropped;
}

bool
colt_cell_get_state (const struct ColtCell *cell,
                     const char *id,
                     enum ColtJobState *state)
{
  const struct ColtCellJob *job = colt_cell_find_job (cell, id);

  if (job == NULL || job->dropped)
    return false;
  *state = job->state;
  if (colt_cell_is_ended (job) && job->durable_state != job->state)
    *state = job->begun ? COLT_JOB_RUNNING : COLT_JOB_QUEUED;
  return true;
}

bool
colt_cell_is_ending (const struct ColtCell *cell, const char *id, bool *ended)
{
  const struct ColtCellJob *job = colt_cell_find_job (cell, id);
  uint32_t i;

  *ended = job != NULL && colt_cell_is_ended (job);
  if (job == NULL || job->dropped)
    return false;
  if (*ended)
    return job->durable_state != job->state;
  for (i = 0; i < job->step_count; i++)
    {
      const struct ColtCellStep *step = &job->steps[i];

      if (step->spec->lasting || step->waiting > 0)
        return false;
    }
  return true;
}

uint64_t
colt_cell_count_waiting_jobs (const struct ColtCell *cell, const char *name)
{
  const struct ColtCellQueue *queue = g_hash_table_lookup (cell->queues, name);

  return queue != NULL ? queue->waiting : 0;
}

void
colt_cell_list_waiting (const struct ColtCell *cell,
                        ColtCellWaiting handle,
                        void *client)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cell->queues);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct ColtCellQueue *queue = value;

      if (queue->waiting > 0)
        handle (client, queue->name, queue->waiting);
    }
}

void
colt_cell_tick (struct ColtCell *cell, int64_t now_us, int64_t wall_ms)
{
  guint i;

  cell->wall_ms = wall_ms;
  colt_cell_check_settled (cell, now_us);
  retry_stops_ (cell, now_us);
  colt_cell_watch_zones (cell, now_us);
  colt_cell_tick_usage (cell, now_us);
  for (i = 0; i < cell->scheduled->len; i++)
    colt_cell_open_steps (cell, g_ptr_array_index (cell->scheduled, i),
                          wall_ms);
  colt_cell_watch_tasks (cell, now_us);
  colt_cell_drop_ended (cell, now_us);
}

bool
colt_cell_is_settled (const struct ColtCell *cell)
{
  return cell->settled;
}

void
colt_cell_get_stats (const struct ColtCell *cell, struct ColtCellStats *stats)
{
  *stats = cell->stats;
  stats->jobs = g_hash_table_size (cell->jobs);
  stats->open_steps = cell->open_steps->len;
  stats->servers = g_hash_table_size (cell->servers);
  stats->evacuated_zones = g_hash_table_size (cell->evacuated);
  stats->reserved_gangs = cell->plans->len;
}

static void
free_organisation_ (gpointer data)
{
  struct ColtCellOrganisation *organisation = data;

  g_free (organisation->name);
  g_free (organisation->use);
  g_free (organisation);
}

static void
free_pool_ (gpointer data)
{
  struct ColtCellPool *pool = data;

  g_ptr_array_unref (pool->servers);
  g_free (pool->name);
  g_free (pool);
}

static void
update_organisations_ (struct ColtCell *cell, const struct ColtFleet *fleet)
{
  guint i;

  for (i = 0; i < fleet->organisations->len; i++)
    {
      const struct ColtOrganisation *config
          = g_ptr_array_index (fleet->organisations, i);
      struct ColtCellOrganisation *organisation
          = colt_cell_get_organisation (cell, config->name);

      organisation->weight = config->weight;
      organisation->maximum = config->maximum;
      if (cell->forecast != NULL)
        colt_forecast_set_maximum (cell->forecast, config->name,
                                   &config->maximum);
    }
}

/* Resending a stop may list and unlist other ones. */
static void
retry_stops_ (struct ColtCell *cell, int64_t now_us)
{
  guint i;

  for (i = cell->stops.length; i > 0 && cell->stops.length > 0; i--)
    {
      GList *link = g_queue_pop_head_link (&cell->stops);
      struct ColtCellRun *run = link->data;

      g_queue_push_tail_link (&cell->stops, link);
      if (!run->server->unreachable)
        colt_cell_stop_run (cell, run, now_us);
    }
}
