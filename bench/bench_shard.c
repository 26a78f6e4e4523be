/* Cost of shard leads: one lead and eight owners, for a number of servers.
 * Prints a line a figure: name, value, unit. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/shard.h"

#define OWNERS 8u
#define INCARNATION UINT64_C (1790000000000)
#define REST_S 60
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
  struct ColtShardLeader *lead;
  GQueue messages; /* of struct ColtBenchMessage */
  int64_t now;
  size_t bytes;
  size_t count;
  int active;
};

static bool
server_valid_ (void *client, uint32_t server, uint64_t epoch, int64_t now)
{
  (void)client;
  (void)server;
  (void)epoch;
  (void)now;
  return true;
}

static void
collect_ (void *client,
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
epoch_ (void *client, uint32_t shard, uint64_t epoch)
{
  (void)client;
  (void)shard;
  (void)epoch;
}

static void
post_ (struct ColtBench *bench,
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

  post_ (client, owner, true, body, size);
}

static void
send_confirm_ (void *client,
               uint32_t owner,
               const struct ColtShardConfirm *confirm)
{
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (confirm, &size);

  post_ (client, owner, false, body, size);
}

static void
report_ (void *client, const struct ColtShardReport *report)
{
  (void)client;
  (void)report;
}

static void
active_ (void *client, uint32_t shard, uint64_t epoch, size_t lacking)
{
  (void)shard;
  (void)epoch;
  (void)lacking;
  ((struct ColtBench *)client)->active++;
}

static void
lost_ (void *client, uint32_t shard, uint64_t epoch, enum ColtShardLoss loss)
{
  (void)client;
  (void)shard;
  (void)epoch;
  (void)loss;
}

static void
joined_ (void *client,
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
server_ (void *client, uint32_t shard, uint32_t server)
{
  (void)client;
  (void)shard;
  (void)server;
}

static const struct ColtShardOwnerClient owner_table
    = { server_valid_, collect_, epoch_ };
static const struct ColtShardLeaderClient lead_table
    = { send_open_, send_confirm_, epoch_,  report_, active_,
        lost_,      joined_,       server_, server_ };

static void
answer_open_ (struct ColtBench *bench, const struct ColtBenchMessage *message)
{
  struct ColtShardOpen open;
  struct ColtShardOpened opened;
  uint8_t *body;
  size_t size;

  if (!colt_shard_open_unpack (message->body, message->size, &open, NULL))
    abort ();
  colt_shard_owner_handle_open (bench->owners[message->owner], &open, &opened,
                                bench->now);
  colt_shard_open_clear (&open);
  body = colt_shard_opened_pack (&opened, &size);
  colt_shard_opened_clear (&opened);
  bench->bytes += size;
  if (!colt_shard_opened_unpack (body, size, &opened, NULL))
    abort ();
  colt_shard_leader_handle_opened (bench->lead, &opened, bench->now);
  colt_shard_opened_clear (&opened);
  free (body);
}

static void
answer_confirm_ (struct ColtBench *bench,
                 const struct ColtBenchMessage *message)
{
  struct ColtShardConfirm confirm;
  struct ColtShardConfirmed confirmed;
  uint8_t *body;
  size_t size;

  if (!colt_shard_confirm_unpack (message->body, message->size, &confirm, NULL))
    abort ();
  colt_shard_owner_handle_confirm (bench->owners[message->owner], &confirm,
                                   &confirmed, bench->now);
  colt_shard_confirm_clear (&confirm);
  body = colt_shard_confirmed_pack (&confirmed, &size);
  colt_shard_confirmed_clear (&confirmed);
  bench->bytes += size;
  if (!colt_shard_confirmed_unpack (body, size, &confirmed, NULL))
    abort ();
  colt_shard_leader_handle_confirmed (bench->lead, &confirmed, bench->now);
  colt_shard_confirmed_clear (&confirmed);
  free (body);
}

static void
deliver_ (struct ColtBench *bench)
{
  struct ColtBenchMessage *message;

  while ((message = g_queue_pop_head (&bench->messages)) != NULL)
    {
      if (message->is_open)
        answer_open_ (bench, message);
      else
        answer_confirm_ (bench, message);
      free (message->body);
      g_free (message);
    }
}

static void
run_ (struct ColtBench *bench, int64_t duration_us)
{
  int64_t end = bench->now + duration_us;

  deliver_ (bench);
  while (bench->now < end)
    {
      bench->now += STEP_US;
      if (colt_shard_leader_wake_time (bench->lead) <= bench->now)
        colt_shard_leader_process (bench->lead, bench->now);
      deliver_ (bench);
    }
}

static double
cpu_ms_ (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
print_ (uint32_t servers, const char *name, double value, const char *unit)
{
  printf ("shard_%s_%u_servers %.3f %s\n", name, servers, value, unit);
}

static void
fill_ (struct ColtBench *bench, uint32_t servers)
{
  uint32_t members[OWNERS];
  uint32_t *numbers = g_new0 (uint32_t, servers);
  struct ColtShardTimes times;
  uint32_t i;

  colt_shard_times_default (&times);
  for (i = 1; i <= OWNERS; i++)
    {
      members[i - 1] = i;
      bench->owners[i] = colt_shard_owner_create (i, INCARNATION + i, &times,
                                                  &owner_table, bench);
    }
  for (i = 0; i < servers; i++)
    {
      numbers[i] = i + 1;
      colt_shard_owner_add_server (bench->owners[i % OWNERS + 1], i + 1, 5,
                                   NULL, 0, bench->now);
    }
  bench->lead
      = colt_shard_leader_create (1, INCARNATION, &times, &lead_table, bench);
  colt_shard_leader_set_servers (bench->lead, numbers, servers, bench->now);
  colt_shard_leader_set_members (bench->lead, members, OWNERS, bench->now);
  g_free (numbers);
}

static void
measure_ (uint32_t servers)
{
  struct ColtBench bench = { 0 };
  double start;
  uint32_t i;

  bench.now = INT64_C (1000000) * COLT_US_PER_S;
  start = cpu_ms_ ();
  fill_ (&bench, servers);
  run_ (&bench, STEP_US);
  print_ (servers, "recount_cpu", cpu_ms_ () - start, "ms");
  print_ (servers, "recount_size", (double)bench.bytes, "bytes");
  print_ (servers, "recount_shards", bench.active, "shards");
  bench.bytes = 0;
  bench.count = 0;
  start = cpu_ms_ ();
  run_ (&bench, REST_S * COLT_US_PER_S);
  print_ (servers, "rest_cpu", (cpu_ms_ () - start) / REST_S, "ms/s");
  print_ (servers, "rest_size", (double)bench.bytes / REST_S, "bytes/s");
  print_ (servers, "rest_messages", (double)bench.count / REST_S, "1/s");
  bench.bytes = 0;
  start = cpu_ms_ ();
  colt_shard_owner_remove_server (bench.owners[2], 2);
  colt_shard_owner_add_server (bench.owners[3], 2, 6, NULL, 0, bench.now);
  run_ (&bench, COLT_US_PER_S);
  print_ (servers, "change_cpu", cpu_ms_ () - start, "ms");
  print_ (servers, "change_size", (double)bench.bytes, "bytes");
  colt_shard_leader_destroy (bench.lead);
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
