#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/record.h"
#include "instance_limits.h"

#define MODULE "limits"

/* Time after which an append of a transfer record is abandoned. */
#define APPEND_TIMEOUT_US (2 * COLT_US_PER_S)

static void apply_bundle_ (struct ColtInstanceLimits *limits,
                           uint64_t offset,
                           const struct ColtBundle *bundle);
static void fill_team_ (const struct ColtBundleTeam *team,
                        struct ColtQuotaTeam *quota);
static int64_t convert_limit_ (int64_t limit);
static void apply_transfer_ (struct ColtInstanceLimits *limits,
                             uint64_t offset,
                             const uint8_t *body,
                             size_t size);
static void adopt_snapshot_ (struct ColtInstanceLimits *limits);
static void apply_pending_record_ (void *client,
                                   struct ColtLogPosition position,
                                   uint32_t kind,
                                   const uint8_t *body,
                                   size_t size);
static void replace_fold_ (struct ColtInstanceLimits *limits,
                           struct ColtEntitlements *fold);
static void fill_random_ (void *context, uint8_t *bytes, size_t size);
static void append_transfer_ (struct ColtInstanceLimits *limits,
                              int64_t now_us);
static void add_team_ (void *context, const char *team);

struct ColtTeamsDump
{
  const struct ColtInstanceLimits *limits;
  json_t *teams;
};

struct ColtInstanceLimits *
colt_instance_limits_create (struct ColtInstance *instance)
{
  struct ColtInstanceLimits *limits = g_new0 (struct ColtInstanceLimits, 1);
  struct ColtOperatorKey keys[COLT_BUNDLE_OPERATORS_MAX];
  size_t count = colt_settings_count (instance->settings, "trust", "operator");
  uint32_t shard;
  size_t i;

  for (i = 0; i < count; i++)
    colt_operator_key_parse (
        colt_settings_item (instance->settings, "trust", "operator", i),
        &keys[i]);
  limits->instance = instance;
  limits->chain = colt_chain_create (keys, count);
  limits->fold = colt_entitlements_create ();
  limits->planner = colt_transfer_planner_create (instance->zone, limits->fold,
                                                  fill_random_, NULL);
  limits->processes
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  limits->shard_demands = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, colt_limits_free_shard_demand);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      limits->shards[shard].limits = limits;
      limits->shards[shard].shard = shard;
    }
  colt_limits_set_credit_handlers (limits);
  colt_limits_set_demand_handlers (limits);
  colt_limits_set_piggyback_topics (limits);
  return limits;
}

void
colt_instance_limits_destroy (struct ColtInstanceLimits *limits)
{
  uint32_t shard;

  if (limits == NULL)
    return;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_limits_close_shard (limits, shard);
  colt_credit_holder_destroy (limits->holder);
  colt_transfer_planner_destroy (limits->planner);
  colt_entitlements_destroy (limits->fold);
  colt_chain_destroy (limits->chain);
  g_hash_table_unref (limits->processes);
  g_hash_table_unref (limits->shard_demands);
  g_free (limits);
}

void
colt_instance_limits_apply_record (struct ColtInstanceLimits *limits,
                                   const struct ColtLogItem *item)
{
  struct ColtLogPosition position = { item->offset, item->index };
  struct ColtChainVerdict verdict;

  colt_chain_apply_record (limits->chain, position, item->kind, item->body,
                           item->size, &verdict);
  if (verdict.status == COLT_CHAIN_ADOPTED)
    adopt_snapshot_ (limits);
  else if (verdict.status == COLT_CHAIN_ACCEPTED
           && item->kind == COLT_RECORD_BUNDLE)
    apply_bundle_ (limits, item->offset + 1, colt_chain_bundle (limits->chain));
  else if (item->kind == COLT_RECORD_TRANSFER)
    apply_transfer_ (limits, item->offset + 1, item->body, item->size);
}

void
colt_instance_limits_handle_gap (struct ColtInstanceLimits *limits,
                                 uint64_t first)
{
  colt_chain_set_first_offset (limits->chain, first);
}

