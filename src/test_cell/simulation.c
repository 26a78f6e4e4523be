#include <stdlib.h>
#include <string.h>

#include "simulation_private.h"

/* Time until the leases of earlier leaders have expired: with 1/20 for clock
 * drift and 400 ms of slack, as the scheduler waits. */
/* Objectives and expected durations of tasks, if policies are simulated. */
#define STRETCH 1.2
#define ESTIMATE_MS 100
#define SETTLE_US (LEASE_US + LEASE_US / 20 + 400 * COLT_US_PER_MS)
/* Longest time from the order of a start to its result: partitions of 9 s, and
 * the leases of the servers. */
#define RUN_WAIT_US (20 * COLT_US_PER_S)
/* Past use counts in the plays with odd seeds. */
#define HALF_LIFE_US (30 * COLT_US_PER_S)
#define WAIT_MAX_US (2 * COLT_US_PER_S)
/* Time until a batch of records is durable. */
#define COMMIT_DURATION_US (30 * COLT_US_PER_MS)
/* Longest outage of the log. */
#define LOG_OUTAGE_MAX_MS 3000
/* Steps without faults at the end: leases expire and waiting tasks run. */
#define RECOVERY_STEPS 8000
#define QUEUE "queue"
#define ORGANISATION "organisation"

bool
colt_sim_draw (struct ColtSim *sim, double probability)
{
  return g_rand_double (sim->rand) < probability;
}

struct ColtSimTaskTruth *
colt_sim_get_truth (struct ColtSim *sim, const char *task)
{
  struct ColtSimTaskTruth *truth = g_hash_table_lookup (sim->truth, task);

  if (truth == NULL)
    {
      truth = g_new0 (struct ColtSimTaskTruth, 1);
      g_hash_table_insert (sim->truth, g_strdup (task), truth);
    }
  return truth;
}

static void
begin_batch (struct ColtSim *sim)
{
  GArray *acks = sim->batch_acks;

  sim->batch = colt_cell_take_records (sim->cell, SIZE_MAX,
                                       sim->now_us / COLT_US_PER_MS);
  sim->batch_durable_us = sim->now_us + COMMIT_DURATION_US;
  sim->batch_acks = sim->acks;
  sim->acks = acks;
}

static void
store_batch (struct ColtSim *sim)
{
  guint i;

  for (i = 0; i < sim->batch->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (sim->batch, struct ColtCellRecord, i);

      if (record->value == NULL)
        g_hash_table_remove (sim->records, record->key);
      else
        g_hash_table_insert (sim->records, g_strdup (record->key),
                             g_bytes_new (record->value, record->size));
    }
}

static void
advance_commit (struct ColtSim *sim)
{
  guint i;

  if (sim->batch == NULL)
    begin_batch (sim);
  if (sim->plan->log_outages > 0 && sim->now_us >= sim->log_down_until_us
      && colt_sim_draw (sim, sim->plan->log_outages))
    sim->log_down_until_us
        = sim->now_us
          + g_rand_int_range (sim->rand, 100, LOG_OUTAGE_MAX_MS)
                * COLT_US_PER_MS;
  if (sim->now_us < MAX (sim->batch_durable_us, sim->log_down_until_us))
    return;
  store_batch (sim);
  colt_cell_free_records (sim->batch);
  sim->batch = NULL;
  colt_cell_confirm_batch (sim->cell, sim->now_us);
  for (i = 0; i < sim->batch_acks->len; i++)
    {
      const struct ColtSimAck *ack
          = &g_array_index (sim->batch_acks, struct ColtSimAck, i);

      if (ack->incarnation_ms == ack->server->incarnation_ms)
        ack->server->acked_end = MAX (ack->server->acked_end, ack->number);
    }
  g_array_set_size (sim->batch_acks, 0);
}

/* Loads the specifications of jobs if specs is true, otherwise the progress
 * records, which apply to them. */
static void
load_records (struct ColtSim *sim, bool specs)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, sim->records);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      gsize size;
      const uint8_t *bytes = g_bytes_get_data (value, &size);

      if ((((const char *)key)[0] == 'p') == specs)
        continue;
      g_assert_true (colt_cell_load (sim->cell, key, bytes, size, sim->now_us,
                                     sim->now_us / COLT_US_PER_MS));
    }
}

