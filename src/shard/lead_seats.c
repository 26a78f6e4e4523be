#include "coltsfootstile/clock.h"
#include "lead.h"
#include "times.h"

/* A peer with seats that back us, until its answer expires. */
struct ColtBacker
{
  int64_t expiry;
  size_t seats;
};

static void clear_backing_ (struct ColtShardLead *lead,
                            struct ColtLedShard *shard);
static bool session_is_open_ (const struct ColtShardLead *lead,
                              const struct ColtLedShard *shard,
                              const struct ColtZoneServer *server,
                              const struct ColtSeat *seat);
static void refresh_seat_ (struct ColtShardLead *lead,
                           struct ColtLedShard *shard,
                           const struct ColtZoneServer *server);
static void write_off_ (struct ColtShardLead *lead,
                        struct ColtLedShard *shard,
                        const struct ColtZoneServer *server,
                        struct ColtSeat *seat,
                        int64_t now);
static int64_t unreached_since_ (const struct ColtLedShard *shard,
                                 const struct ColtZoneServer *server);
static int64_t find_backed_until_ (const struct ColtShardLead *lead,
                                   const struct ColtLedShard *shard,
                                   int64_t now);
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
colt_lead_refresh_seats (struct ColtShardLead *lead, struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  clear_backing_ (lead, shard);
  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    refresh_seat_ (lead, shard, value);
  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (lead->servers, key))
      g_hash_table_iter_remove (&iter);
}

bool
colt_lead_count_majority (struct ColtShardLead *lead,
                          struct ColtLedShard *shard,
                          int64_t now)
{
  bool had_majority = shard->majority_since != COLT_TIME_NEVER;

  shard->backed_until = find_backed_until_ (lead, shard, now);
  if (shard->backed_until <= now)
    shard->majority_since = COLT_TIME_NEVER;
  else if (!had_majority)
    shard->majority_since = now;
  return had_majority != (shard->majority_since != COLT_TIME_NEVER);
}

void
colt_lead_write_off (struct ColtShardLead *lead,
                     struct ColtLedShard *shard,
                     int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  shard->out = 0;
  shard->lacking = 0;
  g_hash_table_iter_init (&iter, lead->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtZoneServer *server = value;
      struct ColtSeat *seat = colt_lead_seat (shard, server->server);

      if (seat->status == COLT_SEAT_OUT)
        write_off_ (lead, shard, server, seat, now);
    }
}

size_t
colt_lead_count_unknown (const struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtSeat *seat = value;

      if (!seat->was_joined && seat->status != COLT_SEAT_WRITTEN_OFF)
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

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadPeer *peer = value;

      if (peer->backing[shard->shard] > 0
          && peer->confirmed_round < shard->check_round)
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

      if (seat->status != COLT_SEAT_GRANTED)
        continue;
      seat->status = COLT_SEAT_JOINED;
      seat->was_joined = true;
    }
}

uint64_t
colt_lead_join_late (struct ColtShardLead *lead, struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t waits_for = 0;

  if (shard->pending == 0)
    return 0;
  g_hash_table_iter_init (&iter, shard->seats);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtSeat *seat = value;
      struct ColtLeadPeer *peer;

      if (seat->status != COLT_SEAT_GRANTED)
        continue;
      peer = colt_lead_find_peer (lead, seat->owner);
      if (peer->confirmed_round < seat->since
          || count_confirmed_ (lead, shard, seat->since)
                 < lead->server_count / 2 + 1)
        {
          waits_for = MAX (waits_for, seat->since);
          continue;
        }
      seat->status = COLT_SEAT_JOINED;
      seat->was_joined = true;
      shard->pending--;
      peer->backing[shard->shard]++;
      lead->table->joined (lead->client, shard->shard, GPOINTER_TO_UINT (key),
                           seat->owner, seat->server_epoch);
    }
  return waits_for;
}

