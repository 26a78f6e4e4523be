#include "simulation_private.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_EPOCH 1

static void name_teams_ (struct ColtWorld *world);
static void boot_ (struct ColtWorld *world,
                   int zone,
                   int instance,
                   struct ColtEntitlements *fold,
                   uint64_t floor);
static void
apply_ (struct ColtWorld *world, struct ColtEntitlements *fold, int record);
static bool learn_ (struct ColtWorld *world,
                    int zone,
                    struct ColtEntitlements **fold,
                    uint64_t *floor);
static struct ColtEntitlements *copy_ (const struct ColtEntitlements *fold);

struct ColtWorld *
world_create (void)
{
  struct ColtWorld *world = g_new0 (struct ColtWorld, 1);
  int zone;
  int i;

  name_teams_ (world);
  world->log_up = true;
  world->messages = g_array_new (FALSE, TRUE, sizeof (struct ColtWorldMessage));
  g_array_set_clear_func (world->messages, world_free_message_);
  world->kept = g_array_new (FALSE, TRUE, sizeof (struct ColtWorldMessage));
  g_array_set_clear_func (world->kept, world_free_message_);
  world->reference = colt_entitlements_create ();
  for (zone = 0; zone < WORLD_ZONES; zone++)
    {
      struct ColtWorldZone *entry = &world->zones[zone];

      entry->epoch = FIRST_EPOCH;
      entry->gone = g_array_new (FALSE, TRUE, sizeof (struct ColtWorldGone));
      for (i = 0; i < WORLD_SERVERS; i++)
        {
          entry->servers[i].owner = -1;
          entry->servers[i].tasks
              = g_array_new (FALSE, TRUE, sizeof (struct ColtWorldTask));
        }
      for (i = 0; i < WORLD_INSTANCES; i++)
        boot_ (world, zone, i, colt_entitlements_create (), 0);
      for (i = 0; i < WORLD_SERVERS; i++)
        world_take_over (world, zone, i, i % WORLD_INSTANCES);
    }
  return world;
}

void
world_destroy (struct ColtWorld *world)
{
  int zone;
  int i;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    {
      struct ColtWorldZone *entry = &world->zones[zone];

      for (i = 0; i < WORLD_LEADS; i++)
        world_depose (world, zone, i);
      for (i = 0; i < WORLD_INSTANCES; i++)
        {
          colt_credit_holder_destroy (entry->instances[i].holder);
          colt_entitlements_destroy (entry->instances[i].fold);
        }
      for (i = 0; i < WORLD_SERVERS; i++)
        g_array_unref (entry->servers[i].tasks);
      g_array_unref (entry->gone);
    }
  colt_entitlements_destroy (world->reference);
  g_array_unref (world->messages);
  g_array_unref (world->kept);
  g_free (world);
}

const char *
world_team (const struct ColtWorld *world, int team)
{
  return world->teams[team];
}

bool
world_append_bundle (struct ColtWorld *world,
                     const struct ColtQuotaAmount limits[WORLD_TEAMS],
                     unsigned zone_mask)
{
  struct ColtWorldRecord *record;

  if (!world->log_up || world->record_count == WORLD_RECORDS)
    return false;
  record = &world->records[world->record_count++];
  record->bundle = true;
  record->zone_mask = zone_mask;
  memcpy (record->limits, limits, sizeof record->limits);
  apply_ (world, world->reference, world->record_count - 1);
  return true;
}

bool
world_append_transfer (struct ColtWorld *world,
                       int team,
                       uint32_t from,
                       uint32_t to,
                       const struct ColtQuotaAmount *amount)
{
  struct ColtWorldRecord *record;

  if (!world->log_up || world->record_count == WORLD_RECORDS)
    return false;
  record = &world->records[world->record_count++];
  record->transfer.id.bytes[0] = (uint8_t)world->record_count;
  record->transfer.base = 0;
  record->transfer.moves = &record->move;
  record->transfer.move_count = 1;
  g_strlcpy (record->move.team, world->teams[team], sizeof record->move.team);
  record->move.from = from;
  record->move.to = to;
  record->move.amount = *amount;
  apply_ (world, world->reference, world->record_count - 1);
  return true;
}

bool
world_append_again (struct ColtWorld *world, int record)
{
  if (!world->log_up || world->record_count == WORLD_RECORDS
      || record >= world->record_count)
    return false;
  world->records[world->record_count] = world->records[record];
  if (!world->records[record].bundle)
    world->records[world->record_count].transfer.moves
        = &world->records[world->record_count].move;
  world->record_count++;
  apply_ (world, world->reference, world->record_count - 1);
  return true;
}

