#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "test_bundle.h"

#define VERSIONS 4

/* A fold that has read four versions, the third with another operator. */
struct ColtSnapshotFixture
{
  struct ColtOperatorPair operators[2];
  struct ColtBundle *versions[VERSIONS];
  struct ColtChain *chain;
  struct ColtChain *fresh; /* has read nothing */
  struct ColtHash withdrawn;
  uint8_t *body;
  size_t size;
  struct ColtChainVerdict verdict;
};

static void
set_up (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  uint8_t *body;
  size_t size;
  int i;

  (void)data;
  fixture->operators[0] = test_operator (1);
  fixture->operators[1] = test_operator (2);
  fixture->chain = colt_chain_create (&fixture->operators[0].key, 1);
  fixture->fresh = colt_chain_create (&fixture->operators[0].key, 1);
  for (i = 0; i < VERSIONS; i++)
    {
      fixture->versions[i] = test_next (i > 0 ? fixture->versions[i - 1] : NULL,
                                        &fixture->operators[i >= 2], 1, i);
      g_assert_cmpint (test_take (fixture->chain, i, fixture->versions[i], NULL,
                                  &fixture->operators[i >= 3],
                                  &fixture->verdict),
                       ==, COLT_CHAIN_ACCEPTED);
    }
  fixture->withdrawn = colt_secret_hash ("gone");
  body = colt_key_withdraw_encode (&fixture->withdrawn, &fixture->operators[1],
                                   &size);
  g_assert_cmpint (
      test_take_body (fixture->chain, 4, COLT_RECORD_KEY_WITHDRAW, body, size),
      ==, COLT_CHAIN_ACCEPTED);
  fixture->body = colt_chain_encode_snapshot (
      fixture->chain, (const uint8_t *)"quota", 5, &fixture->size);
}

static void
tear_down (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  int i;

  (void)data;
  for (i = 0; i < VERSIONS; i++)
    colt_bundle_destroy (fixture->versions[i]);
  colt_chain_destroy (fixture->chain);
  colt_chain_destroy (fixture->fresh);
  free (fixture->body);
}

static uint8_t *
copy_body (const struct ColtSnapshotFixture *fixture)
{
  uint8_t *copy = malloc (fixture->size);

  memcpy (copy, fixture->body, fixture->size);
  return copy;
}

static void
test_retention_overtakes (struct ColtSnapshotFixture *fixture,
                          gconstpointer data)
{
  const uint8_t *extra;
  size_t size;
  uint32_t team;

  (void)data;
  g_assert_null (colt_chain_encode_snapshot (fixture->fresh, NULL, 0, &size));
  g_assert_false (colt_chain_set_first_offset (fixture->fresh, 3));
  /* Version 4 alone, and even version 1 again, must not count. */
  g_assert_cmpint (test_take (fixture->fresh, 3, fixture->versions[3], NULL,
                              &fixture->operators[1], &fixture->verdict),
                   ==, COLT_CHAIN_IGNORED);
  g_assert_cmpint (test_take (fixture->fresh, 4, fixture->versions[0], NULL,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_IGNORED);
  g_assert_cmpint (test_take_body (fixture->fresh, 5, COLT_RECORD_SNAPSHOT,
                                   copy_body (fixture), fixture->size),
                   ==, COLT_CHAIN_ADOPTED);
  g_assert_cmpuint (colt_chain_next_offset (fixture->fresh), ==, 6);
  g_assert_false (colt_chain_needs_snapshot (fixture->fresh));
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->fresh)), ==,
                   4);
  g_assert_cmpint (colt_keyring_check_hash (colt_chain_keyring (fixture->fresh),
                                            &fixture->withdrawn, &team),
                   ==, COLT_KEY_WITHDRAWN);
  extra = colt_chain_snapshot_extra (fixture->fresh, &size);
  g_assert_cmpmem (extra, size, "quota", 5);
}

