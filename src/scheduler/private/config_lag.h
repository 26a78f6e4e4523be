/* How far an instance's configuration is behind: the version in force, the
 * newest one that is known to exist, and since when. Times are in microseconds
 * on the monotonic clock. */
#ifndef COLT_SCHEDULER_CONFIG_LAG_H
#define COLT_SCHEDULER_CONFIG_LAG_H

#include <stdbool.h>
#include <stdint.h>

struct ColtConfigLag
{
  int64_t bound_us;  /* time within which a version has to be in force */
  int64_t version;   /* in force; 0: none */
  int64_t newest;    /* highest version known */
  int64_t newest_us; /* when it became known */
  int64_t known_us;  /* when a version above the one in force became known */
  bool late;         /* for longer than the bound */
};

void colt_config_lag_init (struct ColtConfigLag *lag, int64_t bound_us);
/* Records that a version exists, in the log or at another instance. */
void colt_config_lag_note (struct ColtConfigLag *lag,
                           int64_t version,
                           int64_t now_us);
/* Records that a version is in force; returns for how long it had been known
 * that a newer one than the former exists. */
int64_t colt_config_lag_apply (struct ColtConfigLag *lag,
                               int64_t version,
                               int64_t now_us);
/* Returns for how long a newer version than the one in force has been known; 0:
 * none is. */
int64_t colt_config_lag_behind_us (const struct ColtConfigLag *lag,
                                   int64_t now_us);
/* Decides anew whether the configuration is late; returns true if that has
 * changed. */
bool colt_config_lag_check (struct ColtConfigLag *lag, int64_t now_us);

#endif
