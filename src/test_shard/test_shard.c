#include "test_shard.h"

#include <glib.h>

#include "zone_model.h"

static struct ColtZonePlan
make_faultless_plan_ (void)
{
  struct ColtZonePlan plan = { 0 };

  plan.seed = 7;
  plan.instances = 3;
  plan.servers = 4;
  plan.with_shards = true;
  plan.drift_ppm = 9900;
  return plan;
}

static struct ColtZone *
create_running_zone_ (const struct ColtZonePlan *plan)
{
  struct ColtZone *zone = colt_zone_create (plan);

  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  return zone;
}

static void
assert_operational_ (struct ColtZone *zone, const struct ColtZonePlan *plan)
{
  int64_t starts = colt_zone_count_starts (zone);
  uint32_t server;

  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  for (server = 1; server <= (uint32_t)plan->servers; server++)
    g_assert_cmpuint (colt_zone_find_holder (zone, server), !=, 0);
  colt_zone_run (zone, 1000);
  g_assert_cmpint (colt_zone_count_starts (zone), >, starts + 20);
}

static size_t
count_unknown_servers_ (struct ColtZone *zone, uint32_t shard)
{
  return colt_shard_leader_count_unknown (
      colt_zone_get_leader (zone, colt_zone_latest_leader (zone, shard)),
      shard);
}

