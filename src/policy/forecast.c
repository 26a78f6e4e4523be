#include "coltsfootstile/forecast.h"

#include <glib.h>
#include <math.h>

#include "coltsfootstile/clock.h"

/* Resources that placement accounts for. */
#define RESOURCES (COLT_RESOURCE_ACCELERATORS + 1)
#define CLASSES (COLT_FORECAST_RANKS * COLT_FORECAST_PRIORITIES * 2u)
/* Time over which the rate of work is smoothed. */
#define RATE_S 4.0
/* Times over which arrivals are smoothed. */
#define ARRIVAL_FAST_S 3.0
#define ARRIVAL_SLOW_S 30.0
/* Recent arrivals of a class above the slow average count half if there are
 * this many, as a single large job isn't a burst. */
#define ARRIVALS_HALF 8.0
/* Recent arrivals are assumed to continue for this long: bursts last 4 to 6 s.
 */
#define BURST_S 5.0
/* Nothing is rejected for the sake of a service that has been full for a
 * shorter time: it serves most of a short burst once that is over. */
#define SERVICE_BURST_US (5 * COLT_US_PER_S)
/* Largest part of the rate that arrivals are assumed to take for good. */
#define ARRIVAL_PART_MAX 0.9
/* A scope is the bottleneck until this long after placement last found it so.
 * Passes that plan no start for lack of a budget find nothing. */
#define BOTTLENECK_US (500 * COLT_US_PER_MS)
/* Least time as the bottleneck and ends of runs for a known rate. Ends aren't
 * compared with use: long runs return nothing for seconds after a surge began,
 * and runs that hang only make the rate look higher. */
#define OBSERVED_MIN_S 0.5
#define ENDS_MIN 10.0
/* Nothing is rejected for this long after an election or a disturbance. */
#define DISTRUST_US (3 * COLT_US_PER_S)
/* Part of a service's servers that are lost within LOSS_S for a disturbance. */
#define LOSS_MAX 0.02
#define LOSS_S 3.0
/* Weight of a new forecast error in the mean, and samples for a known mean. */
#define ERROR_WEIGHT 0.06
#define ERROR_SAMPLES_MIN 8u
/* Largest mean error as a part of a job's slack. */
#define ERROR_PART_MAX 0.5
/* A job is rejected if its latest start is beyond its slack by this factor. A
 * wrong rejection costs its caller more than a wrong acceptance. */
#define MARGIN 1.5
/* Part of the rate that is left for returning jobs. */
#define RETURN_PART 0.5
#define RETURN_MAX_US (30 * COLT_US_PER_S)
/* Longest wait that is forecast. */
#define WAIT_MAX_S 3600.0

struct ColtScope
{
  double capacity[RESOURCES];         /* 0: no limit */
  double waiting[CLASSES][RESOURCES]; /* resource-seconds */
  double fast[CLASSES][RESOURCES]; /* arrivals a second, over ARRIVAL_FAST_S */
  double slow[CLASSES][RESOURCES];
  double arrivals[CLASSES]; /* recent ones, decayed over ARRIVAL_FAST_S */
  int64_t arrivals_us;      /* when fast and slow were last decayed */
  double used[RESOURCES];
  int64_t found_us;       /* when it last was the bottleneck; 0: never */
  double observed_s;      /* as the bottleneck, decayed */
  double done[RESOURCES]; /* integral of used over that time, decayed */
  double ends;            /* runs that ended in it, decayed */
  int64_t since_us;       /* since when it has been the bottleneck */
  int64_t next_return_us; /* next turn of a rejected job */
  double lost;            /* part of its servers lost recently, decayed */
  int64_t lost_us;        /* when lost was last decayed */
  int64_t trusted_us;     /* nothing is rejected before */
  GPtrArray *accounts;    /* of struct ColtAccount, of an organisation */
  bool limited;           /* its work isn't counted in services */
};

/* An organisation's work in a service. */
struct ColtAccount
{
  struct ColtScope *organisation;
  struct ColtScope *service;
  double waiting[CLASSES][RESOURCES];
  double error_s;
  uint32_t error_samples;
};

