#include "simulation_private.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_EPOCH 1

static void name_teams_ (struct ColtQuotaSim *sim);
static void init_instance_ (struct ColtQuotaSim *sim,
                            int zone,
                            int instance,
                            struct ColtEntitlements *fold,
                            uint64_t promise);
static void apply_record_ (struct ColtQuotaSim *sim,
                           struct ColtEntitlements *fold,
                           int record);
static bool read_initial_state_ (struct ColtQuotaSim *sim,
                                 int zone,
                                 struct ColtEntitlements **fold,
                                 uint64_t *promise);
static struct ColtEntitlements *
copy_fold_ (const struct ColtEntitlements *fold);

struct ColtQuotaSim *
sim_create (void)
{
  struct ColtQuotaSim *sim = g_new0 (struct ColtQuotaSim, 1);
  int zone;
  int i;

  name_teams_ (sim);
  sim->log_up = true;
  sim->messages
      = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaSimMessage));
  g_array_set_clear_func (sim->messages, sim_free_message_);
  sim->delayed = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaSimMessage));
  g_array_set_clear_func (sim->delayed, sim_free_message_);
  sim->reference = colt_entitlements_create ();
  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      struct ColtQuotaSimZone *entry = &sim->zones[zone];

      entry->epoch = FIRST_EPOCH;
      entry->killed_owners
          = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaSimKilledOwner));
      for (i = 0; i < SIM_SERVERS; i++)
        {
          entry->servers[i].owner = -1;
          entry->servers[i].tasks
              = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaSimTask));
        }
      for (i = 0; i < SIM_INSTANCES; i++)
        init_instance_ (sim, zone, i, colt_entitlements_create (), 0);
      for (i = 0; i < SIM_SERVERS; i++)
        sim_take_over_server (sim, zone, i, i % SIM_INSTANCES);
    }
  return sim;
}

void
sim_destroy (struct ColtQuotaSim *sim)
{
  int zone;
  int i;

  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      struct ColtQuotaSimZone *entry = &sim->zones[zone];

      for (i = 0; i < SIM_LEADERS; i++)
        sim_remove_leader (sim, zone, i);
      for (i = 0; i < SIM_INSTANCES; i++)
        {
          colt_credit_holder_destroy (entry->instances[i].holder);
          colt_entitlements_destroy (entry->instances[i].fold);
        }
      for (i = 0; i < SIM_SERVERS; i++)
        g_array_unref (entry->servers[i].tasks);
      g_array_unref (entry->killed_owners);
    }
  colt_entitlements_destroy (sim->reference);
  g_array_unref (sim->messages);
  g_array_unref (sim->delayed);
  g_free (sim);
}

const char *
sim_team_name (const struct ColtQuotaSim *sim, int team)
{
  return sim->teams[team];
}

bool
sim_append_bundle (struct ColtQuotaSim *sim,
                   const struct ColtQuotaAmount limits[SIM_TEAMS],
                   unsigned zone_mask)
{
  struct ColtQuotaSimRecord *record;

  if (!sim->log_up || sim->record_count == SIM_RECORDS_MAX)
    return false;
  record = &sim->records[sim->record_count++];
  record->bundle = true;
  record->zone_mask = zone_mask;
  memcpy (record->limits, limits, sizeof record->limits);
  apply_record_ (sim, sim->reference, sim->record_count - 1);
  return true;
}

bool
sim_append_transfer (struct ColtQuotaSim *sim,
                     int team,
                     uint32_t from,
                     uint32_t to,
                     const struct ColtQuotaAmount *amount)
{
  struct ColtQuotaSimRecord *record;

  if (!sim->log_up || sim->record_count == SIM_RECORDS_MAX)
    return false;
  record = &sim->records[sim->record_count++];
  record->transfer.id.bytes[0] = (uint8_t)sim->record_count;
  record->transfer.base = 0;
  record->transfer.moves = &record->move;
  record->transfer.move_count = 1;
  g_strlcpy (record->move.team, sim->teams[team], sizeof record->move.team);
  record->move.from = from;
  record->move.to = to;
  record->move.amount = *amount;
  apply_record_ (sim, sim->reference, sim->record_count - 1);
  return true;
}

