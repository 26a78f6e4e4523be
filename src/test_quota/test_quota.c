/* Tests of limits over several zones: how many tasks start while bundles,
 * transfers, leaders and zones change. The simulation aborts if a start exceeds
 * a limit. */
#include <stdlib.h>
#include <string.h>

#include "simulation.h"
#include "test_quota.h"

static const struct ColtQuotaAmount no_limit
    = { { COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED, COLT_QUOTA_UNLIMITED } };

static void
append_task_limit_ (struct ColtQuotaSim *sim, int64_t tasks)
{
  struct ColtQuotaAmount limits[SIM_TEAMS] = { no_limit, no_limit };

  limits[0].amount[COLT_QUOTA_TASKS] = tasks;
  g_assert_true (sim_append_bundle (sim, limits, 7));
}

struct ColtQuotaSim *
create_settled_sim (int64_t tasks)
{
  struct ColtQuotaSim *sim = sim_create ();
  int zone;

  append_task_limit_ (sim, tasks);
  for (zone = 0; zone < SIM_ZONES; zone++)
    sim_elect_leader (sim, zone, 0);
  sim_settle (sim, ROUNDS);
  return sim;
}

int
start_tasks (struct ColtQuotaSim *sim, int zone, int n)
{
  int started = 0;
  int round;
  int i;

  for (round = 0; round < 4 && started < n; round++)
    {
      sim_set_waiting (sim, zone, 1, 0, n - started);
      sim_settle (sim, ROUNDS);
      for (i = 0; started < n && sim_start_task (sim, zone, 1, 1, 0, 0); i++)
        started++;
    }
  sim_set_waiting (sim, zone, 1, 0, 0);
  sim_settle (sim, ROUNDS);
  return started;
}

int
start_tasks_everywhere (struct ColtQuotaSim *sim, int n)
{
  int started = 0;
  int zone;

  for (zone = 0; zone < SIM_ZONES; zone++)
    started += start_tasks (sim, zone, n);
  return started;
}

void
end_tasks (struct ColtQuotaSim *sim, int zone, int n)
{
  int i;

  for (i = 0; i < n; i++)
    g_assert_true (sim_end_task (sim, zone, 1, 0));
  sim_settle (sim, ROUNDS);
}

static int64_t
entitled_tasks_ (struct ColtQuotaSim *sim, int zone)
{
  struct ColtQuotaAmount amount;

  colt_entitlements_get (sim_fold (sim, 0, 0), sim_team_name (sim, 0),
                         (uint32_t)zone + 1, &amount);
  return amount.amount[COLT_QUOTA_TASKS];
}

static void
test_full_use (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (10);

  g_assert_cmpint (start_tasks_everywhere (sim, 20), ==, 10);
  g_assert_cmpint (sim_count_running (sim, -1, 0), ==, 10);
  sim_destroy (sim);
}

static void
test_lower_while_full (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 9);
  append_task_limit_ (sim, 3);
  sim_settle (sim, ROUNDS);
  end_tasks (sim, 0, 1);
  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 0);
  end_tasks (sim, 0, 2);
  g_assert_cmpint (start_tasks (sim, 0, 3), ==, 1);
  end_tasks (sim, 1, 3);
  g_assert_cmpint (start_tasks (sim, 1, 3), ==, 1);
  sim_destroy (sim);
}

static void
test_raise (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (3);

  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 3);
  append_task_limit_ (sim, 9);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 6);
  sim_destroy (sim);
}

static void
test_raise_waits_for_all_zones (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (3);

  sim_set_isolated (sim, 2, true);
  append_task_limit_ (sim, 9);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 1);
  sim_set_isolated (sim, 2, false);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 2);
  sim_destroy (sim);
}

/* After a limit was lowered by mistake and raised again, every zone can use its
 * part of the new limit. */
static void
test_lower_and_raise (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 9);
  append_task_limit_ (sim, 3);
  append_task_limit_ (sim, 12);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks_everywhere (sim, 12), ==, 3);
  sim_destroy (sim);
}

static void
test_transfer_twice (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &two));
  g_assert_true (sim_append_duplicate (sim, 1));
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (entitled_tasks_ (sim, 0), ==, 1);
  g_assert_cmpint (entitled_tasks_ (sim, 1), ==, 5);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 5);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 1);
  sim_destroy (sim);
}

static void
test_transfer_while_used (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 3);
  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &two));
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 3);
  end_tasks (sim, 0, 2);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 0);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 2);
  sim_destroy (sim);
}

/* An isolated zone keeps its former entitlement. The other zones use only their
 * part of the lowered limit, so the former limit holds. */