/* What a query finds in one scope. */
struct ColtScopeView
{
  bool known;
  bool confident;
  double start_s;
  double latest_s;
  double last_s;
  double backlog_s;
  double rate;
  double before;
  double work_s;    /* of the job itself */
  double surplus_s; /* by which the wait is too long; 0 or less: it isn't */
};

/* Work of several classes: what waits, and the rates of arrivals. */
struct ColtClassSum
{
  double waiting;
  double fast;
  double slow;
};

struct ColtForecast
{
  GHashTable *organisations; /* name -> struct ColtScope */
  GHashTable *services;      /* name -> struct ColtScope */
  GHashTable *account_names; /* "organisation\nservice" -> handle */
  GPtrArray *accounts;       /* of struct ColtAccount, by handle */
  GPtrArray *limited;        /* organisations whose work isn't counted in
                                services */
  int64_t trusted_us;
};

static struct ColtScope *get_scope_ (GHashTable *scopes, const char *name);
static void free_scope_ (gpointer data);
static struct ColtAccount *get_account_ (const struct ColtForecast *forecast,
                                         uint32_t account);
static void set_capacity_ (struct ColtScope *scope,
                           const struct ColtResources *capacity);
static void add_work_ (double sum[RESOURCES],
                       const struct ColtResources *demand,
                       double seconds);
static void observe_ (struct ColtScope *scope, int64_t now_us);
static bool is_bottleneck_ (const struct ColtScope *scope, int64_t now_us);
static void count_in_services_ (struct ColtScope *organisation, bool counted);
static void decay_arrivals_ (struct ColtScope *scope, int64_t now_us);
static int dominant_ (const struct ColtScope *scope);
static struct ColtClassSum sum_classes_ (const struct ColtScope *scope,
                                         int r,
                                         uint32_t first,
                                         uint32_t end);
static void view_scope_ (struct ColtScope *scope,
                         const struct ColtForecastQuery *query,
                         int64_t now_us,
                         struct ColtScopeView *view);
static double wait_s_ (double backlog, double rate, double fast, double slow);
static uint32_t return_after_ms_ (struct ColtScope *scope,
                                  const struct ColtForecastQuery *query,
                                  const struct ColtScopeView *view,
                                  int64_t now_us);
static uint32_t mix_ (uint64_t id);

const char *const colt_forecast_reason_string[]
    = { "nothing", "organisation's maximum", "service" };

struct ColtForecast *
colt_forecast_create (int64_t now_us)
{
  struct ColtForecast *forecast = g_new0 (struct ColtForecast, 1);

  forecast->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_scope_);
  forecast->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_scope_);
  forecast->account_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  forecast->accounts = g_ptr_array_new_with_free_func (g_free);
  forecast->limited = g_ptr_array_new ();
  forecast->trusted_us = now_us + DISTRUST_US;
  return forecast;
}

void
colt_forecast_destroy (struct ColtForecast *forecast)
{
  if (forecast == NULL)
    return;
  g_ptr_array_unref (forecast->limited);
  g_ptr_array_unref (forecast->accounts);
  g_hash_table_unref (forecast->account_names);
  g_hash_table_unref (forecast->organisations);
  g_hash_table_unref (forecast->services);
  g_free (forecast);
}

uint32_t
colt_forecast_open_account (struct ColtForecast *forecast,
                            const char *organisation,
                            const char *service)
{
  char *name = g_strdup_printf ("%s\n%s", organisation, service);
  struct ColtAccount *account;
  gpointer handle;

  if (g_hash_table_lookup_extended (forecast->account_names, name, NULL,
                                    &handle))
    {
      g_free (name);
      return GPOINTER_TO_UINT (handle);
    }
  account = g_new0 (struct ColtAccount, 1);
  account->organisation = get_scope_ (forecast->organisations, organisation);
  account->service = get_scope_ (forecast->services, service);
  g_ptr_array_add (account->organisation->accounts, account);
  handle = GUINT_TO_POINTER (forecast->accounts->len);
  g_ptr_array_add (forecast->accounts, account);
  g_hash_table_insert (forecast->account_names, name, handle);
  return GPOINTER_TO_UINT (handle);
}

