/* Credits in a zone: owners, leads and servers that come and go. */
#include <stdlib.h>

#include "simulation.h"
#include "test_quota.h"

/* An owner dies; another takes its server over with what runs there. */
static void
test_adopt (void)
{
  struct ColtWorld *world = test_create (9);
  struct ColtQuotaAmount counted;

  g_assert_cmpint (test_work (world, 0, 3), ==, 3);
  world_kill (world, 0, 1);
  world_take_over (world, 0, 1, 2);
  world_settle (world, ROUNDS);
  colt_credit_leader_get_counted (world_lead (world, 0, 1),
                                  world_team (world, 0), &counted);
  g_assert_cmpint (counted.amount[COLT_QUOTA_TASKS], ==, 3);
  world_wait (world, 0, 2, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 2, 1, 0, 0));
  test_end (world, 0, 2);
  world_wait (world, 0, 2, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 2, 1, 0, 0));
  g_assert_true (world_run (world, 0, 2, 1, 0, 0));
  g_assert_false (world_run (world, 0, 2, 1, 0, 0));
  world_destroy (world);
}

static void
count_report_ (void *context, const struct ColtCreditReport *report)
{
  int *count = context;

  g_assert_cmpuint (report->sequence, >, 0);
  (*count)++;
}

/* A promise that was told in a report under way is not told again at once,
 * whatever grants come meanwhile. */
static void
test_reports_do_not_multiply (void)
{
  int count = 0;
  struct ColtCreditHolder *holder
      = colt_credit_holder_create (1 << 16 | 1, 0, count_report_, &count);
  struct ColtCreditGrant grant = { .owner = 1 << 16 | 1,
                                   .shard = 3,
                                   .epoch = 7,
                                   .recount = true,
                                   .offset = 5,
                                   .promise = 5 };
  int i;

  g_assert_true (colt_credit_holder_handle_grant (holder, &grant, NULL));
  colt_credit_holder_process (holder, 1000);
  g_assert_cmpint (count, ==, 1);
  grant.recount = false;
  for (i = 0; i < 10; i++)
    {
      g_assert_true (colt_credit_holder_handle_grant (holder, &grant, NULL));
      colt_credit_holder_process (holder, 1000 + i);
    }
  g_assert_cmpint (count, ==, 1);
  colt_credit_holder_process (holder, 1000 + COLT_CREDIT_RETRY_US);
  g_assert_cmpint (count, ==, 2);
  colt_credit_holder_destroy (holder);
}

/* A server changes hands between two that live: tasks count at the old owner
 * until the lead counts them at the new one, then only there. */
static void
test_server_moves (void)
{
  struct ColtWorld *world = test_create (9);
  struct ColtQuotaAmount amount;

  g_assert_cmpint (test_work (world, 0, 3), ==, 3);
  world_take_over (world, 0, 1, 2);
  world_notice (world, 0, 1);
  colt_credit_holder_get_running (world_holder (world, 0, 1),
                                  world_team (world, 0), &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 3);
  world_settle (world, ROUNDS);
  colt_credit_holder_get_running (world_holder (world, 0, 1),
                                  world_team (world, 0), &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 0);
  colt_credit_leader_get_counted (world_lead (world, 0, 1),
                                  world_team (world, 0), &amount);
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
  struct ColtWorld *world = test_create (9);

  g_assert_cmpint (test_work (world, 0, 3), ==, 3);
  world_take_over (world, 0, 1, 2);
  world_notice (world, 0, 1);
  world_depose (world, 0, 1);
  world_take_over (world, 0, 0, 1);
  g_assert_false (world_run (world, 0, 1, 0, 0, 0));
  world_elect (world, 0, 0);
  world_settle (world, ROUNDS);
  test_end (world, 0, 1);
  world_wait (world, 0, 1, 0, 2);
  world_settle (world, ROUNDS);
  g_assert_true (world_run (world, 0, 1, 0, 0, 0));
  g_assert_false (world_run (world, 0, 1, 0, 0, 0));
  world_destroy (world);
}

/* The new owner has not reported yet: the old one's word counts. */
static void
test_tasks_of_lost_server_count (void)
{
  struct ColtWorld *world = test_create (9);

  g_assert_cmpint (test_work (world, 0, 3), ==, 3);
  world_pause (world, 0, 2, true);
  world_take_over (world, 0, 1, 2);
  world_settle (world, ROUNDS);
  world_wait (world, 0, 0, 0, 3);
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 0, 0, 0, 0));
  world_pause (world, 0, 2, false);
  world_settle (world, ROUNDS);
  g_assert_false (world_run (world, 0, 0, 0, 0, 0));
  test_end (world, 0, 3);
  g_assert_true (world_run (world, 0, 0, 0, 0, 0));
  world_destroy (world);
}

/* Spare credits that lie idle go to the owner whose work waits. */
static void
test_idle_spare_moves (void)
{
  struct ColtWorld *world = test_create (3);

  run_in_turn_ (world, 6);
  world_destroy (world);
}

/* An owner whose tasks follow each other does not keep out another. */
static void
test_owners_take_turns (void)
{
  struct ColtWorld *world = test_create (3);
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
  struct ColtWorld *world = test_create (3);

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
  struct ColtWorld *world = test_create (9);
  int round;

  run_in_turn_ (world, 3);
  world_wait (world, 0, 2, 0, 1);
  settle_keeping_ (world, 0, 1);
  world_wait (world, 0, 2, 0, 0);
  g_assert_cmpint (test_work (world, 0, 3), ==, 3);
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
  struct ColtWorld *world = test_create (9);
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

static void
test_session_ends (void)
{
  struct ColtWorld *world = test_create (9);
  struct ColtCreditHolder *holder = world_holder (world, 0, 1);
  const char *team = world_team (world, 0);
  struct ColtQuotaAmount spare;

  g_assert_cmpint (test_work (world, 0, 1), ==, 1);
  world_wait (world, 0, 1, 0, 1);
  world_settle (world, ROUNDS);
  colt_credit_holder_get_spare (holder, team, &spare);
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
  struct ColtWorld *world = test_create (9);
  int i;

  g_assert_cmpint (test_work_all (world, 3), ==, 9);
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

void
test_credits_add (void)
{
  g_test_add_func ("/quota/adopt", test_adopt);
  g_test_add_func ("/quota/reports-do-not-multiply",
                   test_reports_do_not_multiply);
  g_test_add_func ("/quota/server-moves", test_server_moves);
  g_test_add_func ("/quota/credits-move", test_credits_move_with_server);
  g_test_add_func ("/quota/lost-server", test_tasks_of_lost_server_count);
  g_test_add_func ("/quota/idle-spare-moves", test_idle_spare_moves);
  g_test_add_func ("/quota/owners-take-turns", test_owners_take_turns);
  g_test_add_func ("/quota/late-grant", test_late_grant_of_old_lead);
  g_test_add_func ("/quota/late-report", test_late_report);
  g_test_add_func ("/quota/recall-under-way", test_recall_under_way);
  g_test_add_func ("/quota/session-ends", test_session_ends);
  g_test_add_func ("/quota/silence", test_silence_at_rest);
}
