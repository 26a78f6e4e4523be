#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "home_private.h"

#define MODULE "home"

/* Delay before a message to this instance itself is handled, so that other
 * events are processed in between, in microseconds. */
#define LOCAL_DELAY_US 500
/* Timeout for the reply to an open or confirm message, in milliseconds. */
#define SHARD_TIMEOUT_MS 800

/* An open or confirm message that awaits the owner's reply. */
struct ColtShardCall
{
  struct ColtHome *home;
  bool is_confirm;
};

/* An open or confirm message of this instance to itself. */
struct ColtLocalShardCall
{
  struct ColtHome *home;
  struct event *timer;
  bool is_confirm;
  uint8_t *body;
  size_t size;
};

/* Context for restoring the durable requests of shards. */
struct ColtShardRestore
{
  struct ColtHome *home;
  int64_t now_us;
};

static void
send_open_ (void *client, uint32_t owner, const struct ColtShardOpen *open);
static void send_confirm_ (void *client,
                           uint32_t owner,
                           const struct ColtShardConfirm *confirm);
static void send_to_owner_ (struct ColtHome *home,
                            uint32_t owner,
                            bool is_confirm,
                            uint8_t *body,
                            size_t size);
static void on_local_timer_ (evutil_socket_t fd, short what, void *arg);
static void free_local_ (gpointer data);
static void on_reply_ (void *client,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void handle_reply_ (struct ColtHome *home,
                           bool is_confirm,
                           const uint8_t *body,
                           size_t size);
static void on_open_ (void *client,
                      const struct ColtWireOrigin *origin,
                      const uint8_t *body,
                      size_t size);
static void on_confirm_ (void *client,
                         const struct ColtWireOrigin *origin,
                         const uint8_t *body,
                         size_t size);
static uint8_t *handle_open_ (struct ColtHome *home,
                              const uint8_t *body,
                              size_t size,
                              size_t *answer_size);
static uint8_t *handle_confirm_ (struct ColtHome *home,
                                 const uint8_t *body,
                                 size_t size,
                                 size_t *answer_size);
static void on_reconciliation_ (void *client, uint32_t shard, uint64_t epoch);
static void on_report_ (void *client, const struct ColtShardReport *report);
static void
on_active_ (void *client, uint32_t shard, uint64_t epoch, size_t missing);
static void restore_request_ (void *client,
                              const struct ColtId *id,
                              const struct ColtRequestSpec *spec);
static void on_lost_ (void *client,
                      uint32_t shard,
                      uint64_t epoch,
                      enum ColtShardLoss loss);
static void on_joined_ (void *client,
                        uint32_t shard,
                        uint32_t server,
                        uint32_t owner,
                        uint64_t server_epoch);
static void on_left_ (void *client, uint32_t shard, uint32_t server);
static void on_written_off_ (void *client, uint32_t shard, uint32_t server);

const struct ColtShardLeaderClient colt_home_shard_client
    = { send_open_, send_confirm_, on_reconciliation_,
        on_report_, on_active_,    on_lost_,
        on_joined_, on_left_,      on_written_off_ };

void
colt_home_set_shard_handlers (struct ColtHome *home)
{
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_SHARD_OPEN, on_open_,
                         home);
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_SHARD_CONFIRM, on_confirm_,
                         home);
}

void
colt_home_arm_leader_timer (struct ColtHome *home)
{
  int64_t wait_us = colt_shard_leader_wake_time (home->shard_leader)
                    - colt_clock_monotonic_us ();
  struct timeval delay;

  wait_us = CLAMP (wait_us, 1000, COLT_US_PER_S);
  delay.tv_sec = wait_us / COLT_US_PER_S;
  delay.tv_usec = wait_us % COLT_US_PER_S;
  evtimer_add (home->leader_timer, &delay);
}

void
colt_home_drop_local_calls (struct ColtHome *home)
{
  g_queue_clear_full (&home->local_calls, free_local_);
}

static void
send_open_ (void *client, uint32_t owner, const struct ColtShardOpen *open)
{
  size_t size;
  uint8_t *body = colt_shard_open_pack (open, &size);

  send_to_owner_ (client, owner, false, body, size);
}

