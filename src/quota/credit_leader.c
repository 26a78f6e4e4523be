#include <assert.h>
#include <string.h>

#include "coltsfootstile/guard.h"
#include "credit_leader_private.h"
#include "entitlement_private.h"

static void destroy_team_ (gpointer data);
static void destroy_owner_ (gpointer data);
static struct ColtCreditOwner *
find_owner_ (const struct ColtCreditLeader *leader, uint64_t id);
static struct ColtCreditTeam *add_team_ (struct ColtCreditLeader *leader,
                                         const char *name);
static struct ColtCreditEntry *find_entry_ (const struct ColtCreditTeam *team,
                                            uint64_t owner);
static struct ColtCreditEntry *add_entry_ (struct ColtCreditTeam *team,
                                           uint64_t owner);
static void remove_entries_ (struct ColtCreditLeader *leader, uint64_t owner);
static void apply_state_ (struct ColtCreditLeader *leader,
                          const struct ColtCreditReport *report,
                          const struct ColtCreditState *state);
static void record_server_ (struct ColtCreditLeader *leader,
                            const struct ColtServerEpoch *held);
static void collect_settled_ (struct ColtCreditLeader *leader,
                              struct ColtCreditOwner *owner,
                              const struct ColtCreditReport *report);
static void update_state_ (struct ColtCreditLeader *leader);
static bool is_busy_ (const struct ColtCreditLeader *leader);
static bool is_team_busy_ (const struct ColtCreditTeam *team);
static void
divide_teams_ (struct ColtCreditLeader *leader, int64_t now_us, bool all);
static void publish_compliance_ (struct ColtCreditLeader *leader);
static bool have_all_promised_ (const struct ColtCreditLeader *leader,
                                uint64_t offset);
static void list_exceptions_ (const struct ColtCreditLeader *leader,
                              struct ColtCompliance *compliance);
static bool exceeds_usable_ (const struct ColtCreditLeader *leader,
                             const struct ColtCreditTeam *team);

const char *const colt_credit_leader_state_string[]
    = { "recount", "behind", "active" };

struct ColtCreditLeader *
colt_credit_leader_create (uint32_t zone,
                           uint32_t shard,
                           uint64_t epoch,
                           struct ColtEntitlements *entitlements,
                           ColtCreditGrantFunc send,
                           void *context)
{
  struct ColtCreditLeader *leader = g_new0 (struct ColtCreditLeader, 1);

  assert (zone >= 1 && zone <= COLT_ZONE_MAX && shard < COLT_SHARD_COUNT);
  leader->zone = zone;
  leader->shard = shard;
  leader->epoch = epoch;
  leader->entitlements = entitlements;
  leader->send = send;
  leader->busy = true;
  leader->context = context;
  leader->owners = g_ptr_array_new_with_free_func (destroy_owner_);
  leader->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_team_);
  leader->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return leader;
}

void
colt_credit_leader_destroy (struct ColtCreditLeader *leader)
{
  if (leader == NULL)
    return;
  g_ptr_array_unref (leader->owners);
  g_hash_table_unref (leader->teams);
  g_hash_table_unref (leader->servers);
  g_free (leader);
}

void
colt_credit_leader_add_owner (struct ColtCreditLeader *leader, uint64_t owner)
{
  struct ColtCreditOwner *entry;

  assert (owner != 0);
  if (find_owner_ (leader, owner) != NULL)
    return;
  entry = g_new0 (struct ColtCreditOwner, 1);
  entry->id = owner;
  entry->acks = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  entry->settled = g_array_new (FALSE, TRUE, sizeof (struct ColtServerEpoch));
  g_ptr_array_add (leader->owners, entry);
  leader->busy = true;
  update_state_ (leader);
}

void
colt_credit_leader_remove_owner (struct ColtCreditLeader *leader,
                                 uint64_t owner)
{
  struct ColtCreditOwner *entry = find_owner_ (leader, owner);

  if (entry == NULL)
    return;
  remove_entries_ (leader, owner);
  g_ptr_array_remove_fast (leader->owners, entry);
  leader->busy = true;
  update_state_ (leader);
}

bool
colt_credit_leader_counts_server (const struct ColtCreditLeader *leader,
                                  uint32_t server,
                                  uint64_t epoch)
{
  const struct ColtServerEpoch *held
      = g_hash_table_lookup (leader->servers, GUINT_TO_POINTER (server));

  return held != NULL && held->epoch > epoch;
}

