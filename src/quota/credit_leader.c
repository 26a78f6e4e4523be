#include <assert.h>
#include <string.h>

#include "coltsfootstile/guard.h"
#include "credit_leader_private.h"
#include "entitlement_private.h"

static void destroy_team_ (gpointer data);
static void destroy_owner_ (gpointer data);
static struct ColtLeadOwner *find_owner_ (const struct ColtCreditLead *lead,
                                          uint64_t id);
static struct ColtLeadTeam *add_team_ (struct ColtCreditLead *lead,
                                       const char *name);
static struct ColtLeadEntry *find_entry_ (const struct ColtLeadTeam *team,
                                          uint64_t owner);
static struct ColtLeadEntry *add_entry_ (struct ColtLeadTeam *team,
                                         uint64_t owner);
static void remove_entries_ (struct ColtCreditLead *lead, uint64_t owner);
static void take_state_ (struct ColtCreditLead *lead,
                         const struct ColtCreditReport *report,
                         const struct ColtCreditState *state);
static void take_held_ (struct ColtCreditLead *lead,
                        const struct ColtServerEpoch *held);
static void answer_lost_ (struct ColtCreditLead *lead,
                          struct ColtLeadOwner *owner,
                          const struct ColtCreditReport *report);
static void update_state_ (struct ColtCreditLead *lead);
static bool is_busy_ (const struct ColtCreditLead *lead);
static bool is_team_busy_ (const struct ColtLeadTeam *team);
static void divide_ (struct ColtCreditLead *lead, int64_t now_us, bool all);
static void state_compliance_ (struct ColtCreditLead *lead);
static bool all_promised_ (const struct ColtCreditLead *lead, uint64_t offset);
static void list_over_ (const struct ColtCreditLead *lead,
                        struct ColtCompliance *compliance);
static bool is_over_ (const struct ColtCreditLead *lead,
                      const struct ColtLeadTeam *team);

const char *const colt_credit_lead_state_string[]
    = { "recount", "behind", "active" };

struct ColtCreditLead *
colt_credit_lead_create (uint32_t zone,
                         uint32_t shard,
                         uint64_t epoch,
                         struct ColtEntitlements *entitlements,
                         ColtCreditGrantFunc send,
                         void *context)
{
  struct ColtCreditLead *lead = g_new0 (struct ColtCreditLead, 1);

  assert (zone >= 1 && zone <= COLT_ZONE_MAX && shard < COLT_SHARD_COUNT);
  lead->zone = zone;
  lead->shard = shard;
  lead->epoch = epoch;
  lead->entitlements = entitlements;
  lead->send = send;
  lead->busy = true;
  lead->context = context;
  lead->owners = g_ptr_array_new_with_free_func (destroy_owner_);
  lead->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_team_);
  lead->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return lead;
}

void
colt_credit_lead_destroy (struct ColtCreditLead *lead)
{
  if (lead == NULL)
    return;
  g_ptr_array_unref (lead->owners);
  g_hash_table_unref (lead->teams);
  g_hash_table_unref (lead->servers);
  g_free (lead);
}

void
colt_credit_lead_add_owner (struct ColtCreditLead *lead, uint64_t owner)
{
  struct ColtLeadOwner *entry;

  assert (owner != 0);
  if (find_owner_ (lead, owner) != NULL)
    return;
  entry = g_new0 (struct ColtLeadOwner, 1);
  entry->id = owner;
  entry->acks = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  entry->settled = g_array_new (FALSE, TRUE, sizeof (struct ColtServerEpoch));
  g_ptr_array_add (lead->owners, entry);
  lead->busy = true;
  update_state_ (lead);
}

void
colt_credit_lead_remove_owner (struct ColtCreditLead *lead, uint64_t owner)
{
  struct ColtLeadOwner *entry = find_owner_ (lead, owner);

  if (entry == NULL)
    return;
  remove_entries_ (lead, owner);
  g_ptr_array_remove_fast (lead->owners, entry);
  lead->busy = true;
  update_state_ (lead);
}

bool
colt_credit_lead_counts_server (const struct ColtCreditLead *lead,
                                uint32_t server,
                                uint64_t epoch)
{
  const struct ColtServerEpoch *held
      = g_hash_table_lookup (lead->servers, GUINT_TO_POINTER (server));

  return held != NULL && held->epoch > epoch;
}

