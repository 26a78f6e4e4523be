#include <stdio.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/rendezvous.h"
#include "daemon_settings.h"
#include "instance.h"

#define MODULE "members"

/* Highest number of members that are passed on or chosen from. */
#define MEMBERS_MAX 128u

void
colt_instance_handle_list (void *client, const struct ColtInstanceList *list)
{
  struct ColtInstance *instance = client;
  int64_t now_us = colt_clock_monotonic_us ();
  size_t i;

  for (i = 0; i < list->entry_count; i++)
    if (list->entries[i].state == COLT_LIST_LIVE)
      colt_membership_add (instance->membership, list->entries[i].id,
                           list->entries[i].zone, list->entries[i].address,
                           now_us);
  colt_instance_update_servers (instance);
}

void
colt_instance_update_servers (struct ColtInstance *instance)
{
  const struct ColtInstanceList *list = colt_list_poller_get (instance->list);
  GArray *servers;
  size_t i;

  if (list == NULL || !colt_instance_limits_is_ready (instance->limits))
    return;
  servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (i = 0; i < list->server_count; i++)
    if (list->servers[i].zone == instance->zone)
      g_array_append_val (servers, list->servers[i].id);
  colt_owner_set_servers (instance->owner, list->servers, list->server_count);
  colt_home_set_servers (instance->home, (const uint32_t *)servers->data,
                         servers->len);
  g_array_unref (servers);
}

void
colt_instance_on_member_changed (void *client, const struct ColtMember *member)
{
  struct ColtInstance *instance = client;
  char text[64];
  struct ColtLogContext context = { COLT_STEP_NONE, text, NULL };

  snprintf (text, sizeof text, "%u (%s)", member->instance, member->address);
  colt_log (COLT_LOG_INFO, MODULE, &context, "instance %u of zone %u is %s",
            member->instance, member->zone,
            colt_member_state_string[member->state]);
  if (instance->limits != NULL && member->state == COLT_MEMBER_ALIVE)
    colt_instance_limits_announce_compliance (instance->limits);
  colt_instance_update_members (instance);
}

void
colt_instance_update_members (struct ColtInstance *instance)
{
  uint32_t members[MEMBERS_MAX];
  size_t count = colt_membership_list_eligible (
      instance->membership, instance->zone, members, MEMBERS_MAX);

  if (instance->owner == NULL || instance->home == NULL)
    return;
  colt_owner_set_members (instance->owner, members, count);
  colt_home_set_members (instance->home, members, count);
  if (instance->log == NULL)
    return;
  count = colt_membership_list_eligible (instance->membership, 0, members,
                                         MEMBERS_MAX);
  colt_log_client_set_instances (instance->log,
                                 count > 0 ? (uint32_t)count : 1);
}

void
colt_instance_add_peers (struct ColtInstance *instance)
{
  size_t count = colt_settings_count (instance->settings, "instance", "peer");
  int64_t now_us = colt_clock_monotonic_us ();
  size_t i;

  for (i = 0; i < count; i++)
    {
      struct ColtPeerSetting peer;

      if (colt_daemon_parse_peer (
              colt_settings_item (instance->settings, "instance", "peer", i),
              &peer, NULL))
        colt_membership_add (instance->membership, peer.number, peer.zone,
                             peer.address, now_us);
    }
}

uint32_t
colt_instance_find_leader (void *client, uint32_t zone, uint32_t shard)
{
  return colt_instance_choose_member (
      client, zone, colt_rendezvous_key (COLT_RENDEZVOUS_SHARD, shard));
}

uint32_t
colt_instance_choose_member (const struct ColtInstance *instance,
                             uint32_t zone,
                             uint64_t key)
{
  uint32_t members[MEMBERS_MAX];
  size_t count = colt_membership_list_eligible (instance->membership, zone,
                                                members, MEMBERS_MAX);

  return colt_rendezvous_choose (key, members, count);
}
