/* Emulates a cell of the large deployment in virtual time, without network: its
 * servers, its mix of jobs and its adviser. Prints a table of what the leader's
 * decisions cost by kind of work, for a range of sizes and loads. Two builds
 * that decide the same print the same digest for the same arguments.
 *
 * Passes are measured in processor time, so that other processes on the machine
 * disturb them less.
 *
 * Usage: bench_cell [SEED [SECONDS [ROW]]]; rows count from 1. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

/* Virtual time that events may lie ahead; a power of two. */
#define SLOTS 131072
#define SERVICES 2
#define PASS_INTERVAL_MS 8
#define COMMIT_INTERVAL_MS 12
#define TICK_INTERVAL_MS 25
#define RENEWAL_INTERVAL_MS 1000
/* Time in which a server gathers ends before it reports them. */
#define REPORT_DELAY_MS 25
#define START_ANSWER_MS 5
#define ADVISERS 140
#define ORGANISATIONS 60
#define LASTING_MS 45000
/* Parameters of the digest, which is an FNV-1a hash of 64 bits. */
#define DIGEST_START 14695981039346656037u
#define DIGEST_FACTOR 1099511628211u

/* Kinds of work whose time is measured. */
enum ColtCellWork
{
  WORK_SUBMIT,
  WORK_PLACE,
  WORK_RECORDS,
  WORK_REPORTS,
  WORK_STARTS,
  WORK_ADVICE,
  WORK_TICK,
  WORK_COUNT
};

static const char *const work_string[]
    = { "submit", "place", "records", "reports", "starts", "advice", "tick" };

/* A kind of job of the deployment. */
struct ColtBenchQueue
{
  const char *name;
  int service; /* index */
  double jobs_per_s;
  uint32_t steps;
  uint32_t width; /* mean number of tasks of a step */
  int64_t cores;  /* of each task, in thousandths */
  int64_t accelerators;
  int64_t task_ms;
  double stretch;
  bool gang;
  bool lasting;
  uint32_t advice_ms;
  double advice_per_server_ms;
  uint32_t good_percent; /* of servers that the adviser grants */
};

static const struct ColtBenchQueue queues[] = {
  { "quote", 0, 39.8, 2, 13, 8400, 0, 880, 1.5, false, false, 26, 0.38, 70 },
  { "confirm", 0, 4.07, 2, 36, 9000, 0, 4500, 4, false, false, 140, 2.1, 45 },
  { "layout", 1, 7.98, 1, 6, 31000, 4, 4500, 2.2, true, false, 490, 7, 30 },
  { "watch", 0, 0.349, 1, 30, 9000, 0, LASTING_MS, 2.2, false, true, 420, 6,
    30 },
  { "photo", 1, 7.23, 1, 40, 5600, 1, 2400, 4, false, false, 160, 2.3, 45 },
};

struct ColtBenchServer
{
  char id[24];
  GPtrArray *runs;  /* of struct ColtBenchRun */
  GArray *finished; /* of struct ColtFinishedEntry */
  uint64_t calls;
  uint64_t last_end;
  bool report_due;
};

struct ColtBenchRun
{
  struct ColtBenchServer *server;
  char *task;
  uint32_t run;
};

struct ColtBenchAdvice
{
  uint64_t call; /* its number */
  char *step;
  GPtrArray *servers; /* ids */
  uint32_t good_percent;
};

enum ColtBenchEventKind
{
  EVENT_START_ANSWER,
  EVENT_RUN_END,
  EVENT_REPORT,
  EVENT_RENEWAL,
  EVENT_ADVICE
};

struct ColtBenchEvent
{
  enum ColtBenchEventKind kind;
  void *subject; /* run, server or advice */
};

