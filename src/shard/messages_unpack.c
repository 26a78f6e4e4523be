#include "coltsfootstile/shard_messages.h"

#include <glib.h>
#include <string.h>

#include "shard.pb-c.h"

#define INSTANCE_MAX 65535u
#define EPOCH_MAX (UINT64_MAX >> 1)

static bool set_invalid_ (struct ColtError *error, const char *what);
static bool is_instance_ (uint32_t number);
static bool unpack_epochs_ (ColtShardPackedEpoch *const *packed,
                            size_t count,
                            const struct ColtShardEpoch **epochs,
                            size_t *epoch_count);
static bool unpack_servers_ (ColtShardPackedServer *const *packed,
                             size_t count,
                             const struct ColtShardServer **servers,
                             size_t *server_count);
static bool unpack_numbers_ (const uint32_t *packed,
                             size_t count,
                             const uint32_t **numbers,
                             size_t *number_count);
static bool unpack_tasks_ (const ColtShardPackedOpened *packed,
                           struct ColtShardOpened *opened);
static bool unpack_task_ (const ColtShardPackedTask *packed,
                          struct ColtShardTask *task);
static bool unpack_teams_ (const ColtShardPackedOpened *packed,
                           struct ColtShardOpened *opened);
static bool unpack_team_ (const ColtShardPackedTeam *packed,
                          struct ColtTeamCount *count);
static bool unpack_name_ (const char *packed, char name[COLT_NAME_SIZE]);
static bool unpack_resources_ (const int64_t *amounts,
                               size_t count,
                               struct ColtResources *resources);
static bool reports_match_servers_ (const struct ColtShardOpened *opened);
static bool epochs_match_leader_ (const struct ColtShardOpen *open);

bool
colt_shard_open_unpack (const uint8_t *body,
                        size_t size,
                        struct ColtShardOpen *open,
                        struct ColtError *error)
{
  ColtShardPackedOpen *packed
      = colt_shard_packed_open__unpack (NULL, size, body);
  bool is_valid;

  memset (open, 0, sizeof *open);
  if (packed == NULL)
    return set_invalid_ (error, "open message does not parse");
  open->leader = packed->lead;
  open->incarnation = packed->incarnation;
  open->round = packed->round;
  is_valid = is_instance_ (packed->lead)
             && unpack_epochs_ (packed->epochs, packed->n_epochs, &open->epochs,
                                &open->epoch_count)
             && epochs_match_leader_ (open);
  colt_shard_packed_open__free_unpacked (packed, NULL);
  if (is_valid)
    return true;
  colt_shard_open_clear (open);
  return set_invalid_ (error, "open message has a value out of range");
}

void
colt_shard_open_clear (struct ColtShardOpen *open)
{
  g_free ((void *)open->epochs);
  memset (open, 0, sizeof *open);
}

bool
colt_shard_opened_unpack (const uint8_t *body,
                          size_t size,
                          struct ColtShardOpened *opened,
                          struct ColtError *error)
{
  ColtShardPackedOpened *packed
      = colt_shard_packed_opened__unpack (NULL, size, body);
  bool is_valid;

  memset (opened, 0, sizeof *opened);
  if (packed == NULL)
    return set_invalid_ (error, "answer to an open message does not parse");
  opened->owner = packed->owner;
  opened->incarnation = packed->incarnation;
  opened->round = packed->round;
  opened->version = packed->version;
  opened->stamp = packed->stamp;
  is_valid = is_instance_ (packed->owner)
             && unpack_epochs_ (packed->epochs, packed->n_epochs,
                                &opened->epochs, &opened->epoch_count)
             && unpack_servers_ (packed->servers, packed->n_servers,
                                 &opened->servers, &opened->server_count)
             && unpack_numbers_ (packed->known, packed->n_known, &opened->known,
                                 &opened->known_count)
             && unpack_tasks_ (packed, opened) && unpack_teams_ (packed, opened)
             && reports_match_servers_ (opened);
  colt_shard_packed_opened__free_unpacked (packed, NULL);
  if (is_valid)
    return true;
  colt_shard_opened_clear (opened);
  return set_invalid_ (error,
                       "answer to an open message has a value out of range");
}

void
colt_shard_opened_clear (struct ColtShardOpened *opened)
{
  g_free ((void *)opened->epochs);
  g_free ((void *)opened->servers);
  g_free ((void *)opened->known);
  g_free ((void *)opened->tasks);
  g_free ((void *)opened->teams);
  memset (opened, 0, sizeof *opened);
}

bool
colt_shard_confirm_unpack (const uint8_t *body,
                           size_t size,
                           struct ColtShardConfirm *confirm,
                           struct ColtError *error)
{
  ColtShardPackedConfirm *packed
      = colt_shard_packed_confirm__unpack (NULL, size, body);
  bool is_valid;