bool
sim_append_duplicate (struct ColtQuotaSim *sim, int record)
{
  if (!sim->log_up || sim->record_count == SIM_RECORDS_MAX
      || record >= sim->record_count)
    return false;
  sim->records[sim->record_count] = sim->records[record];
  if (!sim->records[record].bundle)
    sim->records[sim->record_count].transfer.moves
        = &sim->records[sim->record_count].move;
  sim->record_count++;
  apply_record_ (sim, sim->reference, sim->record_count - 1);
  return true;
}

int
sim_record_count (const struct ColtQuotaSim *sim)
{
  return sim->record_count;
}

void
sim_set_log_up (struct ColtQuotaSim *sim, bool up)
{
  sim->log_up = up;
}

bool
sim_read_record (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtQuotaSimInstance *reader = &sim->zones[zone].instances[instance];
  uint64_t position;

  if (!reader->alive || !sim->log_up || sim->zones[zone].isolated)
    return false;
  position = colt_entitlements_position (reader->fold);
  if (position >= (uint64_t)sim->record_count)
    return false;
  apply_record_ (sim, reader->fold, (int)position);
  return true;
}

void
sim_kill_instance (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtQuotaSimZone *entry = &sim->zones[zone];
  struct ColtQuotaSimInstance *state = &entry->instances[instance];
  struct ColtQuotaSimKilledOwner killed;
  int i;

  if (!state->alive)
    return;
  for (i = 0; i < SIM_LEADERS; i++)
    if (entry->leaders[i].leader != NULL
        && entry->leaders[i].instance == instance)
      sim_remove_leader (sim, zone, i);
  killed.owner = state->owner;
  memcpy (killed.owned_epoch, state->owned_epoch, sizeof killed.owned_epoch);
  g_array_append_val (entry->killed_owners, killed);
  for (i = 0; i < SIM_SERVERS; i++)
    if (entry->servers[i].owner == instance)
      entry->servers[i].owner = -1;
  colt_credit_holder_destroy (state->holder);
  colt_entitlements_destroy (state->fold);
  memset (state, 0, sizeof *state);
}

void
sim_start_instance (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtEntitlements *fold;
  uint64_t promise;
  int i;

  if (sim->zones[zone].instances[instance].alive
      || !read_initial_state_ (sim, zone, &fold, &promise))
    return;
  init_instance_ (sim, zone, instance, fold, promise);
  for (i = 0; i < SIM_LEADERS; i++)
    if (sim->zones[zone].leaders[i].leader != NULL)
      colt_credit_leader_add_owner (sim->zones[zone].leaders[i].leader,
                                    sim->zones[zone].instances[instance].owner);
}

void
sim_set_paused (struct ColtQuotaSim *sim, int zone, int instance, bool paused)
{
  sim->zones[zone].instances[instance].paused = paused;
}

void
sim_set_isolated (struct ColtQuotaSim *sim, int zone, bool isolated)
{
  sim->zones[zone].isolated = isolated;
}

void
sim_gossip_compliance (struct ColtQuotaSim *sim,
                       int from_zone,
                       int from,
                       int to_zone,
                       int to)
{
  const struct ColtQuotaSimInstance *sender
      = &sim->zones[from_zone].instances[from];
  struct ColtQuotaSimInstance *receiver = &sim->zones[to_zone].instances[to];
  struct ColtComplianceVector *vector;
  struct ColtComplianceVector *unpacked;
  uint8_t *bytes;
  size_t size;
  size_t i;

  if (!sender->alive || !receiver->alive || sender == receiver)
    return;
  if (from_zone != to_zone
      && (sim->zones[from_zone].isolated || sim->zones[to_zone].isolated))
    return;
  vector = colt_entitlements_list_compliance (sender->fold, 0);
  bytes = colt_compliance_vector_pack (vector, &size);
  unpacked = colt_compliance_vector_unpack (bytes, size, NULL);
  g_assert (unpacked != NULL);
  for (i = 0; i < unpacked->entry_count; i++)
    colt_entitlements_merge_compliance (receiver->fold, &unpacked->entries[i]);
  free (bytes);
  colt_compliance_vector_destroy (vector);
  colt_compliance_vector_destroy (unpacked);
}

