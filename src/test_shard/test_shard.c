#include <glib.h>
#include <stdlib.h>

#include "zone_model.h"

static struct ColtZonePlan
quiet_plan_ (void)
{
  struct ColtZonePlan plan = { 0 };

  plan.seed = 7;
  plan.instances = 3;
  plan.servers = 4;
  plan.with_leads = true;
  plan.drift_ppm = 9900;
  return plan;
}

static void
test_zone_comes_up (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = colt_zone_create (&plan);

  colt_zone_run (zone, 400);
  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  colt_zone_run (zone, 3000);
  g_assert_cmpint (colt_zone_count_recounts (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpint (colt_zone_count_starts (zone), >, 150);
  g_assert_cmpint (colt_zone_count_lapsed (zone), ==, 0);
  colt_zone_destroy (zone);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shard/zone-comes-up", test_zone_comes_up);
  return g_test_run ();
}
