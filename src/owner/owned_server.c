#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* Time between two descriptions of a server that is held. */
#define DESCRIBE_INTERVAL_US (2 * COLT_US_PER_S)

/* A call whose end belongs to the lease. */
struct ColtLeaseCallEnd
{
  struct ColtOwnedServer *server;
  uint64_t call;
};

static void on_acquire_ (void *client, uint64_t call, uint64_t epoch);
static void on_take_inventory_ (void *client, uint64_t call, uint64_t epoch);
static void
on_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token);
static void
on_release_ (void *client, uint64_t call, uint64_t epoch, const char *token);
static void on_held_ (void *client, uint64_t epoch);
static void on_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss);
static void on_handed_over_ (void *client, uint64_t epoch, uint32_t heir);
static struct ColtLeaseCallEnd *open_end_ (struct ColtOwnedServer *server,
                                           uint64_t call);
static void on_acquired_ (void *client,
                          const struct ColtBackendStatus *status,
                          const struct ColtBackendLease *lease);
static void on_renewed_ (void *client,
                         const struct ColtBackendStatus *status,
                         const struct ColtBackendLease *lease);
static void on_released_ (void *client,
                          const struct ColtBackendStatus *status,
                          const struct ColtBackendLease *lease);
static void on_described_ (void *client,
                           const struct ColtBackendStatus *status,
                           const struct ColtBackendDescription *description);
static void on_inventory_ (void *client,
                           const struct ColtBackendStatus *status,
                           const struct ColtBackendInventory *inventory);
static void fail_call_ (struct ColtOwnedServer *server,
                        uint64_t call,
                        const struct ColtBackendStatus *status,
                        int64_t now_us);
static void begin_holding_ (struct ColtOwnedServer *server,
                            const struct ColtBackendInventory *inventory,
                            int64_t now_us);
static void take_inventory_ (struct ColtOwnedServer *server,
                             const struct ColtBackendInventory *inventory);
static void take_task_ (struct ColtOwnedServer *server,
                        const struct ColtTaskReport *report);
static void forget_tasks_ (struct ColtOwnedServer *server);
static void refuse_queue_ (struct ColtOwnedServer *server);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);

static const struct ColtLeaseClient lease_client
    = { on_acquire_, on_take_inventory_, on_renew_,      on_release_,
        on_held_,    on_lost_,           on_handed_over_ };

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
  server->timer = evtimer_new (owner->parts.base, on_timer_, server);
  server->resizes
      = g_array_new (FALSE, FALSE, sizeof (struct ColtBackendResize));
  server->speed_permille = COLT_SPEED_NORMAL;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    g_queue_init (&server->shards[shard]);
  g_queue_init (&server->queue);
  g_queue_init (&server->stops);
  g_queue_init (&server->unsure);
  return server;
}

void
colt_owned_server_destroy (struct ColtOwnedServer *server)
{
  forget_tasks_ (server);
  colt_owned_server_drop_change (server);
  server->driver->cancel (server->driver);
  server->driver->destroy (server->driver);
  colt_server_lease_destroy (server->lease);
  event_free (server->timer);
  g_queue_clear_full (&server->stops, g_free);
  g_array_unref (server->resizes);
  g_free (server);
}

void
colt_owned_server_arm (struct ColtOwnedServer *server)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t wake_us = colt_server_lease_wake_time (server->lease);
  int64_t delay_us = CLAMP (wake_us - now_us, 1000, COLT_US_PER_S);
  struct timeval delay = { delay_us / COLT_US_PER_S, delay_us % COLT_US_PER_S };

  evtimer_add (server->timer, &delay);
}

bool
colt_owned_server_takes_work (const struct ColtOwnedServer *server,
                              int64_t now_us)
{
  return !server->leaving && !server->owner->stopping
         && colt_server_lease_may_start (server->lease, now_us);
}

struct ColtResources
colt_owned_server_free (const struct ColtOwnedServer *server)
{
  struct ColtResources free = server->capacity;

  colt_resources_subtract (&free, &server->reserved);
  return free;
}

void
colt_owned_server_charge (struct ColtOwnedServer *server,
                          struct ColtOwnerTask *task)
{
  if (task->charged)
    return;
  task->charged = true;
  colt_resources_add (&server->reserved, &task->limit);
  server->digest_due = true;
}

void
colt_owned_server_discharge (struct ColtOwnedServer *server,
                             struct ColtOwnerTask *task)
{
  if (task->charged)
    {
      task->charged = false;
      colt_resources_subtract (&server->reserved, &task->limit);
      server->digest_due = true;
    }
  colt_owner_give_credits (server->owner, task);
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
    fail_call_ (server, call, status, now_us);
  colt_owned_server_arm (server);
  return status->result == COLT_BACKEND_OK;
}

