#include "coltsfootstile/transfers.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define ZONE_SLOTS (COLT_ZONE_MAX + 1)
/* A zone keeps this part of what it runs free for tasks to come. */
#define HEADROOM_PART 8
/* Least tasks below its fair part at which a zone is served from others' use.
 */
#define UNFAIR_TASKS 2

struct ColtPlannerZone
{
  bool known;
  uint64_t sequence;
  int64_t received_us;
  GHashTable *demands; /* name -> struct ColtDemand, owned */
};

/* When a team's last change was first noticed. */
struct ColtPlannerTeam
{
  char name[COLT_NAME_SIZE];
  struct ColtQuotaAmount has; /* this zone's entitlement then */
  int64_t since_us;
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
  bool seen; /* the pending record has been read back */
  bool started;
  int64_t sent_us;
};

/* One team's division, by index of zone in the bundle. */
struct ColtTeamPlan
{
  struct ColtTransferPlanner *planner;
  GArray *moves; /* of struct ColtQuotaMove */
  int64_t now_us;
  const char *team;
  const uint32_t *zones;
  size_t count;
  struct ColtQuotaAmount limit;
  struct ColtQuotaAmount has[ZONE_SLOTS];
  struct ColtQuotaAmount targets[ZONE_SLOTS];
  struct ColtQuotaNeed needs[ZONE_SLOTS];
};

static void destroy_pending_ (struct ColtTransferPlanner *planner);
static bool hears_all_ (const struct ColtTransferPlanner *planner,
                        int64_t now_us);
static const struct ColtQuotaTransfer *
retry_ (struct ColtTransferPlanner *planner, int64_t now_us);
static const struct ColtQuotaTransfer *
make_record_ (struct ColtTransferPlanner *planner,
              int64_t now_us,
              GArray *moves);
static void plan_team_ (void *context, const char *team);
static bool rested_ (struct ColtTeamPlan *plan);
static void load_needs_ (struct ColtTeamPlan *plan);
static void target_demand_ (struct ColtTeamPlan *plan);
static void add_headroom_ (struct ColtTeamPlan *plan);
static bool target_fair_ (struct ColtTeamPlan *plan);
static size_t after_richest_ (const struct ColtTeamPlan *plan);
static void give_ (struct ColtTeamPlan *plan);
static void differ_ (const struct ColtQuotaAmount *a,
                     const struct ColtQuotaAmount *b,
                     struct ColtQuotaAmount *surplus);
static void least_of_ (const struct ColtQuotaAmount *a,
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
colt_transfer_planner_receive (struct ColtTransferPlanner *planner,
                               const struct ColtDemandDigest *digest,
                               int64_t now_us)
{
  struct ColtPlannerZone *zone;
  size_t i;

  assert (digest->zone >= 1 && digest->zone <= COLT_ZONE_MAX);
  zone = &planner->zones[digest->zone];
  if (zone->known && digest->sequence <= zone->sequence)
    return;
  zone->known = true;
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
    return retry_ (planner, now_us);
  if (planner->started && now_us - planner->sent_us < COLT_TRANSFER_PERIOD_US)
    return NULL;
  if (!hears_all_ (planner, now_us))
    return NULL;
  plan.now_us = now_us;
  plan.moves = g_array_new (FALSE, TRUE, sizeof (struct ColtQuotaMove));
  plan.zones = colt_entitlements_zones (planner->entitlements, &plan.count);
  colt_entitlements_each_team (planner->entitlements, plan_team_, &plan);
  record = make_record_ (planner, now_us, plan.moves);
  g_array_unref (plan.moves);
  return record;
}

void
colt_transfer_planner_seen (struct ColtTransferPlanner *planner,
                            const struct ColtId *id)
{
  if (planner->pending != NULL && colt_id_equal (&planner->pending->id, id))
    planner->seen = true;
}

bool
colt_transfer_planner_pending (const struct ColtTransferPlanner *planner)
{
  return planner->pending != NULL && !planner->seen;
}

static void
destroy_pending_ (struct ColtTransferPlanner *planner)
{
  colt_quota_transfer_destroy (planner->pending);
  planner->pending = NULL;
  planner->seen = false;
}

/* A record that can't be known to be in the log comes again. Once it is out of
 * its window no reader will apply it, and another one can be planned. */
static const struct ColtQuotaTransfer *
retry_ (struct ColtTransferPlanner *planner, int64_t now_us)
{
  uint64_t position = colt_entitlements_position (planner->entitlements);

  if (planner->seen || position - planner->pending->base > COLT_TRANSFER_WINDOW)
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
hears_all_ (const struct ColtTransferPlanner *planner, int64_t now_us)
{
  size_t count;
  const uint32_t *zones
      = colt_entitlements_zones (planner->entitlements, &count);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct ColtPlannerZone *zone = &planner->zones[zones[i]];

      if (!zone->known || now_us - zone->received_us >= COLT_TRANSFER_STALE_US)
        return false;
    }
  return count > 1;
}

static const struct ColtQuotaTransfer *
make_record_ (struct ColtTransferPlanner *planner,
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
  planner->started = true;
  planner->sent_us = now_us;
  return planner->pending;
}

static void
plan_team_ (void *context, const char *team)
{
  struct ColtTeamPlan *plan = context;
  bool rested;

  plan->team = team;
  colt_entitlements_limit (plan->planner->entitlements, team, &plan->limit);
  load_needs_ (plan);
  rested = rested_ (plan);
  if (!colt_entitlements_settled (plan->planner->entitlements, team)
      || plan->moves->len >= COLT_QUOTA_ITEMS_MAX - ZONE_SLOTS)
    return;
  if (!rested || !target_fair_ (plan))
    target_demand_ (plan);
  give_ (plan);
}

/* What moves out of use rests a while, so that it doesn't go to and fro. */
static bool
rested_ (struct ColtTeamPlan *plan)
{
  struct ColtPlannerTeam *team
      = g_hash_table_lookup (plan->planner->teams, plan->team);
  struct ColtQuotaAmount has;

  colt_entitlements_get (plan->planner->entitlements, plan->team,
                         plan->planner->zone, &has);
  if (team == NULL)
    {
      team = g_new0 (struct ColtPlannerTeam, 1);
      g_strlcpy (team->name, plan->team, sizeof team->name);
      team->since_us = plan->now_us;
      team->has = has;
      g_hash_table_replace (plan->planner->teams, team->name, team);
    }
  if (!colt_quota_equal (&team->has, &has))
    {
      team->since_us = plan->now_us;
      team->has = has;
    }
  return plan->now_us - team->since_us >= COLT_TRANSFER_REST_US;
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
                             plan->zones[i], &plan->has[i]);
      memset (&plan->needs[i], 0, sizeof plan->needs[i]);
      if (demand == NULL)
        continue;
      plan->needs[i].base = demand->running;
      plan->needs[i].unit = demand->unit;
      plan->needs[i].count = demand->waiting;
    }
}

