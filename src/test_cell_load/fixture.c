#include "fixture.h"

#include <stdlib.h>
#include <string.h>

/* Time between the occurrences of a repeated job; longer than any test. */
#define REPETITION_MS 1000000

static void
record_start (void *client, const struct ColtStartOrder *order)
{
  struct ColtLoadFixture *fixture = client;

  g_ptr_array_add (fixture->starts,
                   g_strdup_printf ("%s@%s", order->task, order->server));
  g_array_append_val (fixture->start_runs, order->run);
}

static void
record_stop (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtLoadFixture *fixture = client;

  (void)run;
  g_ptr_array_add (fixture->stops, g_strdup_printf ("%s@%s", task, server));
}

static bool
record_advice_call (void *client,
                    uint64_t call,
                    const char *step,
                    const char *const *servers,
                    size_t count)
{
  struct ColtLoadFixture *fixture = client;
  size_t i;

  if (fixture->advice_calls->len >= fixture->max_advice_calls)
    return false;
  g_ptr_array_add (fixture->advice_calls, g_strdup (step));
  g_array_append_val (fixture->calls, call);
  g_ptr_array_set_size (fixture->named_servers, 0);
  for (i = 0; i < count; i++)
    g_ptr_array_add (fixture->named_servers, g_strdup (servers[i]));
  return true;
}

static void
ignore_decision (void *client,
                 const char *job,
                 const char *what,
                 const char *detail)
{
  (void)client;
  (void)job;
  (void)what;
  (void)detail;
}

static void
record_fault (void *client,
              const char *job,
              const char *what,
              const char *detail)
{
  struct ColtLoadFixture *fixture = client;

  g_assert_nonnull (job);
  g_assert_cmpstr (what, ==, "task stalled");
  g_test_message ("%s: %s", job, detail);
  g_ptr_array_add (fixture->faults, g_strdup (detail));
}

static const struct ColtCellOps ops
    = { record_start, record_stop, record_advice_call, ignore_decision,
        record_fault };

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

static struct ColtFleet *
make_fleet (void)
{
  struct ColtFleet *fleet = colt_fleet_create ();

  fleet->version = 1;
  add_queue (fleet, "tight", 1.5);
  add_queue (fleet, "advised", 2.0);
  add_organisation (fleet, "steady", 100);
  add_organisation (fleet, "hot", 1);
  return fleet;
}

static void
add_lower_queue (struct ColtFleet *fleet, const char *name, uint32_t priority)
{
  struct ColtQueueConfig *queue;

  add_queue (fleet, name, 4);
  queue = g_ptr_array_index (fleet->queues, fleet->queues->len - 1);
  queue->priority = priority;
  queue->target_ms = 3000;
}

void
colt_fixture_add_lower_queues (struct ColtLoadFixture *fixture)
{
  struct ColtFleet *fleet = make_fleet ();

  add_lower_queue (fleet, "single", 2);
  add_lower_queue (fleet, "short", 3);
  colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
}

static void
create_cell (struct ColtLoadFixture *fixture)
{
  const struct ColtCellLimits limits
      = { .status_us = 60 * COLT_US_PER_S,
          .stop_retry_us = 800 * MS,
          .advice_servers_max = 30,
          .gang_advice_servers_max = 100,
          .record_bytes_max = fixture->record_bytes_max,
          .run_wait_us = COLT_FIXTURE_RUN_WAIT_US,
          .half_life_us = fixture->half_life_us,
          .wait_max_us = fixture->wait_max_us,
          .forecasts = fixture->forecasts,
          .created_us = fixture->now_us };
  struct ColtFleet *fleet = make_fleet ();

  fixture->cell = colt_cell_create (&ops, fixture, &limits, fixture->term);
  if (!fixture->unconfigured)
    colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
}

/* Creates a fixture whose cell has these limits and policies; the rest of it is
 * set here. */
static struct ColtLoadFixture *
create_fixture (const struct ColtLoadFixture *options)
{
  struct ColtLoadFixture *fixture = g_memdup2 (options, sizeof *options);

  fixture->now_us = COLT_US_PER_S;
  fixture->starts = g_ptr_array_new_with_free_func (g_free);
  fixture->stops = g_ptr_array_new_with_free_func (g_free);
  fixture->faults = g_ptr_array_new_with_free_func (g_free);
  fixture->advice_calls = g_ptr_array_new_with_free_func (g_free);
  fixture->named_servers = g_ptr_array_new_with_free_func (g_free);
  fixture->calls = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fixture->start_runs = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  fixture->max_advice_calls = 8;
  fixture->term = 1;
  fixture->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  create_cell (fixture);
  colt_cell_finish_loading (fixture->cell, 0);
  colt_cell_set_advisers (fixture->cell, fixture->max_advice_calls);
  return fixture;
}

