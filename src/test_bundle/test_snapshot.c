#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "test_bundle.h"

#define VERSIONS 4

/* A chain that has read four versions of a bundle and the withdrawal of a key.
   Versions 1 and 2 name operators[0] as their operator, versions 3 and 4 name
   operators[1]. */
struct ColtSnapshotFixture
{
  struct ColtOperatorPair operators[2];
  struct ColtBundle *versions[VERSIONS];
  struct ColtChain *chain;
  struct ColtChain *reader;  /* has read no record */
  struct ColtHash withdrawn; /* hash of the withdrawn key */
  uint8_t *snapshot;         /* encoded from the chain */
  size_t snapshot_size;
  struct ColtChainVerdict verdict;
};

static void
set_up (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  uint8_t *body;
  size_t size;
  int i;

  (void)data;
  fixture->operators[0] = make_operator (1);
  fixture->operators[1] = make_operator (2);
  fixture->chain = colt_chain_create (&fixture->operators[0].key, 1);
  fixture->reader = colt_chain_create (&fixture->operators[0].key, 1);
  for (i = 0; i < VERSIONS; i++)
    {
      fixture->versions[i]
          = make_next_bundle (i > 0 ? fixture->versions[i - 1] : NULL,
                              &fixture->operators[i >= 2], 1, i);
      g_assert_cmpint (apply_bundle (fixture->chain, i, fixture->versions[i],
                                     NULL, &fixture->operators[i >= 3],
                                     &fixture->verdict),
                       ==, COLT_CHAIN_ACCEPTED);
    }
  fixture->withdrawn = colt_secret_hash ("gone");
  body = colt_key_withdraw_encode (&fixture->withdrawn, &fixture->operators[1],
                                   &size);
  g_assert_cmpint (
      apply_record (fixture->chain, 4, COLT_RECORD_KEY_WITHDRAW, body, size),
      ==, COLT_CHAIN_ACCEPTED);
  fixture->snapshot = colt_chain_encode_snapshot (
      fixture->chain, (const uint8_t *)"quota", 5, &fixture->snapshot_size);
}

static void
tear_down (struct ColtSnapshotFixture *fixture, gconstpointer data)
{
  int i;

  (void)data;
  for (i = 0; i < VERSIONS; i++)
    colt_bundle_destroy (fixture->versions[i]);
  colt_chain_destroy (fixture->chain);
  colt_chain_destroy (fixture->reader);
  free (fixture->snapshot);
}

static uint8_t *
copy_snapshot (const struct ColtSnapshotFixture *fixture)
{
  uint8_t *copy = malloc (fixture->snapshot_size);

  memcpy (copy, fixture->snapshot, fixture->snapshot_size);
  return copy;
}

static void
test_snapshot_after_lost_records (struct ColtSnapshotFixture *fixture,
                                  gconstpointer data)
{
  const uint8_t *extra;
  size_t size;
  uint32_t team;

  (void)data;
  g_assert_null (colt_chain_encode_snapshot (fixture->reader, NULL, 0, &size));
  g_assert_false (colt_chain_set_first_offset (fixture->reader, 3));
  /* While records are missing, neither version 4 nor a repeated version 1 must
     take effect. */
  g_assert_cmpint (apply_bundle (fixture->reader, 3, fixture->versions[3], NULL,
                                 &fixture->operators[1], &fixture->verdict),
                   ==, COLT_CHAIN_IGNORED);
  g_assert_cmpint (apply_bundle (fixture->reader, 4, fixture->versions[0], NULL,
                                 &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_IGNORED);
  g_assert_cmpint (apply_record (fixture->reader, 5, COLT_RECORD_SNAPSHOT,
                                 copy_snapshot (fixture),
                                 fixture->snapshot_size),
                   ==, COLT_CHAIN_ADOPTED);
  g_assert_cmpuint (colt_chain_next_offset (fixture->reader), ==, 6);
  g_assert_false (colt_chain_needs_snapshot (fixture->reader));
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->reader)),
                   ==, 4);
  g_assert_cmpint (
      colt_keyring_check_hash (colt_chain_keyring (fixture->reader),
                               &fixture->withdrawn, &team),
      ==, COLT_KEY_WITHDRAWN);
  extra = colt_chain_snapshot_extra (fixture->reader, &size);
  g_assert_cmpmem (extra, size, "quota", 5);
}

