#include "coltsfootstile/placement.h"

#include <string.h>

#include "placement_private.h"

/* Rules before the first bundle. */
static const struct ColtWorkRule default_rules[COLT_WORK_KIND_COUNT] = {
  [COLT_WORK_INTERACTIVE] = { COLT_POLICY_FASTEST, 7 },
  [COLT_WORK_SERVICE] = { COLT_POLICY_SPREAD, 5 },
  [COLT_WORK_BATCH] = { COLT_POLICY_PACK, 1 },
  [COLT_WORK_GANG] = { COLT_POLICY_PACK, 2 },
};

static void free_waiting_ (struct ColtPlacement *placement);
static bool drop_choice_ (struct ColtPlacement *placement,
                          const struct ColtId *request,
                          uint32_t index);
static void reduce_free_ (struct ColtPlacement *placement,
                          struct ColtPlacementServer *server,
                          const struct ColtResources *demand);
static void close_server_ (struct ColtPlacement *placement,
                           struct ColtPlacementServer *server);

const char *const colt_placement_status_string[]
    = { "queued", "never_fits", "too_late", "full" };

const char *const colt_placement_refusal_string[]
    = { "no_room", "no_credit", "leaving", "fenced" };

struct ColtPlacement *
colt_placement_create (uint64_t seed)
{
  struct ColtPlacement *placement = g_new0 (struct ColtPlacement, 1);
  guint32 seeds[] = { (guint32)seed, (guint32)(seed >> 32) };
  unsigned i;

  placement->random = g_rand_new_with_seed_array (seeds, G_N_ELEMENTS (seeds));
  placement->generation = 1;
  placement->fair_share = 1;
  placement->wake_us = COLT_TIME_NEVER;
  memcpy (placement->rules, default_rules, sizeof default_rules);
  placement->servers = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (i = 0; i < COLT_GROUP_COUNT; i++)
    placement->groups[i] = colt_fit_tree_create (COLT_TREE_USABLE);
  placement->reserve = colt_fit_tree_create (COLT_TREE_RESERVE);
  for (i = 0; i < COLT_SERVER_CLASS_COUNT; i++)
    placement->capacities[i] = colt_fit_tree_create (COLT_TREE_CAPACITY);
  placement->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, colt_teams_free);
  placement->weights
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->buckets = g_ptr_array_new_with_free_func (colt_buckets_free);
  placement->deferred = g_sequence_new (NULL);
  placement->waiting = g_hash_table_new_full (colt_task_key_hash,
                                              colt_task_key_equal, NULL, NULL);
  placement->gangs = g_hash_table_new_full (
      colt_id_table_hash, colt_id_table_equal, NULL, colt_gangs_free);
  placement->placed
      = g_hash_table_new (colt_task_key_hash, colt_task_key_equal);
  placement->spread
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  placement->reservations = g_ptr_array_new ();
  g_queue_init (&placement->choices);
  g_queue_init (&placement->shed);
  return placement;
}

void
colt_placement_destroy (struct ColtPlacement *placement)
{
  GHashTableIter iter;
  gpointer value;
  unsigned i;

  if (placement == NULL)
    return;
  while (placement->reservations->len > 0)
    colt_reservations_drop (placement, placement->reservations->pdata[0]);
  free_waiting_ (placement);
  g_hash_table_iter_init (&iter, placement->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    colt_servers_free (placement, value);
  g_hash_table_iter_init (&iter, placement->placed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
  g_hash_table_unref (placement->placed);
  g_hash_table_unref (placement->spread);
  g_hash_table_unref (placement->servers);
  g_hash_table_unref (placement->gangs);
  g_hash_table_unref (placement->waiting);
  g_hash_table_unref (placement->teams);
  g_hash_table_unref (placement->weights);
  g_ptr_array_unref (placement->buckets);
  g_sequence_free (placement->deferred);
  for (i = 0; i < COLT_GROUP_COUNT; i++)
    colt_fit_tree_destroy (placement->groups[i]);
  colt_fit_tree_destroy (placement->reserve);
  for (i = 0; i < COLT_SERVER_CLASS_COUNT; i++)
    colt_fit_tree_destroy (placement->capacities[i]);
  g_ptr_array_unref (placement->reservations);
  g_queue_clear_full (&placement->choices, g_free);
  g_queue_clear_full (&placement->shed, g_free);
  g_rand_free (placement->random);
  g_free (placement);
}

void
colt_placement_set_bundle (struct ColtPlacement *placement,
                           const struct ColtBundle *bundle)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t i;

  g_hash_table_remove_all (placement->weights);
  for (i = 0; i < colt_bundle_team_count (bundle); i++)
    {
      const struct ColtBundleTeam *team = colt_bundle_team (bundle, i);

      g_hash_table_insert (placement->weights, g_strdup (team->name),
                           g_memdup2 (&team->weight, sizeof team->weight));
    }
  g_hash_table_iter_init (&iter, placement->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtPlacementTeam *team = value;
      const int64_t *weight
          = g_hash_table_lookup (placement->weights, team->name);

      team->weight = weight != NULL ? *weight : 1;
    }
  for (i = 0; i < COLT_WORK_KIND_COUNT; i++)
    {
      const struct ColtBundleWork *work
          = colt_bundle_work (bundle, (enum ColtWorkKind)i);

      placement->rules[i].policy = work->policy;
      placement->rules[i].priority = work->priority;
    }
  placement->shares_stale = true;
  placement->generation += COLT_GAINS_MAX;
}

enum ColtPlacementStatus
colt_placement_add (struct ColtPlacement *placement,
                    const struct ColtPlacementTask *task,
                    int64_t now_us)
{
  enum ColtPlacementStatus status;

  colt_placement_remove (placement, &task->request, task->index);
  status = colt_admission_check (placement, task, now_us);
  if (status == COLT_PLACEMENT_QUEUED)
    colt_queue_add (placement, task, now_us);
  return status;
}

void
colt_placement_remove (struct ColtPlacement *placement,
                       const struct ColtId *request,
                       uint32_t index)
{
  struct ColtWaitingTask *waiting = colt_queue_find (placement, request, index);
  struct ColtPlacedTask *placed;

  if (waiting != NULL)
    {
      colt_reservations_drop_request (placement, request);
      colt_queue_remove (placement, waiting);
      return;
    }
  placed = colt_placed_find (placement, request, index);
  if (placed != NULL)
    colt_placed_remove (placement, placed,
                        !drop_choice_ (placement, request, index));
}

void
colt_placement_remove_request (struct ColtPlacement *placement,
                               const struct ColtId *request,
                               uint32_t tasks)
{
  uint32_t i;

  for (i = 0; i < tasks; i++)
    colt_placement_remove (placement, request, i);
}

void
colt_placement_remove_shard_tasks (struct ColtPlacement *placement,
                                   uint32_t shard)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, placement->placed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (colt_id_shard (&((struct ColtPlacedTask *)value)->request) == shard)
      g_ptr_array_add (found, value);
  for (i = 0; i < found->len; i++)
    colt_placed_remove (placement, g_ptr_array_index (found, i), true);
  g_ptr_array_unref (found);
}

