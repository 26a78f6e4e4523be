#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* Interval between two describe calls to a server while its lease is held. */
#define DESCRIBE_INTERVAL_US (2 * COLT_US_PER_S)

/* Context of an open call. */
struct ColtCallContext
{
  struct ColtOwnedServer *server;
  uint64_t call; /* number of the call in the lease, 0: a periodic describe */
};

static void send_acquire_ (void *client, uint64_t call, uint64_t epoch);
static void send_describe_ (void *client, uint64_t call, uint64_t epoch);
static void
send_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token);
static void
send_release_ (void *client, uint64_t call, uint64_t epoch, const char *token);
static void on_lease_held_ (void *client, uint64_t epoch);
static void
on_lease_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss);
static void send_hint_ (void *client, uint64_t epoch, uint32_t successor);
static struct ColtCallContext *create_call_ (struct ColtOwnedServer *server,
                                             uint64_t call);
static void finish_acquire_ (void *client,
                             const struct ColtBackendStatus *status,
                             const struct ColtBackendLease *lease);
static void finish_renew_ (void *client,
                           const struct ColtBackendStatus *status,
                           const struct ColtBackendLease *lease);
static void finish_release_ (void *client,
                             const struct ColtBackendStatus *status,
                             const struct ColtBackendLease *lease);
static void finish_describe_ (void *client,
                              const struct ColtBackendStatus *status,
                              const struct ColtBackendDescription *description);
static void finish_inventory_ (void *client,
                               const struct ColtBackendStatus *status,
                               const struct ColtBackendInventory *inventory);
static void report_failed_call_ (struct ColtOwnedServer *server,
                                 uint64_t call,
                                 const struct ColtBackendStatus *status,
                                 int64_t now_us);
static void activate_server_ (struct ColtOwnedServer *server,
                              const struct ColtBackendInventory *inventory,
                              int64_t now_us);
static void load_inventory_ (struct ColtOwnedServer *server,
                             const struct ColtBackendInventory *inventory);
static void load_task_ (struct ColtOwnedServer *server,
                        const struct ColtTaskReport *report);
static void drop_tasks_ (struct ColtOwnedServer *server);
static void refuse_queued_starts_ (struct ColtOwnedServer *server);
static void process_server_ (evutil_socket_t fd, short what, void *arg);

static const struct ColtLeaseClient lease_client
    = { send_acquire_,  send_describe_, send_renew_, send_release_,
        on_lease_held_, on_lease_lost_, send_hint_ };

struct ColtOwnedServer *
colt_owned_server_create (struct ColtOwner *owner,
                          const struct ColtListServer *listed)
{
  struct ColtOwnedServer *server = g_new0 (struct ColtOwnedServer, 1);
  struct ColtLeaseTimes times;
  unsigned shard;

  server->owner = owner;
  server->id = listed->id;
  server->rack = listed->rack;
  g_strlcpy (server->address, listed->address, sizeof server->address);
  server->driver
      = owner->parts.factory (owner->parts.factory_client, listed->address);
  colt_lease_times_default (&times);
  server->lease = colt_server_lease_create (listed->id, owner->parts.instance,
                                            &times, &lease_client, server);
  server->timer = evtimer_new (owner->parts.base, process_server_, server);
  server->resizes
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendResize));
  server->speed_permille = COLT_SPEED_NORMAL;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    g_queue_init (&server->shards[shard]);
  g_queue_init (&server->queue);
  g_queue_init (&server->stops);
  g_queue_init (&server->unconfirmed);
  return server;
}

void
colt_owned_server_destroy (struct ColtOwnedServer *server)
{
  drop_tasks_ (server);
  colt_owned_server_detach_change (server);
  server->driver->cancel (server->driver);
  server->driver->destroy (server->driver);
  colt_server_lease_destroy (server->lease);
  event_free (server->timer);
  g_queue_clear_full (&server->stops, g_free);
  g_array_unref (server->resizes);
  g_free (server);
}

void
colt_owned_server_arm_timer (struct ColtOwnedServer *server)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t wake_us = colt_server_lease_wake_time (server->lease);
  int64_t delay_us = CLAMP (wake_us - now_us, 1000, COLT_US_PER_S);
  struct timeval delay = { delay_us / COLT_US_PER_S, delay_us % COLT_US_PER_S };

  evtimer_add (server->timer, &delay);
}

bool
colt_owned_server_accepts_work (const struct ColtOwnedServer *server,
                                int64_t now_us)
{
  return !server->leaving && !server->owner->stopping
         && colt_server_lease_may_start (server->lease, now_us);
}

