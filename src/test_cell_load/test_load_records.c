/* The records of jobs: their sizes, and what a later leader loads from them. */
#include <string.h>

#include "fixture.h"

/* Largest value of a record. */
#define RECORD_MAX 4096
/* Tasks of a wide job. */
#define TASKS 300
#define JOB "0000000000000001"

static struct ColtLoadFixture *
create_fixture (uint32_t servers)
{
  struct ColtLoadFixture *fixture = colt_fixture_create_limited (RECORD_MAX);
  uint32_t i;

  for (i = 0; i < servers; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "server-%u", i);
      colt_fixture_add_server (fixture, id, 400000);
    }
  return fixture;
}

static void
check_sizes (const struct ColtLoadFixture *fixture)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, fixture->records);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_assert_cmpuint (g_bytes_get_size (value), <=, RECORD_MAX);
}

static guint
count_records (const struct ColtLoadFixture *fixture, char kind)
{
  guint count = 0;
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, fixture->records);
  while (g_hash_table_iter_next (&i, &key, NULL))
    count += *(const char *)key == kind;
  return count;
}

/* Starts all tasks of a wide job, and ends those with even numbers as done. */
static struct ColtLoadFixture *
run_wide_job (void)
{
  struct ColtLoadFixture *fixture = create_fixture (1);
  guint i;

  colt_fixture_submit (fixture, "tight", "steady", TASKS, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, TASKS);
  for (i = 0; i < TASKS; i++)
    colt_fixture_accept_start (fixture, i);
  for (i = 0; i < TASKS; i += 2)
    colt_fixture_report_end (fixture, i, 1, COLT_RUN_DONE);
  colt_fixture_commit (fixture);
  return fixture;
}

/* Guards against a record that the log rejects for its size. A later leader
 * finds what is done, and the records of an ended job go. */
static void
test_wide_job (void)
{
  struct ColtLoadFixture *fixture = run_wide_job ();
  guint starts = fixture->starts->len;
  guint i;

  check_sizes (fixture);
  g_assert_cmpuint (count_records (fixture, 'p'), >, 10);
  colt_fixture_change_leader (fixture);
  colt_fixture_add_server (fixture, "server-0", 400000);
  fixture->now_us += 10 * COLT_US_PER_S;
  colt_fixture_report_idle (fixture, "server-0", 1);
  colt_fixture_place (fixture);
  check_sizes (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, starts + TASKS / 2);
  for (i = starts; i < fixture->starts->len; i++)
    {
      char **parts
          = g_strsplit (g_ptr_array_index (fixture->starts, i), "@", 2);
      const char *index = strrchr (parts[0], '.') + 1;

      g_assert_cmpuint (g_ascii_strtoull (index, NULL, 10) % 2, ==, 1);
      g_strfreev (parts);
    }
  g_assert_true (colt_cell_cancel (fixture->cell, JOB, fixture->now_us));
  colt_fixture_commit (fixture);
  g_assert_cmpuint (count_records (fixture, 'p'), ==, 1);
  g_assert_cmpuint (count_records (fixture, 's'), ==, 0);
  colt_fixture_destroy (fixture);
}

/* A change of one task records its part, not those of all tasks. */
static void
test_one_change (void)
{
  struct ColtLoadFixture *fixture = run_wide_job ();
  GArray *records;

  colt_fixture_report_end (fixture, TASKS - 1, 1, COLT_RUN_DONE);
  records = colt_cell_take_records (fixture->cell, SIZE_MAX, 1);
  g_assert_cmpuint (records->len, ==, 2);
  colt_cell_free_records (records);
  colt_cell_confirm_batch (fixture->cell, fixture->now_us);
  colt_fixture_destroy (fixture);
}

/* A job whose specification doesn't fit is rejected on arrival. */
static void
test_large_specification (void)
{
  struct ColtLoadFixture *fixture = create_fixture (1);
  ColtJobSpec *spec = colt_fixture_make_job (fixture, 1);

  g_free (spec->payload);
  spec->payload = g_strnfill (RECORD_MAX, 'p');
  g_assert_cmpint (colt_cell_submit (fixture->cell, spec, fixture->now_us), ==,
                   COLT_SUBMIT_INVALID);
  g_assert_false (colt_cell_has_changes (fixture->cell));
  colt_job_spec__free_unpacked (spec, NULL);
  colt_fixture_destroy (fixture);
}

/* A checkpoint that is too long for a record isn't kept; the earlier one is. */
static void
test_long_checkpoint (void)
{
  struct ColtLoadFixture *fixture = create_fixture (1);
  char *text = g_strnfill (RECORD_MAX, 'c');
  struct ColtRunningEntry entry
      = { .task = JOB ".0.0.0", .run = 1, .checkpoint = "short" };
  const struct ColtServerReport report
      = { .running = &entry, .running_count = 1, .call_number = 2000 };

  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_accept_start (fixture, 0);
  colt_cell_apply_report (fixture->cell, "server-0", &report, fixture->now_us);
  entry.checkpoint = text;
  colt_cell_apply_report (fixture->cell, "server-0", &report, fixture->now_us);
  colt_fixture_commit (fixture);
  check_sizes (fixture);
  colt_fixture_destroy (fixture);
  g_free (text);
}

/* Guards against starts beyond an organisation's limit by a leader that has
 * loaded the jobs, with the terms of their queues, but no configuration yet. */
static void
test_no_configuration (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_submit (fixture, "tight", "steady", 10, false);
  colt_fixture_commit (fixture);
  fixture->unconfigured = true;
  colt_fixture_change_leader (fixture);
  colt_fixture_add_server (fixture, "server-0", 400000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_fixture_set_maximum (fixture, 2000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_fixture_destroy (fixture);
}

void
colt_load_add_record_tests (void)
{
  g_test_add_func ("/cell/records/wide-job", test_wide_job);
  g_test_add_func ("/cell/records/one-change", test_one_change);
  g_test_add_func ("/cell/records/large-specification",
                   test_large_specification);
  g_test_add_func ("/cell/records/long-checkpoint", test_long_checkpoint);
  g_test_add_func ("/cell/records/no-configuration", test_no_configuration);
}
