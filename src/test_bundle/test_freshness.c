#include "coltsfootstile/clock.h"
#include "coltsfootstile/freshness.h"
#include "test_bundle.h"

#define MS COLT_US_PER_MS
#define NOW (100000 * MS)
#define ALL_ZONES 0xeu

/* Zones 1 to 3; this instance is in zone 1, cut off from the log, and has just
   asked a peer in each other zone, which are as cut off. */
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
  fixture->input = (struct ColtFreshnessInput){ .now_us = NOW,
                                                .self_zone = 1,
                                                .read_us = NOW - 60000 * MS,
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
                                        .requested_us = NOW - 100 * MS,
                                        .age_us = 60000 * MS,
                                        .next_offset = 40,
                                        .log_unreachable = true,
                                        .reachable_zones = ALL_ZONES };
}

static enum ColtFreshness
decide (const struct ColtFreshnessFixture *fixture)
{
  return colt_freshness_decide (&fixture->input, NULL);
}

static void
test_own_read (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->input.read_us = NOW - 2000 * MS;
  g_assert_cmpint (colt_freshness_decide (&fixture->input, &as_of), ==,
                   COLT_FRESH_READ);
  g_assert_cmpint (as_of, ==, NOW - 2000 * MS);
  fixture->input.read_us = NOW - 2000 * MS - 1;
  fixture->input.read_failing = false;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_LOG_SLOW);
  g_assert_false (colt_freshness_is_fresh (decide (fixture)));
}

static void
test_peer_word (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->reports[1].age_us = 1900 * MS;
  g_assert_cmpint (colt_freshness_decide (&fixture->input, &as_of), ==,
                   COLT_FRESH_PEER);
  g_assert_cmpint (as_of, ==, NOW - 2000 * MS);
  fixture->reports[1].age_us = 1901 * MS;
  fixture->reports[1].log_unreachable = false;
  g_assert_false (colt_freshness_is_fresh (decide (fixture)));
}

static void
test_peer_is_further (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->reports[0].age_us = 0;
  fixture->reports[0].next_offset = 41;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_BEHIND);
  fixture->input.next_offset = 41;
  g_assert_cmpint (decide (fixture), ==, COLT_FRESH_PEER);
}

static void
test_log_down_for_all (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpint (decide (fixture), ==, COLT_FRESH_NO_PUBLISHER);
  g_assert_true (colt_freshness_is_log_unreachable (&fixture->input));
  g_assert_cmpuint (colt_freshness_reachable_zones (&fixture->input), ==,
                    ALL_ZONES);
  /* One of them read further before the log went down. */
  fixture->reports[1].next_offset = 41;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_BEHIND);
}

static void
test_cut_off_from_both (struct ColtFreshnessFixture *fixture,
                        gconstpointer data)
{
  (void)data;
  fixture->input.report_count = 0;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_ZONE_UNRESPONSIVE);
  fixture->input.report_count = 1;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_ZONE_UNRESPONSIVE);
}

static void
test_old_words_do_not_count (struct ColtFreshnessFixture *fixture,
                             gconstpointer data)
{
  (void)data;
  fixture->reports[1].requested_us = NOW - 2001 * MS;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_ZONE_UNRESPONSIVE);
  g_assert_cmpuint (colt_freshness_reachable_zones (&fixture->input), ==, 0x6);
}

static void
test_zones_parted (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->reports[0].reachable_zones = 0x6;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_ZONE_PARTITIONED);
}

static void
test_one_zone_may_read (struct ColtFreshnessFixture *fixture,
                        gconstpointer data)
{
  (void)data;
  fixture->reports[0].log_unreachable = false;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_ZONE_READING);
}

static void
test_new_instance (struct ColtFreshnessFixture *fixture, gconstpointer data)
{
  int64_t as_of;

  (void)data;
  fixture->input.has_bundle = false;
  fixture->input.read_us = NOW;
  g_assert_cmpint (decide (fixture), ==, COLT_STALE_NO_BUNDLE);
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
  g_assert_cmpint (decide (fixture), ==, COLT_FRESH_NO_PUBLISHER);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/freshness/" name, struct ColtFreshnessFixture, NULL,    \
              set_up, function, NULL)

void
test_add_freshness (void)
{
  ADD ("own_read", test_own_read);
  ADD ("peer", test_peer_word);
  ADD ("peer_further", test_peer_is_further);
  ADD ("log_down", test_log_down_for_all);
  ADD ("cut_off", test_cut_off_from_both);
  ADD ("old_words", test_old_words_do_not_count);
  ADD ("parted", test_zones_parted);
  ADD ("one_reads", test_one_zone_may_read);
  ADD ("new_instance", test_new_instance);
  ADD ("single_zone", test_single_zone);
}
