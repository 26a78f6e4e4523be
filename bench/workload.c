#include <gsl/gsl_randist.h>
#include <math.h>

#include "bench.h"

static int64_t draw_doubled_ (gsl_rng *random, int64_t low, int64_t high);
static unsigned draw_team_ (gsl_rng *random, unsigned teams);

int64_t
colt_bench_team_weight (unsigned team)
{
  static const int64_t weights[] = { 4, 3, 2, 1, 1, 1 };

  return weights[team % G_N_ELEMENTS (weights)];
}

struct ColtBundle *
colt_bench_create_bundle (unsigned teams)
{
  GString *text
      = g_string_new ("[bundle]\nversion = 1\nparent = none\n"
                      "operator = 1111111111111111111111111111111111111111"
                      "111111111111111111111111\n"
                      "[organisation all]\ntitle = All\n");
  struct ColtError error;
  struct ColtBundle *bundle;
  unsigned i;

  for (i = 0; i < teams; i++)
    g_string_append_printf (text,
                            "[team team-%u]\norganisation = all\nweight = %d\n"
                            "limit_tasks = 100000\n",
                            i, (int)colt_bench_team_weight (i));
  g_string_append (text, "[work interactive]\npolicy = fastest\npriority = 7\n"
                         "max_attempts = 3\n"
                         "[work service]\npolicy = spread\npriority = 5\n"
                         "max_attempts = 5\n"
                         "[work batch]\npolicy = pack\npriority = 1\n"
                         "max_attempts = 3\n"
                         "[work gang]\npolicy = pack\npriority = 2\n"
                         "max_attempts = 2\n"
                         "[zone 1]\nregion = here\n");
  bundle = colt_bundle_parse (text->str, NULL, &error);
  if (bundle == NULL)
    g_error ("bench bundle is invalid: %s", error.message);
  g_string_free (text, TRUE);
  return bundle;
}

void
colt_bench_draw_request (const struct ColtBenchPlan *plan,
                         const struct ColtBenchStream *stream,
                         gsl_rng *random,
                         struct ColtPlacementTask *task,
                         struct ColtResources *real,
                         double *real_ms)
{
  int64_t *demand = task->demand.amount;
  double run_ms
      = gsl_ran_lognormal (random, log (stream->run_ms), stream->run_sigma);
  int i;

  g_snprintf (task->team, sizeof task->team, "team-%u",
              draw_team_ (random, plan->teams));
  task->kind = stream->kind;
  task->tasks = stream->tasks;
  task->urgent = stream->urgent;
  demand[COLT_RESOURCE_CORES]
      = draw_doubled_ (random, stream->cores_min, stream->cores_max);
  if (stream->accelerators_max > 0)
    {
      demand[COLT_RESOURCE_ACCELERATORS]
          = draw_doubled_ (random, 1, stream->accelerators_max);
      demand[COLT_RESOURCE_CORES]
          = stream->cores_min * demand[COLT_RESOURCE_ACCELERATORS];
    }
  demand[COLT_RESOURCE_MEMORY]
      = demand[COLT_RESOURCE_CORES] * stream->memory_per_core_mb / 1000;
  demand[COLT_RESOURCE_SLOTS] = 1;
  demand[COLT_RESOURCE_CONNECTIONS]
      = stream->kind == COLT_WORK_INTERACTIVE ? 2 : 1;
  task->run_ms = MAX (
      1, (int64_t)(run_ms * gsl_ran_lognormal (random, 0, plan->time_error)));
  *real_ms = run_ms;
  *real = task->demand;
  for (i = COLT_RESOURCE_CORES; i <= COLT_RESOURCE_MEMORY; i++)
    real->amount[i]
        = (int64_t)((double)demand[i]
                    * MIN (1.5,
                           gsl_ran_lognormal (random, -0.3, plan->size_error)));
}

/* Draws a value doubled a random number of times; each further doubling has the
 * probability 1/2. */
static int64_t
draw_doubled_ (gsl_rng *random, int64_t low, int64_t high)
{
  int64_t value = low;

  while (value < high && gsl_rng_uniform (random) < 0.5)
    value *= 2;
  return MIN (value, high);
}

/* Draws a team with a probability in proportion to its weight. The first teams
 * are the largest, and every team has some work. */
static unsigned
draw_team_ (gsl_rng *random, unsigned teams)
{
  double total = 0;
  double point;
  unsigned i;

  for (i = 0; i < teams; i++)
    total += (double)colt_bench_team_weight (i);
  point = gsl_rng_uniform (random) * total;
  for (i = 0; i + 1 < teams; i++)
    {
      point -= (double)colt_bench_team_weight (i);
      if (point < 0)
        break;
    }
  return i;
}
