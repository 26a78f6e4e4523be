/* Tests of amounts, the fold of the log, compliance and the packed form of
 * messages. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/entitlement.h"
#include "test_quota.h"

static const uint32_t zones[] = { 1, 2, 3, 4 };

static void
apply_bundle_ (struct ColtEntitlements *fold,
               uint64_t offset,
               int64_t tasks,
               size_t zone_count)
{
  struct ColtQuotaTeam team
      = { "team", { { tasks, COLT_QUOTA_UNLIMITED, 2 * tasks } } };
  struct ColtQuotaBundle bundle = { zones, NULL, zone_count, &team, 1 };

  colt_entitlements_apply_bundle (fold, offset, &bundle);
}

static int64_t
entitled_tasks_ (const struct ColtEntitlements *fold, uint32_t zone)
{
  struct ColtQuotaAmount amount;

  colt_entitlements_get (fold, "team", zone, &amount);
  return amount.amount[COLT_QUOTA_TASKS];
}

static int64_t
usable_tasks_ (const struct ColtEntitlements *fold, uint32_t zone)
{
  struct ColtQuotaAmount amount;

  colt_entitlements_get_usable (fold, "team", zone, &amount);
  return amount.amount[COLT_QUOTA_TASKS];
}

static size_t
apply_transfer_ (struct ColtEntitlements *fold,
                 uint64_t offset,
                 uint8_t id,
                 uint64_t base,
                 uint32_t from,
                 uint32_t to,
                 int64_t tasks)
{
  struct ColtQuotaMove move = { "team", from, to, { { tasks, 0, 0 } } };
  struct ColtQuotaTransfer transfer = { { { id } }, base, &move, 1 };

  return colt_entitlements_apply_transfer (fold, offset, &transfer);
}

static void
merge_compliance_ (struct ColtEntitlements *fold,
                   uint32_t zone,
                   uint64_t offset)
{
  struct ColtCompliance compliance = { zone, colt_team_shard ("team"), offset };

  colt_entitlements_merge_compliance (fold, &compliance);
}

static void
test_apportion (void)
{
  const int64_t weights[] = { 53, 24, 23 };
  const int64_t none[] = { 0, 0, 0 };
  int64_t parts[3];
  int64_t before[3] = { 0 };
  int64_t total;
  int i;

  colt_quota_apportion (7, weights, 3, 0, parts);
  g_assert_cmpint (parts[0], ==, 4);
  g_assert_cmpint (parts[1], ==, 2);
  g_assert_cmpint (parts[2], ==, 1);
  for (total = 0; total < 200; total++)
    {
      colt_quota_apportion (total, weights, 3, 1, parts);
      g_assert_cmpint (parts[0] + parts[1] + parts[2], ==, total);
      for (i = 0; i < 3; i++)
        g_assert_cmpint (parts[i], >=, before[i]);
      memcpy (before, parts, sizeof before);
    }
  colt_quota_apportion (2, none, 3, 1, parts);
  g_assert_cmpint (parts[0], ==, 0);
  g_assert_cmpint (parts[1] + parts[2], ==, 2);
  colt_quota_apportion (COLT_QUOTA_MAX, weights, 3, 0, parts);
  g_assert_cmpint (parts[0] + parts[1] + parts[2], ==, COLT_QUOTA_MAX);
}

static void
test_fill (void)
{
  const struct ColtQuotaAmount total = { { 10, 9000, 0 } };
  struct ColtQuotaNeed needs[3]
      = { { { { 2, 2000, 0 } }, { { 1, 1000, 0 } }, 9 },
          { { { 0 } }, { { 1, 4000, 0 } }, 2 },
          { { { 0 } }, { { 1, 0, 1 } }, 1 } };
  struct ColtQuotaAmount granted[3];
  struct ColtQuotaAmount sum = { { 0 } };
  int64_t unserved = colt_quota_fill (&total, needs, 3, 0, granted);
  int i;

  for (i = 0; i < 3; i++)
    colt_quota_add (&sum, &granted[i]);
  g_assert_true (colt_quota_is_within (&sum, &total));
  g_assert_cmpint (granted[1].amount[COLT_QUOTA_TASKS], ==, 1);
  g_assert_cmpint (granted[1].amount[COLT_QUOTA_CORES], ==, 4000);
  g_assert_cmpint (granted[0].amount[COLT_QUOTA_TASKS], ==, 5);
  g_assert_true (colt_quota_is_zero (&granted[2]));
  g_assert_cmpint (unserved, ==, 6 + 1 + 1);
}

static void
test_split (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();

  apply_bundle_ (fold, 1, 10, 3);
  g_assert_cmpint (entitled_tasks_ (fold, 1) + entitled_tasks_ (fold, 2)
                       + entitled_tasks_ (fold, 3),
                   ==, 10);
  g_assert_cmpint (MIN (entitled_tasks_ (fold, 1), entitled_tasks_ (fold, 2)),
                   ==, 3);
  g_assert_cmpint (usable_tasks_ (fold, 1), ==, entitled_tasks_ (fold, 1));
  apply_bundle_ (fold, 2, 1, 3);
  g_assert_cmpint (entitled_tasks_ (fold, 1) + entitled_tasks_ (fold, 2)
                       + entitled_tasks_ (fold, 3),
                   ==, 1);
  g_assert_cmpuint (colt_entitlements_last_change (fold), ==, 2);
  apply_bundle_ (fold, 3, 1, 3);
  g_assert_cmpuint (colt_entitlements_last_change (fold), ==, 2);
  g_assert_cmpuint (colt_entitlements_position (fold), ==, 3);
  colt_entitlements_destroy (fold);
}

static void
test_zones_change (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();

  apply_bundle_ (fold, 1, 12, 3);
  apply_bundle_ (fold, 2, 12, 4);
  g_assert_cmpint (entitled_tasks_ (fold, 4), ==, 0);
  apply_bundle_ (fold, 3, 16, 4);
  g_assert_cmpint (entitled_tasks_ (fold, 4), ==, 1);
  apply_bundle_ (fold, 4, 16, 2);
  g_assert_cmpint (entitled_tasks_ (fold, 1) + entitled_tasks_ (fold, 2), ==,
                   16);
  g_assert_cmpint (entitled_tasks_ (fold, 3), ==, 0);
  merge_compliance_ (fold, 1, 4);
  merge_compliance_ (fold, 2, 4);
  g_assert_cmpint (usable_tasks_ (fold, 1), <, entitled_tasks_ (fold, 1));
  merge_compliance_ (fold, 3, 4);
  g_assert_cmpint (usable_tasks_ (fold, 1), <, entitled_tasks_ (fold, 1));
  merge_compliance_ (fold, 4, 4);
  g_assert_cmpint (usable_tasks_ (fold, 1), ==, entitled_tasks_ (fold, 1));
  colt_entitlements_destroy (fold);
}

static void
test_invalid_transfers (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();
  const uint64_t late = COLT_TRANSFER_WINDOW + 10;

  apply_bundle_ (fold, 1, 9, 3);
  g_assert_cmpuint (apply_transfer_ (fold, 2, 1, 1, 1, 2, 4), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, 3, 2, 1, 1, 1, 1), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, 4, 3, 1, 1, 4, 1), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, 5, 4, 9, 1, 2, 1), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, 6, 5, 1, 1, 2, 1), ==, 1);
  g_assert_cmpuint (apply_transfer_ (fold, 7, 5, 1, 1, 2, 1), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, late, 6, 8, 1, 2, 1), ==, 0);
  g_assert_cmpuint (apply_transfer_ (fold, late, 5, 1, 1, 2, 1), ==, 0);
  g_assert_cmpint (entitled_tasks_ (fold, 1), ==, 2);
  g_assert_cmpint (entitled_tasks_ (fold, 2), ==, 4);
  colt_entitlements_destroy (fold);
}

static void
test_usable_is_least (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();

  apply_bundle_ (fold, 1, 9, 3);
  apply_transfer_ (fold, 2, 1, 1, 1, 2, 2);
  apply_transfer_ (fold, 3, 2, 1, 2, 1, 1);
  g_assert_cmpint (usable_tasks_ (fold, 1), ==, 1);
  g_assert_cmpint (usable_tasks_ (fold, 2), ==, 3);
  merge_compliance_ (fold, 1, 2);
  merge_compliance_ (fold, 2, 2);
  g_assert_cmpint (usable_tasks_ (fold, 2), ==, 3);
  merge_compliance_ (fold, 3, 3);
  g_assert_cmpint (usable_tasks_ (fold, 2), ==, 4);
  g_assert_cmpint (usable_tasks_ (fold, 1), ==, 1);
  g_assert_false (colt_entitlements_is_settled (fold, "team"));
  merge_compliance_ (fold, 1, 3);
  merge_compliance_ (fold, 2, 3);
  g_assert_cmpint (usable_tasks_ (fold, 1), ==, 2);
  g_assert_true (colt_entitlements_is_settled (fold, "team"));
  colt_entitlements_destroy (fold);
}

/* A team with too many running tasks delays its own compliance only, not that
 * of the shard. */
