#include "coltsfootstile/transfers.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Size of arrays that are indexed by zone; zones count from 1. */
#define ZONE_SLOTS (COLT_ZONE_MAX + 1)
/* A zone with running tasks keeps a headroom for future tasks: 1 task plus
 * 1 / HEADROOM_DIVISOR of the running ones. */
#define HEADROOM_DIVISOR 8
/* A zone with waiting tasks receives entitlement that other zones use if it
 * lacks at least this many tasks and 1 / HEADROOM_DIVISOR of its fair part. */
#define UNFAIR_TASKS 2

struct ColtPlannerZone
{
  bool has_digest;
  uint64_t sequence;
  int64_t received_us;
  GHashTable *demands; /* name -> struct ColtDemand, owned */
};

/* This zone's entitlement to a team's limit, as seen at the last call. */
struct ColtPlannerTeam
{
  char name[COLT_NAME_SIZE];
  struct ColtQuotaAmount current;
  int64_t changed_us; /* when a changed amount was first seen */
};

struct ColtTransferPlanner
{
  uint32_t zone;
  const struct ColtEntitlements *entitlements;
  ColtTransferRandomFunc random;
  void *context;
  struct ColtPlannerZone zones[ZONE_SLOTS];
  GHashTable *teams; /* name -> struct ColtPlannerTeam, owned */
  struct ColtQuotaTransfer *pending;
  bool confirmed;  /* the pending record was read back from the log */
  bool has_sent;   /* a record was returned before */
  int64_t sent_us; /* when a record was last returned */
};

/* Division of one team's limit; arrays are indexed by the zone's position in
 * the bundle. */
struct ColtTeamPlan
{
  struct ColtTransferPlanner *planner;
  GArray *moves; /* of struct ColtQuotaMove */
  int64_t now_us;
  const char *team;
  const uint32_t *zones;
  size_t count;
  struct ColtQuotaAmount limit;
  struct ColtQuotaAmount current[ZONE_SLOTS];
  struct ColtQuotaAmount targets[ZONE_SLOTS];
  struct ColtQuotaNeed needs[ZONE_SLOTS];
};

static void destroy_pending_ (struct ColtTransferPlanner *planner);
static bool has_all_digests_ (const struct ColtTransferPlanner *planner,
                              int64_t now_us);
static const struct ColtQuotaTransfer *
retry_pending_ (struct ColtTransferPlanner *planner, int64_t now_us);
static const struct ColtQuotaTransfer *
create_record_ (struct ColtTransferPlanner *planner,
                int64_t now_us,
                GArray *moves);
static void plan_team_ (void *context, const char *team);
static bool is_cooldown_over_ (struct ColtTeamPlan *plan);
static void load_needs_ (struct ColtTeamPlan *plan);
static void set_demand_targets_ (struct ColtTeamPlan *plan);
static void add_headroom_ (struct ColtTeamPlan *plan);
static bool set_fair_targets_ (struct ColtTeamPlan *plan);
static size_t find_after_largest_ (const struct ColtTeamPlan *plan);
static void add_moves_ (struct ColtTeamPlan *plan);
static void compute_surplus_ (const struct ColtQuotaAmount *a,
                              const struct ColtQuotaAmount *b,
                              struct ColtQuotaAmount *surplus);
static void lower_to_ (const struct ColtQuotaAmount *a,
                       struct ColtQuotaAmount *b);

struct ColtTransferPlanner *
colt_transfer_planner_create (uint32_t zone,
                              const struct ColtEntitlements *entitlements,
                              ColtTransferRandomFunc random,
                              void *context)
{
  struct ColtTransferPlanner *planner = g_new0 (struct ColtTransferPlanner, 1);
  size_t i;

  assert (zone >= 1 && zone <= COLT_ZONE_MAX);
  planner->zone = zone;
  planner->entitlements = entitlements;
  planner->random = random;
  planner->context = context;
  planner->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (i = 0; i < ZONE_SLOTS; i++)
    planner->zones[i].demands
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return planner;
}

