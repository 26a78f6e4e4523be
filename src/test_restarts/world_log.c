#include <string.h>

#include "virtual_time.h"
#include "world_private.h"

/* Capacity of a server. */
#define SERVER_CORES 8000
#define SERVER_MEMORY 8000
#define SERVER_SLOTS 8

struct ColtWorldRecord
{
  char *key;
  GBytes *value; /* NULL: the key was deleted */
};

struct ColtLogChannel
{
  struct ColtWorld *world;
};

struct ColtWorldLogCall
{
  struct ColtLogChannel *channel;
  enum ColtTopic topic;
  bool newest; /* reads the newest records of all keys */
  bool waits;  /* reads records from an offset */
  int64_t from;
  int64_t until_us; /* when a read without records is answered */
  bool finished;
  ColtLogCallDone done;
  void *client;
  struct ColtLogAnswer answer;
};

static void
finish_log_call (struct ColtWorldLogCall *call)
{
  call->finished = true;
  call->done (call->client, &call->answer);
}

static void
add_record (GArray *records, const GArray *topic, int64_t offset)
{
  const struct ColtWorldRecord *record
      = &g_array_index (topic, struct ColtWorldRecord, offset);
  struct ColtLogRecord out = { record->key, NULL, 0, offset };

  if (record->value != NULL)
    out.value = g_bytes_get_data (record->value, &out.size);
  g_array_append_val (records, out);
}

/* Adds the newest record of each key, in the order of the log. */
static void
add_newest_records (GArray *records, const GArray *topic)
{
  GHashTable *newest = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = 0; i < topic->len; i++)
    g_hash_table_insert (newest,
                         g_array_index (topic, struct ColtWorldRecord, i).key,
                         GUINT_TO_POINTER (i));
  for (i = 0; i < topic->len; i++)
    {
      const struct ColtWorldRecord *record
          = &g_array_index (topic, struct ColtWorldRecord, i);

      if (record->value != NULL
          && GPOINTER_TO_UINT (g_hash_table_lookup (newest, record->key)) == i)
        add_record (records, topic, i);
    }
  g_hash_table_unref (newest);
}

static void
handle_log_answer_due (struct ColtWorld *world, void *arg)
{
  struct ColtWorldLogCall *call = arg;
  const GArray *topic = world->topics[call->topic];
  GArray *records;
  int64_t i;

  if (call->finished)
    return;
  if (call->waits && call->from >= (int64_t)topic->len
      && colt_virtual_time_us () < call->until_us)
    {
      colt_world_at (world, colt_virtual_time_us () + 5 * COLT_US_PER_MS,
                     handle_log_answer_due, call);
      return;
    }
  records = g_array_new (FALSE, FALSE, sizeof (struct ColtLogRecord));
  if (call->newest)
    add_newest_records (records, topic);
  for (i = call->from; call->waits && i < (int64_t)topic->len; i++)
    add_record (records, topic, i);
  if (call->newest || call->waits)
    call->answer.end = topic->len;
  call->answer.records = (const struct ColtLogRecord *)records->data;
  call->answer.count = records->len;
  finish_log_call (call);
  g_array_unref (records);
}

static struct ColtWorldLogCall *
add_log_call (struct ColtLogChannel *channel,
              enum ColtTopic topic,
              ColtLogCallDone done,
              void *client)
{
  struct ColtWorld *world = channel->world;
  struct ColtWorldLogCall *call = colt_world_alloc (world, sizeof *call);

  call->channel = channel;
  call->topic = topic;
  call->done = done;
  call->client = client;
  call->answer.sent_us = colt_virtual_time_us ();
  g_ptr_array_add (world->log_calls, call);
  colt_world_at (world,
                 colt_virtual_time_us () + colt_world_draw_us (world, 2, 15),
                 handle_log_answer_due, call);
  return call;
}

static struct ColtLogChannel *
log_open (void *adapter)
{
  struct ColtLogChannel *channel = colt_world_alloc (adapter, sizeof *channel);

  channel->world = adapter;
  return channel;
}

static void
log_close (struct ColtLogChannel *channel)
{
  const GPtrArray *calls = channel->world->log_calls;
  guint i;

  for (i = 0; i < calls->len; i++)
    {
      struct ColtWorldLogCall *call = g_ptr_array_index (calls, i);

      if (call->channel != channel || call->finished)
        continue;
      call->answer.outcome = COLT_LOG_UNKNOWN;
      finish_log_call (call);
    }
}

static void
store_record (struct ColtWorld *world,
              enum ColtTopic topic,
              const struct ColtLogRecord *record)
{
  struct ColtWorldRecord stored = { g_strdup (record->key), NULL };

  if (record->value != NULL)
    stored.value = g_bytes_new (record->value, record->size);
  g_array_append_val (world->topics[topic], stored);
}

