/* Fuzzes the fold of quota records. At each offset, the entitlements of the
 * zones must add up to the limit, and the usable amounts must be the least over
 * the offsets of a reference model. A packed fold must unpack and pack again to
 * the same size. The raw input is also unpacked as each kind of message. */
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/entitlement.h"

enum
{
  ZONES = 4,
  RECORDS_MAX = 128
};

static const char *const team_name = "team";

struct ColtFoldModel
{
  struct ColtEntitlements *fold;
  uint64_t offset;
  int64_t limit;                              /* tasks */
  int64_t values[RECORDS_MAX + 1][ZONES + 1]; /* entitled tasks, by offset */
  uint64_t complied_offset[ZONES + 1];
  uint64_t first_offset; /* offset of the first bundle with the team */
};

static void
require_ (bool condition)
{
  if (!condition)
    abort ();
}

static void
apply_bundle_ (struct ColtFoldModel *model, uint8_t limit, uint8_t weights)
{
  static const uint32_t zones[ZONES] = { 1, 2, 3, 4 };
  const int64_t weight[ZONES]
      = { 1 + (weights & 3), weights >> 2 & 3, weights >> 4 & 3, weights >> 6 };
  struct ColtQuotaTeam team = { "team", { { limit, 2 * limit, 0 } } };
  struct ColtQuotaBundle bundle = { zones, weight, ZONES, &team, 1 };

  colt_entitlements_apply_bundle (model->fold, ++model->offset, &bundle);
  model->limit = limit;
  if (model->first_offset == 0)
    model->first_offset = model->offset;
}

static void
apply_transfer_ (struct ColtFoldModel *model, uint8_t zones, uint8_t amount)
{
  struct ColtQuotaMove move = { "team" };
  struct ColtQuotaTransfer transfer = { { { 0 } }, 0, &move, 1 };

  move.from = zones & 7;
  move.to = zones >> 3 & 7;
  move.amount.amount[COLT_QUOTA_TASKS] = amount % 32;
  move.amount.amount[COLT_QUOTA_CORES] = amount / 32;
  transfer.id.bytes[0] = zones >> 6;
  transfer.id.bytes[1] = amount;
  colt_entitlements_apply_transfer (model->fold, ++model->offset, &transfer);
}

static void
merge_compliance_ (struct ColtFoldModel *model, uint8_t zone, uint8_t offset)
{
  struct ColtCompliance compliance = { 0 };

  compliance.zone = 1 + zone % ZONES;
  compliance.shard = colt_team_shard (team_name);
  compliance.offset = offset % (model->offset + 1);
  colt_entitlements_merge_compliance (model->fold, &compliance);
  if (compliance.offset > model->complied_offset[compliance.zone])
    model->complied_offset[compliance.zone] = compliance.offset;
}

static void
check_amounts_ (struct ColtFoldModel *model)
{
  uint64_t lowest = model->offset;
  int64_t sum = 0;
  uint32_t zone;

  for (zone = 1; zone <= ZONES; zone++)
    if (model->complied_offset[zone] < lowest)
      lowest = model->complied_offset[zone];
  for (zone = 1; zone <= ZONES; zone++)
    {
      struct ColtQuotaAmount amount;
      int64_t least;
      uint64_t offset;

      colt_entitlements_get (model->fold, team_name, zone, &amount);
      sum += amount.amount[COLT_QUOTA_TASKS];
      model->values[model->offset][zone] = amount.amount[COLT_QUOTA_TASKS];
      least = amount.amount[COLT_QUOTA_TASKS];
      for (offset = model->offset; model->first_offset > 0 && offset >= lowest
                                   && offset >= model->first_offset;
           offset--)
        if (model->values[offset][zone] < least)
          least = model->values[offset][zone];
      colt_entitlements_get_usable (model->fold, team_name, zone, &amount);
      require_ (amount.amount[COLT_QUOTA_TASKS] == least);
    }
  require_ (sum == model->limit);
}

static void
check_packed_ (struct ColtFoldModel *model)
{
  size_t size;
  size_t repacked_size;
  uint8_t *bytes = colt_entitlements_pack (model->fold, &size);
  uint8_t *repacked;
  struct ColtEntitlements *copy = colt_entitlements_unpack (bytes, size, NULL);

  require_ (copy != NULL);
  repacked = colt_entitlements_pack (copy, &repacked_size);
  require_ (repacked_size == size);
  colt_entitlements_destroy (model->fold);
  model->fold = copy;
  free (bytes);
  free (repacked);
}

static void
unpack_input_ (const uint8_t *bytes, size_t size)
{
  colt_entitlements_destroy (colt_entitlements_unpack (bytes, size, NULL));
  colt_quota_transfer_destroy (colt_quota_transfer_unpack (bytes, size, NULL));
  colt_compliance_vector_destroy (
      colt_compliance_vector_unpack (bytes, size, NULL));
  colt_credit_report_destroy (colt_credit_report_unpack (bytes, size, NULL));
  colt_credit_grant_destroy (colt_credit_grant_unpack (bytes, size, NULL));
  colt_demand_digest_destroy (colt_demand_digest_unpack (bytes, size, NULL));
}

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  struct ColtFoldModel model = { 0 };
  size_t i;

  unpack_input_ (bytes, size);
  model.fold = colt_entitlements_create ();
  for (i = 0; i + 3 <= size && model.offset < RECORDS_MAX; i += 3)
    {
      switch (bytes[i] % 5)
        {
        case 0:
          apply_bundle_ (&model, bytes[i + 1], bytes[i + 2]);
          break;
        case 1:
        case 2:
          apply_transfer_ (&model, bytes[i + 1], bytes[i + 2]);
          break;
        case 3:
          merge_compliance_ (&model, bytes[i + 1], bytes[i + 2]);
          break;
        default:
          check_packed_ (&model);
          break;
        }
      check_amounts_ (&model);
    }
  colt_entitlements_destroy (model.fold);
  return 0;
}
