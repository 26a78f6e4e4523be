#include "coltsfootstile/suspicion.h"

#include "link_fixture.h"
#include "tests.h"

#define ZONE_SERVERS 370
#define TICK_US (25 * COLT_US_PER_MS)
/* Longest wait for what takes milliseconds on an idle machine. */
#define WAIT_MAX_MS 10000

/* Load: a zone of 370 servers stops answering within a second. Each server is
 * queried once at once; repeated queries stay below 200 a second together, and
 * every server has its turn. */
static void
test_queries_of_zone (void)
{
  struct ColtSuspicion *suspicion = colt_suspicion_create ();
  struct ColtSuspect *zone = g_new0 (struct ColtSuspect, ZONE_SERVERS);
  int64_t now_us = COLT_US_PER_S;
  uint32_t queries = 0;
  uint32_t second;
  uint32_t i;

  for (i = 0; i < ZONE_SERVERS; i++)
    {
      g_assert_true (colt_suspicion_add_loss (suspicion, &zone[i], now_us));
      g_assert_false (colt_suspicion_add_loss (suspicion, &zone[i], now_us));
      g_assert_true (colt_suspicion_take_query (suspicion, &zone[i], now_us));
      g_assert_false (colt_suspicion_take_query (suspicion, &zone[i], now_us));
    }
  g_assert_cmpuint (colt_suspicion_count (suspicion), ==, ZONE_SERVERS);
  for (second = 0; second < 10; second++, queries = 0)
    {
      int64_t end_us = now_us + COLT_US_PER_S;

      for (; now_us < end_us; now_us += TICK_US)
        for (i = 0; i < ZONE_SERVERS; i++)
          queries += colt_suspicion_take_query (suspicion, &zone[i], now_us);
      g_assert_cmpuint (queries, <=, 205);
    }
  for (i = 0; i < ZONE_SERVERS; i++)
    {
      g_assert_cmpuint (zone[i].queries, >=, 4);
      g_assert_true (colt_suspicion_clear (suspicion, &zone[i]));
      g_assert_false (colt_suspicion_clear (suspicion, &zone[i]));
      g_assert_false (colt_suspicion_take_query (suspicion, &zone[i], now_us));
    }
  g_assert_cmpuint (colt_suspicion_count (suspicion), ==, 0);
  g_free (zone);
  colt_suspicion_destroy (suspicion);
}

/* Guards against servers that are never queried again: links are checked in a
 * fixed order, and each check that comes late loses queries. */
static void
test_queries_of_late_checks (void)
{
  struct ColtSuspicion *suspicion = colt_suspicion_create ();
  struct ColtSuspect *zone = g_new0 (struct ColtSuspect, ZONE_SERVERS);
  int64_t now_us = COLT_US_PER_S;
  int64_t half_us = now_us + 60 * COLT_US_PER_S;
  uint32_t queries[ZONE_SERVERS] = { 0 };
  uint32_t i;

  for (i = 0; i < ZONE_SERVERS; i++)
    colt_suspicion_add_loss (suspicion, &zone[i], now_us);
  for (; now_us < half_us + 60 * COLT_US_PER_S; now_us += 40 * COLT_US_PER_MS)
    for (i = 0; i < ZONE_SERVERS; i++)
      if (colt_suspicion_take_query (suspicion, &zone[i], now_us)
          && now_us >= half_us)
        queries[i]++;
  for (i = 0; i < ZONE_SERVERS; i++)
    g_assert_cmpuint (queries[i], >, 0);
  g_free (zone);
  colt_suspicion_destroy (suspicion);
}

struct ColtSuspectedLink
{
  struct ColtFakePorts *fake;
  struct ColtClientState state;
  struct ColtServerLink *link;
};

static const struct ColtStartOrder order
    = { .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = "" };

/* Runs until a start has a result. */
static enum ColtStartResult
wait_for_result (struct ColtSuspectedLink *opened)
{
  uint32_t i;

  opened->state.start_result = COLT_START_INVALID;
  for (i = 0;
       i < WAIT_MAX_MS / 10 && opened->state.start_result == COLT_START_INVALID;
       i++)
    colt_fixture_run_ticks (opened->fake, opened->link, 10);
  return opened->state.start_result;
}

/* Runs until the server is suspected, or no longer. */
static void
wait_until_suspected (struct ColtSuspectedLink *opened, bool suspected)
{
  uint32_t i;

  for (i = 0; i < WAIT_MAX_MS / 10 && opened->state.suspected != suspected; i++)
    colt_fixture_run_ticks (opened->fake, opened->link, 10);
  g_assert_true (opened->state.suspected == suspected);
}

/* Opens a link to a server that has accepted a start and closes no connections.
 */
static void
open_link (struct ColtSuspectedLink *opened)
{
  opened->fake = colt_fake_ports_create ();
  opened->fake->keeps_connections = true;
  opened->fake->server_answer.incarnation_ms = 1;
  opened->state.window = colt_order_window_create ();
  opened->state.suspicion = colt_suspicion_create ();
  opened->link = colt_fixture_open_link (opened->fake, &opened->state);
  colt_server_link_start (opened->link, &order);
  g_assert_cmpint (wait_for_result (opened), ==, COLT_START_TAKEN);
}

