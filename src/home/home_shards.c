#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "home_private.h"

#define MODULE "home"

/* How long a message to this instance itself takes, so that others get their
 * turn, in microseconds. */
#define LOCAL_DELAY_US 500
/* Until an owner has to have answered an open or a confirm, in ms. */
#define SHARD_TIMEOUT_MS 800

/* An open or a confirm on its way to an owner. */
struct ColtShardCall
{
  struct ColtHome *home;
  bool confirms;
};

/* A message of this instance to itself. */
struct ColtLocalShardCall
{
  struct ColtHome *home;
  struct event *timer;
  bool confirms;
  uint8_t *body;
  size_t size;
};

/* Durable requests of a shard that are being taken up again. */
struct ColtShardLoad
{
  struct ColtHome *home;
  int64_t now_us;
};

static void
send_open_ (void *client, uint32_t owner, const struct ColtShardOpen *open);
static void send_confirm_ (void *client,
                           uint32_t owner,
                           const struct ColtShardConfirm *confirm);
static void send_ (struct ColtHome *home,
                   uint32_t owner,
                   bool confirms,
                   uint8_t *body,
                   size_t size);
static void on_local_ (evutil_socket_t fd, short what, void *arg);
static void free_local_ (gpointer data);
static void on_reply_ (void *client,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void take_reply_ (struct ColtHome *home,
                         bool confirms,
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
static uint8_t *answer_open_ (struct ColtHome *home,
                              const uint8_t *body,
                              size_t size,
                              size_t *answer_size);
static uint8_t *answer_confirm_ (struct ColtHome *home,
                                 const uint8_t *body,
                                 size_t size,
                                 size_t *answer_size);
static void opening_ (void *client, uint32_t shard, uint64_t epoch);
static void report_ (void *client, const struct ColtShardReport *report);
static void
active_ (void *client, uint32_t shard, uint64_t epoch, size_t lacking);
static void load_one_ (void *client,
                       const struct ColtId *id,
                       const struct ColtRequestSpec *spec);
static void
lost_ (void *client, uint32_t shard, uint64_t epoch, enum ColtShardLoss loss);
static void joined_ (void *client,
                     uint32_t shard,
                     uint32_t server,
                     uint32_t owner,
                     uint64_t server_epoch);
static void parted_ (void *client, uint32_t shard, uint32_t server);
static void written_off_ (void *client, uint32_t shard, uint32_t server);

const struct ColtShardLeadClient colt_home_shard_client
    = { send_open_, send_confirm_, opening_, report_,     active_,
        lost_,      joined_,       parted_,  written_off_ };

void
colt_home_set_shard_handlers (struct ColtHome *home)
{
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_SHARD_OPEN, on_open_,
                         home);
  colt_wire_set_handler (home->parts.wire, COLT_WIRE_SHARD_CONFIRM, on_confirm_,
                         home);
}

void
colt_home_arm_lead (struct ColtHome *home)
{
  int64_t wait_us
      = colt_shard_lead_wake_time (home->lead) - colt_clock_monotonic_us ();
  struct timeval delay;

  wait_us = CLAMP (wait_us, 1000, COLT_US_PER_S);
  delay.tv_sec = wait_us / COLT_US_PER_S;
  delay.tv_usec = wait_us % COLT_US_PER_S;
  evtimer_add (home->lead_timer, &delay);
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

  send_ (client, owner, false, body, size);
}

static void
send_confirm_ (void *client,
               uint32_t owner,
               const struct ColtShardConfirm *confirm)
{
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (confirm, &size);

  send_ (client, owner, true, body, size);
}

static void
send_ (struct ColtHome *home,
       uint32_t owner,
       bool confirms,
       uint8_t *body,
       size_t size)
{
  const struct timeval delay = { 0, LOCAL_DELAY_US };
  struct ColtShardCall *call;

  if (owner == home->parts.instance)
    {
      struct ColtLocalShardCall *local = g_new0 (struct ColtLocalShardCall, 1);

      local->home = home;
      local->confirms = confirms;
      local->body = body;
      local->size = size;
      local->timer = evtimer_new (home->parts.base, on_local_, local);
      evtimer_add (local->timer, &delay);
      g_queue_push_tail (&home->local_calls, local);
      return;
    }
  call = g_new0 (struct ColtShardCall, 1);
  call->home = home;
  call->confirms = confirms;
  colt_wire_call (home->parts.wire, owner,
                  confirms ? COLT_WIRE_SHARD_CONFIRM : COLT_WIRE_SHARD_OPEN,
                  body, size, SHARD_TIMEOUT_MS, on_reply_, call);
  free (body);
}

static void
on_local_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLocalShardCall *local = arg;
  uint8_t *answer;
  size_t size;

  (void)fd;
  (void)what;
  answer = local->confirms
               ? answer_confirm_ (local->home, local->body, local->size, &size)
               : answer_open_ (local->home, local->body, local->size, &size);
  if (answer != NULL)
    take_reply_ (local->home, local->confirms, answer, size);
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
    take_reply_ (call->home, call->confirms, body, size);
  g_free (call);
}

