#include "zone_internal.h"

static void check_lease_ (struct ColtZone *zone, uint32_t server);
static void check_exclusive_leader_ (struct ColtZone *zone, uint32_t shard);

void
colt_zone_check_invariants (struct ColtZone *zone)
{
  int i;

  for (i = 1; i <= zone->plan.servers; i++)
    check_lease_ (zone, (uint32_t)i);
  if (!zone->plan.with_shards)
    return;
  zone->last_checked_shard = (zone->last_checked_shard + 1) % COLT_SHARD_COUNT;
  check_exclusive_leader_ (zone, zone->last_checked_shard);
}

/* An instance that may start work on a server must hold the server's lease, so
 * that there is at most one at any time. */
static void
check_lease_ (struct ColtZone *zone, uint32_t server)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      const struct ColtZoneInstance *instance = &zone->instances[i];

      if (instance->is_alive
          && colt_server_lease_may_start (
              instance->leases[server],
              colt_zone_local_time (instance, zone->now))
          && !colt_zone_server_is_held_by (
              zone->servers[server], zone->now, instance->number,
              colt_server_lease_epoch (instance->leases[server])))
        colt_zone_fail (
            zone,
            "an instance may start work on a server without holding its lease");
    }
}

/* An active leader that is certainly the only one must be the one that was the
 * last to complete a reconciliation. */
static void
check_exclusive_leader_ (struct ColtZone *zone, uint32_t shard)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      struct ColtZoneInstance *instance = &zone->instances[i];
      int64_t now = colt_zone_local_time (instance, zone->now);
      uint64_t epoch;

      if (!instance->is_alive || instance->paused_until > zone->now
          || !colt_shard_leader_is_active (instance->leader, shard, now))
        continue;
      epoch = colt_shard_leader_epoch (instance->leader, shard);
      if (epoch != zone->latest_leaders[shard].epoch
          && colt_shard_leader_is_exclusive (instance->leader, instance->owner,
                                             shard, now))
        colt_zone_fail (zone, "a replaced leader counts as the only leader");
    }
}

bool
colt_zone_is_leader_effective (struct ColtZoneInstance *instance,
                               uint32_t shard)
{
  struct ColtZone *zone = instance->zone;
  uint64_t epoch = colt_shard_leader_epoch (instance->leader, shard);
  int64_t now = colt_zone_local_time (instance, zone->now);
  int server;

  if (epoch > zone->latest_leaders[shard].epoch)
    return true;
  for (server = 1; server <= zone->plan.servers; server++)
    {
      struct ColtZoneInstance *owner;
      uint64_t server_epoch;
      uint32_t number;

      if (!colt_shard_leader_may_start (instance->leader, shard,
                                        (uint32_t)server, now, &number,
                                        &server_epoch))
        continue;
      owner = &zone->instances[number];
      if (owner->is_alive
          && colt_shard_owner_check_start (
                 owner->owner, shard, epoch, (uint32_t)server, server_epoch,
                 colt_zone_local_time (owner, zone->now))
                 == COLT_SHARD_CHECK_OK)
        return true;
    }
  return false;
}

void
colt_zone_check_reported (struct ColtZoneInstance *instance,
                          uint32_t shard,
                          uint32_t server,
                          const char *what)
{
  struct ColtZone *zone = instance->zone;
  GHashTable *reported = instance->reported_tasks[shard][server];

  if (!colt_zone_server_tasks_are_listed (zone->servers[server], zone->now,
                                          shard, reported,
                                          instance->sent_starts[shard]))
    colt_zone_fail (zone, what);
}

void
colt_zone_check_accepted_start (struct ColtZone *zone,
                                const struct ColtZoneTask *task)
{
  const struct ColtZoneLeader *latest = &zone->latest_leaders[task->shard];
  struct ColtZoneInstance *instance = &zone->instances[latest->instance];
  int64_t now = colt_zone_local_time (instance, zone->now);
  GHashTable *reported;

  if (task->epoch == latest->epoch || !instance->is_alive
      || colt_shard_leader_epoch (instance->leader, task->shard)
             != latest->epoch
      || !colt_shard_leader_is_active (instance->leader, task->shard, now))
    return;
  if (zone->plan.partial_ms > 0
      && !colt_shard_leader_may_start (instance->leader, task->shard,
                                       task->server, now, NULL, NULL))
    return;
  reported = instance->reported_tasks[task->shard][task->server];
  if (reported == NULL
      || !g_hash_table_contains (reported, GUINT_TO_POINTER (task->number)))
    colt_zone_fail (
        zone, "a server accepted an unreported start of a replaced leader");
}
