#include <string.h>

#include "leader_private.h"

/* Time after which an answer of the log counts as lost. */
#define CALL_TIMEOUT_MS 1500
#define RETRY_MS 150
#define MODULE "lead"

static void schedule_retry_ (struct ColtLeader *leader);
static void handle_fence_ (void *client, const struct ColtLogAnswer *answer);
static void load_page_ (struct ColtLeader *leader);
static void handle_page_ (void *client, const struct ColtLogAnswer *answer);
static void load_or_hold_record_ (struct ColtLeader *leader,
                                  const char *key,
                                  const uint8_t *value,
                                  size_t size);

void
colt_leader_retry (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLeader *leader = arg;

  (void)fd;
  (void)what;
  if (leader->phase == PHASE_FENCING)
    colt_leader_fence_log (leader);
  else
    load_page_ (leader);
}

void
colt_leader_fence_log (struct ColtLeader *leader)
{
  struct ColtLogAppend append = { 0 };

  append.topic = COLT_TOPIC_JOBS;
  append.producer = "lead";
  append.epoch = leader->term;
  append.timeout_ms = CALL_TIMEOUT_MS;
  leader->ports->log_append (leader->load_channel, &append, handle_fence_,
                             leader);
}

void
colt_leader_load_record (struct ColtLeader *leader,
                         const char *key,
                         const uint8_t *value,
                         size_t size)
{
  if (!colt_cell_load (leader->cell, key, value, size,
                       colt_clock_monotonic_us (),
                       colt_clock_wall_us () / COLT_US_PER_MS))
    colt_log (COLT_LOG_ERROR, MODULE, NULL,
              "record %s is malformed and ignored", key);
}

static void
schedule_retry_ (struct ColtLeader *leader)
{
  const struct timeval when = { 0, RETRY_MS * 1000 };

  event_add (leader->retry_timer, &when);
}

static void
handle_fence_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtLeader *leader = client;

  if (leader->closing)
    return;
  if (answer->outcome == COLT_LOG_DONE)
    {
      leader->phase = PHASE_LOADING;
      load_page_ (leader);
      return;
    }
  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "fencing earlier leaders failed: %s %s",
            colt_log_outcome_string[answer->outcome], answer->error.message);
  if (answer->outcome == COLT_LOG_FENCED)
    leader->client.handle_fenced (leader->client.client);
  else
    schedule_retry_ (leader);
}

static void
load_page_ (struct ColtLeader *leader)
{
  leader->ports->log_newest (leader->load_channel, COLT_TOPIC_JOBS,
                             leader->load_after, handle_page_, leader);
}

static void
handle_page_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtLeader *leader = client;
  size_t i;

  if (leader->closing)
    return;
  if (answer->outcome != COLT_LOG_DONE)
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "loading jobs failed; retrying: %s %s",
                colt_log_outcome_string[answer->outcome],
                answer->error.message);
      schedule_retry_ (leader);
      return;
    }
  for (i = 0; i < answer->count; i++)
    if (answer->records[i].value != NULL)
      load_or_hold_record_ (leader, answer->records[i].key,
                            answer->records[i].value, answer->records[i].size);
  g_clear_pointer (&leader->load_after, g_free);
  if (answer->more)
    {
      leader->load_after = g_strdup (answer->last_key);
      load_page_ (leader);
      return;
    }
  colt_leader_serve (leader);
}

/* Records of progress, whose keys start with 'p', are held until all jobs are
 * loaded, since they sort before the keys of the jobs to which they apply. */
static void
load_or_hold_record_ (struct ColtLeader *leader,
                      const char *key,
                      const uint8_t *value,
                      size_t size)
{
  size_t key_size = strlen (key) + 1;
  uint8_t *copy;

  leader->loaded_count++;
  if (key[0] != 'p')
    {
      colt_leader_load_record (leader, key, value, size);
      return;
    }
  copy = g_malloc (key_size + size);
  memcpy (copy, key, key_size);
  memcpy (copy + key_size, value, size);
  g_ptr_array_add (leader->progress_records,
                   g_bytes_new_take (copy, key_size + size));
}
