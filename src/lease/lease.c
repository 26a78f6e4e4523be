#include "coltsfootstile/lease.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "calls.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"
#include "coltsfootstile/rendezvous.h"

#define RENEW_MS 500
#define RETRY_MS 100
#define HANDOVER_MS 10000
#define RETRY_DOUBLINGS_MAX 4u

const char *const colt_lease_state_string[] = {
  "none", "acquiring", "taking inventory", "held", "lapsed", "releasing"
};

const char *const colt_lease_loss_string[] = { "lapsed", "fenced", "released" };

struct ColtServerLease
{
  uint32_t server;
  uint32_t instance;
  struct ColtLeaseTimes times;
  const struct ColtLeaseClient *table;
  void *client;
  struct ColtLeaseCalls *calls;

  enum ColtLeaseState state;
  uint32_t choice;  /* of rendezvous hashing, 0: unknown */
  uint32_t holder;  /* as far as known */
  uint32_t heir;    /* to be told of a release */
  bool stopped;     /* for good */
  uint64_t highest; /* epoch heard of */

  uint64_t epoch; /* of the lease that runs, 0: none */
  int64_t end;
  char token[COLT_BACKEND_TOKEN_SIZE];
  int64_t token_sent; /* when the call was sent that brought the token */

  int64_t next_try;      /* of acquire or inventory */
  int64_t next_renew;    /* COLT_TIME_NEVER while a renewal is open */
  uint32_t failures;     /* of acquire in a row */
  int64_t foreign_since; /* another is the choice; COLT_TIME_NEVER: we are */
};

static bool is_wanted_ (const struct ColtServerLease *lease);
static bool has_lease_ (const struct ColtServerLease *lease);
static bool is_acquiring_ (const struct ColtServerLease *lease);
static int64_t lease_us_ (const struct ColtServerLease *lease);
static uint64_t open_call_ (struct ColtServerLease *lease,
                            enum ColtLeaseCallKind kind,
                            bool echoes,
                            int64_t now);
static void try_acquire_ (struct ColtServerLease *lease, int64_t now);
static void try_inventory_ (struct ColtServerLease *lease, int64_t now);
static void try_renew_ (struct ColtServerLease *lease, int64_t now);
static void try_release_ (struct ColtServerLease *lease, int64_t now);
static void begin_release_ (struct ColtServerLease *lease, uint32_t heir);
static void check_handover_ (struct ColtServerLease *lease, int64_t now);
static int64_t handover_time_ (const struct ColtServerLease *lease);
static void take_token_ (struct ColtServerLease *lease,
                         const struct ColtLeaseCall *call,
                         const char *token);
static void extend_ (struct ColtServerLease *lease,
                     const struct ColtLeaseCall *call,
                     int64_t now);
static void expire_ (struct ColtServerLease *lease, int64_t now);
static void
lose_ (struct ColtServerLease *lease, enum ColtLeaseLoss loss, int64_t now);
static void take_fence_ (struct ColtServerLease *lease,
                         const struct ColtLeaseCall *call,
                         const struct ColtBackendFence *fence,
                         int64_t now);
static int64_t acquire_delay_ (const struct ColtServerLease *lease);
static int64_t earlier_ (int64_t a, int64_t b);

void
colt_lease_times_default (struct ColtLeaseTimes *times)
{
  times->lease_ms = COLT_SERVER_LEASE_MS;
  times->renew_ms = RENEW_MS;
  times->retry_ms = RETRY_MS;
  times->handover_ms = HANDOVER_MS;
  times->drift_permille = COLT_DRIFT_PERMILLE;
}

struct ColtServerLease *
colt_server_lease_create (uint32_t server,
                          uint32_t instance,
                          const struct ColtLeaseTimes *times,
                          const struct ColtLeaseClient *table,
                          void *client)
{
  struct ColtServerLease *lease = g_new0 (struct ColtServerLease, 1);

  assert (instance > 0);
  lease->server = server;
  lease->instance = instance;
  lease->times = *times;
  lease->table = table;
  lease->client = client;
  lease->calls = colt_lease_calls_create ();
  lease->next_try = COLT_TIME_NEVER;
  lease->next_renew = COLT_TIME_NEVER;
  lease->foreign_since = COLT_TIME_NEVER;
  return lease;
}

void
colt_server_lease_destroy (struct ColtServerLease *lease)
{
  if (lease == NULL)
    return;
  colt_lease_calls_destroy (lease->calls);
  g_free (lease);
}

