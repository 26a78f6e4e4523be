#include <string.h>

#include "tests.h"

/* Servers of placed tasks, indexed by the number of the task. */
static uint32_t servers_by_number[2000];

static struct ColtBundle *
make_bundle_ (void)
{
  static const char text[]
      = "[bundle]\nversion = 1\nparent = none\noperator = "
        "1111111111111111111111111111111111111111111111111111111111111111\n"
        "[organisation all]\ntitle = All\n"
        "[team a]\norganisation = all\nweight = 3\nlimit_tasks = 100\n"
        "[team b]\norganisation = all\nweight = 1\nlimit_tasks = 100\n"
        "[work interactive]\npolicy = fastest\npriority = 7\n"
        "max_attempts = 3\n"
        "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
        "[work batch]\npolicy = balance\npriority = 1\nmax_attempts = 3\n"
        "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
        "[zone 1]\nregion = here\n";
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);

  g_assert_nonnull (bundle);
  return bundle;
}

static struct ColtFixture *
create_with_weights_ (unsigned servers)
{
  struct ColtFixture *fixture = test_create_fixture ();
  struct ColtBundle *bundle = make_bundle_ ();

  colt_placement_set_bundle (fixture->placement, bundle);
  colt_bundle_destroy (bundle);
  while (servers-- > 0)
    test_add_server (fixture, 8, 0);
  return fixture;
}

/* Counts the choices of team a, whose tasks have numbers below 1000, and of
 * team b. */
static void
count_choices_by_team_ (struct ColtFixture *fixture, unsigned counts[2])
{
  struct ColtPlacementChoice choice;
  unsigned number;

  memset (counts, 0, 2 * sizeof counts[0]);
  while (
      colt_placement_choose_next (fixture->placement, fixture->now_us, &choice))
    {
      memcpy (&number, choice.request.bytes, sizeof number);
      counts[number >= 1000]++;
      servers_by_number[number] = choice.server;
    }
}

static void
weights_divide_a_full_fleet_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  unsigned counts[2];
  unsigned total;

  test_add_tasks (fixture, 1, 100, "a", COLT_WORK_BATCH, 1, 0);
  test_add_tasks (fixture, 1000, 100, "b", COLT_WORK_BATCH, 1, 0);
  count_choices_by_team_ (fixture, counts);
  total = counts[0] + counts[1];
  g_assert_cmpuint (total, >=, 35);
  g_assert_cmpuint (counts[0], >=, total * 3 / 4 - 1);
  g_assert_cmpuint (counts[0], <=, total * 3 / 4 + 1);
  test_destroy_fixture (fixture);
}

/* The usage of a team at other instances counts for its share here. */
static void
usage_of_others_counts_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  struct ColtResources running = { { 30000, 30 * 1024, 0, 30, 0 } };
  unsigned counts[2];

  colt_placement_set_team_usage (fixture->placement, 2, "a", &running,
                                 fixture->now_us);
  test_add_tasks (fixture, 1, 100, "a", COLT_WORK_BATCH, 1, 0);
  test_add_tasks (fixture, 1000, 10, "b", COLT_WORK_BATCH, 1, 0);
  count_choices_by_team_ (fixture, counts);
  g_assert_cmpuint (counts[1], ==, 10);
  test_destroy_fixture (fixture);
}

/* A team that was idle gets freed room up to its share when it returns, without
 * compensation for the time that it was idle. */
static void
returning_team_gets_its_share_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  unsigned counts[2];
  unsigned total;
  unsigned i;

  test_add_tasks (fixture, 1, 200, "a", COLT_WORK_BATCH, 1, 0);
  count_choices_by_team_ (fixture, counts);
  total = counts[0];
  fixture->now_us += 600 * COLT_US_PER_S;
  test_add_tasks (fixture, 1000, 100, "b", COLT_WORK_BATCH, 1, 0);
  for (i = 1; i <= total; i++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, i, "a", COLT_WORK_BATCH, 1, 0);

      test_end_task (fixture, &task, servers_by_number[i], 1000);
    }
  for (i = 1; i <= 5; i++)
    test_send_digest (fixture, i);
  count_choices_by_team_ (fixture, counts);
  g_assert_cmpuint (counts[1], >=, total / 4 - 1);
  g_assert_cmpuint (counts[1], <=, total / 4 + 1);
  test_destroy_fixture (fixture);
}

static void
urgent_goes_first_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (1);
  struct ColtPlacementTask urgent
      = test_make_task (fixture, 500, "b", COLT_WORK_BATCH, 1, 0);

  urgent.urgent = true;
  test_add_tasks (fixture, 1, 5, "a", COLT_WORK_INTERACTIVE, 1, 0);
  test_add_task (fixture, &urgent);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 500);
  test_destroy_fixture (fixture);
}

/* Some servers have a reserve, in which urgent work starts when the fleet is
 * full. */
