#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "instance_limits.h"

#define MODULE "limits"

/* How long a silent owner's credits count after its leases must have ended. */
#define OWNER_SILENCE_US (2 * COLT_SERVER_LEASE_MS * COLT_US_PER_MS)

static void send_grant_ (void *context, const struct ColtCreditGrant *grant);
static void send_report_ (void *context, const struct ColtCreditReport *report);
static void on_grant_ (void *client,
                       const struct ColtWireOrigin *origin,
                       const uint8_t *body,
                       size_t size);
static void on_report_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void note_report_ (struct ColtLimitsShard *shard,
                          const struct ColtCreditReport *report);
static struct ColtLimitsOwner *add_owner_ (struct ColtLimitsShard *shard,
                                           uint64_t process);
static bool knows_processes_ (const struct ColtLimitsShard *shard);
static void seat_owners_ (struct ColtLimitsShard *shard);
static void process_ (struct ColtLimitsShard *shard, int64_t now_us);
static void remove_dead_owners_ (struct ColtLimitsShard *shard, int64_t now_us);
static bool is_replaced_ (struct ColtLimitsShard *shard,
                          const struct ColtLimitsOwner *owner,
                          int64_t now_us);
static bool holds_nothing_ (const struct ColtLimitsShard *shard,
                            uint64_t process);
static uint32_t instance_of_ (uint64_t process);
static void free_owner_ (gpointer data);
static gboolean hash_equal_u64_ (gconstpointer a, gconstpointer b);
static guint hash_u64_ (gconstpointer key);

void
colt_limits_set_credit_handlers (struct ColtInstanceLimits *limits)
{
  struct ColtWire *wire = limits->instance->wire;

  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_GRANT, on_grant_, limits);
  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_REPORT, on_report_, limits);
}

void
colt_limits_create_holder (struct ColtInstanceLimits *limits, uint64_t floor)
{
  struct ColtInstance *instance = limits->instance;

  limits->holder = colt_credit_holder_create (
      colt_limits_process_of (limits, instance->number), floor, send_report_,
      limits);
  colt_owner_set_credits (instance->owner, limits->holder);
  colt_instance_spread_servers (instance);
}

void
colt_limits_open (struct ColtInstanceLimits *limits,
                  uint32_t shard,
                  uint64_t epoch)
{
  struct ColtLimitsShard *led = &limits->shards[shard];
  GHashTable *servers = led->servers;

  led->servers = NULL;
  colt_limits_close (limits, shard);
  led->servers = servers;
  if (led->servers == NULL)
    led->servers
        = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  led->owners
      = g_hash_table_new_full (hash_u64_, hash_equal_u64_, NULL, free_owner_);
  led->epoch = epoch;
  led->lead = colt_credit_leader_create (limits->instance->zone, shard, epoch,
                                         limits->fold, send_grant_, limits);
  seat_owners_ (led);
}

void
colt_limits_close (struct ColtInstanceLimits *limits, uint32_t shard)
{
  struct ColtLimitsShard *led = &limits->shards[shard];

  colt_credit_leader_destroy (led->lead);
  led->lead = NULL;
  led->epoch = 0;
  g_clear_pointer (&led->servers, g_hash_table_unref);
  g_clear_pointer (&led->owners, g_hash_table_unref);
  g_hash_table_remove (limits->parts, GUINT_TO_POINTER (shard + 1));
}

void
colt_limits_step_credits (struct ColtInstanceLimits *limits, int64_t now_us)
{
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtLimitsShard *led = &limits->shards[shard];

      if (led->wanted != 0 && knows_processes_ (led)
          && colt_shard_leader_count_unknown (
                 colt_home_shards (limits->instance->home), shard)
                 == 0)
        {
          colt_limits_open (limits, shard, led->wanted);
          led->wanted = 0;
        }
      if (led->lead == NULL)
        continue;
      process_ (led, now_us);
    }
  if (limits->holder != NULL)
    colt_credit_holder_process (limits->holder, now_us);
}

/*
 * Leads may have given this instance's credits to others. It goes on as a new
 * process, which has none; the old one's tasks count until their servers do
 * elsewhere.
 */
void
colt_instance_limits_bare (void *client)
{
  struct ColtInstance *instance = client;
  struct ColtInstanceLimits *limits = instance->limits;

  if (limits->holder == NULL)
    return;
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "no lease is left; credits are taken anew as another process");
  colt_credit_holder_destroy (limits->holder);
  limits->renewals++;
  limits->holder = colt_credit_holder_create (
      colt_limits_process_of (limits, instance->number),
      colt_log_client_offset (instance->log), send_report_, limits);
  colt_owner_set_credits (instance->owner, limits->holder);
}

