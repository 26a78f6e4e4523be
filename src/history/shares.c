#include "shares.h"

#include <math.h>

#include "team_limits.h"
#include "timeline.h"

/* Reserved fraction and due share of the fleet's capacity, each integrated over
 * the busy time of a team in microseconds. */
struct ColtShareSum
{
  double fraction;
  double share;
  double busy_us;
};

struct ColtShareWalk
{
  const struct ColtHistory *history;
  const struct ColtHistoryMeasures *measures;
  GPtrArray *limits; /* by position of the team: its limits by time */
  struct ColtShareSum *sums;
  bool *busy;
  double full_us;
};

static void add_state_ (void *client,
                        int64_t from_us,
                        int64_t to_us,
                        const struct ColtTimelineState *state);
static void add_team_ (struct ColtShareWalk *walk,
                       guint team,
                       double fraction,
                       double share,
                       double length_us);
static bool is_busy_ (const struct ColtShareWalk *walk,
                      const struct ColtTimelineState *state,
                      guint team,
                      int64_t t_us);
static double weight_ (const struct ColtShareWalk *walk, guint team);

void
colt_history_measure_shares (const struct ColtHistory *history,
                             const struct ColtHistorySpans *spans,
                             struct ColtHistoryMeasures *measures)
{
  const GArray *teams = history->run.teams;
  struct ColtShareWalk walk = { .history = history, .measures = measures };
  guint i;

  walk.limits = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  walk.sums = g_new0 (struct ColtShareSum, teams->len + 1);
  walk.busy = g_new0 (bool, teams->len + 1);
  for (i = 0; i < teams->len; i++)
    g_ptr_array_add (
        walk.limits,
        colt_history_collect_limits (
            history, g_array_index (teams, struct ColtHistoryTeam, i).name));
  colt_timeline_walk (history, spans, add_state_, &walk);
  measures->full_seconds = walk.full_us / COLT_US_PER_S;
  for (i = 0; i < teams->len; i++)
    {
      const struct ColtShareSum *sum = &walk.sums[i];
      double error;

      if (sum->busy_us <= 0)
        continue;
      error = fabs (sum->fraction - sum->share) / sum->busy_us;
      if (error <= measures->share_error)
        continue;
      measures->share_error = error;
      measures->share_team
          = g_array_index (teams, struct ColtHistoryTeam, i).name;
    }
  g_ptr_array_unref (walk.limits);
  g_free (walk.sums);
  g_free (walk.busy);
}

/* Teams that aren't busy keep what they use; busy teams share the rest by
 * weight. */
static void
add_state_ (void *client,
            int64_t from_us,
            int64_t to_us,
            const struct ColtTimelineState *state)
{
  struct ColtShareWalk *walk = client;
  double length_us = (double)(MIN (to_us, walk->measures->to_us)
                              - MAX (from_us, walk->measures->from_us));
  enum ColtResource resource;
  double rest;
  double weights = 0;
  guint i;

  if (length_us <= 0 || !colt_timeline_is_full (state, &resource))
    return;
  walk->full_us += length_us;
  rest = (double)(state->reserved.amount[resource]
                  - state->teams[state->team_count].reserved.amount[resource]);
  for (i = 0; i < state->team_count; i++)
    {
      walk->busy[i] = is_busy_ (walk, state, i, from_us);
      if (walk->busy[i])
        weights += weight_ (walk, i);
      else
        rest -= (double)state->teams[i].reserved.amount[resource];
    }
  for (i = 0; i < state->team_count; i++)
    if (walk->busy[i] && weights > 0)
      add_team_ (walk, i,
                 (double)state->teams[i].reserved.amount[resource]
                     / (double)state->capacity.amount[resource],
                 rest * weight_ (walk, i) / weights
                     / (double)state->capacity.amount[resource],
                 length_us);
}

static void
add_team_ (struct ColtShareWalk *walk,
           guint team,
           double fraction,
           double share,
           double length_us)
{
  struct ColtShareSum *sum = &walk->sums[team];

  sum->fraction += fraction * length_us;
  sum->share += share * length_us;
  sum->busy_us += length_us;
}

/* Returns whether a team has waiting work and room below its upper limits. */
static bool
is_busy_ (const struct ColtShareWalk *walk,
          const struct ColtTimelineState *state,
          guint team,
          int64_t t_us)
{
  struct ColtHistoryLimit limit;

  if (state->teams[team].waiting <= 0)
    return false;
  limit = colt_history_limits_at (g_ptr_array_index (walk->limits, team), t_us);
  return !colt_history_is_near_limit (&limit, &state->teams[team].reserved);
}

static double
weight_ (const struct ColtShareWalk *walk, guint team)
{
  return g_array_index (walk->history->run.teams, struct ColtHistoryTeam, team)
      .weight;
}
