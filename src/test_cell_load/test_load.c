/* Decisions of the cell under different patterns of load. */
#include <stdlib.h>

#include "fixture.h"

/* Size of a step's name in bytes. */
#define STEP_NAME_SIZE 64
/* Tasks of the job in test_changed_tasks(). */
#define TASKS 40

/* One organisation submits many times its rate: jobs of others within their
 * rate start before the excess, though they were submitted later. */
static void
test_hot_organisation (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 4000);
  for (i = 0; i < 10; i++)
    colt_fixture_submit (fixture, "tight", "hot", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_true (colt_fixture_has_started (fixture, 0, 1)
                 && colt_fixture_has_started (fixture, 0, 2));
  g_assert_true (colt_fixture_has_started (fixture, 0, 11)
                 && colt_fixture_has_started (fixture, 0, 12));
  colt_fixture_destroy (fixture);
}

/* More starts are due than can be sent: those that are most important are
 * planned, up to the budget; the others remain free for later ones. */
static void
test_burst_beyond_link (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 20000);
  for (i = 0; i < 6; i++)
    colt_fixture_submit (fixture, "tight", "hot", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_cell_set_start_budget (fixture->cell, 3);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  g_assert_true (colt_fixture_has_started (fixture, 0, 7));
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  colt_cell_set_start_budget (fixture->cell, UINT32_MAX);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 7);
  colt_fixture_destroy (fixture);
}

/* Demand exceeds the capacity for a long time: jobs that missed their objective
 * start after those that can meet it, and of these the newest start first. */
static void
test_overload (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  int i;

  colt_fixture_add_server (fixture, "server", 2000);
  for (i = 0; i < 6; i++)
    colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  fixture->now_us += 600 * MS;
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_report_end (fixture, 1, 1, COLT_RUN_DONE);
  colt_fixture_place (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 4);
  g_assert_true (colt_fixture_has_started (fixture, 2, 8));
  g_assert_true (colt_fixture_has_started (fixture, 2, 7));
  colt_fixture_destroy (fixture);
}

/* A job is ending while its last tasks run and until its end is durable, but
 * not while a task waits for capacity. Requests for the state of an ending job
 * may be answered at its end. */