bool
colt_credit_leader_handle_report (struct ColtCreditLeader *leader,
                                  const struct ColtCreditReport *report,
                                  struct ColtError *error)
{
  struct ColtCreditOwner *owner = find_owner_ (leader, report->owner);
  size_t i;

  if (report->shard != leader->shard || report->epoch != leader->epoch)
    return colt_error_set (
        error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
        "the credit report has another shard or shard epoch");
  if (owner == NULL)
    return colt_error_set (error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                           "the credit report is from an unknown owner");
  if (!owner->reconciled && !report->full)
    return true;
  for (i = 0; i < report->state_count; i++)
    apply_state_ (leader, report, &report->states[i]);
  for (i = 0; i < report->held_count; i++)
    record_server_ (leader, &report->held[i]);
  collect_settled_ (leader, owner, report);
  if (!owner->reconciled)
    leader->earlier_max = MAX (leader->earlier_max, report->promise);
  owner->promise = MAX (owner->promise, report->promise);
  owner->reconciled = true;
  leader->busy = true;
  g_array_append_val (owner->acks, report->sequence);
  update_state_ (leader);
  return true;
}

void
colt_credit_leader_process (struct ColtCreditLeader *leader, int64_t now_us)
{
  uint64_t offset = colt_entitlements_shard_last_change (leader->entitlements,
                                                         leader->shard);
  uint64_t version
      = colt_entitlement_shard_version_ (leader->entitlements, leader->shard);

  if (!leader->busy && leader->decided_offset == offset
      && leader->decided_version == version)
    return;
  update_state_ (leader);
  if (leader->state == COLT_CREDIT_LEADER_ACTIVE)
    {
      divide_teams_ (leader, now_us,
                     leader->decided_offset != offset
                         || leader->decided_version != version);
      publish_compliance_ (leader);
    }
  colt_credit_leader_send_grants_ (leader, now_us);
  leader->decided_offset = offset;
  leader->decided_version = version;
  leader->busy = is_busy_ (leader);
}

void
colt_credit_leader_get_info (const struct ColtCreditLeader *leader,
                             struct ColtCreditLeaderInfo *info)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  memset (info, 0, sizeof *info);
  info->state = leader->state;
  info->shard = leader->shard;
  info->epoch = leader->epoch;
  info->complied = leader->complied;
  info->owners = leader->owners->len;
  for (i = 0; i < leader->owners->len; i++)
    {
      const struct ColtCreditOwner *owner = leader->owners->pdata[i];

      info->owners_missing += owner->reconciled ? 0 : 1;
    }
  info->teams = g_hash_table_size (leader->teams);
  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    info->teams_over += exceeds_usable_ (leader, value) ? 1 : 0;
}

void
colt_credit_leader_get_counted (const struct ColtCreditLeader *leader,
                                const char *team,
                                struct ColtQuotaAmount *counted)
{
  const struct ColtCreditTeam *found
      = g_hash_table_lookup (leader->teams, team);

  memset (counted, 0, sizeof *counted);
  if (found != NULL)
    colt_credit_team_get_counted_ (found, counted);
}

struct ColtDemand *
colt_credit_leader_list_demands (const struct ColtCreditLeader *leader,
                                 size_t *count)
{
  size_t size = g_hash_table_size (leader->teams);
  struct ColtDemand *demands;
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  if (size == 0)
    return NULL;
  demands = g_new0 (struct ColtDemand, size);
  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtCreditTeam *team = value;
      struct ColtDemand *demand = &demands[(*count)++];
      size_t i;

      g_strlcpy (demand->team, team->name, sizeof demand->team);
      for (i = 0; i < team->entries->len; i++)
        {
          const struct ColtCreditEntry *entry
              = &g_array_index (team->entries, struct ColtCreditEntry, i);

          colt_quota_add (&demand->running, &entry->running);
          demand->waiting += entry->waiting;
          if (entry->waiting > 0)
            colt_quota_raise (&demand->unit, &entry->unit);
        }
    }
  return demands;
}

static void
destroy_team_ (gpointer data)
{
  struct ColtCreditTeam *team = data;

  g_array_unref (team->entries);
  g_free (team);
}

static void
destroy_owner_ (gpointer data)
{
  struct ColtCreditOwner *owner = data;

  g_array_unref (owner->acks);
  g_array_unref (owner->settled);
  g_free (owner);
}

