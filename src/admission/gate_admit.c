#include <string.h>

#include "coltsfootstile/clock.h"
#include "gate_private.h"

static bool check_key_ (struct ColtGate *gate,
                        const struct ColtBundle *bundle,
                        const struct ColtBundleQueue *queue,
                        const struct ColtGateRequest *request,
                        enum ColtReason *reason);
static bool check_demand_ (struct ColtGate *gate,
                           const struct ColtBundleTeam *team,
                           const struct ColtGateRequest *request,
                           enum ColtReason *reason);
static bool exceeds_limit_ (int64_t limit, int64_t amount);
static void choose_id_ (struct ColtGate *gate,
                        const struct ColtBundle *bundle,
                        struct ColtGateRequest *request);
static void set_deadline_ (const struct ColtBundleWork *work,
                           struct ColtGateRequest *request);

bool
colt_gate_admit_request (struct ColtGate *gate,
                         struct ColtGateRequest *request,
                         enum ColtReason *reason)
{
  const struct ColtBundle *bundle = gate->calls->get_bundle (gate->client);
  const struct ColtBundleQueue *queue;
  const struct ColtBundleWork *work;
  uint32_t index;

  *reason = COLT_REASON_STOPPING;
  if (gate->stopping)
    return false;
  *reason = COLT_REASON_OVERLOADED;
  if (g_hash_table_size (gate->pending) >= COLT_GATE_OPEN_MAX)
    return false;
  *reason = COLT_REASON_NO_BUNDLE;
  if (bundle == NULL)
    return false;
  *reason = COLT_REASON_NO_QUEUE;
  index = colt_bundle_find_queue (bundle, request->spec.queue);
  if (index == COLT_BUNDLE_NO_INDEX)
    return false;
  queue = colt_bundle_queue (bundle, index);
  if (!check_key_ (gate, bundle, queue, request, reason))
    return false;
  g_strlcpy (request->spec.team, queue->team.name, sizeof request->spec.team);
  if (!check_demand_ (gate, colt_bundle_team (bundle, queue->team.index),
                      request, reason))
    return false;
  work = colt_bundle_work (bundle, request->spec.kind);
  request->spec.max_attempts
      = request->spec.idempotent ? (uint32_t)work->max_attempts : 1;
  request->spec.durable = !request->waits;
  set_deadline_ (work, request);
  choose_id_ (gate, bundle, request);
  *reason = COLT_REASON_NONE;
  return true;
}

static bool
check_key_ (struct ColtGate *gate,
            const struct ColtBundle *bundle,
            const struct ColtBundleQueue *queue,
            const struct ColtGateRequest *request,
            enum ColtReason *reason)
{
  uint32_t team = COLT_BUNDLE_NO_INDEX;

  (void)bundle;
  if (queue->open)
    return true;
  *reason = COLT_REASON_NO_KEY;
  if (request->key[0] == '\0')
    return false;
  *reason = COLT_REASON_STALE_KEYS;
  if (!gate->calls->keys_are_fresh (gate->client))
    return false;
  *reason = COLT_REASON_BAD_KEY;
  if (colt_keyring_check (gate->calls->get_keyring (gate->client), request->key,
                          &team)
      != COLT_KEY_LIVE)
    return false;
  return team == queue->team.index;
}

static bool
check_demand_ (struct ColtGate *gate,
               const struct ColtBundleTeam *team,
               const struct ColtGateRequest *request,
               enum ColtReason *reason)
{
  const struct ColtResources *demand = &request->spec.demand;
  int64_t concurrent
      = request->spec.kind == COLT_WORK_GANG ? request->spec.tasks : 1;

  *reason = COLT_REASON_OVER_LIMIT;
  if (exceeds_limit_ (team->limit_tasks, concurrent)
      || exceeds_limit_ (team->limit_cores_milli,
                         concurrent * demand->amount[COLT_RESOURCE_CORES])
      || exceeds_limit_ (team->limit_accelerators,
                         concurrent
                             * demand->amount[COLT_RESOURCE_ACCELERATORS]))
    return false;
  *reason = COLT_REASON_NEVER_FITS;
  return gate->calls->fits_any_server (gate->client, demand);
}

static bool
exceeds_limit_ (int64_t limit, int64_t amount)
{
  return limit != COLT_BUNDLE_NO_LIMIT && amount > limit;
}

static void
choose_id_ (struct ColtGate *gate,
            const struct ColtBundle *bundle,
            struct ColtGateRequest *request)
{
  uint32_t zones[COLT_BUNDLE_ZONES_MAX];
  uint32_t count = colt_bundle_zone_count (bundle);
  uint32_t i;

  if (request->has_id)
    {
      request->fresh = colt_gate_consume_minted_id (gate, &request->id);
      return;
    }
  if (request->idempotency_key[0] == '\0')
    {
      request->id = colt_gate_mint_id (gate);
      request->fresh = true;
      return;
    }
  for (i = 0; i < count; i++)
    zones[i] = colt_bundle_zone (bundle, i)->number;
  request->id = colt_id_hash (request->spec.team, request->idempotency_key,
                              zones, count);
}

static void
set_deadline_ (const struct ColtBundleWork *work,
               struct ColtGateRequest *request)
{
  int64_t deadline_ms = request->deadline_ms;

  if (deadline_ms == 0)
    deadline_ms = work->deadline_ms;
  if (deadline_ms == 0 && request->waits)
    deadline_ms = COLT_DEADLINE_DEFAULT_MS;
  request->deadline_ms = deadline_ms;
  request->spec.deadline_us = COLT_TIME_NEVER;
  if (deadline_ms > 0)
    request->spec.deadline_us
        = colt_clock_monotonic_us () + deadline_ms * COLT_US_PER_MS;
}
