#include <stdlib.h>
#include <string.h>

#include "fake_ports.h"
#include "jobs.h"
#include "scheduler_private.h"
#include "tests.h"

/* Size in bytes of a payload that fills a batch by itself. */
#define LARGE_PAYLOAD (600 * 1024)

/* How often the callbacks of a test were called. */
struct ColtCallCounts
{
  uint32_t committed;
  uint32_t fenced;
  uint32_t durable;
};

static void
ignore_start (void *client, const struct ColtStartOrder *order)
{
  (void)client;
  (void)order;
}

static void
ignore_stop (void *client, const char *server, const char *task, uint32_t run)
{
  (void)client;
  (void)server;
  (void)task;
  (void)run;
}

static bool
reject_advice_call (void *client,
                    uint64_t call,
                    const char *step,
                    const char *const *servers,
                    size_t count)
{
  (void)client;
  (void)call;
  (void)step;
  (void)servers;
  (void)count;
  return false;
}

static void
ignore_decision (void *client,
                 const char *job,
                 const char *what,
                 const char *detail)
{
  (void)client;
  (void)job;
  (void)what;
  (void)detail;
}

static const struct ColtCellOps cell_ops
    = { ignore_start, ignore_stop, reject_advice_call, ignore_decision,
        ignore_decision };

static struct ColtCell *
make_cell (void)
{
  const struct ColtCellLimits limits
      = { COLT_US_PER_S, COLT_US_PER_S, 30, 100 };
  struct ColtCell *cell = colt_cell_create (&cell_ops, NULL, &limits, 1);
  struct ColtFleet *fleet = colt_test_make_fleet ();

  colt_cell_set_fleet (cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_finish_loading (cell, 0);
  return cell;
}

static void
submit (struct ColtCell *cell, const char *id)
{
  g_assert_cmpint (colt_cell_submit (cell, colt_test_make_job (id),
                                     colt_clock_monotonic_us ()),
                   ==, COLT_SUBMIT_NEW);
}

static void
on_committed (void *client)
{
  struct ColtCallCounts *counts = client;

  counts->committed++;
}

static void
on_fenced (void *client)
{
  struct ColtCallCounts *counts = client;

  counts->fenced++;
}

static void
on_durable (void *client, bool durable)
{
  struct ColtCallCounts *counts = client;

  if (durable)
    counts->durable++;
}

/* A batch whose answer is lost is sent again, and the log stores it once. Until
 * the log answers, the job isn't durable and can't be withdrawn. */
static void
test_commit_lost_answer (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtCallCounts counts = { 0 };
  const struct ColtCommitClient client = { on_committed, on_fenced, &counts };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCell *cell = make_cell ();
  struct ColtCommit *commit = colt_commit_create (
      fake->base, &fake->ports, cell, 1, &client, metrics, NULL);

  submit (cell, "0000000000000001");
  fake->fault = FAULT_LOST_ANSWERS;
  colt_commit_wait (commit, on_durable, &counts);
  colt_fake_ports_run (fake, 60);
  g_assert_cmpuint (counts.durable, ==, 0);
  g_assert_false (colt_cell_is_durable (cell, "0000000000000001"));
  g_assert_false (colt_cell_withdraw (cell, "0000000000000001"));
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (counts.durable, ==, 1);
  g_assert_true (colt_cell_is_durable (cell, "0000000000000001"));
  g_assert_cmpuint (fake->appends, >=, 2);
  g_assert_cmpuint (fake->topics[COLT_TOPIC_JOBS]->len, ==, 1);
  colt_commit_destroy (commit);
  colt_cell_destroy (cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

/* Once a later leader has written to the log, the log rejects the batches of
 * this one, whose changes never become durable. */
static void
test_commit_fenced (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtCallCounts counts = { 0 };
  const struct ColtCommitClient client = { on_committed, on_fenced, &counts };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCell *cell = make_cell ();
  struct ColtCommit *commit = colt_commit_create (
      fake->base, &fake->ports, cell, 1, &client, metrics, NULL);

  fake->epoch = 2;
  submit (cell, "0000000000000001");
  colt_commit_wait (commit, on_durable, &counts);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (counts.fenced, ==, 1);
  g_assert_cmpuint (counts.durable, ==, 0);
  g_assert_cmpuint (fake->topics[COLT_TOPIC_JOBS]->len, ==, 0);
  colt_commit_destroy (commit);
  colt_cell_destroy (cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

/* Guards against leaders that give up one after another because the log rejects
 * a batch for its size. */
static void
test_commit_too_large (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtCallCounts counts = { 0 };
  const struct ColtCommitClient client = { on_committed, on_fenced, &counts };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCell *cell = make_cell ();
  struct ColtCommit *commit = colt_commit_create (
      fake->base, &fake->ports, cell, 1, &client, metrics, NULL);

  fake->fault = FAULT_TOO_LARGE;
  submit (cell, "0000000000000001");
  colt_commit_wait (commit, on_durable, &counts);
  colt_fake_ports_run (fake, 300);
  g_assert_cmpuint (counts.fenced, ==, 0);
  g_assert_cmpuint (counts.durable, ==, 0);
  g_assert_cmpuint (fake->appends, >=, 2);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (counts.durable, ==, 1);
  colt_commit_destroy (commit);
  colt_cell_destroy (cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

/* A cell that gets a further job whenever a batch has been committed. */
struct ColtBusyCell
{
  struct ColtCell *cell;
  uint32_t jobs;
};

static void
submit_large_job (struct ColtBusyCell *busy)
{
  ColtJobSpec *spec;
  char id[COLT_JOB_ID_LENGTH + 1];

  g_snprintf (id, sizeof id, "%016x", ++busy->jobs);
  spec = colt_test_make_job (id);
  free (spec->payload);
  spec->payload = malloc (LARGE_PAYLOAD + 1);
  memset (spec->payload, 'p', LARGE_PAYLOAD);
  spec->payload[LARGE_PAYLOAD] = '\0';
  g_assert_cmpint (
      colt_cell_submit (busy->cell, spec, colt_clock_monotonic_us ()), ==,
      COLT_SUBMIT_NEW);
}

static void
submit_next (void *client)
{
  submit_large_job (client);
}

/* Each batch leaves changes over, as more are made than it can take. A caller
 * is answered when its change is durable, not when none is left. */
static void
test_commit_full_batches (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtCallCounts counts = { 0 };
  struct ColtBusyCell busy = { make_cell (), 0 };
  const struct ColtCommitClient client = { submit_next, on_fenced, &busy };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCommit *commit = colt_commit_create (
      fake->base, &fake->ports, busy.cell, 1, &client, metrics, NULL);

  submit_large_job (&busy);
  submit_large_job (&busy);
  colt_commit_wait (commit, on_durable, &counts);
  submit_large_job (&busy);
  while (!colt_cell_is_durable (busy.cell, "0000000000000002"))
    {
      g_assert_cmpuint (counts.durable, ==, 0);
      colt_fake_ports_run (fake, 1);
    }
  g_assert_true (colt_cell_has_changes (busy.cell));
  g_assert_cmpuint (counts.durable, ==, 1);
  colt_commit_destroy (commit);
  colt_cell_destroy (busy.cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

void
colt_test_commit_add (void)
{
  g_test_add_func ("/scheduler/commit/lost-answer", test_commit_lost_answer);
  g_test_add_func ("/scheduler/commit/fenced", test_commit_fenced);
  g_test_add_func ("/scheduler/commit/full-batches", test_commit_full_batches);
  g_test_add_func ("/scheduler/commit/too-large", test_commit_too_large);
}
