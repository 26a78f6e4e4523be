#include "fake_ports.h"

#include <string.h>

#include "coltsfootstile/clock.h"
#include "jobs.h"

/* Time that an answer takes. */
#define ANSWER_MS 2
/* Period in which an open read checks for records; shorter than at a real log.
 */
#define POLL_MS 5
/* An answer of an unresponsive log counts as lost this long after it is due. */
#define UNRESPONSIVE_TIMEOUT_US (600 * COLT_US_PER_MS)
/* Time that the answer to a stale read takes. */
#define STALE_READ_MS 200

struct ColtLogChannel
{
  struct ColtFakePorts *fake;
  uint32_t group;
};

struct ColtServerChannel
{
  struct ColtFakePorts *fake;
  uint64_t connection; /* number of the present one; ends with a failed call */
  bool closed;         /* its open calls end without a callback */
};

struct ColtFakeCall
{
  struct ColtFakePorts *fake;
  struct ColtLogChannel *channel;
  bool closed; /* ended because its channel was closed */
  ColtLogCallDone done;
  void *client;
  struct ColtLogAnswer answer;
  enum ColtTopic topic;
  int64_t from;
  int64_t read_end; /* offset at which a stale read ends; 0: the topic's end */
  bool is_read;
  bool newest;           /* reads the newest records of all keys */
  int64_t wait_until_us; /* when a read without records is answered */
};

struct ColtFakeServerCall
{
  struct ColtFakePorts *fake;
  struct ColtServerChannel *channel;
  enum ColtStartResult result;
  bool is_renewal;
  int64_t sent_us;
  ColtServerCallDone done;
  void *client;
};

static void
schedule (struct ColtFakePorts *fake,
          uint32_t ms,
          event_callback_fn callback,
          void *arg)
{
  const struct timeval when = { 0, (suseconds_t)ms * 1000 };

  if (!g_hash_table_contains (fake->calls, arg))
    g_hash_table_add (fake->calls, arg);
  event_base_once (fake->base, -1, EV_TIMEOUT, callback, arg, &when);
}

static struct ColtLogChannel *
log_open (void *adapter)
{
  struct ColtLogChannel *channel = g_new0 (struct ColtLogChannel, 1);

  channel->fake = adapter;
  channel->group = channel->fake->group;
  return channel;
}

/* Returns whether the log turns away the owner of a channel. */
static bool
is_rejected (const struct ColtLogChannel *channel)
{
  return (channel->fake->rejected_groups & 1u << channel->group) != 0;
}

/* Ends the open calls of the channel, with an unknown outcome. */
static void
log_close (struct ColtLogChannel *channel)
{
  GList *calls = g_hash_table_get_keys (channel->fake->log_calls);
  GList *link;

  for (link = calls; link != NULL; link = link->next)
    {
      struct ColtFakeCall *call = link->data;

      if (call->channel != channel || call->closed)
        continue;
      call->closed = true;
      call->answer.outcome = COLT_LOG_UNKNOWN;
      call->done (call->client, &call->answer);
    }
  g_list_free (calls);
  g_free (channel);
}

static void
free_log_call (struct ColtFakeCall *call)
{
  g_hash_table_remove (call->fake->log_calls, call);
  g_hash_table_remove (call->fake->calls, call);
}

static void
add_records (struct ColtFakeCall *call, GArray *records)
{
  GArray *topic = call->fake->topics[call->topic];
  int64_t i;

  for (i = call->from;
       i < (call->read_end > 0 ? call->read_end : (int64_t)topic->len); i++)
    {
      const struct ColtFakeRecord *record
          = &g_array_index (topic, struct ColtFakeRecord, i);
      struct ColtLogRecord out = { record->key, NULL, 0, i };

      if (record->value != NULL)
        out.value = g_bytes_get_data (record->value, &out.size);
      g_array_append_val (records, out);
    }
}