static void
test_lower_during_isolation (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  sim_set_isolated (sim, 2, true);
  append_task_limit_ (sim, 3);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 1);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 1);
  g_assert_cmpint (start_tasks (sim, 2, 9), ==, 3);
  sim_set_isolated (sim, 2, false);
  sim_settle (sim, ROUNDS);
  end_tasks (sim, 2, 3);
  g_assert_cmpint (start_tasks (sim, 2, 9), ==, 1);
  sim_destroy (sim);
}

static void
test_transfer_during_isolation (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  sim_set_isolated (sim, 0, true);
  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &two));
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 3);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 3);
  sim_set_isolated (sim, 0, false);
  sim_settle (sim, ROUNDS);
  end_tasks (sim, 0, 2);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 2);
  sim_destroy (sim);
}

static void
test_log_down (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);

  sim_set_log_up (sim, false);
  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 9);
  end_tasks (sim, 0, 3);
  sim_remove_leader (sim, 0, 1);
  sim_elect_leader (sim, 0, 2);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 3);
  sim_destroy (sim);
}

/* The owners have promised an offset to the former leader that the new leader
 * has not read yet. */
static void
test_takeover_before_complying (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  struct ColtCreditLeaderInfo info;
  int i;

  append_task_limit_ (sim, 3);
  g_assert_true (sim_read_record (sim, 0, 0));
  for (i = 0; i < 4; i++)
    {
      sim_advance_clock (sim, COLT_CREDIT_RETRY_US);
      sim_process_leader (sim, 0, 1);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
      sim_process_holder (sim, 0, 0);
      sim_process_holder (sim, 0, 1);
      sim_process_holder (sim, 0, 2);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
    }
  sim_remove_leader (sim, 0, 1);
  sim_elect_leader (sim, 0, 2);
  for (i = 0; i < 4; i++)
    {
      sim_advance_clock (sim, COLT_CREDIT_RETRY_US);
      sim_process_leader (sim, 0, 1);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
      sim_process_holder (sim, 0, 0);
      sim_process_holder (sim, 0, 1);
      sim_process_holder (sim, 0, 2);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
    }
  colt_credit_leader_get_info (sim_leader (sim, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEADER_BEHIND);
  sim_settle (sim, ROUNDS);
  colt_credit_leader_get_info (sim_leader (sim, 0, 1), &info);
  g_assert_cmpint (info.state, ==, COLT_CREDIT_LEADER_ACTIVE);
  g_assert_cmpint (start_tasks (sim, 0, 9), ==, 1);
  sim_destroy (sim);
}

/* An instance that copied the state of a peer while the log was unavailable
 * must compute the same parts from later records as all others. */
static void
test_copied_fold_agrees (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  const struct ColtQuotaAmount two = { { 2, 0, 0 } };

  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &two));
  sim_settle (sim, ROUNDS);
  sim_set_log_up (sim, false);
  sim_kill_instance (sim, 0, 1);
  sim_start_instance (sim, 0, 1);
  sim_check_folds (sim);
  sim_set_log_up (sim, true);
  g_assert_true (sim_append_transfer (sim, 0, 2, 3, &two));
  sim_settle (sim, ROUNDS);
  sim_check_folds (sim);
  append_task_limit_ (sim, 30);
  g_assert_true (sim_append_transfer (sim, 0, 3, 1, &two));
  sim_settle (sim, ROUNDS);
  g_assert_cmpuint (colt_entitlements_position (sim_fold (sim, 0, 1)), ==,
                    sim_record_count (sim));
  sim_check_folds (sim);
  sim_destroy (sim);
}

static void
test_zone_replaced (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (9);
  int i;

  g_assert_cmpint (start_tasks (sim, 0, 2), ==, 2);
  for (i = 0; i < SIM_INSTANCES; i++)
    sim_kill_instance (sim, 0, i);
  for (i = 0; i < SIM_INSTANCES; i++)
    sim_start_instance (sim, 0, i);
  for (i = 0; i < SIM_SERVERS; i++)
    sim_take_over_server (sim, 0, i, i);
  sim_elect_leader (sim, 0, 0);
  sim_settle (sim, ROUNDS);
  g_assert_cmpint (start_tasks_everywhere (sim, 9), ==, 7);
  g_assert_cmpint (sim_count_running (sim, -1, 0), ==, 9);
  sim_destroy (sim);
}