struct ColtLoadFixture *
colt_fixture_create (void)
{
  return colt_fixture_create_limited (0);
}

struct ColtLoadFixture *
colt_fixture_create_limited (size_t record_bytes_max)
{
  const struct ColtLoadFixture options
      = { .record_bytes_max = record_bytes_max };

  return create_fixture (&options);
}

struct ColtLoadFixture *
colt_fixture_create_fair (size_t record_bytes_max,
                          int64_t half_life_us,
                          int64_t wait_max_us)
{
  const struct ColtLoadFixture options = { .record_bytes_max = record_bytes_max,
                                           .half_life_us = half_life_us,
                                           .wait_max_us = wait_max_us };

  return create_fixture (&options);
}

struct ColtLoadFixture *
colt_fixture_create_admitting (bool forecasts)
{
  const struct ColtLoadFixture options = { .forecasts = forecasts };

  return create_fixture (&options);
}

void
colt_fixture_destroy (struct ColtLoadFixture *fixture)
{
  colt_cell_destroy (fixture->cell);
  g_ptr_array_unref (fixture->starts);
  g_ptr_array_unref (fixture->stops);
  g_assert_cmpuint (fixture->faults->len, ==, fixture->faults_expected);
  g_ptr_array_unref (fixture->faults);
  g_ptr_array_unref (fixture->advice_calls);
  g_ptr_array_unref (fixture->named_servers);
  g_array_unref (fixture->calls);
  g_array_unref (fixture->start_runs);
  g_hash_table_unref (fixture->records);
  g_free (fixture);
}

void
colt_fixture_set_maximum (struct ColtLoadFixture *fixture, int64_t cores)
{
  struct ColtFleet *fleet = make_fleet ();
  struct ColtOrganisation *steady = g_ptr_array_index (fleet->organisations, 0);

  steady->maximum.amount[COLT_RESOURCE_CORES] = cores;
  colt_cell_set_fleet (fixture->cell, fleet);
  colt_fleet_unref (fleet);
}

void
colt_fixture_report_idle (struct ColtLoadFixture *fixture,
                          const char *server,
                          uint64_t call_number)
{
  struct ColtServerReport report = { 0 };

  report.call_number = call_number;
  colt_cell_apply_report (fixture->cell, server, &report, fixture->now_us);
}

void
colt_fixture_add_server_of_kind (struct ColtLoadFixture *fixture,
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
  entry.incarnation_ms = 1;
  entry.room.amount[COLT_RESOURCE_CORES] = cores;
  entry.room.amount[COLT_RESOURCE_ACCELERATORS] = cores / 1000;
  entry.labels = labels;
  colt_cell_set_server (fixture->cell, &entry, fixture->now_us);
  colt_fixture_report_idle (fixture, id, 1);
}

void
colt_fixture_add_server (struct ColtLoadFixture *fixture,
                         const char *id,
                         int64_t cores)
{
  colt_fixture_add_server_of_kind (fixture, id, cores, "a");
}

