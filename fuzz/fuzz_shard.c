/* Fuzzes leases and shards of a simulated zone in virtual time. The input gives
 * the seed and the rates of faults. */
#include <glib.h>

#include "zone_model.h"

#define RUN_MS 6000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static int
derive_number_ (const uint8_t *data, size_t size, size_t at, int bound);

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
  plan.instances = 2 + derive_number_ (data, size, 0, COLT_ZONE_INSTANCES - 1);
  plan.servers = 1 + derive_number_ (data, size, 1, COLT_ZONE_SERVERS);
  plan.partial_ms = 500 * derive_number_ (data, size, 2, 2);
  plan.lost = derive_number_ (data, size, 3, 4) * 30;
  plan.duplicated = derive_number_ (data, size, 4, 4) * 30;
  plan.delayed = derive_number_ (data, size, 5, 4) * 30;
  plan.pauses = derive_number_ (data, size, 6, 4) * 20;
  plan.crashes = derive_number_ (data, size, 7, 4) * 10;
  plan.mass_crashes = derive_number_ (data, size, 8, 4) * 20;
  plan.restricted_views = derive_number_ (data, size, 9, 4) * 20;
  plan.isolations = derive_number_ (data, size, 11, 4) * 10;
  plan.server_crashes = derive_number_ (data, size, 10, 4) == 3 ? 5 : 0;
  zone = colt_zone_create (&plan);
  colt_zone_run (zone, RUN_MS);
  colt_zone_destroy (zone);
  return 0;
}

/* Derives the number at a position from the whole input, so that short inputs
 * vary all numbers. */
static int
derive_number_ (const uint8_t *data, size_t size, size_t at, int bound)
{
  unsigned sum = (unsigned)at * 7;
  size_t i;

  for (i = 0; i < size; i++)
    sum = sum * 131 + data[i] + (i == at ? 17u : 0u);
  return (int)(sum >> 8) % bound;
}
