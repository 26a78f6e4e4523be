#include <stdlib.h>

#include "coltsfootstile/bundle_dump.h"
#include "test_bundle.h"

/* A fold, two operators and versions 1 and 2, of which 1 is in force. */
struct ColtChainFixture
{
  struct ColtOperatorPair operators[2];
  struct ColtOperatorPair stranger;
  struct ColtChain *chain;
  struct ColtBundle *first;
  struct ColtBundle *second;
  struct ColtChainVerdict verdict;
};

static void
set_up (struct ColtChainFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->operators[0] = test_operator (1);
  fixture->operators[1] = test_operator (2);
  fixture->stranger = test_operator (3);
  fixture->chain = colt_chain_create (&fixture->operators[0].key, 1);
  fixture->first = test_next (NULL, fixture->operators, 2, 1);
  fixture->second = test_next (fixture->first, fixture->operators, 2, 2);
  g_assert_cmpint (test_take (fixture->chain, 0, fixture->first, NULL,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ACCEPTED);
}

static void
tear_down (struct ColtChainFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_chain_destroy (fixture->chain);
  colt_bundle_destroy (fixture->first);
  colt_bundle_destroy (fixture->second);
}

static enum ColtChainStatus
take (struct ColtChainFixture *fixture,
      uint64_t offset,
      const struct ColtBundle *bundle,
      const struct ColtOperatorPair *signer)
{
  return test_take (fixture->chain, offset, bundle, NULL, signer,
                    &fixture->verdict);
}

static void
assert_in_force (struct ColtChainFixture *fixture,
                 const struct ColtBundle *bundle)
{
  g_assert_true (
      colt_hash_equal (colt_bundle_hash (colt_chain_bundle (fixture->chain)),
                       colt_bundle_hash (bundle)));
}

static void
test_first_needs_operator_of_settings (struct ColtChainFixture *fixture,
                                       gconstpointer data)
{
  struct ColtChain *chain = colt_chain_create (&fixture->operators[0].key, 1);

  (void)data;
  g_assert_cmpint (test_take (chain, 0, fixture->first, NULL,
                              &fixture->operators[1], &fixture->verdict),
                   ==, COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (test_take (chain, 1, fixture->second, NULL,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ORPHAN);
  g_assert_null (colt_chain_bundle (chain));
  colt_chain_destroy (chain);
}

static void
test_racing_operators (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *rival
      = test_next (fixture->first, fixture->operators, 2, 77);

  (void)data;
  g_assert_cmpint (take (fixture, 1, fixture->second, &fixture->operators[1]),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (take (fixture, 2, rival, &fixture->operators[0]), ==,
                   COLT_CHAIN_CONFLICT);
  g_assert_cmpint (fixture->verdict.winner_version, ==, 2);
  g_assert_true (colt_hash_equal (&fixture->verdict.winner,
                                  colt_bundle_hash (fixture->second)));
  g_assert_cmpint (fixture->verdict.error.code, ==, COLT_ERROR_CONFLICT);
  assert_in_force (fixture, fixture->second);
  colt_bundle_destroy (rival);
}

static void
test_old_version_again (struct ColtChainFixture *fixture, gconstpointer data)
{
  (void)data;
  take (fixture, 1, fixture->second, &fixture->operators[0]);
  g_assert_cmpint (take (fixture, 2, fixture->first, &fixture->operators[0]),
                   ==, COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (take (fixture, 3, fixture->second, &fixture->operators[1]),
                   ==, COLT_CHAIN_DUPLICATE);
  assert_in_force (fixture, fixture->second);
  g_assert_cmpuint (colt_chain_bundle_position (fixture->chain).offset, ==, 1);
}

static void
test_rival_of_first (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *rival = test_next (NULL, fixture->operators, 1, 9);

  (void)data;
  g_assert_cmpint (take (fixture, 1, rival, &fixture->operators[0]), ==,
                   COLT_CHAIN_CONFLICT);
  g_assert_cmpint (fixture->verdict.winner_version, ==, 1);
  assert_in_force (fixture, fixture->first);
  colt_bundle_destroy (rival);
}

static void
test_wrong_parent (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *third
      = test_next (fixture->second, fixture->operators, 2, 3);
  char *text = test_text (7, colt_bundle_hash (fixture->first),
                          fixture->operators, 2, test_body);
  struct ColtBundle *skipping = colt_bundle_parse (text, NULL, NULL);

  (void)data;
  g_assert_cmpint (take (fixture, 1, third, &fixture->operators[0]), ==,
                   COLT_CHAIN_ORPHAN);
  g_assert_cmpint (take (fixture, 2, skipping, &fixture->operators[0]), ==,
                   COLT_CHAIN_MALFORMED);
  assert_in_force (fixture, fixture->first);
  colt_bundle_destroy (skipping);
  colt_bundle_destroy (third);
  g_free (text);
}

static void
test_signatures (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtSignature signature;
  struct ColtLogPosition position = { 1, 0 };
  uint8_t *body;
  size_t size;

  (void)data;
  g_assert_cmpint (take (fixture, 1, fixture->second, &fixture->stranger), ==,
                   COLT_CHAIN_UNSIGNED);
  colt_bundle_sign (fixture->second, &fixture->operators[0], &signature);
  signature.bytes[5] ^= 1;
  body = colt_bundle_encode (fixture->second, &signature, NULL, &size);
  position.offset = 2;
  colt_chain_apply_record (fixture->chain, position, COLT_RECORD_BUNDLE, body,
                           size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_UNSIGNED);
  free (body);
  assert_in_force (fixture, fixture->first);
}

static void
test_operators_of_parent_sign (struct ColtChainFixture *fixture,
                               gconstpointer data)
{
  struct ColtBundle *second
      = test_next (fixture->first, &fixture->stranger, 1, 2);
  struct ColtBundle *third = test_next (second, &fixture->stranger, 1, 3);

  (void)data;
  g_assert_cmpint (take (fixture, 1, second, &fixture->stranger), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (take (fixture, 2, second, &fixture->operators[1]), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (take (fixture, 3, third, &fixture->operators[1]), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (take (fixture, 4, third, &fixture->stranger), ==,
                   COLT_CHAIN_ACCEPTED);
  colt_bundle_destroy (second);
  colt_bundle_destroy (third);
}

static void
test_doubled_and_lost_records (struct ColtChainFixture *fixture,
                               gconstpointer data)
{
  uint64_t generation = colt_chain_generation (fixture->chain);
  struct ColtBundle *third;

  (void)data;
  g_assert_cmpint (take (fixture, 0, fixture->first, &fixture->operators[0]),
                   ==, COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (take (fixture, 1, fixture->first, &fixture->operators[0]),
                   ==, COLT_CHAIN_DUPLICATE);
  g_assert_cmpuint (colt_chain_generation (fixture->chain), ==, generation);
  /* The record between was lost: nobody takes up what builds on it. */
  third = test_next (fixture->second, fixture->operators, 2, 3);
  g_assert_cmpint (take (fixture, 5, third, &fixture->operators[0]), ==,
                   COLT_CHAIN_ORPHAN);
  g_assert_false (colt_chain_set_first_offset (fixture->chain, 9));
  g_assert_cmpint (take (fixture, 9, fixture->second, &fixture->operators[0]),
                   ==, COLT_CHAIN_IGNORED);
  assert_in_force (fixture, fixture->first);
  colt_bundle_destroy (third);
}

static void
test_deltas (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *other
      = test_next (fixture->first, fixture->operators, 2, 55);
  struct ColtSignature signature;
  size_t whole;
  size_t delta;

  (void)data;
  colt_bundle_sign (fixture->second, &fixture->operators[0], &signature);
  free (colt_bundle_encode (fixture->second, &signature, NULL, &whole));
  free (
      colt_bundle_encode (fixture->second, &signature, fixture->first, &delta));
  g_assert_cmpuint (delta, <, whole);
  g_assert_cmpint (test_take (fixture->chain, 1, fixture->second, other,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  assert_in_force (fixture, fixture->second);
  colt_bundle_destroy (other);
}

static void
test_delta_to_another_text (struct ColtChainFixture *fixture,
                            gconstpointer data)
{
  /* The delta to SECOND lacks the section that FIRST and SECOND differ in. */
  struct ColtBundle *third
      = test_next (fixture->first, fixture->operators, 2, 2);
  char *text = test_text (2, colt_bundle_hash (fixture->first),
                          fixture->operators, 2, test_body);
  struct ColtBundle *shrunk = colt_bundle_parse (text, NULL, NULL);

  (void)data;
  g_assert_cmpint (test_take (fixture->chain, 1, third, fixture->second,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_MISMATCH);
  assert_in_force (fixture, fixture->first);
  g_assert_cmpint (test_take (fixture->chain, 2, shrunk, fixture->first,
                              &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpuint (colt_bundle_team_count (colt_chain_bundle (fixture->chain)),
                    ==, 2);
  colt_bundle_destroy (third);
  colt_bundle_destroy (shrunk);
  g_free (text);
}

static void
test_update_from_peer (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtChain *peer = colt_chain_create (&fixture->operators[0].key, 1);
  uint8_t *body;
  size_t size;

  (void)data;
  test_take (peer, 0, fixture->first, NULL, &fixture->operators[0],
             &fixture->verdict);
  g_assert_null (colt_chain_encode_update (peer, 1, &size));
  test_take (peer, 3, fixture->second, fixture->first, &fixture->operators[0],
             &fixture->verdict);
  colt_chain_advance (peer, 9);
  body = colt_chain_encode_update (peer, 1, &size);
  colt_chain_apply_update (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_ACCEPTED);
  assert_in_force (fixture, fixture->second);
  g_assert_cmpuint (colt_chain_next_offset (fixture->chain), ==, 9);
  g_assert_cmpuint (colt_chain_bundle_position (fixture->chain).offset, ==, 3);
  colt_chain_apply_update (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_DUPLICATE);
  /* One that has read less than the update builds on. */
  colt_chain_destroy (fixture->chain);
  fixture->chain = colt_chain_create (&fixture->operators[0].key, 1);
  colt_chain_apply_update (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_GAP);
  g_assert_null (colt_chain_bundle (fixture->chain));
  free (body);
  colt_chain_destroy (peer);
}

static void
test_dump (struct ColtChainFixture *fixture, gconstpointer data)
{
  json_t *dump = colt_chain_dump (fixture->chain);
  char hex[COLT_HASH_TEXT_SIZE];

  (void)data;
  g_assert_cmpint (json_integer_value (json_object_get (dump, "version")), ==,
                   1);
  g_assert_cmpstr (json_string_value (json_object_get (dump, "hash")), ==,
                   colt_hash_format (colt_bundle_hash (fixture->first), hex));
  g_assert_cmpuint (json_array_size (json_object_get (dump, "keys")), ==, 1);
  g_assert_cmpuint (json_array_size (json_object_get (dump, "operators")), ==,
                    2);
  json_decref (dump);
}

static void
test_malformed_record (struct ColtChainFixture *fixture, gconstpointer data)
{
  static const uint8_t junk[] = { 0xff, 0x00, 0x13 };
  struct ColtLogPosition position = { 1, 0 };

  (void)data;
  colt_chain_apply_record (fixture->chain, position, COLT_RECORD_BUNDLE, junk,
                           sizeof junk, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_MALFORMED);
  position.index = 1;
  colt_chain_apply_record (fixture->chain, position, COLT_RECORD_BUNDLE, junk,
                           0, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_MALFORMED);
  assert_in_force (fixture, fixture->first);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/chain/" name, struct ColtChainFixture, NULL, set_up,    \
              function, tear_down)

void
test_add_chain (void)
{
  ADD ("bootstrap", test_first_needs_operator_of_settings);
  ADD ("race", test_racing_operators);
  ADD ("old_again", test_old_version_again);
  ADD ("rival_of_first", test_rival_of_first);
  ADD ("wrong_parent", test_wrong_parent);
  ADD ("signatures", test_signatures);
  ADD ("operators_change", test_operators_of_parent_sign);
  ADD ("doubled_lost", test_doubled_and_lost_records);
  ADD ("delta", test_deltas);
  ADD ("delta_mismatch", test_delta_to_another_text);
  ADD ("malformed", test_malformed_record);
  ADD ("update", test_update_from_peer);
  ADD ("dump", test_dump);
}