/* Lets the leader and the owners of one zone exchange messages. */
static void
exchange_messages_ (struct ColtQuotaSim *sim, int zone)
{
  int round;
  int i;

  for (round = 0; round < ROUNDS; round++)
    {
      sim_advance_clock (sim, COLT_CREDIT_RETRY_US);
      for (i = 0; i < SIM_INSTANCES; i++)
        sim_process_holder (sim, zone, i);
      sim_process_leader (sim, zone, 1);
      while (sim_message_count (sim) > 0)
        sim_deliver_message (sim, 0, false);
    }
}

static void
read_whole_log_ (struct ColtQuotaSim *sim)
{
  int zone;
  int i;

  for (zone = 0; zone < SIM_ZONES; zone++)
    for (i = 0; i < SIM_INSTANCES; i++)
      while (sim_read_record (sim, zone, i))
        continue;
}

/* A new leader states compliance with the team as an exception, and has no
 * record that the former leader stated compliance for the team. */
static void
test_exception_of_new_leader (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (12);
  const struct ColtQuotaAmount three = { { 3, 0, 0 } };
  const struct ColtQuotaAmount six = { { 6, 0, 0 } };
  int zone;
  int i;

  g_assert_true (sim_append_transfer (sim, 0, 2, 1, &three));
  read_whole_log_ (sim);
  for (zone = 0; zone < SIM_ZONES; zone++)
    exchange_messages_ (sim, zone);
  sim_gossip_compliance (sim, 1, 0, 0, 0);
  sim_gossip_compliance (sim, 2, 0, 0, 0);
  sim_set_waiting (sim, 0, 1, 0, 7);
  exchange_messages_ (sim, 0);
  for (i = 0; i < 7; i++)
    g_assert_true (sim_start_task (sim, 0, 1, 1, 0, 0));
  sim_kill_instance (sim, 0, 0);
  sim_take_over_server (sim, 0, 0, 2);
  sim_elect_leader (sim, 0, 1);
  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &six));
  read_whole_log_ (sim);
  for (zone = 0; zone < SIM_ZONES; zone++)
    exchange_messages_ (sim, zone);
  sim_gossip_compliance (sim, 0, 1, 1, 0);
  sim_gossip_compliance (sim, 2, 0, 1, 0);
  sim_set_waiting (sim, 1, 1, 0, 9);
  exchange_messages_ (sim, 1);
  g_assert_true (sim_start_task (sim, 1, 1, 1, 0, 0));
  g_assert_false (sim_start_task (sim, 1, 1, 1, 0, 0));
  sim_destroy (sim);
}

/* A zone that reads two offsets in one step may run more than its entitlement
 * at the first, so zones that have read only the first can't use their raise
 * there. */
static void
test_skipped_offset (void)
{
  struct ColtQuotaSim *sim = create_settled_sim (12);
  const struct ColtQuotaAmount three = { { 3, 0, 0 } };
  int zone;
  int i;

  g_assert_cmpint (start_tasks (sim, 0, 4), ==, 4);
  g_assert_true (sim_append_transfer (sim, 0, 1, 2, &three));
  g_assert_true (sim_append_transfer (sim, 0, 2, 1, &three));
  for (zone = 0; zone < SIM_ZONES; zone++)
    for (i = 0; i < SIM_INSTANCES; i++)
      {
        g_assert_true (sim_read_record (sim, zone, i));
        if (zone == 0)
          g_assert_true (sim_read_record (sim, zone, i));
      }
  sim_set_log_up (sim, false);
  g_assert_cmpint (start_tasks (sim, 1, 9), ==, 4);
  g_assert_cmpint (start_tasks (sim, 2, 9), ==, 4);
  sim_set_log_up (sim, true);
  sim_settle (sim, ROUNDS);
  end_tasks (sim, 0, 1);
  g_assert_cmpint (start_tasks (sim, 0, 4), ==, 1);
  sim_destroy (sim);
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
  g_test_add_func ("/quota/copied-fold", test_copied_fold_agrees);
  g_test_add_func ("/quota/transfer-twice", test_transfer_twice);
  g_test_add_func ("/quota/transfer-while-used", test_transfer_while_used);
  g_test_add_func ("/quota/lower-during-cut", test_lower_during_isolation);
  g_test_add_func ("/quota/transfer-during-cut",
                   test_transfer_during_isolation);
  g_test_add_func ("/quota/log-down", test_log_down);
  g_test_add_func ("/quota/takeover-behind", test_takeover_before_complying);
  g_test_add_func ("/quota/zone-replaced", test_zone_replaced);
  g_test_add_func ("/quota/skipped-offset", test_skipped_offset);
  g_test_add_func ("/quota/exception-of-new-lead",
                   test_exception_of_new_leader);
  colt_add_credit_tests ();
  colt_add_fold_tests ();
  colt_add_transfer_tests ();
  return g_test_run ();
}
