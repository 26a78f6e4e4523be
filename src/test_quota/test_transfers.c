/* The planner: entitlement follows demand, once, and not to and fro. */
#include <string.h>

#include "coltsfootstile/transfers.h"
#include "simulation.h"
#include "test_quota.h"

enum
{
  SECOND_US = 1000000,
  SETTLE_ROUNDS = 10
};

/* Planners of all zones over a world; its records carry their moves. */
struct ColtPlanners
{
  struct ColtWorld *world;
  struct ColtTransferPlanner *planners[WORLD_ZONES];
  uint64_t sequence;
  uint8_t random;
  int records;
};

static void
random_ (void *context, uint8_t *bytes, size_t size)
{
  struct ColtPlanners *planners = context;

  memset (bytes, ++planners->random, size);
}

static void
open_ (struct ColtPlanners *planners, int64_t tasks)
{
  struct ColtQuotaAmount limits[WORLD_TEAMS]
      = { { { tasks, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } },
          { { 0, 0, 0 } } };
  int zone;

  memset (planners, 0, sizeof *planners);
  planners->world = world_create ();
  g_assert_true (world_append_bundle (planners->world, limits, 7));
  for (zone = 0; zone < WORLD_ZONES; zone++)
    {
      world_elect (planners->world, zone, 0);
      planners->planners[zone] = colt_transfer_planner_create (
          (uint32_t)zone + 1, world_fold (planners->world, zone, 0), random_,
          planners);
    }
  world_settle (planners->world, SETTLE_ROUNDS);
}

static void
close_ (struct ColtPlanners *planners)
{
  int zone;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    colt_transfer_planner_destroy (planners->planners[zone]);
  world_destroy (planners->world);
}

/* Tells a planner what the leads of the zones that it hears know. */
static void
tell_ (struct ColtPlanners *planners, int to, unsigned heard)
{
  int from;

  for (from = 0; from < WORLD_ZONES; from++)
    {
      struct ColtDemandDigest digest = { (uint32_t)from + 1 };

      if ((heard >> from & 1) == 0)
        continue;
      digest.sequence = ++planners->sequence;
      digest.demands = colt_credit_leader_list_demands (
          world_lead (planners->world, from, 1), &digest.demand_count);
      colt_transfer_planner_handle_digest (planners->planners[to], &digest,
                                           world_now (planners->world));
      g_free (digest.demands);
    }
}

static void
append_ (struct ColtPlanners *planners,
         int zone,
         const struct ColtQuotaTransfer *record)
{
  size_t i;

  planners->records++;
  for (i = 0; i < record->move_count; i++)
    world_append_transfer (planners->world, 0, record->moves[i].from,
                           record->moves[i].to, &record->moves[i].amount);
  colt_transfer_planner_confirm_record (planners->planners[zone], &record->id);
}

static void
plan_ (struct ColtPlanners *planners, int seconds, unsigned heard)
{
  int second;
  int zone;

  for (second = 0; second < seconds; second++)
    {
      world_pass (planners->world, SECOND_US);
      for (zone = 0; zone < WORLD_ZONES; zone++)
        {
          const struct ColtQuotaTransfer *record;

          tell_ (planners, zone, heard);
          record = colt_transfer_planner_process (planners->planners[zone],
                                                  world_now (planners->world));
          if (record != NULL)
            append_ (planners, zone, record);
        }
      world_settle (planners->world, SETTLE_ROUNDS);
    }
}

static int
start_ (struct ColtPlanners *planners, int zone, int n)
{
  int started = 0;

  while (started < n && world_run (planners->world, zone, 1, 1, 0, 0))
    started++;
  world_wait (planners->world, zone, 1, 0, n - started);
  world_settle (planners->world, SETTLE_ROUNDS);
  return started;
}

/* All of a small limit is used in whichever zone the work is. */
static void
test_small_limits (void)
{
  struct ColtPlanners planners;
  int limit;
  int zone;

  for (limit = 1; limit <= 3; limit++)
    for (zone = 0; zone < WORLD_ZONES; zone++)
      {
        open_ (&planners, limit);
        world_wait (planners.world, zone, 1, 0, limit);
        world_settle (planners.world, SETTLE_ROUNDS);
        plan_ (&planners, 6, 7);
        g_assert_cmpint (start_ (&planners, zone, limit), ==, limit);
        close_ (&planners);
      }
}