static void
count_kept (void *client,
            struct ColtLogPosition position,
            uint32_t kind,
            const uint8_t *body,
            size_t size)
{
  g_assert_cmpuint (position.offset, ==, 3);
  g_assert_cmpuint (kind, ==, COLT_RECORD_BUNDLE);
  g_assert_true (body != NULL && size > 0);
  ++*(int *)client;
}

static void
test_records_behind_snapshot_count (struct ColtSnapshotFixture *fixture,
                                    gconstpointer data)
{
  struct ColtChain *writer = colt_chain_create (&fixture->operators[0].key, 1);
  uint8_t *body;
  size_t size;
  int kept = 0;
  int i;

  (void)data;
  for (i = 0; i < 3; i++)
    test_take (writer, i, fixture->versions[i], NULL, &fixture->operators[0],
               &fixture->verdict);
  body = colt_chain_encode_snapshot (writer, NULL, 0, &size);
  /* Between the writer's state and its snapshot stands version 4. */
  g_assert_false (colt_chain_set_first_offset (fixture->fresh, 2));
  for (i = 2; i < 4; i++)
    test_take (fixture->fresh, i, fixture->versions[i], NULL,
               &fixture->operators[i >= 3], &fixture->verdict);
  g_assert_null (colt_chain_bundle (fixture->fresh));
  g_assert_cmpint (
      test_take_body (fixture->fresh, 4, COLT_RECORD_SNAPSHOT, body, size), ==,
      COLT_CHAIN_ADOPTED);
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->fresh)), ==,
                   4);
  colt_chain_visit_pending (fixture->fresh, count_kept, &kept);
  g_assert_cmpint (kept, ==, 1);
  colt_chain_destroy (writer);
}

static void
test_snapshot_too_old_for_log (struct ColtSnapshotFixture *fixture,
                               gconstpointer data)
{
  (void)data;
  g_assert_false (colt_chain_set_first_offset (fixture->fresh, 6));
  g_assert_cmpint (test_take_body (fixture->fresh, 6, COLT_RECORD_SNAPSHOT,
                                   copy_body (fixture), fixture->size),
                   ==, COLT_CHAIN_GAP);
  g_assert_true (colt_chain_needs_snapshot (fixture->fresh));
  g_assert_null (colt_chain_bundle (fixture->fresh));
}

static void
test_snapshot_in_whole_log_is_ignored (struct ColtSnapshotFixture *fixture,
                                       gconstpointer data)
{
  (void)data;
  g_assert_cmpint (test_take_body (fixture->chain, 5, COLT_RECORD_SNAPSHOT,
                                   copy_body (fixture), fixture->size),
                   ==, COLT_CHAIN_IGNORED);
  g_assert_cmpuint (colt_chain_snapshot_offset (fixture->chain), ==, 5);
  g_assert_true (colt_chain_set_first_offset (fixture->chain, 6));
  g_assert_cmpuint (colt_chain_snapshot_offset (fixture->chain), ==,
                    UINT64_MAX);
}

static void
test_peer_snapshot (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  (void)data;
  test_take (fixture->fresh, 0, fixture->versions[0], NULL,
             &fixture->operators[0], &fixture->verdict);
  colt_chain_apply_snapshot (fixture->fresh, fixture->body, fixture->size,
                             &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_ADOPTED);
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->fresh)), ==,
                   4);
  colt_chain_apply_snapshot (fixture->fresh, fixture->body, fixture->size,
                             &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_OLD);
}

static void
test_peer_snapshot_never_reverts (struct ColtSnapshotFixture *fixture,
                                  gconstpointer data)
{
  struct ColtChain *lagging = colt_chain_create (&fixture->operators[0].key, 1);
  uint8_t *body;
  size_t size;

  (void)data;
  test_take (lagging, 0, fixture->versions[0], NULL, &fixture->operators[0],
             &fixture->verdict);
  colt_chain_advance (lagging, 50);
  body = colt_chain_encode_snapshot (lagging, NULL, 0, &size);
  colt_chain_apply_snapshot (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_MISMATCH);
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->chain)), ==,
                   4);
  free (body);
  colt_chain_destroy (lagging);
}

