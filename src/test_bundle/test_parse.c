#include <stdlib.h>
#include <string.h>

#include "test_bundle.h"

/* A replacement that makes the text of make_good_text() invalid, and the
   expected problem. */
struct ColtBadCase
{
  const char *good; /* replaced part of the text */
  const char *bad;  /* its replacement */
  int line;
  const char *reason;
};

static const struct ColtBadCase bad_cases[] = {
  { "version = 1\n", "version = one\n", 2,
    "[bundle] version: \"one\" is not a whole number" },
  { "version = 1\n", "version = 0\n", 2,
    "[bundle] version: 0 is not in the range 1 to 1000000000" },
  { "version = 1\n", "version = 2\n", 2,
    "[bundle] parent: must not be none after version 1" },
  { "version = 1\n", "", 2, "[bundle] version: is required" },
  { "parent = none\n", "parent = 00ff\n", 3,
    "[bundle] parent: is not 64 hexadecimal digits 0-9a-f" },
  { "operator = ", "operator = x", 4,
    "[bundle] operator: is not 64 hexadecimal digits 0-9a-f" },
  { "title = Hire & Co\n", "title =\n", 6,
    "[organisation hire] title: is empty" },
  { "title = Hire & Co\n", "title = H\xc3\xa9\n", 6,
    "[organisation hire] title: contains a \";\" or a character "
    "that is not printable ASCII" },
  { "[team quotes]\norganisation = hire\n",
    "[team quotes]\norganisation = lost\n", 8,
    "[team quotes] organisation: there is no [organisation lost] section" },
  { "[team quotes]\n", "[team Quotes]\n", 8,
    "[team Quotes]: \"Quotes\" is not a valid name: use 1 to 47 of a-z, 0-9 "
    "and \"-\"" },
  { "[team quotes]\n",
    "[team "
    "quotes-quotes-quotes-quotes-quotes-quotes-abcd"
    "]\n",
    8,
    "[team quotes-quotes-quotes-quotes-quotes-quotes-ab]: the section name "
    "is longer than 48 bytes" },
  { "[team quotes]\n", "[crew quotes]\n", 8,
    "[crew quotes]: is not a section of a bundle" },
  { "weight = 3\n", "weight = -3\n", 9,
    "[team quotes] weight: -3 is not in the range 1 to 1000000" },
  { "weight = 3\n", "weight = 3\nweight = 4\n", 10,
    "[team quotes] weight: is set twice" },
  { "weight = 3\n", "weigth = 3\n", 9, "[team quotes] has no key \"weigth\"" },
  { "weight = 3\n", "weight\n", 9,
    "line 9 is not a [section], a key = value or a comment" },
  { "limit_cores_milli = 64000\n", "limit_cores_milli = much\n", 15,
    "[team renders] limit_cores_milli: \"much\" is not a whole number" },
  { "team = quotes\nhash", "team = nobody\nhash", 19,
    "[key quotes-web] team: there is no [team nobody] section" },
  { "hash = 1111", "hash = 111g", 20,
    "[key quotes-web] hash: is not 64 hexadecimal digits 0-9a-f" },
  { "open = no\n", "open = maybe\n", 23,
    "[queue quotes] open: \"maybe\" is not yes or no" },
  { "max_waiting = 50\n", "max_waiting = 50000000\n", 24,
    "[queue quotes] max_waiting: 50000000 is not in the range 0 to 1000000" },
  { "policy = fastest\n", "policy = best\n", 30,
    "[work interactive] policy: \"best\" is not pack, spread, balance or "
    "fastest" },
  { "[work gang]\n", "[work game]\n", 44,
    "[work game]: \"game\" is not a kind of work" },
  { "[work gang]\n", "[work service]\n", 44,
    "[work service]: the section appears twice" },
  { "[zone 2]\n", "[zone 16]\n", 48,
    "[zone 16]: zones are numbered from 1 to 15" },
  { "[zone 2]\n", "[zone 02]\n", 48,
    "[zone 02]: zones are numbered from 1 to 15" },
  { "[zone 1]\n", "[zone 2]\n", 50, "[zone 2] region: is set twice" },
  { "[queue public]\n", "[queue quotes]\n", 26,
    "[queue quotes] team: is set twice" },
};

