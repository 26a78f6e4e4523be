#include "log_json.h"

#include <glib.h>
#include <stdlib.h>

static bool decode_records_ (const struct ColtJsonContext *context,
                             const json_t *records,
                             struct ColtLogJsonPage *page);
static bool decode_record_ (const struct ColtJsonContext *context,
                            const json_t *record,
                            struct ColtLogEntry *entry);

char *
colt_log_json_encode_append (const uint8_t *body, size_t size)
{
  json_t *root = json_object ();
  char *text;

  json_object_set_new (root, "body", colt_json_encode_bytes (body, size));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

bool
colt_log_json_decode_append (const struct ColtJsonContext *context,
                             const char *text,
                             size_t size,
                             uint64_t *offset)
{
  json_t *root = colt_json_parse (context, text, size);
  bool valid;

  if (root == NULL)
    return false;
  valid = colt_json_get_u64 (context, root, "offset", offset);
  json_decref (root);
  return valid;
}

struct ColtLogJsonPage *
colt_log_json_decode_page (const struct ColtJsonContext *context,
                           const char *text,
                           size_t size)
{
  json_t *root = colt_json_parse (context, text, size);
  struct ColtLogJsonPage *page;
  const json_t *records;
  bool valid;

  if (root == NULL)
    return NULL;
  page = g_new0 (struct ColtLogJsonPage, 1);
  valid = colt_json_get_u64 (context, root, "first", &page->page.first)
          && colt_json_get_u64 (context, root, "head", &page->page.head)
          && colt_json_get_array (context, root, "records", &records)
          && decode_records_ (context, records, page);
  json_decref (root);
  if (valid)
    return page;
  colt_log_json_free_page (page);
  return NULL;
}

void
colt_log_json_free_page (struct ColtLogJsonPage *page)
{
  size_t i;

  if (page == NULL)
    return;
  for (i = 0; i < page->page.count; i++)
    free ((void *)page->entries[i].body);
  g_free (page->entries);
  g_free (page);
}

static bool
decode_records_ (const struct ColtJsonContext *context,
                 const json_t *records,
                 struct ColtLogJsonPage *page)
{
  size_t count = json_array_size (records);
  size_t i;

  page->entries = g_new0 (struct ColtLogEntry, count);
  page->page.entries = page->entries;
  for (i = 0; i < count; i++)
    {
      if (!decode_record_ (context, json_array_get (records, i),
                           &page->entries[i]))
        return false;
      page->page.count++;
    }
  return true;
}

static bool
decode_record_ (const struct ColtJsonContext *context,
                const json_t *record,
                struct ColtLogEntry *entry)
{
  uint8_t *body;

  if (!colt_json_get_u64 (context, record, "offset", &entry->offset)
      || !colt_json_get_bytes (context, record, "body", &body, &entry->size))
    return false;
  entry->body = body;
  return true;
}
