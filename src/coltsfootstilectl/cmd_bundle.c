#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static enum ColtCtlExit run_check_ (int argc, char **argv);
static enum ColtCtlExit run_hash_ (int argc, char **argv);
static enum ColtCtlExit run_sign_ (int argc, char **argv);
static enum ColtCtlExit run_show_ (int argc, char **argv);
static enum ColtCtlExit run_diff_ (int argc, char **argv);
static json_t *describe_bundle_ (const struct ColtBundle *bundle);
static json_t *describe_teams_ (const struct ColtBundle *bundle);
static json_t *describe_queues_ (const struct ColtBundle *bundle);
static json_t *describe_work_ (const struct ColtBundle *bundle);
static const char *check_signature_ (const struct ColtBundle *bundle);
static json_t *encode_limit_ (int64_t limit);
static json_t *diff_bundles_ (const struct ColtBundle *old,
                              const struct ColtBundle *new);
static GHashTable *index_lines_ (const char *text, GPtrArray *order);
static bool is_successor_ (const struct ColtBundle *old,
                           const struct ColtBundle *new);

const struct ColtCtlCommand colt_ctl_bundle_commands[] = {
  { "bundle", "check", "read a bundle and report every problem", run_check_ },
  { "bundle", "hash", "print the hash that identifies a bundle", run_hash_ },
  { "bundle", "sign", "print a bundle with an operator's signature",
    run_sign_ },
  { "bundle", "show", "print what a bundle declares", run_show_ },
  { "bundle", "diff", "print what differs between two bundles", run_diff_ },
  { NULL, NULL, NULL, NULL }
};

static enum ColtCtlExit
run_check_ (int argc, char **argv)
{
  const char *path = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, NULL, "BUNDLE", "file with the bundle", true,
            &path } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl bundle check",
          "read a bundle and report every problem", options, 1 };
  struct ColtBundle *bundle;
  enum ColtCtlExit exit_code;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  bundle = colt_ctl_read_bundle (path, json);
  if (bundle == NULL)
    return COLT_CTL_USAGE;
  colt_ctl_print (json, json_pack ("{s:s,s:I,s:s}", "file", path, "version",
                                   (json_int_t)colt_bundle_version (bundle),
                                   "signature", check_signature_ (bundle)));
  colt_bundle_destroy (bundle);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
run_hash_ (int argc, char **argv)
{
  const char *path = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, NULL, "BUNDLE", "file with the bundle", true,
            &path } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl bundle hash",
          "print the hash that identifies a bundle", options, 1 };
  char hex[COLT_HASH_TEXT_SIZE];
  struct ColtBundle *bundle;
  enum ColtCtlExit exit_code;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  bundle = colt_ctl_read_bundle (path, json);
  if (bundle == NULL)
    return COLT_CTL_USAGE;
  colt_hash_format (colt_bundle_hash (bundle), hex);
  if (json)
    colt_ctl_print (true, json_pack ("{s:s}", "hash", hex));
  else
    puts (hex);
  colt_bundle_destroy (bundle);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
run_sign_ (int argc, char **argv)
{
  const char *path = NULL;
  const char *key = NULL;
  const char *out = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, "key", "FILE", "operator's key file", true, &key },
          { COLT_CTL_TEXT, "out", "FILE",
            "file to create for the result (standard output)", false, &out },
          { COLT_CTL_TEXT, NULL, "BUNDLE", "file with the bundle", true,
            &path } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl bundle sign",
          "print a bundle with an operator's signature", options, 3 };
  struct ColtOperatorPair pair;
  struct ColtSignature signature;
  struct ColtBundle *bundle;
  struct ColtError error;
  char *text;
  enum ColtCtlExit exit_code;
  bool json;
  bool good = true;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  if (!colt_ctl_read_operator_pair (key, &pair, &error))
    return colt_ctl_fail (json, COLT_CTL_USAGE, &error);
  bundle = colt_ctl_read_bundle (path, json);
  if (bundle == NULL)
    return COLT_CTL_USAGE;
  colt_bundle_sign (bundle, &pair, &signature);
  text = colt_bundle_signed_text (bundle, &signature);
  if (out != NULL)
    good = colt_ctl_write_file (out, text, false, &error);
  else if (json)
    colt_ctl_print (true, json_pack ("{s:s}", "text", text));
  else
    fputs (text, stdout);
  free (text);
  colt_bundle_destroy (bundle);
  return good ? COLT_CTL_OK : colt_ctl_fail (json, COLT_CTL_REFUSED, &error);
}

