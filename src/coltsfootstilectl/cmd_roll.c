#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/bundle_chain.h"
#include "ctl.h"

struct ColtRollOptions
{
  const char *log;
  GPtrArray *entries;
  const char *parent;
  const char *key;
  const char *bundle;
  int64_t timeout_ms;
  bool json;
};

/* The published bundle, and what entry instances report about it. */
struct ColtRollTarget
{
  const struct ColtBundle *bundle;
  char hash[COLT_HASH_TEXT_SIZE];
  char parent[COLT_HASH_TEXT_SIZE];
  json_int_t offset;         /* of the record in the log; -1 if unknown */
  json_int_t winner_version; /* of a conflict */
  char winner[COLT_HASH_TEXT_SIZE];
};

static enum ColtCtlExit run_roll_ (int argc, char **argv);
static enum ColtCtlExit roll_bundle_ (const struct ColtRollOptions *options);
static enum ColtCtlExit
choose_signature_ (const struct ColtRollOptions *options,
                   const struct ColtBundle *bundle,
                   struct ColtSignature *signature);
static enum ColtCtlExit publish_bundle_ (const struct ColtRollOptions *options,
                                         const struct ColtBundle *bundle,
                                         const struct ColtSignature *signature,
                                         struct ColtRollTarget *target);
static enum ColtCtlExit wait_for_effect_ (const struct ColtRollOptions *options,
                                          struct ColtRollTarget *target,
                                          bool uncertain);
static enum ColtCtlEffect evaluate_state_ (void *client, const json_t *state);
static bool find_in_history_ (const json_t *state,
                              const char *hash,
                              json_int_t *version,
                              const json_t **next);
static json_t *list_missing_zones_ (const struct ColtBundle *bundle,
                                    const json_t *report);

const struct ColtCtlCommand colt_ctl_roll_commands[]
    = { { "", "roll", "publish a signed bundle and wait until it is in force",
          run_roll_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_roll_ (int argc, char **argv)
{
  struct ColtRollOptions given
      = { .entries = g_ptr_array_new (), .timeout_ms = 10000 };
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "log", "IP:PORT", "the log service", true,
            &given.log },
          { COLT_CTL_ADDRESSES, "entry", "IP:PORT",
            "an entry instance; at least one per zone", true, &given.entries },
          { COLT_CTL_TEXT, "key", "FILE",
            "operator's key file; signs the bundle before it is published",
            false, &given.key },
          { COLT_CTL_TEXT, "parent", "FILE",
            "bundle in force; publishes only the difference from it", false,
            &given.parent },
          { COLT_CTL_NUMBER, "timeout-ms", "N",
            "timeout in ms of the append, and again of the wait (10000)", false,
            &given.timeout_ms, 100, 600000 },
          { COLT_CTL_TEXT, NULL, "BUNDLE", "file with the bundle", true,
            &given.bundle } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl roll",
          "publish a signed bundle and wait until it is in force", options,
          G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = roll_bundle_ (&given);
  g_ptr_array_unref (given.entries);
  return exit_code;
}

static enum ColtCtlExit
roll_bundle_ (const struct ColtRollOptions *options)
{
  struct ColtBundle *bundle
      = colt_ctl_read_bundle (options->bundle, options->json);
  struct ColtRollTarget target = { .bundle = bundle };
  struct ColtSignature signature;
  enum ColtCtlExit exit_code;

  if (bundle == NULL)
    return COLT_CTL_USAGE;
  exit_code = choose_signature_ (options, bundle, &signature);
  if (exit_code == COLT_CTL_OK)
    exit_code = publish_bundle_ (options, bundle, &signature, &target);
  if (exit_code == COLT_CTL_OK || exit_code == COLT_CTL_UNKNOWN)
    exit_code
        = wait_for_effect_ (options, &target, exit_code == COLT_CTL_UNKNOWN);
  colt_bundle_destroy (bundle);
  return exit_code;
}

static enum ColtCtlExit
choose_signature_ (const struct ColtRollOptions *options,
                   const struct ColtBundle *bundle,
                   struct ColtSignature *signature)
{
  struct ColtOperatorPair pair;
  struct ColtError error;

  if (options->key != NULL)
    {
      if (!colt_ctl_read_operator_pair (options->key, &pair, &error))
        return colt_ctl_fail (options->json, COLT_CTL_USAGE, &error);
      colt_bundle_sign (bundle, &pair, signature);
      return COLT_CTL_OK;
    }
  if (colt_bundle_signature (bundle) == NULL)
    return colt_ctl_fail_text (
        options->json, COLT_CTL_USAGE,
        "%s: the bundle is not signed, and --key is missing", options->bundle);
  *signature = *colt_bundle_signature (bundle);
  if (colt_sign_verify (signature, COLT_SIGN_BUNDLE,
                        colt_bundle_hash (bundle)->bytes, COLT_HASH_SIZE))
    return COLT_CTL_OK;
  return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                             "%s: the bundle's signature is invalid",
                             options->bundle);
}

static enum ColtCtlExit
publish_bundle_ (const struct ColtRollOptions *options,
                 const struct ColtBundle *bundle,
                 const struct ColtSignature *signature,
                 struct ColtRollTarget *target)
{
  struct ColtBundle *parent = NULL;
  struct ColtCtlAppend append;
  uint8_t *body;
  size_t size;

