#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/membership.h"

enum
{
  NODES = 8,
  ZONES = 3
};

/* A fleet whose probes are answered at once unless a link is cut. */
struct ColtFleet
{
  struct ColtMembership *nodes[NODES + 1];
  bool dead[NODES + 1];
  bool cut[ZONES + 1][ZONES + 1];
  int64_t now_us;
  uint32_t pending[4096][2];
  size_t pending_count;
};

struct ColtFleetNode
{
  struct ColtFleet *fleet;
  uint32_t instance;
};

static struct ColtFleetNode handles[NODES + 1];

static uint32_t
zone_of (uint32_t instance)
{
  return (instance - 1) % ZONES + 1;
}

static void
probe (void *client, uint32_t instance)
{
  struct ColtFleetNode *node = client;
  struct ColtFleet *fleet = node->fleet;

  g_assert_cmpuint (fleet->pending_count, <, G_N_ELEMENTS (fleet->pending));
  fleet->pending[fleet->pending_count][0] = node->instance;
  fleet->pending[fleet->pending_count][1] = instance;
  fleet->pending_count++;
}

static void
changed (void *client, const struct ColtMember *member)
{
  (void)client;
  g_assert_cmpuint (member->instance, >, 0);
}

static const struct ColtMembershipCalls calls = { probe, changed };

static struct ColtFleet *
create_fleet (void)
{
  struct ColtFleet *fleet = g_new0 (struct ColtFleet, 1);
  uint32_t i;
  uint32_t j;

  fleet->now_us = COLT_US_PER_S;
  for (i = 1; i <= NODES; i++)
    {
      struct ColtMember self
          = { i, zone_of (i), 1, COLT_MEMBER_ALIVE, "127.0.0.1:1" };

      handles[i].fleet = fleet;
      handles[i].instance = i;
      fleet->nodes[i] = colt_membership_create (&self);
      colt_membership_set_client (fleet->nodes[i], &calls, &handles[i]);
      for (j = 1; j <= 3; j++)
        colt_membership_add (fleet->nodes[i], j, zone_of (j), "127.0.0.1:1",
                             fleet->now_us);
    }
  return fleet;
}

static void
destroy_fleet (struct ColtFleet *fleet)
{
  uint32_t i;

  for (i = 1; i <= NODES; i++)
    colt_membership_destroy (fleet->nodes[i]);
  g_free (fleet);
}

static void
exchange (struct ColtFleet *fleet, uint32_t from, uint32_t to)
{
  struct ColtMember digest[COLT_DIGEST_MAX];
  size_t count;

  if (fleet->dead[to] || fleet->cut[zone_of (from)][zone_of (to)])
    {
      colt_membership_probe_failed (fleet->nodes[from], to, fleet->now_us);
      return;
    }
  count = colt_membership_digest (fleet->nodes[from], digest);
  colt_membership_merge (fleet->nodes[to], digest, count, fleet->now_us);
  count = colt_membership_digest (fleet->nodes[to], digest);
  colt_membership_merge (fleet->nodes[from], digest, count, fleet->now_us);
  colt_membership_probe_answered (fleet->nodes[from], to, fleet->now_us);
}

static void
run (struct ColtFleet *fleet, int64_t duration_us)
{
  int64_t end_us = fleet->now_us + duration_us;
  uint32_t i;
  size_t p;

  while (fleet->now_us < end_us)
    {
      for (i = 1; i <= NODES; i++)
        if (!fleet->dead[i])
          colt_membership_step (fleet->nodes[i], fleet->now_us);
      for (p = 0; p < fleet->pending_count; p++)
        exchange (fleet, fleet->pending[p][0], fleet->pending[p][1]);
      fleet->pending_count = 0;
      fleet->now_us += 50 * COLT_US_PER_MS;
    }
}

static size_t
count_eligible (struct ColtFleet *fleet, uint32_t instance, uint32_t zone)
{
  uint32_t found[COLT_DIGEST_MAX];

  return colt_membership_eligible (fleet->nodes[instance], zone, found,
                                   COLT_DIGEST_MAX);
}

static void
test_everybody_is_found_from_three_seeds (void)
{
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  run (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODES; i++)
    g_assert_cmpuint (count_eligible (fleet, i, 0), ==, NODES);
  destroy_fleet (fleet);
}

static void
test_death_is_known_within_three_seconds (void)
{
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  run (fleet, 3 * COLT_US_PER_S);
  fleet->dead[4] = true;
  run (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODES; i++)
    if (i != 4 && zone_of (i) == zone_of (4))
      g_assert_cmpint (colt_membership_find (fleet->nodes[i], 4)->state, ==,
                       COLT_MEMBER_DEAD);
  destroy_fleet (fleet);
}

