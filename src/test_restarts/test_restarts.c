#include <glib.h>
#include <stdlib.h>

#include "coltsfootstile/log.h"
#include "world.h"

/* Environment variable with the only seed to run. */
#define SEED_VARIABLE "COLT_RESTARTS_SEED"

static void
run_seed (const struct ColtWorldPlan *plan, uint32_t seed)
{
  struct ColtWorldPlan seeded = *plan;
  struct ColtWorldResult result;
  int i;

  seeded.seed = seed;
  colt_world_run (&seeded, &result);
  g_test_message ("seed %u: %u jobs, %u starts, %u done, %u crashes, %u "
                  "leaders",
                  seed, result.accepted, result.starts, result.done,
                  result.crashes, result.leaders);
  for (i = 0; i < RULE_COUNT; i++)
    if (result.broken[i])
      {
        g_test_message ("seed %u: rule %s is broken", seed,
                        colt_world_rule_string[i]);
        g_test_fail ();
      }
  g_assert_cmpuint (result.accepted, >, 0);
  g_assert_cmpuint (result.done, >, 0);
  if (plan->crashes > 0)
    g_assert_cmpuint (result.crashes, >, 0);
}

/* Runs a plan with the seeds 1 to plan->seed, twenty times as many in thorough
 * mode, or with the one seed of the environment. */
static void
run_seeds (const struct ColtWorldPlan *plan)
{
  const char *only = g_getenv (SEED_VARIABLE);
  uint32_t seeds = plan->seed * (g_test_thorough () ? 20 : 1);
  uint32_t seed;

  if (only != NULL)
    {
      run_seed (plan, (uint32_t)strtoul (only, NULL, 10));
      return;
    }
  for (seed = 1; seed <= seeds; seed++)
    run_seed (plan, seed);
}

static void
test_no_faults (void)
{
  const struct ColtWorldPlan plan
      = { .seed = 1, .servers = 6, .seconds = 20, .jobs = 6, .cancels = 0.05 };

  run_seeds (&plan);
}

/* Guards against a new life whose answers to orders arrive while a renewal to
 * the former one is still open, so that the leader believes in the former one.
 */
static void
test_silent_restarts (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .crashes = 0.5,
                                      .silent = 1,
                                      .short_downtimes = 1,
                                      .clocks_ahead = 1 };

  run_seeds (&plan);
}

/* Guards against runs on a new life that are taken as those of the former one.
 */
static void
test_restarts (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.5,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3 };

  run_seeds (&plan);
}

static void
test_other_ids (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.5,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .other_ids = 0.5 };

  run_seeds (&plan);
}

/* Guards against runs on a new life that are taken as lost by a late answer of
 * another server that had the address before it. */
static void
test_late_rejections (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 8,
                                      .crashes = 1,
                                      .silent = 0.5,
                                      .short_downtimes = 1,
                                      .next_lives = 0.8,
                                      .other_ids = 0.8,
                                      .late_answers = 0.4 };

  run_seeds (&plan);
}

static void
test_cuts (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .cuts = 0.4,
                                      .late_calls = 0.02,
                                      .lost_answers = 0.02,
                                      .late_answers = 0.1 };

  run_seeds (&plan);
}

static void
test_restarts_and_cuts (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.4,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .cuts = 0.3,
                                      .late_calls = 0.02,
                                      .lost_answers = 0.02,
                                      .late_answers = 0.1 };

  run_seeds (&plan);
}

static void
test_entries (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.4,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .other_ids = 0.1,
                                      .late_answers = 0.1,
                                      .entry_faults = 0.5 };

  run_seeds (&plan);
}

static void
test_clock_steps (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 20,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.4,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .clock_steps = 0.3 };

  run_seeds (&plan);
}

static void
test_leader_changes (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 25,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.4,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .leader_changes = 0.1 };

  run_seeds (&plan);
}

/* Guards against a job whose record exceeds what the log takes, which ends each
 * leader, and against lists that lack the latest ends: both bounds are met
 * often, as they are low. */
