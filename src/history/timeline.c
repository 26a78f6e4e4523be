#include "timeline.h"

#include "check.h"
#include "sweep.h"

/* Change of the fleet's state at one moment. */
struct ColtMoment
{
  int64_t t_us;
  guint team;      /* position in the run's teams; their number if unknown */
  int sign;        /* 1 for a start, -1 for an end */
  int64_t waiting; /* 1 for the wait of a request, otherwise 0 */
  guint piece;     /* index + 1 of a piece; 0 if none */
  uint32_t server; /* killed server; 0 if none */
};

struct ColtTimelineBuilder
{
  const struct ColtHistory *history;
  const struct ColtHistorySpans *spans;
  GArray *moments;
  guint *team_positions; /* by text id of the team */
};

static guint *map_teams_ (const struct ColtHistory *history);
static void add_pieces_ (struct ColtTimelineBuilder *builder);
static void add_calls_ (struct ColtTimelineBuilder *builder);
static void add_killed_ (struct ColtTimelineBuilder *builder);
static void add_pair_ (struct ColtTimelineBuilder *builder,
                       struct ColtMoment moment,
                       int64_t from_us,
                       int64_t to_us);
static void visit_all_ (struct ColtTimelineBuilder *builder,
                        ColtTimelineVisitor visit,
                        void *client);
static void apply_moment_ (const struct ColtTimelineBuilder *builder,
                           struct ColtTimelineState *state,
                           const struct ColtMoment *moment);
static void add_signed_ (struct ColtResources *sum,
                         const struct ColtResources *change,
                         int sign);
static gint compare_moments_ (gconstpointer a, gconstpointer b);

void
colt_timeline_walk (const struct ColtHistory *history,
                    const struct ColtHistorySpans *spans,
                    ColtTimelineVisitor visit,
                    void *client)
{
  struct ColtTimelineBuilder builder = { .history = history, .spans = spans };

  builder.moments = g_array_new (FALSE, FALSE, sizeof (struct ColtMoment));
  builder.team_positions = map_teams_ (history);
  add_pieces_ (&builder);
  add_calls_ (&builder);
  add_killed_ (&builder);
  g_array_sort (builder.moments, compare_moments_);
  visit_all_ (&builder, visit, client);
  g_array_unref (builder.moments);
  g_free (builder.team_positions);
}

double
colt_timeline_reserved_fraction (const struct ColtTimelineState *state,
                                 enum ColtResource resource)
{
  if (state->capacity.amount[resource] <= 0)
    return 0;
  return (double)state->reserved.amount[resource]
         / (double)state->capacity.amount[resource];
}

bool
colt_timeline_is_full (const struct ColtTimelineState *state,
                       enum ColtResource *resource)
{
  static const enum ColtResource scarce[]
      = { COLT_RESOURCE_CORES, COLT_RESOURCE_ACCELERATORS,
          COLT_RESOURCE_SLOTS };
  double highest = 0;
  size_t i;

  *resource = COLT_RESOURCE_CORES;
  for (i = 0; i < G_N_ELEMENTS (scarce); i++)
    if (colt_timeline_reserved_fraction (state, scarce[i]) > highest)
      {
        highest = colt_timeline_reserved_fraction (state, scarce[i]);
        *resource = scarce[i];
      }
  return highest >= COLT_HISTORY_FULL_FRACTION;
}

static guint *
map_teams_ (const struct ColtHistory *history)
{
  const GArray *teams = history->run.teams;
  guint *team_positions = g_new (guint, history->texts->len);
  guint i;

  for (i = 0; i < history->texts->len; i++)
    team_positions[i] = teams->len;
  for (i = 0; i < teams->len; i++)
    team_positions[g_array_index (teams, struct ColtHistoryTeam, i).name] = i;
  return team_positions;
}

static void
add_pieces_ (struct ColtTimelineBuilder *builder)
{
  guint i;

  for (i = 0; i < builder->spans->pieces->len; i++)
    {
      const struct ColtHistoryPiece *piece
          = colt_history_piece (builder->spans, i);
      const struct ColtHistorySpan *span
          = colt_history_span (builder->spans, piece->span);
      const struct ColtMoment moment
          = { .team = builder->team_positions[span->team], .piece = i + 1 };

      add_pair_ (builder, moment, piece->from_us, piece->to_us);
    }
}