void
colt_forecast_set_maximum (struct ColtForecast *forecast,
                           const char *organisation,
                           const struct ColtResources *maximum)
{
  set_capacity_ (get_scope_ (forecast->organisations, organisation), maximum);
}

void
colt_forecast_set_room (struct ColtForecast *forecast,
                        const char *service,
                        const struct ColtResources *room)
{
  set_capacity_ (get_scope_ (forecast->services, service), room);
}

uint32_t
colt_forecast_class (enum ColtForecastRank rank, uint32_t priority, bool begun)
{
  return ((uint32_t)rank * COLT_FORECAST_PRIORITIES
          + MIN (priority, COLT_FORECAST_PRIORITIES - 1))
             * 2
         + (begun ? 0 : 1);
}

void
colt_forecast_add_waiting (struct ColtForecast *forecast,
                           uint32_t account,
                           uint32_t work_class,
                           const struct ColtResources *demand,
                           double task_seconds)
{
  struct ColtAccount *owner = get_account_ (forecast, account);

  add_work_ (owner->waiting[work_class], demand, task_seconds);
  add_work_ (owner->organisation->waiting[work_class], demand, task_seconds);
  if (!owner->organisation->limited)
    add_work_ (owner->service->waiting[work_class], demand, task_seconds);
}

void
colt_forecast_add_arrival (struct ColtForecast *forecast,
                           uint32_t account,
                           uint32_t work_class,
                           const struct ColtResources *demand,
                           double task_seconds,
                           int64_t now_us)
{
  struct ColtAccount *owner = get_account_ (forecast, account);
  struct ColtScope *scopes[] = { owner->organisation, owner->service };
  int count = owner->organisation->limited ? 1 : 2;
  int i;

  for (i = 0; i < count; i++)
    {
      decay_arrivals_ (scopes[i], now_us);
      add_work_ (scopes[i]->fast[work_class], demand,
                 task_seconds / ARRIVAL_FAST_S);
      add_work_ (scopes[i]->slow[work_class], demand,
                 task_seconds / ARRIVAL_SLOW_S);
      scopes[i]->arrivals[work_class]++;
    }
}

void
colt_forecast_add_run (struct ColtForecast *forecast,
                       uint32_t account,
                       const struct ColtResources *demand)
{
  struct ColtAccount *owner = get_account_ (forecast, account);

  add_work_ (owner->organisation->used, demand, 1);
  add_work_ (owner->service->used, demand, 1);
}

void
colt_forecast_end_run (struct ColtForecast *forecast,
                       uint32_t account,
                       const struct ColtResources *demand,
                       int64_t now_us)
{
  struct ColtAccount *owner = get_account_ (forecast, account);
  struct ColtScope *scopes[] = { owner->organisation, owner->service };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (scopes); i++)
    {
      add_work_ (scopes[i]->used, demand, -1);
      if (is_bottleneck_ (scopes[i], now_us))
        scopes[i]->ends++;
    }
}

void
colt_forecast_note_limit (struct ColtForecast *forecast,
                          uint32_t account,
                          int64_t now_us)
{
  struct ColtScope *organisation
      = get_account_ (forecast, account)->organisation;

  if (organisation->found_us == now_us)
    return;
  observe_ (organisation, now_us);
  if (organisation->limited)
    return;
  count_in_services_ (organisation, false);
  g_ptr_array_add (forecast->limited, organisation);
}

void
colt_forecast_note_full (struct ColtForecast *forecast,
                         uint32_t account,
                         int64_t now_us)
{
  struct ColtScope *service = get_account_ (forecast, account)->service;

  if (service->found_us != now_us)
    observe_ (service, now_us);
}

void
colt_forecast_end_pass (struct ColtForecast *forecast, int64_t now_us)
{
  guint i = forecast->limited->len;

  while (i-- > 0)
    {
      struct ColtScope *organisation = g_ptr_array_index (forecast->limited, i);

      if (is_bottleneck_ (organisation, now_us))
        continue;
      count_in_services_ (organisation, true);
      g_ptr_array_remove_index_fast (forecast->limited, i);
    }
}

