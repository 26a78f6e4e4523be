#include <assert.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/rendezvous.h"
#include "leader.h"
#include "times.h"

#define INSTANCE_BITS 16
#define INSTANCE_MAX 65535u
/* Keeps epochs, which contain the incarnation, below 2^63. */
#define INCARNATION_MAX (UINT64_C (1) << 47)
#define BACKOFF_DOUBLINGS_MAX 4u
#define BACKOFF_STEPS 8u

const char *const colt_shard_state_string[]
    = { "following", "opening", "checking", "active" };

const char *const colt_shard_loss_string[]
    = { "refused", "unconfirmed", "choice", "stopped" };

static void advance_ (struct ColtShardLeader *leader, int64_t now);
static void begin_due_reconciliations_ (struct ColtShardLeader *leader,
                                        int64_t now);
static void refresh_sessions_ (struct ColtShardLeader *leader, int64_t now);
static void advance_shard_ (struct ColtShardLeader *leader,
                            struct ColtLeaderShard *shard,
                            int64_t now);
static uint64_t join_checked_sessions_ (struct ColtShardLeader *leader);
static bool is_designated_ (const struct ColtShardLeader *leader,
                            const struct ColtLeaderShard *shard);
static void begin_reconciliation_ (struct ColtShardLeader *leader,
                                   struct ColtLeaderShard *shard,
                                   int64_t now);
static void check_reconciliation_ (struct ColtShardLeader *leader,
                                   struct ColtLeaderShard *shard,
                                   int64_t now);
static bool must_wait_for_members_ (const struct ColtShardLeader *leader,
                                    const struct ColtLeaderShard *shard,
                                    int64_t now);
static void activate_ (struct ColtShardLeader *leader,
                       struct ColtLeaderShard *shard);
static void resign_ (struct ColtShardLeader *leader,
                     struct ColtLeaderShard *shard,
                     enum ColtShardLoss loss,
                     int64_t next_try);
static int64_t backoff_us_ (const struct ColtShardLeader *leader,
                            const struct ColtLeaderShard *shard);
static void apply_promises_ (struct ColtShardLeader *leader,
                             const struct ColtShardEpoch *epochs,
                             size_t count,
                             int64_t now);

struct ColtShardLeader *
colt_shard_leader_create (uint32_t instance,
                          uint64_t incarnation,
                          const struct ColtShardTimes *times,
                          const struct ColtShardLeaderClient *callbacks,
                          void *client)
{
  struct ColtShardLeader *leader = g_new0 (struct ColtShardLeader, 1);
  uint32_t i;

  assert (instance >= 1 && instance <= INSTANCE_MAX);
  assert (incarnation < INCARNATION_MAX);
  leader->instance = instance;
  leader->incarnation = incarnation;
  leader->times = *times;
  leader->callbacks = callbacks;
  leader->client = client;
  leader->peers = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                         colt_leader_peer_free);
  leader->next_refresh = COLT_TIME_NEVER;
  leader->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      leader->shards[i].shard = i;
      leader->shards[i].majority_since = COLT_TIME_NEVER;
      leader->shards[i].sessions
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
    }
  return leader;
}

void
colt_shard_leader_destroy (struct ColtShardLeader *leader)
{
  uint32_t i;

  if (leader == NULL)
    return;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    g_hash_table_unref (leader->shards[i].sessions);
  g_hash_table_unref (leader->peers);
  g_hash_table_unref (leader->servers);
  g_free (leader);
}

void
colt_shard_leader_set_members (struct ColtShardLeader *leader,
                               const uint32_t *members,
                               size_t count,
                               int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtLeaderPeer *)value)->is_member = false;
  for (i = 0; i < count; i++)
    colt_leader_get_peer (leader, members[i])->is_member = true;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    leader->shards[i].designated = colt_rendezvous_choose (
        colt_rendezvous_key (COLT_RENDEZVOUS_SHARD, (uint32_t)i), members,
        count);
  leader->is_dirty = true;
  advance_ (leader, now);
}

void
colt_shard_leader_set_servers (struct ColtShardLeader *leader,
                               const uint32_t *servers,
                               size_t count,
                               int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, leader->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtZoneServer *)value)->is_listed = false;
  for (i = 0; i < count; i++)
    colt_leader_get_server (leader, servers[i], now)->is_listed = true;
  leader->is_dirty = true;
  advance_ (leader, now);
}

void
colt_shard_leader_stop (struct ColtShardLeader *leader)
{
  uint32_t i;

  leader->is_stopped = true;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    if (leader->shards[i].state != COLT_SHARD_FOLLOWING)
      resign_ (leader, &leader->shards[i], COLT_SHARD_LOSS_STOPPED,
               COLT_TIME_NEVER);
}