struct ColtBench
{
  struct ColtCell *cell;
  GRand *rand;
  int64_t now_ms;
  GArray *slots[SLOTS]; /* of struct ColtBenchEvent; may be NULL */
  struct ColtBenchServer *servers;
  uint32_t server_count;
  GHashTable *servers_by_id;
  uint32_t open_advice;
  uint32_t last_job;
  int64_t work_us[WORK_COUNT];
  int64_t longest_pass_us;
  uint64_t passes;
  uint64_t starts;
  uint64_t jobs;
  uint64_t advice_calls;
  uint64_t open_steps; /* summed over the passes */
  double start_budget; /* starts that may be planned now */
  uint64_t digest;     /* of starts, advice calls and logged decisions */
};

static int64_t
now_us (const struct ColtBench *bench)
{
  return bench->now_ms * COLT_US_PER_MS;
}

static void
add_event (struct ColtBench *bench,
           int64_t after_ms,
           enum ColtBenchEventKind kind,
           void *subject)
{
  const struct ColtBenchEvent event = { kind, subject };
  GArray **slot
      = &bench->slots[(bench->now_ms + CLAMP (after_ms, 1, SLOTS - 1)) % SLOTS];

  if (*slot == NULL)
    *slot = g_array_new (FALSE, FALSE, sizeof event);
  g_array_append_val (*slot, event);
}

static void
add_to_digest (struct ColtBench *bench, const char *text)
{
  const char *c = text != NULL ? text : "";

  do
    bench->digest = (bench->digest ^ (unsigned char)*c) * DIGEST_FACTOR;
  while (*c++ != '\0');
}

static const struct ColtBenchQueue *
find_queue_of_task (const char *task)
{
  /* The last digit of a job's id is the index of its queue. */
  return &queues[task[COLT_JOB_ID_LENGTH - 1] - '0'];
}

static void
on_start (void *client, const struct ColtStartOrder *order)
{
  struct ColtBench *bench = client;
  struct ColtBenchRun *run = g_new0 (struct ColtBenchRun, 1);
  const struct ColtBenchQueue *queue = find_queue_of_task (order->task);

  run->server = g_hash_table_lookup (bench->servers_by_id, order->server);
  run->task = g_strdup (order->task);
  run->run = order->run;
  g_ptr_array_add (run->server->runs, run);
  bench->starts++;
  add_to_digest (bench, order->task);
  add_to_digest (bench, order->server);
  add_event (bench, START_ANSWER_MS, EVENT_START_ANSWER, run);
  add_event (bench,
             START_ANSWER_MS
                 + (int64_t)((double)queue->task_ms
                             * g_rand_double_range (bench->rand, 0.5, 1.5)),
             EVENT_RUN_END, run);
}

static void
on_stop (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtBench *bench = client;

  /* The run ends by itself soon; the stop is answered at once. */
  colt_cell_apply_stop_result (bench->cell, server, task, run, true,
                               UINT64_MAX / 2, now_us (bench));
}

static bool
on_advise (void *client,
           uint64_t call,
           const char *step,
           const char *const *servers,
           size_t count)
{
  struct ColtBench *bench = client;
  const struct ColtBenchQueue *queue = find_queue_of_task (step);
  struct ColtBenchAdvice *advice;
  size_t i;

  if (bench->open_advice >= ADVISERS)
    return false;
  bench->open_advice++;
  bench->advice_calls++;
  add_to_digest (bench, step);
  advice = g_new0 (struct ColtBenchAdvice, 1);
  advice->call = call;
  advice->step = g_strdup (step);
  advice->good_percent = queue->good_percent;
  advice->servers = g_ptr_array_new_with_free_func (g_free);
  for (i = 0; i < count; i++)
    {
      add_to_digest (bench, servers[i]);
      g_ptr_array_add (advice->servers, g_strdup (servers[i]));
    }
  add_event (bench,
             queue->advice_ms
                 + (int64_t)(queue->advice_per_server_ms * (double)count),
             EVENT_ADVICE, advice);
  return true;
}

static void
on_decision (void *client,
             const char *job,
             const char *what,
             const char *detail)
{
  add_to_digest (client, job);
  add_to_digest (client, what);
  add_to_digest (client, detail);
}

