#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/lease.h"
#include "coltsfootstile/rendezvous.h"

#define MS(n) ((n)*COLT_US_PER_MS)
#define SERVER 7u
#define HOLDER 1u

/* Calls and events that a lease passed to its client. */
struct ColtRecord
{
  uint64_t acquire;
  uint64_t acquire_epoch;
  uint64_t inventory;
  uint64_t renew;
  char renew_token[COLT_BACKEND_TOKEN_SIZE];
  uint64_t release;
  int held;
  int lost;
  enum ColtLeaseLoss loss;
  uint32_t successor;
};

static const uint32_t sole_member[] = { HOLDER };

static void
record_acquire_ (void *client, uint64_t call, uint64_t epoch)
{
  struct ColtRecord *record = client;

  record->acquire = call;
  record->acquire_epoch = epoch;
}

static void
record_inventory_ (void *client, uint64_t call, uint64_t epoch)
{
  (void)epoch;
  ((struct ColtRecord *)client)->inventory = call;
}

static void
record_renew_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  struct ColtRecord *record = client;

  (void)epoch;
  record->renew = call;
  g_strlcpy (record->renew_token, token, sizeof record->renew_token);
}

static void
record_release_ (void *client, uint64_t call, uint64_t epoch, const char *token)
{
  (void)epoch;
  (void)token;
  ((struct ColtRecord *)client)->release = call;
}

static void
record_held_ (void *client, uint64_t epoch)
{
  (void)epoch;
  ((struct ColtRecord *)client)->held++;
}

static void
record_lost_ (void *client, uint64_t epoch, enum ColtLeaseLoss loss)
{
  struct ColtRecord *record = client;

  (void)epoch;
  record->lost++;
  record->loss = loss;
}

static void
record_handed_over_ (void *client, uint64_t epoch, uint32_t successor)
{
  (void)epoch;
  ((struct ColtRecord *)client)->successor = successor;
}

static const struct ColtLeaseClient callbacks
    = { record_acquire_, record_inventory_, record_renew_,      record_release_,
        record_held_,    record_lost_,      record_handed_over_ };

static struct ColtServerLease *
create_lease_ (struct ColtRecord *record)
{
  struct ColtLeaseTimes times;

  memset (record, 0, sizeof *record);
  colt_lease_times_default (&times);
  return colt_server_lease_create (SERVER, HOLDER, &times, &callbacks, record);
}

/* Creates a held lease whose acquire was sent at 0 and answered at 10 ms. */
static struct ColtServerLease *
create_held_lease_ (struct ColtRecord *record)
{
  struct ColtServerLease *lease = create_lease_ (record);

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  colt_server_lease_handle_acquired (lease, record->acquire, "a", MS (10));
  g_assert_false (colt_server_lease_may_start (lease, MS (10)));
  colt_server_lease_handle_inventory (lease, record->inventory, "b", MS (20));
  g_assert_true (colt_server_lease_may_start (lease, MS (20)));
  g_assert_cmpint (record->held, ==, 1);
  return lease;
}

/* Returns a member that rendezvous hashing prefers to HOLDER. */
static uint32_t
find_preferred_member_ (void)
{
  uint64_t key = colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, SERVER);
  uint32_t other;

  for (other = 2; other < 100; other++)
    {
      uint32_t both[] = { HOLDER, other };

      if (colt_rendezvous_choose (key, both, 2) == other)
        return other;
    }
  g_assert_not_reached ();
}

static void
test_epoch_follows_highest_seen (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_lease_ (&record);
  struct ColtBackendFence fence = { 41, 9, 300 };

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  g_assert_cmpuint (record.acquire_epoch, ==, 1);
  colt_server_lease_handle_fenced (lease, record.acquire, &fence, MS (5));
  g_assert_cmpuint (colt_server_lease_holder (lease), ==, 9);
  g_assert_cmpint (colt_server_lease_wake_time (lease), ==, MS (305));
  colt_server_lease_process (lease, MS (304));
  g_assert_cmpuint (record.acquire_epoch, ==, 1);
  colt_server_lease_process (lease, MS (305));
  g_assert_cmpuint (record.acquire_epoch, ==, 42);
  g_assert_cmpint (colt_server_lease_state (lease), ==, COLT_LEASE_ACQUIRING);
  colt_server_lease_destroy (lease);
}

/* By the holder's clock, a lease of 2000 ms ends 1960 ms after its acquire was
 * sent, since it is shortened by a drift margin of 20/1000. */
static void
test_lease_starts_when_acquire_is_sent (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_lease_ (&record);

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  colt_server_lease_handle_acquired (lease, record.acquire, "a", MS (900));
  g_assert_cmpint (colt_server_lease_end (lease), ==, MS (1960));
  colt_server_lease_destroy (lease);
}