static void
take_reply_ (struct ColtHome *home,
             bool confirms,
             const uint8_t *body,
             size_t size)
{
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtShardConfirmed confirmed;
  struct ColtShardOpened opened;
  struct ColtError error;

  if (confirms && colt_shard_confirmed_unpack (body, size, &confirmed, &error))
    {
      colt_shard_lead_confirmed (home->lead, &confirmed, now_us);
      colt_shard_confirmed_clear (&confirmed);
    }
  else if (!confirms && colt_shard_opened_unpack (body, size, &opened, &error))
    {
      colt_shard_lead_opened (home->lead, &opened, now_us);
      colt_shard_opened_clear (&opened);
    }
  else
    colt_log_error (COLT_LOG_WARNING, MODULE, "bad answer of an owner", &error);
  colt_home_arm_lead (home);
}

static void
on_open_ (void *client,
          const struct ColtWireOrigin *origin,
          const uint8_t *body,
          size_t size)
{
  struct ColtHome *home = client;
  size_t answer_size;
  uint8_t *answer = answer_open_ (home, body, size, &answer_size);

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
  uint8_t *answer = answer_confirm_ (home, body, size, &answer_size);

  if (answer != NULL)
    colt_wire_reply (home->parts.wire, origin, answer, answer_size);
  free (answer);
}

static uint8_t *
answer_open_ (struct ColtHome *home,
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
      colt_log_error (COLT_LOG_WARNING, MODULE, "bad open of a lead", &error);
      return NULL;
    }
  colt_shard_owner_open (owner, &open, &opened, colt_clock_monotonic_us ());
  answer = colt_shard_opened_pack (&opened, answer_size);
  for (i = 0; i < open.epoch_count; i++)
    if (colt_shard_owner_promised (owner, open.epochs[i].shard)
        == open.epochs[i].epoch)
      colt_owner_set_lead (home->parts.owner, open.epochs[i].shard, open.lead);
  colt_shard_opened_clear (&opened);
  colt_shard_open_clear (&open);
  return answer;
}

static uint8_t *
answer_confirm_ (struct ColtHome *home,
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
      colt_log_error (COLT_LOG_WARNING, MODULE, "bad confirm of a lead",
                      &error);
      return NULL;
    }
  colt_shard_owner_confirm (colt_owner_shards (home->parts.owner), &confirm,
                            &confirmed, colt_clock_monotonic_us ());
  answer = colt_shard_confirmed_pack (&confirmed, answer_size);
  colt_shard_confirmed_clear (&confirmed);
  colt_shard_confirm_clear (&confirm);
  return answer;
}

static void
opening_ (void *client, uint32_t shard, uint64_t epoch)
{
  struct ColtHome *home = client;

  (void)epoch;
  colt_shard_intake_empty (&home->intakes[shard]);
}

static void
report_ (void *client, const struct ColtShardReport *report)
{
  struct ColtHome *home = client;

  colt_shard_intake_replace (&home->intakes[report->shard], report);
  if (report->server != 0)
    home->calls->seated (home->client, report->shard, report->server,
                         report->owner, report->server_epoch);
}

