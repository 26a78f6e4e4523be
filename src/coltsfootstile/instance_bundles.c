#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_dump.h"
#include "coltsfootstile/bundle_peers.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/record.h"
#include "instance.h"

#define MODULE "bundle"

/* Time between two checks whether a snapshot is due. */
#define SNAPSHOT_INTERVAL_US (1 * COLT_US_PER_S)
/* Age above which a peer's freshness report is dropped. */
#define REPORT_MAX_AGE_US (5 * COLT_US_PER_S)
/* Number of instances in each other zone to which a withdrawal is pushed. */
#define PUSH_REMOTE_MAX 2u
/* Size in bytes of a freshness report. Integers are big-endian: age in us (8),
 * next offset (8), bits of the reachable zones (2), whether the log is
 * unreachable (1), zone (1), zero (1). */
#define REPORT_SIZE 21u

struct ColtInstanceBundles
{
  struct ColtInstance *instance;
  struct ColtChain *chain;
  struct ColtBundlePeers *peers;
  unsigned pull_turn;  /* selects the peer to pull from */
  uint64_t generation; /* of the bundle that the home has */
  GArray *reports;     /* newest freshness report of each peer */
  enum ColtFreshness freshness;
  /* Every record appended before this time was read; COLT_TIME_NEVER: there is
   * no such time. */
  int64_t as_of_us;
  int64_t next_snapshot_check_us; /* when to check for a snapshot next */
  int64_t snapshot_read_us;      /* when a snapshot was last read or appended */
  int64_t snapshot_due_since_us; /* COLT_TIME_NEVER: none is due */
  uint64_t first_offset;         /* after the last gap in the log; 0: no gap */
  int64_t in_force_us;           /* when the bundle came into force here */
};

static size_t fill_report_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX]);
static void handle_report_ (void *client,
                            uint32_t instance,
                            int64_t requested_us,
                            const uint8_t *body,
                            size_t size);
static void store_u64_ (uint8_t *at, uint64_t value);
static uint64_t load_u64_ (const uint8_t *at);
static void fill_input_ (const struct ColtInstanceBundles *bundles,
                         struct ColtFreshnessInput *input);
static bool log_is_fresh_ (const struct ColtInstanceBundles *bundles,
                           int64_t now_us);
static void update_freshness_ (struct ColtInstanceBundles *bundles);
static uint32_t choose_peer_ (void *client);
static size_t list_targets_ (void *client, uint32_t *instances, size_t max);
static void on_changed_ (void *client);
static uint8_t *pack_limits_ (void *client, uint64_t next_offset, size_t *size);
static void apply_bundle_ (struct ColtInstanceBundles *bundles);
static void check_snapshot_ (struct ColtInstanceBundles *bundles,
                             int64_t now_us);
static void append_snapshot_ (struct ColtInstanceBundles *bundles);

static const struct ColtBundlePeersCalls peers_calls
    = { choose_peer_, list_targets_, on_changed_, pack_limits_ };

struct ColtInstanceBundles *
colt_instance_bundles_create (struct ColtInstance *instance,
                              struct ColtError *error)
{
  struct ColtInstanceBundles *bundles;
  struct ColtOperatorKey keys[COLT_BUNDLE_OPERATORS_MAX];
  size_t count = colt_settings_count (instance->settings, "trust", "operator");
  size_t i;

  if (count < 1 || count > COLT_BUNDLE_OPERATORS_MAX)
    {
      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
                      "[trust] operator: 1 to %u keys are required",
                      COLT_BUNDLE_OPERATORS_MAX);
      return NULL;
    }
  for (i = 0; i < count; i++)
    if (!colt_operator_key_parse (
            colt_settings_item (instance->settings, "trust", "operator", i),
            &keys[i]))
      {
        colt_error_set (
            error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
            "[trust] operator: a public key has 64 hexadecimal digits");
        return NULL;
      }
  bundles = g_new0 (struct ColtInstanceBundles, 1);
  bundles->instance = instance;
  bundles->chain = colt_chain_create (keys, count);
  bundles->peers = colt_bundle_peers_create (instance->wire, bundles->chain,
                                             &peers_calls, bundles);
  bundles->reports
      = g_array_new (FALSE, FALSE, sizeof (struct ColtFreshnessReport));
  bundles->freshness = COLT_STALE_NO_BUNDLE;
  bundles->as_of_us = COLT_TIME_NEVER;
  bundles->snapshot_read_us = colt_clock_monotonic_us ();
  bundles->snapshot_due_since_us = COLT_TIME_NEVER;
  colt_membership_link_set_topic (instance->link, COLT_PIGGYBACK_FRESHNESS,
                                  fill_report_, handle_report_, bundles);
  return bundles;
}

