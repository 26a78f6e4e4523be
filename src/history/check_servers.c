#include "check.h"
#include "sweep.h"

/* Sums up the running tasks of one server at a time, in order of time. */
struct ColtCapacityWalk
{
  const struct ColtHistoryCheck *check;
  const GArray *points;
  GHashTable *excesses; /* set of struct ColtExcess, of all servers */
  const struct ColtHistoryServer *server;
  struct ColtResources sum;
  bool over; /* whether the last violation still lasts */
};

/* A time at which a server was above its capacity. */
struct ColtExcess
{
  uint32_t server;
  int64_t t_us;
};

static void apply_point_ (struct ColtCapacityWalk *walk, guint index);
static void record_excess_ (struct ColtCapacityWalk *walk, int64_t t_us);
static void report_excess_ (struct ColtCapacityWalk *walk, guint index);
static void check_over_records_ (struct ColtCapacityWalk *walk);
static guint hash_excess_ (gconstpointer excess);
static gboolean equal_excess_ (gconstpointer a, gconstpointer b);
static GArray *collect_leaving_ (const struct ColtHistory *history);
static void apply_leaving_event_ (GArray *periods,
                                  const struct ColtHistoryEvent *event);
static gint compare_events_by_time_ (gconstpointer a, gconstpointer b);
static void check_leaving_span_ (const struct ColtHistoryCheck *check,
                                 const GArray *periods,
                                 const struct ColtHistorySpan *span);

void
colt_history_check_capacity (const struct ColtHistoryCheck *check)
{
  GArray *points
      = colt_history_sweep (check->spans, colt_history_group_by_server);
  struct ColtCapacityWalk walk = { .check = check, .points = points };
  guint i;

  walk.excesses
      = g_hash_table_new_full (hash_excess_, equal_excess_, g_free, NULL);
  for (i = 0; i < points->len; i++)
    apply_point_ (&walk, i);
  check_over_records_ (&walk);
  g_hash_table_unref (walk.excesses);
  g_array_unref (points);
}

void
colt_history_check_leaving (const struct ColtHistoryCheck *check)
{
  GArray *periods = collect_leaving_ (check->history);
  guint i;

  for (i = 0; i < check->spans->spans->len; i++)
    check_leaving_span_ (check, periods, colt_history_span (check->spans, i));
  g_array_unref (periods);
}

static void
apply_point_ (struct ColtCapacityWalk *walk, guint index)
{
  const struct ColtHistoryPoint *point
      = &g_array_index (walk->points, struct ColtHistoryPoint, index);

  if (walk->server == NULL || walk->server->id != point->group)
    {
      walk->server
          = colt_history_find_server (walk->check->history, point->group);
      walk->sum = (struct ColtResources){ { 0 } };
      walk->over = false;
    }
  g_assert (walk->server != NULL);
  colt_history_sweep_apply (walk->check->spans, point, &walk->sum);
  if (colt_resources_fit (&walk->sum, &walk->server->capacity))
    {
      walk->over = false;
      return;
    }
  if (!point->is_start)
    return;
  record_excess_ (walk, point->t_us);
  if (!walk->over)
    report_excess_ (walk, index);
  walk->over = true;
}

static void
record_excess_ (struct ColtCapacityWalk *walk, int64_t t_us)
{
  struct ColtExcess *excess = g_new (struct ColtExcess, 1);

  excess->server = walk->server->id;
  excess->t_us = t_us;
  g_hash_table_add (walk->excesses, excess);
  walk->check->verdict->over_computed++;
}

/* Reports an excess with the starts of all tasks that run at that time: those
 * that started before and haven't ended. */
static void
report_excess_ (struct ColtCapacityWalk *walk, guint index)
{
  const struct ColtHistoryCheck *check = walk->check;
  int64_t t_us
      = g_array_index (walk->points, struct ColtHistoryPoint, index).t_us;
  struct ColtHistoryViolation *violation;
  const struct ColtResources *sum = &walk->sum;
  const struct ColtResources *capacity = &walk->server->capacity;
  int i = 0;

  while (sum->amount[i] <= capacity->amount[i])
    i++;
  violation = colt_history_verdict_add (
      check->verdict, COLT_HISTORY_OVERCOMMITTED, t_us,
      "server %u holds %" G_GINT64_FORMAT " %s of %" G_GINT64_FORMAT,
      walk->server->id, sum->amount[i], colt_resource_string[i],
      capacity->amount[i]);
  if (violation == NULL)
    return;
  violation->server = walk->server->id;
  do
    {
      const struct ColtHistoryPoint *point
          = &g_array_index (walk->points, struct ColtHistoryPoint, index);
      const struct ColtHistoryPiece *piece
          = colt_history_piece (check->spans, point->piece);

      if (point->group != walk->server->id)
        break;
      if (point->is_start && piece->to_us > t_us)
        colt_history_violation_add_source (
            violation, colt_history_span (check->spans, piece->span)->start);
    }
  while (index-- > 0);
}

