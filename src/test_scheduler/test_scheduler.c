#include <string.h>

#include "fake_ports.h"
#include "lag.h"
#include "members.h"
#include "scheduler_private.h"

#define LEASE_MS 400

struct ColtSeen
{
  GString *keys;
  uint32_t synced;
  uint32_t elected;
  uint32_t deposed;
  uint64_t term;
  uint32_t committed;
  uint32_t fenced;
  uint32_t durable;
  uint32_t reported;
  uint32_t dark;
  uint32_t emptied;
  size_t runs;
  int64_t renewable_us;
  enum ColtStartResult started;
};

static void
take_record (void *client, const struct ColtLogRecord *record)
{
  struct ColtSeen *seen = client;

  g_string_append (seen->keys, record->key);
}

static void
take_synced (void *client)
{
  struct ColtSeen *seen = client;

  seen->synced++;
}

/* Records that are gone are made up for by the newest of each key. */
static void
test_watch_expired (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { .keys = g_string_new (NULL) };
  const struct ColtWatchClient client = { take_record, take_synced, &seen };
  const struct ColtWatchTimes times = { 50, 0 };
  struct ColtWatch *watch;

  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "a", "1");
  watch = colt_watch_create (fake->base, &fake->ports, COLT_TOPIC_OPERATOR,
                             &times, &client);
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (seen.keys->str, ==, "a");
  g_assert_cmpuint (seen.synced, ==, 1);
  colt_fake_ports_put (fake, COLT_TOPIC_OPERATOR, "b", "2");
  colt_fake_ports_run (fake, 50);
  g_assert_cmpstr (seen.keys->str, ==, "ab");
  fake->first[COLT_TOPIC_OPERATOR] = 5;
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (seen.synced, >=, 2);
  g_assert_cmpint (colt_watch_end (watch), ==, 2);
  colt_watch_destroy (watch);
  g_string_free (seen.keys, TRUE);
  colt_fake_ports_destroy (fake);
}

static void
take_elected (void *client, uint64_t term)
{
  struct ColtSeen *seen = client;

  seen->elected++;
  seen->term = term;
}

static void
take_deposed (void *client)
{
  struct ColtSeen *seen = client;

  seen->deposed++;
}

static void
take_changed (void *client)
{
  (void)client;
}

static struct ColtElection *
elect (struct ColtFakePorts *fake,
       const struct ColtSchedulerSettings *settings,
       struct ColtSeen *seen)
{
  const struct ColtElectionClient client
      = { take_elected, take_deposed, take_changed, seen };

  return colt_election_create (fake->base, &fake->ports, settings, &client);
}

static void
test_election_stronger_leads (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings weak
      = { .name = "weak", .internal = "127.0.0.1:1", .strength = 0.05 };
  const struct ColtSchedulerSettings strong
      = { .name = "strong", .internal = "127.0.0.2:1", .strength = 1 };
  struct ColtSeen weak_seen = { 0 };
  struct ColtSeen strong_seen = { 0 };
  struct ColtElection *first = elect (fake, &weak, &weak_seen);
  struct ColtElection *second = elect (fake, &strong, &strong_seen);

  colt_fake_ports_run (fake, 900);
  g_assert_cmpuint (strong_seen.elected, ==, 1);
  g_assert_cmpuint (weak_seen.elected, ==, 0);
  g_assert_cmpuint (strong_seen.term, ==, 1);
  g_assert_cmpstr (colt_election_lead (first), ==, "127.0.0.2:1");
  colt_election_leave (second, 0);
  colt_fake_ports_run (fake, 1200);
  g_assert_cmpuint (strong_seen.deposed, ==, 1);
  g_assert_cmpuint (weak_seen.elected, ==, 1);
  g_assert_cmpuint (weak_seen.term, ==, 2);
  colt_election_destroy (first);
  colt_election_destroy (second);
  colt_fake_ports_destroy (fake);
}

