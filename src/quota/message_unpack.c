#include <string.h>

#include "message_pool.h"

#define UNLIMITED_CODE (-1)
#define COMPLIANCE_ENTRIES_MAX (COLT_ZONE_MAX * COLT_SHARD_COUNT)

static bool set_malformed_ (struct ColtError *error, const char *what);
static bool decode_ (int64_t code, int64_t *amount);
static bool read_finite_amount_ (const ColtQuotaAmountMsg *message,
                                 struct ColtQuotaAmount *amount);
static bool read_move_ (const ColtQuotaMoveMsg *message,
                        struct ColtQuotaMove *move);
static bool read_compliance_ (const ColtComplianceMsg *message,
                              struct ColtCompliance *entry);
static bool read_state_ (const ColtCreditStateMsg *message,
                         struct ColtCreditState *state);
static bool read_item_ (const ColtCreditItemMsg *message,
                        struct ColtCreditItem *item);
static bool read_demand_ (const ColtDemandMsg *message,
                          struct ColtDemand *demand);
static void read_servers_ (ColtServerEpochMsg *const *messages,
                           size_t count,
                           struct ColtServerEpoch *servers);
static struct ColtQuotaTransfer *
read_transfer_ (const ColtQuotaTransferMsg *message);
static struct ColtCreditReport *
read_report_ (const ColtCreditReportMsg *message);
static struct ColtCreditGrant *read_grant_ (const ColtCreditGrantMsg *message);
static struct ColtDemandDigest *
read_digest_ (const ColtDemandDigestMsg *message);

struct ColtQuotaTransfer *
colt_quota_transfer_unpack (const uint8_t *bytes,
                            size_t size,
                            struct ColtError *error)
{
  ColtQuotaTransferMsg *message
      = colt_quota_transfer_msg__unpack (NULL, size, bytes);
  struct ColtQuotaTransfer *transfer
      = message == NULL ? NULL : read_transfer_ (message);

  if (message != NULL)
    colt_quota_transfer_msg__free_unpacked (message, NULL);
  if (transfer == NULL)
    set_malformed_ (error, "transfer record");
  return transfer;
}

struct ColtComplianceVector *
colt_compliance_vector_unpack (const uint8_t *bytes,
                               size_t size,
                               struct ColtError *error)
{
  ColtComplianceVectorMsg *message
      = colt_compliance_vector_msg__unpack (NULL, size, bytes);
  struct ColtComplianceVector *vector
      = message == NULL ? NULL : colt_message_read_vector_ (message);

  if (message != NULL)
    colt_compliance_vector_msg__free_unpacked (message, NULL);
  if (vector == NULL)
    set_malformed_ (error, "compliance vector");
  return vector;
}

struct ColtCreditReport *
colt_credit_report_unpack (const uint8_t *bytes,
                           size_t size,
                           struct ColtError *error)
{
  ColtCreditReportMsg *message
      = colt_credit_report_msg__unpack (NULL, size, bytes);
  struct ColtCreditReport *report
      = message == NULL ? NULL : read_report_ (message);

  if (message != NULL)
    colt_credit_report_msg__free_unpacked (message, NULL);
  if (report == NULL)
    set_malformed_ (error, "credit report");
  return report;
}

struct ColtCreditGrant *
colt_credit_grant_unpack (const uint8_t *bytes,
                          size_t size,
                          struct ColtError *error)
{
  ColtCreditGrantMsg *message
      = colt_credit_grant_msg__unpack (NULL, size, bytes);
  struct ColtCreditGrant *grant
      = message == NULL ? NULL : read_grant_ (message);

  if (message != NULL)
    colt_credit_grant_msg__free_unpacked (message, NULL);
  if (grant == NULL)
    set_malformed_ (error, "credit grant");
  return grant;
}

struct ColtDemandDigest *
colt_demand_digest_unpack (const uint8_t *bytes,
                           size_t size,
                           struct ColtError *error)
{
  ColtDemandDigestMsg *message
      = colt_demand_digest_msg__unpack (NULL, size, bytes);
  struct ColtDemandDigest *digest
      = message == NULL ? NULL : read_digest_ (message);

  if (message != NULL)
    colt_demand_digest_msg__free_unpacked (message, NULL);
  if (digest == NULL)
    set_malformed_ (error, "demand digest");
  return digest;
}

