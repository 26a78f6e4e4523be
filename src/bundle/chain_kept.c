#include "chain_internal.h"

static void free_kept_ (struct ColtChain *chain, struct ColtChainKept *kept);

void
colt_chain_keep (struct ColtChain *chain,
                 struct ColtLogPosition position,
                 uint32_t kind,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtChainKept *kept;

  if (kind == COLT_RECORD_JOB || kind == COLT_RECORD_JOB_END)
    return;
  kept = g_new0 (struct ColtChainKept, 1);
  kept->position = position;
  kept->kind = kind;
  kept->body = g_bytes_new (body, size);
  chain->kept_bytes += size + sizeof *kept;
  g_queue_push_tail (&chain->kept, kept);
  while (chain->kept_bytes > COLT_CHAIN_KEPT_BYTES_MAX)
    {
      kept = g_queue_pop_head (&chain->kept);
      chain->readable_from = kept->position.offset + 1;
      free_kept_ (chain, kept);
    }
}

void
colt_chain_replay (struct ColtChain *chain, uint64_t offset)
{
  struct ColtChainKept *kept = g_queue_peek_head (&chain->kept);
  GList *item;

  while (kept != NULL && kept->position.offset < offset)
    {
      free_kept_ (chain, g_queue_pop_head (&chain->kept));
      kept = g_queue_peek_head (&chain->kept);
    }
  for (item = chain->kept.head; item != NULL; item = item->next)
    {
      struct ColtChainVerdict ignored = { 0 };
      const uint8_t *body;
      gsize size;

      kept = item->data;
      body = g_bytes_get_data (kept->body, &size);
      colt_chain_apply (chain, kept->position, kept->kind, body, size,
                        &ignored);
    }
}

void
colt_chain_drop_kept (struct ColtChain *chain)
{
  while (chain->kept.length > 0)
    free_kept_ (chain, g_queue_pop_head (&chain->kept));
}

void
colt_chain_visit_kept (const struct ColtChain *chain,
                       void (*visit) (void *client,
                                      struct ColtLogPosition position,
                                      uint32_t kind,
                                      const uint8_t *body,
                                      size_t size),
                       void *client)
{
  GList *item;

  for (item = chain->kept.head; item != NULL; item = item->next)
    {
      const struct ColtChainKept *kept = item->data;
      gsize size;
      const uint8_t *body = g_bytes_get_data (kept->body, &size);

      visit (client, kept->position, kept->kind, body, size);
    }
}

static void
free_kept_ (struct ColtChain *chain, struct ColtChainKept *kept)
{
  chain->kept_bytes -= g_bytes_get_size (kept->body) + sizeof *kept;
  g_bytes_unref (kept->body);
  g_free (kept);
}
