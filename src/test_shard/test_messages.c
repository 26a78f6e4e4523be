#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/shard_messages.h"
#include "test_shard.h"

static const struct ColtShardEpoch epochs[]
    = { { 0, UINT64_C (5) << 16 | 7 }, { 63, UINT64_C (6) << 16 | 7 } };
static const struct ColtShardServer servers[]
    = { { 3, 9, UINT64_C (1) << 63 }, { 4, 10, 1 } };
static const uint32_t known[] = { 3, 4, 5 };

static struct ColtShardTask
make_task_ (void)
{
  const uint8_t random[10] = { 1, 2, 3 };
  struct ColtShardTask task = { 0 };

  task.server = 3;
  task.report.ref.request = colt_id_mint (2, 88, random);
  task.report.ref.index = 5;
  task.report.ref.attempt = 2;
  task.report.shard = 63;
  task.report.shard_epoch = 77;
  task.report.kind = COLT_WORK_GANG;
  task.report.state = COLT_TASK_FAILED;
  task.report.limit.amount[COLT_RESOURCE_MEMORY] = 512;
  task.report.exit_status = -9;
  g_strlcpy (task.report.team, "visuals", sizeof task.report.team);
  return task;
}

static struct ColtTeamCount
make_team_count_ (void)
{
  struct ColtTeamCount count = { 0 };

  count.shard = 1;
  count.tasks = 6;
  count.credits = 2;
  count.offset = UINT64_C (1) << 40;
  count.spare.amount[COLT_RESOURCE_CORES] = 1500;
  g_strlcpy (count.team, "bookings", sizeof count.team);
  return count;
}

static bool
is_opened_accepted_ (const struct ColtShardOpened *opened)
{
  struct ColtShardOpened unpacked;
  size_t size;
  uint8_t *body = colt_shard_opened_pack (opened, &size);
  struct ColtError error = { 0 };
  bool good = colt_shard_opened_unpack (body, size, &unpacked, &error);

  if (!good)
    g_assert_cmpint (error.code, ==, COLT_ERROR_INVALID);
  colt_shard_opened_clear (&unpacked);
  free (body);
  return good;
}

static void
test_opened_round_trip (void)
{
  struct ColtShardTask task = make_task_ ();
  struct ColtTeamCount team = make_team_count_ ();
  struct ColtShardOpened opened = { 8,  UINT64_C (1) << 46,
                                    4,  12,
                                    -3, epochs,
                                    2,  servers,
                                    2,  known,
                                    3,  &task,
                                    1,  &team,
                                    1 };
  struct ColtShardOpened unpacked;
  size_t size;
  uint8_t *body = colt_shard_opened_pack (&opened, &size);

  g_assert_true (colt_shard_opened_unpack (body, size, &unpacked, NULL));
  g_assert_cmpuint (unpacked.incarnation, ==, opened.incarnation);
  g_assert_cmpint (unpacked.stamp, ==, -3);
  g_assert_cmpmem (unpacked.epochs, sizeof epochs, epochs, sizeof epochs);
  g_assert_cmpmem (unpacked.servers, sizeof servers, servers, sizeof servers);
  g_assert_cmpmem (unpacked.known, sizeof known, known, sizeof known);
  g_assert_true (
      colt_task_equal (&unpacked.tasks[0].report.ref, &task.report.ref));
  g_assert_cmpstr (unpacked.tasks[0].report.team, ==, "visuals");
  g_assert_cmpint (unpacked.tasks[0].report.state, ==, COLT_TASK_FAILED);
  g_assert_cmpint (unpacked.tasks[0].report.exit_status, ==, -9);
  g_assert_cmpint (unpacked.tasks[0].report.limit.amount[COLT_RESOURCE_MEMORY],
                   ==, 512);
  g_assert_cmpmem (&unpacked.teams[0], sizeof team, &team, sizeof team);
  colt_shard_opened_clear (&unpacked);
  free (body);
}

