#include <glib.h>

#include "coltsfootstile/clock.h"
#include "load_meter.h"
#include "tests.h"

#define PERIOD_US (25 * COLT_US_PER_MS)

/* Times and delays add up over a second, after which the next one starts with
 * the state of the previous one to compare with. */
static void
test_periods (void)
{
  struct ColtLoadMeter meter = { 0 };
  struct ColtLoadState state = { 0 };
  int64_t now_us = colt_clock_monotonic_us ();

  colt_load_meter_tick (&meter, PERIOD_US, &state, now_us);
  g_assert_cmpuint (meter.ticks, ==, 0);
  now_us += PERIOD_US + 2000;
  colt_load_meter_tick (&meter, PERIOD_US, &state, now_us);
  now_us += PERIOD_US + 6000;
  colt_load_meter_tick (&meter, PERIOD_US, &state, now_us);
  g_assert_cmpuint (meter.ticks, ==, 2);
  g_assert_cmpint (meter.lag_us, ==, 8000);
  g_assert_cmpint (meter.lag_max_us, ==, 6000);
  colt_load_meter_count_pass (&meter, 0);
  colt_load_meter_count_pass (&meter, 7);
  g_assert_cmpuint (meter.passes, ==, 2);
  g_assert_cmpuint (meter.passes_without_budget, ==, 1);
  g_assert_cmpint (colt_load_meter_add (&meter, LOAD_RECORDS,
                                        colt_clock_monotonic_us () - 500),
                   >=, 500);
  g_assert_cmpint (meter.spent_us[LOAD_RECORDS], >=, 500);
  state.planned = 12;
  now_us += COLT_US_PER_S;
  colt_load_meter_tick (&meter, PERIOD_US, &state, now_us);
  g_assert_cmpuint (meter.passes, ==, 0);
  g_assert_cmpint (meter.spent_us[LOAD_RECORDS], ==, 0);
  g_assert_cmpint (meter.lag_us, ==, 0);
  g_assert_cmpuint (meter.last.planned, ==, 12);
}

void
colt_test_load_meter_add (void)
{
  g_test_add_func ("/scheduler/load-meter/periods", test_periods);
}
