#include <string.h>

#include "tests.h"

/* Where the tasks went, by number. */
static uint32_t places[2000];

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
  struct ColtFixture *fixture = test_create ();
  struct ColtBundle *bundle = make_bundle_ ();

  colt_placement_set_bundle (fixture->placement, bundle);
  colt_bundle_destroy (bundle);
  while (servers-- > 0)
    test_add_server (fixture, 8, 0);
  return fixture;
}

static void
count_choices_ (struct ColtFixture *fixture, unsigned counts[2])
{
  struct ColtPlacementChoice choice;
  unsigned number;

  memset (counts, 0, 2 * sizeof counts[0]);
  while (colt_placement_next (fixture->placement, fixture->now_us, &choice))
    {
      memcpy (&number, choice.request.bytes, sizeof number);
      counts[number >= 1000]++;
      places[number] = choice.server;
    }
}

static void
weights_divide_a_full_fleet_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  unsigned counts[2];
  unsigned total;

  test_add_many (fixture, 1, 100, "a", COLT_WORK_BATCH, 1, 0);
  test_add_many (fixture, 1000, 100, "b", COLT_WORK_BATCH, 1, 0);
  count_choices_ (fixture, counts);
  total = counts[0] + counts[1];
  g_assert_cmpuint (total, >=, 35);
  g_assert_cmpuint (counts[0], >=, total * 3 / 4 - 1);
  g_assert_cmpuint (counts[0], <=, total * 3 / 4 + 1);
  test_destroy (fixture);
}

/* What other instances run of a team counts for its share here. */
static void
usage_of_others_counts_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  struct ColtResources running = { { 30000, 30 * 1024, 0, 30, 0 } };
  unsigned counts[2];

  colt_placement_set_team_usage (fixture->placement, 2, "a", &running,
                                 fixture->now_us);
  test_add_many (fixture, 1, 100, "a", COLT_WORK_BATCH, 1, 0);
  test_add_many (fixture, 1000, 10, "b", COLT_WORK_BATCH, 1, 0);
  count_choices_ (fixture, counts);
  g_assert_cmpuint (counts[1], ==, 10);
  test_destroy (fixture);
}

/* A team that comes back gets what frees up until it has its share, and not
 * what it did not use before. */
static void
idle_team_returns_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (5);
  unsigned counts[2];
  unsigned total;
  unsigned i;

  test_add_many (fixture, 1, 200, "a", COLT_WORK_BATCH, 1, 0);
  count_choices_ (fixture, counts);
  total = counts[0];
  fixture->now_us += 600 * COLT_US_PER_S;
  test_add_many (fixture, 1000, 100, "b", COLT_WORK_BATCH, 1, 0);
  for (i = 1; i <= total; i++)
    {
      struct ColtPlacementTask task
          = test_task (fixture, i, "a", COLT_WORK_BATCH, 1, 0);

      test_end (fixture, &task, places[i], 1000);
    }
  for (i = 1; i <= 5; i++)
    test_tell (fixture, i);
  count_choices_ (fixture, counts);
  g_assert_cmpuint (counts[1], >=, total / 4 - 1);
  g_assert_cmpuint (counts[1], <=, total / 4 + 1);
  test_destroy (fixture);
}

static void
urgent_goes_first_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (1);
  struct ColtPlacementTask urgent
      = test_task (fixture, 500, "b", COLT_WORK_BATCH, 1, 0);

  urgent.urgent = true;
  test_add_many (fixture, 1, 5, "a", COLT_WORK_INTERACTIVE, 1, 0);
  test_add (fixture, &urgent);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 500);
  test_destroy (fixture);
}

/* Some servers keep a place that only urgent work may take. */
static void
urgent_starts_in_a_full_fleet_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (20);
  struct ColtPlacementTask urgent
      = test_task (fixture, 5000, "b", COLT_WORK_INTERACTIVE, 1, 0);
  unsigned counts[2];

  test_add_many (fixture, 1, 200, "a", COLT_WORK_BATCH, 1, 0);
  count_choices_ (fixture, counts);
  g_assert_cmpuint (counts[0], >=, 140);
  g_assert_true (test_idle (fixture));
  urgent.urgent = true;
  test_add (fixture, &urgent);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 5000);
  test_destroy (fixture);
}

/* An old task of low priority goes before a new one of high priority. */
static void
age_counts_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (1);
  struct ColtPlacementTask old
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 8, 0);
  struct ColtPlacementTask new
      = test_task (fixture, 2, "a", COLT_WORK_GANG, 8, 0);

  test_add (fixture, &old);
  fixture->now_us += 3 * COLT_US_PER_S;
  new.arrived_us = fixture->now_us;
  test_add (fixture, &new);
  colt_placement_remove (fixture->placement, &old.request, 0);
  new.arrived_us += 3 * COLT_US_PER_S;
  test_add (fixture, &new);
  test_add (fixture, &old);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

static void
no_credit_parks_the_team_ (void)
{
  struct ColtFixture *fixture = create_with_weights_ (2);
  struct ColtPlacementTask task
      = test_task (fixture, 1, "a", COLT_WORK_BATCH, 1, 0);
  uint32_t server;

  test_add (fixture, &task);
  test_choose (fixture, &server);
  colt_placement_refused (fixture->placement, &task, server,
                          COLT_REFUSAL_NO_CREDIT, fixture->now_us);
  test_add (fixture, &task);
  test_add_many (fixture, 1000, 1, "b", COLT_WORK_BATCH, 1, 0);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1000);
  g_assert_true (test_idle (fixture));
  g_assert_cmpint (colt_placement_wake_us (fixture->placement), >,
                   fixture->now_us);
  fixture->now_us = colt_placement_wake_us (fixture->placement);
  g_assert_cmpuint (test_choose (fixture, NULL), ==, 1);
  test_destroy (fixture);
}

void
test_shares_add (void)
{
  g_test_add_func ("/placement/shares/weights", weights_divide_a_full_fleet_);
  g_test_add_func ("/placement/shares/others", usage_of_others_counts_);
  g_test_add_func ("/placement/shares/idle", idle_team_returns_);
  g_test_add_func ("/placement/shares/urgent-first", urgent_goes_first_);
  g_test_add_func ("/placement/shares/urgent-full",
                   urgent_starts_in_a_full_fleet_);
  g_test_add_func ("/placement/shares/age", age_counts_);
  g_test_add_func ("/placement/shares/no-credit", no_credit_parks_the_team_);
}
