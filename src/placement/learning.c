#include <math.h>

#include "placement_private.h"

/* Weight of a new observation. */
#define LEARNING_RATE 0.125
#define INTERVAL_RATE 0.0625
/* Observations before what was learned counts. */
#define SPEED_SEEN_MIN 3u
#define WORK_SEEN_MIN 4u
/* Bounds of what can be learned. */
#define SPEED_MIN 100.0
#define SPEED_MAX 4000.0
#define RATIO_MIN 0.1
#define RATIO_MAX 10.0
/* Most that a declared size is raised by. */
#define SIZE_RATIO_MAX 2.0

static void learn_ (double *mean, double sample, unsigned seen, double rate);
static double ratio_of_ (const struct ColtTaskReport *report,
                         const struct ColtPlacementTask *task,
                         enum ColtResource resource);
static int64_t raise_ (int64_t declared, double ratio);

double
colt_learned_run_ms (const struct ColtPlacementTeam *team,
                     const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];

  if (task->kind == COLT_WORK_SERVICE)
    return 0;
  if (task->run_ms > 0 && work->declared_seen >= WORK_SEEN_MIN)
    return (double)task->run_ms * exp (work->log_ratio);
  if (task->run_ms > 0)
    return (double)task->run_ms;
  return work->seen >= WORK_SEEN_MIN ? exp (work->log_run_ms) : 0;
}

double
colt_learned_short_run_ms (const struct ColtPlacementTeam *team,
                           const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];
  double run_ms = colt_learned_run_ms (team, task);

  return work->seen >= WORK_SEEN_MIN ? run_ms / (1 + work->deviation) : run_ms;
}

struct ColtResources
colt_learned_demand (const struct ColtPlacementTeam *team,
                     const struct ColtPlacementTask *task)
{
  const struct ColtLearnedWork *work = &team->work[task->kind];
  struct ColtResources demand = task->demand;

  if (work->seen < WORK_SEEN_MIN)
    return demand;
  demand.amount[COLT_RESOURCE_CORES]
      = raise_ (demand.amount[COLT_RESOURCE_CORES], work->cores_ratio);
  demand.amount[COLT_RESOURCE_MEMORY]
      = raise_ (demand.amount[COLT_RESOURCE_MEMORY], work->memory_ratio);
  return demand;
}

double
colt_learned_speed (const struct ColtPlacementServer *server,
                    enum ColtWorkKind kind)
{
  double told = server->digest.speed_permille;

  if (server->speeds[kind].seen >= SPEED_SEEN_MIN)
    return CLAMP (COLT_SPEED_NORMAL * exp (server->speeds[kind].log_speed),
                  SPEED_MIN, SPEED_MAX);
  return told > 0 ? CLAMP (told, SPEED_MIN, SPEED_MAX) : COLT_SPEED_NORMAL;
}

void
colt_learn (struct ColtPlacementTeam *team,
            struct ColtPlacementServer *server,
            const struct ColtPlacementTask *task,
            const struct ColtTaskReport *report)
{
  struct ColtLearnedWork *work = &team->work[task->kind];
  double expected_ms = colt_learned_run_ms (team, task);
  double run_ms = (double)MAX (report->run_ms, 1);

  if (report->state != COLT_TASK_FINISHED || task->kind == COLT_WORK_SERVICE)
    return;
  if (server != NULL && expected_ms > 0 && work->seen >= WORK_SEEN_MIN)
    {
      struct ColtSpeed *speed = &server->speeds[task->kind];

      learn_ (&speed->log_speed, log (expected_ms / run_ms), speed->seen++,
              LEARNING_RATE);
    }
  if (expected_ms > 0)
    learn_ (&work->deviation, ABS (run_ms - expected_ms) / expected_ms,
            work->seen, LEARNING_RATE);
  learn_ (&work->log_run_ms, log (run_ms), work->seen, LEARNING_RATE);
  learn_ (&work->cores_ratio, ratio_of_ (report, task, COLT_RESOURCE_CORES),
          work->seen, LEARNING_RATE);
  learn_ (&work->memory_ratio, ratio_of_ (report, task, COLT_RESOURCE_MEMORY),
          work->seen, LEARNING_RATE);
  work->seen++;
  if (task->run_ms > 0)
    learn_ (&work->log_ratio, log (run_ms / (double)task->run_ms),
            work->declared_seen++, LEARNING_RATE);
}

void
colt_learn_start (struct ColtPlacementTeam *team,
                  enum ColtWorkKind kind,
                  int64_t now_us)
{
  struct ColtLearnedWork *work = &team->work[kind];

  learn_ (&work->interval_us, (double)(now_us - work->last_start_us),
          work->intervals++, INTERVAL_RATE);
  work->last_start_us = now_us;
}

static void
learn_ (double *mean, double sample, unsigned seen, double rate)
{
  *mean = seen == 0 ? sample : *mean + rate * (sample - *mean);
}

static double
ratio_of_ (const struct ColtTaskReport *report,
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
raise_ (int64_t declared, double ratio)
{
  if (ratio <= 1)
    return declared;
  return (int64_t)((double)declared * MIN (ratio, SIZE_RATIO_MAX));
}