static struct ColtCreditOwner *
find_owner_ (const struct ColtCreditLeader *leader, uint64_t id)
{
  size_t i;

  for (i = 0; i < leader->owners->len; i++)
    {
      struct ColtCreditOwner *owner = leader->owners->pdata[i];

      if (owner->id == id)
        return owner;
    }
  return NULL;
}

static struct ColtCreditTeam *
add_team_ (struct ColtCreditLeader *leader, const char *name)
{
  struct ColtCreditTeam *team = g_hash_table_lookup (leader->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct ColtCreditTeam, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->entries = g_array_new (FALSE, TRUE, sizeof (struct ColtCreditEntry));
  g_hash_table_insert (leader->teams, team->name, team);
  return team;
}

static struct ColtCreditEntry *
find_entry_ (const struct ColtCreditTeam *team, uint64_t owner)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      struct ColtCreditEntry *entry
          = &g_array_index (team->entries, struct ColtCreditEntry, i);

      if (entry->owner == owner)
        return entry;
    }
  return NULL;
}

static struct ColtCreditEntry *
add_entry_ (struct ColtCreditTeam *team, uint64_t owner)
{
  struct ColtCreditEntry *entry = find_entry_ (team, owner);
  struct ColtCreditEntry fresh = { 0 };
  int i;

  if (entry != NULL)
    return entry;
  fresh.owner = owner;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    fresh.fair_share.amount[i] = COLT_QUOTA_UNLIMITED;
  g_array_append_val (team->entries, fresh);
  return find_entry_ (team, owner);
}

static void
remove_entries_ (struct ColtCreditLeader *leader, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtCreditTeam *team = value;
      size_t i;

      team->dirty = true;
      for (i = 0; i < team->entries->len; i++)
        if (g_array_index (team->entries, struct ColtCreditEntry, i).owner
            == owner)
          g_array_remove_index_fast (team->entries, i--);
    }
}

static void
apply_state_ (struct ColtCreditLeader *leader,
              const struct ColtCreditReport *report,
              const struct ColtCreditState *state)
{
  struct ColtCreditTeam *team = add_team_ (leader, state->team);
  struct ColtCreditEntry *entry = add_entry_ (team, report->owner);

  if (report->sequence <= entry->report_sequence)
    return;
  team->dirty = true;
  entry->report_sequence = report->sequence;
  entry->running = state->running;
  entry->lost = state->lost;
  entry->unit = state->unit;
  entry->waiting = state->waiting;
  entry->applied_sequence = state->sequence;
  leader->sequence = MAX (leader->sequence, state->sequence);
  if (entry->sequence == 0)
    entry->first_sequence = entry->sequence = state->sequence;
  if (state->sequence < entry->first_sequence)
    return;
  entry->unsent = false;
  entry->peak = entry->ceiling;
  if (state->sequence == entry->sequence)
    entry->peak = entry->ceiling = state->ceiling;
  else if (!colt_quota_equal (&state->ceiling, &entry->ceiling))
    colt_credit_entry_set_ceiling_ (entry, &state->ceiling, &leader->sequence);
}

static void
record_server_ (struct ColtCreditLeader *leader,
                const struct ColtServerEpoch *held)
{
  gpointer key = GUINT_TO_POINTER (held->server);
  struct ColtServerEpoch *recorded = g_hash_table_lookup (leader->servers, key);

  if (recorded == NULL)
    {
      recorded = g_new0 (struct ColtServerEpoch, 1);
      recorded->server = held->server;
      g_hash_table_insert (leader->servers, key, recorded);
    }
  recorded->epoch = MAX (recorded->epoch, held->epoch);
}

static void
collect_settled_ (struct ColtCreditLeader *leader,
                  struct ColtCreditOwner *owner,
                  const struct ColtCreditReport *report)
{
  size_t i;

  for (i = 0; i < report->lost_count; i++)
    {
      const struct ColtServerEpoch *lost = &report->lost[i];
      const struct ColtServerEpoch *held = g_hash_table_lookup (
          leader->servers, GUINT_TO_POINTER (lost->server));

      if (held != NULL && held->epoch > lost->epoch)
        g_array_append_val (owner->settled, *held);
    }
}

