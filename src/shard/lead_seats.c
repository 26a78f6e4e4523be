#include "coltsfootstile/clock.h"
#include "lead.h"
#include "times.h"

static bool session_is_open_ (const struct ColtShardLead *lead,
                              const struct ColtLedShard *shard,
                              const struct ColtZoneServer *server,
                              const struct ColtSeat *seat);
static void refresh_seat_ (struct ColtShardLead *lead,
                           struct ColtLedShard *shard,
                           const struct ColtZoneServer *server,
                           int64_t now);
static bool is_due_ (const struct ColtLedShard *shard,
                     const struct ColtZoneServer *server,
                     int64_t wait,
                     int64_t now);
static bool is_backing_ (const struct ColtLedShard *shard,
                         const struct ColtSeat *seat);
static size_t count_confirmed_ (const struct ColtShardLead *lead,
                                const struct ColtLedShard *shard,
                                uint64_t since);
static gint compare_expiry_ (gconstpointer a, gconstpointer b);

struct ColtSeat *
colt_lead_seat (struct ColtLedShard *shard, uint32_t server)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct ColtSeat *seat = g_hash_table_lookup (shard->seats, key);

  if (seat != NULL)
    return seat;
  seat = g_new0 (struct ColtSeat, 1);
  g_hash_table_insert (shard->seats, key, seat);
  return seat;
}

const struct ColtSeat *
colt_lead_find_seat (const struct ColtLedShard *shard, uint32_t server)
{
  return g_hash_table_lookup (shard->seats, GUINT_TO_POINTER (server));
}

void
colt_lead_refresh_seats (struct ColtShardLead *lead,
                         struct ColtLedShard *shard,
                         int64_t now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    refresh_seat_ (lead, shard, value, now);
  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (lead->servers, key))
      g_hash_table_iter_remove (&iter);
}

void
colt_lead_count_majority (struct ColtShardLead *lead,
                          struct ColtLedShard *shard,
                          int64_t now)
{
  GArray *expiries = g_array_new (FALSE, TRUE, sizeof (int64_t));
  size_t needed = lead->server_count / 2 + 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtSeat *seat = value;
      int64_t expiry;

      if (!is_backing_ (shard, seat))
        continue;
      expiry = colt_lead_peer_expiry (lead,
                                      colt_lead_find_peer (lead, seat->owner));
      g_array_append_val (expiries, expiry);
    }
  g_array_sort (expiries, compare_expiry_);
  shard->backed_until = now;
  if (expiries->len >= needed)
    shard->backed_until = g_array_index (expiries, int64_t, needed - 1);
  if (shard->backed_until <= now)
    shard->majority_since = COLT_TIME_NEVER;
  else if (shard->majority_since == COLT_TIME_NEVER)
    shard->majority_since = now;
  g_array_unref (expiries);
}

size_t
colt_lead_count_out (const struct ColtShardLead *lead,
                     const struct ColtLedShard *shard,
                     bool may_lack,
                     int64_t now)
{
  int64_t wait = colt_shard_partial_us (&lead->times);
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  may_lack = may_lack && lead->times.partial_ms > 0;
  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtZoneServer *server = value;
      const struct ColtSeat *seat = colt_lead_find_seat (shard, server->server);

      if (seat != NULL && seat->status != COLT_SEAT_OUT)
        continue;
      if (!may_lack || !is_due_ (shard, server, wait, now))
        count++;
    }
  return count;
}

bool
colt_lead_is_checked (const struct ColtShardLead *lead,
                      const struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtSeat *seat = value;

      if (seat->status == COLT_SEAT_GRANTED
          && colt_lead_find_peer (lead, seat->owner)->confirmed_round
                 < shard->check_round)
        return false;
    }
  return true;
}

void
colt_lead_join_all (struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtSeat *seat = value;

      if (seat->status == COLT_SEAT_GRANTED)
        seat->status = COLT_SEAT_JOINED;
    }
}

