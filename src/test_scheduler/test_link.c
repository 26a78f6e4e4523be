#include "link_fixture.h"
#include "tests.h"

/* Longer than a server that is known to be alive stays without an answer. */
#define SILENCE_MS 2300

/* Renewals that can't be sent renew no lease: the leases of a server that has
 * left expire, and its runs with them. */
static void
test_link_lease_ends (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  g_assert_cmpuint (state.reports, ==, 1);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 200);
  g_assert_cmpint (fake->last_renewal.until_ms, >, 0);
  g_assert_cmpuint (fake->last_renewal.token, ==, 7);
  fake->server_answer.result = COLT_START_NOT_SENT;
  colt_fixture_run_ticks (fake, link, 2 * LEASE_MS + 400);
  g_assert_cmpuint (state.unreachable, ==, 1);
  g_assert_cmpuint (state.runs_lost, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Runs inherited from an earlier leader don't end with the shorter leases that
 * this leader has renewed, but when the earlier leader's have ended too; also
 * if this one could renew none. */
static void
test_link_inherited_leases (void)
{
  static const int64_t confirmed_ms[] = { 100, -100 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (confirmed_ms); i++)
    {
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtClientState state = { 0 };
      int64_t now_us = colt_clock_monotonic_us ();
      int64_t until_us = now_us + 900 * COLT_US_PER_MS;
      struct ColtServerLink *link
          = colt_fixture_open_inherited_link (fake, &state, until_us);

      fake->server_answer.incarnation_ms = 1;
      colt_fixture_run_ticks (fake, link, 30);
      state.runs = 1;
      state.renewable_until_us = now_us + confirmed_ms[i] * COLT_US_PER_MS;
      colt_fixture_run_ticks (fake, link, 60);
      fake->server_answer.result = COLT_START_UNKNOWN;
      while (colt_clock_monotonic_us () < until_us)
        {
          g_assert_cmpuint (state.runs_lost, ==, 0);
          colt_fixture_run_ticks (fake, link, 10);
        }
      colt_fixture_run_ticks (fake, link, 50);
      g_assert_cmpuint (state.runs_lost, ==, 1);
      colt_server_link_destroy (link);
      colt_fake_ports_destroy (fake);
    }
}

/* Guards against a wait for leases that earlier leaders can't have renewed: the
 * server has answered this leader, and rejects them since. */
static void
test_link_fenced_server (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtServerLink *link = colt_fixture_open_inherited_link (
      fake, &state, now_us + 20 * COLT_US_PER_S);
  uint32_t waited_ms = 0;

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 60);
  fake->server_answer.result = COLT_START_UNKNOWN;
  while (state.runs_lost == 0 && waited_ms < 3 * LEASE_MAX_MS)
    {
      colt_fixture_run_ticks (fake, link, 10);
      waited_ms += 10;
    }
  g_assert_cmpuint (state.runs_lost, ==, 1);
  g_assert_cmpint (colt_clock_monotonic_us () - now_us, >,
                   (int64_t)LEASE_MAX_MS * COLT_US_PER_MS);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A renewal that couldn't be sent doesn't affect the lease of a start that was
 * sent while the renewal was open and may have been executed. */
static void
test_link_start_during_renewal (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_UNKNOWN, COLT_START_NOT_SENT };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
  int64_t lease_end_us;

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 200);
  fake->server_answer.result = COLT_START_NOT_SENT;
  fake->renewal_answer_ms = 300;
  colt_fixture_run_ticks (fake, link, 280);
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_server_link_start (link, &start);
  lease_end_us = colt_clock_monotonic_us () + LEASE_MS * COLT_US_PER_MS;
  while (colt_clock_monotonic_us () < lease_end_us)
    {
      g_assert_cmpuint (state.runs_lost, ==, 0);
      colt_fixture_run_ticks (fake, link, 10);
    }
  colt_fixture_run_ticks (fake, link, LEASE_MS);
  g_assert_cmpuint (state.runs_lost, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A leader whose confirmation has expired renews no lease. */
static void
test_link_unconfirmed (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  colt_fixture_run_ticks (fake, link, 30);
  state.runs = 1;
  state.renewable_until_us = colt_clock_monotonic_us ();
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpint (fake->last_renewal.until_ms, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A restarted server numbers its ends from 1 again: acknowledgements of earlier
 * ends don't count for it. Runs started since its restart may be on the new
 * incarnation, so that its report decides on them. */
static void
test_link_new_incarnation (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  colt_server_link_ack_ends (link, 1, 9);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 9);
  fake->server_answer.incarnation_ms = 2;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.runs_lost, ==, 0);
  g_assert_cmpint (state.incarnation_ms, ==, 2);
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A start without an answer is sent once more. Unless the server accepts or
 * fences the second start, the result stays unknown, because the first one may
 * still be executed. */
static void
test_link_start_again (void)
{
  static const struct
  {
    enum ColtStartResult second;
    enum ColtStartResult expected;
  } cases[] = { { COLT_START_TAKEN, COLT_START_TAKEN },
                { COLT_START_STALE, COLT_START_UNKNOWN },
                { COLT_START_NO_ROOM, COLT_START_UNKNOWN },
                { COLT_START_BUSY, COLT_START_UNKNOWN },
                { COLT_START_NOT_SENT, COLT_START_UNKNOWN },
                { COLT_START_UNKNOWN, COLT_START_UNKNOWN },
                { COLT_START_FENCED, COLT_START_FENCED } };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const enum ColtStartResult results[]
          = { COLT_START_UNKNOWN, cases[i].second };
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtClientState state = { .start_result = COLT_START_INVALID };
      struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

      colt_fixture_run_ticks (fake, link, 30);
      fake->start_results = results;
      fake->start_result_count = G_N_ELEMENTS (results);
      colt_server_link_start (link, &start);
      colt_fixture_run_ticks (fake, link, 30);
      g_assert_cmpuint (fake->starts, ==, 2);
      g_assert_cmpint (state.start_result, ==, cases[i].expected);
      colt_server_link_destroy (link);
      colt_fake_ports_destroy (fake);
    }
}

/* Starts that wait when their runs are reported as lost aren't sent any more,
 * and an unanswered one isn't sent again: the tasks may run elsewhere. */
static void
test_link_lost_orders (void)
{
  static const enum ColtStartResult results[] = { COLT_START_UNKNOWN };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  state.runs = 2;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  fake->start_answer_ms = 300;
  fake->server_answer.result = COLT_START_GONE;
  colt_server_link_start (link, &start);
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 200);
  g_assert_cmpuint (state.runs_lost, ==, 1);
  fake->server_answer.result = COLT_START_TAKEN;
  colt_fixture_run_ticks (fake, link, 2000);
  g_assert_cmpuint (fake->starts, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Neither a start nor a lease goes to a server that hasn't answered for a while
 * before it has answered again. It may have restarted: its new clock makes of
 * such a lease the longest one that it grants, which outlives what this leader
 * and a later one wait for, and it would forget the ends whose numbers the
 * former incarnation gave. */
static void
test_link_silent_server (void)
{
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
  uint32_t renewals;

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  colt_server_link_ack_ends (link, 1, 9);
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 9);
  colt_fixture_run_ticks (fake, link, SILENCE_MS);
  renewals = fake->renewals;
  fake->server_answer.incarnation_ms = 2;
  fake->renewal_answer_ms = 400;
  state.runs = 1;
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 50);
  g_assert_cmpuint (fake->starts, ==, 0);
  g_assert_cmpuint (fake->renewals, ==, renewals + 1);
  g_assert_cmpint (fake->last_renewal.until_ms, ==, 0);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 0);
  colt_fixture_run_ticks (fake, link, 500);
  g_assert_cmpuint (fake->starts, ==, 1);
  g_assert_cmpint (state.incarnation_ms, ==, 2);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* The query after a start without an answer acknowledges no ends: a server that
 * has restarted would forget ends of its own that it has not listed yet. */
