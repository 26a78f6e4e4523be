#include "coltsfootstile/settings.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/ini.h"

struct ColtSettings
{
  const struct ColtSettingSpec *specs;
  size_t spec_count;
  GPtrArray **values;  /* an array of strings for each of specs */
  GPtrArray *problems; /* of strings */
  const char *name;    /* of the file being read */
};

static void add_problem_ (struct ColtSettings *settings, char *line);
static bool set_error_ (const struct ColtSettings *settings,
                        struct ColtError *error);
static void handle_key_ (void *client,
                         const char *section,
                         const char *key,
                         const char *value,
                         int line);
static void add_defaults_ (struct ColtSettings *settings);
static char *check_value_ (const struct ColtSettingSpec *spec,
                           const char *value);
static char *check_integer_ (const struct ColtSettingSpec *spec,
                             const char *value);
static char *check_address_ (const char *value);
static bool parse_boolean_ (const char *value, bool *result);
static size_t find_spec_ (const struct ColtSettings *settings,
                          const char *section,
                          const char *key);
static const GPtrArray *get_values_ (const struct ColtSettings *settings,
                                     const char *section,
                                     const char *key);
static const char *get_first_value_ (const struct ColtSettings *settings,
                                     const char *section,
                                     const char *key);

struct ColtSettings *
colt_settings_create (const struct ColtSettingSpec *specs, size_t count)
{
  struct ColtSettings *settings = g_new0 (struct ColtSettings, 1);
  size_t i;

  settings->specs = specs;
  settings->spec_count = count;
  settings->values = g_new0 (GPtrArray *, count);
  for (i = 0; i < count; i++)
    settings->values[i] = g_ptr_array_new_with_free_func (g_free);
  settings->problems = g_ptr_array_new_with_free_func (g_free);
  return settings;
}

void
colt_settings_destroy (struct ColtSettings *settings)
{
  size_t i;

  if (settings == NULL)
    return;
  for (i = 0; i < settings->spec_count; i++)
    g_ptr_array_unref (settings->values[i]);
  g_free (settings->values);
  g_ptr_array_unref (settings->problems);
  g_free (settings);
}

bool
colt_settings_read (struct ColtSettings *settings,
                    const char *path,
                    struct ColtError *error)
{
  GError *failure = NULL;
  char *text = NULL;
  bool good;

  if (!g_file_get_contents (path, &text, NULL, &failure))
    {
      add_problem_ (settings, g_strdup_printf ("%s: can't be read: %s", path,
                                               failure->message));
      g_error_free (failure);
      return set_error_ (settings, error);
    }
  good = colt_settings_read_text (settings, path, text, error);
  g_free (text);
  return good;
}

bool
colt_settings_read_text (struct ColtSettings *settings,
                         const char *name,
                         const char *text,
                         struct ColtError *error)
{
  struct ColtError failure;
  int line;

  settings->name = name;
  if (!colt_ini_parse (text, handle_key_, settings, &line, &failure))
    add_problem_ (settings,
                  g_strdup_printf ("%s:%d: %s", name, line, failure.message));
  add_defaults_ (settings);
  return set_error_ (settings, error);
}

size_t
colt_settings_problem_count (const struct ColtSettings *settings)
{
  return settings->problems->len;
}

const char *
colt_settings_problem (const struct ColtSettings *settings, size_t index)
{
  assert (index < settings->problems->len);
  return g_ptr_array_index (settings->problems, index);
}

const char *
colt_settings_string (const struct ColtSettings *settings,
                      const char *section,
                      const char *key)
{
  return get_first_value_ (settings, section, key);
}

int64_t
colt_settings_integer (const struct ColtSettings *settings,
                       const char *section,
                       const char *key)
{
  return strtoll (get_first_value_ (settings, section, key), NULL, 10);
}

bool
colt_settings_boolean (const struct ColtSettings *settings,
                       const char *section,
                       const char *key)
{
  bool result = false;

  parse_boolean_ (get_first_value_ (settings, section, key), &result);
  return result;
}

size_t
colt_settings_count (const struct ColtSettings *settings,
                     const char *section,
                     const char *key)
{
  return get_values_ (settings, section, key)->len;
}

const char *
colt_settings_item (const struct ColtSettings *settings,
                    const char *section,
                    const char *key,
                    size_t index)
{
  const GPtrArray *values = get_values_ (settings, section, key);

  assert (index < values->len);
  return g_ptr_array_index (values, index);
}

/* Takes ownership of line. */
static void
add_problem_ (struct ColtSettings *settings, char *line)
{
  g_ptr_array_add (settings->problems, line);
}

/* Returns true without problems, else sets error to the first one and returns
 * false. */
static bool
set_error_ (const struct ColtSettings *settings, struct ColtError *error)
{
  if (settings->problems->len == 0)
    return true;
  return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, NULL,
                         "%s", colt_settings_problem (settings, 0));
}

