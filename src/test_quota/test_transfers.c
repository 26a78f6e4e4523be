/* Tests of the transfer planner: transfers follow the demand without moving
 * entitlement back and forth. */
#include <string.h>

#include "coltsfootstile/transfers.h"
#include "simulation.h"
#include "test_quota.h"

enum
{
  SECOND_US = 1000000,
  SETTLE_ROUNDS = 10
};

/* The planners of all zones of a simulation, whose log receives their moves. */
struct ColtPlanners
{
  struct ColtQuotaSim *sim;
  struct ColtTransferPlanner *planners[SIM_ZONES];
  uint64_t sequence;
  uint8_t random_byte; /* last one returned */
  int record_count;    /* planned */
};

static void
fill_random_ (void *context, uint8_t *bytes, size_t size)
{
  struct ColtPlanners *planners = context;

  memset (bytes, ++planners->random_byte, size);
}

static void
create_planners_ (struct ColtPlanners *planners, int64_t tasks)
{
  struct ColtQuotaAmount limits[SIM_TEAMS]
      = { { { tasks, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } },
          { { 0, 0, 0 } } };
  int zone;

  memset (planners, 0, sizeof *planners);
  planners->sim = sim_create ();
  g_assert_true (sim_append_bundle (planners->sim, limits, 7));
  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      sim_elect_leader (planners->sim, zone, 0);
      planners->planners[zone] = colt_transfer_planner_create (
          (uint32_t)zone + 1, sim_fold (planners->sim, zone, 0), fill_random_,
          planners);
    }
  sim_settle (planners->sim, SETTLE_ROUNDS);
}

static void
destroy_planners_ (struct ColtPlanners *planners)
{
  int zone;

  for (zone = 0; zone < SIM_ZONES; zone++)
    colt_transfer_planner_destroy (planners->planners[zone]);
  sim_destroy (planners->sim);
}

/* Gives a planner the demand digests of the zones in a mask (bit N: zone N). */
static void
give_digests_ (struct ColtPlanners *planners, int to, unsigned zone_mask)
{
  int from;

  for (from = 0; from < SIM_ZONES; from++)
    {
      struct ColtDemandDigest digest = { (uint32_t)from + 1 };

      if ((zone_mask >> from & 1) == 0)
        continue;
      digest.sequence = ++planners->sequence;
      digest.demands = colt_credit_leader_list_demands (
          sim_leader (planners->sim, from, 1), &digest.demand_count);
      colt_transfer_planner_handle_digest (planners->planners[to], &digest,
                                           sim_now_us (planners->sim));
      g_free (digest.demands);
    }
}

static void
append_moves_ (struct ColtPlanners *planners,
               int zone,
               const struct ColtQuotaTransfer *record)
{
  size_t i;

  planners->record_count++;
  for (i = 0; i < record->move_count; i++)
    sim_append_transfer (planners->sim, 0, record->moves[i].from,
                         record->moves[i].to, &record->moves[i].amount);
  colt_transfer_planner_confirm_record (planners->planners[zone], &record->id);
}

static void
run_planners_ (struct ColtPlanners *planners, int seconds, unsigned zone_mask)
{
  int second;
  int zone;

  for (second = 0; second < seconds; second++)
    {
      sim_advance_clock (planners->sim, SECOND_US);
      for (zone = 0; zone < SIM_ZONES; zone++)
        {
          const struct ColtQuotaTransfer *record;

          give_digests_ (planners, zone, zone_mask);
          record = colt_transfer_planner_process (planners->planners[zone],
                                                  sim_now_us (planners->sim));
          if (record != NULL)
            append_moves_ (planners, zone, record);
        }
      sim_settle (planners->sim, SETTLE_ROUNDS);
    }
}

/* Starts up to n tasks in a zone, as credits allow, and lets the others wait.
 * Returns the number started. */
static int
start_up_to_ (struct ColtPlanners *planners, int zone, int n)
{
  int started = 0;

  while (started < n && sim_start_task (planners->sim, zone, 1, 1, 0, 0))
    started++;
  sim_set_waiting (planners->sim, zone, 1, 0, n - started);
  sim_settle (planners->sim, SETTLE_ROUNDS);
  return started;
}