  if (options->parent != NULL)
    {
      parent = colt_ctl_read_bundle (options->parent, options->json);
      if (parent == NULL)
        return COLT_CTL_USAGE;
    }
  if (parent != NULL
      && !colt_hash_equal (colt_bundle_hash (parent),
                           colt_bundle_parent (bundle)))
    {
      colt_bundle_destroy (parent);
      return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                                 "%s: is not the parent of %s", options->parent,
                                 options->bundle);
    }
  body = colt_bundle_encode (bundle, signature, parent, &size);
  colt_bundle_destroy (parent);
  colt_ctl_append (options->log, COLT_RECORD_BUNDLE, body, size,
                   (uint32_t)options->timeout_ms, &append);
  free (body);
  colt_hash_format (colt_bundle_hash (bundle), target->hash);
  colt_hash_format (colt_bundle_parent (bundle), target->parent);
  target->offset
      = append.exit_code == COLT_CTL_OK ? (json_int_t)append.offset : -1;
  if (append.exit_code == COLT_CTL_UNREACHABLE)
    return colt_ctl_fail_text (options->json, COLT_CTL_UNREACHABLE,
                               "%s: the log service did not append the bundle; "
                               "it is not published",
                               options->log);
  return append.exit_code;
}

static enum ColtCtlExit
wait_for_effect_ (const struct ColtRollOptions *options,
                  struct ColtRollTarget *target,
                  bool uncertain)
{
  const struct ColtCtlWait wait
      = { options->entries, (uint32_t)options->timeout_ms, evaluate_state_,
          target };
  json_t *report = json_pack ("{s:I,s:s,s:I}", "version",
                              (json_int_t)colt_bundle_version (target->bundle),
                              "hash", target->hash, "offset", target->offset);
  enum ColtCtlEffect effect = colt_ctl_wait (&wait, report);
  enum ColtCtlExit exit_code = COLT_CTL_UNKNOWN;
  const char *outcome = uncertain ? "unknown" : "published";

  json_object_set_new (report, "zones_not_asked",
                       list_missing_zones_ (target->bundle, report));
  if (effect == COLT_CTL_EFFECT_IN_FORCE)
    {
      exit_code = COLT_CTL_OK;
      outcome = "in_force";
    }
  if (effect == COLT_CTL_EFFECT_REFUSED)
    {
      exit_code = COLT_CTL_REFUSED;
      outcome = "refused";
    }
  if (effect == COLT_CTL_EFFECT_CONFLICT)
    {
      exit_code = COLT_CTL_CONFLICT;
      outcome = "conflict";
      json_object_set_new (report, "winner_version",
                           json_integer (target->winner_version));
      json_object_set_new (report, "winner", json_string (target->winner));
    }
  json_object_set_new (report, "outcome", json_string (outcome));
  colt_ctl_print (options->json, report);
  return exit_code;
}

/* The bundle is in force if its hash is in the history. It is in conflict if
   another version follows its parent, or if it has no parent (zeros) and the
   history begins with another version. Otherwise, it was refused if the
   instance has read past its record's offset. */
static enum ColtCtlEffect
evaluate_state_ (void *client, const json_t *state)
{
  struct ColtRollTarget *target = client;
  const json_t *next = NULL;
  json_int_t version;
  json_int_t next_offset
      = json_integer_value (json_object_get (state, "next_offset"));

  if (find_in_history_ (state, target->hash, &version, &next))
    return COLT_CTL_EFFECT_IN_FORCE;
  if (find_in_history_ (state, target->parent, &version, &next) && next == NULL)
    return target->offset >= 0 && next_offset > target->offset
               ? COLT_CTL_EFFECT_REFUSED
               : COLT_CTL_EFFECT_PENDING;
  if (next == NULL && strspn (target->parent, "0") == strlen (target->parent))
    next = json_array_get (json_object_get (state, "history"), 0);
  if (next != NULL)
    {
      target->winner_version
          = json_integer_value (json_object_get (next, "version"));
      g_strlcpy (target->winner,
                 json_string_value (json_object_get (next, "hash")),
                 sizeof target->winner);
      return COLT_CTL_EFFECT_CONFLICT;
    }
  return target->offset >= 0 && next_offset > target->offset
             ? COLT_CTL_EFFECT_REFUSED
             : COLT_CTL_EFFECT_PENDING;
}

/* Finds a bundle by its hash and sets NEXT to the one that follows it, or to
   NULL if it is the last. */
static bool
find_in_history_ (const json_t *state,
                  const char *hash,
                  json_int_t *version,
                  const json_t **next)
{
  const json_t *history = json_object_get (state, "history");
  size_t i;

  for (i = 0; i < json_array_size (history); i++)
    {
      const json_t *item = json_array_get (history, i);
      const char *text = json_string_value (json_object_get (item, "hash"));
      const json_t *following = json_array_get (history, i + 1);

      if (g_strcmp0 (text, hash) != 0)
        continue;
      *version = json_integer_value (json_object_get (item, "version"));
      *next = NULL;
      if (json_is_string (json_object_get (following, "hash")))
        *next = following;
      return true;
    }
  return false;
}

/* Returns the zones of the bundle in which no polled entry instance settled. */
static json_t *
list_missing_zones_ (const struct ColtBundle *bundle, const json_t *report)
{
  const json_t *settled = json_object_get (report, "zones");
  json_t *missing = json_array ();
  uint32_t i;
  size_t k;

  for (i = 0; i < colt_bundle_zone_count (bundle); i++)
    {
      json_int_t zone = colt_bundle_zone (bundle, i)->number;
      bool found = false;

      for (k = 0; k < json_array_size (settled); k++)
        found = found
                || json_integer_value (
                       json_object_get (json_array_get (settled, k), "zone"))
                       == zone;
      if (!found)
        json_array_append_new (missing, json_integer (zone));
    }
  return missing;
}
