/* Patterns of load, each answered by a decision of the cell. */
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"

#define MS COLT_US_PER_MS
/* Size of a step's name. */
#define TASK_SIZE 64

struct ColtLoad
{
  struct ColtCell *cell;
  int64_t now_us;
  GPtrArray *starts;  /* of "task@server" in order */
  GPtrArray *stops;   /* of "task@server" */
  GPtrArray *advised; /* of steps asked about and not answered yet */
  uint32_t advisers;
  uint32_t next_id;
};

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

static struct ColtLoad *
make_load (void)
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

static void
free_load (struct ColtLoad *load)
{
  colt_cell_destroy (load->cell);
  g_ptr_array_unref (load->starts);
  g_ptr_array_unref (load->stops);
  g_ptr_array_unref (load->advised);
  g_free (load);
}

static void
report (struct ColtLoad *load, const char *server, uint64_t asked)
{
  struct ColtServerReport list = { 0 };

  list.asked = asked;
  colt_cell_report (load->cell, server, &list, load->now_us);
}

static void
add_server_of_kind (struct ColtLoad *load,
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
  report (load, id, 1);
}

static void
add_server (struct ColtLoad *load, const char *id, int64_t cores)
{
  add_server_of_kind (load, id, cores, "a");
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

static void
submit (struct ColtLoad *load,
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

static void
submit_gang (struct ColtLoad *load, const char *queue, uint32_t count)
{
  ColtJobSpec *spec = make_job (load, queue, "steady", count);

  spec->steps[0]->gang = true;
  spec->steps[0]->estimate_ms = 4000;
  g_assert_cmpint (colt_cell_submit (load->cell, spec, load->now_us), ==,
                   COLT_SUBMIT_NEW);
}

static void
commit (struct ColtLoad *load)
{
  colt_cell_free_records (
      colt_cell_take_records (load->cell, SIZE_MAX, load->now_us / MS));
  colt_cell_committed (load->cell, load->now_us);
}

/* One pass of placement; its starts are ordered. */
static void
place (struct ColtLoad *load)
{
  commit (load);
  colt_cell_place (load->cell, load->now_us, load->now_us / MS);
  commit (load);
}

static void
take_start (struct ColtLoad *load, guint start)
{
  char **parts = g_strsplit (g_ptr_array_index (load->starts, start), "@", 2);

  colt_cell_started (load->cell, parts[1], parts[0], 1, COLT_START_TAKEN, 1000,
                     load->now_us);
  g_strfreev (parts);
}

static void
finish (struct ColtLoad *load, guint start, uint32_t run, enum ColtRunEnd how)
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
static bool
has_started (const struct ColtLoad *load, guint from, uint32_t id)
{
  char prefix[COLT_JOB_ID_LENGTH + 1];
  guint i;

  g_snprintf (prefix, sizeof prefix, "%016x", id);
  for (i = from; i < load->starts->len; i++)
    if (g_str_has_prefix (g_ptr_array_index (load->starts, i), prefix))
      return true;
  return false;
}

/* One organisation hands in many times its rate: what others are owed goes
 * first, though it came later. */
static void
test_hot_organisation (void)
{
  struct ColtLoad *load = make_load ();
  int i;

  add_server (load, "server", 4000);
  for (i = 0; i < 10; i++)
    submit (load, "tight", "hot", 1, false);
  submit (load, "tight", "steady", 1, false);
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (has_started (load, 0, 1) && has_started (load, 0, 2));
  g_assert_true (has_started (load, 0, 11) && has_started (load, 0, 12));
  free_load (load);
}

/* More work than room for long: jobs that missed their objective give way to
 * those that can meet it, the newest of these first. */
static void
test_overload (void)
{
  struct ColtLoad *load = make_load ();
  int i;

  add_server (load, "server", 2000);
  for (i = 0; i < 6; i++)
    submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  load->now_us += 600 * MS;
  submit (load, "tight", "steady", 1, false);
  submit (load, "tight", "steady", 1, false);
  place (load);
  finish (load, 0, 1, COLT_RUN_DONE);
  finish (load, 1, 1, COLT_RUN_DONE);
  place (load);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (has_started (load, 2, 8));
  g_assert_true (has_started (load, 2, 7));
  free_load (load);
}

/* Servers of unlike speed: after some steps short work goes to the fast one. */
static void
test_unlike_servers (void)
{
  struct ColtLoad *load = make_load ();
  guint first;
  int i;

  add_server (load, "fast", 2000);
  add_server (load, "slow", 2000);
  for (i = 0; i < 12; i++)
    {
      guint s;

      first = load->starts->len;
      submit (load, "tight", "steady", 4, false);
      place (load);
      g_assert_cmpuint (load->starts->len, ==, first + 4);
      for (s = first; s < first + 4; s++)
        take_start (load, s);
      load->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (load->starts, s), "@fast"))
          finish (load, s, 1, COLT_RUN_DONE);
      load->now_us += 100 * MS;
      for (s = first; s < first + 4; s++)
        if (g_str_has_suffix (g_ptr_array_index (load->starts, s), "@slow"))
          finish (load, s, 1, COLT_RUN_DONE);
    }
  for (i = 0; i < 2; i++)
    {
      submit (load, "tight", "steady", 1, false);
      place (load);
      g_assert_true (g_str_has_suffix (
          g_ptr_array_index (load->starts, load->starts->len - 1), "@fast"));
    }
  free_load (load);
}