void
colt_server_lease_set_members (struct ColtServerLease *lease,
                               const uint32_t *members,
                               size_t count,
                               int64_t now)
{
  lease->choice = colt_rendezvous_choose (
      colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, lease->server), members,
      count);
  if (lease->choice == lease->instance)
    lease->foreign_since = COLT_TIME_NEVER;
  else if (lease->foreign_since == COLT_TIME_NEVER)
    lease->foreign_since = now;
  if (lease->state == COLT_LEASE_NONE && is_wanted_ (lease))
    lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_stop (struct ColtServerLease *lease,
                        uint32_t heir,
                        int64_t now)
{
  lease->stopped = true;
  expire_ (lease, now);
  if (has_lease_ (lease))
    begin_release_ (lease, heir);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_hint (struct ColtServerLease *lease,
                        uint64_t epoch,
                        int64_t now)
{
  lease->highest = MAX (lease->highest, epoch);
  if (!has_lease_ (lease) && is_wanted_ (lease))
    lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_process (struct ColtServerLease *lease, int64_t now)
{
  expire_ (lease, now);
  check_handover_ (lease, now);
  switch (lease->state)
    {
    case COLT_LEASE_NONE:
    case COLT_LEASE_ACQUIRING:
    case COLT_LEASE_LAPSED:
      try_acquire_ (lease, now);
      break;
    case COLT_LEASE_TAKING_INVENTORY:
      try_inventory_ (lease, now);
      try_renew_ (lease, now);
      break;
    case COLT_LEASE_HELD:
      try_renew_ (lease, now);
      break;
    case COLT_LEASE_RELEASING:
      try_renew_ (lease, now);
      try_release_ (lease, now);
      break;
    }
}

int64_t
colt_server_lease_wake_time (const struct ColtServerLease *lease)
{
  int64_t due = COLT_TIME_NEVER;

  if (has_lease_ (lease))
    {
      due = earlier_ (lease->end, lease->next_renew);
      if (lease->state == COLT_LEASE_TAKING_INVENTORY)
        due = earlier_ (due, lease->next_try);
      if (lease->state == COLT_LEASE_HELD)
        due = earlier_ (due, handover_time_ (lease));
    }
  else if (lease->state != COLT_LEASE_RELEASING && !is_acquiring_ (lease))
    due = lease->next_try;
  return due;
}

void
colt_server_lease_acquired (struct ColtServerLease *lease,
                            uint64_t number,
                            const char *token,
                            int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_ACQUIRE);
  lease->failures = 0;
  lease->highest = MAX (lease->highest, call.epoch);
  lease->holder = lease->instance;
  lease->epoch = call.epoch;
  lease->token_sent = call.sent;
  lease->end = call.sent;
  g_strlcpy (lease->token, token, sizeof lease->token);
  extend_ (lease, &call, now);
  lease->state = COLT_LEASE_TAKING_INVENTORY;
  lease->next_try = now;
  lease->next_renew = call.sent + lease->times.renew_ms * COLT_US_PER_MS;
  if (!is_wanted_ (lease))
    begin_release_ (lease, lease->choice);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_fenced (struct ColtServerLease *lease,
                          uint64_t number,
                          const struct ColtBackendFence *fence,
                          int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  take_fence_ (lease, &call, fence, now);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_renewed (struct ColtServerLease *lease,
                           uint64_t number,
                           const char *token,
                           int64_t now)
{
  struct ColtLeaseCall call;

  expire_ (lease, now);
  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  if (call.echoes)
    extend_ (lease, &call, now);
  take_token_ (lease, &call, token);
  if (call.kind == COLT_LEASE_CALL_RENEW)
    lease->next_renew = call.sent + lease->times.renew_ms * COLT_US_PER_MS;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_inventory_done (struct ColtServerLease *lease,
                                  uint64_t number,
                                  const char *token,
                                  int64_t now)
{
  struct ColtLeaseCall call;

  expire_ (lease, now);
  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_INVENTORY);
  take_token_ (lease, &call, token);
  if (lease->state == COLT_LEASE_TAKING_INVENTORY)
    {
      lease->state = COLT_LEASE_HELD;
      lease->table->held (lease->client, lease->epoch);
    }
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_released (struct ColtServerLease *lease,
                            uint64_t number,
                            int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_RELEASE);
  lease->state = COLT_LEASE_NONE;
  lease->holder = 0;
  if (lease->heir != 0 && lease->heir != lease->instance)
    lease->table->handed_over (lease->client, call.epoch, lease->heir);
  lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_failed (struct ColtServerLease *lease,
                          uint64_t number,
                          int64_t now)
{
  struct ColtLeaseCall call;
  int64_t retry = now + lease->times.retry_ms * COLT_US_PER_MS;

  expire_ (lease, now);
  if (!colt_lease_calls_take (lease->calls, number, &call))
    return;
  switch (call.kind)
    {
    case COLT_LEASE_CALL_ACQUIRE:
      lease->next_try = now + acquire_delay_ (lease);
      lease->failures++;
      break;
    case COLT_LEASE_CALL_INVENTORY:
      lease->next_try = retry;
      break;
    case COLT_LEASE_CALL_RENEW:
      lease->next_renew = retry;
      break;
    case COLT_LEASE_CALL_RELEASE:
      lease->state = COLT_LEASE_NONE;
      lease->next_try = retry;
      break;
    default:
      if (call.echoes)
        lease->next_renew = earlier_ (lease->next_renew, retry);
      break;
    }
  colt_server_lease_process (lease, now);
}

uint64_t
colt_server_lease_open_call (struct ColtServerLease *lease,
                             bool echoes,
                             int64_t now)
{
  if (!colt_server_lease_may_start (lease, now))
    return 0;
  if (echoes && lease->next_renew != COLT_TIME_NEVER)
    lease->next_renew = now + lease->times.renew_ms * COLT_US_PER_MS;
  return open_call_ (lease, COLT_LEASE_CALL_CLIENT, echoes, now);
}

bool
colt_server_lease_may_start (const struct ColtServerLease *lease, int64_t now)
{
  return lease->state == COLT_LEASE_HELD && colt_server_lease_runs (lease, now);
}

bool
colt_server_lease_runs (const struct ColtServerLease *lease, int64_t now)
{
  return has_lease_ (lease) && now < lease->end;
}

enum ColtLeaseState
colt_server_lease_state (const struct ColtServerLease *lease)
{
  return lease->state;
}

uint64_t
colt_server_lease_epoch (const struct ColtServerLease *lease)
{
  return has_lease_ (lease) ? lease->epoch : lease->highest;
}

const char *
colt_server_lease_token (const struct ColtServerLease *lease)
{
  return lease->token;
}

int64_t
colt_server_lease_end (const struct ColtServerLease *lease)
{
  return lease->end;
}

uint32_t
colt_server_lease_server (const struct ColtServerLease *lease)
{
  return lease->server;
}

uint32_t
colt_server_lease_holder (const struct ColtServerLease *lease)
{
  return lease->holder;
}

static bool
is_wanted_ (const struct ColtServerLease *lease)
{
  return !lease->stopped && lease->choice == lease->instance;
}

static bool
has_lease_ (const struct ColtServerLease *lease)
{
  return lease->epoch != 0;
}

static bool
is_acquiring_ (const struct ColtServerLease *lease)
{
  return colt_lease_calls_count (lease->calls, COLT_LEASE_CALL_ACQUIRE) > 0;
}

static int64_t
lease_us_ (const struct ColtServerLease *lease)
{
  int64_t permille = 1000;

  if (colt_guard_on (COLT_GUARD_DRIFT_MARGIN))
    permille -= lease->times.drift_permille;
  return lease->times.lease_ms * permille;
}

static uint64_t
open_call_ (struct ColtServerLease *lease,
            enum ColtLeaseCallKind kind,
            bool echoes,
            int64_t now)
{
  struct ColtLeaseCall call
      = { 0, kind, lease->epoch, echoes, now, lease->token_sent };

  if (kind == COLT_LEASE_CALL_ACQUIRE)
    call.epoch = lease->highest + 1;
  return colt_lease_calls_add (lease->calls, &call);
}

static void
try_acquire_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (is_acquiring_ (lease))
    return;
  if (!is_wanted_ (lease))
    {
      lease->state = COLT_LEASE_NONE;
      lease->next_try = COLT_TIME_NEVER;
      return;
    }
  if (now < lease->next_try)
    return;
  lease->state = COLT_LEASE_ACQUIRING;
  lease->next_try = COLT_TIME_NEVER;
  call = open_call_ (lease, COLT_LEASE_CALL_ACQUIRE, false, now);
  lease->table->acquire (lease->client, call, lease->highest + 1);
}

static void
try_inventory_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (now < lease->next_try)
    return;
  lease->next_try = COLT_TIME_NEVER;
  call = open_call_ (lease, COLT_LEASE_CALL_INVENTORY, false, now);
  lease->table->take_inventory (lease->client, call, lease->epoch);
}

static void
try_renew_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (!has_lease_ (lease) || now < lease->next_renew)
    return;
  lease->next_renew = COLT_TIME_NEVER;
  call = open_call_ (lease, COLT_LEASE_CALL_RENEW, true, now);
  lease->table->renew (lease->client, call, lease->epoch, lease->token);
}

static void
try_release_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t epoch = lease->epoch;
  char token[COLT_BACKEND_TOKEN_SIZE];
  uint64_t call;

  if (!has_lease_ (lease) || colt_lease_calls_changes (lease->calls) > 0)
    return;
  memcpy (token, lease->token, sizeof token);
  lose_ (lease, COLT_LEASE_LOSS_RELEASED, now);
  lease->state = COLT_LEASE_RELEASING;
  lease->epoch = epoch;
  call = open_call_ (lease, COLT_LEASE_CALL_RELEASE, false, now);
  lease->epoch = 0;
  lease->table->release (lease->client, call, epoch, token);
}

