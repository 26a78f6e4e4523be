/* Packs the progress of jobs. The packed entries of tasks are kept, as a change
 * of one task records all. Packed parts of a message that follow each other are
 * the packed message: parts with one task each add up to a list of tasks. */
#include <string.h>

#include "cell_private.h"

/* Room in bytes for a job's progress without its tasks; it may take more. */
#define HEAD_SIZE 256

static void add_head_ (GByteArray *bytes, const struct ColtCellJob *job);
static void update_tasks_ (const struct ColtCell *cell,
                           struct ColtCellJob *job);
static void pack_changed_tasks_ (const struct ColtCell *cell,
                                 struct ColtCellJob *job,
                                 GByteArray *tasks);
static bool pack_task_ (const struct ColtCell *cell,
                        const struct ColtCellTask *task,
                        GByteArray *tasks);
static void fill_entry_ (const struct ColtCell *cell,
                         const struct ColtCellTask *task,
                         ColtTaskProgress *entry);
static bool has_progress_ (const struct ColtCellTask *task);
static void add_entry_ (GByteArray *bytes, ColtTaskProgress *entry);
static void append_part_ (GByteArray *bytes, const ColtJobProgress *part);
#ifdef COLT_GUARD_SWITCHES
static void check_progress_ (const struct ColtCell *cell,
                             const struct ColtCellJob *job,
                             const uint8_t *value,
                             size_t size);
#endif

uint8_t *
colt_cell_pack_progress (const struct ColtCell *cell,
                         struct ColtCellJob *job,
                         size_t *size)
{
  bool ended = colt_cell_is_ended (job);
  GByteArray *bytes;

  if (!ended)
    update_tasks_ (cell, job);
  bytes = g_byte_array_sized_new (HEAD_SIZE
                                  + (ended ? 0 : job->packed_tasks->len));
  add_head_ (bytes, job);
  if (!ended)
    g_byte_array_append (bytes, job->packed_tasks->data,
                         job->packed_tasks->len);
  *size = bytes->len;
#ifdef COLT_GUARD_SWITCHES
  check_progress_ (cell, job, bytes->data, bytes->len);
#endif
  return g_byte_array_free (bytes, FALSE);
}

void
colt_cell_mark_entry (const struct ColtCellTask *task)
{
  struct ColtCellJob *job = task->step->job;

  if (job->entries == NULL)
    return;
  job->entries[task->step->first_index + task->index].changed = true;
  job->entries_changed = true;
}

void
colt_cell_free_entries (struct ColtCellJob *job)
{
  g_clear_pointer (&job->entries, g_free);
  g_clear_pointer (&job->packed_tasks, g_byte_array_unref);
}

static void
add_head_ (GByteArray *bytes, const struct ColtCellJob *job)
{
  ColtJobProgress head = COLT_JOB_PROGRESS__INIT;

  head.id = (char *)job->id;
  head.organisation = job->organisation->name;
  head.queue = job->queue->name;
  head.state = job->state;
  head.begun = job->begun;
  head.ended_wall_ms = job->ended_wall_ms;
  append_part_ (bytes, &head);
}

static void
update_tasks_ (const struct ColtCell *cell, struct ColtCellJob *job)
{
  GByteArray *tasks;
  uint32_t i;

  if (job->entries == NULL)
    {
      job->entries = g_new0 (struct ColtCellEntry, job->task_count);
      for (i = 0; i < job->task_count; i++)
        job->entries[i].changed = true;
      job->packed_tasks = g_byte_array_new ();
      job->entries_changed = true;
    }
  if (!job->entries_changed)
    return;
  tasks = g_byte_array_sized_new (job->packed_tasks->len + HEAD_SIZE);
  pack_changed_tasks_ (cell, job, tasks);
  g_byte_array_unref (job->packed_tasks);
  job->packed_tasks = tasks;
}

/* Packs entries that have changed and copies those between them. */
static void
pack_changed_tasks_ (const struct ColtCell *cell,
                     struct ColtCellJob *job,
                     GByteArray *tasks)
{
  const uint8_t *from = job->packed_tasks->data; /* first byte not copied */
  struct ColtCellEntry *entry = job->entries;
  size_t unchanged = 0; /* bytes at from to be copied */
  uint32_t s;
  uint32_t t;

  job->entries_changed = false;
  for (s = 0; s < job->step_count; s++)
    for (t = 0; t < job->steps[s].spec->count; t++, entry++)
      {
        guint begin;

        if (!entry->changed)
          {
            unchanged += entry->size;
            continue;
          }
        if (unchanged > 0)
          g_byte_array_append (tasks, from, (guint)unchanged);
        if (from != NULL)
          from += unchanged + entry->size;
        unchanged = 0;
        begin = tasks->len;
        entry->changed = pack_task_ (cell, &job->steps[s].tasks[t], tasks);
        entry->size = tasks->len - begin;
        job->entries_changed |= entry->changed;
      }
  if (unchanged > 0)
    g_byte_array_append (tasks, from, (guint)unchanged);
}