static void
send_confirm_ (void *client,
               uint32_t owner,
               const struct ColtShardConfirm *confirm)
{
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (confirm, &size);

  send_to_owner_ (client, owner, true, body, size);
}

static void
send_to_owner_ (struct ColtHome *home,
                uint32_t owner,
                bool is_confirm,
                uint8_t *body,
                size_t size)
{
  const struct timeval delay = { 0, LOCAL_DELAY_US };
  struct ColtShardCall *call;

  if (owner == home->parts.instance)
    {
      struct ColtLocalShardCall *local = g_new0 (struct ColtLocalShardCall, 1);

      local->home = home;
      local->is_confirm = is_confirm;
      local->body = body;
      local->size = size;
      local->timer = evtimer_new (home->parts.base, on_local_timer_, local);
      evtimer_add (local->timer, &delay);
      g_queue_push_tail (&home->local_calls, local);
      return;
    }
  call = g_new0 (struct ColtShardCall, 1);
  call->home = home;
  call->is_confirm = is_confirm;
  colt_wire_call (home->parts.wire, owner,
                  is_confirm ? COLT_WIRE_SHARD_CONFIRM : COLT_WIRE_SHARD_OPEN,
                  body, size, SHARD_TIMEOUT_MS, on_reply_, call);
  free (body);
}

static void
on_local_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLocalShardCall *local = arg;
  uint8_t *answer;
  size_t size;

  (void)fd;
  (void)what;
  answer = local->is_confirm
               ? handle_confirm_ (local->home, local->body, local->size, &size)
               : handle_open_ (local->home, local->body, local->size, &size);
  if (answer != NULL)
    handle_reply_ (local->home, local->is_confirm, answer, size);
  free (answer);
  g_queue_remove (&local->home->local_calls, local);
  free_local_ (local);
}

static void
free_local_ (gpointer data)
{
  struct ColtLocalShardCall *local = data;

  event_free (local->timer);
  free (local->body);
  g_free (local);
}

static void
on_reply_ (void *client,
           enum ColtWireResult result,
           const uint8_t *body,
           size_t size)
{
  struct ColtShardCall *call = client;

  if (result == COLT_WIRE_REPLIED)
    handle_reply_ (call->home, call->is_confirm, body, size);
  g_free (call);
}

static void
handle_reply_ (struct ColtHome *home,
               bool is_confirm,
               const uint8_t *body,
               size_t size)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtShardConfirmed confirmed;
  struct ColtShardOpened opened;
  struct ColtError error;

  if (is_confirm
      && colt_shard_confirmed_unpack (body, size, &confirmed, &error))
    {
      colt_shard_leader_handle_confirmed (home->shard_leader, &confirmed,
                                          now_us);
      colt_shard_confirmed_clear (&confirmed);
    }
  else if (!is_confirm
           && colt_shard_opened_unpack (body, size, &opened, &error))
    {
      colt_shard_leader_handle_opened (home->shard_leader, &opened, now_us);
      colt_shard_opened_clear (&opened);
    }
  else
    colt_log_error (COLT_LOG_WARNING, MODULE,
                    "invalid reply to a shard message; reply ignored", &error);
  colt_home_arm_leader_timer (home);
}

static void
on_open_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  struct ColtHome *home = client;
  size_t answer_size;
  uint8_t *answer = handle_open_ (home, body, size, &answer_size);

  if (answer != NULL)
    colt_wire_reply (home->parts.wire, origin, answer, answer_size);
  free (answer);
}

static void
on_confirm_ (void *client,
             const struct ColtWireOrigin *origin,
             const uint8_t *body,
             size_t size)
{
  struct ColtHome *home = client;
  size_t answer_size;
  uint8_t *answer = handle_confirm_ (home, body, size, &answer_size);

  if (answer != NULL)
    colt_wire_reply (home->parts.wire, origin, answer, answer_size);
  free (answer);
}

/* Handles an open message as owner. Returns the packed answer, to be freed with
 * free(), or NULL if the message is invalid. */
