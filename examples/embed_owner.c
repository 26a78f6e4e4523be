/**
 * \file
 * \brief Uses two of the libraries without the daemon: rendezvous hashing and
 * the lease on a backend server.
 *
 * The libraries do no input or output and read no clock. This program simulates
 * both: it answers the calls of the lease as a server would, advances the time,
 * and shows that the lease lapses by itself when renewals are not answered.
 */
#include <inttypes.h>
#include <stdio.h>

#include "coltsfootstile/lease.h"
#include "coltsfootstile/rendezvous.h"

enum
{
  SERVERS = 6,
  SERVER = 4
};

/* Calls of the lease that the program has yet to answer. */
struct Example
{
  uint64_t acquire;
  uint64_t inventory;
  uint64_t renewal;
};

static void
on_acquire (void *client, uint64_t call, uint64_t epoch)
{
  struct Example *example = client;

  printf ("acquire server %d with epoch %" PRIu64 "\n", SERVER, epoch);
  example->acquire = call;
}

static void
on_take_inventory (void *client, uint64_t call, uint64_t epoch)
{
  struct Example *example = client;

  (void)epoch;
  printf ("take the inventory\n");
  example->inventory = call;
}

static void
on_renew (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct Example *example = client;

  (void)epoch;
  printf ("renew, echoing token %s\n", token);
  example->renewal = call;
}

static void
on_release (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  (void)client;
  (void)call;
  (void)epoch;
  (void)token;
}

static void
on_held (void *client, uint64_t epoch)
{
  (void)client;
  printf ("held with epoch %" PRIu64 ": work may start\n", epoch);
}

static void
on_lost (void *client, uint64_t epoch, enum ColtLeaseLoss loss)
{
  (void)client;
  printf ("epoch %" PRIu64 " lost: %s\n", epoch, colt_lease_loss_string[loss]);
}

static void
on_handed_over (void *client, uint64_t epoch, uint32_t successor)
{
  (void)client;
  (void)epoch;
  (void)successor;
}

static const struct ColtLeaseClient lease_client
    = { on_acquire, on_take_inventory, on_renew,      on_release,
        on_held,    on_lost,           on_handed_over };

static void
print_owners (const uint32_t *members, size_t count)
{
  uint32_t server;

  for (server = 1; server <= SERVERS; server++)
    printf ("server %u: instance %u\n", server,
            colt_rendezvous_choose (
                colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, server), members,
                count));
}

int
main (void)
{
  const uint32_t members[] = { 1, 2, 3 };
  const uint32_t self = colt_rendezvous_choose (
      colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, SERVER), members, 3);
  struct ColtServerLease *lease;
  struct ColtLeaseTimes times;
  struct Example example = { 0 };
  int64_t now_us = 0;

  print_owners (members, 3);
  colt_lease_times_default (&times);
  lease = colt_server_lease_create (SERVER, self, &times, &lease_client,
                                    &example);
  colt_server_lease_set_members (lease, members, 3, now_us);
  colt_server_lease_process (lease, now_us);
  colt_server_lease_handle_acquired (lease, example.acquire, "1", now_us);
  colt_server_lease_handle_inventory (lease, example.inventory, "2", now_us);
  while (example.renewal == 0)
    {
      now_us = colt_server_lease_wake_time (lease);
      colt_server_lease_process (lease, now_us);
    }
  colt_server_lease_handle_renewed (lease, example.renewal, "3", now_us);
  printf ("lease ends at %" PRId64 " ms\n",
          colt_server_lease_end (lease) / 1000);
  while (colt_server_lease_may_start (lease, now_us))
    {
      now_us = colt_server_lease_wake_time (lease);
      colt_server_lease_process (lease, now_us);
    }
  printf ("no work starts at %" PRId64 " ms\n", now_us / 1000);
  colt_server_lease_destroy (lease);
  return 0;
}