static void
test_paused_holder_detects_lapse (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);

  g_assert_true (colt_server_lease_may_start (lease, MS (1960) - 1));
  g_assert_false (colt_server_lease_may_start (lease, MS (1960)));
  g_assert_cmpuint (colt_server_lease_open_call (lease, true, MS (9000)), ==,
                    0);
  colt_server_lease_process (lease, MS (9000));
  g_assert_cmpint (record.lost, ==, 1);
  g_assert_cmpint (record.loss, ==, COLT_LEASE_LOSS_LAPSED);
  colt_server_lease_destroy (lease);
}

static void
test_renewal_extends_from_token_issue (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);

  colt_server_lease_process (lease, MS (500));
  g_assert_cmpstr (record.renew_token, ==, "b");
  colt_server_lease_handle_renewed (lease, record.renew, "c", MS (510));
  g_assert_cmpint (colt_server_lease_end (lease), ==, MS (10) + MS (1960));
  colt_server_lease_process (lease, MS (1000));
  g_assert_cmpstr (record.renew_token, ==, "c");
  colt_server_lease_handle_renewed (lease, record.renew, "d", MS (1400));
  g_assert_cmpint (colt_server_lease_end (lease), ==, MS (500) + MS (1960));
  colt_server_lease_destroy (lease);
}

static void
test_renewal_after_lapse_is_ignored (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);

  colt_server_lease_process (lease, MS (500));
  colt_server_lease_handle_renewed (lease, record.renew, "c", MS (2500));
  g_assert_false (colt_server_lease_may_start (lease, MS (2500)));
  g_assert_cmpint (record.lost, ==, 1);
  colt_server_lease_handle_renewed (lease, record.renew, "c", MS (2501));
  g_assert_cmpint (record.lost, ==, 1);
  colt_server_lease_destroy (lease);
}

static void
test_older_token_is_ignored (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);
  uint64_t events_call = colt_server_lease_open_call (lease, false, MS (30));

  colt_server_lease_process (lease, MS (500));
  colt_server_lease_handle_renewed (lease, record.renew, "new", MS (510));
  colt_server_lease_handle_renewed (lease, events_call, "old", MS (900));
  g_assert_cmpstr (colt_server_lease_token (lease), ==, "new");
  g_assert_cmpint (colt_server_lease_end (lease), ==, MS (1970));
  colt_server_lease_destroy (lease);
}

static void
test_fenced_answer_ends_lease (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);
  struct ColtBackendFence fence = { 5, 2, 1500 };

  colt_server_lease_process (lease, MS (500));
  colt_server_lease_handle_fenced (lease, record.renew, &fence, MS (510));
  g_assert_false (colt_server_lease_may_start (lease, MS (510)));
  g_assert_cmpint (record.loss, ==, COLT_LEASE_LOSS_FENCED);
  colt_server_lease_process (lease, MS (3000));
  g_assert_cmpuint (record.acquire_epoch, ==, 6);
  colt_server_lease_destroy (lease);
}

static void
test_unresponsive_server_is_retried_until_lapse (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);
  uint64_t last = 0;
  int renewals = 0;
  int64_t now;

  for (now = MS (20); record.lost == 0; now += MS (10))
    {
      colt_server_lease_process (lease, now);
      if (record.renew == last)
        continue;
      last = record.renew;
      renewals++;
      colt_server_lease_handle_failure (lease, record.renew, now + MS (1));
    }
  g_assert_cmpint (renewals, >=, 10);
  g_assert_cmpint (now, ==, MS (1970));
  g_assert_cmpint (colt_server_lease_state (lease), ==, COLT_LEASE_LAPSED);
  colt_server_lease_destroy (lease);
}

/* If the answer to an acquire is lost, the retry is fenced by the lease that
 * the holder itself was granted. It acquires with the next epoch once that
 * lease has expired, and ignores the first answer if it arrives late. */
static void
test_lost_acquire_answer (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_lease_ (&record);
  struct ColtBackendFence fence = { 1, HOLDER, 1200 };
  uint64_t first;

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  first = record.acquire;
  colt_server_lease_handle_failure (lease, first, MS (500));
  colt_server_lease_process (lease, MS (600));
  g_assert_cmpuint (record.acquire, !=, first);
  colt_server_lease_handle_fenced (lease, record.acquire, &fence, MS (610));
  colt_server_lease_handle_acquired (lease, first, "late", MS (620));
  g_assert_cmpuint (colt_server_lease_end (lease), ==, 0);
  colt_server_lease_process (lease, MS (1810));
  g_assert_cmpuint (record.acquire_epoch, ==, 2);
  colt_server_lease_destroy (lease);
}