static uint8_t *
handle_open_ (struct ColtHome *home,
              const uint8_t *body,
              size_t size,
              size_t *answer_size)
{
  struct ColtShardOwner *owner = colt_owner_shards (home->parts.owner);
  struct ColtShardOpen open;
  struct ColtShardOpened opened = { 0 };
  struct ColtError error;
  uint8_t *answer;
  size_t i;

  if (!colt_shard_open_unpack (body, size, &open, &error))
    {
      colt_log_error (
          COLT_LOG_WARNING, MODULE,
          "invalid open message from a shard leader; message ignored", &error);
      return NULL;
    }
  colt_shard_owner_handle_open (owner, &open, &opened,
                                colt_clock_monotonic_us ());
  answer = colt_shard_opened_pack (&opened, answer_size);
  for (i = 0; i < open.epoch_count; i++)
    if (colt_shard_owner_promised_epoch (owner, open.epochs[i].shard)
        == open.epochs[i].epoch)
      colt_owner_set_leader (home->parts.owner, open.epochs[i].shard,
                             open.leader);
  colt_shard_opened_clear (&opened);
  colt_shard_open_clear (&open);
  return answer;
}

/* Handles a confirm message as owner. Returns the packed answer, to be freed
 * with free(), or NULL if the message is invalid. */
static uint8_t *
handle_confirm_ (struct ColtHome *home,
                 const uint8_t *body,
                 size_t size,
                 size_t *answer_size)
{
  struct ColtShardConfirm confirm;
  struct ColtShardConfirmed confirmed = { 0 };
  struct ColtError error;
  uint8_t *answer;

  if (!colt_shard_confirm_unpack (body, size, &confirm, &error))
    {
      colt_log_error (
          COLT_LOG_WARNING, MODULE,
          "invalid confirm message from a shard leader; message ignored",
          &error);
      return NULL;
    }
  colt_shard_owner_handle_confirm (colt_owner_shards (home->parts.owner),
                                   &confirm, &confirmed,
                                   colt_clock_monotonic_us ());
  answer = colt_shard_confirmed_pack (&confirmed, answer_size);
  colt_shard_confirmed_clear (&confirmed);
  colt_shard_confirm_clear (&confirm);
  return answer;
}

static void
on_reconciliation_ (void *client, uint32_t shard, uint64_t epoch)
{
  struct ColtHome *home = client;

  (void)epoch;
  colt_pending_reports_reset (&home->pending_reports[shard]);
}

static void
on_report_ (void *client, const struct ColtShardReport *report)
{
  struct ColtHome *home = client;

  colt_pending_reports_replace (&home->pending_reports[report->shard], report);
  if (report->server != 0)
    home->calls->server_reported (home->client, report->shard, report->server,
                                  report->owner, report->server_epoch);
}

static void
on_active_ (void *client, uint32_t shard, uint64_t epoch, size_t missing)
{
  struct ColtHome *home = client;
  struct ColtPendingReports *pending = &home->pending_reports[shard];
  int64_t now_us = colt_clock_monotonic_us ();

  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "leadership of shard %u active at epoch %" G_GUINT64_FORMAT
            ": %u tasks recovered, %zu backend servers without a report",
            shard, epoch, pending->reports->len, missing);
  colt_requests_open_shard (
      home->requests, shard, epoch,
      (const struct ColtTaskReport *)pending->reports->data,
      (const uint32_t *)pending->servers->data,
      (const uint64_t *)pending->server_epochs->data, pending->reports->len,
      now_us);
  colt_pending_reports_reset (pending);
  colt_counters_increment (home->parts.counters, home->counters.shards_won, 1);
  home->history_known[shard] = false;
  colt_home_complete_histories (home);
  home->calls->leadership_changed (home->client, shard, epoch, true);
}

/*
 * The reports of a shard are complete only since the second from which every
 * server of the zone has a complete record. A request from the log waits until
 * that second is known, because it may already run or have run on a server
 * whose record is missing.
 */
