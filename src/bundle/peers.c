#include "coltsfootstile/bundle_peers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bundle.pb-c.h"
#include "coltsfootstile/clock.h"

enum
{
  KIND_PULL = COLT_WIRE_BUNDLE_FIRST,
  KIND_PUSH = COLT_WIRE_BUNDLE_FIRST + 1
};

struct ColtBundlePeers
{
  struct ColtWire *wire;
  struct ColtChain *chain;
  const struct ColtBundlePeersCalls *calls;
  void *client;
  bool pulling; /* a pull is awaiting its reply */
  int64_t next_pull_us;
  struct ColtBundlePeersStats stats;
};

static void send_pull_ (struct ColtBundlePeers *peers, uint32_t instance);
static void handle_pull_ (void *client,
                          const struct ColtWireOrigin *origin,
                          const uint8_t *body,
                          size_t size);
static uint8_t *encode_pull_reply_ (const struct ColtBundlePeers *peers,
                                    const Colt__BundlePull *pull,
                                    size_t *size);
static uint8_t *encode_snapshot_ (const struct ColtBundlePeers *peers,
                                  size_t *size);
static void on_pull_reply_ (void *client,
                            enum ColtWireResult result,
                            const uint8_t *body,
                            size_t size);
static void apply_reply_ (struct ColtBundlePeers *peers,
                          const Colt__BundlePulled *pulled);
static void handle_push_ (void *client,
                          const struct ColtWireOrigin *origin,
                          const uint8_t *body,
                          size_t size);

struct ColtBundlePeers *
colt_bundle_peers_create (struct ColtWire *wire,
                          struct ColtChain *chain,
                          const struct ColtBundlePeersCalls *calls,
                          void *client)
{
  struct ColtBundlePeers *peers = g_new0 (struct ColtBundlePeers, 1);

  peers->wire = wire;
  peers->chain = chain;
  peers->calls = calls;
  peers->client = client;
  colt_wire_set_handler (wire, KIND_PULL, handle_pull_, peers);
  colt_wire_set_handler (wire, KIND_PUSH, handle_push_, peers);
  return peers;
}

void
colt_bundle_peers_destroy (struct ColtBundlePeers *peers)
{
  g_free (peers);
}

void
colt_bundle_peers_step (struct ColtBundlePeers *peers,
                        int64_t now_us,
                        bool log_fresh)
{
  bool complete = colt_chain_bundle (peers->chain) != NULL
                  && !colt_chain_needs_snapshot (peers->chain);
  uint32_t instance;

  if (peers->pulling || now_us < peers->next_pull_us || (complete && log_fresh))
    return;
  instance = peers->calls->choose_peer (peers->client);
  if (instance == 0)
    return;
  peers->next_pull_us = now_us + COLT_BUNDLE_PULL_MS * COLT_US_PER_MS;
  send_pull_ (peers, instance);
}

void
colt_bundle_peers_push (struct ColtBundlePeers *peers,
                        const uint8_t *body,
                        size_t size)
{
  uint32_t instances[COLT_BUNDLE_PUSH_MAX];
  size_t count = peers->calls->list_targets (peers->client, instances,
                                             G_N_ELEMENTS (instances));
  size_t i;

  for (i = 0; i < count; i++)
    colt_wire_send (peers->wire, instances[i], KIND_PUSH, body, size);
  peers->stats.pushed += count;
}

void
colt_bundle_peers_get_stats (const struct ColtBundlePeers *peers,
                             struct ColtBundlePeersStats *stats)
{
  *stats = peers->stats;
}

static void
send_pull_ (struct ColtBundlePeers *peers, uint32_t instance)
{
  Colt__BundlePull pull = COLT__BUNDLE_PULL__INIT;
  uint8_t *body;
  size_t size;

  pull.from = colt_chain_next_offset (peers->chain);
  pull.whole = colt_chain_needs_snapshot (peers->chain);
  body = g_malloc (colt__bundle_pull__get_packed_size (&pull) + 1);
  size = colt__bundle_pull__pack (&pull, body);
  peers->pulling = true;
  peers->stats.pulls++;
  colt_wire_call (peers->wire, instance, KIND_PULL, body, size,
                  COLT_BUNDLE_PULL_TIMEOUT_MS, on_pull_reply_, peers);
  g_free (body);
}

