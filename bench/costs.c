#include <malloc.h>
#include <string.h>
#include <time.h>

#include "bench.h"

/* In mebibytes. */
#define GB INT64_C (1024)
#define DECISIONS 40000u
/* Running tasks per server, out of eight slots. */
#define RUNNING_PER_SERVER 6u
#define BACKLOG 10000u
/* Steps between two digests of random servers, on average. */
#define DIGEST_EVERY 8u
#define DECISION_BOUND_US 5000
/* Smallest number of decisions per second of CPU time. */
#define RATE_BOUND 3100
/* Largest ratio of the mean time per decision to that with 48 servers. */
#define GROWTH_BOUND 4
#define URGENT_ONE_IN 50u

/* A placement whose running tasks end at random while others start. */
struct ColtCostRun
{
  struct ColtPlacement *placement;
  gsl_rng *random;
  struct ColtBenchPlan plan;
  unsigned servers;
  int64_t now_us;
  uint64_t requests;
  GArray *running;     /* of struct ColtCostTask */
  GHashTable *waiting; /* request id -> struct ColtPlacementTask */
  GArray *decision_us; /* of double */
  double busy_s;       /* CPU time of calls of the placement */
  struct ColtServerDigest *digests;
};

struct ColtCostTask
{
  struct ColtPlacementTask task;
  uint32_t server;
};

static const struct ColtBenchStream streams[] = {
  { COLT_WORK_INTERACTIVE, 1, false, 1, 500, 2000, 1024, 0, 500, 0.5, 0,
    false },
  { COLT_WORK_BATCH, 1, false, 1, 1000, 4000, 1024, 0, 20000, 0.5, 0, false },
  { COLT_WORK_SERVICE, 1, false, 1, 1000, 2000, 1024, 0, 1000, 0.5, 0, false },
  { COLT_WORK_BATCH, 1, false, 1, 4000, 0, 1024, 8, 20000, 0.5, 0, false },
};

static double measure_decisions_ (unsigned servers, unsigned teams, bool full);
static void create_ (struct ColtCostRun *run, unsigned servers, unsigned teams);
static void destroy_ (struct ColtCostRun *run);
static void add_tasks_ (struct ColtCostRun *run, unsigned count);
static unsigned place_waiting_ (struct ColtCostRun *run);
static void end_random_tasks_ (struct ColtCostRun *run, unsigned count);
static void report_server_ (struct ColtCostRun *run, unsigned server);
static double cpu_seconds_ (void);
static size_t allocated_bytes_ (void);
static void measure_memory_ (void);
static void print_memory_ (const char *name,
                           size_t before,
                           unsigned count,
                           size_t excluded);
static void add_teams_ (struct ColtCostRun *run, unsigned count);
static void add_waiting_ (struct ColtCostRun *run, unsigned count);
static void place_all_ (struct ColtCostRun *run);

void
colt_bench_measure_costs (void)
{
  static const unsigned sizes[][2] = { { 48, 6 }, { 500, 60 }, { 5200, 370 } };
  double first[2] = { 0, 0 };
  size_t i;
  int full;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (full = 0; full < 2; full++)
      {
        double mean_us
            = measure_decisions_ (sizes[i][0], sizes[i][1], full != 0);

        if (i == 0)
          first[full] = mean_us;
        else
          {
            char name[96];

            g_snprintf (name, sizeof name, "cost.%s.growth_48_to_%u",
                        full != 0 ? "full" : "room", sizes[i][0]);
            colt_bench_print (name, mean_us / first[full], "times",
                              COLT_BENCH_AT_MOST, GROWTH_BOUND);
          }
      }
  measure_memory_ ();
}

/* Prints the rate and the duration of decisions, with room for tasks or, if
 * full, with a backlog, and returns their mean duration in microseconds. */
