#include <glib.h>

#include "simulation.h"

/* Plays one plan for several seeds; twenty times as many in thorough mode. */
static void
play (const struct ColtWorldPlan *plan)
{
  struct ColtWorldPlan seeded = *plan;
  struct ColtWorldResult result;
  uint32_t seed;
  uint32_t seeds = plan->seed * (g_test_thorough () ? 20 : 1);

  for (seed = 1; seed <= seeds; seed++)
    {
      seeded.seed = seed;
      g_test_message ("seed %u", seed);
      colt_world_play (&seeded, &result);
      g_assert_cmpuint (result.accepted, >, 0);
      g_assert_cmpuint (result.completed, >, 0);
    }
}

static void
test_calm (void)
{
  const struct ColtWorldPlan plan
      = { .seed = 3, .servers = 5, .jobs = 60, .steps = 1500 };

  play (&plan);
}

static void
test_failing_runs (void)
{
  const struct ColtWorldPlan plan = {
    .seed = 4, .servers = 5, .jobs = 60, .steps = 1500, .failing_runs = 0.3
  };

  play (&plan);
}

static void
test_lost_answers (void)
{
  const struct ColtWorldPlan plan = { .seed = 4,
                                      .servers = 5,
                                      .jobs = 60,
                                      .steps = 1500,
                                      .lost_answers = 0.1,
                                      .late_orders = 0.05 };

  play (&plan);
}

static void
test_crashing_servers (void)
{
  const struct ColtWorldPlan plan = {
    .seed = 4, .servers = 5, .jobs = 60, .steps = 1500, .crashes = 0.002
  };

  play (&plan);
}

static void
test_cut_servers (void)
{
  const struct ColtWorldPlan plan = { .seed = 4,
                                      .servers = 5,
                                      .jobs = 60,
                                      .steps = 1500,
                                      .cuts = 0.003,
                                      .cancels = 0.01 };

  play (&plan);
}

static void
test_lead_changes (void)
{
  const struct ColtWorldPlan plan = { .seed = 24,
                                      .servers = 5,
                                      .jobs = 60,
                                      .steps = 1500,
                                      .failing_runs = 0.3,
                                      .lead_changes = 0.01 };

  play (&plan);
}

/* A lead that follows before the one before it knew all servers. */
static void
test_lead_changes_in_cuts (void)
{
  const struct ColtWorldPlan plan = { .seed = 24,
                                      .servers = 5,
                                      .jobs = 60,
                                      .steps = 1500,
                                      .cuts = 0.004,
                                      .lead_changes = 0.01 };

  play (&plan);
}

static void
test_everything (void)
{
  const struct ColtWorldPlan plan = { .seed = 30,
                                      .servers = 6,
                                      .jobs = 80,
                                      .steps = 2000,
                                      .lost_answers = 0.05,
                                      .late_orders = 0.03,
                                      .failing_runs = 0.2,
                                      .lead_changes = 0.004,
                                      .cuts = 0.002,
                                      .crashes = 0.001,
                                      .cancels = 0.005 };

  play (&plan);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/world/calm", test_calm);
  g_test_add_func ("/cell/world/failing-runs", test_failing_runs);
  g_test_add_func ("/cell/world/lost-answers", test_lost_answers);
  g_test_add_func ("/cell/world/crashing-servers", test_crashing_servers);
  g_test_add_func ("/cell/world/cut-servers", test_cut_servers);
  g_test_add_func ("/cell/world/lead-changes", test_lead_changes);
  g_test_add_func ("/cell/world/lead-changes-in-cuts",
                   test_lead_changes_in_cuts);
  g_test_add_func ("/cell/world/everything", test_everything);
  return g_test_run ();
}
