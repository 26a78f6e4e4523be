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
/* The retry time of a failing acquire doubles this many times at most. */
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
  const struct ColtLeaseClient *callbacks;
  void *client;
  struct ColtLeaseCalls *calls;

  enum ColtLeaseState state;
  uint32_t designated;    /* owner by rendezvous hashing, 0: unknown */
  uint32_t holder;        /* last known holder, 0: none */
  uint32_t successor;     /* instance to notify of a release, 0: none */
  bool stopped;           /* by colt_server_lease_stop() */
  uint64_t highest_epoch; /* seen so far */

  uint64_t epoch; /* of the valid lease, 0: none */
  int64_t end;    /* by the holder's clock, 0: no lease */
  char token[COLT_BACKEND_TOKEN_SIZE];
  int64_t token_call_sent; /* when the call that returned the token was sent */

  int64_t next_try;        /* time of the next acquire or inventory */
  int64_t next_renew;      /* COLT_TIME_NEVER while a renewal is open */
  uint32_t failures;       /* failed acquire calls in a row */
  int64_t displaced_since; /* COLT_TIME_NEVER unless another is designated */
};

static bool should_hold_ (const struct ColtServerLease *lease);
static bool has_lease_ (const struct ColtServerLease *lease);
static bool is_acquiring_ (const struct ColtServerLease *lease);
static int64_t get_safe_duration_us_ (const struct ColtServerLease *lease);
static uint64_t open_call_ (struct ColtServerLease *lease,
                            enum ColtLeaseCallKind kind,
                            bool echoes_token,
                            int64_t now);
static void try_acquire_ (struct ColtServerLease *lease, int64_t now);
static void try_inventory_ (struct ColtServerLease *lease, int64_t now);
static void try_renew_ (struct ColtServerLease *lease, int64_t now);
static void try_release_ (struct ColtServerLease *lease, int64_t now);
static void begin_release_ (struct ColtServerLease *lease, uint32_t successor);
static void check_handover_ (struct ColtServerLease *lease, int64_t now);
static int64_t get_handover_time_ (const struct ColtServerLease *lease);
static void store_token_ (struct ColtServerLease *lease,
                          const struct ColtLeaseCall *call,
                          const char *token);
static void extend_lease_ (struct ColtServerLease *lease,
                           const struct ColtLeaseCall *call,
                           int64_t now);
static void check_expiry_ (struct ColtServerLease *lease, int64_t now);
static void end_lease_ (struct ColtServerLease *lease,
                        enum ColtLeaseLoss loss,
                        int64_t now);
static void apply_fence_ (struct ColtServerLease *lease,
                          const struct ColtLeaseCall *call,
                          const struct ColtBackendFence *fence,
                          int64_t now);
