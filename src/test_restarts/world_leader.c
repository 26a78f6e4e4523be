#include <stdlib.h>
#include <string.h>

#include "virtual_time.h"
#include "world_private.h"

/* Period in which the leader's claim is renewed. */
#define CONFIRM_US (200 * COLT_US_PER_MS)
/* Time without a leader. */
#define VACANCY_MAX_MS 3000
/* Longest lease that servers grant, in milliseconds. */
#define LEASE_MAX_LEAST_MS 2000
#define LEASE_MAX_MOST_MS 6000
#define STATUS_S 3600
/* Past use counts in the plays with odd seeds. */
#define HALF_LIFE_S 30
#define WAIT_MAX_MS 2000
#define PATIENCE_MS 3000
#define QUEUE "queue"
/* Most tasks of a narrow and of a wide step. */
#define NARROW_TASKS 4
#define WIDE_TASKS 24
/* Probability that a job has a wide step. */
#define WIDE_JOBS 0.04
/* Time until a job is cancelled. */
#define CANCEL_MAX_MS 4000

static void
handle_fenced (void *client)
{
  colt_world_break (client, RULE_FENCE, "a server or the log rejected it");
}

static bool
reject_advice_call (void *client, uint64_t number, const ColtAdviceCall *call)
{
  (void)client;
  (void)number;
  (void)call;
  return false;
}

static struct ColtFleet *
make_fleet (const struct ColtWorld *world)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue;

  fleet->version = world->queue_dropped ? 2 : 1;
  if (world->queue_dropped)
    return fleet;
  queue = colt_fleet_add_queue (fleet);
  queue->name = g_strdup (QUEUE);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 5;
  return fleet;
}

static void
create_leader (struct ColtWorld *world)
{
  const struct ColtLeaderClient client
      = { handle_fenced, reject_advice_call, world };
  struct ColtFleet *fleet = make_fleet (world);

  world->leader
      = colt_leader_create (world->base, &world->ports, &world->settings,
                            ++world->term, &client, world->metrics);
  colt_leader_set_fleet (world->leader, fleet);
  colt_leader_set_confirmed (world->leader, colt_virtual_time_us ());
  colt_fleet_unref (fleet);
  world->result->leaders++;
}

static void
drop_queue (struct ColtWorld *world, void *arg)
{
  struct ColtFleet *fleet;

  (void)arg;
  world->queue_dropped = true;
  fleet = make_fleet (world);
  if (world->leader != NULL)
    colt_leader_set_fleet (world->leader, fleet);
  colt_fleet_unref (fleet);
}

/* No task of a term may have been found stalled. */
static void
destroy_leader (struct ColtWorld *world)
{
  struct ColtLeader *leader = world->leader;
  struct ColtCellStats stats;

  colt_cell_get_stats (colt_leader_cell (leader), &stats);
  g_assert_cmpuint (stats.stalled, ==, 0);
  world->leader = NULL;
  colt_leader_destroy (leader);
}

static void
confirm_leader (struct ColtWorld *world, void *arg)
{
  (void)arg;
  if (world->leader != NULL)
    colt_leader_set_confirmed (world->leader, colt_virtual_time_us ());
  colt_world_at (world, colt_virtual_time_us () + CONFIRM_US, confirm_leader,
                 NULL);
}

static void
succeed_leader (struct ColtWorld *world, void *arg)
{
  (void)arg;
  create_leader (world);
}

void
colt_world_end_leader (struct ColtWorld *world, void *arg)
{
  guint i;

  (void)arg;
  if (world->leader == NULL)
    return;
  for (i = 0; i < world->servers->len; i++)
    colt_world_note (g_ptr_array_index (world->servers, i),
                     "the leader of term %llu ends",
                     (unsigned long long)world->term);
  destroy_leader (world);
  colt_world_at (world,
                 colt_virtual_time_us ()
                     + colt_world_draw_us (world, 1, VACANCY_MAX_MS),
                 succeed_leader, NULL);
}

static void
change_leader (struct ColtWorld *world, void *arg)
{
  int64_t now_us = colt_virtual_time_us ();

  (void)arg;
  if (!world->faults)
    return;
  colt_world_end_leader (world, NULL);
  colt_world_at (
      world,
      now_us + colt_world_draw_pause_us (world, world->plan->leader_changes),
      change_leader, NULL);
}

static void
add_step (struct ColtWorld *world, ColtJobSpec *spec, uint32_t tasks)
{
  ColtJobStep *step = malloc (sizeof *step);

  g_assert_nonnull (step);
  colt_job_step__init (step);
  step->count = 1 + g_rand_int_range (world->rand, 0, (gint32)tasks);
  step->cpu_milli = 1000;
  step->memory_mb = 100;
  step->estimate_ms = 1500;
  if (spec->n_steps > 0)
    {
      step->after = calloc (1, sizeof *step->after);
      step->n_after = 1;
      step->after[0] = (uint32_t)spec->n_steps - 1;
    }
  spec->steps[spec->n_steps++] = step;
}

