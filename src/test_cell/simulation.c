#include <stdlib.h>
#include <string.h>

#include "simulation_private.h"

#define SETTLE_US (LEASE_US + LEASE_US / 20 + 400 * COLT_US_PER_MS)
#define COMMIT_US (30 * COLT_US_PER_MS)
/* Time without faults at the end: leases end, and what waits runs. */
#define CALM_STEPS 8000
#define QUEUE "queue"
#define ORGANISATION "organisation"

bool
colt_world_chance (struct ColtWorld *world, double share)
{
  return g_rand_double (world->rand) < share;
}

struct ColtWorldTaskTruth *
colt_world_truth (struct ColtWorld *world, const char *task)
{
  struct ColtWorldTaskTruth *truth = g_hash_table_lookup (world->truth, task);

  if (truth == NULL)
    {
      truth = g_new0 (struct ColtWorldTaskTruth, 1);
      g_hash_table_insert (world->truth, g_strdup (task), truth);
    }
  return truth;
}

static void
take_batch (struct ColtWorld *world)
{
  GArray *noting = world->batch_noting;

  world->batch = colt_cell_take_records (world->cell, SIZE_MAX,
                                         world->now_us / COLT_US_PER_MS);
  world->batch_due_us = world->now_us + COMMIT_US;
  world->batch_noting = world->noting;
  world->noting = noting;
}

static void
store_batch (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->batch->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (world->batch, struct ColtCellRecord, i);

      if (record->value == NULL)
        g_hash_table_remove (world->log, record->key);
      else
        g_hash_table_insert (world->log, g_strdup (record->key),
                             g_bytes_new (record->value, record->size));
    }
}

static void
play_commits (struct ColtWorld *world)
{
  guint i;

  if (world->batch == NULL)
    take_batch (world);
  if (world->now_us < world->batch_due_us)
    return;
  store_batch (world);
  colt_cell_free_records (world->batch);
  world->batch = NULL;
  colt_cell_committed (world->cell, world->now_us);
  for (i = 0; i < world->batch_noting->len; i++)
    {
      const struct ColtWorldNote *note
          = &g_array_index (world->batch_noting, struct ColtWorldNote, i);

      if (note->born_ms == note->server->born_ms)
        note->server->noted = MAX (note->server->noted, note->number);
    }
  g_array_set_size (world->batch_noting, 0);
}

static void
load (struct ColtWorld *world, bool specs)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, world->log);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      gsize size;
      const uint8_t *bytes = g_bytes_get_data (value, &size);

      if ((((const char *)key)[0] == 'p') == specs)
        continue;
      g_assert_true (colt_cell_load (world->cell, key, bytes, size,
                                     world->now_us,
                                     world->now_us / COLT_US_PER_MS));
    }
}

/* The next lead knows what is in the log, and nothing else. */
static void
change_lead (struct ColtWorld *world)
{
  const struct ColtCellLimits limits
      = { 3600 * COLT_US_PER_S, 800 * COLT_US_PER_MS, 30 };
  uint32_t s;

  if (world->batch != NULL)
    {
      if (colt_world_chance (world, 0.5))
        store_batch (world);
      colt_cell_free_records (world->batch);
      world->batch = NULL;
    }
  g_array_set_size (world->noting, 0);
  g_array_set_size (world->batch_noting, 0);
  colt_cell_destroy (world->cell);
  world->generation++;
  g_test_message ("%lld: lead %u", (long long)(world->now_us / COLT_US_PER_MS),
                  world->generation);
  world->result->leads = world->generation;
  world->cell
      = colt_cell_create (&colt_world_ops, world, &limits, world->generation);
  colt_cell_set_fleet (world->cell, world->fleet);
  colt_cell_set_advisers (world->cell, 4);
  load (world, true);
  load (world, false);
  colt_cell_loaded (world->cell, world->now_us + SETTLE_US);
  for (s = 0; s < world->plan->servers; s++)
    {
      world->servers[s].noted = 0;
      world->servers[s].lapse_us = 0;
      world->servers[s].failures = 0;
      world->servers[s].next_look_us = world->now_us;
      world->servers[s].known_born_ms = 0;
    }
}

