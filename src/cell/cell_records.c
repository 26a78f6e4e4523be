#include <string.h>

#include "cell_private.h"
#include "cell_progress.h"
#include "cell_usage.h"
#include "cell_watchdog.h"

/* First letters of the records' keys; the job's id follows. */
#define SPEC_KEY 's'
#define PROGRESS_KEY 'p'
/* Follows the job's id in the keys of further parts of its progress, before the
 * part's number. */
#define PART_MARK '.'

static bool load_spec_ (struct ColtCell *cell,
                        const uint8_t *value,
                        size_t size,
                        int64_t now_us,
                        int64_t wall_ms);
static bool load_progress_ (struct ColtCell *cell,
                            const char *key,
                            const uint8_t *value,
                            size_t size,
                            int64_t now_us,
                            int64_t wall_ms);
static void apply_progress_ (struct ColtCell *cell,
                             struct ColtCellJob *job,
                             const ColtJobProgress *progress);
static void apply_task_ (struct ColtCell *cell,
                         struct ColtCellJob *job,
                         const ColtTaskProgress *progress);
static void add_unsettled_demand_ (struct ColtCellJob *job);
static size_t add_job_records_ (struct ColtCell *cell,
                                GArray *records,
                                struct ColtCellJob *job,
                                int64_t wall_ms);
static size_t add_spec_ (GArray *records, const struct ColtCellJob *job);
static uint32_t part_number_ (const char *key);
static size_t remove_parts_ (GArray *records, struct ColtCellJob *job);
static size_t add_record_ (GArray *records,
                           char kind,
                           const char *id,
                           uint32_t part,
                           uint8_t *value,
                           size_t size);
static size_t add_progress_ (const struct ColtCell *cell,
                             GArray *records,
                             struct ColtCellJob *job);
static void mark_recorded_ (struct ColtCell *cell, struct ColtCellJob *job);
static void
commit_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us);
static void
send_starts_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us);
static gint compare_runs_ (gconstpointer a, gconstpointer b);
static struct ColtCellRun *take_recorded_run_ (struct ColtCellJob *job);
static void free_record_ (gpointer data);

bool
colt_cell_load (struct ColtCell *cell,
                const char *key,
                const uint8_t *value,
                size_t size,
                int64_t now_us,
                int64_t wall_ms)
{
  if (key[0] == SPEC_KEY)
    return load_spec_ (cell, value, size, now_us, wall_ms);
  if (key[0] == PROGRESS_KEY)
    return load_progress_ (cell, key, value, size, now_us, wall_ms);
  if (key[0] == USAGE_KEY)
    return colt_cell_load_usage (cell, key, value, size, now_us, wall_ms);
  return true;
}

void
colt_cell_finish_loading (struct ColtCell *cell, int64_t settle_deadline_us)
{
  GHashTableIter i;
  gpointer value;

  cell->settle_deadline_us = settle_deadline_us;
  g_hash_table_iter_init (&i, cell->jobs);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      struct ColtCellJob *job = value;

      job->inherited = true;
      colt_cell_keep_progress (cell, job);
      colt_cell_update_waiting (job);
      colt_cell_open_steps (cell, job, cell->wall_ms);
      add_unsettled_demand_ (job);
      colt_cell_count_job (cell, job);
    }
  colt_cell_log_loaded_usage (cell);
  colt_cell_check_settled (cell, 0);
}

GArray *
colt_cell_take_records (struct ColtCell *cell,
                        size_t bytes_max,
                        int64_t wall_ms)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct ColtCellRecord));
  size_t bytes = 0;
  guint taken;

  g_array_set_clear_func (records, free_record_);
  for (taken = 0; taken < cell->dirty_jobs->len && bytes < bytes_max; taken++)
    {
      struct ColtCellJob *job = g_ptr_array_index (cell->dirty_jobs, taken);

      job->dirty = false;
      job->in_batch = true;
      g_ptr_array_add (cell->batch_jobs, job);
      bytes += add_job_records_ (cell, records, job, wall_ms);
    }
  if (taken > 0)
    g_ptr_array_remove_range (cell->dirty_jobs, 0, taken);
  colt_cell_add_usage_records (cell, records, wall_ms);
  return records;
}

void
colt_cell_free_records (GArray *records)
{
  g_array_unref (records);
}

