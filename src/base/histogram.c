#include "coltsfootstile/histogram.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#define METRIC_PREFIX "coltsfootstile_"

/* Bounds of the buckets in milliseconds, each two to three times the one
 * before. */
static const double bounds[] = { 1,   2,    5,    10,   20,    50,    100,  200,
                                 500, 1000, 2000, 5000, 10000, 20000, 60000 };

struct ColtHistogram
{
  char *name;
  char *help;
  gsl_histogram *bins;
  double sum;
  uint64_t count;
};

struct ColtHistogram *
colt_histogram_create (const char *name, const char *help)
{
  struct ColtHistogram *histogram = g_new0 (struct ColtHistogram, 1);

  histogram->name = g_strdup (name);
  histogram->help = g_strdup (help);
  histogram->bins = gsl_histogram_alloc (G_N_ELEMENTS (bounds) - 1);
  gsl_histogram_set_ranges (histogram->bins, bounds, G_N_ELEMENTS (bounds));
  return histogram;
}

void
colt_histogram_destroy (struct ColtHistogram *histogram)
{
  if (histogram == NULL)
    return;
  gsl_histogram_free (histogram->bins);
  g_free (histogram->name);
  g_free (histogram->help);
  g_free (histogram);
}

void
colt_histogram_add (struct ColtHistogram *histogram, double value_ms)
{
  const double least = bounds[0];
  const double most = bounds[G_N_ELEMENTS (bounds) - 1];
  /* A bucket includes its upper bound, a bin only its lower one. */
  double below_ms = nextafter (value_ms, 0);

  if (value_ms <= most)
    gsl_histogram_increment (histogram->bins, MAX (below_ms, least));
  histogram->sum += value_ms;
  histogram->count++;
}

uint64_t
colt_histogram_count (const struct ColtHistogram *histogram)
{
  return histogram->count;
}

char *
colt_histogram_format (const struct ColtHistogram *histogram)
{
  GString *text = g_string_new (NULL);
  const char *name = histogram->name;
  double cumulative = 0;
  size_t i;
  char *copy;

  g_string_append_printf (text, "# HELP " METRIC_PREFIX "%s %s\n", name,
                          histogram->help);
  g_string_append_printf (text, "# TYPE " METRIC_PREFIX "%s histogram\n", name);
  for (i = 0; i < G_N_ELEMENTS (bounds) - 1; i++)
    {
      cumulative += gsl_histogram_get (histogram->bins, i);
      g_string_append_printf (text, METRIC_PREFIX "%s_bucket{le=\"%g\"} %.0f\n",
                              name, bounds[i + 1], cumulative);
    }
  g_string_append_printf (text,
                          METRIC_PREFIX "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
                          name, histogram->count);
  g_string_append_printf (text, METRIC_PREFIX "%s_sum %.0f\n", name,
                          histogram->sum);
  g_string_append_printf (text, METRIC_PREFIX "%s_count %" PRIu64 "\n", name,
                          histogram->count);
  copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}