static ColtJobSpec *
make_job (struct ColtLoadFixture *fixture,
          const char *queue,
          const char *organisation,
          uint32_t count)
{
  ColtJobSpec *spec = malloc (sizeof *spec);
  ColtJobStep *step = malloc (sizeof *step);

  g_assert (spec != NULL && step != NULL);
  colt_job_spec__init (spec);
  colt_job_step__init (step);
  spec->id = g_strdup_printf ("%016x", ++fixture->last_id);
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

ColtJobSpec *
colt_fixture_make_job (struct ColtLoadFixture *fixture, uint32_t count)
{
  return make_job (fixture, "tight", "steady", count);
}

void
colt_fixture_submit (struct ColtLoadFixture *fixture,
                     const char *queue,
                     const char *organisation,
                     uint32_t count,
                     bool lasting)
{
  ColtJobSpec *spec = make_job (fixture, queue, organisation, count);

  spec->steps[0]->lasting = lasting;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

void
colt_fixture_submit_gang (struct ColtLoadFixture *fixture,
                          const char *queue,
                          uint32_t count)
{
  ColtJobSpec *spec = make_job (fixture, queue, "steady", count);

  spec->steps[0]->gang = true;
  spec->steps[0]->estimate_ms = 4000;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

void
colt_fixture_submit_repeated_gang (struct ColtLoadFixture *fixture,
                                   const char *queue,
                                   uint32_t count)
{
  ColtJobSpec *spec = make_job (fixture, queue, "steady", count);

  spec->steps[0]->gang = true;
  spec->repetitions = 2;
  spec->interval_ms = REPETITION_MS;
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_NEW);
}

void
colt_fixture_commit (struct ColtLoadFixture *fixture)
{
  GArray *records
      = colt_cell_take_records (fixture->cell, SIZE_MAX, fixture->now_us / MS);
  guint i;

  for (i = 0; i < records->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (records, struct ColtCellRecord, i);

      if (record->value == NULL)
        g_hash_table_remove (fixture->records, record->key);
      else
        g_hash_table_insert (fixture->records, g_strdup (record->key),
                             g_bytes_new (record->value, record->size));
    }
  colt_cell_free_records (records);
  colt_cell_confirm_batch (fixture->cell, fixture->now_us);
}

static void
load_records (struct ColtLoadFixture *fixture, char kind)
{
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, fixture->records);
  while (g_hash_table_iter_next (&i, &key, &value))
    {
      gsize size;
      const uint8_t *data = g_bytes_get_data (value, &size);

      if (*(const char *)key == kind)
        g_assert_true (colt_cell_load (fixture->cell, key, data, size,
                                       fixture->now_us, fixture->now_us / MS));
    }
}

void
colt_fixture_change_leader (struct ColtLoadFixture *fixture)
{
  colt_cell_destroy (fixture->cell);
  fixture->term++;
  create_cell (fixture);
  load_records (fixture, 's');
  load_records (fixture, 'p');
  load_records (fixture, 'u');
  colt_cell_finish_loading (fixture->cell, fixture->now_us + 5 * COLT_US_PER_S);
  colt_cell_set_advisers (fixture->cell, fixture->max_advice_calls);
}

void
colt_fixture_place (struct ColtLoadFixture *fixture)
{
  colt_fixture_commit (fixture);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  colt_fixture_commit (fixture);
}

void
colt_fixture_accept_start (struct ColtLoadFixture *fixture, guint start)
{
  char **parts
      = g_strsplit (g_ptr_array_index (fixture->starts, start), "@", 2);

  colt_cell_apply_start_result (
      fixture->cell, parts[1], parts[0],
      g_array_index (fixture->start_runs, uint32_t, start), COLT_START_TAKEN,
      1000, fixture->now_us);
  g_strfreev (parts);
}

void
colt_fixture_report_end (struct ColtLoadFixture *fixture,
                         guint start,
                         uint32_t run,
                         enum ColtRunEnd how)
{
  char **parts
      = g_strsplit (g_ptr_array_index (fixture->starts, start), "@", 2);
  const struct ColtFinishedEntry end = { start + 1, parts[0], run, how, "" };
  struct ColtServerReport report = { 0 };

  report.call_number = 1;
  report.finished = &end;
  report.finished_count = 1;
  colt_cell_apply_report (fixture->cell, parts[1], &report, fixture->now_us);
  g_strfreev (parts);
}

bool
colt_fixture_has_started (const struct ColtLoadFixture *fixture,
                          guint from,
                          uint32_t id)
{
  char prefix[COLT_JOB_ID_LENGTH + 1];
  guint i;

  g_snprintf (prefix, sizeof prefix, "%016x", id);
  for (i = from; i < fixture->starts->len; i++)
    if (g_str_has_prefix (g_ptr_array_index (fixture->starts, i), prefix))
      return true;
  return false;
}

bool
colt_fixture_was_sent_to (const struct ColtLoadFixture *fixture,
                          guint start,
                          const char *server)
{
  return g_str_has_suffix (g_ptr_array_index (fixture->starts, start), server);
}

void
colt_fixture_answer_advice (struct ColtLoadFixture *fixture,
                            guint call,
                            const ColtAdviceReply *reply)
{
  g_ptr_array_set_size (fixture->advice_calls, 0);
  colt_cell_apply_advice (fixture->cell,
                          g_array_index (fixture->calls, uint64_t, call), reply,
                          fixture->now_us);
}

void
colt_fixture_grant_servers (struct ColtLoadFixture *fixture, guint call)
{
  guint count = fixture->named_servers->len;
  ColtTicket *tickets = g_new0 (ColtTicket, count);
  ColtTicket **rows = g_new0 (ColtTicket *, count);
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  guint i;

  for (i = 0; i < count; i++)
    {
      colt_ticket__init (&tickets[i]);
      tickets[i].server = g_ptr_array_index (fixture->named_servers, i);
      tickets[i].ticket = "ticket";
      rows[i] = &tickets[i];
    }
  reply.answered = true;
  reply.valid_ms = 1500;
  reply.n_tickets = count;
  reply.tickets = rows;
  colt_fixture_answer_advice (fixture, call, &reply);
  g_free (rows);
  g_free (tickets);
}
