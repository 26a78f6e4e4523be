#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/bundle_peers.h"
#include "test_bundle.h"

#define INSTANCES 2

/* Kinds of messages. */
enum
{
  PULL = COLT_WIRE_BUNDLE_FIRST,
  PUSH
};

/* An entry instance with one peer. */
struct ColtTestPeer
{
  uint32_t other; /* number of the peer */
  struct ColtWire *wire;
  struct ColtChain *chain;
  struct ColtBundlePeers *peers;
  struct event_base *base;
  int change_count; /* calls of on_changed() */
  int extra_count;  /* calls of encode_extra() */
};

/* Two connected instances: the first has read versions 1 and 2 of a bundle, the
   second has read no record. */
struct ColtPeersFixture
{
  struct event_base *base;
  struct ColtOperatorPair pair;
  struct ColtBundle *versions[2];
  struct ColtTestPeer peer[INSTANCES];
};

static uint32_t
choose_peer (void *client)
{
  return ((struct ColtTestPeer *)client)->other;
}

static size_t
list_targets (void *client, uint32_t *instances, size_t max)
{
  g_assert_cmpuint (max, >, 0);
  instances[0] = ((struct ColtTestPeer *)client)->other;
  return 1;
}

static void
on_changed (void *client)
{
  struct ColtTestPeer *peer = client;

  peer->change_count++;
  event_base_loopbreak (peer->base);
}

static uint8_t *
encode_extra (void *client, uint64_t next_offset, size_t *size)
{
  struct ColtTestPeer *peer = client;

  g_assert_cmpuint (next_offset, ==, colt_chain_next_offset (peer->chain));
  peer->extra_count++;
  *size = 1;
  return calloc (1, 1);
}

static const struct ColtBundlePeersCalls calls
    = { choose_peer, list_targets, on_changed, encode_extra };

/* Writes a loopback address with a free port, ADDRESS:PORT. */
static void
find_free_address (char *text, size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  g_snprintf (text, size, "127.0.0.1:%u", ntohs (address.sin_port));
}

static void
set_up (struct ColtPeersFixture *fixture, gconstpointer data)
{
  char address[INSTANCES][32];
  struct ColtChainVerdict verdict;
  uint32_t i;

  (void)data;
  fixture->base = event_base_new ();
  fixture->pair = make_operator (1);
  fixture->versions[0] = make_next_bundle (NULL, &fixture->pair, 1, 1);
  fixture->versions[1]
      = make_next_bundle (fixture->versions[0], &fixture->pair, 1, 2);
  for (i = 0; i < INSTANCES; i++)
    {
      struct ColtTestPeer *peer = &fixture->peer[i];

      peer->other = INSTANCES - i;
      peer->base = fixture->base;
      peer->chain = colt_chain_create (&fixture->pair.key, 1);
      peer->wire = colt_wire_create (fixture->base, i + 1, 1);
      peer->peers
          = colt_bundle_peers_create (peer->wire, peer->chain, &calls, peer);
      find_free_address (address[i], sizeof address[i]);
      g_assert_true (colt_wire_listen (peer->wire, address[i], NULL));
    }
  for (i = 0; i < INSTANCES; i++)
    {
      colt_wire_set_peer (fixture->peer[i].wire, INSTANCES - i,
                          address[INSTANCES - 1 - i]);
      apply_bundle (fixture->peer[0].chain, i, fixture->versions[i], NULL,
                    &fixture->pair, &verdict);
    }
}

static void
tear_down (struct ColtPeersFixture *fixture, gconstpointer data)
{
  int i;

  (void)data;
  for (i = 0; i < INSTANCES; i++)
    {
      colt_wire_destroy (fixture->peer[i].wire);
      colt_bundle_peers_destroy (fixture->peer[i].peers);
      colt_chain_destroy (fixture->peer[i].chain);
      colt_bundle_destroy (fixture->versions[i]);
    }
  event_base_free (fixture->base);
}

/* Returns the version in force at an instance, or 0. */
static int64_t
get_version (const struct ColtTestPeer *peer)
{
  const struct ColtBundle *bundle = colt_chain_bundle (peer->chain);

  return bundle != NULL ? colt_bundle_version (bundle) : 0;
}

