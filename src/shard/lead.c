#include <assert.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/rendezvous.h"
#include "lead.h"
#include "times.h"

#define INSTANCE_BITS 16
#define INSTANCE_MAX 65535u
#define INCARNATION_MAX (UINT64_C (1) << 47)
#define BACKOFF_DOUBLINGS_MAX 4u
#define BACKOFF_STEPS 8u

const char *const colt_shard_state_string[]
    = { "following", "opening", "checking", "active" };

const char *const colt_shard_loss_string[]
    = { "refused", "unconfirmed", "choice", "stopped" };

static void advance_ (struct ColtShardLead *lead, int64_t now);
static void begin_wanted_ (struct ColtShardLead *lead, int64_t now);
static void refresh_ (struct ColtShardLead *lead, int64_t now);
static void advance_shard_ (struct ColtShardLead *lead,
                            struct ColtLedShard *shard,
                            int64_t now);
static uint64_t find_urgent_ (struct ColtShardLead *lead);
static bool is_wanted_ (const struct ColtShardLead *lead,
                        const struct ColtLedShard *shard);
static void
begin_ (struct ColtShardLead *lead, struct ColtLedShard *shard, int64_t now);
static void check_recount_ (struct ColtShardLead *lead,
                            struct ColtLedShard *shard,
                            int64_t now);
static bool waits_for_members_ (const struct ColtShardLead *lead,
                                const struct ColtLedShard *shard,
                                int64_t now);
static void activate_ (struct ColtShardLead *lead, struct ColtLedShard *shard);
static void lose_ (struct ColtShardLead *lead,
                   struct ColtLedShard *shard,
                   enum ColtShardLoss loss,
                   int64_t next_try);
static int64_t backoff_ (const struct ColtShardLead *lead,
                         const struct ColtLedShard *shard);
static void take_promises_ (struct ColtShardLead *lead,
                            const struct ColtShardEpoch *epochs,
                            size_t count,
                            int64_t now);

struct ColtShardLead *
colt_shard_lead_create (uint32_t instance,
                        uint64_t incarnation,
                        const struct ColtShardTimes *times,
                        const struct ColtShardLeadClient *table,
                        void *client)
{
  struct ColtShardLead *lead = g_new0 (struct ColtShardLead, 1);
  uint32_t i;

  assert (instance >= 1 && instance <= INSTANCE_MAX);
  assert (incarnation < INCARNATION_MAX);
  lead->instance = instance;
  lead->incarnation = incarnation;
  lead->times = *times;
  lead->table = table;
  lead->client = client;
  lead->peers = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                       colt_lead_peer_free);
  lead->next_refresh = COLT_TIME_NEVER;
  lead->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      lead->shards[i].shard = i;
      lead->shards[i].majority_since = COLT_TIME_NEVER;
      lead->shards[i].seats
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
    }
  return lead;
}

void
colt_shard_lead_destroy (struct ColtShardLead *lead)
{
  uint32_t i;

  if (lead == NULL)
    return;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    g_hash_table_unref (lead->shards[i].seats);
  g_hash_table_unref (lead->peers);
  g_hash_table_unref (lead->servers);
  g_free (lead);
}

void
colt_shard_lead_set_members (struct ColtShardLead *lead,
                             const uint32_t *members,
                             size_t count,
                             int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtLeadPeer *)value)->is_member = false;
  for (i = 0; i < count; i++)
    colt_lead_peer (lead, members[i])->is_member = true;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    lead->shards[i].choice = colt_rendezvous_choose (
        colt_rendezvous_key (COLT_RENDEZVOUS_SHARD, (uint32_t)i), members,
        count);
  lead->is_dirty = true;
  advance_ (lead, now);
}

void
colt_shard_lead_set_servers (struct ColtShardLead *lead,
                             const uint32_t *servers,
                             size_t count,
                             int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtZoneServer *)value)->is_listed = false;
  for (i = 0; i < count; i++)
    colt_lead_server (lead, servers[i], now)->is_listed = true;
  lead->is_dirty = true;
  advance_ (lead, now);
}

void
colt_shard_lead_stop (struct ColtShardLead *lead)
{
  uint32_t i;

  lead->is_stopped = true;
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    if (lead->shards[i].state != COLT_SHARD_FOLLOWING)
      lose_ (lead, &lead->shards[i], COLT_SHARD_LOSS_STOPPED, COLT_TIME_NEVER);
}

