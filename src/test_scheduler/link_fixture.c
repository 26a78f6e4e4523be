#include "link_fixture.h"

static void
on_report (void *client,
           struct ColtServerLink *link,
           const struct ColtServerReport *report)
{
  struct ColtClientState *state = client;

  (void)link;
  state->reports++;
  state->incarnation_ms = report->incarnation_ms;
  state->call_number = report->call_number;
}

static void
on_start_result (void *client,
                 struct ColtServerLink *link,
                 const char *task,
                 uint32_t run,
                 enum ColtStartResult result,
                 uint64_t next_call)
{
  struct ColtClientState *state = client;

  (void)link;
  (void)task;
  (void)run;
  state->start_result = result;
  state->next_call = next_call;
}

static void
on_stop_result (void *client,
                struct ColtServerLink *link,
                const char *task,
                uint32_t run,
                bool answered,
                uint64_t next_call)
{
  (void)client;
  (void)link;
  (void)task;
  (void)run;
  (void)answered;
  (void)next_call;
}

static void
on_unreachable (void *client, struct ColtServerLink *link)
{
  struct ColtClientState *state = client;

  (void)link;
  state->unreachable++;
}

static void
on_runs_lost (void *client,
              struct ColtServerLink *link,
              const struct ColtServerLoss *loss)
{
  struct ColtClientState *state = client;

  (void)link;
  state->all_lost = loss->all;
  state->runs_lost++;
  state->runs = 0;
}

static void
on_fenced (void *client, struct ColtServerLink *link)
{
  struct ColtClientState *state = client;

  (void)link;
  state->fenced++;
}

static void
on_suspected (void *client, struct ColtServerLink *link, bool suspected)
{
  struct ColtClientState *state = client;

  (void)link;
  state->suspected = suspected;
  state->suspicions += suspected;
}

static int64_t
get_renewable_until (void *client)
{
  const struct ColtClientState *state = client;

  return state->renewable_until_us;
}

static size_t
count_runs (void *client, const char *server)
{
  struct ColtClientState *state = client;

  (void)server;
  state->counts++;
  return state->runs;
}

static bool
has_tight_runs (void *client, const char *server)
{
  (void)client;
  (void)server;
  return true;
}

static bool
may_start (void *client, const char *server, const char *task, uint32_t run)
{
  (void)client;
  (void)server;
  (void)task;
  (void)run;
  return true;
}

struct ColtServerLink *
colt_fixture_open_inherited_link (struct ColtFakePorts *fake,
                                  struct ColtClientState *state,
                                  int64_t inherited_until_us)
{
  const struct ColtServerLinkClient client
      = { on_report,    on_start_result, on_stop_result, on_unreachable,
          on_runs_lost, on_fenced,       on_suspected,   get_renewable_until,
          count_runs,   has_tight_runs,  may_start,      state };
  const struct ColtServerLinkSettings settings = { 7,
                                                   LEASE_MS,
                                                   LEASE_MAX_MS,
                                                   inherited_until_us,
                                                   state->window,
                                                   state->suspicion };
  struct ColtServerLink *link = colt_server_link_create (
      &fake->ports, &settings, "server", "127.0.0.1:1", &client);

  state->renewable_until_us = COLT_TIME_NEVER / 2;
  colt_server_link_set_listed (link, true);
  return link;
}

struct ColtServerLink *
colt_fixture_open_link (struct ColtFakePorts *fake,
                        struct ColtClientState *state)
{
  return colt_fixture_open_inherited_link (fake, state, 0);
}

void
colt_fixture_run_ticks (struct ColtFakePorts *fake,
                        struct ColtServerLink *link,
                        uint32_t ms)
{
  uint32_t i;

  for (i = 0; i < ms; i += 10)
    {
      colt_server_link_tick (link, colt_clock_monotonic_us ());
      colt_fake_ports_run (fake, 10);
    }
}
