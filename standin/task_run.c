#include "task_run.h"

#include "coltsfootstile/clock.h"

/* Work after which a service uses all of its memory. */
#define SERVICE_RAMP_US (4.0 * COLT_US_PER_S)
/* Part of the memory in use at the start. */
#define RAMP_START 0.5

static double rate_ (const struct ColtStandinRun *run);
static double work_at_ (const struct ColtStandinRun *run, int64_t now_us);
static int64_t time_of_work_ (const struct ColtStandinRun *run, double work_us);
static double total_us_ (const struct ColtStandinRun *run);
static double ramp_us_ (const struct ColtStandinRun *run);
static int64_t true_cores_ (const struct ColtStandinRun *run);
static int64_t true_memory_ (const struct ColtStandinRun *run);
static int64_t memory_end_us_ (const struct ColtStandinRun *run);
static void settle_ (struct ColtStandinRun *run, int64_t now_us);

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
  run->settled_us = now_us;
}

void
colt_standin_run_set_limit (struct ColtStandinRun *run,
                            const struct ColtResources *limit,
                            int64_t now_us)
{
  settle_ (run, now_us);
  run->limit = *limit;
}

void
colt_standin_run_set_speed (struct ColtStandinRun *run,
                            double speed,
                            int64_t now_us)
{
  settle_ (run, now_us);
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
  int64_t memory_us = memory_end_us_ (run);
  int64_t end_us = COLT_TIME_NEVER;

  if (!run->payload.forever)
    end_us = time_of_work_ (run, total_us_ (run));
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
  double part = RAMP_START + work_at_ (run, now_us) / ramp_us_ (run) / 2;
  int64_t cores = true_cores_ (run);

  if (part > 1)
    part = 1;
  *usage = run->limit;
  if (cores < run->limit.amount[COLT_RESOURCE_CORES])
    usage->amount[COLT_RESOURCE_CORES] = cores;
  usage->amount[COLT_RESOURCE_MEMORY]
      = (int64_t)(part * (double)true_memory_ (run));
}

/* A task that wants more cores than its limit is throttled. */
static double
rate_ (const struct ColtStandinRun *run)
{
  double limit = (double)run->limit.amount[COLT_RESOURCE_CORES];
  double wanted = (double)true_cores_ (run);

  if (wanted <= limit)
    return run->speed;
  return run->speed * limit / wanted;
}

static double
work_at_ (const struct ColtStandinRun *run, int64_t now_us)
{
  return run->done_us + rate_ (run) * (double)(now_us - run->settled_us);
}

static int64_t
time_of_work_ (const struct ColtStandinRun *run, double work_us)
{
  double rate = rate_ (run);

  if (work_us <= run->done_us)
    return run->settled_us;
  if (rate <= 0 || (work_us - run->done_us) / rate > (double)(INT64_MAX / 4))
    return COLT_TIME_NEVER;
  return run->settled_us + (int64_t)((work_us - run->done_us) / rate);
}

static double
total_us_ (const struct ColtStandinRun *run)
{
  return (double)run->payload.run_ms * COLT_US_PER_MS;
}

/* Work after which all of the memory is in use; never 0. */
static double
ramp_us_ (const struct ColtStandinRun *run)
{
  if (run->payload.forever)
    return SERVICE_RAMP_US;
  return total_us_ (run) / 2 + 1;
}

static int64_t
true_cores_ (const struct ColtStandinRun *run)
{
  if (run->payload.cores_milli < 0)
    return run->limit.amount[COLT_RESOURCE_CORES];
  return run->payload.cores_milli;
}

static int64_t
true_memory_ (const struct ColtStandinRun *run)
{
  if (run->payload.memory_mb < 0)
    return run->limit.amount[COLT_RESOURCE_MEMORY];
  return run->payload.memory_mb;
}

static int64_t
memory_end_us_ (const struct ColtStandinRun *run)
{
  double limit = (double)run->limit.amount[COLT_RESOURCE_MEMORY];
  double wanted = (double)true_memory_ (run);

  if (wanted <= limit)
    return COLT_TIME_NEVER;
  return time_of_work_ (run,
                        (limit / wanted - RAMP_START) * 2 * ramp_us_ (run));
}

static void
settle_ (struct ColtStandinRun *run, int64_t now_us)
{
  run->done_us = work_at_ (run, now_us);
  run->settled_us = now_us;
}