void
colt_instance_bundles_destroy (struct ColtInstanceBundles *bundles)
{
  if (bundles == NULL)
    return;
  colt_bundle_peers_destroy (bundles->peers);
  colt_chain_destroy (bundles->chain);
  g_array_unref (bundles->reports);
  g_free (bundles);
}

void
colt_instance_bundles_apply_record (struct ColtInstanceBundles *bundles,
                                    const struct ColtLogItem *item)
{
  struct ColtLogPosition position = { item->offset, item->index };
  struct ColtChainVerdict verdict;

  colt_chain_apply_record (bundles->chain, position, item->kind, item->body,
                           item->size, &verdict);
  if (item->kind == COLT_RECORD_SNAPSHOT)
    bundles->snapshot_read_us = colt_clock_monotonic_us ();
  if (verdict.status == COLT_CHAIN_IGNORED)
    return;
  if (verdict.status == COLT_CHAIN_ACCEPTED
      && item->kind == COLT_RECORD_KEY_WITHDRAW)
    colt_bundle_peers_push (bundles->peers, item->body, item->size);
  if (verdict.status == COLT_CHAIN_ACCEPTED
      || verdict.status == COLT_CHAIN_DUPLICATE)
    colt_log (COLT_LOG_INFO, MODULE, NULL,
              "record at offset %" G_GUINT64_FORMAT ": %s", item->offset,
              colt_chain_status_string[verdict.status]);
  else
    colt_log_error (COLT_LOG_WARNING, MODULE,
                    colt_chain_status_string[verdict.status], &verdict.error);
  apply_bundle_ (bundles);
}

void
colt_instance_bundles_handle_gap (struct ColtInstanceBundles *bundles,
                                  uint64_t first)
{
  bundles->first_offset = first;
  if (!colt_chain_set_first_offset (bundles->chain, first))
    colt_log (COLT_LOG_WARNING, MODULE, NULL,
              "records before offset %" G_GUINT64_FORMAT
              " are lost; waiting for a snapshot",
              first);
}

void
colt_instance_bundles_step (struct ColtInstanceBundles *bundles, int64_t now_us)
{
  colt_chain_advance (bundles->chain,
                      colt_log_client_offset (bundles->instance->log));
  update_freshness_ (bundles);
  colt_bundle_peers_step (bundles->peers, now_us,
                          log_is_fresh_ (bundles, now_us));
  colt_membership_set_fast_probing (bundles->instance->membership,
                                    bundles->freshness != COLT_FRESH_READ
                                        && colt_chain_bundle (bundles->chain)
                                               != NULL);
  if (now_us < bundles->next_snapshot_check_us)
    return;
  bundles->next_snapshot_check_us = now_us + SNAPSHOT_INTERVAL_US;
  check_snapshot_ (bundles, now_us);
}

const struct ColtBundle *
colt_instance_get_bundle (void *client)
{
  const struct ColtInstance *instance = client;

  return colt_chain_bundle (instance->bundles->chain);
}

const struct ColtKeyring *
colt_instance_get_keyring (void *client)
{
  const struct ColtInstance *instance = client;

  return colt_chain_keyring (instance->bundles->chain);
}

bool
colt_instance_keys_are_fresh (void *client)
{
  const struct ColtInstance *instance = client;

  update_freshness_ (instance->bundles);
  return colt_freshness_is_fresh (instance->bundles->freshness);
}

json_t *
colt_instance_bundles_dump (const struct ColtInstanceBundles *bundles)
{
  json_t *dump = colt_chain_dump (bundles->chain);
  int64_t now_us = colt_clock_monotonic_us ();

  json_object_set_new (dump, "zone", json_integer (bundles->instance->zone));
  json_object_set_new (dump, "instance",
                       json_integer (bundles->instance->number));
  if (colt_chain_bundle (bundles->chain) != NULL)
    json_object_set_new (
        dump, "in_force_ms",
        json_integer ((now_us - bundles->in_force_us) / COLT_US_PER_MS));
  json_object_set_new (dump, "freshness",
                       json_string (colt_freshness_string[bundles->freshness]));
  if (bundles->as_of_us != COLT_TIME_NEVER)
    json_object_set_new (
        dump, "freshness_age_ms",
        json_integer ((now_us - bundles->as_of_us) / COLT_US_PER_MS));
  return dump;
}

static size_t
fill_report_ (void *client, uint8_t body[COLT_PIGGYBACK_MAX])
{
  struct ColtInstanceBundles *bundles = client;
  struct ColtFreshnessInput input;
  int64_t age_us = COLT_TIME_NEVER;

  update_freshness_ (bundles);
  fill_input_ (bundles, &input);
  if (bundles->as_of_us != COLT_TIME_NEVER)
    age_us = input.now_us - bundles->as_of_us;
  store_u64_ (body, (uint64_t)age_us);
  store_u64_ (body + 8, input.next_offset);
  body[16] = (uint8_t)(colt_freshness_reachable_zones (&input) >> 8);
  body[17] = (uint8_t)colt_freshness_reachable_zones (&input);
  body[18] = colt_freshness_is_log_unreachable (&input);
  body[19] = (uint8_t)(bundles->instance->zone);
  body[20] = 0;
  return REPORT_SIZE;
}

