/* Packs the progress of jobs. The packed entries of tasks are kept, as a change
 * of one task records all. Packed parts of a message that follow each other are
 * the packed message: parts with one task each add up to a list of tasks. */
#include <string.h>

#include "cell_private.h"
#include "cell_progress.h"

/* Room in bytes for a job's progress without its tasks; it may take more. */
#define HEAD_SIZE 256
/* Part of a record that is kept for the progress without its tasks, at most
 * HEAD_MAX bytes. */
#define HEAD_SHARE 4
#define HEAD_MAX 4096
/* Longest checkpoint of a task if records are limited. */
#define CHECKPOINT_MAX 1024
/* Largest entry of a task in bytes: its checkpoint, the id of a server, and
 * numbers. */
#define ENTRY_MAX (CHECKPOINT_MAX + 192)

static void add_head_ (GByteArray *bytes, const struct ColtCellJob *job);
static void create_parts_ (struct ColtCellJob *job);
static bool update_part_ (const struct ColtCell *cell,
                          struct ColtCellJob *job,
                          uint32_t number);
static void pack_part_ (const struct ColtCell *cell,
                        struct ColtCellJob *job,
                        uint32_t number,
                        GByteArray *tasks);
static const struct ColtCellTask *
find_task_ (const struct ColtCellJob *job, uint32_t *step, uint32_t index);
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
                             uint32_t number,
                             const uint8_t *value,
                             size_t size);
#endif

void
colt_cell_split_progress (const struct ColtCell *cell, struct ColtCellJob *job)
{
  size_t bytes = cell->limits.record_bytes_max;
  size_t tasks = job->task_count;

  if (bytes > 0)
    tasks = (bytes - MIN (bytes / HEAD_SHARE, HEAD_MAX)) / ENTRY_MAX;
  job->part_tasks = (uint32_t)CLAMP (tasks, 1, job->task_count);
  job->part_count = (job->task_count + job->part_tasks - 1) / job->part_tasks;
}

bool
colt_cell_can_store_checkpoint (const struct ColtCell *cell,
                                const char *checkpoint)
{
  return cell->limits.record_bytes_max == 0
         || strlen (checkpoint) <= CHECKPOINT_MAX;
}

uint8_t *
colt_cell_pack_progress (const struct ColtCell *cell,
                         struct ColtCellJob *job,
                         uint32_t part,
                         size_t *size)
{
  bool ended = colt_cell_is_ended (job);
  bool changed = !ended && update_part_ (cell, job, part);
  GByteArray *bytes;

  if (part > 0 && !changed)
    return NULL;
  bytes = g_byte_array_sized_new (HEAD_SIZE
                                  + (ended ? 0 : job->parts[part].tasks->len));
  add_head_ (bytes, job);
  if (!ended)
    g_byte_array_append (bytes, job->parts[part].tasks->data,
                         job->parts[part].tasks->len);
  *size = bytes->len;
#ifdef COLT_GUARD_SWITCHES
  check_progress_ (cell, job, part, bytes->data, bytes->len);
#endif
  return g_byte_array_free (bytes, FALSE);
}

void
colt_cell_keep_progress (const struct ColtCell *cell, struct ColtCellJob *job)
{
  uint32_t i;

  if (job->spec == NULL || job->part_count <= 1 || colt_cell_is_ended (job))
    return;
  for (i = 0; i < MIN (job->stored_parts, job->part_count); i++)
    update_part_ (cell, job, i);
}

void
colt_cell_mark_entry (const struct ColtCellTask *task)
{
  struct ColtCellJob *job = task->step->job;
  uint32_t index = task->step->first_index + task->index;

  if (job->entries == NULL)
    return;
  job->entries[index].changed = true;
  job->parts[index / job->part_tasks].changed = true;
}

