/* Tests of the plans for gangs. Demands are in accelerators. */
#include <glib.h>

#include "coltsfootstile/backfill.h"
#include "coltsfootstile/clock.h"

#define MS COLT_US_PER_MS
#define NOW_US (100 * COLT_US_PER_S)
#define SERVERS_MAX 4
#define ENDS_MAX 8

/* Servers of 8 accelerators and a gang. */
struct world
{
  struct ColtBackfillServer servers[SERVERS_MAX];
  struct ColtBackfillEnd ends[SERVERS_MAX][ENDS_MAX];
  struct ColtBackfillGang gang;
  int64_t start_us;
};

static struct ColtResources
accelerators (int64_t count)
{
  struct ColtResources resources = { { 0 } };

  resources.amount[COLT_RESOURCE_ACCELERATORS] = count;
  return resources;
}

static void
make_world (struct world *world, uint32_t tasks, int64_t demand)
{
  size_t i;

  *world = (struct world){ 0 };
  for (i = 0; i < SERVERS_MAX; i++)
    {
      world->servers[i].room = accelerators (8);
      world->servers[i].ends = world->ends[i];
      world->servers[i].ready_us = NOW_US;
      world->servers[i].tasks_max = tasks;
    }
  world->gang.count = tasks;
  world->gang.demand = accelerators (demand);
  world->gang.now_us = NOW_US;
  world->gang.latest_us = NOW_US + 10 * COLT_US_PER_S;
}

/* Lets a run use a server until some milliseconds from now. */
static void
use (struct world *world, size_t server, int64_t count, int64_t until_ms)
{
  struct ColtBackfillServer *entry = &world->servers[server];

  world->ends[server][entry->end_count++]
      = (struct ColtBackfillEnd){ NOW_US + until_ms * MS,
                                  accelerators (count) };
  entry->used.amount[COLT_RESOURCE_ACCELERATORS] += count;
}

static bool
plan (struct world *world)
{
  return colt_backfill_plan (&world->gang, world->servers, SERVERS_MAX,
                             &world->start_us);
}

/* Guards against a gang that waits for servers which single tasks hold longer
 * than others. */
static void
test_earliest_servers (void)
{
  struct world world;
  size_t i;

  make_world (&world, 2, 8);
  for (i = 0; i < SERVERS_MAX; i++)
    {
      use (&world, i, 4, 4000 - 1000 * (int64_t)i);
      use (&world, i, 4, 500);
    }
  g_assert_true (plan (&world));
  g_assert_cmpint (world.start_us, ==, NOW_US + 2000 * MS);
  g_assert_cmpuint (world.servers[3].tasks, ==, 1);
  g_assert_cmpuint (world.servers[2].tasks, ==, 1);
  g_assert_cmpuint (world.servers[0].tasks + world.servers[1].tasks, ==, 0);
}

/* Guards against a server that is reserved whole though a part suffices, and
 * against more tasks on one server than allowed. */
static void
test_parts_of_servers (void)
{
  struct world world;
  size_t i;

  make_world (&world, 3, 3);
  for (i = 0; i < SERVERS_MAX; i++)
    use (&world, i, 1, 9000);
  g_assert_true (plan (&world));
  g_assert_cmpint (world.start_us, ==, NOW_US);
  g_assert_cmpuint (world.servers[0].tasks, ==, 2);
  g_assert_cmpuint (world.servers[1].tasks, ==, 1);
  g_assert_cmpint (world.servers[1].spare.amount[COLT_RESOURCE_ACCELERATORS],
                   ==, 4);
  for (i = 0; i < SERVERS_MAX; i++)
    world.servers[i].tasks_max = 1;
  g_assert_true (plan (&world));
  g_assert_cmpuint (world.servers[0].tasks, ==, 1);
  g_assert_cmpuint (world.servers[2].tasks, ==, 1);
}

/* Guards against a gang that can never fit, or not in time, and yet gets
 * servers that other work could use. */
