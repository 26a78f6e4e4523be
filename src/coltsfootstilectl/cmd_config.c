#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "coltsfootstile/adapter.h"
#include "coltsfootstile/fleet_check.h"
#include "ctl.h"

/* The options of one check, and its results. */
struct ColtConfigCheck
{
  const char *path;
  const char *against; /* NULL: nothing is compared */
  const char *log;     /* NULL: AGAINST is a file */
  const char *room;
  struct ColtResources task; /* that ROOM gives */
  struct ColtFleet *fleet;
  struct ColtFleet *in_force;
  json_t *findings;
  json_t *changes;
};

static enum ColtCtlExit run_check_ (int argc, char **argv);
static bool parse_room_ (const char *text, struct ColtResources *task);
static enum ColtCtlExit check_ (struct ColtConfigCheck *check);
static struct ColtFleet *read_file_ (struct ColtConfigCheck *check,
                                     const char *path);
static struct ColtFleet *read_in_force_ (struct ColtConfigCheck *check);
static bool parse_version_ (const char *text, int64_t *version);
static void add_problem_ (struct ColtConfigCheck *check,
                          const char *kind,
                          const char *subject,
                          const char *text);
static void add_findings_ (struct ColtConfigCheck *check);
static void add_changes_ (struct ColtConfigCheck *check);
static json_t *encode_ (const char *text);
static json_t *encode_version_ (const struct ColtFleet *fleet);
static void print_text_ (const struct ColtConfigCheck *check);
static void print_change_ (const json_t *change);
static void print_line_ (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
static const char *get_ (const json_t *object, const char *name);

const struct ColtCtlCommand colt_ctl_config_commands[]
    = { { "config", "check", "check a configuration before it is sent",
          run_check_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_check_ (int argc, char **argv)
{
  struct ColtConfigCheck check = { 0 };
  const struct ColtCtlOption options[] = {
    { COLT_CTL_TEXT, "against", "FILE|VERSION|log",
      "configuration to compare with; with --log, \"log\" (the default) or the "
      "version that must be in force",
      false, &check.against },
    { COLT_CTL_ADDRESS, "log", "ADDRESS",
      "platform's log, from which the version in force is read", false,
      &check.log },
    { COLT_CTL_TEXT, "room", "CPU,MEM,ACCELERATORS",
      "smallest task of any queue, in thousandths of a core, MB and "
      "accelerators; no maximum may be below it",
      false, &check.room },
    { COLT_CTL_TEXT, NULL, "FILE",
      "configuration in JSON; - for standard input", true, &check.path }
  };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl config check",
          "check a configuration before it is sent", options, 4 };
  enum ColtCtlExit exit_code;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  if (check.room != NULL && !parse_room_ (check.room, &check.task))
    return colt_ctl_fail_text (json, COLT_CTL_USAGE,
                               "--room is not three whole numbers separated by "
                               "commas");
  if (check.log == NULL && g_strcmp0 (check.against, "log") == 0)
    return colt_ctl_fail_text (json, COLT_CTL_USAGE,
                               "--against log needs --log");
  check.findings = json_array ();
  check.changes = json_array ();
  exit_code = check_ (&check);
  if (json)
    colt_ctl_print (
        true,
        json_pack ("{s:o,s:o,s:o,s:O,s:O,s:i}", "file", encode_ (check.path),
                   "version", encode_version_ (check.fleet), "against_version",
                   encode_version_ (check.in_force), "findings", check.findings,
                   "changes", check.changes, "exit", (int)exit_code));
  else
    print_text_ (&check);
  json_decref (check.findings);
  json_decref (check.changes);
  colt_fleet_unref (check.fleet);
  colt_fleet_unref (check.in_force);
  return exit_code;
}

static bool
parse_room_ (const char *text, struct ColtResources *task)
{
  const enum ColtResource order[] = { COLT_RESOURCE_CORES, COLT_RESOURCE_MEMORY,
                                      COLT_RESOURCE_ACCELERATORS };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (order); i++)
    {
      char *end;

      if (!g_ascii_isdigit (text[0]))
        return false;
      errno = 0;
      task->amount[order[i]] = g_ascii_strtoll (text, &end, 10);
      if (errno != 0 || *end != (i + 1 < G_N_ELEMENTS (order) ? ',' : '\0'))
        return false;
      text = end + 1;
    }
  return true;
}

static enum ColtCtlExit
check_ (struct ColtConfigCheck *check)
{
  bool compared = check->against != NULL || check->log != NULL;

  check->fleet = read_file_ (check, check->path);
  if (compared)
    check->in_force = check->log != NULL ? read_in_force_ (check)
                                         : read_file_ (check, check->against);
  if (check->fleet == NULL || (compared && check->in_force == NULL))
    return COLT_CTL_USAGE;
  add_findings_ (check);
  if (compared)
    add_changes_ (check);
  return json_array_size (check->findings) > 0 ? COLT_CTL_REFUSED : COLT_CTL_OK;
}

static struct ColtFleet *
read_file_ (struct ColtConfigCheck *check, const char *path)
{
  struct ColtError error = { 0 };
  struct ColtFleet *fleet;
  size_t size;
  char *text
      = colt_ctl_read_large_file (path, COLT_CONFIG_BYTES_MAX, &size, &error);

  if (text == NULL)
    {
      add_problem_ (check,
                    error.code == COLT_ERROR_EXHAUSTED ? "too_large"
                                                       : "unreadable",
                    path, error.message);
      return NULL;
    }
  fleet = colt_adapter_read_config (text, size, &error);
  if (fleet == NULL)
    add_problem_ (
        check, error.code == COLT_ERROR_EXHAUSTED ? "too_large" : "malformed",
        path, error.message);
  g_free (text);
  return fleet;
}

/* Reads the version in force from the log. */
static struct ColtFleet *
read_in_force_ (struct ColtConfigCheck *check)
{
  const char *against = check->against != NULL ? check->against : "log";
  struct ColtError error;
  struct ColtFleet *fleet;
  int64_t version = 0;
  bool any = strcmp (against, "log") == 0;

  if (!any && !parse_version_ (against, &version))
    {
      add_problem_ (check, "unreadable", against,
                    "with --log, --against is \"log\" or a version number");
      return NULL;
    }
  fleet = colt_ctl_read_config_in_force (check->log, &error);
  if (fleet == NULL)
    add_problem_ (check, "unreadable", check->log, error.message);
  else if (!any && fleet->version != version)
    {
      char *text = g_strdup_printf ("version %" G_GINT64_FORMAT
                                    " is in force, not %" G_GINT64_FORMAT,
                                    fleet->version, version);

      add_problem_ (check, "unreadable", check->log, text);
      g_free (text);
      g_clear_pointer (&fleet, colt_fleet_unref);
    }
  return fleet;
}

static bool
parse_version_ (const char *text, int64_t *version)
{
  char *end;

  errno = 0;
  *version = g_ascii_strtoll (text, &end, 10);
  return g_ascii_isdigit (text[0]) && *end == '\0' && errno == 0;
}

static void
add_problem_ (struct ColtConfigCheck *check,
              const char *kind,
              const char *subject,
              const char *text)
{
  json_array_append_new (check->findings,
                         json_pack ("{s:s,s:o,s:o}", "kind", kind, "subject",
                                    encode_ (subject), "text", encode_ (text)));
}

static void
add_findings_ (struct ColtConfigCheck *check)
{
  GPtrArray *list = colt_fleet_check (
      check->fleet, check->in_force, check->room != NULL ? &check->task : NULL);
  guint i;

  for (i = 0; i < list->len; i++)
    {
      const struct ColtFleetFinding *finding = g_ptr_array_index (list, i);

      add_problem_ (check, colt_fleet_finding_string[finding->kind],
                    finding->subject, finding->text);
    }
  g_ptr_array_unref (list);
}

static void
add_changes_ (struct ColtConfigCheck *check)
{
  GPtrArray *list = colt_fleet_diff (check->in_force, check->fleet);
  guint i;

  for (i = 0; i < list->len; i++)
    {
      const struct ColtFleetChange *change = g_ptr_array_index (list, i);

      json_array_append_new (
          check->changes,
          json_pack ("{s:s,s:o,s:s*,s:o*,s:o*}", "change",
                     colt_fleet_change_string[change->kind], "subject",
                     encode_ (change->subject), "member", change->member, "old",
                     encode_ (change->old), "new", encode_ (change->new)));
    }
  g_ptr_array_unref (list);
}

/* Encodes a text; bytes that aren't UTF-8 are replaced. */
static json_t *
encode_ (const char *text)
{
  char *valid;
  json_t *value;

  if (text == NULL)
    return NULL;
  valid = g_utf8_make_valid (text, -1);
  value = json_string (valid);
  g_free (valid);
  return value;
}

static json_t *
encode_version_ (const struct ColtFleet *fleet)
{
  return fleet != NULL ? json_integer (fleet->version) : json_null ();
}

static void
print_text_ (const struct ColtConfigCheck *check)
{
  const json_t *item;
  size_t i;

  json_array_foreach (check->findings, i, item)
      print_line_ ("%s: %s: %s", get_ (item, "kind"), get_ (item, "subject"),
                   get_ (item, "text"));
  json_array_foreach (check->changes, i, item) print_change_ (item);
  print_line_ ("findings: %zu, changes: %zu", json_array_size (check->findings),
               json_array_size (check->changes));
}

static void
print_change_ (const json_t *change)
{
  const char *kind = get_ (change, "change");
  const char *old = get_ (change, "old");
  const char *new = get_ (change, "new");

  if (old != NULL && new != NULL)
    print_line_ ("%s: %s: %s \"%s\" -> \"%s\"", kind, get_ (change, "subject"),
                 get_ (change, "member"), old, new);
  else if (old != NULL || new != NULL)
    print_line_ ("%s: %s: %s \"%s\"", kind, get_ (change, "subject"),
                 get_ (change, "member"), old != NULL ? old : new);
  else
    print_line_ ("%s: %s", kind, get_ (change, "subject"));
}

/* Prints a line. Names come from the file and may contain control characters,
 * which would act on the terminal; they are replaced by question marks. */
static void
print_line_ (const char *format, ...)
{
  GString *line = g_string_new (NULL);
  va_list values;
  const char *at;
  char *text;

  va_start (values, format);
  text = g_strdup_vprintf (format, values);
  va_end (values);
  for (at = text; *at != '\0'; at = g_utf8_next_char (at))
    {
      gunichar character = g_utf8_get_char (at);

      g_string_append_unichar (line, g_unichar_iscntrl (character)
                                             || g_unichar_type (character)
                                                    == G_UNICODE_FORMAT
                                         ? '?'
                                         : character);
    }
  puts (line->str);
  g_string_free (line, TRUE);
  g_free (text);
}

static const char *
get_ (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}
