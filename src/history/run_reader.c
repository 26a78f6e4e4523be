#include <math.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/json.h"
#include "reader.h"

/* Bound of a time that is given as a real number; below INT64_MAX, so that it
 * can be converted. */
#define TIME_MAX_US 4e18

typedef bool (*ColtItemReader) (struct ColtHistory *history,
                                const struct ColtJsonContext *context,
                                const json_t *item);

/* An array of the description and the reader of its items. */
struct ColtRunArray
{
  const char *name;
  bool required;
  ColtItemReader read;
};

static bool read_server_ (struct ColtHistory *history,
                          const struct ColtJsonContext *context,
                          const json_t *item);
static bool read_team_ (struct ColtHistory *history,
                        const struct ColtJsonContext *context,
                        const json_t *item);
static bool read_limit_change_ (struct ColtHistory *history,
                                const struct ColtJsonContext *context,
                                const json_t *item);
static bool read_key_ (struct ColtHistory *history,
                       const struct ColtJsonContext *context,
                       const json_t *item);
static bool read_leaving_ (struct ColtHistory *history,
                           const struct ColtJsonContext *context,
                           const json_t *item);
static bool read_killed_ (struct ColtHistory *history,
                          const struct ColtJsonContext *context,
                          const json_t *item);
static bool read_cut_ (struct ColtHistory *history,
                       const struct ColtJsonContext *context,
                       const json_t *item);
static bool read_rollout_ (struct ColtHistory *history,
                           const struct ColtJsonContext *context,
                           const json_t *item);
static bool read_run_ (struct ColtHistory *history,
                       const struct ColtJsonContext *context,
                       const json_t *object);
static bool read_array_ (struct ColtHistory *history,
                         const struct ColtJsonContext *context,
                         const json_t *object,
                         const struct ColtRunArray *array);
static bool read_time_ (const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        int64_t default_us,
                        int64_t *t_us);
static bool read_amount_ (const struct ColtJsonContext *context,
                          const json_t *object,
                          const char *name,
                          int64_t *amount);
static bool add_limit_ (struct ColtHistory *history,
                        const struct ColtJsonContext *context,
                        const json_t *item,
                        struct ColtHistoryLimit *limit);
static bool read_period_ (const struct ColtHistory *history,
                          const struct ColtJsonContext *context,
                          const json_t *item,
                          const char *id_name,
                          GArray *periods);
static bool check_server_ (const struct ColtHistory *history,
                           const struct ColtJsonContext *context,
                           uint32_t id);
static gint compare_servers_ (gconstpointer a, gconstpointer b);

static const struct ColtRunArray arrays[] = {
  { "teams", true, read_team_ },     { "limits", false, read_limit_change_ },
  { "keys", false, read_key_ },      { "leaving", false, read_leaving_ },
  { "killed", false, read_killed_ }, { "cuts", false, read_cut_ },
  { "rolls", false, read_rollout_ }
};

static const struct ColtRunArray servers = { "servers", true, read_server_ };

bool
colt_history_read_run (struct ColtHistory *history,
                       const char *path,
                       char **problem)
{
  struct ColtError error = { 0 };
  const struct ColtJsonContext context = { NULL, &error };
  json_error_t location;
  json_t *object = json_load_file (path, JSON_REJECT_DUPLICATES, &location);
  bool good;

  if (object == NULL)
    {
      *problem = g_strdup_printf ("%s:%d: %s", path, MAX (location.line, 0),
                                  location.text);
      return false;
    }
  good = read_run_ (history, &context, object);
  if (!good)
    *problem = g_strdup_printf ("%s:1: %s", path, error.message);
  json_decref (object);
  return good;
}

static bool
read_run_ (struct ColtHistory *history,
           const struct ColtJsonContext *context,
           const json_t *object)
{
  struct ColtHistoryRun *run = &history->run;
  size_t i;

  if (!json_is_object (object))
    return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                           NULL, "the description must be an object");
  if (!read_time_ (context, object, "start_us", 0, &run->start_us)
      || !read_time_ (context, object, "end_us", 0, &run->end_us)
      || !read_time_ (context, object, "measure_from_us", 0,
                      &run->measure_from_us)
      || !read_time_ (context, object, "measure_to_us", 0, &run->measure_to_us)
      || !read_time_ (context, object, "patience_us", run->wait_timeout_us,
                      &run->wait_timeout_us)
      || !read_array_ (history, context, object, &servers))
    return false;
  g_array_sort (run->servers, compare_servers_);
  for (i = 0; i < G_N_ELEMENTS (arrays); i++)
    if (!read_array_ (history, context, object, &arrays[i]))
      return false;
  return true;
}

