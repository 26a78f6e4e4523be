/* Speed of the machine, measured by the time that a fixed amount of work takes.
 * Unlike the delay of a timer it doesn't depend on the load of the process. */
#ifndef COLT_SCHEDULER_SPEED_PROBE_H
#define COLT_SCHEDULER_SPEED_PROBE_H

#include <stdint.h>

/* Number of latest samples that the present speed is taken from; even. */
#define COLT_SPEED_SAMPLES 8

struct ColtSpeedProbe
{
  int64_t recent_us[COLT_SPEED_SAMPLES]; /* latest samples, in any order */
  uint32_t count;                        /* of samples */
  int64_t median_us;                     /* of recent_us; 0: too few samples */
  int64_t fastest_us;                    /* lowest median so far; 0: none */
};

/* Takes a sample; to be called periodically. */
void colt_speed_probe_measure (struct ColtSpeedProbe *probe);
/* Adds a sample: the time that the work took. */
void colt_speed_probe_add (struct ColtSpeedProbe *probe, int64_t took_us);
/* Returns the speed relative to the fastest one seen; greater than 0, at most
 * 1. */
double colt_speed_probe_speed (const struct ColtSpeedProbe *probe);

#endif