static enum ColtCtlExit
run_show_ (int argc, char **argv)
{
  const char *path = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_TEXT, NULL, "BUNDLE", "file with the bundle", true,
            &path } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl bundle show", "print what a bundle declares",
          options, 1 };
  struct ColtBundle *bundle;
  enum ColtCtlExit exit_code;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  bundle = colt_ctl_read_bundle (path, json);
  if (bundle == NULL)
    return COLT_CTL_USAGE;
  colt_ctl_print (json, describe_bundle_ (bundle));
  colt_bundle_destroy (bundle);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
run_diff_ (int argc, char **argv)
{
  const char *old_path = NULL;
  const char *new_path = NULL;
  const struct ColtCtlOption options[] = {
    { COLT_CTL_TEXT, NULL, "OLD", "file with the old bundle", true, &old_path },
    { COLT_CTL_TEXT, NULL, "NEW", "file with the new bundle", true, &new_path }
  };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl bundle diff",
          "print what differs between two bundles", options, 2 };
  struct ColtBundle *old;
  struct ColtBundle *new;
  enum ColtCtlExit exit_code;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  old = colt_ctl_read_bundle (old_path, json);
  new = colt_ctl_read_bundle (new_path, json);
  if (old != NULL && new != NULL)
    colt_ctl_print (json, diff_bundles_ (old, new));
  colt_bundle_destroy (new);
  colt_bundle_destroy (old);
  return old != NULL && new != NULL ? COLT_CTL_OK : COLT_CTL_USAGE;
}

static json_t *
describe_bundle_ (const struct ColtBundle *bundle)
{
  char hash[COLT_HASH_TEXT_SIZE];
  char parent[COLT_HASH_TEXT_SIZE];
  char key[COLT_HASH_TEXT_SIZE];
  json_t *operators = json_array ();
  json_t *zones = json_array ();
  size_t i;

  for (i = 0; i < colt_bundle_operator_count (bundle); i++)
    json_array_append_new (operators,
                           json_string (colt_operator_key_format (
                               colt_bundle_operator (bundle, i), key)));
  for (i = 0; i < colt_bundle_zone_count (bundle); i++)
    {
      const struct ColtBundleZone *zone = colt_bundle_zone (bundle, i);

      json_array_append_new (zones,
                             json_pack ("{s:i,s:s}", "zone", (int)zone->number,
                                        "region", zone->region));
    }
  colt_hash_format (colt_bundle_hash (bundle), hash);
  colt_hash_format (colt_bundle_parent (bundle), parent);
  return json_pack (
      "{s:I,s:s,s:s,s:s,s:o,s:o,s:I,s:I,s:o,s:o,s:o}", "version",
      (json_int_t)colt_bundle_version (bundle), "hash", hash, "parent",
      colt_hash_is_none (colt_bundle_parent (bundle)) ? "none" : parent,
      "signature", check_signature_ (bundle), "operators", operators, "zones",
      zones, "organisations",
      (json_int_t)colt_bundle_organisation_count (bundle), "keys",
      (json_int_t)colt_bundle_key_count (bundle), "teams",
      describe_teams_ (bundle), "queues", describe_queues_ (bundle), "work",
      describe_work_ (bundle));
}

static json_t *
describe_teams_ (const struct ColtBundle *bundle)
{
  json_t *teams = json_array ();
  uint32_t i;

  for (i = 0; i < colt_bundle_team_count (bundle); i++)
    {
      const struct ColtBundleTeam *team = colt_bundle_team (bundle, i);

      json_array_append_new (
          teams, json_pack ("{s:s,s:s,s:I,s:I,s:o,s:o,s:I}", "team", team->name,
                            "organisation", team->organisation.name, "weight",
                            (json_int_t)team->weight, "limit_tasks",
                            (json_int_t)team->limit_tasks, "limit_cores_milli",
                            encode_limit_ (team->limit_cores_milli),
                            "limit_accelerators",
                            encode_limit_ (team->limit_accelerators),
                            "retries_per_minute",
                            (json_int_t)team->retries_per_minute));
    }
  return teams;
}

