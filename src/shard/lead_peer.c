#include <string.h>

#include "coltsfootstile/clock.h"
#include "lead.h"
#include "times.h"
#include "view.h"

#define SHARDS_PER_OPEN_MAX 16u
#define OPEN_DOUBLINGS_MAX 2u

static void forget_claims_ (struct ColtLeadPeer *peer);
static void index_peer_ (struct ColtShardLead *lead,
                         const struct ColtLeadPeer *peer,
                         int64_t now);
static void drop_servers_ (struct ColtShardLead *lead, int64_t now);
static void
send_open_ (struct ColtShardLead *lead, struct ColtLeadPeer *peer, int64_t now);
static uint64_t find_granted_ (const struct ColtShardLead *lead,
                               const struct ColtLeadPeer *peer);
static bool confirm_is_due_ (const struct ColtShardLead *lead,
                             const struct ColtLeadPeer *peer,
                             uint64_t urgent,
                             int64_t now);
static void send_confirm_ (struct ColtShardLead *lead,
                           struct ColtLeadPeer *peer,
                           GArray *view,
                           int64_t now);
static GArray *build_view_ (const struct ColtShardLead *lead, int64_t now);
static int64_t retry_time_ (const struct ColtShardLead *lead, int64_t sent);
static int64_t open_retry_time_ (const struct ColtShardLead *lead,
                                 const struct ColtLeadPeer *peer);

struct ColtLeadPeer *
colt_lead_peer (struct ColtShardLead *lead, uint32_t instance)
{
  struct ColtLeadPeer *peer = colt_lead_find_peer (lead, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct ColtLeadPeer, 1);
  peer->instance = instance;
  peer->claims
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  peer->answered = INT64_MIN / 2;
  peer->confirmed = INT64_MIN / 2;
  g_hash_table_insert (lead->peers, GUINT_TO_POINTER (instance), peer);
  return peer;
}

struct ColtLeadPeer *
colt_lead_find_peer (const struct ColtShardLead *lead, uint32_t instance)
{
  return g_hash_table_lookup (lead->peers, GUINT_TO_POINTER (instance));
}

void
colt_lead_peer_free (gpointer data)
{
  struct ColtLeadPeer *peer = data;

  g_hash_table_unref (peer->claims);
  g_free (peer);
}

int64_t
colt_lead_peer_expiry (const struct ColtShardLead *lead,
                       const struct ColtLeadPeer *peer)
{
  return peer->answered + colt_shard_lease_us (&lead->times);
}

bool
colt_lead_peer_update (struct ColtLeadPeer *peer,
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
  peer->is_known = true;
  g_hash_table_remove_all (peer->claims);
  for (i = 0; i < count; i++)
    g_hash_table_replace (peer->claims, GUINT_TO_POINTER (servers[i].server),
                          g_memdup2 (&servers[i], sizeof servers[i]));
  return true;
}

bool
colt_lead_close_confirm (struct ColtLeadPeer *peer,
                         uint64_t round,
                         int64_t *sent)
{
  bool found = false;
  uint32_t i;

  for (i = 0; i < COLT_LEAD_CONFIRMS_MAX; i++)
    if (round != 0 && peer->confirms[i].round == round)
      {
        *sent = peer->confirms[i].sent;
        found = true;
      }
  for (i = 0; found && i < COLT_LEAD_CONFIRMS_MAX; i++)
    if (peer->confirms[i].round <= round)
      peer->confirms[i].round = 0;
  if (found && peer->confirm_round <= round)
    peer->confirm_round = 0;
  return found;
}

void
colt_lead_expire (struct ColtShardLead *lead, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeadPeer *peer = value;

      if (peer->is_known && now >= colt_lead_peer_expiry (lead, peer))
        {
          forget_claims_ (peer);
          lead->is_dirty = true;
        }
      if (!peer->is_member && !peer->is_known)
        g_hash_table_iter_remove (&iter);
    }
}

void
colt_lead_index (struct ColtShardLead *lead, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((struct ColtZoneServer *)value)->holder = 0;
      ((struct ColtZoneServer *)value)->epoch = 0;
    }
  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    index_peer_ (lead, value, now);
  drop_servers_ (lead, now);
}

