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

/* What the states of entry instances are compared with. */
struct ColtKeyTarget
{
  struct ColtHash hash;
  char hex[COLT_HASH_TEXT_SIZE];
  const char *state;
  json_int_t offset;
};

static enum ColtCtlExit run_give_ (int argc, char **argv);
static enum ColtCtlExit run_withdraw_ (int argc, char **argv);
static enum ColtCtlExit run_list_ (int argc, char **argv);
static enum ColtCtlExit change_ (const struct ColtKeyOptions *options,
                                 enum ColtRecordKind kind);
static enum ColtCtlExit find_hash_ (const struct ColtKeyOptions *options,
                                    enum ColtRecordKind kind,
                                    struct ColtHash *hash);
static enum ColtCtlExit find_named_ (const struct ColtKeyOptions *options,
                                     struct ColtHash *hash);
static enum ColtCtlExit
read_state_ (const char *address, bool json, struct ColtCtlAnswer *answer);
static enum ColtCtlExit publish_ (const struct ColtKeyOptions *options,
                                  enum ColtRecordKind kind,
                                  const struct ColtOperatorPair *pair,
                                  struct ColtKeyTarget *target);
static enum ColtCtlExit follow_ (const struct ColtKeyOptions *options,
                                 struct ColtKeyTarget *target);
static enum ColtCtlEffect judge_ (void *client, const json_t *state);

const struct ColtCtlCommand colt_ctl_key_commands[] = {
  { "key", "give", "give a caller's key to a team", run_give_ },
  { "key", "withdraw", "withdraw a caller's key for good", run_withdraw_ },
  { "key", "list", "list the keys that an entry instance knows", run_list_ },
  { NULL, NULL, NULL, NULL }
};

#define COMMON_OPTIONS(given)                                                  \
  {                                                                            \
    COLT_CTL_ADDRESS, "log", "IP:PORT", "the log service", true, &(given).log  \
  },                                                                           \
      { COLT_CTL_ADDRESSES,                                                    \
        "entry",                                                               \
        "IP:PORT",                                                             \
        "an entry instance; at least one a zone",                              \
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
        "how long to append and how long to wait (10000)", false,              \
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
          { COLT_CTL_TEXT, "team", "TEAM", "team that it counts for", true,
            &given.team } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl key give", "give a caller's key to a team",
          options, G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = change_ (&given, COLT_RECORD_KEY_GIVE);
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
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl key withdraw", "withdraw a caller's key for good",
          options, G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = change_ (&given, COLT_RECORD_KEY_WITHDRAW);
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
          "list the keys that an entry instance knows", options, 1 };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code;
  json_t *keys;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  exit_code = read_state_ (entry, json, &answer);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  keys = json_object_get (answer.json, "keys");
  colt_ctl_print (json, json_pack ("{s:O}", "keys", keys));
  colt_ctl_answer_clear (&answer);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
change_ (const struct ColtKeyOptions *options, enum ColtRecordKind kind)
{
  bool give = kind == COLT_RECORD_KEY_GIVE;
  struct ColtKeyTarget target = { .state = give ? "live" : "withdrawn" };
  struct ColtOperatorPair pair;
  struct ColtError error;
  enum ColtCtlExit exit_code;

  if (!colt_ctl_read_pair (options->operator_file, &pair, &error))
    return colt_ctl_fail (options->json, COLT_CTL_USAGE, &error);
  if (give
      && (!colt_name_is_valid (options->name)
          || !colt_name_is_valid (options->team)))
    return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                               "names have 1 to %d of a-z, 0-9 and \"-\"",
                               COLT_NAME_SIZE - 1);
  exit_code = find_hash_ (options, kind, &target.hash);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  colt_hash_format (&target.hash, target.hex);
  exit_code = publish_ (options, kind, &pair, &target);
  if (exit_code != COLT_CTL_OK && exit_code != COLT_CTL_UNKNOWN)
    return exit_code;
  return follow_ (options, &target);
}

static enum ColtCtlExit
find_hash_ (const struct ColtKeyOptions *options,
            enum ColtRecordKind kind,
            struct ColtHash *hash)
{
  struct ColtError error;
  char *secret;

  if (options->hash != NULL)
    {
      if (colt_hash_parse (options->hash, hash))
        return COLT_CTL_OK;
      return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                                 "--hash has 64 hexadecimal digits 0-9a-f");
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
    return find_named_ (options, hash);
  return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                             "one of --hash%s and --secret-file is needed",
                             kind == COLT_RECORD_KEY_WITHDRAW ? ", --name"
                                                              : "");
}

static enum ColtCtlExit
find_named_ (const struct ColtKeyOptions *options, struct ColtHash *hash)
{
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code = read_state_ (
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
                             "%u keys have the name %s", found, options->name);
}

static enum ColtCtlExit
read_state_ (const char *address, bool json, struct ColtCtlAnswer *answer)
{
  const struct ColtHttpRequest request = { .method = COLT_HTTP_GET,
                                           .path = "/v1/state/bundle",
                                           .timeout_ms = COLT_CTL_CALL_MS };
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
publish_ (const struct ColtKeyOptions *options,
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
                               "%s: the log did not take the record; nothing "
                               "has changed",
                               options->log);
  return append.exit_code;
}

static enum ColtCtlExit
follow_ (const struct ColtKeyOptions *options, struct ColtKeyTarget *target)
{
  const struct ColtCtlWait wait
      = { options->entries, (uint32_t)options->timeout_ms, judge_, target };
  json_t *report
      = json_pack ("{s:s,s:I}", "hash", target->hex, "offset", target->offset);
  enum ColtCtlEffect effect = colt_ctl_wait (&wait, report);
  enum ColtCtlExit exit_code = COLT_CTL_UNKNOWN;
  const char *outcome = target->offset >= 0 ? "published" : "unknown";

  if (effect == COLT_CTL_IN_FORCE)
    {
      exit_code = COLT_CTL_OK;
      outcome = target->state;
    }
  if (effect == COLT_CTL_NOT_TAKEN)
    {
      exit_code = COLT_CTL_REFUSED;
      outcome = "refused";
    }
  json_object_set_new (report, "outcome", json_string (outcome));
  colt_ctl_print (options->json, report);
  return exit_code;
}

static enum ColtCtlEffect
judge_ (void *client, const json_t *state)
{
  const struct ColtKeyTarget *target = client;
  const json_t *keys = json_object_get (state, "keys");
  json_int_t read = json_integer_value (json_object_get (state, "next_offset"));
  size_t i;

  for (i = 0; i < json_array_size (keys); i++)
    {
      const json_t *key = json_array_get (keys, i);
      const char *hash = json_string_value (json_object_get (key, "hash"));
      const char *now = json_string_value (json_object_get (key, "state"));

      if (g_strcmp0 (hash, target->hex) == 0
          && g_strcmp0 (now, target->state) == 0)
        return COLT_CTL_IN_FORCE;
    }
  return target->offset >= 0 && read > target->offset ? COLT_CTL_NOT_TAKEN
                                                      : COLT_CTL_PENDING;
}