static void
on_log_answer_due (evutil_socket_t fd, short what, void *arg)
{
  struct ColtFakeCall *call = arg;
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct ColtLogRecord));
  GArray *topic = call->fake->topics[call->topic];

  (void)fd;
  (void)what;
  if (call->closed)
    {
      g_array_unref (records);
      free_log_call (call);
      return;
    }
  if (call->is_read
      && ((call->newest ? call->fake->held_topics : call->fake->held_reads)
          & 1u << call->topic)
             != 0)
    {
      g_array_unref (records);
      schedule (call->fake, POLL_MS, on_log_answer_due, call);
      return;
    }
  if (call->is_read && call->fake->fault == FAULT_UNRESPONSIVE)
    {
      if (colt_clock_monotonic_us ()
          < call->wait_until_us + UNRESPONSIVE_TIMEOUT_US)
        {
          g_array_unref (records);
          schedule (call->fake, POLL_MS, on_log_answer_due, call);
          return;
        }
      call->answer.outcome = COLT_LOG_UNKNOWN;
    }
  else if (call->is_read
           && (call->fake->fault == FAULT_DOWN || is_rejected (call->channel)))
    call->answer.outcome = COLT_LOG_NOT_DONE;
  else if (call->is_read && !call->newest
           && call->from < call->fake->first_offset[call->topic])
    call->answer.outcome = COLT_LOG_EXPIRED;
  else if (call->is_read)
    {
      if (!call->newest && call->from >= (int64_t)topic->len
          && colt_clock_monotonic_us () < call->wait_until_us)
        {
          g_array_unref (records);
          schedule (call->fake, POLL_MS, on_log_answer_due, call);
          return;
        }
      add_records (call, records);
      call->answer.end = topic->len;
    }
  call->answer.records = (const struct ColtLogRecord *)records->data;
  call->answer.count = records->len;
  call->done (call->client, &call->answer);
  g_array_unref (records);
  free_log_call (call);
}

static enum ColtLogOutcome
check_append (struct ColtFakePorts *fake, const struct ColtLogAppend *append)
{
  if (append->conditional
      && append->at != (int64_t)fake->topics[append->topic]->len)
    return COLT_LOG_CONFLICT;
  if (append->producer == NULL)
    return COLT_LOG_DONE;
  if (append->epoch < fake->epoch)
    return COLT_LOG_FENCED;
  if (append->epoch == fake->epoch && append->sequence != fake->sequence + 1
      && append->sequence != fake->sequence && append->count > 0)
    return COLT_LOG_SEQUENCE;
  return COLT_LOG_DONE;
}

static void
log_append (struct ColtLogChannel *channel,
            const struct ColtLogAppend *append,
            ColtLogCallDone done,
            void *client)
{
  struct ColtFakePorts *fake = channel->fake;
  struct ColtFakeCall *call = g_new0 (struct ColtFakeCall, 1);
  bool is_repeat = append->producer != NULL && append->epoch == fake->epoch
                   && append->sequence == fake->sequence && append->count > 0;
  size_t i;

  fake->appends++;
  fake->last_append_us = colt_clock_monotonic_us ();
  call->fake = fake;
  call->channel = channel;
  g_hash_table_add (fake->log_calls, call);
  call->done = done;
  call->client = client;
  call->topic = append->topic;
  call->answer.sent_us = colt_clock_monotonic_us ();
  call->answer.outcome = check_append (fake, append);
  if (fake->fault == FAULT_REFUSED || fake->fault == FAULT_DOWN
      || is_rejected (channel))
    call->answer.outcome = COLT_LOG_NOT_DONE;
  else if (fake->fault == FAULT_TOO_LARGE)
    call->answer.outcome = COLT_LOG_INVALID;
  else if (fake->fault == FAULT_LOST_APPENDS)
    call->answer.outcome = COLT_LOG_UNKNOWN;
  else if (call->answer.outcome == COLT_LOG_DONE)
    {
      if (append->producer != NULL)
        {
          fake->epoch = append->epoch;
          fake->sequence = append->sequence;
        }
      for (i = 0; i < append->count && !is_repeat; i++)
        {
          struct ColtFakeRecord record
              = { g_strdup (append->records[i].key), NULL };

          if (append->records[i].value != NULL)
            record.value = g_bytes_new (append->records[i].value,
                                        append->records[i].size);
          g_array_append_val (fake->topics[append->topic], record);
        }
      call->answer.end = fake->topics[append->topic]->len;
      if (fake->fault == FAULT_LOST_ANSWERS
          || fake->fault == FAULT_UNRESPONSIVE)
        call->answer.outcome = COLT_LOG_UNKNOWN;
    }
  schedule (fake, ANSWER_MS, on_log_answer_due, call);
}

