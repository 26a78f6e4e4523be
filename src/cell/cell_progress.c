/* Encodes the progress of jobs in the wire format of ColtJobProgress. The
 * encoded entries of tasks are kept, as a change of one task records all. */
#include <string.h>

#include "cell_private.h"

/* Largest size in bytes of a field, apart from its text: a tag, which has one
 * byte for the field numbers up to 15, and a number. */
#define FIELD_MAX (1 + 10)
/* Room in bytes for the fields of a job's progress without its tasks; they may
 * take more. */
#define HEAD_SIZE 256
/* Fields of a job's progress without its tasks, and of a task's. */
#define JOB_FIELDS 6
#define TASK_FIELDS 11
/* Wire types of fields. */
#define TYPE_NUMBER 0u
#define TYPE_BYTES 2u
#define TYPE_BITS 3
/* Bits of a number in each byte; the highest bit means that more follow. */
#define VARINT_BITS 7
#define VARINT_MORE 0x80u

/* Field numbers of ColtJobProgress. */
enum ColtJobField
{
  JOB_ID = 1,
  JOB_ORGANISATION = 2,
  JOB_QUEUE = 3,
  JOB_STATE = 4,
  JOB_BEGUN = 5,
  JOB_ENDED_WALL_MS = 6,
  JOB_TASKS = 7
};

/* Field numbers of ColtTaskProgress. */
enum ColtTaskField
{
  TASK_INDEX = 1,
  TASK_DONE = 2,
  TASK_FAILURES = 3,
  TASK_LAST_RUN = 4,
  TASK_CHECKPOINT = 5,
  TASK_SERVER = 6,
  TASK_LOSSES = 7,
  TASK_CRASHES = 8,
  TASK_INCARNATION_MS = 9,
  TASK_ENDS = 10,
  TASK_FAILED_GANG_RUN = 11
};

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
static void add_entry_ (GByteArray *bytes, const ColtTaskProgress *entry);
static uint8_t *reserve_ (GByteArray *bytes, size_t size);
static uint8_t *put_varint_ (uint8_t *at, uint64_t number);
static uint8_t *put_number_ (uint8_t *at, uint32_t field, uint64_t number);
static uint8_t *put_signed_ (uint8_t *at, uint32_t field, int64_t number);
static uint8_t *
put_text_ (uint8_t *at, uint32_t field, const char *text, size_t size);
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
  size_t id_size = strlen (job->id);
  size_t organisation_size = strlen (job->organisation->name);
  size_t queue_size = strlen (job->queue->name);
  uint8_t *at = reserve_ (bytes, id_size + organisation_size + queue_size
                                     + (size_t)JOB_FIELDS * FIELD_MAX);

  at = put_text_ (at, JOB_ID, job->id, id_size);
  at = put_text_ (at, JOB_ORGANISATION, job->organisation->name,
                  organisation_size);
  at = put_text_ (at, JOB_QUEUE, job->queue->name, queue_size);
  at = put_number_ (at, JOB_STATE, job->state);
  at = put_number_ (at, JOB_BEGUN, job->begun);
  at = put_signed_ (at, JOB_ENDED_WALL_MS, job->ended_wall_ms);
  g_byte_array_set_size (bytes, (guint)(at - bytes->data));
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

/* The entry is encoded behind the longest head that it may have, and moved up
 * once its size is known. */
static void
add_entry_ (GByteArray *bytes, const ColtTaskProgress *entry)
{
  size_t checkpoint_size = strlen (entry->checkpoint);
  size_t server_size = strlen (entry->server);
  uint8_t *head = reserve_ (bytes, checkpoint_size + server_size
                                       + (size_t)(1 + TASK_FIELDS) * FIELD_MAX);
  uint8_t *body = head + FIELD_MAX;
  uint8_t *at = body;

  at = put_number_ (at, TASK_INDEX, entry->index);
  at = put_number_ (at, TASK_DONE, entry->done ? 1 : 0);
  at = put_number_ (at, TASK_FAILURES, entry->failures);
  at = put_number_ (at, TASK_LAST_RUN, entry->last_run);
  at = put_text_ (at, TASK_CHECKPOINT, entry->checkpoint, checkpoint_size);
  at = put_text_ (at, TASK_SERVER, entry->server, server_size);
  at = put_number_ (at, TASK_LOSSES, entry->losses);
  at = put_number_ (at, TASK_CRASHES, entry->crashes);
  at = put_signed_ (at, TASK_INCARNATION_MS, entry->incarnation_ms);
  at = put_number_ (at, TASK_ENDS, entry->ends);
  at = put_number_ (at, TASK_FAILED_GANG_RUN, entry->failed_gang_run);
  *head++ = JOB_TASKS << TYPE_BITS | TYPE_BYTES;
  head = put_varint_ (head, (uint64_t)(at - body));
  memmove (head, body, (size_t)(at - body));
  g_byte_array_set_size (bytes, (guint)(head + (at - body) - bytes->data));
}

/* Appends bytes of any content; returns the first of them. */
static uint8_t *
reserve_ (GByteArray *bytes, size_t size)
{
  guint used = bytes->len;

  g_byte_array_set_size (bytes, used + (guint)size);
  return bytes->data + used;
}

static uint8_t *
put_varint_ (uint8_t *at, uint64_t number)
{
  while (number >= VARINT_MORE)
    {
      *at++ = (uint8_t)(number | VARINT_MORE);
      number >>= VARINT_BITS;
    }
  *at++ = (uint8_t)number;
  return at;
}

/* Fields that are 0 or empty are left out. */
static uint8_t *
put_number_ (uint8_t *at, uint32_t field, uint64_t number)
{
  if (number == 0)
    return at;
  *at++ = (uint8_t)(field << TYPE_BITS | TYPE_NUMBER);
  return put_varint_ (at, number);
}

/* Numbers of either sign are stored with the sign in the lowest bit. */
static uint8_t *
put_signed_ (uint8_t *at, uint32_t field, int64_t number)
{
  uint64_t doubled = (uint64_t)number << 1;

  return put_number_ (at, field, number < 0 ? ~doubled : doubled);
}

static uint8_t *
put_text_ (uint8_t *at, uint32_t field, const char *text, size_t size)
{
  if (size == 0)
    return at;
  *at++ = (uint8_t)(field << TYPE_BITS | TYPE_BYTES);
  at = put_varint_ (at, size);
  memcpy (at, text, size);
  return at + size;
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