static bool
ran_on (const struct ColtLoad *load, guint start, const char *server)
{
  return g_str_has_suffix (g_ptr_array_index (load->starts, start), server);
}

/* A step of two tasks on two servers, one of which takes twice as long. */
static void
run_unlike_pair (struct ColtLoad *load, const char *slow)
{
  guint first = load->starts->len;
  guint s;

  submit (load, "tight", "steady", 2, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, first + 2);
  for (s = first; s < first + 2; s++)
    take_start (load, s);
  load->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (!ran_on (load, s, slow))
      finish (load, s, 1, COLT_RUN_DONE);
  load->now_us += 100 * MS;
  for (s = first; s < first + 2; s++)
    if (ran_on (load, s, slow))
      finish (load, s, 1, COLT_RUN_DONE);
}

/* Servers that haven't run anything yet are taken to be as fast as others of
 * their kind: after a change of the lead, say, or new ones. */
static void
test_unlike_kinds (void)
{
  struct ColtLoad *load = make_load ();
  int i;

  add_server_of_kind (load, "quick-1", 1000, "quick");
  add_server_of_kind (load, "lame-1", 1000, "lame");
  for (i = 0; i < 4; i++)
    run_unlike_pair (load, "lame-1");
  colt_cell_unlist_server (load->cell, "quick-1");
  colt_cell_unlist_server (load->cell, "lame-1");
  add_server_of_kind (load, "lame-2", 1000, "lame");
  add_server_of_kind (load, "quick-2", 1000, "quick");
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_true (ran_on (load, load->starts->len - 1, "quick-2"));
  free_load (load);
}

/* A server tells how far the first run that was started on it is. */
static void
report_percent (struct ColtLoad *load, guint start, int64_t percent)
{
  char **parts = g_strsplit (g_ptr_array_index (load->starts, start), "@", 2);
  const struct ColtRunningEntry running = { parts[0], 1, "", percent };
  struct ColtServerReport list = { 0 };

  list.asked = 1000;
  list.running = &running;
  list.running_count = 1;
  colt_cell_report (load->cell, parts[1], &list, load->now_us);
  g_strfreev (parts);
}

/* Four tasks of a step on a server each; the last one is told to be this far
 * when the others are halfway. */
static struct ColtLoad *
run_uneven_step (int64_t percent)
{
  struct ColtLoad *load = make_load ();
  guint i;

  add_server (load, "a", 1000);
  add_server (load, "b", 1000);
  add_server (load, "c", 1000);
  add_server (load, "d", 1000);
  submit (load, "tight", "steady", 4, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  for (i = 0; i < 4; i++)
    take_start (load, i);
  load->now_us += 1000 * MS;
  for (i = 0; i < 4; i++)
    report_percent (load, i, i < 3 ? 50 : percent);
  return load;
}

/* On a server that has become slow: the task starts again elsewhere, once there
 * is room, and later work keeps away from that server. */
static void
test_slow_server_left (void)
{
  struct ColtLoad *load = run_uneven_step (5);
  const char *slow = g_ptr_array_index (load->starts, 3);

  place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  add_server (load, "e", 1000);
  load->now_us += 250 * MS;
  place (load);
  g_assert_cmpuint (load->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (load->stops, 0), ==, slow);
  finish (load, 3, 1, COLT_RUN_STOPPED);
  load->now_us += 200 * MS;
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 5);
  g_assert_true (ran_on (load, 4, "@e"));
  free_load (load);
}

