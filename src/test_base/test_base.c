#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/counters.h"
#include "coltsfootstile/error.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/settings.h"
#include "coltsfootstile/table.h"
#include "tests.h"

static const struct ColtSettingSpec specs[] = {
  { "instance", "zone", COLT_SETTING_INTEGER, NULL, 1, 15, false, "zone" },
  { "instance", "listen", COLT_SETTING_ADDRESS, "127.0.0.1:80", 0, 0, false,
    "" },
  { "log", "verbose", COLT_SETTING_BOOLEAN, "no", 0, 0, false, "" },
  { "peers", "peer", COLT_SETTING_ADDRESS, NULL, 0, 0, true, "" },
};

static void
test_error_format (void)
{
  struct ColtError error;
  char line[128];

  g_assert_false (colt_error_set (&error, COLT_ERROR_TIMEOUT, COLT_STEP_LEASE,
                                  "10.0.0.1:7", "no answer in %d ms", 5));
  g_assert_cmpstr (colt_error_format (&error, line, sizeof line), ==,
                   "lease: 10.0.0.1:7: no answer in 5 ms (timeout)");
}

static void
test_id_text_round_trip (void)
{
  const uint8_t random[10] = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };
  struct ColtId id = colt_id_mint (3, 77, random);
  struct ColtId back;
  char text[COLT_ID_TEXT_SIZE];

  colt_id_format (&id, text);
  g_assert_true (colt_id_parse (text, &back, NULL));
  g_assert_true (colt_id_equal (&id, &back));
  g_assert_cmpuint (colt_id_zone (&back), ==, 3);
  g_assert_cmpuint (colt_id_minted_s (&back), ==, 77);
}

static void
test_id_rejects_bad_text (void)
{
  struct ColtId id;
  struct ColtError error;

  g_assert_false (colt_id_parse ("12", &id, &error));
  g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
  g_assert_false (
      colt_id_parse ("00010000000000000000000000000000", &id, &error));
  g_assert_false (
      colt_id_parse ("0101000000000000000000000000000g", &id, &error));
  g_assert_false (
      colt_id_parse ("01090000000000000000000000000000", &id, &error));
}

static void
test_id_hash_ignores_zone_order (void)
{
  const uint32_t forward[] = { 1, 2, 3 };
  const uint32_t backward[] = { 3, 2, 1 };
  struct ColtId a = colt_id_hash ("team", "key", forward, 3);
  struct ColtId b = colt_id_hash ("team", "key", backward, 3);
  struct ColtId c = colt_id_hash ("teamk", "ey", forward, 3);

  g_assert_true (colt_id_equal (&a, &b));
  g_assert_false (colt_id_equal (&a, &c));
}

static void
test_settings_report_all_problems (void)
{
  struct ColtSettings *settings
      = colt_settings_create (specs, G_N_ELEMENTS (specs));
  struct ColtError error;

  g_assert_false (colt_settings_read_text (
      settings, "a.ini",
      "[instance]\nzone = 99\nlisten = here:1\ncolour = red\n"
      "[log]\nverbose = maybe\n",
      &error));
  g_assert_cmpuint (colt_settings_problem_count (settings), ==, 5);
  g_assert_cmpstr (colt_settings_problem (settings, 0), ==,
                   "a.ini:2: [instance] zone: 99 is not in the range 1 to 15");
  g_assert_cmpstr (colt_settings_problem (settings, 2), ==,
                   "a.ini:4: [instance] colour: no such setting");
  colt_settings_destroy (settings);
}

static void
test_settings_read_values (void)
{
  struct ColtSettings *settings
      = colt_settings_create (specs, G_N_ELEMENTS (specs));

  g_assert_true (colt_settings_read_text (
      settings, "a.ini",
      "[instance]\nzone = 2\n[peers]\npeer = 127.0.0.1:1\npeer = 127.0.0.2:2\n",
      NULL));
  g_assert_cmpint (colt_settings_integer (settings, "instance", "zone"), ==, 2);
  g_assert_cmpstr (colt_settings_string (settings, "instance", "listen"), ==,
                   "127.0.0.1:80");
  g_assert_false (colt_settings_boolean (settings, "log", "verbose"));
  g_assert_cmpuint (colt_settings_count (settings, "peers", "peer"), ==, 2);
  g_assert_cmpstr (colt_settings_item (settings, "peers", "peer", 1), ==,
                   "127.0.0.2:2");
  colt_settings_destroy (settings);
}

/* Each accessor must stop at a setting that isn't in the table; the first two
 * used to read behind the array of values. */
static void
test_settings_unknown_key (gconstpointer accessor)
{
  struct ColtSettings *settings
      = colt_settings_create (specs, G_N_ELEMENTS (specs));

  if (g_test_subprocess ())
    {
      if (g_strcmp0 (accessor, "count") == 0)
        colt_settings_count (settings, "peers", "colour");
      else if (g_strcmp0 (accessor, "item") == 0)
        colt_settings_item (settings, "peers", "colour", 0);
      else
        colt_settings_string (settings, "peers", "colour");
    }
  else
    {
      g_test_trap_subprocess (NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
      g_test_trap_assert_failed ();
      g_test_trap_assert_stderr ("*Assertion*index < settings->spec_count*");
    }
  colt_settings_destroy (settings);
}

static void
test_table_rejects_stale_handle (void)
{
  struct ColtTable *table = colt_table_create (sizeof (int));
  uint64_t first = colt_table_add (table);
  uint64_t second;

  *(int *)colt_table_get (table, first) = 5;
  colt_table_remove (table, first);
  second = colt_table_add (table);
  g_assert_null (colt_table_get (table, first));
  g_assert_cmpint (*(int *)colt_table_get (table, second), ==, 0);
  g_assert_cmpuint (colt_table_next (table, COLT_HANDLE_NONE), ==, second);
  g_assert_cmpuint (colt_table_next (table, second), ==, COLT_HANDLE_NONE);
  colt_table_destroy (table);
}

static void
test_counters_format (void)
{
  struct ColtCounters *counters = colt_counters_create ();
  uint32_t handle = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                            "x_total", "Things.");
  char *text;

  colt_counters_increment (counters, handle, 3);
  text = colt_counters_format (counters);
  g_assert_cmpstr (text, ==,
                   "# HELP coltsfootstile_x_total Things.\n"
                   "# TYPE coltsfootstile_x_total counter\n"
                   "coltsfootstile_x_total 3\n");
  free (text);
  colt_counters_destroy (counters);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/error/step_and_peer", test_error_format);
  g_test_add_func ("/base/id/round_trip", test_id_text_round_trip);
  g_test_add_func ("/base/id/bad_text", test_id_rejects_bad_text);
  g_test_add_func ("/base/id/hash", test_id_hash_ignores_zone_order);
  g_test_add_func ("/base/settings/problems",
                   test_settings_report_all_problems);
  g_test_add_func ("/base/settings/values", test_settings_read_values);
  g_test_add_data_func ("/base/settings/unknown/count", "count",
                        test_settings_unknown_key);
  g_test_add_data_func ("/base/settings/unknown/item", "item",
                        test_settings_unknown_key);
  g_test_add_data_func ("/base/settings/unknown/string", "string",
                        test_settings_unknown_key);
  g_test_add_func ("/base/table/handles", test_table_rejects_stale_handle);
  g_test_add_func ("/base/counters/format", test_counters_format);
  colt_test_address_add ();
  colt_test_histogram_add ();
  colt_test_log_add ();
  return g_test_run ();
}
