/* Fuzzes the decoders of the platform's log pages, instance lists and log
 * batches. */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "list_json.h"
#include "log_json.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Checks that indices are consecutive and reads all bytes of the body. */
static void
check_item_ (void *client, const struct ColtLogItem *item)
{
  uint32_t *next = client;
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i < item->size; i++)
    sum += item->body[i];
  if (item->index != (*next)++ || sum > item->size * UINT64_C (255))
    __builtin_trap ();
}

static void
decode_page_ (const struct ColtJsonContext *context,
              const char *text,
              size_t size)
{
  struct ColtLogJsonPage *page
      = colt_log_json_decode_page (context, text, size);
  size_t i;

  for (i = 0; page != NULL && i < page->page.count; i++)
    {
      const struct ColtLogEntry *entry = &page->page.entries[i];
      uint32_t next = 0;

      colt_log_batch_decode (entry->offset, entry->body, entry->size,
                             check_item_, &next, NULL);
    }
  colt_log_json_free_page (page);
}

static void
decode_list_ (const struct ColtJsonContext *context,
              const char *text,
              size_t size)
{
  struct ColtListStorage *list = colt_list_json_decode (context, text, size);
  struct ColtListStorage *copy;

  if (list == NULL)
    return;
  copy = colt_list_copy (&list->list);
  if (!colt_list_equal (&list->list, &copy->list))
    __builtin_trap ();
  colt_list_free (copy);
  colt_list_free (list);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ColtJsonContext context = { "peer", NULL };
  const char *text = (const char *)data + 1;
  uint32_t next = 0;

  if (size == 0)
    return 0;
  if (data[0] % 3 == 0)
    decode_page_ (&context, text, size - 1);
  else if (data[0] % 3 == 1)
    decode_list_ (&context, text, size - 1);
  else
    colt_log_batch_decode (0, data + 1, size - 1, check_item_, &next, NULL);
  return 0;
}
