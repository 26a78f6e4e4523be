/* Fuzzes the adapter's decoders of fleet and server records and of job bodies
 * with arbitrary bytes. */
#include <stdint.h>
#include <string.h>

#include "coltsfootstile/adapter.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_server_entry_ (void *client, const struct ColtServerEntry *entry)
{
  (void)client;
  if (entry->id == NULL || entry->address == NULL || entry->labels == NULL)
    __builtin_trap ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct ColtAdapterSettings settings = { "", "", "", "", "" };
  struct ColtLogRecord record = { "config", data, size, 0 };
  struct ColtPorts ports = { 0 };
  struct ColtAdapter *adapter = colt_adapter_create (NULL, &settings, &ports);
  struct ColtError error = { 0 };
  struct ColtFleet *fleet = ports.decode_fleet (adapter, &record, &error);
  ColtJobSpec *spec;

  colt_fleet_unref (fleet);
  record.key = "server";
  ports.decode_server (adapter, &record, check_server_entry_, NULL, &error);
  spec = ports.decode_job (adapter, (const char *)data, size, &error);
  if (spec != NULL)
    colt_job_spec__free_unpacked (spec, NULL);
  colt_adapter_destroy (adapter);
  return 0;
}