static void
set_evacuated (struct ColtSim *sim, uint32_t zone, bool evacuated)
{
  char name[ZONE_SIZE];

  g_snprintf (name, sizeof name, "zone-%u", zone);
  sim->evacuated[zone] = evacuated;
  colt_cell_set_evacuated (sim->cell, name, evacuated, sim->now_us);
}

/* Lets a request to evacuate a zone begin or end. */
static void
change_evacuations (struct ColtSim *sim)
{
  uint32_t zone;

  if (sim->plan->evacuations <= 0
      || !colt_sim_draw (sim, sim->plan->evacuations))
    return;
  zone = (uint32_t)g_rand_int_range (sim->rand, 0, ZONES);
  set_evacuated (sim, zone, !sim->evacuated[zone]);
  sim->result->evacuations += sim->evacuated[zone];
}

/* Creates the cell of the next leader from the durable records alone. The batch
 * that is being written survives by chance. */
static void
replace_leader (struct ColtSim *sim)
{
  struct ColtCellLimits limits = { .status_us = 3600 * COLT_US_PER_S,
                                   .stop_retry_us = 800 * COLT_US_PER_MS,
                                   .advice_servers_max = 30,
                                   .run_wait_us = RUN_WAIT_US,
                                   .forecasts = sim->plan->policies,
                                   .created_us = sim->now_us };
  uint32_t s;

  /* Nothing that is checked depends on the order of waiting work. */
  if (sim->plan->seed % 2 == 1)
    {
      limits.half_life_us = HALF_LIFE_US;
      limits.wait_max_us = WAIT_MAX_US;
    }
  if (sim->batch != NULL)
    {
      if (colt_sim_draw (sim, 0.5))
        store_batch (sim);
      colt_cell_free_records (sim->batch);
      sim->batch = NULL;
    }
  g_array_set_size (sim->acks, 0);
  g_array_set_size (sim->batch_acks, 0);
  colt_cell_destroy (sim->cell);
  sim->generation++;
  g_test_message ("%lld ms: leader %u takes over",
                  (long long)(sim->now_us / COLT_US_PER_MS), sim->generation);
  sim->result->leaders = sim->generation;
  sim->cell
      = colt_cell_create (&colt_sim_cell_ops, sim, &limits, sim->generation);
  colt_cell_set_fleet (sim->cell, sim->fleet);
  for (s = 0; s < ZONES; s++)
    set_evacuated (sim, s, sim->evacuated[s]);
  colt_cell_set_advisers (sim->cell, 4);
  load_records (sim, true);
  load_records (sim, false);
  colt_cell_finish_loading (sim->cell, sim->now_us + SETTLE_US);
  for (s = 0; s < sim->server_count; s++)
    {
      sim->servers[s].acked_end = 0;
      sim->servers[s].expiry_us = 0;
      sim->servers[s].failed_renewals = 0;
      sim->servers[s].next_renewal_us = sim->now_us;
      sim->servers[s].known_incarnation_ms = 0;
      sim->servers[s].known = false;
    }
}

/* Makes one task of a job crash the servers that start it. */
static void
make_deadly (struct ColtSim *sim, struct ColtSimJob *job, ColtJobSpec *spec)
{
  gint32 step = g_rand_int_range (sim->rand, 0, (gint32)spec->n_steps);
  gint32 task
      = g_rand_int_range (sim->rand, 0, (gint32)spec->steps[step]->count);
  char *name = g_strdup_printf ("%s.0.%d.%d", job->id, step, task);

  job->deadly = true;
  colt_sim_get_truth (sim, name)->deadly = true;
  g_free (name);
}

