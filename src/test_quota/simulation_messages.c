#include "simulation_private.h"

#include <stdlib.h>

#define SETTLE_STEP_US 50000
#define ALL_INSTANCES (SIM_ZONES * SIM_INSTANCES)

static void push_message_ (struct ColtQuotaSim *sim,
                           bool grant,
                           uint64_t receiver,
                           uint8_t *bytes,
                           size_t size);
static void process_zone_ (struct ColtQuotaSim *sim, int zone);
static void deliver_all_ (struct ColtQuotaSim *sim);
static bool is_receiver_paused_ (const struct ColtQuotaSim *sim,
                                 const struct ColtQuotaSimMessage *message);
static void handle_message_ (struct ColtQuotaSim *sim,
                             const struct ColtQuotaSimMessage *message);

size_t
sim_message_count (const struct ColtQuotaSim *sim)
{
  return sim->messages->len;
}

void
sim_deliver_message (struct ColtQuotaSim *sim, size_t index, bool duplicate)
{
  struct ColtQuotaSimMessage message;

  if (index >= sim->messages->len)
    return;
  message = g_array_index (sim->messages, struct ColtQuotaSimMessage, index);
  message.bytes = g_memdup2 (message.bytes, message.size + 1);
  if (!duplicate)
    sim_drop_message (sim, index);
  handle_message_ (sim, &message);
  g_free (message.bytes);
}

void
sim_delay_copy (struct ColtQuotaSim *sim, size_t index)
{
  struct ColtQuotaSimMessage copy;

  if (index >= sim->messages->len)
    return;
  copy = g_array_index (sim->messages, struct ColtQuotaSimMessage, index);
  copy.bytes = g_memdup2 (copy.bytes, copy.size + 1);
  g_array_append_val (sim->delayed, copy);
}

void
sim_deliver_delayed (struct ColtQuotaSim *sim)
{
  guint i;

  for (i = 0; i < sim->delayed->len; i++)
    handle_message_ (
        sim, &g_array_index (sim->delayed, struct ColtQuotaSimMessage, i));
  g_array_set_size (sim->delayed, 0);
}

void
sim_drop_message (struct ColtQuotaSim *sim, size_t index)
{
  if (index < sim->messages->len)
    g_array_remove_index (sim->messages, (guint)index);
}

void
sim_settle (struct ColtQuotaSim *sim, int rounds)
{
  int round;
  int zone;
  int i;

  for (round = 0; round < rounds; round++)
    {
      sim->now_us += SETTLE_STEP_US;
      for (zone = 0; zone < SIM_ZONES; zone++)
        process_zone_ (sim, zone);
      deliver_all_ (sim);
      for (i = 0; i < ALL_INSTANCES; i++)
        {
          int from = i % ALL_INSTANCES;
          int to = (i + 1) % ALL_INSTANCES;

          sim_gossip_compliance (sim, from / SIM_INSTANCES,
                                 from % SIM_INSTANCES, to / SIM_INSTANCES,
                                 to % SIM_INSTANCES);
        }
    }
}

void
sim_send_report_ (void *context, const struct ColtCreditReport *report)
{
  size_t size;
  uint8_t *bytes = colt_credit_report_pack (report, &size);

  push_message_ (context, false, report->epoch, bytes, size);
}

void
sim_send_grant_ (void *context, const struct ColtCreditGrant *grant)
{
  size_t size;
  uint8_t *bytes = colt_credit_grant_pack (grant, &size);

  push_message_ (context, true, grant->owner, bytes, size);
}

void
sim_free_message_ (gpointer message)
{
  free (((struct ColtQuotaSimMessage *)message)->bytes);
}

static void
push_message_ (struct ColtQuotaSim *sim,
               bool grant,
               uint64_t receiver,
               uint8_t *bytes,
               size_t size)
{
  struct ColtQuotaSimMessage message
      = { sim->sending_zone, grant, receiver, bytes, size };

  g_array_append_val (sim->messages, message);
}

static void
process_zone_ (struct ColtQuotaSim *sim, int zone)
{
  struct ColtQuotaSimZone *entry = &sim->zones[zone];
  int i;

  for (i = 0; i < SIM_INSTANCES; i++)
    {
      if (entry->instances[i].paused)
        continue;
      while (sim_read_record (sim, zone, i))
        continue;
      sim_mark_lost_servers (sim, zone, i);
      sim_process_holder (sim, zone, i);
    }
  for (i = 0; i < SIM_LEADERS; i++)
    {
      if (entry->leaders[i].leader == NULL
          || entry->instances[entry->leaders[i].instance].paused)
        continue;
      sim_remove_killed_owners (sim, zone, i);
      sim_process_leader (sim, zone, i);
    }
}

static void
deliver_all_ (struct ColtQuotaSim *sim)
{
  size_t index = 0;

  while (index < sim_message_count (sim))
    if (is_receiver_paused_ (
            sim,
            &g_array_index (sim->messages, struct ColtQuotaSimMessage, index)))
      index++;
    else
      sim_deliver_message (sim, index, false);
}

static bool
is_receiver_paused_ (const struct ColtQuotaSim *sim,
                     const struct ColtQuotaSimMessage *message)
{
  const struct ColtQuotaSimZone *zone = &sim->zones[message->zone];
  int i;

  for (i = 0; message->grant && i < SIM_INSTANCES; i++)
    if (zone->instances[i].owner == message->receiver)
      return zone->instances[i].paused;
  for (i = 0; !message->grant && i < SIM_LEADERS; i++)
    if (zone->leaders[i].leader != NULL
        && zone->leaders[i].epoch == message->receiver)
      return zone->instances[zone->leaders[i].instance].paused;
  return false;
}

static void
handle_message_ (struct ColtQuotaSim *sim,
                 const struct ColtQuotaSimMessage *message)
{
  struct ColtQuotaSimZone *zone = &sim->zones[message->zone];
  struct ColtCreditGrant *grant;
  struct ColtCreditReport *report;
  int i;

  if (message->grant)
    {
      grant = colt_credit_grant_unpack (message->bytes, message->size, NULL);
      g_assert (grant != NULL);
      for (i = 0; i < SIM_INSTANCES; i++)
        if (zone->instances[i].alive
            && zone->instances[i].owner == grant->owner)
          colt_credit_holder_handle_grant (zone->instances[i].holder, grant,
                                           NULL);
      colt_credit_grant_destroy (grant);
      return;
    }
  report = colt_credit_report_unpack (message->bytes, message->size, NULL);
  g_assert (report != NULL);
  for (i = 0; i < SIM_LEADERS; i++)
    if (zone->leaders[i].leader != NULL
        && zone->leaders[i].epoch == report->epoch)
      colt_credit_leader_handle_report (zone->leaders[i].leader, report, NULL);
  colt_credit_report_destroy (report);
}