/* The instances whose connections to a leaving lead break as it leaves still
 * let the stronger ones claim first. */
static void
test_election_leaves_suspect (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings leaving
      = { .name = "leaving", .internal = "127.0.0.1:1", .strength = 1 };
  const struct ColtSchedulerSettings weak
      = { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 };
  const struct ColtSchedulerSettings strong
      = { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 };
  struct ColtSeen seen[3] = { { 0 }, { 0 }, { 0 } };
  struct ColtElection *first = elect (fake, &leaving, &seen[0]);
  struct ColtElection *second;
  struct ColtElection *third;

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (seen[0].elected, ==, 1);
  second = elect (fake, &weak, &seen[1]);
  third = elect (fake, &strong, &seen[2]);
  colt_fake_ports_run (fake, 100);
  colt_election_suspect (second, true);
  colt_election_suspect (third, true);
  colt_election_leave (first, 0);
  colt_fake_ports_run (fake, 900);
  g_assert_cmpuint (seen[1].elected, ==, 0);
  g_assert_cmpuint (seen[2].elected, ==, 1);
  colt_election_destroy (first);
  colt_election_destroy (second);
  colt_election_destroy (third);
  colt_fake_ports_destroy (fake);
}

static void
put_lead (struct ColtFakePorts *fake, const char *name, uint64_t term)
{
  ColtLeadRecord lead = COLT_LEAD_RECORD__INIT;
  char value[64] = { 0 };

  lead.instance = (char *)name;
  lead.address = "127.0.0.9:1";
  lead.term = term;
  lead.incarnation = 1;
  colt_lead_record__pack (&lead, (uint8_t *)value);
  colt_fake_ports_put (fake, COLT_TOPIC_LEAD, "lead", value);
}

/* A claim that was due before another instance claimed isn't made after. */
static void
test_election_old_answer (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings
      = { .name = "one", .internal = "127.0.0.1:1", .strength = 1 };
  struct ColtSeen seen = { 0 };
  struct ColtElection *election;
  int i;

  put_lead (fake, "other", 3);
  election = elect (fake, &settings, &seen);
  fake->fault = FAULT_OLD_READS;
  for (i = 0; i < 200 && fake->probes == 0; i++)
    colt_fake_ports_run (fake, 20);
  g_assert_cmpuint (fake->probes, ==, 1);
  put_lead (fake, "third", 4);
  colt_fake_ports_run (fake, 600);
  g_assert_cmpuint (seen.elected, ==, 0);
  g_assert_cmpuint (colt_election_term (election), ==, 4);
  colt_election_destroy (election);
  colt_fake_ports_destroy (fake);
}

/* A suspicion that comes late doesn't take away the lead that stronger
 * instances have over weaker ones. */
static void
test_election_late_suspicion (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings weak
      = { .name = "weak", .internal = "127.0.0.2:1", .strength = 0.05 };
  const struct ColtSchedulerSettings strong
      = { .name = "strong", .internal = "127.0.0.3:1", .strength = 0.2 };
  struct ColtSeen seen[2] = { { 0 }, { 0 } };
  struct ColtElection *first;
  struct ColtElection *second;

  put_lead (fake, "other", 3);
  first = elect (fake, &weak, &seen[0]);
  second = elect (fake, &strong, &seen[1]);
  colt_fake_ports_run (fake, 1200);
  colt_election_suspect (first, true);
  colt_election_suspect (second, true);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (seen[0].elected, ==, 0);
  g_assert_cmpuint (seen[1].elected, ==, 1);
  colt_election_destroy (first);
  colt_election_destroy (second);
  colt_fake_ports_destroy (fake);
}