static void
active_ (void *client, uint32_t shard, uint64_t epoch, size_t lacking)
{
  struct ColtHome *home = client;
  struct ColtShardIntake *intake = &home->intakes[shard];
  int64_t now_us = colt_clock_monotonic_us ();

  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "leads shard %u at epoch %" G_GUINT64_FORMAT
            ", %u tasks recovered, %zu "
            "backend servers lacking",
            shard, epoch, intake->reports->len, lacking);
  colt_requests_open_shard (
      home->requests, shard, epoch,
      (const struct ColtTaskReport *)intake->reports->data,
      (const uint32_t *)intake->servers->data,
      (const uint64_t *)intake->server_epochs->data, intake->reports->len,
      now_us);
  colt_shard_intake_empty (intake);
  colt_counters_count (home->parts.counters, home->counters.shards_won, 1);
  home->history_known[shard] = false;
  colt_home_learn_histories (home);
  home->calls->team_shard (home->client, shard, epoch, true);
}

/*
 * A shard's history reaches back as far as the memory of every server of the
 * zone. Work on the log is taken up again once that is known.
 */
void
colt_home_offer (struct ColtHome *home,
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
      || colt_shard_lead_unknown (home->lead, shard) > 0)
    return;
  status
      = colt_requests_submit (home->requests, id, spec, false, 0,
                              (uint32_t)(colt_clock_wall_us () / COLT_US_PER_S),
                              colt_clock_monotonic_us (), &reason);
  if (status == COLT_SUBMIT_UNKNOWN)
    home->calls->stored_end (home->client, id, COLT_OUTCOME_UNKNOWN);
  else if (status == COLT_SUBMIT_NOT_RUN && reason == COLT_REASON_DEADLINE)
    home->calls->stored_end (home->client, id, COLT_OUTCOME_NOT_RUN);
}

void
colt_home_learn_histories (struct ColtHome *home)
{
  struct ColtShardLoad load = { home, colt_clock_monotonic_us () };
  uint32_t since_s = 0;
  uint32_t shard;
  size_t i;

  for (i = 0; i < home->server_count; i++)
    {
      gpointer value;

      if (!g_hash_table_lookup_extended (home->memories,
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
      home->calls->load (home->client, shard, load_one_, &load);
    }
}

static void
load_one_ (void *client,
           const struct ColtId *id,
           const struct ColtRequestSpec *spec)
{
  struct ColtShardLoad *load = client;

  colt_home_offer (load->home, id, spec);
}

static void
lost_ (void *client, uint32_t shard, uint64_t epoch, enum ColtShardLoss loss)
{
  struct ColtHome *home = client;

  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "no longer leads shard %u at epoch %" G_GUINT64_FORMAT ": %s",
            shard, epoch, colt_shard_loss_string[loss]);
  colt_counters_count (home->parts.counters, home->counters.shards_lost, 1);
  home->calls->team_shard (home->client, shard, epoch, false);
  colt_requests_close_shard (home->requests, shard);
  colt_placement_forget_shard (home->placement, shard);
  colt_shard_intake_empty (&home->intakes[shard]);
}

static void
joined_ (void *client,
         uint32_t shard,
         uint32_t server,
         uint32_t owner,
         uint64_t server_epoch)
{
  struct ColtHome *home = client;
  GArray *reports = colt_shard_intake_steal (&home->intakes[shard], server);

  (void)owner;
  colt_requests_server_reported (home->requests, shard, server, server_epoch,
                                 (const struct ColtTaskReport *)reports->data,
                                 reports->len, colt_clock_monotonic_us ());
  g_array_unref (reports);
  colt_home_dispatch_soon (home);
}

static void
parted_ (void *client, uint32_t shard, uint32_t server)
{
  (void)client;
  colt_log (COLT_LOG_DEBUG, MODULE, NULL,
            "session of shard %u on backend server %u closed", shard, server);
}

static void
written_off_ (void *client, uint32_t shard, uint32_t server)
{
  struct ColtHome *home = client;

  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "backend server %u is written off for shard %u", server, shard);
  colt_requests_server_gone (home->requests, shard, server,
                             colt_clock_monotonic_us ());
  g_hash_table_insert (
      home->memories, GUINT_TO_POINTER (server),
      GUINT_TO_POINTER ((guint)(colt_clock_wall_us () / COLT_US_PER_S)));
  colt_placement_remove_server (home->placement, server);
  home->calls->written_off (home->client, server);
}