static const struct ColtCellOps ops
    = { on_start, on_stop, on_advise, on_decision, on_decision };

static int64_t
processor_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return (int64_t)used.tv_sec * COLT_US_PER_S + used.tv_nsec / 1000;
}

static void
measure (struct ColtBench *bench, enum ColtCellWork work, int64_t began_us)
{
  bench->work_us[work] += colt_clock_monotonic_us () - began_us;
}

static void
report_server (struct ColtBench *bench, struct ColtBenchServer *server)
{
  GArray *running
      = g_array_new (FALSE, FALSE, sizeof (struct ColtRunningEntry));
  struct ColtServerReport report = { 0 };
  int64_t began_us;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtBenchRun *run = g_ptr_array_index (server->runs, i);
      const struct ColtRunningEntry entry = { run->task, run->run, "", 50 };

      g_array_append_val (running, entry);
    }
  report.call_number = ++server->calls;
  report.incarnation_ms = 1;
  report.running = (const struct ColtRunningEntry *)running->data;
  report.running_count = running->len;
  report.finished = (const struct ColtFinishedEntry *)server->finished->data;
  report.finished_count = server->finished->len;
  began_us = colt_clock_monotonic_us ();
  colt_cell_apply_report (bench->cell, server->id, &report, now_us (bench));
  measure (bench, WORK_REPORTS, began_us);
  for (i = 0; i < server->finished->len; i++)
    g_free (
        (char *)g_array_index (server->finished, struct ColtFinishedEntry, i)
            .task);
  g_array_set_size (server->finished, 0);
  server->report_due = false;
  g_array_unref (running);
}

static void
end_run (struct ColtBench *bench, struct ColtBenchRun *run)
{
  struct ColtBenchServer *server = run->server;
  const struct ColtFinishedEntry end
      = { ++server->last_end, run->task, run->run, COLT_RUN_DONE, "" };

  g_array_append_val (server->finished, end);
  g_ptr_array_remove_fast (server->runs, run);
  g_free (run);
  if (server->report_due)
    return;
  server->report_due = true;
  add_event (bench, REPORT_DELAY_MS, EVENT_REPORT, server);
}

static void
answer_advice (struct ColtBench *bench, struct ColtBenchAdvice *advice)
{
  GArray *tickets = g_array_new (FALSE, FALSE, sizeof (ColtTicket));
  GPtrArray *rows = g_ptr_array_new ();
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  int64_t began_us;
  guint i;

  for (i = 0; i < advice->servers->len; i++)
    {
      char *id = g_ptr_array_index (advice->servers, i);
      ColtTicket ticket = COLT_TICKET__INIT;

      if ((g_str_hash (advice->step) ^ g_str_hash (id)) % 100
          >= advice->good_percent)
        continue;
      ticket.server = id;
      ticket.ticket = "0123456789abcdef";
      g_array_append_val (tickets, ticket);
    }
  for (i = 0; i < tickets->len; i++)
    g_ptr_array_add (rows, &g_array_index (tickets, ColtTicket, i));
  reply.answered = true;
  reply.valid_ms = 2000;
  reply.n_tickets = rows->len;
  reply.tickets = (ColtTicket **)rows->pdata;
  began_us = colt_clock_monotonic_us ();
  colt_cell_apply_advice (bench->cell, advice->call, &reply, now_us (bench));
  measure (bench, WORK_ADVICE, began_us);
  bench->open_advice--;
  g_ptr_array_unref (rows);
  g_array_unref (tickets);
  g_ptr_array_unref (advice->servers);
  g_free (advice->step);
  g_free (advice);
}