static void
handle_pull_ (void *client,
              const struct ColtWireOrigin *origin,
              const uint8_t *body,
              size_t size)
{
  struct ColtBundlePeers *peers = client;
  Colt__BundlePull *pull = colt__bundle_pull__unpack (NULL, size, body);
  uint8_t *reply;
  size_t reply_size;

  if (pull == NULL)
    {
      peers->stats.bad_messages++;
      return;
    }
  reply = encode_pull_reply_ (peers, pull, &reply_size);
  colt_wire_reply (peers->wire, origin, reply, reply_size);
  g_free (reply);
  colt__bundle_pull__free_unpacked (pull, NULL);
}

static uint8_t *
encode_pull_reply_ (const struct ColtBundlePeers *peers,
                    const Colt__BundlePull *pull,
                    size_t *size)
{
  Colt__BundlePulled pulled = COLT__BUNDLE_PULLED__INIT;
  uint8_t *content = NULL;
  uint8_t *reply;
  size_t length = 0;

  if (!pull->whole)
    content = colt_chain_encode_update (peers->chain, pull->from, &length);
  if (content != NULL)
    {
      pulled.content_case = COLT__BUNDLE_PULLED__CONTENT_UPDATE;
      pulled.update.data = content;
      pulled.update.len = length;
    }
  else if (!colt_chain_needs_snapshot (peers->chain)
           && (pull->whole
               || pull->from < colt_chain_next_offset (peers->chain)))
    content = encode_snapshot_ (peers, &length);
  if (content != NULL
      && pulled.content_case != COLT__BUNDLE_PULLED__CONTENT_UPDATE)
    {
      pulled.content_case = COLT__BUNDLE_PULLED__CONTENT_SNAPSHOT;
      pulled.snapshot.data = content;
      pulled.snapshot.len = length;
    }
  reply = g_malloc (colt__bundle_pulled__get_packed_size (&pulled) + 1);
  *size = colt__bundle_pulled__pack (&pulled, reply);
  free (content);
  return reply;
}

static uint8_t *
encode_snapshot_ (const struct ColtBundlePeers *peers, size_t *size)
{
  uint8_t *state = NULL;
  size_t state_size = 0;
  uint8_t *snapshot;

  if (peers->calls->encode_extra != NULL)
    state = peers->calls->encode_extra (
        peers->client, colt_chain_next_offset (peers->chain), &state_size);
  snapshot = colt_chain_encode_snapshot (peers->chain, state,
                                         state != NULL ? state_size : 0, size);
  free (state);
  return snapshot;
}

static void
on_pull_reply_ (void *client,
                enum ColtWireResult result,
                const uint8_t *body,
                size_t size)
{
  struct ColtBundlePeers *peers = client;
  Colt__BundlePulled *pulled;

  peers->pulling = false;
  if (result != COLT_WIRE_REPLIED)
    return;
  pulled = colt__bundle_pulled__unpack (NULL, size, body);
  if (pulled == NULL)
    {
      peers->stats.bad_messages++;
      return;
    }
  apply_reply_ (peers, pulled);
  colt__bundle_pulled__free_unpacked (pulled, NULL);
}

static void
apply_reply_ (struct ColtBundlePeers *peers, const Colt__BundlePulled *pulled)
{
  struct ColtChainVerdict verdict = { 0 };

  if (pulled->content_case == COLT__BUNDLE_PULLED__CONTENT_UPDATE)
    colt_chain_apply_update (peers->chain, pulled->update.data,
                             pulled->update.len, &verdict);
  else if (pulled->content_case == COLT__BUNDLE_PULLED__CONTENT_SNAPSHOT)
    colt_chain_apply_snapshot (peers->chain, pulled->snapshot.data,
                               pulled->snapshot.len, &verdict);
  else
    return;
  if (verdict.status == COLT_CHAIN_MALFORMED)
    peers->stats.bad_messages++;
  peers->stats.updates += verdict.status == COLT_CHAIN_ACCEPTED;
  peers->stats.snapshots += verdict.status == COLT_CHAIN_ADOPTED;
  if (verdict.status == COLT_CHAIN_ACCEPTED
      || verdict.status == COLT_CHAIN_ADOPTED)
    peers->calls->on_changed (peers->client);
}

static void
handle_push_ (void *client,
              const struct ColtWireOrigin *origin,
              const uint8_t *body,
              size_t size)
{
  struct ColtBundlePeers *peers = client;
  struct ColtChainVerdict verdict;

  (void)origin;
  colt_chain_apply_relayed (peers->chain, body, size, &verdict);
  if (verdict.status == COLT_CHAIN_MALFORMED)
    peers->stats.bad_messages++;
  if (verdict.status != COLT_CHAIN_ACCEPTED)
    return;
  peers->stats.relayed++;
  colt_bundle_peers_push (peers, body, size);
  peers->calls->on_changed (peers->client);
}
