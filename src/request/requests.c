#include "coltsfootstile/request.h"

#include <assert.h>
#include <string.h>

#include "requests_private.h"

static enum ColtSubmitStatus
check_new_request_ (const struct ColtRequests *requests,
                    const struct ColtId *id,
                    const struct ColtRequestSpec *spec,
                    bool fresh,
                    uint32_t wall_s,
                    int64_t now_us,
                    enum ColtReason *reason);
static bool is_expired_ (const struct ColtId *id, uint32_t wall_s);
static bool may_have_run_ (const struct ColtRequests *requests,
                           const struct ColtId *id,
                           uint32_t wall_s);
static bool may_lack_history_ (const struct ColtRequests *requests,
                               const struct ColtId *id);
static bool matches_spec_ (const struct ColtRequest *request,
                           const struct ColtRequestSpec *spec);

const char *const colt_request_task_state_string[]
    = { "waiting", "delayed", "sent", "running", "ended" };

const char *const colt_submit_status_string[]
    = { "accepted", "known", "not_run", "unknown", "not_lead" };

struct ColtRequests *
colt_requests_create (const struct ColtRequestCalls *calls, void *client)
{
  struct ColtRequests *requests = g_new0 (struct ColtRequests, 1);

  requests->calls = calls;
  requests->client = client;
  requests->table = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
  requests->servers = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_hash_table_unref);
  requests->timers = g_sequence_new (g_free);
  return requests;
}

void
colt_requests_destroy (struct ColtRequests *requests)
{
  uint32_t shard;

  if (requests == NULL)
    return;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_close_shard (requests, shard);
  g_hash_table_unref (requests->table);
  g_hash_table_unref (requests->servers);
  g_sequence_free (requests->timers);
  g_free (requests);
}

void
colt_requests_open_shard (struct ColtRequests *requests,
                          uint32_t shard,
                          uint64_t epoch,
                          const struct ColtTaskReport *reports,
                          const uint32_t *servers,
                          const uint64_t *server_epochs,
                          size_t count,
                          int64_t now_us)
{
  size_t i;

  assert (shard < COLT_SHARD_COUNT && epoch > 0);
  colt_requests_close_shard (requests, shard);
  requests->shards[shard].epoch = epoch;
  requests->shards[shard].known_since_s = UINT32_MAX;
  for (i = 0; i < count; i++)
    if (colt_id_shard (&reports[i].ref.request) == shard)
      colt_requests_recover (requests, &reports[i], servers[i],
                             server_epochs[i], now_us);
}

void
colt_requests_set_known_since (struct ColtRequests *requests,
                               uint32_t shard,
                               uint32_t known_since_s)
{
  assert (shard < COLT_SHARD_COUNT);
  requests->shards[shard].known_since_s = known_since_s;
}

void
colt_requests_close_shard (struct ColtRequests *requests, uint32_t shard)
{
  GHashTableIter iter;
  gpointer value;

  assert (shard < COLT_SHARD_COUNT);
  if (requests->shards[shard].epoch == 0)
    return;
  requests->shards[shard].epoch = 0;
  g_hash_table_iter_init (&iter, requests->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtRequest *request = value;

      if (colt_id_shard (&request->id) != shard)
        continue;
      g_hash_table_iter_remove (&iter);
      colt_requests_free (requests, request);
    }
}

uint64_t
colt_requests_shard_epoch (const struct ColtRequests *requests, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return requests->shards[shard].epoch;
}

bool
colt_request_id_is_expired (const struct ColtId *id,
                            const struct ColtRequestSpec *spec,
                            uint32_t wall_s)
{
  return !spec->idempotent && is_expired_ (id, wall_s);
}

bool
colt_requests_may_lack_history (const struct ColtRequests *requests,
                                const struct ColtId *id,
                                const struct ColtRequestSpec *spec)
{
  return !spec->idempotent && may_lack_history_ (requests, id);
}

enum ColtSubmitStatus
colt_requests_submit (struct ColtRequests *requests,
                      const struct ColtId *id,
                      const struct ColtRequestSpec *spec,
                      bool fresh,
                      uint32_t waiter,
                      uint32_t wall_s,
                      int64_t now_us,
                      enum ColtReason *reason)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);
  enum ColtSubmitStatus status;
  uint32_t i;

  assert (spec->tasks >= 1 && spec->tasks <= COLT_TASKS_PER_REQUEST_MAX);
  *reason = COLT_REASON_NONE;
  if (requests->shards[colt_id_shard (id)].epoch == 0)
    return COLT_SUBMIT_NOT_LEADER;
  if (request != NULL)
    {
      if (!matches_spec_ (request, spec))
        {
          *reason = COLT_REASON_MISMATCH;
          return COLT_SUBMIT_NOT_RUN;
        }
      if (request->recovered)
        colt_requests_apply_spec (requests, request, spec, now_us);
      colt_requests_add_waiter (requests, id, waiter);
      return COLT_SUBMIT_KNOWN;
    }
  status
      = check_new_request_ (requests, id, spec, fresh, wall_s, now_us, reason);
  if (status != COLT_SUBMIT_ACCEPTED)
    return status;
  request = colt_requests_add (requests, id, spec, now_us);
  request->may_have_run = !fresh && may_have_run_ (requests, id, wall_s);
  colt_requests_add_waiter (requests, id, waiter);
  if (spec->deadline_us != COLT_TIME_NEVER)
    colt_requests_add_timer (requests, spec->deadline_us, id, 0,
                             TIMER_DEADLINE);
  for (i = 0; i < spec->tasks; i++)
    requests->calls->queue_task (requests->client, request, i);
  return COLT_SUBMIT_ACCEPTED;
}

