#include "placement_private.h"

/* How long a gang waits for tasks of it that have not been added. */
#define GATHER_US COLT_US_PER_S

/* How long a gang waits before it keeps room, and how long it keeps it. */
#define PATIENCE_US (100 * COLT_US_PER_MS)
#define HOLD_US (60 * COLT_US_PER_S)

static guint place_members_ (struct ColtPlacement *placement,
                             const struct ColtGang *gang,
                             int64_t now_us);
static bool may_hold_ (const struct ColtPlacement *placement,
                       const struct ColtGang *gang,
                       int64_t now_us);
static void hold_ (struct ColtPlacement *placement,
                   struct ColtGang *gang,
                   guint count,
                   int64_t now_us);
static struct ColtLane *lane_of_ (const struct ColtGang *gang);

void
colt_gangs_add (struct ColtPlacement *placement,
                struct ColtWaiting *waiting,
                int64_t now_us)
{
  struct ColtGang *gang
      = g_hash_table_lookup (placement->gangs, &waiting->task.request);

  if (gang == NULL)
    {
      gang = g_new0 (struct ColtGang, 1);
      gang->members = g_ptr_array_new ();
      gang->request = waiting->task.request;
      gang->tasks = waiting->task.tasks;
      gang->since_us = now_us;
      g_hash_table_insert (placement->gangs, &gang->request, gang);
    }
  waiting->gang = gang;
  if (gang->members->len > 0)
    waiting->lane = ((struct ColtWaiting *)gang->members->pdata[0])->lane;
  g_ptr_array_add (gang->members, waiting);
}

struct ColtWaiting *
colt_gangs_remove (struct ColtPlacement *placement, struct ColtWaiting *waiting)
{
  struct ColtGang *gang = waiting->gang;

  colt_gangs_release (placement, gang);
  g_ptr_array_remove (gang->members, waiting);
  if (gang->members->len > 0)
    return g_ptr_array_index (gang->members, 0);
  g_hash_table_remove (placement->gangs, &waiting->task.request);
  return NULL;
}

bool
colt_gangs_ready (struct ColtPlacement *placement,
                  const struct ColtWaiting *waiting,
                  int64_t now_us)
{
  const struct ColtGang *gang = waiting->gang;
  uint32_t i;

  if (gang->held > 0 || gang->members->len >= gang->tasks
      || now_us >= gang->since_us + GATHER_US)
    return true;
  for (i = 0; i < gang->tasks; i++)
    if (colt_placed_find (placement, &gang->request, i) != NULL)
      return true;
  return false;
}

int64_t
colt_gangs_gather_us (const struct ColtWaiting *waiting)
{
  return waiting->gang->since_us + GATHER_US;
}

bool
colt_gangs_place (struct ColtPlacement *placement,
                  struct ColtWaiting *waiting,
                  int64_t now_us)
{
  struct ColtGang *gang = waiting->gang;
  uint64_t generation = placement->generation;
  guint count = place_members_ (placement, gang, now_us);
  GPtrArray *members;
  guint i;

  if (count < gang->members->len)
    {
      if (may_hold_ (placement, gang, now_us))
        {
          hold_ (placement, gang, count, now_us);
          return false;
        }
      gang->held = count;
      colt_gangs_release (placement, gang);
      placement->generation = generation;
      return false;
    }
  gang->held = 0;
  if (placement->holder == gang)
    placement->holder = NULL;
  colt_buckets_set_claims (placement, waiting->lane, false);
  members = g_ptr_array_copy (gang->members, NULL, NULL);
  for (i = 0; i < members->len; i++)
    colt_decide_hand_out (placement, g_ptr_array_index (members, i), now_us);
  g_ptr_array_unref (members);
  return true;
}

void
colt_gangs_expire (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtGang *gang = placement->holder;

  if (gang == NULL || now_us < gang->hold_until_us)
    return;
  colt_teams_pause (lane_of_ (gang)->team, now_us);
  colt_gangs_release (placement, gang);
}

void
colt_gangs_release (struct ColtPlacement *placement, struct ColtGang *gang)
{
  guint i;

  for (i = 0; i < gang->held; i++)
    {
      const struct ColtWaiting *member = g_ptr_array_index (gang->members, i);

      colt_placed_remove (placement,
                          colt_placed_find (placement, &member->task.request,
                                            member->task.index),
                          false);
    }
  gang->held = 0;
  if (placement->holder != gang)
    return;
  placement->holder = NULL;
  colt_buckets_set_claims (placement, lane_of_ (gang), false);
}

void
colt_gangs_free (gpointer data)
{
  struct ColtGang *gang = data;

  g_ptr_array_unref (gang->members);
  g_free (gang);
}

/* Finds servers for members that have none; returns how many have one. */
static guint
place_members_ (struct ColtPlacement *placement,
                const struct ColtGang *gang,
                int64_t now_us)
{
  guint i;

  for (i = gang->held; i < gang->members->len; i++)
    {
      const struct ColtWaiting *member = g_ptr_array_index (gang->members, i);
      struct ColtPlacementServer *server;
      struct ColtSearch search;

      colt_decide_prepare (&search, placement, member, now_us);
      server = colt_search_server (&search);
      if (server == NULL)
        break;
      colt_placed_add (placement, &search, server);
      colt_placed_set_held (colt_placed_find (placement, &member->task.request,
                                              member->task.index),
                            true);
    }
  return i;
}

/* One gang at a time keeps room, so that no two wait for each other. */
static bool
may_hold_ (const struct ColtPlacement *placement,
           const struct ColtGang *gang,
           int64_t now_us)
{
  if (placement->holder != NULL)
    return placement->holder == gang;
  return now_us >= gang->since_us + PATIENCE_US
         && now_us >= lane_of_ (gang)->team->reserve_after_us;
}

static void
hold_ (struct ColtPlacement *placement,
       struct ColtGang *gang,
       guint count,
       int64_t now_us)
{
  if (placement->holder == NULL)
    gang->hold_until_us = now_us + HOLD_US;
  if (count > gang->held)
    colt_reservations_drop_request (placement, &gang->request);
  placement->holder = gang;
  gang->held = count;
  colt_buckets_set_claims (placement, lane_of_ (gang), true);
}

static struct ColtLane *
lane_of_ (const struct ColtGang *gang)
{
  return ((struct ColtWaiting *)g_ptr_array_index (gang->members, 0))->lane;
}
