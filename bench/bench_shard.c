/* Measures the cost of leading shards for several numbers of servers, with one
 * leader and eight owners. Prints one figure per line: name, value, unit. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/shard.h"

#define OWNERS 8u
#define INCARNATION UINT64_C (1790000000000)
#define IDLE_S 60
#define STEP_US (100 * COLT_US_PER_MS)

struct ColtBenchMessage
{
  uint32_t owner;
  bool is_open;
  uint8_t *body;
  size_t size;
};

struct ColtBench
{
  struct ColtShardOwner *owners[OWNERS + 1];
  struct ColtShardLeader *leader;
  GQueue messages; /* of struct ColtBenchMessage */
  int64_t now_us;
  size_t bytes;
  size_t count;
  int active_shards;
};

static bool
is_server_valid_ (void *client, uint32_t server, uint64_t epoch, int64_t now_us)
{
  (void)client;
  (void)server;
  (void)epoch;
  (void)now_us;
  return true;
}

static void
collect_reports_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  (void)client;
  (void)shard;
  (void)server;
  (void)reports;
}

static void
on_epoch_ (void *client, uint32_t shard, uint64_t epoch)
{
  (void)client;
  (void)shard;
  (void)epoch;
}

static void
queue_message_ (struct ColtBench *bench,
                uint32_t owner,
                bool is_open,
                uint8_t *body,
                size_t size)
{
  struct ColtBenchMessage message = { owner, is_open, body, size };

  bench->bytes += size;
  bench->count++;
  g_queue_push_tail (&bench->messages, g_memdup2 (&message, sizeof message));
}

static void
send_open_ (void *client, uint32_t owner, const struct ColtShardOpen *open)
{
  size_t size;
  uint8_t *body = colt_shard_open_pack (open, &size);

  queue_message_ (client, owner, true, body, size);
}

static void
send_confirm_ (void *client,
               uint32_t owner,
               const struct ColtShardConfirm *confirm)
{
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (confirm, &size);

  queue_message_ (client, owner, false, body, size);
}

static void
on_report_ (void *client, const struct ColtShardReport *report)
{
  (void)client;
  (void)report;
}

static void
on_active_ (void *client, uint32_t shard, uint64_t epoch, size_t missing)
{
  (void)shard;
  (void)epoch;
  (void)missing;
  ((struct ColtBench *)client)->active_shards++;
}

static void
on_lost_ (void *client, uint32_t shard, uint64_t epoch, enum ColtShardLoss loss)
{
  (void)client;
  (void)shard;
  (void)epoch;
  (void)loss;
}

static void
on_joined_ (void *client,
            uint32_t shard,
            uint32_t server,
            uint32_t owner,
            uint64_t server_epoch)
{
  (void)client;
  (void)shard;
  (void)server;
  (void)owner;
  (void)server_epoch;
}

static void
on_server_change_ (void *client, uint32_t shard, uint32_t server)
{
  (void)client;
  (void)shard;
  (void)server;
}

static const struct ColtShardOwnerClient owner_client
    = { is_server_valid_, collect_reports_, on_epoch_ };
static const struct ColtShardLeaderClient leader_client
    = { send_open_, send_confirm_,     on_epoch_,
        on_report_, on_active_,        on_lost_,
        on_joined_, on_server_change_, on_server_change_ };

static void
handle_open_ (struct ColtBench *bench, const struct ColtBenchMessage *message)
{
  struct ColtShardOpen open;
  struct ColtShardOpened opened;
  uint8_t *body;
  size_t size;

  if (!colt_shard_open_unpack (message->body, message->size, &open, NULL))
    abort ();
  colt_shard_owner_handle_open (bench->owners[message->owner], &open, &opened,
                                bench->now_us);
  colt_shard_open_clear (&open);
  body = colt_shard_opened_pack (&opened, &size);
  colt_shard_opened_clear (&opened);
  bench->bytes += size;
  if (!colt_shard_opened_unpack (body, size, &opened, NULL))
    abort ();
  colt_shard_leader_handle_opened (bench->leader, &opened, bench->now_us);
  colt_shard_opened_clear (&opened);
  free (body);
}

