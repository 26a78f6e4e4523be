#include <string.h>

#include "coltsfootstile/clock.h"
#include "leader.h"
#include "times.h"
#include "view.h"

#define SHARDS_PER_OPEN_MAX 16u
#define OPEN_DOUBLINGS_MAX 2u

static void clear_claims_ (struct ColtLeaderPeer *peer);
static void index_claims_ (struct ColtShardLeader *leader,
                           const struct ColtLeaderPeer *peer,
                           int64_t now);
static void update_servers_ (struct ColtShardLeader *leader, int64_t now);
static void send_open_ (struct ColtShardLeader *leader,
                        struct ColtLeaderPeer *peer,
                        int64_t now);
static uint64_t find_granted_shards_ (const struct ColtShardLeader *leader,
                                      const struct ColtLeaderPeer *peer);
static bool confirm_is_due_ (const struct ColtShardLeader *leader,
                             const struct ColtLeaderPeer *peer,
                             uint64_t urgent_round,
                             int64_t now);
static void send_confirm_ (struct ColtShardLeader *leader,
                           struct ColtLeaderPeer *peer,
                           GArray *view,
                           int64_t now);
static GArray *build_view_ (const struct ColtShardLeader *leader, int64_t now);
static int64_t retry_time_ (const struct ColtShardLeader *leader, int64_t sent);
static int64_t open_retry_time_ (const struct ColtShardLeader *leader,
                                 const struct ColtLeaderPeer *peer);

struct ColtLeaderPeer *
colt_leader_get_peer (struct ColtShardLeader *leader, uint32_t instance)
{
  struct ColtLeaderPeer *peer = colt_leader_find_peer (leader, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct ColtLeaderPeer, 1);
  peer->instance = instance;
  peer->claims
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  peer->last_answered_sent = INT64_MIN / 2;
  peer->last_confirmed_sent = INT64_MIN / 2;
  g_hash_table_insert (leader->peers, GUINT_TO_POINTER (instance), peer);
  return peer;
}

struct ColtLeaderPeer *
colt_leader_find_peer (const struct ColtShardLeader *leader, uint32_t instance)
{
  return g_hash_table_lookup (leader->peers, GUINT_TO_POINTER (instance));
}

void
colt_leader_peer_free (gpointer data)
{
  struct ColtLeaderPeer *peer = data;

  g_hash_table_unref (peer->claims);
  g_free (peer);
}

int64_t
colt_leader_peer_expiry (const struct ColtShardLeader *leader,
                         const struct ColtLeaderPeer *peer)
{
  return peer->last_answered_sent + colt_shard_lease_us (&leader->times);
}

bool
colt_leader_peer_set_claims (struct ColtLeaderPeer *peer,
                             uint64_t incarnation,
                             uint64_t version,
                             int64_t stamp,
                             const struct ColtShardServer *servers,
                             size_t count)
{
  size_t i;

  if (incarnation < peer->incarnation
      || (incarnation == peer->incarnation && version < peer->version))
    return false;
  if (incarnation != peer->incarnation)
    memset (peer->granted, 0, sizeof peer->granted);
  peer->incarnation = incarnation;
  peer->version = version;
  peer->stamp = stamp;
  peer->claims_valid = true;
  g_hash_table_remove_all (peer->claims);
  for (i = 0; i < count; i++)
    g_hash_table_replace (peer->claims, GUINT_TO_POINTER (servers[i].server),
                          g_memdup2 (&servers[i], sizeof servers[i]));
  return true;
}

bool
colt_leader_close_confirm (struct ColtLeaderPeer *peer,
                           uint64_t round,
                           int64_t *sent)
{
  bool found = false;
  uint32_t i;

  for (i = 0; i < COLT_LEADER_CONFIRMS_MAX; i++)
    if (round != 0 && peer->confirms[i].round == round)
      {
        *sent = peer->confirms[i].sent;
        found = true;
      }
  for (i = 0; found && i < COLT_LEADER_CONFIRMS_MAX; i++)
    if (peer->confirms[i].round <= round)
      peer->confirms[i].round = 0;
  if (found && peer->confirm_round <= round)
    peer->confirm_round = 0;
  return found;
}

void
colt_leader_expire_peers (struct ColtShardLeader *leader, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeaderPeer *peer = value;

      if (peer->claims_valid && now >= colt_leader_peer_expiry (leader, peer))
        {
          clear_claims_ (peer);
          leader->is_dirty = true;
        }
      if (!peer->is_member && !peer->claims_valid)
        g_hash_table_iter_remove (&iter);
    }
}