void
colt_instance_limits_step (struct ColtInstanceLimits *limits, int64_t now_us)
{
  struct ColtLogClient *log = limits->instance->log;
  uint64_t next = colt_log_client_offset (log);

  colt_chain_advance (limits->chain, next);
  if (colt_chain_needs_snapshot (limits->chain))
    return;
  colt_entitlements_advance (limits->fold, next);
  if (limits->holder == NULL && colt_log_client_fresh_us (log) != INT64_MIN
      && colt_chain_bundle (limits->chain) != NULL)
    colt_limits_create_holder (limits, next);
  colt_limits_step_credits (limits, now_us);
  colt_limits_step_demand (limits, now_us);
  colt_limits_step_piggyback (limits, now_us);
  append_transfer_ (limits, now_us);
}

bool
colt_instance_limits_is_ready (const struct ColtInstanceLimits *limits)
{
  return limits->holder != NULL;
}

uint8_t *
colt_instance_limits_pack (const struct ColtInstanceLimits *limits,
                           uint64_t next_offset,
                           size_t *size)
{
  if (colt_chain_needs_snapshot (limits->chain)
      || colt_entitlements_position (limits->fold) != next_offset)
    return NULL;
  return colt_entitlements_pack (limits->fold, size);
}

/* Tasks may run on servers that are missing in the reconciliation, so
 * colt_limits_step_credits() starts to grant credits only when each server has
 * reported or is written off. */
void
colt_instance_limits_set_leadership (struct ColtInstanceLimits *limits,
                                     uint32_t shard,
                                     uint64_t epoch,
                                     bool led)
{
  limits->shards[shard].pending_epoch = led ? epoch : 0;
  if (!led)
    colt_limits_close_shard (limits, shard);
}

json_t *
colt_instance_limits_dump (const struct ColtInstanceLimits *limits)
{
  struct ColtTeamsDump dump = { limits, json_array () };

  colt_entitlements_each_team (limits->fold, add_team_, &dump);
  return json_pack (
      "{s:b,s:I,s:I,s:b,s:o}", "ready", (int)(limits->holder != NULL),
      "position", (json_int_t)colt_entitlements_position (limits->fold),
      "offset", (json_int_t)colt_entitlements_last_change (limits->fold),
      "transfer_pending",
      (int)colt_transfer_planner_is_pending (limits->planner), "teams",
      dump.teams);
}

static void
apply_bundle_ (struct ColtInstanceLimits *limits,
               uint64_t offset,
               const struct ColtBundle *bundle)
{
  uint32_t team_count = colt_bundle_team_count (bundle);
  struct ColtQuotaTeam *teams = g_new0 (struct ColtQuotaTeam, team_count + 1);
  uint32_t zones[COLT_BUNDLE_ZONES_MAX];
  struct ColtQuotaBundle quota = { zones, NULL, 0, teams, team_count };
  uint32_t i;

  for (i = 0; i < team_count; i++)
    fill_team_ (colt_bundle_team (bundle, i), &teams[i]);
  for (i = 0; i < colt_bundle_zone_count (bundle); i++)
    zones[quota.zone_count++] = colt_bundle_zone (bundle, i)->number;
  colt_entitlements_apply_bundle (limits->fold, offset, &quota);
  g_free (teams);
}

static void
fill_team_ (const struct ColtBundleTeam *team, struct ColtQuotaTeam *quota)
{
  g_strlcpy (quota->team, team->name, sizeof quota->team);
  quota->limit.amount[COLT_QUOTA_TASKS] = convert_limit_ (team->limit_tasks);
  quota->limit.amount[COLT_QUOTA_CORES]
      = convert_limit_ (team->limit_cores_milli);
  quota->limit.amount[COLT_QUOTA_ACCELERATORS]
      = convert_limit_ (team->limit_accelerators);
}

static int64_t
convert_limit_ (int64_t limit)
{
  return limit == COLT_BUNDLE_NO_LIMIT ? COLT_QUOTA_UNLIMITED
                                       : MIN (limit, COLT_QUOTA_MAX);
}

static void
apply_transfer_ (struct ColtInstanceLimits *limits,
                 uint64_t offset,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtError error;
  struct ColtQuotaTransfer *transfer
      = colt_quota_transfer_unpack (body, size, &error);

  if (transfer == NULL)
    {
      colt_log_error (COLT_LOG_WARNING, MODULE,
                      "malformed transfer record; skipped", &error);
      return;
    }
  colt_entitlements_apply_transfer (limits->fold, offset, transfer);
  colt_transfer_planner_confirm_record (limits->planner, &transfer->id);
  colt_quota_transfer_destroy (transfer);
}

/* Replaces the fold by that of the snapshot and applies the records that follow
 * the snapshot. */