bool
colt_credit_lead_receive (struct ColtCreditLead *lead,
                          const struct ColtCreditReport *report,
                          struct ColtError *error)
{
  struct ColtLeadOwner *owner = find_owner_ (lead, report->owner);
  size_t i;

  if (report->shard != lead->shard || report->epoch != lead->epoch)
    return colt_error_set (error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
                           "the credit report is of another session");
  if (owner == NULL)
    return colt_error_set (error, COLT_ERROR_REFUSED, COLT_STEP_CHECK, NULL,
                           "the credit report is of an unknown owner");
  if (!owner->counted && !report->full)
    return true;
  for (i = 0; i < report->state_count; i++)
    take_state_ (lead, report, &report->states[i]);
  for (i = 0; i < report->held_count; i++)
    take_held_ (lead, &report->held[i]);
  answer_lost_ (lead, owner, report);
  if (!owner->counted)
    lead->before = MAX (lead->before, report->promise);
  owner->promise = MAX (owner->promise, report->promise);
  owner->counted = true;
  lead->busy = true;
  g_array_append_val (owner->acks, report->sequence);
  update_state_ (lead);
  return true;
}

void
colt_credit_lead_process (struct ColtCreditLead *lead, int64_t now_us)
{
  uint64_t offset
      = colt_entitlements_shard_offset (lead->entitlements, lead->shard);
  uint64_t version
      = colt_entitlement_version_ (lead->entitlements, lead->shard);

  if (!lead->busy && lead->decided == offset && lead->version == version)
    return;
  update_state_ (lead);
  if (lead->state == COLT_CREDIT_LEAD_ACTIVE)
    {
      divide_ (lead, now_us,
               lead->decided != offset || lead->version != version);
      state_compliance_ (lead);
    }
  colt_lead_send_ (lead, now_us);
  lead->decided = offset;
  lead->version = version;
  lead->busy = is_busy_ (lead);
}

void
colt_credit_lead_info (const struct ColtCreditLead *lead,
                       struct ColtCreditLeadInfo *info)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  memset (info, 0, sizeof *info);
  info->state = lead->state;
  info->shard = lead->shard;
  info->epoch = lead->epoch;
  info->complied = lead->complied;
  info->owners = lead->owners->len;
  for (i = 0; i < lead->owners->len; i++)
    {
      const struct ColtLeadOwner *owner = lead->owners->pdata[i];

      info->owners_missing += owner->counted ? 0 : 1;
    }
  info->teams = g_hash_table_size (lead->teams);
  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    info->teams_over += is_over_ (lead, value) ? 1 : 0;
}

void
colt_credit_lead_counted (const struct ColtCreditLead *lead,
                          const char *team,
                          struct ColtQuotaAmount *counted)
{
  const struct ColtLeadTeam *found = g_hash_table_lookup (lead->teams, team);

  memset (counted, 0, sizeof *counted);
  if (found != NULL)
    colt_lead_team_counted_ (found, counted);
}

struct ColtDemand *
colt_credit_lead_demands (const struct ColtCreditLead *lead, size_t *count)
{
  size_t size = g_hash_table_size (lead->teams);
  struct ColtDemand *demands;
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  if (size == 0)
    return NULL;
  demands = g_new0 (struct ColtDemand, size);
  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadTeam *team = value;
      struct ColtDemand *demand = &demands[(*count)++];
      size_t i;

      g_strlcpy (demand->team, team->name, sizeof demand->team);
      for (i = 0; i < team->entries->len; i++)
        {
          const struct ColtLeadEntry *entry
              = &g_array_index (team->entries, struct ColtLeadEntry, i);

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
  struct ColtLeadTeam *team = data;

  g_array_unref (team->entries);
  g_free (team);
}

static void
destroy_owner_ (gpointer data)
{
  struct ColtLeadOwner *owner = data;

  g_array_unref (owner->acks);
  g_array_unref (owner->settled);
  g_free (owner);
}

static struct ColtLeadOwner *
find_owner_ (const struct ColtCreditLead *lead, uint64_t id)
{
  size_t i;

  for (i = 0; i < lead->owners->len; i++)
    {
      struct ColtLeadOwner *owner = lead->owners->pdata[i];

      if (owner->id == id)
        return owner;
    }
  return NULL;
}

static struct ColtLeadTeam *
add_team_ (struct ColtCreditLead *lead, const char *name)
{
  struct ColtLeadTeam *team = g_hash_table_lookup (lead->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct ColtLeadTeam, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->entries = g_array_new (FALSE, TRUE, sizeof (struct ColtLeadEntry));
  g_hash_table_insert (lead->teams, team->name, team);
  return team;
}

static struct ColtLeadEntry *
find_entry_ (const struct ColtLeadTeam *team, uint64_t owner)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      struct ColtLeadEntry *entry
          = &g_array_index (team->entries, struct ColtLeadEntry, i);

      if (entry->owner == owner)
        return entry;
    }
  return NULL;
}

