#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/histogram.h"
#include "tests.h"

/* Adds a value and checks the cumulative counts of two buckets. */
static void
check_value (double value_ms, const char *without, const char *with)
{
  struct ColtHistogram *histogram = colt_histogram_create ("h_ms", "Help.");
  char *text;

  colt_histogram_add (histogram, value_ms);
  text = colt_histogram_format (histogram);
  g_test_message ("%g", value_ms);
  g_assert_nonnull (strstr (text, with));
  if (without != NULL)
    g_assert_nonnull (strstr (text, without));
  free (text);
  colt_histogram_destroy (histogram);
}

/* Guards against values that aren't counted in the bucket whose bound they
 * equal. */
static void
test_bounds (void)
{
  check_value (0, NULL, "{le=\"2\"} 1\n");
  check_value (1, NULL, "{le=\"2\"} 1\n");
  check_value (2, NULL, "{le=\"2\"} 1\n");
  check_value (2.001, "{le=\"2\"} 0\n", "{le=\"5\"} 1\n");
  check_value (5, "{le=\"2\"} 0\n", "{le=\"5\"} 1\n");
  check_value (20000, "{le=\"10000\"} 0\n", "{le=\"20000\"} 1\n");
  check_value (59999.5, "{le=\"20000\"} 0\n", "{le=\"60000\"} 1\n");
  check_value (60000, "{le=\"20000\"} 0\n", "{le=\"60000\"} 1\n");
}

/* Guards against values beyond the last bound that are counted below it. */
static void
test_beyond (void)
{
  check_value (60001, "{le=\"60000\"} 0\n", "{le=\"+Inf\"} 1\n");
  check_value (1e9, "{le=\"60000\"} 0\n", "{le=\"+Inf\"} 1\n");
}

void
colt_test_histogram_add (void)
{
  g_test_add_func ("/base/histogram/bounds", test_bounds);
  g_test_add_func ("/base/histogram/beyond", test_beyond);
}