struct ColtZoneServer *
colt_lead_server (struct ColtShardLead *lead, uint32_t server, int64_t now)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct ColtZoneServer *zone_server = g_hash_table_lookup (lead->servers, key);

  if (zone_server != NULL)
    return zone_server;
  zone_server = g_new0 (struct ColtZoneServer, 1);
  zone_server->server = server;
  zone_server->unclaimed = now;
  g_hash_table_insert (lead->servers, key, zone_server);
  return zone_server;
}

/* A peer is asked for each shard that it has not granted, and again for
 * servers that it came to hold later. */
void
colt_lead_find_needs (struct ColtShardLead *lead)
{
  GHashTableIter peers;
  GHashTableIter servers;
  gpointer value;
  uint32_t shard;

  g_hash_table_iter_init (&peers, lead->peers);
  while (g_hash_table_iter_next (&peers, NULL, &value))
    {
      struct ColtLeadPeer *peer = value;

      peer->needed = 0;
      peer->granted_bits = find_granted_ (lead, peer);
    }
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      const struct ColtLedShard *led = &lead->shards[shard];
      uint64_t bit = UINT64_C (1) << shard;

      if (led->state == COLT_SHARD_FOLLOWING)
        continue;
      g_hash_table_iter_init (&peers, lead->peers);
      while (g_hash_table_iter_next (&peers, NULL, &value))
        if (((struct ColtLeadPeer *)value)->granted[shard] != led->epoch)
          ((struct ColtLeadPeer *)value)->needed |= bit;
      g_hash_table_iter_init (&servers, lead->servers);
      while (g_hash_table_iter_next (&servers, NULL, &value))
        {
          const struct ColtZoneServer *server = value;
          const struct ColtSeat *seat
              = colt_lead_find_seat (led, server->server);

          if (server->holder != 0
              && (seat == NULL || seat->status == COLT_SEAT_OUT))
            colt_lead_find_peer (lead, server->holder)->needed |= bit;
        }
    }
}

void
colt_lead_send_opens (struct ColtShardLead *lead, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeadPeer *peer = value;

      if (peer->open_round != 0 && now >= open_retry_time_ (lead, peer))
        {
          peer->open_round = 0;
          peer->open_failures++;
        }
      if (peer->needed != 0 && peer->open_round == 0)
        send_open_ (lead, peer, now);
    }
}

void
colt_lead_send_confirms (struct ColtShardLead *lead,
                         uint64_t urgent,
                         int64_t now)
{
  GArray *view = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeadPeer *peer = value;

      if (!confirm_is_due_ (lead, peer, urgent, now))
        continue;
      if (view == NULL)
        view = build_view_ (lead, now);
      send_confirm_ (lead, peer, view, now);
    }
  if (view != NULL)
    g_array_unref (view);
}

int64_t
colt_lead_peer_wake_time (const struct ColtShardLead *lead,
                          const struct ColtLeadPeer *peer)
{
  int64_t due = COLT_TIME_NEVER;

  if (peer->open_round != 0)
    due = MIN (due, open_retry_time_ (lead, peer));
  if (peer->granted_bits != 0)
    due = MIN (due, peer->confirm_round != 0
                        ? retry_time_ (lead, peer->confirm_sent)
                        : peer->next_confirm);
  if (peer->is_known)
    due = MIN (due, colt_lead_peer_expiry (lead, peer));
  return due;
}

static void
forget_claims_ (struct ColtLeadPeer *peer)
{
  peer->is_known = false;
  peer->version = 0;
  g_hash_table_remove_all (peer->claims);
}

static void
index_peer_ (struct ColtShardLead *lead,
             const struct ColtLeadPeer *peer,
             int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtShardServer *claim = value;
      struct ColtZoneServer *server
          = colt_lead_server (lead, claim->server, now);

      if (claim->epoch <= server->epoch)
        continue;
      server->epoch = claim->epoch;
      server->holder = peer->instance;
      server->was_claimed = true;
    }
}

/* A server that is no longer listed goes when nothing can run there. */
static void
drop_servers_ (struct ColtShardLead *lead, int64_t now)
{
  int64_t wait = colt_shard_write_off_us (&lead->times);
  GHashTableIter iter;
  gpointer value;

  lead->server_count = 0;
  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtZoneServer *server = value;

      if (server->holder != 0)
        server->unclaimed = COLT_TIME_NEVER;
      else if (server->unclaimed == COLT_TIME_NEVER)
        server->unclaimed = now;
      if (server->holder != 0 || server->is_listed)
        lead->server_count++;
      else if (now >= server->unclaimed + wait)
        g_hash_table_iter_remove (&iter);
      else
        lead->next_refresh = MIN (lead->next_refresh, server->unclaimed + wait);
    }
}

