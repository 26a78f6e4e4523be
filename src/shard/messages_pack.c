#include "coltsfootstile/shard_messages.h"

#include <glib.h>
#include <stdlib.h>

#include "shard.pb-c.h"

static void **alloc_list_ (size_t count, size_t item_size);
static ColtShardPackedEpoch **pack_epochs_ (const struct ColtShardEpoch *epochs,
                                            size_t count);
static ColtShardPackedServer **
pack_servers_ (const struct ColtShardServer *servers, size_t count);
static ColtShardPackedTask **pack_tasks_ (const struct ColtShardTask *tasks,
                                          size_t count);
static void pack_task_ (const struct ColtShardTask *task,
                        ColtShardPackedTask *packed);
static ColtShardPackedTeam **pack_teams_ (const struct ColtTeamCount *teams,
                                          size_t count);
static void pack_resources_ (const struct ColtResources *resources,
                             size_t *count,
                             int64_t **amounts);
static uint8_t *pack_ (const ProtobufCMessage *message, size_t *size);

uint8_t *
colt_shard_open_pack (const struct ColtShardOpen *open, size_t *size)
{
  ColtShardPackedOpen packed = COLT_SHARD_PACKED_OPEN__INIT;
  uint8_t *body;

  packed.lead = open->leader;
  packed.incarnation = open->incarnation;
  packed.round = open->round;
  packed.n_epochs = open->epoch_count;
  packed.epochs = pack_epochs_ (open->epochs, open->epoch_count);
  body = pack_ (&packed.base, size);
  g_free (packed.epochs);
  return body;
}

uint8_t *
colt_shard_opened_pack (const struct ColtShardOpened *opened, size_t *size)
{
  ColtShardPackedOpened packed = COLT_SHARD_PACKED_OPENED__INIT;
  uint8_t *body;

  packed.owner = opened->owner;
  packed.incarnation = opened->incarnation;
  packed.round = opened->round;
  packed.version = opened->version;
  packed.stamp = opened->stamp;
  packed.n_epochs = opened->epoch_count;
  packed.epochs = pack_epochs_ (opened->epochs, opened->epoch_count);
  packed.n_servers = opened->server_count;
  packed.servers = pack_servers_ (opened->servers, opened->server_count);
  packed.n_known = opened->known_count;
  packed.known = (uint32_t *)opened->known;
  packed.n_tasks = opened->task_count;
  packed.tasks = pack_tasks_ (opened->tasks, opened->task_count);
  packed.n_teams = opened->team_count;
  packed.teams = pack_teams_ (opened->teams, opened->team_count);
  body = pack_ (&packed.base, size);
  g_free (packed.epochs);
  g_free (packed.servers);
  g_free (packed.tasks);
  g_free (packed.teams);
  return body;
}

uint8_t *
colt_shard_confirm_pack (const struct ColtShardConfirm *confirm, size_t *size)
{
  ColtShardPackedConfirm packed = COLT_SHARD_PACKED_CONFIRM__INIT;

  packed.lead = confirm->leader;
  packed.incarnation = confirm->incarnation;
  packed.round = confirm->round;
  packed.owner_incarnation = confirm->owner_incarnation;
  packed.version = confirm->version;
  packed.echo = confirm->echo;
  packed.shards = confirm->shards;
  packed.view_hash = confirm->view_hash;
  packed.n_view = confirm->view_count;
  packed.view = (uint32_t *)confirm->view;
  return pack_ (&packed.base, size);
}

uint8_t *
colt_shard_confirmed_pack (const struct ColtShardConfirmed *confirmed,
                           size_t *size)
{
  ColtShardPackedConfirmed packed = COLT_SHARD_PACKED_CONFIRMED__INIT;
  uint8_t *body;

  packed.owner = confirmed->owner;
  packed.incarnation = confirmed->incarnation;
  packed.round = confirmed->round;
  packed.version = confirmed->version;
  packed.stamp = confirmed->stamp;
  packed.unchanged = confirmed->unchanged;
  packed.want_view = confirmed->want_view;
  packed.n_servers = confirmed->server_count;
  packed.servers = pack_servers_ (confirmed->servers, confirmed->server_count);
  packed.n_epochs = confirmed->epoch_count;
  packed.epochs = pack_epochs_ (confirmed->epochs, confirmed->epoch_count);
  body = pack_ (&packed.base, size);
  g_free (packed.servers);
  g_free (packed.epochs);
  return body;
}