/* Two processes that start at the same moment aren't one. */
static void
test_election_same_moment (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings
      = { .name = "one", .internal = "127.0.0.1:1", .strength = 1 };
  struct ColtSeen seen = { 0 };
  struct ColtElection *election = elect (fake, &settings, &seen);
  const struct ColtFakeRecord *record;
  ColtLeadRecord *lead;
  ColtLeadRecord other = COLT_LEAD_RECORD__INIT;
  char value[64] = { 0 };
  gconstpointer data;
  gsize size;

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (seen.elected, ==, 1);
  record = &g_array_index (fake->topics[COLT_TOPIC_LEAD], struct ColtFakeRecord,
                           0);
  data = g_bytes_get_data (record->value, &size);
  lead = colt_lead_record__unpack (NULL, size, data);
  g_assert_nonnull (lead);
  other.instance = "other";
  other.address = "127.0.0.9:1";
  other.term = 2;
  other.incarnation = lead->incarnation;
  colt_lead_record__pack (&other, (uint8_t *)value);
  colt_fake_ports_put (fake, COLT_TOPIC_LEAD, "lead", value);
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (seen.deposed, ==, 1);
  colt_lead_record__free_unpacked (lead, NULL);
  colt_election_destroy (election);
  colt_fake_ports_destroy (fake);
}

/* The instance that a lead names leads after it, at once; others don't wait for
 * it for long. */
static void
test_election_successor (void)
{
  const struct ColtSchedulerSettings settings[]
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 },
          { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 },
          { .name = "three", .internal = "127.0.0.3:1", .strength = 0.5 } };
  const uint32_t two = (127u << 24) + 2;
  const uint32_t absent = (127u << 24) + 9;
  int i;

  for (i = 0; i < 2; i++)
    {
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtSeen seen[3] = { { 0 }, { 0 }, { 0 } };
      struct ColtElection *first = elect (fake, &settings[0], &seen[0]);
      struct ColtElection *second;
      struct ColtElection *third;

      colt_fake_ports_run (fake, 400);
      g_assert_cmpuint (seen[0].elected, ==, 1);
      second = elect (fake, &settings[1], &seen[1]);
      third = elect (fake, &settings[2], &seen[2]);
      colt_fake_ports_run (fake, 100);
      colt_election_leave (first, i == 0 ? two : absent);
      /* Without its name the weak one would wait for longer than this. */
      colt_fake_ports_run (fake, 400);
      g_assert_cmpuint (seen[1].elected, ==, i == 0 ? 1 : 0);
      g_assert_cmpuint (seen[2].elected, ==, 0);
      colt_fake_ports_run (fake, 1000);
      g_assert_cmpuint (seen[2].elected, ==, i == 0 ? 0 : 1);
      colt_election_destroy (first);
      colt_election_destroy (second);
      colt_election_destroy (third);
      colt_fake_ports_destroy (fake);
    }
}

/* A lead that can't write that it leaves tries again, so that its successor
 * learns of it. */
static void
test_election_leaves_again (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings[]
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 },
          { .name = "two", .internal = "127.0.0.2:1", .strength = 0.05 } };
  struct ColtSeen seen[2] = { { 0 }, { 0 } };
  struct ColtElection *first = elect (fake, &settings[0], &seen[0]);
  struct ColtElection *second;

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (seen[0].elected, ==, 1);
  second = elect (fake, &settings[1], &seen[1]);
  colt_fake_ports_run (fake, 100);
  fake->fault = FAULT_REFUSED;
  colt_election_leave (first, (127u << 24) + 2);
  colt_fake_ports_run (fake, 150);
  g_assert_cmpuint (seen[0].deposed, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (seen[0].deposed, ==, 1);
  g_assert_cmpuint (seen[1].elected, ==, 1);
  colt_election_destroy (first);
  colt_election_destroy (second);
  colt_fake_ports_destroy (fake);
}

