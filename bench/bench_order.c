/* Measures what the order of waiting work costs in a pass of placement, without
 * and with past use: 24,000 waiting steps of 370 organisations, which find no
 * server, after each organisation has used a different amount. Prints the
 * processor time of a pass, the packed size of the records of past use, and the
 * time of taking them.
 *
 * Usage: bench_order [PASSES] */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

#define ORGANISATIONS 370
/* Organisations that use half of the fleet alone. */
#define HEAVY 37
/* The cell accepts at most 20,000 jobs; each has two steps that wait. */
#define JOBS 12000
#define STEPS 2
#define SERVERS 5200
#define PASS_INTERVAL_US (8 * COLT_US_PER_MS)
#define HALF_LIFE_US (3600 * COLT_US_PER_S)
#define WAIT_MAX_US (2000 * COLT_US_PER_MS)
/* Of a server, and of each task. */
#define CORES 32000
#define MEMORY_MB 65536
#define ACCELERATORS 1

struct ColtOrderBench
{
  struct ColtCell *cell;
  int64_t now_us;
  uint32_t last_job;
  GPtrArray *tasks;   /* names of the tasks that were started */
  GPtrArray *servers; /* of each */
};

static void
on_start (void *client, const struct ColtStartOrder *order)
{
  struct ColtOrderBench *bench = client;

  g_ptr_array_add (bench->tasks, g_strdup (order->task));
  g_ptr_array_add (bench->servers, g_strdup (order->server));
}

static void
on_stop (void *client, const char *server, const char *task, uint32_t run)
{
  (void)client;
  (void)server;
  (void)task;
  (void)run;
}

static bool
on_advise (void *client,
           uint64_t call,
           const char *step,
           const char *const *servers,
           size_t count)
{
  (void)client;
  (void)call;
  (void)step;
  (void)servers;
  (void)count;
  return false;
}

static void
on_decision (void *client,
             const char *job,
             const char *what,
             const char *detail)
{
  (void)client;
  (void)job;
  (void)what;
  (void)detail;
}

static const struct ColtCellOps ops
    = { on_start, on_stop, on_advise, on_decision };

static int64_t
processor_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return (int64_t)used.tv_sec * COLT_US_PER_S + used.tv_nsec / 1000;
}

static struct ColtFleet *
create_fleet (void)
{
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);
  int i;

  fleet->version = 1;
  queue->name = g_strdup ("queue");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->stretch = 1;
  queue->target_ms = 100000000;
  for (i = 0; i < ORGANISATIONS; i++)
    {
      struct ColtOrganisation *organisation
          = colt_fleet_add_organisation (fleet);

      organisation->name = g_strdup_printf ("organisation-%d", i);
      organisation->weight = 1000;
    }
  return fleet;
}

static void
submit (struct ColtOrderBench *bench, uint32_t organisation, uint32_t steps)
{
  ColtJobSpec *spec = malloc (sizeof *spec);
  uint32_t s;

  colt_job_spec__init (spec);
  spec->id = g_strdup_printf ("%016x", ++bench->last_job);
  spec->organisation = g_strdup_printf ("organisation-%u", organisation);
  spec->queue = strdup ("queue");
  spec->payload = strdup ("payload");
  spec->n_steps = steps;
  spec->steps = calloc (steps, sizeof *spec->steps);
  for (s = 0; s < steps; s++)
    {
      spec->steps[s] = malloc (sizeof *spec->steps[s]);
      colt_job_step__init (spec->steps[s]);
      spec->steps[s]->count = 1;
      spec->steps[s]->cpu_milli = CORES;
      spec->steps[s]->memory_mb = MEMORY_MB;
      spec->steps[s]->accelerators = ACCELERATORS;
      spec->steps[s]->estimate_ms = 1000;
    }
  if (colt_cell_submit (bench->cell, spec, bench->now_us) != COLT_SUBMIT_NEW)
    {
      fprintf (stderr, "bench_order: a job was rejected\n");
      exit (1);
    }
}

static size_t
commit (struct ColtOrderBench *bench)
{
  GArray *records = colt_cell_take_records (bench->cell, SIZE_MAX,
                                            bench->now_us / COLT_US_PER_MS);
  size_t bytes = 0;
  guint i;

  for (i = 0; i < records->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (records, struct ColtCellRecord, i);

      if (record->key[0] == 'u')
        bytes += strlen (record->key) + record->size;
    }
  colt_cell_free_records (records);
  colt_cell_confirm_batch (bench->cell, bench->now_us);
  return bytes;
}