struct ColtEntitlements *
sim_fold (struct ColtQuotaSim *sim, int zone, int instance)
{
  return sim->zones[zone].instances[instance].fold;
}

struct ColtCreditHolder *
sim_holder (struct ColtQuotaSim *sim, int zone, int instance)
{
  return sim->zones[zone].instances[instance].holder;
}

/* A leader counts the tasks of every server, so each server needs an owner that
 * is alive. */
void
sim_elect_leader (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtQuotaSimZone *entry = &sim->zones[zone];
  struct ColtQuotaSimLeader *slot = NULL;
  int i;

  if (!entry->instances[instance].alive)
    return;
  for (i = 0; i < SIM_SERVERS; i++)
    if (entry->servers[i].owner < 0)
      return;
  for (i = 0; i < SIM_LEADERS; i++)
    if (entry->leaders[i].leader == NULL)
      slot = &entry->leaders[i];
  if (slot == NULL)
    return;
  slot->epoch = entry->epoch++;
  slot->instance = instance;
  slot->leader = colt_credit_leader_create (
      (uint32_t)zone + 1, colt_team_shard (sim->teams[0]), slot->epoch,
      entry->instances[instance].fold, sim_send_grant_, sim);
  for (i = 0; i < SIM_INSTANCES; i++)
    if (entry->instances[i].alive)
      colt_credit_leader_add_owner (slot->leader, entry->instances[i].owner);
}

void
sim_remove_leader (struct ColtQuotaSim *sim, int zone, int leader)
{
  struct ColtQuotaSimLeader *slot = &sim->zones[zone].leaders[leader];

  colt_credit_leader_destroy (slot->leader);
  memset (slot, 0, sizeof *slot);
}

void
sim_process_leader (struct ColtQuotaSim *sim, int zone, int leader)
{
  struct ColtQuotaSimLeader *slot = &sim->zones[zone].leaders[leader];

  if (slot->leader == NULL)
    return;
  sim->sending_zone = zone;
  colt_credit_leader_process (slot->leader, sim->now_us);
  sim_update_complied_ (sim);
}

void
sim_remove_killed_owners (struct ColtQuotaSim *sim, int zone, int leader)
{
  struct ColtQuotaSimZone *entry = &sim->zones[zone];
  struct ColtCreditLeader *credit_leader = entry->leaders[leader].leader;
  size_t i;
  int server;

  if (credit_leader == NULL)
    return;
  for (i = 0; i < entry->killed_owners->len; i++)
    {
      const struct ColtQuotaSimKilledOwner *killed = &g_array_index (
          entry->killed_owners, struct ColtQuotaSimKilledOwner, i);
      bool counted = true;

      for (server = 0; server < SIM_SERVERS; server++)
        if (killed->owned_epoch[server] > 0
            && !colt_credit_leader_counts_server (credit_leader,
                                                  (uint32_t)server + 1,
                                                  killed->owned_epoch[server]))
          counted = false;
      if (counted)
        colt_credit_leader_remove_owner (credit_leader, killed->owner);
    }
}

const struct ColtCreditLeader *
sim_leader (const struct ColtQuotaSim *sim, int zone, int leader)
{
  return sim->zones[zone].leaders[leader].leader;
}

