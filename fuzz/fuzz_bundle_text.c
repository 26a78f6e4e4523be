/* Fuzzes the decoders of bundles and their records with raw input and with
 * edited copies of valid texts, records and snapshots. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_chain.h"

/* Input bytes per edit: two of offset, one new byte. */
#define EDIT_SIZE 3u

enum ColtFuzzMode
{
  MODE_TEXT,
  MODE_EDITED_TEXT,
  MODE_RECORD,
  MODE_EDITED_BUNDLE,
  MODE_EDITED_SNAPSHOT,
  MODE_EDITED_KEY,
  MODE_COUNT
};

static const char valid_text[]
    = "[bundle]\nversion = 1\nparent = none\noperator = %s\n"
      "[organisation o]\ntitle = O\n"
      "[team t]\norganisation = o\nweight = 3\nlimit_tasks = 9\n"
      "[key k]\nteam = t\nhash = 1111111111111111111111111111111111111111111111"
      "111111111111111111\n"
      "[queue q]\nteam = t\nopen = yes\nmax_waiting = 5\n"
      "[work interactive]\npolicy = fastest\npriority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 1]\nregion = r\n";

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static struct ColtOperatorPair
make_pair_ (void)
{
  const uint8_t seed[32] = { 1 };
  struct ColtOperatorPair pair;

  colt_operator_pair_make (&pair, seed);
  return pair;
}

static char *
make_text_ (const struct ColtOperatorPair *pair)
{
  char hex[COLT_HASH_TEXT_SIZE];

  return g_strdup_printf (valid_text,
                          colt_operator_key_format (&pair->key, hex));
}

static void
apply_edits_ (uint8_t *text, size_t length, const uint8_t *data, size_t size)
{
  for (; length > 0 && size >= EDIT_SIZE; data += EDIT_SIZE, size -= EDIT_SIZE)
    text[(data[0] << 8 | data[1]) % length] = data[2];
}

/* Checks that the canonical text of an accepted bundle parses to a bundle with
 * the same text and hash. */
static void
check_text_ (const char *text)
{
  struct ColtProblems *problems = colt_problems_create ();
  struct ColtBundle *bundle = colt_bundle_parse (text, problems, NULL);
  struct ColtBundle *reparsed;

  g_assert_true ((bundle != NULL) == (colt_problems_count (problems) == 0));
  if (bundle != NULL)
    {
      reparsed = colt_bundle_parse (colt_bundle_text (bundle), NULL, NULL);
      g_assert_nonnull (reparsed);
      g_assert_cmpstr (colt_bundle_text (reparsed), ==,
                       colt_bundle_text (bundle));
      g_assert_true (colt_hash_equal (colt_bundle_hash (reparsed),
                                      colt_bundle_hash (bundle)));
      colt_bundle_destroy (reparsed);
    }
  colt_bundle_destroy (bundle);
  colt_problems_destroy (problems);
}

static void
check_edited_text_ (const uint8_t *data, size_t size)
{
  struct ColtOperatorPair pair = make_pair_ ();
  char *text = make_text_ (&pair);

  apply_edits_ ((uint8_t *)text, strlen (text), data, size);
  check_text_ (text);
  g_free (text);
}

/* Applies a body as each kind of record, as a relayed record, as an update and
 * as a snapshot. The bundle comes first, so that a valid one is in force for
 * the kinds after it. */
static void
check_body_ (const uint8_t *body, size_t size)
{
  struct ColtOperatorPair pair = make_pair_ ();
  struct ColtChain *chain = colt_chain_create (&pair.key, 1);
  struct ColtChainVerdict verdict;
  uint32_t kind;

  for (kind = COLT_RECORD_BUNDLE; kind <= COLT_RECORD_JOB; kind++)
    {
      struct ColtLogPosition position = { 0, kind };

      colt_chain_apply_record (chain, position, kind, body, size, &verdict);
      g_assert_cmpint (verdict.status, <, COLT_CHAIN_STATUS_COUNT);
    }
  colt_chain_apply_relayed (chain, body, size, &verdict);
  colt_chain_advance (chain, 1);
  colt_chain_set_first_offset (chain, 50);
  colt_chain_apply_update (chain, body, size, &verdict);
  colt_chain_apply_snapshot (chain, body, size, &verdict);
  g_assert_true (verdict.status != COLT_CHAIN_ADOPTED
                 || colt_chain_next_offset (chain) >= 50);
  colt_chain_destroy (chain);
}

static void
check_edited_body_ (enum ColtFuzzMode mode, const uint8_t *data, size_t size)
{
  struct ColtOperatorPair pair = make_pair_ ();
  char *text = make_text_ (&pair);
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);
  struct ColtChain *chain = colt_chain_create (&pair.key, 1);
  struct ColtLogPosition position = { 0, 0 };
  struct ColtChainVerdict verdict;
  struct ColtSignature signature;
  uint8_t *body;
  size_t length;

  colt_bundle_sign (bundle, &pair, &signature);
  body = colt_bundle_encode (bundle, &signature, NULL, &length);
  colt_chain_apply_record (chain, position, COLT_RECORD_BUNDLE, body, length,
                           &verdict);
  g_assert_cmpint (verdict.status, ==, COLT_CHAIN_ACCEPTED);
  colt_chain_advance (chain, 60);
  if (mode != MODE_EDITED_BUNDLE)
    free (body);
  if (mode == MODE_EDITED_SNAPSHOT)
    body = colt_chain_encode_snapshot (chain, NULL, 0, &length);
  if (mode == MODE_EDITED_KEY)
    body = colt_key_give_encode ("k", "t", colt_bundle_hash (bundle), &pair,
                                 &length);
  apply_edits_ (body, length, data, size);
  check_body_ (body, length);
  free (body);
  colt_chain_destroy (chain);
  colt_bundle_destroy (bundle);
  g_free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum ColtFuzzMode mode;
  char *text;

  if (size == 0)
    return 0;
  mode = data[0] % MODE_COUNT;
  data++;
  size--;
  switch (mode)
    {
    case MODE_TEXT:
      text = g_strndup ((const char *)data, size);
      check_text_ (text);
      g_free (text);
      break;
    case MODE_EDITED_TEXT:
      check_edited_text_ (data, size);
      break;
    case MODE_RECORD:
      check_body_ (data, size);
      break;
    default:
      check_edited_body_ (mode, data, size);
      break;
    }
  return 0;
}
