#include <sodium.h>
#include <stdio.h>

#include "coltsfootstile/keyring.h"
#include "ctl.h"

static enum ColtCtlExit run_operator_ (int argc, char **argv);
static enum ColtCtlExit run_caller_ (int argc, char **argv);
static char *format_pair_ (const struct ColtOperatorPair *pair);

const struct ColtCtlCommand colt_ctl_keygen_commands[]
    = { { "keygen", "operator", "generate an operator's key pair",
          run_operator_ },
        { "keygen", "caller", "generate a caller's key", run_caller_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_operator_ (int argc, char **argv)
{
  const char *out = NULL;
  const char *seed = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, "out", "FILE", "file to create for the key pair",
            true, &out },
          { COLT_CTL_TEXT, "seed", "TEXT",
            "derive the key from this text; for tests only", false, &seed } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl keygen operator",
          "generate an operator's key pair", options, 2 };
  char hex[COLT_HASH_TEXT_SIZE];
  struct ColtOperatorPair pair;
  enum ColtCtlExit exit_code;
  struct ColtError error;
  uint8_t random[32];
  char *text;
  bool good;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  colt_ctl_fill_random (seed, random);
  colt_operator_pair_make (&pair, random);
  text = format_pair_ (&pair);
  good = colt_ctl_write_file (out, text, true, &error);
  sodium_memzero (random, sizeof random);
  sodium_memzero (pair.secret, sizeof pair.secret);
  g_free (text);
  if (!good)
    return colt_ctl_fail (json, COLT_CTL_REFUSED, &error);
  colt_ctl_print (json, json_pack ("{s:s,s:s}", "operator",
                                   colt_operator_key_format (&pair.key, hex),
                                   "file", out));
  return COLT_CTL_OK;
}

static enum ColtCtlExit
run_caller_ (int argc, char **argv)
{
  const char *out = NULL;
  const char *seed = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, "out", "FILE", "file to create for the secret", true,
            &out },
          { COLT_CTL_TEXT, "seed", "TEXT",
            "derive the key from this text; for tests only", false, &seed } };
  const struct ColtCtlSyntax syntax = { "coltsfootstilectl keygen caller",
                                        "generate a caller's key", options, 2 };
  char secret[COLT_SECRET_TEXT_SIZE];
  char hex[COLT_HASH_TEXT_SIZE];
  enum ColtCtlExit exit_code;
  struct ColtError error;
  struct ColtHash hash;
  uint8_t random[32];
  char *text;
  bool good;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  colt_ctl_fill_random (seed, random);
  colt_secret_format (random, secret);
  hash = colt_secret_hash (secret);
  text = g_strdup_printf ("%s\n", secret);
  good = colt_ctl_write_file (out, text, true, &error);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (random, sizeof random);
  g_free (text);
  if (!good)
    return colt_ctl_fail (json, COLT_CTL_REFUSED, &error);
  colt_ctl_print (json, json_pack ("{s:s,s:s}", "hash",
                                   colt_hash_format (&hash, hex), "file", out));
  return COLT_CTL_OK;
}

static char *
format_pair_ (const struct ColtOperatorPair *pair)
{
  char secret[2 * COLT_OPERATOR_SECRET_SIZE + 1];
  char key[COLT_HASH_TEXT_SIZE];
  char *text;

  sodium_bin2hex (secret, sizeof secret, pair->secret, sizeof pair->secret);
  text = g_strdup_printf ("[operator]\nkey = %s\nsecret = %s\n",
                          colt_operator_key_format (&pair->key, key), secret);
  sodium_memzero (secret, sizeof secret);
  return text;
}
