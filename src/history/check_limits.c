#include "check.h"
#include "sweep.h"
#include "team_limits.h"

/* Sums up the running tasks of one team at a time, in order of time. */
struct ColtLimitWalk
{
  const struct ColtHistoryCheck *check;
  uint32_t team;
  GArray *limits; /* of the team, by time */
  struct ColtResources sum;
};

/* An upper limit and the amount in use. */
struct ColtLimitUsage
{
  const char *name;
  int64_t limit;
  int64_t sum;
};

static void apply_point_ (struct ColtLimitWalk *walk,
                          const struct ColtHistoryPoint *point);
static void check_start_ (struct ColtLimitWalk *walk,
                          const struct ColtHistoryPoint *point);

void
colt_history_check_limits (const struct ColtHistoryCheck *check)
{
  GArray *points
      = colt_history_sweep (check->spans, colt_history_group_by_team);
  struct ColtLimitWalk walk = { .check = check };
  guint i;

  for (i = 0; i < points->len; i++)
    apply_point_ (&walk, &g_array_index (points, struct ColtHistoryPoint, i));
  if (walk.limits != NULL)
    g_array_unref (walk.limits);
  g_array_unref (points);
}

static void
apply_point_ (struct ColtLimitWalk *walk, const struct ColtHistoryPoint *point)
{
  if (walk->limits == NULL || walk->team != point->group)
    {
      if (walk->limits != NULL)
        g_array_unref (walk->limits);
      walk->team = point->group;
      walk->limits
          = colt_history_collect_limits (walk->check->history, walk->team);
      walk->sum = (struct ColtResources){ { 0 } };
    }
  colt_history_sweep_apply (walk->check->spans, point, &walk->sum);
  if (point->is_start)
    check_start_ (walk, point);
}

static void
check_start_ (struct ColtLimitWalk *walk, const struct ColtHistoryPoint *point)
{
  const struct ColtHistoryCheck *check = walk->check;
  const struct ColtHistorySpan *span = colt_history_span (
      check->spans, colt_history_piece (check->spans, point->piece)->span);
  const struct ColtHistoryLimit limit
      = colt_history_limits_at (walk->limits, point->t_us);
  const struct ColtLimitUsage usages[]
      = { { "tasks", limit.tasks, walk->sum.amount[COLT_RESOURCE_SLOTS] },
          { "cores_milli", limit.cores_milli,
            walk->sum.amount[COLT_RESOURCE_CORES] },
          { "accelerators", limit.accelerators,
            walk->sum.amount[COLT_RESOURCE_ACCELERATORS] } };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (usages); i++)
    if (usages[i].sum > usages[i].limit)
      {
        colt_history_check_attach_span (
            colt_history_verdict_add (
                check->verdict, COLT_HISTORY_OVER_LIMIT, point->t_us,
                "team %s runs %" G_GINT64_FORMAT " %s of %" G_GINT64_FORMAT
                " with %s-%u attempt %u on server %u",
                colt_history_text (check->history, span->team), usages[i].sum,
                usages[i].name, usages[i].limit,
                colt_history_check_request_id (check, span->request),
                span->index, span->attempt, span->server),
            span);
        return;
      }
}