struct ColtResources
colt_owned_server_available (const struct ColtOwnedServer *server)
{
  struct ColtResources free = server->capacity;

  colt_resources_subtract (&free, &server->reserved);
  return free;
}

void
colt_owned_server_reserve (struct ColtOwnedServer *server,
                           struct ColtOwnerTask *task)
{
  if (task->holds_resources)
    return;
  task->holds_resources = true;
  colt_resources_add (&server->reserved, &task->limit);
  server->digest_due = true;
}

void
colt_owned_server_unreserve (struct ColtOwnedServer *server,
                             struct ColtOwnerTask *task)
{
  if (task->holds_resources)
    {
      task->holds_resources = false;
      colt_resources_subtract (&server->reserved, &task->limit);
      server->digest_due = true;
    }
  colt_owner_release_credits (server->owner, task);
}

bool
colt_owned_server_end_call (struct ColtOwnedServer *server,
                            uint64_t call,
                            const struct ColtBackendStatus *status,
                            const char *token)
{
  int64_t now_us = colt_clock_monotonic_us ();

  if (status->result == COLT_BACKEND_OK)
    colt_server_lease_handle_renewed (server->lease, call, token, now_us);
  else
    report_failed_call_ (server, call, status, now_us);
  colt_owned_server_arm_timer (server);
  return status->result == COLT_BACKEND_OK;
}

static void
send_acquire_ (void *client, uint64_t call, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;

  server->driver->acquire (server->driver, server->owner->parts.instance, epoch,
                           COLT_SERVER_LEASE_MS, finish_acquire_,
                           create_call_ (server, call));
}

/* Describes the server; finish_describe_() then fetches the inventory, so that
 * the capacity is set before the tasks are loaded. */
static void
send_describe_ (void *client, uint64_t call, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;

  (void)epoch;
  server->inventory_call = call;
  server->driver->describe (server->driver, finish_describe_,
                            create_call_ (server, call));
}

static void
send_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct ColtOwnedServer *server = client;

  server->driver->renew (server->driver, server->owner->parts.instance, epoch,
                         token, COLT_SERVER_LEASE_MS, finish_renew_,
                         create_call_ (server, call));
}

static void
send_release_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct ColtOwnedServer *server = client;

  server->driver->release (server->driver, server->owner->parts.instance, epoch,
                           token, finish_release_, create_call_ (server, call));
}

static void
on_lease_held_ (void *client, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;
  struct ColtOwner *owner = server->owner;

  colt_log (
      COLT_LOG_INFO, MODULE, NULL,
      "lease held; work starts on backend server %u, epoch %" G_GUINT64_FORMAT,
      server->id, epoch);
  colt_counters_increment (owner->parts.counters, owner->counters.takeovers, 1);
  if (owner->credits != NULL)
    colt_credit_holder_add_server (owner->credits, server->id, epoch);
  server->renewed_us = 0;
  server->digest_due = true;
}

static void
on_lease_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss)
{
  struct ColtOwnedServer *server = client;
  struct ColtOwner *owner = server->owner;

  colt_log (loss == COLT_LEASE_LOSS_RELEASED ? COLT_LOG_INFO : COLT_LOG_WARNING,
            MODULE, NULL,
            "lease ended on backend server %u at epoch %" G_GUINT64_FORMAT
            ": %s; stopping starts on the server",
            server->id, epoch, colt_lease_loss_string[loss]);
  colt_counters_increment (owner->parts.counters, owner->counters.lost, 1);
  colt_shard_owner_remove_server (owner->shard_owner, server->id);
  refuse_queued_starts_ (server);
  drop_tasks_ (server);
  if (owner->credits != NULL)
    colt_credit_holder_mark_server_lost (owner->credits, server->id);
  colt_owned_server_detach_change (server);
  g_array_append_val (owner->lost_servers, server->id);
  if (owner->parts.all_leases_lost != NULL && !owner->stopping
      && !colt_owner_holds_any_lease (owner, colt_clock_monotonic_us ()))
    owner->parts.all_leases_lost (owner->parts.all_leases_lost_client);
}

static void
send_hint_ (void *client, uint64_t epoch, uint32_t successor)
{
  struct ColtOwnedServer *server = client;
  ColtHintWord message = COLT_HINT_WORD__INIT;
  uint8_t *body;
  size_t size;

  if (successor == 0 || successor == server->owner->parts.instance)
    return;
  message.server = server->id;
  message.epoch = epoch;
  body = colt_message_pack (&message.base, &size);
  colt_wire_send (server->owner->parts.wire, successor, COLT_WIRE_PLACE_HINT,
                  body, size);
  free (body);
}