static ColtJobSpec *
make_job (struct ColtWorld *world, const char *id)
{
  ColtJobSpec *spec = malloc (sizeof *spec);

  g_assert_nonnull (spec);
  colt_job_spec__init (spec);
  spec->id = strdup (id);
  spec->organisation = strdup ("organisation");
  spec->queue = strdup (QUEUE);
  spec->payload = strdup ("payload");
  spec->steps = calloc (2, sizeof (ColtJobStep *));
  add_step (
      world, spec,
      colt_world_draw (world, WIDE_JOBS)
          ? (world->plan->wide_tasks > 0 ? world->plan->wide_tasks : WIDE_TASKS)
          : NARROW_TASKS);
  if (colt_world_draw (world, 0.3))
    add_step (world, spec, NARROW_TASKS);
  return spec;
}

static void
handle_submit_reply (void *client, const ColtCallerReply *reply)
{
  struct ColtWorldJob *job = client;

  job->accepted = !reply->try_again && reply->answer == COLT_ANSWER_ACCEPTED;
}

static void
ignore_reply (void *client, const ColtCallerReply *reply)
{
  (void)client;
  (void)reply;
}

static void
cancel_job (struct ColtWorld *world, void *arg)
{
  const struct ColtWorldJob *job = arg;
  ColtCallerCall call = COLT_CALLER_CALL__INIT;

  if (world->leader == NULL)
    return;
  call.kind = COLT_CALLER_CANCEL;
  call.id = (char *)job->id;
  call.patience_ms = PATIENCE_MS;
  colt_leader_handle_call (world->leader, &call, ignore_reply, NULL);
}

static void
submit_job (struct ColtWorld *world, void *arg)
{
  struct ColtWorldJob *job;
  ColtCallerCall call = COLT_CALLER_CALL__INIT;
  int64_t now_us = colt_virtual_time_us ();
  char id[COLT_JOB_ID_LENGTH + 1];

  (void)arg;
  if (!world->faults)
    return;
  colt_world_at (world,
                 now_us + colt_world_draw_pause_us (world, world->plan->jobs),
                 submit_job, NULL);
  if (world->leader == NULL || !colt_leader_is_serving (world->leader))
    return;
  job = colt_world_alloc (world, sizeof *job);
  g_snprintf (id, sizeof id, "%016x", world->jobs->len + 1);
  job->id = g_string_chunk_insert (world->strings, id);
  g_ptr_array_add (world->jobs, job);
  call.kind = COLT_CALLER_SUBMIT;
  call.id = (char *)job->id;
  call.spec = make_job (world, job->id);
  call.patience_ms = PATIENCE_MS;
  colt_leader_handle_call (world->leader, &call, handle_submit_reply, job);
  if (call.spec != NULL)
    colt_job_spec__free_unpacked (call.spec, NULL);
  if (colt_world_draw (world, world->plan->cancels))
    colt_world_at (world, now_us + colt_world_draw_us (world, 0, CANCEL_MAX_MS),
                   cancel_job, job);
}

uint32_t
colt_world_count_open_jobs (struct ColtWorld *world)
{
  uint32_t open = 0;
  guint i;

  world->result->accepted = 0;
  for (i = 0; i < world->jobs->len; i++)
    {
      const struct ColtWorldJob *job = g_ptr_array_index (world->jobs, i);
      enum ColtJobState state = COLT_JOB_QUEUED;

      if (!job->accepted)
        continue;
      world->result->accepted++;
      if (world->leader == NULL || !colt_leader_is_serving (world->leader)
          || !colt_cell_get_state (colt_leader_cell (world->leader), job->id,
                                   &state)
          || state < COLT_JOB_COMPLETED)
        open++;
    }
  return open;
}

void
colt_world_init_leader (struct ColtWorld *world)
{
  int64_t now_us = colt_virtual_time_us ();

  world->settings.lease_max_ms = (uint32_t)g_rand_int_range (
      world->rand, LEASE_MAX_LEAST_MS, LEASE_MAX_MOST_MS);
  if (world->plan->lease_max_ms > 0)
    world->settings.lease_max_ms = world->plan->lease_max_ms;
  world->settings.status_s = STATUS_S;
  /* Nothing that is checked depends on the order of waiting work. */
  if (world->plan->seed % 2 == 1)
    {
      world->settings.half_life_s = HALF_LIFE_S;
      world->settings.wait_max_ms = WAIT_MAX_MS;
    }
  world->metrics = colt_metrics_create ();
  create_leader (world);
  colt_world_at (world, now_us + CONFIRM_US, confirm_leader, NULL);
  colt_world_at (world, now_us + COLT_US_PER_S, submit_job, NULL);
  if (world->plan->queue_dropped_s > 0)
    colt_world_at (world, now_us + world->plan->queue_dropped_s * COLT_US_PER_S,
                   drop_queue, NULL);
  if (world->plan->leader_changes > 0)
    colt_world_at (world, now_us + 2 * COLT_US_PER_S, change_leader, NULL);
}

void
colt_world_free_leader (struct ColtWorld *world)
{
  if (world->leader != NULL)
    destroy_leader (world);
  colt_metrics_destroy (world->metrics);
}