static void
handle_report_ (void *client,
                uint32_t instance,
                int64_t requested_us,
                const uint8_t *body,
                size_t size)
{
  struct ColtInstanceBundles *bundles = client;
  struct ColtFreshnessReport report = { 0 };
  guint i;

  if (requested_us < 0 || size != REPORT_SIZE || body[19] < 1
      || body[19] > COLT_ZONE_MAX)
    return;
  report.instance = instance;
  report.zone = body[19];
  report.requested_us = requested_us;
  report.age_us = (int64_t)load_u64_ (body);
  report.next_offset = load_u64_ (body + 8);
  report.reachable_zones = (uint32_t)body[16] << 8 | body[17];
  report.log_unreachable = body[18] != 0;
  if (report.age_us < 0)
    return;
  for (i = 0; i < bundles->reports->len; i++)
    {
      struct ColtFreshnessReport *old
          = &g_array_index (bundles->reports, struct ColtFreshnessReport, i);

      if (old->instance == instance)
        {
          *old = report;
          return;
        }
    }
  g_array_append_val (bundles->reports, report);
}

static void
store_u64_ (uint8_t *at, uint64_t value)
{
  value = GUINT64_TO_BE (value);
  memcpy (at, &value, sizeof value);
}

static uint64_t
load_u64_ (const uint8_t *at)
{
  uint64_t value;

  memcpy (&value, at, sizeof value);
  return GUINT64_FROM_BE (value);
}

static void
fill_input_ (const struct ColtInstanceBundles *bundles,
             struct ColtFreshnessInput *input)
{
  const struct ColtBundle *bundle = colt_chain_bundle (bundles->chain);
  struct ColtLogReaderStats stats;
  uint32_t i;

  memset (input, 0, sizeof *input);
  colt_log_client_get_stats (bundles->instance->log, NULL, &stats);
  input->now_us = colt_clock_monotonic_us ();
  input->self_zone = bundles->instance->zone;
  input->read_us
      = stats.fresh_us == INT64_MIN ? COLT_TIME_NEVER : stats.fresh_us;
  input->next_offset = colt_chain_next_offset (bundles->chain);
  input->read_failing = stats.failing;
  input->has_bundle
      = bundle != NULL && !colt_chain_needs_snapshot (bundles->chain);
  for (i = 0; bundle != NULL && i < colt_bundle_zone_count (bundle); i++)
    input->zones |= 1u << colt_bundle_zone (bundle, i)->number;
  input->reports = (const struct ColtFreshnessReport *)bundles->reports->data;
  input->report_count = bundles->reports->len;
}

static bool
log_is_fresh_ (const struct ColtInstanceBundles *bundles, int64_t now_us)
{
  int64_t fresh_us = colt_log_client_fresh_us (bundles->instance->log);

  /* Before the first read of the log it is INT64_MIN. */
  return fresh_us != INT64_MIN
         && now_us - fresh_us < COLT_FRESHNESS_BOUND_MS * COLT_US_PER_MS;
}

static void
update_freshness_ (struct ColtInstanceBundles *bundles)
{
  struct ColtFreshnessInput input;
  guint i = 0;

  fill_input_ (bundles, &input);
  while (i < bundles->reports->len)
    {
      const struct ColtFreshnessReport *report
          = &g_array_index (bundles->reports, struct ColtFreshnessReport, i);

      if (input.now_us - report->requested_us > REPORT_MAX_AGE_US)
        g_array_remove_index_fast (bundles->reports, i);
      else
        i++;
    }
  input.report_count = bundles->reports->len;
  bundles->freshness = colt_freshness_decide (&input, &bundles->as_of_us);
}

/* Alternates between the peer that has read furthest, if one has read further
 * than this instance, and all peers in turn. */
static uint32_t
choose_peer_ (void *client)
{
  struct ColtInstanceBundles *bundles = client;
  uint64_t next = colt_chain_next_offset (bundles->chain);
  uint32_t live[COLT_DIGEST_MAX];
  uint32_t best = 0;
  size_t count;
  guint i;

  for (i = 0; i < bundles->reports->len; i++)
    {
      const struct ColtFreshnessReport *report
          = &g_array_index (bundles->reports, struct ColtFreshnessReport, i);

      if (report->next_offset <= next)
        continue;
      next = report->next_offset;
      best = report->instance;
    }
  bundles->pull_turn++;
  if (best != 0 && bundles->pull_turn % 2 == 0)
    return best;
  count = colt_membership_list_eligible (bundles->instance->membership, 0, live,
                                         COLT_DIGEST_MAX);
  if (count < 2)
    return 0;
  best = live[bundles->pull_turn % count];
  return best != bundles->instance->number
             ? best
             : live[(bundles->pull_turn + 1) % count];
}