/* Packs a task's entry, if it has one. Returns whether the entry may change
 * without notice: whether the task may run under an earlier leader's order
 * depends on reports and time. */
static bool
pack_task_ (const struct ColtCell *cell,
            const struct ColtCellTask *task,
            GByteArray *tasks)
{
  ColtTaskProgress entry;

  if (!has_progress_ (task))
    return false;
  fill_entry_ (cell, task, &entry);
  add_entry_ (tasks, &entry);
  return task->current == NULL && task->earlier_server != NULL;
}

static void
fill_entry_ (const struct ColtCell *cell,
             const struct ColtCellTask *task,
             ColtTaskProgress *entry)
{
  const struct ColtCellStep *step = task->step;

  colt_task_progress__init (entry);
  entry->index = step->first_index + task->index;
  entry->done = task->done;
  entry->failures = task->failures;
  entry->losses = task->losses;
  entry->ends = task->ends;
  entry->crashes = task->crashes;
  if (task->index == 0)
    entry->failed_gang_run = step->failed_gang_run;
  entry->last_run = task->current != NULL ? task->last_run - 1 : task->last_run;
  if (task->checkpoint != NULL)
    entry->checkpoint = task->checkpoint;
  if (task->current != NULL)
    {
      entry->server = task->current->server->id;
      entry->incarnation_ms = task->current->incarnation_ms;
    }
  else if (colt_cell_may_already_run (cell, task))
    {
      entry->server = task->earlier_server->id;
      entry->incarnation_ms = task->earlier_incarnation_ms;
    }
}

static bool
has_progress_ (const struct ColtCellTask *task)
{
  return task->done || task->current != NULL || task->earlier_server != NULL
         || task->failures > 0 || task->last_run > 0
         || task->checkpoint != NULL;
}

static void
add_entry_ (GByteArray *bytes, ColtTaskProgress *entry)
{
  ColtJobProgress part = COLT_JOB_PROGRESS__INIT;

  part.n_tasks = 1;
  part.tasks = &entry;
  append_part_ (bytes, &part);
}

static void
append_part_ (GByteArray *bytes, const ColtJobProgress *part)
{
  guint used = bytes->len;

  g_byte_array_set_size (
      bytes, used + (guint)colt_job_progress__get_packed_size (part));
  colt_job_progress__pack (part, bytes->data + used);
}

#ifdef COLT_GUARD_SWITCHES
/* Asserts that a record is what the generated code packs. */
static void
check_progress_ (const struct ColtCell *cell,
                 const struct ColtCellJob *job,
                 const uint8_t *value,
                 size_t size)
{
  ColtJobProgress progress = COLT_JOB_PROGRESS__INIT;
  ColtTaskProgress *entries = g_new0 (ColtTaskProgress, job->task_count);
  ColtTaskProgress **rows = g_new0 (ColtTaskProgress *, job->task_count);
  uint8_t *expected;
  uint32_t s;
  uint32_t t;

  progress.id = (char *)job->id;
  progress.organisation = job->organisation->name;
  progress.queue = job->queue->name;
  progress.state = job->state;
  progress.begun = job->begun;
  progress.ended_wall_ms = job->ended_wall_ms;
  progress.tasks = rows;
  for (s = 0; s < job->step_count && !colt_cell_is_ended (job); s++)
    for (t = 0; t < job->steps[s].spec->count; t++)
      if (has_progress_ (&job->steps[s].tasks[t]))
        {
          rows[progress.n_tasks] = &entries[progress.n_tasks];
          fill_entry_ (cell, &job->steps[s].tasks[t], rows[progress.n_tasks++]);
        }
  g_assert_cmpuint (colt_job_progress__get_packed_size (&progress), ==, size);
  expected = g_malloc (size + 1);
  colt_job_progress__pack (&progress, expected);
  g_assert_cmpmem (value, size, expected, size);
  g_free (expected);
  g_free (rows);
  g_free (entries);
}
#endif
