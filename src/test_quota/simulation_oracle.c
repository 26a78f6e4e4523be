#include "simulation_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t stands_at_ (const struct ColtWorld *world, int zone, int team);

int64_t
world_running (const struct ColtWorld *world, int zone, int team)
{
  int64_t running = 0;
  int z;
  int server;
  guint i;

  for (z = 0; z < WORLD_ZONES; z++)
    for (server = 0; server < WORLD_SERVERS; server++)
      {
        const GArray *tasks = world->zones[z].servers[server].tasks;

        for (i = 0; (zone < 0 || z == zone) && i < tasks->len; i++)
          running += g_array_index (tasks, struct ColtWorldTask, i).team == team
                         ? 1
                         : 0;
      }
  return running;
}

void
world_bound (struct ColtWorld *world, int team, struct ColtQuotaAmount *bound)
{
  uint64_t lowest = UINT64_MAX;
  bool appeared = false;
  int record;
  int zone;

  world_observe_ (world);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    lowest = MIN (lowest, stands_at_ (world, zone, team));
  memset (bound, 0, sizeof *bound);
  for (record = 0; record < world->record_count; record++)
    {
      if (!world->records[record].bundle)
        continue;
      if ((uint64_t)record + 1 > lowest && appeared)
        break;
      *bound = world->records[record].limits[team];
      appeared = true;
    }
}

void
world_check_folds (struct ColtWorld *world)
{
  int team;
  uint32_t zone;
  int i;

  for (team = 0; team < WORLD_TEAMS; team++)
    {
      struct ColtQuotaAmount sum = { { 0 } };
      struct ColtQuotaAmount limit;

      for (zone = 1; zone <= WORLD_ZONES; zone++)
        {
          struct ColtQuotaAmount amount;

          colt_entitlements_get (world->reference, world->teams[team], zone,
                                 &amount);
          colt_quota_add (&sum, &amount);
        }
      colt_entitlements_get_limit (world->reference, world->teams[team],
                                   &limit);
      for (i = 0; i < COLT_QUOTA_COUNT; i++)
        if (sum.amount[i] != limit.amount[i])
          abort ();
    }
}

/* Keeps the highest offset that each zone was ever said to comply with. */
void
world_observe_ (struct ColtWorld *world)
{
  int zone;
  int z;
  int i;
  int team;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    for (z = 0; z < WORLD_ZONES; z++)
      for (i = 0; i < WORLD_INSTANCES; i++)
        for (team = 0; team < WORLD_TEAMS; team++)
          if (world->zones[z].instances[i].alive)
            {
              uint64_t known = colt_entitlements_complied_offset (
                  world->zones[z].instances[i].fold, (uint32_t)zone + 1,
                  world->teams[team]);
              uint64_t *highest = &world->zones[zone].complied[team];

              *highest = MAX (*highest, known);
            }
}

/* After a start: what runs is within the limit at the lowest offset. */
void
world_check_ (struct ColtWorld *world, int team)
{
  struct ColtQuotaAmount running = { { 0 } };
  struct ColtQuotaAmount bound;
  int zone;
  int server;
  guint i;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    for (server = 0; server < WORLD_SERVERS; server++)
      {
        const GArray *tasks = world->zones[zone].servers[server].tasks;

        for (i = 0; i < tasks->len; i++)
          {
            const struct ColtWorldTask *task
                = &g_array_index (tasks, struct ColtWorldTask, i);

            if (task->team == team)
              colt_quota_add (&running, &task->amount);
          }
      }
  world_bound (world, team, &bound);
  if (!colt_quota_is_within (&running, &bound))
    {
      fprintf (stderr, "%s runs above its limit: %ld > %ld\n",
               world->teams[team], (long)running.amount[COLT_QUOTA_TASKS],
               (long)bound.amount[COLT_QUOTA_TASKS]);
      abort ();
    }
}

/* A zone that no bundle names where it stands runs nothing until one does. */
static uint64_t
stands_at_ (const struct ColtWorld *world, int zone, int team)
{
  uint64_t stand = world->zones[zone].complied[team];
  bool present = false;
  int record;

  for (record = 0; record < world->record_count; record++)
    {
      bool named = world->records[record].zone_mask >> zone & 1;

      if (!world->records[record].bundle)
        continue;
      if ((uint64_t)record + 1 <= stand)
        present = named;
      else if (!present && named)
        return (uint64_t)record;
      else if (present)
        return stand;
    }
  return present ? stand : UINT64_MAX;
}
