#include <math.h>

#include "placement_private.h"

/* Weights of a new sample in the moving averages. */
#define LEARNING_RATE 0.125
#define INTERVAL_RATE 0.0625
/* Samples from which an average is used. */
#define SPEED_SAMPLES_MIN 3u
#define WORK_SAMPLES_MIN 4u
/* Bounds of speeds, in thousandths, and of the ratio of used to declared
 * amounts. */
#define SPEED_MIN 100.0
#define SPEED_MAX 4000.0
#define RATIO_MIN 0.1
#define RATIO_MAX 10.0
/* Largest factor by which a declared amount is raised. */
#define SIZE_RATIO_MAX 2.0

static void
update_mean_ (double *mean, double sample, unsigned samples, double rate);
static double compute_usage_ratio_ (const struct ColtTaskReport *report,
                                    const struct ColtPlacementTask *task,
                                    enum ColtResource resource);
static int64_t scale_up_ (int64_t declared, double ratio);

double
colt_estimate_run_ms (const struct ColtPlacementTeam *team,
                      const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];

  if (task->kind == COLT_WORK_SERVICE)
    return 0;
  if (task->run_ms > 0 && work->declared_samples >= WORK_SAMPLES_MIN)
    return (double)task->run_ms * exp (work->log_ratio);
  if (task->run_ms > 0)
    return (double)task->run_ms;
  return work->samples >= WORK_SAMPLES_MIN ? exp (work->log_run_ms) : 0;
}

double
colt_estimate_min_run_ms (const struct ColtPlacementTeam *team,
                          const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];
  double run_ms = colt_estimate_run_ms (team, task);

  return work->samples >= WORK_SAMPLES_MIN ? run_ms / (1 + work->deviation)
                                           : run_ms;
}

struct ColtResources
colt_estimate_demand (const struct ColtPlacementTeam *team,
                      const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];
  struct ColtResources demand = task->demand;

  if (work->samples < WORK_SAMPLES_MIN)
    return demand;
  demand.amount[COLT_RESOURCE_CORES]
      = scale_up_ (demand.amount[COLT_RESOURCE_CORES], work->cores_ratio);
  demand.amount[COLT_RESOURCE_MEMORY]
      = scale_up_ (demand.amount[COLT_RESOURCE_MEMORY], work->memory_ratio);
  return demand;
}

double
colt_estimate_speed (const struct ColtPlacementServer *server,
                     enum ColtWorkKind kind)
{
  double reported = server->digest.speed_permille;

  if (server->speeds[kind].samples >= SPEED_SAMPLES_MIN)
    return CLAMP (COLT_SPEED_NORMAL * exp (server->speeds[kind].log_speed),
                  SPEED_MIN, SPEED_MAX);
  return reported > 0 ? CLAMP (reported, SPEED_MIN, SPEED_MAX)
                      : COLT_SPEED_NORMAL;
}

void
colt_learn_from_report (struct ColtPlacementTeam *team,
                        struct ColtPlacementServer *server,
                        const struct ColtPlacementTask *task,
                        const struct ColtTaskReport *report)
{
  struct ColtLearnedWork *work = &team->work[task->kind];
  double expected_ms = colt_estimate_run_ms (team, task);
  double run_ms = (double)MAX (report->run_ms, 1);

  if (report->state != COLT_TASK_FINISHED || task->kind == COLT_WORK_SERVICE)
    return;
  if (server != NULL && expected_ms > 0 && work->samples >= WORK_SAMPLES_MIN)
    {
      struct ColtSpeed *speed = &server->speeds[task->kind];

      update_mean_ (&speed->log_speed, log (expected_ms / run_ms),
                    speed->samples++, LEARNING_RATE);
    }
  if (expected_ms > 0)
    update_mean_ (&work->deviation, ABS (run_ms - expected_ms) / expected_ms,
                  work->samples, LEARNING_RATE);
  update_mean_ (&work->log_run_ms, log (run_ms), work->samples, LEARNING_RATE);
  update_mean_ (&work->cores_ratio,
                compute_usage_ratio_ (report, task, COLT_RESOURCE_CORES),
                work->samples, LEARNING_RATE);
  update_mean_ (&work->memory_ratio,
                compute_usage_ratio_ (report, task, COLT_RESOURCE_MEMORY),
                work->samples, LEARNING_RATE);
  work->samples++;
  if (task->run_ms > 0)
    update_mean_ (&work->log_ratio, log (run_ms / (double)task->run_ms),
                  work->declared_samples++, LEARNING_RATE);
}

void
colt_learn_start_interval (struct ColtPlacementTeam *team,
                           enum ColtWorkKind kind,
                           int64_t now_us)
{
  struct ColtLearnedWork *work = &team->work[kind];

  update_mean_ (&work->interval_us, (double)(now_us - work->last_start_us),
                work->interval_samples++, INTERVAL_RATE);
  work->last_start_us = now_us;
}

static void
update_mean_ (double *mean, double sample, unsigned samples, double rate)
{
  *mean = samples == 0 ? sample : *mean + rate * (sample - *mean);
}

static double
compute_usage_ratio_ (const struct ColtTaskReport *report,
                      const struct ColtPlacementTask *task,
                      enum ColtResource resource)
{
  int64_t declared = task->demand.amount[resource];

  if (declared <= 0)
    return 1;
  return CLAMP ((double)report->usage.amount[resource] / (double)declared,
                RATIO_MIN, RATIO_MAX);
}

static int64_t
scale_up_ (int64_t declared, double ratio)
{
  if (ratio <= 1)
    return declared;
  return (int64_t)((double)declared * MIN (ratio, SIZE_RATIO_MAX));
}
