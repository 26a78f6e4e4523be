#include "config_lag.h"

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "tests.h"

#define BOUND_US (3 * COLT_US_PER_S)

/* A version that becomes known is late once it hasn't been in force for longer
 * than the bound; later versions that become known meanwhile don't begin the
 * time anew, and one that is older than the one in force has no effect. */
static void
test_late (void)
{
  struct ColtConfigLag lag;
  int64_t now_us = 100 * COLT_US_PER_S;

  colt_config_lag_init (&lag, BOUND_US);
  g_assert_cmpint (colt_config_lag_apply (&lag, 10, now_us), ==, 0);
  colt_config_lag_note (&lag, 9, now_us);
  g_assert_cmpint (colt_config_lag_behind_us (&lag, now_us), ==, 0);
  colt_config_lag_note (&lag, 14, now_us);
  colt_config_lag_note (&lag, 15, now_us + 2 * COLT_US_PER_S);
  g_assert_false (colt_config_lag_check (&lag, now_us + BOUND_US));
  g_assert_true (colt_config_lag_check (&lag, now_us + BOUND_US + 1));
  g_assert_true (lag.late);
  g_assert_false (colt_config_lag_check (&lag, now_us + BOUND_US + 2));
  g_assert_cmpint (colt_config_lag_apply (&lag, 14, now_us + BOUND_US + 2), ==,
                   BOUND_US + 2);
  g_assert_true (colt_config_lag_check (&lag, now_us + BOUND_US + 2));
  g_assert_false (lag.late);
  g_assert_cmpint (
      colt_config_lag_apply (&lag, 15, now_us + BOUND_US + COLT_US_PER_S), ==,
      BOUND_US - COLT_US_PER_S);
}

void
colt_test_config_lag_add (void)
{
  g_test_add_func ("/scheduler/config-lag/late", test_late);
}