static void
test_exceptions (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();
  struct ColtComplianceException exception = { "team", 2, 3 };
  struct ColtCompliance compliance
      = { 1, colt_team_shard ("team"), 7, &exception, 1 };
  struct ColtComplianceVector *vector;

  g_assert_true (colt_entitlements_merge_compliance (fold, &compliance));
  g_assert_false (colt_entitlements_merge_compliance (fold, &compliance));
  g_assert_cmpuint (colt_entitlements_complied_offset (fold, 1, "team"), ==, 2);
  g_assert_cmpuint (
      colt_entitlements_shard_complied_offset (fold, 1, compliance.shard), ==,
      7);
  vector = colt_entitlements_list_compliance (fold, 0);
  g_assert_cmpuint (vector->entry_count, ==, 1);
  g_assert_cmpuint (vector->entries[0].exceptions[0].highest, ==, 3);
  colt_compliance_vector_destroy (vector);
  compliance.offset = 5;
  compliance.exception_count = 0;
  g_assert_true (colt_entitlements_merge_compliance (fold, &compliance));
  g_assert_cmpuint (colt_entitlements_complied_offset (fold, 1, "team"), ==, 5);
  compliance.offset = 7;
  g_assert_true (colt_entitlements_merge_compliance (fold, &compliance));
  g_assert_cmpuint (colt_entitlements_complied_offset (fold, 1, "team"), ==, 7);
  vector = colt_entitlements_list_compliance (
      fold, colt_entitlements_compliance_version (fold));
  g_assert_cmpuint (vector->entry_count, ==, 0);
  colt_compliance_vector_destroy (vector);
  colt_entitlements_destroy (fold);
}

