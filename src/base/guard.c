#include "coltsfootstile/guard.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const colt_guard_string[]
    = { "server_epoch",   "shard_promise", "drift_margin", "least_over_offsets",
        "compliance",     "credit_epoch",  "freshness",    "bundle_parent",
        "renewal_token",  "session",       "claim_time",   "inherited_leases",
        "restart_report", "lost_orders",   "address",      "silent_server",
        "crash_limit",    "incarnation",   "evidence",     "followers",
        "listed",         "connection",    "evacuation",   "operator_age" };

#ifdef COLT_GUARD_SWITCHES

static void read_environment_ (void);

static bool guard_off[COLT_GUARD_COUNT];
static bool environment_read;

bool
colt_guard_on (enum ColtGuard guard)
{
  assert (guard < COLT_GUARD_COUNT);
  if (!environment_read)
    read_environment_ ();
  return !guard_off[guard];
}

void
colt_guard_switch_off (enum ColtGuard guard)
{
  assert (guard < COLT_GUARD_COUNT);
  if (!environment_read)
    read_environment_ ();
  guard_off[guard] = true;
}

void
colt_guard_reset (void)
{
  environment_read = true;
  memset (guard_off, 0, sizeof guard_off);
}

static void
read_environment_ (void)
{
  const char *name = getenv (COLT_GUARD_VARIABLE);
  int i;

  environment_read = true;
  if (name == NULL || name[0] == '\0')
    return;
  for (i = 0; i < COLT_GUARD_COUNT; i++)
    if (strcmp (name, colt_guard_string[i]) == 0)
      {
        guard_off[i] = true;
        return;
      }
  fprintf (stderr, "%s: \"%s\" is not the name of a guard\n",
           COLT_GUARD_VARIABLE, name);
  exit (2);
}

#endif