void
sim_set_waiting (struct ColtQuotaSim *sim,
                 int zone,
                 int instance,
                 int team,
                 int n)
{
  const struct ColtQuotaAmount unit = { { 1, 1, 0 } };
  struct ColtQuotaSimInstance *owner = &sim->zones[zone].instances[instance];

  if (owner->alive)
    colt_credit_holder_set_waiting (owner->holder, sim->teams[team], n, &unit);
}

bool
sim_start_task (struct ColtQuotaSim *sim,
                int zone,
                int instance,
                int server,
                int team,
                int64_t cores)
{
  struct ColtQuotaSimInstance *owner = &sim->zones[zone].instances[instance];
  struct ColtQuotaSimServer *target = &sim->zones[zone].servers[server];
  struct ColtQuotaSimTask task = { team, { { 1, cores, 0 } } };

  if (!owner->alive || owner->owned_epoch[server] == 0)
    return false;
  if (!colt_credit_holder_acquire (owner->holder, sim->teams[team],
                                   (uint32_t)server + 1, &task.amount))
    return false;
  if (target->owner != instance)
    {
      colt_credit_holder_release (owner->holder, sim->teams[team],
                                  (uint32_t)server + 1, &task.amount);
      return false;
    }
  g_array_append_val (target->tasks, task);
  sim_check_limit_ (sim, team);
  return true;
}

bool
sim_end_task (struct ColtQuotaSim *sim, int zone, int server, int index)
{
  struct ColtQuotaSimServer *target = &sim->zones[zone].servers[server];
  struct ColtQuotaSimTask task;

  if (index >= (int)target->tasks->len)
    return false;
  task = g_array_index (target->tasks, struct ColtQuotaSimTask, index);
  g_array_remove_index (target->tasks, (guint)index);
  if (target->owner >= 0)
    colt_credit_holder_release (
        sim->zones[zone].instances[target->owner].holder, sim->teams[task.team],
        (uint32_t)server + 1, &task.amount);
  return true;
}

void
sim_take_over_server (struct ColtQuotaSim *sim,
                      int zone,
                      int server,
                      int instance)
{
  struct ColtQuotaSimZone *entry = &sim->zones[zone];
  struct ColtQuotaSimInstance *new_owner = &entry->instances[instance];
  struct ColtQuotaSimServer *target = &entry->servers[server];
  guint i;

  if (!new_owner->alive || target->owner == instance
      || new_owner->unmarked_loss[server])
    return;
  if (target->owner >= 0)
    entry->instances[target->owner].unmarked_loss[server] = true;
  target->owner = instance;
  new_owner->owned_epoch[server] = ++target->epoch;
  for (i = 0; i < target->tasks->len; i++)
    {
      const struct ColtQuotaSimTask *task
          = &g_array_index (target->tasks, struct ColtQuotaSimTask, i);

      colt_credit_holder_adopt (new_owner->holder, sim->teams[task->team],
                                (uint32_t)server + 1, &task->amount);
    }
  colt_credit_holder_add_server (new_owner->holder, (uint32_t)server + 1,
                                 target->epoch);
}

void
sim_mark_lost_servers (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtQuotaSimInstance *owner = &sim->zones[zone].instances[instance];
  int server;

  for (server = 0; owner->alive && server < SIM_SERVERS; server++)
    if (owner->unmarked_loss[server])
      {
        owner->unmarked_loss[server] = false;
        colt_credit_holder_mark_server_lost (owner->holder,
                                             (uint32_t)server + 1);
      }
}

void
sim_process_holder (struct ColtQuotaSim *sim, int zone, int instance)
{
  struct ColtQuotaSimInstance *owner = &sim->zones[zone].instances[instance];

  if (!owner->alive)
    return;
  sim->sending_zone = zone;
  colt_credit_holder_process (owner->holder, sim->now_us);
}

void
sim_advance_clock (struct ColtQuotaSim *sim, int64_t duration_us)
{
  sim->now_us += duration_us;
}

int64_t
sim_now_us (const struct ColtQuotaSim *sim)
{
  return sim->now_us;
}