void
colt_shard_leader_handle_opened (struct ColtShardLeader *leader,
                                 const struct ColtShardOpened *opened,
                                 int64_t now)
{
  struct ColtLeaderPeer *peer = colt_leader_find_peer (leader, opened->owner);
  size_t i;

  if (peer == NULL || peer->open_round == 0
      || peer->open_round != opened->round)
    return;
  peer->open_round = 0;
  peer->open_failures = 0;
  if (!colt_leader_peer_set_claims (peer, opened->incarnation, opened->version,
                                    opened->stamp, opened->servers,
                                    opened->server_count))
    return;
  peer->last_answered_sent = MAX (peer->last_answered_sent, peer->open_sent);
  leader->is_dirty = true;
  for (i = 0; i < opened->known_count; i++)
    colt_leader_get_server (leader, opened->known[i], now);
  colt_leader_expire_peers (leader, now);
  colt_leader_update_claimants (leader, now);
  apply_promises_ (leader, opened->epochs, opened->epoch_count, now);
  peer = colt_leader_find_peer (leader, opened->owner);
  if (peer != NULL && peer->claims_valid)
    colt_leader_apply_grants (leader, peer, opened);
  advance_ (leader, now);
}

void
colt_shard_leader_handle_confirmed (struct ColtShardLeader *leader,
                                    const struct ColtShardConfirmed *confirmed,
                                    int64_t now)
{
  struct ColtLeaderPeer *peer
      = colt_leader_find_peer (leader, confirmed->owner);
  int64_t sent;

  if (peer == NULL
      || !colt_leader_close_confirm (peer, confirmed->round, &sent))
    return;
  if (confirmed->unchanged
      && (!peer->claims_valid || confirmed->version != peer->version
          || confirmed->incarnation != peer->incarnation))
    return;
  if (!confirmed->unchanged
      && !colt_leader_peer_set_claims (
          peer, confirmed->incarnation, confirmed->version, confirmed->stamp,
          confirmed->servers, confirmed->server_count))
    return;
  leader->is_dirty |= !confirmed->unchanged;
  peer->stamp = confirmed->stamp;
  peer->needs_view = confirmed->want_view;
  apply_promises_ (leader, confirmed->epochs, confirmed->epoch_count, now);
  peer->last_answered_sent = MAX (peer->last_answered_sent, sent);
  if (!confirmed->want_view)
    {
      peer->last_confirmed_sent = sent;
      peer->confirmed_round = confirmed->round;
    }
  advance_ (leader, now);
}

void
colt_shard_leader_record_epoch (struct ColtShardLeader *leader,
                                uint32_t shard,
                                uint64_t epoch)
{
  assert (shard < COLT_SHARD_COUNT);
  leader->shards[shard].highest_epoch
      = MAX (leader->shards[shard].highest_epoch, epoch);
}

void
colt_shard_leader_process (struct ColtShardLeader *leader, int64_t now)
{
  advance_ (leader, now);
}

int64_t
colt_shard_leader_wake_time (const struct ColtShardLeader *leader)
{
  int64_t due = leader->next_refresh;
  GHashTableIter iter;
  gpointer value;
  uint32_t i;

  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    due = MIN (due, colt_leader_peer_wake_time (leader, value));
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      const struct ColtLeaderShard *shard = &leader->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING
          && is_designated_ (leader, shard))
        due = MIN (due, shard->next_try);
    }
  return due;
}

bool
colt_shard_leader_is_active (const struct ColtShardLeader *leader,
                             uint32_t shard,
                             int64_t now)
{
  assert (shard < COLT_SHARD_COUNT);
  return leader->shards[shard].state == COLT_SHARD_ACTIVE
         && now < leader->shards[shard].majority_until;
}

bool
colt_shard_leader_may_start (const struct ColtShardLeader *leader,
                             uint32_t shard,
                             uint32_t server,
                             int64_t now,
                             uint32_t *owner,
                             uint64_t *server_epoch)
{
  const struct ColtServerSession *session;
  const struct ColtLeaderPeer *peer;

  if (!colt_shard_leader_is_active (leader, shard, now))
    return false;
  session = colt_leader_find_session (&leader->shards[shard], server);
  if (session == NULL || session->status != COLT_SESSION_JOINED)
    return false;
  peer = colt_leader_find_peer (leader, session->owner);
  if (peer == NULL || now >= colt_leader_peer_expiry (leader, peer))
    return false;
  if (owner != NULL)
    *owner = session->owner;
  if (server_epoch != NULL)
    *server_epoch = session->server_epoch;
  return true;
}