void
colt_forecast_lose_servers (struct ColtForecast *forecast,
                            const char *service,
                            double fraction,
                            int64_t now_us)
{
  struct ColtScope *scope = get_scope_ (forecast->services, service);
  double passed_s = (double)(now_us - scope->lost_us) / COLT_US_PER_S;

  scope->lost = scope->lost * exp (-MAX (passed_s, 0) / LOSS_S) + fraction;
  scope->lost_us = now_us;
  if (scope->lost > LOSS_MAX)
    scope->trusted_us = now_us + DISTRUST_US;
}

void
colt_forecast_distrust (struct ColtForecast *forecast, int64_t now_us)
{
  forecast->trusted_us = MAX (forecast->trusted_us, now_us + DISTRUST_US);
}

void
colt_forecast_query (struct ColtForecast *forecast,
                     const struct ColtForecastQuery *query,
                     int64_t now_us,
                     struct ColtForecastAnswer *answer)
{
  struct ColtAccount *account = get_account_ (forecast, query->account);
  double slack_s = (double)query->slack_us / COLT_US_PER_S;
  struct ColtScope *scope = account->organisation;
  struct ColtScopeView view;
  struct ColtScopeView other = { 0 };

  *answer = (struct ColtForecastAnswer){ 0 };
  view_scope_ (account->organisation, query, now_us, &view);
  if (query->any_server)
    view_scope_ (account->service, query, now_us, &other);
  answer->reason = COLT_FORECAST_ORGANISATION;
  if (now_us - account->service->since_us < SERVICE_BURST_US)
    other.confident = false;
  if (other.known
      && (!view.known || (other.confident && other.surplus_s > view.surplus_s)))
    {
      view = other;
      scope = account->service;
      answer->reason = COLT_FORECAST_SERVICE;
    }
  if (!view.known)
    answer->reason = COLT_FORECAST_NOTHING;
  answer->known = view.known;
  answer->error_s = account->error_s;
  answer->confident = view.confident && now_us >= forecast->trusted_us
                      && now_us >= account->service->trusted_us
                      && (account->error_samples < ERROR_SAMPLES_MIN
                          || account->error_s <= ERROR_PART_MAX * slack_s);
  answer->start_us = now_us + (int64_t)(view.start_s * COLT_US_PER_S);
  answer->latest_us = now_us + (int64_t)(view.latest_s * COLT_US_PER_S);
  answer->last_us = now_us + (int64_t)(view.last_s * COLT_US_PER_S);
  answer->end_us = answer->latest_us + query->chain_us;
  answer->backlog_s = view.backlog_s;
  answer->rate = view.rate;
  answer->before = view.before;
  answer->samples = scope->ends;
  answer->rejected = answer->confident && view.surplus_s > 0;
  if (answer->rejected)
    answer->retry_after_ms = return_after_ms_ (scope, query, &view, now_us);
}

int64_t
colt_forecast_check (struct ColtForecast *forecast,
                     uint32_t account,
                     int64_t start_us,
                     int64_t latest_us,
                     int64_t actual_us)
{
  struct ColtAccount *owner = get_account_ (forecast, account);
  int64_t error_us = 0;

  if (actual_us < start_us)
    error_us = start_us - actual_us;
  else if (actual_us > latest_us)
    error_us = actual_us - latest_us;
  owner->error_samples++;
  owner->error_s += MAX (ERROR_WEIGHT, 1.0 / owner->error_samples)
                    * ((double)error_us / COLT_US_PER_S - owner->error_s);
  return error_us;
}

static struct ColtScope *
get_scope_ (GHashTable *scopes, const char *name)
{
  struct ColtScope *scope = g_hash_table_lookup (scopes, name);

  if (scope == NULL)
    {
      scope = g_new0 (struct ColtScope, 1);
      scope->accounts = g_ptr_array_new ();
      g_hash_table_insert (scopes, g_strdup (name), scope);
    }
  return scope;
}

static void
free_scope_ (gpointer data)
{
  struct ColtScope *scope = data;

  g_ptr_array_unref (scope->accounts);
  g_free (scope);
}

