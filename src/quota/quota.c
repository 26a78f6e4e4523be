#include "coltsfootstile/quota.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

__extension__ typedef __int128 ColtWide;

static size_t find_next_winner_ (const int64_t *weights,
                                 size_t count,
                                 size_t first,
                                 const int64_t *parts);
static int64_t sum_weights_ (const int64_t *weights, size_t count);
static int64_t count_fitting_ (const struct ColtQuotaAmount *unit,
                               const struct ColtQuotaAmount *free);
static void add_units_ (struct ColtQuotaAmount *sum,
                        const struct ColtQuotaAmount *unit,
                        int64_t count);
static bool fill_round_ (struct ColtQuotaAmount *free,
                         const struct ColtQuotaNeed *needs,
                         size_t count,
                         size_t first,
                         int64_t *left,
                         struct ColtQuotaAmount *granted);
static int64_t compute_share_ (const struct ColtQuotaAmount *unit,
                               const struct ColtQuotaAmount *start,
                               const struct ColtQuotaAmount *free,
                               int64_t left,
                               int64_t active);

const char *const colt_quota_dimension_string[]
    = { "tasks", "cores_milli", "accelerators" };

bool
colt_quota_is_valid (const struct ColtQuotaAmount *amount)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (amount->amount[i] != COLT_QUOTA_UNLIMITED
        && (amount->amount[i] < 0 || amount->amount[i] > COLT_QUOTA_MAX))
      return false;
  return true;
}

bool
colt_quota_is_zero (const struct ColtQuotaAmount *amount)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (amount->amount[i] != 0)
      return false;
  return true;
}

bool
colt_quota_equal (const struct ColtQuotaAmount *a,
                  const struct ColtQuotaAmount *b)
{
  return memcmp (a->amount, b->amount, sizeof a->amount) == 0;
}

void
colt_quota_add (struct ColtQuotaAmount *sum, const struct ColtQuotaAmount *more)
{
  add_units_ (sum, more, 1);
}

void
colt_quota_subtract (struct ColtQuotaAmount *sum,
                     const struct ColtQuotaAmount *less)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      if (sum->amount[i] == COLT_QUOTA_UNLIMITED)
        continue;
      if (less->amount[i] >= sum->amount[i])
        sum->amount[i] = 0;
      else
        sum->amount[i] -= less->amount[i];
    }
}

void
colt_quota_lower (struct ColtQuotaAmount *least,
                  const struct ColtQuotaAmount *other)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (other->amount[i] < least->amount[i])
      least->amount[i] = other->amount[i];
}

void
colt_quota_raise (struct ColtQuotaAmount *most,
                  const struct ColtQuotaAmount *other)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (other->amount[i] > most->amount[i])
      most->amount[i] = other->amount[i];
}

bool
colt_quota_is_within (const struct ColtQuotaAmount *amount,
                      const struct ColtQuotaAmount *bound)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (amount->amount[i] > bound->amount[i])
      return false;
  return true;
}

void
colt_quota_apportion (int64_t total,
                      const int64_t *weights,
                      size_t count,
                      size_t first,
                      int64_t *parts)
{
  int64_t sum = sum_weights_ (weights, count);
  int64_t left = total;
  size_t i;

  assert (count > 0 && total >= 0 && total <= COLT_QUOTA_MAX);
  for (i = 0; i < count; i++)
    {
      ColtWide weight = sum == 0 ? 1 : weights[i];
      ColtWide divisor = sum == 0 ? (ColtWide)count : sum;

      parts[i] = (int64_t)(weight * total / divisor);
      left -= parts[i];
    }
  for (; left > 0; left--)
    parts[find_next_winner_ (sum == 0 ? NULL : weights, count, first, parts)]++;
}