bool
colt_shard_leader_is_exclusive (const struct ColtShardLeader *leader,
                                struct ColtShardOwner *owner,
                                uint32_t shard,
                                int64_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!colt_shard_leader_is_active (leader, shard, now))
    return false;
  g_hash_table_iter_init (&iter, leader->shards[shard].sessions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtServerSession *session = value;

      if (session->status == COLT_SESSION_JOINED
          && session->owner == leader->instance
          && colt_shard_owner_check_start (
                 owner, shard, leader->shards[shard].epoch,
                 GPOINTER_TO_UINT (key), session->server_epoch, now)
                 == COLT_SHARD_CHECK_OK)
        return true;
    }
  return false;
}

bool
colt_shard_leader_was_exclusive (const struct ColtShardLeader *leader,
                                 uint32_t shard,
                                 int64_t since,
                                 int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!colt_shard_leader_is_active (leader, shard, now))
    return false;
  g_hash_table_iter_init (&iter, leader->shards[shard].sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtServerSession *session = value;
      const struct ColtLeaderPeer *peer
          = colt_leader_find_peer (leader, session->owner);

      if (session->status == COLT_SESSION_JOINED && peer != NULL
          && peer->last_confirmed_sent > since)
        return true;
    }
  return false;
}

enum ColtShardState
colt_shard_leader_state (const struct ColtShardLeader *leader, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return leader->shards[shard].state;
}

uint64_t
colt_shard_leader_epoch (const struct ColtShardLeader *leader, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return leader->shards[shard].epoch;
}

uint32_t
colt_shard_leader_designated (const struct ColtShardLeader *leader,
                              uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return leader->shards[shard].designated;
}

size_t
colt_shard_leader_count_missing (const struct ColtShardLeader *leader,
                                 uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return leader->shards[shard].missing;
}

size_t
colt_shard_leader_count_unknown (const struct ColtShardLeader *leader,
                                 uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  if (leader->shards[shard].missing == 0 && leader->shards[shard].pending == 0)
    return 0;
  return colt_leader_count_unknown (&leader->shards[shard]);
}

/* Refreshes sessions only after a change or at a deadline, so that an answer
 * without changes costs no more than a pass over the peers and shards. */
static void
advance_ (struct ColtShardLeader *leader, int64_t now)
{
  uint64_t urgent_round;
  uint32_t i;

  colt_leader_expire_peers (leader, now);
  begin_due_reconciliations_ (leader, now);
  if (leader->is_dirty || now >= leader->next_refresh)
    refresh_sessions_ (leader, now);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    if (leader->shards[i].state != COLT_SHARD_FOLLOWING)
      advance_shard_ (leader, &leader->shards[i], now);
  if (leader->is_dirty)
    refresh_sessions_ (leader, now);
  urgent_round = join_checked_sessions_ (leader);
  colt_leader_send_opens (leader, now);
  colt_leader_send_confirms (leader, urgent_round, now);
}

static void
begin_due_reconciliations_ (struct ColtShardLeader *leader, int64_t now)
{
  uint32_t i;

  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLeaderShard *shard = &leader->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING && is_designated_ (leader, shard)
          && now >= shard->next_try)
        begin_reconciliation_ (leader, shard, now);
    }
}

static void
refresh_sessions_ (struct ColtShardLeader *leader, int64_t now)
{
  uint32_t i;

  leader->is_dirty = false;
  leader->next_refresh = COLT_TIME_NEVER;
  colt_leader_update_claimants (leader, now);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLeaderShard *shard = &leader->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING)
        continue;
      colt_leader_refresh_sessions (leader, shard);
      colt_leader_update_majority (leader, shard, now);
      colt_leader_write_off_servers (leader, shard, now);
      if (now < shard->member_deadline)
        leader->next_refresh
            = MIN (leader->next_refresh, shard->member_deadline);
    }
  colt_leader_select_opens (leader);
}

static void
advance_shard_ (struct ColtShardLeader *leader,
                struct ColtLeaderShard *shard,
                int64_t now)
{
  if (colt_leader_update_majority (leader, shard, now))
    colt_leader_write_off_servers (leader, shard, now);
  if (shard->state != COLT_SHARD_ACTIVE)
    {
      if (is_designated_ (leader, shard))
        check_reconciliation_ (leader, shard, now);
      else
        resign_ (leader, shard, COLT_SHARD_LOSS_REASSIGNED, now);
    }
  else if (shard->majority_since == COLT_TIME_NEVER)
    resign_ (leader, shard, COLT_SHARD_LOSS_UNCONFIRMED, now);
}

/* Returns the latest round that a session still needs confirmed, 0 if there is
 * none. */
