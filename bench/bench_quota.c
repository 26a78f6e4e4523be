/* Measures the cost of quotas for several numbers of teams in five zones: the
 * fold, an owner's credits and the credit leaders. Prints one figure per line:
 * name, value, unit. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coltsfootstile/credits.h"
#include "coltsfootstile/entitlement.h"

enum
{
  ZONES = 5,
  OWNERS = 8,
  SERVERS = 130,
  TEAM_TASKS = 400,
  RECORDS = 200,
  STARTS = 1000000
};

struct ColtBench
{
  int teams;
  char (*names)[COLT_NAME_SIZE];
  struct ColtEntitlements *fold;
  struct ColtCreditHolder *holder;
  struct ColtCreditLeader *leaders[COLT_SHARD_COUNT];
  uint64_t messages;
  uint64_t bytes;
};

static double
now_s_ (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double
allocated_bytes_ (void)
{
  return (double)mallinfo2 ().uordblks;
}

static void
print_ (const struct ColtBench *bench,
        const char *name,
        double value,
        const char *unit)
{
  printf ("quota.%s.%dteams %.3f %s\n", name, bench->teams, value, unit);
}

static void
send_report_ (void *context, const struct ColtCreditReport *report)
{
  struct ColtBench *bench = context;
  size_t size;

  free (colt_credit_report_pack (report, &size));
  bench->messages++;
  bench->bytes += size;
  colt_credit_leader_handle_report (bench->leaders[report->shard], report,
                                    NULL);
}

static void
send_grant_ (void *context, const struct ColtCreditGrant *grant)
{
  struct ColtBench *bench = context;
  size_t size;

  free (colt_credit_grant_pack (grant, &size));
  bench->messages++;
  bench->bytes += size;
  if (grant->owner == 1)
    colt_credit_holder_handle_grant (bench->holder, grant, NULL);
}

static void
apply_bundle_ (struct ColtBench *bench, uint64_t offset, int64_t tasks)
{
  static const uint32_t zones[ZONES] = { 1, 2, 3, 4, 5 };
  struct ColtQuotaTeam *teams
      = g_new0 (struct ColtQuotaTeam, (size_t)bench->teams);
  struct ColtQuotaBundle bundle
      = { zones, NULL, ZONES, teams, (size_t)bench->teams };
  int i;

  for (i = 0; i < bench->teams; i++)
    {
      memcpy (teams[i].team, bench->names[i], COLT_NAME_SIZE);
      teams[i].limit.amount[COLT_QUOTA_TASKS] = tasks;
      teams[i].limit.amount[COLT_QUOTA_CORES] = 1000 * tasks;
      teams[i].limit.amount[COLT_QUOTA_ACCELERATORS] = tasks;
    }
  colt_entitlements_apply_bundle (bench->fold, offset, &bundle);
  g_free (teams);
}

static void
measure_fold_ (struct ColtBench *bench)
{
  double before = allocated_bytes_ ();
  double start;
  uint64_t offset = 1;
  size_t size;
  int i;

  bench->fold = colt_entitlements_create ();
  apply_bundle_ (bench, offset++, TEAM_TASKS);
  print_ (bench, "fold.memory", (allocated_bytes_ () - before) / 1024, "KB");
  start = now_s_ ();
  for (i = 0; i < RECORDS; i++)
    apply_bundle_ (bench, offset++, TEAM_TASKS + i % 2);
  print_ (bench, "fold.bundle", (now_s_ () - start) / RECORDS * 1e6, "us");
  print_ (bench, "fold.memory_zone_parted",
          (allocated_bytes_ () - before) / 1024, "KB");
  free (colt_entitlements_pack (bench->fold, &size));
  print_ (bench, "fold.packed", (double)size / 1024, "KB");
}

static void
create_credits_ (struct ColtBench *bench)
{
  uint32_t shard;
  int i;

  bench->holder = colt_credit_holder_create (1, 0, send_report_, bench);
  for (i = 0; i < SERVERS; i++)
    colt_credit_holder_add_server (bench->holder, (uint32_t)i, 1);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      bench->leaders[shard] = colt_credit_leader_create (
          1, shard, 1, bench->fold, send_grant_, bench);
      colt_credit_leader_add_owner (bench->leaders[shard], 1);
    }
}

static void
process_credits_ (struct ColtBench *bench, int64_t now_us)
{
  uint32_t shard;

  colt_credit_holder_process (bench->holder, now_us);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_credit_leader_process (bench->leaders[shard], now_us);
}

static void
measure_credits_ (struct ColtBench *bench)
{
  const struct ColtQuotaAmount unit = { { 1, 1000, 0 } };
  double before = allocated_bytes_ ();
  double start;
  int64_t now_us = 0;
  int started = 0;
  int i;

  create_credits_ (bench);
  for (i = 0; i < 20; i++)
    process_credits_ (bench, now_us += COLT_CREDIT_RETRY_US);
  print_ (bench, "credits.memory_idle", (allocated_bytes_ () - before) / 1024,
          "KB");
  for (i = 0; i < bench->teams; i++)
    colt_credit_holder_set_waiting (bench->holder, bench->names[i], 4, &unit);
  for (i = 0; i < 20; i++)
    process_credits_ (bench, now_us += COLT_CREDIT_RETRY_US);
  print_ (bench, "credits.memory_in_use", (allocated_bytes_ () - before) / 1024,
          "KB");
  start = now_s_ ();
  for (i = 0; i < STARTS; i++)
    {
      const char *name = bench->names[i % bench->teams];
      uint32_t server = (uint32_t)(i % SERVERS);

      if (!colt_credit_holder_acquire (bench->holder, name, server, &unit))
        continue;
      started++;
      colt_credit_holder_release (bench->holder, name, server, &unit);
    }
  print_ (bench, "credits.take_and_give", (now_s_ () - start) / STARTS * 1e9,
          "ns");
  print_ (bench, "credits.granted", 100.0 * started / STARTS, "%");
}

static void
measure_process_ (struct ColtBench *bench, int64_t now_us, const char *name)
{
  double start;
  int i;

  for (i = 0; i < 50; i++)
    process_credits_ (bench, now_us += COLT_CREDIT_RETRY_US);
  bench->messages = 0;
  start = now_s_ ();
  for (i = 0; i < RECORDS; i++)
    process_credits_ (bench, now_us += COLT_CREDIT_RETRY_US);
  print_ (bench, name, (now_s_ () - start) / RECORDS * 1e6, "us");
}

static void
measure_waiting_and_rest_ (struct ColtBench *bench)
{
  const struct ColtQuotaAmount unit = { { 1, 1000, 0 } };
  int i;

  measure_process_ (bench, 100 * INT64_C (1000000), "waiting.process_64_leads");
  for (i = 0; i < bench->teams; i++)
    colt_credit_holder_set_waiting (bench->holder, bench->names[i], 0, &unit);
  measure_process_ (bench, 500 * INT64_C (1000000), "rest.process_64_leads");
  print_ (bench, "rest.messages", (double)bench->messages, "messages");
}

static void
measure_limit_change_ (struct ColtBench *bench)
{
  int64_t now_us = 1000 * INT64_C (1000000);
  int i;

  bench->messages = 0;
  bench->bytes = 0;
  apply_bundle_ (bench, RECORDS + 2, 2 * TEAM_TASKS);
  for (i = 0; i < 20; i++)
    process_credits_ (bench, now_us += COLT_CREDIT_RETRY_US);
  print_ (bench, "change_of_all_teams.messages_per_owner",
          (double)bench->messages, "messages");
  print_ (bench, "change_of_all_teams.bytes_per_owner",
          (double)bench->bytes / 1024, "KB");
}

static void
measure_teams_ (int teams)
{
  struct ColtBench bench = { 0 };
  uint32_t shard;
  int i;

  bench.teams = teams;
  bench.names = g_malloc0 ((size_t)teams * COLT_NAME_SIZE);
  for (i = 0; i < teams; i++)
    g_snprintf (bench.names[i], COLT_NAME_SIZE, "organisation-%d/team-%d",
                i % OWNERS, i);
  measure_fold_ (&bench);
  measure_credits_ (&bench);
  measure_waiting_and_rest_ (&bench);
  measure_limit_change_ (&bench);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_credit_leader_destroy (bench.leaders[shard]);
  colt_credit_holder_destroy (bench.holder);
  colt_entitlements_destroy (bench.fold);
  g_free (bench.names);
}

int
main (void)
{
  measure_teams_ (6);
  measure_teams_ (60);
  measure_teams_ (370);
  return 0;
}
