/* Fuzzes credits, compliance and transfers in any order, with lost, duplicated
 * and reordered messages, killed owners and leaders, servers that change
 * owners, isolated zones and outages of the log. The simulation checks each
 * start. */
#include <stdlib.h>

#include "simulation.h"

/* Smallest number of draws in a run, from the input and then from a generator
 * that the input has seeded. */
#define RUN_DRAWS 1500u
#define MULTIPLIER UINT64_C (6364136223846793005)
#define INCREMENT UINT64_C (1442695040888963407)
/* Rounds that all messages and promises need to settle after the last fault. */
#define HEAL_ROUNDS 24

struct ColtInput
{
  const uint8_t *bytes;
  size_t size;
  size_t drawn;
  uint64_t state;
};

static int
draw_ (struct ColtInput *input, int below)
{
  input->drawn++;
  if (input->size == 0)
    {
      input->state = input->state * MULTIPLIER + INCREMENT;
      return (int)((input->state >> 40) % (uint64_t)below);
    }
  input->size--;
  input->state = (input->state + *input->bytes) * MULTIPLIER + INCREMENT;
  return *input->bytes++ % below;
}

static void
append_bundle_ (struct ColtQuotaSim *sim, struct ColtInput *input)
{
  struct ColtQuotaAmount limits[SIM_TEAMS];
  int team;

  for (team = 0; team < SIM_TEAMS; team++)
    {
      int cores = draw_ (input, 32);

      limits[team].amount[COLT_QUOTA_TASKS] = draw_ (input, 9);
      limits[team].amount[COLT_QUOTA_CORES]
          = cores > 12 ? COLT_QUOTA_UNLIMITED : cores;
      limits[team].amount[COLT_QUOTA_ACCELERATORS] = COLT_QUOTA_UNLIMITED;
    }
  sim_append_bundle (
      sim, limits, draw_ (input, 4) > 0 ? 7u : 1u + (unsigned)draw_ (input, 7));
}

static void
append_transfer_ (struct ColtQuotaSim *sim, struct ColtInput *input)
{
  struct ColtQuotaAmount amount = { { 0 } };
  int team = draw_ (input, SIM_TEAMS);
  uint32_t from = 1 + (uint32_t)draw_ (input, SIM_ZONES);
  uint32_t to = 1 + (uint32_t)draw_ (input, SIM_ZONES);

  amount.amount[COLT_QUOTA_TASKS] = draw_ (input, 4);
  amount.amount[COLT_QUOTA_CORES] = draw_ (input, 4);
  sim_append_transfer (sim, team, from, to, &amount);
}

static void
step_platform_ (struct ColtQuotaSim *sim, struct ColtInput *input, int op)
{
  int zone = draw_ (input, SIM_ZONES);
  int instance = draw_ (input, SIM_INSTANCES);

  switch (op)
    {
    case 0:
      append_bundle_ (sim, input);
      break;
    case 1:
      append_transfer_ (sim, input);
      break;
    case 2:
      sim_append_duplicate (sim, draw_ (input, SIM_RECORDS_MAX));
      break;
    case 3:
      sim_set_log_up (sim, draw_ (input, 4) > 0);
      break;
    case 4:
      sim_set_isolated (sim, zone, draw_ (input, 4) == 0);
      break;
    case 5:
      sim_kill_instance (sim, zone, instance);
      break;
    case 6:
      sim_start_instance (sim, zone, instance);
      break;
    case 7:
    case 8:
    case 9:
      sim_set_paused (sim, zone, instance, draw_ (input, 2) > 0);
      break;
    default:
      sim_take_over_server (sim, zone, draw_ (input, SIM_SERVERS), instance);
      break;
    }
}

static void
step_zone_ (struct ColtQuotaSim *sim, struct ColtInput *input, int op)
{
  int zone = draw_ (input, SIM_ZONES);
  int instance = draw_ (input, SIM_INSTANCES);
  int leader = draw_ (input, SIM_LEADERS);

  switch (op)
    {
    case 0:
      sim_read_record (sim, zone, instance);
      break;
    case 1:
      sim_gossip_compliance (sim, draw_ (input, SIM_ZONES),
                             draw_ (input, SIM_INSTANCES), zone, instance);
      break;
    case 2:
      sim_elect_leader (sim, zone, instance);
      break;
    case 3:
      sim_remove_leader (sim, zone, leader);
      break;
    case 4:
      sim_process_leader (sim, zone, leader);
      break;
    case 5:
      sim_remove_killed_owners (sim, zone, leader);
      break;
    case 6:
      sim_mark_lost_servers (sim, zone, instance);
      break;
    default:
      sim_process_holder (sim, zone, instance);
      break;
    }
}

/* Adds waiting work, lets credits arrive in a few rounds and starts as many
 * tasks as possible. */
static void
run_burst_ (struct ColtQuotaSim *sim,
            struct ColtInput *input,
            int zone,
            int instance,
            int team)
{
  int64_t cores = draw_ (input, 4) / 2;
  int server;
  int i;

  sim_set_waiting (sim, zone, instance, team, 1 + draw_ (input, 6));
  sim_settle (sim, draw_ (input, 4));
  for (i = 0; i < 4; i++)
    for (server = 0; server < SIM_SERVERS; server++)
      sim_start_task (sim, zone, instance, server, team, cores);
  sim_set_waiting (sim, zone, instance, team, draw_ (input, 3));
}