static char *
make_good_text (void)
{
  struct ColtOperatorPair operators[] = { make_operator (1) };

  return make_bundle_text (1, NULL, operators, 1, bundle_body);
}

static char *
replace_first (const char *text, const char *old, const char *new)
{
  const char *at = strstr (text, old);

  g_assert_nonnull (at);
  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, new,
                          at + strlen (old));
}

static bool
has_problem (const struct ColtProblems *problems, int line, const char *reason)
{
  size_t i;

  for (i = 0; i < colt_problems_count (problems); i++)
    {
      const struct ColtProblem *problem = colt_problems_get (problems, i);

      if (problem->line == line && strcmp (problem->reason, reason) == 0)
        return true;
    }
  for (i = 0; i < colt_problems_count (problems); i++)
    g_test_message ("reported problem in line %d: %s",
                    colt_problems_get (problems, i)->line,
                    colt_problems_get (problems, i)->reason);
  return false;
}

static void
test_parse_values (void)
{
  char *text = make_good_text ();
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);
  const struct ColtBundleTeam *team;
  const struct ColtBundleQueue *queue;

  g_assert_nonnull (bundle);
  g_assert_cmpint (colt_bundle_version (bundle), ==, 1);
  g_assert_cmpuint (colt_bundle_team_count (bundle), ==, 2);
  team = colt_bundle_team (bundle, colt_bundle_find_team (bundle, "renders"));
  g_assert_cmpint (team->limit_cores_milli, ==, 64000);
  g_assert_cmpint (team->retries_per_minute, ==, 5);
  team = colt_bundle_team (bundle, colt_bundle_find_team (bundle, "quotes"));
  g_assert_cmpint (team->limit_accelerators, ==, COLT_BUNDLE_NO_LIMIT);
  g_assert_cmpint (team->retries_per_minute, ==, 60);
  queue = colt_bundle_queue (bundle, colt_bundle_find_queue (bundle, "public"));
  g_assert_true (queue->open);
  g_assert_cmpstr (colt_bundle_team (bundle, queue->team.index)->name, ==,
                   "renders");
  g_assert_cmpuint (colt_bundle_find_team (bundle, "none"), ==,
                    COLT_BUNDLE_NO_INDEX);
  g_assert_cmpint (colt_bundle_work (bundle, COLT_WORK_SERVICE)->policy, ==,
                   COLT_POLICY_SPREAD);
  g_assert_true (colt_bundle_work (bundle, COLT_WORK_SERVICE)->checkpoint);
  g_assert_cmpuint (colt_bundle_zone (bundle, 0)->number, ==, 1);
  g_assert_cmpuint (colt_bundle_zone (bundle, 1)->number, ==, 2);
  colt_bundle_destroy (bundle);
  g_free (text);
}

static void
test_bad_lines (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (bad_cases); i++)
    {
      const struct ColtBadCase *bad = &bad_cases[i];
      struct ColtProblems *problems = colt_problems_create ();
      char *good = make_good_text ();
      char *text = replace_first (good, bad->good, bad->bad);
      struct ColtError error;

      g_assert_null (colt_bundle_parse (text, problems, &error));
      g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
      g_assert_true (has_problem (problems, bad->line, bad->reason));
      colt_problems_destroy (problems);
      g_free (text);
      g_free (good);
    }
}

static void
test_all_problems_reported (void)
{
  struct ColtProblems *problems = colt_problems_create ();

  g_assert_null (colt_bundle_parse ("a = 1\n[bundle]\nversion = x\n"
                                    "[team t]\nweight = 0\n",
                                    problems, NULL));
  g_assert_true (
      has_problem (problems, 1, "[]: a key appears before the first section"));
  g_assert_true (has_problem (problems, 3,
                              "[bundle] version: \"x\" is not a whole number"));
  g_assert_true (has_problem (problems, 3, "[bundle] operator: is required"));
  g_assert_true (has_problem (
      problems, 5, "[team t] weight: 0 is not in the range 1 to 1000000"));
  g_assert_true (
      has_problem (problems, 5, "[team t] limit_tasks: is required"));
  g_assert_true (has_problem (problems, 0, "there is no [work gang] section"));
  g_assert_true (has_problem (problems, 0, "there is no [zone N] section"));
  colt_problems_destroy (problems);
}

