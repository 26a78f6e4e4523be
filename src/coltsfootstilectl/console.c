#include <stdarg.h>
#include <stdio.h>

#include "ctl.h"

static void print_object_ (const json_t *object, int depth);
static void print_value_ (const json_t *value, int depth);

void
colt_ctl_print (bool json, json_t *result)
{
  if (json)
    {
      json_dumpf (result, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else
    print_object_ (result, 0);
  fflush (stdout);
  json_decref (result);
}

enum ColtCtlExit
colt_ctl_fail (bool json,
               enum ColtCtlExit exit_code,
               const struct ColtError *error)
{
  char line[COLT_ERROR_PEER_SIZE + COLT_ERROR_MESSAGE_SIZE + 64];

  return colt_ctl_fail_text (json, exit_code, "%s",
                             colt_error_format (error, line, sizeof line));
}

enum ColtCtlExit
colt_ctl_fail_text (bool json,
                    enum ColtCtlExit exit_code,
                    const char *format,
                    ...)
{
  va_list values;
  char *text;

  va_start (values, format);
  text = g_strdup_vprintf (format, values);
  va_end (values);
  fprintf (stderr, "coltsfootstilectl: %s\n", text);
  if (json)
    colt_ctl_print (
        true, json_pack ("{s:s,s:i}", "error", text, "exit", (int)exit_code));
  g_free (text);
  return exit_code;
}

static void
print_object_ (const json_t *object, int depth)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    printf ("%*s%s:", 2 * depth, "", key);
    print_value_ (value, depth);
  }
}

static void
print_value_ (const json_t *value, int depth)
{
  size_t i;
  json_t *item;

  if (json_is_object (value))
    {
      putchar ('\n');
      print_object_ (value, depth + 1);
      return;
    }
  if (!json_is_array (value))
    {
      char *text = json_dumps (value, JSON_ENCODE_ANY);

      printf (" %s\n",
              json_is_string (value) ? json_string_value (value) : text);
      free (text);
      return;
    }
  printf (json_array_size (value) == 0 ? " none\n" : "\n");
  json_array_foreach ((json_t *)value, i, item)
  {
    char *text = json_dumps (item, JSON_ENCODE_ANY | JSON_COMPACT);

    printf ("%*s%s\n", 2 * depth + 2, "",
            json_is_string (item) ? json_string_value (item) : text);
    free (text);
  }
}