void
colt_leader_update_claimants (struct ColtShardLeader *leader, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((struct ColtZoneServer *)value)->claimant = 0;
      ((struct ColtZoneServer *)value)->epoch = 0;
    }
  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    index_claims_ (leader, value, now);
  update_servers_ (leader, now);
}

struct ColtZoneServer *
colt_leader_get_server (struct ColtShardLeader *leader,
                        uint32_t server,
                        int64_t now)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct ColtZoneServer *zone_server
      = g_hash_table_lookup (leader->servers, key);

  if (zone_server != NULL)
    return zone_server;
  zone_server = g_new0 (struct ColtZoneServer, 1);
  zone_server->server = server;
  zone_server->unclaimed_since = now;
  g_hash_table_insert (leader->servers, key, zone_server);
  return zone_server;
}

/* A peer gets an open message for each shard that it has not granted, and
 * another one if it claims servers on which the shard has no session. */
void
colt_leader_select_opens (struct ColtShardLeader *leader)
{
  GHashTableIter peers;
  GHashTableIter servers;
  gpointer value;
  uint32_t shard;

  g_hash_table_iter_init (&peers, leader->peers);
  while (g_hash_table_iter_next (&peers, NULL, &value))
    {
      struct ColtLeaderPeer *peer = value;

      peer->shards_to_open = 0;
      peer->granted_shards = find_granted_shards_ (leader, peer);
    }
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      const struct ColtLeaderShard *led_shard = &leader->shards[shard];
      uint64_t bit = UINT64_C (1) << shard;

      if (led_shard->state == COLT_SHARD_FOLLOWING)
        continue;
      g_hash_table_iter_init (&peers, leader->peers);
      while (g_hash_table_iter_next (&peers, NULL, &value))
        if (((struct ColtLeaderPeer *)value)->granted[shard]
            != led_shard->epoch)
          ((struct ColtLeaderPeer *)value)->shards_to_open |= bit;
      g_hash_table_iter_init (&servers, leader->servers);
      while (g_hash_table_iter_next (&servers, NULL, &value))
        {
          const struct ColtZoneServer *server = value;
          const struct ColtServerSession *session
              = colt_leader_find_session (led_shard, server->server);

          if (server->claimant != 0
              && (session == NULL || session->status == COLT_SESSION_NONE))
            colt_leader_find_peer (leader, server->claimant)->shards_to_open
                |= bit;
        }
    }
}

void
colt_leader_send_opens (struct ColtShardLeader *leader, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeaderPeer *peer = value;

      if (peer->open_round != 0 && now >= open_retry_time_ (leader, peer))
        {
          peer->open_round = 0;
          peer->open_failures++;
        }
      if (peer->shards_to_open != 0 && peer->open_round == 0)
        send_open_ (leader, peer, now);
    }
}

void
colt_leader_send_confirms (struct ColtShardLeader *leader,
                           uint64_t urgent_round,
                           int64_t now)
{
  GArray *view = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeaderPeer *peer = value;

      if (!confirm_is_due_ (leader, peer, urgent_round, now))
        continue;
      if (view == NULL)
        view = build_view_ (leader, now);
      send_confirm_ (leader, peer, view, now);
    }
  if (view != NULL)
    g_array_unref (view);
}

int64_t
colt_leader_peer_wake_time (const struct ColtShardLeader *leader,
                            const struct ColtLeaderPeer *peer)
{
  int64_t due = COLT_TIME_NEVER;

  if (peer->open_round != 0)
    due = MIN (due, open_retry_time_ (leader, peer));
  if (peer->granted_shards != 0)
    due = MIN (due, peer->confirm_round != 0
                        ? retry_time_ (leader, peer->confirm_sent)
                        : peer->next_confirm);
  if (peer->claims_valid)
    due = MIN (due, colt_leader_peer_expiry (leader, peer));
  return due;
}

static void
clear_claims_ (struct ColtLeaderPeer *peer)
{
  peer->claims_valid = false;
  peer->version = 0;
  g_hash_table_remove_all (peer->claims);
}

static void
index_claims_ (struct ColtShardLeader *leader,
               const struct ColtLeaderPeer *peer,
               int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtShardServer *claim = value;
      struct ColtZoneServer *server
          = colt_leader_get_server (leader, claim->server, now);

      if (claim->epoch <= server->epoch)
        continue;
      server->epoch = claim->epoch;
      server->claimant = peer->instance;
      server->was_claimed = true;
    }
}