static void
test_link_query (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_UNKNOWN, COLT_START_UNKNOWN };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
  uint32_t renewals;

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  colt_server_link_ack_ends (link, 1, 9);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 60);
  fake->renewal_answer_ms = 300;
  colt_fixture_run_ticks (fake, link, 60);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 9);
  renewals = fake->renewals;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 50);
  g_assert_cmpuint (fake->renewals, ==, renewals + 1);
  g_assert_cmpuint (fake->last_renewal.acked_through, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Starts that wait for an answer of a silent server are given up, unsent, once
 * it counts as unreachable; otherwise their tasks would wait for it. */
static void
test_link_unreachable_starts (void)
{
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { .start_result = COLT_START_INVALID };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, SILENCE_MS);
  fake->server_answer.result = COLT_START_UNKNOWN;
  state.runs = 1;
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.unreachable, ==, 1);
  g_assert_cmpuint (fake->starts, ==, 0);
  g_assert_cmpint (state.start_result, ==, COLT_START_NOT_SENT);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against work for an unreachable server: the answer to a query shows
 * its runs, but only a renewal makes it reachable again. */
static void
test_link_query_of_unreachable (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_UNKNOWN, COLT_START_UNKNOWN };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 60);
  fake->server_answer.result = COLT_START_UNKNOWN;
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  fake->start_answer_ms = 120;
  state.runs = 1;
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.unreachable, ==, 1);
  g_assert_cmpuint (state.reports, ==, 1);
  fake->server_answer.result = COLT_START_TAKEN;
  colt_fixture_run_ticks (fake, link, 200);
  g_assert_cmpuint (state.reports, ==, 2);
  g_assert_cmpuint (state.unreachable, ==, 2);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against a start that waits for good at a server that is gone: a late
 * report made the server count as reachable again, and no lease is left whose
 * end would end the run. */
