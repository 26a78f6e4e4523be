/* Patterns of load, each answered by a decision of the cell. */
#include <stdlib.h>

#include "fixture.h"

/* Size of a step's name. */
#define TASK_SIZE 64

/* One organisation hands in many times its rate: what others are owed goes
 * first, though it came later. */
static void
test_hot_organisation (void)
{
  struct ColtLoad *load = colt_load_make ();
  int i;

  colt_load_add_server (load, "server", 4000);
  for (i = 0; i < 10; i++)
    colt_load_submit (load, "tight", "hot", 1, false);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (colt_load_has_started (load, 0, 1)
                 && colt_load_has_started (load, 0, 2));
  g_assert_true (colt_load_has_started (load, 0, 11)
                 && colt_load_has_started (load, 0, 12));
  colt_load_free (load);
}

/* More work than room for long: jobs that missed their objective give way to
 * those that can meet it, the newest of these first. */
static void
test_overload (void)
{
  struct ColtLoad *load = colt_load_make ();
  int i;

  colt_load_add_server (load, "server", 2000);
  for (i = 0; i < 6; i++)
    colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  load->now_us += 600 * MS;
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  colt_load_finish (load, 0, 1, COLT_RUN_DONE);
  colt_load_finish (load, 1, 1, COLT_RUN_DONE);
  colt_load_place (load);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 4);
  g_assert_true (colt_load_has_started (load, 2, 8));
  g_assert_true (colt_load_has_started (load, 2, 7));
  colt_load_free (load);
}

/* Callers who ask for its state may wait for a job whose last tasks run, and
 * until its end is durable; not while a task waits for room. */
static void
test_ending_job (void)
{
  static const char id[] = "0000000000000001";
  struct ColtLoad *load = colt_load_make ();
  bool ended;

  colt_load_add_server (load, "server", 1000);
  colt_load_submit (load, "tight", "steady", 2, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_false (colt_cell_is_ending (load->cell, id, &ended));
  colt_load_finish (load, 0, 1, COLT_RUN_DONE);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  g_assert_true (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_false (ended);
  colt_load_finish (load, 1, 1, COLT_RUN_DONE);
  g_assert_true (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_true (ended);
  colt_load_commit (load);
  g_assert_false (colt_cell_is_ending (load->cell, id, &ended));
  g_assert_false (colt_cell_is_ending (load->cell, "none", &ended));
  colt_load_free (load);
}

/* Steps that last ask for advice whenever room moves; the others' calls get
 * through. */
static void
test_lasting_steps_and_advisers (void)
{
  struct ColtLoad *load = colt_load_make ();
  guint lasting = 0;
  guint i;

  colt_load_add_server (load, "server", 64000);
  for (i = 0; i < 12; i++)
    colt_load_submit (load, "advised", "steady", 1, true);
  for (i = 0; i < 3; i++)
    colt_load_submit (load, "advised", "steady", 1, false);
  colt_load_place (load);
  for (i = 0; i < load->advised->len; i++)
    if (strtoul (g_ptr_array_index (load->advised, i), NULL, 16) <= 12)
      lasting++;
  g_assert_cmpuint (lasting, <=, 2);
  g_assert_cmpuint (load->advised->len, >, lasting);
  colt_load_free (load);
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
  struct ColtLoad *load = colt_load_make ();

  colt_load_add_server (load, "one", 1000);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  colt_load_add_server (load, "two", 1000);
  colt_load_submit_gang (load, "advised", 2);
  colt_load_place (load);
  answer_advice (load, 2);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  load->now_us += 2000 * MS;
  colt_load_finish (load, 0, 1, COLT_RUN_DONE);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_cmpuint (load->advised->len, ==, 1);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  answer_advice (load, 2);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 3);
  g_assert_true (colt_load_has_started (load, 1, 2));
  g_assert_false (colt_load_has_started (load, 1, 3));
  colt_load_free (load);
}

/* A start without an answer is stopped only if the server lacks it. */
static void
test_unanswered_start (void)
{
  struct ColtLoad *load = colt_load_make ();
  const struct ColtRunningEntry running
      = { "0000000000000001.0.0.0", 1, "", 100 };
  struct ColtServerReport list = { 0 };

  colt_load_add_server (load, "server", 2000);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_load_place (load);
  g_assert_cmpuint (load->starts->len, ==, 2);
  colt_cell_started (load->cell, "server", "0000000000000001.0.0.0", 1,
                     COLT_START_UNKNOWN, 5, load->now_us);
  colt_cell_started (load->cell, "server", "0000000000000002.0.0.0", 1,
                     COLT_START_UNKNOWN, 5, load->now_us);
  colt_load_report (load, "server", 4);
  g_assert_cmpuint (load->stops->len, ==, 0);
  list.asked = 5;
  list.running = &running;
  list.running_count = 1;
  colt_cell_report (load->cell, "server", &list, load->now_us);
  g_assert_cmpuint (load->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (load->stops, 0), ==,
                   "0000000000000002.0.0.0@server");
  colt_load_free (load);
}

/* Nothing is ordered before it is on record where it may run. */
static void
test_start_waits_for_record (void)
{
  struct ColtLoad *load = colt_load_make ();

  colt_load_add_server (load, "server", 2000);
  colt_load_submit (load, "tight", "steady", 1, false);
  colt_cell_place (load->cell, load->now_us, load->now_us / MS);
  g_assert_true (colt_cell_is_urgent (load->cell));
  g_assert_cmpuint (load->starts->len, ==, 0);
  colt_load_commit (load);
  g_assert_cmpuint (load->starts->len, ==, 1);
  g_assert_false (colt_cell_is_urgent (load->cell));
  colt_load_free (load);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/load/hot-organisation", test_hot_organisation);
  g_test_add_func ("/cell/load/overload", test_overload);
  g_test_add_func ("/cell/load/ending-job", test_ending_job);
  g_test_add_func ("/cell/load/lasting-steps-and-advisers",
                   test_lasting_steps_and_advisers);
  g_test_add_func ("/cell/load/gang-beside-small-work",
                   test_gang_beside_small_work);
  g_test_add_func ("/cell/load/unanswered-start", test_unanswered_start);
  g_test_add_func ("/cell/load/start-waits-for-record",
                   test_start_waits_for_record);
  colt_load_servers_add ();
  return g_test_run ();
}