static json_t *
describe_queues_ (const struct ColtBundle *bundle)
{
  json_t *queues = json_array ();
  uint32_t i;

  for (i = 0; i < colt_bundle_queue_count (bundle); i++)
    {
      const struct ColtBundleQueue *queue = colt_bundle_queue (bundle, i);

      json_array_append_new (
          queues, json_pack ("{s:s,s:s,s:b,s:I}", "queue", queue->name, "team",
                             queue->team.name, "open", queue->open,
                             "max_waiting", (json_int_t)queue->max_waiting));
    }
  return queues;
}

static json_t *
describe_work_ (const struct ColtBundle *bundle)
{
  json_t *list = json_array ();
  int kind;

  for (kind = 0; kind < COLT_WORK_KIND_COUNT; kind++)
    {
      const struct ColtBundleWork *work = colt_bundle_work (bundle, kind);

      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:I,s:I,s:I,s:b}", "kind", work->name,
                           "policy", colt_work_policy_string[work->policy],
                           "deadline_ms", (json_int_t)work->deadline_ms,
                           "priority", (json_int_t)work->priority,
                           "max_attempts", (json_int_t)work->max_attempts,
                           "checkpoint", work->checkpoint));
    }
  return list;
}

static const char *
check_signature_ (const struct ColtBundle *bundle)
{
  const struct ColtSignature *signature = colt_bundle_signature (bundle);

  if (signature == NULL)
    return "none";
  return colt_sign_verify (signature, COLT_SIGN_BUNDLE,
                           colt_bundle_hash (bundle)->bytes, COLT_HASH_SIZE)
             ? "right"
             : "wrong";
}

static json_t *
encode_limit_ (int64_t limit)
{
  return limit == COLT_BUNDLE_NO_LIMIT ? json_null () : json_integer (limit);
}

static json_t *
diff_bundles_ (const struct ColtBundle *old, const struct ColtBundle *new)
{
  GPtrArray *old_order = g_ptr_array_new ();
  GPtrArray *new_order = g_ptr_array_new ();
  GHashTable *old_lines = index_lines_ (colt_bundle_text (old), old_order);
  GHashTable *new_lines = index_lines_ (colt_bundle_text (new), new_order);
  json_t *removed = json_array ();
  json_t *added = json_array ();
  guint i;

  for (i = 0; i < old_order->len; i++)
    if (!g_hash_table_contains (new_lines, old_order->pdata[i]))
      json_array_append_new (removed, json_string (old_order->pdata[i]));
  for (i = 0; i < new_order->len; i++)
    if (!g_hash_table_contains (old_lines, new_order->pdata[i]))
      json_array_append_new (added, json_string (new_order->pdata[i]));
  g_ptr_array_unref (old_order);
  g_ptr_array_unref (new_order);
  g_hash_table_unref (old_lines);
  g_hash_table_unref (new_lines);
  return json_pack ("{s:b,s:o,s:o}", "follows", is_successor_ (old, new),
                    "removed", removed, "added", added);
}

/* Returns the set of the lines, each as "[section] key = value", or as
   "[section]" for a section's own line. The set owns the lines; their order in
   the text is added to ORDER. */
static GHashTable *
index_lines_ (const char *text, GPtrArray *order)
{
  GHashTable *lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **list = g_strsplit (text, "\n", -1);
  const char *section = "";
  size_t i;

  for (i = 0; list[i] != NULL; i++)
    {
      char *line;

      if (list[i][0] == '\0')
        continue;
      if (list[i][0] == '[')
        section = list[i];
      line = list[i][0] == '[' ? g_strdup (section)
                               : g_strconcat (section, " ", list[i], NULL);
      if (g_hash_table_add (lines, line))
        g_ptr_array_add (order, line);
    }
  g_strfreev (list);
  return lines;
}

static bool
is_successor_ (const struct ColtBundle *old, const struct ColtBundle *new)
{
  return colt_hash_equal (colt_bundle_parent (new), colt_bundle_hash (old))
         && colt_bundle_version (new) == colt_bundle_version (old) + 1;
}