static void
test_low_bounds (void)
{
  const struct ColtWorldPlan plan = { .seed = 4,
                                      .servers = 6,
                                      .seconds = 25,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.3,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .late_answers = 0.1,
                                      .leader_changes = 0.05,
                                      .listed_ends = 2,
                                      .record_bytes = 600,
                                      .wide_tasks = 120 };

  run_seeds (&plan);
  /* A run that was planned for one incarnation, started on the next one and
   * ended there beyond its list. */
  run_seed (&plan, 17);
}

/* Guards against accepted jobs that never end because a later leader doesn't
 * know their queue, which the configuration has dropped meanwhile. */
static void
test_dropped_queue (void)
{
  const struct ColtWorldPlan plan = { .seed = 3,
                                      .servers = 6,
                                      .seconds = 25,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.3,
                                      .short_downtimes = 0.6,
                                      .leader_changes = 0.2,
                                      .queue_dropped_s = 15 };

  run_seeds (&plan);
}

/* Guards against tasks that run twice: servers start again under their ids, get
 * a lease that is meant for their former lives, and so the longest that they
 * grant, and are cut off. The next leader must not take their runs as lost
 * before these leases end. */
static void
test_cut_off_after_restart (void)
{
  const struct ColtWorldPlan plan = { .seed = 5,
                                      .servers = 6,
                                      .seconds = 60,
                                      .jobs = 0.8,
                                      .lease_max_ms = 10000,
                                      .work_most_ms = 12000,
                                      .recuts = 0.3 };

  run_seeds (&plan);
}

/* Load: a third of 600 servers is cut off at 900 starts a second. The starts
 * that waited for these servers used up the budget until they counted as
 * unreachable: for seconds the others got hardly any. */
static void
test_zone_cut (void)
{
  const struct ColtWorldPlan plan = {
    .seed = 1, .servers = 600, .seconds = 13, .jobs = 250, .zone_cut_s = 7
  };
  struct ColtWorldResult result;

  colt_world_run (&plan, &result);
  g_test_message ("%u starts in 4 s before the cut, %u in 4 s of it",
                  result.starts_before_cut, result.starts_in_cut);
  g_assert_false (result.broken[RULE_ONCE] || result.broken[RULE_DONE]
                  || result.broken[RULE_ENDS]);
  g_assert_cmpuint (result.starts_before_cut, >, 1000);
  g_assert_cmpuint (4 * result.starts_in_cut, >, 3 * result.starts_before_cut);
}

static void
test_everything (void)
{
  const struct ColtWorldPlan plan = { .seed = 5,
                                      .servers = 6,
                                      .seconds = 25,
                                      .jobs = 6,
                                      .cancels = 0.05,
                                      .crashes = 0.3,
                                      .silent = 0.5,
                                      .short_downtimes = 0.6,
                                      .next_lives = 0.3,
                                      .other_ids = 0.1,
                                      .clock_steps = 0.1,
                                      .cuts = 0.2,
                                      .late_calls = 0.02,
                                      .lost_answers = 0.02,
                                      .late_answers = 0.1,
                                      .entry_faults = 0.2,
                                      .leader_changes = 0.05 };

  run_seeds (&plan);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_getenv ("COLT_RESTARTS_TRACE") != NULL)
    colt_log_open (COLT_LOG_DEBUG, NULL);
  g_test_add_func ("/restarts/no-faults", test_no_faults);
  g_test_add_func ("/restarts/silent", test_silent_restarts);
  g_test_add_func ("/restarts/same-id", test_restarts);
  g_test_add_func ("/restarts/other-id", test_other_ids);
  g_test_add_func ("/restarts/late-rejections", test_late_rejections);
  g_test_add_func ("/restarts/cuts", test_cuts);
  g_test_add_func ("/restarts/cuts-and-restarts", test_restarts_and_cuts);
  g_test_add_func ("/restarts/entries", test_entries);
  g_test_add_func ("/restarts/clock-steps", test_clock_steps);
  g_test_add_func ("/restarts/leader-changes", test_leader_changes);
  g_test_add_func ("/restarts/low-bounds", test_low_bounds);
  g_test_add_func ("/restarts/dropped-queue", test_dropped_queue);
  g_test_add_func ("/restarts/cut-off-after-restart",
                   test_cut_off_after_restart);
  g_test_add_func ("/restarts/zone-cut", test_zone_cut);
  g_test_add_func ("/restarts/everything", test_everything);
  return g_test_run ();
}
