#include "lag.h"
#include "members.h"
#include "scheduler_private.h"
#include "speed_probe.h"

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "tests.h"

/* The speed falls while the timer fires late each time; a single long pause
 * lowers it little. */
static void
test_lag (void)
{
  struct ColtLag lag;
  int64_t now_us = 0;
  int i;

  colt_lag_init (&lag, 25000);
  g_assert_cmpfloat (colt_lag_speed (&lag), ==, 1);
  for (i = 0; i < 40; i++)
    colt_lag_update (&lag, now_us += 25100);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.95);
  colt_lag_update (&lag, now_us += 5000000);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.7);
  for (i = 0; i < 20; i++)
    colt_lag_update (&lag, now_us += 80000);
  g_assert_cmpfloat (colt_lag_speed (&lag), <, 0.45);
  for (i = 0; i < 60; i++)
    colt_lag_update (&lag, now_us += 25100);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.9);
}

/* A machine that has become slow shows in most samples; a process that was
 * suspended, or whose clock stood still, in a few. The load of the process,
 * which makes timers late, doesn't count: an overloaded leader must not yield
 * to an instance of the same strength. */
static void
test_speed (void)
{
  struct ColtSpeedProbe probe = { 0 };
  int i;

  g_assert_cmpfloat (colt_speed_probe_speed (&probe), ==, 1);
  for (i = 0; i < 20; i++)
    colt_speed_probe_add (&probe, i % 4 == 3 ? 900 : 40);
  g_assert_cmpfloat (colt_speed_probe_speed (&probe), ==, 1);
  for (i = 0; i < COLT_SPEED_SAMPLES; i++)
    colt_speed_probe_add (&probe, i % 4 == 3 ? 0 : 200);
  g_assert_cmpfloat (colt_speed_probe_speed (&probe), ==, 0.2);
  for (i = 0; i < COLT_SPEED_SAMPLES; i++)
    colt_speed_probe_add (&probe, 50);
  g_assert_cmpfloat (colt_speed_probe_speed (&probe), ==, 0.8);
  colt_speed_probe_measure (&probe);
  g_assert_cmpfloat (colt_speed_probe_speed (&probe), ==, 0.8);
}

static void
test_members_log_down (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t strongest;

  colt_members_update (members, 1, 5000, 1, now_us);
  colt_members_update (members, 2, 5000, 1, now_us);
  colt_members_update (members, 3, 5000, 2, now_us);
  g_assert_true (colt_members_log_is_down (members, now_us));
  colt_members_update (members, 2, 100, 1, now_us);
  g_assert_false (colt_members_log_is_down (members, now_us));
  colt_members_update (members, 2, 5000, 1, now_us);
  g_assert_cmpfloat (colt_members_find_strongest (members, now_us, &strongest),
                     ==, 0);
  g_assert_cmpuint (strongest, ==, 0);
  colt_members_update (members, 3, 100, 2, now_us);
  g_assert_cmpfloat (colt_members_find_strongest (members, now_us, &strongest),
                     ==, 2);
  g_assert_cmpuint (strongest, ==, 3);
  now_us += 5 * COLT_US_PER_S;
  colt_members_update (members, 1, 5000, 1, now_us);
  g_assert_false (colt_members_log_is_down (members, now_us));
  colt_members_destroy (members);
}

static void
test_members_advisers (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t first;

  colt_members_update (members, 1, 0, 1, now_us);
  g_assert_cmpuint (colt_members_count_advisers (members, now_us), ==, 2);
  first = colt_members_acquire_adviser (members, now_us);
  g_assert_cmpuint (first, !=, 0);
  g_assert_cmpuint (colt_members_acquire_adviser (members, now_us), !=, 0);
  g_assert_cmpuint (colt_members_acquire_adviser (members, now_us), ==, 0);
  colt_members_release_adviser (members, first, now_us, true);
  g_assert_cmpuint (colt_members_acquire_adviser (members, now_us), ==, first);
  colt_members_release_adviser (members, first, now_us, false);
  g_assert_cmpuint (colt_members_acquire_adviser (members, now_us), ==, 0);
  colt_members_destroy (members);
}

/* Pattern: a load under which any leader is slow. Changes of the leader get
 * rarer with each one instead of following each other. */
static void
test_yields_get_rarer (void)
{
  int64_t led_us = COLT_US_PER_S;
  int64_t total_us = 0;
  int changes;

  for (changes = 0; total_us < 120 * COLT_US_PER_S; changes++)
    {
      led_us = colt_scheduler_yield_after_us (led_us);
      total_us += led_us;
    }
  g_assert_cmpint (changes, <=, 6);
}

void
colt_test_members_add (void)
{
  g_test_add_func ("/scheduler/members/yields-get-rarer",
                   test_yields_get_rarer);
  g_test_add_func ("/scheduler/lag", test_lag);
  g_test_add_func ("/scheduler/overload-is-not-slowness", test_speed);
  g_test_add_func ("/scheduler/members/log-down", test_members_log_down);
  g_test_add_func ("/scheduler/members/advisers", test_members_advisers);
}
