/* Tests of reading valid and invalid files, and of the report. */
#include <glib/gstdio.h>
#include <string.h>

#include "check.h"
#include "reader.h"
#include "report.h"
#include "test_history.h"

#define ID "01010000000000000000000000000001"

#define SERVERS                                                                \
  "\"servers\":[{\"id\":2,\"zone\":1,\"rack\":1,\"speed\":1.0,\"capacity\":"   \
  "{\"cores_milli\":1000,\"memory_mb\":1024,\"accelerators\":0,\"slots\":8,"   \
  "\"connections\":64}}]"

#define RUN                                                                    \
  "{" SERVERS ",\"teams\":[{\"name\":\"a\",\"weight\":2,\"limit_tasks\":5,"    \
  "\"limit_cores_milli\":null}],\"limits\":[{\"t_us\":9,\"team\":\"a\","       \
  "\"limit_accelerators\":1}],\"keys\":[{\"team\":\"a\",\"withdrawn_us\":7}]," \
  "\"rolls\":[{\"t_us\":1000,\"version\":2,\"in_force_us\":{\"1\":4000}}],"    \
  "\"leaving\":[{\"server\":2,\"t_us\":90000000}],"                            \
  "\"killed\":[{\"server\":2,\"from_us\":80000000,\"to_us\":80000001}],"       \
  "\"cuts\":[{\"zone\":1,\"from_us\":1}]}"

#define TASK                                                                   \
  "\"server\":2,\"zone\":1,\"owner\":1,\"epoch\":1,\"leaving\":false,"         \
  "\"task\":\"" ID "-0\",\"attempt\":1,\"team\":\"a\",\"kind\":\"batch\","     \
  "\"shard\":3,\"shard_epoch\":1,\"limit\":{\"cores_milli\":1500,"             \
  "\"memory_mb\":1,\"accelerators\":0,\"slots\":1,\"connections\":0}"

#define START "{\"event\":\"start\"," TASK ",\"t_us\":2000}\n"
#define END                                                                    \
  "{\"event\":\"end\"," TASK ",\"state\":\"finished\",\"exit\":0,"             \
  "\"run_ms\":1,\"t_us\":3000}\n"
#define OTHERS                                                                 \
  "{\"event\":\"lease\",\"server\":2,\"t_us\":1}\n\n"                          \
  "{\"event\":\"control\",\"change\":{},\"t_us\":1}\n"                         \
  "{\"event\":\"append\",\"offset\":0,\"body\":\"\",\"t_us\":1}\n"

#define CALL                                                                   \
  "{\"seq\":0,\"class\":\"q\",\"team\":\"a\",\"queue\":\"q\","                 \
  "\"kind\":\"batch\",\"request_id\":\"" ID "\",\"idempotency_key\":\"k\","    \
  "\"idempotent\":true,\"urgent\":false,\"wait\":true,\"tasks\":1,"            \
  "\"deadline_ms\":0,\"payload\":\"seed=1\",\"due_us\":1,\"sent_us\":1,"       \
  "\"accepted_us\":0,\"answered_us\":4000,\"entry\":\"127.1.0.1:80\","         \
  "\"calls\":1,\"status\":200,\"outcome\":\"failed\",\"reason\":\"\","         \
  "\"answers\":[\"00ff00ff00ff00ff\",\"\"]}\n"

typedef bool (*ColtTestReader) (struct ColtHistory *history,
                                const char *path,
                                char **problem);