bool
colt_placement_choose_next (struct ColtPlacement *placement,
                            int64_t now_us,
                            struct ColtPlacementChoice *choice)
{
  struct ColtPlacementChoice *next;

  if (g_queue_is_empty (&placement->choices)
      && !colt_decide_next (placement, now_us))
    return false;
  next = g_queue_pop_head (&placement->choices);
  *choice = *next;
  g_free (next);
  return true;
}

bool
colt_placement_pop_shed (struct ColtPlacement *placement,
                         struct ColtPlacementTask *task,
                         enum ColtPlacementStatus *status)
{
  struct ColtShedTask *shed = g_queue_pop_head (&placement->shed);

  if (shed == NULL)
    return false;
  *task = shed->task;
  *status = shed->status;
  g_free (shed);
  return true;
}

int64_t
colt_placement_wake_us (const struct ColtPlacement *placement)
{
  return g_queue_is_empty ((GQueue *)&placement->choices) ? placement->wake_us
                                                          : 0;
}

void
colt_placement_report_refusal (struct ColtPlacement *placement,
                               const struct ColtPlacementTask *task,
                               uint32_t id,
                               enum ColtPlacementRefusal refusal,
                               int64_t now_us)
{
  struct ColtPlacementServer *server = colt_servers_find (placement, id);
  struct ColtPlacedTask *placed
      = colt_placed_find (placement, &task->request, task->index);

  if (placed != NULL && placed->server == id)
    colt_placed_remove (placement, placed, false);
  if (refusal == COLT_REFUSAL_NO_CREDIT)
    {
      colt_teams_back_off (placement, colt_teams_get (placement, task->team),
                           now_us);
      return;
    }
  if (server == NULL)
    return;
  if (refusal == COLT_REFUSAL_NO_ROOM)
    reduce_free_ (placement, server, &task->demand);
  else
    close_server_ (placement, server);
}

void
colt_placement_report_end (struct ColtPlacement *placement,
                           const struct ColtPlacementTask *task,
                           uint32_t server,
                           const struct ColtTaskReport *report,
                           int64_t now_us)
{
  struct ColtPlacedTask *placed
      = colt_placed_find (placement, &task->request, task->index);

  (void)now_us;
  colt_learn_from_report (colt_teams_get (placement, task->team),
                          colt_servers_find (placement, server), task, report);
  if (placed != NULL && placed->server == server)
    colt_placed_remove (placement, placed, false);
}

size_t
colt_placement_waiting_count (const struct ColtPlacement *placement)
{
  return g_hash_table_size (placement->waiting);
}

size_t
colt_placement_team_waiting_count (const struct ColtPlacement *placement,
                                   const char *name)
{
  const struct ColtPlacementTeam *team = colt_teams_find (placement, name);
  size_t count = 0;
  int level;

  for (level = 0; team != NULL && level < COLT_LEVEL_COUNT; level++)
    count += team->waiting[level];
  return count;
}

static void
free_waiting_ (struct ColtPlacement *placement)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
}

/* Removes a choice that was not returned yet; returns whether there was one. */
static bool
drop_choice_ (struct ColtPlacement *placement,
              const struct ColtId *request,
              uint32_t index)
{
  GList *link;

  for (link = placement->choices.head; link != NULL; link = link->next)
    {
      const struct ColtPlacementChoice *choice = link->data;

      if (choice->index != index || !colt_id_equal (&choice->request, request))
        continue;
      g_free (link->data);
      g_queue_delete_link (&placement->choices, link);
      return true;
    }
  return false;
}

/* Lowers the free amounts of a server below a refused demand. A refusal doesn't
 * name the resource that was short, so all demanded ones are lowered. */
static void
reduce_free_ (struct ColtPlacement *placement,
              struct ColtPlacementServer *server,
              const struct ColtResources *demand)
{
  int64_t *free = server->digest.free.amount;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (demand->amount[i] > 0)
      free[i] = MIN (free[i], demand->amount[i] / 2);
  colt_servers_index (placement, server, false);
}

static void
close_server_ (struct ColtPlacement *placement,
               struct ColtPlacementServer *server)
{
  server->closed = true;
  colt_reservations_drop_server (placement, server);
  if (server->held_tasks > 0)
    colt_gangs_release (placement, placement->holding_gang);
  colt_servers_index (placement, server, false);
}
