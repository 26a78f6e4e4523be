#include "zone_server.h"

#include <string.h>

#include "coltsfootstile/clock.h"

#define PPM 1000000
#define LEASE_US (400 * COLT_US_PER_MS)
#define TASK_LEASE_US (COLT_ZONE_TASK_LEASE_MS * COLT_US_PER_MS)
#define TASK_RUN_US (8 * COLT_US_PER_S)

struct ColtZoneServerModel
{
  int64_t ppm; /* its clock runs too fast by this, in parts per million */
  bool is_dead;
  int64_t disconnected_until;
  uint64_t epoch;
  uint32_t owner;
  int64_t lease_end;         /* by the server's clock */
  GArray *token_issue_times; /* int64_t, by token - 1; server's clock */
  GPtrArray *running;        /* of struct ColtZoneTask */
  GHashTable *tasks; /* by number, of struct ColtZoneTask, also ended ones */
  int64_t lapsed_count;
  uint64_t shard_epochs[COLT_SHARD_COUNT];
};

static int64_t local_time_ (const struct ColtZoneServerModel *server,
                            int64_t now);
static void end_due_tasks_ (struct ColtZoneServerModel *server, int64_t now);
static struct ColtZoneTask *
get_running_task_ (struct ColtZoneServerModel *server, guint index);
static struct ColtZoneTask *find_task_ (struct ColtZoneServerModel *server,
                                        uint32_t number);
static bool contains_task_ (GHashTable *tasks, uint32_t number);
static int64_t token_issue_time_ (const struct ColtZoneServerModel *server,
                                  int token);
static bool acquire_lease_ (struct ColtZoneServerModel *server,
                            const struct ColtZoneCall *call,
                            int64_t local);
static void start_task_ (struct ColtZoneServerModel *server,
                         const struct ColtZoneCall *call,
                         int64_t local,
                         struct ColtZoneAnswer *answer);
static void renew_tasks_ (struct ColtZoneServerModel *server,
                          const struct ColtZoneCall *call);
static void list_tasks_ (struct ColtZoneServerModel *server,
                         struct ColtZoneAnswer *answer);

struct ColtZoneServerModel *
colt_zone_server_create (int64_t ppm)
{
  struct ColtZoneServerModel *server = g_new0 (struct ColtZoneServerModel, 1);

  server->ppm = ppm;
  server->token_issue_times = g_array_new (FALSE, TRUE, sizeof (int64_t));
  server->running = g_ptr_array_new ();
  server->tasks
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return server;
}

void
colt_zone_server_destroy (struct ColtZoneServerModel *server)
{
  g_array_unref (server->token_issue_times);
  g_ptr_array_unref (server->running);
  g_hash_table_unref (server->tasks);
  g_free (server);
}

void
colt_zone_server_kill (struct ColtZoneServerModel *server, int64_t now)
{
  guint i;

  end_due_tasks_ (server, now);
  server->is_dead = true;
  for (i = 0; i < server->running->len; i++)
    get_running_task_ (server, i)->is_running = false;
  g_ptr_array_set_size (server->running, 0);
}

void
colt_zone_server_disconnect (struct ColtZoneServerModel *server, int64_t until)
{
  server->disconnected_until = until;
}

bool
colt_zone_server_call (struct ColtZoneServerModel *server,
                       int64_t now,
                       const struct ColtZoneCall *call,
                       struct ColtZoneAnswer *answer)
{
  int64_t local = local_time_ (server, now);
  bool is_holder = server->owner == call->owner && server->epoch == call->epoch
                   && local < server->lease_end;

  if (server->is_dead || now < server->disconnected_until)
    return false;
  end_due_tasks_ (server, now);
  memset (answer, 0, sizeof *answer);
  if (call->kind == COLT_ZONE_ACQUIRE ? !acquire_lease_ (server, call, local)
                                      : !is_holder)
    {
      answer->is_fenced = true;
      answer->fence.epoch = server->epoch;
      answer->fence.owner = server->owner;
      answer->fence.remaining_ms
          = MAX (server->lease_end - local, 0) / COLT_US_PER_MS;
      return true;
    }
  if (call->token > 0 && call->kind != COLT_ZONE_RELEASE)
    server->lease_end = MAX (
        server->lease_end, token_issue_time_ (server, call->token) + LEASE_US);
  if (call->kind == COLT_ZONE_RELEASE)
    server->lease_end = 0;
  else if (call->kind == COLT_ZONE_START)
    start_task_ (server, call, local, answer);
  else if (call->kind == COLT_ZONE_RENEW_TASKS)
    renew_tasks_ (server, call);
  else if (call->kind == COLT_ZONE_INVENTORY)
    list_tasks_ (server, answer);
  g_array_append_val (server->token_issue_times, local);
  answer->token = (int)server->token_issue_times->len;
  return true;
}

bool
colt_zone_server_is_held_by (struct ColtZoneServerModel *server,
                             int64_t now,
                             uint32_t owner,
                             uint64_t epoch)
{
  return server->is_dead
         || (server->owner == owner && server->epoch == epoch
             && local_time_ (server, now) < server->lease_end);
}

bool
colt_zone_server_has_ended (struct ColtZoneServerModel *server, uint32_t task)
{
  const struct ColtZoneTask *found = find_task_ (server, task);

  return found != NULL && !found->is_running;
}