void
colt_shard_lead_opened (struct ColtShardLead *lead,
                        const struct ColtShardOpened *opened,
                        int64_t now)
{
  struct ColtLeadPeer *peer = colt_lead_find_peer (lead, opened->owner);
  size_t i;

  if (peer == NULL || peer->open_round == 0
      || peer->open_round != opened->round)
    return;
  peer->open_round = 0;
  peer->open_failures = 0;
  if (!colt_lead_peer_update (peer, opened->incarnation, opened->version,
                              opened->stamp, opened->servers,
                              opened->server_count))
    return;
  peer->answered = MAX (peer->answered, peer->open_sent);
  lead->is_dirty = true;
  for (i = 0; i < opened->known_count; i++)
    colt_lead_server (lead, opened->known[i], now);
  colt_lead_expire (lead, now);
  colt_lead_index (lead, now);
  take_promises_ (lead, opened->epochs, opened->epoch_count, now);
  peer = colt_lead_find_peer (lead, opened->owner);
  if (peer != NULL && peer->is_known)
    colt_lead_take_grants (lead, peer, opened);
  advance_ (lead, now);
}

void
colt_shard_lead_confirmed (struct ColtShardLead *lead,
                           const struct ColtShardConfirmed *confirmed,
                           int64_t now)
{
  struct ColtLeadPeer *peer = colt_lead_find_peer (lead, confirmed->owner);
  int64_t sent;

  if (peer == NULL || !colt_lead_close_confirm (peer, confirmed->round, &sent))
    return;
  if (confirmed->unchanged
      && (!peer->is_known || confirmed->version != peer->version
          || confirmed->incarnation != peer->incarnation))
    return;
  if (!confirmed->unchanged
      && !colt_lead_peer_update (peer, confirmed->incarnation,
                                 confirmed->version, confirmed->stamp,
                                 confirmed->servers, confirmed->server_count))
    return;
  lead->is_dirty |= !confirmed->unchanged;
  peer->stamp = confirmed->stamp;
  peer->wants_view = confirmed->want_view;
  take_promises_ (lead, confirmed->epochs, confirmed->epoch_count, now);
  peer->answered = MAX (peer->answered, sent);
  if (!confirmed->want_view)
    {
      peer->confirmed = sent;
      peer->confirmed_round = confirmed->round;
    }
  advance_ (lead, now);
}

void
colt_shard_lead_heard (struct ColtShardLead *lead,
                       uint32_t shard,
                       uint64_t epoch)
{
  assert (shard < COLT_SHARD_COUNT);
  lead->shards[shard].heard = MAX (lead->shards[shard].heard, epoch);
}

void
colt_shard_lead_process (struct ColtShardLead *lead, int64_t now)
{
  advance_ (lead, now);
}

int64_t
colt_shard_lead_wake_time (const struct ColtShardLead *lead)
{
  int64_t due = lead->next_refresh;
  GHashTableIter iter;
  gpointer value;
  uint32_t i;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    due = MIN (due, colt_lead_peer_wake_time (lead, value));
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      const struct ColtLedShard *shard = &lead->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING && is_wanted_ (lead, shard))
        due = MIN (due, shard->next_try);
    }
  return due;
}

bool
colt_shard_lead_is_active (const struct ColtShardLead *lead,
                           uint32_t shard,
                           int64_t now)
{
  assert (shard < COLT_SHARD_COUNT);
  return lead->shards[shard].state == COLT_SHARD_ACTIVE
         && now < lead->shards[shard].backed_until;
}

bool
colt_shard_lead_may_start (const struct ColtShardLead *lead,
                           uint32_t shard,
                           uint32_t server,
                           int64_t now,
                           uint32_t *owner,
                           uint64_t *server_epoch)
{
  const struct ColtSeat *seat;
  const struct ColtLeadPeer *peer;

  if (!colt_shard_lead_is_active (lead, shard, now))
    return false;
  seat = colt_lead_find_seat (&lead->shards[shard], server);
  if (seat == NULL || seat->status != COLT_SEAT_JOINED)
    return false;
  peer = colt_lead_find_peer (lead, seat->owner);
  if (peer == NULL || now >= colt_lead_peer_expiry (lead, peer))
    return false;
  if (owner != NULL)
    *owner = seat->owner;
  if (server_epoch != NULL)
    *server_epoch = seat->server_epoch;
  return true;
}

