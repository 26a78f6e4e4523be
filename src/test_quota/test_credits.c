/* Tests of the credits in a zone while owners, leaders and servers change. */
#include <stdlib.h>

#include "simulation.h"
#include "test_quota.h"

/* Another owner takes over a killed owner's server with the tasks there. */
static void
test_adopt (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  struct ColtQuotaAmount counted;

  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 3);
  sim_kill_instance (sim, 0, 1);
  sim_take_over_server (sim, 0, 1, 2);
  sim_settle (sim, ROUNDS);
  colt_credit_leader_get_counted (sim_leader (sim, 0, 1),
                                  sim_team_name (sim, 0), &counted);
  g_assert_cmpint (counted.amount[COLT_QUOTA_TASKS], ==, 3);
  sim_set_waiting (sim, 0, 2, 0, 3);
  sim_settle (sim, ROUNDS);
  g_assert_false (sim_start_task (sim, 0, 2, 1, 0, 0));
  end_tasks (sim, 0, 2);
  sim_set_waiting (sim, 0, 2, 0, 3);
  sim_settle (sim, ROUNDS);
  g_assert_true (sim_start_task (sim, 0, 2, 1, 0, 0));
  g_assert_true (sim_start_task (sim, 0, 2, 1, 0, 0));
  g_assert_false (sim_start_task (sim, 0, 2, 1, 0, 0));
  sim_destroy (sim);
}

static void
count_report_ (void *context, const struct ColtCreditReport *report)
{
  int *count = context;

  g_assert_cmpuint (report->sequence, >, 0);
  (*count)++;
}

/* An owner repeats an unacknowledged report of a promise only after
 * COLT_CREDIT_RETRY_US, however many grants it receives until then. */
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

/* A server moves between two live owners. Its tasks count at the former owner
 * until the leader counts them at the new owner, and from then on only there.
 */
static void
test_server_moves (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  struct ColtQuotaAmount amount;

  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 3);
  sim_take_over_server (sim, 0, 1, 2);
  sim_mark_lost_servers (sim, 0, 1);
  colt_credit_holder_get_running (sim_holder (sim, 0, 1),
                                  sim_team_name (sim, 0), &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 3);
  sim_settle (sim, ROUNDS);
  colt_credit_holder_get_running (sim_holder (sim, 0, 1),
                                  sim_team_name (sim, 0), &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 0);
  colt_credit_leader_get_counted (sim_leader (sim, 0, 1),
                                  sim_team_name (sim, 0), &amount);
  g_assert_cmpint (amount.amount[COLT_QUOTA_TASKS], ==, 3);
  sim_destroy (sim);
}

/* Runs one task at a time, each on the next owner of zone 0. */
static void
run_in_turn_ (struct ColtQuotaSim *sim, int rounds)
{
  int round;

  for (round = 0; round < rounds; round++)
    {
      int instance = round % SIM_INSTANCES;

      sim_set_waiting (sim, 0, instance, 0, 1);
      sim_settle (sim, ROUNDS);
      g_assert_true (sim_start_task (sim, 0, instance, instance, 0, 0));
      sim_set_waiting (sim, 0, instance, 0, 0);
      g_assert_true (sim_end_task (sim, 0, instance, 0));
      sim_settle (sim, ROUNDS);
    }
}

/* The credits of running tasks move with their server: the former owner can't
 * use them again. */
static void
test_credits_move_with_server (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 3);
  sim_take_over_server (sim, 0, 1, 2);
  sim_mark_lost_servers (sim, 0, 1);
  sim_remove_leader (sim, 0, 1);
  sim_take_over_server (sim, 0, 0, 1);
  g_assert_false (sim_start_task (sim, 0, 1, 0, 0, 0));
  sim_elect_leader (sim, 0, 0);
  sim_settle (sim, ROUNDS);
  end_tasks (sim, 0, 1);
  sim_set_waiting (sim, 0, 1, 0, 2);
  sim_settle (sim, ROUNDS);
  g_assert_true (sim_start_task (sim, 0, 1, 0, 0, 0));
  g_assert_false (sim_start_task (sim, 0, 1, 0, 0, 0));
  sim_destroy (sim);
}