static void
test_packed (void)
{
  struct ColtEntitlements *fold = colt_entitlements_create ();
  struct ColtEntitlements *copy;
  struct ColtError error = { 0 };
  uint8_t *bytes;
  size_t size;
  size_t i;

  apply_bundle_ (fold, 1, 9, 3);
  apply_transfer_ (fold, 2, 1, 1, 1, 2, 2);
  merge_compliance_ (fold, 1, 2);
  bytes = colt_entitlements_pack (fold, &size);
  copy = colt_entitlements_unpack (bytes, size, &error);
  g_assert_nonnull (copy);
  g_assert_cmpint (usable_tasks_ (copy, 2), ==, usable_tasks_ (fold, 2));
  g_assert_cmpuint (apply_transfer_ (copy, 3, 1, 1, 1, 2, 1), ==, 0);
  g_assert_cmpuint (colt_entitlements_complied_offset (copy, 1, "team"), ==, 2);
  colt_entitlements_destroy (copy);
  for (i = 0; i < size; i++)
    {
      copy = colt_entitlements_unpack (bytes, i, &error);
      colt_entitlements_destroy (copy);
    }
  g_assert_null (colt_entitlements_unpack (bytes, size / 2, &error));
  g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
  free (bytes);
  colt_entitlements_destroy (fold);
}