static void
submit_job (struct ColtSim *sim)
{
  struct ColtSimJob *job = g_new0 (struct ColtSimJob, 1);
  ColtJobSpec *spec = malloc (sizeof *spec);
  enum ColtSubmitResult result;
  uint32_t steps = (uint32_t)g_rand_int_range (sim->rand, 1, 4);
  uint32_t cpu = (uint32_t)g_rand_int_range (sim->rand, 200, 2000);
  uint32_t i;

  colt_job_spec__init (spec);
  g_snprintf (job->id, sizeof job->id, "%016x", sim->job_list->len + 1);
  spec->id = strdup (job->id);
  spec->organisation = strdup (ORGANISATION);
  spec->queue = strdup (QUEUE);
  spec->payload = strdup ("payload");
  spec->steps = calloc (steps, sizeof *spec->steps);
  for (i = 0; i < steps; i++)
    {
      ColtJobStep *step = malloc (sizeof *step);

      colt_job_step__init (step);
      step->count = (uint32_t)g_rand_int_range (sim->rand, 1, 5);
      step->cpu_milli = cpu;
      step->memory_mb = 1;
      step->estimate_ms = sim->plan->policies ? ESTIMATE_MS : 0;
      if (i > 0)
        {
          step->after = calloc (1, sizeof *step->after);
          step->after[0] = i - 1;
          step->n_after = 1;
        }
      spec->steps[spec->n_steps++] = step;
    }
  job->cpu = cpu;
  job->early = sim->now_us < sim->half_time_us;
  g_hash_table_insert (sim->jobs, job->id, job);
  g_ptr_array_add (sim->job_list, job);
  if (sim->plan->deadly_tasks > 0
      && colt_sim_draw (sim, sim->plan->deadly_tasks))
    make_deadly (sim, job, spec);
  result = colt_cell_submit (sim->cell, spec, sim->now_us);
  if (!sim->plan->policies || result == COLT_SUBMIT_NEW)
    {
      g_assert_cmpint (result, ==, COLT_SUBMIT_NEW);
      return;
    }
  g_assert_cmpint (result, ==, COLT_SUBMIT_TOO_LATE);
  sim->result->rejected++;
  colt_job_spec__free_unpacked (spec, NULL);
  g_ptr_array_remove (sim->job_list, job);
  g_hash_table_remove (sim->jobs, job->id);
}

static void
submit_or_cancel (struct ColtSim *sim)
{
  struct ColtSimJob *job;

  if (sim->job_list->len < sim->plan->jobs && colt_sim_draw (sim, 0.1))
    submit_job (sim);
  if (sim->job_list->len == 0 || !colt_sim_draw (sim, sim->plan->cancels))
    return;
  job = g_ptr_array_index (
      sim->job_list,
      (guint)g_rand_int_range (sim->rand, 0, (gint32)sim->job_list->len));
  job->cancelled = true;
  colt_cell_cancel (sim->cell, job->id, sim->now_us);
}

/* Returns whether a task of a job has used up its attempts, or may be given up
 * for the servers that crashed while it ran there. */
static bool
may_fail (struct ColtSim *sim, const struct ColtSimJob *job)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, sim->truth);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      const struct ColtSimTaskTruth *truth = value;

      if (g_str_has_prefix (key, job->id)
          && (truth->failures >= MAX_ATTEMPTS
              || truth->crashes >= CRASHES_TO_GIVE_UP))
        return true;
    }
  return false;
}

/* Checks the ends of jobs when they are first shown, and that a shown end
 * stays. */
static void
check_shown_ends (struct ColtSim *sim)
{
  guint i;

  for (i = 0; i < sim->job_list->len; i++)
    {
      struct ColtSimJob *job = g_ptr_array_index (sim->job_list, i);
      enum ColtJobState state;

      if (!colt_cell_get_state (sim->cell, job->id, &state)
          || state == job->shown)
        continue;
      g_assert_cmpint (job->shown, <=, COLT_JOB_RUNNING);
      job->shown = state;
      if (state == COLT_JOB_COMPLETED)
        g_assert_false (job->deadly);
      if (state == COLT_JOB_CANCELLED)
        g_assert_true (job->cancelled);
      if (state != COLT_JOB_FAILED)
        continue;
      g_test_message ("%lld ms: job %s is shown as failed",
                      (long long)(sim->now_us / COLT_US_PER_MS), job->id);
      g_assert_true (may_fail (sim, job));
    }
}

/* Checks after the planned steps that jobs with a task that crashes servers
 * ended, if they were submitted early enough. */
static void
check_deadly_jobs_ended (struct ColtSim *sim)
{
  guint i;

  for (i = 0; i < sim->job_list->len; i++)
    {
      const struct ColtSimJob *job = g_ptr_array_index (sim->job_list, i);
      enum ColtJobState state;

      if (!job->deadly || !job->early
          || !colt_cell_get_state (sim->cell, job->id, &state))
        continue;
      if (state <= COLT_JOB_RUNNING)
        g_test_message ("%lld ms: deadly job %s has not ended",
                        (long long)(sim->now_us / COLT_US_PER_MS), job->id);
      g_assert_cmpint (state, >, COLT_JOB_RUNNING);
    }
}

