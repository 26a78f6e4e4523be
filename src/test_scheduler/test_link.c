#include "fake_ports.h"
#include "scheduler_private.h"
#include "tests.h"

#define LEASE_MS 400

struct ColtSeen
{
  uint32_t fenced;
  uint32_t reported;
  uint32_t dark;
  uint32_t emptied;
  size_t runs;
  int64_t renewable_us;
  enum ColtStartResult started;
};

static void
link_reported (void *client,
               struct ColtServerLink *link,
               const struct ColtServerReport *report)
{
  struct ColtSeen *seen = client;

  (void)link;
  (void)report;
  seen->reported++;
}

static void
link_started (void *client,
              struct ColtServerLink *link,
              const char *task,
              uint32_t run,
              enum ColtStartResult result,
              uint64_t call_number)
{
  struct ColtSeen *seen = client;

  (void)link;
  (void)task;
  (void)run;
  (void)call_number;
  seen->started = result;
}

static void
link_stopped (void *client,
              struct ColtServerLink *link,
              const char *task,
              uint32_t run,
              bool answered,
              uint64_t call_number)
{
  (void)client;
  (void)link;
  (void)task;
  (void)run;
  (void)answered;
  (void)call_number;
}

static void
link_dark (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->dark++;
}

static void
link_emptied (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->emptied++;
  seen->runs = 0;
}

static void
link_fenced (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->fenced++;
}

static int64_t
link_renewable (void *client)
{
  const struct ColtSeen *seen = client;

  return seen->renewable_us;
}

static size_t
link_runs (void *client, const char *server)
{
  const struct ColtSeen *seen = client;

  (void)server;
  return seen->runs;
}

static bool
link_tight (void *client, const char *server)
{
  (void)client;
  (void)server;
  return true;
}

static struct ColtServerLink *
open_link (struct ColtFakePorts *fake, struct ColtSeen *seen)
{
  const struct ColtServerLinkClient client
      = { link_reported, link_started,   link_stopped, link_dark,  link_emptied,
          link_fenced,   link_renewable, link_runs,    link_tight, seen };
  const struct ColtServerLinkBounds bounds = { 7, LEASE_MS };
  struct ColtServerLink *link = colt_server_link_create (
      &fake->ports, &bounds, "server", "127.0.0.1:1", &client);

  seen->renewable_us = COLT_TIME_NEVER / 2;
  colt_server_link_set_listed (link, true);
  return link;
}

static void
tick (struct ColtFakePorts *fake, struct ColtServerLink *link, uint32_t ms)
{
  uint32_t i;

  for (i = 0; i < ms; i += 10)
    {
      colt_server_link_tick (link, colt_clock_monotonic_us ());
      colt_fake_ports_run (fake, 10);
    }
}

/* Looks that can't be sent renew nothing: the leases of a server that has
 * left end. */
static void
test_link_lease_ends (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  g_assert_cmpuint (seen.reported, ==, 1);
  seen.runs = 1;
  tick (fake, link, 200);
  g_assert_cmpint (fake->last_look.until_ms, >, 0);
  g_assert_cmpuint (fake->last_look.token, ==, 7);
  fake->server_answer.result = COLT_START_NOT_SENT;
  tick (fake, link, 2 * LEASE_MS + 400);
  g_assert_cmpuint (seen.dark, ==, 1);
  g_assert_cmpuint (seen.emptied, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A look that couldn't be sent takes nothing back from a start that was sent
 * after it and may have come through. */
static void
test_link_start_beside_look (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_UNKNOWN, COLT_START_NOT_SENT };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  seen.runs = 1;
  tick (fake, link, 200);
  fake->server_answer.result = COLT_START_NOT_SENT;
  fake->look_ms = 300;
  tick (fake, link, 280);
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_server_link_start (link, &start);
  tick (fake, link, LEASE_MS);
  g_assert_cmpuint (seen.emptied, ==, 0);
  tick (fake, link, LEASE_MS);
  g_assert_cmpuint (seen.emptied, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* An instance that isn't sure to lead any more renews nothing. */
static void
test_link_unconfirmed (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  tick (fake, link, 30);
  seen.runs = 1;
  seen.renewable_us = colt_clock_monotonic_us ();
  tick (fake, link, 100);
  g_assert_cmpint (fake->last_look.until_ms, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Another start of a server knows nothing of the one before. */
static void
test_link_new_incarnation (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  colt_server_link_ack_ends (link, 1, 9);
  seen.runs = 1;
  tick (fake, link, 100);
  g_assert_cmpuint (fake->last_look.acked_through, ==, 9);
  fake->server_answer.born_ms = 2;
  tick (fake, link, 100);
  g_assert_cmpuint (seen.emptied, ==, 1);
  seen.runs = 1;
  tick (fake, link, 100);
  g_assert_cmpuint (fake->last_look.acked_through, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* What became of a start that isn't answered: the same start again tells,
 * unless it is refused, as the first may be carried out yet. */
static void
test_link_start_again (void)
{
  static const struct
  {
    enum ColtStartResult again;
    enum ColtStartResult told;
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
          = { COLT_START_UNKNOWN, cases[i].again };
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtSeen seen = { .started = COLT_START_INVALID };
      struct ColtServerLink *link = open_link (fake, &seen);

      tick (fake, link, 30);
      fake->start_results = results;
      fake->start_result_count = G_N_ELEMENTS (results);
      colt_server_link_start (link, &start);
      tick (fake, link, 30);
      g_assert_cmpuint (fake->starts, ==, 2);
      g_assert_cmpint (seen.started, ==, cases[i].told);
      colt_server_link_destroy (link);
      colt_fake_ports_destroy (fake);
    }
}

static void
test_link_fenced (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.result = COLT_START_FENCED;
  tick (fake, link, 50);
  g_assert_cmpuint (seen.fenced, >=, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

void
colt_test_link_add (void)
{
  g_test_add_func ("/scheduler/link/lease-ends", test_link_lease_ends);
  g_test_add_func ("/scheduler/link/start-beside-look",
                   test_link_start_beside_look);
  g_test_add_func ("/scheduler/link/unconfirmed", test_link_unconfirmed);
  g_test_add_func ("/scheduler/link/new-incarnation",
                   test_link_new_incarnation);
  g_test_add_func ("/scheduler/link/start-again", test_link_start_again);
  g_test_add_func ("/scheduler/link/fenced", test_link_fenced);
}