static void
test_transfer_message (void)
{
  struct ColtQuotaTransfer *transfer = colt_quota_transfer_create (1);
  struct ColtQuotaTransfer *unpacked;
  struct ColtError error = { 0 };
  uint8_t *bytes;
  size_t size;

  g_strlcpy (transfer->moves[0].team, "team", COLT_NAME_SIZE);
  transfer->base = 77;
  transfer->moves[0].from = 1;
  transfer->moves[0].to = COLT_ZONE_MAX;
  transfer->moves[0].amount.amount[COLT_QUOTA_CORES] = 500;
  bytes = colt_quota_transfer_pack (transfer, &size);
  unpacked = colt_quota_transfer_unpack (bytes, size, &error);
  g_assert_nonnull (unpacked);
  g_assert_cmpuint (unpacked->base, ==, 77);
  g_assert_cmpint (unpacked->moves[0].amount.amount[COLT_QUOTA_CORES], ==, 500);
  colt_quota_transfer_destroy (unpacked);
  free (bytes);
  transfer->moves[0].to = COLT_ZONE_MAX + 1;
  bytes = colt_quota_transfer_pack (transfer, &size);
  g_assert_null (colt_quota_transfer_unpack (bytes, size, &error));
  g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
  free (bytes);
  transfer->moves[0].to = 2;
  transfer->moves[0].amount.amount[COLT_QUOTA_TASKS] = COLT_QUOTA_UNLIMITED;
  bytes = colt_quota_transfer_pack (transfer, &size);
  g_assert_null (colt_quota_transfer_unpack (bytes, size, &error));
  free (bytes);
  colt_quota_transfer_destroy (transfer);
}

static void
test_grant_message (void)
{
  struct ColtCreditGrant *grant = colt_credit_grant_create (1, 1, 1);
  struct ColtCreditGrant *unpacked;
  uint8_t *bytes;
  size_t size;

  grant->owner = 9;
  grant->shard = colt_team_shard ("team");
  grant->acks[0] = 5;
  grant->settled[0].server = 4;
  grant->items[0].sequence = 1;
  grant->items[0].ceiling.amount[COLT_QUOTA_CORES] = COLT_QUOTA_UNLIMITED;
  g_strlcpy (grant->items[0].team, "team", COLT_NAME_SIZE);
  bytes = colt_credit_grant_pack (grant, &size);
  unpacked = colt_credit_grant_unpack (bytes, size, NULL);
  g_assert_nonnull (unpacked);
  g_assert_cmpuint (unpacked->acks[0], ==, 5);
  g_assert_cmpuint (unpacked->settled[0].server, ==, 4);
  g_assert_true (
      colt_quota_equal (&unpacked->items[0].ceiling, &grant->items[0].ceiling));
  colt_credit_grant_destroy (unpacked);
  free (bytes);
  grant->shard = (grant->shard + 1) % COLT_SHARD_COUNT;
  bytes = colt_credit_grant_pack (grant, &size);
  g_assert_null (colt_credit_grant_unpack (bytes, size, NULL));
  free (bytes);
  colt_credit_grant_destroy (grant);
}

void
colt_add_fold_tests (void)
{
  g_test_add_func ("/quota/apportion", test_apportion);
  g_test_add_func ("/quota/fill", test_fill);
  g_test_add_func ("/quota/fold/split", test_split);
  g_test_add_func ("/quota/fold/zones", test_zones_change);
  g_test_add_func ("/quota/fold/transfers", test_invalid_transfers);
  g_test_add_func ("/quota/fold/least", test_usable_is_least);
  g_test_add_func ("/quota/fold/exceptions", test_exceptions);
  g_test_add_func ("/quota/fold/packed", test_packed);
  g_test_add_func ("/quota/messages/transfer", test_transfer_message);
  g_test_add_func ("/quota/messages/grant", test_grant_message);
}