static struct ColtAccount *
get_account_ (const struct ColtForecast *forecast, uint32_t account)
{
  g_assert (account < forecast->accounts->len);
  return g_ptr_array_index (forecast->accounts, account);
}

static void
set_capacity_ (struct ColtScope *scope, const struct ColtResources *capacity)
{
  int r;

  for (r = 0; r < RESOURCES; r++)
    scope->capacity[r] = (double)capacity->amount[r];
}

static void
add_work_ (double sum[RESOURCES],
           const struct ColtResources *demand,
           double seconds)
{
  int r;

  for (r = 0; r < RESOURCES; r++)
    sum[r] = MAX (sum[r] + (double)demand->amount[r] * seconds, 0);
}

/* Adds the time since the scope was last found to be the bottleneck, if it was
 * so throughout. */
static void
observe_ (struct ColtScope *scope, int64_t now_us)
{
  double passed_s = (double)(now_us - scope->found_us) / COLT_US_PER_S;
  double kept = exp (-MAX (passed_s, 0) / RATE_S);
  bool throughout = is_bottleneck_ (scope, now_us);
  int r;

  scope->found_us = now_us;
  scope->observed_s *= kept;
  scope->ends *= kept;
  for (r = 0; r < RESOURCES; r++)
    {
      scope->done[r] *= kept;
    }
  if (!throughout)
    {
      scope->since_us = now_us;
      return;
    }
  scope->observed_s += passed_s;
  for (r = 0; r < RESOURCES; r++)
    scope->done[r] += scope->used[r] * passed_s;
}

static bool
is_bottleneck_ (const struct ColtScope *scope, int64_t now_us)
{
  return scope->found_us != 0 && now_us - scope->found_us <= BOTTLENECK_US;
}

static void
count_in_services_ (struct ColtScope *organisation, bool counted)
{
  guint i;
  uint32_t c;
  int r;

  organisation->limited = !counted;
  for (i = 0; i < organisation->accounts->len; i++)
    {
      const struct ColtAccount *account
          = g_ptr_array_index (organisation->accounts, i);

      for (c = 0; c < CLASSES; c++)
        for (r = 0; r < RESOURCES; r++)
          {
            double *sum = &account->service->waiting[c][r];

            *sum += counted ? account->waiting[c][r] : -account->waiting[c][r];
            *sum = MAX (*sum, 0);
          }
    }
}

static void
decay_arrivals_ (struct ColtScope *scope, int64_t now_us)
{
  double passed_s = (double)(now_us - scope->arrivals_us) / COLT_US_PER_S;
  double fast = exp (-MAX (passed_s, 0) / ARRIVAL_FAST_S);
  double slow = exp (-MAX (passed_s, 0) / ARRIVAL_SLOW_S);
  uint32_t c;
  int r;

  scope->arrivals_us = now_us;
  for (c = 0; c < CLASSES; c++)
    {
      scope->arrivals[c] *= fast;
      for (r = 0; r < RESOURCES; r++)
        {
          scope->fast[c][r] *= fast;
          scope->slow[c][r] *= slow;
        }
    }
}

/* Returns the resource of which the largest part is used. */
static int
dominant_ (const struct ColtScope *scope)
{
  double part_max = -1;
  int dominant = COLT_RESOURCE_CORES;
  int r;

  for (r = 0; r < RESOURCES; r++)
    if (scope->capacity[r] > 0
        && scope->used[r] / scope->capacity[r] > part_max)
      {
        part_max = scope->used[r] / scope->capacity[r];
        dominant = r;
      }
  return dominant;
}

/* Adds up a resource of the classes from first up to, but not including, end.
 */
static struct ColtClassSum
sum_classes_ (const struct ColtScope *scope,
              int r,
              uint32_t first,
              uint32_t end)
{
  struct ColtClassSum sum = { 0, 0, 0 };
  uint32_t c;

  for (c = first; c < end; c++)
    {
      double known = scope->arrivals[c] / (scope->arrivals[c] + ARRIVALS_HALF);
      double fast = scope->fast[c][r];
      double slow = scope->slow[c][r];

      sum.waiting += scope->waiting[c][r];
      sum.fast += fast > slow ? slow + known * (fast - slow) : fast;
      sum.slow += slow;
    }
  return sum;
}

