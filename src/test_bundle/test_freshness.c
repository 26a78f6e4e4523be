#include "coltsfootstile/clock.h"
#include "coltsfootstile/freshness.h"
#include "test_bundle.h"

#define MS COLT_US_PER_MS
#define NOW_US (100000 * MS)
#define ALL_ZONES 0xeu /* bits of zones 1 to 3 */

/* Zones 1 to 3, which all reach each other. This instance is in zone 1 and
   can't reach the log. A peer in each other zone has just reported that it
   can't reach the log either. */
struct ColtFreshnessFixture
{
  struct ColtFreshnessReport reports[2];
  struct ColtFreshnessInput input;
};

static void
set_up (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  uint32_t i;

  (void)data;
  fixture->input = (struct ColtFreshnessInput){ .now_us = NOW_US,
                                                .self_zone = 1,
                                                .read_us = NOW_US - 60000 * MS,
                                                .next_offset = 40,
                                                .read_failing = true,
                                                .has_bundle = true,
                                                .zones = ALL_ZONES,
                                                .reports = fixture->reports,
                                                .report_count = 2 };
  for (i = 0; i < 2; i++)
    fixture->reports[i]
        = (struct ColtFreshnessReport){ .instance = i + 2,
                                        .zone = i + 2,
                                        .requested_us = NOW_US - 100 * MS,
                                        .age_us = 60000 * MS,
                                        .next_offset = 40,
                                        .log_unreachable = true,
                                        .reachable_zones = ALL_ZONES };
}

static enum ColtFreshness
decide_freshness (const struct ColtFreshnessFixture *fixture)
{
  return colt_freshness_decide (&fixture->input, NULL);
}

static void
test_own_read (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->input.read_us = NOW_US - 2000 * MS;
  g_assert_cmpint (colt_freshness_decide (&fixture->input, &as_of), ==,
                   COLT_FRESH_READ);
  g_assert_cmpint (as_of, ==, NOW_US - 2000 * MS);
  fixture->input.read_us = NOW_US - 2000 * MS - 1;
  fixture->input.read_failing = false;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_LOG_SLOW);
  g_assert_false (colt_freshness_is_fresh (decide_freshness (fixture)));
}

static void
test_peer_report (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->reports[1].age_us = 1900 * MS;
  g_assert_cmpint (colt_freshness_decide (&fixture->input, &as_of), ==,
                   COLT_FRESH_PEER);
  g_assert_cmpint (as_of, ==, NOW_US - 2000 * MS);
  fixture->reports[1].age_us = 1901 * MS;
  fixture->reports[1].log_unreachable = false;
  g_assert_false (colt_freshness_is_fresh (decide_freshness (fixture)));
}

static void
test_peer_has_read_further (struct ColtFreshnessFixture *fixture,
                            gconstpointer data)
{
  (void)data;
  fixture->reports[0].age_us = 0;
  fixture->reports[0].next_offset = 41;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_BEHIND);
  fixture->input.next_offset = 41;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_FRESH_PEER);
}

static void
test_log_unreachable_for_all (struct ColtFreshnessFixture *fixture,
                              gconstpointer data)
{
  (void)data;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_FRESH_NO_PUBLISHER);
  g_assert_true (colt_freshness_is_log_unreachable (&fixture->input));
  g_assert_cmpuint (colt_freshness_reachable_zones (&fixture->input), ==,
                    ALL_ZONES);
  /* The peer in zone 3 read further before the log became unreachable. */
  fixture->reports[1].next_offset = 41;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_BEHIND);
}

static void
test_zones_unresponsive (struct ColtFreshnessFixture *fixture,
                         gconstpointer data)
{
  (void)data;
  fixture->input.report_count = 0;
  g_assert_cmpint (decide_freshness (fixture), ==,
                   COLT_STALE_ZONE_UNRESPONSIVE);
  fixture->input.report_count = 1;
  g_assert_cmpint (decide_freshness (fixture), ==,
                   COLT_STALE_ZONE_UNRESPONSIVE);
}

static void
test_old_report_is_ignored (struct ColtFreshnessFixture *fixture,
                            gconstpointer data)
{
  (void)data;
  fixture->reports[1].requested_us = NOW_US - 2001 * MS;
  g_assert_cmpint (decide_freshness (fixture), ==,
                   COLT_STALE_ZONE_UNRESPONSIVE);
  g_assert_cmpuint (colt_freshness_reachable_zones (&fixture->input), ==, 0x6);
}

static void
test_zones_partitioned (struct ColtFreshnessFixture *fixture,
                        gconstpointer data)
{
  (void)data;
  fixture->reports[0].reachable_zones = 0x6;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_ZONE_PARTITIONED);
}

static void
test_other_zone_may_read (struct ColtFreshnessFixture *fixture,
                          gconstpointer data)
{
  (void)data;
  fixture->reports[0].log_unreachable = false;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_ZONE_READING);
}

static void
test_new_instance (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->input.has_bundle = false;
  fixture->input.read_us = NOW_US;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_STALE_NO_BUNDLE);
  fixture->input.read_us = COLT_TIME_NEVER;
  fixture->reports[0].age_us = COLT_TIME_NEVER;
  fixture->reports[1].age_us = COLT_TIME_NEVER;
  colt_freshness_decide (&fixture->input, &as_of);
  g_assert_cmpint (as_of, ==, COLT_TIME_NEVER);
}

static void
test_single_zone (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->input.zones = 0x2;
  fixture->input.report_count = 0;
  g_assert_cmpint (decide_freshness (fixture), ==, COLT_FRESH_NO_PUBLISHER);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/freshness/" name, struct ColtFreshnessFixture, NULL,    \
              set_up, function, NULL)

void
add_freshness_tests (void)
{
  ADD ("own_read", test_own_read);
  ADD ("peer", test_peer_report);
  ADD ("peer_further", test_peer_has_read_further);
  ADD ("log_down", test_log_unreachable_for_all);
  ADD ("zones_unresponsive", test_zones_unresponsive);
  ADD ("old_report", test_old_report_is_ignored);
  ADD ("zones_partitioned", test_zones_partitioned);
  ADD ("other_zone_reads", test_other_zone_may_read);
  ADD ("new_instance", test_new_instance);
  ADD ("single_zone", test_single_zone);
}
