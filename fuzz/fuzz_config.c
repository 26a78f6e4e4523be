/* Fuzzes the reader of configurations, their check and their difference with
 * arbitrary bytes. The check must agree with the routing about which queues get
 * no requests, and no text may contain a whole key. */
#include <stdint.h>
#include <string.h>

#include "coltsfootstile/adapter.h"
#include "coltsfootstile/fleet_check.h"

/* Shorter keys are contained in the texts' own words. */
#define KEY_SIZE_MIN 16
/* The check looks for a port in so many bytes of a host. */
#define HOST_MAX 255

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
expect_ (bool holds)
{
  if (!holds)
    __builtin_trap ();
}

/* Traps if a text contains a key, unless it does so as a name. */
static void
expect_no_key_ (const struct ColtFleet *fleet, const char *text)
{
  GHashTableIter i;
  gpointer key;
  guint o;

  g_hash_table_iter_init (&i, fleet->keys);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      bool named = false;

      if (strlen (key) < KEY_SIZE_MIN || strstr (text, key) == NULL)
        continue;
      for (o = 0; o < fleet->organisations->len; o++)
        {
          const struct ColtOrganisation *organisation
              = g_ptr_array_index (fleet->organisations, o);

          named = named || strstr (organisation->name, key) != NULL;
        }
      for (o = 0; o < fleet->queues->len; o++)
        {
          const struct ColtQueueConfig *queue
              = g_ptr_array_index (fleet->queues, o);

          named = named || strstr (queue->name, key) != NULL
                  || strstr (queue->service, key) != NULL
                  || strstr (queue->prefix, key) != NULL;
        }
      for (o = 0; o < fleet->services->len; o++)
        {
          const struct ColtServiceConfig *service
              = g_ptr_array_index (fleet->services, o);

          named = named || strstr (service->name, key) != NULL;
        }
      expect_ (named);
    }
}

static void
check_ (const struct ColtFleet *fleet)
{
  struct ColtResources task = { { 1000, 512, 1 } };
  GPtrArray *findings = colt_fleet_check (fleet, fleet, &task);
  GPtrArray *changes = colt_fleet_diff (fleet, fleet);
  guint counts[COLT_FINDING_COUNT] = { 0 };
  guint unreachable = 0;
  bool long_host = false;
  guint i;

  expect_ (changes->len == 0);
  for (i = 0; i < findings->len; i++)
    {
      const struct ColtFleetFinding *finding = g_ptr_array_index (findings, i);

      expect_ (finding->kind < COLT_FINDING_COUNT);
      expect_ (g_utf8_validate (finding->text, -1, NULL));
      expect_no_key_ (fleet, finding->text);
      expect_no_key_ (fleet, finding->subject);
      counts[finding->kind]++;
    }
  for (i = 0; i < fleet->queues->len; i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (fleet->queues, i);

      unreachable
          += colt_fleet_route (fleet, queue->host, queue->prefix) != queue;
      long_host = long_host || strlen (queue->host) >= HOST_MAX;
    }
  expect_ (counts[COLT_FINDING_VERSION] == 1);
  expect_ (long_host
           || counts[COLT_FINDING_DUPLICATE_ROUTE]
                      + counts[COLT_FINDING_SHADOWED_QUEUE]
                  == unreachable);
  g_ptr_array_unref (findings);
  g_ptr_array_unref (changes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ColtAdapterSettings settings = { "", "", "", "", "" };
  const struct ColtLogRecord record = { "config", data, size, 0 };
  struct ColtPorts ports = { 0 };
  struct ColtAdapter *adapter = colt_adapter_create (NULL, &settings, &ports);
  struct ColtError error = { 0 };
  struct ColtFleet *strict
      = colt_adapter_read_config ((const char *)data, size, &error);
  struct ColtFleet *lenient;

  expect_ ((strict == NULL) == (error.code != COLT_ERROR_NONE));
  lenient = ports.decode_fleet (adapter, &record, NULL);
  expect_ (strict == NULL || lenient != NULL);
  if (strict != NULL)
    check_ (strict);
  if (lenient != NULL)
    check_ (lenient);
  colt_fleet_unref (strict);
  colt_fleet_unref (lenient);
  colt_adapter_destroy (adapter);
  return 0;
}
