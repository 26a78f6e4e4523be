#include "zone_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_INTERVAL_US MS (40)
#define TASK_RENEW_INTERVAL_US MS (200)
#define CALL_TIMEOUT_US MS (120)

static void handle_inventory_ (struct ColtZoneInstance *instance,
                               const struct ColtZoneEvent *event);
static void handle_start_ (struct ColtZoneInstance *instance,
                           const struct ColtZoneEvent *event);
static void call_server_ (struct ColtZoneInstance *instance,
                          const struct ColtZoneCall *call);
static void send_peer_ (struct ColtZoneInstance *instance,
                        uint32_t to,
                        uint64_t incarnation,
                        enum ColtZonePeerKind kind,
                        uint8_t *body,
                        size_t size);
static void start_task_ (struct ColtZoneInstance *instance);
static void renew_tasks_ (struct ColtZoneInstance *instance);

/* ---- Callbacks of leases ---- */

static void
send_lease_call_ (void *client,
                  enum ColtZoneCallKind kind,
                  uint64_t number,
                  uint64_t epoch,
                  const char *token)
{
  const struct ColtZoneLeaseRef *ref = client;
  struct ColtZoneCall call = { 0 };

  call.kind = kind;
  call.server = ref->server;
  call.number = number;
  call.epoch = epoch;
  call.token = token != NULL ? atoi (token) : 0;
  call_server_ (ref->instance, &call);
}

static void
send_acquire_ (void *client, uint64_t call, uint64_t epoch)
{
  send_lease_call_ (client, COLT_ZONE_ACQUIRE, call, epoch, NULL);
}

static void
send_take_inventory_ (void *client, uint64_t call, uint64_t epoch)
{
  send_lease_call_ (client, COLT_ZONE_INVENTORY, call, epoch, NULL);
}

static void
send_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  send_lease_call_ (client, COLT_ZONE_RENEW, call, epoch, token);
}

static void
send_release_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  send_lease_call_ (client, COLT_ZONE_RELEASE, call, epoch, token);
}

static void
on_lease_held_ (void *client, uint64_t epoch)
{
  (void)client;
  (void)epoch;
}

static void
on_lease_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss)
{
  const struct ColtZoneLeaseRef *ref = client;

  (void)epoch;
  (void)loss;
  if (ref->instance->owner != NULL)
    colt_shard_owner_remove_server (ref->instance->owner, ref->server);
}

static void
on_lease_handed_over_ (void *client, uint64_t epoch, uint32_t successor)
{
  const struct ColtZoneLeaseRef *ref = client;
  struct ColtZoneInstance *other = &ref->instance->zone->instances[successor];

  if (other->is_alive && other->paused_until <= other->zone->now)
    colt_server_lease_handle_hint (
        other->leases[ref->server], epoch,
        colt_zone_local_time (other, other->zone->now));
}

static const struct ColtLeaseClient lease_callbacks
    = { send_acquire_,        send_take_inventory_, send_renew_,
        send_release_,        on_lease_held_,       on_lease_lost_,
        on_lease_handed_over_ };

/* ---- Callbacks of owners ---- */

static bool
is_server_valid_ (void *client, uint32_t server, uint64_t epoch, int64_t now)
{
  const struct ColtZoneInstance *instance = client;
  const struct ColtServerLease *lease = instance->leases[server];

  return colt_server_lease_may_start (lease, now)
         && colt_server_lease_epoch (lease) == epoch;
}

static void
collect_reports_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  const struct ColtZoneInstance *instance = client;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (server == 0)
    return;
  g_hash_table_iter_init (&iter, instance->known_tasks[server]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtTaskReport report = { 0 };

      if (GPOINTER_TO_UINT (value) != shard + 1
          || colt_zone_server_has_ended (instance->zone->servers[server],
                                         GPOINTER_TO_UINT (key)))
        continue;
      report.ref = colt_zone_task_ref (GPOINTER_TO_UINT (key));
      g_strlcpy (report.team, "team", sizeof report.team);
      colt_shard_reports_add_task (reports, &report);
    }
}

static void
on_epoch_promised_ (void *client, uint32_t shard, uint64_t epoch)
{
  (void)client;
  (void)shard;
  (void)epoch;
}

static const struct ColtShardOwnerClient owner_callbacks
    = { is_server_valid_, collect_reports_, on_epoch_promised_ };

/* ---- Callbacks of leaders ---- */