static int64_t get_acquire_delay_us_ (const struct ColtServerLease *lease);
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
                          const struct ColtLeaseClient *callbacks,
                          void *client)
{
  struct ColtServerLease *lease = g_new0 (struct ColtServerLease, 1);

  assert (instance > 0);
  lease->server = server;
  lease->instance = instance;
  lease->times = *times;
  lease->callbacks = callbacks;
  lease->client = client;
  lease->calls = colt_lease_calls_create ();
  lease->next_try = COLT_TIME_NEVER;
  lease->next_renew = COLT_TIME_NEVER;
  lease->displaced_since = COLT_TIME_NEVER;
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
  lease->designated = colt_rendezvous_choose (
      colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, lease->server), members,
      count);
  if (lease->designated == lease->instance)
    lease->displaced_since = COLT_TIME_NEVER;
  else if (lease->displaced_since == COLT_TIME_NEVER)
    lease->displaced_since = now;
  if (lease->state == COLT_LEASE_NONE && should_hold_ (lease))
    lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_stop (struct ColtServerLease *lease,
                        uint32_t successor,
                        int64_t now)
{
  lease->stopped = true;
  check_expiry_ (lease, now);
  if (has_lease_ (lease))
    begin_release_ (lease, successor);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_hint (struct ColtServerLease *lease,
                               uint64_t epoch,
                               int64_t now)
{
  lease->highest_epoch = MAX (lease->highest_epoch, epoch);
  if (!has_lease_ (lease) && should_hold_ (lease))
    lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_process (struct ColtServerLease *lease, int64_t now)
{
  check_expiry_ (lease, now);
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
        due = earlier_ (due, get_handover_time_ (lease));
    }
  else if (lease->state != COLT_LEASE_RELEASING && !is_acquiring_ (lease))
    due = lease->next_try;
  return due;
}

void
colt_server_lease_handle_acquired (struct ColtServerLease *lease,
                                   uint64_t number,
                                   const char *token,
                                   int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_ACQUIRE);
  lease->failures = 0;
  lease->highest_epoch = MAX (lease->highest_epoch, call.epoch);
  lease->holder = lease->instance;
  lease->epoch = call.epoch;
  lease->token_call_sent = call.sent;
  lease->end = call.sent;
  g_strlcpy (lease->token, token, sizeof lease->token);
  extend_lease_ (lease, &call, now);
  lease->state = COLT_LEASE_TAKING_INVENTORY;
  lease->next_try = now;
  lease->next_renew = call.sent + lease->times.renew_ms * COLT_US_PER_MS;
  if (!should_hold_ (lease))
    begin_release_ (lease, lease->designated);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_fenced (struct ColtServerLease *lease,
                                 uint64_t number,
                                 const struct ColtBackendFence *fence,
                                 int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  apply_fence_ (lease, &call, fence, now);
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_renewed (struct ColtServerLease *lease,
                                  uint64_t number,
                                  const char *token,
                                  int64_t now)
{
  struct ColtLeaseCall call;

  check_expiry_ (lease, now);
  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  if (call.echoes_token)
    extend_lease_ (lease, &call, now);
  store_token_ (lease, &call, token);
  if (call.kind == COLT_LEASE_CALL_RENEW)
    lease->next_renew = call.sent + lease->times.renew_ms * COLT_US_PER_MS;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_inventory (struct ColtServerLease *lease,
                                    uint64_t number,
                                    const char *token,
                                    int64_t now)
{
  struct ColtLeaseCall call;

  check_expiry_ (lease, now);
  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_INVENTORY);
  store_token_ (lease, &call, token);
  if (lease->state == COLT_LEASE_TAKING_INVENTORY)
    {
      lease->state = COLT_LEASE_HELD;
      lease->callbacks->held (lease->client, lease->epoch);
    }
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_released (struct ColtServerLease *lease,
                                   uint64_t number,
                                   int64_t now)
{
  struct ColtLeaseCall call;

  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  assert (call.kind == COLT_LEASE_CALL_RELEASE);
  lease->state = COLT_LEASE_NONE;
  lease->holder = 0;
  if (lease->successor != 0 && lease->successor != lease->instance)
    lease->callbacks->handed_over (lease->client, call.epoch, lease->successor);
  lease->next_try = now;
  colt_server_lease_process (lease, now);
}

void
colt_server_lease_handle_failure (struct ColtServerLease *lease,
                                  uint64_t number,
                                  int64_t now)
{
  struct ColtLeaseCall call;
  int64_t retry = now + lease->times.retry_ms * COLT_US_PER_MS;

  check_expiry_ (lease, now);
  if (!colt_lease_calls_remove (lease->calls, number, &call))
    return;
  switch (call.kind)
    {
    case COLT_LEASE_CALL_ACQUIRE:
      lease->next_try = now + get_acquire_delay_us_ (lease);
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
      if (call.echoes_token)
        lease->next_renew = earlier_ (lease->next_renew, retry);
      break;
    }
  colt_server_lease_process (lease, now);
}

uint64_t
colt_server_lease_open_call (struct ColtServerLease *lease,
                             bool echoes_token,
                             int64_t now)
{
  if (!colt_server_lease_may_start (lease, now))
    return 0;
  if (echoes_token && lease->next_renew != COLT_TIME_NEVER)
    lease->next_renew = now + lease->times.renew_ms * COLT_US_PER_MS;
  return open_call_ (lease, COLT_LEASE_CALL_CLIENT, echoes_token, now);
}

bool
colt_server_lease_may_start (const struct ColtServerLease *lease, int64_t now)
{
  return lease->state == COLT_LEASE_HELD
         && colt_server_lease_is_valid (lease, now);
}

bool
colt_server_lease_is_valid (const struct ColtServerLease *lease, int64_t now)
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
  return has_lease_ (lease) ? lease->epoch : lease->highest_epoch;
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
should_hold_ (const struct ColtServerLease *lease)
{
  return !lease->stopped && lease->designated == lease->instance;
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
get_safe_duration_us_ (const struct ColtServerLease *lease)
{
  int64_t permille = 1000;

  if (colt_guard_on (COLT_GUARD_DRIFT_MARGIN))
    permille -= lease->times.drift_permille;
  return lease->times.lease_ms * permille; /* ms * 1/1000 = us */
}

static uint64_t
open_call_ (struct ColtServerLease *lease,
            enum ColtLeaseCallKind kind,
            bool echoes_token,
            int64_t now)
{
  struct ColtLeaseCall call
      = { 0, kind, lease->epoch, echoes_token, now, lease->token_call_sent };

  if (kind == COLT_LEASE_CALL_ACQUIRE)
    call.epoch = lease->highest_epoch + 1;
  return colt_lease_calls_add (lease->calls, &call);
}

static void
try_acquire_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (is_acquiring_ (lease))
    return;
  if (!should_hold_ (lease))
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
  lease->callbacks->acquire (lease->client, call, lease->highest_epoch + 1);
}

static void
try_inventory_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (now < lease->next_try)
    return;
  lease->next_try = COLT_TIME_NEVER;
  call = open_call_ (lease, COLT_LEASE_CALL_INVENTORY, false, now);
  lease->callbacks->take_inventory (lease->client, call, lease->epoch);
}

static void
try_renew_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t call;

  if (!has_lease_ (lease) || now < lease->next_renew)
    return;
  lease->next_renew = COLT_TIME_NEVER;
  call = open_call_ (lease, COLT_LEASE_CALL_RENEW, true, now);
  lease->callbacks->renew (lease->client, call, lease->epoch, lease->token);
}

static void
try_release_ (struct ColtServerLease *lease, int64_t now)
{
  uint64_t epoch = lease->epoch;
  char token[COLT_BACKEND_TOKEN_SIZE];
  uint64_t call;

  if (!has_lease_ (lease) || colt_lease_calls_count_changes (lease->calls) > 0)
    return;
  memcpy (token, lease->token, sizeof token);
  end_lease_ (lease, COLT_LEASE_LOSS_RELEASED, now);
  lease->state = COLT_LEASE_RELEASING;
  lease->epoch = epoch;
  call = open_call_ (lease, COLT_LEASE_CALL_RELEASE, false, now);
  lease->epoch = 0;
  lease->callbacks->release (lease->client, call, epoch, token);
}

static void
begin_release_ (struct ColtServerLease *lease, uint32_t successor)
{
  lease->state = COLT_LEASE_RELEASING;
  lease->successor = successor;
}

static void
check_handover_ (struct ColtServerLease *lease, int64_t now)
{
  if (lease->state == COLT_LEASE_HELD && now >= get_handover_time_ (lease))
    begin_release_ (lease, lease->designated);
}

static int64_t
get_handover_time_ (const struct ColtServerLease *lease)
{
  if (lease->displaced_since == COLT_TIME_NEVER || lease->designated == 0)
    return COLT_TIME_NEVER;
  return lease->displaced_since + lease->times.handover_ms * COLT_US_PER_MS;
}

static void
store_token_ (struct ColtServerLease *lease,
              const struct ColtLeaseCall *call,
              const char *token)
{
  if (!has_lease_ (lease) || call->sent < lease->token_call_sent)
    return;
  lease->token_call_sent = call->sent;
  g_strlcpy (lease->token, token, sizeof lease->token);
}

/*
 * The server counts the lease from the issue of the token that the call
 * echoed. The latest time that is certainly before that issue is the sending
 * of the call that returned the token.
 */
static void
extend_lease_ (struct ColtServerLease *lease,
               const struct ColtLeaseCall *call,
               int64_t now)
{
  int64_t issued = call->kind == COLT_LEASE_CALL_ACQUIRE
                       ? call->sent
                       : call->token_call_sent;

  if (!has_lease_ (lease))
    return;
  if (!colt_guard_on (COLT_GUARD_RENEWAL_TOKEN))
    issued = now;
  lease->end = MAX (lease->end, issued + get_safe_duration_us_ (lease));
}

static void
check_expiry_ (struct ColtServerLease *lease, int64_t now)
{
  if (has_lease_ (lease) && now >= lease->end)
    end_lease_ (lease, COLT_LEASE_LOSS_LAPSED, now);
}

static void
end_lease_ (struct ColtServerLease *lease, enum ColtLeaseLoss loss, int64_t now)
{
  uint64_t epoch = lease->epoch;

  lease->state = COLT_LEASE_LAPSED;
  lease->epoch = 0;
  lease->end = 0;
  lease->token[0] = '\0';
  lease->next_renew = COLT_TIME_NEVER;
  lease->next_try = now + lease->times.retry_ms * COLT_US_PER_MS;
  colt_lease_calls_clear (lease->calls);
  lease->callbacks->lost (lease->client, epoch, loss);
}

static void
apply_fence_ (struct ColtServerLease *lease,
              const struct ColtLeaseCall *call,
              const struct ColtBackendFence *fence,
              int64_t now)
{
  int64_t wait = MAX (fence->remaining_ms, 0) * COLT_US_PER_MS;

  lease->highest_epoch = MAX (lease->highest_epoch, fence->epoch);
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
        end_lease_ (lease, COLT_LEASE_LOSS_FENCED, now);
      return;
    }
  lease->failures = 0;
  if (wait == 0 && fence->epoch < call->epoch)
    wait = lease->times.retry_ms * COLT_US_PER_MS;
  lease->next_try = now + wait;
}

static int64_t
get_acquire_delay_us_ (const struct ColtServerLease *lease)
{
  uint32_t doublings = MIN (lease->failures, RETRY_DOUBLINGS_MAX);

  return (lease->times.retry_ms * COLT_US_PER_MS) << doublings;
}

static int64_t
earlier_ (int64_t a, int64_t b)
{
  return a < b ? a : b;
}