uint64_t
colt_lead_join_late (struct ColtShardLead *lead, struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t waits_for = 0;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtSeat *seat = value;

      if (seat->status != COLT_SEAT_GRANTED)
        continue;
      if (colt_lead_find_peer (lead, seat->owner)->confirmed_round < seat->since
          || count_confirmed_ (lead, shard, seat->since)
                 < lead->server_count / 2 + 1)
        {
          waits_for = MAX (waits_for, seat->since);
          continue;
        }
      seat->status = COLT_SEAT_JOINED;
      lead->table->joined (lead->client, shard->shard, GPOINTER_TO_UINT (key),
                           seat->owner, seat->server_epoch);
    }
  return waits_for;
}

static bool
session_is_open_ (const struct ColtShardLead *lead,
                  const struct ColtLedShard *shard,
                  const struct ColtZoneServer *server,
                  const struct ColtSeat *seat)
{
  const struct ColtLeadPeer *peer;
  const struct ColtShardServer *claim;

  if (server->holder == 0 || server->holder != seat->owner
      || server->epoch != seat->server_epoch)
    return false;
  peer = colt_lead_find_peer (lead, server->holder);
  claim = g_hash_table_lookup (peer->claims, GUINT_TO_POINTER (server->server));
  return peer->granted[shard->shard] == shard->epoch
         && (claim->shards >> shard->shard & 1) != 0;
}

static void
refresh_seat_ (struct ColtShardLead *lead,
               struct ColtLedShard *shard,
               const struct ColtZoneServer *server,
               int64_t now)
{
  struct ColtSeat *seat = colt_lead_seat (shard, server->server);
  bool is_active = shard->state == COLT_SHARD_ACTIVE;
  bool was_joined = seat->status == COLT_SEAT_JOINED;

  if (seat->status == COLT_SEAT_WRITTEN_OFF && server->holder != 0)
    seat->status = COLT_SEAT_OUT;
  if ((was_joined || seat->status == COLT_SEAT_GRANTED)
      && !session_is_open_ (lead, shard, server, seat))
    {
      seat->status = COLT_SEAT_OUT;
      if (is_active && was_joined)
        lead->table->parted (lead->client, shard->shard, server->server);
    }
  if (seat->status == COLT_SEAT_OUT
      && is_due_ (shard, server, colt_shard_write_off_us (&lead->times), now))
    {
      seat->status = COLT_SEAT_WRITTEN_OFF;
      if (is_active)
        lead->table->written_off (lead->client, shard->shard, server->server);
    }
}

/* Returns whether nobody has held a server for so long, with most of the zone
 * backing the lead. */
static bool
is_due_ (const struct ColtLedShard *shard,
         const struct ColtZoneServer *server,
         int64_t wait,
         int64_t now)
{
  if (server->holder != 0 || shard->majority_since == COLT_TIME_NEVER)
    return false;
  return now >= MAX (server->unclaimed, shard->majority_since) + wait;
}

static bool
is_backing_ (const struct ColtLedShard *shard, const struct ColtSeat *seat)
{
  if (seat->status == COLT_SEAT_JOINED)
    return true;
  return seat->status == COLT_SEAT_GRANTED && shard->state != COLT_SHARD_ACTIVE;
}

static size_t
count_confirmed_ (const struct ColtShardLead *lead,
                  const struct ColtLedShard *shard,
                  uint64_t since)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtSeat *seat = value;

      if (seat->status == COLT_SEAT_JOINED
          && colt_lead_find_peer (lead, seat->owner)->confirmed_round >= since)
        count++;
    }
  return count;
}

/* Latest first. */
static gint
compare_expiry_ (gconstpointer a, gconstpointer b)
{
  int64_t first = *(const int64_t *)a;
  int64_t second = *(const int64_t *)b;

  return first > second ? -1 : first < second;
}