static void
adopt_snapshot_ (struct ColtInstanceLimits *limits)
{
  size_t size = 0;
  const uint8_t *extra = colt_chain_snapshot_extra (limits->chain, &size);
  struct ColtError error;
  struct ColtEntitlements *fold;

  if (extra == NULL || size == 0)
    {
      colt_log (COLT_LOG_ERROR, MODULE, NULL,
                "snapshot contains no limits; keeping the current ones");
      return;
    }
  fold = colt_entitlements_unpack (extra, size, &error);
  if (fold == NULL)
    {
      colt_log_error (
          COLT_LOG_ERROR, MODULE,
          "snapshot contains malformed limits; keeping the current ones",
          &error);
      return;
    }
  replace_fold_ (limits, fold);
  colt_chain_visit_pending (limits->chain, apply_pending_record_, limits);
}

static void
apply_pending_record_ (void *client,
                       struct ColtLogPosition position,
                       uint32_t kind,
                       const uint8_t *body,
                       size_t size)
{
  struct ColtInstanceLimits *limits = client;

  if (position.offset + 1 <= colt_entitlements_position (limits->fold))
    return;
  if (kind == COLT_RECORD_TRANSFER)
    apply_transfer_ (limits, position.offset + 1, body, size);
  else if (kind == COLT_RECORD_BUNDLE)
    apply_bundle_ (limits, position.offset + 1,
                   colt_chain_bundle (limits->chain));
}

static void
replace_fold_ (struct ColtInstanceLimits *limits, struct ColtEntitlements *fold)
{
  uint64_t epochs[COLT_SHARD_COUNT];
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      epochs[shard] = limits->shards[shard].epoch;
      colt_limits_close_shard (limits, shard);
    }
  colt_transfer_planner_destroy (limits->planner);
  colt_entitlements_destroy (limits->fold);
  limits->fold = fold;
  limits->planner = colt_transfer_planner_create (limits->instance->zone, fold,
                                                  fill_random_, NULL);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (epochs[shard] != 0)
      colt_limits_open_shard (limits, shard, epochs[shard]);
}

static void
fill_random_ (void *context, uint8_t *bytes, size_t size)
{
  (void)context;
  randombytes_buf (bytes, size);
}

/* Appends the record again in each period until it is read back from the log;
 * all copies have the same id, so only the first has an effect. */
static void
append_transfer_ (struct ColtInstanceLimits *limits, int64_t now_us)
{
  const struct ColtQuotaTransfer *transfer;
  struct ColtLogItem item = { 0 };
  uint8_t *body;

  if (now_us < limits->next_append_us)
    return;
  transfer = colt_transfer_planner_process (limits->planner, now_us);
  if (transfer == NULL)
    return;
  limits->next_append_us = now_us + COLT_TRANSFER_PERIOD_US;
  body = colt_quota_transfer_pack (transfer, &item.size);
  item.kind = COLT_RECORD_TRANSFER;
  item.id = transfer->id;
  item.body = body;
  colt_log_client_add (limits->instance->log, &item, now_us + APPEND_TIMEOUT_US,
                       NULL, NULL);
  free (body);
}

static void
add_team_ (void *context, const char *team)
{
  struct ColtTeamsDump *dump = context;
  const struct ColtInstanceLimits *limits = dump->limits;
  struct ColtQuotaAmount limit;
  struct ColtQuotaAmount usable;
  struct ColtQuotaAmount running = { { 0 } };
  struct ColtQuotaAmount spare = { { 0 } };

  colt_entitlements_get_limit (limits->fold, team, &limit);
  colt_entitlements_get_usable (limits->fold, team, limits->instance->zone,
                                &usable);
  if (limits->holder != NULL)
    {
      colt_credit_holder_get_running (limits->holder, team, &running);
      colt_credit_holder_get_spare (limits->holder, team, &spare);
    }
  json_array_append_new (
      dump->teams,
      json_pack ("{s:s,s:I,s:I,s:I,s:I,s:b}", "team", team, "limit_tasks",
                 (json_int_t)limit.amount[COLT_QUOTA_TASKS], "usable_tasks",
                 (json_int_t)usable.amount[COLT_QUOTA_TASKS], "running_tasks",
                 (json_int_t)running.amount[COLT_QUOTA_TASKS], "spare_tasks",
                 (json_int_t)spare.amount[COLT_QUOTA_TASKS], "settled",
                 (int)colt_entitlements_is_settled (limits->fold, team)));
}
