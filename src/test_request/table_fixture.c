#include "table_fixture.h"

static char *
format_task_key (const struct ColtRequest *request, uint32_t index)
{
  char text[COLT_ID_TEXT_SIZE];

  return g_strdup_printf ("%s-%u", colt_id_format (&request->id, text), index);
}

static void
queue_task (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtTableFixture *fixture = client;

  fixture->queued_count++;
  g_assert_true (
      g_hash_table_add (fixture->queued, format_task_key (request, index)));
}

static void
unqueue_task (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtTableFixture *fixture = client;
  char *key = format_task_key (request, index);

  fixture->unqueued_count++;
  g_hash_table_remove (fixture->queued, key);
  g_free (key);
}

static void
stop_task (void *client, const struct ColtRequest *request, uint32_t index)
{
  struct ColtTableFixture *fixture = client;

  g_assert_cmpuint (request->tasks[index].server, ==, TEST_SERVER);
  fixture->stop_count++;
}

static void
on_ended (void *client, const struct ColtRequest *request)
{
  struct ColtTableFixture *fixture = client;

  fixture->ended_count++;
  fixture->outcome = request->outcome;
  fixture->reason = request->reason;
}

static bool
consume_retry (void *client, const char *team, int64_t now_us)
{
  struct ColtTableFixture *fixture = client;

  g_assert_cmpstr (team, ==, "quotes");
  g_assert_cmpint (now_us, ==, fixture->now_us);
  if (fixture->retries == 0)
    return false;
  fixture->retries--;
  return true;
}

static uint32_t
random_number (void *client)
{
  const struct ColtTableFixture *fixture = client;

  return fixture->random;
}

static const struct ColtRequestCalls calls
    = { queue_task, unqueue_task,  stop_task,
        on_ended,   consume_retry, random_number };

void
table_set_up (struct ColtTableFixture *fixture, gconstpointer data)
{
  uint32_t shard;

  (void)data;
  fixture->requests = colt_requests_create (&calls, fixture);
  fixture->queued
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fixture->retries = 100;
  fixture->now_us = COLT_US_PER_S;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      colt_requests_open_shard (fixture->requests, shard, TEST_SHARD_EPOCH,
                                NULL, NULL, NULL, 0, fixture->now_us);
      colt_requests_set_known_since (fixture->requests, shard, 0);
    }
}

void
table_tear_down (struct ColtTableFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_requests_destroy (fixture->requests);
  g_hash_table_unref (fixture->queued);
}

struct ColtId
table_id (uint8_t number)
{
  const uint8_t random[10] = { number, 1, 2, 3, 4, 5, 6, 7, 8, 9 };

  return colt_id_mint (1, TEST_WALL_S, random);
}

struct ColtRequestSpec
table_spec (bool idempotent)
{
  struct ColtRequestSpec spec = { .team = "quotes",
                                  .queue = "quotes",
                                  .tasks = 1,
                                  .idempotent = idempotent,
                                  .max_attempts = idempotent ? 3 : 1,
                                  .deadline_us = COLT_TIME_NEVER,
                                  .payload = (const uint8_t *)"work",
                                  .payload_size = 4 };

  return spec;
}

enum ColtSubmitStatus
table_submit (struct ColtTableFixture *fixture,
              const struct ColtId *id,
              const struct ColtRequestSpec *spec)
{
  enum ColtReason reason;

  return colt_requests_submit (fixture->requests, id, spec, true, 1,
                               TEST_WALL_S, fixture->now_us, &reason);
}

enum ColtSubmitStatus
table_submit_again (struct ColtTableFixture *fixture,
                    const struct ColtId *id,
                    const struct ColtRequestSpec *spec,
                    uint32_t wall_s,
                    enum ColtReason *reason)
{
  return colt_requests_submit (fixture->requests, id, spec, false, 2, wall_s,
                               fixture->now_us, reason);
}

struct ColtTaskRef
table_begin_attempt (struct ColtTableFixture *fixture,
                     const struct ColtId *id,
                     uint32_t index)
{
  char text[COLT_ID_TEXT_SIZE];
  char *key = g_strdup_printf ("%s-%u", colt_id_format (id, text), index);
  struct ColtTaskRef ref;

  g_assert_true (g_hash_table_remove (fixture->queued, key));
  g_free (key);
  g_assert_true (colt_requests_begin_attempt (
      fixture->requests, id, index, TEST_SERVER, TEST_SERVER_EPOCH, &ref));
  return ref;
}

struct ColtTaskReport
table_make_report (const struct ColtTaskRef *ref, enum ColtTaskState state)
{
  struct ColtTaskReport report = { .ref = *ref,
                                   .shard_epoch = TEST_SHARD_EPOCH,
                                   .team = "quotes",
                                   .state = state,
                                   .run_ms = 5 };

  if (state != COLT_TASK_RUNNING)
    {
      report.result = (const uint8_t *)"answer";
      report.result_size = 6;
    }
  return report;
}

void
table_end_attempt (struct ColtTableFixture *fixture,
                   const struct ColtTaskRef *ref,
                   enum ColtTaskState state)
{
  struct ColtTaskReport report = table_make_report (ref, state);

  colt_requests_handle_end (fixture->requests, &report, fixture->now_us);
}

void
table_advance (struct ColtTableFixture *fixture, int64_t span_us)
{
  fixture->now_us += span_us;
  colt_requests_run_timers (fixture->requests, fixture->now_us);
}

void
table_reopen_shard (struct ColtTableFixture *fixture,
                    const struct ColtId *id,
                    const struct ColtTaskReport *reports,
                    size_t count,
                    uint32_t known_since_s)
{
  uint32_t shard = colt_id_shard (id);
  uint32_t *servers = g_new (uint32_t, count + 1);
  uint64_t *epochs = g_new (uint64_t, count + 1);
  size_t i;

  for (i = 0; i < count; i++)
    {
      servers[i] = TEST_SERVER;
      epochs[i] = TEST_SERVER_EPOCH;
    }
  colt_requests_open_shard (fixture->requests, shard, TEST_SHARD_EPOCH + 1,
                            reports, servers, epochs, count, fixture->now_us);
  colt_requests_set_known_since (fixture->requests, shard, known_since_s);
  g_free (servers);
  g_free (epochs);
}

void
table_assert_idle (struct ColtTableFixture *fixture)
{
  struct ColtRequestStats stats;

  colt_requests_get_stats (fixture->requests, &stats);
  g_assert_cmpuint (stats.open, ==, 0);
  g_assert_cmpuint (stats.recovered, ==, 0);
  g_assert_cmpuint (stats.waiting, ==, 0);
  g_assert_cmpuint (stats.sent, ==, 0);
  g_assert_cmpuint (stats.running, ==, 0);
  g_assert_cmpuint (stats.payload_bytes, ==, 0);
}
