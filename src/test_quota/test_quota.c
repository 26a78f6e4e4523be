/* Limits over zones: what may run while bundles, transfers, leads and zones
 * change. The world aborts if a start breaks a limit. */
#include <stdlib.h>
#include <string.h>

#include "simulation.h"
#include "test_quota.h"

static const struct ColtQuotaAmount no_limit
    = { { COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } };

static void
append_limit_ (struct ColtWorld *world, int64_t tasks)
{
  struct ColtQuotaAmount limits[WORLD_TEAMS] = { no_limit, no_limit };

  limits[0].amount[COLT_QUOTA_TASKS] = tasks;
  g_assert_true (world_append_bundle (world, limits, 7));
}

struct ColtWorld *
test_create (int64_t tasks)
{
  struct ColtWorld *world = world_create ();
  int zone;

  append_limit_ (world, tasks);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    world_elect (world, zone, 0);
  world_settle (world, ROUNDS);
  return world;
}

/* Lets n tasks wait in a zone, and starts what gets credits. */
int
test_work (struct ColtWorld *world, int zone, int n)
{
  int started = 0;
  int round;
  int i;

  for (round = 0; round < 4 && started < n; round++)
    {
      world_wait (world, zone, 1, 0, n - started);
      world_settle (world, ROUNDS);
      for (i = 0; started < n && world_run (world, zone, 1, 1, 0, 0); i++)
        started++;
    }
  world_wait (world, zone, 1, 0, 0);
  world_settle (world, ROUNDS);
  return started;
}

int
test_work_all (struct ColtWorld *world, int n)
{
  int started = 0;
  int zone;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    started += test_work (world, zone, n);
  return started;
}

void
test_end (struct ColtWorld *world, int zone, int n)
{
  int i;

  for (i = 0; i < n; i++)
    g_assert_true (world_end (world, zone, 1, 0));
  world_settle (world, ROUNDS);
}

static int64_t
entitled_ (struct ColtWorld *world, int zone)
{
  struct ColtQuotaAmount amount;

  colt_entitlements_get (world_fold (world, 0, 0), world_team (world, 0),
                         (uint32_t)zone + 1, &amount);
  return amount.amount[COLT_QUOTA_TASKS];
}

static void
test_full_use (void)
{
  struct ColtWorld *world = test_create (10);

  g_assert_cmpint (test_work_all (world, 20), ==, 10);
  g_assert_cmpint (world_running (world, -1, 0), ==, 10);
  world_destroy (world);
}

static void
test_lower_while_full (void)
{
  struct ColtWorld *world = test_create (9);

  g_assert_cmpint (test_work_all (world, 9), ==, 9);
  append_limit_ (world, 3);
  world_settle (world, ROUNDS);
  test_end (world, 0, 1);
  g_assert_cmpint (test_work (world, 0, 3), ==, 0);
  test_end (world, 0, 2);
  g_assert_cmpint (test_work (world, 0, 3), ==, 1);
  test_end (world, 1, 3);
  g_assert_cmpint (test_work (world, 1, 3), ==, 1);
  world_destroy (world);
}

static void
test_raise (void)
{
  struct ColtWorld *world = test_create (3);

  g_assert_cmpint (test_work_all (world, 9), ==, 3);
  append_limit_ (world, 9);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work_all (world, 9), ==, 6);
  world_destroy (world);
}

static void
test_raise_waits_for_all_zones (void)
{
  struct ColtWorld *world = test_create (3);

  world_cut (world, 2, true);
  append_limit_ (world, 9);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work (world, 0, 9), ==, 1);
  world_cut (world, 2, false);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work (world, 0, 9), ==, 2);
  world_destroy (world);
}

/* A limit lowered by mistake and put right: nobody stays locked out. */
static void
test_lower_and_raise (void)
{
  struct ColtWorld *world = test_create (9);

  g_assert_cmpint (test_work_all (world, 9), ==, 9);
  append_limit_ (world, 3);
  append_limit_ (world, 12);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work_all (world, 12), ==, 3);
  world_destroy (world);
}

