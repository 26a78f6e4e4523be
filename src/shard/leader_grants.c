#include "leader.h"

/* Reports of one shard on one server within an answer. */
struct ColtReportGroup
{
  uint64_t key; /* shard << 32 | server */
  GPtrArray *tasks;
  GPtrArray *teams;
};

static void apply_grant_ (struct ColtShardLeader *leader,
                          struct ColtLeaderPeer *peer,
                          struct ColtLeaderShard *shard,
                          const struct ColtShardOpened *opened,
                          GHashTable *groups);
static GHashTable *group_reports_ (const struct ColtShardOpened *opened);
static struct ColtReportGroup *
get_group_ (GHashTable *groups, uint32_t shard, uint32_t server);
static void free_group_ (gpointer data);
static void report_server_ (struct ColtShardLeader *leader,
                            uint32_t shard,
                            uint32_t owner,
                            const struct ColtShardServer *server,
                            GHashTable *groups);

void
colt_leader_apply_grants (struct ColtShardLeader *leader,
                          struct ColtLeaderPeer *peer,
                          const struct ColtShardOpened *opened)
{
  GHashTable *groups = group_reports_ (opened);
  size_t i;

  for (i = 0; i < opened->epoch_count; i++)
    {
      struct ColtLeaderShard *shard = &leader->shards[opened->epochs[i].shard];

      if (shard->state != COLT_SHARD_FOLLOWING
          && opened->epochs[i].epoch == shard->epoch)
        apply_grant_ (leader, peer, shard, opened, groups);
    }
  g_hash_table_unref (groups);
}

static void
apply_grant_ (struct ColtShardLeader *leader,
              struct ColtLeaderPeer *peer,
              struct ColtLeaderShard *shard,
              const struct ColtShardOpened *opened,
              GHashTable *groups)
{
  const struct ColtShardServer no_server = { 0 };
  size_t i;

  if (peer->granted[shard->shard] != shard->epoch)
    report_server_ (leader, shard->shard, peer->instance, &no_server, groups);
  peer->granted[shard->shard] = shard->epoch;
  for (i = 0; i < opened->server_count; i++)
    {
      const struct ColtShardServer *server = &opened->servers[i];
      struct ColtServerSession *session
          = colt_leader_get_session (shard, server->server);

      if ((server->shards >> shard->shard & 1) == 0)
        continue;
      if ((session->status == COLT_SESSION_GRANTED
           || session->status == COLT_SESSION_JOINED)
          && session->owner == peer->instance
          && session->server_epoch == server->epoch)
        continue;
      session->status = COLT_SESSION_GRANTED;
      session->owner = peer->instance;
      session->server_epoch = server->epoch;
      session->min_round = leader->last_round + 1;
      report_server_ (leader, shard->shard, peer->instance, server, groups);
    }
}

static GHashTable *
group_reports_ (const struct ColtShardOpened *opened)
{
  GHashTable *groups
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_group_);
  size_t i;

  for (i = 0; i < opened->task_count; i++)
    {
      const struct ColtShardTask *task = &opened->tasks[i];

      g_ptr_array_add (
          get_group_ (groups, task->report.shard, task->server)->tasks,
          (gpointer)&task->report);
    }
  for (i = 0; i < opened->team_count; i++)
    {
      const struct ColtTeamCount *team = &opened->teams[i];

      g_ptr_array_add (get_group_ (groups, team->shard, team->server)->teams,
                       (gpointer)team);
    }
  return groups;
}

static struct ColtReportGroup *
get_group_ (GHashTable *groups, uint32_t shard, uint32_t server)
{
  uint64_t key = (uint64_t)shard << 32 | server;
  struct ColtReportGroup *group = g_hash_table_lookup (groups, &key);

  if (group != NULL)
    return group;
  group = g_new0 (struct ColtReportGroup, 1);
  group->key = key;
  group->tasks = g_ptr_array_new ();
  group->teams = g_ptr_array_new ();
  g_hash_table_insert (groups, &group->key, group);
  return group;
}

static void
free_group_ (gpointer data)
{
  struct ColtReportGroup *group = data;

  g_ptr_array_unref (group->tasks);
  g_ptr_array_unref (group->teams);
  g_free (group);
}

static void
report_server_ (struct ColtShardLeader *leader,
                uint32_t shard,
                uint32_t owner,
                const struct ColtShardServer *server,
                GHashTable *groups)
{
  const struct ColtReportGroup *group
      = get_group_ (groups, shard, server->server);
  struct ColtShardReport report = { 0 };

  report.shard = shard;
  report.server = server->server;
  report.server_epoch = server->epoch;
  report.owner = owner;
  report.tasks = (const struct ColtTaskReport *const *)group->tasks->pdata;
  report.task_count = group->tasks->len;
  report.teams = (const struct ColtTeamCount *const *)group->teams->pdata;
  report.team_count = group->teams->len;
  leader->callbacks->server_reported (leader->client, &report);
}
