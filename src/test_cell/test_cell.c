#include <glib.h>

#include "simulation.h"

/* Simulates a plan with the seeds 1 to plan->seed; with twenty times as many in
 * thorough mode. */
static void
run_seeds (const struct ColtSimPlan *plan)
{
  struct ColtSimPlan seeded = *plan;
  struct ColtSimResult result;
  uint32_t overfull_rooms = 0;
  uint32_t shrunken_starts = 0;
  uint32_t cut_lists = 0;
  uint32_t rejected = 0;
  uint32_t seed;
  uint32_t seeds = plan->seed * (g_test_thorough () ? 20 : 1);

  for (seed = 1; seed <= seeds; seed++)
    {
      seeded.seed = seed;
      g_test_message ("seed %u", seed);
      colt_sim_run (&seeded, &result);
      g_assert_cmpuint (result.accepted, >, 0);
      g_assert_cmpuint (result.completed, >, 0);
      if (plan->deadly_tasks > 0)
        g_assert_cmpuint (result.deadly, >, 0);
      if (plan->deadly_tasks > 0)
        g_assert_cmpuint (result.crashes, >, 0);
      if (plan->evacuations > 0)
        g_assert_cmpuint (result.evacuations, >, 0);
      overfull_rooms += result.overfull_rooms;
      shrunken_starts += result.shrunken_starts;
      cut_lists += result.cut_lists;
      rejected += result.rejected;
    }
  if (plan->listed_ends > 0)
    g_assert_cmpuint (cut_lists, >, 0);
  if (plan->policies)
    g_assert_cmpuint (rejected, >, 0);
  if (plan->shrinking_rooms == 0)
    return;
  g_assert_cmpuint (overfull_rooms, >, 0);
  g_assert_cmpuint (shrunken_starts, >, 0);
}

static void
test_no_faults (void)
{
  const struct ColtSimPlan plan
      = { .seed = 3, .servers = 5, .jobs = 60, .steps = 1500 };

  run_seeds (&plan);
}

static void
test_failing_runs (void)
{
  const struct ColtSimPlan plan = {
    .seed = 4, .servers = 5, .jobs = 60, .steps = 1500, .failing_runs = 0.3
  };

  run_seeds (&plan);
}

static void
test_lost_answers (void)
{
  const struct ColtSimPlan plan = { .seed = 4,
                                    .servers = 5,
                                    .jobs = 60,
                                    .steps = 1500,
                                    .lost_answers = 0.1,
                                    .late_orders = 0.05 };

  run_seeds (&plan);
}

static void
test_crashing_servers (void)
{
  const struct ColtSimPlan plan = {
    .seed = 4, .servers = 5, .jobs = 60, .steps = 1500, .crashes = 0.002
  };

  run_seeds (&plan);
}

static void
test_partitioned_servers (void)
{
  const struct ColtSimPlan plan = { .seed = 4,
                                    .servers = 5,
                                    .jobs = 60,
                                    .steps = 1500,
                                    .partitions = 0.003,
                                    .cancels = 0.01 };

  run_seeds (&plan);
}

static void
test_leader_changes (void)
{
  const struct ColtSimPlan plan = { .seed = 24,
                                    .servers = 5,
                                    .jobs = 60,
                                    .steps = 1500,
                                    .failing_runs = 0.3,
                                    .leader_changes = 0.01 };

  run_seeds (&plan);
}

/* Leaders are replaced before they have reports from all servers. */
static void
test_leader_changes_with_partitions (void)
{
  const struct ColtSimPlan plan = { .seed = 24,
                                    .servers = 5,
                                    .jobs = 60,
                                    .steps = 1500,
                                    .partitions = 0.004,
                                    .leader_changes = 0.01 };

  run_seeds (&plan);
}

/* Guards against rejected jobs that leave something behind: their ids come
 * again with other steps. */
static void
test_policies (void)
{
  const struct ColtSimPlan plan = { .seed = 30,
                                    .servers = 6,
                                    .jobs = 80,
                                    .steps = 2000,
                                    .lost_answers = 0.05,
                                    .late_orders = 0.03,
                                    .failing_runs = 0.2,
                                    .leader_changes = 0.001,
                                    .partitions = 0.0005,
                                    .crashes = 0.0005,
                                    .cancels = 0.005,
                                    .policies = true };

  run_seeds (&plan);
}

static void
test_everything (void)
{
  const struct ColtSimPlan plan = { .seed = 30,
                                    .servers = 6,
                                    .jobs = 80,
                                    .steps = 2000,
                                    .lost_answers = 0.05,
                                    .late_orders = 0.03,
                                    .failing_runs = 0.2,
                                    .leader_changes = 0.004,
                                    .partitions = 0.002,
                                    .crashes = 0.001,
                                    .cancels = 0.005 };

  run_seeds (&plan);
}