bool
colt_shard_lead_proves (const struct ColtShardLead *lead,
                        struct ColtShardOwner *owner,
                        uint32_t shard,
                        int64_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!colt_shard_lead_is_active (lead, shard, now))
    return false;
  g_hash_table_iter_init (&iter, lead->shards[shard].seats);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct ColtSeat *seat = value;

      if (seat->status == COLT_SEAT_JOINED && seat->owner == lead->instance
          && colt_shard_owner_check_start (
                 owner, shard, lead->shards[shard].epoch,
                 GPOINTER_TO_UINT (key), seat->server_epoch, now)
                 == COLT_SHARD_GOOD)
        return true;
    }
  return false;
}

bool
colt_shard_lead_proved_since (const struct ColtShardLead *lead,
                              uint32_t shard,
                              int64_t since,
                              int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!colt_shard_lead_is_active (lead, shard, now))
    return false;
  g_hash_table_iter_init (&iter, lead->shards[shard].seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtSeat *seat = value;
      const struct ColtLeadPeer *peer = colt_lead_find_peer (lead, seat->owner);

      if (seat->status == COLT_SEAT_JOINED && peer != NULL
          && peer->confirmed > since)
        return true;
    }
  return false;
}

enum ColtShardState
colt_shard_lead_state (const struct ColtShardLead *lead, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return lead->shards[shard].state;
}

uint64_t
colt_shard_lead_epoch (const struct ColtShardLead *lead, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return lead->shards[shard].epoch;
}

uint32_t
colt_shard_lead_choice (const struct ColtShardLead *lead, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return lead->shards[shard].choice;
}

size_t
colt_shard_lead_missing (const struct ColtShardLead *lead, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return lead->shards[shard].out;
}

size_t
colt_shard_lead_unknown (const struct ColtShardLead *lead, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  if (lead->shards[shard].out == 0 && lead->shards[shard].pending == 0)
    return 0;
  return colt_lead_count_unknown (&lead->shards[shard]);
}

/* Seats are looked through only when something has changed; an answer that
 * nothing has costs no more than the peers and shards. */
static void
advance_ (struct ColtShardLead *lead, int64_t now)
{
  uint64_t urgent;
  uint32_t i;

  colt_lead_expire (lead, now);
  begin_wanted_ (lead, now);
  if (lead->is_dirty || now >= lead->next_refresh)
    refresh_ (lead, now);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    if (lead->shards[i].state != COLT_SHARD_FOLLOWING)
      advance_shard_ (lead, &lead->shards[i], now);
  if (lead->is_dirty)
    refresh_ (lead, now);
  urgent = find_urgent_ (lead);
  colt_lead_send_opens (lead, now);
  colt_lead_send_confirms (lead, urgent, now);
}

static void
begin_wanted_ (struct ColtShardLead *lead, int64_t now)
{
  uint32_t i;

  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLedShard *shard = &lead->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING && is_wanted_ (lead, shard)
          && now >= shard->next_try)
        begin_ (lead, shard, now);
    }
}

static void
refresh_ (struct ColtShardLead *lead, int64_t now)
{
  uint32_t i;

  lead->is_dirty = false;
  lead->next_refresh = COLT_TIME_NEVER;
  colt_lead_index (lead, now);
  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLedShard *shard = &lead->shards[i];

      if (shard->state == COLT_SHARD_FOLLOWING)
        continue;
      colt_lead_refresh_seats (lead, shard);
      colt_lead_count_majority (lead, shard, now);
      colt_lead_write_off (lead, shard, now);
      if (now < shard->waits_until)
        lead->next_refresh = MIN (lead->next_refresh, shard->waits_until);
    }
  colt_lead_find_needs (lead);
}

static void
advance_shard_ (struct ColtShardLead *lead,
                struct ColtLedShard *shard,
                int64_t now)
{
  if (colt_lead_count_majority (lead, shard, now))
    colt_lead_write_off (lead, shard, now);
  if (shard->state != COLT_SHARD_ACTIVE)
    {
      if (is_wanted_ (lead, shard))
        check_recount_ (lead, shard, now);
      else
        lose_ (lead, shard, COLT_SHARD_LOSS_CHOICE, now);
    }
  else if (shard->majority_since == COLT_TIME_NEVER)
    lose_ (lead, shard, COLT_SHARD_LOSS_UNCONFIRMED, now);
}

