#include "zone_internal.h"

static void check_lease_ (struct ColtZone *zone, uint32_t server);
static void check_sole_lead_ (struct ColtZone *zone, uint32_t shard);

void
colt_zone_check (struct ColtZone *zone)
{
  int i;

  for (i = 1; i <= zone->plan.servers; i++)
    check_lease_ (zone, (uint32_t)i);
  if (!zone->plan.with_leads)
    return;
  zone->rotating_shard = (zone->rotating_shard + 1) % COLT_SHARD_COUNT;
  check_sole_lead_ (zone, zone->rotating_shard);
}

/* Whoever believes that it may start must be right, so that at most one does.
 */
static void
check_lease_ (struct ColtZone *zone, uint32_t server)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      const struct ColtZoneInstance *instance = &zone->instances[i];

      if (instance->is_alive
          && colt_server_lease_may_start (instance->leases[server],
                                          colt_zone_local (instance, zone->now))
          && !colt_zone_server_is_held (
              zone->servers[server], zone->now, instance->number,
              colt_server_lease_epoch (instance->leases[server])))
        colt_zone_broken (zone, "an instance believes that it holds a server");
    }
}

/* A lead that proves itself must be the one whose recount came last. */
static void
check_sole_lead_ (struct ColtZone *zone, uint32_t shard)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      struct ColtZoneInstance *instance = &zone->instances[i];
      int64_t now = colt_zone_local (instance, zone->now);
      uint64_t epoch;

      if (!instance->is_alive || instance->paused_until > zone->now
          || !colt_shard_leader_is_active (instance->lead, shard, now))
        continue;
      epoch = colt_shard_leader_epoch (instance->lead, shard);
      if (epoch != zone->latest[shard].epoch
          && colt_shard_leader_is_exclusive (instance->lead, instance->owner,
                                             shard, now))
        colt_zone_broken (zone,
                          "a lead that was replaced proves that it leads");
    }
}

bool
colt_zone_is_backed (struct ColtZoneInstance *instance, uint32_t shard)
{
  struct ColtZone *zone = instance->zone;
  uint64_t epoch = colt_shard_leader_epoch (instance->lead, shard);
  int64_t now = colt_zone_local (instance, zone->now);
  int server;

  if (epoch > zone->latest[shard].epoch)
    return true;
  for (server = 1; server <= zone->plan.servers; server++)
    {
      struct ColtZoneInstance *owner;
      uint64_t server_epoch;
      uint32_t number;

      if (!colt_shard_leader_may_start (instance->lead, shard, (uint32_t)server,
                                        now, &number, &server_epoch))
        continue;
      owner = &zone->instances[number];
      if (owner->is_alive
          && colt_shard_owner_check_start (owner->owner, shard, epoch,
                                           (uint32_t)server, server_epoch,
                                           colt_zone_local (owner, zone->now))
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
  GHashTable *reported = instance->reports[shard][server];

  if (!colt_zone_server_is_covered (zone->servers[server], zone->now, shard,
                                    reported, instance->sent[shard]))
    colt_zone_broken (zone, what);
}

void
colt_zone_check_landing (struct ColtZone *zone, const struct ColtZoneTask *task)
{
  const struct ColtZoneLeader *latest = &zone->latest[task->shard];
  struct ColtZoneInstance *instance = &zone->instances[latest->instance];
  int64_t now = colt_zone_local (instance, zone->now);
  GHashTable *reported;

  if (task->epoch == latest->epoch || !instance->is_alive
      || colt_shard_leader_epoch (instance->lead, task->shard) != latest->epoch
      || !colt_shard_leader_is_active (instance->lead, task->shard, now))
    return;
  if (zone->plan.partial_ms > 0
      && !colt_shard_leader_may_start (instance->lead, task->shard,
                                       task->server, now, NULL, NULL))
    return;
  reported = instance->reports[task->shard][task->server];
  if (reported == NULL
      || !g_hash_table_contains (reported, GUINT_TO_POINTER (task->number)))
    colt_zone_broken (zone, "a start of a replaced lead was taken");
}
