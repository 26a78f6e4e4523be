#include <stdlib.h>

#include "coltsfootstile/bundle_dump.h"
#include "test_bundle.h"

/* A chain in which version 1 of a bundle is in force. Version 2 is valid, but
   not applied. Both versions name the same two operators. */
struct ColtChainFixture
{
  struct ColtOperatorPair operators[2];
  struct ColtOperatorPair other_operator; /* of neither version */
  struct ColtChain *chain;
  struct ColtBundle *first;
  struct ColtBundle *second;
  struct ColtChainVerdict verdict;
};

static void
set_up (struct ColtChainFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->operators[0] = make_operator (1);
  fixture->operators[1] = make_operator (2);
  fixture->other_operator = make_operator (3);
  fixture->chain = colt_chain_create (&fixture->operators[0].key, 1);
  fixture->first = make_next_bundle (NULL, fixture->operators, 2, 1);
  fixture->second = make_next_bundle (fixture->first, fixture->operators, 2, 2);
  g_assert_cmpint (apply_bundle (fixture->chain, 0, fixture->first, NULL,
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
apply_version (struct ColtChainFixture *fixture,
               uint64_t offset,
               const struct ColtBundle *bundle,
               const struct ColtOperatorPair *signer)
{
  return apply_bundle (fixture->chain, offset, bundle, NULL, signer,
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
test_first_version_needs_bootstrap_operator (struct ColtChainFixture *fixture,
                                             gconstpointer data)
{
  struct ColtChain *chain = colt_chain_create (&fixture->operators[0].key, 1);

  (void)data;
  g_assert_cmpint (apply_bundle (chain, 0, fixture->first, NULL,
                                 &fixture->operators[1], &fixture->verdict),
                   ==, COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (apply_bundle (chain, 1, fixture->second, NULL,
                                 &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ORPHAN);
  g_assert_null (colt_chain_bundle (chain));
  colt_chain_destroy (chain);
}

static void
test_racing_operators (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *conflicting
      = make_next_bundle (fixture->first, fixture->operators, 2, 77);

  (void)data;
  g_assert_cmpint (
      apply_version (fixture, 1, fixture->second, &fixture->operators[1]), ==,
      COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (
      apply_version (fixture, 2, conflicting, &fixture->operators[0]), ==,
      COLT_CHAIN_CONFLICT);
  g_assert_cmpint (fixture->verdict.winner_version, ==, 2);
  g_assert_true (colt_hash_equal (&fixture->verdict.winner,
                                  colt_bundle_hash (fixture->second)));
  g_assert_cmpint (fixture->verdict.error.code, ==, COLT_ERROR_CONFLICT);
  assert_in_force (fixture, fixture->second);
  colt_bundle_destroy (conflicting);
}

static void
test_repeated_versions (struct ColtChainFixture *fixture, gconstpointer data)
{
  (void)data;
  apply_version (fixture, 1, fixture->second, &fixture->operators[0]);
  g_assert_cmpint (
      apply_version (fixture, 2, fixture->first, &fixture->operators[0]), ==,
      COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (
      apply_version (fixture, 3, fixture->second, &fixture->operators[1]), ==,
      COLT_CHAIN_DUPLICATE);
  assert_in_force (fixture, fixture->second);
  g_assert_cmpuint (colt_chain_bundle_position (fixture->chain).offset, ==, 1);
}

static void
test_conflict_with_first_version (struct ColtChainFixture *fixture,
                                  gconstpointer data)
{
  struct ColtBundle *conflicting
      = make_next_bundle (NULL, fixture->operators, 1, 9);

  (void)data;
  g_assert_cmpint (
      apply_version (fixture, 1, conflicting, &fixture->operators[0]), ==,
      COLT_CHAIN_CONFLICT);
  g_assert_cmpint (fixture->verdict.winner_version, ==, 1);
  assert_in_force (fixture, fixture->first);
  colt_bundle_destroy (conflicting);
}

static void
test_wrong_parent (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *third
      = make_next_bundle (fixture->second, fixture->operators, 2, 3);
  char *text = make_bundle_text (7, colt_bundle_hash (fixture->first),
                                 fixture->operators, 2, bundle_body);
  struct ColtBundle *skipping = colt_bundle_parse (text, NULL, NULL);

  (void)data;
  g_assert_cmpint (apply_version (fixture, 1, third, &fixture->operators[0]),
                   ==, COLT_CHAIN_ORPHAN);
  g_assert_cmpint (apply_version (fixture, 2, skipping, &fixture->operators[0]),
                   ==, COLT_CHAIN_MALFORMED);
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
  g_assert_cmpint (
      apply_version (fixture, 1, fixture->second, &fixture->other_operator), ==,
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
test_signer_must_be_operator_of_parent (struct ColtChainFixture *fixture,
                                        gconstpointer data)
{
  struct ColtBundle *second
      = make_next_bundle (fixture->first, &fixture->other_operator, 1, 2);
  struct ColtBundle *third
      = make_next_bundle (second, &fixture->other_operator, 1, 3);

  (void)data;
  g_assert_cmpint (apply_version (fixture, 1, second, &fixture->other_operator),
                   ==, COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (apply_version (fixture, 2, second, &fixture->operators[1]),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (apply_version (fixture, 3, third, &fixture->operators[1]),
                   ==, COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (apply_version (fixture, 4, third, &fixture->other_operator),
                   ==, COLT_CHAIN_ACCEPTED);
  colt_bundle_destroy (second);
  colt_bundle_destroy (third);
}

static void
test_duplicate_and_lost_records (struct ColtChainFixture *fixture,
                                 gconstpointer data)
{
  uint64_t generation = colt_chain_generation (fixture->chain);
  struct ColtBundle *third;

  (void)data;
  g_assert_cmpint (
      apply_version (fixture, 0, fixture->first, &fixture->operators[0]), ==,
      COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (
      apply_version (fixture, 1, fixture->first, &fixture->operators[0]), ==,
      COLT_CHAIN_DUPLICATE);
  g_assert_cmpuint (colt_chain_generation (fixture->chain), ==, generation);
  /* Version 3 is an orphan because the record of version 2 was lost. */
  third = make_next_bundle (fixture->second, fixture->operators, 2, 3);
  g_assert_cmpint (apply_version (fixture, 5, third, &fixture->operators[0]),
                   ==, COLT_CHAIN_ORPHAN);
  g_assert_false (colt_chain_set_first_offset (fixture->chain, 9));
  g_assert_cmpint (
      apply_version (fixture, 9, fixture->second, &fixture->operators[0]), ==,
      COLT_CHAIN_IGNORED);
  assert_in_force (fixture, fixture->first);
  colt_bundle_destroy (third);
}

static void
test_deltas (struct ColtChainFixture *fixture, gconstpointer data)
{
  struct ColtBundle *sibling
      = make_next_bundle (fixture->first, fixture->operators, 2, 55);
  struct ColtSignature signature;
  size_t full_size;
  size_t delta_size;

  (void)data;
  colt_bundle_sign (fixture->second, &fixture->operators[0], &signature);
  free (colt_bundle_encode (fixture->second, &signature, NULL, &full_size));
  free (colt_bundle_encode (fixture->second, &signature, fixture->first,
                            &delta_size));
  g_assert_cmpuint (delta_size, <, full_size);
  g_assert_cmpint (apply_bundle (fixture->chain, 1, fixture->second, sibling,
                                 &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  assert_in_force (fixture, fixture->second);
  colt_bundle_destroy (sibling);
}

static void
test_delta_to_wrong_parent (struct ColtChainFixture *fixture,
                            gconstpointer data)
{
  /* The copy has the same text as version 2. A delta to version 2 is therefore
     empty and lacks the section that differs between versions 1 and 2. */
  struct ColtBundle *copy
      = make_next_bundle (fixture->first, fixture->operators, 2, 2);
  char *text = make_bundle_text (2, colt_bundle_hash (fixture->first),
                                 fixture->operators, 2, bundle_body);
  struct ColtBundle *shrunk = colt_bundle_parse (text, NULL, NULL);

  (void)data;
  g_assert_cmpint (apply_bundle (fixture->chain, 1, copy, fixture->second,
                                 &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_MISMATCH);
  assert_in_force (fixture, fixture->first);
  g_assert_cmpint (apply_bundle (fixture->chain, 2, shrunk, fixture->first,
                                 &fixture->operators[0], &fixture->verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpuint (colt_bundle_team_count (colt_chain_bundle (fixture->chain)),
                    ==, 2);
  colt_bundle_destroy (copy);
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
  apply_bundle (peer, 0, fixture->first, NULL, &fixture->operators[0],
                &fixture->verdict);
  g_assert_null (colt_chain_encode_update (peer, 1, &size));
  apply_bundle (peer, 3, fixture->second, fixture->first,
                &fixture->operators[0], &fixture->verdict);
  colt_chain_advance (peer, 9);
  body = colt_chain_encode_update (peer, 1, &size);
  colt_chain_apply_update (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_ACCEPTED);
  assert_in_force (fixture, fixture->second);
  g_assert_cmpuint (colt_chain_next_offset (fixture->chain), ==, 9);
  g_assert_cmpuint (colt_chain_bundle_position (fixture->chain).offset, ==, 3);
  colt_chain_apply_update (fixture->chain, body, size, &fixture->verdict);
  g_assert_cmpint (fixture->verdict.status, ==, COLT_CHAIN_DUPLICATE);
  /* The update starts at offset 1; a chain that has read no record lacks the
     record at offset 0. */
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
add_chain_tests (void)
{
  ADD ("bootstrap", test_first_version_needs_bootstrap_operator);
  ADD ("race", test_racing_operators);
  ADD ("repeated", test_repeated_versions);
  ADD ("conflict_with_first", test_conflict_with_first_version);
  ADD ("wrong_parent", test_wrong_parent);
  ADD ("signatures", test_signatures);
  ADD ("operators_change", test_signer_must_be_operator_of_parent);
  ADD ("duplicate_lost", test_duplicate_and_lost_records);
  ADD ("delta", test_deltas);
  ADD ("delta_mismatch", test_delta_to_wrong_parent);
  ADD ("malformed", test_malformed_record);
  ADD ("update", test_update_from_peer);
  ADD ("dump", test_dump);
}
