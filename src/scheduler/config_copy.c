#include "config_copy.h"

#include <xxhash.h>
#include <zlib.h>

#define CHECKSUM_SEED 0

struct ColtConfigCopy
{
  int64_t version;
  struct ColtLogRecord record; /* its value is that of raw */
  GBytes *raw;                 /* NULL once it is dropped */
  GBytes *packed;              /* NULL until it is needed */
  size_t size;                 /* of the value as published */
};

static void set_record_ (struct ColtConfigCopy *copy,
                         const struct ColtLogRecord *record,
                         GBytes *raw);
static GBytes *unpack_ (GBytes *packed, size_t size);

struct ColtConfigCopy *
colt_config_copy_create (int64_t version, const struct ColtLogRecord *record)
{
  struct ColtConfigCopy *copy = g_new0 (struct ColtConfigCopy, 1);

  copy->version = version;
  set_record_ (copy, record, g_bytes_new (record->value, record->size));
  return copy;
}

struct ColtConfigCopy *
colt_config_copy_create_packed (int64_t version,
                                const struct ColtLogRecord *record,
                                size_t size,
                                GBytes *packed)
{
  GBytes *raw = unpack_ (packed, size);
  struct ColtConfigCopy *copy;

  if (raw == NULL)
    return NULL;
  copy = g_new0 (struct ColtConfigCopy, 1);
  copy->version = version;
  copy->packed = g_bytes_ref (packed);
  set_record_ (copy, record, raw);
  return copy;
}

void
colt_config_copy_destroy (struct ColtConfigCopy *copy)
{
  if (copy == NULL)
    return;
  g_clear_pointer (&copy->raw, g_bytes_unref);
  g_clear_pointer (&copy->packed, g_bytes_unref);
  g_free ((char *)copy->record.key);
  g_free (copy);
}

int64_t
colt_config_copy_version (const struct ColtConfigCopy *copy)
{
  return copy->version;
}

const struct ColtLogRecord *
colt_config_copy_record (const struct ColtConfigCopy *copy)
{
  return &copy->record;
}

size_t
colt_config_copy_size (const struct ColtConfigCopy *copy)
{
  return copy->size;
}

size_t
colt_config_copy_packed_size (const struct ColtConfigCopy *copy)
{
  return copy->packed != NULL ? g_bytes_get_size (copy->packed) : 0;
}

GBytes *
colt_config_copy_pack (struct ColtConfigCopy *copy)
{
  uLongf packed_size = compressBound (copy->size);
  Bytef *packed;

  if (copy->packed != NULL || copy->size > COLT_CONFIG_BYTES_MAX)
    return copy->packed;
  packed = g_malloc (packed_size);
  if (compress2 (packed, &packed_size, copy->record.value, copy->size,
                 Z_BEST_SPEED)
      != Z_OK)
    {
      g_free (packed);
      return NULL;
    }
  copy->packed
      = g_bytes_new_take (g_realloc (packed, packed_size), packed_size);
  colt_config_copy_trim (copy);
  return copy->packed;
}

uint64_t
colt_config_copy_checksum (GBytes *packed)
{
  size_t size;
  const void *data = g_bytes_get_data (packed, &size);

  return XXH64 (data, size, CHECKSUM_SEED);
}

void
colt_config_copy_trim (struct ColtConfigCopy *copy)
{
  if (copy->packed == NULL)
    return;
  g_clear_pointer (&copy->raw, g_bytes_unref);
  copy->record.value = NULL;
  copy->record.size = 0;
}

/* Takes ownership of raw. */
static void
set_record_ (struct ColtConfigCopy *copy,
             const struct ColtLogRecord *record,
             GBytes *raw)
{
  copy->raw = raw;
  copy->record = *record;
  copy->record.key = g_strdup (record->key);
  copy->record.value = g_bytes_get_data (raw, &copy->record.size);
  copy->size = copy->record.size;
}

static GBytes *
unpack_ (GBytes *packed, size_t size)
{
  size_t packed_size;
  const Bytef *data = g_bytes_get_data (packed, &packed_size);
  uLongf raw_size = size;
  Bytef *raw;

  if (size == 0 || size > COLT_CONFIG_BYTES_MAX)
    return NULL;
  raw = g_malloc (size);
  if (uncompress (raw, &raw_size, data, packed_size) == Z_OK
      && raw_size == size)
    return g_bytes_new_take (raw, size);
  g_free (raw);
  return NULL;
}