static void
update_state_ (struct ColtCreditLeader *leader)
{
  uint64_t needed = colt_entitlements_shard_complied_offset (
      leader->entitlements, leader->zone, leader->shard);
  bool missing = false;
  size_t i;

  for (i = 0; i < leader->owners->len; i++)
    {
      const struct ColtCreditOwner *owner = leader->owners->pdata[i];

      missing = missing || !owner->reconciled;
      needed = MAX (needed, owner->promise);
    }
  if (missing)
    leader->state = COLT_CREDIT_LEADER_RECONCILING;
  else if (colt_entitlements_position (leader->entitlements) < needed
           && colt_guard_on (COLT_GUARD_COMPLIANCE))
    leader->state = COLT_CREDIT_LEADER_BEHIND;
  else
    leader->state = COLT_CREDIT_LEADER_ACTIVE;
}

static bool
is_busy_ (const struct ColtCreditLeader *leader)
{
  uint64_t offset = colt_entitlements_shard_last_change (leader->entitlements,
                                                         leader->shard);
  GHashTableIter iter;
  gpointer value;

  if (leader->state != COLT_CREDIT_LEADER_ACTIVE
      || !have_all_promised_ (leader, offset))
    return true;
  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_team_busy_ (value))
      return true;
  return false;
}

/* Returns whether tasks wait, a ceiling was not applied yet or the team counts
 * above what the zone may use. */
static bool
is_team_busy_ (const struct ColtCreditTeam *team)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      const struct ColtCreditEntry *entry
          = &g_array_index (team->entries, struct ColtCreditEntry, i);

      if (entry->waiting > 0 || entry->applied_sequence < entry->first_sequence)
        return true;
    }
  return team->over_usable;
}

static void
divide_teams_ (struct ColtCreditLeader *leader, int64_t now_us, bool all)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtCreditTeam *team = value;
      struct ColtQuotaAmount usable;

      if (!all && colt_credit_team_is_current_ (team, now_us))
        continue;
      colt_entitlements_get_usable (leader->entitlements, team->name,
                                    leader->zone, &usable);
      colt_credit_team_divide_ (team, &usable, now_us, &leader->sequence);
      colt_credit_team_drop_unused_ (team);
      if (team->entries->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

/* States that the zone complies with the shard's last change, once every owner
 * has promised to apply no credits computed at a lower offset. Teams that
 * still count above the least entitlement are exceptions. */
static void
publish_compliance_ (struct ColtCreditLeader *leader)
{
  uint64_t offset = colt_entitlements_shard_last_change (leader->entitlements,
                                                         leader->shard);
  struct ColtCompliance compliance = { 0 };

  if (offset == 0 || (leader->complied >= offset && leader->excepted_teams == 0)
      || (colt_guard_on (COLT_GUARD_COMPLIANCE)
          && !have_all_promised_ (leader, offset)))
    return;
  compliance.zone = leader->zone;
  compliance.shard = leader->shard;
  compliance.offset = offset;
  if (colt_guard_on (COLT_GUARD_COMPLIANCE))
    list_exceptions_ (leader, &compliance);
  colt_entitlements_merge_compliance (leader->entitlements, &compliance);
  leader->complied = offset;
  leader->excepted_teams = compliance.exception_count;
  g_free (compliance.exceptions);
}

static bool
have_all_promised_ (const struct ColtCreditLeader *leader, uint64_t offset)
{
  size_t i;

  for (i = 0; i < leader->owners->len; i++)
    {
      const struct ColtCreditOwner *owner = leader->owners->pdata[i];

      if (owner->promise < offset)
        return false;
    }
  return true;
}

static void
list_exceptions_ (const struct ColtCreditLeader *leader,
                  struct ColtCompliance *compliance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtCreditTeam *team = value;
      struct ColtComplianceException *exception;

      if (!exceeds_usable_ (leader, team))
        continue;
      if (compliance->exceptions == NULL)
        compliance->exceptions = g_new0 (struct ColtComplianceException,
                                         g_hash_table_size (leader->teams));
      exception = &compliance->exceptions[compliance->exception_count++];
      g_strlcpy (exception->team, team->name, sizeof exception->team);
      exception->offset = colt_entitlements_complied_offset (
          leader->entitlements, leader->zone, team->name);
      exception->highest = MAX (exception->offset, leader->earlier_max);
      exception->highest = MIN (exception->highest, compliance->offset);
    }
}

static bool
exceeds_usable_ (const struct ColtCreditLeader *leader,
                 const struct ColtCreditTeam *team)
{
  struct ColtQuotaAmount usable;
  struct ColtQuotaAmount counted;

  colt_entitlements_get_usable (leader->entitlements, team->name, leader->zone,
                                &usable);
  colt_credit_team_get_counted_ (team, &counted);
  return !colt_quota_is_within (&counted, &usable);
}
