#include "team_limits.h"

#include "check.h"

static bool is_near_ (int64_t sum, int64_t limit);
static gint compare_limits_ (gconstpointer a, gconstpointer b);

GArray *
colt_history_collect_limits (const struct ColtHistory *history, uint32_t team)
{
  const GArray *all = history->run.limits;
  GArray *limits = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryLimit));
  guint i;

  for (i = 0; i < all->len; i++)
    {
      const struct ColtHistoryLimit *limit
          = &g_array_index (all, struct ColtHistoryLimit, i);

      if (limit->team == team)
        g_array_append_val (limits, *limit);
    }
  g_array_sort (limits, compare_limits_);
  return limits;
}

struct ColtHistoryLimit
colt_history_limits_at (const GArray *limits, int64_t t_us)
{
  struct ColtHistoryLimit highest = { .tasks = COLT_HISTORY_UNLIMITED,
                                      .cores_milli = COLT_HISTORY_UNLIMITED,
                                      .accelerators = COLT_HISTORY_UNLIMITED };
  bool first = true;
  guint i;

  for (i = 0; i < limits->len; i++)
    {
      const struct ColtHistoryLimit *limit
          = &g_array_index (limits, struct ColtHistoryLimit, i);

      if (limit->t_us > t_us)
        break;
      if (first || limit->t_us + COLT_HISTORY_GRACE_US <= t_us)
        highest = *limit;
      highest.tasks = MAX (highest.tasks, limit->tasks);
      highest.cores_milli = MAX (highest.cores_milli, limit->cores_milli);
      highest.accelerators = MAX (highest.accelerators, limit->accelerators);
      first = false;
    }
  return highest;
}

bool
colt_history_is_near_limit (const struct ColtHistoryLimit *limit,
                            const struct ColtResources *reserved)
{
  const int64_t *amount = reserved->amount;

  return is_near_ (amount[COLT_RESOURCE_SLOTS], limit->tasks)
         || is_near_ (amount[COLT_RESOURCE_CORES], limit->cores_milli)
         || is_near_ (amount[COLT_RESOURCE_ACCELERATORS], limit->accelerators);
}

static bool
is_near_ (int64_t sum, int64_t limit)
{
  return limit != COLT_HISTORY_UNLIMITED
         && (double)sum >= COLT_HISTORY_FULL_FRACTION * (double)limit;
}

static gint
compare_limits_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryLimit *left = a;
  const struct ColtHistoryLimit *right = b;

  return (left->t_us > right->t_us) - (left->t_us < right->t_us);
}
