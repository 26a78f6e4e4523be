#include "coltsfootstile/resources.h"

const char *const colt_resource_string[]
    = { "cores_milli", "memory_mb", "accelerators", "slots", "connections" };

void
colt_resources_add (struct ColtResources *sum, const struct ColtResources *more)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    sum->amount[i] += more->amount[i];
}

void
colt_resources_subtract (struct ColtResources *sum,
                         const struct ColtResources *less)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    sum->amount[i] -= less->amount[i];
}

bool
colt_resources_fit (const struct ColtResources *demand,
                    const struct ColtResources *free)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (demand->amount[i] > free->amount[i])
      return false;
  return true;
}

void
colt_resources_raise (struct ColtResources *sum,
                      const struct ColtResources *other)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (sum->amount[i] < other->amount[i])
      sum->amount[i] = other->amount[i];
}
