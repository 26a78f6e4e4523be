/* Limits over zones: what may run while bundles, transfers, leads and zones
 * change. The world aborts if a start breaks a limit. */
#include <stdlib.h>
#include <string.h>

#include "test_quota.h"
#include "world.h"

enum
{
  ROUNDS = 12
};

static const struct ColtQuotaAmount no_limit
    = { { COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } };

static void
append_limit_ (struct ColtWorld *world, int64_t tasks)
{
  struct ColtQuotaAmount limits[WORLD_TEAMS] = { no_limit, no_limit };

  limits[0].amount[COLT_QUOTA_TASKS] = tasks;
  g_assert_true (world_append_bundle (world, limits, 7));
}

static struct ColtWorld *
create_ (int64_t tasks)
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
static int
work_ (struct ColtWorld *world, int zone, int n)
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

static int
work_all_ (struct ColtWorld *world, int n)
{
  int started = 0;
  int zone;

  for (zone = 0; zone < WORLD_ZONES; zone++)
    started += work_ (world, zone, n);
  return started;
}

static void
end_ (struct ColtWorld *world, int zone, int n)
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
  struct ColtWorld *world = create_ (10);

  g_assert_cmpint (work_all_ (world, 20), ==, 10);
  g_assert_cmpint (world_running (world, -1, 0), ==, 10);
  world_destroy (world);
}

static void
test_lower_while_full (void)
{
  struct ColtWorld *world = create_ (9);

  g_assert_cmpint (work_all_ (world, 9), ==, 9);
  append_limit_ (world, 3);
  world_settle (world, ROUNDS);
  end_ (world, 0, 1);
  g_assert_cmpint (work_ (world, 0, 3), ==, 0);
  end_ (world, 0, 2);
  g_assert_cmpint (work_ (world, 0, 3), ==, 1);
  end_ (world, 1, 3);
  g_assert_cmpint (work_ (world, 1, 3), ==, 1);
  world_destroy (world);
}

static void
test_raise (void)
{
  struct ColtWorld *world = create_ (3);

  g_assert_cmpint (work_all_ (world, 9), ==, 3);
  append_limit_ (world, 9);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_all_ (world, 9), ==, 6);
  world_destroy (world);
}

static void
test_raise_waits_for_all_zones (void)
{
  struct ColtWorld *world = create_ (3);

  world_cut (world, 2, true);
  append_limit_ (world, 9);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_ (world, 0, 9), ==, 1);
  world_cut (world, 2, false);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_ (world, 0, 9), ==, 2);
  world_destroy (world);
}

/* A limit lowered by mistake and put right: nobody stays locked out. */
static void
test_lower_and_raise (void)
{
  struct ColtWorld *world = create_ (9);

  g_assert_cmpint (work_all_ (world, 9), ==, 9);
  append_limit_ (world, 3);
  append_limit_ (world, 12);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_all_ (world, 12), ==, 3);
  world_destroy (world);
}

