#include "coltsfootstile/quota_messages.h"

#include <glib.h>

struct ColtQuotaTransfer *
colt_quota_transfer_create (size_t move_count)
{
  struct ColtQuotaTransfer *transfer = g_new0 (struct ColtQuotaTransfer, 1);

  transfer->moves = g_new0 (struct ColtQuotaMove, move_count);
  transfer->move_count = move_count;
  return transfer;
}

void
colt_quota_transfer_destroy (struct ColtQuotaTransfer *transfer)
{
  if (transfer == NULL)
    return;
  g_free (transfer->moves);
  g_free (transfer);
}

struct ColtComplianceVector *
colt_compliance_vector_create (size_t entry_count)
{
  struct ColtComplianceVector *vector = g_new0 (struct ColtComplianceVector, 1);

  vector->entries = g_new0 (struct ColtCompliance, entry_count);
  vector->entry_count = entry_count;
  return vector;
}

void
colt_compliance_vector_destroy (struct ColtComplianceVector *vector)
{
  size_t i;

  if (vector == NULL)
    return;
  for (i = 0; i < vector->entry_count; i++)
    g_free (vector->entries[i].exceptions);
  g_free (vector->entries);
  g_free (vector);
}

struct ColtCreditReport *
colt_credit_report_create (size_t state_count,
                           size_t held_count,
                           size_t lost_count)
{
  struct ColtCreditReport *report = g_new0 (struct ColtCreditReport, 1);

  report->states = g_new0 (struct ColtCreditState, state_count);
  report->state_count = state_count;
  report->held = g_new0 (struct ColtServerEpoch, held_count);
  report->held_count = held_count;
  report->lost = g_new0 (struct ColtServerEpoch, lost_count);
  report->lost_count = lost_count;
  return report;
}

void
colt_credit_report_destroy (struct ColtCreditReport *report)
{
  if (report == NULL)
    return;
  g_free (report->states);
  g_free (report->held);
  g_free (report->lost);
  g_free (report);
}

struct ColtCreditGrant *
colt_credit_grant_create (size_t ack_count,
                          size_t item_count,
                          size_t settled_count)
{
  struct ColtCreditGrant *grant = g_new0 (struct ColtCreditGrant, 1);

  grant->acks = g_new0 (uint64_t, ack_count);
  grant->ack_count = ack_count;
  grant->items = g_new0 (struct ColtCreditItem, item_count);
  grant->item_count = item_count;
  grant->settled = g_new0 (struct ColtServerEpoch, settled_count);
  grant->settled_count = settled_count;
  return grant;
}

void
colt_credit_grant_destroy (struct ColtCreditGrant *grant)
{
  if (grant == NULL)
    return;
  g_free (grant->acks);
  g_free (grant->items);
  g_free (grant->settled);
  g_free (grant);
}

struct ColtDemandDigest *
colt_demand_digest_create (size_t demand_count)
{
  struct ColtDemandDigest *digest = g_new0 (struct ColtDemandDigest, 1);

  digest->demands = g_new0 (struct ColtDemand, demand_count);
  digest->demand_count = demand_count;
  return digest;
}

void
colt_demand_digest_destroy (struct ColtDemandDigest *digest)
{
  if (digest == NULL)
    return;
  g_free (digest->demands);
  g_free (digest);
}
