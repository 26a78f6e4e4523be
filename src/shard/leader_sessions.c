#include "coltsfootstile/clock.h"
#include "leader.h"
#include "times.h"

/* Sessions on one peer that count for a majority until its answer expires. */
struct ColtPeerVotes
{
  int64_t expiry;
  size_t count;
};

static void clear_votes_ (struct ColtShardLeader *leader,
                          struct ColtLeaderShard *shard);
static bool session_is_open_ (const struct ColtShardLeader *leader,
                              const struct ColtLeaderShard *shard,
                              const struct ColtZoneServer *server,
                              const struct ColtServerSession *session);
static void refresh_session_ (struct ColtShardLeader *leader,
                              struct ColtLeaderShard *shard,
                              const struct ColtZoneServer *server);
static void check_write_off_ (struct ColtShardLeader *leader,
                              struct ColtLeaderShard *shard,
                              const struct ColtZoneServer *server,
                              struct ColtServerSession *session,
                              int64_t now);
static int64_t find_unreachable_since_ (const struct ColtLeaderShard *shard,
                                        const struct ColtZoneServer *server);
static int64_t find_majority_until_ (const struct ColtShardLeader *leader,
                                     const struct ColtLeaderShard *shard,
                                     int64_t now);
static size_t count_confirmed_ (const struct ColtShardLeader *leader,
                                const struct ColtLeaderShard *shard,
                                uint64_t round);
static gint compare_expiry_ (gconstpointer a, gconstpointer b);

struct ColtServerSession *
colt_leader_get_session (struct ColtLeaderShard *shard, uint32_t server)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct ColtServerSession *session
      = g_hash_table_lookup (shard->sessions, key);

  if (session != NULL)
    return session;
  session = g_new0 (struct ColtServerSession, 1);
  g_hash_table_insert (shard->sessions, key, session);
  return session;
}

const struct ColtServerSession *
colt_leader_find_session (const struct ColtLeaderShard *shard, uint32_t server)
{
  return g_hash_table_lookup (shard->sessions, GUINT_TO_POINTER (server));
}

void
colt_leader_refresh_sessions (struct ColtShardLeader *leader,
                              struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  clear_votes_ (leader, shard);
  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    refresh_session_ (leader, shard, value);
  g_hash_table_iter_init (&iter, shard->sessions);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (leader->servers, key))
      g_hash_table_iter_remove (&iter);
}

bool
colt_leader_update_majority (struct ColtShardLeader *leader,
                             struct ColtLeaderShard *shard,
                             int64_t now)
{
  bool had_majority = shard->majority_since != COLT_TIME_NEVER;

  shard->majority_until = find_majority_until_ (leader, shard, now);
  if (shard->majority_until <= now)
    shard->majority_since = COLT_TIME_NEVER;
  else if (!had_majority)
    shard->majority_since = now;
  return had_majority != (shard->majority_since != COLT_TIME_NEVER);
}

void
colt_leader_write_off_servers (struct ColtShardLeader *leader,
                               struct ColtLeaderShard *shard,
                               int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  shard->missing = 0;
  shard->skippable = 0;
  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtZoneServer *server = value;
      struct ColtServerSession *session
          = colt_leader_get_session (shard, server->server);

      if (session->status == COLT_SESSION_NONE)
        check_write_off_ (leader, shard, server, session, now);
    }
}

size_t
colt_leader_count_unknown (const struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, shard->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtServerSession *session = value;

      if (!session->was_joined && session->status != COLT_SESSION_WRITTEN_OFF)
        count++;
    }
  return count;
}

bool
colt_leader_is_checked (const struct ColtShardLeader *leader,
                        const struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeaderPeer *peer = value;

      if (peer->votes[shard->shard] > 0
          && peer->confirmed_round < shard->check_round)
        return false;
    }
  return true;
}

void
colt_leader_join_sessions (struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtServerSession *session = value;

      if (session->status != COLT_SESSION_GRANTED)
        continue;
      session->status = COLT_SESSION_JOINED;
      session->was_joined = true;
    }
}

uint64_t
colt_leader_join_late_sessions (struct ColtShardLeader *leader,
                                struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t awaited_round = 0;

  if (shard->pending == 0)
    return 0;
  g_hash_table_iter_init (&iter, shard->sessions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtServerSession *session = value;
      struct ColtLeaderPeer *peer;

      if (session->status != COLT_SESSION_GRANTED)
        continue;
      peer = colt_leader_find_peer (leader, session->owner);
      if (peer->confirmed_round < session->min_round
          || count_confirmed_ (leader, shard, session->min_round)
                 < leader->server_count / 2 + 1)
        {
          awaited_round = MAX (awaited_round, session->min_round);
          continue;
        }
      session->status = COLT_SESSION_JOINED;
      session->was_joined = true;
      shard->pending--;
      peer->votes[shard->shard]++;
      leader->callbacks->server_joined (leader->client, shard->shard,
                                        GPOINTER_TO_UINT (key), session->owner,
                                        session->server_epoch);
    }
  return awaited_round;
}

static void
clear_votes_ (struct ColtShardLeader *leader, struct ColtLeaderShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  shard->pending = 0;
  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtLeaderPeer *)value)->votes[shard->shard] = 0;
}