static bool
read_array_ (struct ColtHistory *history,
             const struct ColtJsonContext *context,
             const json_t *object,
             const struct ColtRunArray *array)
{
  const json_t *items;
  size_t i;

  if (!array->required && json_object_get (object, array->name) == NULL)
    return true;
  if (!colt_json_get_array (context, object, array->name, &items))
    return false;
  for (i = 0; i < json_array_size (items); i++)
    {
      char reason[COLT_ERROR_MESSAGE_SIZE];

      if (array->read (history, context, json_array_get (items, i)))
        continue;
      g_strlcpy (reason, context->error->message, sizeof reason);
      return colt_error_set (context->error, COLT_ERROR_INVALID,
                             COLT_STEP_DECODE, NULL, "%s[%zu]: %.200s",
                             array->name, i, reason);
    }
  return true;
}

static bool
read_server_ (struct ColtHistory *history,
              const struct ColtJsonContext *context,
              const json_t *item)
{
  struct ColtHistoryServer server = { 0 };
  const json_t *capacity;
  int i;

  if (!colt_json_get_u32 (context, item, "id", 1, &server.id)
      || !colt_json_get_u32 (context, item, "zone", 1, &server.zone)
      || !colt_json_get_object (context, item, "capacity", &capacity))
    return false;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (!colt_json_get_integer (context, capacity, colt_resource_string[i], 0,
                                INT64_MAX / 1000000,
                                &server.capacity.amount[i]))
      return false;
  g_array_append_val (history->run.servers, server);
  return true;
}

static bool
read_team_ (struct ColtHistory *history,
            const struct ColtJsonContext *context,
            const json_t *item)
{
  const json_t *weight = json_object_get (item, "weight");
  struct ColtHistoryTeam team = { .weight = 1 };
  struct ColtHistoryLimit limit = { .tasks = COLT_HISTORY_UNLIMITED,
                                    .cores_milli = COLT_HISTORY_UNLIMITED,
                                    .accelerators = COLT_HISTORY_UNLIMITED };
  const char *name;

  if (!colt_json_get_string (context, item, "name", &name))
    return false;
  if (json_is_number (weight))
    team.weight = json_number_value (weight);
  team.name = colt_history_intern (history, name);
  limit.team = team.name;
  g_array_append_val (history->run.teams, team);
  return add_limit_ (history, context, item, &limit);
}

/* Limits that a change omits keep their previous values. */
static bool
read_limit_change_ (struct ColtHistory *history,
                    const struct ColtJsonContext *context,
                    const json_t *item)
{
  const GArray *limits = history->run.limits;
  struct ColtHistoryLimit limit = { .team = 0 };
  const char *team;
  guint i;

  if (!colt_json_get_string (context, item, "team", &team))
    return false;
  for (i = 0; i < limits->len; i++)
    if (g_array_index (limits, struct ColtHistoryLimit, i).team
        == colt_history_intern (history, team))
      limit = g_array_index (limits, struct ColtHistoryLimit, i);
  if (limit.team == 0)
    return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                           NULL, "team %s isn't part of the run", team);
  return read_time_ (context, item, "t_us", -1, &limit.t_us)
         && add_limit_ (history, context, item, &limit);
}

static bool
add_limit_ (struct ColtHistory *history,
            const struct ColtJsonContext *context,
            const json_t *item,
            struct ColtHistoryLimit *limit)
{
  if (!read_amount_ (context, item, "limit_tasks", &limit->tasks)
      || !read_amount_ (context, item, "limit_cores_milli", &limit->cores_milli)
      || !read_amount_ (context, item, "limit_accelerators",
                        &limit->accelerators))
    return false;
  g_array_append_vals (history->run.limits, limit, 1);
  return true;
}

static bool
read_key_ (struct ColtHistory *history,
           const struct ColtJsonContext *context,
           const json_t *item)
{
  const char *class = json_string_value (json_object_get (item, "class"));
  struct ColtHistoryKey key = { 0 };
  const char *team;

  if (!colt_json_get_string (context, item, "team", &team)
      || !read_time_ (context, item, "withdrawn_us", -1, &key.t_us))
    return false;
  key.team = colt_history_intern (history, team);
  key.class = colt_history_intern (history, class != NULL ? class : "");
  g_array_append_val (history->run.keys, key);
  return true;
}