/* The leader counts the tasks of a moved server as reported by the former owner
 * until the new owner reports them. */
static void
test_tasks_of_lost_server_count (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 3);
  sim_set_paused (sim, 0, 2, true);
  sim_take_over_server (sim, 0, 1, 2);
  sim_settle (sim, ROUNDS);
  sim_set_waiting (sim, 0, 0, 0, 3);
  sim_settle (sim, ROUNDS);
  g_assert_false (sim_start_task (sim, 0, 0, 0, 0, 0));
  sim_set_paused (sim, 0, 2, false);
  sim_settle (sim, ROUNDS);
  g_assert_false (sim_start_task (sim, 0, 0, 0, 0, 0));
  end_tasks (sim, 0, 3);
  g_assert_true (sim_start_task (sim, 0, 0, 0, 0, 0));
  sim_destroy (sim);
}

/* Idle spare credits move to the owner that has waiting tasks. */
static void
test_idle_spare_moves (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (3);

  run_in_turn_ (sim, 6);
  sim_destroy (sim);
}

/* An owner that always has waiting tasks does not starve the other owners. */
static void
test_owners_take_turns (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (3);
  int served[SIM_INSTANCES] = { 0 };
  int round;
  int instance;

  for (round = 0; round < 100; round++)
    {
      for (instance = 0; instance < SIM_INSTANCES; instance++)
        {
          sim_set_waiting (sim, 0, instance, 0, 2);
          if (sim_start_task (sim, 0, instance, instance, 0, 0))
            served[instance]++;
        }
      sim_settle (sim, 2);
      for (instance = 0; instance < SIM_INSTANCES; instance++)
        sim_end_task (sim, 0, instance, 0);
    }
  for (instance = 0; instance < SIM_INSTANCES; instance++)
    g_assert_cmpint (served[instance], >=, 5);
  sim_destroy (sim);
}

/* Lets the leader and the owners of a zone exchange messages, and delays a copy
 * of each message. */
static void
exchange_and_copy_ (struct ColtQuotaSim *sim, int zone, int leader)
{
  int round;
  int i;
  size_t at;

  for (round = 0; round < 6; round++)
    {
      sim_advance_clock (sim, COLT_CREDIT_RETRY_US);
      for (i = 0; i < SIM_INSTANCES; i++)
        sim_process_holder (sim, zone, i);
      sim_process_leader (sim, zone, leader);
      for (at = 0; at < sim_message_count (sim); at++)
        sim_delay_copy (sim, at);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
    }
}

/* Grants of a former leader arrive after a new leader has granted their credits
 * to another owner. */
static void
test_late_grant_of_former_leader (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (3);

  run_in_turn_ (sim, 9);
  sim_set_waiting (sim, 0, 1, 0, 1);
  exchange_and_copy_ (sim, 0, 1);
  sim_set_waiting (sim, 0, 1, 0, 0);
  sim_elect_leader (sim, 0, 2);
  sim_remove_leader (sim, 0, 1);
  sim_set_waiting (sim, 0, 2, 0, 1);
  sim_settle (sim, ROUNDS);
  g_assert_true (sim_start_task (sim, 0, 2, 2, 0, 0));
  sim_deliver_delayed (sim);
  g_assert_false (sim_start_task (sim, 0, 1, 1, 0, 0));
  sim_destroy (sim);
}

/* Reports that were sent before a takeover of a server arrive after it. */
static void
test_late_report (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  int round;

  run_in_turn_ (sim, 3);
  sim_set_waiting (sim, 0, 2, 0, 1);
  exchange_and_copy_ (sim, 0, 1);
  sim_set_waiting (sim, 0, 2, 0, 0);
  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 3);
  sim_take_over_server (sim, 0, 1, 2);
  sim_settle (sim, ROUNDS);
  sim_deliver_delayed (sim);
  sim_set_waiting (sim, 0, 0, 0, 3);
  for (round = 0; round < ROUNDS; round++)
    {
      sim_settle (sim, 1);
      g_assert_false (sim_start_task (sim, 0, 0, 0, 0, 0));
    }
  sim_destroy (sim);
}

