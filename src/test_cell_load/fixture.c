#include "fixture.h"

#include <stdlib.h>
#include <string.h>

static void
op_start (void *client, const struct ColtStartOrder *order)
{
  struct ColtLoad *load = client;

  g_ptr_array_add (load->starts,
                   g_strdup_printf ("%s@%s", order->task, order->server));
}

static void
op_stop (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtLoad *load = client;

  (void)run;
  g_ptr_array_add (load->stops, g_strdup_printf ("%s@%s", task, server));
}

static bool
op_advise (void *client,
           const char *step,
           const char *const *servers,
           size_t count)
{
  struct ColtLoad *load = client;

  (void)servers;
  (void)count;
  if (load->advised->len >= load->advisers)
    return false;
  g_ptr_array_add (load->advised, g_strdup (step));
  return true;
}

static void
op_decided (void *client, const char *job, const char *what, const char *detail)
{
  (void)client;
  (void)job;
  (void)what;
  (void)detail;
}

static const struct ColtCellOps ops
    = { op_start, op_stop, op_advise, op_decided };

static void
add_queue (struct ColtFleet *fleet, const char *name, double stretch)
{
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

  queue->name = g_strdup (name);
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 3;
  queue->stretch = stretch;
  queue->target_ms = 250;
  queue->advised = strcmp (name, "advised") == 0;
  queue->advice_ms = 500;
}

static void
add_organisation (struct ColtFleet *fleet, const char *name, double weight)
{
  struct ColtOrganisation *organisation = colt_fleet_add_organisation (fleet);

  organisation->name = g_strdup (name);
  organisation->weight = weight;
}

struct ColtLoad *
colt_load_make (void)
{
  const struct ColtCellLimits limits
      = { 60 * COLT_US_PER_S, 800 * MS, 30, 100 };
  struct ColtLoad *load = g_new0 (struct ColtLoad, 1);
  struct ColtFleet *fleet = colt_fleet_create ();

  load->now_us = COLT_US_PER_S;
  load->starts = g_ptr_array_new_with_free_func (g_free);
  load->stops = g_ptr_array_new_with_free_func (g_free);
  load->advised = g_ptr_array_new_with_free_func (g_free);
  load->advisers = 8;
  load->cell = colt_cell_create (&ops, load, &limits, 1);
  fleet->version = 1;
  add_queue (fleet, "tight", 1.5);
  add_queue (fleet, "advised", 2.0);
  add_organisation (fleet, "steady", 100);
  add_organisation (fleet, "hot", 1);
  colt_cell_set_fleet (load->cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_loaded (load->cell, 0);
  colt_cell_set_advisers (load->cell, load->advisers);
  return load;
}

void
colt_load_free (struct ColtLoad *load)
{
  colt_cell_destroy (load->cell);
  g_ptr_array_unref (load->starts);
  g_ptr_array_unref (load->stops);
  g_ptr_array_unref (load->advised);
  g_free (load);
}

void
colt_load_report (struct ColtLoad *load, const char *server, uint64_t asked)
{
  struct ColtServerReport list = { 0 };

  list.asked = asked;
  colt_cell_report (load->cell, server, &list, load->now_us);
}

void
colt_load_add_server_of_kind (struct ColtLoad *load,
                              const char *id,
                              int64_t cores,
                              const char *kind)
{
  const char *labels[] = { kind, NULL };
  struct ColtServerEntry entry = { 0 };

  entry.id = id;
  entry.service = "service";
  entry.address = "127.0.0.1:1";
  entry.zone = "zone";
  entry.ready = true;
  entry.born_ms = 1;
  entry.room.amount[COLT_RESOURCE_CORES] = cores;
  entry.labels = labels;
  colt_cell_set_server (load->cell, &entry, load->now_us);
  colt_load_report (load, id, 1);
}

void
colt_load_add_server (struct ColtLoad *load, const char *id, int64_t cores)
{
  colt_load_add_server_of_kind (load, id, cores, "a");
}

static ColtJobSpec *
make_job (struct ColtLoad *load,
          const char *queue,
          const char *organisation,
          uint32_t count)
{
  ColtJobSpec *spec = malloc (sizeof *spec);
  ColtJobStep *step = malloc (sizeof *step);

  g_assert (spec != NULL && step != NULL);
  colt_job_spec__init (spec);
  colt_job_step__init (step);
  spec->id = g_strdup_printf ("%016x", ++load->next_id);
  spec->organisation = strdup (organisation);
  spec->queue = strdup (queue);
  spec->payload = strdup ("payload");
  spec->steps = calloc (1, sizeof *spec->steps);
  spec->steps[0] = step;
  spec->n_steps = 1;
  step->count = count;
  step->cpu_milli = 1000;
  step->estimate_ms = 100;
  return spec;
}

void
colt_load_submit (struct ColtLoad *load,
                  const char *queue,
                  const char *organisation,
                  uint32_t count,
                  bool lasting)
{
  ColtJobSpec *spec = make_job (load, queue, organisation, count);

  spec->steps[0]->lasting = lasting;
  g_assert_cmpint (colt_cell_submit (load->cell, spec, load->now_us), ==,
                   COLT_SUBMIT_NEW);
}

void
colt_load_submit_gang (struct ColtLoad *load, const char *queue, uint32_t count)
{
  ColtJobSpec *spec = make_job (load, queue, "steady", count);

  spec->steps[0]->gang = true;
  spec->steps[0]->estimate_ms = 4000;
  g_assert_cmpint (colt_cell_submit (load->cell, spec, load->now_us), ==,
                   COLT_SUBMIT_NEW);
}

void
colt_load_commit (struct ColtLoad *load)
{
  colt_cell_free_records (
      colt_cell_take_records (load->cell, SIZE_MAX, load->now_us / MS));
  colt_cell_committed (load->cell, load->now_us);
}

/* One pass of placement; its starts are ordered. */
void
colt_load_place (struct ColtLoad *load)
{
  colt_load_commit (load);
  colt_cell_place (load->cell, load->now_us, load->now_us / MS);
  colt_load_commit (load);
}

void
colt_load_take_start (struct ColtLoad *load, guint start)
{
  char **parts = g_strsplit (g_ptr_array_index (load->starts, start), "@", 2);

  colt_cell_started (load->cell, parts[1], parts[0], 1, COLT_START_TAKEN, 1000,
                     load->now_us);
  g_strfreev (parts);
}

void
colt_load_finish (struct ColtLoad *load,
                  guint start,
                  uint32_t run,
                  enum ColtRunEnd how)
{
  char **parts = g_strsplit (g_ptr_array_index (load->starts, start), "@", 2);
  const struct ColtFinishedEntry end = { start + 1, parts[0], run, how, "" };
  struct ColtServerReport list = { 0 };

  list.asked = 1;
  list.finished = &end;
  list.finished_count = 1;
  colt_cell_report (load->cell, parts[1], &list, load->now_us);
  g_strfreev (parts);
}

/* Whether a task of a job was started, from a start on. */
bool
colt_load_has_started (const struct ColtLoad *load, guint from, uint32_t id)
{
  char prefix[COLT_JOB_ID_LENGTH + 1];
  guint i;

  g_snprintf (prefix, sizeof prefix, "%016x", id);
  for (i = from; i < load->starts->len; i++)
    if (g_str_has_prefix (g_ptr_array_index (load->starts, i), prefix))
      return true;
  return false;
}

bool
colt_load_ran_on (const struct ColtLoad *load, guint start, const char *server)
{
  return g_str_has_suffix (g_ptr_array_index (load->starts, start), server);
}
