#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/membership.h"

enum
{
  NODE_COUNT = 8,
  ZONE_COUNT = 3
};

/* Simulated instances. A probe is answered in the step in which it is sent,
 * unless its target is stopped or the link between the zones is cut. */
struct ColtFleet
{
  struct ColtMembership *nodes[NODE_COUNT + 1];
  bool stopped[NODE_COUNT + 1];
  bool link_cut[ZONE_COUNT + 1][ZONE_COUNT + 1]; /* [sender][receiver] */
  int64_t now_us;
  uint32_t pending_probes[4096][2]; /* prober, target */
  size_t pending_count;
};

struct ColtFleetNode
{
  struct ColtFleet *fleet;
  uint32_t instance;
};

static struct ColtFleetNode fleet_nodes[NODE_COUNT + 1];

static uint32_t
get_zone_ (uint32_t instance)
{
  return (instance - 1) % ZONE_COUNT + 1;
}

static void
record_probe_ (void *client, uint32_t instance)
{
  struct ColtFleetNode *node = client;
  struct ColtFleet *fleet = node->fleet;

  g_assert_cmpuint (fleet->pending_count, <,
                    G_N_ELEMENTS (fleet->pending_probes));
  fleet->pending_probes[fleet->pending_count][0] = node->instance;
  fleet->pending_probes[fleet->pending_count][1] = instance;
  fleet->pending_count++;
}

static void
check_member_ (void *client, const struct ColtMember *member)
{
  (void)client;
  g_assert_cmpuint (member->instance, >, 0);
}

static const struct ColtMembershipClient callbacks
    = { record_probe_, check_member_ };

static struct ColtFleet *
create_fleet_ (void)
{
  struct ColtFleet *fleet = g_new0 (struct ColtFleet, 1);
  uint32_t i;
  uint32_t j;

  fleet->now_us = COLT_US_PER_S;
  for (i = 1; i <= NODE_COUNT; i++)
    {
      struct ColtMember self
          = { i, get_zone_ (i), 1, COLT_MEMBER_ALIVE, "127.0.0.1:1" };

      fleet_nodes[i].fleet = fleet;
      fleet_nodes[i].instance = i;
      fleet->nodes[i] = colt_membership_create (&self);
      colt_membership_set_client (fleet->nodes[i], &callbacks, &fleet_nodes[i]);
      for (j = 1; j <= 3; j++)
        colt_membership_add (fleet->nodes[i], j, get_zone_ (j), "127.0.0.1:1",
                             fleet->now_us);
    }
  return fleet;
}

static void
destroy_fleet_ (struct ColtFleet *fleet)
{
  uint32_t i;

  for (i = 1; i <= NODE_COUNT; i++)
    colt_membership_destroy (fleet->nodes[i]);
  g_free (fleet);
}

static void
deliver_probe_ (struct ColtFleet *fleet, uint32_t from, uint32_t to)
{
  struct ColtMember digest[COLT_DIGEST_MAX];
  size_t count;

  if (fleet->stopped[to] || fleet->link_cut[get_zone_ (from)][get_zone_ (to)])
    {
      colt_membership_handle_probe_failure (fleet->nodes[from], to,
                                            fleet->now_us);
      return;
    }
  count = colt_membership_write_digest (fleet->nodes[from], digest);
  colt_membership_merge (fleet->nodes[to], digest, count, fleet->now_us);
  count = colt_membership_write_digest (fleet->nodes[to], digest);
  colt_membership_merge (fleet->nodes[from], digest, count, fleet->now_us);
  colt_membership_handle_probe_answer (fleet->nodes[from], to, fleet->now_us);
}

static void
run_fleet_ (struct ColtFleet *fleet, int64_t duration_us)
{
  int64_t end_us = fleet->now_us + duration_us;
  uint32_t i;
  size_t p;

  while (fleet->now_us < end_us)
    {
      for (i = 1; i <= NODE_COUNT; i++)
        if (!fleet->stopped[i])
          colt_membership_step (fleet->nodes[i], fleet->now_us);
      for (p = 0; p < fleet->pending_count; p++)
        deliver_probe_ (fleet, fleet->pending_probes[p][0],
                        fleet->pending_probes[p][1]);
      fleet->pending_count = 0;
      fleet->now_us += 50 * COLT_US_PER_MS;
    }
}

