#include "simulation_private.h"

#include <stdlib.h>

#define SETTLE_STEP_US 50000
#define ALL_INSTANCES (WORLD_ZONES * WORLD_INSTANCES)

static void push_message_ (struct ColtWorld *world,
                           bool grant,
                           uint64_t to,
                           uint8_t *bytes,
                           size_t size);
static void settle_zone_ (struct ColtWorld *world, int zone);
static void deliver_all_ (struct ColtWorld *world);
static bool is_paused_ (const struct ColtWorld *world,
                        const struct ColtWorldMessage *message);
static void receive_ (struct ColtWorld *world,
                      const struct ColtWorldMessage *message);

size_t
world_messages (const struct ColtWorld *world)
{
  return world->messages->len;
}

void
world_deliver (struct ColtWorld *world, size_t index, bool keep)
{
  struct ColtWorldMessage message;

  if (index >= world->messages->len)
    return;
  message = g_array_index (world->messages, struct ColtWorldMessage, index);
  message.bytes = g_memdup2 (message.bytes, message.size + 1);
  if (!keep)
    world_lose (world, index);
  receive_ (world, &message);
  g_free (message.bytes);
}

void
world_keep (struct ColtWorld *world, size_t index)
{
  struct ColtWorldMessage copy;

  if (index >= world->messages->len)
    return;
  copy = g_array_index (world->messages, struct ColtWorldMessage, index);
  copy.bytes = g_memdup2 (copy.bytes, copy.size + 1);
  g_array_append_val (world->kept, copy);
}

void
world_release (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->kept->len; i++)
    receive_ (world, &g_array_index (world->kept, struct ColtWorldMessage, i));
  g_array_set_size (world->kept, 0);
}

void
world_lose (struct ColtWorld *world, size_t index)
{
  if (index < world->messages->len)
    g_array_remove_index (world->messages, (guint)index);
}

void
world_settle (struct ColtWorld *world, int rounds)
{
  int round;
  int zone;
  int i;

  for (round = 0; round < rounds; round++)
    {
      world->now_us += SETTLE_STEP_US;
      for (zone = 0; zone < WORLD_ZONES; zone++)
        settle_zone_ (world, zone);
      deliver_all_ (world);
      for (i = 0; i < ALL_INSTANCES; i++)
        {
          int from = i % ALL_INSTANCES;
          int to = (i + 1) % ALL_INSTANCES;

          world_gossip (world, from / WORLD_INSTANCES, from % WORLD_INSTANCES,
                        to / WORLD_INSTANCES, to % WORLD_INSTANCES);
        }
    }
}

void
world_send_report_ (void *context, const struct ColtCreditReport *report)
{
  size_t size;
  uint8_t *bytes = colt_credit_report_pack (report, &size);

  push_message_ (context, false, report->epoch, bytes, size);
}

void
world_send_grant_ (void *context, const struct ColtCreditGrant *grant)
{
  size_t size;
  uint8_t *bytes = colt_credit_grant_pack (grant, &size);

  push_message_ (context, true, grant->owner, bytes, size);
}

void
world_free_message_ (gpointer message)
{
  free (((struct ColtWorldMessage *)message)->bytes);
}

static void
push_message_ (struct ColtWorld *world,
               bool grant,
               uint64_t to,
               uint8_t *bytes,
               size_t size)
{
  struct ColtWorldMessage message
      = { world->sending_zone, grant, to, bytes, size };

  g_array_append_val (world->messages, message);
}

static void
settle_zone_ (struct ColtWorld *world, int zone)
{
  struct ColtWorldZone *entry = &world->zones[zone];
  int i;

  for (i = 0; i < WORLD_INSTANCES; i++)
    {
      if (entry->instances[i].paused)
        continue;
      while (world_read (world, zone, i))
        continue;
      world_notice (world, zone, i);
      world_process_holder (world, zone, i);
    }
  for (i = 0; i < WORLD_LEADS; i++)
    {
      if (entry->leads[i].lead == NULL
          || entry->instances[entry->leads[i].instance].paused)
        continue;
      world_admit (world, zone, i);
      world_process_lead (world, zone, i);
    }
}

static void
deliver_all_ (struct ColtWorld *world)
{
  size_t at = 0;

  while (at < world_messages (world))
    if (is_paused_ (world, &g_array_index (world->messages,
                                           struct ColtWorldMessage, at)))
      at++;
    else
      world_deliver (world, at, false);
}

static bool
is_paused_ (const struct ColtWorld *world,
            const struct ColtWorldMessage *message)
{
  const struct ColtWorldZone *zone = &world->zones[message->zone];
  int i;

  for (i = 0; message->grant && i < WORLD_INSTANCES; i++)
    if (zone->instances[i].owner == message->to)
      return zone->instances[i].paused;
  for (i = 0; !message->grant && i < WORLD_LEADS; i++)
    if (zone->leads[i].lead != NULL && zone->leads[i].epoch == message->to)
      return zone->instances[zone->leads[i].instance].paused;
  return false;
}

static void
receive_ (struct ColtWorld *world, const struct ColtWorldMessage *message)
{
  struct ColtWorldZone *zone = &world->zones[message->zone];
  struct ColtCreditGrant *grant;
  struct ColtCreditReport *report;
  int i;

  if (message->grant)
    {
      grant = colt_credit_grant_unpack (message->bytes, message->size, NULL);
      g_assert (grant != NULL);
      for (i = 0; i < WORLD_INSTANCES; i++)
        if (zone->instances[i].alive
            && zone->instances[i].owner == grant->owner)
          colt_credit_holder_handle_grant (zone->instances[i].holder, grant,
                                           NULL);
      colt_credit_grant_destroy (grant);
      return;
    }
  report = colt_credit_report_unpack (message->bytes, message->size, NULL);
  g_assert (report != NULL);
  for (i = 0; i < WORLD_LEADS; i++)
    if (zone->leads[i].lead != NULL && zone->leads[i].epoch == report->epoch)
      colt_credit_leader_handle_report (zone->leads[i].lead, report, NULL);
  colt_credit_report_destroy (report);
}