  memset (confirm, 0, sizeof *confirm);
  if (packed == NULL)
    return set_invalid_ (error, "confirm message does not parse");
  confirm->leader = packed->lead;
  confirm->incarnation = packed->incarnation;
  confirm->round = packed->round;
  confirm->owner_incarnation = packed->owner_incarnation;
  confirm->version = packed->version;
  confirm->echo = packed->echo;
  confirm->shards = packed->shards;
  confirm->view_hash = packed->view_hash;
  is_valid = is_instance_ (packed->lead)
             && unpack_numbers_ (packed->view, packed->n_view, &confirm->view,
                                 &confirm->view_count);
  colt_shard_packed_confirm__free_unpacked (packed, NULL);
  if (is_valid)
    return true;
  colt_shard_confirm_clear (confirm);
  return set_invalid_ (error, "confirm message has a value out of range");
}

void
colt_shard_confirm_clear (struct ColtShardConfirm *confirm)
{
  g_free ((void *)confirm->view);
  memset (confirm, 0, sizeof *confirm);
}

bool
colt_shard_confirmed_unpack (const uint8_t *body,
                             size_t size,
                             struct ColtShardConfirmed *confirmed,
                             struct ColtError *error)
{
  ColtShardPackedConfirmed *packed
      = colt_shard_packed_confirmed__unpack (NULL, size, body);
  bool is_valid;

  memset (confirmed, 0, sizeof *confirmed);
  if (packed == NULL)
    return set_invalid_ (error, "answer to a confirm message does not parse");
  confirmed->owner = packed->owner;
  confirmed->incarnation = packed->incarnation;
  confirmed->round = packed->round;
  confirmed->version = packed->version;
  confirmed->stamp = packed->stamp;
  confirmed->unchanged = packed->unchanged;
  confirmed->want_view = packed->want_view;
  is_valid = is_instance_ (packed->owner)
             && unpack_servers_ (packed->servers, packed->n_servers,
                                 &confirmed->servers, &confirmed->server_count)
             && unpack_epochs_ (packed->epochs, packed->n_epochs,
                                &confirmed->epochs, &confirmed->epoch_count);
  colt_shard_packed_confirmed__free_unpacked (packed, NULL);
  if (is_valid)
    return true;
  colt_shard_confirmed_clear (confirmed);
  return set_invalid_ (error,
                       "answer to a confirm message has a value out of range");
}

void
colt_shard_confirmed_clear (struct ColtShardConfirmed *confirmed)
{
  g_free ((void *)confirmed->servers);
  g_free ((void *)confirmed->epochs);
  memset (confirmed, 0, sizeof *confirmed);
}

static bool
set_invalid_ (struct ColtError *error, const char *what)
{
  return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                         "%s", what);
}

static bool
is_instance_ (uint32_t number)
{
  return number >= 1 && number <= INSTANCE_MAX;
}

static bool
unpack_epochs_ (ColtShardPackedEpoch *const *packed,
                size_t count,
                const struct ColtShardEpoch **epochs,
                size_t *epoch_count)
{
  struct ColtShardEpoch *list;
  uint64_t seen = 0;
  size_t i;

  if (count > COLT_SHARD_COUNT)
    return false;
  list = g_new0 (struct ColtShardEpoch, count);
  *epochs = list;
  *epoch_count = count;
  for (i = 0; i < count; i++)
    {
      uint32_t shard = packed[i]->shard;

      if (shard >= COLT_SHARD_COUNT || (seen >> shard & 1) != 0
          || packed[i]->epoch == 0 || packed[i]->epoch > EPOCH_MAX)
        return false;
      seen |= UINT64_C (1) << shard;
      list[i].shard = shard;
      list[i].epoch = packed[i]->epoch;
    }
  return true;
}

static bool
unpack_servers_ (ColtShardPackedServer *const *packed,
                 size_t count,
                 const struct ColtShardServer **servers,
                 size_t *server_count)
{
  struct ColtShardServer *list;
  GHashTable *seen;
  bool is_valid = true;
  size_t i;

  if (count > COLT_SHARD_SERVERS_MAX)
    return false;
  list = g_new0 (struct ColtShardServer, count);
  *servers = list;
  *server_count = count;
  seen = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (i = 0; i < count; i++)
    {
      list[i].server = packed[i]->server;
      list[i].epoch = packed[i]->epoch;
      list[i].shards = packed[i]->shards;
      is_valid = is_valid && list[i].server != 0 && list[i].epoch != 0
                 && g_hash_table_add (seen, GUINT_TO_POINTER (list[i].server));
    }
  g_hash_table_unref (seen);
  return is_valid;
}

static bool
unpack_numbers_ (const uint32_t *packed,
                 size_t count,
                 const uint32_t **numbers,
                 size_t *number_count)
{
  uint32_t *list;
  size_t i;

  if (count > COLT_SHARD_SERVERS_MAX)
    return false;
  list = g_new0 (uint32_t, count);
  *numbers = list;
  *number_count = count;
  for (i = 0; i < count; i++)
    {
      if (packed[i] == 0)
        return false;
      list[i] = packed[i];
    }
  return true;
}