static void
begin_release_ (struct ColtServerLease *lease, uint32_t heir)
{
  lease->state = COLT_LEASE_RELEASING;
  lease->heir = heir;
}

static void
check_handover_ (struct ColtServerLease *lease, int64_t now)
{
  if (lease->state == COLT_LEASE_HELD && now >= handover_time_ (lease))
    begin_release_ (lease, lease->choice);
}

static int64_t
handover_time_ (const struct ColtServerLease *lease)
{
  if (lease->foreign_since == COLT_TIME_NEVER || lease->choice == 0)
    return COLT_TIME_NEVER;
  return lease->foreign_since + lease->times.handover_ms * COLT_US_PER_MS;
}

static void
take_token_ (struct ColtServerLease *lease,
             const struct ColtLeaseCall *call,
             const char *token)
{
  if (!has_lease_ (lease) || call->sent < lease->token_sent)
    return;
  lease->token_sent = call->sent;
  g_strlcpy (lease->token, token, sizeof lease->token);
}

/* The server counts from the issue of the token that the call echoed; the
 * sending of the call that brought the token is the latest time that is
 * certainly before it. */
static void
extend_ (struct ColtServerLease *lease,
         const struct ColtLeaseCall *call,
         int64_t now)
{
  int64_t issued
      = call->kind == COLT_LEASE_CALL_ACQUIRE ? call->sent : call->token_sent;

  if (!has_lease_ (lease))
    return;
  if (!colt_guard_on (COLT_GUARD_RENEWAL_TOKEN))
    issued = now;
  lease->end = MAX (lease->end, issued + lease_us_ (lease));
}

