#include "server_changes.h"

#include <glib.h>

#include "server_json.h"

static json_t *start_tasks_ (struct ColtStandinServer *server,
                             const json_t *starts,
                             int64_t token,
                             int64_t now_us);
static json_t *start_task_ (struct ColtStandinServer *server,
                            const json_t *item,
                            int64_t token,
                            int64_t now_us);
static json_t *stop_tasks_ (struct ColtStandinServer *server,
                            const json_t *stops,
                            int64_t now_us);
static json_t *resize_tasks_ (struct ColtStandinServer *server,
                              const json_t *resizes,
                              int64_t now_us);
static json_t *encode_outcome_ (const struct ColtTaskRef *ref,
                                enum ColtStandinOutcome outcome);

json_t *
colt_standin_apply_changes (struct ColtStandinServer *server,
                            const json_t *changes,
                            int64_t token,
                            int64_t now_us)
{
  json_t *answer = json_object ();

  json_object_set_new (
      answer, "stops",
      stop_tasks_ (server, json_object_get (changes, "stops"), now_us));
  json_object_set_new (
      answer, "resizes",
      resize_tasks_ (server, json_object_get (changes, "resizes"), now_us));
  json_object_set_new (answer, "results",
                       start_tasks_ (server,
                                     json_object_get (changes, "starts"), token,
                                     now_us));
  return answer;
}

static json_t *
start_tasks_ (struct ColtStandinServer *server,
              const json_t *starts,
              int64_t token,
              int64_t now_us)
{
  json_t *results = json_array ();
  json_t *item;
  size_t i;

  json_array_foreach (starts, i, item) json_array_append_new (
      results, start_task_ (server, item, token, now_us));
  return results;
}

static json_t *
start_task_ (struct ColtStandinServer *server,
             const json_t *item,
             int64_t token,
             int64_t now_us)
{
  enum ColtStandinOutcome outcome;
  struct ColtTaskStart start;
  const char *reason;
  uint8_t *payload;
  json_t *result;

  if (!colt_standin_decode_start (item, &start, &payload))
    return json_pack ("{s:O?,s:O?,s:s,s:s}", "task",
                      json_object_get (item, "task"), "attempt",
                      json_object_get (item, "attempt"), "status", "refused",
                      "reason", "invalid");
  outcome
      = colt_standin_server_start_task (server, now_us, token, &start, &reason);
  result = encode_outcome_ (&start.ref, outcome);
  if (reason != NULL)
    json_object_set_new (result, "reason", json_string (reason));
  g_free (payload);
  return result;
}

static json_t *
stop_tasks_ (struct ColtStandinServer *server,
             const json_t *stops,
             int64_t now_us)
{
  json_t *results = json_array ();
  struct ColtTaskRef ref;
  json_t *item;
  size_t i;

  json_array_foreach (stops, i, item)
  {
    bool checkpoint = json_is_true (json_object_get (item, "checkpoint"));

    if (colt_standin_decode_ref (item, &ref))
      json_array_append_new (
          results,
          encode_outcome_ (&ref, colt_standin_server_stop_task (
                                     server, now_us, &ref, checkpoint)));
  }
  return results;
}

static json_t *
resize_tasks_ (struct ColtStandinServer *server,
               const json_t *resizes,
               int64_t now_us)
{
  json_t *results = json_array ();
  struct ColtResources limit;
  struct ColtTaskRef ref;
  json_t *item;
  size_t i;

  json_array_foreach (resizes, i, item)
  {
    if (!colt_standin_decode_ref (item, &ref))
      continue;
    colt_standin_decode_resources (json_object_get (item, "limit"), &limit);
    json_array_append_new (
        results, encode_outcome_ (&ref, colt_standin_server_resize_task (
                                            server, now_us, &ref, &limit)));
  }
  return results;
}

static json_t *
encode_outcome_ (const struct ColtTaskRef *ref, enum ColtStandinOutcome outcome)
{
  json_t *result = json_object ();

  colt_standin_encode_ref (result, ref);
  json_object_set_new (result, "status",
                       json_string (colt_standin_outcome_string[outcome]));
  return result;
}