static struct ColtCallContext *
create_call_ (struct ColtOwnedServer *server, uint64_t call)
{
  struct ColtCallContext *context = g_new0 (struct ColtCallContext, 1);

  context->server = server;
  context->call = call;
  return context;
}

static void
finish_acquire_ (void *client,
                 const struct ColtBackendStatus *status,
                 const struct ColtBackendLease *lease)
{
  struct ColtCallContext *context = client;
  struct ColtOwnedServer *server = context->server;
  int64_t now_us = colt_clock_monotonic_us ();

  if (status->result == COLT_BACKEND_OK)
    colt_server_lease_handle_acquired (server->lease, context->call,
                                       lease->token, now_us);
  else
    report_failed_call_ (server, context->call, status, now_us);
  colt_owned_server_arm_timer (server);
  g_free (context);
}

static void
finish_renew_ (void *client,
               const struct ColtBackendStatus *status,
               const struct ColtBackendLease *lease)
{
  struct ColtCallContext *context = client;

  colt_owned_server_end_call (context->server, context->call, status,
                              lease != NULL ? lease->token : "");
  g_free (context);
}

static void
finish_release_ (void *client,
                 const struct ColtBackendStatus *status,
                 const struct ColtBackendLease *lease)
{
  struct ColtCallContext *context = client;
  struct ColtOwnedServer *server = context->server;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)lease;
  if (status->result == COLT_BACKEND_OK
      || status->result == COLT_BACKEND_FENCED)
    colt_server_lease_handle_released (server->lease, context->call, now_us);
  else
    colt_server_lease_handle_failure (server->lease, context->call, now_us);
  colt_owned_server_arm_timer (server);
  g_free (context);
}

/* Stores the description. If it was requested for the lease's inventory, the
 * inventory is fetched next. */
static void
finish_describe_ (void *client,
                  const struct ColtBackendStatus *status,
                  const struct ColtBackendDescription *description)
{
  struct ColtCallContext *context = client;
  struct ColtOwnedServer *server = context->server;
  uint64_t call = context->call;

  server->describe_open = false;
  server->described_us = colt_clock_monotonic_us ();
  if (status->result == COLT_BACKEND_OK)
    {
      server->digest_due |= server->leaving != description->leaving;
      server->leaving = description->leaving;
      server->capacity = description->capacity;
      server->rack = description->rack;
    }
  if (call == 0)
    {
      g_free (context);
      return;
    }
  if (status->result == COLT_BACKEND_OK)
    {
      server->driver->inventory (server->driver,
                                 colt_server_lease_epoch (server->lease),
                                 finish_inventory_, context);
      return;
    }
  colt_server_lease_handle_failure (server->lease, call, server->described_us);
  colt_owned_server_arm_timer (server);
  g_free (context);
}

static void
finish_inventory_ (void *client,
                   const struct ColtBackendStatus *status,
                   const struct ColtBackendInventory *inventory)
{
  struct ColtCallContext *context = client;
  struct ColtOwnedServer *server = context->server;
  int64_t now_us = colt_clock_monotonic_us ();

  if (status->result == COLT_BACKEND_OK
      && colt_server_lease_state (server->lease) == COLT_LEASE_TAKING_INVENTORY
      && server->inventory_call == context->call)
    {
      load_inventory_ (server, inventory);
      colt_server_lease_handle_inventory (server->lease, context->call,
                                          inventory->token, now_us);
      if (colt_server_lease_state (server->lease) == COLT_LEASE_HELD)
        activate_server_ (server, inventory, now_us);
    }
  else
    report_failed_call_ (server, context->call, status, now_us);
  colt_owned_server_arm_timer (server);
  g_free (context);
}

/* Reports a failed call to the lease, with the fence if another holder or epoch
 * caused the failure. */
static void
report_failed_call_ (struct ColtOwnedServer *server,
                     uint64_t call,
                     const struct ColtBackendStatus *status,
                     int64_t now_us)
{
  if (status->result == COLT_BACKEND_FENCED)
    colt_server_lease_handle_fenced (server->lease, call, &status->fence,
                                     now_us);
  else
    colt_server_lease_handle_failure (server->lease, call, now_us);
}