uint64_t
colt_limits_process_of (const struct ColtInstanceLimits *limits,
                        uint32_t instance)
{
  const uint64_t *process;

  if (instance == limits->instance->number)
    return (limits->instance->incarnation + limits->renewals) << 16 | instance;
  process
      = g_hash_table_lookup (limits->processes, GUINT_TO_POINTER (instance));
  return process != NULL ? *process : 0;
}

void
colt_instance_limits_seat (struct ColtInstanceLimits *limits,
                           uint32_t shard,
                           uint32_t server,
                           uint32_t owner,
                           uint64_t server_epoch)
{
  struct ColtLimitsShard *led = &limits->shards[shard];
  struct ColtLimitsSeat *seat = g_new0 (struct ColtLimitsSeat, 1);

  if (led->servers == NULL)
    led->servers
        = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  seat->server = server;
  seat->instance = owner;
  seat->epoch = server_epoch;
  g_hash_table_replace (led->servers, GUINT_TO_POINTER (server), seat);
}

void
colt_instance_limits_written_off (struct ColtInstanceLimits *limits,
                                  uint32_t server)
{
  uint32_t shard;

  if (limits->holder != NULL)
    colt_credit_holder_remove_server (limits->holder, server);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtLimitsShard *led = &limits->shards[shard];
      GHashTableIter iter;
      gpointer value;

      if (led->lead == NULL)
        continue;
      g_hash_table_remove (led->servers, GUINT_TO_POINTER (server));
      g_hash_table_iter_init (&iter, led->owners);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct ColtLimitsOwner *owner = value;

          g_hash_table_remove (owner->servers, GUINT_TO_POINTER (server));
        }
    }
}

static void
send_grant_ (void *context, const struct ColtCreditGrant *grant)
{
  struct ColtInstanceLimits *limits = context;
  size_t size;
  uint8_t *body = colt_credit_grant_pack (grant, &size);

  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "grant to instance %u: shard %u, offset %" G_GUINT64_FORMAT
            ", promise %" G_GUINT64_FORMAT
            ", %zu acks, %zu items, %zu settled%s",
            instance_of_ (grant->owner), grant->shard, grant->offset,
            grant->promise, grant->ack_count, grant->item_count,
            grant->settled_count, grant->recount ? ", recount" : "");

  colt_wire_send (limits->instance->wire, instance_of_ (grant->owner),
                  COLT_WIRE_LIMITS_GRANT, body, size);
  free (body);
}

static void
send_report_ (void *context, const struct ColtCreditReport *report)
{
  struct ColtInstanceLimits *limits = context;
  uint32_t lead = limits->lead_of[report->shard];
  size_t size;
  uint8_t *body;

  if (lead == 0)
    return;
  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "report to instance %u: shard %u, sequence %" G_GUINT64_FORMAT
            ", promise %" G_GUINT64_FORMAT ", %zu states, %zu held, %zu lost%s",
            lead, report->shard, report->sequence, report->promise,
            report->state_count, report->held_count, report->lost_count,
            report->full ? ", full" : "");
  body = colt_credit_report_pack (report, &size);
  colt_wire_send (limits->instance->wire, lead, COLT_WIRE_LIMITS_REPORT, body,
                  size);
  free (body);
}

static void
on_grant_ (void *client,
           const struct ColtWireOrigin *origin,
           const uint8_t *body,
           size_t size)
{
  struct ColtInstanceLimits *limits = client;
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtError error;
  struct ColtCreditGrant *grant = colt_credit_grant_unpack (body, size, &error);

  if (grant == NULL)
    {
      colt_log_error (COLT_LOG_WARNING, MODULE, "bad grant of a lead", &error);
      return;
    }
  if (limits->holder != NULL
      && colt_shard_owner_promised_epoch (
             colt_owner_shards (limits->instance->owner), grant->shard)
             == grant->epoch)
    {
      limits->lead_of[grant->shard] = origin->instance;
      if (colt_credit_holder_handle_grant (limits->holder, grant, &error))
        {
          colt_owner_start_credit_waiters (limits->instance->owner);
          colt_credit_holder_process (limits->holder, now_us);
        }
    }
  colt_credit_grant_destroy (grant);
}

static void
on_report_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtInstanceLimits *limits = client;
  struct ColtError error;
  struct ColtCreditReport *report
      = colt_credit_report_unpack (body, size, &error);
  struct ColtLimitsShard *led;

  (void)origin;
  if (report == NULL)
    {
      colt_log_error (COLT_LOG_WARNING, MODULE, "bad report of an owner",
                      &error);
      return;
    }
  led = &limits->shards[report->shard];
  if (led->lead != NULL
      && colt_credit_leader_handle_report (led->lead, report, &error))
    {
      note_report_ (led, report);
      process_ (led, colt_clock_monotonic_us ());
    }
  colt_credit_report_destroy (report);
}

