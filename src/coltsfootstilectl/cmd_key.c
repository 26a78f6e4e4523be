#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_chain.h"
#include "ctl.h"

struct ColtKeyOptions
{
  const char *log;
  GPtrArray *entries;
  const char *operator_file;
  const char *name;
  const char *team;
  const char *hash;
  const char *secret_file;
  int64_t timeout_ms;
  bool json;
};

/* A key and its state after the change, as entry instances should report it. */
struct ColtKeyTarget
{
  struct ColtHash hash;
  char hex[COLT_HASH_TEXT_SIZE];
  const char *state;
  json_int_t offset; /* of the change in the log; -1 if unknown */
};

static enum ColtCtlExit run_give_ (int argc, char **argv);
static enum ColtCtlExit run_withdraw_ (int argc, char **argv);
static enum ColtCtlExit run_list_ (int argc, char **argv);
static enum ColtCtlExit change_key_ (const struct ColtKeyOptions *options,
                                     enum ColtRecordKind kind);
static enum ColtCtlExit resolve_hash_ (const struct ColtKeyOptions *options,
                                       enum ColtRecordKind kind,
                                       struct ColtHash *hash);
static enum ColtCtlExit
find_hash_by_name_ (const struct ColtKeyOptions *options,
                    struct ColtHash *hash);
static enum ColtCtlExit fetch_bundle_state_ (const char *address,
                                             bool json,
                                             struct ColtCtlAnswer *answer);
static enum ColtCtlExit publish_change_ (const struct ColtKeyOptions *options,
                                         enum ColtRecordKind kind,
                                         const struct ColtOperatorPair *pair,
                                         struct ColtKeyTarget *target);
static enum ColtCtlExit wait_for_effect_ (const struct ColtKeyOptions *options,
                                          struct ColtKeyTarget *target);
static enum ColtCtlEffect evaluate_state_ (void *client, const json_t *state);

const struct ColtCtlCommand colt_ctl_key_commands[]
    = { { "key", "give", "give a caller's key to a team", run_give_ },
        { "key", "withdraw", "withdraw a caller's key permanently",
          run_withdraw_ },
        { "key", "list", "list the keys in the keyring of an entry instance",
          run_list_ },
        { NULL, NULL, NULL, NULL } };

#define COMMON_OPTIONS(given)                                                  \
  {                                                                            \
    COLT_CTL_ADDRESS, "log", "IP:PORT", "the log service", true, &(given).log  \
  },                                                                           \
      { COLT_CTL_ADDRESSES,                                                    \
        "entry",                                                               \
        "IP:PORT",                                                             \
        "an entry instance; at least one per zone",                            \
        true,                                                                  \
        &(given).entries },                                                    \
      { COLT_CTL_TEXT,         "operator", "FILE",                             \
        "operator's key file", true,       &(given).operator_file },           \
      { COLT_CTL_TEXT, "hash",       "HEX", "hash of the key's secret",        \
        false,         &(given).hash },                                        \
      { COLT_CTL_TEXT, "secret-file",                                          \
        "FILE",        "file with the secret itself",                          \
        false,         &(given).secret_file },                                 \
  {                                                                            \
    COLT_CTL_NUMBER, "timeout-ms", "N",                                        \
        "timeout in ms of the append, and again of the wait (10000)", false,   \
        &(given).timeout_ms, 100, 600000                                       \
  }