static void
log_read (struct ColtLogChannel *channel,
          enum ColtTopic topic,
          int64_t from,
          uint32_t wait_ms,
          ColtLogCallDone done,
          void *client)
{
  struct ColtFakeCall *call = g_new0 (struct ColtFakeCall, 1);

  call->fake = channel->fake;
  call->channel = channel;
  g_hash_table_add (channel->fake->log_calls, call);
  call->done = done;
  call->client = client;
  call->topic = topic;
  call->from = from;
  call->is_read = true;
  call->answer.sent_us = colt_clock_monotonic_us ();
  call->wait_until_us
      = colt_clock_monotonic_us () + (int64_t)wait_ms * COLT_US_PER_MS;
  if (wait_ms == 0)
    channel->fake->immediate_reads++;
  if (wait_ms == 0 && channel->fake->fault == FAULT_STALE_READS)
    {
      call->read_end = channel->fake->topics[topic]->len;
      schedule (channel->fake, STALE_READ_MS, on_log_answer_due, call);
    }
  else
    schedule (channel->fake, ANSWER_MS, on_log_answer_due, call);
}

static void
log_end (struct ColtLogChannel *channel,
         enum ColtTopic topic,
         ColtLogCallDone done,
         void *client)
{
  log_read (channel, topic, INT64_MAX, 0, done, client);
}

/* Returns all records of the topic, in one page. */
static void
log_newest (struct ColtLogChannel *channel,
            enum ColtTopic topic,
            const char *after_key,
            ColtLogCallDone done,
            void *client)
{
  struct ColtFakeCall *call = g_new0 (struct ColtFakeCall, 1);

  (void)after_key;
  call->fake = channel->fake;
  call->channel = channel;
  g_hash_table_add (channel->fake->log_calls, call);
  call->done = done;
  call->client = client;
  call->topic = topic;
  call->is_read = true;
  call->answer.sent_us = colt_clock_monotonic_us ();
  call->newest = true;
  schedule (channel->fake, ANSWER_MS, on_log_answer_due, call);
}

void
colt_fake_ports_end_connections (struct ColtFakePorts *fake)
{
  guint i;

  for (i = 0; i < fake->server_channels->len; i++)
    {
      struct ColtServerChannel *channel
          = g_ptr_array_index (fake->server_channels, i);

      channel->connection++;
    }
}

static struct ColtServerChannel *
server_open (void *adapter, const char *address, const char *id)
{
  struct ColtServerChannel *channel = g_new0 (struct ColtServerChannel, 1);

  (void)address;
  (void)id;
  channel->fake = adapter;
  channel->connection = 1;
  g_ptr_array_add (channel->fake->server_channels, channel);
  return channel;
}

static void
server_close (struct ColtServerChannel *channel)
{
  channel->closed = true;
}

static void
on_server_answer_due (evutil_socket_t fd, short what, void *arg)
{
  struct ColtFakeServerCall *call = arg;
  struct ColtServerAnswer out = call->fake->server_answer;

  (void)fd;
  (void)what;
  out.result = call->result;
  out.received_us = colt_clock_monotonic_us ();
  out.clock_ms = out.received_us / COLT_US_PER_MS + call->fake->server_clock_ms;
  out.sent_us = call->sent_us;
  if (!call->is_renewal)
    out.incarnation_ms = 0;
  if (out.result == COLT_START_UNKNOWN || out.result == COLT_START_NOT_SENT)
    call->channel->connection++;
  else if (call->fake->keeps_connections)
    out.connection = call->channel->connection;
  if (!call->channel->closed)
    call->done (call->client, &out);
  g_hash_table_remove (call->fake->calls, call);
}