/* Work in all zones for one task: each zone gets its turn, without a record
 * every second. */
static void
test_limit_of_one_goes_round (void)
{
  struct ColtPlanners planners;
  int ran[WORLD_ZONES] = { 0 };
  int second;
  int zone;

  open_ (&planners, 1);
  for (second = 0; second < 50; second++)
    {
      for (zone = 0; zone < WORLD_ZONES; zone++)
        {
          world_wait (planners.world, zone, 1, 0, 3);
          ran[zone] += world_run (planners.world, zone, 1, 1, 0, 0) ? 1 : 0;
        }
      plan_ (&planners, 1, 7);
      for (zone = 0; zone < WORLD_ZONES; zone++)
        world_end (planners.world, zone, 1, 0);
      world_settle (planners.world, SETTLE_ROUNDS);
    }
  for (zone = 0; zone < WORLD_ZONES; zone++)
    g_assert_cmpint (ran[zone], >=, 10);
  g_assert_cmpint (planners.records, <=, 12);
  close_ (&planners);
}

static void
test_steady_demand_rests (void)
{
  struct ColtPlanners planners;
  int before;

  open_ (&planners, 8);
  world_wait (planners.world, 0, 1, 0, 20);
  world_wait (planners.world, 1, 1, 0, 20);
  world_settle (planners.world, SETTLE_ROUNDS);
  plan_ (&planners, 20, 7);
  before = planners.records;
  start_ (&planners, 0, 20);
  start_ (&planners, 1, 20);
  g_assert_cmpint (world_running (planners.world, -1, 0), ==, 8);
  plan_ (&planners, 30, 7);
  g_assert_cmpint (planners.records - before, <=, 1);
  close_ (&planners);
}

static void
test_no_transfer_during_cut (void)
{
  struct ColtPlanners planners;

  open_ (&planners, 3);
  world_wait (planners.world, 0, 1, 0, 3);
  world_settle (planners.world, SETTLE_ROUNDS);
  world_cut (planners.world, 2, true);
  plan_ (&planners, 10, 3);
  g_assert_cmpint (planners.records, ==, 0);
  world_cut (planners.world, 2, false);
  plan_ (&planners, 6, 7);
  g_assert_cmpint (planners.records, >, 0);
  g_assert_cmpint (start_ (&planners, 0, 3), ==, 3);
  close_ (&planners);
}

/* The append's answer is lost: the same record comes again, no other one. */
static void
test_lost_answer (void)
{
  struct ColtPlanners planners;
  const struct ColtQuotaTransfer *record;
  struct ColtId id;
  int64_t now;

  open_ (&planners, 3);
  world_wait (planners.world, 0, 1, 0, 3);
  world_settle (planners.world, SETTLE_ROUNDS);
  tell_ (&planners, 1, 7);
  now = world_now (planners.world);
  record = colt_transfer_planner_process (planners.planners[1], now);
  g_assert_nonnull (record);
  id = record->id;
  g_assert_null (
      colt_transfer_planner_process (planners.planners[1], now + SECOND_US));
  record = colt_transfer_planner_process (planners.planners[1],
                                          now + COLT_TRANSFER_RETRY_US);
  g_assert_nonnull (record);
  g_assert_true (colt_id_equal (&record->id, &id));
  g_assert_true (colt_transfer_planner_is_pending (planners.planners[1]));
  colt_transfer_planner_confirm_record (planners.planners[1], &id);
  g_assert_false (colt_transfer_planner_is_pending (planners.planners[1]));
  close_ (&planners);
}

void
test_transfers_add (void)
{
  g_test_add_func ("/quota/transfers/small-limits", test_small_limits);
  g_test_add_func ("/quota/transfers/one", test_limit_of_one_goes_round);
  g_test_add_func ("/quota/transfers/rest", test_steady_demand_rests);
  g_test_add_func ("/quota/transfers/cut", test_no_transfer_during_cut);
  g_test_add_func ("/quota/transfers/lost-answer", test_lost_answer);
}