static void
test_forged_snapshot (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  struct ColtOperatorPair stranger = test_operator (9);
  struct ColtChain *forger = colt_chain_create (&stranger.key, 1);
  struct ColtBundle *forged = test_next (NULL, &stranger, 1, 1);
  uint8_t *body;
  size_t size;

  (void)data;
  test_take (forger, 0, forged, NULL, &stranger, &fixture->verdict);
  body = colt_chain_encode_snapshot (forger, NULL, 0, &size);
  colt_chain_apply_snapshot (fixture->fresh, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_UNSIGNED);
  g_assert_null (colt_chain_bundle (fixture->fresh));
  free (body);
  colt_bundle_destroy (forged);
  colt_chain_destroy (forger);
}

static void
test_truncated_snapshots (struct ColtSnapshotFixture *fixture,
                          gconstpointer data)
{
  size_t size;

  (void)data;
  for (size = 0; size < fixture->size; size++)
    {
      colt_chain_apply_snapshot (fixture->fresh, fixture->body, size,
                                 &fixture->verdict);
      g_assert_cmpint (fixture->verdict.status, !=, COLT_CHAIN_ADOPTED);
    }
  g_assert_null (colt_chain_bundle (fixture->fresh));
}

static void
test_snapshot_due (void)
{
  const uint32_t live[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
  struct ColtSnapshotState state = { .now_us = 1000 * COLT_US_PER_S,
                                     .retention_us = 600 * COLT_US_PER_S,
                                     .last_us = 900 * COLT_US_PER_S,
                                     .last_offset = 70,
                                     .first_offset = 10,
                                     .next_offset = 90,
                                     .due_since_us = COLT_TIME_NEVER,
                                     .live = live,
                                     .live_count = G_N_ELEMENTS (live) };
  int chosen = 0;

  g_assert_false (colt_snapshot_is_due (&state));
  state.first_offset = 71;
  g_assert_true (colt_snapshot_is_due (&state));
  state.first_offset = 10;
  state.next_offset = 70 + COLT_SNAPSHOT_RECORDS + 1;
  g_assert_true (colt_snapshot_is_due (&state));
  state.next_offset = 90;
  state.last_us = 800 * COLT_US_PER_S;
  g_assert_true (colt_snapshot_is_due (&state));
  state.self = 1;
  g_assert_false (colt_snapshot_is_own_turn (&state));
  state.due_since_us = state.now_us;
  for (state.self = 1; state.self <= G_N_ELEMENTS (live); state.self++)
    chosen += colt_snapshot_is_own_turn (&state);
  g_assert_cmpint (chosen, ==, 1);
  state.now_us += 2 * COLT_SNAPSHOT_STAGGER_MS * COLT_US_PER_MS;
  chosen = 0;
  for (state.self = 1; state.self <= G_N_ELEMENTS (live); state.self++)
    chosen += colt_snapshot_is_own_turn (&state);
  g_assert_cmpint (chosen, ==, 3);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/snapshot/" name, struct ColtSnapshotFixture, NULL,      \
              set_up, function, tear_down)

void
test_add_snapshot (void)
{
  ADD ("retention", test_retention_overtakes);
  ADD ("kept", test_records_behind_snapshot_count);
  ADD ("too_old", test_snapshot_too_old_for_log);
  ADD ("whole_log", test_snapshot_in_whole_log_is_ignored);
  ADD ("peer", test_peer_snapshot);
  ADD ("peer_never_reverts", test_peer_snapshot_never_reverts);
  ADD ("forged", test_forged_snapshot);
  ADD ("truncated", test_truncated_snapshots);
  g_test_add_func ("/bundle/snapshot/due", test_snapshot_due);
}