static bool
read_leaving_ (struct ColtHistory *history,
               const struct ColtJsonContext *context,
               const json_t *item)
{
  struct ColtHistoryPeriod period = { 0 };

  if (!colt_json_get_u32 (context, item, "server", 1, &period.id)
      || !check_server_ (history, context, period.id)
      || !read_time_ (context, item, "t_us", -1, &period.from_us)
      || !read_time_ (context, item, "to_us", COLT_TIME_NEVER, &period.to_us))
    return false;
  g_array_append_val (history->run.leaving, period);
  return true;
}

static bool
read_killed_ (struct ColtHistory *history,
              const struct ColtJsonContext *context,
              const json_t *item)
{
  return read_period_ (history, context, item, "server", history->run.killed);
}

static bool
read_cut_ (struct ColtHistory *history,
           const struct ColtJsonContext *context,
           const json_t *item)
{
  return read_period_ (history, context, item, "zone", history->run.cuts);
}

static bool
read_period_ (const struct ColtHistory *history,
              const struct ColtJsonContext *context,
              const json_t *item,
              const char *id_name,
              GArray *periods)
{
  struct ColtHistoryPeriod period = { 0 };

  if (!colt_json_get_u32 (context, item, id_name, 1, &period.id)
      || !read_time_ (context, item, "from_us", -1, &period.from_us)
      || !read_time_ (context, item, "to_us", COLT_TIME_NEVER, &period.to_us))
    return false;
  if (periods == history->run.killed
      && !check_server_ (history, context, period.id))
    return false;
  g_array_append_val (periods, period);
  return true;
}

/* Zones that reported no time are ignored. */
static bool
read_rollout_ (struct ColtHistory *history,
               const struct ColtJsonContext *context,
               const json_t *item)
{
  json_t *zones = json_object_get (item, "in_force_us");
  struct ColtHistoryRollout rollout = { 0 };
  const char *zone;
  json_t *value;

  if (!read_time_ (context, item, "t_us", -1, &rollout.t_us))
    return false;
  json_object_foreach (zones, zone, value) if (json_is_number (value))
      rollout.in_force_us
      = MAX (rollout.in_force_us, (int64_t)json_number_value (value));
  g_array_append_val (history->run.rollouts, rollout);
  return true;
}

/* Reads a time, which is required if DEFAULT_US is -1. */
static bool
read_time_ (const struct ColtJsonContext *context,
            const json_t *object,
            const char *name,
            int64_t default_us,
            int64_t *t_us)
{
  const json_t *value = json_object_get (object, name);

  *t_us = default_us;
  if ((value == NULL || json_is_null (value)) && default_us >= 0)
    return true;
  if (json_is_integer (value))
    *t_us = json_integer_value (value);
  else if (json_is_real (value) && fabs (json_real_value (value)) < TIME_MAX_US)
    *t_us = (int64_t)json_real_value (value);
  if (*t_us >= 0 && value != NULL)
    return true;
  return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                         NULL, "%s: must be a time in microseconds", name);
}

/* An absent amount keeps its value; null or a negative number is no limit. */
static bool
read_amount_ (const struct ColtJsonContext *context,
              const json_t *object,
              const char *name,
              int64_t *amount)
{
  const json_t *value = json_object_get (object, name);

  if (value == NULL)
    return true;
  if (json_is_null (value))
    *amount = COLT_HISTORY_UNLIMITED;
  else if (!colt_json_get_integer (context, object, name, INT64_MIN, INT64_MAX,
                                   amount))
    return false;
  if (*amount < 0)
    *amount = COLT_HISTORY_UNLIMITED;
  return true;
}

static bool
check_server_ (const struct ColtHistory *history,
               const struct ColtJsonContext *context,
               uint32_t id)
{
  if (colt_history_find_server (history, id) != NULL)
    return true;
  return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                         NULL, "server %u isn't part of the run", id);
}

static gint
compare_servers_ (gconstpointer a, gconstpointer b)
{
  const struct ColtHistoryServer *left = a;
  const struct ColtHistoryServer *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}
