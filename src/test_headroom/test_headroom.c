/* The room that is kept free for urgent work, under different loads. */
#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/headroom.h"

#define START_US (100 * COLT_US_PER_S)
#define TOTAL 1000u

static const struct ColtResources demand = { { 11000, 4000 } };

/* Urgent tasks of 1 s with a slack of 1 s become ready, a number every 250 ms.
 */
static int64_t
play (struct ColtHeadroom *headroom,
      uint32_t tasks,
      int intervals,
      int64_t now_us)
{
  const struct ColtHeadroomWork work
      = { demand, tasks, COLT_US_PER_S, COLT_US_PER_S };
  int i;

  for (i = 0; i < intervals; i++)
    {
      now_us += 250 * COLT_US_PER_MS;
      if (tasks > 0)
        colt_headroom_add_urgent (headroom, &work, now_us);
    }
  return now_us;
}

/* A burst of twice the usual urgent work for 4 s: what it needs at its peak is
 * kept free for 16 s, less what urgent work uses. */
static void
test_burst (void)
{
  struct ColtHeadroom *headroom = colt_headroom_create ();
  int64_t now_us = START_US;
  int i;

  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 0);
  now_us = play (headroom, 10, 20, now_us);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 40);
  now_us = play (headroom, 20, 16, now_us);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 80);
  for (i = 0; i < 30; i++)
    colt_headroom_add_run (headroom);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 50);
  now_us = play (headroom, 10, 40, now_us);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 50);
  now_us = play (headroom, 10, 40, now_us);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 10);
  for (i = 0; i < 30; i++)
    colt_headroom_end_run (headroom);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 40);
  colt_headroom_destroy (headroom);
}

/* Urgent work ceases, and comes again after a long pause. */
static void
test_pause (void)
{
  struct ColtHeadroom *headroom = colt_headroom_create ();
  int64_t now_us = play (headroom, 10, 20, START_US);

  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 40);
  now_us += 16 * COLT_US_PER_S;
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 0);
  now_us += 3600 * COLT_US_PER_S;
  now_us = play (headroom, 2, 8, now_us);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 8);
  colt_headroom_destroy (headroom);
}

/* Urgent work of the size of the service: other work keeps three quarters. */
static void
test_bound (void)
{
  struct ColtHeadroom *headroom = colt_headroom_create ();
  int64_t now_us = play (headroom, 1000, 20, START_US);

  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 250);
  colt_headroom_destroy (headroom);
}

/* More other work waits than the service can carry with room kept free: less is
 * kept, and nothing once it takes a tenth of its slack. */
static void
test_overload (void)
{
  struct ColtHeadroom *headroom = colt_headroom_create ();
  int64_t now_us = play (headroom, 10, 20, START_US);

  colt_headroom_add_waiting (headroom, &demand, 1000, 20 * COLT_US_PER_S);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 20);
  colt_headroom_add_waiting (headroom, &demand, 2000, 20 * COLT_US_PER_S);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 0);
  g_assert_cmpuint (colt_headroom_needed (headroom, TOTAL, now_us), ==, 40);
  colt_headroom_destroy (headroom);
}

/* Which work is urgent, and which can wait. */
static void
test_kinds_of_work (void)
{
  const struct ColtHeadroomWait early = { 7000, 24000, 13000 };
  const struct ColtHeadroomWait used_up = { 7000, 24000, 11000 };

  g_assert_true (colt_headroom_is_urgent (0, 1000, 800));
  g_assert_false (colt_headroom_is_urgent (0, 1000, 1200));
  g_assert_false (colt_headroom_is_urgent (1, 1000, 800));
  g_assert_true (colt_headroom_has_slack (2, 7000, 24000));
  g_assert_false (colt_headroom_has_slack (2, 7000, 13000));
  g_assert_false (colt_headroom_has_slack (0, 7000, 24000));
  g_assert_true (colt_headroom_may_wait (&early));
  g_assert_false (colt_headroom_may_wait (&used_up));
}

/* Free room counts in whole tasks of the scarcest resource. */
static void
test_slots (void)
{
  const struct ColtResources room = { { 64000, 100000 } };
  const struct ColtResources used = { { 20000, 90000 } };
  const struct ColtResources none = { { 0 } };
  struct ColtHeadroom *headroom = colt_headroom_create ();

  g_assert_cmpuint (colt_headroom_count_slots (headroom, &room, &none), ==, 0);
  play (headroom, 1, 1, START_US);
  g_assert_cmpuint (colt_headroom_count_slots (headroom, &room, &none), ==, 5);
  g_assert_cmpuint (colt_headroom_count_slots (headroom, &room, &used), ==, 2);
  g_assert_cmpuint (colt_headroom_count_slots (headroom, &used, &room), ==, 0);
  colt_headroom_destroy (headroom);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/policy/headroom/burst", test_burst);
  g_test_add_func ("/policy/headroom/pause", test_pause);
  g_test_add_func ("/policy/headroom/bound", test_bound);
  g_test_add_func ("/policy/headroom/overload", test_overload);
  g_test_add_func ("/policy/headroom/kinds-of-work", test_kinds_of_work);
  g_test_add_func ("/policy/headroom/slots", test_slots);
  return g_test_run ();
}
