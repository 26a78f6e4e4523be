#include "placement_private.h"

/* Lanes of a bucket that are tried while those before them are blocked. */
#define LANES_TRIED 4

static struct ColtBucket *get_bucket_ (struct ColtPlacement *placement,
                                       const struct ColtLane *lane);
static void insert_ (struct ColtLane *lane);
static struct ColtLane *find_open_ (struct ColtPlacement *placement,
                                    struct ColtBucket *bucket,
                                    int64_t now_us);
static bool is_open_ (const struct ColtPlacement *placement,
                      struct ColtLane *lane,
                      int64_t now_us);
static bool goes_first_ (const struct ColtLane *lane);
static gint compare_lanes_ (gconstpointer a, gconstpointer b, gpointer data);
static gint compare_retries_ (gconstpointer a, gconstpointer b, gpointer data);

void
colt_buckets_add (struct ColtPlacement *placement, struct ColtLane *lane)
{
  lane->bucket = get_bucket_ (placement, lane);
  lane->key = colt_lane_key (placement, lane);
  lane->high = colt_teams_is_high (placement, lane->kind);
  insert_ (lane);
}

void
colt_buckets_remove (struct ColtLane *lane)
{
  g_clear_pointer (&lane->order, g_sequence_remove);
  g_clear_pointer (&lane->deferred, g_sequence_remove);
}

void
colt_buckets_set_order (struct ColtPlacementTeam *team,
                        double order,
                        bool high_first)
{
  guint i;

  if (team->order == order && team->high_first == high_first)
    return;
  for (i = 0; i < team->lanes->len; i++)
    {
      struct ColtLane *lane = g_ptr_array_index (team->lanes, i);

      lane->moving = lane->order != NULL;
      g_clear_pointer (&lane->order, g_sequence_remove);
    }
  team->order = order;
  team->high_first = high_first;
  for (i = 0; i < team->lanes->len; i++)
    {
      struct ColtLane *lane = g_ptr_array_index (team->lanes, i);

      if (lane->moving)
        insert_ (lane);
      lane->moving = false;
    }
}

void
colt_buckets_set_claims (struct ColtPlacement *placement,
                         struct ColtLane *lane,
                         bool claims)
{
  bool ordered = lane->order != NULL;

  if (lane->claims == claims)
    return;
  g_clear_pointer (&lane->order, g_sequence_remove);
  lane->claims = claims;
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
  lane->deferred = g_sequence_insert_sorted (placement->deferred, lane,
                                             compare_retries_, NULL);
}

void
colt_buckets_resume (struct ColtPlacement *placement, int64_t now_us)
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
      lane->blocked = 0;
      lane->bucket->blocked = 0;
      insert_ (lane);
      first = g_sequence_get_begin_iter (placement->deferred);
    }
}

void
colt_buckets_gain (struct ColtPlacement *placement,
                   const struct ColtResources *free)
{
  placement->generation++;
  placement->gains[placement->generation % COLT_GAINS_MAX] = *free;
}

struct ColtLane *
colt_buckets_choose (struct ColtPlacement *placement, int64_t now_us)
{
  struct ColtLane *first = NULL;
  guint i;

  for (i = 0; i < placement->buckets->len; i++)
    {
      struct ColtBucket *bucket = g_ptr_array_index (placement->buckets, i);
      struct ColtLane *lane;

      if (g_sequence_is_empty (bucket->lanes)
          || (bucket->blocked == placement->generation
              && now_us < bucket->retry_us))
        continue;
      lane = find_open_ (placement, bucket, now_us);
      if (lane == NULL)
        bucket->blocked = placement->generation;
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
insert_ (struct ColtLane *lane)
{
  lane->order = g_sequence_insert_sorted (lane->bucket->lanes, lane,
                                          compare_lanes_, NULL);
  if (lane->blocked == 0)
    lane->bucket->blocked = 0;
}

static struct ColtLane *
find_open_ (struct ColtPlacement *placement,
            struct ColtBucket *bucket,
            int64_t now_us)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (bucket->lanes);
  int i;

  bucket->retry_us = COLT_TIME_NEVER;
  for (i = 0; i < LANES_TRIED && !g_sequence_iter_is_end (iter); i++)
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

/* A lane that was blocked is open again once a server has gained enough. */
static bool
is_open_ (const struct ColtPlacement *placement,
          struct ColtLane *lane,
          int64_t now_us)
{
  const struct ColtResources *demand;
  uint64_t i;

  if (lane->large && now_us >= lane->retry_us)
    return true;
  if (lane->blocked == placement->generation)
    return false;
  if (lane->blocked == 0
      || placement->generation - lane->blocked >= COLT_GAINS_MAX)
    return true;
  demand = &colt_lane_head (lane)->task.demand;
  for (i = lane->blocked + 1; i <= placement->generation; i++)
    if (colt_resources_fit (demand, &placement->gains[i % COLT_GAINS_MAX]))
      return true;
  lane->blocked = placement->generation;
  return false;
}

static bool
goes_first_ (const struct ColtLane *lane)
{
  return lane->claims || (lane->high && lane->team->high_first);
}

static gint
compare_lanes_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtLane *first = a;
  const struct ColtLane *second = b;
  const struct ColtPlacementTeam *teams[] = { first->team, second->team };
  bool high[] = { goes_first_ (first), goes_first_ (second) };

  (void)data;
  if (high[0] != high[1])
    return high[0] ? -1 : 1;
  if (teams[0]->order != teams[1]->order)
    return teams[0]->order < teams[1]->order ? -1 : 1;
  if (teams[0] != teams[1])
    return teams[0]->number < teams[1]->number ? -1 : 1;
  return (first->key > second->key) - (first->key < second->key);
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