static size_t
count_eligible_ (struct ColtFleet *fleet, uint32_t instance, uint32_t zone)
{
  uint32_t found[COLT_DIGEST_MAX];

  return colt_membership_list_eligible (fleet->nodes[instance], zone, found,
                                        COLT_DIGEST_MAX);
}

static void
test_three_seeds_discover_all_members (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  uint32_t i;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODE_COUNT; i++)
    g_assert_cmpuint (count_eligible_ (fleet, i, 0), ==, NODE_COUNT);
  destroy_fleet_ (fleet);
}

static void
test_death_is_detected_within_three_seconds (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  uint32_t i;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  fleet->stopped[4] = true;
  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODE_COUNT; i++)
    if (i != 4 && get_zone_ (i) == get_zone_ (4))
      g_assert_cmpint (colt_membership_find (fleet->nodes[i], 4)->state, ==,
                       COLT_MEMBER_DEAD);
  destroy_fleet_ (fleet);
}

static void
test_resumed_instance_rejoins (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  uint32_t i;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  fleet->stopped[4] = true;
  run_fleet_ (fleet, 4 * COLT_US_PER_S);
  fleet->stopped[4] = false;
  run_fleet_ (fleet, 8 * COLT_US_PER_S);
  for (i = 1; i <= NODE_COUNT; i++)
    g_assert_cmpuint (count_eligible_ (fleet, i, get_zone_ (4)), ==, 3);
  destroy_fleet_ (fleet);
}

static void
test_leaving_instance_is_not_eligible (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  uint32_t i;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  colt_membership_leave (fleet->nodes[5]);
  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODE_COUNT; i++)
    g_assert_cmpuint (count_eligible_ (fleet, i, get_zone_ (5)), ==, 2);
  g_assert_cmpint (colt_membership_find (fleet->nodes[2], 5)->state, ==,
                   COLT_MEMBER_LEAVING);
  destroy_fleet_ (fleet);
}

static void
test_partitioned_zone_keeps_its_members (void)
{
  struct ColtFleet *fleet = create_fleet_ ();

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  fleet->link_cut[1][2] = fleet->link_cut[2][1] = true;
  fleet->link_cut[1][3] = fleet->link_cut[3][1] = true;
  run_fleet_ (fleet, 5 * COLT_US_PER_S);
  g_assert_cmpuint (count_eligible_ (fleet, 1, 1), ==, 3);
  g_assert_cmpuint (count_eligible_ (fleet, 2, 2), ==, 3);
  g_assert_cmpint (colt_membership_zone_answered_us (fleet->nodes[1], 2), <,
                   fleet->now_us - 4 * COLT_US_PER_S);
  fleet->link_cut[1][2] = fleet->link_cut[2][1] = false;
  fleet->link_cut[1][3] = fleet->link_cut[3][1] = false;
  run_fleet_ (fleet, 10 * COLT_US_PER_S);
  g_assert_cmpuint (count_eligible_ (fleet, 1, 0), ==, NODE_COUNT);
  destroy_fleet_ (fleet);
}

/* Every member of every other zone must be probed within half a second. */
static void
test_fast_probing_reaches_all_remote_members (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  bool probed[NODE_COUNT + 1] = { false };
  uint32_t i;
  size_t p;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  colt_membership_set_fast_probing (fleet->nodes[1], true);
  for (i = 0; i < 2; i++)
    {
      fleet->pending_count = 0;
      fleet->now_us += COLT_PROBE_INTERVAL_US;
      colt_membership_step (fleet->nodes[1], fleet->now_us);
      for (p = 0; p < fleet->pending_count; p++)
        {
          probed[fleet->pending_probes[p][1]] = true;
          deliver_probe_ (fleet, 1, fleet->pending_probes[p][1]);
        }
    }
  for (i = 2; i <= NODE_COUNT; i++)
    if (get_zone_ (i) != get_zone_ (1))
      g_assert_true (probed[i]);
  destroy_fleet_ (fleet);
}