void
colt_cell_free_entries (struct ColtCellJob *job)
{
  uint32_t i;

  for (i = 0; job->parts != NULL && i < job->part_count; i++)
    g_byte_array_unref (job->parts[i].tasks);
  g_clear_pointer (&job->parts, g_free);
  g_clear_pointer (&job->entries, g_free);
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
create_parts_ (struct ColtCellJob *job)
{
  uint32_t i;

  job->entries = g_new0 (struct ColtCellEntry, job->task_count);
  for (i = 0; i < job->task_count; i++)
    job->entries[i].changed = true;
  job->parts = g_new0 (struct ColtCellPart, job->part_count);
  for (i = 0; i < job->part_count; i++)
    {
      job->parts[i].tasks = g_byte_array_new ();
      job->parts[i].changed = true;
    }
}

/* Packs a part if entries of it have changed. Returns whether it is another one
 * than before. */
static bool
update_part_ (const struct ColtCell *cell,
              struct ColtCellJob *job,
              uint32_t number)
{
  struct ColtCellPart *part;
  GByteArray *before;
  bool same;

  if (job->entries == NULL)
    create_parts_ (job);
  part = &job->parts[number];
  if (!part->changed)
    return false;
  before = part->tasks;
  part->tasks = g_byte_array_sized_new (before->len + HEAD_SIZE);
  pack_part_ (cell, job, number, before);
  same = part->tasks->len == before->len
         && (before->len == 0
             || memcmp (part->tasks->data, before->data, before->len) == 0);
  g_byte_array_unref (before);
  return !same;
}

/* Packs entries of a part that have changed and copies those between them from
 * what it was before. */
static void
pack_part_ (const struct ColtCell *cell,
            struct ColtCellJob *job,
            uint32_t number,
            GByteArray *before)
{
  struct ColtCellPart *part = &job->parts[number];
  const uint8_t *from = before->data; /* first byte not copied */
  size_t unchanged = 0;               /* bytes at from to be copied */
  uint32_t first = number * job->part_tasks;
  uint32_t end = MIN (first + job->part_tasks, job->task_count);
  uint32_t step = 0;
  uint32_t i;

  part->changed = false;
  for (i = first; i < end; i++)
    {
      struct ColtCellEntry *entry = &job->entries[i];
      guint begin;

      if (!entry->changed)
        {
          unchanged += entry->size;
          continue;
        }
      if (unchanged > 0)
        g_byte_array_append (part->tasks, from, (guint)unchanged);
      if (from != NULL)
        from += unchanged + entry->size;
      unchanged = 0;
      begin = part->tasks->len;
      entry->changed
          = pack_task_ (cell, find_task_ (job, &step, i), part->tasks);
      entry->size = part->tasks->len - begin;
      part->changed |= entry->changed;
    }
  if (unchanged > 0)
    g_byte_array_append (part->tasks, from, (guint)unchanged);
}

/* Returns the task with an index, in the given step or a later one. */
static const struct ColtCellTask *
find_task_ (const struct ColtCellJob *job, uint32_t *step, uint32_t index)
{
  while (index >= job->steps[*step].first_index + job->steps[*step].spec->count)
    (*step)++;
  return &job->steps[*step].tasks[index - job->steps[*step].first_index];
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
                 uint32_t number,
                 const uint8_t *value,
                 size_t size)
{
  ColtJobProgress progress = COLT_JOB_PROGRESS__INIT;
  ColtTaskProgress *entries = g_new0 (ColtTaskProgress, job->task_count);
  ColtTaskProgress **rows = g_new0 (ColtTaskProgress *, job->task_count);
  uint32_t first = number * job->part_tasks;
  uint32_t end = MIN (first + job->part_tasks, job->task_count);
  uint32_t step = 0;
  uint8_t *expected;
  uint32_t i;

  progress.id = (char *)job->id;
  progress.organisation = job->organisation->name;
  progress.queue = job->queue->name;
  progress.state = job->state;
  progress.begun = job->begun;
  progress.ended_wall_ms = job->ended_wall_ms;
  progress.tasks = rows;
  for (i = first; i < end && !colt_cell_is_ended (job); i++)
    {
      const struct ColtCellTask *task = find_task_ (job, &step, i);

      if (!has_progress_ (task))
        continue;
      rows[progress.n_tasks] = &entries[progress.n_tasks];
      fill_entry_ (cell, task, rows[progress.n_tasks++]);
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