/* Chooses names that belong to one shard. */
static void
name_teams_ (struct ColtQuotaSim *sim)
{
  uint32_t shard = 0;
  int found = 0;
  int i;

  for (i = 0; found < SIM_TEAMS; i++)
    {
      g_snprintf (sim->teams[found], COLT_NAME_SIZE, "team%d", i);
      if (found == 0)
        shard = colt_team_shard (sim->teams[0]);
      found += colt_team_shard (sim->teams[found]) == shard ? 1 : 0;
    }
}

static void
init_instance_ (struct ColtQuotaSim *sim,
                int zone,
                int instance,
                struct ColtEntitlements *fold,
                uint64_t promise)
{
  struct ColtQuotaSimInstance *started = &sim->zones[zone].instances[instance];

  memset (started, 0, sizeof *started);
  started->alive = true;
  started->owner = ++sim->last_owner;
  started->fold = fold;
  started->holder = colt_credit_holder_create (started->owner, promise,
                                               sim_send_report_, sim);
}

static void
apply_record_ (struct ColtQuotaSim *sim,
               struct ColtEntitlements *fold,
               int record)
{
  const struct ColtQuotaSimRecord *entry = &sim->records[record];
  struct ColtQuotaTeam teams[SIM_TEAMS];
  uint32_t zones[SIM_ZONES];
  struct ColtQuotaBundle bundle = { zones, NULL, 0, teams, SIM_TEAMS };
  int i;

  if (!entry->bundle)
    {
      colt_entitlements_apply_transfer (fold, (uint64_t)record + 1,
                                        &entry->transfer);
      return;
    }
  for (i = 0; i < SIM_ZONES; i++)
    if (entry->zone_mask >> i & 1)
      zones[bundle.zone_count++] = (uint32_t)i + 1;
  for (i = 0; i < SIM_TEAMS; i++)
    {
      memcpy (teams[i].team, sim->teams[i], COLT_NAME_SIZE);
      teams[i].limit = entry->limits[i];
    }
  colt_entitlements_apply_bundle (fold, (uint64_t)record + 1, &bundle);
}

/* Gets the fold of a new instance and its initial promise. The instance reads
 * the log to its head. If it can't reach the log, it copies the newest fold of
 * all zones, provided that it can reach an instance of every other zone. */
static bool
read_initial_state_ (struct ColtQuotaSim *sim,
                     int zone,
                     struct ColtEntitlements **fold,
                     uint64_t *promise)
{
  const struct ColtEntitlements *newest = NULL;
  int z;
  int i;

  if (sim->log_up && !sim->zones[zone].isolated)
    {
      *fold = colt_entitlements_create ();
      for (i = 0; i < sim->record_count; i++)
        apply_record_ (sim, *fold, i);
      *promise = (uint64_t)sim->record_count;
      return true;
    }
  for (z = 0; z < SIM_ZONES; z++)
    {
      bool reachable = false;

      for (i = 0; i < SIM_INSTANCES; i++)
        {
          const struct ColtQuotaSimInstance *peer = &sim->zones[z].instances[i];

          if (!peer->alive)
            continue;
          reachable = true;
          if (newest == NULL
              || colt_entitlements_position (peer->fold)
                     > colt_entitlements_position (newest))
            newest = peer->fold;
        }
      if (sim->zones[z].isolated || (!reachable && z != zone))
        return false;
    }
  if (newest == NULL)
    return false;
  *fold = copy_fold_ (newest);
  *promise = colt_entitlements_position (newest);
  return true;
}

static struct ColtEntitlements *
copy_fold_ (const struct ColtEntitlements *fold)
{
  size_t size;
  uint8_t *bytes = colt_entitlements_pack (fold, &size);
  struct ColtEntitlements *copy = colt_entitlements_unpack (bytes, size, NULL);

  g_assert (copy != NULL);
  free (bytes);
  return copy;
}