static void
test_zone_starts (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = colt_zone_create (&plan);

  colt_zone_run (zone, 400);
  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  colt_zone_run (zone, 3000);
  g_assert_cmpint (colt_zone_count_reconciliations (zone), ==,
                   COLT_SHARD_COUNT);
  assert_operational_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed_tasks (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_one_owner_dies (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  uint32_t victim = colt_zone_find_holder (zone, 1);

  colt_zone_kill_instance (zone, victim);
  colt_zone_run (zone, 1200);
  g_assert_cmpuint (colt_zone_find_holder (zone, 1), !=, victim);
  assert_operational_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed_tasks (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_paused_owner_wakes (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  uint32_t paused = colt_zone_find_holder (zone, 1);

  colt_zone_pause_instance (zone, paused, 2500);
  colt_zone_run (zone, 450);
  g_assert_cmpuint (colt_zone_find_holder (zone, 1), ==, 0);
  colt_zone_run (zone, 4000);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_one_dies_and_one_pauses (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone;

  plan.instances = 4;
  zone = create_running_zone_ (&plan);
  colt_zone_kill_instance (zone, 1);
  colt_zone_pause_instance (zone, 2, 900);
  colt_zone_run (zone, 3000);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_two_die_at_once (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);

  colt_zone_kill_instance (zone, 1);
  colt_zone_kill_instance (zone, 2);
  colt_zone_run (zone, 1500);
  g_assert_cmpuint (colt_zone_latest_leader (zone, 0), ==, 3);
  assert_operational_ (zone, &plan);
  colt_zone_start_instance (zone, 1);
  colt_zone_start_instance (zone, 2);
  colt_zone_run (zone, 4000);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_all_are_replaced (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  uint32_t i;

  for (i = 1; i <= 3; i++)
    colt_zone_kill_instance (zone, i);
  colt_zone_run (zone, 100);
  for (i = 1; i <= 3; i++)
    colt_zone_start_instance (zone, i);
  colt_zone_run (zone, 1500);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_two_assume_leadership (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  int64_t reconciliations = colt_zone_count_reconciliations (zone);

  colt_zone_restrict_view (zone, 1, true);
  colt_zone_restrict_view (zone, 2, true);
  colt_zone_run (zone, 3000);
  colt_zone_restrict_view (zone, 1, false);
  colt_zone_restrict_view (zone, 2, false);
  colt_zone_run (zone, 3000);
  g_assert_cmpint (colt_zone_count_reconciliations (zone), >, reconciliations);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_server_is_disconnected (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  const struct ColtShardLeader *leader;
  int64_t reconciliations = colt_zone_count_reconciliations (zone);

  colt_zone_disconnect_server (zone, 2, 800);
  colt_zone_run (zone, 700);
  g_assert_cmpuint (colt_zone_find_holder (zone, 2), ==, 0);
  leader = colt_zone_get_leader (zone, colt_zone_latest_leader (zone, 0));
  g_assert_cmpuint (colt_shard_leader_count_missing (leader, 0), ==, 1);
  g_assert_cmpuint (colt_shard_leader_count_unknown (leader, 0), ==, 0);
  colt_zone_run (zone, 3000);
  assert_operational_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_reconciliations (zone), ==, reconciliations);
  colt_zone_destroy (zone);
}

static void
test_takeover_waits_for_a_dead_server (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);

  colt_zone_kill_server (zone, 4);
  colt_zone_kill_instance (zone, 1);
  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led_shards (zone), <, COLT_SHARD_COUNT);
  colt_zone_run (zone, 3500);
  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpuint (
      colt_shard_leader_count_missing (colt_zone_get_leader (zone, 2), 0), ==,
      0);
  colt_zone_destroy (zone);
}

/* The servers of an isolated owner are written off, although the owner reaches
 * them all the time; the leases of its tasks must have run out by then. */
static void
test_owner_is_isolated (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone;

  plan.instances = 4;
  zone = create_running_zone_ (&plan);
  colt_zone_isolate_instance (zone, colt_zone_find_holder (zone, 1), 5000);
  colt_zone_run (zone, 4900);
  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpint (colt_zone_count_lapsed_tasks (zone), >, 0);
  colt_zone_run (zone, 3000);
  assert_operational_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_partial_takeover_does_not_wait (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone;
  uint32_t shard = 0;

  plan.partial_ms = 500;
  zone = create_running_zone_ (&plan);
  while (colt_zone_latest_leader (zone, shard) != 1)
    shard++;
  colt_zone_kill_server (zone, 4);
  colt_zone_kill_instance (zone, 1);
  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led_shards (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpuint (count_unknown_servers_ (zone, shard), ==, 1);
  colt_zone_run (zone, 3500);
  g_assert_cmpuint (count_unknown_servers_ (zone, shard), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_planned_stop_hands_over (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  uint32_t server;

  colt_zone_stop_instance (zone, 2);
  colt_zone_run (zone, 300);
  for (server = 1; server <= 4; server++)
    {
      g_assert_cmpuint (colt_zone_find_holder (zone, server), !=, 0);
      g_assert_cmpuint (colt_zone_find_holder (zone, server), !=, 2);
    }
  colt_zone_run (zone, 500);
  assert_operational_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed_tasks (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_confirms_are_small_without_changes (void)
{
  struct ColtZonePlan plan = make_faultless_plan_ ();
  struct ColtZone *zone = create_running_zone_ (&plan);
  int64_t bytes = colt_zone_count_confirm_bytes (zone);
  /* 3 leaders with 3 owners each, for 5000 ms at intervals of 120 ms */
  int64_t exchanges = 3 * 3 * 5000 / 120;

  colt_zone_run (zone, 5000);
  bytes = colt_zone_count_confirm_bytes (zone) - bytes;
  g_test_message ("%" G_GINT64_FORMAT " bytes per exchange", bytes / exchanges);
  g_assert_cmpint (bytes / exchanges, <, 100);
  colt_zone_destroy (zone);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone/starts", test_zone_starts);
  g_test_add_func ("/zone/one-owner-dies", test_one_owner_dies);
  g_test_add_func ("/zone/paused-owner-wakes", test_paused_owner_wakes);
  g_test_add_func ("/zone/one-dies-one-pauses", test_one_dies_and_one_pauses);
  g_test_add_func ("/zone/two-die-at-once", test_two_die_at_once);
  g_test_add_func ("/zone/all-are-replaced", test_all_are_replaced);
  g_test_add_func ("/zone/two-assume-leadership", test_two_assume_leadership);
  g_test_add_func ("/zone/disconnected-server", test_server_is_disconnected);
  g_test_add_func ("/zone/dead-server", test_takeover_waits_for_a_dead_server);
  g_test_add_func ("/zone/isolated-owner", test_owner_is_isolated);
  g_test_add_func ("/zone/partial-takeover",
                   test_partial_takeover_does_not_wait);
  g_test_add_func ("/zone/planned-stop", test_planned_stop_hands_over);
  g_test_add_func ("/zone/small-confirms",
                   test_confirms_are_small_without_changes);
  colt_add_owner_tests ();
  colt_add_message_tests ();
  return g_test_run ();
}