/* An instance that yields lets an equal one claim. */
static void
test_election_yields (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings[]
      = { { .name = "one", .internal = "127.0.0.1:1", .strength = 1 },
          { .name = "two", .internal = "127.0.0.2:1", .strength = 1 } };
  struct ColtSeen seen[2] = { { 0 }, { 0 } };
  struct ColtElection *first = elect (fake, &settings[0], &seen[0]);
  struct ColtElection *second;

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (seen[0].elected, ==, 1);
  second = elect (fake, &settings[1], &seen[1]);
  colt_fake_ports_run (fake, 100);
  colt_election_yield (first, 0);
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (seen[0].deposed, ==, 1);
  g_assert_cmpuint (seen[0].elected, ==, 1);
  g_assert_cmpuint (seen[1].elected, ==, 1);
  colt_election_destroy (first);
  colt_election_destroy (second);
  colt_fake_ports_destroy (fake);
}

/* Renewals whose answers are lost don't cost the lead; renewals that have no
 * effect do, as soon as another instance claims. */
static void
test_election_lost_answers (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings
      = { .name = "one", .internal = "127.0.0.1:1", .strength = 1 };
  struct ColtSeen seen = { 0 };
  struct ColtElection *election = elect (fake, &settings, &seen);
  int64_t confirmed_us;

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (seen.elected, ==, 1);
  fake->fault = FAULT_LOST;
  colt_fake_ports_run (fake, 1500);
  g_assert_true (colt_election_leads (election));
  fake->fault = FAULT_REFUSED;
  confirmed_us = colt_election_confirmed_us (election);
  colt_fake_ports_run (fake, 700);
  g_assert_true (colt_election_is_refused (election));
  g_assert_cmpint (colt_election_confirmed_us (election), ==, confirmed_us);
  colt_election_fenced (election);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (seen.deposed, ==, 1);
  colt_election_destroy (election);
  colt_fake_ports_destroy (fake);
}

/* A claim in a silent log could take effect without being known. */
static void
test_election_silent_log (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings
      = { .name = "one", .internal = "127.0.0.1:1", .strength = 1 };
  struct ColtSeen seen = { 0 };
  struct ColtElection *election;

  put_lead (fake, "other", 3);
  election = elect (fake, &settings, &seen);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpstr (colt_election_lead (election), ==, "127.0.0.9:1");
  fake->fault = FAULT_SILENT;
  colt_fake_ports_run (fake, 2600);
  g_assert_cmpuint (fake->appends, ==, 0);
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 3500);
  g_assert_cmpuint (seen.elected, ==, 1);
  g_assert_cmpuint (seen.term, ==, 4);
  colt_election_destroy (election);
  colt_fake_ports_destroy (fake);
}

/* A lead that starts anew knows that its former process doesn't lead. */
static void
test_election_restarted_lead (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  const struct ColtSchedulerSettings settings
      = { .name = "one", .internal = "127.0.0.1:1", .strength = 1 };
  struct ColtSeen first = { 0 };
  struct ColtSeen second = { 0 };
  struct ColtElection *election = elect (fake, &settings, &first);

  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (first.elected, ==, 1);
  colt_election_destroy (election);
  election = elect (fake, &settings, &second);
  colt_fake_ports_run (fake, 400);
  g_assert_cmpuint (second.elected, ==, 1);
  g_assert_cmpuint (second.term, ==, 2);
  colt_election_destroy (election);
  colt_fake_ports_destroy (fake);
}

static void
op_start (void *client, const struct ColtStartOrder *order)
{
  (void)client;
  (void)order;
}

static void
op_stop (void *client, const char *server, const char *task, uint32_t run)
{
  (void)client;
  (void)server;
  (void)task;
  (void)run;
}

static bool
op_advise (void *client,
           const char *step,
           const char *const *servers,
           size_t count)
{
  (void)client;
  (void)step;
  (void)servers;
  (void)count;
  return false;
}

static void
op_decided (void *client, const char *job, const char *what, const char *detail)
{
  (void)client;
  (void)job;
  (void)what;
  (void)detail;
}

static const struct ColtCellOps cell_ops
    = { op_start, op_stop, op_advise, op_decided };

