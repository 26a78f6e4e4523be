#include <limits.h>
#include <string.h>

#include "placement_private.h"

/* One server in so many keeps room for urgent work. */
#define RESERVE_ONE_IN 4u
/* Part of such a server's amounts that is kept. */
#define RESERVE_PART 8

static struct ColtFitTree *choose_group_ (const struct ColtPlacement *placement,
                                          const struct ColtPlacementServer *s);
static void set_capacity_ (struct ColtPlacement *placement,
                           struct ColtPlacementServer *server,
                           const struct ColtResources *capacity);
static bool keeps_held_ (const struct ColtPlacementServer *server);
static void unindex_ (struct ColtPlacement *placement,
                      struct ColtPlacementServer *server);
static bool keeps_reserve_ (const struct ColtPlacementServer *server);
static int64_t free_level_ (const struct ColtPlacementServer *server);

struct ColtPlacementServer *
colt_servers_find (const struct ColtPlacement *placement, uint32_t server)
{
  return g_hash_table_lookup (placement->servers, GUINT_TO_POINTER (server));
}

enum ColtServerClass
colt_servers_class (const struct ColtResources *capacity)
{
  return capacity->amount[COLT_RESOURCE_ACCELERATORS] > 0
             ? COLT_SERVERS_ACCELERATED
             : COLT_SERVERS_PLAIN;
}

bool
colt_servers_hold (const struct ColtPlacement *placement,
                   enum ColtServerClass of,
                   const struct ColtResources *demand)
{
  return colt_fit_tree_find (placement->capacities[of], demand, 0, INT_MAX)
         != NULL;
}

bool
colt_servers_take_work (const struct ColtPlacementServer *server)
{
  return !server->closed && !server->digest.leaving
         && server->digest.probation_permille > 0;
}

/* An empty server keeps nothing, so that a task may have it whole. */
struct ColtResources
colt_servers_kept (const struct ColtPlacementServer *server)
{
  const struct ColtResources *capacity = &server->digest.capacity;
  struct ColtResources kept = { { 0 } };
  int i;

  if (!keeps_reserve_ (server)
      || colt_resources_fit (capacity, &server->digest.free))
    return kept;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    kept.amount[i] = capacity->amount[i] / RESERVE_PART;
  kept.amount[COLT_RESOURCE_SLOTS] = 1;
  return kept;
}

void
colt_servers_index (struct ColtPlacement *placement,
                    struct ColtPlacementServer *server,
                    bool more)
{
  struct ColtFitTree *group = NULL;
  struct ColtResources kept = colt_servers_kept (server);

  server->usable = server->digest.free;
  colt_resources_subtract (&server->usable, &kept);
  if (colt_servers_take_work (server) && server->reservation == NULL)
    group = choose_group_ (placement, server);
  if (more)
    colt_buckets_gain (placement, &server->digest.free);
  if (group != NULL && group == server->group)
    {
      colt_fit_tree_update (group, server, &server->usable);
      if (keeps_reserve_ (server))
        colt_fit_tree_update (placement->reserve, server, &server->digest.free);
      return;
    }
  unindex_ (placement, server);
  if (group == NULL)
    return;
  server->group = group;
  colt_fit_tree_add (group, server, &server->usable);
  if (keeps_reserve_ (server))
    colt_fit_tree_add (placement->reserve, server, &server->digest.free);
}

void
colt_servers_free (struct ColtPlacement *placement,
                   struct ColtPlacementServer *server)
{
  unindex_ (placement, server);
  if (server->positions[COLT_TREE_CAPACITY] != COLT_POSITION_NONE)
    colt_fit_tree_remove (
        placement->capacities[colt_servers_class (&server->digest.capacity)],
        server);
  colt_placed_leave_server (server);
  colt_resources_subtract (&placement->total, &server->digest.capacity);
  g_free (server);
}

void
colt_placement_set_server (struct ColtPlacement *placement,
                           const struct ColtServerDigest *digest,
                           int64_t now_us)
{
  struct ColtPlacementServer *server
      = colt_servers_find (placement, digest->server);
  struct ColtResources before = { { 0 } };
  bool was_open = false;
  int i;

  if (server == NULL)
    {
      placement->grown_us = now_us;
      server = g_new0 (struct ColtPlacementServer, 1);
      for (i = 0; i < COLT_TREE_USE_COUNT; i++)
        server->positions[i] = COLT_POSITION_NONE;
      g_hash_table_insert (placement->servers,
                           GUINT_TO_POINTER (digest->server), server);
    }
  else
    {
      before = server->digest.free;
      was_open = colt_servers_take_work (server);
    }
  set_capacity_ (placement, server, &digest->capacity);
  server->digest = *digest;
  server->digests++;
  server->closed = false;
  colt_resources_subtract (&server->digest.free, &server->held);
  if (!colt_servers_take_work (server))
    colt_reservations_drop_server (placement, server);
  if (server->held_tasks > 0 && !keeps_held_ (server))
    colt_gangs_release (placement, placement->holder);
  colt_servers_index (placement, server,
                      !was_open || digest->probation_permille < 1000
                          || !colt_resources_fit (&digest->free, &before));
}

