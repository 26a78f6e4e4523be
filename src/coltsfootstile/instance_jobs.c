#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/record.h"
#include "coltsfootstile/request_messages.h"
#include "instance.h"
#include "job.pb-c.h"

#define MODULE "jobs"

/* Longest time that a caller waits until its request is durable. */
#define STORE_TIMEOUT_US (3 * COLT_US_PER_S)
/* Interval of the search for jobs that are missing in the home's table of
 * requests, or whose records log retention may drop soon. */
#define RENEW_INTERVAL_US (1 * COLT_US_PER_S)
/* Highest number of jobs whose records are appended again per interval. */
#define RENEW_MAX 64u
/* Number of ends that are kept, so that an old copy of a job's record doesn't
 * restore an ended job. */
#define ENDS_MAX 65536u

/* A durable request whose home is this zone and that has not ended. */
struct ColtJob
{
  struct ColtId id;
  uint8_t *body; /* packed ColtJobWord */
  size_t size;
  int64_t appended_us; /* when its newest record was read or appended */
};

/* An ended job. */
struct ColtJobEnd
{
  struct ColtId id;
  enum ColtOutcome outcome;
};

struct ColtInstanceJobs
{
  struct ColtInstance *instance;
  GHashTable *open;        /* of struct ColtJob, by id */
  GHashTable *ended;       /* of struct ColtJobEnd, by id */
  GQueue ended_order;      /* of struct ColtJobEnd, oldest first */
  int64_t next_renewal_us; /* when the next search is due */
};

/* A pending append of a job's record. */
struct ColtJobStoreCall
{
  void (*done) (void *client, bool stored, bool certain);
  void *client;
};

static void apply_job_ (struct ColtInstanceJobs *jobs,
                        const struct ColtLogItem *item);
static void restore_request_ (void *client,
                              const struct ColtId *id,
                              const struct ColtRequestSpec *spec);
static void apply_end_ (struct ColtInstanceJobs *jobs,
                        const struct ColtLogItem *item);
static void add_end_ (struct ColtInstanceJobs *jobs,
                      const struct ColtId *id,
                      enum ColtOutcome outcome);
static bool find_outcome_ (void *client,
                           const struct ColtId *id,
                           enum ColtOutcome *outcome);
static void
store_request_ (void *client,
                const struct ColtId *id,
                const struct ColtRequestSpec *spec,
                void (*done) (void *done_client, bool stored, bool certain),
                void *done_client);
static uint8_t *pack_job_ (const struct ColtId *id,
                           const struct ColtRequestSpec *spec,
                           size_t *size);
static void
on_stored_ (void *client, enum ColtLogWriteResult result, uint64_t offset);
static void record_outcome_ (void *client,
                             const struct ColtId *id,
                             enum ColtOutcome outcome);
static void load_requests_ (void *client,
                            uint32_t shard,
                            void (*add) (void *add_client,
                                         const struct ColtId *id,
                                         const struct ColtRequestSpec *spec),
                            void *add_client);
static void load_job_ (const struct ColtJob *job,
                       void (*add) (void *add_client,
                                    const struct ColtId *id,
                                    const struct ColtRequestSpec *spec),
                       void *add_client);
static void
on_leadership_changed_ (void *client, uint32_t shard, uint64_t epoch, bool led);
static void on_server_reported_ (void *client,
                                 uint32_t shard,
                                 uint32_t server,
                                 uint32_t owner,
                                 uint64_t server_epoch);
static void on_server_written_off_ (void *client, uint32_t server);
static bool
renew_job_ (struct ColtInstanceJobs *jobs, struct ColtJob *job, int64_t now_us);
static bool is_led_ (const struct ColtInstanceJobs *jobs,
                     const struct ColtJob *job);
static void free_job_ (gpointer data);

const struct ColtHomeClient colt_instance_home_client
    = { on_leadership_changed_, on_server_reported_, on_server_written_off_,
        store_request_,         record_outcome_,     find_outcome_,
        load_requests_ };

struct ColtInstanceJobs *
colt_instance_jobs_create (struct ColtInstance *instance)
{
  struct ColtInstanceJobs *jobs = g_new0 (struct ColtInstanceJobs, 1);

  jobs->instance = instance;
  jobs->open = g_hash_table_new_full (colt_id_table_hash, colt_id_table_equal,
                                      NULL, free_job_);
  jobs->ended = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
  g_queue_init (&jobs->ended_order);
  return jobs;
}

void
colt_instance_jobs_destroy (struct ColtInstanceJobs *jobs)
{
  if (jobs == NULL)
    return;
  g_hash_table_unref (jobs->open);
  g_hash_table_unref (jobs->ended);
  g_queue_clear_full (&jobs->ended_order, g_free);
  g_free (jobs);
}

void
colt_instance_jobs_apply_record (struct ColtInstanceJobs *jobs,
                                 const struct ColtLogItem *item)
{
  if (item->kind == COLT_RECORD_JOB)
    apply_job_ (jobs, item);
  else if (item->kind == COLT_RECORD_JOB_END)
    apply_end_ (jobs, item);
}