static void
expire_ (struct ColtServerLease *lease, int64_t now)
{
  if (has_lease_ (lease) && now >= lease->end)
    lose_ (lease, COLT_LEASE_LOSS_LAPSED, now);
}

static void
lose_ (struct ColtServerLease *lease, enum ColtLeaseLoss loss, int64_t now)
{
  uint64_t epoch = lease->epoch;

  lease->state = COLT_LEASE_LAPSED;
  lease->epoch = 0;
  lease->end = 0;
  lease->token[0] = '\0';
  lease->next_renew = COLT_TIME_NEVER;
  lease->next_try = now + lease->times.retry_ms * COLT_US_PER_MS;
  colt_lease_calls_clear (lease->calls);
  lease->table->lost (lease->client, epoch, loss);
}

static void
take_fence_ (struct ColtServerLease *lease,
             const struct ColtLeaseCall *call,
             const struct ColtBackendFence *fence,
             int64_t now)
{
  int64_t wait = MAX (fence->remaining_ms, 0) * COLT_US_PER_MS;

  lease->highest = MAX (lease->highest, fence->epoch);
  lease->holder = fence->owner;
  if (call->kind == COLT_LEASE_CALL_RELEASE)
    {
      lease->state = COLT_LEASE_NONE;
      lease->next_try = now + wait;
      return;
    }
  if (call->kind != COLT_LEASE_CALL_ACQUIRE)
    {
      if (has_lease_ (lease) && colt_guard_on (COLT_GUARD_SERVER_EPOCH))
        lose_ (lease, COLT_LEASE_LOSS_FENCED, now);
      return;
    }
  lease->failures = 0;
  if (wait == 0 && fence->epoch < call->epoch)
    wait = lease->times.retry_ms * COLT_US_PER_MS;
  lease->next_try = now + wait;
}

static int64_t
acquire_delay_ (const struct ColtServerLease *lease)
{
  uint32_t doublings = MIN (lease->failures, RETRY_DOUBLINGS_MAX);

  return (lease->times.retry_ms * COLT_US_PER_MS) << doublings;
}

static int64_t
earlier_ (int64_t a, int64_t b)
{
  return a < b ? a : b;
}