static uint64_t
join_checked_sessions_ (struct ColtShardLeader *leader)
{
  uint64_t urgent_round = 0;
  uint32_t i;

  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLeaderShard *shard = &leader->shards[i];

      if (shard->state == COLT_SHARD_CHECKING)
        urgent_round = MAX (urgent_round, shard->check_round);
      else if (shard->state == COLT_SHARD_ACTIVE)
        urgent_round = MAX (urgent_round,
                            colt_leader_join_late_sessions (leader, shard));
    }
  return urgent_round;
}

static bool
is_designated_ (const struct ColtShardLeader *leader,
                const struct ColtLeaderShard *shard)
{
  return !leader->is_stopped && shard->designated == leader->instance;
}

static void
begin_reconciliation_ (struct ColtShardLeader *leader,
                       struct ColtLeaderShard *shard,
                       int64_t now)
{
  uint64_t counter = (shard->highest_epoch >> INSTANCE_BITS) + 1;

  counter = MAX (counter, leader->incarnation);
  shard->epoch = counter << INSTANCE_BITS | leader->instance;
  shard->highest_epoch = shard->epoch;
  shard->state = COLT_SHARD_OPENING;
  shard->member_deadline = now + colt_shard_lease_us (&leader->times);
  shard->majority_since = COLT_TIME_NEVER;
  g_hash_table_remove_all (shard->sessions);
  leader->is_dirty = true;
  leader->callbacks->reconciliation_started (leader->client, shard->shard,
                                             shard->epoch);
}

/* A reconciliation completes when a session is open on every server that is
 * neither written off nor skippable, and each peer has confirmed its sessions
 * again after the last of them was granted, since a server may have changed its
 * owner in between. */
static void
check_reconciliation_ (struct ColtShardLeader *leader,
                       struct ColtLeaderShard *shard,
                       int64_t now)
{
  if (shard->majority_since == COLT_TIME_NEVER
      || shard->missing > shard->skippable
      || must_wait_for_members_ (leader, shard, now))
    {
      shard->state = COLT_SHARD_OPENING;
      return;
    }
  if (shard->state == COLT_SHARD_OPENING)
    {
      shard->state = COLT_SHARD_CHECKING;
      shard->check_round = leader->last_round + 1;
    }
  if (colt_leader_is_checked (leader, shard))
    activate_ (leader, shard);
}

/* A member that owns no server may have promised a higher epoch, or report a
 * server that is unknown here. It may also be dead, so the wait is limited. */
static bool
must_wait_for_members_ (const struct ColtShardLeader *leader,
                        const struct ColtLeaderShard *shard,
                        int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now >= shard->member_deadline)
    return false;
  g_hash_table_iter_init (&iter, leader->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeaderPeer *peer = value;

      if (peer->is_member && peer->granted[shard->shard] != shard->epoch)
        return true;
    }
  return false;
}

static void
activate_ (struct ColtShardLeader *leader, struct ColtLeaderShard *shard)
{
  shard->state = COLT_SHARD_ACTIVE;
  shard->refusals = 0;
  colt_leader_join_sessions (shard);
  leader->callbacks->shard_activated (leader->client, shard->shard,
                                      shard->epoch, shard->missing);
}

static void
resign_ (struct ColtShardLeader *leader,
         struct ColtLeaderShard *shard,
         enum ColtShardLoss loss,
         int64_t next_try)
{
  uint64_t epoch = shard->epoch;

  shard->state = COLT_SHARD_FOLLOWING;
  shard->epoch = 0;
  shard->majority_since = COLT_TIME_NEVER;
  shard->majority_until = 0;
  shard->next_try = next_try;
  shard->missing = 0;
  g_hash_table_remove_all (shard->sessions);
  leader->is_dirty = true;
  leader->callbacks->shard_lost (leader->client, shard->shard, epoch, loss);
}

/* Two instances that both consider themselves designated must not supersede
 * each other's epochs forever: delays double and differ by instance. */
static int64_t
backoff_us_ (const struct ColtShardLeader *leader,
             const struct ColtLeaderShard *shard)
{
  uint32_t doublings = MIN (shard->refusals, BACKOFF_DOUBLINGS_MAX);
  int64_t step = leader->times.retry_ms * COLT_US_PER_MS / BACKOFF_STEPS;

  return step * (1 + leader->instance % BACKOFF_STEPS) << doublings;
}

static void
apply_promises_ (struct ColtShardLeader *leader,
                 const struct ColtShardEpoch *epochs,
                 size_t count,
                 int64_t now)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      struct ColtLeaderShard *shard = &leader->shards[epochs[i].shard];

      shard->highest_epoch = MAX (shard->highest_epoch, epochs[i].epoch);
      if (shard->state == COLT_SHARD_FOLLOWING
          || epochs[i].epoch <= shard->epoch)
        continue;
      resign_ (leader, shard, COLT_SHARD_LOSS_REFUSED,
               now + backoff_us_ (leader, shard));
      shard->refusals++;
    }
}