static void
test_local_stall_restarts_suspicion (void)
{
  struct ColtFleet *fleet = create_fleet_ ();
  uint32_t i;

  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  colt_membership_handle_probe_failure (fleet->nodes[1], 4, fleet->now_us);
  colt_membership_handle_probe_failure (fleet->nodes[1], 4, fleet->now_us);
  g_assert_cmpint (colt_membership_find (fleet->nodes[1], 4)->state, ==,
                   COLT_MEMBER_SUSPECT);
  fleet->now_us += 5 * COLT_US_PER_S;
  colt_membership_step (fleet->nodes[1], fleet->now_us);
  g_assert_cmpint (colt_membership_find (fleet->nodes[1], 4)->state, ==,
                   COLT_MEMBER_SUSPECT);
  run_fleet_ (fleet, 3 * COLT_US_PER_S);
  for (i = 1; i <= NODE_COUNT; i++)
    g_assert_cmpuint (count_eligible_ (fleet, i, 0), ==, NODE_COUNT);
  destroy_fleet_ (fleet);
}

static void
ignore_probe_ (void *client, uint32_t instance)
{
  (void)client;
  (void)instance;
}

static void
store_address_ (void *client, const struct ColtMember *member)
{
  g_strlcpy (client, member->address, COLT_MEMBER_ADDRESS_SIZE);
}

static const struct ColtMembershipClient address_callbacks
    = { ignore_probe_, store_address_ };

/* A member that restarts at another address before it is suspected must be
 * reported, since the wire dials the address of the last report. */
static void
test_quick_restart_at_another_address (void)
{
  const struct ColtMember self = { 1, 1, 1, COLT_MEMBER_ALIVE, "127.0.0.1:1" };
  struct ColtMember peer = { 2, 1, 1, COLT_MEMBER_ALIVE, "127.0.0.1:2" };
  struct ColtMembership *membership = colt_membership_create (&self);
  char address[COLT_MEMBER_ADDRESS_SIZE] = "";

  colt_membership_set_client (membership, &address_callbacks, address);
  colt_membership_merge (membership, &peer, 1, 0);
  g_assert_cmpstr (address, ==, "127.0.0.1:2");
  peer.incarnation = 2;
  g_strlcpy (peer.address, "127.0.0.1:3", sizeof peer.address);
  colt_membership_merge (membership, &peer, 1, 0);
  g_assert_cmpstr (address, ==, "127.0.0.1:3");
  colt_membership_destroy (membership);
}

/* In a zone of more members than a digest holds, the digests must list each
 * member in turn, not those of the lowest numbers alone, and the sender in each
 * of them. */
static void
test_digests_cover_a_large_zone (void)
{
  enum
  {
    MEMBERS = 2 * COLT_DIGEST_MAX,
    DIGESTS = 4
  };
  const struct ColtMember self
      = { MEMBERS, 1, 1, COLT_MEMBER_ALIVE, "127.0.0.1:1" };
  struct ColtMembership *membership = colt_membership_create (&self);
  char address[COLT_MEMBER_ADDRESS_SIZE];
  unsigned listed[MEMBERS + 1] = { 0 };
  uint32_t i;

  colt_membership_set_client (membership, &address_callbacks, address);
  for (i = 1; i < MEMBERS; i++)
    colt_membership_add (membership, i, 1, "127.0.0.1:1", 0);
  for (i = 0; i < DIGESTS; i++)
    {
      struct ColtMember digest[COLT_DIGEST_MAX];
      size_t count = colt_membership_write_digest (membership, digest);
      size_t j;

      g_assert_cmpuint (count, ==, COLT_DIGEST_MAX - COLT_DIGEST_REMOTE_MAX);
      for (j = 0; j < count; j++)
        listed[digest[j].instance]++;
    }
  for (i = 1; i <= MEMBERS; i++)
    g_assert_cmpuint (listed[i], >=, 1);
  g_assert_cmpuint (listed[MEMBERS], ==, DIGESTS);
  colt_membership_destroy (membership);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/seeds", test_three_seeds_discover_all_members);
  g_test_add_func ("/membership/death",
                   test_death_is_detected_within_three_seconds);
  g_test_add_func ("/membership/pause", test_resumed_instance_rejoins);
  g_test_add_func ("/membership/leave", test_leaving_instance_is_not_eligible);
  g_test_add_func ("/membership/cut", test_partitioned_zone_keeps_its_members);
  g_test_add_func ("/membership/moved", test_quick_restart_at_another_address);
  g_test_add_func ("/membership/large_zone", test_digests_cover_a_large_zone);
  g_test_add_func ("/membership/urgent",
                   test_fast_probing_reaches_all_remote_members);
  g_test_add_func ("/membership/own_stall",
                   test_local_stall_restarts_suspicion);
  return g_test_run ();
}