static void
handle_event (struct ColtBench *bench, const struct ColtBenchEvent *event)
{
  struct ColtBenchServer *server = event->subject;
  const struct ColtBenchRun *run = event->subject;
  int64_t began_us = colt_clock_monotonic_us ();

  switch (event->kind)
    {
    case EVENT_START_ANSWER:
      colt_cell_apply_start_result (bench->cell, run->server->id, run->task,
                                    run->run, COLT_START_TAKEN,
                                    run->server->calls + 1, now_us (bench));
      measure (bench, WORK_STARTS, began_us);
      return;
    case EVENT_RUN_END:
      end_run (bench, event->subject);
      return;
    case EVENT_REPORT:
      report_server (bench, server);
      return;
    case EVENT_RENEWAL:
      add_event (bench, RENEWAL_INTERVAL_MS, EVENT_RENEWAL, server);
      if (server->runs->len > 0)
        report_server (bench, server);
      return;
    case EVENT_ADVICE:
      answer_advice (bench, event->subject);
    }
}

static ColtJobSpec *
make_job (struct ColtBench *bench, uint32_t queue_index)
{
  const struct ColtBenchQueue *queue = &queues[queue_index];
  ColtJobSpec *spec = malloc (sizeof *spec);
  uint32_t s;

  colt_job_spec__init (spec);
  spec->id
      = strdup (g_strdup_printf ("%015x%u", ++bench->last_job, queue_index));
  spec->organisation = strdup (g_strdup_printf (
      "o%d", g_rand_int_range (bench->rand, 0, ORGANISATIONS)));
  spec->queue = strdup (queue->name);
  spec->payload = strdup ("payload");
  spec->n_steps = queue->steps;
  spec->steps = calloc (queue->steps, sizeof *spec->steps);
  for (s = 0; s < queue->steps; s++)
    {
      ColtJobStep *step = malloc (sizeof *step);

      colt_job_step__init (step);
      step->count = (uint32_t)g_rand_int_range (bench->rand, 1,
                                                2 * (gint32)queue->width);
      step->cpu_milli = (uint32_t)queue->cores;
      step->accelerators = (uint32_t)queue->accelerators;
      step->estimate_ms = (uint32_t)queue->task_ms;
      step->gang = queue->gang;
      step->lasting = queue->lasting;
      if (s > 0)
        {
          step->n_after = 1;
          step->after = malloc (sizeof *step->after);
          step->after[0] = s - 1;
        }
      spec->steps[s] = step;
    }
  return spec;
}

static void
submit_jobs (struct ColtBench *bench, double load)
{
  uint32_t i;

  for (i = 0; i < G_N_ELEMENTS (queues); i++)
    if (g_rand_double (bench->rand) < load * queues[i].jobs_per_s / 1000)
      {
        ColtJobSpec *spec = make_job (bench, i);
        int64_t began_us = colt_clock_monotonic_us ();

        if (colt_cell_submit (bench->cell, spec, now_us (bench))
            == COLT_SUBMIT_NEW)
          bench->jobs++;
        else
          colt_job_spec__free_unpacked (spec, NULL);
        measure (bench, WORK_SUBMIT, began_us);
      }
}

/* Runs a pass; starts_per_s limits the starts that it plans, 0: no limit. */
static void
run_pass (struct ColtBench *bench, double starts_per_s)
{
  struct ColtCellStats before;
  struct ColtCellStats after;
  int64_t began_us;
  int64_t took_us;

  colt_cell_get_stats (bench->cell, &before);
  bench->start_budget += starts_per_s * PASS_INTERVAL_MS / 1000;
  if (starts_per_s > 0)
    colt_cell_set_start_budget (bench->cell, (uint32_t)bench->start_budget);
  began_us = processor_us ();
  colt_cell_place_tasks (bench->cell, now_us (bench), bench->now_ms);
  took_us = processor_us () - began_us;
  bench->work_us[WORK_PLACE] += took_us;
  bench->longest_pass_us = MAX (bench->longest_pass_us, took_us);
  bench->passes++;
  colt_cell_get_stats (bench->cell, &after);
  bench->open_steps += after.open_steps;
  bench->start_budget -= (double)(after.planned - before.planned);
  bench->start_budget = MAX (bench->start_budget, 0);
}