static void
urgent_starts_in_a_full_fleet_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (20);
  struct ColtPlacementTask urgent
      = test_make_task (fixture, 5000, "b", COLT_WORK_INTERACTIVE, 1, 0);
  unsigned counts[2];

  test_add_tasks (fixture, 1, 200, "a", COLT_WORK_BATCH, 1, 0);
  count_choices_by_team_ (fixture, counts);
  g_assert_cmpuint (counts[0], >=, 140);
  g_assert_true (test_is_idle (fixture));
  urgent.urgent = true;
  test_add_task (fixture, &urgent);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 5000);
  test_destroy_fixture (fixture);
}

/* A task goes before a later one of higher priority if the head start that the
 * priority gives is shorter than the time between their arrivals. */
static void
older_work_goes_first_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (1);
  struct ColtPlacementTask old
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 8, 0);
  struct ColtPlacementTask new
      = test_make_task (fixture, 2, "a", COLT_WORK_GANG, 8, 0);

  test_add_task (fixture, &old);
  fixture->now_us += 3 * COLT_US_PER_S;
  new.arrived_us = fixture->now_us;
  test_add_task (fixture, &new);
  colt_placement_remove (fixture->placement, &old.request, 0);
  new.arrived_us += 3 * COLT_US_PER_S;
  test_add_task (fixture, &new);
  test_add_task (fixture, &old);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

static void
no_credit_backs_off_the_team_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (2);
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  uint32_t server;

  test_add_task (fixture, &task);
  test_place_next (fixture, &server);
  colt_placement_report_refusal (fixture->placement, &task, server,
                                 COLT_REFUSAL_NO_CREDIT, fixture->now_us);
  test_add_task (fixture, &task);
  test_add_tasks (fixture, 1000, 1, "b", COLT_WORK_BATCH, 1, 0);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1000);
  g_assert_true (test_is_idle (fixture));
  g_assert_cmpint (colt_placement_wake_us (fixture->placement), >,
                   fixture->now_us);
  fixture->now_us = colt_placement_wake_us (fixture->placement);
  g_assert_cmpuint (test_place_next (fixture, NULL), ==, 1);
  test_destroy_fixture (fixture);
}

/* Returns how long the team of a task backs off after a refusal of the task. */
static int64_t
refuse_for_credit_ (struct ColtFixture *fixture,
                    const struct ColtPlacementTask *task)
{
  uint32_t server;

  test_add_task (fixture, task);
  test_place_next (fixture, &server);
  colt_placement_report_refusal (fixture->placement, task, server,
                                 COLT_REFUSAL_NO_CREDIT, fixture->now_us);
  test_add_task (fixture, task);
  g_assert_true (test_is_idle (fixture));
  colt_placement_remove (fixture->placement, &task->request, 0);
  return colt_placement_wake_us (fixture->placement) - fixture->now_us;
}

/* Refusals of long ago must not prolong the back-off after a single one. */
static void
back_off_starts_anew_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (2);
  struct ColtPlacementTask task
      = test_make_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  int64_t backoff_us = 0;
  unsigned i;

  for (i = 0; i < 8; i++)
    {
      backoff_us = refuse_for_credit_ (fixture, &task);
      fixture->now_us += backoff_us;
    }
  g_assert_cmpint (backoff_us, >=, COLT_US_PER_S);
  fixture->now_us += 60 * COLT_US_PER_S;
  g_assert_cmpint (refuse_for_credit_ (fixture, &task), <,
                   100 * COLT_US_PER_MS);
  test_destroy_fixture (fixture);
}

/* Usage that another instance reported must not count after that instance has
 * stopped to report, even if no other report arrives. */
static void
old_usage_of_others_is_dropped_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  struct ColtResources running = { { 30000, 30 * 1024, 0, 30, 0 } };
  unsigned counts[2];

  colt_placement_set_team_usage (fixture->placement, 2, "a", &running,
                                 fixture->now_us);
  fixture->now_us += 20 * COLT_US_PER_S;
  test_add_tasks (fixture, 1, 100, "a", COLT_WORK_BATCH, 1, 0);
  test_add_tasks (fixture, 1000, 100, "b", COLT_WORK_BATCH, 1, 0);
  count_choices_by_team_ (fixture, counts);
  g_assert_cmpuint (counts[0], >=, 28);
  g_assert_cmpuint (counts[1], <=, 12);
  test_destroy_fixture (fixture);
}

void
test_register_shares (void)
{
  g_test_add_func ("/placement/shares/others-old",
                   old_usage_of_others_is_dropped_);
  g_test_add_func ("/placement/shares/no-credit-later", back_off_starts_anew_);
  g_test_add_func ("/placement/shares/weights", weights_divide_a_full_fleet_);
  g_test_add_func ("/placement/shares/others", usage_of_others_counts_);
  g_test_add_func ("/placement/shares/idle", returning_team_gets_its_share_);
  g_test_add_func ("/placement/shares/urgent-first", urgent_goes_first_);
  g_test_add_func ("/placement/shares/urgent-full",
                   urgent_starts_in_a_full_fleet_);
  g_test_add_func ("/placement/shares/age", older_work_goes_first_);
  g_test_add_func ("/placement/shares/no-credit",
                   no_credit_backs_off_the_team_);
}
