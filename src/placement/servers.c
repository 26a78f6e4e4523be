#include <limits.h>
#include <string.h>

#include "placement_private.h"

/* One server in this many has a reserve for urgent work. */
#define RESERVE_ONE_IN 4u
/* Age of the last digest up to which those of lower epochs are ignored. */
#define FORMER_OWNER_US (10 * COLT_US_PER_S)
/* The reserve is the capacity divided by this. */
#define RESERVE_DIVISOR 8

static struct ColtFitTree *choose_group_ (const struct ColtPlacement *placement,
                                          const struct ColtPlacementServer *s);
static void set_capacity_ (struct ColtPlacement *placement,
                           struct ColtPlacementServer *server,
                           const struct ColtResources *capacity);
static bool fits_held_ (const struct ColtPlacementServer *server);
static void remove_from_group_ (struct ColtPlacement *placement,
                                struct ColtPlacementServer *server);
static bool has_reserve_ (const struct ColtPlacementServer *server);
static int64_t compute_free_level_ (const struct ColtPlacementServer *server);

struct ColtPlacementServer *
colt_servers_find (const struct ColtPlacement *placement, uint32_t server)
{
  return g_hash_table_lookup (placement->servers, GUINT_TO_POINTER (server));
}

enum ColtServerClass
colt_servers_classify (const struct ColtResources *capacity)
{
  return capacity->amount[COLT_RESOURCE_ACCELERATORS] > 0
             ? COLT_SERVERS_ACCELERATED
             : COLT_SERVERS_PLAIN;
}

bool
colt_servers_has_capacity (const struct ColtPlacement *placement,
                           enum ColtServerClass server_class,
                           const struct ColtResources *demand)
{
  return colt_fit_tree_find (placement->capacities[server_class], demand, 0,
                             INT_MAX)
         != NULL;
}

bool
colt_servers_accepts_work (const struct ColtPlacementServer *server)
{
  return !server->closed && !server->digest.leaving
         && server->digest.probation_permille > 0;
}

/* An empty server has no reserve, so that a task may use all of it. */
struct ColtResources
colt_servers_get_reserve (const struct ColtPlacementServer *server)
{
  const struct ColtResources *capacity = &server->digest.capacity;
  struct ColtResources reserve = { { 0 } };
  int i;

  if (!has_reserve_ (server)
      || colt_resources_fit (capacity, &server->digest.free))
    return reserve;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    reserve.amount[i] = capacity->amount[i] / RESERVE_DIVISOR;
  reserve.amount[COLT_RESOURCE_SLOTS] = 1;
  return reserve;
}

void
colt_servers_index (struct ColtPlacement *placement,
                    struct ColtPlacementServer *server,
                    bool gained)
{
  struct ColtFitTree *group = NULL;
  struct ColtResources reserve = colt_servers_get_reserve (server);

  server->usable = server->digest.free;
  colt_resources_subtract (&server->usable, &reserve);
  if (colt_servers_accepts_work (server) && server->reservation == NULL)
    group = choose_group_ (placement, server);
  if (gained)
    colt_buckets_record_gain (placement, &server->digest.free);
  if (group != NULL && group == server->group)
    {
      colt_fit_tree_update (group, server, &server->usable);
      if (has_reserve_ (server))
        colt_fit_tree_update (placement->reserve, server, &server->digest.free);
      return;
    }
  remove_from_group_ (placement, server);
  if (group == NULL)
    return;
  server->group = group;
  colt_fit_tree_add (group, server, &server->usable);
  if (has_reserve_ (server))
    colt_fit_tree_add (placement->reserve, server, &server->digest.free);
}

void
colt_servers_free (struct ColtPlacement *placement,
                   struct ColtPlacementServer *server)
{
  remove_from_group_ (placement, server);
  if (server->positions[COLT_TREE_CAPACITY] != COLT_POSITION_NONE)
    colt_fit_tree_remove (
        placement->capacities[colt_servers_classify (&server->digest.capacity)],
        server);
  colt_placed_detach_server (server);
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
  bool accepted_work = false;
  int i;

  if (server == NULL)
    {
      placement->last_change_us = now_us;
      server = g_new0 (struct ColtPlacementServer, 1);
      for (i = 0; i < COLT_TREE_USE_COUNT; i++)
        server->positions[i] = COLT_POSITION_NONE;
      g_hash_table_insert (placement->servers,
                           GUINT_TO_POINTER (digest->server), server);
    }
  else
    {
      if (digest->epoch < server->digest.epoch
          && now_us - server->digest_us < FORMER_OWNER_US)
        return;
      before = server->digest.free;
      accepted_work = colt_servers_accepts_work (server);
    }
  set_capacity_ (placement, server, &digest->capacity);
  server->digest = *digest;
  server->digest_count++;
  server->digest_us = now_us;
  server->closed = false;
  colt_resources_subtract (&server->digest.free, &server->held);
  if (!colt_servers_accepts_work (server))
    colt_reservations_drop_server (placement, server);
  if (server->held_tasks > 0 && !fits_held_ (server))
    colt_gangs_release (placement, placement->holding_gang);
  colt_servers_index (placement, server,
                      !accepted_work || digest->probation_permille < 1000
                          || !colt_resources_fit (&digest->free, &before));
}

void
colt_placement_remove_server (struct ColtPlacement *placement,
                              uint32_t id,
                              int64_t now_us)
{
  struct ColtPlacementServer *server = colt_servers_find (placement, id);

  if (server == NULL)
    return;
  colt_reservations_drop_server (placement, server);
  if (server->held_tasks > 0)
    colt_gangs_release (placement, placement->holding_gang);
  g_hash_table_remove (placement->servers, GUINT_TO_POINTER (id));
  colt_servers_free (placement, server);
  placement->last_change_us = now_us;
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
        placement->capacities[colt_servers_classify (&server->digest.capacity)],
        server);
  colt_resources_subtract (&placement->total, &server->digest.capacity);
  colt_resources_add (&placement->total, capacity);
  placement->shares_stale = true;
  colt_fit_tree_add (placement->capacities[colt_servers_classify (capacity)],
                     server, capacity);
}

/* Returns whether a server still has the room that a gang holds on it. */
static bool
fits_held_ (const struct ColtPlacementServer *server)
{
  static const struct ColtResources none = { { 0 } };

  return colt_servers_accepts_work (server)
         && colt_resources_fit (&none, &server->digest.free);
}

/* Groups servers with accelerators by the number of free ones, and others by
 * the usable fraction of their scarcest resource. */
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
  level = compute_free_level_ (server) * (int64_t)COLT_GROUP_PLAIN_COUNT / 1001;
  return placement->groups[level];
}

/* Returns the usable fraction of the scarcest resource, in thousandths. */
static int64_t
compute_free_level_ (const struct ColtPlacementServer *server)
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
remove_from_group_ (struct ColtPlacement *placement,
                    struct ColtPlacementServer *server)
{
  if (server->group == NULL)
    return;
  colt_fit_tree_remove (server->group, server);
  server->group = NULL;
  if (server->positions[COLT_TREE_RESERVE] != COLT_POSITION_NONE)
    colt_fit_tree_remove (placement->reserve, server);
}

/* Depends on a hash of the number of the server alone, so that all entry
 * instances select the same servers without communication. */
static bool
has_reserve_ (const struct ColtPlacementServer *server)
{
  return (server->digest.server * 2654435761u >> 16) % RESERVE_ONE_IN == 0;
}
