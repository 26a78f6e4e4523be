#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/shard.h"
#include "test_shard.h"

#define MS(n) ((n)*COLT_US_PER_MS)
#define OWNER 9u
#define OWNER_INCARNATION 500u
#define SERVER 4u
#define SERVER_EPOCH 11u
#define SHARD 3u
#define EPOCH(counter, leader) ((uint64_t)(counter) << 16 | (leader))

struct ColtFakeClient
{
  bool is_valid;
  int promises;
};

static bool
is_server_valid_ (void *client, uint32_t server, uint64_t epoch, int64_t now)
{
  (void)server;
  (void)epoch;
  (void)now;
  return ((struct ColtFakeClient *)client)->is_valid;
}

static void
collect_reports_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  struct ColtTeamCount count = { 0 };

  (void)client;
  (void)shard;
  if (server != 0)
    return;
  count.offset = 17;
  colt_shard_reports_add_team (reports, &count);
}

static void
on_epoch_promised_ (void *client, uint32_t shard, uint64_t epoch)
{
  (void)shard;
  (void)epoch;
  ((struct ColtFakeClient *)client)->promises++;
}

static const struct ColtShardOwnerClient callbacks
    = { is_server_valid_, collect_reports_, on_epoch_promised_ };

static struct ColtShardOwner *
create_owner_ (struct ColtFakeClient *client)
{
  struct ColtShardTimes times;
  struct ColtShardOwner *owner;

  memset (client, 0, sizeof *client);
  client->is_valid = true;
  colt_shard_times_default (&times);
  owner = colt_shard_owner_create (OWNER, OWNER_INCARNATION, &times, &callbacks,
                                   client);
  colt_shard_owner_add_server (owner, SERVER, SERVER_EPOCH, NULL, 0, MS (1));
  return owner;
}

/* Sends an open message for SHARD. Returns the promised epoch in the answer, 0
 * if it has none. */
static uint64_t
send_open_ (struct ColtShardOwner *owner,
            uint32_t leader,
            uint64_t incarnation,
            uint64_t epoch,
            int64_t now)
{
  struct ColtShardEpoch requested = { SHARD, epoch };
  struct ColtShardOpen open = { leader, incarnation, 1, &requested, 1 };
  struct ColtShardOpened opened;
  uint64_t promised = 0;

  colt_shard_owner_handle_open (owner, &open, &opened, now);
  if (opened.epoch_count > 0)
    promised = opened.epochs[0].epoch;
  colt_shard_opened_clear (&opened);
  return promised;
}

/* Sends a confirm message for SHARD. Returns whether the owner's version is
 * still \a version. */
static bool
send_confirm_ (struct ColtShardOwner *owner,
               uint32_t leader,
               uint64_t incarnation,
               uint64_t version,
               int64_t echo,
               int64_t now)
{
  const uint32_t view = SERVER;
  struct ColtShardConfirm confirm = { 0 };
  struct ColtShardConfirmed confirmed;
  bool unchanged;

  confirm.leader = leader;
  confirm.incarnation = incarnation;
  confirm.owner_incarnation = OWNER_INCARNATION;
  confirm.version = version;
  confirm.echo = echo;
  confirm.shards = UINT64_C (1) << SHARD;
  confirm.view = &view;
  confirm.view_count = 1;
  colt_shard_owner_handle_confirm (owner, &confirm, &confirmed, now);
  unchanged = confirmed.unchanged;
  colt_shard_confirmed_clear (&confirmed);
  return unchanged;
}

static enum ColtShardCheck
check_start_ (struct ColtShardOwner *owner, uint64_t epoch, int64_t now)
{
  return colt_shard_owner_check_start (owner, SHARD, epoch, SERVER,
                                       SERVER_EPOCH, now);
}

static void
test_lower_epoch_is_refused (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);

  g_assert_cmpuint (send_open_ (owner, 1, 70, EPOCH (8, 1), MS (10)), ==,
                    EPOCH (8, 1));
  g_assert_cmpuint (send_open_ (owner, 2, 71, EPOCH (7, 2), MS (11)), ==,
                    EPOCH (8, 1));
  g_assert_cmpuint (send_open_ (owner, 2, 71, EPOCH (9, 2), MS (12)), ==,
                    EPOCH (9, 2));
  g_assert_cmpint (check_start_ (owner, EPOCH (8, 1), MS (13)), ==,
                   COLT_SHARD_CHECK_SUPERSEDED);
  g_assert_cmpint (client.promises, ==, 2);
  colt_shard_owner_destroy (owner);
}

static void
test_restarted_leader_gets_no_old_promise (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);

  send_open_ (owner, 1, 70, EPOCH (8, 1), MS (10));
  g_assert_cmpuint (send_open_ (owner, 1, 99, EPOCH (8, 1), MS (11)), ==, 0);
  g_assert_cmpuint (send_open_ (owner, 1, 70, EPOCH (9, 1), MS (12)), ==, 0);
  colt_shard_owner_destroy (owner);
}

