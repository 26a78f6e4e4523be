#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fake_fleet.h"
#include "load.h"

#define REQUEST_ID "0101000000000000000000000000000a"
/* Address at which no server listens. */
#define CLOSED_ADDRESS "127.0.0.1:1"

static const char body_text[]
    = "[organisation o]\ntitle = O\n"
      "[team t]\norganisation = o\nweight = 3\nlimit_tasks = %d\n"
      "[queue q]\nteam = t\nopen = yes\nmax_waiting = 5\n"
      "[work interactive]\npolicy = fastest\npriority = 7\nmax_attempts = 3\n"
      "[work service]\npolicy = spread\npriority = 5\nmax_attempts = 5\n"
      "[work batch]\npolicy = pack\npriority = 1\nmax_attempts = 3\n"
      "[work gang]\npolicy = pack\npriority = 2\nmax_attempts = 2\n"
      "[zone 1]\nregion = r\n";

/* A fake fleet, an operator's key file, and a directory for files. */
struct ColtCtlFixture
{
  struct ColtFakeFleet *fleet;
  const char *address;
  struct ColtOperatorPair pair;
  char *directory;
  char *operator_file;
  GPtrArray *files;
  struct ColtHash parent; /* of the next bundle to be written */
};

/* Returns a path in the directory, which the fixture owns and unlinks. */
static char *
make_path (struct ColtCtlFixture *fixture, const char *name)
{
  char *path = g_build_filename (fixture->directory, name, NULL);

  g_ptr_array_add (fixture->files, path);
  return path;
}

/* Runs the command called NAME with the arguments up to NULL. */
static enum ColtCtlExit
run_command (const struct ColtCtlCommand *commands, const char *name, ...)
{
  GPtrArray *words = g_ptr_array_new ();
  enum ColtCtlExit exit_code;
  const char *word;
  va_list list;

  g_ptr_array_add (words, (char *)name);
  va_start (list, name);
  while ((word = va_arg (list, const char *)) != NULL)
    g_ptr_array_add (words, (char *)word);
  va_end (list);
  while (strcmp (commands->name, name) != 0)
    commands++;
  exit_code = commands->run ((int)words->len, (char **)words->pdata);
  g_ptr_array_unref (words);
  return exit_code;
}

static void
set_up (struct ColtCtlFixture *fixture, gconstpointer data)
{
  uint8_t seed[32];

  (void)data;
  colt_ctl_fill_random ("operator", seed);
  colt_operator_pair_make (&fixture->pair, seed);
  fixture->fleet = colt_fake_fleet_create (&fixture->pair.key);
  fixture->address = colt_fake_fleet_address (fixture->fleet);
  fixture->files = g_ptr_array_new_with_free_func (g_free);
  fixture->directory = g_dir_make_tmp ("colt-XXXXXX", NULL);
  fixture->operator_file = make_path (fixture, "operator");
  g_assert_cmpint (run_command (colt_ctl_keygen_commands, "operator", "--out",
                                fixture->operator_file, "--seed", "operator",
                                NULL),
                   ==, COLT_CTL_OK);
}

static void
tear_down (struct ColtCtlFixture *fixture, gconstpointer data)
{
  guint i;

  (void)data;
  colt_fake_fleet_destroy (fixture->fleet);
  for (i = 0; i < fixture->files->len; i++)
    g_unlink (fixture->files->pdata[i]);
  g_rmdir (fixture->directory);
  g_ptr_array_unref (fixture->files);
  g_free (fixture->directory);
}

/* Writes a bundle with LIMIT as the limit of tasks of its team. Its parent is
   that of the fixture, or none for version 1. */
static const char *
write_bundle (struct ColtCtlFixture *fixture,
              const char *name,
              int version,
              int limit)
{
  const char *path = make_path (fixture, name);
  char *body = g_strdup_printf (body_text, limit);
  char key[COLT_HASH_TEXT_SIZE];
  char parent[COLT_HASH_TEXT_SIZE];
  char *text = g_strdup_printf (
      "[bundle]\nversion = %d\nparent = %s\noperator = %s\n%s", version,
      version == 1 ? "none" : colt_hash_format (&fixture->parent, parent),
      colt_operator_key_format (&fixture->pair.key, key), body);

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  g_free (body);
  return path;
}

