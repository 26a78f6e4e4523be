#include <string.h>

#include "lead_private.h"

/* An answer of the log is lost after this time. */
#define CALL_TIMEOUT_MS 1500
#define RETRY_MS 150
#define MODULE "lead"

static void retry_later_ (struct ColtLead *lead);
static void take_fence_ (void *client, const struct ColtLogAnswer *answer);
static void load_ (struct ColtLead *lead);
static void take_page_ (void *client, const struct ColtLogAnswer *answer);
static void keep_record_ (struct ColtLead *lead,
                          const char *key,
                          const uint8_t *value,
                          size_t size);

void
colt_lead_retry (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLead *lead = arg;

  (void)fd;
  (void)what;
  if (lead->phase == PHASE_FENCING)
    colt_lead_fence (lead);
  else
    load_ (lead);
}

void
colt_lead_fence (struct ColtLead *lead)
{
  struct ColtLogAppend append = { 0 };

  append.topic = COLT_TOPIC_JOBS;
  append.producer = "lead";
  append.epoch = lead->term;
  append.timeout_ms = CALL_TIMEOUT_MS;
  lead->ports->log_append (lead->channel, &append, take_fence_, lead);
}

void
colt_lead_load_record (struct ColtLead *lead,
                       const char *key,
                       const uint8_t *value,
                       size_t size)
{
  if (!colt_cell_load (lead->cell, key, value, size, colt_clock_monotonic_us (),
                       colt_clock_wall_us () / COLT_US_PER_MS))
    colt_log (COLT_LOG_ERROR, MODULE, NULL, "record %s can't be read", key);
}

static void
retry_later_ (struct ColtLead *lead)
{
  const struct timeval when = { 0, RETRY_MS * 1000 };

  event_add (lead->retry, &when);
}

static void
take_fence_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtLead *lead = client;

  if (lead->closing)
    return;
  if (answer->outcome == COLT_LOG_DONE)
    {
      lead->phase = PHASE_LOADING;
      load_ (lead);
      return;
    }
  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "earlier leads can't be shut out: %s %s",
            colt_log_outcome_string[answer->outcome], answer->error.message);
  if (answer->outcome == COLT_LOG_FENCED)
    lead->client.fenced (lead->client.client);
  else
    retry_later_ (lead);
}

static void
load_ (struct ColtLead *lead)
{
  lead->ports->log_newest (lead->channel, COLT_TOPIC_JOBS, lead->after,
                           take_page_, lead);
}

static void
take_page_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtLead *lead = client;
  size_t i;

  if (lead->closing)
    return;
  if (answer->outcome != COLT_LOG_DONE)
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL, "jobs can't be read: %s %s",
                colt_log_outcome_string[answer->outcome],
                answer->error.message);
      retry_later_ (lead);
      return;
    }
  for (i = 0; i < answer->count; i++)
    if (answer->records[i].value != NULL)
      keep_record_ (lead, answer->records[i].key, answer->records[i].value,
                    answer->records[i].size);
  g_clear_pointer (&lead->after, g_free);
  if (answer->more && answer->count > 0)
    {
      lead->after = g_strdup (answer->records[answer->count - 1].key);
      load_ (lead);
      return;
    }
  colt_lead_serve (lead);
}

/* Progress can only be applied to jobs that are there; keys of progress come
 * before those of jobs. */
static void
keep_record_ (struct ColtLead *lead,
              const char *key,
              const uint8_t *value,
              size_t size)
{
  size_t key_size = strlen (key) + 1;
  uint8_t *kept;

  lead->loaded++;
  if (key[0] != 'p')
    {
      colt_lead_load_record (lead, key, value, size);
      return;
    }
  kept = g_malloc (key_size + size);
  memcpy (kept, key, key_size);
  memcpy (kept + key_size, value, size);
  g_ptr_array_add (lead->loading, g_bytes_new_take (kept, key_size + size));
}