void
colt_instance_jobs_step (struct ColtInstanceJobs *jobs, int64_t now_us)
{
  unsigned renewed = 0;
  GHashTableIter iter;
  gpointer value;

  if (now_us < jobs->next_renewal_us)
    return;
  jobs->next_renewal_us = now_us + RENEW_INTERVAL_US;
  g_hash_table_iter_init (&iter, jobs->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (!is_led_ (jobs, value))
        continue;
      load_job_ (value, restore_request_, jobs->instance->home);
      if (renewed < RENEW_MAX && renew_job_ (jobs, value, now_us))
        renewed++;
    }
}

size_t
colt_instance_jobs_count (const struct ColtInstanceJobs *jobs)
{
  return g_hash_table_size (jobs->open);
}

static void
apply_job_ (struct ColtInstanceJobs *jobs, const struct ColtLogItem *item)
{
  ColtJobWord *msg = colt_job_word__unpack (NULL, item->size, item->body);
  struct ColtJob *job;
  struct ColtId id;

  if (msg == NULL || !colt_id_read (&msg->id, &id))
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "skipping a malformed job record at offset %" G_GUINT64_FORMAT,
                item->offset);
      if (msg != NULL)
        colt_job_word__free_unpacked (msg, NULL);
      return;
    }
  colt_job_word__free_unpacked (msg, NULL);
  if (colt_id_zone (&id) != jobs->instance->zone
      || g_hash_table_contains (jobs->ended, &id))
    return;
  job = g_new0 (struct ColtJob, 1);
  job->id = id;
  job->body = g_memdup2 (item->body, item->size);
  job->size = item->size;
  job->appended_us = colt_clock_monotonic_us ();
  g_hash_table_replace (jobs->open, &job->id, job);
  load_job_ (job, restore_request_, jobs->instance->home);
}

/* The record may come from an earlier leader of the shard, so the request may
 * be missing in the home's table. */
static void
restore_request_ (void *client,
                  const struct ColtId *id,
                  const struct ColtRequestSpec *spec)
{
  colt_home_restore_request (client, id, spec);
}

static void
apply_end_ (struct ColtInstanceJobs *jobs, const struct ColtLogItem *item)
{
  ColtJobEndWord *msg
      = colt_job_end_word__unpack (NULL, item->size, item->body);
  struct ColtId id;

  if (msg == NULL)
    return;
  if (colt_id_read (&msg->id, &id) && colt_id_zone (&id) == jobs->instance->zone
      && msg->outcome < COLT_OUTCOME_COUNT)
    {
      g_hash_table_remove (jobs->open, &id);
      add_end_ (jobs, &id, (enum ColtOutcome)msg->outcome);
    }
  colt_job_end_word__free_unpacked (msg, NULL);
}

static void
add_end_ (struct ColtInstanceJobs *jobs,
          const struct ColtId *id,
          enum ColtOutcome outcome)
{
  struct ColtJobEnd *end;

  if (g_hash_table_contains (jobs->ended, id))
    return;
  end = g_new0 (struct ColtJobEnd, 1);
  end->id = *id;
  end->outcome = outcome;
  g_hash_table_insert (jobs->ended, &end->id, end);
  g_queue_push_tail (&jobs->ended_order, end);
  if (g_queue_get_length (&jobs->ended_order) <= ENDS_MAX)
    return;
  end = g_queue_pop_head (&jobs->ended_order);
  g_hash_table_remove (jobs->ended, &end->id);
  g_free (end);
}

static bool
find_outcome_ (void *client, const struct ColtId *id, enum ColtOutcome *outcome)
{
  struct ColtInstance *instance = client;
  const struct ColtJobEnd *end
      = g_hash_table_lookup (instance->jobs->ended, id);

  if (end == NULL)
    return false;
  *outcome = end->outcome;
  return true;
}

static void
store_request_ (void *client,
                const struct ColtId *id,
                const struct ColtRequestSpec *spec,
                void (*done) (void *done_client, bool stored, bool certain),
                void *done_client)
{
  struct ColtInstance *instance = client;
  struct ColtJobStoreCall *call = g_new0 (struct ColtJobStoreCall, 1);
  struct ColtLogItem item = { 0 };
  uint8_t *body = pack_job_ (id, spec, &item.size);

  call->done = done;
  call->client = done_client;
  item.kind = COLT_RECORD_JOB;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  item.body = body;
  if (colt_log_client_add (instance->log, &item,
                           colt_clock_monotonic_us () + STORE_TIMEOUT_US,
                           on_stored_, call)
      != COLT_LOG_ADD_QUEUED)
    on_stored_ (call, COLT_LOG_WRITE_NOT_DONE, 0);
  free (body);
}

