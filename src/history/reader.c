#include "reader.h"

#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/json.h"
#include "lines.h"

struct ColtRecordReader
{
  struct ColtHistory *history;
  uint32_t file; /* text id of the path */
};

/* Events that no check uses. */
static const char *const unused_events[]
    = { "duplicate", "refuse", "lease", "release", "control" };

static bool read_call_ (void *client,
                        const json_t *object,
                        uint32_t line,
                        struct ColtError *error);
static bool read_call_names_ (struct ColtHistory *history,
                              const struct ColtJsonContext *context,
                              const json_t *object,
                              struct ColtHistoryCall *call);
static bool read_call_numbers_ (const struct ColtJsonContext *context,
                                const json_t *object,
                                struct ColtHistoryCall *call);
static bool read_answers_ (struct ColtHistory *history,
                           const struct ColtJsonContext *context,
                           const json_t *object,
                           struct ColtHistoryCall *call);
static bool read_checksum_ (const json_t *value,
                            struct ColtHistoryAnswer *answer);
static bool read_kind_ (const struct ColtJsonContext *context,
                        const json_t *object,
                        enum ColtWorkKind *kind);
static bool read_text_ (struct ColtHistory *history,
                        const struct ColtJsonContext *context,
                        const json_t *object,
                        const char *name,
                        uint32_t *id);
static bool read_event_ (void *client,
                         const json_t *object,
                         uint32_t line,
                         struct ColtError *error);
static bool is_unused_event_ (const json_t *object);
static bool read_server_ (const struct ColtHistory *history,
                          const struct ColtJsonContext *context,
                          const json_t *object,
                          struct ColtHistoryEvent *event);
static bool read_task_ (struct ColtHistory *history,
                        const struct ColtJsonContext *context,
                        const json_t *object,
                        struct ColtHistoryEvent *event);
static bool read_limit_ (const struct ColtJsonContext *context,
                         const json_t *object,
                         struct ColtResources *limit);

bool
colt_history_read_calls (struct ColtHistory *history,
                         const char *path,
                         char **problem)
{
  struct ColtRecordReader reader
      = { history, colt_history_intern (history, path) };

  return colt_lines_read (path, read_call_, &reader, problem);
}

bool
colt_history_read_events (struct ColtHistory *history,
                          const char *path,
                          char **problem)
{
  struct ColtRecordReader reader
      = { history, colt_history_intern (history, path) };

  return colt_lines_read (path, read_event_, &reader, problem);
}

static bool
read_call_ (void *client,
            const json_t *object,
            uint32_t line,
            struct ColtError *error)
{
  struct ColtRecordReader *reader = client;
  const struct ColtJsonContext context = { NULL, error };
  struct ColtHistoryCall call = { .source = { reader->file, line } };
  int outcome;

  if (!read_call_names_ (reader->history, &context, object, &call)
      || !read_call_numbers_ (&context, object, &call)
      || !read_kind_ (&context, object, &call.kind)
      || !colt_json_get_enum (&context, object, "outcome",
                              colt_history_outcome_string,
                              COLT_HISTORY_OUTCOME_COUNT, &outcome)
      || !read_answers_ (reader->history, &context, object, &call))
    return false;
  call.outcome = (enum ColtHistoryOutcome)outcome;
  g_array_append_val (reader->history->calls, call);
  return true;
}

static bool
read_call_names_ (struct ColtHistory *history,
                  const struct ColtJsonContext *context,
                  const json_t *object,
                  struct ColtHistoryCall *call)
{
  return read_text_ (history, context, object, "class", &call->class)
         && read_text_ (history, context, object, "team", &call->team)
         && read_text_ (history, context, object, "request_id", &call->request)
         && read_text_ (history, context, object, "payload", &call->payload)
         && read_text_ (history, context, object, "entry", &call->entry)
         && read_text_ (history, context, object, "reason", &call->reason);
}

static bool
read_call_numbers_ (const struct ColtJsonContext *context,
                    const json_t *object,
                    struct ColtHistoryCall *call)
{
  int64_t tasks;

  if (!colt_json_get_u32 (context, object, "calls", 0, &call->calls)
      || !colt_json_get_integer (context, object, "tasks", 1,
                                 COLT_TASKS_PER_REQUEST_MAX, &tasks)
      || !colt_json_get_integer (context, object, "deadline_ms", 0,
                                 INT64_MAX / 1000000, &call->deadline_ms)
      || !colt_json_get_integer (context, object, "sent_us", 0, INT64_MAX / 2,
                                 &call->sent_us)
      || !colt_json_get_integer (context, object, "accepted_us", 0,
                                 INT64_MAX / 2, &call->accepted_us)
      || !colt_json_get_integer (context, object, "answered_us", 0,
                                 INT64_MAX / 2, &call->answered_us))
    return false;
  call->tasks = (uint32_t)tasks;
  call->idempotent = json_is_true (json_object_get (object, "idempotent"));
  call->urgent = json_is_true (json_object_get (object, "urgent"));
  call->wait = json_is_true (json_object_get (object, "wait"));
  return true;
}