static bool
exceeds_record_size (const struct ColtWorld *world,
                     const struct ColtLogAppend *append)
{
  size_t i;

  for (i = 0; i < append->count && world->plan->record_bytes > 0; i++)
    if (append->records[i].size > world->plan->record_bytes)
      return true;
  return false;
}

static void
log_append (struct ColtLogChannel *channel,
            const struct ColtLogAppend *append,
            ColtLogCallDone done,
            void *client)
{
  struct ColtWorld *world = channel->world;
  struct ColtWorldLogCall *call
      = add_log_call (channel, append->topic, done, client);
  size_t i;

  if (exceeds_record_size (world, append))
    {
      call->answer.outcome = COLT_LOG_INVALID;
      colt_world_break (world, RULE_SIZE, "a record is too large");
      return;
    }
  if (append->epoch < world->epoch)
    {
      call->answer.outcome = COLT_LOG_FENCED;
      return;
    }
  if (append->epoch > world->epoch)
    world->sequence = 0;
  world->epoch = append->epoch;
  call->answer.end = world->topics[append->topic]->len;
  if (append->count == 0 || append->sequence <= world->sequence)
    return;
  world->sequence = append->sequence;
  for (i = 0; i < append->count; i++)
    store_record (world, append->topic, &append->records[i]);
  call->answer.end = world->topics[append->topic]->len;
}

static void
log_read (struct ColtLogChannel *channel,
          enum ColtTopic topic,
          int64_t from,
          uint32_t wait_ms,
          ColtLogCallDone done,
          void *client)
{
  struct ColtWorldLogCall *call = add_log_call (channel, topic, done, client);

  call->waits = true;
  call->from = from;
  call->until_us = colt_virtual_time_us () + wait_ms * COLT_US_PER_MS;
}

static void
log_newest (struct ColtLogChannel *channel,
            enum ColtTopic topic,
            const char *after,
            ColtLogCallDone done,
            void *client)
{
  (void)after;
  add_log_call (channel, topic, done, client)->newest = true;
}

static bool
decode_server (void *adapter,
               const struct ColtLogRecord *record,
               ColtServerEntryHandler handler,
               void *client,
               struct ColtError *error)
{
  struct ColtServerEntry entry = { 0 };
  char *text = g_strndup ((const char *)record->value, record->size);
  char **fields = g_strsplit (text, " ", 2);

  (void)adapter;
  (void)error;
  entry.id = record->key;
  entry.service = "service";
  entry.zone = "zone";
  entry.address = fields[0];
  entry.incarnation_ms = g_ascii_strtoll (fields[1], NULL, 10);
  entry.ready = true;
  entry.room.amount[COLT_RESOURCE_CORES] = SERVER_CORES;
  entry.room.amount[COLT_RESOURCE_MEMORY] = SERVER_MEMORY;
  entry.room.amount[COLT_RESOURCE_SLOTS] = SERVER_SLOTS;
  handler (client, &entry);
  g_strfreev (fields);
  g_free (text);
  return true;
}

void
colt_world_put_entry (struct ColtWorld *world, const struct ColtWorldLife *life)
{
  char *value = g_strdup_printf ("%s %lld", life->server->address,
                                 (long long)life->incarnation_ms);
  const struct ColtLogRecord record
      = { life->id, (const uint8_t *)value, strlen (value), 0 };

  colt_world_note (life->server, "entry of %s shows life %u, incarnation %lld",
                   life->id, life->number, (long long)life->incarnation_ms);
  store_record (world, COLT_TOPIC_SERVERS, &record);
  g_free (value);
}

void
colt_world_delete_entry (struct ColtWorld *world, const char *id)
{
  const struct ColtLogRecord record = { id, NULL, 0, 0 };

  store_record (world, COLT_TOPIC_SERVERS, &record);
}

static void
clear_record (gpointer data)
{
  struct ColtWorldRecord *record = data;

  g_free (record->key);
  g_clear_pointer (&record->value, g_bytes_unref);
}

void
colt_world_init_log (struct ColtWorld *world)
{
  int i;

  world->log_calls = g_ptr_array_new ();
  for (i = 0; i <= COLT_TOPIC_JOBS; i++)
    {
      world->topics[i]
          = g_array_new (FALSE, TRUE, sizeof (struct ColtWorldRecord));
      g_array_set_clear_func (world->topics[i], clear_record);
    }
  world->ports.adapter = world;
  world->ports.record_bytes_max = world->plan->record_bytes;
  world->ports.log_open = log_open;
  world->ports.log_close = log_close;
  world->ports.log_append = log_append;
  world->ports.log_read = log_read;
  world->ports.log_newest = log_newest;
  world->ports.decode_server = decode_server;
}

void
colt_world_free_log (struct ColtWorld *world)
{
  int i;

  for (i = 0; i <= COLT_TOPIC_JOBS; i++)
    g_array_unref (world->topics[i]);
  g_ptr_array_unref (world->log_calls);
}