static void
test_link_start_after_unreachable (void)
{
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { .start_result = COLT_START_INVALID };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, SILENCE_MS);
  fake->server_answer.result = COLT_START_UNKNOWN;
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.unreachable, ==, 1);
  state.runs = 1;
  colt_server_link_start (link, &start);
  colt_fixture_run_ticks (fake, link, 1500);
  g_assert_cmpuint (fake->starts, ==, 0);
  g_assert_true (state.runs_lost > 0
                 || state.start_result == COLT_START_NOT_SENT);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* While the window of start orders is full, renewals and stops don't wait; the
 * start is sent once there is room. */
static void
test_link_full_window (void)
{
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { .window = colt_order_window_create () };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
  struct ColtOrderWaiter other = { 0 };
  size_t bytes = colt_order_window_limit (state.window);

  g_assert_true (colt_order_window_acquire (state.window, bytes, &other));
  colt_server_link_start (link, &start);
  colt_server_link_stop (link, "t", 2);
  colt_fixture_run_ticks (fake, link, 50);
  g_assert_cmpuint (fake->starts, ==, 0);
  g_assert_cmpuint (fake->stops, ==, 1);
  g_assert_cmpuint (state.reports, ==, 1);
  colt_order_window_release (state.window, bytes, COLT_US_PER_MS, true,
                             colt_clock_monotonic_us ());
  colt_fixture_run_ticks (fake, link, 20);
  g_assert_cmpuint (fake->starts, ==, 1);
  colt_server_link_destroy (link);
  colt_order_window_destroy (state.window);
  colt_fake_ports_destroy (fake);
}

