#include "placement_private.h"

/* Number of lanes, from the first of a bucket, that are checked for one that
 * may be tried. */
#define LANES_TRIED_MAX 4

static struct ColtBucket *get_bucket_ (struct ColtPlacement *placement,
                                       const struct ColtLane *lane);
static void insert_lane_ (struct ColtLane *lane);
static struct ColtLane *find_open_lane_ (struct ColtPlacement *placement,
                                         struct ColtBucket *bucket,
                                         int64_t now_us);
static bool is_open_ (const struct ColtPlacement *placement,
                      struct ColtLane *lane,
                      int64_t now_us);
static bool has_precedence_ (const struct ColtLane *lane);
static gint compare_lanes_ (gconstpointer a, gconstpointer b, gpointer data);
static gint compare_retries_ (gconstpointer a, gconstpointer b, gpointer data);

void
colt_buckets_add (struct ColtPlacement *placement, struct ColtLane *lane)
{
  lane->bucket = get_bucket_ (placement, lane);
  lane->order_key = colt_lane_compute_key (placement, lane);
  lane->high_priority = colt_teams_is_high_priority (placement, lane->kind);
  insert_lane_ (lane);
}

void
colt_buckets_remove (struct ColtLane *lane)
{
  g_clear_pointer (&lane->order_iter, g_sequence_remove);
  g_clear_pointer (&lane->deferred_iter, g_sequence_remove);
}

void
colt_buckets_set_order (struct ColtPlacementTeam *team,
                        double order,
                        bool high_priority_first)
{
  guint i;

  if (team->order == order && team->high_priority_first == high_priority_first)
    return;
  for (i = 0; i < team->lanes->len; i++)
    {
      struct ColtLane *lane = g_ptr_array_index (team->lanes, i);

      lane->reinsert = lane->order_iter != NULL;
      g_clear_pointer (&lane->order_iter, g_sequence_remove);
    }
  team->order = order;
  team->high_priority_first = high_priority_first;
  for (i = 0; i < team->lanes->len; i++)
    {
      struct ColtLane *lane = g_ptr_array_index (team->lanes, i);

      if (lane->reinsert)
        insert_lane_ (lane);
      lane->reinsert = false;
    }
}

void
colt_buckets_set_holds_room (struct ColtPlacement *placement,
                             struct ColtLane *lane,
                             bool holds_room)
{
  bool ordered = lane->order_iter != NULL;

  if (lane->holds_room == holds_room)
    return;
  g_clear_pointer (&lane->order_iter, g_sequence_remove);
  lane->holds_room = holds_room;
  if (ordered)
    colt_buckets_add (placement, lane);
}

void
colt_buckets_defer (struct ColtPlacement *placement,
                    struct ColtLane *lane,
                    int64_t until_us)
{
  colt_buckets_remove (lane);
  lane->retry_us = until_us;
  lane->deferred_iter = g_sequence_insert_sorted (placement->deferred, lane,
                                                  compare_retries_, NULL);
}

void
colt_buckets_resume_deferred (struct ColtPlacement *placement, int64_t now_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (placement->deferred);

  while (!g_sequence_iter_is_end (first))
    {
      struct ColtLane *lane = g_sequence_get (first);

      if (lane->retry_us > now_us)
        {
          placement->wake_us = MIN (placement->wake_us, lane->retry_us);
          return;
        }
      colt_buckets_remove (lane);
      lane->blocked_generation = 0;
      lane->bucket->blocked_generation = 0;
      insert_lane_ (lane);
      first = g_sequence_get_begin_iter (placement->deferred);
    }
}

void
colt_buckets_record_gain (struct ColtPlacement *placement,
                          const struct ColtResources *free)
{
  placement->generation++;
  placement->gains[placement->generation % COLT_GAINS_MAX] = *free;
}

struct ColtLane *
colt_buckets_choose_lane (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtLane *first = NULL;
  guint i;

  for (i = 0; i < placement->buckets->len; i++)
    {
      struct ColtBucket *bucket = g_ptr_array_index (placement->buckets, i);
      struct ColtLane *lane;

      if (g_sequence_is_empty (bucket->lanes)
          || (bucket->blocked_generation == placement->generation
              && now_us < bucket->retry_us))
        continue;
      lane = find_open_lane_ (placement, bucket, now_us);
      if (lane == NULL)
        bucket->blocked_generation = placement->generation;
      else if (first == NULL || lane->level < first->level
               || (lane->level == first->level
                   && compare_lanes_ (lane, first, NULL) < 0))
        first = lane;
    }
  return first;
}

