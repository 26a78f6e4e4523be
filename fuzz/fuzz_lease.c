/* Fuzzes server leases of a simulated zone without shards in virtual time. The
 * input gives the seed, and the seed gives the rates of faults. */
#include <glib.h>

#include "zone_model.h"

#define RUN_MS 10000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtZonePlan plan = { 0 };
  struct ColtZone *zone;
  size_t i;

  for (i = 0; i < size; i++)
    plan.seed = plan.seed * 31 + data[i];
  plan.drift_ppm = 9900;
  plan.instances = 2 + (int)(plan.seed % (COLT_ZONE_INSTANCES - 1));
  plan.servers = 1 + (int)(plan.seed / 3 % 2);
  plan.lost = (int)(plan.seed / 7 % 6) * 40;
  plan.duplicated = (int)(plan.seed / 11 % 4) * 50;
  plan.delayed = (int)(plan.seed / 13 % 6) * 60;
  plan.pauses = (int)(plan.seed / 17 % 4) * 30;
  plan.crashes = (int)(plan.seed / 19 % 4) * 15;
  plan.restricted_views = (int)(plan.seed / 23 % 4) * 30;
  zone = colt_zone_create (&plan);
  colt_zone_run (zone, RUN_MS);
  colt_zone_destroy (zone);
  return 0;
}
