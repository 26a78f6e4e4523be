/* Credits, compliance and transfers in any order, with messages lost, doubled
 * and reordered, owners and leads that die, servers that change hands, zones
 * cut off and a log that is down. The world checks each start. */
#include <stdlib.h>

#include "simulation.h"

/* Bytes that a run takes: the input, then a walk seeded by it. */
#define RUN_BYTES 1500u
#define MULTIPLIER UINT64_C (6364136223846793005)
#define INCREMENT UINT64_C (1442695040888963407)

/* Rounds that all messages and promises need after the last fault. */
#define HEAL_ROUNDS 24

struct ColtInput
{
  const uint8_t *bytes;
  size_t size;
  size_t taken;
  uint64_t state;
};

static int
take_ (struct ColtInput *input, int below)
{
  input->taken++;
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
append_bundle_ (struct ColtWorld *world, struct ColtInput *input)
{
  struct ColtQuotaAmount limits[WORLD_TEAMS];
  int team;

  for (team = 0; team < WORLD_TEAMS; team++)
    {
      int cores = take_ (input, 32);

      limits[team].amount[COLT_QUOTA_TASKS] = take_ (input, 9);
      limits[team].amount[COLT_QUOTA_CORES]
          = cores > 12 ? COLT_QUOTA_UNLIMITED : cores;
      limits[team].amount[COLT_QUOTA_ACCELERATORS] = COLT_QUOTA_UNLIMITED;
    }
  world_append_bundle (world, limits,
                       take_ (input, 4) > 0 ? 7u
                                            : 1u + (unsigned)take_ (input, 7));
}

static void
append_transfer_ (struct ColtWorld *world, struct ColtInput *input)
{
  struct ColtQuotaAmount amount = { { 0 } };
  int team = take_ (input, WORLD_TEAMS);
  uint32_t from = 1 + (uint32_t)take_ (input, WORLD_ZONES);
  uint32_t to = 1 + (uint32_t)take_ (input, WORLD_ZONES);

  amount.amount[COLT_QUOTA_TASKS] = take_ (input, 4);
  amount.amount[COLT_QUOTA_CORES] = take_ (input, 4);
  world_append_transfer (world, team, from, to, &amount);
}

static void
step_platform_ (struct ColtWorld *world, struct ColtInput *input, int op)
{
  int zone = take_ (input, WORLD_ZONES);
  int instance = take_ (input, WORLD_INSTANCES);

  switch (op)
    {
    case 0:
      append_bundle_ (world, input);
      break;
    case 1:
      append_transfer_ (world, input);
      break;
    case 2:
      world_append_again (world, take_ (input, WORLD_RECORDS));
      break;
    case 3:
      world_set_log (world, take_ (input, 4) > 0);
      break;
    case 4:
      world_cut (world, zone, take_ (input, 4) == 0);
      break;
    case 5:
      world_kill (world, zone, instance);
      break;
    case 6:
      world_start (world, zone, instance);
      break;
    case 7:
    case 8:
    case 9:
      world_pause (world, zone, instance, take_ (input, 2) > 0);
      break;
    default:
      world_take_over (world, zone, take_ (input, WORLD_SERVERS), instance);
      break;
    }
}

static void
step_zone_ (struct ColtWorld *world, struct ColtInput *input, int op)
{
  int zone = take_ (input, WORLD_ZONES);
  int instance = take_ (input, WORLD_INSTANCES);
  int lead = take_ (input, WORLD_LEADS);

  switch (op)
    {
    case 0:
      world_read (world, zone, instance);
      break;
    case 1:
      world_gossip (world, take_ (input, WORLD_ZONES),
                    take_ (input, WORLD_INSTANCES), zone, instance);
      break;
    case 2:
      world_elect (world, zone, instance);
      break;
    case 3:
      world_depose (world, zone, lead);
      break;
    case 4:
      world_process_lead (world, zone, lead);
      break;
    case 5:
      world_admit (world, zone, lead);
      break;
    case 6:
      world_notice (world, zone, instance);
      break;
    default:
      world_process_holder (world, zone, instance);
      break;
    }
}

/* Work comes, credits may come, and as much of it starts as can. */
static void
run_burst_ (struct ColtWorld *world,
            struct ColtInput *input,
            int zone,
            int instance,
            int team)
{
  int64_t cores = take_ (input, 4) / 2;
  int server;
  int i;

  world_wait (world, zone, instance, team, 1 + take_ (input, 6));
  world_settle (world, take_ (input, 4));
  for (i = 0; i < 4; i++)
    for (server = 0; server < WORLD_SERVERS; server++)
      world_run (world, zone, instance, server, team, cores);
  world_wait (world, zone, instance, team, take_ (input, 3));
}

static void
end_burst_ (struct ColtWorld *world, struct ColtInput *input, int zone)
{
  int left = take_ (input, 8);
  int server;

  for (server = 0; server < WORLD_SERVERS; server++)
    while (left > 0 && world_end (world, zone, server, 0))
      left--;
}

static void
step_work_ (struct ColtWorld *world, struct ColtInput *input, int op)
{
  int zone = take_ (input, WORLD_ZONES);
  int instance = take_ (input, WORLD_INSTANCES);
  int team = take_ (input, WORLD_TEAMS);

  switch (op)
    {
    case 0:
    case 1:
      world_wait (world, zone, instance, team, take_ (input, 6));
      break;
    case 2:
    case 3:
      world_run (world, zone, instance, take_ (input, WORLD_SERVERS), team,
                 take_ (input, 4));
      break;
    case 4:
    case 5:
      run_burst_ (world, input, zone, instance, team);
      break;
    default:
      end_burst_ (world, input, zone);
      break;
    }
}

static void
step_messages_ (struct ColtWorld *world, struct ColtInput *input, int op)
{
  size_t count = world_messages (world);
  size_t index = count == 0 ? 0 : (size_t)take_ (input, 256) % count;

  switch (op)
    {
    case 0:
      world_lose (world, index);
      break;
    case 1:
      world_deliver (world, index, true);
      break;
    case 4:
      world_keep (world, index);
      break;
    case 5:
      if (take_ (input, 4) == 0)
        world_release (world);
      break;
    case 2:
      world_settle (world, 1 + take_ (input, 4));
      break;
    case 3:
      world_pass (world, 10000 * (1 + take_ (input, 200)));
      break;
    default:
      world_deliver (world, index, false);
      break;
    }
}

static void
step_ (struct ColtWorld *world, struct ColtInput *input)
{
  int op = take_ (input, 8);
  int kind = take_ (input, 32);

  if (kind <= 1)
    step_platform_ (world, input, op + take_ (input, 7));
  else if (kind <= 4)
    step_zone_ (world, input, op);
  else if (kind <= 16)
    step_work_ (world, input, op);
  else
    step_messages_ (world, input, op);
}

static void
require_ (bool condition)
{
  if (!condition)
    abort ();
}

/* Ends all faults and all tasks, and lets one new lead a zone settle. */
static void
heal_ (struct ColtWorld *world)
{
  int zone;
  int i;

  world_set_log (world, true);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    world_cut (world, zone, false);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    {
      for (i = 0; i < WORLD_LEADS; i++)
        world_depose (world, zone, i);
      for (i = 0; i < WORLD_INSTANCES; i++)
        {
          world_start (world, zone, i);
          world_pause (world, zone, i, false);
          world_notice (world, zone, i);
          world_wait (world, zone, i, 0, 0);
          world_wait (world, zone, i, 1, 0);
        }
      for (i = 0; i < WORLD_SERVERS; i++)
        world_take_over (world, zone, i, i);
      for (i = 0; i < WORLD_SERVERS; i++)
        while (world_end (world, zone, i, 0))
          continue;
      for (i = 0; i < WORLD_INSTANCES; i++)
        world_notice (world, zone, i);
      world_elect (world, zone, 0);
    }
  world_settle (world, HEAL_ROUNDS);
}

/* With no faults left every zone may use all of its entitlements, and an
 * owner whose work waits gets them. */
static void
check_all_usable_ (struct ColtWorld *world, int team)
{
  const struct ColtEntitlements *fold = world_fold (world, 0, 0);
  const char *name = world_team (world, team);
  int zone;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    {
      struct ColtQuotaAmount has;
      struct ColtQuotaAmount usable;
      int64_t started = 0;

      colt_entitlements_get (fold, name, (uint32_t)zone + 1, &has);
      colt_entitlements_get_usable (fold, name, (uint32_t)zone + 1, &usable);
      require_ (colt_quota_equal (&has, &usable));
      world_wait (world, zone, 1, team, 9);
      world_settle (world, HEAL_ROUNDS);
      while (started < 9 && world_run (world, zone, 1, 1, team, 0))
        started++;
      if (has.amount[COLT_QUOTA_CORES] >= has.amount[COLT_QUOTA_TASKS])
        require_ (started == has.amount[COLT_QUOTA_TASKS]);
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  struct ColtInput input = { bytes, size, 0, 1 };
  struct ColtWorld *world = world_create ();
  int zone;

  append_bundle_ (world, &input);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    world_elect (world, zone, zone % WORLD_INSTANCES);
  while (input.taken < RUN_BYTES || input.size > 0)
    step_ (world, &input);
  heal_ (world);
  check_all_usable_ (world, 0);
  check_all_usable_ (world, 1);
  world_check_folds (world);
  world_destroy (world);
  return 0;
}