/* Reports excesses that a server recorded itself and that don't follow from
 * starts and ends. */
static void
check_over_records_ (struct ColtCapacityWalk *walk)
{
  const struct ColtHistoryCheck *check = walk->check;
  const GArray *events = check->history->events;
  guint i;

  for (i = 0; i < events->len; i++)
    {
      const struct ColtHistoryEvent *event
          = &g_array_index (events, struct ColtHistoryEvent, i);
      const struct ColtExcess excess = { event->server, event->t_us };
      struct ColtHistoryViolation *violation;

      if (event->kind != COLT_HISTORY_OVER)
        continue;
      check->verdict->over_records++;
      if (g_hash_table_contains (walk->excesses, &excess))
        continue;
      violation = colt_history_verdict_add (
          check->verdict, COLT_HISTORY_OVERCOMMITTED, event->t_us,
          "server %u recorded an excess that starts and ends don't show",
          event->server);
      if (violation != NULL)
        violation->server = event->server;
      colt_history_violation_add_source (violation, event->source);
    }
}

static guint
hash_excess_ (gconstpointer excess)
{
  const struct ColtExcess *key = excess;

  return (guint)key->t_us * 31u + key->server;
}

static gboolean
equal_excess_ (gconstpointer a, gconstpointer b)
{
  const struct ColtExcess *left = a;
  const struct ColtExcess *right = b;

  return left->server == right->server && left->t_us == right->t_us;
}

/* Returns the leaving periods from the description of the run and from the
 * records of the servers. */
static GArray *
collect_leaving_ (const struct ColtHistory *history)
{
  const GArray *described = history->run.leaving;
  GArray *periods
      = g_array_new (FALSE, TRUE, sizeof (struct ColtHistoryPeriod));
  GPtrArray *leaving_events = g_ptr_array_new ();
  guint i;

  g_array_append_vals (periods, described->data, described->len);
  for (i = 0; i < history->events->len; i++)
    {
      struct ColtHistoryEvent *event
          = &g_array_index (history->events, struct ColtHistoryEvent, i);

      if (event->kind == COLT_HISTORY_LEAVING)
        g_ptr_array_add (leaving_events, event);
    }
  g_ptr_array_sort (leaving_events, compare_events_by_time_);
  for (i = 0; i < leaving_events->len; i++)
    apply_leaving_event_ (periods, g_ptr_array_index (leaving_events, i));
  g_ptr_array_unref (leaving_events);
  return periods;
}

static void
apply_leaving_event_ (GArray *periods, const struct ColtHistoryEvent *event)
{
  const struct ColtHistoryPeriod period
      = { event->server, event->t_us, COLT_TIME_NEVER };
  guint i;

  if (event->leaving)
    {
      g_array_append_val (periods, period);
      return;
    }
  for (i = 0; i < periods->len; i++)
    {
      struct ColtHistoryPeriod *before
          = &g_array_index (periods, struct ColtHistoryPeriod, i);

      if (before->id == event->server && before->to_us == COLT_TIME_NEVER)
        before->to_us = event->t_us;
    }
}

static gint
compare_events_by_time_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryEvent *left = *(struct ColtHistoryEvent *const *)a;
  const struct ColtHistoryEvent *right = *(struct ColtHistoryEvent *const *)b;

  return (left->t_us > right->t_us) - (left->t_us < right->t_us);
}

static void
check_leaving_span_ (const struct ColtHistoryCheck *check,
                     const GArray *periods,
                     const struct ColtHistorySpan *span)
{
  guint i;

  for (i = 0; i < periods->len; i++)
    {
      const struct ColtHistoryPeriod *period
          = &g_array_index (periods, struct ColtHistoryPeriod, i);

      if (period->id != span->server || span->start_us >= period->to_us
          || span->start_us <= period->from_us + COLT_HISTORY_GRACE_US)
        continue;
      colt_history_check_attach_span (
          colt_history_verdict_add (
              check->verdict, COLT_HISTORY_LATE_LEAVING, span->start_us,
              "%s-%u attempt %u started on server %u, %" G_GINT64_FORMAT
              " ms after it was to leave",
              colt_history_check_request_id (check, span->request), span->index,
              span->attempt, span->server,
              (span->start_us - period->from_us) / COLT_US_PER_MS),
          span);
      return;
    }
}