int
colt_zone_server_count_running (struct ColtZoneServerModel *server,
                                int64_t now,
                                uint32_t shard)
{
  int count = 0;
  guint i;

  end_due_tasks_ (server, now);
  for (i = 0; i < server->running->len; i++)
    if (get_running_task_ (server, i)->shard == shard)
      count++;
  return count;
}

int64_t
colt_zone_server_count_lapsed_tasks (struct ColtZoneServerModel *server,
                                     int64_t now)
{
  end_due_tasks_ (server, now);
  return server->lapsed_count;
}

bool
colt_zone_server_tasks_are_listed (struct ColtZoneServerModel *server,
                                   int64_t now,
                                   uint32_t shard,
                                   GHashTable *reported,
                                   GHashTable *sent)
{
  guint i;

  end_due_tasks_ (server, now);
  for (i = 0; i < server->running->len; i++)
    {
      const struct ColtZoneTask *task = get_running_task_ (server, i);

      if (task->shard == shard && !contains_task_ (reported, task->number)
          && !contains_task_ (sent, task->number))
        return false;
    }
  return true;
}

struct ColtTaskRef
colt_zone_task_ref (uint32_t number)
{
  uint8_t random[10] = { 0 };
  struct ColtTaskRef ref = { { { 0 } }, 0, 1 };

  memcpy (random, &number, sizeof number);
  ref.request = colt_id_mint (1, 1, random);
  return ref;
}

uint32_t
colt_zone_task_number (const struct ColtTaskRef *ref)
{
  uint32_t number;

  memcpy (&number, ref->request.bytes + COLT_ID_SIZE - 10, sizeof number);
  return number;
}

static int64_t
local_time_ (const struct ColtZoneServerModel *server, int64_t now)
{
  return now + now * server->ppm / PPM;
}

static void
end_due_tasks_ (struct ColtZoneServerModel *server, int64_t now)
{
  int64_t local = local_time_ (server, now);
  guint i = 0;

  while (i < server->running->len)
    {
      struct ColtZoneTask *task = get_running_task_ (server, i);

      if (local < task->lease_end && local < task->finish)
        {
          i++;
          continue;
        }
      task->is_running = false;
      if (local < task->finish)
        server->lapsed_count++;
      g_ptr_array_remove_index_fast (server->running, i);
    }
}

static struct ColtZoneTask *
get_running_task_ (struct ColtZoneServerModel *server, guint index)
{
  return g_ptr_array_index (server->running, index);
}

static struct ColtZoneTask *
find_task_ (struct ColtZoneServerModel *server, uint32_t number)
{
  return g_hash_table_lookup (server->tasks, GUINT_TO_POINTER (number));
}

static bool
contains_task_ (GHashTable *tasks, uint32_t number)
{
  return tasks != NULL
         && g_hash_table_contains (tasks, GUINT_TO_POINTER (number));
}

static int64_t
token_issue_time_ (const struct ColtZoneServerModel *server, int token)
{
  return g_array_index (server->token_issue_times, int64_t, token - 1);
}

static bool
acquire_lease_ (struct ColtZoneServerModel *server,
                const struct ColtZoneCall *call,
                int64_t local)
{
  if (local < server->lease_end || call->epoch <= server->epoch)
    return false;
  server->epoch = call->epoch;
  server->owner = call->owner;
  server->lease_end = local + LEASE_US;
  return true;
}

static void
start_task_ (struct ColtZoneServerModel *server,
             const struct ColtZoneCall *call,
             int64_t local,
             struct ColtZoneAnswer *answer)
{
  struct ColtZoneTask task = call->task;

  if (find_task_ (server, task.number) != NULL
      || task.epoch < server->shard_epochs[task.shard])
    return;
  task.server = call->server;
  task.lease_end = token_issue_time_ (server, call->token) + TASK_LEASE_US;
  task.finish = local + TASK_RUN_US;
  task.is_running = local < task.lease_end;
  if (!task.is_running)
    return;
  server->shard_epochs[task.shard] = task.epoch;
  answer->accepted = g_memdup2 (&task, sizeof task);
  g_ptr_array_add (server->running, (gpointer)answer->accepted);
  g_hash_table_insert (server->tasks, GUINT_TO_POINTER (task.number),
                       (gpointer)answer->accepted);
}

static void
renew_tasks_ (struct ColtZoneServerModel *server,
              const struct ColtZoneCall *call)
{
  int64_t end = token_issue_time_ (server, call->token) + TASK_LEASE_US;
  guint i;

  for (i = 0; i < server->running->len; i++)
    {
      struct ColtZoneTask *task = get_running_task_ (server, i);

      if ((call->shards >> task->shard & 1) != 0)
        task->lease_end = MAX (task->lease_end, end);
    }
}

static void
list_tasks_ (struct ColtZoneServerModel *server, struct ColtZoneAnswer *answer)
{
  uint32_t shard;
  guint i;

  answer->tasks = g_array_new (FALSE, TRUE, sizeof (struct ColtZoneTask));
  for (i = 0; i < server->running->len; i++)
    g_array_append_val (answer->tasks, *get_running_task_ (server, i));
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      answer->epochs[shard].shard = shard;
      answer->epochs[shard].epoch = server->shard_epochs[shard];
    }
}