/* While a grant that lowers an owner's ceiling is in flight, the recalled
 * credits can't go to another owner. */
static void
test_recall_in_flight (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  int i;

  sim_set_waiting (sim, 0, 1, 0, 3);
  sim_settle (sim, ROUNDS);
  sim_set_waiting (sim, 0, 1, 0, 0);
  sim_settle (sim, ROUNDS);
  sim_set_paused (sim, 0, 1, true);
  sim_set_waiting (sim, 0, 2, 0, 3);
  sim_settle (sim, ROUNDS);
  g_assert_cmpuint (sim_message_count (sim), >, 0);
  sim_set_waiting (sim, 0, 1, 0, 3);
  sim_process_holder (sim, 0, 1);
  sim_settle (sim, ROUNDS);
  for (i = 0; i < 3; i++)
    g_assert_true (sim_start_task (sim, 0, 1, 1, 0, 0));
  g_assert_false (sim_start_task (sim, 0, 2, 2, 0, 0));
  sim_set_paused (sim, 0, 1, false);
  sim_settle (sim, ROUNDS);
  g_assert_false (sim_start_task (sim, 0, 2, 2, 0, 0));
  sim_destroy (sim);
}

static void
test_session_ends (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  struct ColtCreditHolder *holder = sim_holder (sim, 0, 1);
  const char *team = sim_team_name (sim, 0);
  struct ColtQuotaAmount spare;

  g_assert_cmpint (start_tasks (sim, 0, 1), ==, 1);
  sim_set_waiting (sim, 0, 1, 0, 1);
  sim_settle (sim, ROUNDS);
  colt_credit_holder_get_spare (holder, team, &spare);
  g_assert_cmpint (spare.amount[COLT_QUOTA_TASKS], >, 0);
  colt_credit_holder_end_session (holder, colt_team_shard (team));
  g_assert_false (sim_start_task (sim, 0, 1, 1, 0, 0));
  sim_settle (sim, ROUNDS);
  g_assert_false (sim_start_task (sim, 0, 1, 1, 0, 0));
  sim_remove_leader (sim, 0, 1);
  sim_elect_leader (sim, 0, 0);
  sim_settle (sim, ROUNDS);
  g_assert_true (sim_start_task (sim, 0, 1, 1, 0, 0));
  sim_destroy (sim);
}

/* Leaders and owners send no messages while nothing changes. */
static void
test_no_messages_at_rest (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  int i;

  g_assert_cmpint (start_tasks_everywhere (sim, 3), ==, 9);
  sim_settle (sim, 60);
  for (i = 0; i < 20; i++)
    {
      int zone;
      int instance;

      sim_advance_clock (sim, 1000000);
      for (zone = 0; zone < SIM_ZONES; zone++)
        {
          sim_process_leader (sim, zone, 1);
          for (instance = 0; instance < SIM_INSTANCES; instance++)
            sim_process_holder (sim, zone, instance);
        }
    }
  g_assert_cmpint (sim_message_count (sim), ==, 0);
  sim_destroy (sim);
}

void
colt_add_credit_tests (void)
{
  g_test_add_func ("/quota/adopt", test_adopt);
  g_test_add_func ("/quota/reports-do-not-multiply",
                   test_reports_do_not_multiply);
  g_test_add_func ("/quota/server-moves", test_server_moves);
  g_test_add_func ("/quota/credits-move", test_credits_move_with_server);
  g_test_add_func ("/quota/lost-server", test_tasks_of_lost_server_count);
  g_test_add_func ("/quota/idle-spare-moves", test_idle_spare_moves);
  g_test_add_func ("/quota/owners-take-turns", test_owners_take_turns);
  g_test_add_func ("/quota/late-grant", test_late_grant_of_former_leader);
  g_test_add_func ("/quota/late-report", test_late_report);
  g_test_add_func ("/quota/recall-under-way", test_recall_in_flight);
  g_test_add_func ("/quota/session-ends", test_session_ends);
  g_test_add_func ("/quota/no-messages-at-rest", test_no_messages_at_rest);
}
