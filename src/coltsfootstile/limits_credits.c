#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "instance_limits.h"

#define MODULE "limits"

/* Time without a report after which an owner may be removed: its leases have
 * ended by then, with a margin of one lease. */
#define OWNER_TIMEOUT_US (2 * COLT_SERVER_LEASE_MS * COLT_US_PER_MS)

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
static void record_report_ (struct ColtLimitsShard *shard,
                            const struct ColtCreditReport *report);
static struct ColtLimitsOwner *add_owner_ (struct ColtLimitsShard *shard,
                                           uint64_t process);
static bool has_all_processes_ (const struct ColtLimitsShard *shard);
static void add_owners_ (struct ColtLimitsShard *shard);
static void process_shard_ (struct ColtLimitsShard *shard, int64_t now_us);
static void remove_replaced_owners_ (struct ColtLimitsShard *shard,
                                     int64_t now_us);
static bool is_replaced_ (struct ColtLimitsShard *shard,
                          const struct ColtLimitsOwner *owner,
                          int64_t now_us);
static bool has_no_server_ (const struct ColtLimitsShard *shard,
                            uint64_t process);
static void free_owner_ (gpointer data);
static gboolean equal_u64_ (gconstpointer a, gconstpointer b);
static guint hash_u64_ (gconstpointer key);

void
colt_limits_set_credit_handlers (struct ColtInstanceLimits *limits)
{
  struct ColtWire *wire = limits->instance->wire;

  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_GRANT, on_grant_, limits);
  colt_wire_set_handler (wire, COLT_WIRE_LIMITS_REPORT, on_report_, limits);
}

void
colt_limits_create_holder (struct ColtInstanceLimits *limits,
                           uint64_t initial_promise)
{
  struct ColtInstance *instance = limits->instance;

  limits->holder = colt_credit_holder_create (
      colt_limits_get_process (limits, instance->number), initial_promise,
      send_report_, limits);
  colt_owner_set_credits (instance->owner, limits->holder);
  colt_instance_update_servers (instance);
}

void
colt_limits_open_shard (struct ColtInstanceLimits *limits,
                        uint32_t shard,
                        uint64_t epoch)
{
  struct ColtLimitsShard *entry = &limits->shards[shard];
  GHashTable *servers = entry->servers;

  entry->servers = NULL;
  colt_limits_close_shard (limits, shard);
  entry->servers = servers;
  if (entry->servers == NULL)
    entry->servers
        = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  entry->owners
      = g_hash_table_new_full (hash_u64_, equal_u64_, NULL, free_owner_);
  entry->epoch = epoch;
  entry->leader = colt_credit_leader_create (
      limits->instance->zone, shard, epoch, limits->fold, send_grant_, limits);
  add_owners_ (entry);
}

void
colt_limits_close_shard (struct ColtInstanceLimits *limits, uint32_t shard)
{
  struct ColtLimitsShard *entry = &limits->shards[shard];

  colt_credit_leader_destroy (entry->leader);
  entry->leader = NULL;
  entry->epoch = 0;
  g_clear_pointer (&entry->servers, g_hash_table_unref);
  g_clear_pointer (&entry->owners, g_hash_table_unref);
  g_hash_table_remove (limits->shard_demands, GUINT_TO_POINTER (shard + 1));
}

void
colt_limits_step_credits (struct ColtInstanceLimits *limits, int64_t now_us)
{
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtLimitsShard *entry = &limits->shards[shard];

      if (entry->pending_epoch != 0 && has_all_processes_ (entry)
          && colt_shard_leader_count_unknown (
                 colt_home_shards (limits->instance->home), shard)
                 == 0)
        {
          colt_limits_open_shard (limits, shard, entry->pending_epoch);
          entry->pending_epoch = 0;
        }
      if (entry->leader == NULL)
        continue;
      process_shard_ (entry, now_us);
    }
  if (limits->holder != NULL)
    colt_credit_holder_process (limits->holder, now_us);
}

/* Leaders may have granted this instance's credits to other owners. It
 * continues under a new process id without credits; leaders count the tasks of
 * the old process until other owners count the tasks of its servers. */
