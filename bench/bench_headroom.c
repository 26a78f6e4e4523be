/* Measures the cost of keeping room free for urgent work: what a pass of
 * placement takes for each service, and each waiting step. Prints one JSON
 * object. */
#include <glib.h>
#include <stdio.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/headroom.h"

enum
{
  ROUNDS = 1000000,
  STEPS = 24000
};

static double
microseconds_ (int64_t began_us, int count)
{
  return (double)(colt_clock_monotonic_us () - began_us) / count;
}

int
main (void)
{
  static const struct ColtResources room = { { 64000, 256000 } };
  const struct ColtHeadroomWork work
      = { { { 11000, 40000 } }, 10, 700000, 650000 };
  struct ColtHeadroom *headroom = colt_headroom_create ();
  int64_t began_us = colt_clock_monotonic_us ();
  int64_t now_us = COLT_US_PER_S;
  uint64_t sum = 0;
  double pass_us;
  double step_us;
  int i;

  for (i = 0; i < ROUNDS; i++)
    {
      now_us += 10 * COLT_US_PER_MS;
      colt_headroom_add_urgent (headroom, &work, now_us);
      sum += colt_headroom_needed (headroom, 26000, now_us);
    }
  pass_us = microseconds_ (began_us, ROUNDS);
  began_us = colt_clock_monotonic_us ();
  for (i = 0; i < ROUNDS; i++)
    {
      const struct ColtHeadroomWait wait = { 7200000, 24000000, i % 24000000 };

      sum += colt_headroom_has_slack (2, wait.chain_us, wait.slack_us)
             && colt_headroom_may_wait (&wait);
      sum += colt_headroom_count_slots (headroom, &room, &work.demand);
      colt_headroom_add_waiting (headroom, &work.demand, 7, wait.slack_us);
    }
  step_us = microseconds_ (began_us, ROUNDS);
  printf ("{\"rounds\": %d, \"pass_us\": %.3f, \"step_us\": %.4f, "
          "\"pass_with_%d_steps_us\": %.1f, \"sum\": %llu}\n",
          ROUNDS, pass_us, step_us, STEPS, pass_us + STEPS * step_us,
          (unsigned long long)sum);
  colt_headroom_destroy (headroom);
  return 0;
}