static void
handle_key_ (void *client,
             const char *section,
             const char *key,
             const char *value,
             int line)
{
  struct ColtSettings *settings = client;
  size_t index = find_spec_ (settings, section, key);
  char *reason;

  if (index == settings->spec_count)
    reason = g_strdup ("no such setting");
  else if (settings->values[index]->len > 0 && !settings->specs[index].repeated)
    reason = g_strdup ("is set twice");
  else
    reason = check_value_ (&settings->specs[index], value);
  if (reason == NULL)
    g_ptr_array_add (settings->values[index], g_strdup (value));
  else
    g_ptr_array_add (settings->problems,
                     g_strdup_printf ("%s:%d: [%s] %s: %s", settings->name,
                                      line, section, key, reason));
  g_free (reason);
}

/* Adds default values; a required setting without a value is a problem. */
static void
add_defaults_ (struct ColtSettings *settings)
{
  size_t i;

  for (i = 0; i < settings->spec_count; i++)
    {
      const struct ColtSettingSpec *spec = &settings->specs[i];

      if (settings->values[i]->len > 0 || spec->repeated)
        continue;
      if (spec->fallback != NULL)
        g_ptr_array_add (settings->values[i], g_strdup (spec->fallback));
      else
        g_ptr_array_add (settings->problems,
                         g_strdup_printf ("%s: [%s] %s: is required",
                                          settings->name, spec->section,
                                          spec->key));
    }
}

/* Returns why a value is invalid, to be freed with g_free(), or NULL if it is
 * valid. */
static char *
check_value_ (const struct ColtSettingSpec *spec, const char *value)
{
  bool ignored;

  switch (spec->kind)
    {
    case COLT_SETTING_STRING:
      return value[0] == '\0' ? g_strdup ("is empty") : NULL;
    case COLT_SETTING_INTEGER:
      return check_integer_ (spec, value);
    case COLT_SETTING_BOOLEAN:
      if (parse_boolean_ (value, &ignored))
        return NULL;
      return g_strdup_printf ("\"%s\" is not true or false", value);
    case COLT_SETTING_ADDRESS:
      return check_address_ (value);
    }
  return NULL;
}

static char *
check_integer_ (const struct ColtSettingSpec *spec, const char *value)
{
  char *end;
  long long number;

  errno = 0;
  number = strtoll (value, &end, 10);
  if (end == value || *end != '\0' || errno != 0)
    return g_strdup_printf ("\"%s\" is not a whole number", value);
  if (number < spec->minimum || number > spec->maximum)
    return g_strdup_printf ("%lld is not in the range %" PRId64 " to %" PRId64,
                            number, spec->minimum, spec->maximum);
  return NULL;
}

static char *
check_address_ (const char *value)
{
  struct ColtAddress address;
  const char *colon = strrchr (value, ':');

  switch (colt_address_parse (value, &address))
    {
    case COLT_ADDRESS_NO_PORT:
      return g_strdup_printf ("\"%s\" is not ADDRESS:PORT", value);
    case COLT_ADDRESS_BAD_HOST:
      return g_strdup_printf ("\"%.*s\" is not an IPv4 address",
                              (int)(colon - value), value);
    case COLT_ADDRESS_BAD_PORT:
      return g_strdup_printf ("\"%s\" is not a port number", colon + 1);
    case COLT_ADDRESS_VALID:
      break;
    }
  return NULL;
}

static bool
parse_boolean_ (const char *value, bool *result)
{
  static const char *const yes[] = { "true", "yes", "on" };
  static const char *const no[] = { "false", "no", "off" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (yes); i++)
    {
      if (strcmp (value, yes[i]) == 0)
        {
          *result = true;
          return true;
        }
      if (strcmp (value, no[i]) == 0)
        {
          *result = false;
          return true;
        }
    }
  return false;
}

/* Returns the index of a setting, or spec_count if there is none. */
static size_t
find_spec_ (const struct ColtSettings *settings,
            const char *section,
            const char *key)
{
  size_t i;

  for (i = 0; i < settings->spec_count; i++)
    if (strcmp (settings->specs[i].section, section) == 0
        && strcmp (settings->specs[i].key, key) == 0)
      break;
  return i;
}

static const GPtrArray *
get_values_ (const struct ColtSettings *settings,
             const char *section,
             const char *key)
{
  size_t index = find_spec_ (settings, section, key);

  assert (index < settings->spec_count);
  return settings->values[index];
}

static const char *
get_first_value_ (const struct ColtSettings *settings,
                  const char *section,
                  const char *key)
{
  const GPtrArray *values = get_values_ (settings, section, key);

  assert (values->len > 0);
  return g_ptr_array_index (values, 0);
}
