#include <string.h>

#include "placement_private.h"

/* Marks a key of the spread table as a server's, not a rack's. */
#define SERVER_KEY UINT64_C (0x80000000)

static void count_spread_ (struct ColtPlacement *placement,
                           const struct ColtPlacedTask *placed,
                           int change);
static void
change_spread_ (struct ColtPlacement *placement, uint64_t key, int change);
static uint64_t rack_key_ (const struct ColtPlacementTeam *team, uint32_t rack);
static uint64_t server_key_ (const struct ColtPlacementTeam *team,
                             uint32_t server);
static unsigned look_up_ (const struct ColtPlacement *placement, uint64_t key);
static void unlink_ (struct ColtPlacedTask *placed);
static void give_back_ (struct ColtPlacement *placement,
                        const struct ColtPlacedTask *placed);

void
colt_placed_add (struct ColtPlacement *placement,
                 const struct ColtSearch *search,
                 struct ColtPlacementServer *server)
{
  const struct ColtPlacementTask *task = search->task;
  struct ColtPlacedTask *placed = g_new0 (struct ColtPlacedTask, 1);
  struct ColtPlacementTeam *team = colt_teams_get (placement, task->team);
  double speed = colt_learned_speed (server, task->kind);

  placed->request = task->request;
  placed->index = task->index;
  placed->server = server->digest.server;
  placed->rack = server->digest.rack;
  placed->kind = task->kind;
  placed->team = team;
  placed->declared = task->demand;
  placed->expected = search->demand;
  placed->digest = server->digests;
  placed->end_us = COLT_TIME_NEVER;
  if (search->run_ms > 0)
    placed->end_us = search->now_us
                     + (int64_t)(search->run_ms * COLT_SPEED_NORMAL / speed
                                 * (double)COLT_US_PER_MS);
  placed->on = server;
  placed->next = server->placed;
  if (server->placed != NULL)
    server->placed->previous = placed;
  server->placed = placed;
  g_hash_table_insert (placement->placed, placed, placed);
  count_spread_ (placement, placed, 1);
  colt_resources_subtract (&server->digest.free, &placed->expected);
  colt_servers_index (placement, server, false);
  colt_resources_add (&team->own, &placed->declared);
  placed->high = colt_teams_is_high (placement, placed->kind);
  if (placed->high)
    colt_resources_add (&team->high, &placed->declared);
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
  count_spread_ (placement, placed, -1);
  colt_resources_subtract (&team->own, &placed->declared);
  if (placed->high)
    colt_resources_subtract (&team->high, &placed->declared);
  colt_teams_reorder (placement, team);
  if (placed->on != NULL && !keep_room)
    give_back_ (placement, placed);
  unlink_ (placed);
  g_free (placed);
}

void
colt_placed_set_held (struct ColtPlacedTask *placed, bool held)
{
  struct ColtPlacementServer *server = placed->on;

  if (placed->held == held)
    return;
  placed->held = held;
  if (server == NULL)
    return;
  placed->digest = server->digests;
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
colt_placed_leave_server (struct ColtPlacementServer *server)
{
  while (server->placed != NULL)
    {
      struct ColtPlacedTask *placed = server->placed;

      unlink_ (placed);
      placed->on = NULL;
    }
}

unsigned
colt_spread_on_rack (const struct ColtPlacement *placement,
                     const struct ColtPlacementTeam *team,
                     uint32_t rack)
{
  return look_up_ (placement, rack_key_ (team, rack));
}

unsigned
colt_spread_on_server (const struct ColtPlacement *placement,
                       const struct ColtPlacementTeam *team,
                       uint32_t server)
{
  return look_up_ (placement, server_key_ (team, server));
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
count_spread_ (struct ColtPlacement *placement,
               const struct ColtPlacedTask *placed,
               int change)
{
  if (placed->kind != COLT_WORK_SERVICE)
    return;
  change_spread_ (placement, rack_key_ (placed->team, placed->rack), change);
  change_spread_ (placement, server_key_ (placed->team, placed->server),
                  change);
}

static void
change_spread_ (struct ColtPlacement *placement, uint64_t key, int change)
{
  unsigned count = look_up_ (placement, key) + (unsigned)change;

  if (count == 0)
    g_hash_table_remove (placement->spread, &key);
  else
    g_hash_table_replace (placement->spread, g_memdup2 (&key, sizeof key),
                          GUINT_TO_POINTER (count));
}

static uint64_t
rack_key_ (const struct ColtPlacementTeam *team, uint32_t rack)
{
  return (uint64_t)team->number << 32 | rack;
}

static uint64_t
server_key_ (const struct ColtPlacementTeam *team, uint32_t server)
{
  return rack_key_ (team, server) | SERVER_KEY;
}

static unsigned
look_up_ (const struct ColtPlacement *placement, uint64_t key)
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
  else if (placed->on != NULL)
    placed->on->placed = placed->next;
  placed->previous = NULL;
  placed->next = NULL;
}

/* A digest that came after the choice has room for the declared size alone. */
static void
give_back_ (struct ColtPlacement *placement,
            const struct ColtPlacedTask *placed)
{
  struct ColtPlacementServer *server = placed->on;
  const int64_t *capacity = server->digest.capacity.amount;
  int64_t *free = server->digest.free.amount;
  int i;

  colt_resources_add (&server->digest.free, placed->digest == server->digests
                                                ? &placed->expected
                                                : &placed->declared);
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    free[i] = MIN (free[i], capacity[i]);
  colt_servers_index (placement, server, true);
}
