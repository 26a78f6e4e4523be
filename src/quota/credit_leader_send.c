#include <string.h>

#include "credit_leader_private.h"

static void send_owner_ (struct ColtCreditLead *lead,
                         struct ColtLeadOwner *owner,
                         int64_t now_us);
static bool ask_due_ (const struct ColtCreditLead *lead,
                      const struct ColtLeadOwner *owner,
                      int64_t now_us);
static void collect_items_ (struct ColtCreditLead *lead,
                            const struct ColtLeadOwner *owner,
                            int64_t now_us,
                            GArray *items);
static void collect_team_ (struct ColtCreditLead *lead,
                           struct ColtLeadTeam *team,
                           uint64_t owner,
                           int64_t now_us,
                           GArray *items);

void
colt_lead_send_ (struct ColtCreditLead *lead, int64_t now_us)
{
  size_t i;

  for (i = 0; i < lead->owners->len; i++)
    send_owner_ (lead, lead->owners->pdata[i], now_us);
}

static void
send_owner_ (struct ColtCreditLead *lead,
             struct ColtLeadOwner *owner,
             int64_t now_us)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct ColtCreditItem));
  bool ask = ask_due_ (lead, owner, now_us);
  struct ColtCreditGrant grant = { 0 };

  if (owner->counted && lead->state == COLT_CREDIT_LEAD_ACTIVE)
    collect_items_ (lead, owner, now_us, items);
  grant.owner = owner->id;
  grant.shard = lead->shard;
  grant.epoch = lead->epoch;
  grant.recount = !owner->counted;
  grant.offset = colt_entitlements_position (lead->entitlements);
  grant.promise
      = colt_entitlements_shard_offset (lead->entitlements, lead->shard);
  grant.acks = (uint64_t *)(void *)owner->acks->data;
  grant.ack_count = owner->acks->len;
  grant.items = (struct ColtCreditItem *)(void *)items->data;
  grant.item_count = items->len;
  grant.settled = (struct ColtServerEpoch *)(void *)owner->settled->data;
  grant.settled_count = owner->settled->len;
  if (ask || grant.ack_count > 0 || grant.item_count > 0
      || grant.settled_count > 0)
    {
      owner->asked = true;
      owner->asked_us = now_us;
      lead->send (lead->context, &grant);
    }
  g_array_set_size (owner->acks, 0);
  g_array_set_size (owner->settled, 0);
  g_array_unref (items);
}

/* A recount or a promise is still to be answered. */
static bool
ask_due_ (const struct ColtCreditLead *lead,
          const struct ColtLeadOwner *owner,
          int64_t now_us)
{
  uint64_t wanted
      = colt_entitlements_shard_offset (lead->entitlements, lead->shard);

  if (owner->counted && owner->promise >= wanted)
    return false;
  return !owner->asked || now_us - owner->asked_us >= COLT_CREDIT_RETRY_US;
}

static void
collect_items_ (struct ColtCreditLead *lead,
                const struct ColtLeadOwner *owner,
                int64_t now_us,
                GArray *items)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, lead->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    collect_team_ (lead, value, owner->id, now_us, items);
}

static void
collect_team_ (struct ColtCreditLead *lead,
               struct ColtLeadTeam *team,
               uint64_t owner,
               int64_t now_us,
               GArray *items)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      struct ColtLeadEntry *entry
          = &g_array_index (team->entries, struct ColtLeadEntry, i);
      struct ColtCreditItem item = { 0 };

      if (entry->owner != owner || entry->applied >= entry->first)
        continue;
      if (!entry->due && now_us - entry->sent_us < COLT_CREDIT_RETRY_US)
        continue;
      if (!entry->due)
        entry->sequence = ++lead->sequence;
      entry->due = false;
      entry->sent_us = now_us;
      g_strlcpy (item.team, team->name, sizeof item.team);
      item.sequence = entry->sequence;
      item.seen = entry->version;
      item.ceiling = entry->ceiling;
      g_array_append_val (items, item);
    }
}