void
colt_transfer_planner_destroy (struct ColtTransferPlanner *planner)
{
  size_t i;

  if (planner == NULL)
    return;
  destroy_pending_ (planner);
  g_hash_table_unref (planner->teams);
  for (i = 0; i < ZONE_SLOTS; i++)
    g_hash_table_unref (planner->zones[i].demands);
  g_free (planner);
}

void
colt_transfer_planner_handle_digest (struct ColtTransferPlanner *planner,
                                     const struct ColtDemandDigest *digest,
                                     int64_t now_us)
{
  struct ColtPlannerZone *zone;
  size_t i;

  assert (digest->zone >= 1 && digest->zone <= COLT_ZONE_MAX);
  zone = &planner->zones[digest->zone];
  if (zone->has_digest && digest->sequence <= zone->sequence)
    return;
  zone->has_digest = true;
  zone->sequence = digest->sequence;
  zone->received_us = now_us;
  g_hash_table_remove_all (zone->demands);
  for (i = 0; i < digest->demand_count; i++)
    {
      struct ColtDemand *demand = g_new (struct ColtDemand, 1);

      *demand = digest->demands[i];
      g_hash_table_replace (zone->demands, demand->team, demand);
    }
}

const struct ColtQuotaTransfer *
colt_transfer_planner_process (struct ColtTransferPlanner *planner,
                               int64_t now_us)
{
  struct ColtTeamPlan plan = { planner };
  const struct ColtQuotaTransfer *record;

  if (planner->pending != NULL)
    return retry_pending_ (planner, now_us);
  if (planner->has_sent && now_us - planner->sent_us < COLT_TRANSFER_PERIOD_US)
    return NULL;
  if (!has_all_digests_ (planner, now_us))
    return NULL;
  plan.now_us = now_us;
  plan.moves = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaMove));
  plan.zones = colt_entitlements_zones (planner->entitlements, &plan.count);
  colt_entitlements_each_team (planner->entitlements, plan_team_, &plan);
  record = create_record_ (planner, now_us, plan.moves);
  g_array_unref (plan.moves);
  return record;
}

void
colt_transfer_planner_confirm_record (struct ColtTransferPlanner *planner,
                                      const struct ColtId *id)
{
  if (planner->pending != NULL && colt_id_equal (&planner->pending->id, id))
    planner->confirmed = true;
}

bool
colt_transfer_planner_is_pending (const struct ColtTransferPlanner *planner)
{
  return planner->pending != NULL && !planner->confirmed;
}

static void
destroy_pending_ (struct ColtTransferPlanner *planner)
{
  colt_quota_transfer_destroy (planner->pending);
  planner->pending = NULL;
  planner->confirmed = false;
}

/* Repeats the pending record until it is read back from the log. Once the log
 * position is beyond the record's window, no reader applies the record, so
 * another one can be planned. */
static const struct ColtQuotaTransfer *
retry_pending_ (struct ColtTransferPlanner *planner, int64_t now_us)
{
  uint64_t position = colt_entitlements_position (planner->entitlements);

  if (planner->confirmed
      || position - planner->pending->base > COLT_TRANSFER_WINDOW)
    {
      destroy_pending_ (planner);
      return NULL;
    }
  if (now_us - planner->sent_us < COLT_TRANSFER_RETRY_US)
    return NULL;
  planner->sent_us = now_us;
  return planner->pending;
}

static bool
has_all_digests_ (const struct ColtTransferPlanner *planner, int64_t now_us)
{
  size_t count;
  const uint32_t *zones
      = colt_entitlements_zones (planner->entitlements, &count);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct ColtPlannerZone *zone = &planner->zones[zones[i]];

      if (!zone->has_digest
          || now_us - zone->received_us >= COLT_TRANSFER_STALE_US)
        return false;
    }
  return count > 1;
}

