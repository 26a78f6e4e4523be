#include <assert.h>

#include "placement_private.h"

/* Size classes: the amounts of cores (in thousandths) and memory (in mebibytes)
 * double with each step from the first ones, up to the last step; accelerators
 * are counted up to a limit. */
#define SIZE_CORES_FIRST 250
#define SIZE_MEMORY_FIRST 512
#define SIZE_STEPS_MAX 8
#define SIZE_ACCELERATORS_MAX 16

static uint32_t compute_size_class_ (const struct ColtPlacementTask *task);
static uint32_t count_size_steps_ (int64_t amount, int64_t unit);
static struct ColtLane *get_lane_ (struct ColtPlacementTeam *team,
                                   const struct ColtPlacementTask *task);
static gint compare_waiting_ (gconstpointer a, gconstpointer b, gpointer data);
static void put_in_lane_ (struct ColtWaitingTask *waiting);
static void update_head_ (struct ColtPlacement *placement,
                          struct ColtLane *lane);

struct ColtWaitingTask *
colt_queue_find (const struct ColtPlacement *placement,
                 const struct ColtId *request,
                 uint32_t index)
{
  struct ColtTaskKey key;

  key.request = *request;
  key.index = index;
  return g_hash_table_lookup (placement->waiting, &key);
}

void
colt_queue_add (struct ColtPlacement *placement,
                const struct ColtPlacementTask *task,
                int64_t now_us)
{
  struct ColtPlacementTeam *team = colt_teams_get (placement, task->team);
  struct ColtWaitingTask *waiting = g_new0 (struct ColtWaitingTask, 1);
  struct ColtLearnedWork *work;

  waiting->task = *task;
  waiting->added_us = now_us;
  if (task->kind == COLT_WORK_GANG && task->tasks > 1)
    colt_gangs_add_member (placement, waiting, now_us);
  if (waiting->lane == NULL)
    waiting->lane = get_lane_ (team, task);
  team = waiting->lane->team;
  work = &team->work[waiting->lane->kind];
  if (waiting->gang == NULL
      || g_ptr_array_index (waiting->gang->members, 0) == waiting)
    put_in_lane_ (waiting);
  g_hash_table_insert (placement->waiting, waiting, waiting);
  if (work->waiting++ == 0)
    work->last_start_us = now_us;
  team->waiting[waiting->lane->level]++;
  update_head_ (placement, waiting->lane);
}

void
colt_queue_remove (struct ColtPlacement *placement,
                   struct ColtWaitingTask *waiting)
{
  struct ColtLane *lane = waiting->lane;
  struct ColtPlacementTeam *team = lane->team;
  struct ColtWaitingTask *successor = NULL;

  g_hash_table_remove (placement->waiting, waiting);
  team->work[lane->kind].waiting--;
  team->waiting[lane->level]--;
  if (waiting->gang != NULL)
    successor = colt_gangs_remove_member (placement, waiting);
  if (lane->head == waiting)
    lane->head = successor;
  if (waiting->lane_iter != NULL)
    g_sequence_remove (waiting->lane_iter);
  if (waiting->lane_iter != NULL && successor != NULL)
    put_in_lane_ (successor);
  g_free (waiting);
  if (!g_sequence_is_empty (lane->tasks))
    {
      update_head_ (placement, lane);
      return;
    }
  colt_buckets_remove (lane);
  g_ptr_array_remove_fast (team->lanes, lane);
}

struct ColtWaitingTask *
colt_lane_get_head (const struct ColtLane *lane)
{
  return lane->head;
}

int64_t
colt_lane_compute_key (const struct ColtPlacement *placement,
                       const struct ColtLane *lane)
{
  return colt_lane_get_head (lane)->task.arrived_us
         - placement->rules[lane->kind].priority * COLT_PRIORITY_STEP_US;
}

void
colt_lane_free (gpointer data)
{
  struct ColtLane *lane = data;

  g_sequence_free (lane->tasks);
  g_free (lane);
}

static uint32_t
compute_size_class_ (const struct ColtPlacementTask *task)
{
  const int64_t *amount = task->demand.amount;
  uint32_t size = MAX (
      count_size_steps_ (amount[COLT_RESOURCE_CORES], SIZE_CORES_FIRST),
      count_size_steps_ (amount[COLT_RESOURCE_MEMORY], SIZE_MEMORY_FIRST));

  return (uint32_t)MIN (amount[COLT_RESOURCE_ACCELERATORS],
                        SIZE_ACCELERATORS_MAX)
             * (SIZE_STEPS_MAX + 1)
         + size;
}

static uint32_t
count_size_steps_ (int64_t amount, int64_t unit)
{
  uint32_t steps = 0;

  while (steps < SIZE_STEPS_MAX && unit < amount)
    {
      unit *= 2;
      steps++;
    }
  return steps;
}

static struct ColtLane *
get_lane_ (struct ColtPlacementTeam *team, const struct ColtPlacementTask *task)
{
  enum ColtLevel level = task->urgent ? COLT_LEVEL_URGENT : COLT_LEVEL_ORDINARY;
  uint32_t size_class = compute_size_class_ (task);
  struct ColtLane *lane;
  guint i;

  for (i = 0; i < team->lanes->len; i++)
    {
      lane = g_ptr_array_index (team->lanes, i);
      if (lane->kind == task->kind && lane->level == level
          && lane->size_class == size_class)
        return lane;
    }
  lane = g_new0 (struct ColtLane, 1);
  lane->team = team;
  lane->kind = task->kind;
  lane->level = level;
  lane->size_class = size_class;
  lane->tasks = g_sequence_new (NULL);
  g_ptr_array_add (team->lanes, lane);
  return lane;
}

static gint
compare_waiting_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtWaitingTask *first = a;
  const struct ColtWaitingTask *second = b;

  (void)data;
  return (first->task.arrived_us > second->task.arrived_us)
         - (first->task.arrived_us < second->task.arrived_us);
}

static void
put_in_lane_ (struct ColtWaitingTask *waiting)
{
  waiting->lane_iter = g_sequence_insert_sorted (waiting->lane->tasks, waiting,
                                                 compare_waiting_, NULL);
}

/* Updates the head of a lane. A new head must be tried, so the lane is no
 * longer blocked. */
static void
update_head_ (struct ColtPlacement *placement, struct ColtLane *lane)
{
  struct ColtWaitingTask *head
      = g_sequence_get (g_sequence_get_begin_iter (lane->tasks));

  assert (head != NULL);
  if (lane->head == head && head->gang == NULL)
    return;
  lane->head = head;
  lane->blocked_generation = 0;
  lane->large = false;
  colt_buckets_remove (lane);
  colt_buckets_add (placement, lane);
}
