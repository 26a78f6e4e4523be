/* Fuzzes what the adapter reads from keyed topics: servers' entries, requests
 * to evacuate a zone, pages of the newest records and frames of reads. The
 * first byte selects one of them. */
#include <stdint.h>
#include <string.h>

#include "adapter_private.h"
#include "coltsfootstile/address.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_entry_ (void *client, const struct ColtServerEntry *entry)
{
  struct ColtAddress address;
  int r;

  (void)client;
  if (colt_address_parse (entry->address, &address) != COLT_ADDRESS_VALID
      || entry->service[0] == '\0' || entry->zone[0] == '\0'
      || entry->incarnation_ms < 0 || entry->cold_ms < 0)
    __builtin_trap ();
  for (r = 0; r < COLT_RESOURCE_COUNT; r++)
    if (entry->room.amount[r] < 0 || entry->room.amount[r] > INT32_MAX)
      __builtin_trap ();
}

/* Decodes a record, and checks that an entry is passed on, or else an error. */
static void
decode_record_ (const struct ColtPorts *ports,
                const struct ColtLogRecord *record)
{
  struct ColtError error = { 0 };
  char *zone;

  if (ports->decode_evacuation (ports->adapter, record, &zone)
          != g_str_has_prefix (record->key, "evacuate/")
      || (zone != NULL
          && (zone[0] == '\0' || !g_str_has_suffix (record->key, zone))))
    __builtin_trap ();
  g_free (zone);
  if (record->value == NULL)
    return;
  if (!ports->decode_server (ports->adapter, record, check_entry_, NULL, &error)
      && error.message[0] == '\0')
    __builtin_trap ();
}

/* Checks that a key is text without control characters, and decodes the
 * record. */
static void
check_record_ (const struct ColtPorts *ports,
               const struct ColtLogRecord *record)
{
  const char *at;

  if (!g_utf8_validate (record->key, -1, NULL))
    __builtin_trap ();
  for (at = record->key; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      __builtin_trap ();
  decode_record_ (ports, record);
}

static void
read_answer_ (const struct ColtPorts *ports,
              const char *body,
              size_t size,
              bool is_page)
{
  const struct ColtHttpAnswer http
      = { .result = COLT_HTTP_ANSWERED, .body = body, .size = size };
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct ColtLogRecord));
  GPtrArray *owned = g_ptr_array_new_with_free_func (g_free);
  struct ColtLogAnswer answer = { 0 };
  guint i;

  if (is_page)
    colt_adapter_read_newest (&http, "a", &answer, records, owned);
  else
    colt_adapter_read_records (&http, 7, &answer, records, owned);
  if (answer.outcome == COLT_LOG_DONE && answer.more && answer.last_key == NULL)
    __builtin_trap ();
  for (i = 0; i < records->len; i++)
    {
      const struct ColtLogRecord *record
          = &g_array_index (records, struct ColtLogRecord, i);

      /* Reading goes on at the next offset. */
      if (record->offset < 0 || record->offset == INT64_MAX)
        __builtin_trap ();
      if (!is_page && record->offset != 7 + (int64_t)i)
        __builtin_trap ();
      check_record_ (ports, record);
    }
  g_array_unref (records);
  g_ptr_array_unref (owned);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ColtAdapterSettings settings = { "", "", "", "", "" };
  const struct ColtLogRecord record = { "server", data + 1, size - 1, 0 };
  struct ColtPorts ports = { 0 };
  struct ColtAdapter *adapter;

  if (size == 0)
    return 0;
  adapter = colt_adapter_create (NULL, &settings, &ports);
  if (data[0] == 'e')
    decode_record_ (&ports, &record);
  else
    read_answer_ (&ports, (const char *)data + 1, size - 1, data[0] == 'p');
  colt_adapter_destroy (adapter);
  return 0;
}