static void
add_calls_ (struct ColtTimelineBuilder *builder)
{
  const GArray *calls = builder->history->calls;
  guint i;

  for (i = 0; i < calls->len; i++)
    {
      const struct ColtHistoryCall *call
          = &g_array_index (calls, struct ColtHistoryCall, i);
      const struct ColtMoment moment
          = { .team = builder->team_positions[call->team], .waiting = 1 };
      int64_t until_us = call->answered_us;

      if (call->request != 0)
        until_us = MIN (
            until_us, colt_history_first_start (builder->spans, call->request));
      if (call->outcome != COLT_HISTORY_NOT_SENT)
        add_pair_ (builder, moment, call->sent_us, until_us);
    }
}

static void
add_killed_ (struct ColtTimelineBuilder *builder)
{
  const GArray *killed = builder->history->run.killed;
  guint i;

  for (i = 0; i < killed->len; i++)
    {
      const struct ColtHistoryPeriod *period
          = &g_array_index (killed, struct ColtHistoryPeriod, i);
      const struct ColtMoment moment = { .server = period->id };

      add_pair_ (builder, moment, period->from_us, period->to_us);
    }
}

static void
add_pair_ (struct ColtTimelineBuilder *builder,
           struct ColtMoment moment,
           int64_t from_us,
           int64_t to_us)
{
  if (to_us <= from_us)
    return;
  moment.sign = 1;
  moment.t_us = from_us;
  g_array_append_val (builder->moments, moment);
  moment.sign = -1;
  moment.t_us = to_us;
  if (to_us != COLT_TIME_NEVER)
    g_array_append_val (builder->moments, moment);
}

static void
visit_all_ (struct ColtTimelineBuilder *builder,
            ColtTimelineVisitor visit,
            void *client)
{
  const GArray *servers = builder->history->run.servers;
  struct ColtTimelineState state
      = { .team_count = builder->history->run.teams->len };
  int64_t previous_us = 0;
  guint i;

  state.teams = g_new0 (struct ColtTimelineTeam, state.team_count + 1);
  for (i = 0; i < servers->len; i++)
    colt_resources_add (
        &state.capacity,
        &g_array_index (servers, struct ColtHistoryServer, i).capacity);
  for (i = 0; i < builder->moments->len; i++)
    {
      const struct ColtMoment *moment
          = &g_array_index (builder->moments, struct ColtMoment, i);

      if (i > 0 && moment->t_us > previous_us)
        visit (client, previous_us, moment->t_us, &state);
      previous_us = moment->t_us;
      apply_moment_ (builder, &state, moment);
    }
  if (builder->moments->len > 0 && builder->spans->last_us > previous_us)
    visit (client, previous_us, builder->spans->last_us, &state);
  g_free (state.teams);
}

static void
apply_moment_ (const struct ColtTimelineBuilder *builder,
               struct ColtTimelineState *state,
               const struct ColtMoment *moment)
{
  struct ColtTimelineTeam *team = &state->teams[moment->team];

  if (moment->piece > 0)
    {
      const struct ColtHistoryPiece *piece
          = colt_history_piece (builder->spans, moment->piece - 1);

      add_signed_ (&state->reserved, &piece->limit, moment->sign);
      add_signed_ (&team->reserved, &piece->limit, moment->sign);
    }
  team->waiting += moment->sign * moment->waiting;
  if (moment->server != 0)
    add_signed_ (
        &state->capacity,
        &colt_history_find_server (builder->history, moment->server)->capacity,
        -moment->sign);
}

static void
add_signed_ (struct ColtResources *sum,
             const struct ColtResources *change,
             int sign)
{
  if (sign > 0)
    colt_resources_add (sum, change);
  else
    colt_resources_subtract (sum, change);
}

static gint
compare_moments_ (gconstpointer a, gconstpointer b)
{
  const struct ColtMoment *left = a;
  const struct ColtMoment *right = b;

  return (left->t_us > right->t_us) - (left->t_us < right->t_us);
}
