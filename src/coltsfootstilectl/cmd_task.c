#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/id.h"
#include "coltsfootstile/task.h"
#include "work.h"

#define DEFAULT_TIMEOUT_MS 60000
#define PATH_SIZE 128

struct ColtSubmitOptions
{
  GPtrArray *entries;
  const char *key_file;
  const char *payload_file;
  const char *payload_text;
  const char *request_id;
  const char *idempotency_key;
  bool async;
  int64_t timeout_ms;
  bool json;
  struct ColtCtlWork work;
};

/* Options of status, cancel and watch. */
struct ColtRequestOptions
{
  const char *entry;
  const char *key_file;
  const char *id;
  int64_t interval_ms;
  int64_t seconds;
  bool json;
};

static enum ColtCtlExit run_submit_ (int argc, char **argv);
static enum ColtCtlExit run_status_ (int argc, char **argv);
static enum ColtCtlExit run_cancel_ (int argc, char **argv);
static enum ColtCtlExit run_watch_ (int argc, char **argv);
static bool parse_request_ (const char *command,
                            const char *summary,
                            bool watch,
                            int argc,
                            char **argv,
                            struct ColtRequestOptions *given,
                            enum ColtCtlExit *exit_code);
static enum ColtCtlExit prepare_and_submit_ (struct ColtSubmitOptions *options);
static enum ColtCtlExit
check_options_ (const struct ColtSubmitOptions *options);
static enum ColtCtlExit submit_with_id_ (struct ColtSubmitOptions *options,
                                         const char *authorization);
static enum ColtCtlExit
mint_request_id_ (const struct ColtSubmitOptions *options,
                  const char *authorization,
                  char id[COLT_ID_TEXT_SIZE]);
static enum ColtCtlExit post_work_ (const struct ColtSubmitOptions *options,
                                    const char *authorization,
                                    const char *id);
static void call_first_reachable_ (const GPtrArray *entries,
                                   const struct ColtHttpRequest *request,
                                   struct ColtCtlAnswer *answer);
static enum ColtCtlExit
report_answer_ (bool json, struct ColtCtlAnswer *answer, const char *id);
static enum ColtCtlExit call_request_ (const struct ColtRequestOptions *options,
                                       enum ColtHttpMethod method,
                                       struct ColtCtlAnswer *answer);
static char *make_authorization_ (const char *key_file,
                                  bool json,
                                  enum ColtCtlExit *exit_code);
static enum ColtCtlExit
watch_request_ (const struct ColtRequestOptions *options);
static void print_progress_ (const struct ColtRequestOptions *options,
                             json_t *state,
                             char **last_text);