void
colt_requests_end_recovered (struct ColtRequests *requests,
                             const struct ColtId *id,
                             enum ColtOutcome outcome,
                             int64_t now_us)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);

  if (request == NULL || !request->recovered || request->open_tasks > 0
      || request->outcome != COLT_OUTCOME_PENDING)
    return;
  request->recovered = false;
  requests->stats.recovered--;
  colt_requests_end (requests, request, outcome, COLT_REASON_NONE, now_us);
}

void
colt_requests_cancel (struct ColtRequests *requests,
                      const struct ColtId *id,
                      int64_t now_us)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);

  if (request == NULL || request->outcome != COLT_OUTCOME_PENDING
      || request->cancelled)
    return;
  request->cancelled = true;
  colt_requests_abandon (requests, request, COLT_REASON_CANCELLED, now_us);
}

bool
colt_requests_refuse_waiting (struct ColtRequests *requests,
                              const struct ColtId *id,
                              enum ColtReason reason,
                              int64_t now_us)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);

  if (request == NULL || request->outcome != COLT_OUTCOME_PENDING
      || request->recovered || colt_request_ever_ran (request)
      || colt_request_is_in_flight (request))
    return false;
  colt_requests_abandon (requests, request, reason, now_us);
  return true;
}

const struct ColtRequest *
colt_requests_find (const struct ColtRequests *requests,
                    const struct ColtId *id)
{
  return colt_requests_lookup (requests, id);
}

bool
colt_requests_add_waiter (struct ColtRequests *requests,
                          const struct ColtId *id,
                          uint32_t waiter)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);
  unsigned i;

  if (request == NULL)
    return false;
  for (i = 0; i < request->waiter_count; i++)
    if (request->waiters[i] == waiter)
      return true;
  if (waiter != 0 && request->waiter_count < COLT_REQUEST_WAITERS_MAX)
    request->waiters[request->waiter_count++] = waiter;
  return true;
}

void
colt_requests_get_stats (const struct ColtRequests *requests,
                         struct ColtRequestStats *stats)
{
  *stats = requests->stats;
  stats->kept = g_hash_table_size (requests->table) - requests->stats.open;
}

void
colt_requests_visit (const struct ColtRequests *requests,
                     void (*visit) (void *client,
                                    const struct ColtRequest *request),
                     void *client)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (client, value);
}

static enum ColtSubmitStatus
check_new_request_ (const struct ColtRequests *requests,
                    const struct ColtId *id,
                    const struct ColtRequestSpec *spec,
                    bool fresh,
                    uint32_t wall_s,
                    int64_t now_us,
                    enum ColtReason *reason)
{
  if (!spec->idempotent && colt_id_kind (id) != COLT_ID_MINTED)
    {
      *reason = COLT_REASON_NEEDS_MINTED_ID;
      return COLT_SUBMIT_NOT_RUN;
    }
  if (!spec->durable && colt_request_id_is_expired (id, spec, wall_s))
    {
      *reason = COLT_REASON_EXPIRED_ID;
      return COLT_SUBMIT_UNKNOWN;
    }
  if (!fresh && colt_requests_may_lack_history (requests, id, spec))
    {
      *reason = COLT_REASON_HISTORY_LOST;
      return COLT_SUBMIT_UNKNOWN;
    }
  *reason = COLT_REASON_NONE;
  if (spec->deadline_us <= now_us)
    *reason = COLT_REASON_DEADLINE;
  else if (requests->stats.open
               >= requests->stats.recovered + COLT_REQUEST_OPEN_MAX
           || requests->stats.payload_bytes + spec->payload_size
                  > COLT_REQUEST_BYTES_MAX)
    *reason = COLT_REASON_OVERLOADED;
  if (*reason == COLT_REASON_NONE)
    return COLT_SUBMIT_ACCEPTED;
  return !fresh && may_have_run_ (requests, id, wall_s) ? COLT_SUBMIT_UNKNOWN
                                                        : COLT_SUBMIT_NOT_RUN;
}

/* Returns whether a request with an id may have been removed already. */
static bool
is_expired_ (const struct ColtId *id, uint32_t wall_s)
{
  uint64_t removal_s
      = (uint64_t)colt_id_minted_s (id) + COLT_REQUEST_RETENTION_S;

  return removal_s <= (uint64_t)wall_s + COLT_CLOCK_SKEW_S;
}

/* Returns whether a request that the table lacks may have run earlier. */
static bool
may_have_run_ (const struct ColtRequests *requests,
               const struct ColtId *id,
               uint32_t wall_s)
{
  return is_expired_ (id, wall_s) || may_lack_history_ (requests, id);
}

/* Returns whether an id is older than the shard's complete reports. */
static bool
may_lack_history_ (const struct ColtRequests *requests, const struct ColtId *id)
{
  uint64_t known_since_s = requests->shards[colt_id_shard (id)].known_since_s;

  return colt_id_minted_s (id) <= known_since_s + COLT_CLOCK_SKEW_S;
}

static bool
matches_spec_ (const struct ColtRequest *request,
               const struct ColtRequestSpec *spec)
{
  if (request->fingerprint == COLT_FINGERPRINT_NONE)
    return strcmp (request->spec.team, spec->team) == 0
           && request->spec.kind == spec->kind
           && request->spec.tasks <= spec->tasks;
  return request->fingerprint == colt_request_fingerprint (spec);
}
