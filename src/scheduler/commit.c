#include "load_meter.h"
#include "scheduler_private.h"

/* Time to gather changes for a batch, unless a caller waits for them. */
#define LINGER_MS 25
/* Time to gather the starts of one placement pass, which wait until their
 * records are durable. */
#define URGENT_LINGER_MS 2
/* Pause after a failed append. */
#define RETRY_MS 100
/* Time after which an answer of the log counts as lost. */
#define CALL_TIMEOUT_MS 1500
/* Largest append; the log accepts 2 MB. */
#define BATCH_BYTES (512u * 1024)
/* Producer name of all leaders, so that the log fences earlier ones. */
#define PRODUCER "lead"
#define MODULE "commit"

struct ColtWaiter
{
  ColtCommitDone done;
  void *client;
  uint64_t change; /* number of the cell's latest change that it waits for */
};

struct ColtCommit
{
  const struct ColtPorts *ports;
  struct ColtCell *cell;
  struct ColtLogChannel *channel;
  struct event *timer;
  struct ColtCommitClient client;
  struct ColtMetrics *metrics;
  struct ColtLoadMeter *meter; /* may be NULL */
  uint64_t term;
  uint64_t sequence;
  GArray *records;       /* of the open batch; NULL: none */
  GArray *waiters;       /* wait for a batch after the open one, oldest first */
  GArray *batch_waiters; /* wait for the open batch */
  int64_t batch_sent_us; /* when the batch was first sent */
  bool in_flight;        /* an append is open */
  bool failing;
  bool fenced;
  uint32_t next_linger_ms; /* delay of the batch after the open one */
};

static void schedule_flush_ (struct ColtCommit *commit, uint32_t after_ms);
static void flush_ (evutil_socket_t fd, short what, void *arg);
static void take_waiters_ (struct ColtCommit *commit);
static void send_batch_ (struct ColtCommit *commit);
static void handle_answer_ (void *client, const struct ColtLogAnswer *answer);
static void complete_batch_ (struct ColtCommit *commit);
static void notify_waiters_ (GArray *waiters, bool durable);
static void add_time_ (struct ColtCommit *commit, int64_t began_us);

struct ColtCommit *
colt_commit_create (struct event_base *base,
                    const struct ColtPorts *ports,
                    struct ColtCell *cell,
                    uint64_t term,
                    const struct ColtCommitClient *client,
                    struct ColtMetrics *metrics,
                    struct ColtLoadMeter *meter)
{
  struct ColtCommit *commit = g_new0 (struct ColtCommit, 1);

  commit->ports = ports;
  commit->cell = cell;
  commit->term = term;
  commit->metrics = metrics;
  commit->meter = meter;
  commit->next_linger_ms = LINGER_MS;
  commit->client = *client;
  commit->channel = ports->log_open (ports->adapter);
  commit->timer = event_new (base, -1, 0, flush_, commit);
  commit->waiters = g_array_new (FALSE, FALSE, sizeof (struct ColtWaiter));
  commit->batch_waiters
      = g_array_new (FALSE, FALSE, sizeof (struct ColtWaiter));
  return commit;
}

void
colt_commit_destroy (struct ColtCommit *commit)
{
  if (commit == NULL)
    return;
  event_free (commit->timer);
  commit->fenced = true;
  commit->ports->log_close (commit->channel);
  if (commit->records != NULL)
    colt_cell_free_records (commit->records);
  notify_waiters_ (commit->batch_waiters, false);
  notify_waiters_ (commit->waiters, false);
  g_free (commit);
}

void
colt_commit_schedule (struct ColtCommit *commit, uint32_t within_ms)
{
  struct timeval due;
  struct timeval now;

  if (commit->records != NULL)
    {
      commit->next_linger_ms = MIN (commit->next_linger_ms, within_ms);
      return;
    }
  if (event_pending (commit->timer, EV_TIMEOUT, &due))
    {
      event_base_gettimeofday_cached (event_get_base (commit->timer), &now);
      timersub (&due, &now, &due);
      if (due.tv_sec * 1000 + due.tv_usec / 1000 <= (long)within_ms)
        return;
    }
  schedule_flush_ (commit, within_ms);
}

void
colt_commit_wait (struct ColtCommit *commit, ColtCommitDone done, void *client)
{
  const struct ColtWaiter waiter
      = { done, client, colt_cell_last_change (commit->cell) };

  g_array_append_val (commit->waiters, waiter);
  colt_commit_schedule (commit, LINGER_MS);
}

int64_t
colt_commit_batch_age_us (const struct ColtCommit *commit)
{
  return commit->records != NULL
             ? colt_clock_monotonic_us () - commit->batch_sent_us
             : 0;
}

static void
schedule_flush_ (struct ColtCommit *commit, uint32_t after_ms)
{
  const struct timeval when
      = { after_ms / 1000, (suseconds_t)(after_ms % 1000) * 1000 };

  event_add (commit->timer, &when);
}