void
colt_instance_limits_reset_credits (void *client)
{
  struct ColtInstance *instance = client;
  struct ColtInstanceLimits *limits = instance->limits;

  if (limits->holder == NULL)
    return;
  colt_log (
      COLT_LOG_INFO, MODULE, NULL,
      "all leases lost; continuing without credits under a new process id");
  colt_credit_holder_destroy (limits->holder);
  limits->credit_resets++;
  limits->holder = colt_credit_holder_create (
      colt_limits_get_process (limits, instance->number),
      colt_log_client_offset (instance->log), send_report_, limits);
  colt_owner_set_credits (instance->owner, limits->holder);
}

uint64_t
colt_limits_get_process (const struct ColtInstanceLimits *limits,
                         uint32_t instance)
{
  const struct ColtLimitsProcess *process;

  if (instance == limits->instance->number)
    return (limits->instance->incarnation + limits->credit_resets) << 16
           | instance;
  process
      = g_hash_table_lookup (limits->processes, GUINT_TO_POINTER (instance));
  return process != NULL ? process->id : 0;
}

uint32_t
colt_limits_get_instance (uint64_t process)
{
  return (uint32_t)(process & 0xffff);
}

void
colt_instance_limits_record_owner (struct ColtInstanceLimits *limits,
                                   uint32_t shard,
                                   uint32_t server,
                                   uint32_t owner,
                                   uint64_t server_epoch)
{
  struct ColtLimitsShard *entry = &limits->shards[shard];
  struct ColtLimitsServer *server_owner = g_new0 (struct ColtLimitsServer, 1);

  if (entry->servers == NULL)
    entry->servers
        = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  server_owner->server = server;
  server_owner->instance = owner;
  server_owner->epoch = server_epoch;
  g_hash_table_replace (entry->servers, GUINT_TO_POINTER (server),
                        server_owner);
}

void
colt_instance_limits_remove_server (struct ColtInstanceLimits *limits,
                                    uint32_t server)
{
  uint32_t shard;

  if (limits->holder != NULL)
    colt_credit_holder_remove_server (limits->holder, server);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtLimitsShard *entry = &limits->shards[shard];
      GHashTableIter iter;
      gpointer value;

      if (entry->leader == NULL)
        continue;
      g_hash_table_remove (entry->servers, GUINT_TO_POINTER (server));
      g_hash_table_iter_init (&iter, entry->owners);
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
            "sending grant to instance %u: shard %u, offset %" G_GUINT64_FORMAT
            ", promise %" G_GUINT64_FORMAT
            ", %zu acks, %zu items, %zu settled servers%s",
            colt_limits_get_instance (grant->owner), grant->shard,
            grant->offset, grant->promise, grant->ack_count, grant->item_count,
            grant->settled_count, grant->recount ? ", reconciliation" : "");

  colt_wire_send (limits->instance->wire,
                  colt_limits_get_instance (grant->owner),
                  COLT_WIRE_LIMITS_GRANT, body, size);
  free (body);
}