static void
send_open_ (struct ColtShardLead *lead, struct ColtLeadPeer *peer, int64_t now)
{
  struct ColtShardEpoch epochs[SHARDS_PER_OPEN_MAX];
  struct ColtShardOpen open
      = { lead->instance, lead->incarnation, 0, epochs, 0 };
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      if ((peer->needed >> shard & 1) == 0
          || open.epoch_count == SHARDS_PER_OPEN_MAX)
        continue;
      epochs[open.epoch_count].shard = shard;
      epochs[open.epoch_count].epoch = lead->shards[shard].epoch;
      open.epoch_count++;
    }
  open.round = ++lead->last_round;
  peer->open_round = open.round;
  peer->open_sent = now;
  lead->table->send_open (lead->client, peer->instance, &open);
}

/* Returns the shards that a peer has granted in their present epochs. */
static uint64_t
find_granted_ (const struct ColtShardLead *lead,
               const struct ColtLeadPeer *peer)
{
  uint64_t bits = 0;
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (lead->shards[shard].epoch != 0
        && peer->granted[shard] == lead->shards[shard].epoch)
      bits |= UINT64_C (1) << shard;
  return bits;
}

static bool
confirm_is_due_ (const struct ColtShardLead *lead,
                 const struct ColtLeadPeer *peer,
                 uint64_t urgent,
                 int64_t now)
{
  if (peer->granted_bits == 0)
    return false;
  if (peer->confirm_round != 0 && now < retry_time_ (lead, peer->confirm_sent))
    return peer->confirm_round < urgent;
  return peer->confirm_round != 0 || peer->confirmed_round < urgent
         || peer->wants_view || now >= peer->next_confirm;
}

static void
send_confirm_ (struct ColtShardLead *lead,
               struct ColtLeadPeer *peer,
               GArray *view,
               int64_t now)
{
  struct ColtShardConfirm confirm = { 0 };
  uint32_t shard;

  confirm.lead = lead->instance;
  confirm.incarnation = lead->incarnation;
  confirm.round = ++lead->last_round;
  confirm.owner_incarnation = peer->incarnation;
  confirm.version = peer->version;
  confirm.echo = peer->stamp;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (lead->shards[shard].majority_since != COLT_TIME_NEVER)
      confirm.shards |= UINT64_C (1) << shard;
  confirm.view_hash = colt_shard_view_hash (view);
  if (peer->wants_view)
    {
      confirm.view = (const uint32_t *)(const void *)view->data;
      confirm.view_count = view->len;
    }
  peer->confirms[peer->next_slot].round = confirm.round;
  peer->confirms[peer->next_slot].sent = now;
  peer->next_slot = (peer->next_slot + 1) % COLT_LEAD_CONFIRMS_MAX;
  peer->confirm_round = confirm.round;
  peer->confirm_sent = now;
  peer->next_confirm = now + lead->times.confirm_ms * COLT_US_PER_MS;
  peer->wants_view = false;
  lead->table->send_confirm (lead->client, peer->instance, &confirm);
}

/* The servers where this lead may have sent work. */
static GArray *
build_view_ (const struct ColtShardLead *lead, int64_t now)
{
  GArray *view = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtZoneServer *server = value;

      if (!server->was_claimed)
        continue;
      if (server->holder != 0
          || now < server->unclaimed + colt_shard_write_off_us (&lead->times))
        g_array_append_val (view, server->server);
    }
  colt_shard_view_sort (view);
  return view;
}

static int64_t
retry_time_ (const struct ColtShardLead *lead, int64_t sent)
{
  return sent + lead->times.retry_ms * COLT_US_PER_MS;
}

/* An owner with much to report gets more time for it. */
static int64_t
open_retry_time_ (const struct ColtShardLead *lead,
                  const struct ColtLeadPeer *peer)
{
  uint32_t doublings = MIN (peer->open_failures, OPEN_DOUBLINGS_MAX);

  return peer->open_sent
         + ((lead->times.retry_ms * COLT_US_PER_MS) << doublings);
}