static void
place (struct ColtOrderBench *bench)
{
  colt_cell_place_tasks (bench->cell, bench->now_us,
                         bench->now_us / COLT_US_PER_MS);
}

static void
add_servers (struct ColtOrderBench *bench)
{
  int i;

  for (i = 0; i < SERVERS; i++)
    {
      char id[16];
      struct ColtServerEntry entry = { 0 };
      struct ColtServerReport report = { 0 };

      g_snprintf (id, sizeof id, "s%d", i);
      entry.id = id;
      entry.service = "service";
      entry.address = "127.0.0.1:1";
      entry.zone = "zone";
      entry.ready = true;
      entry.incarnation_ms = 1;
      entry.room.amount[COLT_RESOURCE_CORES] = CORES;
      entry.room.amount[COLT_RESOURCE_MEMORY] = MEMORY_MB;
      entry.room.amount[COLT_RESOURCE_ACCELERATORS] = ACCELERATORS;
      colt_cell_set_server (bench->cell, &entry, bench->now_us);
      report.call_number = 1;
      report.incarnation_ms = 1;
      colt_cell_apply_report (bench->cell, id, &report, bench->now_us);
    }
}

/* Organisations fill the fleet for an hour, the first ones the most of it; it
 * then stays full. */
static void
fill_fleet (struct ColtOrderBench *bench)
{
  uint32_t i;

  for (i = 0; i < SERVERS; i++)
    submit (bench, i < SERVERS / 2 ? i % ORGANISATIONS : i % HEAVY, 1);
  commit (bench);
  place (bench);
  commit (bench);
  bench->now_us += 3600 * COLT_US_PER_S;
}

static struct ColtOrderBench *
create_bench (int64_t half_life_us)
{
  struct ColtOrderBench *bench = g_new0 (struct ColtOrderBench, 1);
  struct ColtCellLimits limits
      = { 60 * COLT_US_PER_S, 800 * COLT_US_PER_MS, 30, 100, 0,
          half_life_us,       WAIT_MAX_US };
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  bench->now_us = COLT_US_PER_S;
  bench->tasks = g_ptr_array_new_with_free_func (g_free);
  bench->servers = g_ptr_array_new_with_free_func (g_free);
  bench->cell = colt_cell_create (&ops, bench, &limits, 1);
  colt_cell_set_fleet (bench->cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_finish_loading (bench->cell, 0);
  add_servers (bench);
  fill_fleet (bench);
  for (i = 0; i < JOBS; i++)
    {
      bench->now_us += 100;
      submit (bench, i * 7 % ORGANISATIONS, STEPS);
    }
  commit (bench);
  return bench;
}

static void
measure (int64_t half_life_us, int passes)
{
  struct ColtOrderBench *bench = create_bench (half_life_us);
  struct ColtCellStats stats;
  int64_t pass_us = 0;
  int64_t longest_us = 0;
  int64_t record_us;
  size_t bytes;
  int i;

  for (i = 0; i < passes; i++)
    {
      int64_t took_us = -processor_us ();

      place (bench);
      took_us += processor_us ();
      pass_us += took_us;
      longest_us = MAX (longest_us, took_us);
      bench->now_us += PASS_INTERVAL_US;
    }
  commit (bench);
  colt_cell_get_stats (bench->cell, &stats);
  bench->now_us += 6 * COLT_US_PER_S;
  record_us = -processor_us ();
  colt_cell_tick (bench->cell, bench->now_us, bench->now_us / COLT_US_PER_MS);
  bytes = commit (bench);
  record_us += processor_us ();
  printf ("%d\t%" G_GUINT64_FORMAT "\t%u\t%.0f\t%" G_GINT64_FORMAT
          "\t%zu\t%" G_GINT64_FORMAT "\n",
          (int)(half_life_us / COLT_US_PER_S), stats.open_steps,
          bench->tasks->len, (double)pass_us / passes, longest_us, bytes,
          record_us);
  fflush (stdout);
  colt_cell_destroy (bench->cell);
  g_ptr_array_unref (bench->tasks);
  g_ptr_array_unref (bench->servers);
  g_free (bench);
}

int
main (int argc, char **argv)
{
  int passes = argc > 1 ? atoi (argv[1]) : 200;
  int i;

  printf ("half_life_s\topen_steps\truns\tpass_us\tlongest_pass_us\trecord_"
          "bytes\trecord_us\n");
  for (i = 0; i < 3; i++)
    {
      measure (0, passes);
      measure (HALF_LIFE_US, passes);
    }
  return 0;
}
