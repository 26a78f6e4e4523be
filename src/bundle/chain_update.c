#include <stdlib.h>
#include <string.h>

#include "chain_internal.h"

static void free_change_ (struct ColtChain *chain,
                          struct ColtChainRecord *record);
static void fill_change_ (const struct ColtChainRecord *record,
                          Colt__BundleChange *change);
static void apply_changes_ (struct ColtChain *chain,
                            const Colt__BundleUpdate *update);

void
colt_chain_add_change (struct ColtChain *chain,
                       struct ColtLogPosition position,
                       uint32_t kind,
                       const uint8_t *body,
                       size_t size)
{
  struct ColtChainRecord *record = g_new0 (struct ColtChainRecord, 1);

  record->position = position;
  record->kind = kind;
  record->body = g_bytes_new (body, size);
  chain->changes_bytes += size + sizeof *record;
  g_queue_push_tail (&chain->changes, record);
  while (chain->changes_bytes > COLT_CHAIN_CHANGES_BYTES_MAX)
    {
      record = g_queue_pop_head (&chain->changes);
      chain->changes_from = record->position.offset + 1;
      free_change_ (chain, record);
    }
}

void
colt_chain_clear_changes (struct ColtChain *chain, uint64_t from)
{
  while (chain->changes.length > 0)
    free_change_ (chain, g_queue_pop_head (&chain->changes));
  chain->changes_from = from;
}

uint8_t *
colt_chain_encode_update (const struct ColtChain *chain,
                          uint64_t from,
                          size_t *size)
{
  Colt__BundleUpdate update = COLT__BUNDLE_UPDATE__INIT;
  Colt__BundleChange *changes;
  Colt__BundleChange **list;
  uint8_t *body;
  GList *item;

  if (chain->needs_snapshot || from < chain->changes_from
      || from >= chain->next_offset)
    return NULL;
  changes = g_new0 (Colt__BundleChange, chain->changes.length + 1);
  list = g_new0 (Colt__BundleChange *, chain->changes.length + 1);
  for (item = chain->changes.head; item != NULL; item = item->next)
    {
      const struct ColtChainRecord *record = item->data;

      if (record->position.offset < from
          || record->position.offset >= chain->next_offset)
        continue;
      list[update.n_changes] = &changes[update.n_changes];
      fill_change_ (record, &changes[update.n_changes++]);
    }
  update.from = from;
  update.next_offset = chain->next_offset;
  update.changes = list;
  body = malloc (colt__bundle_update__get_packed_size (&update) + 1);
  *size = colt__bundle_update__pack (&update, body);
  g_free (changes);
  g_free (list);
  return body;
}

void
colt_chain_apply_update (struct ColtChain *chain,
                         const uint8_t *body,
                         size_t size,
                         struct ColtChainVerdict *verdict)
{
  Colt__BundleUpdate *update = colt__bundle_update__unpack (NULL, size, body);

  memset (verdict, 0, sizeof *verdict);
  if (update == NULL || update->from > update->next_offset)
    {
      verdict->status = COLT_CHAIN_MALFORMED;
      colt_error_set (&verdict->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                      NULL, "the update is malformed");
    }
  else if (chain->needs_snapshot || update->from > chain->next_offset)
    {
      verdict->status = COLT_CHAIN_GAP;
      colt_error_set (&verdict->error, COLT_ERROR_REFUSED, COLT_STEP_CHECK,
                      NULL, "records before the update have not been read");
    }
  else if (update->next_offset <= chain->next_offset)
    verdict->status = COLT_CHAIN_DUPLICATE;
  else
    apply_changes_ (chain, update);
  if (update != NULL)
    colt__bundle_update__free_unpacked (update, NULL);
}

/* The peer omits records without effect, which have no effect here either. */
static void
apply_changes_ (struct ColtChain *chain, const Colt__BundleUpdate *update)
{
  size_t i;

  for (i = 0; i < update->n_changes; i++)
    {
      const Colt__BundleChange *change = update->changes[i];
      struct ColtLogPosition position = { change->offset, change->index };
      struct ColtChainVerdict ignored;

      if (change->offset < update->next_offset
          && change->kind != COLT_RECORD_SNAPSHOT)
        colt_chain_apply_record (chain, position, change->kind,
                                 change->body.data, change->body.len, &ignored);
    }
  colt_chain_advance (chain, update->next_offset);
}

static void
fill_change_ (const struct ColtChainRecord *record, Colt__BundleChange *change)
{
  gsize size;

  colt__bundle_change__init (change);
  change->offset = record->position.offset;
  change->index = record->position.index;
  change->kind = record->kind;
  change->body.data = (uint8_t *)g_bytes_get_data (record->body, &size);
  change->body.len = size;
}

static void
free_change_ (struct ColtChain *chain, struct ColtChainRecord *record)
{
  chain->changes_bytes -= g_bytes_get_size (record->body) + sizeof *record;
  g_bytes_unref (record->body);
  g_free (record);
}
