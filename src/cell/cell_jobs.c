#include <stdio.h>
#include <string.h>

#include "cell_backfill.h"
#include "cell_private.h"
#include "cell_progress.h"
#include "cell_usage.h"
#include "cell_watchdog.h"

static bool is_step_valid_ (const ColtJobSpec *spec, size_t number);
static void build_step_ (struct ColtCellStep *step,
                         struct ColtCellJob *job,
                         uint32_t number,
                         uint32_t occurrence,
                         uint32_t first_index);
static void drop_steps_ (struct ColtCellJob *job);
static void compute_depths_ (struct ColtCellJob *job);
static struct ColtCellStep *first_step_ (const struct ColtCellStep *step);
static void free_advice_ (gpointer data);
static struct ColtCellStep *
find_step_ (const struct ColtCell *cell, const char *name, const char **rest);
static bool parse_field_ (const char **text, uint32_t *field);

bool
colt_cell_is_spec_valid (const ColtJobSpec *spec)
{
  uint64_t tasks = 0;
  size_t i;

  if (spec->n_steps == 0 || spec->n_steps > COLT_JOB_TASKS_MAX)
    return false;
  for (i = 0; i < spec->n_steps; i++)
    {
      if (!is_step_valid_ (spec, i))
        return false;
      tasks += spec->steps[i]->count;
    }
  tasks *= MAX (spec->repetitions, 1);
  return tasks > 0 && tasks <= COLT_JOB_TASKS_MAX;
}

struct ColtCellJob *
colt_cell_build_job (struct ColtCell *cell, ColtJobSpec *spec)
{
  struct ColtCellJob *job = g_new0 (struct ColtCellJob, 1);
  uint32_t occurrences = MAX (spec->repetitions, 1);
  uint32_t index = 0;
  uint32_t i;

  g_strlcpy (job->id, spec->id, sizeof job->id);
  job->queue = colt_cell_get_queue (cell, spec->queue);
  job->organisation = colt_cell_get_organisation (cell, spec->organisation);
  job->spec = spec;
  job->order = cell->next_order++;
  job->step_count = occurrences * (uint32_t)spec->n_steps;
  job->steps = g_new0 (struct ColtCellStep, job->step_count);
  for (i = 0; i < job->step_count; i++)
    {
      build_step_ (&job->steps[i], job, i % (uint32_t)spec->n_steps,
                   i / (uint32_t)spec->n_steps, index);
      index += job->steps[i].spec->count;
    }
  compute_depths_ (job);
  job->task_count = index;
  colt_cell_split_progress (cell, job);
  g_hash_table_insert (cell->jobs, job->id, job);
  colt_cell_watch_job (cell, job);
  if (spec->repetitions > 0)
    g_ptr_array_add (cell->scheduled, job);
  return job;
}

void
colt_cell_discard_job (struct ColtCell *cell, struct ColtCellJob *job)
{
  drop_steps_ (job);
  job->spec = NULL;
  colt_cell_unwatch_job (cell, job);
  g_ptr_array_remove_fast (cell->scheduled, job);
  g_hash_table_remove (cell->jobs, job->id);
}

/* Frees the data that is needed only while a job has tasks to run. */
void
colt_cell_drop_spec (struct ColtCellJob *job)
{
  if (job->spec == NULL)
    return;
  drop_steps_ (job);
  colt_job_spec__free_unpacked (job->spec, NULL);
  job->spec = NULL;
}

void
colt_cell_free_job (gpointer data)
{
  struct ColtCellJob *job = data;

  colt_cell_drop_spec (job);
  g_free (job);
}

void
colt_cell_mark_dirty (struct ColtCell *cell, struct ColtCellJob *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  job->change = ++cell->last_change;
  g_ptr_array_add (cell->dirty_jobs, job);
}

bool
colt_cell_is_ended (const struct ColtCellJob *job)
{
  return job->state == COLT_JOB_COMPLETED || job->state == COLT_JOB_FAILED
         || job->state == COLT_JOB_CANCELLED;
}

void
colt_cell_end_job (struct ColtCell *cell,
                   struct ColtCellJob *job,
                   enum ColtJobState state,
                   int64_t now_us)
{
  char detail[2 * TASK_NAME_SIZE];
  uint32_t i;

  g_snprintf (detail, sizeof detail,
              "%s after %lld ms, first start %lld ms, objective %lld ms, %s",
              colt_job_state_string[state],
              (long long)((now_us - job->accepted_us) / COLT_US_PER_MS),
              (long long)(job->begun_us > 0 ? (job->begun_us - job->accepted_us)
                                                  / COLT_US_PER_MS
                                            : -1),
              (long long)(job->spec != NULL
                              ? colt_cell_objective_us (job) / COLT_US_PER_MS
                              : 0),
              job->queue->name);
  job->state = state;
  job->ended_us = now_us;
  job->ended_wall_ms = 0;
  colt_cell_update_waiting (job);
  colt_cell_count_job (cell, job);
  colt_cell_mark_dirty (cell, job);
  colt_cell_list_ended (cell, job);
  colt_cell_unwatch_job (cell, job);
  cell->steps_to_close = true;
  g_ptr_array_remove_fast (cell->scheduled, job);
  for (i = 0; i < job->step_count; i++)
    colt_cell_stop_step (cell, &job->steps[i], now_us);
  cell->ops->log_decision (cell->client, job->id, "job ended", detail);
}