static double
measure_decisions_ (unsigned servers, unsigned teams, bool full)
{
  struct ColtCostRun run = { 0 };
  unsigned placed = 0;
  double mean_us;
  char name[96];

  create_ (&run, servers, teams);
  add_tasks_ (&run, servers * RUNNING_PER_SERVER);
  place_waiting_ (&run);
  if (full)
    {
      add_tasks_ (&run, servers * RUNNING_PER_SERVER + BACKLOG);
      place_waiting_ (&run);
    }
  g_array_set_size (run.decision_us, 0);
  run.busy_s = 0;
  while (placed < DECISIONS)
    {
      run.now_us += COLT_US_PER_MS;
      end_random_tasks_ (&run, 3);
      add_tasks_ (&run, 3);
      placed += place_waiting_ (&run);
      if (gsl_rng_uniform_int (run.random, DIGEST_EVERY) == 0)
        report_server_ (&run, gsl_rng_uniform_int (run.random, servers));
    }
  mean_us = run.busy_s * 1e6 / placed;
  g_snprintf (name, sizeof name, "cost.%s.%u_servers_%u_teams.decisions",
              full ? "full" : "room", servers, teams);
  colt_bench_print (name, placed / run.busy_s, "1/s", COLT_BENCH_AT_LEAST,
                    RATE_BOUND);
  g_snprintf (name, sizeof name, "cost.%s.%u_servers_%u_teams.p99",
              full ? "full" : "room", servers, teams);
  colt_bench_print (name, colt_bench_quantile (run.decision_us, 0.99), "us",
                    COLT_BENCH_AT_MOST, DECISION_BOUND_US);
  destroy_ (&run);
  return mean_us;
}

/* A quarter of the servers have accelerators, as in both deployments. */
static void
create_ (struct ColtCostRun *run, unsigned servers, unsigned teams)
{
  static const struct ColtResources plain = { { 32000, 64 * GB, 0, 8, 64 } };
  static const struct ColtResources accelerated
      = { { 64000, 128 * GB, 8, 8, 64 } };
  struct ColtBundle *bundle = colt_bench_create_bundle (teams);
  unsigned i;

  run->placement = colt_placement_create (1);
  colt_placement_set_bundle (run->placement, bundle);
  colt_bundle_destroy (bundle);
  run->random = gsl_rng_alloc (gsl_rng_mt19937);
  run->plan.teams = teams;
  run->plan.size_error = 0.2;
  run->plan.time_error = 0.5;
  run->servers = servers;
  run->now_us = 100 * COLT_US_PER_S;
  run->running = g_array_new (FALSE, FALSE, sizeof (struct ColtCostTask));
  run->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  run->decision_us = g_array_new (FALSE, FALSE, sizeof (double));
  run->digests = g_new0 (struct ColtServerDigest, servers);
  for (i = 0; i < servers; i++)
    {
      struct ColtServerDigest *digest = &run->digests[i];

      digest->server = i + 1;
      digest->rack = i / 5;
      digest->capacity = i % 4 == 3 ? accelerated : plain;
      digest->free = digest->capacity;
      digest->probation_permille = 1000;
      digest->speed_permille
          = 700 + (uint32_t)gsl_rng_uniform_int (run->random, 600);
      colt_placement_set_server (run->placement, digest, run->now_us);
    }
}

static void
destroy_ (struct ColtCostRun *run)
{
  colt_placement_destroy (run->placement);
  gsl_rng_free (run->random);
  g_array_unref (run->running);
  g_array_unref (run->decision_us);
  g_hash_table_unref (run->waiting);
  g_free (run->digests);
}

static void
add_tasks_ (struct ColtCostRun *run, unsigned count)
{
  double start;

  while (count-- > 0)
    {
      struct ColtPlacementTask *task = g_new0 (struct ColtPlacementTask, 1);
      struct ColtResources real;
      double real_ms;

      colt_bench_draw_request (
          &run->plan,
          &streams[gsl_rng_uniform_int (run->random, G_N_ELEMENTS (streams))],
          run->random, task, &real, &real_ms);
      run->requests++;
      memcpy (task->request.bytes, &run->requests, sizeof run->requests);
      task->arrived_us = run->now_us;
      task->deadline_us = COLT_TIME_NEVER;
      task->urgent = gsl_rng_uniform_int (run->random, URGENT_ONE_IN) == 0;
      start = cpu_seconds_ ();
      if (colt_placement_add (run->placement, task, run->now_us)
          == COLT_PLACEMENT_QUEUED)
        g_hash_table_insert (run->waiting, &task->request, task);
      else
        g_free (task);
      run->busy_s += cpu_seconds_ () - start;
    }
}

/* Places waiting tasks and returns their number. The last call, which finds
 * nothing to place, is measured as a decision too. */