static void
handle_confirm_ (struct ColtBench *bench,
                 const struct ColtBenchMessage *message)
{
  struct ColtShardConfirm confirm;
  struct ColtShardConfirmed confirmed;
  uint8_t *body;
  size_t size;

  if (!colt_shard_confirm_unpack (message->body, message->size, &confirm, NULL))
    abort ();
  colt_shard_owner_handle_confirm (bench->owners[message->owner], &confirm,
                                   &confirmed, bench->now_us);
  colt_shard_confirm_clear (&confirm);
  body = colt_shard_confirmed_pack (&confirmed, &size);
  colt_shard_confirmed_clear (&confirmed);
  bench->bytes += size;
  if (!colt_shard_confirmed_unpack (body, size, &confirmed, NULL))
    abort ();
  colt_shard_leader_handle_confirmed (bench->leader, &confirmed, bench->now_us);
  colt_shard_confirmed_clear (&confirmed);
  free (body);
}

static void
deliver_messages_ (struct ColtBench *bench)
{
  struct ColtBenchMessage *message;

  while ((message = g_queue_pop_head (&bench->messages)) != NULL)
    {
      if (message->is_open)
        handle_open_ (bench, message);
      else
        handle_confirm_ (bench, message);
      free (message->body);
      g_free (message);
    }
}

static void
run_ (struct ColtBench *bench, int64_t duration_us)
{
  int64_t end = bench->now_us + duration_us;

  deliver_messages_ (bench);
  while (bench->now_us < end)
    {
      bench->now_us += STEP_US;
      if (colt_shard_leader_wake_time (bench->leader) <= bench->now_us)
        colt_shard_leader_process (bench->leader, bench->now_us);
      deliver_messages_ (bench);
    }
}

static double
cpu_ms_ (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

static void
print_ (uint32_t servers, const char *name, double value, const char *unit)
{
  printf ("shard_%s_%u_servers %.3f %s\n", name, servers, value, unit);
}

static void
create_instances_ (struct ColtBench *bench, uint32_t servers)
{
  uint32_t members[OWNERS];
  uint32_t *server_numbers = g_new0 (uint32_t, servers);
  struct ColtShardTimes times;
  uint32_t i;

  colt_shard_times_default (&times);
  for (i = 1; i <= OWNERS; i++)
    {
      members[i - 1] = i;
      bench->owners[i] = colt_shard_owner_create (i, INCARNATION + i, &times,
                                                  &owner_client, bench);
    }
  for (i = 0; i < servers; i++)
    {
      server_numbers[i] = i + 1;
      colt_shard_owner_add_server (bench->owners[i % OWNERS + 1], i + 1, 5,
                                   NULL, 0, bench->now_us);
    }
  bench->leader = colt_shard_leader_create (1, INCARNATION, &times,
                                            &leader_client, bench);
  colt_shard_leader_set_servers (bench->leader, server_numbers, servers,
                                 bench->now_us);
  colt_shard_leader_set_members (bench->leader, members, OWNERS, bench->now_us);
  g_free (server_numbers);
}

static void
measure_ (uint32_t servers)
{
  struct ColtBench bench = { 0 };
  double start;
  uint32_t i;

  bench.now_us = INT64_C (1000000) * COLT_US_PER_S;
  start = cpu_ms_ ();
  create_instances_ (&bench, servers);
  run_ (&bench, STEP_US);
  print_ (servers, "recount_cpu", cpu_ms_ () - start, "ms");
  print_ (servers, "recount_size", (double)bench.bytes, "bytes");
  print_ (servers, "recount_shards", bench.active_shards, "shards");
  bench.bytes = 0;
  bench.count = 0;
  start = cpu_ms_ ();
  run_ (&bench, IDLE_S * COLT_US_PER_S);
  print_ (servers, "rest_cpu", (cpu_ms_ () - start) / IDLE_S, "ms/s");
  print_ (servers, "rest_size", (double)bench.bytes / IDLE_S, "bytes/s");
  print_ (servers, "rest_messages", (double)bench.count / IDLE_S, "1/s");
  bench.bytes = 0;
  start = cpu_ms_ ();
  colt_shard_owner_remove_server (bench.owners[2], 2);
  colt_shard_owner_add_server (bench.owners[3], 2, 6, NULL, 0, bench.now_us);
  run_ (&bench, COLT_US_PER_S);
  print_ (servers, "change_cpu", cpu_ms_ () - start, "ms");
  print_ (servers, "change_size", (double)bench.bytes, "bytes");
  colt_shard_leader_destroy (bench.leader);
  for (i = 1; i <= OWNERS; i++)
    colt_shard_owner_destroy (bench.owners[i]);
}

int
main (void)
{
  measure_ (16);
  measure_ (104);
  measure_ (1040);
  return 0;
}