static struct ColtCell *
make_cell (void)
{
  const struct ColtCellLimits limits
      = { COLT_US_PER_S, COLT_US_PER_S, 30, 100 };
  struct ColtCell *cell = colt_cell_create (&cell_ops, NULL, &limits, 1);
  struct ColtFleet *fleet = colt_fleet_create ();
  struct ColtQueueConfig *queue = colt_fleet_add_queue (fleet);

  queue->name = g_strdup ("queue");
  queue->host = g_strdup ("");
  queue->prefix = g_strdup ("/");
  queue->service = g_strdup ("service");
  queue->max_attempts = 1;
  colt_cell_set_fleet (cell, fleet);
  colt_fleet_unref (fleet);
  colt_cell_loaded (cell, 0);
  return cell;
}

static void
submit (struct ColtCell *cell, const char *id)
{
  ColtJobSpec *spec = malloc (sizeof *spec);

  g_assert_nonnull (spec);
  colt_job_spec__init (spec);
  spec->id = strdup (id);
  spec->organisation = strdup ("organisation");
  spec->queue = strdup ("queue");
  spec->payload = strdup ("payload");
  spec->steps = calloc (1, sizeof *spec->steps);
  spec->steps[0] = malloc (sizeof *spec->steps[0]);
  colt_job_step__init (spec->steps[0]);
  spec->steps[0]->count = 1;
  spec->n_steps = 1;
  g_assert_cmpint (colt_cell_submit (cell, spec, colt_clock_monotonic_us ()),
                   ==, COLT_SUBMIT_NEW);
}

static void
take_committed (void *client)
{
  struct ColtSeen *seen = client;

  seen->committed++;
}

static void
take_fenced (void *client)
{
  struct ColtSeen *seen = client;

  seen->fenced++;
}

static void
take_durable (void *client, bool durable)
{
  struct ColtSeen *seen = client;

  if (durable)
    seen->durable++;
}

