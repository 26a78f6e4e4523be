#include "speed_probe.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

/* Steps of the work of a sample, some tens of microseconds. */
#define WORK_STEPS 20000

static int compare_ (const void *a, const void *b);
static uint32_t work_ (uint32_t value);

void
colt_speed_probe_measure (struct ColtSpeedProbe *probe)
{
  int64_t began_us = colt_clock_monotonic_us ();
  volatile uint32_t result = work_ ((uint32_t)began_us | 1);

  (void)result;
  colt_speed_probe_add (probe, colt_clock_monotonic_us () - began_us);
}

/* Single samples may be wrong either way: the process may be suspended, and a
 * clock may not advance during the work. */
void
colt_speed_probe_add (struct ColtSpeedProbe *probe, int64_t took_us)
{
  int64_t sorted_us[COLT_SPEED_SAMPLES];

  probe->recent_us[probe->count % COLT_SPEED_SAMPLES] = took_us;
  probe->count++;
  if (probe->count < COLT_SPEED_SAMPLES)
    return;
  memcpy (sorted_us, probe->recent_us, sizeof sorted_us);
  qsort (sorted_us, COLT_SPEED_SAMPLES, sizeof sorted_us[0], compare_);
  probe->median_us = MAX (sorted_us[COLT_SPEED_SAMPLES / 2], 1);
  if (probe->fastest_us == 0 || probe->median_us < probe->fastest_us)
    probe->fastest_us = probe->median_us;
}

double
colt_speed_probe_speed (const struct ColtSpeedProbe *probe)
{
  return probe->median_us > 0
             ? (double)probe->fastest_us / (double)probe->median_us
             : 1;
}

static int
compare_ (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left == right ? 0 : left < right ? -1 : 1;
}

/* A chain of dependent steps (xorshift), which a compiler can't shorten. */
static uint32_t
work_ (uint32_t value)
{
  int i;

  for (i = 0; i < WORK_STEPS; i++)
    {
      value ^= value << 13;
      value ^= value >> 17;
      value ^= value << 5;
    }
  return value;
}