static void
run_millisecond (struct ColtBench *bench, double load, double starts_per_s)
{
  GArray *slot = bench->slots[bench->now_ms % SLOTS];
  int64_t began_us;
  guint i;

  bench->slots[bench->now_ms % SLOTS] = NULL;
  for (i = 0; slot != NULL && i < slot->len; i++)
    handle_event (bench, &g_array_index (slot, struct ColtBenchEvent, i));
  if (slot != NULL)
    g_array_unref (slot);
  submit_jobs (bench, load);
  if (bench->now_ms % PASS_INTERVAL_MS == 0)
    run_pass (bench, starts_per_s);
  if (bench->now_ms % COMMIT_INTERVAL_MS == 0)
    {
      began_us = colt_clock_monotonic_us ();
      colt_cell_free_records (
          colt_cell_take_records (bench->cell, SIZE_MAX, bench->now_ms));
      colt_cell_confirm_batch (bench->cell, now_us (bench));
      measure (bench, WORK_RECORDS, began_us);
    }
  if (bench->now_ms % TICK_INTERVAL_MS == 0)
    {
      began_us = colt_clock_monotonic_us ();
      colt_cell_tick (bench->cell, now_us (bench), bench->now_ms);
      measure (bench, WORK_TICK, began_us);
    }
  bench->now_ms++;
}

static void
add_servers (struct ColtBench *bench, uint32_t count)
{
  static const char *const services[] = { "bookings", "visuals" };
  static const double sizes[] = { 1, 1, 0.5, 2 };
  uint32_t i;

  bench->server_count = count;
  bench->servers = g_new0 (struct ColtBenchServer, count);
  for (i = 0; i < count; i++)
    {
      struct ColtBenchServer *server = &bench->servers[i];
      struct ColtServerEntry entry = { 0 };
      bool visuals = i % 25 >= 18;
      char rack[16];
      const char *labels[] = { i % 3 == 2 ? "b" : "a", rack, NULL };

      g_snprintf (rack, sizeof rack, "r-%u", i / 12);
      g_snprintf (server->id, sizeof server->id, "i-%08x", i);
      server->runs = g_ptr_array_new ();
      server->finished
          = g_array_new (FALSE, FALSE, sizeof (struct ColtFinishedEntry));
      g_hash_table_insert (bench->servers_by_id, server->id, server);
      entry.id = server->id;
      entry.service = services[visuals];
      entry.address = "127.0.0.1:1";
      entry.zone = "zone";
      entry.ready = true;
      entry.incarnation_ms = 1;
      entry.room.amount[COLT_RESOURCE_CORES]
          = visuals ? 64000 : (int64_t)(32000 * sizes[i % 4]);
      entry.room.amount[COLT_RESOURCE_ACCELERATORS] = visuals ? 8 : 0;
      entry.labels = labels;
      colt_cell_set_server (bench->cell, &entry, now_us (bench));
      report_server (bench, server);
      add_event (bench, 1 + i % RENEWAL_INTERVAL_MS, EVENT_RENEWAL, server);
    }
}