void
colt_placement_remove_server (struct ColtPlacement *placement, uint32_t id)
{
  struct ColtPlacementServer *server = colt_servers_find (placement, id);

  if (server == NULL)
    return;
  colt_reservations_drop_server (placement, server);
  if (server->held_tasks > 0)
    colt_gangs_release (placement, placement->holder);
  g_hash_table_remove (placement->servers, GUINT_TO_POINTER (id));
  colt_servers_free (placement, server);
  placement->shares_stale = true;
}

static gint
compare_servers_ (gconstpointer a, gconstpointer b)
{
  const struct ColtPlacementServer *first = *(gpointer const *)a;
  const struct ColtPlacementServer *second = *(gpointer const *)b;

  return (first->digest.server > second->digest.server)
         - (first->digest.server < second->digest.server);
}

void
colt_placement_visit_servers (
    const struct ColtPlacement *placement,
    void (*visit) (void *client, const struct ColtServerDigest *digest),
    void *client)
{
  GPtrArray *sorted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, placement->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (sorted, value);
  g_ptr_array_sort (sorted, compare_servers_);
  for (i = 0; i < sorted->len; i++)
    {
      const struct ColtPlacementServer *server = g_ptr_array_index (sorted, i);

      visit (client, &server->digest);
    }
  g_ptr_array_unref (sorted);
}

static void
set_capacity_ (struct ColtPlacement *placement,
               struct ColtPlacementServer *server,
               const struct ColtResources *capacity)
{
  bool known = server->positions[COLT_TREE_CAPACITY] != COLT_POSITION_NONE;

  if (known
      && memcmp (&server->digest.capacity, capacity, sizeof *capacity) == 0)
    return;
  if (known)
    colt_fit_tree_remove (
        placement->capacities[colt_servers_class (&server->digest.capacity)],
        server);
  colt_resources_subtract (&placement->total, &server->digest.capacity);
  colt_resources_add (&placement->total, capacity);
  placement->shares_stale = true;
  colt_fit_tree_add (placement->capacities[colt_servers_class (capacity)],
                     server, capacity);
}

/* Whether a server has still got what a gang keeps on it. */
static bool
keeps_held_ (const struct ColtPlacementServer *server)
{
  static const struct ColtResources none = { { 0 } };

  return colt_servers_take_work (server)
         && colt_resources_fit (&none, &server->digest.free);
}

/* Servers without accelerators go by the resource they have least left of,
 * others by their free accelerators. */
static struct ColtFitTree *
choose_group_ (const struct ColtPlacement *placement,
               const struct ColtPlacementServer *server)
{
  const int64_t *capacity = server->digest.capacity.amount;
  int64_t level;

  if (capacity[COLT_RESOURCE_ACCELERATORS] > 0)
    {
      level = server->usable.amount[COLT_RESOURCE_ACCELERATORS];
      level = CLAMP (level, 0, (int64_t)COLT_GROUP_ACCELERATED_COUNT - 1);
      return placement->groups[COLT_GROUP_PLAIN_COUNT + level];
    }
  level = free_level_ (server) * (int64_t)COLT_GROUP_PLAIN_COUNT / 1001;
  return placement->groups[level];
}

static int64_t
free_level_ (const struct ColtPlacementServer *server)
{
  const int64_t *capacity = server->digest.capacity.amount;
  int64_t level = 1000;
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (capacity[i] > 0)
      level = MIN (level, server->usable.amount[i] * 1000 / capacity[i]);
  return CLAMP (level, 0, 1000);
}

static void
unindex_ (struct ColtPlacement *placement, struct ColtPlacementServer *server)
{
  if (server->group == NULL)
    return;
  colt_fit_tree_remove (server->group, server);
  server->group = NULL;
  if (server->positions[COLT_TREE_RESERVE] != COLT_POSITION_NONE)
    colt_fit_tree_remove (placement->reserve, server);
}

/* All entry instances agree on it without a word. */
static bool
keeps_reserve_ (const struct ColtPlacementServer *server)
{
  return (server->digest.server * 2654435761u >> 16) % RESERVE_ONE_IN == 0;
}