/* A job within its share that has become late keeps its turn among late work,
 * so that stands before it too. One beyond its share is then worthless: it
 * starts once no useful work waits. */
static void
view_scope_ (struct ColtScope *scope,
             const struct ColtForecastQuery *query,
             int64_t now_us,
             struct ColtScopeView *view)
{
  uint32_t own = colt_forecast_class (query->rank, query->priority, false);
  uint32_t late
      = colt_forecast_class (COLT_FORECAST_LATE, query->priority, false);
  uint32_t first_late = colt_forecast_class (COLT_FORECAST_LATE, 0, true);
  double slack_s = MARGIN * (double)query->slack_us / COLT_US_PER_S;
  double useful_s = MARGIN * (double)query->useful_us / COLT_US_PER_S;
  int r = dominant_ (scope);
  struct ColtClassSum before;
  struct ColtClassSum all;
  double own_waiting;
  double useful;

  *view = (struct ColtScopeView){ 0 };
  if (!is_bottleneck_ (scope, now_us) || scope->observed_s < OBSERVED_MIN_S
      || scope->done[r] <= 0)
    return;
  decay_arrivals_ (scope, now_us);
  before = sum_classes_ (scope, r, 0, own);
  own_waiting = scope->waiting[own][r];
  useful = before.waiting + own_waiting;
  if (query->rank == COLT_FORECAST_TIMELY)
    useful += sum_classes_ (scope, r, first_late, late + 1).waiting;
  view->known = true;
  view->rate = scope->done[r] / scope->observed_s;
  view->confident = scope->ends >= ENDS_MIN;
  view->before = before.fast / view->rate;
  view->backlog_s = useful / view->rate;
  view->start_s
      = (before.waiting + (query->newest_first ? 0 : own_waiting)) / view->rate;
  view->latest_s = wait_s_ (useful, view->rate, before.fast, before.slow);
  view->last_s = view->latest_s;
  if (query->rank != COLT_FORECAST_TIMELY)
    {
      all = sum_classes_ (scope, r, 0, CLASSES);
      view->last_s = wait_s_ (all.waiting, view->rate, all.fast, all.slow);
    }
  view->surplus_s = MIN (view->latest_s - slack_s, view->last_s - useful_s);
  view->work_s
      = (double)query->demand.amount[r] * query->task_seconds / view->rate;
}

/* Returns how long a backlog takes at a rate, less arrivals before it. */
static double
wait_s_ (double backlog, double rate, double fast, double slow)
{
  double left = backlog + (fast - rate) * BURST_S;

  if (left <= 0)
    return backlog / (rate - fast);
  return MIN (BURST_S + left / (rate - MIN (slow, ARRIVAL_PART_MAX * rate)),
              WAIT_MAX_S);
}

static uint32_t
return_after_ms_ (struct ColtScope *scope,
                  const struct ColtForecastQuery *query,
                  const struct ColtScopeView *view,
                  int64_t now_us)
{
  int64_t earliest_us
      = now_us + (int64_t)(view->surplus_s * (double)COLT_US_PER_S);
  int64_t turn_us = MAX (earliest_us, scope->next_return_us);
  double part = (double)mix_ (query->id) / UINT32_MAX;
  double length_us = view->work_s / RETURN_PART * (double)COLT_US_PER_S;
  double after_us;

  if (turn_us - now_us > RETURN_MAX_US)
    after_us = (double)RETURN_MAX_US * (1 + part) / 2;
  else
    {
      after_us = (double)(turn_us - now_us)
                 + part * MIN (length_us, (double)COLT_US_PER_S);
      scope->next_return_us = turn_us + (int64_t)length_us;
    }
  return (uint32_t)(after_us / COLT_US_PER_MS) + 1;
}

static uint32_t
mix_ (uint64_t id)
{
  id ^= id >> 33;
  id *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  id ^= id >> 33;
  return (uint32_t)(id >> 16);
}