static void
test_link_fenced (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.result = COLT_START_FENCED;
  colt_fixture_run_ticks (fake, link, 50);
  g_assert_cmpuint (state.fenced, >=, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Leases expire in time also while a renewal is open or the next one isn't due:
 * ticks pass over such a link only while its leases last. */
static void
test_link_expiry_without_renewal (void)
{
  static const uint32_t answers_ms[] = { 0, 60000 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (answers_ms); i++)
    {
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtClientState state = { 0 };
      struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
      int64_t deadline_us;

      fake->server_answer.incarnation_ms = 1;
      colt_fixture_run_ticks (fake, link, 30);
      state.runs = 1;
      colt_fixture_run_ticks (fake, link, 100);
      fake->server_answer.result = COLT_START_UNKNOWN;
      fake->renewal_answer_ms = answers_ms[i];
      deadline_us = colt_clock_monotonic_us () + 1200 * COLT_US_PER_MS;
      while (state.runs_lost == 0 && colt_clock_monotonic_us () < deadline_us)
        colt_fixture_run_ticks (fake, link, 10);
      g_assert_cmpuint (state.runs_lost, ==, 1);
      colt_server_link_destroy (link);
      colt_fake_ports_destroy (fake);
    }
}

/* A tick doesn't search for a server's runs while a renewal is open, nor does
 * it miss the runs of a server that was idle before. */
static void
test_link_idle_then_busy (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);
  uint32_t renewals;
  uint32_t counts;

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 500);
  renewals = fake->renewals;
  g_assert_cmpuint (renewals, ==, 1);
  state.runs = 1;
  fake->renewal_answer_ms = 60000;
  colt_server_link_tick (link, colt_clock_monotonic_us ());
  g_assert_cmpuint (fake->renewals, ==, renewals + 1);
  counts = state.counts;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpuint (state.counts, ==, counts);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Guards against the loss of a run that is planned on a server whose last lease
 * ended while it had no runs. */
static void
test_link_plan_after_idle (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtClientState state = { 0 };
  struct ColtServerLink *link = colt_fixture_open_link (fake, &state);

  fake->server_answer.incarnation_ms = 1;
  colt_fixture_run_ticks (fake, link, 30);
  state.runs = 1;
  colt_fixture_run_ticks (fake, link, 100);
  g_assert_cmpint (fake->last_renewal.until_ms, >, 0);
  state.runs = 0;
  colt_fixture_run_ticks (fake, link, 2 * LEASE_MS + 400);
  state.runs = 1;
  colt_server_link_tick (link, colt_clock_monotonic_us ());
  g_assert_cmpuint (state.runs_lost, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

void
colt_test_link_add (void)
{
  g_test_add_func ("/scheduler/link/plan-after-idle",
                   test_link_plan_after_idle);

  g_test_add_func ("/scheduler/link/lease-ends", test_link_lease_ends);
  g_test_add_func ("/scheduler/link/inherited-leases",
                   test_link_inherited_leases);
  g_test_add_func ("/scheduler/link/fenced-server", test_link_fenced_server);
  g_test_add_func ("/scheduler/link/start-during-renewal",
                   test_link_start_during_renewal);
  g_test_add_func ("/scheduler/link/unconfirmed", test_link_unconfirmed);
  g_test_add_func ("/scheduler/link/new-incarnation",
                   test_link_new_incarnation);
  g_test_add_func ("/scheduler/link/start-again", test_link_start_again);
  g_test_add_func ("/scheduler/link/lost-orders", test_link_lost_orders);
  g_test_add_func ("/scheduler/link/silent-server", test_link_silent_server);
  g_test_add_func ("/scheduler/link/query", test_link_query);
  g_test_add_func ("/scheduler/link/unreachable-starts",
                   test_link_unreachable_starts);
  g_test_add_func ("/scheduler/link/query-of-unreachable",
                   test_link_query_of_unreachable);
  g_test_add_func ("/scheduler/link/start-after-unreachable",
                   test_link_start_after_unreachable);
  g_test_add_func ("/scheduler/link/full-window", test_link_full_window);
  g_test_add_func ("/scheduler/link/expiry-without-renewal",
                   test_link_expiry_without_renewal);
  g_test_add_func ("/scheduler/link/idle-then-busy", test_link_idle_then_busy);
  g_test_add_func ("/scheduler/link/fenced", test_link_fenced);
}
