#include "fake_ports.h"

#include <string.h>

#include "coltsfootstile/clock.h"

#define ANSWER_MS 2
/* Reads wait less here than a log would. */
#define POLL_MS 5
/* An answer of a silent log counts as lost this long after its time. */
#define SILENT_US (600 * COLT_US_PER_MS)
/* Time that an old answer to a read takes. */
#define OLD_READ_MS 200

struct ColtLogChannel
{
  struct ColtFakePorts *fake;
};

struct ColtServerChannel
{
  struct ColtFakePorts *fake;
};

struct ColtFakeCall
{
  struct ColtFakePorts *fake;
  struct ColtLogChannel *channel;
  bool closed; /* it ended with its channel */
  ColtLogCallDone done;
  void *client;
  struct ColtLogAnswer answer;
  enum ColtTopic topic;
  int64_t from;
  int64_t last; /* where an old answer ends; 0: at the topic's end */
  bool reads;
  bool newest;
  int64_t until_us;
};

struct ColtFakeServerCall
{
  struct ColtFakePorts *fake;
  enum ColtStartResult result;
  ColtServerCallDone done;
  void *client;
};

static void
after (struct ColtFakePorts *fake,
       uint32_t ms,
       event_callback_fn call,
       void *arg)
{
  const struct timeval when = { 0, (suseconds_t)ms * 1000 };

  if (!g_hash_table_contains (fake->calls, arg))
    g_hash_table_add (fake->calls, arg);
  event_base_once (fake->base, -1, EV_TIMEOUT, call, arg, &when);
}

static struct ColtLogChannel *
log_open (void *adapter)
{
  struct ColtLogChannel *channel = g_new0 (struct ColtLogChannel, 1);

  channel->fake = adapter;
  return channel;
}

/* Calls of a channel end with it. */
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
forget (struct ColtFakeCall *call)
{
  g_hash_table_remove (call->fake->log_calls, call);
  g_hash_table_remove (call->fake->calls, call);
}

static void
add_records (struct ColtFakeCall *call, GArray *records)
{
  GArray *topic = call->fake->topics[call->topic];
  int64_t i;

  for (i = call->from; i < (call->last > 0 ? call->last : (int64_t)topic->len);
       i++)
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
answer (evutil_socket_t fd, short what, void *arg)
{
  struct ColtFakeCall *call = arg;
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct ColtLogRecord));
  GArray *topic = call->fake->topics[call->topic];

  (void)fd;
  (void)what;
  if (call->closed)
    {
      g_array_unref (records);
      forget (call);
      return;
    }
  if (call->reads && call->fake->fault == FAULT_SILENT)
    {
      if (colt_clock_monotonic_us () < call->until_us + SILENT_US)
        {
          g_array_unref (records);
          after (call->fake, POLL_MS, answer, call);
          return;
        }
      call->answer.outcome = COLT_LOG_UNKNOWN;
    }
  else if (call->reads && call->fake->fault == FAULT_DOWN)
    call->answer.outcome = COLT_LOG_NOT_DONE;
  else if (call->reads && !call->newest
           && call->from < call->fake->first[call->topic])
    call->answer.outcome = COLT_LOG_EXPIRED;
  else if (call->reads)
    {
      if (!call->newest && call->from >= (int64_t)topic->len
          && colt_clock_monotonic_us () < call->until_us)
        {
          g_array_unref (records);
          after (call->fake, POLL_MS, answer, call);
          return;
        }
      add_records (call, records);
      call->answer.end = topic->len;
    }
  call->answer.records = (const struct ColtLogRecord *)records->data;
  call->answer.count = records->len;
  call->done (call->client, &call->answer);
  g_array_unref (records);
  forget (call);
}

static enum ColtLogOutcome
judge (struct ColtFakePorts *fake, const struct ColtLogAppend *append)
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
  bool repeats = append->producer != NULL && append->epoch == fake->epoch
                 && append->sequence == fake->sequence && append->count > 0;
  size_t i;

  fake->appends++;
  call->fake = fake;
  call->channel = channel;
  g_hash_table_add (fake->log_calls, call);
  call->done = done;
  call->client = client;
  call->topic = append->topic;
  call->answer.sent_us = colt_clock_monotonic_us ();
  call->answer.outcome = judge (fake, append);
  if (fake->fault == FAULT_REFUSED || fake->fault == FAULT_DOWN)
    call->answer.outcome = COLT_LOG_NOT_DONE;
  else if (fake->fault == FAULT_VANISHED)
    call->answer.outcome = COLT_LOG_UNKNOWN;
  else if (call->answer.outcome == COLT_LOG_DONE)
    {
      if (append->producer != NULL)
        {
          fake->epoch = append->epoch;
          fake->sequence = append->sequence;
        }
      for (i = 0; i < append->count && !repeats; i++)
        {
          struct ColtFakeRecord record
              = { g_strdup (append->records[i].key), NULL };

          if (append->records[i].value != NULL)
            record.value = g_bytes_new (append->records[i].value,
                                        append->records[i].size);
          g_array_append_val (fake->topics[append->topic], record);
        }
      call->answer.end = fake->topics[append->topic]->len;
      if (fake->fault == FAULT_LOST || fake->fault == FAULT_SILENT)
        call->answer.outcome = COLT_LOG_UNKNOWN;
    }
  after (fake, ANSWER_MS, answer, call);
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
  call->reads = true;
  call->until_us
      = colt_clock_monotonic_us () + (int64_t)wait_ms * COLT_US_PER_MS;
  if (wait_ms == 0)
    channel->fake->probes++;
  if (wait_ms == 0 && channel->fake->fault == FAULT_OLD_READS)
    {
      call->last = channel->fake->topics[topic]->len;
      after (channel->fake, OLD_READ_MS, answer, call);
    }
  else
    after (channel->fake, ANSWER_MS, answer, call);
}

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
  call->reads = true;
  call->newest = true;
  after (channel->fake, ANSWER_MS, answer, call);
}

