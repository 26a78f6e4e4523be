#include <stdlib.h>
#include <string.h>

#include "message_pool.h"

#define UNLIMITED_CODE (-1)

static int64_t encode_ (int64_t amount);
static ColtServerEpochMsg **
pack_servers_ (struct ColtMessagePool *pool,
               const struct ColtServerEpoch *servers,
               size_t count);
static void fill_compliance_ (struct ColtMessagePool *pool,
                              const struct ColtCompliance *entry,
                              ColtComplianceMsg *message);
static void fill_state_ (struct ColtMessagePool *pool,
                         const struct ColtCreditState *state,
                         ColtCreditStateMsg *message);

uint8_t *
colt_quota_transfer_pack (const struct ColtQuotaTransfer *transfer,
                          size_t *size)
{
  ColtQuotaTransferMsg message = COLT_QUOTA_TRANSFER_MSG__INIT;
  struct ColtMessagePool pool;
  size_t i;

  colt_message_pool_init_ (&pool);
  message.id.data = (uint8_t *)transfer->id.bytes;
  message.id.len = COLT_ID_SIZE;
  message.read_up_to = transfer->base;
  message.n_moves = transfer->move_count;
  message.moves = (ColtQuotaMoveMsg **)colt_message_pool_alloc_array_ (
      &pool, transfer->move_count, sizeof (ColtQuotaMoveMsg));
  for (i = 0; i < transfer->move_count; i++)
    {
      const struct ColtQuotaMove *move = &transfer->moves[i];

      colt_quota_move_msg__init (message.moves[i]);
      message.moves[i]->team = (char *)move->team;
      message.moves[i]->from = move->from;
      message.moves[i]->to = move->to;
      message.moves[i]->amount
          = colt_message_pack_amount_ (&pool, &move->amount);
    }
  return colt_message_pool_pack_ (&pool, &message.base, size);
}

uint8_t *
colt_compliance_vector_pack (const struct ColtComplianceVector *vector,
                             size_t *size)
{
  struct ColtMessagePool pool;
  ColtComplianceVectorMsg *message;

  colt_message_pool_init_ (&pool);
  message = colt_message_pack_vector_ (&pool, vector);
  return colt_message_pool_pack_ (&pool, &message->base, size);
}

uint8_t *
colt_credit_report_pack (const struct ColtCreditReport *report, size_t *size)
{
  ColtCreditReportMsg message = COLT_CREDIT_REPORT_MSG__INIT;
  struct ColtMessagePool pool;
  size_t i;

  colt_message_pool_init_ (&pool);
  message.owner = report->owner;
  message.shard = report->shard;
  message.epoch = report->epoch;
  message.sequence = report->sequence;
  message.promise = report->promise;
  message.full = report->full;
  message.n_states = report->state_count;
  message.states = (ColtCreditStateMsg **)colt_message_pool_alloc_array_ (
      &pool, report->state_count, sizeof (ColtCreditStateMsg));
  for (i = 0; i < report->state_count; i++)
    fill_state_ (&pool, &report->states[i], message.states[i]);
  message.n_held = report->held_count;
  message.held = pack_servers_ (&pool, report->held, report->held_count);
  message.n_lost = report->lost_count;
  message.lost = pack_servers_ (&pool, report->lost, report->lost_count);
  return colt_message_pool_pack_ (&pool, &message.base, size);
}

uint8_t *
colt_credit_grant_pack (const struct ColtCreditGrant *grant, size_t *size)
{
  ColtCreditGrantMsg message = COLT_CREDIT_GRANT_MSG__INIT;
  struct ColtMessagePool pool;
  size_t i;

  colt_message_pool_init_ (&pool);
  message.owner = grant->owner;
  message.shard = grant->shard;
  message.epoch = grant->epoch;
  message.recount = grant->recount;
  message.offset = grant->offset;
  message.promise = grant->promise;
  message.n_acks = grant->ack_count;
  message.acks = grant->acks;
  message.n_items = grant->item_count;
  message.items = (ColtCreditItemMsg **)colt_message_pool_alloc_array_ (
      &pool, grant->item_count, sizeof (ColtCreditItemMsg));
  for (i = 0; i < grant->item_count; i++)
    {
      const struct ColtCreditItem *item = &grant->items[i];

      colt_credit_item_msg__init (message.items[i]);
      message.items[i]->team = (char *)item->team;
      message.items[i]->sequence = item->sequence;
      message.items[i]->seen = item->report_sequence;
      message.items[i]->ceiling
          = colt_message_pack_amount_ (&pool, &item->ceiling);
    }
  message.n_settled = grant->settled_count;
  message.settled = pack_servers_ (&pool, grant->settled, grant->settled_count);
  return colt_message_pool_pack_ (&pool, &message.base, size);
}

uint8_t *
colt_demand_digest_pack (const struct ColtDemandDigest *digest, size_t *size)
{
  ColtDemandDigestMsg message = COLT_DEMAND_DIGEST_MSG__INIT;
  struct ColtMessagePool pool;
  size_t i;

  colt_message_pool_init_ (&pool);
  message.zone = digest->zone;
  message.sequence = digest->sequence;
  message.n_demands = digest->demand_count;
  message.demands = (ColtDemandMsg **)colt_message_pool_alloc_array_ (
      &pool, digest->demand_count, sizeof (ColtDemandMsg));
  for (i = 0; i < digest->demand_count; i++)
    {
      const struct ColtDemand *demand = &digest->demands[i];

      colt_demand_msg__init (message.demands[i]);
      message.demands[i]->team = (char *)demand->team;
      message.demands[i]->running
          = colt_message_pack_amount_ (&pool, &demand->running);
      message.demands[i]->unit
          = colt_message_pack_amount_ (&pool, &demand->unit);
      message.demands[i]->waiting = demand->waiting;
    }
  return colt_message_pool_pack_ (&pool, &message.base, size);
}