static void
test_transfer_twice (void)
{
  struct ColtWorld *world = create_ (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  g_assert_true (world_append_again (world, 1));
  world_settle (world, ROUNDS);
  g_assert_cmpint (entitled_ (world, 0), ==, 1);
  g_assert_cmpint (entitled_ (world, 1), ==, 5);
  g_assert_cmpint (work_ (world, 1, 9), ==, 5);
  g_assert_cmpint (work_ (world, 0, 9), ==, 1);
  world_destroy (world);
}

static void
test_transfer_while_used (void)
{
  struct ColtWorld *world = create_ (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_cmpint (work_ (world, 0, 9), ==, 3);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  g_assert_cmpint (work_ (world, 1, 9), ==, 3);
  end_ (world, 0, 2);
  g_assert_cmpint (work_ (world, 0, 9), ==, 0);
  g_assert_cmpint (work_ (world, 1, 9), ==, 2);
  world_destroy (world);
}

/* A zone cut off keeps what it has; the others leave room for it. */
static void
test_lower_during_cut (void)
{
  struct ColtWorld *world = create_ (9);

  world_cut (world, 2, true);
  append_limit_ (world, 3);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_ (world, 0, 9), ==, 1);
  g_assert_cmpint (work_ (world, 1, 9), ==, 1);
  g_assert_cmpint (work_ (world, 2, 9), ==, 3);
  world_cut (world, 2, false);
  world_settle (world, ROUNDS);
  end_ (world, 2, 3);
  g_assert_cmpint (work_ (world, 2, 9), ==, 1);
  world_destroy (world);
}

static void
test_transfer_during_cut (void)
{
  struct ColtWorld *world = create_ (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  world_cut (world, 0, true);
  g_assert_true (world_append_transfer (world, 0, 1, 2, &two));
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_ (world, 0, 9), ==, 3);
  g_assert_cmpint (work_ (world, 1, 9), ==, 3);
  world_cut (world, 0, false);
  world_settle (world, ROUNDS);
  end_ (world, 0, 2);
  g_assert_cmpint (work_ (world, 1, 9), ==, 2);
  world_destroy (world);
}

static void
test_log_down (void)
{
  struct ColtWorld *world = create_ (9);

  world_set_log (world, false);
  g_assert_cmpint (work_all_ (world, 9), ==, 9);
  end_ (world, 0, 3);
  world_depose (world, 0, 1);
  world_elect (world, 0, 2);
  g_assert_cmpint (work_ (world, 0, 9), ==, 3);
  world_destroy (world);
}

/* The new lead has not read what the old one made the owners promise. */
static void
test_takeover_before_complying (void)
{
  struct ColtWorld *world = create_ (9);
  struct ColtCreditLeadInfo info;
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
  colt_credit_lead_info (world_lead (world, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEAD_BEHIND);
  world_settle (world, ROUNDS);
  colt_credit_lead_info (world_lead (world, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEAD_ACTIVE);
  g_assert_cmpint (work_ (world, 0, 9), ==, 1);
  world_destroy (world);
}

static void
test_zone_replaced (void)
{
  struct ColtWorld *world = create_ (9);
  int i;

  g_assert_cmpint (work_ (world, 0, 2), ==, 2);
  for (i = 0; i < WORLD_INSTANCES; i++)
    world_kill (world, 0, i);
  for (i = 0; i < WORLD_INSTANCES; i++)
    world_start (world, 0, i);
  for (i = 0; i < WORLD_SERVERS; i++)
    world_take_over (world, 0, i, i);
  world_elect (world, 0, 0);
  world_settle (world, ROUNDS);
  g_assert_cmpint (work_all_ (world, 9), ==, 7);
  g_assert_cmpint (world_running (world, -1, 0), ==, 9);
  world_destroy (world);
}

/* An owner dies; another takes its server over with what runs there. */
static void
test_adopt (void)
{
  struct ColtWorld *world = create_ (9);
  struct ColtQuotaAmount counted;

  g_assert_cmpint (work_ (world, 0, 3), ==, 3);
  world_kill (world, 0, 1);
  world_take_over (world, 0, 1, 2);
  world_settle (world, ROUNDS);
  colt_credit_lead_counted (world_lead (world, 0, 1), world_team (world, 0),
                            &counted);
  g_assert_cmpint (counted.amount[COLT_QUOTA_TASKS], ==, 3);
  world_wait (world, 0, 2, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 2, 1, 0, 0));
  end_ (world, 0, 2);
  world_wait (world, 0, 2, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 2, 1, 0, 0));
  g_assert_true (world_run (world, 0, 2, 1, 0, 0));
  g_assert_false (world_run (world, 0, 2, 1, 0, 0));
  world_destroy (world);
}

/* A server changes hands between two that live: tasks count at the old owner
 * until the lead counts them at the new one, then only there. */
static void
test_server_moves (void)
{
  struct ColtWorld *world = create_ (9);
  struct ColtQuotaAmount amount;

  g_assert_cmpint (work_ (world, 0, 3), ==, 3);
  world_take_over (world, 0, 1, 2);
  world_notice (world, 0, 1);
  colt_credit_holder_running (world_holder (world, 0, 1), world_team (world, 0),
                              &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 3);
  world_settle (world, ROUNDS);
  colt_credit_holder_running (world_holder (world, 0, 1), world_team (world, 0),
                              &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 0);
  colt_credit_lead_counted (world_lead (world, 0, 1), world_team (world, 0),
                            &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 3);
  world_destroy (world);
}

/* One task at a time, on one owner after the other. */
static void
run_in_turn_ (struct ColtWorld *world, int rounds)
{
  int round;

  for (round = 0; round < rounds; round++)
    {
      int instance = round % WORLD_INSTANCES;

      world_wait (world, 0, instance, 0, 1);
      world_settle (world, ROUNDS);
      g_assert_true (world_run (world, 0, instance, instance, 0, 0));
      world_wait (world, 0, instance, 0, 0);
      g_assert_true (world_end (world, 0, instance, 0));
      world_settle (world, ROUNDS);
    }
}

/* A task's credit goes with its server: the old owner can't use it again. */
static void
test_credits_move_with_server (void)
{
  struct ColtWorld *world = create_ (9);

  g_assert_cmpint (work_ (world, 0, 3), ==, 3);
  world_take_over (world, 0, 1, 2);
  world_settle (world, ROUNDS);
  world_depose (world, 0, 1);
  g_assert_false (world_run (world, 0, 1, 1, 0, 0));
  world_take_over (world, 0, 0, 1);
  g_assert_false (world_run (world, 0, 1, 0, 0, 0));
  world_elect (world, 0, 0);
  world_settle (world, ROUNDS);
  end_ (world, 0, 1);
  world_wait (world, 0, 1, 0, 2);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 1, 0, 0, 0));
  g_assert_false (world_run (world, 0, 1, 0, 0, 0));
  world_destroy (world);
}

