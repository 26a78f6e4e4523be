#include <gsl/gsl_randist.h>
#include <math.h>

#include "fleet.h"

#define TICK_US (10 * COLT_US_PER_MS)
#define DIGEST_US (100 * COLT_US_PER_MS)
#define USAGE_US (500 * COLT_US_PER_MS)
#define WAVE_US (60 * COLT_US_PER_S)

static void add_requests_ (struct ColtBenchFleet *fleet);
static void add_services_ (struct ColtBenchFleet *fleet);
static void compute_results_ (struct ColtBenchFleet *fleet);

void
colt_bench_run (const struct ColtBenchPlan *plan,
                const struct ColtBenchPlacementOps *ops,
                struct ColtBenchResult *result)
{
  struct ColtBenchFleet *fleet;
  int kind;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    result->waits[kind] = g_array_new (FALSE, FALSE, sizeof (double));
  result->urgent_waits = g_array_new (FALSE, FALSE, sizeof (double));
  fleet = colt_bench_fleet_create (plan, ops, result);
  add_services_ (fleet);
  while (fleet->now_us < plan->seconds * COLT_US_PER_S)
    {
      fleet->now_us += TICK_US;
      add_requests_ (fleet);
      colt_bench_fleet_run_events (fleet);
      if (fleet->now_us % DIGEST_US == 0)
        colt_bench_fleet_send_digests (fleet);
      if (fleet->now_us % USAGE_US == 0)
        colt_bench_fleet_send_usage (fleet);
      if (plan->cancel_waves && fleet->now_us % WAVE_US == 0)
        colt_bench_fleet_cancel_wave (fleet);
      colt_bench_fleet_place_tasks (fleet);
      if (fleet->now_us % COLT_US_PER_S == 0)
        colt_bench_fleet_take_sample (fleet);
    }
  compute_results_ (fleet);
  colt_bench_fleet_destroy (fleet);
}

void
colt_bench_result_clear (struct ColtBenchResult *result)
{
  int kind;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    g_array_unref (result->waits[kind]);
  g_array_unref (result->urgent_waits);
}

static void
add_requests_ (struct ColtBenchFleet *fleet)
{
  const struct ColtBenchPlan *plan = fleet->plan;
  int64_t second = fleet->now_us / COLT_US_PER_S;
  bool peak = second >= plan->seconds / 3 && second < 2 * plan->seconds / 3;
  const struct ColtBenchStream *stream;

  for (stream = plan->streams; stream->rate > 0; stream++)
    {
      double rate = stream->rate * plan->load;
      unsigned count;

      if (peak && stream->follows_peak)
        rate *= plan->peak;
      count = gsl_ran_poisson (fleet->random,
                               rate * (double)TICK_US / (double)COLT_US_PER_S);
      while (count-- > 0)
        colt_bench_fleet_add_request (fleet, stream);
    }
}

static void
add_services_ (struct ColtBenchFleet *fleet)
{
  static const struct ColtBenchStream service
      = { COLT_WORK_SERVICE, 1, false, 1,    1000, 2000, 1024, 0,
          INFINITY,          0, 0,     false };
  unsigned i;

  for (i = 0; i < fleet->plan->services; i++)
    colt_bench_fleet_add_request (fleet, &service);
}

static void
compute_results_ (struct ColtBenchFleet *fleet)
{
  struct ColtBenchResult *result = fleet->result;
  const struct ColtBenchPlan *plan = fleet->plan;
  double samples = MAX (1, fleet->samples);
  double mean = 0;
  unsigned i;

  result->goodput /= samples;
  result->cores /= samples;
  result->accelerators /= samples;
  result->refused_by_servers
      = (double)fleet->refusals / (double)MAX (1, result->started);
  for (i = 0; i < plan->teams; i++)
    {
      fleet->shares[i] /= samples * (double)colt_bench_team_weight (i);
      mean += fleet->shares[i] / plan->teams;
    }
  for (i = 0; i < plan->teams; i++)
    result->share_distance
        = MAX (result->share_distance, fabs (fleet->shares[i] / mean - 1));
}