int64_t
colt_quota_fill (const struct ColtQuotaAmount *total,
                 const struct ColtQuotaNeed *needs,
                 size_t count,
                 size_t first,
                 struct ColtQuotaAmount *granted)
{
  struct ColtQuotaAmount free = *total;
  int64_t *left = g_new0 (int64_t, count);
  int64_t unserved = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      colt_quota_subtract (&free, &needs[i].base);
      granted[i] = needs[i].base;
      left[i] = needs[i].count;
    }
  while (fill_round_ (&free, needs, count, first, left, granted))
    continue;
  for (i = 0; i < count; i++)
    unserved += left[i];
  g_free (left);
  return unserved;
}

static int64_t
sum_weights_ (const int64_t *weights, size_t count)
{
  int64_t sum = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      assert (weights[i] >= 0 && weights[i] <= COLT_QUOTA_MAX);
      sum += weights[i];
    }
  return sum;
}

/* Returns the index with the highest quotient of weight and part + 1. */
static size_t
find_next_winner_ (const int64_t *weights,
                   size_t count,
                   size_t first,
                   const int64_t *parts)
{
  size_t best = first % count;
  size_t i;

  for (i = 1; i < count; i++)
    {
      size_t at = (first + i) % count;
      ColtWide weight = weights == NULL ? 1 : weights[at];
      ColtWide best_weight = weights == NULL ? 1 : weights[best];

      if (weight * (parts[best] + 1) > best_weight * (parts[at] + 1))
        best = at;
    }
  return best;
}

static int64_t
count_fitting_ (const struct ColtQuotaAmount *unit,
                const struct ColtQuotaAmount *free)
{
  int64_t fitting = INT64_MAX;
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (unit->amount[i] > 0 && free->amount[i] != COLT_QUOTA_UNLIMITED
        && free->amount[i] / unit->amount[i] < fitting)
      fitting = free->amount[i] / unit->amount[i];
  return fitting;
}

static void
add_units_ (struct ColtQuotaAmount *sum,
            const struct ColtQuotaAmount *unit,
            int64_t count)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      ColtWide total
          = (ColtWide)sum->amount[i] + (ColtWide)unit->amount[i] * count;

      if (sum->amount[i] == COLT_QUOTA_UNLIMITED
          || unit->amount[i] == COLT_QUOTA_UNLIMITED)
        sum->amount[i] = COLT_QUOTA_UNLIMITED;
      else
        sum->amount[i]
            = total > COLT_QUOTA_MAX ? COLT_QUOTA_MAX : (int64_t)total;
    }
}

/* Grants each place with waiting tasks its share of one round. Returns false if
 * no task was served. */
static bool
fill_round_ (struct ColtQuotaAmount *free,
             const struct ColtQuotaNeed *needs,
             size_t count,
             size_t first,
             int64_t *left,
             struct ColtQuotaAmount *granted)
{
  const struct ColtQuotaAmount start = *free;
  int64_t active = 0;
  bool progress = false;
  size_t i;

  for (i = 0; i < count; i++)
    active += left[i] > 0 ? 1 : 0;
  for (i = 0; i < count; i++)
    {
      size_t at = (first + i) % count;
      int64_t served
          = compute_share_ (&needs[at].unit, &start, free, left[at], active);
      struct ColtQuotaAmount used = { { 0 } };

      if (served <= 0)
        continue;
      add_units_ (&used, &needs[at].unit, served);
      colt_quota_add (&granted[at], &used);
      colt_quota_subtract (free, &used);
      left[at] -= served;
      progress = true;
    }
  return progress;
}

/* Returns the number of tasks that a place gets in a round: its equal part of
 * the amount that was free at the start of the round, but at least 1, as far as
 * they fit the amount that is still free. */
static int64_t
compute_share_ (const struct ColtQuotaAmount *unit,
                const struct ColtQuotaAmount *start,
                const struct ColtQuotaAmount *free,
                int64_t left,
                int64_t active)
{
  int64_t share;
  int64_t fitting;

  if (left <= 0)
    return 0;
  share = count_fitting_ (unit, start) / active;
  fitting = count_fitting_ (unit, free);
  share = share < 1 ? 1 : share;
  share = share > fitting ? fitting : share;
  return share > left ? left : share;
}
