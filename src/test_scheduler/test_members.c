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
update_member (struct ColtMembers *members,
               uint32_t instance,
               uint32_t log_age_ms,
               double strength,
               int64_t followed_us,
               int64_t now_us)
{
  const struct ColtMemberBeat beat = { .instance = instance,
                                       .log_age_ms = log_age_ms,
                                       .strength = strength,
                                       .followed_us = followed_us };

  colt_members_update (members, &beat, now_us);
}

/* Only an instance that reaches the log can take over leadership. */
static void
test_members_strongest (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t strongest;

  update_member (members, 1, 5000, 1, 0, now_us);
  update_member (members, 2, 5000, 1, 0, now_us);
  update_member (members, 3, 5000, 2, 0, now_us);
  g_assert_cmpfloat (colt_members_find_strongest (members, now_us, &strongest),
                     ==, 0);
  g_assert_cmpuint (strongest, ==, 0);
  update_member (members, 3, 100, 2, 0, now_us);
  g_assert_cmpfloat (colt_members_find_strongest (members, now_us, &strongest),
                     ==, 2);
  g_assert_cmpuint (strongest, ==, 3);
  colt_members_destroy (members);
}

/* Guards against leases that a leader renews on the word of a part of the
 * instances: one that is silent, or doesn't reach the leader any more, may lead
 * by now. */
static void
test_members_followed (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t log_us = 100 * COLT_US_PER_S;
  int64_t now_us = log_us;
  int i;

  for (i = 1; i <= 4; i++)
    update_member (members, (uint32_t)i, 0, 1, log_us - i, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us - 10, now_us), ==,
                   log_us - 4);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us);
  /* All follow the leader while the log is down. */
  now_us += 6 * COLT_US_PER_S;
  for (i = 1; i <= 4; i++)
    update_member (members, (uint32_t)i, 6000, 1, now_us - 300, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   now_us - 300);
  /* The fourth instance is cut off, whatever the others say from then on. */
  for (i = 0; i < 100; i++)
    {
      now_us += COLT_US_PER_S / 4;
      update_member (members, 1, 9000, 1, now_us, now_us);
      update_member (members, 2, 9000, 1, now_us, now_us);
      update_member (members, 3, 9000, 1, now_us, now_us);
      g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                       log_us + 6 * COLT_US_PER_S - 300);
    }
  colt_members_destroy (members);
}

/* An instance that is gone is disregarded once the log has confirmed the leader
 * after its contact, or after it has said that it leaves: until then the log
 * may list it, and another process at its address may claim. */
static void
test_members_gone (void)
{
  const struct ColtMemberBeat leaving = { .instance = 2, .leaving = true };
  struct ColtMembers *members = colt_members_create ();
  int64_t gone_us = 100 * COLT_US_PER_S;
  int64_t log_us = gone_us + COLT_CONTACT_MAX_US;
  int64_t now_us = log_us + COLT_US_PER_S;

  update_member (members, 1, 0, 1, gone_us, gone_us);
  colt_members_update (members, &leaving, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us);
  log_us += COLT_US_PER_S;
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us + 1), ==,
                   log_us);
  colt_members_update (members, &leaving, now_us + 10);
  log_us += 1;
  now_us += 2 * COLT_US_PER_S;
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   now_us);
  update_member (members, 2, 0, 1, 0, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us);
  colt_members_destroy (members);
}

/* Guards against leases that a leader renews without the word of an instance
 * that its record in the log lists: it may be elected without a longer wait. */
static void
test_members_listed (void)
{
  const struct ColtMemberBeat leaving = { .instance = 2, .leaving = true };
  struct ColtMembers *members = colt_members_create ();
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  int64_t log_us = 100 * COLT_US_PER_S;
  int64_t now_us = log_us + 2 * COLT_US_PER_S;

  colt_members_expect (members, 1, log_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us);
  g_assert_cmpuint (colt_members_count_advisers (members, now_us), ==, 1);
  colt_members_list_followers (members, now_us, listed);
  g_assert_cmpuint (listed->len, ==, 1);
  update_member (members, 1, 0, 1, now_us - 3, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   now_us - 3);
  colt_members_update (members, &leaving, now_us);
  g_array_set_size (listed, 0);
  colt_members_list_followers (members, now_us, listed);
  g_assert_cmpuint (listed->len, ==, 1);
  g_assert_cmpuint (g_array_index (listed, uint32_t, 0), ==, 1);
  g_array_set_size (listed, 0);
  now_us += COLT_CONTACT_MAX_US + 1;
  colt_members_list_followers (members, now_us, listed);
  g_assert_cmpuint (listed->len, ==, 0);
  g_array_unref (listed);
  colt_members_destroy (members);
}

/* Guards against leases without end: an instance that the leader doesn't know
 * waits this long for them. */
static void
test_members_extension (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t log_us = 100 * COLT_US_PER_S;
  int64_t now_us = log_us + 3600 * COLT_US_PER_S;

  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us + COLT_EXTENSION_MAX_US);
  update_member (members, 1, 0, 1, now_us, now_us);
  g_assert_cmpint (colt_members_followed_us (members, log_us, now_us), ==,
                   log_us + COLT_EXTENSION_MAX_US);
  colt_members_destroy (members);
}