static void
test_order_does_not_change_hash (void)
{
  char *text = make_good_text ();
  char *rest = replace_first (text,
                              "[organisation hire]\ntitle = Hire & "
                              "Co\n",
                              "");
  char *reordered = g_strconcat ("; a comment\n[organisation hire]\n"
                                 "title=Hire & Co\n\n",
                                 rest, NULL);
  struct ColtBundle *a = colt_bundle_parse (text, NULL, NULL);
  struct ColtBundle *b = colt_bundle_parse (reordered, NULL, NULL);
  struct ColtBundle *c = colt_bundle_parse (colt_bundle_text (a), NULL, NULL);

  g_assert_cmpstr (colt_bundle_text (a), ==, colt_bundle_text (b));
  g_assert_true (colt_hash_equal (colt_bundle_hash (a), colt_bundle_hash (b)));
  g_assert_cmpstr (colt_bundle_text (a), ==, colt_bundle_text (c));
  colt_bundle_destroy (a);
  colt_bundle_destroy (b);
  colt_bundle_destroy (c);
  g_free (reordered);
  g_free (rest);
  g_free (text);
}

static void
test_signed_text_round_trip (void)
{
  struct ColtOperatorPair pair = make_operator (1);
  char *text = make_good_text ();
  struct ColtBundle *bundle = colt_bundle_parse (text, NULL, NULL);
  struct ColtBundle *reparsed;
  struct ColtSignature signature;
  char *signed_text;

  g_assert_null (colt_bundle_signature (bundle));
  colt_bundle_sign (bundle, &pair, &signature);
  signed_text = colt_bundle_signed_text (bundle, &signature);
  reparsed = colt_bundle_parse (signed_text, NULL, NULL);
  g_assert_true (
      colt_sign_verify (colt_bundle_signature (reparsed), COLT_SIGN_BUNDLE,
                        colt_bundle_hash (reparsed)->bytes, COLT_HASH_SIZE));
  g_assert_false (colt_sign_verify (
      colt_bundle_signature (reparsed), COLT_SIGN_KEY_WITHDRAW,
      colt_bundle_hash (reparsed)->bytes, COLT_HASH_SIZE));
  g_assert_cmpstr (colt_bundle_text (reparsed), ==, colt_bundle_text (bundle));
  colt_bundle_destroy (reparsed);
  colt_bundle_destroy (bundle);
  free (signed_text);
  g_free (text);
}

static void
test_two_keys_with_one_hash (void)
{
  struct ColtProblems *problems = colt_problems_create ();
  char *good = make_good_text ();
  char *text = g_strconcat (good,
                            "[key z]\nteam = quotes\nhash = "
                            "11111111111111111111111111111111"
                            "11111111111111111111111111111111\n",
                            NULL);

  g_assert_null (colt_bundle_parse (text, problems, NULL));
  g_assert_true (has_problem (
      problems, 52, "[key z] hash: is also the hash of [key quotes-web]"));
  colt_problems_destroy (problems);
  g_free (text);
  g_free (good);
}

void
add_parse_tests (void)
{
  g_test_add_func ("/bundle/parse/values", test_parse_values);
  g_test_add_func ("/bundle/parse/bad_lines", test_bad_lines);
  g_test_add_func ("/bundle/parse/all_problems", test_all_problems_reported);
  g_test_add_func ("/bundle/parse/order", test_order_does_not_change_hash);
  g_test_add_func ("/bundle/parse/signed_text", test_signed_text_round_trip);
  g_test_add_func ("/bundle/parse/one_hash", test_two_keys_with_one_hash);
}