static void
test_start_needs_a_session (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);
  uint64_t epoch = EPOCH (8, 1);

  g_assert_cmpint (check_start_ (owner, epoch, MS (9)), ==,
                   COLT_SHARD_CHECK_NO_SESSION);
  send_open_ (owner, 1, 70, epoch, MS (10));
  g_assert_cmpint (check_start_ (owner, epoch, MS (11)), ==,
                   COLT_SHARD_CHECK_UNRESPONSIVE);
  send_confirm_ (owner, 1, 70, 0, MS (10), MS (12));
  g_assert_cmpint (check_start_ (owner, epoch, MS (13)), ==,
                   COLT_SHARD_CHECK_OK);
  g_assert_cmpint (colt_shard_owner_check_start (owner, SHARD, epoch, SERVER,
                                                 SERVER_EPOCH + 1, MS (13)),
                   ==, COLT_SHARD_CHECK_SERVER_EPOCH);
  g_assert_cmpint (colt_shard_owner_check_start (owner, SHARD, epoch,
                                                 SERVER + 1, 1, MS (13)),
                   ==, COLT_SHARD_CHECK_NOT_HELD);
  colt_shard_owner_destroy (owner);
}

static void
test_session_ends_with_the_lease (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);
  uint64_t epoch = EPOCH (8, 1);
  uint64_t version;

  send_open_ (owner, 1, 70, epoch, MS (10));
  version = colt_shard_owner_version (owner);
  g_assert_true (send_confirm_ (owner, 1, 70, version, MS (10), MS (12)));
  client.is_valid = false;
  g_assert_false (send_confirm_ (owner, 1, 70, version, MS (12), MS (13)));
  client.is_valid = true;
  colt_shard_owner_add_server (owner, SERVER, SERVER_EPOCH + 1, NULL, 0,
                               MS (14));
  g_assert_cmpint (colt_shard_owner_check_start (owner, SHARD, epoch, SERVER,
                                                 SERVER_EPOCH + 1, MS (15)),
                   ==, COLT_SHARD_CHECK_NO_SESSION);
  colt_shard_owner_destroy (owner);
}

static void
test_inventory_restores_promises (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);
  struct ColtShardEpoch seen = { SHARD, EPOCH (20, 5) };

  send_open_ (owner, 1, 70, EPOCH (8, 1), MS (10));
  colt_shard_owner_add_server (owner, SERVER + 1, 2, &seen, 1, MS (11));
  g_assert_cmpuint (colt_shard_owner_promised_epoch (owner, SHARD), ==,
                    EPOCH (20, 5));
  g_assert_cmpuint (send_open_ (owner, 1, 70, EPOCH (19, 1), MS (12)), ==,
                    EPOCH (20, 5));
  g_assert_cmpint (check_start_ (owner, EPOCH (8, 1), MS (13)), ==,
                   COLT_SHARD_CHECK_SUPERSEDED);
  colt_shard_owner_destroy (owner);
}

static void
test_unresponsive_leader_may_not_start_or_renew (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);
  uint64_t epoch = EPOCH (8, 1);

  send_open_ (owner, 1, 70, epoch, MS (9000));
  send_confirm_ (owner, 1, 70, 0, MS (9000), MS (9010));
  g_assert_cmpint (check_start_ (owner, epoch, MS (16999)), ==,
                   COLT_SHARD_CHECK_OK);
  g_assert_true (
      colt_shard_owner_may_renew_tasks (owner, SHARD, SERVER, MS (16999)));
  send_confirm_ (owner, 1, 70, 0, MS (9000), MS (17000));
  g_assert_cmpint (check_start_ (owner, epoch, MS (17000)), ==,
                   COLT_SHARD_CHECK_UNRESPONSIVE);
  g_assert_false (
      colt_shard_owner_may_renew_tasks (owner, SHARD, SERVER, MS (17000)));
  send_confirm_ (owner, 1, 70, 0, MS (99000), MS (17001));
  g_assert_cmpint (check_start_ (owner, epoch, MS (17002)), ==,
                   COLT_SHARD_CHECK_UNRESPONSIVE);
  colt_shard_owner_destroy (owner);
}

static void
test_opened_lists_servers_in_views (void)
{
  struct ColtFakeClient client;
  struct ColtShardOwner *owner = create_owner_ (&client);
  struct ColtShardEpoch requested = { SHARD, EPOCH (9, 2) };
  struct ColtShardOpen open = { 2, 71, 1, &requested, 1 };
  struct ColtShardOpened opened;

  send_confirm_ (owner, 1, 70, 0, 0, MS (10));
  colt_shard_owner_handle_open (owner, &open, &opened, MS (20));
  g_assert_cmpuint (opened.known_count, ==, 1);
  g_assert_cmpuint (opened.known[0], ==, SERVER);
  g_assert_cmpuint (opened.team_count, ==, 1);
  g_assert_cmpuint (opened.teams[0].shard, ==, SHARD);
  g_assert_cmpuint (opened.teams[0].offset, ==, 17);
  g_assert_cmpuint (opened.servers[0].shards, ==, UINT64_C (1) << SHARD);
  colt_shard_opened_clear (&opened);
  colt_shard_owner_handle_open (owner, &open, &opened, MS (90000));
  g_assert_cmpuint (opened.known_count, ==, 0);
  colt_shard_opened_clear (&opened);
  colt_shard_owner_destroy (owner);
}

void
colt_add_owner_tests (void)
{
  g_test_add_func ("/owner/lower-epoch", test_lower_epoch_is_refused);
  g_test_add_func ("/owner/restarted-leader",
                   test_restarted_leader_gets_no_old_promise);
  g_test_add_func ("/owner/start-needs-session", test_start_needs_a_session);
  g_test_add_func ("/owner/session-ends", test_session_ends_with_the_lease);
  g_test_add_func ("/owner/inventory", test_inventory_restores_promises);
  g_test_add_func ("/owner/unresponsive-leader",
                   test_unresponsive_leader_may_not_start_or_renew);
  g_test_add_func ("/owner/views", test_opened_lists_servers_in_views);
}