/* Spare credits that lie idle go to the owner whose work waits. */
static void
test_idle_spare_moves (void)
{
  struct ColtWorld *world = create_ (3);

  run_in_turn_ (world, 6);
  world_destroy (world);
}

/* An owner whose tasks follow each other does not keep out another. */
static void
test_owners_take_turns (void)
{
  struct ColtWorld *world = create_ (3);
  int served[WORLD_INSTANCES] = { 0 };
  int round;
  int instance;

  for (round = 0; round < 100; round++)
    {
      for (instance = 0; instance < WORLD_INSTANCES; instance++)
        {
          world_wait (world, 0, instance, 0, 2);
          if (world_run (world, 0, instance, instance, 0, 0))
            served[instance]++;
        }
      world_settle (world, 2);
      for (instance = 0; instance < WORLD_INSTANCES; instance++)
        world_end (world, 0, instance, 0);
    }
  for (instance = 0; instance < WORLD_INSTANCES; instance++)
    g_assert_cmpint (served[instance], >=, 5);
  world_destroy (world);
}

/* Settles, and keeps a copy of all that is sent meanwhile. */
static void
settle_keeping_ (struct ColtWorld *world, int zone, int lead)
{
  int round;
  int i;
  size_t at;

  for (round = 0; round < 6; round++)
    {
      world_pass (world, COLT_CREDIT_RETRY_US);
      for (i = 0; i < WORLD_INSTANCES; i++)
        world_process_holder (world, zone, i);
      world_process_lead (world, zone, lead);
      for (at = 0; at < world_messages (world); at++)
        world_keep (world, at);
      while (world_messages (world) > 0)
        world_deliver (world, 0, false);
    }
}

/* Grants of a lead that was replaced arrive late. */
static void
test_late_grant_of_old_lead (void)
{
  struct ColtWorld *world = create_ (3);

  run_in_turn_ (world, 9);
  world_wait (world, 0, 1, 0, 1);
  settle_keeping_ (world, 0, 1);
  world_wait (world, 0, 1, 0, 0);
  world_elect (world, 0, 2);
  world_depose (world, 0, 1);
  world_wait (world, 0, 2, 0, 1);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 2, 2, 0, 0));
  world_release (world);
  g_assert_false (world_run (world, 0, 1, 1, 0, 0));
  world_destroy (world);
}

/* A report from before a server was taken over arrives after it. */
static void
test_late_report (void)
{
  struct ColtWorld *world = create_ (9);
  int round;

  run_in_turn_ (world, 3);
  world_wait (world, 0, 2, 0, 1);
  settle_keeping_ (world, 0, 1);
  world_wait (world, 0, 2, 0, 0);
  g_assert_cmpint (work_ (world, 0, 3), ==, 3);
  world_take_over (world, 0, 1, 2);
  world_settle (world, ROUNDS);
  world_release (world);
  world_wait (world, 0, 0, 0, 3);
  for (round = 0; round < ROUNDS; round++)
    {
      world_settle (world, 1);
      g_assert_false (world_run (world, 0, 0, 0, 0, 0));
    }
  world_destroy (world);
}

