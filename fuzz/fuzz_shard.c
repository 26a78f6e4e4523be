/* A whole zone in virtual time: each input is a seed with rates of faults. */
#include <glib.h>

#include "zone_model.h"

#define RUN_MS 6000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static int take_ (const uint8_t *data, size_t size, size_t at, int bound);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtZonePlan plan = { 0 };
  struct ColtZone *zone;
  size_t i;

  for (i = 0; i < size; i++)
    plan.seed = plan.seed * 31 + data[i];
  plan.with_shards = true;
  plan.drift_ppm = 9900;
  plan.instances = 2 + take_ (data, size, 0, COLT_ZONE_INSTANCES - 1);
  plan.servers = 1 + take_ (data, size, 1, COLT_ZONE_SERVERS);
  plan.partial_ms = 500 * take_ (data, size, 2, 2);
  plan.lost = take_ (data, size, 3, 4) * 30;
  plan.duplicated = take_ (data, size, 4, 4) * 30;
  plan.delayed = take_ (data, size, 5, 4) * 30;
  plan.pauses = take_ (data, size, 6, 4) * 20;
  plan.crashes = take_ (data, size, 7, 4) * 10;
  plan.mass_crashes = take_ (data, size, 8, 4) * 20;
  plan.restricted_views = take_ (data, size, 9, 4) * 20;
  plan.isolations = take_ (data, size, 11, 4) * 10;
  plan.server_crashes = take_ (data, size, 10, 4) == 3 ? 5 : 0;
  zone = colt_zone_create (&plan);
  colt_zone_run (zone, RUN_MS);
  colt_zone_destroy (zone);
  return 0;
}

/* Spreads the values of short inputs as well. */
static int
take_ (const uint8_t *data, size_t size, size_t at, int bound)
{
  unsigned sum = (unsigned)at * 7;
  size_t i;

  for (i = 0; i < size; i++)
    sum = sum * 131 + data[i] + (i == at ? 17u : 0u);
  return (int)(sum >> 8) % bound;
}
