#include "simulation_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t
lowest_offset_ (const struct ColtQuotaSim *sim, int zone, int team);
static bool folds_agree_ (const struct ColtQuotaSim *sim,
                          const struct ColtEntitlements *a,
                          const struct ColtEntitlements *b);

int64_t
sim_count_running (const struct ColtQuotaSim *sim, int zone, int team)
{
  int64_t running = 0;
  int z;
  int server;
  guint i;

  for (z = 0; z < SIM_ZONES; z++)
    for (server = 0; server < SIM_SERVERS; server++)
      {
        const GArray *tasks = sim->zones[z].servers[server].tasks;

        for (i = 0; (zone < 0 || z == zone) && i < tasks->len; i++)
          running
              += g_array_index (tasks, struct ColtQuotaSimTask, i).team == team
                     ? 1
                     : 0;
      }
  return running;
}

void
sim_get_bound (struct ColtQuotaSim *sim,
               int team,
               struct ColtQuotaAmount *bound)
{
  uint64_t lowest = UINT64_MAX;
  bool found = false;
  int record;
  int zone;

  sim_update_complied_ (sim);
  for (zone = 0; zone < SIM_ZONES; zone++)
    lowest = MIN (lowest, lowest_offset_ (sim, zone, team));
  memset (bound, 0, sizeof *bound);
  for (record = 0; record < sim->record_count; record++)
    {
      if (!sim->records[record].bundle)
        continue;
      if ((uint64_t)record + 1 > lowest && found)
        break;
      *bound = sim->records[record].limits[team];
      found = true;
    }
}

void
sim_check_sums (struct ColtQuotaSim *sim)
{
  int team;
  uint32_t zone;
  int i;

  for (team = 0; team < SIM_TEAMS; team++)
    {
      struct ColtQuotaAmount sum = { { 0 } };
      struct ColtQuotaAmount limit;

      for (zone = 1; zone <= SIM_ZONES; zone++)
        {
          struct ColtQuotaAmount amount;

          colt_entitlements_get (sim->reference, sim->teams[team], zone,
                                 &amount);
          colt_quota_add (&sum, &amount);
        }
      colt_entitlements_get_limit (sim->reference, sim->teams[team], &limit);
      for (i = 0; i < COLT_QUOTA_COUNT; i++)
        if (sum.amount[i] != limit.amount[i])
          abort ();
    }
}

void
sim_check_folds (const struct ColtQuotaSim *sim)
{
  int zone;
  int i;

  for (zone = 0; zone < SIM_ZONES; zone++)
    for (i = 0; i < SIM_INSTANCES; i++)
      {
        const struct ColtQuotaSimInstance *instance
            = &sim->zones[zone].instances[i];

        if (instance->alive
            && colt_entitlements_position (instance->fold)
                   == colt_entitlements_position (sim->reference)
            && !folds_agree_ (sim, instance->fold, sim->reference))
          {
            fprintf (stderr,
                     "the fold of instance %d in zone %d differs from that of "
                     "the whole log\n",
                     i, zone);
            abort ();
          }
      }
}

void
sim_update_complied_ (struct ColtQuotaSim *sim)
{
  int zone;
  int z;
  int i;
  int team;

  for (zone = 0; zone < SIM_ZONES; zone++)
    for (z = 0; z < SIM_ZONES; z++)
      for (i = 0; i < SIM_INSTANCES; i++)
        for (team = 0; team < SIM_TEAMS; team++)
          if (sim->zones[z].instances[i].alive)
            {
              uint64_t recorded = colt_entitlements_complied_offset (
                  sim->zones[z].instances[i].fold, (uint32_t)zone + 1,
                  sim->teams[team]);
              uint64_t *highest = &sim->zones[zone].complied[team];

              *highest = MAX (*highest, recorded);
            }
}

void
sim_check_limit_ (struct ColtQuotaSim *sim, int team)
{
  struct ColtQuotaAmount running = { { 0 } };
  struct ColtQuotaAmount bound;
  int zone;
  int server;
  guint i;

  for (zone = 0; zone < SIM_ZONES; zone++)
    for (server = 0; server < SIM_SERVERS; server++)
      {
        const GArray *tasks = sim->zones[zone].servers[server].tasks;

        for (i = 0; i < tasks->len; i++)
          {
            const struct ColtQuotaSimTask *task
                = &g_array_index (tasks, struct ColtQuotaSimTask, i);

            if (task->team == team)
              colt_quota_add (&running, &task->amount);
          }
      }
  sim_get_bound (sim, team, &bound);
  if (!colt_quota_is_within (&running, &bound))
    {
      fprintf (stderr,
               "team %s exceeds its limit: %ld tasks run, the limit is %ld\n",
               sim->teams[team], (long)running.amount[COLT_QUOTA_TASKS],
               (long)bound.amount[COLT_QUOTA_TASKS]);
      abort ();
    }
}

/* Returns the lowest offset at which a zone may still compute credits for a
 * team, UINT64_MAX if there is none. A zone that is not in the bundle at its
 * complied offset computes none until a later bundle adds it. */
static uint64_t
lowest_offset_ (const struct ColtQuotaSim *sim, int zone, int team)
{
  uint64_t complied = sim->zones[zone].complied[team];
  bool present = false;
  int record;

  for (record = 0; record < sim->record_count; record++)
    {
      bool in_bundle = sim->records[record].zone_mask >> zone & 1;

      if (!sim->records[record].bundle)
        continue;
      if ((uint64_t)record + 1 <= complied)
        present = in_bundle;
      else if (!present && in_bundle)
        return (uint64_t)record;
      else if (present)
        return complied;
    }
  return present ? complied : UINT64_MAX;
}

static bool
folds_agree_ (const struct ColtQuotaSim *sim,
              const struct ColtEntitlements *a,
              const struct ColtEntitlements *b)
{
  struct ColtQuotaAmount first;
  struct ColtQuotaAmount second;
  uint32_t zone;
  int team;

  for (team = 0; team < SIM_TEAMS; team++)
    {
      colt_entitlements_get_limit (a, sim->teams[team], &first);
      colt_entitlements_get_limit (b, sim->teams[team], &second);
      if (memcmp (&first, &second, sizeof first) != 0)
        return false;
      for (zone = 1; zone <= SIM_ZONES; zone++)
        {
          colt_entitlements_get (a, sim->teams[team], zone, &first);
          colt_entitlements_get (b, sim->teams[team], zone, &second);
          if (memcmp (&first, &second, sizeof first) != 0)
            return false;
        }
    }
  return colt_entitlements_last_change (a) == colt_entitlements_last_change (b);
}