static struct ColtLeadEntry *
add_entry_ (struct ColtLeadTeam *team, uint64_t owner)
{
  struct ColtLeadEntry *entry = find_entry_ (team, owner);
  struct ColtLeadEntry fresh = { 0 };
  int i;

  if (entry != NULL)
    return entry;
  fresh.owner = owner;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    fresh.share.amount[i] = COLT_QUOTA_UNLIMITED;
  g_array_append_val (team->entries, fresh);
  return find_entry_ (team, owner);
}

static void
remove_entries_ (struct ColtCreditLead *lead, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeadTeam *team = value;
      size_t i;

      team->dirty = true;
      for (i = 0; i < team->entries->len; i++)
        if (g_array_index (team->entries, struct ColtLeadEntry, i).owner
            == owner)
          g_array_remove_index_fast (team->entries, i--);
    }
}

static void
take_state_ (struct ColtCreditLead *lead,
             const struct ColtCreditReport *report,
             const struct ColtCreditState *state)
{
  struct ColtLeadTeam *team = add_team_ (lead, state->team);
  struct ColtLeadEntry *entry = add_entry_ (team, report->owner);

  if (report->sequence <= entry->version)
    return;
  team->dirty = true;
  entry->version = report->sequence;
  entry->running = state->running;
  entry->lost = state->lost;
  entry->unit = state->unit;
  entry->waiting = state->waiting;
  entry->applied = state->sequence;
  lead->sequence = MAX (lead->sequence, state->sequence);
  if (entry->sequence == 0)
    entry->first = entry->sequence = state->sequence;
  if (state->sequence < entry->first)
    return;
  entry->due = false;
  entry->peak = entry->ceiling;
  if (state->sequence == entry->sequence)
    entry->peak = entry->ceiling = state->ceiling;
  else if (!colt_quota_equal (&state->ceiling, &entry->ceiling))
    colt_lead_entry_set_ (entry, &state->ceiling, &lead->sequence);
}

static void
take_held_ (struct ColtCreditLead *lead, const struct ColtServerEpoch *held)
{
  gpointer key = GUINT_TO_POINTER (held->server);
  struct ColtServerEpoch *known = g_hash_table_lookup (lead->servers, key);

  if (known == NULL)
    {
      known = g_new0 (struct ColtServerEpoch, 1);
      known->server = held->server;
      g_hash_table_insert (lead->servers, key, known);
    }
  known->epoch = MAX (known->epoch, held->epoch);
}

static void
answer_lost_ (struct ColtCreditLead *lead,
              struct ColtLeadOwner *owner,
              const struct ColtCreditReport *report)
{
  size_t i;

  for (i = 0; i < report->lost_count; i++)
    {
      const struct ColtServerEpoch *lost = &report->lost[i];
      const struct ColtServerEpoch *held = g_hash_table_lookup (
          lead->servers, GUINT_TO_POINTER (lost->server));

      if (held != NULL && held->epoch > lost->epoch)
        g_array_append_val (owner->settled, *held);
    }
}