static void
send_open_ (void *client, uint32_t owner, const struct ColtShardOpen *open)
{
  size_t size;
  uint8_t *body = colt_shard_open_pack (open, &size);

  send_peer_ (client, owner, 0, PEER_OPEN, body, size);
}

static void
send_confirm_ (void *client,
               uint32_t owner,
               const struct ColtShardConfirm *confirm)
{
  struct ColtZoneInstance *instance = client;
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (confirm, &size);

  instance->zone->confirm_bytes += (int64_t)size;
  send_peer_ (instance, owner, 0, PEER_CONFIRM, body, size);
}

static void
on_reconciliation_started_ (void *client, uint32_t shard, uint64_t epoch)
{
  struct ColtZoneInstance *instance = client;
  int server;

  (void)epoch;
  for (server = 1; server <= COLT_ZONE_SERVERS; server++)
    {
      g_clear_pointer (&instance->reported_tasks[shard][server],
                       g_hash_table_unref);
    }
  g_clear_pointer (&instance->sent_starts[shard], g_hash_table_unref);
  instance->sent_starts[shard]
      = g_hash_table_new (g_direct_hash, g_direct_equal);
}

static void
on_server_reported_ (void *client, const struct ColtShardReport *report)
{
  struct ColtZoneInstance *instance = client;
  GHashTable **tasks;
  size_t i;

  if (report->server == 0)
    return;
  tasks = &instance->reported_tasks[report->shard][report->server];
  g_clear_pointer (tasks, g_hash_table_unref);
  *tasks = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (i = 0; i < report->task_count; i++)
    g_hash_table_add (*tasks, GUINT_TO_POINTER (colt_zone_task_number (
                                  &report->tasks[i]->ref)));
}

static void
on_shard_activated_ (void *client,
                     uint32_t shard,
                     uint64_t epoch,
                     size_t missing)
{
  struct ColtZoneInstance *instance = client;
  struct ColtZone *zone = instance->zone;
  int64_t now = colt_zone_local_time (instance, zone->now);
  int server;

  if (!colt_zone_is_leader_effective (instance, shard))
    return;
  if (missing > 0 && zone->plan.partial_ms == 0)
    colt_zone_fail (zone,
                    "a reconciliation completed without all servers although "
                    "partial_ms is 0");
  for (server = 1; server <= zone->plan.servers; server++)
    if (zone->plan.partial_ms == 0
        || colt_shard_leader_may_start (instance->leader, shard, server, now,
                                        NULL, NULL))
      colt_zone_check_reported (instance, shard, server,
                                "a reconciliation missed a running task");
  zone->latest_leaders[shard].instance = instance->number;
  zone->latest_leaders[shard].epoch = epoch;
  zone->reconciliations++;
}

static void
on_shard_lost_ (void *client,
                uint32_t shard,
                uint64_t epoch,
                enum ColtShardLoss loss)
{
  (void)client;
  (void)shard;
  (void)epoch;
  (void)loss;
}

static void
on_server_joined_ (void *client,
                   uint32_t shard,
                   uint32_t server,
                   uint32_t owner,
                   uint64_t server_epoch)
{
  struct ColtZoneInstance *instance = client;

  (void)owner;
  (void)server_epoch;
  if (colt_zone_is_leader_effective (instance, shard))
    colt_zone_check_reported (
        client, shard, server,
        "the report of a server that joined late missed a running task");
}

static void
on_server_left_ (void *client, uint32_t shard, uint32_t server)
{
  (void)client;
  (void)shard;
  (void)server;
}

static void
on_server_written_off_ (void *client, uint32_t shard, uint32_t server)
{
  struct ColtZoneInstance *instance = client;

  if (colt_zone_is_leader_effective (instance, shard)
      && colt_zone_server_count_running (instance->zone->servers[server],
                                         instance->zone->now, shard)
             > 0)
    colt_zone_fail (instance->zone,
                    "a server was written off although it runs a task");
}

static const struct ColtShardLeaderClient leader_callbacks
    = { send_open_,          send_confirm_,       on_reconciliation_started_,
        on_server_reported_, on_shard_activated_, on_shard_lost_,
        on_server_joined_,   on_server_left_,     on_server_written_off_ };

/* ---- Instances ---- */

