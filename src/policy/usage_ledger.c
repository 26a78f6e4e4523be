#include "coltsfootstile/usage_ledger.h"

#include <glib.h>
#include <math.h>

#include "coltsfootstile/clock.h"

/* Difference of excesses for the longest wait, in parts of an account. */
#define EXCESS_MAX 4.0
/* Number of steps of the handicap, so that differences of less than a quarter
 * of an account's part don't change the order. */
#define HANDICAP_STEPS 16

/* Larger recorded amounts are malformed; sums must stay finite. */
#define AMOUNT_S_MAX 1e18

struct ColtUsageAccount
{
  double sum[COLT_USAGE_RESOURCES];   /* amount times microseconds */
  int64_t rate[COLT_USAGE_RESOURCES]; /* amount of the runs that go on */
  int64_t updated_us;
};

struct ColtUsageLedger
{
  double half_life_us;
  GArray *accounts; /* of struct ColtUsageAccount */
};

static struct ColtUsageAccount *
get_account_ (const struct ColtUsageLedger *ledger, uint32_t account);
static struct ColtUsageAccount advance_ (const struct ColtUsageLedger *ledger,
                                         const struct ColtUsageAccount *account,
                                         int64_t now_us);

struct ColtUsageLedger *
colt_usage_ledger_create (int64_t half_life_us)
{
  struct ColtUsageLedger *ledger = g_new0 (struct ColtUsageLedger, 1);

  g_assert (half_life_us > 0);
  ledger->half_life_us = (double)half_life_us;
  ledger->accounts
      = g_array_new (FALSE, TRUE, sizeof (struct ColtUsageAccount));
  return ledger;
}

void
colt_usage_ledger_destroy (struct ColtUsageLedger *ledger)
{
  if (ledger == NULL)
    return;
  g_array_unref (ledger->accounts);
  g_free (ledger);
}

uint32_t
colt_usage_ledger_add_account (struct ColtUsageLedger *ledger)
{
  g_array_set_size (ledger->accounts, ledger->accounts->len + 1);
  return ledger->accounts->len - 1;
}

void
colt_usage_ledger_start (struct ColtUsageLedger *ledger,
                         uint32_t account,
                         const struct ColtResources *demand,
                         int64_t now_us)
{
  struct ColtUsageAccount *item = get_account_ (ledger, account);
  int r;

  *item = advance_ (ledger, item, now_us);
  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    item->rate[r] += demand->amount[r];
}

void
colt_usage_ledger_end (struct ColtUsageLedger *ledger,
                       uint32_t account,
                       const struct ColtResources *demand,
                       int64_t now_us)
{
  struct ColtUsageAccount *item = get_account_ (ledger, account);
  int r;

  *item = advance_ (ledger, item, now_us);
  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    item->rate[r] -= demand->amount[r];
}

void
colt_usage_ledger_restore (struct ColtUsageLedger *ledger,
                           uint32_t account,
                           const struct ColtUsage *usage,
                           int64_t age_us,
                           int64_t now_us)
{
  struct ColtUsageAccount *item = get_account_ (ledger, account);
  double age = CLAMP ((double)age_us / ledger->half_life_us, 0.0, 1.0);
  int r;

  *item = advance_ (ledger, item, now_us);
  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    if (usage->amount_s[r] > 0 && usage->amount_s[r] <= AMOUNT_S_MAX)
      item->sum[r] += usage->amount_s[r] * COLT_US_PER_S * exp2 (-age);
}

struct ColtUsage
colt_usage_ledger_read (const struct ColtUsageLedger *ledger,
                        uint32_t account,
                        int64_t now_us)
{
  const struct ColtUsageAccount item
      = advance_ (ledger, get_account_ (ledger, account), now_us);
  struct ColtUsage usage;
  int r;

  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    usage.amount_s[r] = item.sum[r] / COLT_US_PER_S;
  return usage;
}

double
colt_usage_ledger_share (const struct ColtUsageLedger *ledger,
                         uint32_t account,
                         const struct ColtResources *fleet,
                         int64_t now_us)
{
  const struct ColtUsageAccount item
      = advance_ (ledger, get_account_ (ledger, account), now_us);
  double share = 0;
  int r;

  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    if (fleet->amount[r] > 0)
      share = MAX (share,
                   item.sum[r] * G_LN2
                       / ((double)fleet->amount[r] * ledger->half_life_us));
  return share;
}

double
colt_usage_excess (double share, double part)
{
  return part > 0 ? MAX (share / part - 1, 0) : 0;
}

int64_t
colt_usage_handicap_us (double excess, double least, int64_t wait_max_us)
{
  double part = CLAMP ((excess - least) / EXCESS_MAX, 0.0, 1.0);

  return wait_max_us * (int64_t)(part * HANDICAP_STEPS) / HANDICAP_STEPS;
}

static struct ColtUsageAccount *
get_account_ (const struct ColtUsageLedger *ledger, uint32_t account)
{
  g_assert (account < ledger->accounts->len);
  return &g_array_index (ledger->accounts, struct ColtUsageAccount, account);
}

/* Returns an account at a later time: its sums decay, and what its runs use in
 * between is the integral of their rate times the decay. */
static struct ColtUsageAccount
advance_ (const struct ColtUsageLedger *ledger,
          const struct ColtUsageAccount *account,
          int64_t now_us)
{
  struct ColtUsageAccount item = *account;
  double elapsed;
  double lost;
  int r;

  if (now_us <= item.updated_us)
    return item;
  elapsed = (double)(now_us - item.updated_us) / ledger->half_life_us;
  lost = -expm1 (-elapsed * G_LN2);
  for (r = 0; r < COLT_USAGE_RESOURCES; r++)
    item.sum[r] += lost
                   * ((double)item.rate[r] * ledger->half_life_us / G_LN2
                      - item.sum[r]);
  item.updated_us = now_us;
  return item;
}