/* A zone keeps what its own work uses; the rest goes where work waits, then
 * to headroom. */
static void
target_demand_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaNeed needs[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      struct ColtQuotaAmount own = plan->has[i];

      needs[i] = plan->needs[i];
      colt_quota_raise (&own, &plan->needs[i].base);
      needs[i].count
          = colt_quota_fill (&own, &plan->needs[i], 1, 0, &needs[i].base);
    }
  if (colt_quota_fill (&plan->limit, needs, plan->count, 0, plan->targets) == 0)
    add_headroom_ (plan);
}

static void
add_headroom_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaNeed needs[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < plan->count; i++)
    {
      int64_t running = plan->needs[i].base.amount[COLT_QUOTA_TASKS];
      int64_t headroom = running == 0 ? 0 : 1 + running / HEADROOM_PART;
      int64_t spare = plan->has[i].amount[COLT_QUOTA_TASKS]
                      - plan->targets[i].amount[COLT_QUOTA_TASKS];
      bool other = plan->zones[i] != plan->planner->zone;

      needs[i].base = plan->targets[i];
      needs[i].unit = plan->needs[i].unit;
      needs[i].count = other && 2 * spare >= headroom ? 0 : headroom;
    }
  colt_quota_fill (&plan->limit, needs, plan->count, 0, plan->targets);
}

/* Divides the whole limit anew. Returns false if no zone is far below it. */
static bool
target_fair_ (struct ColtTeamPlan *plan)
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
  colt_quota_fill (&plan->limit, needs, plan->count, after_richest_ (plan),
                   plan->targets);
  for (i = 0; i < plan->count; i++)
    {
      int64_t fair = plan->targets[i].amount[COLT_QUOTA_TASKS];
      int64_t has = plan->has[i].amount[COLT_QUOTA_TASKS];

      if (plan->needs[i].count > 0
          && ((has == 0 && fair > 0)
              || fair - has >= MAX (UNFAIR_TASKS, fair / HEADROOM_PART)))
        unfair = true;
    }
  return unfair;
}

/* The zone behind the one with most: limits below the zones go round. */
static size_t
after_richest_ (const struct ColtTeamPlan *plan)
{
  size_t richest = 0;
  size_t i;

  assert (plan->count > 0);
  for (i = 1; i < plan->count; i++)
    if (plan->has[i].amount[COLT_QUOTA_TASKS]
        > plan->has[richest].amount[COLT_QUOTA_TASKS])
      richest = i;
  return (richest + 1) % plan->count;
}

/* Matches zones that have too much with zones that have too little, in their
 * order; every planner finds the same and writes down its own part. */
static void
give_ (struct ColtTeamPlan *plan)
{
  struct ColtQuotaAmount lacks[ZONE_SLOTS];
  size_t from;
  size_t to;

  for (to = 0; to < plan->count; to++)
    differ_ (&plan->targets[to], &plan->has[to], &lacks[to]);
  for (from = 0; from < plan->count; from++)
    {
      struct ColtQuotaAmount surplus;

      differ_ (&plan->has[from], &plan->targets[from], &surplus);
      for (to = 0; to < plan->count; to++)
        {
          struct ColtQuotaMove move = { { 0 } };

          move.amount = lacks[to];
          least_of_ (&surplus, &move.amount);
          if (from == to || colt_quota_is_zero (&move.amount))
            continue;
          colt_quota_subtract (&surplus, &move.amount);
          colt_quota_subtract (&lacks[to], &move.amount);
          g_strlcpy (move.team, plan->team, sizeof move.team);
          move.from = plan->zones[from];
          move.to = plan->zones[to];
          if (move.from == plan->planner->zone)
            g_array_append_val (plan->moves, move);
        }
    }
}

/* What a has above b, in dimensions that are limited. */
static void
differ_ (const struct ColtQuotaAmount *a,
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
least_of_ (const struct ColtQuotaAmount *a, struct ColtQuotaAmount *b)
{
  colt_quota_lower (b, a);
}