/* A batch whose answer is lost is stored once. */
static void
test_commit_lost_answer (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  const struct ColtCommitClient client = { take_committed, take_fenced, &seen };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCell *cell = make_cell ();
  struct ColtCommit *commit = colt_commit_create (fake->base, &fake->ports,
                                                  cell, 1, &client, metrics);

  submit (cell, "0000000000000001");
  fake->fault = FAULT_LOST;
  colt_commit_wait (commit, take_durable, &seen);
  colt_fake_ports_run (fake, 60);
  g_assert_cmpuint (seen.durable, ==, 0);
  g_assert_false (colt_cell_is_durable (cell, "0000000000000001"));
  g_assert_false (colt_cell_withdraw (cell, "0000000000000001"));
  fake->fault = FAULT_NONE;
  colt_fake_ports_run (fake, 200);
  g_assert_cmpuint (seen.durable, ==, 1);
  g_assert_true (colt_cell_is_durable (cell, "0000000000000001"));
  g_assert_cmpuint (fake->appends, >=, 2);
  g_assert_cmpuint (fake->topics[COLT_TOPIC_JOBS]->len, ==, 1);
  colt_commit_destroy (commit);
  colt_cell_destroy (cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

/* A later lead has written: nothing of this one is durable any more. */
static void
test_commit_fenced (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  const struct ColtCommitClient client = { take_committed, take_fenced, &seen };
  struct ColtMetrics *metrics = colt_metrics_create ();
  struct ColtCell *cell = make_cell ();
  struct ColtCommit *commit = colt_commit_create (fake->base, &fake->ports,
                                                  cell, 1, &client, metrics);

  fake->epoch = 2;
  submit (cell, "0000000000000001");
  colt_commit_wait (commit, take_durable, &seen);
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (seen.fenced, ==, 1);
  g_assert_cmpuint (seen.durable, ==, 0);
  g_assert_cmpuint (fake->topics[COLT_TOPIC_JOBS]->len, ==, 0);
  colt_commit_destroy (commit);
  colt_cell_destroy (cell);
  colt_metrics_destroy (metrics);
  colt_fake_ports_destroy (fake);
}

static void
link_reported (void *client,
               struct ColtServerLink *link,
               const struct ColtServerReport *report)
{
  struct ColtSeen *seen = client;

  (void)link;
  (void)report;
  seen->reported++;
}

static void
link_started (void *client,
              struct ColtServerLink *link,
              const char *task,
              uint32_t run,
              enum ColtStartResult result,
              uint64_t asked)
{
  struct ColtSeen *seen = client;

  (void)link;
  (void)task;
  (void)run;
  (void)asked;
  seen->started = result;
}

static void
link_stopped (void *client,
              struct ColtServerLink *link,
              const char *task,
              uint32_t run,
              bool answered,
              uint64_t asked)
{
  (void)client;
  (void)link;
  (void)task;
  (void)run;
  (void)answered;
  (void)asked;
}

static void
link_dark (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->dark++;
}

static void
link_emptied (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->emptied++;
  seen->runs = 0;
}

static void
link_fenced (void *client, struct ColtServerLink *link)
{
  struct ColtSeen *seen = client;

  (void)link;
  seen->fenced++;
}

static int64_t
link_renewable (void *client)
{
  const struct ColtSeen *seen = client;

  return seen->renewable_us;
}

static size_t
link_runs (void *client, const char *server)
{
  const struct ColtSeen *seen = client;

  (void)server;
  return seen->runs;
}

static bool
link_tight (void *client, const char *server)
{
  (void)client;
  (void)server;
  return true;
}

static struct ColtServerLink *
open_link (struct ColtFakePorts *fake, struct ColtSeen *seen)
{
  const struct ColtServerLinkClient client
      = { link_reported, link_started,   link_stopped, link_dark,  link_emptied,
          link_fenced,   link_renewable, link_runs,    link_tight, seen };
  const struct ColtServerLinkBounds bounds = { 7, LEASE_MS };
  struct ColtServerLink *link = colt_server_link_create (
      &fake->ports, &bounds, "server", "127.0.0.1:1", &client);

  seen->renewable_us = COLT_TIME_NEVER / 2;
  colt_server_link_set_listed (link, true);
  return link;
}

static void
tick (struct ColtFakePorts *fake, struct ColtServerLink *link, uint32_t ms)
{
  uint32_t i;

  for (i = 0; i < ms; i += 10)
    {
      colt_server_link_tick (link, colt_clock_monotonic_us ());
      colt_fake_ports_run (fake, 10);
    }
}

/* Looks that can't be sent renew nothing: the leases of a server that has
 * left end. */
static void
test_link_lease_ends (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  g_assert_cmpuint (seen.reported, ==, 1);
  seen.runs = 1;
  tick (fake, link, 200);
  g_assert_cmpint (fake->last_look.until_ms, >, 0);
  g_assert_cmpuint (fake->last_look.token, ==, 7);
  fake->server_answer.result = COLT_START_NOT_SENT;
  tick (fake, link, 2 * LEASE_MS + 400);
  g_assert_cmpuint (seen.dark, ==, 1);
  g_assert_cmpuint (seen.emptied, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* A look that couldn't be sent takes nothing back from a start that was sent
 * after it and may have come through. */
static void
test_link_start_beside_look (void)
{
  static const enum ColtStartResult results[]
      = { COLT_START_UNKNOWN, COLT_START_NOT_SENT };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  seen.runs = 1;
  tick (fake, link, 200);
  fake->server_answer.result = COLT_START_NOT_SENT;
  fake->look_ms = 300;
  tick (fake, link, 280);
  fake->start_results = results;
  fake->start_result_count = G_N_ELEMENTS (results);
  colt_server_link_start (link, &start);
  tick (fake, link, LEASE_MS);
  g_assert_cmpuint (seen.emptied, ==, 0);
  tick (fake, link, LEASE_MS);
  g_assert_cmpuint (seen.emptied, ==, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* An instance that isn't sure to lead any more renews nothing. */
static void
test_link_unconfirmed (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  tick (fake, link, 30);
  seen.runs = 1;
  seen.renewable_us = colt_clock_monotonic_us ();
  tick (fake, link, 100);
  g_assert_cmpint (fake->last_look.until_ms, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Another start of a server knows nothing of the one before. */
static void
test_link_new_incarnation (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.born_ms = 1;
  tick (fake, link, 30);
  colt_server_link_take_note (link, 1, 9);
  seen.runs = 1;
  tick (fake, link, 100);
  g_assert_cmpuint (fake->last_look.taken_note, ==, 9);
  fake->server_answer.born_ms = 2;
  tick (fake, link, 100);
  g_assert_cmpuint (seen.emptied, ==, 1);
  seen.runs = 1;
  tick (fake, link, 100);
  g_assert_cmpuint (fake->last_look.taken_note, ==, 0);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* What became of a start that isn't answered: the same start again tells,
 * unless it is refused, as the first may be carried out yet. */
static void
test_link_start_again (void)
{
  static const struct
  {
    enum ColtStartResult again;
    enum ColtStartResult told;
  } cases[] = { { COLT_START_TAKEN, COLT_START_TAKEN },
                { COLT_START_STALE, COLT_START_UNKNOWN },
                { COLT_START_NO_ROOM, COLT_START_UNKNOWN },
                { COLT_START_BUSY, COLT_START_UNKNOWN },
                { COLT_START_NOT_SENT, COLT_START_UNKNOWN },
                { COLT_START_UNKNOWN, COLT_START_UNKNOWN },
                { COLT_START_FENCED, COLT_START_FENCED } };
  const struct ColtStartOrder start = {
    .server = "s", .task = "t", .run = 1, .payload = "", .checkpoint = ""
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const enum ColtStartResult results[]
          = { COLT_START_UNKNOWN, cases[i].again };
      struct ColtFakePorts *fake = colt_fake_ports_create ();
      struct ColtSeen seen = { .started = COLT_START_INVALID };
      struct ColtServerLink *link = open_link (fake, &seen);

      tick (fake, link, 30);
      fake->start_results = results;
      fake->start_result_count = G_N_ELEMENTS (results);
      colt_server_link_start (link, &start);
      tick (fake, link, 30);
      g_assert_cmpuint (fake->starts, ==, 2);
      g_assert_cmpint (seen.started, ==, cases[i].told);
      colt_server_link_destroy (link);
      colt_fake_ports_destroy (fake);
    }
}

static void
test_link_fenced (void)
{
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  struct ColtSeen seen = { 0 };
  struct ColtServerLink *link = open_link (fake, &seen);

  fake->server_answer.result = COLT_START_FENCED;
  tick (fake, link, 50);
  g_assert_cmpuint (seen.fenced, >=, 1);
  colt_server_link_destroy (link);
  colt_fake_ports_destroy (fake);
}

/* Only while most members are in touch, and none reaches the log. */
/* A loop that is late each time runs slowly; one that stood still once
 * doesn't. */
static void
test_lag (void)
{
  struct ColtLag lag;
  int64_t now_us = 0;
  int i;

  colt_lag_init (&lag, 25000);
  g_assert_cmpfloat (colt_lag_speed (&lag), ==, 1);
  for (i = 0; i < 40; i++)
    colt_lag_note (&lag, now_us += 25100);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.95);
  colt_lag_note (&lag, now_us += 5000000);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.7);
  for (i = 0; i < 20; i++)
    colt_lag_note (&lag, now_us += 80000);
  g_assert_cmpfloat (colt_lag_speed (&lag), <, 0.45);
  for (i = 0; i < 60; i++)
    colt_lag_note (&lag, now_us += 25100);
  g_assert_cmpfloat (colt_lag_speed (&lag), >, 0.9);
}

static void
test_members_log_down (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t strongest;

  colt_members_note (members, 1, 5000, 1, now_us);
  colt_members_note (members, 2, 5000, 1, now_us);
  colt_members_note (members, 3, 5000, 2, now_us);
  g_assert_true (colt_members_log_is_down (members, now_us));
  colt_members_note (members, 2, 100, 1, now_us);
  g_assert_false (colt_members_log_is_down (members, now_us));
  colt_members_note (members, 2, 5000, 1, now_us);
  g_assert_cmpfloat (colt_members_strongest (members, now_us, &strongest), ==,
                     0);
  g_assert_cmpuint (strongest, ==, 0);
  colt_members_note (members, 3, 100, 2, now_us);
  g_assert_cmpfloat (colt_members_strongest (members, now_us, &strongest), ==,
                     2);
  g_assert_cmpuint (strongest, ==, 3);
  now_us += 5 * COLT_US_PER_S;
  colt_members_note (members, 1, 5000, 1, now_us);
  g_assert_false (colt_members_log_is_down (members, now_us));
  colt_members_destroy (members);
}

static void
test_members_advisers (void)
{
  struct ColtMembers *members = colt_members_create ();
  int64_t now_us = 100 * COLT_US_PER_S;
  uint32_t first;

  colt_members_note (members, 1, 0, 1, now_us);
  g_assert_cmpuint (colt_members_count_advisers (members, now_us), ==, 2);
  first = colt_members_take_adviser (members, now_us);
  g_assert_cmpuint (first, !=, 0);
  g_assert_cmpuint (colt_members_take_adviser (members, now_us), !=, 0);
  g_assert_cmpuint (colt_members_take_adviser (members, now_us), ==, 0);
  colt_members_give_adviser (members, first, now_us, true);
  g_assert_cmpuint (colt_members_take_adviser (members, now_us), ==, first);
  colt_members_give_adviser (members, first, now_us, false);
  g_assert_cmpuint (colt_members_take_adviser (members, now_us), ==, 0);
  colt_members_destroy (members);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/scheduler/watch/expired", test_watch_expired);
  g_test_add_func ("/scheduler/election/stronger-leads",
                   test_election_stronger_leads);
  g_test_add_func ("/scheduler/election/leaves-suspect",
                   test_election_leaves_suspect);
  g_test_add_func ("/scheduler/election/old-answer", test_election_old_answer);
  g_test_add_func ("/scheduler/election/late-suspicion",
                   test_election_late_suspicion);
  g_test_add_func ("/scheduler/election/same-moment",
                   test_election_same_moment);
  g_test_add_func ("/scheduler/election/successor", test_election_successor);
  g_test_add_func ("/scheduler/election/leaves-again",
                   test_election_leaves_again);
  g_test_add_func ("/scheduler/election/yields", test_election_yields);
  g_test_add_func ("/scheduler/election/lost-answers",
                   test_election_lost_answers);
  g_test_add_func ("/scheduler/election/restarted-lead",
                   test_election_restarted_lead);
  g_test_add_func ("/scheduler/election/silent-log", test_election_silent_log);
  g_test_add_func ("/scheduler/commit/lost-answer", test_commit_lost_answer);
  g_test_add_func ("/scheduler/commit/fenced", test_commit_fenced);
  g_test_add_func ("/scheduler/link/lease-ends", test_link_lease_ends);
  g_test_add_func ("/scheduler/link/start-beside-look",
                   test_link_start_beside_look);
  g_test_add_func ("/scheduler/link/unconfirmed", test_link_unconfirmed);
  g_test_add_func ("/scheduler/link/new-incarnation",
                   test_link_new_incarnation);
  g_test_add_func ("/scheduler/link/start-again", test_link_start_again);
  g_test_add_func ("/scheduler/link/fenced", test_link_fenced);
  g_test_add_func ("/scheduler/lag", test_lag);
  g_test_add_func ("/scheduler/members/log-down", test_members_log_down);
  g_test_add_func ("/scheduler/members/advisers", test_members_advisers);
  return g_test_run ();
}