static void
test_transfer_twice (void)
{
  struct ColtWorld *world = test_create (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  g_assert_true (world_append_again (world, 1));
  world_settle (world, ROUNDS);
  g_assert_cmpint (entitled_ (world, 0), ==, 1);
  g_assert_cmpint (entitled_ (world, 1), ==, 5);
  g_assert_cmpint (test_work (world, 1, 9), ==, 5);
  g_assert_cmpint (test_work (world, 0, 9), ==, 1);
  world_destroy (world);
}

static void
test_transfer_while_used (void)
{
  struct ColtWorld *world = test_create (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_cmpint (test_work (world, 0, 9), ==, 3);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  g_assert_cmpint (test_work (world, 1, 9), ==, 3);
  test_end (world, 0, 2);
  g_assert_cmpint (test_work (world, 0, 9), ==, 0);
  g_assert_cmpint (test_work (world, 1, 9), ==, 2);
  world_destroy (world);
}

/* A zone cut off keeps what it has; the others leave room for it. */
static void
test_lower_during_cut (void)
{
  struct ColtWorld *world = test_create (9);

  world_cut (world, 2, true);
  append_limit_ (world, 3);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work (world, 0, 9), ==, 1);
  g_assert_cmpint (test_work (world, 1, 9), ==, 1);
  g_assert_cmpint (test_work (world, 2, 9), ==, 3);
  world_cut (world, 2, false);
  world_settle (world, ROUNDS);
  test_end (world, 2, 3);
  g_assert_cmpint (test_work (world, 2, 9), ==, 1);
  world_destroy (world);
}

static void
test_transfer_during_cut (void)
{
  struct ColtWorld *world = test_create (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  world_cut (world, 0, true);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work (world, 0, 9), ==, 3);
  g_assert_cmpint (test_work (world, 1, 9), ==, 3);
  world_cut (world, 0, false);
  world_settle (world, ROUNDS);
  test_end (world, 0, 2);
  g_assert_cmpint (test_work (world, 1, 9), ==, 2);
  world_destroy (world);
}

static void
test_log_down (void)
{
  struct ColtWorld *world = test_create (9);

  world_set_log (world, false);
  g_assert_cmpint (test_work_all (world, 9), ==, 9);
  test_end (world, 0, 3);
  world_depose (world, 0, 1);
  world_elect (world, 0, 2);
  g_assert_cmpint (test_work (world, 0, 9), ==, 3);
  world_destroy (world);
}

/* The new lead has not read what the old one made the owners promise. */
static void
test_takeover_before_complying (void)
{
  struct ColtWorld *world = test_create (9);
  struct ColtCreditLeaderInfo info;
  int i;

  append_limit_ (world, 3);
  g_assert_true (world_read (world, 0, 0));
  for (i = 0; i < 4; i++)
    {
      world_pass (world, COLT_CREDIT_RETRY_US);
      world_process_lead (world, 0, 1);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
      world_process_holder (world, 0, 0);
      world_process_holder (world, 0, 1);
      world_process_holder (world, 0, 2);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
    }
  world_depose (world, 0, 1);
  world_elect (world, 0, 2);
  for (i = 0; i < 4; i++)
    {
      world_pass (world, COLT_CREDIT_RETRY_US);
      world_process_lead (world, 0, 1);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
      world_process_holder (world, 0, 0);
      world_process_holder (world, 0, 1);
      world_process_holder (world, 0, 2);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
    }
  colt_credit_leader_get_info (world_lead (world, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEADER_BEHIND);
  world_settle (world, ROUNDS);
  colt_credit_leader_get_info (world_lead (world, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEADER_ACTIVE);
  g_assert_cmpint (test_work (world, 0, 9), ==, 1);
  world_destroy (world);
}

static void
test_zone_replaced (void)
{
  struct ColtWorld *world = test_create (9);
  int i;

  g_assert_cmpint (test_work (world, 0, 2), ==, 2);
  for (i = 0; i < WORLD_INSTANCES; i++)
    world_kill (world, 0, i);
  for (i = 0; i < WORLD_INSTANCES; i++)
    world_start (world, 0, i);
  for (i = 0; i < WORLD_SERVERS; i++)
    world_take_over (world, 0, i, i);
  world_elect (world, 0, 0);
  world_settle (world, ROUNDS);
  g_assert_cmpint (test_work_all (world, 9), ==, 7);
  g_assert_cmpint (world_running (world, -1, 0), ==, 9);
  world_destroy (world);
}

/* Lets the lead and the owners of one zone talk. */
static void
serve_ (struct ColtWorld *world, int zone)
{
  int round;
  int i;

  for (round = 0; round < ROUNDS; round++)
    {
      world_pass (world, COLT_CREDIT_RETRY_US);
      for (i = 0; i < WORLD_INSTANCES; i++)
        world_process_holder (world, zone, i);
      world_process_lead (world, zone, 1);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
    }
}

static void
read_all_ (struct ColtWorld *world)
{
  int zone;
  int i;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    for (i = 0; i < WORLD_INSTANCES; i++)
      while (world_read (world, zone, i))
        continue;
}

/* A new lead leaves a team out of its word on compliance, and doesn't know
 * that the former lead had said for the team that the zone complies. */
static void
test_exception_of_new_lead (void)
{
  struct ColtWorld *world = test_create (12);
  const struct ColtQuotaAmount three = { { 3, 0, 0 } };
  const struct ColtQuotaAmount six = { { 6, 0, 0 } };
  int zone;
  int i;

  g_assert_true (world_append_transfer (world, 0, 2, 1, &three));
  read_all_ (world);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    serve_ (world, zone);
  world_gossip (world, 1, 0, 0, 0);
  world_gossip (world, 2, 0, 0, 0);
  world_wait (world, 0, 1, 0, 7);
  serve_ (world, 0);
  for (i = 0; i < 7; i++)
    g_assert_true (world_run (world, 0, 1, 1, 0, 0));
  world_kill (world, 0, 0);
  world_take_over (world, 0, 0, 2);
  world_elect (world, 0, 1);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &six));
  read_all_ (world);
  for (zone = 0; zone < WORLD_ZONES; zone++)
    serve_ (world, zone);
  world_gossip (world, 0, 1, 1, 0);
  world_gossip (world, 2, 0, 1, 0);
  world_wait (world, 1, 1, 0, 9);
  serve_ (world, 1);
  g_assert_true (world_run (world, 1, 1, 1, 0, 0));
  g_assert_false (world_run (world, 1, 1, 1, 0, 0));
  world_destroy (world);
}

/* A zone that skips an offset runs too much for those that stand there. */
static void
test_skipped_offset (void)
{
  struct ColtWorld *world = test_create (12);
  const struct ColtQuotaAmount three = { { 3, 0, 0 } };
  int zone;
  int i;

  g_assert_cmpint (test_work (world, 0, 4), ==, 4);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &three));
  g_assert_true (world_append_transfer (world, 0, 2, 1, &three));
  for (zone = 0; zone < WORLD_ZONES; zone++)
    for (i = 0; i < WORLD_INSTANCES; i++)
      {
        g_assert_true (world_read (world, zone, i));
        if (zone == 0)
          g_assert_true (world_read (world, zone, i));
      }
  world_set_log (world, false);
  g_assert_cmpint (test_work (world, 1, 9), ==, 4);
  g_assert_cmpint (test_work (world, 2, 9), ==, 4);
  world_set_log (world, true);
  world_settle (world, ROUNDS);
  test_end (world, 0, 1);
  g_assert_cmpint (test_work (world, 0, 4), ==, 1);
  world_destroy (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota/full-use", test_full_use);
  g_test_add_func ("/quota/lower-while-full", test_lower_while_full);
  g_test_add_func ("/quota/raise", test_raise);
  g_test_add_func ("/quota/raise-waits", test_raise_waits_for_all_zones);
  g_test_add_func ("/quota/lower-and-raise", test_lower_and_raise);
  g_test_add_func ("/quota/transfer-twice", test_transfer_twice);
  g_test_add_func ("/quota/transfer-while-used", test_transfer_while_used);
  g_test_add_func ("/quota/lower-during-cut", test_lower_during_cut);
  g_test_add_func ("/quota/transfer-during-cut", test_transfer_during_cut);
  g_test_add_func ("/quota/log-down", test_log_down);
  g_test_add_func ("/quota/takeover-behind", test_takeover_before_complying);
  g_test_add_func ("/quota/zone-replaced", test_zone_replaced);
  g_test_add_func ("/quota/skipped-offset", test_skipped_offset);
  g_test_add_func ("/quota/exception-of-new-lead", test_exception_of_new_lead);
  test_credits_add ();
  test_fold_add ();
  test_transfers_add ();
  return g_test_run ();
}