static unsigned
place_waiting_ (struct ColtCostRun *run)
{
  struct ColtPlacementChoice choice;
  unsigned placed = 0;
  bool more = true;

  while (more)
    {
      double start = cpu_seconds_ ();
      double used_us;

      more = colt_placement_choose_next (run->placement, run->now_us, &choice);
      run->busy_s += cpu_seconds_ () - start;
      used_us = (cpu_seconds_ () - start) * 1e6;
      g_array_append_val (run->decision_us, used_us);
      if (more)
        {
          struct ColtPlacementTask *task
              = g_hash_table_lookup (run->waiting, &choice.request);
          struct ColtCostTask running = { *task, choice.server };

          colt_resources_subtract (&run->digests[choice.server - 1].free,
                                   &task->demand);
          g_array_append_val (run->running, running);
          g_hash_table_remove (run->waiting, &choice.request);
          placed++;
        }
    }
  return placed;
}

static void
end_random_tasks_ (struct ColtCostRun *run, unsigned count)
{
  while (count-- > 0 && run->running->len > 0)
    {
      guint i = gsl_rng_uniform_int (run->random, run->running->len);
      struct ColtCostTask task
          = g_array_index (run->running, struct ColtCostTask, i);
      struct ColtTaskReport report = { 0 };
      double start;

      report.state = COLT_TASK_FINISHED;
      report.run_ms = task.task.run_ms;
      report.usage = task.task.demand;
      g_array_remove_index_fast (run->running, i);
      colt_resources_add (&run->digests[task.server - 1].free,
                          &task.task.demand);
      start = cpu_seconds_ ();
      colt_placement_report_end (run->placement, &task.task, task.server,
                                 &report, run->now_us);
      run->busy_s += cpu_seconds_ () - start;
    }
}

static void
report_server_ (struct ColtCostRun *run, unsigned server)
{
  double start = cpu_seconds_ ();

  colt_placement_set_server (run->placement, &run->digests[server],
                             run->now_us);
  run->busy_s += cpu_seconds_ () - start;
}

/* Returns the CPU time of the thread, which excludes other load on the
 * machine. */
static double
cpu_seconds_ (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

static size_t
allocated_bytes_ (void)
{
  return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

/* Prints the memory per server, team, waiting task and placed task, as the mean
 * of many. */
static void
measure_memory_ (void)
{
  size_t before = allocated_bytes_ ();
  struct ColtCostRun run = { 0 };

  create_ (&run, 5200, 6);
  print_memory_ ("memory.server", before, 5200,
                 sizeof (struct ColtServerDigest));
  before = allocated_bytes_ ();
  add_teams_ (&run, 370);
  print_memory_ ("memory.team", before, 370, 0);
  before = allocated_bytes_ ();
  add_waiting_ (&run, 30000);
  print_memory_ ("memory.waiting_task", before, 30000, 0);
  place_all_ (&run);
  print_memory_ ("memory.placed_task", before, 30000, 0);
  destroy_ (&run);
}

/* Prints the growth of the allocated memory since "before" per item, without
 * the bytes per item that the benchmark itself allocates (excluded). */
static void
print_memory_ (const char *name, size_t before, unsigned count, size_t excluded)
{
  colt_bench_print (
      name, (double)(allocated_bytes_ () - before) / count - (double)excluded,
      "bytes", COLT_BENCH_NO_BOUND, 0);
}

static void
add_teams_ (struct ColtCostRun *run, unsigned count)
{
  const struct ColtResources nothing = { { 0 } };
  char team[COLT_NAME_SIZE];

  while (count-- > 0)
    {
      g_snprintf (team, sizeof team, "extra-%u", count);
      colt_placement_set_team_usage (run->placement, 1, team, &nothing,
                                     run->now_us);
    }
}

static void
add_waiting_ (struct ColtCostRun *run, unsigned count)
{
  while (count-- > 0)
    {
      struct ColtPlacementTask task = { 0 };

      memcpy (task.request.bytes, &count, sizeof count);
      g_snprintf (task.team, sizeof task.team, "team-%u", count % 6);
      task.kind = COLT_WORK_BATCH;
      task.tasks = 1;
      task.demand.amount[COLT_RESOURCE_CORES] = 1000;
      task.demand.amount[COLT_RESOURCE_SLOTS] = 1;
      task.deadline_us = COLT_TIME_NEVER;
      colt_placement_add (run->placement, &task, run->now_us);
    }
}

static void
place_all_ (struct ColtCostRun *run)
{
  struct ColtPlacementChoice choice;
  bool placed = true;

  while (placed)
    placed = colt_placement_choose_next (run->placement, run->now_us, &choice);
}