static void
close_link (struct ColtSuspectedLink *opened)
{
  colt_server_link_destroy (opened->link);
  g_assert_cmpuint (colt_suspicion_count (opened->state.suspicion), ==, 0);
  colt_suspicion_destroy (opened->state.suspicion);
  colt_order_window_destroy (opened->state.window);
  colt_fake_ports_destroy (opened->fake);
}

/* Load: answers that are lost at random. A start without an answer makes its
 * server suspected, and the starts behind it are withdrawn unsent. The answer
 * to the query clears the server within milliseconds, and the same start is
 * sent again. */
static void
test_lost_start (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_TAKEN, COLT_START_UNKNOWN };
  struct ColtSuspectedLink opened = { 0 };
  struct ColtFakePorts *fake;

  open_link (&opened);
  fake = opened.fake;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  fake->start_answer_ms = 100;
  colt_server_link_start (opened.link, &order);
  colt_server_link_start (opened.link, &order);
  g_assert_cmpuint (opened.state.suspicions, ==, 0);
  g_assert_cmpint (wait_for_result (&opened), ==, COLT_START_NOT_SENT);
  g_assert_cmpuint (opened.state.suspicions, >, 0);
  g_assert_cmpint (wait_for_result (&opened), ==, COLT_START_TAKEN);
  g_assert_false (opened.state.suspected);
  g_assert_cmpuint (fake->starts, ==, 3);
  close_link (&opened);
}

/* Load: a zone that is cut off. While its server doesn't answer, a start that
 * was sent neither ends nor takes a part of the budget, and isn't sent again;
 * the server counts as unreachable no sooner than without the suspicion. */
static void
test_budget_of_others (void)
{
  struct ColtSuspectedLink opened = { 0 };
  struct ColtFakePorts *fake;
  uint32_t budget;

  open_link (&opened);
  fake = opened.fake;
  budget = colt_order_window_budget (opened.state.window);
  fake->server_answer.result = COLT_START_UNKNOWN;
  fake->start_answer_ms = 50;
  fake->renewal_answer_ms = 3000;
  colt_server_link_start (opened.link, &order);
  colt_server_link_start (opened.link, &order);
  g_assert_cmpuint (colt_order_window_budget (opened.state.window), <, budget);
  g_assert_cmpint (wait_for_result (&opened), ==, COLT_START_NOT_SENT);
  g_assert_true (opened.state.suspected);
  g_assert_cmpuint (colt_order_window_budget (opened.state.window), >=, budget);
  g_assert_cmpuint (fake->starts, ==, 2);
  g_assert_cmpuint (opened.state.unreachable, ==, 0);
  close_link (&opened);
}

/* Load: idle servers of a zone that is cut off. They are asked for a report
 * before they get a start, and that call's timeout is 600 ms: the start must
 * not wait as long. */
static void
test_idle_server (void)
{
  struct ColtSuspectedLink opened = { 0 };

  open_link (&opened);
  colt_fixture_run_ticks (opened.fake, opened.link, 2300);
  opened.fake->server_answer.result = COLT_START_UNKNOWN;
  opened.fake->renewal_answer_ms = 1500;
  colt_server_link_start (opened.link, &order);
  g_assert_false (opened.state.suspected);
  g_assert_cmpint (wait_for_result (&opened), ==, COLT_START_NOT_SENT);
  g_assert_true (opened.state.suspected);
  g_assert_cmpuint (opened.state.unreachable, ==, 0);
  g_assert_cmpuint (opened.fake->starts, ==, 1);
  opened.fake->server_answer.result = COLT_START_TAKEN;
  opened.fake->renewal_answer_ms = 0;
  wait_until_suspected (&opened, false);
  close_link (&opened);
}

/* A renewal without an answer makes its server suspected too, before a second
 * one makes it unreachable. No query goes beside the next renewal: if it was
 * lost, the next start waited behind it on its channel, and its late answer
 * shrank the window of all servers. */
static void
test_lost_renewal (void)
{
  struct ColtSuspectedLink opened = { 0 };
  uint32_t calls;

  open_link (&opened);
  opened.state.runs = 1;
  opened.fake->server_answer.result = COLT_START_UNKNOWN;
  opened.fake->renewal_answer_ms = 200;
  wait_until_suspected (&opened, true);
  g_assert_cmpuint (opened.state.unreachable, ==, 0);
  opened.fake->renewal_answer_ms = 2000;
  calls = opened.fake->renewals;
  colt_fixture_run_ticks (opened.fake, opened.link, 100);
  g_assert_cmpuint (opened.fake->renewals, ==, calls + 1);
  g_assert_true (opened.state.suspected);
  opened.fake->server_answer.result = COLT_START_TAKEN;
  opened.fake->renewal_answer_ms = 0;
  wait_until_suspected (&opened, false);
  close_link (&opened);
}

void
colt_test_suspicion_add (void)
{
  g_test_add_func ("/scheduler/suspicion/late-checks",
                   test_queries_of_late_checks);
  g_test_add_func ("/scheduler/suspicion/queries-of-zone",
                   test_queries_of_zone);
  g_test_add_func ("/scheduler/suspicion/lost-start", test_lost_start);
  g_test_add_func ("/scheduler/suspicion/budget-of-others",
                   test_budget_of_others);
  g_test_add_func ("/scheduler/suspicion/idle-server", test_idle_server);
  g_test_add_func ("/scheduler/suspicion/lost-renewal", test_lost_renewal);
}