static struct ColtServerChannel *
server_open (void *adapter, const char *address, const char *id)
{
  struct ColtServerChannel *channel = g_new0 (struct ColtServerChannel, 1);

  (void)address;
  (void)id;
  channel->fake = adapter;
  return channel;
}

static void
server_close (struct ColtServerChannel *channel)
{
  g_free (channel);
}

static void
answer_server (evutil_socket_t fd, short what, void *arg)
{
  struct ColtFakeServerCall *call = arg;
  struct ColtServerAnswer out = call->fake->server_answer;

  (void)fd;
  (void)what;
  out.result = call->result;
  out.received_us = colt_clock_monotonic_us ();
  out.clock_ms = out.received_us / COLT_US_PER_MS;
  call->done (call->client, &out);
  g_hash_table_remove (call->fake->calls, call);
}

static void
call_server (struct ColtServerChannel *channel,
             enum ColtStartResult result,
             uint32_t answer_ms,
             ColtServerCallDone done,
             void *client)
{
  struct ColtFakeServerCall *call = g_new0 (struct ColtFakeServerCall, 1);

  call->fake = channel->fake;
  call->result = result;
  call->done = done;
  call->client = client;
  after (channel->fake, answer_ms, answer_server, call);
}

static void
server_start (struct ColtServerChannel *channel,
              const struct ColtStartOrder *order,
              uint64_t token,
              int64_t until_ms,
              uint32_t timeout_ms,
              ColtServerCallDone done,
              void *client)
{
  enum ColtStartResult result;

  (void)order;
  (void)token;
  (void)until_ms;
  (void)timeout_ms;
  result = channel->fake->starts < channel->fake->start_result_count
               ? channel->fake->start_results[channel->fake->starts]
               : channel->fake->server_answer.result;
  channel->fake->starts++;
  call_server (channel, result, ANSWER_MS, done, client);
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
  call_server (channel, channel->fake->server_answer.result, ANSWER_MS, done,
               client);
}

static void
server_renew (struct ColtServerChannel *channel,
              const struct ColtServerRenewal *look,
              ColtServerCallDone done,
              void *client)
{
  channel->fake->looks++;
  channel->fake->last_look = *look;
  call_server (channel, channel->fake->server_answer.result,
               channel->fake->look_ms > 0 ? channel->fake->look_ms : ANSWER_MS,
               done, client);
}

/* A server that is ready, named by the record's key. */
static bool
decode_server (void *adapter,
               const struct ColtLogRecord *record,
               ColtServerEntryHandler take,
               void *client,
               struct ColtError *error)
{
  struct ColtServerEntry entry = { 0 };

  (void)adapter;
  (void)error;
  entry.id = record->key;
  entry.service = "service";
  entry.address = "127.0.0.1:1";
  entry.zone = "zone";
  entry.ready = true;
  take (client, &entry);
  return true;
}

static void
clear_record (gpointer data)
{
  struct ColtFakeRecord *record = data;

  g_free (record->key);
  g_clear_pointer (&record->value, g_bytes_unref);
}

struct ColtFakePorts *
colt_fake_ports_create (void)
{
  struct ColtFakePorts *fake = g_new0 (struct ColtFakePorts, 1);
  int i;

  fake->base = event_base_new ();
  fake->log_calls = g_hash_table_new (g_direct_hash, g_direct_equal);
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
  fake->ports.decode_server = decode_server;
  fake->ports.server_open = server_open;
  fake->ports.server_close = server_close;
  fake->ports.server_start = server_start;
  fake->ports.server_stop = server_stop;
  fake->ports.server_renew = server_renew;
  return fake;
}

void
colt_fake_ports_destroy (struct ColtFakePorts *fake)
{
  int i;

  event_base_free (fake->base);
  g_hash_table_unref (fake->log_calls);
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