static enum ColtCtlExit
run_give_ (int argc, char **argv)
{
  struct ColtKeyOptions given
      = { .entries = g_ptr_array_new (), .timeout_ms = 10000 };
  const struct ColtCtlOption options[]
      = { COMMON_OPTIONS (given),
          { COLT_CTL_TEXT, "name", "NAME", "name of the key", true,
            &given.name },
          { COLT_CTL_TEXT, "team", "TEAM", "team that the key belongs to", true,
            &given.team } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl key give", "give a caller's key to a team",
          options, G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = change_key_ (&given, COLT_RECORD_KEY_GIVE);
  g_ptr_array_unref (given.entries);
  return exit_code;
}

static enum ColtCtlExit
run_withdraw_ (int argc, char **argv)
{
  struct ColtKeyOptions given
      = { .entries = g_ptr_array_new (), .timeout_ms = 10000 };
  const struct ColtCtlOption options[]
      = { COMMON_OPTIONS (given),
          { COLT_CTL_TEXT, "name", "NAME",
            "name of the key, looked up at the first entry instance", false,
            &given.name } };
  const struct ColtCtlSyntax syntax = { "coltsfootstilectl key withdraw",
                                        "withdraw a caller's key permanently",
                                        options, G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = change_key_ (&given, COLT_RECORD_KEY_WITHDRAW);
  g_ptr_array_unref (given.entries);
  return exit_code;
}

static enum ColtCtlExit
run_list_ (int argc, char **argv)
{
  const char *entry = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "entry", "IP:PORT", "an entry instance", true,
            &entry } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl key list",
          "list the keys in the keyring of an entry instance", options, 1 };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code;
  json_t *keys;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  exit_code = fetch_bundle_state_ (entry, json, &answer);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  keys = json_object_get (answer.json, "keys");
  colt_ctl_print (json, json_pack ("{s:O}", "keys", keys));
  colt_ctl_answer_clear (&answer);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
change_key_ (const struct ColtKeyOptions *options, enum ColtRecordKind kind)
{
  bool give = kind == COLT_RECORD_KEY_GIVE;
  struct ColtKeyTarget target = { .state = give ? "live" : "withdrawn" };
  struct ColtOperatorPair pair;
  struct ColtError error;
  enum ColtCtlExit exit_code;

  if (!colt_ctl_read_operator_pair (options->operator_file, &pair, &error))
    return colt_ctl_fail (options->json, COLT_CTL_USAGE, &error);
  if (give
      && (!colt_name_is_valid (options->name)
          || !colt_name_is_valid (options->team)))
    return colt_ctl_fail_text (
        options->json, COLT_CTL_USAGE,
        "--name and --team must have 1 to %d characters of "
        "a-z, 0-9 and \"-\"",
        COLT_NAME_SIZE - 1);
  exit_code = resolve_hash_ (options, kind, &target.hash);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  colt_hash_format (&target.hash, target.hex);
  exit_code = publish_change_ (options, kind, &pair, &target);
  if (exit_code != COLT_CTL_OK && exit_code != COLT_CTL_UNKNOWN)
    return exit_code;
  return wait_for_effect_ (options, &target);
}

static enum ColtCtlExit
resolve_hash_ (const struct ColtKeyOptions *options,
               enum ColtRecordKind kind,
               struct ColtHash *hash)
{
  struct ColtError error;
  char *secret;

  if (options->hash != NULL)
    {
      if (colt_hash_parse (options->hash, hash))
        return COLT_CTL_OK;
      return colt_ctl_fail_text (
          options->json, COLT_CTL_USAGE,
          "--hash must have 64 hexadecimal digits 0-9a-f");
    }
  if (options->secret_file != NULL)
    {
      secret = colt_ctl_read_secret (options->secret_file, &error);
      if (secret == NULL)
        return colt_ctl_fail (options->json, COLT_CTL_USAGE, &error);
      *hash = colt_secret_hash (secret);
      g_free (secret);
      return COLT_CTL_OK;
    }
  if (kind == COLT_RECORD_KEY_WITHDRAW && options->name != NULL)
    return find_hash_by_name_ (options, hash);
  return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                             "one of --hash%s or --secret-file is required",
                             kind == COLT_RECORD_KEY_WITHDRAW ? ", --name"
                                                              : "");
}

static enum ColtCtlExit
find_hash_by_name_ (const struct ColtKeyOptions *options, struct ColtHash *hash)
{
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code = fetch_bundle_state_ (
      g_ptr_array_index (options->entries, 0), options->json, &answer);
  guint found = 0;
  json_t *key;
  size_t i;

  if (exit_code != COLT_CTL_OK)
    return exit_code;
  json_array_foreach (json_object_get (answer.json, "keys"), i, key)
  {
    const char *name = json_string_value (json_object_get (key, "name"));
    const char *hex = json_string_value (json_object_get (key, "hash"));

    if (g_strcmp0 (name, options->name) == 0 && hex != NULL
        && colt_hash_parse (hex, hash))
      found++;
  }
  colt_ctl_answer_clear (&answer);
  if (found == 1)
    return COLT_CTL_OK;
  return colt_ctl_fail_text (options->json, COLT_CTL_REFUSED,
                             "%u keys are named %s instead of exactly one",
                             found, options->name);
}