int
world_records (const struct ColtWorld *world)
{
  return world->record_count;
}

void
world_set_log (struct ColtWorld *world, bool up)
{
  world->log_up = up;
}

bool
world_read (struct ColtWorld *world, int zone, int instance)
{
  struct ColtWorldInstance *reader = &world->zones[zone].instances[instance];
  uint64_t position;

  if (!reader->alive || !world->log_up || world->zones[zone].cut)
    return false;
  position = colt_entitlements_position (reader->fold);
  if (position >= (uint64_t)world->record_count)
    return false;
  apply_ (world, reader->fold, (int)position);
  return true;
}

void
world_kill (struct ColtWorld *world, int zone, int instance)
{
  struct ColtWorldZone *entry = &world->zones[zone];
  struct ColtWorldInstance *victim = &entry->instances[instance];
  struct ColtWorldGone gone;
  int i;

  if (!victim->alive)
    return;
  for (i = 0; i < WORLD_LEADS; i++)
    if (entry->leads[i].lead != NULL && entry->leads[i].instance == instance)
      world_depose (world, zone, i);
  gone.owner = victim->owner;
  memcpy (gone.held, victim->held, sizeof gone.held);
  g_array_append_val (entry->gone, gone);
  for (i = 0; i < WORLD_SERVERS; i++)
    if (entry->servers[i].owner == instance)
      entry->servers[i].owner = -1;
  colt_credit_holder_destroy (victim->holder);
  colt_entitlements_destroy (victim->fold);
  memset (victim, 0, sizeof *victim);
}

void
world_start (struct ColtWorld *world, int zone, int instance)
{
  struct ColtEntitlements *fold;
  uint64_t floor;
  int i;

  if (world->zones[zone].instances[instance].alive
      || !learn_ (world, zone, &fold, &floor))
    return;
  boot_ (world, zone, instance, fold, floor);
  for (i = 0; i < WORLD_LEADS; i++)
    if (world->zones[zone].leads[i].lead != NULL)
      colt_credit_leader_add_owner (
          world->zones[zone].leads[i].lead,
          world->zones[zone].instances[instance].owner);
}

void
world_pause (struct ColtWorld *world, int zone, int instance, bool paused)
{
  world->zones[zone].instances[instance].paused = paused;
}

void
world_cut (struct ColtWorld *world, int zone, bool cut)
{
  world->zones[zone].cut = cut;
}

void
world_gossip (struct ColtWorld *world,
              int from_zone,
              int from,
              int to_zone,
              int to)
{
  const struct ColtWorldInstance *teller
      = &world->zones[from_zone].instances[from];
  struct ColtWorldInstance *hearer = &world->zones[to_zone].instances[to];
  struct ColtComplianceVector *vector;
  struct ColtComplianceVector *read;
  uint8_t *bytes;
  size_t size;
  size_t i;

  if (!teller->alive || !hearer->alive || teller == hearer)
    return;
  if (from_zone != to_zone
      && (world->zones[from_zone].cut || world->zones[to_zone].cut))
    return;
  vector = colt_entitlements_list_compliance (teller->fold, 0);
  bytes = colt_compliance_vector_pack (vector, &size);
  read = colt_compliance_vector_unpack (bytes, size, NULL);
  g_assert (read != NULL);
  for (i = 0; i < read->entry_count; i++)
    colt_entitlements_merge_compliance (hearer->fold, &read->entries[i]);
  free (bytes);
  colt_compliance_vector_destroy (vector);
  colt_compliance_vector_destroy (read);
}

struct ColtEntitlements *
world_fold (struct ColtWorld *world, int zone, int instance)
{
  return world->zones[zone].instances[instance].fold;
}

struct ColtCreditHolder *
world_holder (struct ColtWorld *world, int zone, int instance)
{
  return world->zones[zone].instances[instance].holder;
}

/* A lead covers every server: none may be without an owner that lives. */
void
world_elect (struct ColtWorld *world, int zone, int instance)
{
  struct ColtWorldZone *entry = &world->zones[zone];
  struct ColtWorldLead *slot = NULL;
  int i;

  if (!entry->instances[instance].alive)
    return;
  for (i = 0; i < WORLD_SERVERS; i++)
    if (entry->servers[i].owner < 0)
      return;
  for (i = 0; i < WORLD_LEADS; i++)
    if (entry->leads[i].lead == NULL)
      slot = &entry->leads[i];
  if (slot == NULL)
    return;
  slot->epoch = entry->epoch++;
  slot->instance = instance;
  slot->lead = colt_credit_leader_create (
      (uint32_t)zone + 1, colt_team_shard (world->teams[0]), slot->epoch,
      entry->instances[instance].fold, world_send_grant_, world);
  for (i = 0; i < WORLD_INSTANCES; i++)
    if (entry->instances[i].alive)
      colt_credit_leader_add_owner (slot->lead, entry->instances[i].owner);
}