static void
schedule_server_answer (struct ColtServerChannel *channel,
                        enum ColtStartResult result,
                        bool is_renewal,
                        uint32_t answer_ms,
                        ColtServerCallDone done,
                        void *client)
{
  struct ColtFakeServerCall *call = g_new0 (struct ColtFakeServerCall, 1);

  call->fake = channel->fake;
  call->channel = channel;
  call->result = result;
  call->is_renewal = is_renewal;
  call->sent_us = colt_clock_monotonic_us ();
  call->done = done;
  call->client = client;
  schedule (channel->fake, answer_ms, on_server_answer_due, call);
}

static void
server_start (struct ColtServerChannel *channel,
              const struct ColtServerStart *start,
              ColtServerCallDone done,
              void *client)
{
  enum ColtStartResult result;

  channel->fake->last_start_connection = start->connection;
  if (channel->fake->lost_start_connections > 0)
    {
      channel->fake->lost_start_connections--;
      channel->connection++;
    }
  if (start->connection != 0 && start->connection != channel->connection)
    {
      schedule_server_answer (channel, COLT_START_NOT_SENT, false, ANSWER_MS,
                              done, client);
      return;
    }
  result = channel->fake->starts < channel->fake->start_result_count
               ? channel->fake->start_results[channel->fake->starts]
               : channel->fake->server_answer.result;
  channel->fake->starts++;
  schedule_server_answer (channel, result, false,
                          channel->fake->start_answer_ms > 0
                              ? channel->fake->start_answer_ms
                              : ANSWER_MS,
                          done, client);
}

static void
server_stop (struct ColtServerChannel *channel,
             const char *task,
             uint32_t run,
             uint64_t token,
             uint32_t timeout_ms,
             ColtServerCallDone done,
             void *client)
{
  (void)task;
  (void)run;
  (void)token;
  (void)timeout_ms;
  channel->fake->stops++;
  schedule_server_answer (channel, channel->fake->server_answer.result, false,
                          ANSWER_MS, done, client);
}

static void
server_renew (struct ColtServerChannel *channel,
              const struct ColtServerRenewal *renewal,
              ColtServerCallDone done,
              void *client)
{
  if (renewal->connection != 0 && renewal->connection != channel->connection)
    {
      schedule_server_answer (channel, COLT_START_NOT_SENT, true, ANSWER_MS,
                              done, client);
      return;
    }
  channel->fake->renewals++;
  channel->fake->last_renewal = *renewal;
  schedule_server_answer (channel, channel->fake->server_answer.result, true,
                          channel->fake->renewal_answer_ms > 0
                              ? channel->fake->renewal_answer_ms
                              : ANSWER_MS,
                          done, client);
}

/* Decodes any record as the entry of a ready server whose id is the record's
 * key, and whose address is its value. */
static bool
decode_server (void *adapter,
               const struct ColtLogRecord *record,
               ColtServerEntryHandler handler,
               void *client,
               struct ColtError *error)
{
  const struct ColtFakePorts *fake = adapter;
  struct ColtServerEntry entry = { 0 };
  char *address = g_strndup ((const char *)record->value, record->size);

  (void)error;
  entry.id = record->key;
  entry.service = "service";
  entry.address = address;
  entry.zone = "zone";
  entry.ready = true;
  entry.incarnation_ms = fake->entry_incarnation_ms;
  handler (client, &entry);
  g_free (address);
  return true;
}

static void
clear_record (gpointer data)
{
  struct ColtFakeRecord *record = data;

  g_free (record->key);
  g_clear_pointer (&record->value, g_bytes_unref);
}