static void
activate_server_ (struct ColtOwnedServer *server,
                  const struct ColtBackendInventory *inventory,
                  int64_t now_us)
{
  GArray *epochs = g_array_new (FALSE, FALSE, sizeof (struct ColtShardEpoch));
  size_t i;

  for (i = 0; i < inventory->epoch_count; i++)
    {
      struct ColtShardEpoch epoch
          = { inventory->epochs[i].shard, inventory->epochs[i].epoch };

      g_array_append_val (epochs, epoch);
    }
  colt_shard_owner_add_server (server->owner->shard_owner, server->id,
                               colt_server_lease_epoch (server->lease),
                               (const struct ColtShardEpoch *)epochs->data,
                               epochs->len, now_us);
  g_array_unref (epochs);
  colt_owned_server_poll_events (server);
  colt_owned_server_send_changes (server);
}

static void
load_inventory_ (struct ColtOwnedServer *server,
                 const struct ColtBackendInventory *inventory)
{
  size_t i;

  drop_tasks_ (server);
  memset (&server->reserved, 0, sizeof server->reserved);
  for (i = 0; i < inventory->task_count; i++)
    load_task_ (server, &inventory->tasks[i]);
  server->next_event = inventory->next;
  server->known_since_s = (uint32_t)((colt_clock_wall_us () / COLT_US_PER_MS
                                      - inventory->history_ms)
                                     / 1000);
}

static void
load_task_ (struct ColtOwnedServer *server, const struct ColtTaskReport *report)
{
  struct ColtOwner *owner = server->owner;
  struct ColtOwnerTask *task
      = colt_owner_tasks_find (owner->tasks, &report->ref);

  if (task != NULL)
    colt_owner_tasks_remove (owner->tasks, task);
  task = colt_owner_tasks_add (owner->tasks, server, &report->ref, report->team,
                               report->shard);
  task->shard_epoch = report->shard_epoch;
  task->kind = report->kind;
  task->limit = report->limit;
  task->usage = report->usage;
  task->run_ms = report->run_ms;
  if (report->state == COLT_TASK_RUNNING)
    {
      task->state = COLT_OWNER_TASK_RUNNING;
      server->running++;
      colt_owned_server_reserve (server, task);
      colt_owner_adopt_credits (owner, task);
      return;
    }
  task->state = COLT_OWNER_TASK_ENDED;
  task->end_state = report->state;
  task->exit_status = report->exit_status;
  task->ended_us = colt_clock_monotonic_us ();
  colt_owner_tasks_record_end (owner->tasks, task);
}

/*
 * Drops the records of the server's tasks, which its next owner loads from the
 * inventory. The credits of these tasks stay charged until the leader reports
 * that the next owner counts them.
 */
static void
drop_tasks_ (struct ColtOwnedServer *server)
{
  struct ColtOwner *owner = server->owner;
  unsigned shard;

  colt_owner_refuse_credit_waits (owner, server);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    while (!g_queue_is_empty (&server->shards[shard]))
      {
        struct ColtOwnerTask *task = g_queue_peek_head (&server->shards[shard]);

        colt_owner_tasks_remove (owner->tasks, task);
      }
  g_queue_clear (&server->queue);
  g_queue_clear_full (&server->unconfirmed, g_free);
  g_queue_clear_full (&server->stops, g_free);
  g_array_set_size (server->resizes, 0);
  server->running = 0;
  memset (&server->reserved, 0, sizeof server->reserved);
}

/* Refuses the queued starts of which no copy was sent; the others may have
 * taken effect. */
static void
refuse_queued_starts_ (struct ColtOwnedServer *server)
{
  struct ColtOwnerTask *task;

  colt_owner_refuse_credit_waits (server->owner, server);
  while ((task = g_queue_pop_head (&server->queue)) != NULL)
    if (!task->maybe_started)
      colt_owner_refuse_task (server->owner, task, COLT_REFUSAL_FENCED);
}

static void
process_server_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtOwnedServer *server = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  colt_server_lease_process (server->lease, now_us);
  if (colt_server_lease_may_start (server->lease, now_us)
      && !server->describe_open
      && now_us - server->described_us >= DESCRIBE_INTERVAL_US)
    {
      server->describe_open = true;
      server->driver->describe (server->driver, finish_describe_,
                                create_call_ (server, 0));
    }
  colt_owned_server_look_up_unconfirmed (server);
  colt_owned_server_poll_events (server);
  colt_owned_server_send_changes (server);
  colt_owned_server_arm_timer (server);
}