void
colt_message_pool_init_ (struct ColtMessagePool *pool)
{
  pool->chunks = g_ptr_array_new_with_free_func (g_free);
}

void *
colt_message_pool_alloc_ (struct ColtMessagePool *pool, size_t size)
{
  void *chunk = g_malloc0 (size);

  g_ptr_array_add (pool->chunks, chunk);
  return chunk;
}

void **
colt_message_pool_alloc_array_ (struct ColtMessagePool *pool,
                                size_t count,
                                size_t entry_size)
{
  void **pointers;
  char *entries;
  size_t i;

  if (count == 0)
    return NULL;
  pointers = colt_message_pool_alloc_ (pool, count * sizeof *pointers);
  entries = colt_message_pool_alloc_ (pool, count * entry_size);
  for (i = 0; i < count; i++)
    pointers[i] = entries + i * entry_size;
  return pointers;
}

uint8_t *
colt_message_pool_pack_ (struct ColtMessagePool *pool,
                         const ProtobufCMessage *message,
                         size_t *size)
{
  uint8_t *bytes;

  *size = protobuf_c_message_get_packed_size (message);
  bytes = malloc (*size + 1);
  if (bytes == NULL)
    abort ();
  protobuf_c_message_pack (message, bytes);
  g_ptr_array_unref (pool->chunks);
  return bytes;
}

ColtQuotaAmountMsg *
colt_message_pack_amount_ (struct ColtMessagePool *pool,
                           const struct ColtQuotaAmount *amount)
{
  ColtQuotaAmountMsg *message
      = colt_message_pool_alloc_ (pool, sizeof (ColtQuotaAmountMsg));

  colt_quota_amount_msg__init (message);
  message->tasks = encode_ (amount->amount[COLT_QUOTA_TASKS]);
  message->cores_milli = encode_ (amount->amount[COLT_QUOTA_CORES]);
  message->accelerators = encode_ (amount->amount[COLT_QUOTA_ACCELERATORS]);
  return message;
}

ColtComplianceVectorMsg *
colt_message_pack_vector_ (struct ColtMessagePool *pool,
                           const struct ColtComplianceVector *vector)
{
  ColtComplianceVectorMsg *message
      = colt_message_pool_alloc_ (pool, sizeof (ColtComplianceVectorMsg));
  size_t i;

  colt_compliance_vector_msg__init (message);
  message->n_entries = vector->entry_count;
  message->entries = (ColtComplianceMsg **)colt_message_pool_alloc_array_ (
      pool, vector->entry_count, sizeof (ColtComplianceMsg));
  for (i = 0; i < vector->entry_count; i++)
    fill_compliance_ (pool, &vector->entries[i], message->entries[i]);
  return message;
}

static int64_t
encode_ (int64_t amount)
{
  return amount == COLT_QUOTA_UNLIMITED ? UNLIMITED_CODE : amount;
}

static ColtServerEpochMsg **
pack_servers_ (struct ColtMessagePool *pool,
               const struct ColtServerEpoch *servers,
               size_t count)
{
  ColtServerEpochMsg **messages
      = (ColtServerEpochMsg **)colt_message_pool_alloc_array_ (
          pool, count, sizeof (ColtServerEpochMsg));
  size_t i;

  for (i = 0; i < count; i++)
    {
      colt_server_epoch_msg__init (messages[i]);
      messages[i]->server = servers[i].server;
      messages[i]->epoch = servers[i].epoch;
    }
  return messages;
}

static void
fill_compliance_ (struct ColtMessagePool *pool,
                  const struct ColtCompliance *entry,
                  ColtComplianceMsg *message)
{
  size_t i;

  colt_compliance_msg__init (message);
  message->zone = entry->zone;
  message->shard = entry->shard;
  message->offset = entry->offset;
  message->n_exceptions = entry->exception_count;
  message->exceptions
      = (ColtComplianceExceptionMsg **)colt_message_pool_alloc_array_ (
          pool, entry->exception_count, sizeof (ColtComplianceExceptionMsg));
  for (i = 0; i < entry->exception_count; i++)
    {
      colt_compliance_exception_msg__init (message->exceptions[i]);
      message->exceptions[i]->team = entry->exceptions[i].team;
      message->exceptions[i]->offset = entry->exceptions[i].offset;
      message->exceptions[i]->highest = entry->exceptions[i].highest;
    }
}

static void
fill_state_ (struct ColtMessagePool *pool,
             const struct ColtCreditState *state,
             ColtCreditStateMsg *message)
{
  colt_credit_state_msg__init (message);
  message->team = (char *)state->team;
  message->sequence = state->sequence;
  message->ceiling = colt_message_pack_amount_ (pool, &state->ceiling);
  message->running = colt_message_pack_amount_ (pool, &state->running);
  message->lost = colt_message_pack_amount_ (pool, &state->lost);
  message->unit = colt_message_pack_amount_ (pool, &state->unit);
  message->waiting = state->waiting;
}
