#include <stdlib.h>
#include <string.h>

#include "test_bundle.h"

/* A chain with a bundle in force. No key with the secret is declared or
   granted. */
struct ColtKeyFixture
{
  struct ColtOperatorPair pair;           /* the operator of the bundle */
  struct ColtOperatorPair other_operator; /* not an operator of the bundle */
  struct ColtBundle *bundle;
  struct ColtChain *chain;
  struct ColtHash hash; /* of the secret */
  uint64_t offset;      /* of the next record */
};

static const char secret[] = "a secret";

static void
set_up (struct ColtKeyFixture *fixture, gconstpointer data)
{
  struct ColtChainVerdict verdict;

  (void)data;
  fixture->pair = make_operator (1);
  fixture->other_operator = make_operator (2);
  fixture->bundle = make_next_bundle (NULL, &fixture->pair, 1, 1);
  fixture->chain = colt_chain_create (&fixture->pair.key, 1);
  fixture->hash = colt_secret_hash (secret);
  apply_bundle (fixture->chain, 0, fixture->bundle, NULL, &fixture->pair,
                &verdict);
  fixture->offset = 1;
}

static void
tear_down (struct ColtKeyFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_chain_destroy (fixture->chain);
  colt_bundle_destroy (fixture->bundle);
}

static enum ColtChainStatus
grant_key (struct ColtKeyFixture *fixture,
           const char *team,
           const struct ColtOperatorPair *pair)
{
  size_t size;
  uint8_t *body
      = colt_key_give_encode ("web", team, &fixture->hash, pair, &size);

  return apply_record (fixture->chain, fixture->offset++, COLT_RECORD_KEY_GIVE,
                       body, size);
}

static enum ColtChainStatus
withdraw_key (struct ColtKeyFixture *fixture,
              const struct ColtOperatorPair *pair)
{
  size_t size;
  uint8_t *body = colt_key_withdraw_encode (&fixture->hash, pair, &size);

  return apply_record (fixture->chain, fixture->offset++,
                       COLT_RECORD_KEY_WITHDRAW, body, size);
}

static enum ColtChainStatus
relay_withdrawal (struct ColtKeyFixture *fixture,
                  const struct ColtOperatorPair *pair)
{
  struct ColtChainVerdict verdict;
  size_t size;
  uint8_t *body = colt_key_withdraw_encode (&fixture->hash, pair, &size);

  colt_chain_apply_relayed (fixture->chain, body, size, &verdict);
  free (body);
  return verdict.status;
}

static enum ColtKeyState
check_key (struct ColtKeyFixture *fixture, uint32_t *team)
{
  return colt_keyring_check (colt_chain_keyring (fixture->chain), secret, team);
}

/* Returns the state of the key in a new chain that has applied only a snapshot
   of the fixture's chain. */
static enum ColtKeyState
check_key_in_snapshot (struct ColtKeyFixture *fixture)
{
  struct ColtChain *restored = colt_chain_create (&fixture->pair.key, 1);
  struct ColtChainVerdict verdict;
  enum ColtKeyState state;
  uint32_t team;
  size_t size;
  uint8_t *body = colt_chain_encode_snapshot (fixture->chain, NULL, 0, &size);

  colt_chain_apply_snapshot (restored, body, size, &verdict);
  g_assert_cmpint (verdict.status, ==, COLT_CHAIN_ADOPTED);
  state = colt_keyring_check (colt_chain_keyring (restored), secret, &team);
  colt_chain_destroy (restored);
  free (body);
  return state;
}

