#include "placement_private.h"

/* Time that a gang waits for those of its tasks that were not added yet. */
#define GATHER_TIMEOUT_US COLT_US_PER_S

/* Age from which a gang may hold room, and longest time that it holds room. */
#define HOLD_DELAY_US (100 * COLT_US_PER_MS)
#define HOLD_TIME_US (60 * COLT_US_PER_S)

static guint place_members_ (struct ColtPlacement *placement,
                             const struct ColtGang *gang,
                             int64_t now_us);
static bool may_hold_room_ (const struct ColtPlacement *placement,
                            const struct ColtGang *gang,
                            int64_t now_us);
static void hold_room_ (struct ColtPlacement *placement,
                        struct ColtGang *gang,
                        guint count,
                        int64_t now_us);
static struct ColtLane *get_gang_lane_ (const struct ColtGang *gang);

void
colt_gangs_add_member (struct ColtPlacement *placement,
                       struct ColtWaitingTask *waiting,
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
      gang->created_us = now_us;
      g_hash_table_insert (placement->gangs, &gang->request, gang);
    }
  waiting->gang = gang;
  if (gang->members->len > 0)
    waiting->lane = ((struct ColtWaitingTask *)gang->members->pdata[0])->lane;
  g_ptr_array_add (gang->members, waiting);
}

struct ColtWaitingTask *
colt_gangs_remove_member (struct ColtPlacement *placement,
                          struct ColtWaitingTask *waiting)
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
colt_gangs_is_ready (struct ColtPlacement *placement,
                     const struct ColtWaitingTask *waiting,
                     int64_t now_us)
{
  const struct ColtGang *gang = waiting->gang;
  uint32_t i;

  if (gang->held_members > 0 || gang->members->len >= gang->tasks
      || now_us >= gang->created_us + GATHER_TIMEOUT_US)
    return true;
  for (i = 0; i < gang->tasks; i++)
    if (colt_placed_find (placement, &gang->request, i) != NULL)
      return true;
  return false;
}

int64_t
colt_gangs_gather_end_us (const struct ColtWaitingTask *waiting)
{
  return waiting->gang->created_us + GATHER_TIMEOUT_US;
}

bool
colt_gangs_place (struct ColtPlacement *placement,
                  struct ColtWaitingTask *waiting,
                  int64_t now_us)
{
  struct ColtGang *gang = waiting->gang;
  uint64_t generation = placement->generation;
  guint count = place_members_ (placement, gang, now_us);
  GPtrArray *members;
  guint i;

  if (count < gang->members->len)
    {
      if (may_hold_room_ (placement, gang, now_us))
        {
          hold_room_ (placement, gang, count, now_us);
          return false;
        }
      /* Releasing the room that this attempt took is no gain for blocked
       * lanes. */
      gang->held_members = count;
      colt_gangs_release (placement, gang);
      placement->generation = generation;
      return false;
    }
  gang->held_members = 0;
  if (placement->holding_gang == gang)
    placement->holding_gang = NULL;
  colt_buckets_set_holds_room (placement, waiting->lane, false);
  members = g_ptr_array_copy (gang->members, NULL, NULL);
  for (i = 0; i < members->len; i++)
    colt_decide_issue_choice (placement, g_ptr_array_index (members, i),
                              now_us);
  g_ptr_array_unref (members);
  return true;
}

void
colt_gangs_expire (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtGang *gang = placement->holding_gang;

  if (gang == NULL || now_us < gang->hold_expires_us)
    return;
  colt_teams_pause_reservations (get_gang_lane_ (gang)->team, now_us);
  colt_gangs_release (placement, gang);
}

void
colt_gangs_release (struct ColtPlacement *placement, struct ColtGang *gang)
{
  guint i;

  for (i = 0; i < gang->held_members; i++)
    {
      const struct ColtWaitingTask *member
          = g_ptr_array_index (gang->members, i);

      colt_placed_remove (placement,
                          colt_placed_find (placement, &member->task.request,
                                            member->task.index),
                          false);
    }
  gang->held_members = 0;
  if (placement->holding_gang != gang)
    return;
  placement->holding_gang = NULL;
  colt_buckets_set_holds_room (placement, get_gang_lane_ (gang), false);
}

void
colt_gangs_free (gpointer data)
{
  struct ColtGang *gang = data;

  g_ptr_array_unref (gang->members);
  g_free (gang);
}

/* Places members that hold no room yet, until one finds no server. Returns how
 * many members have a server. */
static guint
place_members_ (struct ColtPlacement *placement,
                const struct ColtGang *gang,
                int64_t now_us)
{
  guint i;

  for (i = gang->held_members; i < gang->members->len; i++)
    {
      const struct ColtWaitingTask *member
          = g_ptr_array_index (gang->members, i);
      struct ColtPlacementServer *server;
      struct ColtSearch search;

      colt_decide_init_search (&search, placement, member, now_us);
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

/* Returns whether an incomplete gang may hold room. Only one gang at a time
 * does, so that no two gangs wait for each other's room. */
static bool
may_hold_room_ (const struct ColtPlacement *placement,
                const struct ColtGang *gang,
                int64_t now_us)
{
  if (placement->holding_gang != NULL)
    return placement->holding_gang == gang;
  return now_us >= gang->created_us + HOLD_DELAY_US
         && now_us >= get_gang_lane_ (gang)->team->reserve_after_us;
}

static void
hold_room_ (struct ColtPlacement *placement,
            struct ColtGang *gang,
            guint count,
            int64_t now_us)
{
  if (placement->holding_gang == NULL)
    gang->hold_expires_us = now_us + HOLD_TIME_US;
  if (count > gang->held_members)
    colt_reservations_drop_request (placement, &gang->request);
  placement->holding_gang = gang;
  gang->held_members = count;
  colt_buckets_set_holds_room (placement, get_gang_lane_ (gang), true);
}

static struct ColtLane *
get_gang_lane_ (const struct ColtGang *gang)
{
  return ((struct ColtWaitingTask *)g_ptr_array_index (gang->members, 0))->lane;
}
