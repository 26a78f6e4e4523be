#include <string.h>

#include "placement_private.h"

/* Bit that separates keys of servers from keys of racks in the spread table. */
#define SERVER_KEY_BIT UINT64_C (0x80000000)

static void update_spread_counts_ (struct ColtPlacement *placement,
                                   const struct ColtPlacedTask *placed,
                                   int change);
static void change_spread_count_ (struct ColtPlacement *placement,
                                  uint64_t key,
                                  int change);
static uint64_t make_rack_key_ (const struct ColtPlacementTeam *team,
                                uint32_t rack);
static uint64_t make_server_key_ (const struct ColtPlacementTeam *team,
                                  uint32_t server);
static unsigned get_spread_count_ (const struct ColtPlacement *placement,
                                   uint64_t key);
static void unlink_ (struct ColtPlacedTask *placed);
static void return_room_ (struct ColtPlacement *placement,
                          const struct ColtPlacedTask *placed);

void
colt_placed_add (struct ColtPlacement *placement,
                 const struct ColtSearch *search,
                 struct ColtPlacementServer *server)
{
  const struct ColtPlacementTask *task = search->task;
  struct ColtPlacedTask *placed = g_new0 (struct ColtPlacedTask, 1);
  struct ColtPlacementTeam *team = colt_teams_get (placement, task->team);
  double speed = colt_estimate_speed (server, task->kind);

  placed->request = task->request;
  placed->index = task->index;
  placed->server = server->digest.server;
  placed->rack = server->digest.rack;
  placed->kind = task->kind;
  placed->team = team;
  placed->declared = task->demand;
  placed->expected = search->demand;
  placed->digest_count = server->digest_count;
  placed->end_us = COLT_TIME_NEVER;
  if (search->run_ms > 0)
    placed->end_us = search->now_us
                     + (int64_t)(search->run_ms * COLT_SPEED_NORMAL / speed
                                 * (double)COLT_US_PER_MS);
  placed->host = server;
  placed->next = server->placed;
  if (server->placed != NULL)
    server->placed->previous = placed;
  server->placed = placed;
  g_hash_table_insert (placement->placed, placed, placed);
  update_spread_counts_ (placement, placed, 1);
  colt_resources_subtract (&server->digest.free, &placed->expected);
  colt_servers_index (placement, server, false);
  colt_resources_add (&team->own_usage, &placed->declared);
  placed->high_priority = colt_teams_is_high_priority (placement, placed->kind);
  if (placed->high_priority)
    colt_resources_add (&team->high_usage, &placed->declared);
  colt_teams_reorder (placement, team);
}

struct ColtPlacedTask *
colt_placed_find (const struct ColtPlacement *placement,
                  const struct ColtId *request,
                  uint32_t index)
{
  struct ColtTaskKey key;

  key.request = *request;
  key.index = index;
  return g_hash_table_lookup (placement->placed, &key);
}

void
colt_placed_remove (struct ColtPlacement *placement,
                    struct ColtPlacedTask *placed,
                    bool keep_room)
{
  struct ColtPlacementTeam *team = placed->team;

  colt_placed_set_held (placed, false);
  g_hash_table_remove (placement->placed, placed);
  update_spread_counts_ (placement, placed, -1);
  colt_resources_subtract (&team->own_usage, &placed->declared);
  if (placed->high_priority)
    colt_resources_subtract (&team->high_usage, &placed->declared);
  colt_teams_reorder (placement, team);
  if (placed->host != NULL && !keep_room)
    return_room_ (placement, placed);
  unlink_ (placed);
  g_free (placed);
}

void
colt_placed_set_held (struct ColtPlacedTask *placed, bool held)
{
  struct ColtPlacementServer *server = placed->host;

  if (placed->held == held)
    return;
  placed->held = held;
  if (server == NULL)
    return;
  placed->digest_count = server->digest_count;
  if (held)
    {
      server->held_tasks++;
      colt_resources_add (&server->held, &placed->expected);
      return;
    }
  server->held_tasks--;
  colt_resources_subtract (&server->held, &placed->expected);
}

void
colt_placed_detach_server (struct ColtPlacementServer *server)
{
  while (server->placed != NULL)
    {
      struct ColtPlacedTask *placed = server->placed;

      unlink_ (placed);
      placed->host = NULL;
    }
}

unsigned
colt_placed_count_on_rack (const struct ColtPlacement *placement,
                           const struct ColtPlacementTeam *team,
                           uint32_t rack)
{
  return get_spread_count_ (placement, make_rack_key_ (team, rack));
}

unsigned
colt_placed_count_on_server (const struct ColtPlacement *placement,
                             const struct ColtPlacementTeam *team,
                             uint32_t server)
{
  return get_spread_count_ (placement, make_server_key_ (team, server));
}

guint
colt_task_key_hash (gconstpointer key)
{
  const struct ColtTaskKey *task = key;

  return colt_id_table_hash (&task->request) * 31 + task->index;
}

gboolean
colt_task_key_equal (gconstpointer a, gconstpointer b)
{
  const struct ColtTaskKey *first = a;
  const struct ColtTaskKey *second = b;

  return first->index == second->index
         && colt_id_equal (&first->request, &second->request);
}

static void
update_spread_counts_ (struct ColtPlacement *placement,
                       const struct ColtPlacedTask *placed,
                       int change)
{
  if (placed->kind != COLT_WORK_SERVICE)
    return;
  change_spread_count_ (placement, make_rack_key_ (placed->team, placed->rack),
                        change);
  change_spread_count_ (
      placement, make_server_key_ (placed->team, placed->server), change);
}

static void
change_spread_count_ (struct ColtPlacement *placement, uint64_t key, int change)
{
  unsigned count = get_spread_count_ (placement, key) + (unsigned)change;

  if (count == 0)
    g_hash_table_remove (placement->spread, &key);
  else
    g_hash_table_replace (placement->spread, g_memdup2 (&key, sizeof key),
                          GUINT_TO_POINTER (count));
}

static uint64_t
make_rack_key_ (const struct ColtPlacementTeam *team, uint32_t rack)
{
  return (uint64_t)team->number << 32 | rack;
}

static uint64_t
make_server_key_ (const struct ColtPlacementTeam *team, uint32_t server)
{
  return make_rack_key_ (team, server) | SERVER_KEY_BIT;
}

static unsigned
get_spread_count_ (const struct ColtPlacement *placement, uint64_t key)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (placement->spread, &key));
}

static void
unlink_ (struct ColtPlacedTask *placed)
{
  if (placed->next != NULL)
    placed->next->previous = placed->previous;
  if (placed->previous != NULL)
    placed->previous->next = placed->next;
  else if (placed->host != NULL)
    placed->host->placed = placed->next;
  placed->previous = NULL;
  placed->next = NULL;
}

/* Adds the room of a task to its server again. A digest that was received since
 * the choice accounts for the declared amounts only. */
static void
return_room_ (struct ColtPlacement *placement,
              const struct ColtPlacedTask *placed)
{
  struct ColtPlacementServer *server = placed->host;
  const int64_t *capacity = server->digest.capacity.amount;
  int64_t *free = server->digest.free.amount;
  int i;

  colt_resources_add (&server->digest.free,
                      placed->digest_count == server->digest_count
                          ? &placed->expected
                          : &placed->declared);
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    free[i] = MIN (free[i], capacity[i]);
  colt_servers_index (placement, server, true);
}