/* A task that is only somewhat larger than its step's others is left alone. */
static void
test_larger_task_left_alone (void)
{
  struct ColtLoad *load = run_uneven_step (25);

  add_server (load, "e", 1000);
  load->now_us += 250 * MS;
  place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  free_load (load);
}

/* A task that stands still starts again elsewhere, though its server lists it
 * and renews its lease. */
static void
test_still_task (void)
{
  struct ColtLoad *load = make_load ();

  add_server (load, "still", 1000);
  submit (load, "tight", "steady", 1, false);
  place (load);
  take_start (load, 0);
  add_server (load, "other", 1000);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  place (load);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  place (load);
  g_assert_cmpuint (load->stops->len, ==, 0);
  load->now_us += 1000 * MS;
  report_percent (load, 0, 10);
  place (load);
  g_assert_cmpuint (load->stops->len, ==, 1);
  finish (load, 0, 1, COLT_RUN_STOPPED);
  load->now_us += 200 * MS;
  place (load);
  g_assert_true (ran_on (load, load->starts->len - 1, "@other"));
  free_load (load);
}

/* Callers who ask for its state may wait for a job whose last tasks run, and
 * until its end is durable; not while a task waits for room. */
static void
test_ending_job (void)
{
  static const char id[] = "0000000000000001";
  struct ColtLoad *load = make_load ();
  bool ended;

  add_server (load, "server", 1000);
  submit (load, "tight", "steady", 2, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_false (colt_cell_is_ending (load->cell, id, &ended));
  finish (load, 0, 1, COLT_RUN_DONE);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  g_assert_true (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_false (ended);
  finish (load, 1, 1, COLT_RUN_DONE);
  g_assert_true (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_true (ended);
  commit (load);
  g_assert_false (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_false (colt_cell_is_ending (load->cell, "none", &ended));
  free_load (load);
}

/* A server that fails all it starts loses its work after a few starts. */
static void
test_failing_server (void)
{
  struct ColtLoad *load = make_load ();
  guint i;

  add_server (load, "bad", 1000);
  for (i = 0; i < 3; i++)
    {
      submit (load, "tight", "steady", 1, false);
      place (load);
      g_assert_cmpuint (load->starts->len, ==, i + 1);
      finish (load, i, 1, COLT_RUN_FAILED);
      colt_cell_cancel (load->cell,
                        (char[]){ '0', '0', '0', '0', '0', '0', '0', '0', '0',
                                  '0', '0', '0', '0', '0', '0', (char)('1' + i),
                                  '\0' },
                        load->now_us);
      load->now_us += 50 * MS;
    }
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 3);
  add_server (load, "good", 1000);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (
      g_str_has_suffix (g_ptr_array_index (load->starts, 3), "@good"));
  free_load (load);
}

/* Steps that last ask for advice whenever room moves; the others' calls get
 * through. */
static void
test_lasting_steps_and_advisers (void)
{
  struct ColtLoad *load = make_load ();
  guint lasting = 0;
  guint i;

  add_server (load, "server", 64000);
  for (i = 0; i < 12; i++)
    submit (load, "advised", "steady", 1, true);
  for (i = 0; i < 3; i++)
    submit (load, "advised", "steady", 1, false);
  place (load);
  for (i = 0; i < load->advised->len; i++)
    if (strtoul (g_ptr_array_index (load->advised, i), NULL, 16) <= 12)
      lasting++;
  g_assert_cmpuint (lasting, <=, 2);
  g_assert_cmpuint (load->advised->len, >, lasting);
  free_load (load);
}

static void
answer_advice (struct ColtLoad *load, uint32_t id)
{
  const char *servers[] = { "one", "two" };
  char step[TASK_SIZE];
  ColtTicket tickets[2];
  ColtTicket *rows[2] = { &tickets[0], &tickets[1] };
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  int i;

  for (i = 0; i < 2; i++)
    {
      colt_ticket__init (&tickets[i]);
      tickets[i].server = (char *)servers[i];
      tickets[i].ticket = "ticket";
    }
  reply.answered = true;
  reply.valid_ms = 1500;
  reply.n_tickets = 2;
  reply.tickets = rows;
  g_snprintf (step, sizeof step, "%016x.0.0", id);
  g_ptr_array_set_size (load->advised, 0);
  colt_cell_advised (load->cell, step, servers, 2, &reply, load->now_us);
}

/* A gang's tickets end before all its servers have room: once they have, the
 * room is kept while tickets are asked for again, and small work that comes
 * later doesn't take it. */
static void
test_gang_beside_small_work (void)
{
  struct ColtLoad *load = make_load ();

  add_server (load, "one", 1000);
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  add_server (load, "two", 1000);
  submit_gang (load, "advised", 2);
  place (load);
  answer_advice (load, 2);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  load->now_us += 2000 * MS;
  finish (load, 0, 1, COLT_RUN_DONE);
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_cmpuint (load->advised->len, ==, 1);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  answer_advice (load, 2);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 3);
  g_assert_true (has_started (load, 1, 2));
  g_assert_false (has_started (load, 1, 3));
  free_load (load);
}

/* A start without an answer is stopped only if the server lacks it. */
static void
test_unanswered_start (void)
{
  struct ColtLoad *load = make_load ();
  const struct ColtRunningEntry running
      = { "0000000000000001.0.0.0", 1, "", 100 };
  struct ColtServerReport list = { 0 };

  add_server (load, "server", 2000);
  submit (load, "tight", "steady", 1, false);
  submit (load, "tight", "steady", 1, false);
  place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  colt_cell_started (load->cell, "server", "0000000000000001.0.0.0", 1,
                     COLT_START_UNKNOWN, 5, load->now_us);
  colt_cell_started (load->cell, "server", "0000000000000002.0.0.0", 1,
                     COLT_START_UNKNOWN, 5, load->now_us);
  report (load, "server", 4);
  g_assert_cmpuint (load->stops->len, ==, 0);
  list.asked = 5;
  list.running = &running;
  list.running_count = 1;
  colt_cell_report (load->cell, "server", &list, load->now_us);
  g_assert_cmpuint (load->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (load->stops, 0), ==,
                   "0000000000000002.0.0.0@server");
  free_load (load);
}

/* Nothing is ordered before it is on record where it may run. */
static void
test_start_waits_for_record (void)
{
  struct ColtLoad *load = make_load ();

  add_server (load, "server", 2000);
  submit (load, "tight", "steady", 1, false);
  colt_cell_place (load->cell, load->now_us, load->now_us / MS);
  g_assert_true (colt_cell_is_urgent (load->cell));
  g_assert_cmpuint (load->starts->len, ==, 0);
  commit (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_false (colt_cell_is_urgent (load->cell));
  free_load (load);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/load/hot-organisation", test_hot_organisation);
  g_test_add_func ("/cell/load/overload", test_overload);
  g_test_add_func ("/cell/load/unlike-servers", test_unlike_servers);
  g_test_add_func ("/cell/load/unlike-kinds", test_unlike_kinds);
  g_test_add_func ("/cell/load/slow-server-left", test_slow_server_left);
  g_test_add_func ("/cell/load/larger-task-left-alone",
                   test_larger_task_left_alone);
  g_test_add_func ("/cell/load/still-task", test_still_task);
  g_test_add_func ("/cell/load/ending-job", test_ending_job);
  g_test_add_func ("/cell/load/failing-server", test_failing_server);
  g_test_add_func ("/cell/load/lasting-steps-and-advisers",
                   test_lasting_steps_and_advisers);
  g_test_add_func ("/cell/load/gang-beside-small-work",
                   test_gang_beside_small_work);
  g_test_add_func ("/cell/load/unanswered-start", test_unanswered_start);
  g_test_add_func ("/cell/load/start-waits-for-record",
                   test_start_waits_for_record);
  return g_test_run ();
}
