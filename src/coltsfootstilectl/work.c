#include "work.h"

#include <string.h>

#include "coltsfootstile/json.h"

char *
colt_ctl_encode_work (const struct ColtCtlWork *work)
{
  json_t *body = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b,s:b,s:b,s:o}", "queue", work->queue,
      "kind", work->kind, "cores_milli", (json_int_t)work->cores_milli,
      "memory_mb", (json_int_t)work->memory_mb, "accelerators",
      (json_int_t)work->accelerators, "connections",
      (json_int_t)work->connections, "tasks", (json_int_t)work->tasks,
      "idempotent", work->idempotent, "urgent", work->urgent, "wait",
      work->wait, "payload",
      colt_json_encode_bytes (work->payload, work->payload_size));
  char *text;

  if (work->deadline_ms > 0)
    json_object_set_new (body, "deadline_ms", json_integer (work->deadline_ms));
  if (work->run_ms > 0)
    json_object_set_new (body, "run_ms", json_integer (work->run_ms));
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

enum ColtCtlExit
colt_ctl_outcome_exit (const char *outcome)
{
  static const char *const successful[] = { "done", "accepted", "pending" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (successful); i++)
    if (g_strcmp0 (outcome, successful[i]) == 0)
      return COLT_CTL_OK;
  return outcome == NULL || strcmp (outcome, "unknown") == 0 ? COLT_CTL_UNKNOWN
                                                             : COLT_CTL_REFUSED;
}

bool
colt_ctl_outcome_is_final (const char *outcome)
{
  return outcome != NULL && strcmp (outcome, "accepted") != 0
         && strcmp (outcome, "pending") != 0;
}
