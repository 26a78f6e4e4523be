#include "task_run.h"

#include "coltsfootstile/clock.h"

/* Work after which a task that runs forever uses all of its memory. */
#define SERVICE_RAMP_US (4.0 * COLT_US_PER_S)
/* Fraction of the memory that is in use at the start. */
#define RAMP_START 0.5

static double work_rate_ (const struct ColtStandinRun *run);
static double work_at_ (const struct ColtStandinRun *run, int64_t now_us);
static int64_t time_of_work_ (const struct ColtStandinRun *run, double work_us);
static double total_work_us_ (const struct ColtStandinRun *run);
static double ramp_work_us_ (const struct ColtStandinRun *run);
static int64_t needed_cores_ (const struct ColtStandinRun *run);
static int64_t needed_memory_ (const struct ColtStandinRun *run);
static int64_t out_of_memory_us_ (const struct ColtStandinRun *run);
static void update_work_done_ (struct ColtStandinRun *run, int64_t now_us);

void
colt_standin_run_begin (struct ColtStandinRun *run,
                        const struct ColtStandinPayload *payload,
                        const struct ColtResources *limit,
                        double speed,
                        int64_t now_us)
{
  run->payload = *payload;
  run->limit = *limit;
  run->speed = speed;
  run->done_us = (double)payload->done_ms * COLT_US_PER_MS;
  run->updated_us = now_us;
}

void
colt_standin_run_set_limit (struct ColtStandinRun *run,
                            const struct ColtResources *limit,
                            int64_t now_us)
{
  update_work_done_ (run, now_us);
  run->limit = *limit;
}

void
colt_standin_run_set_speed (struct ColtStandinRun *run,
                            double speed,
                            int64_t now_us)
{
  update_work_done_ (run, now_us);
  run->speed = speed;
}

int64_t
colt_standin_run_done_ms (const struct ColtStandinRun *run, int64_t now_us)
{
  return (int64_t)(work_at_ (run, now_us) / COLT_US_PER_MS);
}

int64_t
colt_standin_run_end_us (const struct ColtStandinRun *run, int *exit_status)
{
  int64_t memory_us = out_of_memory_us_ (run);
  int64_t end_us = COLT_TIME_NEVER;

  if (!run->payload.forever)
    end_us = time_of_work_ (run, total_work_us_ (run));
  *exit_status = run->payload.fail ? COLT_STANDIN_EXIT_FAILED : 0;
  if (memory_us >= end_us)
    return end_us;
  *exit_status = COLT_STANDIN_EXIT_MEMORY;
  return memory_us;
}

void
colt_standin_run_usage (const struct ColtStandinRun *run,
                        int64_t now_us,
                        struct ColtResources *usage)
{
  double fraction
      = RAMP_START + work_at_ (run, now_us) / ramp_work_us_ (run) / 2;
  int64_t cores = needed_cores_ (run);

  if (fraction > 1)
    fraction = 1;
  *usage = run->limit;
  if (cores < run->limit.amount[COLT_RESOURCE_CORES])
    usage->amount[COLT_RESOURCE_CORES] = cores;
  usage->amount[COLT_RESOURCE_MEMORY]
      = (int64_t)(fraction * (double)needed_memory_ (run));
}

/* Returns the work done per microsecond. A task that needs more cores than its
 * limit is throttled. */
static double
work_rate_ (const struct ColtStandinRun *run)
{
  double limit = (double)run->limit.amount[COLT_RESOURCE_CORES];
  double needed = (double)needed_cores_ (run);

  if (needed <= limit)
    return run->speed;
  return run->speed * limit / needed;
}

static double
work_at_ (const struct ColtStandinRun *run, int64_t now_us)
{
  return run->done_us + work_rate_ (run) * (double)(now_us - run->updated_us);
}

static int64_t
time_of_work_ (const struct ColtStandinRun *run, double work_us)
{
  double rate = work_rate_ (run);

  if (work_us <= run->done_us)
    return run->updated_us;
  if (rate <= 0 || (work_us - run->done_us) / rate > (double)(INT64_MAX / 4))
    return COLT_TIME_NEVER;
  return run->updated_us + (int64_t)((work_us - run->done_us) / rate);
}

static double
total_work_us_ (const struct ColtStandinRun *run)
{
  return (double)run->payload.run_ms * COLT_US_PER_MS;
}

/* Returns the work after which all of the memory is in use; it is above 0. */
static double
ramp_work_us_ (const struct ColtStandinRun *run)
{
  if (run->payload.forever)
    return SERVICE_RAMP_US;
  return total_work_us_ (run) / 2 + 1;
}

static int64_t
needed_cores_ (const struct ColtStandinRun *run)
{
  if (run->payload.cores_milli < 0)
    return run->limit.amount[COLT_RESOURCE_CORES];
  return run->payload.cores_milli;
}

static int64_t
needed_memory_ (const struct ColtStandinRun *run)
{
  if (run->payload.memory_mb < 0)
    return run->limit.amount[COLT_RESOURCE_MEMORY];
  return run->payload.memory_mb;
}

static int64_t
out_of_memory_us_ (const struct ColtStandinRun *run)
{
  double limit = (double)run->limit.amount[COLT_RESOURCE_MEMORY];
  double needed = (double)needed_memory_ (run);

  if (needed <= limit)
    return COLT_TIME_NEVER;
  return time_of_work_ (run, (limit / needed - RAMP_START) * 2
                                 * ramp_work_us_ (run));
}

static void
update_work_done_ (struct ColtStandinRun *run, int64_t now_us)
{
  run->done_us = work_at_ (run, now_us);
  run->updated_us = now_us;
}