static void
send_report_ (void *context, const struct ColtCreditReport *report)
{
  struct ColtInstanceLimits *limits = context;
  uint32_t leader = limits->session_leaders[report->shard];
  size_t size;
  uint8_t *body;

  if (leader == 0)
    return;
  colt_log (
      COLT_LOG_DEBUG, MODULE, NULL,
      "sending report to instance %u: shard %u, sequence %" G_GUINT64_FORMAT
      ", promise %" G_GUINT64_FORMAT
      ", %zu states, %zu owned servers, %zu lost servers%s",
      leader, report->shard, report->sequence, report->promise,
      report->state_count, report->held_count, report->lost_count,
      report->full ? ", full" : "");
  body = colt_credit_report_pack (report, &size);
  colt_wire_send (limits->instance->wire, leader, COLT_WIRE_LIMITS_REPORT, body,
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
      colt_log_error (COLT_LOG_WARNING, MODULE,
                      "malformed grant of a leader; ignored", &error);
      return;
    }
  if (limits->holder != NULL
      && colt_shard_owner_promised_epoch (
             colt_owner_shards (limits->instance->owner), grant->shard)
             == grant->epoch)
    {
      limits->session_leaders[grant->shard] = origin->instance;
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
  struct ColtLimitsShard *entry;

  (void)origin;
  if (report == NULL)
    {
      colt_log_error (COLT_LOG_WARNING, MODULE,
                      "malformed report of an owner; ignored", &error);
      return;
    }
  entry = &limits->shards[report->shard];
  if (entry->leader != NULL
      && colt_credit_leader_handle_report (entry->leader, report, &error))
    {
      record_report_ (entry, report);
      process_shard_ (entry, colt_clock_monotonic_us ());
    }
  colt_credit_report_destroy (report);
}

static void
record_report_ (struct ColtLimitsShard *shard,
                const struct ColtCreditReport *report)
{
  struct ColtLimitsOwner *owner = add_owner_ (shard, report->owner);
  size_t i;

  owner->last_report_us = colt_clock_monotonic_us ();
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
  owner->last_report_us = colt_clock_monotonic_us ();
  owner->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_insert (shard->owners, &owner->process, owner);
  colt_credit_leader_add_owner (shard->leader, process);
  return owner;
}

/* Returns whether the process id of each server's last owner is known. */
static bool
has_all_processes_ (const struct ColtLimitsShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  if (shard->servers == NULL)
    return true;
  g_hash_table_iter_init (&iter, shard->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsServer *server_owner = value;

      if (colt_limits_get_process (shard->limits, server_owner->instance) == 0)
        return false;
    }
  return true;
}

/* Grants nothing while an owner's process id is unknown, since its tasks can't
 * be counted yet. */
static void
process_shard_ (struct ColtLimitsShard *shard, int64_t now_us)
{
  if (!has_all_processes_ (shard))
    return;
  add_owners_ (shard);
  remove_replaced_owners_ (shard, now_us);
  colt_credit_leader_process (shard->leader, now_us);
}

/* Adds the last owner of each server. */
static void
add_owners_ (struct ColtLimitsShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, shard->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLimitsServer *server_owner = value;
      uint64_t process
          = colt_limits_get_process (shard->limits, server_owner->instance);

      if (process != 0)
        add_owner_ (shard, process);
    }
}

static void
remove_replaced_owners_ (struct ColtLimitsShard *shard, int64_t now_us)
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
                "shard %u: credits of a former process of instance %u removed",
                shard->shard, colt_limits_get_instance (owner->process));
      colt_credit_leader_remove_owner (shard->leader, owner->process);
      g_hash_table_iter_remove (&iter);
    }
}

/* A process is replaced if all of these hold: its instance is dead or runs as
 * another process, its leases have ended, and another owner counts every server
 * that it owned. */
static bool
is_replaced_ (struct ColtLimitsShard *shard,
              const struct ColtLimitsOwner *owner,
              int64_t now_us)
{
  struct ColtInstanceLimits *limits = shard->limits;
  uint32_t instance = colt_limits_get_instance (owner->process);
  const struct ColtMember *member
      = colt_membership_find (limits->instance->membership, instance);
  bool restarted = colt_limits_get_process (limits, instance) != owner->process;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (!restarted && member != NULL && member->state != COLT_MEMBER_DEAD)
    return false;
  if (now_us - owner->last_report_us < OWNER_TIMEOUT_US)
    return false;
  if (!has_no_server_ (shard, owner->process))
    return false;
  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!colt_credit_leader_counts_server (
            shard->leader, GPOINTER_TO_UINT (key), *(const uint64_t *)value))
      return false;
  return true;
}

/* Returns whether another process is the last owner of every server of the
 * zone. */
static bool
has_no_server_ (const struct ColtLimitsShard *shard, uint64_t process)
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
      const struct ColtLimitsServer *server_owner = value;

      if (colt_limits_get_process (shard->limits, server_owner->instance)
          == process)
        return false;
    }
  return true;
}

static void
free_owner_ (gpointer data)
{
  struct ColtLimitsOwner *owner = data;

  g_hash_table_unref (owner->servers);
  g_free (owner);
}

static gboolean
equal_u64_ (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

static guint
hash_u64_ (gconstpointer key)
{
  uint64_t value = *(const uint64_t *)key;

  return (guint)(value ^ value >> 32);
}