static void
on_acquire_ (void *client, uint64_t call, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;

  server->driver->acquire (server->driver, server->owner->parts.instance, epoch,
                           COLT_SERVER_LEASE_MS, on_acquired_,
                           open_end_ (server, call));
}

/* The description comes first, for what the server holds in all. */
static void
on_take_inventory_ (void *client, uint64_t call, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;

  (void)epoch;
  server->inventory_call = call;
  server->driver->describe (server->driver, on_described_,
                            open_end_ (server, call));
}

static void
on_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct ColtOwnedServer *server = client;

  server->driver->renew (server->driver, server->owner->parts.instance, epoch,
                         token, COLT_SERVER_LEASE_MS, on_renewed_,
                         open_end_ (server, call));
}

static void
on_release_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct ColtOwnedServer *server = client;

  server->driver->release (server->driver, server->owner->parts.instance, epoch,
                           token, on_released_, open_end_ (server, call));
}

static void
on_held_ (void *client, uint64_t epoch)
{
  struct ColtOwnedServer *server = client;
  struct ColtOwner *owner = server->owner;

  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "holds backend server %u at epoch %" G_GUINT64_FORMAT, server->id,
            epoch);
  colt_counters_count (owner->parts.counters, owner->counters.takeovers, 1);
  if (owner->credits != NULL)
    colt_credit_holder_hold_server (owner->credits, server->id, epoch);
  server->renewed_us = 0;
  server->digest_due = true;
}

static void
on_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss)
{
  struct ColtOwnedServer *server = client;
  struct ColtOwner *owner = server->owner;

  colt_log (loss == COLT_LEASE_LOSS_RELEASED ? COLT_LOG_INFO : COLT_LOG_WARNING,
            MODULE, NULL,
            "no longer holds backend server %u at epoch %" G_GUINT64_FORMAT
            ": %s",
            server->id, epoch, colt_lease_loss_string[loss]);
  colt_counters_count (owner->parts.counters, owner->counters.lost, 1);
  colt_shard_owner_remove_server (owner->shard_owner, server->id);
  refuse_queue_ (server);
  forget_tasks_ (server);
  if (owner->credits != NULL)
    colt_credit_holder_lose_server (owner->credits, server->id);
  colt_owned_server_drop_change (server);
  g_array_append_val (owner->gone, server->id);
  if (owner->parts.bare != NULL && !owner->stopping
      && !colt_owner_holds_any (owner, colt_clock_monotonic_us ()))
    owner->parts.bare (owner->parts.bare_client);
}

static void
on_handed_over_ (void *client, uint64_t epoch, uint32_t heir)
{
  struct ColtOwnedServer *server = client;
  ColtHintWord word = COLT_HINT_WORD__INIT;
  uint8_t *body;
  size_t size;

  if (heir == 0 || heir == server->owner->parts.instance)
    return;
  word.server = server->id;
  word.epoch = epoch;
  body = colt_message_pack (&word.base, &size);
  colt_wire_send (server->owner->parts.wire, heir, COLT_WIRE_PLACE_HINT, body,
                  size);
  free (body);
}

static struct ColtLeaseCallEnd *
open_end_ (struct ColtOwnedServer *server, uint64_t call)
{
  struct ColtLeaseCallEnd *end = g_new0 (struct ColtLeaseCallEnd, 1);

  end->server = server;
  end->call = call;
  return end;
}

static void
on_acquired_ (void *client,
              const struct ColtBackendStatus *status,
              const struct ColtBackendLease *lease)
{
  struct ColtLeaseCallEnd *end = client;
  struct ColtOwnedServer *server = end->server;
  int64_t now_us = colt_clock_monotonic_us ();

  if (status->result == COLT_BACKEND_OK)
    colt_server_lease_handle_acquired (server->lease, end->call, lease->token,
                                       now_us);
  else
    fail_call_ (server, end->call, status, now_us);
  colt_owned_server_arm (server);
  g_free (end);
}

static void
on_renewed_ (void *client,
             const struct ColtBackendStatus *status,
             const struct ColtBackendLease *lease)
{
  struct ColtLeaseCallEnd *end = client;

  colt_owned_server_end_call (end->server, end->call, status,
                              lease != NULL ? lease->token : "");
  g_free (end);
}

static void
on_released_ (void *client,
              const struct ColtBackendStatus *status,
              const struct ColtBackendLease *lease)
{
  struct ColtLeaseCallEnd *end = client;
  struct ColtOwnedServer *server = end->server;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)lease;
  if (status->result == COLT_BACKEND_OK
      || status->result == COLT_BACKEND_FENCED)
    colt_server_lease_handle_released (server->lease, end->call, now_us);
  else
    colt_server_lease_handle_failure (server->lease, end->call, now_us);
  colt_owned_server_arm (server);
  g_free (end);
}