static const struct ColtQuotaTransfer *
create_record_ (struct ColtTransferPlanner *planner,
                int64_t now_us,
                GArray *moves)
{
  uint8_t random[10];

  if (moves->len == 0)
    return NULL;
  planner->pending = colt_quota_transfer_create (moves->len);
  memcpy (planner->pending->moves, moves->data,
          moves->len * sizeof (struct ColtQuotaMove));
  planner->pending->base = colt_entitlements_position (planner->entitlements);
  planner->random (planner->context, random, sizeof random);
  planner->pending->id = colt_id_mint (planner->zone, 0, random);
  planner->has_sent = true;
  planner->sent_us = now_us;
  return planner->pending;
}

static void
plan_team_ (void *context, const char *team)
{
  struct ColtTeamPlan *plan = context;
  bool cooldown_over;

  plan->team = team;
  colt_entitlements_get_limit (plan->planner->entitlements, team, &plan->limit);
  load_needs_ (plan);
  cooldown_over = is_cooldown_over_ (plan);
  if (!colt_entitlements_is_settled (plan->planner->entitlements, team)
      || plan->moves->len >= COLT_QUOTA_ITEMS_MAX - ZONE_SLOTS)
    return;
  if (!cooldown_over || !set_fair_targets_ (plan))
    set_demand_targets_ (plan);
  add_moves_ (plan);
}

/* Returns whether this zone's entitlement was unchanged for the cooldown.
 * Without a cooldown, entitlement in use would oscillate between zones. */
static bool
is_cooldown_over_ (struct ColtTeamPlan *plan)
{
  struct ColtPlannerTeam *team
      = g_hash_table_lookup (plan->planner->teams, plan->team);
  struct ColtQuotaAmount current;

  colt_entitlements_get (plan->planner->entitlements, plan->team,
                         plan->planner->zone, &current);
  if (team == NULL)
    {
      team = g_new0 (struct ColtPlannerTeam, 1);
      g_strlcpy (team->name, plan->team, sizeof team->name);
      team->changed_us = plan->now_us;
      team->current = current;
      g_hash_table_replace (plan->planner->teams, team->name, team);
    }
  if (!colt_quota_equal (&team->current, &current))
    {
      team->changed_us = plan->now_us;
      team->current = current;
    }
  return plan->now_us - team->changed_us >= COLT_TRANSFER_COOLDOWN_US;
}

static void
load_needs_ (struct ColtTeamPlan *plan)
{
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      const struct ColtDemand *demand = g_hash_table_lookup (
          plan->planner->zones[plan->zones[i]].demands, plan->team);

      colt_entitlements_get (plan->planner->entitlements, plan->team,
                             plan->zones[i], &plan->current[i]);
      memset (&plan->needs[i], 0, sizeof plan->needs[i]);
      if (demand == NULL)
        continue;
      plan->needs[i].base = demand->running;
      plan->needs[i].unit = demand->unit;
      plan->needs[i].count = demand->waiting;
    }
}

/* Sets targets that move only surplus entitlement: each zone keeps what its
 * running tasks use and what its waiting tasks can use; the remainder serves
 * the other waiting tasks, then headroom. */
static void
set_demand_targets_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaNeed needs[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      struct ColtQuotaAmount own = plan->current[i];

      needs[i] = plan->needs[i];
      colt_quota_raise (&own, &plan->needs[i].base);
      needs[i].count
          = colt_quota_fill (&own, &plan->needs[i], 1, 0, &needs[i].base);
    }
  if (colt_quota_fill (&plan->limit, needs, plan->count, 0, plan->targets) == 0)
    add_headroom_ (plan);
}

/* Adds headroom to the targets. Another zone gets it only if its spare
 * entitlement is less than half of its headroom. */