/* A leader that the log no longer confirms is in contact while at least half of
 * the instances that it knew are: all but one in an outage of the log, only
 * those of its own zone if that is cut off. Instances that left or were gone
 * before don't count. */
static void
test_members_in_contact (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t log_us = 100 * COLT_US_PER_S;
  int64_t now_us = log_us + 30 * COLT_US_PER_S;
  uint32_t i;

  g_assert_true (colt_members_in_contact (members, log_us, now_us));
  for (i = 10; i < 30; i++)
    update_member (members, i, 0, 1, 0, log_us - 20 * COLT_US_PER_S);
  for (i = 1; i <= 5; i++)
    update_member (members, i, 0, 1, 0, log_us);
  g_assert_false (colt_members_in_contact (members, log_us, now_us));
  update_member (members, 1, 0, 1, 0, now_us);
  g_assert_false (colt_members_in_contact (members, log_us, now_us));
  update_member (members, 2, 0, 1, 0, now_us);
  g_assert_true (colt_members_in_contact (members, log_us, now_us));
  colt_members_destroy (members);
}

static void
test_members_advisers (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t first;

  update_member (members, 1, 0, 1, 0, now_us);
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

static void
update_config (struct ColtMembers *members,
               uint32_t instance,
               double strength,
               int64_t version,
               int64_t now_us)
{
  const struct ColtMemberBeat beat = { .instance = instance,
                                       .strength = strength,
                                       .config_version = version };

  colt_members_update (members, &beat, now_us);
}

/* Load: many instances are behind at once. Those that have the version and are
 * strong pass it on in turn, the leader among them; weak ones, those that are
 * behind themselves, the requester and those without heartbeats don't. */
static void
test_members_refer_config (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t first;

  g_assert_cmpuint (colt_members_refer_config (members, 5, 9, now_us), ==, 0);
  update_config (members, 1, 0.5, 5, now_us);
  update_config (members, 2, 0.5, 4, now_us);
  update_config (members, 3, 0.05, 5, now_us);
  update_config (members, 4, 0.3, 6, now_us - 5 * COLT_US_PER_S);
  update_config (members, COLT_MEMBERS_SELF, 0.4, 5, now_us);
  first = colt_members_refer_config (members, 5, 9, now_us);
  g_assert_cmpuint (colt_members_refer_config (members, 5, 9, now_us + 1), ==,
                    first == 1 ? COLT_MEMBERS_SELF : 1);
  g_assert_cmpuint (colt_members_refer_config (members, 5, 9, now_us + 2), ==,
                    first);
  g_assert_cmpuint (colt_members_refer_config (members, 5, 1, now_us + 3), ==,
                    COLT_MEMBERS_SELF);
  g_assert_cmpuint (colt_members_refer_config (members, 6, 9, now_us), ==, 0);
  colt_members_destroy (members);
}

/* An instance that the log turns away doesn't learn of a new leader, which
 * expects it but gets no heartbeat. */
static void
test_members_silent (void)
{
  struct ColtMembers *members = colt_members_create ();
  GArray *silent = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  int64_t now_us = 100 * COLT_US_PER_S;

  colt_members_expect (members, 1, now_us);
  update_config (members, 2, 0.5, 1, now_us);
  colt_members_list_silent (members, now_us, silent);
  g_assert_cmpuint (silent->len, ==, 1);
  g_assert_cmpuint (g_array_index (silent, uint32_t, 0), ==, 1);
  g_array_set_size (silent, 0);
  update_config (members, 1, 0.5, 1, now_us);
  colt_members_list_silent (members, now_us, silent);
  g_assert_cmpuint (silent->len, ==, 0);
  colt_members_list_silent (members, now_us + 2 * COLT_US_PER_S, silent);
  g_assert_cmpuint (silent->len, ==, 2);
  g_array_set_size (silent, 0);
  colt_members_list_silent (members, now_us + 60 * COLT_US_PER_S, silent);
  g_assert_cmpuint (silent->len, ==, 0);
  g_array_unref (silent);
  colt_members_destroy (members);
}

void
colt_test_members_add (void)
{
  g_test_add_func ("/scheduler/members/yields-get-rarer",
                   test_yields_get_rarer);
  g_test_add_func ("/scheduler/lag", test_lag);
  g_test_add_func ("/scheduler/overload-is-not-slowness", test_speed);
  g_test_add_func ("/scheduler/members/strongest", test_members_strongest);
  g_test_add_func ("/scheduler/members/followed", test_members_followed);
  g_test_add_func ("/scheduler/members/gone", test_members_gone);
  g_test_add_func ("/scheduler/members/listed", test_members_listed);
  g_test_add_func ("/scheduler/members/extension", test_members_extension);
  g_test_add_func ("/scheduler/members/in-contact", test_members_in_contact);
  g_test_add_func ("/scheduler/members/advisers", test_members_advisers);
  g_test_add_func ("/scheduler/members/refer-config",
                   test_members_refer_config);
  g_test_add_func ("/scheduler/members/silent", test_members_silent);
}