bool
colt_message_read_amount_ (const ColtQuotaAmountMsg *message,
                           struct ColtQuotaAmount *amount)
{
  if (message == NULL)
    return false;
  return decode_ (message->tasks, &amount->amount[COLT_QUOTA_TASKS])
         && decode_ (message->cores_milli, &amount->amount[COLT_QUOTA_CORES])
         && decode_ (message->accelerators,
                     &amount->amount[COLT_QUOTA_ACCELERATORS]);
}

bool
colt_message_read_name_ (const char *text, char name[COLT_NAME_SIZE])
{
  size_t length = strlen (text);

  if (length == 0 || length >= COLT_NAME_SIZE)
    return false;
  memcpy (name, text, length + 1);
  return true;
}

struct ColtComplianceVector *
colt_message_read_vector_ (const ColtComplianceVectorMsg *message)
{
  struct ColtComplianceVector *vector;
  size_t i;

  if (message->n_entries > COMPLIANCE_ENTRIES_MAX)
    return NULL;
  vector = colt_compliance_vector_create (message->n_entries);
  for (i = 0; i < message->n_entries; i++)
    if (!read_compliance_ (message->entries[i], &vector->entries[i]))
      {
        colt_compliance_vector_destroy (vector);
        return NULL;
      }
  return vector;
}

static bool
set_malformed_ (struct ColtError *error, const char *what)
{
  return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                         "the %s is malformed", what);
}

static bool
decode_ (int64_t code, int64_t *amount)
{
  *amount = code == UNLIMITED_CODE ? COLT_QUOTA_UNLIMITED : code;
  return code >= UNLIMITED_CODE && code <= COLT_QUOTA_MAX;
}

static bool
read_finite_amount_ (const ColtQuotaAmountMsg *message,
                     struct ColtQuotaAmount *amount)
{
  int i;

  if (!colt_message_read_amount_ (message, amount))
    return false;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    if (amount->amount[i] == COLT_QUOTA_UNLIMITED)
      return false;
  return true;
}

static bool
read_move_ (const ColtQuotaMoveMsg *message, struct ColtQuotaMove *move)
{
  move->from = message->from;
  move->to = message->to;
  return colt_message_read_name_ (message->team, move->team)
         && message->from >= 1 && message->from <= COLT_ZONE_MAX
         && message->to >= 1 && message->to <= COLT_ZONE_MAX
         && read_finite_amount_ (message->amount, &move->amount);
}

static bool
read_compliance_ (const ColtComplianceMsg *message,
                  struct ColtCompliance *entry)
{
  size_t i;

  if (message->zone < 1 || message->zone > COLT_ZONE_MAX
      || message->shard >= COLT_SHARD_COUNT
      || message->n_exceptions > COLT_QUOTA_ITEMS_MAX)
    return false;
  entry->zone = message->zone;
  entry->shard = message->shard;
  entry->offset = message->offset;
  entry->exceptions
      = g_new0 (struct ColtComplianceException, message->n_exceptions);
  entry->exception_count = message->n_exceptions;
  for (i = 0; i < message->n_exceptions; i++)
    {
      const ColtComplianceExceptionMsg *exception = message->exceptions[i];

      if (!colt_message_read_name_ (exception->team, entry->exceptions[i].team)
          || exception->offset > exception->highest
          || exception->highest > message->offset
          || colt_team_shard (exception->team) != message->shard)
        return false;
      entry->exceptions[i].offset = exception->offset;
      entry->exceptions[i].highest = exception->highest;
    }
  return true;
}

static bool
read_state_ (const ColtCreditStateMsg *message, struct ColtCreditState *state)
{
  state->sequence = message->sequence;
  state->waiting = message->waiting;
  return colt_message_read_name_ (message->team, state->team)
         && message->waiting >= 0 && message->waiting <= COLT_QUOTA_MAX
         && colt_message_read_amount_ (message->ceiling, &state->ceiling)
         && read_finite_amount_ (message->running, &state->running)
         && read_finite_amount_ (message->lost, &state->lost)
         && read_finite_amount_ (message->unit, &state->unit);
}

static bool
read_item_ (const ColtCreditItemMsg *message, struct ColtCreditItem *item)
{
  item->sequence = message->sequence;
  item->report_sequence = message->seen;
  return colt_message_read_name_ (message->team, item->team)
         && message->sequence > 0
         && colt_message_read_amount_ (message->ceiling, &item->ceiling);
}