static void
update_state_ (struct ColtCreditLead *lead)
{
  uint64_t needed = colt_entitlements_complied_shard (lead->entitlements,
                                                      lead->zone, lead->shard);
  bool missing = false;
  size_t i;

  for (i = 0; i < lead->owners->len; i++)
    {
      const struct ColtLeadOwner *owner = lead->owners->pdata[i];

      missing = missing || !owner->counted;
      needed = MAX (needed, owner->promise);
    }
  if (missing)
    lead->state = COLT_CREDIT_LEAD_RECOUNT;
  else if (colt_entitlements_position (lead->entitlements) < needed
           && colt_guard_on (COLT_GUARD_COMPLIANCE))
    lead->state = COLT_CREDIT_LEAD_BEHIND;
  else
    lead->state = COLT_CREDIT_LEAD_ACTIVE;
}

static bool
is_busy_ (const struct ColtCreditLead *lead)
{
  uint64_t offset
      = colt_entitlements_shard_offset (lead->entitlements, lead->shard);
  GHashTableIter iter;
  gpointer value;

  if (lead->state != COLT_CREDIT_LEAD_ACTIVE || !all_promised_ (lead, offset))
    return true;
  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_team_busy_ (value))
      return true;
  return false;
}

/* Work waits, the team is over its part, or a ceiling was not taken yet. */
static bool
is_team_busy_ (const struct ColtLeadTeam *team)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      const struct ColtLeadEntry *entry
          = &g_array_index (team->entries, struct ColtLeadEntry, i);

      if (entry->waiting > 0 || entry->applied < entry->first)
        return true;
    }
  return team->over;
}

static void
divide_ (struct ColtCreditLead *lead, int64_t now_us, bool all)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtLeadTeam *team = value;
      struct ColtQuotaAmount usable;

      if (!all && colt_lead_team_rests_ (team, now_us))
        continue;
      colt_entitlements_usable (lead->entitlements, team->name, lead->zone,
                                &usable);
      colt_lead_team_divide_ (team, &usable, now_us, &lead->sequence);
      colt_lead_team_tidy_ (team);
      if (team->entries->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

/* States that the zone complies with the shard's last change. Every owner has
 * to take no older credits any more; a team that still counts above the least
 * entitlement is an exception. */
static void
state_compliance_ (struct ColtCreditLead *lead)
{
  uint64_t offset
      = colt_entitlements_shard_offset (lead->entitlements, lead->shard);
  struct ColtCompliance compliance = { 0 };

  if (offset == 0 || (lead->complied >= offset && lead->exceptions == 0)
      || (colt_guard_on (COLT_GUARD_COMPLIANCE)
          && !all_promised_ (lead, offset)))
    return;
  compliance.zone = lead->zone;
  compliance.shard = lead->shard;
  compliance.offset = offset;
  if (colt_guard_on (COLT_GUARD_COMPLIANCE))
    list_over_ (lead, &compliance);
  colt_entitlements_comply (lead->entitlements, &compliance);
  lead->complied = offset;
  lead->exceptions = compliance.exception_count;
  g_free (compliance.exceptions);
}

static bool
all_promised_ (const struct ColtCreditLead *lead, uint64_t offset)
{
  size_t i;

  for (i = 0; i < lead->owners->len; i++)
    {
      const struct ColtLeadOwner *owner = lead->owners->pdata[i];

      if (owner->promise < offset)
        return false;
    }
  return true;
}

static void
list_over_ (const struct ColtCreditLead *lead,
            struct ColtCompliance *compliance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeadTeam *team = value;
      struct ColtComplianceException *exception;

      if (!is_over_ (lead, team))
        continue;
      if (compliance->exceptions == NULL)
        compliance->exceptions = g_new0 (struct ColtComplianceException,
                                         g_hash_table_size (lead->teams));
      exception = &compliance->exceptions[compliance->exception_count++];
      g_strlcpy (exception->team, team->name, sizeof exception->team);
      exception->offset = colt_entitlements_complied (lead->entitlements,
                                                      lead->zone, team->name);
      exception->highest = MAX (exception->offset, lead->before);
      exception->highest = MIN (exception->highest, compliance->offset);
    }
}

static bool
is_over_ (const struct ColtCreditLead *lead, const struct ColtLeadTeam *team)
{
  struct ColtQuotaAmount usable;
  struct ColtQuotaAmount counted;

  colt_entitlements_usable (lead->entitlements, team->name, lead->zone,
                            &usable);
  colt_lead_team_counted_ (team, &counted);
  return !colt_quota_within (&counted, &usable);
}