static void
add_headroom_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaNeed needs[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      int64_t running = plan->needs[i].base.amount[COLT_QUOTA_TASKS];
      int64_t headroom = running == 0 ? 0 : 1 + running / HEADROOM_DIVISOR;
      int64_t spare = plan->current[i].amount[COLT_QUOTA_TASKS]
                      - plan->targets[i].amount[COLT_QUOTA_TASKS];
      bool other = plan->zones[i] != plan->planner->zone;

      needs[i].base = plan->targets[i];
      needs[i].unit = plan->needs[i].unit;
      needs[i].count = other && 2 * spare >= headroom ? 0 : headroom;
    }
  colt_quota_fill (&plan->limit, needs, plan->count, 0, plan->targets);
}

/* Sets targets that divide the whole limit fairly. Returns false if no zone
 * with waiting tasks is far below its fair part. */
static bool
set_fair_targets_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaNeed needs[ZONE_SLOTS];
  bool unfair = false;
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      needs[i] = plan->needs[i];
      needs[i].count += needs[i].base.amount[COLT_QUOTA_TASKS];
      memset (&needs[i].base, 0, sizeof needs[i].base);
    }
  colt_quota_fill (&plan->limit, needs, plan->count, find_after_largest_ (plan),
                   plan->targets);
  for (i = 0; i < plan->count; i++)
    {
      int64_t fair = plan->targets[i].amount[COLT_QUOTA_TASKS];
      int64_t current = plan->current[i].amount[COLT_QUOTA_TASKS];

      if (plan->needs[i].count > 0
          && ((current == 0 && fair > 0)
              || fair - current >= MAX (UNFAIR_TASKS, fair / HEADROOM_DIVISOR)))
        unfair = true;
    }
  return unfair;
}

/* Returns the index after the zone that is entitled to the most tasks, so that
 * a limit lower than the number of zones rotates among them. */
static size_t
find_after_largest_ (const struct ColtTeamPlan *plan)
{
  size_t largest = 0;
  size_t i;

  assert (plan->count > 0);
  for (i = 1; i < plan->count; i++)
    if (plan->current[i].amount[COLT_QUOTA_TASKS]
        > plan->current[largest].amount[COLT_QUOTA_TASKS])
      largest = i;
  return (largest + 1) % plan->count;
}

/* Matches zones above their target with zones below it, in bundle order. Every
 * planner computes the same moves and records those from its own zone. */
static void
add_moves_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaAmount deficits[ZONE_SLOTS];
  size_t from;
  size_t to;

  for (to = 0; to < plan->count; to++)
    compute_surplus_ (&plan->targets[to], &plan->current[to], &deficits[to]);
  for (from = 0; from < plan->count; from++)
    {
      struct ColtQuotaAmount surplus;

      compute_surplus_ (&plan->current[from], &plan->targets[from], &surplus);
      for (to = 0; to < plan->count; to++)
        {
          struct ColtQuotaMove move = { { 0 } };

          move.amount = deficits[to];
          lower_to_ (&surplus, &move.amount);
          if (from == to || colt_quota_is_zero (&move.amount))
            continue;
          colt_quota_subtract (&surplus, &move.amount);
          colt_quota_subtract (&deficits[to], &move.amount);
          g_strlcpy (move.team, plan->team, sizeof move.team);
          move.from = plan->zones[from];
          move.to = plan->zones[to];
          if (move.from == plan->planner->zone)
            g_array_append_val (plan->moves, move);
        }
    }
}

/* Computes by how much a exceeds b, in dimensions that are limited. */
static void
compute_surplus_ (const struct ColtQuotaAmount *a,
                  const struct ColtQuotaAmount *b,
                  struct ColtQuotaAmount *surplus)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      bool limited = a->amount[i] != COLT_QUOTA_UNLIMITED
                     && b->amount[i] != COLT_QUOTA_UNLIMITED;

      surplus->amount[i] = limited && a->amount[i] > b->amount[i]
                               ? a->amount[i] - b->amount[i]
                               : 0;
    }
}

static void
lower_to_ (const struct ColtQuotaAmount *a, struct ColtQuotaAmount *b)
{
  colt_quota_lower (b, a);
}
