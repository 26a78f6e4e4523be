#include "test_shard.h"

#include <glib.h>

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

static struct ColtZone *
create_running_ (const struct ColtZonePlan *plan)
{
  struct ColtZone *zone = colt_zone_create (plan);

  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  return zone;
}

static void
assert_serves_ (struct ColtZone *zone, const struct ColtZonePlan *plan)
{
  int64_t starts = colt_zone_count_starts (zone);
  uint32_t server;

  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  for (server = 1; server <= (uint32_t)plan->servers; server++)
    g_assert_cmpuint (colt_zone_holder (zone, server), !=, 0);
  colt_zone_run (zone, 1000);
  g_assert_cmpint (colt_zone_count_starts (zone), >, starts + 20);
}

static size_t
count_unknown_ (struct ColtZone *zone, uint32_t shard)
{
  return colt_shard_leader_count_unknown (
      colt_zone_get_lead (zone, colt_zone_lead (zone, shard)), shard);
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
  assert_serves_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_one_owner_dies (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  uint32_t victim = colt_zone_holder (zone, 1);

  colt_zone_kill (zone, victim);
  colt_zone_run (zone, 1200);
  g_assert_cmpuint (colt_zone_holder (zone, 1), !=, victim);
  assert_serves_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_paused_owner_wakes (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  uint32_t paused = colt_zone_holder (zone, 1);

  colt_zone_pause (zone, paused, 2500);
  colt_zone_run (zone, 450);
  g_assert_cmpuint (colt_zone_holder (zone, 1), ==, 0);
  colt_zone_run (zone, 4000);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_one_dies_and_one_pauses (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone;

  plan.instances = 4;
  zone = create_running_ (&plan);
  colt_zone_kill (zone, 1);
  colt_zone_pause (zone, 2, 900);
  colt_zone_run (zone, 3000);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_two_die_at_once (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);

  colt_zone_kill (zone, 1);
  colt_zone_kill (zone, 2);
  colt_zone_run (zone, 1500);
  g_assert_cmpuint (colt_zone_lead (zone, 0), ==, 3);
  assert_serves_ (zone, &plan);
  colt_zone_start (zone, 1);
  colt_zone_start (zone, 2);
  colt_zone_run (zone, 4000);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_all_are_replaced (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  uint32_t i;

  for (i = 1; i <= 3; i++)
    colt_zone_kill (zone, i);
  colt_zone_run (zone, 100);
  for (i = 1; i <= 3; i++)
    colt_zone_start (zone, i);
  colt_zone_run (zone, 1500);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_two_believe_they_lead (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  int64_t recounts = colt_zone_count_recounts (zone);

  colt_zone_set_blind (zone, 1, true);
  colt_zone_set_blind (zone, 2, true);
  colt_zone_run (zone, 3000);
  colt_zone_set_blind (zone, 1, false);
  colt_zone_set_blind (zone, 2, false);
  colt_zone_run (zone, 3000);
  g_assert_cmpint (colt_zone_count_recounts (zone), >, recounts);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_server_goes_silent_for_a_while (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  const struct ColtShardLeader *lead;
  int64_t recounts = colt_zone_count_recounts (zone);

  colt_zone_silence_server (zone, 2, 800);
  colt_zone_run (zone, 700);
  g_assert_cmpuint (colt_zone_holder (zone, 2), ==, 0);
  lead = colt_zone_get_lead (zone, colt_zone_lead (zone, 0));
  g_assert_cmpuint (colt_shard_leader_count_missing (lead, 0), ==, 1);
  g_assert_cmpuint (colt_shard_leader_count_unknown (lead, 0), ==, 0);
  colt_zone_run (zone, 3000);
  assert_serves_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_recounts (zone), ==, recounts);
  colt_zone_destroy (zone);
}

static void
test_takeover_waits_for_a_dead_server (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);

  colt_zone_kill_server (zone, 4);
  colt_zone_kill (zone, 1);
  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led (zone), <, COLT_SHARD_COUNT);
  colt_zone_run (zone, 3500);
  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpuint (
      colt_shard_leader_count_missing (colt_zone_get_lead (zone, 2), 0), ==, 0);
  colt_zone_destroy (zone);
}

/* The servers of an owner that is cut off are written off, and its tasks have
 * lapsed by then, though it reaches the servers all the time. */
static void
test_owner_is_cut_off (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone;

  plan.instances = 4;
  zone = create_running_ (&plan);
  colt_zone_cut (zone, colt_zone_holder (zone, 1), 5000);
  colt_zone_run (zone, 4900);
  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpint (colt_zone_count_lapsed (zone), >, 0);
  colt_zone_run (zone, 3000);
  assert_serves_ (zone, &plan);
  colt_zone_destroy (zone);
}

static void
test_partial_takeover_does_not_wait (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone;
  uint32_t shard = 0;

  plan.partial_ms = 500;
  zone = create_running_ (&plan);
  while (colt_zone_lead (zone, shard) != 1)
    shard++;
  colt_zone_kill_server (zone, 4);
  colt_zone_kill (zone, 1);
  colt_zone_run (zone, 2000);
  g_assert_cmpint (colt_zone_count_led (zone), ==, COLT_SHARD_COUNT);
  g_assert_cmpuint (count_unknown_ (zone, shard), ==, 1);
  colt_zone_run (zone, 3500);
  g_assert_cmpuint (count_unknown_ (zone, shard), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_planned_stop_hands_over (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  uint32_t server;

  colt_zone_stop (zone, 2);
  colt_zone_run (zone, 300);
  for (server = 1; server <= 4; server++)
    {
      g_assert_cmpuint (colt_zone_holder (zone, server), !=, 0);
      g_assert_cmpuint (colt_zone_holder (zone, server), !=, 2);
    }
  colt_zone_run (zone, 500);
  assert_serves_ (zone, &plan);
  g_assert_cmpint (colt_zone_count_lapsed (zone), ==, 0);
  colt_zone_destroy (zone);
}

static void
test_confirms_are_small_at_rest (void)
{
  struct ColtZonePlan plan = quiet_plan_ ();
  struct ColtZone *zone = create_running_ (&plan);
  int64_t bytes = colt_zone_count_confirm_bytes (zone);
  int64_t exchanges = 3 * 3 * 5000 / 120;

  colt_zone_run (zone, 5000);
  bytes = colt_zone_count_confirm_bytes (zone) - bytes;
  g_test_message ("%" G_GINT64_FORMAT " bytes an exchange", bytes / exchanges);
  g_assert_cmpint (bytes / exchanges, <, 100);
  colt_zone_destroy (zone);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone/comes-up", test_zone_comes_up);
  g_test_add_func ("/zone/one-owner-dies", test_one_owner_dies);
  g_test_add_func ("/zone/paused-owner-wakes", test_paused_owner_wakes);
  g_test_add_func ("/zone/one-dies-one-pauses", test_one_dies_and_one_pauses);
  g_test_add_func ("/zone/two-die-at-once", test_two_die_at_once);
  g_test_add_func ("/zone/all-are-replaced", test_all_are_replaced);
  g_test_add_func ("/zone/two-believe-they-lead", test_two_believe_they_lead);
  g_test_add_func ("/zone/silent-server", test_server_goes_silent_for_a_while);
  g_test_add_func ("/zone/dead-server", test_takeover_waits_for_a_dead_server);
  g_test_add_func ("/zone/cut-off", test_owner_is_cut_off);
  g_test_add_func ("/zone/partial-takeover",
                   test_partial_takeover_does_not_wait);
  g_test_add_func ("/zone/planned-stop", test_planned_stop_hands_over);
  g_test_add_func ("/zone/small-confirms", test_confirms_are_small_at_rest);
  colt_add_owner_tests ();
  colt_add_message_tests ();
  return g_test_run ();
}
