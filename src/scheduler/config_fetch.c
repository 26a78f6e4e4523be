#include "config_fetch.h"

#include <glib.h>

#include "scheduler_private.h"

/* Largest part in bytes: heartbeats on the same connection wait for one. */
#define PART_BYTES (32 * 1024)
/* Time after which a part counts as lost. */
#define PART_TIMEOUT_MS 800

struct ColtConfigFetch
{
  struct ColtWire *wire;
  struct ColtConfigFetchClient client;
  bool busy;         /* a call is open */
  uint32_t instance; /* that is called */
  int64_t above;     /* lower versions aren't wanted */
  int64_t version;   /* of which parts have arrived; 0: none */
  uint64_t checksum; /* of its compressed form */
  size_t packed_size;
  size_t size;        /* as published, in bytes */
  int64_t offset;     /* in the operator's topic */
  char *key;          /* in the operator's topic */
  GByteArray *packed; /* the parts so far */
};

static void request_part_ (struct ColtConfigFetch *fetch);
static void handle_part_ (void *client,
                          enum ColtWireResult result,
                          const uint8_t *body,
                          size_t size);
static const char *add_part_ (struct ColtConfigFetch *fetch,
                              const ColtConfigPart *part);
static void begin_version_ (struct ColtConfigFetch *fetch,
                            const ColtConfigPart *part);
static const char *complete_ (struct ColtConfigFetch *fetch);

struct ColtConfigFetch *
colt_config_fetch_create (struct ColtWire *wire,
                          const struct ColtConfigFetchClient *client)
{
  struct ColtConfigFetch *fetch = g_new0 (struct ColtConfigFetch, 1);

  fetch->wire = wire;
  fetch->client = *client;
  fetch->packed = g_byte_array_new ();
  return fetch;
}

void
colt_config_fetch_destroy (struct ColtConfigFetch *fetch)
{
  if (fetch == NULL)
    return;
  g_byte_array_unref (fetch->packed);
  g_free (fetch->key);
  g_free (fetch);
}

void
colt_config_fetch_start (struct ColtConfigFetch *fetch,
                         uint32_t instance,
                         int64_t above)
{
  if (fetch->busy)
    return;
  fetch->instance = instance;
  fetch->above = above;
  request_part_ (fetch);
}

void
colt_config_fetch_fill_part (struct ColtConfigCopy *copy,
                             const ColtConfigCall *call,
                             ColtConfigPart *part)
{
  const struct ColtLogRecord *record;
  GBytes *packed;
  const uint8_t *data;
  size_t size;

  if (copy == NULL || colt_config_copy_version (copy) <= call->above
      || (packed = colt_config_copy_pack (copy)) == NULL)
    return;
  record = colt_config_copy_record (copy);
  data = g_bytes_get_data (packed, &size);
  part->version = colt_config_copy_version (copy);
  part->checksum = colt_config_copy_checksum (packed);
  part->key = (char *)record->key;
  part->offset = record->offset;
  part->size = colt_config_copy_size (copy);
  part->packed_size = size;
  if (call->version == part->version && call->checksum == part->checksum)
    part->from = MIN (call->from, size);
  part->data.data = (uint8_t *)data + part->from;
  part->data.len = MIN (PART_BYTES, size - part->from);
}

static void
request_part_ (struct ColtConfigFetch *fetch)
{
  ColtConfigCall call = COLT_CONFIG_CALL__INIT;
  uint8_t *body;
  size_t size;

  call.above = fetch->above;
  call.version = fetch->version;
  call.checksum = fetch->checksum;
  call.from = fetch->packed->len;
  size = colt_config_call__get_packed_size (&call);
  body = g_malloc (size);
  colt_config_call__pack (&call, body);
  fetch->busy = true;
  colt_wire_call (fetch->wire, fetch->instance, MESSAGE_CONFIG, body, size,
                  PART_TIMEOUT_MS, handle_part_, fetch);
  g_free (body);
}

static void
handle_part_ (void *client,
              enum ColtWireResult result,
              const uint8_t *body,
              size_t size)
{
  struct ColtConfigFetch *fetch = client;
  ColtConfigPart *part = result == COLT_WIRE_REPLIED
                             ? colt_config_part__unpack (NULL, size, body)
                             : NULL;
  const char *reason = colt_wire_result_string[result];

  fetch->busy = false;
  if (part != NULL)
    {
      reason = add_part_ (fetch, part);
      colt_config_part__free_unpacked (part, NULL);
    }
  if (reason != NULL)
    fetch->client.handle_failed (fetch->client.client, fetch->instance, reason);
}

/* Adds a part, and requests the next one or completes the configuration.
 * Returns why the part can't be used; NULL if it was. */
static const char *
add_part_ (struct ColtConfigFetch *fetch, const ColtConfigPart *part)
{
  if (part->version <= fetch->above)
    return "it has no newer configuration";
  if (part->version != fetch->version || part->checksum != fetch->checksum)
    begin_version_ (fetch, part);
  if (part->from != fetch->packed->len || part->data.len == 0
      || part->data.len > fetch->packed_size - fetch->packed->len)
    {
      fetch->version = 0;
      return "a part doesn't fit";
    }
  g_byte_array_append (fetch->packed, part->data.data, (guint)part->data.len);
  if (fetch->packed->len == fetch->packed_size)
    return complete_ (fetch);
  request_part_ (fetch);
  return NULL;
}

static void
begin_version_ (struct ColtConfigFetch *fetch, const ColtConfigPart *part)
{
  fetch->version = part->version;
  fetch->checksum = part->checksum;
  fetch->packed_size = part->packed_size;
  fetch->size = part->size;
  fetch->offset = part->offset;
  g_free (fetch->key);
  fetch->key = g_strdup (part->key);
  g_byte_array_set_size (fetch->packed, 0);
}

static const char *
complete_ (struct ColtConfigFetch *fetch)
{
  const struct ColtLogRecord record = { fetch->key, NULL, 0, fetch->offset };
  GBytes *packed = g_byte_array_free_to_bytes (fetch->packed);
  struct ColtConfigCopy *copy = NULL;

  fetch->packed = g_byte_array_new ();
  if (colt_config_copy_checksum (packed) == fetch->checksum)
    copy = colt_config_copy_create_packed (fetch->version, &record, fetch->size,
                                           packed);
  g_bytes_unref (packed);
  fetch->version = 0;
  if (copy == NULL)
    return "it is damaged";
  fetch->client.handle_copy (fetch->client.client, copy, fetch->instance);
  return NULL;
}