static void
flush_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtCommit *commit = arg;

  (void)fd;
  (void)what;
  if (commit->in_flight || commit->fenced)
    return;
  if (commit->records == NULL)
    {
      int64_t began_us = colt_clock_monotonic_us ();

      commit->records = colt_cell_take_records (
          commit->cell, BATCH_BYTES, colt_clock_wall_us () / COLT_US_PER_MS);
      add_time_ (commit, began_us);
      commit->batch_sent_us = colt_clock_monotonic_us ();
      take_waiters_ (commit);
      if (commit->records->len == 0)
        {
          complete_batch_ (commit);
          return;
        }
      commit->sequence++;
    }
  send_batch_ (commit);
}

/* Moves the waiters whose changes aren't left over for a later batch. */
static void
take_waiters_ (struct ColtCommit *commit)
{
  guint count = 0;

  while (count < commit->waiters->len
         && colt_cell_has_taken (
             commit->cell,
             g_array_index (commit->waiters, struct ColtWaiter, count).change))
    count++;
  if (count == 0)
    return;
  g_array_append_vals (commit->batch_waiters, commit->waiters->data, count);
  g_array_remove_range (commit->waiters, 0, count);
}

static void
send_batch_ (struct ColtCommit *commit)
{
  struct ColtLogAppend append = { 0 };
  struct ColtLogRecord *records
      = g_new0 (struct ColtLogRecord, commit->records->len);
  guint i;

  for (i = 0; i < commit->records->len; i++)
    {
      const struct ColtCellRecord *record
          = &g_array_index (commit->records, struct ColtCellRecord, i);

      records[i].key = record->key;
      records[i].value = record->value;
      records[i].size = record->size;
    }
  append.topic = COLT_TOPIC_JOBS;
  append.records = records;
  append.count = commit->records->len;
  append.producer = PRODUCER;
  append.epoch = commit->term;
  append.sequence = commit->sequence;
  append.timeout_ms = CALL_TIMEOUT_MS;
  commit->in_flight = true;
  commit->ports->log_append (commit->channel, &append, handle_answer_, commit);
  g_free (records);
}

/* A batch is resent under the same sequence number until its outcome is known.
 * One that the log can't take, for its size for instance, is no sign of a later
 * leader, whose batches would fare the same. */
static void
handle_answer_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtCommit *commit = client;

  commit->in_flight = false;
  if (commit->fenced)
    return;
  switch (answer->outcome)
    {
    case COLT_LOG_DONE:
      if (commit->failing)
        colt_log (COLT_LOG_INFO, MODULE, NULL, "the log accepts batches again");
      commit->failing = false;
      colt_metrics_time (commit->metrics, TIMING_COMMIT,
                         colt_clock_monotonic_us () - commit->batch_sent_us);
      complete_batch_ (commit);
      return;
    case COLT_LOG_FENCED:
    case COLT_LOG_SEQUENCE:
    case COLT_LOG_CONFLICT:
      colt_log (COLT_LOG_ERROR, MODULE, NULL,
                "the log rejected a batch; giving up leadership: %s %s",
                colt_log_outcome_string[answer->outcome],
                answer->error.message);
      commit->fenced = true;
      commit->client.handle_fenced (commit->client.client);
      return;
    default:
      if (!commit->failing)
        colt_log (COLT_LOG_WARNING, MODULE, NULL,
                  "appending a batch failed; retrying: %s %s",
                  colt_log_outcome_string[answer->outcome],
                  answer->error.message);
      commit->failing = true;
      schedule_flush_ (commit, RETRY_MS);
    }
}

static void
complete_batch_ (struct ColtCommit *commit)
{
  GArray *waiters = commit->batch_waiters;
  int64_t began_us = colt_clock_monotonic_us ();

  colt_cell_free_records (commit->records);
  commit->records = NULL;
  colt_cell_confirm_batch (commit->cell, began_us);
  add_time_ (commit, began_us);
  commit->batch_waiters
      = g_array_new (FALSE, FALSE, sizeof (struct ColtWaiter));
  notify_waiters_ (waiters, true);
  commit->client.handle_committed (commit->client.client);
  if (colt_cell_has_waiting_starts (commit->cell))
    commit->next_linger_ms = MIN (commit->next_linger_ms, URGENT_LINGER_MS);
  if (colt_cell_has_changes (commit->cell) || commit->waiters->len > 0)
    colt_commit_schedule (commit, commit->next_linger_ms);
  commit->next_linger_ms = LINGER_MS;
}

static void
notify_waiters_ (GArray *waiters, bool durable)
{
  guint i;

  for (i = 0; i < waiters->len; i++)
    {
      const struct ColtWaiter waiter
          = g_array_index (waiters, struct ColtWaiter, i);

      waiter.done (waiter.client, durable);
    }
  g_array_unref (waiters);
}

static void
add_time_ (struct ColtCommit *commit, int64_t began_us)
{
  if (commit->meter != NULL)
    colt_load_meter_add (commit->meter, LOAD_RECORDS, began_us);
}
