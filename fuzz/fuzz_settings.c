/* Fuzzes the daemon's settings: any text gives either settings within the
 * bounds of their table or problems that name the file. */
#include <glib.h>
#include <string.h>

#include "coltsfootstile/settings.h"
#include "daemon_settings.h"

#define NAME "entry.ini"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Precedes some inputs, so that the fuzzer soon reaches complete settings. */
static const char required_settings[]
    = "[instance]\nnumber = 3\nzone = 2\nwire = 127.1.0.1:7000\n"
      "http = 127.1.0.1:8080\n"
      "[platform]\nlog = 127.100.0.1:8500\nlist = 127.100.0.2:8500\n";

static void
check_value_ (const struct ColtSettings *settings,
              const struct ColtSettingSpec *spec)
{
  int64_t number;

  if (spec->repeated)
    {
      size_t count = colt_settings_count (settings, spec->section, spec->key);

      while (count-- > 0)
        g_assert_cmpuint (strlen (colt_settings_item (settings, spec->section,
                                                      spec->key, count)),
                          >, 0);
      return;
    }
  if (spec->kind == COLT_SETTING_INTEGER)
    {
      number = colt_settings_integer (settings, spec->section, spec->key);
      g_assert_cmpint (number, >=, spec->minimum);
      g_assert_cmpint (number, <=, spec->maximum);
    }
  else if (spec->kind == COLT_SETTING_ADDRESS)
    g_assert_nonnull (strchr (
        colt_settings_string (settings, spec->section, spec->key), ':'));
  else
    g_assert_cmpuint (
        strlen (colt_settings_string (settings, spec->section, spec->key)), >,
        0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtSettings *settings
      = colt_settings_create (colt_daemon_settings, colt_daemon_setting_count);
  GString *text
      = g_string_new (size > 0 && (data[0] & 1) != 0 ? required_settings : "");
  struct ColtError error;
  size_t problems;
  size_t i;
  bool valid;

  if (size > 1)
    g_string_append_len (text, (const char *)data + 1, (gssize)size - 1);
  valid = colt_settings_read_text (settings, NAME, text->str, &error);
  problems = colt_settings_problem_count (settings);
  g_assert_true (valid == (problems == 0));
  g_assert_true (valid || error.code == COLT_ERROR_INVALID);
  for (i = 0; i < problems; i++)
    g_assert_true (
        g_str_has_prefix (colt_settings_problem (settings, i), NAME ":"));
  for (i = 0; valid && i < colt_daemon_setting_count; i++)
    check_value_ (settings, &colt_daemon_settings[i]);
  g_string_free (text, TRUE);
  colt_settings_destroy (settings);
  return 0;
}