static void
test_grant_and_withdraw (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_UNKNOWN);
  g_assert_cmpint (grant_key (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_LIVE);
  g_assert_cmpstr (colt_bundle_team (fixture->bundle, team)->name, ==,
                   "renders");
  g_assert_cmpuint (
      colt_keyring_live_count (colt_chain_keyring (fixture->chain)), ==, 2);
  g_assert_cmpint (withdraw_key (fixture, &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_WITHDRAWN);
  g_assert_cmpuint (team, ==, COLT_BUNDLE_NO_INDEX);
}

static void
test_withdrawal_is_permanent (struct ColtKeyFixture *fixture,
                              gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (withdraw_key (fixture, &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (withdraw_key (fixture, &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (grant_key (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_WITHDRAWN);
}

static void
test_relayed_in_any_order (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (relay_withdrawal (fixture, &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (relay_withdrawal (fixture, &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  /* The grant precedes the withdrawal in the log, but is read after a peer has
     relayed the withdrawal. */
  g_assert_cmpint (grant_key (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_WITHDRAWN);
  /* A snapshot contains the records of the log before its offset, but not the
     relayed withdrawal. */
  g_assert_cmpint (check_key_in_snapshot (fixture), ==, COLT_KEY_LIVE);
  g_assert_cmpint (withdraw_key (fixture, &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_key_in_snapshot (fixture), ==, COLT_KEY_WITHDRAWN);
  g_assert_cmpint (relay_withdrawal (fixture, &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  g_assert_cmpuint (
      colt_keyring_withdrawn_count (colt_chain_keyring (fixture->chain)), ==,
      1);
}

static void
test_key_signatures (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;
  size_t size;
  uint8_t *body;

  (void)data;
  g_assert_cmpint (grant_key (fixture, "renders", &fixture->other_operator), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (relay_withdrawal (fixture, &fixture->other_operator), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (grant_key (fixture, "nobody", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  /* The body of a grant is malformed as a withdrawal, and vice versa. */
  body = colt_key_give_encode ("web", "renders", &fixture->hash, &fixture->pair,
                               &size);
  g_assert_cmpint (apply_record (fixture->chain, fixture->offset++,
                                 COLT_RECORD_KEY_WITHDRAW, body, size),
                   ==, COLT_CHAIN_MALFORMED);
  body = colt_key_withdraw_encode (&fixture->hash, &fixture->pair, &size);
  g_assert_cmpint (apply_record (fixture->chain, fixture->offset++,
                                 COLT_RECORD_KEY_GIVE, body, size),
                   ==, COLT_CHAIN_MALFORMED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_UNKNOWN);
}

static void
test_key_granted_to_two_teams (struct ColtKeyFixture *fixture,
                               gconstpointer data)
{
  uint32_t team;

  (void)data;
  grant_key (fixture, "renders", &fixture->pair);
  g_assert_cmpint (grant_key (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (grant_key (fixture, "quotes", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  check_key (fixture, &team);
  g_assert_cmpstr (colt_bundle_team (fixture->bundle, team)->name, ==,
                   "renders");
}

static void
test_team_removed_from_bundle (struct ColtKeyFixture *fixture,
                               gconstpointer data)
{
  char *text = make_bundle_text (2, colt_bundle_hash (fixture->bundle),
                                 &fixture->pair, 1, bundle_body);
  struct ColtBundle *second = colt_bundle_parse (text, NULL, NULL);
  struct ColtChainVerdict verdict;
  uint32_t team;

  (void)data;
  grant_key (fixture, "extra", &fixture->pair);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_LIVE);
  g_assert_cmpint (apply_bundle (fixture->chain, fixture->offset++, second,
                                 NULL, &fixture->pair, &verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_key (fixture, &team), ==, COLT_KEY_UNKNOWN);
  colt_bundle_destroy (second);
  g_free (text);
}

static void
test_secret_text (void)
{
  const uint8_t random[COLT_SECRET_RANDOM_SIZE] = { 0xab, 1 };
  char text[COLT_SECRET_TEXT_SIZE];
  char *too_long = g_strnfill (COLT_SECRET_MAX + 1, 'x');
  struct ColtOperatorPair pair = make_operator (1);
  struct ColtChain *chain = colt_chain_create (&pair.key, 1);
  uint32_t team;

  colt_secret_format (random, text);
  g_assert_cmpuint (strlen (text), ==, COLT_SECRET_TEXT_SIZE - 1);
  g_assert_true (g_str_has_prefix (text, "colt-ab0100"));
  g_assert_cmpint (
      colt_keyring_check (colt_chain_keyring (chain), too_long, &team), ==,
      COLT_KEY_UNKNOWN);
  g_assert_cmpint (colt_keyring_check (colt_chain_keyring (chain), "", &team),
                   ==, COLT_KEY_UNKNOWN);
  colt_chain_destroy (chain);
  g_free (too_long);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/keyring/" name, struct ColtKeyFixture, NULL, set_up,    \
              function, tear_down)

void
add_keyring_tests (void)
{
  ADD ("give_withdraw", test_grant_and_withdraw);
  ADD ("withdrawal_permanent", test_withdrawal_is_permanent);
  ADD ("relayed", test_relayed_in_any_order);
  ADD ("signatures", test_key_signatures);
  ADD ("two_teams", test_key_granted_to_two_teams);
  ADD ("team_removed", test_team_removed_from_bundle);
  g_test_add_func ("/bundle/keyring/secret", test_secret_text);
}