/* A zone that alone has waiting tasks can use all of a small limit. */
static void
test_small_limits (void)
{
  struct ColtPlanners planners;
  int limit;
  int zone;

  for (limit = 1; limit <= 3; limit++)
    for (zone = 0; zone < SIM_ZONES; zone++)
      {
        create_planners_ (&planners, limit);
        sim_set_waiting (planners.sim, zone, 1, 0, limit);
        sim_settle (planners.sim, SETTLE_ROUNDS);
        run_planners_ (&planners, 6, 7);
        g_assert_cmpint (start_up_to_ (&planners, zone, limit), ==, limit);
        destroy_planners_ (&planners);
      }
}

/* With a limit of one task and waiting tasks in all zones, each zone gets its
 * turn, and far fewer records are planned than one per second. */
static void
test_limit_of_one_rotates (void)
{
  struct ColtPlanners planners;
  int ran[SIM_ZONES] = { 0 };
  int second;
  int zone;

  create_planners_ (&planners, 1);
  for (second = 0; second < 50; second++)
    {
      for (zone = 0; zone < SIM_ZONES; zone++)
        {
          sim_set_waiting (planners.sim, zone, 1, 0, 3);
          ran[zone] += sim_start_task (planners.sim, zone, 1, 1, 0, 0) ? 1 : 0;
        }
      run_planners_ (&planners, 1, 7);
      for (zone = 0; zone < SIM_ZONES; zone++)
        sim_end_task (planners.sim, zone, 1, 0);
      sim_settle (planners.sim, SETTLE_ROUNDS);
    }
  for (zone = 0; zone < SIM_ZONES; zone++)
    g_assert_cmpint (ran[zone], >=, 10);
  g_assert_cmpint (planners.record_count, <=, 12);
  destroy_planners_ (&planners);
}

static void
test_few_records_at_steady_demand (void)
{
  struct ColtPlanners planners;
  int before;

  create_planners_ (&planners, 8);
  sim_set_waiting (planners.sim, 0, 1, 0, 20);
  sim_set_waiting (planners.sim, 1, 1, 0, 20);
  sim_settle (planners.sim, SETTLE_ROUNDS);
  run_planners_ (&planners, 20, 7);
  before = planners.record_count;
  start_up_to_ (&planners, 0, 20);
  start_up_to_ (&planners, 1, 20);
  g_assert_cmpint (sim_count_running (planners.sim, -1, 0), ==, 8);
  run_planners_ (&planners, 30, 7);
  g_assert_cmpint (planners.record_count - before, <=, 1);
  destroy_planners_ (&planners);
}

static void
test_no_transfer_during_isolation (void)
{
  struct ColtPlanners planners;

  create_planners_ (&planners, 3);
  sim_set_waiting (planners.sim, 0, 1, 0, 3);
  sim_settle (planners.sim, SETTLE_ROUNDS);
  sim_set_isolated (planners.sim, 2, true);
  run_planners_ (&planners, 10, 3);
  g_assert_cmpint (planners.record_count, ==, 0);
  sim_set_isolated (planners.sim, 2, false);
  run_planners_ (&planners, 6, 7);
  g_assert_cmpint (planners.record_count, >, 0);
  g_assert_cmpint (start_up_to_ (&planners, 0, 3), ==, 3);
  destroy_planners_ (&planners);
}

/* The answer to an append is lost: the planner returns the same record again
 * after COLT_TRANSFER_RETRY_US, and no other record before. */
static void
test_lost_answer (void)
{
  struct ColtPlanners planners;
  const struct ColtQuotaTransfer *record;
  struct ColtId id;
  int64_t now;

  create_planners_ (&planners, 3);
  sim_set_waiting (planners.sim, 0, 1, 0, 3);
  sim_settle (planners.sim, SETTLE_ROUNDS);
  give_digests_ (&planners, 1, 7);
  now = sim_now_us (planners.sim);
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
  destroy_planners_ (&planners);
}

void
colt_add_transfer_tests (void)
{
  g_test_add_func ("/quota/transfers/small-limits", test_small_limits);
  g_test_add_func ("/quota/transfers/one", test_limit_of_one_rotates);
  g_test_add_func ("/quota/transfers/steady-demand",
                   test_few_records_at_steady_demand);
  g_test_add_func ("/quota/transfers/cut", test_no_transfer_during_isolation);
  g_test_add_func ("/quota/transfers/lost-answer", test_lost_answer);
}