static struct ColtBench *
create_bench (uint32_t servers, bool gangs_first, uint32_t seed, bool policies)
{
  const struct ColtCellLimits limits = { .status_us = 120 * COLT_US_PER_S,
                                         .stop_retry_us = 800 * COLT_US_PER_MS,
                                         .advice_servers_max = 30,
                                         .gang_advice_servers_max = 100,
                                         .forecasts = policies };
  static const char *const services[] = { "bookings", "visuals" };
  struct ColtBench *bench = g_new0 (struct ColtBench, 1);
  struct ColtFleet *fleet = colt_fleet_create ();
  uint32_t i;

  bench->rand = g_rand_new_with_seed (seed);
  bench->now_ms = 1000;
  bench->digest = DIGEST_START;
  bench->servers_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  bench->cell = colt_cell_create (&ops, bench, &limits, 1);
  fleet->version = 1;
  for (i = 0; i < G_N_ELEMENTS (queues); i++)
    {
      struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

      queue->name = g_strdup (queues[i].name);
      queue->host = g_strdup ("");
      queue->prefix = g_strdup ("/");
      queue->service = g_strdup (services[queues[i].service]);
      queue->priority = gangs_first && !queues[i].gang ? 2 : 1;
      queue->max_attempts = 4;
      queue->stretch = queues[i].stretch;
      queue->target_ms = 1000;
      queue->advised = true;
      queue->advice_ms = queues[i].advice_ms;
      queue->advice_per_server_ms = queues[i].advice_per_server_ms;
    }
  for (i = 0; i < ORGANISATIONS; i++)
    {
      struct ColtOrganisation *organisation
          = colt_fleet_add_organisation (fleet);

      organisation->name = g_strdup_printf ("o%u", i);
      organisation->weight = 100;
    }
  colt_cell_set_fleet (bench->cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_finish_loading (bench->cell, 0);
  colt_cell_set_advisers (bench->cell, ADVISERS);
  add_servers (bench, servers);
  memset (bench->work_us, 0, sizeof bench->work_us);
  return bench;
}

/* Prints a row: costs in microseconds for each start, and of a pass. */
static void
print_row (const struct ColtBench *bench,
           double load,
           double starts_per_s,
           int64_t seconds)
{
  int64_t total_us = 0;
  int work;

  printf ("%u\t%.2f\t%.0f\t%.1f\t%.0f\t%.1f\t%.0f", bench->server_count, load,
          starts_per_s, (double)bench->jobs / (double)seconds,
          (double)bench->starts / (double)seconds,
          (double)bench->advice_calls / (double)seconds,
          (double)bench->open_steps / (double)MAX (bench->passes, 1));
  for (work = 0; work < WORK_COUNT; work++)
    {
      total_us += bench->work_us[work];
      printf ("\t%.2f",
              (double)bench->work_us[work] / (double)MAX (bench->starts, 1));
    }
  printf ("\t%.2f\t%.0f\t%" G_GINT64_FORMAT "\t%016" G_GINT64_MODIFIER "x\n",
          (double)total_us / (double)MAX (bench->starts, 1),
          (double)bench->work_us[WORK_PLACE] / (double)MAX (bench->passes, 1),
          bench->longest_pass_us, bench->digest);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    uint32_t servers;
    double load;
    double starts_per_s; /* limit; 0: none */
    bool gangs_first;    /* other queues have a lower priority, so that servers
                            are reserved for gangs */
  } rows[] = { { 275, 0.25, 0, false }, { 550, 0.5, 0, false },
               { 1100, 1, 0, false },   { 1100, 1.5, 0, false },
               { 1100, 2, 0, false },   { 1100, 5, 0, false },
               { 2200, 2, 0, false },   { 1100, 1, 1000, false },
               { 5200, 4.7, 0, false }, { 5200, 4.7, 0, true },
               { 1100, 2, 0, true } };
  uint32_t seed = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1;
  int64_t seconds = argc > 2 ? strtoll (argv[2], NULL, 10) : 20;
  size_t row = argc > 3 ? strtoul (argv[3], NULL, 10) : 0;
  /* Admission by forecast. */
  bool policies = argc > 4 && strtoul (argv[4], NULL, 10) != 0;
  size_t i;
  int work;

  printf ("servers\tload\tstart_limit\tjobs_per_s\tstarts_per_s\tadvice_per_"
          "s\topen_steps");
  for (work = 0; work < WORK_COUNT; work++)
    printf ("\t%s_us", work_string[work]);
  printf ("\ttotal_us\tpass_us\tlongest_pass_us\tdigest\n");
  for (i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct ColtBench *bench;
      int64_t end_ms;

      if (row != 0 && i != row - 1)
        continue;
      bench
          = create_bench (rows[i].servers, rows[i].gangs_first, seed, policies);
      end_ms = bench->now_ms + seconds * 1000;
      while (bench->now_ms < end_ms)
        run_millisecond (bench, rows[i].load, rows[i].starts_per_s);
      print_row (bench, rows[i].load, rows[i].starts_per_s, seconds);
    }
  return 0;
}