static void
note_report_ (struct ColtLimitsShard *shard,
              const struct ColtCreditReport *report)
{
  struct ColtLimitsOwner *owner = add_owner_ (shard, report->owner);
  size_t i;

  owner->heard_us = colt_clock_monotonic_us ();
  for (i = 0; i < report->held_count; i++)
    g_hash_table_insert (owner->servers,
                         GUINT_TO_POINTER (report->held[i].server),
                         g_memdup2 (&report->held[i].epoch, sizeof (uint64_t)));
}

static struct ColtLimitsOwner *
add_owner_ (struct ColtLimitsShard *shard, uint64_t process)
{
  struct ColtLimitsOwner *owner = g_hash_table_lookup (shard->owners, &process);

  if (owner != NULL)
    return owner;
  owner = g_new0 (struct ColtLimitsOwner, 1);
  owner->process = process;
  owner->heard_us = colt_clock_monotonic_us ();
  owner->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_insert (shard->owners, &owner->process, owner);
  colt_credit_leader_add_owner (shard->lead, process);
  return owner;
}

/* Returns whether it is known which process answered for each server. */
static bool
knows_processes_ (const struct ColtLimitsShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  if (shard->servers == NULL)
    return true;
  g_hash_table_iter_init (&iter, shard->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsSeat *seat = value;

      if (colt_limits_process_of (shard->limits, seat->instance) == 0)
        return false;
    }
  return true;
}

/* A lead that doesn't know an owner yet grants nothing. */
static void
process_ (struct ColtLimitsShard *shard, int64_t now_us)
{
  if (!knows_processes_ (shard))
    return;
  seat_owners_ (shard);
  remove_dead_owners_ (shard, now_us);
  colt_credit_leader_process (shard->lead, now_us);
}

/* Every owner that has answered for a server of the zone is counted. */
static void
seat_owners_ (struct ColtLimitsShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsSeat *seat = value;
      uint64_t process = colt_limits_process_of (shard->limits, seat->instance);

      if (process != 0)
        add_owner_ (shard, process);
    }
}

static void
remove_dead_owners_ (struct ColtLimitsShard *shard, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->owners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsOwner *owner = value;

      if (!is_replaced_ (shard, owner, now_us))
        continue;
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "shard %u no longer counts with a process of instance %u",
                shard->shard, instance_of_ (owner->process));
      colt_credit_leader_remove_owner (shard->lead, owner->process);
      g_hash_table_iter_remove (&iter);
    }
}

/*
 * A process is replaced when it is dead, or another one runs in its place,
 * its leases have ended, and every server that it held is counted elsewhere.
 */
static bool
is_replaced_ (struct ColtLimitsShard *shard,
              const struct ColtLimitsOwner *owner,
              int64_t now_us)
{
  struct ColtInstanceLimits *limits = shard->limits;
  uint32_t instance = instance_of_ (owner->process);
  const struct ColtMember *member
      = colt_membership_find (limits->instance->membership, instance);
  bool restarted = colt_limits_process_of (limits, instance) != owner->process;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!restarted && member != NULL && member->state != COLT_MEMBER_DEAD)
    return false;
  if (now_us - owner->heard_us < OWNER_SILENCE_US)
    return false;
  if (!holds_nothing_ (shard, owner->process))
    return false;
  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!colt_credit_leader_counts_server (shard->lead, GPOINTER_TO_UINT (key),
                                           *(const uint64_t *)value))
      return false;
  return true;
}

/* Every server of the zone is in session with some other process. */
static bool
holds_nothing_ (const struct ColtLimitsShard *shard, uint64_t process)
{
  const struct ColtInstance *instance = shard->limits->instance;
  GHashTableIter iter;
  gpointer value;

  if (colt_shard_leader_count_missing (colt_home_shards (instance->home),
                                       shard->shard)
      > 0)
    return false;
  g_hash_table_iter_init (&iter, shard->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsSeat *seat = value;

      if (colt_limits_process_of (shard->limits, seat->instance) == process)
        return false;
    }
  return true;
}

static uint32_t
instance_of_ (uint64_t process)
{
  return (uint32_t)(process & 0xffff);
}

static void
free_owner_ (gpointer data)
{
  struct ColtLimitsOwner *owner = data;

  g_hash_table_unref (owner->servers);
  g_free (owner);
}

static gboolean
hash_equal_u64_ (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

static guint
hash_u64_ (gconstpointer key)
{
  uint64_t value = *(const uint64_t *)key;

  return (guint)(value ^ value >> 32);
}