/* Either for an inventory that is being taken, or to hear that it leaves. */
static void
on_described_ (void *client,
               const struct ColtBackendStatus *status,
               const struct ColtBackendDescription *description)
{
  struct ColtLeaseCallEnd *end = client;
  struct ColtOwnedServer *server = end->server;
  uint64_t call = end->call;

  server->describing = false;
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
      g_free (end);
      return;
    }
  if (status->result == COLT_BACKEND_OK)
    {
      server->driver->inventory (server->driver,
                                 colt_server_lease_epoch (server->lease),
                                 on_inventory_, end);
      return;
    }
  colt_server_lease_handle_failure (server->lease, call, server->described_us);
  colt_owned_server_arm (server);
  g_free (end);
}

static void
on_inventory_ (void *client,
               const struct ColtBackendStatus *status,
               const struct ColtBackendInventory *inventory)
{
  struct ColtLeaseCallEnd *end = client;
  struct ColtOwnedServer *server = end->server;
  int64_t now_us = colt_clock_monotonic_us ();

  if (status->result == COLT_BACKEND_OK
      && colt_server_lease_state (server->lease) == COLT_LEASE_TAKING_INVENTORY
      && server->inventory_call == end->call)
    {
      take_inventory_ (server, inventory);
      colt_server_lease_handle_inventory (server->lease, end->call,
                                          inventory->token, now_us);
      if (colt_server_lease_state (server->lease) == COLT_LEASE_HELD)
        begin_holding_ (server, inventory, now_us);
    }
  else
    fail_call_ (server, end->call, status, now_us);
  colt_owned_server_arm (server);
  g_free (end);
}

/* The lease is fenced, or the call came to nothing. */
static void
fail_call_ (struct ColtOwnedServer *server,
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
begin_holding_ (struct ColtOwnedServer *server,
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
  colt_owned_server_listen (server);
  colt_owned_server_flush (server);
}

static void
take_inventory_ (struct ColtOwnedServer *server,
                 const struct ColtBackendInventory *inventory)
{
  size_t i;

  forget_tasks_ (server);
  memset (&server->reserved, 0, sizeof server->reserved);
  for (i = 0; i < inventory->task_count; i++)
    take_task_ (server, &inventory->tasks[i]);
  server->next_event = inventory->next;
  server->known_since_s = (uint32_t)((colt_clock_wall_us () / COLT_US_PER_MS
                                      - inventory->memory_ms)
                                     / 1000);
}

static void
take_task_ (struct ColtOwnedServer *server, const struct ColtTaskReport *report)
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
      colt_owned_server_charge (server, task);
      colt_owner_adopt_credits (owner, task);
      return;
    }
  task->state = COLT_OWNER_TASK_ENDED;
  task->end = report->state;
  task->exit_status = report->exit_status;
  task->ended_us = colt_clock_monotonic_us ();
  colt_owner_tasks_note_end (owner->tasks, task);
}

/*
 * What the server's next owner will answer for is dropped here. Credits of
 * these tasks stay counted until the lead says that the new owner has them.
 */
static void
forget_tasks_ (struct ColtOwnedServer *server)
{
  struct ColtOwner *owner = server->owner;
  unsigned shard;

  colt_owner_refuse_credit (owner, server);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    while (!g_queue_is_empty (&server->shards[shard]))
      {
        struct ColtOwnerTask *task = g_queue_peek_head (&server->shards[shard]);

        colt_owner_tasks_remove (owner->tasks, task);
      }
  g_queue_clear (&server->queue);
  g_queue_clear_full (&server->unsure, g_free);
  g_queue_clear_full (&server->stops, g_free);
  g_array_set_size (server->resizes, 0);
  server->running = 0;
  memset (&server->reserved, 0, sizeof server->reserved);
}

/* Starts that were never sent are refused for certain. */
static void
refuse_queue_ (struct ColtOwnedServer *server)
{
  struct ColtOwnerTask *task;

  colt_owner_refuse_credit (server->owner, server);
  while ((task = g_queue_pop_head (&server->queue)) != NULL)
    if (!task->maybe_sent)
      colt_owner_refuse_task (server->owner, task, COLT_REFUSAL_FENCED);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtOwnedServer *server = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  colt_server_lease_process (server->lease, now_us);
  if (colt_server_lease_may_start (server->lease, now_us) && !server->describing
      && now_us - server->described_us >= DESCRIBE_INTERVAL_US)
    {
      server->describing = true;
      server->driver->describe (server->driver, on_described_,
                                open_end_ (server, 0));
    }
  colt_owned_server_look_up_unsure (server);
  colt_owned_server_listen (server);
  colt_owned_server_flush (server);
  colt_owned_server_arm (server);
}