void
colt_zone_boot (struct ColtZoneInstance *instance)
{
  struct ColtZone *zone = instance->zone;
  struct ColtLeaseTimes times = { 400, 100, 40, 1500, COLT_DRIFT_PERMILLE };
  struct ColtShardTimes shard_times = {
    400, 120, 80, 500, COLT_ZONE_TASK_LEASE_MS, 10000, 0, COLT_DRIFT_PERMILLE
  };
  int i;

  shard_times.partial_ms = zone->plan.partial_ms;
  instance->is_alive = true;
  instance->is_stopping = false;
  instance->incarnation = ++zone->last_incarnation;
  instance->changed_at = zone->now;
  instance->paused_until = 0;
  instance->offset = g_rand_int_range (zone->random, 1, 1 << 30);
  instance->ppm = g_rand_int_range (zone->random, -zone->plan.drift_ppm,
                                    zone->plan.drift_ppm + 1);
  instance->next_start = zone->now;
  instance->next_task_renewal = zone->now;
  instance->lists_last_server
      = !colt_zone_random_bool (zone, zone->plan.restricted_views * 10);
  if (zone->plan.with_shards)
    {
      instance->owner
          = colt_shard_owner_create (instance->number, instance->incarnation,
                                     &shard_times, &owner_callbacks, instance);
      instance->leader = colt_shard_leader_create (
          instance->number, instance->incarnation, &shard_times,
          &leader_callbacks, instance);
    }
  for (i = 1; i <= zone->plan.servers; i++)
    {
      instance->refs[i].instance = instance;
      instance->refs[i].server = (uint32_t)i;
      instance->known_tasks[i]
          = g_hash_table_new (g_direct_hash, g_direct_equal);
      instance->leases[i]
          = colt_server_lease_create ((uint32_t)i, instance->number, &times,
                                      &lease_callbacks, &instance->refs[i]);
    }
}

void
colt_zone_halt (struct ColtZoneInstance *instance)
{
  uint32_t shard;
  int i;

  instance->is_alive = false;
  instance->changed_at = instance->zone->now;
  for (i = 1; i <= instance->zone->plan.servers; i++)
    {
      g_clear_pointer (&instance->leases[i], colt_server_lease_destroy);
      g_clear_pointer (&instance->known_tasks[i], g_hash_table_unref);
      for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
        {
          g_clear_pointer (&instance->reported_tasks[shard][i],
                           g_hash_table_unref);
        }
    }
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      g_clear_pointer (&instance->sent_starts[shard], g_hash_table_unref);
    }
  g_clear_pointer (&instance->owner, colt_shard_owner_destroy);
  g_clear_pointer (&instance->leader, colt_shard_leader_destroy);
}

int64_t
colt_zone_wake_time (const struct ColtZoneInstance *instance)
{
  int64_t due = COLT_TIME_NEVER;
  int i;

  if (!instance->is_alive)
    return COLT_TIME_NEVER;
  for (i = 1; i <= instance->zone->plan.servers; i++)
    due = MIN (due, colt_server_lease_wake_time (instance->leases[i]));
  if (instance->leader != NULL)
    due = MIN (due, colt_shard_leader_wake_time (instance->leader));
  due = MIN (colt_zone_sim_time (instance, due), instance->next_task_renewal);
  if (instance->leader != NULL)
    due = MIN (due, instance->next_start);
  return MAX (due, instance->paused_until);
}

void
colt_zone_process (struct ColtZoneInstance *instance)
{
  struct ColtZone *zone = instance->zone;
  int64_t now = colt_zone_local_time (instance, zone->now);
  int i;

  if (!instance->is_alive || instance->paused_until > zone->now)
    return;
  for (i = 1; i <= zone->plan.servers; i++)
    if (colt_server_lease_wake_time (instance->leases[i]) <= now)
      colt_server_lease_process (instance->leases[i], now);
  if (instance->leader != NULL
      && colt_shard_leader_wake_time (instance->leader) <= now)
    colt_shard_leader_process (instance->leader, now);
  if (instance->leader != NULL && instance->next_start <= zone->now)
    start_task_ (instance);
  if (instance->next_task_renewal <= zone->now)
    renew_tasks_ (instance);
}

void
colt_zone_handle_answer (struct ColtZoneInstance *instance,
                         const struct ColtZoneEvent *event)
{
  const struct ColtZoneCall *call = &event->call;
  struct ColtServerLease *lease = instance->leases[call->server];
  int64_t now = colt_zone_local_time (instance, instance->zone->now);
  char token[COLT_BACKEND_TOKEN_SIZE];

  snprintf (token, sizeof token, "%d", event->answer.token);
  if (event->answer.is_fenced)
    colt_server_lease_handle_fenced (lease, call->number, &event->answer.fence,
                                     now);
  else if (call->kind == COLT_ZONE_ACQUIRE)
    colt_server_lease_handle_acquired (lease, call->number, token, now);
  else if (call->kind == COLT_ZONE_RELEASE)
    colt_server_lease_handle_released (lease, call->number, now);
  else if (call->kind == COLT_ZONE_INVENTORY)
    handle_inventory_ (instance, event);
  else
    colt_server_lease_handle_renewed (lease, call->number, token, now);
}

