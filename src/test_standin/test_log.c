#include <glib.h>

#include "coltsfootstile/clock.h"
#include "log_state.h"
#include "tests.h"

static int64_t
append (struct ColtStandinLog *log, int64_t now_us, const char *body)
{
  int64_t offset = -1;

  if (!colt_standin_log_append (log, now_us, body, &offset))
    return -1;
  return offset;
}

static void
test_offsets_increase_from_0 (void)
{
  const struct ColtStandinLogLimits limits = { COLT_US_PER_S, 10, 10 };
  struct ColtStandinLog *log = colt_standin_log_create (&limits);

  g_assert_cmpint (colt_standin_log_head (log), ==, 0);
  g_assert_cmpint (append (log, 5, "a"), ==, 0);
  g_assert_cmpint (append (log, 6, "b"), ==, 1);
  g_assert_cmpint (colt_standin_log_first (log), ==, 0);
  g_assert_cmpint (colt_standin_log_head (log), ==, 2);
  g_assert_cmpstr (colt_standin_log_body (log, 1), ==, "b");
  colt_standin_log_destroy (log);
}

static void
test_append_limit_is_per_second (void)
{
  const struct ColtStandinLogLimits limits = { 60 * COLT_US_PER_S, 100, 2 };
  struct ColtStandinLog *log = colt_standin_log_create (&limits);

  g_assert_cmpint (append (log, 0, "a"), ==, 0);
  g_assert_cmpint (append (log, 999999, "b"), ==, 1);
  g_assert_cmpint (append (log, 999999, "c"), ==, -1);
  g_assert_cmpint (colt_standin_log_head (log), ==, 2);
  g_assert_cmpint (append (log, COLT_US_PER_S, "c"), ==, 2);
  colt_standin_log_destroy (log);
}

static void
test_records_are_dropped_by_age (void)
{
  const struct ColtStandinLogLimits limits = { COLT_US_PER_S, 100, 100 };
  struct ColtStandinLog *log = colt_standin_log_create (&limits);

  append (log, 0, "a");
  append (log, 400000, "b");
  colt_standin_log_expire (log, 999999);
  g_assert_cmpint (colt_standin_log_first (log), ==, 0);
  colt_standin_log_expire (log, COLT_US_PER_S);
  g_assert_cmpint (colt_standin_log_first (log), ==, 1);
  g_assert_cmpstr (colt_standin_log_body (log, 1), ==, "b");
  colt_standin_log_expire (log, 2 * COLT_US_PER_S);
  g_assert_cmpint (colt_standin_log_first (log), ==, 2);
  g_assert_cmpint (append (log, 2 * COLT_US_PER_S, "c"), ==, 2);
  colt_standin_log_destroy (log);
}

static void
test_records_are_dropped_by_count (void)
{
  const struct ColtStandinLogLimits limits = { COLT_US_PER_S, 3, 100000 };
  struct ColtStandinLog *log = colt_standin_log_create (&limits);
  char body[16];
  int i;

  for (i = 0; i < 5000; i++)
    {
      g_snprintf (body, sizeof body, "%d", i);
      g_assert_cmpint (append (log, 0, body), ==, i);
    }
  g_assert_cmpint (colt_standin_log_first (log), ==, 4997);
  g_assert_cmpint (colt_standin_log_head (log), ==, 5000);
  g_assert_cmpstr (colt_standin_log_body (log, 4997), ==, "4997");
  g_assert_cmpstr (colt_standin_log_body (log, 4999), ==, "4999");
  colt_standin_log_destroy (log);
}

void
add_log_tests (void)
{
  g_test_add_func ("/log/offsets", test_offsets_increase_from_0);
  g_test_add_func ("/log/cap", test_append_limit_is_per_second);
  g_test_add_func ("/log/age", test_records_are_dropped_by_age);
  g_test_add_func ("/log/count", test_records_are_dropped_by_count);
}
