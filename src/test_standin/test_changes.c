#include <glib.h>

#include "server_changes.h"
#include "tests.h"

#define TASK "\"task\":\"01010000000000000000000000000001-0\",\"attempt\":1"
#define START                                                                  \
  TASK ",\"shard\":1,\"shard_epoch\":1,\"team\":\"t\",\"lease_ms\":5000"

/* Applies changes to a leased server and returns their results. */
static json_t *
apply_changes (const char *text)
{
  const struct ColtStandinServerSpec spec
      = { 1, 1, 1, { { 4000, 1000, 0, 2, 64 } }, 1.0, 1000000 };
  struct ColtStandinServer *server
      = colt_standin_server_create (&spec, 0, NULL, NULL);
  json_t *changes = json_loads (text, 0, NULL);
  json_t *answer;

  g_assert_nonnull (changes);
  colt_standin_server_acquire_lease (server, 1000, 1, 1, 2000000);
  answer = colt_standin_apply_changes (server, changes, 1000, 2000);
  colt_standin_server_advance (server, 2000);
  json_decref (changes);
  colt_standin_server_destroy (server);
  return answer;
}

static void
assert_first_status (const char *text, const char *part, const char *status)
{
  json_t *answer = apply_changes (text);
  const json_t *first = json_array_get (json_object_get (answer, part), 0);

  g_assert_cmpstr (json_string_value (json_object_get (first, "status")), ==,
                   status);
  json_decref (answer);
}

static void
test_complete_start_is_accepted (void)
{
  assert_first_status ("{\"starts\":[{" START ",\"kind\":\"batch\"}]}",
                       "results", "started");
}

static void
test_malformed_starts_are_refused (void)
{
  static const char *const starts[] = {
    "{}",
    "5",
    "{" START "}",
    "{" START ",\"kind\":\"other\"}",
    "{" START ",\"kind\":\"batch\",\"shard\":64}",
    "{" START ",\"kind\":\"batch\",\"shard\":-1}",
    "{" START ",\"kind\":\"batch\",\"attempt\":0}",
    "{" START ",\"kind\":\"batch\",\"attempt\":99999999}",
    "{" START ",\"kind\":\"batch\",\"task\":\"1-0\"}",
    "{" START ",\"kind\":\"batch\",\"team\":null}",
    "{" START ",\"kind\":\"batch\",\"lease_ms\":-9223372036854775807}",
  };
  char *text;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      text = g_strdup_printf ("{\"starts\":[%s]}", starts[i]);
      assert_first_status (text, "results", "refused");
      g_free (text);
    }
}

static void
test_numbers_out_of_range_are_clamped (void)
{
  /* The payload sets run_ms, done_ms and memory_mb to INT64_MAX. */
  assert_first_status (
      "{\"starts\":[{" START ",\"kind\":\"batch\",\"limit\":"
      "{\"cores_milli\":9223372036854775807,\"memory_mb\":-4},"
      "\"lease_ms\":9223372036854775807,\"payload\":"
      "\"cnVuX21zPTkyMjMzNzIwMzY4NTQ3NzU4MDc7ZG9uZV9tcz05MjIzMzcyMDM2"
      "ODU0Nzc1ODA3O21lbW9yeV9tYj05MjIzMzcyMDM2ODU0Nzc1ODA3\"}],"
      "\"stops\":{},\"resizes\":7}",
      "results", "started");
}

static void
test_stops_and_resizes_precede_starts (void)
{
  json_t *answer
      = apply_changes ("{\"starts\":[{" START ",\"kind\":\"batch\"}],"
                       "\"stops\":[{" TASK "}],\"resizes\":[{" TASK "}]}");

  g_assert_cmpstr (
      json_string_value (json_object_get (
          json_array_get (json_object_get (answer, "stops"), 0), "status")),
      ==, "unknown");
  g_assert_cmpstr (
      json_string_value (json_object_get (
          json_array_get (json_object_get (answer, "resizes"), 0), "status")),
      ==, "unknown");
  json_decref (answer);
}

void
add_changes_tests (void)
{
  g_test_add_func ("/changes/whole", test_complete_start_is_accepted);
  g_test_add_func ("/changes/malformed", test_malformed_starts_are_refused);
  g_test_add_func ("/changes/range", test_numbers_out_of_range_are_clamped);
  g_test_add_func ("/changes/order", test_stops_and_resizes_precede_starts);
}