/* Makes the bundle in PATH the parent of the next one. */
static void
set_parent (struct ColtCtlFixture *fixture, const char *path)
{
  struct ColtBundle *bundle = colt_ctl_read_bundle (path, false);

  fixture->parent = *colt_bundle_hash (bundle);
  colt_bundle_destroy (bundle);
}

static enum ColtCtlExit
roll (struct ColtCtlFixture *fixture, const char *path)
{
  return run_command (colt_ctl_roll_commands, "roll", "--log", fixture->address,
                      "--entry", fixture->address, "--key",
                      fixture->operator_file, "--timeout-ms", "5000", path,
                      NULL);
}

static void
test_roll (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *first = write_bundle (fixture, "1", 1, 1);
  const char *second;

  (void)data;
  g_assert_cmpint (roll (fixture, first), ==, COLT_CTL_OK);
  set_parent (fixture, first);
  second = write_bundle (fixture, "2", 2, 2);
  g_assert_cmpint (run_command (colt_ctl_roll_commands, "roll", "--log",
                                fixture->address, "--entry", fixture->address,
                                "--key", fixture->operator_file, "--parent",
                                first, second, NULL),
                   ==, COLT_CTL_OK);
  /* Publishing the version in force again succeeds. */
  g_assert_cmpint (roll (fixture, second), ==, COLT_CTL_OK);
}

static void
test_roll_conflict (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *first = write_bundle (fixture, "1", 1, 1);

  (void)data;
  g_assert_cmpint (roll (fixture, first), ==, COLT_CTL_OK);
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "rival", 1, 7)), ==,
                   COLT_CTL_CONFLICT);
  set_parent (fixture, first);
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "2", 2, 2)), ==,
                   COLT_CTL_OK);
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "2b", 2, 3)), ==,
                   COLT_CTL_CONFLICT);
}

static void
test_roll_refused (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *unsigned_file = write_bundle (fixture, "1", 1, 1);

  (void)data;
  g_assert_cmpint (run_command (colt_ctl_roll_commands, "roll", "--log",
                                fixture->address, "--entry", fixture->address,
                                unsigned_file, NULL),
                   ==, COLT_CTL_USAGE);
  fixture->parent = colt_hash_make ("x", 1);
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "3", 3, 1)), ==,
                   COLT_CTL_REFUSED);
  g_assert_cmpint (roll (fixture, fixture->operator_file), ==, COLT_CTL_USAGE);
}

/* The bundle is appended to the log, but the answer to the append is lost. */
static void
test_roll_lost_answer (struct ColtCtlFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_fake_fleet_drop_append_answers (fixture->fleet, 1);
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "1", 1, 1)), ==,
                   COLT_CTL_OK);
}

static void
test_roll_log_closed (struct ColtCtlFixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpint (run_command (colt_ctl_roll_commands, "roll", "--log",
                                CLOSED_ADDRESS, "--entry", fixture->address,
                                "--key", fixture->operator_file, "--timeout-ms",
                                "300", write_bundle (fixture, "1", 1, 1), NULL),
                   ==, COLT_CTL_UNREACHABLE);
  /* The bundle is published, but one entry instance is unreachable. */
  g_assert_cmpint (run_command (colt_ctl_roll_commands, "roll", "--log",
                                fixture->address, "--entry", fixture->address,
                                "--entry", CLOSED_ADDRESS, "--key",
                                fixture->operator_file, "--timeout-ms", "500",
                                write_bundle (fixture, "1", 1, 1), NULL),
                   ==, COLT_CTL_UNKNOWN);
}

/* Gives the key "web" to a team, or withdraws it. The arguments of "withdraw"
   end with the NULL after --json. */
static enum ColtCtlExit
change_key (struct ColtCtlFixture *fixture, const char *command)
{
  bool give = strcmp (command, "give") == 0;

  return run_command (
      colt_ctl_key_commands, command, "--log", fixture->address, "--entry",
      fixture->address, "--operator", fixture->operator_file, "--name", "web",
      give ? "--secret-file" : "--json",
      give ? make_path (fixture, "secret") : NULL, "--team", "t", NULL);
}