/* Adds a job's steps that may start now to open_steps. */
void
colt_cell_open_steps (struct ColtCell *cell,
                      struct ColtCellJob *job,
                      int64_t wall_ms)
{
  uint32_t i;

  if (colt_cell_is_ended (job))
    return;
  for (i = 0; i < job->step_count; i++)
    {
      struct ColtCellStep *step = &job->steps[i];

      if (step->open || step->waiting == 0
          || !colt_cell_is_step_ready (step, wall_ms))
        continue;
      step->open = true;
      step->looked_pass = cell->passes;
      first_step_ (step)->due = true;
      g_ptr_array_add (cell->open_steps, step);
      colt_cell_count_waiting (cell, step);
    }
}

/* The wall clock may be set back; an occurrence that was due stays so. */
bool
colt_cell_is_step_ready (const struct ColtCellStep *step, int64_t wall_ms)
{
  const ColtJobSpec *spec = step->job->spec;
  const struct ColtCellStep *first = first_step_ (step);
  size_t i;

  for (i = 0; i < step->spec->n_after; i++)
    {
      const struct ColtCellStep *before = &first[step->spec->after[i]];

      if (before->done < before->spec->count)
        return false;
    }
  return spec->repetitions == 0 || first->due
         || wall_ms >= spec->initial_delay_ms
                           + (int64_t)step->occurrence * spec->interval_ms;
}

void
colt_cell_complete_task (struct ColtCell *cell,
                         struct ColtCellTask *task,
                         int64_t now_us)
{
  struct ColtCellStep *step = task->step;
  struct ColtCellJob *job = step->job;

  if (task->done)
    return;
  task->done = true;
  if (task->current == NULL)
    {
      step->waiting--;
      colt_cell_count_waiting (cell, step);
    }
  cell->steps_to_close |= step->waiting == 0;
  step->done++;
  g_clear_pointer (&task->checkpoint, g_free);
  colt_cell_mark_entry (task);
  colt_cell_mark_dirty (cell, job);
  if (step->done < step->spec->count || colt_cell_is_ended (job))
    return;
  job->steps_done++;
  colt_cell_update_slowness (step);
  if (job->steps_done == job->step_count)
    colt_cell_end_job (cell, job, COLT_JOB_COMPLETED, now_us);
  else
    colt_cell_open_steps (cell, job, cell->wall_ms);
}

/* Updates the count of durable jobs without a start in the job's queue. */
void
colt_cell_update_waiting (struct ColtCellJob *job)
{
  bool waits = job->durable && !job->begun && !colt_cell_is_ended (job);

  if (waits == job->counted_waiting)
    return;
  job->counted_waiting = waits;
  if (waits)
    job->queue->waiting++;
  else
    job->queue->waiting--;
}

struct ColtCellJob *
colt_cell_find_job (const struct ColtCell *cell, const char *id)
{
  return g_hash_table_lookup (cell->jobs, id);
}

struct ColtCellStep *
colt_cell_find_step (const struct ColtCell *cell, const char *name)
{
  const char *rest;

  return find_step_ (cell, name, &rest);
}

struct ColtCellTask *
colt_cell_find_task (const struct ColtCell *cell, const char *name)
{
  const char *rest;
  struct ColtCellStep *step = find_step_ (cell, name, &rest);
  uint32_t index;

  if (step == NULL || !parse_field_ (&rest, &index) || *rest != '\0')
    return NULL;
  return index < step->spec->count ? &step->tasks[index] : NULL;
}

void
colt_cell_format_task_name (const struct ColtCellTask *task,
                            char name[TASK_NAME_SIZE])
{
  const struct ColtCellStep *step = task->step;

  snprintf (name, TASK_NAME_SIZE, "%s.%u.%u.%u", step->job->id,
            step->occurrence, step->number, task->index);
}

struct ColtCellOrganisation *
colt_cell_get_organisation (struct ColtCell *cell, const char *name)
{
  struct ColtCellOrganisation *organisation
      = g_hash_table_lookup (cell->organisations, name);

  if (organisation == NULL)
    {
      organisation = g_new0 (struct ColtCellOrganisation, 1);
      organisation->name = g_strdup (name);
      g_hash_table_insert (cell->organisations, organisation->name,
                           organisation);
      colt_cell_open_account (cell, organisation);
    }
  return organisation;
}

