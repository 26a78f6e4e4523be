#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "coltsfootstile/clock.h"
#include "task_run.h"
#include "tests.h"

#define TASK "01010000000000000000000000000001-0"

static const struct ColtResources limit = { { 1000, 100, 0, 1, 1 } };

static struct ColtStandinRun
begin_run (const char *text, double speed)
{
  struct ColtStandinPayload payload;
  struct ColtStandinRun run;

  colt_standin_payload_parse ((const uint8_t *)text, strlen (text), &payload);
  colt_standin_run_begin (&run, &payload, &limit, speed, 0);
  return run;
}

static void
test_answer_is_a_function_of_task_and_payload (void)
{
  const char *payload = "run_ms=5;bytes=10;seed=42";
  const uint8_t *bytes = (const uint8_t *)payload;
  size_t size;
  size_t again_size;
  uint8_t *answer
      = colt_standin_build_answer (TASK, bytes, strlen (payload), &size);
  uint8_t *again
      = colt_standin_build_answer (TASK, bytes, strlen (payload), &again_size);
  uint8_t *other
      = colt_standin_build_answer ("x", bytes, strlen (payload), &size);

  size = colt_standin_answer_size (TASK, bytes, strlen (payload));
  g_assert_cmpmem (answer, size, again, again_size);
  g_assert_cmpint (strncmp ((char *)answer, "answer " TASK " seed 42 ",
                            sizeof "answer " TASK " seed 42 " - 1),
                   ==, 0);
  g_assert_cmpint (answer[size - 1], ==, '\n');
  g_assert_cmpint (
      memcmp (answer + size - 18, other + strlen ((char *)other) - 18, 17), !=,
      0);
  free (answer);
  free (again);
  free (other);
}

static void
test_unknown_payload_fields_are_ignored (void)
{
  struct ColtStandinPayload payload;
  const char *text = ";fail=1;colour=red;=;bytes=-4;memory_mb=7;forever";

  colt_standin_payload_parse ((const uint8_t *)text, strlen (text), &payload);
  g_assert_true (payload.fail);
  g_assert_false (payload.forever);
  g_assert_cmpint (payload.bytes, ==, 0);
  g_assert_cmpint (payload.memory_mb, ==, 7);
  g_assert_cmpint (payload.cores_milli, ==, -1);
}

static void
test_speed_divides_the_run_time (void)
{
  struct ColtStandinRun run = begin_run ("run_ms=100", 2);
  int status;

  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 50000);
  g_assert_cmpint (status, ==, 0);
  colt_standin_run_set_speed (&run, 0.5, 25000);
  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 125000);
}

static void
test_cores_over_the_limit_are_throttled (void)
{
  struct ColtStandinRun run = begin_run ("run_ms=100;cores_milli=4000", 1);
  const struct ColtResources larger = { { 2000, 100, 0, 1, 1 } };
  struct ColtResources usage;
  int status;

  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 400000);
  colt_standin_run_usage (&run, 1000, &usage);
  g_assert_cmpint (usage.amount[COLT_RESOURCE_CORES], ==, 1000);
  colt_standin_run_set_limit (&run, &larger, 200000);
  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 300000);
}

static void
test_memory_over_the_limit_ends_the_task (void)
{
  struct ColtStandinRun run = begin_run ("run_ms=1000;memory_mb=125", 1);
  const struct ColtResources larger = { { 1000, 125, 0, 1, 1 } };
  int64_t end_us;
  int status;

  end_us = colt_standin_run_end_us (&run, &status);
  g_assert_cmpint (status, ==, COLT_STANDIN_EXIT_MEMORY);
  g_assert_cmpint (end_us, >, 0);
  g_assert_cmpint (end_us, <, 500001);
  colt_standin_run_set_limit (&run, &larger, 100000);
  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 1000000);
  g_assert_cmpint (status, ==, 0);
}

static void
test_run_resumes_from_checkpoint (void)
{
  struct ColtStandinRun run = begin_run ("run_ms=100;done_ms=60", 1);
  int status;

  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==, 40000);
  g_assert_cmpint (colt_standin_run_done_ms (&run, 10000), ==, 70);
}

static void
test_service_runs_until_it_is_stopped (void)
{
  struct ColtStandinRun run = begin_run ("forever=1;run_ms=3", 1);
  int status;

  g_assert_cmpint (colt_standin_run_end_us (&run, &status), ==,
                   COLT_TIME_NEVER);
}

void
add_task_tests (void)
{
  g_test_add_func ("/answer/function",
                   test_answer_is_a_function_of_task_and_payload);
  g_test_add_func ("/answer/payload", test_unknown_payload_fields_are_ignored);
  g_test_add_func ("/run/speed", test_speed_divides_the_run_time);
  g_test_add_func ("/run/throttle", test_cores_over_the_limit_are_throttled);
  g_test_add_func ("/run/memory", test_memory_over_the_limit_ends_the_task);
  g_test_add_func ("/run/checkpoint", test_run_resumes_from_checkpoint);
  g_test_add_func ("/run/service", test_service_runs_until_it_is_stopped);
}