/* Joins what has been checked, and returns the round that is waited for. */
static uint64_t
find_urgent_ (struct ColtShardLead *lead)
{
  uint64_t urgent = 0;
  uint32_t i;

  for (i = 0; i < COLT_SHARD_COUNT; i++)
    {
      struct ColtLedShard *shard = &lead->shards[i];

      if (shard->state == COLT_SHARD_CHECKING)
        urgent = MAX (urgent, shard->check_round);
      else if (shard->state == COLT_SHARD_ACTIVE)
        urgent = MAX (urgent, colt_lead_join_late (lead, shard));
    }
  return urgent;
}

static bool
is_wanted_ (const struct ColtShardLead *lead, const struct ColtLedShard *shard)
{
  return !lead->is_stopped && shard->choice == lead->instance;
}

static void
begin_ (struct ColtShardLead *lead, struct ColtLedShard *shard, int64_t now)
{
  uint64_t counter = (shard->heard >> INSTANCE_BITS) + 1;

  counter = MAX (counter, lead->incarnation);
  shard->epoch = counter << INSTANCE_BITS | lead->instance;
  shard->heard = shard->epoch;
  shard->state = COLT_SHARD_OPENING;
  shard->waits_until = now + colt_shard_lease_us (&lead->times);
  shard->majority_since = COLT_TIME_NEVER;
  g_hash_table_remove_all (shard->seats);
  lead->is_dirty = true;
  lead->table->opening (lead->client, shard->shard, shard->epoch);
}

/* All answers must be there, and must still hold after the last of them came:
 * a server may have changed its owner in between. */
static void
check_recount_ (struct ColtShardLead *lead,
                struct ColtLedShard *shard,
                int64_t now)
{
  if (shard->majority_since == COLT_TIME_NEVER || shard->out > shard->lacking
      || waits_for_members_ (lead, shard, now))
    {
      shard->state = COLT_SHARD_OPENING;
      return;
    }
  if (shard->state == COLT_SHARD_OPENING)
    {
      shard->state = COLT_SHARD_CHECKING;
      shard->check_round = lead->last_round + 1;
    }
  if (colt_lead_is_checked (lead, shard))
    activate_ (lead, shard);
}

/* A member that holds nothing may have made a higher promise, or know of a
 * server that we don't; but it may also be dead. */
static bool
waits_for_members_ (const struct ColtShardLead *lead,
                    const struct ColtLedShard *shard,
                    int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now >= shard->waits_until)
    return false;
  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadPeer *peer = value;

      if (peer->is_member && peer->granted[shard->shard] != shard->epoch)
        return true;
    }
  return false;
}

static void
activate_ (struct ColtShardLead *lead, struct ColtLedShard *shard)
{
  shard->state = COLT_SHARD_ACTIVE;
  shard->refusals = 0;
  colt_lead_join_all (shard);
  lead->table->active (lead->client, shard->shard, shard->epoch, shard->out);
}

static void
lose_ (struct ColtShardLead *lead,
       struct ColtLedShard *shard,
       enum ColtShardLoss loss,
       int64_t next_try)
{
  uint64_t epoch = shard->epoch;

  shard->state = COLT_SHARD_FOLLOWING;
  shard->epoch = 0;
  shard->majority_since = COLT_TIME_NEVER;
  shard->backed_until = 0;
  shard->next_try = next_try;
  shard->out = 0;
  g_hash_table_remove_all (shard->seats);
  lead->is_dirty = true;
  lead->table->lost (lead->client, shard->shard, epoch, loss);
}

/* Two that each believe they should lead must not refuse each other forever:
 * waits double, and differ by instance. */
static int64_t
backoff_ (const struct ColtShardLead *lead, const struct ColtLedShard *shard)
{
  uint32_t doublings = MIN (shard->refusals, BACKOFF_DOUBLINGS_MAX);
  int64_t step = lead->times.retry_ms * COLT_US_PER_MS / BACKOFF_STEPS;

  return step * (1 + lead->instance % BACKOFF_STEPS) << doublings;
}

static void
take_promises_ (struct ColtShardLead *lead,
                const struct ColtShardEpoch *epochs,
                size_t count,
                int64_t now)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      struct ColtLedShard *shard = &lead->shards[epochs[i].shard];

      shard->heard = MAX (shard->heard, epochs[i].epoch);
      if (shard->state == COLT_SHARD_FOLLOWING
          || epochs[i].epoch <= shard->epoch)
        continue;
      lose_ (lead, shard, COLT_SHARD_LOSS_REFUSED,
             now + backoff_ (lead, shard));
      shard->refusals++;
    }
}