/* A recall that has not arrived: its credits can't go to another owner. */
static void
test_recall_under_way (void)
{
  struct ColtWorld *world = create_ (9);
  int i;

  world_wait (world, 0, 1, 0, 3);
  world_settle (world, ROUNDS);
  world_wait (world, 0, 1, 0, 0);
  world_settle (world, ROUNDS);
  world_pause (world, 0, 1, true);
  world_wait (world, 0, 2, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_cmpuint (world_messages (world), >, 0);
  world_wait (world, 0, 1, 0, 3);
  world_process_holder (world, 0, 1);
  world_settle (world, ROUNDS);
  for (i = 0; i < 3; i++)
    g_assert_true (world_run (world, 0, 1, 1, 0, 0));
  g_assert_false (world_run (world, 0, 2, 2, 0, 0));
  world_pause (world, 0, 1, false);
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 2, 2, 0, 0));
  world_destroy (world);
}

/* A zone that skips an offset runs too much for those that stand there. */
static void
test_skipped_offset (void)
{
  struct ColtWorld *world = create_ (12);
  const struct ColtQuotaAmount three = { { 3, 0, 0 } };
  int zone;
  int i;

  g_assert_cmpint (work_ (world, 0, 4), ==, 4);
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
  g_assert_cmpint (work_ (world, 1, 9), ==, 4);
  g_assert_cmpint (work_ (world, 2, 9), ==, 4);
  world_set_log (world, true);
  world_settle (world, ROUNDS);
  end_ (world, 0, 1);
  g_assert_cmpint (work_ (world, 0, 4), ==, 1);
  world_destroy (world);
}

static void
test_session_ends (void)
{
  struct ColtWorld *world = create_ (9);
  struct ColtCreditHolder *holder = world_holder (world, 0, 1);
  const char *team = world_team (world, 0);
  struct ColtQuotaAmount spare;

  g_assert_cmpint (work_ (world, 0, 1), ==, 1);
  world_wait (world, 0, 1, 0, 1);
  world_settle (world, ROUNDS);
  colt_credit_holder_spare (holder, team, &spare);
  g_assert_cmpint (spare.amount[COLT_QUOTA_TASKS], >, 0);
  colt_credit_holder_end_session (holder, colt_team_shard (team));
  g_assert_false (world_run (world, 0, 1, 1, 0, 0));
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 1, 1, 0, 0));
  world_depose (world, 0, 1);
  world_elect (world, 0, 0);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 1, 1, 0, 0));
  world_destroy (world);
}

/* At rest nobody sends anything. */
static void
test_silence_at_rest (void)
{
  struct ColtWorld *world = create_ (9);
  int i;

  g_assert_cmpint (work_all_ (world, 3), ==, 9);
  world_settle (world, 60);
  for (i = 0; i < 20; i++)
    {
      int zone;
      int instance;

      world_pass (world, 1000000);
      for (zone = 0; zone < WORLD_ZONES; zone++)
        {
          world_process_lead (world, zone, 1);
          for (instance = 0; instance < WORLD_INSTANCES; instance++)
            world_process_holder (world, zone, instance);
        }
    }
  g_assert_cmpint (world_messages (world), ==, 0);
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
  g_test_add_func ("/quota/adopt", test_adopt);
  g_test_add_func ("/quota/server-moves", test_server_moves);
  g_test_add_func ("/quota/credits-move", test_credits_move_with_server);
  g_test_add_func ("/quota/idle-spare-moves", test_idle_spare_moves);
  g_test_add_func ("/quota/owners-take-turns", test_owners_take_turns);
  g_test_add_func ("/quota/late-grant", test_late_grant_of_old_lead);
  g_test_add_func ("/quota/late-report", test_late_report);
  g_test_add_func ("/quota/recall-under-way", test_recall_under_way);
  g_test_add_func ("/quota/skipped-offset", test_skipped_offset);
  g_test_add_func ("/quota/session-ends", test_session_ends);
  g_test_add_func ("/quota/silence", test_silence_at_rest);
  test_fold_add ();
  test_transfers_add ();
  return g_test_run ();
}