/* Reads TEXT from a temporary file. */
static bool
read_text_ (struct ColtHistory *history,
            ColtTestReader reader,
            const char *text,
            char **problem)
{
  char *path = NULL;
  int file = g_file_open_tmp ("test-history-XXXXXX", &path, NULL);
  bool good;

  g_assert_cmpint (file, >=, 0);
  g_close (file, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  good = reader (history, path, problem);
  g_remove (path);
  g_free (path);
  return good;
}

static void
read_good_ (struct ColtHistory *history,
            ColtTestReader reader,
            const char *text)
{
  char *problem = NULL;

  if (!read_text_ (history, reader, text, &problem))
    g_error ("%s", problem);
  g_assert_null (problem);
}

static void
read_bad_ (ColtTestReader reader, const char *text, const char *reason)
{
  struct ColtHistory *history = colt_history_create ();
  char *problem = NULL;

  if (reader != colt_history_read_run)
    read_good_ (history, colt_history_read_run, RUN);
  g_assert_false (read_text_ (history, reader, text, &problem));
  if (strstr (problem, reason) == NULL)
    g_error ("\"%s\" doesn't contain \"%s\"", problem, reason);
  g_free (problem);
  colt_history_destroy (history);
}

static struct ColtHistory *
read_all_ (void)
{
  struct ColtHistory *history = colt_history_create ();

  read_good_ (history, colt_history_read_run, RUN);
  read_good_ (history, colt_history_read_calls, CALL);
  read_good_ (history, colt_history_read_events, START OTHERS END);
  return history;
}

static void
test_run_ (void)
{
  struct ColtHistory *history = read_all_ ();
  const struct ColtHistoryRun *run = &history->run;
  const struct ColtHistoryLimit *limits
      = (const struct ColtHistoryLimit *)run->limits->data;

  g_assert_cmpuint (run->limits->len, ==, 2);
  g_assert_cmpint (limits[0].tasks, ==, 5);
  g_assert_cmpint (limits[0].cores_milli, ==, COLT_HISTORY_UNLIMITED);
  g_assert_cmpint (limits[1].t_us, ==, 9);
  g_assert_cmpint (limits[1].tasks, ==, 5);
  g_assert_cmpint (limits[1].accelerators, ==, 1);
  g_assert_cmpuint (run->killed->len, ==, 1);
  g_assert_cmpint (g_array_index (run->cuts, struct ColtHistoryPeriod, 0).to_us,
                   ==, COLT_TIME_NEVER);
  g_assert_nonnull (colt_history_find_server (history, 2));
  g_assert_null (colt_history_find_server (history, 1));
  colt_history_destroy (history);
}

static void
test_records_ (void)
{
  struct ColtHistory *history = read_all_ ();
  const struct ColtHistoryCall *call
      = &g_array_index (history->calls, struct ColtHistoryCall, 0);
  const struct ColtHistoryAnswer *answers
      = (const struct ColtHistoryAnswer *)history->answers->data;
  const struct ColtHistoryEvent *events
      = (const struct ColtHistoryEvent *)history->events->data;

  g_assert_cmpint (call->outcome, ==, COLT_HISTORY_FAILED);
  g_assert_cmpint (call->kind, ==, COLT_WORK_BATCH);
  g_assert_cmpstr (colt_history_text (history, call->request), ==, ID);
  g_assert_cmpuint (call->answer_count, ==, 2);
  g_assert_cmpuint (answers[0].checksum, ==, UINT64_C (0x00ff00ff00ff00ff));
  g_assert_false (answers[1].present);
  g_assert_cmpuint (history->events->len, ==, 3);
  g_assert_cmpint (events[1].kind, ==, COLT_HISTORY_APPEND);
  g_assert_cmpint (events[2].state, ==, COLT_TASK_FINISHED);
  g_assert_cmpuint (events[2].source.line, ==, 6);
  g_assert_cmpuint (events[2].request, ==, call->request);
  colt_history_destroy (history);
}

static void
test_report_ (void)
{
  struct ColtHistory *history = read_all_ ();
  struct ColtHistorySpans *spans = colt_history_spans_create (history);
  struct ColtHistoryVerdict *verdict = colt_history_check (history, spans);
  struct ColtHistoryMeasures measures;
  const json_t *listed;
  json_t *report;

  colt_history_measure (history, spans, &measures);
  report = colt_history_report (history, verdict, &measures);
  g_assert_true (json_is_false (json_object_get (report, "good")));
  g_assert_cmpint (
      json_integer_value (json_object_get (report, "overcommitted")), ==, 1);
  g_assert_cmpint (json_integer_value (json_object_get (report, "doubled")), ==,
                   0);
  g_assert_cmpfloat (
      json_real_value (json_object_get (report, "bundle_force_ms")), ==, 3);
  listed = json_array_get (
      json_object_get (json_object_get (report, "violations"), "overcommitted"),
      0);
  g_assert_cmpint (json_integer_value (json_object_get (listed, "server")), ==,
                   2);
  g_assert_true (g_str_has_suffix (json_string_value (json_array_get (
                                       json_object_get (listed, "records"), 0)),
                                   ":1"));
  json_decref (report);
  colt_history_verdict_destroy (verdict);
  colt_history_spans_destroy (spans);
  colt_history_destroy (history);
}

static void
test_bad_run_ (void)
{
  read_bad_ (colt_history_read_run, "{", ":1: ");
  read_bad_ (colt_history_read_run, "[]", "must be an object");
  read_bad_ (colt_history_read_run, "{" SERVERS "}", "teams");
  read_bad_ (colt_history_read_run, "{\"servers\":[{\"id\":0}]}",
             "servers[0]: \"id\"");
  read_bad_ (colt_history_read_run,
             "{" SERVERS ",\"teams\":[],\"leaving\":[{\"server\":9,"
             "\"t_us\":1}]}",
             "server 9 isn't part of the run");
  read_bad_ (colt_history_read_run,
             "{" SERVERS ",\"teams\":[],\"limits\":[{\"team\":\"z\","
             "\"t_us\":1}]}",
             "team z");
  read_bad_ (colt_history_read_run,
             "{" SERVERS ",\"teams\":[],\"keys\":[{\"team\":\"z\"}]}",
             "withdrawn_us");
}

static void
test_bad_records_ (void)
{
  read_bad_ (colt_history_read_events, START "{\"event\":\"sta", ":2: ");
  read_bad_ (colt_history_read_events,
             START "{\"event\":\"born\",\"t_us\":1}\n", ":2: ");
  read_bad_ (colt_history_read_events,
             "\n{\"event\":\"down\",\"server\":3,\"t_us\":1}\n",
             ":2: server 3 isn't part of the run");
  read_bad_ (colt_history_read_events,
             "{\"event\":\"start\",\"server\":2,\"task\":\"x\",\"t_us\":1}",
             ":1: ");
  read_bad_ (colt_history_read_events, "{\"event\":\"append\"}", "t_us");
  read_bad_ (colt_history_read_calls, CALL CALL "7\n", ":3: ");
  read_bad_ (colt_history_read_calls, "{\"class\":\"q\"}", "team");
}

static void
test_no_file_ (void)
{
  struct ColtHistory *history = colt_history_create ();
  char *problem = NULL;

  g_assert_false (
      colt_history_read_calls (history, "/nowhere/calls.jsonl", &problem));
  g_assert_true (g_str_has_prefix (problem, "/nowhere/calls.jsonl:0: "));
  g_free (problem);
  colt_history_destroy (history);
}

void
test_reader_add (void)
{
  g_test_add_func ("/history/reader/run", test_run_);
  g_test_add_func ("/history/reader/records", test_records_);
  g_test_add_func ("/history/reader/report", test_report_);
  g_test_add_func ("/history/reader/bad-run", test_bad_run_);
  g_test_add_func ("/history/reader/bad-records", test_bad_records_);
  g_test_add_func ("/history/reader/no-file", test_no_file_);
}