void
world_depose (struct ColtWorld *world, int zone, int lead)
{
  struct ColtWorldLead *slot = &world->zones[zone].leads[lead];

  colt_credit_leader_destroy (slot->lead);
  memset (slot, 0, sizeof *slot);
}

void
world_process_lead (struct ColtWorld *world, int zone, int lead)
{
  struct ColtWorldLead *slot = &world->zones[zone].leads[lead];

  if (slot->lead == NULL)
    return;
  world->sending_zone = zone;
  colt_credit_leader_process (slot->lead, world->now_us);
  world_observe_ (world);
}

/* Lets a lead forget owners that are gone and whose servers are counted. */
void
world_admit (struct ColtWorld *world, int zone, int lead)
{
  struct ColtWorldZone *entry = &world->zones[zone];
  struct ColtCreditLeader *counter = entry->leads[lead].lead;
  size_t i;
  int server;

  if (counter == NULL)
    return;
  for (i = 0; i < entry->gone->len; i++)
    {
      const struct ColtWorldGone *gone
          = &g_array_index (entry->gone, struct ColtWorldGone, i);
      bool counted = true;

      for (server = 0; server < WORLD_SERVERS; server++)
        if (gone->held[server] > 0
            && !colt_credit_leader_counts_server (counter, (uint32_t)server + 1,
                                                  gone->held[server]))
          counted = false;
      if (counted)
        colt_credit_leader_remove_owner (counter, gone->owner);
    }
}

const struct ColtCreditLeader *
world_lead (const struct ColtWorld *world, int zone, int lead)
{
  return world->zones[zone].leads[lead].lead;
}

void
world_wait (struct ColtWorld *world, int zone, int instance, int team, int n)
{
  const struct ColtQuotaAmount unit = { { 1, 1, 0 } };
  struct ColtWorldInstance *owner = &world->zones[zone].instances[instance];

  if (owner->alive)
    colt_credit_holder_set_waiting (owner->holder, world->teams[team], n,
                                    &unit);
}

bool
world_run (struct ColtWorld *world,
           int zone,
           int instance,
           int server,
           int team,
           int64_t cores)
{
  struct ColtWorldInstance *owner = &world->zones[zone].instances[instance];
  struct ColtWorldServer *target = &world->zones[zone].servers[server];
  struct ColtWorldTask task = { team, { { 1, cores, 0 } } };

  if (!owner->alive || owner->held[server] == 0)
    return false;
  if (!colt_credit_holder_acquire (owner->holder, world->teams[team],
                                   (uint32_t)server + 1, &task.amount))
    return false;
  if (target->owner != instance)
    {
      colt_credit_holder_release (owner->holder, world->teams[team],
                                  (uint32_t)server + 1, &task.amount);
      return false;
    }
  g_array_append_val (target->tasks, task);
  world_check_ (world, team);
  return true;
}

bool
world_end (struct ColtWorld *world, int zone, int server, int index)
{
  struct ColtWorldServer *target = &world->zones[zone].servers[server];
  struct ColtWorldTask task;

  if (index >= (int)target->tasks->len)
    return false;
  task = g_array_index (target->tasks, struct ColtWorldTask, index);
  g_array_remove_index (target->tasks, (guint)index);
  if (target->owner >= 0)
    colt_credit_holder_release (
        world->zones[zone].instances[target->owner].holder,
        world->teams[task.team], (uint32_t)server + 1, &task.amount);
  return true;
}

void
world_take_over (struct ColtWorld *world, int zone, int server, int instance)
{
  struct ColtWorldZone *entry = &world->zones[zone];
  struct ColtWorldInstance *taker = &entry->instances[instance];
  struct ColtWorldServer *target = &entry->servers[server];
  guint i;

  if (!taker->alive || target->owner == instance || taker->unnoticed[server])
    return;
  if (target->owner >= 0)
    entry->instances[target->owner].unnoticed[server] = true;
  target->owner = instance;
  taker->held[server] = ++target->epoch;
  for (i = 0; i < target->tasks->len; i++)
    {
      const struct ColtWorldTask *task
          = &g_array_index (target->tasks, struct ColtWorldTask, i);

      colt_credit_holder_adopt (taker->holder, world->teams[task->team],
                                (uint32_t)server + 1, &task->amount);
    }
  colt_credit_holder_add_server (taker->holder, (uint32_t)server + 1,
                                 target->epoch);
}

