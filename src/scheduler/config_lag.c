#include "config_lag.h"

#include <glib.h>

void
colt_config_lag_init (struct ColtConfigLag *lag, int64_t bound_us)
{
  *lag = (struct ColtConfigLag){ 0 };
  lag->bound_us = bound_us;
}

void
colt_config_lag_note (struct ColtConfigLag *lag,
                      int64_t version,
                      int64_t now_us)
{
  if (version <= lag->newest)
    return;
  if (lag->newest <= lag->version)
    lag->known_us = now_us;
  lag->newest = version;
  lag->newest_us = now_us;
}

int64_t
colt_config_lag_apply (struct ColtConfigLag *lag,
                       int64_t version,
                       int64_t now_us)
{
  int64_t behind_us = colt_config_lag_behind_us (lag, now_us);

  lag->version = MAX (lag->version, version);
  lag->newest = MAX (lag->newest, version);
  lag->known_us = lag->newest_us;
  return behind_us;
}

int64_t
colt_config_lag_behind_us (const struct ColtConfigLag *lag, int64_t now_us)
{
  return lag->newest > lag->version ? now_us - lag->known_us : 0;
}

bool
colt_config_lag_check (struct ColtConfigLag *lag, int64_t now_us)
{
  bool late = colt_config_lag_behind_us (lag, now_us) > lag->bound_us;
  bool changed = late != lag->late;

  lag->late = late;
  return changed;
}