static void
test_paused_instance_comes_back (void)
{
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  run (fleet, 3 * COLT_US_PER_S);
  fleet->dead[4] = true;
  run (fleet, 4 * COLT_US_PER_S);
  fleet->dead[4] = false;
  run (fleet, 8 * COLT_US_PER_S);
  for (i = 1; i <= NODES; i++)
    g_assert_cmpuint (count_eligible (fleet, i, zone_of (4)), ==, 3);
  destroy_fleet (fleet);
}

static void
test_leaving_instance_is_not_eligible (void)
{
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  run (fleet, 3 * COLT_US_PER_S);
  colt_membership_leave (fleet->nodes[5]);
  run (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODES; i++)
    g_assert_cmpuint (count_eligible (fleet, i, zone_of (5)), ==, 2);
  g_assert_cmpint (colt_membership_find (fleet->nodes[2], 5)->state, ==,
                   COLT_MEMBER_LEAVING);
  destroy_fleet (fleet);
}

static void
test_cut_zone_keeps_its_own_members (void)
{
  struct ColtFleet *fleet = create_fleet ();

  run (fleet, 3 * COLT_US_PER_S);
  fleet->cut[1][2] = fleet->cut[2][1] = true;
  fleet->cut[1][3] = fleet->cut[3][1] = true;
  run (fleet, 5 * COLT_US_PER_S);
  g_assert_cmpuint (count_eligible (fleet, 1, 1), ==, 3);
  g_assert_cmpuint (count_eligible (fleet, 2, 2), ==, 3);
  g_assert_cmpint (colt_membership_zone_heard_us (fleet->nodes[1], 2), <,
                   fleet->now_us - 4 * COLT_US_PER_S);
  fleet->cut[1][2] = fleet->cut[2][1] = false;
  fleet->cut[1][3] = fleet->cut[3][1] = false;
  run (fleet, 10 * COLT_US_PER_S);
  g_assert_cmpuint (count_eligible (fleet, 1, 0), ==, NODES);
  destroy_fleet (fleet);
}

/* Every member of every other zone is asked within half a second. */
static void
test_urgent_asks_all (void)
{
  struct ColtFleet *fleet = create_fleet ();
  bool asked[NODES + 1] = { false };
  uint32_t i;
  size_t p;

  run (fleet, 3 * COLT_US_PER_S);
  colt_membership_set_urgent (fleet->nodes[1], true);
  for (i = 0; i < 2; i++)
    {
      fleet->pending_count = 0;
      fleet->now_us += COLT_PROBE_INTERVAL_US;
      colt_membership_step (fleet->nodes[1], fleet->now_us);
      for (p = 0; p < fleet->pending_count; p++)
        {
          asked[fleet->pending[p][1]] = true;
          exchange (fleet, 1, fleet->pending[p][1]);
        }
    }
  for (i = 2; i <= NODES; i++)
    if (zone_of (i) != zone_of (1))
      g_assert_true (asked[i]);
  destroy_fleet (fleet);
}

static void
test_own_stall_blames_nobody (void)
{
  struct ColtFleet *fleet = create_fleet ();
  uint32_t i;

  run (fleet, 3 * COLT_US_PER_S);
  colt_membership_probe_failed (fleet->nodes[1], 4, fleet->now_us);
  colt_membership_probe_failed (fleet->nodes[1], 4, fleet->now_us);
  g_assert_cmpint (colt_membership_find (fleet->nodes[1], 4)->state, ==,
                   COLT_MEMBER_SUSPECT);
  fleet->now_us += 5 * COLT_US_PER_S;
  colt_membership_step (fleet->nodes[1], fleet->now_us);
  g_assert_cmpint (colt_membership_find (fleet->nodes[1], 4)->state, ==,
                   COLT_MEMBER_SUSPECT);
  run (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODES; i++)
    g_assert_cmpuint (count_eligible (fleet, i, 0), ==, NODES);
  destroy_fleet (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/seeds",
                   test_everybody_is_found_from_three_seeds);
  g_test_add_func ("/membership/death",
                   test_death_is_known_within_three_seconds);
  g_test_add_func ("/membership/pause", test_paused_instance_comes_back);
  g_test_add_func ("/membership/leave", test_leaving_instance_is_not_eligible);
  g_test_add_func ("/membership/cut", test_cut_zone_keeps_its_own_members);
  g_test_add_func ("/membership/urgent", test_urgent_asks_all);
  g_test_add_func ("/membership/own_stall", test_own_stall_blames_nobody);
  return g_test_run ();
}
