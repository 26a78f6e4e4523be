#include <time.h>

#include "fixture.h"

/* Periodic checks in one measurement, and measurements of which the shortest
 * counts. */
#define TICKS 200
#define ROUNDS 5
#define FEW_JOBS 100
#define MANY_JOBS 6000
/* Time between two searches for stragglers. */
#define SEARCH_INTERVAL_MS 200
/* Largest factor between the costs of checks with few and with many jobs. */
#define FACTOR_MAX 4

static int64_t
get_cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * COLT_US_PER_S * 1000 + now.tv_nsec;
}

static void
add_ended_jobs (struct ColtLoadFixture *fixture, uint32_t count)
{
  char id[COLT_JOB_ID_LENGTH + 1];

  while (fixture->last_id < count)
    {
      colt_fixture_submit (fixture, "tight", "steady", 1, false);
      g_snprintf (id, sizeof id, "%016x", fixture->last_id);
      colt_cell_cancel (fixture->cell, id, fixture->now_us);
    }
  colt_fixture_commit (fixture);
}

static void
tick (struct ColtLoadFixture *fixture)
{
  colt_cell_tick (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

static void
search (struct ColtLoadFixture *fixture)
{
  fixture->now_us += SEARCH_INTERVAL_MS * MS;
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
}

static int64_t
measure_ns (struct ColtLoadFixture *fixture,
            void (*work) (struct ColtLoadFixture *))
{
  int64_t shortest_ns = INT64_MAX;
  int round;
  int i;

  for (round = 0; round < ROUNDS; round++)
    {
      int64_t began_ns = get_cpu_ns ();

      for (i = 0; i < TICKS; i++)
        work (fixture);
      shortest_ns = MIN (shortest_ns, get_cpu_ns () - began_ns);
    }
  return shortest_ns;
}

/* Checks that the cost of some work doesn't grow with the number of jobs that
 * have ended. */
static void
check_cost (void (*work) (struct ColtLoadFixture *))
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int64_t few_ns;

  add_ended_jobs (fixture, FEW_JOBS);
  few_ns = measure_ns (fixture, work);
  add_ended_jobs (fixture, MANY_JOBS);
  g_assert_cmpint (measure_ns (fixture, work), <, FACTOR_MAX * few_ns);
  colt_fixture_destroy (fixture);
}

/* Pattern: thousands of jobs have ended and are kept for callers that ask for
 * their states. Periodic checks that visit each of them use up the processor
 * time that the leader needs for starts. */
static void
test_ended_jobs_cost_nothing (void)
{
  check_cost (tick);
}

/* Guards against searches for stragglers that visit each job that has ended. */
static void
test_ended_jobs_are_not_searched (void)
{
  check_cost (search);
}

void
colt_load_add_cost_tests (void)
{
  g_test_add_func ("/cell/load/ended-jobs-are-not-searched",
                   test_ended_jobs_are_not_searched);
  g_test_add_func ("/cell/load/ended-jobs-cost-nothing",
                   test_ended_jobs_cost_nothing);
}