void
colt_zone_handle_message (struct ColtZoneInstance *instance,
                          const struct ColtZoneEvent *event)
{
  int64_t now = colt_zone_local_time (instance, instance->zone->now);
  struct ColtShardOpen open;
  struct ColtShardOpened opened;
  struct ColtShardConfirm confirm;
  struct ColtShardConfirmed confirmed;
  uint8_t *body;
  size_t size;

  switch (event->peer_kind)
    {
    case PEER_OPEN:
      if (!colt_shard_open_unpack (event->body, event->size, &open, NULL))
        colt_zone_fail (instance->zone, "cannot unpack an open message");
      colt_shard_owner_handle_open (instance->owner, &open, &opened, now);
      body = colt_shard_opened_pack (&opened, &size);
      send_peer_ (instance, event->from, open.incarnation, PEER_OPENED, body,
                  size);
      colt_shard_opened_clear (&opened);
      colt_shard_open_clear (&open);
      break;
    case PEER_OPENED:
      if (!colt_shard_opened_unpack (event->body, event->size, &opened, NULL))
        colt_zone_fail (instance->zone,
                        "cannot unpack the answer to an open message");
      colt_shard_leader_handle_opened (instance->leader, &opened, now);
      colt_shard_opened_clear (&opened);
      break;
    case PEER_CONFIRM:
      if (!colt_shard_confirm_unpack (event->body, event->size, &confirm, NULL))
        colt_zone_fail (instance->zone, "cannot unpack a confirm message");
      colt_shard_owner_handle_confirm (instance->owner, &confirm, &confirmed,
                                       now);
      body = colt_shard_confirmed_pack (&confirmed, &size);
      instance->zone->confirm_bytes += (int64_t)size;
      send_peer_ (instance, event->from, confirm.incarnation, PEER_CONFIRMED,
                  body, size);
      colt_shard_confirmed_clear (&confirmed);
      colt_shard_confirm_clear (&confirm);
      break;
    case PEER_CONFIRMED:
      if (!colt_shard_confirmed_unpack (event->body, event->size, &confirmed,
                                        NULL))
        colt_zone_fail (instance->zone,
                        "cannot unpack the answer to a confirm message");
      colt_shard_leader_handle_confirmed (instance->leader, &confirmed, now);
      colt_shard_confirmed_clear (&confirmed);
      break;
    case PEER_START:
      handle_start_ (instance, event);
      break;
    }
}

static void
handle_inventory_ (struct ColtZoneInstance *instance,
                   const struct ColtZoneEvent *event)
{
  uint32_t server = event->call.server;
  struct ColtServerLease *lease = instance->leases[server];
  int64_t now = colt_zone_local_time (instance, instance->zone->now);
  char token[COLT_BACKEND_TOKEN_SIZE];
  guint i;

  if (colt_server_lease_state (lease) != COLT_LEASE_TAKING_INVENTORY
      || colt_server_lease_epoch (lease) != event->call.epoch)
    return;
  g_hash_table_remove_all (instance->known_tasks[server]);
  for (i = 0; i < event->answer.tasks->len; i++)
    {
      const struct ColtZoneTask *task
          = &g_array_index (event->answer.tasks, struct ColtZoneTask, i);

      g_hash_table_insert (instance->known_tasks[server],
                           GUINT_TO_POINTER (task->number),
                           GUINT_TO_POINTER (task->shard + 1));
    }
  snprintf (token, sizeof token, "%d", event->answer.token);
  colt_server_lease_handle_inventory (lease, event->call.number, token, now);
  if (colt_server_lease_may_start (lease, now) && instance->owner != NULL)
    colt_shard_owner_add_server (instance->owner, server, event->call.epoch,
                                 event->answer.epochs, COLT_SHARD_COUNT, now);
}

