#include <stdlib.h>
#include <string.h>

#include "test_bundle.h"

/* A fold with a bundle in force and one secret. */
struct ColtKeyFixture
{
  struct ColtOperatorPair pair;
  struct ColtOperatorPair stranger;
  struct ColtBundle *bundle;
  struct ColtChain *chain;
  struct ColtHash hash;
  uint64_t offset;
};

static const char secret[] = "a secret";

static void
set_up (struct ColtKeyFixture *fixture, gconstpointer data)
{
  struct ColtChainVerdict verdict;

  (void)data;
  fixture->pair = test_operator (1);
  fixture->stranger = test_operator (2);
  fixture->bundle = test_next (NULL, &fixture->pair, 1, 1);
  fixture->chain = colt_chain_create (&fixture->pair.key, 1);
  fixture->hash = colt_secret_hash (secret);
  test_take (fixture->chain, 0, fixture->bundle, NULL, &fixture->pair,
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
give (struct ColtKeyFixture *fixture,
      const char *team,
      const struct ColtOperatorPair *pair)
{
  size_t size;
  uint8_t *body
      = colt_key_give_encode ("web", team, &fixture->hash, pair, &size);

  return test_take_body (fixture->chain, fixture->offset++,
                         COLT_RECORD_KEY_GIVE, body, size);
}

static enum ColtChainStatus
withdraw (struct ColtKeyFixture *fixture, const struct ColtOperatorPair *pair)
{
  size_t size;
  uint8_t *body = colt_key_withdraw_encode (&fixture->hash, pair, &size);

  return test_take_body (fixture->chain, fixture->offset++,
                         COLT_RECORD_KEY_WITHDRAW, body, size);
}

static enum ColtChainStatus
relay (struct ColtKeyFixture *fixture, const struct ColtOperatorPair *pair)
{
  struct ColtChainVerdict verdict;
  size_t size;
  uint8_t *body = colt_key_withdraw_encode (&fixture->hash, pair, &size);

  colt_chain_apply_relayed (fixture->chain, body, size, &verdict);
  free (body);
  return verdict.status;
}

static enum ColtKeyState
check (struct ColtKeyFixture *fixture, uint32_t *team)
{
  return colt_keyring_check (colt_chain_keyring (fixture->chain), secret, team);
}

/* Decides on the secret as an instance would that knows only a snapshot. */
static enum ColtKeyState
check_by_snapshot (struct ColtKeyFixture *fixture)
{
  struct ColtChain *other = colt_chain_create (&fixture->pair.key, 1);
  struct ColtChainVerdict verdict;
  enum ColtKeyState state;
  uint32_t team;
  size_t size;
  uint8_t *body = colt_chain_encode_snapshot (fixture->chain, NULL, 0, &size);

  colt_chain_apply_snapshot (other, body, size, &verdict);
  g_assert_cmpint (verdict.status, ==, COLT_CHAIN_ADOPTED);
  state = colt_keyring_check (colt_chain_keyring (other), secret, &team);
  colt_chain_destroy (other);
  free (body);
  return state;
}

static void
test_give_and_withdraw (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_UNKNOWN);
  g_assert_cmpint (give (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_LIVE);
  g_assert_cmpstr (colt_bundle_team (fixture->bundle, team)->name, ==,
                   "renders");
  g_assert_cmpuint (
      colt_keyring_live_count (colt_chain_keyring (fixture->chain)), ==, 2);
  g_assert_cmpint (withdraw (fixture, &fixture->pair), ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_WITHDRAWN);
  g_assert_cmpuint (team, ==, COLT_BUNDLE_NO_INDEX);
}

static void
test_withdrawn_never_returns (struct ColtKeyFixture *fixture,
                              gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (withdraw (fixture, &fixture->pair), ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (withdraw (fixture, &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (give (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_WITHDRAWN);
}

static void
test_relayed_in_any_order (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;

  (void)data;
  g_assert_cmpint (relay (fixture, &fixture->pair), ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (relay (fixture, &fixture->pair), ==, COLT_CHAIN_DUPLICATE);
  /* The grant stands before the withdrawal in the log, but is read later. */
  g_assert_cmpint (give (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_WITHDRAWN);
  /* A snapshot holds what the log says up to its offset, and no more. */
  g_assert_cmpint (check_by_snapshot (fixture), ==, COLT_KEY_LIVE);
  g_assert_cmpint (withdraw (fixture, &fixture->pair), ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check_by_snapshot (fixture), ==, COLT_KEY_WITHDRAWN);
  g_assert_cmpint (relay (fixture, &fixture->pair), ==, COLT_CHAIN_DUPLICATE);
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
  g_assert_cmpint (give (fixture, "renders", &fixture->stranger), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (relay (fixture, &fixture->stranger), ==,
                   COLT_CHAIN_UNSIGNED);
  g_assert_cmpint (give (fixture, "nobody", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  /* A grant whose body is taken for a withdrawal, and the other way round. */
  body = colt_key_give_encode ("web", "renders", &fixture->hash, &fixture->pair,
                               &size);
  g_assert_cmpint (test_take_body (fixture->chain, fixture->offset++,
                                   COLT_RECORD_KEY_WITHDRAW, body, size),
                   ==, COLT_CHAIN_MALFORMED);
  body = colt_key_withdraw_encode (&fixture->hash, &fixture->pair, &size);
  g_assert_cmpint (test_take_body (fixture->chain, fixture->offset++,
                                   COLT_RECORD_KEY_GIVE, body, size),
                   ==, COLT_CHAIN_MALFORMED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_UNKNOWN);
}

static void
test_key_of_two_teams (struct ColtKeyFixture *fixture, gconstpointer data)
{
  uint32_t team;

  (void)data;
  give (fixture, "renders", &fixture->pair);
  g_assert_cmpint (give (fixture, "renders", &fixture->pair), ==,
                   COLT_CHAIN_DUPLICATE);
  g_assert_cmpint (give (fixture, "quotes", &fixture->pair), ==,
                   COLT_CHAIN_REFUSED);
  check (fixture, &team);
  g_assert_cmpstr (colt_bundle_team (fixture->bundle, team)->name, ==,
                   "renders");
}

static void
test_team_leaves_bundle (struct ColtKeyFixture *fixture, gconstpointer data)
{
  char *text = test_text (2, colt_bundle_hash (fixture->bundle), &fixture->pair,
                          1, test_body);
  struct ColtBundle *second = colt_bundle_parse (text, NULL, NULL);
  struct ColtChainVerdict verdict;
  uint32_t team;

  (void)data;
  give (fixture, "extra", &fixture->pair);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_LIVE);
  g_assert_cmpint (test_take (fixture->chain, fixture->offset++, second, NULL,
                              &fixture->pair, &verdict),
                   ==, COLT_CHAIN_ACCEPTED);
  g_assert_cmpint (check (fixture, &team), ==, COLT_KEY_UNKNOWN);
  colt_bundle_destroy (second);
  g_free (text);
}

static void
test_secret_text (void)
{
  const uint8_t random[COLT_SECRET_RANDOM_SIZE] = { 0xab, 1 };
  char text[COLT_SECRET_TEXT_SIZE];
  char *endless = g_strnfill (COLT_SECRET_MAX + 1, 'x');
  struct ColtOperatorPair pair = test_operator (1);
  struct ColtChain *chain = colt_chain_create (&pair.key, 1);
  uint32_t team;

  colt_secret_format (random, text);
  g_assert_cmpuint (strlen (text), ==, COLT_SECRET_TEXT_SIZE - 1);
  g_assert_true (g_str_has_prefix (text, "colt-ab0100"));
  g_assert_cmpint (
      colt_keyring_check (colt_chain_keyring (chain), endless, &team), ==,
      COLT_KEY_UNKNOWN);
  g_assert_cmpint (colt_keyring_check (colt_chain_keyring (chain), "", &team),
                   ==, COLT_KEY_UNKNOWN);
  colt_chain_destroy (chain);
  g_free (endless);
}

#define ADD(name, function)                                                    \
  g_test_add ("/bundle/keyring/" name, struct ColtKeyFixture, NULL, set_up,    \
              function, tear_down)

void
test_add_keyring (void)
{
  ADD ("give_withdraw", test_give_and_withdraw);
  ADD ("never_returns", test_withdrawn_never_returns);
  ADD ("relayed", test_relayed_in_any_order);
  ADD ("signatures", test_key_signatures);
  ADD ("two_teams", test_key_of_two_teams);
  ADD ("team_leaves", test_team_leaves_bundle);
  g_test_add_func ("/bundle/keyring/secret", test_secret_text);
}
