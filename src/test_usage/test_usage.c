/* The ledger of past use, and the handicaps that follow from it. */
#include <glib.h>
#include <math.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/usage_ledger.h"

#define HALF_LIFE_S 600
#define S COLT_US_PER_S
#define WAIT_MAX_US (2000 * COLT_US_PER_MS)
#define EPSILON 1e-6

static const struct ColtResources fleet = { { 100000, 500, 0 } };
static const struct ColtResources task = { { 10000, 100, 2 } };

static double
core_s (const struct ColtUsageLedger *ledger, int64_t now_us)
{
  return colt_usage_ledger_read (ledger, 0, now_us)
      .amount_s[COLT_RESOURCE_CORES];
}

static struct ColtUsageLedger *
create_ledger (void)
{
  struct ColtUsageLedger *ledger = colt_usage_ledger_create (HALF_LIFE_S * S);

  g_assert_cmpuint (colt_usage_ledger_add_account (ledger), ==, 0);
  return ledger;
}

/* Load: long runs that don't end. Guards against use that counts at its end
 * only, or depends on how often it is read or updated. */
static void
test_long_run (void)
{
  struct ColtUsageLedger *once = create_ledger ();
  struct ColtUsageLedger *often = create_ledger ();
  double expected = 0;
  int64_t t;

  colt_usage_ledger_start (once, 0, &task, 0);
  colt_usage_ledger_start (often, 0, &task, 0);
  for (t = 0; t < 3000; t++)
    {
      double middle = ((double)t + 0.5 - 3000) / HALF_LIFE_S;

      expected += 10000 * exp2 (middle);
      colt_usage_ledger_end (often, 0, &task, t * S);
      colt_usage_ledger_start (often, 0, &task, t * S);
    }
  g_assert_cmpfloat_with_epsilon (core_s (once, 3000 * S) / expected, 1,
                                  EPSILON);
  g_assert_cmpfloat_with_epsilon (core_s (often, 3000 * S) / expected, 1,
                                  EPSILON);
  /* Memory is its dominant resource, of which it uses a fifth. */
  g_assert_cmpfloat_with_epsilon (
      colt_usage_ledger_share (once, 0, &fleet, INT64_C (100000) * S), 0.2,
      EPSILON);
  colt_usage_ledger_destroy (once);
  colt_usage_ledger_destroy (often);
}

/* Load: short runs for a long time, then none. Guards against sums that don't
 * decay to nothing, or that fall below it. */
static void
test_decay (void)
{
  struct ColtUsageLedger *ledger = create_ledger ();
  double before;
  int64_t t;

  for (t = 0; t < 10000; t++)
    {
      colt_usage_ledger_start (ledger, 0, &task, t * S / 10);
      colt_usage_ledger_end (ledger, 0, &task, (t + 3) * S / 10);
    }
  before = core_s (ledger, 1100 * S);
  g_assert_cmpfloat (before, >, 0);
  g_assert_cmpfloat_with_epsilon (
      core_s (ledger, (1100 + HALF_LIFE_S) * S) / before, 0.5, EPSILON);
  g_assert_cmpfloat (core_s (ledger, INT64_C (100000) * S), <, EPSILON);
  g_assert_cmpfloat (core_s (ledger, INT64_MAX), >=, 0);
  /* An earlier time counts as the latest one. */
  g_assert_cmpfloat (core_s (ledger, 0), >=, before);
  colt_usage_ledger_destroy (ledger);
}

/* A time of day that jumps scales what is restored by a half at most; a
 * malformed amount counts as none. */
static void
test_restore (void)
{
  static const int64_t ages_s[]
      = { INT64_MIN / S, 0, HALF_LIFE_S / 2, HALF_LIFE_S, INT64_MAX / S };
  static const double factors[] = { 1, 1, G_SQRT2 / 2, 0.5, 0.5 };
  const struct ColtUsage usage = { { 1000, -5, NAN } };
  const struct ColtUsage excessive = { { 1e300, INFINITY, 1e19 } };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (ages_s); i++)
    {
      struct ColtUsageLedger *ledger = create_ledger ();
      struct ColtUsage restored;

      colt_usage_ledger_restore (ledger, 0, &usage, ages_s[i] * S, 50 * S);
      colt_usage_ledger_restore (ledger, 0, &excessive, 0, 50 * S);
      restored = colt_usage_ledger_read (ledger, 0, 50 * S);
      g_assert_cmpfloat_with_epsilon (restored.amount_s[0], 1000 * factors[i],
                                      EPSILON);
      g_assert_cmpfloat (restored.amount_s[1], ==, 0);
      g_assert_cmpfloat (restored.amount_s[2], ==, 0);
      colt_usage_ledger_destroy (ledger);
    }
}

/* Guards against handicaps beyond the bound or below 0, credit for idle time,
 * and an order that changes for equal use or rounding. */
static void
test_handicap (void)
{
  double part = 1.0 / 60;
  int i;

  g_assert_cmpfloat (colt_usage_excess (0, part), ==, 0);
  g_assert_cmpfloat (colt_usage_excess (part / 2, part), ==, 0);
  g_assert_cmpfloat (colt_usage_excess (1, 0), ==, 0);
  g_assert_cmpfloat_with_epsilon (colt_usage_excess (3 * part, part), 2,
                                  EPSILON);
  for (i = 0; i < 300; i++)
    {
      double excess = i * 0.37;
      int64_t handicap_us = colt_usage_handicap_us (excess, 0, WAIT_MAX_US);

      g_assert_cmpint (handicap_us, >=, 0);
      g_assert_cmpint (handicap_us, <=, WAIT_MAX_US);
      g_assert_cmpint (colt_usage_handicap_us (0, excess, WAIT_MAX_US), ==, 0);
      g_assert_cmpint (
          colt_usage_handicap_us (excess + 0.24, excess, WAIT_MAX_US), ==, 0);
      g_assert_cmpint (colt_usage_handicap_us (excess, 0, 0), ==, 0);
    }
  g_assert_cmpint (colt_usage_handicap_us (2, 0, WAIT_MAX_US), ==,
                   WAIT_MAX_US / 2);
  g_assert_cmpint (colt_usage_handicap_us (60, 1, WAIT_MAX_US), ==,
                   WAIT_MAX_US);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/usage/long-run", test_long_run);
  g_test_add_func ("/usage/decay", test_decay);
  g_test_add_func ("/usage/restore", test_restore);
  g_test_add_func ("/usage/handicap", test_handicap);
  return g_test_run ();
}
