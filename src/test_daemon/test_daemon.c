#include <glib.h>
#include <string.h>

#include "coltsfootstile/settings.h"
#include "daemon_settings.h"

#define GOOD_SETTINGS                                                          \
  "[instance]\nnumber = 3\nzone = 2\nwire = 127.1.0.1:7000\n"                  \
  "http = 127.1.0.1:8080\n"                                                    \
  "[platform]\nlog = 127.100.0.1:8500\nlist = 127.100.0.2:8500\n"

static struct ColtSettings *
create_settings (void)
{
  return colt_settings_create (colt_daemon_settings, colt_daemon_setting_count);
}

/* Reads GOOD_SETTINGS followed by "more". Returns the only problem, to be
 * freed with g_free(), or NULL if there is none. */
static char *
read_problem (const char *more)
{
  struct ColtSettings *settings = create_settings ();
  char *text = g_strconcat (GOOD_SETTINGS, more, NULL);
  bool good = colt_settings_read_text (settings, "entry.ini", text, NULL);
  char *problem = NULL;

  g_assert_cmpuint (colt_settings_problem_count (settings), ==, good ? 0 : 1);
  if (!good)
    problem = g_strdup (colt_settings_problem (settings, 0));
  colt_settings_destroy (settings);
  g_free (text);
  return problem;
}

static void
assert_problem (const char *more, const char *expected)
{
  char *problem = read_problem (more);

  g_assert_cmpstr (problem, ==, expected);
  g_free (problem);
}

static void
test_defaults (void)
{
  struct ColtSettings *settings = create_settings ();

  g_assert_true (
      colt_settings_read_text (settings, "entry.ini", GOOD_SETTINGS, NULL));
  g_assert_cmpint (colt_settings_integer (settings, "instance", "zone"), ==, 2);
  g_assert_cmpint (colt_settings_integer (settings, "instance", "grace_ms"), ==,
                   8000);
  g_assert_cmpint (
      colt_settings_integer (settings, "platform", "list_interval_ms"), ==,
      1000);
  g_assert_cmpint (
      colt_settings_integer (settings, "platform", "log_retention_s"), ==,
      86400);
  g_assert_cmpint (
      colt_settings_integer (settings, "platform", "server_timeout_ms"), ==,
      600);
  g_assert_cmpstr (colt_settings_string (settings, "log", "level"), ==, "info");
  g_assert_cmpuint (colt_settings_count (settings, "instance", "peer"), ==, 0);
  colt_settings_destroy (settings);
}

static void
test_bounds (void)
{
  assert_problem ("[instance]\ngrace_ms = 500\n", NULL);
  assert_problem ("[instance]\ngrace_ms = 600000\n", NULL);
  assert_problem (
      "[instance]\ngrace_ms = 499\n",
      "entry.ini:10: [instance] grace_ms: 499 is not in the range 500 to "
      "600000");
  assert_problem (
      "[instance]\ngrace_ms = 600001\n",
      "entry.ini:10: [instance] grace_ms: 600001 is not in the range 500 to "
      "600000");
  assert_problem (
      "[platform]\nlog_retention_s = 9\n",
      "entry.ini:10: [platform] log_retention_s: 9 is not in the range 10 to "
      "31536000");
  assert_problem (
      "[platform]\nserver_timeout_ms = 1e3\n",
      "entry.ini:10: [platform] server_timeout_ms: \"1e3\" is not a "
      "whole number");
}

static void
test_unknown_and_repeated (void)
{
  assert_problem ("[instance]\npeer = 2 1 127.1.0.2:7000\n"
                  "peer = 3 1 127.1.0.3:7000\n",
                  NULL);
  assert_problem ("[instance]\nnumber = 3\n",
                  "entry.ini:10: [instance] number: is set twice");
  assert_problem ("[instances]\nnumber = 3\n",
                  "entry.ini:10: [instances] number: no such setting");
  assert_problem ("[log]\nlevel =\n", "entry.ini:10: [log] level: is empty");
}

static void
test_all_problems_are_reported (void)
{
  struct ColtSettings *settings = create_settings ();
  const char *text = "[instance]\nnumber = 70000\nzone = 16\n"
                     "wire = host:1\nhttp = 127.0.0.1:0\nx = y\n";
  const char *const expected[]
      = { "bad.ini:2: [instance] number: 70000 is not in the range 1 to 65535",
          "bad.ini:3: [instance] zone: 16 is not in the range 1 to 15",
          "bad.ini:4: [instance] wire: \"host\" is not an IPv4 address",
          "bad.ini:5: [instance] http: \"0\" is not a port number",
          "bad.ini:6: [instance] x: no such setting" };
  struct ColtError error;
  size_t i;

  g_assert_false (colt_settings_read_text (settings, "bad.ini", text, &error));
  g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
  g_assert_cmpuint (colt_settings_problem_count (settings), >,
                    G_N_ELEMENTS (expected));
  for (i = 0; i < G_N_ELEMENTS (expected); i++)
    g_assert_cmpstr (colt_settings_problem (settings, i), ==, expected[i]);
  g_assert_cmpstr (colt_settings_problem (
                       settings, colt_settings_problem_count (settings) - 1),
                   ==, "bad.ini: [platform] list: is required");
  colt_settings_destroy (settings);
}

static void
test_every_setting_has_help (void)
{
  size_t i;

  for (i = 0; i < colt_daemon_setting_count; i++)
    {
      const struct ColtSettingSpec *spec = &colt_daemon_settings[i];

      g_assert_cmpuint (strlen (spec->help), >, 0);
      if (spec->kind == COLT_SETTING_INTEGER)
        g_assert_cmpint (spec->minimum, <, spec->maximum);
    }
}

/* The settings page has a table row for each setting. */
static void
test_page_has_every_setting (void)
{
  char *page = NULL;
  size_t i;

  g_assert_true (g_file_get_contents (SETTINGS_PAGE, &page, NULL, NULL));
  for (i = 0; i < colt_daemon_setting_count; i++)
    {
      const struct ColtSettingSpec *spec = &colt_daemon_settings[i];
      char *row
          = g_strdup_printf ("\n| `%s` | `%s` |", spec->section, spec->key);

      g_assert_nonnull (strstr (page, row));
      g_free (row);
    }
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/daemon/defaults", test_defaults);
  g_test_add_func ("/daemon/bounds", test_bounds);
  g_test_add_func ("/daemon/unknown-and-repeated", test_unknown_and_repeated);
  g_test_add_func ("/daemon/every-problem", test_all_problems_are_reported);
  g_test_add_func ("/daemon/page", test_page_has_every_setting);
  g_test_add_func ("/daemon/help", test_every_setting_has_help);
  return g_test_run ();
}
