#include <string.h>
#include <xxhash.h>

#include "owner_private.h"

/* Time at which a task ended. */
struct ColtEndRecord
{
  int64_t ended_us;
  struct ColtTaskRef ref;
};

struct ColtOwnerTasks
{
  GHashTable *table; /* struct ColtTaskRef -> struct ColtOwnerTask, owned */
  GQueue ends;       /* of struct ColtEndRecord, owned, oldest first */
  GPtrArray *teams;  /* names, owned */
  GHashTable *team_numbers; /* name -> index in teams */
};

static guint hash_ref_ (gconstpointer key);
static gboolean equal_ref_ (gconstpointer a, gconstpointer b);
static uint32_t intern_team_ (struct ColtOwnerTasks *tasks, const char *team);
static void free_task_ (gpointer data);

struct ColtOwnerTasks *
colt_owner_tasks_create (void)
{
  struct ColtOwnerTasks *tasks = g_new0 (struct ColtOwnerTasks, 1);

  tasks->table
      = g_hash_table_new_full (hash_ref_, equal_ref_, NULL, free_task_);
  g_queue_init (&tasks->ends);
  tasks->teams = g_ptr_array_new_with_free_func (g_free);
  tasks->team_numbers = g_hash_table_new (g_str_hash, g_str_equal);
  return tasks;
}

void
colt_owner_tasks_destroy (struct ColtOwnerTasks *tasks)
{
  if (tasks == NULL)
    return;
  g_hash_table_unref (tasks->table);
  g_queue_clear_full (&tasks->ends, g_free);
  g_hash_table_unref (tasks->team_numbers);
  g_ptr_array_unref (tasks->teams);
  g_free (tasks);
}

struct ColtOwnerTask *
colt_owner_tasks_find (const struct ColtOwnerTasks *tasks,
                       const struct ColtTaskRef *ref)
{
  return g_hash_table_lookup (tasks->table, ref);
}

struct ColtOwnerTask *
colt_owner_tasks_add (struct ColtOwnerTasks *tasks,
                      struct ColtOwnedServer *server,
                      const struct ColtTaskRef *ref,
                      const char *team,
                      uint32_t shard)
{
  struct ColtOwnerTask *task = g_new0 (struct ColtOwnerTask, 1);

  task->ref = *ref;
  task->server = server;
  task->shard = shard;
  task->team = intern_team_ (tasks, team);
  task->link.data = task;
  g_hash_table_insert (tasks->table, &task->ref, task);
  if (server != NULL)
    g_queue_push_tail_link (&server->shards[shard], &task->link);
  return task;
}

void
colt_owner_tasks_remove (struct ColtOwnerTasks *tasks,
                         struct ColtOwnerTask *task)
{
  if (task->server != NULL)
    g_queue_unlink (&task->server->shards[task->shard], &task->link);
  g_hash_table_remove (tasks->table, &task->ref);
}

const char *
colt_owner_tasks_team (const struct ColtOwnerTasks *tasks,
                       const struct ColtOwnerTask *task)
{
  return g_ptr_array_index (tasks->teams, task->team);
}

void
colt_owner_tasks_expire (struct ColtOwnerTasks *tasks, int64_t before_us)
{
  struct ColtEndRecord *record;

  while ((record = g_queue_peek_head (&tasks->ends)) != NULL
         && record->ended_us < before_us)
    {
      struct ColtOwnerTask *task = colt_owner_tasks_find (tasks, &record->ref);

      if (task != NULL && task->state >= COLT_OWNER_TASK_ENDED)
        colt_owner_tasks_remove (tasks, task);
      g_free (g_queue_pop_head (&tasks->ends));
    }
}

void
colt_owner_tasks_record_end (struct ColtOwnerTasks *tasks,
                             const struct ColtOwnerTask *task)
{
  struct ColtEndRecord *record = g_new0 (struct ColtEndRecord, 1);

  record->ended_us = task->ended_us;
  record->ref = task->ref;
  g_queue_push_tail (&tasks->ends, record);
}

void
colt_owner_task_fill_report (const struct ColtOwnerTasks *tasks,
                             const struct ColtOwnerTask *task,
                             struct ColtTaskReport *report)
{
  memset (report, 0, sizeof *report);
  report->ref = task->ref;
  report->shard = task->shard;
  report->shard_epoch = task->shard_epoch;
  g_strlcpy (report->team, colt_owner_tasks_team (tasks, task),
             sizeof report->team);
  report->kind = task->kind;
  report->state = task->state == COLT_OWNER_TASK_ENDED ? task->end_state
                                                       : COLT_TASK_RUNNING;
  report->limit = task->limit;
  report->usage = task->usage;
  report->run_ms = task->run_ms;
  report->exit_status = task->exit_status;
}

static guint
hash_ref_ (gconstpointer key)
{
  const struct ColtTaskRef *ref = key;

  return (guint)XXH3_64bits_withSeed (ref->request.bytes, COLT_ID_SIZE,
                                      (uint64_t)ref->index << 32
                                          | ref->attempt);
}

static gboolean
equal_ref_ (gconstpointer a, gconstpointer b)
{
  return colt_task_equal (a, b);
}

static uint32_t
intern_team_ (struct ColtOwnerTasks *tasks, const char *team)
{
  gpointer number;
  char *name;

  if (g_hash_table_lookup_extended (tasks->team_numbers, team, NULL, &number))
    return GPOINTER_TO_UINT (number);
  name = g_strdup (team);
  g_hash_table_insert (tasks->team_numbers, name,
                       GUINT_TO_POINTER (tasks->teams->len));
  g_ptr_array_add (tasks->teams, name);
  return tasks->teams->len - 1;
}

static void
free_task_ (gpointer data)
{
  struct ColtOwnerTask *task = data;

  g_free (task->payload);
  g_free (task);
}
