/* Decisions of the cell under different patterns of load. */
#include <stdlib.h>

#include "fixture.h"

/* One organisation submits many times its rate: jobs of others within their
 * rate start before the excess, though they were submitted later. */
static void
test_hot_organisation (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 4000);
  for (i = 0; i < 10; i++)
    colt_fixture_submit (fixture, "tight", "hot", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_true (colt_fixture_has_started (fixture, 0, 1)
                 && colt_fixture_has_started (fixture, 0, 2));
  g_assert_true (colt_fixture_has_started (fixture, 0, 11)
                 && colt_fixture_has_started (fixture, 0, 12));
  colt_fixture_destroy (fixture);
}

/* More starts are due than can be sent: those that are most important are
 * planned, up to the budget; the others remain free for later ones. */
static void
test_burst_beyond_link (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 20000);
  for (i = 0; i < 6; i++)
    colt_fixture_submit (fixture, "tight", "hot", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_cell_set_start_budget (fixture->cell, 3);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  g_assert_true (colt_fixture_has_started (fixture, 0, 7));
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  colt_cell_set_start_budget (fixture->cell, UINT32_MAX);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 7);
  colt_fixture_destroy (fixture);
}

/* Demand exceeds the capacity for a long time: jobs that missed their objective
 * start after those that can meet it, and of these the newest start first. */
static void
test_overload (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 2000);
  for (i = 0; i < 6; i++)
    colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  fixture->now_us += 600 * MS;
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_report_end (fixture, 1, 1, COLT_RUN_DONE);
  colt_fixture_place (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_true (colt_fixture_has_started (fixture, 2, 8));
  g_assert_true (colt_fixture_has_started (fixture, 2, 7));
  colt_fixture_destroy (fixture);
}

/* A job is ending while its last tasks run and until its end is durable, but
 * not while a task waits for capacity. Requests for the state of an ending job
 * may be answered at its end. */
static void
test_ending_job (void)
{
  static const char id[] = "0000000000000001";
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  bool ended;

  colt_fixture_add_server (fixture, "server", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 2, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_false (colt_cell_is_ending (fixture->cell, id, &ended));
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  g_assert_true (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_false (ended);
  colt_fixture_report_end (fixture, 1, 1, COLT_RUN_DONE);
  g_assert_true (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_true (ended);
  colt_fixture_commit (fixture);
  g_assert_false (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_false (colt_cell_is_ending (fixture->cell, "none", &ended));
  colt_fixture_destroy (fixture);
}

/* Lasting steps request advice whenever the free capacity changes. They get
 * only a part of the concurrent calls, so that other steps get advice too. */
static void
test_lasting_steps_and_advisers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint lasting = 0;
  guint i;

  colt_fixture_add_server (fixture, "server", 64000);
  for (i = 0; i < 12; i++)
    colt_fixture_submit (fixture, "advised", "steady", 1, true);
  for (i = 0; i < 3; i++)
    colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  for (i = 0; i < fixture->advice_calls->len; i++)
    if (strtoul (g_ptr_array_index (fixture->advice_calls, i), NULL, 16) <= 12)
      lasting++;
  g_assert_cmpuint (lasting, <=, 2);
  g_assert_cmpuint (fixture->advice_calls->len, >, lasting);
  colt_fixture_destroy (fixture);
}

/* Grants the latest advice call tickets on the servers "one" and "two". */
static void
answer_advice (struct ColtLoadFixture *fixture)
{
  const char *servers[] = { "one", "two" };
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
  colt_fixture_answer_advice (fixture, fixture->calls->len - 1, &reply);
}

/* A gang's tickets expire before all its servers have free capacity. Once they
 * have, the capacity is reserved while new tickets are requested, and a small
 * job that is submitted later doesn't take it. */
static void
test_gang_beside_small_work (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "one", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_add_server (fixture, "two", 1000);
  colt_fixture_submit_gang (fixture, "advised", 2);
  colt_fixture_place (fixture);
  answer_advice (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  fixture->now_us += 2000 * MS;
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_cmpuint (fixture->advice_calls->len, ==, 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  answer_advice (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  g_assert_true (colt_fixture_has_started (fixture, 1, 2));
  g_assert_false (colt_fixture_has_started (fixture, 1, 3));
  colt_fixture_destroy (fixture);
}

/* A wide lasting step has filled more servers than an advice call names. When
 * another server gets room, the next call names that one rather than the full
 * servers that are known to be suitable. */
static void
test_wide_lasting_step_in_full_fleet (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  char id[16];
  int i;

  for (i = 0; i < 35; i++)
    {
      g_snprintf (id, sizeof id, "full-%d", i);
      colt_fixture_add_server (fixture, id, 1000);
    }
  colt_fixture_submit (fixture, "advised", "steady", 36, true);
  for (i = 0; i < 4; i++)
    {
      colt_fixture_place (fixture);
      if (fixture->advice_calls->len > 0)
        colt_fixture_grant_servers (fixture, fixture->calls->len - 1);
      fixture->now_us += 1000 * MS;
    }
  g_assert_cmpuint (fixture->starts->len, ==, 35);
  fixture->now_us += 2000 * MS;
  colt_fixture_add_server (fixture, "free", 1000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->advice_calls->len, ==, 1);
  colt_fixture_grant_servers (fixture, fixture->calls->len - 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 36);
  g_assert_true (colt_fixture_was_sent_to (fixture, 35, "free"));
  colt_fixture_destroy (fixture);
}

/* A run whose start had no reply is stopped only if the server doesn't list it
 * in a report that was requested after the start. */
static void
test_unanswered_start (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  const struct ColtRunningEntry running
      = { "0000000000000001.0.0.0", 1, "", 100 };
  struct ColtServerReport report = { 0 };

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_cell_apply_start_result (fixture->cell, "server",
                                "0000000000000001.0.0.0", 1, COLT_START_UNKNOWN,
                                5, fixture->now_us);
  colt_cell_apply_start_result (fixture->cell, "server",
                                "0000000000000002.0.0.0", 1, COLT_START_UNKNOWN,
                                5, fixture->now_us);
  colt_fixture_report_idle (fixture, "server", 4);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  report.call_number = 5;
  report.running = &running;
  report.running_count = 1;
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (fixture->stops, 0), ==,
                   "0000000000000002.0.0.0@server");
  colt_fixture_destroy (fixture);
}

/* A start is ordered only once the record of its server is durable. */
static void
test_start_waits_for_record (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  g_assert_true (colt_cell_has_waiting_starts (fixture->cell));
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_fixture_commit (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_false (colt_cell_has_waiting_starts (fixture->cell));
  colt_fixture_destroy (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/load/wide-lasting-step-in-full-fleet",
                   test_wide_lasting_step_in_full_fleet);
  g_test_add_func ("/cell/load/burst-beyond-link", test_burst_beyond_link);
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
  colt_load_add_server_tests ();
  colt_load_add_advice_tests ();
  return g_test_run ();
}