static bool
unpack_tasks_ (const ColtShardPackedOpened *packed,
               struct ColtShardOpened *opened)
{
  struct ColtShardTask *list;
  size_t i;

  if (packed->n_tasks > COLT_SHARD_REPORTS_MAX)
    return false;
  list = g_new0 (struct ColtShardTask, packed->n_tasks);
  opened->tasks = list;
  opened->task_count = packed->n_tasks;
  for (i = 0; i < packed->n_tasks; i++)
    if (!unpack_task_ (packed->tasks[i], &list[i]))
      return false;
  return true;
}

static bool
unpack_task_ (const ColtShardPackedTask *packed, struct ColtShardTask *task)
{
  struct ColtTaskReport *report = &task->report;

  if (packed->request.len != COLT_ID_SIZE
      || packed->index >= COLT_TASKS_PER_REQUEST_MAX || packed->attempt == 0
      || packed->shard >= COLT_SHARD_COUNT
      || packed->kind >= COLT_WORK_KIND_COUNT
      || packed->state > COLT_TASK_STOPPED || packed->run_ms < 0)
    return false;
  task->server = packed->server;
  memcpy (report->ref.request.bytes, packed->request.data, COLT_ID_SIZE);
  report->ref.index = packed->index;
  report->ref.attempt = packed->attempt;
  report->shard = packed->shard;
  report->shard_epoch = packed->shard_epoch;
  report->kind = (enum ColtWorkKind)packed->kind;
  report->state = (enum ColtTaskState)packed->state;
  report->run_ms = packed->run_ms;
  report->exit_status = packed->exit_status;
  return unpack_name_ (packed->team, report->team)
         && unpack_resources_ (packed->limit, packed->n_limit, &report->limit)
         && unpack_resources_ (packed->usage, packed->n_usage, &report->usage);
}

static bool
unpack_teams_ (const ColtShardPackedOpened *packed,
               struct ColtShardOpened *opened)
{
  struct ColtTeamCount *list;
  size_t i;

  if (packed->n_teams > COLT_SHARD_REPORTS_MAX)
    return false;
  list = g_new0 (struct ColtTeamCount, packed->n_teams);
  opened->teams = list;
  opened->team_count = packed->n_teams;
  for (i = 0; i < packed->n_teams; i++)
    if (!unpack_team_ (packed->teams[i], &list[i]))
      return false;
  return true;
}

static bool
unpack_team_ (const ColtShardPackedTeam *packed, struct ColtTeamCount *count)
{
  if (packed->shard >= COLT_SHARD_COUNT)
    return false;
  count->shard = packed->shard;
  count->server = packed->server;
  count->tasks = packed->tasks;
  count->credits = packed->credits;
  count->offset = packed->offset;
  return unpack_name_ (packed->team, count->team)
         && unpack_resources_ (packed->running, packed->n_running,
                               &count->running)
         && unpack_resources_ (packed->spare, packed->n_spare, &count->spare);
}

static bool
unpack_name_ (const char *packed, char name[COLT_NAME_SIZE])
{
  size_t length = strlen (packed);

  if (length == 0 || length >= COLT_NAME_SIZE)
    return false;
  memcpy (name, packed, length + 1);
  return true;
}

static bool
unpack_resources_ (const int64_t *amounts,
                   size_t count,
                   struct ColtResources *resources)
{
  size_t i;

  if (count != COLT_RESOURCE_COUNT)
    return false;
  for (i = 0; i < count; i++)
    {
      if (amounts[i] < 0)
        return false;
      resources->amount[i] = amounts[i];
    }
  return true;
}

/* Tasks and team counts must be on servers of the owner; team counts may also
 * be on server 0, which stands for the owner itself. */
static bool
reports_match_servers_ (const struct ColtShardOpened *opened)
{
  GHashTable *owned = g_hash_table_new (g_direct_hash, g_direct_equal);
  bool is_valid = true;
  size_t i;

  for (i = 0; i < opened->server_count; i++)
    g_hash_table_add (owned, GUINT_TO_POINTER (opened->servers[i].server));
  for (i = 0; i < opened->task_count; i++)
    is_valid = is_valid
               && g_hash_table_contains (
                   owned, GUINT_TO_POINTER (opened->tasks[i].server));
  for (i = 0; i < opened->team_count; i++)
    is_valid = is_valid
               && (opened->teams[i].server == 0
                   || g_hash_table_contains (
                       owned, GUINT_TO_POINTER (opened->teams[i].server)));
  g_hash_table_unref (owned);
  return is_valid;
}

/* An epoch contains the instance number of the leader that chose it. */
static bool
epochs_match_leader_ (const struct ColtShardOpen *open)
{
  size_t i;

  for (i = 0; i < open->epoch_count; i++)
    if ((open->epochs[i].epoch & INSTANCE_MAX) != open->leader)
      return false;
  return true;
}