/* Takes any key that begins with "evacuate/" as a request. */
static bool
decode_evacuation (void *adapter,
                   const struct ColtLogRecord *record,
                   char **zone)
{
  (void)adapter;
  *zone = NULL;
  if (!g_str_has_prefix (record->key, "evacuate/"))
    return false;
  if (strlen (record->key) > strlen ("evacuate/"))
    *zone = g_strdup (record->key + strlen ("evacuate/"));
  return true;
}

/* Decodes any record as a configuration with one queue, which is open. */
static struct ColtFleet *
decode_fleet (void *adapter,
              const struct ColtLogRecord *record,
              struct ColtError *error)
{
  struct ColtFleet *fleet = colt_test_make_fleet ();
  struct ColtQueueConfig *queue = g_ptr_array_index (fleet->queues, 0);
  char *text = g_strndup ((const char *)record->value, record->size);

  (void)adapter;
  (void)error;
  queue->open = true;
  fleet->version = MAX (g_ascii_strtoll (text, NULL, 10), 1);
  g_free (text);
  return fleet;
}

static struct ColtAdviserChannel *
open_adviser (void *adapter)
{
  (void)adapter;
  return NULL;
}

static void
close_adviser (struct ColtAdviserChannel *channel)
{
  (void)channel;
}

static bool
start_listening (void *adapter,
                 const struct ColtCallerServer *handlers,
                 struct ColtError *error)
{
  struct ColtFakePorts *fake = adapter;

  (void)error;
  fake->handlers = *handlers;
  return true;
}

static void
stop_listening (void *adapter)
{
  (void)adapter;
}

struct ColtFakePorts *
colt_fake_ports_create (void)
{
  struct ColtFakePorts *fake = g_new0 (struct ColtFakePorts, 1);
  int i;

  fake->base = event_base_new ();
  fake->log_calls = g_hash_table_new (g_direct_hash, g_direct_equal);
  fake->server_channels = g_ptr_array_new_with_free_func (g_free);
  fake->calls
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, g_free, NULL);
  for (i = 0; i <= COLT_TOPIC_JOBS; i++)
    {
      fake->topics[i]
          = g_array_new (FALSE, TRUE, sizeof (struct ColtFakeRecord));
      g_array_set_clear_func (fake->topics[i], clear_record);
    }
  fake->server_answer.has_clock = true;
  fake->ports.adapter = fake;
  fake->ports.log_open = log_open;
  fake->ports.log_close = log_close;
  fake->ports.log_append = log_append;
  fake->ports.log_read = log_read;
  fake->ports.log_newest = log_newest;
  fake->ports.log_end = log_end;
  fake->ports.decode_server = decode_server;
  fake->ports.server_open = server_open;
  fake->ports.server_close = server_close;
  fake->ports.server_start = server_start;
  fake->ports.server_stop = server_stop;
  fake->ports.server_renew = server_renew;
  fake->ports.decode_fleet = decode_fleet;
  fake->ports.decode_evacuation = decode_evacuation;
  fake->ports.adviser_open = open_adviser;
  fake->ports.adviser_close = close_adviser;
  fake->ports.listen = start_listening;
  fake->ports.stop_listening = stop_listening;
  return fake;
}

void
colt_fake_ports_destroy (struct ColtFakePorts *fake)
{
  int i;

  event_base_free (fake->base);
  g_hash_table_unref (fake->log_calls);
  g_ptr_array_unref (fake->server_channels);
  g_hash_table_unref (fake->calls);
  for (i = 0; i <= COLT_TOPIC_JOBS; i++)
    g_array_unref (fake->topics[i]);
  g_free (fake);
}

void
colt_fake_ports_run (struct ColtFakePorts *fake, uint32_t ms)
{
  const struct timeval when = { ms / 1000, (suseconds_t)(ms % 1000) * 1000 };

  event_base_loopexit (fake->base, &when);
  event_base_dispatch (fake->base);
}

void
colt_fake_ports_put (struct ColtFakePorts *fake,
                     enum ColtTopic topic,
                     const char *key,
                     const char *value)
{
  struct ColtFakeRecord record
      = { g_strdup (key), g_bytes_new (value, strlen (value)) };

  g_array_append_val (fake->topics[topic], record);
}