static bool
is_step_valid_ (const ColtJobSpec *spec, size_t number)
{
  const ColtJobStep *step = spec->steps[number];
  size_t i;

  if (step->count == 0 || step->count > COLT_JOB_TASKS_MAX)
    return false;
  for (i = 0; i < step->n_after; i++)
    if (step->after[i] >= number)
      return false;
  return true;
}

static void
build_step_ (struct ColtCellStep *step,
             struct ColtCellJob *job,
             uint32_t number,
             uint32_t occurrence,
             uint32_t first_index)
{
  const ColtJobStep *spec = job->spec->steps[number];
  uint32_t i;

  step->job = job;
  step->spec = spec;
  step->number = number;
  step->occurrence = occurrence;
  step->first_index = first_index;
  step->waiting = spec->count;
  step->demand.amount[COLT_RESOURCE_CORES] = spec->fills ? 0 : spec->cpu_milli;
  step->demand.amount[COLT_RESOURCE_MEMORY] = spec->memory_mb;
  step->demand.amount[COLT_RESOURCE_ACCELERATORS] = spec->accelerators;
  step->tasks = g_new0 (struct ColtCellTask, spec->count);
  for (i = 0; i < spec->count; i++)
    {
      step->tasks[i].step = step;
      step->tasks[i].index = i;
    }
  step->advice = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        free_advice_);
}

static void
drop_steps_ (struct ColtCellJob *job)
{
  uint32_t i;
  uint32_t t;

  for (i = 0; i < job->step_count; i++)
    {
      for (t = 0; t < job->steps[i].spec->count; t++)
        {
          g_free (job->steps[i].tasks[t].checkpoint);
          g_clear_pointer (&job->steps[i].tasks[t].counted_runs, g_array_unref);
        }
      colt_cell_abandon_call (&job->steps[i]);
      colt_cell_free_plan (&job->steps[i]);
      g_free (job->steps[i].tasks);
      g_clear_pointer (&job->steps[i].advice, g_hash_table_unref);
      g_clear_pointer (&job->steps[i].ticket_servers, g_ptr_array_unref);
    }
  g_clear_pointer (&job->steps, g_free);
  g_clear_pointer (&job->planned, g_ptr_array_unref);
  colt_cell_free_entries (job);
  job->step_count = 0;
}

/* Computes depth and height of each step. A step only refers to steps with a
 * lower number, so that one pass in each direction suffices. */
static void
compute_depths_ (struct ColtCellJob *job)
{
  size_t count = job->spec->n_steps;
  uint32_t i;

  for (i = 0; i < job->step_count; i++)
    {
      struct ColtCellStep *step = &job->steps[i];
      size_t a;

      for (a = 0; a < step->spec->n_after; a++)
        step->depth = MAX (
            step->depth,
            job->steps[step->occurrence * count + step->spec->after[a]].depth
                + 1);
    }
  for (i = job->step_count; i-- > 0;)
    {
      struct ColtCellStep *step = &job->steps[i];
      size_t a;

      for (a = 0; a < step->spec->n_after; a++)
        {
          struct ColtCellStep *before
              = &job->steps[step->occurrence * count + step->spec->after[a]];

          before->height = MAX (before->height, step->height + 1);
        }
    }
}

static struct ColtCellStep *
first_step_ (const struct ColtCellStep *step)
{
  return &step->job->steps[step->occurrence * step->job->spec->n_steps];
}

static void
free_advice_ (gpointer data)
{
  struct ColtCellAdvice *advice = data;

  g_free (advice->ticket);
  g_free (advice);
}

/* Sets rest to what follows the step in a name. */
static struct ColtCellStep *
find_step_ (const struct ColtCell *cell, const char *name, const char **rest)
{
  char id[COLT_JOB_ID_LENGTH + 1];
  const struct ColtCellJob *job;
  uint32_t occurrence;
  uint32_t number;
  uint64_t index;

  *rest = strchr (name, '.');
  if (*rest == NULL || *rest - name != COLT_JOB_ID_LENGTH)
    return NULL;
  memcpy (id, name, COLT_JOB_ID_LENGTH);
  id[COLT_JOB_ID_LENGTH] = '\0';
  if (!parse_field_ (rest, &occurrence) || !parse_field_ (rest, &number))
    return NULL;
  job = colt_cell_find_job (cell, id);
  if (job == NULL || job->spec == NULL || number >= job->spec->n_steps)
    return NULL;
  index = (uint64_t)occurrence * job->spec->n_steps + number;
  return index < job->step_count ? &job->steps[index] : NULL;
}

/* Parses a dot and a number, and moves text behind them. */
static bool
parse_field_ (const char **text, uint32_t *field)
{
  const char *digit = *text + 1;
  uint64_t value = 0;

  if (**text != '.' || !g_ascii_isdigit (*digit))
    return false;
  for (; g_ascii_isdigit (*digit); digit++)
    {
      value = value * 10 + (uint64_t)(*digit - '0');
      if (value > UINT32_MAX)
        return false;
    }
  *text = digit;
  *field = (uint32_t)value;
  return true;
}