void
colt_home_restore_request (struct ColtHome *home,
                           const struct ColtId *id,
                           const struct ColtRequestSpec *spec)
{
  const struct ColtRequest *known = colt_requests_find (home->requests, id);
  uint32_t shard = colt_id_shard (id);
  enum ColtSubmitStatus status;
  enum ColtReason reason;

  if (known != NULL && !known->recovered)
    return;
  if (!home->history_known[shard]
      || colt_requests_shard_epoch (home->requests, shard) == 0
      || colt_shard_leader_count_unknown (home->shard_leader, shard) > 0)
    return;
  status
      = colt_requests_submit (home->requests, id, spec, false, 0,
                              (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S),
                              colt_clock_monotonic_us (), &reason);
  if (status == COLT_SUBMIT_UNKNOWN)
    home->calls->record_outcome (home->client, id, COLT_OUTCOME_UNKNOWN);
  else if (status == COLT_SUBMIT_NOT_RUN && reason == COLT_REASON_DEADLINE)
    home->calls->record_outcome (home->client, id, COLT_OUTCOME_NOT_RUN);
}

void
colt_home_complete_histories (struct ColtHome *home)
{
  struct ColtShardRestore restore = { home, colt_clock_monotonic_us () };
  uint32_t since_s = 0;
  uint32_t shard;
  size_t i;

  for (i = 0; i < home->server_count; i++)
    {
      gpointer value;

      if (!g_hash_table_lookup_extended (home->server_known_since,
                                         GUINT_TO_POINTER (home->servers[i]),
                                         NULL, &value))
        return;
      since_s = MAX (since_s, GPOINTER_TO_UINT (value));
    }
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      if (home->history_known[shard]
          || colt_requests_shard_epoch (home->requests, shard) == 0)
        continue;
      home->history_known[shard] = true;
      colt_requests_set_known_since (home->requests, shard, since_s);
      home->calls->load_requests (home->client, shard, restore_request_,
                                  &restore);
    }
}

static void
restore_request_ (void *client,
                  const struct ColtId *id,
                  const struct ColtRequestSpec *spec)
{
  struct ColtShardRestore *restore = client;

  colt_home_restore_request (restore->home, id, spec);
}

static void
on_lost_ (void *client, uint32_t shard, uint64_t epoch, enum ColtShardLoss loss)
{
  struct ColtHome *home = client;

  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "leadership of shard %u at epoch %" G_GUINT64_FORMAT
            " lost (%s); its requests are dropped here",
            shard, epoch, colt_shard_loss_string[loss]);
  colt_counters_increment (home->parts.counters, home->counters.shards_lost, 1);
  home->calls->leadership_changed (home->client, shard, epoch, false);
  colt_requests_close_shard (home->requests, shard);
  colt_placement_remove_shard_tasks (home->placement, shard);
  colt_pending_reports_reset (&home->pending_reports[shard]);
}

static void
on_joined_ (void *client,
            uint32_t shard,
            uint32_t server,
            uint32_t owner,
            uint64_t server_epoch)
{
  struct ColtHome *home = client;
  GArray *reports
      = colt_pending_reports_steal (&home->pending_reports[shard], server);

  (void)owner;
  colt_requests_handle_inventory (home->requests, shard, server, server_epoch,
                                  (const struct ColtTaskReport *)reports->data,
                                  reports->len, colt_clock_monotonic_us ());
  g_array_unref (reports);
  colt_home_schedule_dispatch (home);
}

static void
on_left_ (void *client, uint32_t shard, uint32_t server)
{
  (void)client;
  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "session of shard %u on backend server %u closed", shard, server);
}

static void
on_written_off_ (void *client, uint32_t shard, uint32_t server)
{
  struct ColtHome *home = client;
  int64_t now_us = colt_clock_monotonic_us ();

  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "backend server %u unreachable and written off for shard %u; "
            "its tasks count as lost",
            server, shard);
  colt_requests_handle_server_loss (home->requests, shard, server, now_us);
  g_hash_table_insert (
      home->server_known_since, GUINT_TO_POINTER (server),
      GUINT_TO_POINTER ((guint)(colt_clock_wall_us () / COLT_US_PER_S)));
  colt_placement_remove_server (home->placement, server, now_us);
  home->calls->server_written_off (home->client, server);
}