static enum ColtCtlExit
fetch_bundle_state_ (const char *address,
                     bool json,
                     struct ColtCtlAnswer *answer)
{
  const struct ColtHttpRequest request
      = { .method = COLT_HTTP_GET,
          .path = "/v1/state/bundle",
          .timeout_ms = COLT_CTL_CALL_TIMEOUT_MS };
  enum ColtCtlExit exit_code = COLT_CTL_OK;

  colt_ctl_call (address, &request, answer);
  if (answer->result != COLT_HTTP_ANSWERED)
    exit_code = colt_ctl_fail (json, COLT_CTL_UNREACHABLE, &answer->error);
  else if (answer->status != 200 || answer->json == NULL)
    exit_code
        = colt_ctl_fail_text (json, COLT_CTL_REFUSED, "%s: answered status %d",
                              address, answer->status);
  if (exit_code != COLT_CTL_OK)
    colt_ctl_answer_clear (answer);
  return exit_code;
}

static enum ColtCtlExit
publish_change_ (const struct ColtKeyOptions *options,
                 enum ColtRecordKind kind,
                 const struct ColtOperatorPair *pair,
                 struct ColtKeyTarget *target)
{
  struct ColtCtlAppend append;
  uint8_t *body;
  size_t size;

  if (kind == COLT_RECORD_KEY_GIVE)
    body = colt_key_give_encode (options->name, options->team, &target->hash,
                                 pair, &size);
  else
    body = colt_key_withdraw_encode (&target->hash, pair, &size);
  colt_ctl_append (options->log, kind, body, size,
                   (uint32_t)options->timeout_ms, &append);
  free (body);
  target->offset
      = append.exit_code == COLT_CTL_OK ? (json_int_t)append.offset : -1;
  if (append.exit_code == COLT_CTL_UNREACHABLE)
    return colt_ctl_fail_text (options->json, COLT_CTL_UNREACHABLE,
                               "%s: the log service did not append the record; "
                               "nothing has changed",
                               options->log);
  return append.exit_code;
}

static enum ColtCtlExit
wait_for_effect_ (const struct ColtKeyOptions *options,
                  struct ColtKeyTarget *target)
{
  const struct ColtCtlWait wait
      = { options->entries, (uint32_t)options->timeout_ms, evaluate_state_,
          target };
  json_t *report
      = json_pack ("{s:s,s:I}", "hash", target->hex, "offset", target->offset);
  enum ColtCtlEffect effect = colt_ctl_wait (&wait, report);
  enum ColtCtlExit exit_code = COLT_CTL_UNKNOWN;
  const char *outcome = target->offset >= 0 ? "published" : "unknown";

  if (effect == COLT_CTL_EFFECT_IN_FORCE)
    {
      exit_code = COLT_CTL_OK;
      outcome = target->state;
    }
  if (effect == COLT_CTL_EFFECT_REFUSED)
    {
      exit_code = COLT_CTL_REFUSED;
      outcome = "refused";
    }
  json_object_set_new (report, "outcome", json_string (outcome));
  colt_ctl_print (options->json, report);
  return exit_code;
}

/* The change is in force if the key has its new state. Otherwise, it was
   refused if the instance has read past its record's offset. */
static enum ColtCtlEffect
evaluate_state_ (void *client, const json_t *state)
{
  const struct ColtKeyTarget *target = client;
  const json_t *keys = json_object_get (state, "keys");
  json_int_t next_offset
      = json_integer_value (json_object_get (state, "next_offset"));
  size_t i;

  for (i = 0; i < json_array_size (keys); i++)
    {
      const json_t *key = json_array_get (keys, i);
      const char *hash = json_string_value (json_object_get (key, "hash"));
      const char *key_state
          = json_string_value (json_object_get (key, "state"));

      if (g_strcmp0 (hash, target->hex) == 0
          && g_strcmp0 (key_state, target->state) == 0)
        return COLT_CTL_EFFECT_IN_FORCE;
    }
  return target->offset >= 0 && next_offset > target->offset
             ? COLT_CTL_EFFECT_REFUSED
             : COLT_CTL_EFFECT_PENDING;
}
