#include "test_bundle.h"

#include <inttypes.h>
#include <stdlib.h>

#include "coltsfootstile/guard.h"

const char bundle_body[]
    = "[organisation hire]\ntitle = Hire & Co\n"
      "[team quotes]\norganisation = hire\nweight = 3\nlimit_tasks = 100\n"
      "[team renders]\norganisation = hire\nweight = 1\nlimit_tasks = 20\n"
      "limit_cores_milli = 64000\nlimit_accelerators = 4\n"
      "retries_per_minute = 5\n"
      "[key quotes-web]\nteam = quotes\n"
      "hash = 11111111111111111111111111111111"
      "11111111111111111111111111111111\n"
      "[queue quotes]\nteam = quotes\nopen = no\nmax_waiting = 50\n"
      "[queue public]\nteam = renders\nopen = yes\nmax_waiting = 5\n"
      "[work interactive]\npolicy = fastest\ndeadline_ms = 2000\n"
      "priority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "checkpoint = yes\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 2]\nregion = perth\n[zone 1]\nregion = perth\n";

struct ColtOperatorPair
make_operator (uint8_t seed)
{
  uint8_t bytes[32] = { seed };
  struct ColtOperatorPair pair;

  colt_operator_pair_make (&pair, bytes);
  return pair;
}

char *
make_bundle_text (int64_t version,
                  const struct ColtHash *parent,
                  const struct ColtOperatorPair *operators,
                  size_t count,
                  const char *body)
{
  GString *text = g_string_new ("[bundle]\n");
  char hex[COLT_HASH_TEXT_SIZE];
  size_t i;

  g_string_append_printf (text, "version = %" PRId64 "\nparent = %s\n", version,
                          parent != NULL ? colt_hash_format (parent, hex)
                                         : "none");
  for (i = 0; i < count; i++)
    g_string_append_printf (text, "operator = %s\n",
                            colt_operator_key_format (&operators[i].key, hex));
  g_string_append (text, body);
  return g_string_free (text, FALSE);
}

struct ColtBundle *
make_next_bundle (const struct ColtBundle *parent,
                  const struct ColtOperatorPair *operators,
                  size_t count,
                  int limit)
{
  char *body = g_strdup_printf ("%s[team extra]\norganisation = hire\n"
                                "weight = 1\nlimit_tasks = %d\n",
                                bundle_body, limit);
  int64_t version = parent != NULL ? colt_bundle_version (parent) + 1 : 1;
  char *text = make_bundle_text (
      version, parent != NULL ? colt_bundle_hash (parent) : NULL, operators,
      count, body);
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);

  g_assert_nonnull (bundle);
  g_free (text);
  g_free (body);
  return bundle;
}

enum ColtChainStatus
apply_bundle (struct ColtChain *chain,
              uint64_t offset,
              const struct ColtBundle *bundle,
              const struct ColtBundle *delta_parent,
              const struct ColtOperatorPair *signer,
              struct ColtChainVerdict *verdict)
{
  struct ColtLogPosition position = { offset, 0 };
  struct ColtSignature signature;
  size_t size;
  uint8_t *body;

  colt_bundle_sign (bundle, signer, &signature);
  body = colt_bundle_encode (bundle, &signature, delta_parent, &size);
  colt_chain_apply_record (chain, position, COLT_RECORD_BUNDLE, body, size,
                           verdict);
  colt_chain_advance (chain, offset + 1);
  free (body);
  return verdict->status;
}

enum ColtChainStatus
apply_record (struct ColtChain *chain,
              uint64_t offset,
              enum ColtRecordKind kind,
              uint8_t *body,
              size_t size)
{
  struct ColtLogPosition position = { offset, 0 };
  struct ColtChainVerdict verdict;

  colt_chain_apply_record (chain, position, kind, body, size, &verdict);
  colt_chain_advance (chain, offset + 1);
  free (body);
  return verdict.status;
}

#ifdef COLT_GUARD_SWITCHES
static void
test_guard_switches (void)
{
  int i;

  if (g_getenv (COLT_GUARD_VARIABLE) != NULL)
    {
      g_test_skip ("a guard is switched off by the environment");
      return;
    }
  for (i = 0; i < COLT_GUARD_COUNT; i++)
    {
      g_assert_nonnull (colt_guard_string[i]);
      g_assert_true (colt_guard_on (i));
      colt_guard_switch_off (i);
      g_assert_false (colt_guard_on (i));
    }
  colt_guard_reset ();
  g_assert_true (colt_guard_on (COLT_GUARD_SERVER_EPOCH));
}
#endif

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_true (colt_sign_init (NULL));
#ifdef COLT_GUARD_SWITCHES
  g_test_add_func ("/bundle/guard/switches", test_guard_switches);
#endif
  add_parse_tests ();
  add_chain_tests ();
  add_snapshot_tests ();
  add_keyring_tests ();
  add_freshness_tests ();
  add_peers_tests ();
  return g_test_run ();
}