static void
test_opened_out_of_range (void)
{
  struct ColtShardTask task = make_task_ ();
  struct ColtTeamCount team = make_team_count_ ();
  const struct ColtShardServer twice[] = { { 3, 9, 0 }, { 3, 8, 0 } };
  struct ColtShardOpened good = { 0 };
  struct ColtShardOpened bad;

  good.owner = 8;
  good.servers = servers;
  good.server_count = 2;
  good.tasks = &task;
  good.task_count = 1;
  good.teams = &team;
  good.team_count = 1;
  g_assert_true (is_opened_accepted_ (&good));
  bad = good;
  bad.owner = 65536;
  g_assert_false (is_opened_accepted_ (&bad));
  bad = good;
  bad.servers = twice;
  g_assert_false (is_opened_accepted_ (&bad));
  task.server = 99;
  g_assert_false (is_opened_accepted_ (&good));
  task = make_task_ ();
  task.report.ref.attempt = 0;
  g_assert_false (is_opened_accepted_ (&good));
  task = make_task_ ();
  task.report.limit.amount[0] = -1;
  g_assert_false (is_opened_accepted_ (&good));
  task = make_task_ ();
  team.team[0] = '\0';
  g_assert_false (is_opened_accepted_ (&good));
}

static void
test_open_is_checked (void)
{
  struct ColtShardOpen open = { 7, 1000, 3, epochs, 2 };
  struct ColtShardOpen unpacked;
  size_t size;
  uint8_t *body = colt_shard_open_pack (&open, &size);
  size_t cut;

  g_assert_true (colt_shard_open_unpack (body, size, &unpacked, NULL));
  g_assert_cmpmem (unpacked.epochs, sizeof epochs, epochs, sizeof epochs);
  colt_shard_open_clear (&unpacked);
  for (cut = 1; cut < size; cut++)
    if (colt_shard_open_unpack (body, cut, &unpacked, NULL))
      {
        g_assert_cmpuint (unpacked.epoch_count, <, 2);
        colt_shard_open_clear (&unpacked);
      }
  free (body);
  /* The sender must be the leader that the epochs name, here 7. */
  open.leader = 6;
  body = colt_shard_open_pack (&open, &size);
  g_assert_false (colt_shard_open_unpack (body, size, &unpacked, NULL));
  free (body);
}

static void
test_confirm_round_trip (void)
{
  struct ColtShardConfirm confirm
      = { 7, 1000, 3, 900, 44, 123456789, UINT64_MAX, 99, known, 3 };
  struct ColtShardConfirmed confirmed
      = { 8, 900, 3, 45, 123456799, false, true, servers, 2, epochs, 2 };
  struct ColtShardConfirm unpacked;
  struct ColtShardConfirmed unpacked_confirmed;
  size_t size;
  uint8_t *body = colt_shard_confirm_pack (&confirm, &size);

  g_assert_true (colt_shard_confirm_unpack (body, size, &unpacked, NULL));
  g_assert_cmpint (unpacked.echo, ==, confirm.echo);
  g_assert_cmpuint (unpacked.shards, ==, UINT64_MAX);
  g_assert_cmpmem (unpacked.view, sizeof known, known, sizeof known);
  colt_shard_confirm_clear (&unpacked);
  free (body);
  body = colt_shard_confirmed_pack (&confirmed, &size);
  g_assert_true (
      colt_shard_confirmed_unpack (body, size, &unpacked_confirmed, NULL));
  g_assert_true (unpacked_confirmed.want_view);
  g_assert_false (unpacked_confirmed.unchanged);
  g_assert_cmpmem (unpacked_confirmed.servers, sizeof servers, servers,
                   sizeof servers);
  colt_shard_confirmed_clear (&unpacked_confirmed);
  free (body);
}

static void
test_noise_is_rejected (void)
{
  uint8_t noise[64];
  struct ColtShardOpened opened;
  struct ColtShardConfirmed confirmed;
  int i;

  for (i = 0; i < 64; i++)
    noise[i] = (uint8_t)(i * 37 + 200);
  g_assert_false (
      colt_shard_opened_unpack (noise, sizeof noise, &opened, NULL));
  g_assert_false (
      colt_shard_confirmed_unpack (noise, sizeof noise, &confirmed, NULL));
  g_assert_false (colt_shard_opened_unpack (noise, 0, &opened, NULL));
}

void
colt_add_message_tests (void)
{
  g_test_add_func ("/messages/opened", test_opened_round_trip);
  g_test_add_func ("/messages/opened-bad", test_opened_out_of_range);
  g_test_add_func ("/messages/open", test_open_is_checked);
  g_test_add_func ("/messages/confirm", test_confirm_round_trip);
  g_test_add_func ("/messages/noise", test_noise_is_rejected);
}