void
colt_buckets_free (gpointer data)
{
  struct ColtBucket *bucket = data;

  g_sequence_free (bucket->lanes);
  g_free (bucket);
}

static struct ColtBucket *
get_bucket_ (struct ColtPlacement *placement, const struct ColtLane *lane)
{
  struct ColtBucket *bucket;
  guint i;

  if (lane->bucket != NULL)
    return lane->bucket;
  for (i = 0; i < placement->buckets->len; i++)
    {
      bucket = g_ptr_array_index (placement->buckets, i);
      if (bucket->level == lane->level
          && bucket->size_class == lane->size_class)
        return bucket;
    }
  bucket = g_new0 (struct ColtBucket, 1);
  bucket->level = lane->level;
  bucket->size_class = lane->size_class;
  bucket->lanes = g_sequence_new (NULL);
  g_ptr_array_add (placement->buckets, bucket);
  return bucket;
}

static void
insert_lane_ (struct ColtLane *lane)
{
  lane->order_iter = g_sequence_insert_sorted (lane->bucket->lanes, lane,
                                               compare_lanes_, NULL);
  if (lane->blocked_generation == 0)
    lane->bucket->blocked_generation = 0;
}

static struct ColtLane *
find_open_lane_ (struct ColtPlacement *placement,
                 struct ColtBucket *bucket,
                 int64_t now_us)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (bucket->lanes);
  int i;

  bucket->retry_us = COLT_TIME_NEVER;
  for (i = 0; i < LANES_TRIED_MAX && !g_sequence_iter_is_end (iter); i++)
    {
      struct ColtLane *lane = g_sequence_get (iter);

      if (is_open_ (placement, lane, now_us))
        return lane;
      if (lane->large)
        bucket->retry_us = MIN (bucket->retry_us, lane->retry_us);
      iter = g_sequence_iter_next (iter);
    }
  placement->wake_us = MIN (placement->wake_us, bucket->retry_us);
  return NULL;
}

/* Returns whether a lane may be tried. A blocked lane opens when a server that
 * gained room has enough free for its head, when the recorded gains no longer
 * reach back to its last attempt, or when the retry of a large head is due. */
static bool
is_open_ (const struct ColtPlacement *placement,
          struct ColtLane *lane,
          int64_t now_us)
{
  const struct ColtResources *demand;
  uint64_t i;

  if (lane->large && now_us >= lane->retry_us)
    return true;
  if (lane->blocked_generation == placement->generation)
    return false;
  if (lane->blocked_generation == 0
      || placement->generation - lane->blocked_generation >= COLT_GAINS_MAX)
    return true;
  demand = &colt_lane_get_head (lane)->task.demand;
  for (i = lane->blocked_generation + 1; i <= placement->generation; i++)
    if (colt_resources_fit (demand, &placement->gains[i % COLT_GAINS_MAX]))
      return true;
  lane->blocked_generation = placement->generation;
  return false;
}

static bool
has_precedence_ (const struct ColtLane *lane)
{
  return lane->holds_room
         || (lane->high_priority && lane->team->high_priority_first);
}

static gint
compare_lanes_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtLane *first = a;
  const struct ColtLane *second = b;
  const struct ColtPlacementTeam *teams[] = { first->team, second->team };
  bool precedence[] = { has_precedence_ (first), has_precedence_ (second) };

  (void)data;
  if (precedence[0] != precedence[1])
    return precedence[0] ? -1 : 1;
  if (teams[0]->order != teams[1]->order)
    return teams[0]->order < teams[1]->order ? -1 : 1;
  if (teams[0] != teams[1])
    return teams[0]->number < teams[1]->number ? -1 : 1;
  return (first->order_key > second->order_key)
         - (first->order_key < second->order_key);
}

static gint
compare_retries_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtLane *first = a;
  const struct ColtLane *second = b;

  (void)data;
  return (first->retry_us > second->retry_us)
         - (first->retry_us < second->retry_us);
}