void
colt_cell_confirm_batch (struct ColtCell *cell, int64_t now_us)
{
  GPtrArray *batch = cell->batch_jobs;
  guint i;

  cell->batch_jobs = g_ptr_array_new ();
  for (i = 0; i < batch->len; i++)
    commit_job_ (cell, g_ptr_array_index (batch, i), now_us);
  g_ptr_array_unref (batch);
}

bool
colt_cell_has_changes (const struct ColtCell *cell)
{
  return cell->dirty_jobs->len > 0 || colt_cell_is_usage_due (cell);
}

uint64_t
colt_cell_last_change (const struct ColtCell *cell)
{
  return cell->last_change;
}

bool
colt_cell_has_taken (const struct ColtCell *cell, uint64_t change)
{
  const struct ColtCellJob *oldest;

  if (cell->dirty_jobs->len == 0)
    return true;
  oldest = g_ptr_array_index (cell->dirty_jobs, 0);
  return change < oldest->change;
}

bool
colt_cell_has_waiting_starts (const struct ColtCell *cell)
{
  return cell->unrecorded_runs > 0;
}

static bool
load_spec_ (struct ColtCell *cell,
            const uint8_t *value,
            size_t size,
            int64_t now_us,
            int64_t wall_ms)
{
  ColtJobSpec *spec = colt_job_spec__unpack (NULL, size, value);
  struct ColtCellJob *job;

  if (spec == NULL || !colt_cell_is_spec_valid (spec)
      || strlen (spec->id) != COLT_JOB_ID_LENGTH
      || colt_cell_find_job (cell, spec->id) != NULL)
    {
      if (spec != NULL)
        colt_job_spec__free_unpacked (spec, NULL);
      return false;
    }
  job = colt_cell_build_job (cell, spec);
  colt_cell_restore_terms (job->queue, spec->queue_terms);
  job->durable = true;
  job->spec_stored = true;
  job->accepted_us
      = now_us - MAX (wall_ms - spec->accepted_wall_ms, 0) * COLT_US_PER_MS;
  return true;
}

/* Returns the number of the part of a job's progress that has a key. */
static uint32_t
part_number_ (const char *key)
{
  const char *mark = strchr (key, PART_MARK);

  return mark != NULL ? (uint32_t)g_ascii_strtoull (mark + 1, NULL, 10) : 0;
}

/* The job's specification, if it is recorded, must have been loaded before. */
static bool
load_progress_ (struct ColtCell *cell,
                const char *key,
                const uint8_t *value,
                size_t size,
                int64_t now_us,
                int64_t wall_ms)
{
  ColtJobProgress *progress = colt_job_progress__unpack (NULL, size, value);
  uint32_t part = part_number_ (key);
  struct ColtCellJob *job;

  if (progress == NULL || strlen (progress->id) != COLT_JOB_ID_LENGTH
      || progress->state > COLT_JOB_CANCELLED)
    {
      if (progress != NULL)
        colt_job_progress__free_unpacked (progress, NULL);
      return false;
    }
  job = colt_cell_find_job (cell, progress->id);
  if (part > 0)
    {
      if (job != NULL && part < COLT_JOB_TASKS_MAX)
        {
          job->stored_parts = MAX (job->stored_parts, part + 1);
          if (!job->unsplit)
            apply_progress_ (cell, job, progress);
        }
      colt_job_progress__free_unpacked (progress, NULL);
      return true;
    }
  if (job == NULL)
    {
      job = g_new0 (struct ColtCellJob, 1);
      g_strlcpy (job->id, progress->id, sizeof job->id);
      job->queue = colt_cell_get_queue (cell, progress->queue);
      job->organisation
          = colt_cell_get_organisation (cell, progress->organisation);
      job->durable = true;
      g_hash_table_insert (cell->jobs, job->id, job);
    }
  job->state = (enum ColtJobState)progress->state;
  job->durable_state = job->state;
  job->begun = progress->begun;
  if (colt_cell_is_ended (job))
    {
      int64_t age_us = (wall_ms - progress->ended_wall_ms) * COLT_US_PER_MS;

      job->ended_wall_ms = progress->ended_wall_ms;
      job->ended_us = now_us - CLAMP (age_us, 0, cell->limits.status_us);
      colt_cell_list_ended (cell, job);
      colt_cell_unwatch_job (cell, job);
      g_ptr_array_remove_fast (cell->scheduled, job);
    }
  job->stored_parts = MAX (job->stored_parts, 1);
  job->unsplit
      = progress->n_tasks > 0
        && progress->tasks[progress->n_tasks - 1]->index >= job->part_tasks;
  apply_progress_ (cell, job, progress);
  colt_job_progress__free_unpacked (progress, NULL);
  return true;
}

