/* Measures the cost of owner changes of backend servers for a home with as many
 * requests as an instance holds at the target size. Prints one JSON object. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "coltsfootstile/request.h"

enum
{
  REQUESTS = 48000,
  RUNNING = 2100,
  SERVERS = 1040,
  SERVERS_CHANGED = 130,
  SHARDS = 8,
  WALL_S = 1000,
  SHARD_EPOCH = 1
};

static void
ignore_task_ (void *client, const struct ColtRequest *request, uint32_t index)
{
  (void)client;
  (void)request;
  (void)index;
}

static void
ignore_end_ (void *client, const struct ColtRequest *request)
{
  (void)client;
  (void)request;
}

static bool
allow_retry_ (void *client, const char *team, int64_t now_us)
{
  (void)client;
  (void)team;
  (void)now_us;
  return true;
}

static uint32_t
draw_number_ (void *client)
{
  (void)client;
  return 1;
}

static const struct ColtRequestCalls request_calls
    = { ignore_task_, ignore_task_, ignore_task_,
        ignore_end_,  allow_retry_, draw_number_ };

/* Starts a request, and ends it unless its number is below RUNNING. */
static void
add_request_ (struct ColtRequests *requests, uint32_t number)
{
  const struct ColtRequestSpec spec = { .team = "team",
                                        .tasks = 1,
                                        .idempotent = true,
                                        .max_attempts = 3,
                                        .deadline_us = INT64_MAX };
  uint8_t random[10] = { 0 };
  struct ColtTaskReport report = { 0 };
  enum ColtReason reason;
  struct ColtId id;

  memcpy (random, &number, sizeof number);
  id = colt_id_mint (1, WALL_S, random);
  colt_requests_submit (requests, &id, &spec, true, 0, WALL_S, 0, &reason);
  colt_requests_begin_attempt (requests, &id, 0, number % SERVERS + 1, 1,
                               &report.ref);
  colt_requests_handle_start (requests, &report.ref, SHARD_EPOCH, 0);
  if (number < RUNNING)
    return;
  report.shard_epoch = SHARD_EPOCH;
  report.state = COLT_TASK_FINISHED;
  colt_requests_handle_end (requests, &report, 0);
}

int
main (void)
{
  struct ColtRequests *requests = colt_requests_create (&request_calls, NULL);
  int64_t start_us;
  uint32_t server;
  uint32_t shard;
  uint32_t i;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_open_shard (requests, shard, SHARD_EPOCH, NULL, NULL, NULL, 0,
                              0);
  for (i = 0; i < REQUESTS; i++)
    add_request_ (requests, i);
  start_us = g_get_monotonic_time ();
  for (server = 1; server <= SERVERS_CHANGED; server++)
    for (shard = 0; shard < SHARDS; shard++)
      colt_requests_handle_inventory (requests, shard, server, 2, NULL, 0, 0);
  printf ("{\"requests\":%d,\"running\":%d,\"servers_changed\":%d,"
          "\"shards\":%d,\"ms\":%.2f}\n",
          REQUESTS, RUNNING, SERVERS_CHANGED, SHARDS,
          (double)(g_get_monotonic_time () - start_us) / 1000);
  colt_requests_destroy (requests);
  return 0;
}