/* Allocates one block: a pointer to each item, followed by the items. */
static void **
alloc_list_ (size_t count, size_t item_size)
{
  void **list;
  char *items;
  size_t i;

  if (count == 0)
    return NULL;
  list = g_malloc0 (count * (sizeof (void *) + item_size));
  items = (char *)(list + count);
  for (i = 0; i < count; i++)
    list[i] = items + i * item_size;
  return list;
}

static ColtShardPackedEpoch **
pack_epochs_ (const struct ColtShardEpoch *epochs, size_t count)
{
  void **list = alloc_list_ (count, sizeof (ColtShardPackedEpoch));
  size_t i;

  for (i = 0; i < count; i++)
    {
      ColtShardPackedEpoch *packed = list[i];

      colt_shard_packed_epoch__init (packed);
      packed->shard = epochs[i].shard;
      packed->epoch = epochs[i].epoch;
    }
  return (ColtShardPackedEpoch **)list;
}

static ColtShardPackedServer **
pack_servers_ (const struct ColtShardServer *servers, size_t count)
{
  void **list = alloc_list_ (count, sizeof (ColtShardPackedServer));
  size_t i;

  for (i = 0; i < count; i++)
    {
      ColtShardPackedServer *packed = list[i];

      colt_shard_packed_server__init (packed);
      packed->server = servers[i].server;
      packed->epoch = servers[i].epoch;
      packed->shards = servers[i].shards;
    }
  return (ColtShardPackedServer **)list;
}

static ColtShardPackedTask **
pack_tasks_ (const struct ColtShardTask *tasks, size_t count)
{
  void **list = alloc_list_ (count, sizeof (ColtShardPackedTask));
  size_t i;

  for (i = 0; i < count; i++)
    pack_task_ (&tasks[i], list[i]);
  return (ColtShardPackedTask **)list;
}

static void
pack_task_ (const struct ColtShardTask *task, ColtShardPackedTask *packed)
{
  const struct ColtTaskReport *report = &task->report;

  colt_shard_packed_task__init (packed);
  packed->server = task->server;
  packed->request.data = (uint8_t *)report->ref.request.bytes;
  packed->request.len = COLT_ID_SIZE;
  packed->index = report->ref.index;
  packed->attempt = report->ref.attempt;
  packed->shard = report->shard;
  packed->shard_epoch = report->shard_epoch;
  packed->team = (char *)report->team;
  packed->kind = report->kind;
  packed->state = report->state;
  pack_resources_ (&report->limit, &packed->n_limit, &packed->limit);
  pack_resources_ (&report->usage, &packed->n_usage, &packed->usage);
  packed->run_ms = report->run_ms;
  packed->exit_status = report->exit_status;
}

static ColtShardPackedTeam **
pack_teams_ (const struct ColtTeamCount *teams, size_t count)
{
  void **list = alloc_list_ (count, sizeof (ColtShardPackedTeam));
  size_t i;

  for (i = 0; i < count; i++)
    {
      ColtShardPackedTeam *packed = list[i];

      colt_shard_packed_team__init (packed);
      packed->shard = teams[i].shard;
      packed->server = teams[i].server;
      packed->team = (char *)teams[i].team;
      packed->tasks = teams[i].tasks;
      pack_resources_ (&teams[i].running, &packed->n_running, &packed->running);
      packed->credits = teams[i].credits;
      pack_resources_ (&teams[i].spare, &packed->n_spare, &packed->spare);
      packed->offset = teams[i].offset;
    }
  return (ColtShardPackedTeam **)list;
}

static void
pack_resources_ (const struct ColtResources *resources,
                 size_t *count,
                 int64_t **amounts)
{
  *count = COLT_RESOURCE_COUNT;
  *amounts = (int64_t *)resources->amount;
}

static uint8_t *
pack_ (const ProtobufCMessage *message, size_t *size)
{
  uint8_t *body;

  *size = protobuf_c_message_get_packed_size (message);
  body = malloc (*size + 1);
  if (body == NULL)
    abort ();
  protobuf_c_message_pack (message, body);
  return body;
}
