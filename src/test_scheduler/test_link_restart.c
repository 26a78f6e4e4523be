/* Servers that restart under their ids while a link is open. */
#include "link_fixture.h"
#include "tests.h"

/* Difference between the clocks of two incarnations. */
#define CLOCK_STEP_MS 1000000
/* Longer than a test; a renewal that a crashed server leaves without an answer.
 */
#define NO_ANSWER_MS 60000

static const struct ColtStartOrder start_order
    = { .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = "" };

/* Opens a link to a server that has one run, and reports once. */
static struct ColtServerLink *
open_link_with_run (struct ColtFakePorts *fake, struct ColtClientState *state)
{
  struct ColtServerLink *link = colt_fixture_open_link (fake, state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  state->runs = 1;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state->reports, >, 1);
  return link;
}

/* Guards against tasks that run twice: a server crashes silently and restarts
 * with a clock that is ahead. While the renewal that was open at the crash
 * still waits, the new incarnation answers starts, and the clock in these
 * answers must not be compared with leases on the clock of the former one. */
static void
test_clock_of_new_incarnation (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_LATE, COLT_START_TAKEN };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = open_link_with_run (fake, &state);
  size_t i;

  fake->renewal_answer_ms = NO_ANSWER_MS;
  colt_fixture_run_ticks (fake, link, 60);
  fake->server_clock_ms += CLOCK_STEP_MS;
  fake->server_answer.incarnation_ms = 2;
  fake->renewal_answer_ms = 0;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  for (i = 0; i < G_N_ELEMENTS (results); i++)
    {
      colt_server_link_start (link, &start_order);
      colt_fixture_run_ticks (fake, link, 30);
      g_assert_cmpuint (state.runs_lost, ==, 0);
    }
  /* A report is requested at once, not when the open renewal is given up. */
  g_assert_cmpint (state.incarnation_ms, ==, 2);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against tasks that run twice: an answer of the former incarnation that
 * arrives after the new one has reported must not be compared with the new
 * leases. */
static void
test_late_clock_of_former_incarnation (void)
{
  static const enum ColtStartResult results[] = { COLT_START_TAKEN };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = open_link_with_run (fake, &state);

  fake->server_answer.incarnation_ms = 2;
  fake->server_clock_ms -= CLOCK_STEP_MS;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpint (state.incarnation_ms, ==, 2);
  fake->renewal_answer_ms = NO_ANSWER_MS;
  colt_fixture_run_ticks (fake, link, 60);
  fake->server_clock_ms += CLOCK_STEP_MS;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_server_link_start (link, &start_order);
  colt_fixture_run_ticks (fake, link, LEASE_MS / 2);
  g_assert_cmpuint (fake->starts, ==, 1);
  g_assert_cmpuint (state.runs_lost, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against tasks that run twice: another server's answer at the address
 * shows nothing if it may be older than the last answer of the server itself.
 */
static void
test_replaced_before_answer (void)
{
  static const enum ColtStartResult results[] = { COLT_START_TAKEN };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = open_link_with_run (fake, &state);

  fake->server_answer.result = COLT_START_GONE;
  fake->renewal_answer_ms = 150;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_fixture_run_ticks (fake, link, 60);
  colt_server_link_start (link, &start_order);
  colt_fixture_run_ticks (fake, link, 50);
  fake->renewal_answer_ms = NO_ANSWER_MS;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.runs_lost, ==, 0);
  fake->renewal_answer_ms = 0;
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against tasks that run again though they were done: after a renewal
 * without an answer, the next one may reach a new incarnation, which would
 * forget ends of its own by the number of the former one's last durable end. */
static void
test_ack_after_lost_renewal (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = open_link_with_run (fake, &state);
  uint32_t renewals;

  colt_server_link_ack_ends (link, 1, 9);
  colt_fixture_run_ticks (fake, link, 60);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 9);
  fake->server_answer.result = COLT_START_UNKNOWN;
  renewals = fake->renewals;
  while (fake->renewals == renewals)
    colt_fixture_run_ticks (fake, link, 1);
  fake->server_answer.result = COLT_START_TAKEN;
  while (fake->renewals == renewals + 1)
    colt_fixture_run_ticks (fake, link, 1);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 0);
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 9);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

void
colt_test_link_restart_add (void)
{
  g_test_add_func ("/scheduler/restart/ack-after-lost-renewal",
                   test_ack_after_lost_renewal);
  g_test_add_func ("/scheduler/restart/replaced-before-answer",
                   test_replaced_before_answer);
  g_test_add_func ("/scheduler/restart/clock-of-new-incarnation",
                   test_clock_of_new_incarnation);
  g_test_add_func ("/scheduler/restart/late-clock-of-former-incarnation",
                   test_late_clock_of_former_incarnation);
}