static void
count_pending_record (void *client,
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
test_pending_records_are_applied (struct ColtSnapshotFixture *fixture,
                                  gconstpointer data)
{
  struct ColtChain *writer = colt_chain_create (&fixture->operators[0].key, 1);
  uint8_t *body;
  size_t size;
  int pending_count = 0;
  int i;

  (void)data;
  for (i = 0; i < 3; i++)
    apply_bundle (writer, i, fixture->versions[i], NULL, &fixture->operators[0],
                  &fixture->verdict);
  body = colt_chain_encode_snapshot (writer, NULL, 0, &size);
  /* Version 4 is in the log between the last record that the writer read and
     the writer's snapshot. */
  g_assert_false (colt_chain_set_first_offset (fixture->reader, 2));
  for (i = 2; i < 4; i++)
    apply_bundle (fixture->reader, i, fixture->versions[i], NULL,
                  &fixture->operators[i >= 3], &fixture->verdict);
  g_assert_null (colt_chain_bundle (fixture->reader));
  g_assert_cmpint (
      apply_record (fixture->reader, 4, COLT_RECORD_SNAPSHOT, body, size), ==,
      COLT_CHAIN_ADOPTED);
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->reader)),
                   ==, 4);
  colt_chain_visit_pending (fixture->reader, count_pending_record,
                            &pending_count);
  g_assert_cmpint (pending_count, ==, 1);
  colt_chain_destroy (writer);
}

static void
test_snapshot_too_old_for_log (struct ColtSnapshotFixture *fixture,
                               gconstpointer data)
{
  (void)data;
  g_assert_false (colt_chain_set_first_offset (fixture->reader, 6));
  g_assert_cmpint (apply_record (fixture->reader, 6, COLT_RECORD_SNAPSHOT,
                                 copy_snapshot (fixture),
                                 fixture->snapshot_size),
                   ==, COLT_CHAIN_GAP);
  g_assert_true (colt_chain_needs_snapshot (fixture->reader));
  g_assert_null (colt_chain_bundle (fixture->reader));
}

static void
test_snapshot_in_whole_log_is_ignored (struct ColtSnapshotFixture *fixture,
                                       gconstpointer data)
{
  (void)data;
  g_assert_cmpint (apply_record (fixture->chain, 5, COLT_RECORD_SNAPSHOT,
                                 copy_snapshot (fixture),
                                 fixture->snapshot_size),
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
  apply_bundle (fixture->reader, 0, fixture->versions[0], NULL,
                &fixture->operators[0], &fixture->verdict);
  colt_chain_apply_snapshot (fixture->reader, fixture->snapshot,
                             fixture->snapshot_size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_ADOPTED);
  g_assert_cmpint (colt_bundle_version (colt_chain_bundle (fixture->reader)),
                   ==, 4);
  colt_chain_apply_snapshot (fixture->reader, fixture->snapshot,
                             fixture->snapshot_size, &fixture->verdict);
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
  apply_bundle (lagging, 0, fixture->versions[0], NULL, &fixture->operators[0],
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
  struct ColtOperatorPair other_operator = make_operator (9);
  struct ColtChain *forger = colt_chain_create (&other_operator.key, 1);
  struct ColtBundle *forged = make_next_bundle (NULL, &other_operator, 1, 1);
  uint8_t *body;
  size_t size;

  (void)data;
  apply_bundle (forger, 0, forged, NULL, &other_operator, &fixture->verdict);
  body = colt_chain_encode_snapshot (forger, NULL, 0, &size);
  colt_chain_apply_snapshot (fixture->reader, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_UNSIGNED);
  g_assert_null (colt_chain_bundle (fixture->reader));
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
  for (size = 0; size < fixture->snapshot_size; size++)
    {
      colt_chain_apply_snapshot (fixture->reader, fixture->snapshot, size,
                                 &fixture->verdict);
      g_assert_cmpint (fixture->verdict.status, !=, COLT_CHAIN_ADOPTED);
    }
  g_assert_null (colt_chain_bundle (fixture->reader));
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
add_snapshot_tests (void)
{
  ADD ("retention", test_snapshot_after_lost_records);
  ADD ("kept", test_pending_records_are_applied);
  ADD ("too_old", test_snapshot_too_old_for_log);
  ADD ("whole_log", test_snapshot_in_whole_log_is_ignored);
  ADD ("peer", test_peer_snapshot);
  ADD ("peer_never_reverts", test_peer_snapshot_never_reverts);
  ADD ("forged", test_forged_snapshot);
  ADD ("truncated", test_truncated_snapshots);
  g_test_add_func ("/bundle/snapshot/due", test_snapshot_due);
}