static void
clear_backing_ (struct ColtShardLead *lead, struct ColtLedShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  shard->pending = 0;
  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtLeadPeer *)value)->backing[shard->shard] = 0;
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
               const struct ColtZoneServer *server)
{
  struct ColtSeat *seat = colt_lead_seat (shard, server->server);
  bool is_active = shard->state == COLT_SHARD_ACTIVE;
  bool was_joined = seat->status == COLT_SEAT_JOINED;

  if (seat->status == COLT_SEAT_WRITTEN_OFF && server->holder != 0)
    seat->status = COLT_SEAT_OUT;
  if (!was_joined && seat->status != COLT_SEAT_GRANTED)
    return;
  if (!session_is_open_ (lead, shard, server, seat))
    {
      seat->status = COLT_SEAT_OUT;
      if (is_active && was_joined)
        lead->table->parted (lead->client, shard->shard, server->server);
    }
  else if (is_active && !was_joined)
    shard->pending++;
  else
    colt_lead_find_peer (lead, seat->owner)->backing[shard->shard]++;
}

static void
write_off_ (struct ColtShardLead *lead,
            struct ColtLedShard *shard,
            const struct ColtZoneServer *server,
            struct ColtSeat *seat,
            int64_t now)
{
  int64_t since = unreached_since_ (shard, server);
  int64_t lacking_at = COLT_TIME_NEVER;
  int64_t gone_at = COLT_TIME_NEVER;

  if (since != COLT_TIME_NEVER)
    {
      gone_at = since + colt_shard_write_off_us (&lead->times);
      lacking_at = gone_at;
    }
  if (since != COLT_TIME_NEVER && lead->times.partial_ms > 0)
    lacking_at = since + colt_shard_partial_us (&lead->times);
  if (now >= gone_at)
    {
      seat->status = COLT_SEAT_WRITTEN_OFF;
      if (shard->state == COLT_SHARD_ACTIVE)
        lead->table->written_off (lead->client, shard->shard, server->server);
      return;
    }
  shard->out++;
  if (now >= lacking_at)
    shard->lacking++;
  else
    lead->next_refresh = MIN (lead->next_refresh, lacking_at);
  lead->next_refresh = MIN (lead->next_refresh, gone_at);
}

/* Returns since when nobody has held a server and most of the zone has backed
 * the lead. */
static int64_t
unreached_since_ (const struct ColtLedShard *shard,
                  const struct ColtZoneServer *server)
{
  if (server->holder != 0 || shard->majority_since == COLT_TIME_NEVER)
    return COLT_TIME_NEVER;
  return MAX (server->unclaimed, shard->majority_since);
}

/* The seats that back us are those of the peers that answered last: find the
 * answer that completes a majority. */
static int64_t
find_backed_until_ (const struct ColtShardLead *lead,
                    const struct ColtLedShard *shard,
                    int64_t now)
{
  GArray *backers = g_array_new (FALSE, TRUE, sizeof (struct ColtBacker));
  size_t missing = lead->server_count / 2 + 1;
  int64_t until = now;
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadPeer *peer = value;
      struct ColtBacker backer
          = { colt_lead_peer_expiry (lead, peer), peer->backing[shard->shard] };

      if (backer.seats > 0)
        g_array_append_val (backers, backer);
    }
  g_array_sort (backers, compare_expiry_);
  for (i = 0; i < backers->len; i++)
    {
      const struct ColtBacker *backer
          = &g_array_index (backers, struct ColtBacker, i);

      if (backer->seats >= missing)
        {
          until = backer->expiry;
          break;
        }
      missing -= backer->seats;
    }
  g_array_unref (backers);
  return until;
}

static size_t
count_confirmed_ (const struct ColtShardLead *lead,
                  const struct ColtLedShard *shard,
                  uint64_t since)
{
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, lead->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadPeer *peer = value;

      if (peer->confirmed_round >= since)
        count += peer->backing[shard->shard];
    }
  return count;
}

/* Latest first. */
static gint
compare_expiry_ (gconstpointer a, gconstpointer b)
{
  int64_t first = ((const struct ColtBacker *)a)->expiry;
  int64_t second = ((const struct ColtBacker *)b)->expiry;

  return first > second ? -1 : first < second;
}
