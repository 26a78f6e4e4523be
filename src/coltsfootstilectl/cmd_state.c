#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static enum ColtCtlExit run_dump_ (int argc, char **argv);
static enum ColtCtlExit run_counters_ (int argc, char **argv);
static enum ColtCtlExit run_evacuations_ (int argc, char **argv);
static void print_zones_ (const json_t *zones, bool settled);
static enum ColtCtlExit
fetch_text_ (const char *entry, const char *path, bool json, char **text);
static json_t *parse_counters_ (const char *text);

const struct ColtCtlCommand colt_ctl_state_commands[]
    = { { "", "dump", "print the state of an entry instance", run_dump_ },
        { "", "counters", "print the counters of an entry instance",
          run_counters_ },
        { "", "evacuations", "print the evacuated zones of a cell",
          run_evacuations_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_dump_ (int argc, char **argv)
{
  const char *entry = NULL;
  const char *subsystem = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "entry", "IP:PORT", "an entry instance", true,
            &entry },
          { COLT_CTL_TEXT, NULL, "SUBSYSTEM",
            "bundle, log, leases, shards, requests, peers, quota or servers "
            "(all)",
            false, &subsystem } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl dump", "print the state of an entry instance",
          options, 2 };
  enum ColtCtlExit exit_code;
  json_t *state;
  char *path;
  char *text;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  if (subsystem != NULL && !colt_name_is_valid (subsystem))
    return colt_ctl_fail_text (json, COLT_CTL_USAGE,
                               "\"%s\" is not the name of a subsystem",
                               subsystem);
  path = subsystem != NULL ? g_strconcat ("/v1/state/", subsystem, NULL)
                           : g_strdup ("/v1/state");
  exit_code = fetch_text_ (entry, path, json, &text);
  g_free (path);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  state = json_loads (text, 0, NULL);
  if (state == NULL)
    exit_code
        = colt_ctl_fail_text (json, COLT_CTL_REFUSED, "the answer is not JSON");
  else
    {
      json_dumpf (state, stdout, json ? JSON_COMPACT : JSON_INDENT (2));
      putchar ('\n');
    }
  json_decref (state);
  g_free (text);
  return exit_code;
}

static enum ColtCtlExit
run_counters_ (int argc, char **argv)
{
  const char *entry = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "entry", "IP:PORT", "an entry instance", true,
            &entry } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl counters",
          "print the counters of an entry instance", options, 1 };
  enum ColtCtlExit exit_code;
  char *text;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  exit_code = fetch_text_ (entry, "/metrics", json, &text);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  if (json)
    colt_ctl_print (true, parse_counters_ (text));
  else
    fputs (text, stdout);
  g_free (text);
  return COLT_CTL_OK;
}

/* Only the leader knows what is left in a zone. */
static enum ColtCtlExit
run_evacuations_ (int argc, char **argv)
{
  const char *entry = NULL;
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "entry", "IP:PORT",
            "the state address of the cell's leader", true, &entry } };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl evacuations",
          "print the evacuated zones of a cell", options, 1 };
  enum ColtCtlExit exit_code;
  const json_t *zones;
  json_t *state;
  char *text;
  bool json;

  if (!colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    return exit_code;
  exit_code = fetch_text_ (entry, "/state", json, &text);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  state = json_loads (text, 0, NULL);
  zones = json_object_get (state, "evacuated_zones");
  if (!json_is_array (zones))
    {
      const char *leader = json_string_value (json_object_get (state, "lead"));

      exit_code = colt_ctl_fail_text (json, COLT_CTL_REFUSED,
                                      "%s doesn't lead a cell; leader: %s",
                                      entry, leader != NULL ? leader : "");
    }
  else if (json)
    {
      json_dumpf (zones, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else
    print_zones_ (zones, json_is_true (json_object_get (state, "settled")));
  json_decref (state);
  g_free (text);
  return exit_code;
}

/* Until a cell is settled, runs of earlier leaders may be in a zone. */
static void
print_zones_ (const json_t *zones, bool settled)
{
  const json_t *zone;
  size_t i;

  json_array_foreach (zones, i, zone)
  {
    const char *name = json_string_value (json_object_get (zone, "zone"));
    json_int_t servers = json_integer_value (json_object_get (zone, "servers"));
    json_int_t runs = json_integer_value (json_object_get (zone, "runs"));
    json_int_t since_ms
        = json_integer_value (json_object_get (zone, "since_ms"));
    const char *end = runs > 0      ? ""
                      : !settled    ? ", not settled yet"
                      : servers > 0 ? ", empty"
                                    : ", unknown zone or without servers";

    printf ("%s: %lld servers, %lld runs, for %.1f s%s\n",
            name != NULL ? name : "", (long long)servers, (long long)runs,
            (double)since_ms / 1000, end);
  }
}

static enum ColtCtlExit
fetch_text_ (const char *entry, const char *path, bool json, char **text)
{
  const struct ColtHttpRequest request
      = { .method = COLT_HTTP_GET,
          .path = path,
          .timeout_ms = COLT_CTL_CALL_TIMEOUT_MS };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code = COLT_CTL_OK;

  colt_ctl_call (entry, &request, &answer);
  if (answer.result != COLT_HTTP_ANSWERED)
    exit_code = colt_ctl_fail (json, COLT_CTL_UNREACHABLE, &answer.error);
  else if (answer.status != 200)
    exit_code = colt_ctl_fail_text (json, COLT_CTL_REFUSED,
                                    "%s%s: answered status %d", entry, path,
                                    answer.status);
  *text = exit_code == COLT_CTL_OK ? g_strdup (answer.text) : NULL;
  colt_ctl_answer_clear (&answer);
  return exit_code;
}

/* Parses lines of "name value"; skips comments and lines without a space. */
static json_t *
parse_counters_ (const char *text)
{
  json_t *counters = json_object ();
  char **lines = g_strsplit (text, "\n", -1);
  size_t i;

  for (i = 0; lines[i] != NULL; i++)
    {
      char *space = strrchr (lines[i], ' ');

      if (lines[i][0] == '#' || space == NULL)
        continue;
      *space = '\0';
      json_object_set_new (counters, lines[i],
                           json_integer (strtoll (space + 1, NULL, 10)));
    }
  g_strfreev (lines);
  return counters;
}