static void
test_stop_waits_for_open_changes (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);
  uint64_t change_call = colt_server_lease_open_call (lease, true, MS (30));

  colt_server_lease_stop (lease, 3, MS (40));
  g_assert_false (colt_server_lease_may_start (lease, MS (40)));
  g_assert_true (colt_server_lease_is_valid (lease, MS (40)));
  g_assert_cmpuint (record.release, ==, 0);
  colt_server_lease_handle_renewed (lease, change_call, "c", MS (50));
  g_assert_cmpuint (record.release, !=, 0);
  g_assert_false (colt_server_lease_is_valid (lease, MS (50)));
  g_assert_cmpint (record.loss, ==, COLT_LEASE_LOSS_RELEASED);
  colt_server_lease_handle_released (lease, record.release, MS (60));
  g_assert_cmpuint (record.successor, ==, 3);
  g_assert_cmpint (colt_server_lease_state (lease), ==, COLT_LEASE_NONE);
  colt_server_lease_destroy (lease);
}

static void
test_handover_is_delayed (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_held_lease_ (&record);
  uint32_t other = find_preferred_member_ ();
  uint32_t both[] = { HOLDER, other };
  int64_t now;

  colt_server_lease_set_members (lease, both, 2, MS (30));
  for (now = MS (30); record.release == 0; now += MS (100))
    {
      record.renew = 0;
      colt_server_lease_process (lease, now);
      if (record.renew != 0)
        colt_server_lease_handle_renewed (lease, record.renew, "n",
                                          now + MS (1));
    }
  g_assert_cmpint (now, >=, MS (10000));
  g_assert_cmpint (now, <, MS (10300));
  colt_server_lease_handle_released (lease, record.release, now);
  g_assert_cmpuint (record.successor, ==, other);
  g_assert_cmpint (colt_server_lease_wake_time (lease), ==, COLT_TIME_NEVER);
  colt_server_lease_destroy (lease);
}

static void
test_hint_triggers_acquire (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_lease_ (&record);
  struct ColtBackendFence fence = { 8, 2, 1900 };

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  colt_server_lease_handle_fenced (lease, record.acquire, &fence, MS (5));
  colt_server_lease_handle_hint (lease, 9, MS (50));
  g_assert_cmpuint (record.acquire_epoch, ==, 10);
  colt_server_lease_destroy (lease);
}

static void
test_grant_after_stop_is_released (void)
{
  struct ColtRecord record;
  struct ColtServerLease *lease = create_lease_ (&record);

  colt_server_lease_set_members (lease, sole_member, 1, 0);
  colt_server_lease_stop (lease, 0, MS (1));
  colt_server_lease_handle_acquired (lease, record.acquire, "a", MS (5));
  g_assert_cmpuint (record.release, !=, 0);
  g_assert_cmpuint (record.inventory, ==, 0);
  g_assert_cmpint (record.held, ==, 0);
  colt_server_lease_destroy (lease);
}

static void
test_rendezvous_moves_few_keys (void)
{
  const uint32_t four[] = { 1, 2, 3, 4 };
  const uint32_t shuffled[] = { 4, 2, 1, 3 };
  const uint32_t three[] = { 1, 2, 4 };
  int chosen[5] = { 0 };
  uint32_t i;

  for (i = 0; i < 4000; i++)
    {
      uint64_t key = colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, i);
      uint32_t choice = colt_rendezvous_choose (key, four, 4);

      g_assert_cmpuint (colt_rendezvous_choose (key, shuffled, 4), ==, choice);
      if (choice != 3)
        g_assert_cmpuint (colt_rendezvous_choose (key, three, 3), ==, choice);
      chosen[choice]++;
    }
  for (i = 1; i <= 4; i++)
    g_assert_cmpint (ABS (chosen[i] - 1000), <, 120);
  g_assert_cmpuint (colt_rendezvous_choose (1, NULL, 0), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lease/epoch-follows-highest",
                   test_epoch_follows_highest_seen);
  g_test_add_func ("/lease/runs-from-sending",
                   test_lease_starts_when_acquire_is_sent);
  g_test_add_func ("/lease/paused-holder", test_paused_holder_detects_lapse);
  g_test_add_func ("/lease/renewal-from-token",
                   test_renewal_extends_from_token_issue);
  g_test_add_func ("/lease/late-renewal", test_renewal_after_lapse_is_ignored);
  g_test_add_func ("/lease/older-token", test_older_token_is_ignored);
  g_test_add_func ("/lease/fenced", test_fenced_answer_ends_lease);
  g_test_add_func ("/lease/silent-server",
                   test_unresponsive_server_is_retried_until_lapse);
  g_test_add_func ("/lease/lost-acquire-answer", test_lost_acquire_answer);
  g_test_add_func ("/lease/stop-drains", test_stop_waits_for_open_changes);
  g_test_add_func ("/lease/hysteresis", test_handover_is_delayed);
  g_test_add_func ("/lease/hint", test_hint_triggers_acquire);
  g_test_add_func ("/lease/grant-after-stop",
                   test_grant_after_stop_is_released);
  g_test_add_func ("/rendezvous/moves-little", test_rendezvous_moves_few_keys);
  return g_test_run ();
}