static void
end_burst_ (struct ColtQuotaSim *sim, struct ColtInput *input, int zone)
{
  int remaining = draw_ (input, 8);
  int server;

  for (server = 0; server < SIM_SERVERS; server++)
    while (remaining > 0 && sim_end_task (sim, zone, server, 0))
      remaining--;
}

static void
step_work_ (struct ColtQuotaSim *sim, struct ColtInput *input, int op)
{
  int zone = draw_ (input, SIM_ZONES);
  int instance = draw_ (input, SIM_INSTANCES);
  int team = draw_ (input, SIM_TEAMS);

  switch (op)
    {
    case 0:
    case 1:
      sim_set_waiting (sim, zone, instance, team, draw_ (input, 6));
      break;
    case 2:
    case 3:
      sim_start_task (sim, zone, instance, draw_ (input, SIM_SERVERS), team,
                      draw_ (input, 4));
      break;
    case 4:
    case 5:
      run_burst_ (sim, input, zone, instance, team);
      break;
    default:
      end_burst_ (sim, input, zone);
      break;
    }
}

static void
step_messages_ (struct ColtQuotaSim *sim, struct ColtInput *input, int op)
{
  size_t count = sim_message_count (sim);
  size_t index = count == 0 ? 0 : (size_t)draw_ (input, 256) % count;

  switch (op)
    {
    case 0:
      sim_drop_message (sim, index);
      break;
    case 1:
      sim_deliver_message (sim, index, true);
      break;
    case 4:
      sim_delay_copy (sim, index);
      break;
    case 5:
      if (draw_ (input, 4) == 0)
        sim_deliver_delayed (sim);
      break;
    case 2:
      sim_settle (sim, 1 + draw_ (input, 4));
      break;
    case 3:
      sim_advance_clock (sim, 10000 * (1 + draw_ (input, 200)));
      break;
    default:
      sim_deliver_message (sim, index, false);
      break;
    }
}

static void
step_ (struct ColtQuotaSim *sim, struct ColtInput *input)
{
  int op = draw_ (input, 8);
  int kind = draw_ (input, 32);

  if (kind <= 1)
    step_platform_ (sim, input, op + draw_ (input, 7));
  else if (kind <= 4)
    step_zone_ (sim, input, op);
  else if (kind <= 16)
    step_work_ (sim, input, op);
  else
    step_messages_ (sim, input, op);
}

static void
require_ (bool condition)
{
  if (!condition)
    abort ();
}

/* Ends all faults and tasks, and settles with one new leader in each zone. */
static void
heal_ (struct ColtQuotaSim *sim)
{
  int zone;
  int i;

  sim_set_log_up (sim, true);
  for (zone = 0; zone < SIM_ZONES; zone++)
    sim_set_isolated (sim, zone, false);
  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      for (i = 0; i < SIM_LEADERS; i++)
        sim_remove_leader (sim, zone, i);
      for (i = 0; i < SIM_INSTANCES; i++)
        {
          sim_start_instance (sim, zone, i);
          sim_set_paused (sim, zone, i, false);
          sim_mark_lost_servers (sim, zone, i);
          sim_set_waiting (sim, zone, i, 0, 0);
          sim_set_waiting (sim, zone, i, 1, 0);
        }
      for (i = 0; i < SIM_SERVERS; i++)
        sim_take_over_server (sim, zone, i, i);
      for (i = 0; i < SIM_SERVERS; i++)
        while (sim_end_task (sim, zone, i, 0))
          continue;
      for (i = 0; i < SIM_INSTANCES; i++)
        sim_mark_lost_servers (sim, zone, i);
      sim_elect_leader (sim, zone, 0);
    }
  sim_settle (sim, HEAL_ROUNDS);
}

/* Checks that without faults each zone may use all of its entitlements, and
 * that an owner with waiting work gets them. */
static void
check_all_usable_ (struct ColtQuotaSim *sim, int team)
{
  const struct ColtEntitlements *fold = sim_fold (sim, 0, 0);
  const char *name = sim_team_name (sim, team);
  int zone;

  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      struct ColtQuotaAmount entitled;
      struct ColtQuotaAmount usable;
      int64_t started = 0;

      colt_entitlements_get (fold, name, (uint32_t)zone + 1, &entitled);
      colt_entitlements_get_usable (fold, name, (uint32_t)zone + 1, &usable);
      require_ (colt_quota_equal (&entitled, &usable));
      sim_set_waiting (sim, zone, 1, team, 9);
      sim_settle (sim, HEAL_ROUNDS);
      while (started < 9 && sim_start_task (sim, zone, 1, 1, team, 0))
        started++;
      if (entitled.amount[COLT_QUOTA_CORES]
          >= entitled.amount[COLT_QUOTA_TASKS])
        require_ (started == entitled.amount[COLT_QUOTA_TASKS]);
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  struct ColtInput input = { bytes, size, 0, 1 };
  struct ColtQuotaSim *sim = sim_create ();
  int zone;

  append_bundle_ (sim, &input);
  for (zone = 0; zone < SIM_ZONES; zone++)
    sim_elect_leader (sim, zone, zone % SIM_INSTANCES);
  while (input.drawn < RUN_DRAWS || input.size > 0)
    step_ (sim, &input);
  heal_ (sim);
  check_all_usable_ (sim, 0);
  check_all_usable_ (sim, 1);
  sim_check_sums (sim);
  sim_check_folds (sim);
  sim_destroy (sim);
  return 0;
}