static size_t
list_targets_ (void *client, uint32_t *instances, size_t max)
{
  struct ColtInstanceBundles *bundles = client;
  uint32_t live[COLT_DIGEST_MAX];
  size_t count = 0;
  uint32_t zone;

  for (zone = 1; zone <= COLT_ZONE_MAX; zone++)
    {
      size_t found = colt_membership_list_eligible (
          bundles->instance->membership, zone, live, COLT_DIGEST_MAX);
      size_t max_in_zone
          = zone == bundles->instance->zone ? found : PUSH_REMOTE_MAX;
      size_t i;

      for (i = 0; i < found && i < max_in_zone && count < max; i++)
        if (live[i] != bundles->instance->number)
          instances[count++] = live[i];
    }
  return count;
}

static void
on_changed_ (void *client)
{
  apply_bundle_ (client);
}

static uint8_t *
pack_limits_ (void *client, uint64_t next_offset, size_t *size)
{
  struct ColtInstanceBundles *bundles = client;

  if (bundles->instance->limits == NULL)
    return NULL;
  return colt_instance_limits_pack (bundles->instance->limits, next_offset,
                                    size);
}

/* Passes a new bundle to the home. */
static void
apply_bundle_ (struct ColtInstanceBundles *bundles)
{
  const struct ColtBundle *bundle = colt_chain_bundle (bundles->chain);
  uint64_t generation = colt_chain_generation (bundles->chain);

  if (generation == bundles->generation || bundle == NULL)
    return;
  bundles->generation = generation;
  bundles->in_force_us = colt_clock_monotonic_us ();
  colt_home_set_bundle (bundles->instance->home, bundle);
}

static void
check_snapshot_ (struct ColtInstanceBundles *bundles, int64_t now_us)
{
  struct ColtInstance *instance = bundles->instance;
  struct ColtSnapshotState state = { 0 };
  uint32_t live[COLT_DIGEST_MAX];

  if (colt_chain_bundle (bundles->chain) == NULL
      || colt_chain_needs_snapshot (bundles->chain))
    return;
  state.now_us = now_us;
  state.retention_us = colt_settings_integer (instance->settings, "platform",
                                              "log_retention_s")
                       * COLT_US_PER_S;
  state.last_us = bundles->snapshot_read_us;
  state.last_offset = colt_chain_snapshot_offset (bundles->chain);
  state.first_offset = bundles->first_offset;
  state.next_offset = colt_chain_next_offset (bundles->chain);
  state.due_since_us = bundles->snapshot_due_since_us;
  state.live = live;
  state.live_count = colt_membership_list_eligible (instance->membership, 0,
                                                    live, COLT_DIGEST_MAX);
  state.self = instance->number;
  if (!colt_snapshot_is_due (&state))
    {
      bundles->snapshot_due_since_us = COLT_TIME_NEVER;
      return;
    }
  if (bundles->snapshot_due_since_us == COLT_TIME_NEVER)
    bundles->snapshot_due_since_us = now_us;
  state.due_since_us = bundles->snapshot_due_since_us;
  if (colt_snapshot_is_own_turn (&state))
    append_snapshot_ (bundles);
}

/* The next check repeats an append for which the log client has no room. */
static void
append_snapshot_ (struct ColtInstanceBundles *bundles)
{
  struct ColtLogItem item = { 0 };
  size_t size;
  size_t extra_size = 0;
  enum ColtLogAddStatus status;
  uint8_t *extra = colt_instance_limits_pack (
      bundles->instance->limits, colt_chain_next_offset (bundles->chain),
      &extra_size);
  uint8_t *body = NULL;

  if (extra != NULL)
    body
        = colt_chain_encode_snapshot (bundles->chain, extra, extra_size, &size);
  free (extra);
  if (body == NULL)
    return;
  item.kind = COLT_RECORD_SNAPSHOT;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  item.body = body;
  item.size = size;
  status = colt_log_client_add (
      bundles->instance->log, &item,
      colt_clock_monotonic_us () + SNAPSHOT_INTERVAL_US * 10, NULL, NULL);
  free (body);
  if (status != COLT_LOG_ADD_QUEUED)
    colt_log (COLT_LOG_WARNING, MODULE, NULL, "snapshot can't be appended: %s",
              colt_log_add_status_string[status]);
  if (status == COLT_LOG_ADD_FULL)
    return;
  bundles->snapshot_due_since_us = COLT_TIME_NEVER;
  bundles->snapshot_read_us = colt_clock_monotonic_us ();
}