static bool
read_answers_ (struct ColtHistory *history,
               const struct ColtJsonContext *context,
               const json_t *object,
               struct ColtHistoryCall *call)
{
  const json_t *answers = json_object_get (object, "answers");
  size_t i;

  call->first_answer = history->answers->len;
  call->answer_count = (guint)json_array_size (answers);
  for (i = 0; i < json_array_size (answers); i++)
    {
      struct ColtHistoryAnswer answer;

      if (!read_checksum_ (json_array_get (answers, i), &answer))
        return colt_error_set (
            context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
            "answers: a checksum must be empty or 16 hexadecimal digits");
      g_array_append_val (history->answers, answer);
    }
  return true;
}

static bool
read_checksum_ (const json_t *value, struct ColtHistoryAnswer *answer)
{
  const char *text = json_string_value (value);

  if (text == NULL)
    return false;
  answer->present = text[0] != '\0';
  answer->checksum = strtoull (text, NULL, 16);
  return !answer->present || strspn (text, "0123456789abcdef") == 16;
}

static bool
read_kind_ (const struct ColtJsonContext *context,
            const json_t *object,
            enum ColtWorkKind *kind)
{
  int number;

  if (!colt_json_get_enum (context, object, "kind", colt_work_kind_string,
                           COLT_WORK_KIND_COUNT, &number))
    return false;
  *kind = (enum ColtWorkKind)number;
  return true;
}

static bool
read_text_ (struct ColtHistory *history,
            const struct ColtJsonContext *context,
            const json_t *object,
            const char *name,
            uint32_t *id)
{
  const char *text;

  if (!colt_json_get_string (context, object, name, &text))
    return false;
  *id = colt_history_intern (history, text);
  return true;
}

static bool
read_event_ (void *client,
             const json_t *object,
             uint32_t line,
             struct ColtError *error)
{
  struct ColtRecordReader *reader = client;
  struct ColtHistory *history = reader->history;
  const struct ColtJsonContext context = { NULL, error };
  struct ColtHistoryEvent event = { .source = { reader->file, line } };
  int kind;

  if (is_unused_event_ (object))
    return true;
  if (!colt_json_get_enum (&context, object, "event", colt_history_event_string,
                           COLT_HISTORY_EVENT_KIND_COUNT, &kind)
      || !colt_json_get_integer (&context, object, "t_us", 0, INT64_MAX / 2,
                                 &event.t_us))
    return false;
  event.kind = (enum ColtHistoryEventKind)kind;
  if (event.kind != COLT_HISTORY_APPEND
      && !read_server_ (history, &context, object, &event))
    return false;
  if ((event.kind == COLT_HISTORY_START || event.kind == COLT_HISTORY_RESIZE
       || event.kind == COLT_HISTORY_END)
      && !read_task_ (history, &context, object, &event))
    return false;
  g_array_append_val (history->events, event);
  return true;
}

static bool
is_unused_event_ (const json_t *object)
{
  const char *event = json_string_value (json_object_get (object, "event"));
  size_t i;

  for (i = 0; event != NULL && i < G_N_ELEMENTS (unused_events); i++)
    if (strcmp (event, unused_events[i]) == 0)
      return true;
  return false;
}

static bool
read_server_ (const struct ColtHistory *history,
              const struct ColtJsonContext *context,
              const json_t *object,
              struct ColtHistoryEvent *event)
{
  if (!colt_json_get_u32 (context, object, "server", 1, &event->server))
    return false;
  event->leaving = json_is_true (json_object_get (object, "leaving"));
  if (colt_history_find_server (history, event->server) != NULL)
    return true;
  return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                         NULL, "server %u isn't part of the run",
                         event->server);
}

static bool
read_task_ (struct ColtHistory *history,
            const struct ColtJsonContext *context,
            const json_t *object,
            struct ColtHistoryEvent *event)
{
  char request[COLT_ID_TEXT_SIZE];
  struct ColtTaskRef ref;
  const char *task;
  int state = COLT_TASK_RUNNING;

  if (!colt_json_get_string (context, object, "task", &task)
      || !colt_task_parse (task, &ref, context->error)
      || !colt_json_get_u32 (context, object, "attempt", 1, &event->attempt)
      || !read_text_ (history, context, object, "team", &event->team)
      || !read_kind_ (context, object, &event->work)
      || !read_limit_ (context, object, &event->limit))
    return false;
  if (event->kind == COLT_HISTORY_END
      && !colt_json_get_enum (context, object, "state", colt_task_state_string,
                              COLT_TASK_STOPPED + 1, &state))
    return false;
  event->state = (enum ColtTaskState)state;
  event->request
      = colt_history_intern (history, colt_id_format (&ref.request, request));
  event->index = ref.index;
  return true;
}

static bool
read_limit_ (const struct ColtJsonContext *context,
             const json_t *object,
             struct ColtResources *limit)
{
  const json_t *amounts;
  int i;

  if (!colt_json_get_object (context, object, "limit", &amounts))
    return false;
  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (!colt_json_get_integer (context, amounts, colt_resource_string[i], 0,
                                INT64_MAX / 1000000, &limit->amount[i]))
      return false;
  return true;
}