static bool
session_is_open_ (const struct ColtShardLeader *leader,
                  const struct ColtLeaderShard *shard,
                  const struct ColtZoneServer *server,
                  const struct ColtServerSession *session)
{
  const struct ColtLeaderPeer *peer;
  const struct ColtShardServer *claim;

  if (server->claimant == 0 || server->claimant != session->owner
      || server->epoch != session->server_epoch)
    return false;
  peer = colt_leader_find_peer (leader, server->claimant);
  claim = g_hash_table_lookup (peer->claims, GUINT_TO_POINTER (server->server));
  return peer->granted[shard->shard] == shard->epoch
         && (claim->shards >> shard->shard & 1) != 0;
}

static void
refresh_session_ (struct ColtShardLeader *leader,
                  struct ColtLeaderShard *shard,
                  const struct ColtZoneServer *server)
{
  struct ColtServerSession *session
      = colt_leader_get_session (shard, server->server);
  bool is_active = shard->state == COLT_SHARD_ACTIVE;
  bool was_joined = session->status == COLT_SESSION_JOINED;

  if (session->status == COLT_SESSION_WRITTEN_OFF && server->claimant != 0)
    session->status = COLT_SESSION_NONE;
  if (!was_joined && session->status != COLT_SESSION_GRANTED)
    return;
  if (!session_is_open_ (leader, shard, server, session))
    {
      session->status = COLT_SESSION_NONE;
      if (is_active && was_joined)
        leader->callbacks->server_left (leader->client, shard->shard,
                                        server->server);
    }
  else if (is_active && !was_joined)
    shard->pending++;
  else
    colt_leader_find_peer (leader, session->owner)->votes[shard->shard]++;
}

static void
check_write_off_ (struct ColtShardLeader *leader,
                  struct ColtLeaderShard *shard,
                  const struct ColtZoneServer *server,
                  struct ColtServerSession *session,
                  int64_t now)
{
  int64_t since = find_unreachable_since_ (shard, server);
  int64_t skippable_at = COLT_TIME_NEVER;
  int64_t write_off_at = COLT_TIME_NEVER;

  if (since != COLT_TIME_NEVER)
    {
      write_off_at = since + colt_shard_write_off_us (&leader->times);
      skippable_at = write_off_at;
    }
  if (since != COLT_TIME_NEVER && leader->times.partial_ms > 0)
    skippable_at = since + colt_shard_partial_us (&leader->times);
  if (now >= write_off_at)
    {
      session->status = COLT_SESSION_WRITTEN_OFF;
      if (shard->state == COLT_SHARD_ACTIVE)
        leader->callbacks->server_written_off (leader->client, shard->shard,
                                               server->server);
      return;
    }
  shard->missing++;
  if (now >= skippable_at)
    shard->skippable++;
  else
    leader->next_refresh = MIN (leader->next_refresh, skippable_at);
  leader->next_refresh = MIN (leader->next_refresh, write_off_at);
}

/* Returns the time since which a server has had no owner while the leader had a
 * majority, COLT_TIME_NEVER if there is an owner or no majority. */
static int64_t
find_unreachable_since_ (const struct ColtLeaderShard *shard,
                         const struct ColtZoneServer *server)
{
  if (server->claimant != 0 || shard->majority_since == COLT_TIME_NEVER)
    return COLT_TIME_NEVER;
  return MAX (server->unclaimed_since, shard->majority_since);
}

/* Adds up the votes in descending order of expiry. The majority lasts until the
 * expiry of the votes that complete it. Returns \a now without a majority. */
static int64_t
find_majority_until_ (const struct ColtShardLeader *leader,
                      const struct ColtLeaderShard *shard,
                      int64_t now)
{
  GArray *all_votes = g_array_new (FALSE, TRUE, sizeof (struct ColtPeerVotes));
  size_t needed_votes = leader->server_count / 2 + 1;
  int64_t until = now;
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeaderPeer *peer = value;
      struct ColtPeerVotes votes = { colt_leader_peer_expiry (leader, peer),
                                     peer->votes[shard->shard] };

      if (votes.count > 0)
        g_array_append_val (all_votes, votes);
    }
  g_array_sort (all_votes, compare_expiry_);
  for (i = 0; i < all_votes->len; i++)
    {
      const struct ColtPeerVotes *votes
          = &g_array_index (all_votes, struct ColtPeerVotes, i);

      if (votes->count >= needed_votes)
        {
          until = votes->expiry;
          break;
        }
      needed_votes -= votes->count;
    }
  g_array_unref (all_votes);
  return until;
}

static size_t
count_confirmed_ (const struct ColtShardLeader *leader,
                  const struct ColtLeaderShard *shard,
                  uint64_t round)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeaderPeer *peer = value;

      if (peer->confirmed_round >= round)
        count += peer->votes[shard->shard];
    }
  return count;
}

/* Sorts by descending expiry. */
static gint
compare_expiry_ (gconstpointer a, gconstpointer b)
{
  int64_t first = ((const struct ColtPeerVotes *)a)->expiry;
  int64_t second = ((const struct ColtPeerVotes *)b)->expiry;

  return first > second ? -1 : first < second;
}