static void
apply_progress_ (struct ColtCell *cell,
                 struct ColtCellJob *job,
                 const ColtJobProgress *progress)
{
  size_t i;
  uint32_t s;

  if (job->spec == NULL)
    return;
  for (i = 0; i < progress->n_tasks; i++)
    apply_task_ (cell, job, progress->tasks[i]);
  job->steps_done = 0;
  for (s = 0; s < job->step_count; s++)
    if (job->steps[s].done == job->steps[s].spec->count)
      job->steps_done++;
}

static void
apply_task_ (struct ColtCell *cell,
             struct ColtCellJob *job,
             const ColtTaskProgress *progress)
{
  struct ColtCellTask *task;
  uint32_t s = 0;

  if (progress->index >= job->task_count)
    return;
  while (progress->index
         >= job->steps[s].first_index + job->steps[s].spec->count)
    s++;
  task = &job->steps[s].tasks[progress->index - job->steps[s].first_index];
  job->steps[s - s % job->spec->n_steps].due = true;
  task->failures = progress->failures;
  task->last_run = progress->last_run;
  task->recorded_run = progress->last_run;
  task->losses = progress->losses;
  task->ends = progress->ends;
  task->crashes = progress->crashes;
  if (progress->failed_gang_run != 0)
    job->steps[s].failed_gang_run = progress->failed_gang_run;
  if (progress->checkpoint[0] != '\0')
    task->checkpoint = g_strdup (progress->checkpoint);
  if (progress->server[0] != '\0' && !progress->done)
    {
      task->earlier_server = colt_cell_get_server (cell, progress->server);
      task->earlier_server->awaited = true;
      task->earlier_incarnation_ms = progress->incarnation_ms;
    }
  if (!progress->done || task->done)
    return;
  task->done = true;
  job->steps[s].done++;
  job->steps[s].waiting--;
}

/* Adds the demand of a job's tasks that may run under orders of an earlier
 * leader. */
static void
add_unsettled_demand_ (struct ColtCellJob *job)
{
  uint32_t s;
  uint32_t t;

  for (s = 0; s < job->step_count; s++)
    for (t = 0; t < job->steps[s].spec->count; t++)
      if (job->steps[s].tasks[t].earlier_server != NULL)
        colt_resources_add (&job->organisation->unsettled_demand,
                            &job->steps[s].demand);
}

static size_t
add_job_records_ (struct ColtCell *cell,
                  GArray *records,
                  struct ColtCellJob *job,
                  int64_t wall_ms)
{
  bool fresh = job->dirty_spec && !job->begun;
  size_t bytes = 0;

  if (job->dropped)
    {
      bytes += add_record_ (records, PROGRESS_KEY, job->id, 0, NULL, 0);
      bytes += remove_parts_ (records, job);
      if (job->spec_stored)
        bytes += add_record_ (records, SPEC_KEY, job->id, 0, NULL, 0);
      return bytes;
    }
  if (colt_cell_is_ended (job))
    {
      if (job->ended_wall_ms == 0)
        job->ended_wall_ms = wall_ms;
      if (job->spec_stored)
        bytes += add_record_ (records, SPEC_KEY, job->id, 0, NULL, 0);
      job->spec_stored = false;
      bytes += remove_parts_ (records, job);
    }
  else if (job->dirty_spec)
    {
      bytes += add_spec_ (records, job);
      job->dirty_spec = false;
      job->spec_stored = true;
    }
  if (!fresh || colt_cell_is_ended (job))
    {
      bytes += add_progress_ (cell, records, job);
      mark_recorded_ (cell, job);
    }
  return bytes;
}

static size_t
add_spec_ (GArray *records, const struct ColtCellJob *job)
{
  size_t size = colt_job_spec__get_packed_size (job->spec);
  uint8_t *value = g_malloc (size + 1);

  colt_job_spec__pack (job->spec, value);
  return add_record_ (records, SPEC_KEY, job->id, 0, value, size);
}