/* Tells an instance of the servers that it has lost. */
void
world_notice (struct ColtWorld *world, int zone, int instance)
{
  struct ColtWorldInstance *owner = &world->zones[zone].instances[instance];
  int server;

  for (server = 0; owner->alive && server < WORLD_SERVERS; server++)
    if (owner->unnoticed[server])
      {
        owner->unnoticed[server] = false;
        colt_credit_holder_mark_server_lost (owner->holder,
                                             (uint32_t)server + 1);
      }
}

void
world_process_holder (struct ColtWorld *world, int zone, int instance)
{
  struct ColtWorldInstance *owner = &world->zones[zone].instances[instance];

  if (!owner->alive)
    return;
  world->sending_zone = zone;
  colt_credit_holder_process (owner->holder, world->now_us);
}

void
world_pass (struct ColtWorld *world, int64_t microseconds)
{
  world->now_us += microseconds;
}

int64_t
world_now (const struct ColtWorld *world)
{
  return world->now_us;
}

static void
name_teams_ (struct ColtWorld *world)
{
  uint32_t shard = 0;
  int found = 0;
  int i;

  for (i = 0; found < WORLD_TEAMS; i++)
    {
      g_snprintf (world->teams[found], COLT_NAME_SIZE, "team%d", i);
      if (found == 0)
        shard = colt_team_shard (world->teams[0]);
      found += colt_team_shard (world->teams[found]) == shard ? 1 : 0;
    }
}

static void
boot_ (struct ColtWorld *world,
       int zone,
       int instance,
       struct ColtEntitlements *fold,
       uint64_t floor)
{
  struct ColtWorldInstance *fresh = &world->zones[zone].instances[instance];

  memset (fresh, 0, sizeof *fresh);
  fresh->alive = true;
  fresh->owner = ++world->next_owner;
  fresh->fold = fold;
  fresh->holder = colt_credit_holder_create (fresh->owner, floor,
                                             world_send_report_, world);
}

static void
apply_ (struct ColtWorld *world, struct ColtEntitlements *fold, int record)
{
  const struct ColtWorldRecord *entry = &world->records[record];
  struct ColtQuotaTeam teams[WORLD_TEAMS];
  uint32_t zones[WORLD_ZONES];
  struct ColtQuotaBundle bundle = { zones, NULL, 0, teams, WORLD_TEAMS };
  int i;

  if (!entry->bundle)
    {
      colt_entitlements_apply_transfer (fold, (uint64_t)record + 1,
                                        &entry->transfer);
      return;
    }
  for (i = 0; i < WORLD_ZONES; i++)
    if (entry->zone_mask >> i & 1)
      zones[bundle.zone_count++] = (uint32_t)i + 1;
  for (i = 0; i < WORLD_TEAMS; i++)
    {
      memcpy (teams[i].team, world->teams[i], COLT_NAME_SIZE);
      teams[i].limit = entry->limits[i];
    }
  colt_entitlements_apply_bundle (fold, (uint64_t)record + 1, &bundle);
}

/* A new instance reads the log to its head. With the log out of reach it takes
 * the newest state of all zones, if it hears all of them. */
static bool
learn_ (struct ColtWorld *world,
        int zone,
        struct ColtEntitlements **fold,
        uint64_t *floor)
{
  const struct ColtEntitlements *newest = NULL;
  int z;
  int i;

  if (world->log_up && !world->zones[zone].cut)
    {
      *fold = colt_entitlements_create ();
      for (i = 0; i < world->record_count; i++)
        apply_ (world, *fold, i);
      *floor = (uint64_t)world->record_count;
      return true;
    }
  for (z = 0; z < WORLD_ZONES; z++)
    {
      bool heard = false;

      for (i = 0; i < WORLD_INSTANCES; i++)
        {
          const struct ColtWorldInstance *peer = &world->zones[z].instances[i];

          if (!peer->alive)
            continue;
          heard = true;
          if (newest == NULL
              || colt_entitlements_position (peer->fold)
                     > colt_entitlements_position (newest))
            newest = peer->fold;
        }
      if (world->zones[z].cut || (!heard && z != zone))
        return false;
    }
  if (newest == NULL)
    return false;
  *fold = copy_ (newest);
  *floor = colt_entitlements_position (newest);
  return true;
}

static struct ColtEntitlements *
copy_ (const struct ColtEntitlements *fold)
{
  size_t size;
  uint8_t *bytes = colt_entitlements_pack (fold, &size);
  struct ColtEntitlements *copy = colt_entitlements_unpack (bytes, size, NULL);

  g_assert (copy != NULL);
  free (bytes);
  return copy;
}