/* Checks after the steps without faults that each durable job has ended. */
static void
check_jobs_ended (struct ColtSim *sim)
{
  guint i;

  for (i = 0; i < sim->job_list->len; i++)
    {
      const struct ColtSimJob *job = g_ptr_array_index (sim->job_list, i);
      enum ColtJobState state;

      if (!colt_cell_get_state (sim->cell, job->id, &state))
        continue;
      sim->result->accepted++;
      if (job->deadly)
        sim->result->deadly++;
      if (state <= COLT_JOB_RUNNING)
        g_test_message ("job %s has not ended", job->id);
      g_assert_cmpint (state, !=, COLT_JOB_QUEUED);
      g_assert_cmpint (state, !=, COLT_JOB_RUNNING);
      if (state == COLT_JOB_COMPLETED)
        sim->result->completed++;
      if (state == COLT_JOB_FAILED)
        sim->result->failed++;
    }
}

static struct ColtFleet *
make_fleet (bool objectives)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);
  struct ColtOrganisation *organisation = colt_fleet_add_organisation (fleet);

  queue->name = g_strdup (QUEUE);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup (SERVICE);
  queue->max_attempts = MAX_ATTEMPTS;
  queue->advised = true;
  queue->stretch = objectives ? STRETCH : 0;
  organisation->name = g_strdup (ORGANISATION);
  organisation->maximum.amount[COLT_RESOURCE_CORES] = ORGANISATION_CORES;
  return fleet;
}

static void
free_sim (struct ColtSim *sim)
{
  colt_sim_free_servers (sim);
  if (sim->batch != NULL)
    colt_cell_free_records (sim->batch);
  colt_cell_destroy (sim->cell);
  colt_fleet_unref (sim->fleet);
  g_ptr_array_unref (sim->orders);
  g_ptr_array_unref (sim->job_list);
  g_hash_table_unref (sim->records);
  g_hash_table_unref (sim->truth);
  g_hash_table_unref (sim->jobs);
  g_array_unref (sim->acks);
  g_array_unref (sim->batch_acks);
  g_rand_free (sim->rand);
}

void
colt_sim_run (const struct ColtSimPlan *plan, struct ColtSimResult *result)
{
  struct ColtSimPlan current = *plan;
  struct ColtSim sim = { 0 };
  uint32_t step;
  uint32_t zone;

  memset (result, 0, sizeof *result);
  sim.plan = &current;
  sim.result = result;
  sim.rand = g_rand_new_with_seed (plan->seed);
  sim.now_us = COLT_US_PER_S;
  sim.half_time_us = sim.now_us + plan->steps / 2 * STEP_US;
  sim.fleet = make_fleet (plan->policies);
  colt_sim_make_servers (&sim);
  sim.orders = g_ptr_array_new_with_free_func (colt_sim_free_order);
  sim.job_list = g_ptr_array_new ();
  sim.records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
  sim.truth = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sim.jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  sim.acks = g_array_new (FALSE, FALSE, sizeof (struct ColtSimAck));
  sim.batch_acks = g_array_new (FALSE, FALSE, sizeof (struct ColtSimAck));
  replace_leader (&sim);
  for (step = 0; step < plan->steps + RECOVERY_STEPS; step++)
    {
      if (step == plan->steps)
        {
          check_deadly_jobs_ended (&sim);
          current.lost_answers = current.late_orders = current.leader_changes
              = 0;
          current.partitions = current.crashes = current.cancels
              = current.failing_runs = current.shrinking_rooms
              = current.log_outages = 0;
          current.jobs = 0;
          current.evacuations = 0;
          for (zone = 0; zone < ZONES; zone++)
            set_evacuated (&sim, zone, false);
        }
      if (colt_sim_draw (&sim, current.leader_changes))
        replace_leader (&sim);
      submit_or_cancel (&sim);
      change_evacuations (&sim);
      colt_sim_advance_servers (&sim);
      colt_sim_deliver_orders (&sim);
      colt_sim_renew_leases (&sim);
      advance_commit (&sim);
      colt_cell_tick (sim.cell, sim.now_us, sim.now_us / COLT_US_PER_MS);
      colt_cell_place_tasks (sim.cell, sim.now_us, sim.now_us / COLT_US_PER_MS);
      check_shown_ends (&sim);
      sim.now_us += STEP_US;
    }
  check_jobs_ended (&sim);
  free_sim (&sim);
}