/* Takes over the value; NULL removes the record. part: of a job's progress. */
static size_t
add_record_ (GArray *records,
             char kind,
             const char *id,
             uint32_t part,
             uint8_t *value,
             size_t size)
{
  struct ColtCellRecord record = { 0 };

  record.key = part == 0
                   ? g_strdup_printf ("%c%s", kind, id)
                   : g_strdup_printf ("%c%s%c%u", kind, id, PART_MARK, part);
  record.value = value;
  record.size = size;
  g_array_append_val (records, record);
  return size + strlen (record.key);
}

/* Removes the records of all parts of a job's progress but the first. */
static size_t
remove_parts_ (GArray *records, struct ColtCellJob *job)
{
  size_t bytes = 0;
  uint32_t i;

  for (i = 1; i < job->stored_parts; i++)
    bytes += add_record_ (records, PROGRESS_KEY, job->id, i, NULL, 0);
  job->stored_parts = MIN (job->stored_parts, 1);
  return bytes;
}

static size_t
add_progress_ (const struct ColtCell *cell,
               GArray *records,
               struct ColtCellJob *job)
{
  uint32_t count = colt_cell_is_ended (job) ? 1 : job->part_count;
  size_t bytes = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      size_t size;
      uint8_t *value = colt_cell_pack_progress (cell, job, i, &size);

      if (value == NULL)
        continue;
      bytes += add_record_ (records, PROGRESS_KEY, job->id, i, value, size);
      job->stored_parts = MAX (job->stored_parts, i + 1);
    }
  return bytes;
}

/* Notes that a batch includes a job's planned runs. The record of an ended job
 * has no runs; those that were planned have ended with it. */
static void
mark_recorded_ (struct ColtCell *cell, struct ColtCellJob *job)
{
  guint i;

  if (colt_cell_is_ended (job) || job->planned == NULL)
    return;
  for (i = 0; i < job->planned->len; i++)
    {
      struct ColtCellRun *run = g_ptr_array_index (job->planned, i);

      if (run->state != RUN_PLANNED || run->recorded)
        continue;
      run->recorded = true;
      cell->unrecorded_runs--;
    }
}

static void
commit_job_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us)
{
  job->in_batch = false;
  if (job->dropped)
    {
      if (!job->dirty)
        g_hash_table_remove (cell->jobs, job->id);
      return;
    }
  job->durable = true;
  send_starts_ (cell, job, now_us);
  if (!job->dirty)
    job->durable_state = job->state;
  colt_cell_update_waiting (job);
  colt_cell_open_steps (cell, job, cell->wall_ms);
}

static void
send_starts_ (struct ColtCell *cell, struct ColtCellJob *job, int64_t now_us)
{
  struct ColtCellRun *run;

  if (job->planned == NULL)
    return;
  g_ptr_array_sort (job->planned, compare_runs_);
  /* A start that can't be sent any more may end other planned runs. */
  while ((run = take_recorded_run_ (job)) != NULL)
    colt_cell_send_start (cell, run, now_us);
}

/* Compares runs by the indices of their tasks in the job. */
static gint
compare_runs_ (gconstpointer a, gconstpointer b)
{
  const struct ColtCellTask *first = (*(struct ColtCellRun *const *)a)->task;
  const struct ColtCellTask *second = (*(struct ColtCellRun *const *)b)->task;
  uint32_t first_index = first->step->first_index + first->index;
  uint32_t second_index = second->step->first_index + second->index;

  return first_index < second_index ? -1 : first_index > second_index;
}

/* Removes the first recorded run of a job's planned ones, which are sorted. */
static struct ColtCellRun *
take_recorded_run_ (struct ColtCellJob *job)
{
  guint i;

  for (i = 0; i < job->planned->len; i++)
    {
      struct ColtCellRun *run = g_ptr_array_index (job->planned, i);

      if (run->state != RUN_PLANNED || !run->recorded)
        continue;
      g_ptr_array_remove_index (job->planned, i);
      return run;
    }
  return NULL;
}

static void
free_record_ (gpointer data)
{
  struct ColtCellRecord *record = data;

  g_free (record->key);
  g_free (record->value);
}