static void
test_keys (struct ColtCtlFixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpint (roll (fixture, write_bundle (fixture, "1", 1, 1)), ==,
                   COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_keygen_commands, "caller", "--out",
                                make_path (fixture, "secret"), "--json", NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (change_key (fixture, "give"), ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_key_commands, "list", "--entry",
                                fixture->address, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (change_key (fixture, "withdraw"), ==, COLT_CTL_OK);
  g_assert_cmpint (change_key (fixture, "give"), ==, COLT_CTL_REFUSED);
  /* A withdrawn key is no longer found by its name. */
  g_assert_cmpint (change_key (fixture, "withdraw"), ==, COLT_CTL_REFUSED);
}

static enum ColtCtlExit
submit (struct ColtCtlFixture *fixture, int status, const char *body)
{
  colt_fake_fleet_set_answer (fixture->fleet, "POST /v1/request-ids", 200,
                              "{\"request_id\":\"" REQUEST_ID "\"}");
  colt_fake_fleet_set_answer (fixture->fleet, "POST /v1/tasks", status, body);
  return run_command (colt_ctl_task_commands, "submit", "--entry",
                      CLOSED_ADDRESS, "--entry", fixture->address, "--queue",
                      "q", "--timeout-ms", "300", NULL);
}

static void
test_submit (struct ColtCtlFixture *fixture, gconstpointer data)
{
  char *id;

  (void)data;
  g_assert_cmpint (submit (fixture, 200, "{\"outcome\":\"done\"}"), ==,
                   COLT_CTL_OK);
  id = colt_fake_fleet_copy_header (fixture->fleet, "Request-Id");
  g_assert_cmpstr (id, ==, REQUEST_ID);
  g_free (id);
  g_assert_cmpint (submit (fixture, 202, "{\"outcome\":\"accepted\"}"), ==,
                   COLT_CTL_OK);
  g_assert_cmpint (submit (fixture, 503, "{\"outcome\":\"not_run\"}"), ==,
                   COLT_CTL_REFUSED);
  g_assert_cmpint (submit (fixture, 200, "{\"outcome\":\"failed\"}"), ==,
                   COLT_CTL_REFUSED);
  g_assert_cmpint (submit (fixture, 504, "{\"outcome\":\"unknown\"}"), ==,
                   COLT_CTL_UNKNOWN);
  g_assert_cmpint (submit (fixture, 200, "no json"), ==, COLT_CTL_UNKNOWN);
  g_assert_cmpint (submit (fixture, 0, ""), ==, COLT_CTL_UNKNOWN);
  g_assert_cmpint (run_command (colt_ctl_task_commands, "submit", "--entry",
                                CLOSED_ADDRESS, "--queue", "q", NULL),
                   ==, COLT_CTL_UNREACHABLE);
}

static void
test_request_commands (struct ColtCtlFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_fake_fleet_set_answer (fixture->fleet, "GET /v1/requests/" REQUEST_ID,
                              200, "{\"outcome\":\"done\"}");
  colt_fake_fleet_set_answer (fixture->fleet, "DELETE /v1/requests/" REQUEST_ID,
                              200, "{\"outcome\":\"cancelled\"}");
  g_assert_cmpint (run_command (colt_ctl_task_commands, "status", "--entry",
                                fixture->address, REQUEST_ID, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_task_commands, "watch", "--entry",
                                fixture->address, REQUEST_ID, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_task_commands, "cancel", "--entry",
                                fixture->address, REQUEST_ID, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_task_commands, "status", "--entry",
                                fixture->address, "xyz", NULL),
                   ==, COLT_CTL_USAGE);
  g_assert_cmpint (run_command (colt_ctl_task_commands, "status", "--entry",
                                fixture->address,
                                "0101000000000000000000000000000b", NULL),
                   ==, COLT_CTL_REFUSED);
  colt_fake_fleet_set_answer (fixture->fleet, "GET /v1/requests/" REQUEST_ID,
                              200, "{\"outcome\":\"pending\"}");
  g_assert_cmpint (run_command (colt_ctl_task_commands, "watch", "--entry",
                                fixture->address, "--seconds", "1", REQUEST_ID,
                                NULL),
                   ==, COLT_CTL_UNKNOWN);
  g_assert_cmpint (colt_fake_fleet_count_calls (fixture->fleet,
                                                "GET /v1/requests/" REQUEST_ID),
                   >, 1);
}

static void
test_state_commands (struct ColtCtlFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_fake_fleet_set_answer (fixture->fleet, "GET /v1/state", 200,
                              "{\"a\":1}");
  colt_fake_fleet_set_answer (fixture->fleet, "GET /metrics", 200,
                              "# X\na 5\n");
  g_assert_cmpint (run_command (colt_ctl_state_commands, "dump", "--entry",
                                fixture->address, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_state_commands, "counters", "--json",
                                "--entry", fixture->address, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_state_commands, "dump", "--entry",
                                fixture->address, "nothing", NULL),
                   ==, COLT_CTL_REFUSED);
  g_assert_cmpint (run_command (colt_ctl_state_commands, "counters", "--entry",
                                CLOSED_ADDRESS, NULL),
                   ==, COLT_CTL_UNREACHABLE);
}

/* Guards against an instance that doesn't lead and passes for a cell without
 * evacuated zones. */
static void
test_evacuations (struct ColtCtlFixture *fixture, gconstpointer data)
{
  static const struct
  {
    const char *state;
    enum ColtCtlExit exit_code;
  } answers[]
      = { { "{\"settled\":true,\"evacuated_zones\":[{\"zone\":\"east\","
            "\"since_ms\":1500,\"servers\":2,\"runs\":0}]}",
            COLT_CTL_OK },
          { "{\"settled\":true,\"evacuated_zones\":[]}", COLT_CTL_OK },
          { "{\"evacuated_zones\":[5,{\"zone\":7}]}", COLT_CTL_OK },
          { "{\"lead\":\"127.0.0.1:1\",\"loading\":false}", COLT_CTL_REFUSED },
          { "nonsense", COLT_CTL_REFUSED } };
  size_t i;

  (void)data;
  for (i = 0; i < 2 * G_N_ELEMENTS (answers); i++)
    {
      colt_fake_fleet_set_answer (fixture->fleet, "GET /state", 200,
                                  answers[i / 2].state);
      g_assert_cmpint (run_command (colt_ctl_state_commands, "evacuations",
                                    "--entry", fixture->address,
                                    i % 2 == 0 ? "--json" : NULL, NULL),
                       ==, answers[i / 2].exit_code);
    }
}

static void
test_load (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *plan = make_path (fixture, "plan");
  const char *record = make_path (fixture, "record");
  char *text;
  char **lines;
  guint i;

  (void)data;
  g_assert_true (g_file_set_contents (
      plan,
      "[class a]\nqueue = q\nteam = t\nshare = 3\ntrue_run_ms_min = 5\n"
      "[class b]\nqueue = q\nidempotent = no\ntasks = 2\n",
      -1, NULL));
  colt_fake_fleet_set_answer (fixture->fleet, "POST /v1/request-ids", 200,
                              "{\"request_id\":\"" REQUEST_ID "\"}");
  colt_fake_fleet_set_answer (
      fixture->fleet, "POST /v1/tasks", 200,
      "{\"outcome\":\"done\",\"request_id\":\"" REQUEST_ID "\","
      "\"tasks\":[{\"index\":0,\"result\":\"YWJj\"}]}");
  g_assert_cmpint (run_command (colt_ctl_load_commands, "load", "--entry",
                                CLOSED_ADDRESS, "--entry", fixture->address,
                                "--plan", plan, "--record", record, "--rate",
                                "40", "--seconds", "1", NULL),
                   ==, COLT_CTL_OK);
  g_assert_true (g_file_get_contents (record, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), >, 10);
  for (i = 0; i + 1 < g_strv_length (lines); i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);

      g_assert_cmpstr (json_string_value (json_object_get (line, "outcome")),
                       ==, "done");
      /* XXH3 of "abc", which is YWJj in base64. */
      g_assert_cmpstr (json_string_value (json_array_get (
                           json_object_get (line, "answers"), 0)),
                       ==, "78af5f94892f3950");
      g_assert_cmpstr (json_string_value (json_object_get (line, "request_id")),
                       ==, REQUEST_ID);
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
}

/* A refusal ends a request, unless it is one of those that are sent again. */
static void
test_load_repeats_refused_calls (struct ColtCtlFixture *fixture,
                                 gconstpointer data)
{
  const char *plan = make_path (fixture, "plan");
  const char *record = make_path (fixture, "record");
  const char *permille[] = { "0", "1000" };
  const int calls[] = { 1, 10 };
  guint i;

  (void)data;
  g_assert_true (
      g_file_set_contents (plan, "[class a]\nqueue = q\nteam = t\n", -1, NULL));
  colt_fake_fleet_set_answer (
      fixture->fleet, "POST /v1/tasks", 503,
      "{\"outcome\":\"unknown\",\"reason\":\"stopping\"}");
  for (i = 0; i < G_N_ELEMENTS (permille); i++)
    {
      json_t *line;
      char *text;

      g_assert_cmpint (run_command (colt_ctl_load_commands, "load", "--entry",
                                    fixture->address, "--plan", plan,
                                    "--record", record, "--rate", "5",
                                    "--seconds", "1", "--retry-permille",
                                    permille[i], NULL),
                       ==, COLT_CTL_OK);
      g_assert_true (g_file_get_contents (record, &text, NULL, NULL));
      line = json_loads (text, JSON_DISABLE_EOF_CHECK, NULL);
      g_assert_cmpstr (json_string_value (json_object_get (line, "outcome")),
                       ==, "unknown");
      g_assert_cmpint (json_integer_value (json_object_get (line, "calls")), ==,
                       calls[i]);
      json_decref (line);
      g_free (text);
    }
}

static void
test_wrong_usage (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *plan = make_path (fixture, "plan");

  (void)data;
  g_assert_true (g_file_set_contents (
      plan, "[class a]\nqueue = q\nshare = x\nspeed = 1\n", -1, NULL));
  g_assert_cmpint (run_command (colt_ctl_load_commands, "load", "--entry",
                                fixture->address, "--plan", plan, NULL),
                   ==, COLT_CTL_USAGE);
  g_assert_cmpint (run_command (colt_ctl_load_commands, "load", "--entry",
                                "localhost:1", "--plan", plan, NULL),
                   ==, COLT_CTL_USAGE);
  g_assert_cmpint (run_command (colt_ctl_load_commands, "load", "--entry",
                                fixture->address, "--plan", plan, "--rate", "0",
                                NULL),
                   ==, COLT_CTL_USAGE);
  g_assert_cmpint (
      run_command (colt_ctl_task_commands, "submit", "--colour", NULL), ==,
      COLT_CTL_USAGE);
  g_assert_cmpint (
      run_command (colt_ctl_task_commands, "submit", "--help", NULL), ==,
      COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_bundle_commands, "check", plan, NULL),
                   ==, COLT_CTL_USAGE);
  /* An existing key file is not overwritten. */
  g_assert_cmpint (run_command (colt_ctl_keygen_commands, "operator", "--out",
                                fixture->operator_file, NULL),
                   ==, COLT_CTL_REFUSED);
}

static void
test_bundle_commands (struct ColtCtlFixture *fixture, gconstpointer data)
{
  const char *first = write_bundle (fixture, "1", 1, 1);
  const char *signed_path = make_path (fixture, "signed");

  (void)data;
  g_assert_cmpint (run_command (colt_ctl_bundle_commands, "sign", "--key",
                                fixture->operator_file, "--out", signed_path,
                                first, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (
      run_command (colt_ctl_bundle_commands, "check", signed_path, NULL), ==,
      COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_bundle_commands, "show", "--json",
                                signed_path, NULL),
                   ==, COLT_CTL_OK);
  g_assert_cmpint (
      run_command (colt_ctl_bundle_commands, "diff", first, signed_path, NULL),
      ==, COLT_CTL_OK);
  g_assert_cmpint (run_command (colt_ctl_roll_commands, "roll", "--log",
                                fixture->address, "--entry", fixture->address,
                                signed_path, NULL),
                   ==, COLT_CTL_OK);
}

#define ADD(name, function)                                                    \
  g_test_add ("/coltsfootstilectl/" name, struct ColtCtlFixture, NULL, set_up, \
              function, tear_down)

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_unsetenv (COLT_CTL_KEY_VARIABLE);
  g_assert_true (colt_sign_init (NULL));
  ADD ("bundle", test_bundle_commands);
  ADD ("roll", test_roll);
  ADD ("roll-conflict", test_roll_conflict);
  ADD ("roll-refused", test_roll_refused);
  ADD ("roll-lost-answer", test_roll_lost_answer);
  ADD ("roll-log-closed", test_roll_log_closed);
  ADD ("keys", test_keys);
  ADD ("submit", test_submit);
  ADD ("requests", test_request_commands);
  ADD ("state", test_state_commands);
  ADD ("evacuations", test_evacuations);
  ADD ("load", test_load);
  ADD ("load-retry", test_load_repeats_refused_calls);
  ADD ("usage", test_wrong_usage);
  return g_test_run ();
}