static void
submit (struct ColtWorld *world)
{
  ColtJobSpec *spec = malloc (sizeof *spec);
  uint32_t steps = (uint32_t)g_rand_int_range (world->rand, 1, 4);
  uint32_t cpu = (uint32_t)g_rand_int_range (world->rand, 200, 2000);
  uint32_t i;

  colt_job_spec__init (spec);
  spec->id = g_strdup_printf ("%016x", ++world->submitted);
  spec->organisation = strdup (ORGANISATION);
  spec->queue = strdup (QUEUE);
  spec->payload = strdup ("payload");
  spec->steps = calloc (steps, sizeof *spec->steps);
  for (i = 0; i < steps; i++)
    {
      ColtJobStep *step = malloc (sizeof *step);

      colt_job_step__init (step);
      step->count = (uint32_t)g_rand_int_range (world->rand, 1, 5);
      step->cpu_milli = cpu;
      step->memory_mb = 1;
      if (i > 0)
        {
          step->after = calloc (1, sizeof *step->after);
          step->after[0] = i - 1;
          step->n_after = 1;
        }
      spec->steps[spec->n_steps++] = step;
    }
  g_hash_table_insert (world->cpu, g_strdup (spec->id), GUINT_TO_POINTER (cpu));
  g_ptr_array_add (world->sent, g_strdup (spec->id));
  g_assert_cmpint (colt_cell_submit (world->cell, spec, world->now_us), ==,
                   COLT_SUBMIT_NEW);
}

static void
play_callers (struct ColtWorld *world)
{
  const char *id;

  if (world->submitted < world->plan->jobs && colt_world_chance (world, 0.1))
    submit (world);
  if (world->sent->len == 0 || !colt_world_chance (world, world->plan->cancels))
    return;
  id = g_ptr_array_index (
      world->sent,
      (guint)g_rand_int_range (world->rand, 0, (gint32)world->sent->len));
  colt_cell_cancel (world->cell, id, world->now_us);
}

/* After calm, what was durable has ended, truly. */
static void
check_ends (struct ColtWorld *world)
{
  guint i;

  for (i = 0; i < world->sent->len; i++)
    {
      enum ColtJobState state;

      if (!colt_cell_state (world->cell, g_ptr_array_index (world->sent, i),
                            &state))
        continue;
      world->result->accepted++;
      if (state <= COLT_JOB_RUNNING)
        g_test_message ("%s hasn't ended",
                        (char *)g_ptr_array_index (world->sent, i));
      g_assert_cmpint (state, !=, COLT_JOB_QUEUED);
      g_assert_cmpint (state, !=, COLT_JOB_RUNNING);
      if (state == COLT_JOB_COMPLETED)
        world->result->completed++;
      if (state == COLT_JOB_FAILED)
        world->result->failed++;
    }
}

static struct ColtFleet *
make_fleet (void)
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
  organisation->name = g_strdup (ORGANISATION);
  organisation->maximum.amount[COLT_RESOURCE_CORES] = LIMIT;
  return fleet;
}

static void
free_world (struct ColtWorld *world)
{
  colt_world_free_servers (world);
  if (world->batch != NULL)
    colt_cell_free_records (world->batch);
  colt_cell_destroy (world->cell);
  colt_fleet_unref (world->fleet);
  g_ptr_array_unref (world->orders);
  g_ptr_array_unref (world->sent);
  g_hash_table_unref (world->log);
  g_hash_table_unref (world->truth);
  g_hash_table_unref (world->cpu);
  g_array_unref (world->noting);
  g_array_unref (world->batch_noting);
  g_rand_free (world->rand);
}

void
colt_world_play (const struct ColtWorldPlan *plan,
                 struct ColtWorldResult *result)
{
  struct ColtWorldPlan now = *plan;
  struct ColtWorld world = { 0 };
  uint32_t step;

  memset (result, 0, sizeof *result);
  world.plan = &now;
  world.result = result;
  world.rand = g_rand_new_with_seed (plan->seed);
  world.now_us = COLT_US_PER_S;
  world.fleet = make_fleet ();
  colt_world_make_servers (&world);
  world.orders = g_ptr_array_new_with_free_func (colt_world_free_order);
  world.sent = g_ptr_array_new_with_free_func (g_free);
  world.log = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)g_bytes_unref);
  world.truth = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world.cpu = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world.noting = g_array_new (FALSE, FALSE, sizeof (struct ColtWorldNote));
  world.batch_noting
      = g_array_new (FALSE, FALSE, sizeof (struct ColtWorldNote));
  change_lead (&world);
  for (step = 0; step < plan->steps + CALM_STEPS; step++)
    {
      if (step == plan->steps)
        {
          now.lost_answers = now.late_orders = now.lead_changes = 0;
          now.cuts = now.crashes = now.cancels = now.failing_runs = 0;
          now.jobs = 0;
        }
      if (colt_world_chance (&world, now.lead_changes))
        change_lead (&world);
      play_callers (&world);
      colt_world_play_servers (&world);
      colt_world_play_orders (&world);
      colt_world_play_looks (&world);
      play_commits (&world);
      colt_cell_tick (world.cell, world.now_us, world.now_us / COLT_US_PER_MS);
      colt_cell_place (world.cell, world.now_us, world.now_us / COLT_US_PER_MS);
      world.now_us += STEP_US;
    }
  check_ends (&world);
  free_world (&world);
}