/* Guards against runs that are taken as lapsed, and start again, because a
 * report holds no more than the first ends: with the log down none is
 * acknowledged. */
static void
test_cut_lists (void)
{
  const struct ColtSimPlan plan = { .seed = 12,
                                    .servers = 4,
                                    .jobs = 80,
                                    .steps = 2000,
                                    .leader_changes = 0.002,
                                    .cancels = 0.002,
                                    .failing_runs = 0.1,
                                    .log_outages = 0.01,
                                    .listed_ends = 2 };

  run_seeds (&plan);
}

/* Guards against a task that is started without end although it crashes each
 * server that starts it, and against failed jobs whose tasks crash none. */
static void
test_deadly_tasks (void)
{
  const struct ColtSimPlan plan = { .seed = 5,
                                    .servers = 8,
                                    .jobs = 30,
                                    .steps = 5000,
                                    .crashes = 0.0002,
                                    .deadly_tasks = 0.2 };

  run_seeds (&plan);
}

/* Guards against crashes that a later leader doesn't count: the task is started
 * without end, as each leader begins to count anew. */
static void
test_deadly_tasks_and_leader_changes (void)
{
  const struct ColtSimPlan plan = { .seed = 5,
                                    .servers = 8,
                                    .jobs = 20,
                                    .steps = 6000,
                                    .lost_answers = 0.02,
                                    .failing_runs = 0.05,
                                    .leader_changes = 0.001,
                                    .partitions = 0.0001,
                                    .crashes = 0.0002,
                                    .deadly_tasks = 0.25 };

  run_seeds (&plan);
}

/* Guards against starts that bring a server over a room that has shrunk. */
static void
test_shrinking_rooms (void)
{
  const struct ColtSimPlan plan = {
    .seed = 5, .servers = 4, .jobs = 60, .steps = 2000, .shrinking_rooms = 0.005
  };

  run_seeds (&plan);
}

/* Guards against starts over a shrunken room for lost or late orders, runs that
 * are being stopped, and runs that an earlier leader started. */
static void
test_shrinking_rooms_and_faults (void)
{
  const struct ColtSimPlan plan = { .seed = 5,
                                    .servers = 4,
                                    .jobs = 60,
                                    .steps = 2000,
                                    .lost_answers = 0.05,
                                    .late_orders = 0.03,
                                    .leader_changes = 0.002,
                                    .partitions = 0.001,
                                    .crashes = 0.0005,
                                    .cancels = 0.01,
                                    .shrinking_rooms = 0.005 };

  run_seeds (&plan);
}

/* Guards against starts and calls for advice in zones that are evacuated, at
 * any moment between a plan and its order and under any leader, and against
 * work that waits for good after an evacuation has ended. */
static void
test_evacuations (void)
{
  const struct ColtSimPlan plan = { .seed = 10,
                                    .servers = 6,
                                    .jobs = 80,
                                    .steps = 2000,
                                    .lost_answers = 0.05,
                                    .late_orders = 0.02,
                                    .failing_runs = 0.1,
                                    .leader_changes = 0.003,
                                    .partitions = 0.001,
                                    .log_outages = 0.002,
                                    .evacuations = 0.02 };

  run_seeds (&plan);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/world/cut-lists", test_cut_lists);
  g_test_add_func ("/cell/world/no-faults", test_no_faults);
  g_test_add_func ("/cell/world/failing-runs", test_failing_runs);
  g_test_add_func ("/cell/world/lost-answers", test_lost_answers);
  g_test_add_func ("/cell/world/crashing-servers", test_crashing_servers);
  g_test_add_func ("/cell/world/partitioned-servers", test_partitioned_servers);
  g_test_add_func ("/cell/world/leader-changes", test_leader_changes);
  g_test_add_func ("/cell/world/leader-changes-with-partitions",
                   test_leader_changes_with_partitions);
  g_test_add_func ("/cell/world/policies", test_policies);
  g_test_add_func ("/cell/world/everything", test_everything);
  g_test_add_func ("/cell/world/deadly-tasks", test_deadly_tasks);
  g_test_add_func ("/cell/world/deadly-tasks-and-leader-changes",
                   test_deadly_tasks_and_leader_changes);
  g_test_add_func ("/cell/world/shrinking-rooms", test_shrinking_rooms);
  g_test_add_func ("/cell/world/shrinking-rooms-and-faults",
                   test_shrinking_rooms_and_faults);
  g_test_add_func ("/cell/world/evacuations", test_evacuations);
  return g_test_run ();
}