/* A server that is no longer listed is removed once no task can run there. */
static void
update_servers_ (struct ColtShardLeader *leader, int64_t now)
{
  int64_t wait = colt_shard_write_off_us (&leader->times);
  GHashTableIter iter;
  gpointer value;

  leader->server_count = 0;
  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtZoneServer *server = value;

      if (server->claimant != 0)
        server->unclaimed_since = COLT_TIME_NEVER;
      else if (server->unclaimed_since == COLT_TIME_NEVER)
        server->unclaimed_since = now;
      if (server->claimant != 0 || server->is_listed)
        leader->server_count++;
      else if (now >= server->unclaimed_since + wait)
        g_hash_table_iter_remove (&iter);
      else
        leader->next_refresh
            = MIN (leader->next_refresh, server->unclaimed_since + wait);
    }
}

static void
send_open_ (struct ColtShardLeader *leader,
            struct ColtLeaderPeer *peer,
            int64_t now)
{
  struct ColtShardEpoch epochs[SHARDS_PER_OPEN_MAX];
  struct ColtShardOpen open
      = { leader->instance, leader->incarnation, 0, epochs, 0 };
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      if ((peer->shards_to_open >> shard & 1) == 0
          || open.epoch_count == SHARDS_PER_OPEN_MAX)
        continue;
      epochs[open.epoch_count].shard = shard;
      epochs[open.epoch_count].epoch = leader->shards[shard].epoch;
      open.epoch_count++;
    }
  open.round = ++leader->last_round;
  peer->open_round = open.round;
  peer->open_sent = now;
  leader->callbacks->send_open (leader->client, peer->instance, &open);
}

/* Returns the shards that a peer has granted in their current epochs. */
static uint64_t
find_granted_shards_ (const struct ColtShardLeader *leader,
                      const struct ColtLeaderPeer *peer)
{
  uint64_t bits = 0;
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (leader->shards[shard].epoch != 0
        && peer->granted[shard] == leader->shards[shard].epoch)
      bits |= UINT64_C (1) << shard;
  return bits;
}

static bool
confirm_is_due_ (const struct ColtShardLeader *leader,
                 const struct ColtLeaderPeer *peer,
                 uint64_t urgent_round,
                 int64_t now)
{
  if (peer->granted_shards == 0)
    return false;
  if (peer->confirm_round != 0
      && now < retry_time_ (leader, peer->confirm_sent))
    return peer->confirm_round < urgent_round;
  return peer->confirm_round != 0 || peer->confirmed_round < urgent_round
         || peer->needs_view || now >= peer->next_confirm;
}

static void
send_confirm_ (struct ColtShardLeader *leader,
               struct ColtLeaderPeer *peer,
               GArray *view,
               int64_t now)
{
  struct ColtShardConfirm confirm = { 0 };
  uint32_t shard;

  confirm.leader = leader->instance;
  confirm.incarnation = leader->incarnation;
  confirm.round = ++leader->last_round;
  confirm.owner_incarnation = peer->incarnation;
  confirm.version = peer->version;
  confirm.echo = peer->stamp;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (leader->shards[shard].majority_since != COLT_TIME_NEVER)
      confirm.shards |= UINT64_C (1) << shard;
  confirm.view_hash = colt_shard_view_hash (view);
  if (peer->needs_view)
    {
      confirm.view = (const uint32_t *)(const void *)view->data;
      confirm.view_count = view->len;
    }
  peer->confirms[peer->next_slot].round = confirm.round;
  peer->confirms[peer->next_slot].sent = now;
  peer->next_slot = (peer->next_slot + 1) % COLT_LEADER_CONFIRMS_MAX;
  peer->confirm_round = confirm.round;
  peer->confirm_sent = now;
  peer->next_confirm = now + leader->times.confirm_interval_ms * COLT_US_PER_MS;
  peer->needs_view = false;
  leader->callbacks->send_confirm (leader->client, peer->instance, &confirm);
}

/* Returns the servers to which this leader may have sent work. */
static GArray *
build_view_ (const struct ColtShardLeader *leader, int64_t now)
{
  GArray *view = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtZoneServer *server = value;

      if (!server->was_claimed)
        continue;
      if (server->claimant != 0
          || now < server->unclaimed_since
                       + colt_shard_write_off_us (&leader->times))
        g_array_append_val (view, server->server);
    }
  colt_shard_view_sort (view);
  return view;
}

static int64_t
retry_time_ (const struct ColtShardLeader *leader, int64_t sent)
{
  return sent + leader->times.retry_ms * COLT_US_PER_MS;
}

/* The time allowed for an answer doubles with each consecutive open message
 * that got none, so that an owner with many reports can complete its answer. */
static int64_t
open_retry_time_ (const struct ColtShardLeader *leader,
                  const struct ColtLeaderPeer *peer)
{
  uint32_t doublings = MIN (peer->open_failures, OPEN_DOUBLINGS_MAX);

  return peer->open_sent
         + ((leader->times.retry_ms * COLT_US_PER_MS) << doublings);
}