const struct ColtCtlCommand colt_ctl_task_commands[]
    = { { "", "submit", "submit a request for work", run_submit_ },
        { "", "status", "print the state of a request", run_status_ },
        { "", "cancel", "cancel a request", run_cancel_ },
        { "", "watch", "follow a request until it ends", run_watch_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_submit_ (int argc, char **argv)
{
  struct ColtSubmitOptions given
      = { .entries = g_ptr_array_new (), .timeout_ms = DEFAULT_TIMEOUT_MS };
  struct ColtCtlWork *work = &given.work;
  const struct ColtCtlOption options[] = {
    { COLT_CTL_ADDRESSES, "entry", "IP:PORT",
      "an entry instance; the next is tried when one can't be reached", true,
      &given.entries },
    { COLT_CTL_TEXT, "queue", "NAME", "name of the queue", true, &work->queue },
    { COLT_CTL_TEXT, "kind", "KIND",
      "interactive, service, batch or gang (interactive)", false, &work->kind },
    { COLT_CTL_TEXT, "key-file", "FILE",
      "file with the caller's key (environment COLT_KEY)", false,
      &given.key_file },
    { COLT_CTL_NUMBER, "cores-milli", "N", "thousandths of a core (1000)",
      false, &work->cores_milli, 0, 10000000 },
    { COLT_CTL_NUMBER, "memory-mb", "N", "memory in mebibytes (256)", false,
      &work->memory_mb, 0, 100000000 },
    { COLT_CTL_NUMBER, "accelerators", "N", "number of accelerators (0)", false,
      &work->accelerators, 0, 1000 },
    { COLT_CTL_NUMBER, "connections", "N", "number of client connections (0)",
      false, &work->connections, 0, 100000 },
    { COLT_CTL_NUMBER, "tasks", "N", "number of tasks (1)", false, &work->tasks,
      1, COLT_TASKS_PER_REQUEST_MAX },
    { COLT_CTL_NUMBER, "run-ms", "N", "expected run time in ms", false,
      &work->run_ms, 1, 1000000000 },
    { COLT_CTL_NUMBER, "deadline-ms", "N", "deadline from now in ms", false,
      &work->deadline_ms, 1, 1000000000 },
    { COLT_CTL_FLAG, "idempotent", NULL, "the work may run more than once",
      false, &work->idempotent },
    { COLT_CTL_FLAG, "urgent", NULL, "start before work that is not urgent",
      false, &work->urgent },
    { COLT_CTL_FLAG, "async", NULL,
      "do not wait until the work ends; implied for a service", false,
      &given.async },
    { COLT_CTL_TEXT, "payload", "TEXT", "payload of the tasks", false,
      &given.payload_text },
    { COLT_CTL_TEXT, "payload-file", "FILE",
      "file with the payload of the tasks", false, &given.payload_file },
    { COLT_CTL_TEXT, "request-id", "ID",
      "id minted before, to repeat a submission", false, &given.request_id },
    { COLT_CTL_TEXT, "idempotency-key", "TEXT",
      "idempotency key chosen by the caller", false, &given.idempotency_key },
    { COLT_CTL_NUMBER, "timeout-ms", "N", "timeout of the answer in ms (60000)",
      false, &given.timeout_ms, 1, 3600000 }
  };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl submit", "submit a request for work", options,
          G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;

  work->kind = "interactive";
  work->cores_milli = 1000;
  work->memory_mb = 256;
  work->tasks = 1;
  if (colt_ctl_parse (&syntax, argc, argv, &given.json, &exit_code))
    exit_code = prepare_and_submit_ (&given);
  g_ptr_array_unref (given.entries);
  return exit_code;
}

static enum ColtCtlExit
run_status_ (int argc, char **argv)
{
  struct ColtRequestOptions given = { 0 };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code;

  if (!parse_request_ ("coltsfootstilectl status",
                       "print the state of a request", false, argc, argv,
                       &given, &exit_code))
    return exit_code;
  exit_code = call_request_ (&given, COLT_HTTP_GET, &answer);
  return exit_code != COLT_CTL_OK
             ? exit_code
             : report_answer_ (given.json, &answer, given.id);
}

static enum ColtCtlExit
run_cancel_ (int argc, char **argv)
{
  struct ColtRequestOptions given = { 0 };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code;

  if (!parse_request_ ("coltsfootstilectl cancel", "cancel a request", false,
                       argc, argv, &given, &exit_code))
    return exit_code;
  exit_code = call_request_ (&given, COLT_HTTP_DELETE, &answer);
  if (exit_code != COLT_CTL_OK)
    return exit_code;
  exit_code = report_answer_ (given.json, &answer, given.id);
  return answer.status >= 200 && answer.status < 300 ? COLT_CTL_OK : exit_code;
}

static enum ColtCtlExit
run_watch_ (int argc, char **argv)
{
  struct ColtRequestOptions given = { .interval_ms = 500, .seconds = 600 };
  enum ColtCtlExit exit_code;

  if (!parse_request_ ("coltsfootstilectl watch",
                       "follow a request until it ends", true, argc, argv,
                       &given, &exit_code))
    return exit_code;
  return watch_request_ (&given);
}

static bool
parse_request_ (const char *command,
                const char *summary,
                bool watch,
                int argc,
                char **argv,
                struct ColtRequestOptions *given,
                enum ColtCtlExit *exit_code)
{
  const struct ColtCtlOption options[]
      = { { COLT_CTL_ADDRESS, "entry", "IP:PORT", "an entry instance", true,
            &given->entry },
          { COLT_CTL_TEXT, "key-file", "FILE",
            "file with the caller's key (environment COLT_KEY)", false,
            &given->key_file },
          { COLT_CTL_TEXT, NULL, "ID", "id of the request", true, &given->id },
          { COLT_CTL_NUMBER, "interval-ms", "N",
            "time between two polls in ms (500)", false, &given->interval_ms,
            20, 60000 },
          { COLT_CTL_NUMBER, "seconds", "N", "time to watch in seconds (600)",
            false, &given->seconds, 1, 86400 } };
  const struct ColtCtlSyntax syntax
      = { command, summary, options, watch ? 5 : 3 };
  struct ColtError error;
  struct ColtId id;

  if (!colt_ctl_parse (&syntax, argc, argv, &given->json, exit_code))
    return false;
  if (colt_id_parse (given->id, &id, &error))
    return true;
  *exit_code = colt_ctl_fail (given->json, COLT_CTL_USAGE, &error);
  return false;
}

static enum ColtCtlExit
prepare_and_submit_ (struct ColtSubmitOptions *options)
{
  char *file = NULL;
  char *authorization = NULL;
  struct ColtError error;
  enum ColtCtlExit exit_code = check_options_ (options);

  if (exit_code != COLT_CTL_OK)
    return exit_code;
  options->work.wait
      = !options->async
        && strcmp (options->work.kind, colt_work_kind_string[COLT_WORK_SERVICE])
               != 0;
  options->work.payload = options->payload_text;
  if (options->payload_text != NULL)
    options->work.payload_size = strlen (options->payload_text);
  if (options->payload_file != NULL)
    {
      file = colt_ctl_read_file (options->payload_file,
                                 &options->work.payload_size, &error);
      options->work.payload = file;
      if (file == NULL)
        exit_code = colt_ctl_fail (options->json, COLT_CTL_USAGE, &error);
    }
  if (exit_code == COLT_CTL_OK)
    authorization
        = make_authorization_ (options->key_file, options->json, &exit_code);
  if (exit_code == COLT_CTL_OK)
    exit_code = submit_with_id_ (options, authorization);
  g_free (authorization);
  g_free (file);
  return exit_code;
}

static enum ColtCtlExit
check_options_ (const struct ColtSubmitOptions *options)
{
  enum ColtWorkKind kind;
  struct ColtId id;

  if (!colt_work_kind_parse (options->work.kind, &kind))
    return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                               "\"%s\" is not a kind of work",
                               options->work.kind);
  if (options->payload_text != NULL && options->payload_file != NULL)
    return colt_ctl_fail_text (
        options->json, COLT_CTL_USAGE,
        "--payload and --payload-file exclude each other");
  if (options->request_id != NULL && options->idempotency_key != NULL)
    return colt_ctl_fail_text (
        options->json, COLT_CTL_USAGE,
        "--request-id and --idempotency-key exclude each other");
  if (options->request_id != NULL
      && !colt_id_parse (options->request_id, &id, NULL))
    return colt_ctl_fail_text (options->json, COLT_CTL_USAGE,
                               "\"%s\" is not a request id",
                               options->request_id);
  return COLT_CTL_OK;
}

static enum ColtCtlExit
submit_with_id_ (struct ColtSubmitOptions *options, const char *authorization)
{
  char id[COLT_ID_TEXT_SIZE] = "";
  enum ColtCtlExit exit_code;

  if (options->request_id != NULL)
    g_strlcpy (id, options->request_id, sizeof id);
  else if (options->idempotency_key == NULL)
    {
      exit_code = mint_request_id_ (options, authorization, id);
      if (exit_code != COLT_CTL_OK)
        return exit_code;
    }
  return post_work_ (options, authorization, id);
}

static enum ColtCtlExit
mint_request_id_ (const struct ColtSubmitOptions *options,
                  const char *authorization,
                  char id[COLT_ID_TEXT_SIZE])
{
  const struct ColtHttpHeader headers[]
      = { { "Authorization", authorization } };
  const struct ColtHttpRequest request
      = { .method = COLT_HTTP_POST,
          .path = "/v1/request-ids",
          .headers = headers,
          .header_count = 1,
          .body = "{}",
          .timeout_ms = COLT_CTL_CALL_TIMEOUT_MS };
  struct ColtCtlAnswer answer;
  enum ColtCtlExit exit_code = COLT_CTL_OK;
  const char *minted;

  call_first_reachable_ (options->entries, &request, &answer);
  minted = json_string_value (json_object_get (answer.json, "request_id"));
  if (answer.result != COLT_HTTP_ANSWERED)
    exit_code
        = colt_ctl_fail (options->json, COLT_CTL_UNREACHABLE, &answer.error);
  else if (minted == NULL || strlen (minted) != COLT_ID_TEXT_SIZE - 1)
    exit_code = colt_ctl_fail_text (
        options->json, COLT_CTL_REFUSED,
        "answered status %d without a request id; nothing was submitted",
        answer.status);
  else
    g_strlcpy (id, minted, COLT_ID_TEXT_SIZE);
  colt_ctl_answer_clear (&answer);
  return exit_code;
}

static enum ColtCtlExit
post_work_ (const struct ColtSubmitOptions *options,
            const char *authorization,
            const char *id)
{
  const struct ColtHttpHeader headers[]
      = { { "Authorization", authorization },
          { "Request-Id", id[0] != '\0' ? id : NULL },
          { "Idempotency-Key", options->idempotency_key } };
  char *body = colt_ctl_encode_work (&options->work);
  const struct ColtHttpRequest request
      = { .method = COLT_HTTP_POST,
          .path = "/v1/tasks",
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .body = body,
          .timeout_ms = (uint32_t)options->timeout_ms };
  struct ColtCtlAnswer answer;

  call_first_reachable_ (options->entries, &request, &answer);
  free (body);
  return report_answer_ (options->json, &answer, id);
}

/* Tries the entry instances in turn until the call has been sent to one. A call
   that may have been received is not repeated at another instance. */
static void
call_first_reachable_ (const GPtrArray *entries,
                       const struct ColtHttpRequest *request,
                       struct ColtCtlAnswer *answer)
{
  guint i;

  colt_ctl_call (g_ptr_array_index (entries, 0), request, answer);
  for (i = 1; i < entries->len && answer->result == COLT_HTTP_NOT_SENT; i++)
    {
      colt_ctl_answer_clear (answer);
      colt_ctl_call (g_ptr_array_index (entries, i), request, answer);
    }
}

/* Prints the answer to a call, clears it and returns its exit code. If the call
   is unanswered, the request id is printed, so that the call can be repeated
   under it. */
static enum ColtCtlExit
report_answer_ (bool json, struct ColtCtlAnswer *answer, const char *id)
{
  const char *outcome
      = json_string_value (json_object_get (answer->json, "outcome"));
  enum ColtCtlExit exit_code;

  if (answer->result != COLT_HTTP_ANSWERED)
    {
      exit_code = colt_ctl_call_exit (answer);
      if (id[0] != '\0')
        fprintf (stderr, "request_id: %s\n", id);
      exit_code = colt_ctl_fail (json, exit_code, &answer->error);
    }
  else if (answer->json == NULL)
    exit_code = colt_ctl_fail_text (json, COLT_CTL_UNKNOWN,
                                    "answered status %d without a JSON object",
                                    answer->status);
  else
    {
      exit_code = outcome == NULL && answer->status / 100 == 4
                      ? COLT_CTL_REFUSED
                      : colt_ctl_outcome_exit (outcome);
      if (answer->retry_after[0] != '\0')
        json_object_set_new (answer->json, "retry_after",
                             json_string (answer->retry_after));
      colt_ctl_print (json, json_incref (answer->json));
    }
  colt_ctl_answer_clear (answer);
  return exit_code;
}

static enum ColtCtlExit
call_request_ (const struct ColtRequestOptions *options,
               enum ColtHttpMethod method,
               struct ColtCtlAnswer *answer)
{
  enum ColtCtlExit exit_code = COLT_CTL_OK;
  char *authorization
      = make_authorization_ (options->key_file, options->json, &exit_code);
  const struct ColtHttpHeader headers[]
      = { { "Authorization", authorization } };
  char path[PATH_SIZE];
  const struct ColtHttpRequest request
      = { .method = method,
          .path = path,
          .headers = headers,
          .header_count = 1,
          .timeout_ms = COLT_CTL_CALL_TIMEOUT_MS };

  g_snprintf (path, sizeof path, "/v1/requests/%s", options->id);
  if (exit_code == COLT_CTL_OK)
    colt_ctl_call (options->entry, &request, answer);
  g_free (authorization);
  return exit_code;
}

static char *
make_authorization_ (const char *key_file,
                     bool json,
                     enum ColtCtlExit *exit_code)
{
  struct ColtError error;
  char *secret = colt_ctl_read_secret (key_file, &error);
  char *header = NULL;

  if (secret != NULL)
    header = g_strconcat ("Bearer ", secret, NULL);
  else if (error.code != COLT_ERROR_NONE)
    *exit_code = colt_ctl_fail (json, COLT_CTL_USAGE, &error);
  g_free (secret);
  return header;
}

static enum ColtCtlExit
watch_request_ (const struct ColtRequestOptions *options)
{
  int64_t end_us
      = colt_clock_monotonic_us () + options->seconds * COLT_US_PER_S;
  char *last_text = NULL;
  enum ColtCtlExit exit_code = COLT_CTL_OK;
  bool ended = false;

  while (!ended && colt_clock_monotonic_us () < end_us)
    {
      struct ColtCtlAnswer answer;
      const char *outcome;

      exit_code = call_request_ (options, COLT_HTTP_GET, &answer);
      if (exit_code != COLT_CTL_OK)
        break;
      outcome = json_string_value (json_object_get (answer.json, "outcome"));
      ended = colt_ctl_outcome_is_final (outcome)
              || (answer.result == COLT_HTTP_ANSWERED && outcome == NULL);
      if (ended)
        {
          exit_code = report_answer_ (options->json, &answer, options->id);
          break;
        }
      print_progress_ (options, answer.json, &last_text);
      colt_ctl_answer_clear (&answer);
      g_usleep ((gulong)(options->interval_ms * COLT_US_PER_MS));
    }
  g_free (last_text);
  if (!ended && exit_code == COLT_CTL_OK)
    return colt_ctl_fail_text (
        options->json, COLT_CTL_UNKNOWN,
        "%s: the request has not ended after %" G_GINT64_FORMAT " s",
        options->id, options->seconds);
  return exit_code;
}

/* Prints the state of a request if it differs from LAST_TEXT, which is then
   replaced. */
static void
print_progress_ (const struct ColtRequestOptions *options,
                 json_t *state,
                 char **last_text)
{
  char *text = state != NULL ? json_dumps (state, JSON_COMPACT)
                             : strdup ("{\"outcome\":\"unreachable\"}");

  if (g_strcmp0 (text, *last_text) != 0)
    {
      const json_t *tasks = json_object_get (state, "tasks");
      const char *outcome
          = json_string_value (json_object_get (state, "outcome"));

      if (options->json)
        puts (text);
      else
        printf ("%s: %s, %zu tasks\n", options->id,
                outcome != NULL ? outcome : "unreachable",
                json_array_size (tasks));
      fflush (stdout);
    }
  g_free (*last_text);
  *last_text = g_strdup (text);
  free (text);
}