static void
test_pull_update (struct ColtPeersFixture *fixture, gconstpointer data)
{
  struct ColtTestPeer *second = &fixture->peer[1];
  struct ColtBundlePeersStats stats;

  (void)data;
  colt_chain_advance (fixture->peer[0].chain, 77);
  colt_bundle_peers_step (second->peers, 0, true);
  event_base_dispatch (fixture->base);
  g_assert_cmpint (get_version (second), ==, 2);
  g_assert_cmpuint (colt_chain_next_offset (second->chain), ==, 77);
  colt_bundle_peers_get_stats (second->peers, &stats);
  g_assert_cmpuint (stats.updates, ==, 1);
  g_assert_cmpuint (stats.snapshots, ==, 0);
  /* With a bundle in force, a pull is due only while the log isn't fresh. */
  colt_bundle_peers_step (second->peers, INT64_MAX / 2, true);
  colt_bundle_peers_get_stats (second->peers, &stats);
  g_assert_cmpuint (stats.pulls, ==, 1);
  colt_bundle_peers_step (second->peers, INT64_MAX / 2, false);
  colt_bundle_peers_get_stats (second->peers, &stats);
  g_assert_cmpuint (stats.pulls, ==, 2);
}

static void
test_pull_snapshot (struct ColtPeersFixture *fixture, gconstpointer data)
{
  struct ColtTestPeer *second = &fixture->peer[1];
  size_t size;

  (void)data;
  g_assert_false (colt_chain_set_first_offset (second->chain, 1));
  colt_bundle_peers_step (second->peers, 0, true);
  event_base_dispatch (fixture->base);
  g_assert_cmpint (get_version (second), ==, 2);
  g_assert_false (colt_chain_needs_snapshot (second->chain));
  g_assert_cmpint (fixture->peer[0].extra_count, ==, 1);
  g_assert_nonnull (colt_chain_snapshot_extra (second->chain, &size));
  g_assert_cmpuint (size, ==, 1);
}

static void
test_push_withdrawal (struct ColtPeersFixture *fixture, gconstpointer data)
{
  struct ColtTestPeer *first = &fixture->peer[0];
  struct ColtTestPeer *second = &fixture->peer[1];
  struct ColtHash hash = colt_secret_hash ("x");
  struct ColtBundlePeersStats stats;
  struct ColtChainVerdict verdict;
  uint32_t team;
  size_t size;
  uint8_t *body = colt_key_withdraw_encode (&hash, &fixture->pair, &size);

  (void)data;
  apply_bundle (second->chain, 0, fixture->versions[0], NULL, &fixture->pair,
                &verdict);
  colt_bundle_peers_push (first->peers, body, size);
  while (second->change_count == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  g_assert_cmpint (colt_keyring_check_hash (colt_chain_keyring (second->chain),
                                            &hash, &team),
                   ==, COLT_KEY_WITHDRAWN);
  /* The second instance relays the withdrawal to the first, whose chain has not
     applied it yet. The first relays it once in turn; the second then ignores
     the duplicate. */
  while (first->change_count == 0
         || colt_wire_received_count (second->wire, PUSH) < 2)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  colt_bundle_peers_get_stats (first->peers, &stats);
  g_assert_cmpuint (stats.relayed, ==, 1);
  g_assert_cmpuint (stats.pushed, ==, 2);
  colt_bundle_peers_get_stats (second->peers, &stats);
  g_assert_cmpuint (stats.relayed, ==, 1);
  g_assert_cmpuint (stats.pushed, ==, 1);
  g_assert_cmpint (second->change_count, ==, 1);
  free (body);
}

static void
test_malformed_messages (struct ColtPeersFixture *fixture, gconstpointer data)
{
  static const uint8_t junk[] = { 0xff, 0xff, 0xff };
  struct ColtTestPeer *second = &fixture->peer[1];
  struct ColtBundlePeersStats stats;
  struct ColtChainVerdict verdict;

  (void)data;
  /* A relayed withdrawal is decoded only once a bundle is in force. */
  apply_bundle (second->chain, 0, fixture->versions[0], NULL, &fixture->pair,
                &verdict);
  colt_wire_send (fixture->peer[0].wire, 2, PULL, junk, sizeof junk);
  colt_wire_send (fixture->peer[0].wire, 2, PUSH, junk, sizeof junk);
  while (colt_wire_received_count (second->wire, PULL) == 0
         || colt_wire_received_count (second->wire, PUSH) == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  colt_bundle_peers_get_stats (second->peers, &stats);
  g_assert_cmpuint (stats.bad_messages, ==, 2);
  g_assert_cmpint (second->change_count, ==, 0);
  g_assert_cmpint (get_version (second), ==, 1);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/peers/" name, struct ColtPeersFixture, NULL, set_up,    \
              function, tear_down)

void
add_peers_tests (void)
{
  ADD ("update", test_pull_update);
  ADD ("snapshot", test_pull_snapshot);
  ADD ("push", test_push_withdrawal);
  ADD ("malformed", test_malformed_messages);
}