static uint8_t *
pack_job_ (const struct ColtId *id,
           const struct ColtRequestSpec *spec,
           size_t *size)
{
  int64_t now_us = colt_clock_monotonic_us ();
  ColtJobWord msg = COLT_JOB_WORD__INIT;
  struct ColtSpecBuffer buffer;
  uint8_t *packed;
  uint8_t *body;

  colt_spec_fill (&buffer, spec, now_us);
  buffer.msg.deadline_left_ms = -1;
  packed = colt_message_pack (&buffer.msg.base, &msg.spec.len);
  msg.spec.data = packed;
  msg.id = colt_id_fill (id);
  if (spec->deadline_us != COLT_TIME_NEVER)
    msg.deadline_wall_ms
        = (colt_clock_wall_us () + spec->deadline_us - now_us) / COLT_US_PER_MS;
  body = colt_message_pack (&msg.base, size);
  free (packed);
  return body;
}

static void
on_stored_ (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtJobStoreCall *call = client;

  (void)offset;
  call->done (call->client, result == COLT_LOG_WRITE_DONE,
              result != COLT_LOG_WRITE_UNCERTAIN);
  g_free (call);
}

static void
record_outcome_ (void *client,
                 const struct ColtId *id,
                 enum ColtOutcome outcome)
{
  struct ColtInstance *instance = client;
  ColtJobEndWord msg = COLT_JOB_END_WORD__INIT;
  struct ColtLogItem item = { 0 };
  uint8_t *body;

  msg.id = colt_id_fill (id);
  msg.outcome = outcome;
  body = colt_message_pack (&msg.base, &item.size);
  item.kind = COLT_RECORD_JOB_END;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  item.body = body;
  if (colt_log_client_add (instance->log, &item, COLT_TIME_NEVER, NULL, NULL)
      != COLT_LOG_ADD_QUEUED)
    colt_log (COLT_LOG_ERROR, MODULE, NULL,
              "end of a job can't be queued for the log; it stays unrecorded");
  free (body);
}

static void
load_requests_ (void *client,
                uint32_t shard,
                void (*add) (void *add_client,
                             const struct ColtId *id,
                             const struct ColtRequestSpec *spec),
                void *add_client)
{
  struct ColtInstance *instance = client;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->jobs->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtJob *job = value;

      if (colt_id_shard (&job->id) == shard)
        load_job_ (job, add, add_client);
    }
}

static void
load_job_ (const struct ColtJob *job,
           void (*add) (void *add_client,
                        const struct ColtId *id,
                        const struct ColtRequestSpec *spec),
           void *add_client)
{
  ColtJobWord *msg;
  ColtSpecWord *spec_word;
  int64_t now_us = colt_clock_monotonic_us ();
  struct ColtRequestSpec spec = { 0 };

  msg = colt_job_word__unpack (NULL, job->size, job->body);
  spec_word = colt_spec_word__unpack (NULL, msg->spec.len, msg->spec.data);

  if (spec_word != NULL && colt_spec_read (spec_word, &spec, now_us))
    {
      if (msg->deadline_wall_ms > 0)
        spec.deadline_us = now_us + msg->deadline_wall_ms * COLT_US_PER_MS
                           - colt_clock_wall_us ();
      add (add_client, &job->id, &spec);
    }
  if (spec_word != NULL)
    colt_spec_word__free_unpacked (spec_word, NULL);
  colt_job_word__free_unpacked (msg, NULL);
}

static void
on_leadership_changed_ (void *client, uint32_t shard, uint64_t epoch, bool led)
{
  struct ColtInstance *instance = client;

  colt_instance_limits_set_leadership (instance->limits, shard, epoch, led);
}

static void
on_server_reported_ (void *client,
                     uint32_t shard,
                     uint32_t server,
                     uint32_t owner,
                     uint64_t server_epoch)
{
  struct ColtInstance *instance = client;

  colt_instance_limits_record_owner (instance->limits, shard, server, owner,
                                     server_epoch);
}

static void
on_server_written_off_ (void *client, uint32_t server)
{
  struct ColtInstance *instance = client;

  colt_instance_limits_remove_server (instance->limits, server);
}

static bool
is_led_ (const struct ColtInstanceJobs *jobs, const struct ColtJob *job)
{
  return colt_requests_shard_epoch (colt_home_requests (jobs->instance->home),
                                    colt_id_shard (&job->id))
         != 0;
}

/* Appends a job's record again when half of the log's retention has passed.
 * Returns whether that was due. */
static bool
renew_job_ (struct ColtInstanceJobs *jobs, struct ColtJob *job, int64_t now_us)
{
  struct ColtInstance *instance = jobs->instance;
  int64_t retention_us = colt_settings_integer (instance->settings, "platform",
                                                "log_retention_s")
                         * COLT_US_PER_S;
  struct ColtLogItem item = { 0 };

  if (now_us - job->appended_us < retention_us / 2)
    return false;
  item.kind = COLT_RECORD_JOB;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  item.body = job->body;
  item.size = job->size;
  if (colt_log_client_add (instance->log, &item, now_us + STORE_TIMEOUT_US,
                           NULL, NULL)
      == COLT_LOG_ADD_QUEUED)
    job->appended_us = now_us;
  return true;
}

static void
free_job_ (gpointer data)
{
  struct ColtJob *job = data;

  g_free (job->body);
  g_free (job);
}