static bool
read_demand_ (const ColtDemandMsg *message, struct ColtDemand *demand)
{
  demand->waiting = message->waiting;
  return colt_message_read_name_ (message->team, demand->team)
         && message->waiting >= 0 && message->waiting <= COLT_QUOTA_MAX
         && read_finite_amount_ (message->running, &demand->running)
         && read_finite_amount_ (message->unit, &demand->unit);
}

static void
read_servers_ (ColtServerEpochMsg *const *messages,
               size_t count,
               struct ColtServerEpoch *servers)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      servers[i].server = messages[i]->server;
      servers[i].epoch = messages[i]->epoch;
    }
}

static struct ColtQuotaTransfer *
read_transfer_ (const ColtQuotaTransferMsg *message)
{
  struct ColtQuotaTransfer *transfer;
  size_t i;

  if (message->id.len != COLT_ID_SIZE
      || message->n_moves > COLT_QUOTA_ITEMS_MAX)
    return NULL;
  transfer = colt_quota_transfer_create (message->n_moves);
  memcpy (transfer->id.bytes, message->id.data, COLT_ID_SIZE);
  transfer->base = message->read_up_to;
  for (i = 0; i < message->n_moves; i++)
    if (!read_move_ (message->moves[i], &transfer->moves[i]))
      {
        colt_quota_transfer_destroy (transfer);
        return NULL;
      }
  return transfer;
}

static struct ColtCreditReport *
read_report_ (const ColtCreditReportMsg *message)
{
  struct ColtCreditReport *report;
  size_t i;

  if (message->shard >= COLT_SHARD_COUNT || message->owner == 0
      || message->n_states > COLT_QUOTA_ITEMS_MAX
      || message->n_held > COLT_QUOTA_ITEMS_MAX
      || message->n_lost > COLT_QUOTA_ITEMS_MAX)
    return NULL;
  report = colt_credit_report_create (message->n_states, message->n_held,
                                      message->n_lost);
  report->owner = message->owner;
  report->shard = message->shard;
  report->epoch = message->epoch;
  report->sequence = message->sequence;
  report->promise = message->promise;
  report->full = message->full;
  read_servers_ (message->held, message->n_held, report->held);
  read_servers_ (message->lost, message->n_lost, report->lost);
  for (i = 0; i < message->n_states; i++)
    if (!read_state_ (message->states[i], &report->states[i])
        || colt_team_shard (report->states[i].team) != report->shard)
      {
        colt_credit_report_destroy (report);
        return NULL;
      }
  return report;
}

static struct ColtCreditGrant *
read_grant_ (const ColtCreditGrantMsg *message)
{
  struct ColtCreditGrant *grant;
  size_t i;

  if (message->shard >= COLT_SHARD_COUNT || message->owner == 0
      || message->n_acks > COLT_QUOTA_ITEMS_MAX
      || message->n_items > COLT_QUOTA_ITEMS_MAX
      || message->n_settled > COLT_QUOTA_ITEMS_MAX)
    return NULL;
  grant = colt_credit_grant_create (message->n_acks, message->n_items,
                                    message->n_settled);
  grant->owner = message->owner;
  grant->shard = message->shard;
  grant->epoch = message->epoch;
  grant->recount = message->recount;
  grant->offset = message->offset;
  grant->promise = message->promise;
  for (i = 0; i < message->n_acks; i++)
    grant->acks[i] = message->acks[i];
  read_servers_ (message->settled, message->n_settled, grant->settled);
  for (i = 0; i < message->n_items; i++)
    if (!read_item_ (message->items[i], &grant->items[i])
        || colt_team_shard (grant->items[i].team) != grant->shard)
      {
        colt_credit_grant_destroy (grant);
        return NULL;
      }
  return grant;
}

static struct ColtDemandDigest *
read_digest_ (const ColtDemandDigestMsg *message)
{
  struct ColtDemandDigest *digest;
  size_t i;

  if (message->zone < 1 || message->zone > COLT_ZONE_MAX
      || message->n_demands > COLT_QUOTA_ITEMS_MAX)
    return NULL;
  digest = colt_demand_digest_create (message->n_demands);
  digest->zone = message->zone;
  digest->sequence = message->sequence;
  for (i = 0; i < message->n_demands; i++)
    if (!read_demand_ (message->demands[i], &digest->demands[i]))
      {
        colt_demand_digest_destroy (digest);
        return NULL;
      }
  return digest;
}
