#include "chain_internal.h"

static void free_pending_ (struct ColtChain *chain,
                           struct ColtChainRecord *record);

void
colt_chain_add_pending (struct ColtChain *chain,
                        struct ColtLogPosition position,
                        uint32_t kind,
                        const uint8_t *body,
                        size_t size)
{
  struct ColtChainRecord *record;

  if (kind == COLT_RECORD_JOB || kind == COLT_RECORD_JOB_END)
    return;
  record = g_new0 (struct ColtChainRecord, 1);
  record->position = position;
  record->kind = kind;
  record->body = g_bytes_new (body, size);
  chain->pending_bytes += size + sizeof *record;
  g_queue_push_tail (&chain->pending, record);
  while (chain->pending_bytes > COLT_CHAIN_PENDING_BYTES_MAX)
    {
      record = g_queue_pop_head (&chain->pending);
      chain->readable_from = record->position.offset + 1;
      free_pending_ (chain, record);
    }
}

void
colt_chain_replay_pending (struct ColtChain *chain, uint64_t offset)
{
  struct ColtChainRecord *record = g_queue_peek_head (&chain->pending);
  GList *item;

  while (record != NULL && record->position.offset < offset)
    {
      free_pending_ (chain, g_queue_pop_head (&chain->pending));
      record = g_queue_peek_head (&chain->pending);
    }
  for (item = chain->pending.head; item != NULL; item = item->next)
    {
      struct ColtChainVerdict ignored = { 0 };
      const uint8_t *body;
      gsize size;

      record = item->data;
      body = g_bytes_get_data (record->body, &size);
      colt_chain_dispatch_record (chain, record->position, record->kind, body,
                                  size, &ignored);
    }
}

void
colt_chain_clear_pending (struct ColtChain *chain)
{
  while (chain->pending.length > 0)
    free_pending_ (chain, g_queue_pop_head (&chain->pending));
}

void
colt_chain_visit_pending (const struct ColtChain *chain,
                          void (*visit) (void *client,
                                         struct ColtLogPosition position,
                                         uint32_t kind,
                                         const uint8_t *body,
                                         size_t size),
                          void *client)
{
  GList *item;

  for (item = chain->pending.head; item != NULL; item = item->next)
    {
      const struct ColtChainRecord *record = item->data;
      gsize size;
      const uint8_t *body = g_bytes_get_data (record->body, &size);

      visit (client, record->position, record->kind, body, size);
    }
}

static void
free_pending_ (struct ColtChain *chain, struct ColtChainRecord *record)
{
  chain->pending_bytes -= g_bytes_get_size (record->body) + sizeof *record;
  g_bytes_unref (record->body);
  g_free (record);
}
