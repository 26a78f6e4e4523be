#include <string.h>

#include "credit_leader_private.h"

static void send_grant_ (struct ColtCreditLeader *leader,
                         struct ColtCreditOwner *owner,
                         int64_t now_us);
static bool is_request_due_ (const struct ColtCreditLeader *leader,
                             const struct ColtCreditOwner *owner,
                             int64_t now_us);
static void collect_items_ (struct ColtCreditLeader *leader,
                            const struct ColtCreditOwner *owner,
                            int64_t now_us,
                            GArray *items);
static void collect_team_items_ (struct ColtCreditLeader *leader,
                                 struct ColtCreditTeam *team,
                                 uint64_t owner,
                                 int64_t now_us,
                                 GArray *items);

void
colt_credit_leader_send_grants_ (struct ColtCreditLeader *leader,
                                 int64_t now_us)
{
  size_t i;

  for (i = 0; i < leader->owners->len; i++)
    send_grant_ (leader, leader->owners->pdata[i], now_us);
}

static void
send_grant_ (struct ColtCreditLeader *leader,
             struct ColtCreditOwner *owner,
             int64_t now_us)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct ColtCreditItem));
  bool request_due = is_request_due_ (leader, owner, now_us);
  struct ColtCreditGrant grant = { 0 };

  if (owner->reconciled && leader->state == COLT_CREDIT_LEADER_ACTIVE)
    collect_items_ (leader, owner, now_us, items);
  grant.owner = owner->id;
  grant.shard = leader->shard;
  grant.epoch = leader->epoch;
  grant.recount = !owner->reconciled;
  grant.offset = colt_entitlements_position (leader->entitlements);
  grant.promise = colt_entitlements_shard_last_change (leader->entitlements,
                                                       leader->shard);
  grant.acks = (uint64_t *)(void *)owner->acks->data;
  grant.ack_count = owner->acks->len;
  grant.items = (struct ColtCreditItem *)(void *)items->data;
  grant.item_count = items->len;
  grant.settled = (struct ColtServerEpoch *)(void *)owner->settled->data;
  grant.settled_count = owner->settled->len;
  if (request_due || grant.ack_count > 0 || grant.item_count > 0
      || grant.settled_count > 0)
    {
      owner->grant_sent = true;
      owner->grant_sent_us = now_us;
      leader->send (leader->context, &grant);
    }
  g_array_set_size (owner->acks, 0);
  g_array_set_size (owner->settled, 0);
  g_array_unref (items);
}

/* Returns whether a request for a full report or a promise is to be sent, for
 * the first time or again. */
static bool
is_request_due_ (const struct ColtCreditLeader *leader,
                 const struct ColtCreditOwner *owner,
                 int64_t now_us)
{
  uint64_t requested = colt_entitlements_shard_last_change (
      leader->entitlements, leader->shard);

  if (owner->reconciled && owner->promise >= requested)
    return false;
  return !owner->grant_sent
         || now_us - owner->grant_sent_us >= COLT_CREDIT_RETRY_US;
}

static void
collect_items_ (struct ColtCreditLeader *leader,
                const struct ColtCreditOwner *owner,
                int64_t now_us,
                GArray *items)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    collect_team_items_ (leader, value, owner->id, now_us, items);
}

static void
collect_team_items_ (struct ColtCreditLeader *leader,
                     struct ColtCreditTeam *team,
                     uint64_t owner,
                     int64_t now_us,
                     GArray *items)
{
  size_t i;

  for (i = 0; i < team->entries->len; i++)
    {
      struct ColtCreditEntry *entry
          = &g_array_index (team->entries, struct ColtCreditEntry, i);
      struct ColtCreditItem item = { 0 };

      if (entry->owner != owner
          || entry->applied_sequence >= entry->first_sequence)
        continue;
      if (!entry->unsent && now_us - entry->sent_us < COLT_CREDIT_RETRY_US)
        continue;
      if (!entry->unsent)
        entry->sequence = ++leader->sequence;
      entry->unsent = false;
      entry->sent_us = now_us;
      g_strlcpy (item.team, team->name, sizeof item.team);
      item.sequence = entry->sequence;
      item.report_sequence = entry->report_sequence;
      item.ceiling = entry->ceiling;
      g_array_append_val (items, item);
    }
}