static void
test_ending_job (void)
{
  static const char id[] = "0000000000000001";
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  bool ended;

  colt_fixture_add_server (fixture, "server", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 2, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_false (colt_cell_is_ending (fixture->cell, id, &ended));
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  g_assert_true (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_false (ended);
  colt_fixture_report_end (fixture, 1, 1, COLT_RUN_DONE);
  g_assert_true (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_true (ended);
  colt_fixture_commit (fixture);
  g_assert_false (colt_cell_is_ending (fixture->cell, id, &ended));
  g_assert_false (colt_cell_is_ending (fixture->cell, "none", &ended));
  colt_fixture_destroy (fixture);
}

/* Lasting steps request advice whenever the free capacity changes. They get
 * only a part of the concurrent calls, so that other steps get advice too. */
static void
test_lasting_steps_and_advisers (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  guint lasting = 0;
  guint i;

  colt_fixture_add_server (fixture, "server", 64000);
  for (i = 0; i < 12; i++)
    colt_fixture_submit (fixture, "advised", "steady", 1, true);
  for (i = 0; i < 3; i++)
    colt_fixture_submit (fixture, "advised", "steady", 1, false);
  colt_fixture_place (fixture);
  for (i = 0; i < fixture->advice_calls->len; i++)
    if (strtoul (g_ptr_array_index (fixture->advice_calls, i), NULL, 16) <= 12)
      lasting++;
  g_assert_cmpuint (lasting, <=, 2);
  g_assert_cmpuint (fixture->advice_calls->len, >, lasting);
  colt_fixture_destroy (fixture);
}

/* Grants the latest advice call tickets on the servers "one" and "two". */
static void
answer_advice (struct ColtLoadFixture *fixture)
{
  const char *servers[] = { "one", "two" };
  ColtTicket tickets[2];
  ColtTicket *rows[2] = { &tickets[0], &tickets[1] };
  ColtAdviceReply reply = COLT_ADVICE_REPLY__INIT;
  int i;

  for (i = 0; i < 2; i++)
    {
      colt_ticket__init (&tickets[i]);
      tickets[i].server = (char *)servers[i];
      tickets[i].ticket = "ticket";
    }
  reply.answered = true;
  reply.valid_ms = 1500;
  reply.n_tickets = 2;
  reply.tickets = rows;
  colt_fixture_answer_advice (fixture, fixture->calls->len - 1, &reply);
}

/* A gang's tickets expire before all its servers have free capacity. Once they
 * have, the capacity is reserved while new tickets are requested, and a small
 * job that is submitted later doesn't take it. */
static void
test_gang_beside_small_work (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "one", 1000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  colt_fixture_add_server (fixture, "two", 1000);
  colt_fixture_submit_gang (fixture, "advised", 2);
  colt_fixture_place (fixture);
  answer_advice (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  fixture->now_us += 2000 * MS;
  colt_fixture_report_end (fixture, 0, 1, COLT_RUN_DONE);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_cmpuint (fixture->advice_calls->len, ==, 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  answer_advice (fixture);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  g_assert_true (colt_fixture_has_started (fixture, 1, 2));
  g_assert_false (colt_fixture_has_started (fixture, 1, 3));
  colt_fixture_destroy (fixture);
}

/* A wide lasting step has filled more servers than an advice call names. When
 * another server gets room, the next call names that one rather than the full
 * servers that are known to be suitable. */
static void
test_wide_lasting_step_in_full_fleet (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  char id[16];
  int i;

  for (i = 0; i < 35; i++)
    {
      g_snprintf (id, sizeof id, "full-%d", i);
      colt_fixture_add_server (fixture, id, 1000);
    }
  colt_fixture_submit (fixture, "advised", "steady", 36, true);
  for (i = 0; i < 4; i++)
    {
      colt_fixture_place (fixture);
      if (fixture->advice_calls->len > 0)
        colt_fixture_grant_servers (fixture, fixture->calls->len - 1);
      fixture->now_us += 1000 * MS;
    }
  g_assert_cmpuint (fixture->starts->len, ==, 35);
  fixture->now_us += 2000 * MS;
  colt_fixture_add_server (fixture, "free", 1000);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->advice_calls->len, ==, 1);
  colt_fixture_grant_servers (fixture, fixture->calls->len - 1);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 36);
  g_assert_true (colt_fixture_was_sent_to (fixture, 35, "free"));
  colt_fixture_destroy (fixture);
}

/* A run whose start had no reply is stopped only if the server doesn't list it
 * in a report that was requested after the start. */
static void
test_unanswered_start (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  const struct ColtRunningEntry running
      = { "0000000000000001.0.0.0", 1, "", 100 };
  struct ColtServerReport report = { 0 };

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 2);
  colt_cell_apply_start_result (fixture->cell, "server",
                                "0000000000000001.0.0.0", 1, COLT_START_UNKNOWN,
                                5, fixture->now_us);
  colt_cell_apply_start_result (fixture->cell, "server",
                                "0000000000000002.0.0.0", 1, COLT_START_UNKNOWN,
                                5, fixture->now_us);
  colt_fixture_report_idle (fixture, "server", 4);
  g_assert_cmpuint (fixture->stops->len, ==, 0);
  report.call_number = 5;
  report.running = &running;
  report.running_count = 1;
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
  g_assert_cmpuint (fixture->stops->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (fixture->stops, 0), ==,
                   "0000000000000002.0.0.0@server");
  colt_fixture_destroy (fixture);
}

/* A start is ordered only once the record of its server is durable. */
static void
test_start_waits_for_record (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();

  colt_fixture_add_server (fixture, "server", 2000);
  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  colt_cell_place_tasks (fixture->cell, fixture->now_us, fixture->now_us / MS);
  g_assert_true (colt_cell_has_waiting_starts (fixture->cell));
  g_assert_cmpuint (fixture->starts->len, ==, 0);
  colt_fixture_commit (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 1);
  g_assert_false (colt_cell_has_waiting_starts (fixture->cell));
  colt_fixture_destroy (fixture);
}

/* Changes that a full batch leaves over are in the next one, ahead of newer
 * ones, so that their callers don't wait while others change jobs. */
static void
test_oldest_changes_first (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  char key[COLT_JOB_ID_LENGTH + 2];
  uint32_t id;

  colt_fixture_submit (fixture, "tight", "steady", 1, false);
  for (id = 1; id <= 4; id++)
    {
      const struct ColtCellRecord *record;
      GArray *records;

      colt_fixture_submit (fixture, "tight", "steady", 1, false);
      records = colt_cell_take_records (fixture->cell, 1, fixture->now_us / MS);
      g_assert_cmpuint (records->len, ==, 1);
      record = &g_array_index (records, struct ColtCellRecord, 0);
      g_snprintf (key, sizeof key, "s%016x", id);
      g_assert_cmpstr (record->key, ==, key);
      colt_cell_free_records (records);
      colt_cell_confirm_batch (fixture->cell, fixture->now_us);
    }
  g_assert_true (colt_cell_has_changes (fixture->cell));
  colt_fixture_destroy (fixture);
}

/* Returns the recorded progress of the first job. */
static ColtJobProgress *
read_progress (struct ColtLoadFixture *fixture)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (
      g_hash_table_lookup (fixture->records, "p0000000000000001"), &size);
  ColtJobProgress *progress = colt_job_progress__unpack (NULL, size, data);

  g_assert_nonnull (progress);
  return progress;
}

/* Checks the record of the job in test_changed_tasks(). */
static void
check_record (struct ColtLoadFixture *fixture,
              char *const *checkpoints,
              int64_t incarnation_ms,
              uint32_t done)
{
  ColtJobProgress *progress = read_progress (fixture);
  uint32_t t;

  g_assert_cmpstr (progress->id, ==, "0000000000000001");
  g_assert_cmpstr (progress->organisation, ==, "steady");
  g_assert_cmpstr (progress->queue, ==, "tight");
  g_assert_true (progress->begun);
  g_assert_cmpuint (progress->n_tasks, ==, TASKS);
  for (t = 0; t < TASKS; t++)
    {
      const ColtTaskProgress *task = progress->tasks[t];
      uint32_t run = g_array_index (fixture->start_runs, uint32_t, t);
      bool runs = t >= done;

      g_assert_cmpuint (task->index, ==, t);
      g_assert_cmpint (task->done, ==, !runs);
      g_assert_cmpuint (task->last_run, ==, runs ? run - 1 : run);
      g_assert_cmpstr (task->checkpoint, ==, runs ? checkpoints[t] : "");
      g_assert_cmpstr (task->server, ==, runs ? "server" : "");
      g_assert_cmpint (task->incarnation_ms, ==, runs ? incarnation_ms : 0);
    }
  colt_job_progress__free_unpacked (progress, NULL);
}

/* Reports the end of one task and the others as running, a part of them with a
 * new checkpoint. */
static void
report_changes (struct ColtLoadFixture *fixture,
                GRand *rand,
                char **checkpoints,
                int64_t incarnation_ms,
                uint32_t ended)
{
  struct ColtFinishedEntry end = { ended + 1, NULL, 0, COLT_RUN_DONE, "" };
  struct ColtRunningEntry running[TASKS];
  char names[TASKS][STEP_NAME_SIZE];
  struct ColtServerReport report = { 0 };
  uint32_t t;

  for (t = ended; t < TASKS; t++)
    {
      struct ColtRunningEntry *entry = &running[report.running_count];

      g_snprintf (names[t], sizeof names[t], "0000000000000001.0.0.%u", t);
      if (t == ended)
        continue;
      if (g_rand_int_range (rand, 0, 4) == 0)
        {
          g_free (checkpoints[t]);
          checkpoints[t]
              = g_strnfill ((gsize)1 << g_rand_int_range (rand, 0, 16), 'c');
        }
      entry->task = names[t];
      entry->run = g_array_index (fixture->start_runs, uint32_t, t);
      entry->checkpoint = checkpoints[t];
      entry->percent = 10;
      report.running_count++;
    }
  end.task = names[ended];
  end.run = g_array_index (fixture->start_runs, uint32_t, ended);
  report.incarnation_ms = incarnation_ms;
  report.call_number = 1000 + ended;
  report.running = running;
  report.finished = &end;
  report.finished_count = 1;
  colt_cell_apply_report (fixture->cell, "server", &report, fixture->now_us);
}

/* The record of a job has the newest state of each task, of any size, though
 * most of its tasks haven't changed since its last record. */
static void
test_changed_tasks (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  GRand *rand = g_rand_new_with_seed (1);
  char *checkpoints[TASKS];
  uint32_t t;

  colt_fixture_add_server (fixture, "server", TASKS * 1000);
  colt_fixture_submit (fixture, "tight", "steady", TASKS, false);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, TASKS);
  for (t = 0; t < TASKS; t++)
    checkpoints[t] = g_strdup ("");
  for (t = 0; t + 1 < TASKS; t++)
    {
      int64_t incarnation_ms = INT64_C (1) << (t / 2 + 1);

      report_changes (fixture, rand, checkpoints, incarnation_ms, t);
      colt_fixture_commit (fixture);
      check_record (fixture, checkpoints, incarnation_ms, t + 1);
    }
  for (t = 0; t < TASKS; t++)
    g_free (checkpoints[t]);
  g_rand_free (rand);
  colt_fixture_destroy (fixture);
}