static void
test_no_plan (void)
{
  struct world world;
  size_t i;

  make_world (&world, SERVERS_MAX + 1, 8);
  g_assert_false (plan (&world));
  make_world (&world, 1, 9);
  g_assert_false (plan (&world));
  make_world (&world, 2, 8);
  for (i = 0; i < 3; i++)
    use (&world, i, 1, 10001);
  g_assert_false (plan (&world));
  for (i = 0; i < SERVERS_MAX; i++)
    g_assert_cmpuint (world.servers[i].tasks, ==, 0);
  world.ends[0][0].at_us = COLT_BACKFILL_NEVER;
  world.gang.latest_us = COLT_BACKFILL_NEVER - 1;
  g_assert_true (plan (&world));
  g_assert_cmpuint (world.servers[0].tasks, ==, 0);
}

/* Guards against plans that change servers without need, and against those with
 * servers that can't start a task yet. */
static void
test_preference (void)
{
  struct world world;

  make_world (&world, 2, 8);
  world.servers[0].ready_us = NOW_US + 600 * MS;
  world.servers[3].preferred = true;
  g_assert_true (plan (&world));
  g_assert_cmpuint (world.servers[3].tasks, ==, 1);
  g_assert_cmpuint (world.servers[1].tasks, ==, 1);
  g_assert_cmpint (world.start_us, ==, NOW_US);
}

/* Guards against reserved servers that are left idle though short tasks could
 * use them, and against long tasks that delay the gang. */
static void
test_use_of_reserved (void)
{
  struct ColtBackfillHold hold = { NOW_US + 1000 * MS, accelerators (2) };
  const struct ColtResources two = accelerators (2);
  const struct ColtResources three = accelerators (3);
  int64_t later_us = hold.at_us + 1;

  g_assert_true (colt_backfill_may_use (&hold, &three, hold.at_us));
  g_assert_false (colt_backfill_may_use (&hold, &three, later_us));
  g_assert_true (colt_backfill_may_use (&hold, &two, later_us));
  colt_backfill_use (&hold, &two, hold.at_us);
  g_assert_true (colt_backfill_may_use (&hold, &two, later_us));
  colt_backfill_use (&hold, &two, later_us);
  g_assert_false (colt_backfill_may_use (&hold, &two, later_us));
  g_assert_cmpint (colt_backfill_expect_use (800 * MS, NOW_US), <=, hold.at_us);
  g_assert_cmpint (colt_backfill_expect_use (801 * MS, NOW_US), >, hold.at_us);
  g_assert_false (colt_backfill_may_use (&hold, &two,
                                         colt_backfill_expect_use (0, NOW_US)));
}

/* Guards against a run that exceeds its estimate and is expected to end at once
 * for ever, and against estimates that ignore reported progress. */
static void
test_expected_ends (void)
{
  int64_t started_us = NOW_US - 1000 * MS;

  g_assert_cmpint (
      colt_backfill_expect_end (started_us, 3000 * MS, 0, 0, NOW_US), ==,
      NOW_US + 2000 * MS);
  g_assert_cmpint (
      colt_backfill_expect_end (started_us, 3000 * MS, 50, NOW_US, NOW_US), ==,
      NOW_US + 1000 * MS);
  g_assert_cmpint (
      colt_backfill_expect_end (started_us, 3000 * MS, 2, NOW_US, NOW_US), ==,
      NOW_US + 2000 * MS);
  g_assert_cmpint (
      colt_backfill_expect_end (started_us, 990 * MS, 0, 0, NOW_US), ==,
      NOW_US + 100 * MS);
  g_assert_cmpint (
      colt_backfill_expect_end (started_us, 200 * MS, 0, 0, NOW_US), ==,
      NOW_US + 800 * MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backfill/earliest-servers", test_earliest_servers);
  g_test_add_func ("/backfill/parts-of-servers", test_parts_of_servers);
  g_test_add_func ("/backfill/no-plan", test_no_plan);
  g_test_add_func ("/backfill/preference", test_preference);
  g_test_add_func ("/backfill/use-of-reserved", test_use_of_reserved);
  g_test_add_func ("/backfill/expected-ends", test_expected_ends);
  return g_test_run ();
}