static void
handle_start_ (struct ColtZoneInstance *instance,
               const struct ColtZoneEvent *event)
{
  struct ColtServerLease *lease = instance->leases[event->server];
  int64_t now = colt_zone_local_time (instance, instance->zone->now);
  struct ColtZoneCall call = { 0 };

  if (colt_shard_owner_check_start (instance->owner, event->start.shard,
                                    event->start.shard_epoch, event->server,
                                    event->server_epoch, now)
      != COLT_SHARD_CHECK_OK)
    return;
  call.kind = COLT_ZONE_START;
  call.server = event->server;
  call.number = colt_server_lease_open_call (lease, true, now);
  if (call.number == 0)
    return;
  call.epoch = colt_server_lease_epoch (lease);
  call.token = atoi (colt_server_lease_token (lease));
  call.task.number = colt_zone_task_number (&event->start.ref);
  call.task.shard = event->start.shard;
  call.task.epoch = event->start.shard_epoch;
  g_hash_table_insert (instance->known_tasks[event->server],
                       GUINT_TO_POINTER (call.task.number),
                       GUINT_TO_POINTER (call.task.shard + 1));
  call_server_ (instance, &call);
}

static void
call_server_ (struct ColtZoneInstance *instance,
              const struct ColtZoneCall *call)
{
  struct ColtZoneEvent event = { 0 };

  event.kind = EVENT_TO_SERVER;
  event.instance = instance->number;
  event.incarnation = instance->incarnation;
  event.call = *call;
  event.call.owner = instance->number;
  colt_zone_send (instance->zone, &event);
  event.kind = EVENT_CALL_TIMEOUT;
  colt_zone_schedule (instance->zone, &event, CALL_TIMEOUT_US);
}

static void
send_peer_ (struct ColtZoneInstance *instance,
            uint32_t to,
            uint64_t incarnation,
            enum ColtZonePeerKind kind,
            uint8_t *body,
            size_t size)
{
  struct ColtZoneEvent event = { 0 };

  event.kind = EVENT_PEER_MESSAGE;
  event.instance = to;
  event.incarnation = incarnation;
  event.from = instance->number;
  event.peer_kind = kind;
  event.body = body;
  event.size = size;
  colt_zone_send (instance->zone, &event);
  free (body);
}

static void
start_task_ (struct ColtZoneInstance *instance)
{
  struct ColtZone *zone = instance->zone;
  int64_t now = colt_zone_local_time (instance, zone->now);
  uint32_t shard
      = (uint32_t)g_rand_int_range (zone->random, 0, COLT_SHARD_COUNT);
  uint32_t server
      = (uint32_t)g_rand_int_range (zone->random, 1, zone->plan.servers + 1);
  struct ColtZoneEvent event = { 0 };
  uint32_t owner;
  int i;

  instance->next_start = zone->now + START_INTERVAL_US;
  for (i = 0; i < (int)COLT_SHARD_COUNT; i++)
    {
      shard = (shard + 1) % COLT_SHARD_COUNT;
      if (colt_shard_leader_may_start (instance->leader, shard, server, now,
                                       &owner, &event.server_epoch))
        break;
    }
  if (i == (int)COLT_SHARD_COUNT)
    return;
  event.kind = EVENT_PEER_MESSAGE;
  event.peer_kind = PEER_START;
  event.instance = owner;
  event.from = instance->number;
  event.server = server;
  event.start.ref = colt_zone_task_ref (++zone->last_task);
  event.start.shard = shard;
  event.start.shard_epoch = colt_shard_leader_epoch (instance->leader, shard);
  g_hash_table_add (instance->sent_starts[shard],
                    GUINT_TO_POINTER (zone->last_task));
  colt_zone_send (zone, &event);
}

static void
renew_tasks_ (struct ColtZoneInstance *instance)
{
  struct ColtZone *zone = instance->zone;
  int64_t now = colt_zone_local_time (instance, zone->now);
  uint32_t shard;
  int i;

  instance->next_task_renewal = zone->now + TASK_RENEW_INTERVAL_US;
  for (i = 1; instance->owner != NULL && i <= zone->plan.servers; i++)
    {
      struct ColtZoneCall call = { 0 };

      call.kind = COLT_ZONE_RENEW_TASKS;
      call.server = (uint32_t)i;
      call.number
          = colt_server_lease_open_call (instance->leases[i], true, now);
      if (call.number == 0)
        continue;
      call.epoch = colt_server_lease_epoch (instance->leases[i]);
      call.token = atoi (colt_server_lease_token (instance->leases[i]));
      for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
        if (colt_shard_owner_may_renew_tasks (instance->owner, shard,
                                              (uint32_t)i, now))
          call.shards |= UINT64_C (1) << shard;
      call_server_ (instance, &call);
    }
}