static void
end_run (struct ColtLoadFixture *fixture,
         guint start,
         enum ColtRunEnd how,
         const char *checkpoint)
{
  char **parts
      = g_strsplit (g_ptr_array_index (fixture->starts, start), "@", 2);
  const struct ColtFinishedEntry end
      = { start + 1, parts[0],
          g_array_index (fixture->start_runs, uint32_t, start), how,
          checkpoint };
  struct ColtServerReport report = { 0 };

  report.call_number = 1;
  report.finished = &end;
  report.finished_count = 1;
  colt_cell_apply_report (fixture->cell, parts[1], &report, fixture->now_us);
  g_strfreev (parts);
}

/* The end of one run of a gang changes what is recorded of its other tasks:
 * their checkpoint, the first one's failures, and whether they are done. */
static void
test_changed_gang (void)
{
  struct ColtLoadFixture *fixture = colt_fixture_create ();
  ColtJobProgress *progress;
  size_t t;

  colt_fixture_add_server (fixture, "server", 3000);
  colt_fixture_submit_repeated_gang (fixture, "tight", 3);
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 3);
  end_run (fixture, 1, COLT_RUN_FAILED, "");
  colt_fixture_commit (fixture);
  progress = read_progress (fixture);
  g_assert_cmpuint (progress->n_tasks, ==, 3);
  g_assert_cmpuint (progress->tasks[0]->failures, ==, 1);
  g_assert_cmpuint (progress->tasks[0]->failed_gang_run, ==,
                    g_array_index (fixture->start_runs, uint32_t, 1));
  colt_job_progress__free_unpacked (progress, NULL);
  end_run (fixture, 0, COLT_RUN_STOPPED, "half");
  colt_fixture_commit (fixture);
  progress = read_progress (fixture);
  for (t = 0; t < 3; t++)
    g_assert_cmpstr (progress->tasks[t]->checkpoint, ==, "half");
  colt_job_progress__free_unpacked (progress, NULL);
  end_run (fixture, 2, COLT_RUN_STOPPED, "");
  fixture->now_us += 100 * MS;
  colt_fixture_place (fixture);
  g_assert_cmpuint (fixture->starts->len, ==, 6);
  end_run (fixture, 4, COLT_RUN_DONE, "");
  colt_fixture_commit (fixture);
  progress = read_progress (fixture);
  g_assert_cmpuint (progress->n_tasks, ==, 3);
  for (t = 0; t < 3; t++)
    g_assert_true (progress->tasks[t]->done);
  colt_job_progress__free_unpacked (progress, NULL);
  colt_fixture_destroy (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/load/wide-lasting-step-in-full-fleet",
                   test_wide_lasting_step_in_full_fleet);
  g_test_add_func ("/cell/load/burst-beyond-link", test_burst_beyond_link);
  g_test_add_func ("/cell/load/hot-organisation", test_hot_organisation);
  g_test_add_func ("/cell/load/overload", test_overload);
  g_test_add_func ("/cell/load/ending-job", test_ending_job);
  g_test_add_func ("/cell/load/lasting-steps-and-advisers",
                   test_lasting_steps_and_advisers);
  g_test_add_func ("/cell/load/gang-beside-small-work",
                   test_gang_beside_small_work);
  g_test_add_func ("/cell/load/unanswered-start", test_unanswered_start);
  g_test_add_func ("/cell/load/start-waits-for-record",
                   test_start_waits_for_record);
  g_test_add_func ("/cell/load/oldest-changes-first",
                   test_oldest_changes_first);
  g_test_add_func ("/cell/load/changed-tasks", test_changed_tasks);
  g_test_add_func ("/cell/load/changed-gang", test_changed_gang);
  colt_load_add_server_tests ();
  colt_load_add_tick_tests ();
  colt_load_add_loss_tests ();
  colt_load_add_choice_tests ();
  colt_load_add_advice_tests ();
  colt_load_add_cost_tests ();
  colt_load_add_failure_tests ();
  colt_load_add_record_tests ();
  colt_load_add_end_tests ();
  colt_load_add_watchdog_tests ();
  colt_load_add_evacuation_tests ();
  colt_load_add_usage_tests ();
  colt_load_add_gang_tests ();
  colt_load_add_admission_tests ();
  return g_test_run ();
}
