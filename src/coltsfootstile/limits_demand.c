#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/rendezvous.h"
#include "instance_limits.h"

/* Interval at which shards' and zones' demands are sent. */
#define DIGEST_INTERVAL_US (400 * COLT_US_PER_MS)

static void on_shard_demand_ (void *client,
                              const struct ColtWireOrigin *origin,
                              const uint8_t *body,
                              size_t size);
static void on_zone_demand_ (void *client,
                             const struct ColtWireOrigin *origin,
                             const uint8_t *body,
                             size_t size);
static void send_shard_demands_ (struct ColtInstanceLimits *limits,
                                 uint32_t planner);
static void send_zone_demand_ (struct ColtInstanceLimits *limits,
                               int64_t now_us);
static struct ColtDemandDigest *
merge_shard_demands_ (struct ColtInstanceLimits *limits);
static uint32_t find_planner_ (const struct ColtInstanceLimits *limits,
                               uint32_t zone);

void
colt_limits_set_demand_handlers (struct ColtInstanceLimits *limits)
{
  struct ColtWire *wire = limits->instance->wire;

  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_SHARD_DEMAND, on_shard_demand_,
                         limits);
  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_ZONE_DEMAND, on_zone_demand_,
                         limits);
}

void
colt_limits_step_demand (struct ColtInstanceLimits *limits, int64_t now_us)
{
  uint32_t planner = find_planner_ (limits, limits->instance->zone);

  if (now_us < limits->next_digest_us || planner == 0)
    return;
  limits->next_digest_us = now_us + DIGEST_INTERVAL_US;
  send_shard_demands_ (limits, planner);
  if (planner == limits->instance->number)
    send_zone_demand_ (limits, now_us);
  else
    g_hash_table_remove_all (limits->shard_demands);
}

void
colt_limits_free_shard_demand (gpointer data)
{
  colt_demand_digest_destroy (data);
}

/* The body is a byte with the shard's number and a packed demand digest. */
static void
on_shard_demand_ (void *client,
                  const struct ColtWireOrigin *origin,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtInstanceLimits *limits = client;
  struct ColtError error;
  struct ColtDemandDigest *part;
  uint32_t shard;

  (void)origin;
  if (size < 2 || body[0] >= COLT_SHARD_COUNT)
    return;
  shard = body[0];
  part = colt_demand_digest_unpack (body + 1, size - 1, &error);
  if (part != NULL)
    g_hash_table_replace (limits->shard_demands, GUINT_TO_POINTER (shard + 1),
                          part);
}

static void
on_zone_demand_ (void *client,
                 const struct ColtWireOrigin *origin,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtInstanceLimits *limits = client;
  struct ColtError error;
  struct ColtDemandDigest *digest
      = colt_demand_digest_unpack (body, size, &error);

  (void)origin;
  if (digest == NULL)
    return;
  colt_transfer_planner_handle_digest (limits->planner, digest,
                                       colt_clock_monotonic_us ());
  colt_demand_digest_destroy (digest);
}

static void
send_shard_demands_ (struct ColtInstanceLimits *limits, uint32_t planner)
{
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtLimitsShard *entry = &limits->shards[shard];
      struct ColtDemandDigest part = { 0 };
      uint8_t *framed;
      uint8_t *body;
      size_t size;

      if (entry->leader == NULL)
        continue;
      part.zone = limits->instance->zone;
      part.sequence = 1;
      part.demands
          = colt_credit_leader_list_demands (entry->leader, &part.demand_count);
      if (part.demand_count == 0 && !entry->demand_reported)
        continue;
      entry->demand_reported = part.demand_count > 0;
      body = colt_demand_digest_pack (&part, &size);
      framed = g_malloc (size + 1);
      framed[0] = (uint8_t)shard;
      memcpy (framed + 1, body, size);
      colt_wire_send (limits->instance->wire, planner,
                      COLT_WIRE_LIMITS_SHARD_DEMAND, framed, size + 1);
      g_free (framed);
      free (body);
      free (part.demands);
    }
}

static void
send_zone_demand_ (struct ColtInstanceLimits *limits, int64_t now_us)
{
  struct ColtDemandDigest *digest = merge_shard_demands_ (limits);
  size_t zone_count;
  const uint32_t *zones = colt_entitlements_zones (limits->fold, &zone_count);
  size_t size;
  uint8_t *body = colt_demand_digest_pack (digest, &size);
  size_t i;

  colt_transfer_planner_handle_digest (limits->planner, digest, now_us);
  for (i = 0; i < zone_count; i++)
    if (zones[i] != limits->instance->zone)
      colt_wire_send (limits->instance->wire, find_planner_ (limits, zones[i]),
                      COLT_WIRE_LIMITS_ZONE_DEMAND, body, size);
  free (body);
  colt_demand_digest_destroy (digest);
}

static struct ColtDemandDigest *
merge_shard_demands_ (struct ColtInstanceLimits *limits)
{
  struct ColtDemandDigest *digest;
  GHashTableIter iter;
  gpointer value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, limits->shard_demands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct ColtDemandDigest *)value)->demand_count;
  digest = colt_demand_digest_create (count);
  digest->zone = limits->instance->zone;
  digest->sequence = (uint64_t)(colt_clock_wall_us () / COLT_US_PER_MS);
  count = 0;
  g_hash_table_iter_init (&iter, limits->shard_demands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtDemandDigest *part = value;

      if (part->demand_count == 0)
        continue;
      memcpy (digest->demands + count, part->demands,
              part->demand_count * sizeof *part->demands);
      count += part->demand_count;
    }
  return digest;
}

static uint32_t
find_planner_ (const struct ColtInstanceLimits *limits, uint32_t zone)
{
  return colt_instance_choose_member (
      limits->instance, zone, colt_rendezvous_key (COLT_RENDEZVOUS_ZONE, zone));
}
