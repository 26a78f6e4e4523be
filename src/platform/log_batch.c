#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/log_service.h"
#include "record.pb-c.h"

static bool check_record_ids_ (const ColtLogBatch *batch,
                               uint64_t offset,
                               struct ColtError *error);
static void visit_record_ (const ColtLogBatch *batch,
                           uint64_t offset,
                           uint32_t index,
                           void (*visit) (void *client,
                                          const struct ColtLogItem *item),
                           void *client);

uint8_t *
colt_log_batch_encode (uint32_t writer,
                       const struct ColtLogItem *items,
                       size_t count,
                       size_t *size)
{
  ColtLogBatch batch = COLT_LOG_BATCH__INIT;
  ColtLogRecord *records = g_new (ColtLogRecord, count);
  ColtLogRecord **pointers = g_new (ColtLogRecord *, count);
  uint8_t *body;
  size_t i;

  for (i = 0; i < count; i++)
    {
      colt_log_record__init (&records[i]);
      records[i].kind = items[i].kind;
      records[i].id.data = (uint8_t *)items[i].id.bytes;
      records[i].id.len = COLT_ID_SIZE;
      records[i].body.data = (uint8_t *)items[i].body;
      records[i].body.len = items[i].size;
      pointers[i] = &records[i];
    }
  batch.writer = writer;
  batch.n_records = count;
  batch.records = pointers;
  *size = colt_log_batch__get_packed_size (&batch);
  body = malloc (*size + 1);
  if (body == NULL)
    abort ();
  colt_log_batch__pack (&batch, body);
  g_free (pointers);
  g_free (records);
  return body;
}

bool
colt_log_batch_decode (uint64_t offset,
                       const uint8_t *body,
                       size_t size,
                       void (*visit) (void *client,
                                      const struct ColtLogItem *item),
                       void *client,
                       struct ColtError *error)
{
  ColtLogBatch *batch = colt_log_batch__unpack (NULL, size, body);
  bool valid;
  uint32_t i;

  if (batch == NULL)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                           "the append at offset %" G_GUINT64_FORMAT
                           " is not a batch of records",
                           offset);
  valid = check_record_ids_ (batch, offset, error);
  for (i = 0; valid && i < batch->n_records; i++)
    visit_record_ (batch, offset, i, visit, client);
  colt_log_batch__free_unpacked (batch, NULL);
  return valid;
}

static bool
check_record_ids_ (const ColtLogBatch *batch,
                   uint64_t offset,
                   struct ColtError *error)
{
  size_t i;

  for (i = 0; i < batch->n_records; i++)
    if (batch->records[i]->id.len != COLT_ID_SIZE)
      return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                             "record %zu of the append at offset "
                             "%" G_GUINT64_FORMAT " has no id of %d bytes",
                             i, offset, COLT_ID_SIZE);
  return true;
}

static void
visit_record_ (const ColtLogBatch *batch,
               uint64_t offset,
               uint32_t index,
               void (*visit) (void *client, const struct ColtLogItem *item),
               void *client)
{
  const ColtLogRecord *record = batch->records[index];
  struct ColtLogItem item = { 0 };

  item.kind = record->kind;
  memcpy (item.id.bytes, record->id.data, COLT_ID_SIZE);
  item.body = record->body.data;
  item.size = record->body.len;
  item.offset = offset;
  item.index = index;
  item.writer = batch->writer;
  visit (client, &item);
}
